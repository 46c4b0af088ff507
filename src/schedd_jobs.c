/**
 * DOC: schedd_jobs - admission of jobs, their rows and their outcomes
 *
 * Every write of a job's row is conditional on the version of the epoch row, so
 * that a scheduler that was replaced without noticing can neither admit nor end
 * a job.
 */
#include "schedd.h"

#include <string.h>

/* new jobs are rejected once JOBS_IN_PROGRESS_MAX + ENDED_JOBS_MAX jobs are in memory */
#define JOBS_IN_PROGRESS_MAX 20000
#define ENDED_JOBS_MAX 4000 /* kept in memory; older ones are read from the table */
#define ROW_CALL_TIMEOUT_MS 1500
#define WRITE_RETRY_MS 1000

static char *row_key(const struct job *job)
{
	return talloc_asprintf((void *)job, "%s/%s", job->s->settings->failure_domain, job->id);
}

static struct platform_write epoch_check(const struct schedd *s)
{
	struct platform_write check = {TABLE_EPOCH, s->settings->failure_domain,
				       s->epoch_row_version, NULL, true};

	return check;
}

struct policy_spec jobs_policy_spec(struct schedd *s, const char *id, const json_t *spec)
{
	struct policy_spec out = {
		.id = id,
		.workspace = base_json_str(spec, "workspace", ""),
		.kind = base_json_str(spec, "kind", ""),
		.cls = base_class_parse(base_json_str(spec, "class", "normal")),
		.tasks = base_json_int(spec, "tasks", 1),
		.accelerators = base_json_int(spec, "accelerators", 1),
		.one_rack = base_json_bool(spec, "one_rack", false),
		.checkpointable = base_json_bool(spec, "checkpointable", false),
		.run_ms = base_json_int(spec, "run_ms", 1000),
		.share_percent = base_json_int(spec, "share_percent", 100),
	};

	return out;
}

/* ---- answers ---- */

static const char *state_name(enum job_state state)
{
	static const char *const names[] = {"admitting", "queued",  "starting", "starting",
					    "starting",	 "running", "stopping", "ended"};

	return names[state];
}

/*
 * Reports "not run" only once the end is written: a scheduler that was replaced
 * without noticing can't know, and its write will fail.
 */
static enum outcome reported_outcome(const struct job *job)
{
	if (job->outcome == OUTCOME_NOT_RUN && !job->is_end_written)
		return OUTCOME_NONE;
	return job->outcome;
}

json_t *jobs_status(struct job *job)
{
	enum policy_wait wait = job->policy_job && job->state == JOB_QUEUED
					? policy_job_wait(job->policy_job)
					: POLICY_WAIT_NONE;

	return json_pack("{ss ss ss ss ss sI sI}", "id", job->id, "state", state_name(job->state),
			 "outcome", base_outcome_name(reported_outcome(job)), "reason", job->reason,
			 "wait", job->state == JOB_QUEUED ? policy_wait_text(wait) : "", "attempt",
			 (json_int_t)job->attempt, "checkpoint_ms", (json_int_t)job->checkpoint_ms);
}

static void reply(struct onc_request *req, enum cl_sched_status status, json_t *state)
{
	cl_job_res res = {.status = status};
	char *text = base_json_text(NULL, state);

	res.state = text;
	onc_reply(req, &res);
	talloc_free(text);
	json_decref(state);
}

static void reply_refused(struct onc_request *req, int status, const char *field,
			  const char *reason)
{
	reply(req, CL_SCHED_REFUSED,
	      json_pack("{ss ss ss si}", "outcome", "not_run", "field", field, "reason", reason,
			"status", status));
}

/* ---- life of a job in memory ---- */

static int job_destructor(struct job *job)
{
	json_decref(job->spec);
	return 0;
}

static struct job *job_new(struct schedd *s, const char *id, json_t *spec)
{
	struct job *job = talloc_zero(s, struct job);

	job->s = s;
	job->id = talloc_strdup(job, id);
	job->spec = json_incref(spec);
	job->reason = "";
	job->admitted_at = base_now_ns();
	talloc_set_destructor(job, job_destructor);
	g_hash_table_insert(s->jobs, job->id, job);
	return job;
}

static void job_drop(struct job *job)
{
	struct schedd *s = job->s;

	sched_set_active(job, false);
	g_hash_table_remove(s->jobs, job->id);
	talloc_free(job);
}

