/*
 * Takeover of the store by a new leader: it claims every partition, reads the
 * jobs and groups stored there, then follows the jobs that callers write.
 */
#include "sited_lead.h"

#include <string.h>

#include "mtimer/mtimer.h"

const char *sited_partition_name(unsigned int part)
{
	static char names[SITED_PARTITIONS][8];

	if (!names[part][0])
		g_snprintf(names[part], sizeof(names[part]), "p%u", part);
	return names[part];
}

/* the feed, which is the usual source of a row's version, is late by so much */
#define JOB_READ_DELAY_MS 300

/* ---- applying rows to memory ---- */

static struct work_job *add_job(struct lead *l, const struct store_row *row)
{
	struct work_job *job = work_job_decode(l, row->key, row->value);

	if (!job) {
		log_warn("row_unreadable",
			 "row %s at version %" PRId64 " can't be decoded as a job", row->key.ptr,
			 row->version);
		return NULL;
	}
	job->row.version = row->version;
	g_hash_table_insert(l->jobs, job->id, job);
	if (!work_job_has_ended(job))
		g_ptr_array_add(l->active, job);
	log_event(
		"job_known", "{ss ss ss sI sI sI si si sI sI}", "id", job->id, "queue", job->queue,
		"state", work_state_name(job->state), "row_version", (json_int_t)row->version,
		"age_ms", (json_int_t)(sited_wall_ms() - job->accepted_ms), "priority",
		(json_int_t)job->priority, "steps", (int)job->step_count, "tasks",
		(int)job->step[0].count, "accelerators", (json_int_t)job->step[0].need.accelerators,
		"objective_ms", (json_int_t)work_objective_ms(job));
	return job;
}

/* A final state is never changed, so it holds whatever the version of its row. */
static void apply_end(struct lead *l, struct work_job *job, const struct work_job *read,
		      int64_t version)
{
	if (!work_job_has_ended(read) || read->state == job->state)
		return;
	job->state = read->state;
	job->ended_ms = read->ended_ms;
	job->row.stored = job->row.changes;
	log_event("job_ended_elsewhere", "{ss ss sI}", "id", job->id, "state",
		  work_state_name(job->state), "row_version", (json_int_t)version);
	lead_job_stop(l, job, "the stored job has ended");
}

/*
 * Applies a newer row of a known job: this leader's own write returned by the feed,
 * a cancellation, or a write of another leader.
 */
void lead_update_job(struct lead *l, struct work_job *job, const struct store_row *row)
{
	struct work_job *read;

	job->row.awaits_version = false;
	if (row->version == job->row.version)
		return;
	read = work_job_decode(l, row->key, row->value);
	if (!read)
		return;
	job->row.version = row->version;
	job->is_unsubmitted = read->is_unsubmitted;
	apply_end(l, job, read, row->version);
	talloc_free(read);
}

void lead_apply_job_row(struct lead *l, const struct store_row *row)
{
	struct work_job *job = g_hash_table_lookup(l->jobs, store_key_text(row));

	if (row->removed)
		return;
	if (!job)
		add_job(l, row);
	else if (row->version > job->row.version)
		lead_update_job(l, job, row);
}

void lead_apply_reported_job(struct lead *l, const char *id, const char *value)
{
	struct store_row row = {.key = str_from(id), .value = str_from(value)};
	struct work_job *job = g_hash_table_lookup(l->jobs, id);
	struct work_job *read;

	if (!job) {
		job = add_job(l, &row);
		if (job)
			lead_job_await_version(job);
		return;
	}
	read = work_job_decode(l, str_from(id), row.value);
	if (read)
		apply_end(l, job, read, 0);
	talloc_free(read);
}

/* ---- rows of jobs whose version is not known ---- */

void lead_job_await_version(struct work_job *job)
{
	job->row.awaits_version = true;
	job->row.read_at = sited_now_ms() + JOB_READ_DELAY_MS;
}

struct job_read {
	struct sited *d;
	uint64_t serial;
	char id[WORK_ID_LEN + 1];
};

/* no start is sent before a row of the job has been seen, so nothing of the job runs */
static void drop_missing_job(struct lead *l, struct work_job *job)
{
	log_warn("job_missing", "job %s was reported, and the store has no row of it", job->id);
	job->state = WORK_CANCELLED;
	job->ended_ms = sited_wall_ms();
	job->row.awaits_version = false;
	job->row.stored = job->row.changes;
	lead_job_stop(l, job, "the store has no row of the job");
}

static void on_job_read(const struct store_result *r, void *data)
{
	struct job_read *read = data;
	struct lead *l = lead_current(read->d, read->serial);
	struct work_job *job = l ? g_hash_table_lookup(l->jobs, read->id) : NULL;
	bool found = r->count && !strcmp(store_key_text(&r->rows[0]), read->id);

	if (!job || r->status != STORE_OK)
		goto out;
	if (found)
		lead_apply_job_row(l, &r->rows[0]);
	else if (job->row.awaits_version && !job->row.version)
		drop_missing_job(l, job);
	lead_request_round(l);
out:
	talloc_free(read);
}

