/*
 * Calls between the entry VMs of a site, and the state that each keeps about its peers.
 */
#include "sited_peers.h"

#include <string.h>

#include "mtimer/mtimer.h"
#include "silence/silence.h"
#include "sited_lead.h"

#define PING_ANSWER_MS 1000	  /* a busy leader may answer late */
#define PING_VMS_MAX 32		  /* VMs that ping on one tick; 160 pings/s take 2 % of a core */
#define PING_TICKS_MAX 8	  /* callers may get pending counts up to 2 s old */
#define LARGE_RECENT_MS 10000	  /* the list of VMs is received every 5 s */
#define PEER_RECENT_MS 5000	  /* a VM in contact within this time was alive recently */
#define VMS_IN_ANSWER_MAX 32	  /* VMs named in one answer; a VM needs only a few peers */
#define PEER_REPORT_VALID_MS 1500 /* validity of a VM's report about its store calls */
#define VMS_INTERVAL_MS 5000	  /* the list of VMs changes only when VMs restart */
#define STORED_ANSWER_MS 1000
#define VACANT_ANSWER_MS 1000
#define CLIENT_FREE_DELAY_MS 2000 /* longer than any call of the client */

/**
 * struct peer - another entry VM
 * @vm: name of the VM
 * @is_large: it has at least SITED_LARGE_CORES cores
 * @address: where it accepts calls of its peers
 * @known_at: when it was last in contact or named by a peer, on base_now_ns()'s clock
 * @last_contact_at: when it last called or answered, on base_now_ns()'s clock; 0 before
 * @store_failing_ms: how long its calls to the store have failed, in its last message
 * @client: RPC client to the VM, or NULL
 */
struct peer {
	char vm[64];
	char failure_domain[64];
	bool is_large;
	struct address address;
	int64_t known_at;
	int64_t last_contact_at;
	int64_t store_failing_ms;
	struct onc_client *client;
};

