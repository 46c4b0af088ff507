/**
 * DOC: standin-backend - stand-in for a group of backend servers
 *
 * One process simulates many backend servers, each on its own port. POST /fault
 * on the port of a server injects faults there, or on all servers with
 * "all": true:
 *   fail_all      every request and task fails
 *   silent        connections open now are never answered again; new ones work
 *   leaving       refuses new work; work in progress continues
 *   paused        answers nothing, on any connection
 *   dead          discards all state and drops every call, until set to false
 *   lose_percent  share of answers lost after the call took effect
 *   late_ms       delay of every answer
 *   cut           list of VM ids whose calls are dropped
 */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <tevent.h>

#include "base/base.h"
#include "httpd/httpd.h"
#include "ledger/ledger.h"

#define BODY_MAX (512 * 1024)
#define IDLE_S 600
#define CHECKPOINT_WRITE_MS 150 /* simulated duration */
#define RECORD_RETENTION_MS 900000
#define SWEEP_MS 100
#define UNANSWERED_CLOSE_MS 10000
#define PREPARE_HOLD_MS_DEFAULT 3000
#define LEASE_MS_DEFAULT 6000

/* from WORK_DONE on, all states but WORK_STOPPING are final */
enum work_state {
	WORK_ABSENT,
	WORK_PREPARED,
	WORK_RUNNING,
	WORK_DONE,
	WORK_FAILED,
	WORK_STOPPING,
	WORK_STOPPED,
	WORK_CANCELLED,
};

static const char *const work_state_names[] = {"absent", "prepared", "running", "done",
					       "failed", "stopping", "stopped", "cancelled"};

/**
 * struct request - short request, kept after its end so that callers can query its state
 * @answer: JSON text, NULL for a request that was cancelled before it arrived
 * @pending_call: HTTP call that gets the answer, NULL when it is answered or aborted
 * @forget_at: end of the retention; monotonic time in ns
 */
struct request {
	struct server *server;
	char *id;
	enum work_state state;
	char *answer;
	struct httpd_request *pending_call;
	int64_t forget_at;
};

/**
 * struct task - tasks of one attempt of a gang that are placed on this server
 * @key: job and attempt, joined by "/"
 * @task_count: number of the gang's tasks on this server
 * @accelerators: sum over these tasks
 * @deadline: end of the hold while prepared, then of the lease; monotonic time in ns
 * @started: monotonic time in ns, 0 before the start
 * @progress_ms: run time covered by the checkpoint at the start; at the end, the
 *	run time reached, or 0 after a stop without a checkpoint
 * @record: job record of the scheduler, with the work to do
 * @timer: end of the work, or of the checkpoint while stopping
 * @pending_stop_call: HTTP call to answer when the tasks have stopped
 * @forget_at: end of the retention; monotonic time in ns, 0 while not ended
 */
struct task {
	struct server *server;
	char *key;
	char *job;
	int64_t attempt;
	int64_t task_count;
	int64_t accelerators;
	enum work_state state;
	int64_t deadline;
	int64_t started;
	int64_t progress_ms;
	json_t *record;
	struct tevent_timer *timer;
	struct httpd_request *pending_stop_call;
	int64_t forget_at;
};

/**
 * struct faults - faults injected into one server, see the head of this file
 * @silent_before: connections opened before this are not answered; monotonic time in ns
 * @cut: JSON list of VM ids, or NULL
 */
struct faults {
	bool fail_all;
	bool leaving;
	bool paused;
	bool dead;
	int64_t silent_before;
	int64_t lose_percent;
	int64_t late_ms;
	json_t *cut;
};

/**
 * struct server - one simulated backend server
 * @accelerators: number in total
 * @slots: number of short requests that run at the same time
 * @epoch: highest epoch of the scheduler seen; task operations with a lower one are refused
 * @boot: incarnation; changes whenever the state is discarded
 * @requests: id to struct request
 * @tasks: key to struct task
 */
struct server {
	struct group *group;
	struct httpd *httpd;
	char *id;
	int64_t accelerators;
	int64_t slots;
	int64_t slots_used;
	int64_t accelerators_used;
	int64_t epoch;
	int64_t boot;
	GHashTable *requests;
	GHashTable *tasks;
	struct faults faults;
};

struct group {
	struct tevent_context *ev;
	struct ledger *ledger;
	struct server **servers;
	unsigned int count;
};

