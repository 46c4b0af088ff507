/**
 * DOC: entryd_worker - thread that serves callers over HTTP
 *
 * Parses and validates calls, finds the owner of a request id and forwards a
 * request that it does not own: to another thread by message, to another
 * entry VM by RPC.
 */
#include "entryd.h"

#include <stdlib.h>
#include <string.h>

#define BODY_MAX (64 * 1024)
#define PAYLOAD_MAX (32 * 1024)
/*
 * Connections of callers, and bytes of bodies above BUDGET_SMALL_BYTES, per thread. With two
 * threads they take 100 MB, which the smallest VM has.
 */
#define CONNECTIONS_MAX 1000
#define BODIES_MAX (8 * 1024 * 1024)
#define RETRY_AFTER_S "1"
#define IDLE_S 30
#define TICK_MS 25
#define TICKET_MS \
	300000 /* a ticket (an id issued in advance) must first be used within this time */
#define WAIT_MAX_MS 60000    /* upper bound of a caller's wait_ms */
#define WAIT_GRACE_MS 1500   /* waiters are answered this long past the deadline at the latest */
#define CLAIM_MS 1500	     /* timeout of a platform call that claims or reads a caller's key */
#define FORWARD_GRACE_MS 500 /* added for the transfer of an owner's answer to this VM */
#define KEY_MAX 128

void count(struct worker *w, enum entryd_counter id)
{
	counter_add(&w->entryd->counters, w->index + 1, id, 1);
}

/* ---- answers ---- */

/* A request with an id or a key may have run when it was sent before. */
static bool may_have_run_before(struct httpd_request *http)
{
	return strcmp(http->method, "POST") != 0 || httpd_header(http, "Idempotency-Key");
}

void reply_error(struct worker *w, struct httpd_request *http, unsigned int status,
		 const char *field, const char *reason)
{
	enum outcome o = may_have_run_before(http) ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;

	count(w, COUNT_BAD_INPUT);
	httpd_reply_json(http, status,
			 json_pack("{ssssss}", "outcome", base_outcome_name(o), "field", field,
				   "reason", reason));
}

/* There is no room for the body. */
static void reply_busy(struct httpd_request *http)
{
	struct worker *w = http->server_data;
	enum outcome o = may_have_run_before(http) ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;

	count(w, COUNT_NO_ROOM);
	httpd_reply_header(http, "Retry-After", RETRY_AFTER_S);
	httpd_reply_json(http, base_outcome_http_status(o),
			 json_pack("{ssssss}", "outcome", base_outcome_name(o), "field", "body",
				   "reason", "no memory for a body of this size now"));
}

/* The answer is inserted without escaping, because it is JSON text already. */
static void reply_outcome(struct worker *w, struct httpd_request *http, const char *id,
			  const struct outcome_msg *msg)
{
	char *text = talloc_asprintf(http,
				     "{\"id\":\"%s\",\"outcome\":\"%s\",\"reason\":\"%s\","
				     "\"answer\":%s}",
				     id, base_outcome_name(msg->outcome), msg->reason,
				     msg->answer ? msg->answer : "null");

	if (w->is_draining)
		httpd_reply_header(http, "Connection", "close");
	httpd_reply(http, base_outcome_http_status(msg->outcome), str_from(text));
}

/* ---- waiters and forwarding between threads ---- */

/*
 * A request on its way from the worker or the control thread that received it
 * to the worker that owns its id, and back with the outcome.
 */
struct thread_forward {
	struct inbox_msg msg;
	struct worker *origin;
	struct worker *owner;
	struct httpd_request *http; /* NULL once the caller disconnected; used by origin only */
	char id[ID_MAX];
	char workspace[ID_MAX];
	char kind[ID_MAX];
	char traceparent[TRACE_PARENT_LEN + 1];
	int64_t deadline;
	char *payload; /* NULL for a query of the state */
	enum outcome outcome;
	const char *reason;
	char *answer;
	struct onc_request *rpc; /* the call to reply to when another entry VM sent it, or NULL */
};

static void on_waiter_abort(struct httpd_request *http)
{
	((struct waiter *)http->user)->http = NULL;
}

struct waiter *waiter_new_http(struct worker *w, struct httpd_request *http, int64_t deadline)
{
	struct waiter *waiter = talloc_zero(w->mem_ctx, struct waiter);

