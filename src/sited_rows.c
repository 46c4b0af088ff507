/*
 * Transactions by which the leader stores jobs and groups.
 *
 * A job has a row, written when it is accepted and when its state changes, and
 * one row for each group that has started. A row is written only under the
 * condition that nobody else has written it since an answer of the store last showed
 * it to this leader. This condition, and not the election, keeps two leaders from placing
 * one task twice. A start is sent only after the row that names its server is stored.
 */
#include "sited_lead.h"

#include <string.h>

#include "mtimer/mtimer.h"

#define TX_ENTRIES_MAX 90 /* conditions and puts of one transaction; the store accepts 100 */
#define GROUP_ROWS_MAX (WORK_TASKS_MAX / WORK_ROW_TASKS)
#define UNKNOWN_RETRY_MS 80   /* delay before an unanswered transaction is sent again */
#define INVALID_RETRY_MS 1000 /* delay after the store rejects the rows of a job as invalid */
/*
 * Load pattern: the tasks of a wide step end one after the other, and each end
 * would write the whole row again. Ends that nothing waits for are stored
 * together, and less often on a slow link, which the rows would saturate.
 */
#define PROGRESS_DELAY_MIN_MS 50
#define PROGRESS_DELAY_MAX_MS 400
#define PROGRESS_DELAY_MS_MBPS 800 /* delay in ms times the link's rate in Mbit/s */
#define SWEEP_MARGIN_MS 30000 /* a job's row is kept this much longer than status_retention_ms */
#define SWEEP_JOBS_MAX 20     /* most jobs removed by one sweep */
#define SWEEP_TX_MAX 24	      /* most transactions that remove one job: all rows of 64 steps */
/* A caller may cancel as many unknown ids as the store takes writes; each leaves a row. */
#define SWEEP_UNSUBMITTED_MAX \
	(TX_ENTRIES_MAX / 2) /* rows that one sweep removes from a partition */

static unsigned int part_index(const char *job_id)
{
	return (unsigned int)(base_hash(job_id, strlen(job_id), 0) % SITED_PARTITIONS);
}

const char *sited_partition(const char *job_id)
{
	return sited_partition_name(part_index(job_id));
}

/* ---- transactions ---- */

/*
 * a row that a transaction writes; @changes counts the changes in memory that @value holds, and
 * @replaced is the version that the transaction expects
 */
struct commit_entry {
	struct work_job *job;
	struct work_group *group; /* NULL for the job's own row */
	unsigned int index;	  /* of a group's row */
	struct work_row *row;
	char *key;
	uint64_t changes;
	char *value;
	int64_t replaced;
};

/**
 * struct commit - a transaction in flight
 * @part: index of the partition
 * @count: number of entries
 * @conditions: number of expected versions
 * @started_at: when it was first sent, in ns on base_now_ns()'s clock; 0 while it is being filled
 * @is_full: no further job may be added
 * @is_unsure: an earlier attempt to send it got no answer and may have been performed
 */
struct commit {
	struct sited *d;
	uint64_t serial;
	unsigned int part;
	struct store_tx *tx;
	struct commit_entry entry[TX_ENTRIES_MAX];
	unsigned int count;
	unsigned int conditions;
	int64_t started_at;
	bool is_full;
	bool is_unsure;
};

static void send_commit(struct commit *c);

static const char *table_of(const struct commit_entry *e)
{
	return e->group ? SITED_GROUPS_TABLE : SITED_JOBS_TABLE;
}

static void expect_job(struct commit *c, const struct work_job *job)
{
	store_tx_expect(c->tx, SITED_JOBS_TABLE, job->id, job->row.version);
	c->conditions++;
}

/* a transaction takes its first row whatever its length */
static bool fits(const struct commit *c, size_t bytes)
{
	return !c->count || store_tx_bytes(c->tx) + bytes <= STORE_TX_BYTES_MAX;
}

/* returns false, with nothing added, when the row would make the transaction too long */
static bool put(struct commit *c, const struct commit_entry *e)
{
	const char *table = table_of(e);
	struct str value = str_from(e->value);

	if (!fits(c, store_row_bytes(c->tx, table, e->key, value)))
		return false;
	store_tx_put(c->tx, table, e->key, value);
	store_tx_expect(c->tx, table, e->key, e->row->version);
	c->entry[c->count++] = *e;
	c->conditions++;
	return true;
}

