/**
 * DOC: place - search for a placement, and what has to stop for it
 */
#include "internal.h"

#include <stdlib.h>
#include <string.h>

/* ---- search for a placement ---- */

static void add_extra(const struct search *q, const struct server *s, int sign)
{
	int64_t a = q->job->spec.accelerators;
	int64_t more = pol_server_available(q, s) / a - s->indexed[pol_job_index(q->job)] / a;

	g_array_index(q->p->extra, int64_t, s->rack) += sign * MAX(more, 0);
}

/* servers that offer this job more than the rack index says: own cells, kept racks */
static void search_add_own(const struct search *q, int sign)
{
	const GArray *list = workspace_at(q->p, q->job->ws)->cell_servers;

	for (guint i = 0; i < list->len; i++)
		if (q->stage != STAGE_RESERVED)
			add_extra(q, server_at(q->p, g_array_index(list, int, i)), sign);
	for (guint r = 0; q->stage == STAGE_RESERVED && r < q->p->racks->len; r++) {
		const GArray *servers = rack_at(q->p, (int)r)->servers;

		for (guint i = 0; g_array_index(q->p->reserved_rack, char, r) && i < servers->len;
		     i++)
			add_extra(q, server_at(q->p, g_array_index(servers, int, i)), sign);
	}
}

/* work that is believed to end before the reserved job can start */
bool pol_ends_in_time(const struct policy *p, const struct policy_job *job, int64_t now)
{
	return now + pol_estimate(job->kind, job->spec.run_ms, 2.0) <= p->reservation_start;
}

/* a rack kept for another job takes what ends before that job can start, or can be stopped */
static bool is_rack_allowed(const struct search *q, int rack, int64_t now)
{
	const struct policy *p = q->p;
	const struct policy_job *job = q->job;

	if (!g_array_index(p->reserved_rack, char, rack) || p->reservation == job)
		return true;
	if (q->stage != STAGE_FREE || job->spec.cls == CLASS_URGENT)
		return true;
	return job->spec.checkpointable || pol_ends_in_time(p, job, now);
}

static int64_t rack_units(const struct search *q, int rack)
{
	const struct policy_job *job = q->job;

	return *units_at(q->p, pol_job_index(job), job->spec.accelerators, rack) +
	       g_array_index(q->p->extra, int64_t, rack);
}

/* the rack with the least left over after the whole gang, own cells preferred */
static int best_single_rack(const struct search *q, int64_t tasks, int64_t now)
{
	int best = NO_RACK;
	int64_t best_score = INT64_MAX;

	for (guint r = 0; r < q->p->racks->len; r++) {
		int64_t units = rack_units(q, (int)r);
		int64_t score;

		if (units < tasks || !is_rack_allowed(q, (int)r, now))
			continue;
		score = units - tasks - 2 * MIN(g_array_index(q->p->extra, int64_t, r), tasks);
		if (g_array_index(q->p->reserved_rack, char, r) && q->p->reservation != q->job)
			score += KEPT_RACK_PENALTY;
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
	bool is_own;	  /* has unused accelerators of the workspace's cells */
	int64_t borrowed; /* reserved there for others */
};

static int compare_candidates(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->is_own != y->is_own)
		return x->is_own ? -1 : 1;
	if (x->borrowed != y->borrowed)
		return x->borrowed < y->borrowed ? -1 : 1;
	if (x->available != y->available)
		return x->available < y->available ? -1 : 1;
	return x->server - y->server;
}

/* takes up to @tasks tasks in one rack, smallest holes first; returns how many */
static int64_t take_in_rack(struct search *q, int rack, int64_t tasks)
{
	const GArray *list = rack_at(q->p, rack)->servers;
	struct candidate *found = talloc_array(q->job, struct candidate, list->len);
	int64_t a = q->job->spec.accelerators;
	int64_t left = tasks;
	size_t n = 0;

	for (guint i = 0; i < list->len; i++) {
		int index = g_array_index(list, int, i);
		const struct server *s = server_at(q->p, index);
		const struct holding *h = pol_holding_find(s, q->job->ws);
		int64_t available = pol_server_available(q, s);

		if (available < a)
			continue;
		found[n].server = index;
		found[n].available = available;
		found[n].is_own = h && h->reserved > h->firm + h->soft;
		found[n++].borrowed =
			s->cap - MAX(pol_server_unreserved(s), 0) - (h ? h->reserved : 0);
	}
	qsort(found, n, sizeof(*found), compare_candidates);
	for (size_t i = 0; i < n && left > 0; i++) {
		int64_t take = MIN(found[i].available / a, left);

		g_array_append_val(q->servers, found[i].server);
		g_array_append_val(q->tasks, take);
		left -= take;
	}
	talloc_free(found);
	return tasks - left;
}

int pol_compare_rack_units(gconstpointer a, gconstpointer b)
{
	const int64_t *x = a;
	const int64_t *y = b;

	if (x[0] != y[0])
		return x[0] > y[0] ? -1 : 1;
	return x[1] < y[1] ? -1 : x[1] > y[1];
}

