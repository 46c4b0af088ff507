/**
 * DOC: recent - ids that are remembered for a limited time
 *
 * The set is bounded: when it is full, the oldest id is dropped. The module reads no
 * clock; times are monotonic, in ms, and never decrease from call to call.
 */
#ifndef RECENT_H
#define RECENT_H

#include "base/base.h"

struct recent;

/**
 * recent_new() - an empty set owned by @ctx
 * @max: most ids that it holds
 */
struct recent *recent_new(TALLOC_CTX *ctx, unsigned int max);
/** recent_add() - remember @id until @deadline, or until the later one of an earlier call */
void recent_add(struct recent *r, const char *id, int64_t deadline, int64_t now);
/** recent_remove() - forget @id */
void recent_remove(struct recent *r, const char *id);
/** recent_has() - true if @id is remembered at @now */
bool recent_has(const struct recent *r, const char *id, int64_t now);

#endif
