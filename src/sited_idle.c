/*
 * Reports jobs of which nothing runs although the turn of one of their tasks has come.
 * A waiting group is explained by "not_placed"; the counts by task state show what else
 * holds a job up: a store, an unanswered order, or a server of an earlier leader's task.
 */
#include "sited_lead.h"

#include <string.h>

#define IDLE_CHECK_INTERVAL_MS 500
#define IDLE_REPORT_AFTER_MS 2000
#define IDLE_REPORT_INTERVAL_MS 3000

/* tasks by state of the steps whose turn has come, and one task that holds a server */
struct job_tasks {
	unsigned int count[TASK_DONE + 1];
	unsigned int unfinished;
	const struct work_task *held;
};

static void count_tasks(const struct work_job *job, struct job_tasks *tasks)
{
	memset(tasks, 0, sizeof(*tasks));
	for (guint i = 0; i < job->groups->len; i++) {
		const struct work_group *g = g_ptr_array_index(job->groups, i);

		if (!work_group_is_unblocked(g))
			continue;
		tasks->unfinished += g->count - g->done;
		for (unsigned int k = 0; k < g->count; k++) {
			const struct work_task *t = &g->task[k];

			tasks->count[t->state]++;
			if (t->server && !tasks->held)
				tasks->held = t;
		}
	}
}

static void report(const struct lead *l, const struct work_job *job, const struct job_tasks *tasks,
		   int64_t now)
{
	const struct work_task *held = tasks->held;
	const struct fleet_server *sv = held ? held->server : NULL;

	log_event("job_idle", "{ss sI si si si si si si ss ss sI}", "id", job->id, "idle_ms",
		  (json_int_t)(now - job->idle_since), "waiting", (int)tasks->count[TASK_WAITING],
		  "awaiting_preemption", (int)tasks->count[TASK_AWAITING_PREEMPTION], "assigned",
		  (int)tasks->count[TASK_ASSIGNED], "starting", (int)tasks->count[TASK_STARTING],
		  "stopping", (int)tasks->count[TASK_STOPPING], "unconfirmed",
		  (int)tasks->count[TASK_UNCONFIRMED], "server", sv ? sv->id : "", "admission",
		  sv ? fleet_admission_name(fleet_admission(sv, now)) : "", "unconfirmed_for_ms",
		  (json_int_t)(held && held->state == TASK_UNCONFIRMED
				       ? lead_unconfirmed_over_at(l, held) - now
				       : 0));
}

static void check_job(struct lead *l, struct work_job *job, int64_t now)
{
	struct job_tasks tasks;

	count_tasks(job, &tasks);
	if (!tasks.unfinished || tasks.count[TASK_RUNNING] || tasks.count[TASK_ENDING]) {
		job->idle_since = 0;
		return;
	}
	if (!job->idle_since) {
		job->idle_since = now;
		job->idle_report_at = now + IDLE_REPORT_AFTER_MS;
	}
	if (now - job->idle_since >= IDLE_REPORT_AFTER_MS)
		l->idle_jobs++;
	l->longest_idle_ms = MAX(l->longest_idle_ms, now - job->idle_since);
	if (now < job->idle_report_at)
		return;
	job->idle_report_at = now + IDLE_REPORT_INTERVAL_MS;
	report(l, job, &tasks, now);
}

void lead_idle_tick(struct lead *l)
{
	int64_t now = sited_now_ms();

	if (now < l->next_idle_check_at)
		return;
	l->next_idle_check_at = now + IDLE_CHECK_INTERVAL_MS;
	l->idle_jobs = 0;
	l->longest_idle_ms = 0;
	for (guint i = 0; i < l->active->len; i++)
		check_job(l, g_ptr_array_index(l->active, i), now);
}
