/**
 * DOC: backend - client of backend servers: short requests and tasks of jobs
 *
 * The only module that knows their protocol.
 */
#ifndef BACKEND_H
#define BACKEND_H

#include "httpc/httpc.h"

/* state of a request or task as the backend server tells it */
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

/* why a backend server did not do what was asked; it then ran nothing */
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
	BACKEND_STATE,	  /* it answered with a state */
	BACKEND_REFUSED,  /* it answered that it did nothing */
	BACKEND_NOT_SENT, /* nothing reached it */
	BACKEND_LOST,	  /* something may have reached it */
};

/**
 * struct backend_reply - outcome of one call, borrowed for the callback
 * @type: which of the fields below are set
 * @state: for BACKEND_STATE
 * @refusal: for BACKEND_REFUSED
 * @is_leaving: the backend server says that it is leaving
 * @boot: names the run of the backend server's process; after a restart it has
 *        forgotten everything, so that "absent" proves nothing; 0 when not told
 * @doc: the whole answer, NULL unless it answered
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

/** struct backend_target - whom to call and as whom; all borrowed for the call */
struct backend_target {
	struct httpc *http;
	const char *base; /* "http://ip:port" */
	const char *vm;	  /* id of the calling VM */
	const char *traceparent;
};

/** backend_request_run() - run a short request; a repeated id is refused as known */
void backend_request_run(const struct backend_target *target, const char *id, struct str payload,
			 int64_t deadline, backend_done *done, void *data);
/**
 * backend_request_state() - ask on a new connection what became of a request
 * @cancel: when it is absent, refuse it from now on
 */
void backend_request_state(const struct backend_target *target, const char *id, bool cancel,
			   int64_t deadline, backend_done *done, void *data);

enum backend_task_op {
	BACKEND_TASK_PREPARE,
	BACKEND_TASK_START,
	BACKEND_TASK_STOP,
	BACKEND_TASK_FORGET,
	BACKEND_TASK_RENEW, /* of all tasks there, by anybody */
	BACKEND_TASK_FENCE, /* raises the epoch and lists all tasks */
};

/** backend_task_call() - one task operation; takes the reference to @args */
void backend_task_call(const struct backend_target *target, enum backend_task_op op, json_t *args,
		       bool fresh, int64_t deadline, backend_done *done, void *data);

/** backend_state_parse() - state of a name; BACKEND_ABSENT when unknown */
enum backend_state backend_state_parse(const char *name);

#endif