	waiter->type = WAITER_HTTP;
	waiter->http = http;
	waiter->deadline = deadline;
	http->user = waiter;
	http->on_abort = on_waiter_abort;
	return waiter;
}

static void thread_forward_free(struct thread_forward *fwd)
{
	g_free(fwd->payload);
	g_free(fwd->answer);
	g_free(fwd);
}

static void on_thread_forward_done(struct inbox_msg *msg, void *receiver)
{
	struct thread_forward *fwd = (struct thread_forward *)msg;
	struct worker *w = receiver;
	struct outcome_msg out = {fwd->outcome, fwd->reason, fwd->answer};

	if (fwd->http) {
		fwd->http->on_abort = NULL;
		reply_outcome(w, fwd->http, fwd->id, &out);
	}
	w->active--;
	thread_forward_free(fwd);
}

static void on_rpc_forward_done(struct inbox_msg *msg, void *receiver G_GNUC_UNUSED)
{
	struct thread_forward *fwd = (struct thread_forward *)msg;
	cl_outcome_res res = {.known = true, .outcome = (int)fwd->outcome};

	res.reason = (char *)fwd->reason;
	res.body = fwd->answer ? fwd->answer : (char *)"";
	onc_reply(fwd->rpc, &res);
	thread_forward_free(fwd);
}

void waiter_answer(struct worker *w, struct waiter *waiter, const char *id,
		   const struct outcome_msg *msg)
{
	struct thread_forward *fwd;

	switch (waiter->type) {
	case WAITER_HTTP:
		if (waiter->http) {
			waiter->http->on_abort = NULL;
			reply_outcome(w, waiter->http, id, msg);
		}
		break;
	case WAITER_THREAD:
	case WAITER_PEER:
		fwd = waiter->thread_forward;
		fwd->outcome = msg->outcome;
		fwd->reason = msg->reason; /* not copied: a string constant for these waiters */
		fwd->answer = g_strdup(msg->answer);
		fwd->msg.run =
			waiter->type == WAITER_PEER ? on_rpc_forward_done : on_thread_forward_done;
		inbox_push(waiter->type == WAITER_PEER ? w->entryd->inbox : fwd->origin->inbox,
			   &fwd->msg);
		break;
	}
	talloc_free(waiter);
}

/* ---- ids: failure domain . VM . incarnation . thread . issue time . sequence ---- */

struct request_id {
	char failure_domain[49];
	char vm[49];
	int64_t incarnation;
	unsigned int thread;
	int64_t issued_ms;
};

static bool id_parse(const char *text, struct request_id *out)
{
	char **parts = g_strsplit(text, ".", 7);
	bool ok = g_strv_length(parts) == 6 && strlen(text) < ID_MAX &&
		  strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-.") == strlen(text);

	if (ok) {
		g_strlcpy(out->failure_domain, parts[0], sizeof(out->failure_domain));
		g_strlcpy(out->vm, parts[1], sizeof(out->vm));
		out->incarnation = g_ascii_strtoll(parts[2], NULL, 16);
		out->thread = (unsigned int)g_ascii_strtoull(parts[3], NULL, 10);
		out->issued_ms = g_ascii_strtoll(parts[4], NULL, 16);
	}
	g_strfreev(parts);
	return ok;
}

static void id_new(struct worker *w, char out[ID_MAX])
{
	const struct settings *s = w->entryd->settings;

	g_snprintf(out, ID_MAX, "%s.%s.%" PRIx64 ".%u.%" PRIx64 ".%" PRIx64, s->failure_domain,
		   s->vm, w->entryd->incarnation, w->index,
		   (int64_t)(base_now_ns() / BASE_NS_PER_MS), ++w->last_sequence);
}

static bool is_own(const struct entryd *e, const struct request_id *id)
{
	return !strcmp(id->vm, e->settings->vm) && id->incarnation == e->incarnation &&
	       id->thread < e->worker_count;
}

/* ---- request body ---- */

/* a validated body of a short request; workspace and kind_name point into doc */
struct body {
	json_t *doc;
	const char *workspace;
	const char *kind_name;
	struct catalogue_kind kind;
	char *payload;
	int64_t deadline;
};

