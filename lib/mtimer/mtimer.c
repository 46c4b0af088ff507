#include "mtimer.h"

#include <sys/timerfd.h>
#include <unistd.h>

/* timers of one loop, soonest first */
struct mtimers {
	struct tevent_context *ev;
	struct tevent_fd *fde;
	int fd;
	GSequence *queue;
	int64_t armed_for; /* 0 when not armed */
	struct mtimers *next;
};

struct mtimer {
	struct mtimers *set;
	GSequenceIter *place; /* NULL once it has fired */
	int64_t deadline;
	uint64_t order;
	mtimer_handler *handler;
	void *data;
};

static _Thread_local struct mtimers *thread_sets;
static _Thread_local uint64_t next_order;

static gint compare(gconstpointer a, gconstpointer b, gpointer data G_GNUC_UNUSED)
{
	const struct mtimer *x = a;
	const struct mtimer *y = b;

	if (x->deadline != y->deadline)
		return x->deadline < y->deadline ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

static struct mtimer *first_of(struct mtimers *set)
{
	GSequenceIter *it = g_sequence_get_begin_iter(set->queue);

	return g_sequence_iter_is_end(it) ? NULL : g_sequence_get(it);
}

/*
 * Most timers are deadlines that are cancelled long before they come. To expire
 * once with nothing due costs less than a system call for each of them.
 */
static void arm(struct mtimers *set)
{
	struct mtimer *first = first_of(set);
	struct itimerspec spec = {{0, 0}, {0, 0}};
	int64_t at = first ? MAX(first->deadline, 1) : 0;

	if (!at || (set->armed_for && set->armed_for <= at))
		return;
	set->armed_for = at;
	spec.it_value.tv_sec = at / 1000000000LL;
	spec.it_value.tv_nsec = at % 1000000000LL;
	timerfd_settime(set->fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

static void on_expiry(struct tevent_context *ev G_GNUC_UNUSED, struct tevent_fd *fde G_GNUC_UNUSED,
		      uint16_t flags G_GNUC_UNUSED, void *data)
{
	struct mtimers *set = data;
	int64_t now = base_now_ns();
	uint64_t ticks;
	struct mtimer *t;

	/* only clears the descriptor; how often it expired does not matter */
	if (read(set->fd, &ticks, sizeof(ticks)) < 0)
		ticks = 0;
	set->armed_for = 0;
	while ((t = first_of(set)) && t->deadline <= now) {
		g_sequence_remove(t->place);
		t->place = NULL;
		talloc_steal(set, t); /* the handler may free the owner */
		t->handler(t, t->data);
		talloc_free(t);
	}
	arm(set);
}

static int set_destructor(struct mtimers *set)
{
	struct mtimers **slot = &thread_sets;

	while (*slot && *slot != set)
		slot = &(*slot)->next;
	if (*slot)
		*slot = set->next;
	TALLOC_FREE(set->fde);
	close(set->fd);
	g_sequence_free(set->queue);
	set->queue = NULL;
	return 0;
}

static struct mtimers *set_of(struct tevent_context *ev)
{
	struct mtimers *set;

	for (set = thread_sets; set; set = set->next)
		if (set->ev == ev)
			return set;
	set = talloc_zero(ev, struct mtimers);
	set->ev = ev;
	set->fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	if (set->fd < 0) {
		talloc_free(set);
		return NULL;
	}
	set->queue = g_sequence_new(NULL);
	set->fde = tevent_add_fd(ev, set, set->fd, TEVENT_FD_READ, on_expiry, set);
	set->next = thread_sets;
	thread_sets = set;
	talloc_set_destructor(set, set_destructor);
	return set;
}

static int timer_destructor(struct mtimer *t)
{
	if (t->place && t->set->queue) {
		g_sequence_remove(t->place);
		t->place = NULL;
	}
	return 0;
}

struct mtimer *mtimer_add(TALLOC_CTX *ctx, struct tevent_context *ev, int64_t deadline,
			  mtimer_handler *handler, void *data)
{
	struct mtimers *set = set_of(ev);
	struct mtimer *t;

	if (!set)
		return NULL;
	t = talloc_zero(ctx, struct mtimer);
	t->set = set;
	t->deadline = deadline;
	t->order = next_order++;
	t->handler = handler;
	t->data = data;
	t->place = g_sequence_insert_sorted(set->queue, t, compare, NULL);
	talloc_set_destructor(t, timer_destructor);
	arm(set);
	return t;
}
