#include "httpd.h"

#include <arpa/inet.h>
#include <malloc.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define HTTPD_IDLE_CHECK_MS 250 /* interval of the checks for connections that timed out */
#define HTTPD_CONNECTION_MEMORY (32 * 1024) /* bytes */
/*
 * Receive and send buffer of a connection in bytes. The kernel doubles these. What it has received
 * counts as memory of the process, and by default grows to megabytes for each connection.
 */
#define HTTPD_SOCKET_BUFFER (32 * 1024)
#define HTTPD_BACKLOG_MIN 128
#define HTTPD_BACKLOG_MAX 1024	    /* connections that wait to be accepted */
#define HTTPD_BODY_STEP (32 * 1024) /* bytes by which a body of unknown length grows */
#define OVERDUE_MARGIN_MS 1000	    /* after which libmicrohttpd has closed a silent connection */
#define HTTPD_TRIM_MIN (4 << 20)    /* bytes; what held more is returned to the system */
#define HTTPD_RETRY_AFTER "1"	    /* s; the time in which stalled bodies make room */

struct httpd {
	struct tevent_context *ev;
	struct MHD_Daemon *mhd;
	struct tevent_fd *fde;
	struct tevent_fd *unfinished; /* always readable; enabled while work is left */
	struct tevent_immediate *scheduled_run;
	struct httpd_options opt;
	httpd_handler *handler;
	void *data;
	bool is_run_scheduled;
	bool has_unfinished_work;
	struct budget budget;
	struct httpd_stats stats;
	size_t peak_charged; /* since unused memory was last returned to the system */
};

enum call_state { CALL_READING, CALL_WAITING, CALL_ANSWERED };

/* a caller's connection */
struct conn {
	struct budget_conn budget; /* must be first: a victim's pointer is cast back */
	struct MHD_Connection *mhd;
	struct call *call; /* the request on it, or NULL */
	int64_t opened_at;
};

/* a request and what libmicrohttpd needs to answer it */
struct call {
	struct httpd_request req; /* must be first: a handler's request pointer is cast back */
	struct httpd *server;
	struct MHD_Connection *mhd;
	struct conn *conn;
	enum call_state state;
	bool is_suspended;
	bool is_rejected; /* it has an answer, and its body is dropped */
	bool is_dropped;
	int64_t announced; /* length of the body, -1 while unknown */
	size_t discarded;
	char *body;
	size_t body_len;
	size_t body_cap;
	struct MHD_Response *response;
	unsigned int status;
	unsigned int header_count;
	struct {
		char *name;
		char *value;
	} header[4];
};

/*
 * Runs MHD_run() again after the other events that are due. An immediate event would come before
 * all timers and descriptors, and clients that send without a pause would hold these up for as
 * long as they send.
 */
static void httpd_run_again(struct httpd *server)
{
	server->has_unfinished_work = true;
	tevent_fd_set_flags(server->unfinished, TEVENT_FD_READ);
}

/*
 * libmicrohttpd's epoll is edge-triggered: work that MHD_run() has left
 * unfinished raises no new event, so another run follows.
 */
static void httpd_run(struct httpd *server)
{
	MHD_UNSIGNED_LONG_LONG wait_ms;

	server->has_unfinished_work = false;
	MHD_run(server->mhd);
	if (MHD_get_timeout(server->mhd, &wait_ms) == MHD_YES && wait_ms == 0)
		server->has_unfinished_work = true;
	tevent_fd_set_flags(server->unfinished, server->has_unfinished_work ? TEVENT_FD_READ : 0);
}

static void on_scheduled_run(struct tevent_context *ev G_GNUC_UNUSED,
			     struct tevent_immediate *im G_GNUC_UNUSED, void *data)
{
	struct httpd *server = data;

	server->is_run_scheduled = false;
	httpd_run(server);
}

/* Runs MHD_run() from the loop: it queues the answers, and a handler must not call it. */
static void httpd_schedule_run(struct httpd *server)
{
	if (server->is_run_scheduled)
		return;
	server->is_run_scheduled = true;
	tevent_schedule_immediate(server->scheduled_run, server->ev, on_scheduled_run, server);
}