static bool put_job_row(struct commit *c, struct work_job *job)
{
	struct commit_entry e = {job,
				 NULL,
				 0,
				 &job->row,
				 job->id,
				 job->row.changes,
				 work_job_encode(c, job),
				 job->row.version};

	return put(c, &e);
}

/* Without their snapshots, tasks that the next leader starts again begin anew. */
static char *encode_group_row(struct commit *c, const struct work_group *g, unsigned int index)
{
	char *value = work_group_encode(c, g, index, true);

	if ((int64_t)strlen(value) <= c->d->site->row_bytes_max)
		return value;
	log_warn("snapshots_not_stored",
		 "row %u of step %u of job %s has %zu bytes; it is stored without snapshots", index,
		 g->step_index, g->job->id, strlen(value));
	talloc_free(value);
	return work_group_encode(c, g, index, false);
}

static bool has_space_for(const struct commit *c, unsigned int rows)
{
	return c->count + c->conditions + 2 * rows <= TX_ENTRIES_MAX;
}

/*
 * Adds the changed rows of a group. They are stored together, so that the next leader
 * doesn't find a gang of which only some members are placed; only rows that no single
 * transaction holds are divided. Row 0 comes last: one of an earlier version holds all tasks
 * until their own rows are stored. Returns false when rows are left.
 */
static bool put_group(struct commit *c, struct work_group *g, bool expects_job)
{
	struct commit_entry e[GROUP_ROWS_MAX];
	size_t bytes = store_row_bytes(c->tx, SITED_JOBS_TABLE, g->job->id, str_from(""));
	unsigned int count = 0;

	for (unsigned int i = g->row_count; i-- > 0;) {
		struct work_row *row = &g->row[i];
		char *key;

		if (row->changes <= row->stored)
			continue;
		key = work_group_key(c, g->job, g->occurrence, g->step_index, i);
		e[count] = (struct commit_entry){
			g->job,	     g, i, row, key, row->changes, encode_group_row(c, g, i),
			row->version};
		bytes += store_row_bytes(c->tx, SITED_GROUPS_TABLE, key, str_from(e[count].value));
		count++;
	}
	c->is_full = !fits(c, bytes) || (c->count && !has_space_for(c, count + 1));
	if (c->is_full) {
		for (unsigned int i = 0; i < count; i++)
			talloc_free(e[i].value);
		return false;
	}
	if (expects_job)
		expect_job(c, g->job);
	for (unsigned int i = 0; i < count && !c->is_full; i++)
		c->is_full = !put(c, &e[i]);
	return !c->is_full;
}

/* the job's own row is always a condition, so that a cancellation is noticed */
static void put_job(struct commit *c, struct work_job *job)
{
	bool has_put =
		job->row.changes > job->row.stored && has_space_for(c, 1) && put_job_row(c, job);

	if (work_job_has_ended(job) || c->is_full)
		return;
	for (guint i = 0; i < job->groups->len; i++) {
		struct work_group *g = g_ptr_array_index(job->groups, i);

		if (!work_group_has_changes(g))
			continue;
		if (!put_group(c, g, !has_put))
			return;
		has_put = true;
		g->store_by = 0;
	}
}

static void send_starts(struct lead *l, const struct commit_entry *e, struct starts *starts)
{
	unsigned int first = e->index * WORK_ROW_TASKS;

	for (unsigned int i = first; i < MIN(first + WORK_ROW_TASKS, e->group->count); i++) {
		struct work_task *t = &e->group->task[i];

		if (t->state == TASK_ASSIGNED && t->assigned_change <= e->row->stored)
			lead_task_start(l, t, starts);
	}
}

/*
 * Notes that a row was stored, in a version that is not above @newest. Others write the rows of
 * jobs, when they cancel them, so a row of a job is written again only over a version that an
 * answer has shown. The rows of groups are written only by the leader that holds the claim,
 * which each transaction expects: a version that is too high conflicts, and the conflict shows
 * the right one.
 */
