/**
 * DOC: policy - queue, reservation, decisions and jobs
 */
#include "internal.h"

#include <stdlib.h>
#include <string.h>

/* ---- the queue ---- */

static int compare_jobs(gconstpointer a, gconstpointer b, gpointer data G_GNUC_UNUSED)
{
	const struct policy_job *x = a;
	const struct policy_job *y = b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	return strcmp(x->spec.id, y->spec.id);
}

/*
 * The rank is fixed when a job is queued, and the penalties and bonuses are
 * bounded. Except for urgent jobs, a job therefore ranks before all that arrive
 * later than the sum of the bounds, which prevents starvation.
 */
static int64_t job_rank(const struct policy *p, const struct policy_job *job)
{
	int64_t w = p->opt.weight_percent;
	int64_t run = pol_estimate(job->kind, job->spec.run_ms, 0);
	int64_t size = job->spec.tasks * job->spec.accelerators;
	int64_t rank = job->queued_at;

	rank += (100 - w) * MIN(run, RUN_PENALTY_MAX_MS) / 100;
	rank -= w * MIN(size * SIZE_BONUS_MS, SIZE_BONUS_MAX_MS) / 100;
	switch (job->spec.cls) {
	case CLASS_URGENT:
		return job->queued_at - URGENT_OFFSET_MS;
	case CLASS_BATCH:
		return rank + BATCH_OFFSET_MS;
	case CLASS_NORMAL:
	case CLASS_COUNT:
		break;
	}
	return rank;
}

void pol_enqueue(struct policy *p, struct policy_job *job)
{
	job->state = POLICY_QUEUED;
	job->wait = POLICY_WAIT_NEW;
	job->is_new = true;
	p->has_new_jobs = true;
	job->rank = job_rank(p, job);
	job->queue_pos = g_sequence_insert_sorted(p->queue, job, compare_jobs, NULL);
}

static void dequeue(struct policy_job *job)
{
	if (job->queue_pos)
		g_sequence_remove(job->queue_pos);
	job->queue_pos = NULL;
}

static void clear_reservation(struct policy *p)
{
	p->reserved_for = NULL;
	memset(p->reserved_rack->data, 0, p->reserved_rack->len);
}

/* slots of a rack if no job were running; @only_usable leaves out unavailable servers */
static int64_t rack_slots_when_empty(const struct search *q, int rack, bool only_usable)
{
	const GArray *list = rack_at(q->p, rack)->servers;
	const struct policy_job *job = q->job;
	int64_t slots = 0;

	for (guint i = 0; i < list->len; i++) {
		const struct server *s = server_at(q->p, g_array_index(list, int, i));
		const struct allocation *alloc = pol_allocation_find(s, job->ws);
		int64_t capacity = (only_usable ? s->usable : s->is_expected) ? s->capacity : 0;

		/* the cells of an unavailable server are unbound, so its whole capacity counts */
		if (!job->spec.checkpointable && s->usable)
			capacity = MAX(pol_server_unguaranteed(s), 0) +
				   (alloc ? alloc->guaranteed : 0);
		slots += capacity / job->spec.accelerators;
	}
	return slots;
}

/*
 * Reserves one rack that holds the whole gang, else several that together do:
 * those expected to be idle earliest.
 */
