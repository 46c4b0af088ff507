/**
 * DOC: test_plan_shapes - the scheduling decisions on pools and loads of other shapes
 *
 * Each shape is played for some time in rounds like the leader's: urgent work first, then
 * placement, preemption and reservations. Nothing may depend on the number of servers, their
 * size, the number of racks, the length of run times or the share of urgent work.
 */
#include <check.h>
#include <string.h>

#include "runner.h"
#include "sample.h"

#define ROUND_MS 100
#define JOBS 60
#define STOP_MS 400	  /* a victim's capacity is free this long after its stop */
#define URGENT_WINDOW 700 /* ms for which headroom is kept */

/**
 * struct shape - a pool and a load
 * @accelerators: of each server
 * @run_ms: declared run time of a task; the real one is half to one and a half of it
 * @urgent_percent: share of urgent jobs
 * @load: accelerators requested at once, in percent of the pool's
 */
struct shape {
	const char *name;
	unsigned int servers;
	unsigned int per_rack;
	int64_t accelerators;
	int64_t run_ms;
	unsigned int urgent_percent;
	unsigned int load;
};

static const struct shape shapes[] = {
	{"as today", 42, 6, 8, 4000, 40, 120},	      {"small servers", 42, 6, 4, 4000, 40, 120},
	{"one rack", 24, 24, 8, 4000, 40, 120},	      {"three servers", 3, 1, 8, 4000, 40, 120},
	{"thirty servers", 30, 10, 8, 4000, 40, 120}, {"long run times", 30, 10, 8, 40000, 40, 120},
	{"mostly urgent", 30, 10, 8, 4000, 90, 120},  {"nothing urgent", 30, 10, 8, 4000, 0, 120},
	{"overloaded", 30, 10, 8, 4000, 40, 300},
};

struct world {
	const struct shape *shape;
	struct fleet *fleet;
	struct plan_scratch *scratch;
	struct plan_demand demand;
	struct work_group *group[JOBS];
	int64_t arrives_at[JOBS];
	struct plan_clock at;
	uint32_t random;
};

static uint32_t next_random(struct world *w)
{
	w->random = w->random * 1664525u + 1013904223u;
	return w->random >> 16;
}

static struct work_group *add_job(struct world *w, unsigned int n)
{
	const struct shape *shape = w->shape;
	int64_t accelerators = (int64_t)1 << (next_random(w) % 4);
	unsigned int tasks = 1 + next_random(w) % 6;
	bool is_urgent = next_random(w) % 100 < shape->urgent_percent;
	struct work_job *job;

	accelerators = MIN(accelerators, shape->accelerators);
	tasks = MIN(tasks, shape->servers);
	job = sample_job(w->fleet, n + 1, is_urgent ? 0 : 1, tasks, accelerators);
	job->step[0].estimate_ms = shape->run_ms;
	job->step[0].is_gang = next_random(w) % 2;
	job->accepted_ms = w->at.wall + w->arrives_at[n] - w->at.now;
	return sample_start(job);
}

static struct world *world_new(const struct shape *shape)
{
	struct world *w = talloc_zero(NULL, struct world);
	int64_t mean = (int64_t)shape->servers * shape->accelerators;
	int64_t requested = 0;

	w->shape = shape;
	w->random = 7;
	w->at = (struct plan_clock){10000, 1000000};
	w->fleet = sample_fleet(w, shape->servers, shape->per_rack);
	for (unsigned int i = 0; i < shape->servers; i++)
		sample_server(w->fleet, i)->capacity.accelerators = shape->accelerators;
	w->scratch = plan_scratch_new(w);
	for (unsigned int i = 0; i < JOBS; i++) {
		/* one run time's worth of requests holds @load percent of the pool */
		w->arrives_at[i] =
			w->at.now + requested * shape->run_ms * 100 / (mean * shape->load);
		w->group[i] = add_job(w, i);
		ck_assert_ptr_nonnull(w->group[i]);
		requested += w->group[i]->step->need.accelerators * w->group[i]->count;
	}
	return w;
}

static int64_t real_run_ms(const struct world *w, const struct work_task *t)
{
	const struct work_job *job = t->group->job;

	return w->shape->run_ms / 2 + w->shape->run_ms * (job->id[WORK_ID_LEN - 1] % 11) / 10;
}

static void advance_tasks(struct world *w)
{
	for (unsigned int i = 0; i < JOBS; i++) {
		struct work_group *g = w->group[i];

		for (unsigned int k = 0; k < g->count; k++) {
			struct work_task *t = &g->task[k];

			if (t->state == TASK_RUNNING &&
			    w->at.now >= t->started_at + real_run_ms(w, t))
				work_task_finish(t);
			else if (t->state == TASK_STOPPING && w->at.now >= t->stopped_at)
				work_task_release(t);
		}
	}
}

static void start_tasks(struct world *w, struct work_group *g, struct fleet_server **out)
{
	for (unsigned int k = 0; k < g->count; k++)
		if (out[k] && g->task[k].state == TASK_WAITING)
			sample_run(&g->task[k], out[k], w->at.now);
}

static bool all_free(const struct work_group *g)
{
	for (unsigned int k = 0; k < g->count; k++) {
		struct fleet_resources unused;

		if (g->task[k].state != TASK_AWAITING_PREEMPTION)
			continue;
		unused = fleet_unused_capacity(g->task[k].server);
		if (!fleet_resources_fit(&g->step->need, &unused))
			return false;
	}
	return true;
}

