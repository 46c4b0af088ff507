/**
 * DOC: test_renewal - leases that an entry VM renews while its leader is silent
 */
#include <check.h>

#include "renewal/renewal.h"
#include "runner.h"

#define TERM 3
#define LEASE_MS 6000
#define LIMIT 30000 /* on the server's clock */

/* a poll of the leader at local time 1000, answered at 1100 when the server's clock is 20100 */
static struct renewal renewal(void)
{
	struct renewal r = {0};

	renewal_set_limit(&r, TERM, LIMIT, 1000);
	renewal_set_server_clock(&r, 20100, LEASE_MS, 1100);
	r.leader_active_at = 1100;
	return r;
}

START_TEST(no_lease_is_renewed_while_the_leader_polls)
{
	struct renewal r = renewal();

	ck_assert_int_eq(
		renewal_next_lease_until(&r, TERM, LEASE_MS, 1100 + RENEWAL_LEADER_TIMEOUT_MS - 1),
		0);
	r.polls_in_flight = 1;
	ck_assert_int_eq(
		renewal_next_lease_until(&r, TERM, LEASE_MS, 1100 + RENEWAL_LEADER_TIMEOUT_MS), 0);
}
END_TEST

START_TEST(leases_are_renewed_while_the_leader_is_silent)
{
	struct renewal r = renewal();
	int64_t now = 1100 + RENEWAL_LEADER_TIMEOUT_MS;

	ck_assert_int_eq(renewal_next_lease_until(&r, TERM, LEASE_MS, now),
			 20100 + RENEWAL_LEADER_TIMEOUT_MS + LEASE_MS);
}
END_TEST

START_TEST(no_lease_exceeds_the_limit)
{
	struct renewal r = renewal();

	ck_assert_int_eq(renewal_next_lease_until(&r, TERM, LEASE_MS, 1100 + 8000), LIMIT);
	r.requested_until = LIMIT;
	ck_assert_int_eq(renewal_next_lease_until(&r, TERM, LEASE_MS, 1100 + 8500), 0);
	ck_assert(renewal_is_over(&r, TERM, 1100 + 9900));
}
END_TEST

/*
 * Guards against leases renewed for an hour: the server had been up for so long when it started
 * again, and the leader set its limit on the former clock.
 */
START_TEST(a_limit_on_the_clock_of_an_earlier_incarnation_is_dropped)
{
	struct renewal r = {0};

	renewal_set_limit(&r, TERM, 3600000 + LIMIT, 1000);
	renewal_set_server_clock(&r, 50, LEASE_MS, 1100);
	ck_assert_int_eq(renewal_next_lease_until(&r, TERM, LEASE_MS, 1100 + 3000), 0);
	ck_assert(renewal_is_over(&r, TERM, 1100));
	renewal_set_limit(&r, TERM, 50 + RENEWAL_GRANTS_MAX_MS + LEASE_MS, 1200);
	renewal_set_server_clock(&r, 200, LEASE_MS, 1250);
	r.leader_active_at = 1250;
	ck_assert_int_eq(renewal_next_lease_until(&r, TERM, LEASE_MS, 1250 + 3000),
			 200 + 3000 + LEASE_MS);
}
END_TEST

/* paused for a minute that its clock may not have counted; the limit is on the server's clock */
START_TEST(a_vm_that_resumes_late_requests_no_more)
{
	struct renewal r = renewal();

	ck_assert_int_eq(renewal_next_lease_until(&r, TERM, LEASE_MS, 1100 + 60000), 0);
	ck_assert_int_le(renewal_next_lease_until(&r, TERM, LEASE_MS, 1100 + 2500), LIMIT);
	/* an order of the previous leader that arrives late */
	renewal_set_limit(&r, TERM - 1, LIMIT + 60000, 61100);
	ck_assert_int_eq(r.limit, LIMIT);
}
END_TEST

START_TEST(a_newer_leader_ends_renewal)
{
	struct renewal r = renewal();

	ck_assert_int_eq(renewal_next_lease_until(&r, TERM + 1, LEASE_MS, 1100 + 3000), 0);
	ck_assert(renewal_is_over(&r, TERM + 1, 1100 + 3000));
}
END_TEST

START_TEST(nothing_is_renewed_without_a_limit)
{
	struct renewal r = renewal();

	renewal_set_limit(&r, TERM, 0, 1200);
	ck_assert_int_eq(renewal_next_lease_until(&r, TERM, LEASE_MS, 1200 + 3000), 0);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, no_lease_is_renewed_while_the_leader_polls);
	tcase_add_test(t, leases_are_renewed_while_the_leader_is_silent);
	tcase_add_test(t, no_lease_exceeds_the_limit);
	tcase_add_test(t, a_limit_on_the_clock_of_an_earlier_incarnation_is_dropped);
	tcase_add_test(t, a_vm_that_resumes_late_requests_no_more);
	tcase_add_test(t, a_newer_leader_ends_renewal);
	tcase_add_test(t, nothing_is_renewed_without_a_limit);
}

int main(void)
{
	return run_suite("renewal", add_tests);
}
