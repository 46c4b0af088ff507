/**
 * DOC: sited - main program of currantlane-sited
 */
#include "sited_front.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/daemon.h"
#include "mtimer/mtimer.h"
#include "version.h"

#define EXIT_USAGE 2
#define DIRECT_BY_SIZE (-1)
#define SETTINGS_VARIABLE "CURRANTLANE_CONFIG"
#define FRONT_CONNECTIONS_MAX 2000 /* however much memory there is */
#define READY_CONNECTIONS_MAX 32
#define IDLE_S 30
#define SMALL_BODY_MAX 4096
#define UNSETTLED_SUBMITS_MAX \
	4096 /* of 200 bytes each; 130 a second for as long as they are kept */
#define FRONT_BODY_MAX (1024 * 1024) /* bytes; a larger limit of the operator has no effect */
#define OTHER_DESCRIPTORS 320	     /* files, listeners, the store, other entry VMs */
#define CONNECTIONS_MIN 16	     /* to servers, however few descriptors there are */
#define SERVER_CONNECTIONS_MAX 3     /* per server: one for the waiting poll, two for orders */
/* Shortest time from SIGTERM to exit, so that the load balancer sees two failed checks. */
#define LINGER_MS 2600
#define LINGER_TICK_MS 50
#define GRACE_RESERVE_MS 800 /* part of the grace time, reserved to exit before SIGKILL */

/* ---- stopping ---- */

static void on_linger(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	struct sited *d = data;
	int64_t now = base_now_ns();
	int64_t latest =
		d->stop_at + (d->site->grace_ms - LINGER_MS - GRACE_RESERVE_MS) * BASE_NS_PER_MS;

	if (now < d->stop_at || (d->open_requests && now < latest)) {
		mtimer_add(d, d->ev, base_deadline_in(LINGER_TICK_MS), on_linger, d);
		return;
	}
	log_event("stopped", "{sI}", "requests_open", (json_int_t)d->open_requests);
	exit(0);
}

static void on_term(struct tevent_context *ev G_GNUC_UNUSED, struct tevent_signal *se G_GNUC_UNUSED,
		    int signum, int count G_GNUC_UNUSED, void *info G_GNUC_UNUSED, void *data)
{
	struct sited *d = data;

	if (d->stop_at)
		return;
	d->stop_at = base_deadline_in(LINGER_MS);
	log_event("stopping", "{si sb}", "signal", signum, "leading", d->lead != NULL);
	sited_start_handover(d);
	mtimer_add(d, d->ev, base_deadline_in(LINGER_TICK_MS), on_linger, d);
}

/* XXX: addresses and derived limits take effect only after a restart */
static void on_hup(struct tevent_context *ev G_GNUC_UNUSED, struct tevent_signal *se G_GNUC_UNUSED,
		   int signum G_GNUC_UNUSED, int count G_GNUC_UNUSED, void *info G_GNUC_UNUSED,
		   void *data)
{
	struct sited *d = data;
	char *error = NULL;
	struct site *site = site_load(d, getenv(SETTINGS_VARIABLE), &error);

	if (!site) {
		log_warn("settings_unreadable", "%s; the previous settings stay in force", error);
		talloc_free(error);
		return;
	}
	/* The old struct is not freed, because pointers into it remain in use. */
	d->site = site;
	sited_evacuation_reload(d);
	log_event("settings_reloaded", "{ss}", "vm", site->vm);
}

/* ---- metrics ---- */

static char *append_front_metrics(char *text, struct httpd_stats s)
{
	return talloc_asprintf_append_buffer(
		text,
		"currantlane_caller_connections %u\ncurrantlane_body_bytes %zu\n"
		"currantlane_bodies_too_large_total %" PRIu64
		"\ncurrantlane_bodies_no_room_total %" PRIu64
		"\ncurrantlane_connections_closed_total{reason=\"room\"} %" PRIu64
		"\ncurrantlane_connections_closed_total{reason=\"replaced\"} %" PRIu64
		"\ncurrantlane_connections_closed_total{reason=\"overdue\"} %" PRIu64 "\n",
		s.connections, s.body_bytes, s.too_large, s.busy, s.closed_for_room,
		s.closed_for_connection, s.closed_overdue);
}

