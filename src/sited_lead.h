/**
 * DOC: sited_lead - state of the VM that leads: all jobs, all servers, what is being stored
 */
#ifndef SITED_LEAD_H
#define SITED_LEAD_H

#include "sited.h"

/*
 * A leader that the store did not confirm for so long stops renewing leases, so
 * that the next one knows when work on servers that it can't reach has lapsed.
 */
#define LEAD_UNCONFIRMED_MAX_MS 4000

/* time on our clock in which a server's has surely moved on by 100; it may be 2 % slow */
#define LEAD_CLOCK_SLOW_PERCENT 103

struct agents;
struct commit;

/**
 * struct lead - one term of this VM as leader
 * @serial: of struct sited when the term began
 * @started_at: when the lead was won, on base_now_ns()'s clock
 * @row_version: version of the row that made this VM lead
 * @confirmed_at: the store said at that time that this VM still leads, ms
 * @ticked_at: when the term's timer fired last, on base_boottime_ns()'s clock
 * @woke_at: when it was noticed that this VM had been paused, ms; 0 before
 * @is_loaded: all rows have been read; before, nothing is placed
 * @loads: reads still under way
 * @jobs: id to struct work_job, all that are stored
 * @active: struct work_job that are not over, or still hold servers or unstored changes
 * @pending: jobs not begun by queue, name to int64_t
 * @pending_until: @pending is counted anew after this, ms
 * @claims: version of the row by which this leader holds each part, 0 before
 * @commits: transaction in flight of each part, or NULL
 * @commit_after: no transaction of the part before, ms
 * @reread_version: oldest version at which a part's jobs were read again
 * @demand: what urgent work asks for
 * @agents: entry VMs that carry out orders
 * @probes: looks in flight at servers that are not known to answer
 * @next_probe: index in the fleet from which the next such server is sought
 * @list_version: version up to which the list of servers is known
 * @round: pending call of the next round, or NULL
 * @next_round: no round before, on base_now_ns()'s clock
 * @is_handing_over: planned stop; nothing new is placed
 */
struct lead {
	struct sited *d;
	uint64_t serial;
	int64_t term;
	int64_t started_at;
	int64_t row_version;
	int64_t confirmed_at;
	int64_t ticked_at;
	int64_t woke_at;
	bool is_loaded;
	unsigned int loads;
	GHashTable *jobs;
	GPtrArray *active;
	GHashTable *pending;
	int64_t pending_until;
	struct fleet *fleet;
	struct plan_scratch *scratch;
	struct plan_demand demand;
	int64_t claims[SITED_PARTS];
	struct commit *commits[SITED_PARTS];
	int64_t commit_after[SITED_PARTS];
	int64_t reread_version;
	struct agents *agents;
	unsigned int probes;
	unsigned int next_probe;
	int64_t list_version;
	struct mtimer *round;
	int64_t next_round;
	bool is_handing_over;
};

/**
 * struct server_io - calls to one backend server
 * @clock_ms: its clock, when it last said so
 * @clock_at: our monotonic ms at that moment
 * @lease_until: the latest lease ever asked for, on its clock
 * @lease_limit: the latest lease that an agent may ask for by itself, on its clock; or 0
 * @renewer: hash of that agent's name
 * @seen: ends up to this number have been taken into account
 * @acknowledged: ends up to this number are stored with all that follows from them
 * @told: ends up to this number are forgotten there
 * @ends: struct end_note, taken into account and not yet acknowledged
 * @look_in_flight: a look is under way
 * @is_probe: that look counts in probes of struct lead
 * @orders_in_flight: starts and stops under way
 * @looks: counts looks
 * @misses: looks in a row without an answer
 * @next_look: no look before, monotonic ms
 * @last_look: when the newest look was sent, monotonic ms
 * @answered_at: when the newest look was answered, monotonic ms; 0 before
 * @timer: pending call for the next look, or NULL
 * @agent: which of the agents carries out its orders, as of @agent_version
 * @agent_version: of struct agents, 0 before the first order
 */
struct server_io {
	struct lead *lead;
	struct fleet_server *sv;
	int64_t clock_ms;
	int64_t clock_at;
	int64_t lease_until;
	int64_t lease_limit;
	uint64_t renewer;
	int64_t seen;
	int64_t acknowledged;
	int64_t told;
	GQueue ends;
	bool look_in_flight;
	bool is_probe;
	unsigned int orders_in_flight;
	uint64_t looks;
	unsigned int misses;
	int64_t next_look;
	int64_t last_look;
	int64_t answered_at;
	struct mtimer *timer;
	int agent;
	uint64_t agent_version;
};

/** lead_current() - the lead whose term a call belongs to, or NULL when that is over */
static inline struct lead *lead_current(const struct sited *d, uint64_t serial)
{
	return d->lead && d->lead->serial == serial ? d->lead : NULL;
}

#define LEAD_FEED_WAIT_MS 1000 /* a connection that went silent is noticed after this */

/** lead_new() - begin a term; the row has been written */
struct lead *lead_new(struct sited *d, int64_t term, int64_t row_version);
/** lead_term_of() - term in the row of a leader or of a claim, 0 when it can't be read */
int64_t lead_term_of(const struct store_row *row);
/**
 * lead_may_act() - the store has said that this VM leads since it was last paused
 *
 * Nothing is placed and no lease is renewed on a permission from before a pause.
 */
