/**
 * DOC: sample - servers and jobs for the tests of work and plan
 */
#ifndef SAMPLE_H
#define SAMPLE_H

#include <stdio.h>

#include "plan/plan.h"

#define SAMPLE_ESTIMATE_MS 4000

/* @count servers with 8 accelerators, 64 cores and 256 GB, @per_rack to a rack */
static inline struct fleet *sample_fleet(TALLOC_CTX *ctx, unsigned int count, unsigned int per_rack)
{
	struct fleet *f = fleet_new(ctx);

	for (unsigned int i = 0; i < count; i++) {
		struct fleet_server *sv = fleet_add(f, talloc_asprintf(f, "s%u", i), 1000);

		sv->service = talloc_strdup(sv, "pool");
		sv->address = talloc_asprintf(sv, "10.0.0.%u:1", i);
		sv->presence = FLEET_LISTED;
		sv->is_fenced = true;
		sv->capacity = (struct fleet_resources){64000, 262144, 8};
		fleet_set_rack(f, sv, talloc_asprintf(sv, "r%u", i / per_rack));
	}
	return f;
}

static inline struct fleet_server *sample_server(const struct fleet *f, unsigned int i)
{
	return g_ptr_array_index(f->all, i);
}

/* a job of one step; its id is @n in hexadecimal */
static inline struct work_job *sample_job(TALLOC_CTX *ctx, unsigned int n, int64_t priority,
					  unsigned int tasks, int64_t accelerators)
{
	char id[WORK_ID_LEN + 1];
	struct work_job *job;

	snprintf(id, sizeof(id), "%016x", n);
	job = work_job_new(ctx, str_from(id), 1);
	job->queue = talloc_strdup(job, "q");
	job->service = talloc_strdup(job, "pool");
	job->workspace = talloc_strdup(job, "w");
	job->payload = talloc_strdup(job, "text");
	job->priority = priority;
	job->attempts = 2;
	job->stretch = 2;
	job->slo_ms = 1000;
	job->step[0].count = tasks;
	job->step[0].need = (struct fleet_resources){5000, 20000, accelerators};
	job->step[0].estimate_ms = SAMPLE_ESTIMATE_MS;
	return job;
}

/* finalizes and starts the job; its first group, or NULL when it is invalid */
static inline struct work_group *sample_start(struct work_job *job)
{
	if (work_job_finalize(job))
		return NULL;
	work_job_start_due(job, 1);
	return work_job_group(job, 0, 0);
}

/* the group of a job whose one step is a gang */
static inline struct work_group *sample_gang(TALLOC_CTX *ctx, unsigned int n, int64_t priority,
					     unsigned int members, int64_t accelerators)
{
	struct work_job *job = sample_job(ctx, n, priority, members, accelerators);

	job->step[0].is_gang = true;
	return sample_start(job);
}

/* marks @t as running on @sv since @started_at */
static inline void sample_run(struct work_task *t, struct fleet_server *sv, int64_t started_at)
{
	work_task_assign(t, sv);
	t->state = TASK_RUNNING;
	t->started_at = started_at;
	t->progress_at = started_at;
}

#endif
