/**
 * DOC: test_plan_idle - no job waits with nothing running beside an idle pool
 *
 * Fleets and queues are drawn at random and played in rounds like the leader's. In a pool of
 * which less than half is in use, a job whose turn has come and that would fit twice into the
 * free capacity must have something running within IDLE_MAX_MS. A task of an endless step must
 * run by then however full the pool is, and whatever else of its job runs.
 */
#include <check.h>
#include <string.h>

#include "plan/plan_scratch.h"
#include "runner.h"
#include "sample.h"

#define SEEDS 200
#define ROUND_MS 100
#define IDLE_MAX_MS 3000
#define STOP_MS 400	   /* a victim's capacity is free this long after its stop */
#define PREEMPTION_MS 1100 /* limit for the stops that a group awaits */
#define URGENT_WINDOW 700  /* ms for which headroom is kept */
#define ARRIVALS_MS 12000  /* then the pool drains */
#define DRAIN_MAX_MS 30000
#define FAILS_AFTER_MS 200 /* a task on a faulty server */
#define FAR_FACTOR 3	   /* run time of a task away from its data or its siblings */
#define RESTART_MS 6000	   /* an endless task may wait this long after its last run */
#define STEPS_MAX 2
#define LABEL "fast"

/* which servers an idle job was kept from, or for which rack it waited */
enum cause {
	CAUSE_OTHER,
	CAUSE_PROBATION,
	CAUSE_HEADROOM,
	CAUSE_RESERVATION,
	CAUSE_PREEMPTION,
	CAUSE_ONE_RACK,
	CAUSE_DATA_RACK,
	CAUSES
};

/* by its memory, one member of a gang takes a server */
static const struct fleet_resources whole_server = {26000, 140000, 8};

static const char *const cause_names[CAUSES] = {"unexplained", "probation",  "headroom",
						"reservation", "preemption", "one-rack",
						"data-rack"};

/**
 * struct play - a job in a world
 * @run_ms: real run time of a task of each step, near its data and its siblings
 * @idle_since: since when each group has waited beside an idle pool, 0 if it has not
 */
struct play {
	struct work_job *job;
	int64_t arrives_at;
	int64_t run_ms[STEPS_MAX];
	int64_t idle_since[STEPS_MAX];
};

/**
 * struct world - a pool and its jobs
 * @per_rack: servers in a rack
 * @gone_rack: index of a rack whose servers have all left, PLAN_ANY_RACK if there is none
 * @arrivals_end: monotonic, in ms
 * @seed: that it was drawn from, 0 if it was not drawn
 * @cases: number of times that a group was idle for IDLE_MAX_MS
 */
struct world {
	struct fleet *fleet;
	struct plan_scratch *scratch;
	struct plan_demand demand;
	struct plan_clock at;
	uint32_t random;
	unsigned int per_rack;
	unsigned int gone_rack;
	int64_t arrivals_end;
	unsigned int seed;
	unsigned int cases;
	GPtrArray *plays;
};

/* cases in drawn worlds, first of steps that end, then of endless ones; and the first of each */
static struct {
	unsigned int count;
	char first[160];
} found[2 * CAUSES];

static uint32_t draw(struct world *w, uint32_t below)
{
	w->random = w->random * 1664525u + 1013904223u;
	return (w->random >> 8) % below;
}

static bool draw_percent(struct world *w, uint32_t percent)
{
	return draw(w, 100) < percent;
}

/* ---- drawing a world ---- */

enum condition {
	SUSPECT,
	UNREACHABLE,
	UNFENCED,
	DRAINING,
	UNLISTED,
	TAKES_NO_WORK, /* number of the conditions above */
	ON_PROBATION = TAKES_NO_WORK,
	FAULTY, /* fails every task */
	CONDITIONS
};

static const char *const condition_names[TAKES_NO_WORK] = {"suspect", "unreachable", "unfenced",
							   "draining", "unlisted"};

/* a server is faulty when its owner is set */
static void set_condition(struct world *w, unsigned int server, enum condition condition)
{
	struct fleet_server *sv = sample_server(w->fleet, server);

	switch (condition) {
	case SUSPECT:
		sv->suspect_until = w->at.now + FLEET_SUSPECT_MS;
		break;
	case UNREACHABLE:
		sv->is_reachable = false;
		break;
	case UNFENCED:
		sv->is_fenced = false;
		break;
	case DRAINING:
		sv->presence = FLEET_DRAINING;
		break;
	case UNLISTED:
		sv->presence = FLEET_UNLISTED;
		break;
	case ON_PROBATION:
		sv->probation_until = w->at.now + FLEET_PROBATION_MS;
		break;
	default:
		sv->user = w;
	}
}

static void draw_conditions(struct world *w)
{
	static const uint32_t shares[] = {0, 2, 6, 15};
	uint32_t percent = shares[draw(w, G_N_ELEMENTS(shares))];
	bool one_in_each_rack = draw_percent(w, 30);

	for (guint i = 0; i < w->fleet->all->len; i++) {
		if (draw_percent(w, percent) ||
		    (one_in_each_rack && i % w->per_rack == w->per_rack / 2))
			set_condition(w, i, draw(w, CONDITIONS));
		if (sample_server(w->fleet, i)->rack == w->gone_rack)
			set_condition(w, i, UNLISTED);
	}
}

static void add_labels(struct world *w)
{
	static char label[] = LABEL;
	static char *labels[] = {label};

	for (guint i = 0; i < w->fleet->all->len; i++) {
		struct fleet_server *sv = sample_server(w->fleet, i);

		sv->labels = labels;
		sv->label_count = sv->rack % 3 ? 1 : 0;
	}
}

