/**
 * DOC: mtimer - timers on the monotonic clock for a tevent loop
 *
 * tevent's own timers follow the wall clock and fire late or early when that
 * clock is set. The timers of this module are driven by one timerfd per loop on
 * CLOCK_MONOTONIC.
 */
#ifndef MTIMER_H
#define MTIMER_H

#include <tevent.h>
#include "base/base.h"

struct mtimer;

typedef void mtimer_handler(struct mtimer *timer, void *data);

/**
 * mtimer_add() - call @handler once, at @deadline or soon after
 * @ctx: owner of the timer; freeing @ctx or the timer cancels the call
 * @deadline: in ns on the clock of base_now_ns()
 *
 * The timer is freed after @handler has returned; @handler must not free it.
 * Only the thread that runs @ev may add or free its timers.
 * Return: the timer, or NULL when no timerfd can be created.
 */
struct mtimer *mtimer_add(TALLOC_CTX *ctx, struct tevent_context *ev, int64_t deadline,
			  mtimer_handler *handler, void *data);

#endif
