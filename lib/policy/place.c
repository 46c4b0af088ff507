/**
 * DOC: place - search for placements and selection of victims
 */
#include "internal.h"

#include <stdlib.h>
#include <string.h>

/* ---- search for a placement ---- */

static void add_extra_slots(const struct search *q, const struct server *s, int sign)
{
	int64_t a = q->job->spec.accelerators;
	int64_t more = pol_server_available(q, s) / a -
		       s->indexed_capacity[pol_job_slot_index(q->job)] / a;

	g_array_index(q->p->extra_slots, int64_t, s->rack) += sign * MAX(more, 0);
}

/*
 * Adds (or with @sign -1 removes) the slots that the rack index does not hold
 * because they depend on the job: in its workspace's cells and reserved racks.
 */
static void search_add_extra_slots(const struct search *q, int sign)
{
	const GArray *list = workspace_at(q->p, q->job->ws)->cell_servers;

	for (guint i = 0; i < list->len; i++)
		if (q->stage != STAGE_RESERVED)
			add_extra_slots(q, server_at(q->p, g_array_index(list, int, i)), sign);
	for (guint r = 0; q->stage == STAGE_RESERVED && r < q->p->racks->len; r++) {
		const GArray *servers = rack_at(q->p, (int)r)->servers;

		for (guint i = 0; g_array_index(q->p->reserved_rack, char, r) && i < servers->len;
		     i++)
			add_extra_slots(q, server_at(q->p, g_array_index(servers, int, i)), sign);
	}
}

/* whether @job is expected to end before the job that holds the reservation can start */
bool pol_ends_before_reservation(const struct policy *p, const struct policy_job *job, int64_t now)
{
	return now + pol_estimate(job->kind, job->spec.run_ms, 2.0) <= p->reservation_start;
}

/*
 * A rack reserved for another job takes work that ends before that job can start,
 * and work that can be preempted.
 */
static bool is_rack_allowed(const struct search *q, int rack, int64_t now)
{
	const struct policy *p = q->p;
	const struct policy_job *job = q->job;

	if (!g_array_index(p->reserved_rack, char, rack) || p->reserved_for == job)
		return true;
	if (q->stage != STAGE_FREE || job->spec.cls == CLASS_URGENT)
		return true;
	return job->spec.checkpointable || pol_ends_before_reservation(p, job, now);
}

static int64_t rack_slots(const struct search *q, int rack)
{
	const struct policy_job *job = q->job;

	return *slots_at(q->p, pol_job_slot_index(job), job->spec.accelerators, rack) +
	       g_array_index(q->p->extra_slots, int64_t, rack);
}

/* best fit: the rack with the fewest slots left after the whole gang; own cells preferred */
static int best_single_rack(const struct search *q, int64_t tasks, int64_t now)
{
	int best = NO_RACK;
	int64_t best_score = INT64_MAX;

	for (guint r = 0; r < q->p->racks->len; r++) {
		int64_t slots = rack_slots(q, (int)r);
		int64_t score;

		if (slots < tasks || !is_rack_allowed(q, (int)r, now))
			continue;
		score = slots - tasks -
			2 * MIN(g_array_index(q->p->extra_slots, int64_t, r), tasks);
		if (g_array_index(q->p->reserved_rack, char, r) && q->p->reserved_for != q->job)
			score += RESERVED_RACK_PENALTY;
		if (score < best_score) {
			best = (int)r;
			best_score = score;
		}
	}
	return best;
}

struct candidate {
	int server;
	int64_t available;
	bool is_own;		      /* its workspace has unused guaranteed accelerators here */
	int64_t guaranteed_to_others; /* accelerators guaranteed to other workspaces */
};

static int compare_candidates(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->is_own != y->is_own)
		return x->is_own ? -1 : 1;
	if (x->guaranteed_to_others != y->guaranteed_to_others)
		return x->guaranteed_to_others < y->guaranteed_to_others ? -1 : 1;
	if (x->available != y->available)
		return x->available < y->available ? -1 : 1;
	return x->server - y->server;
}

