/*
 * Detection of stalled and slow tasks.
 *
 * Load pattern: on some servers tasks stall or run several times too slowly, although
 * the servers answer all calls. A job completes with its last task, so such a task is
 * stopped and restarted on another server. Declared run times are off by a factor of
 * two or more. The pace of a task is therefore compared with that of its siblings, or
 * with the pace that an earlier attempt of the group had elsewhere.
 *
 * Load pattern: the declared run time of a job is a tenth of the real one, and all its
 * tasks are on one server, so that there is no other pace. The declared run time then
 * causes one restart at most: the second attempt shows that no server is at fault.
 *
 * Load pattern: a server is always half as fast as most. Its tasks are as fast as it allows, and
 * a stop would waste what they have done, so paces are compared as if each server had the speed
 * of a typical one. A server that becomes slower than its own speed is noticed.
 */
#include "plan.h"

#include "speed/speed.h"

/* covers two long polls and the time that members of a gang wait for each other */
#define STALL_MIN_MS 2500
/* of the declared run time: a task without progress for so long is stalled */
#define STALL_SHARE 0.25
#define SLOW_MIN_MS 1800 /* shorter observations of progress give no pace */
/* remaining time over that of a restart at the median pace of the siblings */
#define SLOW_FACTOR 2.5
#define SLOW_SIBLINGS_MIN 3 /* siblings with a known pace that the median needs */
/* remaining time over the declared run time, when no other pace is known */
#define SLOW_ALONE_FACTOR 6

double plan_pace(const struct work_task *t)
{
	int64_t observed_ms = t->progress_at - t->first_percent_at;

	if (t->state != TASK_RUNNING || t->first_percent < 0 || observed_ms < SLOW_MIN_MS)
		return 0;
	return (t->percent - t->first_percent) * 1000.0 / (double)observed_ms;
}

double plan_typical_pace(const struct work_task *t)
{
	return plan_pace(t) / t->server->speed;
}

static gint compare_pace(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* median pace of siblings on other servers, in percent per second; 0 when too few are known */
static double siblings_pace(const struct work_task *t)
{
	GArray *paces = g_array_new(FALSE, FALSE, sizeof(double));
	double median = 0;

	for (unsigned int i = 0; i < t->group->count; i++) {
		const struct work_task *sibling = &t->group->task[i];
		double pace = 0;

		if (sibling->server && sibling->server != t->server)
			pace = plan_typical_pace(sibling);

		if (pace > 0)
			g_array_append_val(paces, pace);
	}
	g_array_sort(paces, compare_pace);
	if (paces->len >= SLOW_SIBLINGS_MIN)
		median = g_array_index(paces, double, paces->len / 2);
	g_array_free(paces, TRUE);
	return median;
}

static enum plan_progress rate_pace(const struct work_task *t)
{
	const struct work_group *g = t->group;
	double pace = plan_typical_pace(t);
	double pace_elsewhere = pace > 0 ? siblings_pace(t) : 0;
	double remaining_ms;
	double restart_ms;

	if (pace <= 0)
		return PROGRESS_NORMAL;
	remaining_ms = (100 - t->percent) * 1000.0 / pace;
	if (pace_elsewhere <= 0)
		pace_elsewhere = g->earlier_pace;
	if (pace_elsewhere <= 0)
		return remaining_ms > SLOW_ALONE_FACTOR * (double)g->step->estimate_ms *
					       MAX(g->job->run_ratio, 1)
			       ? PROGRESS_OVERDUE
			       : PROGRESS_NORMAL;
	restart_ms = (g->step->checkpoints ? 100 - t->percent : 100) * 1000.0 / pace_elsewhere;
	return remaining_ms > SLOW_FACTOR * restart_ms ? PROGRESS_SLOW : PROGRESS_NORMAL;
}

enum plan_progress plan_progress(const struct work_task *t, const struct plan_clock *at)
{
	const struct work_step *step = t->group->step;
	int64_t run_ms = t->server ? MAX(step->estimate_ms, speed_expected_ms(t->group, t->server))
				   : step->estimate_ms;
	int64_t stall = MAX(STALL_MIN_MS, (int64_t)(STALL_SHARE * (double)run_ms));

	if (t->state != TASK_RUNNING || !t->started_at || step->is_endless)
		return PROGRESS_NORMAL;
	/* members of a gang end together, so one at 100 percent waits for the others */
	if (t->percent >= 100)
		return PROGRESS_NORMAL;
	if (at->now - MAX(t->progress_at, t->started_at) > stall)
		return PROGRESS_STALLED;
	/* outside its rack or data rack a task is expected to be slow; a gang runs at one pace */
	if (step->same_rack || step->data_rack || step->is_gang)
		return PROGRESS_NORMAL;
	return rate_pace(t);
}

bool plan_server_is_stalled(const struct fleet_server *sv, int64_t now)
{
	return now - sv->progress_at > STALL_MIN_MS;
}
