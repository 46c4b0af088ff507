/**
 * DOC: sited - state of currantlane-sited, the daemon of an entry VM on the users' platform
 *
 * Every entry VM runs one. It accepts jobs for callers and stores them; one of
 * them, elected through a row of the store, also places and runs them. One
 * thread; the parts are
 *
 *   sited_table.c    reading and following tables of the store
 *   sited_front.c    callers' requests
 *   sited_peers.c    calls between the entry VMs
 *   sited_config.c   the operator's configuration
 *   sited_elect.c    which VM leads
 *   sited_lead.c     the leader's rounds: due work, placement, reclaim
 *   sited_load.c     what a new leader claims and reads
 *   sited_rows.c     what it stores
 *   sited_list.c     list of backend servers
 *   sited_servers.c  looks at them, and leases
 *   sited_tasks.c    orders, ends, and what follows from them
 *   sited_dispatch.c how orders reach the servers: by itself or by agents
 *   sited_agent.c    orders that it carries out for the leader
 */
#ifndef SITED_H
#define SITED_H

#include "onc/onc.h"
#include "plan/plan.h"
#include "proto/proto.h"
#include "queues/queues.h"
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
#define SITED_LEAD_KEY "scheduler"
/* a part takes one transaction after another, 0.5 s each when the store is 60 times slower */
#define SITED_PARTITIONS 32

#define SITED_LARGE_CORES 0.25 /* an entry VM with less leads only when no larger one will */

struct lead;

/**
 * struct sited_leader - what a VM knows of the one that leads
 * @vm: its name, empty when nobody leads
 * @version: version of the row that says so, -1 while it is not known
 * @client: RPC client to it, or NULL
 * @known_at: when its row was read, on base_now()'s clock
 * @heard_at: when it last answered, on base_now()'s clock
 * @store_failing_ms: for how long the store has not served it, as it last said
 * @unanswered: pings since its last answer; one is usual while it is on its way
 * @refusals: of them, those that nothing took at its address
 * @silent_since: when the first of them was sent, on base_now()'s clock
 * @pending: jobs not begun by queue, as it last said; name to int64_t
 * @changes: leaders that came within LEAD_CHANGES_MS of the one before
 */
struct sited_leader {
	char vm[64];
	struct address address;
	int64_t term;
	int64_t version;
	struct onc_client *client;
	int64_t known_at;
	int64_t heard_at;
	int64_t store_failing_ms;
	unsigned int unanswered;
	unsigned int refusals;
	int64_t silent_since;
	GHashTable *pending;
	unsigned int changes;
};

/**
 * struct sited_leader_row - the row that says who leads, as a peer knows it
 * @vm: empty when nobody leads
 * @version: of the row; -1 when the peer does not know it
 */
struct sited_leader_row {
	const char *vm;
	const char *ip;
	uint16_t port;
	int64_t term;
	int64_t version;
};

/**
 * struct sited - the daemon
 * @queues: configuration in force, NULL before the first
 * @config_text: the document that it was decoded from, for peers
 * @config_behind_pings: pings in a row whose answer named a newer configuration
 * @is_config_requested: a peer was asked for it
 * @peers: struct peer of other entry VMs
 * @next_peer: counts pings to VMs that don't lead
 * @ticks: counts ticks of the election; a VM does not ping on each of them
 * @vms_received_at: when a list of VMs last came, on base_now()'s clock
 * @is_probing: the store is being asked whether it still serves this VM
 * @started_at: when the process began, on base_now()'s clock
 * @lead: set while this VM leads
 * @lead_serial: counts terms of this process, so that late answers are recognised
 * @is_contending: a transaction for the lead is in flight
 * @contended_version: version of the row that it would replace
 * @contended_term: term in the row that it would write
 * @stop_at: when the process ends, on base_now()'s clock; 0 unless stopping
 * @handover_deadline: the lead is handed over then at the latest, on base_now()'s clock
 * @requests: callers' requests in progress
 * @renewals: id of a server to what sited_agent.c may go on renewing there
 * @payloads: id of a job to the payload that a leader sent with its first start
 * @direct_servers_max: to the servers of a larger site, other VMs send a leader's orders
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
	char *config_text;
	unsigned int config_behind_pings;
	bool is_config_requested;
	GPtrArray *peers;
	unsigned int next_peer;
	unsigned int ticks;
	int64_t vms_received_at;
	bool is_probing;
	int64_t started_at;
	struct lead *lead;
	uint64_t lead_serial;
	struct sited_leader leader;
	bool is_contending;
	int64_t contended_version;
	int64_t contended_term;
	int64_t stop_at;
	int64_t handover_deadline;
	unsigned int requests;
	unsigned int direct_servers_max;
	GHashTable *renewals;
	GHashTable *payloads;
	struct sited_metrics metrics;
};

static inline bool sited_is_large(const struct sited *d)
{
	return d->site->cores >= SITED_LARGE_CORES;
}

static inline int64_t sited_now_ms(void)
{
	return base_now() / BASE_NS_PER_MS;
}

static inline int64_t sited_wall_ms(void)
{
	return base_wall_us() / 1000;
}

/** sited_partition() - the part of the store that holds a job */
const char *sited_partition(const char *job_id);

/* ---- sited_config.c ---- */

/** sited_config_start() - read the configuration and follow it */
void sited_config_start(struct sited *d);
/** sited_config_apply() - put a document in force if it is newer; @source for the log */
void sited_config_apply(struct sited *d, struct str value, const char *source);

/* ---- sited_front.c ---- */

void sited_on_request(struct httpd_request *req);
/** sited_on_ready() - tell the balancer whether to send callers here */
void sited_on_ready(struct httpd_request *req);
/** sited_on_relay() - carry out a request that a caller sent to another entry VM */
void sited_on_relay(struct onc_request *req);

/* ---- sited_agent.c ---- */

/* the payload of a job is kept at least so long after its last start */
#define AGENT_PAYLOAD_TTL_MS 20000

/** sited_agent_start() - renew leases while a leader that this VM helps is silent */
void sited_agent_start(struct sited *d);
/** sited_on_start(), sited_on_stop(), sited_on_poll() - carry out an order of the leader */
void sited_on_start(struct onc_request *req);
void sited_on_stop(struct onc_request *req);
void sited_on_poll(struct onc_request *req);

/* ---- sited_elect.c ---- */

void sited_elect_start(struct sited *d);
/** sited_leader_is_responsive() - another VM leads and answers */
bool sited_leader_is_responsive(const struct sited *d);
/** sited_leader_ping_done() - outcome of a ping to the leader */
void sited_leader_ping_done(struct sited *d, enum onc_result result,
			    const cl_lead_ping_res *answer);
/** sited_leader_reported() - what a peer says of who leads; an older row changes nothing */
void sited_leader_reported(struct sited *d, const struct sited_leader_row *row, const char *source);
/** sited_contend_if_vacant() - the lead was handed over: contend at once */
void sited_contend_if_vacant(struct sited *d);
/** sited_verify_leadership() - somebody else may lead: read the row and step down if so */
void sited_verify_leadership(struct sited *d, const char *why);
/** sited_step_down() - another VM leads for certain */
void sited_step_down(struct sited *d, const char *why);
/** sited_start_handover() - let another VM lead as soon as transactions are answered */
void sited_start_handover(struct sited *d);
/** sited_check_leader_row() - another row than the one that made this VM lead: step down */
void sited_check_leader_row(struct sited *d, const struct store_row *row);

#endif
