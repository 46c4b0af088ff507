/**
 * DOC: cells - guarantees and the servers they are bound to
 */
#include "internal.h"

#include <stdlib.h>
#include <string.h>

/* ---- guarantees ---- */

unsigned int pol_workspace_get(struct policy *p, const char *name)
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

static void add_guaranteed(struct policy *p, unsigned int ws, int index, int64_t delta)
{
	struct server *s = server_at(p, index);
	struct allocation *alloc = pol_allocation_get(p, s, ws);
	GArray *list = workspace_at(p, ws)->cell_servers;
	bool had = alloc->guaranteed > 0;

	alloc->guaranteed += delta;
	workspace_at(p, ws)->guaranteed += delta;
	pol_server_reindex(p, s);
	if (!had && alloc->guaranteed > 0)
		g_array_append_val(list, index);
	if (!had || alloc->guaranteed > 0)
		return;
	for (guint i = 0; i < list->len; i++) {
		if (g_array_index(list, int, i) == index) {
			g_array_remove_index_fast(list, i);
			break;
		}
	}
}

void pol_cell_unbind(struct policy *p, struct cell *cell)
{
	for (unsigned int i = 0; i < cell->server_count; i++)
		add_guaranteed(p, cell->ws, cell->servers[i], -cell->bound_accelerators[i]);
	cell->bound = false;
	cell->server_count = 0;
	p->bind_pending = true;
}

/* accelerators that a new cell can get; the workspace's own non-preemptible work may lie in it */
static int64_t bindable_capacity(const struct server *s, unsigned int ws)
{
	const struct allocation *alloc = pol_allocation_find(s, ws);

	return MAX(pol_server_uncommitted(s) +
			   (alloc ? MAX(alloc->non_preemptible - alloc->guaranteed, 0) : 0),
		   0);
}

static bool bind_in_server(struct policy *p, struct cell *cell)
{
	int best = -1;
	int64_t best_capacity = INT64_MAX;

	for (guint i = 0; i < p->servers->len; i++) {
		const struct server *s = server_at(p, (int)i);
		int64_t capacity = s->usable ? bindable_capacity(s, cell->ws) : 0;

		if (capacity >= cell->accelerators && capacity < best_capacity) {
			best = (int)i;
			best_capacity = capacity;
		}
	}
	if (best < 0)
		return false;
	cell->servers[0] = best;
	cell->bound_accelerators[0] = cell->accelerators;
	cell->server_count = 1;
	add_guaranteed(p, cell->ws, best, cell->accelerators);
	return true;
}

static int64_t rack_bindable_capacity(const struct policy *p, int rack, unsigned int ws)
{
	const GArray *list = rack_at(p, rack)->servers;
	int64_t capacity = 0;

	for (guint i = 0; i < list->len; i++) {
		const struct server *s = server_at(p, g_array_index(list, int, i));

		capacity += s->usable ? bindable_capacity(s, ws) : 0;
	}
	return capacity;
}

/* fills the servers with most capacity first, so that the cell has the largest parts possible */
static void bind_rack(struct policy *p, struct cell *cell, int rack)
{
	const GArray *list = rack_at(p, rack)->servers;
	int64_t remaining = cell->accelerators;

	for (int64_t size = POLICY_ACCELERATORS_MAX; size > 0 && remaining > 0; size--) {
		for (guint i = 0; i < list->len && remaining > 0; i++) {
			int index = g_array_index(list, int, i);
			const struct server *s = server_at(p, index);
			int64_t capacity = s->usable ? bindable_capacity(s, cell->ws) : 0;

			if (capacity != size)
				continue;
			cell->servers[cell->server_count] = index;
			cell->bound_accelerators[cell->server_count] = MIN(capacity, remaining);
			remaining -= cell->bound_accelerators[cell->server_count];
			add_guaranteed(p, cell->ws, index,
				       cell->bound_accelerators[cell->server_count++]);
		}
	}
}

