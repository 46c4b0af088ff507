/**
 * DOC: work - jobs, their steps and tasks, and their stored rows
 *
 * A job has steps; a step has identical tasks. A timed job runs its steps
 * several times; each run is an occurrence. A struct work_group is one step of
 * one occurrence and is stored as one row for each WORK_ROW_TASKS of its tasks.
 * The module does no I/O; wall-clock times are in ms since 1970.
 *
 * Tasks are placed, released and ended through functions of this module, which
 * update the totals of the server and mark the row as changed.
 */
#ifndef WORK_H
#define WORK_H

#include "fleet/fleet.h"

#define WORK_ID_LEN 16 /* hexadecimal digits, chosen by the caller */
#define WORK_STEPS_MAX 64
#define WORK_TASKS_MAX 4096 /* of one step */
#define WORK_OCCURRENCES_MAX 10000
#define WORK_ROW_TASKS 128 /* most tasks of one group's row */
/*
 * Most bytes of one task and its server in a group's row, without a snapshot: an id of 200
 * bytes, an address and numbers.
 */
#define WORK_ROW_TASK_BYTES_MAX 400
#define WORK_ROW_HEAD_BYTES_MAX 100 /* rest of a group's row */
#define WORK_LATE_FACTOR 3 /* multiple of its objective up to which a late job is still useful */

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
/** work_state_parse() - state with this name, or WORK_STATE_COUNT */
enum work_state work_state_parse(const char *name);

/**
 * struct work_step - a set of identical tasks
 * @count: number of tasks
 * @need: resources that one task holds
 * @estimate_ms: declared rough estimate of the run time of one task, in ms
 * @after: indices of earlier steps whose tasks must all be done first
 * @is_gang: the tasks must run at the same time
 * @same_rack: the tasks are much slower when spread over several racks
 * @checkpoints: a stopped task resumes from its latest checkpoint
 * @is_speculative: copies of a task may run in parallel
 * @is_endless: tasks run until the job is cancelled and restart however they end
 * @label: label that the server must have, or NULL
 * @data_rack: rack that holds the data, or NULL; tasks are much slower on other racks
 * @image: names what the tasks run; tasks of one image behave alike. NULL when not given
 * @workload: hash of the queue and @image, set by work_job_finalize()
 * @per_server_max: most tasks of the step on one server, 0 for no limit
 * @critical_path_ms: estimated length of the critical path from the start of this step to
 *	the end of the job, in ms
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
	char *image;
	uint64_t workload;
	unsigned int per_server_max;
	int64_t critical_path_ms;
};

/**
 * struct work_row - state of a stored row relative to memory
 * @version: for a job, version of the stored row that an answer of the store held last, 0 before;
 *	for a group, a version that is not below that of the stored row, 0 when there is none
 * @awaits_version: a later row has been stored, and no answer of the store has held it; a
 *	row of a job with a version above @version is that one or a later one
 * @read_at: while @awaits_version, when the row is read unless the feed brings it before,
 *	monotonic ms
 * @changes: number of changes in memory
 * @stored: value of @changes that the stored row holds
 *
 * In a row of a group, @changes is the number of the group's changes up to the latest one
 * of this row.
 */
struct work_row {
	int64_t version;
	bool awaits_version;
	int64_t read_at;
	uint64_t changes;
	uint64_t stored;
};

#define WORK_TASK_STATES(X)                                                                        \
	X(TASK_WAITING, "waiting") /* has no server */                                             \
	X(TASK_AWAITING_PREEMPTION,                                                                \
	  "promised")		     /* its server is decided, victims there still stop */         \
	X(TASK_ASSIGNED, "assigned") /* assignment is being stored; no start sent yet */           \
	X(TASK_STARTING, "starting") /* start sent, not yet answered */                            \
	X(TASK_RUNNING, "running")   /* confirmed by the server */                                 \
	X(TASK_STOPPING, "stopping") /* stop decided; holds capacity until its end is listed */    \
	X(TASK_UNCONFIRMED, "unsettled") /* stored as assigned by an earlier leader */             \
	X(TASK_ENDING, "ending")	 /* its gang is done; the server has not listed its end */ \
	X(TASK_DONE, "done")

enum work_task_state {
#define X(id, name) id,
	WORK_TASK_STATES(X)
#undef X
};

const char *work_task_state_name(enum work_task_state state);

