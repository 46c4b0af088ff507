/**
 * DOC: load - load and experiment tool
 *
 * Generates open-loop load: arrivals don't depend on the answers received. The
 * experiment file defines the mix of work types, bursts, cancellations, wrongly
 * declared run times and jobs that can never run. Every work item writes one
 * line to the record file, which holds the outcomes as the caller saw them.
 */
#include <argtable2.h>
#include <curl/curl.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <tevent.h>

#include "base/base.h"
#include "httpc/httpc.h"
#include "toml/toml.h"
#include "version.h"

#define WORK_TYPES_MAX 32
#define TARGETS_MAX 64
#define CHOICES_MAX 8
#define SENDS_MAX 6 /* no retry of an item after this many, unless its job is admitted */
#define FAILOVERS_MAX 6
#define RETRY_DELAY_MS 300
#define CALL_GRACE_MS 4000 /* added to the deadline of an item for its HTTP call */
#define JOB_POLL_MS 5000
#define ARRIVAL_TICK_US 200
#define RUN_MEAN_MULTIPLE_MAX 12 /* limit of a run time, as a multiple of the mean */

/**
 * enum mode - how the items of a type are sent; the record file holds the number
 * @MODE_REQUEST: plain short request
 * @MODE_TICKET: request under the id of a ticket obtained before
 * @MODE_KEY: request with an Idempotency-Key header
 * @MODE_JOB: job, polled until it ends
 * @MODE_DIRECT: request to a backend server, without an entry VM
 */
enum mode { MODE_REQUEST, MODE_TICKET, MODE_KEY, MODE_JOB, MODE_DIRECT };

/**
 * struct work_type - one [[work]] entry of the experiment file and its results
 * @weight: share of the arrivals, relative to the other types
 * @deadline_ms: time limit of a request
 * @run_ms: mean of the exponentially distributed run time; 0 for no run time
 * @is_heavy_tailed: one in twenty run times is multiplied by ten
 * @task_choices: task counts of a job; each job draws one of them
 * @accelerator_choices: accelerator counts of a job; each job draws one of them
 * @wrong_percent: share of the items that declare five times or a fifth of their run time
 * @fail_percent: share of the items whose payload tells the backend server to fail
 * @latency_us: array of int64_t, from arrival (or from the ticket) to the outcome
 *	"done"
 * @outcomes: number of finished items, indexed by enum outcome
 */
struct work_type {
	const char *name;
	enum mode mode;
	const char *workspace;
	const char *kind;
	double weight;
	int64_t deadline_ms;
	double run_ms;
	bool is_heavy_tailed;
	int64_t task_choices[CHOICES_MAX];
	size_t task_choice_count;
	int64_t accelerator_choices[CHOICES_MAX];
	size_t accelerator_choice_count;
	int64_t cancel_percent;
	int64_t wrong_percent;
	int64_t fail_percent;
	const char *failure_domain;
	GArray *latency_us;
	uint64_t sent;
	uint64_t outcomes[8];
};

/**
 * struct load - state of one run
 * @targets: addresses of the entry VMs, or of backend servers in mode "direct"
 * @rate_per_s: mean arrival rate outside bursts
 * @burst_factor: multiplies the rate in the first @burst_ms of every @burst_every_ms
 * @started: monotonic time in ns, like @arrivals_end and @drain_deadline
 * @arrivals_end: no item arrives from then on
 * @drain_deadline: nothing is retried and no job is polled again from then on
 * @next_arrival_s: time of the next arrival, in s since the start
 * @run_nonce: makes the keys and echo numbers differ between runs
 * @in_flight: number of items without an outcome
 */
struct load {
	struct tevent_context *ev;
	struct httpc *http;
	const char *targets[TARGETS_MAX];
	size_t target_count;
	struct work_type work_types[WORK_TYPES_MAX];
	size_t work_type_count;
	double total_weight;
	double rate_per_s;
	double burst_factor;
	int64_t burst_every_ms;
	int64_t burst_ms;
	int64_t started;
	int64_t arrivals_end;
	int64_t drain_deadline;
	double next_arrival_s;
	uint64_t items_created;
	uint64_t run_nonce;
	unsigned int in_flight;
	GRand *rng;
	FILE *record;
};

