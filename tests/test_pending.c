/**
 * DOC: test_pending - how long counts of pending jobs may be told
 */
#include <check.h>

#include "pending/pending.h"
#include "runner.h"

#define COUNTED_AT 5000

/* Guards against a zero that nobody counted, from a leader that has not read the jobs. */
START_TEST(counts_are_not_known_before_anybody_has_counted)
{
	struct pending *p = pending_new(NULL);

	ck_assert(!pending_is_known(p, 1));
	ck_assert(!pending_is_known(p, COUNTED_AT));
	pending_restart(p, COUNTED_AT);
	ck_assert(pending_is_known(p, COUNTED_AT));
	ck_assert_int_eq(pending_of(p, "a"), 0);
	talloc_free(p);
}
END_TEST

/* Guards against a count of any age, of a leader that this VM has not heard for long. */
START_TEST(counts_are_known_for_two_seconds)
{
	struct pending *p = pending_new(NULL);

	pending_restart(p, COUNTED_AT);
	pending_add(p, "a", 1);
	pending_add(p, "a", 2);
	ck_assert(pending_is_known(p, COUNTED_AT + PENDING_AGE_MAX_MS));
	ck_assert_int_eq(pending_of(p, "a"), 3);
	ck_assert(!pending_is_known(p, COUNTED_AT + PENDING_AGE_MAX_MS + 1));
	pending_restart(p, COUNTED_AT + 3000);
	ck_assert(pending_is_known(p, COUNTED_AT + 3000));
	ck_assert_int_eq(pending_of(p, "a"), 0);
	talloc_free(p);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, counts_are_not_known_before_anybody_has_counted);
	tcase_add_test(t, counts_are_known_for_two_seconds);
}

int main(void)
{
	return run_suite("pending", add_tests);
}
