/*
 * Handles callers' HTTP requests: finds the queue and workspace, and sends the answer.
 */
#include "sited_front.h"

#include <string.h>

/*
 * A configuration or a leader is usually available within a second. An outage may end
 * at any moment, and callers wait 3 s in all, so a short delay gives them more attempts.
 * Without a delay they use up their attempts at once, after a 504 as well.
 */
#define RETRY_AFTER_S 1
/* A transaction without an answer may be performed seconds later, and a caller gives up in 3 s. */
#define UNSETTLED_MS 30000
#define SUBMIT_COPIES \
	6 /* of a job: itself, its row, and base64 in a transaction, a body and libcurl */
#define CONFIRM_RESERVE_MS 100 /* part of the caller's time that is reserved for the answer */
/* A VM whose calls to the store fail for longer reports not ready, unless a peer can help. */
#define READY_FAILING_MAX_MS 400

static const char *const front_kinds[] = {
#define X(id, name) name,
	FRONT_KINDS(X)
#undef X
};

static int front_destructor(struct front_call *c)
{
	c->d->open_requests--;
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

struct front_call *front_call_new(struct sited *d, enum front_kind kind, struct str id,
				  const char *workspace, int64_t deadline)
{
	struct front_call *c = talloc_zero(d, struct front_call);

	c->d = d;
	c->kind = kind;
	memcpy(c->id, id.ptr, MIN(id.len, WORK_ID_LEN));
	c->workspace = talloc_strdup(c, workspace);
	c->started_at = base_now_ns();
	c->deadline = deadline;
	d->open_requests++;
	talloc_set_destructor(c, front_destructor);
	return c;
}

void front_close_if_stopping(struct sited *d, struct httpd_request *req)
{
	if (d->stop_at)
		httpd_reply_header(req, "Connection", "close");
}

static void log_answer(const struct front_call *c, unsigned int status, const char *state,
		       const char *reason)
{
	log_event("request_answered", "{ss ss sI ss ss sI sI sI sb}", "id", c->id, "kind",
		  front_kinds[c->kind], "status", (json_int_t)status, "state", state, "reason",
		  reason, "took_ms", (json_int_t)((base_now_ns() - c->started_at) / BASE_NS_PER_MS),
		  "config", (json_int_t)(c->d->queues ? c->d->queues->version : 0), "relays",
		  (json_int_t)c->relays, "for_peer", c->relay != NULL);
}

static void reply(struct front_call *c, unsigned int status, enum work_state state,
		  const char *reason)
{
	struct httpd_request *req = c->req;
	const char *name = state == WORK_STATE_COUNT ? "" : work_state_name(state);
	cl_relay_res res = {(int)status, (char *)name, (char *)reason};

	log_answer(c, status, name, reason);
	if (c->relay)
		onc_reply(c->relay, &res);
	c->req = NULL;
	if (!req)
		goto out;
	front_close_if_stopping(c->d, req);
	if (state != WORK_STATE_COUNT)
		callers_reply_state(req, state);
	else if (status == 200)
		callers_reply_ok(req);
	else
		callers_reply_error(req, status, reason,
				    status == 503 || status == 504 ? RETRY_AFTER_S : 0);
out:
	talloc_free(c);
}

/*
 * 503 says that the job never runs. That is not certain while a transaction without an
 * answer may still be performed, which 504 says.
 */
static unsigned int submit_status(struct front_call *c, unsigned int status)
{
	struct recent *unsettled = c->d->unsettled_submits;

	if (status == 200)
		recent_remove(unsettled, c->id);
	if (c->is_outcome_unknown && status == 503)
		status = 504;
	if (c->is_outcome_unknown && status == 504)
		recent_add(unsettled, c->id, sited_now_ms() + UNSETTLED_MS, sited_now_ms());
	return status;
}

void front_finish(struct front_call *c, unsigned int status, const char *reason)
{
	if (c->kind == FRONT_SUBMIT)
		status = submit_status(c, status);
	/* the VM that the caller asked counts the refusal, not a peer to which it passed the job */
	if (c->kind == FRONT_SUBMIT && status != 200 && status != 504 && !c->relay)
		sited_count_refused(c->d, &c->d->metrics, c->workspace);
	if (status != 200)
		sited_count(&c->d->metrics, status == 504 ? COUNT_UNANSWERED : COUNT_REFUSED);
	reply(c, status, WORK_STATE_COUNT, reason);
}

void front_finish_state(struct front_call *c, enum work_state state, const char *source)
{
	reply(c, 200, state, source);
}

bool front_time_is_left(const struct front_call *c)
{
	return base_remaining_ms(c->deadline) > CONFIRM_RESERVE_MS;
}

int64_t front_call_deadline(const struct front_call *c, int64_t ms)
{
	return MIN(base_deadline_in(ms), c->deadline - CONFIRM_RESERVE_MS * BASE_NS_PER_MS);
}

/* ---- dispatch ---- */

void front_reply_now(struct sited *d, struct httpd_request *req, unsigned int status,
		     const char *reason)
{
	log_event("request_refused", "{ss ss sI ss sI}", "method", req->method, "path", req->path,
		  "status", (json_int_t)status, "reason", reason, "config",
		  (json_int_t)(d->queues ? d->queues->version : 0));
	front_close_if_stopping(d, req);
	callers_reply_error(req, status, reason,
			    status == 503 || status == 504 ? RETRY_AFTER_S : 0);
}

size_t front_body_max(void *sited)
{
	const struct sited *d = sited;

	/* A limit that would reject every body is an error of the operator, and has no effect. */
	return d->queues && d->queues->body_max > 0 ? (size_t)d->queues->body_max
						    : OPERATOR_BODY_MAX_DEFAULT;
}

size_t front_submit_bytes(const struct site *site, size_t len)
{
	return SUBMIT_COPIES * MIN(len, (size_t)site->row_bytes_max);
}

/* An earlier transaction of a job may still be performed, so 503 would not be certain. */
static bool is_unsettled(struct sited *d, struct httpd_request *req)
{
	size_t len = strlen(req->path);
	const char *id = req->path + len - MIN(len, WORK_ID_LEN);

	return recent_has(d->unsettled_submits, id, sited_now_ms());
}

void front_reply_busy(struct httpd_request *req)
{
	struct sited *d = req->server_data;

	sited_count(&d->metrics, COUNT_REFUSED);
	front_reply_now(d, req, is_unsettled(d, req) ? 504 : 503,
			"no memory for a body of this size now");
}

static void submit(struct front_call *c, const struct queue *queue)
{
	const char *fault = NULL;

	if (queue->has_advisor) {
		front_finish(c, 503, "queues with an advisor are not supported");
		return;
	}
	if (!httpd_charge(c->req, front_submit_bytes(c->d->site, c->req->body.len))) {
		c->is_outcome_unknown = is_unsettled(c->d, c->req);
		front_finish(c, 503, "no memory for a job of this size now");
		return;
	}
	c->job = callers_decode_job(c, queue, c->workspace, str_from(c->id), c->req->body, &fault);
	if (c->job)
		front_start(c);
	else
		front_finish(c, 400, fault);
}

static void start_call(struct sited *d, struct httpd_request *req, const struct queue *queue,
		       const char *workspace, struct str id, enum front_kind kind)
{
	struct front_call *c = front_call_new(d, kind, id, workspace, callers_deadline(req));

	c->req = req;
	req->user = c;
	req->on_abort = on_abort;
	if (kind == FRONT_SUBMIT)
		submit(c, queue);
	else
		front_start(c);
}

void sited_on_request(struct httpd_request *req)
{
	struct sited *d = req->server_data;
	const struct workspace *workspace;
	const struct queue *queue;
	struct str id;

	if (!d->queues) {
		front_reply_now(d, req, 503, "no configuration yet");
		return;
	}
	queue = queues_match(d->queues, callers_host(req), str_from(req->path));
	if (!queue) {
		front_reply_now(d, req, 404, "no such queue");
		return;
	}
	workspace = queues_find_workspace(d->queues, callers_api_key(req));
	if (!workspace && !queue->is_public) {
		front_reply_now(d, req, 401, "no workspace holds this key");
		return;
	}
	id = str_from(req->path + strlen(queue->prefix));
	if (!id.len && !strcmp(req->method, "GET"))
		front_reply_pending(d, req, queue);
	else if (!work_id_is_valid(id))
		front_reply_now(d, req, 400, "the id of a job is 16 hexadecimal digits");
	else if (!strcmp(req->method, "POST"))
		start_call(d, req, queue, workspace ? workspace->name : "", id, FRONT_SUBMIT);
	else if (!strcmp(req->method, "GET"))
		start_call(d, req, queue, workspace ? workspace->name : "", id, FRONT_STATE);
	else if (!strcmp(req->method, "DELETE"))
		start_call(d, req, queue, workspace ? workspace->name : "", id, FRONT_CANCEL);
	else
		front_reply_now(d, req, 405, "jobs take POST, GET and DELETE");
}

void sited_on_ready(struct httpd_request *req)
{
	struct sited *d = req->server_data;
	/* If the leader is silent too, this VM is probably cut off, so no failure is tolerated. */
	int64_t tolerated_ms = d->lead || sited_leader_is_responsive(d) ? READY_FAILING_MAX_MS : 0;
	bool reaches_store = store_failing_ms(d->store) <= tolerated_ms || sited_relay_target(d);
	bool ready = d->queues && !d->stop_at && reaches_store;

	httpd_reply_json(req, ready ? 200 : 503, json_pack("{sb}", "ready", ready));
}
