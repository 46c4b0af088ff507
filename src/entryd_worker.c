/**
 * DOC: entryd_worker - a thread that serves callers over HTTP
 *
 * Parses and checks what callers send, finds the owner of a request id and
 * passes a request of another owner on: to another thread by message, to
 * another entry VM by RPC.
 */
#include "entryd.h"

#include <stdlib.h>
#include <string.h>

#define BODY_MAX (64 * 1024)
#define PAYLOAD_MAX (32 * 1024)
#define CONNECTIONS_MAX 2000 /* of one thread */
#define IDLE_S 30
#define TICK_MS 25
#define TICKET_MS 300000     /* a ticket may be used first within this time */
#define WAIT_MAX_MS 60000    /* longest long-poll */
#define WAIT_GRACE_MS 1500   /* waiters get certainty this long past the deadline */
#define CLAIM_MS 1500	     /* deadline of a claim on a caller's key */
#define FORWARD_GRACE_MS 500 /* an owner's answer travels this long at most */
#define KEY_MAX 128

void count(struct worker *w, enum entryd_counter id)
{
	counter_add(&w->entryd->counters, w->index + 1, id, 1);
}

/* ---- answers ---- */

/* what has an id or a key may have run when it was sent before */
static bool may_have_run_before(struct httpd_request *http)
{
	return strcmp(http->method, "POST") != 0 || httpd_header(http, "Idempotency-Key");
}

void reply_fault(struct worker *w, struct httpd_request *http, unsigned int status,
		 const char *field, const char *reason)
{
	enum outcome o = may_have_run_before(http) ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;

	count(w, COUNT_BAD_INPUT);
	httpd_reply_json(http, status,
			 json_pack("{ssssss}", "outcome", base_outcome_name(o), "field", field,
				   "reason", reason));
}

/* text is copied into the answer as it is, because it is JSON already */
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

/* ---- waiters and hand-over between threads ---- */

/* a request on its way from the worker that got it to the worker that owns it, and back */
struct handover {
	struct inbox_msg msg;
	struct worker *origin;
	struct worker *owner;
	struct httpd_request *http; /* NULL once the caller is gone; origin only */
	char id[ID_MAX];
	char workspace[ID_MAX];
	char kind[ID_MAX];
	char traceparent[TRACE_PARENT_LEN + 1];
	int64_t deadline;
	char *payload; /* NULL when only the state is asked for */
	enum outcome outcome;
	const char *reason;
	char *answer;
	struct onc_request *rpc; /* set when it came from another entry VM */
};

static void on_waiter_abort(struct httpd_request *http)
{
	((struct waiter *)http->user)->http = NULL;
}

struct waiter *waiter_new_http(struct worker *w, struct httpd_request *http, int64_t deadline)
{
	struct waiter *waiter = talloc_zero(w->root, struct waiter);

	waiter->type = WAITER_HTTP;
	waiter->http = http;
	waiter->deadline = deadline;
	http->user = waiter;
	http->on_abort = on_waiter_abort;
	return waiter;
}

static void handover_free(struct handover *h)
{
	g_free(h->payload);
	g_free(h->answer);
	g_free(h);
}

static void on_handover_back(struct inbox_msg *msg, void *receiver)
{
	struct handover *h = (struct handover *)msg;
	struct worker *w = receiver;
	struct outcome_msg out = {h->outcome, h->reason, h->answer};

	if (h->http) {
		h->http->on_abort = NULL;
		reply_outcome(w, h->http, h->id, &out);
	}
	w->active--;
	handover_free(h);
}

static void on_rpc_back(struct inbox_msg *msg, void *receiver G_GNUC_UNUSED)
{
	struct handover *h = (struct handover *)msg;
	cl_outcome_res res = {.known = true, .outcome = (int)h->outcome};

	res.reason = (char *)h->reason;
	res.body = h->answer ? h->answer : (char *)"";
	onc_reply(h->rpc, &res);
	handover_free(h);
}