static void on_metrics(struct httpd_request *req)
{
	struct sited *d = req->server_data;
	char *text;

	if (!strcmp(req->path, "/explain")) {
		sited_explain(d, req);
		return;
	}
	text = sited_metrics_text(d, &d->metrics);
	text = append_front_metrics(text, httpd_stats(d->front));
	text = talloc_asprintf_append_buffer(
		text,
		"currantlane_leading %d\ncurrantlane_term %" PRId64
		"\ncurrantlane_store_calls_total %" PRIu64
		"\ncurrantlane_store_reads_stalled_total %" PRIu64
		"\ncurrantlane_config_version %" PRId64 "\n",
		d->lead != NULL, d->leader.term, store_call_count(d->store),
		store_stalled_reads(d->store), d->queues ? d->queues->version : 0);
	text = sited_evacuation_append_gauges(d, text);
	if (d->lead)
		text = lead_append_gauges(d->lead, text);
	httpd_reply(req, 200, str_from(text));
	talloc_free(text);
}

/* ---- start ---- */

/* Callers and backend servers share the descriptors that nothing else needs. */
static struct budget_limits front_limits(const struct site *site)
{
	unsigned int shared = site->descriptors_max - MIN(site->descriptors_max, OTHER_DESCRIPTORS);
	unsigned int cap = MIN(shared / 2, FRONT_CONNECTIONS_MAX);

	return budget_limits_for((size_t)site->memory_mb << 20,
				 MAX(cap, BUDGET_CONNECTIONS_MIN + HTTPD_CONNECTIONS_EXTRA) -
					 HTTPD_CONNECTIONS_EXTRA,
				 FRONT_BODY_MAX + front_submit_bytes(site, FRONT_BODY_MAX));
}

static bool listen_all(struct sited *d, int metrics_port)
{
	struct budget_limits limits = front_limits(d->site);
	struct httpd_options front = {.ip = d->site->callers.ip,
				      .port = d->site->callers.port,
				      .body_max = FRONT_BODY_MAX,
				      .get_body_max = front_body_max,
				      .bodies_max = limits.bodies_max,
				      .on_busy = front_reply_busy,
				      .connections_max = limits.connections_max,
				      .close_for_new = true,
				      .idle_timeout_s = IDLE_S};
	struct httpd_options ready = {.ip = d->site->readiness.ip,
				      .port = d->site->readiness.port,
				      .body_max = SMALL_BODY_MAX,
				      .connections_max = READY_CONNECTIONS_MAX,
				      .close_for_new = true,
				      .idle_timeout_s = IDLE_S};
	struct httpd_options metrics = ready;
	static const char *const any_address[] = {"0.0.0.0/0"};
	struct onc_server_options peers = {.ip = d->site->peers.ip,
					   .port = d->site->peers.port,
					   .allow = any_address,
					   .allow_count = 1,
					   .procs = sited_procs,
					   .proc_count = SITED_PROC_COUNT};

	d->front = httpd_new(d, d->ev, &front, sited_on_request, d);
	if (!d->front || !httpd_new(d, d->ev, &ready, sited_on_ready, d))
		return false;
	metrics.port = (uint16_t)metrics_port;
	metrics.body_max = EXPLAIN_BODY_MAX;
	if (metrics_port && !httpd_new(d, d->ev, &metrics, on_metrics, d))
		log_warn("no_metrics", "cannot listen on %s:%d; continuing without metrics",
			 metrics.ip, metrics_port);
	return onc_server_new(d, d->ev, &peers, sited_on_peer, d) != NULL;
}

