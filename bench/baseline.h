/**
 * DOC: baseline - two simple schedulers to compare the policy with
 *
 * FIRST_FIT places each task on the first server with enough free accelerators,
 * BEST_FIT on the one with the fewest that suffice. Both start every job that
 * fits, in order of arrival, and ignore guarantees, classes and reservations. A
 * job that has to be in one rack gets the first rack that holds it.
 */
#ifndef BASELINE_H
#define BASELINE_H

#include "base/base.h"

enum baseline_mode { FIRST_FIT, BEST_FIT };

struct baseline;

/**
 * struct baseline_job - a job to place
 * @tasks: number of tasks, which start together
 * @accelerators: accelerators of each task, all in one server
 * @one_rack: all tasks have to be in one rack
 * @servers: allocated by the caller with @tasks entries; server of each task,
 *           in order of baseline_add_server(), once the job is placed
 * @user: for the caller
 */
struct baseline_job {
	int64_t tasks;
	int64_t accelerators;
	bool one_rack;
	int *servers;
	void *user;
};

struct baseline *baseline_new(TALLOC_CTX *ctx, enum baseline_mode mode);
/** baseline_add_server() - add a server to rack number @rack, counted from 0 */
void baseline_add_server(struct baseline *b, int rack, int64_t accelerators);
/** baseline_place() - place the whole job; false when it does not fit now */
bool baseline_place(struct baseline *b, struct baseline_job *job);
void baseline_release(struct baseline *b, struct baseline_job *job);
/** baseline_free_accelerators() - accelerators in use by no job */
int64_t baseline_free_accelerators(const struct baseline *b);
/** baseline_startable_tasks() - tasks of @accelerators each that the free capacity holds */
int64_t baseline_startable_tasks(const struct baseline *b, int64_t accelerators);

#endif