static bool parse_body(struct worker *w, struct httpd_request *http, struct body *b)
{
	const struct view *v;
	const struct catalogue_kind *kind = NULL;
	const char *field = NULL;
	const char *reason = NULL;
	json_error_t error;
	const json_t *deadline;
	int64_t ms;

	memset(b, 0, sizeof(*b));
	b->doc = json_loadb(http->body.ptr, http->body.len, JSON_REJECT_DUPLICATES, &error);
	if (!json_is_object(b->doc)) {
		json_decref(b->doc);
		b->doc = NULL;
		reply_error(w, http, 400, "body", "expected a JSON object");
		return false;
	}
	b->workspace = base_json_str(b->doc, "workspace", NULL);
	b->kind_name = base_json_str(b->doc, "kind", NULL);
	deadline = json_object_get(b->doc, "deadline_ms");
	v = snapshot_read_begin(&w->entryd->view);
	if (b->kind_name)
		kind = catalogue_find_kind(v->catalogue, b->kind_name);
	if (!b->workspace || !catalogue_find_workspace(v->catalogue, b->workspace)) {
		field = "workspace";
		reason = "expected the name of a workspace in the catalogue";
	} else if (!kind || strcmp(kind->workspace, b->workspace)) {
		field = "kind";
		reason = "expected the name of a kind of this workspace";
	} else if (kind->work != WORK_REQUEST) {
		field = "kind";
		reason = "this kind is a job; use /v1/jobs";
	} else if (deadline && (!json_is_integer(deadline) || json_integer_value(deadline) <= 0)) {
		field = "deadline_ms";
		reason = "expected a whole number of milliseconds from now, above 0";
	}
	if (kind) {
		b->kind = *kind;
		b->kind.name = talloc_strdup(w->mem_ctx, kind->name);
		b->kind.workspace = NULL;
	}
	snapshot_read_end();
	if (!field) {
		b->payload = base_json_text(w->mem_ctx, json_object_get(b->doc, "payload"));
		if (strlen(b->payload) > PAYLOAD_MAX) {
			field = "payload";
			reason = "larger than 32768 bytes";
		}
	}
	if (field) {
		reply_error(w, http, 422, field, reason);
		return false;
	}
	ms = deadline ? MIN(json_integer_value(deadline), b->kind.deadline_ms)
		      : b->kind.deadline_ms;
	b->deadline = base_deadline_in(ms);
	return true;
}

static void body_free(struct body *b)
{
	json_decref(b->doc);
	talloc_free(b->payload);
	talloc_free(b->kind.name);
	memset(b, 0, sizeof(*b));
}

/* ---- serving at the owner ---- */

static void start_request(struct worker *w, const char *id, const struct body *b,
			  bool retains_outcome, const char *traceparent, struct waiter *waiter)
{
	struct request_spec spec = {.id = id,
				    .workspace = b->workspace,
				    .kind = &b->kind,
				    .payload = b->payload,
				    .deadline = b->deadline,
				    .traceparent = traceparent,
				    .retains_outcome = retains_outcome};
	struct request *r = requests_start(w, &spec);

	requests_wait(w, r, waiter);
	requests_release(r);
}

/* Answers for an id issued here that has not been used yet or whose outcome has been freed. */
static void answer_unknown_ticket(struct worker *w, const struct request_id *id, const char *text,
				  struct waiter *waiter)
{
	struct outcome_msg msg = {OUTCOME_NOT_RUN, "the ticket has not been used", NULL};

	if (base_now_ns() / BASE_NS_PER_MS - id->issued_ms > TICKET_MS) {
		msg.outcome = OUTCOME_UNKNOWN;
		msg.reason = "the ticket has lapsed and its outcome is no longer kept";
	}
	waiter_answer(w, waiter, text, &msg);
}

static bool is_ticket_usable(const struct request_id *id)
{
	return base_now_ns() / BASE_NS_PER_MS - id->issued_ms <= TICKET_MS;
}

/*
 * Starts the request of an id that this worker owns, or waits for the one that
 * was started before. @b is NULL for a query of the state.
 */
static void serve_at_owner(struct worker *w, const struct request_id *id, const char *text,
			   const struct body *b, const char *traceparent, struct waiter *waiter)
{
	struct request *r = requests_find(w, text);

	if (r)
		requests_wait(w, r, waiter);
	else if (!b || !is_ticket_usable(id))
		answer_unknown_ticket(w, id, text, waiter);
	else
		start_request(w, text, b, true, traceparent, waiter);
}

