/*
 * Sends the leader's orders to backend servers, directly or through agents.
 *
 * Load pattern: hundreds of servers whose tasks start and end all the time. An
 * HTTP call to each would take all the time of a leader with half a core.
 * Agents, which are entry VMs of the server's failure domain, make these calls
 * instead. The leader makes every decision, including each retry. An agent keeps
 * only the limit up to which it may renew leases while the leader is silent, see
 * lib/renewal. On a site with few servers the leader sends its orders directly.
 *
 * An order may be carried out twice or late by the incarnation that it is meant for, whoever
 * sends it, because it names its fence and attempt, and has deadlines on the server's own clock.
 * An order that an agent does not answer counts as unanswered by the server. An agent of an
 * earlier version answers so also when it has sent nothing.
 */
#include "sited_lead.h"

#include <string.h>

#define AGENTS_MAX 512
#define AGENT_ANSWER_MARGIN_MS 400  /* for the agent's answer, beyond the server's deadline */
#define AGENT_AVOIDANCE_MS 2000	    /* time without orders for an agent that did not answer one */
#define AGENT_PLAIN_STARTS_MS 60000 /* an agent of an earlier version is updated within minutes */

/**
 * struct agent - an entry VM that carries out orders
 * @d: owns @client, whose callbacks may still run after the term
 * @client: RPC client for orders; pings use another one
 * @avoid_until: earliest time of its next order, on base_now_ns()'s clock
 * @payloads: ids of jobs whose payload it has, so that the payload of a wide job is sent once
 * @payloads_since: when @payloads was last reset, on base_now_ns()'s clock
 * @plain_starts_until: it has rejected SITED_PROC_START_IN, as an earlier version does; until then,
 *	on base_now_ns()'s clock, it gets SITED_PROC_START instead
 */
struct agent {
	struct sited *d;
	char vm[64];
	char failure_domain[64];
	bool is_large;
	struct address address;
	struct onc_client *client;
	int64_t avoid_until;
	GHashTable *payloads;
	int64_t payloads_since;
	int64_t plain_starts_until;
};

/**
 * struct agents - all agents of the leader
 * @known: struct agent of each live VM
 * @usable: agents in @known that may get orders now, as input of share_select_vm()
 * @usable_agents: the agent of each entry of @usable
 * @version: counts changes of @usable
 */
struct agents {
	GPtrArray *known;
	struct share_vm usable[AGENTS_MAX];
	struct agent *usable_agents[AGENTS_MAX];
	unsigned int usable_count;
	uint64_t version;
};

static int agents_destructor(struct agents *a)
{
	g_ptr_array_free(a->known, TRUE);
	return 0;
}

struct agents *lead_agents_new(struct lead *l)
{
	struct agents *a = talloc_zero(l, struct agents);

	a->known = g_ptr_array_new();
	a->version = 1;
	talloc_set_destructor(a, agents_destructor);
	return a;
}

unsigned int lead_agents_count(const struct lead *l)
{
	return l->agents->usable_count;
}

/* ---- available agents ---- */

static struct agent *find_agent(const struct agents *a, const char *vm)
{
	for (guint i = 0; i < a->known->len; i++) {
		struct agent *agent = g_ptr_array_index(a->known, i);

		if (!strcmp(agent->vm, vm))
			return agent;
	}
	return NULL;
}

static int agent_destructor(struct agent *agent)
{
	g_hash_table_destroy(agent->payloads);
	sited_free_client_later(agent->d, &agent->client);
	return 0;
}

static bool is_same_address(const struct address *x, const struct address *y)
{
	return x->port == y->port && !strcmp(x->ip, y->ip);
}

static void update_agent(struct lead *l, const struct sited_vm *vm)
{
	struct agents *a = l->agents;
	struct agent *agent = find_agent(a, vm->vm);

	if (!agent) {
		agent = talloc_zero(a, struct agent);
		agent->d = l->d;
		agent->payloads = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
		talloc_set_destructor(agent, agent_destructor);
		g_strlcpy(agent->vm, vm->vm, sizeof(agent->vm));
		g_ptr_array_add(a->known, agent);
	}
	if (!agent->client || !is_same_address(&agent->address, vm->address)) {
		sited_free_client_later(l->d, &agent->client);
		agent->address = *vm->address;
		agent->client =
			onc_client_new(l->d, l->d->ev, agent->address.ip, agent->address.port);
	}
	g_strlcpy(agent->failure_domain, vm->failure_domain, sizeof(agent->failure_domain));
	agent->is_large = vm->is_large;
}