static char *draw_data_rack(struct world *w, struct work_job *job)
{
	unsigned int rack = 1 + draw(w, w->fleet->racks->len - 1);

	if (w->gone_rack != PLAN_ANY_RACK && draw_percent(w, 20))
		rack = w->gone_rack;
	return talloc_strdup(job, fleet_rack_name(w->fleet, rack));
}

static struct work_job *draw_gang(struct world *w, unsigned int n, bool is_urgent)
{
	static const int64_t accelerators[] = {1, 2, 4, 8, 8};
	unsigned int members = 1 + draw(w, is_urgent ? 12 : 1 + draw(w, 40));
	struct work_job *job = sample_job(w->fleet, n, !is_urgent, members,
					  accelerators[draw(w, G_N_ELEMENTS(accelerators))]);

	job->step[0].need.cpu = is_urgent ? 7500 : 26000;
	job->step[0].need.memory_mb = is_urgent ? 31000 : 140000;
	job->step[0].is_gang = true;
	job->step[0].same_rack = draw_percent(w, is_urgent ? 80 : 60);
	job->step[0].checkpoints = draw_percent(w, 50);
	return job;
}

static struct work_job *draw_wide(struct world *w, unsigned int n)
{
	struct work_job *job = sample_job(w->fleet, n, 1, 1, 1);
	char *data_rack = draw_percent(w, 33) ? draw_data_rack(w, job) : NULL;
	unsigned int per_server_max = draw_percent(w, 25) ? 1 + draw(w, 4) : 0;

	if (draw_percent(w, 40)) {
		job->step_count = 2;
		job->step = talloc_zero_array(job, struct work_step, 2);
		job->step[1].after = talloc_zero(job, unsigned int);
		job->step[1].after_count = 1;
	}
	for (unsigned int i = 0; i < job->step_count; i++) {
		job->step[i].count = 10 + draw(w, 151);
		job->step[i].need = (struct fleet_resources){5600, 23000, 1};
		job->step[i].data_rack = data_rack;
		job->step[i].same_rack = !data_rack && draw_percent(w, 20);
		job->step[i].per_server_max = per_server_max;
		job->step[i].checkpoints = draw_percent(w, 50);
	}
	return job;
}

static struct work_job *draw_endless(struct world *w, unsigned int n)
{
	struct work_job *job = sample_job(w->fleet, n, 1, 1 + draw(w, 12), draw(w, 2));

	job->step[0].need.cpu = 5600;
	job->step[0].need.memory_mb = 23000;
	job->step[0].is_endless = true;
	job->step[0].same_rack = draw_percent(w, 30);
	job->step[0].data_rack = draw_percent(w, 30) ? draw_data_rack(w, job) : NULL;
	job->step[0].per_server_max = draw_percent(w, 30);
	return job;
}

static int64_t slots_on(const struct fleet_resources *free_capacity,
			const struct fleet_resources *need, int64_t n)
{
	if (!fleet_resources_fit(need, free_capacity))
		return 0;
	n = MIN(n, free_capacity->cpu / need->cpu);
	n = MIN(n, free_capacity->memory_mb / need->memory_mb);
	return need->accelerators ? MIN(n, free_capacity->accelerators / need->accelerators) : n;
}

static struct play *add_play(struct world *w, struct work_job *job, int64_t arrives_at)
{
	struct play *p = talloc_zero(w, struct play);

	p->job = job;
	p->arrives_at = arrives_at;
	job->accepted_ms = w->at.wall + arrives_at - w->at.now;
	for (unsigned int i = 0; i < job->step_count; i++)
		p->run_ms[i] = job->step[i].estimate_ms;
	ck_assert_ptr_nonnull(sample_start(job));
	g_ptr_array_add(w->plays, p);
	return p;
}

/* returns the share of the pool that the job holds while it runs, in ms of the whole pool */
static int64_t draw_play(struct world *w, int64_t arrives_at)
{
	unsigned int n = w->plays->len + 1;
	unsigned int kind = draw(w, 20);
	struct work_job *job = kind < 13   ? draw_gang(w, n, kind < 7)
			       : kind < 19 ? draw_wide(w, n)
					   : draw_endless(w, n);
	int64_t run_ms[STEPS_MAX] = {0};
	int64_t share = 0;
	struct play *p;

	job->attempts = 2 + draw(w, 4);
	if (draw_percent(w, 10))
		job->step[0].label = talloc_strdup(job, LABEL);
	for (unsigned int i = 0; i < job->step_count; i++) {
		struct work_step *step = &job->step[i];
		int64_t per_server = slots_on(&sample_server(w->fleet, 0)->capacity, &step->need,
					      WORK_TASKS_MAX);

		run_ms[i] = 2500 + draw(w, 8500);
		step->estimate_ms = run_ms[i] * (10 + draw(w, 181)) / 100;
		share += run_ms[i] * step->count / per_server / w->fleet->all->len;
	}
	p = add_play(w, job, arrives_at);
	memcpy(p->run_ms, run_ms, sizeof(p->run_ms));
	return share;
}

static int free_plays(struct world *w)
{
	g_ptr_array_free(w->plays, TRUE);
	return 0;
}

static struct world *world_new(unsigned int servers, unsigned int per_rack)
{
	struct world *w = talloc_zero(NULL, struct world);

