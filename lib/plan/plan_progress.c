/*
 * Detection of stalled and slow tasks.
 *
 * Load pattern: on some servers tasks stall or run several times too slowly, although
 * the servers answer all calls. A job completes with its last task, so such a task is
 * stopped and restarted on another server. Declared run times are off by a factor of
 * two or more. The pace of a task is therefore compared with that of its siblings, and
 * with the declared run time only when too few siblings have a known pace.
 */
#include "plan.h"

/* covers two long polls and the time that members of a gang wait for each other */
#define STALL_MIN_MS 2500
/* of the declared run time: a task without progress for so long is stalled */
#define STALL_SHARE 0.25
#define SLOW_MIN_MS 1800 /* shorter observations of progress give no pace */
/* remaining time over that of a restart at the median pace of the siblings */
#define SLOW_FACTOR 2.5
#define SLOW_SIBLINGS_MIN 3 /* siblings with a known pace that the median needs */
/* remaining time over the declared run time, when that median is unknown */
#define SLOW_ALONE_FACTOR 6

/* 0 when not known yet */
static double pace_percent_per_s(const struct work_task *t)
{
	int64_t observed_ms = t->progress_at - t->first_percent_at;

	if (t->state != TASK_RUNNING || t->first_percent < 0 || observed_ms < SLOW_MIN_MS)
		return 0;
	return (t->percent - t->first_percent) * 1000.0 / (double)observed_ms;
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
		double pace = sibling->server != t->server ? pace_percent_per_s(sibling) : 0;

		if (pace > 0)
			g_array_append_val(paces, pace);
	}
	g_array_sort(paces, compare_pace);
	if (paces->len >= SLOW_SIBLINGS_MIN)
		median = g_array_index(paces, double, paces->len / 2);
	g_array_free(paces, TRUE);
	return median;
}

static bool is_slow(const struct work_task *t)
{
	double pace = pace_percent_per_s(t);
	double median_pace = pace > 0 ? siblings_pace(t) : 0;
	double remaining = pace > 0 ? (100 - t->percent) * 1000.0 / pace : 0;
	double restart_ms;

	if (pace <= 0)
		return false;
	if (median_pace > 0) {
		restart_ms = (t->group->step->checkpoints ? 100 - t->percent : 100) * 1000.0 /
			     median_pace;
		return remaining > SLOW_FACTOR * restart_ms;
	}
	return remaining > SLOW_ALONE_FACTOR * (double)t->group->step->estimate_ms;
}

enum plan_progress plan_progress(const struct work_task *t, const struct plan_clock *at)
{
	const struct work_step *step = t->group->step;
	int64_t stall = MAX(STALL_MIN_MS, (int64_t)(STALL_SHARE * (double)step->estimate_ms));

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
	return is_slow(t) ? PROGRESS_SLOW : PROGRESS_NORMAL;
}

bool plan_server_is_stalled(const struct fleet_server *sv, int64_t now)
{
	return now - sv->progress_at > STALL_MIN_MS;
}
