/**
 * DOC: test_recent - ids that are remembered for a limited time
 */
#include <check.h>

#include "recent/recent.h"
#include "runner.h"

START_TEST(an_id_is_forgotten_at_its_deadline)
{
	struct recent *r = recent_new(NULL, 4);

	recent_add(r, "a", 1000, 0);
	ck_assert(recent_has(r, "a", 999));
	ck_assert(!recent_has(r, "a", 1000));
	ck_assert(!recent_has(r, "b", 0));
	talloc_free(r);
}
END_TEST

START_TEST(a_later_deadline_counts)
{
	struct recent *r = recent_new(NULL, 4);

	recent_add(r, "a", 1000, 0);
	recent_add(r, "a", 500, 100);
	ck_assert(recent_has(r, "a", 900));
	recent_add(r, "a", 2000, 900);
	ck_assert(recent_has(r, "a", 1500));
	recent_remove(r, "a");
	ck_assert(!recent_has(r, "a", 1500));
	talloc_free(r);
}
END_TEST

START_TEST(a_full_set_drops_the_oldest_id)
{
	struct recent *r = recent_new(NULL, 2);

	recent_add(r, "a", 1000, 0);
	recent_add(r, "b", 1000, 1);
	recent_add(r, "a", 1000, 2);
	recent_add(r, "c", 1000, 3);
	ck_assert(recent_has(r, "a", 4));
	ck_assert(!recent_has(r, "b", 4));
	ck_assert(recent_has(r, "c", 4));
	talloc_free(r);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, an_id_is_forgotten_at_its_deadline);
	tcase_add_test(t, a_later_deadline_counts);
	tcase_add_test(t, a_full_set_drops_the_oldest_id);
}

int main(void)
{
	return run_suite("recent", add_tests);
}
