/**
 * DOC: queues - the queues, workspaces and services that operators declare
 *
 * Plain data and look-ups; a version is replaced as a whole and never changed.
 */
#ifndef QUEUES_H
#define QUEUES_H

#include "base/base.h"

#define QUEUES_URGENT_PRIORITY 0 /* may preempt, and is what guarantees are for */

/**
 * struct queue - where callers submit jobs of one kind
 * @host: name that callers put into the Host header
 * @prefix: first part of the path of its jobs
 * @service: name of the pool of backend servers that runs its jobs
 * @priority: 0 comes first and may preempt the others
 * @attempts: a task that failed this often fails its job
 * @stretch: the objective is this multiple of the job's longest chain of work
 * @slo_ms: and so much more, in ms
 * @is_public: callers need no key
 * @has_advisor: another service decides which servers may run a step
 */
struct queue {
	char *name;
	char *host;
	char *prefix;
	char *service;
	int64_t priority;
	int64_t attempts;
	double stretch;
	int64_t slo_ms;
	bool is_public;
	bool has_advisor;
};

/**
 * struct workspace - a tenant
 * @keys: what its callers identify themselves with
 * @guaranteed_accelerators: its own at all times for urgent jobs
 */
struct workspace {
	char *name;
	char **keys;
	unsigned int key_count;
	int64_t guaranteed_accelerators;
};

/**
 * struct queues - one version of the declaration
 * @body_max: largest body of a submitted job, in bytes
 */
struct queues {
	int64_t version;
	struct queue *queue;
	unsigned int queue_count;
	struct workspace *workspace;
	unsigned int workspace_count;
	int64_t body_max;
};

/** queues_match() - the queue with the longest prefix of @path on @host, or NULL */
const struct queue *queues_match(const struct queues *q, struct str host, struct str path);
/** queues_find_workspace() - the workspace that holds @key, or NULL */
const struct workspace *queues_find_workspace(const struct queues *q, struct str key);

#endif
