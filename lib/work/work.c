#include "work.h"

#include <string.h>

const char *work_state_name(enum work_state state)
{
	static const char *const names[] = {
#define X(id, name) name,
		WORK_STATES(X)
#undef X
	};

	return names[state];
}

enum work_state work_state_parse(const char *name)
{
	for (int i = 0; i < WORK_STATE_COUNT; i++)
		if (!strcmp(name, work_state_name((enum work_state)i)))
			return (enum work_state)i;
	return WORK_STATE_COUNT;
}

const char *work_task_state_name(enum work_task_state state)
{
	static const char *const names[] = {
#define X(id, name) name,
		WORK_TASK_STATES(X)
#undef X
	};

	return names[state];
}

bool work_id_is_valid(struct str id)
{
	if (id.len != WORK_ID_LEN)
		return false;
	for (size_t i = 0; i < id.len; i++)
		if (!g_ascii_isxdigit(id.ptr[i]))
			return false;
	return true;
}

/* ---- jobs ---- */

static int job_destructor(struct work_job *job)
{
	g_ptr_array_free(job->groups, TRUE);
	return 0;
}

struct work_job *work_job_new(TALLOC_CTX *ctx, struct str id, unsigned int step_count)
{
	struct work_job *job = talloc_zero(ctx, struct work_job);

	memcpy(job->id, id.ptr, MIN(id.len, WORK_ID_LEN));
	job->groups = g_ptr_array_new();
	job->step_count = step_count;
	job->step = talloc_zero_array(job, struct work_step, step_count);
	job->attempts = 1;
	job->stretch = 1;
	job->run_ratio = 1;
	talloc_set_destructor(job, job_destructor);
	return job;
}

struct work_job *work_job_new_unsubmitted(TALLOC_CTX *ctx, struct str id, const char *workspace,
					  int64_t wall_ms)
{
	struct work_job *job = work_job_new(ctx, id, 1);

	/* each row of a job has a step, also for VMs of earlier versions */
	job->step[0].count = 1;
	job->queue = talloc_strdup(job, "");
	job->service = talloc_strdup(job, "");
	job->workspace = talloc_strdup(job, workspace);
	job->payload = talloc_strdup(job, "");
	job->state = WORK_CANCELLED;
	job->accepted_ms = wall_ms;
	job->ended_ms = wall_ms;
	job->is_unsubmitted = true;
	return job;
}

static const char *check_step(const struct work_job *job, unsigned int index)
{
	const struct work_step *s = &job->step[index];

	if (!s->count || s->count > WORK_TASKS_MAX)
		return "the number of tasks of a step is out of range";
	if (s->need.cpu < 0 || s->need.memory_mb < 0 || s->need.accelerators < 0)
		return "a step needs less than nothing";
	for (unsigned int i = 0; i < s->after_count; i++)
		if (s->after[i] >= index)
			return "a step comes after one that isn't before it";
	return NULL;
}

static uint64_t workload_of(const struct work_job *job, const struct work_step *s)
{
	struct str queue = str_from(job->queue);
	struct str image = str_from(s->image);

	return base_hash(image.ptr, image.len, base_hash(queue.ptr, queue.len, 0));
}

const char *work_job_finalize(struct work_job *job)
{
	if (!job->step_count || job->step_count > WORK_STEPS_MAX)
		return "the number of steps is out of range";
	if (job->times < 0 || job->times > WORK_OCCURRENCES_MAX || job->every_ms < 0)
		return "the number of occurrences is out of range";
	for (unsigned int i = 0; i < job->step_count; i++) {
		const char *error = check_step(job, i);

		if (error)
			return error;
		job->step[i].critical_path_ms = job->step[i].estimate_ms;
		job->step[i].workload = workload_of(job, &job->step[i]);
	}
	/* a step depends only on earlier ones: the reverse order visits successors first */
	for (unsigned int i = job->step_count; i-- > 0;) {
		const struct work_step *s = &job->step[i];

		for (unsigned int a = 0; a < s->after_count; a++) {
			struct work_step *predecessor = &job->step[s->after[a]];

			predecessor->critical_path_ms =
				MAX(predecessor->critical_path_ms,
				    predecessor->estimate_ms + s->critical_path_ms);
		}
	}
	return NULL;
}

