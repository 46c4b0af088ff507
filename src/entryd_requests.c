/**
 * DOC: entryd_requests - the life of a short request at its owner
 *
 * Only the owner of an id dispatches it, so that a request that must not run
 * twice is never under way at two entry VMs. After an answer is lost the
 * backend server is asked on a new connection; a request that it has not seen
 * is cancelled there before it is tried anywhere else.
 */
#include "entryd.h"

#include <string.h>

#define QUEUE_MAX 2000	       /* requests of one class waiting in one worker */
#define TRIED_MAX 4	       /* backend servers tried for one request */
#define SETTLE_GRACE_MS 1500   /* callers wait this long past the deadline for certainty */
#define SETTLE_MS 30000	       /* a kept request is settled for this long */
#define SETTLE_PAUSE_MS 100    /* pause between questions about a request */
#define STATUS_CALL_MS 700     /* deadline of one question */
#define KEEP_MS 600000	       /* outcomes of kept requests are remembered for this long */
#define PROBE_MIN_MS 150       /* an answer is never suspected to be lost before this */
#define PROBE_SERVICE_FACTOR 4 /* ... nor before this many times the usual service time */
#define FAILURES_TO_QUARANTINE 5
#define LOSSES_TO_AVOID 2
#define QUARANTINE_MS 2000
#define QUARANTINE_DOUBLINGS 5
#define AVOID_MS 500
#define RETRY_TOKENS_MAX 50.0
#define RETRY_TOKENS_PER_REQUEST 0.1
#define STATS_SHARE 0.1	     /* weight of the newest observation */
#define KIND_FAILS_RATIO 0.5 /* a kind failing more often is blamed itself */

enum request_state { REQUEST_QUEUED, REQUEST_RUNNING, REQUEST_SETTLING, REQUEST_ENDED };

struct kind_stats {
	double service_ms;
	double fail_ratio;
};

/* one dispatch to one backend server */
struct attempt {
	struct request *request;
	char *server;
	char *base;
	struct backend_health *health;
	bool holds_slot;
	int64_t sent_at;
	int64_t boot; /* run of the server that it was sent to */
	struct trace_span span;
};

struct request {
	struct worker *worker;
	char *id;
	char *workspace;
	char *kind;
	enum service_class cls;
	bool is_idempotent;
	bool is_kept;
	bool had_failure;  /* some attempt failed */
	bool may_have_run; /* some attempt was given up without word of it */
	char *payload;
	int64_t deadline;
	int64_t settle_deadline;
	int64_t probe_at;
	int64_t forget_at;
	enum request_state state;
	enum outcome outcome;
	const char *reason;
	char *answer;
	struct waiter *waiters;
	struct attempt *attempt; /* the current one */
	const char *tried[TRIED_MAX];
	unsigned int tried_count;
	unsigned int calls; /* in flight: dispatches and questions */
	struct trace_span span;
	GList *running_link;
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
	struct kind_stats *s = g_hash_table_lookup(w->kinds, kind);

	if (s)
		return s;
	s = talloc_zero(w->root, struct kind_stats);
	s->service_ms = 10;
	g_hash_table_insert(w->kinds, g_strdup(kind), s);
	return s;
}

static int workspace_use(struct worker *w, const char *name, int delta)
{
	int n = GPOINTER_TO_INT(g_hash_table_lookup(w->workspace_use, name)) + delta;

	g_hash_table_insert(w->workspace_use, g_strdup(name), GINT_TO_POINTER(n));
	return n;
}