struct job *jobs_load(struct schedd *s, const char *id, json_t *row, int64_t version)
{
	struct job *job = job_new(s, id, json_object_get(row, "spec"));
	int64_t age_us = base_wall_us() - base_json_int(row, "admitted_us", base_wall_us());

	job->state = JOB_QUEUED;
	job->is_loaded = true;
	job->is_row_written = true;
	job->row_version = version;
	job->attempt = base_json_int(row, "attempt", 0);
	job->checkpoint_ms = base_json_int(row, "checkpoint_ms", 0);
	job->admitted_at -= MAX(age_us, 0) * BASE_NS_PER_US;
	job->span = trace_span_start(base_json_str(row, "traceparent", NULL));
	return job;
}

void jobs_enqueue(struct job *job)
{
	struct policy_spec spec = jobs_policy_spec(job->s, job->id, job->spec);

	job->state = JOB_QUEUED;
	job->policy_job =
		policy_job_add(job->s->policy, &spec, job->admitted_at / BASE_NS_PER_MS, job);
	sched_request_step(job->s);
}

static void drop_oldest_ended(struct schedd *s)
{
	while (s->ended_ids.length > ENDED_JOBS_MAX) {
		char *id = g_queue_pop_head(&s->ended_ids);
		struct job *job = g_hash_table_lookup(s->jobs, id);

		if (job && job->state == JOB_ENDED && job->is_end_written)
			job_drop(job);
		g_free(id);
	}
}

static void job_free(gpointer key G_GNUC_UNUSED, gpointer value, gpointer data G_GNUC_UNUSED)
{
	struct job *job = value;

	if (job->submit_request) {
		cl_job_res res = {.status = CL_SCHED_UNSURE, .state = (char *)"{}"};

		onc_reply(job->submit_request, &res);
	}
	talloc_free(job);
}

/* the next scheduler rebuilds the jobs from the rows and the running tasks */
void jobs_drop_all(struct schedd *s)
{
	g_hash_table_foreach(s->jobs, job_free, NULL);
	g_hash_table_remove_all(s->jobs);
	g_hash_table_remove_all(s->active_jobs);
	while (!g_queue_is_empty(&s->ended_ids))
		g_free(g_queue_pop_head(&s->ended_ids));
	TALLOC_FREE(s->policy);
}

/* ---- rows ---- */

/* a pending read or write of a row; its job may be freed before the answer */
struct row_op {
	struct schedd *s;
	char *id;
	int64_t epoch;
};

static struct row_op *row_op_new(struct job *job)
{
	struct row_op *op = talloc_zero(job->s, struct row_op);

	op->s = job->s;
	op->id = talloc_strdup(op, job->id);
	op->epoch = job->s->epoch;
	job->is_write_pending = true;
	return op;
}

static struct job *row_op_end(struct row_op *op)
{
	struct job *job = NULL;

	if (op->epoch == op->s->epoch && op->s->role == ROLE_ACTIVE)
		job = g_hash_table_lookup(op->s->jobs, op->id);
	talloc_free(op);
	if (job) {
		job->is_write_pending = false;
		job->retry_write_at = base_deadline_in(WRITE_RETRY_MS);
	}
	return job;
}

static json_t *row_value(const struct job *job)
{
	char parent[TRACE_PARENT_LEN + 1];

	trace_format_parent(&job->span, parent);
	return json_pack(
		"{sO sI sI sI ss}", "spec", job->spec, "attempt", (json_int_t)job->attempt,
		"checkpoint_ms", (json_int_t)job->checkpoint_ms, "admitted_us",
		(json_int_t)(base_wall_us() - (base_now_ns() - job->admitted_at) / BASE_NS_PER_US),
		"traceparent", parent);
}

/* ---- admission ---- */

static void finish_admission(struct job *job, int64_t row_version)
{
	job->is_row_written = true;
	job->row_version = row_version;
	sched_count(job->s, SCHED_ADMITTED);
	sched_set_active(job, false);
	if (job->is_cancel_requested) {
		job->state = JOB_QUEUED;
		jobs_end_cancelled(job);
	} else {
		jobs_enqueue(job);
	}
	if (job->submit_request) {
		struct onc_request *req = job->submit_request;

		job->submit_request = NULL;
		reply(req, CL_SCHED_OK, jobs_status(job));
	}
}

/*
 * A read after an admission has met a conflict: the job is in the queue already,
 * has ended, or this scheduler was replaced.
 */
struct conflict_read {
	struct row_op *op;
	bool is_ended_table;
};