bool work_job_has_ended(const struct work_job *job)
{
	return job->state >= WORK_COMPLETE;
}

static void start_occurrence(struct work_job *job)
{
	for (unsigned int i = 0; i < job->step_count; i++) {
		struct work_group *g = talloc_zero(job, struct work_group);

		g->job = job;
		g->step = &job->step[i];
		g->step_index = i;
		g->occurrence = job->occurrences;
		g->count = job->step[i].count;
		g->task = talloc_zero_array(g, struct work_task, g->count);
		g->row_count = work_step_row_count(g->step);
		g->row = talloc_zero_array(g, struct work_row, g->row_count);
		for (unsigned int k = 0; k < g->count; k++) {
			g->task[k].group = g;
			g->task[k].index = k;
		}
		g_ptr_array_add(job->groups, g);
	}
	job->occurrences++;
}

int64_t work_due_ms(const struct work_job *job, unsigned int occurrence)
{
	if (!job->times)
		return job->accepted_ms;
	return job->first_ms + (int64_t)occurrence * job->every_ms;
}

int64_t work_job_next_due(const struct work_job *job)
{
	if (work_job_has_ended(job) || job->occurrences >= MAX(job->times, 1))
		return 0;
	return job->times ? work_due_ms(job, job->occurrences) : 1;
}

bool work_job_start_due(struct work_job *job, int64_t wall_ms)
{
	bool started = false;
	int64_t due;

	while ((due = work_job_next_due(job)) && due <= wall_ms) {
		start_occurrence(job);
		started = true;
	}
	return started;
}

void work_job_start_through(struct work_job *job, unsigned int occurrence)
{
	while (job->occurrences <= occurrence && job->occurrences < MAX(job->times, 1))
		start_occurrence(job);
}

bool work_job_all_tasks_done(const struct work_job *job)
{
	if (job->occurrences < MAX(job->times, 1))
		return false;
	for (guint i = 0; i < job->groups->len; i++) {
		const struct work_group *g = g_ptr_array_index(job->groups, i);

		if (g->done < g->count)
			return false;
	}
	return true;
}

void work_job_set_state(struct work_job *job, enum work_state state, int64_t wall_ms)
{
	if (job->state == state || work_job_has_ended(job))
		return;
	job->state = state;
	if (work_job_has_ended(job))
		job->ended_ms = wall_ms;
	job->row.changes++;
}

struct work_group *work_job_group(const struct work_job *job, unsigned int occurrence,
				  unsigned int step)
{
	if (occurrence >= job->occurrences || step >= job->step_count)
		return NULL;
	return g_ptr_array_index(job->groups, occurrence * job->step_count + step);
}

int64_t work_objective_ms(const struct work_job *job)
{
	int64_t chain = 0;

	for (unsigned int i = 0; i < job->step_count; i++)
		chain = MAX(chain, job->step[i].critical_path_ms);
	return (int64_t)(job->stretch * (double)chain) + job->slo_ms;
}

/* ---- groups ---- */

static void mark_row_changed(struct work_group *group, unsigned int index)
{
	group->row[index].changes = ++group->changes;
}

static void mark_task_changed(struct work_task *t)
{
	mark_row_changed(t->group, t->index / WORK_ROW_TASKS);
}

unsigned int work_group_waiting_count(const struct work_group *group)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < group->count; i++)
		n += group->task[i].state == TASK_WAITING;
	return n;
}

