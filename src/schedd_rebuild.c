/**
 * DOC: schedd_rebuild - restores the scheduler's state after a takeover
 *
 * The queue is read from the table. Every backend server is polled for its
 * tasks with the new epoch, which also makes the server reject the commands of the old
 * scheduler. A backend server that does not answer may still run tasks, so a
 * queued job without listed tasks is held until such leases have expired.
 */
#include "schedd.h"

#include <string.h>

#define SCAN_ROWS 500
#define SCAN_TIMEOUT_MS 2000
#define RESERVE_AFTER_MS 20000
#define REBUILD_TIMEOUT_MS 2500 /* then continue without the servers that have not answered */

/* a read for one takeover; its answer may arrive during the next one */
struct rebuild_read {
	struct schedd *s;
	int64_t epoch;
};

static void scan_queue(struct schedd *s, const char *after);
static void read_epoch_row(struct schedd *s);

static struct rebuild_read *rebuild_read_new(struct schedd *s)
{
	struct rebuild_read *r = talloc_zero(s, struct rebuild_read);

	r->s = s;
	r->epoch = s->epoch;
	return r;
}

/* returns whether the answer belongs to the rebuild in progress */
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
		      base_deadline_in(SCAN_TIMEOUT_MS), on_epoch_row, rebuild_read_new(s));
}

static void on_queue_rows(enum platform_result result, int64_t version G_GNUC_UNUSED, json_t *value,
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
		scan_queue(s, s->scan_cursor ? s->scan_cursor : "");
		return;
	}
	json_array_foreach(value, i, row) {
		last = base_json_str(row, "key", "");
		jobs_load(s, last + prefix, json_object_get(row, "value"),
			  base_json_int(row, "version", 0));
	}
	if (!last) {
		s->is_queue_scanned = true;
		sched_request_step(s);
		return;
	}
	talloc_free(s->scan_cursor);
	s->scan_cursor = talloc_strdup(s, last);
	scan_queue(s, s->scan_cursor);
}

static void scan_queue(struct schedd *s, const char *after)
{
	char *prefix = talloc_asprintf(s, "%s/", s->settings->failure_domain);

	platform_scan(s->platform, TABLE_QUEUE, prefix, after, SCAN_ROWS,
		      base_deadline_in(SCAN_TIMEOUT_MS), on_queue_rows, rebuild_read_new(s));
	talloc_free(prefix);
}

void rebuild_start(struct schedd *s)
{
	struct policy_options opt = {.weight_percent = s->settings->weight_percent,
				     .reserve_after_ms = RESERVE_AFTER_MS,
				     .urgent_percent = s->settings->urgent_percent};

	s->role = ROLE_REBUILDING;
	s->is_queue_scanned = false;
	s->rebuild_deadline = base_deadline_in(REBUILD_TIMEOUT_MS);
	json_decref(s->found_tasks);
	s->found_tasks = json_object();
	jobs_drop_all(s);
	servers_reset_epoch(s);
	s->policy = policy_new(s, &opt);
	servers_update(s);
	sched_update_workspaces(s);
	TALLOC_FREE(s->scan_cursor);
	scan_queue(s, "");
	read_epoch_row(s);
	servers_poll(s, base_now_ns());
}

void rebuild_add_task(struct schedd *s, struct backend_server *b, const json_t *task)
{
	const char *id = base_json_str(task, "job", "");
	json_t *list = json_object_get(s->found_tasks, id);
	json_t *copy = json_deep_copy(task);
	size_t i;
	json_t *old;

	json_object_set_new(copy, "server", json_string(b->id));
	if (!list) {
		list = json_array();
		json_object_set_new(s->found_tasks, id, list);
	}
	/* a later list of the same server replaces the task's earlier entry */
	json_array_foreach(list, i, old) {
		if (strcmp(base_json_str(old, "server", ""), b->id) ||
		    base_json_int(old, "attempt", 0) != base_json_int(task, "attempt", 0))
			continue;
		json_array_set_new(list, i, copy);
		return;
	}
	json_array_append_new(list, copy);
}

