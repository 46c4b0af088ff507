/*
 * The list of backend servers that the store keeps, read once and followed.
 */
#include "sited_lead.h"

#include <string.h>

#include "mtimer/mtimer.h"

/**
 * struct reading - the whole list being read, page by page
 * @found: ids read so far
 * @from: where the next page begins
 * @version: of the store at the first page
 */
struct reading {
	struct sited *d;
	uint64_t serial;
	GHashTable *found;
	char *from;
	int64_t version;
};

static void follow_list(struct lead *l);
static void read_list(struct reading *reading);

static int reading_destructor(struct reading *reading)
{
	g_hash_table_destroy(reading->found);
	return 0;
}

static struct reading *reading_new(struct lead *l)
{
	struct reading *reading = talloc_zero(l->d, struct reading);

	reading->d = l->d;
	reading->serial = l->serial;
	reading->found = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	talloc_set_destructor(reading, reading_destructor);
	return reading;
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
		lead_server_look(l, sv);
	lead_kick(l);
}

static void on_list_timer(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	follow_list(data);
}

static void on_read_timer(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	read_list(data);
}

static void on_list_change(const struct store_result *r, void *data)
{
	struct lead_feed *feed = data;
	struct lead *l = lead_current(feed->d, feed->serial);

	talloc_free(feed);
	if (!l)
		return;
	switch (r->status) {
	case STORE_OK:
		for (unsigned int i = 0; i < r->count; i++)
			take_entry(l, &r->rows[i]);
		l->list_version = MAX(l->list_version, r->version);
		follow_list(l);
		break;
	case STORE_HISTORY_GONE:
		log_event("feed_history_gone", "{ss sI}", "table", MEMBERS_TABLE, "after",
			  (json_int_t)l->list_version);
		read_list(reading_new(l));
		break;
	default:
		mtimer_add(l, l->d->ev, base_deadline_in(SITED_RETRY_MS), on_list_timer, l);
		break;
	}
}

static void follow_list(struct lead *l)
{
	store_feed(l->d->store, MEMBERS_TABLE, l->list_version, LEAD_FEED_WAIT_MS,
		   base_deadline_in(LEAD_FEED_WAIT_MS + LEAD_FEED_ANSWER_MS), on_list_change,
		   lead_feed_new(l));
}

/* the whole list was read: what it does not name has left it */
static void unlist_missing(struct lead *l, const struct reading *reading)
{
	for (guint i = 0; i < l->fleet->all->len; i++) {
		struct fleet_server *sv = g_ptr_array_index(l->fleet->all, i);

		if (sv->presence == FLEET_REPLACED || sv->presence == FLEET_UNLISTED ||
		    g_hash_table_contains(reading->found, sv->id))
			continue;
		sv->presence = FLEET_UNLISTED;
		note_presence(l, sv, reading->version);
	}
}

static void on_list_read(const struct store_result *r, void *data)
{
	struct reading *reading = data;
	struct lead *l = lead_current(reading->d, reading->serial);
	bool is_first;

	if (!l) {
		talloc_free(reading);
		return;
	}
	if (r->status != STORE_OK) {
		mtimer_add(reading, reading->d->ev, base_deadline_in(SITED_RETRY_MS), on_read_timer,
			   reading);
		return;
	}
	if (!reading->version)
		reading->version = r->version;
	for (unsigned int i = 0; i < r->count; i++) {
		g_hash_table_add(reading->found, g_strdup(r->rows[i].key));
		take_entry(l, &r->rows[i]);
	}
	if (r->has_more && r->count) {
		talloc_free(reading->from);
		reading->from = talloc_strdup(reading, r->rows[r->count - 1].key);
		read_list(reading);
		return;
	}
	is_first = !l->is_loaded;
	unlist_missing(l, reading);
	l->list_version = reading->version;
	talloc_free(reading);
	follow_list(l);
	if (is_first)
		lead_rows_load(l);
}

static void read_list(struct reading *reading)
{
	struct store_range range = {MEMBERS_TABLE, "", reading->from, 0};

	store_read(reading->d->store, &range, base_deadline_in(SITED_CALL_MS), on_list_read,
		   reading);
}

void lead_list_load(struct lead *l)
{
	read_list(reading_new(l));
}