static void note_stored(struct commit_entry *e, int64_t newest)
{
	if (e->group)
		e->row->version = MAX(e->row->version, newest);
	else if (e->row->version == e->replaced)
		lead_job_await_version(e->job);
}

/* @versions: of the rows, when a conflict has shown that they were written; else NULL */
static void on_commit_stored(struct lead *l, struct commit *c, const int64_t *versions,
			     int64_t newest)
{
	struct starts *starts = starts_new(c);

	for (unsigned int i = 0; i < c->count; i++) {
		struct commit_entry *e = &c->entry[i];
		struct work_row *row = e->row;

		if (versions)
			row->version = MAX(row->version, versions[i]);
		else
			note_stored(e, newest);
		row->stored = MAX(row->stored, e->changes);
		e->job->is_stored_alone = false;
		if (!e->group && work_job_has_ended(e->job))
			log_event("job_ended", "{ss ss sI sI}", "id", e->job->id, "state",
				  work_state_name(e->job->state), "took_ms",
				  (json_int_t)(e->job->ended_ms - e->job->accepted_ms),
				  "row_version", (json_int_t)row->version);
	}
	for (unsigned int i = 0; i < c->count; i++)
		if (c->entry[i].group)
			send_starts(l, &c->entry[i], starts);
	lead_log_starts(starts);
	talloc_free(starts);
	lead_servers_acknowledge(l);
}

static const struct store_row *conflicting_row(const struct store_result *r,
					       const struct commit_entry *e)
{
	return store_find_row(r, table_of(e), e->key);
}

/* an earlier attempt was performed if every row holds the value that this one would write */
static bool was_performed(const struct commit *c, const struct store_result *r, int64_t *versions)
{
	for (unsigned int i = 0; i < c->count; i++) {
		const struct store_row *row = conflicting_row(r, &c->entry[i]);

		if (!row || !str_eq(row->value, str_from(c->entry[i].value)))
			return false;
		versions[i] = row->version;
	}
	return true;
}

/*
 * Applies a group's row that was written before the claim but not read. No start
 * was sent for the group's old version, so tasks that are assigned or await preemption
 * are released.
 */
static void apply_foreign_group(struct lead *l, const struct commit_entry *e,
				const struct store_row *row)
{
	struct work_group *g = e->group;

	log_event("row_foreign", "{ss sI sI}", "row", store_key_text(row), "version",
		  (json_int_t)row->version, "known", (json_int_t)e->row->version);
	for (unsigned int i = 0; i < g->count; i++)
		if (g->task[i].state == TASK_ASSIGNED ||
		    g->task[i].state == TASK_AWAITING_PREEMPTION)
			work_task_release(&g->task[i]);
	work_group_merge(g, e->index, row->value, l->fleet, lead_unconfirmed_task_deadline(l));
	e->row->version = row->version;
	sited_verify_leadership(l->d, "a row has a version that this leader did not write");
}

/* takes over conflicting rows; returns false when this VM stepped down and @l is freed */
static bool resolve_conflict(struct lead *l, struct commit *c, const struct store_result *r)
{
	const struct store_row *claim = store_find_row(r, SITED_CLAIM_TABLE, SITED_LEAD_KEY);

	sited_count(&l->d->metrics, COUNT_CONFLICTS);
	if (claim && lead_row_term(claim) != l->term) {
		sited_step_down(l->d, "a leader of a newer term has claimed the partition");
		return false;
	}
	log_event("store_conflict", "{ss sI sI si si}", "part", sited_partition_name(c->part),
		  "claim", (json_int_t)l->claims[c->part], "claim_found",
		  (json_int_t)(claim ? claim->version : 0), "rows_written", (int)c->count,
		  "rows_found", (int)r->count);
	if (claim)
		l->claims[c->part] = claim->version;
	for (unsigned int i = 0; i < r->count; i++) {
		struct work_job *job = NULL;

		if (!strcmp(r->rows[i].table, SITED_JOBS_TABLE))
			job = g_hash_table_lookup(l->jobs, store_key_text(&r->rows[i]));
		if (job)
			lead_update_job(l, job, &r->rows[i]);
	}
	for (unsigned int i = 0; i < c->count; i++) {
		const struct commit_entry *e = &c->entry[i];
		const struct store_row *row = e->group ? conflicting_row(r, e) : NULL;

		if (row && row->version > e->row->version)
			apply_foreign_group(l, e, row);
		else if (row)
			e->row->version = row->version;
	}
	return true;
}

