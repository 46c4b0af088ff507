/**
 * DOC: load - load and experiment tool
 *
 * Sends work with open-loop arrivals: what is sent does not depend on what was
 * answered. An experiment file says which work in which mixture, with bursts,
 * cancellations, wrong declarations and jobs that can never run. Every piece
 * of work leaves one line in the record, which is the caller's own account.
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

#define WORKS_MAX 32
#define TARGETS_MAX 64
#define SIZES_MAX 8
#define RETRIES_MAX 6
#define MOVES_MAX 6
#define RETRY_MS 300
#define CALL_GRACE_MS 4000
#define JOB_POLL_MS 5000
#define TICK_US 200
#define TAIL_MAX 12 /* no work runs longer than this many times the mean */

enum mode { MODE_REQUEST, MODE_TICKET, MODE_KEY, MODE_JOB, MODE_DIRECT };

/* one kind of work in the mixture, and what became of it */
struct work {
	const char *name;
	enum mode mode;
	const char *workspace;
	const char *kind;
	double weight;
	int64_t deadline_ms;
	double run_ms;
	bool has_tail;
	int64_t tasks[SIZES_MAX];
	size_t task_sizes;
	int64_t accelerators[SIZES_MAX];
	size_t accelerator_sizes;
	int64_t cancel_percent;
	int64_t wrong_percent;
	int64_t fail_percent;
	const char *failure_domain;
	GArray *latency_us; /* of int64_t, ended as done */
	uint64_t sent;
	uint64_t outcomes[8];
};

struct load {
	struct tevent_context *ev;
	struct httpc *http;
	const char *targets[TARGETS_MAX];
	size_t target_count;
	struct work works[WORKS_MAX];
	size_t work_count;
	double total_weight;
	double rate;
	double burst_factor;
	int64_t burst_every_ms;
	int64_t burst_ms;
	int64_t started;
	int64_t stop_at;
	int64_t give_up_at;
	double next_at; /* s since the start */
	uint64_t sequence;
	uint64_t nonce;
	unsigned int open;
	GRand *rng;
	FILE *record;
};

/* one piece of work on its way */
struct item {
	struct load *load;
	struct work *work;
	uint64_t echo;
	char *id;
	char *body;
	char key[64];
	int64_t sent;
	int64_t deadline;
	int tries;
	int moves; /* to another entry VM, because nothing could be sent */
	bool is_cancelled;
	bool is_job_admitted;
	char answer_fault[64];
};

static void item_send(struct item *it);

static const char *target(struct load *l)
{
	return l->targets[g_rand_int_range(l->rng, 0, (gint32)l->target_count)];
}

static double exponential(struct load *l, double mean)
{
	return -mean * log(1.0 - g_rand_double(l->rng));
}

/* ---- the end of an item ---- */

static void item_end(struct item *it, const char *outcome, unsigned int status)
{
	struct load *l = it->load;
	int64_t took_us = (base_now_ns() - it->sent) / BASE_NS_PER_US;
	enum outcome o = base_outcome_parse(outcome);

	it->work->outcomes[o]++;
	if (o == OUTCOME_DONE)
		g_array_append_val(it->work->latency_us, took_us);
	if (l->record)
		fprintf(l->record,
			"{\"name\":\"%s\",\"kind\":\"%s\",\"mode\":%d,\"echo\":%" PRIu64
			",\"id\":\"%s\",\"outcome\":\"%s\",\"status\":%u,\"took_us\":%" PRId64
			",\"tries\":%d,\"cancelled\":%s,\"admitted\":%s,\"fault\":\"%s\"}\n",
			it->work->name, it->work->kind, (int)it->work->mode, it->echo,
			it->id ? it->id : "", outcome, status, took_us, it->tries,
			it->is_cancelled ? "true" : "false", it->is_job_admitted ? "true" : "false",
			it->answer_fault);
	l->open--;
	talloc_free(it);
}

static void on_again(struct tevent_context *ev G_GNUC_UNUSED, struct tevent_timer *te G_GNUC_UNUSED,
		     struct timeval now G_GNUC_UNUSED, void *data)
{
	item_send(data);
}

static void item_again(struct item *it, int64_t ms)
{
	tevent_add_timer(it->load->ev, it, base_timeval_in_ms(ms), on_again, it);
}

/* a whole answer to this very request echoes its number */
static void check_answer(struct item *it, const json_t *doc)
{
	const json_t *answer = json_object_get(doc, "answer");

	if (it->work->mode == MODE_JOB || !json_is_object(answer))
		return;
	if ((uint64_t)base_json_int(answer, "echo", -1) != it->echo)
		g_snprintf(it->answer_fault, sizeof(it->answer_fault), "echo of another request");
}

