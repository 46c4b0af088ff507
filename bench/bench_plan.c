/**
 * DOC: bench_plan - time of a placement round with a backlog
 */
#include <stdlib.h>

#include "figure.h"
#include "sample.h"

#define RACK_SERVERS 20
#define ROUNDS 20
#define GROUPS 250
/* with 0.5 of a core a round then takes 10 ms, a tenth of the interval between rounds */
#define ROUND_BOUND_MS 5.0
/* of the size that the design is for: a quarter of the interval between rounds */
#define LARGE_ROUND_BOUND_MS 25.0
#define LARGE_SERVERS 9600

static struct work_job *make_job(TALLOC_CTX *ctx, unsigned int i)
{
	struct work_job *job = sample_job(ctx, i, i % 3, 4 + i % 37, 0);

	job->stretch = 3;
	job->step[0].need = (struct fleet_resources){5600, 29000, 1 << (i % 4)};
	job->step[0].estimate_ms = 6000;
	job->step[0].is_gang = i % 3 < 2;
	job->step[0].same_rack = i % 3 == 0;
	if (!sample_start(job))
		abort();
	return job;
}

static unsigned int place_all(struct plan_scratch *s, struct fleet *f, struct work_job **jobs,
			      unsigned int count)
{
	struct plan_clock at = {10000, 10000};
	struct fleet_server *out[64];
	unsigned int placed = 0;

	plan_start_round(s, f, at.now);
	for (unsigned int i = 0; i < count; i++) {
		struct work_group *g = work_job_group(jobs[i], 0, 0);

		if (!work_group_is_ready(g) || !plan_place(s, f, g, &at, out))
			continue;
		for (unsigned int k = 0; k < g->count; k++) {
			if (out[k])
				work_task_assign(&g->task[k], out[k]);
			placed += out[k] != NULL;
		}
	}
	return placed;
}

/* @waiting_since: of all groups, as the leader sets it; 0 for none */
static double round_ms(unsigned int servers, int64_t cpu, int64_t waiting_since)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct fleet *f = sample_fleet(ctx, servers, RACK_SERVERS);
	struct plan_scratch *s = plan_scratch_new(ctx);
	struct work_job *jobs[GROUPS];
	int64_t start;
	double ms;

	for (unsigned int i = 0; i < GROUPS; i++) {
		jobs[i] = make_job(ctx, i);
		if (cpu)
			jobs[i]->step[0].need.cpu = cpu;
	}
	place_all(s, f, jobs, GROUPS);
	for (unsigned int i = 0; i < GROUPS; i++)
		work_job_group(jobs[i], 0, 0)->waiting_since = waiting_since;
	start = base_now_ns();
	for (int i = 0; i < ROUNDS; i++)
		place_all(s, f, jobs, GROUPS);
	ms = (double)(base_now_ns() - start) / ROUNDS / BASE_NS_PER_MS;
	talloc_free(ctx);
	return ms;
}

int main(void)
{
	figure("plan", "round of a full pool, 350 servers, 250 groups", round_ms(350, 0, 0), "ms",
	       ROUND_BOUND_MS);
	figure("plan", "the same, groups have waited for seconds", round_ms(350, 0, 1), "ms",
	       ROUND_BOUND_MS);
	/* tasks that need more cores than any server has */
	figure("plan", "round of an idle pool, 9600 servers, no fit",
	       round_ms(LARGE_SERVERS, 65000, 1), "ms", LARGE_ROUND_BOUND_MS);
	return figures_failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
