/**
 * DOC: schedd - declarations shared by the files of currantlane-schedd
 *
 * The process has one thread. In each failure domain one scheduler is active:
 * it holds the row "sched/DOMAIN" of the platform's table, and backend servers
 * reject commands whose epoch is older than the newest one they have seen.
 * The table holds a row for each job from admission to its end. Running tasks
 * are recorded by the backend servers only, and a scheduler that takes over
 * lists them there.
 */
#ifndef SCHEDD_H
#define SCHEDD_H

#include <tevent.h>

#include "backend/backend.h"
#include "base/base.h"
#include "catalogue/catalogue.h"
#include "cluster/cluster.h"
#include "httpd/httpd.h"
#include "policy/policy.h"
#include "settings/settings.h"
#include "trace/trace.h"

#define TABLE_SCHED "sched"
#define TABLE_EPOCH "epoch" /* changes only at a takeover; writes of jobs check its version */
#define TABLE_QUEUE "queue"
#define TABLE_ENDED "ended"

#define SCHEDD_COUNTERS(X)                                \
	X(SCHED_ADMITTED, "jobs_admitted_total")          \
	X(SCHED_REFUSED, "jobs_refused_total")            \
	X(SCHED_DONE, "jobs_done_total")                  \
	X(SCHED_FAILED, "jobs_failed_total")              \
	X(SCHED_NOT_RUN, "jobs_not_run_total")            \
	X(SCHED_UNKNOWN, "jobs_unknown_total")            \
	X(SCHED_STARTS, "gang_starts_total")              \
	X(SCHED_ABORTS, "gang_starts_aborted_total")      \
	X(SCHED_PREEMPTIONS, "gang_preemptions_total")    \
	X(SCHED_MEMBERS_LOST, "gang_members_lost_total")  \
	X(SCHED_TAKEOVERS, "takeovers_total")             \
	X(SCHED_STEP_DOWNS, "step_downs_total")           \
	X(SCHED_POLLS, "backend_polls_total")             \
	X(SCHED_ORPHANS, "orphan_tasks_stopped_total")    \
	X(SCHED_QUARANTINES, "backend_quarantines_total") \
	X(SCHED_SWEPT, "rows_swept_total")                \
	X(SCHED_STALE, "commands_refused_as_stale_total")

enum schedd_counter {
#define X(id, name) id,
	SCHEDD_COUNTERS(X)
#undef X
		SCHED_COUNT_END
};

enum sched_role { ROLE_STANDBY, ROLE_TAKING_OVER, ROLE_REBUILDING, ROLE_ACTIVE, ROLE_RELEASED };

/**
 * struct backend_server - a backend server of this scheduler's failure domain
 * @id: VM id
 * @base_url: "http://ip:port" of its API
 * @rack: rack id
 * @accelerators: number of its accelerators
 * @is_listed_live: the VM list has it, in state "live"
 * @is_poll_pending: a poll has been sent and not yet answered
 * @last_poll_at: ns of base_now_ns() when the last poll was sent
 * @last_answer_at: ns of base_now_ns() of the last answered poll, at first of its creation
 * @unanswered_since: ns of base_now_ns() of the first poll that failed since the
 *                    last answer, 0 while it answers
 * @is_expired: it has not answered for sched_lease_expiry_ms(), so the leases of
 *              all tasks there have expired
 * @job_count: jobs with members here
 * @failed_jobs: set of ids of the jobs that failed here since the last success or quarantine
 * @quarantined_until: ns of base_now_ns(), 0 when it is not quarantined
 * @quarantines: quarantines since the last success; each doubles the next one
 * @has_seen_epoch: it has answered a poll with the current epoch, and rejects older ones
 */
struct backend_server {
	char *id;
	char *base_url;
	char *rack;
	int64_t accelerators;
	bool is_listed_live;
	bool is_poll_pending;
	int64_t last_poll_at;
	int64_t last_answer_at;
	int64_t unanswered_since;
	bool is_expired;
	unsigned int job_count;
	GHashTable *failed_jobs;
	int64_t quarantined_until;
	unsigned int quarantines;
	bool has_seen_epoch;
};

enum member_state {
	MEMBER_NEW,
	MEMBER_PREPARED,
	MEMBER_RUNNING,
	MEMBER_DONE,
	MEMBER_FAILED,
	MEMBER_GONE, /* neither running nor able to start */
};

/**
 * struct member - the tasks of a job's attempt that are on one backend server
 * @job: the job
 * @server: where the tasks are
 * @tasks: number of tasks there
 * @state: common state of these tasks
 * @is_call_pending: a call for this member has been sent and not yet answered
 * @retry_at: ns of base_now_ns() from which a call may be repeated
 * @running_at: ns of base_now_ns() when the member was first known to run
 * @progress_ms: work done, as reported by the backend server
 */
