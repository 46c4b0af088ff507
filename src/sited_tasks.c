/*
 * Start and stop orders of tasks, and processing of the runs and ends that servers list.
 *
 * A start without an answer is sent again, because a server accepts the same
 * attempt only once. If no answer comes to that either, the attempt is stopped.
 * The stop also invalidates a start that arrives later, as long as the server is not started
 * again. The task then waits until the server no longer lists it or its lease has expired.
 */
#include "sited_lead.h"

#include <string.h>

#include "mtimer/mtimer.h"

/* The network round trip takes at most 3 ms; the remaining time is for slow servers. */
#define START_TIMEOUT_MS 400
#define START_SENDS_MAX 3
#define INVALID_START_RETRY_MS 5000 /* until a step is placed again after a server rejected it */
#define STOP_TIMEOUT_MS 400
#define STOP_RETRY_MS 150
/* A server that reports too little free capacity gets no new work for this long. */
#define CAPACITY_SUSPECT_MS 500
#define STALLED_GANGS_MAX 2 /* on a server where nothing else makes progress */
/* A server that did not answer an order gets no new work until it has been polled. */
#define UNANSWERED_SUSPECT_MS 1000

/* An order in flight; the term serial and the attempt identify a late answer. */
struct order {
	struct sited *d;
	uint64_t serial;
	struct fleet_server *sv;
	struct work_task *task; /* NULL for an orphan, a run that belongs to no task */
	uint32_t attempt;
	int64_t sent_at;
	unsigned int sends;
	char *name;
};

static void send_stop(struct order *o);
static void send_start(struct order *o);

static struct order *order_new(struct lead *l, struct fleet_server *sv, struct work_task *t)
{
	struct order *o = talloc_zero(l->d, struct order);

	o->d = l->d;
	o->serial = l->serial;
	o->sv = sv;
	o->task = t;
	o->attempt = t ? t->attempt : 0;
	lead_server_io(l, sv)->orders_in_flight++;
	return o;
}

static void order_free(struct order *o)
{
	struct lead *l = lead_current(o->d, o->serial);

	if (l)
		lead_server_io(l, o->sv)->orders_in_flight--;
	talloc_free(o);
}

/* The task is still on the server and attempt for which the order was sent. */
static bool is_current(const struct order *o)
{
	return o->task && o->task->server == o->sv && o->task->attempt == o->attempt &&
	       o->task->state != TASK_WAITING;
}

static void log_task_event(const char *event, const struct work_task *t,
			   const struct fleet_server *sv, const char *why)
{
	log_event(event, "{ss si si si sI ss ss ss sI sI sI sb}", "id", t->group->job->id,
		  "occurrence", (int)t->group->occurrence, "step", (int)t->group->step_index,
		  "task", (int)t->index, "attempt", (json_int_t)t->attempt, "state",
		  work_task_state_name(t->state), "server", sv ? sv->id : "", "why", why, "percent",
		  (json_int_t)t->percent, "ran_ms",
		  (json_int_t)(t->started_at ? sited_now_ms() - t->started_at : 0), "cores",
		  (json_int_t)(fleet_millicore_equivalent(&t->group->step->need) / 1000),
		  "checkpoints", t->group->step->checkpoints);
}

/* ---- release ---- */

void lead_task_release(struct lead *l, struct work_task *t, const char *why)
{
	struct work_group *g = t->group;
	bool was_placed = work_task_is_placed(t);

	if (!t->server)
		return;
	lead_interference_note_end(l, t);
	if (t->state == TASK_ENDING) {
		work_task_finish(t);
		lead_request_round(l);
		return;
	}
	log_task_event("task_released", t, t->server, why);
	work_task_release(t);
	/* A gang cannot continue without all its members. */
	if (g->step->is_gang && was_placed && !work_job_has_ended(g->job))
		lead_group_stop(l, g, "its gang lost a member");
	lead_request_round(l);
}

void lead_group_stop(struct lead *l, struct work_group *g, const char *why)
{
	for (unsigned int i = 0; i < g->count; i++)
		lead_task_stop(l, &g->task[i], why);
}

