/**
 * DOC: schedd_servers - polling of backend servers, their loss and quarantine
 */
#include "schedd.h"

#include <string.h>

#define POLL_MS 400	  /* between polls of a server that runs something */
#define POLL_IDLE_MS 3000 /* ... that runs nothing */
#define POLLS_PER_TICK 8  /* bounds the rate whatever the fleet's size */
#define POLL_CALL_MS 1500
#define CUT_OFF_PERCENT 80
#define JOBS_TO_QUARANTINE 3 /* distinct jobs that fail there in a row */
#define QUARANTINE_MS 15000
#define QUARANTINE_DOUBLINGS 6

static struct backend_server *server_get(struct schedd *s, const json_t *vm)
{
	const char *id = base_json_str(vm, "id", "");
	struct backend_server *b = g_hash_table_lookup(s->servers, id);

	if (!b) {
		b = talloc_zero(s, struct backend_server);
		b->id = talloc_strdup(b, id);
		b->failed_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
		b->answered_at = base_now_ns();
		g_hash_table_insert(s->servers, b->id, b);
	}
	talloc_free(b->base);
	talloc_free(b->rack);
	b->base = talloc_asprintf(b, "http://%s", base_json_str(vm, "address", ""));
	b->rack = talloc_strdup(b, base_json_str(vm, "rack", ""));
	b->accelerators = base_json_int(vm, "accelerators", 0);
	b->is_listed_live = !strcmp(base_json_str(vm, "state", "live"), "live");
	return b;
}

static void set_usable(struct schedd *s, struct backend_server *b)
{
	bool is_usable = b->is_listed_live && !b->unanswered_since &&
			 b->quarantined_until <= base_now_ns() &&
			 cluster_note_of(s->cluster, b->id) == NOTE_LIVE;

	enum policy_server_state state = POLICY_SERVER_GONE;

	if (is_usable)
		state = POLICY_SERVER_USABLE;
	else if (b->is_listed_live)
		state = POLICY_SERVER_AWAY;
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
			server_get(s, vm);
	}
	if (!s->policy)
		return;
	g_hash_table_iter_init(&iter, s->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		set_usable(s, value);
	sched_kick(s);
}

/* ---- evidence ---- */

void servers_worked(struct backend_server *b)
{
	g_hash_table_remove_all(b->failed_jobs);
	b->quarantines = 0;
}

/* one bad job fails everywhere; a bad server fails several jobs */
void servers_failed(struct schedd *s, struct backend_server *b, const char *job)
{
	unsigned int doublings;

	g_hash_table_add(b->failed_jobs, g_strdup(job));
	/* a server back from quarantine is on probation: one failure is enough */
	if (g_hash_table_size(b->failed_jobs) < JOBS_TO_QUARANTINE && !b->quarantines)
		return;
	doublings = MIN(b->quarantines, QUARANTINE_DOUBLINGS);
	b->quarantines++;
	b->quarantined_until = base_deadline_in((int64_t)QUARANTINE_MS << doublings);
	g_hash_table_remove_all(b->failed_jobs);
	sched_count(s, SCHED_QUARANTINES);
	log_warn("quarantine", "%s failed jobs that run elsewhere", b->id);
	set_usable(s, b);
}

/* ---- polling ---- */

struct poll {
	struct schedd *s;
	struct backend_server *server;
	int64_t epoch;
	int64_t sent_at;
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

/* members that the server should have but does not: it was replaced, or a lease lapsed */
static void find_missing(struct schedd *s, struct backend_server *b, const json_t *tasks,
			 int64_t asked_at)
{
	GHashTableIter iter;
	gpointer value;

	if (!b->jobs)
		return;
	g_hash_table_iter_init(&iter, s->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job *job = value;

		for (unsigned int i = 0; i < job->member_count; i++) {
			struct member *m = &job->members[i];

			/* a list made before the start cannot hold the member */
			if (m->server == b && m->state == MEMBER_RUNNING && !m->is_calling &&
			    m->running_at < asked_at && !is_listed(tasks, m))
				gang_missing(m);
		}
	}
}

static void stop_orphan(struct schedd *s, struct backend_server *b, const json_t *task);

/* evidence that arrives late for a job whose fate is still open */
static bool is_of_held_job(struct schedd *s, const json_t *task)
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
	int64_t asked_at = p->sent_at;
	bool is_current =
		s->epoch == p->epoch && (s->role == ROLE_ACTIVE || s->role == ROLE_REBUILDING);
	size_t i;
	json_t *task;

	talloc_free(p);
	b->is_polling = false;
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
		set_usable(s, b);
		return;
	}
	b->answered_at = base_now_ns();
	b->unanswered_since = 0;
	b->is_given_up = false;
	b->was_fenced = true;
	cluster_note(s->cluster, b->id, reply->is_leaving ? NOTE_LEAVING : NOTE_LIVE);
	set_usable(s, b);
	if (s->role == ROLE_ACTIVE)
		find_missing(s, b, tasks, asked_at);
	json_array_foreach(tasks, i, task) {
		if (s->role == ROLE_REBUILDING || is_of_held_job(s, task))
			rebuild_task(s, b, task);
		else if (!gang_observe(s, b, task))
			stop_orphan(s, b, task);
	}
	sched_kick(s);
}

