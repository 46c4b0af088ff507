/*
 * Preemption of other work for urgent work.
 *
 * Load pattern: a burst of urgent jobs arrives at a pool that is full of work which
 * can wait. The victims are those that lose the least work: a task with checkpoints
 * costs only its restart, another task also costs all that it has done, and a
 * member of a gang costs its whole gang.
 */
#include "plan_scratch.h"

#include "speed/speed.h"

#include <string.h>

/* stop, wait for another server and restore; in ms, weighted by the resources of the task */
#define RESTART_COST_MS 800

/*
 * Run time of a task up to now, in ms. The reported progress shows how long a task ran
 * under an earlier leader, before this one adopted it.
 */
static int64_t ran_ms(const struct work_task *t, int64_t now)
{
	return MAX(now - t->started_at, t->percent * speed_expected_ms(t->group, t->server) / 100);
}

/* work lost by stopping this task alone, in ms times thousandths of a core */
static int64_t task_stop_cost(const struct work_task *t, int64_t now)
{
	const struct work_step *step = t->group->step;
	int64_t lost = RESTART_COST_MS;

	if (!step->checkpoints && t->started_at)
		lost += ran_ms(t, now);
	return lost * fleet_millicore_equivalent(&step->need);
}

static int64_t stop_cost(const struct work_task *t, int64_t now)
{
	const struct work_group *g = t->group;
	int64_t sum = 0;

	if (!g->step->is_gang)
		return task_stop_cost(t, now);
	for (unsigned int i = 0; i < g->count; i++)
		sum += task_stop_cost(&g->task[i], now);
	return sum;
}

static bool may_preempt(const struct work_task *t, const struct work_group *group)
{
	return t->state == TASK_RUNNING && !t->group->step->is_endless &&
	       t->group->job->priority > group->job->priority;
}

static bool is_in_victims(const GPtrArray *victims, const struct work_task *t)
{
	for (guint i = 0; i < victims->len; i++)
		if (g_ptr_array_index(victims, i) == t)
			return true;
	return false;
}

static struct plan_candidate *candidate_for(struct plan_scratch *s, const struct fleet_server *sv)
{
	for (struct plan_candidate *candidate = plan_first_candidate(s, sv->rack);
	     candidate < plan_end_candidate(s, sv->rack); candidate++)
		if (candidate->server == sv)
			return candidate;
	return NULL;
}

static bool is_preemptible_state(const struct work_task *member)
{
	return member->state == TASK_RUNNING || member->state == TASK_STARTING;
}

/* adds @t, with its whole gang, to @victims and their resources to the free capacity */
static void add_victims(struct plan_scratch *s, struct work_task *t, GPtrArray *victims)
{
	struct work_group *g = t->group;
	unsigned int first = g->step->is_gang ? 0 : t->index;
	unsigned int end = g->step->is_gang ? g->count : t->index + 1;

	for (unsigned int i = first; i < end; i++) {
		struct work_task *member = &g->task[i];
		struct plan_candidate *at =
			is_preemptible_state(member) ? candidate_for(s, member->server) : NULL;

		if (is_preemptible_state(member))
			g_ptr_array_add(victims, member);
		if (at)
			fleet_resources_add(&at->free_capacity, &g->step->need, 1);
	}
}

/* adds the resources on the server of @t that its stop releases, gang members included */
static void add_freed_amount(struct fleet_resources *free_capacity, const struct work_task *t)
{
	const struct work_group *g = t->group;

	for (unsigned int i = 0; i < g->count; i++) {
		const struct work_task *member = &g->task[i];

		if (member == t || (g->step->is_gang && is_preemptible_state(member) &&
				    member->server == t->server))
			fleet_resources_add(free_capacity, &g->step->need, 1);
	}
}

/* a gang is stopped as a whole, so one chosen member covers all */
static bool is_covered_by_victims(const GPtrArray *victims, const struct work_task *t)
{
	for (guint i = 0; i < victims->len; i++) {
		const struct work_task *v = g_ptr_array_index(victims, i);

		if (v == t || (t->group->step->is_gang && v->group == t->group))
			return true;
	}
	return false;
}

/* task on the server with the lowest stop cost per core that helps to meet the need, or NULL */
static struct work_task *cheapest_victim(const struct plan_candidate *candidate,
					 const struct fleet_resources *free_capacity,
					 const struct work_group *group, const GPtrArray *victims,
					 const GPtrArray *chosen, int64_t now)
{
	const struct fleet_resources *need = &group->step->need;
	struct work_task *best = NULL;
	int64_t best_unit_cost = 0;

	for (guint i = 0; i < candidate->server->tasks->len; i++) {
		struct work_task *victim = g_ptr_array_index(candidate->server->tasks, i);
		const struct fleet_resources *has = &victim->group->step->need;
		int64_t unit_cost;

		if (!may_preempt(victim, group) || is_in_victims(victims, victim) ||
		    is_covered_by_victims(chosen, victim))
			continue;
		if (free_capacity->accelerators < need->accelerators && !has->accelerators)
			continue;
		unit_cost = stop_cost(victim, now) / MAX(fleet_millicore_equivalent(has), 1);
		if (!best || unit_cost < best_unit_cost) {
			best = victim;
			best_unit_cost = unit_cost;
		}
	}
	return best;
}