void lead_job_stop(struct lead *l, struct work_job *job, const char *why)
{
	for (guint i = 0; i < job->groups->len; i++)
		lead_group_stop(l, g_ptr_array_index(job->groups, i), why);
	lead_request_round(l);
}

/* ---- start ---- */

static void on_started(const struct order_result *r, void *data);

static void send_start(struct order *o)
{
	struct lead *l = lead_current(o->d, o->serial);
	struct work_task *t = o->task;
	struct lead_order_target to = {.sv = o->sv,
				       .deadline = base_deadline_in(START_TIMEOUT_MS),
				       .earlier_sends = o->sends++};
	struct order_start start = {.task = orders_task_name(o, t),
				    .attempt = t->attempt,
				    .payload = t->group->job->payload,
				    .snapshot = t->snapshot,
				    .lease_until = lead_server_start_lease(l, o->sv)};

	o->sent_at = sited_now_ms();
	if (!t->start_sent_at) {
		t->start_sent_at = o->sent_at;
		t->was_up_at_start = lead_server_was_up(l, o->sv);
	}
	lead_server_grant_sent(l, o->sv);
	lead_send_start(l, &to, &start, on_started, o);
}

static void give_up(struct lead *l, const struct work_task *t)
{
	struct work_job *job = t->group->job;

	log_event("job_given_up", "{ss si si sI ss}", "id", job->id, "step",
		  (int)t->group->step_index, "task", (int)t->index, "points",
		  (json_int_t)t->crash_points, "why", "servers crash when they start the task");
	sited_count(&l->d->metrics, COUNT_FAILED);
	work_job_set_state(job, WORK_FAILED, sited_wall_ms());
	lead_job_stop(l, job, "its job is given up");
}

void lead_task_crashed(struct lead *l, struct work_task *t, const struct fleet_server *sv,
		       unsigned int points, bool is_certain)
{
	bool is_final;

	if (!points || work_job_has_ended(t->group->job))
		return;
	is_final = work_task_record_crash(t, points, is_certain);
	log_event("task_blamed", "{ss si si si sI ss sI sI sI}", "id", t->group->job->id,
		  "occurrence", (int)t->group->occurrence, "step", (int)t->group->step_index,
		  "task", (int)t->index, "attempt", (json_int_t)t->attempt, "server", sv->id,
		  "points", (json_int_t)points, "points_of_task", (json_int_t)t->crash_points,
		  "certain_crashes", (json_int_t)t->crashes);
	if (is_final)
		give_up(l, t);
}

/* the server has shrunk, or lists runs of no task, since the task was assigned to it */
static bool exceeds_capacity(const struct fleet_server *sv, const struct fleet_resources *need)
{
	struct fleet_resources unused = fleet_unused_capacity(sv);

	return (need->cpu && unused.cpu < 0) || (need->memory_mb && unused.memory_mb < 0) ||
	       (need->accelerators && unused.accelerators < 0);
}

void lead_log_starts(struct starts *starts)
{
	json_t *line;

	while ((line = starts_take_line(starts)))
		base_log_event(G_LOG_LEVEL_MESSAGE, "task_start", line);
}

void lead_task_start(struct lead *l, struct work_task *t, struct starts *starts)
{
	struct fleet_server *sv = t->server;

	/* a leader that died may have stored the points, but not the end of the job */
	if (work_task_is_given_up(t) && !work_job_has_ended(t->group->job)) {
		give_up(l, t);
		return;
	}
	if (work_job_has_ended(t->group->job) || sv->presence != FLEET_LISTED ||
	    !sv->is_reachable) {
		lead_task_release(l, t,
				  "its server is unavailable or its job ended before the start");
		return;
	}
	/* the answer to the transaction may have come after the next leader took over */
	if (!lead_may_grant_leases(l)) {
		lead_task_release(l, t, "the store has not confirmed the leadership");
		return;
	}
	if (!lead_may_start_on(l, sv)) {
		lead_task_release(l, t,
				  sv->is_evacuated ? "its failure domain is evacuated"
						   : "evacuations are not known");
		return;
	}
	if (exceeds_capacity(sv, &t->group->step->need)) {
		lead_task_release(l, t, "its server has too little capacity left");
		return;
	}
	/*
	 * Where a start got no answer, the server may have crashed before or because of it. The
	 * next server is known to be up, so that a crash there counts.
	 */
	if (t->has_lost_start && !t->awaits_list && !lead_server_was_up(l, sv) &&
	    lead_server_may_list(l, sv)) {
		t->awaits_list = true;
		lead_server_must_list(l, sv);
		return;
	}
	t->awaits_list = false;
	t->state = TASK_STARTING;
	t->unanswered_starts = 0;
	t->start_sent_at = 0;
	/* should the server crash again, no other task is new there */
	if (t->crash_points >= WORK_CRASH_SUSPECT_POINTS)
		sv->suspect_until = MAX(sv->suspect_until, sited_now_ms() + BLAME_NEW_MS);
	sited_count(&l->d->metrics, COUNT_STARTS);
	starts_add(starts, t);
	send_start(order_new(l, sv, t));
}

