/*
 * The list of backend servers that the store keeps. The leader reads it once and
 * then follows its changes.
 */
#include "sited_lead.h"

#include <string.h>

/**
 * struct list_read - a read of the whole list in progress
 * @listed_ids: set of the server ids read so far
 */
struct list_read {
	struct lead *lead;
	GHashTable *listed_ids;
};

static void read_list(void *data);

static int list_read_destructor(struct list_read *list_read)
{
	g_hash_table_destroy(list_read->listed_ids);
	return 0;
}

static void log_presence(struct lead *l, const struct fleet_server *sv, int64_t version)
{
	log_event("server_listed", "{ss ss sI ss sI si}", "server", sv->id, "presence",
		  fleet_presence_name(sv->presence), "born", (json_int_t)sv->born, "rack",
		  fleet_rack_name(l->fleet, sv->rack), "row_version", (json_int_t)version, "tasks",
		  (int)sv->tasks->len);
}

static void apply_entry(struct lead *l, const struct store_row *row)
{
	const char *id = store_key_text(row);
	struct fleet_server *known = fleet_find(l->fleet, id);
	enum fleet_presence old_presence = known ? known->presence : FLEET_UNLISTED;
	const char *fault = NULL;
	struct fleet_server *sv;

	if (row->removed) {
		if (known && known->presence != FLEET_REPLACED) {
			known->presence = FLEET_UNLISTED;
			log_presence(l, known, row->version);
		}
		return;
	}
	sv = members_apply(l->fleet, id, row->value, sited_now_ms(), sited_wall_ms(), &fault);
	if (!sv) {
		log_event("server_entry_unusable", "{ss ss sI}", "server", id, "fault", fault,
			  "row_version", (json_int_t)row->version);
		return;
	}
	lead_evacuation_mark(l, sv);
	if (known && known != sv)
		lead_server_replaced(l, known, sv);
	if (sv != known || sv->presence != old_presence)
		log_presence(l, sv, row->version);
	if (!sv->is_fenced)
		lead_server_poll(l, sv);
	lead_request_round(l);
}

static void on_change(const struct table_page *page, void *data)
{
	struct lead *l = data;

	for (unsigned int i = 0; i < page->count; i++)
		apply_entry(l, &page->rows[i]);
	l->list_version = MAX(l->list_version, page->version);
}

/* called after a read of the whole list: marks servers that the list no longer names */
static void unlist_missing(struct lead *l, const struct list_read *list_read, int64_t version)
{
	for (guint i = 0; i < l->fleet->all->len; i++) {
		struct fleet_server *sv = g_ptr_array_index(l->fleet->all, i);

		if (sv->presence == FLEET_REPLACED || sv->presence == FLEET_UNLISTED ||
		    g_hash_table_contains(list_read->listed_ids, sv->id))
			continue;
		sv->presence = FLEET_UNLISTED;
		log_presence(l, sv, version);
	}
}

static void on_read(const struct table_page *page, void *data)
{
	struct list_read *list_read = data;

	for (unsigned int i = 0; i < page->count; i++) {
		g_hash_table_add(list_read->listed_ids, g_strdup(store_key_text(&page->rows[i])));
		apply_entry(list_read->lead, &page->rows[i]);
	}
}

static struct table_source list_source(struct lead *l)
{
	struct table_source source = {
		.owner = l, .ev = l->d->ev, .store = l->d->store, .table = MEMBERS_TABLE};

	return source;
}

static void on_read_end(int64_t version, void *data)
{
	struct list_read *list_read = data;
	struct lead *l = list_read->lead;
	struct table_source source = list_source(l);

	unlist_missing(l, list_read, version);
	l->list_version = version;
	talloc_free(list_read);
	table_follow(&source, version, LEAD_FEED_TIMEOUT_MS, on_change, read_list, l);
	if (!l->is_loaded)
		lead_rows_load(l);
}

static void read_list(void *data)
{
	struct lead *l = data;
	struct table_source source = list_source(l);
	struct list_read *list_read = talloc_zero(l, struct list_read);

	list_read->lead = l;
	list_read->listed_ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	talloc_set_destructor(list_read, list_read_destructor);
	table_read(&source, on_read, on_read_end, list_read);
}

void lead_list_load(struct lead *l)
{
	read_list(l);
}
