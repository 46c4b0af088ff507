/*
 * From the samples of speed, and from what ran beside the task, the leader learns which workloads
 * slow each other down on one server. A new leader learns anew.
 */
#include "sited_lead.h"

#include <string.h>

#define RUNNING_MAX 64	    /* other tasks on a server that are considered */
#define NAME_LOGGED_MAX 200 /* bytes of an image in a log line */

void lead_interference_start(struct lead *l)
{
	l->interference = interference_new(l);
	l->runs = runs_new(l);
	plan_use_interference(l->scratch, l->interference);
}

char *lead_append_interference(const struct lead *l, char *text)
{
	return talloc_asprintf_append_buffer(text, "currantlane_interfering_pairs %u\n",
					     interference_pairs(l->interference, sited_now_ms()));
}

/* the same for all tasks on an incarnation of a server */
static uint64_t server_number(const struct fleet_server *sv)
{
	return base_hash(sv->id, strlen(sv->id), (uint64_t)sv->born);
}

/* Only of starts that this leader has sent; when a task was adopted tells nothing. */
static bool start_is_known(const struct work_task *t)
{
	return t->start_sent_at && t->started_at && t->server;
}

static struct run run_of(const struct work_task *t, int64_t now)
{
	return (struct run){.workload = t->group->step->workload, .from = t->started_at, .to = now};
}

void lead_interference_note_end(struct lead *l, const struct work_task *t)
{
	struct run run = run_of(t, sited_now_ms());

	if (start_is_known(t))
		runs_note_end(l->runs, server_number(t->server), &run);
}

/* ---- samples ---- */

static bool add_beside(const struct lead *l, const struct work_task *t, int64_t now,
		       struct interference_sample *sample)
{
	struct run running[RUNNING_MAX];
	struct run run = run_of(t, now);
	unsigned int count = 0;

	for (guint i = 0; i < t->server->tasks->len && count < RUNNING_MAX; i++) {
		const struct work_task *other = g_ptr_array_index(t->server->tasks, i);

		if (other != t && other->started_at)
			running[count++] = run_of(other, now);
	}
	return runs_beside(l->runs, server_number(t->server), &run, running, count, sample);
}

static const struct work_job *find_job_of(const struct lead *l, uint64_t workload,
					  const char **image)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, l->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct work_job *job = value;

		for (unsigned int i = 0; i < job->step_count; i++) {
			if (job->step[i].workload != workload)
				continue;
			*image = job->step[i].image ? job->step[i].image : "";
			return job;
		}
	}
	return NULL;
}

/* queue and image; an image that is too long for a line, and jobs that are gone, have no name */
static json_t *name_of(const struct lead *l, uint64_t workload)
{
	const char *image = "";
	const struct work_job *job = find_job_of(l, workload, &image);

	return json_pack("{ss ss}", "queue", job ? job->queue : "", "image",
			 strlen(image) > NAME_LOGGED_MAX ? "" : image);
}

static void log_found(const struct lead *l, const struct interference_pair *pair)
{
	log_event("interference_found", "{so so sf sf si si sI}", "workload",
		  name_of(l, pair->workload), "beside", name_of(l, pair->other), "slowdown",
		  pair->slowdown, "score", pair->score, "jobs", (int)pair->jobs, "servers",
		  (int)pair->servers, "age_ms", (json_int_t)(sited_now_ms() - pair->seen_at));
}

void lead_interference_note_sample(struct lead *l, const struct work_task *t, double ratio)
{
	const struct work_group *g = t->group;
	struct interference_sample sample = {
		.workload = g->step->workload,
		.ratio = ratio,
		.job = base_hash(g->job->id, WORK_ID_LEN, g->step_index),
		.server = server_number(t->server),
		.at = sited_now_ms()};
	const struct interference_pair *pair;

	if (!add_beside(l, t, sample.at, &sample))
		return;
	pair = interference_note(l->interference, &sample);
	if (pair)
		log_found(l, pair);
}