/* places up to @tasks tasks in one rack by best fit; returns the number placed */
static int64_t place_in_rack(struct search *q, int rack, int64_t tasks)
{
	const GArray *list = rack_at(q->p, rack)->servers;
	struct candidate *found = talloc_array(q->job, struct candidate, list->len);
	int64_t a = q->job->spec.accelerators;
	int64_t remaining = tasks;
	size_t n = 0;

	for (guint i = 0; i < list->len; i++) {
		int index = g_array_index(list, int, i);
		const struct server *s = server_at(q->p, index);
		const struct allocation *alloc = pol_allocation_find(s, q->job->ws);
		int64_t available = pol_server_available(q, s);

		if (available < a)
			continue;
		found[n].server = index;
		found[n].available = available;
		found[n].is_own =
			alloc && alloc->guaranteed > alloc->non_preemptible + alloc->preemptible;
		found[n++].guaranteed_to_others = s->capacity - MAX(pol_server_unguaranteed(s), 0) -
						  (alloc ? alloc->guaranteed : 0);
	}
	qsort(found, n, sizeof(*found), compare_candidates);
	for (size_t i = 0; i < n && remaining > 0; i++) {
		int64_t take = MIN(found[i].available / a, remaining);

		g_array_append_val(q->servers, found[i].server);
		g_array_append_val(q->tasks, take);
		remaining -= take;
	}
	talloc_free(found);
	return tasks - remaining;
}

int pol_compare_rack_scores(gconstpointer a, gconstpointer b)
{
	const int64_t *x = a;
	const int64_t *y = b;

	if (x[0] != y[0])
		return x[0] > y[0] ? -1 : 1;
	return x[1] < y[1] ? -1 : x[1] > y[1];
}

/* fills as few racks as possible; the remaining tasks go to the rack they fit best */
static bool place_in_racks(struct search *q, int64_t now)
{
	GArray *order = g_array_new(FALSE, FALSE, 2 * sizeof(int64_t));
	int64_t remaining = q->job->spec.tasks;

	for (guint r = 0; r < q->p->racks->len; r++) {
		int64_t pair[2] = {rack_slots(q, (int)r), r};

		if (pair[0] > 0 && is_rack_allowed(q, (int)r, now))
			g_array_append_vals(order, pair, 1);
	}
	g_array_sort(order, pol_compare_rack_scores);
	for (guint i = 0; i < order->len && remaining > 0; i++) {
		int64_t *pair = (int64_t *)(void *)(order->data + i * 2 * sizeof(int64_t));

		/* the last rack is the one with the fewest slots among those that hold the
		 * remaining tasks */
		for (guint k = i; pair[0] >= remaining && k < order->len; k++) {
			int64_t *next = (int64_t *)(void *)(order->data + k * 2 * sizeof(int64_t));

			if (next[0] < remaining)
				break;
			pair = next;
		}
		remaining -= place_in_rack(q, (int)pair[1], remaining);
	}
	g_array_free(order, TRUE);
	return remaining <= 0;
}

/* racks are tried in order of index; the rack index does not count what urgent jobs can preempt */
static bool search_urgent(struct search *q)
{
	int64_t remaining = q->job->spec.tasks;

	for (guint r = 0; r < q->p->racks->len && q->job->spec.one_rack; r++) {
		g_array_set_size(q->servers, 0);
		g_array_set_size(q->tasks, 0);
		if (place_in_rack(q, (int)r, remaining) == remaining)
			return true;
	}
	if (q->job->spec.one_rack)
		return false;
	for (guint r = 0; r < q->p->racks->len && remaining > 0; r++)
		remaining -= place_in_rack(q, (int)r, remaining);
	return remaining <= 0;
}

bool pol_search_run(struct search *q, int64_t now)
{
	int rack;
	bool found;

	g_array_set_size(q->servers, 0);
	g_array_set_size(q->tasks, 0);
	if (q->stage == STAGE_URGENT)
		return search_urgent(q);
	search_add_extra_slots(q, 1);
	rack = best_single_rack(q, q->job->spec.tasks, now);
	if (rack != NO_RACK)
		found = place_in_rack(q, rack, q->job->spec.tasks) == q->job->spec.tasks;
	else
		found = !q->job->spec.one_rack && place_in_racks(q, now);
	search_add_extra_slots(q, -1);
	return found;
}

