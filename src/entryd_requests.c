/**
 * DOC: entryd_requests - short requests at their owner, from queue to outcome
 *
 * Only the owner of an id dispatches it, so that a request that must not run
 * twice is never in flight at two entry VMs. When an answer is lost, the owner
 * queries the backend server on a new connection ("settles" the request). A
 * request that the server has not seen is cancelled there before another
 * server gets it.
 */
#include "entryd.h"

#include <string.h>

#define QUEUE_MAX 2000	     /* per worker: queued requests of a class and the more urgent ones */
#define ATTEMPTS_MAX 4	     /* backend servers that one request may be sent to */
#define SETTLE_GRACE_MS 1500 /* past the deadline, until an unsettled outcome is unknown */
#define RETAINED_SETTLE_MS 30000     /* the same when the outcome is retained */
#define QUERY_INTERVAL_MS 100	     /* pause between state queries of a request */
#define QUERY_TIMEOUT_MS 700	     /* timeout of one state query */
#define OUTCOME_RETENTION_MS 600000  /* how long retained outcomes are kept */
#define QUERY_DELAY_MIN_MS 150	     /* no state query earlier than this after dispatch */
#define QUERY_DELAY_SERVICE_FACTOR 4 /* nor before this many mean service times */
#define FAILURES_TO_QUARANTINE 5     /* consecutive failures until a server is quarantined */
#define LOST_CALLS_TO_AVOID 2	     /* consecutive lost calls until a server is avoided */
#define QUARANTINE_MS 2000	     /* first quarantine; doubled for each one that follows */
#define QUARANTINE_DOUBLINGS 5	     /* at most this many times, also for AVOID_MS */
#define AVOID_MS 500		     /* unit of the back-off after lost calls */
#define RETRY_TOKENS_MAX 50.0	     /* upper bound of a worker's retry budget */
#define RETRY_TOKENS_PER_REQUEST 0.1
#define STATS_WEIGHT 0.1       /* weight of the newest observation */
#define KIND_FAILING_RATIO 0.5 /* above this, the kind is at fault, not a server */

enum request_state { REQUEST_QUEUED, REQUEST_RUNNING, REQUEST_SETTLING, REQUEST_ENDED };

/* moving averages of one kind, of this worker only */
struct kind_stats {
	double service_ms; /* time from dispatch to a successful answer */
	double fail_ratio; /* failed share of the answers, 0 to 1 */
};

/* one dispatch of a request to one backend server */
struct attempt {
	struct request *request;
	char *server;
	char *base_url;
	struct backend_health *health;
	bool holds_slot;
	int64_t sent_at;
	int64_t boot; /* last known run of the server's process at dispatch */
	struct trace_span span;
};

struct request {
	struct worker *worker;
	char *id;
	char *workspace;
	char *kind;
	enum service_class cls;
	bool is_idempotent;
	bool retains_outcome;
	bool had_failure;  /* some attempt failed */
	bool may_have_run; /* some attempt was given up with its outcome unknown */
	char *payload;
	int64_t deadline;
	int64_t settle_deadline; /* the outcome is unknown if not settled by then */
	int64_t query_at;	 /* when its state is next queried while dispatched */
	int64_t retained_until;	 /* when it may be freed after its end */
	enum request_state state;
	enum outcome outcome;
	const char *reason;
	char *answer;
	struct waiter *waiters;
	struct attempt *attempt; /* the current one, or NULL */
	const char *tried_servers[ATTEMPTS_MAX];
	unsigned int attempt_count;
	unsigned int refs; /* held by calls in flight, and by the caller of requests_start() */
	struct trace_span span;
	GList *running_link; /* in worker.running, or NULL */
	struct kind_stats *stats;
};

static void settle(struct request *r);
static void finish(struct request *r, enum outcome outcome, const char *reason, const char *answer);

/* ---- look-up and memory ---- */

struct request *requests_find(struct worker *w, const char *id)
{
	return g_hash_table_lookup(w->requests, id);
}

static struct kind_stats *stats_get(struct worker *w, const char *kind)
{
	struct kind_stats *s = g_hash_table_lookup(w->kind_stats, kind);

