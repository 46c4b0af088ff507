/**
 * DOC: sited_peers - calls between the entry VMs of a site
 *
 * Every VM pings the leader. A ping and its answer name the leader and report how
 * long the sender's calls to the store have failed. An answer also carries the version
 * of the configuration and, on request, a list of other VMs. A VM that alone is
 * rejected by the store therefore still learns the leader and the configuration, and
 * knows peers to which it can pass callers' requests.
 */
#ifndef SITED_PEERS_H
#define SITED_PEERS_H

#include "onc/onc.h"
#include "proto/proto.h"

#define SITED_TICK_MS 200 /* ping interval in a small site, where every VM pings on each tick */

struct sited;

enum sited_proc {
	SITED_PROC_PING,
	SITED_PROC_STATE,
	SITED_PROC_RELAY,
	SITED_PROC_STORED,
	SITED_PROC_VACANT,
	SITED_PROC_CONFIG,
	SITED_PROC_START,
	SITED_PROC_START_IN,
	SITED_PROC_STOP,
	SITED_PROC_POLL,
	SITED_PROC_COUNT
};

extern const struct onc_proc sited_procs[SITED_PROC_COUNT];

/** sited_on_peer() - handle a call from another entry VM */
void sited_on_peer(struct onc_request *req);
/** sited_ping_interval_ticks() - ticks between two pings of a VM; grows with the site */
unsigned int sited_ping_interval_ticks(const struct sited *d);
/** sited_ping_leader() - ping the leader; sited_leader_ping_done() gets the outcome */
void sited_ping_leader(struct sited *d);
/**
 * sited_ping_other() - ping the next peer in turn
 *
 * The answer names the leader and tells whether the peer reaches the store.
 */
void sited_ping_other(struct sited *d);
/** sited_has_silent_peer() - a VM that was in contact recently has become silent */
bool sited_has_silent_peer(const struct sited *d);
/**
 * sited_free_client_later() - free an RPC client after a delay and set @client to NULL
 *
 * One of the client's callbacks may be on the stack.
 */
void sited_free_client_later(struct sited *d, struct onc_client **client);
/** sited_has_large_peer() - a large VM that reaches the store was in contact recently */
bool sited_has_large_peer(const struct sited *d);

/** struct sited_vm - another entry VM; its pointers are valid until the event loop continues */
struct sited_vm {
	const char *vm;
	const char *failure_domain;
	bool is_large;
	const struct address *address;
};

/**
 * sited_live_vms() - list the peers that were in contact recently
 * @max: number of entries in @out
 * Return: number of entries filled in.
 */
unsigned int sited_live_vms(const struct sited *d, struct sited_vm *out, unsigned int max);
/**
 * sited_large_addresses() - large VMs that were in contact or named by a peer within 10 s
 * @max: number of entries in @out; those of this VM's failure domain come first
 * Return: number of entries filled in.
 */
unsigned int sited_large_addresses(const struct sited *d, struct address *out, unsigned int max);
/**
 * sited_announce_lead() - ping all large VMs as a new leader
 *
 * They learn the leader, and their answers show which of them are alive.
 */
void sited_announce_lead(struct sited *d);
/** sited_had_large_peer() - a large VM was in contact, or named by a peer, within 10 s */
bool sited_had_large_peer(const struct sited *d);
/**
 * sited_domain_silent_since() - since when all known VMs of another failure domain are silent
 *
 * Return: monotonic ms; 0 while the domain is not silent.
 */
int64_t sited_domain_silent_since(const struct sited *d, const char *failure_domain);
/** sited_relay_target() - RPC client to a VM that answers and reaches the store, or NULL */
struct onc_client *sited_relay_target(struct sited *d);
/** sited_notify_stored() - send the leader a job's row that this VM has written */
void sited_notify_stored(struct sited *d, const char *id, const char *row);
/** sited_notify_vacant() - notify all peers that this VM has handed leadership over */
void sited_notify_vacant(struct sited *d);

#endif
