/**
 * DOC: bench_plan - time of a placement round on a full pool with a backlog
 */
#include <stdlib.h>

#include "figure.h"
#include "sample.h"

#define SERVERS 350
#define RACK_SERVERS 20
#define ROUNDS 20
/* with 0.5 of a core a round then takes 10 ms, a tenth of the interval between rounds */
#define ROUND_BOUND_MS 5.0

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
	struct plan_clock at = {1000, 1000};
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

int main(void)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct fleet *f = sample_fleet(ctx, SERVERS, RACK_SERVERS);
	struct plan_scratch *s = plan_scratch_new(ctx);
	struct work_job *jobs[250];
	int64_t start;
	double ms;

	for (unsigned int i = 0; i < G_N_ELEMENTS(jobs); i++)
		jobs[i] = make_job(ctx, i);
	place_all(s, f, jobs, G_N_ELEMENTS(jobs));
	start = base_now_ns();
	for (int i = 0; i < ROUNDS; i++)
		place_all(s, f, jobs, G_N_ELEMENTS(jobs));
	ms = (double)(base_now_ns() - start) / ROUNDS / BASE_NS_PER_MS;
	figure("plan", "round of a full pool, 350 servers, 250 groups", ms, "ms", ROUND_BOUND_MS);
	talloc_free(ctx);
	return figures_failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
