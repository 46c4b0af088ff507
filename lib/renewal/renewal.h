/**
 * DOC: renewal - leases of a backend server that an entry VM may go on renewing
 *
 * Load pattern: a failure domain is cut off for seconds, with its own entry VMs
 * and all that runs on its servers. The leader outside can't renew leases there,
 * so each look that it has an entry VM carry out also says until when leases may
 * reach. While the leader is silent, that VM asks for leases up to this limit.
 *
 * The limit is a time on the server's own clock. A VM that was paused and wakes
 * late, or counts from a late order, can't ask for more. Pure; local times are
 * in ms on any monotonic clock.
 */
#ifndef RENEWAL_H
#define RENEWAL_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct renewal - what an entry VM knows of one server
 * @term: of the leader that said so
 * @limit: no lease beyond, on the server's clock; 0 when nothing may be renewed
 * @requested_until: the latest lease that this VM has asked for by itself, 0 for none
 * @clock_ms: the server's clock when it last answered, 0 before
 * @clock_at: local time of that answer
 * @leader_active_at: local time at which the leader's last look came or was answered
 * @looks: looks in flight
 */
struct renewal {
	int64_t term;
	int64_t limit;
	int64_t requested_until;
	int64_t clock_ms;
	int64_t clock_at;
	int64_t leader_active_at;
	unsigned int looks;
};

/* a leader that is well sends the next look within 1.5 s of an answer */
#define RENEWAL_LEADER_TIMEOUT_MS 2000

/** renewal_set_limit() - the leader has a look carried out; an older term changes nothing */
void renewal_set_limit(struct renewal *r, int64_t term, int64_t limit, int64_t now);
/** renewal_set_server_clock() - the server's answer to any look, that of its own clock included */
void renewal_set_server_clock(struct renewal *r, int64_t clock_ms, int64_t now);
/** renewal_is_over() - nothing can be asked for any more, whatever time brings */
bool renewal_is_over(const struct renewal *r, int64_t newest_term, int64_t now);
/**
 * renewal_next_lease_until() - the lease to ask for now, on the server's clock, or 0
 * @newest_term: of the newest leader that this VM has heard of
 * @lease_max_ms: the longest lease that a server grants
 */
int64_t renewal_next_lease_until(const struct renewal *r, int64_t newest_term, int64_t lease_max_ms,
				 int64_t now);

#endif
