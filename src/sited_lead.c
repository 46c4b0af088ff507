/*
 * The leader's rounds. A round depends only on state in memory: it starts due
 * occurrences, places waiting groups in order of rank, and preempts tasks for
 * urgent work. An assignment is sent to its server only after it is stored,
 * so a round ends with a flush of changed rows.
 */
#include "sited_lead.h"

#include <string.h>

#include "mtimer/mtimer.h"

#define ROUND_DELAY_MS 2      /* one round handles all events within this time */
#define ROUND_TIME_DIVISOR 4  /* rounds take at most 1/4 of the process's time */
#define ROUND_INTERVAL_MS 100 /* occurrences and timeouts become due without an event */
#define PAUSE_MIN_MS 1000     /* a tick that is later than this counts as a pause of the VM */
#define DUE_MARGIN_MS 15      /* clock skew between VMs; a timed job must not start early */
/* beyond the longest stop; if victims take longer, their server is lost and the task waits again */
#define PREEMPTION_MARGIN_MS 400
#define STOP_TO_START_MS 300 /* from a stop's end until the next start there is stored */
#define LOG_WAITING_INTERVAL_MS 3000
#define SWEEP_INTERVAL_MS 5000

static void on_round(struct mtimer *timer, void *data);

static gboolean free_job(gpointer key G_GNUC_UNUSED, gpointer job, gpointer data G_GNUC_UNUSED)
{
	talloc_free(job);
	return TRUE;
}

static int lead_destructor(struct lead *l)
{
	for (guint i = 0; i < l->fleet->all->len; i++) {
		struct fleet_server *sv = g_ptr_array_index(l->fleet->all, i);
		struct server_io *io = sv->user;

		if (io)
			g_queue_clear_full(&io->ends, g_free);
	}
	g_hash_table_foreach_remove(l->jobs, free_job, NULL);
	g_hash_table_destroy(l->jobs);
	g_ptr_array_free(l->active, TRUE);
	json_decref(l->handover);
	return 0;
}

/* ---- pauses of this VM ---- */

struct leadership_check {
	struct sited *d;
	uint64_t serial;
	int64_t sent_at;
};

static void on_leadership_checked(const struct store_result *r, void *data)
{
	struct leadership_check *c = data;
	struct lead *l = lead_current(c->d, c->serial);
	bool found = r->status == STORE_OK && r->count &&
		     !strcmp(store_key_text(&r->rows[0]), SITED_LEAD_KEY);

	if (l && found && r->rows[0].version == l->row_version) {
		l->confirmed_at = MAX(l->confirmed_at, c->sent_at);
		log_event("lead_confirmed", "{sI sI}", "term", (json_int_t)l->term, "took_ms",
			  (json_int_t)(sited_now_ms() - c->sent_at));
		lead_request_round(l);
	} else if (l && found) {
		sited_check_leader_row(c->d, &r->rows[0]);
	}
	talloc_free(c);
}

/* The feed also confirms the leadership, but it may take a second. */
static void verify_leadership(struct lead *l)
{
	const struct store_range range = {SITED_LEAD_TABLE, "", str_from(SITED_LEAD_KEY), 1};
	struct leadership_check *c = talloc_zero(l->d, struct leadership_check);

	c->d = l->d;
	c->serial = l->serial;
	c->sent_at = sited_now_ms();
	store_read(l->d->store, &range, base_deadline_in(SITED_STORE_TIMEOUT_MS),
		   on_leadership_checked, c);
}

bool lead_may_act(struct lead *l)
{
	int64_t late_ms = (base_boottime_ns() - l->ticked_at) / BASE_NS_PER_MS;

	if (l->ticked_at && late_ms > PAUSE_MIN_MS) {
		l->ticked_at = base_boottime_ns();
		l->resumed_at = sited_now_ms();
		log_event("lead_paused", "{sI sI}", "term", (json_int_t)l->term, "for_ms",
			  (json_int_t)late_ms);
		verify_leadership(l);
	}
	return l->confirmed_at >= l->resumed_at;
}

bool lead_may_grant_leases(struct lead *l)
{
	return lead_may_act(l) && lead_grants_end_ms(l) > 0;
}

int64_t lead_grants_end_ms(const struct lead *l)
{
	return MIN(l->grant.until - base_boottime_ns() / BASE_NS_PER_MS,
		   l->confirmed_at + LEAD_UNCONFIRMED_MAX_MS - sited_now_ms());
}

