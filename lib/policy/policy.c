#include "policy.h"

#include <stdlib.h>
#include <string.h>

#define NO_RACK (-1)
#define SCAN_MAX 512		      /* queued jobs looked at in one pass */
#define BATCH_OFFSET_MS 600000LL      /* a batch job this old ranks with a new normal one */
#define URGENT_OFFSET_MS 1000000000LL /* urgent jobs come before every other */
#define RUN_PENALTY_MAX_MS 3600000LL  /* short jobs overtake by at most this */
#define SIZE_BONUS_MAX_MS 1800000LL   /* large jobs overtake by at most this */
#define SIZE_BONUS_MS 10000LL	      /* per accelerator */
#define LEARN_SHARE 0.2		      /* weight of the newest observation */
#define RATIO_MIN 0.05
#define RATIO_MAX 20.0
#define INDEXES 2
#define PATIENCE_STEPS 20	  /* weight 0 waits six times as long as weight 100 */
#define KEPT_RACK_PENALTY 1000000 /* a kept rack is chosen last */

/* what the units of a rack are counted over */
enum unit_index { UNITS_FREE, UNITS_OPEN };

/* a workspace's accelerators on one server */
struct holding {
	unsigned int ws;
	int64_t reserved;
	int64_t firm;
	int64_t soft;
};

struct server {
	char *id;
	int rack;
	int64_t cap;
	bool usable;
	bool expected; /* in the fleet, though perhaps away now */
	int64_t used;
	struct holding *holdings;
	unsigned int holding_count;
	GPtrArray *jobs; /* placed here, one entry a job */
	int64_t indexed[INDEXES];
};

struct rack {
	char *id;
	GArray *servers; /* of int */
	int64_t busy_until;
	int64_t used;
};

struct cell {
	unsigned int ws;
	int64_t accelerators;
	bool in_server;
	bool bound;
	bool wanted;
	int64_t *part; /* per entry of servers */
	int *servers;
	unsigned int server_count;
};

struct workspace {
	char *name;
	int64_t quota;
	int64_t precedence;
	int64_t used;
	int64_t reserved; /* accelerators of its bound cells */
	bool exists;
	GArray *cell_servers; /* of int: servers where it has a reservation */
};

struct kind {
	char *name;
	int64_t used;
	double ratio; /* mean of actual to declared run time */
	double spread;
	unsigned int seen;
};

struct policy_job {
	struct policy_spec spec;
	unsigned int ws;
	struct kind *kind;
	enum policy_job_state state;
	enum policy_wait wait;
	int64_t queued_at;
	int64_t rank;
	int64_t expected_end;
	struct policy_place *places;
	int *place_servers;
	unsigned int place_count;
	GSequenceIter *queue_pos;
	bool is_new;
	bool is_backfill; /* started in racks kept for another job, which may stop it */
	int stage;	  /* enum stage of its placement */
	void *user;
};

struct policy {
	struct policy_options opt;
	GPtrArray *servers;
	GHashTable *server_ids;
	GPtrArray *racks;
	GHashTable *rack_ids;
	GPtrArray *workspaces;
	GPtrArray *cells;
	GHashTable *kinds;
	GSequence *queue;
	GPtrArray *reclaiming;
	GArray *units[INDEXES][POLICY_ACCELERATORS_MAX + 1]; /* of int64_t, per rack */
	GArray *extra;					     /* of int64_t, per rack: scratch */
	GArray *reserved_rack;				     /* of char, per rack */
	struct policy_job *reservation;
	int64_t reservation_start;
	GQueue decisions;
	int64_t total;	  /* accelerators of usable servers */
	int64_t expected; /* ... and of those that are away for now */
	int64_t placed;
	int64_t now;
	int64_t costly_used; /* by work that urgent jobs cannot or should not stop */
	bool capacity_changed;
	bool has_new;
	bool bind_pending;
};

/* how far a placement may go */
enum stage {
	STAGE_FREE,	/* what nobody uses */
	STAGE_RESERVED, /* also what backfilled jobs use in the racks kept for this job */
	STAGE_RECLAIM,	/* also what others borrowed of the workspace's own cells */
	STAGE_URGENT,	/* also what less urgent work uses outside guarantees */
	STAGE_COUNT
};

/* a placement being worked out */
struct search {
	struct policy *p;
	struct policy_job *job;
	enum stage stage;
	GArray *servers; /* of int */
	GArray *tasks;	 /* of int64_t */
};

static struct server *server_at(const struct policy *p, int i)
{
	return g_ptr_array_index(p->servers, (guint)i);
}

static struct rack *rack_at(const struct policy *p, int i)
{
	return g_ptr_array_index(p->racks, (guint)i);
}

static struct workspace *workspace_at(const struct policy *p, unsigned int i)
{
	return g_ptr_array_index(p->workspaces, i);
}

static int64_t *units_at(const struct policy *p, enum unit_index index, int64_t a, int rack)
{
	return &g_array_index(p->units[index][a], int64_t, rack);
}

/* ---- one server's numbers ---- */

static struct holding *holding_find(const struct server *s, unsigned int ws)
{
	for (unsigned int i = 0; i < s->holding_count; i++)
		if (s->holdings[i].ws == ws)
			return &s->holdings[i];
	return NULL;
}

static struct holding *holding_get(struct policy *p, struct server *s, unsigned int ws)
{
	struct holding *h = holding_find(s, ws);

	if (h)
		return h;
	s->holdings = talloc_realloc(p, s->holdings, struct holding, s->holding_count + 1);
	h = &s->holdings[s->holding_count++];
	memset(h, 0, sizeof(*h));
	h->ws = ws;
	return h;
}

static int64_t server_free(const struct server *s)
{
	return s->usable ? MAX(s->cap - s->used, 0) : 0;
}

/* what firm work without a reservation may still take, were all borrowed work stopped */
static int64_t server_open(const struct server *s)
{
	int64_t open = s->cap;

	for (unsigned int i = 0; i < s->holding_count; i++)
		open -= MAX(s->holdings[i].reserved, s->holdings[i].firm);
	return s->usable ? open : 0;
}