	if (s)
		return s;
	s = talloc_zero(w->mem_ctx, struct kind_stats);
	s->service_ms = 10;
	g_hash_table_insert(w->kind_stats, g_strdup(kind), s);
	return s;
}

static int add_workspace_in_flight(struct worker *w, const char *name, int delta)
{
	int n = GPOINTER_TO_INT(g_hash_table_lookup(w->workspace_in_flight, name)) + delta;

	g_hash_table_insert(w->workspace_in_flight, g_strdup(name), GINT_TO_POINTER(n));
	return n;
}

static void free_if_ended(struct request *r)
{
	if (r->state != REQUEST_ENDED || r->refs || r->retained_until > base_now_ns())
		return;
	g_hash_table_remove(r->worker->requests, r->id);
	talloc_free(r);
}

/* ---- health of backend servers ---- */

static void release_slot(struct attempt *a)
{
	if (!a->holds_slot)
		return;
	a->holds_slot = false;
	atomic_fetch_sub(&a->health->in_flight, 1);
}

static void health_record_success(struct backend_health *h)
{
	atomic_store(&h->failures, 0);
	atomic_store(&h->lost_calls, 0);
	atomic_store(&h->quarantines, 0);
	atomic_store(&h->avoid_until, 0);
	atomic_store(&h->is_probing, false);
}

static void health_avoid(struct backend_health *h, int64_t ms)
{
	atomic_store(&h->avoid_until, base_deadline_in(ms));
	atomic_store(&h->is_probing, false);
}

/* A failure counts against the server only while most requests of the kind succeed. */
static void health_record_failure(struct request *r, struct backend_health *h)
{
	int doublings;

	if (r->stats->fail_ratio > KIND_FAILING_RATIO)
		return;
	if (atomic_fetch_add(&h->failures, 1) + 1 < FAILURES_TO_QUARANTINE &&
	    !atomic_load(&h->is_probing))
		return;
	doublings = MIN(atomic_fetch_add(&h->quarantines, 1), QUARANTINE_DOUBLINGS);
	health_avoid(h, (int64_t)QUARANTINE_MS << doublings);
	count(r->worker, COUNT_QUARANTINES);
}

static void health_record_lost_call(struct backend_health *h)
{
	int lost_calls = atomic_fetch_add(&h->lost_calls, 1) + 1;

	if (lost_calls >= LOST_CALLS_TO_AVOID || atomic_load(&h->is_probing))
		health_avoid(h, (int64_t)AVOID_MS << MIN(lost_calls, QUARANTINE_DOUBLINGS));
}

/* ---- choice of a backend server ---- */

/* Less urgent classes leave part of the slots free for more urgent ones. */
static int class_slot_limit(int slot_limit, enum service_class cls)
{
	switch (cls) {
	case CLASS_NORMAL:
		return MAX(slot_limit - slot_limit / 4, MIN(slot_limit, 1));
	case CLASS_BATCH:
		return MAX(slot_limit / 2, MIN(slot_limit, 1));
	case CLASS_URGENT:
	case CLASS_COUNT:
		break;
	}
	return slot_limit;
}

static bool is_tried(const struct request *r, const char *server)
{
	for (unsigned int i = 0; i < r->attempt_count; i++)
		if (!strcmp(r->tried_servers[i], server))
			return true;
	return false;
}

/* Takes a slot. A server that was avoided gets a single request, which probes its recovery. */
static bool take_slot(const struct view_server *s, enum service_class cls)
{
	int64_t avoid_until = atomic_load(&s->health->avoid_until);
	int limit = class_slot_limit(s->slot_limit, cls);
	int in_flight;
	bool not_probing = false;

	if (avoid_until > base_now_ns())
		return false;
	if (avoid_until &&
	    !atomic_compare_exchange_strong(&s->health->is_probing, &not_probing, true))
		return false;
	in_flight = atomic_load(&s->health->in_flight);
	while (in_flight < limit)
		if (atomic_compare_exchange_weak(&s->health->in_flight, &in_flight, in_flight + 1))
			return true;
	if (avoid_until)
		atomic_store(&s->health->is_probing, false);
	return false;
}

