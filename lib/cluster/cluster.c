#include "cluster.h"
#include "catalogue/catalogue.h"

#include <stdlib.h>
#include <string.h>

#define PLATFORM_POLL_MS 1500	     /* pause between reads of the platform */
#define GOSSIP_INTERVAL_MS 700	     /* pause between gossip rounds */
#define GOSSIP_FANOUT 3		     /* peers of the own failure domain per round */
#define CALL_TIMEOUT_MS 1000	     /* timeout of one call to a peer or the platform */
#define PEER_TIMEOUT_MS 4000	     /* a peer counts as live for this long after its last gossip */
#define REMOTE_PEER_TIMEOUT_MS 30000 /* other domains: only one such peer per round */
#define NOTE_LIFETIME_MS 20000	     /* a note expires after this long unless it is renewed */
#define DELTAS_MAX 512		     /* newest deltas kept to serve peers */
#define DELTAS_PER_READ 64	     /* deltas requested per platform read */

#define SCHED_PREFIX "sched:" /* precedes the VM id in a scheduler's gossip name */

/* state of a backend server, spread by gossip until its deadline */
struct note {
	char *server;
	enum cluster_note_state state;
	int64_t deadline;
};

struct cluster {
	struct tevent_context *ev;
	const struct settings *settings;
	struct platform *platform;
	struct cluster_hooks hooks;
	int64_t incarnation;
	json_t *entries;
	int64_t version;
	json_t *deltas; /* the newest DELTAS_MAX, in order of version */
	json_t *vms;
	int64_t vm_version;
	struct cluster_peer *peers[CLUSTER_PEERS_MAX];
	unsigned int peer_count;
	struct onc_client *seeds[SETTINGS_LIST_MAX];
	GHashTable *notes;		  /* server id to struct note */
	unsigned int startup_replies_due; /* first calls to seeds and platform in flight */
	bool is_draining;
	bool is_reading_catalogue;
	bool is_reading_vms;
	uint64_t live_set_hash;
	char *gossip_name;	      /* the VM id; in schedd with SCHED_PREFIX before it */
	int64_t local_contact_at;     /* last gossip from the own failure domain, 0 for never */
	int64_t scheduler_contact_at; /* last gossip from its active scheduler, 0 for never */
};

const struct onc_proc cluster_procs[CLUSTER_PROC_COUNT] = {
	{CL_PEER, CL_PEER_V1, PEER_GOSSIP, (xdrproc_t)xdr_cl_gossip, sizeof(cl_gossip),
	 (xdrproc_t)xdr_cl_gossip},
	{CL_PEER, CL_PEER_V1, PEER_PULL, (xdrproc_t)xdr_cl_pull_args, sizeof(cl_pull_args),
	 (xdrproc_t)xdr_cl_pull_res},
	{CL_PEER, CL_PEER_V1, PEER_FORWARD, (xdrproc_t)xdr_cl_forward_args, sizeof(cl_forward_args),
	 (xdrproc_t)xdr_cl_outcome_res},
};

const struct onc_proc sched_procs[SCHED_PROC_COUNT] = {
	{CL_SCHED, CL_SCHED_V1, SCHED_SUBMIT, (xdrproc_t)xdr_cl_job_args, sizeof(cl_job_args),
	 (xdrproc_t)xdr_cl_job_res},
	{CL_SCHED, CL_SCHED_V1, SCHED_STATE, (xdrproc_t)xdr_cl_job_args, sizeof(cl_job_args),
	 (xdrproc_t)xdr_cl_job_res},
	{CL_SCHED, CL_SCHED_V1, SCHED_CANCEL, (xdrproc_t)xdr_cl_job_args, sizeof(cl_job_args),
	 (xdrproc_t)xdr_cl_job_res},
};

/* ---- catalogue ---- */

static void append_delta(struct cluster *c, json_t *delta)
{
	json_array_append(c->deltas, delta);
	if (json_array_size(c->deltas) > DELTAS_MAX)
		json_array_remove(c->deltas, 0);
}

