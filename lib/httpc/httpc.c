#include "httpc.h"

#include <curl/curl.h>
#include <string.h>

#include "mtimer/mtimer.h"

#define HTTPC_CONNECT_TIMEOUT_MS 1000
#define HTTPC_ANSWER_MAX (16 * 1024 * 1024)
#define HTTPC_IDLE_HANDLES_MAX 256
#define HTTPC_CACHE_DEFAULT 512 /* connections; enough for a client of one or a few servers */

struct httpc {
	struct tevent_context *ev;
	CURLM *multi;
	struct mtimer *timer;
	unsigned int in_flight;
	GPtrArray *idle; /* easy handles for reuse, at most HTTPC_IDLE_HANDLES_MAX */
};

/*
 * @progress_timer: checks that bytes are sent or received; NULL unless @stall_ms is set
 * @transferred: bytes of both bodies at the last check
 */
struct httpc_call {
	struct httpc *client;
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	size_t body_len;
	int64_t deadline;
	int64_t stall_ms;
	struct mtimer *progress_timer;
	size_t transferred;
	httpc_begin_fn *on_begin; /* NULL once it was called */
	void *begin_data;
	bool is_held;
	bool is_sent; /* at least a part of the request may have been sent */
	char *answer;
	size_t answer_len;
	size_t answer_cap;
	httpc_done *done;
	void *data;
};

/* one of libcurl's sockets in the tevent loop */
struct socket_watch {
	struct httpc *client;
	curl_socket_t fd;
	struct tevent_fd *fde;
};

/*
 * libcurl calls this before it sends a request on a connection. When a reused
 * connection ends without an answer, libcurl would send the request again on
 * another connection. The server may have executed the request by then, so the
 * second attempt is aborted.
 */
static int on_before_send(void *data, char *remote_ip G_GNUC_UNUSED, char *local_ip G_GNUC_UNUSED,
			  int remote_port G_GNUC_UNUSED, int local_port G_GNUC_UNUSED)
{
	struct httpc_call *call = data;

	if (call->is_sent)
		return CURL_PREREQFUNC_ABORT;
	call->is_sent = true;
	return CURL_PREREQFUNC_OK;
}

static size_t on_answer(char *buf, size_t size, size_t n, void *data)
{
	struct httpc_call *call = data;
	size_t len = size * n;
	httpc_begin_fn *on_begin = call->on_begin;
	curl_off_t expected = -1;

	if (on_begin) {
		call->on_begin = NULL;
		curl_easy_getinfo(call->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &expected);
		call->is_held = on_begin(expected, call->begin_data);
	}
	if (call->is_held)
		return CURL_WRITEFUNC_PAUSE;
	if (call->answer_len + len > HTTPC_ANSWER_MAX)
		return 0;
	if (call->answer_len + len + 1 > call->answer_cap) {
		call->answer_cap = (call->answer_len + len + 1) * 2;
		call->answer = talloc_realloc(call, call->answer, char, call->answer_cap);
	}
	memcpy(call->answer + call->answer_len, buf, len);
	call->answer_len += len;
	call->answer[call->answer_len] = 0;
	return len;
}

/* @call no longer uses its handle, which the next call may */
static void release_handle(struct httpc_call *call)
{
	struct httpc *client = call->client;

	curl_slist_free_all(call->headers);
	if (client->idle->len < HTTPC_IDLE_HANDLES_MAX) {
		curl_easy_reset(call->easy);
		g_ptr_array_add(client->idle, call->easy);
	} else {
		curl_easy_cleanup(call->easy);
	}
}

void httpc_cancel(struct httpc_call *call)
{
	curl_multi_remove_handle(call->client->multi, call->easy);
	call->client->in_flight--;
	release_handle(call);
	talloc_free(call);
}

