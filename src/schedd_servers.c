/**
 * DOC: schedd_servers - polling, expiry and quarantine of backend servers
 */
#include "schedd.h"

#include <string.h>

#define POLL_BUSY_INTERVAL_MS 400  /* between polls of a server with members */
#define POLL_IDLE_INTERVAL_MS 3000 /* between polls of a server without members */
#define POLLS_PER_TICK 8	   /* limits the rate of polls for any fleet size */
#define POLL_TIMEOUT_MS 1500
#define ISOLATED_PERCENT 80
#define QUARANTINE_FAILED_JOBS 3 /* distinct jobs failed since the last success */
#define QUARANTINE_MS 15000
#define QUARANTINE_DOUBLINGS 6

static struct backend_server *update_listed_server(struct schedd *s, const json_t *vm)
{
	const char *id = base_json_str(vm, "id", "");
	struct backend_server *b = g_hash_table_lookup(s->servers, id);

	if (!b) {
		b = talloc_zero(s, struct backend_server);
		b->id = talloc_strdup(b, id);
		b->failed_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
		b->last_answer_at = base_now_ns();
		g_hash_table_insert(s->servers, b->id, b);
	}
	talloc_free(b->base_url);
	talloc_free(b->rack);
	b->base_url = talloc_asprintf(b, "http://%s", base_json_str(vm, "address", ""));
	b->rack = talloc_strdup(b, base_json_str(vm, "rack", ""));
	b->accelerators = base_json_int(vm, "accelerators", 0);
	b->is_listed_live = !strcmp(base_json_str(vm, "state", "live"), "live");
	return b;
}

static void update_policy_server(struct schedd *s, struct backend_server *b)
{
	bool is_usable = b->is_listed_live && !b->unanswered_since &&
			 b->quarantined_until <= base_now_ns() &&
			 cluster_note_get(s->cluster, b->id) == NOTE_LIVE;

	enum policy_server_state state = POLICY_SERVER_REMOVED;

	if (is_usable)
		state = POLICY_SERVER_USABLE;
	else if (b->is_listed_live)
		state = POLICY_SERVER_UNAVAILABLE;
	policy_server_set(s->policy, b->id, b->rack, b->accelerators, state);
}

void servers_update(struct schedd *s)
{
	GHashTableIter iter;
	gpointer value;
	size_t i;
	json_t *vm;

	g_hash_table_iter_init(&iter, s->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct backend_server *)value)->is_listed_live = false;
	json_array_foreach(cluster_vms(s->cluster), i, vm) {
		if (!strcmp(base_json_str(vm, "role", ""), "backend") &&
		    !strcmp(base_json_str(vm, "failure_domain", ""), s->settings->failure_domain))
			update_listed_server(s, vm);
	}
	if (!s->policy)
		return;
	g_hash_table_iter_init(&iter, s->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		update_policy_server(s, value);
	sched_request_step(s);
}

/* ---- quarantine ---- */

void servers_record_success(struct backend_server *b)
{
	g_hash_table_remove_all(b->failed_jobs);
	b->quarantines = 0;
}

/* distinct jobs are counted: one faulty job fails everywhere, a faulty server fails several */
void servers_record_failure(struct schedd *s, struct backend_server *b, const char *job)
{
	unsigned int doublings;

	g_hash_table_add(b->failed_jobs, g_strdup(job));
	/* after a quarantine the server is on probation: a single failure quarantines it again */
	if (g_hash_table_size(b->failed_jobs) < QUARANTINE_FAILED_JOBS && !b->quarantines)
		return;
	doublings = MIN(b->quarantines, QUARANTINE_DOUBLINGS);
	b->quarantines++;
	b->quarantined_until = base_deadline_in((int64_t)QUARANTINE_MS << doublings);
	g_hash_table_remove_all(b->failed_jobs);
	sched_count(s, SCHED_QUARANTINES);
	log_warn("quarantine", "%s quarantined after task failures", b->id);
	update_policy_server(s, b);
}

/* ---- polling ---- */

struct poll {
	struct schedd *s;
	struct backend_server *server;
	int64_t epoch;
	int64_t requested_at;
};