/* an answer delayed by late_ms; req is NULL after an abort */
struct delayed {
	struct httpd_request *req;
	unsigned int status;
	json_t *body;
};

static void write_event(struct server *s, const char *name, json_t *fields)
{
	json_object_set_new(fields, "act", json_string(name));
	json_object_set_new(fields, "server", json_string(s->id));
	ledger_write(s->group->ledger, fields);
}

/* ---- answers ---- */

/* Closes an unanswered connection, late enough that the caller has given up before. */
static void on_unanswered_timeout(struct tevent_context *ev G_GNUC_UNUSED,
				  struct tevent_timer *te G_GNUC_UNUSED,
				  struct timeval now G_GNUC_UNUSED, void *data)
{
	struct httpd_request **unanswered = data;

	(*unanswered)->on_abort = NULL;
	httpd_drop(*unanswered);
	talloc_free(unanswered);
}

static void on_unanswered_abort(struct httpd_request *req)
{
	talloc_free(req->user);
}

static void leave_unanswered(struct server *s, struct httpd_request *req)
{
	struct httpd_request **unanswered = talloc_zero(s, struct httpd_request *);

	*unanswered = req;
	req->user = unanswered;
	req->on_abort = on_unanswered_abort;
	tevent_add_timer(s->group->ev, unanswered, base_timeval_in_ms(UNANSWERED_CLOSE_MS),
			 on_unanswered_timeout, unanswered);
}

static void on_delayed_abort(struct httpd_request *req)
{
	((struct delayed *)req->user)->req = NULL;
}

static void on_delay_elapsed(struct tevent_context *ev G_GNUC_UNUSED,
			     struct tevent_timer *te G_GNUC_UNUSED,
			     struct timeval now G_GNUC_UNUSED, void *data)
{
	struct delayed *d = data;

	if (d->req) {
		d->req->on_abort = NULL;
		httpd_reply_json(d->req, d->status, d->body);
	} else {
		json_decref(d->body);
	}
	talloc_free(d);
}

static bool random_chance(int64_t percent)
{
	return percent > 0 && (int64_t)(base_random64() % 100) < percent;
}

static void answer(struct server *s, struct httpd_request *req, unsigned int status, json_t *body)
{
	struct delayed *d;

	req->on_abort = NULL;
	json_object_set_new(body, "boot", json_integer(s->boot));
	json_object_set_new(body, "server_state",
			    json_string(s->faults.leaving ? "leaving" : "live"));
	if (s->faults.dead || random_chance(s->faults.lose_percent)) {
		json_decref(body);
		httpd_drop(req);
		return;
	}
	if (s->faults.paused || req->connected_at < s->faults.silent_before) {
		json_decref(body);
		leave_unanswered(s, req);
		return;
	}
	if (s->faults.late_ms <= 0) {
		httpd_reply_json(req, status, body);
		return;
	}
	d = talloc_zero(s, struct delayed);
	d->req = req;
	d->status = status;
	d->body = body;
	req->user = d;
	req->on_abort = on_delayed_abort;
	tevent_add_timer(s->group->ev, d, base_timeval_in_ms(s->faults.late_ms), on_delay_elapsed,
			 d);
}

static void refuse(struct server *s, struct httpd_request *req, const char *why)
{
	answer(s, req, 409, json_pack("{ss}", "refused", why));
}

/* ---- short requests ---- */

static void on_request_abort(struct httpd_request *req)
{
	((struct request *)req->user)->pending_call = NULL;
}

static json_t *request_json(const struct request *r)
{
	json_t *v = json_pack("{ss}", "state", work_state_names[r->state]);

	if (r->answer)
		json_object_set_new(v, "answer", json_loads(r->answer, JSON_DECODE_ANY, NULL));
	return v;
}

static void request_finish(struct request *r, bool failed)
{
	struct server *s = r->server;

	r->state = failed ? WORK_FAILED : WORK_DONE;
	s->slots_used--;
	write_event(s, failed ? "request_failed" : "request_done", json_pack("{ss}", "id", r->id));
	if (r->pending_call) {
		struct httpd_request *req = r->pending_call;

		r->pending_call = NULL;
		answer(s, req, 200, request_json(r));
	}
}

static void on_request_end(struct tevent_context *ev G_GNUC_UNUSED,
			   struct tevent_timer *te G_GNUC_UNUSED, struct timeval now G_GNUC_UNUSED,
			   void *data)
{
	struct request *r = data;
	json_t *v = json_loads(r->answer, JSON_DECODE_ANY, NULL);
	bool failed = base_json_bool(v, "fail", false) || r->server->faults.fail_all;

	json_decref(v);
	request_finish(r, failed);
}

