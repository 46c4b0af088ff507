/**
 * DOC: test_mtimer - order of expiry, cancellation, and owners that a handler frees
 */
#include <check.h>
#include <string.h>

#include "mtimer/mtimer.h"
#include "runner.h"

static char order[16];

static void note(struct mtimer *t G_GNUC_UNUSED, void *data)
{
	strncat(order, data, sizeof(order) - strlen(order) - 1);
}

static void free_owner(struct mtimer *t G_GNUC_UNUSED, void *data)
{
	strncat(order, "f", sizeof(order) - strlen(order) - 1);
	talloc_free(data);
}

static void run_for(struct tevent_context *ev, int64_t ms)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	int64_t end = base_deadline_in(ms);
	char *nothing = talloc_strdup(ctx, "");

	while (base_now_ns() < end) {
		mtimer_add(ctx, ev, base_deadline_in(5), note, nothing);
		tevent_loop_once(ev);
	}
	talloc_free(ctx);
}

START_TEST(timers_fire_in_order_of_their_deadlines)
{
	struct tevent_context *ev = tevent_context_init(NULL);

	order[0] = 0;
	mtimer_add(ev, ev, base_deadline_in(40), note, "c");
	mtimer_add(ev, ev, base_deadline_in(20), note, "a");
	mtimer_add(ev, ev, base_deadline_in(30), note, "b");
	run_for(ev, 80);
	ck_assert_str_eq(order, "abc");
	talloc_free(ev);
}
END_TEST

START_TEST(a_freed_timer_does_not_fire)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	struct mtimer *t = mtimer_add(ev, ev, base_deadline_in(10), note, "x");

	order[0] = 0;
	talloc_free(t);
	run_for(ev, 30);
	ck_assert_str_eq(order, "");
	talloc_free(ev);
}
END_TEST

START_TEST(a_handler_may_free_the_owner)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	void *owner = talloc_new(ev);

	order[0] = 0;
	mtimer_add(owner, ev, base_deadline_in(10), free_owner, owner);
	mtimer_add(owner, ev, base_deadline_in(15), note, "x");
	run_for(ev, 40);
	ck_assert_str_eq(order, "f");
	talloc_free(ev);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, timers_fire_in_order_of_their_deadlines);
	tcase_add_test(t, a_freed_timer_does_not_fire);
	tcase_add_test(t, a_handler_may_free_the_owner);
}

int main(void)
{
	return run_suite("mtimer", add_tests);
}
