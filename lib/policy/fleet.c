/**
 * DOC: fleet - servers, the allocations on each, and the index of slots in racks
 */
#include "internal.h"

#include <stdlib.h>
#include <string.h>

/* ---- capacity of one server ---- */

struct allocation *pol_allocation_find(const struct server *s, unsigned int ws)
{
	for (unsigned int i = 0; i < s->allocation_count; i++)
		if (s->allocations[i].ws == ws)
			return &s->allocations[i];
	return NULL;
}

struct allocation *pol_allocation_get(struct policy *p, struct server *s, unsigned int ws)
{
	struct allocation *alloc = pol_allocation_find(s, ws);

	if (alloc)
		return alloc;
	s->allocations =
		talloc_realloc(p, s->allocations, struct allocation, s->allocation_count + 1);
	alloc = &s->allocations[s->allocation_count++];
	memset(alloc, 0, sizeof(*alloc));
	alloc->ws = ws;
	return alloc;
}

int64_t pol_server_free(const struct server *s)
{
	return s->usable ? MAX(s->capacity - s->used, 0) : 0;
}

/*
 * Accelerators that are neither guaranteed nor in use by non-preemptible work:
 * what non-preemptible work could get without a guarantee if all borrowed work
 * were stopped. Negative while the server is overcommitted.
 */
int64_t pol_server_uncommitted(const struct server *s)
{
	int64_t uncommitted = s->capacity;

	for (unsigned int i = 0; i < s->allocation_count; i++)
		uncommitted -= MAX(s->allocations[i].guaranteed, s->allocations[i].non_preemptible);
	return s->usable ? uncommitted : 0;
}

int64_t pol_server_unguaranteed(const struct server *s)
{
	int64_t remaining = s->capacity;

	for (unsigned int i = 0; i < s->allocation_count; i++)
		remaining -= s->allocations[i].guaranteed;
	return s->usable ? remaining : 0;
}

void pol_server_reindex(struct policy *p, struct server *s)
{
	int64_t current[SLOT_INDEXES];

	current[SLOTS_FREE] = pol_server_free(s);
	current[SLOTS_UNCOMMITTED] = MAX(MIN(current[SLOTS_FREE], pol_server_uncommitted(s)), 0);
	for (int k = 0; k < SLOT_INDEXES; k++) {
		if (current[k] == s->indexed_capacity[k])
			continue;
		for (int64_t a = 1; a <= POLICY_ACCELERATORS_MAX; a++)
			*slots_at(p, (enum slot_index)k, a, s->rack) +=
				current[k] / a - s->indexed_capacity[k] / a;
		s->indexed_capacity[k] = current[k];
	}
}

/* preemptible use of other workspaces beyond their guarantees */
static int64_t server_reclaimable(const struct server *s, unsigned int ws)
{
	int64_t sum = 0;

	for (unsigned int i = 0; i < s->allocation_count; i++) {
		const struct allocation *alloc = &s->allocations[i];

		if (alloc->ws != ws)
			sum += MIN(
				alloc->preemptible,
				MAX(alloc->non_preemptible + alloc->preemptible - alloc->guaranteed,
				    0));
	}
	return sum;
}

/* accelerators that an urgent job can get by preempting work of lower classes */
static int64_t server_urgent_preemptible(const struct server *s, const struct policy_job *job)
{
	int64_t sum = 0;

	for (unsigned int i = 0; i < s->allocation_count; i++) {
		const struct allocation *alloc = &s->allocations[i];
		int64_t beyond_guarantee =
			MAX(alloc->non_preemptible + alloc->preemptible - alloc->guaranteed, 0);
		int64_t limit = alloc->ws == job->ws ? alloc->preemptible
						     : MIN(alloc->preemptible, beyond_guarantee);
		int64_t less_urgent = 0;

		for (guint k = 0; k < s->jobs->len; k++) {
			struct policy_job *other = g_ptr_array_index(s->jobs, k);

			if (other->ws != alloc->ws || !other->spec.checkpointable ||
			    other->spec.cls <= job->spec.cls || other->state != POLICY_PLACED)
				continue;
			for (unsigned int j = 0; j < other->place_count; j++)
				if (!strcmp(other->places[j].server, s->id))
					less_urgent +=
						other->places[j].tasks * other->spec.accelerators;
		}
		sum += MIN(limit, less_urgent);
	}
	return sum;
}

/*
 * Whether @job, which holds the reservation, may preempt @other on @s: backfilled
 * work at once, and after the wait limit also work that was queued later, is not
 * of a higher class and exceeds its workspace's guarantee. Only the older of
 * two jobs can preempt the other, because they would otherwise preempt each
 * other in turn.
 */
