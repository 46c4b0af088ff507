/**
 * DOC: test_httpc - a request is sent at most once; lost and unsent calls are distinguished
 */
#include <arpa/inet.h>
#include <check.h>
#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "httpc/httpc.h"
#include "runner.h"

#define PORT 17903
#define REPLY "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

/*
 * A server that answers the first request of each connection, reads a second
 * one completely and then closes the connection, as a server does that crashes
 * while it executes a request.
 */
static _Atomic int bodies; /* request bodies received */
static int listener;

static bool read_request(int fd)
{
	char buf[4096];
	size_t len = 0;

	while (len < sizeof(buf) - 1) {
		ssize_t n = recv(fd, buf + len, sizeof(buf) - 1 - len, 0);

		if (n <= 0)
			return false;
		len += (size_t)n;
		buf[len] = 0;
		if (strstr(buf, "body-of-five"))
			return true;
	}
	return false;
}

static void *serve(void *data)
{
	int fd;

	while ((fd = accept(listener, NULL, NULL)) >= 0) {
		if (read_request(fd)) {
			atomic_fetch_add(&bodies, 1);
			send(fd, REPLY, strlen(REPLY), MSG_NOSIGNAL);
			if (read_request(fd))
				atomic_fetch_add(&bodies, 1);
		}
		close(fd);
	}
	return NULL;
}

static void listen_here(void)
{
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons(PORT)};
	int on = 1;

	inet_pton(AF_INET, "127.0.0.1", &sa.sin_addr);
	listener = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ck_assert_int_eq(bind(listener, (struct sockaddr *)&sa, sizeof(sa)), 0);
	ck_assert_int_eq(listen(listener, 8), 0);
}

struct call {
	bool is_done;
	enum httpc_result result;
};

static void on_done(const struct httpc_answer *answer, void *data)
{
	struct call *c = data;

	c->is_done = true;
	c->result = answer->result;
}

static enum httpc_result post(struct tevent_context *ev, struct httpc *http, uint16_t port)
{
	struct call c = {0};
	char url[64];
	struct httpc_options opt = {.method = "POST",
				    .url = url,
				    .body = str_from("body-of-five"),
				    .deadline = base_deadline_in(2000)};

	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u/", port);
	httpc_start(http, &opt, on_done, &c);
	while (!c.is_done)
		tevent_loop_once(ev);
	return c.result;
}

START_TEST(a_body_is_not_sent_again_on_another_connection)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	struct httpc *http = httpc_new(ev, ev, 0, 0);
	pthread_t thread;

	listen_here();
	pthread_create(&thread, NULL, serve, NULL);
	ck_assert_int_eq(post(ev, http, PORT), HTTPC_ANSWERED);
	ck_assert_int_eq(post(ev, http, PORT), HTTPC_LOST);
	ck_assert_int_eq(atomic_load(&bodies), 2);
	shutdown(listener, SHUT_RDWR);
	close(listener);
	pthread_join(thread, NULL);
	talloc_free(ev);
}
END_TEST

START_TEST(a_dead_port_is_not_sent)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	struct httpc *http = httpc_new(ev, ev, 0, 0);

	ck_assert_int_eq(post(ev, http, 17999), HTTPC_NOT_SENT);
	talloc_free(ev);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, a_body_is_not_sent_again_on_another_connection);
	tcase_add_test(t, a_dead_port_is_not_sent);
}

int main(void)
{
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return run_suite("httpc", add_tests);
}
