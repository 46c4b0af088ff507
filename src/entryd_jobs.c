/**
 * DOC: entryd_jobs - callers' interface to jobs
 *
 * Checks a job against the catalogue and passes it to the active scheduler of
 * its failure domain. Every call may be repeated, because a job is named by an
 * id made here before the first try.
 */
#include "entryd.h"

#include <string.h>

#define CALL_MS 1200	   /* one try with one scheduler */
#define SUBMIT_MS 12000	   /* longer than a takeover */
#define ROUND_PAUSE_MS 200 /* after all schedulers of the failure domain were tried */
#define POLL_MS 200	   /* between looks at a job somebody waits for */
#define WAIT_MAX_MS 60000
#define SCHEDS_MAX 64
#define KEY_SEED 0x6a6f62ULL

enum job_op {
	JOB_SUBMIT = SCHED_PROC_SUBMIT,
	JOB_STATE = SCHED_PROC_STATE,
	JOB_CANCEL = SCHED_PROC_CANCEL
};

/* a caller's operation on a job, until it is answered */
struct job_call {
	struct worker *worker;
	struct httpd_request *http; /* NULL once the caller is gone */
	enum job_op op;
	char id[ID_MAX];
	char failure_domain[64];
	char *spec;
	int64_t deadline;
	int64_t wait_deadline;
	struct address scheds[SCHEDS_MAX];
	unsigned int sched_count;
	unsigned int next;
	bool may_be_admitted;
	struct trace_span span;
};

static void call_try(struct job_call *c);

