/**
 * DOC: test_store - answers of the platform's store: rejections, conflicts, lost answers, lost
 * history, long answers over small links
 */
#include <check.h>
#include <curl/curl.h>
#include <signal.h>
#include <string.h>

#include "mtimer/mtimer.h"
#include "platform/store.h"
#include "runner.h"
#include "scripted.h"
#include "trickle.h"

#define PORT 17931
#define ROW_BYTES 1000 /* not a multiple of three */

/* The store client under test and the result of its last call. */
struct fixture {
	struct tevent_context *ev;
	struct scripted *http;
	struct store *store;
	bool is_done;
	enum store_status result;
	unsigned int count;
	int64_t version;
	char *value;
	size_t first_key_len;
	size_t first_value_len;
	char *first_key_text;
	char *last_key_text;
	char *table;
	char *part;
	char *from;
};

static struct fixture *fixture_new(unsigned int status, const char *answer)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);
	struct address address = {"127.0.0.1", PORT};

	f->ev = tevent_context_init(f);
	f->http = scripted_new(f, f->ev, PORT, status, answer);
	f->store = store_new(f, httpc_new(f, f->ev, 0, 0), &address);
	return f;
}

static void on_done(const struct store_result *r, void *data)
{
	struct fixture *f = data;

	f->is_done = true;
	f->result = r->status;
	f->count = r->count;
	f->version = r->newest;
	if (!r->count)
		return;
	f->value = str_dup(f, r->rows[0].value);
	f->first_key_len = r->rows[0].key.len;
	f->first_value_len = r->rows[0].value.len;
	f->first_key_text = talloc_strdup(f, store_key_text(&r->rows[0]));
	f->last_key_text = talloc_strdup(f, store_key_text(&r->rows[r->count - 1]));
}

static void commit(struct fixture *f)
{
	struct store_tx *tx = store_tx_new(f, "p1");

	store_tx_expect(tx, "t", "k", 0);
	store_tx_put(tx, "t", "k", str_from("node-1"));
	f->is_done = false;
	store_commit(f->store, tx, base_deadline_in(1000), on_done, f);
	while (!f->is_done)
		tevent_loop_once(f->ev);
	talloc_free(tx);
}

START_TEST(a_transaction_sends_conditions_and_rows)
{
	struct fixture *f = fixture_new(200, "{\"ver\":412,\"now-ms\":1}");

	commit(f);
	ck_assert_int_eq(f->result, STORE_OK);
	ck_assert_int_eq(f->version, 412);
	ck_assert_ptr_nonnull(strstr(f->http->asked, "POST /-/rows-tx"));
	ck_assert_ptr_nonnull(strstr(f->http->asked, "\"ver\":0"));
	ck_assert_ptr_nonnull(strstr(f->http->asked, "bm9kZS0x"));
	talloc_free(f);
}
END_TEST

START_TEST(the_length_of_a_transaction_is_known_before_it_is_sent)
{
	struct fixture *f = fixture_new(200, "{\"ver\":412,\"now-ms\":1}");
	struct store_tx *tx = store_tx_new(f, "p31");
	char *value = talloc_array(f, char, ROW_BYTES);
	struct str row = {value, ROW_BYTES};
	size_t before;
	size_t sent;

	memset(value, 'x', ROW_BYTES);
	store_tx_expect(tx, "claims", "scheduler", INT64_MAX);
	store_tx_remove(tx, "groups", "00000000000000ab.0.1");
	before = store_tx_bytes(tx);
	for (int i = 0; i < 2; i++) {
		store_tx_expect(tx, "groups", "00000000000000ab.0.0", INT64_MAX);
		store_tx_put(tx, "groups", "00000000000000ab.0.0", row);
	}
	ck_assert_uint_eq(store_tx_bytes(tx),
			  before + 2 * store_row_bytes(tx, "groups", "00000000000000ab.0.0", row));
	store_commit(f->store, tx, base_deadline_in(1000), on_done, f);
	while (!f->is_done)
		tevent_loop_once(f->ev);
	ck_assert_int_eq(f->result, STORE_OK);
	sent = strlen(strstr(f->http->asked, "{\"expect-rev\""));
	ck_assert_uint_gt(sent, ROW_BYTES * 8 / 3);
	ck_assert_uint_le(sent, store_tx_bytes(tx));
	ck_assert_uint_le(store_tx_bytes(tx), sent + 100);
	talloc_free(f);
}
END_TEST