/**
 * struct work_task - one task
 * @attempt: number of the latest assignment to a server, 0 before the first
 * @failures: number of failed attempts
 * @crash_points: points of blame for crashes of servers that started it, see blame.h
 * @crashes: number of servers that have crashed while they certainly ran it
 * @crash_attempt: latest attempt that got such points
 * @crash_points_unless_listed: points for the end of an earlier incarnation of its server, given
 *	if the present one does not list it
 * @has_run_well: an attempt has run for a while, see blame.h, so the task does not crash servers
 *	as it starts; not stored
 * @server: server that it is on, NULL when waiting or done
 * @snapshot: latest checkpoint, or NULL
 * @started_at: when the latest start was confirmed, monotonic ms; 0 before
 * @stopped_at: when its stop was confirmed, monotonic ms; 0 before
 * @last_poll: number of the latest poll of the server that listed the task; 0 until its
 *	incarnation of the server has listed it
 * @percent: progress last reported, in percent
 * @progress_at: when the progress last changed, monotonic ms
 * @first_percent: first progress reported for the latest attempt, -1 before
 * @first_percent_at: when @first_percent was reported, monotonic ms
 * @state_deadline: monotonic ms; in TASK_UNCONFIRMED the time from which a task on a server
 *	that doesn't answer can no longer be running, in TASK_AWAITING_PREEMPTION the time
 *	limit for its victims to stop
 * @assigned_change: value of @changes of the task's row that must be stored before the start
 *	is sent
 * @unanswered_starts: number of starts sent without an answer
 * @start_sent_at: when the start was first sent, monotonic ms; 0 before
 * @was_up_at_start: its server had listed its runs just before the start was sent
 * @has_lost_start: a start of this or of an earlier attempt had no answer; not stored
 * @was_sent_to_former: its start was sent to an earlier incarnation of its server; the present one
 *	runs it only if its first list names it
 * @awaits_list: in TASK_ASSIGNED, the start is sent once the server has listed its runs
 * @is_resumed: the latest attempt began from a checkpoint
 * @speed_sample: number of the attempt's sample in struct speed, 0 before; for a gang that of its
 *	first member counts
 * @failed_server_id: id of the server where it failed last, or NULL
 */
struct work_task {
	struct work_group *group;
	unsigned int index;
	enum work_task_state state;
	uint32_t attempt;
	uint32_t failures;
	unsigned int crash_points;
	unsigned int crashes;
	uint32_t crash_attempt;
	unsigned int crash_points_unless_listed;
	bool has_run_well;
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
	int64_t start_sent_at;
	bool was_up_at_start;
	bool has_lost_start;
	bool was_sent_to_former;
	bool awaits_list;
	bool is_resumed;
	uint64_t speed_sample;
	char *failed_server_id;
};

/**
 * struct work_group - one step of one occurrence
 * @occurrence: 0 for a job that isn't timed
 * @ready_since: when its first task could have started, monotonic ms; 0 before
 * @waiting_since: since when it has had a task to place, monotonic ms; 0 when it has none
 * @start_not_before: earliest time of its next placement, monotonic ms; not stored
 * @wait_logged_at: when a log line last reported that it waits, monotonic ms; 0 before
 * @done: number of tasks done
 * @failed_attempt: latest attempt of the gang that was counted as failed
 * @earlier_pace: highest pace of a task that was stopped for lack of progress, in percent per
 *	second on a typical server; 0 before. It is not stored.
 * @changes: number of changes in memory of all rows
 * @store_by: time until which storing may be deferred, monotonic ms; 0 when not set
 * @row: rows, each with the next WORK_ROW_TASKS tasks
 * @row_count: number of rows
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
	double earlier_pace;
	int64_t ready_since;
	int64_t waiting_since;
	int64_t start_not_before;
	int64_t wait_logged_at;
	uint64_t changes;
	int64_t store_by;
	struct work_row *row;
	unsigned int row_count;
};

struct plan_account;

/**
 * struct work_job - a job as declared, and its state
 * @id: chosen by the caller
 * @queue: name of the queue that it was submitted to
 * @service: name of the pool of backend servers that runs it
 * @workspace: name of the workspace that owns it
 * @payload: opaque text passed to its tasks
 * @priority: 0 is the highest
 * @attempts: number of failures of a task that make the job fail
 * @stretch: see struct queue
 * @slo_ms: see struct queue
 * @accepted_ms: wall clock when it was accepted
 * @times: number of occurrences, 0 for a job that isn't timed
 * @first_ms: wall clock when the first occurrence is due
 * @every_ms: time between occurrences, in ms
 * @ended_ms: wall clock when it reached a final state
 * @is_unsubmitted: it was cancelled before a submission of it was stored. Its row keeps one that
 *	is still on its way, or is sent again, from starting; to callers the job does not exist
 * @groups: struct work_group of all started occurrences, in order of occurrence and step
 * @occurrences: number of started occurrences
 * @idle_since: since when nothing of the job runs although a task's turn has come, monotonic
 *	ms; 0 when not so
 * @idle_report_at: when the next log line reports that, monotonic ms
 * @is_stored_alone: the store has rejected a transaction with rows of this job and others, so
 *	its rows are stored by a transaction of their own
 * @store_not_before: earliest time of the next transaction with rows of this job, monotonic ms
 * @account: account in which plan counts the job's work, see plan_share.h; NULL before, not stored
 * @run_ratio: estimated real run time on a typical server divided by the declared one, 1.0 while
 *	not known; see speed_job_ratio(). It is not stored
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
	bool is_unsubmitted;
	GPtrArray *groups;
	unsigned int occurrences;
	int64_t idle_since;
	int64_t idle_report_at;
	bool is_stored_alone;
	int64_t store_not_before;
	struct plan_account *account;
	double run_ratio;
	struct work_row row;
};

/** work_id_is_valid() - true for WORK_ID_LEN hexadecimal digits */
bool work_id_is_valid(struct str id);