static struct request *request_new(struct server *s, const char *id)
{
	struct request *r = talloc_zero(s, struct request);

	r->server = s;
	r->id = talloc_strdup(r, id);
	r->forget_at = base_deadline_in(RECORD_RETENTION_MS);
	g_hash_table_insert(s->requests, r->id, r);
	return r;
}

/*
 * Repeats the id and the echo number of the request, so that the caller can
 * detect a swapped or truncated answer.
 */
static char *request_answer(struct request *r, const json_t *payload)
{
	json_t *v = json_pack("{ss sO?}", "id", r->id, "echo", json_object_get(payload, "echo"));
	int64_t fill_bytes = base_json_int(payload, "answer_bytes", 0);
	char *text;

	if (fill_bytes > 0) {
		char *pad = g_strnfill((gsize)MIN(fill_bytes, 60000), 'x');

		json_object_set_new(v, "fill", json_string(pad));
		g_free(pad);
	}
	if (base_json_bool(payload, "fail", false))
		json_object_set_new(v, "fail", json_true());
	text = base_json_text(r, v);
	json_decref(v);
	return text;
}

static void request_run(struct server *s, struct httpd_request *req, const char *id)
{
	struct request *r = g_hash_table_lookup(s->requests, id);
	json_t *payload;
	int64_t run_ms;

	if (r) {
		write_event(s, "request_repeated", json_pack("{ss}", "id", id));
		refuse(s, req, r->state == WORK_CANCELLED ? "cancelled" : "known");
		return;
	}
	if (s->faults.leaving || s->slots_used >= s->slots) {
		write_event(s, "request_refused", json_pack("{ss}", "id", id));
		refuse(s, req, s->faults.leaving ? "leaving" : "full");
		return;
	}
	payload = json_loadb(req->body.ptr, req->body.len, 0, NULL);
	run_ms = base_json_int(payload, "run_ms", 0);
	r = request_new(s, id);
	r->state = WORK_RUNNING;
	r->answer = request_answer(r, payload);
	r->pending_call = req;
	req->user = r;
	req->on_abort = on_request_abort;
	s->slots_used++;
	write_event(s, "request_run",
		    json_pack("{ss sO?}", "id", id, "echo", json_object_get(payload, "echo")));
	json_decref(payload);
	if (run_ms > 0)
		tevent_add_timer(s->group->ev, r, base_timeval_in_ms(run_ms), on_request_end, r);
	else
		on_request_end(s->group->ev, NULL, base_timeval_in_ms(0), r);
}

static void handle_request(struct server *s, struct httpd_request *req, const char *id)
{
	struct request *r;

	if (!strcmp(req->method, "POST")) {
		request_run(s, req, id);
		return;
	}
	r = g_hash_table_lookup(s->requests, id);
	if (!strcmp(req->method, "DELETE") && !r) {
		r = request_new(s, id);
		r->state = WORK_CANCELLED;
		write_event(s, "request_cancelled", json_pack("{ss}", "id", id));
	}
	answer(s, req, 200, r ? request_json(r) : json_pack("{ss}", "state", "absent"));
}

/* ---- tasks ---- */

static int64_t task_progress(const struct task *t)
{
	if (t->state != WORK_RUNNING)
		return t->progress_ms;
	return t->progress_ms + (base_now_ns() - t->started) / BASE_NS_PER_MS;
}

static json_t *task_json(const struct task *t)
{
	return json_pack("{ss sI sI sI ss sb sI sO?}", "job", t->job, "attempt",
			 (json_int_t)t->attempt, "tasks", (json_int_t)t->task_count, "accelerators",
			 (json_int_t)t->accelerators, "state", work_state_names[t->state],
			 "was_started", t->started != 0, "progress_ms",
			 (json_int_t)task_progress(t), "record", t->record);
}

static json_t *task_event_fields(const struct task *t)
{
	return json_pack("{ss sI sI sI}", "job", t->job, "attempt", (json_int_t)t->attempt, "tasks",
			 (json_int_t)t->task_count, "gang",
			 (json_int_t)base_json_int(t->record, "gang", 0));
}

