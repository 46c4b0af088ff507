/**
 * DOC: schedd_gang - attempts: prepare all members, start all, or stop all
 *
 * No member is started before every member is prepared. After the first start
 * call the attempt continues until every member runs; if one cannot run, all
 * are stopped. A job gets a new attempt only after every member of the old one
 * has stopped, either because its backend server has confirmed that or because
 * its lease has expired.
 */
#include "schedd.h"

#include <string.h>

#define PREPARE_TIMEOUT_MS 2000 /* for all members to be prepared */
#define PREPARED_HOLD_MS 6000	/* the server then frees a prepared member that isn't started */
#define START_TIMEOUT_MS 5000	/* for all members to run; less than PREPARED_HOLD_MS */
#define CALL_TIMEOUT_MS 1000
#define STOP_CALL_TIMEOUT_MS 3000 /* includes writing a checkpoint */
#define CALL_RETRY_MS 200
#define ATTEMPTS_PER_EPOCH 100000
#define ABORT_BACKOFF_MS 250  /* before the next attempt; doubled for each abort in a row */
#define FAILED_ATTEMPTS_MAX 3 /* the job fails when this many of its attempts have failed */

static void member_call(struct member *m, enum backend_task_op op);

static void job_set_state(struct job *job, enum job_state state)
{
	job->state = state;
	sched_set_active(job, state != JOB_QUEUED && state != JOB_ENDED);
	sched_request_step(job->s);
}

static bool all_members_in_state(const struct job *job, enum member_state state)
{
	for (unsigned int i = 0; i < job->member_count; i++)
		if (job->members[i].state != state)
			return false;
	return true;
}

static void members_clear(struct job *job)
{
	for (unsigned int i = 0; i < job->member_count; i++)
		job->members[i].server->job_count--;
	job->member_count = 0;
	TALLOC_FREE(job->members);
}

void gang_members_set(struct job *job, const struct policy_place *places, unsigned int count)
{
	members_clear(job);
	job->members = talloc_zero_array(job, struct member, count);
	for (unsigned int i = 0; i < count; i++) {
		struct member *m = &job->members[job->member_count];

		m->server = g_hash_table_lookup(job->s->servers, places[i].server);
		if (!m->server)
			continue;
		m->job = job;
		m->tasks = places[i].tasks;
		m->server->job_count++;
		job->member_count++;
	}
}

/* stored by the backend server with a task; a rebuild restores the job's members from it */
static json_t *member_record(const struct job *job)
{
	json_t *servers = json_array();
	json_t *tasks = json_array();
	const json_t *payload = json_object_get(job->spec, "payload");

	for (unsigned int i = 0; i < job->member_count; i++) {
		json_array_append_new(servers, json_string(job->members[i].server->id));
		json_array_append_new(tasks, json_integer(job->members[i].tasks));
	}
	return json_pack("{so so sI sO sI sb}", "servers", servers, "tasks", tasks, "gang",
			 (json_int_t)base_json_int(job->spec, "tasks", 1), "workspace",
			 json_object_get(job->spec, "workspace"), "work_ms",
			 (json_int_t)base_json_int(payload, "work_ms",
						   base_json_int(job->spec, "run_ms", 1000)),
			 "fail", base_json_bool(payload, "fail", false));
}

/* ---- calls to backend servers ---- */

struct member_op {
	struct schedd *s;
	char *job_id;
	int64_t attempt;
	int64_t epoch;
	unsigned int index;
	enum backend_task_op op;
	struct trace_span span;
};

/* the member that a call was for, or NULL when the attempt or the epoch has changed */
static struct member *op_member(const struct member_op *op)
{
	struct job *job = g_hash_table_lookup(op->s->jobs, op->job_id);

	if (!job || op->epoch != op->s->epoch || job->attempt != op->attempt ||
	    op->index >= job->member_count)
		return NULL;
	return &job->members[op->index];
}

