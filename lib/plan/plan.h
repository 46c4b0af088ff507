/**
 * DOC: plan - scheduling decisions: queue order, placement and preemption
 *
 * The functions take the state of work and fleet and the time, and return
 * decisions. They change only their scratch memory and the fields of struct
 * fleet_server that belong to plan; the caller applies a decision through the
 * functions of work.
 */
#ifndef PLAN_H
#define PLAN_H

#include "interference/interference.h"
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

/* ---- queue order ---- */

/**
 * struct plan_rank - position of a group in the queue; see plan_order.c
 * @tier: lower goes first
 * @key: orders groups of one tier, lower first; wall clock in ms
 */
struct plan_rank {
	int tier;
	int64_t key;
};

/** plan_rank() - rank of a group by its priority, its deadline and its remaining run time */
struct plan_rank plan_rank(const struct work_group *group, const struct plan_clock *at);
/** plan_rank_compare() - negative when @a goes before @b, 0 when they are equal */
int plan_rank_compare(const struct plan_rank *a, const struct plan_rank *b);

/* ---- placement ---- */

struct plan_scratch;

/** plan_scratch_new() - allocate working memory, which all decisions reuse */
struct plan_scratch *plan_scratch_new(TALLOC_CTX *ctx);

/** plan_use_interference() - keep workloads apart that @in knows to slow each other; may be NULL */
void plan_use_interference(struct plan_scratch *s, const struct interference *in);

/**
 * plan_start_round() - discard the unmet needs and reservations of the previous round
 * @now: monotonic, in ms
 */
void plan_start_round(struct plan_scratch *s, const struct fleet *fleet, int64_t now);
/**
 * plan_start_trial() - prepare new working memory to try a placement between two rounds
 *
 * Reservations and headroom of the latest round stay in force.
 */
void plan_start_trial(struct plan_scratch *s, const struct fleet *fleet, int64_t now);
/**
 * plan_place() - select servers for the waiting tasks of a group
 * @out: filled with one entry for each task of the group; NULL where no server was found
 * Return: number of tasks placed; for a gang all or none.
 */
unsigned int plan_place(struct plan_scratch *s, const struct fleet *fleet,
			const struct work_group *group, const struct plan_clock *at,
			struct fleet_server **out);
#define PLAN_REFUSALS(X)                                                               \
	X(PLAN_PLACED, "")                                                             \
	X(PLAN_UNMET_BEFORE, "an equal or smaller need was not met in this round")     \
	X(PLAN_NO_SLOT, "no server has room for a task")                               \
	X(PLAN_GANG_TOO_LARGE, "the servers have no room for all members of the gang") \
	X(PLAN_AWAITS_RACK, "no rack has room for all tasks")                          \
	X(PLAN_AWAITS_DATA_RACK, "the data rack has no room")                          \
	X(PLAN_DATA_RACK_EVACUATED, "the data rack is evacuated, and no other has room")

/**
 * enum plan_refusal - the rule by which plan_place() placed no task
 *
 * PLAN_DATA_RACK_EVACUATED is only in explanations, in the place of another one.
 */
enum plan_refusal {
#define X(id, text) id,
	PLAN_REFUSALS(X)
#undef X
};

/** plan_refusal_text() - text as listed in PLAN_REFUSALS */
const char *plan_refusal_text(enum plan_refusal refusal);

/**
 * struct plan_explanation - why a group was not placed, for the log
 * @refusal: outcome of the latest plan_place(), or PLAN_DATA_RACK_EVACUATED
 * @servers: servers of the group's service, by admission
 * @candidates: servers that accept new work and that the group may use
 * @with_capacity: candidates with enough free capacity for one task
 * @free_accelerators: free accelerators of all candidates together
 * @on_probation: accepting servers that the group avoids because a task failed there
 * @mislabelled: accepting servers without the required label
 * @set_aside: accepting servers that are headroom or reserved for other work
 */
struct plan_explanation {
	enum plan_refusal refusal;
	unsigned int servers[FLEET_ADMISSION_COUNT];
	unsigned int candidates;
	unsigned int with_capacity;
	int64_t free_accelerators;
	unsigned int on_probation;
	unsigned int mislabelled;
	unsigned int set_aside;
};

/** plan_explain() - explain why the group of the latest plan_place() was not placed */
void plan_explain(struct plan_scratch *s, const struct fleet *fleet, const struct work_group *group,
		  const struct plan_clock *at, struct plan_explanation *explanation);

/* ---- reservation ---- */

/**
 * plan_reserve() - reserve servers for a gang that does not fit, until the round ends
 *
 * Only one gang gets a reservation in a round, and only after a minimum wait.
 * Return: true when servers are reserved for @group.
 */
bool plan_reserve(struct plan_scratch *s, const struct fleet *fleet, const struct work_group *group,
		  const struct plan_clock *at);
/** plan_remaining_ms() - estimated remaining run time of a placed task, in ms from @now */
int64_t plan_remaining_ms(const struct work_task *t, int64_t now);

/* ---- headroom for urgent work ---- */

/**
 * struct plan_demand - recent demand of urgent work for accelerators
 * @decayed_sum: accelerators requested, with exponential decay by the age of the request
 * @updated_at: time to which @decayed_sum has been decayed, monotonic, in ms
 */
struct plan_demand {
	double decayed_sum;
	int64_t updated_at;
};

/** plan_demand_record() - add the accelerators of new urgent work; @now is in ms */
void plan_demand_record(struct plan_demand *d, int64_t accelerators, int64_t now);
/** plan_demand_forecast() - accelerators that urgent work is expected to request within @ms */
int64_t plan_demand_forecast(const struct plan_demand *d, int64_t ms, int64_t now);
/** plan_set_headroom() - set @accelerators aside for urgent work, until the round ends */
void plan_set_headroom(struct plan_scratch *s, const struct fleet *fleet, int64_t accelerators,
		       int64_t now);

/* ---- preemption ---- */

/**
 * plan_preempt() - select servers and victims for an urgent group that does not fit
 * @out: filled with one entry for each task of the group; NULL unless the task waits
 * @victims: filled with each struct work_task to stop, including the gang of a victim
 * Return: true when all waiting tasks of the group have a server.
 */
bool plan_preempt(struct plan_scratch *s, const struct fleet *fleet, const struct work_group *group,
		  const struct plan_clock *at, struct fleet_server **out, GPtrArray *victims);

/* ---- progress ---- */

enum plan_progress {
	PROGRESS_NORMAL,
	PROGRESS_STALLED, /* no progress for too long */
	PROGRESS_SLOW,	  /* tasks of its group were several times as fast on other servers */
	PROGRESS_OVERDUE, /* far behind the declared run time, with no other pace to compare */
};

/** plan_pace() - pace of a running task in percent per second, 0 when not known yet */
double plan_pace(const struct work_task *t);
/** plan_typical_pace() - the same, as if the server had the speed of a typical one */
double plan_typical_pace(const struct work_task *t);
/** plan_progress() - rate a running task by the progress that its server last reported */
enum plan_progress plan_progress(const struct work_task *t, const struct plan_clock *at);
/** plan_server_is_stalled() - no task there has made progress for the minimum stall time */
bool plan_server_is_stalled(const struct fleet_server *sv, int64_t now);

#endif
