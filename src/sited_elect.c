/*
 * Leader election. A row in the store names the leader and its term. The row is
 * replaced only by a transaction that expects its version, so exactly one VM wins.
 * VMs detect a failed leader by pings, not through the store: a heartbeat there
 * would cost a write each time, and the store may be down while the leader works.
 */
#include "sited_lead.h"

#include <string.h>

#include "mtimer/mtimer.h"

/* A leader that has answered no ping for this long is replaced. */
#define SILENCE_MAX_MS 700
#define SILENCE_PER_VM_MS 2 /* a leader's work and answer delay grow with the site */
/* A new leader first reads all rows and polls all servers, and may answer slowly. */
#define NEW_LEADER_PERIOD_MS 4000
#define NEW_LEADER_SILENCE_MAX_MS 1700
/*
 * Load pattern: on small VMs or links, a new leader that reads all rows answers as few
 * pings as its predecessor, and would be replaced while it reads. Each change of leader
 * that soon follows another therefore doubles the silence allowed to the next leader.
 */
#define LEAD_CHANGES_MS 10000
#define SILENCE_DOUBLINGS_MAX 2
/*
 * Load pattern: a failure domain was cut off, and its VMs see the store again before their
 * connections to the leader have recovered. Silence counts only from this time after the
 * store's return on, so that they don't replace a healthy leader.
 */
#define RECONNECT_MS 1500
#define REFUSALS_MAX 2		   /* pings that no process accepted at its address */
#define UNANSWERED_PROBE_MIN 2	   /* unanswered pings before the store is probed */
#define CONTEND_SMALL_DELAY_MS 120 /* longer than a transaction of a large VM takes */
/* After an outage of the store, transactions of large VMs may be lost or still in flight. */
#define CONTEND_SMALL_LONG_DELAY_MS 800
#define SMALL_TERM_MIN_MS 3000
#define CONTEND_SPREAD_MS 20	   /* random delay, so that VMs do not contend all at once */
#define CONTEND_SPREAD_PER_VM_MS 2 /* transactions take 8 ms each and run in sequence */
/*
 * During a rolling restart, a VM that was restarted recently should become the
 * leader, because it is not restarted again soon.
 */
#define CONTEND_AGE_MAX_MS 40
#define AGE_MS_PER_DELAY_MS 1000 /* delay of 1 ms for each 1000 ms since the start */
#define HANDOVER_TIMEOUT_MS 400	 /* longest wait for answers to transactions in flight */
#define HANDOVER_POLL_MS 10
#define LEADER_STORE_FAILING_MAX_MS 500 /* for the leader alone; then it is replaced */
/*
 * Load pattern: the store was away for all. A VM that sees it again, or has just started,
 * can't tell whether the leader alone is cut off until the calls that the leader sent in the
 * outage have timed out.
 */
#define SERVING_MIN_MS (SITED_STORE_TIMEOUT_MS + LEADER_STORE_FAILING_MAX_MS)
#define PROBE_TIMEOUT_MS 500 /* a store 60 times slower than usual answers in time */

static void read_row(struct sited *d);
static void contend(struct sited *d, const char *why);
static void on_follow(struct mtimer *timer, void *data);

/* ---- the leader's row ---- */

static char *encode_row(TALLOC_CTX *ctx, const struct sited *d, int64_t term, bool is_vacant)
{
	json_t *v =
		json_pack("{ss ss si sI}", "vm", is_vacant ? "" : d->site->vm, "ip",
			  d->site->peers.ip, "port", d->site->peers.port, "term", (json_int_t)term);
	json_t *leases = is_vacant ? lead_servers_encode_leases(d->lead) : NULL;
	char *text;

	if (leases)
		json_object_set_new(v, "leases", leases);
	text = base_json_text(ctx, v);
	json_decref(v);
	return text;
}

static void schedule_follow(struct sited *d)
{
	mtimer_add(d, d->ev, base_now_ns(), on_follow, d);
}

