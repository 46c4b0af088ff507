/*
 * Choice between servers of different speeds.
 *
 * Load pattern: one server in four is half as fast as the others. Urgent tasks run 2 s with an
 * objective of 1.5 times that, so one on a slow server is late, and so is a gang with one slow
 * member. Urgent work therefore prefers faster servers to all else, but does not wait for them.
 * Where one server in four is faster than the typical ones, urgent work ends in time on these as
 * well: it uses faster servers that have room, but best fit and the cost of victims come first.
 * Without that, urgent work stopped gangs on the few faster servers while others had room.
 * Other work uses slower servers first as long as it ends in time there, among those that leave
 * the same number of accelerators free: it holds capacity longer there, but capacity that urgent
 * work can't use.
 */
#include "plan_scratch.h"

#define URGENT_SPEED_SCORE 10000000 /* above that of the accelerators left over */
#define SPEED_SCORE 300000	    /* below that of one accelerator left over, above all cores */

void plan_start_speeds(struct plan_scratch *s, const struct fleet *fleet)
{
	s->speeds = PLAN_ALL_SPEEDS;
	s->speeds_differ = false;
	s->typical_is_slower = false;
	s->slower_speed = 1;
	for (guint i = 0; i < fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(fleet->all, i);

		s->speeds_differ |=
			sv->speed_class == FLEET_SPEED_SLOW || sv->speed_class == FLEET_SPEED_FAST;
		s->typical_is_slower |= sv->speed_class == FLEET_SPEED_FAST;
		s->slower_speed = MIN(s->slower_speed, sv->speed);
	}
}

enum plan_speed plan_speed_of(const struct plan_scratch *s, const struct fleet_server *sv)
{
	switch (sv->speed_class) {
	case FLEET_SPEED_SLOW:
		return PLAN_SLOWER;
	case FLEET_SPEED_TYPICAL:
		return s->typical_is_slower ? PLAN_SLOWER : PLAN_FASTER;
	case FLEET_SPEED_FAST:
		return PLAN_FASTER;
	case FLEET_SPEED_UNKNOWN:
	case FLEET_SPEED_CLASS_COUNT:
		break;
	}
	return PLAN_UNKNOWN;
}

void plan_set_speed_preference(struct plan_scratch *s, const struct work_group *group,
			       const struct plan_clock *at)
{
	const struct work_job *job = group->job;
	double run_ms;

	s->speeds = PLAN_ALL_SPEEDS;
	s->prefers_slower = false;
	if (!s->speeds_differ || plan_is_urgent(group))
		return;
	run_ms = (double)group->step->critical_path_ms * job->run_ratio / s->slower_speed;
	s->prefers_slower = at->wall + (int64_t)run_ms <=
			    work_due_ms(job, group->occurrence) + work_objective_ms(job);
}

int64_t plan_speed_score(const struct plan_scratch *s, const struct work_group *group,
			 const struct fleet_server *sv)
{
	enum plan_speed avoided = s->prefers_slower ? PLAN_FASTER : PLAN_SLOWER;
	enum plan_speed speed;
	int64_t steps;

	if (!s->speeds_differ)
		return 0;
	speed = plan_speed_of(s, sv);
	steps = speed == avoided ? 2 : speed == PLAN_UNKNOWN ? 1 : 0;
	return steps *
	       (plan_is_urgent(group) && !s->typical_is_slower ? URGENT_SPEED_SCORE : SPEED_SCORE);
}

const unsigned int *plan_gang_speeds(const struct plan_scratch *s)
{
	static const unsigned int faster_first[] = {PLAN_FASTER, PLAN_FASTER | PLAN_UNKNOWN,
						    PLAN_SLOWER, PLAN_ALL_SPEEDS};
	static const unsigned int slower_first[] = {PLAN_SLOWER, PLAN_FASTER,
						    PLAN_FASTER | PLAN_UNKNOWN, PLAN_ALL_SPEEDS};

	return s->prefers_slower ? slower_first : faster_first;
}
