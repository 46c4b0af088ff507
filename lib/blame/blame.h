/**
 * DOC: blame - which tasks are to blame for the crash of a backend server
 *
 * A task may crash each server that starts it. The job of such a task must be given up, and sound
 * tasks must not be, which were on the same servers or on servers that crash for other reasons.
 * The module does no I/O and reads no clock; times are in ms on any monotonic clock.
 *
 * Each crash gives points to the tasks that it can be blamed on. The points are stored
 * with the task, so that they outlast a leader.
 */
#ifndef BLAME_H
#define BLAME_H

#include "work/work.h"

/* a task that its server has not listed so long after its start is new there */
#define BLAME_NEW_MS 1000
#define BLAME_CLEAR 2	      /* points: no other job, and no fault of the server, is as likely */
#define BLAME_UNCLEAR 1	      /* points: there are other explanations */
#define BLAME_MEMORY_MS 20000 /* a server that crashes again within this may be at fault itself */
/* servers that fall silent within this time have a common cause, such as a loss of power */
#define BLAME_TOGETHER_MS 100
#define BLAME_TOGETHER_SERVERS 2 /* so many others */
#define BLAME_SIGNS_MAX 10000	 /* remembered at most */

struct blame;

/** blame_new() - no crash is remembered */
struct blame *blame_new(TALLOC_CTX *ctx);
/** blame_note_silence() - the first call to @sv without an answer ended at @at */
void blame_note_silence(struct blame *b, const struct fleet_server *sv, int64_t at);
/**
 * blame_crash() - points for each task on a server that has crashed
 * @seen_at: when the server last listed what it runs; 0 if never
 * @crashed_at: when the first sign of the crash was seen
 * @points: room for as many as @sv has tasks, in their order
 *
 * A new task that has never run for BLAME_NEW_MS on any server gets BLAME_CLEAR when no other
 * job has such tasks there, it has certainly run there and the server has no other fault, else
 * BLAME_UNCLEAR. So its points
 * bound the number of crashes under it. All others get points only without a better
 * explanation: no such task there, and no servers that fell silent together. A server that was
 * leaving has not crashed.
 */
void blame_crash(struct blame *b, const struct fleet_server *sv, int64_t seen_at,
		 int64_t crashed_at, unsigned int *points);

#endif