/* Connections to backend servers may use the descriptors that callers and files do not need. */
static unsigned int server_connections_max(const struct site *site)
{
	unsigned int other_descriptors =
		front_limits(site).connections_max + HTTPD_CONNECTIONS_EXTRA + OTHER_DESCRIPTORS;

	return MAX(site->descriptors_max, other_descriptors + CONNECTIONS_MIN) - other_descriptors;
}

static int run(const char *settings, int metrics_port, int direct_servers, bool only_check)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	struct sited *d = talloc_zero(ev, struct sited);
	char *error = NULL;
	int code = EXIT_USAGE;

	d->ev = ev;
	d->started_at = base_now_ns();
	d->peers = g_ptr_array_new();
	d->site = site_load(d, settings, &error);
	if (!d->site) {
		fprintf(stderr, "%s\n", error);
		goto out;
	}
	d->direct_servers_max =
		direct_servers == DIRECT_BY_SIZE
			? share_direct_servers_max(d->site->cores, d->site->link_mbps)
			: (unsigned int)direct_servers;
	if (only_check) {
		printf("%s: ok\n", settings);
		code = 0;
		goto out;
	}
	base_log_init("sited", d->site->vm, "stdout");
	daemon_init_process();
	sited_metrics_init(&d->metrics);
	d->store_http = httpc_new(d, ev, 0, 0);
	d->server_http = httpc_new(d, ev, SERVER_CONNECTIONS_MAX, server_connections_max(d->site));
	d->pending = pending_new(d);
	d->unsettled_submits = recent_new(d, UNSETTLED_SUBMITS_MAX);
	d->store = store_new(d, d->store_http, &d->site->store);
	d->orders = orders_new(d, d->server_http);
	if (!listen_all(d, metrics_port)) {
		log_warn("not_listening", "cannot listen on %s:%u, %u or %u", d->site->callers.ip,
			 d->site->callers.port, d->site->readiness.port, d->site->peers.port);
		code = 1;
		goto out;
	}
	tevent_add_signal(ev, d, SIGTERM, 0, on_term, d);
	tevent_add_signal(ev, d, SIGINT, 0, on_term, d);
	tevent_add_signal(ev, d, SIGHUP, 0, on_hup, d);
	log_event("started", "{ss ss si si si sI}", "version", CURRANTLANE_VERSION,
		  "failure_domain", d->site->failure_domain, "callers_port", d->site->callers.port,
		  "peers_port", d->site->peers.port, "caller_connections_max",
		  (int)front_limits(d->site).connections_max, "body_bytes_max",
		  (json_int_t)front_limits(d->site).bodies_max);
	sited_evacuation_start(d);
	sited_config_start(d);
	sited_agent_start(d);
	sited_elect_start(d);
	tevent_loop_wait(ev);
	code = 0;
out:
	talloc_free(ev);
	return code;
}

int main(int argc, char **argv)
{
	struct arg_file *settings =
		arg_file0(NULL, "settings", "FILE",
			  "settings file (default: the file named by " SETTINGS_VARIABLE ")");
	struct arg_int *metrics =
		arg_int0(NULL, "metrics-port", "PORT", "serve metrics on this port");
	struct arg_int *own =
		arg_int0(NULL, "own-servers", "N",
			 "as leader, send orders directly to up to N backend servers; "
			 "for more, other VMs relay them (default: by VM size)");
	struct arg_lit *check = arg_lit0(NULL, "check", "check the settings and exit");
	struct arg_lit *show = arg_lit0(NULL, "version", "print the version");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {settings, metrics, own, check, show, help, end};
	int errors = arg_parse(argc, argv, table);
	const char *path = settings->count ? settings->filename[0] : getenv(SETTINGS_VARIABLE);
	int code = 0;

	if (show->count) {
		printf("currantlane-sited %s\n", CURRANTLANE_VERSION);
	} else if (help->count || errors || !path) {
		printf("usage: currantlane-sited");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		code = help->count ? 0 : EXIT_USAGE;
	} else {
		code = run(path, metrics->count ? metrics->ival[0] : 0,
			   own->count ? own->ival[0] : DIRECT_BY_SIZE, check->count > 0);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
