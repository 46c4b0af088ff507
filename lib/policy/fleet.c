/**
 * DOC: fleet - servers, what each holds, and the index over racks
 */
#include "internal.h"

#include <stdlib.h>
#include <string.h>

/* ---- one server's numbers ---- */

struct holding *pol_holding_find(const struct server *s, unsigned int ws)
{
	for (unsigned int i = 0; i < s->holding_count; i++)
		if (s->holdings[i].ws == ws)
			return &s->holdings[i];
	return NULL;
}

struct holding *pol_holding_get(struct policy *p, struct server *s, unsigned int ws)
{
	struct holding *h = pol_holding_find(s, ws);

	if (h)
		return h;
	s->holdings = talloc_realloc(p, s->holdings, struct holding, s->holding_count + 1);
	h = &s->holdings[s->holding_count++];
	memset(h, 0, sizeof(*h));
	h->ws = ws;
	return h;
}

int64_t pol_server_free(const struct server *s)
{
	return s->usable ? MAX(s->cap - s->used, 0) : 0;
}

/* what firm work without a reservation may still take, were all borrowed work stopped */
int64_t pol_server_open(const struct server *s)
{
	int64_t open = s->cap;

	for (unsigned int i = 0; i < s->holding_count; i++)
		open -= MAX(s->holdings[i].reserved, s->holdings[i].firm);
	return s->usable ? open : 0;
}

int64_t pol_server_unreserved(const struct server *s)
{
	int64_t left = s->cap;

	for (unsigned int i = 0; i < s->holding_count; i++)
		left -= s->holdings[i].reserved;
	return s->usable ? left : 0;
}

void pol_server_reindex(struct policy *p, struct server *s)
{
	int64_t now[INDEXES];

	now[UNITS_FREE] = pol_server_free(s);
	now[UNITS_OPEN] = MAX(MIN(now[UNITS_FREE], pol_server_open(s)), 0);
	for (int k = 0; k < INDEXES; k++) {
		if (now[k] == s->indexed[k])
			continue;
		for (int64_t a = 1; a <= POLICY_ACCELERATORS_MAX; a++)
			*units_at(p, (enum unit_index)k, a, s->rack) +=
				now[k] / a - s->indexed[k] / a;
		s->indexed[k] = now[k];
	}
}

/* accelerators of other workspaces beyond their reservation that can be stopped */
static int64_t server_borrowed(const struct server *s, unsigned int ws)
{
	int64_t sum = 0;

	for (unsigned int i = 0; i < s->holding_count; i++) {
		const struct holding *h = &s->holdings[i];

		if (h->ws != ws)
			sum += MIN(h->soft, MAX(h->firm + h->soft - h->reserved, 0));
	}
	return sum;
}

/* what an urgent job may take by stopping less urgent work that is not within a guarantee */
static int64_t server_evictable(const struct server *s, const struct policy_job *job)
{
	int64_t sum = 0;

	for (unsigned int i = 0; i < s->holding_count; i++) {
		const struct holding *h = &s->holdings[i];
		int64_t over = MAX(h->firm + h->soft - h->reserved, 0);
		int64_t limit = h->ws == job->ws ? h->soft : MIN(h->soft, over);
		int64_t lower = 0;

		for (guint k = 0; k < s->jobs->len; k++) {
			struct policy_job *other = g_ptr_array_index(s->jobs, k);

			if (other->ws != h->ws || !other->spec.checkpointable ||
			    other->spec.cls <= job->spec.cls || other->state != POLICY_PLACED)
				continue;
			for (unsigned int j = 0; j < other->place_count; j++)
				if (!strcmp(other->places[j].server, s->id))
					lower += other->places[j].tasks * other->spec.accelerators;
		}
		sum += MIN(limit, lower);
	}
	return sum;
}

/*
 * Whether the job that racks are kept for may stop @other on @s: work that was
 * backfilled there, and later also work that was queued after it. Only the
 * older of two jobs can displace the other, so they never take turns.
 */
bool pol_may_displace(const struct policy *p, const struct policy_job *job,
		      const struct policy_job *other, const struct server *s)
{
	int64_t patience_ms = p->opt.reserve_after_ms *
			      (PATIENCE_STEPS + 100 - p->opt.weight_percent) / PATIENCE_STEPS;
	const struct holding *h = pol_holding_find(s, other->ws);

	if (other == job || !other->spec.checkpointable || other->state == POLICY_STOPPING)
		return false;
	if (other->is_backfill)
		return true;
	return p->now - job->queued_at >= patience_ms && other->queued_at > job->queued_at &&
	       other->spec.cls >= job->spec.cls && h->firm + h->soft > h->reserved;
}

/* what the job that racks are kept for may take there from others */
static int64_t server_displaceable(const struct policy *p, const struct policy_job *job,
				   const struct server *s)
{
	int64_t sum = 0;

	for (guint k = 0; k < s->jobs->len; k++) {
		const struct policy_job *other = g_ptr_array_index(s->jobs, k);

		if (!pol_may_displace(p, job, other, s))
			continue;
		for (unsigned int j = 0; j < other->place_count; j++)
			if (server_at(p, other->place_servers[j]) == s)
				sum += other->places[j].tasks * other->spec.accelerators;
	}
	return sum;
}

