/**
 * DOC: test_summary - where the time of jobs went, from log lines
 */
#include <check.h>
#include <string.h>

#include "runner.h"
#include "summary/summary.h"

#define ID "00000000000000aa"

static void add(struct summary *s, int64_t ms, const char *rest)
{
	char *line = talloc_asprintf(s, "vm-1: {\"time_us\":%" PRId64 ",\"id\":\"" ID "\",%s}",
				     ms * 1000, rest);

	summary_add_line(s, line);
	talloc_free(line);
}

static void add_known(struct summary *s, int64_t ms)
{
	add(s, ms, "\"event\":\"job_known\",\"queue\":\"q\",\"priority\":0,\"objective_ms\":4000");
}

/* accepted at 20 ms, known at 30, placed at 100, started at 120 */
static struct summary *started_job(void)
{
	struct summary *s = summary_new(NULL);

	/* the lines of several VMs are not in the order of time */
	add(s, 120, "\"event\":\"task_start\",\"task\":0");
	add(s, 20,
	    "\"event\":\"request_answered\",\"kind\":\"submit\",\"status\":200,\"took_ms\":20");
	add_known(s, 30);
	add(s, 100, "\"event\":\"placed\"");
	return s;
}

static const struct summary_row *only_row(struct summary *s)
{
	const GPtrArray *rows = summary_rows(s);

	ck_assert_uint_eq(rows->len, 1);
	return g_ptr_array_index(rows, 0);
}

START_TEST(each_wait_counts_for_its_phase)
{
	struct summary *s = started_job();
	const struct summary_row *row;

	add(s, 2120, "\"event\":\"task_ended\",\"why\":\"done\"");
	add(s, 2150, "\"event\":\"job_ended\",\"state\":\"complete\"");
	/* the caller asks again later */
	add(s, 9000,
	    "\"event\":\"request_answered\",\"kind\":\"submit\",\"status\":200,\"took_ms\":1");
	row = only_row(s);
	ck_assert_str_eq(row->queue, "q");
	ck_assert_int_eq(row->outcome, SUMMARY_IN_TIME);
	ck_assert_int_eq(row->phase_us[PHASE_ACCEPT], 20000);
	ck_assert_int_eq(row->phase_us[PHASE_LEADER], 10000);
	ck_assert_int_eq(row->phase_us[PHASE_CAPACITY], 70000);
	ck_assert_int_eq(row->phase_us[PHASE_STORE], 20000);
	ck_assert_int_eq(row->phase_us[PHASE_RUN], 2000000);
	ck_assert_int_eq(row->phase_us[PHASE_SHOW], 30000);
	talloc_free(s);
}
END_TEST

START_TEST(a_stop_counts_as_work_thrown_away_by_its_cause)
{
	struct summary *s = started_job();
	const struct summary_waste *waste;

	add(s, 1120,
	    "\"event\":\"task_stop\",\"why\":\"reclaimed for urgent "
	    "work\",\"ran_ms\":1000,\"cores\":20");
	add(s, 1520,
	    "\"event\":\"task_released\",\"state\":\"stopping\",\"why\":\"stopped\",\"ran_ms\":"
	    "1400,\"cores\":20");
	add(s, 3120, "\"event\":\"placed\"");
	add(s, 3140, "\"event\":\"task_start\",\"task\":0");
	ck_assert_int_eq(only_row(s)->phase_us[PHASE_PREEMPTED], 2000000);
	ck_assert_int_eq(only_row(s)->outcome, SUMMARY_OPEN);
	ck_assert_uint_eq(summary_wastes(s)->len, 1);
	waste = g_ptr_array_index(summary_wastes(s), 0);
	ck_assert_str_eq(waste->cause, "reclaimed for urgent work");
	ck_assert_int_eq(waste->core_ms, 20000);
	talloc_free(s);
}
END_TEST

START_TEST(work_with_checkpoints_is_not_thrown_away)
{
	struct summary *s = started_job();

	add(s, 1120,
	    "\"event\":\"task_stop\",\"why\":\"reclaimed for urgent "
	    "work\",\"ran_ms\":1000,\"cores\":20,\"checkpoints\":true");
	ck_assert_uint_eq(summary_wastes(s)->len, 0);
	talloc_free(s);
}
END_TEST

START_TEST(a_job_that_was_never_accepted_is_rejected)
{
	struct summary *s = summary_new(NULL);

	add(s, 1000,
	    "\"event\":\"request_answered\",\"kind\":\"submit\",\"status\":503,\"took_ms\":0");
	add(s, 3000,
	    "\"event\":\"request_answered\",\"kind\":\"submit\",\"status\":503,\"took_ms\":0");
	ck_assert_int_eq(only_row(s)->outcome, SUMMARY_REJECTED);
	ck_assert_int_eq(only_row(s)->phase_us[PHASE_ACCEPT], 2000000);
	talloc_free(s);
}
END_TEST