bool lead_may_act(struct lead *l);
/** lead_kick() - have a round soon */
void lead_kick(struct lead *l);
/** lead_gauges() - appends what is taken and free to @text, in the common text format */
char *lead_gauges(const struct lead *l, char *text);
/** lead_pending() - jobs not begun, by queue; name to int64_t, counted anew after 100 ms */
GHashTable *lead_pending(struct lead *l);
/** lead_job_state() - what a caller may be told of a job, WORK_STATE_COUNT when not known */
enum work_state lead_job_state(const struct lead *l, const char *id, const char **workspace);

/* ---- sited_rows.c ---- */

/** lead_rows_flush() - store what has changed, one transaction a part at a time */
void lead_rows_flush(struct lead *l);
/** lead_rows_settled() - no transaction is in flight */
bool lead_rows_settled(const struct lead *l);
/** lead_rows_sweep() - drop rows of jobs that ended long ago */
void lead_rows_sweep(struct lead *l);

/** lead_job_row() - a newer row of a known job, found by somebody's transaction */
void lead_job_row(struct lead *l, struct work_job *job, const struct store_row *row);
/** lead_settle_deadline() - when a task of an earlier leader surely runs no more, ms */
int64_t lead_settle_deadline(const struct lead *l);

/* ---- sited_load.c ---- */

/** lead_rows_load() - claim all parts, read their rows, then follow what callers write */
void lead_rows_load(struct lead *l);
/** lead_take_job() - a job's row, from whatever source; an older one changes nothing */
void lead_take_job(struct lead *l, const struct store_row *row);
const char *sited_part_name(unsigned int part);

/* ---- sited_list.c ---- */

/** lead_list_load() - read the list of backend servers, then follow it */
void lead_list_load(struct lead *l);

/* ---- sited_servers.c ---- */

/** lead_server_replaced() - @sv is the incarnation after @old */
void lead_server_replaced(struct lead *l, struct fleet_server *old, struct fleet_server *sv);
struct server_io *lead_io(struct lead *l, struct fleet_server *sv);
/** lead_server_look() - look at the server now if there is a reason */
void lead_server_look(struct lead *l, struct fleet_server *sv);
/**
 * lead_server_answered() - take over what any answer says: term, incarnation, clock
 * Return: false when a newer term was seen; this VM leads no more, and @l is gone.
 */
bool lead_server_answered(struct lead *l, struct fleet_server *sv, const struct order_result *r);
/** lead_server_is_silent() - a busy server has not answered for longer than a look waits */
bool lead_server_is_silent(struct lead *l, struct fleet_server *sv);
/** lead_server_lost() - this incarnation runs nothing any more */
void lead_server_lost(struct lead *l, struct fleet_server *sv, const char *why);
/** lead_server_lease() - lease to ask for, on the server's clock */
int64_t lead_server_lease(struct lead *l, struct fleet_server *sv);
/** lead_servers_tick() - looks that are due, leases that are over, servers that leave */
void lead_servers_tick(struct lead *l);
/** lead_servers_stored() - rows were stored: acknowledge what follows from them */
void lead_servers_stored(struct lead *l);

/* ---- sited_dispatch.c ---- */

/**
 * struct lead_order - whom an order is for
 * @deadline: when to stop waiting for the server's answer, on base_now_ns()'s clock
 * @tries: sendings before this one that got no answer
 * @renewal_limit: of a look: an agent may ask for leases up to this, on the server's clock
 */
struct lead_order {
	struct fleet_server *sv;
	int64_t deadline;
	unsigned int tries;
	int64_t renewal_limit;
};

struct agents *lead_agents_new(struct lead *l);
/** lead_agents_tick() - take over who was heard lately */
void lead_agents_tick(struct lead *l);
/** lead_agents_count() - entry VMs that carry out orders now */
unsigned int lead_agents_count(const struct lead *l);
void lead_send_start(struct lead *l, const struct lead_order *to, const struct order_start *start,
		     order_done *done, void *data);
void lead_send_stop(struct lead *l, const struct lead_order *to, const char *task, uint32_t attempt,
		    order_done *done, void *data);
void lead_send_look(struct lead *l, const struct lead_order *to, const struct order_look *look,
		    order_done *done, void *data);

/* ---- sited_tasks.c ---- */

/** lead_task_start() - send the start of a stored assignment */
void lead_task_start(struct lead *l, struct work_task *t);
/** lead_task_stop() - stop it wherever it is; it waits again once that is certain */
void lead_task_stop(struct lead *l, struct work_task *t, const char *why);
/** lead_task_released() - it surely does not run; @why for the log */
void lead_task_released(struct lead *l, struct work_task *t, const char *why);
void lead_group_stop(struct lead *l, struct work_group *g, const char *why);
void lead_job_stop(struct lead *l, struct work_job *job, const char *why);
/** lead_task_ended() - an end that a server lists; the group it changed, or NULL */
struct work_group *lead_task_ended(struct lead *l, struct fleet_server *sv,
				   const struct order_ended *e);
/** lead_task_listed() - a run that a server lists */
void lead_task_listed(struct lead *l, struct fleet_server *sv, const struct order_run *run,
		      uint64_t look);
/** lead_job_check() - is it complete? */
void lead_job_check(struct lead *l, struct work_job *job);

#endif