/* Removes the agents of VMs that are no longer live, with their calls. */
static void remove_missing_agents(struct lead *l, const struct sited_vm *vms, unsigned int count)
{
	struct agents *a = l->agents;

	for (guint i = a->known->len; i-- > 0;) {
		struct agent *agent = g_ptr_array_index(a->known, i);
		unsigned int k = 0;

		while (k < count && strcmp(vms[k].vm, agent->vm))
			k++;
		if (k < count)
			continue;
		g_ptr_array_remove_index(a->known, i);
		talloc_free(agent);
	}
}

static void update_usable(struct lead *l)
{
	struct agents *a = l->agents;
	unsigned int count = 0;
	bool is_changed = false;
	int64_t now = base_now_ns();

	for (guint i = 0; i < a->known->len && count < AGENTS_MAX; i++) {
		struct agent *agent = g_ptr_array_index(a->known, i);

		if (agent->avoid_until > now)
			continue;
		is_changed |= count >= a->usable_count || a->usable_agents[count] != agent;
		a->usable_agents[count] = agent;
		a->usable[count] =
			(struct share_vm){agent->vm, agent->failure_domain, agent->is_large};
		count++;
	}
	if (!is_changed && count == a->usable_count)
		return;
	a->usable_count = count;
	a->version++;
	log_event("agents_changed", "{sI si}", "term", (json_int_t)l->term, "agents", (int)count);
}

void lead_agents_tick(struct lead *l)
{
	struct sited_vm vms[AGENTS_MAX];
	unsigned int count = 0;

	if (l->fleet->all->len > l->d->direct_servers_max)
		count = sited_live_vms(l->d, vms, AGENTS_MAX);
	remove_missing_agents(l, vms, count);
	for (unsigned int i = 0; i < count; i++)
		update_agent(l, &vms[i]);
	update_usable(l);
}

static struct agent *agent_of(struct lead *l, struct fleet_server *sv)
{
	struct agents *a = l->agents;
	struct server_io *io = lead_server_io(l, sv);

	if (io->agent_version != a->version) {
		io->agent = share_select_vm(a->usable, a->usable_count, sv->id, sv->failure_domain);
		io->agent_version = a->version;
	}
	return io->agent == SHARE_NO_VM ? NULL : a->usable_agents[io->agent];
}

static void avoid_agent(struct lead *l, const char *vm, enum onc_result result)
{
	struct agent *agent = find_agent(l->agents, vm);

	if (!agent || agent->avoid_until > base_now_ns())
		return;
	agent->avoid_until = base_deadline_in(AGENT_AVOIDANCE_MS);
	g_hash_table_remove_all(agent->payloads);
	log_event("agent_silent", "{ss ss si}", "vm", vm, "why",
		  result == ONC_NOT_SENT ? "no process listens at its address"
					 : "no answer to an order",
		  "avoided_ms", AGENT_AVOIDANCE_MS);
	update_usable(l);
}

static void use_plain_starts(struct lead *l, const char *vm)
{
	struct agent *agent = find_agent(l->agents, vm);

	if (!agent)
		return;
	agent->plain_starts_until = base_deadline_in(AGENT_PLAIN_STARTS_MS);
	log_event("agent_of_earlier_version", "{ss si}", "vm", vm, "plain_starts_ms",
		  AGENT_PLAIN_STARTS_MS);
}

/* ---- orders ---- */

/* An order in flight to an agent. */
struct agent_call {
	struct sited *d;
	uint64_t serial;
	struct fleet_server *sv; /* valid during the term */
	enum sited_proc proc;
	bool is_start;
	char vm[64];
	order_done *done;
	void *data;
};

