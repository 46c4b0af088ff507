/*
 * Orders of the leader that this VM carries out, see sited_dispatch.c. An order
 * is sent once, and its answer passed back. While the leader is silent, leases
 * of servers that it last had looked at from here are renewed, see lib/renewal.
 */
#include "sited.h"

#include <string.h>

#include "mtimer/mtimer.h"
#include "renewal/renewal.h"

#define RENEWAL_TICK_MS 500
#define RENEWAL_ANSWER_MS 400

/**
 * struct watched - a server whose leases this VM may renew
 * @born: incarnation that answered last; its clock counts from then
 */
struct watched {
	struct renewal renewal;
	int64_t born;
	char *address;
};

/* an order under way; @server of a look, else NULL */
struct carried {
	struct sited *d;
	struct onc_request *req;
	char *server;
};

static void answer(struct onc_request *req, enum order_status status)
{
	cl_order_res res = {.status = (int)status};

	onc_reply(req, &res);
}

/* ---- payloads: a job's text comes with the first of its starts only ---- */

struct payload {
	char *text;
	int64_t used_at;
};

static gboolean is_unused(gpointer id G_GNUC_UNUSED, gpointer value, gpointer data)
{
	const struct payload *p = value;
	const int64_t *now = data;

	return *now - p->used_at > AGENT_PAYLOAD_TTL_MS;
}

static void free_payload(gpointer value)
{
	talloc_free(value);
}

/* the text of the task's job, or NULL when the leader takes it for known and it is not */
static const char *payload_of(struct sited *d, const cl_start_args *args)
{
	char id[WORK_ID_LEN + 1];
	struct payload *p;

	g_strlcpy(id, args->task, sizeof(id));
	p = g_hash_table_lookup(d->payloads, id);
	if (!p && args->payload[0]) {
		p = talloc_zero(d, struct payload);
		p->text = talloc_strdup(p, args->payload);
		g_hash_table_insert(d->payloads, g_strdup(id), p);
	}
	if (p)
		p->used_at = sited_now_ms();
	return p ? p->text : NULL;
}

/* ---- renewing while the leader is silent ---- */

static void watch(struct sited *d, const cl_look_args *args)
{
	struct watched *w = g_hash_table_lookup(d->renewals, args->to.server);

	if (!w) {
		w = talloc_zero(d, struct watched);
		g_hash_table_insert(d->renewals, g_strdup(args->to.server), w);
	}
	talloc_free(w->address);
	w->address = talloc_strdup(w, args->to.address);
	w->renewal.looks++;
	renewal_set_limit(&w->renewal, args->to.term, args->renewal_limit, sited_now_ms());
}

/* what the server answered to a look, whoever sent it; the watch ends where nothing runs */
static void note_look(struct watched *w, const struct order_result *r)
{
	int64_t now = sited_now_ms();

	w->renewal.looks--;
	w->renewal.leader_active_at = now;
	if (r->born && r->born != w->born) {
		w->born = r->born;
		w->renewal.requested_until = 0;
	}
	if (r->status == ORDER_DONE && r->clock_ms && r->run_count)
		renewal_set_server_clock(&w->renewal, r->clock_ms, now);
	else
		w->renewal.limit = 0;
}

/* tells the leader what was asked for without it */
static void say_renewals(struct carried *c, const struct order_result *r, cl_order_res *res)
{
	struct watched *w = g_hash_table_lookup(c->d->renewals, c->server);

	if (!w)
		return;
	note_look(w, r);
	res->renews = w->renewal.limit != 0;
	res->renewed_until = w->renewal.requested_until;
}

struct renewing {
	struct sited *d;
	char *server;
};

static void on_renewed(const struct order_result *r, void *data)
{
	struct renewing *ctx = data;
	struct watched *w = g_hash_table_lookup(ctx->d->renewals, ctx->server);

	log_event("lease_renewed_alone", "{ss ss sI si}", "server", ctx->server, "outcome",
		  order_status_name(r->status), "term", (json_int_t)(w ? w->renewal.term : 0),
		  "running", (int)r->run_count);
	if (w && r->status == ORDER_UNKNOWN) {
		w->renewal.looks--; /* asked again until the limit is over */
	} else if (w) {
		note_look(w, r);
		/* the leader is still silent */
		w->renewal.leader_active_at -= RENEWAL_LEADER_TIMEOUT_MS;
	}
	talloc_free(ctx);
}

static void renew(struct sited *d, const char *server, struct watched *w, int64_t until)
{
	struct renewing *ctx = talloc_zero(d, struct renewing);
	struct order_target to = {.server = server,
				  .address = w->address,
				  .term = w->renewal.term,
				  .deadline = base_deadline_in(RENEWAL_ANSWER_MS)};
	/* acknowledges nothing: another incarnation may have the id, and counts its ends anew */
	struct order_poll look = {.lease_until = until};

	ctx->d = d;
	ctx->server = talloc_strdup(ctx, server);
	w->renewal.requested_until = until;
	w->renewal.looks++;
	sited_count(&d->metrics, COUNT_RENEWED_ALONE);
	orders_poll(d->orders, &to, &look, on_renewed, ctx);
}

