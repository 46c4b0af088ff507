/**
 * DOC: test_httpd - bodies, limits, deferred replies, closed connections
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

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
	int ticks;
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
	if (!strcmp(req->path, "/copy") && !httpd_charge(req, req->body.len)) {
		httpd_reply(req, 503, str_from(""));
		return;
	}
	httpd_reply(req, 200, req->body);
}

static const struct httpd_options usual_options = {.ip = "127.0.0.1",
						   .port = PORT,
						   .body_max = BODY_MAX,
						   .connections_max = 200,
						   .idle_timeout_s = 10};

static struct fixture *fixture_of(const struct httpd_options *opt)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);

	f->ev = tevent_context_init(f);
	f->server = httpd_new(f, f->ev, opt, on_request, f);
	ck_assert_ptr_nonnull(f->server);
	f->http = httpc_new(f, f->ev, 0, 0);
	return f;
}

static struct fixture *fixture_new(void)
{
	return fixture_of(&usual_options);
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

/* Guards against a process that ends because a request has no answer yet. */
START_TEST(a_request_without_an_answer_is_aborted_when_the_server_stops)
{
	struct fixture *f = fixture_new();

	start(f, URL "/hold", str_from("x"), 2000);
	while (!f->held)
		tevent_loop_once(f->ev);
	TALLOC_FREE(f->server);
	ck_assert_int_eq(f->aborted, 1);
	wait_done(f, 1);
	ck_assert_int_eq(f->result, HTTPC_LOST);
	talloc_free(f);
}
END_TEST

/* ---- clients outside the limits ---- */

#define ROOM 30000  /* bytes of bodies; enough for one of LARGE */
#define LARGE 20000 /* more than BUDGET_SMALL_BYTES */

static struct fixture *fixture_with_room(void)
{
	struct httpd_options opt = usual_options;

	opt.body_max = LARGE;
	opt.bodies_max = ROOM;
	opt.connections_max = 4;
	opt.close_for_new = true;
	return fixture_of(&opt);
}

static void on_wake(struct tevent_context *ev G_GNUC_UNUSED, struct tevent_timer *te G_GNUC_UNUSED,
		    struct timeval now G_GNUC_UNUSED, void *data G_GNUC_UNUSED)
{
}

static void run_for(struct fixture *f, int64_t ms)
{
	int64_t end = base_deadline_in(ms);

	while (base_now_ns() < end) {
		tevent_add_timer(f->ev, f, base_timeval_in_ms(5), on_wake, NULL);
		tevent_loop_once(f->ev);
	}
}

/* Opens a connection and sends @head and @len bytes of a body. */
static int client_open(const char *head, size_t len)
{
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons(PORT)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char *body = g_strnfill(len, 'x');

	inet_pton(AF_INET, "127.0.0.1", &sa.sin_addr);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	ck_assert_int_eq(send(fd, head, strlen(head), MSG_NOSIGNAL), (ssize_t)strlen(head));
	ck_assert_int_eq(send(fd, body, len, MSG_NOSIGNAL), (ssize_t)len);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	g_free(body);
	return fd;
}

/* Waits for bytes or the end of the connection; the answer is empty when there is none. */
static const char *client_answer(struct fixture *f, int fd)
{
	static char text[1024];
	ssize_t n;

	while ((n = recv(fd, text, sizeof(text) - 1, 0)) < 0 && errno == EAGAIN)
		run_for(f, 5);
	text[MAX(n, 0)] = 0;
	return text;
}

static const char post_large[] = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 20000\r\n\r\n";
static const char post_small[] = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n";
static const char post_chunked[] =
	"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n";

/* Guards against reading a body that is known to be too large. */
START_TEST(a_body_announced_far_above_the_limit_is_not_read)
{
	struct fixture *f = fixture_with_room();
	int fd = client_open("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000\r\n\r\n", 0);

	ck_assert_ptr_nonnull(strstr(client_answer(f, fd), " 413 "));
	ck_assert_uint_eq(httpd_stats(f->server).too_large, 1);
	close(fd);
	talloc_free(f);
}
END_TEST