static void confirm_start(struct lead *l, struct work_task *t)
{
	struct work_job *job = t->group->job;

	if (t->state == TASK_STARTING)
		t->state = TASK_RUNNING;
	if (!t->started_at) {
		t->started_at = sited_now_ms();
		t->progress_at = t->started_at;
	}
	if (t->attempt == 1 && t->index == 0 && !job->times)
		sited_observe(&l->d->metrics, HIST_START,
			      base_now_ns() -
				      (sited_wall_ms() - job->accepted_ms) * BASE_NS_PER_MS);
	lead_server_poll(l, t->server);
}

/* Releases the capacity only when the task certainly does not run; else stops the task. */
static void handle_start_failure(struct lead *l, struct order *o, enum order_status status)
{
	struct work_task *t = o->task;
	bool is_certain = t->unanswered_starts == 0;

	if (status == ORDER_REFUSED)
		fleet_note_refusal(o->sv, sited_now_ms());
	if (status == ORDER_NOT_SENT)
		lead_server_refused(l, o->sv);
	if (status == ORDER_INVALID) {
		/* no run has failed, so this uses up no attempt */
		fleet_note_failure(o->sv, t->group->job->id, sited_now_ms());
		t->group->start_not_before = sited_now_ms() + INVALID_START_RETRY_MS;
	}
	if (status == ORDER_NO_CAPACITY)
		o->sv->suspect_until =
			MAX(o->sv->suspect_until, sited_now_ms() + CAPACITY_SUSPECT_MS);
	if (status == ORDER_EXPIRED) {
		o->sv->suspect_until =
			MAX(o->sv->suspect_until, sited_now_ms() + CAPACITY_SUSPECT_MS);
		lead_server_must_list(l, o->sv);
	}
	if (status == ORDER_EVACUATED)
		lead_evacuation_refused(l, o->sv);
	if (is_certain)
		lead_task_release(l, t, order_status_name(status));
	else
		lead_task_stop(l, t, "the start was not confirmed");
}

static void suspect_unanswered(struct fleet_server *sv)
{
	sv->suspect_until = MAX(sv->suspect_until, sited_now_ms() + UNANSWERED_SUSPECT_MS);
}

static void note_unanswered_start(struct order *o)
{
	suspect_unanswered(o->sv);
	o->task->unanswered_starts++;
	o->task->has_lost_start = true;
}

static void on_started(const struct order_result *r, void *data)
{
	struct order *o = data;
	struct lead *l = lead_current(o->d, o->serial);

	if (l)
		lead_server_grant_over(l, o->sv, r->status, o->sent_at);
	if (!l || !lead_server_handle_answer(l, o->sv, r) || !is_current(o))
		goto out;
	if (r->status == ORDER_DONE) {
		confirm_start(l, o->task);
		goto out;
	}
	log_task_event("task_start_failed", o->task, o->sv, order_status_name(r->status));
	if (o->task->state != TASK_STARTING)
		goto out;
	if (r->status == ORDER_UNKNOWN)
		note_unanswered_start(o);
	if ((r->status == ORDER_UNKNOWN || r->status == ORDER_NOT_RELAYED) &&
	    o->sends < START_SENDS_MAX && lead_may_start_on(l, o->sv)) {
		send_start(o);
		return;
	}
	handle_start_failure(l, o, r->status);
out:
	order_free(o);
}