static const struct view_server *choose_server(const struct request *r, const struct view *v)
{
	unsigned int n = v->server_count;
	unsigned int start;
	const struct view_server *a;
	const struct view_server *b;

	if (!n)
		return NULL;
	/* the less loaded of two random servers, else any with a free slot */
	a = &v->servers[base_random64() % n];
	b = &v->servers[base_random64() % n];
	if (atomic_load(&b->health->in_flight) < atomic_load(&a->health->in_flight))
		a = b;
	if (a->takes_work && !is_tried(r, a->id) && take_slot(a, r->cls))
		return a;
	start = (unsigned int)(base_random64() % n);
	for (unsigned int i = 0; i < n; i++) {
		a = &v->servers[(start + i) % n];
		if (a->takes_work && !is_tried(r, a->id) && take_slot(a, r->cls))
			return a;
	}
	return NULL;
}

/* ---- outcome and retry ---- */

static void finish(struct request *r, enum outcome outcome, const char *reason, const char *answer)
{
	struct worker *w = r->worker;
	struct outcome_msg msg = {outcome, reason, answer};
	static const enum entryd_counter counters[] = {COUNT_REQUESTS, COUNT_DONE, COUNT_FAILED,
						       COUNT_NOT_RUN, COUNT_UNKNOWN};

	if (r->state == REQUEST_ENDED)
		return;
	/* the last attempt did not run, but an earlier one did or may have */
	if (outcome == OUTCOME_NOT_RUN && r->had_failure)
		outcome = OUTCOME_FAILED;
	else if (outcome == OUTCOME_NOT_RUN && r->may_have_run)
		outcome = OUTCOME_UNKNOWN;
	msg.outcome = outcome;
	r->state = REQUEST_ENDED;
	r->outcome = outcome;
	r->reason = reason;
	r->answer = answer ? talloc_strdup(r, answer) : NULL;
	r->retained_until = r->retains_outcome ? base_deadline_in(OUTCOME_RETENTION_MS) : 0;
	if (r->running_link) {
		GQueue *q = &w->running;

		g_queue_delete_link(q, r->running_link);
		r->running_link = NULL;
	}
	if (r->attempt)
		release_slot(r->attempt);
	count(w, counters[outcome]);
	add_workspace_in_flight(w, r->workspace, -1);
	w->active--;
	while (r->waiters) {
		struct waiter *waiter = r->waiters;

		r->waiters = waiter->next;
		waiter_answer(w, waiter, r->id, &msg);
	}
	trace_span_end(&r->span, "entry", base_outcome_name(outcome));
	free_if_ended(r);
}

static void requeue(struct request *r)
{
	struct worker *w = r->worker;

	r->state = REQUEST_QUEUED;
	r->attempt = NULL;
	if (r->running_link)
		g_queue_delete_link(&w->running, r->running_link);
	r->running_link = NULL;
	g_queue_push_head(&w->queues[r->cls], r);
	atomic_fetch_add(&w->queued_count, 1);
}

/*
 * Requeues the request for another server, or ends it as not run when its
 * deadline, ATTEMPTS_MAX or the retry budget forbids that. The caller has made
 * sure that it did not run at the last server, or that it may run twice.
 */
static void retry_elsewhere(struct request *r, const char *reason)
{
	struct worker *w = r->worker;

	if (r->deadline <= base_now_ns() || r->attempt_count >= ATTEMPTS_MAX) {
		finish(r, OUTCOME_NOT_RUN, reason, NULL);
		return;
	}
	if (w->retry_tokens < 1.0) {
		count(w, COUNT_RETRIES_OVER_BUDGET);
		finish(r, OUTCOME_NOT_RUN, reason, NULL);
		return;
	}
	w->retry_tokens -= 1.0;
	count(w, COUNT_RETRIES);
	requeue(r);
}

static void update_stats(struct request *r, bool failed)
{
	double elapsed_ms = (double)(base_now_ns() - r->attempt->sent_at) / (double)BASE_NS_PER_MS;

	r->stats->fail_ratio += STATS_WEIGHT * ((failed ? 1.0 : 0.0) - r->stats->fail_ratio);
	if (!failed)
		r->stats->service_ms += STATS_WEIGHT * (elapsed_ms - r->stats->service_ms);
}

