#include "onc.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "mtimer/mtimer.h"

#define ONC_LAST_FRAGMENT 0x80000000U
#define ONC_HEADER_MAX 512	   /* bytes of a call or reply header */
#define ONC_CONNECTIONS_MAX 1024   /* of one server */
#define ONC_ACCEPTS_MAX 64	   /* connections accepted in one iteration of the loop */
#define ONC_BACKLOG 1024	   /* all VMs of a site connect to a new leader at the same time */
#define ONC_IDLE_TIMEOUT_MS 120000 /* after this time without a call, a connection is closed */
#define ONC_OUT_QUEUE_MAX (32U * 1024 * 1024) /* bytes queued for sending on one connection */

/*
 * a non-blocking socket that carries records (record marking of RFC 5531)
 * @in: the beginning of a record whose rest has not arrived
 * @received: bytes received so far
 */
struct stream {
	struct tevent_context *ev;
	int fd;
	struct tevent_fd *fde;
	GByteArray *in;
	uint64_t received;
	GByteArray *out;
	size_t out_sent;
	struct tevent_immediate *flush; /* writes the queued records; see is_flush_scheduled */
	bool is_flush_scheduled;
	void (*on_record)(struct stream *stream, struct str record);
	void (*on_closed)(struct stream *stream);
	void *owner;
	bool is_connecting;
};

static int stream_destructor(struct stream *stream)
{
	TALLOC_FREE(stream->fde);
	if (stream->fd >= 0)
		close(stream->fd);
	g_byte_array_free(stream->in, TRUE);
	g_byte_array_free(stream->out, TRUE);
	return 0;
}

/* Handles every complete record of the input. Returns false when the framing is invalid. */
static bool stream_parse(struct stream *stream)
{
	size_t offset = 0;

	while (stream->in->len - offset >= 4) {
		uint32_t mark;
		uint32_t len;
		struct str record;

		memcpy(&mark, stream->in->data + offset, 4);
		mark = ntohl(mark);
		len = mark & ~ONC_LAST_FRAGMENT;
		/* currantlane's processes send each record as one fragment */
		if (!(mark & ONC_LAST_FRAGMENT) || len > ONC_RECORD_MAX)
			return false;
		if (stream->in->len - offset - 4 < len)
			break;
		record.ptr = (const char *)stream->in->data + offset + 4;
		record.len = len;
		stream->on_record(stream, record);
		offset += 4 + len;
	}
	if (offset)
		g_byte_array_remove_range(stream->in, 0, offset);
	return true;
}

static bool stream_read(struct stream *stream)
{
	uint8_t buf[65536];

	for (;;) {
		ssize_t n = recv(stream->fd, buf, sizeof(buf), 0);

		if (n == 0)
			return false;
		if (n < 0)
			return errno == EAGAIN || errno == EINTR;
		stream->received += (uint64_t)n;
		g_byte_array_append(stream->in, buf, (guint)n);
		if (!stream_parse(stream))
			return false;
		if ((size_t)n < sizeof(buf))
			return true;
	}
}

