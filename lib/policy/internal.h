/**
 * DOC: policy internals - types and functions that the files of this library share
 *
 * fleet.c accounts for the accelerators in use per server, cells.c binds
 * guarantees to servers, place.c searches for placements and selects victims,
 * policy.c holds the queue and issues decisions.
 */
#ifndef POLICY_INTERNAL_H
#define POLICY_INTERNAL_H

#include "policy.h"

#define NO_RACK (-1)
#define QUEUE_SCAN_MAX 512 /* queued jobs evaluated in one pass */
#define BATCH_OFFSET_MS \
	600000LL /* a batch job that has waited this long ranks equal to a new normal one */
#define URGENT_OFFSET_MS 1000000000LL /* ranks urgent jobs before all others */
#define RUN_PENALTY_MAX_MS 3600000LL  /* bounds how far a short job can overtake a long one */
#define SIZE_BONUS_MAX_MS 1800000LL   /* bounds how far a large job can overtake a small one */
#define SIZE_BONUS_MS 10000LL	      /* per accelerator of the job */
#define RATIO_EWMA_WEIGHT 0.2	      /* weight of the newest run in the moving averages */
#define RATIO_MIN 0.05		      /* bounds of actual to declared run time */
#define RATIO_MAX 20.0
#define SLOT_INDEXES 2
/*
 * Each 20 % of weight below 100 add one reserve_after_ms to the wait after which
 * a job may preempt work queued later: weight 0 waits six times as long as
 * weight 100.
 */
#define PREEMPT_WAIT_STEP_PERCENT 20
#define RESERVED_RACK_PENALTY \
	1000000 /* score; a rack reserved for another job is the last choice */

/*
 * A slot of size n is free capacity of one server for one task of n accelerators.
 * Two indexes hold the number of slots of each size in each rack: one for all free
 * accelerators, one for those that non-preemptible work may use without a guarantee.
 */
enum slot_index { SLOTS_FREE, SLOTS_UNCOMMITTED };

/**
 * struct allocation - accelerators of one workspace on one server
 * @ws: index in policy.workspaces
 * @guaranteed: accelerators of the workspace's cells that are bound here
 * @non_preemptible: in use by work that cannot be checkpointed
 * @preemptible: in use by work that can
 */
struct allocation {
	unsigned int ws;
	int64_t guaranteed;
	int64_t non_preemptible;
	int64_t preemptible;
};

/**
 * struct server - one server and the accelerators in use on it
 * @id: id as passed to policy_server_set()
 * @rack: index in policy.racks
 * @capacity: accelerators that the server has
 * @usable: takes new work
 * @is_expected: part of the fleet, though possibly unavailable for now
 * @used: accelerators allocated to jobs; exceeds @capacity while the victims of
 *        a preemption are stopping
 * @allocations: one entry per workspace with accelerators here, in use or guaranteed
 * @allocation_count: number of entries in @allocations
 * @jobs: jobs placed here, one entry per place
 * @indexed_capacity: accelerators as last entered in policy.slots, per index
 */
struct server {
	char *id;
	int rack;
	int64_t capacity;
	bool usable;
	bool is_expected;
	int64_t used;
	struct allocation *allocations;
	unsigned int allocation_count;
	GPtrArray *jobs;
	int64_t indexed_capacity[SLOT_INDEXES];
};

/**
 * struct rack - servers of one rack
 * @id: id as passed to policy_server_set()
 * @servers: indexes in policy.servers, of int
 * @busy_until: latest expected end of the jobs placed here in ms; 0 while idle
 * @used: accelerators allocated to jobs
 */
struct rack {
	char *id;
	GArray *servers;
	int64_t busy_until;
	int64_t used;
};

/**
 * struct cell - one cell of a workspace's guarantee
 * @ws: index in policy.workspaces
 * @accelerators: size of the cell
 * @in_server: the cell lies in one server, otherwise in one rack
 * @bound: @servers hold the cell
 * @is_listed: part of the guarantees being set; cells left unlisted are removed
 * @bound_accelerators: accelerators of the cell on each entry of @servers
 * @servers: indexes in policy.servers
 * @server_count: number of entries in @servers
 */