/*
 * The rows that the store refuses may be those of one job. Each job of the transaction is
 * stored alone next, so that this one does not hold back the others of its partition.
 */
static void isolate_jobs(struct lead *l, const struct commit *c)
{
	int64_t now = sited_now_ms();
	const struct work_job *first = c->entry[0].job;
	bool is_alone = true;

	for (unsigned int i = 0; i < c->count; i++) {
		is_alone = is_alone && c->entry[i].job == first;
		c->entry[i].job->is_stored_alone = true;
	}
	for (unsigned int i = 0; is_alone && i < c->count; i++)
		c->entry[i].job->store_not_before = now + INVALID_RETRY_MS;
	l->commit_not_before[c->part] = now + SITED_STORE_RETRY_MS;
	log_warn("rows_rejected",
		 "the store rejected %u rows of job %s%s in partition %s, %zu bytes; %s", c->count,
		 first->id, is_alone ? "" : " and others", sited_partition_name(c->part),
		 store_tx_bytes(c->tx),
		 is_alone ? "they are not stored" : "each job is stored alone next");
}

static void on_commit_timer(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	send_commit(data);
}

static void on_committed(const struct store_result *r, void *data)
{
	struct commit *c = data;
	struct lead *l = lead_current(c->d, c->serial);
	int64_t versions[TX_ENTRIES_MAX];

	if (!l)
		goto out;
	switch (r->status) {
	case STORE_OK:
		l->commits[c->part] = NULL;
		sited_observe(&c->d->metrics, HIST_COMMIT, c->started_at);
		on_commit_stored(l, c, NULL, r->newest);
		break;
	case STORE_CONFLICT:
		l->commits[c->part] = NULL;
		if (was_performed(c, r, versions))
			on_commit_stored(l, c, versions, r->newest);
		else if (!resolve_conflict(l, c, r))
			goto out;
		break;
	case STORE_REFUSED:
		if (c->is_unsure) {
			mtimer_add(c, c->d->ev, base_deadline_in(SITED_STORE_RETRY_MS),
				   on_commit_timer, c);
			return;
		}
		l->commits[c->part] = NULL;
		l->commit_not_before[c->part] = sited_now_ms() + SITED_STORE_RETRY_MS;
		break;
	case STORE_UNKNOWN:
		c->is_unsure = true;
		mtimer_add(c, c->d->ev, base_deadline_in(UNKNOWN_RETRY_MS), on_commit_timer, c);
		return;
	case STORE_HISTORY_GONE:
	case STORE_INVALID:
		l->commits[c->part] = NULL;
		isolate_jobs(l, c);
		break;
	}
	lead_request_round(l);
out:
	talloc_free(c);
}

static void send_commit(struct commit *c)
{
	if (!lead_current(c->d, c->serial)) {
		talloc_free(c);
		return;
	}
	store_commit(c->d->store, c->tx, base_deadline_in(SITED_STORE_TIMEOUT_MS), on_committed, c);
}

/* after a job has ended, changes of its groups need not be stored: its own row is enough */
static void mark_groups_stored(struct lead *l, struct work_job *job)
{
	bool changed = false;

	for (guint i = 0; i < job->groups->len; i++) {
		struct work_group *g = g_ptr_array_index(job->groups, i);

		changed |= work_group_has_changes(g);
		for (unsigned int k = 0; k < g->row_count; k++)
			g->row[k].stored = g->row[k].changes;
	}
	if (changed)
		lead_servers_acknowledge(l);
}

static bool holds_servers(const struct work_job *job)
{
	for (guint i = 0; i < job->groups->len; i++) {
		const struct work_group *g = g_ptr_array_index(job->groups, i);

		for (unsigned int k = 0; k < g->count; k++)
			if (g->task[k].server)
				return true;
	}
	return false;
}

