/**
 * DOC: test_base - strings, outcomes, deadlines, rendezvous hashing, counters
 */
#include <check.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "base/base.h"
#include "runner.h"

START_TEST(strings_compare_by_length_and_bytes)
{
	struct str a = {"ab\0c", 4};
	struct str b = {"ab\0d", 4};

	ck_assert(!str_eq(a, b));
	ck_assert(str_eq(a, a));
	ck_assert(str_eq(str_from(NULL), str_from("")));
}
END_TEST

/* Guards against a copy that is shorter than its length says, which is then read beyond its end. */
START_TEST(a_copy_has_all_bytes_and_a_query_parameter_escapes_them)
{
	struct str odd = {"x&\0#y", 5};
	char *copy = str_dup(NULL, odd);
	char *url = base_url_add(talloc_strdup(NULL, "u"), "a", odd);

	ck_assert_mem_eq(copy, odd.ptr, odd.len);
	ck_assert_int_eq(copy[odd.len], 0);
	url = base_url_add(url, "b", str_from(NULL));
	url = base_url_add(url, "c", str_from("\303\251 +%"));
	ck_assert_str_eq(url, "u?a=x%26%00%23y&b=&c=%C3%A9%20%2B%25");
	talloc_free(copy);
	talloc_free(url);
}
END_TEST

START_TEST(outcomes_are_a_closed_set)
{
	ck_assert_int_eq(base_outcome_parse("not_run"), OUTCOME_NOT_RUN);
	ck_assert_int_eq(base_outcome_parse("nonsense"), OUTCOME_NONE);
	ck_assert_uint_eq(base_outcome_http_status(OUTCOME_UNKNOWN), 504);
	ck_assert_str_eq(base_outcome_name(OUTCOME_DONE), "done");
	ck_assert_int_eq(base_class_parse("batch"), CLASS_BATCH);
	ck_assert_int_eq(base_class_parse("later"), CLASS_COUNT);
}
END_TEST

START_TEST(deadlines_do_not_go_negative)
{
	ck_assert_int_eq(base_remaining_ms(base_now_ns() - 1000000), 0);
	ck_assert_int_ge(base_remaining_ms(base_deadline_in(500)), 499);
}
END_TEST

/* removing a node moves only the keys that it owned */
START_TEST(rendezvous_moves_only_the_lost_nodes_keys)
{
	static const char *const nodes[] = {"e0", "e1", "e2", "e3"};
	int moved = 0;

	for (int k = 0; k < 1000; k++) {
		char key[16];
		int best = 0;
		int without = 0;

		g_snprintf(key, sizeof(key), "b%d", k);
		for (int n = 1; n < 4; n++)
			if (base_rendezvous_weight(nodes[n], key) >
			    base_rendezvous_weight(nodes[best], key))
				best = n;
		for (int n = 1; n < 3; n++)
			if (base_rendezvous_weight(nodes[n], key) >
			    base_rendezvous_weight(nodes[without], key))
				without = n;
		if (best != 3)
			ck_assert_int_eq(best, without);
		else
			moved++;
	}
	ck_assert_int_gt(moved, 150);
	ck_assert_int_lt(moved, 350);
}
END_TEST

static struct counter_set set;

static void *add_many(void *data)
{
	for (int i = 0; i < 100000; i++)
		counter_add(&set, (unsigned int)GPOINTER_TO_INT(data), 0, 1);
	return NULL;
}

START_TEST(counters_of_all_threads_are_summed)
{
	static const char *const names[] = {"things_total"};
	pthread_t threads[4];
	char *text;

	set.names = names;
	set.count = 1;
	for (int i = 0; i < 4; i++)
		pthread_create(&threads[i], NULL, add_many, GINT_TO_POINTER(i));
	for (int i = 0; i < 4; i++)
		pthread_join(threads[i], NULL);
	text = counter_text(NULL, &set);
	ck_assert_str_eq(text, "currantlane_things_total 400000\n");
	talloc_free(text);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, strings_compare_by_length_and_bytes);
	tcase_add_test(t, a_copy_has_all_bytes_and_a_query_parameter_escapes_them);
	tcase_add_test(t, outcomes_are_a_closed_set);
	tcase_add_test(t, deadlines_do_not_go_negative);
	tcase_add_test(t, rendezvous_moves_only_the_lost_nodes_keys);
	tcase_add_test(t, counters_of_all_threads_are_summed);
}

int main(void)
{
	return run_suite("base", add_tests);
}