bool pol_may_preempt_for_reservation(const struct policy *p, const struct policy_job *job,
				     const struct policy_job *other, const struct server *s)
{
	int64_t wait_limit_ms = p->opt.reserve_after_ms *
				(PREEMPT_WAIT_STEP_PERCENT + 100 - p->opt.weight_percent) /
				PREEMPT_WAIT_STEP_PERCENT;
	const struct allocation *alloc = pol_allocation_find(s, other->ws);

	if (other == job || !other->spec.checkpointable || other->state == POLICY_STOPPING)
		return false;
	if (other->is_backfill)
		return true;
	return p->now - job->queued_at >= wait_limit_ms && other->queued_at > job->queued_at &&
	       other->spec.cls >= job->spec.cls &&
	       alloc->non_preemptible + alloc->preemptible > alloc->guaranteed;
}

/* accelerators on @s that @job, which holds the reservation, can get by preemption */
static int64_t server_reservation_preemptible(const struct policy *p, const struct policy_job *job,
					      const struct server *s)
{
	int64_t sum = 0;

	for (guint k = 0; k < s->jobs->len; k++) {
		const struct policy_job *other = g_ptr_array_index(s->jobs, k);

		if (!pol_may_preempt_for_reservation(p, job, other, s))
			continue;
		for (unsigned int j = 0; j < other->place_count; j++)
			if (server_at(p, other->place_servers[j]) == s)
				sum += other->places[j].tasks * other->spec.accelerators;
	}
	return sum;
}

/* accelerators on @s that the search's job can get at the search's stage */
int64_t pol_server_available(const struct search *q, const struct server *s)
{
	const struct policy_job *job = q->job;
	const struct allocation *alloc = pol_allocation_find(s, job->ws);
	int64_t own_uncommitted = alloc ? MAX(alloc->guaranteed - alloc->non_preemptible, 0) : 0;
	int64_t own_unused =
		alloc ? MAX(alloc->guaranteed - alloc->non_preemptible - alloc->preemptible, 0) : 0;
	int64_t non_preemptible_limit = MAX(pol_server_uncommitted(s), 0) + own_uncommitted;
	int64_t available = pol_server_free(s);

	if (!s->usable)
		return 0;
	if (q->stage == STAGE_RECLAIM)
		available =
			MAX(available, MIN(own_unused, available + server_reclaimable(s, job->ws)));
	else if (q->stage == STAGE_URGENT)
		available += server_urgent_preemptible(s, job);
	else if (q->stage == STAGE_RESERVED && g_array_index(q->p->reserved_rack, char, s->rack))
		available =
			MIN(available + server_reservation_preemptible(q->p, job, s), s->capacity);
	if (!job->spec.checkpointable)
		available = MIN(available, non_preemptible_limit);
	return available;
}

enum slot_index pol_job_slot_index(const struct policy_job *job)
{
	return job->spec.checkpointable ? SLOTS_FREE : SLOTS_UNCOMMITTED;
}

/* ---- fleet ---- */

static int rack_get(struct policy *p, const char *id)
{
	gpointer found = g_hash_table_lookup(p->rack_ids, id);
	struct rack *rack;
	int64_t zero = 0;
	char not_reserved = 0;

	if (found)
		return GPOINTER_TO_INT(found) - 1;
	rack = talloc_zero(p, struct rack);
	rack->id = talloc_strdup(rack, id);
	rack->servers = g_array_new(FALSE, FALSE, sizeof(int));
	g_ptr_array_add(p->racks, rack);
	g_hash_table_insert(p->rack_ids, rack->id, GINT_TO_POINTER((int)p->racks->len));
	for (int k = 0; k < SLOT_INDEXES; k++)
		for (int a = 1; a <= POLICY_ACCELERATORS_MAX; a++)
			g_array_append_val(p->slots[k][a], zero);
	g_array_append_val(p->extra_slots, zero);
	g_array_append_val(p->reserved_rack, not_reserved);
	return (int)p->racks->len - 1;
}

int pol_server_find(const struct policy *p, const char *id)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(p->server_ids, id)) - 1;
}

static void unbind_server_cells(struct policy *p, int index)
{
	for (guint i = 0; i < p->cells->len; i++) {
		struct cell *cell = g_ptr_array_index(p->cells, i);

		for (unsigned int k = 0; cell->bound && k < cell->server_count; k++)
			if (cell->servers[k] == index)
				pol_cell_unbind(p, cell);
	}
}

void policy_server_set(struct policy *p, const char *id, const char *rack, int64_t accelerators,
		       enum policy_server_state state)
{
	int index = pol_server_find(p, id);
	bool usable = state == POLICY_SERVER_USABLE;
	bool expected = state != POLICY_SERVER_REMOVED;
	struct server *s;
	int new_index = 0;

