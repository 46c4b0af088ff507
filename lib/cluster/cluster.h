/**
 * DOC: cluster - replicates the catalogue, the VM list and the peers' state
 *
 * entryd reads the catalogue and the VM list from the platform, exchanges
 * version numbers with its peers by gossip and pulls what is newer there.
 * schedd reads from entryds only. Versions never decrease: a delta is applied
 * only if it directly follows the current version. All functions are called
 * on one thread. Times are those of base_now_ns(), in ns.
 */
#ifndef CLUSTER_H
#define CLUSTER_H

#include "onc/onc.h"
#include "platform/platform.h"
#include "proto/proto.h"
#include "settings/settings.h"

#define CLUSTER_PEERS_MAX 256

/**
 * enum cluster_note_state - state of a backend server that processes gossip
 * @NOTE_LIVE: takes work; also the state of a server without a note
 * @NOTE_LEAVING: announced that it leaves; takes no new work
 * @NOTE_LOST: given up; its tasks' leases are not renewed
 *
 * The values are sent to peers.
 */
enum cluster_note_state { NOTE_LIVE, NOTE_LEAVING, NOTE_LOST };

/**
 * struct cluster_peer - an entry VM, this one included
 * @id: VM id
 * @failure_domain: its failure domain
 * @entry: peers' address of its entryd
 * @sched: peers' address of its schedd
 * @client: RPC client to its entryd; NULL for the entryd of this process
 * @incarnation: start time of its entryd in us since the epoch; 0 when unknown
 * @last_seen_at: time of its last gossip message, 0 for never
 * @is_draining: it announced a planned stop
 */
struct cluster_peer {
	char *id;
	char *failure_domain;
	struct address entry;
	struct address sched;
	struct onc_client *client;
	int64_t incarnation;
	int64_t last_seen_at;
	bool is_draining;
};

/**
 * struct cluster_hooks - callbacks on a change
 * @on_catalogue: the catalogue changed
 * @on_vms: the VM list, the set of live peers or a note changed
 * @data: passed to both
 */
struct cluster_hooks {
	void (*on_catalogue)(void *data);
	void (*on_vms)(void *data);
	void *data;
};

struct cluster;

/**
 * cluster_new() - start to replicate the cluster's state
 * @platform: client of the platform; NULL for a process that reads from peers only
 * @incarnation: start time of this entryd in us since the epoch; for schedd see
 *               cluster_set_epoch()
 * @hooks: copied; may be called before cluster_new() returns
 */
struct cluster *cluster_new(TALLOC_CTX *ctx, struct tevent_context *ev,
			    const struct settings *settings, struct platform *platform,
			    int64_t incarnation, const struct cluster_hooks *hooks);
/**
 * cluster_has_contact() - a process of the own failure domain sent gossip within the last @ms
 *
 * Any other entryd or schedd counts, also a schedd on this VM.
 */
bool cluster_has_contact(const struct cluster *c, int64_t ms);
/** cluster_has_scheduler() - the own domain's active scheduler sent gossip within the last @ms */
bool cluster_has_scheduler(const struct cluster *c, int64_t ms);
/**
 * cluster_set_epoch() - announce in gossip whether this scheduler is active
 * @epoch: its epoch, or 0 when it is not active; sent in place of an incarnation
 */
void cluster_set_epoch(struct cluster *c, int64_t epoch);
/**
 * cluster_is_ready() - the catalogue and the VM list are known and all first calls have ended
 *
 * Every seed and the platform have then replied once, or their first call failed.
 */
bool cluster_is_ready(const struct cluster *c);
/** cluster_entries() - all entries of the catalogue; borrowed until the next change */
const json_t *cluster_entries(const struct cluster *c);
/** cluster_version() - version of the catalogue, 0 while there is none */
int64_t cluster_version(const struct cluster *c);
/** cluster_vms() - the VM list, an array; borrowed until the next change */
const json_t *cluster_vms(const struct cluster *c);
/** cluster_peer_at() - the @i-th known entry VM, this one included, or NULL past the end */
struct cluster_peer *cluster_peer_at(const struct cluster *c, unsigned int i);
/** cluster_find_peer() - the entry VM of that id, or NULL */
struct cluster_peer *cluster_find_peer(const struct cluster *c, const char *id);
/**
 * cluster_is_live() - a peer sent gossip recently and is not draining
 *
 * The peer without a client (this process) is live until cluster_set_draining().
 */
bool cluster_is_live(const struct cluster *c, const struct cluster_peer *peer);
/** cluster_is_gone() - @vm has left the VM list or restarted since @incarnation */
bool cluster_is_gone(const struct cluster *c, const char *vm, int64_t incarnation);
/** cluster_note_set() - record a backend server's state and gossip it until it expires */
void cluster_note_set(struct cluster *c, const char *server, enum cluster_note_state state);
/** cluster_note_get() - state of a backend server, NOTE_LIVE when there is no current note */
enum cluster_note_state cluster_note_get(const struct cluster *c, const char *server);
/** cluster_set_draining() - announce a planned stop to all peers at once */
void cluster_set_draining(struct cluster *c);

/* procedures of an entryd's peers' port, used at both ends */
extern const struct onc_proc cluster_procs[];
/** cluster_serve() - answer PEER_GOSSIP and PEER_PULL; return false for other procedures */
bool cluster_serve(struct cluster *c, struct onc_request *req);

#define CLUSTER_PROC_GOSSIP 0
#define CLUSTER_PROC_PULL 1
#define CLUSTER_PROC_FORWARD 2
#define CLUSTER_PROC_COUNT 3

/* procedures of a schedd's peers' port, used at both ends */
extern const struct onc_proc sched_procs[];

#define SCHED_PROC_SUBMIT 0
#define SCHED_PROC_STATE 1
#define SCHED_PROC_CANCEL 2
#define SCHED_PROC_COUNT 3

#endif
