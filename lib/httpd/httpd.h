/**
 * DOC: httpd - HTTP server: libmicrohttpd driven by a tevent loop
 *
 * One struct httpd belongs to one thread. Several threads may listen on the
 * same address; the kernel then spreads new connections among them.
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
 * @body: whole body, at most the server's limit
 * @connected_at: when the caller's connection was opened
 * @server_data: the pointer given to httpd_new()
 * @user: free for the handler
 * @on_abort: called when the caller's connection ends before the reply; the
 *            handler must forget the request, which is freed afterwards
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
 * struct httpd_options - limits of a server
 * @ip: address to listen on
 * @port: port to listen on
 * @body_max: largest body in bytes; larger gets 413
 * @connections_max: connections beyond this are closed at once
 * @idle_timeout_s: a connection that sends nothing for this long is closed, in s
 * @reuse_port: allow several servers on the same address and port
 */
struct httpd_options {
	const char *ip;
	uint16_t port;
	size_t body_max;
	unsigned int connections_max;
	unsigned int idle_timeout_s;
	bool reuse_port;
};

/** httpd_new() - listen; NULL when the address cannot be had. talloc_free() stops it */
struct httpd *httpd_new(TALLOC_CTX *ctx, struct tevent_context *ev, const struct httpd_options *opt,
			httpd_handler *handler, void *data);
/** httpd_stop_listening() - accept no new connection; open ones go on */
void httpd_stop_listening(struct httpd *server);
const char *httpd_header(struct httpd_request *req, const char *name);
const char *httpd_query(struct httpd_request *req, const char *name);
/** httpd_reply_header() - add a header to the reply; call before httpd_reply() */
void httpd_reply_header(struct httpd_request *req, const char *name, const char *value);
/** httpd_reply() - answer with a copy of @body; the request is gone afterwards */
void httpd_reply(struct httpd_request *req, unsigned int status, struct str body);
/** httpd_reply_json() - answer with @v, whose reference is taken */
void httpd_reply_json(struct httpd_request *req, unsigned int status, json_t *v);
/** httpd_drop() - close the connection without an answer (stand-ins only) */
void httpd_drop(struct httpd_request *req);

#endif
