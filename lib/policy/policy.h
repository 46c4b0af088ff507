/**
 * DOC: policy - places jobs on servers and selects the work to preempt for them
 *
 * The library does no input or output; callers pass the time in, in ms of any
 * monotonic clock. One instance schedules one failure domain and is used by
 * one thread.
 *
 * Terms:
 *
 * - The guarantee of a workspace is a set of cells. A cell is a number of
 *   accelerators in one server or in one rack. Each cell is bound to servers,
 *   and its accelerators there are guaranteed to the workspace.
 * - Work that can be checkpointed is preemptible. It may borrow accelerators
 *   that are guaranteed to other workspaces; non-preemptible work may not.
 * - On every server the sum over the workspaces of
 *   max(guaranteed, non-preemptible use) is at most the server's accelerators.
 *   The unused part of a cell can therefore always be reclaimed by stopping
 *   borrowed work only.
 * - A reservation is a set of racks held for one job that has waited for
 *   long, usually a large gang. Other jobs are backfilled into these racks.
 */
#ifndef POLICY_H
#define POLICY_H

#include "base/base.h"

#define POLICY_ACCELERATORS_MAX 32 /* per server */
#define POLICY_GANG_MAX 1024	   /* tasks per job */

struct policy;
struct policy_job;

/**
 * struct policy_options - settings of the policy
 * @weight_percent: 0 favours completion time, 100 low fragmentation
 * @reserve_after_ms: wait in ms after which racks are reserved for a job
 * @urgent_percent: headroom for urgent jobs, in percent of the accelerators of
 *                  usable servers. Non-urgent, non-preemptible work that
 *                  exceeds its workspace's guarantee may not occupy it.
 */
struct policy_options {
	int64_t weight_percent;
	int64_t reserve_after_ms;
	int64_t urgent_percent;
};

/**
 * struct policy_cell - cells of one shape in a guarantee
 * @accelerators: size of one cell
 * @in_server: the cell lies in one server, otherwise in one rack
 * @count: number of such cells
 */
struct policy_cell {
	int64_t accelerators;
	bool in_server;
	int64_t count;
};

/**
 * struct policy_workspace - quota and guarantee of one workspace
 * @name: unique name
 * @quota: maximum of accelerators in use at once, 0 for no limit
 * @precedence: cells of a lower value are bound first, which decides when the
 *              guarantees of all workspaces no longer fit
 * @cells: the guarantee; owned by the caller, copied by the policy
 * @cell_count: number of entries in @cells
 */
struct policy_workspace {
	const char *name;
	int64_t quota;
	int64_t precedence;
	const struct policy_cell *cells;
	unsigned int cell_count;
};

/**
 * struct policy_spec - a job as its submitter declares it
 * @id: unique id
 * @workspace: name of the workspace that the job belongs to
 * @kind: name under which actual run times are recorded to correct declared ones
 * @cls: service class
 * @tasks: number of tasks, which start together (gang)
 * @accelerators: accelerators of each task, all in one server
 * @one_rack: all tasks have to be in one rack
 * @checkpointable: can be stopped and resumed, and is thus preemptible
 * @run_ms: declared run time in ms
 * @share_percent: maximum that jobs of this kind may use at once, in percent of
 *                 the accelerators of the whole fleet; 0 for no limit
 */
struct policy_spec {
	const char *id;
	const char *workspace;
	const char *kind;
	enum service_class cls;
	int64_t tasks;
	int64_t accelerators;
	bool one_rack;
	bool checkpointable;
	int64_t run_ms;
	int64_t share_percent;
};

/* why a job is not running; the texts are part of a job's status */
#define POLICY_WAITS(X)                                                            \
	X(POLICY_WAIT_NONE, "not waiting")                                         \
	X(POLICY_WAIT_NEW, "not looked at yet")                                    \
	X(POLICY_WAIT_CAPACITY, "no accelerators free in a fitting shape")         \
	X(POLICY_WAIT_QUOTA, "the workspace or kind is at its limit")              \
	X(POLICY_WAIT_RESERVATION, "racks are kept for this job until they drain") \
	X(POLICY_WAIT_PREEMPTION, "borrowed work is being stopped for this job")

enum policy_wait {
#define X(id, text) id,
	POLICY_WAITS(X)
#undef X
};

enum policy_job_state {
	POLICY_QUEUED,
	POLICY_AWAITING_PREEMPTION, /* placed, but the work it preempts has not stopped yet */
	POLICY_PLACED,		    /* POLICY_START was issued */
	POLICY_STOPPING,	    /* placed, POLICY_STOP was issued */
};

/**
 * struct policy_place - tasks of a job on one server
 * @server: server id, owned by the policy
 * @tasks: number of tasks there
 */
struct policy_place {
	const char *server;
	int64_t tasks;
};

enum policy_decision_type { POLICY_START, POLICY_STOP };

/**
 * struct policy_decision - an action that the caller has to carry out
 * @type: start @job on its places, or checkpoint and stop it
 * @job: the job
 * @user: the pointer passed to policy_job_add()
 */
