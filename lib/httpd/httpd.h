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

/**
 * struct httpd_options - address and limits of a server
 * @ip: address to listen on
 * @port: port to listen on
 * @body_max: largest request body in bytes; a larger one gets status 413
 * @connections_max: further connections are closed as soon as they are accepted
 * @idle_timeout_s: time in s without any traffic after which a connection is closed
 * @reuse_port: allow several servers on the same address and port (SO_REUSEPORT)
 */
struct httpd_options {
	const char *ip;
	uint16_t port;
	size_t body_max;
	unsigned int connections_max;
	unsigned int idle_timeout_s;
	bool reuse_port;
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
/** httpd_drop() - close the connection without a reply; for the stand-ins and tests only */
void httpd_drop(struct httpd_request *req);

#endif