static int64_t server_unreserved(const struct server *s)
{
	int64_t left = s->cap;

	for (unsigned int i = 0; i < s->holding_count; i++)
		left -= s->holdings[i].reserved;
	return s->usable ? left : 0;
}

static void server_reindex(struct policy *p, struct server *s)
{
	int64_t now[INDEXES];

	now[UNITS_FREE] = server_free(s);
	now[UNITS_OPEN] = MAX(MIN(now[UNITS_FREE], server_open(s)), 0);
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
static bool may_displace(const struct policy *p, const struct policy_job *job,
			 const struct policy_job *other, const struct server *s)
{
	int64_t patience_ms = p->opt.reserve_after_ms *
			      (PATIENCE_STEPS + 100 - p->opt.weight_percent) / PATIENCE_STEPS;
	const struct holding *h = holding_find(s, other->ws);

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

		if (!may_displace(p, job, other, s))
			continue;
		for (unsigned int j = 0; j < other->place_count; j++)
			if (server_at(p, other->place_servers[j]) == s)
				sum += other->places[j].tasks * other->spec.accelerators;
	}
	return sum;
}

/* accelerators that @job may get on @s at this stage */
static int64_t server_available(const struct search *q, const struct server *s)
{
	const struct policy_job *job = q->job;
	const struct holding *h = holding_find(s, job->ws);
	int64_t own_firm_left = h ? MAX(h->reserved - h->firm, 0) : 0;
	int64_t own_unused = h ? MAX(h->reserved - h->firm - h->soft, 0) : 0;
	int64_t firm_limit = MAX(server_open(s), 0) + own_firm_left;
	int64_t get = server_free(s);

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

static enum unit_index job_index(const struct policy_job *job)
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

static int server_find(const struct policy *p, const char *id)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(p->server_ids, id)) - 1;
}

static void bind_cells(struct policy *p);
static void cell_unbind(struct policy *p, struct cell *cell);

static void server_lost_cells(struct policy *p, int index)
{
	for (guint i = 0; i < p->cells->len; i++) {
		struct cell *cell = g_ptr_array_index(p->cells, i);

		for (unsigned int k = 0; cell->bound && k < cell->server_count; k++)
			if (cell->servers[k] == index)
				cell_unbind(p, cell);
	}
}

void policy_server_set(struct policy *p, const char *id, const char *rack, int64_t accelerators,
		       enum policy_server_state state)
{
	int index = server_find(p, id);
	bool usable = state == POLICY_SERVER_USABLE;
	bool expected = state != POLICY_SERVER_GONE;
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
	server_reindex(p, s);
	if (!usable)
		server_lost_cells(p, server_find(p, id));
	p->capacity_changed = true;
	p->bind_pending = true;
}

/* ---- guarantees ---- */

static unsigned int workspace_get(struct policy *p, const char *name)
{
	struct workspace *ws;

	for (guint i = 0; i < p->workspaces->len; i++)
		if (!strcmp(workspace_at(p, i)->name, name))
			return i;
	ws = talloc_zero(p, struct workspace);
	ws->name = talloc_strdup(ws, name);
	ws->cell_servers = g_array_new(FALSE, FALSE, sizeof(int));
	g_ptr_array_add(p->workspaces, ws);
	return p->workspaces->len - 1;
}

static void reserve(struct policy *p, unsigned int ws, int index, int64_t delta)
{
	struct server *s = server_at(p, index);
	struct holding *h = holding_get(p, s, ws);
	GArray *list = workspace_at(p, ws)->cell_servers;
	bool had = h->reserved > 0;

	h->reserved += delta;
	workspace_at(p, ws)->reserved += delta;
	server_reindex(p, s);
	if (!had && h->reserved > 0)
		g_array_append_val(list, index);
	if (!had || h->reserved > 0)
		return;
	for (guint i = 0; i < list->len; i++) {
		if (g_array_index(list, int, i) == index) {
			g_array_remove_index_fast(list, i);
			break;
		}
	}
}

static void cell_unbind(struct policy *p, struct cell *cell)
{
	for (unsigned int i = 0; i < cell->server_count; i++)
		reserve(p, cell->ws, cell->servers[i], -cell->part[i]);
	cell->bound = false;
	cell->server_count = 0;
	p->bind_pending = true;
}

/* room for a new reservation: firm use of the workspace itself may lie inside it */
static int64_t bind_room(const struct server *s, unsigned int ws)
{
	const struct holding *h = holding_find(s, ws);

	return MAX(server_open(s), 0) + (h ? MAX(h->firm - h->reserved, 0) : 0);
}

static bool bind_in_server(struct policy *p, struct cell *cell)
{
	int best = -1;
	int64_t best_room = INT64_MAX;

	for (guint i = 0; i < p->servers->len; i++) {
		const struct server *s = server_at(p, (int)i);
		int64_t room = s->usable ? bind_room(s, cell->ws) : 0;

		if (room >= cell->accelerators && room < best_room) {
			best = (int)i;
			best_room = room;
		}
	}
	if (best < 0)
		return false;
	cell->servers[0] = best;
	cell->part[0] = cell->accelerators;
	cell->server_count = 1;
	reserve(p, cell->ws, best, cell->accelerators);
	return true;
}

static int64_t rack_room(const struct policy *p, int rack, unsigned int ws)
{
	const GArray *list = rack_at(p, rack)->servers;
	int64_t room = 0;

	for (guint i = 0; i < list->len; i++) {
		const struct server *s = server_at(p, g_array_index(list, int, i));

		room += s->usable ? bind_room(s, ws) : 0;
	}
	return room;
}

/* wholly free servers first, so that the cell's part in each server is as large as can be */
static void bind_rack(struct policy *p, struct cell *cell, int rack)
{
	const GArray *list = rack_at(p, rack)->servers;
	int64_t left = cell->accelerators;

	for (int64_t size = POLICY_ACCELERATORS_MAX; size > 0 && left > 0; size--) {
		for (guint i = 0; i < list->len && left > 0; i++) {
			int index = g_array_index(list, int, i);
			const struct server *s = server_at(p, index);
			int64_t room = s->usable ? bind_room(s, cell->ws) : 0;

			if (room != size)
				continue;
			cell->servers[cell->server_count] = index;
			cell->part[cell->server_count] = MIN(room, left);
			left -= cell->part[cell->server_count];
			reserve(p, cell->ws, index, cell->part[cell->server_count++]);
		}
	}
}