static void make_reservation(struct policy *p, struct policy_job *job, int64_t now)
{
	struct search q = {.p = p, .job = job};
	GArray *order = g_array_new(FALSE, FALSE, 2 * sizeof(int64_t));
	int64_t remaining = job->spec.tasks;
	int64_t reservable_slots = 0;
	bool fits_one_rack = false;

	for (guint r = 0; r < p->racks->len; r++) {
		int64_t slots = rack_slots_when_empty(&q, (int)r, true);
		/* sorted by earliest expected idle time, then by rack index */
		int64_t pair[2] = {-rack_at(p, (int)r)->busy_until, r};

		if (slots >= job->spec.tasks && !fits_one_rack) {
			fits_one_rack = true;
			g_array_set_size(order, 0);
		}
		if (slots > 0 && (!fits_one_rack || slots >= job->spec.tasks))
			g_array_append_vals(order, pair, 1);
	}
	for (guint i = 0; i < order->len; i++)
		reservable_slots += rack_slots_when_empty(
			&q, (int)((int64_t *)(void *)order->data)[2 * i + 1], true);
	/*
	 * Servers may have failed since the job was admitted. Racks reserved for a job
	 * that cannot start would starve all others.
	 */
	if (reservable_slots < remaining || (job->spec.one_rack && !fits_one_rack)) {
		g_array_free(order, TRUE);
		return;
	}
	g_array_sort(order, pol_compare_rack_scores);
	p->reserved_for = job;
	p->reservation_start = now;
	for (guint i = 0; i < order->len && remaining > 0; i++) {
		int64_t *pair = (int64_t *)(void *)(order->data + i * 2 * sizeof(int64_t));

		g_array_index(p->reserved_rack, char, pair[1]) = 1;
		p->reservation_start = MAX(p->reservation_start, -pair[0]);
		remaining -= rack_slots_when_empty(&q, (int)pair[1], true);
	}
	job->wait = POLICY_WAIT_RESERVATION;
	g_array_free(order, TRUE);
}

/* the remaining accelerators are headroom, where urgent jobs can preempt whatever runs */
static int64_t non_preemptible_limit(const struct policy *p)
{
	return p->usable_total * (100 - p->opt.urgent_percent) / 100;
}

/* computed from the whole fleet, so that the limit does not shrink while servers are unavailable */
static int64_t share_limit(const struct policy *p, const struct policy_spec *spec)
{
	return p->expected_total * spec->share_percent / 100;
}

static bool is_over_quota(const struct policy *p, const struct policy_job *job)
{
	const struct workspace *ws = workspace_at(p, job->ws);
	int64_t need = job->spec.tasks * job->spec.accelerators;

	if (ws->quota && ws->used + need > ws->quota)
		return true;
	return share_limit(p, &job->spec) && job->kind->used + need > share_limit(p, &job->spec);
}

static void mark_backfill(const struct search *q, int64_t now)
{
	const struct policy *p = q->p;
	struct policy_job *job = q->job;

	job->is_backfill = false;
	if (!p->reserved_for || p->reserved_for == job || !job->spec.checkpointable ||
	    job->spec.cls == CLASS_URGENT || pol_ends_before_reservation(p, job, now))
		return;
	for (guint i = 0; i < q->servers->len; i++) {
		const struct server *s = server_at(p, g_array_index(q->servers, int, i));

		if (g_array_index(p->reserved_rack, char, s->rack))
			job->is_backfill = true;
	}
}

/* the accelerators of the job that holds the reservation count as used, like its racks */
static bool is_over_non_preemptible_limit(const struct policy *p, const struct policy_job *job,
					  int64_t now)
{
	const struct workspace *ws = workspace_at(p, job->ws);
	const struct policy_job *reserved_job = p->reserved_for;
	int64_t need = job->spec.tasks * job->spec.accelerators;

	if (!pol_is_non_preemptible(&job->spec) || ws->used + need <= ws->guaranteed)
		return false;
	if (reserved_job && reserved_job != job && pol_is_non_preemptible(&reserved_job->spec) &&
	    !pol_ends_before_reservation(p, job, now))
		need += reserved_job->spec.tasks * reserved_job->spec.accelerators;
	return p->non_preemptible_used + need > non_preemptible_limit(p);
}

static void job_place(struct policy *p, struct search *q, int64_t now)
{
	struct policy_job *job = q->job;

	dequeue(job);
	mark_backfill(q, now);
	if (p->reserved_for == job)
		clear_reservation(p);
	pol_job_allocate(p, job, (const int *)(void *)q->servers->data,
			 (const int64_t *)(void *)q->tasks->data, q->servers->len, now);
	if (q->stage == STAGE_FREE) {
		job->state = POLICY_PLACED;
		job->wait = POLICY_WAIT_NONE;
		pol_push_decision(p, POLICY_START, job);
		return;
	}
	job->state = POLICY_AWAITING_PREEMPTION;
	job->stage = (int)q->stage;
	job->wait = POLICY_WAIT_PREEMPTION;
	g_ptr_array_add(p->awaiting_preemption, job);
	for (unsigned int i = 0; i < job->place_count; i++)
		pol_stop_victims(p, job, job->place_servers[i], q->stage);
}

