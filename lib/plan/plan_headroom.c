/*
 * Headroom: free capacity that is set aside for urgent work.
 *
 * Load pattern: urgent jobs arrive continuously at a pool that is full of other
 * work. Without headroom each of them preempts tasks and waits for their stop,
 * which takes most of a second of its short time limit, and the work of the
 * victims is lost. The headroom is the number of accelerators that urgent work is
 * expected to request during one stop. It is placed in the racks with the most
 * free accelerators. Capacity released by an urgent job serves the next one.
 * Without recent urgent demand the headroom is empty.
 */
#include "plan_scratch.h"

#include <math.h>

#define DEMAND_DECAY_MS 3000.0	/* short enough to follow a burst within 1 to 2 s */
#define HEADROOM_SHARE_MAX 0.15 /* of the accelerators of all servers that accept work */

static double decayed(const struct plan_demand *d, int64_t now)
{
	return d->decayed_sum * exp(-(double)(now - d->updated_at) / DEMAND_DECAY_MS);
}

void plan_demand_record(struct plan_demand *d, int64_t accelerators, int64_t now)
{
	d->decayed_sum = decayed(d, now) + (double)accelerators;
	d->updated_at = now;
}

int64_t plan_demand_forecast(const struct plan_demand *d, int64_t ms, int64_t now)
{
	return (int64_t)(decayed(d, now) * (double)ms / DEMAND_DECAY_MS);
}

static int64_t free_accelerators(const struct fleet_server *sv, int64_t now)
{
	return fleet_accepts_work(sv, now) ? MAX(fleet_free_capacity(sv).accelerators, 0) : 0;
}

/*
 * Free accelerators of each rack. A server that was headroom before adds its capacity,
 * so that the headroom stays in the same racks from round to round.
 */
static int64_t *rack_headroom_scores(struct plan_scratch *s, const struct fleet *fleet, int64_t now)
{
	int64_t *score = talloc_zero_array(s, int64_t, fleet->racks->len);

	for (guint i = 0; i < fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(fleet->all, i);

		score[sv->rack] += free_accelerators(sv, now);
		if (sv->is_headroom)
			score[sv->rack] += sv->capacity.accelerators;
	}
	return score;
}

static int64_t set_rack_headroom(const struct fleet *fleet, unsigned int rack, int64_t wanted,
				 int64_t now)
{
	int64_t set_aside = 0;

	for (guint i = 0; i < fleet->all->len && set_aside < wanted; i++) {
		struct fleet_server *sv = g_ptr_array_index(fleet->all, i);
		int64_t n = sv->rack == rack ? free_accelerators(sv, now) : 0;

		sv->is_headroom = sv->is_headroom || n > 0;
		set_aside += n;
	}
	return set_aside;
}

void plan_set_headroom(struct plan_scratch *s, const struct fleet *fleet, int64_t accelerators,
		       int64_t now)
{
	int64_t *score = rack_headroom_scores(s, fleet, now);
	int64_t capacity = 0;

	for (guint i = 0; i < fleet->all->len; i++) {
		struct fleet_server *sv = g_ptr_array_index(fleet->all, i);

		sv->is_headroom = false;
		if (fleet_accepts_work(sv, now))
			capacity += sv->capacity.accelerators;
	}
	accelerators = MIN(accelerators, (int64_t)(HEADROOM_SHARE_MAX * (double)capacity));
	while (accelerators > 0) {
		unsigned int best = 0;

		for (guint rack = 1; rack < fleet->racks->len; rack++)
			if (score[rack] > score[best])
				best = rack;
		if (score[best] <= 0)
			break;
		accelerators -= set_rack_headroom(fleet, best, accelerators, now);
		score[best] = 0;
	}
	talloc_free(score);
}
