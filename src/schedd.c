/**
 * DOC: schedd - main program of currantlane-schedd
 */
#include "schedd.h"

#include <signal.h>
#include <string.h>

#include "daemon/daemon.h"
#include "version.h"

#define TICK_INTERVAL_MS 100
#define HELD_CHECK_INTERVAL_MS 1000
#define STALL_MIN_MS 500 /* a tick that is later than this by more counts as a stall */
#define STATUS_JOBS_MAX 500
#define LEASE_EXPIRY_MARGIN_MS 3000
#define STATUS_BODY_MAX 1024
#define STATUS_CONNECTIONS_MAX 32
#define STATUS_IDLE_TIMEOUT_S 30

static const char *const counter_names[] = {
#define X(id, name) name,
	SCHEDD_COUNTERS(X)
#undef X
};

void sched_count(struct schedd *s, enum schedd_counter id)
{
	counter_add(&s->counters, 0, id, 1);
}

int64_t sched_now_ms(void)
{
	return base_now_ns() / BASE_NS_PER_MS;
}

/*
 * An entry VM without contact to any peer renews leases for one more lease time,
 * and the last lease renewed has to expire as well.
 */
int64_t sched_lease_expiry_ms(const struct schedd *s)
{
	return 2 * s->settings->lease_ms + LEASE_EXPIRY_MARGIN_MS;
}

struct backend_target sched_backend_target(struct schedd *s, const struct backend_server *b)
{
	struct backend_target target = {s->http, b->base_url, s->settings->vm, NULL};

	return target;
}

void sched_set_active(struct job *job, bool is_active)
{
	if (is_active)
		g_hash_table_add(job->s->active_jobs, job);
	else
		g_hash_table_remove(job->s->active_jobs, job);
}

/* ---- steps ---- */

static void run_policy(struct schedd *s)
{
	struct policy_decision d;

	while (policy_next_decision(s->policy, sched_now_ms(), &d)) {
		struct job *job = d.user;

		switch (d.type) {
		case POLICY_START:
			gang_start(job);
			break;
		case POLICY_STOP:
			gang_stop(job, STOP_PREEMPT);
			break;
		}
	}
}

static void step(struct schedd *s)
{
	int64_t now = base_now_ns();
	GList *list;

	if (s->role == ROLE_REBUILDING)
		rebuild_finish_if_ready(s, now);
	if (s->role != ROLE_ACTIVE)
		return;
	run_policy(s);
	list = g_hash_table_get_keys(s->active_jobs);
	for (GList *l = list; l && s->role == ROLE_ACTIVE; l = l->next) {
		struct job *job = l->data;

		/* the step of another job may have freed this one */
		if (!g_hash_table_contains(s->active_jobs, job))
			continue;
		jobs_retry_write(job, now);
		if (g_hash_table_contains(s->active_jobs, job))
			gang_step(job, now);
	}
	g_list_free(list);
	if (s->role == ROLE_ACTIVE)
		run_policy(s);
}

static void on_step(struct tevent_context *ev G_GNUC_UNUSED,
		    struct tevent_immediate *im G_GNUC_UNUSED, void *data)
{
	struct schedd *s = data;

	s->is_step_scheduled = false;
	step(s);
}

void sched_request_step(struct schedd *s)
{
	if (s->is_step_scheduled)
		return;
	s->is_step_scheduled = true;
	tevent_schedule_immediate(s->step_event, s->ev, on_step, s);
}

/*
 * Unanswered time shows that leases have expired only if this process was
 * polling during that time. Time in which the process itself was paused or got
 * no processor time does not count.
 */
static void exclude_own_stall(struct schedd *s, int64_t now)
{
	int64_t gap = now - s->last_tick_at - TICK_INTERVAL_MS * BASE_NS_PER_MS;

	if (s->last_tick_at && gap > STALL_MIN_MS * BASE_NS_PER_MS) {
		log_warn("pause", "this process was stalled for %" PRId64 " ms",
			 (int64_t)(gap / BASE_NS_PER_MS));
		servers_exclude_stall(s, gap);
		rebuild_exclude_stall(s, gap);
	}
	s->last_tick_at = now;
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te G_GNUC_UNUSED,
		    struct timeval tv G_GNUC_UNUSED, void *data)
{
	struct schedd *s = data;
	int64_t now = base_now_ns();

