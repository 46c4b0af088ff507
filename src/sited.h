/**
 * DOC: sited - state of currantlane-sited, the daemon of an entry VM on the users' platform
 *
 * Every entry VM runs one daemon. Each accepts callers' jobs and stores them. One of
 * the daemons, elected through a row of the store, also places and runs the jobs.
 * The process has one thread. Its source files:
 *
 *   sited_table.c    reads and follows tables of the store
 *   sited_front.c    routes and answers callers' requests
 *   sited_calls.c    submits, queries and cancels jobs for callers
 *   sited_relay.c    passes callers' requests between entry VMs
 *   sited_peers.c    calls between the entry VMs
 *   sited_config.c   the operator's configuration
 *   sited_evacuation.c  the operator's evacuations of failure domains
 *   sited_pending.c  tells how many jobs are pending
 *   sited_elect.c    leader election
 *   sited_lead.c     the leader's scheduling rounds: due work, placement, preemption
 *   sited_grant.c    stores the time up to which a leader grants leases
 *   sited_load.c     claims and reads the stored state for a new leader
 *   sited_rows.c     writes the leader's changes to the store
 *   sited_list.c     follows the list of backend servers
 *   sited_servers.c  polls backend servers and renews leases
 *   sited_tasks.c    starts and stops tasks, and processes their ends
 *   sited_share.c    what each workspace holds, requests and waits for
 *   sited_speed.c    learns the speeds of servers from what they list
 *   sited_idle.c     reports jobs of which nothing runs although they could
 *   sited_dispatch.c sends orders to servers, directly or through agents
 *   sited_agent.c    carries out orders for the leader, as an agent
 */
#ifndef SITED_H
#define SITED_H

#include "evacuation/evacuation.h"
#include "onc/onc.h"
#include "pending/pending.h"
#include "plan/plan.h"
#include "proto/proto.h"
#include "queues/queues.h"
#include "recent/recent.h"
#include "share/share.h"
#include "sited_metrics.h"
#include "sited_peers.h"
#include "sited_table.h"
#include "platform/callers.h"
#include "platform/members.h"
#include "platform/operator.h"
#include "platform/orders.h"
#include "platform/site.h"
#include "platform/store.h"

#define SITED_JOBS_TABLE "jobs"
#define SITED_GROUPS_TABLE "groups"
#define SITED_LEAD_TABLE "lead"
#define SITED_CLAIM_TABLE "claims"
#define SITED_GRANT_TABLE "grants"
#define SITED_SPEED_TABLE "speeds"
#define SITED_LEAD_KEY "scheduler"
/*
 * A partition performs its transactions in sequence. Each takes 0.5 s when the store is
 * 60 times slower than usual.
 */
#define SITED_PARTITIONS 32

/*
 * Terms are so far apart that a leader has as many fences for its orders. Each incarnation of a
 * server that is replaced or forgotten uses up one; the leader gives up long before none is left.
 */
#define SITED_FENCES_PER_TERM 100000
#define SITED_FENCES_MAX (SITED_FENCES_PER_TERM / 2)

#define SITED_LARGE_CORES 0.25 /* a VM with fewer cores leads only when no large VM contends */

struct lead;
struct sited_config;
struct sited_evacuations;

/**
 * struct sited_leader - what this VM knows about the leader
 * @vm: name of the leader's VM, empty when there is no leader
 * @term: highest term seen
 * @version: version of the leader's row, -1 while unknown
 * @client: RPC client to the leader, or NULL
 * @known_at: when this leader became known, on base_now_ns()'s clock
 * @last_contact_at: when the leader last answered, on base_now_ns()'s clock; 0 before
 * @store_failing_ms: how long the leader's calls to the store have failed, in its last answer
 * @unanswered: pings sent since the leader's last answer; one is usual while a ping is in flight
 * @refusals: unanswered pings for which no process accepted the connection
 * @silent_since: when the first unanswered ping was sent, on base_now_ns()'s clock
 * @changes: consecutive changes of leader, each within LEAD_CHANGES_MS of the one before
 */
struct sited_leader {
	char vm[64];
	struct address address;
	int64_t term;
	int64_t version;
	struct onc_client *client;
	int64_t known_at;
	int64_t last_contact_at;
	int64_t store_failing_ms;
	unsigned int unanswered;
	unsigned int refusals;
	int64_t silent_since;
	unsigned int changes;
};

