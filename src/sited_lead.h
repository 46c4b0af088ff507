/**
 * DOC: sited_lead - state of the leader: jobs, backend servers, transactions in flight
 */
#ifndef SITED_LEAD_H
#define SITED_LEAD_H

#include "blame/blame.h"
#include "plan/plan_share.h"
#include "interference/runs.h"
#include "renewal/renewal.h"
#include "speed/speed.h"
#include "sited.h"
#include "starts/starts.h"

/*
 * A leader that the store has not confirmed for this long starts nothing and renews no
 * leases, so that the next leader knows when leases on unreachable servers have expired.
 */
#define LEAD_UNCONFIRMED_MAX_MS RENEWAL_GRANTS_MAX_MS

/* in 103 ms of local time a server's clock, which may run 2 % slow, advances by at least 100 ms */
#define LEAD_CLOCK_MARGIN_PERCENT 103

struct agents;
struct commit;

/**
 * struct lead_grant - stored time up to which this leader starts tasks and renews leases
 *
 * Local times include the time for which this VM was suspended, as the store's clock does.
 * @until: that time, ms on base_boottime_ns()'s clock; 0 before it was first stored
 * @row_version: version of the row that holds it, or after a write a version that is not below
 *	it; 0 when there is none
 * @sent_ms: bound in the latest write, ms on the store's clock
 * @sent_at: when that write was sent, ms on base_boottime_ns()'s clock
 * @floor_ms: the bound of an earlier leader, ms on the store's clock; the row never holds less
 * @clock_ms: the store's clock in its last answer, ms
 * @clock_at: when the call that it answered was sent, ms on base_boottime_ns()'s clock
 * @former_over_at: when everything that the former leader started has ended on servers that it
 *	renewed last, monotonic ms; INT64_MAX when not known
 */
struct lead_grant {
	int64_t until;
	int64_t row_version;
	int64_t sent_ms;
	int64_t sent_at;
	int64_t floor_ms;
	int64_t clock_ms;
	int64_t clock_at;
	int64_t former_over_at;
};

/**
 * struct lead - one term of this VM as leader
 * @serial: value of lead_serial in struct sited when the term started; rejects late answers
 * @started_at: when this VM became the leader, on base_now_ns()'s clock
 * @row_version: version of the stored row that names this VM as the leader
 * @confirmed_at: when the store last confirmed the leadership, monotonic ms
 * @grant: bound of the leases that this leader grants, and of the former leader's
 * @ticked_at: when the term's timer fired last, on base_boottime_ns()'s clock
 * @resumed_at: when a pause of this VM was last detected, monotonic ms; 0 when never
 * @is_loaded: all rows have been read; until then nothing is placed
 * @loads_in_flight: reads of rows that have not finished
 * @jobs: id to struct work_job, all stored jobs
 * @active: struct work_job that have not ended, or still hold servers or unstored changes
 * @claims: version of the row that claims each partition for this leader, 0 before the claim
 * @commits: transaction in flight of each partition, or NULL
 * @was_alone: the partition's latest transaction was of a job that is stored alone
 * @commit_not_before: earliest time of the partition's next transaction, monotonic ms
 * @must_follow: the feed of jobs has ended and starts again once they have been read
 * @reread_version: oldest version at which a partition's jobs were read again
 * @demand: recent demand of urgent work, from which the headroom is derived
 * @share: what each workspace holds and requests
 * @blame: recent crashes of servers
 * @interference: workloads that slow each other down on one server
 * @runs: what has run on the servers, from which the samples for @interference are taken
 * @speed: estimated speeds of servers and real run times
 * @ended: task of which the end is noted in @speed, else NULL
 * @speed_changes: changes of speed classes that the stored row does not show
 * @speed_write_at: earliest time of the next write of that row, monotonic ms
 * @agents: entry VMs that carry out orders
 * @probes: polls in flight of servers that are unconfirmed or missed their last poll
 * @doubt_probes: first polls in flight of servers that may be cut off
 * @next_probe_index: index in the fleet from which the search for such a server continues
 * @handover: "leases" of the row by which the former leader handed over, see
 *            lead_servers_encode_leases(); NULL when it did not hand over
 * @handover_read_at: when that row was read, monotonic ms
 * @list_version: version up to which the list of backend servers has been applied
 * @round: timer of the requested scheduling round, or NULL
 * @next_round_at: earliest start of the next round, on base_now_ns()'s clock
 * @is_granting: leases may be granted, at the latest tick
 * @knows_evacuations: what this VM knows of evacuations allowed starts, at the latest tick
 * @next_idle_check_at: earliest time of the next search for idle jobs, monotonic ms
 * @idle_jobs: jobs of which nothing has run for some time although a task's turn has come
 * @longest_idle_ms: longest such time of a job, in ms
 * @is_handing_over: handover of leadership in progress; nothing new is placed
 */