/**
 * struct item - one request or job in flight
 * @echo: number in the payload that the answer must repeat
 * @id: id of the ticket or job, NULL until it is known
 * @key: value of the Idempotency-Key header
 * @sent: time of the arrival, or of the answer with the ticket; monotonic, in ns
 * @deadline: time limit of the request; monotonic, in ns
 * @sends: HTTP calls started, including polls of a job
 * @failovers: times that a target was drawn again because the call could not be sent
 * @is_cancelled: a DELETE was sent
 * @is_job_admitted: the job was reported as pending at least once
 * @answer_fault: why the content of the answer is wrong; empty when no fault was found
 */
struct item {
	struct load *load;
	struct work_type *type;
	uint64_t echo;
	char *id;
	char *body;
	char key[64];
	int64_t sent;
	int64_t deadline;
	int sends;
	int failovers;
	bool is_cancelled;
	bool is_job_admitted;
	char answer_fault[64];
};

static void item_send(struct item *item);

static const char *random_target(struct load *l)
{
	return l->targets[g_rand_int_range(l->rng, 0, (gint32)l->target_count)];
}

static double exponential(struct load *l, double mean)
{
	return -mean * log(1.0 - g_rand_double(l->rng));
}

/* ---- answers and outcomes ---- */

static void item_finish(struct item *item, const char *outcome, unsigned int status)
{
	struct load *l = item->load;
	int64_t took_us = (base_now_ns() - item->sent) / BASE_NS_PER_US;
	enum outcome o = base_outcome_parse(outcome);

	item->type->outcomes[o]++;
	if (o == OUTCOME_DONE)
		g_array_append_val(item->type->latency_us, took_us);
	if (l->record)
		fprintf(l->record,
			"{\"name\":\"%s\",\"kind\":\"%s\",\"mode\":%d,\"echo\":%" PRIu64
			",\"id\":\"%s\",\"outcome\":\"%s\",\"status\":%u,\"took_us\":%" PRId64
			",\"tries\":%d,\"cancelled\":%s,\"admitted\":%s,\"fault\":\"%s\"}\n",
			item->type->name, item->type->kind, (int)item->type->mode, item->echo,
			item->id ? item->id : "", outcome, status, took_us, item->sends,
			item->is_cancelled ? "true" : "false",
			item->is_job_admitted ? "true" : "false", item->answer_fault);
	l->in_flight--;
	talloc_free(item);
}

static void on_retry(struct tevent_context *ev G_GNUC_UNUSED, struct tevent_timer *te G_GNUC_UNUSED,
		     struct timeval now G_GNUC_UNUSED, void *data)
{
	item_send(data);
}

static void item_retry_in(struct item *item, int64_t ms)
{
	tevent_add_timer(item->load->ev, item, base_timeval_in_ms(ms), on_retry, item);
}

/* Checks that the answer belongs to this request: it must repeat the echo number. */
static void check_answer(struct item *item, const json_t *doc)
{
	const json_t *answer = json_object_get(doc, "answer");

	if (item->type->mode == MODE_JOB || !json_is_object(answer))
		return;
	if ((uint64_t)base_json_int(answer, "echo", -1) != item->echo)
		g_snprintf(item->answer_fault, sizeof(item->answer_fault),
			   "echo of another request");
}

/*
 * A ticket, an Idempotency-Key or a job id makes a repeated send safe. A plain
 * or direct request could run twice.
 */
static bool may_resend(const struct item *item)
{
	return item->type->mode != MODE_REQUEST && item->type->mode != MODE_DIRECT;
}

static void handle_job_outcome(struct item *item, const char *outcome, unsigned int status)
{
	if (!strcmp(outcome, "pending"))
		item->is_job_admitted = true;
	if (!strcmp(outcome, "pending") && base_now_ns() < item->load->drain_deadline) {
		item_send(item);
		return;
	}
	if (!strcmp(outcome, "unknown") && item->is_job_admitted && status == 504 &&
	    base_now_ns() < item->load->drain_deadline) {
		item_retry_in(item, RETRY_DELAY_MS);
		return;
	}
	item_finish(item, outcome, status);
}

