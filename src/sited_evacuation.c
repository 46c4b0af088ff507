/*
 * The operator's evacuations of failure domains, see lib/evacuation and
 * docs/design/evacuation.md. Each VM knows them from the feed that it reads for the
 * configuration, and from reads of their rows: after each gap of the feed, and as a leader that
 * takes over or whose feed is late, which a large document on a small link can make it.
 */
#include "sited_lead.h"

#include <string.h>

/* of the age up to which tasks may be started; an idle feed's answer is at most 2.4 s old */
#define REFRESH_AGE_PERCENT 65
/* after an agent has refused a start: the leader should know by then */
#define AGENT_REFUSED_SUSPECT_MS 500

/**
 * struct sited_evacuations - the evacuations that this VM knows
 * @read: read of all rows in progress, or NULL
 * @read_sent_at: when its first call was sent, ms on sited_now_ms()'s clock; 0 before
 * @is_changed: the set has changed since the servers were last marked
 */
struct sited_evacuations {
	struct sited *d;
	struct evacuations *set;
	struct table *read;
	int64_t read_sent_at;
	bool is_changed;
};

static bool is_enabled(const struct sited *d)
{
	return d->site->evacuate_ms > 0;
}

/* ---- the servers of a leader ---- */

/* Releases the tasks of which no start was sent; they are placed elsewhere. */
static void release_unsent(struct lead *l, struct fleet_server *sv)
{
	GPtrArray *tasks = g_ptr_array_copy(sv->tasks, NULL, NULL);

	for (guint i = 0; i < tasks->len; i++) {
		struct work_task *t = g_ptr_array_index(tasks, i);

		if (t->server == sv && t->state == TASK_ASSIGNED)
			lead_task_release(l, t, "its failure domain is evacuated");
	}
	g_ptr_array_free(tasks, TRUE);
}

/* the next round releases what awaits preemption there */
static void mark_servers(struct lead *l)
{
	const GPtrArray *all = l->fleet->all;

	for (guint i = 0; i < all->len; i++)
		lead_evacuation_mark(l, g_ptr_array_index(all, i));
	for (guint i = 0; i < all->len; i++) {
		struct fleet_server *sv = g_ptr_array_index(all, i);

		if (sv->is_evacuated)
			release_unsent(l, sv);
	}
	lead_request_round(l);
}

void lead_evacuation_mark(struct lead *l, struct fleet_server *sv)
{
	sv->is_evacuated = sited_domain_is_evacuated(l->d, sv->failure_domain);
}

/* ---- changes ---- */

static void on_change(const struct evacuation *e, void *data)
{
	struct sited_evacuations *s = data;

	s->is_changed = true;
	log_event(e->is_in_force ? "evacuation_taken" : "evacuation_over", "{ss sI sI si}",
		  "domain", e->domain, "row_version", (json_int_t)e->version, "age_ms",
		  (json_int_t)(sited_now_ms() - e->seen_at), "evacuated",
		  (int)evacuations_count(s->set));
}

static void use_changes(struct sited_evacuations *s, bool was_complete)
{
	bool is_complete = evacuations_are_complete(s->set);

	if (was_complete != is_complete) {
		s->is_changed = true;
		log_event("evacuations_complete", "{sb si}", "complete", is_complete, "rows_max",
			  EVACUATION_DOMAINS_MAX);
	}
	if (!s->is_changed)
		return;
	s->is_changed = false;
	if (s->d->lead)
		mark_servers(s->d->lead);
}

/* ---- reads ---- */

static void on_read_rows(const struct table_page *page, void *data)
{
	struct sited_evacuations *s = data;
	struct str domain;

	if (!s->read_sent_at)
		s->read_sent_at = page->sent_at / BASE_NS_PER_MS;
	for (unsigned int i = 0; i < page->count; i++)
		if (operator_evacuated_domain(page->rows[i].key, &domain))
			evacuations_read_row(s->set, domain, page->rows[i].version);
}

static void on_read_end(int64_t version, void *data)
{
	struct sited_evacuations *s = data;
	bool was_complete = evacuations_are_complete(s->set);

	s->read = NULL;
	evacuations_read_end(s->set, version, s->read_sent_at);
	use_changes(s, was_complete);
	if (evacuations_must_read(s->set))
		sited_evacuation_read(s->d);
}

void sited_evacuation_read(struct sited *d)
{
	struct sited_evacuations *s = d->evacuations;
	struct table_source source = {.owner = s,
				      .ev = d->ev,
				      .store = d->store,
				      .table = OPERATOR_TABLE,
				      .prefix = OPERATOR_EVACUATE_PREFIX};

	if (!is_enabled(d) || s->read)
		return;
	evacuations_read_begin(s->set);
	s->read_sent_at = 0;
	s->read = table_read(&source, on_read_rows, on_read_end, s);
}

/* ---- the feed ---- */

void sited_evacuation_lost(struct sited *d)
{
	evacuations_lose(d->evacuations->set);
	sited_evacuation_read(d);
}

