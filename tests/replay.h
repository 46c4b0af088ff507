/**
 * DOC: replay - a small pool under the load that the speeds of servers matter for
 *
 * Gangs of priority 0 and 1, and steps of single tasks of priority 2, run on servers of given
 * speeds. Servers list their runs every 2 s and at each end. All random numbers come from a seed.
 */
#ifndef REPLAY_H
#define REPLAY_H

#include <math.h>

#include "sample.h"
#include "speed/speed.h"

#define REPLAY_STEP_MS 50
#define REPLAY_LIST_MS 2000
#define REPLAY_PER_RACK 12
#define REPLAY_KINDS 3

/**
 * struct replay_kind - jobs of one queue
 * @mean_ms: mean run time of a task at speed 1.0
 */
struct replay_kind {
	const char *queue;
	unsigned int tasks_min;
	unsigned int tasks_max;
	int64_t mean_ms;
	int64_t accelerators_max;
	bool is_gang;
};

static const struct replay_kind replay_kinds[REPLAY_KINDS] = {
	{"urgent", 2, 8, 2300, 8, true},
	{"gangs", 4, 20, 8100, 8, true},
	{"singles", 20, 60, 8800, 1, false},
};

/* of a large pool; a third of the jobs are single tasks */
static const struct replay_kind replay_large_kinds[REPLAY_KINDS] = {
	{"urgent", 2, 8, 2300, 8, true},
	{"gangs", 4, 30, 8100, 8, true},
	{"singles", 20, 200, 8800, 1, false},
};

/* a group that has been started, and how it proceeds */
struct replay_group {
	struct work_group *g;
	const struct replay_kind *kind;
	double *work_ms; /* of each task */
	double *done;	 /* share of each task that is done; of a gang the first counts */
	int64_t arrived;
	int64_t mean_ms;
};

/**
 * struct replay - the pool
 * @declared_error: declared run times are wrong by up to this share of the real ones
 * @tails: share of tasks that take 7 times as long
 * @kinds: of the jobs that come
 * @backlog: groups that wait at any time
 * @busy: with no backlog, jobs come at the rate that keeps this share of the accelerators busy
 * @offered: accelerator-ms at speed 1.0 that may still come
 * @shares: of the jobs of each kind
 * @of_server: speed of each server
 * @listed_at: when each server last listed its runs
 * @work_done: real work of all ended tasks, in accelerator-ms at speed 1.0
 * @urgent, @urgent_late: urgent jobs that have ended, and those that ended too late
 * @mixed, @gangs: gangs on servers of both speeds, and all gangs placed
 * @hides_speeds: decisions do not learn of the speeds
 * @decisions: hash of all placements
 */
struct replay {
	GRand *rng;
	struct fleet *fleet;
	struct speed *speed;
	struct plan_scratch *scratch;
	GPtrArray *groups;
	int64_t now;
	double declared_error;
	double tails;
	const struct replay_kind *kinds;
	unsigned int backlog;
	double busy;
	double offered;
	double shares[REPLAY_KINDS];
	double *of_server;
	int64_t *listed_at;
	unsigned int jobs;
	double work_done;
	unsigned int urgent;
	unsigned int urgent_late;
	unsigned int gangs;
	unsigned int mixed;
	bool hides_speeds;
	uint64_t decisions;
};

static inline double replay_random(struct replay *r)
{
	return g_rand_double(r->rng);
}

/* a standard normal deviate */
static inline double replay_normal(struct replay *r)
{
	double sum = -6;

	for (int i = 0; i < 12; i++)
		sum += replay_random(r);
	return sum;
}

static inline unsigned int replay_index(const struct fleet_server *sv)
{
	return (unsigned int)strtoul(sv->id + 1, NULL, 10);
}

static inline struct replay *replay_new(unsigned int seed, unsigned int servers, double slow_share,
					double slow, double fast)
{
	struct replay *r = talloc_zero(NULL, struct replay);
	struct speed_watch watch = {NULL, NULL, NULL};

	r->rng = g_rand_new_with_seed(seed);
	r->fleet = sample_fleet(r, servers, REPLAY_PER_RACK);
	r->speed = speed_new(r, r->fleet, &watch);
	r->scratch = plan_scratch_new(r);
	r->groups = g_ptr_array_new();
	r->now = 100000;
	r->declared_error = 0.5;
	r->tails = 0.03;
	r->kinds = replay_kinds;
	r->backlog = 6;
	r->shares[0] = 0.5;
	r->shares[1] = 0.25;
	r->shares[2] = 0.25;
	r->of_server = talloc_array(r, double, servers);
	r->listed_at = talloc_zero_array(r, int64_t, servers);
	for (unsigned int i = 0; i < servers; i++) {
		r->of_server[i] = replay_random(r) < slow_share ? slow : fast;
		r->listed_at[i] = r->now - g_rand_int_range(r->rng, 0, REPLAY_LIST_MS);
	}
	return r;
}

