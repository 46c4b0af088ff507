/**
 * DOC: schedd_sweep - deletes expired rows of ended jobs and of idempotency claims
 *
 * The active scheduler reads a few rows at a time, so that deletions take little
 * of the table's write rate. Claims belong to no failure domain; the failure
 * domain that rendezvous hashing selects for the key "claims" sweeps them.
 */
#include "schedd.h"

#include <string.h>

#define SWEEP_INTERVAL_MS 10000
#define SWEEP_ROWS 50
#define SWEEP_CALL_TIMEOUT_MS 2000
/* how long outcomes and idempotency keys are kept: a day */
#define RETENTION_US (24LL * 3600 * 1000000)

enum sweep_table { SWEEP_ENDED, SWEEP_CLAIMS, SWEEP_TABLES };

static const char *const tables[SWEEP_TABLES] = {TABLE_ENDED, "claims"};
static const char *const time_fields[SWEEP_TABLES] = {"ended_us", "claimed_us"};

struct sweep {
	struct schedd *s;
	enum sweep_table table;
};

static void on_deleted(enum platform_result result, const int64_t *versions G_GNUC_UNUSED,
		       void *data)
{
	if (result == PLATFORM_OK)
		sched_count(data, SCHED_SWEPT);
}

static void delete_row(struct schedd *s, const char *table, const json_t *row)
{
	struct platform_write write = {table, base_json_str(row, "key", ""),
				       base_json_int(row, "version", 0), NULL, false};

	platform_tx(s->platform, &write, 1, base_deadline_in(SWEEP_CALL_TIMEOUT_MS), on_deleted, s);
}

static void on_rows_read(enum platform_result result, int64_t version G_GNUC_UNUSED, json_t *value,
			 void *data)
{
	struct sweep *sweep = data;
	struct schedd *s = sweep->s;
	enum sweep_table t = sweep->table;
	int64_t delete_before_us = base_wall_us() - RETENTION_US;
	const char *last = NULL;
	size_t i;
	json_t *row;

	talloc_free(sweep);
	if (result != PLATFORM_OK || s->role != ROLE_ACTIVE)
		return;
	json_array_foreach(value, i, row) {
		last = base_json_str(row, "key", "");
		if (base_json_int(json_object_get(row, "value"), time_fields[t], INT64_MAX) <
		    delete_before_us)
			delete_row(s, tables[t], row);
	}
	talloc_free(s->sweep_cursors[t]);
	s->sweep_cursors[t] = last ? talloc_strdup(s, last) : NULL;
}

static bool is_claims_owner(const struct schedd *s)
{
	uint64_t own = base_rendezvous_weight(s->settings->failure_domain, "claims");
	struct cluster_peer *peer;

	for (unsigned int i = 0; (peer = cluster_peer_at(s->cluster, i)); i++)
		if (base_rendezvous_weight(peer->failure_domain, "claims") > own)
			return false;
	return true;
}

static void sweep_table(struct schedd *s, enum sweep_table t)
{
	struct sweep *sweep = talloc_zero(s, struct sweep);
	char *prefix = talloc_asprintf(sweep, "%s/", s->settings->failure_domain);

	sweep->s = s;
	sweep->table = t;
	platform_scan(s->platform, tables[t], t == SWEEP_ENDED ? prefix : "",
		      s->sweep_cursors[t] ? s->sweep_cursors[t] : "", SWEEP_ROWS,
		      base_deadline_in(SWEEP_CALL_TIMEOUT_MS), on_rows_read, sweep);
}

static void on_sweep(struct tevent_context *ev, struct tevent_timer *te G_GNUC_UNUSED,
		     struct timeval now G_GNUC_UNUSED, void *data)
{
	struct schedd *s = data;

	if (s->role == ROLE_ACTIVE) {
		sweep_table(s, SWEEP_ENDED);
		if (is_claims_owner(s))
			sweep_table(s, SWEEP_CLAIMS);
	}
	tevent_add_timer(ev, s, base_timeval_in_ms(SWEEP_INTERVAL_MS), on_sweep, s);
}

void sweep_start(struct schedd *s)
{
	tevent_add_timer(s->ev, s, base_timeval_in_ms(SWEEP_INTERVAL_MS), on_sweep, s);
}
