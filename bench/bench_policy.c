/**
 * DOC: bench_policy - completion time and fragmentation beside two baselines
 *
 * A loop over the policy library with time passed in: seeded arrivals with
 * bursts, heavy-tailed run times, wrong declarations and cancellations of
 * waiting jobs. Prints one line a figure and exits 1 when a bound is missed.
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

/* a stream of jobs and the fleet it is offered to */
struct setup {
	const char *name;
	int servers;
	int per_rack;
	int64_t accelerators;
	int64_t weight;
	int jobs;
	int load_percent;
	int urgent_percent;
	int gang_max_log2;
	guint32 seed;
};

struct job {
	int64_t arrival;
	int64_t run_ms; /* true */
	int64_t left_ms;
	int64_t declared_ms;
	int64_t tasks;
	int64_t accelerators;
	bool one_rack;
	bool soft;
	enum service_class cls;
	int ws;
	int64_t started; /* first start, -1 before */
	int64_t resumed;
	int64_t ended;	     /* -1 before */
	unsigned int serial; /* invalidates an older end event */
	struct policy_job *pj;
	struct baseline_job bj;
	bool is_waiting;
	bool is_guaranteed; /* fits its workspace's guarantee */
};

enum event_type { EVENT_ARRIVAL, EVENT_END, EVENT_STOPPED };

struct event {
	int64_t at;
	enum event_type type;
	int job;
	unsigned int serial;
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
	double frag_sum;
	double unusable_sum;
	int64_t free[16384];
	double startable_sum;
	int64_t startable_samples;
	int64_t next_sample;
	int64_t reclaim_max_ms;
	int64_t busy; /* accelerators in use */
};

/* figures of one run */
struct result {
	double urgent_p99_start_ms;
	double firm_p99_ms;	  /* completion of urgent and guaranteed jobs */
	double firm_alone_p99_ms; /* had none of them ever waited: a lower bound */
	double large_p90_wait_ms;
	double rest_p50_ms;
	double rest_p99_ms;
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

static void push(struct sim *s, int64_t at, enum event_type type, int job)
{
	struct event e = {at, type, job, s->jobs[job].serial};
	guint i = s->heap->len;

	g_array_append_val(s->heap, e);
	while (i && is_before(event_at(s, i), event_at(s, (i - 1) / 2))) {
		struct event t = *event_at(s, i);

		*event_at(s, i) = *event_at(s, (i - 1) / 2);
		*event_at(s, (i - 1) / 2) = t;
		i = (i - 1) / 2;
	}
}

static bool pop(struct sim *s, struct event *out)
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

/* ---- the stream ---- */

#define WORKSPACES 4
#define LARGE_GANG 32	  /* accelerators */
#define GUARANTEE_TASKS 2 /* servers guaranteed to each of the first two workspaces, per 17 */

static int64_t guarantee_servers(const struct setup *u)
{
	return MAX(u->servers * GUARANTEE_TASKS / 17, 1);
}

/* the users' long jobs want their accelerators in one rack; the plan's gangs are larger */
static int64_t largest_gang(const struct setup *u)
{
	return u->gang_max_log2 > 6 ? 8192 : u->per_rack * u->accelerators;
}

static void draw_shape(const struct setup *u, struct job *j, GRand *rng)
{
	static const int64_t per_task[] = {1, 1, 2, 4, 8, 8};

	j->accelerators = MIN(per_task[g_rand_int_range(rng, 0, 6)], u->accelerators);
	j->tasks = 1;
	while (j->tasks < (1 << u->gang_max_log2) && g_rand_double(rng) < 0.55)
		j->tasks *= 2;
	/* what could never start is refused at admission, so it is not part of the stream */
	while (j->tasks * j->accelerators > largest_gang(u) && j->tasks > 1)
		j->tasks /= 2;
	j->one_rack = j->tasks * j->accelerators <= u->per_rack * u->accelerators &&
		      g_rand_double(rng) < 0.5;
}

static void draw_job(const struct setup *u, struct job *j, GRand *rng)
{
	double run = -600000.0 * log(1.0 - g_rand_double(rng));

	memset(j, 0, sizeof(*j));
	draw_shape(u, j, rng);
	if (g_rand_int_range(rng, 0, 20) == 0)
		run *= 8;
	j->cls = g_rand_int_range(rng, 0, 100) < u->urgent_percent ? CLASS_URGENT
		 : g_rand_boolean(rng)				   ? CLASS_NORMAL
								   : CLASS_BATCH;
	j->ws = g_rand_int_range(rng, 0, WORKSPACES);
	/* long work on many accelerators writes checkpoints for its own sake */
	j->soft = g_rand_int_range(rng, 0, 100) < 80 || j->tasks * j->accelerators > LARGE_GANG;
	if (j->cls == CLASS_URGENT) {
		j->tasks = g_rand_int_range(rng, 1, 3);
		j->accelerators = MIN(j->accelerators, 4);
		run /= 20;
		j->soft = true;
	}
	j->run_ms = MAX((int64_t)run, 1000);
	j->left_ms = j->run_ms;
	j->declared_ms = j->run_ms;
	if (g_rand_int_range(rng, 0, 100) < 40)
		j->declared_ms = (int64_t)((double)j->run_ms * (g_rand_boolean(rng) ? 4.0 : 0.3));
	j->is_guaranteed = j->ws < 2 && j->tasks * j->accelerators <= 8;
	j->started = -1;
	j->ended = -1;
}

/* arrivals at the offered load, with a burst of five times the rate now and then */
static struct job *draw_stream(const struct setup *u)
{
	struct job *jobs = g_new0(struct job, (gsize)u->jobs);
	GRand *rng = g_rand_new_with_seed(u->seed);
	double capacity = (double)(u->servers * u->accelerators);
	double work = 0;
	double at = 0;