/* Applies the deltas that follow the current version; returns true when one was applied. */
static bool apply_deltas(struct cluster *c, const json_t *deltas)
{
	json_t *next = NULL;
	size_t i;
	json_t *delta;

	json_array_foreach(deltas, i, delta) {
		if (base_json_int(delta, "version", 0) != c->version + 1)
			continue;
		if (!next)
			next = json_copy(c->entries);
		catalogue_apply_changes(next, json_object_get(delta, "changes"));
		c->version++;
		append_delta(c, delta);
	}
	if (!next)
		return false;
	json_decref(c->entries);
	c->entries = next;
	return true;
}

static bool replace_catalogue(struct cluster *c, json_t *entries, int64_t version)
{
	if (version <= c->version || !json_is_object(entries))
		return false;
	json_decref(c->entries);
	c->entries = json_incref(entries);
	c->version = version;
	json_array_clear(c->deltas);
	return true;
}

static void catalogue_changed(struct cluster *c, const char *source)
{
	log_info("catalogue", "version %" PRId64 " from %s", c->version, source);
	c->hooks.on_catalogue(c->hooks.data);
}

static void count_startup_reply(struct cluster *c)
{
	if (c->startup_replies_due)
		c->startup_replies_due--;
}

static void on_deltas(enum platform_result result, int64_t version G_GNUC_UNUSED, json_t *value,
		      void *data)
{
	struct cluster *c = data;
	json_t *deltas;
	size_t i;
	json_t *row;

	c->is_reading_catalogue = false;
	count_startup_reply(c);
	if (result != PLATFORM_OK)
		return;
	deltas = json_array();
	json_array_foreach(value, i, row)
		json_array_append(deltas, json_object_get(row, "value"));
	if (apply_deltas(c, deltas))
		catalogue_changed(c, "platform");
	json_decref(deltas);
}

static void read_deltas(struct cluster *c)
{
	char *after = catalogue_delta_key(c, c->version);

	platform_scan(c->platform, CATALOGUE_TABLE, "delta/", after, DELTAS_PER_READ,
		      base_deadline_in(CALL_TIMEOUT_MS), on_deltas, c);
	talloc_free(after);
}

static void on_snapshot(enum platform_result result, int64_t version G_GNUC_UNUSED, json_t *value,
			void *data)
{
	struct cluster *c = data;

	if (result != PLATFORM_OK) {
		c->is_reading_catalogue = false;
		count_startup_reply(c);
		return;
	}
	if (replace_catalogue(c, json_object_get(value, "entries"),
			      base_json_int(value, "version", 0)))
		catalogue_changed(c, "platform snapshot");
	read_deltas(c);
}

/* A process without a catalogue starts from the snapshot instead of reading all deltas. */
static void read_catalogue(struct cluster *c)
{
	if (c->is_reading_catalogue)
		return;
	c->is_reading_catalogue = true;
	if (c->version)
		read_deltas(c);
	else
		platform_read(c->platform, CATALOGUE_TABLE, CATALOGUE_SNAPSHOT,
			      base_deadline_in(CALL_TIMEOUT_MS), on_snapshot, c);
}

/* ---- VM list and peers ---- */

struct cluster_peer *cluster_find_peer(const struct cluster *c, const char *id)
{
	for (unsigned int i = 0; i < c->peer_count; i++)
		if (!strcmp(c->peers[i]->id, id))
			return c->peers[i];
	return NULL;
}

