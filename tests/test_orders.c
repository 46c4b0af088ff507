/**
 * DOC: test_orders - orders to backend servers, and the interpretation of answers
 */
#include <check.h>
#include <curl/curl.h>
#include <signal.h>
#include <string.h>

#include "platform/orders.h"
#include "runner.h"
#include "sample.h"
#include "scripted.h"

#define PORT 17932

struct fixture {
	struct tevent_context *ev;
	struct scripted *http;
	struct orders *orders;
	struct fleet *fleet;
	struct work_group *group;
	bool is_done;
	enum order_status result;
	bool has_list;
	int64_t clock_ms;
	int64_t born;
	unsigned int runs;
	unsigned int ended;
	enum order_end how;
};

static struct fixture *fixture_new(unsigned int status, const char *answer)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);

	f->ev = tevent_context_init(f);
	f->http = scripted_new(f, f->ev, PORT, status, answer);
	f->http->header = "X-Currantlane-Target-Instance";
	f->orders = orders_new(f, httpc_new(f, f->ev, 2, 0));
	f->fleet = sample_fleet(f, 1, 1);
	sample_server(f->fleet, 0)->address = talloc_asprintf(f->fleet, "127.0.0.1:%d", PORT);
	f->group = sample_start(sample_job(f, 0xab, 1, 2, 1));
	work_task_assign(&f->group->task[1], sample_server(f->fleet, 0));
	return f;
}

static void on_done(const struct order_result *r, void *data)
{
	struct fixture *f = data;

	f->is_done = true;
	f->result = r->status;
	f->has_list = r->list;
	f->clock_ms = r->list ? r->list->clock_ms : 0;
	f->born = r->list ? r->list->born : 0;
	f->runs = r->list ? r->list->run_count : 0;
	f->ended = r->list ? r->list->ended_count : 0;
	f->how = f->ended ? r->list->ended[0].how : END_OTHER;
}

static struct order_target target(struct fixture *f)
{
	const struct fleet_server *sv = sample_server(f->fleet, 0);
	struct order_target to = {.server = sv->id,
				  .address = sv->address,
				  .fence = 7,
				  .deadline = base_deadline_in(1000)};

	f->is_done = false;
	return to;
}

static void start(struct fixture *f)
{
	struct order_target to = target(f);
	const struct work_task *t = &f->group->task[1];
	struct order_start order = {.task = orders_task_name(f, t),
				    .attempt = t->attempt,
				    .payload = t->group->job->payload,
				    .lease_until = 486000};

	orders_start(f->orders, &to, &order, on_done, f);
	while (!f->is_done)
		tevent_loop_once(f->ev);
}

START_TEST(a_start_sends_task_attempt_fence_and_server)
{
	struct fixture *f = fixture_new(200, "{\"clock-ms\":482113}");

	start(f);
	ck_assert_int_eq(f->result, ORDER_DONE);
	ck_assert(!f->has_list);
	ck_assert_ptr_nonnull(strstr(f->http->asked, "/-/run-start s0 "));
	ck_assert_ptr_nonnull(strstr(f->http->asked, "\"task\":\"00000000000000ab.0.0.1\""));
	ck_assert_ptr_nonnull(strstr(f->http->asked, "\"attempt\":1"));
	ck_assert_ptr_nonnull(strstr(f->http->asked, "\"fence\":7"));
	ck_assert_ptr_null(strstr(f->http->asked, "snapshot"));
	talloc_free(f);
}
END_TEST

START_TEST(rejections_are_distinguished)
{
	static const struct {
		unsigned int status;
		const char *answer;
		enum order_status result;
	} cases[] = {
		{409, "{\"reason\":\"fence\"}", ORDER_FENCED},
		{409, "{\"reason\":\"old\"}", ORDER_STALE},
		{409, "{\"reason\":\"late\"}", ORDER_EXPIRED},
		{409, "{\"reason\":\"room\"}", ORDER_NO_CAPACITY},
		{409, "{}", ORDER_REFUSED},
		{421, "{}", ORDER_OTHER_SERVER},
		{400, "{}", ORDER_INVALID},
		{503, "{}", ORDER_REFUSED},
		{429, "{}", ORDER_REFUSED},
		{200, "x", ORDER_UNKNOWN},
		{500, "{}", ORDER_UNKNOWN},
	};
	struct fixture *f = fixture_new(200, "{}");

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		f->http->status = cases[i].status;
		f->http->answer = cases[i].answer;
		start(f);
		ck_assert_int_eq(f->result, cases[i].result);
	}
	f->http->drop = true;
	start(f);
	ck_assert_int_eq(f->result, ORDER_UNKNOWN);
	talloc_free(f);
}
END_TEST

