/**
 * DOC: bench_policy - completion time and fragmentation compared to two baselines
 *
 * A discrete-event simulation drives the policy library and the baselines with
 * the same seeded workload: arrivals with bursts, heavy-tailed run times and
 * wrong declared run times. Prints one line per result; the exit status is 1
 * when a result misses its bound.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "baseline.h"
#include "figure.h"
#include "policy/policy.h"

#define CHECKPOINT_MS 2000
#define SAMPLE_MS 60000
#define JOBS_MAX 60000
#define LOAD_FULL 100
#define URGENT_BOUND_MS 6300

enum engine { ENGINE_POLICY, ENGINE_FIRST_FIT, ENGINE_BEST_FIT, ENGINE_COUNT };

static const char *const engine_names[] = {"policy", "first-fit", "best-fit"};

/**
 * struct setup - a workload and the fleet that it runs on
 * @name: name in the output
 * @servers: number of servers
 * @servers_per_rack: servers of each rack
 * @accelerators: accelerators of each server
 * @weight: weight_percent of the policy
 * @jobs: number of jobs
 * @load_percent: offered load, in percent of the fleet's accelerators
 * @urgent_percent: percentage of jobs that are urgent
 * @gang_max_log2: binary logarithm of the largest number of tasks
 * @seed: seed of the workload
 */
struct setup {
	const char *name;
	int servers;
	int servers_per_rack;
	int64_t accelerators;
	int64_t weight;
	int jobs;
	int load_percent;
	int urgent_percent;
	int gang_max_log2;
	guint32 seed;
};

/**
 * struct job - a job of the simulation; times in ms of simulated time
 * @arrival: time of submission
 * @run_ms: actual run time
 * @remaining_ms: run time left after the last checkpoint
 * @declared_ms: declared run time
 * @tasks: number of tasks, which start together
 * @accelerators: accelerators of each task
 * @one_rack: all tasks have to be in one rack
 * @checkpointable: can be stopped and resumed
 * @cls: service class
 * @ws: number of its workspace
 * @started: time of the first start, -1 before
 * @resumed: time of the latest start
 * @ended: time of the end, -1 before
 * @generation: incremented at a stop; events of an older generation are void
 * @policy_job: the job in the policy
 * @baseline_job: the job in a baseline
 * @is_waiting: submitted or stopped, and not running
 * @is_guaranteed: small enough for the guarantee of its workspace
 */
struct job {
	int64_t arrival;
	int64_t run_ms;
	int64_t remaining_ms;
	int64_t declared_ms;
	int64_t tasks;
	int64_t accelerators;
	bool one_rack;
	bool checkpointable;
	enum service_class cls;
	int ws;
	int64_t started;
	int64_t resumed;
	int64_t ended;
	unsigned int generation;
	struct policy_job *policy_job;
	struct baseline_job baseline_job;
	bool is_waiting;
	bool is_guaranteed; /* fits its workspace's guarantee */
};

enum event_type { EVENT_ARRIVAL, EVENT_END, EVENT_STOPPED };

struct event {
	int64_t at;
	enum event_type type;
	int job;
	unsigned int generation;
};

struct sim {
	const struct setup *setup;
	enum engine engine;
	struct policy *p;
	struct baseline *b;
	struct job *jobs;
	GArray *heap;
	GPtrArray *waiting; /* of the baselines, in order of arrival */
	int64_t now;
	double scattered_sum;
	double unusable_sum;
	int64_t free[16384];
	double startable_sum;
	int64_t startable_samples;
	int64_t next_sample;
	int64_t reclaim_max_ms;
	int64_t busy; /* accelerators in use */
};

