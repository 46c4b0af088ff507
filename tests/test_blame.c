/**
 * DOC: test_blame - which tasks get points for crashes of servers, and which are given up
 */
#include <check.h>

#include "blame/blame.h"
#include "runner.h"
#include "sample.h"

#define OLD_MS 5000 /* run time of a task that is not new */

/* @f owns all; the pool has 12 servers, 4 to a rack */
struct fixture {
	struct fleet *f;
	struct blame *b;
	int64_t now;
	unsigned int jobs;
};

static struct fixture fixture_new(void)
{
	struct fleet *f = sample_fleet(NULL, 12, 4);

	return (struct fixture){f, blame_new(f), 1000000, 0};
}

static struct work_task *new_task(struct fixture *x)
{
	return &sample_start(sample_job(x->f, ++x->jobs, 1, 1, 1))->task[0];
}

static void run(struct work_task *t, struct fleet_server *sv, int64_t started_at, bool is_listed)
{
	sample_run(t, sv, started_at);
	t->first_percent = is_listed ? 10 : -1;
}

/* releases all tasks of @sv, gives them their points, and lets time pass */
static void crash(struct fixture *x, struct fleet_server *sv)
{
	GPtrArray *tasks = g_ptr_array_copy(sv->tasks, NULL, NULL);
	unsigned int points[64] = {0};
	bool has_run[64];

	ck_assert_uint_lt(tasks->len, G_N_ELEMENTS(points));
	blame_crash(x->b, sv, x->now - 5, x->now, points);
	for (guint i = 0; i < tasks->len; i++)
		has_run[i] = work_task_has_run(g_ptr_array_index(tasks, i));
	for (guint i = 0; i < tasks->len; i++)
		work_task_release(g_ptr_array_index(tasks, i));
	for (guint i = 0; i < tasks->len; i++)
		work_task_record_crash(g_ptr_array_index(tasks, i), points[i], has_run[i]);
	g_ptr_array_free(tasks, TRUE);
	x->now += 4000;
}

START_TEST(a_task_that_crashes_three_servers_alone_is_given_up)
{
	struct fixture x = fixture_new();
	struct work_task *t = new_task(&x);
	unsigned int crashes = 0;

	while (!work_task_is_given_up(t)) {
		run(t, sample_server(x.f, crashes++), x.now - 10, false);
		crash(&x, t->server);
	}
	ck_assert_uint_eq(crashes, 3);
	talloc_free(x.f);
}
END_TEST

/* Beside new tasks of other jobs, and on servers that crashed before. */
START_TEST(a_task_that_crashes_its_servers_is_started_at_most_twice_after_the_third)
{
	struct fixture x = fixture_new();
	struct work_task *t = new_task(&x);
	unsigned int crashes = 0;

	while (!work_task_is_given_up(t)) {
		struct fleet_server *sv = sample_server(x.f, crashes++ % 2);

		run(t, sv, x.now - 10, false);
		run(new_task(&x), sv, x.now - 200, true);
		crash(&x, sv);
	}
	ck_assert_uint_le(crashes, 5);
	talloc_free(x.f);
}
END_TEST

START_TEST(a_task_that_ran_beside_a_new_one_is_not_blamed)
{
	struct fixture x = fixture_new();
	struct work_task *sound = new_task(&x);
	struct work_task *t = new_task(&x);

	run(sound, sample_server(x.f, 0), x.now - OLD_MS, true);
	run(t, sample_server(x.f, 0), x.now - 10, false);
	crash(&x, sample_server(x.f, 0));
	ck_assert_uint_eq(sound->crash_points, 0);
	ck_assert_uint_eq(t->crash_points, BLAME_CLEAR);
	talloc_free(x.f);
}
END_TEST

START_TEST(tasks_on_servers_that_fall_silent_together_are_not_clearly_to_blame)
{
	struct fixture x = fixture_new();
	struct work_task *t[4];
	struct work_task *old = new_task(&x);

	for (unsigned int i = 0; i < 4; i++) {
		t[i] = new_task(&x);
		run(t[i], sample_server(x.f, i), x.now - 10, false);
		blame_note_silence(x.b, sample_server(x.f, i), x.now + i);
	}
	run(old, sample_server(x.f, 4), x.now - OLD_MS, true);
	for (unsigned int i = 0; i < 5; i++) {
		crash(&x, sample_server(x.f, i));
		x.now -= 4000;
	}
	for (unsigned int i = 0; i < 4; i++)
		ck_assert_uint_eq(t[i]->crash_points, BLAME_UNCLEAR);
	ck_assert_uint_eq(old->crash_points, 0);
	talloc_free(x.f);
}
END_TEST

