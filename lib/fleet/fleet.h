/**
 * DOC: fleet - backend servers, their capacity and its use
 *
 * A struct fleet_server is one incarnation of a server. When a server restarts
 * under the same id, the old struct stays, marked as replaced, until nothing
 * refers to it. The module does no I/O and reads no clock: callers pass times
 * in, in ms on any monotonic clock.
 */
#ifndef FLEET_H
#define FLEET_H

#include "base/base.h"

/**
 * struct fleet_resources - resources of a server or of a task
 * @cpu: thousandths of a core
 * @memory_mb: memory in MB
 * @accelerators: whole accelerators
 */
struct fleet_resources {
	int64_t cpu;
	int64_t memory_mb;
	int64_t accelerators;
};

/* weight of one accelerator, in cores, when amounts of work are compared */
#define FLEET_CORES_PER_ACCELERATOR 8

static inline void fleet_resources_add(struct fleet_resources *a, const struct fleet_resources *b,
				       int sign)
{
	a->cpu += sign * b->cpu;
	a->memory_mb += sign * b->memory_mb;
	a->accelerators += sign * b->accelerators;
}

static inline bool fleet_resources_fit(const struct fleet_resources *need,
				       const struct fleet_resources *available)
{
	return need->cpu <= available->cpu && need->memory_mb <= available->memory_mb &&
	       need->accelerators <= available->accelerators;
}

/**
 * fleet_millicore_equivalent() - CPU and accelerators as one weighted figure
 *
 * Return: thousandths of a core; memory doesn't count.
 */
static inline int64_t fleet_millicore_equivalent(const struct fleet_resources *a)
{
	return a->cpu + a->accelerators * FLEET_CORES_PER_ACCELERATOR * 1000;
}

#define FLEET_PRESENCES(X)                                                               \
	X(FLEET_LISTED, "listed")     /* in the server list, ready for work */           \
	X(FLEET_DRAINING, "draining") /* about to be removed, accepts no new work */     \
	X(FLEET_UNLISTED, "unlisted") /* not in the server list; may still be running */ \
	X(FLEET_REPLACED, "replaced") /* a newer incarnation has its id */

enum fleet_presence {
#define X(id, name) id,
	FLEET_PRESENCES(X)
#undef X
};

/** fleet_presence_name() - name as listed in FLEET_PRESENCES */
const char *fleet_presence_name(enum fleet_presence presence);

#define FLEET_ADMISSIONS(X)                                                               \
	X(FLEET_ACCEPTING, "accepting")	    /* new tasks may be placed there */           \
	X(FLEET_NOT_LISTED, "not_listed")   /* draining, unlisted or replaced */          \
	X(FLEET_EVACUATED, "evacuated")	    /* its failure domain is evacuated */         \
	X(FLEET_UNFENCED, "unfenced")	    /* it has not seen the term of this leader */ \
	X(FLEET_UNREACHABLE, "unreachable") /* it does not answer */                      \
	X(FLEET_SUSPECT, "suspect")	    /* its suspect period has not ended */

enum fleet_admission {
#define X(id, name) id,
	FLEET_ADMISSIONS(X)
#undef X
		FLEET_ADMISSION_COUNT
};

/** fleet_admission_name() - name as listed in FLEET_ADMISSIONS */
const char *fleet_admission_name(enum fleet_admission admission);

#define FLEET_SPEED_CLASSES(X)                                                                 \
	X(FLEET_SPEED_UNKNOWN, "unknown") /* too few samples, or all servers have one speed */ \
	X(FLEET_SPEED_SLOW, "slow")                                                            \
	X(FLEET_SPEED_TYPICAL, "typical") /* as fast as most servers */                        \
	X(FLEET_SPEED_FAST, "fast")

enum fleet_speed_class {
#define X(id, name) id,
	FLEET_SPEED_CLASSES(X)
#undef X
		FLEET_SPEED_CLASS_COUNT
};

/** fleet_speed_class_name() - name as listed in FLEET_SPEED_CLASSES */
const char *fleet_speed_class_name(enum fleet_speed_class speed_class);