void work_group_count(const struct work_group *group, unsigned int *waiting, unsigned int *held)
{
	unsigned int done = 0;

	*waiting = 0;
	for (unsigned int i = 0; i < group->count; i++) {
		*waiting += group->task[i].state == TASK_WAITING;
		done += group->task[i].state == TASK_DONE || group->task[i].state == TASK_ENDING;
	}
	*held = group->count - *waiting - done;
}

bool work_group_partly_awaits_preemption(const struct work_group *group)
{
	unsigned int awaiting = 0;

	for (unsigned int i = 0; i < group->count; i++)
		awaiting += group->task[i].state == TASK_AWAITING_PREEMPTION;
	return group->step->is_gang && awaiting && awaiting < group->count;
}

bool work_group_is_unblocked(const struct work_group *group)
{
	const struct work_step *s = group->step;

	if (work_job_has_ended(group->job))
		return false;
	for (unsigned int i = 0; i < s->after_count; i++) {
		const struct work_group *predecessor =
			work_job_group(group->job, group->occurrence, s->after[i]);

		if (predecessor->done < predecessor->count)
			return false;
	}
	return true;
}

bool work_group_is_ready(const struct work_group *group)
{
	unsigned int waiting = work_group_waiting_count(group);

	if (!waiting || (group->step->is_gang && waiting < group->count))
		return false;
	return work_group_is_unblocked(group);
}

/* ---- tasks ---- */

bool work_task_is_placed(const struct work_task *t)
{
	switch (t->state) {
	case TASK_ASSIGNED:
	case TASK_STARTING:
	case TASK_RUNNING:
	case TASK_STOPPING:
	case TASK_UNCONFIRMED:
	case TASK_ENDING:
		return true;
	case TASK_WAITING:
	case TASK_AWAITING_PREEMPTION:
	case TASK_DONE:
		break;
	}
	return false;
}

static void detach_from_server(struct work_task *t)
{
	if (!t->server)
		return;
	fleet_resources_add(t->state == TASK_AWAITING_PREEMPTION ? &t->server->awaiting_preemption
								 : &t->server->used,
			    &t->group->step->need, -1);
	g_ptr_array_remove_fast(t->server->tasks, t);
	t->server = NULL;
	t->was_sent_to_former = false;
}

static void attach_to_server(struct work_task *t, struct fleet_server *sv,
			     enum work_task_state state)
{
	t->server = sv;
	t->state = state;
	fleet_resources_add(state == TASK_AWAITING_PREEMPTION ? &sv->awaiting_preemption
							      : &sv->used,
			    &t->group->step->need, 1);
	g_ptr_array_add(sv->tasks, t);
}

void work_task_await_preemption(struct work_task *t, struct fleet_server *sv)
{
	detach_from_server(t);
	attach_to_server(t, sv, TASK_AWAITING_PREEMPTION);
}

static void assign_attempt(struct work_task *t, struct fleet_server *sv, uint32_t attempt)
{
	detach_from_server(t);
	attach_to_server(t, sv, TASK_ASSIGNED);
	t->attempt = attempt;
	t->unanswered_starts = 0;
	t->started_at = 0;
	t->stopped_at = 0;
	t->state_deadline = 0;
	t->crash_points_unless_listed = 0;
	t->awaits_list = false;
	t->is_resumed = t->snapshot != NULL;
	t->speed_sample = 0;
	t->last_poll = 0;
	t->percent = 0;
	t->first_percent = -1;
	mark_task_changed(t);
	t->assigned_change = t->group->changes;
}

void work_task_assign(struct work_task *t, struct fleet_server *sv)
{
	assign_attempt(t, sv, t->attempt + 1);
}

void work_task_assign_gang(struct work_group *group, struct fleet_server *const *servers)
{
	uint32_t attempt = 0;
	struct str snapshot = {NULL, 0};

	for (unsigned int i = 0; i < group->count; i++) {
		attempt = MAX(attempt, group->task[i].attempt);
		if (group->task[i].snapshot)
			snapshot = str_from(group->task[i].snapshot);
	}
	for (unsigned int i = 0; i < group->count; i++) {
		work_task_set_snapshot(&group->task[i], snapshot);
		assign_attempt(&group->task[i], servers[i], attempt + 1);
	}
}