/* ---- preemption ---- */

static bool is_eligible_victim(const struct policy *p, const struct policy_job *victim, int index,
			       const struct policy_job *job, enum stage stage)
{
	const struct server *s = server_at(p, index);
	const struct allocation *alloc = pol_allocation_find(s, victim->ws);

	if (victim == job || !victim->spec.checkpointable ||
	    (victim->state != POLICY_PLACED && victim->state != POLICY_AWAITING_PREEMPTION))
		return false;
	if (stage == STAGE_RESERVED)
		return pol_may_preempt_for_reservation(p, job, victim, s);
	if (stage == STAGE_URGENT && victim->spec.cls <= job->spec.cls)
		return false;
	if (victim->ws == job->ws)
		return stage == STAGE_URGENT;
	return alloc->non_preemptible + alloc->preemptible > alloc->guaranteed;
}

/* lowest class first, then the smallest job, then the one expected to end last */
static bool is_better_victim(const struct policy_job *a, const struct policy_job *b)
{
	int64_t size_a = a->spec.tasks * a->spec.accelerators;
	int64_t size_b = b->spec.tasks * b->spec.accelerators;

	if (a->spec.cls != b->spec.cls)
		return a->spec.cls > b->spec.cls;
	if (size_a != size_b)
		return size_a < size_b;
	return a->expected_end > b->expected_end;
}

static int64_t stopping_accelerators(const struct policy *p, int index)
{
	const struct server *s = server_at(p, index);
	int64_t sum = 0;

	for (guint k = 0; k < s->jobs->len; k++) {
		const struct policy_job *other = g_ptr_array_index(s->jobs, k);

		for (unsigned int j = 0; other->state == POLICY_STOPPING && j < other->place_count;
		     j++)
			if (other->place_servers[j] == index)
				sum += other->places[j].tasks * other->spec.accelerators;
	}
	return sum;
}

void pol_push_decision(struct policy *p, enum policy_decision_type type, struct policy_job *job)
{
	struct policy_decision *d = talloc_zero(p, struct policy_decision);

	d->type = type;
	d->job = job;
	d->user = job->user;
	g_queue_push_tail(&p->decisions, d);
}

/* issues stop decisions for victims on one server until its allocations fit its capacity */
void pol_stop_victims(struct policy *p, struct policy_job *job, int index, enum stage stage)
{
	struct server *s = server_at(p, index);

	while (s->used - stopping_accelerators(p, index) > s->capacity) {
		struct policy_job *best = NULL;

		for (guint k = 0; k < s->jobs->len; k++) {
			struct policy_job *other = g_ptr_array_index(s->jobs, k);

			if (is_eligible_victim(p, other, index, job, stage) &&
			    (!best || is_better_victim(other, best)))
				best = other;
		}
		if (!best)
			return;
		if (pol_drop_decisions(p, best) || best->state == POLICY_AWAITING_PREEMPTION) {
			/* the victim has not started; it is queued again without a stop decision */
			pol_job_release(p, best);
			pol_enqueue(p, best);
			continue;
		}
		best->state = POLICY_STOPPING;
		pol_push_decision(p, POLICY_STOP, best);
	}
}

bool pol_placement_fits(const struct policy *p, const struct policy_job *job)
{
	for (unsigned int i = 0; i < job->place_count; i++) {
		const struct server *s = server_at(p, job->place_servers[i]);

		if (s->used > s->capacity)
			return false;
	}
	return true;
}

/* a server of the job is overcommitted and no victim stops there: the job must be placed anew */
bool pol_is_preemption_stalled(const struct policy *p, const struct policy_job *job)
{
	for (unsigned int i = 0; i < job->place_count; i++) {
		const struct server *s = server_at(p, job->place_servers[i]);

		if (s->used > s->capacity && !stopping_accelerators(p, job->place_servers[i]))
			return true;
	}
	return false;
}