static void maybe_free(struct request *r)
{
	if (r->state != REQUEST_ENDED || r->calls || r->forget_at > base_now_ns())
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

static void health_good(struct backend_health *h)
{
	atomic_store(&h->failures, 0);
	atomic_store(&h->losses, 0);
	atomic_store(&h->quarantines, 0);
	atomic_store(&h->avoid_until, 0);
	atomic_store(&h->is_probing, false);
}

static void health_avoid(struct backend_health *h, int64_t ms)
{
	atomic_store(&h->avoid_until, base_deadline_in(ms));
	atomic_store(&h->is_probing, false);
}

/* a server is blamed for a failure only while the kind succeeds elsewhere */
static void health_failed(struct request *r, struct backend_health *h)
{
	int doublings;

	if (r->stats->fail_ratio > KIND_FAILS_RATIO)
		return;
	if (atomic_fetch_add(&h->failures, 1) + 1 < FAILURES_TO_QUARANTINE &&
	    !atomic_load(&h->is_probing))
		return;
	doublings = MIN(atomic_fetch_add(&h->quarantines, 1), QUARANTINE_DOUBLINGS);
	health_avoid(h, (int64_t)QUARANTINE_MS << doublings);
	count(r->worker, COUNT_QUARANTINES);
}

static void health_lost(struct backend_health *h)
{
	int losses = atomic_fetch_add(&h->losses, 1) + 1;

	if (losses >= LOSSES_TO_AVOID || atomic_load(&h->is_probing))
		health_avoid(h, (int64_t)AVOID_MS << MIN(losses, QUARANTINE_DOUBLINGS));
}

/* ---- choice of a backend server ---- */

/* less urgent classes leave part of the share free for more urgent ones */
static int class_share(int share, enum service_class cls)
{
	switch (cls) {
	case CLASS_NORMAL:
		return MAX(share - share / 4, MIN(share, 1));
	case CLASS_BATCH:
		return MAX(share / 2, MIN(share, 1));
	case CLASS_URGENT:
	case CLASS_COUNT:
		break;
	}
	return share;
}

static bool is_tried(const struct request *r, const char *server)
{
	for (unsigned int i = 0; i < r->tried_count; i++)
		if (!strcmp(r->tried[i], server))
			return true;
	return false;
}

/* takes a slot; a server that was avoided gets one request to show its recovery */
static bool take_slot(const struct view_server *s, enum service_class cls)
{
	int64_t avoid_until = atomic_load(&s->health->avoid_until);
	int limit = class_share(s->share, cls);
	int held;
	bool no = false;

	if (avoid_until > base_now_ns())
		return false;
	if (avoid_until && !atomic_compare_exchange_strong(&s->health->is_probing, &no, true))
		return false;
	held = atomic_load(&s->health->in_flight);
	while (held < limit)
		if (atomic_compare_exchange_weak(&s->health->in_flight, &held, held + 1))
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
	/* the less loaded of two random servers, then any that has room */
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

/* ---- the end ---- */

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
	r->forget_at = r->is_kept ? base_deadline_in(KEEP_MS) : 0;
	if (r->running_link) {
		GQueue *q = &w->running;

		g_queue_delete_link(q, r->running_link);
		r->running_link = NULL;
	}
	if (r->attempt)
		release_slot(r->attempt);
	count(w, counters[outcome]);
	workspace_use(w, r->workspace, -1);
	w->active--;
	while (r->waiters) {
		struct waiter *waiter = r->waiters;

		r->waiters = waiter->next;
		waiter_answer(w, waiter, r->id, &msg);
	}
	trace_span_end(&r->span, "entry", base_outcome_name(outcome));
	maybe_free(r);
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
	atomic_fetch_add(&w->waiting, 1);
}

/* the request certainly did not run at the server tried last */
static void try_elsewhere(struct request *r, const char *reason)
{
	struct worker *w = r->worker;

	if (r->deadline <= base_now_ns() || r->tried_count >= TRIED_MAX) {
		finish(r, OUTCOME_NOT_RUN, reason, NULL);
		return;
	}
	if (w->retry_tokens < 1.0) {
		count(w, COUNT_BUDGET_EMPTY);
		finish(r, OUTCOME_NOT_RUN, reason, NULL);
		return;
	}
	w->retry_tokens -= 1.0;
	count(w, COUNT_RETRIES);
	requeue(r);
}

static void learn(struct request *r, bool failed)
{
	double took_ms = (double)(base_now_ns() - r->attempt->sent_at) / (double)BASE_NS_PER_MS;

	r->stats->fail_ratio += STATS_SHARE * ((failed ? 1.0 : 0.0) - r->stats->fail_ratio);
	if (!failed)
		r->stats->service_ms += STATS_SHARE * (took_ms - r->stats->service_ms);
}

/* the backend server told the final state */
static void take_state(struct request *r, const struct backend_reply *reply)
{
	char *answer = base_json_text(r, json_object_get(reply->doc, "answer"));

	release_slot(r->attempt);
	if (reply->state == BACKEND_DONE) {
		health_good(r->attempt->health);
		learn(r, false);
		finish(r, OUTCOME_DONE, "", answer);
		return;
	}
	learn(r, true);
	health_failed(r, r->attempt->health);
	if (r->is_idempotent && !r->had_failure && r->worker->retry_tokens >= 1.0 &&
	    r->deadline > base_now_ns()) {
		r->had_failure = true;
		try_elsewhere(r, "failed on a backend server");
		return;
	}
	finish(r, OUTCOME_FAILED, "the backend server reported a failure", answer);
}

/* ---- settling by status ---- */

struct question {
	struct request *request;
	struct attempt *attempt;
	bool cancels;
};

static void ask(struct request *r, bool cancels);

/* the server restarted since and has forgotten; the request may have run before */
static void settled_by_restart(struct request *r)
{
	r->may_have_run = true;
	if (r->is_idempotent)
		try_elsewhere(r, "the backend server restarted");
	else
		finish(r, OUTCOME_UNKNOWN, "the backend server restarted", NULL);
}

static void on_settled(const struct backend_reply *reply, void *data)
{
	struct question *q = data;
	struct request *r = q->request;
	bool is_current = r->attempt == q->attempt && r->state != REQUEST_ENDED;
	bool cancels = q->cancels;

	talloc_free(q);
	r->calls--;
	if (!is_current) {
		maybe_free(r);
		return;
	}
	if (reply->boot)
		atomic_store(&r->attempt->health->boot, reply->boot);
	r->probe_at = base_deadline_in(SETTLE_PAUSE_MS);
	if (reply->type != BACKEND_STATE) {
		health_lost(r->attempt->health);
		/* what may run twice need not wait for word from a silent server */
		if (r->is_idempotent && r->tried_count < TRIED_MAX && r->deadline > base_now_ns()) {
			release_slot(r->attempt);
			r->may_have_run = true;
			try_elsewhere(r, "no word from the backend servers tried");
			requests_dispatch(r->worker);
		}
		return; /* else asked again by the tick */
	}
	switch (reply->state) {
	case BACKEND_DONE:
	case BACKEND_FAILED:
		count(r->worker, COUNT_SETTLED);
		take_state(r, reply);
		break;
	case BACKEND_CANCELLED:
		count(r->worker, COUNT_SETTLED);
		release_slot(r->attempt);
		if (!reply->boot || reply->boot != r->attempt->boot) {
			settled_by_restart(r);
			break;
		}
		try_elsewhere(r, "the request did not reach the backend server");
		break;
	case BACKEND_ABSENT:
		/* the first question only looks; the request may still be on its way */
		if (!cancels)
			ask(r, true);
		break;
	default:
		break;
	}
	requests_dispatch(r->worker);
}

static void ask(struct request *r, bool cancels)
{
	struct question *q = talloc_zero(r->worker->root, struct question);
	struct backend_target target = {r->worker->http, r->attempt->base,
					r->worker->entryd->settings->vm, NULL};

	q->request = r;
	q->attempt = r->attempt;
	q->cancels = cancels;
	r->calls++;
	r->probe_at = base_deadline_in(STATUS_CALL_MS + SETTLE_PAUSE_MS);
	backend_request_state(&target, r->id, cancels, base_deadline_in(STATUS_CALL_MS), on_settled,
			      q);
}

static void settle(struct request *r)
{
	r->state = REQUEST_SETTLING;
	ask(r, true);
}

/* ---- dispatch ---- */

static void on_run(const struct backend_reply *reply, void *data)
{
	struct attempt *a = data;
	struct request *r = a->request;
	bool is_current = r->attempt == a && r->state != REQUEST_ENDED;

	if (reply->boot)
		atomic_store(&a->health->boot, reply->boot);
	r->calls--;
	trace_span_end(&a->span, "backend", a->server);
	if (!is_current) {
		release_slot(a);
		maybe_free(r);
		return;
	}
	switch (reply->type) {
	case BACKEND_STATE:
		take_state(r, reply);
		break;
	case BACKEND_REFUSED:
		if (reply->refusal == BACKEND_REFUSED_KNOWN) {
			settle(r); /* an earlier copy of it arrived */
			break;
		}
		release_slot(a);
		if (reply->refusal == BACKEND_REFUSED_CANCELLED)
			finish(r, OUTCOME_NOT_RUN, "cancelled at the backend server", NULL);
		else
			try_elsewhere(r, "refused by the backend servers tried");
		break;
	case BACKEND_NOT_SENT:
		release_slot(a);
		health_lost(a->health);
		try_elsewhere(r, "no connection to the backend servers tried");
		break;
	case BACKEND_LOST:
		health_lost(a->health);
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
	int64_t probe_ms = (int64_t)(r->stats->service_ms * PROBE_SERVICE_FACTOR);

	a->request = r;
	a->server = talloc_strdup(a, s->id);
	a->base = talloc_strdup(a, s->base);
	a->health = s->health;
	a->holds_slot = true;
	a->sent_at = base_now_ns();
	a->boot = atomic_load(&s->health->boot);
	trace_format_parent(&r->span, own_parent);
	a->span = trace_span_start(own_parent);
	trace_format_parent(&a->span, parent);
	r->attempt = a;
	r->tried[r->tried_count++] = a->server;
	r->state = REQUEST_RUNNING;
	r->calls++;
	r->probe_at = base_deadline_in(MAX(probe_ms, PROBE_MIN_MS));
	g_queue_push_tail(&w->running, r);
	r->running_link = g_queue_peek_tail_link(&w->running);
	target.base = a->base;
	backend_request_run(&target, r->id, str_from(r->payload),
			    r->deadline + SETTLE_GRACE_MS * BASE_NS_PER_MS, on_run, a);
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
				atomic_fetch_sub(&w->waiting, 1);
				count(w, COUNT_EXPIRED);
				finish(r, OUTCOME_NOT_RUN, "deadline passed before dispatch", NULL);
				continue;
			}
			s = choose_server(r, v);
			if (!s)
				goto out;
			g_queue_pop_head(&w->queues[cls]);
			atomic_fetch_sub(&w->waiting, 1);
			send_request(r, s);
		}
	}