/* tickets, keys and jobs may be sent again; a plain request may not */
static bool may_repeat(const struct item *it)
{
	return it->work->mode != MODE_REQUEST && it->work->mode != MODE_DIRECT;
}

static void job_answered(struct item *it, const char *outcome, unsigned int status)
{
	if (!strcmp(outcome, "pending"))
		it->is_job_admitted = true;
	if (!strcmp(outcome, "pending") && base_now_ns() < it->load->give_up_at) {
		item_send(it);
		return;
	}
	if (!strcmp(outcome, "unknown") && it->is_job_admitted && status == 504 &&
	    base_now_ns() < it->load->give_up_at) {
		item_again(it, RETRY_MS);
		return;
	}
	item_end(it, outcome, status);
}

static void on_answer(const struct httpc_answer *a, void *data)
{
	struct item *it = data;
	json_t *doc = NULL;
	const char *outcome;

	if (a->result == HTTPC_ANSWERED)
		doc = json_loadb(a->body.ptr, a->body.len, 0, NULL);
	/* backend servers tell a state where entry VMs tell an outcome */
	outcome = base_json_str(doc, it->work->mode == MODE_DIRECT ? "state" : "outcome", NULL);
	if (a->result == HTTPC_NOT_SENT && it->moves++ < MOVES_MAX) {
		item_send(it); /* a balancer would have chosen another entry VM */
		return;
	}
	if (!it->id && base_json_str(doc, "id", NULL))
		it->id = talloc_strdup(it, base_json_str(doc, "id", ""));
	if (a->result == HTTPC_ANSWERED && a->status == 201) {
		it->sent = base_now_ns(); /* tickets are drawn ahead of need */
		item_send(it);
	} else if (!doc || !outcome || (!strcmp(outcome, "unknown") && may_repeat(it)) ||
		   (!strcmp(outcome, "pending") && it->work->mode != MODE_JOB)) {
		if (may_repeat(it) && base_now_ns() < it->load->give_up_at &&
		    (it->tries < RETRIES_MAX || it->is_job_admitted))
			item_again(it, RETRY_MS);
		else
			item_end(it,
				 outcome					 ? outcome
				 : a->result == HTTPC_NOT_SENT && it->tries == 1 ? "not_run"
										 : "unknown",
				 a->status);
	} else if (it->work->mode == MODE_JOB) {
		job_answered(it, outcome, a->status);
	} else {
		check_answer(it, doc);
		item_end(it, outcome, a->status);
	}
	json_decref(doc);
}

/* ---- sending ---- */

static void on_cancelled(const struct httpc_answer *a G_GNUC_UNUSED, void *data G_GNUC_UNUSED)
{
}

static void on_cancel_time(struct tevent_context *ev G_GNUC_UNUSED,
			   struct tevent_timer *te G_GNUC_UNUSED, struct timeval now G_GNUC_UNUSED,
			   void *data)
{
	struct item *it = data;
	char url[256];
	struct httpc_options opt = {
		.method = "DELETE", .url = url, .deadline = base_deadline_in(CALL_GRACE_MS)};

	if (!it->id)
		return;
	it->is_cancelled = true;
	g_snprintf(url, sizeof(url), "http://%s/v1/jobs/%s", target(it->load), it->id);
	httpc_start(it->load->http, &opt, on_cancelled, NULL);
}

static void item_send(struct item *it)
{
	struct load *l = it->load;
	char url[256];
	char key[96];
	int64_t left_ms = MAX(base_remaining_ms(it->deadline), 100);
	struct httpc_options opt = {.method = "POST",
				    .url = url,
				    .body = str_from(it->body),
				    .deadline = base_deadline_in(left_ms + CALL_GRACE_MS)};

	it->tries++;
	switch (it->work->mode) {
	case MODE_DIRECT:
		g_snprintf(url, sizeof(url), "http://%s/v1/requests/direct-%" PRIx64 "-%" PRIu64,
			   target(l), l->nonce, it->echo);
		break;
	case MODE_REQUEST:
		g_snprintf(url, sizeof(url), "http://%s/v1/requests", target(l));
		break;
	case MODE_KEY:
		g_snprintf(url, sizeof(url), "http://%s/v1/requests", target(l));
		g_snprintf(key, sizeof(key), "Idempotency-Key: %s", it->key);
		opt.header[0] = key;
		break;
	case MODE_TICKET:
		if (it->id) {
			opt.method = "PUT";
			g_snprintf(url, sizeof(url), "http://%s/v1/requests/%s", target(l), it->id);
		} else {
			g_snprintf(url, sizeof(url), "http://%s/v1/tickets", target(l));
			opt.body = str_from("{}");
		}
		break;
	case MODE_JOB:
		if (it->id) {
			opt.method = "GET";
			opt.body = str_from("");
			opt.deadline = base_deadline_in(JOB_POLL_MS + 15000);
			g_snprintf(url, sizeof(url), "http://%s/v1/jobs/%s?wait_ms=%d", target(l),
				   it->id, JOB_POLL_MS);
		} else {
			g_snprintf(url, sizeof(url), "http://%s/v1/jobs", target(l));
			g_snprintf(key, sizeof(key), "Idempotency-Key: %s", it->key);
			opt.header[0] = key;
			opt.deadline = base_deadline_in(15000);
		}
		break;
	}
	httpc_start(l->http, &opt, on_answer, it);
}