/* starts the tasks whose victims have stopped, server by server */
static void start_after_preemption(struct world *w)
{
	for (unsigned int i = 0; i < JOBS; i++) {
		struct work_group *g = w->group[i];

		if (g->step->is_gang && !all_free(g))
			continue;
		for (unsigned int k = 0; k < g->count; k++) {
			struct work_task *t = &g->task[k];
			struct fleet_resources unused;

			if (t->state != TASK_AWAITING_PREEMPTION)
				continue;
			unused = fleet_unused_capacity(t->server);
			if (fleet_resources_fit(&g->step->need, &unused))
				sample_run(t, t->server, w->at.now);
			else
				work_task_release(t);
		}
	}
}

static void preempt(struct world *w, struct work_group *g, struct fleet_server **out)
{
	GPtrArray *victims = g_ptr_array_new();

	if (plan_preempt(w->scratch, w->fleet, g, &w->at, out, victims)) {
		for (guint i = 0; i < victims->len; i++) {
			struct work_task *t = g_ptr_array_index(victims, i);

			ck_assert_int_gt(t->group->job->priority, g->job->priority);
			t->state = TASK_STOPPING;
			t->stopped_at = w->at.now + STOP_MS;
		}
		for (unsigned int k = 0; k < g->count; k++)
			if (g->task[k].state == TASK_WAITING)
				work_task_await_preemption(&g->task[k], out[k]);
	}
	g_ptr_array_free(victims, TRUE);
}

/* work that may use every server waits only while no server has room for one task of it */
static void check_no_idle_capacity(struct world *w, const struct work_group *g)
{
	if (g->step->is_gang || !work_group_waiting_count(g))
		return;
	for (guint i = 0; i < w->fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(w->fleet->all, i);
		struct fleet_resources free_capacity = fleet_free_capacity(sv);

		if (sv->is_headroom || sv->reserved_until)
			continue;
		ck_assert_msg(!fleet_resources_fit(&g->step->need, &free_capacity),
			      "%s: a task waits beside a server with room", w->shape->name);
	}
}

static gint compare_groups(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct world *w = data;
	struct plan_rank x = plan_rank(*(struct work_group *const *)a, &w->at);
	struct plan_rank y = plan_rank(*(struct work_group *const *)b, &w->at);

	return plan_rank_compare(&x, &y);
}

static void play_round(struct world *w)
{
	GPtrArray *ready = g_ptr_array_new();
	struct fleet_server *out[8];

	advance_tasks(w);
	start_after_preemption(w);
	for (unsigned int i = 0; i < JOBS; i++) {
		struct work_group *g = w->group[i];

		if (w->arrives_at[i] > w->at.now || !work_group_is_ready(g))
			continue;
		if (!g->ready_since) {
			g->ready_since = w->at.now;
			if (g->job->priority == 0)
				plan_demand_record(&w->demand,
						   g->step->need.accelerators * g->count,
						   w->at.now);
		}
		g_ptr_array_add(ready, g);
	}
	g_ptr_array_sort_with_data(ready, compare_groups, w);
	plan_start_round(w->scratch, w->fleet, w->at.now);
	plan_set_headroom(w->scratch, w->fleet,
			  plan_demand_forecast(&w->demand, URGENT_WINDOW, w->at.now), w->at.now);
	for (guint i = 0; i < ready->len; i++) {
		struct work_group *g = g_ptr_array_index(ready, i);

		if (plan_place(w->scratch, w->fleet, g, &w->at, out))
			start_tasks(w, g, out);
		else if (g->job->priority == 0)
			preempt(w, g, out);
		else
			plan_reserve(w->scratch, w->fleet, g, &w->at);
	}
	for (guint i = 0; i < ready->len; i++)
		check_no_idle_capacity(w, g_ptr_array_index(ready, i));
	g_ptr_array_free(ready, TRUE);
}

static unsigned int unfinished(const struct world *w)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < JOBS; i++)
		n += w->group[i]->done < w->group[i]->count;
	return n;
}

static void check_capacity(const struct world *w)
{
	for (guint i = 0; i < w->fleet->all->len; i++) {
		struct fleet_resources unused =
			fleet_unused_capacity(g_ptr_array_index(w->fleet->all, i));

		ck_assert_int_ge(unused.accelerators, 0);
		ck_assert_int_ge(unused.cpu, 0);
	}
}

/*
 * The work that the jobs request fills the pool for JOBS times their mean share; ten
 * times the longest run time is added for what preemption and fragmentation cost.
 */
START_TEST(every_job_ends_and_no_capacity_is_idle_beside_fitting_work)
{
	struct world *w = world_new(&shapes[_i]);
	int64_t last_arrival = w->arrives_at[JOBS - 1];
	int64_t limit = last_arrival + (last_arrival - w->at.now) * w->shape->load / 100 +
			15 * w->shape->run_ms;

	while (unfinished(w) && w->at.now < limit) {
		play_round(w);
		check_capacity(w);
		w->at.now += ROUND_MS;
		w->at.wall += ROUND_MS;
	}
	ck_assert_msg(!unfinished(w), "%s: %u jobs have not ended", w->shape->name, unfinished(w));
	talloc_free(w);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_loop_test(t, every_job_ends_and_no_capacity_is_idle_beside_fitting_work, 0,
			    G_N_ELEMENTS(shapes));
}

int main(void)
{
	return run_suite("plan_shapes", add_tests);
}