static void set_leader(struct sited *d, const struct sited_leader_row *row, const char *source)
{
	struct sited_leader *leader = &d->leader;
	bool follows_soon = leader->vm[0] && row->vm[0] &&
			    base_now_ns() - leader->known_at < LEAD_CHANGES_MS * BASE_NS_PER_MS;

	leader->changes = follows_soon ? leader->changes + 1 : 0;
	sited_free_client_later(d, &d->leader.client);
	g_strlcpy(leader->vm, row->vm, sizeof(leader->vm));
	g_strlcpy(leader->address.ip, row->ip, sizeof(leader->address.ip));
	leader->address.port = row->port;
	leader->term = MAX(leader->term, row->term);
	leader->version = row->version;
	leader->known_at = base_now_ns();
	leader->last_contact_at = 0;
	leader->store_failing_ms = 0;
	leader->unanswered = 0;
	leader->refusals = 0;
	if (leader->vm[0] && strcmp(leader->vm, d->site->vm))
		leader->client = onc_client_new(d, d->ev, leader->address.ip, leader->address.port);
	log_event("leader_known", "{ss sI sI ss}", "leader", leader->vm, "term",
		  (json_int_t)leader->term, "row_version", (json_int_t)row->version, "source",
		  source);
}

static void end_lost_term(struct sited *d, int64_t newer)
{
	log_event("lead_lost", "{sI sI sI}", "term", (json_int_t)d->lead->term, "row_version",
		  (json_int_t)d->lead->row_version, "newer", (json_int_t)newer);
	TALLOC_FREE(d->lead);
	d->lead_serial++;
}

static void apply_leader_row(struct sited *d, const struct store_row *stored)
{
	json_t *v = json_loadb(stored->value.ptr, stored->value.len, 0, NULL);
	struct sited_leader_row row = {.vm = base_json_str(v, "vm", ""),
				       .ip = base_json_str(v, "ip", ""),
				       .port = (uint16_t)base_json_int(v, "port", 0),
				       .term = base_json_int(v, "term", 0),
				       .version = stored->removed ? 0 : stored->version};

	if (d->leader.version < 0 || row.version > d->leader.version) {
		set_leader(d, &row, "the store");
		/* The row may name a VM that has restarted and does not lead. */
		schedule_follow(d);
	}
	json_decref(v);
}

void sited_leader_reported(struct sited *d, const struct sited_leader_row *row, const char *source)
{
	if (row->version <= 0 || row->version <= d->leader.version)
		return;
	if (d->lead && row->version > d->lead->row_version)
		end_lost_term(d, row->version);
	if (!d->lead)
		set_leader(d, row, source);
}

/* the leader's row in the answer to a read; a removed row when the store has none */
static const struct store_row *leader_row_of(const struct store_result *r)
{
	static const struct store_row none = {.removed = true};

	return r->count && !strcmp(store_key_text(&r->rows[0]), SITED_LEAD_KEY) ? &r->rows[0]
										: &none;
}

static void on_row(const struct store_result *r, void *data)
{
	struct sited *d = data;

	if (r->status != STORE_OK)
		return;
	if (d->lead)
		sited_check_leader_row(d, leader_row_of(r));
	else
		apply_leader_row(d, leader_row_of(r));
}

static const struct store_range lead_range = {
	SITED_LEAD_TABLE, "", {SITED_LEAD_KEY, sizeof(SITED_LEAD_KEY) - 1}, 1};

static void read_row(struct sited *d)
{
	store_read(d->store, &lead_range, base_deadline_in(SITED_STORE_TIMEOUT_MS), on_row, d);
}

static void on_store_probed(const struct store_result *r, void *data)
{
	struct sited *d = data;

	d->is_probing = false;
	on_row(r, d);
}

/* When other VMs are silent, this VM may be cut off; a read of the store shows whether it is. */
static void probe_store(struct sited *d)
{
	if (d->is_probing || store_failing_ms(d->store))
		return;
	d->is_probing = true;
	store_read(d->store, &lead_range, base_deadline_in(PROBE_TIMEOUT_MS), on_store_probed, d);
}

void sited_check_leader_row(struct sited *d, const struct store_row *row)
{
	if (!d->lead || row->version <= d->lead->row_version)
		return;
	end_lost_term(d, row->version);
	apply_leader_row(d, row);
}

void sited_step_down(struct sited *d, const char *why)
{
	if (!d->lead)
		return;
	log_event("lead_given_up", "{sI ss}", "term", (json_int_t)d->lead->term, "why", why);
	TALLOC_FREE(d->lead);
	d->lead_serial++;
	d->leader.version = -1;
}

void sited_verify_leadership(struct sited *d, const char *why)
{
	log_event("lead_doubted", "{sI ss}", "term", (json_int_t)(d->lead ? d->lead->term : 0),
		  "why", why);
	read_row(d);
}

/* ---- contending ---- */

/*
 * Applies the row in the store's answer to a contention. It also replaces a row of a higher
 * version, if that is the one that the contention expected: a peer may have reported a version
 * that no row has, and no row would count as newer.
 */