/* fills @chosen so that one more task fits on @candidate; returns the cost, or -1 if impossible */
static int64_t select_victims(const struct plan_candidate *candidate,
			      const struct work_group *group, int64_t now, const GPtrArray *victims,
			      GPtrArray *chosen)
{
	struct fleet_resources free_capacity = candidate->free_capacity;
	int64_t sum = 0;

	g_ptr_array_set_size(chosen, 0);
	while (!fleet_resources_fit(&group->step->need, &free_capacity)) {
		struct work_task *victim =
			cheapest_victim(candidate, &free_capacity, group, victims, chosen, now);

		if (!victim)
			return -1;
		g_ptr_array_add(chosen, victim);
		add_freed_amount(&free_capacity, victim);
		sum += stop_cost(victim, now);
	}
	return sum;
}

/* preempts on the server with the lowest cost; returns the cost, or -1 if impossible */
static int64_t preempt_cheapest(struct plan_scratch *s, const struct work_group *group,
				unsigned int rack, int64_t now, GPtrArray *victims,
				struct plan_candidate **where)
{
	GPtrArray *chosen = g_ptr_array_new();
	struct plan_candidate *best = NULL;
	int64_t best_cost = -1;

	for (struct plan_candidate *candidate = plan_first_candidate(s, rack);
	     candidate < plan_end_candidate(s, rack); candidate++) {
		int64_t cost;

		if (!plan_has_allowed_speed(s, candidate->server))
			continue;
		if (group->step->per_server_max &&
		    candidate->siblings >= group->step->per_server_max)
			continue;
		cost = select_victims(candidate, group, now, victims, chosen);
		if (cost >= 0 && (!best || cost < best_cost)) {
			best = candidate;
			best_cost = cost;
		}
	}
	if (best) {
		select_victims(best, group, now, victims, chosen);
		for (guint i = 0; i < chosen->len; i++)
			add_victims(s, g_ptr_array_index(chosen, i), victims);
	}
	g_ptr_array_free(chosen, TRUE);
	*where = best;
	return best_cost;
}

static int64_t preempt_in_rack(struct plan_scratch *s, const struct work_group *group,
			       unsigned int rack, int64_t now, struct fleet_server **out,
			       GPtrArray *victims)
{
	int64_t sum = 0;

	g_ptr_array_set_size(victims, 0);
	for (unsigned int i = 0; i < group->count; i++) {
		struct plan_candidate *candidate;
		int64_t cost;

		out[i] = NULL;
		if (group->task[i].state != TASK_WAITING)
			continue;
		candidate = plan_best_candidate(s, group, &group->task[i], rack);
		if (!candidate) {
			cost = preempt_cheapest(s, group, rack, now, victims, &candidate);
			if (cost < 0)
				return -1;
			sum += cost;
		}
		plan_allocate(candidate, group);
		out[i] = candidate->server;
	}
	return sum;
}

/* total accelerators of the candidates of each rack */
static int64_t *rack_capacity(struct plan_scratch *s, const struct fleet *fleet)
{
	int64_t *sum = talloc_zero_array(s, int64_t, fleet->racks->len);

	for (unsigned int i = 0; i < s->count; i++)
		sum[s->candidates[i].server->rack] +=
			s->candidates[i].server->capacity.accelerators;
	return sum;
}

static bool preempt_on_speeds(struct plan_scratch *s, const struct fleet *fleet,
			      const struct work_group *group, const struct plan_clock *at,
			      struct fleet_server **out, GPtrArray *victims)
{
	unsigned int best = PLAN_ANY_RACK;
	int64_t best_cost = -1;
	struct plan_candidate *before;
	int64_t *capacity;

	plan_collect_candidates(s, fleet, group, at->now, true);
	if (!group->step->same_rack || group->count < 2)
		return preempt_in_rack(s, group, PLAN_ANY_RACK, at->now, out, victims) >= 0;
	before = talloc_array(s, struct plan_candidate, s->count + 1);
	memcpy(before, s->candidates, s->count * sizeof(*before));
	capacity = rack_capacity(s, fleet);
	for (unsigned int rack = 0; rack < fleet->racks->len; rack++) {
		int64_t cost = -1;

		/* skip a rack whose total capacity is too small */
		if (capacity[rack] >= group->step->need.accelerators * group->count &&
		    capacity[rack])
			cost = preempt_in_rack(s, group, rack, at->now, out, victims);
		if (cost >= 0 && (best == PLAN_ANY_RACK || cost < best_cost)) {
			best = rack;
			best_cost = cost;
		}
		memcpy(s->candidates, before, s->count * sizeof(*before));
	}
	talloc_free(before);
	talloc_free(capacity);
	/* when no rack can hold the group, spread it: it runs slower but starts in time */
	return preempt_in_rack(s, group, best, at->now, out, victims) >= 0;
}

/* urgent work is late on servers slower than the typical ones: victims there are the last choice */
bool plan_preempt(struct plan_scratch *s, const struct fleet *fleet, const struct work_group *group,
		  const struct plan_clock *at, struct fleet_server **out, GPtrArray *victims)
{
	bool found;

	plan_set_speed_preference(s, group, at);
	if (s->speeds_differ && !s->typical_is_slower) {
		s->speeds = PLAN_FASTER | PLAN_UNKNOWN;
		found = preempt_on_speeds(s, fleet, group, at, out, victims);
		s->speeds = PLAN_ALL_SPEEDS;
		if (found)
			return true;
	}
	return preempt_on_speeds(s, fleet, group, at, out, victims);
}
