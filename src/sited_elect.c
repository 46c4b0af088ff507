/*
 * Who leads. A row of the store names the leader and its term; it is replaced
 * only by a transaction that expects its version, so one VM wins. Whether the
 * leader lives is seen by calls between the VMs, not in the store: it would cost
 * a write each time, and the store may be away while the leader works on.
 */
#include "sited_lead.h"

#include <string.h>

#include "mtimer/mtimer.h"

/* a leader that answered no ping for so long is replaced */
#define SILENT_MS 700
#define SILENT_PER_VM_MS 2 /* the work of a leader, and its answers' delay, grow with the site */
/* a new leader reads all rows and looks at all servers first, and may be slow to answer */
#define NEW_LEADER_MS 4000
#define SILENT_NEW_MS 1700
/*
 * Load pattern: VMs or links so small that a new leader, which reads all rows, is
 * as silent as the one before and is replaced while it reads. Each change of the
 * lead that soon follows another doubles the patience with the next leader.
 */
#define LEAD_CHANGES_MS 10000
#define PATIENCE_DOUBLINGS_MAX 2
#define REFUSALS_MAX 2	     /* pings that nothing took at its address */
#define UNANSWERED_PROBE 2   /* pings without an answer, before the store is asked */
#define CONTEND_SMALL_MS 120 /* longer than a transaction of a larger VM takes */
/* after an outage of the store, transactions of large VMs may still be lost or on their way */
#define CONTEND_SMALL_LAST_MS 800
#define SMALL_LEADS_MIN_MS 3000
#define CONTEND_SPREAD_MS 20	   /* so that not all contend at the same moment */
#define CONTEND_SPREAD_PER_VM_MS 2 /* a transaction takes 8 ms, and one follows the other */
/* VMs that are restarted in turn: one that was restarted lately leads on undisturbed */
#define CONTEND_AGE_MAX_MS 40
#define AGE_PER_DELAY 1000 /* a delay of 1 ms for each second since the start */
#define HAND_OVER_MS 400   /* at the latest, so that transactions are answered */
#define HAND_OVER_TICK_MS 10
#define LEADER_CUT_OFF_MS 500 /* the leader's store is away for so long, but not this VM's */
#define PROBE_MS 500	      /* a store that is 60 times slower than usual answers in it */

static void read_row(struct sited *d);
static void contend(struct sited *d, const char *why);
static void on_follow(struct mtimer *timer, void *data);

/* ---- the row ---- */

static char *encode_row(TALLOC_CTX *ctx, const struct sited *d, int64_t term, bool is_vacant)
{
	json_t *v =
		json_pack("{ss ss si sI}", "vm", is_vacant ? "" : d->site->vm, "ip",
			  d->site->peers.ip, "port", d->site->peers.port, "term", (json_int_t)term);
	char *text = base_json_text(ctx, v);

	json_decref(v);
	return text;
}

static void follow_soon(struct sited *d)
{
	mtimer_add(d, d->ev, base_now_ns(), on_follow, d);
}

static void set_leader(struct sited *d, const struct sited_leader_row *row, const char *source)
{
	struct sited_leader *leader = &d->leader;
	bool follows_soon = leader->vm[0] && row->vm[0] &&
			    base_now_ns() - leader->known_at < LEAD_CHANGES_MS * BASE_NS_PER_MS;

	leader->changes = follows_soon ? leader->changes + 1 : 0;
	sited_drop_client(d, &d->leader.client);
	g_strlcpy(leader->vm, row->vm, sizeof(leader->vm));
	g_strlcpy(leader->address.ip, row->ip, sizeof(leader->address.ip));
	leader->address.port = row->port;
	leader->term = MAX(leader->term, row->term);
	leader->version = row->version;
	leader->known_at = base_now_ns();
	leader->heard_at = 0;
	leader->store_failing_ms = 0;
	leader->unanswered = 0;
	leader->refusals = 0;
	if (leader->vm[0] && strcmp(leader->vm, d->site->vm))
		leader->client = onc_client_new(d, d->ev, leader->address.ip, leader->address.port);
	log_event("leader_known", "{ss sI sI ss}", "leader", leader->vm, "term",
		  (json_int_t)leader->term, "row_version", (json_int_t)row->version, "source",
		  source);
}

