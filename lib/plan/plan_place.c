/*
 * Where a task runs.
 *
 * Load pattern: tasks of one accelerator and tasks of a whole server come
 * mixed, and gangs want one rack. Best fit on accelerators keeps whole servers
 * free; a gang takes the rack that it fills most tightly, so that the others
 * stay whole. Work near its data waits a while for a near server, because it
 * runs several times as long elsewhere.
 */
#include "plan_scratch.h"

#include <string.h>

/* share of its run time that a task waits for a server near its data, in percent */
#define DATA_PATIENCE_PERCENT 100

struct plan_scratch *plan_scratch_new(TALLOC_CTX *ctx)
{
	return talloc_zero(ctx, struct plan_scratch);
}

static unsigned int rack_index(struct plan_scratch *s, const char *name)
{
	unsigned int i = plan_rack_of(s, name);

	if (i != PLAN_ANY_RACK)
		return i;
	if (s->racks == s->rack_size) {
		s->rack_size = s->rack_size ? s->rack_size * 2 : 16;
		s->rack_name = talloc_realloc(s, s->rack_name, const char *, s->rack_size);
	}
	s->rack_name[s->racks] = name;
	return s->racks++;
}

unsigned int plan_rack_of(const struct plan_scratch *s, const char *name)
{
	for (unsigned int i = 0; i < s->racks; i++)
		if (!strcmp(s->rack_name[i], name))
			return i;
	return PLAN_ANY_RACK;
}

static unsigned int mates_on(const struct fleet_server *sv, const struct work_group *group)
{
	unsigned int n = 0;

	for (guint i = 0; i < sv->tasks->len; i++) {
		const struct work_task *t = g_ptr_array_index(sv->tasks, i);

		n += t->group == group;
	}
	return n;
}

static bool suits(const struct fleet_server *sv, const struct work_group *group)
{
	return !strcmp(sv->service, group->job->service) &&
	       (!group->step->label || fleet_has_label(sv, group->step->label));
}

void plan_collect(struct plan_scratch *s, const struct fleet *fleet, const struct work_group *group,
		  int64_t now, bool stopping_is_free)
{
	s->count = 0;
	s->racks = 0;
	if (s->size < fleet->all->len) {
		s->size = fleet->all->len + 16;
		s->tries = talloc_realloc(s, s->tries, struct plan_try, s->size);
		s->saved = talloc_realloc(s, s->saved, struct plan_try, s->size);
	}
	for (guint i = 0; i < fleet->all->len; i++) {
		struct fleet_server *sv = g_ptr_array_index(fleet->all, i);
		struct plan_try *t = &s->tries[s->count];

		if (!fleet_takes_work(sv, now) || !suits(sv, group))
			continue;
		t->server = sv;
		t->room = fleet_room(sv);
		t->mates = group->step->per_server_max ? mates_on(sv, group) : 0;
		t->rack = rack_index(s, sv->rack);
		for (guint k = 0; stopping_is_free && k < sv->tasks->len; k++) {
			const struct work_task *other = g_ptr_array_index(sv->tasks, k);

			if (other->state == TASK_STOPPING)
				fleet_amount_add(&t->room, &other->group->step->need, 1);
		}
		s->count++;
	}
}

static bool has_place(const struct plan_try *t, const struct work_group *group)
{
	const struct work_step *step = group->step;

	return fleet_amount_fits(&step->need, &t->room) &&
	       (!step->per_server_max || t->mates < step->per_server_max);
}

/* lower is better: least left over, accelerators first; a server that failed the task comes last */
static int64_t leftover(const struct plan_try *t, const struct work_group *group,
			const struct work_task *task)
{
	const struct fleet_amount *need = &group->step->need;
	int64_t accelerators = t->room.accelerators - need->accelerators;
	int64_t cpu = t->room.cpu - need->cpu;
	int64_t score = accelerators * 1000000 + cpu;

	if (task->avoid && !strcmp(task->avoid, t->server->id))
		score += INT32_MAX;
	/* a failure there may have been the server's */
	return score + (int64_t)t->server->failures * 100000000;
}

struct plan_try *plan_pick(struct plan_scratch *s, const struct work_group *group,
			   const struct work_task *task, unsigned int rack)
{
	struct plan_try *best = NULL;
	int64_t best_score = 0;

	for (unsigned int i = 0; i < s->count; i++) {
		struct plan_try *t = &s->tries[i];
		int64_t score;

		if ((rack != PLAN_ANY_RACK && t->rack != rack) || !has_place(t, group))
			continue;
		score = leftover(t, group, task);
		if (!best || score < best_score) {
			best = t;
			best_score = score;
		}
	}
	return best;
}

void plan_take(struct plan_try *t, const struct work_group *group)
{
	fleet_amount_add(&t->room, &group->step->need, -1);
	t->mates++;
}

unsigned int plan_fill(struct plan_scratch *s, const struct work_group *group, unsigned int rack,
		       struct fleet_server **out)
{
	unsigned int placed = 0;

	for (unsigned int i = 0; i < group->count; i++) {
		struct plan_try *t;

		out[i] = NULL;
		if (group->task[i].state != TASK_WAITING)
			continue;
		t = plan_pick(s, group, &group->task[i], rack);
		if (!t) {
			if (group->step->is_gang)
				return 0;
			continue;
		}
		plan_take(t, group);
		out[i] = t->server;
		placed++;
	}
	return placed;
}

