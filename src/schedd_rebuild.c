/**
 * DOC: schedd_rebuild - what a scheduler does between takeover and activity
 *
 * The queue is read from the table. What runs is asked of every backend
 * server, with the new epoch, which also fences the commands of the old
 * scheduler. A backend server that does not answer may still run something, so
 * a queued job that is found nowhere waits until such leases have lapsed.
 */
#include "schedd.h"

#include <string.h>

#define SCAN_ROWS 500
#define SCAN_MS 2000
#define RESERVE_AFTER_MS 20000
#define REBUILD_MS 2500 /* servers silent for this long are not waited for */

/* a read of one takeover; its answer may come during the next one */
struct rebuild_read {
	struct schedd *s;
	int64_t epoch;
};

static void scan(struct schedd *s, const char *after);
static void read_epoch_row(struct schedd *s);

static struct rebuild_read *rebuild_read_new(struct schedd *s)
{
	struct rebuild_read *r = talloc_zero(s, struct rebuild_read);

	r->s = s;
	r->epoch = s->epoch;
	return r;
}

/* whether the answer still belongs to the takeover under way */
static bool rebuild_read_end(struct rebuild_read *r)
{
	bool is_current = r->s->role == ROLE_REBUILDING && r->epoch == r->s->epoch;

	talloc_free(r);
	return is_current;
}

static void on_epoch_row(enum platform_result result, int64_t version, json_t *value, void *data)
{
	struct schedd *s = ((struct rebuild_read *)data)->s;

	if (!rebuild_read_end(data))
		return;
	if (result != PLATFORM_OK) {
		read_epoch_row(s);
		return;
	}
	if (base_json_int(value, "epoch", 0) != s->epoch) {
		lead_step_down(s, "the epoch row has changed");
		return;
	}
	s->epoch_row_version = version;
}

static void read_epoch_row(struct schedd *s)
{
	platform_read(s->platform, TABLE_EPOCH, s->settings->failure_domain,
		      base_deadline_in(SCAN_MS), on_epoch_row, rebuild_read_new(s));
}

static void on_scanned(enum platform_result result, int64_t version G_GNUC_UNUSED, json_t *value,
		       void *data)
{
	struct schedd *s = ((struct rebuild_read *)data)->s;
	size_t prefix = strlen(s->settings->failure_domain) + 1;
	const char *last = NULL;
	size_t i;
	json_t *row;

	if (!rebuild_read_end(data))
		return;
	if (result != PLATFORM_OK) {
		scan(s, s->scan_after ? s->scan_after : "");
		return;
	}
	json_array_foreach(value, i, row) {
		last = base_json_str(row, "key", "");
		jobs_load(s, last + prefix, json_object_get(row, "value"),
			  base_json_int(row, "version", 0));
	}
	if (!last) {
		s->is_rebuild_scanned = true;
		sched_kick(s);
		return;
	}
	talloc_free(s->scan_after);
	s->scan_after = talloc_strdup(s, last);
	scan(s, s->scan_after);
}

static void scan(struct schedd *s, const char *after)
{
	char *prefix = talloc_asprintf(s, "%s/", s->settings->failure_domain);

	platform_scan(s->platform, TABLE_QUEUE, prefix, after, SCAN_ROWS, base_deadline_in(SCAN_MS),
		      on_scanned, rebuild_read_new(s));
	talloc_free(prefix);
}

void rebuild_start(struct schedd *s)
{
	struct policy_options opt = {.weight_percent = s->settings->weight_percent,
				     .reserve_after_ms = RESERVE_AFTER_MS,
				     .urgent_percent = s->settings->urgent_percent};

	s->role = ROLE_REBUILDING;
	s->is_rebuild_scanned = false;
	s->rebuild_deadline = base_deadline_in(REBUILD_MS);
	json_decref(s->found);
	s->found = json_object();
	jobs_drop_all(s);
	servers_forget_epoch(s);
	s->policy = policy_new(s, &opt);
	servers_update(s);
	sched_workspaces(s);
	TALLOC_FREE(s->scan_after);
	scan(s, "");
	read_epoch_row(s);
	servers_poll(s, base_now_ns());
}

void rebuild_task(struct schedd *s, struct backend_server *b, const json_t *task)
{
	const char *id = base_json_str(task, "job", "");
	json_t *list = json_object_get(s->found, id);
	json_t *copy = json_deep_copy(task);
	size_t i;
	json_t *old;

	json_object_set_new(copy, "server", json_string(b->id));
	if (!list) {
		list = json_array();
		json_object_set_new(s->found, id, list);
	}
	/* a later answer of the same server replaces its earlier one */
	json_array_foreach(list, i, old) {
		if (strcmp(base_json_str(old, "server", ""), b->id) ||
		    base_json_int(old, "attempt", 0) != base_json_int(task, "attempt", 0))
			continue;
		json_array_set_new(list, i, copy);
		return;
	}
	json_array_append_new(list, copy);
}

static bool is_any_server_silent(struct schedd *s)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!((struct backend_server *)value)->was_fenced)
			return true;
	return false;
}