void lead_job_read_row(struct lead *l, struct work_job *job)
{
	struct store_range range = {SITED_JOBS_TABLE, sited_partition(job->id), str_from(job->id),
				    1};
	struct job_read *read = talloc_zero(l->d, struct job_read);

	job->row.read_at = sited_now_ms() + SITED_STORE_TIMEOUT_MS;
	read->d = l->d;
	read->serial = l->serial;
	g_strlcpy(read->id, job->id, sizeof(read->id));
	store_read(l->d->store, &range, base_deadline_in(SITED_STORE_TIMEOUT_MS), on_job_read,
		   read);
}

/* ---- waits of a new leader ---- */

int64_t lead_leases_wait_ms(const struct lead *l)
{
	/*
	 * A leader may grant leases for LEAD_UNCONFIRMED_MAX_MS after the next one's row
	 * replaced its own, if its bound is not known; a server's clock may be slow, and a
	 * task whose lease ended takes up to stop_timeout_ms to stop.
	 */
	return (LEAD_UNCONFIRMED_MAX_MS + l->d->site->lease_max_ms) * LEAD_CLOCK_MARGIN_PERCENT /
		       100 +
	       l->d->site->stop_timeout_ms;
}

int64_t lead_unconfirmed_task_deadline(const struct lead *l)
{
	return l->started_at / BASE_NS_PER_MS + lead_leases_wait_ms(l);
}

static void apply_group(struct lead *l, const struct store_row *row)
{
	struct work_group_name name;
	struct work_job *job;
	struct work_group *g;

	if (!work_group_key_parse(store_key_text(row), &name))
		return;
	job = g_hash_table_lookup(l->jobs, name.id);
	if (!job || work_job_has_ended(job))
		return;
	work_job_start_through(job, name.occurrence);
	g = work_job_group(job, name.occurrence, name.step);
	if (!g || !work_group_merge(g, name.row, row->value, l->fleet,
				    lead_unconfirmed_task_deadline(l))) {
		log_warn("row_unreadable",
			 "row %s at version %" PRId64 " can't be decoded as a group", row->key.ptr,
			 row->version);
		return;
	}
	g->row[name.row].version = row->version;
	g->row[name.row].stored = g->row[name.row].changes;
}

/* ---- reading all partitions ---- */

/**
 * struct part_load - claim and read of one partition
 * @part: index of the partition
 * @claim: value of the claim row that this leader writes
 * @claim_version: version of the claim row that it replaces, 0 when there is none
 *
 * A new leader first claims each partition by writing its claim row, whose version
 * is a condition of every leader's transactions. A transaction that an earlier
 * leader sent and that the store performs after the claim therefore conflicts, and
 * rows read after the claim can't be changed by an earlier leader any more.
 */
struct part_load {
	struct lead *lead;
	unsigned int part;
	char *claim;
	int64_t claim_version;
};

static void follow_jobs(struct lead *l, int64_t after);

static void on_all_loaded(struct lead *l)
{
	bool is_first = !l->is_loaded;

	l->is_loaded = true;
	if (l->must_follow) {
		/* all jobs were read again; the feed resumes at the oldest version read */
		l->must_follow = false;
		follow_jobs(l, l->reread_version);
	}
	if (!is_first) {
		lead_request_round(l);
		return;
	}
	sited_observe(&l->d->metrics, HIST_LOAD, l->started_at);
	log_event("lead_loaded", "{sI si si si sI}", "term", (json_int_t)l->term, "jobs",
		  (int)g_hash_table_size(l->jobs), "active", (int)l->active->len, "servers",
		  (int)l->fleet->all->len, "took_ms",
		  (json_int_t)((base_now_ns() - l->started_at) / BASE_NS_PER_MS));
	for (guint i = 0; i < l->active->len; i++)
		lead_job_check_completion(l, g_ptr_array_index(l->active, i));
	for (guint i = 0; i < l->fleet->all->len; i++)
		lead_server_poll(l, g_ptr_array_index(l->fleet->all, i));
	lead_request_round(l);
}

static struct table_source part_source(struct part_load *load, const char *table, const char *key)
{
	struct lead *l = load->lead;
	struct table_source source = {.owner = load,
				      .ev = l->d->ev,
				      .store = l->d->store,
				      .table = table,
				      .part = sited_partition_name(load->part),
				      .key = key};

	return source;
}

static void on_group_rows(const struct table_page *page, void *data)
{
	struct part_load *load = data;

	for (unsigned int i = 0; i < page->count; i++)
		apply_group(load->lead, &page->rows[i]);
}

static void on_part_end(int64_t version G_GNUC_UNUSED, void *data)
{
	struct part_load *load = data;
	struct lead *l = load->lead;

	talloc_free(load);
	if (!--l->loads_in_flight)
		on_all_loaded(l);
}

static void on_job_rows(const struct table_page *page, void *data)
{
	struct part_load *load = data;

	for (unsigned int i = 0; i < page->count; i++)
		lead_apply_job_row(load->lead, &page->rows[i]);
}