/* The backend server reported done or failed. */
static void handle_final_state(struct request *r, const struct backend_reply *reply)
{
	char *answer = base_json_text(r, json_object_get(reply->doc, "answer"));

	release_slot(r->attempt);
	if (reply->state == BACKEND_DONE) {
		health_record_success(r->attempt->health);
		update_stats(r, false);
		finish(r, OUTCOME_DONE, "", answer);
		return;
	}
	update_stats(r, true);
	health_record_failure(r, r->attempt->health);
	if (r->is_idempotent && !r->had_failure && r->worker->retry_tokens >= 1.0 &&
	    r->deadline > base_now_ns()) {
		r->had_failure = true;
		retry_elsewhere(r, "failed on a backend server");
		return;
	}
	finish(r, OUTCOME_FAILED, "the backend server reported a failure", answer);
}

/* ---- settling by state queries ---- */

/* a query of one request's state at the server of one attempt */
struct state_query {
	struct request *request;
	struct attempt *attempt;
	bool cancels; /* the server shall reject the request from now on if it is absent */
};

static void query_state(struct request *r, bool cancels);

/* A restarted server has lost its state; the request may have run before the restart. */
static void handle_backend_restart(struct request *r)
{
	r->may_have_run = true;
	if (r->is_idempotent)
		retry_elsewhere(r, "the backend server restarted");
	else
		finish(r, OUTCOME_UNKNOWN, "the backend server restarted", NULL);
}

static void on_state_reply(const struct backend_reply *reply, void *data)
{
	struct state_query *q = data;
	struct request *r = q->request;
	bool is_current = r->attempt == q->attempt && r->state != REQUEST_ENDED;
	bool cancels = q->cancels;

	talloc_free(q);
	r->refs--;
	if (!is_current) {
		free_if_ended(r);
		return;
	}
	if (reply->boot)
		atomic_store(&r->attempt->health->boot, reply->boot);
	r->query_at = base_deadline_in(QUERY_INTERVAL_MS);
	if (reply->type != BACKEND_STATE) {
		health_record_lost_call(r->attempt->health);
		/* an idempotent request may run twice: it need not wait for this server's answer */
		if (r->is_idempotent && r->attempt_count < ATTEMPTS_MAX &&
		    r->deadline > base_now_ns()) {
			release_slot(r->attempt);
			r->may_have_run = true;
			retry_elsewhere(r, "no word from the backend servers tried");
			requests_dispatch(r->worker);
		}
		return; /* otherwise requests_tick() queries again */
	}
	switch (reply->state) {
	case BACKEND_DONE:
	case BACKEND_FAILED:
		count(r->worker, COUNT_SETTLED_BY_STATUS);
		handle_final_state(r, reply);
		break;
	case BACKEND_CANCELLED:
		count(r->worker, COUNT_SETTLED_BY_STATUS);
		release_slot(r->attempt);
		if (!reply->boot || reply->boot != r->attempt->boot) {
			handle_backend_restart(r);
			break;
		}
		retry_elsewhere(r, "the request did not reach the backend server");
		break;
	case BACKEND_ABSENT:
		/* the first query doesn't cancel: the request may still be in transit */
		if (!cancels)
			query_state(r, true);
		break;
	default:
		break;
	}
	requests_dispatch(r->worker);
}

static void query_state(struct request *r, bool cancels)
{
	struct state_query *q = talloc_zero(r->worker->mem_ctx, struct state_query);
	struct backend_target target = {r->worker->http, r->attempt->base_url,
					r->worker->entryd->settings->vm, NULL};

	q->request = r;
	q->attempt = r->attempt;
	q->cancels = cancels;
	r->refs++;
	r->query_at = base_deadline_in(QUERY_TIMEOUT_MS + QUERY_INTERVAL_MS);
	backend_request_state(&target, r->id, cancels, base_deadline_in(QUERY_TIMEOUT_MS),
			      on_state_reply, q);
}

static void settle(struct request *r)
{
	r->state = REQUEST_SETTLING;
	query_state(r, true);
}

/* ---- dispatch ---- */