static void on_answer(const struct httpc_answer *a, void *data)
{
	struct item *item = data;
	json_t *doc = NULL;
	const char *outcome;

	if (a->result == HTTPC_ANSWERED)
		doc = json_loadb(a->body.ptr, a->body.len, 0, NULL);
	/* backend servers answer with "state", entry VMs with "outcome" */
	outcome = base_json_str(doc, item->type->mode == MODE_DIRECT ? "state" : "outcome", NULL);
	if (a->result == HTTPC_NOT_SENT && item->failovers++ < FAILOVERS_MAX) {
		item_send(item); /* draws a target again, as a load balancer would */
		return;
	}
	if (!item->id && base_json_str(doc, "id", NULL))
		item->id = talloc_strdup(item, base_json_str(doc, "id", ""));
	if (a->result == HTTPC_ANSWERED && a->status == 201) {
		/* callers obtain tickets in advance: the latency starts here */
		item->sent = base_now_ns();
		item_send(item);
	} else if (!doc || !outcome || (!strcmp(outcome, "unknown") && may_resend(item)) ||
		   (!strcmp(outcome, "pending") && item->type->mode != MODE_JOB)) {
		if (may_resend(item) && base_now_ns() < item->load->drain_deadline &&
		    (item->sends < SENDS_MAX || item->is_job_admitted))
			item_retry_in(item, RETRY_DELAY_MS);
		else
			item_finish(item,
				    outcome					      ? outcome
				    : a->result == HTTPC_NOT_SENT && item->sends == 1 ? "not_run"
										      : "unknown",
				    a->status);
	} else if (item->type->mode == MODE_JOB) {
		handle_job_outcome(item, outcome, a->status);
	} else {
		check_answer(item, doc);
		item_finish(item, outcome, a->status);
	}
	json_decref(doc);
}

/* ---- sending ---- */

/* The answer is ignored: the poll of the job reports the outcome. */
static void on_cancel_answer(const struct httpc_answer *a G_GNUC_UNUSED, void *data G_GNUC_UNUSED)
{
}

static void on_cancel_due(struct tevent_context *ev G_GNUC_UNUSED,
			  struct tevent_timer *te G_GNUC_UNUSED, struct timeval now G_GNUC_UNUSED,
			  void *data)
{
	struct item *item = data;
	char url[256];
	struct httpc_options opt = {
		.method = "DELETE", .url = url, .deadline = base_deadline_in(CALL_GRACE_MS)};

	if (!item->id)
		return;
	item->is_cancelled = true;
	g_snprintf(url, sizeof(url), "http://%s/v1/jobs/%s", random_target(item->load), item->id);
	httpc_start(item->load->http, &opt, on_cancel_answer, NULL);
}

static void item_send(struct item *item)
{
	struct load *l = item->load;
	char url[256];
	char key[96];
	int64_t remaining_ms = MAX(base_remaining_ms(item->deadline), 100);
	struct httpc_options opt = {.method = "POST",
				    .url = url,
				    .body = str_from(item->body),
				    .deadline = base_deadline_in(remaining_ms + CALL_GRACE_MS)};

	item->sends++;
	switch (item->type->mode) {
	case MODE_DIRECT:
		g_snprintf(url, sizeof(url), "http://%s/v1/requests/direct-%" PRIx64 "-%" PRIu64,
			   random_target(l), l->run_nonce, item->echo);
		break;
	case MODE_REQUEST:
		g_snprintf(url, sizeof(url), "http://%s/v1/requests", random_target(l));
		break;
	case MODE_KEY:
		g_snprintf(url, sizeof(url), "http://%s/v1/requests", random_target(l));
		g_snprintf(key, sizeof(key), "Idempotency-Key: %s", item->key);
		opt.header[0] = key;
		break;
	case MODE_TICKET:
		if (item->id) {
			opt.method = "PUT";
			g_snprintf(url, sizeof(url), "http://%s/v1/requests/%s", random_target(l),
				   item->id);
		} else {
			g_snprintf(url, sizeof(url), "http://%s/v1/tickets", random_target(l));
			opt.body = str_from("{}");
		}
		break;
	case MODE_JOB:
		if (item->id) {
			opt.method = "GET";
			opt.body = str_from("");
			opt.deadline = base_deadline_in(JOB_POLL_MS + 15000);
			g_snprintf(url, sizeof(url), "http://%s/v1/jobs/%s?wait_ms=%d",
				   random_target(l), item->id, JOB_POLL_MS);
		} else {
			g_snprintf(url, sizeof(url), "http://%s/v1/jobs", random_target(l));
			g_snprintf(key, sizeof(key), "Idempotency-Key: %s", item->key);
			opt.header[0] = key;
			opt.deadline = base_deadline_in(15000);
		}
		break;
	}
	httpc_start(l->http, &opt, on_answer, item);
}

