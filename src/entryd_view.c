/**
 * DOC: entryd_view - builds the view that worker threads read
 */
#include "entryd.h"

#include <string.h>

static void view_free(void *p)
{
	talloc_free(p);
}

const struct view_peer *view_find_peer(const struct view *v, const char *id)
{
	for (unsigned int i = 0; i < v->peer_count; i++)
		if (!strcmp(v->peers[i].id, id))
			return &v->peers[i];
	return NULL;
}

static struct backend_health *health_get(struct entryd *e, const char *id)
{
	struct backend_health *h = g_hash_table_lookup(e->health, id);

	if (h)
		return h;
	h = g_new0(struct backend_health, 1); /* XXX: never freed, also when its server has left */
	g_hash_table_insert(e->health, g_strdup(id), h);
	return h;
}

void view_record_boot(struct entryd *e, const char *server, int64_t boot)
{
	if (boot)
		atomic_store(&health_get(e, server)->boot, boot);
}

/*
 * Live entry VMs divide a server's slots without communication: each ranks all
 * of them by rendezvous weight, and the first ranks get one slot more each
 * while there is a remainder.
 */
static int compute_slot_limit(const struct view *v, const struct settings *settings,
			      const char *server, int64_t slots)
{
	uint64_t own = base_rendezvous_weight(settings->vm, server);
	int64_t live = 1;
	int64_t rank = 0;

	for (unsigned int i = 0; i < v->peer_count; i++) {
		const struct view_peer *peer = &v->peers[i];

		if (!peer->is_live || !strcmp(peer->id, settings->vm) ||
		    strcmp(peer->failure_domain, settings->failure_domain))
			continue;
		live++;
		rank += base_rendezvous_weight(peer->id, server) > own;
	}
	return (int)(slots / live + (rank < slots % live));
}

static void add_server(struct entryd *e, struct view *v, const json_t *vm)
{
	struct view_server *s = &v->servers[v->server_count];
	const char *id = base_json_str(vm, "id", "");

	if (strcmp(base_json_str(vm, "role", ""), "backend") ||
	    strcmp(base_json_str(vm, "failure_domain", ""), e->settings->failure_domain))
		return;
	s->id = talloc_strdup(v, id);
	s->base_url = talloc_asprintf(v, "http://%s", base_json_str(vm, "address", ""));
	s->slot_limit = compute_slot_limit(v, e->settings, id, base_json_int(vm, "slots", 8));
	s->takes_work = !strcmp(base_json_str(vm, "state", "live"), "live") &&
			cluster_note_get(e->cluster, id) == NOTE_LIVE;
	s->health = health_get(e, id);
	v->server_count++;
}

static void add_peers(struct entryd *e, struct view *v)
{
	struct cluster_peer *peer;

	v->peers = talloc_zero_array(v, struct view_peer, CLUSTER_PEERS_MAX);
	while ((peer = cluster_peer_at(e->cluster, v->peer_count))) {
		struct view_peer *out = &v->peers[v->peer_count++];

		out->id = talloc_strdup(v, peer->id);
		out->failure_domain = talloc_strdup(v, peer->failure_domain);
		out->entry = peer->entry;
		out->sched = peer->sched;
		out->incarnation = peer->client ? peer->incarnation : e->incarnation;
		out->is_live = cluster_is_live(e->cluster, peer);
	}
}

void view_publish(struct entryd *e)
{
	struct view *v = talloc_zero(NULL, struct view);
	const json_t *vms = cluster_vms(e->cluster);
	size_t i;
	json_t *vm;

	v->catalogue = catalogue_new(v, cluster_entries(e->cluster), cluster_version(e->cluster));
	add_peers(e, v);
	v->servers =
		talloc_zero_array(v, struct view_server, (unsigned int)json_array_size(vms) + 1);
	json_array_foreach(vms, i, vm)
		add_server(e, v, vm);
	v->is_ready = cluster_is_ready(e->cluster);
	snapshot_publish(&e->view, v, view_free);
}