static void call_complete(struct httpc_call *call, CURLcode code)
{
	struct httpc *client = call->client;
	struct httpc_answer answer = {.result = HTTPC_LOST,
				      .error = code == CURLE_OK ? "" : curl_easy_strerror(code),
				      .received = call->answer_len};
	long status = 0;

	if (code == CURLE_OK) {
		curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
		answer.result = HTTPC_ANSWERED;
		answer.status = (unsigned int)status;
		answer.body.ptr = call->answer ? call->answer : "";
		answer.body.len = call->answer_len;
	} else if (!call->is_sent) {
		answer.result = HTTPC_NOT_SENT;
	}
	curl_multi_remove_handle(client->multi, call->easy);
	client->in_flight--;
	call->done(&answer, call->data);
	release_handle(call);
	talloc_free(call);
}

static size_t count_transferred(const struct httpc_call *call)
{
	curl_off_t sent = 0;

	curl_easy_getinfo(call->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
	return (size_t)sent + call->answer_len;
}

/* The check before the deadline tells a request that was sent long ago from one under way. */
static void on_progress_check(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	struct httpc_call *call = data;
	size_t before = call->transferred;

	call->transferred = count_transferred(call);
	if (base_now_ns() < call->deadline)
		call->progress_timer =
			mtimer_add(call, call->client->ev, call->deadline, on_progress_check, call);
	else if (call->transferred > before || call->is_held)
		call->progress_timer =
			mtimer_add(call, call->client->ev, base_deadline_in(call->stall_ms),
				   on_progress_check, call);
	else
		call_complete(call, CURLE_OPERATION_TIMEDOUT);
}

static void start_progress_checks(struct httpc_call *call)
{
	int64_t first_check = call->deadline - call->stall_ms * BASE_NS_PER_MS;
	bool is_late = first_check <= base_now_ns();

	call->transferred = is_late ? call->body_len : 0;
	call->progress_timer =
		mtimer_add(call, call->client->ev, is_late ? call->deadline : first_check,
			   on_progress_check, call);
}

static void finish_completed_calls(struct httpc *client)
{
	CURLMsg *msg;
	int queued;

	while ((msg = curl_multi_info_read(client->multi, &queued))) {
		struct httpc_call *call = NULL;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, (char **)&call);
		call_complete(call, msg->data.result);
	}
}

static void on_socket_event(struct tevent_context *ev G_GNUC_UNUSED,
			    struct tevent_fd *fde G_GNUC_UNUSED, uint16_t flags, void *data)
{
	struct socket_watch *socket_watch = data;
	struct httpc *client = socket_watch->client;
	int running;
	int mask = (flags & TEVENT_FD_READ ? CURL_CSELECT_IN : 0) |
		   (flags & TEVENT_FD_WRITE ? CURL_CSELECT_OUT : 0);

	curl_multi_socket_action(client->multi, socket_watch->fd, mask, &running);
	finish_completed_calls(client);
}

static int on_socket(CURL *easy G_GNUC_UNUSED, curl_socket_t fd, int what, void *data,
		     void *socket_data)
{
	struct httpc *client = data;
	struct socket_watch *socket_watch = socket_data;
	uint16_t flags = 0;

	if (what == CURL_POLL_REMOVE) {
		curl_multi_assign(client->multi, fd, NULL);
		talloc_free(socket_watch);
		return 0;
	}
	if (what & CURL_POLL_IN)
		flags |= TEVENT_FD_READ;
	if (what & CURL_POLL_OUT)
		flags |= TEVENT_FD_WRITE;
	if (!socket_watch) {
		socket_watch = talloc_zero(client, struct socket_watch);
		socket_watch->client = client;
		socket_watch->fd = fd;
		socket_watch->fde = tevent_add_fd(client->ev, socket_watch, fd, flags,
						  on_socket_event, socket_watch);
		curl_multi_assign(client->multi, fd, socket_watch);
	} else {
		tevent_fd_set_flags(socket_watch->fde, flags);
	}
	return 0;
}

static void on_timer(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	struct httpc *client = data;
	int running;

	client->timer = NULL;
	curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	finish_completed_calls(client);
}

static int on_timeout_change(CURLM *multi G_GNUC_UNUSED, long timeout_ms, void *data)
{
	struct httpc *client = data;

	TALLOC_FREE(client->timer);
	if (timeout_ms >= 0)
		client->timer = mtimer_add(client, client->ev, base_deadline_in(timeout_ms),
					   on_timer, client);
	return 0;
}