/* Frees the accelerators. The task stays in the table until the end of the retention. */
static void task_end(struct task *t, enum work_state state, const char *why)
{
	json_t *fields = task_event_fields(t);

	t->progress_ms = task_progress(t);
	t->state = state;
	t->server->accelerators_used -= t->accelerators;
	t->forget_at = base_deadline_in(RECORD_RETENTION_MS);
	TALLOC_FREE(t->timer);
	json_object_set_new(fields, "why", json_string(why));
	write_event(t->server, "task_end", fields);
	if (t->pending_stop_call) {
		struct httpd_request *req = t->pending_stop_call;

		t->pending_stop_call = NULL;
		answer(t->server, req, 200, task_json(t));
	}
}

static void on_task_end(struct tevent_context *ev G_GNUC_UNUSED,
			struct tevent_timer *te G_GNUC_UNUSED, struct timeval now G_GNUC_UNUSED,
			void *data)
{
	struct task *t = data;

	t->timer = NULL;
	if (t->state == WORK_STOPPING)
		task_end(t, WORK_STOPPED, "stop");
	else if (base_json_bool(t->record, "fail", false) || t->server->faults.fail_all)
		task_end(t, WORK_FAILED, "failed");
	else
		task_end(t, WORK_DONE, "done");
}

/* Refuses an operation of an older epoch; otherwise stores the epoch. */
static bool refuse_stale_epoch(struct server *s, struct httpd_request *req, const json_t *doc)
{
	int64_t epoch = base_json_int(doc, "epoch", -1);

	if (epoch < s->epoch) {
		write_event(s, "task_refused",
			    json_pack("{sI ss}", "epoch", (json_int_t)epoch, "why", "stale_epoch"));
		answer(s, req, 409,
		       json_pack("{ss sI}", "refused", "stale_epoch", "epoch",
				 (json_int_t)s->epoch));
		return true;
	}
	s->epoch = epoch;
	return false;
}

static struct task *task_new(struct server *s, const json_t *doc, const char *key)
{
	struct task *t = talloc_zero(s, struct task);

	t->server = s;
	t->key = talloc_strdup(t, key);
	t->job = talloc_strdup(t, base_json_str(doc, "job", ""));
	t->attempt = base_json_int(doc, "attempt", 0);
	t->task_count = base_json_int(doc, "tasks", 0);
	t->accelerators = base_json_int(doc, "accelerators", 0);
	t->progress_ms = base_json_int(doc, "from_ms", 0);
	t->record = json_deep_copy(json_object_get(doc, "record"));
	g_hash_table_insert(s->tasks, t->key, t);
	return t;
}

static void task_prepare(struct server *s, struct httpd_request *req, const json_t *doc,
			 const char *key, struct task *t)
{
	int64_t accelerators = base_json_int(doc, "accelerators", 0);

	if (t && t->state == WORK_PREPARED) {
		answer(s, req, 200, task_json(t));
		return;
	}
	if (t || s->faults.leaving || s->accelerators_used + accelerators > s->accelerators) {
		refuse(s, req, t ? "known" : s->faults.leaving ? "leaving" : "full");
		return;
	}
	t = task_new(s, doc, key);
	t->state = WORK_PREPARED;
	t->deadline = base_deadline_in(base_json_int(doc, "hold_ms", PREPARE_HOLD_MS_DEFAULT));
	s->accelerators_used += accelerators;
	write_event(s, "task_prepare", task_event_fields(t));
	answer(s, req, 200, task_json(t));
}

static void task_start(struct server *s, struct httpd_request *req, const json_t *doc,
		       struct task *t)
{
	int64_t remaining_ms;
	json_t *fields;

	if (!t) {
		refuse(s, req, "absent");
		return;
	}
	if (t->state != WORK_PREPARED) {
		answer(s, req, 200, task_json(t));
		return;
	}
	t->state = WORK_RUNNING;
	t->started = base_now_ns();
	t->deadline = base_deadline_in(base_json_int(doc, "lease_ms", LEASE_MS_DEFAULT));
	remaining_ms = MAX(base_json_int(t->record, "work_ms", 1000) - t->progress_ms, 0);
	t->timer =
		tevent_add_timer(s->group->ev, t, base_timeval_in_ms(remaining_ms), on_task_end, t);
	fields = task_event_fields(t);
	json_object_set_new(fields, "from_ms", json_integer(t->progress_ms));
	json_object_set_new(fields, "epoch", json_integer(s->epoch));
	write_event(s, "task_start", fields);
	answer(s, req, 200, task_json(t));
}