static void peer_add(struct cluster *c, const json_t *vm)
{
	const char *id = base_json_str(vm, "id", "");
	struct cluster_peer *peer = cluster_find_peer(c, id);
	struct address entry;
	struct address sched;

	if (!address_parse(base_json_str(vm, "entry_peers", ""), &entry) ||
	    !address_parse(base_json_str(vm, "sched_peers", ""), &sched))
		return;
	if (!peer) {
		if (c->peer_count == CLUSTER_PEERS_MAX)
			return;
		peer = talloc_zero(c, struct cluster_peer);
		peer->id = talloc_strdup(peer, id);
		c->peers[c->peer_count++] = peer;
	} else if (memcmp(&peer->entry, &entry, sizeof(entry))) {
		TALLOC_FREE(peer->client);
	}
	talloc_free(peer->failure_domain);
	peer->failure_domain = talloc_strdup(peer, base_json_str(vm, "failure_domain", ""));
	peer->entry = entry;
	peer->sched = sched;
	if (!peer->client && strcmp(id, c->gossip_name))
		peer->client = onc_client_new(peer, c->ev, entry.ip, entry.port);
}

static bool vm_list_has(const struct cluster *c, const char *id)
{
	size_t i;
	json_t *vm;

	json_array_foreach(c->vms, i, vm) {
		if (!strcmp(base_json_str(vm, "id", ""), id))
			return true;
	}
	return false;
}

static void apply_vm_list(struct cluster *c, json_t *vms, int64_t version)
{
	size_t i;
	json_t *vm;

	if (version <= c->vm_version || !json_is_array(vms))
		return;
	json_decref(c->vms);
	c->vms = json_incref(vms);
	c->vm_version = version;
	for (unsigned int k = c->peer_count; k-- > 0;) {
		struct cluster_peer *peer = c->peers[k];

		if (vm_list_has(c, peer->id))
			continue;
		c->peers[k] = c->peers[--c->peer_count];
		talloc_free(peer);
	}
	json_array_foreach(c->vms, i, vm) {
		if (!strcmp(base_json_str(vm, "role", ""), "entry"))
			peer_add(c, vm);
	}
	c->hooks.on_vms(c->hooks.data);
}

static void on_vm_list(enum platform_result result, int64_t version, json_t *value, void *data)
{
	struct cluster *c = data;

	c->is_reading_vms = false;
	count_startup_reply(c);
	if (result == PLATFORM_OK && value)
		apply_vm_list(c, value, version);
}

static void on_poll(struct tevent_context *ev, struct tevent_timer *te G_GNUC_UNUSED,
		    struct timeval now G_GNUC_UNUSED, void *data)
{
	struct cluster *c = data;

	read_catalogue(c);
	if (!c->is_reading_vms) {
		c->is_reading_vms = true;
		platform_vms(c->platform, c->vm_version, base_deadline_in(CALL_TIMEOUT_MS),
			     on_vm_list, c);
	}
	tevent_add_timer(ev, c,
			 base_timeval_in_ms(PLATFORM_POLL_MS + (int64_t)(base_random64() % 300)),
			 on_poll, c);
}

/* ---- notes ---- */

static void note_set(struct cluster *c, const char *server, enum cluster_note_state state,
		     int64_t remaining_ms)
{
	struct note *note = g_hash_table_lookup(c->notes, server);
	int64_t deadline = base_deadline_in(remaining_ms);
	bool changed = !note || note->state != state;

	if (!note) {
		note = talloc_zero(c, struct note);
		note->server = talloc_strdup(note, server);
		g_hash_table_insert(c->notes, note->server, note);
	}
	if (deadline <= note->deadline)
		return;
	note->state = state;
	note->deadline = deadline;
	if (changed)
		c->hooks.on_vms(c->hooks.data);
}

void cluster_note_set(struct cluster *c, const char *server, enum cluster_note_state state)
{
	struct note *note = g_hash_table_lookup(c->notes, server);

	if (state == NOTE_LIVE && !note)
		return;
	note_set(c, server, state, NOTE_LIFETIME_MS);
}

enum cluster_note_state cluster_note_get(const struct cluster *c, const char *server)
{
	const struct note *note = g_hash_table_lookup(c->notes, server);

	return note && note->deadline > base_now_ns() ? note->state : NOTE_LIVE;
}