static bool bind_in_rack(struct policy *p, struct cell *cell)
{
	int best = NO_RACK;
	int64_t best_room = INT64_MAX;

	for (guint r = 0; r < p->racks->len; r++) {
		int64_t room = rack_room(p, (int)r, cell->ws);

		if (room >= cell->accelerators && room < best_room) {
			best = (int)r;
			best_room = room;
		}
	}
	if (best == NO_RACK)
		return false;
	bind_rack(p, cell, best);
	return true;
}

static int compare_cells(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct cell *x = *(struct cell *const *)a;
	const struct cell *y = *(struct cell *const *)b;
	const struct policy *p = data;
	int64_t px = workspace_at(p, x->ws)->precedence;
	int64_t py = workspace_at(p, y->ws)->precedence;

	if (px != py)
		return px < py ? -1 : 1;
	if (x->in_server != y->in_server)
		return x->in_server ? 1 : -1;
	return x->accelerators > y->accelerators ? -1 : x->accelerators < y->accelerators;
}

static void bind_cells(struct policy *p)
{
	bool all = true;

	g_ptr_array_sort_with_data(p->cells, compare_cells, p);
	for (guint i = 0; i < p->cells->len; i++) {
		struct cell *cell = g_ptr_array_index(p->cells, i);

		if (cell->bound)
			continue;
		cell->bound = cell->in_server ? bind_in_server(p, cell) : bind_in_rack(p, cell);
		all = all && cell->bound;
	}
	p->bind_pending = !all;
	p->capacity_changed = true;
}

/* keeps an existing cell of the same shape, or adds a new one */
static void cell_want(struct policy *p, unsigned int ws, const struct policy_cell *shape)
{
	struct cell *cell;
	unsigned int room;

	for (guint i = 0; i < p->cells->len; i++) {
		cell = g_ptr_array_index(p->cells, i);
		if (!cell->wanted && cell->ws == ws && cell->accelerators == shape->accelerators &&
		    cell->in_server == shape->in_server) {
			cell->wanted = true;
			return;
		}
	}
	cell = talloc_zero(p, struct cell);
	cell->ws = ws;
	cell->accelerators = shape->accelerators;
	cell->in_server = shape->in_server;
	cell->wanted = true;
	room = shape->in_server ? 1 : (unsigned int)shape->accelerators;
	cell->servers = talloc_array(cell, int, room);
	cell->part = talloc_array(cell, int64_t, room);
	g_ptr_array_add(p->cells, cell);
}

void policy_workspaces_set(struct policy *p, const struct policy_workspace *list,
			   unsigned int count)
{
	for (guint i = 0; i < p->cells->len; i++)
		((struct cell *)g_ptr_array_index(p->cells, i))->wanted = false;
	for (guint i = 0; i < p->workspaces->len; i++)
		workspace_at(p, i)->exists = false;
	for (unsigned int i = 0; i < count; i++) {
		unsigned int index = workspace_get(p, list[i].name);
		struct workspace *ws = workspace_at(p, index);

		ws->exists = true;
		ws->quota = list[i].quota;
		ws->precedence = list[i].precedence;
		for (unsigned int k = 0; k < list[i].cell_count; k++)
			for (int64_t n = 0; n < list[i].cells[k].count; n++)
				cell_want(p, index, &list[i].cells[k]);
	}
	for (guint i = p->cells->len; i-- > 0;) {
		struct cell *cell = g_ptr_array_index(p->cells, i);

		if (cell->wanted)
			continue;
		if (cell->bound)
			cell_unbind(p, cell);
		g_ptr_array_remove_index_fast(p->cells, i);
		talloc_free(cell);
	}
	bind_cells(p);
}

int64_t policy_unbound_cells(const struct policy *p, const char *workspace)
{
	int64_t sum = 0;

	for (guint i = 0; i < p->cells->len; i++) {
		const struct cell *cell = g_ptr_array_index(p->cells, i);

		if (!cell->bound && !strcmp(workspace_at(p, cell->ws)->name, workspace))
			sum += cell->accelerators;
	}
	return sum;
}

int64_t policy_reclaimable(const struct policy *p, const char *workspace)
{
	int64_t sum = 0;

	for (guint i = 0; i < p->workspaces->len; i++) {
		const GArray *list = workspace_at(p, i)->cell_servers;

		if (strcmp(workspace_at(p, i)->name, workspace))
			continue;
		for (guint k = 0; k < list->len; k++) {
			const struct server *s = server_at(p, g_array_index(list, int, k));
			const struct holding *h = holding_find(s, i);

			sum += MAX(h->reserved - h->firm - h->soft, 0);
		}
	}
	return sum;
}

/* ---- run-time correction ---- */

static struct kind *kind_get(struct policy *p, const char *name)
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

void policy_learn(struct policy *p, const char *kind_name, int64_t declared_ms, int64_t actual_ms)
{
	struct kind *kind = kind_get(p, kind_name);
	double ratio = (double)MAX(actual_ms, 1) / (double)MAX(declared_ms, 1);

	ratio = CLAMP(ratio, RATIO_MIN, RATIO_MAX);
	kind->spread += LEARN_SHARE * (ABS(ratio - kind->ratio) - kind->spread);
	kind->ratio += LEARN_SHARE * (ratio - kind->ratio);
	kind->seen++;
}

static int64_t estimate(const struct kind *kind, int64_t declared_ms, double spreads)
{
	double ratio = kind ? kind->ratio + spreads * kind->spread : 1.0;

	return (int64_t)((double)declared_ms * MAX(ratio, RATIO_MIN));
}

int64_t policy_estimate_ms(const struct policy *p, const char *kind, int64_t declared_ms)
{
	return estimate(g_hash_table_lookup(p->kinds, kind), declared_ms, 0);
}

