/**
 * DOC: test_onc - calls, peers that do not answer, networks not allowed, random bytes
 */
#include <arpa/inet.h>
#include <check.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "onc/onc.h"
#include "proto/proto.h"
#include "runner.h"

#define PORT 17901

static const struct onc_proc procs[] = {
	{CL_PEER, CL_PEER_V1, PEER_PULL, (xdrproc_t)xdr_cl_pull_args, sizeof(cl_pull_args),
	 (xdrproc_t)xdr_cl_pull_res},
};

/* a server that answers unless is_quiet is set, and a client */
struct fixture {
	struct tevent_context *ev;
	struct onc_server *server;
	struct onc_client *client;
	bool is_quiet;
	int served;
	int done;
	enum onc_result result;
	int64_t version;
};

static void on_call(struct onc_request *req)
{
	struct fixture *f = req->server_data;
	const cl_pull_args *args = req->args;
	cl_pull_res res = {.catalogue_version = args->catalogue_version + 1,
			   .catalogue = (char *)"{}",
			   .vm_list = (char *)"[]"};

	f->served++;
	if (!f->is_quiet)
		onc_reply(req, &res);
}

static void on_done(enum onc_result result, void *res, void *data)
{
	struct fixture *f = data;

	f->done++;
	f->result = result;
	if (res)
		f->version = ((cl_pull_res *)res)->catalogue_version;
}

static struct fixture *fixture_new(const char *allow)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);
	const char *networks[] = {talloc_strdup(f, allow)};
	struct onc_server_options opt = {.ip = "127.0.0.1",
					 .port = PORT,
					 .allow = talloc_memdup(f, networks, sizeof(networks)),
					 .allow_count = 1,
					 .procs = procs,
					 .proc_count = 1};

	f->ev = tevent_context_init(f);
	f->server = onc_server_new(f, f->ev, &opt, on_call, f);
	ck_assert_ptr_nonnull(f->server);
	f->client = onc_client_new(f, f->ev, "127.0.0.1", PORT);
	return f;
}

static void call(struct fixture *f, int64_t deadline_ms)
{
	cl_pull_args args = {.catalogue_version = 41};
	int before = f->done;

	onc_call(f->client, &procs[0], &args, sizeof(cl_pull_res), base_deadline_in(deadline_ms),
		 on_done, f);
	while (f->done == before)
		tevent_loop_once(f->ev);
}

START_TEST(a_call_gets_its_result)
{
	struct fixture *f = fixture_new("127.0.0.0/8");

	call(f, 1000);
	ck_assert_int_eq(f->result, ONC_OK);
	ck_assert_int_eq(f->version, 42);
	talloc_free(f);
}
END_TEST

START_TEST(a_silent_peer_is_given_up_and_called_anew)
{
	struct fixture *f = fixture_new("127.0.0.0/8");

	f->is_quiet = true;
	call(f, 50);
	ck_assert_int_eq(f->result, ONC_LOST);
	f->is_quiet = false;
	call(f, 1000);
	ck_assert_int_eq(f->result, ONC_OK);
	talloc_free(f);
}
END_TEST

/*
 * Guards against a call that ends as lost although its answer arrived in time:
 * the process is busy until after the deadline, and the answer is still unread.
 */
START_TEST(an_answer_that_arrived_in_time_counts_on_a_busy_process)
{
	struct fixture *f = fixture_new("127.0.0.0/8");
	cl_pull_args args = {.catalogue_version = 41};
	int64_t deadline = base_deadline_in(60);

	onc_call(f->client, &procs[0], &args, sizeof(cl_pull_res), deadline, on_done, f);
	while (!f->served)
		tevent_loop_once(f->ev);
	/* the iteration of the loop that sends the answer */
	tevent_loop_once(f->ev);
	while (base_now_ns() < deadline + 20 * BASE_NS_PER_MS)
		usleep(1000);
	while (!f->done)
		tevent_loop_once(f->ev);
	ck_assert_int_eq(f->result, ONC_OK);
	talloc_free(f);
}
END_TEST

START_TEST(calls_on_a_connection_that_is_given_up_are_lost_at_once)
{
	struct fixture *f = fixture_new("127.0.0.0/8");
	cl_pull_args args = {.catalogue_version = 41};

	f->is_quiet = true;
	onc_call(f->client, &procs[0], &args, sizeof(cl_pull_res), base_deadline_in(5000), on_done,
		 f);
	call(f, 50);
	ck_assert_int_eq(f->done, 2);
	ck_assert_int_eq(f->result, ONC_LOST);
	talloc_free(f);
}
END_TEST

START_TEST(a_dead_port_is_not_sent)
{
	struct fixture *f = fixture_new("127.0.0.0/8");

	TALLOC_FREE(f->server);
	call(f, 1000);
	ck_assert_int_eq(f->result, ONC_NOT_SENT);
	talloc_free(f);
}
END_TEST

START_TEST(foreign_networks_are_refused)
{
	struct fixture *f = fixture_new("10.0.0.0/8");

	call(f, 500);
	ck_assert_int_ne(f->result, ONC_OK);
	ck_assert_int_eq(f->served, 0);
	talloc_free(f);
}
END_TEST

static int raw_connect(void)
{
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons(PORT)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, "127.0.0.1", &sa.sin_addr);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	return fd;
}

static void on_nothing(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		       void *data)
{
}