	w->at = (struct plan_clock){10000, 1000000};
	w->per_rack = per_rack;
	w->gone_rack = PLAN_ANY_RACK;
	w->plays = g_ptr_array_new();
	w->fleet = sample_fleet(w, servers, per_rack);
	w->scratch = plan_scratch_new(w);
	talloc_set_destructor(w, free_plays);
	return w;
}

static struct world *draw_world(unsigned int seed)
{
	static const unsigned int rack_sizes[] = {6, 8, 8, 20};
	struct world draws = {.random = seed * 2654435761u};
	unsigned int per_rack = rack_sizes[draw(&draws, G_N_ELEMENTS(rack_sizes))];
	struct world *w = world_new(24 + draw(&draws, 1 + draw(&draws, 297)), per_rack);
	unsigned int load;

	w->seed = seed;
	w->random = draws.random;
	if (draw_percent(w, 40))
		w->gone_rack = 1 + draw(w, w->fleet->racks->len - 1);
	add_labels(w);
	draw_conditions(w);
	load = 30 + draw(w, 150);
	w->arrivals_end = w->at.now + ARRIVALS_MS;
	for (int64_t at = w->at.now; at < w->arrivals_end;)
		at += 1 + draw_play(w, at) * 100 / load;
	return w;
}

/* ---- running tasks ---- */

static int64_t run_ms(const struct world *w, const struct play *p, const struct work_task *t)
{
	const struct work_group *g = t->group;
	bool is_far = g->step->data_rack &&
		      t->server->rack != fleet_find_rack(w->fleet, g->step->data_rack);

	for (unsigned int i = 0; g->step->same_rack && i < g->count; i++)
		is_far |= g->task[i].server && g->task[i].server->rack != t->server->rack;
	return p->run_ms[g->step_index] * (is_far ? FAR_FACTOR : 1);
}

static void release_group(struct work_group *g)
{
	for (unsigned int i = 0; i < g->count; i++)
		if (g->task[i].state != TASK_DONE)
			work_task_release(&g->task[i]);
}

static void fail_task(struct world *w, struct play *p, struct work_task *t)
{
	bool is_last = work_task_record_failure(t);

	fleet_note_failure(t->server, p->job->id, w->at.now);
	t->stopped_at = w->at.now;
	if (is_last) {
		work_job_set_state(p->job, WORK_FAILED, w->at.wall);
		for (guint i = 0; i < p->job->groups->len; i++)
			release_group(g_ptr_array_index(p->job->groups, i));
	} else if (t->group->step->is_gang) {
		release_group(t->group);
	} else {
		work_task_release(t);
	}
}

static void finish_task(struct world *w, struct work_task *t)
{
	struct work_group *g = t->group;

	for (unsigned int i = 0; i < g->count; i++)
		if (&g->task[i] == t || g->step->is_gang) {
			fleet_note_success(g->task[i].server, w->at.now);
			work_task_finish(&g->task[i]);
		}
}

static void advance_task(struct world *w, struct play *p, struct work_task *t)
{
	int64_t run;

	if (t->state == TASK_STOPPING && w->at.now >= t->stopped_at)
		work_task_release(t);
	if (t->state != TASK_RUNNING)
		return;
	run = run_ms(w, p, t);
	if (t->first_percent < 0) {
		t->first_percent = 0;
		t->first_percent_at = w->at.now;
	}
	t->percent = (int)MIN((w->at.now - t->started_at) * 100 / run, 99);
	t->progress_at = w->at.now;
	if (t->server->user && w->at.now >= t->started_at + FAILS_AFTER_MS)
		fail_task(w, p, t);
	else if (w->at.now >= t->started_at + run && !t->group->step->is_endless)
		finish_task(w, t);
}

static void advance_tasks(struct world *w)
{
	for (guint i = 0; i < w->plays->len; i++) {
		struct play *p = g_ptr_array_index(w->plays, i);

		for (guint k = 0; k < p->job->groups->len; k++) {
			struct work_group *g = g_ptr_array_index(p->job->groups, k);

			for (unsigned int n = 0; n < g->count && !work_job_has_ended(p->job); n++)
				advance_task(w, p, &g->task[n]);
		}
		if (work_job_all_tasks_done(p->job))
			work_job_set_state(p->job, WORK_COMPLETE, w->at.wall);
	}
}

/* ---- rounds ---- */

static void start_group(struct world *w, struct work_group *g, struct fleet_server **out)
{
	if (g->step->is_gang)
		work_task_assign_gang(g, out);
	for (unsigned int i = 0; i < g->count; i++) {
		if (!out[i])
			continue;
		if (!g->step->is_gang)
			work_task_assign(&g->task[i], out[i]);
		g->task[i].state = TASK_RUNNING;
		g->task[i].started_at = w->at.now;
		g->task[i].progress_at = w->at.now;
	}
	if (!work_group_waiting_count(g))
		g->waiting_since = 0;
}

/* starts the awaiting tasks whose victims have stopped; a gang only as a whole */
static void start_after_preemption(struct world *w, struct work_group *g)
{
	struct fleet_server **out = talloc_zero_array(w, struct fleet_server *, g->count);
	unsigned int awaiting = 0;
	unsigned int fitting = 0;

	for (unsigned int i = 0; i < g->count; i++) {
		struct work_task *t = &g->task[i];
		struct fleet_resources unused;

		if (t->state != TASK_AWAITING_PREEMPTION)
			continue;
		awaiting++;
		unused = fleet_unused_capacity(t->server);
		for (unsigned int k = 0; k < i; k++)
			if (out[k] == t->server)
				fleet_resources_add(&unused, &g->step->need, -1);
		if (fleet_accepts_work(t->server, w->at.now) &&
		    fleet_resources_fit(&g->step->need, &unused)) {
			out[i] = t->server;
			fitting++;
		}
	}
	if (fitting && (!g->step->is_gang || fitting == g->count))
		start_group(w, g, out);
	for (unsigned int i = 0; awaiting && i < g->count; i++)
		if (g->task[i].state == TASK_AWAITING_PREEMPTION &&
		    (w->at.now > g->task[i].state_deadline ||
		     work_group_partly_awaits_preemption(g)))
			work_task_release(&g->task[i]);
	talloc_free(out);
}

