/**
 * DOC: silence - decides whether a failure domain may be cut off
 *
 * The VMs of a failure domain ping the leader at a fixed interval. When all of them
 * are silent, the domain's backend servers may be unreachable as well. The function
 * does no I/O; times are in ms on any monotonic clock.
 */
#ifndef SILENCE_H
#define SILENCE_H

#include <stdint.h>

#define SILENCE_MIN_MS 700	/* no ping of any VM; three are missing, in a small site */
#define SILENCE_SLACK_MS 500	/* a ping this late is missing */
#define SILENCE_FORGET_MS 60000 /* a VM without contact for this long has been replaced */

/** silence_limit_ms() - time without contact after which a single VM counts as silent */
static inline int64_t silence_limit_ms(int64_t interval_ms)
{
	return interval_ms + SILENCE_SLACK_MS;
}

/**
 * silence_since() - since when all VMs of a failure domain have been silent
 * @contacts: when each VM of the domain was last in contact; 0 for never
 * @count: number of entries in @contacts
 * @interval_ms: time between two pings of a VM
 * Return: 0 while a VM is in contact, and when none was within SILENCE_FORGET_MS.
 */
int64_t silence_since(const int64_t *contacts, unsigned int count, int64_t interval_ms,
		      int64_t now);

#endif
