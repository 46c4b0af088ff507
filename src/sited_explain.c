/*
 * Where a job would go if it came now, and why, for an operator. The job is neither stored nor
 * known to anything but the trial: nothing is sent, and no state of the leader changes.
 */
#include "sited_lead.h"

#include <string.h>

#include "platform/callers.h"

#define EXPLAIN_TASKS_MAX 512 /* of the steps together; more would hold the leader up */

static const struct queue *find_queue(const struct queues *q, const char *name)
{
	for (unsigned int i = 0; q && i < q->queue_count; i++)
		if (!strcmp(q->queue[i].name, name))
			return &q->queue[i];
	return NULL;
}

static json_t *encode_servers(const struct work_group *g, struct fleet_server *const *servers)
{
	json_t *v = json_object();

	for (unsigned int i = 0; i < g->count; i++) {
		json_t *tasks;

		if (!servers[i])
			continue;
		tasks = json_object_get(v, servers[i]->id);
		if (!tasks) {
			tasks = json_array();
			json_object_set_new(v, servers[i]->id, tasks);
		}
		json_array_append_new(tasks, json_integer(i));
	}
	return v;
}

static json_t *encode_excluded(const struct plan_explanation *e)
{
	json_t *v = json_object();

	for (unsigned int i = 0; i < FLEET_ADMISSION_COUNT; i++)
		if (i != FLEET_ACCEPTING && e->servers[i])
			json_object_set_new(v, fleet_admission_name((enum fleet_admission)i),
					    json_integer(e->servers[i]));
	json_object_set_new(v, "on_probation", json_integer(e->on_probation));
	json_object_set_new(v, "mislabelled", json_integer(e->mislabelled));
	json_object_set_new(v, "set_aside", json_integer(e->set_aside));
	return v;
}

static json_t *explain_group(struct lead *l, struct plan_scratch *s, struct work_group *g)
{
	struct plan_clock at = {sited_now_ms(), sited_wall_ms()};
	struct fleet_server **servers = talloc_zero_array(s, struct fleet_server *, g->count);
	GPtrArray *victims = g_ptr_array_new();
	struct plan_explanation e;
	unsigned int placed;
	json_t *v;

	g->ready_since = at.now;
	g->waiting_since = at.now;
	placed = plan_place(s, l->fleet, g, &at, servers);
	plan_explain(s, l->fleet, g, &at, &e);
	if (!placed && g->job->priority == QUEUES_URGENT_PRIORITY) {
		if (plan_preempt(s, l->fleet, g, &at, servers, victims)) {
			placed = g->count;
		} else {
			/* what it tried */
			memset(servers, 0, g->count * sizeof(struct fleet_server *));
			g_ptr_array_set_size(victims, 0);
		}
	}
	v = json_pack("{si si si ss so si si sI so}", "step", (int)g->step_index, "tasks",
		      (int)g->count, "placed", (int)placed, "why",
		      victims->len ? "tasks that can wait would be stopped"
		      : placed	   ? "best fit among the servers with room"
				   : plan_refusal_text(e.refusal),
		      "on", encode_servers(g, servers), "servers", (int)e.candidates, "with_room",
		      (int)e.with_capacity, "free_accelerators", (json_int_t)e.free_accelerators,
		      "excluded", encode_excluded(&e));
	json_object_set_new(v, "would_stop", json_integer(victims->len));
	g_ptr_array_free(victims, TRUE);
	return v;
}

static unsigned int waiting_groups(const struct lead *l)
{
	unsigned int n = 0;

	for (guint i = 0; i < l->active->len; i++) {
		const struct work_job *job = g_ptr_array_index(l->active, i);

		for (guint k = 0; k < job->groups->len; k++)
			n += work_group_is_ready(g_ptr_array_index(job->groups, k));
	}
	return n;
}

/* the steps whose turn would come first */
static json_t *explain_job(struct lead *l, struct work_job *job)
{
	struct plan_scratch *s = plan_scratch_new(job);
	json_t *steps = json_array();

	work_job_start_through(job, 0);
	plan_use_interference(s, l->interference);
	plan_start_trial(s, l->fleet, sited_now_ms());
	for (guint i = 0; i < job->groups->len; i++) {
		struct work_group *g = g_ptr_array_index(job->groups, i);

		if (work_group_is_ready(g))
			json_array_append_new(steps, explain_group(l, s, g));
	}
	return json_pack("{ss sI si so}", "vm", l->d->site->vm, "term", (json_int_t)l->term,
			 "waiting_steps", (int)waiting_groups(l), "steps", steps);
}

static void refuse(struct httpd_request *req, unsigned int status, const char *why)
{
	httpd_reply_json(req, status, json_pack("{ss}", "error", why));
}

static bool is_too_wide(const struct work_job *job)
{
	unsigned int tasks = 0;

	for (unsigned int i = 0; i < job->step_count; i++)
		tasks += job->step[i].count;
	return tasks > EXPLAIN_TASKS_MAX;
}

void sited_explain(struct sited *d, struct httpd_request *req)
{
	TALLOC_CTX *ctx = talloc_new(d);
	const char *name = httpd_query(req, "queue");
	const struct queue *queue = find_queue(d->queues, name ? name : "");
	const char *fault = NULL;
	struct work_job *job = NULL;

	if (strcmp(req->method, "POST")) {
		refuse(req, 405, "expected POST with a job as callers submit it");
		goto out;
	}
	if (!d->lead || !d->lead->is_loaded) {
		refuse(req, 503, "this VM does not lead, or has not read all jobs yet");
		goto out;
	}
	if (!queue) {
		refuse(req, 404, "no such queue");
		goto out;
	}
	job = callers_decode_job(ctx, queue, "", str_from("0000000000000000"), req->body, &fault);
	if (!job || is_too_wide(job)) {
		refuse(req, 400, fault ? fault : "too many tasks to explain");
		goto out;
	}
	httpd_reply_json(req, 200, explain_job(d->lead, job));
out:
	talloc_free(ctx);
}
