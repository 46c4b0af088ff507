/**
 * DOC: policy - which job runs where, and which borrowed work stops for it
 *
 * A pure library: no input or output, time is passed in as ms on any monotonic
 * clock. It serves one failure domain and is used by one thread.
 *
 * Terms. A guarantee of a workspace is a set of cells; a cell is a number of
 * accelerators together in one server or one rack. Every cell is bound to
 * servers, where it counts as reserved. Work that can be checkpointed may
 * borrow reserved accelerators of others; other work ("firm") may not. On
 * every server the sum over workspaces of max(reserved, firm use) is at most
 * the server's accelerators, so that the unused part of a cell can always be
 * freed by stopping borrowed work alone.
 */
#ifndef POLICY_H
#define POLICY_H

#include "base/base.h"

#define POLICY_ACCELERATORS_MAX 32 /* a server's accelerators, at most */
#define POLICY_GANG_MAX 1024

struct policy;
struct policy_job;

/**
 * struct policy_options - settings of the policy
 * @weight_percent: 0 favours completion time, 100 low fragmentation
 * @reserve_after_ms: a job that waited this long gets racks kept for it
 * @urgent_percent: share of the accelerators left to work that urgent jobs can
 *                  stop cheaply
 */
struct policy_options {
	int64_t weight_percent;
	int64_t reserve_after_ms;
	int64_t urgent_percent;
};

/**
 * struct policy_cell - part of a guarantee
 * @accelerators: size of one cell
 * @in_server: all in one server, else all in one rack
 * @count: how many such cells
 */
struct policy_cell {
	int64_t accelerators;
	bool in_server;
	int64_t count;
};

/**
 * struct policy_workspace - a tenant's entitlement
 * @name: its name
 * @quota: most accelerators in use at once, 0 for no limit
 * @precedence: lower comes first when guarantees no longer fit
 * @cells: its guarantee, borrowed
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
 * struct policy_spec - a job as declared
 * @id: unique id
 * @workspace: whose job it is
 * @kind: key of the learned run-time correction
 * @cls: service class
 * @tasks: gang size
 * @accelerators: accelerators of each task, all in one server
 * @one_rack: refuse to spread over several racks
 * @checkpointable: can be stopped and resumed, so it may borrow
 * @run_ms: declared run time
 * @share_percent: most of the accelerators that this kind may use at once, 0 for no limit
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

/* why a job is not running; also shown to operators */
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
	POLICY_AWAITING_PREEMPTION, /* placed, waits until borrowed work has stopped */
	POLICY_PLACED,		    /* start was decided */
	POLICY_STOPPING,	    /* placed, stop was decided */
};

/**
 * struct policy_place - members of a gang on one server
 * @server: server id, owned by the policy
 * @tasks: number of tasks there
 */
struct policy_place {
	const char *server;
	int64_t tasks;
};

enum policy_decision_type { POLICY_START, POLICY_STOP };

/**
 * struct policy_decision - what the caller must do now
 * @type: start @job on its places, or checkpoint and stop it
 * @job: the job
 * @user: the pointer given when the job was added
 */
struct policy_decision {
	enum policy_decision_type type;
	struct policy_job *job;
	void *user;
};

struct policy *policy_new(TALLOC_CTX *ctx, const struct policy_options *opt);

enum policy_server_state {
	POLICY_SERVER_REMOVED,	   /* will not come back */
	POLICY_SERVER_UNAVAILABLE, /* takes no new work now, but is expected to */
	POLICY_SERVER_USABLE,	   /* takes new work */
};

/** policy_server_set() - add a server or change whether it takes new work */
void policy_server_set(struct policy *p, const char *id, const char *rack, int64_t accelerators,
		       enum policy_server_state state);
/** policy_workspaces_set() - replace all workspaces and bind their cells; bound ones stay */
void policy_workspaces_set(struct policy *p, const struct policy_workspace *list,
			   unsigned int count);
/** policy_unbound_accelerators() - cells that no longer fit anywhere, as accelerators */
int64_t policy_unbound_accelerators(const struct policy *p, const char *workspace);
/** policy_reclaimable_accelerators() - unused accelerators of the workspace's bound cells */
int64_t policy_reclaimable_accelerators(const struct policy *p, const char *workspace);

/** policy_is_feasible() - whether the job could start on an otherwise empty fleet */
bool policy_is_feasible(struct policy *p, const struct policy_spec *spec);
/** policy_job_add() - queue a job; @spec is copied */
struct policy_job *policy_job_add(struct policy *p, const struct policy_spec *spec, int64_t now,
				  void *user);
/** policy_job_adopt() - a queued job is found running at these places */
void policy_job_adopt(struct policy *p, struct policy_job *job, const struct policy_place *places,
		      unsigned int count, int64_t now);
/** policy_job_requeue() - the placed job has stopped everywhere and waits again */
void policy_job_requeue(struct policy *p, struct policy_job *job, int64_t now);
/** policy_job_remove() - forget the job, giving back what it holds */
void policy_job_remove(struct policy *p, struct policy_job *job, int64_t now);
/** policy_record_run_time() - a job of @kind, declared to run @declared_ms, ran @actual_ms */
void policy_record_run_time(struct policy *p, const char *kind, int64_t declared_ms,
			    int64_t actual_ms);
/** policy_estimate_ms() - corrected run time of a job of @kind declared as @declared_ms */
int64_t policy_estimate_ms(const struct policy *p, const char *kind, int64_t declared_ms);

/** policy_next_decision() - the next decision, false when there is nothing to do now */
bool policy_next_decision(struct policy *p, int64_t now, struct policy_decision *out);

enum policy_job_state policy_job_state(const struct policy_job *job);
enum policy_wait policy_job_wait(const struct policy_job *job);
const char *policy_wait_text(enum policy_wait wait);
/** policy_job_places() - where a placed job is; valid until it is requeued or removed */
const struct policy_place *policy_job_places(const struct policy_job *job, unsigned int *count);

/**
 * struct policy_usage - totals for status and measurement
 * @total: accelerators of usable servers
 * @free: accelerators in use by nobody
 * @largest_rack_free: most free accelerators in one rack
 * @whole_free: free accelerators in servers that are wholly free
 * @queued: jobs waiting
 * @placed: jobs holding accelerators
 */
struct policy_usage {
	int64_t total;
	int64_t free;
	int64_t largest_rack_free;
	int64_t whole_free;
	int64_t queued;
	int64_t placed;
};

void policy_usage(const struct policy *p, struct policy_usage *out);
/** policy_startable_tasks() - the largest gang of @accelerators each that would start now */
int64_t policy_startable_tasks(const struct policy *p, int64_t accelerators);
/** policy_check_invariants() - recompute every index and invariant; NULL, or what is wrong, owned
 * by @ctx */
char *policy_check_invariants(struct policy *p, TALLOC_CTX *ctx);

#endif
