/**
 * DOC: entryd_renew - renews the leases of running tasks
 *
 * Rendezvous hashing divides the backend servers of a failure domain among its
 * live entry VMs; each renews the leases on its servers. Running gangs
 * therefore continue while no scheduler is active. The lease of a task whose
 * gang has lost a server is not renewed, so that the remaining tasks of the
 * gang stop even when no scheduler is active to stop them.
 */
#include "entryd.h"

#include <string.h>

#define RENEWALS_PER_LEASE 3	/* renewals within one lease time */
#define LOST_AFTER_FAILURES 3	/* consecutive failed renewals until a server counts as lost */
#define RESTART_EXPIRY_LEASES 3 /* lease times for leases from before a restart to expire */

/* renewal of the leases on one backend server */
struct renewal {
	struct entryd *entryd;
	char *server;
	unsigned int failures;	 /* consecutive */
	bool is_calling;	 /* a renewal is in flight */
	int64_t boot;		 /* run of its process that answered last, 0 when unknown */
	int64_t restarted_until; /* until then, leases from before its restart may be valid */
	json_t *withheld_jobs;	 /* ids of jobs whose gangs lost a server; not renewed */
};

struct renewer {
	struct entryd *entryd;
	GHashTable *renewals; /* server id to struct renewal */
};

static bool is_gang_complete(struct entryd *e, const json_t *servers)
{
	size_t i;
	json_t *id;

	json_array_foreach(servers, i, id) {
		if (cluster_note_get(e->cluster, json_string_value(id)) == NOTE_LOST)
			return false;
	}
	return true;
}

static void update_withheld_jobs(struct renewal *r, const json_t *tasks)
{
	size_t i;
	json_t *t;

	json_decref(r->withheld_jobs);
	r->withheld_jobs = json_array();
	json_array_foreach(tasks, i, t) {
		if (is_gang_complete(r->entryd, json_object_get(t, "servers")))
			continue;
		json_array_append(r->withheld_jobs, json_object_get(t, "job"));
		counter_add(&r->entryd->counters, 0, COUNT_RENEWALS_WITHHELD, 1);
	}
}

/*
 * A server that restarted has lost its tasks of every gang. An active scheduler
 * detects this. Without one, the server counts as lost until the leases of those
 * gangs have expired.
 */
static enum cluster_note_state note_after_renewal(const struct renewal *r,
						  const struct backend_reply *reply)
{
	struct entryd *e = r->entryd;

	if (r->restarted_until > base_now_ns() &&
	    !cluster_has_scheduler(e->cluster, e->settings->lease_ms))
		return NOTE_LOST;
	return reply->is_leaving ? NOTE_LEAVING : NOTE_LIVE;
}

static void on_renewed(const struct backend_reply *reply, void *data)
{
	struct renewal *r = data;
	struct entryd *e = r->entryd;

	r->is_calling = false;
	if (reply->type != BACKEND_STATE) {
		counter_add(&e->counters, 0, COUNT_RENEWALS_FAILED, 1);
		/* an active scheduler polls every server itself and decides which is lost */
		if (++r->failures >= LOST_AFTER_FAILURES &&
		    !cluster_has_scheduler(e->cluster, e->settings->lease_ms))
			cluster_note_set(e->cluster, r->server, NOTE_LOST);
		return;
	}
	r->failures = 0;
	if (r->boot && reply->boot != r->boot)
		r->restarted_until =
			base_deadline_in(RESTART_EXPIRY_LEASES * e->settings->lease_ms);
	r->boot = reply->boot;
	view_record_boot(e, r->server, reply->boot);
	counter_add(&e->counters, 0, COUNT_RENEWALS, 1);
	cluster_note_set(e->cluster, r->server, note_after_renewal(r, reply));
	update_withheld_jobs(r, json_object_get(reply->doc, "tasks"));
}

static struct renewal *renewal_get(struct renewer *rn, const char *server)
{
	struct renewal *r = g_hash_table_lookup(rn->renewals, server);

	if (r)
		return r;
	r = talloc_zero(rn, struct renewal);
	r->entryd = rn->entryd;
	r->server = talloc_strdup(r, server);
	r->withheld_jobs = json_array();
	g_hash_table_insert(rn->renewals, r->server, r);
	return r;
}

static bool is_own_server(struct entryd *e, const char *server)
{
	uint64_t own = base_rendezvous_weight(e->settings->vm, server);
	struct cluster_peer *peer;

	for (unsigned int i = 0; (peer = cluster_peer_at(e->cluster, i)); i++)
		if (!strcmp(peer->failure_domain, e->settings->failure_domain) &&
		    cluster_is_live(e->cluster, peer) &&
		    base_rendezvous_weight(peer->id, server) > own)
			return false;
	return true;
}

static void renew_server(struct renewer *rn, const json_t *vm)
{
	struct entryd *e = rn->entryd;
	const char *id = base_json_str(vm, "id", "");
	struct renewal *r = renewal_get(rn, id);
	char base[64];
	struct backend_target target = {e->http, base, e->settings->vm, NULL};
	json_t *args;

	/* a server that the scheduler declared lost must get no renewal from any VM */
	if (r->is_calling || (cluster_note_get(e->cluster, id) == NOTE_LOST && !r->failures &&
			      r->restarted_until <= base_now_ns()))
		return;
	g_snprintf(base, sizeof(base), "http://%s", base_json_str(vm, "address", ""));
	args = json_pack("{sI sb sO}", "lease_ms", (json_int_t)e->settings->lease_ms, "brief", 1,
			 "except", r->withheld_jobs);
	r->is_calling = true;
	backend_task_call(&target, BACKEND_TASK_RENEW, args, r->failures > 0,
			  base_deadline_in(e->settings->lease_ms / RENEWALS_PER_LEASE), on_renewed,
			  r);
}

static bool has_other_peers(struct entryd *e)
{
	struct cluster_peer *peer;

	for (unsigned int i = 0; (peer = cluster_peer_at(e->cluster, i)); i++)
		if (peer->client && !strcmp(peer->failure_domain, e->settings->failure_domain))
			return true;
	return false;
}

/* A VM without contact to any peer may be partitioned; others then renew its servers. */
static bool may_renew(struct entryd *e)
{
	return !has_other_peers(e) || cluster_has_contact(e->cluster, e->settings->lease_ms);
}

static void on_renew_timer(struct tevent_context *ev, struct tevent_timer *te G_GNUC_UNUSED,
			   struct timeval now G_GNUC_UNUSED, void *data)
{
	struct renewer *rn = data;
	struct entryd *e = rn->entryd;
	int64_t interval_ms = e->settings->lease_ms / RENEWALS_PER_LEASE;
	size_t i;
	json_t *vm;

	json_array_foreach(cluster_vms(e->cluster), i, vm) {
		if (!may_renew(e))
			break;
		if (!strcmp(base_json_str(vm, "role", ""), "backend") &&
		    !strcmp(base_json_str(vm, "failure_domain", ""), e->settings->failure_domain) &&
		    is_own_server(e, base_json_str(vm, "id", "")))
			renew_server(rn, vm);
	}
	tevent_add_timer(ev, rn, base_timeval_in_ms(interval_ms), on_renew_timer, rn);
}

struct renewer *renewer_new(struct entryd *e)
{
	struct renewer *rn = talloc_zero(e, struct renewer);

	rn->entryd = e;
	rn->renewals = g_hash_table_new(g_str_hash, g_str_equal);
	tevent_add_timer(e->ev, rn, base_timeval_in_ms(e->settings->lease_ms / RENEWALS_PER_LEASE),
			 on_renew_timer, rn);
	return rn;
}
