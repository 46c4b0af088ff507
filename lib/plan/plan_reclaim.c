/*
 * What stops so that urgent work begins in time.
 *
 * Load pattern: a burst of urgent jobs meets a pool filled by work that may
 * wait. The urgent job goes where the least work is lost: work that can go on
 * from a checkpoint costs only its restart, other work costs all it has done,
 * and a member of a gang costs its whole gang.
 */
#include "plan_scratch.h"

#include <string.h>

/* restart of a task: its stop, the wait for a new place and the restore, in ms of its resources */
#define RESTART_COST_MS 800

/* what is lost when the task alone stops, in ms times thousandths of a core */
static int64_t own_cost(const struct work_task *t, int64_t now)
{
	const struct work_step *step = t->group->step;
	int64_t lost = RESTART_COST_MS;

	if (!step->checkpoints && t->started_at)
		lost += now - t->started_at;
	return lost * fleet_millicore_equivalent(&step->need);
}

static int64_t stop_cost(const struct work_task *t, int64_t now)
{
	const struct work_group *g = t->group;
	int64_t sum = 0;

	if (!g->step->is_gang)
		return own_cost(t, now);
	for (unsigned int i = 0; i < g->count; i++)
		sum += own_cost(&g->task[i], now);
	return sum;
}

static bool may_stop(const struct work_task *t, const struct work_group *group)
{
	return t->state == TASK_RUNNING && !t->group->step->is_endless &&
	       t->group->job->priority > group->job->priority;
}

static bool is_chosen(const GPtrArray *victims, const struct work_task *t)
{
	for (guint i = 0; i < victims->len; i++)
		if (g_ptr_array_index(victims, i) == t)
			return true;
	return false;
}

static struct plan_try *try_of(struct plan_scratch *s, const struct fleet_server *sv)
{
	for (struct plan_try *t = plan_first(s, sv->rack); t < plan_end(s, sv->rack); t++)
		if (t->server == sv)
			return t;
	return NULL;
}

static bool would_stop(const struct work_task *member)
{
	return member->state == TASK_RUNNING || member->state == TASK_STARTING;
}

/* @t stops, and its gang with it */
static void choose(struct plan_scratch *s, struct work_task *t, GPtrArray *victims)
{
	struct work_group *g = t->group;
	unsigned int first = g->step->is_gang ? 0 : t->index;
	unsigned int end = g->step->is_gang ? g->count : t->index + 1;

	for (unsigned int i = first; i < end; i++) {
		struct work_task *member = &g->task[i];
		struct plan_try *at = would_stop(member) ? try_of(s, member->server) : NULL;

		if (would_stop(member))
			g_ptr_array_add(victims, member);
		if (at)
			fleet_resources_add(&at->room, &g->step->need, 1);
	}
}

/* room on one server that comes free when @t stops, its gang's members there included */
static void add_freed(struct fleet_resources *room, const struct work_task *t)
{
	const struct work_group *g = t->group;

	for (unsigned int i = 0; i < g->count; i++) {
		const struct work_task *member = &g->task[i];

		if (member == t ||
		    (g->step->is_gang && would_stop(member) && member->server == t->server))
			fleet_resources_add(room, &g->step->need, 1);
	}
}

/* a gang is stopped as a whole, so one chosen member stands for all */
static bool gang_is_chosen(const GPtrArray *victims, const struct work_task *t)
{
	for (guint i = 0; i < victims->len; i++) {
		const struct work_task *v = g_ptr_array_index(victims, i);

		if (v == t || (t->group->step->is_gang && v->group == t->group))
			return true;
	}
	return false;
}

/* cheapest task on the server whose stop brings the need nearer, or NULL */
static struct work_task *cheapest(const struct plan_try *t, const struct fleet_resources *room,
				  const struct work_group *group, const GPtrArray *victims,
				  const GPtrArray *local, int64_t now)
{
	const struct fleet_resources *need = &group->step->need;
	struct work_task *best = NULL;
	int64_t best_price = 0;

	for (guint i = 0; i < t->server->tasks->len; i++) {
		struct work_task *c = g_ptr_array_index(t->server->tasks, i);
		const struct fleet_resources *has = &c->group->step->need;
		int64_t price;

		if (!may_stop(c, group) || is_chosen(victims, c) || gang_is_chosen(local, c))
			continue;
		if (room->accelerators < need->accelerators && !has->accelerators)
			continue;
		price = stop_cost(c, now) / MAX(fleet_millicore_equivalent(has), 1);
		if (!best || price < best_price) {
			best = c;
			best_price = price;
		}
	}
	return best;
}