	for (int i = 0; i < u->jobs; i++) {
		draw_job(u, &jobs[i], rng);
		work += (double)(jobs[i].tasks * jobs[i].accelerators) * (double)jobs[i].run_ms;
	}
	work /= u->jobs; /* mean accelerator-ms of a job */
	for (int i = 0; i < u->jobs; i++) {
		double gap = work / (capacity * u->load_percent / 100.0);
		bool is_burst = i % 100 < 20;

		at += -gap * (is_burst ? 0.2 : 1.2) * log(1.0 - g_rand_double(rng));
		jobs[i].arrival = (int64_t)at;
	}
	g_rand_free(rng);
	return jobs;
}

/* ---- engines ---- */

/* keeps the free accelerators of each server, whichever engine placed the job */
static void occupy(struct sim *s, struct job *j, int64_t sign)
{
	const struct policy_place *places;
	unsigned int n;

	for (int64_t t = 0; s->b && t < j->tasks; t++)
		s->free[j->bj.servers[t]] -= sign * j->accelerators;
	if (!s->p)
		return;
	places = policy_job_places(j->pj, &n);
	for (unsigned int i = 0; i < n; i++)
		s->free[atoi(places[i].server + 1)] -= sign * places[i].tasks * j->accelerators;
}

static void started(struct sim *s, int i)
{
	struct job *j = &s->jobs[i];

	if (j->started < 0)
		j->started = s->now;
	j->resumed = s->now;
	j->is_waiting = false;
	s->busy += j->tasks * j->accelerators;
	occupy(s, j, 1);
	push(s, s->now + j->left_ms, EVENT_END, i);
}

static void run_policy(struct sim *s)
{
	struct policy_decision d;

	while (policy_next_decision(s->p, s->now, &d)) {
		int i = GPOINTER_TO_INT(d.user);
		struct job *j = &s->jobs[i];

		if (d.type == POLICY_START) {
			started(s, i);
			continue;
		}
		j->left_ms = MAX(j->left_ms - (s->now - j->resumed), 1);
		j->serial++;
		push(s, s->now + CHECKPOINT_MS, EVENT_STOPPED, i);
	}
}

static void run_baseline(struct sim *s)
{
	guint kept = 0;

	for (guint k = 0; k < s->waiting->len; k++) {
		struct job *j = g_ptr_array_index(s->waiting, k);

		if (baseline_place(s->b, &j->bj))
			started(s, (int)(j - s->jobs));
		else
			g_ptr_array_index(s->waiting, kept++) = j;
	}
	g_ptr_array_set_size(s->waiting, (gint)kept);
}

static void arrive(struct sim *s, int i)
{
	static const char *const names[WORKSPACES] = {"w0", "w1", "w2", "w3"};
	struct job *j = &s->jobs[i];
	char id[16];

	j->is_waiting = true;
	if (s->engine != ENGINE_POLICY) {
		j->bj = (struct baseline_job){.tasks = j->tasks,
					      .accelerators = j->accelerators,
					      .one_rack = j->one_rack};
		j->bj.servers = g_new(int, (gsize)j->tasks);
		g_ptr_array_add(s->waiting, j);
		return;
	}
	g_snprintf(id, sizeof(id), "%08d", i);
	j->pj = policy_job_add(s->p,
			       &(struct policy_spec){.id = id,
						     .workspace = names[j->ws],
						     .kind = "k",
						     .cls = j->cls,
						     .tasks = j->tasks,
						     .accelerators = j->accelerators,
						     .one_rack = j->one_rack,
						     .checkpointable = j->soft,
						     .run_ms = j->declared_ms},
			       s->now, GINT_TO_POINTER(i));
}

static void ended(struct sim *s, int i)
{
	struct job *j = &s->jobs[i];

	j->ended = s->now;
	s->busy -= j->tasks * j->accelerators;
	occupy(s, j, NO_BOUND);
	if (s->engine == ENGINE_POLICY) {
		policy_record_run_time(s->p, "k", j->declared_ms, j->run_ms);
		policy_job_remove(s->p, j->pj, s->now);
		j->pj = NULL;
	} else {
		baseline_release(s->b, &j->bj);
	}
}

/* ---- measurement ---- */

/* free accelerators in places where a gang of this shape could use them */
static int64_t usable(struct sim *s, const struct job *j)
{
	const struct setup *u = s->setup;
	int64_t sum = 0;
	int64_t best_rack = 0;
	int64_t in_rack = 0;

	for (int i = 0; i < u->servers; i++) {
		int64_t tasks = s->free[i] / j->accelerators;

		if (i % u->per_rack == 0)
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
 * Two readings of fragmentation. "Unusable": the share of the fleet that is
 * free while some waiting gang would fit into it in sum. "Scattered": the
 * accelerators that waiting gangs ask for and cannot have only because enough
 * free ones are in the wrong places. A gang larger than all that is free says
 * nothing about scattering.
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
		s->frag_sum += (double)(size * (free - usable(s, j))) / (double)free;
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
	GArray *firm = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *rest = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *slow = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *large = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *run = g_array_new(FALSE, FALSE, sizeof(double));

	for (int i = 0; i < s->setup->jobs; i++) {
		const struct job *j = &s->jobs[i];
		double wait = (double)(j->started - j->arrival);
		double took = (double)(j->ended - j->arrival);
		double slowdown = took / (double)j->run_ms;

		if (j->ended < 0) {
			r.unfinished++;
			continue;
		}
		r.longest_wait_ms = MAX(r.longest_wait_ms, (int64_t)wait);
		r.makespan_ms = MAX(r.makespan_ms, j->ended);
		if (j->cls == CLASS_URGENT)
			g_array_append_val(urgent, wait);
		if (j->cls == CLASS_URGENT || j->is_guaranteed)
			g_array_append_val(firm, took);
		if (j->cls == CLASS_URGENT || j->is_guaranteed) {
			double alone = (double)j->run_ms;

			g_array_append_val(run, alone);
		} else
			g_array_append_val(rest, took);
		g_array_append_val(slow, slowdown);
		if (j->tasks * j->accelerators > LARGE_GANG)
			g_array_append_val(large, wait);
	}
	r.urgent_p99_start_ms = quantile(urgent, 0.99);
	r.firm_p99_ms = quantile(firm, 0.99);
	r.firm_alone_p99_ms = quantile(run, 0.99);
	r.large_p90_wait_ms = quantile(large, 0.9);
	r.rest_p50_ms = quantile(rest, 0.5);
	r.rest_p99_ms = quantile(rest, 0.99);
	r.slowdown_p50 = quantile(slow, 0.5);
	r.scattered = s->frag_sum / MAX((double)s->next_sample / SAMPLE_MS, 1);
	r.unusable = s->unusable_sum / MAX((double)s->next_sample / SAMPLE_MS, 1);
	r.startable = s->startable_samples ? s->startable_sum / (double)s->startable_samples : 0;
	g_array_free(urgent, TRUE);
	g_array_free(firm, TRUE);
	g_array_free(rest, TRUE);
	g_array_free(slow, TRUE);
	g_array_free(run, TRUE);
	g_array_free(large, TRUE);
	return r;
}

/* ---- one run ---- */

static void add_fleet(struct sim *s)
{
	const struct setup *u = s->setup;
	struct policy_cell cell = {u->accelerators, true, guarantee_servers(u)};
	struct policy_workspace list[2] = {{.name = "w0", .cells = &cell, .cell_count = 1},
					   {.name = "w1", .cells = &cell, .cell_count = 1}};

	for (int i = 0; i < u->servers; i++) {
		char id[16];
		char rack[16];

		s->free[i] = u->accelerators;
		g_snprintf(id, sizeof(id), "s%d", i);
		g_snprintf(rack, sizeof(rack), "r%d", i / u->per_rack);
		if (s->p)
			policy_server_set(s->p, id, rack, u->accelerators, POLICY_SERVER_USABLE);
		else
			baseline_add_server(s->b, i / u->per_rack, u->accelerators);
	}
	if (s->p)
		policy_workspaces_set(s->p, list, 2);
}

static struct result run(const struct setup *u, enum engine engine)
{
	struct policy_options opt = {
		.weight_percent = u->weight, .reserve_after_ms = 120000, .urgent_percent = 10};
	struct sim s = {.setup = u, .engine = engine, .jobs = draw_stream(u)};
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
	for (int i = 0; i < u->jobs; i++)
		push(&s, s.jobs[i].arrival, EVENT_ARRIVAL, i);
	while (pop(&s, &e)) {
		while (s.next_sample < e.at && arrived < u->jobs) {
			while (oldest < arrived && s.jobs[oldest].ended >= 0)
				oldest++;
			sample(&s, oldest, arrived);
			s.next_sample += SAMPLE_MS;
		}
		s.now = e.at;
		if (e.type == EVENT_ARRIVAL) {
			arrive(&s, e.job);
			arrived = e.job + 1;
		} else if (e.serial != s.jobs[e.job].serial) {
			continue; /* stopped before this end */
		} else if (e.type == EVENT_END) {
			ended(&s, e.job);
		} else {
			s.busy -= s.jobs[e.job].tasks * s.jobs[e.job].accelerators;
			occupy(&s, &s.jobs[e.job], NO_BOUND);
			s.jobs[e.job].is_waiting = true;
			policy_job_requeue(s.p, s.jobs[e.job].pj, s.now);
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
	for (int i = 0; i < u->jobs; i++)
		g_free(s.jobs[i].bj.servers);
	g_free(s.jobs);
	return r;
}

/* ---- figures and bounds ---- */

/* no schedule ends earlier than the work divided by the fleet, or the longest critical job */
static double lower_bound_ms(const struct setup *u)
{
	struct job *jobs = draw_stream(u);
	double work = 0;
	double longest = 0;

	for (int i = 0; i < u->jobs; i++) {
		work += (double)(jobs[i].tasks * jobs[i].accelerators) * (double)jobs[i].run_ms;
		longest = MAX(longest, (double)(jobs[i].arrival + jobs[i].run_ms));
	}
	g_free(jobs);
	return MAX(work / (double)(u->servers * u->accelerators), longest);
}

static void print_engine(const struct setup *u, enum engine e, const struct result *r)
{
	char name[64];

#define SHOW(label, value, unit)                                         \
	g_snprintf(name, sizeof(name), "%s %s", engine_names[e], label); \
	figure(u->name, name, value, unit, NO_BOUND)
	SHOW("urgent start p99", r->urgent_p99_start_ms / 1000, "s");
	SHOW("urgent+guaranteed completion p99", r->firm_p99_ms / 1000, "s");
	SHOW("other completion p50", r->rest_p50_ms / 1000, "s");
	SHOW("other completion p99", r->rest_p99_ms / 1000, "s");
	SHOW("large gangs' wait p90", r->large_p90_wait_ms / 1000, "s");
	SHOW("slowdown p50", r->slowdown_p50, "x");
	SHOW("scattered for waiting gangs", r->scattered, "acc");
	SHOW("unusable share", r->unusable, "share");
	SHOW("startable share of free", r->startable, "share");
	SHOW("longest wait", (double)r->longest_wait_ms / 1000, "s");
	SHOW("makespan", (double)r->makespan_ms / 1000, "s");
#undef SHOW
}

static void measure(const struct setup *u, bool is_completion, bool is_fragmentation)
{
	struct result r[ENGINE_COUNT];
	double bound_ms = lower_bound_ms(u);

	for (int e = 0; e < ENGINE_COUNT; e++) {
		r[e] = run(u, (enum engine)e);
		print_engine(u, (enum engine)e, &r[e]);
	}
	figure(u->name, "lower bound of the makespan", bound_ms / 1000, "s", NO_BOUND);
	figure(u->name, "lower bound of urgent+guaranteed p99", r[0].firm_alone_p99_ms / 1000, "s",
	       -1);
	figure(u->name, "jobs never finished", r[ENGINE_POLICY].unfinished, "jobs", 0);
	figure(u->name, "urgent start p99", r[ENGINE_POLICY].urgent_p99_start_ms / 1000, "s",
	       URGENT_BOUND_MS / 1000.0);
	if (is_completion) {
		figure(u->name, "urgent+guaranteed p99 / first-fit",
		       r[ENGINE_POLICY].firm_p99_ms / r[ENGINE_FIRST_FIT].firm_p99_ms, "x", 0.8);
		figure(u->name, "other p50 / first-fit",
		       r[ENGINE_POLICY].rest_p50_ms / r[ENGINE_FIRST_FIT].rest_p50_ms, "x", 1.0);
	}
	if (is_fragmentation) {
		figure(u->name, "scattered / first-fit",
		       r[ENGINE_POLICY].scattered / r[ENGINE_FIRST_FIT].scattered, "x", 0.5);
		figure(u->name, "unusable share / first-fit",
		       r[ENGINE_POLICY].unusable / r[ENGINE_FIRST_FIT].unusable, "x", 0.5);
	}
	/* every job waits at most for a multiple of the whole work ahead of the last arrival */
	figure(u->name, "longest wait / lower bound of the makespan",
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
