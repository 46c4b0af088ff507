#include "queues.h"

#include <string.h>

const struct queue *queues_match(const struct queues *q, struct str host, struct str path)
{
	const struct queue *best = NULL;
	size_t best_len = 0;

	for (unsigned int i = 0; i < q->queue_count; i++) {
		const struct queue *candidate = &q->queue[i];
		size_t len = strlen(candidate->prefix);

		if (len < best_len || len > path.len || memcmp(path.ptr, candidate->prefix, len))
			continue;
		if (strlen(candidate->host) != host.len ||
		    strncasecmp(candidate->host, host.ptr, host.len))
			continue;
		best = candidate;
		best_len = len;
	}
	return best;
}

const struct workspace *queues_find_workspace(const struct queues *q, struct str key)
{
	for (unsigned int i = 0; i < q->workspace_count; i++) {
		const struct workspace *w = &q->workspace[i];

		for (unsigned int k = 0; k < w->key_count; k++)
			if (str_eq(str_from(w->keys[k]), key))
				return w;
	}
	return NULL;
}