/* ---- holding and releasing ---- */

/* work that an urgent job cannot stop */
static bool is_costly(const struct policy_spec *spec)
{
	return spec->cls != CLASS_URGENT && !spec->checkpointable;
}

static void hold(struct policy *p, struct policy_job *job, int index, int64_t tasks, int sign)
{
	struct server *s = server_at(p, index);
	struct holding *h = holding_get(p, s, job->ws);
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
	if (is_costly(&job->spec))
		p->costly_used += n;
	if (sign > 0) {
		g_ptr_array_add(s->jobs, job);
		rack->busy_until = MAX(rack->busy_until, job->expected_end);
	} else {
		g_ptr_array_remove_fast(s->jobs, job);
		if (!rack->used)
			rack->busy_until = 0;
	}
	server_reindex(p, s);
}

static void job_release(struct policy *p, struct policy_job *job)
{
	for (unsigned int i = 0; i < job->place_count; i++)
		hold(p, job, job->place_servers[i], job->places[i].tasks, -1);
	if (job->place_count)
		p->placed--;
	job->place_count = 0;
	TALLOC_FREE(job->places);
	TALLOC_FREE(job->place_servers);
	g_ptr_array_remove_fast(p->reclaiming, job);
	p->capacity_changed = true;
}

static void job_hold(struct policy *p, struct policy_job *job, const int *servers,
		     const int64_t *tasks, unsigned int count, int64_t now)
{
	job->places = talloc_array(job, struct policy_place, count);
	job->place_servers = talloc_array(job, int, count);
	job->place_count = count;
	job->expected_end = now + estimate(job->kind, job->spec.run_ms, 1.0);
	for (unsigned int i = 0; i < count; i++) {
		job->places[i].server = server_at(p, servers[i])->id;
		job->places[i].tasks = tasks[i];
		job->place_servers[i] = servers[i];
		hold(p, job, servers[i], tasks[i], 1);
	}
	p->placed++;
}

/* ---- search for a placement ---- */

static void add_extra(const struct search *q, const struct server *s, int sign)
{
	int64_t a = q->job->spec.accelerators;
	int64_t more = server_available(q, s) / a - s->indexed[job_index(q->job)] / a;

	g_array_index(q->p->extra, int64_t, s->rack) += sign * MAX(more, 0);
}

/* servers that offer this job more than the rack index says: own cells, kept racks */
static void search_add_own(const struct search *q, int sign)
{
	const GArray *list = workspace_at(q->p, q->job->ws)->cell_servers;

	for (guint i = 0; i < list->len; i++)
		if (q->stage != STAGE_RESERVED)
			add_extra(q, server_at(q->p, g_array_index(list, int, i)), sign);
	for (guint r = 0; q->stage == STAGE_RESERVED && r < q->p->racks->len; r++) {
		const GArray *servers = rack_at(q->p, (int)r)->servers;

		for (guint i = 0; g_array_index(q->p->reserved_rack, char, r) && i < servers->len;
		     i++)
			add_extra(q, server_at(q->p, g_array_index(servers, int, i)), sign);
	}
}

/* work that is believed to end before the reserved job can start */
static bool ends_in_time(const struct policy *p, const struct policy_job *job, int64_t now)
{
	return now + estimate(job->kind, job->spec.run_ms, 2.0) <= p->reservation_start;
}

/* a rack kept for another job takes what ends before that job can start, or can be stopped */
static bool is_rack_allowed(const struct search *q, int rack, int64_t now)
{
	const struct policy *p = q->p;
	const struct policy_job *job = q->job;

	if (!g_array_index(p->reserved_rack, char, rack) || p->reservation == job)
		return true;
	if (q->stage != STAGE_FREE || job->spec.cls == CLASS_URGENT)
		return true;
	return job->spec.checkpointable || ends_in_time(p, job, now);
}

static int64_t rack_units(const struct search *q, int rack)
{
	const struct policy_job *job = q->job;

	return *units_at(q->p, job_index(job), job->spec.accelerators, rack) +
	       g_array_index(q->p->extra, int64_t, rack);
}

/* the rack with the least left over after the whole gang, own cells preferred */
static int best_single_rack(const struct search *q, int64_t tasks, int64_t now)
{
	int best = NO_RACK;
	int64_t best_score = INT64_MAX;

	for (guint r = 0; r < q->p->racks->len; r++) {
		int64_t units = rack_units(q, (int)r);
		int64_t score;

		if (units < tasks || !is_rack_allowed(q, (int)r, now))
			continue;
		score = units - tasks - 2 * MIN(g_array_index(q->p->extra, int64_t, r), tasks);
		if (g_array_index(q->p->reserved_rack, char, r) && q->p->reservation != q->job)
			score += KEPT_RACK_PENALTY;
		if (score < best_score) {
			best = (int)r;
			best_score = score;
		}
	}
	return best;
}

struct candidate {
	int server;
	int64_t available;
	bool is_own;	  /* has unused accelerators of the workspace's cells */
	int64_t borrowed; /* reserved there for others */
};

static int compare_candidates(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->is_own != y->is_own)
		return x->is_own ? -1 : 1;
	if (x->borrowed != y->borrowed)
		return x->borrowed < y->borrowed ? -1 : 1;
	if (x->available != y->available)
		return x->available < y->available ? -1 : 1;
	return x->server - y->server;
}

/* takes up to @tasks tasks in one rack, smallest holes first; returns how many */
static int64_t take_in_rack(struct search *q, int rack, int64_t tasks)
{
	const GArray *list = rack_at(q->p, rack)->servers;
	struct candidate *found = talloc_array(q->job, struct candidate, list->len);
	int64_t a = q->job->spec.accelerators;
	int64_t left = tasks;
	size_t n = 0;

	for (guint i = 0; i < list->len; i++) {
		int index = g_array_index(list, int, i);
		const struct server *s = server_at(q->p, index);
		const struct holding *h = holding_find(s, q->job->ws);
		int64_t available = server_available(q, s);

		if (available < a)
			continue;
		found[n].server = index;
		found[n].available = available;
		found[n].is_own = h && h->reserved > h->firm + h->soft;
		found[n++].borrowed = s->cap - MAX(server_unreserved(s), 0) - (h ? h->reserved : 0);
	}
	qsort(found, n, sizeof(*found), compare_candidates);
	for (size_t i = 0; i < n && left > 0; i++) {
		int64_t take = MIN(found[i].available / a, left);

		g_array_append_val(q->servers, found[i].server);
		g_array_append_val(q->tasks, take);
		left -= take;
	}
	talloc_free(found);
	return tasks - left;
}