static void on_conflicting_row(enum platform_result result, int64_t version, json_t *value,
			       void *data)
{
	struct conflict_read *cr = data;
	struct schedd *s = cr->op->s;
	bool is_ended_table = cr->is_ended_table;
	struct job *job = row_op_end(cr->op);

	talloc_free(cr);
	if (!job)
		return;
	if (result != PLATFORM_OK)
		return; /* jobs_retry_write() repeats the write */
	if (value && is_ended_table) {
		job->state = JOB_ENDED;
		job->is_end_written = true;
		job->outcome = base_outcome_parse(base_json_str(value, "outcome", "unknown"));
		job->reason = "ended earlier";
		sched_set_active(job, false);
		if (job->submit_request)
			reply(job->submit_request, CL_SCHED_OK, jobs_status(job));
		job->submit_request = NULL;
		g_queue_push_tail(&s->ended_ids, g_strdup(job->id));
	} else if (value) {
		finish_admission(job, version);
	} else if (!is_ended_table) {
		struct conflict_read *next = talloc_zero(s, struct conflict_read);
		char *key = row_key(job);

		next->op = row_op_new(job);
		next->is_ended_table = true;
		platform_read(s->platform, TABLE_ENDED, key, base_deadline_in(ROW_CALL_TIMEOUT_MS),
			      on_conflicting_row, next);
		talloc_free(key);
	} else {
		lead_step_down(s, "the epoch row has changed");
	}
}

static void read_conflicting_row(struct job *job)
{
	struct conflict_read *cr = talloc_zero(job->s, struct conflict_read);
	char *key = row_key(job);

	cr->op = row_op_new(job);
	platform_read(job->s->platform, TABLE_QUEUE, key, base_deadline_in(ROW_CALL_TIMEOUT_MS),
		      on_conflicting_row, cr);
	talloc_free(key);
}

static void on_epoch_read(enum platform_result result, int64_t version, json_t *value G_GNUC_UNUSED,
			  void *data)
{
	struct job *job = row_op_end(data);

	if (!job || result != PLATFORM_OK)
		return; /* jobs_retry_write() repeats the write */
	if (version != job->s->epoch_row_version)
		lead_step_down(job->s, "the epoch row has changed");
	else
		read_conflicting_row(job);
}

/*
 * A row found after a conflict may have been written by another scheduler, so the
 * epoch row is read first.
 */
static void check_epoch(struct job *job)
{
	platform_read(job->s->platform, TABLE_EPOCH, job->s->settings->failure_domain,
		      base_deadline_in(ROW_CALL_TIMEOUT_MS), on_epoch_read, row_op_new(job));
}

static void on_admission_written(enum platform_result result, const int64_t *versions, void *data)
{
	struct row_op *op = data;
	struct job *job = row_op_end(op);

	if (!job)
		return;
	switch (result) {
	case PLATFORM_OK:
		finish_admission(job, versions[0]);
		break;
	case PLATFORM_CONFLICT:
		check_epoch(job);
		break;
	case PLATFORM_NOT_APPLIED:
		if (job->submit_request)
			reply_refused(job->submit_request, 503, "platform",
				      "the table service is away, so the job cannot be kept");
		job->submit_request = NULL;
		sched_count(job->s, SCHED_REFUSED);
		job_drop(job);
		break;
	case PLATFORM_NO_ANSWER:
		/* the row may have been written: jobs_retry_write() finds out */
		if (job->submit_request)
			reply(job->submit_request, CL_SCHED_UNSURE, json_object());
		job->submit_request = NULL;
		break;
	}
}

static void write_admission(struct job *job)
{
	char *key = row_key(job);
	struct platform_write writes[3] = {
		{TABLE_QUEUE, key, PLATFORM_EXPECT_ABSENT, NULL, false},
		{TABLE_ENDED, key, PLATFORM_EXPECT_ABSENT, NULL, true},
		epoch_check(job->s),
	};

	writes[0].value = row_value(job);
	platform_tx(job->s->platform, writes, 3,
		    MIN(job->submit_deadline, base_deadline_in(ROW_CALL_TIMEOUT_MS)),
		    on_admission_written, row_op_new(job));
	json_decref(writes[0].value);
	talloc_free(key);
}