static void on_readable(struct tevent_context *ev G_GNUC_UNUSED,
			struct tevent_fd *fde G_GNUC_UNUSED, uint16_t flags G_GNUC_UNUSED,
			void *data)
{
	httpd_run(data);
}

/* ---- connections that are closed ---- */

static struct conn *conn_of(struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

static void call_free_body(struct call *call)
{
	TALLOC_FREE(call->body);
	call->body_len = call->body_cap = 0;
}

/*
 * Closes a connection whose request is incomplete or whose client does not read the answer.
 * libmicrohttpd notices the shutdown as an end of the connection in its next run.
 */
static void conn_close(struct httpd *server, struct conn *conn, const char *reason)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(conn->mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
	int64_t now = base_now_ns();

	log_event("connection_closed", "{ss ss sI sI sI}", "reason", reason, "path",
		  conn->call ? conn->call->req.path : "", "body_bytes",
		  (json_int_t)(conn->call ? conn->call->body_len : 0), "stalled_ms",
		  (json_int_t)((now - conn->budget.progress_at) / BASE_NS_PER_MS), "open_ms",
		  (json_int_t)((now - conn->opened_at) / BASE_NS_PER_MS));
	budget_close(&server->budget, &conn->budget);
	if (conn->call && conn->call->state == CALL_READING)
		call_free_body(conn->call);
	if (info)
		shutdown(info->connect_fd, SHUT_RDWR);
	httpd_run_again(server);
}

/* libmicrohttpd closes silent connections, this one those that send a byte now and then. */
static void close_overdue(struct httpd *server)
{
	int64_t idle_ms = server->opt.idle_timeout_s * BASE_MS_PER_S + OVERDUE_MARGIN_MS;
	struct budget_conn *c;

	while ((c = budget_overdue(&server->budget, idle_ms, base_now_ns()))) {
		server->stats.closed_overdue++;
		conn_close(server, (struct conn *)c, "incomplete for too long");
	}
}

/*
 * True when the client has sent something that libmicrohttpd is about to read. While an answer is
 * being sent, it reads nothing: a client that does not read answers is not protected by this.
 */
static bool conn_has_unread(const struct conn *conn)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(conn->mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
	char byte;

	return info && conn->budget.state != BUDGET_ANSWERING &&
	       recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* @newest is the connection just opened, or NULL. */
static void close_excess(struct httpd *server, const struct budget_conn *newest)
{
	int64_t now = base_now_ns();
	struct budget_conn *c;

	if (!server->opt.close_for_new)
		return;
	while ((c = budget_excess(&server->budget, newest, now))) {
		if (conn_has_unread((struct conn *)c)) {
			c->unread_at = now;
			continue;
		}
		server->stats.closed_for_connection++;
		conn_close(server, (struct conn *)c, "replaced by a new connection");
	}
}

/* The allocator keeps what many large bodies took, and other processes of the VM may need it. */
static void return_memory(struct httpd *server)
{
	server->peak_charged = MAX(server->peak_charged, server->budget.charged);
	if (server->budget.charged || server->peak_charged < HTTPD_TRIM_MIN)
		return;
	malloc_trim(0);
	server->peak_charged = 0;
}

static void on_idle_check(struct tevent_context *ev, struct tevent_timer *te G_GNUC_UNUSED,
			  struct timeval now G_GNUC_UNUSED, void *data)
{
	struct httpd *server = data;

	close_overdue(server);
	/* Without this, stalled connections up to the limit of libmicrohttpd keep new ones out. */
	close_excess(server, NULL);
	httpd_run(server);
	return_memory(server);
	tevent_add_timer(ev, server, base_timeval_in_ms(HTTPD_IDLE_CHECK_MS), on_idle_check,
			 server);
}

/* ---- bodies ---- */

/* Charges the request for @bytes in all; false when there is no room. */
static bool call_charge(struct call *call, size_t bytes)
{
	struct httpd *server = call->server;
	struct budget_conn *victim;
	enum budget_outcome r;

	while ((r = budget_charge(&server->budget, &call->conn->budget, bytes, base_now_ns(),
				  &victim)) == BUDGET_DISCONNECT) {
		server->stats.closed_for_room++;
		conn_close(server, (struct conn *)victim, "no room for bodies");
	}
	server->peak_charged = MAX(server->peak_charged, server->budget.charged);
	return r == BUDGET_GRANTED;
}

static void reply_busy(struct httpd_request *req)
{
	httpd_reply_header(req, "Retry-After", HTTPD_RETRY_AFTER);
	httpd_reply_json(req, 503,
			 json_pack("{ssssss}", "outcome", "not_run", "field", "body", "reason",
				   "no memory for a body of this size now"));
}

static void reply_too_large(struct httpd_request *req)
{
	httpd_reply_json(req, 413,
			 json_pack("{ssssss}", "outcome", "not_run", "field", "body", "reason",
				   "body is larger than this server accepts"));
}

/* Prepares the answer of a request whose body is not kept. */
static void call_reject(struct call *call, httpd_handler *reply)
{
	call_free_body(call);
	budget_release(&call->server->budget, &call->conn->budget);
	call->is_rejected = true;
	reply(&call->req);
}

static void call_reject_busy(struct call *call)
{
	call->server->stats.busy++;
	call_reject(call, call->server->opt.on_busy ? call->server->opt.on_busy : reply_busy);
}

static void call_reject_too_large(struct call *call)
{
	call->server->stats.too_large++;
	call_reject(call, reply_too_large);
}

static size_t body_max(const struct httpd *server)
{
	size_t max = server->opt.body_max;

	return server->opt.get_body_max ? MIN(max, server->opt.get_body_max(server->data)) : max;
}

/* Capacity for a body of @len bytes and its NUL. */
static size_t body_capacity(const struct call *call, size_t len)
{
	if (call->announced >= 0)
		return (size_t)call->announced + 1;
	if (len < BUDGET_SMALL_BYTES)
		return BUDGET_SMALL_BYTES;
	return MIN((len / HTTPD_BODY_STEP + 1) * HTTPD_BODY_STEP, body_max(call->server) + 1);
}

/* False when there is no room or no memory for the body. */
static bool call_grow(struct call *call, size_t len)
{
	size_t cap = body_capacity(call, len);
	char *body;

	if (len < call->body_cap)
		return true;
	if (!call_charge(call, cap - 1))
		return false;
	body = talloc_realloc(call, call->body, char, cap);
	if (!body)
		return false;
	call->body = body;
	call->body_cap = cap;
	return true;
}

static void call_append(struct call *call, const char *data, size_t len)
{
	if (call->body_len + len > body_max(call->server)) {
		call_reject_too_large(call);
		return;
	}
	if (!call_grow(call, call->body_len + len)) {
		call_reject_busy(call);
		return;
	}
	memcpy(call->body + call->body_len, data, len);
	call->body_len += len;
	call->body[call->body_len] = 0;
}

/* ---- requests ---- */

static enum MHD_Result call_send(struct call *call)
{
	enum MHD_Result r;

	if (call->is_dropped || !call->response)
		return MHD_NO;
	budget_set_state(&call->server->budget, &call->conn->budget, BUDGET_ANSWERING,
			 base_now_ns());
	r = MHD_queue_response(call->mhd, call->status, call->response);
	MHD_destroy_response(call->response);
	call->response = NULL;
	return r;
}

/*
 * Sends the answer while the body is still arriving, when libmicrohttpd takes none. The caller
 * closes the connection. Nothing else is being sent on it, so the socket takes the few bytes.
 */
static void call_send_early(const struct call *call)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(call->mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
	GString *text = g_string_new(NULL);

	g_string_printf(text, "HTTP/1.1 %u %s\r\nConnection: close\r\nContent-Length: 0\r\n",
			call->status, MHD_get_reason_phrase_for(call->status));
	for (unsigned int i = 0; i < call->header_count; i++)
		g_string_append_printf(text, "%s: %s\r\n", call->header[i].name,
				       call->header[i].value);
	g_string_append(text, "\r\n");
	/* The connection is closed whether or not the client gets the answer. */
	if (info && send(info->connect_fd, text->str, text->len, MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
		log_info("answer_not_sent", "status %u", call->status);
	g_string_free(text, TRUE);
}

static struct call *call_new(struct httpd *server, struct conn *conn, const char *method,
			     const char *url)
{
	struct call *call = talloc_zero(server, struct call);

	if (!call)
		return NULL;
	call->server = server;
	call->mhd = conn->mhd;
	call->conn = conn;
	call->announced = -1;
	call->req.method = method;
	call->req.path = url;
	call->req.server_data = server->data;
	call->req.connected_at = conn->opened_at;
	conn->call = call;
	return call;
}

/* The headers are complete. A body of known length is admitted or rejected here. */
static enum MHD_Result call_begin(struct call *call)
{
	const char *length = httpd_header(&call->req, "Content-Length");

	budget_set_state(&call->server->budget, &call->conn->budget, BUDGET_READING, base_now_ns());
	/* With both headers, libmicrohttpd follows Transfer-Encoding. */
	if (!length || httpd_header(&call->req, "Transfer-Encoding"))
		return MHD_YES;
	call->announced = (int64_t)MIN(g_ascii_strtoull(length, NULL, 10), (guint64)INT64_MAX - 1);
	if ((size_t)call->announced > body_max(call->server))
		call_reject_too_large(call);
	else if (!call_charge(call, (size_t)call->announced))
		call_reject_busy(call);
	if (call->is_rejected && call->announced > HTTPD_DISCARD_MAX)
		return call_send(call);
	return MHD_YES;
}

/* A part of the body has arrived. */
static enum MHD_Result call_receive(struct call *call, const char *data, size_t len)
{
	budget_received(&call->conn->budget, len, base_now_ns());
	if (!call->is_rejected) {
		call_append(call, data, len);
		return MHD_YES;
	}
	call->discarded += len;
	if (call->discarded <= HTTPD_DISCARD_MAX)
		return MHD_YES;
	call_send_early(call);
	return MHD_NO;
}

/* The request is complete. */
static enum MHD_Result call_handle(struct call *call)
{
	call->state = CALL_WAITING;
	budget_set_state(&call->server->budget, &call->conn->budget, BUDGET_HANDLING,
			 base_now_ns());
	call->req.body.ptr = call->body ? call->body : "";
	call->req.body.len = call->body_len;
	call->server->handler(&call->req);
	if (call->state == CALL_ANSWERED)
		return call_send(call);
	call->is_suspended = true;
	MHD_suspend_connection(call->mhd);
	return MHD_YES;
}

static enum MHD_Result on_access(void *cls, struct MHD_Connection *mhd, const char *url,
				 const char *method, const char *version G_GNUC_UNUSED,
				 const char *data, size_t *len, void **slot)
{
	struct conn *conn = conn_of(mhd);
	struct call *call = *slot;
	size_t received = *len;

	if (!conn || conn->budget.is_closing)
		return MHD_NO;
	if (!call) {
		call = *slot = call_new(cls, conn, method, url);
		return call ? call_begin(call) : MHD_NO;
	}
	if (received) {
		*len = 0;
		return call_receive(call, data, received);
	}
	switch (call->state) {
	case CALL_ANSWERED:
		return call_send(call);
	case CALL_WAITING:
		return MHD_YES;
	case CALL_READING:
		break;
	}
	return call_handle(call);
}

/* ---- connections ---- */

static void conn_opened(struct httpd *server, struct MHD_Connection *mhd, void **context)
{
	struct conn *conn = g_new0(struct conn, 1);

	conn->mhd = mhd;
	conn->opened_at = base_now_ns();
	*context = conn;
	budget_add(&server->budget, &conn->budget, conn->opened_at);
	close_excess(server, &conn->budget);
}

static void on_connection(void *cls, struct MHD_Connection *mhd, void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct httpd *server = cls;
	struct conn *conn = *context;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		conn_opened(server, mhd, context);
		return;
	}
	/* At its limit, libmicrohttpd accepts again only in a run after this one. */
	if (server->budget.conns.length >= server->opt.connections_max)
		httpd_run_again(server);
	budget_remove(&server->budget, &conn->budget);
	g_free(conn);
	*context = NULL;
}

static void on_completed(void *cls, struct MHD_Connection *mhd G_GNUC_UNUSED, void **slot,
			 enum MHD_RequestTerminationCode code G_GNUC_UNUSED)
{
	struct httpd *server = cls;
	struct call *call = *slot;

	*slot = NULL;
	if (!call)
		return;
	if (call->state == CALL_WAITING && call->req.on_abort)
		call->req.on_abort(&call->req);
	if (call->response)
		MHD_destroy_response(call->response);
	call->conn->call = NULL;
	budget_set_state(&server->budget, &call->conn->budget, BUDGET_IDLE, base_now_ns());
	talloc_free(call);
}

/* Accepted sockets take the sizes of the listening one. */
static bool limit_socket_buffers(struct MHD_Daemon *mhd)
{
	const union MHD_DaemonInfo *info = MHD_get_daemon_info(mhd, MHD_DAEMON_INFO_LISTEN_FD);
	const int size = HTTPD_SOCKET_BUFFER;

	return info && !setsockopt(info->listen_fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size)) &&
	       !setsockopt(info->listen_fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
}

/* False when no descriptor is left. */
static bool watch_unfinished_work(struct httpd *server)
{
	int fd = eventfd(1, EFD_CLOEXEC | EFD_NONBLOCK);

	if (fd < 0)
		return false;
	server->unfinished = tevent_add_fd(server->ev, server, fd, 0, on_readable, server);
	tevent_fd_set_auto_close(server->unfinished);
	return true;
}

/* libmicrohttpd ends the process when it is stopped with suspended connections. */
static void resume_all(struct httpd *server)
{
	for (const GList *l = server->budget.conns.head; l; l = l->next) {
		struct call *call = ((struct conn *)l->data)->call;

		if (!call || !call->is_suspended)
			continue;
		call->is_suspended = false;
		MHD_resume_connection(call->mhd);
	}
}

static int httpd_destructor(struct httpd *server)
{
	TALLOC_FREE(server->fde);
	resume_all(server);
	if (server->mhd)
		MHD_stop_daemon(server->mhd);
	server->mhd = NULL;
	return 0;
}

struct httpd *httpd_new(TALLOC_CTX *ctx, struct tevent_context *ev, const struct httpd_options *opt,
			httpd_handler *handler, void *data)
{
	struct httpd *server = talloc_zero(ctx, struct httpd);
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons(opt->port)};
	const union MHD_DaemonInfo *info;
	unsigned int extra = opt->close_for_new ? HTTPD_CONNECTIONS_EXTRA : 0;
	unsigned int backlog = HTTPD_BACKLOG_MAX;
	/* the option is left out when unused: value 0 would also forbid addresses in TIME_WAIT */
	struct MHD_OptionItem reuse[] = {
		{opt->reuse_port ? MHD_OPTION_LISTENING_ADDRESS_REUSE : MHD_OPTION_END, 1, NULL},
		{MHD_OPTION_END, 0, NULL},
	};

	if (inet_pton(AF_INET, opt->ip, &sa.sin_addr) != 1)
		goto fail;
	/* What waits to be accepted takes memory as well, and is soon accepted. */
	if (opt->close_for_new)
		backlog = CLAMP(opt->connections_max, HTTPD_BACKLOG_MIN, HTTPD_BACKLOG_MAX);
	server->ev = ev;
	server->opt = *opt;
	server->handler = handler;
	server->data = data;
	server->budget.limits =
		(struct budget_limits){.connections_max = opt->connections_max,
				       .bodies_max = opt->bodies_max ? opt->bodies_max : SIZE_MAX};
	server->scheduled_run = tevent_create_immediate(server);
	if (!watch_unfinished_work(server))
		goto fail;
	server->mhd = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, opt->port, NULL, NULL, on_access, server,
		MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&sa, MHD_OPTION_ARRAY, reuse,
		MHD_OPTION_CONNECTION_LIMIT, opt->connections_max + extra,
		MHD_OPTION_CONNECTION_TIMEOUT, opt->idle_timeout_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)HTTPD_CONNECTION_MEMORY,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, server, MHD_OPTION_NOTIFY_CONNECTION,
		on_connection, server, MHD_OPTION_LISTEN_BACKLOG_SIZE, backlog, MHD_OPTION_END);
	if (!server->mhd)
		goto fail;
	if (opt->close_for_new && !limit_socket_buffers(server->mhd))
		goto fail;
	info = MHD_get_daemon_info(server->mhd, MHD_DAEMON_INFO_EPOLL_FD);
	if (!info)
		goto fail;
	server->fde =
		tevent_add_fd(ev, server, info->epoll_fd, TEVENT_FD_READ, on_readable, server);
	tevent_add_timer(ev, server, base_timeval_in_ms(HTTPD_IDLE_CHECK_MS), on_idle_check,
			 server);
	talloc_set_destructor(server, httpd_destructor);
	return server;
fail:
	if (server->mhd)
		MHD_stop_daemon(server->mhd);
	talloc_free(server);
	return NULL;
}