/** work_job_new() - create a job owned by @ctx, with zeroed steps and no occurrence */
struct work_job *work_job_new(TALLOC_CTX *ctx, struct str id, unsigned int step_count);
/** work_job_new_unsubmitted() - job of @workspace that is cancelled and was not submitted before */
struct work_job *work_job_new_unsubmitted(TALLOC_CTX *ctx, struct str id, const char *workspace,
					  int64_t wall_ms);
/**
 * work_job_finalize() - validate the job and compute critical paths
 *
 * Return: NULL, or the reason why the job is invalid.
 */
const char *work_job_finalize(struct work_job *job);
/** work_job_has_ended() - true if complete, failed or cancelled */
bool work_job_has_ended(const struct work_job *job);
/**
 * work_job_start_due() - create the groups of occurrences due at wall clock @wall_ms
 *
 * Return: true if an occurrence was started.
 */
bool work_job_start_due(struct work_job *job, int64_t wall_ms);
/**
 * work_job_start_through() - create the groups of all occurrences up to @occurrence
 *
 * Includes @occurrence itself, and occurrences that are not due yet.
 */
void work_job_start_through(struct work_job *job, unsigned int occurrence);
/**
 * work_job_next_due() - wall clock in ms when the next occurrence is due
 *
 * Return: 0 when no occurrence is left, 1 for a job that isn't timed.
 */
int64_t work_job_next_due(const struct work_job *job);
/** work_job_all_tasks_done() - true if every task of every occurrence is done */
bool work_job_all_tasks_done(const struct work_job *job);
/** work_job_set_state() - change the state; ignored once the job has ended */
void work_job_set_state(struct work_job *job, enum work_state state, int64_t wall_ms);
/** work_job_group() - group of a step, NULL if the occurrence is not started or no such step */
struct work_group *work_job_group(const struct work_job *job, unsigned int occurrence,
				  unsigned int step);

/** work_due_ms() - wall clock in ms from which an occurrence's objective counts */
int64_t work_due_ms(const struct work_job *job, unsigned int occurrence);
/** work_objective_ms() - objective for the time from due to done of an occurrence, in ms */
int64_t work_objective_ms(const struct work_job *job);

/** work_group_is_unblocked() - true if the job has not ended and the preceding steps are done */
bool work_group_is_unblocked(const struct work_group *group);
/**
 * work_group_is_ready() - true if the group has tasks to place now
 *
 * The job must not have ended, the preceding steps must be done, and all
 * members of a gang must be waiting.
 */
bool work_group_is_ready(const struct work_group *group);
/** work_group_waiting_count() - number of tasks in TASK_WAITING */
unsigned int work_group_waiting_count(const struct work_group *group);
/**
 * work_group_count() - number of tasks that wait, and of those that have a server
 * @held: number of tasks whose server is decided and that are not done
 */
void work_group_count(const struct work_group *group, unsigned int *waiting, unsigned int *held);

/** work_group_partly_awaits_preemption() - some, but not all members of a gang await preemption */
bool work_group_partly_awaits_preemption(const struct work_group *group);

/* ---- changes of a task ---- */

/** work_task_await_preemption() - set aside capacity of @sv that victims will free */
void work_task_await_preemption(struct work_task *t, struct fleet_server *sv);
/** work_task_assign() - assign the next attempt to @sv; capacity set aside becomes used */
void work_task_assign(struct work_task *t, struct fleet_server *sv);
/**
 * work_task_assign_gang() - assign all members of a gang
 * @servers: one server for each task
 *
 * All members get the same attempt number, above all earlier ones, and resume
 * from one snapshot.
 */
void work_task_assign_gang(struct work_group *group, struct fleet_server *const *servers);
/**
 * work_task_change_incarnation() - move the task to incarnation @sv of its server
 *
 * Used when @sv may have accepted the start that was sent to an earlier one. It would run from the
 * beginning there.
 */