static bool try_place_job(struct policy *p, struct policy_job *job, int64_t now)
{
	struct search q = {.p = p, .job = job};
	bool found = false;

	job->is_new = false;
	if (is_over_quota(p, job)) {
		job->wait = POLICY_WAIT_QUOTA;
		return false;
	}
	q.servers = g_array_new(FALSE, FALSE, sizeof(int));
	q.tasks = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (int stage = STAGE_FREE; stage < STAGE_COUNT && !found; stage++) {
		q.stage = (enum stage)stage;
		if (q.stage == STAGE_RESERVED && p->reserved_for != job)
			continue;
		if (q.stage == STAGE_RECLAIM && !workspace_at(p, job->ws)->cell_servers->len)
			continue;
		if (q.stage == STAGE_URGENT && job->spec.cls != CLASS_URGENT)
			continue;
		if (q.stage < STAGE_RECLAIM && is_over_non_preemptible_limit(p, job, now))
			continue;
		found = pol_search_run(&q, now);
	}
	if (found)
		job_place(p, &q, now);
	else if (job->wait != POLICY_WAIT_RESERVATION)
		job->wait = POLICY_WAIT_CAPACITY;
	g_array_free(q.servers, TRUE);
	g_array_free(q.tasks, TRUE);
	return found;
}

static void start_ready_jobs(struct policy *p)
{
	for (guint i = p->awaiting_preemption->len; i-- > 0;) {
		struct policy_job *job;

		if (i >= p->awaiting_preemption->len)
			continue; /* pol_stop_victims() removed jobs from the array */
		job = g_ptr_array_index(p->awaiting_preemption, i);
		if (!pol_placement_fits(p, job)) {
			/* other jobs may have been placed on its servers after it */
			for (unsigned int k = 0; k < job->place_count; k++)
				pol_stop_victims(p, job, job->place_servers[k],
						 (enum stage)job->stage);
			if (pol_is_preemption_stalled(p, job)) {
				pol_job_release(p, job);
				pol_enqueue(p, job);
			}
			continue;
		}
		g_ptr_array_remove_index_fast(p->awaiting_preemption, i);
		job->state = POLICY_PLACED;
		job->wait = POLICY_WAIT_NONE;
		pol_push_decision(p, POLICY_START, job);
	}
}

/*
 * Smallest number of tasks that found no placement in this pass, by
 * checkpointable and by accelerators per task. Jobs with as many tasks or more
 * are skipped, because they cannot be placed either.
 */
struct pass_memo {
	int64_t failed[2][POLICY_ACCELERATORS_MAX + 1];
};

static bool memo_excludes(const struct policy *p, const struct pass_memo *memo,
			  const struct policy_job *job)
{
	if (workspace_at(p, job->ws)->cell_servers->len || job->spec.cls == CLASS_URGENT ||
	    p->reserved_for)
		return false;
	return job->spec.tasks >= memo->failed[job->spec.checkpointable][job->spec.accelerators];
}

static void queue_pass(struct policy *p, int64_t now, bool only_new)
{
	GSequenceIter *it = g_sequence_get_begin_iter(p->queue);
	struct pass_memo memo;
	unsigned int evaluated = 0;

	for (int k = 0; k < 2; k++)
		for (int a = 0; a <= POLICY_ACCELERATORS_MAX; a++)
			memo.failed[k][a] = INT64_MAX;
	while (!g_sequence_iter_is_end(it) && evaluated < QUEUE_SCAN_MAX) {
		struct policy_job *job = g_sequence_get(it);

		it = g_sequence_iter_next(it); /* the job may leave the queue below */
		if ((only_new && !job->is_new) || memo_excludes(p, &memo, job))
			continue;
		evaluated++;
		if (try_place_job(p, job, now) || job->wait == POLICY_WAIT_QUOTA)
			continue;
		if (!job->spec.one_rack && job->spec.cls != CLASS_URGENT &&
		    !workspace_at(p, job->ws)->cell_servers->len) {
			int64_t *least =
				&memo.failed[job->spec.checkpointable][job->spec.accelerators];

			*least = MIN(*least, job->spec.tasks);
		}
		if (!p->reserved_for && now - job->queued_at >= p->opt.reserve_after_ms)
			make_reservation(p, job, now);
	}
}