void jobs_submit(struct schedd *s, struct onc_request *req)
{
	const cl_job_args *args = req->args;
	struct job *job = g_hash_table_lookup(s->jobs, args->id);
	struct policy_spec spec;
	json_t *doc;

	if (job && job->state != JOB_ADMITTING) {
		reply(req, CL_SCHED_OK, jobs_status(job));
		return;
	}
	if (job) {
		reply(req, CL_SCHED_UNSURE, json_object());
		return;
	}
	doc = json_loads(args->spec, 0, NULL);
	if (!doc) {
		reply_refused(req, 400, "spec", "expected a JSON object");
		return;
	}
	spec = jobs_policy_spec(s, args->id, doc);
	if (g_hash_table_size(s->jobs) >= JOBS_IN_PROGRESS_MAX + ENDED_JOBS_MAX) {
		reply_refused(req, 503, "queue", "the queue of this failure domain is full");
	} else if (!policy_is_feasible(s->policy, &spec)) {
		sched_count(s, SCHED_REFUSED);
		reply_refused(
			req, 422, "tasks",
			"a gang of this size can never start here: it exceeds the accelerators "
			"open to this workspace, or its quota");
	} else {
		job = job_new(s, args->id, doc);
		job->state = JOB_ADMITTING;
		job->span = trace_span_start(args->traceparent);
		job->submit_request = req;
		job->submit_deadline = base_deadline_in(args->remaining_ms * 8 / 10);
		sched_set_active(job, true);
		write_admission(job);
	}
	json_decref(doc);
}

/* ---- attempts of jobs that are not idempotent; checkpoints ---- */

static void on_attempt_written(enum platform_result result, const int64_t *versions, void *data)
{
	struct job *job = row_op_end(data);

	if (!job)
		return;
	if (result == PLATFORM_OK)
		job->row_version = versions[0];
	if (result == PLATFORM_CONFLICT)
		lead_step_down(job->s, "a job's row or the epoch row has changed");
	else
		gang_attempt_written(job, result == PLATFORM_OK);
}

static void write_row(struct job *job, platform_tx_done *done)
{
	char *key = row_key(job);
	struct platform_write writes[2] = {
		{TABLE_QUEUE, key, PLATFORM_EXPECT_ANY, NULL, false},
		epoch_check(job->s),
	};

	writes[0].value = row_value(job);
	platform_tx(job->s->platform, writes, 2, base_deadline_in(ROW_CALL_TIMEOUT_MS), done,
		    row_op_new(job));
	json_decref(writes[0].value);
	talloc_free(key);
}

void jobs_write_attempt(struct job *job)
{
	write_row(job, on_attempt_written);
}

static void on_checkpoint_saved(enum platform_result result G_GNUC_UNUSED,
				const int64_t *versions G_GNUC_UNUSED, void *data)
{
	row_op_end(data);
}

void jobs_save_checkpoint(struct job *job)
{
	write_row(job, on_checkpoint_saved);
}

/* ---- end ---- */

static void on_end_written(enum platform_result result, const int64_t *versions G_GNUC_UNUSED,
			   void *data)
{
	struct job *job = row_op_end(data);

	if (!job)
		return;
	if (result == PLATFORM_OK) {
		job->is_end_written = true;
		sched_set_active(job, false);
		gang_forget_attempt(job);
		g_queue_push_tail(&job->s->ended_ids, g_strdup(job->id));
		drop_oldest_ended(job->s);
	} else if (result == PLATFORM_CONFLICT) {
		lead_step_down(job->s, "the epoch row has changed");
	}
}

static void write_end(struct job *job)
{
	char *key = row_key(job);
	struct platform_write writes[3] = {
		{TABLE_ENDED, key, PLATFORM_EXPECT_ANY, NULL, false},
		{TABLE_QUEUE, key, PLATFORM_EXPECT_ANY, NULL, false},
		epoch_check(job->s),
	};

	writes[0].value = json_pack("{ss ss sI sI}", "outcome", base_outcome_name(job->outcome),
				    "reason", job->reason, "attempt", (json_int_t)job->attempt,
				    "ended_us", (json_int_t)base_wall_us());
	platform_tx(job->s->platform, writes, 3, base_deadline_in(ROW_CALL_TIMEOUT_MS),
		    on_end_written, row_op_new(job));
	json_decref(writes[0].value);
	talloc_free(key);
}