static void poll_server(struct schedd *s, struct backend_server *b)
{
	struct poll *p = talloc_zero(s, struct poll);
	struct backend_target target = sched_target(s, b);

	p->s = s;
	p->server = b;
	p->epoch = s->epoch;
	p->sent_at = base_now_ns();
	b->is_polling = true;
	b->polled_at = base_now_ns();
	sched_count(s, SCHED_POLLS);
	backend_task_call(&target, BACKEND_TASK_FENCE,
			  json_pack("{sI sI}", "epoch", (json_int_t)s->epoch, "lease_ms",
				    (json_int_t)s->settings->lease_ms),
			  b->unanswered_since != 0, base_deadline_in(POLL_CALL_MS), on_polled, p);
}

static void on_orphan_stopped(const struct backend_reply *reply G_GNUC_UNUSED,
			      void *data G_GNUC_UNUSED)
{
}

/* a task of a job that has ended, or of an attempt that was given up */
static void stop_orphan(struct schedd *s, struct backend_server *b, const json_t *task)
{
	struct backend_target target = sched_target(s, b);
	enum backend_state state = backend_state_parse(base_json_str(task, "state", ""));
	bool is_over = state == BACKEND_DONE || state == BACKEND_FAILED || state == BACKEND_STOPPED;

	sched_count(s, SCHED_ORPHANS);
	backend_task_call(&target, is_over ? BACKEND_TASK_FORGET : BACKEND_TASK_STOP,
			  json_pack("{sI ss sI}", "epoch", (json_int_t)s->epoch, "job",
				    base_json_str(task, "job", ""), "attempt",
				    (json_int_t)base_json_int(task, "attempt", 0)),
			  false, base_deadline_in(POLL_CALL_MS), on_orphan_stopped, NULL);
}

/* nobody renews there any more, so what ran there has stopped */
static void check_given_up(struct schedd *s, struct backend_server *b, int64_t now)
{
	if (!b->unanswered_since || b->is_given_up)
		return;
	if (now - b->unanswered_since > s->settings->lease_ms * BASE_NS_PER_MS)
		cluster_note(s->cluster, b->id, NOTE_LOST);
	if (now - b->unanswered_since <= sched_lapse_ms(s) * BASE_NS_PER_MS)
		return;
	b->is_given_up = true;
	gang_server_given_up(s, b);
}

/* most servers have been silent for a lease; it is more likely that this VM is cut off */
static bool is_cut_off(struct schedd *s, int64_t now)
{
	GHashTableIter iter;
	gpointer value;
	unsigned int listed = 0;
	unsigned int silent = 0;

	g_hash_table_iter_init(&iter, s->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct backend_server *b = value;

		listed += b->is_listed_live;
		silent += b->is_listed_live && b->unanswered_since &&
			  now - b->unanswered_since > s->settings->lease_ms * BASE_NS_PER_MS;
	}
	return listed && silent * 100 >= listed * CUT_OFF_PERCENT;
}

void servers_poll(struct schedd *s, int64_t now)
{
	GHashTableIter iter;
	gpointer value;
	unsigned int sent = 0;
	unsigned int limit = s->role == ROLE_REBUILDING ? 1000 : POLLS_PER_TICK;
	unsigned int skipped = 0;
	unsigned int n = g_hash_table_size(s->servers);

	if (!n)
		return;
	if (s->role == ROLE_ACTIVE && is_cut_off(s, now))
		lead_hand_over(s);
	s->poll_cursor = s->poll_cursor % n;
	g_hash_table_iter_init(&iter, s->servers);
	for (unsigned int round = 0; round < 2; round++) {
		/* starts behind the server polled last, so that none is starved */
		g_hash_table_iter_init(&iter, s->servers);
		for (skipped = 0; g_hash_table_iter_next(&iter, NULL, &value) && sent < limit;
		     skipped++) {
			struct backend_server *b = value;
			int64_t pause_ms = b->jobs ? POLL_MS : POLL_IDLE_MS;

			if ((round == 0) != (skipped >= s->poll_cursor))
				continue;
			check_given_up(s, b, now);
			if (b->quarantined_until && b->quarantined_until <= now) {
				b->quarantined_until = 0;
				set_usable(s, b);
			}
			if (b->is_polling ||
			    (b->was_fenced && now - b->polled_at < pause_ms * BASE_NS_PER_MS))
				continue;
			poll_server(s, b);
			if (++sent == limit)
				s->poll_cursor = skipped + 1;
		}
	}
}

void servers_forgive(struct schedd *s, int64_t gap)
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

void servers_forget_epoch(struct schedd *s)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct backend_server *b = value;

		b->was_fenced = false;
		b->jobs = 0;
		b->unanswered_since = 0;
		b->is_given_up = false;
	}
}