static const json_t *newest_attempt(const json_t *tasks, int64_t *attempt)
{
	const json_t *newest = NULL;
	size_t i;
	json_t *t;

	*attempt = 0;
	json_array_foreach(tasks, i, t) {
		if (base_json_int(t, "attempt", 0) <= *attempt || !json_object_get(t, "record"))
			continue;
		*attempt = base_json_int(t, "attempt", 0);
		newest = t;
	}
	return newest;
}

static const json_t *task_on(const json_t *tasks, const char *server, int64_t attempt)
{
	size_t i;
	json_t *t;

	json_array_foreach(tasks, i, t) {
		if (base_json_int(t, "attempt", 0) == attempt &&
		    !strcmp(base_json_str(t, "server", ""), server))
			return t;
	}
	return NULL;
}

static enum member_state found_state(const struct member *m, const json_t *task)
{
	/* a server that has not answered may run it; its polls will tell */
	if (!task)
		return m->server->was_fenced ? MEMBER_GONE : MEMBER_RUNNING;
	switch (backend_state_parse(base_json_str(task, "state", ""))) {
	case BACKEND_PREPARED:
		return MEMBER_PREPARED;
	case BACKEND_RUNNING:
	case BACKEND_STOPPING:
		return MEMBER_RUNNING;
	case BACKEND_DONE:
		return MEMBER_DONE;
	case BACKEND_FAILED:
		return MEMBER_FAILED;
	default:
		return MEMBER_GONE;
	}
}

/* members and their states as the records and the servers tell; the number of places */
static unsigned int read_members(struct job *job, const json_t *tasks, const json_t *record,
				 struct policy_place *places)
{
	const json_t *servers = json_object_get(record, "servers");
	const json_t *counts = json_object_get(record, "tasks");
	unsigned int n = 0;
	size_t i;
	json_t *id;

	json_array_foreach(servers, i, id) {
		if (!g_hash_table_lookup(job->s->servers, json_string_value(id)))
			continue;
		places[n].server = json_string_value(id);
		places[n++].tasks = json_integer_value(json_array_get(counts, i));
	}
	gang_members_set(job, places, n);
	for (unsigned int k = 0; k < job->member_count; k++) {
		struct member *m = &job->members[k];
		const json_t *t = task_on(tasks, m->server->id, job->attempt);

		m->state = found_state(m, t);
		m->progress_ms = base_json_int(t, "progress_ms", job->checkpoint_ms);
		job->has_started = job->has_started || base_json_bool(t, "was_started", false);
	}
	return n;
}

static void rebuild_job(struct job *job, bool is_any_silent)
{
	struct schedd *s = job->s;
	const json_t *tasks = json_object_get(s->found, job->id);
	bool is_idempotent = base_json_bool(job->spec, "idempotent", false);
	int64_t recorded = job->attempt;
	int64_t attempt;
	const json_t *newest = newest_attempt(tasks, &attempt);
	const json_t *record = json_object_get(newest, "record");
	size_t room = json_array_size(json_object_get(record, "servers"));
	struct policy_place *places;

	if (newest) {
		places = talloc_zero_array(job, struct policy_place, (unsigned int)room);
		job->attempt = attempt;
		jobs_enqueue(job);
		gang_adopt(job, places, read_members(job, tasks, record, places));
		talloc_free(places);
		return;
	}
	if (!is_idempotent && recorded > 0 && !is_any_silent) {
		jobs_end(job, OUTCOME_UNKNOWN,
			 "its backend servers are gone and it must not run twice");
		return;
	}
	if (is_any_silent) {
		job->hold_until = base_deadline_in(sched_lapse_ms(s));
		job->is_held = true;
		return;
	}
	jobs_enqueue(job);
}

static void activate(struct schedd *s)
{
	bool is_any_silent = is_any_server_silent(s);
	GList *list = g_hash_table_get_values(s->jobs);

	s->role = ROLE_ACTIVE;
	cluster_set_epoch(s->cluster, s->epoch);
	for (GList *l = list; l; l = l->next)
		rebuild_job(l->data, is_any_silent);
	log_info("rebuilt", "%u jobs in the queue, %zu found at backend servers%s",
		 g_list_length(list), json_object_size(s->found),
		 is_any_silent ? ", some servers are silent" : "");
	g_list_free(list);
	sched_kick(s);
}

void rebuild_check(struct schedd *s, int64_t now)
{
	if (!s->is_rebuild_scanned || !s->epoch_row_version)
		return;
	if (is_any_server_silent(s) && now < s->rebuild_deadline)
		return;
	activate(s);
}

void rebuild_forgive(struct schedd *s, int64_t gap)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job *job = value;

		if (job->is_held)
			job->hold_until += gap;
	}
}

/* jobs held back until every server has answered or its leases have lapsed */
void rebuild_release_held(struct schedd *s, int64_t now)
{
	bool is_any_silent = is_any_server_silent(s);
	GList *list = g_hash_table_get_values(s->jobs);

	for (GList *l = list; l; l = l->next) {
		struct job *job = l->data;

		if (!job->is_held || job->state != JOB_QUEUED)
			continue;
		if (is_any_silent && job->hold_until > now)
			continue;
		job->is_held = false;
		rebuild_job(job, false);
	}
	g_list_free(list);
}
