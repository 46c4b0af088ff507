/**
 * DOC: renewal - leases that an entry VM renews while the leader is silent
 *
 * Load pattern: a failure domain is partitioned from the leader for seconds,
 * together with its entry VMs and backend servers. The leader can't renew leases
 * there. Each poll that it sends through an entry VM therefore carries a limit up to
 * which leases may be renewed. While the leader is silent, that VM requests leases up
 * to this limit.
 *
 * The limit is a time on the server's own clock, so a VM that resumes after a pause
 * or receives an order late can't request a longer lease. The functions do no I/O;
 * local times are in ms on any monotonic clock.
 */
#ifndef RENEWAL_H
#define RENEWAL_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct renewal - lease renewal state of one server on an entry VM
 * @fence: fence of the poll that set @limit, at least its leader's term
 * @limit: latest permitted lease end, on the server's clock in ms; 0 forbids renewal
 * @requested_until: latest lease end that this VM has requested by itself, 0 for none
 * @clock_ms: server's clock in its last answer, 0 before the first answer
 * @clock_at: local time of that answer
 * @leader_active_at: local time at which the leader's last poll arrived or was answered
 * @polls_in_flight: polls of the leader or of this VM that the server has not answered
 */
struct renewal {
	int64_t fence;
	int64_t limit;
	int64_t requested_until;
	int64_t clock_ms;
	int64_t clock_at;
	int64_t leader_active_at;
	unsigned int polls_in_flight;
};

/* a working leader sends the next poll within 1.5 s of an answer */
#define RENEWAL_LEADER_TIMEOUT_MS 2000
/* longest time for which a leader, or an agent for it, grants leases without the store's word */
#define RENEWAL_GRANTS_MAX_MS 4000

/** renewal_set_limit() - record the limit of a poll; one with a lower fence is ignored */
void renewal_set_limit(struct renewal *r, int64_t fence, int64_t limit, int64_t now);
/**
 * renewal_set_server_clock() - record the clock in an answer to a poll of any origin
 * @lease_max_ms: longest lease that a server grants
 *
 * The leader may have set the limit on the clock of an earlier incarnation of the server. A limit
 * that is further ahead of @clock_ms than it can set one is dropped.
 */
void renewal_set_server_clock(struct renewal *r, int64_t clock_ms, int64_t lease_max_ms,
			      int64_t now);
/** renewal_is_over() - no further lease can be requested until the leader sets a new limit */
bool renewal_is_over(const struct renewal *r, int64_t newest_term, int64_t now);
/**
 * renewal_next_lease_until() - lease end to request now, on the server's clock in ms, or 0
 * @newest_term: highest leader term that this VM has seen
 * @lease_max_ms: longest lease that a server grants
 */
int64_t renewal_next_lease_until(const struct renewal *r, int64_t newest_term, int64_t lease_max_ms,
				 int64_t now);

#endif
