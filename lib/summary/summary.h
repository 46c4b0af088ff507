/**
 * DOC: summary - where the time of jobs went, from log lines
 *
 * Each line of the site's daemons that concerns a job changes what the job waits for. The
 * time between two lines counts for what the job waited for in between, unless a line that
 * would have ended that wait may have been dropped. The module does no I/O; lines may come in
 * any order, as they do from the logs of several VMs.
 */
#ifndef SUMMARY_H
#define SUMMARY_H

#include "base/base.h"

/* what a job spends its time on */
#define SUMMARY_PHASES(X)                                                                          \
	X(PHASE_ACCEPT, "accept")	    /* from the first submission until it is stored */     \
	X(PHASE_LEADER, "leader")	    /* stored, not yet known to a leader */                \
	X(PHASE_CAPACITY, "capacity")	    /* known, not yet placed */                            \
	X(PHASE_STORE, "store")		    /* placed; the assignment is being stored */           \
	X(PHASE_RUN, "run")		    /* its tasks run */                                    \
	X(PHASE_SLOW, "slow")		    /* a task was stopped for lack of progress */          \
	X(PHASE_UNREACHABLE, "unreachable") /* a server did not answer, or has gone */             \
	X(PHASE_PREEMPTED, "preempted")	    /* a task was stopped for urgent work or a drain */    \
	X(PHASE_FAILED, "failed")	    /* a task failed and starts again */                   \
	X(PHASE_SHOW, "show")		    /* the last task has ended; the state is not stored */ \
	X(PHASE_MISSING, "missing")	    /* not known, as log lines were dropped */

enum summary_phase {
#define X(id, name) id,
	SUMMARY_PHASES(X)
#undef X
		PHASE_COUNT
};

#define SUMMARY_OUTCOMES(X)                                                              \
	X(SUMMARY_IN_TIME, "in time")                                                    \
	X(SUMMARY_LATE, "late")		/* up to WORK_LATE_FACTOR times its objective */ \
	X(SUMMARY_TOO_LATE, "too late") /* complete after that */                        \
	X(SUMMARY_FAILED, "failed")                                                      \
	X(SUMMARY_CANCELLED, "cancelled")                                                \
	X(SUMMARY_REJECTED, "rejected") /* no submission was accepted */                 \
	X(SUMMARY_OPEN, "open")		/* no end in these logs */

enum summary_outcome {
#define X(id, name) id,
	SUMMARY_OUTCOMES(X)
#undef X
		SUMMARY_OUTCOME_COUNT
};

const char *summary_phase_name(enum summary_phase phase);
const char *summary_outcome_name(enum summary_outcome outcome);

/**
 * struct summary_row - jobs of one queue and outcome
 * @queue: name of the queue; empty for jobs of which only submissions are logged
 * @priority: its priority, -1 when not known
 * @phase_us: time that the jobs spent in each phase, in us
 */
struct summary_row {
	const char *queue;
	int64_t priority;
	enum summary_outcome outcome;
	unsigned int jobs;
	int64_t phase_us[PHASE_COUNT];
};

/**
 * struct summary_waste - work that was thrown away for one cause
 * @cause: as in the log line that stopped the tasks
 * @core_ms: run time of the tasks times their cores, accelerators included; in ms
 */
struct summary_waste {
	const char *cause;
	unsigned int tasks;
	int64_t core_ms;
};

struct summary;

struct summary *summary_new(TALLOC_CTX *ctx);
/** summary_add_line() - read one line, with or without a prefix before its JSON object */
void summary_add_line(struct summary *s, const char *line);
/** summary_malformed() - lines that held no JSON object or could not be decoded */
uint64_t summary_malformed(const struct summary *s);
/** summary_dropped() - lines of jobs that the rate limit of the logs dropped */
uint64_t summary_dropped(const struct summary *s);
/** summary_rows() - struct summary_row, by priority, queue and outcome; owned by @s */
GPtrArray *summary_rows(struct summary *s);
/** summary_wastes() - struct summary_waste, the largest first; owned by @s */
GPtrArray *summary_wastes(struct summary *s);

#endif