/**
 * struct result - results of one simulation
 * @urgent_p99_start_ms: time from arrival to start of urgent jobs
 * @critical_p99_ms: completion time of urgent and guaranteed jobs
 * @critical_run_p99_ms: their run time alone, a lower bound of @critical_p99_ms
 * @large_p90_wait_ms: time from arrival to start of jobs above LARGE_GANG_ACCELERATORS
 * @other_p50_ms: completion time of all jobs that are not critical
 * @other_p99_ms: completion time of all jobs that are not critical
 * @slowdown_p50: completion time divided by run time
 * @scattered: fragmentation, in accelerators; see sample()
 * @unusable: fragmentation, as a share of the fleet; see sample()
 * @startable: share of the free accelerators that tasks of a whole server can use
 * @longest_wait_ms: longest time from arrival to first start
 * @makespan_ms: end of the last job
 * @reclaim_max_ms: not filled in
 * @unfinished: number of jobs that did not end
 */
struct result {
	double urgent_p99_start_ms;
	double critical_p99_ms;
	double critical_run_p99_ms;
	double large_p90_wait_ms;
	double other_p50_ms;
	double other_p99_ms;
	double slowdown_p50;
	double scattered;
	double unusable;
	double startable;
	int64_t longest_wait_ms;
	int64_t makespan_ms;
	int64_t reclaim_max_ms;
	int unfinished;
};

/* ---- event heap ---- */

static struct event *event_at(struct sim *s, guint i)
{
	return &g_array_index(s->heap, struct event, i);
}

static bool is_before(const struct event *a, const struct event *b)
{
	return a->at != b->at ? a->at < b->at : a->job < b->job;
}

static void heap_push(struct sim *s, int64_t at, enum event_type type, int job)
{
	struct event e = {at, type, job, s->jobs[job].generation};
	guint i = s->heap->len;

	g_array_append_val(s->heap, e);
	while (i && is_before(event_at(s, i), event_at(s, (i - 1) / 2))) {
		struct event t = *event_at(s, i);

		*event_at(s, i) = *event_at(s, (i - 1) / 2);
		*event_at(s, (i - 1) / 2) = t;
		i = (i - 1) / 2;
	}
}

static bool heap_pop(struct sim *s, struct event *out)
{
	guint i = 0;

	if (!s->heap->len)
		return false;
	*out = *event_at(s, 0);
	*event_at(s, 0) = *event_at(s, s->heap->len - 1);
	g_array_set_size(s->heap, s->heap->len - 1);
	for (;;) {
		guint least = i;

		for (guint c = 2 * i + 1; c <= 2 * i + 2; c++)
			if (c < s->heap->len && is_before(event_at(s, c), event_at(s, least)))
				least = c;
		if (least == i)
			return true;
		struct event t = *event_at(s, i);

		*event_at(s, i) = *event_at(s, least);
		*event_at(s, least) = t;
		i = least;
	}
}

/* ---- workload ---- */

#define WORKSPACES 4
#define LARGE_GANG_ACCELERATORS 32  /* larger jobs count as large */
#define GUARANTEED_PER_17_SERVERS 2 /* of each of the first two workspaces */

static int64_t guarantee_servers(const struct setup *setup)
{
	return MAX(setup->servers * GUARANTEED_PER_17_SERVERS / 17, 1);
}

/*
 * Largest gang in accelerators: one rack, as the users' long jobs need it. The
 * setup of the planned fleet has larger gangs.
 */
static int64_t largest_gang(const struct setup *setup)
{
	return setup->gang_max_log2 > 6 ? 8192 : setup->servers_per_rack * setup->accelerators;
}

static void draw_shape(const struct setup *setup, struct job *j, GRand *rng)
{
	static const int64_t per_task[] = {1, 1, 2, 4, 8, 8};

	j->accelerators = MIN(per_task[g_rand_int_range(rng, 0, 6)], setup->accelerators);
	j->tasks = 1;
	while (j->tasks < (1 << setup->gang_max_log2) && g_rand_double(rng) < 0.55)
		j->tasks *= 2;
	/* jobs that could never start are left out, because admission rejects them */
	while (j->tasks * j->accelerators > largest_gang(setup) && j->tasks > 1)
		j->tasks /= 2;
	j->one_rack = j->tasks * j->accelerators <= setup->servers_per_rack * setup->accelerators &&
		      g_rand_double(rng) < 0.5;
}