void work_task_change_incarnation(struct work_task *t, struct fleet_server *sv)
{
	enum work_task_state state = t->state;

	detach_from_server(t);
	attach_to_server(t, sv, state);
	t->was_sent_to_former = true;
	t->speed_sample = 0;
	t->last_poll = 0;
	t->percent = 0;
	t->first_percent = -1;
	mark_task_changed(t);
}

void work_task_release(struct work_task *t)
{
	detach_from_server(t);
	t->state = TASK_WAITING;
	mark_task_changed(t);
}

void work_task_finish(struct work_task *t)
{
	if (t->state == TASK_DONE)
		return;
	detach_from_server(t);
	if (t->state != TASK_ENDING) {
		t->group->done++;
		mark_task_changed(t);
	}
	t->state = TASK_DONE;
	TALLOC_FREE(t->snapshot);
}

void work_task_set_ending(struct work_task *t)
{
	if (!work_task_is_placed(t) || t->state == TASK_ASSIGNED) {
		work_task_finish(t);
		return;
	}
	if (t->state == TASK_ENDING)
		return;
	if (t->state == TASK_UNCONFIRMED)
		t->started_at = 1; /* started by an earlier leader; a poll confirms its end */
	t->state = TASK_ENDING;
	t->group->done++;
	mark_task_changed(t);
}

bool work_task_record_failure(struct work_task *t)
{
	struct work_group *g = t->group;

	mark_task_changed(t);
	TALLOC_FREE(t->failed_server_id);
	if (t->server)
		t->failed_server_id = talloc_strdup(g, t->server->id);
	if (!g->step->is_gang)
		return ++t->failures >= g->job->attempts && !g->step->is_endless;
	/* an attempt of a gang counts as one failure, however many members report it */
	if (g->failed_attempt == t->attempt)
		return false;
	g->failed_attempt = t->attempt;
	for (unsigned int i = 0; i < g->count; i++)
		g->task[i].failures++;
	for (unsigned int i = 0; i < g->row_count; i++)
		mark_row_changed(g, i);
	return t->failures >= g->job->attempts && !g->step->is_endless;
}

bool work_task_has_run(const struct work_task *t)
{
	if (t->state == TASK_UNCONFIRMED)
		return false;
	return t->state == TASK_RUNNING || t->last_poll || t->started_at ||
	       (t->unanswered_starts && t->was_up_at_start);
}

bool work_task_is_given_up(const struct work_task *t)
{
	return t->crash_points >= WORK_CRASH_POINTS_MAX && t->crashes >= WORK_CRASHES_MIN &&
	       !t->group->step->is_endless;
}

bool work_task_record_crash(struct work_task *t, unsigned int points, bool is_certain)
{
	if (!points || t->crash_attempt >= t->attempt)
		return false;
	t->crash_points += points;
	t->crashes += is_certain;
	t->crash_attempt = t->attempt;
	mark_task_changed(t);
	return work_task_is_given_up(t);
}

void work_task_set_snapshot(struct work_task *t, struct str snapshot)
{
	if (!snapshot.len || (t->snapshot && str_eq(str_from(t->snapshot), snapshot)))
		return;
	if (t->snapshot && snapshot.ptr == t->snapshot)
		return;
	talloc_free(t->snapshot);
	t->snapshot = str_dup(t->group, snapshot);
}

/* ---- rows ---- */