static gboolean remove_expired_note(gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
	struct note *note = value;

	if (note->deadline > base_now_ns())
		return FALSE;
	if (note->state != NOTE_LIVE)
		*(bool *)data = true;
	talloc_free(note);
	return TRUE;
}

/* ---- gossip and pulls ---- */

static void gossip_fill(struct cluster *c, TALLOC_CTX *ctx, cl_gossip *g)
{
	GHashTableIter iter;
	gpointer value;

	memset(g, 0, sizeof(*g));
	g->vm = c->gossip_name;
	g->failure_domain = c->settings->failure_domain;
	g->incarnation = c->incarnation;
	g->draining = c->is_draining;
	g->catalogue_version = c->version;
	g->vm_list_version = c->vm_version;
	g->notes.notes_val = talloc_zero_array(ctx, cl_note, g_hash_table_size(c->notes) + 1);
	g_hash_table_iter_init(&iter, c->notes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct note *note = value;
		cl_note *out = &g->notes.notes_val[g->notes.notes_len];

		if (note->deadline <= base_now_ns() || g->notes.notes_len == CL_NOTES_MAX)
			continue;
		out->server = note->server;
		out->state = (int)note->state;
		out->remaining_ms = base_remaining_ms(note->deadline);
		g->notes.notes_len++;
	}
}

static void check_live_set(struct cluster *c)
{
	uint64_t hash = 0;

	for (unsigned int i = 0; i < c->peer_count; i++)
		if (cluster_is_live(c, c->peers[i]))
			hash ^= base_hash(c->peers[i]->id, strlen(c->peers[i]->id), 1);
	if (hash == c->live_set_hash)
		return;
	c->live_set_hash = hash;
	c->hooks.on_vms(c->hooks.data);
}

static void pull_from(struct cluster *c, struct onc_client *client);

static void gossip_apply(struct cluster *c, const cl_gossip *g)
{
	struct cluster_peer *peer = cluster_find_peer(c, g->vm);

	if (!strcmp(g->failure_domain, c->settings->failure_domain))
		c->local_contact_at = base_now_ns();
	if (!strcmp(g->failure_domain, c->settings->failure_domain) &&
	    g_str_has_prefix(g->vm, SCHED_PREFIX) && g->incarnation)
		c->scheduler_contact_at = base_now_ns();
	if (peer && strcmp(g->vm, c->gossip_name)) {
		peer->last_seen_at = base_now_ns();
		peer->incarnation = g->incarnation;
		peer->is_draining = g->draining;
		if (peer->client &&
		    (g->catalogue_version > c->version || g->vm_list_version > c->vm_version))
			pull_from(c, peer->client);
	}
	for (u_int i = 0; i < g->notes.notes_len; i++)
		note_set(c, g->notes.notes_val[i].server,
			 (enum cluster_note_state)g->notes.notes_val[i].state,
			 MIN(g->notes.notes_val[i].remaining_ms, NOTE_LIFETIME_MS));
	check_live_set(c);
}

static void on_gossip(enum onc_result result, void *res, void *data)
{
	if (result == ONC_OK)
		gossip_apply(data, res);
}

static void on_pull(enum onc_result result, void *res, void *data)
{
	struct cluster *c = data;
	cl_pull_res *pull = res;
	json_t *doc;
	json_t *vms;
	bool is_changed;

	count_startup_reply(c);
	if (result != ONC_OK)
		return;
	doc = json_loads(pull->catalogue, 0, NULL);
	is_changed = replace_catalogue(c, json_object_get(doc, "entries"), pull->catalogue_version);
	is_changed = apply_deltas(c, json_object_get(doc, "deltas")) || is_changed;
	if (is_changed)
		catalogue_changed(c, "peer");
	json_decref(doc);
	vms = json_loads(pull->vm_list, 0, NULL);
	apply_vm_list(c, vms, pull->vm_list_version);
	json_decref(vms);
}