/* Guards against a chunked body that is kept, or read without end. */
START_TEST(a_chunked_body_above_the_limit_is_cut_off)
{
	struct fixture *f = fixture_with_room();
	int fd = client_open(post_chunked, LARGE + HTTPD_DISCARD_MAX * 3 / 2);

	ck_assert_ptr_nonnull(strstr(client_answer(f, fd), " 413 "));
	ck_assert_str_eq(client_answer(f, fd), "");
	ck_assert_uint_eq(httpd_stats(f->server).body_bytes, 0);
	close(fd);
	talloc_free(f);
}
END_TEST

/* Guards against stopped bodies that keep others out for as long as they like. */
START_TEST(a_stopped_body_delays_large_ones_and_no_small_one)
{
	struct fixture *f = fixture_with_room();
	int stopped = client_open(post_large, LARGE - 1);
	int fd;

	run_for(f, 50);
	fd = client_open(post_large, LARGE);
	ck_assert_ptr_nonnull(strstr(client_answer(f, fd), "Retry-After: 1"));
	close(fd);
	fd = client_open(post_small, 5000);
	ck_assert_ptr_nonnull(strstr(client_answer(f, fd), " 200 "));
	close(fd);
	run_for(f, BUDGET_STALL_MS);
	fd = client_open(post_large, LARGE);
	ck_assert_ptr_nonnull(strstr(client_answer(f, fd), " 200 "));
	ck_assert_str_eq(client_answer(f, stopped), "");
	ck_assert_uint_eq(httpd_stats(f->server).busy, 1);
	ck_assert_uint_eq(httpd_stats(f->server).closed_for_room, 1);
	close(fd);
	close(stopped);
	talloc_free(f);
}
END_TEST

/* Guards against a process that writes to memory that it did not get; talloc gives up to 256 MB. */
START_TEST(a_body_without_memory_is_rejected)
{
	struct httpd_options opt = usual_options;
	struct fixture *f;
	int fd;

	opt.body_max = 1 << 30;
	f = fixture_of(&opt);
	fd = client_open("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000\r\n\r\n",
			 HTTPD_DISCARD_MAX * 2);
	ck_assert_ptr_nonnull(strstr(client_answer(f, fd), " 503 "));
	close(fd);
	talloc_free(f);
}
END_TEST

/* Guards against a largest body that is always rejected although it was sent alone. */
START_TEST(a_body_that_needs_all_of_the_room_is_taken)
{
	static const char post_copy[] =
		"POST /copy HTTP/1.1\r\nHost: x\r\nContent-Length: 20000\r\n\r\n";
	struct httpd_options opt = usual_options;
	struct fixture *f;
	int fd;

	opt.body_max = LARGE;
	opt.bodies_max = 2 * LARGE;
	f = fixture_of(&opt);
	fd = client_open(post_copy, LARGE);
	ck_assert_ptr_nonnull(strstr(client_answer(f, fd), " 200 "));
	close(fd);
	talloc_free(f);
}
END_TEST

/* Guards against idle connections that keep new callers out. */
START_TEST(new_connections_replace_idle_ones)
{
	struct fixture *f = fixture_with_room();
	int idle[40];

	for (size_t i = 0; i < G_N_ELEMENTS(idle); i++)
		idle[i] = client_open("", 0);
	run_for(f, 100);
	start(f, URL "/", str_from("hello"), 5000);
	wait_done(f, 1);
	ck_assert_uint_eq(f->status, 200);
	ck_assert_uint_le(httpd_stats(f->server).connections, 4);
	ck_assert_uint_ge(httpd_stats(f->server).closed_for_connection, 30);
	for (size_t i = 0; i < G_N_ELEMENTS(idle); i++)
		close(idle[i]);
	talloc_free(f);
}
END_TEST