static void preempt(struct world *w, struct work_group *g, struct fleet_server **out)
{
	GPtrArray *victims = g_ptr_array_new();

	if (plan_preempt(w->scratch, w->fleet, g, &w->at, out, victims)) {
		for (guint i = 0; i < victims->len; i++) {
			struct work_task *t = g_ptr_array_index(victims, i);

			t->state = TASK_STOPPING;
			t->stopped_at = w->at.now + STOP_MS;
		}
		for (unsigned int i = 0; i < g->count; i++) {
			if (g->task[i].state != TASK_WAITING)
				continue;
			work_task_await_preemption(&g->task[i], out[i]);
			g->task[i].state_deadline = w->at.now + PREEMPTION_MS;
		}
	}
	g_ptr_array_free(victims, TRUE);
}

static void place_group(struct world *w, struct work_group *g)
{
	struct fleet_server **out = talloc_zero_array(w, struct fleet_server *, g->count);

	if (plan_place(w->scratch, w->fleet, g, &w->at, out))
		start_group(w, g, out);
	else if (plan_is_urgent(g))
		preempt(w, g, out);
	else
		plan_reserve(w->scratch, w->fleet, g, &w->at);
	talloc_free(out);
}

static gint compare_groups(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct world *w = data;
	struct plan_rank x = plan_rank(*(struct work_group *const *)a, &w->at);
	struct plan_rank y = plan_rank(*(struct work_group *const *)b, &w->at);

	return plan_rank_compare(&x, &y);
}

static GPtrArray *collect_ready(struct world *w)
{
	GPtrArray *ready = g_ptr_array_new();

	for (guint i = 0; i < w->plays->len; i++) {
		struct play *p = g_ptr_array_index(w->plays, i);

		for (guint k = 0; k < p->job->groups->len && p->arrives_at <= w->at.now; k++) {
			struct work_group *g = g_ptr_array_index(p->job->groups, k);

			if (!work_job_has_ended(p->job))
				start_after_preemption(w, g);
			if (!work_group_is_ready(g))
				continue;
			if (!g->ready_since && plan_is_urgent(g))
				plan_demand_record(&w->demand,
						   g->step->need.accelerators * g->count,
						   w->at.now);
			if (!g->ready_since)
				g->ready_since = w->at.now;
			if (!g->waiting_since)
				g->waiting_since = w->at.now;
			g_ptr_array_add(ready, g);
		}
	}
	g_ptr_array_sort_with_data(ready, compare_groups, w);
	return ready;
}

static void play_round(struct world *w)
{
	GPtrArray *ready;

	advance_tasks(w);
	ready = collect_ready(w);
	plan_start_round(w->scratch, w->fleet, w->at.now);
	plan_set_headroom(w->scratch, w->fleet,
			  plan_demand_forecast(&w->demand, URGENT_WINDOW, w->at.now), w->at.now);
	for (guint i = 0; i < ready->len; i++)
		place_group(w, g_ptr_array_index(ready, i));
	g_ptr_array_free(ready, TRUE);
}

/* ---- the check after a round ---- */

static bool pool_is_half_idle(const struct world *w)
{
	struct fleet_resources capacity = {0};
	struct fleet_resources used = {0};

	for (guint i = 0; i < w->fleet->all->len; i++) {
		const struct fleet_server *sv = sample_server(w->fleet, i);

		if (!fleet_accepts_work(sv, w->at.now))
			continue;
		fleet_resources_add(&capacity, &sv->capacity, 1);
		fleet_resources_add(&used, &sv->used, 1);
		fleet_resources_add(&used, &sv->unclaimed, 1);
	}
	return used.accelerators * 2 < capacity.accelerators && used.cpu * 2 < capacity.cpu;
}

static bool is_kept_out(const struct fleet_server *sv, enum cause cause, int64_t now)
{
	switch (cause) {
	case CAUSE_PROBATION:
		return sv->probation_until > now;
	case CAUSE_HEADROOM:
		return sv->is_headroom;
	case CAUSE_RESERVATION:
		return sv->is_headroom || sv->reserved_until;
	default:
		return false;
	}
}

static int64_t slots_for(const struct world *w, const struct work_group *g,
			 const struct fleet_server *sv, enum cause cause)
{
	struct fleet_resources unused =
		cause == CAUSE_PREEMPTION ? fleet_free_capacity(sv) : fleet_unused_capacity(sv);
	int64_t limit = g->step->per_server_max ? g->step->per_server_max : WORK_TASKS_MAX;

	for (guint i = 0; g->step->per_server_max && i < sv->tasks->len; i++)
		limit -= ((struct work_task *)g_ptr_array_index(sv->tasks, i))->group == g;
	if (!fleet_accepts_work(sv, w->at.now) ||
	    (g->step->label && !fleet_has_label(sv, g->step->label)))
		return 0;
	return slots_on(&unused, &g->step->need, MAX(limit, 0));
}