struct cell {
	unsigned int ws;
	int64_t accelerators;
	bool in_server;
	bool bound;
	bool is_listed;
	int64_t *bound_accelerators;
	int *servers;
	unsigned int server_count;
};

/**
 * struct workspace - quota and use of one workspace
 * @name: unique name
 * @quota: maximum of accelerators in use at once, 0 for no limit
 * @precedence: cells of a lower value are bound first
 * @used: accelerators allocated to its jobs
 * @guaranteed: accelerators of its bound cells
 * @cell_servers: indexes of the servers that hold its cells, of int
 */
struct workspace {
	char *name;
	int64_t quota;
	int64_t precedence;
	int64_t used;
	int64_t guaranteed;
	GArray *cell_servers;
};

/**
 * struct kind - run times and use of the jobs of one kind
 * @name: unique name
 * @used: accelerators allocated to its jobs
 * @ratio: moving average of actual to declared run time
 * @deviation: moving average of the distance of a run's ratio from @ratio
 */
struct kind {
	char *name;
	int64_t used;
	double ratio;
	double deviation;
};

/**
 * struct policy_job - a queued or placed job
 * @spec: the job as declared; its workspace is in @ws instead
 * @ws: index in policy.workspaces
 * @kind: kind of the job
 * @state: state of the job
 * @wait: why the job is not running
 * @queued_at: time in ms when the job was added; kept when it is requeued
 * @rank: order in the queue, lowest first, in ms
 * @expected_end: time in ms by which the placed job is expected to end
 * @places: tasks per server, @place_count entries
 * @place_servers: index in policy.servers of each entry of @places
 * @place_count: number of places, 0 while queued
 * @queue_pos: position in policy.queue, NULL while placed
 * @is_new: not evaluated yet since it was queued
 * @is_backfill: started in racks reserved for another job, which may preempt it
 * @stage: enum stage at which a job that awaits preemption was placed
 * @user: the pointer passed to policy_job_add()
 */
struct policy_job {
	struct policy_spec spec;
	unsigned int ws;
	struct kind *kind;
	enum policy_job_state state;
	enum policy_wait wait;
	int64_t queued_at;
	int64_t rank;
	int64_t expected_end;
	struct policy_place *places;
	int *place_servers;
	unsigned int place_count;
	GSequenceIter *queue_pos;
	bool is_new;
	bool is_backfill;
	int stage;
	void *user;
};

/**
 * struct policy - state of the policy of one failure domain
 * @opt: settings
 * @servers: all servers ever seen, of struct server; never shrinks
 * @server_ids: server id to index in @servers plus 1
 * @racks: all racks ever seen, of struct rack
 * @rack_ids: rack id to index in @racks plus 1
 * @workspaces: all workspaces ever seen, of struct workspace
 * @cells: cells of all guarantees
 * @kinds: kind name to struct kind
 * @queue: queued jobs by rank
 * @awaiting_preemption: jobs placed on servers whose victims are still stopping
 * @slots: slots per index, task size and rack
 * @extra_slots: per rack: slots that the search under way has beyond @slots;
 *               0 outside a search
 * @reserved_rack: per rack: 1 when the rack is reserved for @reserved_for
 * @reserved_for: job that holds the reservation, NULL when there is none
 * @reservation_start: time in ms at which the reserved racks are expected to be idle
 * @decisions: decisions that the caller has not taken yet
 * @usable_total: accelerators of usable servers
 * @expected_total: accelerators of all servers of the fleet, unavailable ones included
 * @placed: number of jobs that hold accelerators
 * @now: time in ms of the latest policy_next_decision()
 * @non_preemptible_used: accelerators in use by jobs for which
 *                        pol_is_non_preemptible() holds
 * @capacity_changed: capacity was released, added or lost since the last pass
 * @has_new_jobs: a job was queued since the last pass
 * @bind_pending: cells may be unbound that could be bound once capacity changes
 */
