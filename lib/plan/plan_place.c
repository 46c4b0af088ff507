/*
 * Placement: which server runs a task.
 *
 * Load pattern: some servers fail every task within milliseconds. They always have
 * free capacity, so jobs with few attempts would use all of them up there. After one
 * failure a server is on probation: only work with attempts to spare is placed on it.
 *
 * Load pattern: tasks of one accelerator and tasks of a whole server come
 * mixed, and gangs want one rack. Best fit on accelerators keeps whole servers
 * free. A gang takes the rack with the least free capacity that it fits in, so that
 * other racks stay free for large gangs. A task with a data rack first waits for a
 * server there, because it runs several times as long elsewhere.
 */
#include "plan_scratch.h"

#include <string.h>

/* wait limit for a server in the data rack, in percent of the declared run time */
#define DATA_WAIT_PERCENT 100
/*
 * In percent of the declared run time: a gang that is spread over racks runs about three
 * times as long, so a rack that is usable only after this time is not worth the wait.
 */
#define RACK_WAIT_PERCENT 200
#define SUSPECT_SCORE_PER_TASK (1LL << 40) /* above all other parts of a score */
#define PROBATION_ATTEMPTS_MIN 3 /* attempts of a job that may use a server on probation */
/* when more than 1 in 4 servers is on probation, the jobs are at fault, not the servers */
#define PROBATION_SHARE 4

struct plan_scratch *plan_scratch_new(TALLOC_CTX *ctx)
{
	return talloc_zero(ctx, struct plan_scratch);
}

static bool is_present(const struct fleet_server *sv)
{
	return !sv->is_evacuated &&
	       (sv->presence == FLEET_LISTED || sv->presence == FLEET_DRAINING);
}

void plan_start_trial(struct plan_scratch *s, const struct fleet *fleet, int64_t now)
{
	unsigned int on_probation = 0;
	unsigned int present = 0;

	for (guint i = 0; i < fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(fleet->all, i);

		present += is_present(sv);
		on_probation += is_present(sv) && sv->probation_until > now;
	}
	s->ignores_probation = on_probation * PROBATION_SHARE > present;
	plan_start_speeds(s, fleet);
}

void plan_start_round(struct plan_scratch *s, const struct fleet *fleet, int64_t now)
{
	s->unmet.count = 0;
	s->ample_unmet.count = 0;
	s->pool_count = 0;
	s->has_reservation = false;
	for (guint i = 0; i < fleet->all->len; i++) {
		struct fleet_server *sv = g_ptr_array_index(fleet->all, i);

		sv->reserved_until = 0;
	}
	plan_start_trial(s, fleet, now);
}

static unsigned int siblings_on(const struct fleet_server *sv, const struct work_group *group)
{
	unsigned int n = 0;

	for (guint i = 0; i < sv->tasks->len; i++) {
		const struct work_task *t = g_ptr_array_index(sv->tasks, i);

		n += t->group == group;
	}
	return n;
}

const char *plan_refusal_text(enum plan_refusal refusal)
{
	static const char *const texts[] = {
#define X(id, text) text,
		PLAN_REFUSALS(X)
#undef X
	};

	return texts[refusal];
}

static bool has_required_label(const struct fleet_server *sv, const struct work_group *group)
{
	return !group->step->label || fleet_has_label(sv, group->step->label);
}

static bool suits(const struct fleet_server *sv, const struct work_group *group)
{
	return !strcmp(sv->service, group->job->service) && has_required_label(sv, group);
}

static void grow_scratch(struct plan_scratch *s, const struct fleet *fleet)
{
	if (s->size < fleet->all->len) {
		s->size = fleet->all->len + 16;
		s->candidates = talloc_realloc(s, s->candidates, struct plan_candidate, s->size);
		s->saved = talloc_realloc(s, s->saved, struct plan_candidate, s->size);
	}
	if (s->racks < fleet->racks->len) {
		s->racks = fleet->racks->len;
		s->rack_first = talloc_realloc(s, s->rack_first, unsigned int, s->racks + 1);
		s->rack_slots = talloc_realloc(s, s->rack_slots, unsigned int, s->racks + 1);
	}
}

/* the job tolerates one or two more failures; a gang does not, as it fails with any member */
static bool can_afford_failure(const struct work_group *group)
{
	return !group->step->is_gang && group->job->attempts >= PROBATION_ATTEMPTS_MIN;
}

static bool avoids(const struct plan_scratch *s, const struct fleet_server *sv,
		   const struct work_group *group, int64_t now)
{
	return sv->probation_until > now && !s->ignores_probation && !can_afford_failure(group);
}