void plan_save(struct plan_scratch *s)
{
	if (s->count)
		memcpy(s->saved, s->tries, s->count * sizeof(*s->tries));
}

void plan_restore(struct plan_scratch *s)
{
	if (s->count)
		memcpy(s->tries, s->saved, s->count * sizeof(*s->tries));
}

/* ---- racks ---- */

/* rack where other tasks of the group already are, so that the rest joins them */
static unsigned int rack_in_use(const struct plan_scratch *s, const struct work_group *group)
{
	for (unsigned int i = 0; i < group->count; i++)
		if (group->task[i].server)
			return plan_rack_of(s, group->task[i].server->rack);
	return PLAN_ANY_RACK;
}

static int64_t rack_room(const struct plan_scratch *s, unsigned int rack)
{
	int64_t sum = 0;

	for (unsigned int i = 0; i < s->count; i++)
		if (s->tries[i].rack == rack)
			sum += s->tries[i].room.accelerators;
	return sum;
}

/* the rack with the least room that holds all waiting tasks */
static unsigned int tightest_rack(struct plan_scratch *s, const struct work_group *group,
				  struct fleet_server **out)
{
	unsigned int waiting = work_group_waiting(group);
	unsigned int best = PLAN_ANY_RACK;
	int64_t best_room = 0;

	plan_save(s);
	for (unsigned int rack = 0; rack < s->racks; rack++) {
		int64_t room = rack_room(s, rack);

		if (best != PLAN_ANY_RACK && room >= best_room)
			continue;
		if (plan_fill(s, group, rack, out) == waiting) {
			best = rack;
			best_room = room;
		}
		plan_restore(s);
	}
	return best;
}

static bool room_when_empty(const struct fleet *fleet, const struct work_group *group,
			    const char *rack)
{
	unsigned int places = 0;

	for (guint i = 0; i < fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(fleet->all, i);
		struct fleet_amount room = sv->capacity;
		unsigned int here = 0;

		if (sv->presence != FLEET_LISTED || strcmp(sv->rack, rack) || !suits(sv, group))
			continue;
		while (fleet_amount_fits(&group->step->need, &room) && here < group->count &&
		       (!group->step->per_server_max || here < group->step->per_server_max)) {
			fleet_amount_add(&room, &group->step->need, -1);
			here++;
		}
		places += here;
		if (places >= group->count)
			return true;
	}
	return false;
}

/* some rack could hold the whole group, were it empty */
static bool any_rack_could(const struct fleet *fleet, const struct work_group *group)
{
	const char *last = NULL;

	for (guint i = 0; i < fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(fleet->all, i);

		if (sv->presence != FLEET_LISTED || (last && !strcmp(last, sv->rack)))
			continue;
		last = sv->rack;
		if (room_when_empty(fleet, group, sv->rack))
			return true;
	}
	return false;
}

static unsigned int place_in_one_rack(struct plan_scratch *s, const struct fleet *fleet,
				      const struct work_group *group, struct fleet_server **out)
{
	unsigned int rack = rack_in_use(s, group);

	if (rack == PLAN_ANY_RACK)
		rack = tightest_rack(s, group, out);
	if (rack == PLAN_ANY_RACK && any_rack_could(fleet, group)) {
		memset(out, 0, group->count * sizeof(*out));
		return 0;
	}
	return plan_fill(s, group, rack, out);
}

static unsigned int place_near_data(struct plan_scratch *s, const struct work_group *group,
				    const struct plan_clock *at, struct fleet_server **out)
{
	unsigned int rack = plan_rack_of(s, group->step->data_rack);
	int64_t patience = group->step->estimate_ms * DATA_PATIENCE_PERCENT / 100;
	unsigned int placed = 0;

	if (rack != PLAN_ANY_RACK) {
		plan_save(s);
		placed = plan_fill(s, group, rack, out);
		if (placed || at->now < group->ready_since + patience)
			return placed;
		plan_restore(s);
	}
	return plan_fill(s, group, PLAN_ANY_RACK, out);
}

unsigned int plan_place(struct plan_scratch *s, const struct fleet *fleet,
			const struct work_group *group, const struct plan_clock *at,
			struct fleet_server **out)
{
	plan_collect(s, fleet, group, at->now, false);
	if (!s->count) {
		memset(out, 0, group->count * sizeof(*out));
		return 0;
	}
	if (group->step->data_rack)
		return place_near_data(s, group, at, out);
	if (group->step->same_rack && group->count > 1)
		return place_in_one_rack(s, fleet, group, out);
	return plan_fill(s, group, PLAN_ANY_RACK, out);
}

void plan_explain(struct plan_scratch *s, const struct fleet *fleet, const struct work_group *group,
		  const struct plan_clock *at, struct plan_verdict *verdict)
{
	memset(verdict, 0, sizeof(*verdict));
	plan_collect(s, fleet, group, at->now, false);
	verdict->candidates = s->count;
	for (unsigned int i = 0; i < s->count; i++) {
		verdict->with_room += has_place(&s->tries[i], group);
		verdict->free_accelerators += MAX(s->tries[i].room.accelerators, 0);
	}
}

bool plan_fits_ever(const struct fleet *fleet, const struct work_group *group)
{
	for (guint i = 0; i < fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(fleet->all, i);

		if (suits(sv, group) && fleet_amount_fits(&group->step->need, &sv->capacity))
			return true;
	}
	return false;
}
