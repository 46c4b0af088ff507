/**
 * DOC: test_evacuation - which failure domains are evacuated, and how old that knowledge may be
 */
#include <check.h>
#include <stdio.h>
#include <string.h>

#include "evacuation/evacuation.h"
#include "runner.h"

#define BOUND_MS 5000

/* the last change that the set has reported, and how many */
static struct {
	unsigned int count;
	char domain[EVACUATION_NAME_MAX + 1];
	bool is_in_force;
	int64_t version;
} seen;

static void note(const struct evacuation *e, void *data G_GNUC_UNUSED)
{
	seen.count++;
	g_strlcpy(seen.domain, e->domain, sizeof(seen.domain));
	seen.is_in_force = e->is_in_force;
	seen.version = e->version;
}

/* nothing is known yet */
static struct evacuations *unknown(void)
{
	memset(&seen, 0, sizeof(seen));
	return evacuations_new(NULL, note, NULL);
}

/* a read that was sent at 1000 and shows no row, up to version 10 */
static struct evacuations *empty(void)
{
	struct evacuations *set = unknown();

	evacuations_read_begin(set);
	evacuations_read_end(set, 10, 1000);
	return set;
}

static void row(struct evacuations *set, const char *domain, int64_t version)
{
	evacuations_apply(set, str_from(domain), version, false, 2000);
}

static void removal(struct evacuations *set, const char *domain, int64_t version)
{
	evacuations_apply(set, str_from(domain), version, true, 2000);
}

START_TEST(a_row_evacuates_its_domain_until_it_is_removed)
{
	struct evacuations *set = empty();

	row(set, "z1", 11);
	ck_assert(evacuations_contain(set, "z1"));
	ck_assert(!evacuations_contain(set, "z2"));
	ck_assert(!evacuations_contain(set, "z"));
	ck_assert(!evacuations_contain(set, ""));
	ck_assert(seen.is_in_force);
	removal(set, "z1", 12);
	ck_assert(!evacuations_contain(set, "z1"));
	ck_assert(!seen.is_in_force);
	ck_assert_uint_eq(seen.count, 2);
	talloc_free(set);
}
END_TEST

START_TEST(two_domains_are_evacuated_independently)
{
	struct evacuations *set = empty();

	row(set, "z1", 11);
	row(set, "z2", 12);
	ck_assert_uint_eq(evacuations_count(set), 2);
	removal(set, "z1", 13);
	ck_assert(!evacuations_contain(set, "z1"));
	ck_assert(evacuations_contain(set, "z2"));
	talloc_free(set);
}
END_TEST

/* a row that is written again, with whatever value, is no new evacuation */
START_TEST(a_row_that_is_seen_again_is_not_reported_again)
{
	struct evacuations *set = empty();

	row(set, "z1", 11);
	row(set, "z1", 11);
	row(set, "z1", 14);
	ck_assert_uint_eq(seen.count, 1);
	removal(set, "z1", 12); /* of the former row */
	ck_assert(evacuations_contain(set, "z1"));
	talloc_free(set);
}
END_TEST

/* a removed row that an old read or feed shows must not evacuate the domain for ever */
START_TEST(an_older_version_that_comes_late_changes_nothing)
{
	struct evacuations *set = empty();

	removal(set, "z1", 12);
	row(set, "z1", 11);
	ck_assert(!evacuations_contain(set, "z1"));
	evacuations_read_begin(set);
	evacuations_read_row(set, str_from("z1"), 11);
	evacuations_read_end(set, 11, 1500);
	ck_assert(!evacuations_contain(set, "z1"));
	talloc_free(set);
}
END_TEST

/* after a lost history no feed reports the rows that were removed meanwhile */
START_TEST(a_read_replaces_what_was_known)
{
	struct evacuations *set = empty();

	row(set, "z1", 11);
	row(set, "z2", 12);
	evacuations_read_begin(set);
	evacuations_read_row(set, str_from("z2"), 12);
	evacuations_read_row(set, str_from("z3"), 15);
	evacuations_read_row(set, str_from("z3"), 15); /* pages overlap */
	evacuations_read_end(set, 20, 3000);
	ck_assert(!evacuations_contain(set, "z1"));
	ck_assert(evacuations_contain(set, "z2"));
	ck_assert(evacuations_contain(set, "z3"));
	talloc_free(set);
}
END_TEST

