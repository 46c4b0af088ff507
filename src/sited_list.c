/*
 * The list of backend servers that the store keeps, read once and followed.
 */
#include "sited_lead.h"

#include <string.h>

/**
 * struct reading - the whole list being read
 * @found: ids read so far
 */
struct reading {
	struct lead *lead;
	GHashTable *found;
};

static void read_list(void *data);

static int reading_destructor(struct reading *reading)
{
	g_hash_table_destroy(reading->found);
	return 0;
}

static void note_presence(struct lead *l, const struct fleet_server *sv, int64_t version)
{
	log_event("server_listed", "{ss ss sI ss sI si}", "server", sv->id, "presence",
		  fleet_presence_name(sv->presence), "born", (json_int_t)sv->born, "rack",
		  fleet_rack_name(l->fleet, sv->rack), "row_version", (json_int_t)version, "tasks",
		  (int)sv->tasks->len);
}

static void take_entry(struct lead *l, const struct store_row *row)
{
	struct fleet_server *before = fleet_find(l->fleet, row->key);
	enum fleet_presence was = before ? before->presence : FLEET_UNLISTED;
	const char *fault = NULL;
	struct fleet_server *sv;

	if (row->removed) {
		if (before && before->presence != FLEET_REPLACED) {
			before->presence = FLEET_UNLISTED;
			note_presence(l, before, row->version);
		}
		return;
	}
	sv = members_apply(l->fleet, row->key, row->value, sited_now_ms(), &fault);
	if (!sv) {
		log_event("server_entry_unusable", "{ss ss sI}", "server", row->key, "fault", fault,
			  "row_version", (json_int_t)row->version);
		return;
	}
	if (before && before != sv)
		lead_server_replaced(l, before, sv);
	if (sv != before || sv->presence != was)
		note_presence(l, sv, row->version);
	if (!sv->is_fenced)
		lead_server_poll(l, sv);
	lead_request_round(l);
}

static void on_change(const struct table_page *page, void *data)
{
	struct lead *l = data;

	for (unsigned int i = 0; i < page->count; i++)
		take_entry(l, &page->rows[i]);
	l->list_version = MAX(l->list_version, page->version);
}

/* the whole list was read: what it does not name has left it */
static void unlist_missing(struct lead *l, const struct reading *reading, int64_t version)
{
	for (guint i = 0; i < l->fleet->all->len; i++) {
		struct fleet_server *sv = g_ptr_array_index(l->fleet->all, i);

		if (sv->presence == FLEET_REPLACED || sv->presence == FLEET_UNLISTED ||
		    g_hash_table_contains(reading->found, sv->id))
			continue;
		sv->presence = FLEET_UNLISTED;
		note_presence(l, sv, version);
	}
}

static void on_read(const struct table_page *page, void *data)
{
	struct reading *reading = data;

	for (unsigned int i = 0; i < page->count; i++) {
		g_hash_table_add(reading->found, g_strdup(page->rows[i].key));
		take_entry(reading->lead, &page->rows[i]);
	}
}

static struct table_source list_source(struct lead *l)
{
	struct table_source source = {l, l->d->ev, l->d->store, MEMBERS_TABLE, "", NULL};

	return source;
}

static void on_read_end(int64_t version, void *data)
{
	struct reading *reading = data;
	struct lead *l = reading->lead;
	struct table_source source = list_source(l);

	unlist_missing(l, reading, version);
	l->list_version = version;
	talloc_free(reading);
	table_follow(&source, version, LEAD_FEED_TIMEOUT_MS, on_change, read_list, l);
	if (!l->is_loaded)
		lead_rows_load(l);
}

static void read_list(void *data)
{
	struct lead *l = data;
	struct table_source source = list_source(l);
	struct reading *reading = talloc_zero(l, struct reading);

	reading->lead = l;
	reading->found = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	talloc_set_destructor(reading, reading_destructor);
	table_read(&source, on_read, on_read_end, reading);
}

void lead_list_load(struct lead *l)
{
	read_list(l);
}