void work_task_change_incarnation(struct work_task *t, struct fleet_server *sv);
/** work_task_release() - free the capacity of a task that no longer runs; it waits again */
void work_task_release(struct work_task *t);
/** work_task_finish() - mark as done and free its capacity */
void work_task_finish(struct work_task *t);
/** work_task_set_ending() - count as done, but hold capacity until work_task_finish() */
void work_task_set_ending(struct work_task *t);
/**
 * work_task_record_failure() - count a failure of the current attempt
 *
 * Return: true if the attempts are used up; never for an endless step.
 */
bool work_task_record_failure(struct work_task *t);
/*
 * A task with so many points is given up: a crash counts for two where it was clearly the
 * task's, else for one. The rules allow it from two crashes on, and at most two starts after the
 * third. A crash that no leader saw may not have been under the task.
 */
#define WORK_CRASH_POINTS_MAX 5
#define WORK_CRASHES_MIN 2 /* under which the task has certainly run, before it is given up */
#define WORK_CRASH_SUSPECT_POINTS 2 /* from so many on it starts on a server with few others */
#define WORK_CRASH_UNSEEN_POINTS 1  /* for a crash that no leader saw, only a stored row shows */
/**
 * work_task_record_crash() - record that the current attempt's server has crashed
 * @points: 0 changes nothing
 * @is_certain: the task has certainly run there
 *
 * An attempt counts once: a stop follows the task to the server's next incarnation, which may
 * crash as well, and a row may be read twice. Each member of a gang has points of its own, as
 * the servers of the others may have crashed for another reason.
 *
 * Return: true if the task must be given up; never for an endless step.
 */
bool work_task_record_crash(struct work_task *t, unsigned int points, bool is_certain);
/** work_task_has_run() - it has certainly run on its server */
bool work_task_has_run(const struct work_task *t);
/** work_task_is_given_up() - it has so many points that it must not start again */
bool work_task_is_given_up(const struct work_task *t);
/** work_task_set_snapshot() - set the latest checkpoint; an empty string is ignored */
void work_task_set_snapshot(struct work_task *t, struct str snapshot);
/** work_task_is_placed() - true if it counts in the used capacity of its server */
bool work_task_is_placed(const struct work_task *t);

/* ---- rows ---- */

/** work_job_encode() - value of the job's row, owned by @ctx */
char *work_job_encode(TALLOC_CTX *ctx, const struct work_job *job);
/** work_job_decode() - job owned by @ctx, without groups, or NULL when the row is invalid */
struct work_job *work_job_decode(TALLOC_CTX *ctx, struct str id, struct str value);
/** work_step_row_count() - number of rows of a group of @step */
unsigned int work_step_row_count(const struct work_step *step);
/** work_job_group_row_bytes() - upper bound of a row of the job's groups without snapshots */
int64_t work_job_group_row_bytes(const struct work_job *job);
/** work_group_key() - key of the row @index of a group, owned by @ctx */
char *work_group_key(TALLOC_CTX *ctx, const struct work_job *job, unsigned int occurrence,
		     unsigned int step, unsigned int index);
/** work_group_has_changes() - a row has changes that are not stored */
bool work_group_has_changes(const struct work_group *group);
/** work_group_is_stored() - the group's changes up to @changes are stored */
bool work_group_is_stored(const struct work_group *group, uint64_t changes);
/** work_group_encode() - value of the group's row @index, owned by @ctx */
char *work_group_encode(TALLOC_CTX *ctx, const struct work_group *group, unsigned int index,
			bool with_snapshots);
/**
 * work_group_merge() - merge a stored row into the group
 * @group: a new group, or one whose row another leader has written
 * @index: index of the row
 * @state_deadline: when a task that its server doesn't list can no longer be running,
 *	monotonic ms
 *
 * Ends, failures and higher attempts that are only in the row are taken over.
 * A waiting task that the row places on a server becomes TASK_UNCONFIRMED; an
 * unknown server is added to the fleet as unlisted. The newest incarnation of the server may have
 * carried out the start, and answered it; if it does not list the task, an earlier one has crashed
 * under it. Row 0 of an earlier version may hold all
 * tasks of the group; all other rows are then marked as changed.
 * Return: false when the row is invalid; the group is then unchanged.
 */
bool work_group_merge(struct work_group *group, unsigned int index, struct str value,
		      struct fleet *fleet, int64_t state_deadline);
/**
 * struct work_group_name - what the key of a group's row holds
 * @id: id of the job
 * @row: index of the row
 */
struct work_group_name {
	char id[WORK_ID_LEN + 1];
	unsigned int occurrence;
	unsigned int step;
	unsigned int row;
};

/** work_group_key_parse() - parse the key of a group's row; false if invalid */
bool work_group_key_parse(const char *key, struct work_group_name *name);

#endif