/* Guards against stopped requests on all connections, which leave none to accept a new one. */
START_TEST(stopped_requests_on_all_connections_end)
{
	struct fixture *f = fixture_with_room();
	int stopped[4 + HTTPD_CONNECTIONS_EXTRA + 4];

	for (size_t i = 0; i < G_N_ELEMENTS(stopped); i++) {
		stopped[i] = client_open(post_small, 4999);
		run_for(f, 10);
	}
	start(f, URL "/", str_from("hello"), 5000);
	wait_done(f, 1);
	ck_assert_uint_eq(f->status, 200);
	for (size_t i = 0; i < G_N_ELEMENTS(stopped); i++)
		close(stopped[i]);
	talloc_free(f);
}
END_TEST

/* Guards against closing a connection whose request is being handled. */
START_TEST(a_request_in_progress_is_answered_whoever_connects)
{
	struct fixture *f = fixture_with_room();
	int idle[20];

	start(f, URL "/hold", str_from("x"), 5000);
	while (!f->held)
		tevent_loop_once(f->ev);
	for (size_t i = 0; i < G_N_ELEMENTS(idle); i++)
		idle[i] = client_open("", 0);
	run_for(f, 100);
	f->held->on_abort = NULL;
	httpd_reply_json(f->held, 200, json_object());
	wait_done(f, 1);
	ck_assert_uint_eq(f->status, 200);
	for (size_t i = 0; i < G_N_ELEMENTS(idle); i++)
		close(idle[i]);
	talloc_free(f);
}
END_TEST

/* Guards against callers that lose their connections to others when many connect at once. */
START_TEST(callers_that_connect_at_once_are_all_answered)
{
	struct fixture *f = fixture_with_room();
	int fd[60];

	for (size_t i = 0; i < G_N_ELEMENTS(fd); i++)
		fd[i] = client_open(post_small, 5000);
	for (size_t i = 0; i < G_N_ELEMENTS(fd); i++) {
		ck_assert_ptr_nonnull(strstr(client_answer(f, fd[i]), " 200 "));
		close(fd[i]);
	}
	talloc_free(f);
}
END_TEST

/* Guards against clients that send requests, read no answers and keep their connections for that.
 */
START_TEST(clients_that_read_no_answers_give_way)
{
	struct httpd_options opt = usual_options;
	char *body = g_strnfill(LARGE, 'x');
	char *request = g_strconcat(post_large, body, NULL);
	size_t len = strlen(request);
	int fd[4 + HTTPD_CONNECTIONS_EXTRA + 4];
	size_t sent[G_N_ELEMENTS(fd)] = {0};
	struct fixture *f;

	opt.body_max = LARGE;
	opt.connections_max = 4;
	opt.close_for_new = true;
	f = fixture_of(&opt);
	for (size_t i = 0; i < G_N_ELEMENTS(fd); i++)
		fd[i] = client_open("", 0);
	for (int round = 0; round < 1000; round++) {
		for (size_t i = 0; i < G_N_ELEMENTS(fd); i++) {
			ssize_t n = send(fd[i], request + sent[i] % len, len - sent[i] % len,
					 MSG_NOSIGNAL);

			sent[i] += (size_t)MAX(n, 0);
		}
		tevent_add_timer(f->ev, f, base_timeval_in_ms(1), on_wake, NULL);
		tevent_loop_once(f->ev);
	}
	start(f, URL "/", str_from("hello"), 10000);
	wait_done(f, 1);
	ck_assert_uint_eq(f->status, 200);
	for (size_t i = 0; i < G_N_ELEMENTS(fd); i++)
		close(fd[i]);
	g_free(request);
	g_free(body);
	talloc_free(f);
}
END_TEST

static size_t small_limit(void *data G_GNUC_UNUSED)
{
	return 10;
}