static bool is_candidate(const struct plan_scratch *s, const struct fleet_server *sv,
			 const struct work_group *group, int64_t now)
{
	if (avoids(s, sv, group, now))
		return false;
	if (!fleet_accepts_work(sv, now) &&
	    !(s->uses_suspect && fleet_is_suspect_for_a_stall(sv, now)))
		return false;
	return suits(sv, group) && plan_may_use(s, sv, group, now);
}

/* sets @rack_first, so that the candidates can be stored sorted by rack */
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

static void init_candidate(struct plan_candidate *candidate, struct fleet_server *sv,
			   const struct work_group *group, bool stopping_is_free)
{
	candidate->server = sv;
	candidate->free_capacity = fleet_free_capacity(sv);
	candidate->siblings = group->step->per_server_max ? siblings_on(sv, group) : 0;
	candidate->interference = 0;
	for (guint k = 0; stopping_is_free && k < sv->tasks->len; k++) {
		const struct work_task *other = g_ptr_array_index(sv->tasks, k);

		if (other->state == TASK_STOPPING)
			fleet_resources_add(&candidate->free_capacity, &other->group->step->need,
					    1);
	}
}

void plan_collect_candidates(struct plan_scratch *s, const struct fleet *fleet,
			     const struct work_group *group, int64_t now, bool stopping_is_free)
{
	grow_scratch(s, fleet);
	index_racks(s, fleet, group, now);
	memset(s->rack_slots, 0, (s->racks + 1) * sizeof(*s->rack_slots));
	for (guint i = 0; i < fleet->all->len; i++) {
		struct fleet_server *sv = g_ptr_array_index(fleet->all, i);

		/* rack_slots counts the candidates stored in each rack up to now */
		if (is_candidate(s, sv, group, now))
			init_candidate(
				&s->candidates[s->rack_first[sv->rack] + s->rack_slots[sv->rack]++],
				sv, group, stopping_is_free);
	}
	plan_note_interference(s, group, now);
}

static bool has_slot(const struct plan_candidate *candidate, const struct work_group *group)
{
	const struct work_step *step = group->step;

	return fleet_resources_fit(&step->need, &candidate->free_capacity) &&
	       (!step->per_server_max || candidate->siblings < step->per_server_max);
}

/*
 * Lower is better: least left over, accelerators first; a server that failed the task is last.
 *
 * Load pattern: a task crashes each server that starts it. From the second on, such a task goes
 * where the fewest others would be lost with it, and where none else is as likely the cause.
 */
static int64_t leftover(const struct plan_scratch *s, const struct plan_candidate *candidate,
			const struct work_group *group, const struct work_task *task)
{
	const struct fleet_resources *need = &group->step->need;
	int64_t accelerators = candidate->free_capacity.accelerators - need->accelerators;
	int64_t cpu = candidate->free_capacity.cpu - need->cpu;
	int64_t score = accelerators * PLAN_SCORE_PER_ACCELERATOR + cpu +
			plan_interference_score(s, candidate, group) +
			plan_speed_score(s, group, candidate->server);

	if (task->crash_points >= WORK_CRASH_SUSPECT_POINTS)
		score += (int64_t)candidate->server->tasks->len * SUSPECT_SCORE_PER_TASK;
	if (task->failed_server_id && !strcmp(task->failed_server_id, candidate->server->id))
		score += INT32_MAX;
	/* the server may have caused its recent failures */
	return score + (int64_t)candidate->server->failures * 100000000;
}

struct plan_candidate *plan_best_candidate(struct plan_scratch *s, const struct work_group *group,
					   const struct work_task *task, unsigned int rack)
{
	struct plan_candidate *best = NULL;
	int64_t best_score = 0;

	for (struct plan_candidate *candidate = plan_first_candidate(s, rack);
	     candidate < plan_end_candidate(s, rack); candidate++) {
		int64_t score;

		if (!has_slot(candidate, group) || !plan_has_allowed_speed(s, candidate->server))
			continue;
		score = leftover(s, candidate, group, task);
		if (!best || score < best_score) {
			best = candidate;
			best_score = score;
		}
	}
	return best;
}

void plan_allocate(struct plan_candidate *candidate, const struct work_group *group)
{
	fleet_resources_add(&candidate->free_capacity, &group->step->need, -1);
	candidate->siblings++;
}

