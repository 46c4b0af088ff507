#include "sited_metrics.h"

static const char *const counter_names[] = {
#define X(id, name) name,
	SITED_COUNTERS(X)
#undef X
};

static const char *const histogram_names[] = {
#define X(id, name) name,
	SITED_HISTOGRAMS(X)
#undef X
};

static const int64_t bucket_bound_ms[SITED_BUCKETS] = {1,   2,	 5,   10,   20,	  50,
						       100, 200, 500, 1000, 2000, 5000};

void sited_metrics_init(struct sited_metrics *m)
{
	m->counters.names = counter_names;
	m->counters.count = SITED_COUNTER_COUNT;
}

void sited_count(struct sited_metrics *m, enum sited_counter id)
{
	counter_add(&m->counters, 0, id, 1);
}

void sited_observe(struct sited_metrics *m, enum sited_histogram id, int64_t started_at)
{
	int64_t elapsed = base_now_ns() - started_at;
	int i = 0;

	while (i < SITED_BUCKETS && elapsed > bucket_bound_ms[i] * BASE_NS_PER_MS)
		i++;
	m->bucket[id][i]++;
	m->sum_us[id] += (uint64_t)(elapsed / BASE_NS_PER_US);
}

static char *histogram_text(char *text, const struct sited_metrics *m, int id)
{
	const char *name = histogram_names[id];
	uint64_t cumulative = 0;

	for (int i = 0; i < SITED_BUCKETS; i++) {
		cumulative += m->bucket[id][i];
		text = talloc_asprintf_append_buffer(
			text, "currantlane_%s_bucket{le=\"%g\"} %" PRIu64 "\n", name,
			(double)bucket_bound_ms[i] / 1000.0, cumulative);
	}
	cumulative += m->bucket[id][SITED_BUCKETS];
	return talloc_asprintf_append_buffer(
		text,
		"currantlane_%s_bucket{le=\"+Inf\"} %" PRIu64 "\ncurrantlane_%s_sum %g\n"
		"currantlane_%s_count %" PRIu64 "\n",
		name, cumulative, name, (double)m->sum_us[id] / 1e6, name, cumulative);
}

char *sited_metrics_text(TALLOC_CTX *ctx, struct sited_metrics *m)
{
	char *text = counter_text(ctx, &m->counters);

	for (int i = 0; i < SITED_HISTOGRAM_COUNT; i++)
		text = histogram_text(text, m, i);
	return talloc_asprintf_append_buffer(
		text, "currantlane_log_lines_dropped_total %" PRIu64 "\n", base_log_dropped());
}
