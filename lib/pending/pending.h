/**
 * DOC: pending - number of pending jobs of each queue, and when they were counted
 *
 * Only a leader that has read all jobs can count them. Every other process passes such counts on,
 * with their age, or says that it has none: a queue without an entry has no pending job only
 * as long as the counts are known. The module does no I/O and reads no clock; times are in ms on
 * any monotonic clock.
 */
#ifndef PENDING_H
#define PENDING_H

#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"

#define PENDING_AGE_MAX_MS 2000 /* limit of the published protocol */

/**
 * struct pending - counts of one moment
 * @by_queue: name of a queue to int64_t; queues without pending jobs have no entry
 * @counted_at: when they were counted, or a moment before; 0 for never
 */
struct pending {
	GHashTable *by_queue;
	int64_t counted_at;
};

/** pending_new() - counts that are not known */
struct pending *pending_new(TALLOC_CTX *ctx);
/** pending_restart() - drop all counts; those that follow are of @counted_at */
void pending_restart(struct pending *p, int64_t counted_at);
/** pending_add() - count @jobs more for @queue */
void pending_add(struct pending *p, const char *queue, int64_t jobs);
/** pending_is_known() - the counts may be told at @now */
bool pending_is_known(const struct pending *p, int64_t now);
/** pending_of() - pending jobs of @queue; only while the counts are known */
int64_t pending_of(const struct pending *p, const char *queue);

#endif
