/**
 * DOC: test_operator - decoding of the operator's configuration, and lookups in it
 */
#include <check.h>
#include <string.h>

#include "platform/operator.h"
#include "runner.h"

static const char valid_config[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"a\",\"host\":\"x.example\",\"prefix\":\"/p/"
	"\",\"service\":\"s\",\"priority\":0,"
	"\"attempts\":3,\"stretch-factor\":1.5,\"slo-ms\":250},"
	"{\"name\":\"b\",\"host\":\"x.example\",\"prefix\":\"/p/long/\",\"service\":\"s\","
	"\"public\":true,\"advisor\":{\"decide-ms\":1}}],"
	"\"limits\":{\"max-body-bytes\":1000},"
	"\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"k1\",\"k2\"],\"guaranteed\":{\"gpu\":72}}]}";

START_TEST(a_configuration_is_decoded)
{
	struct queues *q = operator_decode(NULL, str_from(valid_config));

	ck_assert_ptr_nonnull(q);
	ck_assert_int_eq(q->version, 7);
	ck_assert_int_eq(q->body_max, 1000);
	ck_assert_int_eq(q->queue[0].slo_ms, 250);
	ck_assert(q->queue[0].stretch > 1.4 && q->queue[0].stretch < 1.6);
	ck_assert(q->queue[1].is_public && q->queue[1].has_advisor);
	ck_assert_int_eq(q->workspace[0].guaranteed_accelerators, 72);
	talloc_free(q);
}
END_TEST

START_TEST(the_longest_matching_prefix_selects_the_queue)
{
	struct queues *q = operator_decode(NULL, str_from(valid_config));

	ck_assert_str_eq(queues_match(q, str_from("X.example"), str_from("/p/1"))->name, "a");
	ck_assert_str_eq(queues_match(q, str_from("x.example"), str_from("/p/long/1"))->name, "b");
	ck_assert_ptr_null(queues_match(q, str_from("y.example"), str_from("/p/1")));
	ck_assert_ptr_null(queues_match(q, str_from("x.example"), str_from("/")));
	talloc_free(q);
}
END_TEST

START_TEST(a_key_belongs_to_one_workspace)
{
	struct queues *q = operator_decode(NULL, str_from(valid_config));

	ck_assert_str_eq(queues_find_workspace(q, str_from("k2"))->name, "t");
	ck_assert_ptr_null(queues_find_workspace(q, str_from("k")));
	ck_assert_ptr_null(queues_find_workspace(q, str_from("")));
	talloc_free(q);
}
END_TEST

START_TEST(invalid_configurations_are_rejected)
{
	ck_assert_ptr_null(operator_decode(NULL, str_from("")));
	ck_assert_ptr_null(operator_decode(NULL, str_from("{\"version\":7}")));
	ck_assert_ptr_null(operator_decode(NULL, str_from("{\"routes\":[]}")));
	ck_assert_ptr_null(operator_decode(NULL, str_from("\xff\xfe")));
}
END_TEST

static bool is_evacuation(struct str key, const char *domain)
{
	struct str found;

	return operator_evacuated_domain(key, &found) && found.len == strlen(domain) &&
	       !memcmp(found.ptr, domain, found.len);
}

/* a key of other rows, whatever bytes it has, must evacuate nothing */
START_TEST(a_key_names_the_domain_that_is_evacuated)
{
	struct str domain;

	ck_assert(is_evacuation(str_from("evacuate/z1"), "z1"));
	ck_assert(is_evacuation(str_from("evacuate/"), ""));
	ck_assert(is_evacuation(str_from("evacuate/a/b\n"), "a/b\n"));
	ck_assert(operator_evacuated_domain((struct str){"evacuate/z\0x", 12}, &domain));
	ck_assert_uint_eq(domain.len, 3);
	ck_assert(!operator_evacuated_domain(str_from("config"), &domain));
	ck_assert(!operator_evacuated_domain(str_from("evacuate"), &domain));
	ck_assert(!operator_evacuated_domain(str_from("evacuate0"), &domain));
	ck_assert(!operator_evacuated_domain(str_from("Evacuate/z1"), &domain));
	ck_assert(!operator_evacuated_domain(str_from(""), &domain));
	ck_assert(!operator_evacuated_domain((struct str){"evac\0ate/z1", 11}, &domain));
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, a_configuration_is_decoded);
	tcase_add_test(t, the_longest_matching_prefix_selects_the_queue);
	tcase_add_test(t, a_key_belongs_to_one_workspace);
	tcase_add_test(t, invalid_configurations_are_rejected);
	tcase_add_test(t, a_key_names_the_domain_that_is_evacuated);
}

int main(void)
{
	return run_suite("operator", add_tests);
}