static void apply_member_state(struct member *m, enum backend_state state, int64_t progress_ms)
{
	m->progress_ms = progress_ms;
	switch (state) {
	case BACKEND_PREPARED:
		m->state = MEMBER_PREPARED;
		break;
	case BACKEND_RUNNING:
		if (m->state != MEMBER_RUNNING)
			m->running_at = base_now_ns();
		m->state = MEMBER_RUNNING;
		break;
	case BACKEND_DONE:
		m->state = MEMBER_DONE;
		break;
	case BACKEND_FAILED:
		m->state = MEMBER_FAILED;
		break;
	case BACKEND_STOPPED:
	case BACKEND_CANCELLED:
		m->state = MEMBER_GONE;
		break;
	case BACKEND_ABSENT:
	case BACKEND_STOPPING:
		break;
	}
}

/* a backend server that rejects a call reserves nothing for the member; the attempt is aborted */
static void handle_refusal(struct member *m, enum backend_refusal refusal)
{
	struct schedd *s = m->job->s;

	if (refusal == BACKEND_REFUSED_STALE) {
		sched_count(s, SCHED_STALE);
		lead_step_down(s, "a backend server has seen a higher epoch");
		return;
	}
	if (refusal == BACKEND_REFUSED_LEAVING)
		cluster_note_set(s->cluster, m->server->id, NOTE_LEAVING);
	m->state = MEMBER_GONE;
	gang_stop(m->job, STOP_ABORT);
}

static void on_member_answer(const struct backend_reply *reply, void *data)
{
	struct member_op *op = data;
	struct member *m = op_member(op);
	enum backend_task_op kind = op->op;

	trace_span_end(&op->span,
		       kind == BACKEND_TASK_PREPARE  ? "prepare"
		       : kind == BACKEND_TASK_START  ? "start"
		       : kind == BACKEND_TASK_FORGET ? "forget"
						     : "stop",
		       m ? m->server->id : "");
	talloc_free(op);
	if (!m)
		return;
	m->is_call_pending = false;
	m->retry_at = base_deadline_in(CALL_RETRY_MS);
	if (reply->type == BACKEND_STATE)
		apply_member_state(m, reply->state, base_json_int(reply->doc, "progress_ms", 0));
	else if (reply->type == BACKEND_REFUSED)
		handle_refusal(m, reply->refusal);
	else if (kind == BACKEND_TASK_PREPARE)
		gang_stop(m->job, STOP_ABORT);
	/* gang_step() repeats a start or stop that got no answer */
	if (m->job)
		sched_request_step(m->job->s);
}

/*
 * After the reclaim deadline a preempted job is stopped without a checkpoint, so that
 * the owner of the capacity need not wait longer.
 */
static bool may_checkpoint(const struct job *job)
{
	return job->stop_reason == STOP_PREEMPT && base_now_ns() < job->step_deadline &&
	       base_json_bool(job->spec, "checkpointable", false);
}

static json_t *member_args(const struct member *m, enum backend_task_op op)
{
	const struct job *job = m->job;
	int64_t a = base_json_int(job->spec, "accelerators", 1);
	json_t *args = json_pack("{sI ss sI sI}", "epoch", (json_int_t)job->s->epoch, "job",
				 job->id, "attempt", (json_int_t)job->attempt, "lease_ms",
				 (json_int_t)job->s->settings->lease_ms);

	if (op == BACKEND_TASK_PREPARE) {
		json_object_set_new(args, "tasks", json_integer(m->tasks));
		json_object_set_new(args, "accelerators", json_integer(m->tasks * a));
		json_object_set_new(args, "hold_ms", json_integer(PREPARED_HOLD_MS));
		json_object_set_new(args, "from_ms", json_integer(job->checkpoint_ms));
		json_object_set_new(args, "record", member_record(job));
	} else if (op == BACKEND_TASK_STOP) {
		json_object_set_new(args, "checkpoint", json_boolean(may_checkpoint(job)));
	}
	return args;
}