static char *item_body(struct item *item)
{
	struct work_type *w = item->type;
	struct load *l = item->load;
	double run_ms = w->run_ms > 0 ? exponential(l, w->run_ms) : 0;
	double declared_ms;
	int64_t tasks = w->task_choices[g_rand_int_range(l->rng, 0, (gint32)w->task_choice_count)];
	int64_t accelerators = w->accelerator_choices[g_rand_int_range(
		l->rng, 0, (gint32)w->accelerator_choice_count)];
	bool fails = g_rand_int_range(l->rng, 0, 100) < w->fail_percent;
	json_t *doc;
	char *text;

	if (w->is_heavy_tailed && g_rand_int_range(l->rng, 0, 20) == 0)
		run_ms *= 10;
	run_ms = MIN(run_ms, w->run_ms * RUN_MEAN_MULTIPLE_MAX);
	declared_ms = MAX(run_ms, 1);
	if (g_rand_int_range(l->rng, 0, 100) < w->wrong_percent)
		declared_ms *= g_rand_boolean(l->rng) ? 5 : 0.2;
	if (w->mode == MODE_JOB)
		doc = json_pack("{ss ss sI sI sI ss* s{sI sb sI}}", "workspace", w->workspace,
				"kind", w->kind, "tasks", (json_int_t)tasks, "accelerators",
				(json_int_t)accelerators, "run_ms", (json_int_t)MAX(declared_ms, 1),
				"failure_domain", w->failure_domain, "payload", "work_ms",
				(json_int_t)MAX(run_ms, 1), "fail", fails, "echo",
				(json_int_t)item->echo);
	else if (w->mode == MODE_DIRECT)
		doc = json_pack("{sI sI}", "echo", (json_int_t)item->echo, "run_ms",
				(json_int_t)run_ms);
	else
		doc = json_pack("{ss ss sI s{sI sI sb}}", "workspace", w->workspace, "kind",
				w->kind, "deadline_ms", (json_int_t)w->deadline_ms, "payload",
				"echo", (json_int_t)item->echo, "run_ms", (json_int_t)run_ms,
				"fail", fails);
	text = base_json_text(item, doc);
	json_decref(doc);
	return text;
}

static struct work_type *choose_work_type(struct load *l)
{
	double draw = g_rand_double(l->rng) * l->total_weight;

	for (size_t i = 0; i + 1 < l->work_type_count; i++) {
		if (draw < l->work_types[i].weight)
			return &l->work_types[i];
		draw -= l->work_types[i].weight;
	}
	return &l->work_types[l->work_type_count - 1];
}

static void item_arrive(struct load *l)
{
	struct item *item = talloc_zero(l, struct item);

	item->load = l;
	item->type = choose_work_type(l);
	item->echo = ++l->items_created + (l->run_nonce << 24);
	item->sent = base_now_ns();
	item->deadline = base_deadline_in(item->type->deadline_ms);
	g_snprintf(item->key, sizeof(item->key), "load-%" PRIx64 "-%" PRIu64, l->run_nonce,
		   l->items_created);
	item->body = item_body(item);
	item->type->sent++;
	l->in_flight++;
	if (g_rand_int_range(l->rng, 0, 100) < item->type->cancel_percent)
		tevent_add_timer(
			l->ev, item,
			base_timeval_in_ms((int64_t)exponential(l, MAX(item->type->run_ms, 50))),
			on_cancel_due, item);
	item_send(item);
}

static double rate_at(const struct load *l, double at_s)
{
	if (l->burst_every_ms && (int64_t)(at_s * 1000) % l->burst_every_ms < l->burst_ms)
		return l->rate_per_s * l->burst_factor;
	return l->rate_per_s;
}

static void on_arrival_tick(struct tevent_context *ev, struct tevent_timer *te G_GNUC_UNUSED,
			    struct timeval tv G_GNUC_UNUSED, void *data)
{
	struct load *l = data;
	double now_s = (double)(base_now_ns() - l->started) / 1e9;
	struct timeval next;

