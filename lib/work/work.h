/**
 * DOC: work - jobs, their steps and tasks, and the rows that keep them
 *
 * A job has steps; a step has tasks that are alike. A timed job runs its steps
 * several times; each time is an occurrence. A struct work_group is one step
 * of one occurrence and the unit of what is stored. Nothing here does input or
 * output; wall-clock times are in ms since 1970.
 *
 * Every change of a task goes through a function of this module, which keeps
 * the server's totals and marks the row as changed.
 */
#ifndef WORK_H
#define WORK_H

#include "fleet/fleet.h"

#define WORK_ID_LEN 16 /* hexadecimal digits, chosen by the caller */
#define WORK_STEPS_MAX 64
#define WORK_TASKS_MAX 4096 /* of one step */
#define WORK_OCCURRENCES_MAX 10000
#define WORK_LATE_FACTOR 3 /* a job is worth something up to so many times its objective */

#define WORK_STATES(X)               \
	X(WORK_QUEUED, "queued")     \
	X(WORK_RUNNING, "running")   \
	X(WORK_COMPLETE, "complete") \
	X(WORK_FAILED, "failed")     \
	X(WORK_CANCELLED, "cancelled")

enum work_state {
#define X(id, name) id,
	WORK_STATES(X)
#undef X
		WORK_STATE_COUNT
};

const char *work_state_name(enum work_state state);
/** work_state_parse() - state of a name, or WORK_STATE_COUNT */
enum work_state work_state_parse(const char *name);

/**
 * struct work_step - tasks that are alike
 * @count: number of tasks
 * @need: what one task takes
 * @estimate_ms: declared run time of one task, rough, in ms
 * @after: earlier steps whose tasks must all be done first
 * @is_gang: the tasks only work together
 * @same_rack: the tasks are much slower on more than one rack
 * @checkpoints: a stopped task goes on from where it was
 * @is_speculative: copies may run in parallel
 * @is_endless: runs until the job is cancelled and is restarted however it ends
 * @label: label that the server must have, or NULL
 * @data_rack: rack where the data is; much slower elsewhere, or NULL
 * @per_server_max: most tasks of the step on one server, 0 for no limit
 * @critical_path_ms: estimate of the longest chain from this step on, this one included
 */
struct work_step {
	unsigned int count;
	struct fleet_resources need;
	int64_t estimate_ms;
	unsigned int *after;
	unsigned int after_count;
	bool is_gang;
	bool same_rack;
	bool checkpoints;
	bool is_speculative;
	bool is_endless;
	char *label;
	char *data_rack;
	unsigned int per_server_max;
	int64_t critical_path_ms;
};

/**
 * struct work_row - how far the stored row follows what is in memory
 * @version: version of the stored row, 0 when there is none
 * @changes: counts changes in memory
 * @stored: value of @changes that the stored row holds
 * @store_by: it may wait until then to be stored, monotonic ms; 0 when not set
 */
struct work_row {
	int64_t version;
	uint64_t changes;
	uint64_t stored;
	int64_t store_by;
};

#define WORK_TASK_STATES(X)                                                                        \
	X(TASK_WAITING, "waiting")		/* has no server */                                \
	X(TASK_AWAITING_PREEMPTION, "promised") /* waits for others to stop on its server */       \
	X(TASK_ASSIGNED, "assigned")		/* its server is being stored; no order yet */     \
	X(TASK_STARTING, "starting")		/* the start was sent and not yet answered */      \
	X(TASK_RUNNING, "running")		/* the server has confirmed it */                  \
	X(TASK_STOPPING, "stopping")	 /* a stop was decided; holds its room until listed */     \
	X(TASK_UNCONFIRMED, "unsettled") /* stored as assigned by an earlier leader */             \
	X(TASK_ENDING, "ending")	 /* its gang is done; its server has not listed its end */ \
	X(TASK_DONE, "done")

enum work_task_state {
#define X(id, name) id,
	WORK_TASK_STATES(X)
#undef X
};

const char *work_task_state_name(enum work_task_state state);