START_TEST(a_read_does_not_undo_what_a_feed_has_reported_meanwhile)
{
	struct evacuations *set = empty();

	evacuations_read_begin(set);
	row(set, "z1", 21);
	evacuations_read_end(set, 20, 3000);
	ck_assert(evacuations_contain(set, "z1"));
	talloc_free(set);
}
END_TEST

START_TEST(rows_of_an_unfinished_read_do_not_count)
{
	struct evacuations *set = empty();

	evacuations_read_begin(set);
	evacuations_read_row(set, str_from("z1"), 11);
	evacuations_read_begin(set);
	evacuations_read_end(set, 20, 3000);
	ck_assert(!evacuations_contain(set, "z1"));
	talloc_free(set);
}
END_TEST

START_TEST(a_key_that_names_no_domain_is_ignored)
{
	struct evacuations *set = empty();
	char name[EVACUATION_NAME_MAX + 1];

	memset(name, 'z', sizeof(name));
	evacuations_apply(set, (struct str){"", 0}, 11, false, 2000);
	evacuations_apply(set, (struct str){"z1\0x", 4}, 12, false, 2000);
	evacuations_apply(set, (struct str){name, sizeof(name)}, 13, false, 2000);
	ck_assert_uint_eq(evacuations_count(set), 0);
	evacuations_apply(set, (struct str){name, sizeof(name) - 1}, 14, false, 2000);
	evacuations_apply(set, (struct str){"\xff\n\"", 3}, 15, false, 2000);
	ck_assert_uint_eq(evacuations_count(set), 2);
	ck_assert(!evacuations_contain(set, "z1"));
	talloc_free(set);
}
END_TEST

static void fill(struct evacuations *set, int64_t version)
{
	for (int i = 0; i < EVACUATION_DOMAINS_MAX; i++) {
		char name[8];

		snprintf(name, sizeof(name), "z%d", i);
		row(set, name, version + i);
	}
}

/* a domain that does not fit could get work against the operator's request */
START_TEST(with_more_rows_than_fit_all_domains_count_as_evacuated)
{
	struct evacuations *set = empty();

	fill(set, 11);
	ck_assert(!evacuations_contain(set, "other"));
	row(set, "further", 90);
	ck_assert(evacuations_contain(set, "other"));
	ck_assert(!evacuations_are_complete(set));
	/* the row that did not fit is read once there is a place */
	removal(set, "z3", 91);
	ck_assert(evacuations_must_read(set));
	evacuations_read_begin(set);
	for (int i = 0; i < EVACUATION_DOMAINS_MAX; i++) {
		char name[8];

		snprintf(name, sizeof(name), "z%d", i);
		if (i != 3)
			evacuations_read_row(set, str_from(name), 11 + i);
	}
	evacuations_read_row(set, str_from("further"), 90);
	evacuations_read_end(set, 92, 3000);
	ck_assert(evacuations_are_complete(set));
	ck_assert(evacuations_contain(set, "further"));
	ck_assert(!evacuations_contain(set, "other"));
	talloc_free(set);
}
END_TEST

static const char *filled_name(int i)
{
	static char name[8];

	snprintf(name, sizeof(name), "z%d", i);
	return name;
}

