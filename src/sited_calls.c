/*
 * Submits, queries and cancels jobs for callers. A job is accepted when its row is
 * stored, which any VM can do. Answers 429 and 503 mean that a job was not accepted
 * and never will be, so they are sent only when no transaction of the job may still
 * be performed. While that is uncertain, the answer is 504 and the caller retries. A VM
 * remembers the jobs that it answered so, because the caller's next request for one may
 * find the store still away.
 *
 * Load pattern: the store rejects the calls of some VMs, or a network partition separates
 * them from the store, while other VMs reach it. Such a VM passes requests to a peer that
 * reaches the store, and rejects them at once when there is no such peer.
 */
#include "sited_front.h"

#include <string.h>

#include "mtimer/mtimer.h"

#define RETRY_DELAY_MS 60 /* delay before an operation without an answer is retried */
#define STATE_CALL_MS 300 /* the leader answers from memory */
/* Without a peer, requests are rejected at once after the store has failed for this long. */
#define CUT_OFF_MS 300

/* Reads the row of the request's job. */
static void read_row(struct front_call *c, store_done *done)
{
	struct store_range range = {SITED_JOBS_TABLE, sited_partition(c->id), str_from(c->id), 1};

	store_read(c->d->store, &range, front_call_deadline(c, SITED_STORE_TIMEOUT_MS), done, c);
}

/* Prefers a peer while this VM's own calls to the store fail. */
static bool relay_if_store_fails(struct front_call *c)
{
	return store_failing_ms(c->d->store) && front_relay(c);
}

/* True when the store fails for longer than a brief outage; a peer is tried before this check. */
static bool is_cut_off(const struct front_call *c)
{
	return store_failing_ms(c->d->store) > CUT_OFF_MS;
}

static void on_resume_timer(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	front_resume(data);
}

static void resume_later(struct front_call *c)
{
	mtimer_add(c, c->d->ev, base_deadline_in(RETRY_DELAY_MS), on_resume_timer, c);
}

/* ---- submit ---- */

static void on_submitted(const struct store_result *r, void *data);

/* Prepares the transaction that stores the job over the version @replaced of its row. */
static void encode_row(struct front_call *c, int64_t replaced)
{
	talloc_free(c->value);
	c->value = work_job_encode(c, c->job);
	talloc_free(c->tx);
	c->tx = store_tx_new(c, sited_partition(c->id));
	store_tx_expect(c->tx, SITED_JOBS_TABLE, c->id, replaced);
	store_tx_put(c->tx, SITED_JOBS_TABLE, c->id, str_from(c->value));
}

/* The row exists: stored by this request with the answer lost, or by an earlier request. */
static void finish_existing(struct front_call *c, const struct store_row *row)
{
	struct work_job *job = work_job_decode(c, str_from(c->id), row->value);

	if (!job) {
		front_finish(c, 503, "the id is taken by a row that can't be read");
	} else if (strcmp(job->workspace, c->job->workspace)) {
		front_finish(c, 429, "the id is taken by another workspace");
	} else if (job->is_unsubmitted) {
		/* Its cancellation was acknowledged: it is known from now on, and never runs. */
		work_job_set_state(c->job, WORK_CANCELLED, sited_wall_ms());
		encode_row(c, row->version);
		store_commit(c->d->store, c->tx, front_call_deadline(c, SITED_STORE_TIMEOUT_MS),
			     on_submitted, c);
	} else {
		sited_notify_stored(c->d, c->id, str_dup(c, row->value));
		front_finish(c, 200, c->is_outcome_unknown ? "stored earlier" : "known");
	}
}

static void on_submitted(const struct store_result *r, void *data)
{
	struct front_call *c = data;

	switch (r->status) {
	case STORE_OK:
		sited_count(&c->d->metrics, COUNT_ACCEPTED);
		sited_observe(&c->d->metrics, HIST_ACCEPT, c->started_at);
		sited_notify_stored(c->d, c->id, c->value);
		front_finish(c, 200, "stored");
		return;
	case STORE_CONFLICT:
		if (r->count) {
			finish_existing(c, &r->rows[0]);
			return;
		}
		break;
	case STORE_UNKNOWN:
		c->is_outcome_unknown = true;
		if (front_relay(c))
			return;
		break;
	case STORE_REFUSED:
		if (front_relay(c))
			return;
		if (!c->is_outcome_unknown) {
			front_finish(c, 503, "the store does not take the job now");
			return;
		}
		break;
	default:
		front_finish(c, 503, "the store does not take such a job");
		return;
	}
	if (front_time_is_left(c) && !is_cut_off(c))
		resume_later(c);
	else
		front_finish(c, 504, "the store did not say whether the job was stored");
}

static void send_submit(struct front_call *c)
{
	if (is_cut_off(c))
		front_finish(c, 503, "neither the store nor a peer that reaches it can be asked");
	else if (!front_time_is_left(c))
		front_finish(c, 503, "no time is left to store the job");
	else
		store_commit(c->d->store, c->tx, front_call_deadline(c, SITED_STORE_TIMEOUT_MS),
			     on_submitted, c);
}

static void start_submit(struct front_call *c)
{
	c->is_outcome_unknown = recent_has(c->d->unsettled_submits, c->id, sited_now_ms());
	encode_row(c, 0);
	if ((int64_t)strlen(c->value) > c->d->site->row_bytes_max) {
		front_finish(c, 413, "the job is larger than a row of the store");
		return;
	}
	if (work_job_group_row_bytes(c->job) > c->d->site->row_bytes_max) {
		front_finish(c, 413, "a step has more tasks than the rows of the store can hold");
		return;
	}
	if (!relay_if_store_fails(c))
		send_submit(c);
}