static void on_renewal_tick(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	struct sited *d = data;
	int64_t now = sited_now_ms();
	GHashTableIter it;
	gpointer server;
	gpointer value;

	mtimer_add(d, d->ev, base_deadline_in(RENEWAL_TICK_MS), on_renewal_tick, d);
	g_hash_table_foreach_remove(d->payloads, is_unused, &now);
	g_hash_table_iter_init(&it, d->renewals);
	while (g_hash_table_iter_next(&it, &server, &value)) {
		struct watched *w = value;
		int64_t until = renewal_next_lease_until(&w->renewal, d->leader.term,
							 d->site->lease_max_ms, now);

		if (until) {
			renew(d, server, w, until);
		} else if (!w->renewal.looks && renewal_is_over(&w->renewal, d->leader.term, now)) {
			g_hash_table_iter_remove(&it);
			talloc_free(w);
		}
	}
}

void sited_agent_start(struct sited *d)
{
	d->renewals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	d->payloads = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_payload);
	mtimer_add(d, d->ev, base_deadline_in(RENEWAL_TICK_MS), on_renewal_tick, d);
}

/* ---- orders ---- */

static void on_carried(const struct order_result *r, void *data)
{
	struct carried *c = data;
	cl_order_res res = {.status = (int)r->status, .clock_ms = r->clock_ms, .born = r->born};

	if (c->server)
		say_renewals(c, r, &res);

	res.runs.runs_val = talloc_zero_array(c, cl_run, r->run_count);
	res.runs.runs_len = r->run_count;
	for (unsigned int i = 0; i < r->run_count; i++)
		res.runs.runs_val[i] =
			(cl_run){str_dup(c, r->runs[i].task), r->runs[i].attempt,
				 str_dup(c, r->runs[i].snapshot), r->runs[i].percent};
	res.ended.ended_val = talloc_zero_array(c, cl_ended, r->ended_count);
	res.ended.ended_len = r->ended_count;
	for (unsigned int i = 0; i < r->ended_count; i++)
		res.ended.ended_val[i] = (cl_ended){
			r->ended[i].number, str_dup(c, r->ended[i].task), r->ended[i].attempt,
			(int)r->ended[i].how, str_dup(c, r->ended[i].snapshot)};
	onc_reply(c->req, &res);
	talloc_free(c);
}

/* it becomes a header of the call to the server */
static bool is_word(const char *text)
{
	for (const char *p = text; *p; p++)
		if (!g_ascii_isgraph(*p))
			return false;
	return *text;
}

/*
 * Whether the order may be carried out; else it is answered. A leader that was
 * replaced without knowing it learns so here, before its order reaches a server.
 */
static bool admit(struct sited *d, struct onc_request *req, const cl_order_target *to)
{
	struct address address;

	if (!is_word(to->server) || !address_parse(to->address, &address)) {
		log_warn("order_unreadable", "a peer's order names no server");
		answer(req, ORDER_INVALID);
		return false;
	}
	if (to->term < d->leader.term) {
		log_event("order_outdated", "{ss sI sI}", "server", to->server, "term",
			  (json_int_t)to->term, "newer", (json_int_t)d->leader.term);
		answer(req, ORDER_FENCED);
		return false;
	}
	sited_count(&d->metrics, COUNT_ORDERS_RELAYED);
	return true;
}

static struct order_target target_of(const cl_order_target *to)
{
	return (struct order_target){.server = to->server,
				     .address = to->address,
				     .term = to->term,
				     .deadline = base_deadline_in(to->remaining_ms),
				     .fresh = to->fresh};
}

static struct carried *carried_new(struct sited *d, struct onc_request *req)
{
	struct carried *c = talloc_zero(d, struct carried);

	c->d = d;
	c->req = req;
	return c;
}

static bool is_text(const char *text)
{
	return g_utf8_validate(text, -1, NULL);
}

void sited_on_start(struct onc_request *req)
{
	struct sited *d = req->server_data;
	const cl_start_args *args = req->args;
	struct order_target to = target_of(&args->to);
	struct order_start start = {args->task, args->attempt, payload_of(d, args),
				    args->snapshot[0] ? args->snapshot : NULL, args->lease_until};

	if (!admit(d, req, &args->to))
		return;
	if (!start.payload)
		answer(req, ORDER_UNKNOWN); /* the leader sends it itself */
	else if (is_text(args->task) && is_text(start.payload) && is_text(args->snapshot))
		orders_start(d->orders, &to, &start, on_carried, carried_new(d, req));
	else
		answer(req, ORDER_INVALID);
}

void sited_on_stop(struct onc_request *req)
{
	struct sited *d = req->server_data;
	const cl_stop_args *args = req->args;
	struct order_target to = target_of(&args->to);

	if (!admit(d, req, &args->to))
		return;
	if (is_text(args->task))
		orders_stop(d->orders, &to, args->task, args->attempt, on_carried,
			    carried_new(d, req));
	else
		answer(req, ORDER_INVALID);
}

void sited_on_poll(struct onc_request *req)
{
	struct sited *d = req->server_data;
	const cl_look_args *args = req->args;
	struct order_target to = target_of(&args->to);
	struct order_poll look = {args->acknowledged, args->lease_until, args->wait_ms};
	struct carried *c;

	if (!admit(d, req, &args->to))
		return;
	c = carried_new(d, req);
	c->server = talloc_strdup(c, args->to.server);
	watch(d, args);
	orders_poll(d->orders, &to, &look, on_carried, c);
}
