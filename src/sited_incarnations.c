/*
 * Incarnations of backend servers that have ended: their tasks are released, or followed to the
 * next incarnation, and the crash is blamed on tasks that may have caused it.
 */
#include "sited_lead.h"

/* "silent_ms": since the first poll without an answer; 0 when all were answered */
static void log_server_lost(const struct fleet_server *sv, const char *why)
{
	const struct server_io *io = sv->user;
	int64_t silent_ms = io && io->missed_polls ? sited_now_ms() - io->missed_since : 0;

	log_event("server_lost", "{ss sI ss sb si sI}", "server", sv->id, "born",
		  (json_int_t)sv->born, "why", why, "draining", sv->drain_deadline != 0, "tasks",
		  (int)sv->tasks->len, "silent_ms", (json_int_t)silent_ms);
}

/**
 * struct suspects - tasks on a server that has crashed
 * @task: borrowed
 * @points: points of blame of each
 * @is_certain: whether each has certainly run there
 */
struct suspects {
	GPtrArray *task;
	unsigned int *points;
	bool *is_certain;
};

/* must be called before the tasks are released */
static struct suspects *suspects_new(struct lead *l, const struct fleet_server *sv)
{
	const struct server_io *io = sv->user;
	struct suspects *s = talloc_zero(l, struct suspects);

	s->task = g_ptr_array_copy(sv->tasks, NULL, NULL);
	s->points = talloc_zero_array(s, unsigned int, s->task->len + 1);
	s->is_certain = talloc_zero_array(s, bool, s->task->len + 1);
	for (guint i = 0; i < s->task->len; i++) {
		const struct work_task *t = g_ptr_array_index(s->task, i);

		s->is_certain[i] = work_task_has_run(t);
	}
	if (s->task->len)
		blame_crash(l->blame, sv, io ? io->answered_at : 0,
			    io && io->missed_polls ? io->missed_since : sited_now_ms(), s->points);
	return s;
}

/* gives the points, once the tasks have been released, and frees @s */
static void suspects_blame(struct lead *l, struct suspects *s, const struct fleet_server *sv)
{
	for (guint i = 0; i < s->task->len; i++)
		lead_task_crashed(l, g_ptr_array_index(s->task, i), sv, s->points[i],
				  s->is_certain[i]);
	g_ptr_array_free(s->task, TRUE);
	talloc_free(s);
}

void lead_server_lost(struct lead *l, struct fleet_server *sv, const char *why)
{
	struct suspects *suspects = suspects_new(l, sv);

	log_server_lost(sv, why);
	fleet_replace(l->fleet, sv);
	while (sv->tasks->len)
		lead_task_release(l, g_ptr_array_index(sv->tasks, 0), why);
	suspects_blame(l, suspects, sv);
	lead_request_round(l);
}

/*
 * Answers to starts and stops do not name the incarnation that answers, and all incarnations have
 * the same id. So only a list of runs shows which of them has carried out a start. One that was
 * sent again after a call without an answer may be carried out by both.
 */
static bool may_be_in_next_incarnation(const struct work_task *t)
{
	switch (t->state) {
	case TASK_STARTING:
	case TASK_RUNNING:
	case TASK_STOPPING:
	case TASK_UNCONFIRMED:
		return !t->last_poll || t->unanswered_starts || t->was_sent_to_former;
	case TASK_ENDING: /* it is done: stopped as an orphan if the next incarnation lists it */
	case TASK_WAITING:
	case TASK_AWAITING_PREEMPTION:
	case TASK_ASSIGNED:
	case TASK_DONE:
		break;
	}
	return false;
}

/*
 * The first list of the next incarnation names the task if it runs there. After that list the
 * incarnation rejects starts that were meant for the former one, see lead_fence().
 */
static void follow_to_next_incarnation(struct lead *l, struct work_task *t, struct fleet_server *sv,
				       unsigned int crash_points)
{
	work_task_change_incarnation(t, sv);
	t->crash_points_unless_listed = crash_points;
	t->progress_at = sited_now_ms();
	if (t->started_at)
		t->started_at = t->progress_at;
	log_event("task_followed", "{ss si si si sI ss ss sI}", "id", t->group->job->id,
		  "occurrence", (int)t->group->occurrence, "step", (int)t->group->step_index,
		  "task", (int)t->index, "attempt", (json_int_t)t->attempt, "state",
		  work_task_state_name(t->state), "server", sv->id, "born", (json_int_t)sv->born);
	/* the stop may have been answered by the incarnation that has ended */
	if (t->state == TASK_STOPPING) {
		t->state = TASK_STARTING;
		lead_task_stop(l, t, "its server was started again");
	}
}

void lead_server_replaced(struct lead *l, struct fleet_server *old, struct fleet_server *sv)
{
	struct suspects *suspects = suspects_new(l, old);
	GPtrArray *tasks = suspects->task;

	log_server_lost(old, "it was started again");
	fleet_replace(l->fleet, old);
	lead_server_io(l, sv)->former_over_at =
		lead_server_grants_over_at(l, lead_server_io(l, old));
	for (guint i = 0; i < tasks->len; i++) {
		struct work_task *t = g_ptr_array_index(tasks, i);

		if (t->server != old)
			continue;
		if (may_be_in_next_incarnation(t)) {
			follow_to_next_incarnation(l, t, sv, suspects->points[i]);
			suspects->points[i] = 0;
		} else {
			lead_task_release(l, t, "its server was started again");
		}
	}
	suspects_blame(l, suspects, old);
	lead_server_poll(l, sv);
	lead_request_round(l);
}
