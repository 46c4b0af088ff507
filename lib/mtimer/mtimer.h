/**
 * DOC: mtimer - timers on the monotonic clock for a tevent loop
 *
 * tevent's own timers follow the time of day and fire late or early when that
 * clock is set. These are driven by a timerfd, one for each loop.
 */
#ifndef MTIMER_H
#define MTIMER_H

#include <tevent.h>
#include "base/base.h"

struct mtimer;

typedef void mtimer_handler(struct mtimer *timer, void *data);

/**
 * mtimer_add() - call @handler once, at @deadline or soon after
 * @ctx: owner; freeing it or the timer cancels the call
 * @deadline: on base_now_ns()'s clock, in ns
 *
 * The timer is freed after the call, not by @handler. It belongs to the thread of @ev.
 * Return: the timer, or NULL when no timerfd can be had.
 */
struct mtimer *mtimer_add(TALLOC_CTX *ctx, struct tevent_context *ev, int64_t deadline,
			  mtimer_handler *handler, void *data);

#endif
