#include "httpd.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HTTPD_IDLE_CHECK_MS 250 /* interval of the checks for connections that timed out */
#define HTTPD_CONNECTION_MEMORY (32 * 1024) /* bytes */

struct httpd {
	struct tevent_context *ev;
	struct MHD_Daemon *mhd;
	struct tevent_fd *fde;
	struct tevent_immediate *scheduled_run;
	struct httpd_options opt;
	httpd_handler *handler;
	void *data;
	bool is_run_scheduled;
};

enum call_state { CALL_READING, CALL_WAITING, CALL_ANSWERED };

/* a request and what libmicrohttpd needs to answer it */
struct call {
	struct httpd_request req; /* must be first: a handler's request pointer is cast back */
	struct httpd *server;
	struct MHD_Connection *conn;
	enum call_state state;
	bool is_suspended;
	bool is_too_large;
	bool is_dropped;
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

static int64_t connection_opened_at(struct MHD_Connection *conn);

static void httpd_schedule_run(struct httpd *server);

/*
 * libmicrohttpd's epoll is edge-triggered: work that MHD_run() has left
 * unfinished raises no new event, so another run is scheduled for it.
 */
static void httpd_run(struct httpd *server)
{
	MHD_UNSIGNED_LONG_LONG wait_ms;

	MHD_run(server->mhd);
	if (MHD_get_timeout(server->mhd, &wait_ms) == MHD_YES && wait_ms == 0)
		httpd_schedule_run(server);
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

static void on_idle_check(struct tevent_context *ev, struct tevent_timer *te G_GNUC_UNUSED,
			  struct timeval now G_GNUC_UNUSED, void *data)
{
	struct httpd *server = data;

	httpd_run(server);
	tevent_add_timer(ev, server, base_timeval_in_ms(HTTPD_IDLE_CHECK_MS), on_idle_check,
			 server);
}

static bool call_append(struct call *call, const char *data, size_t len)
{
	if (call->body_len + len > call->server->opt.body_max)
		return false;
	if (call->body_len + len + 1 > call->body_cap) {
		call->body_cap = (call->body_len + len + 1) * 2;
		call->body = talloc_realloc(call, call->body, char, call->body_cap);
	}
	memcpy(call->body + call->body_len, data, len);
	call->body_len += len;
	call->body[call->body_len] = 0;
	return true;
}

static enum MHD_Result call_send(struct call *call)
{
	enum MHD_Result r;

	if (call->is_dropped)
		return MHD_NO;
	r = MHD_queue_response(call->conn, call->status, call->response);
	MHD_destroy_response(call->response);
	call->response = NULL;
	return r;
}

static enum MHD_Result on_access(void *cls, struct MHD_Connection *conn, const char *url,
				 const char *method, const char *version G_GNUC_UNUSED,
				 const char *data, size_t *len, void **slot)
{
	struct httpd *server = cls;
	struct call *call = *slot;

	if (!call) {
		call = talloc_zero(server, struct call);
		call->server = server;
		call->conn = conn;
		call->req.method = method;
		call->req.path = url;
		call->req.server_data = server->data;
		call->req.connected_at = connection_opened_at(conn);
		*slot = call;
		return MHD_YES;
	}
	if (*len) {
		if (!call->is_too_large && !call_append(call, data, *len))
			call->is_too_large = true;
		*len = 0;
		return MHD_YES;
	}
	if (call->state == CALL_ANSWERED)
		return call_send(call);
	if (call->state == CALL_WAITING)
		return MHD_YES;
	call->state = CALL_WAITING;
	call->req.body.ptr = call->body ? call->body : "";
	call->req.body.len = call->body_len;
	if (call->is_too_large) {
		httpd_reply_json(&call->req, 413,
				 json_pack("{ssssss}", "outcome", "not_run", "field", "body",
					   "reason", "body is larger than this server accepts"));
		return call_send(call);
	}
	server->handler(&call->req);
	if (call->state == CALL_ANSWERED)
		return call_send(call);
	call->is_suspended = true;
	MHD_suspend_connection(conn);
	return MHD_YES;
}

static void on_connection(void *cls G_GNUC_UNUSED, struct MHD_Connection *conn G_GNUC_UNUSED,
			  void **context, enum MHD_ConnectionNotificationCode code)
{
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		int64_t *opened = g_new(int64_t, 1);

		*opened = base_now_ns();
		*context = opened;
	} else {
		g_free(*context);
		*context = NULL;
	}
}

static int64_t connection_opened_at(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info && info->socket_context ? *(int64_t *)info->socket_context : 0;
}

static void on_completed(void *cls G_GNUC_UNUSED, struct MHD_Connection *conn G_GNUC_UNUSED,
			 void **slot, enum MHD_RequestTerminationCode code G_GNUC_UNUSED)
{
	struct call *call = *slot;

	*slot = NULL;
	if (!call)
		return;
	if (call->state == CALL_WAITING && call->req.on_abort)
		call->req.on_abort(&call->req);
	if (call->response)
		MHD_destroy_response(call->response);
	talloc_free(call);
}

static int httpd_destructor(struct httpd *server)
{
	TALLOC_FREE(server->fde);
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
	/* the option is left out when unused: value 0 would also forbid addresses in TIME_WAIT */
	struct MHD_OptionItem reuse[] = {
		{opt->reuse_port ? MHD_OPTION_LISTENING_ADDRESS_REUSE : MHD_OPTION_END, 1, NULL},
		{MHD_OPTION_END, 0, NULL},
	};

	if (inet_pton(AF_INET, opt->ip, &sa.sin_addr) != 1)
		goto fail;
	server->ev = ev;
	server->opt = *opt;
	server->handler = handler;
	server->data = data;
	server->scheduled_run = tevent_create_immediate(server);
	server->mhd = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, opt->port, NULL, NULL, on_access, server,
		MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&sa, MHD_OPTION_ARRAY, reuse,
		MHD_OPTION_CONNECTION_LIMIT, opt->connections_max, MHD_OPTION_CONNECTION_TIMEOUT,
		opt->idle_timeout_s, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)HTTPD_CONNECTION_MEMORY, MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, NULL, MHD_OPTION_LISTEN_BACKLOG_SIZE,
		1024U, MHD_OPTION_END);
	if (!server->mhd)
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
	return MHD_lookup_connection_value(((struct call *)req)->conn, MHD_HEADER_KIND, name);
}

const char *httpd_query(struct httpd_request *req, const char *name)
{
	return MHD_lookup_connection_value(((struct call *)req)->conn, MHD_GET_ARGUMENT_KIND, name);
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
	MHD_resume_connection(call->conn);
	httpd_schedule_run(call->server);
}

void httpd_reply(struct httpd_request *req, unsigned int status, struct str body)
{
	struct call *call = (struct call *)req;

	call->response =
		MHD_create_response_from_buffer(body.len, (void *)body.ptr, MHD_RESPMEM_MUST_COPY);
	call->status = status;
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

void httpd_drop(struct httpd_request *req)
{
	struct call *call = (struct call *)req;

	call->is_dropped = true;
	call_finish(call);
}