static json_t *encode_step(const struct work_step *s)
{
	json_t *after = json_array();
	json_t *v;

	for (unsigned int i = 0; i < s->after_count; i++)
		json_array_append_new(after, json_integer(s->after[i]));
	v = json_pack("{sI sI sI sI sI so sb sb sb sb sb sI}", "count", (json_int_t)s->count, "cpu",
		      (json_int_t)s->need.cpu, "memory_mb", (json_int_t)s->need.memory_mb,
		      "accelerators", (json_int_t)s->need.accelerators, "estimate_ms",
		      (json_int_t)s->estimate_ms, "after", after, "gang", s->is_gang, "same_rack",
		      s->same_rack, "checkpoints", s->checkpoints, "speculative", s->is_speculative,
		      "endless", s->is_endless, "per_server_max", (json_int_t)s->per_server_max);
	if (s->label)
		json_object_set_new(v, "label", json_string(s->label));
	if (s->data_rack)
		json_object_set_new(v, "data_rack", json_string(s->data_rack));
	if (s->image)
		json_object_set_new(v, "image", json_string(s->image));
	return v;
}

char *work_job_encode(TALLOC_CTX *ctx, const struct work_job *job)
{
	json_t *steps = json_array();
	json_t *v;
	char *text;

	for (unsigned int i = 0; i < job->step_count; i++)
		json_array_append_new(steps, encode_step(&job->step[i]));
	v = json_pack("{ss ss ss ss sI sI sf sI sI so sI sI sI ss sI}", "queue", job->queue,
		      "service", job->service, "workspace", job->workspace, "payload",
		      work_job_has_ended(job) ? "" : job->payload, /* no task starts again */
		      "priority", (json_int_t)job->priority, "attempts", (json_int_t)job->attempts,
		      "stretch", job->stretch, "slo_ms", (json_int_t)job->slo_ms, "accepted_ms",
		      (json_int_t)job->accepted_ms, "steps", steps, "times", (json_int_t)job->times,
		      "first_ms", (json_int_t)job->first_ms, "every_ms", (json_int_t)job->every_ms,
		      "state", work_state_name(job->state), "ended_ms", (json_int_t)job->ended_ms);
	if (job->is_unsubmitted)
		json_object_set_new(v, "unsubmitted", json_true());
	text = base_json_text(ctx, v);
	json_decref(v);
	return text;
}

static void decode_step(TALLOC_CTX *ctx, const json_t *v, struct work_step *s)
{
	const json_t *after = json_object_get(v, "after");
	const char *label = base_json_str(v, "label", NULL);
	const char *rack = base_json_str(v, "data_rack", NULL);
	const char *image = base_json_str(v, "image", NULL);

	s->count = (unsigned int)base_json_int(v, "count", 0);
	s->need.cpu = base_json_int(v, "cpu", 0);
	s->need.memory_mb = base_json_int(v, "memory_mb", 0);
	s->need.accelerators = base_json_int(v, "accelerators", 0);
	s->estimate_ms = base_json_int(v, "estimate_ms", 0);
	s->after_count = (unsigned int)json_array_size(after);
	s->after = talloc_array(ctx, unsigned int, s->after_count);
	for (unsigned int i = 0; i < s->after_count; i++)
		s->after[i] = (unsigned int)json_integer_value(json_array_get(after, i));
	s->is_gang = base_json_bool(v, "gang", false);
	s->same_rack = base_json_bool(v, "same_rack", false);
	s->checkpoints = base_json_bool(v, "checkpoints", false);
	s->is_speculative = base_json_bool(v, "speculative", false);
	s->is_endless = base_json_bool(v, "endless", false);
	s->per_server_max = (unsigned int)base_json_int(v, "per_server_max", 0);
	s->label = label ? talloc_strdup(ctx, label) : NULL;
	s->data_rack = rack ? talloc_strdup(ctx, rack) : NULL;
	s->image = image ? talloc_strdup(ctx, image) : NULL;
}