static bool body_from_thread_forward(struct worker *w, const struct thread_forward *fwd,
				     struct body *b)
{
	const struct view *v = snapshot_read_begin(&w->entryd->view);
	const struct catalogue_kind *kind = catalogue_find_kind(v->catalogue, fwd->kind);

	memset(b, 0, sizeof(*b));
	if (kind) {
		b->kind = *kind;
		b->kind.name = talloc_strdup(w->mem_ctx, kind->name);
	}
	snapshot_read_end();
	b->workspace = fwd->workspace;
	b->payload = talloc_strdup(w->mem_ctx, fwd->payload ? fwd->payload : "");
	b->deadline = fwd->deadline;
	return kind && fwd->payload;
}

/* Runs at the owner of a forwarded request, or at worker 0 when the id has no owner here. */
static void on_thread_forward(struct inbox_msg *msg, void *receiver)
{
	struct thread_forward *fwd = (struct thread_forward *)msg;
	struct worker *w = receiver;
	struct waiter *waiter = talloc_zero(w->mem_ctx, struct waiter);
	struct request_id id;
	struct body b;
	bool has_body = body_from_thread_forward(w, fwd, &b);

	waiter->type = fwd->rpc ? WAITER_PEER : WAITER_THREAD;
	waiter->thread_forward = fwd;
	waiter->deadline = fwd->deadline + WAIT_GRACE_MS * BASE_NS_PER_MS;
	if (!id_parse(fwd->id, &id) || !is_own(w->entryd, &id))
		requests_settle_orphan(w, fwd->id, waiter);
	else
		serve_at_owner(w, &id, fwd->id, has_body ? &b : NULL, fwd->traceparent, waiter);
	body_free(&b);
}

static void on_thread_forward_abort(struct httpd_request *http)
{
	((struct thread_forward *)http->user)->http = NULL;
}

static struct thread_forward *thread_forward_new(const char *id, const struct body *b,
						 int64_t deadline)
{
	struct thread_forward *fwd = g_new0(struct thread_forward, 1);

	fwd->msg.run = on_thread_forward;
	g_strlcpy(fwd->id, id, sizeof(fwd->id));
	fwd->deadline = deadline;
	if (b) {
		g_strlcpy(fwd->workspace, b->workspace, sizeof(fwd->workspace));
		g_strlcpy(fwd->kind, b->kind.name, sizeof(fwd->kind));
		fwd->payload = g_strdup(b->payload);
	}
	return fwd;
}

static void send_to_thread(struct worker *w, struct httpd_request *http, unsigned int thread,
			   const char *id, const struct body *b, int64_t deadline)
{
	struct thread_forward *fwd = thread_forward_new(id, b, deadline);
	const char *traceparent = httpd_header(http, "traceparent");

	g_strlcpy(fwd->traceparent, traceparent ? traceparent : "", sizeof(fwd->traceparent));
	fwd->origin = w;
	fwd->http = http;
	http->user = fwd;
	http->on_abort = on_thread_forward_abort;
	w->active++;
	inbox_push(w->entryd->workers[thread].inbox, &fwd->msg);
}

void worker_accept_forward(struct entryd *e, struct onc_request *req)
{
	const cl_forward_args *args = req->args;
	struct thread_forward *fwd = g_new0(struct thread_forward, 1);
	struct request_id id;
	unsigned int thread = 0;

	fwd->msg.run = on_thread_forward;
	fwd->rpc = req;
	fwd->deadline = base_deadline_in(MIN(args->remaining_ms, 3600000));
	g_strlcpy(fwd->id, args->id, sizeof(fwd->id));
	g_strlcpy(fwd->workspace, args->workspace, sizeof(fwd->workspace));
	g_strlcpy(fwd->kind, args->kind, sizeof(fwd->kind));
	g_strlcpy(fwd->traceparent, args->traceparent, sizeof(fwd->traceparent));
	if (*args->kind)
		fwd->payload = g_strdup(args->body);
	if (id_parse(fwd->id, &id) && is_own(e, &id))
		thread = id.thread;
	inbox_push(e->workers[thread].inbox, &fwd->msg);
}

/* ---- forwarding to other entry VMs ---- */

struct onc_client *worker_client(struct worker *w, const struct address *a)
{
	char key[32];
	struct onc_client *client;

