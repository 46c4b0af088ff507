/*
 * Carries out the leader's orders as an agent, see sited_dispatch.c. An order is sent to
 * the backend server once, and the answer is passed back to the leader. While the leader
 * is silent, this VM renews the leases on servers that the leader last polled through it,
 * see lib/renewal.
 */
#include "sited.h"

#include <string.h>

#include "mtimer/mtimer.h"
#include "renewal/renewal.h"

#define RENEWAL_TICK_MS 500
#define RENEWAL_ANSWER_MS 400

/**
 * struct renewed_server - a server whose leases this VM may renew
 * @renewal: limit and clock that decide when to renew
 * @born: start time of the incarnation that answered last; its clock counts from then
 * @address: "ip:port" of the server
 */
struct renewed_server {
	struct renewal renewal;
	int64_t born;
	char *address;
};

/* An order in flight; @server is the server's id for a poll, else NULL. */
struct carried_order {
	struct sited *d;
	struct onc_request *req;
	char *server;
	int64_t fence;
};

static void reply_status(struct onc_request *req, enum order_status status)
{
	cl_order_res res = {.status = (int)status};

	onc_reply(req, &res);
}

/* ---- payloads: the leader sends a job's payload only with the job's first start ---- */

struct payload {
	char *text;
	int64_t used_at; /* when a start last used it, monotonic ms */
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

/* Returns the payload of the task's job; NULL when the order omits it and it isn't cached. */
static const char *find_payload(struct sited *d, const cl_start_args *args)
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

/* ---- renewal while the leader is silent ---- */

/* Records a poll that the leader sends through this VM. */
static void record_leader_poll(struct sited *d, const cl_look_args *args)
{
	struct renewed_server *rs = g_hash_table_lookup(d->renewals, args->to.server);

	if (!rs) {
		rs = talloc_zero(d, struct renewed_server);
		g_hash_table_insert(d->renewals, g_strdup(args->to.server), rs);
	}
	talloc_free(rs->address);
	rs->address = talloc_strdup(rs, args->to.address);
	rs->renewal.polls_in_flight++;
	renewal_set_limit(&rs->renewal, args->to.fence, args->renewal_limit, sited_now_ms());
}

/*
 * Applies the answer to a poll with @fence, sent for the leader or by this VM alone. Renewal ends
 * when no task runs on the server.
 */
static void apply_poll_answer(const struct sited *d, struct renewed_server *rs,
			      const struct order_result *r, int64_t fence)
{
	const struct order_list *list = r->list;
	int64_t now = sited_now_ms();

	rs->renewal.polls_in_flight--;
	/* it was meant for a former incarnation */
	if (r->status == ORDER_FENCED && fence < rs->renewal.fence)
		return;
	rs->renewal.leader_active_at = now;
	if (list && list->born && list->born != rs->born) {
		/* times on the clock of another incarnation mean nothing on this one's */
		rs->renewal.requested_until = 0;
		if (rs->born)
			rs->renewal.limit = 0;
		rs->born = list->born;
	}
	if (list && list->clock_ms && list->run_count)
		renewal_set_server_clock(&rs->renewal, list->clock_ms, d->site->lease_max_ms, now);
	else
		rs->renewal.limit = 0;
}

/* Reports to the leader the leases that this VM has requested alone. */
static void report_renewals(struct carried_order *c, const struct order_result *r,
			    cl_order_res *res)
{
	struct renewed_server *rs = g_hash_table_lookup(c->d->renewals, c->server);

	if (!rs)
		return;
	apply_poll_answer(c->d, rs, r, c->fence);
	res->born = rs->born;
	res->renews = rs->renewal.limit != 0;
	res->renewed_until = rs->renewal.requested_until;
}

struct renewal_call {
	struct sited *d;
	char *server;
	int64_t fence;
};

static void on_renewed(const struct order_result *r, void *data)
{
	struct renewal_call *ctx = data;
	struct renewed_server *rs = g_hash_table_lookup(ctx->d->renewals, ctx->server);

	log_event("lease_renewed_alone", "{ss ss sI si}", "server", ctx->server, "outcome",
		  order_status_name(r->status), "fence", (json_int_t)(rs ? rs->renewal.fence : 0),
		  "running", (int)(r->list ? r->list->run_count : 0));
	if (rs && !order_was_answered(r->status)) {
		/* on_renewal_tick() retries until the limit has passed */
		rs->renewal.polls_in_flight--;
	} else if (rs) {
		apply_poll_answer(ctx->d, rs, r, ctx->fence);
		/* An answer to this VM's own poll doesn't show that the leader is active. */
		rs->renewal.leader_active_at -= RENEWAL_LEADER_TIMEOUT_MS;
	}
	talloc_free(ctx);
}

static void renew(struct sited *d, const char *server, struct renewed_server *rs, int64_t until)
{
	struct renewal_call *ctx = talloc_zero(d, struct renewal_call);
	struct order_target to = {.server = server,
				  .address = rs->address,
				  .fence = rs->renewal.fence,
				  .deadline = base_deadline_in(RENEWAL_ANSWER_MS)};
	/*
	 * Acknowledges no ends: a new incarnation of the server may have the same id, and
	 * numbers its ends from the start.
	 */
	struct order_poll poll = {.lease_until = until};

	ctx->d = d;
	ctx->server = talloc_strdup(ctx, server);
	ctx->fence = to.fence;
	rs->renewal.requested_until = until;
	rs->renewal.polls_in_flight++;
	sited_count(&d->metrics, COUNT_RENEWED_ALONE);
	orders_poll(d->orders, &to, &poll, on_renewed, ctx);
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
		struct renewed_server *rs = value;
		int64_t until = renewal_next_lease_until(&rs->renewal, d->leader.term,
							 d->site->lease_max_ms, now);

		if (until) {
			renew(d, server, rs, until);
		} else if (!rs->renewal.polls_in_flight &&
			   renewal_is_over(&rs->renewal, d->leader.term, now)) {
			g_hash_table_iter_remove(&it);
			talloc_free(rs);
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

static void encode_list(TALLOC_CTX *ctx, const struct order_list *list, cl_order_res *res)
{
	res->clock_ms = list->clock_ms;
	res->born = list->born;
	res->runs.runs_val = talloc_zero_array(ctx, cl_run, list->run_count);
	res->runs.runs_len = list->run_count;
	for (unsigned int i = 0; i < list->run_count; i++)
		res->runs.runs_val[i] =
			(cl_run){str_dup(ctx, list->runs[i].task), list->runs[i].attempt,
				 str_dup(ctx, list->runs[i].snapshot), list->runs[i].percent};
	res->ended.ended_val = talloc_zero_array(ctx, cl_ended, list->ended_count);
	res->ended.ended_len = list->ended_count;
	for (unsigned int i = 0; i < list->ended_count; i++)
		res->ended.ended_val[i] =
			(cl_ended){list->ended[i].number, str_dup(ctx, list->ended[i].task),
				   list->ended[i].attempt, (int)list->ended[i].how,
				   str_dup(ctx, list->ended[i].snapshot)};
}

static void on_order_done(const struct order_result *r, void *data)
{
	struct carried_order *c = data;
	cl_order_res res = {.status = (int)r->status};

	if (c->server)
		report_renewals(c, r, &res);
	if (r->list)
		encode_list(c, r->list, &res);
	onc_reply(c->req, &res);
	talloc_free(c);
}
/*
 * Returns whether the order may be carried out; if not, the order has been answered. A
 * leader that does not know that it was replaced is told here, before its order reaches a
 * server.
 */
static bool admit(struct sited *d, struct onc_request *req, const cl_order_target *to)
{
	struct address address;

	if (!members_id_is_valid(to->server) || !address_parse(to->address, &address)) {
		log_warn("order_unreadable", "a peer's order has an invalid server id or address");
		reply_status(req, ORDER_INVALID);
		return false;
	}
	if (to->fence < d->leader.term) {
		log_event("order_outdated", "{ss sI sI}", "server", to->server, "fence",
			  (json_int_t)to->fence, "newer", (json_int_t)d->leader.term);
		reply_status(req, ORDER_FENCED);
		return false;
	}
	sited_count(&d->metrics, COUNT_ORDERS_RELAYED);
	return true;
}

static struct order_target decode_target(const cl_order_target *to)
{
	return (struct order_target){.server = to->server,
				     .address = to->address,
				     .fence = to->fence,
				     .deadline = base_deadline_in(to->remaining_ms),
				     .fresh = to->fresh};
}

static struct carried_order *carried_order_new(struct sited *d, struct onc_request *req)
{
	struct carried_order *c = talloc_zero(d, struct carried_order);

	c->d = d;
	c->req = req;
	return c;
}

static bool is_utf8(const char *text)
{
	return g_utf8_validate(text, -1, NULL);
}

static void carry_out_start(struct onc_request *req, const cl_start_args *args)
{
	struct sited *d = req->server_data;
	struct order_target to = decode_target(&args->to);
	struct order_start start = {args->task, args->attempt, find_payload(d, args),
				    args->snapshot[0] ? args->snapshot : NULL, args->lease_until};

	if (!admit(d, req, &args->to))
		return;
	if (!start.payload)
		reply_status(req, ORDER_NOT_RELAYED); /* the leader then sends the start itself */
	else if (is_utf8(args->task) && is_utf8(start.payload) && is_utf8(args->snapshot))
		orders_start(d->orders, &to, &start, on_order_done, carried_order_new(d, req));
	else
		reply_status(req, ORDER_INVALID);
}

void sited_on_start(struct onc_request *req)
{
	carry_out_start(req, req->args);
}

/*
 * A start that was under way for long is refused here, before it reaches a server. When this VM
 * does not know for certain, as it is cut off from the store, the leader sends the start itself.
 */
void sited_on_start_in(struct onc_request *req)
{
	struct sited *d = req->server_data;
	const cl_start_in_args *args = req->args;

	if (!sited_domain_is_evacuated(d, args->failure_domain)) {
		carry_out_start(req, &args->start);
		return;
	}
	if (!admit(d, req, &args->start.to))
		return;
	log_event("start_refused", "{ss ss sI}", "server", args->start.to.server, "domain",
		  is_utf8(args->failure_domain) ? args->failure_domain : "", "fence",
		  (json_int_t)args->start.to.fence);
	reply_status(req, sited_evacuations_are_new(d, 0) ? ORDER_EVACUATED : ORDER_NOT_RELAYED);
}

void sited_on_stop(struct onc_request *req)
{
	struct sited *d = req->server_data;
	const cl_stop_args *args = req->args;
	struct order_target to = decode_target(&args->to);

	if (!admit(d, req, &args->to))
		return;
	if (is_utf8(args->task))
		orders_stop(d->orders, &to, args->task, args->attempt, on_order_done,
			    carried_order_new(d, req));
	else
		reply_status(req, ORDER_INVALID);
}

void sited_on_poll(struct onc_request *req)
{
	struct sited *d = req->server_data;
	const cl_look_args *args = req->args;
	struct order_target to = decode_target(&args->to);
	struct order_poll poll = {args->acknowledged, args->lease_until, args->wait_ms};
	struct carried_order *c;

	if (!admit(d, req, &args->to))
		return;
	c = carried_order_new(d, req);
	c->server = talloc_strdup(c, args->to.server);
	c->fence = args->to.fence;
	record_leader_poll(d, args);
	orders_poll(d->orders, &to, &poll, on_order_done, c);
}