START_TEST(lines_that_cannot_be_read_are_counted)
{
	struct summary *s = started_job();

	summary_add_line(s, "no object here");
	summary_add_line(s, "{\"time_us\":1,\"id\":");
	summary_add_line(s, "{\"time_us\":\"soon\",\"id\":\"" ID "\"}");
	summary_add_line(s, "{\"time_us\":1,\"id\":7,\"event\":[]}");
	summary_add_line(s, "[1,2]");
	ck_assert_uint_eq(summary_malformed(s), 4);
	ck_assert_uint_eq(only_row(s)->jobs, 1);
	talloc_free(s);
}
END_TEST

/* a start of another job on @vm, before which its process dropped @dropped lines */
static void add_other_start(struct summary *s, int64_t ms, const char *vm, int dropped)
{
	char *line = talloc_asprintf(s,
				     "{\"time_us\":%" PRId64
				     ",\"vm\":\"%s\",\"event\":\"task_start\",\"id\":\"x\","
				     "\"dropped_before\":%d}",
				     ms * 1000, vm, dropped);

	summary_add_line(s, line);
	talloc_free(line);
}

/* its start was dropped; known at 30 ms, placed at 100, a task done at 2620, ended at 2650 */
static struct summary *job_without_start(void)
{
	struct summary *s = summary_new(NULL);

	add_known(s, 30);
	add(s, 100, "\"event\":\"placed\"");
	add(s, 2620, "\"event\":\"task_ended\",\"why\":\"done\"");
	add(s, 2650, "\"event\":\"job_ended\",\"state\":\"complete\"");
	return s;
}

/* The store was blamed for the whole run of a job whose start was not in the log. */
START_TEST(time_without_a_dropped_start_is_not_the_stores)
{
	struct summary *s = job_without_start();
	const struct summary_row *row;

	add_other_start(s, 110, "vm-1", 0);
	add_other_start(s, 200, "vm-2", 0); /* ends no gap of vm-1 */
	add_other_start(s, 3000, "vm-1", 5);
	row = only_row(s);
	ck_assert_int_eq(row->phase_us[PHASE_STORE], 10000);
	ck_assert_int_eq(row->phase_us[PHASE_MISSING], 2510000);
	ck_assert_int_eq(row->phase_us[PHASE_RUN], 0);
	ck_assert_int_eq(row->phase_us[PHASE_SHOW], 30000);
	ck_assert_uint_eq(summary_dropped(s), 5);
	talloc_free(s);
}
END_TEST

/* A wait for the store must stay visible when lines of another time or event were dropped. */
START_TEST(lines_dropped_at_another_time_change_nothing)
{
	struct summary *s = job_without_start();

	add_other_start(s, 10, "vm-1", 0);
	add_other_start(s, 90, "vm-1", 7);
	add_other_start(s, 2700, "vm-1", 0);
	add_other_start(s, 3000, "vm-1", 5);
	summary_add_line(s, "{\"time_us\":120000,\"vm\":\"vm-1\",\"event\":\"task_stop\"}");
	summary_add_line(s, "{\"time_us\":900000,\"vm\":\"vm-1\",\"event\":\"task_stop\","
			    "\"dropped_before\":9}");
	ck_assert_int_eq(only_row(s)->phase_us[PHASE_STORE], 2520000);
	ck_assert_int_eq(only_row(s)->phase_us[PHASE_MISSING], 0);
	talloc_free(s);
}
END_TEST

START_TEST(a_start_in_the_log_is_not_missing)
{
	struct summary *s = job_without_start();

	add(s, 1120, "\"event\":\"task_start\",\"servers\":{\"i-1\":[0]}");
	add_other_start(s, 110, "vm-1", 0);
	add_other_start(s, 1500, "vm-1", 5);
	ck_assert_int_eq(only_row(s)->phase_us[PHASE_STORE], 1020000);
	ck_assert_int_eq(only_row(s)->phase_us[PHASE_RUN], 1500000);
	talloc_free(s);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, each_wait_counts_for_its_phase);
	tcase_add_test(t, a_stop_counts_as_work_thrown_away_by_its_cause);
	tcase_add_test(t, work_with_checkpoints_is_not_thrown_away);
	tcase_add_test(t, a_job_that_was_never_accepted_is_rejected);
	tcase_add_test(t, lines_that_cannot_be_read_are_counted);
	tcase_add_test(t, time_without_a_dropped_start_is_not_the_stores);
	tcase_add_test(t, lines_dropped_at_another_time_change_nothing);
	tcase_add_test(t, a_start_in_the_log_is_not_missing);
}

int main(void)
{
	return run_suite("summary", add_tests);
}