struct member {
	struct job *job;
	struct backend_server *server;
	int64_t tasks;
	enum member_state state;
	bool is_call_pending;
	int64_t retry_at;
	int64_t running_at;
	int64_t progress_ms;
};

enum job_state {
	JOB_ADMITTING, /* its row is being written */
	JOB_QUEUED,
	JOB_WRITING_ATTEMPT, /* the row of a job that is not idempotent gets its attempt number */
	JOB_PREPARING,
	JOB_STARTING,
	JOB_RUNNING,
	JOB_STOPPING,
	JOB_ENDED,
};

/* why a job is being stopped; decides what follows the stop */
enum stop_reason {
	STOP_NONE,
	STOP_PREEMPT,
	STOP_ABORT, /* not all members could be prepared or started */
	STOP_MEMBER_LOST,
	STOP_MEMBER_FAILED,
	STOP_CANCEL,
	STOP_TIME_LIMIT,
};

/**
 * struct job - a job from admission until its end is forgotten
 * @s: the scheduler
 * @id: job id
 * @spec: the job as submitted
 * @policy_job: its entry in the policy; NULL during admission, while held and once ended
 * @state: current state
 * @stop_reason: why it is or was stopped, for the current attempt
 * @attempt: number of the current attempt, never used twice
 * @has_started: tasks of some attempt may have run
 * @is_loaded: read from its row after a takeover
 * @is_cancel_requested: a caller has cancelled it
 * @is_held: kept from the policy until @hold_until, or until every backend
 *           server has answered
 * @is_row_written: the row in the queue table is known to exist
 * @is_end_written: the row in the table of ended jobs is known to exist
 * @is_write_pending: a write of a row has been sent and not yet answered
 * @retry_write_at: ns of base_now_ns() from which a write may be repeated
 * @row_version: version of its row in the queue table
 * @checkpoint_ms: work contained in the last checkpoint
 * @started_at: ns of base_now_ns() when the attempt was started
 * @step_deadline: ns of base_now_ns() by which preparing, starting or writing a
 *                 checkpoint must be finished
 * @hold_until: ns of base_now_ns() before which the job isn't queued again: its old
 *              members may still run, or the back-off after an abort lasts
 * @failures: attempts ended by a failed member
 * @consecutive_aborts: attempts in a row that ended before all members ran
 * @members: members of the current attempt
 * @member_count: number of entries in @members
 * @outcome: set once it has ended
 * @reason: text for the caller, set once it has ended
 * @admitted_at: ns of base_now_ns() of its admission
 * @ended_at: ns of base_now_ns() of its end
 * @span: trace span of the job
 * @submit_request: submission that is answered once the row is written, or NULL
 * @submit_deadline: ns of base_now_ns() by which the row must be written
 */
struct job {
	struct schedd *s;
	char *id;
	json_t *spec;
	struct policy_job *policy_job;
	enum job_state state;
	enum stop_reason stop_reason;
	int64_t attempt;
	bool has_started;
	bool is_loaded;
	bool is_cancel_requested;
	bool is_held;
	bool is_row_written;
	bool is_end_written;
	bool is_write_pending;
	int64_t retry_write_at;
	int64_t row_version;
	int64_t checkpoint_ms;
	int64_t started_at;
	int64_t step_deadline;
	int64_t hold_until;
	unsigned int failures;
	unsigned int consecutive_aborts;
	struct member *members;
	unsigned int member_count;
	enum outcome outcome;
	const char *reason;
	int64_t admitted_at;
	int64_t ended_at;
	struct trace_span span;
	struct onc_request *submit_request;
	int64_t submit_deadline;
};