/* a row that a full read left out was reported as the end of an evacuation */
START_TEST(a_row_that_does_not_fit_into_a_read_is_not_taken_for_removed)
{
	struct evacuations *set = empty();

	fill(set, 11);
	evacuations_read_begin(set);
	evacuations_read_row(set, str_from("a"), 90);
	for (int i = 0; i < EVACUATION_DOMAINS_MAX; i++)
		evacuations_read_row(set, str_from(filled_name(i)), 11 + i);
	evacuations_read_end(set, 91, 3000);
	ck_assert(!evacuations_are_complete(set));
	ck_assert(evacuations_contain(set, "z31"));
	ck_assert_uint_eq(seen.count, EVACUATION_DOMAINS_MAX);
	removal(set, "a", 92);
	evacuations_read_begin(set);
	for (int i = 0; i < EVACUATION_DOMAINS_MAX; i++)
		evacuations_read_row(set, str_from(filled_name(i)), 11 + i);
	evacuations_read_end(set, 92, 3100);
	ck_assert(evacuations_are_complete(set));
	ck_assert(evacuations_contain(set, "z31"));
	ck_assert_uint_eq(evacuations_count(set), EVACUATION_DOMAINS_MAX);
	talloc_free(set);
}
END_TEST

/* a read that began before the row was written ended the state in which all domains count */
START_TEST(a_row_that_does_not_fit_during_a_read_is_not_forgotten)
{
	struct evacuations *set = empty();

	fill(set, 11);
	evacuations_read_begin(set);
	for (int i = 0; i < EVACUATION_DOMAINS_MAX; i++)
		evacuations_read_row(set, str_from(filled_name(i)), 11 + i);
	row(set, "further", 90);
	evacuations_read_end(set, 60, 3000);
	ck_assert(evacuations_contain(set, "further"));
	ck_assert(evacuations_must_read(set));
	evacuations_read_begin(set);
	for (int i = 1; i < EVACUATION_DOMAINS_MAX; i++)
		evacuations_read_row(set, str_from(filled_name(i)), 11 + i);
	evacuations_read_row(set, str_from("further"), 90);
	evacuations_read_end(set, 91, 3100);
	ck_assert(!evacuations_must_read(set));
	ck_assert(evacuations_are_complete(set));
	ck_assert(evacuations_contain(set, "further"));
	ck_assert(!evacuations_contain(set, "other"));
	talloc_free(set);
}
END_TEST

START_TEST(removed_rows_make_room)
{
	struct evacuations *set = empty();

	fill(set, 11);
	for (int i = 0; i < EVACUATION_DOMAINS_MAX; i++) {
		char name[8];

		snprintf(name, sizeof(name), "z%d", i);
		removal(set, name, 60 + i);
	}
	fill(set, 100);
	row(set, "z0", 200);
	removal(set, "z1", 201);
	row(set, "new", 202);
	ck_assert(evacuations_are_complete(set));
	ck_assert(evacuations_contain(set, "new"));
	ck_assert_uint_eq(evacuations_count(set), EVACUATION_DOMAINS_MAX);
	talloc_free(set);
}
END_TEST

/* a new leader that has not read the rows must start nothing */
START_TEST(nothing_starts_before_the_first_read)
{
	struct evacuations *set = unknown();

	evacuations_confirm(set, 1000);
	ck_assert(evacuations_must_read(set));
	ck_assert_int_eq(evacuations_age_ms(set, 1000), -1);
	ck_assert(!evacuations_allow_starts(set, BOUND_MS, 0, 1000));
	ck_assert_int_eq(evacuations_start_within_ms(set, BOUND_MS, 0, 1000), 0);
	talloc_free(set);
}
END_TEST

START_TEST(a_view_of_an_earlier_term_does_not_do)
{
	struct evacuations *set = empty();

	ck_assert(evacuations_allow_starts(set, BOUND_MS, 1000, 1100));
	ck_assert(!evacuations_allow_starts(set, BOUND_MS, 1001, 1100));
	talloc_free(set);
}
END_TEST

/* a request that was acknowledged as the view was read must be obeyed in time */
START_TEST(an_old_view_allows_no_start)
{
	struct evacuations *set = empty();
	int64_t latest = 1000 + BOUND_MS - EVACUATION_ORDER_MS;

	ck_assert(evacuations_allow_starts(set, BOUND_MS, 0, latest));
	ck_assert(!evacuations_allow_starts(set, BOUND_MS, 0, latest + 1));
	evacuations_confirm(set, 3000);
	ck_assert(evacuations_allow_starts(set, BOUND_MS, 0, latest + 2000));
	evacuations_confirm(set, 2500); /* an answer that came late */
	ck_assert(evacuations_allow_starts(set, BOUND_MS, 0, latest + 2000));
	talloc_free(set);
}
END_TEST