/* tasks of the group that fit in @rack, without the servers that @cause keeps it from */
static int64_t count_slots(const struct world *w, const struct work_group *g, unsigned int rack,
			   enum cause cause)
{
	int64_t sum = 0;

	for (guint i = 0; i < w->fleet->all->len; i++) {
		const struct fleet_server *sv = sample_server(w->fleet, i);

		if ((rack == PLAN_ANY_RACK || sv->rack == rack) &&
		    !is_kept_out(sv, cause, w->at.now))
			sum += slots_for(w, g, sv, cause);
	}
	return sum;
}

/* a gang starts as a whole; of other steps one task is enough */
static int64_t starts_with(const struct work_group *g)
{
	return g->step->is_gang ? g->count : 1;
}

/* the group could start where it is fast */
static bool fits_near(const struct world *w, const struct work_group *g, enum cause cause)
{
	unsigned int data_rack;

	if (g->step->data_rack) {
		data_rack = fleet_find_rack(w->fleet, g->step->data_rack);
		return count_slots(w, g, data_rack, cause) >= starts_with(g);
	}
	if (!g->step->same_rack)
		return count_slots(w, g, PLAN_ANY_RACK, cause) >= starts_with(g);
	for (unsigned int i = 0; i < g->count; i++)
		if (g->task[i].server)
			return count_slots(w, g, g->task[i].server->rack, cause) >= starts_with(g);
	for (guint rack = 0; rack < w->fleet->racks->len; rack++)
		if (count_slots(w, g, rack, cause) >= work_group_waiting_count(g))
			return true;
	return false;
}

static enum cause cause_of(const struct world *w, const struct work_group *g)
{
	bool is_near = fits_near(w, g, CAUSE_OTHER);

	for (enum cause cause = CAUSE_PROBATION; cause <= CAUSE_PREEMPTION; cause++)
		if (count_slots(w, g, PLAN_ANY_RACK, cause) < starts_with(g) ||
		    (is_near && !fits_near(w, g, cause)))
			return cause;
	if (is_near)
		return CAUSE_OTHER;
	return g->step->data_rack ? CAUSE_DATA_RACK : CAUSE_ONE_RACK;
}

static bool job_runs(const struct work_job *job)
{
	for (guint i = 0; i < job->groups->len; i++) {
		const struct work_group *g = g_ptr_array_index(job->groups, i);

		for (unsigned int k = 0; k < g->count; k++)
			if (g->task[k].state == TASK_RUNNING)
				return true;
	}
	return false;
}

static void record_case(struct world *w, const struct work_group *g)
{
	unsigned int i = cause_of(w, g) + (g->step->is_endless ? CAUSES : 0);

	w->cases++;
	if (w->seed && !found[i].count++)
		snprintf(found[i].first, sizeof(found[i].first),
			 "seed %u: job %s, step %u, %u tasks, at %d ms", w->seed, g->job->id,
			 g->step_index, g->count, (int)w->at.now);
}

static bool endless_task_waits(const struct world *w, const struct work_group *g)
{
	for (unsigned int i = 0; i < g->count; i++)
		if (g->task[i].state == TASK_WAITING &&
		    (!g->task[i].stopped_at || w->at.now >= g->task[i].stopped_at + RESTART_MS))
			return true;
	return false;
}

static bool is_idle(const struct world *w, const struct work_group *g, bool half_idle)
{
	if (!g->ready_since || g->done == g->count || work_job_has_ended(g->job))
		return false;
	if (g->step->is_endless ? !endless_task_waits(w, g) : !half_idle || job_runs(g->job))
		return false;
	return count_slots(w, g, PLAN_ANY_RACK, CAUSE_OTHER) >= 2 * starts_with(g);
}

static void check_idle(struct world *w)
{
	bool half_idle = pool_is_half_idle(w);

	for (guint i = 0; i < w->plays->len; i++) {
		struct play *p = g_ptr_array_index(w->plays, i);

		for (guint k = 0; k < p->job->groups->len; k++) {
			const struct work_group *g = g_ptr_array_index(p->job->groups, k);

			if (!is_idle(w, g, half_idle))
				p->idle_since[k] = 0;
			else if (!p->idle_since[k])
				p->idle_since[k] = w->at.now;
			else if (w->at.now - p->idle_since[k] == IDLE_MAX_MS)
				record_case(w, g);
		}
	}
}

static bool all_ended(const struct world *w)
{
	for (guint i = 0; i < w->plays->len; i++) {
		const struct play *p = g_ptr_array_index(w->plays, i);

		if (!work_job_has_ended(p->job))
			return false;
	}
	return true;
}

static void step_time(struct world *w)
{
	w->at.now += ROUND_MS;
	w->at.wall += ROUND_MS;
}

/* ---- drawn worlds ---- */

static void play_seeds(void)
{
	for (unsigned int seed = 1; seed <= SEEDS; seed++) {
		struct world *w = draw_world(seed);
		int64_t changes_at = w->at.now + draw(w, 400) * ROUND_MS;

		while (w->at.now < w->arrivals_end + DRAIN_MAX_MS && !all_ended(w)) {
			if (w->at.now == changes_at)
				draw_conditions(w);
			play_round(w);
			check_idle(w);
			step_time(w);
		}
		talloc_free(w);
	}
}