static void drop_ended_jobs(struct lead *l)
{
	for (guint i = 0; i < l->active->len;) {
		struct work_job *job = g_ptr_array_index(l->active, i);

		if (!work_job_has_ended(job) || job->row.stored < job->row.changes) {
			i++;
			continue;
		}
		mark_groups_stored(l, job);
		if (holds_servers(job))
			i++;
		else
			g_ptr_array_remove_index_fast(l->active, i);
	}
}

static int64_t progress_delay_ms(const struct lead *l)
{
	return CLAMP((int64_t)(PROGRESS_DELAY_MS_MBPS / MAX(l->d->site->link_mbps, 1)),
		     PROGRESS_DELAY_MIN_MS, PROGRESS_DELAY_MAX_MS);
}

/* a start, or the steps that depend on this one, can't go on before the row is stored */
static bool is_awaited(const struct work_group *g)
{
	if (g->done == g->count)
		return true;
	for (unsigned int i = 0; i < g->count; i++)
		if (g->task[i].state == TASK_ASSIGNED)
			return true;
	return false;
}

static bool is_group_due(const struct lead *l, struct work_group *g, int64_t now)
{
	if (!work_group_has_changes(g)) {
		g->store_by = 0;
		return false;
	}
	if (!g->store_by)
		g->store_by = now + progress_delay_ms(l);
	return now >= g->store_by || is_awaited(g);
}

static bool is_due(const struct lead *l, struct work_job *job, int64_t now)
{
	bool due = job->row.changes > job->row.stored;

	if (work_job_has_ended(job))
		return due;
	for (guint i = 0; i < job->groups->len && !due; i++)
		due = is_group_due(l, g_ptr_array_index(job->groups, i), now);
	return due;
}

static struct commit *commit_new(struct lead *l, unsigned int part)
{
	struct commit *c = talloc_zero(l->d, struct commit);

	c->d = l->d;
	c->serial = l->serial;
	c->part = part;
	c->tx = store_tx_new(c, sited_partition_name(part));
	store_tx_expect(c->tx, SITED_CLAIM_TABLE, SITED_LEAD_KEY, l->claims[part]);
	c->conditions++;
	return c;
}

/* adds the job's changes to its partition's next transaction */
static void add_job(struct lead *l, struct work_job *job, unsigned int part, int64_t now)
{
	struct commit *c = l->commits[part];
	/* an unsent transaction has space unless it is full or @job must be alone */
	bool is_closed = c && (c->started_at || c->is_full || job->is_stored_alone);

	if (now < l->commit_not_before[part] || now < job->store_not_before ||
	    !is_due(l, job, now) || is_closed)
		return;
	if (job->row.awaits_version) {
		if (now >= job->row.read_at)
			lead_job_read_row(l, job);
		return;
	}
	if (!c)
		c = l->commits[part] = commit_new(l, part);
	put_job(c, job);
	c->is_full = c->is_full || job->is_stored_alone;
	l->was_alone[part] = job->is_stored_alone;
}

/* Jobs that are stored alone and all others take turns, so that neither wait for ever. */
static void add_jobs(struct lead *l, bool is_next_turn, int64_t now)
{
	for (guint i = 0; i < l->active->len; i++) {
		struct work_job *job = g_ptr_array_index(l->active, i);
		unsigned int part = part_index(job->id);
		bool has_turn = job->is_stored_alone != l->was_alone[part];

		if (has_turn == is_next_turn)
			add_job(l, job, part, now);
	}
}

void lead_rows_flush(struct lead *l)
{
	int64_t now = sited_now_ms();

	drop_ended_jobs(l);
	add_jobs(l, true, now);
	add_jobs(l, false, now);
	for (unsigned int part = 0; part < SITED_PARTITIONS; part++) {
		struct commit *c = l->commits[part];

		if (!c || c->started_at)
			continue;
		c->started_at = base_now_ns();
		send_commit(c);
	}
}

bool lead_rows_idle(const struct lead *l)
{
	for (unsigned int part = 0; part < SITED_PARTITIONS; part++)
		if (l->commits[part])
			return false;
	return true;
}

/* ---- removal of ended jobs ---- */

