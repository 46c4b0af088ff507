/**
 * DOC: sited_front - state of callers' requests in progress
 *
 * A request arrives over HTTP, or from another entry VM that passed it on.
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
 * struct front_call - a caller's request in progress
 * @req: the caller's HTTP request; NULL after an abort and for a request from a peer
 * @relay: the peer's RPC request, NULL unless a peer passed the request on
 * @kind: the operation requested
 * @id: id of the job
 * @workspace: workspace of the key in the request, empty without a known key
 * @started_at: when this VM received the request, on base_now_ns()'s clock
 * @deadline: when the caller stops waiting, on base_now_ns()'s clock
 * @job: the job that is submitted or cancelled, NULL before its row was read
 * @value: text of the job's row to be stored
 * @tx: transaction that stores the row
 * @is_outcome_unknown: a transaction of this or of an earlier request for the job got no
 *	answer and may have been or may still be performed
 * @relays: how often this VM passed the request on to a peer
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
	bool is_outcome_unknown;
	unsigned int relays;
};

/**
 * front_call_new() - start a request
 *
 * front_finish() or front_finish_state() frees it.
 */
struct front_call *front_call_new(struct sited *d, enum front_kind kind, struct str id,
				  const char *workspace, int64_t deadline);
/** front_finish() - answer with HTTP status @status and log @reason; frees @c */
void front_finish(struct front_call *c, unsigned int status, const char *reason);
/** front_finish_state() - answer with the job's state and log its @source; frees @c */
void front_finish_state(struct front_call *c, enum work_state state, const char *source);
/** front_time_is_left() - enough time remains to call the store and answer the caller */
bool front_time_is_left(const struct front_call *c);
/** front_call_deadline() - deadline of a call that may take @ms, within the caller's deadline */
int64_t front_call_deadline(const struct front_call *c, int64_t ms);

/** front_reply_now() - answer a request that is not in progress, and log @reason */
void front_reply_now(struct sited *d, struct httpd_request *req, unsigned int status,
		     const char *reason);
/** front_close_if_stopping() - the next answer closes the connection if this VM stops */
void front_close_if_stopping(struct sited *d, struct httpd_request *req);

/** front_body_max() - largest body of a request at present in bytes, for httpd_options */
size_t front_body_max(void *sited);
/**
 * front_submit_bytes() - most bytes that storing a submission takes beside its body of @len bytes
 *
 * These are the job, its row, and the store call with its copies. A job above the store's limit
 * of a row is rejected before they are made.
 */
size_t front_submit_bytes(const struct site *site, size_t len);
/** front_reply_busy() - reject a request whose body has no room, for httpd_options */
void front_reply_busy(struct httpd_request *req);

/* ---- sited_pending.c ---- */

/** front_reply_pending() - answer how many jobs of @queue are pending */
void front_reply_pending(struct sited *d, struct httpd_request *req, const struct queue *queue);

/* ---- sited_calls.c ---- */

/** front_start() - start the requested operation; a submission has its job in c->job */
void front_start(struct front_call *c);
/** front_resume() - continue the operation with this VM's own calls to the store */
void front_resume(struct front_call *c);

/* ---- sited_relay.c ---- */

/** front_relay() - pass the request to a peer; false when no peer may be used */
bool front_relay(struct front_call *c);

#endif
