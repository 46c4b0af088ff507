/*
 * The time up to which this leader grants leases, stored so that the next leader knows it.
 *
 * The row holds a time on the store's clock. The leader moves it on while it leads, and
 * starts tasks and renews leases only up to it. The row is written under the condition that
 * the leader's row is current. The next leader reads it after it has won, when it can change
 * no more, and thus knows when the last lease of its predecessor has ended. Without it, the
 * next leader would have to assume that its predecessor granted leases until a moment ago,
 * even if all VMs were down for longer than any lease.
 */
#include "sited_lead.h"

#include <string.h>

#include "mtimer/mtimer.h"

#define GRANT_INTERVAL_MS 1000 /* between the writes of the row */
/*
 * Beyond LEAD_UNCONFIRMED_MAX_MS, so that grants go on while some writes fail and reads work. Each
 * second of it makes the next leader wait as long for servers that do not answer.
 */
#define GRANT_AHEAD_MS 6000
#define GRANT_INVALID_RETRY_MS 1000

/* a call in flight; it outlives the term */
struct grant_call {
	struct sited *d;
	uint64_t serial;
	int64_t sent_at; /* ms on base_boottime_ns()'s clock */
};

static void read_row(struct lead *l);
static void write_row(struct lead *l);

static int64_t boottime_ms(void)
{
	return base_boottime_ns() / BASE_NS_PER_MS;
}

static struct grant_call *call_new(struct lead *l)
{
	struct grant_call *call = talloc_zero(l->d, struct grant_call);

	call->d = l->d;
	call->serial = l->serial;
	call->sent_at = boottime_ms();
	return call;
}

/* the clock is read at the answer or before, so counting from the sending never sets it too low */
static void record_clock(struct lead *l, const struct grant_call *call,
			 const struct store_result *r)
{
	if (!r->now_ms)
		return;
	l->grant.clock_ms = r->now_ms;
	l->grant.clock_at = call->sent_at;
}

static void on_write_timer(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	write_row(data);
}

static void on_read_timer(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	read_row(data);
}

/* the bound sent at @sent_at is stored */
static void extend(struct lead *l, int64_t sent_at)
{
	bool was_over = lead_grants_end_ms(l) <= 0;

	l->grant.until = MAX(l->grant.until, sent_at + GRANT_AHEAD_MS);
	if (was_over)
		lead_request_round(l);
}

static void write_later(struct lead *l, int64_t sent_at)
{
	int64_t delay_ms = MAX(sent_at + GRANT_INTERVAL_MS - boottime_ms(), 0);

	mtimer_add(l, l->d->ev, base_deadline_in(delay_ms), on_write_timer, l);
}

/*
 * Applies the bound of the former leader. A row of an earlier term says nothing about it: a
 * leader of a version without this row may have led in between.
 */
static void apply_former(struct lead *l, int64_t term, int64_t until_ms, int64_t now_ms)
{
	int64_t left_ms = until_ms - now_ms;

	l->grant.floor_ms = until_ms;
	if (term != l->term - SITED_FENCES_PER_TERM)
		return;
	l->grant.former_over_at =
		sited_now_ms() + left_ms + lead_leases_wait_ms(l) - LEAD_UNCONFIRMED_MAX_MS;
	log_event("former_leases", "{sI sI}", "term", (json_int_t)l->term, "over_in_ms",
		  (json_int_t)MAX(l->grant.former_over_at - sited_now_ms(), 0));
}

static void apply_row(struct lead *l, const struct store_result *r)
{
	bool found = r->count && !strcmp(store_key_text(&r->rows[0]), SITED_LEAD_KEY);
	json_t *v = found ? json_loadb(r->rows[0].value.ptr, r->rows[0].value.len, 0, NULL) : NULL;
	int64_t term = base_json_int(v, "term", 0);

	l->grant.row_version = found ? r->rows[0].version : 0;
	if (term && term < l->term)
		apply_former(l, term, base_json_int(v, "until_ms", 0), r->now_ms);
	/* a write that got no answer was performed */
	if (term == l->term && base_json_int(v, "until_ms", 0) == l->grant.sent_ms)
		extend(l, l->grant.sent_at);
	json_decref(v);
}