static bool is_listed(const json_t *tasks, const struct member *m)
{
	size_t i;
	json_t *t;

	json_array_foreach(tasks, i, t) {
		if (base_json_int(t, "attempt", 0) == m->job->attempt &&
		    !strcmp(base_json_str(t, "job", ""), m->job->id))
			return true;
	}
	return false;
}

/* marks members that the server does not list: it was replaced, or a lease expired */
static void mark_missing_members(struct schedd *s, struct backend_server *b, const json_t *tasks,
				 int64_t list_requested_at)
{
	GHashTableIter iter;
	gpointer value;

	if (!b->job_count)
		return;
	g_hash_table_iter_init(&iter, s->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job *job = value;

		for (unsigned int i = 0; i < job->member_count; i++) {
			struct member *m = &job->members[i];

			/* a list requested before the start need not contain the member */
			if (m->server == b && m->state == MEMBER_RUNNING && !m->is_call_pending &&
			    m->running_at < list_requested_at && !is_listed(tasks, m))
				gang_mark_member_gone(m);
		}
	}
}

static void stop_orphan(struct schedd *s, struct backend_server *b, const json_t *task);

/* a held job is still to be rebuilt, and its tasks may be listed only now */
static bool is_job_held(struct schedd *s, const json_t *task)
{
	const struct job *job = g_hash_table_lookup(s->jobs, base_json_str(task, "job", ""));

	return job && job->is_held;
}

static void on_polled(const struct backend_reply *reply, void *data)
{
	struct poll *p = data;
	struct schedd *s = p->s;
	struct backend_server *b = p->server;
	const json_t *tasks = json_object_get(reply->doc, "tasks");
	int64_t list_requested_at = p->requested_at;
	bool is_current =
		s->epoch == p->epoch && (s->role == ROLE_ACTIVE || s->role == ROLE_REBUILDING);
	size_t i;
	json_t *task;

	talloc_free(p);
	b->is_poll_pending = false;
	if (!is_current)
		return;
	if (reply->type == BACKEND_REFUSED && reply->refusal == BACKEND_REFUSED_STALE) {
		sched_count(s, SCHED_STALE);
		lead_step_down(s, "a backend server has seen a higher epoch");
		return;
	}
	if (reply->type != BACKEND_STATE) {
		if (!b->unanswered_since)
			b->unanswered_since = base_now_ns();
		update_policy_server(s, b);
		return;
	}
	b->last_answer_at = base_now_ns();
	b->unanswered_since = 0;
	b->is_expired = false;
	b->has_seen_epoch = true;
	cluster_note_set(s->cluster, b->id, reply->is_leaving ? NOTE_LEAVING : NOTE_LIVE);
	update_policy_server(s, b);
	if (s->role == ROLE_ACTIVE)
		mark_missing_members(s, b, tasks, list_requested_at);
	json_array_foreach(tasks, i, task) {
		if (s->role == ROLE_REBUILDING || is_job_held(s, task))
			rebuild_add_task(s, b, task);
		else if (!gang_apply_listed_task(s, b, task))
			stop_orphan(s, b, task);
	}
	sched_request_step(s);
}

static void poll_server(struct schedd *s, struct backend_server *b)
{
	struct poll *p = talloc_zero(s, struct poll);
	struct backend_target target = sched_backend_target(s, b);

	p->s = s;
	p->server = b;
	p->epoch = s->epoch;
	p->requested_at = base_now_ns();
	b->is_poll_pending = true;
	b->last_poll_at = base_now_ns();
	sched_count(s, SCHED_POLLS);
	backend_task_call(&target, BACKEND_TASK_FENCE,
			  json_pack("{sI sI}", "epoch", (json_int_t)s->epoch, "lease_ms",
				    (json_int_t)s->settings->lease_ms),
			  b->unanswered_since != 0, base_deadline_in(POLL_TIMEOUT_MS), on_polled,
			  p);
}

static void on_orphan_stopped(const struct backend_reply *reply G_GNUC_UNUSED,
			      void *data G_GNUC_UNUSED)
{
}