static void on_run_reply(const struct backend_reply *reply, void *data)
{
	struct attempt *a = data;
	struct request *r = a->request;
	bool is_current = r->attempt == a && r->state != REQUEST_ENDED;

	if (reply->boot)
		atomic_store(&a->health->boot, reply->boot);
	r->refs--;
	trace_span_end(&a->span, "backend", a->server);
	if (!is_current) {
		release_slot(a);
		free_if_ended(r);
		return;
	}
	switch (reply->type) {
	case BACKEND_STATE:
		handle_final_state(r, reply);
		break;
	case BACKEND_REFUSED:
		if (reply->refusal == BACKEND_REFUSED_KNOWN) {
			settle(r); /* the server has already received this request */
			break;
		}
		release_slot(a);
		if (reply->refusal == BACKEND_REFUSED_CANCELLED)
			finish(r, OUTCOME_NOT_RUN, "cancelled at the backend server", NULL);
		else
			retry_elsewhere(r, "refused by the backend servers tried");
		break;
	case BACKEND_NOT_SENT:
		release_slot(a);
		health_record_lost_call(a->health);
		retry_elsewhere(r, "no connection to the backend servers tried");
		break;
	case BACKEND_LOST:
		health_record_lost_call(a->health);
		settle(r);
		break;
	}
}

static void send_request(struct request *r, const struct view_server *s)
{
	struct worker *w = r->worker;
	struct attempt *a = talloc_zero(r, struct attempt);
	char parent[TRACE_PARENT_LEN + 1];
	char own_parent[TRACE_PARENT_LEN + 1];
	struct backend_target target = {w->http, NULL, w->entryd->settings->vm, parent};
	int64_t query_delay_ms = (int64_t)(r->stats->service_ms * QUERY_DELAY_SERVICE_FACTOR);

	a->request = r;
	a->server = talloc_strdup(a, s->id);
	a->base_url = talloc_strdup(a, s->base_url);
	a->health = s->health;
	a->holds_slot = true;
	a->sent_at = base_now_ns();
	a->boot = atomic_load(&s->health->boot);
	trace_format_parent(&r->span, own_parent);
	a->span = trace_span_start(own_parent);
	trace_format_parent(&a->span, parent);
	r->attempt = a;
	r->tried_servers[r->attempt_count++] = a->server;
	r->state = REQUEST_RUNNING;
	r->refs++;
	r->query_at = base_deadline_in(MAX(query_delay_ms, QUERY_DELAY_MIN_MS));
	g_queue_push_tail(&w->running, r);
	r->running_link = g_queue_peek_tail_link(&w->running);
	target.base_url = a->base_url;
	backend_request_run(&target, r->id, str_from(r->payload),
			    r->deadline + SETTLE_GRACE_MS * BASE_NS_PER_MS, on_run_reply, a);
}

void requests_dispatch(struct worker *w)
{
	const struct view *v = snapshot_read_begin(&w->entryd->view);

	for (int cls = 0; v && cls < CLASS_COUNT; cls++) {
		struct request *r;

		while ((r = g_queue_peek_head(&w->queues[cls]))) {
			const struct view_server *s;

			if (r->deadline <= base_now_ns()) {
				g_queue_pop_head(&w->queues[cls]);
				atomic_fetch_sub(&w->queued_count, 1);
				count(w, COUNT_EXPIRED);
				finish(r, OUTCOME_NOT_RUN, "deadline passed before dispatch", NULL);
				continue;
			}
			s = choose_server(r, v);
			if (!s)
				goto out;
			g_queue_pop_head(&w->queues[cls]);
			atomic_fetch_sub(&w->queued_count, 1);
			send_request(r, s);
		}
	}
out:
	snapshot_read_end();
}

/* ---- start and wait ---- */

static int total_slot_limit(const struct view *v)
{
	int sum = 0;

	for (unsigned int i = 0; i < v->server_count; i++)
		sum += v->servers[i].takes_work ? v->servers[i].slot_limit : 0;
	return sum;
}