	exclude_own_stall(s, now);
	if (s->role == ROLE_ACTIVE || s->role == ROLE_REBUILDING)
		servers_poll(s, now);
	if (s->role == ROLE_ACTIVE && now >= s->next_held_check_at) {
		s->next_held_check_at = base_deadline_in(HELD_CHECK_INTERVAL_MS);
		rebuild_enqueue_held(s, now);
	}
	step(s);
	trace_flush();
	tevent_add_timer(ev, s, base_timeval_in_ms(TICK_INTERVAL_MS), on_tick, s);
}

/* ---- catalogue and VM list ---- */

void sched_update_workspaces(struct schedd *s)
{
	const struct catalogue *c = s->catalogue;
	TALLOC_CTX *tmp = talloc_new(s);
	struct policy_workspace *list;

	if (!c || !s->policy)
		goto out;
	list = talloc_zero_array(tmp, struct policy_workspace, c->workspace_count + 1);
	for (unsigned int i = 0; i < c->workspace_count; i++) {
		const struct catalogue_workspace *ws = &c->workspaces[i];
		struct policy_cell *cells =
			talloc_zero_array(tmp, struct policy_cell, ws->cell_count + 1);

		list[i].name = ws->name;
		list[i].quota = ws->quota;
		list[i].precedence = ws->precedence;
		list[i].cells = cells;
		for (unsigned int k = 0; k < ws->cell_count; k++) {
			struct policy_cell *cell = &cells[list[i].cell_count];

			if (strcmp(ws->cells[k].failure_domain, s->settings->failure_domain))
				continue;
			cell->accelerators = ws->cells[k].accelerators;
			cell->in_server = ws->cells[k].in_server;
			cell->count = ws->cells[k].count;
			list[i].cell_count++;
		}
	}
	policy_workspaces_set(s->policy, list, c->workspace_count);
	sched_request_step(s);
out:
	talloc_free(tmp);
}

static void on_catalogue(void *data)
{
	struct schedd *s = data;

	if (!s->cluster)
		return;
	talloc_free(s->catalogue);
	s->catalogue = catalogue_new(s, cluster_entries(s->cluster), cluster_version(s->cluster));
	sched_update_workspaces(s);
}

static void on_vms(void *data)
{
	struct schedd *s = data;

	if (s->cluster)
		servers_update(s);
}

/* ---- peers' port ---- */

static void on_peer_request(struct onc_request *req)
{
	struct schedd *s = req->server_data;
	cl_job_res res = {.status = CL_SCHED_NOT_ACTIVE, .state = (char *)"{}"};

	if (s->role != ROLE_ACTIVE) {
		onc_reply(req, &res);
		return;
	}
	switch (req->proc->proc) {
	case SCHED_SUBMIT:
		jobs_submit(s, req);
		break;
	case SCHED_STATE:
		jobs_state(s, req);
		break;
	default:
		jobs_cancel(s, req);
		break;
	}
}

static int listen_peers(struct schedd *s)
{
	struct onc_server_options opt = {
		.ip = s->settings->sched_peers.ip,
		.port = s->settings->sched_peers.port,
		.allow = (const char *const *)s->settings->peer_networks,
		.allow_count = s->settings->peer_network_count,
		.procs = sched_procs,
		.proc_count = SCHED_PROC_COUNT,
	};

	return onc_server_new(s, s->ev, &opt, on_peer_request, s) ? 0 : -1;
}

/* ---- operators' port ---- */

static json_t *status_jobs(struct schedd *s)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job *job = value;

		if (job->state != JOB_ENDED && json_array_size(list) < STATUS_JOBS_MAX)
			json_array_append_new(list, jobs_status(job));
	}
	return list;
}

static json_t *status_guarantees(struct schedd *s)
{
	json_t *list = json_array();

	for (unsigned int i = 0; s->policy && s->catalogue && i < s->catalogue->workspace_count;
	     i++) {
		const char *name = s->catalogue->workspaces[i].name;

		json_array_append_new(
			list,
			json_pack("{ss sI sI}", "workspace", name, "reclaimable",
				  (json_int_t)policy_reclaimable_accelerators(s->policy, name),
				  "unbound",
				  (json_int_t)policy_unbound_accelerators(s->policy, name)));
	}
	return list;
}

static json_t *status_quarantined(struct schedd *s)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct backend_server *b = value;

		if (b->quarantined_until > base_now_ns())
			json_array_append_new(list, json_string(b->id));
	}
	return list;
}

