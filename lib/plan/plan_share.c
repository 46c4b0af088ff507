/*
 * Accounts of workspaces: what each holds and requests.
 *
 * Load pattern: bursts of one kind of work, and callers that return after an outage of the store,
 * fill the pool for some seconds. Of ten workspaces a few are large. The accounts tell an operator
 * who waits then, and who gets how much of what they request.
 */
#include "plan_share.h"

#include <math.h>
#include <string.h>

/* about a task's run time: what has ended longer ago does not tell who lacks capacity now */
#define SHARE_DECAY_MS 5000.0

const char *plan_share_class_name(enum plan_share_class class)
{
	static const char *const names[] = {
#define X(id, name) name,
		PLAN_SHARE_CLASSES(X)
#undef X
	};

	return names[class];
}

struct plan_share *plan_share_new(TALLOC_CTX *ctx)
{
	return talloc_zero(ctx, struct plan_share);
}

/* ---- pools and workspaces ---- */

static void init_user(struct plan_share *s, struct plan_share_user *user, const char *workspace,
		      struct plan_share_pool *pool)
{
	user->workspace = talloc_strdup(s, workspace);
	user->pool = pool;
	for (unsigned int i = 0; i < PLAN_SHARE_CLASS_COUNT; i++)
		user->account[i].user = user;
}

static struct plan_share_pool *find_or_add_pool(struct plan_share *s, const char *service)
{
	struct plan_share_pool *pool;

	for (unsigned int i = 0; i < s->pool_count; i++)
		if (!strcmp(s->pool[i].service, service))
			return &s->pool[i];
	if (s->pool_count == PLAN_SHARE_POOLS)
		return NULL;
	pool = &s->pool[s->pool_count++];
	pool->service = talloc_strdup(s, service);
	init_user(s, &pool->others, PLAN_SHARE_OTHERS, pool);
	return pool;
}

static struct plan_share_user *find_or_add_user(struct plan_share *s, const char *workspace,
						struct plan_share_pool *pool)
{
	for (unsigned int i = 0; i < s->user_count; i++)
		if (s->user[i].pool == pool && !strcmp(s->user[i].workspace, workspace))
			return &s->user[i];
	if (s->user_count == PLAN_SHARE_WORKSPACES)
		return &pool->others;
	init_user(s, &s->user[s->user_count], workspace, pool);
	return &s->user[s->user_count++];
}

static enum plan_share_class class_of(const struct work_job *job)
{
	if (job->priority == QUEUES_URGENT_PRIORITY)
		return PLAN_SHARE_URGENT;
	return job->priority == 1 ? PLAN_SHARE_NORMAL : PLAN_SHARE_BATCH;
}

/* the names are compared once for each job; NULL when there are too many pools */
static struct plan_account *account_of(struct plan_share *s, struct work_job *job)
{
	struct plan_share_pool *pool;

	if (job->account)
		return job->account;
	pool = find_or_add_pool(s, job->service);
	if (pool)
		job->account = &find_or_add_user(s, job->workspace, pool)->account[class_of(job)];
	return job->account;
}

/* ---- counts ---- */

static void restart_account(struct plan_account *a, double decay)
{
	a->mean_held = a->mean_held * decay + a->held * (1 - decay);
	a->mean_requested = a->mean_requested * decay + (a->held + a->waiting) * (1 - decay);
	a->held = 0;
	a->waiting = 0;
	a->held_accelerators = 0;
	a->waiting_accelerators = 0;
}

static void restart_user(struct plan_share_user *user, double decay)
{
	for (unsigned int i = 0; i < PLAN_SHARE_CLASS_COUNT; i++)
		restart_account(&user->account[i], decay);
}

static void sum_capacity(struct plan_share *s, const struct fleet *fleet, int64_t now)
{
	struct plan_share_pool *pool = NULL;

	for (guint i = 0; i < fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(fleet->all, i);

		if (!fleet_accepts_work(sv, now))
			continue;
		if (!pool || strcmp(pool->service, sv->service))
			pool = find_or_add_pool(s, sv->service);
		if (pool)
			fleet_resources_add(&pool->capacity, &sv->capacity, 1);
	}
}

void plan_share_start_round(struct plan_share *s, const struct fleet *fleet, int64_t now)
{
	/* the counts of the former round held until now */
	double decay = s->counted_at ? exp(-(double)(now - s->counted_at) / SHARE_DECAY_MS) : 1;

	for (unsigned int i = 0; i < s->user_count; i++)
		restart_user(&s->user[i], decay);
	for (unsigned int i = 0; i < s->pool_count; i++) {
		restart_user(&s->pool[i].others, decay);
		s->pool[i].capacity = (struct fleet_resources){0};
	}
	sum_capacity(s, fleet, now);
	s->counted_at = now;
}

static double fraction(int64_t need, int64_t capacity)
{
	return capacity > 0 ? (double)need / (double)capacity : 0;
}

/* share of the pool that one task of the step holds, of the resource where it is largest */
static double task_amount(const struct plan_account *a, const struct work_step *step)
{
	const struct fleet_resources *capacity = &a->user->pool->capacity;

	return MAX(fraction(step->need.cpu, capacity->cpu),
		   MAX(fraction(step->need.memory_mb, capacity->memory_mb),
		       fraction(step->need.accelerators, capacity->accelerators)));
}

unsigned int plan_share_count(struct plan_share *s, struct work_group *group, int64_t now)
{
	struct plan_account *a = account_of(s, group->job);
	unsigned int waiting;
	unsigned int held;
	double amount;

	work_group_count(group, &waiting, &held);
	if (!a || (!waiting && !held))
		return waiting;
	amount = task_amount(a, group->step);
	a->held += amount * held;
	a->held_accelerators += group->step->need.accelerators * held;
	if (waiting && group->start_not_before <= now && work_group_is_unblocked(group)) {
		a->waiting += amount * waiting;
		a->waiting_accelerators += group->step->need.accelerators * waiting;
	}
	return waiting;
}

double plan_share_service(const struct plan_account *account)
{
	return account->mean_requested > 0 ? MIN(account->mean_held / account->mean_requested, 1)
					   : 1;
}
