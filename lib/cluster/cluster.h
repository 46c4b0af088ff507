/**
 * DOC: cluster - what a process knows of the catalogue, the VMs and its peers
 *
 * An entry VM's entryd reads the platform and exchanges versions with its
 * peers; schedd reads from entryds only. Versions never go back: a delta is
 * taken only if it follows the version held. Belongs to one thread.
 */
#ifndef CLUSTER_H
#define CLUSTER_H

#include "onc/onc.h"
#include "platform/platform.h"
#include "proto/proto.h"
#include "settings/settings.h"

#define CLUSTER_PEERS_MAX 256

enum cluster_note_state { NOTE_LIVE, NOTE_LEAVING, NOTE_LOST };

/**
 * struct cluster_peer - another entry VM
 * @id: VM id
 * @failure_domain: its failure domain
 * @entry: address of its entryd for peers
 * @sched: address of its schedd for peers
 * @client: RPC client to its entryd, or NULL for this VM
 * @incarnation: its last announced start, 0 when unknown
 * @heard_at: when it was last heard, 0 for never
 * @is_draining: it announced a planned stop
 */
struct cluster_peer {
	char *id;
	char *failure_domain;
	struct address entry;
	struct address sched;
	struct onc_client *client;
	int64_t incarnation;
	int64_t heard_at;
	bool is_draining;
};

/**
 * struct cluster_hooks - what the owner wants to be told
 * @on_catalogue: a newer catalogue is in force
 * @on_vms: the VM list, the peers alive or the notes changed
 * @data: passed to both
 */
struct cluster_hooks {
	void (*on_catalogue)(void *data);
	void (*on_vms)(void *data);
	void *data;
};

struct cluster;

/** cluster_new() - @platform is NULL for a process that reads from peers only */
struct cluster *cluster_new(TALLOC_CTX *ctx, struct tevent_context *ev,
			    const struct settings *settings, struct platform *platform,
			    int64_t incarnation, const struct cluster_hooks *hooks);
/** cluster_has_contact() - a peer or scheduler of the own failure domain was heard within @ms */
bool cluster_has_contact(const struct cluster *c, int64_t ms);
/** cluster_has_scheduler() - the active scheduler of the failure domain was heard within @ms */
bool cluster_has_scheduler(const struct cluster *c, int64_t ms);
/** cluster_set_epoch() - a scheduler tells peers that it is active; 0 when it is not */
void cluster_set_epoch(struct cluster *c, int64_t epoch);
/** cluster_is_ready() - a catalogue is held and every reachable source was asked */
bool cluster_is_ready(const struct cluster *c);
const json_t *cluster_entries(const struct cluster *c);
int64_t cluster_version(const struct cluster *c);
const json_t *cluster_vms(const struct cluster *c);
/** cluster_peer_at() - the @i-th known entry VM, this one included, or NULL past the end */
struct cluster_peer *cluster_peer_at(const struct cluster *c, unsigned int i);
struct cluster_peer *cluster_find_peer(const struct cluster *c, const char *id);
/** cluster_is_live() - heard lately and not draining; true for this VM */
bool cluster_is_live(const struct cluster *c, const struct cluster_peer *peer);
/** cluster_is_gone() - the VM list no longer has it, or its incarnation is another */
bool cluster_is_gone(const struct cluster *c, const char *vm, int64_t incarnation);
/** cluster_note_set() - a fact about a backend server, passed on to peers until it lapses */
void cluster_note_set(struct cluster *c, const char *server, enum cluster_note_state state);
enum cluster_note_state cluster_note_get(const struct cluster *c, const char *server);
void cluster_set_draining(struct cluster *c);

extern const struct onc_proc cluster_procs[];
/** cluster_serve() - answer PEER_GOSSIP and PEER_PULL; false for other procedures */
bool cluster_serve(struct cluster *c, struct onc_request *req);

#define CLUSTER_PROC_GOSSIP 0
#define CLUSTER_PROC_PULL 1
#define CLUSTER_PROC_FORWARD 2
#define CLUSTER_PROC_COUNT 3

/* procedures of a scheduler's peers' port, used at both ends */
extern const struct onc_proc sched_procs[];

#define SCHED_PROC_SUBMIT 0
#define SCHED_PROC_STATE 1
#define SCHED_PROC_CANCEL 2
#define SCHED_PROC_COUNT 3

#endif