/**
 * struct schedd - state of the process
 * @settings: settings of this VM
 * @ev: event loop
 * @cluster: VM list, catalogue entries and notes shared with peers
 * @catalogue: current catalogue, NULL until it has been received
 * @http: HTTP client for backend servers and the platform
 * @platform: client of the table service
 * @policy: placement policy, NULL on a standby
 * @counters: metrics
 * @role: what this scheduler is to its failure domain
 * @incarnation: wall clock in us at the start of the process; distinguishes it
 *               from earlier processes of this VM
 * @epoch: number of the current or last leadership; sent with every command
 * @epoch_row_version: version of the epoch row; 0 until the rebuild has read the row
 * @sched_row_version: version of the row "sched/DOMAIN" as last written or read by its holder
 * @seen_row_version: version of the row as last read by a standby
 * @row_seen_at: ns of base_now_ns() when a standby first read that version
 * @no_takeover_before: ns of base_now_ns(); back-off after a handover
 * @is_lead_call_pending: a call about the row "sched/DOMAIN" is not yet answered
 * @is_stopping: a planned stop has begun
 * @is_stopped: leave the event loop
 * @servers: id to struct backend_server
 * @jobs: id to struct job: queued and running jobs, and those that ended most recently
 * @active_jobs: set of the struct job that gang_step() handles
 * @ended_ids: ids of ended jobs in the order of their end
 * @scan_cursor: last key read by the scan of the queue
 * @found_tasks: tasks listed by backend servers during a rebuild, by job id
 * @is_queue_scanned: the rebuild has read the whole queue
 * @rebuild_deadline: ns of base_now_ns() until which the rebuild waits for backend servers
 * @last_tick_at: ns of base_now_ns() of the last timer tick, 0 before the first
 * @next_held_check_at: ns of base_now_ns() of the next check of held jobs
 * @poll_cursor: position in @servers from which the next tick polls
 * @sweep_cursors: last key swept, for each swept table; NULL to start over
 * @step_event: runs step() once the current event has been handled
 * @is_step_scheduled: @step_event is scheduled
 */
struct schedd {
	const struct settings *settings;
	struct tevent_context *ev;
	struct cluster *cluster;
	struct catalogue *catalogue;
	struct httpc *http;
	struct platform *platform;
	struct policy *policy;
	struct counter_set counters;
	enum sched_role role;
	int64_t incarnation;
	int64_t epoch;
	int64_t epoch_row_version;
	int64_t sched_row_version;
	int64_t seen_row_version;
	int64_t row_seen_at;
	int64_t no_takeover_before;
	bool is_lead_call_pending;
	bool is_stopping;
	bool is_stopped;
	GHashTable *servers;
	GHashTable *jobs;
	GHashTable *active_jobs;
	GQueue ended_ids;
	char *scan_cursor;
	json_t *found_tasks;
	bool is_queue_scanned;
	int64_t rebuild_deadline;
	int64_t last_tick_at;
	int64_t next_held_check_at;
	unsigned int poll_cursor;
	char *sweep_cursors[2];
	struct tevent_immediate *step_event;
	bool is_step_scheduled;
};

void sched_count(struct schedd *s, enum schedd_counter id);
/** sched_set_active() - add the job to, or remove it from, the jobs that gang_step() handles */
void sched_set_active(struct job *job, bool is_active);
/** sched_request_step() - run the policy and all jobs' steps after the current event */
void sched_request_step(struct schedd *s);
/** sched_update_workspaces() - pass the catalogue's guarantees and quotas to the policy */
void sched_update_workspaces(struct schedd *s);
/** sched_now_ms() - the clock of base_now_ns() in ms, as the policy expects it */
int64_t sched_now_ms(void);
/**
 * sched_lease_expiry_ms() - time without contact after which a backend server's tasks have stopped
 *
 * Return: ms after which every lease there has expired, whoever renewed it last.
 */
int64_t sched_lease_expiry_ms(const struct schedd *s);
struct backend_target sched_backend_target(struct schedd *s, const struct backend_server *b);

/* schedd_lead.c: leadership of the failure domain */
/** lead_start() - start as a standby that takes over when there is no active scheduler */
void lead_start(struct schedd *s);
/** lead_release() - planned stop: clear the row's holder, then set @is_stopped */
void lead_release(struct schedd *s);
/** lead_hand_over() - clear the row's holder so that a scheduler on another VM takes over */
void lead_hand_over(struct schedd *s);
/**
 * lead_step_down() - become a standby and drop all jobs from memory
 * @why: reason for the log
 */
void lead_step_down(struct schedd *s, const char *why);

/* schedd_jobs.c: admission, rows, outcomes */
/** jobs_submit() - admit a job; the request is answered once its row is written */
void jobs_submit(struct schedd *s, struct onc_request *req);
/** jobs_state() - answer with the job's status, from memory or from its rows */
void jobs_state(struct schedd *s, struct onc_request *req);
/** jobs_cancel() - end a queued job, or stop a running one */
void jobs_cancel(struct schedd *s, struct onc_request *req);
/** jobs_load() - create a job from its row of the queue table; it is not yet in the policy */
struct job *jobs_load(struct schedd *s, const char *id, json_t *row, int64_t version);
/** jobs_enqueue() - add the job to the policy */
void jobs_enqueue(struct job *job);
/**
 * jobs_end() - record the job's end and write its row
 * @reason: text for the caller; must stay valid as long as the job
 */
