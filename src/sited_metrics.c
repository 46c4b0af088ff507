#include "sited_metrics.h"

#include <string.h>

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

void sited_count_refused(TALLOC_CTX *ctx, struct sited_metrics *m, const char *workspace)
{
	unsigned int i = 0;

	while (i < m->workspace_count && strcmp(m->workspace[i], workspace))
		i++;
	if (i == m->workspace_count && i < SITED_WORKSPACES_MAX)
		m->workspace[m->workspace_count++] = talloc_strdup(ctx, workspace);
	m->refused[i]++;
}

char *sited_label(TALLOC_CTX *ctx, const char *text)
{
	char *label = talloc_array(ctx, char, 2 * strlen(text) + 1);
	size_t len = 0;

	for (; *text; text++) {
		if (*text == '"' || *text == '\\' || *text == '\n')
			label[len++] = '\\';
		label[len++] = *text == '\n' ? 'n' : *text;
	}
	label[len] = '\0';
	return label;
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

static char *refused_text(char *text, const struct sited_metrics *m)
{
	for (unsigned int i = 0; i <= m->workspace_count; i++) {
		bool is_named = i < m->workspace_count;
		char *label;

		if (!m->refused[i])
			continue;
		label = sited_label(text, is_named ? m->workspace[i] : "other");
		text = talloc_asprintf_append_buffer(
			text,
			"currantlane_workspace_jobs_refused_total{workspace=\"%s\"} %" PRIu64 "\n",
			label, m->refused[i]);
	}
	return text;
}

char *sited_metrics_text(TALLOC_CTX *ctx, struct sited_metrics *m)
{
	char *text = counter_text(ctx, &m->counters);

	for (int i = 0; i < SITED_HISTOGRAM_COUNT; i++)
		text = histogram_text(text, m, i);
	text = refused_text(text, m);
	return talloc_asprintf_append_buffer(
		text, "currantlane_log_lines_dropped_total %" PRIu64 "\n", base_log_dropped());
}