struct policy {
	struct policy_options opt;
	GPtrArray *servers;
	GHashTable *server_ids;
	GPtrArray *racks;
	GHashTable *rack_ids;
	GPtrArray *workspaces;
	GPtrArray *cells;
	GHashTable *kinds;
	GSequence *queue;
	GPtrArray *awaiting_preemption;
	GArray *slots[SLOT_INDEXES][POLICY_ACCELERATORS_MAX + 1]; /* of int64_t */
	GArray *extra_slots;					  /* of int64_t */
	GArray *reserved_rack;					  /* of char */
	struct policy_job *reserved_for;
	int64_t reservation_start;
	GQueue decisions;
	int64_t usable_total;
	int64_t expected_total;
	int64_t placed;
	int64_t now;
	int64_t non_preemptible_used;
	bool capacity_changed;
	bool has_new_jobs;
	bool bind_pending;
};

/* which accelerators a placement may use besides free ones; tried in this order */
enum stage {
	STAGE_FREE,	/* none */
	STAGE_RESERVED, /* work that the job may preempt in the racks reserved for it */
	STAGE_RECLAIM,	/* what others have borrowed of its workspace's cells */
	STAGE_URGENT,	/* preemptible work of a lower class, unless within another's guarantee */
	STAGE_COUNT
};

/**
 * struct search - search for a placement of one job
 * @p: the policy
 * @job: the job
 * @stage: which accelerators may be used
 * @servers: result: indexes in policy.servers, of int
 * @tasks: result: number of tasks on each entry of @servers, of int64_t
 */
struct search {
	struct policy *p;
	struct policy_job *job;
	enum stage stage;
	GArray *servers;
	GArray *tasks;
};

static inline struct server *server_at(const struct policy *p, int i)
{
	return g_ptr_array_index(p->servers, (guint)i);
}

static inline struct rack *rack_at(const struct policy *p, int i)
{
	return g_ptr_array_index(p->racks, (guint)i);
}

static inline struct workspace *workspace_at(const struct policy *p, unsigned int i)
{
	return g_ptr_array_index(p->workspaces, i);
}

static inline int64_t *slots_at(const struct policy *p, enum slot_index index, int64_t a, int rack)
{
	return &g_array_index(p->slots[index][a], int64_t, rack);
}

/* fleet.c */
struct allocation *pol_allocation_find(const struct server *s, unsigned int ws);
struct allocation *pol_allocation_get(struct policy *p, struct server *s, unsigned int ws);
int64_t pol_server_free(const struct server *s);
int64_t pol_server_uncommitted(const struct server *s);
int64_t pol_server_unguaranteed(const struct server *s);
void pol_server_reindex(struct policy *p, struct server *s);
bool pol_may_preempt_for_reservation(const struct policy *p, const struct policy_job *job,
				     const struct policy_job *other, const struct server *s);
int64_t pol_server_available(const struct search *q, const struct server *s);
enum slot_index pol_job_slot_index(const struct policy_job *job);
int pol_server_find(const struct policy *p, const char *id);
struct kind *pol_kind_get(struct policy *p, const char *name);
int64_t pol_estimate(const struct kind *kind, int64_t declared_ms, double deviations);
bool pol_is_non_preemptible(const struct policy_spec *spec);
void pol_account_tasks(struct policy *p, struct policy_job *job, int index, int64_t tasks,
		       int sign);
void pol_job_release(struct policy *p, struct policy_job *job);
void pol_job_allocate(struct policy *p, struct policy_job *job, const int *servers,
		      const int64_t *tasks, unsigned int count, int64_t now);

/* cells.c */
unsigned int pol_workspace_get(struct policy *p, const char *name);
void pol_cell_unbind(struct policy *p, struct cell *cell);
void pol_bind_cells(struct policy *p);
void pol_unbind_overcommitted(struct policy *p, int index);

/* place.c */
bool pol_ends_before_reservation(const struct policy *p, const struct policy_job *job, int64_t now);
int pol_compare_rack_scores(gconstpointer a, gconstpointer b);
bool pol_search_run(struct search *q, int64_t now);
void pol_push_decision(struct policy *p, enum policy_decision_type type, struct policy_job *job);
void pol_stop_victims(struct policy *p, struct policy_job *job, int index, enum stage stage);
bool pol_is_preemption_stalled(const struct policy *p, const struct policy_job *job);
bool pol_placement_fits(const struct policy *p, const struct policy_job *job);

/* policy.c */
void pol_enqueue(struct policy *p, struct policy_job *job);
bool pol_drop_decisions(struct policy *p, const struct policy_job *job);

#endif