	accelerators = MIN(accelerators, POLICY_ACCELERATORS_MAX);
	if (index < 0) {
		s = talloc_zero(p, struct server);
		s->id = talloc_strdup(s, id);
		s->rack = rack_get(p, rack);
		s->capacity = accelerators;
		s->jobs = g_ptr_array_new();
		g_ptr_array_add(p->servers, s);
		g_hash_table_insert(p->server_ids, s->id, GINT_TO_POINTER((int)p->servers->len));
		new_index = (int)p->servers->len - 1;
		g_array_append_val(rack_at(p, s->rack)->servers, new_index);
	} else {
		s = server_at(p, index);
	}
	p->expected_total += ((int)expected - (int)s->is_expected) * s->capacity;
	s->is_expected = expected;
	if (s->usable == usable)
		return;
	p->usable_total += usable ? s->capacity : -s->capacity;
	s->usable = usable;
	pol_server_reindex(p, s);
	if (!usable)
		unbind_server_cells(p, pol_server_find(p, id));
	p->capacity_changed = true;
	p->bind_pending = true;
}

/* ---- run-time correction ---- */

struct kind *pol_kind_get(struct policy *p, const char *name)
{
	struct kind *kind = g_hash_table_lookup(p->kinds, name);

	if (kind)
		return kind;
	kind = talloc_zero(p, struct kind);
	kind->name = talloc_strdup(kind, name);
	kind->ratio = 1.0;
	kind->deviation = 0.5;
	g_hash_table_insert(p->kinds, kind->name, kind);
	return kind;
}

void policy_record_run_time(struct policy *p, const char *kind_name, int64_t declared_ms,
			    int64_t actual_ms)
{
	struct kind *kind = pol_kind_get(p, kind_name);
	double ratio = (double)MAX(actual_ms, 1) / (double)MAX(declared_ms, 1);

	ratio = CLAMP(ratio, RATIO_MIN, RATIO_MAX);
	kind->deviation += RATIO_EWMA_WEIGHT * (ABS(ratio - kind->ratio) - kind->deviation);
	kind->ratio += RATIO_EWMA_WEIGHT * (ratio - kind->ratio);
}

int64_t pol_estimate(const struct kind *kind, int64_t declared_ms, double deviations)
{
	double ratio = kind ? kind->ratio + deviations * kind->deviation : 1.0;

	return (int64_t)((double)declared_ms * MAX(ratio, RATIO_MIN));
}

int64_t policy_estimate_ms(const struct policy *p, const char *kind, int64_t declared_ms)
{
	return pol_estimate(g_hash_table_lookup(p->kinds, kind), declared_ms, 0);
}

/* ---- allocation and release ---- */

/* non-urgent work that an urgent job cannot preempt; it may not occupy the urgent headroom */
bool pol_is_non_preemptible(const struct policy_spec *spec)
{
	return spec->cls != CLASS_URGENT && !spec->checkpointable;
}

void pol_account_tasks(struct policy *p, struct policy_job *job, int index, int64_t tasks, int sign)
{
	struct server *s = server_at(p, index);
	struct allocation *alloc = pol_allocation_get(p, s, job->ws);
	int64_t n = sign * tasks * job->spec.accelerators;
	struct rack *rack = rack_at(p, s->rack);

	if (job->spec.checkpointable)
		alloc->preemptible += n;
	else
		alloc->non_preemptible += n;
	s->used += n;
	rack->used += n;
	workspace_at(p, job->ws)->used += n;
	job->kind->used += n;
	if (pol_is_non_preemptible(&job->spec))
		p->non_preemptible_used += n;
	if (sign > 0) {
		g_ptr_array_add(s->jobs, job);
		rack->busy_until = MAX(rack->busy_until, job->expected_end);
	} else {
		g_ptr_array_remove_fast(s->jobs, job);
		if (!rack->used)
			rack->busy_until = 0;
	}
	pol_server_reindex(p, s);
}

void pol_job_release(struct policy *p, struct policy_job *job)
{
	for (unsigned int i = 0; i < job->place_count; i++)
		pol_account_tasks(p, job, job->place_servers[i], job->places[i].tasks, -1);
	if (job->place_count)
		p->placed--;
	job->place_count = 0;
	TALLOC_FREE(job->places);
	TALLOC_FREE(job->place_servers);
	g_ptr_array_remove_fast(p->awaiting_preemption, job);
	p->capacity_changed = true;
}

void pol_job_allocate(struct policy *p, struct policy_job *job, const int *servers,
		      const int64_t *tasks, unsigned int count, int64_t now)
{
	job->places = talloc_array(job, struct policy_place, count);
	job->place_servers = talloc_array(job, int, count);
	job->place_count = count;
	job->expected_end = now + pol_estimate(job->kind, job->spec.run_ms, 1.0);
	for (unsigned int i = 0; i < count; i++) {
		job->places[i].server = server_at(p, servers[i])->id;
		job->places[i].tasks = tasks[i];
		job->place_servers[i] = servers[i];
		pol_account_tasks(p, job, servers[i], tasks[i], 1);
	}
	p->placed++;
}