static void apply_contended_row(struct sited *d, const struct store_row *row)
{
	if (d->leader.version == d->contended_version && row->version < d->contended_version) {
		log_event("lead_version_wrong", "{sI sI}", "expected",
			  (json_int_t)d->contended_version, "row_version",
			  (json_int_t)row->version);
		d->leader.version = -1;
	}
	apply_leader_row(d, row);
}

static bool is_own_win(const struct sited *d, const struct store_row *row)
{
	json_t *v = json_loadb(row->value.ptr, row->value.len, 0, NULL);
	bool is_own = !strcmp(base_json_str(v, "vm", ""), d->site->vm) &&
		      base_json_int(v, "term", 0) == d->contended_term;

	json_decref(v);
	return is_own;
}

/* The row as it was read after this VM's transaction: only now is its version known. */
static void on_win_read(const struct store_result *r, void *data)
{
	struct sited *d = data;
	const struct store_row *row = leader_row_of(r);

	d->is_contending = false;
	if (r->status != STORE_OK) {
		/* The row names this VM, which contends again once it has read it. */
		d->leader.version = -1;
		return;
	}
	if (!is_own_win(d, row)) {
		apply_contended_row(d, row);
		return;
	}
	/* A peer may have reported a newer row before this answer arrived. */
	if (row->version < d->leader.version)
		return;
	d->leader.version = row->version;
	/* Not one above the known term: a peer may have reported this row already. */
	d->leader.term = d->contended_term;
	sited_free_client_later(d, &d->leader.client);
	g_strlcpy(d->leader.vm, d->site->vm, sizeof(d->leader.vm));
	if (d->stop_at)
		return;
	d->lead = lead_new(d, d->leader.term, row->version, d->contended_at);
	d->lead->handover = json_incref(d->handover);
	d->lead->handover_read_at = d->handover_read_at;
	sited_announce_lead(d);
}

static void on_contended(const struct store_result *r, void *data)
{
	struct sited *d = data;

	if (r->status == STORE_OK) {
		store_read(d->store, &lead_range, base_deadline_in(SITED_STORE_TIMEOUT_MS),
			   on_win_read, d);
		return;
	}
	d->is_contending = false;
	if (r->status != STORE_CONFLICT || !r->count) {
		/* If the transaction was performed, the row names this VM, which contends again. */
		d->leader.version = -1;
		return;
	}
	apply_contended_row(d, &r->rows[0]);
}

static void send_contention(struct sited *d)
{
	struct store_tx *tx = store_tx_new(d, "");
	char *value;

	d->contended_term = d->leader.term + SITED_FENCES_PER_TERM;
	d->contended_at = sited_now_ms();
	value = encode_row(tx, d, d->contended_term, false);
	store_tx_expect(tx, SITED_LEAD_TABLE, SITED_LEAD_KEY, d->leader.version);
	store_tx_put(tx, SITED_LEAD_TABLE, SITED_LEAD_KEY, str_from(value));
	store_commit(d->store, tx, base_deadline_in(SITED_STORE_TIMEOUT_MS), on_contended, d);
	talloc_free(tx);
}

/* The reason to contend applies only to the row that was current then. */
static bool is_contention_obsolete(const struct sited *d)
{
	return d->stop_at || d->lead || d->leader.version != d->contended_version;
}

/*
 * Keeps what the former leader stored about leases. Its times count from this read, which
 * is later than the write.
 */
static void remember_handover(struct sited *d, const struct store_result *r)
{
	json_t *v;

	json_decref(d->handover);
	d->handover = NULL;
	if (!r->count || strcmp(store_key_text(&r->rows[0]), SITED_LEAD_KEY) ||
	    r->rows[0].version != d->contended_version)
		return;
	v = json_loadb(r->rows[0].value.ptr, r->rows[0].value.len, 0, NULL);
	d->handover = json_incref(json_object_get(v, "leases"));
	d->handover_read_at = sited_now_ms();
	json_decref(v);
}

/*
 * A VM that is cut off sees the same silence as one whose leader has failed. Its
 * transaction would arrive after the cut and depose a healthy leader, so the store
 * must answer a read before the transaction is sent. Of hundreds of VMs, most find
 * in this read that another VM has won.
 */
static void on_row_confirmed(const struct store_result *r, void *data)
{
	struct sited *d = data;

	if (r->status == STORE_OK && !d->lead)
		apply_contended_row(d, leader_row_of(r));
	if (r->status != STORE_OK || is_contention_obsolete(d)) {
		d->is_contending = false;
		return;
	}
	remember_handover(d, r);
	send_contention(d);
}

