/**
 * DOC: settings - one VM's settings file, checked as a whole
 *
 * Both daemons of a VM read the same file. Every fault is reported in one go
 * with file, line, key and what was expected; unknown keys are refused.
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "base/base.h"

#define SETTINGS_LIST_MAX 64

/**
 * struct address - an IPv4 address and port
 * @ip: dotted quad
 * @port: port in host order
 */
struct address {
	char ip[16];
	uint16_t port;
};

/** address_parse() - parse "ip:port"; false when malformed */
bool address_parse(const char *text, struct address *out);

/**
 * struct settings - what a daemon knows of itself
 * @vm: id of this VM
 * @failure_domain: failure domain of this VM
 * @peer_networks: networks whose addresses may use the peers' ports
 * @seeds: peers to ask when the platform is away
 * @platform: the platform's table service
 * @entry_callers: where entryd serves callers
 * @entry_peers: where entryd serves peers
 * @entry_operators: where entryd serves operators
 * @entry_threads: request threads
 * @sched_peers: where schedd serves peers
 * @sched_operators: where schedd serves operators
 * @weight_percent: 0 favours completion time, 100 low fragmentation
 * @urgent_percent: share of the accelerators left to work that urgent jobs can stop
 * @reclaim_ms: how long borrowed work may take to checkpoint and stop, in ms
 * @lease_ms: lease of tasks on backend servers, in ms
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
 * @faults: set to all faults, a line each, owned by @ctx, or NULL
 * Return: the settings owned by @ctx, or NULL when there are faults.
 */
struct settings *settings_load(TALLOC_CTX *ctx, const char *path, char **faults);

#endif