	g_snprintf(key, sizeof(key), "%s:%u", a->ip, a->port);
	client = g_hash_table_lookup(w->onc_clients, key);
	if (client)
		return client;
	client = onc_client_new(w->mem_ctx, w->ev, a->ip, a->port);
	g_hash_table_insert(w->onc_clients, g_strdup(key), client);
	return client;
}

/* a call that forwards a request to another entry VM */
struct vm_forward {
	struct worker *worker;
	struct waiter *waiter;
	char *id;
	struct trace_span span;
};

static void on_vm_forward_reply(enum onc_result result, void *data_res, void *data)
{
	struct vm_forward *f = data;
	const cl_outcome_res *res = data_res;
	struct outcome_msg msg = {OUTCOME_UNKNOWN, "the owner of the request cannot be reached now",
				  NULL};

	if (result == ONC_OK) {
		msg.outcome = (enum outcome)res->outcome;
		msg.reason = res->reason;
		msg.answer = *res->body ? res->body : NULL;
	}
	trace_span_end(&f->span, "handover", base_outcome_name(msg.outcome));
	f->worker->active--;
	waiter_answer(f->worker, f->waiter, f->id, &msg);
	talloc_free(f);
}

static void send_to_vm(struct worker *w, const struct address *peer, const char *id,
		       const struct body *b, int64_t deadline, const char *traceparent,
		       struct waiter *waiter)
{
	struct vm_forward *f = talloc_zero(w->mem_ctx, struct vm_forward);
	char parent[TRACE_PARENT_LEN + 1];
	cl_forward_args args = {.id = (char *)id,
				.workspace = b ? (char *)b->workspace : (char *)"",
				.kind = b ? b->kind.name : (char *)"",
				.remaining_ms = base_remaining_ms(deadline),
				.traceparent = parent,
				.body = b ? b->payload : (char *)""};

	f->worker = w;
	f->waiter = waiter;
	f->id = talloc_strdup(f, id);
	f->span = trace_span_start(traceparent);
	trace_format_parent(&f->span, parent);
	w->active++;
	count(w, COUNT_FORWARDED);
	onc_call(worker_client(w, peer), &cluster_procs[CLUSTER_PROC_FORWARD], &args,
		 sizeof(cl_outcome_res),
		 deadline + (WAIT_GRACE_MS + FORWARD_GRACE_MS) * BASE_NS_PER_MS,
		 on_vm_forward_reply, f);
}

/* where a request goes that this process does not own */
enum route {
	ROUTE_OWNER,	     /* to the entry VM that owns it */
	ROUTE_ORPHAN_LOCAL,  /* its owner is gone; settled at the backend servers of this domain */
	ROUTE_ORPHAN_REMOTE, /* its owner is gone; to a live entry VM of its failure domain */
	ROUTE_NONE	     /* no entry VM of its failure domain is live */
};

static enum route choose_route(struct worker *w, const struct request_id *id, struct address *out)
{
	const struct view *v = snapshot_read_begin(&w->entryd->view);
	const struct view_peer *owner = view_find_peer(v, id->vm);
	enum route route = ROUTE_NONE;

	if (owner && (!owner->incarnation || owner->incarnation == id->incarnation)) {
		*out = owner->entry;
		route = ROUTE_OWNER;
	} else if (!strcmp(id->failure_domain, w->entryd->settings->failure_domain)) {
		route = ROUTE_ORPHAN_LOCAL;
	} else {
		/* its backend servers are elsewhere: forward to an entry VM of their domain */
		for (unsigned int i = 0; i < v->peer_count; i++) {
			if (strcmp(v->peers[i].failure_domain, id->failure_domain) ||
			    !v->peers[i].is_live)
				continue;
			*out = v->peers[i].entry;
			route = ROUTE_ORPHAN_REMOTE;
		}
	}
	snapshot_read_end();
	return route;
}

/*
 * Serves a request by id at its owner, in this process or elsewhere. @b is NULL
 * for a query of the state.
 */
