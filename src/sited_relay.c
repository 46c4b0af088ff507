/*
 * Passes callers' requests from an entry VM whose calls to the store fail to one that
 * reaches the store. The receiver handles them like requests of its own callers.
 */
#include "sited_front.h"

#include <string.h>

#define RELAYS_MAX 2 /* per request; a second peer may reach the store when the first fails */
/* The store's answer and a round trip to another failure domain. */
#define RELAY_ANSWER_MS 700

/* The peer's outcome is unknown: its transaction may have reached the store. */
static void handle_lost_relay(struct front_call *c)
{
	c->is_outcome_unknown |= c->kind == FRONT_SUBMIT;
	front_resume(c);
}

static void on_relayed(enum onc_result result, void *res, void *data)
{
	struct front_call *c = data;
	const cl_relay_res *answer = res;
	enum work_state state;

	if (result == ONC_NOT_SENT || result == ONC_REJECTED) {
		front_resume(c);
		return;
	}
	if (result != ONC_OK || answer->status == 504) {
		handle_lost_relay(c);
		return;
	}
	state = work_state_parse(answer->state);
	if (state != WORK_STATE_COUNT)
		front_finish_state(c, state, answer->reason);
	else if (answer->status == 503 && c->is_outcome_unknown)
		front_resume(c);
	else
		front_finish(c, (unsigned int)answer->status, answer->reason);
}

bool front_relay(struct front_call *c)
{
	struct onc_client *peer;
	cl_relay_args args = {.kind = (int)c->kind,
			      .id = c->id,
			      .workspace = c->workspace,
			      .row = c->kind == FRONT_SUBMIT ? c->value : ""};
	int64_t deadline = front_call_deadline(c, RELAY_ANSWER_MS);

	/* A peer's request is not passed on again: the peer chose a VM that reaches the store. */
	if (c->relay || c->relays >= RELAYS_MAX || !front_time_is_left(c))
		return false;
	peer = sited_relay_target(c->d);
	if (!peer)
		return false;
	c->relays++;
	sited_count(&c->d->metrics, COUNT_REQUESTS_RELAYED);
	args.remaining_ms = base_remaining_ms(deadline);
	onc_call(peer, &sited_procs[SITED_PROC_RELAY], &args, sizeof(cl_relay_res), deadline,
		 on_relayed, c);
	return true;
}

void sited_on_relay(struct onc_request *req)
{
	struct sited *d = req->server_data;
	const cl_relay_args *args = req->args;
	cl_relay_res invalid = {400, "", "the peer's request can't be read"};
	struct str id = str_from(args->id);
	struct front_call *c;

	if (!work_id_is_valid(id) || args->kind < 0 || args->kind >= FRONT_KIND_COUNT) {
		onc_reply(req, &invalid);
		return;
	}
	c = front_call_new(d, (enum front_kind)args->kind, id, args->workspace,
			   base_deadline_in(args->remaining_ms));
	c->relay = req;
	if (c->kind == FRONT_SUBMIT)
		c->job = work_job_decode(c, id, str_from(args->row));
	if (c->kind == FRONT_SUBMIT && !c->job)
		front_finish(c, 400, "the peer's job can't be read");
	else
		front_start(c);
}