/* ---- state ---- */

static void on_state_row(const struct store_result *r, void *data)
{
	struct front_call *c = data;
	struct work_job *job;

	/* Unlike the answer to a cancellation, a 410 is not final here. */
	if (r->status != STORE_OK) {
		if (!front_relay(c))
			front_finish(c, 503, "neither the leader nor the store answers");
		return;
	}
	if (!r->count || strcmp(store_key_text(&r->rows[0]), c->id)) {
		front_finish(c, 410, "no such job");
		return;
	}
	job = work_job_decode(c, str_from(c->id), r->rows[0].value);
	if (!job)
		front_finish(c, 503, "the job's row can't be read");
	else if (job->is_unsubmitted)
		front_finish(c, 410, "no such job");
	else if (c->workspace[0] && strcmp(job->workspace, c->workspace))
		front_finish(c, 403, "the job is another workspace's");
	else
		front_finish_state(c, job->state, "store");
}

static void read_state(struct front_call *c)
{
	if (relay_if_store_fails(c))
		return;
	if (is_cut_off(c))
		front_finish(c, 503, "neither the leader nor the store can be asked");
	else
		read_row(c, on_state_row);
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
		read_state(c);
	else
		front_finish_state(c, state, "leader");
}

static void start_state(struct front_call *c)
{
	struct sited *d = c->d;
	cl_lead_state_args args = {c->id};
	const char *workspace = "";
	enum work_state state;

	if (d->lead) {
		state = lead_job_state(d->lead, c->id, &workspace);
		if (state != WORK_STATE_COUNT &&
		    (!c->workspace[0] || !strcmp(workspace, c->workspace)))
			front_finish_state(c, state, "leader");
		else
			read_state(c);
	} else if (sited_leader_is_responsive(d)) {
		onc_call(d->leader.client, &sited_procs[SITED_PROC_STATE], &args,
			 sizeof(cl_lead_state_res), base_deadline_in(STATE_CALL_MS),
			 on_leader_state, c);
	} else {
		read_state(c);
	}
}

/* ---- cancel ---- */

/*
 * A 410 says that the job never starts from now on. A submission without an answer may
 * still be performed, by any VM and seconds later, under the condition that the job has no row.
 * So where there is none, the cancellation stores one, which is removed like those of ended jobs.
 */

static void on_cancel_row(const struct store_result *r, void *data);

static void retry_cancel(struct front_call *c, const char *reason)
{
	if (!front_time_is_left(c))
		front_finish(c, 504, reason);
	else if (!front_relay(c))
		resume_later(c);
}

static void on_cancelled(const struct store_result *r, void *data)
{
	struct front_call *c = data;

	if (r->status == STORE_OK && c->job->is_unsubmitted) {
		front_finish(c, 410, "no such job; it can't be submitted any more");
	} else if (r->status == STORE_OK) {
		sited_count(&c->d->metrics, COUNT_CANCELLED);
		sited_notify_stored(c->d, c->id, c->value);
		front_finish(c, 200, "cancelled");
	} else if (r->status == STORE_CONFLICT) {
		/* The row has changed; its new state decides. */
		read_row(c, on_cancel_row);
	} else {
		retry_cancel(c, "the store did not say whether the job was cancelled");
	}
}

/* Stores @job, which is cancelled, over the version @replaced of its row. */
static void store_cancelled(struct front_call *c, struct work_job *job, int64_t replaced)
{
	talloc_free(c->job);
	c->job = job;
	encode_row(c, replaced);
	store_commit(c->d->store, c->tx, front_call_deadline(c, SITED_STORE_TIMEOUT_MS),
		     on_cancelled, c);
}

static void on_cancel_row(const struct store_result *r, void *data)
{
	struct front_call *c = data;
	struct work_job *job;

	if (r->status != STORE_OK) {
		retry_cancel(c, "the store does not answer");
		return;
	}
	if (!r->count || strcmp(store_key_text(&r->rows[0]), c->id)) {
		store_cancelled(
			c,
			work_job_new_unsubmitted(c, str_from(c->id), c->workspace, sited_wall_ms()),
			0);
		return;
	}
	job = work_job_decode(c, str_from(c->id), r->rows[0].value);
	if (!job || (c->workspace[0] && strcmp(job->workspace, c->workspace))) {
		front_finish(c, 403, "the job is another workspace's");
		return;
	}
	if (job->is_unsubmitted) {
		front_finish(c, 410, "no such job; it can't be submitted any more");
		return;
	}
	if (work_job_has_ended(job)) {
		front_finish(c, 200, work_state_name(job->state));
		return;
	}
	work_job_set_state(job, WORK_CANCELLED, sited_wall_ms());
	store_cancelled(c, job, r->rows[0].version);
}

static void start_cancel(struct front_call *c)
{
	if (!relay_if_store_fails(c))
		read_row(c, on_cancel_row);
}

void front_start(struct front_call *c)
{
	switch (c->kind) {
	case FRONT_SUBMIT:
		start_submit(c);
		break;
	case FRONT_STATE:
		start_state(c);
		break;
	case FRONT_CANCEL:
		start_cancel(c);
		break;
	case FRONT_KIND_COUNT:
		break;
	}
}

void front_resume(struct front_call *c)
{
	switch (c->kind) {
	case FRONT_SUBMIT:
		send_submit(c);
		break;
	case FRONT_STATE:
		read_row(c, on_state_row);
		break;
	case FRONT_CANCEL:
		read_row(c, on_cancel_row);
		break;
	case FRONT_KIND_COUNT:
		break;
	}
}