static int compare_rack_units(gconstpointer a, gconstpointer b)
{
	const int64_t *x = a;
	const int64_t *y = b;

	if (x[0] != y[0])
		return x[0] > y[0] ? -1 : 1;
	return x[1] < y[1] ? -1 : x[1] > y[1];
}

/* fullest use of the fewest racks; the remainder goes where it fits best */
static bool take_many_racks(struct search *q, int64_t now)
{
	GArray *order = g_array_new(FALSE, FALSE, 2 * sizeof(int64_t));
	int64_t left = q->job->spec.tasks;

	for (guint r = 0; r < q->p->racks->len; r++) {
		int64_t pair[2] = {rack_units(q, (int)r), r};

		if (pair[0] > 0 && is_rack_allowed(q, (int)r, now))
			g_array_append_vals(order, pair, 1);
	}
	g_array_sort(order, compare_rack_units);
	for (guint i = 0; i < order->len && left > 0; i++) {
		int64_t *pair = (int64_t *)(void *)(order->data + i * 2 * sizeof(int64_t));

		/* the last rack: the smallest of those that hold the remainder */
		for (guint k = i; pair[0] >= left && k < order->len; k++) {
			int64_t *next = (int64_t *)(void *)(order->data + k * 2 * sizeof(int64_t));

			if (next[0] < left)
				break;
			pair = next;
		}
		left -= take_in_rack(q, (int)pair[1], left);
	}
	g_array_free(order, TRUE);
	return left <= 0;
}

/* urgent work looks at racks that hold something to stop, the emptiest first */
static bool search_urgent(struct search *q)
{
	int64_t left = q->job->spec.tasks;

	for (guint r = 0; r < q->p->racks->len && q->job->spec.one_rack; r++) {
		g_array_set_size(q->servers, 0);
		g_array_set_size(q->tasks, 0);
		if (take_in_rack(q, (int)r, left) == left)
			return true;
	}
	if (q->job->spec.one_rack)
		return false;
	for (guint r = 0; r < q->p->racks->len && left > 0; r++)
		left -= take_in_rack(q, (int)r, left);
	return left <= 0;
}

static bool search_run(struct search *q, int64_t now)
{
	int rack;
	bool found;

	g_array_set_size(q->servers, 0);
	g_array_set_size(q->tasks, 0);
	if (q->stage == STAGE_URGENT)
		return search_urgent(q);
	search_add_own(q, 1);
	rack = best_single_rack(q, q->job->spec.tasks, now);
	if (rack != NO_RACK)
		found = take_in_rack(q, rack, q->job->spec.tasks) == q->job->spec.tasks;
	else
		found = !q->job->spec.one_rack && take_many_racks(q, now);
	search_add_own(q, -1);
	return found;
}

/* ---- stopping borrowed work ---- */

static void enqueue(struct policy *p, struct policy_job *job);
static bool drop_decisions(struct policy *p, const struct policy_job *job);

static bool is_victim(const struct policy *p, const struct policy_job *victim, int index,
		      const struct policy_job *job, enum stage stage)
{
	const struct server *s = server_at(p, index);
	const struct holding *h = holding_find(s, victim->ws);

	if (victim == job || !victim->spec.checkpointable ||
	    (victim->state != POLICY_PLACED && victim->state != POLICY_RECLAIMING))
		return false;
	if (stage == STAGE_RESERVED)
		return may_displace(p, job, victim, s);
	if (stage == STAGE_URGENT && victim->spec.cls <= job->spec.cls)
		return false;
	if (victim->ws == job->ws)
		return stage == STAGE_URGENT;
	return h->firm + h->soft > h->reserved;
}

/* lowest class first, then the smallest gang, then the one started last */
static bool is_better_victim(const struct policy_job *a, const struct policy_job *b)
{
	int64_t size_a = a->spec.tasks * a->spec.accelerators;
	int64_t size_b = b->spec.tasks * b->spec.accelerators;

	if (a->spec.cls != b->spec.cls)
		return a->spec.cls > b->spec.cls;
	if (size_a != size_b)
		return size_a < size_b;
	return a->expected_end > b->expected_end;
}

static int64_t stopping_on(const struct policy *p, int index)
{
	const struct server *s = server_at(p, index);
	int64_t sum = 0;

	for (guint k = 0; k < s->jobs->len; k++) {
		const struct policy_job *other = g_ptr_array_index(s->jobs, k);

		for (unsigned int j = 0; other->state == POLICY_STOPPING && j < other->place_count;
		     j++)
			if (other->place_servers[j] == index)
				sum += other->places[j].tasks * other->spec.accelerators;
	}
	return sum;
}

static void push_decision(struct policy *p, enum policy_decision_type type, struct policy_job *job)
{
	struct policy_decision *d = talloc_zero(p, struct policy_decision);

	d->type = type;
	d->job = job;
	d->user = job->user;
	g_queue_push_tail(&p->decisions, d);
}

/* decides to stop work on one server until what is held there fits */
static void stop_victims(struct policy *p, struct policy_job *job, int index, enum stage stage)
{
	struct server *s = server_at(p, index);

	while (s->used - stopping_on(p, index) > s->cap) {
		struct policy_job *best = NULL;

		for (guint k = 0; k < s->jobs->len; k++) {
			struct policy_job *other = g_ptr_array_index(s->jobs, k);

			if (is_victim(p, other, index, job, stage) &&
			    (!best || is_better_victim(other, best)))
				best = other;
		}
		if (!best)
			return;
		if (drop_decisions(p, best) || best->state == POLICY_RECLAIMING) {
			/* it has not started, so it only has to wait again */
			job_release(p, best);
			enqueue(p, best);
			continue;
		}
		best->state = POLICY_STOPPING;
		push_decision(p, POLICY_STOP, best);
	}
}