/* Tells whether the request would probably expire in the queue; it is then rejected at once. */
static bool would_expire_queued(struct worker *w, const struct request *r)
{
	const struct view *v = snapshot_read_begin(&w->entryd->view);
	int slot_limit = total_slot_limit(v);
	unsigned int ahead = 0;
	double wait_ms;

	snapshot_read_end();
	for (int cls = 0; cls <= (int)r->cls; cls++)
		ahead += w->queues[cls].length;
	if (ahead >= QUEUE_MAX)
		return true;
	ahead *= w->entryd->worker_count;
	wait_ms = (double)ahead * r->stats->service_ms / (double)MAX(slot_limit, 1);
	return wait_ms > (double)base_remaining_ms(r->deadline);
}

static bool is_over_workspace_limit(struct worker *w, const struct request *r)
{
	const struct view *v = snapshot_read_begin(&w->entryd->view);
	const struct catalogue_workspace *ws = catalogue_find_workspace(v->catalogue, r->workspace);
	int64_t limit = ws ? ws->requests : 0;

	snapshot_read_end();
	if (!limit)
		return false;
	limit = MAX(limit / w->entryd->worker_count, 1);
	return GPOINTER_TO_INT(g_hash_table_lookup(w->workspace_in_flight, r->workspace)) > limit;
}

struct request *requests_start(struct worker *w, const struct request_spec *spec)
{
	struct request *r = talloc_zero(w->mem_ctx, struct request);

	r->worker = w;
	r->id = talloc_strdup(r, spec->id);
	r->workspace = talloc_strdup(r, spec->workspace);
	r->kind = talloc_strdup(r, spec->kind->name);
	r->cls = spec->kind->cls;
	r->is_idempotent = spec->kind->idempotent;
	r->retains_outcome = spec->retains_outcome;
	r->payload = talloc_strdup(r, spec->payload);
	r->deadline = spec->deadline;
	r->settle_deadline =
		spec->deadline +
		(spec->retains_outcome ? RETAINED_SETTLE_MS : SETTLE_GRACE_MS) * BASE_NS_PER_MS;
	r->span = trace_span_start(spec->traceparent);
	r->stats = stats_get(w, r->kind);
	r->reason = "";
	g_hash_table_insert(w->requests, r->id, r);
	w->active++;
	w->retry_tokens = MIN(w->retry_tokens + RETRY_TOKENS_PER_REQUEST, RETRY_TOKENS_MAX);
	count(w, COUNT_REQUESTS);
	add_workspace_in_flight(w, r->workspace, 1);
	r->refs++; /* the caller's reference, until requests_release() */
	if (is_over_workspace_limit(w, r)) {
		count(w, COUNT_SHED);
		finish(r, OUTCOME_NOT_RUN, "the workspace is at its limit of requests", NULL);
	} else if (would_expire_queued(w, r)) {
		count(w, COUNT_SHED);
		finish(r, OUTCOME_NOT_RUN, "overloaded: it would not be done by its deadline",
		       NULL);
	} else {
		g_queue_push_tail(&w->queues[r->cls], r);
		atomic_fetch_add(&w->queued_count, 1);
		requests_dispatch(w);
	}
	return r;
}

void requests_wait(struct worker *w, struct request *r, struct waiter *waiter)
{
	struct outcome_msg msg = {r->outcome, r->reason, r->answer};

	if (r->state == REQUEST_ENDED) {
		waiter_answer(w, waiter, r->id, &msg);
		return;
	}
	waiter->next = r->waiters;
	r->waiters = waiter;
}

void requests_release(struct request *r)
{
	r->refs--;
	free_if_ended(r);
}

/* ---- timer ---- */

static void expire_waiters(struct worker *w, struct request *r, int64_t now)
{
	struct waiter **link = &r->waiters;

	while (*link) {
		struct waiter *waiter = *link;
		struct outcome_msg msg = {OUTCOME_NONE, "still running", NULL};

		if (waiter->deadline > now) {
			link = &waiter->next;
			continue;
		}
		*link = waiter->next;
		if (r->deadline + SETTLE_GRACE_MS * BASE_NS_PER_MS <= now) {
			msg.outcome = OUTCOME_UNKNOWN;
			msg.reason = "no word from the backend server by the deadline";
		}
		waiter_answer(w, waiter, r->id, &msg);
	}
}

