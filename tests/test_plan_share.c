/**
 * DOC: test_plan_share - what workspaces hold and request, and the order while capacity is short
 */
#include <check.h>
#include <string.h>

#include "plan/plan_share.h"
#include "runner.h"
#include "sample.h"

#define ROUND_MS 100

static struct work_group *group_of(TALLOC_CTX *ctx, unsigned int n, const char *workspace,
				   int64_t priority, unsigned int tasks, int64_t accelerators)
{
	struct work_job *job = sample_job(ctx, n, priority, tasks, accelerators);

	job->workspace = talloc_strdup(job, workspace);
	return sample_start(job);
}

/* ---- counts ---- */

/* Guards against shares that an operator can't explain from what runs and waits. */
START_TEST(what_a_workspace_holds_and_requests_is_counted)
{
	struct fleet *f = sample_fleet(NULL, 2, 2);
	struct plan_share *s = plan_share_new(f);
	struct work_group *half = group_of(f, 1, "a", 2, 4, 2);
	struct work_group *none = group_of(f, 2, "b", 2, 1, 8);
	struct work_group *later = group_of(f, 3, "b", 2, 1, 8);
	const struct plan_account *a;
	const struct plan_account *b;

	sample_run(&half->task[0], sample_server(f, 0), 0);
	sample_run(&half->task[1], sample_server(f, 0), 0);
	later->start_not_before = 100000;
	for (int64_t now = ROUND_MS; now <= 20000; now += ROUND_MS) {
		plan_share_start_round(s, f, now);
		ck_assert_uint_eq(plan_share_count(s, half, now), 2);
		ck_assert_uint_eq(plan_share_count(s, none, now), 1);
		plan_share_count(s, later, now);
	}
	a = half->job->account;
	b = none->job->account;
	ck_assert_int_eq(a->held_accelerators, 4);
	ck_assert_int_eq(a->waiting_accelerators, 4);
	ck_assert_int_eq(b->waiting_accelerators, 8);
	ck_assert_double_eq_tol(a->held, 0.25, 0.001);
	ck_assert_double_eq_tol(plan_share_service(a), 0.5, 0.01);
	ck_assert_double_eq_tol(plan_share_service(b), 0, 0.01);
	/* nothing requested: nothing withheld */
	ck_assert(plan_share_service(&half->job->account->user->account[0]) == 1);
	talloc_free(f);
}
END_TEST

/* Guards against metrics and memory that grow with the names that jobs bring. */
START_TEST(accounts_are_bounded)
{
	struct fleet *f = sample_fleet(NULL, 1, 1);
	struct plan_share *s = plan_share_new(f);
	struct work_group *last = NULL;

	plan_share_start_round(s, f, ROUND_MS);
	for (unsigned int i = 0; i < PLAN_SHARE_WORKSPACES + 10; i++) {
		last = group_of(f, i, talloc_asprintf(f, "w%u", i), 1, 1, 1);
		plan_share_count(s, last, ROUND_MS);
	}
	ck_assert_uint_eq(s->user_count, PLAN_SHARE_WORKSPACES);
	ck_assert_str_eq(last->job->account->user->workspace, PLAN_SHARE_OTHERS);
	ck_assert_int_eq(last->job->account->waiting_accelerators, 10);
	talloc_free(f);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, what_a_workspace_holds_and_requests_is_counted);
	tcase_add_test(t, accounts_are_bounded);
}

int main(void)
{
	return run_suite("plan_share", add_tests);
}
