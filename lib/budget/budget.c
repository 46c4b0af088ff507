#include "budget.h"

struct budget_limits budget_limits_for(size_t memory_bytes, unsigned int connections_cap,
				       size_t body_bytes)
{
	/* A process that is given less memory than it needs still serves a few callers. */
	size_t left = MAX(memory_bytes, BUDGET_PROCESS_BYTES + BUDGET_PROCESS_BYTES / 4) -
		      BUDGET_PROCESS_BYTES;
	size_t for_connections = (size_t)((double)left * BUDGET_CONNECTIONS_SHARE);
	size_t connections = MAX(for_connections / BUDGET_CONNECTION_BYTES, BUDGET_CONNECTIONS_MIN);

	return (struct budget_limits){.connections_max =
					      (unsigned int)MIN(connections, connections_cap),
				      .bodies_max = MAX(left - for_connections, body_bytes)};
}

/* True for a connection that may be closed because it made no progress for long. */
static bool is_stalled(const struct budget_conn *c, int64_t now)
{
	return (c->state == BUDGET_READING || c->state == BUDGET_ANSWERING) && !c->is_closing &&
	       now - c->progress_at >= BUDGET_STALL_MS * BASE_NS_PER_MS;
}

void budget_add(struct budget *b, struct budget_conn *c, int64_t now)
{
	c->link.data = c;
	c->progress_at = now;
	g_queue_push_tail_link(&b->conns, &c->link);
	b->count++;
}

void budget_remove(struct budget *b, struct budget_conn *c)
{
	budget_close(b, c);
	g_queue_unlink(&b->conns, &c->link);
}

void budget_close(struct budget *b, struct budget_conn *c)
{
	budget_release(b, c);
	if (!c->is_closing)
		b->count--;
	c->is_closing = true;
}

void budget_set_state(struct budget *b, struct budget_conn *c, enum budget_state state, int64_t now)
{
	if (state == BUDGET_READING)
		c->began_at = now;
	if (state == BUDGET_IDLE) {
		c->has_been_served |= c->state == BUDGET_ANSWERING;
		budget_release(b, c);
	}
	c->state = state;
	c->progress_at = now;
	c->unmarked = 0;
}

void budget_received(struct budget_conn *c, size_t len, int64_t now)
{
	c->unmarked += len;
	if (c->unmarked < BUDGET_PROGRESS_BYTES)
		return;
	c->progress_at = now;
	c->unmarked = 0;
}

void budget_release(struct budget *b, struct budget_conn *c)
{
	b->charged -= c->charged;
	c->charged = 0;
}

/* Returns the connection that made no progress for longest, and what all stalled ones hold. */
static struct budget_conn *find_stalled_holder(const struct budget *b, const struct budget_conn *c,
					       int64_t now, size_t *held)
{
	struct budget_conn *slowest = NULL;

	*held = 0;
	for (const GList *l = b->conns.head; l; l = l->next) {
		struct budget_conn *other = l->data;

		if (other == c || !other->charged || !is_stalled(other, now))
			continue;
		*held += other->charged;
		if (!slowest || other->progress_at < slowest->progress_at)
			slowest = other;
	}
	return slowest;
}

enum budget_outcome budget_charge(struct budget *b, struct budget_conn *c, size_t bytes,
				  int64_t now, struct budget_conn **victim)
{
	size_t more = bytes > c->charged ? bytes - c->charged : 0;
	size_t room = b->limits.bodies_max - MIN(b->charged, b->limits.bodies_max);
	struct budget_conn *slowest;
	size_t held;

	*victim = NULL;
	if (bytes <= BUDGET_SMALL_BYTES)
		return BUDGET_GRANTED;
	if (more <= room) {
		b->charged += more;
		c->charged += more;
		return BUDGET_GRANTED;
	}
	slowest = find_stalled_holder(b, c, now, &held);
	if (!slowest || more > room + held)
		return BUDGET_SHORT;
	*victim = slowest;
	return BUDGET_DISCONNECT;
}

enum { CLOSE_STALLED, CLOSE_UNUSED, CLOSE_IDLE, CLOSE_NEVER };

static int close_order(const struct budget_conn *c, int64_t now)
{
	if (c->is_closing || c->state == BUDGET_HANDLING)
		return CLOSE_NEVER;
	if (c->unread_at && now - c->unread_at < BUDGET_STALL_MS * BASE_NS_PER_MS)
		return CLOSE_NEVER;
	if (c->state != BUDGET_IDLE)
		return is_stalled(c, now) ? CLOSE_STALLED : CLOSE_NEVER;
	if (!c->has_been_served && now - c->progress_at >= BUDGET_STALL_MS * BASE_NS_PER_MS)
		return CLOSE_UNUSED;
	return CLOSE_IDLE;
}

struct budget_conn *budget_excess(const struct budget *b, const struct budget_conn *newest,
				  int64_t now)
{
	struct budget_conn *best = NULL;
	int best_order = CLOSE_NEVER;

	if (b->count <= b->limits.connections_max)
		return NULL;
	for (const GList *l = b->conns.head; l; l = l->next) {
		struct budget_conn *c = l->data;
		int order = c == newest ? CLOSE_NEVER : close_order(c, now);

		/* The first request of a new connection may be on its way. */
		if (!newest && !c->has_been_served && order == CLOSE_IDLE)
			continue;
		if (order < best_order ||
		    (best && order == best_order && c->progress_at < best->progress_at)) {
			best = c;
			best_order = order;
		}
	}
	return best;
}

static bool is_overdue(const struct budget_conn *c, int64_t idle_ms, int64_t now)
{
	if (c->is_closing)
		return false;
	if (c->state == BUDGET_READING)
		return now - c->began_at >= BUDGET_REQUEST_MAX_MS * BASE_NS_PER_MS;
	return c->state == BUDGET_IDLE && now - c->progress_at >= idle_ms * BASE_NS_PER_MS;
}

struct budget_conn *budget_overdue(const struct budget *b, int64_t idle_ms, int64_t now)
{
	for (const GList *l = b->conns.head; l; l = l->next)
		if (is_overdue(l->data, idle_ms, now))
			return l->data;
	return NULL;
}