struct work_job *work_job_decode(TALLOC_CTX *ctx, struct str id, struct str value)
{
	json_t *v = json_loadb(value.ptr, value.len, 0, NULL);
	const json_t *steps = json_object_get(v, "steps");
	enum work_state state = work_state_parse(base_json_str(v, "state", ""));
	struct work_job *job = NULL;

	if (!work_id_is_valid(id) || !json_is_array(steps) || state == WORK_STATE_COUNT)
		goto out;
	job = work_job_new(ctx, id, (unsigned int)json_array_size(steps));
	job->queue = talloc_strdup(job, base_json_str(v, "queue", ""));
	job->service = talloc_strdup(job, base_json_str(v, "service", ""));
	job->workspace = talloc_strdup(job, base_json_str(v, "workspace", ""));
	job->payload = talloc_strdup(job, base_json_str(v, "payload", ""));
	job->priority = base_json_int(v, "priority", 1);
	job->attempts = base_json_int(v, "attempts", 1);
	job->stretch = base_json_number(v, "stretch", 0);
	job->slo_ms = base_json_int(v, "slo_ms", 0);
	job->accepted_ms = base_json_int(v, "accepted_ms", 0);
	job->times = base_json_int(v, "times", 0);
	job->first_ms = base_json_int(v, "first_ms", 0);
	job->every_ms = base_json_int(v, "every_ms", 0);
	job->state = state;
	job->ended_ms = base_json_int(v, "ended_ms", 0);
	job->is_unsubmitted = base_json_bool(v, "unsubmitted", false);
	for (unsigned int i = 0; i < job->step_count; i++)
		decode_step(job, json_array_get(steps, i), &job->step[i]);
	if (work_job_finalize(job))
		TALLOC_FREE(job);
out:
	json_decref(v);
	return job;
}

unsigned int work_step_row_count(const struct work_step *step)
{
	return (step->count + WORK_ROW_TASKS - 1) / WORK_ROW_TASKS;
}

int64_t work_job_group_row_bytes(const struct work_job *job)
{
	unsigned int widest = 0;

	for (unsigned int i = 0; i < job->step_count; i++)
		widest = MAX(widest, MIN(job->step[i].count, WORK_ROW_TASKS));
	return WORK_ROW_HEAD_BYTES_MAX + (int64_t)widest * WORK_ROW_TASK_BYTES_MAX;
}

char *work_group_key(TALLOC_CTX *ctx, const struct work_job *job, unsigned int occurrence,
		     unsigned int step, unsigned int index)
{
	char *key = talloc_asprintf(ctx, "%s.%u.%u", job->id, occurrence, step);

	return index ? talloc_asprintf_append_buffer(key, ".%u", index) : key;
}

bool work_group_key_parse(const char *key, struct work_group_name *name)
{
	struct str head = {key, WORK_ID_LEN};

	memset(name, 0, sizeof(*name));
	if (strlen(key) <= WORK_ID_LEN || !work_id_is_valid(head))
		return false;
	if (sscanf(key + WORK_ID_LEN, ".%u.%u.%u", &name->occurrence, &name->step, &name->row) < 2)
		return false;
	memcpy(name->id, key, WORK_ID_LEN);
	return true;
}

bool work_group_has_changes(const struct work_group *group)
{
	for (unsigned int i = 0; i < group->row_count; i++)
		if (group->row[i].changes > group->row[i].stored)
			return true;
	return false;
}

bool work_group_is_stored(const struct work_group *group, uint64_t changes)
{
	for (unsigned int i = 0; i < group->row_count; i++)
		if (group->row[i].stored < MIN(changes, group->row[i].changes))
			return false;
	return true;
}

/* index of the server in @list, appended when missing; -1 for no server */
static json_int_t server_index(json_t *list, const struct fleet_server *sv)
{
	json_t *entry;
	size_t i;

	if (!sv)
		return -1;
	json_array_foreach(list, i, entry)
		if (!strcmp(json_string_value(json_array_get(entry, 0)), sv->id) &&
		    json_integer_value(json_array_get(entry, 1)) == sv->born)
			return (json_int_t)i;
	json_array_append_new(list, json_pack("[sIs]", sv->id, (json_int_t)sv->born, sv->address));
	return (json_int_t)json_array_size(list) - 1;
}