static void tick_running(struct worker *w, int64_t now)
{
	GList *l = w->running.head;

	while (l) {
		struct request *r = l->data;

		l = l->next; /* the request may end below */
		expire_waiters(w, r, now);
		if (now >= r->settle_deadline)
			finish(r, OUTCOME_UNKNOWN,
			       "no word from the backend server by the deadline", NULL);
		else if (now >= r->query_at)
			query_state(r, r->state == REQUEST_SETTLING);
	}
}

/* No waiter is left, and the id cannot be queried later because its outcome is not retained. */
static bool is_abandoned(const struct request *r)
{
	for (const struct waiter *waiter = r->waiters; waiter; waiter = waiter->next)
		if (waiter->type != WAITER_HTTP || waiter->http)
			return false;
	return !r->retains_outcome;
}

static void tick_queues(struct worker *w, int64_t now)
{
	for (int cls = 0; cls < CLASS_COUNT; cls++) {
		GList *l = w->queues[cls].head;

		while (l) {
			GList *next = l->next;
			struct request *r = l->data;

			expire_waiters(w, r, now);
			if (r->deadline <= now || is_abandoned(r)) {
				g_queue_delete_link(&w->queues[cls], l);
				atomic_fetch_sub(&w->queued_count, 1);
				count(w, COUNT_EXPIRED);
				finish(r, OUTCOME_NOT_RUN, "deadline passed before dispatch", NULL);
			}
			l = next;
		}
	}
}

static gboolean free_expired_outcome(gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
	struct request *r = value;

	if (r->state != REQUEST_ENDED || r->refs || r->retained_until > *(int64_t *)data)
		return FALSE;
	talloc_free(r);
	return TRUE;
}

void requests_tick(struct worker *w)
{
	int64_t now = base_now_ns();

	tick_running(w, now);
	tick_queues(w, now);
	if (now >= w->next_sweep_at) {
		g_hash_table_foreach_remove(w->requests, free_expired_outcome, &now);
		w->next_sweep_at = base_deadline_in(1000);
	}
	requests_dispatch(w);
}

/* ---- requests whose owner is gone ---- */

/* queries to all backend servers about one such request */
struct orphan {
	struct worker *worker;
	char *id;
	struct waiter *waiter;
	unsigned int open_queries;
	enum outcome outcome;
	char *answer;
};

static void on_orphan_state(const struct backend_reply *reply, void *data)
{
	struct orphan *o = data;
	struct outcome_msg msg = {OUTCOME_UNKNOWN,
				  "the owner of the request is gone, and no backend "
				  "server knows it now",
				  NULL};

	o->open_queries--;
	if (reply->type == BACKEND_STATE &&
	    (reply->state == BACKEND_DONE || reply->state == BACKEND_FAILED)) {
		o->outcome = reply->state == BACKEND_DONE ? OUTCOME_DONE : OUTCOME_FAILED;
		o->answer = base_json_text(o, json_object_get(reply->doc, "answer"));
	}
	if (o->open_queries)
		return;
	if (o->outcome != OUTCOME_NONE) {
		msg.outcome = o->outcome;
		msg.reason = "settled at the backend server; its owner is gone";
		msg.answer = o->answer;
	}
	count(o->worker, COUNT_SETTLED_BY_STATUS);
	o->worker->active--;
	waiter_answer(o->worker, o->waiter, o->id, &msg);
	talloc_free(o);
}

void requests_settle_orphan(struct worker *w, const char *id, struct waiter *waiter)
{
	const struct view *v = snapshot_read_begin(&w->entryd->view);
	struct orphan *o = talloc_zero(w->mem_ctx, struct orphan);
	struct backend_reply none = {.type = BACKEND_LOST};

	o->worker = w;
	o->id = talloc_strdup(o, id);
	o->waiter = waiter;
	/* counts the call below, so that the orphan is not freed before all queries are sent */
	o->open_queries = 1;
	w->active++;
	for (unsigned int i = 0; i < v->server_count; i++) {
		struct backend_target target = {w->http, v->servers[i].base_url,
						w->entryd->settings->vm, NULL};

		o->open_queries++;
		backend_request_state(&target, id, true, base_deadline_in(QUERY_TIMEOUT_MS),
				      on_orphan_state, o);
	}
	snapshot_read_end();
	on_orphan_state(&none, o);
}
