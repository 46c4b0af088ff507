/**
 * DOC: test_budget - admission of bodies, and which connection is closed
 *
 * Load pattern: clients that begin large bodies and stop, or open connections and send
 * nothing, beside ordinary callers.
 */
#include <check.h>

#include "budget/budget.h"
#include "runner.h"

#define MS BASE_NS_PER_MS
#define MB (1024 * 1024)
#define LARGE 262144
#define CONNS 4

struct fixture {
	struct budget budget;
	struct budget_conn conn[CONNS];
	struct budget_conn *victim;
};

/* add_all() opens the connections, 1 ms apart from 0 ms on. */
static struct fixture fixture_of(unsigned int connections_max, size_t bodies_max)
{
	return (struct fixture){.budget = {.limits = {connections_max, bodies_max}}};
}

static void add_all(struct fixture *f)
{
	for (int i = 0; i < CONNS; i++)
		budget_add(&f->budget, &f->conn[i], i * MS);
}

static enum budget_outcome begin(struct fixture *f, int i, size_t bytes, int64_t now)
{
	budget_set_state(&f->budget, &f->conn[i], BUDGET_READING, now);
	return budget_charge(&f->budget, &f->conn[i], bytes, now, &f->victim);
}

/* Guards against stopped bodies that keep every later one out. */
START_TEST(the_longest_stalled_body_makes_room)
{
	struct fixture f = fixture_of(CONNS, 2 * LARGE);

	add_all(&f);
	ck_assert_int_eq(begin(&f, 0, LARGE, 10 * MS), BUDGET_GRANTED);
	ck_assert_int_eq(begin(&f, 1, LARGE, 20 * MS), BUDGET_GRANTED);
	ck_assert_int_eq(begin(&f, 2, LARGE, 30 * MS), BUDGET_SHORT);
	/* A few bytes are no progress. */
	budget_received(&f.conn[0], 100, 600 * MS);
	ck_assert_int_eq(begin(&f, 2, LARGE, 610 * MS), BUDGET_DISCONNECT);
	ck_assert_ptr_eq(f.victim, &f.conn[0]);
	budget_close(&f.budget, f.victim);
	ck_assert_int_eq(begin(&f, 2, LARGE, 610 * MS), BUDGET_GRANTED);
	ck_assert_uint_eq(f.budget.charged, 2 * LARGE);
}
END_TEST

/* Guards against closing callers that are sending, or whose job is being stored. */
START_TEST(bodies_that_progress_or_are_complete_stay)
{
	struct fixture f = fixture_of(CONNS, 2 * LARGE);

	add_all(&f);
	begin(&f, 0, LARGE, 10 * MS);
	begin(&f, 1, LARGE, 10 * MS);
	budget_received(&f.conn[0], BUDGET_PROGRESS_BYTES, 400 * MS);
	budget_set_state(&f.budget, &f.conn[1], BUDGET_HANDLING, 20 * MS);
	ck_assert_int_eq(begin(&f, 2, LARGE, 800 * MS), BUDGET_SHORT);
	ck_assert_int_eq(begin(&f, 3, BUDGET_SMALL_BYTES, 800 * MS), BUDGET_GRANTED);
	budget_set_state(&f.budget, &f.conn[1], BUDGET_IDLE, 900 * MS);
	ck_assert_uint_eq(f.budget.charged, LARGE);
}
END_TEST

START_TEST(nothing_is_closed_for_a_body_that_does_not_fit_then)
{
	struct fixture f = fixture_of(CONNS, 2 * LARGE);

	add_all(&f);
	begin(&f, 0, LARGE, 0);
	begin(&f, 1, LARGE, 0);
	budget_set_state(&f.budget, &f.conn[1], BUDGET_HANDLING, 0);
	ck_assert_int_eq(begin(&f, 2, 2 * LARGE, 5000 * MS), BUDGET_SHORT);
	ck_assert_ptr_null(f.victim);
}
END_TEST

