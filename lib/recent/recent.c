#include "recent.h"

/* an id and its place in the order of the latest additions */
struct entry {
	char *id;
	int64_t deadline;
	GList *link;
};

/**
 * struct recent - the set
 * @by_id: id to struct entry
 * @order: struct entry, the one that was added least recently first
 * @max: most entries
 */
struct recent {
	GHashTable *by_id;
	GQueue order;
	unsigned int max;
};

static void entry_free(gpointer data)
{
	struct entry *e = data;

	g_free(e->id);
	g_free(e);
}

static int recent_destructor(struct recent *r)
{
	g_queue_clear(&r->order);
	g_hash_table_destroy(r->by_id);
	return 0;
}

struct recent *recent_new(TALLOC_CTX *ctx, unsigned int max)
{
	struct recent *r = talloc_zero(ctx, struct recent);

	r->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_free);
	g_queue_init(&r->order);
	r->max = max;
	talloc_set_destructor(r, recent_destructor);
	return r;
}

static void drop(struct recent *r, struct entry *e)
{
	g_queue_delete_link(&r->order, e->link);
	g_hash_table_remove(r->by_id, e->id);
}

static void drop_expired(struct recent *r, int64_t now)
{
	struct entry *oldest;

	while ((oldest = g_queue_peek_head(&r->order)) && oldest->deadline <= now)
		drop(r, oldest);
}

void recent_add(struct recent *r, const char *id, int64_t deadline, int64_t now)
{
	struct entry *e = g_hash_table_lookup(r->by_id, id);

	if (e) {
		deadline = MAX(deadline, e->deadline);
		drop(r, e);
	}
	drop_expired(r, now);
	if (g_hash_table_size(r->by_id) >= r->max)
		drop(r, g_queue_peek_head(&r->order));
	e = g_new0(struct entry, 1);
	e->id = g_strdup(id);
	e->deadline = deadline;
	g_queue_push_tail(&r->order, e);
	e->link = g_queue_peek_tail_link(&r->order);
	g_hash_table_insert(r->by_id, e->id, e);
}

void recent_remove(struct recent *r, const char *id)
{
	struct entry *e = g_hash_table_lookup(r->by_id, id);

	if (e)
		drop(r, e);
}

bool recent_has(const struct recent *r, const char *id, int64_t now)
{
	const struct entry *e = g_hash_table_lookup(r->by_id, id);

	return e && e->deadline > now;
}
