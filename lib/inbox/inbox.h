/**
 * DOC: inbox - messages to a thread's tevent loop from any thread, without locks
 */
#ifndef INBOX_H
#define INBOX_H

#include <tevent.h>
#include "base/base.h"

/**
 * struct inbox_msg - a message; embed it first in a larger one
 * @run: called on the receiving thread, which then owns the message
 * @next: used by the inbox
 */
struct inbox_msg {
	void (*run)(struct inbox_msg *msg, void *receiver);
	struct inbox_msg *next;
};

struct inbox;

/** inbox_new() - call on the receiving thread, or before that thread starts */
struct inbox *inbox_new(TALLOC_CTX *ctx, struct tevent_context *ev, void *receiver);
/** inbox_push() - hand over @msg, which must not be on a talloc context of this thread */
void inbox_push(struct inbox *inbox, struct inbox_msg *msg);

#endif