struct lead {
	struct sited *d;
	uint64_t serial;
	int64_t term;
	int64_t started_at;
	int64_t row_version;
	int64_t confirmed_at;
	struct lead_grant grant;
	int64_t ticked_at;
	int64_t resumed_at;
	bool is_loaded;
	unsigned int loads_in_flight;
	GHashTable *jobs;
	GPtrArray *active;
	struct fleet *fleet;
	struct plan_scratch *scratch;
	struct plan_demand demand;
	int64_t claims[SITED_PARTITIONS];
	struct commit *commits[SITED_PARTITIONS];
	bool was_alone[SITED_PARTITIONS];
	int64_t commit_not_before[SITED_PARTITIONS];
	bool must_follow;
	int64_t reread_version;
	struct plan_share *share;
	struct blame *blame;
	struct interference *interference;
	struct runs *runs;
	struct speed *speed;
	const struct work_task *ended;
	unsigned int speed_changes;
	int64_t speed_write_at;
	struct agents *agents;
	unsigned int probes;
	unsigned int doubt_probes;
	unsigned int next_probe_index;
	json_t *handover;
	int64_t handover_read_at;
	int64_t list_version;
	struct mtimer *round;
	int64_t next_round_at;
	bool is_granting;
	bool knows_evacuations;
	int64_t next_idle_check_at;
	unsigned int idle_jobs;
	int64_t longest_idle_ms;
	bool is_handing_over;
};

/**
 * struct server_io - polls, orders and leases of one backend server
 * @clock_ms: the server's clock in its last list of runs, ms
 * @clock_at: local time of that answer, monotonic ms; 0 before
 * @clock_boot_ms: the same on base_boottime_ns()'s clock, which counts the time for which this VM
 *                 was suspended
 * @must_list: it is polled although it may be idle: it called a start late, accepted no connection,
 *             or a start waits for its list
 * @heard_at: when it last answered any call, monotonic ms; 0 before
 * @lease_until: latest lease end that this leader has requested, or that an earlier one can
 *               have requested, ms on the server's clock
 * @lease_limit: latest lease end that an agent may request without the leader, ms on the
 *               server's clock; or 0
 * @renewer: hash of that agent's name
 * @grants_in_flight: orders in flight that may grant a lease
 * @grant_sent_at: when the latest of them was sent, monotonic ms
 * @grants_over_at: when all leases have ended that other orders may have granted, in whichever
 *                  incarnation, monotonic ms; 0 when there were none
 * @former_over_at: the same for orders that were sent before this incarnation was known
 * @processed_end: number of the last end that was processed
 * @acknowledged: number of the last end that may be acknowledged: its consequences, and
 *                those of all earlier ends, are stored
 * @dropped_end: number of the last end whose acknowledgement the server has answered; it
 *               lists ends up to this number no more
 * @ends: struct end_note, processed and not yet acknowledged
 * @poll_in_flight: a poll has been sent and not answered
 * @probe_counter: counter of struct lead that the poll in flight counts in, or NULL
 * @is_doubted: the VMs of its failure domain have become silent since its last answer
 * @orders_in_flight: starts and stops in flight
 * @answered_polls: polls answered up to now; numbers them for @last_poll of struct work_task
 * @missed_polls: consecutive failed polls
 * @missed_since: when the first of them failed, monotonic ms; valid while @missed_polls is not 0
 * @next_poll_at: earliest next poll, monotonic ms
 * @last_poll_at: when the newest poll was sent, monotonic ms
 * @poll_gap_ms: from the last answer before the newest poll until that was sent, in ms
 * @answered_at: when a poll was last answered, monotonic ms; 0 before
 * @timer: timer of the next poll, or NULL
 * @agent: index of the agent that carries out its orders, valid for @agent_version
 * @agent_version: version of struct agents at that choice, 0 before the first order
 */