/*
 * Guards against a start that counts as lost though nothing was sent: its task waited for leases,
 * and was blamed for the crash of a server that never heard of it.
 */
START_TEST(an_order_to_a_server_that_refuses_connections_is_not_sent)
{
	struct fixture *f = fixture_new(200, "{}");

	talloc_free(f->http->server);
	start(f);
	ck_assert_int_eq(f->result, ORDER_NOT_SENT);
	ck_assert(!order_was_answered(f->result));
	talloc_free(f);
}
END_TEST

START_TEST(a_poll_lists_runs_and_ends)
{
	struct fixture *f = fixture_new(
		200,
		"{\"clock-ms\":5,\"born\":7,\"running\":[[\"00000000000000ab.0.0.1\",2,\"s\",41]],"
		"\"ended\":[[58,\"00000000000000ab.0.0.0\",1,\"lapsed\",\"\"]]}");
	struct order_target to = target(f);
	struct order_poll poll = {.acknowledged = 57, .lease_until = 9, .wait_ms = 100};

	orders_poll(f->orders, &to, &poll, on_done, f);
	while (!f->is_done)
		tevent_loop_once(f->ev);
	ck_assert_int_eq(f->clock_ms, 5);
	ck_assert_int_eq(f->born, 7);
	ck_assert_uint_eq(f->runs, 1);
	ck_assert_uint_eq(f->ended, 1);
	ck_assert_int_eq(f->how, END_LEASE_EXPIRED);
	ck_assert_ptr_nonnull(strstr(f->http->asked, "\"last-seen\":57"));
	talloc_free(f);
}
END_TEST

/* Such answers come from a server of another version or with corrupted memory. */
START_TEST(answers_with_wrong_types_are_tolerated)
{
	static const char *const answers[] = {
		"{\"running\":[1,null,[],[null,\"x\",3,\"y\"]],\"ended\":[[]]}",
		"{\"ended\":[[1,\"t\",1,7,null]]}",
		"{\"ended\":[[\"1\",{},[],{},{}],null,\"x\"]}",
		"{\"ended\":{\"a\":1},\"running\":\"x\",\"clock-ms\":\"y\",\"born\":[]}",
		"{\"running\":[[\"\",-1,\"\",1e300]],\"ended\":[[-9,\"\",-1,\"done\",\"\"]]}",
	};
	struct fixture *f = fixture_new(200, "{}");

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		struct order_target to = target(f);
		struct order_poll poll = {.wait_ms = 10};

		f->http->answer = answers[i];
		orders_poll(f->orders, &to, &poll, on_done, f);
		while (!f->is_done)
			tevent_loop_once(f->ev);
		ck_assert_int_eq(f->result, ORDER_DONE);
	}
	talloc_free(f);
}
END_TEST

START_TEST(task_names_are_parsed_or_rejected)
{
	char id[WORK_ID_LEN + 1];
	unsigned int occurrence;
	unsigned int step;
	unsigned int index;

	ck_assert(orders_parse_task_name(str_from("00000000000000ab.3.1.17"), id, &occurrence,
					 &step, &index));
	ck_assert_uint_eq(occurrence, 3);
	ck_assert_uint_eq(step, 1);
	ck_assert_uint_eq(index, 17);
	ck_assert(!orders_parse_task_name(str_from("00000000000000ab.3.1"), id, &occurrence, &step,
					  &index));
	ck_assert(!orders_parse_task_name(str_from(""), id, &occurrence, &step, &index));
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, a_start_sends_task_attempt_fence_and_server);
	tcase_add_test(t, rejections_are_distinguished);
	tcase_add_test(t, an_order_to_a_server_that_refuses_connections_is_not_sent);
	tcase_add_test(t, a_poll_lists_runs_and_ends);
	tcase_add_test(t, answers_with_wrong_types_are_tolerated);
	tcase_add_test(t, task_names_are_parsed_or_rejected);
}

int main(void)
{
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return run_suite("orders", add_tests);
}
