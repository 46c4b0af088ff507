/**
 * DOC: test_httpd - bodies, limits, deferred replies, closed connections
 */
#include <curl/curl.h>
#include <signal.h>
#include <string.h>

#include "httpc/httpc.h"
#include "httpd/httpd.h"
#include "runner.h"

#define PORT 17904
#define URL "http://127.0.0.1:17904"
#define BODY_MAX 1000
#define CALLS 1000
#define IN_FLIGHT 50
#define SLOW_MS 150 /* well below HTTPD_IDLE_CHECK_MS, 250 */

struct fixture {
	struct tevent_context *ev;
	struct httpd *server;
	struct httpc *http;
	struct httpd_request *held;
	int aborted;
	int done;
	unsigned int status;
	enum httpc_result result;
	char body[2048];
	int64_t slowest;
};

struct call {
	struct fixture *f;
	int64_t started;
};

static void on_abort(struct httpd_request *req)
{
	struct fixture *f = req->server_data;

	f->aborted++;
	f->held = NULL;
}

static void on_request(struct httpd_request *req)
{
	struct fixture *f = req->server_data;

	if (!strcmp(req->path, "/hold")) {
		f->held = req;
		req->on_abort = on_abort;
		return;
	}
	httpd_reply(req, 200, req->body);
}

static struct fixture *fixture_new(void)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);
	struct httpd_options opt = {.ip = "127.0.0.1",
				    .port = PORT,
				    .body_max = BODY_MAX,
				    .connections_max = 200,
				    .idle_timeout_s = 10};

	f->ev = tevent_context_init(f);
	f->server = httpd_new(f, f->ev, &opt, on_request, f);
	ck_assert_ptr_nonnull(f->server);
	f->http = httpc_new(f, f->ev, 0, 0);
	return f;
}

static void on_done(const struct httpc_answer *answer, void *data)
{
	struct call *c = data;
	struct fixture *f = c->f;

	f->done++;
	f->status = answer->status;
	f->result = answer->result;
	f->slowest = MAX(f->slowest, base_now_ns() - c->started);
	if (answer->result == HTTPC_ANSWERED && answer->body.len < sizeof(f->body)) {
		memcpy(f->body, answer->body.ptr, answer->body.len);
		f->body[answer->body.len] = 0;
	}
	talloc_free(c);
}

static void start(struct fixture *f, const char *url, struct str body, int64_t deadline_ms)
{
	struct call *c = talloc_zero(f, struct call);
	struct httpc_options opt = {.method = "POST",
				    .url = url,
				    .body = body,
				    .deadline = base_deadline_in(deadline_ms)};

	c->f = f;
	c->started = base_now_ns();
	httpc_start(f->http, &opt, on_done, c);
}

static void wait_done(struct fixture *f, int n)
{
	while (f->done < n)
		tevent_loop_once(f->ev);
}

START_TEST(a_body_comes_back_whole)
{
	struct fixture *f = fixture_new();

	start(f, URL "/", str_from("hello"), 1000);
	wait_done(f, 1);
	ck_assert_uint_eq(f->status, 200);
	ck_assert_str_eq(f->body, "hello");
	talloc_free(f);
}
END_TEST

START_TEST(a_body_above_the_limit_gets_413)
{
	struct fixture *f = fixture_new();
	char large[BODY_MAX * 4];

	memset(large, 'x', sizeof(large));
	start(f, URL "/", (struct str){large, sizeof(large)}, 1000);
	wait_done(f, 1);
	ck_assert_uint_eq(f->status, 413);
	ck_assert_ptr_nonnull(strstr(f->body, "\"field\":\"body\""));
	talloc_free(f);
}
END_TEST

/*
 * Guards against answers that are sent only at the next check for idle
 * connections. This happened under mixed load.
 */
START_TEST(no_answer_waits_for_the_idle_tick)
{
	struct fixture *f = fixture_new();

	for (int i = 0; i < CALLS; i++) {
		start(f, URL "/", str_from("hello"), 3000);
		wait_done(f, i + 1 - IN_FLIGHT);
	}
	wait_done(f, CALLS);
	ck_assert_int_lt(f->slowest / BASE_NS_PER_MS, SLOW_MS);
	talloc_free(f);
}
END_TEST

START_TEST(a_deferred_answer_arrives)
{
	struct fixture *f = fixture_new();

	start(f, URL "/hold", str_from("x"), 2000);
	while (!f->held)
		tevent_loop_once(f->ev);
	f->held->on_abort = NULL;
	httpd_reply_json(f->held, 202, json_pack("{ss}", "state", "late"));
	wait_done(f, 1);
	ck_assert_uint_eq(f->status, 202);
	ck_assert_str_eq(f->body, "{\"state\":\"late\"}");
	talloc_free(f);
}
END_TEST

START_TEST(a_dropped_request_is_told_as_lost)
{
	struct fixture *f = fixture_new();

	start(f, URL "/hold", str_from("x"), 2000);
	while (!f->held)
		tevent_loop_once(f->ev);
	f->held->on_abort = NULL;
	httpd_drop(f->held);
	wait_done(f, 1);
	ck_assert_int_eq(f->result, HTTPC_LOST);
	talloc_free(f);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, a_body_comes_back_whole);
	tcase_add_test(t, a_body_above_the_limit_gets_413);
	tcase_add_test(t, no_answer_waits_for_the_idle_tick);
	tcase_add_test(t, a_deferred_answer_arrives);
	tcase_add_test(t, a_dropped_request_is_told_as_lost);
}

int main(void)
{
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return run_suite("httpd", add_tests);
}
