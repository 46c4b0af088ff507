/**
 * DOC: httpc - HTTP client: libcurl multi driven by a tevent loop
 *
 * One struct httpc belongs to one thread. Each request is sent at most once:
 * libcurl's own resend after a reused connection has failed is aborted, so that
 * a request is never executed twice without the caller's knowledge.
 */
#ifndef HTTPC_H
#define HTTPC_H

#include <tevent.h>
#include "base/base.h"

#define HTTPC_TRANSFER_MAX_MS 30000

struct httpc;
struct httpc_call;

/* progress of a call when it ended */
enum httpc_result {
	HTTPC_ANSWERED, /* a complete answer arrived, with any HTTP status */
	HTTPC_NOT_SENT, /* nothing was sent */
	HTTPC_LOST,	/* sent at least in part, but no complete answer arrived */
};

/**
 * struct httpc_answer - outcome of a call; borrowed for the callback
 * @status: HTTP status; set only with HTTPC_ANSWERED, like @body
 * @body: the complete body; NUL-terminated
 * @error: why there is no complete answer, in libcurl's words; "" with HTTPC_ANSWERED
 * @received: bytes of the body that arrived, complete or not
 */
struct httpc_answer {
	enum httpc_result result;
	unsigned int status;
	struct str body;
	const char *error;
	size_t received;
};

typedef void httpc_done(const struct httpc_answer *answer, void *data);

/**
 * struct httpc_options - parameters of one call, borrowed for httpc_start()
 * @method: GET, PUT, POST or DELETE
 * @url: absolute URL with the scheme "http"
 * @body: request body, copied; not sent with GET
 * @deadline: when the call ends without an answer, in ns on the clock of base_now_ns()
 * @stall_ms: with 0, the whole answer must arrive by @deadline. Else a transfer that is under
 *            way at @deadline goes on while bytes are sent or received, until none is for so
 *            long, and at most HTTPC_TRANSFER_MAX_MS beyond @deadline
 * @fresh: open a new connection, because a reused one may have failed undetected
 * @opened_after: reuse only connections opened after this time, in ns on the clock of
 *                base_now_ns(); 0 for any
 * @header: up to three header lines; the first NULL ends the list
 */
struct httpc_options {
	const char *method;
	const char *url;
	struct str body;
	int64_t deadline;
	int64_t stall_ms;
	bool fresh;
	int64_t opened_after;
	const char *header[3];
};

/**
 * httpc_new() - a client, with no connection yet
 * @per_host_max: most connections to one host, 0 for no limit
 * @cache_max: idle connections are closed while the client has more connections than
 *             this, those in use included; 0 for a default that is enough for a
 *             client of a few servers
 */
struct httpc *httpc_new(TALLOC_CTX *ctx, struct tevent_context *ev, unsigned int per_host_max,
			unsigned int cache_max);
/** httpc_start() - start a call; @done is called exactly once, after httpc_start() has returned */
struct httpc_call *httpc_start(struct httpc *client, const struct httpc_options *opt,
			       httpc_done *done, void *data);
/**
 * httpc_begin_fn() - the body of an answer begins to arrive
 * @len: length of the body in bytes, -1 when unknown
 * Return: true to hold the transfer: nothing more is received until httpc_resume().
 */
typedef bool httpc_begin_fn(int64_t len, void *data);
/** httpc_on_begin() - have @begin called once for @call, which was started just now */
void httpc_on_begin(struct httpc_call *call, httpc_begin_fn *begin, void *data);
/** httpc_resume() - continue a transfer that was held */
void httpc_resume(struct httpc_call *call);
/** httpc_cancel() - end a call without calling its httpc_done */
void httpc_cancel(struct httpc_call *call);
/** httpc_in_flight() - number of calls that have not ended */
unsigned int httpc_in_flight(const struct httpc *client);

#endif
