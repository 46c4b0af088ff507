/*
 * Tells callers how many jobs of a queue are pending. The leader counts them once it has read all
 * jobs, and other VMs get its counts by the answers to their pings. While nobody has counted
 * lately, as after a takeover, a request waits a little for the next counts.
 */
#include "sited_front.h"

#include <string.h>

#include "mtimer/mtimer.h"

/* each VM requests the counts 5 times a second */
#define COUNT_EVERY_MS 100
/* a new leader has read all jobs within this on most sites */
#define COUNT_WAIT_MS 500
#define COUNT_RETRY_MS 40
/*
 * Name of the entry that holds the age of the counts in ms, -1 when they are not known. It names
 * no queue, so VMs of earlier versions pass it over.
 */
#define AGE_ENTRY ""

/** struct pending_wait - a caller's request that waits for the counts */
struct pending_wait {
	struct sited *d;
	struct httpd_request *req;
	char *queue;
	int64_t deadline;
};

static const struct pending *known_counts(struct sited *d)
{
	int64_t now = sited_now_ms();

	if (d->lead && d->lead->is_loaded && now - d->pending->counted_at >= COUNT_EVERY_MS) {
		pending_restart(d->pending, now);
		lead_count_pending(d->lead, d->pending);
	}
	return pending_is_known(d->pending, now) ? d->pending : NULL;
}

/* a call between VMs can't hold longer names, so other VMs don't know the counts of these queues */
static bool is_shared(const char *queue)
{
	return strlen(queue) <= CL_ID_MAX;
}

/* ---- between VMs ---- */

void sited_pending_encode(TALLOC_CTX *ctx, struct sited *d, cl_lead_ping_res *res)
{
	const struct pending *p = known_counts(d);
	unsigned int size = p ? g_hash_table_size(p->by_queue) : 0;
	/* a part of the counts would say that the other queues have no pending job */
	bool fits = size < CL_NOTES_MAX;
	int64_t age_ms = p && fits ? sited_now_ms() - p->counted_at : -1;
	cl_queue_pending *entry = talloc_array(ctx, cl_queue_pending, fits ? size + 1 : 1);
	GHashTableIter it;
	gpointer name;
	gpointer n;

	res->pending.pending_val = entry;
	entry[res->pending.pending_len++] = (cl_queue_pending){AGE_ENTRY, age_ms};
	if (!p || !fits)
		return;
	g_hash_table_iter_init(&it, p->by_queue);
	while (g_hash_table_iter_next(&it, &name, &n))
		if (is_shared(name))
			entry[res->pending.pending_len++] = (cl_queue_pending){name, *(int64_t *)n};
}

/* Returns the age of the counts in @res; a leader of an earlier version does not tell it. */
static int64_t received_age_ms(const cl_lead_ping_res *res)
{
	for (unsigned int i = 0; i < res->pending.pending_len; i++)
		if (!strcmp(res->pending.pending_val[i].queue, AGE_ENTRY))
			return res->pending.pending_val[i].pending;
	return 0;
}

void sited_pending_received(struct sited *d, const cl_lead_ping_res *res, int64_t asked_at)
{
	int64_t age_ms = received_age_ms(res);

	if (age_ms < 0 || asked_at - age_ms < d->pending->counted_at)
		return;
	pending_restart(d->pending, asked_at - age_ms);
	for (unsigned int i = 0; i < res->pending.pending_len; i++)
		pending_add(d->pending, res->pending.pending_val[i].queue,
			    res->pending.pending_val[i].pending);
}

/* ---- callers ---- */

/* Returns the counts if that of @queue is known. */
static const struct pending *counts_for(struct sited *d, const char *queue)
{
	bool is_counted_here = d->lead && d->lead->is_loaded;

	return is_counted_here || is_shared(queue) ? known_counts(d) : NULL;
}

static void reply_count(struct sited *d, struct httpd_request *req, const struct pending *p,
			const char *queue)
{
	front_close_if_stopping(d, req);
	callers_reply_pending(req, pending_of(p, queue));
}

static int wait_destructor(struct pending_wait *w)
{
	w->d->open_requests--;
	if (w->req)
		w->req->user = NULL;
	return 0;
}

static void on_wait_abort(struct httpd_request *req)
{
	struct pending_wait *w = req->user;

	if (w) {
		w->req = NULL;
		talloc_free(w);
	}
}

static void on_wait_timer(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	struct pending_wait *w = data;
	struct sited *d = w->d;
	struct httpd_request *req = w->req;
	const struct pending *p = counts_for(d, w->queue);

	if (!p && base_now_ns() < w->deadline) {
		mtimer_add(w, d->ev, base_deadline_in(COUNT_RETRY_MS), on_wait_timer, w);
		return;
	}
	w->req = NULL;
	req->user = NULL;
	if (p)
		reply_count(d, req, p, w->queue);
	else
		front_reply_now(d, req, 503, "nobody has counted the pending jobs lately");
	talloc_free(w);
}

void front_reply_pending(struct sited *d, struct httpd_request *req, const struct queue *queue)
{
	const struct pending *p = counts_for(d, queue->name);
	struct pending_wait *w;

	if (p) {
		reply_count(d, req, p, queue->name);
		return;
	}
	w = talloc_zero(d, struct pending_wait);
	w->d = d;
	w->req = req;
	w->queue = talloc_strdup(w, queue->name);
	w->deadline = MIN(base_deadline_in(COUNT_WAIT_MS), callers_deadline(req));
	d->open_requests++;
	talloc_set_destructor(w, wait_destructor);
	req->user = w;
	req->on_abort = on_wait_abort;
	mtimer_add(w, d->ev, base_deadline_in(COUNT_RETRY_MS), on_wait_timer, w);
}