static void on_contend_timer(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	struct sited *d = data;

	if (is_contention_obsolete(d))
		d->is_contending = false;
	else
		store_read(d->store, &lead_range, base_deadline_in(PROBE_TIMEOUT_MS),
			   on_row_confirmed, d);
}

/* Large VMs contend first: a leader's work grows with the site, a VM's capacity does not. */
static int64_t contend_delay_ms(const struct sited *d)
{
	int64_t age_ms = (base_now_ns() - d->started_at) / BASE_NS_PER_MS;
	int64_t spread_ms = MAX(CONTEND_SPREAD_MS, CONTEND_SPREAD_PER_VM_MS * d->peers->len);
	int64_t delay = (int64_t)(base_random64() % (uint64_t)spread_ms) +
			MIN(age_ms / AGE_MS_PER_DELAY_MS, CONTEND_AGE_MAX_MS);

	if (sited_is_large(d))
		return delay;
	return delay + spread_ms +
	       (sited_had_large_peer(d) ? CONTEND_SMALL_LONG_DELAY_MS : CONTEND_SMALL_DELAY_MS);
}

static void contend(struct sited *d, const char *why)
{
	if (d->is_contending || d->lead || d->stop_at || d->leader.version < 0)
		return;
	d->is_contending = true;
	d->contended_version = d->leader.version;
	log_event("lead_contended", "{ss ss sI}", "why", why, "leader", d->leader.vm, "term",
		  (json_int_t)d->leader.term);
	mtimer_add(d, d->ev, base_deadline_in(contend_delay_ms(d)), on_contend_timer, d);
}

void sited_contend_if_vacant(struct sited *d)
{
	if (!d->leader.vm[0])
		contend(d, "leadership was handed over");
}

/* ---- handover ---- */

/* The row as it was read after this VM has given up: only now is its version known. */
static void on_vacated_row(const struct store_result *r, void *data)
{
	struct sited *d = data;

	/* The other VMs wait while is_contending is set; clearing it lets them contend. */
	d->is_contending = false;
	on_row(r, d);
	if (r->status == STORE_OK && !d->leader.vm[0])
		sited_notify_vacant(d);
}

static void on_vacated(const struct store_result *r, void *data)
{
	struct sited *d = data;

	d->leader.version = -1;
	if (r->status == STORE_OK)
		store_read(d->store, &lead_range, base_deadline_in(SITED_STORE_TIMEOUT_MS),
			   on_vacated_row, d);
	else
		d->is_contending = false;
}

static void vacate(struct sited *d)
{
	struct store_tx *tx;
	char *value;

	tx = store_tx_new(d, "");
	value = encode_row(tx, d, d->lead->term, true);
	store_tx_expect(tx, SITED_LEAD_TABLE, SITED_LEAD_KEY, d->lead->row_version);
	store_tx_put(tx, SITED_LEAD_TABLE, SITED_LEAD_KEY, str_from(value));
	log_event("lead_handed_over", "{sI}", "term", (json_int_t)d->lead->term);
	TALLOC_FREE(d->lead);
	d->lead_serial++;
	d->is_contending = true;
	store_commit(d->store, tx, base_deadline_in(SITED_STORE_TIMEOUT_MS), on_vacated, d);
	talloc_free(tx);
}

/* Waits for transactions in flight, since the next leader could not know their outcome. */
static void on_hand_over(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	struct sited *d = data;

	if (!d->lead)
		return;
	if (lead_rows_idle(d->lead) || base_now_ns() >= d->handover_deadline)
		vacate(d);
	else
		mtimer_add(d, d->ev, base_deadline_in(HANDOVER_POLL_MS), on_hand_over, d);
}

void sited_start_handover(struct sited *d)
{
	if (!d->lead || d->lead->is_handing_over)
		return;
	d->lead->is_handing_over = true;
	d->handover_deadline = base_deadline_in(HANDOVER_TIMEOUT_MS);
	mtimer_add(d, d->ev, base_deadline_in(HANDOVER_POLL_MS), on_hand_over, d);
}

/* ---- following ---- */

bool sited_leader_is_responsive(const struct sited *d)
{
	/* One ping may be in flight. */
	return d->leader.client && d->leader.unanswered <= 1;
}