bool policy_next_decision(struct policy *p, int64_t now, struct policy_decision *out)
{
	struct policy_decision *d;
	bool changed = p->capacity_changed;

	p->now = now;
	if (g_queue_is_empty(&p->decisions)) {
		if (p->bind_pending && changed)
			pol_bind_cells(p);
		p->capacity_changed = false;
		if (changed)
			start_ready_jobs(p);
		if (changed || p->has_new_jobs)
			queue_pass(p, now, !changed);
		p->has_new_jobs = false;
	}
	d = g_queue_pop_head(&p->decisions);
	if (!d)
		return false;
	*out = *d;
	talloc_free(d);
	return true;
}

/* ---- jobs ---- */

struct policy_job *policy_job_add(struct policy *p, const struct policy_spec *spec, int64_t now,
				  void *user)
{
	struct policy_job *job = talloc_zero(p, struct policy_job);

	job->spec = *spec;
	job->spec.id = talloc_strdup(job, spec->id);
	job->spec.workspace = NULL;
	job->ws = pol_workspace_get(p, spec->workspace);
	job->kind = pol_kind_get(p, spec->kind);
	job->spec.kind = job->kind->name;
	job->queued_at = now;
	job->user = user;
	pol_enqueue(p, job);
	return job;
}

void policy_job_adopt(struct policy *p, struct policy_job *job, const struct policy_place *places,
		      unsigned int count, int64_t now)
{
	GArray *servers = g_array_new(FALSE, FALSE, sizeof(int));
	GArray *tasks = g_array_new(FALSE, FALSE, sizeof(int64_t));

	dequeue(job);
	for (unsigned int i = 0; i < count; i++) {
		int index = pol_server_find(p, places[i].server);

		if (index < 0)
			continue;
		g_array_append_val(servers, index);
		g_array_append_val(tasks, places[i].tasks);
	}
	pol_job_allocate(p, job, (const int *)(void *)servers->data,
			 (const int64_t *)(void *)tasks->data, servers->len, now);
	job->state = POLICY_PLACED;
	job->wait = POLICY_WAIT_NONE;
	for (guint i = 0; i < servers->len; i++)
		pol_unbind_overcommitted(p, g_array_index(servers, int, i));
	g_array_free(servers, TRUE);
	g_array_free(tasks, TRUE);
}

/* returns whether the caller had not taken a decision about the job yet */
bool pol_drop_decisions(struct policy *p, const struct policy_job *job)
{
	bool found = false;

	for (GList *l = p->decisions.head; l;) {
		GList *next = l->next;
		struct policy_decision *d = l->data;

		if (d->job == job) {
			g_queue_delete_link(&p->decisions, l);
			talloc_free(d);
			found = true;
		}
		l = next;
	}
	return found;
}

void policy_job_requeue(struct policy *p, struct policy_job *job, int64_t now G_GNUC_UNUSED)
{
	pol_drop_decisions(p, job);
	pol_job_release(p, job);
	if (!job->queue_pos)
		pol_enqueue(p, job);
}

void policy_job_remove(struct policy *p, struct policy_job *job, int64_t now G_GNUC_UNUSED)
{
	pol_drop_decisions(p, job);
	if (p->reserved_for == job) {
		clear_reservation(p);
		p->capacity_changed = true;
	}
	if (job->place_count)
		pol_job_release(p, job);
	dequeue(job);
	talloc_free(job);
}

