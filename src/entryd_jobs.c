/**
 * DOC: entryd_jobs - HTTP interface to jobs
 *
 * Checks a job against the catalogue and passes it to the active scheduler of
 * its failure domain. A call can be repeated at another scheduler without
 * creating a second job, because the job's id is made here before the first
 * attempt.
 */
#include "entryd.h"

#include <string.h>

#define CALL_TIMEOUT_MS 1200 /* one call to one scheduler */
#define JOB_TIMEOUT_MS 12000 /* for all calls; longer than a takeover by another scheduler */
#define ROUND_DELAY_MS 200   /* pause after every scheduler of the failure domain was called */
#define STATE_POLL_MS 200    /* between state queries of a job that a caller waits for */
#define WAIT_MAX_MS 60000    /* upper bound of a caller's wait_ms */
#define SCHEDS_MAX 64	     /* schedulers called in one round */
#define KEY_SEED 0x6a6f62ULL /* of the first of two hashes in the id of a keyed job */

enum job_op {
	JOB_SUBMIT = SCHED_PROC_SUBMIT,
	JOB_STATE = SCHED_PROC_STATE,
	JOB_CANCEL = SCHED_PROC_CANCEL
};

/* a caller's operation on a job that has not been answered */
struct job_call {
	struct worker *worker;
	struct httpd_request *http; /* NULL once the caller disconnected */
	enum job_op op;
	char id[ID_MAX];
	char failure_domain[64];
	char *spec;
	int64_t deadline;      /* for all calls to schedulers */
	int64_t wait_deadline; /* until then a state query waits for the job's end; 0 for no wait */
	struct address scheds[SCHEDS_MAX];
	unsigned int sched_count;
	unsigned int next_sched; /* index in scheds of the next one to call */
	bool may_be_admitted;	 /* some call had no certain answer */
	struct trace_span span;
};

static void call_next_scheduler(struct job_call *c);

static void call_finish(struct job_call *c, unsigned int status, json_t *body)
{
	trace_span_end(&c->span, "entry-job", c->id);
	if (c->http) {
		c->http->on_abort = NULL;
		httpd_reply_json(c->http, status, body);
	} else {
		json_decref(body);
	}
	c->worker->active--;
	talloc_free(c);
}

static void on_call_abort(struct httpd_request *http)
{
	((struct job_call *)http->user)->http = NULL;
}

static void on_delay_over(struct tevent_context *ev G_GNUC_UNUSED,
			  struct tevent_timer *te G_GNUC_UNUSED, struct timeval now G_GNUC_UNUSED,
			  void *data)
{
	struct job_call *c = data;

	c->sched_count = 0;
	call_next_scheduler(c);
}

static void call_after_delay(struct job_call *c, int64_t ms)
{
	tevent_add_timer(c->worker->ev, c, base_timeval_in_ms(ms), on_delay_over, c);
}

/* A job with a caller's Idempotency-Key may have been admitted by an earlier call. */
static bool has_caller_key(const struct job_call *c)
{
	return strstr(c->id, ".k.") != NULL;
}

static void call_give_up(struct job_call *c)
{
	if (c->op == JOB_SUBMIT && !c->may_be_admitted && !has_caller_key(c))
		call_finish(c, 503,
			    json_pack("{ssssss}", "id", c->id, "outcome", "not_run", "reason",
				      "no scheduler took the job"));
	else
		call_finish(c, 504,
			    json_pack("{ssssss}", "id", c->id, "outcome", "unknown", "reason",
				      "no scheduler answered; ask for the job again"));
}

static void list_schedulers(struct job_call *c)
{
	const struct view *v = snapshot_read_begin(&c->worker->entryd->view);

	c->sched_count = 0;
	c->next_sched = 0;
	for (unsigned int i = 0; i < v->peer_count && c->sched_count < SCHEDS_MAX; i++) {
		const struct view_peer *p = &v->peers[i];
		char text[32];

		if (strcmp(p->failure_domain, c->failure_domain))
			continue;
		c->scheds[c->sched_count++] = p->sched;
		g_snprintf(text, sizeof(text), "%s:%u", p->sched.ip, p->sched.port);
		/* the scheduler that was active last is called first */
		if (c->worker->last_active_sched && !strcmp(text, c->worker->last_active_sched)) {
			c->scheds[c->sched_count - 1] = c->scheds[0];
			c->scheds[0] = p->sched;
		}
	}
	snapshot_read_end();
}

static void remember_active_scheduler(struct job_call *c)
{
	const struct address *a = &c->scheds[c->next_sched - 1];

	talloc_free(c->worker->last_active_sched);
	c->worker->last_active_sched = talloc_asprintf(c->worker->mem_ctx, "%s:%u", a->ip, a->port);
}

