/*
 * Speeds of backend servers: passes on what servers list, and reports what is learned.
 *
 * The estimates are kept by the leader alone; see lib/speed.
 */
#include "sited_lead.h"

static void log_change(const struct speed_change *change, void *data G_GNUC_UNUSED)
{
	const struct fleet_server *sv = change->server;

	log_event("server_speed", "{ss ss ss sf si sf sI}", "server", sv->id, "old",
		  fleet_speed_class_name(change->former), "new",
		  fleet_speed_class_name(sv->speed_class), "speed", sv->speed, "samples",
		  (int)sv->speed_samples, "slow_chance", change->chance, "latest_sample_age_ms",
		  (json_int_t)(sited_now_ms() - change->last_at));
}

void lead_speed_new(struct lead *l)
{
	const struct speed_watch watch = {.on_change = log_change, .data = l};

	l->speed = speed_new(l, l->fleet, &watch);
}

/* upper bound of the time for which an end of the task was not listed, in ms */
static int64_t late_ms(struct lead *l, const struct work_task *t)
{
	const struct server_io *io = lead_server_io(l, t->server);

	return MAX(MIN(io->poll_gap_ms, io->last_poll_at - t->started_at), 0);
}

void lead_speed_ended(struct lead *l, struct work_task *t)
{
	speed_note_end(l->speed, t, sited_now_ms(), late_ms(l, t));
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
