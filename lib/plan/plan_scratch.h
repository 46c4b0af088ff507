/**
 * DOC: plan_scratch - room of the servers while a placement is tried
 */
#ifndef PLAN_SCRATCH_H
#define PLAN_SCRATCH_H

#include "plan.h"

#define PLAN_ANY_RACK UINT_MAX /* fleet_find_rack() says the same of a name that is no rack */

/**
 * struct plan_try - a server within one trial
 * @room: what is left on it, by the trial so far
 * @mates: tasks of the same step that are or would be there
 */
struct plan_try {
	struct fleet_server *server;
	struct fleet_resources room;
	unsigned int mates;
};

/**
 * struct plan_refusal - a need for which no server had room; nothing larger fits in the round
 * @longer_than_ms: servers were kept for a gang, so shorter or urgent work may still fit; or 0
 */
struct plan_refusal {
	int64_t longer_than_ms;
	const char *service;
	const char *label;
	struct fleet_resources need;
};

#define PLAN_REFUSALS_MAX 16

/**
 * struct plan_scratch - working memory
 * @tries: candidates of the present group, those of a rack together
 * @rack_first: index of the first candidate of each rack, and past the last of the last
 * @saved: copy of @tries to go back to
 * @rack_places: for each rack, tasks of the group that it has room for
 * @ignores_doubt: so many servers are doubted that it says nothing of them
 * @has_reserved: servers are kept for a gang in this round
 * @refusals: needs for which there was no room in this round
 */
struct plan_scratch {
	struct plan_try *tries;
	unsigned int count;
	unsigned int size;
	struct plan_try *saved;
	unsigned int *rack_first;
	unsigned int *rack_places;
	unsigned int racks;
	bool ignores_doubt;
	bool has_reserved;
	struct plan_refusal refusals[PLAN_REFUSALS_MAX];
	unsigned int refusal_count;
};

static inline bool plan_is_urgent(const struct work_group *group)
{
	return group->job->priority == QUEUES_URGENT_PRIORITY;
}

/** plan_collect() - candidates for the group; @stopping_is_free counts what is being stopped */
void plan_collect(struct plan_scratch *s, const struct fleet *fleet, const struct work_group *group,
		  int64_t now, bool stopping_is_free);
/** plan_first() - first candidate in @rack, or of all; plan_end() is past the last */
static inline struct plan_try *plan_first(const struct plan_scratch *s, unsigned int rack)
{
	return &s->tries[rack == PLAN_ANY_RACK ? 0 : s->rack_first[rack]];
}

static inline struct plan_try *plan_end(const struct plan_scratch *s, unsigned int rack)
{
	return &s->tries[rack == PLAN_ANY_RACK ? s->count : s->rack_first[rack + 1]];
}

/** plan_may_use() - the server is not kept for others, or only until the task has surely ended */
bool plan_may_use(const struct fleet_server *sv, const struct work_group *group, int64_t now);
/** plan_pick() - best candidate with room for one more task, or NULL */
struct plan_try *plan_pick(struct plan_scratch *s, const struct work_group *group,
			   const struct work_task *task, unsigned int rack);
/** plan_take() - use the room of @t for one task */
void plan_take(struct plan_try *t, const struct work_group *group);
/** plan_fill() - place all waiting tasks; number placed */
unsigned int plan_fill(struct plan_scratch *s, const struct work_group *group, unsigned int rack,
		       struct fleet_server **out);
/** plan_count_places() - fill @rack_places; tasks that all racks together have room for */
unsigned int plan_count_places(struct plan_scratch *s, const struct work_group *group);
void plan_save(struct plan_scratch *s);
void plan_restore(struct plan_scratch *s);

#endif