struct server_io {
	struct lead *lead;
	struct fleet_server *sv;
	int64_t clock_ms;
	int64_t clock_at;
	int64_t clock_boot_ms;
	bool must_list;
	int64_t heard_at;
	int64_t lease_until;
	int64_t lease_limit;
	uint64_t renewer;
	unsigned int grants_in_flight;
	int64_t grant_sent_at;
	int64_t grants_over_at;
	int64_t former_over_at;
	int64_t processed_end;
	int64_t acknowledged;
	int64_t dropped_end;
	GQueue ends;
	bool poll_in_flight;
	unsigned int *probe_counter;
	bool is_doubted;
	unsigned int orders_in_flight;
	uint64_t answered_polls;
	unsigned int missed_polls;
	int64_t missed_since;
	int64_t next_poll_at;
	int64_t last_poll_at;
	int64_t poll_gap_ms;
	int64_t answered_at;
	struct mtimer *timer;
	int agent;
	uint64_t agent_version;
};

/**
 * lead_fence() - fence of orders to an incarnation of a server
 *
 * All incarnations have the same id, and each takes calls that were meant for the former one. The
 * fence is higher than in all orders to former ones, so that the server rejects those that are
 * still on their way once it has answered a poll.
 */
static inline int64_t lead_fence(const struct lead *l, const struct fleet_server *sv)
{
	return l->term + sv->ended_before;
}

/** lead_current() - leader state of the term that a call belongs to; NULL after that term */
static inline struct lead *lead_current(const struct sited *d, uint64_t serial)
{
	return d->lead && d->lead->serial == serial ? d->lead : NULL;
}

#define LEAD_FEED_TIMEOUT_MS 1000 /* a dead feed connection is detected after this */

/**
 * lead_new() - start a term after this VM's leader row was stored
 * @sent_at: when the transaction that stored the row was sent, monotonic ms
 */
struct lead *lead_new(struct sited *d, int64_t term, int64_t row_version, int64_t sent_at);
/** lead_row_term() - term in the row of a leader or of a claim, 0 when it can't be read */
int64_t lead_row_term(const struct store_row *row);
/**
 * lead_may_act() - the store has confirmed the leadership since this VM's last pause
 *
 * A confirmation from before a pause does not allow placement or lease renewal.
 */
bool lead_may_act(struct lead *l);
/**
 * lead_may_grant_leases() - tasks may start, and leases may be renewed
 *
 * Another VM may have become leader unnoticed, so this ends LEAD_UNCONFIRMED_MAX_MS after
 * the last confirmation, and with the stored bound.
 */
bool lead_may_grant_leases(struct lead *l);
/** lead_grants_end_ms() - time in ms for which leases may be granted without the store */
int64_t lead_grants_end_ms(const struct lead *l);
/** lead_request_round() - schedule a round, unless one is scheduled already */
void lead_request_round(struct lead *l);
/** lead_append_gauges() - append the leader's metrics to @text, in Prometheus text format */
char *lead_append_gauges(const struct lead *l, char *text);
/** lead_count_pending() - add the jobs not started to @p; only once all rows have been read */
void lead_count_pending(const struct lead *l, struct pending *p);
/** lead_job_state() - state of a job that a caller may see, WORK_STATE_COUNT when unknown */
enum work_state lead_job_state(const struct lead *l, const char *id, const char **workspace);

