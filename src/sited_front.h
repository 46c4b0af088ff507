/**
 * DOC: sited_front - a request of a caller, while it is in progress
 *
 * It came over HTTP, or from another entry VM that passed it on.
 */
#ifndef SITED_FRONT_H
#define SITED_FRONT_H

#include "sited_lead.h"

#define FRONT_KINDS(X)            \
	X(FRONT_SUBMIT, "submit") \
	X(FRONT_STATE, "state")   \
	X(FRONT_CANCEL, "cancel")

enum front_kind {
#define X(id, name) id,
	FRONT_KINDS(X)
#undef X
		FRONT_KIND_COUNT
};

/**
 * struct front_call - one request in progress
 * @req: the caller's, NULL when the caller has gone or came through a peer
 * @relay: the peer's, NULL unless one passed it on
 * @kind: what is asked for
 * @workspace: whose key came with it; empty on a public queue
 * @deadline: when the caller stops waiting, on base_now_ns()'s clock
 * @job: of a submission, as declared
 * @value: the row to be stored
 * @is_unsure: a transaction without an answer may have been or be performed
 * @relays: how often it was passed on to a peer
 */
struct front_call {
	struct sited *d;
	struct httpd_request *req;
	struct onc_request *relay;
	enum front_kind kind;
	char id[WORK_ID_LEN + 1];
	char *workspace;
	int64_t started_at;
	int64_t deadline;
	struct work_job *job;
	char *value;
	struct store_tx *tx;
	bool is_unsure;
	unsigned int relays;
};

/** front_call_new() - a request that begins now; freed by front_finish() */
struct front_call *front_call_new(struct sited *d, enum front_kind kind, struct str id,
				  const char *workspace, int64_t deadline);
/** front_finish() - the final answer, an HTTP status; frees @c */
void front_finish(struct front_call *c, unsigned int status, const char *reason);
/** front_finish_state() - tell the state of the job; frees @c */
void front_finish_state(struct front_call *c, enum work_state state, const char *source);
/** front_time_is_left() - enough to ask the store, and to answer */
bool front_time_is_left(const struct front_call *c);
/** front_own_deadline() - of a call that takes @ms at most, in the caller's time */
int64_t front_own_deadline(const struct front_call *c, int64_t ms);

/* ---- sited_calls.c ---- */

/** front_begin() - begin what is asked for; a submission has its job in c->job */
void front_begin(struct front_call *c);
/** front_resume() - go on by this VM's own path to the store */
void front_resume(struct front_call *c);

/* ---- sited_relay.c ---- */

/** front_relay() - let a peer carry it out; false when there is none to ask */
bool front_relay(struct front_call *c);

#endif
