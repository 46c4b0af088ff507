/*
 * Callers' requests. A job is accepted when its row is stored; any VM can do
 * that. Answers 429 and 503 say that a job was not accepted and never will be,
 * so they are given only while no transaction of it may still be performed;
 * without that certainty the answer is 504, and the caller asks again.
 */
#include "sited_lead.h"

#include <string.h>

#include "mtimer/mtimer.h"

#define RETRY_AFTER_S 1	       /* a missing configuration or leader is there in a second */
#define RETRY_AFTER_OUTAGE_S 2 /* outages last several seconds, callers retry a few times only */
#define CONFIRM_RESERVE_MS 250 /* of the caller's time, kept to answer */
#define SETTLE_PAUSE_MS 60     /* before a transaction without an answer is sent again */
#define STATE_CALL_MS 300      /* the leader answers from memory */
/* a VM whose store is away for longer sends callers elsewhere */
#define READY_FAILING_MAX_MS 1500

enum front_kind { FRONT_SUBMIT, FRONT_STATE, FRONT_CANCEL };

/**
 * struct front_call - one request in progress
 * @req: NULL when the caller has gone
 * @is_unsure: a transaction without an answer may have been or be performed
 */
struct front_call {
	struct sited *d;
	struct httpd_request *req;
	enum front_kind kind;
	char id[WORK_ID_LEN + 1];
	char *workspace;
	int64_t started_at;
	int64_t deadline;
	struct work_job *job;
	char *value;
	struct store_tx *tx;
	bool is_unsure;
};

static const char *const front_kinds[] = {"submit", "state", "cancel"};

static int front_destructor(struct front_call *c)
{
	c->d->requests--;
	if (c->req)
		c->req->user = NULL;
	return 0;
}

static void on_abort(struct httpd_request *req)
{
	struct front_call *c = req->user;

	if (c)
		c->req = NULL;
}

static void note(struct front_call *c, unsigned int status, const char *reason)
{
	log_event("request_answered", "{ss ss sI ss sI sI}", "id", c->id, "kind",
		  front_kinds[c->kind], "status", (json_int_t)status, "reason", reason, "took_ms",
		  (json_int_t)((base_now() - c->started_at) / BASE_NS_PER_MS), "config",
		  (json_int_t)(c->d->queues ? c->d->queues->version : 0));
}

static void close_if_stopping(struct sited *d, struct httpd_request *req)
{
	if (d->stop_at)
		httpd_reply_header(req, "Connection", "close");
}

static unsigned int retry_after_s(const struct sited *d)
{
	return store_failing_ms(d->store) ? RETRY_AFTER_OUTAGE_S : RETRY_AFTER_S;
}

static void finish_error(struct front_call *c, unsigned int status, const char *reason)
{
	struct httpd_request *req = c->req;

	note(c, status, reason);
	sited_count(&c->d->metrics, status == 504 ? COUNT_UNANSWERED : COUNT_REFUSED);
	if (req) {
		close_if_stopping(c->d, req);
		callers_reply_error(req, status, reason, status == 503 ? retry_after_s(c->d) : 0);
		c->req = NULL;
	}
	talloc_free(c);
}

static void finish_ok(struct front_call *c, const char *reason)
{
	struct httpd_request *req = c->req;

	note(c, 200, reason);
	if (req) {
		close_if_stopping(c->d, req);
		callers_reply_ok(req);
		c->req = NULL;
	}
	talloc_free(c);
}

static void finish_state(struct front_call *c, enum work_state state, const char *source)
{
	struct httpd_request *req = c->req;

	log_event("state_told", "{ss ss ss sI}", "id", c->id, "state", work_state_name(state),
		  "source", source, "took_ms",
		  (json_int_t)((base_now() - c->started_at) / BASE_NS_PER_MS));
	if (req) {
		close_if_stopping(c->d, req);
		callers_reply_state(req, state);
		c->req = NULL;
	}
	talloc_free(c);
}

static bool time_is_left(const struct front_call *c)
{
	return base_remaining_ms(c->deadline) > CONFIRM_RESERVE_MS;
}

/* a call must be answered in the caller's time, or be given up */
static int64_t call_deadline(const struct front_call *c)
{
	int64_t own = base_deadline_in(SITED_CALL_MS);
	int64_t theirs = c->deadline - CONFIRM_RESERVE_MS * BASE_NS_PER_MS;

	return MIN(own, theirs);
}

/* the row of the job that the request is about */
static void read_row(struct front_call *c, store_done *done)
{
	struct store_range range = {SITED_JOBS_TABLE, sited_part(c->id), c->id, 1};

	store_read(c->d->store, &range, call_deadline(c), done, c);
}

/* ---- submit ---- */

static void send_submit(struct front_call *c);

static void on_submit_timer(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	send_submit(data);
}

/* the row is there: ours after a lost answer, or that of an earlier request with the same id */
static void on_existing(struct front_call *c, const struct store_row *row)
{
	struct work_job *job = work_job_decode(c, str_from(c->id), row->value);

	if (!job)
		finish_error(c, 503, "the id is taken by a row that can't be read");
	else if (strcmp(job->workspace, c->job->workspace))
		finish_error(c, 429, "the id is taken by another workspace");
	else
		finish_ok(c, c->is_unsure ? "stored earlier" : "known");
}