bool policy_is_feasible(struct policy *p, const struct policy_spec *spec)
{
	struct policy_job probe = {.spec = *spec};
	struct search q = {.p = p, .job = &probe};
	struct kind *kind = pol_kind_get(p, spec->kind);
	const struct workspace *ws;
	int64_t need = spec->tasks * spec->accelerators;
	int64_t sum = 0;
	int64_t largest = 0;

	probe.ws = pol_workspace_get(p, spec->workspace);
	probe.kind = kind;
	ws = workspace_at(p, probe.ws);
	if (spec->accelerators < 1 || spec->accelerators > POLICY_ACCELERATORS_MAX ||
	    spec->tasks < 1 || spec->tasks > POLICY_GANG_MAX)
		return false;
	if (pol_is_non_preemptible(spec) &&
	    need > MAX(p->expected_total * (100 - p->opt.urgent_percent) / 100, ws->guaranteed))
		return false;
	if ((ws->quota && need > ws->quota) ||
	    (share_limit(p, spec) && need > share_limit(p, spec)))
		return false;
	for (guint r = 0; r < p->racks->len; r++) {
		int64_t slots = rack_slots_when_empty(&q, (int)r, false);

		sum += slots;
		largest = MAX(largest, slots);
	}
	return spec->one_rack ? largest >= spec->tasks : sum >= spec->tasks;
}

enum policy_job_state policy_job_state(const struct policy_job *job)
{
	return job->state;
}

enum policy_wait policy_job_wait(const struct policy_job *job)
{
	return job->wait;
}

const char *policy_wait_text(enum policy_wait wait)
{
	static const char *const texts[] = {
#define X(id, text) text,
		POLICY_WAITS(X)
#undef X
	};
	return texts[wait];
}

const struct policy_place *policy_job_places(const struct policy_job *job, unsigned int *count)
{
	*count = job->place_count;
	return job->places;
}

/* ---- lifetime, totals and checks ---- */

static int policy_destructor(struct policy *p)
{
	for (guint i = 0; i < p->servers->len; i++)
		g_ptr_array_free(server_at(p, (int)i)->jobs, TRUE);
	for (guint i = 0; i < p->racks->len; i++)
		g_array_free(rack_at(p, (int)i)->servers, TRUE);
	for (guint i = 0; i < p->workspaces->len; i++)
		g_array_free(workspace_at(p, i)->cell_servers, TRUE);
	g_ptr_array_free(p->servers, TRUE);
	g_ptr_array_free(p->racks, TRUE);
	g_ptr_array_free(p->workspaces, TRUE);
	g_ptr_array_free(p->cells, TRUE);
	g_ptr_array_free(p->awaiting_preemption, TRUE);
	g_hash_table_destroy(p->server_ids);
	g_hash_table_destroy(p->rack_ids);
	g_hash_table_destroy(p->kinds);
	g_sequence_free(p->queue);
	g_array_free(p->extra_slots, TRUE);
	g_array_free(p->reserved_rack, TRUE);
	g_queue_clear(&p->decisions);
	for (int k = 0; k < SLOT_INDEXES; k++)
		for (int a = 1; a <= POLICY_ACCELERATORS_MAX; a++)
			g_array_free(p->slots[k][a], TRUE);
	return 0;
}

struct policy *policy_new(TALLOC_CTX *ctx, const struct policy_options *opt)
{
	struct policy *p = talloc_zero(ctx, struct policy);

	p->opt = *opt;
	p->servers = g_ptr_array_new();
	p->racks = g_ptr_array_new();
	p->workspaces = g_ptr_array_new();
	p->cells = g_ptr_array_new();
	p->awaiting_preemption = g_ptr_array_new();
	p->server_ids = g_hash_table_new(g_str_hash, g_str_equal);
	p->rack_ids = g_hash_table_new(g_str_hash, g_str_equal);
	p->kinds = g_hash_table_new(g_str_hash, g_str_equal);
	p->queue = g_sequence_new(NULL);
	p->extra_slots = g_array_new(FALSE, TRUE, sizeof(int64_t));
	p->reserved_rack = g_array_new(FALSE, TRUE, sizeof(char));
	g_queue_init(&p->decisions);
	for (int k = 0; k < SLOT_INDEXES; k++)
		for (int a = 1; a <= POLICY_ACCELERATORS_MAX; a++)
			p->slots[k][a] = g_array_new(FALSE, TRUE, sizeof(int64_t));
	talloc_set_destructor(p, policy_destructor);
	return p;
}