static bool bind_in_rack(struct policy *p, struct cell *cell)
{
	int best = NO_RACK;
	int64_t best_capacity = INT64_MAX;

	for (guint r = 0; r < p->racks->len; r++) {
		int64_t capacity = rack_bindable_capacity(p, (int)r, cell->ws);

		if (capacity >= cell->accelerators && capacity < best_capacity) {
			best = (int)r;
			best_capacity = capacity;
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

void pol_bind_cells(struct policy *p)
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

/* marks a cell of the same shape as listed, adding one when all are marked already */
static void ensure_cell(struct policy *p, unsigned int ws, const struct policy_cell *shape)
{
	struct cell *cell;
	unsigned int entries;

	for (guint i = 0; i < p->cells->len; i++) {
		cell = g_ptr_array_index(p->cells, i);
		if (!cell->is_listed && cell->ws == ws &&
		    cell->accelerators == shape->accelerators &&
		    cell->in_server == shape->in_server) {
			cell->is_listed = true;
			return;
		}
	}
	cell = talloc_zero(p, struct cell);
	cell->ws = ws;
	cell->accelerators = shape->accelerators;
	cell->in_server = shape->in_server;
	cell->is_listed = true;
	entries = shape->in_server ? 1 : (unsigned int)shape->accelerators;
	cell->servers = talloc_array(cell, int, entries);
	cell->bound_accelerators = talloc_array(cell, int64_t, entries);
	g_ptr_array_add(p->cells, cell);
}

void policy_workspaces_set(struct policy *p, const struct policy_workspace *list,
			   unsigned int count)
{
	for (guint i = 0; i < p->cells->len; i++)
		((struct cell *)g_ptr_array_index(p->cells, i))->is_listed = false;
	for (unsigned int i = 0; i < count; i++) {
		unsigned int index = pol_workspace_get(p, list[i].name);
		struct workspace *ws = workspace_at(p, index);

		ws->quota = list[i].quota;
		ws->precedence = list[i].precedence;
		for (unsigned int k = 0; k < list[i].cell_count; k++)
			for (int64_t n = 0; n < list[i].cells[k].count; n++)
				ensure_cell(p, index, &list[i].cells[k]);
	}
	for (guint i = p->cells->len; i-- > 0;) {
		struct cell *cell = g_ptr_array_index(p->cells, i);

		if (cell->is_listed)
			continue;
		if (cell->bound)
			pol_cell_unbind(p, cell);
		g_ptr_array_remove_index_fast(p->cells, i);
		talloc_free(cell);
	}
	pol_bind_cells(p);
}

int64_t policy_unbound_accelerators(const struct policy *p, const char *workspace)
{
	int64_t sum = 0;

	for (guint i = 0; i < p->cells->len; i++) {
		const struct cell *cell = g_ptr_array_index(p->cells, i);

		if (!cell->bound && !strcmp(workspace_at(p, cell->ws)->name, workspace))
			sum += cell->accelerators;
	}
	return sum;
}

int64_t policy_reclaimable_accelerators(const struct policy *p, const char *workspace)
{
	int64_t sum = 0;

	for (guint i = 0; i < p->workspaces->len; i++) {
		const GArray *list = workspace_at(p, i)->cell_servers;

		if (strcmp(workspace_at(p, i)->name, workspace))
			continue;
		for (guint k = 0; k < list->len; k++) {
			const struct server *s = server_at(p, g_array_index(list, int, k));
			const struct allocation *alloc = pol_allocation_find(s, i);

			sum += MAX(alloc->guaranteed - alloc->non_preemptible - alloc->preemptible,
				   0);
		}
	}
	return sum;
}

/*
 * Work that is adopted after a takeover may run on a server to which cells were
 * bound before the work was known. These cells are unbound, the least important
 * first, until the server is no longer overcommitted; they are bound elsewhere
 * later.
 */
void pol_unbind_overcommitted(struct policy *p, int index)
{
	for (guint i = p->cells->len; i-- > 0 && pol_server_uncommitted(server_at(p, index)) < 0;) {
		struct cell *cell = g_ptr_array_index(p->cells, i);
		bool is_bound_here = false;

		for (unsigned int k = 0; cell->bound && k < cell->server_count; k++)
			is_bound_here = is_bound_here || cell->servers[k] == index;
		if (is_bound_here)
			pol_cell_unbind(p, cell);
	}
	p->capacity_changed = true;
}