static void on_submitted(const struct store_result *r, void *data)
{
	struct front_call *c = data;

	switch (r->status) {
	case STORE_OK:
		sited_count(&c->d->metrics, COUNT_ACCEPTED);
		sited_observe(&c->d->metrics, HIST_ACCEPT, c->started_at);
		if (c->d->lead)
			lead_kick(c->d->lead);
		finish_ok(c, "stored");
		return;
	case STORE_CONFLICT:
		if (r->count) {
			on_existing(c, &r->rows[0]);
			return;
		}
		break;
	case STORE_UNKNOWN:
		c->is_unsure = true;
		break;
	case STORE_REFUSED:
		if (!c->is_unsure) {
			finish_error(c, 503, "the store does not take the job now");
			return;
		}
		break;
	default:
		finish_error(c, 503, "the store does not take such a job");
		return;
	}
	if (!time_is_left(c)) {
		finish_error(c, 504, "the store did not say whether the job was stored");
		return;
	}
	mtimer_add(c, c->d->ev, base_deadline_in(SETTLE_PAUSE_MS), on_submit_timer, c);
}

static void send_submit(struct front_call *c)
{
	if (!time_is_left(c)) {
		finish_error(c, c->is_unsure ? 504 : 503, "no time is left to store the job");
		return;
	}
	store_commit(c->d->store, c->tx, call_deadline(c), on_submitted, c);
}

static void begin_submit(struct front_call *c, const struct queue *queue)
{
	const char *fault = NULL;

	if (queue->needs_advice) {
		finish_error(c, 503, "queues with an advisor are not supported");
		return;
	}
	c->job = callers_decode_job(c, queue, c->workspace, str_from(c->id), c->req->body, &fault);
	if (!c->job) {
		finish_error(c, 400, fault);
		return;
	}
	c->value = work_job_encode(c, c->job);
	if ((int64_t)strlen(c->value) > c->d->site->row_bytes) {
		finish_error(c, 413, "the job is larger than a row of the store");
		return;
	}
	c->tx = store_tx_new(c, sited_part(c->id));
	store_tx_expect(c->tx, SITED_JOBS_TABLE, c->id, 0);
	store_tx_put(c->tx, SITED_JOBS_TABLE, c->id, str_from(c->value));
	send_submit(c);
}

/* ---- state ---- */

static void on_state_row(const struct store_result *r, void *data)
{
	struct front_call *c = data;
	struct work_job *job;

	if (r->status != STORE_OK) {
		finish_error(c, 503, "neither the leader nor the store answers");
		return;
	}
	if (!r->count || strcmp(r->rows[0].key, c->id)) {
		finish_error(c, 410, "no such job");
		return;
	}
	job = work_job_decode(c, str_from(c->id), r->rows[0].value);
	if (!job)
		finish_error(c, 503, "the job's row can't be read");
	else if (c->workspace[0] && strcmp(job->workspace, c->workspace))
		finish_error(c, 403, "the job is another workspace's");
	else
		finish_state(c, job->state, "store");
}

static void on_leader_state(enum onc_result result, void *res, void *data)
{
	struct front_call *c = data;
	cl_lead_state_res *answer = res;
	enum work_state state = WORK_STATE_COUNT;

	if (result == ONC_OK && answer->known)
		state = work_state_parse(answer->state);
	if (state == WORK_STATE_COUNT ||
	    (c->workspace[0] && strcmp(answer->workspace, c->workspace)))
		read_row(c, on_state_row);
	else
		finish_state(c, state, "leader");
}

static void begin_state(struct front_call *c)
{
	struct sited *d = c->d;
	cl_lead_state_args args = {c->id};
	const char *workspace = "";
	enum work_state state;

	if (d->lead) {
		state = lead_job_state(d->lead, c->id, &workspace);
		if (state != WORK_STATE_COUNT &&
		    (!c->workspace[0] || !strcmp(workspace, c->workspace)))
			finish_state(c, state, "leader");
		else
			read_row(c, on_state_row);
	} else if (d->leader.client && !d->leader.misses) {
		onc_call(d->leader.client, &sited_peer_procs[SITED_PROC_STATE], &args,
			 sizeof(cl_lead_state_res), base_deadline_in(STATE_CALL_MS),
			 on_leader_state, c);
	} else {
		read_row(c, on_state_row);
	}
}

/* ---- cancel ---- */

static void on_cancel_row(const struct store_result *r, void *data);

static void on_cancel_timer(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	read_row(data, on_cancel_row);
}

static void retry_cancel(struct front_call *c, const char *reason)
{
	if (time_is_left(c))
		mtimer_add(c, c->d->ev, base_deadline_in(SETTLE_PAUSE_MS), on_cancel_timer, c);
	else
		finish_error(c, 504, reason);
}

