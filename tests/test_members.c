/**
 * DOC: test_members - entries of the list of backend servers, valid and invalid
 */
#include <check.h>
#include <string.h>

#include "platform/members.h"
#include "runner.h"

#define ENTRY(STATE, BORN)                                                                    \
	"{\"service\":\"s\",\"addr\":\"10.0.0.1:80\",\"zone\":\"z\",\"state\":\"" STATE "\"," \
	"\"remaining-ms\":4000,\"capacity\":{\"cpu\":64000,\"mem-mb\":100,\"gpu\":8},"        \
	"\"labels\":[\"a\",\"r1-2\"],\"born\":" BORN "}"

static struct fleet_server *apply(struct fleet *f, const char *text)
{
	const char *fault;

	return members_apply(f, "i-1", str_from(text), 1000, &fault);
}

START_TEST(a_valid_entry_adds_a_server)
{
	struct fleet *f = fleet_new(NULL);
	struct fleet_server *sv = apply(f, ENTRY("ready", "5"));

	ck_assert_ptr_nonnull(sv);
	ck_assert_int_eq(sv->presence, FLEET_LISTED);
	ck_assert_int_eq(sv->capacity.accelerators, 8);
	ck_assert_str_eq(fleet_rack_name(f, sv->rack), "r1-2");
	ck_assert(fleet_has_label(sv, "a"));
	talloc_free(f);
}
END_TEST

START_TEST(a_draining_server_has_a_deadline)
{
	struct fleet *f = fleet_new(NULL);
	struct fleet_server *sv = apply(f, ENTRY("draining", "5"));

	ck_assert_int_eq(sv->presence, FLEET_DRAINING);
	ck_assert_int_eq(sv->drain_deadline, 5000);
	ck_assert_ptr_eq(apply(f, ENTRY("ready", "5")), sv);
	ck_assert_int_eq(sv->drain_deadline, 0);
	talloc_free(f);
}
END_TEST

START_TEST(a_later_start_is_another_incarnation)
{
	struct fleet *f = fleet_new(NULL);
	struct fleet_server *old = apply(f, ENTRY("ready", "5"));
	struct fleet_server *newer = apply(f, ENTRY("ready", "6"));

	ck_assert_ptr_ne(old, newer);
	ck_assert_int_eq(old->presence, FLEET_REPLACED);
	ck_assert_ptr_null(apply(f, ENTRY("ready", "5")));
	talloc_free(f);
}
END_TEST

START_TEST(invalid_entries_are_rejected)
{
	static const char *const invalid[] = {
		"",
		"\x01\xff",
		"[]",
		"{}",
		"{\"service\":3}",
		ENTRY("resting", "5"),
		ENTRY("ready", "\"5\""),
		"{\"service\":\"s\",\"addr\":\"nowhere\",\"state\":\"ready\",\"born\":1,"
		"\"capacity\":{\"cpu\":1,\"mem-mb\":1,\"gpu\":1},\"labels\":[]}",
		"{\"service\":\"s\",\"addr\":\"a:1\",\"state\":\"ready\",\"born\":1,"
		"\"capacity\":{\"cpu\":\"1\",\"mem-mb\":1,\"gpu\":1},\"labels\":[]}",
	};
	struct fleet *f = fleet_new(NULL);
	struct fleet_server *sv = apply(f, ENTRY("ready", "5"));

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++)
		ck_assert_msg(!apply(f, invalid[i]), "entry %zu was accepted", i);
	ck_assert_int_eq(sv->presence, FLEET_LISTED);
	ck_assert_uint_eq(f->all->len, 1);
	talloc_free(f);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, a_valid_entry_adds_a_server);
	tcase_add_test(t, a_draining_server_has_a_deadline);
	tcase_add_test(t, a_later_start_is_another_incarnation);
	tcase_add_test(t, invalid_entries_are_rejected);
}

int main(void)
{
	return run_suite("members", add_tests);
}