static bool is_ready(const struct policy *p, const struct policy_job *job)
{
	for (unsigned int i = 0; i < job->place_count; i++) {
		const struct server *s = server_at(p, job->place_servers[i]);

		if (s->used > s->cap)
			return false;
	}
	return true;
}

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
 * The rank is fixed when a job is queued and every overtaking is bounded, so a
 * job ages past all that arrive later than the sum of the bounds.
 */
static int64_t job_rank(const struct policy *p, const struct policy_job *job)
{
	int64_t w = p->opt.weight_percent;
	int64_t run = estimate(job->kind, job->spec.run_ms, 0);
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

static void enqueue(struct policy *p, struct policy_job *job)
{
	job->state = POLICY_QUEUED;
	job->wait = POLICY_WAIT_NEW;
	job->is_new = true;
	p->has_new = true;
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
	p->reservation = NULL;
	memset(p->reserved_rack->data, 0, p->reserved_rack->len);
}

/* with everything stopped; @usable leaves out servers that are away now */
static int64_t rack_units_ever(const struct search *q, int rack, bool usable)
{
	const GArray *list = rack_at(q->p, rack)->servers;
	const struct policy_job *job = q->job;
	int64_t units = 0;

	for (guint i = 0; i < list->len; i++) {
		const struct server *s = server_at(q->p, g_array_index(list, int, i));
		const struct holding *h = holding_find(s, job->ws);
		int64_t room = (usable ? s->usable : s->expected) ? s->cap : 0;

		/* cells leave a server that goes away, so all of that one counts */
		if (!job->spec.checkpointable && s->usable)
			room = MAX(server_unreserved(s), 0) + (h ? h->reserved : 0);
		units += room / job->spec.accelerators;
	}
	return units;
}

/* keeps the racks that drain first and together hold the gang */
static void make_reservation(struct policy *p, struct policy_job *job, int64_t now)
{
	struct search q = {.p = p, .job = job};
	GArray *order = g_array_new(FALSE, FALSE, 2 * sizeof(int64_t));
	int64_t left = job->spec.tasks;
	int64_t fits = 0;
	bool single = false;

	for (guint r = 0; r < p->racks->len; r++) {
		int64_t units = rack_units_ever(&q, (int)r, true);
		/* sorts by the second value when the first is equal: earliest to drain */
		int64_t pair[2] = {-rack_at(p, (int)r)->busy_until, r};

		if (units >= job->spec.tasks && !single) {
			single = true;
			g_array_set_size(order, 0);
		}
		if (units > 0 && (!single || units >= job->spec.tasks))
			g_array_append_vals(order, pair, 1);
	}
	for (guint i = 0; i < order->len; i++)
		fits += rack_units_ever(&q, (int)((int64_t *)(void *)order->data)[2 * i + 1], true);
	/* servers may have died since it was admitted; racks kept for nothing starve all */
	if (fits < left || (job->spec.one_rack && !single)) {
		g_array_free(order, TRUE);
		return;
	}
	g_array_sort(order, compare_rack_units);
	p->reservation = job;
	p->reservation_start = now;
	for (guint i = 0; i < order->len && left > 0; i++) {
		int64_t *pair = (int64_t *)(void *)(order->data + i * 2 * sizeof(int64_t));

		g_array_index(p->reserved_rack, char, pair[1]) = 1;
		p->reservation_start = MAX(p->reservation_start, -pair[0]);
		left -= rack_units_ever(&q, (int)pair[1], true);
	}
	job->wait = POLICY_WAIT_RESERVATION;
	g_array_free(order, TRUE);
}

/* part of the fleet is left to work that urgent jobs can stop cheaply */
static int64_t costly_limit(const struct policy *p)
{
	return p->total * (100 - p->opt.urgent_percent) / 100;
}

/* a share of the whole fleet, so that it does not shrink while servers are away */
static int64_t share_limit(const struct policy *p, const struct policy_spec *spec)
{
	return p->expected * spec->share_percent / 100;
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
	if (!p->reservation || p->reservation == job || !job->spec.checkpointable ||
	    job->spec.cls == CLASS_URGENT || ends_in_time(p, job, now))
		return;
	for (guint i = 0; i < q->servers->len; i++) {
		const struct server *s = server_at(p, g_array_index(q->servers, int, i));

		if (g_array_index(p->reserved_rack, char, s->rack))
			job->is_backfill = true;
	}
}

/* the reserved job's share of the limit is kept for it like its racks */
static bool is_over_costly_limit(const struct policy *p, const struct policy_job *job, int64_t now)
{
	const struct workspace *ws = workspace_at(p, job->ws);
	const struct policy_job *first = p->reservation;
	int64_t need = job->spec.tasks * job->spec.accelerators;

	if (!is_costly(&job->spec) || ws->used + need <= ws->reserved)
		return false;
	if (first && first != job && is_costly(&first->spec) && !ends_in_time(p, job, now))
		need += first->spec.tasks * first->spec.accelerators;
	return p->costly_used + need > costly_limit(p);
}

static void job_place(struct policy *p, struct search *q, int64_t now)
{
	struct policy_job *job = q->job;

	dequeue(job);
	mark_backfill(q, now);
	if (p->reservation == job)
		clear_reservation(p);
	job_hold(p, job, (const int *)(void *)q->servers->data,
		 (const int64_t *)(void *)q->tasks->data, q->servers->len, now);
	if (q->stage == STAGE_FREE) {
		job->state = POLICY_PLACED;
		job->wait = POLICY_WAIT_NONE;
		push_decision(p, POLICY_START, job);
		return;
	}
	job->state = POLICY_RECLAIMING;
	job->stage = (int)q->stage;
	job->wait = POLICY_WAIT_RECLAIM;
	g_ptr_array_add(p->reclaiming, job);
	for (unsigned int i = 0; i < job->place_count; i++)
		stop_victims(p, job, job->place_servers[i], q->stage);
}

static bool job_try(struct policy *p, struct policy_job *job, int64_t now)
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
		if (q.stage == STAGE_RESERVED && p->reservation != job)
			continue;
		if (q.stage == STAGE_RECLAIM && !workspace_at(p, job->ws)->cell_servers->len)
			continue;
		if (q.stage == STAGE_URGENT && job->spec.cls != CLASS_URGENT)
			continue;
		if (q.stage < STAGE_RECLAIM && is_over_costly_limit(p, job, now))
			continue;
		found = search_run(&q, now);
	}
	if (found)
		job_place(p, &q, now);
	else if (job->wait != POLICY_WAIT_RESERVATION)
		job->wait = POLICY_WAIT_CAPACITY;
	g_array_free(q.servers, TRUE);
	g_array_free(q.tasks, TRUE);
	return found;
}

