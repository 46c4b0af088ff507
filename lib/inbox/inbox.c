#include "inbox.h"

#include <errno.h>
#include <sys/eventfd.h>
#include <unistd.h>

struct inbox {
	_Atomic(struct inbox_msg *) head; /* newest first */
	int fd;
	void *receiver;
	struct tevent_fd *fde;
};

static void on_wake(struct tevent_context *ev G_GNUC_UNUSED, struct tevent_fd *fde G_GNUC_UNUSED,
		    uint16_t flags G_GNUC_UNUSED, void *data)
{
	struct inbox *inbox = data;
	struct inbox_msg *list;
	struct inbox_msg *ordered = NULL;
	uint64_t count;

	if (read(inbox->fd, &count, sizeof(count)) < 0 && errno != EAGAIN)
		g_error("inbox: eventfd is broken");
	list = atomic_exchange_explicit(&inbox->head, NULL, memory_order_acquire);
	while (list) {
		struct inbox_msg *next = list->next;

		list->next = ordered;
		ordered = list;
		list = next;
	}
	while (ordered) {
		struct inbox_msg *msg = ordered;

		ordered = msg->next;
		msg->run(msg, inbox->receiver);
	}
}

static int inbox_destructor(struct inbox *inbox)
{
	TALLOC_FREE(inbox->fde);
	close(inbox->fd);
	return 0;
}

struct inbox *inbox_new(TALLOC_CTX *ctx, struct tevent_context *ev, void *receiver)
{
	struct inbox *inbox = talloc_zero(ctx, struct inbox);

	inbox->receiver = receiver;
	inbox->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (inbox->fd < 0)
		g_error("inbox: no eventfd");
	inbox->fde = tevent_add_fd(ev, inbox, inbox->fd, TEVENT_FD_READ, on_wake, inbox);
	talloc_set_destructor(inbox, inbox_destructor);
	return inbox;
}

void inbox_push(struct inbox *inbox, struct inbox_msg *msg)
{
	struct inbox_msg *old = atomic_load_explicit(&inbox->head, memory_order_relaxed);
	uint64_t one = 1;

	do {
		msg->next = old;
	} while (!atomic_compare_exchange_weak_explicit(
		&inbox->head, &old, msg, memory_order_release, memory_order_relaxed));
	/* only the push onto an empty list has to wake the thread */
	if (!old && write(inbox->fd, &one, sizeof(one)) < 0)
		errno = 0;
}
