/**
 * DOC: test_fleet - incarnations, free capacity and suspect servers
 */
#include <check.h>

#include "runner.h"
#include "sample.h"

static bool may_free(struct fleet_server *sv)
{
	return sv->user == NULL;
}

START_TEST(a_new_incarnation_replaces_the_old_one)
{
	struct fleet *f = sample_fleet(NULL, 1, 1);
	struct fleet_server *old = sample_server(f, 0);
	struct fleet_server *newer = fleet_add(f, "s0", 2000);

	ck_assert_int_eq(old->presence, FLEET_REPLACED);
	ck_assert_ptr_eq(fleet_find(f, "s0"), newer);
	ck_assert(!fleet_accepts_work(old, 0));
	talloc_free(f);
}
END_TEST

/* Guards against calls to a former incarnation that a server carries out under its old id. */
START_TEST(each_incarnation_of_an_id_knows_of_more_that_have_ended)
{
	struct fleet *f = sample_fleet(NULL, 2, 1);
	struct fleet_server *first = sample_server(f, 0);
	struct fleet_server *second = fleet_add(f, "s0", 2000);
	struct fleet_server *third;
	int64_t before = second->ended_before;

	ck_assert_int_eq(sample_server(f, 1)->ended_before, first->ended_before);
	ck_assert_int_gt(second->ended_before, first->ended_before);
	fleet_replace(f, first);
	ck_assert_int_eq(f->ended, second->ended_before);
	fleet_prune(f, may_free);
	ck_assert_ptr_null(fleet_find(f, "s0"));
	third = fleet_add(f, "s0", 3000);
	ck_assert_int_gt(third->ended_before, before);
	talloc_free(f);
}
END_TEST

/*
 * Found with deploy/days/servers-cut.toml, seed 2 on Kolkhi: an answer from a pruned
 * incarnation terminated the leader.
 */
START_TEST(a_pruned_incarnation_is_added_again)
{
	struct fleet *f = sample_fleet(NULL, 1, 1);
	struct fleet_server *old = sample_server(f, 0);
	struct fleet_server *newer = fleet_find_or_add(f, old, 2000);

	ck_assert_int_eq(newer->born, 2000);
	ck_assert_str_eq(newer->address, old->address);
	ck_assert_ptr_eq(fleet_find_or_add(f, old, 2000), newer);
	ck_assert_ptr_eq(fleet_find_or_add(f, old, 1500), newer);
	old->user = f;
	fleet_prune(f, may_free);
	ck_assert_ptr_null(fleet_find(f, "s0"));
	ck_assert_int_eq(fleet_find_or_add(f, old, 2000)->born, 2000);
	talloc_free(f);
}
END_TEST

/*
 * Found in Torenuurwerk trouble-1: runs started by an earlier leader were not counted,
 * and starts exceeded the capacity.
 */
START_TEST(orphaned_runs_use_capacity)
{
	struct fleet *f = sample_fleet(NULL, 1, 1);
	struct fleet_server *sv = sample_server(f, 0);

	sv->unclaimed.accelerators = 6;
	ck_assert_int_eq(fleet_free_capacity(sv).accelerators, 2);
	ck_assert_int_eq(fleet_unused_capacity(sv).accelerators, 2);
	talloc_free(f);
}
END_TEST

START_TEST(failures_of_one_job_make_no_server_suspect)
{
	struct fleet *f = sample_fleet(NULL, 1, 1);
	struct fleet_server *sv = sample_server(f, 0);

	for (int i = 0; i < 10; i++)
		ck_assert(!fleet_note_failure(sv, "poison", 100));
	ck_assert(fleet_accepts_work(sv, 100));
	ck_assert(fleet_note_failure(sv, "another", 100));
	ck_assert(!fleet_accepts_work(sv, 100));
	ck_assert(fleet_accepts_work(sv, 100 + FLEET_SUSPECT_MS));
	talloc_free(f);
}
END_TEST

static unsigned int fail_twice(struct fleet *f, unsigned int first, unsigned int end, int64_t now)
{
	unsigned int forgiven = 0;

	for (unsigned int i = first; i < end; i++) {
		fleet_note_failure(sample_server(f, i), "one", now);
		if (fleet_note_failure(sample_server(f, i), "another", now))
			forgiven += fleet_forgive_failures(f, sample_server(f, i), now);
	}
	return forgiven;
}

static unsigned int accepting(const struct fleet *f, int64_t now)
{
	unsigned int n = 0;

	for (guint i = 0; i < f->all->len; i++)
		n += fleet_accepts_work(sample_server(f, i), now);
	return n;
}