unsigned int plan_assign_waiting(struct plan_scratch *s, const struct work_group *group,
				 unsigned int rack, struct fleet_server **out)
{
	unsigned int placed = 0;

	for (unsigned int i = 0; i < group->count; i++) {
		struct plan_candidate *candidate;

		out[i] = NULL;
		if (group->task[i].state != TASK_WAITING)
			continue;
		candidate = plan_best_candidate(s, group, &group->task[i], rack);
		if (!candidate) {
			if (group->step->is_gang)
				return 0;
			continue;
		}
		plan_allocate(candidate, group);
		out[i] = candidate->server;
		placed++;
	}
	return placed;
}

void plan_save_candidates(struct plan_scratch *s)
{
	if (s->count)
		memcpy(s->saved, s->candidates, s->count * sizeof(*s->candidates));
}

void plan_restore_candidates(struct plan_scratch *s)
{
	if (s->count)
		memcpy(s->candidates, s->saved, s->count * sizeof(*s->candidates));
}

/* ---- racks ---- */

/* number of tasks of the group that fit into @free_capacity */
static unsigned int slots_in(const struct fleet_resources *free_capacity,
			     const struct work_group *group, unsigned int siblings)
{
	const struct fleet_resources *need = &group->step->need;
	int64_t n = group->count;

	if (!fleet_resources_fit(need, free_capacity))
		return 0;
	if (need->cpu)
		n = MIN(n, free_capacity->cpu / need->cpu);
	if (need->memory_mb)
		n = MIN(n, free_capacity->memory_mb / need->memory_mb);
	if (need->accelerators)
		n = MIN(n, free_capacity->accelerators / need->accelerators);
	if (group->step->per_server_max)
		n = MIN(n, (int64_t)group->step->per_server_max -
				   MIN(siblings, group->step->per_server_max));
	return (unsigned int)n;
}

static void clear_rack_slots(struct plan_scratch *s)
{
	memset(s->rack_slots, 0, (s->racks + 1) * sizeof(*s->rack_slots));
}

unsigned int plan_count_slots(struct plan_scratch *s, const struct work_group *group)
{
	unsigned int sum = 0;

	clear_rack_slots(s);
	for (unsigned int i = 0; i < s->count; i++) {
		const struct plan_candidate *candidate = &s->candidates[i];
		unsigned int n;

		if (!plan_has_allowed_speed(s, candidate->server))
			continue;
		n = slots_in(&candidate->free_capacity, group, candidate->siblings);
		s->rack_slots[candidate->server->rack] += n;
		sum += n;
	}
	return sum;
}

/*
 * Rack of a sibling that is already placed; the remaining tasks join it there, unless the rack is
 * evacuated.
 */
static unsigned int siblings_rack(const struct work_group *group)
{
	for (unsigned int i = 0; i < group->count; i++)
		if (group->task[i].server && !group->task[i].server->is_evacuated)
			return group->task[i].server->rack;
	return PLAN_ANY_RACK;
}

static int64_t rack_free_accelerators(const struct plan_scratch *s, unsigned int rack)
{
	int64_t sum = 0;

	for (const struct plan_candidate *candidate = plan_first_candidate(s, rack);
	     candidate < plan_end_candidate(s, rack); candidate++)
		sum += candidate->free_capacity.accelerators;
	return sum;
}

unsigned int plan_tightest_rack(struct plan_scratch *s, const struct work_group *group)
{
	unsigned int waiting = work_group_waiting_count(group);
	unsigned int best = PLAN_ANY_RACK;
	int64_t best_free = 0;

	for (unsigned int rack = 0; rack < s->racks; rack++) {
		int64_t free_accelerators;

		if (s->rack_slots[rack] < waiting)
			continue;
		free_accelerators = rack_free_accelerators(s, rack);
		if (best == PLAN_ANY_RACK || free_accelerators < best_free) {
			best = rack;
			best_free = free_accelerators;
		}
	}
	return best;
}

/* what is free on @sv once all tasks have ended that end by themselves */
static struct fleet_resources capacity_for_others(const struct fleet_server *sv)
{
	struct fleet_resources capacity = sv->capacity;

	for (guint i = 0; i < sv->tasks->len; i++) {
		const struct work_task *t = g_ptr_array_index(sv->tasks, i);

		if (t->group->step->is_endless)
			fleet_resources_add(&capacity, &t->group->step->need, -1);
	}
	return capacity;
}

bool plan_rack_could_fit(struct plan_scratch *s, const struct fleet *fleet,
			 const struct work_group *group, int64_t now)
{
	int64_t latest = now + group->step->estimate_ms * RACK_WAIT_PERCENT / 100;

	clear_rack_slots(s);
	for (guint i = 0; i < fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(fleet->all, i);
		struct fleet_resources capacity;

		if (!fleet_accepts_work(sv, latest) || !suits(sv, group))
			continue;
		capacity = capacity_for_others(sv);
		s->rack_slots[sv->rack] += slots_in(&capacity, group, 0);
		if (s->rack_slots[sv->rack] >= group->count)
			return true;
	}
	return false;
}