static void handle_state(struct job_call *c, json_t *state)
{
	enum outcome o = base_outcome_parse(base_json_str(state, "outcome", "pending"));

	if (c->op == JOB_STATE && o == OUTCOME_NONE && c->wait_deadline > base_now_ns() &&
	    c->http) {
		json_decref(state);
		c->deadline = MAX(c->deadline, base_deadline_in(CALL_TIMEOUT_MS));
		call_after_delay(c, STATE_POLL_MS);
		return;
	}
	call_finish(c, base_outcome_http_status(o), state);
}

static void on_sched_reply(enum onc_result result, void *data_res, void *data)
{
	struct job_call *c = data;
	const cl_job_res *res = data_res;
	json_t *state = result == ONC_OK ? json_loads(res->state, 0, NULL) : NULL;

	if (result == ONC_LOST || (result == ONC_OK && res->status == CL_SCHED_UNSURE))
		c->may_be_admitted = true;
	if (result != ONC_OK || res->status == CL_SCHED_NOT_ACTIVE ||
	    res->status == CL_SCHED_UNSURE || !state) {
		json_decref(state);
		call_next_scheduler(c);
		return;
	}
	remember_active_scheduler(c);
	switch (res->status) {
	case CL_SCHED_REFUSED:
		count(c->worker, COUNT_BAD_INPUT);
		if (has_caller_key(c) && base_json_int(state, "status", 422) == 503)
			json_object_set_new(state, "outcome", json_string("unknown"));
		call_finish(c, (unsigned int)base_json_int(state, "status", 422), state);
		break;
	case CL_SCHED_NOT_FOUND:
		call_finish(c, 404, state);
		break;
	default:
		handle_state(c, state);
		break;
	}
}

static void call_next_scheduler(struct job_call *c)
{
	char parent[TRACE_PARENT_LEN + 1];
	cl_job_args args = {
		.id = c->id, .spec = c->spec ? c->spec : (char *)"", .traceparent = parent};
	int64_t call_deadline = MIN(base_deadline_in(CALL_TIMEOUT_MS), c->deadline);

	if (base_now_ns() >= c->deadline) {
		call_give_up(c);
		return;
	}
	if (!c->sched_count)
		list_schedulers(c);
	if (c->next_sched >= c->sched_count) {
		call_after_delay(c, ROUND_DELAY_MS);
		return;
	}
	trace_format_parent(&c->span, parent);
	args.remaining_ms = base_remaining_ms(call_deadline);
	onc_call(worker_client(c->worker, &c->scheds[c->next_sched++]), &sched_procs[c->op], &args,
		 sizeof(cl_job_res), call_deadline, on_sched_reply, c);
}

static struct job_call *call_new(struct worker *w, struct httpd_request *http, enum job_op op,
				 const char *id)
{
	struct job_call *c = talloc_zero(w->mem_ctx, struct job_call);
	const char *dot = strchr(id, '.');

	c->worker = w;
	c->http = http;
	c->op = op;
	g_strlcpy(c->id, id, sizeof(c->id));
	g_strlcpy(c->failure_domain, id,
		  dot ? MIN((size_t)(dot - id) + 1, sizeof(c->failure_domain))
		      : sizeof(c->failure_domain));
	c->deadline = base_deadline_in(JOB_TIMEOUT_MS);
	c->span = trace_span_start(httpd_header(http, "traceparent"));
	http->user = c;
	http->on_abort = on_call_abort;
	w->active++;
	return c;
}

/* ---- checks ---- */

struct job_body {
	json_t *doc;
	const char *workspace;
	const char *kind_name;
	int64_t tasks;
	int64_t accelerators;
	int64_t run_ms;
	const char *together;
	const char *failure_domain;
};

struct input_error {
	const char *field;
	const char *reason;
};

static struct input_error check_job(const struct view *v, const struct job_body *b,
				    const struct catalogue_kind *kind)
{
	struct input_error none = {NULL, NULL};
	bool is_domain_known = false;

	for (unsigned int i = 0; i < v->peer_count; i++)
		is_domain_known =
			is_domain_known || !strcmp(v->peers[i].failure_domain, b->failure_domain);
	if (!b->workspace || !catalogue_find_workspace(v->catalogue, b->workspace))
		return (struct input_error){"workspace",
					    "expected the name of a workspace in the catalogue"};
	if (!kind || strcmp(kind->workspace, b->workspace))
		return (struct input_error){"kind",
					    "expected the name of a kind of this workspace"};
	if (kind->work != WORK_JOB)
		return (struct input_error){"kind",
					    "this kind is a short request; use /v1/requests"};
	if (b->tasks < 1 || b->tasks > kind->gang)
		return (struct input_error){"tasks", "expected 1 to the kind's max_gang"};
	if (b->accelerators < 1 || b->accelerators > kind->accelerators)
		return (struct input_error){"accelerators",
					    "expected 1 to the kind's max_accelerators"};
	if (b->run_ms < 1 || b->run_ms > kind->run_limit_s * BASE_MS_PER_S)
		return (struct input_error){"run_ms", "expected 1 to the kind's max_run_s"};
	if (strcmp(b->together, "rack") && strcmp(b->together, "any"))
		return (struct input_error){"together", "expected \"rack\" or \"any\""};
	if (!is_domain_known)
		return (struct input_error){"failure_domain", "expected a known failure domain"};
	return none;
}

