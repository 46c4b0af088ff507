/**
 * DOC: entryd - main thread of currantlane-entryd
 */
#include "entryd.h"

#include <signal.h>
#include <string.h>

#include "daemon/daemon.h"
#include "version.h"

#define DRAIN_DELAY_MS 1500  /* the load balancer needs this to see that this VM is not ready */
#define IDLE_POLL_MS 50	     /* pause between checks whether all workers are idle */
#define IDLE_POLLS_TO_STOP 8 /* consecutive idle polls before the process ends */
#define OPERATORS_BODY_MAX 1024
#define OPERATORS_CONNECTIONS_MAX 32
#define OPERATORS_IDLE_S 30

static const char *const counter_names[] = {
#define X(id, name) name,
	ENTRYD_COUNTERS(X)
#undef X
};

/* ---- hooks of the cluster ---- */

static void on_cluster_change(void *data)
{
	struct entryd *e = data;

	if (e->cluster)
		view_publish(e);
}

/* ---- peers' port ---- */

static void on_rpc(struct onc_request *req)
{
	struct entryd *e = req->server_data;

	if (!cluster_serve(e->cluster, req))
		worker_accept_forward(e, req);
}

static int listen_peers(struct entryd *e)
{
	const struct settings *s = e->settings;
	struct onc_server_options opt = {
		.ip = s->entry_peers.ip,
		.port = s->entry_peers.port,
		.allow = (const char *const *)s->peer_networks,
		.allow_count = s->peer_network_count,
		.procs = cluster_procs,
		.proc_count = CLUSTER_PROC_COUNT,
	};

	return onc_server_new(e, e->ev, &opt, on_rpc, e) ? 0 : -1;
}

/* ---- operators' port ---- */

static json_t *status_servers(const struct view *v)
{
	json_t *list = json_array();
	int64_t now = base_now_ns();

	for (unsigned int i = 0; i < v->server_count; i++) {
		const struct view_server *s = &v->servers[i];

		json_array_append_new(list,
				      json_pack("{ss sb si si sb}", "id", s->id, "takes_work",
						s->takes_work, "share", s->slot_limit, "in_flight",
						atomic_load(&s->health->in_flight), "avoided",
						atomic_load(&s->health->avoid_until) > now));
	}
	return list;
}

static json_t *status_peers(const struct view *v)
{
	json_t *list = json_array();

	for (unsigned int i = 0; i < v->peer_count; i++)
		json_array_append_new(list, json_pack("{ss ss sb}", "id", v->peers[i].id,
						      "failure_domain", v->peers[i].failure_domain,
						      "live", v->peers[i].is_live));
	return list;
}

static void on_operator(struct httpd_request *http)
{
	struct entryd *e = http->server_data;
	const struct view *v;
	char *text;
	json_t *doc;

	if (!strcmp(http->path, "/metrics")) {
		text = counter_text(e, &e->counters);
		httpd_reply(http, 200, str_from(text));
		talloc_free(text);
		return;
	}
	if (strcmp(http->path, "/status")) {
		httpd_reply_json(http, 404, json_pack("{ss}", "reason", "no such path"));
		return;
	}
	v = e->view.value; /* no read section needed: only this thread replaces the view */
	doc = json_pack("{ss ss sI sb sb so so}", "vm", e->settings->vm, "failure_domain",
			e->settings->failure_domain, "catalogue_version",
			(json_int_t)cluster_version(e->cluster), "ready", v->is_ready, "draining",
			atomic_load(&e->is_draining), "servers", status_servers(v), "peers",
			status_peers(v));
	httpd_reply_json(http, 200, doc);
}

static int listen_operators(struct entryd *e)
{
	struct httpd_options opt = {.ip = e->settings->entry_operators.ip,
				    .port = e->settings->entry_operators.port,
				    .body_max = OPERATORS_BODY_MAX,
				    .connections_max = OPERATORS_CONNECTIONS_MAX,
				    .close_for_new = true,
				    .idle_timeout_s = OPERATORS_IDLE_S};

	e->operators_httpd = httpd_new(e, e->ev, &opt, on_operator, e);
	return e->operators_httpd ? 0 : -1;
}

/* ---- planned stop ---- */

static unsigned int idle_polls;