static void member_call(struct member *m, enum backend_task_op kind)
{
	struct job *job = m->job;
	struct member_op *op = talloc_zero(job->s, struct member_op);
	struct backend_target target = sched_backend_target(job->s, m->server);
	char parent[TRACE_PARENT_LEN + 1];
	char own[TRACE_PARENT_LEN + 1];

	trace_format_parent(&job->span, own);
	op->span = trace_span_start(own);
	trace_format_parent(&op->span, parent);
	target.traceparent = parent;
	op->s = job->s;
	op->job_id = talloc_strdup(op, job->id);
	op->attempt = job->attempt;
	op->epoch = job->s->epoch;
	op->index = (unsigned int)(m - job->members);
	op->op = kind;
	m->is_call_pending = true;
	backend_task_call(&target, kind, member_args(m, kind), m->server->unanswered_since != 0,
			  base_deadline_in(kind == BACKEND_TASK_STOP ? STOP_CALL_TIMEOUT_MS
								     : CALL_TIMEOUT_MS),
			  on_member_answer, op);
}

/* ---- the attempt ---- */

static void prepare_all(struct job *job)
{
	job->step_deadline = base_deadline_in(PREPARE_TIMEOUT_MS);
	job_set_state(job, JOB_PREPARING);
	for (unsigned int i = 0; i < job->member_count; i++)
		member_call(&job->members[i], BACKEND_TASK_PREPARE);
}

void gang_start(struct job *job)
{
	const struct policy_place *places;
	unsigned int count;

	places = policy_job_places(job->policy_job, &count);
	gang_members_set(job, places, count);
	/* attempt numbers contain the epoch, so that no later scheduler uses one again */
	job->attempt = MAX(job->attempt, job->s->epoch * ATTEMPTS_PER_EPOCH) + 1;
	job->stop_reason = STOP_NONE;
	if (base_json_bool(job->spec, "idempotent", false)) {
		prepare_all(job);
		return;
	}
	/* a job that is not idempotent: its row shows the attempt before any task starts */
	job_set_state(job, JOB_WRITING_ATTEMPT);
	jobs_write_attempt(job);
}

void gang_attempt_written(struct job *job, bool ok)
{
	if (job->state != JOB_WRITING_ATTEMPT)
		return;
	if (ok && !job->is_cancel_requested) {
		prepare_all(job);
		return;
	}
	for (unsigned int i = 0; i < job->member_count; i++)
		job->members[i].state = MEMBER_GONE;
	job->stop_reason = job->is_cancel_requested ? STOP_CANCEL : STOP_ABORT;
	job_set_state(job, JOB_STOPPING);
}

static void start_all(struct job *job)
{
	job->step_deadline = base_deadline_in(START_TIMEOUT_MS);
	job->has_started = true;
	job->started_at = base_now_ns();
	sched_count(job->s, SCHED_STARTS);
	job_set_state(job, JOB_STARTING);
	for (unsigned int i = 0; i < job->member_count; i++)
		member_call(&job->members[i], BACKEND_TASK_START);
}

void gang_stop(struct job *job, enum stop_reason reason)
{
	if (job->state == JOB_STOPPING) {
		if (reason == STOP_CANCEL)
			job->stop_reason = STOP_CANCEL;
		return;
	}
	if (job->state == JOB_ENDED || job->state == JOB_QUEUED || job->state == JOB_ADMITTING)
		return;
	if (reason == STOP_ABORT) {
		sched_count(job->s, SCHED_ABORTS);
		/* back off, so that a server that rejects calls isn't called again at once */
		job->hold_until = base_deadline_in((int64_t)ABORT_BACKOFF_MS
						   << MIN(job->consecutive_aborts, 4U));
		job->consecutive_aborts++;
	}
	if (reason == STOP_PREEMPT)
		sched_count(job->s, SCHED_PREEMPTIONS);
	job->stop_reason = reason;
	job->step_deadline = base_deadline_in(job->s->settings->reclaim_ms);
	for (unsigned int i = 0; i < job->member_count; i++)
		job->members[i].retry_at = 0;
	job_set_state(job, JOB_STOPPING);
}

/* ---- after the stop ---- */

/* the row holds the outcome, so the backend servers may delete theirs */
void gang_forget_attempt(struct job *job)
{
	for (unsigned int i = 0; i < job->member_count; i++)
		if (job->members[i].state != MEMBER_GONE)
			member_call(&job->members[i], BACKEND_TASK_FORGET);
	members_clear(job);
}