static void pull_from(struct cluster *c, struct onc_client *client)
{
	cl_pull_args args = {.catalogue_version = c->version, .vm_list_version = c->vm_version};

	onc_call(client, &cluster_procs[CLUSTER_PROC_PULL], &args, sizeof(cl_pull_res),
		 base_deadline_in(CALL_TIMEOUT_MS), on_pull, c);
}

static void gossip_with(struct cluster *c, struct cluster_peer *peer)
{
	TALLOC_CTX *tmp = talloc_new(c);
	cl_gossip g;

	gossip_fill(c, tmp, &g);
	onc_call(peer->client, &cluster_procs[CLUSTER_PROC_GOSSIP], &g, sizeof(cl_gossip),
		 base_deadline_in(CALL_TIMEOUT_MS), on_gossip, c);
	talloc_free(tmp);
}

/* Contacts up to GOSSIP_FANOUT peers of the own failure domain and one of another. */
static void gossip_round(struct cluster *c)
{
	unsigned int start = c->peer_count ? (unsigned int)(base_random64() % c->peer_count) : 0;
	unsigned int local_count = 0;
	unsigned int remote_count = 0;

	for (unsigned int i = 0; i < c->peer_count; i++) {
		struct cluster_peer *peer = c->peers[(start + i) % c->peer_count];
		bool is_local = !strcmp(peer->failure_domain, c->settings->failure_domain);

		if (!peer->client || (is_local ? local_count >= GOSSIP_FANOUT : remote_count >= 1))
			continue;
		gossip_with(c, peer);
		local_count += is_local;
		remote_count += !is_local;
	}
}

static void on_gossip_timer(struct tevent_context *ev, struct tevent_timer *te G_GNUC_UNUSED,
			    struct timeval now G_GNUC_UNUSED, void *data)
{
	struct cluster *c = data;
	bool changed = false;

	g_hash_table_foreach_remove(c->notes, remove_expired_note, &changed);
	if (changed)
		c->hooks.on_vms(c->hooks.data);
	check_live_set(c);
	gossip_round(c);
	/* until the catalogue and the VM list are known, the seeds are a second source for them */
	for (unsigned int i = 0; i < c->settings->seed_count; i++)
		if (!c->version || !c->vm_version)
			pull_from(c, c->seeds[i]);
	tevent_add_timer(ev, c,
			 base_timeval_in_ms(GOSSIP_INTERVAL_MS + (int64_t)(base_random64() % 150)),
			 on_gossip_timer, c);
}

/* ---- serving peers ---- */

static void serve_pull(struct cluster *c, struct onc_request *req)
{
	const cl_pull_args *args = req->args;
	TALLOC_CTX *tmp = talloc_new(c);
	json_t *first = json_array_get(c->deltas, 0);
	json_t *doc = json_object();
	cl_pull_res res = {.catalogue_version = c->version, .vm_list_version = c->vm_version};

	if (args->catalogue_version < c->version) {
		bool has_all =
			first && base_json_int(first, "version", 0) <= args->catalogue_version + 1;

		if (has_all && args->catalogue_version > 0)
			json_object_set(doc, "deltas", c->deltas);
		else
			json_object_set(doc, "entries", c->entries);
	}
	res.catalogue = base_json_text(tmp, doc);
	res.vm_list = args->vm_list_version < c->vm_version ? base_json_text(tmp, c->vms)
							    : talloc_strdup(tmp, "null");
	json_decref(doc);
	onc_reply(req, &res);
	talloc_free(tmp);
}

bool cluster_serve(struct cluster *c, struct onc_request *req)
{
	TALLOC_CTX *tmp;
	cl_gossip g;

	if (req->proc == &cluster_procs[CLUSTER_PROC_PULL]) {
		serve_pull(c, req);
		return true;
	}
	if (req->proc != &cluster_procs[CLUSTER_PROC_GOSSIP])
		return false;
	gossip_apply(c, req->args);
	tmp = talloc_new(c);
	gossip_fill(c, tmp, &g);
	onc_reply(req, &g);
	talloc_free(tmp);
	return true;
}