static void route_request(struct worker *w, struct httpd_request *http, const char *text,
			  const struct body *b, int64_t wait_deadline)
{
	const char *traceparent = httpd_header(http, "traceparent");
	int64_t deadline = b ? b->deadline : wait_deadline;
	struct outcome_msg unroutable = {OUTCOME_UNKNOWN,
					 "no entry VM of its failure domain is live", NULL};
	struct waiter *waiter;
	struct request_id id;
	struct address peer;

	if (!id_parse(text, &id)) {
		reply_error(w, http, 404, "id", "expected an id that this service issued");
		return;
	}
	if (is_own(w->entryd, &id) && id.thread != w->index) {
		send_to_thread(w, http, id.thread, text, b, deadline);
		return;
	}
	waiter = waiter_new_http(w, http, wait_deadline);
	if (is_own(w->entryd, &id)) {
		serve_at_owner(w, &id, text, b, traceparent, waiter);
		return;
	}
	switch (choose_route(w, &id, &peer)) {
	case ROUTE_OWNER:
	case ROUTE_ORPHAN_REMOTE:
		send_to_vm(w, &peer, text, b, deadline, traceparent, waiter);
		break;
	case ROUTE_ORPHAN_LOCAL:
		requests_settle_orphan(w, text, waiter);
		break;
	case ROUTE_NONE:
		waiter_answer(w, waiter, text, &unroutable);
		break;
	}
}

/* ---- claims on callers' keys ---- */

/* the write of a row that binds an Idempotency-Key to a request id */
struct claim {
	struct worker *worker;
	struct httpd_request *http; /* NULL once the caller disconnected */
	char id[ID_MAX];
	char *key;     /* "workspace/key" */
	char hash[20]; /* of kind and payload; a key with another body is rejected */
	struct body body;
};

static void claim_free(struct claim *c)
{
	body_free(&c->body);
	talloc_free(c);
}

static void on_claim_abort(struct httpd_request *http)
{
	((struct claim *)http->user)->http = NULL;
}

static int64_t waiter_deadline(const struct body *b)
{
	return b->deadline + WAIT_GRACE_MS * BASE_NS_PER_MS;
}

static void claim_fail(struct claim *c, unsigned int status, const char *reason)
{
	if (c->http) {
		c->http->on_abort = NULL;
		reply_error(c->worker, c->http, status, "Idempotency-Key", reason);
	}
	c->worker->active--;
	claim_free(c);
}

static void claim_run(struct claim *c, const char *id)
{
	if (c->http) {
		c->http->on_abort = NULL;
		route_request(c->worker, c->http, id, &c->body, waiter_deadline(&c->body));
	}
	c->worker->active--;
	claim_free(c);
}

static void on_claim_read(enum platform_result result, int64_t version G_GNUC_UNUSED, json_t *value,
			  void *data)
{
	struct claim *c = data;

	if (result != PLATFORM_OK || !value)
		claim_fail(c, 503, "the key cannot be looked up now; this try was not dispatched");
	else if (strcmp(base_json_str(value, "hash", ""), c->hash))
		claim_fail(c, 422, "the key was used before with another body");
	else
		claim_run(c, base_json_str(value, "id", ""));
}

static void on_claimed(enum platform_result result, const int64_t *versions G_GNUC_UNUSED,
		       void *data)
{
	struct claim *c = data;

	switch (result) {
	case PLATFORM_OK:
		claim_run(c, c->id);
		break;
	case PLATFORM_CONFLICT:
		platform_read(c->worker->platform, "claims", c->key, base_deadline_in(CLAIM_MS),
			      on_claim_read, c);
		break;
	case PLATFORM_NOT_APPLIED:
	case PLATFORM_NO_ANSWER:
		/* nothing was dispatched; a row that was written all the same names an unused id */
		claim_fail(c, 503, "the key cannot be claimed now; this try was not dispatched");
		break;
	}
}

static void claim_start(struct worker *w, struct httpd_request *http, const char *key,
			struct body *b)
{
	struct claim *c = talloc_zero(w->mem_ctx, struct claim);
	struct platform_write write = {.table = "claims", .expect = PLATFORM_EXPECT_ABSENT};

	c->worker = w;
	c->http = http;
	c->body = *b;
	id_new(w, c->id);
	g_snprintf(c->hash, sizeof(c->hash), "%016" PRIx64,
		   base_hash(b->payload, strlen(b->payload),
			     base_hash(b->kind.name, strlen(b->kind.name), 0)));
	c->key = talloc_asprintf(c, "%s/%s", b->workspace, key);
	http->user = c;
	http->on_abort = on_claim_abort;
	w->active++;
	count(w, COUNT_KEY_CLAIMS);
	write.key = c->key;
	write.value = json_pack("{ss ss sI}", "id", c->id, "hash", c->hash, "claimed_us",
				(json_int_t)base_wall_us());
	platform_tx(w->platform, &write, 1, base_deadline_in(CLAIM_MS), on_claimed, c);
	json_decref(write.value);
}