START_TEST(failures_on_many_servers_exclude_none)
{
	struct fleet *f = sample_fleet(NULL, 12, 4);

	ck_assert_uint_eq(fail_twice(f, 0, 3, 100), 0);
	ck_assert_uint_eq(accepting(f, 100), 9);
	ck_assert_uint_eq(fail_twice(f, 3, 4, 100), 4);
	ck_assert_uint_eq(accepting(f, 100), 12);
	/* the next period is not longer for the failures that were forgiven */
	fail_twice(f, 0, 1, 200);
	ck_assert_int_eq(sample_server(f, 0)->suspect_until, 200 + FLEET_SUSPECT_MS);
	talloc_free(f);
}
END_TEST

/* a server that stalled is a last resort for placement, which must not be one in such a domain */
START_TEST(an_evacuated_server_accepts_no_work)
{
	struct fleet *f = sample_fleet(NULL, 1, 1);
	struct fleet_server *sv = sample_server(f, 0);
	struct fleet_server *next;

	sv->failure_domain = talloc_strdup(sv, "z1");
	sv->is_evacuated = true;
	fleet_suspect(sv, 100);
	ck_assert_int_eq(fleet_admission(sv, 100), FLEET_EVACUATED);
	ck_assert(!fleet_accepts_work(sv, 100));
	ck_assert(!fleet_is_suspect_for_a_stall(sv, 100));
	/* so is the next incarnation before the list names it */
	next = fleet_find_or_add(f, sv, sv->born + 1);
	next->presence = FLEET_LISTED;
	ck_assert_int_eq(fleet_admission(next, 100), FLEET_EVACUATED);
	next->is_evacuated = false;
	next->is_fenced = true;
	ck_assert(fleet_accepts_work(next, 100));
	talloc_free(f);
}
END_TEST

/* the failures of few servers that are left looked like those of few servers of the whole pool */
START_TEST(evacuated_servers_do_not_count_when_failures_are_forgiven)
{
	struct fleet *f = sample_fleet(NULL, 12, 4);

	for (unsigned int i = 4; i < 12; i++)
		sample_server(f, i)->is_evacuated = true;
	ck_assert_uint_eq(fail_twice(f, 0, 2, 100), 2);
	ck_assert_uint_eq(accepting(f, 100), 4);
	talloc_free(f);
}
END_TEST

START_TEST(servers_that_stall_are_not_forgiven)
{
	struct fleet *f = sample_fleet(NULL, 12, 4);

	for (unsigned int i = 0; i < 6; i++)
		fleet_suspect(sample_server(f, i), 100);
	ck_assert_uint_eq(fail_twice(f, 6, 9, 100), 0);
	ck_assert_uint_eq(accepting(f, 100), 3);
	ck_assert_uint_eq(fail_twice(f, 9, 10, 100), 4);
	ck_assert_uint_eq(accepting(f, 100), 6);
	talloc_free(f);
}
END_TEST

START_TEST(failures_in_another_pool_do_not_count)
{
	struct fleet *f = sample_fleet(NULL, 12, 4);

	for (unsigned int i = 0; i < 2; i++)
		sample_server(f, i)->service = talloc_strdup(f, "other");
	fail_twice(f, 2, 4, 100);
	ck_assert_uint_eq(accepting(f, 100), 10);
	ck_assert_uint_eq(fail_twice(f, 0, 2, 100), 2);
	ck_assert_uint_eq(accepting(f, 100), 10);
	talloc_free(f);
}
END_TEST

START_TEST(failures_on_another_kind_do_not_count)
{
	struct fleet *f = sample_fleet(NULL, 12, 4);

	for (unsigned int i = 0; i < 2; i++) {
		struct fleet_server *sv = sample_server(f, i);

		sv->labels = talloc_zero_array(sv, char *, 1);
		sv->labels[0] = talloc_strdup(sv, "large");
		sv->label_count = 1;
	}
	ck_assert_uint_eq(fail_twice(f, 0, 2, 100), 2);
	ck_assert_uint_eq(accepting(f, 100), 12);
	talloc_free(f);
}
END_TEST

START_TEST(suspect_periods_double_until_a_success)
{
	struct fleet *f = sample_fleet(NULL, 1, 1);
	struct fleet_server *sv = sample_server(f, 0);
	int64_t now = 0;

	for (int64_t period = FLEET_SUSPECT_MS; period < FLEET_SUSPECT_MAX_MS; period *= 2) {
		fleet_suspect(sv, now);
		ck_assert_int_eq(sv->suspect_until, now + period);
		now = sv->suspect_until;
	}
	fleet_suspect(sv, now);
	ck_assert_int_eq(sv->suspect_until, now + FLEET_SUSPECT_MAX_MS);
	now = sv->suspect_until;
	fleet_note_success(sv, now);
	fleet_suspect(sv, now);
	ck_assert_int_eq(sv->suspect_until, now + FLEET_SUSPECT_MS);
	talloc_free(f);
}
END_TEST

/*
 * Issue 27: a server hung for some seconds, and each of its eight tasks was taken for a new
 * fault, so that it got no work for 60 s.
 */
