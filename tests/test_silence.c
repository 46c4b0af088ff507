/**
 * DOC: test_silence - when a failure domain counts as silent
 */
#include <check.h>
#include <stdbool.h>

#include "runner.h"
#include "silence/silence.h"

#define VMS_MAX 30
#define SMALL_INTERVAL_MS 200
#define LARGE_INTERVAL_MS 1000 /* of a site with 147 VMs */
#define CHECK_MS 100	       /* between two decisions */
#define START_MS 100000

/* VMs that ping in turn, the phases spread evenly, until one of them or all stop */
struct domain {
	unsigned int vms;
	int64_t interval_ms;
	int64_t first_stops_at;
	int64_t all_stop_at;
};

static int64_t last_ping(const struct domain *domain, unsigned int vm, int64_t now)
{
	int64_t phase = START_MS - domain->interval_ms + vm * domain->interval_ms / domain->vms;
	int64_t until =
		domain->all_stop_at && domain->all_stop_at < now ? domain->all_stop_at : now;

	if (!vm && domain->first_stops_at && domain->first_stops_at < until)
		until = domain->first_stops_at;
	return phase + (until - phase) / domain->interval_ms * domain->interval_ms;
}

static int64_t silent_since(const struct domain *domain, int64_t now)
{
	int64_t contacts[VMS_MAX];

	for (unsigned int i = 0; i < domain->vms; i++)
		contacts[i] = last_ping(domain, i, now);
	return silence_since(contacts, domain->vms, domain->interval_ms, now);
}

/* decisions in 10 s that take the domain to be silent */
static unsigned int silent_decisions(const struct domain *domain)
{
	unsigned int count = 0;

	for (int64_t now = START_MS; now < START_MS + 10000; now += CHECK_MS)
		count += silent_since(domain, now) != 0;
	return count;
}

/*
 * Issue 27: with 147 VMs known, each pings once a second. The idle servers of a domain
 * with one VM left got no work for much of each second.
 */
START_TEST(vms_that_ping_in_time_are_not_silent)
{
	for (unsigned int vms = 1; vms <= VMS_MAX; vms++) {
		const struct domain small = {vms, SMALL_INTERVAL_MS, 0, 0};
		const struct domain large = {vms, LARGE_INTERVAL_MS, 0, 0};

		ck_assert_uint_eq(silent_decisions(&small), 0);
		ck_assert_uint_eq(silent_decisions(&large), 0);
	}
}
END_TEST

START_TEST(the_others_speak_for_a_lost_vm)
{
	const struct domain two = {2, SMALL_INTERVAL_MS, START_MS + 3000, 0};
	const struct domain many = {VMS_MAX, LARGE_INTERVAL_MS, START_MS + 3000, 0};

	ck_assert_uint_eq(silent_decisions(&two), 0);
	ck_assert_uint_eq(silent_decisions(&many), 0);
}
END_TEST

START_TEST(a_domain_that_is_cut_off_is_noticed_soon)
{
	const struct domain small = {2, SMALL_INTERVAL_MS, 0, START_MS};
	const struct domain many = {VMS_MAX, LARGE_INTERVAL_MS, 0, START_MS};
	const struct domain one = {1, LARGE_INTERVAL_MS, 0, START_MS};

	ck_assert_int_ne(silent_since(&small, START_MS + 700), 0);
	/* the missing pings of the others show it before the next of each is due */
	ck_assert_int_ne(silent_since(&many, START_MS + 700), 0);
	ck_assert_int_ne(silent_since(&one, START_MS + 1500), 0);
}
END_TEST

START_TEST(silence_begins_later_than_the_last_contact_and_stays)
{
	const struct domain many = {VMS_MAX, LARGE_INTERVAL_MS, 0, START_MS};
	int64_t since = silent_since(&many, START_MS + 2000);

	ck_assert_int_gt(since, START_MS);
	ck_assert_int_le(since, START_MS + 2000);
	ck_assert_int_eq(silent_since(&many, START_MS + 30000), since);
	ck_assert_int_eq(silent_since(&many, START_MS + SILENCE_FORGET_MS), 0);
}
END_TEST

START_TEST(a_domain_without_contact_is_not_silent)
{
	const int64_t never[] = {0, 0};

	ck_assert_int_eq(silence_since(never, 0, LARGE_INTERVAL_MS, START_MS), 0);
	ck_assert_int_eq(silence_since(never, 2, LARGE_INTERVAL_MS, START_MS), 0);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, vms_that_ping_in_time_are_not_silent);
	tcase_add_test(t, the_others_speak_for_a_lost_vm);
	tcase_add_test(t, a_domain_that_is_cut_off_is_noticed_soon);
	tcase_add_test(t, silence_begins_later_than_the_last_contact_and_stays);
	tcase_add_test(t, a_domain_without_contact_is_not_silent);
}

int main(void)
{
	return run_suite("silence", add_tests);
}
