/*
 * Orders of the leader that this VM carries out, see sited_dispatch.c. Nothing
 * is kept between them: an order is sent once, and its answer passed back.
 */
#include "sited.h"

#include <string.h>

/* an order under way */
struct carried {
	struct onc_request *req;
};

static void answer(struct onc_request *req, enum order_status status)
{
	cl_order_res res = {.status = (int)status};

	onc_reply(req, &res);
}

static void on_carried(const struct order_result *r, void *data)
{
	struct carried *c = data;
	cl_order_res res = {.status = (int)r->status, .clock_ms = r->clock_ms, .born = r->born};

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
	sited_count(&d->metrics, COUNT_ORDERS_CARRIED);
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
	struct order_start start = {args->task, args->attempt, args->payload,
				    args->snapshot[0] ? args->snapshot : NULL, args->lease_until};

	if (!admit(d, req, &args->to))
		return;
	if (is_text(args->task) && is_text(args->payload) && is_text(args->snapshot))
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

void sited_on_look(struct onc_request *req)
{
	struct sited *d = req->server_data;
	const cl_look_args *args = req->args;
	struct order_target to = target_of(&args->to);
	struct order_look look = {args->acknowledged, args->lease_until, args->wait_ms};

	if (admit(d, req, &args->to))
		orders_look(d->orders, &to, &look, on_carried, carried_new(d, req));
}