/* fullest use of the fewest racks; the remainder goes where it fits best */
static bool take_many_racks(struct search *q, int64_t now)
{
	GArray *order = g_array_new(FALSE, FALSE, 2 * sizeof(int64_t));
	int64_t left = q->job->spec.tasks;

	for (guint r = 0; r < q->p->racks->len; r++) {
		int64_t pair[2] = {rack_units(q, (int)r), r};

		if (pair[0] > 0 && is_rack_allowed(q, (int)r, now))
			g_array_append_vals(order, pair, 1);
	}
	g_array_sort(order, pol_compare_rack_units);
	for (guint i = 0; i < order->len && left > 0; i++) {
		int64_t *pair = (int64_t *)(void *)(order->data + i * 2 * sizeof(int64_t));

		/* the last rack: the smallest of those that hold the remainder */
		for (guint k = i; pair[0] >= left && k < order->len; k++) {
			int64_t *next = (int64_t *)(void *)(order->data + k * 2 * sizeof(int64_t));

			if (next[0] < left)
				break;
			pair = next;
		}
		left -= take_in_rack(q, (int)pair[1], left);
	}
	g_array_free(order, TRUE);
	return left <= 0;
}

/* urgent work looks at racks that hold something to stop, the emptiest first */
static bool search_urgent(struct search *q)
{
	int64_t left = q->job->spec.tasks;

	for (guint r = 0; r < q->p->racks->len && q->job->spec.one_rack; r++) {
		g_array_set_size(q->servers, 0);
		g_array_set_size(q->tasks, 0);
		if (take_in_rack(q, (int)r, left) == left)
			return true;
	}
	if (q->job->spec.one_rack)
		return false;
	for (guint r = 0; r < q->p->racks->len && left > 0; r++)
		left -= take_in_rack(q, (int)r, left);
	return left <= 0;
}

bool pol_search_run(struct search *q, int64_t now)
{
	int rack;
	bool found;

	g_array_set_size(q->servers, 0);
	g_array_set_size(q->tasks, 0);
	if (q->stage == STAGE_URGENT)
		return search_urgent(q);
	search_add_own(q, 1);
	rack = best_single_rack(q, q->job->spec.tasks, now);
	if (rack != NO_RACK)
		found = take_in_rack(q, rack, q->job->spec.tasks) == q->job->spec.tasks;
	else
		found = !q->job->spec.one_rack && take_many_racks(q, now);
	search_add_own(q, -1);
	return found;
}

/* ---- stopping borrowed work ---- */

static bool is_victim(const struct policy *p, const struct policy_job *victim, int index,
		      const struct policy_job *job, enum stage stage)
{
	const struct server *s = server_at(p, index);
	const struct holding *h = pol_holding_find(s, victim->ws);

	if (victim == job || !victim->spec.checkpointable ||
	    (victim->state != POLICY_PLACED && victim->state != POLICY_AWAITING_PREEMPTION))
		return false;
	if (stage == STAGE_RESERVED)
		return pol_may_displace(p, job, victim, s);
	if (stage == STAGE_URGENT && victim->spec.cls <= job->spec.cls)
		return false;
	if (victim->ws == job->ws)
		return stage == STAGE_URGENT;
	return h->firm + h->soft > h->reserved;
}

/* lowest class first, then the smallest gang, then the one started last */
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

static int64_t stopping_on(const struct policy *p, int index)
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

/* decides to stop work on one server until what is held there fits */
void pol_stop_victims(struct policy *p, struct policy_job *job, int index, enum stage stage)
{
	struct server *s = server_at(p, index);

	while (s->used - stopping_on(p, index) > s->cap) {
		struct policy_job *best = NULL;

		for (guint k = 0; k < s->jobs->len; k++) {
			struct policy_job *other = g_ptr_array_index(s->jobs, k);

			if (is_victim(p, other, index, job, stage) &&
			    (!best || is_better_victim(other, best)))
				best = other;
		}
		if (!best)
			return;
		if (pol_drop_decisions(p, best) || best->state == POLICY_AWAITING_PREEMPTION) {
			/* it has not started, so it only has to wait again */
			pol_job_release(p, best);
			pol_enqueue(p, best);
			continue;
		}
		best->state = POLICY_STOPPING;
		pol_push_decision(p, POLICY_STOP, best);
	}
}

bool pol_is_ready(const struct policy *p, const struct policy_job *job)
{
	for (unsigned int i = 0; i < job->place_count; i++) {
		const struct server *s = server_at(p, job->place_servers[i]);

		if (s->used > s->cap)
			return false;
	}
	return true;
}

/* nothing that is stopping will make room, so the job has to be placed anew */
bool pol_is_stuck(const struct policy *p, const struct policy_job *job)
{
	for (unsigned int i = 0; i < job->place_count; i++) {
		const struct server *s = server_at(p, job->place_servers[i]);

		if (s->used > s->cap && !stopping_on(p, job->place_servers[i]))
			return true;
	}
	return false;
}
