/*
 * Reservation of servers for a waiting gang, with backfill.
 *
 * Load pattern: single tasks take each accelerator as soon as it is released, so whole
 * servers of one rack are never free at the same time and a large gang waits for a
 * minute. The first gang in the queue that does not fit gets a reservation of the
 * servers that are expected to be free first. Tasks that are expected to end before
 * then may still be backfilled there.
 */
#include "plan_scratch.h"

#include "speed/speed.h"

#include <stdlib.h>

#define RESERVE_AFTER_MS \
	1000 /* most gangs fit within this time, in capacity that other tasks release */
#define REMAINING_MIN_MS 200 /* for a task that has exceeded its estimate */
#define BACKFILL_FACTOR 1.5  /* margin: declared run times are off by half */

/*
 * The pace counts from the first report on: a task that resumed from a checkpoint or that
 * an earlier leader started had made progress before this leader saw it.
 */
int64_t plan_remaining_ms(const struct work_task *t, int64_t now)
{
	int64_t estimate = speed_expected_ms(t->group, t->server);
	int64_t observed_ms = t->progress_at - t->first_percent_at;
	int64_t remaining;

	if (!t->started_at || t->first_percent < 0)
		remaining = t->started_at ? estimate - (now - t->started_at) : estimate;
	else if (t->percent > t->first_percent && observed_ms > 0)
		remaining = observed_ms * (100 - t->percent) / (t->percent - t->first_percent) -
			    (now - t->progress_at);
	else
		remaining = estimate * (100 - t->percent) / 100 - (now - t->progress_at);
	return MAX(remaining, REMAINING_MIN_MS);
}

/**
 * struct slot - expected free capacity for one task of the gang
 * @server: server with the slot
 * @free_at: expected time at which the slot is free, monotonic, in ms
 */
struct slot {
	struct fleet_server *server;
	int64_t free_at;
};

/* resources that a server is expected to release, and when (monotonic, in ms) */
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

/* appends the slots that a server gains as its tasks end one after another */
static void add_slots(const struct plan_candidate *candidate, const struct work_group *group,
		      int64_t now, GArray *slots)
{
	const GPtrArray *tasks = candidate->server->tasks;
	struct release *releases = g_new(struct release, tasks->len + 1);
	const struct fleet_resources *need = &group->step->need;
	struct fleet_resources free_capacity = candidate->free_capacity;
	struct slot slot = {candidate->server, now};
	unsigned int siblings = candidate->siblings;
	guint count = 0;

	for (guint i = 0; i < tasks->len; i++) {
		const struct work_task *task = g_ptr_array_index(tasks, i);

		if (task->group->step->is_endless)
			continue; /* nothing tells when its job will be cancelled */
		releases[count].at = now + plan_remaining_ms(task, now);
		releases[count++].amount = &task->group->step->need;
	}
	qsort(releases, count, sizeof(*releases), compare_release);
	for (guint i = 0; i <= count; i++) {
		while (fleet_resources_fit(need, &free_capacity) &&
		       (!group->step->per_server_max || siblings < group->step->per_server_max)) {
			g_array_append_val(slots, slot);
			fleet_resources_add(&free_capacity, need, -1);
			siblings++;
		}
		if (i < count) {
			fleet_resources_add(&free_capacity, releases[i].amount, 1);
			slot.free_at = releases[i].at;
		}
	}
	g_free(releases);
}

/* the earliest slots of a rack, one for each task of the gang; false when it has too few */
static bool collect_slots(struct plan_scratch *s, const struct work_group *group, unsigned int rack,
			  int64_t now, GArray *slots)
{
	g_array_set_size(slots, 0);
	for (const struct plan_candidate *candidate = plan_first_candidate(s, rack);
	     candidate < plan_end_candidate(s, rack); candidate++)
		add_slots(candidate, group, now, slots);
	if (slots->len < group->count)
		return false;
	qsort(slots->data, slots->len, sizeof(struct slot), compare_slot);
	g_array_set_size(slots, group->count);
	return true;
}

static int64_t latest_free_at(const GArray *slots)
{
	return g_array_index(slots, struct slot, slots->len - 1).free_at;
}

static void reserve_slots(struct plan_scratch *s, const GArray *slots)
{
	int64_t until = latest_free_at(slots);

	for (guint i = 0; i < slots->len; i++)
		g_array_index(slots, struct slot, i).server->reserved_until = until;
	s->has_reservation = true;
}

bool plan_reserve(struct plan_scratch *s, const struct fleet *fleet, const struct work_group *group,
		  const struct plan_clock *at)
{
	GArray *slots = g_array_new(FALSE, FALSE, sizeof(struct slot));
	unsigned int best = PLAN_ANY_RACK;
	int64_t best_at = INT64_MAX;
	bool found = false;

	if (s->has_reservation || !group->step->is_gang ||
	    work_group_waiting_count(group) < group->count ||
	    at->now < group->ready_since + RESERVE_AFTER_MS)
		goto out;
	plan_collect_candidates(s, fleet, group, at->now, false);
	for (unsigned int rack = 0; group->step->same_rack && rack < fleet->racks->len; rack++) {
		if (!collect_slots(s, group, rack, at->now, slots) ||
		    latest_free_at(slots) >= best_at)
			continue;
		best = rack;
		best_at = latest_free_at(slots);
	}
	/* plan_place() would not use a reservation of several racks as long as it waits for one */
	if (best == PLAN_ANY_RACK && group->step->same_rack &&
	    plan_rack_could_fit(s, fleet, group, at->now))
		goto out;
	/* when no single rack can hold the gang, or it needn't be in one, use all racks */
	found = collect_slots(s, group, best, at->now, slots);
	if (found)
		reserve_slots(s, slots);
out:
	g_array_free(slots, TRUE);
	return found;
}

bool plan_may_use(const struct plan_scratch *s, const struct fleet_server *sv,
		  const struct work_group *group, int64_t now)
{
	int64_t ends = now + (int64_t)(BACKFILL_FACTOR * (double)group->step->estimate_ms);

	if (plan_is_urgent(group))
		return true;
	if (sv->is_headroom && !s->uses_headroom)
		return false;
	return !sv->reserved_until || s->uses_reserved || ends <= sv->reserved_until;
}