static int httpc_destructor(struct httpc *client)
{
	for (guint i = 0; i < client->idle->len; i++)
		curl_easy_cleanup(g_ptr_array_index(client->idle, i));
	g_ptr_array_free(client->idle, TRUE);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, NULL);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, NULL);
	curl_multi_cleanup(client->multi);
	return 0;
}

struct httpc *httpc_new(TALLOC_CTX *ctx, struct tevent_context *ev, unsigned int per_host_max,
			unsigned int cache_max)
{
	struct httpc *client = talloc_zero(ctx, struct httpc);

	client->ev = ev;
	client->idle = g_ptr_array_new();
	client->multi = curl_multi_init();
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, on_timeout_change);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
	if (per_host_max)
		curl_multi_setopt(client->multi, CURLMOPT_MAX_HOST_CONNECTIONS, (long)per_host_max);
	curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
			  (long)(cache_max ? cache_max : HTTPC_CACHE_DEFAULT));
	talloc_set_destructor(client, httpc_destructor);
	return client;
}

static void call_set_body(struct httpc_call *call, const struct httpc_options *opt)
{
	CURL *easy = call->easy;

	if (!strcmp(opt->method, "GET")) {
		curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
		return;
	}
	if (!opt->body.len) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, 0L);
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, opt->method);
		return;
	}
	call->body = str_dup(call, opt->body);
	call->body_len = opt->body.len;
	curl_easy_setopt(easy, CURLOPT_POST, 1L);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, opt->method);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)opt->body.len);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->body);
}

/* libcurl counts the age of a connection in whole seconds */
static void call_limit_reuse(struct httpc_call *call, const struct httpc_options *opt)
{
	int64_t age_s = (base_now_ns() - opt->opened_after) / (BASE_MS_PER_S * BASE_NS_PER_MS);

	if (opt->fresh || (opt->opened_after && age_s < 2))
		curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
	else if (opt->opened_after)
		curl_easy_setopt(call->easy, CURLOPT_MAXLIFETIME_CONN, (long)(age_s - 1));
}

struct httpc_call *httpc_start(struct httpc *client, const struct httpc_options *opt,
			       httpc_done *done, void *data)
{
	struct httpc_call *call = talloc_zero(client, struct httpc_call);
	int64_t remaining_ms = MAX(base_remaining_ms(opt->deadline), 1);

	if (opt->stall_ms)
		remaining_ms += HTTPC_TRANSFER_MAX_MS;
	call->client = client;
	call->deadline = opt->deadline;
	call->stall_ms = opt->stall_ms;
	call->done = done;
	call->data = data;
	if (client->idle->len)
		call->easy = g_ptr_array_remove_index_fast(client->idle, client->idle->len - 1);
	else
		call->easy = curl_easy_init();
	curl_easy_setopt(call->easy, CURLOPT_URL, opt->url);
	curl_easy_setopt(call->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(call->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(call->easy, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(call->easy, CURLOPT_PREREQDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, on_answer);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS, (long)remaining_ms);
	curl_easy_setopt(call->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)MIN(remaining_ms, HTTPC_CONNECT_TIMEOUT_MS));
	curl_easy_setopt(call->easy, CURLOPT_PROTOCOLS_STR, "http");
	call_limit_reuse(call, opt);
	call->headers = curl_slist_append(call->headers, "Expect:");
	for (unsigned int i = 0; i < G_N_ELEMENTS(opt->header) && opt->header[i]; i++)
		call->headers = curl_slist_append(call->headers, opt->header[i]);
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
	call_set_body(call, opt);
	if (call->stall_ms)
		start_progress_checks(call);
	client->in_flight++;
	curl_multi_add_handle(client->multi, call->easy);
	return call;
}

void httpc_on_begin(struct httpc_call *call, httpc_begin_fn *begin, void *data)
{
	call->on_begin = begin;
	call->begin_data = data;
}

void httpc_resume(struct httpc_call *call)
{
	if (!call->is_held)
		return;
	call->is_held = false;
	curl_easy_pause(call->easy, CURLPAUSE_CONT);
}

unsigned int httpc_in_flight(const struct httpc *client)
{
	return client->in_flight;
}
