/**
 * DOC: inbox - lock-free message queue from any thread to the tevent loop of one thread
 *
 * The messages of one sender arrive in the order in which they were pushed.
 */
#ifndef INBOX_H
#define INBOX_H

#include <tevent.h>
#include "base/base.h"

/**
 * struct inbox_msg - head of a message; the first member of a struct with its content
 * @run: called on the receiving thread with the receiver given to inbox_new(); it then owns
 *       the message
 * @next: link in the queue, for the inbox only
 */
struct inbox_msg {
	void (*run)(struct inbox_msg *msg, void *receiver);
	struct inbox_msg *next;
};

struct inbox;

/**
 * inbox_new() - an inbox whose messages run on the loop @ev
 *
 * Must be called on the thread that runs @ev, or before that thread starts.
 */
struct inbox *inbox_new(TALLOC_CTX *ctx, struct tevent_context *ev, void *receiver);
/**
 * inbox_push() - send @msg and pass its ownership to the receiver
 *
 * @msg must not have a talloc parent that belongs to the sending thread, since
 * the receiver frees it and talloc takes no locks.
 */
void inbox_push(struct inbox *inbox, struct inbox_msg *msg);

#endif