/* ---- sited_grant.c ---- */

/** lead_grant_start() - read the former leader's bound, then store this leader's again and again */
void lead_grant_start(struct lead *l);

/* ---- sited_rows.c ---- */

/** lead_rows_flush() - store changed rows, with one transaction in flight for each partition */
void lead_rows_flush(struct lead *l);
/** lead_rows_idle() - no transaction is in flight */
bool lead_rows_idle(const struct lead *l);
/** lead_rows_sweep() - remove rows of jobs whose retention time is over */
void lead_rows_sweep(struct lead *l);

/** lead_update_job() - apply a row of a known job that a transaction has returned */
void lead_update_job(struct lead *l, struct work_job *job, const struct store_row *row);
/** lead_job_await_version() - a newer row of the job is stored, its version is not known */
void lead_job_await_version(struct work_job *job);
/** lead_job_read_row() - read a job's row whose version the feed has not brought in time */
void lead_job_read_row(struct lead *l, struct work_job *job);
/** lead_leases_wait_ms() - how long tasks may go on after their leader was replaced, in ms */
int64_t lead_leases_wait_ms(const struct lead *l);
/** lead_unconfirmed_task_deadline() - when a task that an earlier leader started has certainly
 * stopped on a server that does not answer, monotonic ms */
int64_t lead_unconfirmed_task_deadline(const struct lead *l);

/* ---- sited_load.c ---- */

/** lead_rows_load() - claim all partitions, read their rows, then follow what callers write */
void lead_rows_load(struct lead *l);
/** lead_apply_job_row() - apply a job's row that the store returned; an older one is ignored */
void lead_apply_job_row(struct lead *l, const struct store_row *row);
/**
 * lead_apply_reported_job() - apply a job's row that a VM has stored
 *
 * The row's version is not known, so it may be older than the one known.
 */
void lead_apply_reported_job(struct lead *l, const char *id, const char *value);
/** sited_partition_name() - name of a store partition, such as "p3" */
const char *sited_partition_name(unsigned int part);

/* ---- sited_list.c ---- */

/** lead_list_load() - read the list of backend servers, then follow it */
void lead_list_load(struct lead *l);

/* ---- sited_servers.c ---- */

/** lead_server_io() - state of the calls to a server, created at first use */
struct server_io *lead_server_io(struct lead *l, struct fleet_server *sv);
/** lead_server_poll() - poll the server now if a poll is due */
void lead_server_poll(struct lead *l, struct fleet_server *sv);
/** lead_server_grant_sent() - an order is sent that may grant a lease on the server */
void lead_server_grant_sent(struct lead *l, struct fleet_server *sv);
/**
 * lead_server_grant_over() - that order was answered, or the wait for the answer has ended
 * @sent_at: when it was sent, monotonic ms
 */
void lead_server_grant_over(struct lead *l, struct fleet_server *sv, enum order_status status,
			    int64_t sent_at);
/** lead_server_grants_over_at() - when all leases have ended that any order may have granted on
 * the server, in whichever incarnation, monotonic ms */
int64_t lead_server_grants_over_at(const struct lead *l, const struct server_io *io);
/** lead_server_may_list() - no poll of it is in flight, so that one could be sent now */
bool lead_server_may_list(struct lead *l, struct fleet_server *sv);
/** lead_server_was_up() - it has listed its runs a moment ago */
bool lead_server_was_up(struct lead *l, struct fleet_server *sv);
/** lead_server_must_list() - poll the server before it gets work again */
void lead_server_must_list(struct lead *l, struct fleet_server *sv);
/** lead_server_refused() - it accepts no connection; it gets work again once it answers a poll */
void lead_server_refused(struct lead *l, struct fleet_server *sv);
/**
 * lead_server_handle_answer() - apply the term, incarnation and clock of any answer
 * Return: false when a newer term was seen; this VM no longer leads, and @l has been freed.
 */