/* Records the stop of an unknown attempt as cancelled, so that its late prepare is refused. */
static void task_stop(struct server *s, struct httpd_request *req, const json_t *doc,
		      const char *key, struct task *t)
{
	bool checkpoint = base_json_bool(doc, "checkpoint", false);

	if (!t) {
		t = task_new(s, doc, key);
		t->state = WORK_CANCELLED;
		t->accelerators = 0;
		t->forget_at = base_deadline_in(RECORD_RETENTION_MS);
	}
	if (t->state == WORK_PREPARED) {
		task_end(t, WORK_STOPPED, "released");
	} else if (t->state == WORK_RUNNING) {
		t->progress_ms = checkpoint ? task_progress(t) : 0;
		t->state = WORK_STOPPING;
		TALLOC_FREE(t->timer);
		t->pending_stop_call = req;
		req->user = t;
		t->timer = tevent_add_timer(
			s->group->ev, t, base_timeval_in_ms(checkpoint ? CHECKPOINT_WRITE_MS : 0),
			on_task_end, t);
		req->on_abort = NULL;
		return;
	}
	answer(s, req, 200, task_json(t));
}

static bool is_listed(const json_t *list, const char *text)
{
	size_t i;
	json_t *v;

	json_array_foreach(list, i, v) {
		if (!strcmp(json_string_value(v) ? json_string_value(v) : "", text))
			return true;
	}
	return false;
}

static json_t *task_brief(const struct task *t)
{
	return json_pack("{ss sI ss sO?}", "job", t->job, "attempt", (json_int_t)t->attempt,
			 "state", work_state_names[t->state], "servers",
			 json_object_get(t->record, "servers"));
}

/* Lists the tasks, except cancelled ones; lease_ms > 0 renews the leases of jobs not in except. */
static json_t *task_list(struct server *s, const json_t *except, int64_t lease_ms, bool brief)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct task *t = value;

		if (t->state == WORK_CANCELLED)
			continue;
		if (lease_ms && (t->state == WORK_RUNNING || t->state == WORK_STOPPING) &&
		    !is_listed(except, t->job))
			t->deadline = base_deadline_in(lease_ms);
		json_array_append_new(list, brief ? task_brief(t) : task_json(t));
	}
	return list;
}

static void renew_leases(struct server *s, struct httpd_request *req, const json_t *doc)
{
	json_t *tasks = task_list(s, json_object_get(doc, "except"),
				  base_json_int(doc, "lease_ms", LEASE_MS_DEFAULT),
				  base_json_bool(doc, "brief", false));

	answer(s, req, 200,
	       json_pack("{sI sI sI so}", "epoch", (json_int_t)s->epoch, "accelerators_used",
			 (json_int_t)s->accelerators_used, "slots_used", (json_int_t)s->slots_used,
			 "tasks", tasks));
}

static void handle_task(struct server *s, struct httpd_request *req, const char *op)
{
	json_t *doc = json_loadb(req->body.ptr, req->body.len, 0, NULL);
	char key[256];
	struct task *t;

	g_snprintf(key, sizeof(key), "%s/%" PRId64, base_json_str(doc, "job", ""),
		   base_json_int(doc, "attempt", 0));
	t = g_hash_table_lookup(s->tasks, key);
	if (!strcmp(op, "renew")) {
		renew_leases(s, req, doc);
	} else if (refuse_stale_epoch(s, req, doc)) {
		json_decref(doc);
		return;
	} else if (!strcmp(op, "fence")) {
		renew_leases(s, req, doc);
	} else if (!strcmp(op, "prepare")) {
		task_prepare(s, req, doc, key, t);
	} else if (!strcmp(op, "start")) {
		task_start(s, req, doc, t);
	} else if (!strcmp(op, "stop")) {
		task_stop(s, req, doc, key, t);
	} else if (!strcmp(op, "forget")) {
		if (t && t->state >= WORK_DONE && t->state != WORK_STOPPING) {
			write_event(s, "task_forget", task_event_fields(t));
			t->state = WORK_CANCELLED; /* a late prepare of this attempt is refused */
			json_decref(t->record);
			t->record = NULL;
		}
		answer(s, req, 200, json_object());
	} else {
		answer(s, req, 404, json_object());
	}
	json_decref(doc);
}

/* ---- faults, time and dispatch ---- */