/**
 * struct sited_leader_row - the row that names the leader, as stored or as a peer knows it
 * @vm: name of the leader's VM, empty when there is no leader
 * @ip: address at which the leader accepts calls of its peers
 * @term: the leader's term
 * @version: version of the row; -1 when the peer does not know it
 */
struct sited_leader_row {
	const char *vm;
	const char *ip;
	uint16_t port;
	int64_t term;
	int64_t version;
};

/**
 * struct sited - state of the daemon
 * @queues: configuration in force, NULL before the first
 * @config: state of following the configuration, of sited_config.c
 * @evacuations: evacuated failure domains, of sited_evacuation.c
 * @peers: struct peer of other entry VMs
 * @next_peer: index, modulo the number of peers, of the next peer to ping or to name in an answer
 * @ticks: number of election ticks; a VM of a large site pings only on some of them
 * @vms_received_at: when a list of VMs was last received, on base_now_ns()'s clock
 * @is_probing: a read that checks whether the store still answers this VM is in flight
 * @started_at: when the process started, on base_now_ns()'s clock
 * @lead: the leader's state, NULL unless this VM leads
 * @lead_serial: number of terms that this process has ended; identifies late answers
 * @pending: pending jobs, counted by this VM as the leader, or by the leader that it asked
 * @is_contending: this VM contends for leadership or is handing it over
 * @contended_version: version of the row that the contention would replace
 * @contended_term: term in the row that the contention would write
 * @contended_at: when the transaction that writes it was sent, monotonic ms
 * @handover: "leases" of the row that the contention would replace, or NULL
 * @handover_read_at: when @handover was read, monotonic ms
 * @stop_at: earliest time at which the process exits, on base_now_ns()'s clock; 0 unless stopping
 * @handover_deadline: latest start of the handover transaction, on base_now_ns()'s clock
 * @open_requests: callers' requests in progress
 * @unsettled_submits: ids of jobs of which a transaction without an answer may be performed
 * @direct_servers_max: a leader sends its orders itself to up to this many servers; for more
 *                      servers, other VMs relay the orders
 * @renewals: id of a server to struct renewed_server of sited_agent.c, its lease renewal state
 * @payloads: id of a job to the payload that a leader sent with its first start
 */
struct sited {
	struct tevent_context *ev;
	struct site *site;
	struct httpc *store_http;
	struct httpc *server_http;
	struct store *store;
	struct orders *orders;
	struct httpd *front;
	struct queues *queues;
	struct sited_config *config;
	struct sited_evacuations *evacuations;
	GPtrArray *peers;
	unsigned int next_peer;
	unsigned int ticks;
	int64_t vms_received_at;
	bool is_probing;
	int64_t started_at;
	struct lead *lead;
	uint64_t lead_serial;
	struct sited_leader leader;
	struct pending *pending;
	bool is_contending;
	int64_t contended_version;
	int64_t contended_term;
	int64_t contended_at;
	json_t *handover;
	int64_t handover_read_at;
	int64_t stop_at;
	int64_t handover_deadline;
	unsigned int open_requests;
	struct recent *unsettled_submits;
	unsigned int direct_servers_max;
	GHashTable *renewals;
	GHashTable *payloads;
	struct sited_metrics metrics;
};

/** sited_is_large() - this VM has enough cores to lead a large site */
static inline bool sited_is_large(const struct sited *d)
{
	return d->site->cores >= SITED_LARGE_CORES;
}

/** sited_now_ms() - monotonic time in ms */
static inline int64_t sited_now_ms(void)
{
	return base_now_ns() / BASE_NS_PER_MS;
}

/** sited_wall_ms() - wall-clock time in ms since 1970 */
static inline int64_t sited_wall_ms(void)
{
	return base_wall_us() / 1000;
}

/** sited_partition() - name of the store partition that holds a job */
const char *sited_partition(const char *job_id);

/* ---- sited_config.c ---- */

/** sited_config_start() - read the operator's configuration and follow its changes */
void sited_config_start(struct sited *d);
/** sited_on_config() - answer a peer's call for changes of the configuration */
void sited_on_config(struct onc_request *req);
/** sited_compare_config() - a peer at @address has this version; ask it when it is newer */
void sited_compare_config(struct sited *d, const struct address *address, int64_t peer_version);