static bool is_any_server_unresponsive(struct schedd *s)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!((struct backend_server *)value)->has_seen_epoch)
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

static const json_t *find_task(const json_t *tasks, const char *server, int64_t attempt)
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

static enum member_state rebuilt_member_state(const struct member *m, const json_t *task)
{
	/* a server that has not answered may run the task; a later poll decides */
	if (!task)
		return m->server->has_seen_epoch ? MEMBER_GONE : MEMBER_RUNNING;
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

/*
 * Sets the members from the task's record and their states from the servers' lists.
 * Returns the number of entries filled in @places.
 */
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
		const json_t *t = find_task(tasks, m->server->id, job->attempt);

		m->state = rebuilt_member_state(m, t);
		m->progress_ms = base_json_int(t, "progress_ms", job->checkpoint_ms);
		job->has_started = job->has_started || base_json_bool(t, "was_started", false);
	}
	return n;
}

static void rebuild_job(struct job *job, bool is_any_unresponsive)
{
	struct schedd *s = job->s;
	const json_t *tasks = json_object_get(s->found_tasks, job->id);
	bool is_idempotent = base_json_bool(job->spec, "idempotent", false);
	int64_t recorded_attempt = job->attempt;
	int64_t attempt;
	const json_t *newest = newest_attempt(tasks, &attempt);
	const json_t *record = json_object_get(newest, "record");
	size_t place_count = json_array_size(json_object_get(record, "servers"));
	struct policy_place *places;

	if (newest) {
		places = talloc_zero_array(job, struct policy_place, (unsigned int)place_count);
		job->attempt = attempt;
		jobs_enqueue(job);
		gang_adopt(job, places, read_members(job, tasks, record, places));
		talloc_free(places);
		return;
	}
	if (!is_idempotent && recorded_attempt > 0 && !is_any_unresponsive) {
		jobs_end(job, OUTCOME_UNKNOWN,
			 "its backend servers are gone and it must not run twice");
		return;
	}
	if (is_any_unresponsive) {
		job->hold_until = base_deadline_in(sched_lease_expiry_ms(s));
		job->is_held = true;
		return;
	}
	jobs_enqueue(job);
}

static void activate(struct schedd *s)
{
	bool is_any_unresponsive = is_any_server_unresponsive(s);
	GList *list = g_hash_table_get_values(s->jobs);

	s->role = ROLE_ACTIVE;
	cluster_set_epoch(s->cluster, s->epoch);
	for (GList *l = list; l; l = l->next)
		rebuild_job(l->data, is_any_unresponsive);
	log_info("rebuilt", "%u jobs in the queue, %zu with tasks on backend servers%s",
		 g_list_length(list), json_object_size(s->found_tasks),
		 is_any_unresponsive ? ", some servers have not answered" : "");
	g_list_free(list);
	sched_request_step(s);
}

void rebuild_finish_if_ready(struct schedd *s, int64_t now)
{
	if (!s->is_queue_scanned || !s->epoch_row_version)
		return;
	if (is_any_server_unresponsive(s) && now < s->rebuild_deadline)
		return;
	activate(s);
}

void rebuild_exclude_stall(struct schedd *s, int64_t gap)
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

/* every server must have answered, or the leases of the others have expired */
void rebuild_enqueue_held(struct schedd *s, int64_t now)
{
	bool is_any_unresponsive = is_any_server_unresponsive(s);
	GList *list = g_hash_table_get_values(s->jobs);

	for (GList *l = list; l; l = l->next) {
		struct job *job = l->data;

		if (!job->is_held || job->state != JOB_QUEUED)
			continue;
		if (is_any_unresponsive && job->hold_until > now)
			continue;
		job->is_held = false;
		rebuild_job(job, false);
	}
	g_list_free(list);
}