static void on_idle_poll(struct tevent_context *ev, struct tevent_timer *te G_GNUC_UNUSED,
			 struct timeval now G_GNUC_UNUSED, void *data)
{
	struct entryd *e = data;
	bool is_idle = true;

	for (unsigned int i = 0; i < e->worker_count; i++)
		is_idle = atomic_exchange(&e->workers[i].is_idle, false) && is_idle;
	idle_polls = is_idle ? idle_polls + 1 : 0;
	if (idle_polls >= IDLE_POLLS_TO_STOP)
		e->is_stopping = true;
	else
		tevent_add_timer(ev, e, base_timeval_in_ms(IDLE_POLL_MS), on_idle_poll, e);
}

static void on_drain_delay_over(struct tevent_context *ev, struct tevent_timer *te G_GNUC_UNUSED,
				struct timeval now G_GNUC_UNUSED, void *data)
{
	struct entryd *e = data;

	for (unsigned int i = 0; i < e->worker_count; i++)
		worker_drain(&e->workers[i]);
	on_idle_poll(ev, NULL, base_timeval_in_ms(0), e);
}

/* A second SIGTERM is ignored: owned requests are still finished. */
static void on_term(struct tevent_context *ev, struct tevent_signal *se G_GNUC_UNUSED,
		    int signum G_GNUC_UNUSED, int times G_GNUC_UNUSED, void *info G_GNUC_UNUSED,
		    void *data)
{
	struct entryd *e = data;

	if (atomic_exchange(&e->is_draining, true))
		return;
	log_info("drain", "planned stop: reporting not ready, finishing owned requests");
	cluster_set_draining(e->cluster);
	view_publish(e);
	tevent_add_timer(ev, e, base_timeval_in_ms(DRAIN_DELAY_MS), on_drain_delay_over, e);
}

/* ---- start ---- */

static void on_housekeeping(struct tevent_context *ev, struct tevent_timer *te G_GNUC_UNUSED,
			    struct timeval now G_GNUC_UNUSED, void *data)
{
	struct entryd *e = data;
	const struct view *v = e->view.value;

	if (v->is_ready != cluster_is_ready(e->cluster))
		view_publish(e);
	trace_flush();
	tevent_add_timer(ev, e, base_timeval_in_ms(100), on_housekeeping, e);
}

static int entryd_run(struct entryd *e)
{
	const struct settings *s = e->settings;
	struct cluster_hooks hooks = {on_cluster_change, on_cluster_change, e};
	struct platform *platform;

	e->incarnation = base_wall_us();
	e->counters.names = counter_names;
	e->counters.count = COUNT_END;
	e->ev = tevent_context_init(e);
	e->inbox = inbox_new(e, e->ev, e);
	e->http = httpc_new(e, e->ev, 0, 0);
	e->health = g_hash_table_new(g_str_hash, g_str_equal);
	platform = platform_new(e, e->ev, e->http, s->platform.ip, s->platform.port, s->vm);
	e->cluster = cluster_new(e, e->ev, s, platform, e->incarnation, &hooks);
	view_publish(e);
	if (listen_peers(e) || listen_operators(e)) {
		log_warn("listen", "cannot listen on the peers' or the operators' address");
		return 1;
	}
	e->worker_count = (unsigned int)s->entry_threads;
	for (unsigned int i = 0; i < e->worker_count; i++) {
		if (worker_start(e, i)) {
			log_warn("listen", "cannot listen on the callers' address");
			return 1;
		}
	}
	e->renewer = renewer_new(e);
	tevent_add_signal(e->ev, e, SIGTERM, 0, on_term, e);
	on_housekeeping(e->ev, NULL, base_timeval_in_ms(0), e);
	log_info("start", "serving callers on %s:%u", s->entry_callers.ip, s->entry_callers.port);
	while (!e->is_stopping)
		tevent_loop_once(e->ev);
	for (unsigned int i = 0; i < e->worker_count; i++)
		worker_stop(&e->workers[i]);
	trace_flush();
	log_info("stop", "all owned requests are finished");
	return 0;
}

int main(int argc, char **argv)
{
	struct entryd *e = talloc_zero(NULL, struct entryd);
	int code;

	e->settings = daemon_init(e, "entryd", CURRANTLANE_VERSION, argc, argv, &code);
	if (!e->settings)
		return code;
	snapshot_thread_register();
	return entryd_run(e);
}