struct policy_decision {
	enum policy_decision_type type;
	struct policy_job *job;
	void *user;
};

/** policy_new() - a policy without servers, workspaces and jobs; @opt is copied */
struct policy *policy_new(TALLOC_CTX *ctx, const struct policy_options *opt);

enum policy_server_state {
	POLICY_SERVER_REMOVED,	   /* not part of the fleet */
	POLICY_SERVER_UNAVAILABLE, /* takes no new work now, but is expected back */
	POLICY_SERVER_USABLE,	   /* takes new work */
};

/**
 * policy_server_set() - add a server or change its state
 * @rack: rack id; ignored when the server is known already
 * @accelerators: capacity, cut to POLICY_ACCELERATORS_MAX; ignored when the
 *                server is known already
 *
 * A server that is no longer usable loses the cells bound to it; they are bound
 * to other servers. Jobs placed there stay placed until the caller requeues or
 * removes them.
 */
void policy_server_set(struct policy *p, const char *id, const char *rack, int64_t accelerators,
		       enum policy_server_state state);
/**
 * policy_workspaces_set() - replace the guarantees of all workspaces
 *
 * Cells whose size and kind did not change stay bound to their servers; cells
 * that are no longer listed are unbound. Quota and precedence of a workspace
 * that is missing in @list stay as they are.
 */
void policy_workspaces_set(struct policy *p, const struct policy_workspace *list,
			   unsigned int count);
/** policy_unbound_accelerators() - accelerators of the workspace's cells that fit nowhere */
int64_t policy_unbound_accelerators(const struct policy *p, const char *workspace);
/**
 * policy_reclaimable_accelerators() - accelerators of the workspace's bound cells
 * that its own jobs do not use
 */
int64_t policy_reclaimable_accelerators(const struct policy *p, const char *workspace);

/**
 * policy_is_feasible() - whether the job could start if no other job were running
 *
 * Servers that are unavailable for now are counted.
 */
bool policy_is_feasible(struct policy *p, const struct policy_spec *spec);
/**
 * policy_job_add() - queue a job
 * @spec: copied
 * @now: time in ms from which the job's wait counts
 * @user: returned in the decisions about this job
 */
struct policy_job *policy_job_add(struct policy *p, const struct policy_spec *spec, int64_t now,
				  void *user);
/**
 * policy_job_adopt() - mark a queued job as already running at @places
 *
 * Used after a takeover. Unknown servers are skipped. Cells that overlap with
 * the job's accelerators are unbound, to be bound elsewhere.
 */
void policy_job_adopt(struct policy *p, struct policy_job *job, const struct policy_place *places,
		      unsigned int count, int64_t now);
/** policy_job_requeue() - queue a placed job again once all its tasks have stopped */
void policy_job_requeue(struct policy *p, struct policy_job *job, int64_t now);
/** policy_job_remove() - release the job's accelerators and free @job */
void policy_job_remove(struct policy *p, struct policy_job *job, int64_t now);
/** policy_record_run_time() - correct later estimates of @kind by one job's actual run time */
void policy_record_run_time(struct policy *p, const char *kind, int64_t declared_ms,
			    int64_t actual_ms);
/** policy_estimate_ms() - @declared_ms corrected by the recorded run times of @kind, in ms */
int64_t policy_estimate_ms(const struct policy *p, const char *kind, int64_t declared_ms);

/**
 * policy_next_decision() - store the next decision in @out
 * @now: time in ms
 *
 * Return: false when there is nothing to do until a job, a server or a
 * workspace changes.
 */
bool policy_next_decision(struct policy *p, int64_t now, struct policy_decision *out);

enum policy_job_state policy_job_state(const struct policy_job *job);
enum policy_wait policy_job_wait(const struct policy_job *job);
const char *policy_wait_text(enum policy_wait wait);
/**
 * policy_job_places() - places of a placed job, @count entries
 *
 * Return: valid until the job is requeued or removed.
 */
const struct policy_place *policy_job_places(const struct policy_job *job, unsigned int *count);

/**
 * struct policy_usage - totals for status and benchmarks
 * @total: accelerators of usable servers
 * @free: accelerators of usable servers that no job holds
 * @largest_rack_free: free accelerators of the rack that has the most of them
 * @idle_server_free: accelerators of usable servers on which no job is placed
 * @queued: number of waiting jobs
 * @placed: number of jobs that hold accelerators
 */
struct policy_usage {
	int64_t total;
	int64_t free;
	int64_t largest_rack_free;
	int64_t idle_server_free;
	int64_t queued;
	int64_t placed;
};

void policy_usage(const struct policy *p, struct policy_usage *out);
/**
 * policy_startable_tasks() - tasks of @accelerators each that the free capacity holds
 *
 * Quotas and reservations are not taken into account.
 */
int64_t policy_startable_tasks(const struct policy *p, int64_t accelerators);
/**
 * policy_check_invariants() - recompute totals and indexes and compare them
 *
 * Return: NULL when all agree, else a description of the first difference,
 * owned by @ctx.
 */
char *policy_check_invariants(struct policy *p, TALLOC_CTX *ctx);

#endif
