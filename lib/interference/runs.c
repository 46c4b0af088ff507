#include "runs.h"

/**
 * struct history - latest runs that have ended on a server
 * @run: ring
 * @next: index of the one written next
 */
struct history {
	uint64_t server;
	struct run run[RUNS_KEPT_MAX];
	unsigned int next;
};

/**
 * struct runs - what ran on servers
 * @history: number of a server to struct history
 */
struct runs {
	GHashTable *history;
};

static int runs_destructor(struct runs *r)
{
	g_hash_table_destroy(r->history);
	return 0;
}

struct runs *runs_new(TALLOC_CTX *ctx)
{
	struct runs *r = talloc_zero(ctx, struct runs);

	r->history = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	talloc_set_destructor(r, runs_destructor);
	return r;
}

void runs_note_end(struct runs *r, uint64_t server, const struct run *run)
{
	struct history *h = g_hash_table_lookup(r->history, &server);

	if (!h) {
		if (g_hash_table_size(r->history) >= RUNS_SERVERS_MAX)
			g_hash_table_remove_all(r->history);
		h = g_new0(struct history, 1);
		h->server = server;
		g_hash_table_insert(r->history, &h->server, h);
	}
	h->run[h->next] = *run;
	h->next = (h->next + 1) % RUNS_KEPT_MAX;
}

/* ms for which tasks of the workload ran during @run; those of several tasks add up */
static int64_t overlap_ms(const struct run *list, unsigned int count, uint64_t workload,
			  const struct run *run)
{
	int64_t sum = 0;

	for (unsigned int i = 0; i < count; i++)
		if (list[i].workload == workload)
			sum += MAX(MIN(list[i].to, run->to) - MAX(list[i].from, run->from), 0);
	return sum;
}

static bool is_listed(const struct interference_sample *sample, uint64_t workload)
{
	for (unsigned int i = 0; i < sample->beside_count; i++)
		if (sample->beside[i] == workload)
			return true;
	return false;
}

bool runs_beside(const struct runs *r, uint64_t server, const struct run *run,
		 const struct run *running, unsigned int count, struct interference_sample *sample)
{
	static const struct history empty;
	const struct history *known = g_hash_table_lookup(r->history, &server);
	const struct history *h = known ? known : &empty;
	int64_t least_ms = (run->to - run->from) * RUNS_BESIDE_PERCENT / 100;

	for (unsigned int i = 0; i < count + RUNS_KEPT_MAX; i++) {
		uint64_t workload = i < count ? running[i].workload : h->run[i - count].workload;
		int64_t ms = overlap_ms(running, count, workload, run) +
			     overlap_ms(h->run, RUNS_KEPT_MAX, workload, run);

		if (ms <= 0 || ms < least_ms || is_listed(sample, workload))
			continue;
		if (sample->beside_count == INTERFERENCE_BESIDE_MAX)
			return false;
		sample->beside[sample->beside_count++] = workload;
	}
	return true;
}