/* a VM that skips its feed to a peer's version does not see what it has skipped */
START_TEST(after_a_gap_only_a_later_read_confirms)
{
	struct evacuations *set = empty();

	evacuations_read_begin(set);
	evacuations_lose(set);
	evacuations_confirm(set, 3000);
	ck_assert_int_eq(evacuations_age_ms(set, 3000), 2000);
	evacuations_read_end(set, 20, 3000); /* of a read that began before */
	ck_assert(evacuations_must_read(set));
	ck_assert_int_eq(evacuations_age_ms(set, 3000), 2000);
	evacuations_read_begin(set);
	evacuations_read_end(set, 21, 3100);
	ck_assert(!evacuations_must_read(set));
	ck_assert_int_eq(evacuations_age_ms(set, 3100), 0);
	evacuations_confirm(set, 4000);
	ck_assert_int_eq(evacuations_age_ms(set, 4000), 0);
	talloc_free(set);
}
END_TEST

/* a start that a link or a server holds back must not be carried out after the bound */
START_TEST(a_start_has_to_be_carried_out_within_the_bound)
{
	struct evacuations *set = empty();

	ck_assert_int_eq(evacuations_start_within_ms(set, BOUND_MS, 0, 1500), 4500);
	ck_assert_int_eq(evacuations_start_within_ms(set, BOUND_MS, 10000, 1500), 4200);
	ck_assert_int_eq(evacuations_start_within_ms(set, BOUND_MS, 3600000, 1500),
			 4500 - EVACUATION_CLOCK_MARGIN_MS);
	ck_assert_int_eq(evacuations_start_within_ms(set, BOUND_MS, 0, 7000), 0);
	talloc_free(set);
}
END_TEST

START_TEST(a_short_bound_leaves_time_for_views_and_starts)
{
	struct evacuations *set = empty();

	ck_assert_int_eq(evacuations_age_max_ms(600), 300);
	ck_assert(evacuations_allow_starts(set, 600, 0, 1300));
	ck_assert(!evacuations_allow_starts(set, 600, 0, 1301));
	talloc_free(set);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, a_row_evacuates_its_domain_until_it_is_removed);
	tcase_add_test(t, two_domains_are_evacuated_independently);
	tcase_add_test(t, a_row_that_is_seen_again_is_not_reported_again);
	tcase_add_test(t, an_older_version_that_comes_late_changes_nothing);
	tcase_add_test(t, a_read_replaces_what_was_known);
	tcase_add_test(t, a_read_does_not_undo_what_a_feed_has_reported_meanwhile);
	tcase_add_test(t, rows_of_an_unfinished_read_do_not_count);
	tcase_add_test(t, a_key_that_names_no_domain_is_ignored);
	tcase_add_test(t, with_more_rows_than_fit_all_domains_count_as_evacuated);
	tcase_add_test(t, a_row_that_does_not_fit_into_a_read_is_not_taken_for_removed);
	tcase_add_test(t, a_row_that_does_not_fit_during_a_read_is_not_forgotten);
	tcase_add_test(t, removed_rows_make_room);
	tcase_add_test(t, nothing_starts_before_the_first_read);
	tcase_add_test(t, a_view_of_an_earlier_term_does_not_do);
	tcase_add_test(t, an_old_view_allows_no_start);
	tcase_add_test(t, after_a_gap_only_a_later_read_confirms);
	tcase_add_test(t, a_start_has_to_be_carried_out_within_the_bound);
	tcase_add_test(t, a_short_bound_leaves_time_for_views_and_starts);
}

int main(void)
{
	return run_suite("evacuation", add_tests);
}
