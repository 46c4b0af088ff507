/**
 * DOC: plan_scratch - room of the servers while a placement is tried
 */
#ifndef PLAN_SCRATCH_H
#define PLAN_SCRATCH_H

#include "plan.h"

/**
 * struct plan_try - a server within one trial
 * @room: what is left on it, by the trial so far
 * @mates: tasks of the same step that are or would be there
 * @rack: index of its rack
 */
struct plan_try {
	struct fleet_server *server;
	struct fleet_amount room;
	unsigned int mates;
	unsigned int rack;
};

/**
 * struct plan_scratch - working memory
 * @tries: candidates of the present group
 * @racks: number of racks among them
 * @rack_name: name of each rack
 * @saved: copy of @tries to go back to
 */
struct plan_scratch {
	struct plan_try *tries;
	unsigned int count;
	unsigned int size;
	unsigned int racks;
	unsigned int rack_size;
	const char **rack_name;
	struct plan_try *saved;
};

#define PLAN_ANY_RACK UINT_MAX

/** plan_collect() - candidates for the group; @stopping_is_free counts what is being stopped */
void plan_collect(struct plan_scratch *s, const struct fleet *fleet, const struct work_group *group,
		  int64_t now, bool stopping_is_free);
/** plan_pick() - best candidate with room for one more task, or NULL */
struct plan_try *plan_pick(struct plan_scratch *s, const struct work_group *group,
			   const struct work_task *task, unsigned int rack);
/** plan_take() - use the room of @t for one task */
void plan_take(struct plan_try *t, const struct work_group *group);
/** plan_fill() - place all waiting tasks; number placed */
unsigned int plan_fill(struct plan_scratch *s, const struct work_group *group, unsigned int rack,
		       struct fleet_server **out);
/** plan_rack_of() - index of a rack by name, PLAN_ANY_RACK when no candidate is there */
unsigned int plan_rack_of(const struct plan_scratch *s, const char *name);
void plan_save(struct plan_scratch *s);
void plan_restore(struct plan_scratch *s);

#endif
