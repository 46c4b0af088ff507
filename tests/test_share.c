/**
 * DOC: test_share - selection of the entry VM that relays orders to a backend server
 */
#include <check.h>
#include <stdio.h>

#include "runner.h"
#include "share/share.h"

#define SERVERS 220 /* of one failure domain of a site with 1,100 */

static const struct share_vm vms[] = {
	{"a-large-1", "a", true},  {"a-large-2", "a", true}, {"a-large-3", "a", true},
	{"a-small-1", "a", false}, {"b-large-1", "b", true}, {"c-small-1", "c", false},
	{"c-small-2", "c", false},
};

static int pick(const struct share_vm *list, unsigned int count, unsigned int server,
		const char *failure_domain)
{
	char id[32];

	snprintf(id, sizeof(id), "i-%u", server);
	return share_select_vm(list, count, id, failure_domain);
}

START_TEST(large_vms_of_the_servers_domain_share_its_servers)
{
	unsigned int of[sizeof(vms) / sizeof(vms[0])] = {0};

	for (unsigned int i = 0; i < SERVERS; i++)
		of[pick(vms, 7, i, "a")]++;
	/* each within a third of an even share */
	for (unsigned int i = 0; i < 3; i++) {
		ck_assert_uint_ge(of[i], SERVERS / 3 * 2 / 3);
		ck_assert_uint_le(of[i], SERVERS / 3 * 4 / 3);
	}
	ck_assert_uint_eq(of[0] + of[1] + of[2], SERVERS);
}
END_TEST

START_TEST(small_vms_are_selected_only_without_large_ones)
{
	for (unsigned int i = 0; i < SERVERS; i++)
		ck_assert_int_ge(pick(vms, 7, i, "c"), 5);
	ck_assert_int_eq(pick(vms, 7, 1, "d"), SHARE_NO_VM);
	ck_assert_int_eq(pick(vms, 0, 1, "a"), SHARE_NO_VM);
}
END_TEST

START_TEST(a_lost_vm_moves_only_its_own_share)
{
	const struct share_vm left[] = {vms[0], vms[2], vms[3]};

	for (unsigned int i = 0; i < SERVERS; i++) {
		int before = pick(vms, 7, i, "a");
		int after = pick(left, 3, i, "a");

		if (before != 1)
			ck_assert_str_eq(left[after].vm, vms[before].vm);
	}
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, large_vms_of_the_servers_domain_share_its_servers);
	tcase_add_test(t, small_vms_are_selected_only_without_large_ones);
	tcase_add_test(t, a_lost_vm_moves_only_its_own_share);
}

int main(void)
{
	return run_suite("share", add_tests);
}