void jobs_end(struct job *job, enum outcome outcome, const char *reason)
{
	static const enum schedd_counter counters[] = {SCHED_UNKNOWN, SCHED_DONE, SCHED_FAILED,
						       SCHED_NOT_RUN, SCHED_UNKNOWN};

	if (job->state == JOB_ENDED)
		return;
	job->state = JOB_ENDED;
	job->outcome = outcome;
	job->reason = reason;
	job->ended_at = base_now_ns();
	sched_count(job->s, counters[outcome]);
	trace_span_end(&job->span, "scheduler", base_outcome_name(outcome));
	if (job->policy_job)
		policy_job_remove(job->s->policy, job->policy_job, sched_now_ms());
	job->policy_job = NULL;
	sched_set_active(job, true); /* until the end is written */
	if (!job->is_write_pending)
		write_end(job);
	sched_request_step(job->s);
}

/* an earlier scheduler may have started a loaded job without recording that in its row */
void jobs_end_cancelled(struct job *job)
{
	if (job->has_started)
		jobs_end(job, OUTCOME_FAILED, "cancelled");
	else if (job->is_loaded)
		jobs_end(job, OUTCOME_UNKNOWN,
			 "cancelled; an earlier scheduler may have started it");
	else
		jobs_end(job, OUTCOME_NOT_RUN, "cancelled");
}

void jobs_retry_write(struct job *job, int64_t now)
{
	if (job->is_write_pending || now < job->retry_write_at)
		return;
	if (job->state == JOB_ADMITTING) {
		job->submit_deadline = base_deadline_in(ROW_CALL_TIMEOUT_MS);
		write_admission(job);
	} else if (job->state == JOB_ENDED && !job->is_end_written) {
		write_end(job);
	}
}

/* ---- queries and cancellation ---- */

struct row_query {
	struct schedd *s;
	struct onc_request *req;
	char *id;
	char *key;
};

static void on_ended_read(enum platform_result result, int64_t version G_GNUC_UNUSED, json_t *value,
			  void *data)
{
	struct row_query *q = data;

	if (result != PLATFORM_OK)
		reply(q->req, CL_SCHED_UNSURE, json_object());
	else if (!value)
		reply(q->req, CL_SCHED_NOT_FOUND,
		      json_pack("{ss ss ss}", "id", q->id, "outcome", "not_run", "reason",
				"no such job was admitted"));
	else
		reply(q->req, CL_SCHED_OK,
		      json_pack("{ss ss ss ss}", "id", q->id, "state", "ended", "outcome",
				base_json_str(value, "outcome", "unknown"), "reason",
				base_json_str(value, "reason", "")));
	talloc_free(q);
}

static void on_queue_read(enum platform_result result, int64_t version G_GNUC_UNUSED, json_t *value,
			  void *data)
{
	struct row_query *q = data;

	if (result == PLATFORM_OK && !value) {
		platform_read(q->s->platform, TABLE_ENDED, q->key,
			      base_deadline_in(ROW_CALL_TIMEOUT_MS), on_ended_read, q);
		return;
	}
	/* no answer, or queued but not in memory: another scheduler has taken over */
	reply(q->req, CL_SCHED_UNSURE, json_object());
	talloc_free(q);
}

/*
 * A scheduler that was replaced without noticing doesn't know newer jobs, so the
 * table decides. The queue table is read first, because rows move from there to
 * the table of ended jobs.
 */
static void read_rows(struct schedd *s, struct onc_request *req, const char *id)
{
	struct row_query *q = talloc_zero(s, struct row_query);

	q->s = s;
	q->req = req;
	q->id = talloc_strdup(q, id);
	q->key = talloc_asprintf(q, "%s/%s", s->settings->failure_domain, id);
	platform_read(s->platform, TABLE_QUEUE, q->key, base_deadline_in(ROW_CALL_TIMEOUT_MS),
		      on_queue_read, q);
}

void jobs_state(struct schedd *s, struct onc_request *req)
{
	const cl_job_args *args = req->args;
	struct job *job = g_hash_table_lookup(s->jobs, args->id);

	if (job)
		reply(req, CL_SCHED_OK, jobs_status(job));
	else
		read_rows(s, req, args->id);
}

void jobs_cancel(struct schedd *s, struct onc_request *req)
{
	const cl_job_args *args = req->args;
	struct job *job = g_hash_table_lookup(s->jobs, args->id);

	if (!job) {
		read_rows(s, req, args->id);
		return;
	}
	job->is_cancel_requested = true;
	if (job->state == JOB_QUEUED)
		jobs_end_cancelled(job);
	else
		gang_stop(job, STOP_CANCEL);
	reply(req, CL_SCHED_OK, jobs_status(job));
}
