/**
 * DOC: settings - the settings file of a VM (TOML)
 *
 * currantlane-entryd and currantlane-schedd of a VM read the same file. All
 * errors of a file are reported together, each with file, line, key and the
 * expected value; unknown keys are errors.
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "base/base.h"

#define SETTINGS_LIST_MAX 64 /* entries of a list */

/**
 * struct address - an IPv4 address and port
 * @ip: dotted decimal
 * @port: port in host order
 */
struct address {
	char ip[16];
	uint16_t port;
};

/** address_parse() - parse "ip:port"; false when @text is NULL or malformed */
bool address_parse(const char *text, struct address *out);

/**
 * struct settings - the checked settings of a VM; sections and keys are named in settings.c
 * @vm: id of this VM
 * @failure_domain: failure domain of this VM
 * @peer_networks: networks as "a.b.c.d/n" whose addresses may connect to the peers' ports
 * @peer_network_count: number of entries in @peer_networks
 * @seeds: peers to ask for the catalogue and the VM list when the platform is unavailable
 * @seed_count: number of entries in @seeds
 * @platform: address of the platform's table service
 * @entry_callers: address on which entryd serves callers
 * @entry_peers: address on which entryd serves peers
 * @entry_operators: address on which entryd serves operators
 * @entry_threads: number of entryd's request threads
 * @sched_peers: address on which schedd serves peers
 * @sched_operators: address on which schedd serves operators
 * @weight_percent: objective of placement, from 0 for short completion times to 100
 *                  for low fragmentation
 * @urgent_percent: share of the accelerators left to work that urgent jobs can preempt
 *                  cheaply, in percent
 * @reclaim_ms: time that work preempted from borrowed capacity gets to checkpoint and
 *              stop, in ms
 * @lease_ms: duration of the leases of tasks on backend servers, in ms
 * @log_file: log file, "-" for stderr
 * @trace_file: span file, "" for none
 */
struct settings {
	char *vm;
	char *failure_domain;
	char *peer_networks[SETTINGS_LIST_MAX];
	unsigned int peer_network_count;
	struct address seeds[SETTINGS_LIST_MAX];
	unsigned int seed_count;
	struct address platform;
	struct address entry_callers;
	struct address entry_peers;
	struct address entry_operators;
	int64_t entry_threads;
	struct address sched_peers;
	struct address sched_operators;
	int64_t weight_percent;
	int64_t urgent_percent;
	int64_t reclaim_ms;
	int64_t lease_ms;
	char *log_file;
	char *trace_file;
};

/**
 * settings_load() - read and check a settings file
 * @errors: set to all errors, one per line, owned by @ctx, or to NULL when there are none
 * Return: the settings owned by @ctx, or NULL when there are errors.
 */
struct settings *settings_load(TALLOC_CTX *ctx, const char *path, char **errors);

#endif
