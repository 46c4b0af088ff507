/*
 * Where a task runs.
 *
 * Load pattern: some servers fail whatever they start, within milliseconds. They
 * always have room, so that every job with few attempts loses them there. After
 * one failure only work that can afford another tries the server.
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
#define RISK_ATTEMPTS_MIN 3 /* of a job whose tasks may try a server where others fail */
/* when more than one server in so many is doubted, the jobs are to blame */
#define DOUBT_SHARE 4

struct plan_scratch *plan_scratch_new(TALLOC_CTX *ctx)
{
	return talloc_zero(ctx, struct plan_scratch);
}

void plan_begin_round(struct plan_scratch *s, const struct fleet *fleet, int64_t now)
{
	unsigned int doubted = 0;

	s->refusal_count = 0;
	s->has_reserved = false;
	for (guint i = 0; i < fleet->all->len; i++) {
		struct fleet_server *sv = g_ptr_array_index(fleet->all, i);

		sv->reserved_until = 0;
		doubted += sv->probation_until > now;
	}
	s->ignores_doubt = doubted * DOUBT_SHARE > fleet->all->len;
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

static void make_room(struct plan_scratch *s, const struct fleet *fleet)
{
	if (s->size < fleet->all->len) {
		s->size = fleet->all->len + 16;
		s->tries = talloc_realloc(s, s->tries, struct plan_try, s->size);
		s->saved = talloc_realloc(s, s->saved, struct plan_try, s->size);
	}
	if (s->racks < fleet->racks->len) {
		s->racks = fleet->racks->len;
		s->rack_first = talloc_realloc(s, s->rack_first, unsigned int, s->racks + 1);
		s->rack_places = talloc_realloc(s, s->rack_places, unsigned int, s->racks + 1);
	}
}

/* one failure more or two leave the job its attempts; a gang fails with any of its members */
static bool can_afford_failure(const struct work_group *group)
{
	return !group->step->is_gang && group->job->attempts >= RISK_ATTEMPTS_MIN;
}

static bool is_candidate(const struct plan_scratch *s, const struct fleet_server *sv,
			 const struct work_group *group, int64_t now)
{
	if (sv->probation_until > now && !s->ignores_doubt && !can_afford_failure(group))
		return false;
	return fleet_accepts_work(sv, now) && suits(sv, group) && plan_may_use(sv, group, now);
}

/* counts the candidates of each rack, so that those of one can be put together */
static void index_racks(struct plan_scratch *s, const struct fleet *fleet,
			const struct work_group *group, int64_t now)
{
	memset(s->rack_first, 0, (s->racks + 1) * sizeof(*s->rack_first));
	for (guint i = 0; i < fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(fleet->all, i);

		if (is_candidate(s, sv, group, now))
			s->rack_first[sv->rack + 1]++;
	}
	for (unsigned int rack = 0; rack < s->racks; rack++)
		s->rack_first[rack + 1] += s->rack_first[rack];
	s->count = s->rack_first[s->racks];
}

static void fill_try(struct plan_try *t, struct fleet_server *sv, const struct work_group *group,
		     bool stopping_is_free)
{
	t->server = sv;
	t->room = fleet_free_capacity(sv);
	t->mates = group->step->per_server_max ? mates_on(sv, group) : 0;
	for (guint k = 0; stopping_is_free && k < sv->tasks->len; k++) {
		const struct work_task *other = g_ptr_array_index(sv->tasks, k);

		if (other->state == TASK_STOPPING)
			fleet_resources_add(&t->room, &other->group->step->need, 1);
	}
}

void plan_collect(struct plan_scratch *s, const struct fleet *fleet, const struct work_group *group,
		  int64_t now, bool stopping_is_free)
{
	make_room(s, fleet);
	index_racks(s, fleet, group, now);
	memset(s->rack_places, 0, (s->racks + 1) * sizeof(*s->rack_places));
	for (guint i = 0; i < fleet->all->len; i++) {
		struct fleet_server *sv = g_ptr_array_index(fleet->all, i);

		/* rack_places counts those filled so far */
		if (is_candidate(s, sv, group, now))
			fill_try(&s->tries[s->rack_first[sv->rack] + s->rack_places[sv->rack]++],
				 sv, group, stopping_is_free);
	}
}

static bool has_place(const struct plan_try *t, const struct work_group *group)
{
	const struct work_step *step = group->step;

	return fleet_resources_fit(&step->need, &t->room) &&
	       (!step->per_server_max || t->mates < step->per_server_max);
}

/* lower is better: least left over, accelerators first; a server that failed the task comes last */
static int64_t leftover(const struct plan_try *t, const struct work_group *group,
			const struct work_task *task)
{
	const struct fleet_resources *need = &group->step->need;
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

	for (struct plan_try *t = plan_first(s, rack); t < plan_end(s, rack); t++) {
		int64_t score;

		if (!has_place(t, group))
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
	fleet_resources_add(&t->room, &group->step->need, -1);
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

/* how many tasks of the group fit into @room */
static unsigned int places_in(const struct fleet_resources *room, const struct work_group *group,
			      unsigned int mates)
{
	const struct fleet_resources *need = &group->step->need;
	int64_t n = group->count;

	if (!fleet_resources_fit(need, room))
		return 0;
	if (need->cpu)
		n = MIN(n, room->cpu / need->cpu);
	if (need->memory_mb)
		n = MIN(n, room->memory_mb / need->memory_mb);
	if (need->accelerators)
		n = MIN(n, room->accelerators / need->accelerators);
	if (group->step->per_server_max)
		n = MIN(n, (int64_t)group->step->per_server_max -
				   MIN(mates, group->step->per_server_max));
	return (unsigned int)n;
}

static void clear_places(struct plan_scratch *s)
{
	memset(s->rack_places, 0, (s->racks + 1) * sizeof(*s->rack_places));
}

unsigned int plan_count_places(struct plan_scratch *s, const struct work_group *group)
{
	unsigned int sum = 0;

	clear_places(s);
	for (unsigned int i = 0; i < s->count; i++) {
		const struct plan_try *t = &s->tries[i];
		unsigned int n = places_in(&t->room, group, t->mates);

		s->rack_places[t->server->rack] += n;
		sum += n;
	}
	return sum;
}

/* rack where other tasks of the group already are, so that the rest joins them */
static unsigned int rack_in_use(const struct work_group *group)
{
	for (unsigned int i = 0; i < group->count; i++)
		if (group->task[i].server)
			return group->task[i].server->rack;
	return PLAN_ANY_RACK;
}

static int64_t rack_room(const struct plan_scratch *s, unsigned int rack)
{
	int64_t sum = 0;

	for (const struct plan_try *t = plan_first(s, rack); t < plan_end(s, rack); t++)
		sum += t->room.accelerators;
	return sum;
}

/* the rack with the least room that holds all waiting tasks */
static unsigned int tightest_rack(struct plan_scratch *s, const struct work_group *group)
{
	unsigned int waiting = work_group_waiting_count(group);
	unsigned int best = PLAN_ANY_RACK;
	int64_t best_room = 0;

	for (unsigned int rack = 0; rack < s->racks; rack++) {
		int64_t room;

		if (s->rack_places[rack] < waiting)
			continue;
		room = rack_room(s, rack);
		if (best == PLAN_ANY_RACK || room < best_room) {
			best = rack;
			best_room = room;
		}
	}
	return best;
}

/* some rack could hold the whole group, were it empty */
static bool any_rack_could(struct plan_scratch *s, const struct fleet *fleet,
			   const struct work_group *group)
{
	clear_places(s);
	for (guint i = 0; i < fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(fleet->all, i);

		if (sv->presence != FLEET_LISTED || !suits(sv, group))
			continue;
		s->rack_places[sv->rack] += places_in(&sv->capacity, group, 0);
		if (s->rack_places[sv->rack] >= group->count)
			return true;
	}
	return false;
}

static unsigned int place_in_one_rack(struct plan_scratch *s, const struct fleet *fleet,
				      const struct work_group *group, struct fleet_server **out)
{
	unsigned int rack = rack_in_use(group);

	if (rack == PLAN_ANY_RACK)
		rack = tightest_rack(s, group);
	if (rack == PLAN_ANY_RACK && any_rack_could(s, fleet, group)) {
		memset(out, 0, group->count * sizeof(*out));
		return 0;
	}
	return plan_fill(s, group, rack, out);
}

static unsigned int place_near_data(struct plan_scratch *s, const struct fleet *fleet,
				    const struct work_group *group, const struct plan_clock *at,
				    struct fleet_server **out)
{
	unsigned int rack = fleet_find_rack(fleet, group->step->data_rack);
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

/* ---- what did not fit ---- */

static bool same_text(const char *a, const char *b)
{
	return a == b || (a && b && !strcmp(a, b));
}

/* the refusal holds for this group in spite of the servers that are kept for a gang */
static bool holds_for(const struct plan_refusal *r, const struct work_group *group)
{
	return !r->longer_than_ms ||
	       (!plan_is_urgent(group) && group->step->estimate_ms >= r->longer_than_ms);
}

static bool was_refused(const struct plan_scratch *s, const struct work_group *group)
{
	for (unsigned int i = 0; i < s->refusal_count; i++) {
		const struct plan_refusal *r = &s->refusals[i];

		if (holds_for(r, group) && fleet_resources_fit(&r->need, &group->step->need) &&
		    same_text(r->label, group->step->label) &&
		    same_text(r->service, group->job->service))
			return true;
	}
	return false;
}

static void note_refusal(struct plan_scratch *s, const struct work_group *group)
{
	struct plan_refusal *r;

	/* a limit for each server says nothing of other groups */
	if (s->refusal_count == PLAN_REFUSALS_MAX || group->step->per_server_max)
		return;
	r = &s->refusals[s->refusal_count++];
	r->service = group->job->service;
	r->label = group->step->label;
	r->need = group->step->need;
	r->longer_than_ms =
		s->has_reserved && !plan_is_urgent(group) ? MAX(group->step->estimate_ms, 1) : 0;
}

unsigned int plan_place(struct plan_scratch *s, const struct fleet *fleet,
			const struct work_group *group, const struct plan_clock *at,
			struct fleet_server **out)
{
	unsigned int places;

	memset(out, 0, group->count * sizeof(*out));
	if (was_refused(s, group))
		return 0;
	plan_collect(s, fleet, group, at->now, false);
	places = plan_count_places(s, group);
	if (!places)
		note_refusal(s, group);
	if (!places || (group->step->is_gang && places < group->count))
		return 0;
	if (group->step->data_rack)
		return place_near_data(s, fleet, group, at, out);
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
