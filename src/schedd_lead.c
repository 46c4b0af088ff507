/**
 * DOC: schedd_lead - which scheduler of the failure domain is active
 *
 * The holder rewrites its row every second. Standbys watch the row's version,
 * each on its own clock, and take over with a higher epoch when the version has
 * not changed for HOLDER_TIMEOUT_MS. While the table service is unavailable no
 * standby can take over, so the holder stays active. A holder that was paused
 * learns of its replacement at its next write; until then backend servers reject
 * its commands because of their epoch.
 */
#include "schedd.h"

#include <string.h>

#define RENEW_INTERVAL_MS 1000
#define HOLDER_TIMEOUT_MS 4000
#define CALL_TIMEOUT_MS 900
#define HANDOVER_BACKOFF_MS 30000 /* gives the schedulers on other VMs time to take over */

static void lead_tick(struct schedd *s);

static json_t *row_value(const struct schedd *s, const char *holder)
{
	return json_pack("{ss sI sI}", "holder", holder, "incarnation", (json_int_t)s->incarnation,
			 "epoch", (json_int_t)s->epoch);
}

/* ---- renewal by the holder ---- */

/*
 * After a conflict: the row may still be this scheduler's own, because an earlier
 * renewal may have been applied although its answer was lost.
 */
static void on_own_row_read(enum platform_result result, int64_t version, json_t *value, void *data)
{
	struct schedd *s = data;
	bool is_own = !strcmp(base_json_str(value, "holder", ""), s->settings->vm) &&
		      base_json_int(value, "incarnation", 0) == s->incarnation &&
		      base_json_int(value, "epoch", 0) == s->epoch;

	s->is_lead_call_pending = false;
	if (result != PLATFORM_OK || (s->role != ROLE_ACTIVE && s->role != ROLE_REBUILDING))
		return; /* the next renewal meets the conflict again */
	if (is_own)
		s->sched_row_version = version;
	else
		lead_step_down(s, "another scheduler took over");
}

static void on_renewal_written(enum platform_result result, const int64_t *versions, void *data)
{
	struct schedd *s = data;

	s->is_lead_call_pending = false;
	if (result == PLATFORM_OK) {
		s->sched_row_version = versions[0];
	} else if (result == PLATFORM_CONFLICT) {
		s->is_lead_call_pending = true;
		platform_read(s->platform, TABLE_SCHED, s->settings->failure_domain,
			      base_deadline_in(CALL_TIMEOUT_MS), on_own_row_read, s);
	}
}

static void renew(struct schedd *s)
{
	struct platform_write write = {TABLE_SCHED, s->settings->failure_domain,
				       s->sched_row_version, row_value(s, s->settings->vm), false};

	s->is_lead_call_pending = true;
	platform_tx(s->platform, &write, 1, base_deadline_in(CALL_TIMEOUT_MS), on_renewal_written,
		    s);
	json_decref(write.value);
}

/* ---- takeover ---- */

static void on_takeover_written(enum platform_result result, const int64_t *versions, void *data)
{
	struct schedd *s = data;

	s->is_lead_call_pending = false;
	if (s->role != ROLE_TAKING_OVER)
		return;
	if (result != PLATFORM_OK) {
		s->role = ROLE_STANDBY;
		s->seen_row_version = 0;
		return;
	}
	s->sched_row_version = versions[0];
	s->epoch_row_version = 0; /* the rebuild reads the row */
	sched_count(s, SCHED_TAKEOVERS);
	log_info("takeover", "active with epoch %" PRId64, s->epoch);
	rebuild_start(s);
}

static void take_over(struct schedd *s, int64_t row_version, int64_t old_epoch)
{
	json_t *epoch;
	struct platform_write writes[2] = {
		{TABLE_SCHED, s->settings->failure_domain, row_version, NULL, false},
		{TABLE_EPOCH, s->settings->failure_domain, PLATFORM_EXPECT_ANY, NULL, false},
	};

	s->role = ROLE_TAKING_OVER;
	s->epoch = old_epoch + 1;
	epoch = json_pack("{sI}", "epoch", (json_int_t)s->epoch);
	writes[0].value = row_value(s, s->settings->vm);
	writes[1].value = epoch;
	s->is_lead_call_pending = true;
	platform_tx(s->platform, writes, 2, base_deadline_in(CALL_TIMEOUT_MS * 2),
		    on_takeover_written, s);
	json_decref(writes[0].value);
	json_decref(epoch);
}

