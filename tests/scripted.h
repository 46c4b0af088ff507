/**
 * DOC: scripted - an HTTP server for tests of clients, which gives predetermined answers
 */
#ifndef SCRIPTED_H
#define SCRIPTED_H

#include <check.h>

#include "httpd/httpd.h"

/* starts a server for a test on @port of 127.0.0.1 */
static inline struct httpd *scripted_listen(TALLOC_CTX *ctx, struct tevent_context *ev,
					    uint16_t port,
					    void (*on_request)(struct httpd_request *req),
					    void *data)
{
	struct httpd_options opt = {.ip = "127.0.0.1",
				    .port = port,
				    .body_max = 10000,
				    .connections_max = 10,
				    .idle_timeout_s = 10};
	struct httpd *server = httpd_new(ctx, ev, &opt, on_request, data);

	ck_assert_ptr_nonnull(server);
	return server;
}

/**
 * struct scripted - a server with predetermined answers
 * @server: the HTTP server
 * @status: HTTP status of the next answers
 * @answer: body of the next answers
 * @drop: close connections instead of answering
 * @asked: the last request: method, path, value of @header and body, separated by spaces
 * @header: name of the request header to record in @asked, or NULL
 */
struct scripted {
	struct httpd *server;
	unsigned int status;
	const char *answer;
	bool drop;
	char *asked;
	const char *header;
};

static inline void scripted_on_request(struct httpd_request *req)
{
	struct scripted *s = req->server_data;

	talloc_free(s->asked);
	s->asked = talloc_asprintf(s, "%s %s %s %.*s", req->method, req->path,
				   s->header ? httpd_header(req, s->header) : "",
				   (int)req->body.len, req->body.ptr);
	if (s->drop)
		httpd_drop(req);
	else
		httpd_reply(req, s->status, str_from(s->answer));
}

static inline struct scripted *scripted_new(TALLOC_CTX *ctx, struct tevent_context *ev,
					    uint16_t port, unsigned int status, const char *answer)
{
	struct scripted *s = talloc_zero(ctx, struct scripted);

	s->server = scripted_listen(s, ev, port, scripted_on_request, s);
	s->status = status;
	s->answer = answer;
	return s;
}

#endif