out:
	snapshot_read_end();
}

/* ---- start and wait ---- */

static int total_share(const struct view *v)
{
	int sum = 0;

	for (unsigned int i = 0; i < v->server_count; i++)
		sum += v->servers[i].takes_work ? v->servers[i].share : 0;
	return sum;
}

/* work that would only expire in the queue is refused at once */
static bool is_hopeless(struct worker *w, const struct request *r)
{
	const struct view *v = snapshot_read_begin(&w->entryd->view);
	int share = total_share(v);
	unsigned int ahead = 0;
	double wait_ms;

	snapshot_read_end();
	for (int cls = 0; cls <= (int)r->cls; cls++)
		ahead += w->queues[cls].length;
	if (ahead >= QUEUE_MAX)
		return true;
	ahead *= w->entryd->worker_count;
	wait_ms = (double)ahead * r->stats->service_ms / (double)MAX(share, 1);
	return wait_ms > (double)base_remaining_ms(r->deadline);
}

static bool is_over_limit(struct worker *w, const struct request *r)
{
	const struct view *v = snapshot_read_begin(&w->entryd->view);
	const struct catalogue_workspace *ws = catalogue_find_workspace(v->catalogue, r->workspace);
	int64_t limit = ws ? ws->requests : 0;

	snapshot_read_end();
	if (!limit)
		return false;
	limit = MAX(limit / w->entryd->worker_count, 1);
	return GPOINTER_TO_INT(g_hash_table_lookup(w->workspace_use, r->workspace)) > limit;
}