#define SITED_PROC(number, name)                                                 \
	{                                                                        \
		CL_LEAD, CL_LEAD_V1, number, (xdrproc_t)xdr_cl_##name##_args,    \
			sizeof(cl_##name##_args), (xdrproc_t)xdr_cl_##name##_res \
	}

#define SITED_ORDER_PROC(number, name)                                        \
	{                                                                     \
		CL_LEAD, CL_LEAD_V1, number, (xdrproc_t)xdr_cl_##name##_args, \
			sizeof(cl_##name##_args), (xdrproc_t)xdr_cl_order_res \
	}

const struct onc_proc sited_procs[SITED_PROC_COUNT] = {
	[SITED_PROC_PING] = SITED_PROC(LEAD_PING, lead_ping),
	[SITED_PROC_STATE] = SITED_PROC(LEAD_STATE, lead_state),
	[SITED_PROC_RELAY] = SITED_PROC(LEAD_RELAY, relay),
	[SITED_PROC_STORED] = {CL_LEAD, CL_LEAD_V1, LEAD_STORED, (xdrproc_t)xdr_cl_stored_args,
			       sizeof(cl_stored_args), (xdrproc_t)xdr_cl_ack},
	[SITED_PROC_VACANT] = {CL_LEAD, CL_LEAD_V1, LEAD_VACANT, (xdrproc_t)xdr_cl_leader,
			       sizeof(cl_leader), (xdrproc_t)xdr_cl_ack},
	[SITED_PROC_CONFIG] = SITED_PROC(LEAD_CONFIG, config),
	[SITED_PROC_START] = SITED_ORDER_PROC(LEAD_START, start),
	[SITED_PROC_START_IN] = SITED_ORDER_PROC(LEAD_START_IN, start_in),
	[SITED_PROC_STOP] = SITED_ORDER_PROC(LEAD_STOP, stop),
	[SITED_PROC_POLL] = SITED_ORDER_PROC(LEAD_LOOK, look),
};

/* ---- known peers ---- */

static bool is_within(int64_t at, int64_t ms)
{
	return at && base_now_ns() - at < ms * BASE_NS_PER_MS;
}

static void on_client_timer(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	talloc_free(data);
}

void sited_free_client_later(struct sited *d, struct onc_client **client)
{
	if (!*client)
		return;
	talloc_steal(d, *client);
	mtimer_add(*client, d->ev, base_deadline_in(CLIENT_FREE_DELAY_MS), on_client_timer,
		   *client);
	*client = NULL;
}

static void forget_old_peers(struct sited *d)
{
	for (guint i = d->peers->len; i-- > 0;) {
		struct peer *p = g_ptr_array_index(d->peers, i);

		if (is_within(p->known_at, SILENCE_FORGET_MS))
			continue;
		sited_free_client_later(d, &p->client);
		g_ptr_array_remove_index_fast(d->peers, i);
		talloc_free(p);
	}
}

/* Returns the peer that @vm describes, added or updated; NULL for this VM itself. */
static struct peer *update_peer(struct sited *d, const cl_vm *vm)
{
	struct peer *p = NULL;

	if (!vm->vm[0] || !strcmp(vm->vm, d->site->vm))
		return NULL;
	for (guint i = 0; i < d->peers->len && !p; i++) {
		p = g_ptr_array_index(d->peers, i);
		if (strcmp(p->vm, vm->vm))
			p = NULL;
	}
	if (!p) {
		p = talloc_zero(d, struct peer);
		g_strlcpy(p->vm, vm->vm, sizeof(p->vm));
		g_ptr_array_add(d->peers, p);
	}
	if (strcmp(p->address.ip, vm->ip) || p->address.port != vm->port) {
		sited_free_client_later(d, &p->client);
		g_strlcpy(p->address.ip, vm->ip, sizeof(p->address.ip));
		p->address.port = (uint16_t)vm->port;
	}
	g_strlcpy(p->failure_domain, vm->failure_domain, sizeof(p->failure_domain));
	p->is_large = vm->is_large;
	p->known_at = base_now_ns();
	return p;
}

static struct onc_client *client_of(struct sited *d, struct peer *p)
{
	if (!p->client)
		p->client = onc_client_new(p, d->ev, p->address.ip, p->address.port);
	return p->client;
}

unsigned int sited_ping_interval_ticks(const struct sited *d)
{
	return MIN(d->peers->len / PING_VMS_MAX + 1, PING_TICKS_MAX);
}

/* In a large site, a VM pings on one tick of several. */
static int64_t peer_silent_ms(const struct sited *d)
{
	return silence_limit_ms(sited_ping_interval_ticks(d) * SITED_TICK_MS);
}

bool sited_has_silent_peer(const struct sited *d)
{
	int64_t silent_ms = peer_silent_ms(d);

	for (guint i = 0; i < d->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(d->peers, i);

		if (is_within(p->last_contact_at, PEER_RECENT_MS) &&
		    !is_within(p->last_contact_at, silent_ms))
			return true;
	}
	return false;
}

bool sited_has_large_peer(const struct sited *d)
{
	for (guint i = 0; i < d->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(d->peers, i);

		if (p->is_large && !p->store_failing_ms &&
		    is_within(p->last_contact_at, PEER_REPORT_VALID_MS))
			return true;
	}
	return false;
}

static bool is_recent_large(const struct peer *p)
{
	return p->is_large && is_within(MAX(p->last_contact_at, p->known_at), LARGE_RECENT_MS);
}

bool sited_had_large_peer(const struct sited *d)
{
	for (guint i = 0; i < d->peers->len; i++)
		if (is_recent_large(g_ptr_array_index(d->peers, i)))
			return true;
	return false;
}

unsigned int sited_large_addresses(const struct sited *d, struct address *out, unsigned int max)
{
	unsigned int count = 0;

	for (unsigned int pass = 0; pass < 2; pass++) {
		for (guint i = 0; i < d->peers->len && count < max; i++) {
			const struct peer *p = g_ptr_array_index(d->peers, i);
			bool is_near = !strcmp(p->failure_domain, d->site->failure_domain);

			if (is_recent_large(p) && is_near == (pass == 0))
				out[count++] = p->address;
		}
	}
	return count;
}

unsigned int sited_live_vms(const struct sited *d, struct sited_vm *out, unsigned int max)
{
	int64_t silent_ms = peer_silent_ms(d);
	unsigned int count = 0;

	for (guint i = 0; i < d->peers->len && count < max; i++) {
		const struct peer *p = g_ptr_array_index(d->peers, i);

		if (is_within(p->last_contact_at, silent_ms))
			out[count++] = (struct sited_vm){p->vm, p->failure_domain, p->is_large,
							 &p->address};
	}
	return count;
}

int64_t sited_domain_silent_since(const struct sited *d, const char *failure_domain)
{
	int64_t *contacts = talloc_array(d, int64_t, d->peers->len + 1);
	unsigned int count = 0;
	int64_t since;

	for (guint i = 0; i < d->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(d->peers, i);

		if (!strcmp(p->failure_domain, failure_domain))
			contacts[count++] = p->last_contact_at / BASE_NS_PER_MS;
	}
	since = silence_since(contacts, count, sited_ping_interval_ticks(d) * SITED_TICK_MS,
			      sited_now_ms());
	talloc_free(contacts);
	return strcmp(d->site->failure_domain, failure_domain) ? since : 0;
}

struct onc_client *sited_relay_target(struct sited *d)
{
	const struct sited_leader *leader = &d->leader;

	if (!d->lead && sited_leader_is_responsive(d) && !leader->store_failing_ms &&
	    is_within(leader->last_contact_at,
		      PEER_REPORT_VALID_MS + PING_TICKS_MAX * SITED_TICK_MS))
		return leader->client;
	for (guint i = 0; i < d->peers->len; i++) {
		struct peer *p = g_ptr_array_index(d->peers, i);

		if (is_within(p->last_contact_at, PEER_REPORT_VALID_MS) && !p->store_failing_ms)
			return client_of(d, p);
	}
	return NULL;
}

/* ---- pings ---- */

static void encode_leader(const struct sited *d, cl_leader *out)
{
	const struct sited_leader *leader = &d->leader;

	if (d->lead) {
		*out = (cl_leader){d->site->vm, d->site->peers.ip, d->site->peers.port,
				   d->lead->term, d->lead->row_version};
	} else {
		*out = (cl_leader){(char *)leader->vm, (char *)leader->address.ip,
				   leader->address.port, leader->term, leader->version};
	}
}

static struct sited_leader_row decode_leader(const cl_leader *leader)
{
	struct sited_leader_row row = {leader->vm, leader->ip, (uint16_t)leader->port, leader->term,
				       leader->row_version};

	return row;
}

/**
 * struct ping - a ping in flight
 * @address: of the receiver
 * @leader_version: version of the receiver's leader row; -1 for a ping that isn't to the leader
 * @vm: name of the receiver
 * @sent_at: monotonic ms
 */
struct ping {
	struct sited *d;
	struct address address;
	int64_t leader_version;
	int64_t sent_at;
	char vm[64];
};

static void apply_vms(struct sited *d, const cl_lead_ping_res *answer)
{
	for (unsigned int i = 0; i < answer->vms.vms_len; i++)
		update_peer(d, &answer->vms.vms_val[i]);
	if (answer->vms.vms_len) {
		d->vms_received_at = base_now_ns();
		forget_old_peers(d);
	}
}

static void update_pinged_peer(struct sited *d, const struct ping *ping,
			       const cl_lead_ping_res *answer)
{
	for (guint i = 0; i < d->peers->len; i++) {
		struct peer *p = g_ptr_array_index(d->peers, i);

		if (strcmp(p->vm, ping->vm))
			continue;
		p->known_at = p->last_contact_at = base_now_ns();
		p->store_failing_ms = answer->store_failing_ms;
	}
}

static void on_pinged(enum onc_result result, void *res, void *data)
{
	struct ping *ping = data;
	struct sited *d = ping->d;
	const cl_lead_ping_res *answer = res;
	struct sited_leader_row row;

	if (result == ONC_OK) {
		update_pinged_peer(d, ping, answer);
		apply_vms(d, answer);
		sited_compare_config(d, &ping->address, answer->config_version);
	}
	if (ping->leader_version >= 0 && ping->leader_version == d->leader.version && !d->lead)
		sited_leader_ping_done(d, result, answer, ping->sent_at);
	if (result == ONC_OK) {
		row = decode_leader(&answer->leader);
		sited_leader_reported(d, &row, "a peer");
	}
	talloc_free(ping);
}

static void send_ping(struct sited *d, struct onc_client *client, const struct address *address,
		      const char *vm, int64_t leader_version)
{
	struct ping *ping = talloc_zero(d, struct ping);
	cl_lead_ping_args args = {.sender = {d->site->vm, d->site->failure_domain,
					     d->site->peers.ip, d->site->peers.port,
					     sited_is_large(d)},
				  .store_failing_ms = store_failing_ms(d->store),
				  .wants_vms = !is_within(d->vms_received_at, VMS_INTERVAL_MS)};

	encode_leader(d, &args.leader);
	ping->d = d;
	ping->address = *address;
	ping->leader_version = leader_version;
	ping->sent_at = sited_now_ms();
	g_strlcpy(ping->vm, vm, sizeof(ping->vm));
	onc_call(client, &sited_procs[SITED_PROC_PING], &args, sizeof(cl_lead_ping_res),
		 base_deadline_in(PING_ANSWER_MS), on_pinged, ping);
}

void sited_ping_leader(struct sited *d)
{
	send_ping(d, d->leader.client, &d->leader.address, d->leader.vm, d->leader.version);
}

void sited_ping_other(struct sited *d)
{
	struct peer *p;

	if (!d->peers->len)
		return;
	p = g_ptr_array_index(d->peers, d->next_peer++ % d->peers->len);
	send_ping(d, client_of(d, p), &p->address, p->vm, -1);
}

void sited_announce_lead(struct sited *d)
{
	for (guint i = 0; i < d->peers->len; i++) {
		struct peer *p = g_ptr_array_index(d->peers, i);

		if (p->is_large)
			send_ping(d, client_of(d, p), &p->address, p->vm, -1);
	}
}

static void encode_vms(TALLOC_CTX *ctx, struct sited *d, cl_lead_ping_res *res)
{
	unsigned int count = MIN(d->peers->len, VMS_IN_ANSWER_MAX);

	res->vms.vms_val = talloc_array(ctx, cl_vm, count);
	for (unsigned int i = 0; i < count; i++) {
		struct peer *p = g_ptr_array_index(d->peers, d->next_peer++ % d->peers->len);

		res->vms.vms_val[res->vms.vms_len++] = (cl_vm){
			p->vm, p->failure_domain, p->address.ip, p->address.port, p->is_large};
	}
}

static void answer_ping(struct sited *d, struct onc_request *req)
{
	const cl_lead_ping_args *args = req->args;
	struct sited_leader_row row = decode_leader(&args->leader);
	struct peer *sender = update_peer(d, &args->sender);
	cl_lead_ping_res res = {.store_failing_ms = store_failing_ms(d->store),
				.config_version = d->queues ? d->queues->version : 0};
	TALLOC_CTX *tmp = talloc_new(d);

	if (sender) {
		sender->last_contact_at = base_now_ns();
		sender->store_failing_ms = args->store_failing_ms;
	}
	sited_leader_reported(d, &row, "a peer's ping");
	res.is_leading = d->lead != NULL;
	res.is_contending = d->is_contending;
	encode_leader(d, &res.leader);
	sited_pending_encode(tmp, d, &res);
	if (args->wants_vms)
		encode_vms(tmp, d, &res);
	onc_reply(req, &res);
	talloc_free(tmp);
}

/* ---- notifications of stored rows and of a handover ---- */

static void on_notified(enum onc_result result G_GNUC_UNUSED, void *res G_GNUC_UNUSED,
			void *data G_GNUC_UNUSED)
{
	/* A lost notification does no harm: the leader's own reads of the store show the change. */
}

static void apply_stored(struct sited *d, const char *id, const char *row)
{
	lead_apply_reported_job(d->lead, id, row);
	lead_request_round(d->lead);
}

void sited_notify_stored(struct sited *d, const char *id, const char *row)
{
	cl_stored_args args = {.id = (char *)id, .row = (char *)row};

	if (d->lead)
		apply_stored(d, id, row);
	else if (d->leader.client)
		onc_call(d->leader.client, &sited_procs[SITED_PROC_STORED], &args, sizeof(cl_ack),
			 base_deadline_in(STORED_ANSWER_MS), on_notified, NULL);
}

static void answer_stored(struct sited *d, struct onc_request *req)
{
	const cl_stored_args *args = req->args;
	cl_ack res = {d->lead != NULL};

	if (d->lead && work_id_is_valid(str_from(args->id)))
		apply_stored(d, args->id, args->row);
	onc_reply(req, &res);
}

void sited_notify_vacant(struct sited *d)
{
	cl_leader args;

	encode_leader(d, &args);
	for (guint i = 0; i < d->peers->len; i++)
		onc_call(client_of(d, g_ptr_array_index(d->peers, i)),
			 &sited_procs[SITED_PROC_VACANT], &args, sizeof(cl_ack),
			 base_deadline_in(VACANT_ANSWER_MS), on_notified, NULL);
}

static void answer_vacant(struct sited *d, struct onc_request *req)
{
	struct sited_leader_row row = decode_leader(req->args);
	cl_ack res = {true};

	sited_leader_reported(d, &row, "the former leader");
	sited_contend_if_vacant(d);
	onc_reply(req, &res);
}

static void answer_state(struct sited *d, struct onc_request *req)
{
	const cl_lead_state_args *args = req->args;
	const char *workspace = "";
	enum work_state state =
		d->lead ? lead_job_state(d->lead, args->id, &workspace) : WORK_STATE_COUNT;
	cl_lead_state_res res = {.is_leading = d->lead != NULL,
				 .known = state != WORK_STATE_COUNT,
				 .state = "",
				 .workspace = (char *)workspace};

	if (res.known)
		res.state = (char *)work_state_name(state);
	onc_reply(req, &res);
}

void sited_on_peer(struct onc_request *req)
{
	struct sited *d = req->server_data;

	switch ((enum sited_proc)(req->proc - sited_procs)) {
	case SITED_PROC_PING:
		answer_ping(d, req);
		return;
	case SITED_PROC_STATE:
		answer_state(d, req);
		return;
	case SITED_PROC_RELAY:
		sited_on_relay(req);
		return;
	case SITED_PROC_STORED:
		answer_stored(d, req);
		return;
	case SITED_PROC_VACANT:
		answer_vacant(d, req);
		return;
	case SITED_PROC_CONFIG:
		sited_on_config(req);
		return;
	case SITED_PROC_START:
		sited_on_start(req);
		return;
	case SITED_PROC_START_IN:
		sited_on_start_in(req);
		return;
	case SITED_PROC_STOP:
		sited_on_stop(req);
		return;
	case SITED_PROC_POLL:
		sited_on_poll(req);
		return;
	case SITED_PROC_COUNT:
		break;
	}
}
