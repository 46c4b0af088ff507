#include "cluster.h"
#include "catalogue/catalogue.h"

#include <stdlib.h>
#include <string.h>

#define POLL_MS 1500	   /* pause between reads of the platform */
#define GOSSIP_MS 700	   /* pause between exchanges with peers */
#define GOSSIP_FANOUT 3	   /* peers of the own failure domain a round */
#define CALL_MS 1000	   /* deadline of one exchange */
#define HEARD_MS 4000	   /* a peer silent for longer is not counted as live */
#define HEARD_FAR_MS 30000 /* ... in another failure domain, which is seldom asked */
#define NOTE_MS 20000	   /* a note lapses unless it is renewed */
#define DELTAS_KEPT 512	   /* deltas held for peers */
#define DELTAS_READ 64	   /* deltas a read */

#define SCHED_PREFIX "sched:" /* a scheduler's name in exchanges, before its VM's id */

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
	json_t *deltas; /* the newest ones, in order */
	json_t *vms;
	int64_t vm_version;
	struct cluster_peer *peers[CLUSTER_PEERS_MAX];
	unsigned int peer_count;
	struct onc_client *seeds[SETTINGS_LIST_MAX];
	GHashTable *notes;
	unsigned int unanswered; /* first round of questions still open */
	bool is_draining;
	bool is_reading_catalogue;
	bool is_reading_vms;
	uint64_t live_mask_hash;
	char *name; /* in exchanges; only an entryd goes by its VM's id */
	int64_t contact_at;
	int64_t scheduler_at;
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

static void keep_delta(struct cluster *c, json_t *delta)
{
	json_array_append(c->deltas, delta);
	if (json_array_size(c->deltas) > DELTAS_KEPT)
		json_array_remove(c->deltas, 0);
}

/* takes the deltas that follow the version held; true when one was taken */
static bool take_deltas(struct cluster *c, const json_t *deltas)
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
		keep_delta(c, delta);
	}
	if (!next)
		return false;
	json_decref(c->entries);
	c->entries = next;
	return true;
}

static bool take_whole(struct cluster *c, json_t *entries, int64_t version)
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

static void first_round_answer(struct cluster *c)
{
	if (c->unanswered)
		c->unanswered--;
}

static void on_deltas(enum platform_result result, int64_t version G_GNUC_UNUSED, json_t *value,
		      void *data)
{
	struct cluster *c = data;
	json_t *deltas;
	size_t i;
	json_t *row;

	c->is_reading_catalogue = false;
	first_round_answer(c);
	if (result != PLATFORM_OK)
		return;
	deltas = json_array();
	json_array_foreach(value, i, row)
		json_array_append(deltas, json_object_get(row, "value"));
	if (take_deltas(c, deltas))
		catalogue_changed(c, "platform");
	json_decref(deltas);
}

static void read_deltas(struct cluster *c)
{
	char *after = catalogue_delta_key(c, c->version);

	platform_scan(c->platform, CATALOGUE_TABLE, "delta/", after, DELTAS_READ,
		      base_deadline_in(CALL_MS), on_deltas, c);
	talloc_free(after);
}

static void on_snapshot(enum platform_result result, int64_t version G_GNUC_UNUSED, json_t *value,
			void *data)
{
	struct cluster *c = data;

	if (result != PLATFORM_OK) {
		c->is_reading_catalogue = false;
		first_round_answer(c);
		return;
	}
	if (take_whole(c, json_object_get(value, "entries"), base_json_int(value, "version", 0)))
		catalogue_changed(c, "platform snapshot");
	read_deltas(c);
}

/* a process that holds nothing starts from the snapshot instead of all history */
static void read_catalogue(struct cluster *c)
{
	if (c->is_reading_catalogue)
		return;
	c->is_reading_catalogue = true;
	if (c->version)
		read_deltas(c);
	else
		platform_read(c->platform, CATALOGUE_TABLE, CATALOGUE_SNAPSHOT,
			      base_deadline_in(CALL_MS), on_snapshot, c);
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
	if (!peer->client && strcmp(id, c->name))
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

static void take_vms(struct cluster *c, json_t *vms, int64_t version)
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
	first_round_answer(c);
	if (result == PLATFORM_OK && value)
		take_vms(c, value, version);
}