struct request *requests_start(struct worker *w, const struct request_spec *spec)
{
	struct request *r = talloc_zero(w->root, struct request);

	r->worker = w;
	r->id = talloc_strdup(r, spec->id);
	r->workspace = talloc_strdup(r, spec->workspace);
	r->kind = talloc_strdup(r, spec->kind->name);
	r->cls = spec->kind->cls;
	r->is_idempotent = spec->kind->idempotent;
	r->is_kept = spec->is_kept;
	r->payload = talloc_strdup(r, spec->payload);
	r->deadline = spec->deadline;
	r->settle_deadline =
		spec->deadline + (spec->is_kept ? SETTLE_MS : SETTLE_GRACE_MS) * BASE_NS_PER_MS;
	r->span = trace_span_start(spec->traceparent);
	r->stats = stats_get(w, r->kind);
	r->reason = "";
	g_hash_table_insert(w->requests, r->id, r);
	w->active++;
	w->retry_tokens = MIN(w->retry_tokens + RETRY_TOKENS_PER_REQUEST, RETRY_TOKENS_MAX);
	count(w, COUNT_REQUESTS);
	workspace_use(w, r->workspace, 1);
	r->calls++; /* keeps it until the caller has attached its waiter */
	if (is_over_limit(w, r)) {
		count(w, COUNT_SHED);
		finish(r, OUTCOME_NOT_RUN, "the workspace is at its limit of requests", NULL);
	} else if (is_hopeless(w, r)) {
		count(w, COUNT_SHED);
		finish(r, OUTCOME_NOT_RUN, "overloaded: it would not be done by its deadline",
		       NULL);
	} else {
		g_queue_push_tail(&w->queues[r->cls], r);
		atomic_fetch_add(&w->waiting, 1);
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

void requests_attached(struct request *r)
{
	r->calls--;
	maybe_free(r);
}

/* ---- time ---- */

static void expire_waiters(struct worker *w, struct request *r, int64_t now)
{
	struct waiter **at = &r->waiters;

	while (*at) {
		struct waiter *waiter = *at;
		struct outcome_msg msg = {OUTCOME_NONE, "still running", NULL};

		if (waiter->deadline > now) {
			at = &waiter->next;
			continue;
		}
		*at = waiter->next;
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
		else if (now >= r->probe_at)
			ask(r, r->state == REQUEST_SETTLING);
	}
}

/* nobody waits for it and nobody can ask for it */
static bool is_abandoned(const struct request *r)
{
	for (const struct waiter *waiter = r->waiters; waiter; waiter = waiter->next)
		if (waiter->type != WAITER_HTTP || waiter->http)
			return false;
	return !r->is_kept;
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
				atomic_fetch_sub(&w->waiting, 1);
				count(w, COUNT_EXPIRED);
				finish(r, OUTCOME_NOT_RUN, "deadline passed before dispatch", NULL);
			}
			l = next;
		}
	}
}