START_TEST(a_task_that_has_run_well_before_is_the_less_likely_cause)
{
	struct fixture x = fixture_new();
	struct work_task *sound = new_task(&x);
	struct work_task *t = new_task(&x);

	sound->has_run_well = true;
	run(sound, sample_server(x.f, 0), x.now - 10, false);
	run(t, sample_server(x.f, 0), x.now - 10, false);
	crash(&x, sample_server(x.f, 0));
	ck_assert_uint_eq(sound->crash_points, 0);
	ck_assert_uint_eq(t->crash_points, BLAME_CLEAR);
	run(sound, sample_server(x.f, 1), x.now - 10, false);
	crash(&x, sample_server(x.f, 1));
	ck_assert_uint_eq(sound->crash_points, BLAME_UNCLEAR);
	talloc_free(x.f);
}
END_TEST

/* It runs for a while, then its server crashes, again and again, with nothing else new there. */
START_TEST(a_task_that_crashes_its_servers_late_is_given_up)
{
	struct fixture x = fixture_new();
	struct work_task *t = new_task(&x);
	unsigned int crashes = 0;

	while (!work_task_is_given_up(t)) {
		run(t, sample_server(x.f, crashes++), x.now - OLD_MS, true);
		t->has_run_well = true;
		crash(&x, t->server);
	}
	ck_assert_uint_eq(crashes, 5);
	talloc_free(x.f);
}
END_TEST

START_TEST(a_server_that_crashes_again_and_again_is_not_clearly_its_tasks_fault)
{
	struct fixture x = fixture_new();
	struct work_task *first = new_task(&x);
	struct work_task *t = new_task(&x);

	run(first, sample_server(x.f, 0), x.now - 10, false);
	crash(&x, sample_server(x.f, 0));
	run(t, sample_server(x.f, 0), x.now - 10, false);
	crash(&x, sample_server(x.f, 0));
	ck_assert_uint_eq(t->crash_points, BLAME_UNCLEAR);
	/* long after, its earlier crash tells nothing */
	x.now += BLAME_MEMORY_MS;
	run(t, sample_server(x.f, 0), x.now - 10, false);
	crash(&x, sample_server(x.f, 0));
	ck_assert_uint_eq(t->crash_points, BLAME_UNCLEAR + BLAME_CLEAR);
	talloc_free(x.f);
}
END_TEST

START_TEST(a_planned_leave_is_no_crash)
{
	struct fixture x = fixture_new();
	struct work_task *t = new_task(&x);

	run(t, sample_server(x.f, 0), x.now - 10, false);
	sample_server(x.f, 0)->drain_deadline = x.now - 100;
	crash(&x, sample_server(x.f, 0));
	ck_assert_uint_eq(t->crash_points, 0);
	talloc_free(x.f);
}
END_TEST

START_TEST(a_task_whose_start_was_not_sent_is_not_blamed)
{
	struct fixture x = fixture_new();
	struct work_task *t = new_task(&x);

	work_task_assign(t, sample_server(x.f, 0));
	crash(&x, sample_server(x.f, 0));
	ck_assert_uint_eq(t->crash_points, 0);
	talloc_free(x.f);
}
END_TEST

/*
 * Guards against blame for an idle server that had crashed before: its next incarnation answers
 * the start.
 */
START_TEST(a_task_whose_start_the_next_incarnation_answers_is_not_blamed)
{
	struct fixture x = fixture_new();
	struct work_task *t = new_task(&x);

	work_task_assign(t, sample_server(x.f, 0));
	t->state = TASK_STARTING;
	crash(&x, sample_server(x.f, 0));
	ck_assert_uint_eq(t->crash_points, 0);
	talloc_free(x.f);
}
END_TEST

/*
 * Guards against a job that is shown as failed although no server has begun it: its starts were
 * sent to servers that had crashed before.
 */
START_TEST(starts_without_an_answer_alone_give_up_no_task)
{
	struct fixture x = fixture_new();
	struct work_task *t = new_task(&x);

	for (unsigned int i = 0; i < 6; i++) {
		work_task_assign(t, sample_server(x.f, i));
		t->state = i % 2 ? TASK_STOPPING : TASK_STARTING;
		t->unanswered_starts = 3;
		crash(&x, sample_server(x.f, i));
		ck_assert_uint_le(t->crash_points, (i + 1) * BLAME_UNCLEAR);
	}
	ck_assert(!work_task_is_given_up(t));
	talloc_free(x.f);
}
END_TEST

/* It crashes each server before that has answered; from the second on they were up just before. */
START_TEST(a_task_that_crashes_its_servers_before_they_answer_is_given_up)
{
	struct fixture x = fixture_new();
	struct work_task *t = new_task(&x);
	unsigned int crashes = 0;

	while (!work_task_is_given_up(t)) {
		work_task_assign(t, sample_server(x.f, crashes));
		t->state = TASK_STARTING;
		t->unanswered_starts = 1;
		t->was_up_at_start = crashes > 0;
		crash(&x, sample_server(x.f, crashes++));
	}
	ck_assert_uint_le(crashes, 5);
	talloc_free(x.f);
}
END_TEST