static void requeue(struct job *job)
{
	members_clear(job);
	if (job->checkpoint_ms)
		jobs_save_checkpoint(job);
	job_set_state(job, JOB_QUEUED);
	policy_job_requeue(job->s->policy, job->policy_job, sched_now_ms());
}

static int64_t min_progress_ms(const struct job *job)
{
	int64_t least = INT64_MAX;

	for (unsigned int i = 0; i < job->member_count; i++)
		least = MIN(least, job->members[i].progress_ms);
	return least == INT64_MAX ? 0 : least;
}

/* every member of the attempt has stopped */
static void finish_stop(struct job *job)
{
	bool may_repeat = base_json_bool(job->spec, "idempotent", false) || !job->has_started;

	switch (job->stop_reason) {
	case STOP_CANCEL:
		jobs_end_cancelled(job);
		return;
	case STOP_TIME_LIMIT:
		jobs_end(job, OUTCOME_FAILED, "ran longer than its kind allows");
		return;
	case STOP_PREEMPT:
		/* a member that wrote no checkpoint reports 0; newer work is lost */
		job->checkpoint_ms = MAX(job->checkpoint_ms, min_progress_ms(job));
		may_repeat = true; /* resumed from its checkpoint */
		break;
	case STOP_MEMBER_FAILED:
		if (++job->failures >= FAILED_ATTEMPTS_MAX || !may_repeat) {
			jobs_end(job, OUTCOME_FAILED,
				 "its tasks failed on several backend servers");
			return;
		}
		break;
	case STOP_MEMBER_LOST:
		may_repeat = may_repeat || job->checkpoint_ms > 0;
		break;
	case STOP_ABORT:
	case STOP_NONE:
		break;
	}
	if (job->is_cancel_requested)
		jobs_end_cancelled(job);
	else if (!may_repeat)
		jobs_end(job, OUTCOME_FAILED, "stopped in part; it must not run twice");
	else
		requeue(job);
}

static void finish_successful(struct job *job);

static void step_stopping(struct job *job, int64_t now)
{
	bool are_all_stopped = true;

	for (unsigned int i = 0; i < job->member_count; i++) {
		struct member *m = &job->members[i];

		if (m->state == MEMBER_GONE || m->state == MEMBER_DONE || m->state == MEMBER_FAILED)
			continue;
		if (m->server->is_expired) {
			m->state = MEMBER_GONE;
			continue;
		}
		are_all_stopped = false;
		if (!m->is_call_pending && now >= m->retry_at)
			member_call(m, BACKEND_TASK_STOP);
	}
	if (all_members_in_state(job, MEMBER_DONE) && job->member_count)
		finish_successful(job); /* all tasks ended before the stop arrived */
	else if (are_all_stopped && now >= job->hold_until)
		finish_stop(job);
}

/* ---- steps ---- */

static bool has_member(const struct job *job, enum member_state state)
{
	for (unsigned int i = 0; i < job->member_count; i++)
		if (job->members[i].state == state)
			return true;
	return false;
}

static void record_failed_members(struct job *job)
{
	for (unsigned int i = 0; i < job->member_count; i++)
		if (job->members[i].state == MEMBER_FAILED)
			servers_record_failure(job->s, job->members[i].server, job->id);
}

static void finish_successful(struct job *job)
{
	int64_t ran_ms = (base_now_ns() - job->started_at) / BASE_NS_PER_MS;

	for (unsigned int i = 0; i < job->member_count; i++)
		servers_record_success(job->members[i].server);
	policy_record_run_time(job->s->policy, base_json_str(job->spec, "kind", ""),
			       base_json_int(job->spec, "run_ms", 1) - job->checkpoint_ms, ran_ms);
	jobs_end(job, OUTCOME_DONE, "");
}

static void step_running(struct job *job, int64_t now)
{
	job->consecutive_aborts = 0;
	if (all_members_in_state(job, MEMBER_DONE)) {
		finish_successful(job);
	} else if (has_member(job, MEMBER_FAILED)) {
		record_failed_members(job);
		gang_stop(job, STOP_MEMBER_FAILED);
	} else if (has_member(job, MEMBER_GONE)) {
		sched_count(job->s, SCHED_MEMBERS_LOST);
		gang_stop(job, STOP_MEMBER_LOST);
	} else if (now - job->started_at >
		   base_json_int(job->spec, "max_run_ms", INT64_MAX / BASE_NS_PER_MS) *
			   BASE_NS_PER_MS) {
		gang_stop(job, STOP_TIME_LIMIT);
	}
}