static gboolean is_forgotten(gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
	struct request *r = value;

	if (r->state != REQUEST_ENDED || r->calls || r->forget_at > *(int64_t *)data)
		return FALSE;
	talloc_free(r);
	return TRUE;
}

void requests_tick(struct worker *w)
{
	int64_t now = base_now_ns();

	tick_running(w, now);
	tick_queues(w, now);
	if (now >= w->sweep_at) {
		g_hash_table_foreach_remove(w->requests, is_forgotten, &now);
		w->sweep_at = base_deadline_in(1000);
	}
	requests_dispatch(w);
}

/* ---- requests whose owner is gone ---- */

struct orphan {
	struct worker *worker;
	char *id;
	struct waiter *waiter;
	unsigned int open;
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

	o->open--;
	if (reply->type == BACKEND_STATE &&
	    (reply->state == BACKEND_DONE || reply->state == BACKEND_FAILED)) {
		o->outcome = reply->state == BACKEND_DONE ? OUTCOME_DONE : OUTCOME_FAILED;
		o->answer = base_json_text(o, json_object_get(reply->doc, "answer"));
	}
	if (o->open)
		return;
	if (o->outcome != OUTCOME_NONE) {
		msg.outcome = o->outcome;
		msg.reason = "settled at the backend server; its owner is gone";
		msg.answer = o->answer;
	}
	count(o->worker, COUNT_SETTLED);
	o->worker->active--;
	waiter_answer(o->worker, o->waiter, o->id, &msg);
	talloc_free(o);
}

void requests_orphan(struct worker *w, const char *id, struct waiter *waiter)
{
	const struct view *v = snapshot_read_begin(&w->entryd->view);
	struct orphan *o = talloc_zero(w->root, struct orphan);
	struct backend_reply none = {.type = BACKEND_LOST};

	o->worker = w;
	o->id = talloc_strdup(o, id);
	o->waiter = waiter;
	o->open = 1; /* held until all are asked */
	w->active++;
	for (unsigned int i = 0; i < v->server_count; i++) {
		struct backend_target target = {w->http, v->servers[i].base,
						w->entryd->settings->vm, NULL};

		o->open++;
		backend_request_state(&target, id, true, base_deadline_in(STATUS_CALL_MS),
				      on_orphan_state, o);
	}
	snapshot_read_end();
	on_orphan_state(&none, o);
}