static void draw_job(const struct setup *setup, struct job *j, GRand *rng)
{
	double run = -600000.0 * log(1.0 - g_rand_double(rng));

	memset(j, 0, sizeof(*j));
	draw_shape(setup, j, rng);
	if (g_rand_int_range(rng, 0, 20) == 0)
		run *= 8;
	j->cls = g_rand_int_range(rng, 0, 100) < setup->urgent_percent ? CLASS_URGENT
		 : g_rand_boolean(rng)				       ? CLASS_NORMAL
								       : CLASS_BATCH;
	j->ws = g_rand_int_range(rng, 0, WORKSPACES);
	/* jobs on many accelerators write checkpoints to survive failures, so they are
	 * checkpointable */
	j->checkpointable = g_rand_int_range(rng, 0, 100) < 80 ||
			    j->tasks * j->accelerators > LARGE_GANG_ACCELERATORS;
	if (j->cls == CLASS_URGENT) {
		j->tasks = g_rand_int_range(rng, 1, 3);
		j->accelerators = MIN(j->accelerators, 4);
		run /= 20;
		j->checkpointable = true;
	}
	j->run_ms = MAX((int64_t)run, 1000);
	j->remaining_ms = j->run_ms;
	j->declared_ms = j->run_ms;
	if (g_rand_int_range(rng, 0, 100) < 40)
		j->declared_ms = (int64_t)((double)j->run_ms * (g_rand_boolean(rng) ? 4.0 : 0.3));
	j->is_guaranteed = j->ws < 2 && j->tasks * j->accelerators <= 8;
	j->started = -1;
	j->ended = -1;
}

/* arrivals at the offered load; of each 100 jobs 20 arrive in a burst at five times the rate */
static struct job *draw_workload(const struct setup *setup)
{
	struct job *jobs = g_new0(struct job, (gsize)setup->jobs);
	GRand *rng = g_rand_new_with_seed(setup->seed);
	double capacity = (double)(setup->servers * setup->accelerators);
	double work = 0;
	double at = 0;

	for (int i = 0; i < setup->jobs; i++) {
		draw_job(setup, &jobs[i], rng);
		work += (double)(jobs[i].tasks * jobs[i].accelerators) * (double)jobs[i].run_ms;
	}
	work /= setup->jobs; /* mean accelerator-ms of a job */
	for (int i = 0; i < setup->jobs; i++) {
		double gap = work / (capacity * setup->load_percent / 100.0);
		bool is_burst = i % 100 < 20;

		at += -gap * (is_burst ? 0.2 : 1.2) * log(1.0 - g_rand_double(rng));
		jobs[i].arrival = (int64_t)at;
	}
	g_rand_free(rng);
	return jobs;
}

/* ---- engines ---- */

/* updates the free accelerators per server, whichever engine placed the job */
static void account_free(struct sim *s, struct job *j, int64_t sign)
{
	const struct policy_place *places;
	unsigned int n;

	for (int64_t t = 0; s->b && t < j->tasks; t++)
		s->free[j->baseline_job.servers[t]] -= sign * j->accelerators;
	if (!s->p)
		return;
	places = policy_job_places(j->policy_job, &n);
	for (unsigned int i = 0; i < n; i++)
		s->free[atoi(places[i].server + 1)] -= sign * places[i].tasks * j->accelerators;
}

static void job_started(struct sim *s, int i)
{
	struct job *j = &s->jobs[i];

	if (j->started < 0)
		j->started = s->now;
	j->resumed = s->now;
	j->is_waiting = false;
	s->busy += j->tasks * j->accelerators;
	account_free(s, j, 1);
	heap_push(s, s->now + j->remaining_ms, EVENT_END, i);
}