static char *item_body(struct item *it)
{
	struct work *w = it->work;
	struct load *l = it->load;
	double run_ms = w->run_ms > 0 ? exponential(l, w->run_ms) : 0;
	double declared;
	int64_t tasks = w->tasks[g_rand_int_range(l->rng, 0, (gint32)w->task_sizes)];
	int64_t acc = w->accelerators[g_rand_int_range(l->rng, 0, (gint32)w->accelerator_sizes)];
	bool fails = g_rand_int_range(l->rng, 0, 100) < w->fail_percent;
	json_t *doc;
	char *text;

	/* one in twenty is ten times as long */
	if (w->has_tail && g_rand_int_range(l->rng, 0, 20) == 0)
		run_ms *= 10;
	run_ms = MIN(run_ms, w->run_ms * TAIL_MAX);
	declared = MAX(run_ms, 1);
	if (g_rand_int_range(l->rng, 0, 100) < w->wrong_percent)
		declared *= g_rand_boolean(l->rng) ? 5 : 0.2;
	if (w->mode == MODE_JOB)
		doc = json_pack("{ss ss sI sI sI ss* s{sI sb sI}}", "workspace", w->workspace,
				"kind", w->kind, "tasks", (json_int_t)tasks, "accelerators",
				(json_int_t)acc, "run_ms", (json_int_t)MAX(declared, 1),
				"failure_domain", w->failure_domain, "payload", "work_ms",
				(json_int_t)MAX(run_ms, 1), "fail", fails, "echo",
				(json_int_t)it->echo);
	else if (w->mode == MODE_DIRECT)
		doc = json_pack("{sI sI}", "echo", (json_int_t)it->echo, "run_ms",
				(json_int_t)run_ms);
	else
		doc = json_pack("{ss ss sI s{sI sI sb}}", "workspace", w->workspace, "kind",
				w->kind, "deadline_ms", (json_int_t)w->deadline_ms, "payload",
				"echo", (json_int_t)it->echo, "run_ms", (json_int_t)run_ms, "fail",
				fails);
	text = base_json_text(it, doc);
	json_decref(doc);
	return text;
}

static struct work *choose_work(struct load *l)
{
	double at = g_rand_double(l->rng) * l->total_weight;

	for (size_t i = 0; i + 1 < l->work_count; i++) {
		if (at < l->works[i].weight)
			return &l->works[i];
		at -= l->works[i].weight;
	}
	return &l->works[l->work_count - 1];
}

static void arrive(struct load *l)
{
	struct item *it = talloc_zero(l, struct item);

	it->load = l;
	it->work = choose_work(l);
	it->echo = ++l->sequence + (l->nonce << 24);
	it->sent = base_now_ns();
	it->deadline = base_deadline_in(it->work->deadline_ms);
	g_snprintf(it->key, sizeof(it->key), "load-%" PRIx64 "-%" PRIu64, l->nonce, l->sequence);
	it->body = item_body(it);
	it->work->sent++;
	l->open++;
	if (g_rand_int_range(l->rng, 0, 100) < it->work->cancel_percent)
		tevent_add_timer(
			l->ev, it,
			base_timeval_in_ms((int64_t)exponential(l, MAX(it->work->run_ms, 50))),
			on_cancel_time, it);
	item_send(it);
}

static double rate_now(const struct load *l, double at_s)
{
	if (l->burst_every_ms && (int64_t)(at_s * 1000) % l->burst_every_ms < l->burst_ms)
		return l->rate * l->burst_factor;
	return l->rate;
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te G_GNUC_UNUSED,
		    struct timeval tv G_GNUC_UNUSED, void *data)
{
	struct load *l = data;
	double now_s = (double)(base_now_ns() - l->started) / 1e9;
	struct timeval next;