START_TEST(a_conflict_returns_the_conflicting_rows)
{
	struct fixture *f =
		fixture_new(412, "{\"rows\":[{\"table\":\"t\",\"part\":\"p1\",\"key\":\"k\","
				 "\"value\":\"bm9kZS0x\",\"ver\":9}],\"ver\":12}");

	commit(f);
	ck_assert_int_eq(f->result, STORE_CONFLICT);
	ck_assert_uint_eq(f->count, 1);
	ck_assert_str_eq(f->value, "node-1");
	talloc_free(f);
}
END_TEST

START_TEST(only_a_definite_rejection_means_not_performed)
{
	struct fixture *f = fixture_new(503, "{}");

	commit(f);
	ck_assert_int_eq(f->result, STORE_REFUSED);
	ck_assert_int_gt(store_failing_ms(f->store), 0);
	f->http->status = 429;
	commit(f);
	ck_assert_int_eq(f->result, STORE_REFUSED);
	f->http->drop = true;
	commit(f);
	ck_assert_int_eq(f->result, STORE_UNKNOWN);
	f->http->drop = false;
	f->http->status = 200;
	f->http->answer = "not json";
	commit(f);
	ck_assert_int_eq(f->result, STORE_UNKNOWN);
	f->http->answer = "{\"ver\":1}";
	commit(f);
	ck_assert_int_eq(f->result, STORE_OK);
	ck_assert_int_eq(store_failing_ms(f->store), 0);
	talloc_free(f);
}
END_TEST

START_TEST(a_feed_reports_lost_history)
{
	struct fixture *f = fixture_new(410, "{}");

	store_feed(f->store, "op", 5, 10, base_deadline_in(1000), on_done, f);
	while (!f->is_done)
		tevent_loop_once(f->ev);
	ck_assert_int_eq(f->result, STORE_HISTORY_GONE);
	ck_assert_int_eq(store_failing_ms(f->store), 0);
	talloc_free(f);
}
END_TEST

static void on_range(struct httpd_request *req)
{
	struct fixture *f = req->server_data;

	f->table = talloc_strdup(f, httpd_query(req, "table"));
	f->part = talloc_strdup(f, httpd_query(req, "part"));
	f->from = talloc_strdup(f, httpd_query(req, "from"));
	httpd_reply(req, 200, str_from("{\"rows\":[],\"ver\":9}"));
}

/*
 * Guards against a leader that reads the list of servers for ever, or skips some: a key of another
 * writer went into the URL as it was.
 */
START_TEST(any_text_names_the_start_of_a_range)
{
	static const char *const keys[] = {"r&d/scanner-07", "a#b", "a b",	"a+b", "%7E",
					   "a\nb",	     "\"",  "\303\251", "?",   "=",
					   "a&limit=1",	     "%"};
	struct fixture *f = fixture_new(200, "{}");

	TALLOC_FREE(f->http);
	scripted_listen(f, f->ev, PORT, on_range, f);
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		struct store_range range = {keys[i], keys[i], str_from(keys[i]), 0};

		f->is_done = false;
		store_read(f->store, &range, base_deadline_in(1000), on_done, f);
		while (!f->is_done)
			tevent_loop_once(f->ev);
		ck_assert_int_eq(f->result, STORE_OK);
		ck_assert_str_eq(f->from, keys[i]);
		ck_assert_str_eq(f->table, keys[i]);
		ck_assert_str_eq(f->part, keys[i]);
	}
	talloc_free(f);
}
END_TEST

/* Guards against an answer that is lost as a whole because of one row of another writer. */
START_TEST(a_row_with_odd_texts_leaves_the_others_readable)
{
	struct fixture *f = fixture_new(
		200,
		"{\"rows\":[{\"table\":\"t\",\"part\":\"\",\"key\":\"a\\u0000b\",\"value\":"
		"\"AAECAA==\",\"ver\":7},{\"table\":7,\"key\":[],\"value\":{},\"ver\":\"x\"},"
		"{\"table\":\"t\",\"part\":\"\",\"key\":\"b\",\"value\":\"bm9kZS0x\",\"ver\":8}],"
		"\"ver\":9}");
	struct store_range range = {"t", "", str_from(""), 0};

	f->is_done = false;
	store_read(f->store, &range, base_deadline_in(1000), on_done, f);
	while (!f->is_done)
		tevent_loop_once(f->ev);
	ck_assert_int_eq(f->result, STORE_OK);
	ck_assert_uint_eq(f->count, 3);
	ck_assert_uint_eq(f->first_key_len, 3);
	ck_assert_str_eq(f->first_key_text, "");
	ck_assert_uint_eq(f->first_value_len, 4);
	ck_assert_str_eq(f->last_key_text, "b");
	talloc_free(f);
}
END_TEST

