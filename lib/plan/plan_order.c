/*
 * Order of waiting work.
 *
 * Load pattern: bursts of urgent and of large jobs on a nearly full pool build up
 * a backlog that can't be finished in time. Urgent work goes before all other work.
 * Each of the two has three tiers: jobs that can still meet their deadline, then jobs
 * that can still end within WORK_LATE_FACTOR times their objective, then all others.
 * Jobs that have missed their deadline therefore don't make others miss theirs.
 * Within the last tier, groups are sorted by the time at which they became due, within
 * the others by the latest time at which they must start. Both times are fixed, so an
 * old job is not starved by jobs that arrive later.
 */
#include "plan.h"

#define TIERS_PER_PRIORITY 3

struct plan_rank plan_rank(const struct work_group *group, const struct plan_clock *at)
{
	const struct work_job *job = group->job;
	int64_t due = work_due_ms(job, group->occurrence);
	int64_t objective = work_objective_ms(job);
	int64_t ends = at->wall + group->step->critical_path_ms;
	bool is_urgent = job->priority == QUEUES_URGENT_PRIORITY;
	struct plan_rank rank = {.tier = is_urgent ? 0 : TIERS_PER_PRIORITY};

	if (ends <= due + objective) {
		rank.key = due + objective - group->step->critical_path_ms;
	} else if (ends <= due + WORK_LATE_FACTOR * objective) {
		rank.tier += 1;
		rank.key = due + WORK_LATE_FACTOR * objective - group->step->critical_path_ms;
	} else {
		rank.tier += 2;
		rank.key = due;
	}
	return rank;
}

int plan_rank_compare(const struct plan_rank *a, const struct plan_rank *b)
{
	if (a->tier != b->tier)
		return a->tier < b->tier ? -1 : 1;
	if (a->key != b->key)
		return a->key < b->key ? -1 : 1;
	return 0;
}
