/**
 * DOC: schedd - what the files of currantlane-schedd share
 *
 * One thread. One scheduler of a failure domain is active; it holds the row
 * "sched/DOMAIN" of the platform's table and the epoch that fences its
 * commands. Jobs are rows from admission to end; what runs is kept by the
 * backend servers themselves and asked for after a takeover.
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
#define TABLE_EPOCH "epoch" /* changes at a takeover only; job writes depend on it */
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

/* a backend server of the own failure domain */
struct backend_server {
	char *id;
	char *base_url;
	char *rack;
	int64_t accelerators;
	bool is_listed_live;
	bool is_poll_pending;
	int64_t last_poll_at;
	int64_t last_answer_at;	  /* last answer, or the start of the epoch */
	int64_t unanswered_since; /* 0 while it answers */
	bool is_expired;	  /* its leases have lapsed for certain */
	unsigned int job_count;	  /* jobs with members here */
	GHashTable *failed_jobs;  /* distinct jobs that failed here since the last success */
	int64_t quarantined_until;
	unsigned int quarantines;
	bool has_seen_epoch; /* it has seen this epoch */
};

enum member_state {
	MEMBER_NEW,
	MEMBER_PREPARED,
	MEMBER_RUNNING,
	MEMBER_DONE,
	MEMBER_FAILED,
	MEMBER_GONE, /* certainly neither running nor able to start */
};

/* the tasks of a job's attempt that are on one backend server */
struct member {
	struct job *job;
	struct backend_server *server;
	int64_t tasks;
	enum member_state state;
	bool is_call_pending;
	int64_t retry_at;
	int64_t running_at; /* when it was first known to run */
	int64_t progress_ms;
};

enum job_state {
	JOB_ADMITTING, /* its row is being written */
	JOB_QUEUED,
	JOB_WRITING_ATTEMPT, /* the attempt of work that must not run twice is being written */
	JOB_PREPARING,
	JOB_STARTING,
	JOB_RUNNING,
	JOB_STOPPING,
	JOB_ENDED,
};

/* why a job is being stopped, and so what happens afterwards */
enum stop_reason {
	STOP_NONE,
	STOP_PREEMPT,
	STOP_ABORT, /* not all members could be prepared or started */
	STOP_MEMBER_LOST,
	STOP_MEMBER_FAILED,
	STOP_CANCEL,
	STOP_TIME_LIMIT,
};

struct job {
	struct schedd *s;
	char *id;
	json_t *spec;
	struct policy_job *policy_job;
	enum job_state state;
	enum stop_reason stop_reason;
	int64_t attempt;
	bool has_started; /* some attempt may have run */
	bool is_loaded;	  /* from its row, at a takeover */
	bool is_cancel_requested;
	bool is_held; /* not given to the policy before hold_until */
	bool is_row_written;
	bool is_end_written;
	bool is_write_pending;
	int64_t retry_write_at;
	int64_t row_version;
	int64_t checkpoint_ms;
	int64_t started_at;
	int64_t step_deadline; /* of preparing, starting or writing a checkpoint */
	int64_t hold_until;    /* not to be queued before: old members may still run */
	unsigned int failures;
	unsigned int consecutive_aborts; /* in a row */
	struct member *members;
	unsigned int member_count;
	enum outcome outcome;
	const char *reason;
	int64_t admitted_at;
	int64_t ended_at;
	struct trace_span span;
	struct onc_request *submit_request; /* waits for the row */
	int64_t submit_deadline;
};

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
	int64_t no_takeover_before; /* after handing over */
	bool is_lead_call_pending;
	bool is_stopping;
	bool is_stopped;
	GHashTable *servers;	 /* id to struct backend_server */
	GHashTable *jobs;	 /* id to struct job, queued, running and lately ended */
	GHashTable *active_jobs; /* set of struct job that gang_step() looks at */
	GQueue ended_ids;	 /* ids in the order of their end */
	char *scan_cursor;	 /* last key of the queue's scan */
	json_t *found_tasks;	 /* tasks found at a takeover, with their server */
	bool is_queue_scanned;
	int64_t rebuild_deadline;
	int64_t last_tick_at;
	int64_t next_held_check_at; /* when jobs held back are looked at */
	unsigned int poll_cursor;
	char *sweep_cursors[2]; /* cursors of the sweep, a table each */
	struct tevent_immediate *step_event;
	bool is_step_scheduled;
};