/* Returns how long the leader may be silent before it is replaced, in ms. */
static int64_t silence_limit_ms(const struct sited *d)
{
	bool is_new = d->leader.known_at + NEW_LEADER_PERIOD_MS * BASE_NS_PER_MS > base_now_ns();

	int64_t ms = is_new ? (int64_t)NEW_LEADER_SILENCE_MAX_MS
				      << MIN(d->leader.changes, SILENCE_DOUBLINGS_MAX)
			    : SILENCE_MAX_MS;

	return ms + SILENCE_PER_VM_MS * (int64_t)d->peers->len;
}

static void handle_leader_silence(struct sited *d, enum onc_result result)
{
	int64_t now = base_now_ns();
	int64_t regained_at = store_regained_at(d->store);
	int64_t silent_since = regained_at ? MAX(d->leader.silent_since,
						 regained_at + RECONNECT_MS * BASE_NS_PER_MS)
					   : d->leader.silent_since;

	/* This VM may be cut off itself, so silence does not count while the store fails. */
	if (store_failing_ms(d->store)) {
		d->leader.silent_since = now;
		d->leader.refusals = 0;
		return;
	}
	/* No process listens there: the leader has stopped or is restarting. */
	if (result == ONC_NOT_SENT)
		d->leader.refusals++;
	if (d->leader.refusals >= REFUSALS_MAX ||
	    now - silent_since > silence_limit_ms(d) * BASE_NS_PER_MS)
		contend(d, "the leader does not answer");
}

/* Sends a ping; the number of unanswered pings shows the leader's health. */
static void ping_leader(struct sited *d)
{
	if (!d->leader.unanswered++)
		d->leader.silent_since = base_now_ns();
	if (d->leader.unanswered > UNANSWERED_PROBE_MIN) {
		probe_store(d);
		handle_leader_silence(d, ONC_LOST);
	}
	if (d->leader.client)
		sited_ping_leader(d);
}

void sited_leader_ping_done(struct sited *d, enum onc_result result, const cl_lead_ping_res *answer,
			    int64_t asked_at)
{
	if (result != ONC_OK) {
		handle_leader_silence(d, result);
		return;
	}
	d->leader.unanswered = 0;
	d->leader.refusals = 0;
	d->leader.last_contact_at = base_now_ns();
	d->leader.store_failing_ms = answer->store_failing_ms;
	/* That VM may have won and still wait for the answer of a slow store. */
	if (!answer->is_leading && answer->is_contending)
		return;
	if (!answer->is_leading) {
		contend(d, "the VM that should lead does not");
		return;
	}
	sited_pending_received(d, answer, asked_at);
	if (answer->store_failing_ms > LEADER_STORE_FAILING_MAX_MS &&
	    store_serving_ms(d->store) > SERVING_MIN_MS)
		contend(d, "the leader is cut off from the store");
}

/*
 * A small VM leads only while there is no large one. Each change of leader costs a
 * pause, so the small VM first leads for 3 s.
 */
static bool should_hand_over(const struct sited *d)
{
	bool has_led = base_now_ns() - d->lead->started_at > SMALL_TERM_MIN_MS * BASE_NS_PER_MS;

	return !sited_is_large(d) && has_led && d->lead->is_loaded && !d->stop_at &&
	       sited_has_large_peer(d);
}

static void tick_leader(struct sited *d)
{
	if (should_hand_over(d))
		sited_start_handover(d);
	else if (store_failing_ms(d->store))
		sited_ping_other(d);
	else if (sited_has_silent_peer(d))
		probe_store(d);
}

/* The more VMs there are, the less often each pings the leader, until an answer is missing. */
static bool is_ping_due(struct sited *d)
{
	return d->leader.unanswered || !d->leader.last_contact_at ||
	       d->ticks % sited_ping_interval_ticks(d) == 0;
}

static void tick_follower(struct sited *d)
{
	if (d->leader.version < 0)
		read_row(d);
	else if (d->leader.client && is_ping_due(d))
		ping_leader(d);
	else if (!d->leader.client)
		contend(d, d->leader.vm[0] ? "the row names this VM" : "no VM leads");
	if (store_failing_ms(d->store) && !sited_leader_is_responsive(d))
		sited_ping_other(d);
}

static void on_follow(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	struct sited *d = data;

	if (!d->lead)
		tick_follower(d);
}

static void on_tick(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	struct sited *d = data;

	mtimer_add(d, d->ev, base_deadline_in(SITED_TICK_MS), on_tick, d);
	d->ticks++;
	if (d->lead)
		tick_leader(d);
	else
		tick_follower(d);
}

void sited_elect_start(struct sited *d)
{
	d->leader.version = -1;
	d->ticks = (unsigned int)base_random64();
	mtimer_add(d, d->ev, base_now_ns(), on_tick, d);
}