static void on_read(const struct store_result *r, void *data)
{
	struct grant_call *call = data;
	struct lead *l = lead_current(call->d, call->serial);

	if (!l)
		goto out;
	if (r->status != STORE_OK || !r->now_ms) {
		mtimer_add(l, l->d->ev, base_deadline_in(SITED_STORE_RETRY_MS), on_read_timer, l);
		goto out;
	}
	record_clock(l, call, r);
	apply_row(l, r);
	write_row(l);
out:
	talloc_free(call);
}

static void read_row(struct lead *l)
{
	const struct store_range range = {SITED_GRANT_TABLE, "", str_from(SITED_LEAD_KEY), 1};

	store_read(l->d->store, &range, base_deadline_in(SITED_STORE_TIMEOUT_MS), on_read,
		   call_new(l));
}

/* @l may be freed: the conflict may be with the row of the next leader */
static void resolve_conflict(struct lead *l, const struct store_result *r)
{
	const struct store_row *leader = store_find_row(r, SITED_LEAD_TABLE, SITED_LEAD_KEY);
	const struct store_row *grant = store_find_row(r, SITED_GRANT_TABLE, SITED_LEAD_KEY);

	if (leader && leader->version > l->row_version) {
		sited_check_leader_row(l->d, leader);
	} else if (leader && grant && grant->version < l->grant.row_version) {
		l->grant.row_version = grant->version;
		write_row(l);
	} else {
		mtimer_add(l, l->d->ev, base_deadline_in(SITED_STORE_RETRY_MS), on_read_timer, l);
	}
}

static void on_written(const struct store_result *r, void *data)
{
	struct grant_call *call = data;
	struct lead *l = lead_current(call->d, call->serial);

	if (!l)
		goto out;
	switch (r->status) {
	case STORE_OK:
		record_clock(l, call, r);
		/*
		 * An upper bound. Only the leader of this row's term writes the row, so a version
		 * above the row's own is that of no other write of it: the next write conflicts.
		 */
		l->grant.row_version = r->newest;
		extend(l, call->sent_at);
		write_later(l, call->sent_at);
		break;
	case STORE_CONFLICT:
		record_clock(l, call, r);
		resolve_conflict(l, r);
		break;
	case STORE_UNKNOWN:
		/* the row may have been written: its version is needed to write the next one */
		read_row(l);
		break;
	case STORE_REFUSED:
		/* a read also brings the store's clock up to date */
		mtimer_add(l, l->d->ev, base_deadline_in(SITED_STORE_RETRY_MS), on_read_timer, l);
		break;
	case STORE_HISTORY_GONE:
	case STORE_INVALID:
		mtimer_add(l, l->d->ev, base_deadline_in(GRANT_INVALID_RETRY_MS), on_read_timer, l);
		break;
	}
out:
	talloc_free(call);
}

static char *encode_row(TALLOC_CTX *ctx, const struct lead *l, int64_t until_ms)
{
	return talloc_asprintf(ctx, "{\"term\":%" PRId64 ",\"until_ms\":%" PRId64 "}", l->term,
			       until_ms);
}

static void write_row(struct lead *l)
{
	struct grant_call *call = call_new(l);
	struct store_tx *tx = store_tx_new(call, "");
	int64_t store_ms = l->grant.clock_ms + call->sent_at - l->grant.clock_at;
	char *value;

	/* an earlier leader's bound may be later, when its calls took long */
	l->grant.sent_ms =
		MAX(store_ms + GRANT_AHEAD_MS * LEAD_CLOCK_MARGIN_PERCENT / 100, l->grant.floor_ms);
	l->grant.sent_at = call->sent_at;
	value = encode_row(tx, l, l->grant.sent_ms);
	store_tx_expect(tx, SITED_LEAD_TABLE, SITED_LEAD_KEY, l->row_version);
	store_tx_expect(tx, SITED_GRANT_TABLE, SITED_LEAD_KEY, l->grant.row_version);
	store_tx_put(tx, SITED_GRANT_TABLE, SITED_LEAD_KEY, str_from(value));
	store_commit(l->d->store, tx, base_deadline_in(SITED_STORE_TIMEOUT_MS), on_written, call);
	talloc_free(tx);
}

void lead_grant_start(struct lead *l)
{
	l->grant.former_over_at = INT64_MAX;
	read_row(l);
}