static void reply_status(struct schedd *s, struct httpd_request *http)
{
	struct policy_usage u = {0};
	char *policy_fault = NULL;
	json_t *doc;

	if (s->policy) {
		policy_usage(s->policy, &u);
		policy_fault = policy_check_invariants(s->policy, s);
	}
	doc = json_pack("{ss ss sb sI sI sI sI sI sI sI so so so ss}", "vm", s->settings->vm,
			"failure_domain", s->settings->failure_domain, "active",
			s->role == ROLE_ACTIVE, "epoch", (json_int_t)s->epoch, "catalogue_version",
			(json_int_t)cluster_version(s->cluster), "total", (json_int_t)u.total,
			"free", (json_int_t)u.free, "largest_rack_free",
			(json_int_t)u.largest_rack_free, "queued", (json_int_t)u.queued, "placed",
			(json_int_t)u.placed, "jobs", status_jobs(s), "guarantees",
			status_guarantees(s), "quarantined", status_quarantined(s), "policy_fault",
			policy_fault ? policy_fault : "");
	talloc_free(policy_fault);
	httpd_reply_json(http, 200, doc);
}

static void on_operator_request(struct httpd_request *http)
{
	struct schedd *s = http->server_data;
	char *text;

	if (!strcmp(http->path, "/metrics")) {
		text = counter_text(s, &s->counters);
		httpd_reply(http, 200, str_from(text));
		talloc_free(text);
	} else if (!strcmp(http->path, "/status")) {
		reply_status(s, http);
	} else {
		httpd_reply_json(http, 404, json_pack("{ss}", "reason", "no such path"));
	}
}

static int listen_operators(struct schedd *s)
{
	struct httpd_options opt = {.ip = s->settings->sched_operators.ip,
				    .port = s->settings->sched_operators.port,
				    .body_max = STATUS_BODY_MAX,
				    .connections_max = STATUS_CONNECTIONS_MAX,
				    .close_for_new = true,
				    .idle_timeout_s = STATUS_IDLE_TIMEOUT_S};

	return httpd_new(s, s->ev, &opt, on_operator_request, s) ? 0 : -1;
}

/* ---- start and stop ---- */

/*
 * Running gangs are not stopped: the entry VMs renew their leases until another
 * scheduler takes over.
 */
static void on_sigterm(struct tevent_context *ev G_GNUC_UNUSED,
		       struct tevent_signal *se G_GNUC_UNUSED, int signum G_GNUC_UNUSED,
		       int times G_GNUC_UNUSED, void *info G_GNUC_UNUSED, void *data)
{
	struct schedd *s = data;

	if (s->is_stopping)
		return;
	s->is_stopping = true;
	log_info("stop", "planned stop: releasing leadership of the failure domain");
	lead_release(s);
}

static int schedd_run(struct schedd *s)
{
	const struct settings *set = s->settings;
	struct cluster_hooks hooks = {on_catalogue, on_vms, s};

	s->incarnation = base_wall_us();
	s->counters.names = counter_names;
	s->counters.count = SCHED_COUNT_END;
	s->ev = tevent_context_init(s);
	s->http = httpc_new(s, s->ev, 0, 0);
	s->platform =
		platform_new(s, s->ev, s->http, set->platform.ip, set->platform.port, set->vm);
	s->servers = g_hash_table_new(g_str_hash, g_str_equal);
	s->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	s->active_jobs = g_hash_table_new(g_direct_hash, g_direct_equal);
	s->step_event = tevent_create_immediate(s);
	s->cluster = cluster_new(s, s->ev, set, NULL, 0, &hooks);
	if (listen_peers(s) || listen_operators(s)) {
		log_warn("listen", "cannot listen on the peers' or the operators' address");
		return 1;
	}
	tevent_add_signal(s->ev, s, SIGTERM, 0, on_sigterm, s);
	lead_start(s);
	sweep_start(s);
	on_tick(s->ev, NULL, base_timeval_in_ms(0), s);
	log_info("start", "scheduler of %s started as standby", set->failure_domain);
	while (!s->is_stopped)
		tevent_loop_once(s->ev);
	trace_flush();
	log_info("stop", "stopped");
	return 0;
}

int main(int argc, char **argv)
{
	struct schedd *s = talloc_zero(NULL, struct schedd);
	int code;

	s->settings = daemon_init(s, "schedd", CURRANTLANE_VERSION, argc, argv, &code);
	if (!s->settings)
		return code;
	return schedd_run(s);
}