START_TEST(no_job_is_idle_beside_an_idle_pool)
{
	ck_assert_msg(!found[_i].count,
		      "VIOLATED idle job in drawn worlds, %s %s: %u cases, first %s",
		      _i < CAUSES ? "finite" : "endless", cause_names[_i % CAUSES], found[_i].count,
		      found[_i].first);
}
END_TEST

/* ---- fixed worlds ---- */

static struct work_job *fixed_gang(struct world *w, unsigned int members, int64_t estimate_ms)
{
	struct work_job *job = sample_job(w->fleet, w->plays->len + 1, 1, members, 8);

	job->step[0].need = whole_server;
	job->step[0].is_gang = true;
	job->step[0].estimate_ms = estimate_ms;
	return job;
}

static struct work_job *fixed_step(struct world *w, unsigned int tasks, int64_t estimate_ms)
{
	struct work_job *job = sample_job(w->fleet, w->plays->len + 1, 1, tasks, 1);

	job->step[0].need = (struct fleet_resources){5600, 23000, 1};
	job->step[0].estimate_ms = estimate_ms;
	return job;
}

/* as many tasks as a rack has servers */
static struct work_job *rack_gang(struct world *w)
{
	struct work_job *job = fixed_gang(w, 8, 4000);

	job->step[0].same_rack = true;
	return job;
}

/* a task of one accelerator that leaves no room for a task of a gang */
static void occupy(struct world *w, unsigned int server, int64_t declared_ms, int64_t run_ms)
{
	struct work_job *job = fixed_step(w, 1, declared_ms);
	struct play *p;

	job->step[0].need.memory_mb = 140000;
	p = add_play(w, job, w->at.now);
	p->run_ms[0] = run_ms;
	sample_run(&work_job_group(job, 0, 0)->task[0], sample_server(w->fleet, server), w->at.now);
}

static void occupy_racks_from(struct world *w, unsigned int server)
{
	for (unsigned int i = server; i < w->fleet->all->len; i += 8)
		occupy(w, i, 20000, 20000);
}

/* leaves no room for any task */
static void fill(struct world *w, unsigned int server)
{
	struct work_job *job = fixed_gang(w, 1, 20000);

	add_play(w, job, w->at.now);
	sample_run(&work_job_group(job, 0, 0)->task[0], sample_server(w->fleet, server), w->at.now);
}

/* plays the world and frees it; returns the number of cases */
static unsigned int play_ms(struct world *w, int64_t ms)
{
	unsigned int cases;

	for (int64_t end = w->at.now + ms; w->at.now < end; step_time(w)) {
		play_round(w);
		check_idle(w);
	}
	cases = w->cases;
	talloc_free(w);
	return cases;
}

START_TEST(a_job_that_nobody_places_is_found)
{
	struct world *w = world_new(24, 8);

	add_play(w, fixed_gang(w, 8, 4000), w->at.now);
	work_job_group(((struct play *)g_ptr_array_index(w->plays, 0))->job, 0, 0)->ready_since =
		w->at.now;
	for (unsigned int i = 0; i <= IDLE_MAX_MS / ROUND_MS; i++) {
		ck_assert_uint_eq(w->cases, 0);
		check_idle(w);
		step_time(w);
	}
	ck_assert_uint_eq(w->cases, 1);
	talloc_free(w);
}
END_TEST

/* one small task in each rack leaves no rack that holds the whole step */
START_TEST(no_step_waits_for_one_of_many_fragmented_racks)
{
	struct world *w = world_new(24, 8);
	struct work_job *job;

	occupy_racks_from(w, 0);
	job = rack_gang(w);
	job->step[0].is_gang = _i;
	add_play(w, job, w->at.now);
	ck_assert_msg(
		!play_ms(w, 8000),
		"VIOLATED idle job: a step waits for a rack while each is fragmented, gang %d", _i);
}
END_TEST

/* a rack holds the gang by its listed servers only */
START_TEST(a_gang_does_not_wait_for_a_rack_with_a_bad_server)
{
	struct world *w = world_new(24, 8);
	struct work_job *job = rack_gang(w);

	for (unsigned int i = 0; i < 24; i += 8)
		set_condition(w, i, _i);
	add_play(w, job, w->at.now);
	ck_assert_msg(!play_ms(w, 8000),
		      "VIOLATED idle job: a gang waits for a rack while each has a bad server: %s",
		      condition_names[_i]);
}
END_TEST

/* the gang for one rack never takes the servers of several racks that are reserved for it */
START_TEST(servers_are_not_reserved_for_a_gang_that_does_not_take_them)
{
	struct world *w = world_new(16, 8);
	struct work_job *job = rack_gang(w);

	set_condition(w, 0, SUSPECT);
	set_condition(w, 8, SUSPECT);
	add_play(w, job, w->at.now);
	add_play(w, fixed_gang(w, 7, 8000), w->at.now + 1500);
	ck_assert_msg(
		!play_ms(w, 8000),
		"VIOLATED idle job: a gang waits beside servers reserved for one that waits on");
}
END_TEST

static void add_step_near(struct world *w, const char *rack, const char *label)
{
	struct work_job *job = fixed_step(w, 12, 9000);

	job->step[0].data_rack = talloc_strdup(job, rack);
	job->step[0].label = talloc_strdup(job, label);
	add_play(w, job, w->at.now);
}

START_TEST(a_step_does_not_wait_for_a_data_rack_whose_servers_are_bad)
{
	struct world *w = world_new(24, 8);

	for (unsigned int i = 8; i < 16; i++)
		set_condition(w, i, _i);
	add_step_near(w, "r1", NULL);
	ck_assert_msg(!play_ms(w, 8000),
		      "VIOLATED idle job: a step waits for a data rack whose servers are bad: %s",
		      condition_names[_i]);
}
END_TEST

