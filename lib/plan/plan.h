/**
 * DOC: plan - the decisions: what comes next, where it runs, what stops for it
 *
 * Pure functions over work and fleet: state and time in, decisions out. They
 * change nothing but scratch fields of their own; the caller carries a decision
 * out through the functions of work.
 */
#ifndef PLAN_H
#define PLAN_H

#include "queues/queues.h"
#include "work/work.h"

/**
 * struct plan_clock - the time of a decision
 * @now: monotonic, in ms
 * @wall: wall clock, in ms since 1970
 */
struct plan_clock {
	int64_t now;
	int64_t wall;
};

/* ---- order ---- */

/**
 * struct plan_rank - place of a group in the queue; see plan_order.c
 * @tier: lower goes first
 * @key: within a tier, lower goes first
 */
struct plan_rank {
	int tier;
	int64_t key;
};

struct plan_rank plan_rank(const struct work_group *group, const struct plan_clock *at);
int plan_rank_compare(const struct plan_rank *a, const struct plan_rank *b);

/* ---- placement ---- */

struct plan_scratch;

/** plan_scratch_new() - working memory of placements, reused from one to the next */
struct plan_scratch *plan_scratch_new(TALLOC_CTX *ctx);

/** plan_start_round() - what did not fit before may fit now */
void plan_start_round(struct plan_scratch *s, const struct fleet *fleet, int64_t now);
/**
 * plan_place() - servers for the waiting tasks of a group
 * @out: one entry for each task of the group; NULL where there is no server
 * Return: number of tasks placed; for a gang all or none.
 */
unsigned int plan_place(struct plan_scratch *s, const struct fleet *fleet,
			const struct work_group *group, const struct plan_clock *at,
			struct fleet_server **out);
/**
 * struct plan_explanation - why a group was not placed, for the log
 * @candidates: servers that take new work and suit it
 * @with_room: those of them with room for one task
 * @free_accelerators: on all candidates together
 */
struct plan_explanation {
	unsigned int candidates;
	unsigned int with_room;
	int64_t free_accelerators;
};

void plan_explain(struct plan_scratch *s, const struct fleet *fleet, const struct work_group *group,
		  const struct plan_clock *at, struct plan_explanation *verdict);

/* ---- reservation ---- */

/**
 * plan_reserve() - keep servers for a gang that does not fit, for the rest of the round
 * Only one gang has servers kept in a round, and only after it has waited a while.
 * Return: true when servers are kept for @group.
 */
bool plan_reserve(struct plan_scratch *s, const struct fleet *fleet, const struct work_group *group,
		  const struct plan_clock *at);
/** plan_remaining_ms() - when a placed task is expected to end, in ms from @now */
int64_t plan_remaining_ms(const struct work_task *t, int64_t now);

/* ---- room kept for urgent work ---- */

/**
 * struct plan_demand - accelerators that urgent work asked for of late
 * @sum: what was asked for, the less the longer ago
 * @at: when @sum was worked out, ms
 */
struct plan_demand {
	double sum;
	int64_t at;
};

void plan_demand_record(struct plan_demand *d, int64_t accelerators, int64_t now);
/** plan_demand_forecast() - accelerators that urgent work will ask for within @ms */
int64_t plan_demand_forecast(const struct plan_demand *d, int64_t ms, int64_t now);
/** plan_set_headroom() - leave so many accelerators to urgent work for the rest of the round */
void plan_set_headroom(struct plan_scratch *s, const struct fleet *fleet, int64_t accelerators,
		       int64_t now);

/* ---- reclaim ---- */

/**
 * plan_preempt() - room for an urgent group that needs others to stop
 * @out: one entry for each task of the group
 * @victims: filled with struct work_task to stop; members of a victim's gang included
 * Return: true when all waiting tasks of the group have a server.
 */
bool plan_preempt(struct plan_scratch *s, const struct fleet *fleet, const struct work_group *group,
		  const struct plan_clock *at, struct fleet_server **out, GPtrArray *victims);

/* ---- progress ---- */

enum plan_progress {
	PROGRESS_NORMAL,
	PROGRESS_STALLED, /* stands still */
	PROGRESS_SLOW,	  /* so slow that a new start elsewhere ends sooner */
};

/** plan_progress() - judge a running task by what its server last reported */
enum plan_progress plan_progress(const struct work_task *t, const struct plan_clock *at);
/** plan_server_is_stalled() - nothing that runs there has got on for as long as makes a task
 * stalled */
bool plan_server_is_stalled(const struct fleet_server *sv, int64_t now);

#endif
