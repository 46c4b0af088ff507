/*
 * Placement without regard to preferences, in a pool that has ample room.
 *
 * Load pattern: a backlog drains from a pool of which most is free, but in fragments: no rack
 * is free as a whole, a data rack is full or has left, or servers are headroom or reserved for
 * a wide gang. None of these then holds work back for long.
 */
#include "plan_scratch.h"

#include <string.h>

/* wait for a preferred rack, or behind servers that are set aside */
#define AMPLE_ROOM_WAIT_MS 1500
#define AMPLE_ROOM_FACTOR 2 /* the pool is used to less than 1/2, and the work fits 2 times */
/*
 * While work arrives at shorter intervals, reservations hold, so that a stream of small jobs
 * doesn't starve a gang, and the scarcest resource decides whether the pool is mostly free.
 */
#define ARRIVAL_GAP_MS 1000

static bool is_at_work(const struct work_group *group)
{
	for (unsigned int i = 0; i < group->count; i++) {
		enum work_task_state state = group->task[i].state;

		if (state == TASK_ASSIGNED || state == TASK_STARTING || state == TASK_RUNNING)
			return true;
	}
	return false;
}

static bool is_mostly_free(const struct fleet_resources *capacity,
			   const struct fleet_resources *used, bool work_arrives)
{
	const int n = AMPLE_ROOM_FACTOR;

	if (work_arrives)
		return used->cpu * n <= capacity->cpu &&
		       used->memory_mb * n <= capacity->memory_mb &&
		       used->accelerators * n <= capacity->accelerators;
	return fleet_millicore_equivalent(used) * n < fleet_millicore_equivalent(capacity);
}

static bool sum_pool(const struct fleet *fleet, const char *service, bool work_arrives)
{
	struct fleet_resources capacity = {0};
	struct fleet_resources used = {0};

	for (guint i = 0; i < fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(fleet->all, i);

		if (sv->presence != FLEET_LISTED || sv->is_evacuated ||
		    strcmp(sv->service, service))
			continue;
		fleet_resources_add(&capacity, &sv->capacity, 1);
		fleet_resources_add(&used, &sv->used, 1);
	}
	return is_mostly_free(&capacity, &used, work_arrives);
}

/* summed up once a round for each pool; what the round itself places does not count */
static bool pool_is_mostly_free(struct plan_scratch *s, const struct fleet *fleet,
				const char *service, bool work_arrives)
{
	bool is_free;

	for (unsigned int i = 0; i < s->pool_count; i++)
		if (!strcmp(s->pool[i].service, service))
			return s->pool[i].is_mostly_free;
	is_free = sum_pool(fleet, service, work_arrives);
	if (s->pool_count < PLAN_POOLS_MAX)
		s->pool[s->pool_count++] = (struct plan_pool){service, is_free};
	return is_free;
}

static unsigned int assign(struct plan_scratch *s, const struct fleet *fleet,
			   const struct work_group *group, struct fleet_server **out)
{
	unsigned int rack = PLAN_ANY_RACK;
	unsigned int placed;

	if (group->step->data_rack)
		rack = fleet_find_rack(fleet, group->step->data_rack);
	else if (group->step->same_rack)
		rack = plan_tightest_rack(s, group);
	plan_save_candidates(s);
	placed = plan_assign_waiting(s, group, rack, out);
	if (placed || rack == PLAN_ANY_RACK)
		return placed;
	plan_restore_candidates(s);
	return plan_assign_waiting(s, group, PLAN_ANY_RACK, out);
}

static unsigned int try_place(struct plan_scratch *s, const struct fleet *fleet,
			      const struct work_group *group, int64_t now,
			      struct fleet_server **out)
{
	unsigned int needed = group->step->is_gang ? group->count : 1;
	unsigned int slots;

	plan_collect_candidates(s, fleet, group, now, false);
	slots = plan_count_slots(s, group);
	if (slots < AMPLE_ROOM_FACTOR && s->uses_suspect)
		plan_record_unmet(&s->ample_unmet, group, 0);
	return slots < AMPLE_ROOM_FACTOR * needed ? 0 : assign(s, fleet, group, out);
}

unsigned int plan_place_in_ample_room(struct plan_scratch *s, const struct fleet *fleet,
				      const struct work_group *group, const struct plan_clock *at,
				      struct fleet_server **out)
{
	bool work_arrives;
	unsigned int placed;

	if (!group->step->after_count)
		s->newest_arrival = MAX(s->newest_arrival, group->ready_since);
	work_arrives = at->now < s->newest_arrival + ARRIVAL_GAP_MS;
	if (!group->waiting_since || at->now < group->waiting_since + AMPLE_ROOM_WAIT_MS ||
	    plan_is_known_unmet(&s->ample_unmet, group))
		return 0;
	/* each task of an endless step counts, however full the pool is */
	if (!group->step->is_endless &&
	    (is_at_work(group) ||
	     !pool_is_mostly_free(s, fleet, group->job->service, work_arrives)))
		return 0;
	s->uses_headroom = true;
	s->uses_reserved = !work_arrives || group->step->is_endless;
	placed = try_place(s, fleet, group, at->now, out);
	if (!placed) {
		/* last, as a server that is still faulty costs a restart */
		s->uses_suspect = true;
		placed = try_place(s, fleet, group, at->now, out);
	}
	s->uses_headroom = false;
	s->uses_reserved = false;
	s->uses_suspect = false;
	if (placed)
		s->refusal = PLAN_PLACED;
	return placed;
}