	if (base_now_ns() >= l->stop_at)
		return;
	while (l->next_at <= now_s) {
		arrive(l);
		l->next_at += exponential(l, 1.0 / rate_now(l, l->next_at));
	}
	next = base_timeval_in_ms(0);
	next.tv_usec += TICK_US;
	tevent_add_timer(ev, l, next, on_tick, l);
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

static size_t read_sizes(const json_t *list, int64_t out[SIZES_MAX])
{
	size_t i;
	json_t *v;

	out[0] = 1;
	json_array_foreach(list, i, v) {
		if (i < SIZES_MAX)
			out[i] = json_integer_value(v);
	}
	return CLAMP(json_array_size(list), 1, SIZES_MAX);
}

static void read_work(struct load *l, const json_t *v)
{
	struct work *w = &l->works[l->work_count++];

	w->name = base_json_str(v, "name", "work");
	w->mode = mode_parse(base_json_str(v, "mode", "request"));
	w->workspace = base_json_str(v, "workspace", "");
	w->kind = base_json_str(v, "kind", "");
	w->weight = (double)base_json_int(v, "weight", 1);
	w->deadline_ms = base_json_int(v, "deadline_ms", 5000);
	w->run_ms = (double)base_json_int(v, "run_ms", 0);
	w->has_tail = base_json_bool(v, "tail", false);
	w->task_sizes = read_sizes(json_object_get(v, "tasks"), w->tasks);
	w->accelerator_sizes = read_sizes(json_object_get(v, "accelerators"), w->accelerators);
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
		if (l->work_count < WORKS_MAX)
			read_work(l, v);
	}
	v = json_object_get(doc, "load");
	l->rate = (double)base_json_int(v, "rate", 50);
	l->burst_factor = (double)base_json_int(v, "burst_factor", 1);
	l->burst_every_ms = base_json_int(v, "burst_every_ms", 0);
	l->burst_ms = base_json_int(v, "burst_ms", 0);
	if (!l->work_count)
		fprintf(stderr, "%s: expected at least one [[work]]\n", path);
	return l->work_count ? 0 : -1;
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

static void report(struct load *l, bool as_json)
{
	double seconds = (double)(l->stop_at - l->started) / 1e9;

	for (size_t i = 0; i < l->work_count; i++) {
		struct work *w = &l->works[i];

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

static void on_keep_awake(struct tevent_context *ev, struct tevent_timer *te G_GNUC_UNUSED,
			  struct timeval tv G_GNUC_UNUSED, void *data)
{
	tevent_add_timer(ev, data, base_timeval_in_ms(50), on_keep_awake, data);
}

int main(int argc, char **argv)
{
	struct arg_str *targets = arg_strn(NULL, "target", "IP:PORT", 1, TARGETS_MAX, "entry VM");
	struct arg_file *path = arg_file1(NULL, "experiment", "FILE", "work and rates (TOML)");
	struct arg_int *seconds = arg_int1(NULL, "seconds", "N", "how long work arrives");
	struct arg_int *drain =
		arg_int0(NULL, "drain", "N", "how long ends are waited for, in s (30)");
	struct arg_dbl *rate =
		arg_dbl0(NULL, "rate", "N", "arrivals a second, instead of the file's");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "seed of all draws (1)");
	struct arg_file *record =
		arg_file0(NULL, "record", "FILE", "a line for every piece of work");
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
	l->nonce = base_random64() & 0xffffff;
	l->target_count = (size_t)targets->count;
	for (int i = 0; i < targets->count; i++)
		l->targets[i] = targets->sval[i];
	if (rate->count)
		l->rate = rate->dval[0];
	if (record->count)
		l->record = fopen(record->filename[0], "a");
	l->started = base_now_ns();
	l->stop_at = base_deadline_in((int64_t)seconds->ival[0] * BASE_MS_PER_S);
	l->give_up_at =
		l->stop_at + (drain->count ? drain->ival[0] : 30) * BASE_MS_PER_S * BASE_NS_PER_MS;
	on_tick(l->ev, NULL, base_timeval_in_ms(0), l);
	on_keep_awake(l->ev, NULL, base_timeval_in_ms(0), l);
	while (base_now_ns() < l->stop_at || l->open)
		tevent_loop_once(l->ev);
	report(l, json->count > 0);
	if (l->record)
		fclose(l->record);
	return 0;
}
