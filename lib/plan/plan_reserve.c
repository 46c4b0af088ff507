/*
 * Servers kept free for a gang that waits.
 *
 * Load pattern: single tasks take each accelerator that comes free, so that
 * whole servers of one rack are never free together and a large gang waits for
 * a minute. The first gang in the queue that does not fit has the servers kept
 * that will be free soonest; what surely ends before then may still use them.
 */
#include "plan_scratch.h"

#include <stdlib.h>

#define RESERVE_AFTER_MS 1000 /* most gangs find room in it, at what others leave */
#define REST_MIN_MS 200	      /* of a task that should have ended, by its estimate */
#define BACKFILL_FACTOR 1.5   /* declared run times are off by half */

int64_t plan_rest_ms(const struct work_task *t, int64_t now)
{
	int64_t estimate = t->group->step->estimate_ms;
	int64_t ran = t->progress_at - t->started_at;
	int64_t rest;

	if (t->started_at && t->percent > 0 && ran > 0)
		rest = ran * (100 - t->percent) / t->percent - (now - t->progress_at);
	else
		rest = t->started_at ? estimate - (now - t->started_at) : estimate;
	return MAX(rest, REST_MIN_MS);
}

/**
 * struct slot - room for one task of the gang
 * @server: candidate that will have it
 * @free_at: when, ms
 */
struct slot {
	struct fleet_server *server;
	int64_t free_at;
};

/* what comes free on a server, and when */
struct release {
	int64_t at;
	const struct fleet_resources *amount;
};

static int compare_release(const void *a, const void *b)
{
	const struct release *x = a;
	const struct release *y = b;

	return x->at < y->at ? -1 : x->at > y->at;
}

static int compare_slot(const void *a, const void *b)
{
	const struct slot *x = a;
	const struct slot *y = b;

	return x->free_at < y->free_at ? -1 : x->free_at > y->free_at;
}

/* appends the slots that a server will have, as its tasks end one after another */
static void add_slots(const struct plan_try *t, const struct work_group *group, int64_t now,
		      GArray *slots)
{
	const GPtrArray *tasks = t->server->tasks;
	struct release *releases = g_new(struct release, tasks->len + 1);
	const struct fleet_resources *need = &group->step->need;
	struct fleet_resources room = t->room;
	struct slot slot = {t->server, now};
	unsigned int mates = t->mates;

	for (guint i = 0; i < tasks->len; i++) {
		const struct work_task *task = g_ptr_array_index(tasks, i);

		releases[i].at = now + plan_rest_ms(task, now);
		releases[i].amount = &task->group->step->need;
	}
	qsort(releases, tasks->len, sizeof(*releases), compare_release);
	for (guint i = 0; i <= tasks->len; i++) {
		while (fleet_resources_fit(need, &room) &&
		       (!group->step->per_server_max || mates < group->step->per_server_max)) {
			g_array_append_val(slots, slot);
			fleet_resources_add(&room, need, -1);
			mates++;
		}
		if (i < tasks->len) {
			fleet_resources_add(&room, releases[i].amount, 1);
			slot.free_at = releases[i].at;
		}
	}
	g_free(releases);
}

/* the soonest slots of a rack, one for each task of the gang; false when it has too few */
static bool collect_slots(struct plan_scratch *s, const struct work_group *group, unsigned int rack,
			  int64_t now, GArray *slots)
{
	g_array_set_size(slots, 0);
	for (const struct plan_try *t = plan_first(s, rack); t < plan_end(s, rack); t++)
		add_slots(t, group, now, slots);
	if (slots->len < group->count)
		return false;
	qsort(slots->data, slots->len, sizeof(struct slot), compare_slot);
	g_array_set_size(slots, group->count);
	return true;
}

static int64_t last_free_at(const GArray *slots)
{
	return g_array_index(slots, struct slot, slots->len - 1).free_at;
}

static void keep(struct plan_scratch *s, const GArray *slots)
{
	int64_t until = last_free_at(slots);

	for (guint i = 0; i < slots->len; i++)
		g_array_index(slots, struct slot, i).server->reserved_until = until;
	s->has_reserved = true;
}

bool plan_reserve(struct plan_scratch *s, const struct fleet *fleet, const struct work_group *group,
		  const struct plan_clock *at)
{
	GArray *slots = g_array_new(FALSE, FALSE, sizeof(struct slot));
	unsigned int best = PLAN_ANY_RACK;
	int64_t best_at = INT64_MAX;
	bool found = false;

	if (s->has_reserved || !group->step->is_gang ||
	    work_group_waiting_count(group) < group->count ||
	    at->now < group->ready_since + RESERVE_AFTER_MS)
		goto out;
	plan_collect(s, fleet, group, at->now, false);
	for (unsigned int rack = 0; group->step->same_rack && rack < fleet->racks->len; rack++) {
		if (!collect_slots(s, group, rack, at->now, slots) ||
		    last_free_at(slots) >= best_at)
			continue;
		best = rack;
		best_at = last_free_at(slots);
	}
	/* no rack can hold it, or it needs none: servers of all racks */
	found = collect_slots(s, group, best, at->now, slots);
	if (found)
		keep(s, slots);
out:
	g_array_free(slots, TRUE);
	return found;
}

bool plan_may_use(const struct fleet_server *sv, const struct work_group *group, int64_t now)
{
	int64_t ends = now + (int64_t)(BACKFILL_FACTOR * (double)group->step->estimate_ms);

	if (plan_is_urgent(group))
		return true;
	return !sv->is_kept && (!sv->reserved_until || ends <= sv->reserved_until);
}