bool lead_server_handle_answer(struct lead *l, struct fleet_server *sv,
			       const struct order_result *r);
/** lead_server_is_unresponsive() - its polls fail or take too long */
bool lead_server_is_unresponsive(struct lead *l, struct fleet_server *sv);
/** lead_server_lease() - lease end to request, ms on the server's clock */
int64_t lead_server_lease(struct lead *l, struct fleet_server *sv);
/**
 * lead_server_start_lease() - lease end to request by a start, ms on the server's clock
 *
 * A server carries out no start whose lease has ended, so this also limits how late it can be
 * carried out. Polls prolong the lease.
 */
int64_t lead_server_start_lease(struct lead *l, struct fleet_server *sv);
/** lead_servers_tick() - handle due polls, expired leases and draining servers */
void lead_servers_tick(struct lead *l);
/** lead_unconfirmed_over_at() - when an unconfirmed task has certainly ended, monotonic ms */
int64_t lead_unconfirmed_over_at(const struct lead *l, const struct work_task *t);
/**
 * lead_servers_encode_leases() - how long tasks may go on by themselves, for the next leader
 *
 * The next leader then does not wait for the leases of a server that this one could not
 * reach either as long as after a leader that failed.
 *
 * Return: {"others_ms": MS, "servers": {ID: [BORN, MS]}}; after so many ms from now on, nothing
 * that was started before runs on the server. "servers" names those that do not answer. NULL
 * as long as not all rows have been read.
 */
json_t *lead_servers_encode_leases(struct lead *l);
/** lead_servers_acknowledge() - acknowledge ends whose consequences have been stored */
void lead_servers_acknowledge(struct lead *l);

/* ---- sited_incarnations.c ---- */

/** lead_server_replaced() - handle the restart of server @old as the new incarnation @sv */
void lead_server_replaced(struct lead *l, struct fleet_server *old, struct fleet_server *sv);
/** lead_server_lost() - release all tasks of an incarnation that has ended */
void lead_server_lost(struct lead *l, struct fleet_server *sv, const char *why);

/* ---- sited_dispatch.c ---- */

/**
 * struct lead_order_target - recipient of an order
 * @deadline: when the wait for the server's answer ends, on base_now_ns()'s clock
 * @earlier_sends: earlier transmissions of this order without an answer; every second one is sent
 *	without an agent, and all but the first on a new connection
 * @renewal_limit: for a poll, latest lease end that an agent may request without the leader,
 *                 ms on the server's clock
 */
struct lead_order_target {
	struct fleet_server *sv;
	int64_t deadline;
	unsigned int earlier_sends;
	int64_t renewal_limit;
};

struct agents *lead_agents_new(struct lead *l);
/** lead_agents_tick() - update the agents from the list of live VMs */
void lead_agents_tick(struct lead *l);
/** lead_agents_count() - entry VMs that carry out orders now */
unsigned int lead_agents_count(const struct lead *l);
/**
 * lead_send_start(), lead_send_stop(), lead_send_poll() - send an order to a server
 *
 * The order goes directly or through an agent. @done gets the answer, with status
 * ORDER_UNKNOWN, ORDER_NOT_SENT or ORDER_NOT_RELAYED when there is none.
 */
void lead_send_start(struct lead *l, const struct lead_order_target *to,
		     const struct order_start *start, order_done *done, void *data);
void lead_send_stop(struct lead *l, const struct lead_order_target *to, const char *task,
		    uint32_t attempt, order_done *done, void *data);
void lead_send_poll(struct lead *l, const struct lead_order_target *to,
		    const struct order_poll *look, order_done *done, void *data);

/* ---- sited_idle.c ---- */

/** lead_idle_tick() - report jobs of which nothing runs although a task's turn has come */
void lead_idle_tick(struct lead *l);

/* ---- sited_evacuation.c ---- */

/** lead_may_start() - leases may be granted, and evacuations are known well enough to start tasks
 */