static void log_granting(struct lead *l, bool is_granting)
{
	if (is_granting == l->is_granting)
		return;
	l->is_granting = is_granting;
	log_event("lease_grants", "{sI sb sI}", "term", (json_int_t)l->term, "granted", is_granting,
		  "store_failing_ms", (json_int_t)store_failing_ms(l->d->store));
}

static void on_tick(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	struct lead *l = data;

	if (l->fleet->ended >= SITED_FENCES_MAX) {
		sited_step_down(l->d, "the fences of its term are used up");
		return;
	}
	log_granting(l, lead_may_grant_leases(l));
	l->ticked_at = base_boottime_ns();
	mtimer_add(l, l->d->ev, base_deadline_in(ROUND_INTERVAL_MS), on_tick, l);
	lead_agents_tick(l);
	lead_evacuation_tick(l);
	if (!l->is_loaded)
		return;
	lead_servers_tick(l);
	lead_speed_tick(l);
	lead_idle_tick(l);
	lead_request_round(l);
}

static void on_sweep(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	struct lead *l = data;

	mtimer_add(l, l->d->ev, base_deadline_in(SWEEP_INTERVAL_MS), on_sweep, l);
	if (l->is_loaded)
		lead_rows_sweep(l);
}

/* ---- confirmation by the store, which limits how long leases are granted ---- */

static void read_leader_row(void *data);

static void on_leader_rows(const struct table_page *page, void *data)
{
	struct lead *l = data;
	struct sited *d = l->d;

	l->confirmed_at = page->sent_at / BASE_NS_PER_MS;
	for (unsigned int i = 0; i < page->count && d->lead == l; i++)
		sited_check_leader_row(d, &page->rows[i]);
}

static struct table_source leader_row_source(struct lead *l)
{
	struct table_source source = {.owner = l,
				      .ev = l->d->ev,
				      .store = l->d->store,
				      .table = SITED_LEAD_TABLE,
				      .key = SITED_LEAD_KEY};

	return source;
}

static void follow_leader_row(int64_t version, void *data)
{
	struct table_source source = leader_row_source(data);

	table_follow(&source, version, LEAD_FEED_TIMEOUT_MS, on_leader_rows, read_leader_row, data);
}

static void read_leader_row(void *data)
{
	struct table_source source = leader_row_source(data);

	table_read(&source, on_leader_rows, follow_leader_row, data);
}

int64_t lead_row_term(const struct store_row *row)
{
	json_t *v = json_loadb(row->value.ptr, row->value.len, 0, NULL);
	int64_t term = base_json_int(v, "term", 0);

	json_decref(v);
	return term;
}

/* ---- creation and queries ---- */

struct lead *lead_new(struct sited *d, int64_t term, int64_t row_version, int64_t sent_at)
{
	struct lead *l = talloc_zero(d, struct lead);

	l->d = d;
	l->serial = ++d->lead_serial;
	l->term = term;
	l->started_at = base_now_ns();
	l->row_version = row_version;
	/* the row may have been replaced since it was stored */
	l->confirmed_at = sent_at;
	l->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	l->active = g_ptr_array_new();
	l->blame = blame_new(l);
	l->fleet = fleet_new(l);
	lead_speed_new(l);
	l->scratch = plan_scratch_new(l);
	l->share = plan_share_new(l);
	lead_interference_start(l);
	l->agents = lead_agents_new(l);
	talloc_set_destructor(l, lead_destructor);
	sited_count(&d->metrics, COUNT_TERMS);
	log_event("lead_won", "{sI sI}", "term", (json_int_t)term, "row_version",
		  (json_int_t)row_version);
	lead_grant_start(l);
	sited_evacuation_read(d);
	lead_list_load(l);
	follow_leader_row(row_version, l);
	mtimer_add(l, d->ev, base_deadline_in(ROUND_INTERVAL_MS), on_tick, l);
	mtimer_add(l, d->ev, base_deadline_in(SWEEP_INTERVAL_MS), on_sweep, l);
	return l;
}

void lead_request_round(struct lead *l)
{
	if (l->round || !l->is_loaded)
		return;
	l->round = mtimer_add(l, l->d->ev, MAX(base_deadline_in(ROUND_DELAY_MS), l->next_round_at),
			      on_round, l);
}

void lead_count_pending(const struct lead *l, struct pending *p)
{
	for (guint i = 0; i < l->active->len; i++) {
		const struct work_job *job = g_ptr_array_index(l->active, i);

		if (job->state == WORK_QUEUED)
			pending_add(p, job->queue, 1);
	}
}