/* one such key hid all rows of its range, and of a feed, from all VMs */
START_TEST(a_key_that_is_no_text_leaves_the_other_rows_readable)
{
	static const char *const keys[] = {"a\xff\xfe", "a\\udcff", "\\ud800\\ud800", "a\\ud83d",
					   "a\\\\\\udfff"};

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		char *text = g_strdup_printf(
			"{\"rows\":[{\"table\":\"t\",\"part\":\"\",\"key\":\"%s\",\"value\":\"\","
			"\"ver\":5},{\"table\":\"t\",\"part\":\"\",\"key\":\"b\\ud83d\\ude00\","
			"\"value\":\"\",\"ver\":6}],\"has-more\":false,\"ver\":7}",
			keys[i]);
		struct fixture *f = fixture_new(200, text);

		commit(f);
		ck_assert_int_eq(f->result, STORE_OK);
		ck_assert_uint_eq(f->count, 2);
		ck_assert_str_eq(f->last_key_text, "b\U0001f600");
		talloc_free(f);
		g_free(text);
	}
}
END_TEST

START_TEST(an_unreachable_store_has_performed_nothing)
{
	struct fixture *f = fixture_new(200, "{}");

	TALLOC_FREE(f->http->server);
	commit(f);
	ck_assert_int_eq(f->result, STORE_REFUSED);
	talloc_free(f);
}
END_TEST

/* ---- a long document over a small link ---- */

#define LIMIT_MS 600	 /* limit of a call of the feed after a failure */
#define IN_FORCE_MS 2000 /* a change is in force within this time after it was stored */

/* a store that sends a row of @value_bytes at @bytes_per_s */
static struct fixture *slow_fixture_new(size_t value_bytes, size_t bytes_per_s)
{
	struct fixture *f = fixture_new(200, "{}");
	char *value = talloc_array(f, char, value_bytes + 1);
	char *answer;

	TALLOC_FREE(f->http);
	memset(value, 'Q', value_bytes);
	value[value_bytes] = 0;
	answer = talloc_asprintf(f,
				 "{\"rows\":[{\"table\":\"op\",\"part\":\"\",\"key\":"
				 "\"config\",\"value\":\"%s\",\"ver\":9}],\"ver\":9}",
				 value);
	trickle_start(PORT, answer, bytes_per_s, value_bytes + 1000);
	return f;
}

static void on_nothing(struct mtimer *timer, void *data)
{
}

static void wait_done(struct fixture *f)
{
	while (!f->is_done)
		tevent_loop_once(f->ev);
}

START_TEST(a_feed_whose_answer_takes_longer_than_its_limit_arrives)
{
	struct fixture *f = slow_fixture_new(1000000, 800000);
	int64_t began = base_now_ns();

	store_feed(f->store, "op", 5, 0, base_deadline_in(LIMIT_MS), on_done, f);
	wait_done(f);
	ck_assert_int_eq(f->result, STORE_OK);
	ck_assert_uint_eq(strlen(f->value), 750000);
	ck_assert_int_eq(store_failing_ms(f->store), 0);
	ck_assert_int_lt((base_now_ns() - began) / BASE_NS_PER_MS, IN_FORCE_MS);
	trickle_stop();
	talloc_free(f);
}
END_TEST

START_TEST(a_read_whose_answer_takes_longer_than_its_limit_arrives)
{
	struct fixture *f = slow_fixture_new(1000000, 800000);
	struct store_range range = {"op", "", str_from("config"), 1};

	store_read(f->store, &range, base_deadline_in(LIMIT_MS), on_done, f);
	wait_done(f);
	ck_assert_int_eq(f->result, STORE_OK);
	ck_assert_uint_eq(f->count, 1);
	trickle_stop();
	talloc_free(f);
}
END_TEST