START_TEST(a_step_does_not_wait_for_a_data_rack_without_its_label)
{
	struct world *w = world_new(24, 8);

	add_labels(w);
	add_step_near(w, "r2", LABEL);
	ck_assert_msg(!play_ms(w, 8000),
		      "VIOLATED idle job: a step waits for a data rack that lacks its label");
}
END_TEST

/* declared run times are too long by up to nine tenths, and the other racks are free */
START_TEST(a_step_does_not_wait_long_for_a_full_data_rack)
{
	struct world *w = world_new(24, 8);

	for (unsigned int i = 8; i < 16; i++)
		fill(w, i);
	add_step_near(w, "r1", NULL);
	ck_assert_msg(!play_ms(w, 8000), "VIOLATED idle job: a step waits for a full data rack");
}
END_TEST

/* 20 servers reserved until one of them is free keep the rest of the pool idle */
START_TEST(a_reservation_does_not_keep_most_of_the_pool_idle)
{
	struct world *w = world_new(24, 8);
	int64_t declared_ms = _i ? 1000 : 20000;

	for (unsigned int i = 0; i < 5; i++)
		occupy(w, i, declared_ms, 20000);
	add_play(w, fixed_gang(w, 20, 4000), w->at.now);
	add_play(w, fixed_gang(w, 5, 20000), w->at.now + 1500);
	ck_assert_msg(!play_ms(w, 8000),
		      "VIOLATED idle job: a gang waits beside reserved servers; declared %d ms",
		      (int)declared_ms);
}
END_TEST

/* an urgent task arrives every @every_ms and runs for @run_ms, for all of the play */
static void add_urgent(struct world *w, int64_t accelerators, int64_t every_ms, int64_t run_ms)
{
	for (int64_t at = 0; at < 8000; at += every_ms) {
		struct work_job *job = fixed_step(w, 1, run_ms);

		job->priority = 0;
		job->step[0].need.accelerators = accelerators;
		add_play(w, job, w->at.now + at);
	}
}

START_TEST(headroom_does_not_take_a_server_from_each_free_rack)
{
	struct world *w = world_new(24, 8);
	struct work_job *job;

	occupy_racks_from(w, 8);
	job = rack_gang(w);
	add_play(w, job, w->at.now + 1500);
	add_urgent(w, 2, 500, 2500);
	ck_assert_msg(!play_ms(w, 8000),
		      "VIOLATED idle job: a gang waits for a rack of which a server is headroom");
}
END_TEST

/* the two servers without a task come first in the rack that is most free */
START_TEST(headroom_does_not_take_each_server_that_is_free_as_a_whole)
{
	struct world *w = world_new(24, 8);

	for (unsigned int i = 0; i < 24; i++)
		if (i != 16 && i != 17)
			occupy(w, i, 20000, 20000);
	add_play(w, fixed_gang(w, 1, 4000), w->at.now + 3000);
	add_urgent(w, 4, 125, 1500);
	ck_assert_msg(!play_ms(w, 8000),
		      "VIOLATED idle job: a task waits while each free server is headroom");
}
END_TEST

/* a task said to run on a server that does not answer is no sibling to join */
START_TEST(a_step_does_not_wait_for_the_rack_of_an_unconfirmed_task)
{
	struct world *w = world_new(24, 8);
	struct work_job *job = fixed_gang(w, 4, 4000);
	struct work_group *g;

	job->step[0].is_gang = false;
	job->step[0].same_rack = true;
	add_play(w, job, w->at.now);
	g = work_job_group(job, 0, 0);
	sample_run(&g->task[0], sample_server(w->fleet, 0), w->at.now);
	g->task[0].state = TASK_UNCONFIRMED;
	for (unsigned int i = 0; i < 8; i++)
		set_condition(w, i, UNREACHABLE);
	ck_assert_msg(!play_ms(w, 8000),
		      "VIOLATED idle job: a step waits for the rack of an unconfirmed task");
}
END_TEST

/* a rack where a stopping task would be free again costs least each time */
START_TEST(urgent_work_does_not_wait_again_and_again_for_a_task_that_does_not_stop)
{
	struct world *w = world_new(24, 8);
	struct work_job *job;
	struct work_task *t;

	occupy_racks_from(w, 0);
	t = g_ptr_array_index(sample_server(w->fleet, 0)->tasks, 0);
	t->state = TASK_STOPPING;
	t->stopped_at = INT64_MAX;
	job = rack_gang(w);
	job->priority = 0;
	add_play(w, job, w->at.now);
	ck_assert_msg(!play_ms(w, 8000),
		      "VIOLATED idle job: an urgent gang waits for a task that does not stop");
}
END_TEST

/* one task a server is allowed, and two servers of the rack have left */
START_TEST(an_endless_task_does_not_wait_for_the_full_rack_of_its_siblings)
{
	struct world *w = world_new(24, 8);
	struct work_job *job = fixed_step(w, 7, 4000);
	struct work_group *g;

	job->step[0].is_endless = true;
	job->step[0].same_rack = true;
	job->step[0].per_server_max = 1;
	add_play(w, job, w->at.now);
	g = work_job_group(job, 0, 0);
	for (unsigned int i = 0; i < 6; i++)
		sample_run(&g->task[i], sample_server(w->fleet, i), w->at.now);
	set_condition(w, 6, UNLISTED);
	set_condition(w, 7, UNLISTED);
	ck_assert_msg(!play_ms(w, 8000),
		      "VIOLATED idle job: an endless task waits for the full rack of its siblings");
}
END_TEST