static void step_starting(struct job *job, int64_t now)
{
	bool all_started = true;

	for (unsigned int i = 0; i < job->member_count; i++) {
		struct member *m = &job->members[i];

		if (m->state != MEMBER_PREPARED)
			continue;
		all_started = false;
		if (!m->is_call_pending && now >= m->retry_at)
			member_call(m, BACKEND_TASK_START);
	}
	if (all_started)
		job_set_state(job, JOB_RUNNING);
	else if (now > job->step_deadline || has_member(job, MEMBER_GONE))
		gang_stop(job, STOP_ABORT);
}

void gang_step(struct job *job, int64_t now)
{
	switch (job->state) {
	case JOB_PREPARING:
		if (job->is_cancel_requested)
			gang_stop(job, STOP_CANCEL);
		else if (all_members_in_state(job, MEMBER_PREPARED))
			start_all(job);
		else if (now > job->step_deadline)
			gang_stop(job, STOP_ABORT);
		break;
	case JOB_STARTING:
		step_starting(job, now);
		break;
	case JOB_RUNNING:
		step_running(job, now);
		break;
	case JOB_STOPPING:
		step_stopping(job, now);
		break;
	case JOB_ADMITTING:
	case JOB_QUEUED:
	case JOB_WRITING_ATTEMPT:
	case JOB_ENDED:
		break;
	}
}

/* ---- what backend servers list ---- */

bool gang_apply_listed_task(struct schedd *s, struct backend_server *b, const json_t *task)
{
	struct job *job = g_hash_table_lookup(s->jobs, base_json_str(task, "job", ""));
	enum backend_state state = backend_state_parse(base_json_str(task, "state", ""));

	if (job && job->state == JOB_ENDED && !job->is_end_written)
		return true; /* keep the task: its end is recorded nowhere else */
	if (!job || job->state == JOB_ENDED || base_json_int(task, "attempt", 0) != job->attempt)
		return false;
	for (unsigned int i = 0; i < job->member_count; i++) {
		struct member *m = &job->members[i];

		/* the answer of a pending call is newer than this list */
		if (m->server != b)
			continue;
		if (!m->is_call_pending &&
		    (m->state == MEMBER_RUNNING || m->state == MEMBER_PREPARED))
			apply_member_state(m, state, base_json_int(task, "progress_ms", 0));
		return true;
	}
	return false;
}

void gang_mark_member_gone(struct member *m)
{
	m->state = MEMBER_GONE;
	sched_request_step(m->job->s);
}

void gang_server_expired(struct schedd *s, struct backend_server *b)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job *job = value;

		for (unsigned int i = 0; i < job->member_count; i++)
			if (job->members[i].server == b && job->members[i].state != MEMBER_DONE &&
			    job->members[i].state != MEMBER_FAILED)
				gang_mark_member_gone(&job->members[i]);
	}
}

void gang_adopt(struct job *job, const struct policy_place *places, unsigned int count)
{
	bool any_started = false;
	bool any_prepared = false;

	for (unsigned int i = 0; i < job->member_count; i++) {
		any_started = any_started || job->members[i].state == MEMBER_RUNNING ||
			      job->members[i].state == MEMBER_DONE ||
			      job->members[i].state == MEMBER_FAILED;
		any_prepared = any_prepared || job->members[i].state == MEMBER_PREPARED;
	}
	policy_job_adopt(job->s->policy, job->policy_job, places, count, sched_now_ms());
	job->has_started = job->has_started || any_started;
	job->started_at = base_now_ns() - min_progress_ms(job) * BASE_NS_PER_MS;
	job->step_deadline = base_deadline_in(START_TIMEOUT_MS);
	/* one running member shows that the earlier scheduler had begun to start them all */
	job_set_state(job, any_started && any_prepared ? JOB_STARTING : JOB_RUNNING);
	if (!any_started)
		gang_stop(job, STOP_ABORT);
}
