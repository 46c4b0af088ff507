/**
 * DOC: sited_peers - what the entry VMs of a site tell each other
 *
 * Every VM pings the one that leads. A ping carries, both ways, who leads, and
 * whether the sender reaches the store; an answer also carries the version of
 * the configuration and, now and then, the other VMs. So a VM that the store
 * turned away alone still learns who leads and what the configuration is, and
 * has somebody to pass callers' requests to.
 */
#ifndef SITED_PEERS_H
#define SITED_PEERS_H

#include "onc/onc.h"
#include "proto/proto.h"

#define SITED_TICK_MS 200 /* pings of a small site, in which every VM pings on each tick */

struct sited;

enum sited_proc {
	SITED_PROC_PING,
	SITED_PROC_STATE,
	SITED_PROC_RELAY,
	SITED_PROC_STORED,
	SITED_PROC_VACANT,
	SITED_PROC_CONFIG,
	SITED_PROC_START,
	SITED_PROC_STOP,
	SITED_PROC_POLL,
	SITED_PROC_COUNT
};

extern const struct onc_proc sited_procs[SITED_PROC_COUNT];

/** sited_on_peer() - answer a call of another entry VM */
void sited_on_peer(struct onc_request *req);
/** sited_ping_interval_ticks() - a VM of a site as large as this pings on one tick of so many */
unsigned int sited_ping_interval_ticks(const struct sited *d);
/** sited_ping_leader() - ask the leader whether it leads; sited_leader_ping_done() is told */
void sited_ping_leader(struct sited *d);
/** sited_ping_other() - ask one VM after another, who leads and whether the store is there */
void sited_ping_other(struct sited *d);
/** sited_has_silent_peer() - some VM that pinged this leader has gone silent */
bool sited_has_silent_peer(const struct sited *d);
/** sited_free_client_later() - free it later: one of its callbacks may be on the stack */
void sited_free_client_later(struct sited *d, struct onc_client **client);
/** sited_has_large_peer() - a VM that should lead instead of a small one */
bool sited_has_large_peer(const struct sited *d);

/** struct sited_vm - another entry VM, as it was last heard; its texts last for the turn */
struct sited_vm {
	const char *vm;
	const char *failure_domain;
	bool is_large;
	const struct address *address;
};

/** sited_live_vms() - the VMs that were heard lately; their number */
unsigned int sited_live_vms(const struct sited *d, struct sited_vm *out, unsigned int max);
/** sited_announce_lead() - ping the large VMs: they learn who leads, and are heard */
void sited_announce_lead(struct sited *d);
/** sited_had_large_peer() - a VM that should lead instead of a small one was there lately */
bool sited_had_large_peer(const struct sited *d);
/** sited_domain_is_silent() - no VM of another failure domain pings this leader any more */
bool sited_domain_is_silent(const struct sited *d, const char *failure_domain);
/** sited_relay_target() - a VM that answers and reaches the store, or NULL */
struct onc_client *sited_relay_target(struct sited *d);
/** sited_notify_stored() - tell the leader of a job's row that this VM has written */
void sited_notify_stored(struct sited *d, const char *id, const char *row, int64_t version);
/** sited_notify_vacant() - tell all VMs that nobody leads any more */
void sited_notify_vacant(struct sited *d);

#endif