/* what to stop on @t so that one more task of the group fits; cost, or -1 when it can't */
static int64_t clear_server(const struct plan_try *t, const struct work_group *group, int64_t now,
			    const GPtrArray *victims, GPtrArray *local)
{
	struct fleet_resources room = t->room;
	int64_t sum = 0;

	g_ptr_array_set_size(local, 0);
	while (!fleet_resources_fit(&group->step->need, &room)) {
		struct work_task *c = cheapest(t, &room, group, victims, local, now);

		if (!c)
			return -1;
		g_ptr_array_add(local, c);
		add_freed(&room, c);
		sum += stop_cost(c, now);
	}
	return sum;
}

/* clears the server where that costs least; the cost, or -1 when none can be cleared */
static int64_t clear_cheapest(struct plan_scratch *s, const struct work_group *group,
			      unsigned int rack, int64_t now, GPtrArray *victims,
			      struct plan_try **where)
{
	GPtrArray *local = g_ptr_array_new();
	struct plan_try *best = NULL;
	int64_t best_cost = -1;

	for (struct plan_try *t = plan_first(s, rack); t < plan_end(s, rack); t++) {
		int64_t cost;

		if (group->step->per_server_max && t->mates >= group->step->per_server_max)
			continue;
		cost = clear_server(t, group, now, victims, local);
		if (cost >= 0 && (!best || cost < best_cost)) {
			best = t;
			best_cost = cost;
		}
	}
	if (best) {
		clear_server(best, group, now, victims, local);
		for (guint i = 0; i < local->len; i++)
			choose(s, g_ptr_array_index(local, i), victims);
	}
	g_ptr_array_free(local, TRUE);
	*where = best;
	return best_cost;
}

static int64_t reclaim_in(struct plan_scratch *s, const struct work_group *group, unsigned int rack,
			  int64_t now, struct fleet_server **out, GPtrArray *victims)
{
	int64_t sum = 0;

	g_ptr_array_set_size(victims, 0);
	for (unsigned int i = 0; i < group->count; i++) {
		struct plan_try *t;
		int64_t cost;

		out[i] = NULL;
		if (group->task[i].state != TASK_WAITING)
			continue;
		t = plan_pick(s, group, &group->task[i], rack);
		if (!t) {
			cost = clear_cheapest(s, group, rack, now, victims, &t);
			if (cost < 0)
				return -1;
			sum += cost;
		}
		plan_take(t, group);
		out[i] = t->server;
	}
	return sum;
}

/* accelerators of the candidates, by rack */
static int64_t *rack_capacity(struct plan_scratch *s, const struct fleet *fleet)
{
	int64_t *sum = talloc_zero_array(s, int64_t, fleet->racks->len);

	for (unsigned int i = 0; i < s->count; i++)
		sum[s->tries[i].server->rack] += s->tries[i].server->capacity.accelerators;
	return sum;
}

bool plan_reclaim(struct plan_scratch *s, const struct fleet *fleet, const struct work_group *group,
		  const struct plan_clock *at, struct fleet_server **out, GPtrArray *victims)
{
	unsigned int best = PLAN_ANY_RACK;
	int64_t best_cost = -1;
	struct plan_try *before;
	int64_t *capacity;

	plan_collect(s, fleet, group, at->now, true);
	if (!group->step->same_rack || group->count < 2)
		return reclaim_in(s, group, PLAN_ANY_RACK, at->now, out, victims) >= 0;
	before = talloc_array(s, struct plan_try, s->count + 1);
	memcpy(before, s->tries, s->count * sizeof(*before));
	capacity = rack_capacity(s, fleet);
	for (unsigned int rack = 0; rack < fleet->racks->len; rack++) {
		int64_t cost = -1;

		/* a rack whose whole capacity is too small is not worth a trial */
		if (capacity[rack] >= group->step->need.accelerators * group->count &&
		    capacity[rack])
			cost = reclaim_in(s, group, rack, at->now, out, victims);
		if (cost >= 0 && (best == PLAN_ANY_RACK || cost < best_cost)) {
			best = rack;
			best_cost = cost;
		}
		memcpy(s->tries, before, s->count * sizeof(*before));
	}
	talloc_free(before);
	talloc_free(capacity);
	/* no rack can hold it: spread it, slower but in time to begin */
	return reclaim_in(s, group, best, at->now, out, victims) >= 0;
}