/* ---- construction and queries ---- */

static int cluster_destructor(struct cluster *c)
{
	json_decref(c->entries);
	json_decref(c->deltas);
	json_decref(c->vms);
	g_hash_table_destroy(c->notes);
	return 0;
}

struct cluster *cluster_new(TALLOC_CTX *ctx, struct tevent_context *ev,
			    const struct settings *settings, struct platform *platform,
			    int64_t incarnation, const struct cluster_hooks *hooks)
{
	struct cluster *c = talloc_zero(ctx, struct cluster);

	c->ev = ev;
	c->settings = settings;
	c->platform = platform;
	c->hooks = *hooks;
	c->incarnation = incarnation;
	/*
	 * schedd needs a name of its own: the entryd of the same VM uses the
	 * VM id, and schedd must treat that entryd as a peer.
	 */
	c->gossip_name = talloc_asprintf(c, "%s%s", platform ? "" : SCHED_PREFIX, settings->vm);
	c->entries = json_object();
	c->deltas = json_array();
	c->vms = json_array();
	c->notes = g_hash_table_new(g_str_hash, g_str_equal);
	talloc_set_destructor(c, cluster_destructor);
	c->startup_replies_due = settings->seed_count + (platform ? 2 : 0);
	for (unsigned int i = 0; i < settings->seed_count; i++) {
		c->seeds[i] = onc_client_new(c, ev, settings->seeds[i].ip, settings->seeds[i].port);
		pull_from(c, c->seeds[i]);
	}
	if (platform)
		on_poll(ev, NULL, base_timeval_in_ms(0), c);
	tevent_add_timer(ev, c, base_timeval_in_ms(GOSSIP_INTERVAL_MS), on_gossip_timer, c);
	return c;
}

bool cluster_is_ready(const struct cluster *c)
{
	return c->version > 0 && c->vm_version > 0 && !c->startup_replies_due;
}

const json_t *cluster_entries(const struct cluster *c)
{
	return c->entries;
}

int64_t cluster_version(const struct cluster *c)
{
	return c->version;
}

const json_t *cluster_vms(const struct cluster *c)
{
	return c->vms;
}

struct cluster_peer *cluster_peer_at(const struct cluster *c, unsigned int i)
{
	return i < c->peer_count ? c->peers[i] : NULL;
}

bool cluster_is_live(const struct cluster *c, const struct cluster_peer *peer)
{
	bool is_local = !strcmp(peer->failure_domain, c->settings->failure_domain);
	int64_t timeout_ms = is_local ? PEER_TIMEOUT_MS : REMOTE_PEER_TIMEOUT_MS;

	if (!peer->client)
		return !c->is_draining;
	return peer->last_seen_at && !peer->is_draining &&
	       base_now_ns() - peer->last_seen_at < timeout_ms * BASE_NS_PER_MS;
}

bool cluster_is_gone(const struct cluster *c, const char *vm, int64_t incarnation)
{
	const struct cluster_peer *peer = cluster_find_peer(c, vm);

	if (!peer)
		return true;
	return peer->incarnation && peer->incarnation != incarnation;
}

bool cluster_has_contact(const struct cluster *c, int64_t ms)
{
	return c->local_contact_at && base_now_ns() - c->local_contact_at < ms * BASE_NS_PER_MS;
}

bool cluster_has_scheduler(const struct cluster *c, int64_t ms)
{
	return c->scheduler_contact_at &&
	       base_now_ns() - c->scheduler_contact_at < ms * BASE_NS_PER_MS;
}

void cluster_set_epoch(struct cluster *c, int64_t epoch)
{
	c->incarnation = epoch;
}

void cluster_set_draining(struct cluster *c)
{
	c->is_draining = true;
	for (unsigned int i = 0; i < c->peer_count; i++)
		if (c->peers[i]->client)
			gossip_with(c, c->peers[i]);
}
