/**
 * DOC: qchange - changes between versions of the declared queues and workspaces
 *
 * A change is sent between VMs in place of the whole declaration, which can be
 * too long for a small link. Load pattern: thousands of queues, of which each change
 * touches few, many times an hour, on VMs with links of 10 Mbit/s.
 */
#ifndef QCHANGE_H
#define QCHANGE_H

#include "queues/queues.h"

/**
 * qchange_encode() - the change that turns @before into @after
 * @before: NULL for a change that declares everything
 * Return: bytes owned by @ctx; empty when the declaration is longer than the protocol allows.
 */
struct str qchange_encode(TALLOC_CTX *ctx, const struct queues *before, const struct queues *after);

/**
 * qchange_apply() - the version that @change makes of @before
 * @before: the version in force, NULL for none
 * @fault: set to the reason when NULL is returned
 * Return: the new version, owned by @ctx, or NULL when the change cannot be decoded or does not
 *	follow @before.
 */
struct queues *qchange_apply(TALLOC_CTX *ctx, const struct queues *before, struct str change,
			     const char **fault);

/* ---- the last changes ---- */

#define QCHANGE_HISTORY_BYTES 1000000 /* of all changes; older ones are dropped */
#define QCHANGE_HISTORY_STEPS 256     /* changes */

struct qchange_history;

/** qchange_history_new() - no changes yet */
struct qchange_history *qchange_history_new(TALLOC_CTX *ctx);
/**
 * qchange_history_add() - keep a change from the newest version known to @version
 *
 * A change that does not begin there drops those before it.
 */
void qchange_history_add(struct qchange_history *h, int64_t before, int64_t version,
			 struct str change);
/**
 * qchange_history_since() - the changes from @version up to the newest, in order
 * @out: room for QCHANGE_HISTORY_STEPS changes; valid until the next qchange_history_add()
 * Return: number of changes, 0 when they are not all kept.
 */
unsigned int qchange_history_since(const struct qchange_history *h, int64_t version,
				   struct str *out);

#endif