static const struct order_list *decode_list(TALLOC_CTX *ctx, const cl_order_res *res)
{
	struct order_run *runs = talloc_zero_array(ctx, struct order_run, res->runs.runs_len);
	struct order_ended *ended =
		talloc_zero_array(ctx, struct order_ended, res->ended.ended_len);
	struct order_list *list = talloc_zero(ctx, struct order_list);

	*list = (struct order_list){res->clock_ms,	res->born, runs,
				    res->runs.runs_len, ended,	   res->ended.ended_len};
	for (unsigned int i = 0; i < list->run_count; i++) {
		const cl_run *run = &res->runs.runs_val[i];

		runs[i] = (struct order_run){str_from(run->task), run->attempt,
					     str_from(run->snapshot), run->percent};
	}
	for (unsigned int i = 0; i < list->ended_count; i++) {
		const cl_ended *e = &res->ended.ended_val[i];

		if (e->how < END_DONE || e->how > END_OTHER)
			return NULL;
		ended[i] = (struct order_ended){e->number, str_from(e->task), e->attempt,
						(enum order_end)e->how, str_from(e->snapshot)};
	}
	return list;
}

/* Returns whether all values are within their range. */
static bool decode_result(struct agent_call *call, const cl_order_res *res, struct order_result *r)
{
	bool has_list = call->proc == SITED_PROC_POLL && res->status == ORDER_DONE;

	if (res->status < ORDER_DONE || res->status > ORDER_STATUS_MAX)
		return false;
	r->status = (enum order_status)res->status;
	r->list = has_list ? decode_list(call, res) : NULL;
	return r->list || !has_list;
}

static uint64_t vm_name_hash(const char *vm)
{
	return base_hash(vm, strlen(vm), 0);
}

/* Records which agent may renew. An earlier agent may still request leases up to its limit. */
static void note_renewer(struct server_io *io, const char *vm, int64_t limit)
{
	uint64_t renewer = vm_name_hash(vm);

	if (io->renewer != renewer)
		io->lease_until = MAX(io->lease_until, io->lease_limit);
	io->renewer = renewer;
	io->lease_limit = MAX(io->lease_limit, limit);
}

/* Records the leases that an agent has requested, and whether it may request more. */
static void record_renewals(struct lead *l, const struct agent_call *call, const cl_order_res *res)
{
	struct server_io *io = lead_server_io(l, call->sv);

	/* a time on the clock of the incarnation @born; an agent of an earlier version names none
	 * without a list */
	if (!res->born || res->born == call->sv->born)
		io->lease_until = MAX(io->lease_until, res->renewed_until);
	if (!res->renews && io->renewer == vm_name_hash(call->vm))
		io->lease_limit = 0;
}

static void forget_payloads(struct lead *l, const char *vm)
{
	struct agent *agent = find_agent(l->agents, vm);

	if (agent)
		g_hash_table_remove_all(agent->payloads);
}

static void on_agent_answer(enum onc_result result, void *res, void *data)
{
	struct agent_call *call = data;
	struct lead *l = lead_current(call->d, call->serial);
	struct order_result r = {.status = result == ONC_NOT_SENT ? ORDER_NOT_RELAYED
								  : ORDER_UNKNOWN};

	if (result == ONC_OK && !decode_result(call, res, &r)) {
		log_warn("agent_answer_invalid", "VM %s answers an order with values out of range",
			 call->vm);
		r = (struct order_result){.status = ORDER_UNKNOWN};
	}
	if (result == ONC_OK && l && call->proc == SITED_PROC_POLL)
		record_renewals(l, call, res);
	/* A restarted agent has lost its payloads. */
	if (call->is_start && !order_was_answered(r.status) && l)
		forget_payloads(l, call->vm);
	if (result == ONC_REJECTED && call->proc == SITED_PROC_START_IN && l)
		use_plain_starts(l, call->vm);
	else if (result != ONC_OK && l)
		avoid_agent(l, call->vm, result);
	call->done(&r, call->data);
	talloc_free(call);
}

/*
 * Returns the agent for an order, or NULL: every second transmission goes without an agent, and
 * so do orders to a server whose id is too long for a call between entry VMs.
 */
static struct agent *choose_agent(struct lead *l, const struct lead_order_target *to)
{
	return to->earlier_sends % 2 || strlen(to->sv->id) > CL_ID_MAX ? NULL : agent_of(l, to->sv);
}

static cl_order_target agent_target(struct lead *l, const struct lead_order_target *to)
{
	return (cl_order_target){.server = to->sv->id,
				 .address = to->sv->address,
				 .fence = lead_fence(l, to->sv),
				 .remaining_ms = MAX(base_remaining_ms(to->deadline), 1),
				 .fresh = to->earlier_sends > 0};
}