/* ---- stop ---- */

static void on_stop_timer(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	struct order *o = data;

	if (lead_current(o->d, o->serial) && (!o->task || is_current(o)))
		send_stop(o);
	else
		order_free(o);
}

static void on_stopped(const struct order_result *r, void *data)
{
	struct order *o = data;
	struct lead *l = lead_current(o->d, o->serial);

	if (!l || !lead_server_handle_answer(l, o->sv, r) || !is_current(o))
		goto out;
	switch (r->status) {
	case ORDER_UNKNOWN:
	case ORDER_NOT_SENT:
	case ORDER_NOT_RELAYED:
	case ORDER_REFUSED:
		suspect_unanswered(o->sv);
		mtimer_add(o, l->d->ev, base_deadline_in(STOP_RETRY_MS), on_stop_timer, o);
		return;
	default:
		/* The attempt can no longer start; a later poll shows whether it ended. */
		o->task->stopped_at = sited_now_ms();
		lead_server_poll(l, o->sv);
		break;
	}
out:
	order_free(o);
}

static void send_stop(struct order *o)
{
	struct lead *l = lead_current(o->d, o->serial);
	struct lead_order_target to = {.sv = o->sv,
				       .deadline = base_deadline_in(STOP_TIMEOUT_MS),
				       .earlier_sends = o->sends++};

	o->sent_at = sited_now_ms();
	lead_send_stop(l, &to, o->name, o->attempt, on_stopped, o);
}

void lead_task_stop(struct lead *l, struct work_task *t, const char *why)
{
	struct order *o;

	switch (t->state) {
	case TASK_WAITING:
	case TASK_DONE:
	case TASK_ENDING:
	case TASK_STOPPING:
		return;
	case TASK_AWAITING_PREEMPTION:
	case TASK_ASSIGNED:
		/* no start was sent */
		log_task_event("task_released", t, t->server, why);
		work_task_release(t);
		return;
	case TASK_STARTING:
	case TASK_RUNNING:
	case TASK_UNCONFIRMED:
		break;
	}
	log_task_event("task_stop", t, t->server, why);
	sited_count(&l->d->metrics, COUNT_STOPS);
	if (t->state == TASK_UNCONFIRMED) {
		/* lead_task_listed() stops it if the server's first answer lists it */
		return;
	}
	t->state = TASK_STOPPING;
	t->stopped_at = 0;
	o = order_new(l, t->server, t);
	o->name = orders_task_name(o, t);
	send_stop(o);
}

/* Resources used by an orphan run; the whole server's when its job is unknown. */
static struct fleet_resources orphan_usage(struct lead *l, const struct fleet_server *sv,
					   const struct order_run *run)
{
	char id[WORK_ID_LEN + 1];
	unsigned int occurrence;
	unsigned int step;
	unsigned int index;
	const struct work_job *job = NULL;

	if (orders_parse_task_name(run->task, id, &occurrence, &step, &index))
		job = g_hash_table_lookup(l->jobs, id);
	return job && step < job->step_count ? job->step[step].need : sv->capacity;
}

static void stop_orphan(struct lead *l, struct fleet_server *sv, const struct order_run *run)
{
	struct order *o = order_new(l, sv, NULL);
	struct fleet_resources need = orphan_usage(l, sv, run);

	fleet_resources_add(&sv->unclaimed, &need, 1);
	o->name = str_dup(o, run->task);
	o->attempt = run->attempt;
	log_event("orphan_stopped", "{ss sI ss sI sI}", "task", o->name, "attempt",
		  (json_int_t)run->attempt, "server", sv->id, "born", (json_int_t)sv->born,
		  "percent", (json_int_t)run->percent);
	send_stop(o);
}

/* ---- runs and ends that servers list ---- */

static struct work_task *find_task(struct lead *l, struct str name)
{
	char id[WORK_ID_LEN + 1];
	unsigned int occurrence;
	unsigned int step;
	unsigned int index;
	struct work_job *job;
	struct work_group *g;