static inline void replay_free(struct replay *r)
{
	g_rand_free(r->rng);
	g_ptr_array_free(r->groups, TRUE);
	talloc_free(r);
}

static inline void replay_add_job(struct replay *r)
{
	double draw = replay_random(r);
	const struct replay_kind *k = &r->kinds[draw < r->shares[0]		     ? 0
						: draw < r->shares[0] + r->shares[1] ? 1
										     : 2];
	unsigned int tasks =
		(unsigned int)g_rand_int_range(r->rng, (int)k->tasks_min, (int)k->tasks_max + 1);
	int64_t accelerators = k->accelerators_max > 1 ? 1 << g_rand_int_range(r->rng, 0, 4) : 1;
	struct replay_group *rg = talloc_zero(r, struct replay_group);
	struct work_job *job = sample_job(rg, ++r->jobs, k - r->kinds, tasks, accelerators);
	double error = 1 + r->declared_error * (2 * replay_random(r) - 1);

	job->queue = talloc_strdup(job, k->queue);
	job->step[0].is_gang = k->is_gang;
	job->step[0].same_rack = k->is_gang && replay_random(r) < 0.5 && tasks <= 8;
	job->step[0].need = (struct fleet_resources){1000, 1000, accelerators};
	job->step[0].estimate_ms = MAX((int64_t)((double)k->mean_ms * error), 1);
	job->accepted_ms = r->now;
	rg->g = sample_start(job);
	rg->g->ready_since = r->now;
	rg->kind = k;
	rg->arrived = r->now;
	rg->mean_ms = k->mean_ms;
	rg->work_ms = talloc_array(rg, double, tasks);
	rg->done = talloc_zero_array(rg, double, tasks);
	for (unsigned int i = 0; i < tasks; i++) {
		rg->work_ms[i] = (double)k->mean_ms * exp(0.3 * replay_normal(r));
		if (replay_random(r) < r->tails)
			rg->work_ms[i] *= 7;
	}
	g_ptr_array_add(r->groups, rg);
	r->offered -= (double)(tasks * accelerators * k->mean_ms);
}

/* 8 accelerators a server */
static inline void replay_add_due(struct replay *r)
{
	int64_t used = 0;

	for (guint i = 0; i < r->fleet->all->len; i++) {
		r->offered += r->busy * 8 * REPLAY_STEP_MS * r->of_server[i];
		used += sample_server(r->fleet, i)->used.accelerators;
	}
	while (r->offered > 0 && (double)used < r->busy * 8 * r->fleet->all->len)
		replay_add_job(r);
	r->offered = MIN(r->offered, 0);
}

static inline void replay_place(struct replay *r, struct replay_group *rg)
{
	struct plan_clock at = {r->now, r->now};
	struct fleet_server *out[256];
	bool has_slow = false;
	bool has_fast = false;
	double fastest = 0;

	rg->g->job->run_ratio = r->hides_speeds ? 1 : speed_job_ratio(r->speed, rg->g->job);
	if (!work_group_is_ready(rg->g) || !plan_place(r->scratch, r->fleet, rg->g, &at, out))
		return;
	if (rg->kind->is_gang)
		work_task_assign_gang(rg->g, out);
	for (unsigned int i = 0; i < rg->g->count; i++) {
		struct work_task *t = &rg->g->task[i];

		if (!out[i])
			continue;
		if (!rg->kind->is_gang)
			work_task_assign(t, out[i]);
		t->state = TASK_RUNNING;
		t->started_at = t->start_sent_at = t->progress_at = r->now;
		r->decisions = r->decisions * 31 + replay_index(out[i]) + 1;
		fastest = MAX(fastest, r->of_server[replay_index(out[i])]);
	}
	for (unsigned int i = 0; rg->kind->is_gang && i < rg->g->count; i++) {
		bool is_fast = r->of_server[replay_index(out[i])] >= fastest * 0.8;

		has_fast |= is_fast;
		has_slow |= !is_fast;
	}
	r->gangs += rg->kind->is_gang;
	r->mixed += has_slow && has_fast;
}

