/**
 * DOC: httpd - HTTP server: libmicrohttpd driven by a tevent loop
 *
 * One struct httpd belongs to one thread. Several threads may listen on the
 * same address; the kernel then distributes new connections among them.
 */
#ifndef HTTPD_H
#define HTTPD_H

#include <tevent.h>
#include "base/base.h"
#include "budget/budget.h"

struct httpd;

/**
 * struct httpd_request - one request, owned by the server until httpd_reply()
 * @method: HTTP method
 * @path: path without the query
 * @body: complete body, at most httpd_options.body_max bytes; NUL-terminated
 * @connected_at: when the caller's connection was opened, in ns on the clock of base_now_ns()
 * @server_data: @data of httpd_new()
 * @user: for the handler's own use
 * @on_abort: set by the handler, or NULL; called when the caller's connection ends
 *            before the reply; the request is freed afterwards and must not be used
 */
struct httpd_request {
	const char *method;
	const char *path;
	struct str body;
	int64_t connected_at;
	void *server_data;
	void *user;
	void (*on_abort)(struct httpd_request *req);
};

typedef void httpd_handler(struct httpd_request *req);

/* connections beyond the limit, until those that they replace are closed */
#define HTTPD_CONNECTIONS_EXTRA 8
/*
 * Bytes of a rejected body that are read and dropped before the connection is closed. A client
 * that sends its whole body before it reads the answer gets the answer if the rest is shorter.
 */
#define HTTPD_DISCARD_MAX (64 * 1024)

/**
 * struct httpd_options - address and limits of a server
 * @ip: address to listen on
 * @port: port to listen on
 * @body_max: largest request body in bytes; a larger one gets status 413
 * @get_body_max: when not NULL, returns the largest body at present, at most @body_max
 * @bodies_max: bytes of all bodies above BUDGET_SMALL_BYTES together, 0 for no limit; a body
 *	without room gets status 503
 * @on_busy: replies at once, with a status that is true of the request, when there is no room
 *	for its body; NULL for 503 with outcome "not_run"
 * @connections_max: further connections wait until others have ended
 * @close_for_new: for clients that are not trusted: further connections replace idle or stalled
 *	ones, up to HTTPD_CONNECTIONS_EXTRA more are then open for a moment, and the kernel's
 *	buffers of each are small
 * @idle_timeout_s: time in s without any traffic, or without complete headers, after which a
 *	connection is closed
 * @reuse_port: allow several servers on the same address and port (SO_REUSEPORT)
 */
struct httpd_options {
	const char *ip;
	uint16_t port;
	size_t body_max;
	size_t (*get_body_max)(void *data);
	size_t bodies_max;
	httpd_handler *on_busy;
	unsigned int connections_max;
	bool close_for_new;
	unsigned int idle_timeout_s;
	bool reuse_port;
};

/**
 * struct httpd_stats - what a server holds and has turned away
 * @connections: open connections
 * @body_bytes: charged for bodies above BUDGET_SMALL_BYTES and the copies made of them
 * @too_large: requests rejected because of their size
 * @busy: requests rejected because there was no room for their bodies
 * @closed_for_room: connections closed because there was no room for a body
 * @closed_for_connection: connections closed for new ones
 * @closed_overdue: connections closed because their requests were not complete in time
 */
struct httpd_stats {
	unsigned int connections;
	size_t body_bytes;
	uint64_t too_large;
	uint64_t busy;
	uint64_t closed_for_room;
	uint64_t closed_for_connection;
	uint64_t closed_overdue;
};

/**
 * httpd_new() - start a server on the loop @ev; talloc_free() stops it
 * @handler: called with each complete request; replies at once or later
 * @data: passed on as httpd_request.server_data
 * Return: the server, or NULL when it cannot listen on the address.
 */
struct httpd *httpd_new(TALLOC_CTX *ctx, struct tevent_context *ev, const struct httpd_options *opt,
			httpd_handler *handler, void *data);
/** httpd_stop_listening() - accept no new connections; open ones are still served */
void httpd_stop_listening(struct httpd *server);
/** httpd_header() - value of a request header, or NULL; valid as long as the request */
const char *httpd_header(struct httpd_request *req, const char *name);
/** httpd_query() - value of a query parameter, or NULL; valid as long as the request */
const char *httpd_query(struct httpd_request *req, const char *name);
/**
 * httpd_reply_header() - add a header to the reply
 *
 * Must be called before httpd_reply(). A reply holds four such headers; further
 * ones are ignored.
 */
void httpd_reply_header(struct httpd_request *req, const char *name, const char *value);
/** httpd_reply() - reply with a copy of @body; the request must not be used afterwards */
void httpd_reply(struct httpd_request *req, unsigned int status, struct str body);
/** httpd_reply_json() - as httpd_reply(), with @v as the body; takes the reference to @v */
void httpd_reply_json(struct httpd_request *req, unsigned int status, json_t *v);
/**
 * httpd_charge() - account for @bytes beside the body that the request needs until its answer
 *
 * The limit on connections covers those of a body of up to BUDGET_SMALL_BYTES.
 * Return: false when there is no room; the handler then replies that nothing has run.
 */
bool httpd_charge(struct httpd_request *req, size_t bytes);
/** httpd_stats() - what the server holds now, and what it has turned away so far */
struct httpd_stats httpd_stats(const struct httpd *server);
/** httpd_drop() - close the connection without a reply; for the stand-ins and tests only */
void httpd_drop(struct httpd_request *req);

#endif