	if (!orders_parse_task_name(name, id, &occurrence, &step, &index))
		return NULL;
	job = g_hash_table_lookup(l->jobs, id);
	g = job ? work_job_group(job, occurrence, step) : NULL;
	return g && index < g->count ? &g->task[index] : NULL;
}

/*
 * Members of a gang advance together, so that all stall when one does. The progress
 * of other tasks on their servers shows which server is at fault.
 */
static void suspect_stalled_servers(struct work_task *t, int64_t now)
{
	struct work_group *g = t->group;

	if (!g->step->is_gang) {
		fleet_suspect(t->server, now);
		return;
	}
	for (unsigned int i = 0; i < g->count; i++) {
		struct fleet_server *sv = g->task[i].server;

		if (!sv || !plan_server_is_stalled(sv, now) || sv->suspect_until > now)
			continue;
		/* Usually only one server of a gang is faulty, and only that one stalls a
		 * second gang. */
		if (++sv->stalled_gangs >= STALLED_GANGS_MAX)
			fleet_suspect(sv, now);
	}
}

static bool has_unresponsive_member(struct lead *l, const struct work_group *g)
{
	for (unsigned int i = 0; g->step->is_gang && i < g->count; i++)
		if (g->task[i].server && lead_server_is_unresponsive(l, g->task[i].server))
			return true;
	return false;
}

static void check_progress(struct lead *l, struct work_task *t)
{
	struct plan_clock at = {sited_now_ms(), sited_wall_ms()};

	/* Members stall with an unresponsive one until it answers or its lease expires. */
	if (has_unresponsive_member(l, t->group)) {
		t->progress_at = at.now;
		return;
	}
	switch (plan_progress(t, &at)) {
	case PROGRESS_NORMAL:
		return;
	case PROGRESS_STALLED:
		log_task_event("task_stalled", t, t->server, "no progress");
		suspect_stalled_servers(t, at.now);
		break;
	case PROGRESS_SLOW:
		log_task_event("task_slow", t, t->server,
			       "a restart on another server would end sooner");
		suspect_stalled_servers(t, at.now);
		break;
	case PROGRESS_OVERDUE:
		log_task_event("task_slow", t, t->server, "far behind its declared run time");
		break;
	}
	t->group->earlier_pace = MAX(t->group->earlier_pace, plan_typical_pace(t));
	if (t->group->step->is_gang)
		lead_group_stop(l, t->group, "a member of its gang makes too little progress");
	else
		lead_task_stop(l, t, "the task makes too little progress");
}

/* A member that was found not to run waits until all others have stopped. */
static bool has_lost_member(const struct work_group *g)
{
	return g->step->is_gang && work_group_waiting_count(g);
}

void lead_task_listed(struct lead *l, struct fleet_server *sv, const struct order_run *run,
		      uint64_t poll_number)
{
	struct work_task *t = find_task(l, run->task);

	if (!t || t->server != sv || t->attempt != run->attempt || t->state == TASK_ASSIGNED) {
		stop_orphan(l, sv, run);
		return;
	}
	t->last_poll = poll_number;
	t->crash_points_unless_listed = 0;
	if (t->state == TASK_ENDING)
		return;
	work_task_set_snapshot(t, run->snapshot);
	if (t->state == TASK_UNCONFIRMED) {
		t->state = TASK_RUNNING;
		t->state_deadline = 0;
		t->started_at = sited_now_ms();
		t->progress_at = t->started_at;
		log_task_event("task_adopted", t, sv, "an earlier leader started it");
		if (work_job_has_ended(t->group->job))
			lead_task_stop(l, t, "its job is over");
		else if (has_lost_member(t->group))
			lead_task_stop(l, t, "its gang lost a member");
	} else if (t->state == TASK_STARTING) {
		confirm_start(l, t);
	}
	if (t->first_percent < 0) {
		t->first_percent = run->percent;
		t->first_percent_at = sited_now_ms();
	}
	if (run->percent != t->percent) {
		t->percent = run->percent;
		t->progress_at = sited_now_ms();
		fleet_note_progress(sv, t->progress_at);
		speed_note_progress(l->speed, t, t->progress_at);
	}
	if (t->started_at && sited_now_ms() - t->started_at >= BLAME_NEW_MS)
		t->has_run_well = true;
	if (t->state == TASK_RUNNING)
		check_progress(l, t);
}