enum work_state lead_job_state(const struct lead *l, const char *id, const char **workspace)
{
	const struct work_job *job = l->is_loaded ? g_hash_table_lookup(l->jobs, id) : NULL;

	if (!job || job->is_unsubmitted)
		return WORK_STATE_COUNT;
	*workspace = job->workspace;
	/* A final state is visible only once stored, so that no later leader reverts it. */
	if (work_job_has_ended(job) && job->row.stored < job->row.changes)
		return WORK_RUNNING;
	return job->state;
}

char *lead_append_gauges(const struct lead *l, char *text)
{
	struct fleet_resources sum[4] = {{0}};
	static const char *const names[] = {"capacity", "used", "promised", "unclaimed"};
	unsigned int servers[FLEET_ADMISSION_COUNT] = {0};
	int64_t now = sited_now_ms();
	int64_t headroom = 0;

	/* until all rows have been read there is nothing to tell, which is not zero */
	if (!l->is_loaded)
		return text;
	for (guint i = 0; i < l->fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(l->fleet->all, i);

		servers[fleet_admission(sv, now)]++;
		fleet_resources_add(&sum[0], &sv->capacity, 1);
		fleet_resources_add(&sum[1], &sv->used, 1);
		fleet_resources_add(&sum[2], &sv->awaiting_preemption, 1);
		fleet_resources_add(&sum[3], &sv->unclaimed, 1);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		text = talloc_asprintf_append_buffer(
			text, "currantlane_accelerators{state=\"%s\"} %" PRId64 "\n", names[i],
			sum[i].accelerators);
	for (unsigned int i = 0; i < FLEET_ADMISSION_COUNT; i++)
		text = talloc_asprintf_append_buffer(
			text, "currantlane_servers{admission=\"%s\"} %u\n",
			fleet_admission_name((enum fleet_admission)i), servers[i]);
	for (guint i = 0; i < l->fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(l->fleet->all, i);

		headroom += sv->is_headroom ? MAX(fleet_free_capacity(sv).accelerators, 0) : 0;
	}
	text = lead_append_shares(l, text);
	text = lead_append_interference(l, text);
	text = lead_speed_append_gauges(l, text);
	return talloc_asprintf_append_buffer(
		text,
		"currantlane_accelerators{state=\"kept\"} %" PRId64
		"\ncurrantlane_agents %u\ncurrantlane_probes %u\ncurrantlane_jobs_active %u\n"
		"currantlane_jobs_idle %u\ncurrantlane_job_longest_idle_seconds %.3f\n",
		headroom, lead_agents_count(l), l->probes, l->active->len, l->idle_jobs,
		(double)l->longest_idle_ms / BASE_MS_PER_S);
}

/* ---- placement ---- */

struct ranked {
	struct work_group *group;
	struct plan_rank rank;
};

static gint compare_ranked(gconstpointer a, gconstpointer b)
{
	const struct ranked *x = a;
	const struct ranked *y = b;

	return plan_rank_compare(&x->rank, &y->rank);
}

static void start_due_occurrences(struct lead *l, int64_t wall_ms)
{
	for (guint i = 0; i < l->active->len; i++)
		work_job_start_due(g_ptr_array_index(l->active, i), wall_ms - DUE_MARGIN_MS);
}

static void record_ready(struct lead *l, struct work_group *g, int64_t now)
{
	g->ready_since = now;
	if (g->job->priority == QUEUES_URGENT_PRIORITY)
		plan_demand_record(&l->demand, g->step->need.accelerators * g->count, now);
}

static GArray *collect_ready(struct lead *l, const struct plan_clock *at)
{
	GArray *ready = g_array_new(FALSE, FALSE, sizeof(struct ranked));

	plan_share_start_round(l->share, l->fleet, at->now);
	for (guint i = 0; i < l->active->len; i++) {
		const struct work_job *job = g_ptr_array_index(l->active, i);

		if (work_job_has_ended(job))
			continue;
		for (guint k = 0; k < job->groups->len; k++) {
			struct ranked r = {.group = g_ptr_array_index(job->groups, k)};

			if (!plan_share_count(l->share, r.group, at->now) ||
			    !work_group_is_ready(r.group) || r.group->start_not_before > at->now)
				continue;
			if (!r.group->ready_since)
				record_ready(l, r.group, at->now);
			if (!r.group->waiting_since)
				r.group->waiting_since = at->now;
			r.rank = plan_rank(r.group, at);
			g_array_append_val(ready, r);
		}
	}
	g_array_sort(ready, compare_ranked);
	return ready;
}

static void record_placement(struct lead *l, struct work_group *g)
{
	struct work_job *job = g->job;

	if (!work_group_waiting_count(g))
		g->waiting_since = 0;
	if (job->state == WORK_QUEUED)
		work_job_set_state(job, WORK_RUNNING, sited_wall_ms());
	log_event("placed", "{ss si si sI sI sI}", "id", job->id, "occurrence", (int)g->occurrence,
		  "step", (int)g->step_index, "waited_ms",
		  (json_int_t)(sited_now_ms() - g->ready_since), "attempt",
		  (json_int_t)g->task[0].attempt, "list_version", (json_int_t)l->list_version);
}

static void assign(struct lead *l, struct work_group *g, struct fleet_server **servers)
{
	if (g->step->is_gang) {
		work_task_assign_gang(g, servers);
	} else {
		for (unsigned int i = 0; i < g->count; i++)
			if (servers[i])
				work_task_assign(&g->task[i], servers[i]);
	}
	record_placement(l, g);
}

static void preempt(struct lead *l, struct work_group *g, const struct plan_clock *at,
		    struct fleet_server **servers)
{
	GPtrArray *victims = g_ptr_array_new();

	if (!plan_preempt(l->scratch, l->fleet, g, at, servers, victims))
		goto out;
	log_event("reclaimed", "{ss si si sI sI}", "id", g->job->id, "step", (int)g->step_index,
		  "victims", (int)victims->len, "waited_ms", (json_int_t)(at->now - g->ready_since),
		  "list_version", (json_int_t)l->list_version);
	for (guint i = 0; i < victims->len; i++) {
		sited_count(&l->d->metrics, COUNT_RECLAIMS);
		lead_task_stop(l, g_ptr_array_index(victims, i), "reclaimed for urgent work");
	}
	for (unsigned int i = 0; i < g->count; i++) {
		if (g->task[i].state != TASK_WAITING)
			continue;
		work_task_await_preemption(&g->task[i], servers[i]);
		g->task[i].state_deadline =
			at->now + l->d->site->stop_timeout_ms + PREEMPTION_MARGIN_MS;
	}
out:
	g_ptr_array_free(victims, TRUE);
}

/* Logs why a group still waits, at most once every 3 s for each group. */
static void log_waiting(struct lead *l, struct work_group *g, const struct plan_clock *at)
{
	struct plan_explanation explanation;

	if (!work_group_waiting_count(g) ||
	    (g->wait_logged_at && at->now < g->wait_logged_at + LOG_WAITING_INTERVAL_MS))
		return;
	g->wait_logged_at = at->now;
	plan_explain(l->scratch, l->fleet, g, at, &explanation);
	log_event("not_placed", "{ss si si si sI ss si si sI si si si si si si si}", "id",
		  g->job->id, "occurrence", (int)g->occurrence, "step", (int)g->step_index,
		  "waiting", (int)work_group_waiting_count(g), "waited_ms",
		  (json_int_t)(at->now - g->ready_since), "why",
		  plan_refusal_text(explanation.refusal), "servers", (int)explanation.candidates,
		  "with_room", (int)explanation.with_capacity, "free_accelerators",
		  (json_int_t)explanation.free_accelerators, "unfenced",
		  (int)explanation.servers[FLEET_UNFENCED], "evacuated",
		  (int)explanation.servers[FLEET_EVACUATED], "unreachable",
		  (int)explanation.servers[FLEET_UNREACHABLE], "suspect",
		  (int)explanation.servers[FLEET_SUSPECT], "on_probation",
		  (int)explanation.on_probation, "mislabelled", (int)explanation.mislabelled,
		  "set_aside", (int)explanation.set_aside);
}

static void place_group(struct lead *l, struct work_group *g, const struct plan_clock *at)
{
	struct fleet_server **servers = talloc_zero_array(l, struct fleet_server *, g->count);

	if (plan_place(l->scratch, l->fleet, g, at, servers))
		assign(l, g, servers);
	else if (g->job->priority == QUEUES_URGENT_PRIORITY)
		preempt(l, g, at, servers);
	else
		plan_reserve(l->scratch, l->fleet, g, at);
	log_waiting(l, g, at);
	talloc_free(servers);
}

/* ---- tasks awaiting preemption ---- */

static bool preempted_capacity_is_free(const struct work_task *t, int64_t now)
{
	struct fleet_resources unused = fleet_unused_capacity(t->server);

	if (!fleet_accepts_work(t->server, now))
		return false;
	return fleet_resources_fit(&t->group->step->need, &unused);
}

/* The victims did not stop in time, or their server no longer accepts work. */
static bool preemption_is_overdue(const struct work_task *t, int64_t now)
{
	return t->state == TASK_AWAITING_PREEMPTION &&
	       (t->state_deadline < now || !fleet_accepts_work(t->server, now));
}

/* Several members may await capacity of one server, so their needs are added up. */
static bool all_preempted_capacity_is_free(struct work_group *g, int64_t now)
{
	bool is_free = true;
	unsigned int i;

	for (i = 0; i < g->count && is_free; i++) {
		if (g->task[i].state != TASK_AWAITING_PREEMPTION)
			continue;
		is_free = preempted_capacity_is_free(&g->task[i], now);
		fleet_resources_add(&g->task[i].server->used, &g->step->need, 1);
	}
	while (i-- > 0)
		if (g->task[i].state == TASK_AWAITING_PREEMPTION)
			fleet_resources_add(&g->task[i].server->used, &g->step->need, -1);
	return is_free;
}

static void release_awaiting_preemption(struct work_group *g)
{
	for (unsigned int i = 0; i < g->count; i++)
		if (g->task[i].state == TASK_AWAITING_PREEMPTION)
			work_task_release(&g->task[i]);
}

static void assign_gang_after_preemption(struct lead *l, struct work_group *g)
{
	struct fleet_server **servers = talloc_zero_array(l, struct fleet_server *, g->count);

	for (unsigned int i = 0; i < g->count; i++)
		servers[i] = g->task[i].server;
	work_task_assign_gang(g, servers);
	talloc_free(servers);
	record_placement(l, g);
}

static void assign_after_preemption(struct lead *l, struct work_group *g,
				    const struct plan_clock *at)
{
	bool is_awaiting = false;
	bool is_overdue = false;
	bool has_assigned = false;

	for (unsigned int i = 0; i < g->count; i++) {
		is_awaiting |= g->task[i].state == TASK_AWAITING_PREEMPTION;
		is_overdue |= preemption_is_overdue(&g->task[i], at->now);
	}
	if (!is_awaiting)
		return;
	if (g->step->is_gang) {
		/* The server of a member may have been lost in the meantime. */
		if (work_group_partly_awaits_preemption(g))
			release_awaiting_preemption(g);
		else if (all_preempted_capacity_is_free(g, at->now))
			assign_gang_after_preemption(l, g);
		else if (is_overdue)
			release_awaiting_preemption(g);
		return;
	}
	for (unsigned int i = 0; i < g->count; i++) {
		struct work_task *t = &g->task[i];

		if (t->state != TASK_AWAITING_PREEMPTION)
			continue;
		if (preempted_capacity_is_free(t, at->now)) {
			work_task_assign(t, t->server);
			has_assigned = true;
		} else if (preemption_is_overdue(t, at->now)) {
			work_task_release(t);
		}
	}
	if (has_assigned)
		record_placement(l, g);
}

static void assign_all_after_preemption(struct lead *l, const struct plan_clock *at)
{
	for (guint i = 0; i < l->active->len; i++) {
		const struct work_job *job = g_ptr_array_index(l->active, i);

		if (work_job_has_ended(job) || job->priority != QUEUES_URGENT_PRIORITY)
			continue;
		for (guint k = 0; k < job->groups->len; k++)
			assign_after_preemption(l, g_ptr_array_index(job->groups, k), at);
	}
}

/* ---- the round ---- */

static void on_round(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	struct lead *l = data;
	struct plan_clock at = {sited_now_ms(), sited_wall_ms()};
	int64_t started_ns = base_now_ns();
	GArray *ready;

	l->round = NULL;
	if (!lead_may_act(l))
		return;
	start_due_occurrences(l, at.wall);
	if (!l->is_handing_over && lead_may_start(l)) {
		assign_all_after_preemption(l, &at);
		ready = collect_ready(l, &at);
		plan_start_round(l->scratch, l->fleet, at.now);
		plan_set_headroom(
			l->scratch, l->fleet,
			plan_demand_forecast(
				&l->demand, l->d->site->stop_timeout_ms + STOP_TO_START_MS, at.now),
			at.now);
		for (guint i = 0; i < ready->len; i++)
			place_group(l, g_array_index(ready, struct ranked, i).group, &at);
		g_array_free(ready, TRUE);
	}
	lead_rows_flush(l);
	l->next_round_at = base_now_ns() + (base_now_ns() - started_ns) * (ROUND_TIME_DIVISOR - 1);
}