/**
 * struct work_task - one task
 * @attempt: number of its newest start, 0 before the first
 * @failures: starts that ended as failed
 * @server: where it is, NULL when waiting or done
 * @snapshot: newest checkpoint, or NULL
 * @started_at: when the newest start was confirmed, monotonic ms; 0 before
 * @stopped_at: when its stop was confirmed, monotonic ms; 0 before
 * @last_poll: number of the look that listed it last
 * @percent: progress last seen
 * @progress_at: when the progress last changed, monotonic ms
 * @first_percent: the progress of the newest start when it was first seen, -1 before
 * @first_percent_at: when that was, monotonic ms
 * @state_deadline: when a task on a server that doesn't answer surely runs no more, monotonic ms
 * @assigned_change: group change that must be stored before the start is sent
 * @unanswered_starts: starts sent without an answer
 * @avoid: id of the server where it failed last, or NULL
 */
struct work_task {
	struct work_group *group;
	unsigned int index;
	enum work_task_state state;
	uint32_t attempt;
	uint32_t failures;
	struct fleet_server *server;
	char *snapshot;
	int64_t started_at;
	int64_t stopped_at;
	uint64_t last_poll;
	int percent;
	int64_t progress_at;
	int first_percent;
	int64_t first_percent_at;
	int64_t state_deadline;
	uint64_t assigned_change;
	unsigned int unanswered_starts;
	char *avoid;
};

/**
 * struct work_group - one step of one occurrence
 * @occurrence: 0 for a job that isn't timed
 * @ready_since: when its first task could have started, monotonic ms; 0 before
 * @wait_logged_at: when it was last logged that nothing takes it, monotonic ms
 * @done: number of tasks done
 * @failed_attempt: attempt of the gang whose failure was counted last
 */
struct work_group {
	struct work_job *job;
	const struct work_step *step;
	unsigned int step_index;
	unsigned int occurrence;
	struct work_task *task;
	unsigned int count;
	unsigned int done;
	uint32_t failed_attempt;
	int64_t ready_since;
	int64_t wait_logged_at;
	struct work_row row;
};

/**
 * struct work_job - a job as declared and how far it is
 * @id: chosen by the caller
 * @queue: name of the queue it came through
 * @service: pool of servers that runs it
 * @workspace: whose job it is
 * @payload: what its tasks are told, opaque
 * @priority: 0 comes first
 * @attempts: a task that failed this often fails the job
 * @stretch: see struct queue
 * @slo_ms: see struct queue
 * @accepted_ms: wall clock when it was accepted
 * @times: number of occurrences, 0 for a job that isn't timed
 * @first_ms: wall clock when the first occurrence is due
 * @every_ms: time between occurrences
 * @ended_ms: wall clock when it reached a final state
 * @groups: struct work_group of all occurrences begun, steps in order
 * @occurrences: number of occurrences begun
 */
struct work_job {
	char id[WORK_ID_LEN + 1];
	char *queue;
	char *service;
	char *workspace;
	char *payload;
	int64_t priority;
	int64_t attempts;
	double stretch;
	int64_t slo_ms;
	int64_t accepted_ms;
	struct work_step *step;
	unsigned int step_count;
	int64_t times;
	int64_t first_ms;
	int64_t every_ms;
	enum work_state state;
	int64_t ended_ms;
	GPtrArray *groups;
	unsigned int occurrences;
	struct work_row row;
};

bool work_id_is_valid(struct str id);

struct work_job *work_job_new(TALLOC_CTX *ctx, struct str id, unsigned int step_count);
/** work_job_finalize() - check the steps and work out chains; NULL, or what is wrong */
const char *work_job_finalize(struct work_job *job);
/** work_job_has_ended() - complete, failed or cancelled */
bool work_job_has_ended(const struct work_job *job);
/** work_job_start_due() - create the groups of occurrences due at wall clock @wall_ms */
bool work_job_start_due(struct work_job *job, int64_t wall_ms);
/** work_job_start_through() - create the groups of all occurrences up to this one, whatever the
 * time */