/* random bytes, some after a valid record mark, neither reach a handler nor stop the server */
START_TEST(random_bytes_do_no_harm)
{
	struct fixture *f = fixture_new("127.0.0.0/8");
	GRand *rng = g_rand_new_with_seed((guint32)_i);

	for (int round = 0; round < 40; round++) {
		uint8_t bytes[512];
		int fd = raw_connect();
		uint32_t mark = htonl(0x80000000U | (sizeof(bytes) - 4));

		for (size_t i = 0; i < sizeof(bytes); i++)
			bytes[i] = (uint8_t)g_rand_int(rng);
		if (g_rand_boolean(rng))
			memcpy(bytes, &mark, 4);
		ck_assert_int_gt(send(fd, bytes, sizeof(bytes), MSG_NOSIGNAL), 0);
		for (int i = 0; i < 4; i++) {
			tevent_add_timer(f->ev, f, base_timeval_in_ms(1), on_nothing, NULL);
			tevent_loop_once(f->ev);
		}
		close(fd);
	}
	call(f, 1000);
	ck_assert_int_eq(f->result, ONC_OK);
	ck_assert_int_eq(f->served, 1);
	g_rand_free(rng);
	talloc_free(f);
}
END_TEST

static unsigned int open_descriptors(void)
{
	GDir *dir = g_dir_open("/proc/self/fd", 0, NULL);
	unsigned int n = 0;

	ck_assert_ptr_nonnull(dir);
	while (g_dir_read_name(dir))
		n++;
	g_dir_close(dir);
	return n;
}

/*
 * Guards against accepting one connection per iteration of the loop: all VMs of
 * a site connect to a new leader at once, whose iterations take long.
 */
START_TEST(a_burst_of_connections_is_accepted_in_one_turn)
{
	struct fixture *f = fixture_new("127.0.0.0/8");
	int fds[40];
	unsigned int before;

	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		fds[i] = raw_connect();
	before = open_descriptors();
	tevent_loop_once(f->ev);
	ck_assert_uint_eq(open_descriptors() - before, G_N_ELEMENTS(fds));
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		close(fds[i]);
	talloc_free(f);
}
END_TEST

#define LONG_BYTES 1000000
#define LONG_PIECES 40
#define LONG_PIECE_MS 20

/* answers the first call with @data, a record, in pieces; its connection then stays open */
static void *answer_slowly(void *data)
{
	int listener = GPOINTER_TO_INT(data);
	int fd = accept(listener, NULL, NULL);
	uint32_t call[16]; /* mark, xid and so on */
	char *buf = talloc_size(NULL, LONG_BYTES + 1000);
	char *text = talloc_zero_size(buf, LONG_BYTES + 1);
	cl_pull_res res = {.catalogue_version = 42, .catalogue = text, .vm_list = (char *)""};
	struct rpc_msg msg = {.rm_direction = REPLY};
	uint32_t mark;
	size_t len;
	XDR xdr;

	ck_assert_int_gt(recv(fd, call, sizeof(call), 0), 8);
	memset(text, 'x', LONG_BYTES);
	msg.rm_xid = ntohl(call[1]);
	msg.acpted_rply.ar_results.where = (caddr_t)&res;
	msg.acpted_rply.ar_results.proc = (xdrproc_t)xdr_cl_pull_res;
	xdrmem_create(&xdr, buf + 4, LONG_BYTES + 900, XDR_ENCODE);
	ck_assert(xdr_replymsg(&xdr, &msg));
	len = xdr_getpos(&xdr) + 4;
	mark = htonl(0x80000000U | (uint32_t)(len - 4));
	memcpy(buf, &mark, 4);
	for (size_t sent = 0; sent < len;) {
		ssize_t n = send(fd, buf + sent, MIN(LONG_BYTES / LONG_PIECES, len - sent),
				 MSG_NOSIGNAL);

		if (n <= 0)
			break;
		sent += (size_t)n;
		usleep(LONG_PIECE_MS * 1000);
	}
	talloc_free(buf);
	return NULL;
}

/* Guards against a long answer over a small link that is given up, and asked for anew, for ever. */
START_TEST(an_answer_that_takes_longer_than_its_limit_arrives)
{
	struct fixture *f = fixture_new("127.0.0.0/8");
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons(PORT)};
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int on = 1;
	pthread_t thread;

	TALLOC_FREE(f->server);
	inet_pton(AF_INET, "127.0.0.1", &sa.sin_addr);
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ck_assert_int_eq(bind(listener, (struct sockaddr *)&sa, sizeof(sa)), 0);
	ck_assert_int_eq(listen(listener, 1), 0);
	ck_assert_int_eq(pthread_create(&thread, NULL, answer_slowly, GINT_TO_POINTER(listener)),
			 0);
	call(f, LONG_PIECES * LONG_PIECE_MS / 3);
	ck_assert_int_eq(f->result, ONC_OK);
	ck_assert_int_eq(f->version, 42);
	pthread_join(thread, NULL);
	close(listener);
	talloc_free(f);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, an_answer_that_takes_longer_than_its_limit_arrives);
	tcase_add_test(t, a_burst_of_connections_is_accepted_in_one_turn);
	tcase_add_test(t, a_call_gets_its_result);
	tcase_add_test(t, a_silent_peer_is_given_up_and_called_anew);
	tcase_add_test(t, an_answer_that_arrived_in_time_counts_on_a_busy_process);
	tcase_add_test(t, calls_on_a_connection_that_is_given_up_are_lost_at_once);
	tcase_add_test(t, a_dead_port_is_not_sent);
	tcase_add_test(t, foreign_networks_are_refused);
	tcase_add_loop_test(t, random_bytes_do_no_harm, 0, 5);
}

int main(void)
{
	signal(SIGPIPE, SIG_IGN);
	return run_suite("onc", add_tests);
}