/* share of a task that is done in one step of time; a gang runs at the pace of the slowest */
static inline double replay_pace(struct replay *r, const struct replay_group *rg, unsigned int i)
{
	const struct work_group *g = rg->g;
	double pace = HUGE_VAL;
	unsigned int first = rg->kind->is_gang ? 0 : i;
	unsigned int end = rg->kind->is_gang ? g->count : i + 1;

	for (unsigned int k = first; k < end; k++)
		pace = MIN(pace, r->of_server[replay_index(g->task[k].server)] / rg->work_ms[k]);
	return pace * REPLAY_STEP_MS;
}

static inline void replay_list(struct replay *r, struct fleet_server *sv)
{
	r->listed_at[replay_index(sv)] = r->now;
	for (guint i = 0; i < sv->tasks->len; i++) {
		struct work_task *t = g_ptr_array_index(sv->tasks, i);
		const struct replay_group *rg =
			talloc_get_type_abort(talloc_parent(t->group->job), struct replay_group);
		int percent = (int)(100 * rg->done[rg->kind->is_gang ? 0 : t->index]);

		if (t->first_percent < 0) {
			t->first_percent = percent;
			t->first_percent_at = r->now;
		}
		if (percent != t->percent)
			t->progress_at = r->now;
		t->percent = percent;
		speed_note_progress(r->speed, t, r->now);
	}
}

static inline void replay_end(struct replay *r, struct replay_group *rg, unsigned int i)
{
	struct work_group *g = rg->g;
	unsigned int first = rg->kind->is_gang ? 0 : i;
	unsigned int end = rg->kind->is_gang ? g->count : i + 1;
	double slowest = 0;

	speed_note_end(r->speed, &g->task[i], r->now, 0);
	for (unsigned int k = first; k < end; k++) {
		struct fleet_server *sv = g->task[k].server;

		slowest = MAX(slowest, rg->work_ms[k]);
		work_task_finish(&g->task[k]);
		replay_list(r, sv);
	}
	r->work_done += (double)(end - first) * slowest * (double)g->step->need.accelerators;
	if (rg->kind == &r->kinds[0]) {
		r->urgent++;
		r->urgent_late += (double)(r->now - rg->arrived) > 1.5 * slowest + 250;
	}
}

static inline void replay_run_group(struct replay *r, struct replay_group *rg)
{
	unsigned int end = rg->kind->is_gang ? 1 : rg->g->count;

	for (unsigned int i = 0; i < end; i++) {
		if (rg->g->task[i].state != TASK_RUNNING)
			continue;
		rg->done[i] += replay_pace(r, rg, i);
		if (rg->done[i] >= 1)
			replay_end(r, rg, i);
	}
}

/* one step of time: arrivals, placement, progress, lists */
static inline void replay_step(struct replay *r)
{
	unsigned int waiting = 0;

	r->now += REPLAY_STEP_MS;
	for (guint i = 0; i < r->groups->len; i++) {
		struct replay_group *rg = g_ptr_array_index(r->groups, i);

		if (rg->g->done == rg->g->count) {
			g_ptr_array_remove_index(r->groups, i--);
			talloc_free(rg);
			continue;
		}
		waiting += work_group_waiting_count(rg->g) > 0;
	}
	for (; waiting < r->backlog; waiting++)
		replay_add_job(r);
	if (!r->backlog)
		replay_add_due(r);
	plan_start_round(r->scratch, r->fleet, r->now);
	for (unsigned int kind = 0; kind < REPLAY_KINDS; kind++) {
		for (guint i = 0; i < r->groups->len; i++) {
			struct replay_group *rg = g_ptr_array_index(r->groups, i);

			if (rg->kind == &r->kinds[kind])
				replay_place(r, rg);
		}
	}
	for (guint i = 0; i < r->groups->len; i++)
		replay_run_group(r, g_ptr_array_index(r->groups, i));
	for (guint i = 0; i < r->fleet->all->len; i++)
		if (r->now - r->listed_at[i] >= REPLAY_LIST_MS)
			replay_list(r, sample_server(r->fleet, i));
	speed_update(r->speed, r->now);
	for (guint i = 0; r->hides_speeds && i < r->fleet->all->len; i++) {
		sample_server(r->fleet, i)->speed = 1;
		sample_server(r->fleet, i)->speed_class = FLEET_SPEED_UNKNOWN;
	}
}

#endif