/* state of a task in a row */
struct row_entry {
	uint32_t attempt;
	uint32_t failures;
	unsigned int crash_points;
	unsigned int crashes;
	bool is_done;
	const struct fleet_server *server;
	const char *snapshot;
};

static struct row_entry task_entry(const struct work_task *t, bool with_snapshot)
{
	bool is_done = t->state == TASK_DONE || t->state == TASK_ENDING;

	if (is_done)
		return (struct row_entry){.is_done = true, .snapshot = ""};
	return (struct row_entry){t->attempt,
				  t->failures,
				  t->crash_points,
				  t->crashes,
				  false,
				  work_task_is_placed(t) ? t->server : NULL,
				  t->snapshot && with_snapshot ? t->snapshot : ""};
}

static bool is_same_entry(const struct row_entry *a, const struct row_entry *b)
{
	return a->attempt == b->attempt && a->failures == b->failures &&
	       a->crash_points == b->crash_points && a->crashes == b->crashes &&
	       a->is_done == b->is_done && a->server == b->server &&
	       !strcmp(a->snapshot, b->snapshot);
}

/*
 * Load pattern: steps have hundreds of tasks, most of them waiting or done, and
 * their row is written each time that some tasks start or end. Consecutive tasks
 * in the same state share one entry, which keeps the row short.
 */
char *work_group_encode(TALLOC_CTX *ctx, const struct work_group *group, unsigned int index,
			bool with_snapshots)
{
	unsigned int end = MIN((index + 1) * WORK_ROW_TASKS, group->count);
	json_t *servers = json_array();
	json_t *tasks = json_array();
	json_t *v;
	char *text;

	for (unsigned int i = index * WORK_ROW_TASKS; i < end;) {
		struct row_entry first = task_entry(&group->task[i], with_snapshots);
		unsigned int n = 0;
		struct row_entry e = first;

		while (is_same_entry(&e, &first) && i + ++n < end)
			e = task_entry(&group->task[i + n], with_snapshots);
		json_array_append_new(
			tasks,
			json_pack("[IIIIIsII]", (json_int_t)n, (json_int_t)first.attempt,
				  (json_int_t)first.failures, (json_int_t)first.is_done,
				  server_index(servers, first.server), first.snapshot,
				  (json_int_t)first.crash_points, (json_int_t)first.crashes));
		i += n;
	}
	v = json_pack("{sososI}", "servers", servers, "tasks", tasks, "failed_attempt",
		      (json_int_t)group->failed_attempt);
	text = base_json_text(ctx, v);
	json_decref(v);
	return text;
}

/* An incarnation that has been replaced is polled no more. */
static void move_unconfirmed(const struct fleet_server *old, struct fleet_server *sv)
{
	GPtrArray *tasks = g_ptr_array_copy(old->tasks, NULL, NULL);

	for (guint i = 0; i < tasks->len; i++) {
		struct work_task *t = g_ptr_array_index(tasks, i);

		if (t->state != TASK_UNCONFIRMED)
			continue;
		work_task_change_incarnation(t, sv);
		t->crash_points_unless_listed = WORK_CRASH_UNSEEN_POINTS;
	}
	g_ptr_array_free(tasks, TRUE);
}

/* Returns the newest incarnation of the server that @entry names, NULL when it names none. */
static struct fleet_server *decode_server(struct fleet *fleet, const json_t *entry,
					  bool *is_replaced)
{
	const char *id = json_string_value(json_array_get(entry, 0));
	const char *address = json_string_value(json_array_get(entry, 2));
	int64_t born = json_integer_value(json_array_get(entry, 1));
	struct fleet_server *known = id ? fleet_find(fleet, id) : NULL;
	struct fleet_server *sv;

	if (!id)
		return NULL;
	*is_replaced = known && known->born > born;
	if (known && known->born >= born)
		return known;
	sv = fleet_add(fleet, id, born);
	sv->address = talloc_strdup(sv, address ? address : "");
	if (known)
		move_unconfirmed(known, sv);
	return sv;
}