void sched_count(struct schedd *s, enum schedd_counter id);
/** sched_set_active() - whether gang_step() has to look at the job */
void sched_set_active(struct job *job, bool is_active);
/** sched_request_step() - run the policy and the jobs' next steps soon */
void sched_request_step(struct schedd *s);
/** sched_update_workspaces() - tell the policy the catalogue's guarantees and quotas */
void sched_update_workspaces(struct schedd *s);
int64_t sched_now_ms(void);
/** sched_lease_expiry_ms() - after this long without contact, tasks there have stopped for certain
 */
int64_t sched_lease_expiry_ms(const struct schedd *s);
struct backend_target sched_backend_target(struct schedd *s, const struct backend_server *b);

/* schedd_lead.c */
void lead_start(struct schedd *s);
void lead_release(struct schedd *s);
/** lead_hand_over() - give up the row so that a scheduler on another VM takes over */
void lead_hand_over(struct schedd *s);
void lead_step_down(struct schedd *s, const char *why);

/* schedd_jobs.c: admission, rows, outcomes */
void jobs_submit(struct schedd *s, struct onc_request *req);
void jobs_state(struct schedd *s, struct onc_request *req);
void jobs_cancel(struct schedd *s, struct onc_request *req);
struct job *jobs_load(struct schedd *s, const char *id, json_t *row, int64_t version);
void jobs_enqueue(struct job *job);
void jobs_end(struct job *job, enum outcome outcome, const char *reason);
/** jobs_end_cancelled() - the outcome depends on whether it may have run */
void jobs_end_cancelled(struct job *job);
/** jobs_write_attempt() - write the row's attempt; gang_attempt_written() follows */
void jobs_write_attempt(struct job *job);
/** jobs_save_checkpoint() - write the row's checkpoint; losing it costs only time */
void jobs_save_checkpoint(struct job *job);
/** jobs_retry_write() - write again what the platform did not take */
void jobs_retry_write(struct job *job, int64_t now);
void jobs_drop_all(struct schedd *s);
/** jobs_policy_spec() - the policy's view of the job */
struct policy_spec jobs_policy_spec(struct schedd *s, const char *id, const json_t *spec);
json_t *jobs_status(struct job *job);

/* schedd_gang.c: attempts */
void gang_start(struct job *job);
void gang_attempt_written(struct job *job, bool ok);
void gang_stop(struct job *job, enum stop_reason reason);
/** gang_step() - retries, deadlines and completion of one job */
void gang_step(struct job *job, int64_t now);
/** gang_apply_listed_task() - a backend server listed this task; false when it is nobody's */
bool gang_apply_listed_task(struct schedd *s, struct backend_server *b, const json_t *task);
/** gang_mark_member_gone() - a member that its backend server does not list any more */
void gang_mark_member_gone(struct member *m);
/** gang_adopt() - go on with members that a takeover found */
void gang_adopt(struct job *job, const struct policy_place *places, unsigned int count);
/** gang_forget_attempt() - the end is written; backend servers may forget the attempt */
void gang_forget_attempt(struct job *job);
void gang_server_expired(struct schedd *s, struct backend_server *b);
void gang_members_set(struct job *job, const struct policy_place *places, unsigned int count);

/* schedd_servers.c: polling, loss, quarantine */
void servers_update(struct schedd *s);
void servers_poll(struct schedd *s, int64_t now);
void servers_record_failure(struct schedd *s, struct backend_server *b, const char *job);
void servers_record_success(struct backend_server *b);
/** servers_exclude_stall() - do not count time in which this process itself stood still */
void servers_exclude_stall(struct schedd *s, int64_t gap);
void servers_reset_epoch(struct schedd *s);

/* schedd_sweep.c */
/** sweep_start() - delete rows that nobody needs any more, slowly, while active */
void sweep_start(struct schedd *s);

/* schedd_rebuild.c */
void rebuild_start(struct schedd *s);
void rebuild_finish_if_ready(struct schedd *s, int64_t now);
/** rebuild_exclude_stall() - hold jobs for as much longer as this process stood still */
void rebuild_exclude_stall(struct schedd *s, int64_t gap);
/** rebuild_enqueue_held() - queue jobs whose old members have stopped for certain */
void rebuild_enqueue_held(struct schedd *s, int64_t now);
/** rebuild_add_task() - a task found at a takeover */
void rebuild_add_task(struct schedd *s, struct backend_server *b, const json_t *task);

#endif