static void handle_done(struct lead *l, struct work_task *t, struct fleet_server *sv)
{
	struct work_group *g = t->group;

	fleet_note_success(sv, sited_now_ms());
	if (t->server == sv) {
		lead_interference_note_end(l, t);
		work_task_finish(t);
	} else {
		work_task_set_ending(t);
	}
	/* The members of a gang end together, so the end of one counts for all. */
	for (unsigned int i = 0; g->step->is_gang && i < g->count; i++)
		if (&g->task[i] != t)
			work_task_set_ending(&g->task[i]);
	lead_job_check_completion(l, g->job);
}

static void suspect_failing(struct lead *l, struct fleet_server *sv)
{
	unsigned int forgiven;

	log_event("server_suspected", "{ss ss sI}", "server", sv->id, "why",
		  "tasks of different jobs failed there", "for_ms",
		  (json_int_t)sv->suspect_duration);
	forgiven = fleet_forgive_failures(l->fleet, sv, sited_now_ms());
	if (forgiven)
		log_event("failures_forgiven", "{ss si ss}", "service", sv->service, "servers",
			  (int)forgiven, "why",
			  "tasks failed on many servers: the jobs are at fault");
}

static void handle_failure(struct lead *l, struct work_task *t, struct fleet_server *sv)
{
	struct work_job *job = t->group->job;
	bool is_final = work_task_record_failure(t);

	if (fleet_note_failure(sv, job->id, sited_now_ms()))
		suspect_failing(l, sv);
	if (!is_final || work_job_has_ended(job))
		return;
	log_event("job_failed", "{ss si si sI sI}", "id", job->id, "step",
		  (int)t->group->step_index, "task", (int)t->index, "failures",
		  (json_int_t)t->failures, "attempts", (json_int_t)job->attempts);
	sited_count(&l->d->metrics, COUNT_FAILED);
	work_job_set_state(job, WORK_FAILED, sited_wall_ms());
	lead_job_stop(l, job, "its job has failed");
}

/* Stops the newer attempt of a task whose abandoned attempt has completed after all. */
static void stop_newer_attempt(struct lead *l, struct work_task *t)
{
	if (t->group->step->is_gang)
		lead_group_stop(l, t->group, "an earlier attempt has completed");
	else
		lead_task_stop(l, t, "an earlier attempt has completed");
}

struct work_group *lead_task_ended(struct lead *l, struct fleet_server *sv,
				   const struct order_ended *e)
{
	struct work_task *t = find_task(l, e->task);
	bool is_newest;

	if (!t || t->group->done == t->group->count || work_job_has_ended(t->group->job)) {
		if (t && t->server == sv && t->attempt == e->attempt)
			lead_task_release(l, t, order_end_name(e->how));
		/* The server must list the end until its consequences are stored. */
		return t ? t->group : NULL;
	}
	is_newest = t->server == sv && t->attempt == e->attempt;
	log_task_event(is_newest ? "task_ended" : "task_ended_late", t, sv, order_end_name(e->how));
	work_task_set_snapshot(t, e->snapshot);
	if (e->how == END_DONE) {
		if (is_newest)
			lead_speed_ended(l, t);
		else
			stop_newer_attempt(l, t);
		handle_done(l, t, sv);
		return t->group;
	}
	if (!is_newest)
		return NULL;
	if (e->how == END_FAILED)
		handle_failure(l, t, sv);
	lead_task_release(l, t, order_end_name(e->how));
	return t->group;
}

void lead_job_check_completion(struct lead *l, struct work_job *job)
{
	if (work_job_has_ended(job) || !work_job_all_tasks_done(job))
		return;
	sited_count(&l->d->metrics, COUNT_COMPLETED);
	work_job_set_state(job, WORK_COMPLETE, sited_wall_ms());
	lead_request_round(l);
}
