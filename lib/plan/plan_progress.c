/*
 * Whether a running task gets on.
 *
 * Load pattern: some servers let tasks stand still, or are several times too
 * slow, while they answer all calls. The job's last task decides when it is
 * complete, so such a task is stopped and started elsewhere. Declared run times
 * are off by a factor of two or more, so a pace is judged against that of the
 * other tasks of the step, and against the declaration only when it is far off.
 */
#include "plan.h"

#define STALL_MIN_MS 2500 /* two long polls and the wait of a gang's members for each other */
#define STALL_SHARE 0.25  /* of the declared run time without any progress */
#define SLOW_MIN_MS 1800  /* of progress seen, before its pace is judged */
#define SLOW_FACTOR 2.5	  /* pace of the others against its own */
#define SLOW_MATES_MIN 3  /* others whose pace is known, to judge by them */
#define FAR_OFF_FACTOR 6  /* rest at its pace against the declared run time, without others */

/* percent a second, or 0 when not known yet */
static double pace_of(const struct work_task *t)
{
	int64_t seen = t->progress_at - t->first_percent_at;

	if (t->state != TASK_RUNNING || t->first_percent < 0 || seen < SLOW_MIN_MS)
		return 0;
	return (t->percent - t->first_percent) * 1000.0 / (double)seen;
}

static gint compare_pace(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* median pace of the step's tasks on other servers, or 0 when too few are known */
static double pace_of_mates(const struct work_task *t)
{
	GArray *paces = g_array_new(FALSE, FALSE, sizeof(double));
	double median = 0;

	for (unsigned int i = 0; i < t->group->count; i++) {
		const struct work_task *mate = &t->group->task[i];
		double pace = mate->server != t->server ? pace_of(mate) : 0;

		if (pace > 0)
			g_array_append_val(paces, pace);
	}
	g_array_sort(paces, compare_pace);
	if (paces->len >= SLOW_MATES_MIN)
		median = g_array_index(paces, double, paces->len / 2);
	g_array_free(paces, TRUE);
	return median;
}

static bool is_slow(const struct work_task *t)
{
	double pace = pace_of(t);
	double mates = pace > 0 ? pace_of_mates(t) : 0;
	double rest = pace > 0 ? (100 - t->percent) * 1000.0 / pace : 0;
	double again;

	if (pace <= 0)
		return false;
	if (mates > 0) {
		again = (t->group->step->checkpoints ? 100 - t->percent : 100) * 1000.0 / mates;
		return rest > SLOW_FACTOR * again;
	}
	return rest > FAR_OFF_FACTOR * (double)t->group->step->estimate_ms;
}

enum plan_progress plan_progress(const struct work_task *t, const struct plan_clock *at)
{
	const struct work_step *step = t->group->step;
	int64_t stall = MAX(STALL_MIN_MS, (int64_t)(STALL_SHARE * (double)step->estimate_ms));

	if (t->state != TASK_RUNNING || !t->started_at || step->is_endless)
		return PROGRESS_GOOD;
	/* members of a gang end together: one that is done waits for the others */
	if (t->percent >= 100)
		return PROGRESS_GOOD;
	if (at->now - MAX(t->progress_at, t->started_at) > stall)
		return PROGRESS_STALLED;
	/* far from its rack or data it is slow by nature, and members of a gang pace each other */
	if (step->same_rack || step->data_rack || step->is_gang)
		return PROGRESS_GOOD;
	return is_slow(t) ? PROGRESS_SLOW : PROGRESS_GOOD;
}

bool plan_server_stalls(const struct fleet_server *sv, int64_t now)
{
	return now - sv->progress_at > STALL_MIN_MS;
}
