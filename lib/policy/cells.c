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

static void reserve(struct policy *p, unsigned int ws, int index, int64_t delta)
{
	struct server *s = server_at(p, index);
	struct holding *h = pol_holding_get(p, s, ws);
	GArray *list = workspace_at(p, ws)->cell_servers;
	bool had = h->reserved > 0;

	h->reserved += delta;
	workspace_at(p, ws)->reserved += delta;
	pol_server_reindex(p, s);
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

void pol_cell_unbind(struct policy *p, struct cell *cell)
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
	const struct holding *h = pol_holding_find(s, ws);

	return MAX(pol_server_open(s) + (h ? MAX(h->firm - h->reserved, 0) : 0), 0);
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
	for (unsigned int i = 0; i < count; i++) {
		unsigned int index = pol_workspace_get(p, list[i].name);
		struct workspace *ws = workspace_at(p, index);

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
			const struct holding *h = pol_holding_find(s, i);

			sum += MAX(h->reserved - h->firm - h->soft, 0);
		}
	}
	return sum;
}

/*
 * Work found running after a takeover may lie where cells were bound before it
 * was known; those are bound anew elsewhere, the least important first.
 */
void pol_make_room(struct policy *p, int index)
{
	for (guint i = p->cells->len; i-- > 0 && pol_server_open(server_at(p, index)) < 0;) {
		struct cell *cell = g_ptr_array_index(p->cells, i);
		bool is_here = false;

		for (unsigned int k = 0; cell->bound && k < cell->server_count; k++)
			is_here = is_here || cell->servers[k] == index;
		if (is_here)
			pol_cell_unbind(p, cell);
	}
	p->capacity_changed = true;
}