static void run_policy(struct sim *s)
{
	struct policy_decision d;

	while (policy_next_decision(s->p, s->now, &d)) {
		int i = GPOINTER_TO_INT(d.user);
		struct job *j = &s->jobs[i];

		if (d.type == POLICY_START) {
			job_started(s, i);
			continue;
		}
		j->remaining_ms = MAX(j->remaining_ms - (s->now - j->resumed), 1);
		j->generation++;
		heap_push(s, s->now + CHECKPOINT_MS, EVENT_STOPPED, i);
	}
}

static void run_baseline(struct sim *s)
{
	guint still_waiting = 0;

	for (guint k = 0; k < s->waiting->len; k++) {
		struct job *j = g_ptr_array_index(s->waiting, k);

		if (baseline_place(s->b, &j->baseline_job))
			job_started(s, (int)(j - s->jobs));
		else
			g_ptr_array_index(s->waiting, still_waiting++) = j;
	}
	g_ptr_array_set_size(s->waiting, (gint)still_waiting);
}

static void arrive(struct sim *s, int i)
{
	static const char *const names[WORKSPACES] = {"w0", "w1", "w2", "w3"};
	struct job *j = &s->jobs[i];
	char id[16];

	j->is_waiting = true;
	if (s->engine != ENGINE_POLICY) {
		j->baseline_job = (struct baseline_job){.tasks = j->tasks,
							.accelerators = j->accelerators,
							.one_rack = j->one_rack};
		j->baseline_job.servers = g_new(int, (gsize)j->tasks);
		g_ptr_array_add(s->waiting, j);
		return;
	}
	g_snprintf(id, sizeof(id), "%08d", i);
	j->policy_job = policy_job_add(s->p,
				       &(struct policy_spec){.id = id,
							     .workspace = names[j->ws],
							     .kind = "k",
							     .cls = j->cls,
							     .tasks = j->tasks,
							     .accelerators = j->accelerators,
							     .one_rack = j->one_rack,
							     .checkpointable = j->checkpointable,
							     .run_ms = j->declared_ms},
				       s->now, GINT_TO_POINTER(i));
}

static void job_ended(struct sim *s, int i)
{
	struct job *j = &s->jobs[i];

	j->ended = s->now;
	s->busy -= j->tasks * j->accelerators;
	account_free(s, j, NO_BOUND);
	if (s->engine == ENGINE_POLICY) {
		policy_record_run_time(s->p, "k", j->declared_ms, j->run_ms);
		policy_job_remove(s->p, j->policy_job, s->now);
		j->policy_job = NULL;
	} else {
		baseline_release(s->b, &j->baseline_job);
	}
}

/* ---- measurement ---- */

/* free accelerators that gangs of this shape could use; 0 when not one gang fits */
static int64_t usable_accelerators(struct sim *s, const struct job *j)
{
	const struct setup *setup = s->setup;
	int64_t sum = 0;
	int64_t best_rack = 0;
	int64_t in_rack = 0;

	for (int i = 0; i < setup->servers; i++) {
		int64_t tasks = s->free[i] / j->accelerators;

		if (i % setup->servers_per_rack == 0)
			in_rack = 0;
		in_rack += tasks;
		sum += tasks;
		best_rack = MAX(best_rack, in_rack);
	}
	if (j->one_rack)
		sum = best_rack >= j->tasks ? sum : 0;
	return sum >= j->tasks ? sum * j->accelerators : 0;
}

/*
 * Adds one sample to two measures of fragmentation. "Unusable" is the share of
 * the fleet that is free although some waiting gang needs no more accelerators
 * than are free in total. "Scattered" is the accelerators of such waiting gangs,
 * weighted by the share of the free ones that the gang cannot use because of
 * where they are. Gangs larger than all free accelerators are left out, because
 * they say nothing about fragmentation.
 */