void work_job_start_through(struct work_job *job, unsigned int occurrence);
/** work_job_next_due() - wall clock of the next occurrence, 0 when there is none */
int64_t work_job_next_due(const struct work_job *job);
/** work_job_all_tasks_done() - every task of every occurrence is done */
bool work_job_all_tasks_done(const struct work_job *job);
void work_job_set_state(struct work_job *job, enum work_state state, int64_t wall_ms);
struct work_group *work_job_group(const struct work_job *job, unsigned int occurrence,
				  unsigned int step);

/** work_due_ms() - wall clock from which an occurrence's time counts */
int64_t work_due_ms(const struct work_job *job, unsigned int occurrence);
/** work_objective_ms() - time that an occurrence may take and be in time, in ms */
int64_t work_objective_ms(const struct work_job *job);

/** work_group_is_ready() - has tasks to place, and nothing else must happen before */
bool work_group_is_ready(const struct work_group *group);
/** work_group_waiting_count() - number of tasks without a server */
unsigned int work_group_waiting_count(const struct work_group *group);

/** work_group_partly_awaits_preemption() - a gang of which some members were promised room, but not
 * all */
bool work_group_partly_awaits_preemption(const struct work_group *group);

/* ---- changes of a task ---- */

/** work_task_await_preemption() - hold room at @sv, to be freed by others that stop */
void work_task_await_preemption(struct work_task *t, struct fleet_server *sv);
/** work_task_assign() - next attempt, at @sv; a promise is turned into use */
void work_task_assign(struct work_task *t, struct fleet_server *sv);
/** work_task_assign_gang() - all members get the same attempt, above all earlier ones */
void work_task_assign_gang(struct work_group *group, struct fleet_server *const *servers);
/** work_task_change_incarnation() - its start may have been taken by another incarnation of its
 * server */
void work_task_change_incarnation(struct work_task *t, struct fleet_server *sv);
/** work_task_release() - it surely does not run any more: give the room back and wait again */
void work_task_release(struct work_task *t);
/** work_task_finish() - it ended well */
void work_task_finish(struct work_task *t);
/** work_task_set_ending() - its gang ended well; it holds its room until work_task_finish() */
void work_task_set_ending(struct work_task *t);
/** work_task_record_failure() - its present attempt failed; true when the attempts are used up */
bool work_task_record_failure(struct work_task *t);
/** work_task_set_snapshot() - newest checkpoint; empty strings are ignored */
void work_task_set_snapshot(struct work_task *t, struct str snapshot);
/** work_task_is_placed() - counts as used on its server */
bool work_task_is_placed(const struct work_task *t);

/* ---- rows ---- */

/** work_job_encode() - value of the job's row, owned by @ctx */
char *work_job_encode(TALLOC_CTX *ctx, const struct work_job *job);
/** work_job_decode() - the job owned by @ctx, without groups, or NULL when it can't be read */
struct work_job *work_job_decode(TALLOC_CTX *ctx, struct str id, struct str value);
/** work_group_key() - key of the group's row, owned by @ctx */
char *work_group_key(TALLOC_CTX *ctx, const struct work_group *group);
char *work_group_encode(TALLOC_CTX *ctx, const struct work_group *group);
/**
 * work_group_merge() - take over what a stored row says
 * @group: a new group, or one whose row somebody else has written
 * @state_deadline: when a task that its server doesn't list surely runs no more, monotonic ms
 *
 * What the row knows more than the group is added: ends, failures, higher
 * attempts. A waiting task with a server becomes TASK_UNCONFIRMED; a server that
 * is not known is added to the fleet as unlisted.
 * Return: false when the row can't be read; the group is then unchanged.
 */
bool work_group_merge(struct work_group *group, struct str value, struct fleet *fleet,
		      int64_t state_deadline);
/** work_group_key_parse() - job id, occurrence and step of a group's key */
bool work_group_key_parse(const char *key, char id[WORK_ID_LEN + 1], unsigned int *occurrence,
			  unsigned int *step);

#endif