	if (base_now_ns() >= l->arrivals_end)
		return;
	while (l->next_arrival_s <= now_s) {
		item_arrive(l);
		l->next_arrival_s += exponential(l, 1.0 / rate_at(l, l->next_arrival_s));
	}
	next = base_timeval_in_ms(0);
	next.tv_usec += ARRIVAL_TICK_US;
	tevent_add_timer(ev, l, next, on_arrival_tick, l);
}

/* ---- experiment file ---- */

static enum mode mode_parse(const char *name)
{
	static const char *const names[] = {"request", "ticket", "key", "job", "direct"};

	for (int i = 0; i < (int)G_N_ELEMENTS(names); i++)
		if (!strcmp(names[i], name))
			return (enum mode)i;
	fprintf(stderr, "mode: expected request, ticket, key, job or direct\n");
	exit(2);
}

static size_t read_choices(const json_t *list, int64_t out[CHOICES_MAX])
{
	size_t i;
	json_t *v;

	out[0] = 1;
	json_array_foreach(list, i, v) {
		if (i < CHOICES_MAX)
			out[i] = json_integer_value(v);
	}
	return CLAMP(json_array_size(list), 1, CHOICES_MAX);
}

static void read_work_type(struct load *l, const json_t *v)
{
	struct work_type *w = &l->work_types[l->work_type_count++];

	w->name = base_json_str(v, "name", "work");
	w->mode = mode_parse(base_json_str(v, "mode", "request"));
	w->workspace = base_json_str(v, "workspace", "");
	w->kind = base_json_str(v, "kind", "");
	w->weight = (double)base_json_int(v, "weight", 1);
	w->deadline_ms = base_json_int(v, "deadline_ms", 5000);
	w->run_ms = (double)base_json_int(v, "run_ms", 0);
	w->is_heavy_tailed = base_json_bool(v, "tail", false);
	w->task_choice_count = read_choices(json_object_get(v, "tasks"), w->task_choices);
	w->accelerator_choice_count =
		read_choices(json_object_get(v, "accelerators"), w->accelerator_choices);
	w->cancel_percent = base_json_int(v, "cancel_percent", 0);
	w->wrong_percent = base_json_int(v, "wrong_percent", 0);
	w->fail_percent = base_json_int(v, "fail_percent", 0);
	w->failure_domain = base_json_str(v, "failure_domain", NULL);
	w->latency_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	l->total_weight += w->weight;
}

static int read_experiment(struct load *l, const char *path)
{
	json_t *lines;
	char *error;
	json_t *doc = toml_load(path, &lines, &error);
	json_t *v;
	size_t i;

	if (!doc) {
		fprintf(stderr, "%s\n", error);
		return -1;
	}
	json_array_foreach(json_object_get(doc, "work"), i, v) {
		if (l->work_type_count < WORK_TYPES_MAX)
			read_work_type(l, v);
	}
	v = json_object_get(doc, "load");
	l->rate_per_s = (double)base_json_int(v, "rate", 50);
	l->burst_factor = (double)base_json_int(v, "burst_factor", 1);
	l->burst_every_ms = base_json_int(v, "burst_every_ms", 0);
	l->burst_ms = base_json_int(v, "burst_ms", 0);
	if (!l->work_type_count)
		fprintf(stderr, "%s: expected at least one [[work]]\n", path);
	return l->work_type_count ? 0 : -1;
}

/* ---- report ---- */