static void on_jobs_end(int64_t version, void *data)
{
	struct part_load *load = data;
	struct table_source groups = part_source(load, SITED_GROUPS_TABLE, NULL);

	load->lead->reread_version = MIN(load->lead->reread_version, version);
	/* after the first load, the groups in memory are newer than the stored ones */
	if (load->lead->is_loaded)
		on_part_end(version, load);
	else
		table_read(&groups, on_group_rows, on_part_end, load);
}

static void read_jobs(struct part_load *load)
{
	struct table_source jobs = part_source(load, SITED_JOBS_TABLE, NULL);

	table_read(&jobs, on_job_rows, on_jobs_end, load);
}

/* ---- claims ---- */

/* a transaction that writes a claim; @load is valid as long as the leader's term */
struct claim_commit {
	struct sited *d;
	uint64_t serial;
	struct part_load *load;
};

static void read_claim(struct part_load *load);

static void on_claim_timer(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	read_claim(data);
}

static void on_claimed(const struct store_result *r, void *data)
{
	struct claim_commit *call = data;
	struct lead *l = lead_current(call->d, call->serial);
	struct part_load *load = call->load;

	talloc_free(call);
	if (!l)
		return;
	if (r->status != STORE_OK) {
		/*
		 * The claim may have been written nevertheless; its row is read to find out. A
		 * store that answers reads and refuses writes gets a pause.
		 */
		mtimer_add(load, l->d->ev, base_deadline_in(SITED_STORE_RETRY_MS), on_claim_timer,
			   load);
		return;
	}
	/* transactions expect the version of the claim, which only a read of its row shows */
	read_claim(load);
}

static void write_claim(struct part_load *load)
{
	struct lead *l = load->lead;
	struct claim_commit *call = talloc_zero(l->d, struct claim_commit);
	struct store_tx *tx = store_tx_new(call, sited_partition_name(load->part));

	call->d = l->d;
	call->serial = l->serial;
	call->load = load;
	store_tx_expect(tx, SITED_CLAIM_TABLE, SITED_LEAD_KEY, load->claim_version);
	store_tx_put(tx, SITED_CLAIM_TABLE, SITED_LEAD_KEY, str_from(load->claim));
	store_commit(l->d->store, tx, base_deadline_in(SITED_STORE_TIMEOUT_MS), on_claimed, call);
	talloc_free(tx);
}

static void on_claim_rows(const struct table_page *page, void *data)
{
	struct part_load *load = data;
	struct lead *l = load->lead;
	const struct store_row *row = page->count ? &page->rows[0] : NULL;

	load->claim_version = row ? row->version : 0;
	if (!row)
		return;
	if (lead_row_term(row) > l->term)
		sited_step_down(l->d, "a leader of a newer term has claimed the partition");
	else if (str_eq(row->value, str_from(load->claim)))
		l->claims[load->part] = row->version;
}

static void on_claim_end(int64_t version G_GNUC_UNUSED, void *data)
{
	struct part_load *load = data;

	/* the claim was written, maybe by a transaction that got no answer */
	if (load->lead->claims[load->part])
		read_jobs(load);
	else
		write_claim(load);
}

static void read_claim(struct part_load *load)
{
	struct table_source claim = part_source(load, SITED_CLAIM_TABLE, SITED_LEAD_KEY);

	table_read(&claim, on_claim_rows, on_claim_end, load);
}

/* @start: read_claim() to claim each partition first, read_jobs() to read only its jobs again */
static void load_parts(struct lead *l, void (*start)(struct part_load *load))
{
	l->reread_version = INT64_MAX;
	for (unsigned int i = 0; i < SITED_PARTITIONS; i++) {
		struct part_load *load = talloc_zero(l, struct part_load);

		load->lead = l;
		load->part = i;
		load->claim = talloc_asprintf(load, "{\"vm\":\"%s\",\"term\":%" PRId64 "}",
					      l->d->site->vm, l->term);
		l->loads_in_flight++;
		start(load);
	}
}

/* ---- following what callers write ---- */

static void on_change(const struct table_page *page, void *data)
{
	struct lead *l = data;

	for (unsigned int i = 0; i < page->count; i++)
		lead_apply_job_row(l, &page->rows[i]);
	if (page->count)
		lead_request_round(l);
}

static void on_history_gone(void *data)
{
	struct lead *l = data;

	/* the first load may still be under way; the feed starts again after both */
	l->must_follow = true;
	load_parts(l, read_jobs);
}

static void follow_jobs(struct lead *l, int64_t after)
{
	struct table_source jobs = {
		.owner = l, .ev = l->d->ev, .store = l->d->store, .table = SITED_JOBS_TABLE};

	table_follow(&jobs, after, LEAD_FEED_TIMEOUT_MS, on_change, on_history_gone, l);
}

void lead_rows_load(struct lead *l)
{
	load_parts(l, read_claim);
	follow_jobs(l, l->row_version);
}
