/**
 * DOC: test_starts - log lines of the tasks that were started together
 */
#include <check.h>

#include "runner.h"
#include "sample.h"
#include "starts/starts.h"

static int64_t task_at(const json_t *line, const char *server, unsigned int i)
{
	const json_t *tasks = json_object_get(json_object_get(line, "servers"), server);

	return json_integer_value(json_array_get(tasks, i));
}

/* The lines of one gang used up the rate limit, so that starts of other jobs were not logged. */
START_TEST(a_gang_takes_one_line)
{
	struct fleet *f = sample_fleet(NULL, 2, 2);
	struct work_group *g = sample_gang(f, 1, 0, 4, 4);
	struct starts *s = starts_new(f);
	struct fleet_server *servers[4];
	json_t *line;

	for (unsigned int i = 0; i < 4; i++)
		servers[i] = sample_server(f, i / 2);
	work_task_assign_gang(g, servers);
	for (unsigned int i = 0; i < 4; i++)
		starts_add(s, &g->task[3 - i]);
	/* a member may be released before the line is written */
	work_task_release(&g->task[3]);
	line = starts_take_line(s);
	ck_assert_str_eq(base_json_str(line, "id", ""), g->job->id);
	ck_assert_int_eq(base_json_int(line, "attempt", 0), 1);
	ck_assert_int_eq(base_json_int(line, "tasks", 0), 4);
	ck_assert_int_eq(task_at(line, "s0", 1), 1);
	ck_assert_int_eq(task_at(line, "s1", 1), 3);
	json_decref(line);
	ck_assert_ptr_null(starts_take_line(s));
	talloc_free(f);
}
END_TEST

/* A line must not mix tasks of which a reader could not tell the attempt or the job. */
START_TEST(groups_and_attempts_have_lines_of_their_own)
{
	struct fleet *f = sample_fleet(NULL, 2, 2);
	struct work_group *g = sample_start(sample_job(f, 1, 0, 3, 1));
	struct work_group *other = sample_start(sample_job(f, 2, 0, 1, 1));
	struct starts *s = starts_new(f);
	json_t *line;

	work_task_assign(&g->task[1], sample_server(f, 0));
	work_task_release(&g->task[1]);
	for (unsigned int i = 0; i < 3; i++) {
		work_task_assign(&g->task[i], sample_server(f, 1));
		starts_add(s, &g->task[i]);
	}
	work_task_assign(&other->task[0], sample_server(f, 1));
	starts_add(s, &other->task[0]);
	line = starts_take_line(s);
	ck_assert_int_eq(base_json_int(line, "tasks", 0), 2);
	ck_assert_int_eq(task_at(line, "s1", 1), 2);
	json_decref(line);
	line = starts_take_line(s);
	ck_assert_int_eq(base_json_int(line, "attempt", 0), 2);
	ck_assert_int_eq(task_at(line, "s1", 0), 1);
	json_decref(line);
	line = starts_take_line(s);
	ck_assert_str_eq(base_json_str(line, "id", ""), other->job->id);
	json_decref(line);
	ck_assert_ptr_null(starts_take_line(s));
	talloc_free(f);
}
END_TEST

/* A line above BASE_LOG_LINE_MAX is replaced by one without the tasks. */
START_TEST(the_largest_step_is_split)
{
	struct fleet *f = sample_fleet(NULL, 512, 8);
	struct work_group *g = sample_start(sample_job(f, 1, 0, WORK_TASKS_MAX, 1));
	struct starts *s = starts_new(f);
	unsigned int tasks = 0;
	unsigned int lines = 0;
	json_t *line;

	for (unsigned int i = 0; i < WORK_TASKS_MAX; i++) {
		work_task_assign(&g->task[i], sample_server(f, i % 512));
		starts_add(s, &g->task[i]);
	}
	for (; (line = starts_take_line(s)); lines++) {
		char *text = base_json_text(f, line);

		ck_assert_uint_lt(strlen(text), BASE_LOG_LINE_MAX - 500);
		tasks += (unsigned int)base_json_int(line, "tasks", 0);
		json_decref(line);
	}
	ck_assert_uint_eq(tasks, WORK_TASKS_MAX);
	ck_assert_uint_le(lines, 16);
	talloc_free(f);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, a_gang_takes_one_line);
	tcase_add_test(t, groups_and_attempts_have_lines_of_their_own);
	tcase_add_test(t, the_largest_step_is_split);
}

int main(void)
{
	return run_suite("starts", add_tests);
}
