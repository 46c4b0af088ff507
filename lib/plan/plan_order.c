/*
 * Order of waiting work.
 *
 * Load pattern: bursts of urgent and of large jobs on a nearly full pool build up
 * a backlog that can't be finished in time. Urgent work goes before all other work.
 * Each of the two has four tiers: jobs that have waited for STARVED_FACTOR times their
 * objective, then jobs that can still meet their deadline, then jobs that can still end
 * within WORK_LATE_FACTOR times their objective, then all others.
 * Jobs that have missed their deadline therefore don't make others miss theirs, but a
 * stream of new jobs doesn't starve them either.
 * Within the first and the last tier, groups are sorted by the time at which they became
 * due, within the others by the latest time at which they must start. Both times are fixed.
 */
#include "plan.h"

#include "speed/speed.h"

enum tier { TIER_STARVED, TIER_IN_TIME, TIER_LATE, TIER_TOO_LATE, TIERS_PER_PRIORITY };

/* multiple of its objective after which a job goes before those that came later */
#define STARVED_FACTOR 10

struct plan_rank plan_rank(const struct work_group *group, const struct plan_clock *at)
{
	const struct work_job *job = group->job;
	int64_t due = work_due_ms(job, group->occurrence);
	int64_t objective = work_objective_ms(job);
	int64_t path_ms = speed_expected_path_ms(group);
	int64_t ends = at->wall + path_ms;
	bool is_urgent = job->priority == QUEUES_URGENT_PRIORITY;
	struct plan_rank rank = {.tier = is_urgent ? 0 : TIERS_PER_PRIORITY};

	if (at->wall > due + STARVED_FACTOR * objective) {
		rank.tier += TIER_STARVED;
		rank.key = due;
	} else if (ends <= due + objective) {
		rank.tier += TIER_IN_TIME;
		rank.key = due + objective - path_ms;
	} else if (ends <= due + WORK_LATE_FACTOR * objective) {
		rank.tier += TIER_LATE;
		rank.key = due + WORK_LATE_FACTOR * objective - path_ms;
	} else {
		rank.tier += TIER_TOO_LATE;
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