static struct order_target own_target(struct lead *l, const struct lead_order_target *to)
{
	return (struct order_target){.server = to->sv->id,
				     .address = to->sv->address,
				     .fence = lead_fence(l, to->sv),
				     .deadline = to->deadline,
				     .fresh = to->earlier_sends > 0};
}

static void send_by_agent(struct lead *l, struct agent *agent, const struct lead_order_target *to,
			  enum sited_proc proc, void *args, order_done *done, void *data)
{
	struct agent_call *call = talloc_zero(l->d, struct agent_call);

	call->d = l->d;
	call->serial = l->serial;
	call->sv = to->sv;
	call->proc = proc;
	call->is_start = proc == SITED_PROC_START || proc == SITED_PROC_START_IN;
	g_strlcpy(call->vm, agent->vm, sizeof(call->vm));
	call->done = done;
	call->data = data;
	sited_count(&l->d->metrics, COUNT_AGENT_ORDERS);
	onc_call(agent->client, &sited_procs[proc], args, sizeof(cl_order_res),
		 to->deadline + AGENT_ANSWER_MARGIN_MS * BASE_NS_PER_MS, on_agent_answer, call);
}

/* The agent drops payloads unused for AGENT_PAYLOAD_TTL_MS, so they are sent again before that. */
static bool agent_has_payload(struct agent *agent, const char *task)
{
	char *id = g_strndup(task, WORK_ID_LEN);
	bool had;

	if (base_now_ns() - agent->payloads_since > AGENT_PAYLOAD_TTL_MS / 2 * BASE_NS_PER_MS) {
		g_hash_table_remove_all(agent->payloads);
		agent->payloads_since = base_now_ns();
	}
	had = g_hash_table_contains(agent->payloads, id);
	g_hash_table_add(agent->payloads, id);
	return had;
}

/* An agent that is not told the domain can't refuse the start; its lease bounds it all the same. */
static bool names_domain(const struct lead *l, const struct agent *agent,
			 const struct fleet_server *sv)
{
	return l->d->site->evacuate_ms && strlen(sv->failure_domain) <= CL_ID_MAX &&
	       agent->plain_starts_until <= base_now_ns();
}

void lead_send_start(struct lead *l, const struct lead_order_target *to,
		     const struct order_start *start, order_done *done, void *data)
{
	struct agent *agent = choose_agent(l, to);
	struct order_target own = own_target(l, to);
	cl_start_args args = {.to = agent_target(l, to),
			      .task = (char *)start->task,
			      .attempt = start->attempt,
			      .payload = (char *)start->payload,
			      .snapshot = (char *)(start->snapshot ? start->snapshot : ""),
			      .lease_until = start->lease_until};

	if (agent && agent_has_payload(agent, start->task))
		args.payload = "";
	if (agent && names_domain(l, agent, to->sv)) {
		cl_start_in_args in = {args, to->sv->failure_domain};

		send_by_agent(l, agent, to, SITED_PROC_START_IN, &in, done, data);
	} else if (agent) {
		send_by_agent(l, agent, to, SITED_PROC_START, &args, done, data);
	} else {
		orders_start(l->d->orders, &own, start, done, data);
	}
}

void lead_send_stop(struct lead *l, const struct lead_order_target *to, const char *task,
		    uint32_t attempt, order_done *done, void *data)
{
	struct agent *agent = choose_agent(l, to);
	struct order_target own = own_target(l, to);
	cl_stop_args args = {.to = agent_target(l, to), .task = (char *)task, .attempt = attempt};

	if (agent)
		send_by_agent(l, agent, to, SITED_PROC_STOP, &args, done, data);
	else
		orders_stop(l->d->orders, &own, task, attempt, done, data);
}

void lead_send_poll(struct lead *l, const struct lead_order_target *to,
		    const struct order_poll *look, order_done *done, void *data)
{
	struct agent *agent = choose_agent(l, to);
	struct order_target own = own_target(l, to);
	cl_look_args args = {.to = agent_target(l, to),
			     .acknowledged = look->acknowledged,
			     .lease_until = look->lease_until,
			     .wait_ms = look->wait_ms,
			     .renewal_limit = to->renewal_limit};

	if (agent && to->renewal_limit)
		note_renewer(lead_server_io(l, to->sv), agent->vm, to->renewal_limit);
	if (agent)
		send_by_agent(l, agent, to, SITED_PROC_POLL, &args, done, data);
	else
		orders_poll(l->d->orders, &own, look, done, data);
}