static unsigned int place_in_one_rack(struct plan_scratch *s, const struct fleet *fleet,
				      const struct work_group *group, int64_t now,
				      struct fleet_server **out)
{
	unsigned int rack = siblings_rack(group);
	unsigned int placed;

	if (rack == PLAN_ANY_RACK)
		rack = plan_tightest_rack(s, group);
	if (rack == PLAN_ANY_RACK && plan_rack_could_fit(s, fleet, group, now)) {
		memset(out, 0, group->count * sizeof(*out));
		s->refusal = PLAN_AWAITS_RACK;
		return 0;
	}
	placed = plan_assign_waiting(s, group, rack, out);
	if (!placed)
		s->refusal = PLAN_AWAITS_RACK;
	return placed;
}

static bool data_rack_could_fit(const struct fleet *fleet, const struct work_group *group,
				unsigned int rack, int64_t latest)
{
	for (guint i = 0; i < fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(fleet->all, i);

		if (sv->rack == rack && fleet_accepts_work(sv, latest) && suits(sv, group) &&
		    fleet_resources_fit(&group->step->need, &sv->capacity))
			return true;
	}
	return false;
}

/* the group could use servers of its data rack, if no failure domain were evacuated */
static bool data_rack_is_evacuated(const struct fleet *fleet, const struct work_group *group)
{
	unsigned int rack = group->step->data_rack ? fleet_find_rack(fleet, group->step->data_rack)
						   : PLAN_ANY_RACK;
	bool is_evacuated = false;

	for (guint i = 0; rack != PLAN_ANY_RACK && i < fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(fleet->all, i);

		if (sv->rack != rack || sv->presence != FLEET_LISTED || !suits(sv, group))
			continue;
		if (!sv->is_evacuated)
			return false;
		is_evacuated = true;
	}
	return is_evacuated;
}

static unsigned int place_near_data(struct plan_scratch *s, const struct fleet *fleet,
				    const struct work_group *group, const struct plan_clock *at,
				    struct fleet_server **out)
{
	unsigned int rack = fleet_find_rack(fleet, group->step->data_rack);
	int64_t wait_limit_ms = group->step->estimate_ms * DATA_WAIT_PERCENT / 100;
	unsigned int placed = 0;

	if (rack != PLAN_ANY_RACK) {
		plan_save_candidates(s);
		placed = plan_assign_waiting(s, group, rack, out);
		if (placed)
			return placed;
		if (at->now < group->ready_since + wait_limit_ms &&
		    data_rack_could_fit(fleet, group, rack, group->ready_since + wait_limit_ms)) {
			s->refusal = PLAN_AWAITS_DATA_RACK;
			return 0;
		}
		plan_restore_candidates(s);
	}
	return plan_assign_waiting(s, group, PLAN_ANY_RACK, out);
}

/* ---- unmet needs ---- */

static bool same_text(const char *a, const char *b)
{
	return a == b || (a && b && !strcmp(a, b));
}

/* an unmet need recorded under a reservation excludes no work that may use reserved servers */
static bool applies_to(const struct plan_unmet_need *r, const struct work_group *group)
{
	return !r->min_estimate_ms ||
	       (!plan_is_urgent(group) && group->step->estimate_ms >= r->min_estimate_ms);
}

bool plan_is_known_unmet(const struct plan_unmet_needs *needs, const struct work_group *group)
{
	for (unsigned int i = 0; i < needs->count; i++) {
		const struct plan_unmet_need *r = &needs->need[i];

		if (r->avoids_probation && can_afford_failure(group))
			continue;
		if (applies_to(r, group) && fleet_resources_fit(&r->need, &group->step->need) &&
		    same_text(r->label, group->step->label) &&
		    same_text(r->service, group->job->service))
			return true;
	}
	return false;
}

void plan_record_unmet(struct plan_unmet_needs *needs, const struct work_group *group,
		       int64_t min_estimate_ms)
{
	struct plan_unmet_need *r;

	/* the limit of tasks per server may be the reason, and it doesn't apply to other groups */
	if (needs->count == PLAN_UNMET_NEEDS_MAX || group->step->per_server_max)
		return;
	r = &needs->need[needs->count++];
	r->avoids_probation = !can_afford_failure(group);
	r->service = group->job->service;
	r->label = group->step->label;
	r->need = group->step->need;
	r->min_estimate_ms = min_estimate_ms;
}