static void start_ready(struct policy *p)
{
	for (guint i = p->reclaiming->len; i-- > 0;) {
		struct policy_job *job;

		if (i >= p->reclaiming->len)
			continue; /* stop_victims() took some out */
		job = g_ptr_array_index(p->reclaiming, i);
		if (!is_ready(p, job)) {
			/* others may have been placed on its servers since it was */
			for (unsigned int k = 0; k < job->place_count; k++)
				stop_victims(p, job, job->place_servers[k], (enum stage)job->stage);
			continue;
		}
		g_ptr_array_remove_index_fast(p->reclaiming, i);
		job->state = POLICY_PLACED;
		job->wait = POLICY_WAIT_NONE;
		push_decision(p, POLICY_START, job);
	}
}

/* shapes that found no room in this pass; a larger one of the same terms cannot either */
struct pass_memo {
	int64_t failed[2][POLICY_ACCELERATORS_MAX + 1];
};

static bool memo_skips(const struct policy *p, const struct pass_memo *memo,
		       const struct policy_job *job)
{
	if (workspace_at(p, job->ws)->cell_servers->len || job->spec.cls == CLASS_URGENT ||
	    p->reservation)
		return false;
	return job->spec.tasks >= memo->failed[job->spec.checkpointable][job->spec.accelerators];
}

static void queue_pass(struct policy *p, int64_t now, bool only_new)
{
	GSequenceIter *it = g_sequence_get_begin_iter(p->queue);
	struct pass_memo memo;
	unsigned int looked = 0;

	for (int k = 0; k < 2; k++)
		for (int a = 0; a <= POLICY_ACCELERATORS_MAX; a++)
			memo.failed[k][a] = INT64_MAX;
	while (!g_sequence_iter_is_end(it) && looked < SCAN_MAX) {
		struct policy_job *job = g_sequence_get(it);

		it = g_sequence_iter_next(it); /* the job may leave the queue below */
		if ((only_new && !job->is_new) || memo_skips(p, &memo, job))
			continue;
		looked++;
		if (job_try(p, job, now) || job->wait == POLICY_WAIT_QUOTA)
			continue;
		if (!job->spec.one_rack && job->spec.cls != CLASS_URGENT &&
		    !workspace_at(p, job->ws)->cell_servers->len) {
			int64_t *least =
				&memo.failed[job->spec.checkpointable][job->spec.accelerators];

			*least = MIN(*least, job->spec.tasks);
		}
		if (!p->reservation && now - job->queued_at >= p->opt.reserve_after_ms)
			make_reservation(p, job, now);
	}
}

bool policy_next(struct policy *p, int64_t now, struct policy_decision *out)
{
	struct policy_decision *d;
	bool changed = p->capacity_changed;

	p->now = now;
	if (g_queue_is_empty(&p->decisions)) {
		if (p->bind_pending && changed)
			bind_cells(p);
		p->capacity_changed = false;
		if (changed)
			start_ready(p);
		if (changed || p->has_new)
			queue_pass(p, now, !changed);
		p->has_new = false;
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
	job->ws = workspace_get(p, spec->workspace);
	job->kind = kind_get(p, spec->kind);
	job->spec.kind = job->kind->name;
	job->queued_at = now;
	job->user = user;
	enqueue(p, job);
	return job;
}

void policy_job_adopt(struct policy *p, struct policy_job *job, const struct policy_place *places,
		      unsigned int count, int64_t now)
{
	GArray *servers = g_array_new(FALSE, FALSE, sizeof(int));
	GArray *tasks = g_array_new(FALSE, FALSE, sizeof(int64_t));

	dequeue(job);
	for (unsigned int i = 0; i < count; i++) {
		int index = server_find(p, places[i].server);

		if (index < 0)
			continue;
		g_array_append_val(servers, index);
		g_array_append_val(tasks, places[i].tasks);
	}
	job_hold(p, job, (const int *)(void *)servers->data, (const int64_t *)(void *)tasks->data,
		 servers->len, now);
	job->state = POLICY_PLACED;
	job->wait = POLICY_WAIT_NONE;
	g_array_free(servers, TRUE);
	g_array_free(tasks, TRUE);
}

/* true when a decision about the job had not been taken yet */
static bool drop_decisions(struct policy *p, const struct policy_job *job)
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
	drop_decisions(p, job);
	job_release(p, job);
	if (!job->queue_pos)
		enqueue(p, job);
}

void policy_job_remove(struct policy *p, struct policy_job *job, int64_t now G_GNUC_UNUSED)
{
	drop_decisions(p, job);
	if (p->reservation == job) {
		clear_reservation(p);
		p->capacity_changed = true;
	}
	if (job->place_count)
		job_release(p, job);
	dequeue(job);
	talloc_free(job);
}