static void lose_lead(struct sited *d, int64_t newer)
{
	log_event("lead_lost", "{sI sI sI}", "term", (json_int_t)d->lead->term, "row_version",
		  (json_int_t)d->lead->row_version, "newer", (json_int_t)newer);
	TALLOC_FREE(d->lead);
	d->lead_serial++;
}

static void take_row(struct sited *d, const struct store_row *stored)
{
	json_t *v = json_loadb(stored->value.ptr, stored->value.len, 0, NULL);
	struct sited_leader_row row = {.vm = base_json_str(v, "vm", ""),
				       .ip = base_json_str(v, "ip", ""),
				       .port = (uint16_t)base_json_int(v, "port", 0),
				       .term = base_json_int(v, "term", 0),
				       .version = stored->removed ? 0 : stored->version};

	if (d->leader.version < 0 || row.version > d->leader.version) {
		set_leader(d, &row, "the store");
		/* the row may name a VM that was started again and does not lead */
		follow_soon(d);
	}
	json_decref(v);
}

void sited_leader_heard(struct sited *d, const struct sited_leader_row *row, const char *source)
{
	if (row->version <= 0 || row->version <= d->leader.version)
		return;
	if (d->lead && row->version > d->lead->row_version)
		lose_lead(d, row->version);
	if (!d->lead)
		set_leader(d, row, source);
}

static void on_row(const struct store_result *r, void *data)
{
	struct sited *d = data;
	const struct store_row none = {.removed = true};
	bool found = r->count && !strcmp(r->rows[0].key, SITED_LEAD_KEY);

	if (r->status != STORE_OK)
		return;
	if (d->lead)
		sited_check_row(d, found ? &r->rows[0] : &none);
	else
		take_row(d, found ? &r->rows[0] : &none);
}

static const struct store_range lead_range = {SITED_LEAD_TABLE, "", SITED_LEAD_KEY, 1};

static void read_row(struct sited *d)
{
	store_read(d->store, &lead_range, base_deadline_in(SITED_CALL_MS), on_row, d);
}

static void on_probed(const struct store_result *r, void *data)
{
	struct sited *d = data;

	d->is_probing = false;
	on_row(r, d);
}

/* VMs that fall silent may mean that this one is cut off: a short call to the store tells */
static void probe_store(struct sited *d)
{
	if (d->is_probing || store_failing_ms(d->store))
		return;
	d->is_probing = true;
	store_read(d->store, &lead_range, base_deadline_in(PROBE_MS), on_probed, d);
}