START_TEST(a_fault_that_several_tasks_show_counts_once)
{
	struct fleet *f = sample_fleet(NULL, 2, 2);
	struct fleet_server *stalls = sample_server(f, 0);
	struct fleet_server *fails = sample_server(f, 1);
	char job[8];

	for (int i = 0; i < 8; i++) {
		g_snprintf(job, sizeof(job), "job%d", i);
		fleet_suspect(stalls, 100 * i);
		fleet_note_failure(fails, job, 100);
	}
	ck_assert_int_eq(stalls->suspect_until, FLEET_SUSPECT_MS);
	ck_assert_int_eq(fails->suspect_until, 100 + FLEET_SUSPECT_MS);
	fleet_suspect(stalls, FLEET_SUSPECT_MS);
	ck_assert_int_eq(stalls->suspect_until, FLEET_SUSPECT_MS + 2 * FLEET_SUSPECT_MS);
	talloc_free(f);
}
END_TEST

START_TEST(a_server_that_refuses_starts_is_asked_again_after_the_same_time)
{
	struct fleet *f = sample_fleet(NULL, 1, 1);
	struct fleet_server *sv = sample_server(f, 0);

	for (int64_t now = 0; now < FLEET_SUSPECT_MAX_MS; now = sv->suspect_until) {
		fleet_note_refusal(sv, now);
		ck_assert_int_eq(sv->suspect_until, now + FLEET_SUSPECT_MS);
	}
	/* a longer period because of faults is not cut short */
	fleet_suspect(sv, sv->suspect_until);
	fleet_suspect(sv, sv->suspect_until);
	fleet_note_refusal(sv, sv->fault_until - 2 * FLEET_SUSPECT_MS);
	ck_assert_int_eq(sv->suspect_until, sv->fault_until);
	talloc_free(f);
}
END_TEST

START_TEST(tasks_of_one_period_do_not_lengthen_it)
{
	struct fleet *f = sample_fleet(NULL, 1, 1);
	struct fleet_server *sv = sample_server(f, 0);

	for (int i = 0; i < 8; i++)
		fleet_suspect(sv, i);
	ck_assert_int_eq(sv->suspect_until, FLEET_SUSPECT_MS);
	ck_assert(!fleet_note_failure(sv, "one", 100));
	ck_assert(!fleet_note_failure(sv, "another", 100));
	ck_assert_int_eq(sv->suspect_until, FLEET_SUSPECT_MS);
	/* nor are they counted for the next period */
	ck_assert(!fleet_note_failure(sv, "one", FLEET_SUSPECT_MS));
	ck_assert(fleet_note_failure(sv, "another", FLEET_SUSPECT_MS));
	ck_assert_int_eq(sv->suspect_until, 3 * FLEET_SUSPECT_MS);
	talloc_free(f);
}
END_TEST

START_TEST(only_unlisted_servers_without_tasks_are_pruned)
{
	struct fleet *f = sample_fleet(NULL, 4, 4);
	struct work_group *g = sample_start(sample_job(f, 1, 1, 1, 1));

	sample_server(f, 0)->presence = FLEET_UNLISTED;
	sample_server(f, 1)->presence = FLEET_UNLISTED;
	sample_run(&g->task[0], sample_server(f, 1), 0);
	sample_server(f, 2)->presence = FLEET_UNLISTED;
	sample_server(f, 2)->user = f;
	fleet_prune(f, may_free);
	ck_assert_uint_eq(f->all->len, 3);
	ck_assert_ptr_null(fleet_find(f, "s0"));
	ck_assert_ptr_nonnull(fleet_find(f, "s1"));
	talloc_free(f);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, a_new_incarnation_replaces_the_old_one);
	tcase_add_test(t, each_incarnation_of_an_id_knows_of_more_that_have_ended);
	tcase_add_test(t, a_pruned_incarnation_is_added_again);
	tcase_add_test(t, orphaned_runs_use_capacity);
	tcase_add_test(t, failures_of_one_job_make_no_server_suspect);
	tcase_add_test(t, failures_on_many_servers_exclude_none);
	tcase_add_test(t, an_evacuated_server_accepts_no_work);
	tcase_add_test(t, evacuated_servers_do_not_count_when_failures_are_forgiven);
	tcase_add_test(t, servers_that_stall_are_not_forgiven);
	tcase_add_test(t, failures_in_another_pool_do_not_count);
	tcase_add_test(t, failures_on_another_kind_do_not_count);
	tcase_add_test(t, suspect_periods_double_until_a_success);
	tcase_add_test(t, a_fault_that_several_tasks_show_counts_once);
	tcase_add_test(t, a_server_that_refuses_starts_is_asked_again_after_the_same_time);
	tcase_add_test(t, tasks_of_one_period_do_not_lengthen_it);
	tcase_add_test(t, only_unlisted_servers_without_tasks_are_pruned);
}

int main(void)
{
	return run_suite("fleet", add_tests);
}
