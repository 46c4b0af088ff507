/**
 * DOC: baseline - two simple schedulers that the policy is measured against
 *
 * FIRST_FIT starts, in order of arrival, every job that fits, each task on the
 * first server with room. BEST_FIT puts each task on the server with the least
 * room that suffices. Neither knows guarantees, classes or reservations; a job
 * that wants one rack gets the first (or fullest) rack that holds it.
 */
#ifndef BASELINE_H
#define BASELINE_H

#include "base/base.h"

enum baseline_mode { FIRST_FIT, BEST_FIT };

struct baseline;
struct baseline_job {
	int64_t tasks;
	int64_t accelerators;
	bool one_rack;
	int *servers; /* one per task, set when placed */
	void *user;
};

struct baseline *baseline_new(TALLOC_CTX *ctx, enum baseline_mode mode);
void baseline_add_server(struct baseline *b, int rack, int64_t accelerators);
/** baseline_place() - place the job now; false when it does not fit */
bool baseline_place(struct baseline *b, struct baseline_job *job);
void baseline_release(struct baseline *b, struct baseline_job *job);
int64_t baseline_free_accelerators(const struct baseline *b);
/** baseline_startable_tasks() - largest gang of @accelerators each that would start now */
int64_t baseline_startable_tasks(const struct baseline *b, int64_t accelerators);

#endif