void policy_usage(const struct policy *p, struct policy_usage *out)
{
	memset(out, 0, sizeof(*out));
	out->total = p->usable_total;
	out->queued = g_sequence_get_length(p->queue);
	out->placed = p->placed;
	for (guint r = 0; r < p->racks->len; r++) {
		int64_t rack_free = *slots_at(p, SLOTS_FREE, 1, (int)r);

		out->free += rack_free;
		out->largest_rack_free = MAX(out->largest_rack_free, rack_free);
	}
	for (guint i = 0; i < p->servers->len; i++) {
		const struct server *s = server_at(p, (int)i);

		if (pol_server_free(s) == s->capacity)
			out->idle_server_free += s->capacity;
	}
}

int64_t policy_startable_tasks(const struct policy *p, int64_t accelerators)
{
	int64_t sum = 0;

	for (guint r = 0; r < p->racks->len; r++)
		sum += *slots_at(p, SLOTS_FREE, accelerators, (int)r);
	return sum;
}

static char *check_server(struct policy *p, const struct server *s, TALLOC_CTX *ctx)
{
	int64_t committed = 0;
	int64_t used = 0;
	int64_t by_jobs = 0;

	for (unsigned int i = 0; i < s->allocation_count; i++) {
		const struct allocation *alloc = &s->allocations[i];

		committed += MAX(alloc->guaranteed, alloc->non_preemptible);
		used += alloc->non_preemptible + alloc->preemptible;
		if (alloc->guaranteed < 0 || alloc->non_preemptible < 0 || alloc->preemptible < 0)
			return talloc_asprintf(ctx, "%s: negative allocation", s->id);
	}
	for (guint k = 0; k < s->jobs->len; k++) {
		const struct policy_job *job = g_ptr_array_index(s->jobs, k);

		for (unsigned int j = 0; j < job->place_count; j++)
			if (server_at(p, job->place_servers[j]) == s)
				by_jobs += job->places[j].tasks * job->spec.accelerators;
	}
	if (by_jobs != used || used != s->used)
		return talloc_asprintf(ctx,
				       "%s: used is %" PRId64 ", but allocations add up to %" PRId64
				       " and jobs to %" PRId64,
				       s->id, s->used, used, by_jobs);
	if (s->usable && committed > s->capacity)
		return talloc_asprintf(ctx,
				       "%s: guaranteed or firm (non-preemptible) %" PRId64
				       " of capacity %" PRId64,
				       s->id, committed, s->capacity);
	return NULL;
}

/* compares the use of workspaces and of kinds with that of the servers */
static char *check_totals(struct policy *p, TALLOC_CTX *ctx)
{
	int64_t used = 0;
	int64_t by_workspace = 0;
	int64_t by_kind = 0;
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < p->servers->len; i++)
		used += server_at(p, (int)i)->used;
	for (guint i = 0; i < p->workspaces->len; i++)
		by_workspace += workspace_at(p, i)->used;
	g_hash_table_iter_init(&iter, p->kinds);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		by_kind += ((struct kind *)value)->used;
	if (used == by_workspace && used == by_kind)
		return NULL;
	return talloc_asprintf(ctx,
			       "used accelerators differ: servers %" PRId64 ", workspaces %" PRId64
			       ", kinds %" PRId64,
			       used, by_workspace, by_kind);
}

char *policy_check_invariants(struct policy *p, TALLOC_CTX *ctx)
{
	char *totals = check_totals(p, ctx);

	if (totals)
		return totals;
	for (guint i = 0; i < p->servers->len; i++) {
		char *fault = check_server(p, server_at(p, (int)i), ctx);

		if (fault)
			return fault;
	}
	for (guint r = 0; r < p->racks->len; r++) {
		for (int64_t a = 1; a <= POLICY_ACCELERATORS_MAX; a++) {
			const GArray *list = rack_at(p, (int)r)->servers;
			int64_t slots = 0;

			for (guint i = 0; i < list->len; i++)
				slots +=
					pol_server_free(server_at(p, g_array_index(list, int, i))) /
					a;
			if (slots != *slots_at(p, SLOTS_FREE, a, (int)r))
				return talloc_asprintf(
					ctx, "%s: slot index differs from the servers of the rack",
					rack_at(p, (int)r)->id);
		}
	}
	return NULL;
}
