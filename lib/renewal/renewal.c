#include "renewal.h"

static int64_t server_clock(const struct renewal *r, int64_t now)
{
	return r->clock_ms + now - r->clock_at;
}

void renewal_set_limit(struct renewal *r, int64_t fence, int64_t limit, int64_t now)
{
	if (fence < r->fence)
		return;
	r->fence = fence;
	r->limit = limit;
	r->leader_active_at = now;
}

void renewal_set_server_clock(struct renewal *r, int64_t clock_ms, int64_t lease_max_ms,
			      int64_t now)
{
	if (r->limit > clock_ms + RENEWAL_GRANTS_MAX_MS + lease_max_ms)
		r->limit = 0;
	r->clock_ms = clock_ms;
	r->clock_at = now;
}

bool renewal_is_over(const struct renewal *r, int64_t newest_term, int64_t now)
{
	return !r->limit || r->fence < newest_term ||
	       (r->clock_ms && server_clock(r, now) >= r->limit);
}

int64_t renewal_next_lease_until(const struct renewal *r, int64_t newest_term, int64_t lease_max_ms,
				 int64_t now)
{
	int64_t until;

	if (r->polls_in_flight || !r->clock_ms ||
	    now - r->leader_active_at < RENEWAL_LEADER_TIMEOUT_MS ||
	    renewal_is_over(r, newest_term, now))
		return 0;
	until = server_clock(r, now) + lease_max_ms;
	if (until > r->limit)
		until = r->limit;
	return until > r->requested_until ? until : 0;
}
