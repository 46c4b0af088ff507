#include "mtimer.h"

#include <sys/timerfd.h>
#include <unistd.h>

/* the timers of one loop and the timerfd that wakes it */
struct mtimer_queue {
	struct tevent_context *ev;
	struct tevent_fd *fde;
	int fd;
	GSequence *timers; /* ordered by deadline, then by creation */
	int64_t armed_for; /* expiry of the timerfd in ns; 0 when it is not armed */
	struct mtimer_queue *next;
};

struct mtimer {
	struct mtimer_queue *queue;
	GSequenceIter *iter; /* position in the queue; NULL once the timer has fired */
	int64_t deadline;
	uint64_t sequence; /* timers of one deadline fire in the order of creation */
	mtimer_handler *handler;
	void *data;
};

static _Thread_local struct mtimer_queue *thread_queues;
static _Thread_local uint64_t next_sequence;

static gint compare(gconstpointer a, gconstpointer b, gpointer data G_GNUC_UNUSED)
{
	const struct mtimer *x = a;
	const struct mtimer *y = b;

	if (x->deadline != y->deadline)
		return x->deadline < y->deadline ? -1 : 1;
	return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static struct mtimer *first_of(struct mtimer_queue *queue)
{
	GSequenceIter *it = g_sequence_get_begin_iter(queue->timers);

	return g_sequence_iter_is_end(it) ? NULL : g_sequence_get(it);
}

/*
 * Arms the timerfd for the first timer, unless it expires earlier already. Most
 * timers are deadlines that are cancelled long before they are due. The timerfd
 * is left as it is when a timer is cancelled, because one expiry with no timer
 * due costs less than a system call for each cancelled timer.
 */
static void arm(struct mtimer_queue *queue)
{
	struct mtimer *first = first_of(queue);
	struct itimerspec spec = {{0, 0}, {0, 0}};
	int64_t expiry = first ? MAX(first->deadline, 1) : 0;

	if (!expiry || (queue->armed_for && queue->armed_for <= expiry))
		return;
	queue->armed_for = expiry;
	spec.it_value.tv_sec = expiry / 1000000000LL;
	spec.it_value.tv_nsec = expiry % 1000000000LL;
	timerfd_settime(queue->fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

static void on_expiry(struct tevent_context *ev G_GNUC_UNUSED, struct tevent_fd *fde G_GNUC_UNUSED,
		      uint16_t flags G_GNUC_UNUSED, void *data)
{
	struct mtimer_queue *queue = data;
	int64_t now = base_now_ns();
	uint64_t ticks;
	struct mtimer *t;

	/* makes the descriptor unreadable again; the number of expirations is not needed */
	if (read(queue->fd, &ticks, sizeof(ticks)) < 0)
		ticks = 0;
	queue->armed_for = 0;
	while ((t = first_of(queue)) && t->deadline <= now) {
		g_sequence_remove(t->iter);
		t->iter = NULL;
		talloc_steal(queue, t); /* keeps the timer valid when the handler frees its owner */
		t->handler(t, t->data);
		talloc_free(t);
	}
	arm(queue);
}

static int queue_destructor(struct mtimer_queue *queue)
{
	struct mtimer_queue **slot = &thread_queues;

	while (*slot && *slot != queue)
		slot = &(*slot)->next;
	if (*slot)
		*slot = queue->next;
	TALLOC_FREE(queue->fde);
	close(queue->fd);
	g_sequence_free(queue->timers);
	queue->timers = NULL;
	return 0;
}

static struct mtimer_queue *queue_of(struct tevent_context *ev)
{
	struct mtimer_queue *queue;

	for (queue = thread_queues; queue; queue = queue->next)
		if (queue->ev == ev)
			return queue;
	queue = talloc_zero(ev, struct mtimer_queue);
	queue->ev = ev;
	queue->fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	if (queue->fd < 0) {
		talloc_free(queue);
		return NULL;
	}
	queue->timers = g_sequence_new(NULL);
	queue->fde = tevent_add_fd(ev, queue, queue->fd, TEVENT_FD_READ, on_expiry, queue);
	queue->next = thread_queues;
	thread_queues = queue;
	talloc_set_destructor(queue, queue_destructor);
	return queue;
}

static int timer_destructor(struct mtimer *t)
{
	if (t->iter && t->queue->timers) {
		g_sequence_remove(t->iter);
		t->iter = NULL;
	}
	return 0;
}

struct mtimer *mtimer_add(TALLOC_CTX *ctx, struct tevent_context *ev, int64_t deadline,
			  mtimer_handler *handler, void *data)
{
	struct mtimer_queue *queue = queue_of(ev);
	struct mtimer *t;

	if (!queue)
		return NULL;
	t = talloc_zero(ctx, struct mtimer);
	t->queue = queue;
	t->deadline = deadline;
	t->sequence = next_sequence++;
	t->handler = handler;
	t->data = data;
	t->iter = g_sequence_insert_sorted(queue->timers, t, compare, NULL);
	talloc_set_destructor(t, timer_destructor);
	arm(queue);
	return t;
}