static void on_swept(const struct store_result *r, void *data G_GNUC_UNUSED)
{
	if (r->status != STORE_OK)
		log_warn("sweep_failed", "rows of ended jobs were not removed from the store: %s",
			 store_status_name(r->status));
}

static void send_removal(struct lead *l, struct store_tx *tx)
{
	store_commit(l->d->store, tx, base_deadline_in(SITED_STORE_TIMEOUT_MS), on_swept, NULL);
	talloc_free(tx);
}

static void remove_rows(struct lead *l, struct work_job *job)
{
	unsigned int groups = (unsigned int)MAX(job->times, 1) * job->step_count;
	struct store_tx *tx = store_tx_new(l, sited_partition(job->id));
	unsigned int rows = 0;

	store_tx_remove(tx, SITED_JOBS_TABLE, job->id);
	for (unsigned int i = 0; i < groups; i++) {
		unsigned int step = i % job->step_count;

		for (unsigned int r = 0; r < work_step_row_count(&job->step[step]); r++) {
			if (++rows % TX_ENTRIES_MAX == 0) {
				send_removal(l, tx);
				if (rows == SWEEP_TX_MAX * TX_ENTRIES_MAX)
					return;
				tx = store_tx_new(l, sited_partition(job->id));
			}
			store_tx_remove(tx, SITED_GROUPS_TABLE,
					work_group_key(tx, job, i / job->step_count, step, r));
		}
	}
	send_removal(l, tx);
}

/*
 * Removes rows of jobs that were cancelled and never submitted. Unlike those of other ended jobs
 * they may be replaced, by a submission, so their versions are conditions.
 */
static void remove_unsubmitted(struct lead *l, unsigned int part, struct work_job *const *jobs,
			       unsigned int count)
{
	struct store_tx *tx = store_tx_new(l, sited_partition_name(part));

	for (unsigned int i = 0; i < count; i++) {
		store_tx_expect(tx, SITED_JOBS_TABLE, jobs[i]->id, jobs[i]->row.version);
		store_tx_remove(tx, SITED_JOBS_TABLE, jobs[i]->id);
		g_hash_table_remove(l->jobs, jobs[i]->id);
		talloc_free(jobs[i]);
	}
	send_removal(l, tx);
}

static void sweep_unsubmitted(struct lead *l, int64_t before)
{
	static struct work_job *old[SITED_PARTITIONS][SWEEP_UNSUBMITTED_MAX];
	unsigned int count[SITED_PARTITIONS] = {0};
	GHashTableIter it;
	gpointer job;

	g_hash_table_iter_init(&it, l->jobs);
	while (g_hash_table_iter_next(&it, NULL, &job)) {
		struct work_job *j = job;
		unsigned int part = part_index(j->id);

		if (j->is_unsubmitted && j->ended_ms < before &&
		    count[part] < SWEEP_UNSUBMITTED_MAX)
			old[part][count[part]++] = j;
	}
	for (unsigned int part = 0; part < SITED_PARTITIONS; part++)
		if (count[part])
			remove_unsubmitted(l, part, old[part], count[part]);
}

/* XXX: of a timed job only the first SWEEP_TX_MAX * TX_ENTRIES_MAX rows are removed */
void lead_rows_sweep(struct lead *l)
{
	int64_t before = sited_wall_ms() - l->d->site->status_retention_ms - SWEEP_MARGIN_MS;
	struct work_job *old[SWEEP_JOBS_MAX];
	unsigned int count = 0;
	GHashTableIter it;
	gpointer job;

	sweep_unsubmitted(l, before);
	g_hash_table_iter_init(&it, l->jobs);
	while (count < SWEEP_JOBS_MAX && g_hash_table_iter_next(&it, NULL, &job)) {
		const struct work_job *j = job;

		if (work_job_has_ended(j) && !j->is_unsubmitted && j->ended_ms < before &&
		    !holds_servers(j) && j->row.stored == j->row.changes)
			old[count++] = job;
	}
	for (unsigned int i = 0; i < count; i++) {
		remove_rows(l, old[i]);
		g_ptr_array_remove_fast(l->active, old[i]);
		g_hash_table_remove(l->jobs, old[i]->id);
		talloc_free(old[i]);
	}
}