static void on_poll(struct tevent_context *ev, struct tevent_timer *te G_GNUC_UNUSED,
		    struct timeval now G_GNUC_UNUSED, void *data)
{
	struct cluster *c = data;

	read_catalogue(c);
	if (!c->is_reading_vms) {
		c->is_reading_vms = true;
		platform_vms(c->platform, c->vm_version, base_deadline_in(CALL_MS), on_vm_list, c);
	}
	tevent_add_timer(ev, c, base_timeval_in_ms(POLL_MS + (int64_t)(base_random64() % 300)),
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

void cluster_note(struct cluster *c, const char *server, enum cluster_note_state state)
{
	struct note *note = g_hash_table_lookup(c->notes, server);

	if (state == NOTE_LIVE && !note)
		return;
	note_set(c, server, state, NOTE_MS);
}

enum cluster_note_state cluster_note_of(const struct cluster *c, const char *server)
{
	const struct note *note = g_hash_table_lookup(c->notes, server);

	return note && note->deadline > base_now() ? note->state : NOTE_LIVE;
}

static gboolean drop_lapsed(gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
	struct note *note = value;

	if (note->deadline > base_now())
		return FALSE;
	if (note->state != NOTE_LIVE)
		*(bool *)data = true;
	talloc_free(note);
	return TRUE;
}

/* ---- exchange with peers ---- */

static void gossip_fill(struct cluster *c, TALLOC_CTX *ctx, cl_gossip *g)
{
	GHashTableIter iter;
	gpointer value;

	memset(g, 0, sizeof(*g));
	g->vm = c->name;
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

		if (note->deadline <= base_now() || g->notes.notes_len == CL_NOTES_MAX)
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
	if (hash == c->live_mask_hash)
		return;
	c->live_mask_hash = hash;
	c->hooks.on_vms(c->hooks.data);
}

static void pull_from(struct cluster *c, struct onc_client *client);

static void gossip_take(struct cluster *c, const cl_gossip *g)
{
	struct cluster_peer *peer = cluster_find_peer(c, g->vm);

	if (!strcmp(g->failure_domain, c->settings->failure_domain))
		c->contact_at = base_now();
	if (!strcmp(g->failure_domain, c->settings->failure_domain) &&
	    g_str_has_prefix(g->vm, SCHED_PREFIX) && g->incarnation)
		c->scheduler_at = base_now();
	if (peer && strcmp(g->vm, c->name)) {
		peer->heard_at = base_now();
		peer->incarnation = g->incarnation;
		peer->is_draining = g->draining;
		if (peer->client &&
		    (g->catalogue_version > c->version || g->vm_list_version > c->vm_version))
			pull_from(c, peer->client);
	}
	for (u_int i = 0; i < g->notes.notes_len; i++)
		note_set(c, g->notes.notes_val[i].server,
			 (enum cluster_note_state)g->notes.notes_val[i].state,
			 MIN(g->notes.notes_val[i].remaining_ms, NOTE_MS));
	check_live_set(c);
}

static void on_gossip(enum onc_result result, void *res, void *data)
{
	if (result == ONC_OK)
		gossip_take(data, res);
}

static void on_pull(enum onc_result result, void *res, void *data)
{
	struct cluster *c = data;
	cl_pull_res *pull = res;
	json_t *doc;
	json_t *vms;
	bool taken;

	first_round_answer(c);
	if (result != ONC_OK)
		return;
	doc = json_loads(pull->catalogue, 0, NULL);
	taken = take_whole(c, json_object_get(doc, "entries"), pull->catalogue_version);
	taken = take_deltas(c, json_object_get(doc, "deltas")) || taken;
	if (taken)
		catalogue_changed(c, "peer");
	json_decref(doc);
	vms = json_loads(pull->vm_list, 0, NULL);
	take_vms(c, vms, pull->vm_list_version);
	json_decref(vms);
}

static void pull_from(struct cluster *c, struct onc_client *client)
{
	cl_pull_args args = {.catalogue_version = c->version, .vm_list_version = c->vm_version};

	onc_call(client, &cluster_procs[CLUSTER_PROC_PULL], &args, sizeof(cl_pull_res),
		 base_deadline_in(CALL_MS), on_pull, c);
}

static void gossip_with(struct cluster *c, struct cluster_peer *peer)
{
	TALLOC_CTX *tmp = talloc_new(c);
	cl_gossip g;

	gossip_fill(c, tmp, &g);
	onc_call(peer->client, &cluster_procs[CLUSTER_PROC_GOSSIP], &g, sizeof(cl_gossip),
		 base_deadline_in(CALL_MS), on_gossip, c);
	talloc_free(tmp);
}

/* a few of the own failure domain each round, and one of the others */
static void gossip_round(struct cluster *c)
{
	unsigned int start = c->peer_count ? (unsigned int)(base_random64() % c->peer_count) : 0;
	unsigned int near = 0;
	unsigned int far = 0;

	for (unsigned int i = 0; i < c->peer_count; i++) {
		struct cluster_peer *peer = c->peers[(start + i) % c->peer_count];
		bool is_near = !strcmp(peer->failure_domain, c->settings->failure_domain);

		if (!peer->client || (is_near ? near >= GOSSIP_FANOUT : far >= 1))
			continue;
		gossip_with(c, peer);
		near += is_near;
		far += !is_near;
	}
}

static void on_gossip_timer(struct tevent_context *ev, struct tevent_timer *te G_GNUC_UNUSED,
			    struct timeval now G_GNUC_UNUSED, void *data)
{
	struct cluster *c = data;
	bool changed = false;

	g_hash_table_foreach_remove(c->notes, drop_lapsed, &changed);
	if (changed)
		c->hooks.on_vms(c->hooks.data);
	check_live_set(c);
	gossip_round(c);
	/* seeds fill in what the platform does not give */
	for (unsigned int i = 0; i < c->settings->seed_count; i++)
		if (!c->version || !c->vm_version)
			pull_from(c, c->seeds[i]);
	tevent_add_timer(ev, c, base_timeval_in_ms(GOSSIP_MS + (int64_t)(base_random64() % 150)),
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
	gossip_take(c, req->args);
	tmp = talloc_new(c);
	gossip_fill(c, tmp, &g);
	onc_reply(req, &g);
	talloc_free(tmp);
	return true;
}

/* ---- the whole ---- */

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
	/* schedd shares its VM with an entryd, which is a peer to it */
	c->name = talloc_asprintf(c, "%s%s", platform ? "" : SCHED_PREFIX, settings->vm);
	c->entries = json_object();
	c->deltas = json_array();
	c->vms = json_array();
	c->notes = g_hash_table_new(g_str_hash, g_str_equal);
	talloc_set_destructor(c, cluster_destructor);
	c->unanswered = settings->seed_count + (platform ? 2 : 0);
	for (unsigned int i = 0; i < settings->seed_count; i++) {
		c->seeds[i] = onc_client_new(c, ev, settings->seeds[i].ip, settings->seeds[i].port);
		pull_from(c, c->seeds[i]);
	}
	if (platform)
		on_poll(ev, NULL, base_timeval_in_ms(0), c);
	tevent_add_timer(ev, c, base_timeval_in_ms(GOSSIP_MS), on_gossip_timer, c);
	return c;
}

bool cluster_is_ready(const struct cluster *c)
{
	return c->version > 0 && c->vm_version > 0 && !c->unanswered;
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
	bool is_near = !strcmp(peer->failure_domain, c->settings->failure_domain);
	int64_t heard_ms = is_near ? HEARD_MS : HEARD_FAR_MS;

	if (!peer->client)
		return !c->is_draining;
	return peer->heard_at && !peer->is_draining &&
	       base_now() - peer->heard_at < heard_ms * BASE_NS_PER_MS;
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
	return c->contact_at && base_now() - c->contact_at < ms * BASE_NS_PER_MS;
}

bool cluster_has_scheduler(const struct cluster *c, int64_t ms)
{
	return c->scheduler_at && base_now() - c->scheduler_at < ms * BASE_NS_PER_MS;
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
