/**
 * DOC: backend - client of backend servers: short requests and tasks of jobs
 *
 * No other module encodes or decodes the protocol of the backend servers.
 */
#ifndef BACKEND_H
#define BACKEND_H

#include "httpc/httpc.h"

/* state of a request or task as reported by the backend server */
#define BACKEND_STATES(X)               \
	X(BACKEND_ABSENT, "absent")     \
	X(BACKEND_PREPARED, "prepared") \
	X(BACKEND_RUNNING, "running")   \
	X(BACKEND_STOPPING, "stopping") \
	X(BACKEND_DONE, "done")         \
	X(BACKEND_FAILED, "failed")     \
	X(BACKEND_STOPPED, "stopped")   \
	X(BACKEND_CANCELLED, "cancelled")

enum backend_state {
#define X(id, name) id,
	BACKEND_STATES(X)
#undef X
};

/* why a backend server rejected an operation; a rejected operation runs nothing */
#define BACKEND_REFUSALS(X)                       \
	X(BACKEND_REFUSED_FULL, "full")           \
	X(BACKEND_REFUSED_LEAVING, "leaving")     \
	X(BACKEND_REFUSED_KNOWN, "known")         \
	X(BACKEND_REFUSED_CANCELLED, "cancelled") \
	X(BACKEND_REFUSED_ABSENT, "absent")       \
	X(BACKEND_REFUSED_STALE, "stale_epoch")   \
	X(BACKEND_REFUSED_OTHER, "other")

enum backend_refusal {
#define X(id, name) id,
	BACKEND_REFUSALS(X)
#undef X
};

enum backend_reply_type {
	BACKEND_STATE,	  /* the backend server answered with a state */
	BACKEND_REFUSED,  /* the backend server rejected the operation */
	BACKEND_NOT_SENT, /* nothing was sent to the backend server */
	BACKEND_LOST,	  /* no usable answer; the operation may have been carried out */
};

/**
 * struct backend_reply - outcome of one call, borrowed for the callback
 * @type: tells which of the members below are set
 * @state: state of the request or task, for BACKEND_STATE
 * @refusal: reason of the rejection, for BACKEND_REFUSED
 * @is_leaving: the backend server accepts no new work; work in progress continues
 * @boot: incarnation of the backend server's process, 0 when not reported; a
 *        restarted backend server has lost its state, so "absent" from a new
 *        incarnation does not prove that the request or task never ran
 * @doc: the complete answer; NULL when no answer in JSON arrived
 */
struct backend_reply {
	enum backend_reply_type type;
	enum backend_state state;
	enum backend_refusal refusal;
	bool is_leaving;
	int64_t boot;
	json_t *doc;
};

typedef void backend_done(const struct backend_reply *reply, void *data);

/**
 * struct backend_target - callee and caller of a call; all borrowed for the call
 * @http: client that sends the call
 * @base_url: URL of the backend server, "http://ip:port"
 * @vm: id of the calling VM
 * @traceparent: W3C trace context, or NULL
 */
struct backend_target {
	struct httpc *http;
	const char *base_url;
	const char *vm;
	const char *traceparent;
};

/** backend_request_run() - run a short request; BACKEND_REFUSED_KNOWN for a repeated id */
void backend_request_run(const struct backend_target *target, const char *id, struct str payload,
			 int64_t deadline, backend_done *done, void *data);
/**
 * backend_request_state() - query the state of a short request, on a new connection
 * @cancel: when the request is absent, the backend server also rejects it from now on
 */
void backend_request_state(const struct backend_target *target, const char *id, bool cancel,
			   int64_t deadline, backend_done *done, void *data);

enum backend_task_op {
	BACKEND_TASK_PREPARE,
	BACKEND_TASK_START,
	BACKEND_TASK_STOP,
	BACKEND_TASK_FORGET,
	BACKEND_TASK_RENEW, /* renews the leases of all tasks there; any VM may call it */
	BACKEND_TASK_FENCE, /* raises the epoch and lists all tasks */
};

/**
 * backend_task_call() - one operation on tasks
 * @args: the body of the call; its reference is taken
 * @fresh: use a new connection, because a reused one may have failed undetected
 * @deadline: in ns on the clock of base_now_ns()
 */
void backend_task_call(const struct backend_target *target, enum backend_task_op op, json_t *args,
		       bool fresh, int64_t deadline, backend_done *done, void *data);

/** backend_state_parse() - state of a name; BACKEND_ABSENT when the name is unknown */
enum backend_state backend_state_parse(const char *name);

#endif
