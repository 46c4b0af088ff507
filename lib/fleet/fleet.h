/**
 * DOC: fleet - backend servers, what they can hold and what is taken
 *
 * A struct fleet_server is one incarnation. When a server starts again under
 * the same id, the old struct stays, marked as replaced, until nothing refers
 * to it. Pure: times are passed in, in ms on any monotonic clock.
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

/* an accelerator weighs as much as this many cores when work is compared */
#define FLEET_CORES_PER_ACCELERATOR 8

static inline void fleet_resources_add(struct fleet_resources *a, const struct fleet_resources *b,
				       int sign)
{
	a->cpu += sign * b->cpu;
	a->memory_mb += sign * b->memory_mb;
	a->accelerators += sign * b->accelerators;
}

static inline bool fleet_resources_fit(const struct fleet_resources *need,
				       const struct fleet_resources *room)
{
	return need->cpu <= room->cpu && need->memory_mb <= room->memory_mb &&
	       need->accelerators <= room->accelerators;
}

/** fleet_millicore_equivalent() - one figure for an amount, in thousandths of a core */
static inline int64_t fleet_millicore_equivalent(const struct fleet_resources *a)
{
	return a->cpu + a->accelerators * FLEET_CORES_PER_ACCELERATOR * 1000;
}

#define FLEET_PRESENCES(X)                                                        \
	X(FLEET_LISTED, "listed")     /* the list has it, ready for work */       \
	X(FLEET_DRAINING, "draining") /* leaves soon, takes no new work */        \
	X(FLEET_UNLISTED, "unlisted") /* not in the list; may still be running */ \
	X(FLEET_REPLACED, "replaced") /* another incarnation has its id */

enum fleet_presence {
#define X(id, name) id,
	FLEET_PRESENCES(X)
#undef X
};

const char *fleet_presence_name(enum fleet_presence presence);

/**
 * struct fleet_server - one incarnation of a backend server
 * @id: its id
 * @born: start of this incarnation, wall clock in ms
 * @address: "ip:port"
 * @rack: index of its rack in struct fleet
 * @labels: labels that steps may require
 * @capacity: all that it has
 * @used: taken by tasks that run, start, stop or may run
 * @promised: taken by tasks that wait for others to stop
 * @unclaimed: taken by runs that it lists and no task answers for, until they are gone
 * @presence: what the list says
 * @drain_deadline: it may be gone from then on, in ms; 0 unless draining
 * @is_fenced: it has seen this leader's term, so older orders are void
 * @is_reachable: it answers
 * @suspect_until: no new work before, because of failures, in ms
 * @suspect_duration: how long it was last suspected, in ms
 * @probation_until: the last task that ended there failed; no work that can't afford it, in ms
 * @progress_at: something that runs there got on, or ended well, in ms
 * @stalled_gangs: gangs that stood still there since then
 * @reserved_until: kept free for a gang that is expected to start then, in ms; of plan
 * @is_kept: its free room is left to urgent work in this round; of plan
 * @failures: ends "failed" in a row, of different jobs
 * @last_failed_job: id of the job that failed here last
 * @tasks: struct work_task of all that is counted in @used, or promised
 * @user: for the owner
 */
struct fleet_server {
	char *id;
	int64_t born;
	char *address;
	char *service;
	char *failure_domain;
	unsigned int rack;
	char **labels;
	unsigned int label_count;
	struct fleet_resources capacity;
	struct fleet_resources used;
	struct fleet_resources promised;
	struct fleet_resources unclaimed;
	enum fleet_presence presence;
	int64_t drain_deadline;
	bool is_fenced;
	bool is_reachable;
	int64_t suspect_until;
	int64_t suspect_duration;
	int64_t probation_until;
	int64_t progress_at;
	unsigned int stalled_gangs;
	int64_t reserved_until;
	bool is_kept;
	unsigned int failures;
	char *last_failed_job;
	GPtrArray *tasks;
	void *user;
};

/**
 * struct fleet - all servers known
 * @all: every struct fleet_server, in the order in which they became known
 * @by_id: id to the newest incarnation
 * @racks: names of racks by index; 0 is "", for servers whose rack is not known
 */
struct fleet {
	GPtrArray *all;
	GHashTable *by_id;
	GPtrArray *racks;
};

struct fleet *fleet_new(TALLOC_CTX *ctx);
/** fleet_add() - a new incarnation; an older one of the same id becomes replaced */
struct fleet_server *fleet_add(struct fleet *f, const char *id, int64_t born);
/**
 * fleet_find_or_add() - the incarnation of @old's id that started at @born or later
 *
 * It is added when it is not known, or has been forgotten; then it is unlisted
 * until the list has it.
 */
struct fleet_server *fleet_find_or_add(struct fleet *f, const struct fleet_server *old,
				       int64_t born);
struct fleet_server *fleet_find(const struct fleet *f, const char *id);
/** fleet_find_or_add_rack() - index of a rack; it is added when new */
unsigned int fleet_find_or_add_rack(struct fleet *f, const char *name);
/** fleet_find_rack() - index of a rack, UINT_MAX when there is none of this name */
unsigned int fleet_find_rack(const struct fleet *f, const char *name);
void fleet_set_rack(struct fleet *f, struct fleet_server *sv, const char *name);
const char *fleet_rack_name(const struct fleet *f, unsigned int rack);
/** fleet_prune() - free servers that are gone and hold nothing, if @may_free agrees */
void fleet_prune(struct fleet *f, bool (*may_free)(struct fleet_server *sv));

/** fleet_accepts_work() - new tasks may be sent there now */
bool fleet_accepts_work(const struct fleet_server *sv, int64_t now);
/** fleet_unused_capacity() - what nothing that runs there takes; some of it may be promised */
struct fleet_resources fleet_unused_capacity(const struct fleet_server *sv);
/** fleet_free_capacity() - what is neither used nor promised */
struct fleet_resources fleet_free_capacity(const struct fleet_server *sv);
bool fleet_has_label(const struct fleet_server *sv, const char *label);

/* a server is judged by failures of different jobs, so that a bad job doesn't condemn it */
#define FLEET_FAILURES_MAX 2	   /* in a row, before a server is suspected */
#define FLEET_SUSPECT_MS 8000	   /* first time without new work */
#define FLEET_SUSPECT_MAX_MS 60000 /* doubled each time up to this */
#define FLEET_PROBATION_MS 3000	   /* after one failure, by whatever job */

/** fleet_note_failure() - a task of @job failed there; true when the server became suspect */
bool fleet_note_failure(struct fleet_server *sv, const char *job, int64_t now);
/** fleet_note_progress() - something that runs there got on */
void fleet_note_progress(struct fleet_server *sv, int64_t now);
/** fleet_note_success() - a task ended well there */
void fleet_note_success(struct fleet_server *sv, int64_t now);
/** fleet_suspect() - take no new work there for a while, whatever the reason */
void fleet_suspect(struct fleet_server *sv, int64_t now);

#endif
