/**
 * DOC: queues - the queues, workspaces and services that operators declare
 *
 * Plain data and look-ups. A version of the declaration is immutable; a new
 * version replaces it as a whole.
 */
#ifndef QUEUES_H
#define QUEUES_H

#include "base/base.h"

#define QUEUES_URGENT_PRIORITY 0 /* may preempt; capacity guarantees apply to it */

/**
 * struct queue - entry point for jobs of one kind
 * @host: value of the Host header of its requests
 * @prefix: prefix of the request path of its jobs
 * @service: name of the pool of backend servers that runs its jobs
 * @priority: 0 is the highest and may preempt the others
 * @attempts: number of failures of a task that make its job fail
 * @stretch: multiple of the job's critical path in its completion time objective
 * @slo_ms: constant added to that multiple in the objective, in ms
 * @is_public: callers need no key
 * @has_advisor: an external service decides which servers may run a step
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
 * @keys: keys by which its callers authenticate
 * @guaranteed_accelerators: number guaranteed to its urgent jobs at all times
 */
struct workspace {
	char *name;
	char **keys;
	unsigned int key_count;
	int64_t guaranteed_accelerators;
};

/**
 * struct queues - one version of the declaration
 * @version: version of the declaration
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

/** queues_match() - queue on @host whose prefix is the longest that matches @path, or NULL */
const struct queue *queues_match(const struct queues *q, struct str host, struct str path);
/** queues_find_workspace() - workspace that @key belongs to, or NULL */
const struct workspace *queues_find_workspace(const struct queues *q, struct str key);

#endif
