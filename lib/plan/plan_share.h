/**
 * DOC: plan_share - what each workspace holds and requests
 *
 * The functions do no I/O and read no clock. A round calls plan_share_start_round(), then
 * plan_share_count() for each group of an active job.
 */
#ifndef PLAN_SHARE_H
#define PLAN_SHARE_H

#include "plan.h"

/* accounts of a term; jobs of further workspaces share one account for each pool and class */
#define PLAN_SHARE_WORKSPACES 64
#define PLAN_SHARE_POOLS 16 /* work of further pools is not counted */
#define PLAN_SHARE_OTHERS "other"

#define PLAN_SHARE_CLASSES(X)     \
	X(PLAN_SHARE_URGENT, "0") \
	X(PLAN_SHARE_NORMAL, "1") \
	X(PLAN_SHARE_BATCH, "2")

/** enum plan_share_class - jobs by priority; all priorities from 2 on are one class */
enum plan_share_class {
#define X(id, name) id,
	PLAN_SHARE_CLASSES(X)
#undef X
		PLAN_SHARE_CLASS_COUNT
};

/** plan_share_class_name() - name as listed in PLAN_SHARE_CLASSES */
const char *plan_share_class_name(enum plan_share_class class);

/**
 * struct plan_account - work of one class of one workspace on one pool
 *
 * Amounts without a unit are shares of the pool's capacity in the resource of which the work
 * needs the largest share.
 * @user: the workspace
 * @held: amount of all tasks that have a server
 * @waiting: amount of all tasks that could be placed now
 * @held_accelerators: accelerators of all tasks that have a server
 * @waiting_accelerators: accelerators of all tasks that could be placed now
 * @mean_held: @held with exponential decay by age
 * @mean_requested: @held + @waiting with exponential decay by age
 */
struct plan_account {
	struct plan_share_user *user;
	double held;
	double waiting;
	int64_t held_accelerators;
	int64_t waiting_accelerators;
	double mean_held;
	double mean_requested;
};

/**
 * struct plan_share_user - a workspace as a user of one pool
 * @workspace: its name, or PLAN_SHARE_OTHERS
 * @pool: the pool
 */
struct plan_share_user {
	char *workspace;
	struct plan_share_pool *pool;
	struct plan_account account[PLAN_SHARE_CLASS_COUNT];
};

/**
 * struct plan_share_pool - a pool of backend servers
 * @service: its name
 * @capacity: of all its servers that accept work
 * @others: all workspaces that have no accounts of their own
 */
struct plan_share_pool {
	char *service;
	struct fleet_resources capacity;
	struct plan_share_user others;
};

/**
 * struct plan_share - accounts of a term
 * @counted_at: start of the round whose counts the accounts hold, monotonic ms; 0 before the first
 */
struct plan_share {
	struct plan_share_pool pool[PLAN_SHARE_POOLS];
	unsigned int pool_count;
	struct plan_share_user user[PLAN_SHARE_WORKSPACES];
	unsigned int user_count;
	int64_t counted_at;
};

/** plan_share_new() - accounts without work */
struct plan_share *plan_share_new(TALLOC_CTX *ctx);
/** plan_share_start_round() - add the former counts to the means, then count anew; @now is in ms */
void plan_share_start_round(struct plan_share *s, const struct fleet *fleet, int64_t now);
/**
 * plan_share_count() - count the tasks of a group in the account of its job
 *
 * Must be called once a round for each group of a job that has not ended.
 * Return: number of its tasks that wait.
 */
unsigned int plan_share_count(struct plan_share *s, struct work_group *group, int64_t now);
/**
 * plan_share_service() - accelerator time held over accelerator time requested, lately
 *
 * Return: 0 to 1; 1 when nothing was requested.
 */
double plan_share_service(const struct plan_account *account);

#endif
