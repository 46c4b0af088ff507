/*
 * Whether a running task gets on.
 *
 * Load pattern: some servers let tasks stand still, or are several times too
 * slow, while they answer all calls. The job's last task decides when it is
 * complete, so such a task is stopped and started elsewhere.
 */
#include "plan.h"

#define STALL_MIN_MS 2500 /* two long polls and the wait of a gang's members for each other */
#define STALL_SHARE 0.25  /* of the declared run time without any progress */
#define SLOW_MIN_MS 1800  /* of progress seen, before its pace is judged */
#define SLOW_FACTOR 2.5	  /* rest at the present pace against a new start elsewhere */

enum plan_progress plan_progress(const struct work_task *t, const struct plan_clock *at)
{
	const struct work_step *step = t->group->step;
	int64_t estimate = MAX(step->estimate_ms, 1);
	int64_t stall = MAX(STALL_MIN_MS, (int64_t)(STALL_SHARE * (double)estimate));
	int64_t seen = t->progress_at - t->first_at;
	int gained = t->percent - t->first_percent;
	double rest;
	double again;

	if (t->state != TASK_RUNNING || !t->started_at || step->is_endless)
		return PROGRESS_GOOD;
	if (at->now - MAX(t->progress_at, t->started_at) > stall)
		return PROGRESS_STALLED;
	if (step->same_rack || step->data_rack || t->first_percent < 0 || seen < SLOW_MIN_MS ||
	    gained <= 0)
		return PROGRESS_GOOD;
	rest = (double)(100 - t->percent) * (double)seen / gained;
	again = (double)estimate * (step->checkpoints ? (100 - t->percent) / 100.0 : 1.0);
	return rest > SLOW_FACTOR * again ? PROGRESS_SLOW : PROGRESS_GOOD;
}