void waiter_answer(struct worker *w, struct waiter *waiter, const char *id,
		   const struct outcome_msg *msg)
{
	struct handover *h;

	switch (waiter->type) {
	case WAITER_HTTP:
		if (waiter->http) {
			waiter->http->on_abort = NULL;
			reply_outcome(w, waiter->http, id, msg);
		}
		break;
	case WAITER_THREAD:
	case WAITER_PEER:
		h = waiter->handover;
		h->outcome = msg->outcome;
		h->reason = msg->reason; /* always a constant */
		h->answer = g_strdup(msg->answer);
		h->msg.run = waiter->type == WAITER_PEER ? on_rpc_back : on_handover_back;
		inbox_push(waiter->type == WAITER_PEER ? w->entryd->inbox : h->origin->inbox,
			   &h->msg);
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
	char **part = g_strsplit(text, ".", 7);
	bool ok = g_strv_length(part) == 6 && strlen(text) < ID_MAX &&
		  strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-.") == strlen(text);

	if (ok) {
		g_strlcpy(out->failure_domain, part[0], sizeof(out->failure_domain));
		g_strlcpy(out->vm, part[1], sizeof(out->vm));
		out->incarnation = g_ascii_strtoll(part[2], NULL, 16);
		out->thread = (unsigned int)g_ascii_strtoull(part[3], NULL, 10);
		out->issued_ms = g_ascii_strtoll(part[4], NULL, 16);
	}
	g_strfreev(part);
	return ok;
}

static void id_new(struct worker *w, char out[ID_MAX])
{
	const struct settings *s = w->entryd->settings;

	g_snprintf(out, ID_MAX, "%s.%s.%" PRIx64 ".%u.%" PRIx64 ".%" PRIx64, s->failure_domain,
		   s->vm, w->entryd->incarnation, w->index,
		   (int64_t)(base_now_ns() / BASE_NS_PER_MS), ++w->next_sequence);
}

static bool is_own(const struct entryd *e, const struct request_id *id)
{
	return !strcmp(id->vm, e->settings->vm) && id->incarnation == e->incarnation &&
	       id->thread < e->worker_count;
}

/* ---- what a caller sends ---- */

/* a checked body of a short request; strings belong to @doc */
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
		reply_fault(w, http, 400, "body", "expected a JSON object");
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
		b->kind.name = talloc_strdup(w->root, kind->name);
		b->kind.workspace = NULL;
	}
	snapshot_read_end();
	if (!field) {
		b->payload = base_json_text(w->root, json_object_get(b->doc, "payload"));
		if (strlen(b->payload) > PAYLOAD_MAX) {
			field = "payload";
			reason = "larger than 32768 bytes";
		}
	}
	if (field) {
		reply_fault(w, http, 422, field, reason);
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

/* ---- run at the owner ---- */

static void run_here(struct worker *w, const char *id, const struct body *b, bool is_kept,
		     const char *traceparent, struct waiter *waiter)
{
	struct request_spec spec = {.id = id,
				    .workspace = b->workspace,
				    .kind = &b->kind,
				    .payload = b->payload,
				    .deadline = b->deadline,
				    .traceparent = traceparent,
				    .is_kept = is_kept};
	struct request *r = requests_start(w, &spec);

	requests_wait(w, r, waiter);
	requests_attached(r);
}

/* the state of an id that this worker issued and does not know any more, or not yet */
static void answer_absent(struct worker *w, const struct request_id *id, const char *text,
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

/* runs or joins the request of a ticket that this worker owns; @b is NULL to only look */
static void put_here(struct worker *w, const struct request_id *id, const char *text,
		     const struct body *b, const char *traceparent, struct waiter *waiter)
{
	struct request *r = requests_find(w, text);

	if (r)
		requests_wait(w, r, waiter);
	else if (!b || !is_ticket_usable(id))
		answer_absent(w, id, text, waiter);
	else
		run_here(w, text, b, true, traceparent, waiter);
}

static bool body_from_handover(struct worker *w, const struct handover *h, struct body *b)
{
	const struct view *v = snapshot_read_begin(&w->entryd->view);
	const struct catalogue_kind *kind = catalogue_find_kind(v->catalogue, h->kind);

	memset(b, 0, sizeof(*b));
	if (kind) {
		b->kind = *kind;
		b->kind.name = talloc_strdup(w->root, kind->name);
	}
	snapshot_read_end();
	b->workspace = h->workspace;
	b->payload = talloc_strdup(w->root, h->payload ? h->payload : "");
	b->deadline = h->deadline;
	return kind && h->payload;
}

/* a hand-over arrives at the owner */
static void on_handover(struct inbox_msg *msg, void *receiver)
{
	struct handover *h = (struct handover *)msg;
	struct worker *w = receiver;
	struct waiter *waiter = talloc_zero(w->root, struct waiter);
	struct request_id id;
	struct body b;
	bool has_body = body_from_handover(w, h, &b);

	waiter->type = h->rpc ? WAITER_PEER : WAITER_THREAD;
	waiter->handover = h;
	waiter->deadline = h->deadline + WAIT_GRACE_MS * BASE_NS_PER_MS;
	if (!id_parse(h->id, &id) || !is_own(w->entryd, &id))
		requests_orphan(w, h->id, waiter);
	else
		put_here(w, &id, h->id, has_body ? &b : NULL, h->traceparent, waiter);
	body_free(&b);
}

static void on_handover_abort(struct httpd_request *http)
{
	((struct handover *)http->user)->http = NULL;
}

static struct handover *handover_new(const char *id, const struct body *b, int64_t deadline)
{
	struct handover *h = g_new0(struct handover, 1);

	h->msg.run = on_handover;
	g_strlcpy(h->id, id, sizeof(h->id));
	h->deadline = deadline;
	if (b) {
		g_strlcpy(h->workspace, b->workspace, sizeof(h->workspace));
		g_strlcpy(h->kind, b->kind.name, sizeof(h->kind));
		h->payload = g_strdup(b->payload);
	}
	return h;
}

static void put_other_thread(struct worker *w, struct httpd_request *http, unsigned int thread,
			     const char *id, const struct body *b, int64_t deadline)
{
	struct handover *h = handover_new(id, b, deadline);
	const char *traceparent = httpd_header(http, "traceparent");

	g_strlcpy(h->traceparent, traceparent ? traceparent : "", sizeof(h->traceparent));
	h->origin = w;
	h->http = http;
	http->user = h;
	http->on_abort = on_handover_abort;
	w->active++;
	inbox_push(w->entryd->workers[thread].inbox, &h->msg);
}

void worker_forward(struct entryd *e, struct onc_request *req)
{
	const cl_forward_args *args = req->args;
	struct handover *h = g_new0(struct handover, 1);
	struct request_id id;
	unsigned int thread = 0;

	h->msg.run = on_handover;
	h->rpc = req;
	h->deadline = base_deadline_in(MIN(args->remaining_ms, 3600000));
	g_strlcpy(h->id, args->id, sizeof(h->id));
	g_strlcpy(h->workspace, args->workspace, sizeof(h->workspace));
	g_strlcpy(h->kind, args->kind, sizeof(h->kind));
	g_strlcpy(h->traceparent, args->traceparent, sizeof(h->traceparent));
	if (*args->kind)
		h->payload = g_strdup(args->body);
	if (id_parse(h->id, &id) && is_own(e, &id))
		thread = id.thread;
	inbox_push(e->workers[thread].inbox, &h->msg);
}

/* ---- requests of other entry VMs ---- */

struct onc_client *worker_client(struct worker *w, const struct address *a)
{
	char key[32];
	struct onc_client *client;

	g_snprintf(key, sizeof(key), "%s:%u", a->ip, a->port);
	client = g_hash_table_lookup(w->onc_clients, key);
	if (client)
		return client;
	client = onc_client_new(w->root, w->ev, a->ip, a->port);
	g_hash_table_insert(w->onc_clients, g_strdup(key), client);
	return client;
}

struct forward {
	struct worker *worker;
	struct waiter *waiter;
	char *id;
	struct trace_span span;
};

static void on_forwarded(enum onc_result result, void *data_res, void *data)
{
	struct forward *f = data;
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

static void put_other_vm(struct worker *w, const struct address *peer, const char *id,
			 const struct body *b, int64_t deadline, const char *traceparent,
			 struct waiter *waiter)
{
	struct forward *f = talloc_zero(w->root, struct forward);
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
	count(w, COUNT_HANDED_OVER);
	onc_call(worker_client(w, peer), &cluster_procs[CLUSTER_PROC_FORWARD], &args,
		 sizeof(cl_outcome_res),
		 deadline + (WAIT_GRACE_MS + FORWARD_GRACE_MS) * BASE_NS_PER_MS, on_forwarded, f);
}

/* where a request that is not ours has to go */
enum route { ROUTE_OWNER, ROUTE_ORPHAN_HERE, ROUTE_ORPHAN_THERE, ROUTE_NOWHERE };

static enum route find_route(struct worker *w, const struct request_id *id, struct address *out)
{
	const struct view *v = snapshot_read_begin(&w->entryd->view);
	const struct view_peer *owner = view_find_peer(v, id->vm);
	enum route route = ROUTE_NOWHERE;

	if (owner && (!owner->incarnation || owner->incarnation == id->incarnation)) {
		*out = owner->entry;
		route = ROUTE_OWNER;
	} else if (!strcmp(id->failure_domain, w->entryd->settings->failure_domain)) {
		route = ROUTE_ORPHAN_HERE;
	} else {
		/* its backend servers are in another failure domain: ask an entry VM there */
		for (unsigned int i = 0; i < v->peer_count; i++) {
			if (strcmp(v->peers[i].failure_domain, id->failure_domain) ||
			    !v->peers[i].is_live)
				continue;
			*out = v->peers[i].entry;
			route = ROUTE_ORPHAN_THERE;
		}
	}
	snapshot_read_end();
	return route;
}

/* runs, joins or looks at a request by id, wherever its owner is; @b is NULL to only look */
static void put_anywhere(struct worker *w, struct httpd_request *http, const char *text,
			 const struct body *b, int64_t wait_deadline)
{
	const char *traceparent = httpd_header(http, "traceparent");
	int64_t deadline = b ? b->deadline : wait_deadline;
	struct outcome_msg nowhere = {OUTCOME_UNKNOWN, "no entry VM of its failure domain is live",
				      NULL};
	struct waiter *waiter;
	struct request_id id;
	struct address peer;

	if (!id_parse(text, &id)) {
		reply_fault(w, http, 404, "id", "expected an id that this service issued");
		return;
	}
	if (is_own(w->entryd, &id) && id.thread != w->index) {
		put_other_thread(w, http, id.thread, text, b, deadline);
		return;
	}
	waiter = waiter_new_http(w, http, wait_deadline);
	if (is_own(w->entryd, &id)) {
		put_here(w, &id, text, b, traceparent, waiter);
		return;
	}
	switch (find_route(w, &id, &peer)) {
	case ROUTE_OWNER:
	case ROUTE_ORPHAN_THERE:
		put_other_vm(w, &peer, text, b, deadline, traceparent, waiter);
		break;
	case ROUTE_ORPHAN_HERE:
		requests_orphan(w, text, waiter);
		break;
	case ROUTE_NOWHERE:
		waiter_answer(w, waiter, text, &nowhere);
		break;
	}
}

/* ---- claims on callers' keys ---- */

struct claim {
	struct worker *worker;
	struct httpd_request *http; /* NULL once the caller is gone */
	char id[ID_MAX];
	char *key;
	char hash[20];
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

static int64_t wait_until(const struct body *b)
{
	return b->deadline + WAIT_GRACE_MS * BASE_NS_PER_MS;
}

static void claim_fail(struct claim *c, unsigned int status, const char *reason)
{
	if (c->http) {
		c->http->on_abort = NULL;
		reply_fault(c->worker, c->http, status, "Idempotency-Key", reason);
	}
	c->worker->active--;
	claim_free(c);
}

static void claim_run(struct claim *c, const char *id)
{
	if (c->http) {
		c->http->on_abort = NULL;
		put_anywhere(c->worker, c->http, id, &c->body, wait_until(&c->body));
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
		/* nothing was dispatched; a row left behind names an unused id of ours */
		claim_fail(c, 503, "the key cannot be claimed now; this try was not dispatched");
		break;
	}
}

static void claim_start(struct worker *w, struct httpd_request *http, const char *key,
			struct body *b)
{
	struct claim *c = talloc_zero(w->root, struct claim);
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
	count(w, COUNT_CLAIMS);
	write.key = c->key;
	write.value = json_pack("{ss ss sI}", "id", c->id, "hash", c->hash, "claimed_us",
				(json_int_t)base_wall_us());
	platform_tx(w->platform, &write, 1, base_deadline_in(CLAIM_MS), on_claimed, c);
	json_decref(write.value);
}

/* ---- HTTP ---- */

static bool is_key(const char *key)
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

	if (key && !is_key(key)) {
		reply_fault(w, http, 400, "Idempotency-Key",
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
	run_here(w, id, &b, false, httpd_header(http, "traceparent"),
		 waiter_new_http(w, http, wait_until(&b)));
	body_free(&b);
}

static void handle_put(struct worker *w, struct httpd_request *http, const char *id)
{
	struct body b;

	if (parse_body(w, http, &b))
		put_anywhere(w, http, id, &b, wait_until(&b));
	body_free(&b);
}

static void handle_get(struct worker *w, struct httpd_request *http, const char *id)
{
	const char *wait = httpd_query(http, "wait_ms");
	int64_t wait_ms = wait ? g_ascii_strtoll(wait, NULL, 10) : 0;

	put_anywhere(w, http, id, NULL, base_deadline_in(CLAMP(wait_ms, 0, WAIT_MAX_MS)));
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
	char *text = counter_text(w->root, &w->entryd->counters);

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
		reply_fault(w, http, 503, "vm", "this entry VM has no catalogue yet");
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
		reply_fault(w, http, 404, "path", "no such path");
}

/* ---- the thread ---- */

/* a worker with free slots and an empty queue wakes one whose requests wait */
static void on_poke(struct inbox_msg *msg, void *receiver)
{
	g_free(msg);
	requests_dispatch(receiver);
}

static void poke_others(struct worker *w)
{
	for (unsigned int i = 0; i < w->entryd->worker_count; i++) {
		struct worker *other = &w->entryd->workers[i];
		struct inbox_msg *msg;

		if (other == w || !atomic_load(&other->waiting))
			continue;
		msg = g_new0(struct inbox_msg, 1);
		msg->run = on_poke;
		inbox_push(other->inbox, msg);
	}
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te G_GNUC_UNUSED,
		    struct timeval now G_GNUC_UNUSED, void *data)
{
	struct worker *w = data;

	requests_tick(w);
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

static void send_plain(struct worker *w, void (*run)(struct inbox_msg *msg, void *receiver))
{
	struct inbox_msg *msg = g_new0(struct inbox_msg, 1);

	msg->run = run;
	inbox_push(w->inbox, msg);
}

void worker_drain(struct worker *w)
{
	send_plain(w, on_drain);
}

void worker_stop(struct worker *w)
{
	send_plain(w, on_stop);
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
		if (!atomic_load(&w->waiting) && (waiting || w->running_before > w->running.length))
			poke_others(w);
		waiting = atomic_load(&w->waiting);
		w->running_before = w->running.length;
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
				    .connections_max = CONNECTIONS_MAX,
				    .idle_timeout_s = IDLE_S,
				    .reuse_port = true};

	w->entryd = e;
	w->index = index;
	w->root = root;
	w->ev = tevent_context_init(root);
	w->inbox = inbox_new(root, w->ev, w);
	w->http = httpc_new(root, w->ev, 0, 0);
	w->platform = platform_new(root, w->ev, w->http, s->platform.ip, s->platform.port, s->vm);
	w->requests = g_hash_table_new(g_str_hash, g_str_equal);
	w->kinds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->onc_clients = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->workspace_use = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->retry_tokens = 20;
	w->httpd = httpd_new(root, w->ev, &opt, on_http, w);
	if (!w->httpd)
		return -1;
	return pthread_create(&w->thread, NULL, worker_main, w);
}