/* accelerators that @job may get on @s at this stage */
int64_t pol_server_available(const struct search *q, const struct server *s)
{
	const struct policy_job *job = q->job;
	const struct holding *h = pol_holding_find(s, job->ws);
	int64_t own_firm_left = h ? MAX(h->reserved - h->firm, 0) : 0;
	int64_t own_unused = h ? MAX(h->reserved - h->firm - h->soft, 0) : 0;
	int64_t firm_limit = MAX(pol_server_open(s), 0) + own_firm_left;
	int64_t get = pol_server_free(s);

	if (!s->usable)
		return 0;
	if (q->stage == STAGE_RECLAIM)
		get = MAX(get, MIN(own_unused, get + server_borrowed(s, job->ws)));
	else if (q->stage == STAGE_URGENT)
		get += server_evictable(s, job);
	else if (q->stage == STAGE_RESERVED && g_array_index(q->p->reserved_rack, char, s->rack))
		get = MIN(get + server_displaceable(q->p, job, s), s->cap);
	if (!job->spec.checkpointable)
		get = MIN(get, firm_limit);
	return get;
}

enum unit_index pol_job_index(const struct policy_job *job)
{
	return job->spec.checkpointable ? UNITS_FREE : UNITS_OPEN;
}

/* ---- fleet ---- */

static int rack_get(struct policy *p, const char *id)
{
	gpointer found = g_hash_table_lookup(p->rack_ids, id);
	struct rack *rack;
	int64_t zero = 0;
	char no = 0;

	if (found)
		return GPOINTER_TO_INT(found) - 1;
	rack = talloc_zero(p, struct rack);
	rack->id = talloc_strdup(rack, id);
	rack->servers = g_array_new(FALSE, FALSE, sizeof(int));
	g_ptr_array_add(p->racks, rack);
	g_hash_table_insert(p->rack_ids, rack->id, GINT_TO_POINTER((int)p->racks->len));
	for (int k = 0; k < INDEXES; k++)
		for (int a = 1; a <= POLICY_ACCELERATORS_MAX; a++)
			g_array_append_val(p->units[k][a], zero);
	g_array_append_val(p->extra, zero);
	g_array_append_val(p->reserved_rack, no);
	return (int)p->racks->len - 1;
}

int pol_server_find(const struct policy *p, const char *id)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(p->server_ids, id)) - 1;
}

static void server_lost_cells(struct policy *p, int index)
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
	int none = 0;

	accelerators = MIN(accelerators, POLICY_ACCELERATORS_MAX);
	if (index < 0) {
		s = talloc_zero(p, struct server);
		s->id = talloc_strdup(s, id);
		s->rack = rack_get(p, rack);
		s->cap = accelerators;
		s->jobs = g_ptr_array_new();
		g_ptr_array_add(p->servers, s);
		g_hash_table_insert(p->server_ids, s->id, GINT_TO_POINTER((int)p->servers->len));
		none = (int)p->servers->len - 1;
		g_array_append_val(rack_at(p, s->rack)->servers, none);
	} else {
		s = server_at(p, index);
	}
	p->expected += ((int)expected - (int)s->expected) * s->cap;
	s->expected = expected;
	if (s->usable == usable)
		return;
	p->total += usable ? s->cap : -s->cap;
	s->usable = usable;
	pol_server_reindex(p, s);
	if (!usable)
		server_lost_cells(p, pol_server_find(p, id));
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
	kind->spread = 0.5;
	g_hash_table_insert(p->kinds, kind->name, kind);
	return kind;
}

void policy_record_run_time(struct policy *p, const char *kind_name, int64_t declared_ms,
			    int64_t actual_ms)
{
	struct kind *kind = pol_kind_get(p, kind_name);
	double ratio = (double)MAX(actual_ms, 1) / (double)MAX(declared_ms, 1);

	ratio = CLAMP(ratio, RATIO_MIN, RATIO_MAX);
	kind->spread += LEARN_SHARE * (ABS(ratio - kind->ratio) - kind->spread);
	kind->ratio += LEARN_SHARE * (ratio - kind->ratio);
}

int64_t pol_estimate(const struct kind *kind, int64_t declared_ms, double spreads)
{
	double ratio = kind ? kind->ratio + spreads * kind->spread : 1.0;

	return (int64_t)((double)declared_ms * MAX(ratio, RATIO_MIN));
}

int64_t policy_estimate_ms(const struct policy *p, const char *kind, int64_t declared_ms)
{
	return pol_estimate(g_hash_table_lookup(p->kinds, kind), declared_ms, 0);
}

/* ---- holding and releasing ---- */

/* work that an urgent job cannot stop */
bool pol_is_costly(const struct policy_spec *spec)
{
	return spec->cls != CLASS_URGENT && !spec->checkpointable;
}

void pol_hold(struct policy *p, struct policy_job *job, int index, int64_t tasks, int sign)
{
	struct server *s = server_at(p, index);
	struct holding *h = pol_holding_get(p, s, job->ws);
	int64_t n = sign * tasks * job->spec.accelerators;
	struct rack *rack = rack_at(p, s->rack);

	if (job->spec.checkpointable)
		h->soft += n;
	else
		h->firm += n;
	s->used += n;
	rack->used += n;
	workspace_at(p, job->ws)->used += n;
	job->kind->used += n;
	if (pol_is_costly(&job->spec))
		p->costly_used += n;
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
		pol_hold(p, job, job->place_servers[i], job->places[i].tasks, -1);
	if (job->place_count)
		p->placed--;
	job->place_count = 0;
	TALLOC_FREE(job->places);
	TALLOC_FREE(job->place_servers);
	g_ptr_array_remove_fast(p->reclaiming, job);
	p->capacity_changed = true;
}

void pol_job_hold(struct policy *p, struct policy_job *job, const int *servers,
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
		pol_hold(p, job, servers[i], tasks[i], 1);
	}
	p->placed++;
}