/* ---- HTTP ---- */

static bool is_valid_key(const char *key)
{
	size_t n = strlen(key);

	return n > 0 && n <= KEY_MAX &&
	       strspn(key, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") ==
		       n;
}

static void handle_post(struct worker *w, struct httpd_request *http)
{
	const char *key = httpd_header(http, "Idempotency-Key");
	char id[ID_MAX];
	struct body b;

	if (key && !is_valid_key(key)) {
		reply_error(w, http, 400, "Idempotency-Key",
			    "expected 1 to 128 letters, digits, '-', '_' or '.'");
		return;
	}
	if (!parse_body(w, http, &b)) {
		body_free(&b);
		return;
	}
	if (key) {
		claim_start(w, http, key, &b);
		return;
	}
	id_new(w, id);
	start_request(w, id, &b, false, httpd_header(http, "traceparent"),
		      waiter_new_http(w, http, waiter_deadline(&b)));
	body_free(&b);
}

static void handle_put(struct worker *w, struct httpd_request *http, const char *id)
{
	struct body b;

	if (parse_body(w, http, &b))
		route_request(w, http, id, &b, waiter_deadline(&b));
	body_free(&b);
}

static void handle_get(struct worker *w, struct httpd_request *http, const char *id)
{
	const char *wait = httpd_query(http, "wait_ms");
	int64_t wait_ms = wait ? g_ascii_strtoll(wait, NULL, 10) : 0;

	route_request(w, http, id, NULL, base_deadline_in(CLAMP(wait_ms, 0, WAIT_MAX_MS)));
}

static void handle_ticket(struct worker *w, struct httpd_request *http)
{
	char id[ID_MAX];

	id_new(w, id);
	httpd_reply_json(http, 201, json_pack("{sssi}", "id", id, "valid_ms", TICKET_MS));
}

static void handle_ready(struct worker *w, struct httpd_request *http)
{
	const struct view *v = snapshot_read_begin(&w->entryd->view);
	bool is_ready = v && v->is_ready;

	snapshot_read_end();
	if (atomic_load(&w->entryd->is_draining))
		httpd_reply_json(http, 503, json_pack("{ss}", "state", "draining"));
	else
		httpd_reply_json(
			http, is_ready ? 200 : 503,
			json_pack("{ss}", "state", is_ready ? "ready" : "no catalogue yet"));
}

static void handle_metrics(struct worker *w, struct httpd_request *http)
{
	char *text = counter_text(w->mem_ctx, &w->entryd->counters);

	httpd_reply(http, 200, str_from(text));
	talloc_free(text);
}

static bool is_view_ready(struct worker *w)
{
	const struct view *v = snapshot_read_begin(&w->entryd->view);
	bool is_ready = v && v->is_ready;

	snapshot_read_end();
	return is_ready;
}

static void on_http(struct httpd_request *http)
{
	struct worker *w = http->server_data;
	const char *path = http->path;
	bool is_post = !strcmp(http->method, "POST");

	if (!strcmp(path, "/healthz"))
		httpd_reply_json(http, 200, json_pack("{ss}", "state", "alive"));
	else if (!strcmp(path, "/readyz"))
		handle_ready(w, http);
	else if (!strcmp(path, "/metrics"))
		handle_metrics(w, http);
	else if (!is_view_ready(w))
		reply_error(w, http, 503, "vm", "this entry VM has no catalogue yet");
	else if (!strcmp(path, "/v1/requests") && is_post)
		handle_post(w, http);
	else if (!strcmp(path, "/v1/tickets") && is_post)
		handle_ticket(w, http);
	else if (g_str_has_prefix(path, "/v1/requests/") && !strcmp(http->method, "PUT"))
		handle_put(w, http, path + strlen("/v1/requests/"));
	else if (g_str_has_prefix(path, "/v1/requests/") && !strcmp(http->method, "GET"))
		handle_get(w, http, path + strlen("/v1/requests/"));
	else if (g_str_has_prefix(path, "/v1/jobs"))
		jobs_handle(w, http);
	else
		reply_error(w, http, 404, "path", "no such path");
}

/* ---- worker thread ---- */

/* Sent by a worker without queued requests to one with some, since slots may be free. */
static void on_wake(struct inbox_msg *msg, void *receiver)
{
	g_free(msg);
	requests_dispatch(receiver);
}

static void wake_others(struct worker *w)
{
	for (unsigned int i = 0; i < w->entryd->worker_count; i++) {
		struct worker *other = &w->entryd->workers[i];
		struct inbox_msg *msg;

		if (other == w || !atomic_load(&other->queued_count))
			continue;
		msg = g_new0(struct inbox_msg, 1);
		msg->run = on_wake;
		inbox_push(other->inbox, msg);
	}
}

static void count_closed_connections(struct worker *w)
{
	struct httpd_stats s = httpd_stats(w->httpd);
	uint64_t closed = s.closed_for_room + s.closed_for_connection + s.closed_overdue;

	counter_add(&w->entryd->counters, w->index + 1, COUNT_CLOSED, closed - w->prev_closed);
	w->prev_closed = closed;
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te G_GNUC_UNUSED,
		    struct timeval now G_GNUC_UNUSED, void *data)
{
	struct worker *w = data;

	requests_tick(w);
	count_closed_connections(w);
	trace_flush();
	if (w->is_draining && !w->active && !httpc_in_flight(w->http))
		atomic_store(&w->is_idle, true);
	if (!w->is_stopped)
		tevent_add_timer(ev, w->ev, base_timeval_in_ms(TICK_MS), on_tick, w);
}

static void on_stop(struct inbox_msg *msg, void *receiver)
{
	((struct worker *)receiver)->is_stopped = true;
	g_free(msg);
}

static void on_drain(struct inbox_msg *msg, void *receiver)
{
	struct worker *w = receiver;

	w->is_draining = true;
	httpd_stop_listening(w->httpd);
	g_free(msg);
}

static void post_to_worker(struct worker *w, void (*run)(struct inbox_msg *msg, void *receiver))
{
	struct inbox_msg *msg = g_new0(struct inbox_msg, 1);

	msg->run = run;
	inbox_push(w->inbox, msg);
}

void worker_drain(struct worker *w)
{
	post_to_worker(w, on_drain);
}

void worker_stop(struct worker *w)
{
	post_to_worker(w, on_stop);
	pthread_join(w->thread, NULL);
}

static void *worker_main(void *data)
{
	struct worker *w = data;
	unsigned int waiting = 0;

	snapshot_thread_register();
	tevent_add_timer(w->ev, w->ev, base_timeval_in_ms(TICK_MS), on_tick, w);
	while (!w->is_stopped) {
		tevent_loop_once(w->ev);
		if (!atomic_load(&w->queued_count) &&
		    (waiting || w->prev_running > w->running.length))
			wake_others(w);
		waiting = atomic_load(&w->queued_count);
		w->prev_running = w->running.length;
	}
	trace_flush();
	snapshot_thread_unregister();
	return NULL;
}

int worker_start(struct entryd *e, unsigned int index)
{
	struct worker *w = &e->workers[index];
	const struct settings *s = e->settings;
	TALLOC_CTX *root = talloc_named_const(NULL, 0, "worker");

	struct httpd_options opt = {.ip = s->entry_callers.ip,
				    .port = s->entry_callers.port,
				    .body_max = BODY_MAX,
				    .bodies_max = BODIES_MAX,
				    .on_busy = reply_busy,
				    .connections_max = CONNECTIONS_MAX,
				    .close_for_new = true,
				    .idle_timeout_s = IDLE_S,
				    .reuse_port = true};

	w->entryd = e;
	w->index = index;
	w->mem_ctx = root;
	w->ev = tevent_context_init(root);
	w->inbox = inbox_new(root, w->ev, w);
	w->http = httpc_new(root, w->ev, 0, 0);
	w->platform = platform_new(root, w->ev, w->http, s->platform.ip, s->platform.port, s->vm);
	w->requests = g_hash_table_new(g_str_hash, g_str_equal);
	w->kind_stats = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->onc_clients = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->workspace_in_flight = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->retry_tokens = 20;
	w->httpd = httpd_new(root, w->ev, &opt, on_http, w);
	if (!w->httpd)
		return -1;
	return pthread_create(&w->thread, NULL, worker_main, w);
}
