/**
 * DOC: test_platform - lost answers, conflicts and unavailability of the table service
 */
#include <check.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"
#include "runner.h"
#include "scripted.h"

#define PORT 17902

/* a server with one row, which drops the answers to the first writes */
struct fixture {
	struct tevent_context *ev;
	struct httpd *server;
	struct platform *platform;
	int answers_to_drop; /* the writes are applied all the same */
	bool is_down;
	int64_t version;
	json_t *value;
	int writes;
	bool is_done;
	enum platform_result result;
};

static void on_tx_request(struct fixture *f, struct httpd_request *req)
{
	json_t *doc = json_loadb(req->body.ptr, req->body.len, 0, NULL);
	json_t *row = json_array_get(json_object_get(doc, "writes"), 0);
	int64_t expect = base_json_int(row, "expect", -1);

	if (expect >= 0 && expect != f->version) {
		httpd_reply_json(req, 409, json_pack("{si}", "conflict", 0));
	} else {
		f->writes++;
		f->version++;
		json_decref(f->value);
		f->value = json_incref(json_object_get(row, "value"));
		if (f->answers_to_drop-- > 0)
			httpd_drop(req);
		else
			httpd_reply_json(req, 200,
					 json_pack("{s[I]}", "versions", (json_int_t)f->version));
	}
	json_decref(doc);
}

static void on_request(struct httpd_request *req)
{
	struct fixture *f = req->server_data;

	if (f->is_down)
		httpd_reply_json(req, 503, json_object());
	else if (!strcmp(req->path, "/v1/tx"))
		on_tx_request(f, req);
	else
		httpd_reply_json(req, 200,
				 json_pack("{sI sO?}", "version", (json_int_t)f->version, "value",
					   f->value));
}

static struct fixture *fixture_new(void)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);

	f->ev = tevent_context_init(f);
	f->server = scripted_listen(f, f->ev, PORT, on_request, f);
	f->platform = platform_new(f, f->ev, httpc_new(f, f->ev, 0, 0), "127.0.0.1", PORT, "e0");
	return f;
}

static void on_done(enum platform_result result, const int64_t *versions, void *data)
{
	struct fixture *f = data;

	f->is_done = true;
	f->result = result;
}

static void write_row(struct fixture *f, int64_t expect, int64_t deadline_ms)
{
	json_t *value = json_pack("{si}", "n", 1);
	struct platform_write w = {"t", "k", expect, value, false};

	f->is_done = false;
	platform_tx(f->platform, &w, 1, base_deadline_in(deadline_ms), on_done, f);
	json_decref(value);
	while (!f->is_done)
		tevent_loop_once(f->ev);
}

START_TEST(a_lost_answer_is_settled_without_a_second_write)
{
	struct fixture *f = fixture_new();

	f->answers_to_drop = 1;
	write_row(f, PLATFORM_EXPECT_ABSENT, 3000);
	ck_assert_int_eq(f->result, PLATFORM_OK);
	ck_assert_int_eq(f->writes, 1);
	talloc_free(f);
}
END_TEST

START_TEST(a_conflict_with_another_writer_is_told)
{
	struct fixture *f = fixture_new();

	f->version = 7;
	write_row(f, 6, 3000);
	ck_assert_int_eq(f->result, PLATFORM_CONFLICT);
	write_row(f, 7, 3000);
	ck_assert_int_eq(f->result, PLATFORM_OK);
	talloc_free(f);
}
END_TEST

START_TEST(an_outage_is_a_definite_refusal)
{
	struct fixture *f = fixture_new();

	f->is_down = true;
	write_row(f, PLATFORM_EXPECT_ANY, 300);
	ck_assert_int_eq(f->result, PLATFORM_NOT_APPLIED);
	ck_assert_int_eq(f->writes, 0);
	talloc_free(f);
}
END_TEST

START_TEST(only_lost_answers_leave_it_open)
{
	struct fixture *f = fixture_new();

	f->answers_to_drop = 1000;
	write_row(f, PLATFORM_EXPECT_ANY, 300);
	ck_assert_int_eq(f->result, PLATFORM_NO_ANSWER);
	talloc_free(f);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, a_lost_answer_is_settled_without_a_second_write);
	tcase_add_test(t, a_conflict_with_another_writer_is_told);
	tcase_add_test(t, an_outage_is_a_definite_refusal);
	tcase_add_test(t, only_lost_answers_leave_it_open);
}

int main(void)
{
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return run_suite("platform", add_tests);
}