START_TEST(an_endless_task_does_not_wait_beside_reserved_servers)
{
	struct world *w = world_new(24, 8);
	struct work_job *job;

	for (unsigned int i = 0; i < 18; i++)
		fill(w, i);
	add_play(w, fixed_gang(w, 8, 4000), w->at.now);
	job = fixed_step(w, 1, 30000);
	job->step[0].is_endless = true;
	add_play(w, job, w->at.now + 1500);
	ck_assert_msg(!play_ms(w, 8000),
		      "VIOLATED idle job: an endless task waits beside reserved servers");
}
END_TEST

/* tasks that hold all accelerators of a server, but few cores, arrive all the time */
START_TEST(arrivals_do_not_starve_a_gang_with_a_reservation)
{
	struct world *w = world_new(20, 20);
	struct work_job *gang = sample_job(w->fleet, 1, 1, 8 + 2 * (unsigned int)_i, 8);
	int64_t end = w->at.now + 30000;
	const struct work_group *g;

	gang->step[0].is_gang = true;
	add_play(w, gang, w->at.now + 5000);
	g = work_job_group(gang, 0, 0);
	for (int64_t at = w->at.now; at < end; at += 200)
		add_play(w, sample_job(w->fleet, w->plays->len + 1, 1, 1, 8), at);
	for (; w->at.now < end && !g->done; step_time(w))
		play_round(w);
	ck_assert_msg(g->done, "VIOLATED idle job: a gang of %u waits while single tasks arrive",
		      g->count);
	talloc_free(w);
}
END_TEST

/* the first step has too few attempts for the one free server, which is on probation */
START_TEST(an_unmet_need_excludes_no_step_that_may_use_more_servers)
{
	struct world *w = world_new(24, 8);
	struct work_job *cautious = fixed_gang(w, 1, 4000);
	struct work_job *bold = fixed_gang(w, 1, 4000);
	struct fleet_server *out[1];

	for (unsigned int i = 1; i < 24; i++)
		occupy(w, i, 20000, 20000);
	set_condition(w, 0, ON_PROBATION);
	bold->step[0].is_gang = false;
	bold->attempts = 5;
	plan_start_round(w->scratch, w->fleet, w->at.now);
	ck_assert_uint_eq(plan_place(w->scratch, w->fleet, sample_start(cautious), &w->at, out), 0);
	ck_assert_msg(plan_place(w->scratch, w->fleet, sample_start(bold), &w->at, out) == 1,
		      "VIOLATED idle job: a step is skipped that may use a server on probation");
	talloc_free(w);
}
END_TEST

/* failures go on at half of the servers that are left, so the jobs must be at fault */
START_TEST(servers_that_have_left_do_not_count_for_probation)
{
	struct world *w = world_new(24, 8);

	for (unsigned int i = 0; i < 12; i++)
		set_condition(w, i, UNLISTED);
	for (unsigned int i = 12; i < 18; i++)
		sample_server(w->fleet, i)->probation_until = w->at.now + 3 * FLEET_PROBATION_MS;
	occupy(w, 18, 20000, 20000);
	occupy(w, 19, 20000, 20000);
	add_play(w, fixed_gang(w, 5, 4000), w->at.now);
	ck_assert_msg(!play_ms(w, 8000),
		      "VIOLATED idle job: a gang waits while half of the servers are on probation");
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_unchecked_fixture(t, play_seeds, NULL);
	tcase_add_loop_test(t, no_job_is_idle_beside_an_idle_pool, 0, 2 * CAUSES);
	tcase_add_test(t, a_job_that_nobody_places_is_found);
	tcase_add_loop_test(t, no_step_waits_for_one_of_many_fragmented_racks, 0, 2);
	tcase_add_loop_test(t, a_gang_does_not_wait_for_a_rack_with_a_bad_server, 0, TAKES_NO_WORK);
	tcase_add_test(t, servers_are_not_reserved_for_a_gang_that_does_not_take_them);
	tcase_add_loop_test(t, a_step_does_not_wait_for_a_data_rack_whose_servers_are_bad, 0,
			    TAKES_NO_WORK);
	tcase_add_test(t, a_step_does_not_wait_for_a_data_rack_without_its_label);
	tcase_add_test(t, a_step_does_not_wait_long_for_a_full_data_rack);
	tcase_add_loop_test(t, a_reservation_does_not_keep_most_of_the_pool_idle, 0, 2);
	tcase_add_test(t, a_step_does_not_wait_for_the_rack_of_an_unconfirmed_task);
	tcase_add_test(t, urgent_work_does_not_wait_again_and_again_for_a_task_that_does_not_stop);
	tcase_add_test(t, an_endless_task_does_not_wait_for_the_full_rack_of_its_siblings);
	tcase_add_test(t, an_endless_task_does_not_wait_beside_reserved_servers);
	tcase_add_test(t, an_unmet_need_excludes_no_step_that_may_use_more_servers);
	tcase_add_test(t, servers_that_have_left_do_not_count_for_probation);
	tcase_add_loop_test(t, arrivals_do_not_starve_a_gang_with_a_reservation, 0, 5);
	tcase_add_test(t, headroom_does_not_take_a_server_from_each_free_rack);
	tcase_add_test(t, headroom_does_not_take_each_server_that_is_free_as_a_whole);
}

int main(void)
{
	return run_suite("plan_idle", add_tests);
}
