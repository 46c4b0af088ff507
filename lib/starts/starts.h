/**
 * DOC: starts - log lines of the tasks that were started together
 *
 * Load pattern: gangs and steps of many tasks start at once. With a line for each task the rate
 * limit of the logs dropped most of them. Tasks of one group and attempt share a line that names
 * the tasks by server; a line that would be too long is split. No I/O.
 */
#ifndef STARTS_H
#define STARTS_H

#include "work/work.h"

/* most bytes of the tasks and servers in a line; the other fields take less than the rest */
#define STARTS_SERVERS_BYTES_MAX (BASE_LOG_LINE_MAX - 1000)

struct starts;

struct starts *starts_new(TALLOC_CTX *ctx);
/** starts_add() - note that the start of a task was sent to its present server */
void starts_add(struct starts *s, const struct work_task *task);
/**
 * starts_take_line() - fields of the next log line, in order of group, attempt and server
 *
 * Return: a new reference, or NULL when no start is left.
 */
json_t *starts_take_line(struct starts *s);

#endif