static json_t *spec_json(const struct job_body *b, const struct catalogue_kind *kind)
{
	return json_pack("{ss ss ss sI sI sI sb sb sb sI sI sO?}", "workspace", b->workspace,
			 "kind", b->kind_name, "class", base_class_name(kind->cls), "tasks",
			 (json_int_t)b->tasks, "accelerators", (json_int_t)b->accelerators,
			 "run_ms", (json_int_t)b->run_ms, "one_rack", !strcmp(b->together, "rack"),
			 "checkpointable", kind->checkpointable, "idempotent", kind->idempotent,
			 "max_run_ms", (json_int_t)(kind->run_limit_s * BASE_MS_PER_S),
			 "share_percent", (json_int_t)kind->share_percent, "payload",
			 json_object_get(b->doc, "payload"));
}

static bool read_body(struct worker *w, struct httpd_request *http, struct job_body *b)
{
	b->doc = json_loadb(http->body.ptr, http->body.len, JSON_REJECT_DUPLICATES, NULL);
	if (!json_is_object(b->doc)) {
		json_decref(b->doc);
		reply_error(w, http, 400, "body", "expected a JSON object");
		return false;
	}
	b->workspace = base_json_str(b->doc, "workspace", NULL);
	b->kind_name = base_json_str(b->doc, "kind", NULL);
	b->tasks = base_json_int(b->doc, "tasks", json_object_get(b->doc, "tasks") ? 0 : 1);
	b->accelerators = base_json_int(b->doc, "accelerators",
					json_object_get(b->doc, "accelerators") ? 0 : 1);
	b->run_ms = base_json_int(b->doc, "run_ms", 0);
	b->together =
		base_json_str(b->doc, "together", json_object_get(b->doc, "together") ? "" : "any");
	b->failure_domain =
		base_json_str(b->doc, "failure_domain", w->entryd->settings->failure_domain);
	return true;
}

static void make_job_id(struct worker *w, const struct job_body *b, const char *key,
			char id[ID_MAX])
{
	if (key)
		g_snprintf(id, ID_MAX, "%s.k.%016" PRIx64 "%016" PRIx64, b->failure_domain,
			   base_hash(key, strlen(key), KEY_SEED),
			   base_hash(b->workspace, strlen(b->workspace),
				     base_hash(key, strlen(key), 0)));
	else
		g_snprintf(id, ID_MAX, "%s.j.%s.%" PRIx64 ".%u.%" PRIx64, b->failure_domain,
			   w->entryd->settings->vm, w->entryd->incarnation, w->index,
			   ++w->last_sequence);
}

static void handle_submit(struct worker *w, struct httpd_request *http)
{
	const char *key = httpd_header(http, "Idempotency-Key");
	struct job_body b = {0};
	struct input_error input_error;
	struct job_call *c;
	const struct view *v;
	const struct catalogue_kind *kind;
	json_t *spec = NULL;
	char id[ID_MAX];

	if (!read_body(w, http, &b))
		return;
	v = snapshot_read_begin(&w->entryd->view);
	kind = b.kind_name ? catalogue_find_kind(v->catalogue, b.kind_name) : NULL;
	input_error = check_job(v, &b, kind);
	if (!input_error.field)
		spec = spec_json(&b, kind);
	snapshot_read_end();
	if (input_error.field) {
		reply_error(w, http, 422, input_error.field, input_error.reason);
		json_decref(b.doc);
		return;
	}
	make_job_id(w, &b, key, id);
	c = call_new(w, http, JOB_SUBMIT, id);
	c->spec = base_json_text(c, spec);
	count(w, COUNT_JOBS);
	json_decref(spec);
	json_decref(b.doc);
	call_next_scheduler(c);
}

void jobs_handle(struct worker *w, struct httpd_request *http)
{
	const char *path = http->path + strlen("/v1/jobs");
	const char *wait = httpd_query(http, "wait_ms");
	struct job_call *c;

	if (!*path && !strcmp(http->method, "POST")) {
		handle_submit(w, http);
		return;
	}
	if (*path != '/' || !path[1] || strlen(path) >= ID_MAX || !strchr(path, '.') ||
	    (strcmp(http->method, "GET") && strcmp(http->method, "DELETE"))) {
		reply_error(w, http, 404, "path", "no such path");
		return;
	}
	c = call_new(w, http, !strcmp(http->method, "GET") ? JOB_STATE : JOB_CANCEL, path + 1);
	if (wait)
		c->wait_deadline =
			base_deadline_in(CLAMP(g_ascii_strtoll(wait, NULL, 10), 0, WAIT_MAX_MS));
	call_next_scheduler(c);
}