/* Guards against the same where the next incarnation has answered the start, and crashes too. */
START_TEST(a_server_that_was_silent_before_the_start_was_not_crashed_by_it)
{
	struct fixture x = fixture_new();
	struct work_task *t = new_task(&x);

	run(t, sample_server(x.f, 0), x.now + 10, false);
	t->start_sent_at = x.now;
	crash(&x, sample_server(x.f, 0));
	ck_assert_uint_eq(t->crash_points, 0);
	run(t, sample_server(x.f, 0), x.now, false);
	t->start_sent_at = x.now - 1;
	crash(&x, sample_server(x.f, 0));
	ck_assert_uint_gt(t->crash_points, 0);
	talloc_free(x.f);
}
END_TEST

START_TEST(a_start_without_an_answer_and_a_task_of_an_earlier_leader_count)
{
	struct fixture x = fixture_new();
	struct work_task *starting = new_task(&x);
	struct work_task *unconfirmed = new_task(&x);

	work_task_assign(starting, sample_server(x.f, 0));
	starting->state = TASK_STARTING;
	starting->unanswered_starts = 1;
	starting->was_up_at_start = true;
	work_task_assign(unconfirmed, sample_server(x.f, 0));
	unconfirmed->state = TASK_UNCONFIRMED;
	crash(&x, sample_server(x.f, 0));
	ck_assert_uint_eq(starting->crash_points, BLAME_CLEAR);
	ck_assert_uint_eq(unconfirmed->crash_points, BLAME_UNCLEAR);
	talloc_free(x.f);
}
END_TEST

/* Guards against a gang that is given up because servers of several members have crashed once. */
START_TEST(each_member_of_a_gang_has_points_of_its_own)
{
	struct fixture x = fixture_new();
	struct work_group *g = sample_gang(x.f, 7, 1, 4, 1);

	for (unsigned int i = 0; i < 4; i++) {
		struct fleet_server *servers[4];

		for (unsigned int k = 0; k < 4; k++)
			servers[k] = sample_server(x.f, 4 * (k == i) + k);
		work_task_assign_gang(g, servers);
		for (unsigned int k = 0; k < 4; k++)
			g->task[k].state = TASK_RUNNING;
		crash(&x, servers[i]);
		for (unsigned int k = 0; k < 4; k++)
			if (k != i)
				work_task_release(&g->task[k]);
	}
	for (unsigned int i = 0; i < 4; i++)
		ck_assert_uint_eq(g->task[i].crash_points, BLAME_CLEAR);
	talloc_free(x.f);
}
END_TEST

/* Sound tasks, each of which is new on a server that crashes for another reason now and then. */
START_TEST(sound_tasks_among_crashing_servers_are_not_given_up)
{
	struct fixture x = fixture_new();
	GRand *rng = g_rand_new_with_seed((guint32)_i);
	struct work_task *t[20];

	for (unsigned int i = 0; i < 20; i++)
		t[i] = new_task(&x);
	for (int round = 0; round < 4; round++) {
		for (unsigned int i = 0; i < 20; i++)
			if (t[i]->state == TASK_WAITING)
				run(t[i], sample_server(x.f, (guint)g_rand_int_range(rng, 0, 12)),
				    x.now - 100, true);
		for (unsigned int rack = 0; rack < 2; rack++)
			crash(&x, sample_server(x.f, (guint)g_rand_int_range(rng, 0, 12)));
		for (unsigned int i = 0; i < 20; i++)
			t[i]->started_at -= OLD_MS;
	}
	for (unsigned int i = 0; i < 20; i++)
		ck_assert(!work_task_is_given_up(t[i]));
	g_rand_free(rng);
	talloc_free(x.f);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, a_task_that_crashes_three_servers_alone_is_given_up);
	tcase_add_test(t, a_task_that_crashes_its_servers_is_started_at_most_twice_after_the_third);
	tcase_add_test(t, a_task_that_ran_beside_a_new_one_is_not_blamed);
	tcase_add_test(t, tasks_on_servers_that_fall_silent_together_are_not_clearly_to_blame);
	tcase_add_test(t, a_task_that_has_run_well_before_is_the_less_likely_cause);
	tcase_add_test(t, a_task_that_crashes_its_servers_late_is_given_up);
	tcase_add_test(t, a_server_that_crashes_again_and_again_is_not_clearly_its_tasks_fault);
	tcase_add_test(t, a_planned_leave_is_no_crash);
	tcase_add_test(t, a_task_whose_start_was_not_sent_is_not_blamed);
	tcase_add_test(t, a_task_whose_start_the_next_incarnation_answers_is_not_blamed);
	tcase_add_test(t, starts_without_an_answer_alone_give_up_no_task);
	tcase_add_test(t, a_task_that_crashes_its_servers_before_they_answer_is_given_up);
	tcase_add_test(t, a_server_that_was_silent_before_the_start_was_not_crashed_by_it);
	tcase_add_test(t, a_start_without_an_answer_and_a_task_of_an_earlier_leader_count);
	tcase_add_test(t, each_member_of_a_gang_has_points_of_its_own);
	tcase_add_loop_test(t, sound_tasks_among_crashing_servers_are_not_given_up, 0, 20);
}

int main(void)
{
	return run_suite("blame", add_tests);
}