static gboolean drop_request(gpointer key G_GNUC_UNUSED, gpointer value,
			     gpointer data G_GNUC_UNUSED)
{
	struct request *r = value;

	if (r->pending_call) {
		r->pending_call->on_abort = NULL;
		httpd_drop(r->pending_call);
	}
	talloc_free(r);
	return TRUE;
}

static gboolean drop_task(gpointer key G_GNUC_UNUSED, gpointer value, gpointer data G_GNUC_UNUSED)
{
	struct task *t = value;

	if (t->state == WORK_RUNNING || t->state == WORK_PREPARED || t->state == WORK_STOPPING) {
		json_t *fields = task_event_fields(t);

		json_object_set_new(fields, "why", json_string("server_death"));
		write_event(t->server, "task_end", fields);
	}
	if (t->pending_stop_call) {
		t->pending_stop_call->on_abort = NULL;
		httpd_drop(t->pending_stop_call);
	}
	json_decref(t->record);
	talloc_free(t);
	return TRUE;
}

static void server_drop_state(struct server *s)
{
	g_hash_table_foreach_remove(s->requests, drop_request, NULL);
	g_hash_table_foreach_remove(s->tasks, drop_task, NULL);
	s->slots_used = 0;
	s->accelerators_used = 0;
	s->epoch = 0;
	s->boot = base_wall_us();
}

static void server_apply_fault(struct server *s, const json_t *doc)
{
	struct faults *f = &s->faults;
	bool was_dead = f->dead;

	f->fail_all = base_json_bool(doc, "fail_all", f->fail_all);
	f->leaving = base_json_bool(doc, "leaving", f->leaving);
	f->paused = base_json_bool(doc, "paused", f->paused);
	f->dead = base_json_bool(doc, "dead", f->dead);
	f->lose_percent = base_json_int(doc, "lose_percent", f->lose_percent);
	f->late_ms = base_json_int(doc, "late_ms", f->late_ms);
	if (base_json_bool(doc, "silent", false))
		f->silent_before = base_now_ns();
	if (json_object_get(doc, "cut")) {
		json_decref(f->cut);
		f->cut = json_incref(json_object_get(doc, "cut"));
	}
	if (f->dead && !was_dead)
		server_drop_state(s);
	write_event(s, "fault", json_pack("{sO}", "fault", doc));
}

static void handle_fault(struct server *s, struct httpd_request *req)
{
	json_t *doc = json_loadb(req->body.ptr, req->body.len, 0, NULL);

	if (base_json_bool(doc, "all", false)) {
		for (unsigned int i = 0; i < s->group->count; i++)
			server_apply_fault(s->group->servers[i], doc);
	} else {
		server_apply_fault(s, doc);
	}
	json_decref(doc);
	httpd_reply_json(req, 200, json_object());
}

static void on_request(struct httpd_request *req)
{
	struct server *s = req->server_data;
	const char *vm = httpd_header(req, "X-Vm");

	if (!strcmp(req->path, "/fault"))
		handle_fault(s, req);
	else if (s->faults.dead || (vm && is_listed(s->faults.cut, vm)))
		httpd_drop(req);
	else if (s->faults.paused || req->connected_at < s->faults.silent_before)
		leave_unanswered(s, req); /* the call has no effect */
	else if (g_str_has_prefix(req->path, "/v1/requests/"))
		handle_request(s, req, req->path + strlen("/v1/requests/"));
	else if (g_str_has_prefix(req->path, "/v1/tasks/"))
		handle_task(s, req, req->path + strlen("/v1/tasks/"));
	else
		answer(s, req, 404, json_object());
}

static gboolean sweep_request(gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
	struct request *r = value;

	if (r->state == WORK_RUNNING || r->forget_at > *(int64_t *)data)
		return FALSE;
	talloc_free(r);
	return TRUE;
}

static gboolean sweep_task(gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
	struct task *t = value;
	int64_t now = *(int64_t *)data;

	if (t->state == WORK_PREPARED && t->deadline < now)
		task_end(t, WORK_STOPPED, "hold_lapsed");
	else if (t->state == WORK_RUNNING && t->deadline < now)
		task_end(t, WORK_STOPPED, "lease_lapsed");
	if (!t->forget_at || t->forget_at > now)
		return FALSE;
	json_decref(t->record);
	talloc_free(t);
	return TRUE;
}

