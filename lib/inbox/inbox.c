#include "inbox.h"

#include <errno.h>
#include <sys/eventfd.h>
#include <unistd.h>

struct inbox {
	_Atomic(struct inbox_msg *) head; /* newest message first */
	int fd;				  /* eventfd that wakes the receiver's loop */
	void *receiver;
	struct tevent_fd *fde;
};

static void on_wake(struct tevent_context *ev G_GNUC_UNUSED, struct tevent_fd *fde G_GNUC_UNUSED,
		    uint16_t flags G_GNUC_UNUSED, void *data)
{
	struct inbox *inbox = data;
	struct inbox_msg *list;
	struct inbox_msg *oldest = NULL;
	uint64_t count;

	if (read(inbox->fd, &count, sizeof(count)) < 0 && errno != EAGAIN)
		g_error("inbox: cannot read the eventfd");
	list = atomic_exchange_explicit(&inbox->head, NULL, memory_order_acquire);
	while (list) {
		struct inbox_msg *next = list->next;

		list->next = oldest;
		oldest = list;
		list = next;
	}
	while (oldest) {
		struct inbox_msg *msg = oldest;

		oldest = msg->next;
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
		g_error("inbox: cannot create an eventfd");
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
	/* a push onto a list that is not empty follows one that has already woken the receiver */
	if (!old && write(inbox->fd, &one, sizeof(one)) < 0)
		errno = 0;
}
