/*
 * What a new leader claims and reads, and how it follows what callers write.
 */
#include "sited_lead.h"

#include <string.h>

#include "mtimer/mtimer.h"

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
	log_event("job_known", "{ss ss ss sI sI}", "id", job->id, "queue", job->queue, "state",
		  work_state_name(job->state), "row_version", (json_int_t)row->version, "age_ms",
		  (json_int_t)(sited_wall_ms() - job->accepted_ms));
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

static void take_job(struct lead *l, const struct store_row *row)
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
	return sited_now_ms() + LEAD_UNCONFIRMED_MAX_MS + l->d->site->lease_max_ms * 103 / 100 +
	       l->d->site->stop_ms;
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
enum load_stage { LOAD_READ_CLAIM, LOAD_WRITE_CLAIM, LOAD_JOBS, LOAD_GROUPS };

/* a part being claimed and read, page by page */
struct load {
	struct sited *d;
	uint64_t serial;
	enum load_stage stage;
	unsigned int part;
	char *from;
	char *claim; /* value of the row that claims the part */
	int64_t claim_version;
};

static void follow_jobs(struct lead *l);
static void send_load(struct load *load);

static void on_load_timer(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	send_load(data);
}

static void loads_are_done(struct lead *l)
{
	bool is_first = !l->is_loaded;

	l->is_loaded = true;
	if (!is_first) {
		/* all was read again; the feed goes on from the oldest of these reads */
		follow_jobs(l);
		lead_kick(l);
		return;
	}
	sited_observe(&l->d->metrics, HIST_LOAD, l->started_at);
	log_event("lead_loaded", "{sI si si si sI}", "term", (json_int_t)l->term, "jobs",
		  (int)g_hash_table_size(l->jobs), "active", (int)l->active->len, "servers",
		  (int)l->fleet->all->len, "took_ms",
		  (json_int_t)((base_now() - l->started_at) / BASE_NS_PER_MS));
	for (guint i = 0; i < l->active->len; i++)
		lead_job_check(l, g_ptr_array_index(l->active, i));
	for (guint i = 0; i < l->fleet->all->len; i++)
		lead_server_look(l, g_ptr_array_index(l->fleet->all, i));
	lead_kick(l);
}

/* false when a later leader has claimed the part */
static bool take_claim(struct lead *l, struct load *load, const struct store_result *r)
{
	const struct store_row *row = r->count ? &r->rows[0] : NULL;
	json_t *v;
	int64_t term;

	if (!row || strcmp(row->key, SITED_LEAD_KEY)) {
		load->claim_version = 0;
		return true;
	}
	v = json_loadb(row->value.ptr, row->value.len, 0, NULL);
	term = base_json_int(v, "term", 0);
	json_decref(v);
	if (term > l->term)
		return false;
	load->claim_version = row->version;
	/* an earlier sending of this claim that got no answer was performed */
	if (str_eq(row->value, str_from(load->claim)))
		l->claims[load->part] = row->version;
	return true;
}

static void next_stage(struct load *load, enum load_stage stage)
{
	load->stage = stage;
	TALLOC_FREE(load->from);
	send_load(load);
}

static void claim_answered(struct lead *l, struct load *load, const struct store_result *r)
{
	if (load->stage == LOAD_WRITE_CLAIM) {
		if (r->status == STORE_OK)
			l->claims[load->part] = r->version;
		next_stage(load, r->status == STORE_OK ? LOAD_JOBS : LOAD_READ_CLAIM);
		return;
	}
	if (!take_claim(l, load, r)) {
		struct sited *d = load->d;

		talloc_free(load);
		sited_step_down(d, "a later leader has claimed the rows");
		return;
	}
	next_stage(load, l->claims[load->part] ? LOAD_JOBS : LOAD_WRITE_CLAIM);
}

static void rows_answered(struct lead *l, struct load *load, const struct store_result *r)
{
	if (l->is_loaded)
		l->jobs_version = MIN(l->jobs_version, r->version);
	for (unsigned int i = 0; i < r->count; i++) {
		if (load->stage == LOAD_JOBS)
			take_job(l, &r->rows[i]);
		else
			take_group(l, &r->rows[i]);
	}
	if (r->has_more && r->count) {
		/* the range begins with @from, which was read already and is taken twice */
		talloc_free(load->from);
		load->from = talloc_strdup(load, r->rows[r->count - 1].key);
		send_load(load);
		return;
	}
	if (load->stage == LOAD_JOBS && !l->is_loaded) {
		next_stage(load, LOAD_GROUPS);
		return;
	}
	talloc_free(load);
	if (!--l->loads)
		loads_are_done(l);
}