static void on_row_read(enum platform_result result, int64_t version, json_t *value, void *data)
{
	struct schedd *s = data;
	const char *holder = base_json_str(value, "holder", "");

	s->is_lead_call_pending = false;
	if (result != PLATFORM_OK || s->role != ROLE_STANDBY || s->is_stopping ||
	    s->no_takeover_before > base_now_ns())
		return;
	if (version != s->seen_row_version) {
		s->seen_row_version = version;
		s->row_seen_at = base_now_ns();
	}
	/* a row held by an earlier process of this VM needs no timeout: that process has ended */
	if (!*holder || !strcmp(holder, s->settings->vm) ||
	    base_now_ns() - s->row_seen_at > HOLDER_TIMEOUT_MS * BASE_NS_PER_MS)
		take_over(s, version, base_json_int(value, "epoch", 0));
}

/* ---- handover, step-down and release ---- */

static void on_handover_written(enum platform_result result, const int64_t *versions G_GNUC_UNUSED,
				void *data)
{
	struct schedd *s = data;

	s->is_lead_call_pending = false;
	if (result != PLATFORM_OK)
		return; /* still the holder, or the next renewal finds a changed row */
	s->no_takeover_before = base_deadline_in(HANDOVER_BACKOFF_MS);
	lead_step_down(s, "most backend servers are unreachable from this VM");
}

void lead_step_down(struct schedd *s, const char *why)
{
	if (s->role == ROLE_STANDBY)
		return;
	log_warn("step-down", "%s", why);
	sched_count(s, SCHED_STEP_DOWNS);
	s->role = ROLE_STANDBY;
	cluster_set_epoch(s->cluster, 0);
	s->seen_row_version = 0;
	s->row_seen_at = base_now_ns();
	jobs_drop_all(s);
	servers_reset_epoch(s);
}

/*
 * A scheduler that can't reach the backend servers can't do its work; one on
 * another VM may reach them.
 */
void lead_hand_over(struct schedd *s)
{
	struct platform_write write = {TABLE_SCHED, s->settings->failure_domain,
				       s->sched_row_version, NULL, false};

	if (s->role != ROLE_ACTIVE || s->is_lead_call_pending)
		return;
	write.value = row_value(s, "");
	s->is_lead_call_pending = true;
	platform_tx(s->platform, &write, 1, base_deadline_in(CALL_TIMEOUT_MS), on_handover_written,
		    s);
	json_decref(write.value);
}

static void on_release_written(enum platform_result result G_GNUC_UNUSED,
			       const int64_t *versions G_GNUC_UNUSED, void *data)
{
	((struct schedd *)data)->is_stopped = true;
}

/* clears the row's holder, so that a standby takes over without the timeout */
void lead_release(struct schedd *s)
{
	struct platform_write write = {TABLE_SCHED, s->settings->failure_domain,
				       s->sched_row_version, NULL, false};

	if (s->role != ROLE_ACTIVE && s->role != ROLE_REBUILDING) {
		s->is_stopped = true;
		return;
	}
	s->role = ROLE_RELEASED;
	write.value = row_value(s, "");
	platform_tx(s->platform, &write, 1, base_deadline_in(CALL_TIMEOUT_MS * 2),
		    on_release_written, s);
	json_decref(write.value);
}

static void lead_tick(struct schedd *s)
{
	if (s->is_lead_call_pending)
		return;
	switch (s->role) {
	case ROLE_STANDBY:
		if (!cluster_is_ready(s->cluster) || s->is_stopping)
			return;
		s->is_lead_call_pending = true;
		platform_read(s->platform, TABLE_SCHED, s->settings->failure_domain,
			      base_deadline_in(CALL_TIMEOUT_MS), on_row_read, s);
		break;
	case ROLE_REBUILDING:
	case ROLE_ACTIVE:
		renew(s);
		break;
	case ROLE_TAKING_OVER:
	case ROLE_RELEASED:
		break;
	}
}

static void on_lead_timer(struct tevent_context *ev, struct tevent_timer *te G_GNUC_UNUSED,
			  struct timeval now G_GNUC_UNUSED, void *data)
{
	struct schedd *s = data;

	lead_tick(s);
	tevent_add_timer(ev, s, base_timeval_in_ms(RENEW_INTERVAL_MS), on_lead_timer, s);
}

void lead_start(struct schedd *s)
{
	s->row_seen_at = base_now_ns();
	tevent_add_timer(s->ev, s, base_timeval_in_ms(100), on_lead_timer, s);
}
