/**
 * DOC: plan_scratch - free capacity of the servers during a trial placement
 */
#ifndef PLAN_SCRATCH_H
#define PLAN_SCRATCH_H

#include "plan.h"

#define PLAN_ANY_RACK UINT_MAX /* also what fleet_find_rack() returns for an unknown name */

/* of a placement, for each accelerator that is left over; what else is left counts less */
#define PLAN_SCORE_PER_ACCELERATOR 1000000

/**
 * struct plan_candidate - a server in a trial placement
 * @server: the server
 * @free_capacity: free capacity left after the trial assignments made up to now
 * @siblings: tasks of the group on the server, trial assignments included; the running
 *            ones are counted only when the step limits the tasks per server
 * @interference: cost of a task of the group beside the tasks on the server, see
 *            interference_costs(), trial assignments excluded
 */
struct plan_candidate {
	struct fleet_server *server;
	struct fleet_resources free_capacity;
	unsigned int siblings;
	double interference;
};

/**
 * struct plan_unmet_need - a need that no server could meet in this round
 * @min_estimate_ms: when servers were reserved for a gang, the need stays unmet only for
 *                   tasks of at least this declared run time that are not urgent; else 0
 * @avoids_probation: servers on probation were not tried, so that the need stays unmet only
 *                    for groups that avoid them too
 * @service: service of the group
 * @label: label that the group requires, or NULL
 * @need: resources of one task
 *
 * A group with the same service and label that needs at least as much is skipped
 * until the round ends.
 */
struct plan_unmet_need {
	int64_t min_estimate_ms;
	bool avoids_probation;
	const char *service;
	const char *label;
	struct fleet_resources need;
};

#define PLAN_UNMET_NEEDS_MAX 16

/* needs that were not met in a round; needs beyond the maximum are tried each time */
struct plan_unmet_needs {
	struct plan_unmet_need need[PLAN_UNMET_NEEDS_MAX];
	unsigned int count;
};

#define PLAN_POOLS_MAX 16

/* whether less than half of a pool of backend servers is in use */
struct plan_pool {
	const char *service;
	bool is_mostly_free;
};

/* speeds of servers as they matter for a choice between them */
enum plan_speed {
	PLAN_FASTER = 1,
	PLAN_UNKNOWN = 2,
	PLAN_SLOWER = 4,
	PLAN_ALL_SPEEDS = PLAN_FASTER | PLAN_UNKNOWN | PLAN_SLOWER,
};

/**
 * struct plan_scratch - working memory
 * @candidates: candidates of the current group, sorted by rack
 * @count: entries of @candidates in use
 * @size: entries allocated for @candidates and @saved
 * @saved: copy of @candidates, to undo a trial
 * @rack_first: index of the first candidate of each rack, and past the end of the last rack
 * @rack_slots: for each rack, the number of tasks of the group that fit
 * @racks: racks for which memory is allocated
 * @ignores_probation: probation is not applied in this round, because so many servers
 *                     are on probation that the jobs must be at fault
 * @has_reservation: servers are reserved for a gang in this round
 * @uses_headroom: headroom is a candidate of the current group
 * @uses_reserved: reserved servers are candidates of the current group
 * @uses_suspect: servers that are suspect for a stall are candidates of the current group
 * @interference: workloads that slow each other down, or NULL
 * @cost: of the current group's workload beside others; @costs of them
 * @has_ample_room: less than half of what the candidates have is in use, and the group fits
 *                  twice; set only when @costs is not 0
 * @speeds_differ: servers of two speeds are known; otherwise speeds change no decision
 * @typical_is_slower: some servers are faster than the typical ones
 * @slower_speed: speed of the slower servers
 * @speeds: enum plan_speed of the servers that the current group may use, combined
 * @prefers_slower: the current group ends in time on slower servers too
 * @newest_arrival: when the newest first step of a job that was placed or tried became ready,
 *                  monotonic ms
 * @pool: pools whose use has been summed up in this round
 * @pool_count: entries of @pool in use
 * @refusal: outcome of the latest plan_place()
 * @unmet: needs that no server could meet in this round
 * @ample_unmet: needs for which there is no ample room in this round
 */
struct plan_scratch {
	struct plan_candidate *candidates;
	unsigned int count;
	unsigned int size;
	struct plan_candidate *saved;
	unsigned int *rack_first;
	unsigned int *rack_slots;
	unsigned int racks;
	bool ignores_probation;
	bool has_reservation;
	bool uses_headroom;
	bool uses_reserved;
	bool uses_suspect;
	const struct interference *interference;
	struct interference_cost cost[INTERFERENCE_COSTS_MAX];
	unsigned int costs;
	bool has_ample_room;
	bool speeds_differ;
	bool typical_is_slower;
	double slower_speed;
	unsigned int speeds;
	bool prefers_slower;
	int64_t newest_arrival;
	struct plan_pool pool[PLAN_POOLS_MAX];
	unsigned int pool_count;
	enum plan_refusal refusal;
	struct plan_unmet_needs unmet;
	struct plan_unmet_needs ample_unmet;
};

static inline bool plan_is_urgent(const struct work_group *group)
{
	return group->job->priority == QUEUES_URGENT_PRIORITY;
}

