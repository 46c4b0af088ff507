/*
 * What a new leader claims and reads, and how it follows what callers write.
 */
#include "sited_lead.h"

#include <string.h>

const char *sited_part_name(unsigned int part)
{
	static char names[SITED_PARTS][8];

	if (!names[part][0])
		g_snprintf(names[part], sizeof(names[part]), "p%u", part);
	return names[part];
}

/* ---- what is in memory ---- */

static void add_job(struct lead *l, const struct store_row *row)
{
	struct work_job *job = work_job_decode(l, str_from(row->key), row->value);

	if (!job) {
		log_warn("row_unreadable", "row %s of version %" PRId64 " holds no job", row->key,
			 row->version);
		return;
	}
	job->row.version = row->version;
	g_hash_table_insert(l->jobs, job->id, job);
	if (!work_job_is_over(job))
		g_ptr_array_add(l->active, job);
	log_event(
		"job_known", "{ss ss ss sI sI sI si si sI sI}", "id", job->id, "queue", job->queue,
		"state", work_state_name(job->state), "row_version", (json_int_t)row->version,
		"age_ms", (json_int_t)(sited_wall_ms() - job->accepted_ms), "priority",
		(json_int_t)job->priority, "steps", (int)job->step_count, "tasks",
		(int)job->step[0].count, "accelerators", (json_int_t)job->step[0].need.accelerators,
		"objective_ms", (json_int_t)work_objective_ms(job));
}

/* a newer row of a known job: our own write come back, a cancellation, or another leader's write */
void lead_job_row(struct lead *l, struct work_job *job, const struct store_row *row)
{
	struct work_job *read;

	if (row->version == job->row.version)
		return;
	read = work_job_decode(l, str_from(row->key), row->value);
	if (!read)
		return;
	job->row.version = row->version;
	if (work_job_is_over(read) && read->state != job->state) {
		job->state = read->state;
		job->ended_ms = read->ended_ms;
		job->row.stored = job->row.changes;
		log_event("job_ended_elsewhere", "{ss ss sI}", "id", job->id, "state",
			  work_state_name(job->state), "row_version", (json_int_t)row->version);
		lead_job_stop(l, job, "the stored job is over");
	}
	talloc_free(read);
}

void lead_take_job(struct lead *l, const struct store_row *row)
{
	struct work_job *job = g_hash_table_lookup(l->jobs, row->key);

	if (row->removed)
		return;
	if (!job)
		add_job(l, row);
	else if (row->version > job->row.version)
		lead_job_row(l, job, row);
}

int64_t lead_settle_deadline(const struct lead *l)
{
	/* an earlier leader may have renewed for a while, and a server's clock may be slow */
	return sited_now_ms() + LEAD_UNCONFIRMED_MAX_MS +
	       l->d->site->lease_max_ms * LEAD_CLOCK_SLOW_PERCENT / 100 + l->d->site->stop_ms;
}

static void take_group(struct lead *l, const struct store_row *row)
{
	char id[WORK_ID_LEN + 1];
	unsigned int occurrence;
	unsigned int step;
	struct work_job *job;
	struct work_group *g;

	if (!work_key_split(row->key, id, &occurrence, &step))
		return;
	job = g_hash_table_lookup(l->jobs, id);
	if (!job || work_job_is_over(job))
		return;
	work_job_begin(job, occurrence);
	g = work_job_group(job, occurrence, step);
	if (!g || !work_group_merge(g, row->value, l->fleet, lead_settle_deadline(l))) {
		log_warn("row_unreadable", "row %s of version %" PRId64 " holds no progress",
			 row->key, row->version);
		return;
	}
	g->row.version = row->version;
	g->row.stored = g->row.changes;
}

/* ---- loading ---- */

/*
 * A new leader first claims each part, by a row that every transaction of a
 * leader expects. What an earlier leader sent and the store performs late then
 * conflicts, so rows read after the claim stay as they were read.
 */
struct load {
	struct lead *lead;
	unsigned int part;
	char *claim;	       /* value of the row that claims the part */
	int64_t claim_version; /* of the row that it replaces, 0 when there is none */
};

static void follow_jobs(struct lead *l, int64_t after);

static void loads_are_done(struct lead *l)
{
	bool is_first = !l->is_loaded;

	l->is_loaded = true;
	if (!is_first) {
		/* all was read again; the feed goes on from the oldest of these reads */
		follow_jobs(l, l->reread_version);
		lead_kick(l);
		return;
	}
	sited_observe(&l->d->metrics, HIST_LOAD, l->started_at);
	log_event("lead_loaded", "{sI si si si sI}", "term", (json_int_t)l->term, "jobs",
		  (int)g_hash_table_size(l->jobs), "active", (int)l->active->len, "servers",
		  (int)l->fleet->all->len, "took_ms",
		  (json_int_t)((base_now_ns() - l->started_at) / BASE_NS_PER_MS));
	for (guint i = 0; i < l->active->len; i++)
		lead_job_check(l, g_ptr_array_index(l->active, i));
	for (guint i = 0; i < l->fleet->all->len; i++)
		lead_server_look(l, g_ptr_array_index(l->fleet->all, i));
	lead_kick(l);
}