static unsigned int place_on_speeds(struct plan_scratch *s, const struct fleet *fleet,
				    const struct work_group *group, const struct plan_clock *at,
				    struct fleet_server **out)
{
	if (group->step->data_rack)
		return place_near_data(s, fleet, group, at, out);
	if (group->step->same_rack && group->count > 1)
		return place_in_one_rack(s, fleet, group, at->now, out);
	return plan_assign_waiting(s, group, PLAN_ANY_RACK, out);
}

/*
 * A gang runs at the pace of its slowest member, so that one slower server slows all others down:
 * servers of one speed are tried first.
 */
static unsigned int place_gang(struct plan_scratch *s, const struct fleet *fleet,
			       const struct work_group *group, const struct plan_clock *at,
			       struct fleet_server **out)
{
	const unsigned int *speeds = plan_gang_speeds(s);
	bool needs_rack = group->step->same_rack && group->count > 1;
	unsigned int placed = 0;

	plan_save_candidates(s);
	for (; !placed && *speeds != PLAN_ALL_SPEEDS; speeds++) {
		s->speeds = *speeds;
		if (plan_count_slots(s, group) < group->count ||
		    (needs_rack && plan_tightest_rack(s, group) == PLAN_ANY_RACK))
			continue;
		placed = place_on_speeds(s, fleet, group, at, out);
		if (!placed)
			plan_restore_candidates(s);
	}
	s->speeds = PLAN_ALL_SPEEDS;
	if (placed)
		return placed;
	plan_count_slots(s, group);
	return place_on_speeds(s, fleet, group, at, out);
}

static unsigned int place_as_preferred(struct plan_scratch *s, const struct fleet *fleet,
				       const struct work_group *group, const struct plan_clock *at,
				       struct fleet_server **out)
{
	unsigned int slots;

	s->refusal = PLAN_PLACED;
	if (plan_is_known_unmet(&s->unmet, group)) {
		s->refusal = PLAN_UNMET_BEFORE;
		return 0;
	}
	plan_set_speed_preference(s, group, at);
	plan_collect_candidates(s, fleet, group, at->now, false);
	slots = plan_count_slots(s, group);
	if (!slots) {
		plan_record_unmet(&s->unmet, group,
				  s->has_reservation && !plan_is_urgent(group)
					  ? MAX(group->step->estimate_ms, 1)
					  : 0);
		s->refusal = PLAN_NO_SLOT;
		return 0;
	}
	if (group->step->is_gang && slots < group->count) {
		s->refusal = PLAN_GANG_TOO_LARGE;
		return 0;
	}
	if (s->speeds_differ && group->step->is_gang && !group->step->data_rack)
		return place_gang(s, fleet, group, at, out);
	return place_on_speeds(s, fleet, group, at, out);
}

unsigned int plan_place(struct plan_scratch *s, const struct fleet *fleet,
			const struct work_group *group, const struct plan_clock *at,
			struct fleet_server **out)
{
	unsigned int placed;

	memset(out, 0, group->count * sizeof(*out));
	placed = place_as_preferred(s, fleet, group, at, out);
	return placed ? placed : plan_place_in_ample_room(s, fleet, group, at, out);
}

void plan_explain(struct plan_scratch *s, const struct fleet *fleet, const struct work_group *group,
		  const struct plan_clock *at, struct plan_explanation *explanation)
{
	memset(explanation, 0, sizeof(*explanation));
	explanation->refusal =
		data_rack_is_evacuated(fleet, group) ? PLAN_DATA_RACK_EVACUATED : s->refusal;
	for (guint i = 0; i < fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(fleet->all, i);
		enum fleet_admission admission = fleet_admission(sv, at->now);

		if (strcmp(sv->service, group->job->service))
			continue;
		explanation->servers[admission]++;
		if (admission != FLEET_ACCEPTING)
			continue;
		if (!has_required_label(sv, group))
			explanation->mislabelled++;
		else if (avoids(s, sv, group, at->now))
			explanation->on_probation++;
		else if (!plan_may_use(s, sv, group, at->now))
			explanation->set_aside++;
	}
	plan_collect_candidates(s, fleet, group, at->now, false);
	explanation->candidates = s->count;
	for (unsigned int i = 0; i < s->count; i++) {
		explanation->with_capacity += has_slot(&s->candidates[i], group);
		explanation->free_accelerators +=
			MAX(s->candidates[i].free_capacity.accelerators, 0);
	}
}