/** plan_start_speeds() - at the start of a round, find out whether servers differ in speed */
void plan_start_speeds(struct plan_scratch *s, const struct fleet *fleet);
/** plan_set_speed_preference() - set @speeds to all and @prefers_slower for a group */
void plan_set_speed_preference(struct plan_scratch *s, const struct work_group *group,
			       const struct plan_clock *at);
/** plan_speed_of() - speed of @sv compared with that of other servers */
enum plan_speed plan_speed_of(const struct plan_scratch *s, const struct fleet_server *sv);
/** plan_has_allowed_speed() - @speeds allows the current group to use @sv */
static inline bool plan_has_allowed_speed(const struct plan_scratch *s,
					  const struct fleet_server *sv)
{
	return s->speeds == PLAN_ALL_SPEEDS || (s->speeds & plan_speed_of(s, sv));
}
/** plan_speed_score() - part of the score of a server for the current group; lower is better */
int64_t plan_speed_score(const struct plan_scratch *s, const struct work_group *group,
			 const struct fleet_server *sv);
/** plan_gang_speeds() - values of @speeds to try for the current gang in order; the last is all */
const unsigned int *plan_gang_speeds(const struct plan_scratch *s);

/**
 * plan_collect_candidates() - fill @candidates with the servers that may run the group
 * @stopping_is_free: count the resources of stopping tasks as free capacity
 */
void plan_collect_candidates(struct plan_scratch *s, const struct fleet *fleet,
			     const struct work_group *group, int64_t now, bool stopping_is_free);
/** plan_first_candidate() - first candidate in @rack, or of all racks for PLAN_ANY_RACK */
static inline struct plan_candidate *plan_first_candidate(const struct plan_scratch *s,
							  unsigned int rack)
{
	return &s->candidates[rack == PLAN_ANY_RACK ? 0 : s->rack_first[rack]];
}

/** plan_end_candidate() - pointer past the last candidate in @rack */
static inline struct plan_candidate *plan_end_candidate(const struct plan_scratch *s,
							unsigned int rack)
{
	return &s->candidates[rack == PLAN_ANY_RACK ? s->count : s->rack_first[rack + 1]];
}

/**
 * plan_may_use() - headroom and reservations allow the group to use the server
 *
 * A reserved server may be backfilled by a task that is expected to end before
 * the reservation starts.
 */
bool plan_may_use(const struct plan_scratch *s, const struct fleet_server *sv,
		  const struct work_group *group, int64_t now);
/**
 * plan_rack_could_fit() - whether a rack that is usable in time could hold the group
 *
 * That is, once all tasks there have ended but endless ones.
 */
bool plan_rack_could_fit(struct plan_scratch *s, const struct fleet *fleet,
			 const struct work_group *group, int64_t now);
/** plan_best_candidate() - best candidate that one more task fits on, or NULL */
struct plan_candidate *plan_best_candidate(struct plan_scratch *s, const struct work_group *group,
					   const struct work_task *task, unsigned int rack);
/** plan_allocate() - take the resources of one task from the free capacity of @candidate */
void plan_allocate(struct plan_candidate *candidate, const struct work_group *group);
/** plan_assign_waiting() - assign the waiting tasks to candidates; returns the number assigned */
unsigned int plan_assign_waiting(struct plan_scratch *s, const struct work_group *group,
				 unsigned int rack, struct fleet_server **out);
/** plan_count_slots() - fill @rack_slots; returns the total number of tasks that fit */
unsigned int plan_count_slots(struct plan_scratch *s, const struct work_group *group);
/** plan_tightest_rack() - the rack with the fewest free accelerators where all waiting tasks fit */
unsigned int plan_tightest_rack(struct plan_scratch *s, const struct work_group *group);
/** plan_is_known_unmet() - an equal or smaller need is in @needs */
bool plan_is_known_unmet(const struct plan_unmet_needs *needs, const struct work_group *group);
/**
 * plan_record_unmet() - record that one task of the group found no server
 * @min_estimate_ms: see struct plan_unmet_need
 */
void plan_record_unmet(struct plan_unmet_needs *needs, const struct work_group *group,
		       int64_t min_estimate_ms);
/**
 * plan_place_in_ample_room() - select servers regardless of racks and of what is set aside
 *
 * Applies to a group that has waited for some time while less than half of its pool is in
 * use and it fits twice.
 * Return: number of tasks placed.
 */
unsigned int plan_place_in_ample_room(struct plan_scratch *s, const struct fleet *fleet,
				      const struct work_group *group, const struct plan_clock *at,
				      struct fleet_server **out);
/** plan_note_interference() - set @cost, @interference of the candidates and @has_ample_room */
void plan_note_interference(struct plan_scratch *s, const struct work_group *group, int64_t now);
/** plan_interference_score() - what interference adds to the score of a candidate, at least 0 */
int64_t plan_interference_score(const struct plan_scratch *s,
				const struct plan_candidate *candidate,
				const struct work_group *group);
void plan_save_candidates(struct plan_scratch *s);
void plan_restore_candidates(struct plan_scratch *s);

#endif
