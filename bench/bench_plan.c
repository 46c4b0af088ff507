/**
 * DOC: bench_plan - time of a placement round of a full pool with a backlog
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "figure.h"
#include "plan/plan.h"

#define SERVERS 350
#define RACK_SERVERS 20
#define ROUNDS 20
#define ROUND_BOUND_MS                                                            \
	5.0 /* on 0.5 of a core this is 10 ms, a tenth of the time between rounds \
	     */

static struct fleet *make_fleet(TALLOC_CTX *ctx, unsigned int servers)
{
	struct fleet *f = fleet_new(ctx);

	for (unsigned int i = 0; i < servers; i++) {
		char *id = talloc_asprintf(f, "s%u", i);
		struct fleet_server *sv = fleet_add(f, id, 1);

		sv->service = talloc_strdup(sv, "pool");
		fleet_set_rack(f, sv, talloc_asprintf(sv, "r%u", i / RACK_SERVERS));
		sv->presence = FLEET_LISTED;
		sv->is_fenced = true;
		sv->capacity = (struct fleet_amount){64000, 262144, 8};
	}
	return f;
}

static struct work_job *make_job(TALLOC_CTX *ctx, unsigned int i)
{
	char id[WORK_ID_LEN + 1];
	struct work_job *job;

	snprintf(id, sizeof(id), "%016x", i);
	job = work_job_new(ctx, str_from(id), 1);
	job->queue = talloc_strdup(job, "q");
	job->service = talloc_strdup(job, "pool");
	job->workspace = talloc_strdup(job, "w");
	job->payload = talloc_strdup(job, "");
	job->priority = i % 3;
	job->stretch = 3;
	job->step[0].count = 4 + i % 37;
	job->step[0].need = (struct fleet_amount){5600, 29000, 1 << (i % 4)};
	job->step[0].estimate_ms = 6000;
	job->step[0].is_gang = i % 3 < 2;
	job->step[0].same_rack = i % 3 == 0;
	if (work_job_seal(job))
		abort();
	work_job_begin_due(job, 1);
	return job;
}

static unsigned int place_all(struct plan_scratch *s, struct fleet *f, struct work_job **jobs,
			      unsigned int count)
{
	struct plan_clock at = {1000, 1000};
	struct fleet_server *out[64];
	unsigned int placed = 0;

	plan_begin_round(s);
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
	struct fleet *f = make_fleet(ctx, SERVERS);
	struct plan_scratch *s = plan_scratch_new(ctx);
	struct work_job *jobs[250];
	int64_t start;
	double ms;

	for (unsigned int i = 0; i < G_N_ELEMENTS(jobs); i++)
		jobs[i] = make_job(ctx, i);
	place_all(s, f, jobs, G_N_ELEMENTS(jobs));
	start = base_now();
	for (int i = 0; i < ROUNDS; i++)
		place_all(s, f, jobs, G_N_ELEMENTS(jobs));
	ms = (double)(base_now() - start) / ROUNDS / BASE_NS_PER_MS;
	figure("plan", "round of a full pool, 350 servers, 250 groups", ms, "ms", ROUND_BOUND_MS);
	talloc_free(ctx);
	return figures_failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
