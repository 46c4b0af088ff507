/*
 * Room kept free for urgent work that is about to come.
 *
 * Load pattern: urgent jobs arrive all the time on a pool that is full of other
 * work. Each would have to stop some and wait for the stop, most of a second of
 * the little time that it has, and what is stopped has run for nothing. So as
 * many accelerators as urgent work asks for in the time of a stop are left free,
 * where most are free already; the room that ended urgent work leaves is the
 * next one's. When no urgent work comes, nothing is kept.
 */
#include "plan_scratch.h"

#include <math.h>

#define DEMAND_MEMORY_MS 3000.0 /* a burst is known after a second or two */
#define KEEP_SHARE_MAX 0.15	/* of all accelerators */

static double decayed(const struct plan_demand *d, int64_t now)
{
	return d->sum * exp(-(double)(now - d->at) / DEMAND_MEMORY_MS);
}

void plan_demand_note(struct plan_demand *d, int64_t accelerators, int64_t now)
{
	d->sum = decayed(d, now) + (double)accelerators;
	d->at = now;
}

int64_t plan_demand_within(const struct plan_demand *d, int64_t ms, int64_t now)
{
	return (int64_t)(decayed(d, now) * (double)ms / DEMAND_MEMORY_MS);
}

static int64_t free_accelerators(const struct fleet_server *sv, int64_t now)
{
	return fleet_accepts_work(sv, now) ? MAX(fleet_free_capacity(sv).accelerators, 0) : 0;
}

/* what is free in each rack; a rack that is kept already goes on being kept */
static int64_t *rack_scores(struct plan_scratch *s, const struct fleet *fleet, int64_t now)
{
	int64_t *score = talloc_zero_array(s, int64_t, fleet->racks->len);

	for (guint i = 0; i < fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(fleet->all, i);

		score[sv->rack] += free_accelerators(sv, now);
		if (sv->is_kept)
			score[sv->rack] += sv->capacity.accelerators;
	}
	return score;
}

static int64_t keep_rack(const struct fleet *fleet, unsigned int rack, int64_t wanted, int64_t now)
{
	int64_t kept = 0;

	for (guint i = 0; i < fleet->all->len && kept < wanted; i++) {
		struct fleet_server *sv = g_ptr_array_index(fleet->all, i);
		int64_t n = sv->rack == rack ? free_accelerators(sv, now) : 0;

		sv->is_kept = sv->is_kept || n > 0;
		kept += n;
	}
	return kept;
}

void plan_keep(struct plan_scratch *s, const struct fleet *fleet, int64_t accelerators, int64_t now)
{
	int64_t *score = rack_scores(s, fleet, now);
	int64_t capacity = 0;

	for (guint i = 0; i < fleet->all->len; i++) {
		struct fleet_server *sv = g_ptr_array_index(fleet->all, i);

		sv->is_kept = false;
		if (fleet_accepts_work(sv, now))
			capacity += sv->capacity.accelerators;
	}
	accelerators = MIN(accelerators, (int64_t)(KEEP_SHARE_MAX * (double)capacity));
	while (accelerators > 0) {
		unsigned int best = 0;

		for (guint rack = 1; rack < fleet->racks->len; rack++)
			if (score[rack] > score[best])
				best = rack;
		if (score[best] <= 0)
			break;
		accelerators -= keep_rack(fleet, best, accelerators, now);
		score[best] = 0;
	}
	talloc_free(score);
}
