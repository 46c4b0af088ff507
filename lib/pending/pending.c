#include "pending.h"

static int pending_destructor(struct pending *p)
{
	g_hash_table_destroy(p->by_queue);
	return 0;
}

struct pending *pending_new(TALLOC_CTX *ctx)
{
	struct pending *p = talloc_zero(ctx, struct pending);

	p->by_queue = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(p, pending_destructor);
	return p;
}

void pending_restart(struct pending *p, int64_t counted_at)
{
	g_hash_table_remove_all(p->by_queue);
	p->counted_at = counted_at;
}

void pending_add(struct pending *p, const char *queue, int64_t jobs)
{
	int64_t *n = g_hash_table_lookup(p->by_queue, queue);

	if (!n) {
		n = g_new0(int64_t, 1);
		g_hash_table_insert(p->by_queue, g_strdup(queue), n);
	}
	*n += jobs;
}

bool pending_is_known(const struct pending *p, int64_t now)
{
	return p->counted_at && now - p->counted_at <= PENDING_AGE_MAX_MS;
}

int64_t pending_of(const struct pending *p, const char *queue)
{
	const int64_t *n = g_hash_table_lookup(p->by_queue, queue);

	return n ? *n : 0;
}