START_TEST(an_answer_that_stops_in_the_middle_ends_the_call)
{
	struct fixture *f = fixture_new(200, "{}");
	int64_t began = base_now_ns();

	TALLOC_FREE(f->http);
	trickle_start(PORT, "{\"rows\":[],\"ver\":9,\"more\":\"the rest does not arrive\"}",
		      1000000, 60);
	store_feed(f->store, "op", 5, 0, base_deadline_in(LIMIT_MS), on_done, f);
	wait_done(f);
	ck_assert_int_eq(f->result, STORE_UNKNOWN);
	ck_assert_int_lt((base_now_ns() - began) / BASE_NS_PER_MS, IN_FORCE_MS);
	trickle_stop();
	talloc_free(f);
}
END_TEST

START_TEST(a_call_without_any_answer_ends_at_its_limit)
{
	struct fixture *f = fixture_new(200, "{}");
	int64_t began = base_now_ns();

	TALLOC_FREE(f->http);
	trickle_start(PORT, "", 1000000, 0);
	store_feed(f->store, "op", 5, 0, base_deadline_in(LIMIT_MS), on_done, f);
	wait_done(f);
	ck_assert_int_eq(f->result, STORE_UNKNOWN);
	ck_assert_int_lt((base_now_ns() - began) / BASE_NS_PER_MS, LIMIT_MS + 200);
	trickle_stop();
	talloc_free(f);
}
END_TEST

static bool hold(int64_t len, void *data)
{
	int64_t *held_len = data;

	*held_len = len;
	return true;
}

static void run_for(struct fixture *f, int64_t ms)
{
	int64_t until = base_deadline_in(ms);

	while (base_now_ns() < until) {
		mtimer_add(f, f->ev, until, on_nothing, NULL);
		tevent_loop_once(f->ev);
	}
}

START_TEST(an_answer_that_is_held_goes_on_later)
{
	struct fixture *f = slow_fixture_new(400000, 4000000);
	int64_t held_len = 0;
	struct store_call *call =
		store_feed(f->store, "op", 5, 0, base_deadline_in(LIMIT_MS), on_done, f);

	store_on_begin(call, hold, &held_len);
	run_for(f, 2 * LIMIT_MS + 600);
	ck_assert(!f->is_done);
	ck_assert_int_gt(held_len, 400000);
	store_resume(call);
	wait_done(f);
	ck_assert_int_eq(f->result, STORE_OK);
	ck_assert_uint_eq(strlen(f->value), 300000);
	trickle_stop();
	talloc_free(f);
}
END_TEST

START_TEST(a_cancelled_call_reports_nothing)
{
	struct fixture *f = slow_fixture_new(400000, 4000000);
	int64_t held_len = 0;
	struct store_call *call =
		store_feed(f->store, "op", 5, 0, base_deadline_in(LIMIT_MS), on_done, f);

	store_on_begin(call, hold, &held_len);
	run_for(f, 100);
	store_cancel(call);
	call = store_feed(f->store, "op", 5, 0, base_deadline_in(LIMIT_MS), on_done, f);
	store_cancel(call);
	run_for(f, 2 * LIMIT_MS);
	ck_assert(!f->is_done);
	ck_assert_int_eq(store_failing_ms(f->store), 0);
	trickle_stop();
	talloc_free(f);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, an_answer_that_is_held_goes_on_later);
	tcase_add_test(t, a_cancelled_call_reports_nothing);
	tcase_add_test(t, a_feed_whose_answer_takes_longer_than_its_limit_arrives);
	tcase_add_test(t, a_read_whose_answer_takes_longer_than_its_limit_arrives);
	tcase_add_test(t, an_answer_that_stops_in_the_middle_ends_the_call);
	tcase_add_test(t, a_call_without_any_answer_ends_at_its_limit);
	tcase_add_test(t, a_transaction_sends_conditions_and_rows);
	tcase_add_test(t, the_length_of_a_transaction_is_known_before_it_is_sent);
	tcase_add_test(t, a_conflict_returns_the_conflicting_rows);
	tcase_add_test(t, only_a_definite_rejection_means_not_performed);
	tcase_add_test(t, a_feed_reports_lost_history);
	tcase_add_test(t, any_text_names_the_start_of_a_range);
	tcase_add_test(t, a_row_with_odd_texts_leaves_the_others_readable);
	tcase_add_test(t, a_key_that_is_no_text_leaves_the_other_rows_readable);
	tcase_add_test(t, an_unreachable_store_has_performed_nothing);
}

int main(void)
{
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return run_suite("store", add_tests);
}