bool policy_fits_ever(struct policy *p, const struct policy_spec *spec)
{
	struct policy_job probe = {.spec = *spec};
	struct search q = {.p = p, .job = &probe};
	struct kind *kind = kind_get(p, spec->kind);
	const struct workspace *ws;
	int64_t need = spec->tasks * spec->accelerators;
	int64_t sum = 0;
	int64_t most = 0;

	probe.ws = workspace_get(p, spec->workspace);
	probe.kind = kind;
	ws = workspace_at(p, probe.ws);
	if (spec->accelerators < 1 || spec->accelerators > POLICY_ACCELERATORS_MAX ||
	    spec->tasks < 1 || spec->tasks > POLICY_GANG_MAX)
		return false;
	if (is_costly(spec) &&
	    need > MAX(p->expected * (100 - p->opt.urgent_percent) / 100, ws->reserved))
		return false;
	if ((ws->quota && need > ws->quota) ||
	    (share_limit(p, spec) && need > share_limit(p, spec)))
		return false;
	for (guint r = 0; r < p->racks->len; r++) {
		int64_t units = rack_units_ever(&q, (int)r, false);

		sum += units;
		most = MAX(most, units);
	}
	return spec->one_rack ? most >= spec->tasks : sum >= spec->tasks;
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

int64_t policy_job_queued_at(const struct policy_job *job)
{
	return job->queued_at;
}

const struct policy_place *policy_job_places(const struct policy_job *job, unsigned int *count)
{
	*count = job->place_count;
	return job->places;
}

/* ---- the whole ---- */

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
	g_ptr_array_free(p->reclaiming, TRUE);
	g_hash_table_destroy(p->server_ids);
	g_hash_table_destroy(p->rack_ids);
	g_hash_table_destroy(p->kinds);
	g_sequence_free(p->queue);
	g_array_free(p->extra, TRUE);
	g_array_free(p->reserved_rack, TRUE);
	g_queue_clear(&p->decisions);
	for (int k = 0; k < INDEXES; k++)
		for (int a = 1; a <= POLICY_ACCELERATORS_MAX; a++)
			g_array_free(p->units[k][a], TRUE);
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
	p->reclaiming = g_ptr_array_new();
	p->server_ids = g_hash_table_new(g_str_hash, g_str_equal);
	p->rack_ids = g_hash_table_new(g_str_hash, g_str_equal);
	p->kinds = g_hash_table_new(g_str_hash, g_str_equal);
	p->queue = g_sequence_new(NULL);
	p->extra = g_array_new(FALSE, TRUE, sizeof(int64_t));
	p->reserved_rack = g_array_new(FALSE, TRUE, sizeof(char));
	g_queue_init(&p->decisions);
	for (int k = 0; k < INDEXES; k++)
		for (int a = 1; a <= POLICY_ACCELERATORS_MAX; a++)
			p->units[k][a] = g_array_new(FALSE, TRUE, sizeof(int64_t));
	talloc_set_destructor(p, policy_destructor);
	return p;
}

void policy_usage(const struct policy *p, struct policy_usage *out)
{
	memset(out, 0, sizeof(*out));
	out->total = p->total;
	out->queued = g_sequence_get_length(p->queue);
	out->placed = p->placed;
	for (guint r = 0; r < p->racks->len; r++) {
		int64_t rack_free = *units_at(p, UNITS_FREE, 1, (int)r);

		out->free += rack_free;
		out->largest_rack_free = MAX(out->largest_rack_free, rack_free);
	}
	for (guint i = 0; i < p->servers->len; i++) {
		const struct server *s = server_at(p, (int)i);

		if (server_free(s) == s->cap)
			out->whole_free += s->cap;
	}
}

int64_t policy_startable_tasks(const struct policy *p, int64_t accelerators)
{
	int64_t sum = 0;

	for (guint r = 0; r < p->racks->len; r++)
		sum += *units_at(p, UNITS_FREE, accelerators, (int)r);
	return sum;
}

static char *check_server(struct policy *p, const struct server *s, TALLOC_CTX *ctx)
{
	int64_t firm_or_reserved = 0;
	int64_t used = 0;
	int64_t held = 0;

	for (unsigned int i = 0; i < s->holding_count; i++) {
		const struct holding *h = &s->holdings[i];

		firm_or_reserved += MAX(h->reserved, h->firm);
		used += h->firm + h->soft;
		if (h->reserved < 0 || h->firm < 0 || h->soft < 0)
			return talloc_asprintf(ctx, "%s: negative holding", s->id);
	}
	for (guint k = 0; k < s->jobs->len; k++) {
		const struct policy_job *job = g_ptr_array_index(s->jobs, k);

		for (unsigned int j = 0; j < job->place_count; j++)
			if (server_at(p, job->place_servers[j]) == s)
				held += job->places[j].tasks * job->spec.accelerators;
	}
	if (held != used || used != s->used)
		return talloc_asprintf(
			ctx, "%s: use is %" PRId64 ", holdings say %" PRId64 ", jobs say %" PRId64,
			s->id, s->used, used, held);
	if (s->usable && firm_or_reserved > s->cap)
		return talloc_asprintf(ctx, "%s: reserved or firm %" PRId64 " of %" PRId64, s->id,
				       firm_or_reserved, s->cap);
	return NULL;
}

/* totals of workspaces and kinds against what servers hold */
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
			       "servers hold %" PRId64 ", workspaces %" PRId64 ", kinds %" PRId64,
			       used, by_workspace, by_kind);
}

char *policy_check(struct policy *p, TALLOC_CTX *ctx)
{
	char *totals = check_totals(p, ctx);

	if (totals)
		return totals;
	for (guint i = 0; i < p->servers->len; i++) {
		char *wrong = check_server(p, server_at(p, (int)i), ctx);

		if (wrong)
			return wrong;
	}
	for (guint r = 0; r < p->racks->len; r++) {
		for (int64_t a = 1; a <= POLICY_ACCELERATORS_MAX; a++) {
			const GArray *list = rack_at(p, (int)r)->servers;
			int64_t units = 0;

			for (guint i = 0; i < list->len; i++)
				units += server_free(server_at(p, g_array_index(list, int, i))) / a;
			if (units != *units_at(p, UNITS_FREE, a, (int)r))
				return talloc_asprintf(ctx, "%s: rack index is wrong",
						       rack_at(p, (int)r)->id);
		}
	}
	return NULL;
}