static void on_cancelled(const struct store_result *r, void *data)
{
	struct front_call *c = data;

	if (r->status == STORE_OK) {
		sited_count(&c->d->metrics, COUNT_CANCELLED);
		finish_ok(c, "cancelled");
		return;
	}
	/* the row changed or nothing is certain: what it says now decides */
	retry_cancel(c, "the store did not say whether the job was cancelled");
}

static void on_cancel_row(const struct store_result *r, void *data)
{
	struct front_call *c = data;
	struct work_job *job;
	char *value;

	if (r->status != STORE_OK) {
		retry_cancel(c, "the store does not answer");
		return;
	}
	if (!r->count || strcmp(r->rows[0].key, c->id)) {
		finish_error(c, 410, "no such job");
		return;
	}
	job = work_job_decode(c, str_from(c->id), r->rows[0].value);
	if (!job || (c->workspace[0] && strcmp(job->workspace, c->workspace))) {
		finish_error(c, 403, "the job is another workspace's");
		return;
	}
	if (work_job_is_over(job)) {
		finish_ok(c, work_state_name(job->state));
		return;
	}
	work_job_set_state(job, WORK_CANCELLED, sited_wall_ms());
	value = work_job_encode(c, job);
	talloc_free(c->tx);
	c->tx = store_tx_new(c, sited_part(c->id));
	store_tx_expect(c->tx, SITED_JOBS_TABLE, c->id, r->rows[0].version);
	store_tx_put(c->tx, SITED_JOBS_TABLE, c->id, str_from(value));
	store_commit(c->d->store, c->tx, call_deadline(c), on_cancelled, c);
}

/* ---- dispatch ---- */

static void reply_now(struct sited *d, struct httpd_request *req, unsigned int status,
		      const char *reason)
{
	log_event("request_refused", "{ss ss sI ss sI}", "method", req->method, "path", req->path,
		  "status", (json_int_t)status, "reason", reason, "config",
		  (json_int_t)(d->queues ? d->queues->version : 0));
	close_if_stopping(d, req);
	callers_reply_error(req, status, reason, status == 503 ? retry_after_s(d) : 0);
}

static void reply_pending(struct sited *d, struct httpd_request *req, const struct queue *queue)
{
	GHashTable *pending = d->lead ? lead_pending(d->lead) : d->leader.pending;
	const int64_t *n = pending ? g_hash_table_lookup(pending, queue->name) : NULL;

	if (!pending) {
		reply_now(d, req, 503, "nobody leads yet, so nobody counts");
		return;
	}
	close_if_stopping(d, req);
	callers_reply_pending(req, n ? *n : 0);
}

static void begin_call(struct sited *d, struct httpd_request *req, const struct queue *queue,
		       const char *workspace, struct str id, enum front_kind kind)
{
	struct front_call *c = talloc_zero(d, struct front_call);

	c->d = d;
	c->req = req;
	c->kind = kind;
	memcpy(c->id, id.ptr, id.len);
	c->workspace = talloc_strdup(c, workspace);
	c->started_at = base_now();
	c->deadline = callers_deadline(req);
	d->requests++;
	talloc_set_destructor(c, front_destructor);
	req->user = c;
	req->on_abort = on_abort;
	switch (kind) {
	case FRONT_SUBMIT:
		begin_submit(c, queue);
		break;
	case FRONT_STATE:
		begin_state(c);
		break;
	case FRONT_CANCEL:
		read_row(c, on_cancel_row);
		break;
	}
}

void sited_on_request(struct httpd_request *req)
{
	struct sited *d = req->server_data;
	const struct workspace *workspace;
	const struct queue *queue;
	struct str rest;

	if (!d->queues) {
		reply_now(d, req, 503, "no configuration yet");
		return;
	}
	queue = queues_match(d->queues, callers_host(req), str_from(req->path));
	if (!queue) {
		reply_now(d, req, 404, "no such queue");
		return;
	}
	workspace = queues_workspace_of(d->queues, callers_key(req));
	if (!workspace && !queue->is_public) {
		reply_now(d, req, 401, "no workspace holds this key");
		return;
	}
	rest = str_from(req->path + strlen(queue->prefix));
	if (!rest.len && !strcmp(req->method, "GET"))
		reply_pending(d, req, queue);
	else if (!work_id_is_valid(rest))
		reply_now(d, req, 400, "the id of a job is 16 hexadecimal digits");
	else if (!strcmp(req->method, "POST"))
		begin_call(d, req, queue, workspace ? workspace->name : "", rest, FRONT_SUBMIT);
	else if (!strcmp(req->method, "GET"))
		begin_call(d, req, queue, workspace ? workspace->name : "", rest, FRONT_STATE);
	else if (!strcmp(req->method, "DELETE"))
		begin_call(d, req, queue, workspace ? workspace->name : "", rest, FRONT_CANCEL);
	else
		reply_now(d, req, 405, "jobs take POST, GET and DELETE");
}

void sited_on_ready(struct httpd_request *req)
{
	struct sited *d = req->server_data;
	bool ready = d->queues && !d->stop_at && store_failing_ms(d->store) < READY_FAILING_MAX_MS;

	httpd_reply_json(req, ready ? 200 : 503, json_pack("{sb}", "ready", ready));
}
