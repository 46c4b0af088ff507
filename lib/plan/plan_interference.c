/*
 * Placement apart from workloads that slow each other down.
 *
 * Load pattern: tasks of two workloads slow each other on one server, while other servers have
 * room. Best fit joins them, because it prefers servers that are in use.
 *
 * The choice is only among servers that have room for the task, so that no task stays unplaced
 * for it. Unless the pool has ample room, interference decides only between servers with equally
 * many accelerators left over, so that whole servers stay free as without it.
 */
#include "plan_scratch.h"

/* The cost of a pair from which on it makes no difference: both take twice as long. */
#define COST_MAX 2.0
/* More than any server has left over; failures of the server count more. */
#define AMPLE_ROOM_SCORE (50LL * PLAN_SCORE_PER_ACCELERATOR)
#define AMPLE_ROOM_FACTOR 2 /* the servers are used to at most 1/2, and the work fits 2 times */

void plan_use_interference(struct plan_scratch *s, const struct interference *in)
{
	s->interference = in;
}

static double cost_beside(const struct plan_scratch *s, uint64_t workload)
{
	for (unsigned int i = 0; i < s->costs; i++)
		if (s->cost[i].other == workload)
			return s->cost[i].cost;
	return 0;
}

static double cost_on(const struct plan_scratch *s, const struct fleet_server *sv)
{
	double sum = 0;

	for (guint i = 0; i < sv->tasks->len; i++) {
		const struct work_task *t = g_ptr_array_index(sv->tasks, i);

		if (t->state != TASK_STOPPING && t->state != TASK_ENDING)
			sum += cost_beside(s, t->group->step->workload);
	}
	return sum;
}

/* resources of @n times the waiting tasks of the group */
static struct fleet_resources needed(const struct work_group *group, int n)
{
	const struct fleet_resources *need = &group->step->need;
	int64_t times = (int64_t)n * work_group_waiting_count(group);

	return (struct fleet_resources){.cpu = need->cpu * times,
					.memory_mb = need->memory_mb * times,
					.accelerators = need->accelerators * times};
}

static bool has_ample_room(const struct plan_scratch *s, const struct work_group *group)
{
	const int n = AMPLE_ROOM_FACTOR;
	struct fleet_resources need = needed(group, n);
	struct fleet_resources capacity = {0};
	struct fleet_resources available = {0};

	/* a gang waits for servers */
	if (s->has_reservation)
		return false;
	for (unsigned int i = 0; i < s->count; i++) {
		fleet_resources_add(&capacity, &s->candidates[i].server->capacity, 1);
		fleet_resources_add(&available, &s->candidates[i].free_capacity, 1);
	}
	return available.cpu * n >= capacity.cpu && available.memory_mb * n >= capacity.memory_mb &&
	       available.accelerators * n >= capacity.accelerators &&
	       fleet_resources_fit(&need, &available);
}

void plan_note_interference(struct plan_scratch *s, const struct work_group *group, int64_t now)
{
	s->costs = s->interference ? interference_costs(s->interference, group->step->workload, now,
							s->cost)
				   : 0;
	if (!s->costs)
		return;
	for (unsigned int i = 0; i < s->count; i++)
		s->candidates[i].interference = cost_on(s, s->candidates[i].server);
	s->has_ample_room = has_ample_room(s, group);
}

int64_t plan_interference_score(const struct plan_scratch *s,
				const struct plan_candidate *candidate,
				const struct work_group *group)
{
	int64_t cpu = candidate->free_capacity.cpu - group->step->need.cpu;
	int64_t most = MAX(PLAN_SCORE_PER_ACCELERATOR - 1 - cpu, 0);
	double cost;

	if (!s->costs)
		return 0;
	cost = candidate->interference +
	       candidate->siblings * cost_beside(s, group->step->workload);
	cost = MIN(cost, COST_MAX) / COST_MAX;
	if (s->has_ample_room)
		return (int64_t)(cost * AMPLE_ROOM_SCORE);
	/* the sum with the cores left over stays below one accelerator */
	return (int64_t)(cost * (double)most);
}