/* Guards against newcomers that are kept out, and against closing the callers that are served. */
START_TEST(a_newcomer_replaces_the_least_useful_connection)
{
	struct fixture f = fixture_of(3, LARGE);
	int64_t now = 700 * MS;

	add_all(&f);
	for (int i = 0; i < 2; i++) {
		budget_set_state(&f.budget, &f.conn[i], BUDGET_ANSWERING, 10 * MS);
		budget_set_state(&f.budget, &f.conn[i], BUDGET_IDLE, (20 + i) * MS);
	}
	ck_assert_ptr_eq(budget_excess(&f.budget, &f.conn[3], now), &f.conn[2]);
	budget_set_state(&f.budget, &f.conn[2], BUDGET_HANDLING, now);
	ck_assert_ptr_eq(budget_excess(&f.budget, &f.conn[3], now), &f.conn[0]);
	budget_set_state(&f.budget, &f.conn[1], BUDGET_READING, 100 * MS);
	ck_assert_ptr_eq(budget_excess(&f.budget, &f.conn[3], now), &f.conn[1]);
	budget_close(&f.budget, &f.conn[1]);
	ck_assert_ptr_null(budget_excess(&f.budget, &f.conn[3], now));
}
END_TEST

/* Guards against closing a caller whose request has arrived, and against one that stays for ever.
 */
START_TEST(a_connection_with_unread_bytes_stays_for_a_while)
{
	struct fixture f = fixture_of(3, LARGE);

	add_all(&f);
	f.conn[0].unread_at = 1000 * MS;
	ck_assert_ptr_eq(budget_excess(&f.budget, &f.conn[3], 1000 * MS), &f.conn[1]);
	f.conn[1].unread_at = f.conn[2].unread_at = 1000 * MS;
	ck_assert_ptr_null(budget_excess(&f.budget, &f.conn[3], 1499 * MS));
	ck_assert_ptr_eq(budget_excess(&f.budget, &f.conn[3], 1500 * MS), &f.conn[0]);
}
END_TEST

/* Guards against closing a caller before its first request arrives. */
START_TEST(a_regular_check_leaves_new_connections)
{
	struct fixture f = fixture_of(3, LARGE);

	add_all(&f);
	ck_assert_ptr_null(budget_excess(&f.budget, NULL, 400 * MS));
	ck_assert_ptr_eq(budget_excess(&f.budget, NULL, 500 * MS), &f.conn[0]);
}
END_TEST

/* Guards against slow bodies and headers that keep a connection for ever. */
START_TEST(incomplete_requests_are_overdue_whatever_they_send)
{
	struct fixture f = fixture_of(CONNS, LARGE);

	add_all(&f);
	budget_set_state(&f.budget, &f.conn[0], BUDGET_READING, 10 * MS);
	budget_received(&f.conn[0], BUDGET_PROGRESS_BYTES, 9000 * MS);
	budget_set_state(&f.budget, &f.conn[1], BUDGET_HANDLING, 10 * MS);
	ck_assert_ptr_null(budget_overdue(&f.budget, 30000, 10009 * MS));
	ck_assert_ptr_eq(budget_overdue(&f.budget, 30000, 10010 * MS), &f.conn[0]);
	budget_close(&f.budget, &f.conn[0]);
	ck_assert_ptr_eq(budget_overdue(&f.budget, 30000, 30002 * MS), &f.conn[2]);
}
END_TEST

START_TEST(limits_follow_the_memory_and_one_body_always_fits)
{
	struct budget_limits smallest = budget_limits_for(120 * MB, 2000, MB);
	struct budget_limits none = budget_limits_for(0, 2000, 100 * MB);

	ck_assert_uint_ge(smallest.connections_max, 200);
	ck_assert_uint_ge(smallest.bodies_max, 100 * LARGE);
	ck_assert_uint_le(smallest.connections_max * BUDGET_CONNECTION_BYTES + smallest.bodies_max +
				  BUDGET_PROCESS_BYTES,
			  120 * MB);
	ck_assert_uint_ge(none.connections_max, BUDGET_CONNECTIONS_MIN);
	ck_assert_uint_eq(none.bodies_max, 100 * MB);
	ck_assert_uint_eq(budget_limits_for(120 * MB, 20, MB).connections_max, 20);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, the_longest_stalled_body_makes_room);
	tcase_add_test(t, bodies_that_progress_or_are_complete_stay);
	tcase_add_test(t, nothing_is_closed_for_a_body_that_does_not_fit_then);
	tcase_add_test(t, a_newcomer_replaces_the_least_useful_connection);
	tcase_add_test(t, a_connection_with_unread_bytes_stays_for_a_while);
	tcase_add_test(t, a_regular_check_leaves_new_connections);
	tcase_add_test(t, incomplete_requests_are_overdue_whatever_they_send);
	tcase_add_test(t, limits_follow_the_memory_and_one_body_always_fits);
}

int main(void)
{
	return run_suite("budget", add_tests);
}