void httpd_stop_listening(struct httpd *server)
{
	MHD_socket fd = MHD_quiesce_daemon(server->mhd);

	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

const char *httpd_header(struct httpd_request *req, const char *name)
{
	return MHD_lookup_connection_value(((struct call *)req)->mhd, MHD_HEADER_KIND, name);
}

const char *httpd_query(struct httpd_request *req, const char *name)
{
	return MHD_lookup_connection_value(((struct call *)req)->mhd, MHD_GET_ARGUMENT_KIND, name);
}

void httpd_reply_header(struct httpd_request *req, const char *name, const char *value)
{
	struct call *call = (struct call *)req;

	if (call->header_count == G_N_ELEMENTS(call->header))
		return;
	call->header[call->header_count].name = talloc_strdup(call, name);
	call->header[call->header_count++].value = talloc_strdup(call, value);
}

static void call_finish(struct call *call)
{
	call->state = CALL_ANSWERED;
	if (!call->is_suspended)
		return;
	call->is_suspended = false;
	MHD_resume_connection(call->mhd);
	httpd_schedule_run(call->server);
}

void httpd_reply(struct httpd_request *req, unsigned int status, struct str body)
{
	struct call *call = (struct call *)req;

	call->response =
		MHD_create_response_from_buffer(body.len, (void *)body.ptr, MHD_RESPMEM_MUST_COPY);
	call->status = status;
	/* Without memory for the answer, call_send() closes the connection. */
	if (!call->response) {
		call_finish(call);
		return;
	}
	MHD_add_response_header(call->response, "Content-Type", "application/json");
	for (unsigned int i = 0; i < call->header_count; i++)
		MHD_add_response_header(call->response, call->header[i].name,
					call->header[i].value);
	call_finish(call);
}

void httpd_reply_json(struct httpd_request *req, unsigned int status, json_t *v)
{
	char *text = base_json_text((struct call *)req, v);

	json_decref(v);
	httpd_reply(req, status, str_from(text));
}

bool httpd_charge(struct httpd_request *req, size_t bytes)
{
	struct call *call = (struct call *)req;
	bool has_room = call->body_len <= BUDGET_SMALL_BYTES ||
			call_charge(call, call->body_cap - 1 + bytes);

	call->server->stats.busy += !has_room;
	return has_room;
}

struct httpd_stats httpd_stats(const struct httpd *server)
{
	struct httpd_stats stats = server->stats;

	stats.connections = server->budget.count;
	stats.body_bytes = server->budget.charged;
	return stats;
}

void httpd_drop(struct httpd_request *req)
{
	struct call *call = (struct call *)req;

	call->is_dropped = true;
	call_finish(call);
}
