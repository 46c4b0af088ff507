/**
 * DOC: sited_metrics - counters and latency histograms of currantlane-sited
 */
#ifndef SITED_METRICS_H
#define SITED_METRICS_H

#include "base/base.h"

#define SITED_COUNTERS(X)                                     \
	X(COUNT_ACCEPTED, "jobs_accepted_total")              \
	X(COUNT_REFUSED, "jobs_refused_total")                \
	X(COUNT_CANCELLED, "jobs_cancelled_total")            \
	X(COUNT_COMPLETED, "jobs_completed_total")            \
	X(COUNT_FAILED, "jobs_failed_total")                  \
	X(COUNT_UNANSWERED, "requests_unknown_outcome_total") \
	X(COUNT_REQUESTS_RELAYED, "requests_relayed_total")   \
	X(COUNT_STARTS, "task_starts_total")                  \
	X(COUNT_STOPS, "task_stops_total")                    \
	X(COUNT_RECLAIMS, "task_reclaims_total")              \
	X(COUNT_POLLS, "looks_total")                         \
	X(COUNT_AGENT_ORDERS, "orders_by_agents_total")       \
	X(COUNT_RENEWED_ALONE, "leases_renewed_alone_total")  \
	X(COUNT_ORDERS_RELAYED, "orders_carried_total")       \
	X(COUNT_TERMS, "terms_total")                         \
	X(COUNT_CONFLICTS, "store_conflicts_total")

enum sited_counter {
#define X(id, name) id,
	SITED_COUNTERS(X)
#undef X
		SITED_COUNTER_COUNT
};

#define SITED_HISTOGRAMS(X)                    \
	X(HIST_ACCEPT, "accept_seconds")       \
	X(HIST_START, "first_start_seconds")   \
	X(HIST_COMMIT, "store_commit_seconds") \
	X(HIST_LOAD, "takeover_seconds")

enum sited_histogram {
#define X(id, name) id,
	SITED_HISTOGRAMS(X)
#undef X
		SITED_HISTOGRAM_COUNT
};

#define SITED_BUCKETS \
	12 /* upper bounds in ms: 1, 2, 5, 10, ... 5000; one more bucket has no bound */

#define SITED_WORKSPACES_MAX 64 /* workspaces with a counter of their own */

/**
 * struct sited_metrics - metrics of the process, used by one thread only
 * @bucket: observations in each bucket of a histogram, not cumulative
 * @sum_us: sum of the observations of a histogram, in us
 * @workspace: names of the workspaces of which a job was refused
 * @refused: jobs refused of each; the last element counts those of further workspaces
 */
struct sited_metrics {
	struct counter_set counters;
	uint64_t bucket[SITED_HISTOGRAM_COUNT][SITED_BUCKETS + 1];
	uint64_t sum_us[SITED_HISTOGRAM_COUNT];
	char *workspace[SITED_WORKSPACES_MAX];
	unsigned int workspace_count;
	uint64_t refused[SITED_WORKSPACES_MAX + 1];
};

/** sited_metrics_init() - prepare metrics that are zeroed */
void sited_metrics_init(struct sited_metrics *m);
/** sited_count() - increment a counter */
void sited_count(struct sited_metrics *m, enum sited_counter id);
/** sited_count_refused() - count a refused job of @workspace; the name is kept in @ctx */
void sited_count_refused(TALLOC_CTX *ctx, struct sited_metrics *m, const char *workspace);
/** sited_label() - @text as the value of a label in Prometheus text format, owned by @ctx */
char *sited_label(TALLOC_CTX *ctx, const char *text);
/** sited_observe() - record the time since @started_at, which is on base_now_ns()'s clock */
void sited_observe(struct sited_metrics *m, enum sited_histogram id, int64_t started_at);
/** sited_metrics_text() - all metrics in Prometheus text format, owned by @ctx */
char *sited_metrics_text(TALLOC_CTX *ctx, struct sited_metrics *m);

#endif