static void merge_task(struct work_task *t, const json_t *row, const json_t *servers,
		       struct fleet *fleet, int64_t state_deadline)
{
	uint32_t attempt = (uint32_t)json_integer_value(json_array_get(row, 1));
	uint32_t failures = (uint32_t)json_integer_value(json_array_get(row, 2));
	json_int_t server_at = json_integer_value(json_array_get(row, 4));
	/* missing in rows of earlier versions */
	unsigned int crash_points = (unsigned int)json_integer_value(json_array_get(row, 6));
	unsigned int crashes = (unsigned int)json_integer_value(json_array_get(row, 7));
	struct fleet_server *sv = NULL;
	bool is_replaced = false;

	t->failures = MAX(t->failures, failures);
	t->crash_points = MAX(t->crash_points, crash_points);
	t->crashes = MAX(t->crashes, crashes);
	if (json_integer_value(json_array_get(row, 3))) {
		work_task_set_ending(t);
		return;
	}
	if (attempt < t->attempt)
		return;
	/* an attempt in another row, which was stored before this one, has ended */
	if (attempt > t->attempt && t->state == TASK_UNCONFIRMED)
		work_task_release(t);
	t->attempt = attempt;
	work_task_set_snapshot(t, str_from(json_string_value(json_array_get(row, 5))));
	if (server_at >= 0)
		sv = decode_server(fleet, json_array_get(servers, (size_t)server_at), &is_replaced);
	if (sv && t->state == TASK_WAITING) {
		attach_to_server(t, sv, TASK_UNCONFIRMED);
		t->crash_points_unless_listed = is_replaced ? WORK_CRASH_UNSEEN_POINTS : 0;
		t->state_deadline = state_deadline;
		t->last_poll = 0;
		t->first_percent = -1;
	}
}

/* number of tasks in a row; 0 when the row is invalid */
static uint64_t count_tasks(const json_t *tasks)
{
	uint64_t sum = 0;
	const json_t *row;
	size_t i;

	json_array_foreach(tasks, i, row) {
		json_int_t n = json_integer_value(json_array_get(row, 0));

		if (n < 1 || n > WORK_TASKS_MAX)
			return 0;
		sum += (uint64_t)n;
	}
	return sum;
}

bool work_group_merge(struct work_group *group, unsigned int index, struct str value,
		      struct fleet *fleet, int64_t state_deadline)
{
	unsigned int i = index * WORK_ROW_TASKS;
	unsigned int end = MIN(i + WORK_ROW_TASKS, group->count);
	json_t *v = json_loadb(value.ptr, value.len, 0, NULL);
	const json_t *servers = json_object_get(v, "servers");
	const json_t *tasks = json_object_get(v, "tasks");
	uint64_t sum = count_tasks(tasks);
	bool holds_all = !index && sum == group->count;
	bool ok =
		json_is_array(servers) && index < group->row_count && (holds_all || sum == end - i);
	const json_t *row;
	size_t k;

	json_array_foreach(tasks, k, row) {
		json_int_t n = ok ? json_integer_value(json_array_get(row, 0)) : 0;

		while (n-- > 0)
			merge_task(&group->task[i++], row, servers, fleet, state_deadline);
	}
	if (ok)
		group->failed_attempt =
			MAX(group->failed_attempt, (uint32_t)base_json_int(v, "failed_attempt", 0));
	for (unsigned int r = 1; ok && holds_all && r < group->row_count; r++)
		mark_row_changed(group, r);
	json_decref(v);
	return ok;
}