START_TEST(the_limit_at_present_applies)
{
	struct httpd_options opt = usual_options;
	struct fixture *f;

	opt.get_body_max = small_limit;
	f = fixture_of(&opt);
	start(f, URL "/", str_from("ten bytes."), 5000);
	wait_done(f, 1);
	ck_assert_uint_eq(f->status, 200);
	start(f, URL "/", str_from("more bytes."), 5000);
	wait_done(f, 2);
	ck_assert_uint_eq(f->status, 413);
	talloc_free(f);
}
END_TEST

/* ---- clients that send without a pause ---- */

#define SENDERS 20
#define TICKS 5
#define SENDING_MAX_MS 5000

struct senders {
	pthread_t thread;
	int fd[SENDERS];
	atomic_bool is_ended;
};

/* Sends requests, whole or in parts, as fast as the server takes them, and drops the answers. */
static void *send_requests(void *data)
{
	static const char request[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
	const size_t len = strlen(request);
	struct senders *s = data;
	size_t sent[SENDERS] = {0};
	char text[4096];

	while (!atomic_load(&s->is_ended)) {
		for (int i = 0; i < SENDERS; i++) {
			ssize_t n = send(s->fd[i], request + sent[i] % len, len - sent[i] % len,
					 MSG_NOSIGNAL);

			sent[i] += (size_t)MAX(n, 0);
			while (recv(s->fd[i], text, sizeof(text), 0) > 0)
				;
		}
	}
	return NULL;
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te G_GNUC_UNUSED,
		    struct timeval now G_GNUC_UNUSED, void *data)
{
	struct fixture *f = data;

	if (++f->ticks < TICKS)
		tevent_add_timer(ev, f, base_timeval_in_ms(1), on_tick, f);
}

/*
 * Guards against clients that keep the loop busy: the timers and connections of the rest of the
 * process, such as those for the store, stood still for as long as the clients sent.
 */
START_TEST(clients_that_send_without_pause_hold_up_no_timer_and_no_other_connection)
{
	struct fixture *f = fixture_new();
	struct senders s = {.is_ended = false};
	int64_t end = base_deadline_in(SENDING_MAX_MS);

	for (int i = 0; i < SENDERS; i++)
		s.fd[i] = client_open("", 0);
	ck_assert_int_eq(pthread_create(&s.thread, NULL, send_requests, &s), 0);
	tevent_add_timer(f->ev, f, base_timeval_in_ms(1), on_tick, f);
	start(f, URL "/", str_from("hello"), SENDING_MAX_MS);
	while ((f->ticks < TICKS || !f->done) && base_now_ns() < end)
		tevent_loop_once(f->ev);
	atomic_store(&s.is_ended, true);
	pthread_join(s.thread, NULL);
	ck_assert_int_eq(f->ticks, TICKS);
	ck_assert_uint_eq(f->status, 200);
	for (int i = 0; i < SENDERS; i++)
		close(s.fd[i]);
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
	tcase_add_test(t, a_request_without_an_answer_is_aborted_when_the_server_stops);
	tcase_add_test(t, a_body_announced_far_above_the_limit_is_not_read);
	tcase_add_test(t, a_chunked_body_above_the_limit_is_cut_off);
	tcase_add_test(t, a_stopped_body_delays_large_ones_and_no_small_one);
	tcase_add_test(t, a_body_without_memory_is_rejected);
	tcase_add_test(t, a_body_that_needs_all_of_the_room_is_taken);
	tcase_add_test(t, new_connections_replace_idle_ones);
	tcase_add_test(t, stopped_requests_on_all_connections_end);
	tcase_add_test(t, a_request_in_progress_is_answered_whoever_connects);
	tcase_add_test(t, the_limit_at_present_applies);
	tcase_add_test(t, callers_that_connect_at_once_are_all_answered);
	tcase_add_test(t, clients_that_read_no_answers_give_way);
	tcase_add_test(t, clients_that_send_without_pause_hold_up_no_timer_and_no_other_connection);
}

int main(void)
{
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return run_suite("httpd", add_tests);
}