static bool stream_write(struct stream *stream)
{
	while (stream->out_sent < stream->out->len) {
		ssize_t n = send(stream->fd, stream->out->data + stream->out_sent,
				 stream->out->len - stream->out_sent, MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (n < 0)
			return false;
		stream->out_sent += (size_t)n;
	}
	if (stream->out_sent == stream->out->len) {
		g_byte_array_set_size(stream->out, 0);
		stream->out_sent = 0;
		TEVENT_FD_NOT_WRITEABLE(stream->fde);
	} else {
		TEVENT_FD_WRITEABLE(stream->fde);
	}
	return true;
}

static bool stream_is_refused(const struct stream *stream)
{
	int error = 0;
	socklen_t len = sizeof(error);

	return getsockopt(stream->fd, SOL_SOCKET, SO_ERROR, &error, &len) || error;
}

static void on_stream_event(struct tevent_context *ev G_GNUC_UNUSED,
			    struct tevent_fd *fde G_GNUC_UNUSED, uint16_t flags, void *data)
{
	struct stream *stream = data;
	bool is_open = true;

	if (stream->is_connecting && stream_is_refused(stream)) {
		stream->on_closed(stream); /* is_connecting is still set: nothing was sent */
		return;
	}
	if (flags & TEVENT_FD_WRITE) {
		stream->is_connecting = false;
		is_open = stream_write(stream);
	}
	if (is_open && (flags & TEVENT_FD_READ))
		is_open = stream_read(stream);
	if (!is_open)
		stream->on_closed(stream);
}

static void on_flush(struct tevent_context *ev G_GNUC_UNUSED,
		     struct tevent_immediate *im G_GNUC_UNUSED, void *data)
{
	struct stream *stream = data;

	stream->is_flush_scheduled = false;
	if (!stream_write(stream))
		stream->on_closed(stream);
}

static struct stream *stream_new(TALLOC_CTX *ctx, struct tevent_context *ev, int fd,
				 bool is_connecting, void *owner)
{
	struct stream *stream = talloc_zero(ctx, struct stream);
	int on = 1;

	stream->ev = ev;
	stream->fd = fd;
	stream->in = g_byte_array_new();
	stream->out = g_byte_array_new();
	stream->flush = tevent_create_immediate(stream);
	stream->owner = owner;
	stream->is_connecting = is_connecting;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	stream->fde = tevent_add_fd(ev, stream, fd,
				    TEVENT_FD_READ | (is_connecting ? TEVENT_FD_WRITE : 0),
				    on_stream_event, stream);
	talloc_set_destructor(stream, stream_destructor);
	return stream;
}

/*
 * Queues a record. All records queued in one iteration of the loop are sent with
 * one system call.
 *
 * Load pattern: a scheduling round of a leader sends hundreds of orders to few
 * entry VMs.
 *
 * Return: false when the queue is full, because the peer does not read fast enough.
 */
static bool stream_send(struct stream *stream, const char *data, size_t len)
{
	uint32_t mark = htonl((uint32_t)len | ONC_LAST_FRAGMENT);

	if (stream->out->len + len > ONC_OUT_QUEUE_MAX)
		return false;
	g_byte_array_append(stream->out, (const guint8 *)&mark, 4);
	g_byte_array_append(stream->out, (const guint8 *)data, (guint)len);
	if (stream->is_connecting || stream->is_flush_scheduled)
		return true;
	stream->is_flush_scheduled = true;
	tevent_schedule_immediate(stream->flush, stream->ev, on_flush, stream);
	return true;
}

/* ---- server ---- */

struct onc_server {
	struct tevent_context *ev;
	int fd;
	struct tevent_fd *fde;
	struct onc_server_options opt;
	onc_handler *handler;
	void *data;
	unsigned int connections;
};

struct onc_conn {
	struct onc_server *server;
	struct stream *stream;
	struct call *calls;
	struct tevent_timer *idle;
};

/* a request at a server and its connection; conn is NULL once the connection is closed */
struct call {
	struct onc_request req; /* must be first: a handler's request pointer is cast back */
	struct onc_conn *conn;
	uint32_t xid;
	struct call *next;
	struct call *prev;
};

static void call_unlink(struct call *call)
{
	if (!call->conn)
		return;
	if (call->prev)
		call->prev->next = call->next;
	else
		call->conn->calls = call->next;
	if (call->next)
		call->next->prev = call->prev;
	call->conn = NULL;
}

static int call_destructor(struct call *call)
{
	call_unlink(call);
	xdr_free(call->req.proc->args_xdr, call->req.args);
	return 0;
}

static int conn_destructor(struct onc_conn *conn)
{
	conn->server->connections--;
	while (conn->calls)
		call_unlink(conn->calls);
	return 0;
}

static void on_conn_closed(struct stream *stream)
{
	talloc_free(stream->owner);
}

static void on_conn_idle(struct tevent_context *ev G_GNUC_UNUSED,
			 struct tevent_timer *te G_GNUC_UNUSED, struct timeval now G_GNUC_UNUSED,
			 void *data)
{
	talloc_free(data);
}

static void conn_restart_idle_timer(struct onc_conn *conn)
{
	TALLOC_FREE(conn->idle);
	conn->idle = tevent_add_timer(conn->server->ev, conn,
				      base_timeval_in_ms(ONC_IDLE_TIMEOUT_MS), on_conn_idle, conn);
}

static bool_t encode_nothing(XDR *xdr G_GNUC_UNUSED, ...)
{
	return TRUE;
}

static void send_reply(struct onc_conn *conn, uint32_t xid, enum accept_stat stat,
		       xdrproc_t res_xdr, void *res)
{
	size_t size = ONC_HEADER_MAX + (res ? xdr_sizeof(res_xdr, res) : 0);
	char *buf = talloc_size(NULL, size);
	struct rpc_msg msg = {.rm_xid = xid, .rm_direction = REPLY};
	XDR xdr;

	msg.rm_reply.rp_stat = MSG_ACCEPTED;
	msg.acpted_rply.ar_verf = _null_auth;
	msg.acpted_rply.ar_stat = stat;
	msg.acpted_rply.ar_results.where = (caddr_t)res;
	msg.acpted_rply.ar_results.proc = res ? res_xdr : encode_nothing;
	xdrmem_create(&xdr, buf, (u_int)size, XDR_ENCODE);
	if (xdr_replymsg(&xdr, &msg))
		stream_send(conn->stream, buf, xdr_getpos(&xdr));
	else if (res) /* the result cannot be encoded: longer than the protocol allows */
		send_reply(conn, xid, SYSTEM_ERR, NULL, NULL);
	talloc_free(buf);
}

static const struct onc_proc *find_proc(struct onc_server *server, const struct call_body *cb)
{
	for (unsigned int i = 0; i < server->opt.proc_count; i++) {
		const struct onc_proc *p = &server->opt.procs[i];

		if (p->prog == cb->cb_prog && p->vers == cb->cb_vers && p->proc == cb->cb_proc)
			return p;
	}
	return NULL;
}

static void on_server_record(struct stream *stream, struct str record)
{
	struct onc_conn *conn = stream->owner;
	struct onc_server *server = conn->server;
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg msg = {0};
	const struct onc_proc *proc;
	struct call *call;
	XDR xdr;

	conn_restart_idle_timer(conn);
	msg.rm_call.cb_cred.oa_base = cred;
	msg.rm_call.cb_verf.oa_base = verf;
	xdrmem_create(&xdr, (char *)record.ptr, (u_int)record.len, XDR_DECODE);
	if (!xdr_callmsg(&xdr, &msg))
		return;
	proc = find_proc(server, &msg.rm_call);
	if (!proc) {
		send_reply(conn, msg.rm_xid, PROC_UNAVAIL, NULL, NULL);
		return;
	}
	call = talloc_zero(server, struct call);
	call->req.proc = proc;
	call->req.args = talloc_zero_size(call, proc->args_size);
	call->req.server_data = server->data;
	call->xid = msg.rm_xid;
	talloc_set_destructor(call, call_destructor);
	if (!proc->args_xdr(&xdr, call->req.args)) {
		talloc_free(call);
		send_reply(conn, msg.rm_xid, GARBAGE_ARGS, NULL, NULL);
		return;
	}
	call->conn = conn;
	call->next = conn->calls;
	if (conn->calls)
		conn->calls->prev = call;
	conn->calls = call;
	server->handler(&call->req);
}

void onc_reply(struct onc_request *req, void *res)
{
	struct call *call = (struct call *)req;

	if (call->conn)
		send_reply(call->conn, call->xid, SUCCESS, req->proc->res_xdr, res);
	talloc_free(call);
}

static bool net_contains(const char *net, struct in_addr addr)
{
	char ip[32];
	const char *slash = strchr(net, '/');
	unsigned int bits = slash ? (unsigned int)atoi(slash + 1) : 32;
	struct in_addr base;
	uint32_t mask = bits ? htonl(~0U << (32 - MIN(bits, 32U))) : 0;

	g_strlcpy(ip, net, slash ? MIN((size_t)(slash - net) + 1, sizeof(ip)) : sizeof(ip));
	if (inet_pton(AF_INET, ip, &base) != 1)
		return false;
	return (addr.s_addr & mask) == (base.s_addr & mask);
}

static bool is_allowed(const struct onc_server *server, struct in_addr addr)
{
	for (unsigned int i = 0; i < server->opt.allow_count; i++)
		if (net_contains(server->opt.allow[i], addr))
			return true;
	return false;
}

/* Returns false when no connection is waiting to be accepted. */
static bool accept_one(struct onc_server *server, struct tevent_context *ev)
{
	struct sockaddr_in sa;
	socklen_t len = sizeof(sa);
	struct onc_conn *conn;
	int fd = accept4(server->fd, (struct sockaddr *)&sa, &len, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0)
		return false;
	if (server->connections >= ONC_CONNECTIONS_MAX || !is_allowed(server, sa.sin_addr)) {
		close(fd);
		return true;
	}
	conn = talloc_zero(server, struct onc_conn);
	conn->server = server;
	conn->stream = stream_new(conn, ev, fd, false, conn);
	conn->stream->on_record = on_server_record;
	conn->stream->on_closed = on_conn_closed;
	server->connections++;
	talloc_set_destructor(conn, conn_destructor);
	conn_restart_idle_timer(conn);
	return true;
}

/* Accepts several connections, because one iteration of the loop takes long on a busy process. */
static void on_accept(struct tevent_context *ev, struct tevent_fd *fde G_GNUC_UNUSED,
		      uint16_t flags G_GNUC_UNUSED, void *data)
{
	for (unsigned int i = 0; i < ONC_ACCEPTS_MAX && accept_one(data, ev); i++)
		;
}

static int server_destructor(struct onc_server *server)
{
	TALLOC_FREE(server->fde);
	close(server->fd);
	return 0;
}

struct onc_server *onc_server_new(TALLOC_CTX *ctx, struct tevent_context *ev,
				  const struct onc_server_options *opt, onc_handler *handler,
				  void *data)
{
	struct onc_server *server = talloc_zero(ctx, struct onc_server);
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons(opt->port)};
	int on = 1;

	server->ev = ev;
	server->opt = *opt;
	server->handler = handler;
	server->data = data;
	server->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (server->fd < 0 || inet_pton(AF_INET, opt->ip, &sa.sin_addr) != 1)
		goto fail;
	setsockopt(server->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(server->fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(server->fd, ONC_BACKLOG))
		goto fail;
	server->fde = tevent_add_fd(ev, server, server->fd, TEVENT_FD_READ, on_accept, server);
	talloc_set_destructor(server, server_destructor);
	return server;
fail:
	if (server->fd >= 0)
		close(server->fd);
	talloc_free(server);
	return NULL;
}

/* ---- client ---- */

/* @received: bytes that the connection had received at the last check of progress */
struct client_call {
	struct onc_client *client;
	const struct onc_proc *proc;
	uint32_t xid;
	size_t res_size;
	int64_t deadline;
	uint64_t received;
	onc_done *done;
	void *data;
	struct mtimer *timer;
	struct tevent_immediate *im;
	struct client_call *next;
	struct client_call *prev;
};

struct onc_client {
	struct tevent_context *ev;
	struct sockaddr_in sa;
	struct stream *stream;
	struct client_call *calls;
	uint32_t next_xid;
};

static void client_call_unlink(struct client_call *p)
{
	if (p->prev)
		p->prev->next = p->next;
	else
		p->client->calls = p->next;
	if (p->next)
		p->next->prev = p->prev;
}

static void client_call_finish(struct client_call *p, enum onc_result result, void *res)
{
	client_call_unlink(p);
	p->done(result, res, p->data);
	talloc_free(p);
}

static struct client_call *client_call_find(struct onc_client *client, uint32_t xid)
{
	struct client_call *p = client->calls;

	while (p && p->xid != xid)
		p = p->next;
	return p;
}

/* Closes the connection; all calls on it end with @result. */
static void client_disconnect(struct onc_client *client, enum onc_result result)
{
	struct client_call *list = client->calls;

	client->calls = NULL;
	TALLOC_FREE(client->stream);
	while (list) {
		struct client_call *p = list;

		list = p->next;
		p->done(result, NULL, p->data);
		talloc_free(p);
	}
}

/* A record that is being received may be the answer, or precede it. */
static bool is_receiving(const struct client_call *p, const struct stream *stream)
{
	return stream && stream->in->len && stream->received > p->received &&
	       base_now_ns() < p->deadline + ONC_TRANSFER_MAX_MS * BASE_NS_PER_MS;
}

static void on_client_call_deadline(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	struct client_call *p = data;
	struct onc_client *client = p->client;
	struct stream *stream = client->stream;
	uint32_t xid = p->xid;

	/* on a busy process, the answer may have arrived in time and still be unread */
	if (stream && !stream->is_connecting && !stream_read(stream)) {
		stream->on_closed(stream);
		return;
	}
	if (!client_call_find(client, xid))
		return;
	if (is_receiving(p, client->stream)) {
		p->received = client->stream->received;
		p->timer = mtimer_add(p, client->ev, base_deadline_in(ONC_STALL_MS),
				      on_client_call_deadline, p);
		return;
	}
	/* without an answer, the connection may be dead; the next call opens another one */
	client_disconnect(client, ONC_LOST);
}

static void on_not_sent(struct tevent_context *ev G_GNUC_UNUSED,
			struct tevent_immediate *im G_GNUC_UNUSED, void *data)
{
	client_call_finish(data, ONC_NOT_SENT, NULL);
}

static void on_client_closed(struct stream *stream)
{
	client_disconnect(stream->owner, stream->is_connecting ? ONC_NOT_SENT : ONC_LOST);
}

static void on_client_record(struct stream *stream, struct str record)
{
	struct onc_client *client = stream->owner;
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg msg = {0};
	struct client_call *p;
	uint32_t xid;
	void *res;
	XDR xdr;

	if (record.len < 4)
		return;
	memcpy(&xid, record.ptr, 4);
	p = client_call_find(client, ntohl(xid));
	if (!p)
		return; /* late answer to a call that has already ended */
	res = talloc_zero_size(p, MAX(p->res_size, 1));
	msg.acpted_rply.ar_verf.oa_base = verf;
	msg.acpted_rply.ar_results.where = res;
	msg.acpted_rply.ar_results.proc = p->proc->res_xdr;
	xdrmem_create(&xdr, (char *)record.ptr, (u_int)record.len, XDR_DECODE);
	if (!xdr_replymsg(&xdr, &msg) || msg.rm_reply.rp_stat != MSG_ACCEPTED ||
	    msg.acpted_rply.ar_stat != SUCCESS) {
		xdr_free(p->proc->res_xdr, res);
		client_call_finish(p, ONC_REJECTED, NULL);
		return;
	}
	client_call_unlink(p);
	p->done(ONC_OK, res, p->data);
	xdr_free(p->proc->res_xdr, res);
	talloc_free(p);
}

static int client_destructor(struct onc_client *client)
{
	while (client->calls)
		client_call_finish(client->calls, ONC_LOST, NULL);
	TALLOC_FREE(client->stream);
	return 0;
}

struct onc_client *onc_client_new(TALLOC_CTX *ctx, struct tevent_context *ev, const char *ip,
				  uint16_t port)
{
	struct onc_client *client = talloc_zero(ctx, struct onc_client);

	client->ev = ev;
	client->sa.sin_family = AF_INET;
	client->sa.sin_port = htons(port);
	client->next_xid = (uint32_t)base_random64();
	inet_pton(AF_INET, ip, &client->sa.sin_addr);
	talloc_set_destructor(client, client_destructor);
	return client;
}

static bool client_connect(struct onc_client *client)
{
	int fd;

	if (client->stream)
		return true;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return false;
	if (connect(fd, (struct sockaddr *)&client->sa, sizeof(client->sa)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return false;
	}
	client->stream = stream_new(client, client->ev, fd, true, client);
	client->stream->on_record = on_client_record;
	client->stream->on_closed = on_client_closed;
	return true;
}

static bool client_send(struct onc_client *client, struct client_call *p, void *args)
{
	size_t size = ONC_HEADER_MAX + xdr_sizeof(p->proc->args_xdr, args);
	char *buf = talloc_size(p, size);
	struct rpc_msg msg = {.rm_xid = p->xid, .rm_direction = CALL};
	bool is_sent = false;
	XDR xdr;

	msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	msg.rm_call.cb_prog = p->proc->prog;
	msg.rm_call.cb_vers = p->proc->vers;
	msg.rm_call.cb_proc = p->proc->proc;
	msg.rm_call.cb_cred = _null_auth;
	msg.rm_call.cb_verf = _null_auth;
	xdrmem_create(&xdr, buf, (u_int)size, XDR_ENCODE);
	if (xdr_callmsg(&xdr, &msg) && p->proc->args_xdr(&xdr, args) && client_connect(client))
		is_sent = stream_send(client->stream, buf, xdr_getpos(&xdr));
	talloc_free(buf);
	return is_sent;
}

void onc_call(struct onc_client *client, const struct onc_proc *proc, void *args, size_t res_size,
	      int64_t deadline, onc_done *done, void *data)
{
	struct client_call *p = talloc_zero(client, struct client_call);

	p->client = client;
	p->proc = proc;
	p->xid = client->next_xid++;
	p->res_size = res_size;
	p->done = done;
	p->data = data;
	p->next = client->calls;
	if (client->calls)
		client->calls->prev = p;
	client->calls = p;
	if (!client_send(client, p, args)) {
		p->im = tevent_create_immediate(p);
		tevent_schedule_immediate(p->im, client->ev, on_not_sent, p);
		return;
	}
	p->deadline = deadline;
	p->received = client->stream->received;
	p->timer = mtimer_add(p, client->ev, deadline, on_client_call_deadline, p);
}