void sited_evacuation_follow(struct sited *d, const struct table_page *page)
{
	struct sited_evacuations *s = d->evacuations;
	bool was_complete = evacuations_are_complete(s->set);
	int64_t sent_at = page->sent_at / BASE_NS_PER_MS;
	struct str domain;

	if (!is_enabled(d))
		return;
	for (unsigned int i = 0; i < page->count; i++) {
		const struct store_row *row = &page->rows[i];

		/* a removed row may come without its version */
		if (operator_evacuated_domain(row->key, &domain))
			evacuations_apply(s->set, domain,
					  row->version ? row->version : page->version, row->removed,
					  sent_at);
	}
	evacuations_confirm(s->set, sent_at);
	use_changes(s, was_complete);
	if (evacuations_must_read(s->set))
		sited_evacuation_read(d);
}

void sited_evacuation_reload(struct sited *d)
{
	sited_evacuation_lost(d);
	if (d->lead)
		mark_servers(d->lead);
}

/* ---- queries ---- */

void sited_evacuation_start(struct sited *d)
{
	struct sited_evacuations *s = talloc_zero(d, struct sited_evacuations);

	s->d = d;
	s->set = evacuations_new(s, on_change, s);
	d->evacuations = s;
}

bool sited_domain_is_evacuated(const struct sited *d, const char *failure_domain)
{
	return is_enabled(d) && evacuations_contain(d->evacuations->set, failure_domain);
}

bool sited_evacuations_are_new(const struct sited *d, int64_t since)
{
	return !is_enabled(d) || evacuations_allow_starts(d->evacuations->set, d->site->evacuate_ms,
							  since, sited_now_ms());
}

int64_t sited_start_within_ms(const struct sited *d, int64_t silent_ms)
{
	if (!is_enabled(d))
		return INT64_MAX;
	return evacuations_start_within_ms(d->evacuations->set, d->site->evacuate_ms, silent_ms,
					   sited_now_ms());
}

char *sited_evacuation_append_gauges(const struct sited *d, char *text)
{
	int64_t age_ms = evacuations_age_ms(d->evacuations->set, sited_now_ms());
	unsigned int tasks = 0;

	if (!is_enabled(d))
		return text;
	for (guint i = 0; d->lead && i < d->lead->fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(d->lead->fleet->all, i);

		tasks += sv->is_evacuated ? sv->tasks->len : 0;
	}
	text = talloc_asprintf_append_buffer(text, "currantlane_evacuated_domains %u\n",
					     evacuations_count(d->evacuations->set));
	/* not known is not zero */
	if (age_ms >= 0)
		text = talloc_asprintf_append_buffer(text,
						     "currantlane_evacuations_age_seconds %.3f\n",
						     (double)age_ms / BASE_MS_PER_S);
	if (d->lead && d->lead->is_loaded)
		text = talloc_asprintf_append_buffer(text, "currantlane_tasks_on_evacuated %u\n",
						     tasks);
	return text;
}

/* ---- starts of a leader ---- */

/* what an earlier term knew, or what was known before a pause of this VM, may be outdated */
static int64_t must_be_known_since(const struct lead *l)
{
	return MAX(l->started_at / BASE_NS_PER_MS, l->resumed_at);
}

bool lead_may_start(struct lead *l)
{
	return lead_may_grant_leases(l) && sited_evacuations_are_new(l->d, must_be_known_since(l));
}

bool lead_may_start_on(struct lead *l, const struct fleet_server *sv)
{
	return lead_may_start(l) && !sv->is_evacuated;
}

void lead_evacuation_refused(struct lead *l, struct fleet_server *sv)
{
	sv->suspect_until = MAX(sv->suspect_until, sited_now_ms() + AGENT_REFUSED_SUSPECT_MS);
	sited_evacuation_read(l->d);
}

static void log_starting(struct lead *l, bool is_starting, int64_t age_ms)
{
	if (is_starting == l->knows_evacuations)
		return;
	l->knows_evacuations = is_starting;
	log_event("evacuations_known", "{sI sb sI si}", "term", (json_int_t)l->term, "starts",
		  is_starting, "age_ms", (json_int_t)age_ms, "evacuated",
		  (int)evacuations_count(l->d->evacuations->set));
}

void lead_evacuation_tick(struct lead *l)
{
	struct sited *d = l->d;
	const struct evacuations *set = d->evacuations->set;
	int64_t age_ms = evacuations_age_ms(set, sited_now_ms());
	int64_t since = must_be_known_since(l);

	if (!is_enabled(d))
		return;
	log_starting(l, sited_evacuations_are_new(d, since), age_ms);
	if (age_ms < 0 || evacuations_must_read(set) || sited_now_ms() - age_ms < since ||
	    age_ms * 100 > evacuations_age_max_ms(d->site->evacuate_ms) * REFRESH_AGE_PERCENT)
		sited_evacuation_read(d);
}
