/**
 * DOC: test_log - fields of a line, the rate limit, and a reader that stops reading
 */
#include <check.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "base/base.h"
#include "runner.h"

static int saved;   /* copy of the original standard output */
static int ends[2]; /* of the pipe: read, write */

/* replaces standard output by a pipe that is not read until restore() */
static void redirect(void)
{
	ck_assert_int_eq(pipe(ends), 0);
	fflush(stdout);
	saved = dup(STDOUT_FILENO);
	dup2(ends[1], STDOUT_FILENO);
	base_log_init("test", "vm-1", "stdout");
}

static char *restore(void)
{
	static char text[65536];
	ssize_t n;

	dup2(saved, STDOUT_FILENO);
	n = read(ends[0], text, sizeof(text) - 1);
	text[MAX(n, 0)] = 0;
	return text;
}

START_TEST(a_line_holds_its_fields)
{
	char *text;
	json_t *line;

	redirect();
	log_event("job_accepted", "{ss sI}", "id", "ab", "version", (json_int_t)7);
	text = restore();
	line = json_loads(text, JSON_DISABLE_EOF_CHECK, NULL);
	ck_assert_str_eq(base_json_str(line, "event", ""), "job_accepted");
	ck_assert_str_eq(base_json_str(line, "vm", ""), "vm-1");
	ck_assert_int_eq(base_json_int(line, "version", 0), 7);
	json_decref(line);
}
END_TEST

START_TEST(a_reader_that_stops_holds_nobody_up)
{
	uint64_t before = base_log_dropped();
	int64_t start = base_now_ns();

	redirect();
	/* distinct names keep below the rate limit; the lines exceed the capacity of a pipe */
	for (int i = 0; i < 3000; i++) {
		char name[32];

		g_snprintf(name, sizeof(name), "event_%d", i);
		log_event(name, "{ss}", "text", "0123456789012345678901234567890123456789");
	}
	restore();
	ck_assert_int_lt(base_now_ns() - start, 2 * BASE_MS_PER_S * BASE_NS_PER_MS);
	ck_assert_uint_gt(base_log_dropped(), before);
}
END_TEST

START_TEST(lines_of_one_event_are_bounded_and_counted)
{
	uint64_t before = base_log_dropped();

	redirect();
	for (int i = 0; i < 3 * BASE_LOG_PER_SECOND; i++)
		log_event("flood", "{si}", "i", i);
	restore();
	ck_assert_uint_ge(base_log_dropped() - before, BASE_LOG_PER_SECOND);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, a_line_holds_its_fields);
	tcase_add_test(t, a_reader_that_stops_holds_nobody_up);
	tcase_add_test(t, lines_of_one_event_are_bounded_and_counted);
}

int main(void)
{
	return run_suite("log", add_tests);
}