/* has the server stop a task of an ended job or old attempt, or forget it if it has ended */
static void stop_orphan(struct schedd *s, struct backend_server *b, const json_t *task)
{
	struct backend_target target = sched_backend_target(s, b);
	enum backend_state state = backend_state_parse(base_json_str(task, "state", ""));
	bool has_ended =
		state == BACKEND_DONE || state == BACKEND_FAILED || state == BACKEND_STOPPED;

	sched_count(s, SCHED_ORPHANS);
	backend_task_call(&target, has_ended ? BACKEND_TASK_FORGET : BACKEND_TASK_STOP,
			  json_pack("{sI ss sI}", "epoch", (json_int_t)s->epoch, "job",
				    base_json_str(task, "job", ""), "attempt",
				    (json_int_t)base_json_int(task, "attempt", 0)),
			  false, base_deadline_in(POLL_TIMEOUT_MS), on_orphan_stopped, NULL);
}

/* after sched_lease_expiry_ms() without an answer, all leases and thus all tasks have ended */
static void check_expired(struct schedd *s, struct backend_server *b, int64_t now)
{
	if (!b->unanswered_since || b->is_expired)
		return;
	if (now - b->unanswered_since > s->settings->lease_ms * BASE_NS_PER_MS)
		cluster_note_set(s->cluster, b->id, NOTE_LOST);
	if (now - b->unanswered_since <= sched_lease_expiry_ms(s) * BASE_NS_PER_MS)
		return;
	b->is_expired = true;
	gang_server_expired(s, b);
}

/*
 * When most servers have not answered for a lease time, this VM is more likely
 * isolated than all of them down.
 */
static bool is_isolated(struct schedd *s, int64_t now)
{
	GHashTableIter iter;
	gpointer value;
	unsigned int listed = 0;
	unsigned int unresponsive = 0;

	g_hash_table_iter_init(&iter, s->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct backend_server *b = value;

		listed += b->is_listed_live;
		unresponsive += b->is_listed_live && b->unanswered_since &&
				now - b->unanswered_since > s->settings->lease_ms * BASE_NS_PER_MS;
	}
	return listed && unresponsive * 100 >= listed * ISOLATED_PERCENT;
}

void servers_poll(struct schedd *s, int64_t now)
{
	GHashTableIter iter;
	gpointer value;
	unsigned int sent = 0;
	unsigned int limit = s->role == ROLE_REBUILDING ? 1000 : POLLS_PER_TICK;
	unsigned int position = 0;
	unsigned int n = g_hash_table_size(s->servers);

	if (!n)
		return;
	if (s->role == ROLE_ACTIVE && is_isolated(s, now))
		lead_hand_over(s);
	s->poll_cursor = s->poll_cursor % n;
	g_hash_table_iter_init(&iter, s->servers);
	for (unsigned int round = 0; round < 2; round++) {
		/* starts after the server polled last, so that all servers are polled equally often
		 */
		g_hash_table_iter_init(&iter, s->servers);
		for (position = 0; g_hash_table_iter_next(&iter, NULL, &value) && sent < limit;
		     position++) {
			struct backend_server *b = value;
			int64_t interval_ms =
				b->job_count ? POLL_BUSY_INTERVAL_MS : POLL_IDLE_INTERVAL_MS;

			if ((round == 0) != (position >= s->poll_cursor))
				continue;
			check_expired(s, b, now);
			if (b->quarantined_until && b->quarantined_until <= now) {
				b->quarantined_until = 0;
				update_policy_server(s, b);
			}
			if (b->is_poll_pending ||
			    (b->has_seen_epoch &&
			     now - b->last_poll_at < interval_ms * BASE_NS_PER_MS))
				continue;
			poll_server(s, b);
			if (++sent == limit)
				s->poll_cursor = position + 1;
		}
	}
}

void servers_exclude_stall(struct schedd *s, int64_t gap)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct backend_server *b = value;

		if (b->unanswered_since)
			b->unanswered_since += gap;
	}
}

void servers_reset_epoch(struct schedd *s)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct backend_server *b = value;

		b->has_seen_epoch = false;
		b->job_count = 0;
		b->unanswered_since = 0;
		b->is_expired = false;
	}
}
