/*
 * Speeds of backend servers: passes on what servers list, and reports what is learned.
 *
 * The estimates are kept by the leader alone; see lib/speed. One row of the store names the
 * servers that differ from the typical ones. It is written rarely, and a new leader reads it
 * without waiting for it: where the row is old or missing, the speeds are learned again.
 */
#include "sited_lead.h"

#include <string.h>

#define WRITE_INTERVAL_MS 10000 /* at least, between two writes of the row */
#define WRITE_CHANGES_SHARE 50	/* a write needs 1 in so many servers to have changed */

struct speed_call {
	struct sited *d;
	uint64_t serial;
};

static struct speed_call *call_new(struct lead *l)
{
	struct speed_call *call = talloc_zero(l->d, struct speed_call);

	call->d = l->d;
	call->serial = l->serial;
	return call;
}

static void on_change(const struct speed_change *change, void *data)
{
	const struct fleet_server *sv = change->server;
	struct lead *l = data;

	l->speed_changes++;
	log_event("server_speed", "{ss ss ss sf si sf sI}", "server", sv->id, "old",
		  fleet_speed_class_name(change->former), "new",
		  fleet_speed_class_name(sv->speed_class), "speed", sv->speed, "samples",
		  (int)sv->speed_samples, "slow_chance", change->chance, "latest_sample_age_ms",
		  (json_int_t)(sited_now_ms() - change->last_at));
}

static void on_sample(const struct speed_sample *sample, void *data)
{
	struct lead *l = data;

	lead_interference_note_sample(l, l->ended, sample->ratio);
}

/* without an answer, or without a row, the speeds are learned again */
static void on_read(const struct store_result *r, void *data)
{
	struct speed_call *call = data;
	struct lead *l = lead_current(call->d, call->serial);
	bool found = r->status == STORE_OK && r->count &&
		     !strcmp(store_key_text(&r->rows[0]), SITED_LEAD_KEY);

	if (l && found) {
		speed_decode(l->speed, r->rows[0].value);
		log_event("server_speeds_read", "{sI sI}", "term", (json_int_t)l->term,
			  "row_version", (json_int_t)r->rows[0].version);
	}
	talloc_free(call);
}

/* a row that was not written is written with a later one */
static void on_written(const struct store_result *r, void *data)
{
	struct speed_call *call = data;
	struct lead *l = lead_current(call->d, call->serial);

	if (l && r->status != STORE_OK)
		l->speed_changes++;
	if (l)
		log_event("server_speeds_stored", "{sI ss}", "term", (json_int_t)l->term, "status",
			  store_status_name(r->status));
	talloc_free(call);
}

/* only the leader of the current term writes the row, whichever transaction comes late */
static void write_row(struct lead *l, int64_t now)
{
	struct speed_call *call = call_new(l);
	struct store_tx *tx = store_tx_new(call, "");
	char *value = speed_encode(tx, l->speed);

	if (!value) {
		talloc_free(call);
		return;
	}
	l->speed_changes = 0;
	l->speed_write_at = now + WRITE_INTERVAL_MS;
	store_tx_expect(tx, SITED_LEAD_TABLE, SITED_LEAD_KEY, l->row_version);
	store_tx_put(tx, SITED_SPEED_TABLE, SITED_LEAD_KEY, str_from(value));
	store_commit(l->d->store, tx, base_deadline_in(SITED_STORE_TIMEOUT_MS), on_written, call);
	talloc_free(tx);
}

void lead_speed_new(struct lead *l)
{
	const struct store_range range = {SITED_SPEED_TABLE, "", str_from(SITED_LEAD_KEY), 1};
	const struct speed_watch watch = {
		.on_sample = on_sample, .on_change = on_change, .data = l};

	l->speed = speed_new(l, l->fleet, &watch);
	store_read(l->d->store, &range, base_deadline_in(SITED_STORE_TIMEOUT_MS), on_read,
		   call_new(l));
}

/* upper bound of the time for which an end of the task was not listed, in ms */
static int64_t late_ms(struct lead *l, const struct work_task *t)
{
	const struct server_io *io = lead_server_io(l, t->server);

	return MAX(MIN(io->poll_gap_ms, io->last_poll_at - t->started_at), 0);
}

void lead_speed_ended(struct lead *l, struct work_task *t)
{
	l->ended = t;
	speed_note_end(l->speed, t, sited_now_ms(), late_ms(l, t));
	l->ended = NULL;
}

void lead_speed_tick(struct lead *l)
{
	bool was_known = speed_is_known(l->speed);

	speed_update(l->speed, sited_now_ms());
	for (guint i = 0; (was_known || speed_is_known(l->speed)) && i < l->active->len; i++) {
		struct work_job *job = g_ptr_array_index(l->active, i);

		job->run_ratio = speed_job_ratio(l->speed, job);
	}
	if (speed_is_known(l->speed) != was_known)
		log_event("server_speeds_known", "{sI sb}", "term", (json_int_t)l->term, "known",
			  !was_known);
	if (l->speed_changes * WRITE_CHANGES_SHARE > l->fleet->all->len &&
	    sited_now_ms() >= l->speed_write_at)
		write_row(l, sited_now_ms());
}

char *lead_speed_append_gauges(const struct lead *l, char *text)
{
	unsigned int servers[FLEET_SPEED_CLASS_COUNT] = {0};

	for (guint i = 0; i < l->fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(l->fleet->all, i);

		if (sv->presence == FLEET_LISTED)
			servers[sv->speed_class]++;
	}
	for (unsigned int i = 0; i < FLEET_SPEED_CLASS_COUNT; i++)
		text = talloc_asprintf_append_buffer(
			text, "currantlane_servers_by_speed{class=\"%s\"} %u\n",
			fleet_speed_class_name((enum fleet_speed_class)i), servers[i]);
	return text;
}