/**
 * struct fleet_server - one incarnation of a backend server
 * @id: id of the server, the same for all its incarnations
 * @born: start time of this incarnation, wall clock in ms
 * @ended_before: @ended of struct fleet when this incarnation became known, which is higher than
 *	that of each earlier incarnation of its id
 * @address: "ip:port"
 * @service: name of the pool of backend servers that it belongs to
 * @rack: index of its rack in struct fleet
 * @labels: labels that steps may require; the first is its kind
 * @capacity: total resources of the server
 * @used: resources held by tasks that start, run, stop or may be running
 * @awaiting_preemption: resources set aside for tasks awaiting preemption of others
 * @unclaimed: resources held by orphaned runs: the server lists them, but no task matches
 *	them; counted until the server stops listing them
 * @presence: state in the server list
 * @is_evacuated: no work may be sent to its failure domain; written by the owner of the fleet
 * @drain_deadline: the server may be gone from this time on, in ms; 0 unless draining
 * @is_fenced: the server has seen this leader's fence for it, which voids orders of earlier terms
 *	and orders to earlier incarnations
 * @is_reachable: the server answers calls
 * @suspect_until: accepts no new work before this time, because it is suspect, in ms
 * @is_suspect_for_failures: it is so because tasks failed there
 * @fault_until: end of the latest suspect period of fleet_suspect(), in ms; 0 after a success
 * @suspect_duration: length of the latest suspect period, in ms; 0 after a success
 * @probation_until: a task failed there; until this time, in ms, the server gets only work
 *	with attempts to spare; 0 after a success
 * @progress_at: last time that a task there made progress or completed, in ms
 * @stalled_gangs: number of gangs that stalled there since @progress_at
 * @reserved_until: reserved until this time, in ms, for a gang expected to start then;
 *	written by plan
 * @is_headroom: free capacity is headroom for urgent work in this scheduling round; written by
 *	plan
 * @failures: consecutive failures, counted once for successive failures of one job
 * @last_failed_job: id of the job that failed here last
 * @speed: estimated speed relative to a typical server; 1.0 unless @speed_class is
 *	FLEET_SPEED_SLOW or FLEET_SPEED_FAST. Written by speed, as are the next three
 * @speed_class: what is known of the speed
 * @speed_samples: run times that the estimate is based on
 * @speed_slot: its index in struct speed, 0 before the first sample
 * @tasks: struct work_task of all tasks counted in @used or @awaiting_preemption
 * @user: opaque pointer for the owner of the fleet
 */
struct fleet_server {
	char *id;
	int64_t born;
	int64_t ended_before;
	char *address;
	char *service;
	char *failure_domain;
	unsigned int rack;
	char **labels;
	unsigned int label_count;
	struct fleet_resources capacity;
	struct fleet_resources used;
	struct fleet_resources awaiting_preemption;
	struct fleet_resources unclaimed;
	enum fleet_presence presence;
	bool is_evacuated;
	int64_t drain_deadline;
	bool is_fenced;
	bool is_reachable;
	int64_t suspect_until;
	bool is_suspect_for_failures;
	int64_t fault_until;
	int64_t suspect_duration;
	int64_t probation_until;
	int64_t progress_at;
	unsigned int stalled_gangs;
	int64_t reserved_until;
	bool is_headroom;
	unsigned int failures;
	char *last_failed_job;
	double speed;
	enum fleet_speed_class speed_class;
	unsigned int speed_samples;
	unsigned int speed_slot;
	GPtrArray *tasks;
	void *user;
};

/**
 * struct fleet - all known servers
 * @all: every struct fleet_server, in the order in which they were added
 * @by_id: maps an id to the newest incarnation
 * @racks: names of racks by index; index 0 is "", for servers whose rack is unknown
 * @ended: number of incarnations that were replaced or forgotten
 */
struct fleet {
	GPtrArray *all;
	GHashTable *by_id;
	GPtrArray *racks;
	int64_t ended;
};

/** fleet_new() - create an empty fleet owned by @ctx */
struct fleet *fleet_new(TALLOC_CTX *ctx);
/**
 * fleet_add() - add an incarnation, unlisted and reachable
 * @born: start time of the incarnation, wall clock in ms
 *
 * An older incarnation of the same id is marked as replaced.
 */
struct fleet_server *fleet_add(struct fleet *f, const char *id, int64_t born);
/**
 * fleet_find_or_add() - find the incarnation of @old's id that started at @born or later
 * @born: wall clock in ms
 *
 * Adds the incarnation, with @old's address, pool, failure domain, rack and capacity, when it
 * is unknown or was pruned. It then stays unlisted until the server list
 * contains it.
 */
struct fleet_server *fleet_find_or_add(struct fleet *f, const struct fleet_server *old,
				       int64_t born);