void sited_check_row(struct sited *d, const struct store_row *row)
{
	if (!d->lead || row->version <= d->lead->row_version)
		return;
	lose_lead(d, row->version);
	take_row(d, row);
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

void sited_doubt(struct sited *d, const char *why)
{
	log_event("lead_doubted", "{sI ss}", "term", (json_int_t)(d->lead ? d->lead->term : 0),
		  "why", why);
	read_row(d);
}

/* ---- contending ---- */

static void on_contended(const struct store_result *r, void *data)
{
	struct sited *d = data;

	d->is_contending = false;
	if (r->status == STORE_CONFLICT) {
		for (unsigned int i = 0; i < r->count; i++)
			take_row(d, &r->rows[i]);
		if (!r->count)
			read_row(d);
		return;
	}
	if (r->status != STORE_OK) {
		/* if it was performed, the row names this VM, and it contends for the next term */
		d->leader.version = -1;
		return;
	}
	/* a peer may have named a newer row before this answer came */
	if (r->version < d->leader.version)
		return;
	d->leader.version = r->version;
	/* not one more than the newest known: a peer may have told of this very row already */
	d->leader.term = d->contended_term;
	sited_drop_client(d, &d->leader.client);
	g_strlcpy(d->leader.vm, d->site->vm, sizeof(d->leader.vm));
	if (d->stop_at)
		return;
	d->lead = lead_new(d, d->leader.term, r->version);
	sited_announce_lead(d);
}

static void send_contention(struct sited *d)
{
	struct store_tx *tx = store_tx_new(d, "");
	char *value;

	d->contended_term = d->leader.term + 1;
	value = encode_row(tx, d, d->contended_term, false);
	store_tx_expect(tx, SITED_LEAD_TABLE, SITED_LEAD_KEY, d->leader.version);
	store_tx_put(tx, SITED_LEAD_TABLE, SITED_LEAD_KEY, str_from(value));
	store_commit(d->store, tx, base_deadline_in(SITED_CALL_MS), on_contended, d);
	talloc_free(tx);
}

/* what made this VM contend holds for one row only */
static bool is_contention_void(const struct sited *d)
{
	return d->stop_at || d->lead || d->leader.version != d->contended_version;
}

/*
 * A VM that is cut off sees the same silence as one whose leader has died. Its
 * transaction would arrive when the cut is over and depose a leader that is
 * well, so the store must answer before one is sent. Of hundreds of VMs most
 * find here that another has won.
 */
static void on_row_confirmed(const struct store_result *r, void *data)
{
	struct sited *d = data;

	on_row(r, d);
	if (r->status != STORE_OK || is_contention_void(d))
		d->is_contending = false;
	else
		send_contention(d);
}

static void on_contend_timer(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	struct sited *d = data;

	if (is_contention_void(d))
		d->is_contending = false;
	else
		store_read(d->store, &lead_range, base_deadline_in(PROBE_MS), on_row_confirmed, d);
}

/* large VMs go first: a leader's work grows with the deployment, a VM's share does not */
static int64_t contend_delay_ms(const struct sited *d)
{
	int64_t age_ms = (base_now_ns() - d->started_at) / BASE_NS_PER_MS;
	int64_t spread_ms = MAX(CONTEND_SPREAD_MS, CONTEND_SPREAD_PER_VM_MS * d->peers->len);
	int64_t delay = (int64_t)(base_random64() % (uint64_t)spread_ms) +
			MIN(age_ms / AGE_PER_DELAY, CONTEND_AGE_MAX_MS);

	if (sited_is_large(d))
		return delay;
	return delay + spread_ms +
	       (sited_knew_large_peer(d) ? CONTEND_SMALL_LAST_MS : CONTEND_SMALL_MS);
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
		contend(d, "the lead was handed over");
}

/* ---- handing over ---- */

static void on_vacated(const struct store_result *r, void *data)
{
	struct sited *d = data;

	/* others waited for the outcome; they find out who leads, whatever it was */
	d->is_contending = false;
	if (r->status != STORE_OK)
		return;
	d->leader.version = r->version;
	d->leader.vm[0] = 0;
	sited_tell_vacant(d);
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
	store_commit(d->store, tx, base_deadline_in(SITED_CALL_MS), on_vacated, d);
	talloc_free(tx);
}

/* what is being stored is answered first: the next leader could not tell how that ended */
static void on_hand_over(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	struct sited *d = data;

	if (!d->lead)
		return;
	if (lead_rows_settled(d->lead) || base_now_ns() >= d->hand_over_at)
		vacate(d);
	else
		mtimer_add(d, d->ev, base_deadline_in(HAND_OVER_TICK_MS), on_hand_over, d);
}

void sited_begin_hand_over(struct sited *d)
{
	if (!d->lead || d->lead->is_handing_over)
		return;
	d->lead->is_handing_over = true;
	d->hand_over_at = base_deadline_in(HAND_OVER_MS);
	mtimer_add(d, d->ev, base_deadline_in(HAND_OVER_TICK_MS), on_hand_over, d);
}

/* ---- following ---- */

static void take_pending(struct sited *d, const cl_lead_ping_res *res)
{
	if (d->leader.pending)
		g_hash_table_remove_all(d->leader.pending);
	else
		d->leader.pending = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (unsigned int i = 0; i < res->pending.pending_len; i++) {
		int64_t *n = g_new(int64_t, 1);

		*n = res->pending.pending_val[i].pending;
		g_hash_table_insert(d->leader.pending, g_strdup(res->pending.pending_val[i].queue),
				    n);
	}
}

bool sited_leader_is_well(const struct sited *d)
{
	/* one ping may be on its way */
	return d->leader.client && d->leader.unanswered <= 1;
}

/* how long the leader may be silent, in ms */
static int64_t patience_ms(const struct sited *d)
{
	bool is_new = d->leader.known_at + NEW_LEADER_MS * BASE_NS_PER_MS > base_now_ns();

	int64_t ms = is_new ? (int64_t)SILENT_NEW_MS
				      << MIN(d->leader.changes, PATIENCE_DOUBLINGS_MAX)
			    : SILENT_MS;

	return ms + SILENT_PER_VM_MS * (int64_t)d->peers->len;
}

static void leader_missed(struct sited *d, enum onc_result result)
{
	int64_t now = base_now_ns();

	/* the silence may be this VM's own: what was heard while it was cut off says nothing */
	if (store_failing_ms(d->store)) {
		d->leader.silent_since = now;
		d->leader.refusals = 0;
		return;
	}
	/* nothing listens there: it has gone, or is being started again */
	if (result == ONC_NOT_SENT)
		d->leader.refusals++;
	if (d->leader.refusals >= REFUSALS_MAX ||
	    now - d->leader.silent_since > patience_ms(d) * BASE_NS_PER_MS)
		contend(d, "the leader does not answer");
}

/* a ping more; how many stand without an answer says how well the leader is */
static void ask_leader(struct sited *d)
{
	if (!d->leader.unanswered++)
		d->leader.silent_since = base_now_ns();
	if (d->leader.unanswered > UNANSWERED_PROBE) {
		probe_store(d);
		leader_missed(d, ONC_LOST);
	}
	if (d->leader.client)
		sited_ping_leader(d);
}

void sited_leader_answered(struct sited *d, enum onc_result result, const cl_lead_ping_res *answer)
{
	if (result != ONC_OK) {
		leader_missed(d, result);
		return;
	}
	d->leader.unanswered = 0;
	d->leader.refusals = 0;
	d->leader.heard_at = base_now_ns();
	d->leader.store_failing_ms = answer->store_failing_ms;
	/* it may have won without knowing yet: the answer of a slow store takes a while */
	if (!answer->is_leading && answer->is_contending)
		return;
	if (!answer->is_leading) {
		contend(d, "the VM that should lead does not");
		return;
	}
	take_pending(d, answer);
	if (answer->store_failing_ms > LEADER_CUT_OFF_MS && !store_failing_ms(d->store))
		contend(d, "the leader is cut off from the store");
}

/* a small VM leads only while no large one is there; each change of the lead costs a pause */
static bool should_hand_over(const struct sited *d)
{
	bool has_led = base_now_ns() - d->lead->started_at > SMALL_LEADS_MIN_MS * BASE_NS_PER_MS;

	return !sited_is_large(d) && has_led && d->lead->is_loaded && !d->stop_at &&
	       sited_has_large_peer(d);
}

static void tick_leading(struct sited *d)
{
	if (should_hand_over(d))
		sited_begin_hand_over(d);
	else if (store_failing_ms(d->store))
		sited_ping_other(d);
	else if (sited_peers_are_missing(d))
		probe_store(d);
}

/* the leader is asked by each VM less often the more there are, until one misses an answer */
static bool is_ping_due(struct sited *d)
{
	return d->leader.unanswered || !d->leader.heard_at || d->ticks % sited_ping_ticks(d) == 0;
}

static void tick_following(struct sited *d)
{
	if (d->leader.version < 0)
		read_row(d);
	else if (d->leader.client && is_ping_due(d))
		ask_leader(d);
	else if (!d->leader.client)
		contend(d, d->leader.vm[0] ? "the row names this VM" : "nobody leads");
	if (store_failing_ms(d->store) && !sited_leader_is_well(d))
		sited_ping_other(d);
}

static void on_follow(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	struct sited *d = data;

	if (!d->lead)
		tick_following(d);
}

static void on_tick(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	struct sited *d = data;

	mtimer_add(d, d->ev, base_deadline_in(SITED_TICK_MS), on_tick, d);
	d->ticks++;
	if (d->lead)
		tick_leading(d);
	else
		tick_following(d);
}

void sited_elect_start(struct sited *d)
{
	d->leader.version = -1;
	d->ticks = (unsigned int)base_random64();
	mtimer_add(d, d->ev, base_now_ns(), on_tick, d);
}