static void on_loaded(const struct store_result *r, void *data)
{
	struct load *load = data;
	struct lead *l = lead_current(load->d, load->serial);

	if (!l)
		talloc_free(load);
	else if (r->status != STORE_OK && load->stage != LOAD_WRITE_CLAIM)
		mtimer_add(load, load->d->ev, base_deadline_in(SITED_RETRY_MS), on_load_timer,
			   load);
	else if (load->stage == LOAD_READ_CLAIM || load->stage == LOAD_WRITE_CLAIM)
		claim_answered(l, load, r);
	else
		rows_answered(l, load, r);
}

static void write_claim(struct load *load)
{
	struct store_tx *tx = store_tx_new(load, sited_part_name(load->part));

	store_tx_expect(tx, SITED_CLAIM_TABLE, SITED_LEAD_KEY, load->claim_version);
	store_tx_put(tx, SITED_CLAIM_TABLE, SITED_LEAD_KEY, str_from(load->claim));
	store_commit(load->d->store, tx, base_deadline_in(SITED_CALL_MS), on_loaded, load);
	talloc_free(tx);
}

static void send_load(struct load *load)
{
	struct store_range range = {SITED_CLAIM_TABLE, sited_part_name(load->part), SITED_LEAD_KEY,
				    1};

	if (!lead_current(load->d, load->serial)) {
		talloc_free(load);
		return;
	}
	switch (load->stage) {
	case LOAD_READ_CLAIM:
		break;
	case LOAD_WRITE_CLAIM:
		write_claim(load);
		return;
	case LOAD_JOBS:
	case LOAD_GROUPS:
		range.table = load->stage == LOAD_JOBS ? SITED_JOBS_TABLE : SITED_GROUPS_TABLE;
		range.from = load->from;
		range.limit = 0;
		break;
	}
	store_read(load->d->store, &range, base_deadline_in(SITED_CALL_MS), on_loaded, load);
}

static void load_parts(struct lead *l, enum load_stage from)
{
	for (unsigned int i = 0; i < SITED_PARTS; i++) {
		struct load *load = talloc_zero(l->d, struct load);

		load->d = l->d;
		load->serial = l->serial;
		load->stage = from;
		load->part = i;
		load->claim = talloc_asprintf(load, "{\"vm\":\"%s\",\"term\":%" PRId64 "}",
					      l->d->site->vm, l->term);
		l->loads++;
		send_load(load);
	}
}

void lead_rows_load(struct lead *l)
{
	load_parts(l, LOAD_READ_CLAIM);
	follow_jobs(l);
}

/* ---- following what callers write ---- */

static void on_follow_timer(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	follow_jobs(data);
}

static void on_jobs(const struct store_result *r, void *data)
{
	struct lead_feed *feed = data;
	struct lead *l = lead_current(feed->d, feed->serial);

	talloc_free(feed);
	if (!l)
		return;
	switch (r->status) {
	case STORE_OK:
		for (unsigned int i = 0; i < r->count; i++)
			take_job(l, &r->rows[i]);
		l->jobs_version = MAX(l->jobs_version, r->version);
		if (r->count)
			lead_kick(l);
		follow_jobs(l);
		break;
	case STORE_HISTORY_GONE:
		log_event("feed_history_gone", "{ss sI}", "table", SITED_JOBS_TABLE, "after",
			  (json_int_t)l->jobs_version);
		l->jobs_version = INT64_MAX;
		load_parts(l, LOAD_JOBS);
		break;
	default:
		mtimer_add(l, l->d->ev, base_deadline_in(SITED_RETRY_MS), on_follow_timer, l);
		break;
	}
}

static void follow_jobs(struct lead *l)
{
	store_feed(l->d->store, SITED_JOBS_TABLE, l->jobs_version, LEAD_FEED_WAIT_MS,
		   base_deadline_in(LEAD_FEED_WAIT_MS + LEAD_FEED_ANSWER_MS), on_jobs,
		   lead_feed_new(l));
}