bool lead_may_start(struct lead *l);
/** lead_may_start_on() - so it is, and the server's failure domain is not evacuated */
bool lead_may_start_on(struct lead *l, const struct fleet_server *sv);
/** lead_evacuation_mark() - set whether the server's failure domain is evacuated */
void lead_evacuation_mark(struct lead *l, struct fleet_server *sv);
/** lead_evacuation_refused() - an agent knows that the server's failure domain is evacuated */
void lead_evacuation_refused(struct lead *l, struct fleet_server *sv);
/** lead_evacuation_tick() - read the evacuations again when what is known gets too old */
void lead_evacuation_tick(struct lead *l);

/* ---- sited_share.c ---- */

/** lead_append_shares() - append the metrics of each workspace to @text */
char *lead_append_shares(const struct lead *l, char *text);

/* ---- sited_speed.c ---- */

/** lead_speed_new() - nothing is known of the speeds of servers */
void lead_speed_new(struct lead *l);
/** lead_speed_ended() - a server has listed that the newest attempt of @t is done */
void lead_speed_ended(struct lead *l, struct work_task *t);
/** lead_speed_tick() - estimate the speeds if there are new samples */
void lead_speed_tick(struct lead *l);
/** lead_speed_append_gauges() - number of servers by speed class, as lead_append_gauges() */
char *lead_speed_append_gauges(const struct lead *l, char *text);

/* ---- sited_tasks.c ---- */

/* ---- explaining ---- */

#define EXPLAIN_BODY_MAX 16384 /* bytes; 64 steps without their payload */

/** sited_explain() - answer where the job in the body would go now; changes nothing */
void sited_explain(struct sited *d, struct httpd_request *req);

/* ---- workloads that slow each other down ---- */

/** lead_interference_start() - nothing is known; placement uses what is learned */
void lead_interference_start(struct lead *l);
/**
 * lead_interference_note_sample() - @t, which is still on its server, has given a sample
 * @ratio: see struct speed_sample
 */
void lead_interference_note_sample(struct lead *l, const struct work_task *t, double ratio);
/** lead_interference_note_end() - @t leaves its server */
void lead_interference_note_end(struct lead *l, const struct work_task *t);
/** lead_append_interference() - append the gauge of known pairs */
char *lead_append_interference(const struct lead *l, char *text);

/** lead_task_start() - send the start of a stored assignment, and add it to @starts if sent */
void lead_task_start(struct lead *l, struct work_task *t, struct starts *starts);
/** lead_log_starts() - write the log lines of @starts */
void lead_log_starts(struct starts *starts);
/** lead_task_stop() - stop a task; it waits again once it has certainly stopped */
void lead_task_stop(struct lead *l, struct work_task *t, const char *why);
/**
 * lead_task_crashed() - the task got points of blame for the crash of @sv; may give up its job
 * @is_certain: the task has certainly run there
 */
void lead_task_crashed(struct lead *l, struct work_task *t, const struct fleet_server *sv,
		       unsigned int points, bool is_certain);
/** lead_task_release() - handle a task that certainly no longer runs; @why is logged */
void lead_task_release(struct lead *l, struct work_task *t, const char *why);
void lead_group_stop(struct lead *l, struct work_group *g, const char *why);
void lead_job_stop(struct lead *l, struct work_job *job, const char *why);
/**
 * lead_task_ended() - process an end that a server lists
 *
 * Return: group whose changes must be stored before the end is acknowledged, or NULL.
 */
struct work_group *lead_task_ended(struct lead *l, struct fleet_server *sv,
				   const struct order_ended *e);
/** lead_task_listed() - process a run that a server lists in the poll @poll_number */
void lead_task_listed(struct lead *l, struct fleet_server *sv, const struct order_run *run,
		      uint64_t poll_number);
/** lead_job_check_completion() - mark the job complete when all its tasks are done */
void lead_job_check_completion(struct lead *l, struct work_job *job);

#endif