/** fleet_find() - newest incarnation of @id, or NULL */
struct fleet_server *fleet_find(const struct fleet *f, const char *id);
/** fleet_find_or_add_rack() - index of the rack @name, which is added if unknown */
unsigned int fleet_find_or_add_rack(struct fleet *f, const char *name);
/** fleet_find_rack() - index of the rack @name, or UINT_MAX */
unsigned int fleet_find_rack(const struct fleet *f, const char *name);
/** fleet_set_rack() - put @sv into the rack @name, which is added if unknown */
void fleet_set_rack(struct fleet *f, struct fleet_server *sv, const char *name);
/** fleet_rack_name() - name of a rack by its index, "" for index 0 */
const char *fleet_rack_name(const struct fleet *f, unsigned int rack);
/** fleet_replace() - mark an incarnation as replaced or forgotten, and count it in @ended */
void fleet_replace(struct fleet *f, struct fleet_server *sv);
/** fleet_prune() - free unlisted or replaced servers without tasks for which @may_free is true */
void fleet_prune(struct fleet *f, bool (*may_free)(struct fleet_server *sv));

/** fleet_admission() - whether new tasks may be placed on @sv at @now, else the first obstacle */
enum fleet_admission fleet_admission(const struct fleet_server *sv, int64_t now);
/** fleet_accepts_work() - true if new tasks may be placed on @sv at @now */
bool fleet_accepts_work(const struct fleet_server *sv, int64_t now);
/** fleet_is_suspect_for_a_stall() - @sv answers, and only work that stalled there keeps it out */
bool fleet_is_suspect_for_a_stall(const struct fleet_server *sv, int64_t now);
/**
 * fleet_unused_capacity() - capacity that no running task or orphaned run holds
 *
 * Part of it may be set aside for tasks awaiting preemption. Members may be
 * negative.
 */
struct fleet_resources fleet_unused_capacity(const struct fleet_server *sv);
/**
 * fleet_free_capacity() - unused capacity that is not set aside either
 *
 * Members may be negative.
 */
struct fleet_resources fleet_free_capacity(const struct fleet_server *sv);
/** fleet_has_label() - true if @label is among the labels of @sv */
bool fleet_has_label(const struct fleet_server *sv, const char *label);

/* only failures of different jobs count, so that one faulty job makes no server suspect */
#define FLEET_FAILURES_MAX 2	   /* consecutive failures that make a server suspect */
#define FLEET_SUSPECT_MS 8000	   /* first suspect period */
#define FLEET_SUSPECT_MAX_MS 60000 /* the period doubles each time up to this */
#define FLEET_PROBATION_MS 3000	   /* after each failure, of whatever job */

/**
 * fleet_note_failure() - record that a task of @job failed on @sv
 *
 * Return: true if the server became suspect.
 */
bool fleet_note_failure(struct fleet_server *sv, const char *job, int64_t now);
/* when more than 1 in 4 servers is suspect for failures, the jobs are at fault, not the servers */
#define FLEET_SUSPECT_SHARE 4

/**
 * fleet_forgive_failures() - end the suspect periods of servers if too many failed tasks
 * @failing: the server that became suspect last; only servers of its pool and kind count
 *
 * Load pattern: jobs that fail by their own fault are most of what is left in the queue. Each
 * server fails tasks of several of them, so that no server accepts work while the pool is idle.
 *
 * Return: number of servers that accept work again.
 */
unsigned int fleet_forgive_failures(struct fleet *f, const struct fleet_server *failing,
				    int64_t now);
/** fleet_note_progress() - record that a task on @sv made progress */
void fleet_note_progress(struct fleet_server *sv, int64_t now);
/** fleet_note_success() - record that a task completed on @sv; ends probation */
void fleet_note_success(struct fleet_server *sv, int64_t now);
/**
 * fleet_note_refusal() - record that @sv refused a start: no new work for FLEET_SUSPECT_MS
 *
 * Load pattern: servers are unhealthy for seconds and refuse starts meanwhile. To ask again costs
 * one call, so the period is the same each time.
 */
void fleet_note_refusal(struct fleet_server *sv, int64_t now);
/**
 * fleet_suspect() - make @sv suspect because of a fault: no new work for a period
 *
 * Load pattern: a server hangs or fails for seconds, and all tasks there show it one after
 * another. They have started before the period, so they tell nothing of a further fault, and
 * the period is neither extended nor doubled while it lasts.
 */
void fleet_suspect(struct fleet_server *sv, int64_t now);

#endif