static struct table_source part_source(struct load *load, const char *table, const char *key)
{
	struct lead *l = load->lead;
	struct table_source source = {
		load, l->d->ev, l->d->store, table, sited_part_name(load->part), key};

	return source;
}

static void on_group_rows(const struct table_page *page, void *data)
{
	struct load *load = data;

	for (unsigned int i = 0; i < page->count; i++)
		take_group(load->lead, &page->rows[i]);
}

static void on_part_end(int64_t version G_GNUC_UNUSED, void *data)
{
	struct load *load = data;
	struct lead *l = load->lead;

	talloc_free(load);
	if (!--l->loads)
		loads_are_done(l);
}

static void on_job_rows(const struct table_page *page, void *data)
{
	struct load *load = data;

	for (unsigned int i = 0; i < page->count; i++)
		lead_take_job(load->lead, &page->rows[i]);
}

static void on_jobs_end(int64_t version, void *data)
{
	struct load *load = data;
	struct table_source groups = part_source(load, SITED_GROUPS_TABLE, NULL);

	load->lead->reread_version = MIN(load->lead->reread_version, version);
	/* what is in memory is newer than stored groups, once they were read */
	if (load->lead->is_loaded)
		on_part_end(version, load);
	else
		table_read(&groups, on_group_rows, on_part_end, load);
}

static void read_jobs(struct load *load)
{
	struct table_source jobs = part_source(load, SITED_JOBS_TABLE, NULL);

	table_read(&jobs, on_job_rows, on_jobs_end, load);
}

/* ---- claims ---- */

/* a claim being written; the load is valid while the lead is */
struct claim_call {
	struct sited *d;
	uint64_t serial;
	struct load *load;
};

static void read_claim(struct load *load);

static void on_claimed(const struct store_result *r, void *data)
{
	struct claim_call *call = data;
	struct lead *l = lead_current(call->d, call->serial);
	struct load *load = call->load;

	talloc_free(call);
	if (!l)
		return;
	if (r->status != STORE_OK) {
		/* it may have been performed: the row says so */
		read_claim(load);
		return;
	}
	l->claims[load->part] = r->version;
	read_jobs(load);
}

static void write_claim(struct load *load)
{
	struct lead *l = load->lead;
	struct claim_call *call = talloc_zero(l->d, struct claim_call);
	struct store_tx *tx = store_tx_new(call, sited_part_name(load->part));

	call->d = l->d;
	call->serial = l->serial;
	call->load = load;
	store_tx_expect(tx, SITED_CLAIM_TABLE, SITED_LEAD_KEY, load->claim_version);
	store_tx_put(tx, SITED_CLAIM_TABLE, SITED_LEAD_KEY, str_from(load->claim));
	store_commit(l->d->store, tx, base_deadline_in(SITED_CALL_MS), on_claimed, call);
	talloc_free(tx);
}

static void on_claim_rows(const struct table_page *page, void *data)
{
	struct load *load = data;
	struct lead *l = load->lead;
	const struct store_row *row = page->count ? &page->rows[0] : NULL;

	load->claim_version = row ? row->version : 0;
	if (!row)
		return;
	if (lead_term_of(row) > l->term)
		sited_step_down(l->d, "a later leader has claimed the rows");
	else if (str_eq(row->value, str_from(load->claim)))
		l->claims[load->part] = row->version;
}

static void on_claim_end(int64_t version G_GNUC_UNUSED, void *data)
{
	struct load *load = data;

	/* an earlier sending that got no answer may have been performed */
	if (load->lead->claims[load->part])
		read_jobs(load);
	else
		write_claim(load);
}

static void read_claim(struct load *load)
{
	struct table_source claim = part_source(load, SITED_CLAIM_TABLE, SITED_LEAD_KEY);

	table_read(&claim, on_claim_rows, on_claim_end, load);
}

/* @begin: claim the parts first, or only read their jobs again */
static void load_parts(struct lead *l, void (*begin)(struct load *load))
{
	l->reread_version = INT64_MAX;
	for (unsigned int i = 0; i < SITED_PARTS; i++) {
		struct load *load = talloc_zero(l, struct load);

		load->lead = l;
		load->part = i;
		load->claim = talloc_asprintf(load, "{\"vm\":\"%s\",\"term\":%" PRId64 "}",
					      l->d->site->vm, l->term);
		l->loads++;
		begin(load);
	}
}

/* ---- following what callers write ---- */

static void on_change(const struct table_page *page, void *data)
{
	struct lead *l = data;

	for (unsigned int i = 0; i < page->count; i++)
		lead_take_job(l, &page->rows[i]);
	if (page->count)
		lead_kick(l);
}

static void on_history_gone(void *data)
{
	load_parts(data, read_jobs);
}

static void follow_jobs(struct lead *l, int64_t after)
{
	struct table_source jobs = {l, l->d->ev, l->d->store, SITED_JOBS_TABLE, "", NULL};

	table_follow(&jobs, after, LEAD_FEED_WAIT_MS, on_change, on_history_gone, l);
}

void lead_rows_load(struct lead *l)
{
	load_parts(l, read_claim);
	follow_jobs(l, l->row_version);
}
