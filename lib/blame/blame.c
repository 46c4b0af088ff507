#include "blame.h"

#include <string.h>

/* a server fell silent, or has crashed */
struct sign {
	char *address;
	int64_t at;
	bool is_crash;
};

struct blame {
	GQueue *signs; /* struct sign, in the order in which they were noticed */
};

static int blame_destructor(struct blame *b)
{
	g_queue_free(b->signs);
	return 0;
}

struct blame *blame_new(TALLOC_CTX *ctx)
{
	struct blame *b = talloc_zero(ctx, struct blame);

	b->signs = g_queue_new();
	talloc_set_destructor(b, blame_destructor);
	return b;
}

static void remember(struct blame *b, const struct fleet_server *sv, int64_t at, bool is_crash)
{
	struct sign *oldest;
	struct sign *s = talloc_zero(b, struct sign);

	s->address = talloc_strdup(s, sv->address);
	s->at = at;
	s->is_crash = is_crash;
	g_queue_push_tail(b->signs, s);
	while ((oldest = g_queue_peek_head(b->signs)) &&
	       (oldest->at < at - BLAME_MEMORY_MS || b->signs->length > BLAME_SIGNS_MAX))
		talloc_free(g_queue_pop_head(b->signs));
}

void blame_note_silence(struct blame *b, const struct fleet_server *sv, int64_t at)
{
	remember(b, sv, at, false);
}

static bool has_crashed_before(const struct blame *b, const struct fleet_server *sv, int64_t at)
{
	for (const GList *l = b->signs->head; l; l = l->next) {
		const struct sign *s = l->data;

		if (s->is_crash && s->at >= at - BLAME_MEMORY_MS &&
		    !strcmp(s->address, sv->address))
			return true;
	}
	return false;
}

static bool fell_silent_together(const struct blame *b, const struct fleet_server *sv, int64_t at)
{
	GHashTable *others = g_hash_table_new(g_str_hash, g_str_equal);
	bool is_together;

	for (const GList *l = b->signs->head; l; l = l->next) {
		const struct sign *s = l->data;

		if (ABS(s->at - at) <= BLAME_TOGETHER_MS && strcmp(s->address, sv->address))
			g_hash_table_add(others, s->address);
	}
	is_together = g_hash_table_size(others) >= BLAME_TOGETHER_SERVERS;
	g_hash_table_destroy(others);
	return is_together;
}

/*
 * A start may have been carried out, so the task may have run when the server crashed. A start
 * that no call has lost the answer of was answered by the next incarnation, if at all. A server
 * that did not answer before a start was sent did not crash because of it.
 */
static bool may_have_run(const struct work_task *t, int64_t crashed_at)
{
	if (!t->last_poll && t->start_sent_at && crashed_at <= t->start_sent_at)
		return false;
	switch (t->state) {
	case TASK_STARTING:
	case TASK_STOPPING:
		return t->started_at || t->unanswered_starts;
	case TASK_RUNNING:
	case TASK_UNCONFIRMED:
		return true;
	case TASK_WAITING:
	case TASK_AWAITING_PREEMPTION:
	case TASK_ASSIGNED:
	case TASK_ENDING:
	case TASK_DONE:
		break;
	}
	return false;
}

/* a task of an earlier leader is not: it is not known when it started */
static bool is_new(const struct work_task *t, int64_t seen_at, int64_t crashed_at)
{
	return may_have_run(t, crashed_at) && t->state != TASK_UNCONFIRMED &&
	       (t->first_percent < 0 || seen_at - t->started_at < BLAME_NEW_MS);
}

/* Returns the number of jobs with new tasks that have never run well, 2 for more than one. */
static unsigned int count_suspect_jobs(const struct fleet_server *sv, int64_t seen_at,
				       int64_t crashed_at)
{
	const struct work_job *job = NULL;

	for (guint i = 0; i < sv->tasks->len; i++) {
		const struct work_task *t = g_ptr_array_index(sv->tasks, i);

		if (!is_new(t, seen_at, crashed_at) || t->has_run_well)
			continue;
		if (job && t->group->job != job)
			return 2;
		job = t->group->job;
	}
	return job ? 1 : 0;
}

void blame_crash(struct blame *b, const struct fleet_server *sv, int64_t seen_at,
		 int64_t crashed_at, unsigned int *points)
{
	unsigned int suspects = count_suspect_jobs(sv, seen_at, crashed_at);
	bool is_together = fell_silent_together(b, sv, crashed_at);
	bool is_clear = suspects == 1 && !is_together && !has_crashed_before(b, sv, crashed_at);

	memset(points, 0, sv->tasks->len * sizeof(*points));
	if (sv->drain_deadline)
		return;
	remember(b, sv, crashed_at, true);
	for (guint i = 0; i < sv->tasks->len; i++) {
		const struct work_task *t = g_ptr_array_index(sv->tasks, i);

		if (!may_have_run(t, crashed_at))
			continue;
		if (is_new(t, seen_at, crashed_at) && !t->has_run_well)
			points[i] = is_clear && work_task_has_run(t) ? BLAME_CLEAR : BLAME_UNCLEAR;
		else if (t->state == TASK_UNCONFIRMED || (!suspects && !is_together))
			points[i] = BLAME_UNCLEAR;
	}
}