/* ---- sited_evacuation.c ---- */

/** sited_evacuation_start() - nothing is known yet */
void sited_evacuation_start(struct sited *d);
/** sited_evacuation_follow() - apply an answer of the feed of the operator's table */
void sited_evacuation_follow(struct sited *d, const struct table_page *page);
/** sited_evacuation_lost() - that feed begins, or skips changes: the rows are read again */
void sited_evacuation_lost(struct sited *d);
/** sited_evacuation_reload() - the settings have been read again */
void sited_evacuation_reload(struct sited *d);
/** sited_evacuation_read() - read the rows, unless a read is in progress */
void sited_evacuation_read(struct sited *d);
/** sited_domain_is_evacuated() - as far as this VM knows */
bool sited_domain_is_evacuated(const struct sited *d, const char *failure_domain);
/**
 * sited_evacuations_are_new() - what this VM knows is new enough to start tasks
 * @since: it must have been confirmed by the store since then, monotonic ms
 */
bool sited_evacuations_are_new(const struct sited *d, int64_t since);
/**
 * sited_start_within_ms() - time for which a start that is sent now may be carried out, in ms
 * @silent_ms: how long the server has not told its clock
 */
int64_t sited_start_within_ms(const struct sited *d, int64_t silent_ms);
/** sited_evacuation_append_gauges() - append metrics to @text, in Prometheus text format */
char *sited_evacuation_append_gauges(const struct sited *d, char *text);

/* ---- sited_front.c ---- */

/** sited_on_request() - handle a caller's HTTP request */
void sited_on_request(struct httpd_request *req);
/** sited_on_ready() - answer the load balancer's readiness check */
void sited_on_ready(struct httpd_request *req);
/** sited_on_relay() - handle a caller's request that another entry VM passed on */
void sited_on_relay(struct onc_request *req);

/* ---- sited_pending.c ---- */

/** sited_pending_encode() - put the counts into the answer to a ping; owned by @ctx */
void sited_pending_encode(TALLOC_CTX *ctx, struct sited *d, cl_lead_ping_res *res);
/**
 * sited_pending_received() - take over the counts in the leader's answer to a ping
 * @asked_at: when the ping was sent, monotonic ms
 */
void sited_pending_received(struct sited *d, const cl_lead_ping_res *res, int64_t asked_at);

/* ---- sited_agent.c ---- */

/* a job's payload is kept for at least this long after the last start that used it */
#define AGENT_PAYLOAD_TTL_MS 20000

/** sited_agent_start() - start renewing leases whenever the leader is silent */
void sited_agent_start(struct sited *d);
/**
 * sited_on_start(), sited_on_start_in(), sited_on_stop(), sited_on_poll() - carry out an order of
 * the leader
 */
void sited_on_start(struct onc_request *req);
void sited_on_start_in(struct onc_request *req);
void sited_on_stop(struct onc_request *req);
void sited_on_poll(struct onc_request *req);

/* ---- sited_elect.c ---- */

/** sited_elect_start() - start to follow the leader and to contend when it fails */
void sited_elect_start(struct sited *d);
/** sited_leader_is_responsive() - another VM leads and answers pings */
bool sited_leader_is_responsive(const struct sited *d);
/**
 * sited_leader_ping_done() - process the outcome of a ping to the leader
 * @asked_at: when the ping was sent, monotonic ms
 */
void sited_leader_ping_done(struct sited *d, enum onc_result result, const cl_lead_ping_res *answer,
			    int64_t asked_at);
/** sited_leader_reported() - apply a leader row that a peer reports, unless it is outdated */
void sited_leader_reported(struct sited *d, const struct sited_leader_row *row, const char *source);
/** sited_contend_if_vacant() - contend at once if the leader's row names no leader */
void sited_contend_if_vacant(struct sited *d);
/** sited_verify_leadership() - read the leader's row; step down if it names a newer leader */
void sited_verify_leadership(struct sited *d, const char *why);
/** sited_step_down() - end this VM's term, as another VM certainly leads, or its fences are used up
 */
void sited_step_down(struct sited *d, const char *why);
/** sited_start_handover() - hand leadership over once transactions in flight are answered */
void sited_start_handover(struct sited *d);
/** sited_check_leader_row() - step down if @row is newer than the row that made this VM lead */
void sited_check_leader_row(struct sited *d, const struct store_row *row);

#endif
