/**
 * DOC: httpc - HTTP client: libcurl multi driven by a tevent loop
 *
 * One struct httpc belongs to one thread. A body leaves this process at most
 * once: libcurl's own resend on a reused connection is refused, so that a
 * request is never executed twice behind the caller's back.
 */
#ifndef HTTPC_H
#define HTTPC_H

#include <tevent.h>
#include "base/base.h"

struct httpc;
struct httpc_call;

/* how far a call came */
enum httpc_result {
	HTTPC_ANSWERED, /* a whole answer arrived */
	HTTPC_NOT_SENT, /* nothing was put on the wire */
	HTTPC_LOST,	/* sent at least in part; nothing whole came back */
};

/**
 * struct httpc_answer - what came back; borrowed for the callback
 * @result: how far the call came
 * @status: HTTP status when answered
 * @body: whole body when answered
 */
struct httpc_answer {
	enum httpc_result result;
	unsigned int status;
	struct str body;
};

typedef void httpc_done(const struct httpc_answer *answer, void *data);

/**
 * struct httpc_options - one call
 * @method: GET, PUT, POST or DELETE
 * @url: whole URL
 * @body: copied; an empty one is sent as such
 * @deadline: when to give up, on this process's clock
 * @fresh: open a new connection, because an old one may have gone silent
 * @header: up to three header lines, copied, or NULL
 */
struct httpc_options {
	const char *method;
	const char *url;
	struct str body;
	int64_t deadline;
	bool fresh;
	const char *header[3];
};

/**
 * httpc_new() - a client without connections
 * @per_host_max: connections to one host, 0 for no limit
 * @kept_max: idle connections are closed while there are more, those in use included;
 *            0 for as many as a client of a few servers needs
 */
struct httpc *httpc_new(TALLOC_CTX *ctx, struct tevent_context *ev, unsigned int per_host_max,
			unsigned int kept_max);
/** httpc_start() - start a call; @done is always called once, never from within */
struct httpc_call *httpc_start(struct httpc *client, const struct httpc_options *opt,
			       httpc_done *done, void *data);
/** httpc_in_flight() - number of calls not yet answered */
unsigned int httpc_in_flight(const struct httpc *client);

#endif