static int compare_int64(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static int64_t quantile(const GArray *sorted, double q)
{
	if (!sorted->len)
		return 0;
	return g_array_index(sorted, int64_t, (guint)MIN(q * sorted->len, sorted->len - 1));
}

static void print_results(struct load *l, bool as_json)
{
	double seconds = (double)(l->arrivals_end - l->started) / 1e9;

	for (size_t i = 0; i < l->work_type_count; i++) {
		struct work_type *w = &l->work_types[i];

		g_array_sort(w->latency_us, compare_int64);
		printf(as_json ? "{\"name\":\"%s\",\"sent\":%" PRIu64 ",\"done\":%" PRIu64
				 ",\"failed\":%" PRIu64 ",\"not_run\":%" PRIu64
				 ",\"unknown\":%" PRIu64 ",\"pending\":%" PRIu64
				 ",\"goodput\":%.1f,\"p50_us\":%" PRId64 ",\"p90_us\":%" PRId64
				 ",\"p99_us\":%" PRId64 ",\"max_us\":%" PRId64 "}\n"
			       : "%-16s sent %7" PRIu64 " done %7" PRIu64 " failed %5" PRIu64
				 " not_run %6" PRIu64 " unknown %4" PRIu64 " pending %4" PRIu64
				 "  %8.1f/s  p50 %7" PRId64 " p90 %7" PRId64 " p99 %7" PRId64
				 " max %8" PRId64 " us\n",
		       w->name, w->sent, w->outcomes[OUTCOME_DONE], w->outcomes[OUTCOME_FAILED],
		       w->outcomes[OUTCOME_NOT_RUN], w->outcomes[OUTCOME_UNKNOWN],
		       w->outcomes[OUTCOME_NONE], (double)w->outcomes[OUTCOME_DONE] / seconds,
		       quantile(w->latency_us, 0.5), quantile(w->latency_us, 0.9),
		       quantile(w->latency_us, 0.99), quantile(w->latency_us, 1.0));
	}
}

/* Wakes the event loop every 50 ms, so that main() sees the end of the arrivals. */
static void on_loop_wakeup(struct tevent_context *ev, struct tevent_timer *te G_GNUC_UNUSED,
			   struct timeval tv G_GNUC_UNUSED, void *data)
{
	tevent_add_timer(ev, data, base_timeval_in_ms(50), on_loop_wakeup, data);
}

int main(int argc, char **argv)
{
	struct arg_str *targets = arg_strn(NULL, "target", "IP:PORT", 1, TARGETS_MAX, "entry VM");
	struct arg_file *path = arg_file1(NULL, "experiment", "FILE", "work and rates (TOML)");
	struct arg_int *seconds = arg_int1(NULL, "seconds", "N", "duration of the arrivals, in s");
	struct arg_int *drain = arg_int0(NULL, "drain", "N",
					 "time to wait for outcomes after the arrivals, in s (30)");
	struct arg_dbl *rate =
		arg_dbl0(NULL, "rate", "N", "arrivals per second; overrides the experiment file");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "seed of the random numbers (1)");
	struct arg_file *record =
		arg_file0(NULL, "record", "FILE", "append a JSON line for every work item");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON lines");
	struct arg_lit *version = arg_lit0(NULL, "version", "print the version");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {targets, path, seconds, drain, rate, seed,
			 record,  json, version, help,	end};
	struct load *l = talloc_zero(NULL, struct load);
	struct rlimit files;
	int errors = arg_parse(argc, argv, table);

	if (version->count) {
		printf("currantlane-load %s\n", CURRANTLANE_VERSION);
		return 0;
	}
	if (help->count || errors) {
		printf("usage: currantlane-load");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		return help->count ? 0 : 2;
	}
	if (read_experiment(l, path->filename[0]))
		return 2;
	if (!getrlimit(RLIMIT_NOFILE, &files)) {
		files.rlim_cur = files.rlim_max;
		setrlimit(RLIMIT_NOFILE, &files);
	}
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	l->ev = tevent_context_init(l);
	l->http = httpc_new(l, l->ev, 0, 0);
	l->rng = g_rand_new_with_seed(seed->count ? (guint32)seed->ival[0] : 1);
	l->run_nonce = base_random64() & 0xffffff;
	l->target_count = (size_t)targets->count;
	for (int i = 0; i < targets->count; i++)
		l->targets[i] = targets->sval[i];
	if (rate->count)
		l->rate_per_s = rate->dval[0];
	if (record->count)
		l->record = fopen(record->filename[0], "a");
	l->started = base_now_ns();
	l->arrivals_end = base_deadline_in((int64_t)seconds->ival[0] * BASE_MS_PER_S);
	l->drain_deadline = l->arrivals_end +
			    (drain->count ? drain->ival[0] : 30) * BASE_MS_PER_S * BASE_NS_PER_MS;
	on_arrival_tick(l->ev, NULL, base_timeval_in_ms(0), l);
	on_loop_wakeup(l->ev, NULL, base_timeval_in_ms(0), l);
	while (base_now_ns() < l->arrivals_end || l->in_flight)
		tevent_loop_once(l->ev);
	print_results(l, json->count > 0);
	if (l->record)
		fclose(l->record);
	return 0;
}
