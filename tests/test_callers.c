/**
 * DOC: test_callers - decoding of submitted jobs, valid and invalid
 */
#include <check.h>
#include <string.h>

#include "platform/callers.h"
#include "runner.h"

static const struct queue queue = {
	.name = "q", .service = "s", .priority = 2, .attempts = 3, .stretch = 3, .slo_ms = 100};

static struct work_job *decode(const char *body, const char **fault)
{
	return callers_decode_job(NULL, &queue, "w", str_from("00000000000000ab"), str_from(body),
				  fault);
}

START_TEST(a_job_gets_the_settings_of_its_queue)
{
	const char *fault;
	struct work_job *job = decode(
		"{\"spec\":\"t\",\"times\":2,\"start-ms\":5,\"interval-ms\":7,\"steps\":["
		"{\"count\":4,\"cpu\":500,\"mem-mb\":256,\"estimate-ms\":900,"
		"\"affinity\":\"r1\",\"image\":\"render:7\",\"gang\":true,\"same-rack\":true},"
		"{\"count\":2,\"gpu\":8,\"after\":[0],\"checkpoints\":true,"
		"\"required-label\":\"a\",\"max-per-server\":1}]}",
		&fault);

	ck_assert_ptr_nonnull(job);
	ck_assert_int_eq(job->priority, 2);
	ck_assert_int_eq(job->attempts, 3);
	ck_assert_int_eq(job->every_ms, 7);
	ck_assert_str_eq(job->step[0].data_rack, "r1");
	ck_assert_str_eq(job->step[0].image, "render:7");
	ck_assert_ptr_null(job->step[1].image);
	ck_assert(job->step[0].is_gang && job->step[0].same_rack);
	ck_assert_uint_eq(job->step[1].after_count, 1);
	ck_assert_uint_eq(job->step[1].per_server_max, 1);
	talloc_free(job);
}
END_TEST

START_TEST(invalid_bodies_are_rejected_with_a_reason)
{
	static const char *const invalid[] = {
		"",
		"x",
		"[]",
		"{}",
		"{\"steps\":[]}",
		"{\"steps\":[3]}",
		"{\"steps\":[{\"count\":0}]}",
		"{\"steps\":[{\"count\":1,\"after\":[0]}]}",
		"{\"steps\":[{\"count\":1,\"after\":[\"x\"]}]}",
		"{\"steps\":[{\"count\":1,\"cpu\":-5}]}",
		"{\"steps\":[{\"count\":99999999}]}",
		"{\"times\":-1,\"steps\":[{\"count\":1}]}",
		"{\"steps\":[{\"count\":1,\"long-running\":true}]}",
		"{\"steps\":[{\"count\":1,\"fills\":true}]}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		const char *fault;

		ck_assert_msg(!decode(invalid[i], &fault), "body %zu was accepted", i);
		ck_assert_ptr_nonnull(fault);
	}
}
END_TEST

START_TEST(a_timeout_that_would_overflow_a_deadline_is_limited)
{
	ck_assert_int_eq(callers_timeout_ms("2500"), 2500);
	ck_assert_int_gt(callers_timeout_ms(NULL), 0);
	ck_assert_int_eq(callers_timeout_ms("-1"), callers_timeout_ms(NULL));
	ck_assert_int_eq(callers_timeout_ms("soon"), callers_timeout_ms(NULL));
	ck_assert_int_gt(base_deadline_in(callers_timeout_ms("9223372036854775807")),
			 base_now_ns());
	ck_assert_int_gt(base_deadline_in(callers_timeout_ms("99999999999999999999")),
			 base_now_ns());
}
END_TEST

/* A job whose member "x", which nobody reads, is a list of @count times @value. */
static const char *fault_of_list(const char *value, int count)
{
	GString *body = g_string_new("{\"steps\":[{\"count\":1}],\"x\":[");
	const char *fault;

	for (int i = 0; i < count; i++)
		g_string_append_printf(body, "%s%s", i ? "," : "", value);
	g_string_append(body, "]}");
	talloc_free(decode(body->str, &fault));
	g_string_free(body, TRUE);
	return fault;
}

/* Guards against small bodies that take many times their size when they are decoded. */
START_TEST(bodies_of_too_many_values_are_rejected_before_they_are_decoded)
{
	ck_assert_str_eq(fault_of_list("{}", 80000), "the body has too many values");
	ck_assert_str_eq(fault_of_list("[]", 80000), "the body has too many values");
	ck_assert_ptr_null(fault_of_list("{}", 20000));
	ck_assert_ptr_null(fault_of_list("1", 130000));
	ck_assert_ptr_null(fault_of_list("\"\\\"{[,:{[,:{[,:{[,:{[,:\"", 10000));
}
END_TEST

START_TEST(a_step_after_more_steps_than_there_can_be_is_rejected)
{
	GString *body = g_string_new("{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[0");
	const char *fault;

	for (int i = 0; i < 64; i++)
		g_string_append(body, ",0");
	g_string_append(body, "]}]}");
	ck_assert_ptr_null(decode(body->str, &fault));
	ck_assert_ptr_nonnull(fault);
	g_string_free(body, TRUE);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, a_job_gets_the_settings_of_its_queue);
	tcase_add_test(t, a_timeout_that_would_overflow_a_deadline_is_limited);
	tcase_add_test(t, invalid_bodies_are_rejected_with_a_reason);
	tcase_add_test(t, bodies_of_too_many_values_are_rejected_before_they_are_decoded);
	tcase_add_test(t, a_step_after_more_steps_than_there_can_be_is_rejected);
}

int main(void)
{
	return run_suite("callers", add_tests);
}