static void sample(struct sim *s, int from, int to)
{
	int64_t total = s->setup->servers * s->setup->accelerators;
	int64_t free = total - s->busy;
	bool is_unusable = false;
	int64_t startable;

	for (int i = from; i < to; i++) {
		const struct job *j = &s->jobs[i];
		int64_t size = j->tasks * j->accelerators;

		if (!j->is_waiting)
			continue;
		if (size > free)
			continue;
		is_unusable = true;
		s->scattered_sum +=
			(double)(size * (free - usable_accelerators(s, j))) / (double)free;
	}
	s->unusable_sum += is_unusable ? (double)free / (double)total : 0;
	startable = s->engine == ENGINE_POLICY
			    ? policy_startable_tasks(s->p, s->setup->accelerators)
			    : baseline_startable_tasks(s->b, s->setup->accelerators);
	if (free >= s->setup->accelerators) {
		s->startable_sum += (double)(startable * s->setup->accelerators) / (double)free;
		s->startable_samples++;
	}
}

static int compare_double(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double quantile(GArray *a, double q)
{
	qsort(a->data, a->len, sizeof(double), compare_double);
	return a->len ? g_array_index(a, double, (guint)MIN(q * a->len, a->len - 1)) : 0;
}

static struct result summarise(struct sim *s)
{
	struct result r = {0};
	GArray *urgent = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *critical = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *other = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *slowdowns = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *large = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *run = g_array_new(FALSE, FALSE, sizeof(double));

	for (int i = 0; i < s->setup->jobs; i++) {
		const struct job *j = &s->jobs[i];
		double wait = (double)(j->started - j->arrival);
		double completion = (double)(j->ended - j->arrival);
		double slowdown = completion / (double)j->run_ms;

		if (j->ended < 0) {
			r.unfinished++;
			continue;
		}
		r.longest_wait_ms = MAX(r.longest_wait_ms, (int64_t)wait);
		r.makespan_ms = MAX(r.makespan_ms, j->ended);
		if (j->cls == CLASS_URGENT)
			g_array_append_val(urgent, wait);
		if (j->cls == CLASS_URGENT || j->is_guaranteed)
			g_array_append_val(critical, completion);
		if (j->cls == CLASS_URGENT || j->is_guaranteed) {
			double run_ms = (double)j->run_ms;

			g_array_append_val(run, run_ms);
		} else
			g_array_append_val(other, completion);
		g_array_append_val(slowdowns, slowdown);
		if (j->tasks * j->accelerators > LARGE_GANG_ACCELERATORS)
			g_array_append_val(large, wait);
	}
	r.urgent_p99_start_ms = quantile(urgent, 0.99);
	r.critical_p99_ms = quantile(critical, 0.99);
	r.critical_run_p99_ms = quantile(run, 0.99);
	r.large_p90_wait_ms = quantile(large, 0.9);
	r.other_p50_ms = quantile(other, 0.5);
	r.other_p99_ms = quantile(other, 0.99);
	r.slowdown_p50 = quantile(slowdowns, 0.5);
	r.scattered = s->scattered_sum / MAX((double)s->next_sample / SAMPLE_MS, 1);
	r.unusable = s->unusable_sum / MAX((double)s->next_sample / SAMPLE_MS, 1);
	r.startable = s->startable_samples ? s->startable_sum / (double)s->startable_samples : 0;
	g_array_free(urgent, TRUE);
	g_array_free(critical, TRUE);
	g_array_free(other, TRUE);
	g_array_free(slowdowns, TRUE);
	g_array_free(run, TRUE);
	g_array_free(large, TRUE);
	return r;
}

/* ---- simulation ---- */

static void add_fleet(struct sim *s)
{
	const struct setup *setup = s->setup;
	struct policy_cell cell = {setup->accelerators, true, guarantee_servers(setup)};
	struct policy_workspace list[2] = {{.name = "w0", .cells = &cell, .cell_count = 1},
					   {.name = "w1", .cells = &cell, .cell_count = 1}};

	for (int i = 0; i < setup->servers; i++) {
		char id[16];
		char rack[16];

		s->free[i] = setup->accelerators;
		g_snprintf(id, sizeof(id), "s%d", i);
		g_snprintf(rack, sizeof(rack), "r%d", i / setup->servers_per_rack);
		if (s->p)
			policy_server_set(s->p, id, rack, setup->accelerators,
					  POLICY_SERVER_USABLE);
		else
			baseline_add_server(s->b, i / setup->servers_per_rack, setup->accelerators);
	}
	if (s->p)
		policy_workspaces_set(s->p, list, 2);
}

static struct result run(const struct setup *setup, enum engine engine)
{
	struct policy_options opt = {
		.weight_percent = setup->weight, .reserve_after_ms = 120000, .urgent_percent = 10};
	struct sim s = {.setup = setup, .engine = engine, .jobs = draw_workload(setup)};
	struct result r;
	struct event e;
	int arrived = 0;
	int oldest = 0;

	s.heap = g_array_new(FALSE, FALSE, sizeof(struct event));
	s.waiting = g_ptr_array_new();
	if (engine == ENGINE_POLICY)
		s.p = policy_new(NULL, &opt);
	else
		s.b = baseline_new(NULL, engine == ENGINE_FIRST_FIT ? FIRST_FIT : BEST_FIT);
	add_fleet(&s);
	for (int i = 0; i < setup->jobs; i++)
		heap_push(&s, s.jobs[i].arrival, EVENT_ARRIVAL, i);
	while (heap_pop(&s, &e)) {
		while (s.next_sample < e.at && arrived < setup->jobs) {
			while (oldest < arrived && s.jobs[oldest].ended >= 0)
				oldest++;
			sample(&s, oldest, arrived);
			s.next_sample += SAMPLE_MS;
		}
		s.now = e.at;
		if (e.type == EVENT_ARRIVAL) {
			arrive(&s, e.job);
			arrived = e.job + 1;
		} else if (e.generation != s.jobs[e.job].generation) {
			continue; /* the job was stopped before this end */
		} else if (e.type == EVENT_END) {
			job_ended(&s, e.job);
		} else {
			s.busy -= s.jobs[e.job].tasks * s.jobs[e.job].accelerators;
			account_free(&s, &s.jobs[e.job], NO_BOUND);
			s.jobs[e.job].is_waiting = true;
			policy_job_requeue(s.p, s.jobs[e.job].policy_job, s.now);
		}
		if (s.p)
			run_policy(&s);
		else
			run_baseline(&s);
	}
	r = summarise(&s);
	talloc_free(s.p);
	talloc_free(s.b);
	g_array_free(s.heap, TRUE);
	g_ptr_array_free(s.waiting, TRUE);
	for (int i = 0; i < setup->jobs; i++)
		g_free(s.jobs[i].baseline_job.servers);
	g_free(s.jobs);
	return r;
}

/* ---- results and bounds ---- */

/*
 * No schedule ends earlier than the total work divided by the fleet's
 * accelerators, or than the latest arrival plus run time of any job.
 */
static double lower_bound_ms(const struct setup *setup)
{
	struct job *jobs = draw_workload(setup);
	double work = 0;
	double longest = 0;

	for (int i = 0; i < setup->jobs; i++) {
		work += (double)(jobs[i].tasks * jobs[i].accelerators) * (double)jobs[i].run_ms;
		longest = MAX(longest, (double)(jobs[i].arrival + jobs[i].run_ms));
	}
	g_free(jobs);
	return MAX(work / (double)(setup->servers * setup->accelerators), longest);
}

static void print_engine(const struct setup *setup, enum engine e, const struct result *r)
{
	char name[64];

#define SHOW(label, value, unit)                                         \
	g_snprintf(name, sizeof(name), "%s %s", engine_names[e], label); \
	figure(setup->name, name, value, unit, NO_BOUND)
	SHOW("urgent start p99", r->urgent_p99_start_ms / 1000, "s");
	SHOW("urgent+guaranteed completion p99", r->critical_p99_ms / 1000, "s");
	SHOW("other completion p50", r->other_p50_ms / 1000, "s");
	SHOW("other completion p99", r->other_p99_ms / 1000, "s");
	SHOW("large gangs' wait p90", r->large_p90_wait_ms / 1000, "s");
	SHOW("slowdown p50", r->slowdown_p50, "x");
	SHOW("scattered for waiting gangs", r->scattered, "acc");
	SHOW("unusable share", r->unusable, "share");
	SHOW("startable share of free", r->startable, "share");
	SHOW("longest wait", (double)r->longest_wait_ms / 1000, "s");
	SHOW("makespan", (double)r->makespan_ms / 1000, "s");
#undef SHOW
}

static void measure(const struct setup *setup, bool is_completion, bool is_fragmentation)
{
	struct result r[ENGINE_COUNT];
	double bound_ms = lower_bound_ms(setup);

	for (int e = 0; e < ENGINE_COUNT; e++) {
		r[e] = run(setup, (enum engine)e);
		print_engine(setup, (enum engine)e, &r[e]);
	}
	figure(setup->name, "lower bound of the makespan", bound_ms / 1000, "s", NO_BOUND);
	figure(setup->name, "lower bound of urgent+guaranteed p99", r[0].critical_run_p99_ms / 1000,
	       "s", -1);
	figure(setup->name, "jobs never finished", r[ENGINE_POLICY].unfinished, "jobs", 0);
	figure(setup->name, "urgent start p99", r[ENGINE_POLICY].urgent_p99_start_ms / 1000, "s",
	       URGENT_BOUND_MS / 1000.0);
	if (is_completion) {
		figure(setup->name, "urgent+guaranteed p99 / first-fit",
		       r[ENGINE_POLICY].critical_p99_ms / r[ENGINE_FIRST_FIT].critical_p99_ms, "x",
		       0.8);
		figure(setup->name, "other p50 / first-fit",
		       r[ENGINE_POLICY].other_p50_ms / r[ENGINE_FIRST_FIT].other_p50_ms, "x", 1.0);
	}
	if (is_fragmentation) {
		figure(setup->name, "scattered / first-fit",
		       r[ENGINE_POLICY].scattered / r[ENGINE_FIRST_FIT].scattered, "x", 0.5);
		figure(setup->name, "unusable share / first-fit",
		       r[ENGINE_POLICY].unusable / r[ENGINE_FIRST_FIT].unusable, "x", 0.5);
	}
	/* the longest wait is bounded by a multiple of the time that the whole work takes */
	figure(setup->name, "longest wait / lower bound of the makespan",
	       (double)r[ENGINE_POLICY].longest_wait_ms / bound_ms, "x", 2.0);
}

int main(int argc, char **argv)
{
	bool is_quick = argc > 1 && !strcmp(argv[1], "--quick");
	const struct setup torenuurwerk = {"torenuurwerk", 17, 8, 8, 0, 4000, 95, 15, 4, 11};
	const struct setup kolkhi = {"kolkhi", 17, 8, 8, 100, 4000, 95, 15, 6, 12};
	const struct setup urgent = {"urgent-2x", 17, 8, 8, 0, 2000, 200, 15, 4, 13};
	const struct setup plan = {"plan-region", 2000, 8, 8, 50, 12000, 85, 10, 10, 14};

	measure(&torenuurwerk, true, false);
	measure(&kolkhi, false, true);
	measure(&urgent, false, false);
	if (!is_quick)
		measure(&plan, false, false);
	printf("%d figures missed their bound\n", figures_failed);
	return figures_failed ? 1 : 0;
}
