/**
 * DOC: runs - what ran beside a task on its server, also what has ended since
 *
 * The module does no I/O and reads no clock; times are monotonic, in ms. Its memory is bounded.
 */
#ifndef INTERFERENCE_RUNS_H
#define INTERFERENCE_RUNS_H

#include "interference.h"

#define RUNS_SERVERS_MAX 4096 /* runs of all are forgotten when there are more */
#define RUNS_KEPT_MAX 16      /* latest ended runs of one server */
#define RUNS_BESIDE_PERCENT                                                   \
	50 /* a workload ran beside a task for at least this part of its time \
	    */

/**
 * struct run - a task on a server
 * @from: when it started, monotonic ms
 * @to: when it ended, monotonic ms; for one that still runs, the present
 */
struct run {
	uint64_t workload;
	int64_t from;
	int64_t to;
};

struct runs;

/** runs_new() - nothing has run */
struct runs *runs_new(TALLOC_CTX *ctx);
/** runs_note_end() - a task on @server has ended or was stopped */
void runs_note_end(struct runs *r, uint64_t server, const struct run *run);
/**
 * runs_beside() - set what ran beside a task on @server
 * @run: the task, which is not among the ended ones
 * @running: other tasks that are on the server
 * @sample: the workloads are added to @beside, which may hold some of other servers
 *
 * Return: false when there are too many workloads for a sample.
 */
bool runs_beside(const struct runs *r, uint64_t server, const struct run *run,
		 const struct run *running, unsigned int count, struct interference_sample *sample);

#endif