void jobs_end(struct job *job, enum outcome outcome, const char *reason);
/** jobs_end_cancelled() - end a cancelled job; the outcome depends on whether it may have run */
void jobs_end_cancelled(struct job *job);
/** jobs_write_attempt() - write the attempt number to the row, then call gang_attempt_written() */
void jobs_write_attempt(struct job *job);
/** jobs_save_checkpoint() - write checkpoint_ms to the row; a lost write only costs time */
void jobs_save_checkpoint(struct job *job);
/** jobs_retry_write() - repeat a failed write of the admission or the end, once it is due */
void jobs_retry_write(struct job *job, int64_t now);
/** jobs_drop_all() - free all jobs and the policy; pending submissions are answered as unsure */
void jobs_drop_all(struct schedd *s);
/** jobs_policy_spec() - the job as the policy takes it; strings are borrowed from @spec */
struct policy_spec jobs_policy_spec(struct schedd *s, const char *id, const json_t *spec);
/** jobs_status() - status document for callers and operators; the caller owns it */
json_t *jobs_status(struct job *job);

/* schedd_gang.c: attempts */
/** gang_start() - start a new attempt on the places that the policy has chosen */
void gang_start(struct job *job);
/** gang_attempt_written() - prepare the members, or end the attempt when @ok is false */
void gang_attempt_written(struct job *job, bool ok);
/** gang_stop() - stop all members; the job is requeued or ended once all have stopped */
void gang_stop(struct job *job, enum stop_reason reason);
/** gang_step() - handle retries, deadlines and completion of one job */
void gang_step(struct job *job, int64_t now);
/**
 * gang_apply_listed_task() - update a member from a task that its backend server lists
 *
 * Return: false when the task belongs to no current attempt.
 */
bool gang_apply_listed_task(struct schedd *s, struct backend_server *b, const json_t *task);
/** gang_mark_member_gone() - record that a member has stopped, or that its lease has expired */
void gang_mark_member_gone(struct member *m);
/** gang_adopt() - continue an attempt whose members a rebuild has found */
void gang_adopt(struct job *job, const struct policy_place *places, unsigned int count);
/** gang_forget_attempt() - let backend servers delete the attempt, once the end is written */
void gang_forget_attempt(struct job *job);
/** gang_server_expired() - mark all unfinished members on the server as gone */
void gang_server_expired(struct schedd *s, struct backend_server *b);
/** gang_members_set() - replace the job's members; places on unknown servers are left out */
void gang_members_set(struct job *job, const struct policy_place *places, unsigned int count);

/* schedd_servers.c: polling, expiry, quarantine */
/** servers_update() - apply the VM list to the backend servers and the policy */
void servers_update(struct schedd *s);
/** servers_poll() - poll the backend servers that are due; hand over when most don't answer */
void servers_poll(struct schedd *s, int64_t now);
/** servers_record_failure() - count a failed job and quarantine the server when it has too many */
void servers_record_failure(struct schedd *s, struct backend_server *b, const char *job);
/** servers_record_success() - clear the server's failed jobs and end its probation */
void servers_record_success(struct backend_server *b);
/**
 * servers_exclude_stall() - leave a stall of this process out of the servers' unanswered time
 * @gap: length of the stall in ns
 */
void servers_exclude_stall(struct schedd *s, int64_t gap);
/** servers_reset_epoch() - forget what the servers have answered in earlier epochs */
void servers_reset_epoch(struct schedd *s);

/* schedd_sweep.c: expired rows */
/** sweep_start() - start the timer that deletes expired rows while this scheduler is active */
void sweep_start(struct schedd *s);

/* schedd_rebuild.c: state after a takeover */
/** rebuild_start() - read the queue and list the tasks of all backend servers */
void rebuild_start(struct schedd *s);
/**
 * rebuild_finish_if_ready() - become active once the rows are read and the servers have answered
 *
 * REBUILD_TIMEOUT_MS limits the wait for the servers.
 */
void rebuild_finish_if_ready(struct schedd *s, int64_t now);
/**
 * rebuild_exclude_stall() - extend the time for which jobs are held by a stall of this process
 * @gap: length of the stall in ns
 */
void rebuild_exclude_stall(struct schedd *s, int64_t gap);
/** rebuild_enqueue_held() - queue or adopt held jobs once all servers answered or leases expired */
void rebuild_enqueue_held(struct schedd *s, int64_t now);
/** rebuild_add_task() - record a task that a backend server listed during the rebuild */
void rebuild_add_task(struct schedd *s, struct backend_server *b, const json_t *task);

#endif