static void call_finish(struct job_call *c, unsigned int status, json_t *body)
{
	trace_end(&c->span, "entry-job", c->id);
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

static void on_pause_over(struct tevent_context *ev G_GNUC_UNUSED,
			  struct tevent_timer *te G_GNUC_UNUSED, struct timeval now G_GNUC_UNUSED,
			  void *data)
{
	struct job_call *c = data;

	c->sched_count = 0;
	call_try(c);
}

static void call_pause(struct job_call *c, int64_t ms)
{
	tevent_add_timer(c->worker->ev, c, base_timeval_in_ms(ms), on_pause_over, c);
}

/* a job under a caller's key may have been admitted by an earlier try */
static bool is_keyed(const struct job_call *c)
{
	return strstr(c->id, ".k.") != NULL;
}

static void call_give_up(struct job_call *c)
{
	if (c->op == JOB_SUBMIT && !c->may_be_admitted && !is_keyed(c))
		call_finish(c, 503,
			    json_pack("{ssssss}", "id", c->id, "outcome", "not_run", "reason",
				      "no scheduler took the job"));
	else
		call_finish(c, 504,
			    json_pack("{ssssss}", "id", c->id, "outcome", "unknown", "reason",
				      "no scheduler answered; ask for the job again"));
}

static void list_scheds(struct job_call *c)
{
	const struct view *v = snapshot_read(&c->worker->entryd->view);

	c->sched_count = 0;
	c->next = 0;
	for (unsigned int i = 0; i < v->peer_count && c->sched_count < SCHEDS_MAX; i++) {
		const struct view_peer *p = &v->peers[i];
		char text[32];

		if (strcmp(p->failure_domain, c->failure_domain))
			continue;
		c->scheds[c->sched_count++] = p->sched;
		g_snprintf(text, sizeof(text), "%s:%u", p->sched.ip, p->sched.port);
		/* the one that was active last goes first */
		if (c->worker->active_sched && !strcmp(text, c->worker->active_sched)) {
			c->scheds[c->sched_count - 1] = c->scheds[0];
			c->scheds[0] = p->sched;
		}
	}
	snapshot_done();
}

static void remember_active(struct job_call *c)
{
	const struct address *a = &c->scheds[c->next - 1];

	talloc_free(c->worker->active_sched);
	c->worker->active_sched = talloc_asprintf(c->worker->root, "%s:%u", a->ip, a->port);
}

static void take_state(struct job_call *c, json_t *state)
{
	enum outcome o = base_outcome_parse(base_json_str(state, "outcome", "pending"));

	if (c->op == JOB_STATE && o == OUTCOME_NONE && c->wait_deadline > base_now() && c->http) {
		json_decref(state);
		c->deadline = MAX(c->deadline, base_deadline_in(CALL_MS));
		call_pause(c, POLL_MS);
		return;
	}
	call_finish(c, base_outcome_status(o), state);
}

static void on_answer(enum onc_result result, void *data_res, void *data)
{
	struct job_call *c = data;
	const cl_job_res *res = data_res;
	json_t *state = result == ONC_OK ? json_loads(res->state, 0, NULL) : NULL;

	if (result == ONC_LOST || (result == ONC_OK && res->status == CL_SCHED_UNSURE))
		c->may_be_admitted = true;
	if (result != ONC_OK || res->status == CL_SCHED_NOT_ACTIVE ||
	    res->status == CL_SCHED_UNSURE || !state) {
		json_decref(state);
		call_try(c);
		return;
	}
	remember_active(c);
	switch (res->status) {
	case CL_SCHED_REFUSED:
		count(c->worker, COUNT_BAD_INPUT);
		if (is_keyed(c) && base_json_int(state, "status", 422) == 503)
			json_object_set_new(state, "outcome", json_string("unknown"));
		call_finish(c, (unsigned int)base_json_int(state, "status", 422), state);
		break;
	case CL_SCHED_NOT_FOUND:
		call_finish(c, 404, state);
		break;
	default:
		take_state(c, state);
		break;
	}
}

static void call_try(struct job_call *c)
{
	char parent[TRACE_PARENT_LEN + 1];
	cl_job_args args = {
		.id = c->id, .spec = c->spec ? c->spec : (char *)"", .traceparent = parent};
	int64_t try_deadline = MIN(base_deadline_in(CALL_MS), c->deadline);

	if (base_now() >= c->deadline) {
		call_give_up(c);
		return;
	}
	if (!c->sched_count)
		list_scheds(c);
	if (c->next >= c->sched_count) {
		call_pause(c, ROUND_PAUSE_MS);
		return;
	}
	trace_parent(&c->span, parent);
	args.remaining_ms = base_remaining_ms(try_deadline);
	onc_call(worker_client(c->worker, &c->scheds[c->next++]), &sched_procs[c->op], &args,
		 sizeof(cl_job_res), try_deadline, on_answer, c);
}

static struct job_call *call_new(struct worker *w, struct httpd_request *http, enum job_op op,
				 const char *id)
{
	struct job_call *c = talloc_zero(w->root, struct job_call);
	const char *dot = strchr(id, '.');

	c->worker = w;
	c->http = http;
	c->op = op;
	g_strlcpy(c->id, id, sizeof(c->id));
	g_strlcpy(c->failure_domain, id,
		  dot ? MIN((size_t)(dot - id) + 1, sizeof(c->failure_domain))
		      : sizeof(c->failure_domain));
	c->deadline = base_deadline_in(SUBMIT_MS);
	c->span = trace_begin(httpd_header(http, "traceparent"));
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

struct fault {
	const char *field;
	const char *reason;
};

static struct fault check_job(const struct view *v, const struct job_body *b,
			      const struct catalogue_kind *kind)
{
	struct fault none = {NULL, NULL};
	bool is_domain_known = false;

	for (unsigned int i = 0; i < v->peer_count; i++)
		is_domain_known =
			is_domain_known || !strcmp(v->peers[i].failure_domain, b->failure_domain);
	if (!b->workspace || !catalogue_find_workspace(v->catalogue, b->workspace))
		return (struct fault){"workspace",
				      "expected the name of a workspace in the catalogue"};
	if (!kind || strcmp(kind->workspace, b->workspace))
		return (struct fault){"kind", "expected the name of a kind of this workspace"};
	if (kind->work != WORK_JOB)
		return (struct fault){"kind", "this kind is a short request; use /v1/requests"};
	if (b->tasks < 1 || b->tasks > kind->gang)
		return (struct fault){"tasks", "expected 1 to the kind's max_gang"};
	if (b->accelerators < 1 || b->accelerators > kind->accelerators)
		return (struct fault){"accelerators", "expected 1 to the kind's max_accelerators"};
	if (b->run_ms < 1 || b->run_ms > kind->run_limit_s * BASE_MS_PER_S)
		return (struct fault){"run_ms", "expected 1 to the kind's max_run_s"};
	if (strcmp(b->together, "rack") && strcmp(b->together, "any"))
		return (struct fault){"together", "expected \"rack\" or \"any\""};
	if (!is_domain_known)
		return (struct fault){"failure_domain", "expected a known failure domain"};
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
		reply_fault(w, http, 400, "body", "expected a JSON object");
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

static void job_id(struct worker *w, const struct job_body *b, const char *key, char id[ID_MAX])
{
	if (key)
		g_snprintf(id, ID_MAX, "%s.k.%016" PRIx64 "%016" PRIx64, b->failure_domain,
			   base_hash(key, strlen(key), KEY_SEED),
			   base_hash(b->workspace, strlen(b->workspace),
				     base_hash(key, strlen(key), 0)));
	else
		g_snprintf(id, ID_MAX, "%s.j.%s.%" PRIx64 ".%u.%" PRIx64, b->failure_domain,
			   w->entryd->settings->vm, w->entryd->incarnation, w->index,
			   ++w->next_sequence);
}

static void handle_submit(struct worker *w, struct httpd_request *http)
{
	const char *key = httpd_header(http, "Idempotency-Key");
	struct job_body b = {0};
	struct fault fault;
	struct job_call *c;
	const struct view *v;
	const struct catalogue_kind *kind;
	json_t *spec = NULL;
	char id[ID_MAX];

	if (!read_body(w, http, &b))
		return;
	v = snapshot_read(&w->entryd->view);
	kind = b.kind_name ? catalogue_find_kind(v->catalogue, b.kind_name) : NULL;
	fault = check_job(v, &b, kind);
	if (!fault.field)
		spec = spec_json(&b, kind);
	snapshot_done();
	if (fault.field) {
		reply_fault(w, http, 422, fault.field, fault.reason);
		json_decref(b.doc);
		return;
	}
	job_id(w, &b, key, id);
	c = call_new(w, http, JOB_SUBMIT, id);
	c->spec = base_json_text(c, spec);
	count(w, COUNT_JOBS);
	json_decref(spec);
	json_decref(b.doc);
	call_try(c);
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
		reply_fault(w, http, 404, "path", "no such path");
		return;
	}
	c = call_new(w, http, !strcmp(http->method, "GET") ? JOB_STATE : JOB_CANCEL, path + 1);
	if (wait)
		c->wait_deadline =
			base_deadline_in(CLAMP(g_ascii_strtoll(wait, NULL, 10), 0, WAIT_MAX_MS));
	call_try(c);
}