static void on_sweep(struct tevent_context *ev, struct tevent_timer *te G_GNUC_UNUSED,
		     struct timeval tv G_GNUC_UNUSED, void *data)
{
	struct group *g = data;
	int64_t now = base_now_ns();

	for (unsigned int i = 0; i < g->count; i++) {
		g_hash_table_foreach_remove(g->servers[i]->requests, sweep_request, &now);
		g_hash_table_foreach_remove(g->servers[i]->tasks, sweep_task, &now);
	}
	tevent_add_timer(ev, g, base_timeval_in_ms(SWEEP_MS), on_sweep, g);
}

static void on_signal(struct tevent_context *ev G_GNUC_UNUSED,
		      struct tevent_signal *se G_GNUC_UNUSED, int signum G_GNUC_UNUSED,
		      int count G_GNUC_UNUSED, void *info G_GNUC_UNUSED, void *data)
{
	*(bool *)data = true;
}

static int int_value_or(const struct arg_int *arg, int fallback)
{
	return arg->count ? arg->ival[0] : fallback;
}

int main(int argc, char **argv)
{
	struct arg_str *ip = arg_str0(NULL, "ip", "ADDRESS", "address to listen on (127.0.0.1)");
	struct arg_int *port = arg_int1(NULL, "port", "PORT", "port of the first server");
	struct arg_int *count = arg_int0(NULL, "count", "N", "number of servers (1)");
	struct arg_str *prefix =
		arg_str0(NULL, "prefix", "TEXT", "server ids are TEXT0, TEXT1, ...");
	struct arg_int *accelerators =
		arg_int0(NULL, "accelerators", "N", "accelerators per server (8)");
	struct arg_int *slots = arg_int0(NULL, "slots", "N", "concurrent requests per server (8)");
	struct arg_int *connections =
		arg_int0(NULL, "connections", "N", "connections per server (64)");
	struct arg_str *path = arg_str0(NULL, "ledger", "FILE", "append every event to this file");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {ip,	port,	     count, prefix, accelerators,
			 slots, connections, path,  help,   end};
	struct group *g = talloc_zero(NULL, struct group);
	struct httpd_options opt = {
		.ip = "127.0.0.1", .body_max = BODY_MAX, .idle_timeout_s = IDLE_S};
	struct rlimit files;
	bool is_stopping = false;
	int errors = arg_parse(argc, argv, table);

	if (help->count || errors) {
		printf("usage: standin-backend");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		return help->count ? 0 : 2;
	}
	base_log_init("standin-backend", prefix->count ? prefix->sval[0] : "b", "-");
	if (!getrlimit(RLIMIT_NOFILE, &files)) {
		files.rlim_cur = files.rlim_max;
		setrlimit(RLIMIT_NOFILE, &files);
	}
	signal(SIGPIPE, SIG_IGN);
	g->ev = tevent_context_init(g);
	g->count = (unsigned int)int_value_or(count, 1);
	g->servers = talloc_zero_array(g, struct server *, g->count);
	if (path->count)
		g->ledger = ledger_new(g, path->sval[0]);
	if (ip->count)
		opt.ip = ip->sval[0];
	opt.connections_max = (unsigned int)int_value_or(connections, 64);
	for (unsigned int i = 0; i < g->count; i++) {
		struct server *s = talloc_zero(g, struct server);

		s->group = g;
		s->id = talloc_asprintf(s, "%s%u", prefix->count ? prefix->sval[0] : "b", i);
		s->accelerators = int_value_or(accelerators, 8);
		s->slots = int_value_or(slots, 8);
		s->boot = base_wall_us();
		s->requests = g_hash_table_new(g_str_hash, g_str_equal);
		s->tasks = g_hash_table_new(g_str_hash, g_str_equal);
		opt.port = (uint16_t)(port->ival[0] + (int)i);
		s->httpd = httpd_new(s, g->ev, &opt, on_request, s);
		if (!s->httpd) {
			log_warn("listen", "cannot listen on %s:%u", opt.ip, opt.port);
			return 1;
		}
		g->servers[i] = s;
	}
	on_sweep(g->ev, NULL, base_timeval_in_ms(0), g);
	tevent_add_signal(g->ev, g, SIGTERM, 0, on_signal, &is_stopping);
	while (!is_stopping)
		tevent_loop_once(g->ev);
	for (unsigned int i = 0; i < g->count; i++)
		server_drop_state(g->servers[i]);
	talloc_free(g);
	arg_freetable(table, G_N_ELEMENTS(table));
	return 0;
}
