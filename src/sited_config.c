/*
 * The operator's configuration. Each VM follows the row that holds it, by a feed that also
 * reports evacuations, see sited_evacuation.c. The row is the whole
 * document, which takes a small link a second or more; until its end, the link carries little
 * else. A VM for which it would take that long holds the transfer and asks a large VM, which
 * has received it already, for the changes only. When no peer answers in time, the transfer
 * continues.
 */
#include "sited.h"

#include <string.h>

#include "mtimer/mtimer.h"
#include "qchange/qchange.h"

/*
 * A change must be in force within 2 s after it was stored, even when the connection
 * died while a feed call was waiting.
 */
#define CONFIG_WAIT_MS 1200
/* pings; this VM's own feed delivers a change within one, unless it is being received */
#define CONFIG_BEHIND_MAX 2
#define CONFIG_ANSWER_MS 500   /* until a peer's answer begins, beyond its wait */
#define CONFIG_SLOW_MS 250     /* a document that takes longer is held */
#define CONFIG_HOLD_MS 400     /* then the transfer continues */
#define CONFIG_WAITERS_MAX 256 /* calls of peers that wait for a newer version */
#define CONFIG_SOURCES_MAX 8

/**
 * struct sited_config - what is kept to follow the configuration and to pass it on
 * @table: read or feed of the row
 * @row_version: version of the row that holds the configuration in force, 0 before the first
 * @history: the last changes
 * @whole: a change that declares everything, encoded when a peer first needs it, else empty
 * @behind_pings: consecutive pings whose answer named a newer configuration
 * @peer: client of the peer that is being asked, or NULL
 * @is_held: the transfer from the store is held
 * @next_source: rotates the peers that are asked
 * @waiters: struct waiter
 */
struct sited_config {
	struct sited *d;
	struct table *table;
	int64_t row_version;
	struct qchange_history *history;
	struct str whole;
	unsigned int behind_pings;
	struct onc_client *peer;
	bool is_held;
	unsigned int next_source;
	GPtrArray *waiters;
};

/* a call of a peer that is answered once there is a newer version, or after its wait */
struct waiter {
	struct sited_config *c;
	struct onc_request *req;
};

static void read_config(void *data);

static int64_t version_of(const struct sited *d)
{
	return d->queues ? d->queues->version : 0;
}

/* ---- to peers ---- */

static struct str whole_change(struct sited_config *c)
{
	if (!c->whole.len && c->d->queues)
		c->whole = qchange_encode(c, NULL, c->d->queues);
	return c->whole;
}

static void answer(struct sited_config *c, struct onc_request *req)
{
	const cl_config_args *args = req->args;
	int64_t version = version_of(c->d);
	struct str change[QCHANGE_HISTORY_STEPS];
	cl_config_step step[QCHANGE_HISTORY_STEPS];
	cl_config_res res = {.config_version = version, .row_version = c->row_version};
	unsigned int count = 0;

	if (version > args->config_version) {
		count = qchange_history_since(c->history, args->config_version, change);
		if (!count && whole_change(c).len)
			change[count++] = c->whole;
	}
	for (unsigned int i = 0; i < count; i++)
		step[i] = (cl_config_step){(u_int)change[i].len, (char *)change[i].ptr};
	res.steps.steps_len = count;
	res.steps.steps_val = step;
	onc_reply(req, &res);
}

static void answer_waiter(struct waiter *w)
{
	g_ptr_array_remove_fast(w->c->waiters, w);
	answer(w->c, w->req);
	talloc_free(w);
}

static void answer_waiters(struct sited_config *c)
{
	while (c->waiters->len)
		answer_waiter(g_ptr_array_index(c->waiters, 0));
}

static void on_waited(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	answer_waiter(data);
}

void sited_on_config(struct onc_request *req)
{
	struct sited *d = req->server_data;
	struct sited_config *c = d->config;
	const cl_config_args *args = req->args;
	struct waiter *w;

	if (version_of(d) > args->config_version || args->wait_ms <= 0 ||
	    c->waiters->len >= CONFIG_WAITERS_MAX) {
		answer(c, req);
		return;
	}
	w = talloc_zero(c, struct waiter);
	w->c = c;
	w->req = req;
	g_ptr_array_add(c->waiters, w);
	mtimer_add(w, d->ev, base_deadline_in(MIN(args->wait_ms, CONFIG_HOLD_MS)), on_waited, w);
}

/* ---- a new version ---- */

static void take(struct sited_config *c, struct queues *q, struct str change, size_t received,
		 const char *source)
{
	struct sited *d = c->d;
	int64_t before = version_of(d);

	log_event("config_taken", "{sI sI sI sI ss}", "version", (json_int_t)q->version, "before",
		  (json_int_t)before, "queues", (json_int_t)q->queue_count, "bytes",
		  (json_int_t)received, "source", source);
	qchange_history_add(c->history, before, q->version, change);
	talloc_free((char *)c->whole.ptr);
	c->whole = (struct str){NULL, 0};
	talloc_free(d->queues);
	d->queues = q;
	c->behind_pings = 0;
	answer_waiters(c);
}

/* ---- from a peer ---- */

static void ask_large_peer(struct sited_config *c);

/* Returns false when a change can't be applied. */
static bool apply_step(struct sited_config *c, struct str change)
{
	const char *fault;
	struct queues *q = qchange_apply(c->d, c->d->queues, change, &fault);

	if (q)
		take(c, q, change, change.len, "a peer");
	else
		log_event("config_change_unusable", "{ss sI}", "fault", fault, "config",
			  (json_int_t)version_of(c->d));
	return q != NULL;
}

static void apply_answer(struct sited_config *c, const cl_config_res *res)
{
	/* the store's feed may have been faster */
	if (res->config_version <= version_of(c->d))
		return;
	for (unsigned int i = 0; i < res->steps.steps_len; i++) {
		const cl_config_step *step = &res->steps.steps_val[i];
		struct str change = {step->cl_config_step_val, step->cl_config_step_len};

		if (!apply_step(c, change))
			return;
	}
	if (version_of(c->d) == res->config_version) {
		c->is_held = false;
		c->row_version = res->row_version;
		table_skip_to(c->table, c->row_version);
		sited_evacuation_lost(c->d);
	}
}

static void on_peer_answer(enum onc_result result, void *res, void *data)
{
	struct sited_config *c = data;

	sited_free_client_later(c->d, &c->peer);
	if (result == ONC_OK)
		apply_answer(c, res);
	if (c->is_held)
		ask_large_peer(c);
}

static void ask_peer(struct sited_config *c, const struct address *address, int64_t wait_ms)
{
	struct sited *d = c->d;
	cl_config_args args = {version_of(d), wait_ms};

	if (c->peer)
		return;
	/* A connection of its own: a long answer delays no ping. */
	c->peer = onc_client_new(d, d->ev, address->ip, address->port);
	onc_call(c->peer, &sited_procs[SITED_PROC_CONFIG], &args, sizeof(cl_config_res),
		 base_deadline_in(wait_ms + CONFIG_ANSWER_MS), on_peer_answer, c);
}

void sited_compare_config(struct sited *d, const struct address *address, int64_t peer_version)
{
	struct sited_config *c = d->config;

	if (peer_version <= version_of(d)) {
		c->behind_pings = 0;
		return;
	}
	if (++c->behind_pings >= CONFIG_BEHIND_MAX || store_failing_ms(d->store))
		ask_peer(c, address, 0);
}

/* Peers of this failure domain come first, so that few bytes pass between domains. */
static void ask_large_peer(struct sited_config *c)
{
	struct address sources[CONFIG_SOURCES_MAX];
	unsigned int count = sited_large_addresses(c->d, sources, CONFIG_SOURCES_MAX);

	if (count)
		ask_peer(c, &sources[c->next_source++ % count], CONFIG_HOLD_MS);
}

static void on_held(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	struct sited_config *c = data;

	if (!c->is_held)
		return;
	c->is_held = false;
	table_resume(c->table);
}

/* A change, once, of a document that this VM's link takes long for. */
static bool on_begin(int64_t len, void *data)
{
	struct sited_config *c = data;
	struct sited *d = c->d;
	struct address source;
	double ms = (double)len * 8 / (d->site->link_mbps * 1000);

	if (ms < CONFIG_SLOW_MS || !d->queues || !sited_large_addresses(d, &source, 1))
		return false;
	log_event("config_held", "{sI sI sf}", "config", (json_int_t)version_of(d), "bytes",
		  (json_int_t)len, "expected_ms", ms);
	c->is_held = true;
	c->next_source = 0;
	ask_large_peer(c);
	mtimer_add(c, d->ev, base_deadline_in(CONFIG_HOLD_MS), on_held, c);
	return true;
}

/* ---- from the store ---- */

static void apply_document(struct sited_config *c, const struct store_row *row)
{
	struct sited *d = c->d;
	struct queues *q = operator_decode(d, row->value);
	struct str change;

	if (!q) {
		log_warn("config_unreadable",
			 "invalid configuration in the store; version %" PRId64 " stays in force",
			 version_of(d));
		return;
	}
	if (d->queues && q->version <= d->queues->version) {
		talloc_free(q);
		return;
	}
	change = d->queues ? qchange_encode(c, d->queues, q) : (struct str){NULL, 0};
	take(c, q, change, row->value.len, "the store");
	c->row_version = row->version;
	talloc_free((char *)change.ptr);
}

static void on_rows(const struct table_page *page, void *data)
{
	struct sited_config *c = data;

	c->is_held = false;
	for (unsigned int i = 0; i < page->count; i++)
		if (!page->rows[i].removed &&
		    !strcmp(store_key_text(&page->rows[i]), OPERATOR_CONFIG_KEY))
			apply_document(c, &page->rows[i]);
}

static void on_feed_rows(const struct table_page *page, void *data)
{
	struct sited_config *c = data;

	/* rows of the page stay valid while the configuration is applied */
	sited_evacuation_follow(c->d, page);
	on_rows(page, data);
}

static struct table_source config_source(struct sited_config *c)
{
	struct table_source source = {.owner = c,
				      .ev = c->d->ev,
				      .store = c->d->store,
				      .table = OPERATOR_TABLE,
				      .key = OPERATOR_CONFIG_KEY,
				      .on_begin = on_begin};

	return source;
}

static void follow_config(int64_t version, void *data)
{
	struct sited_config *c = data;
	struct table_source source = config_source(c);

	c->table = table_follow(&source, MAX(version, c->row_version), CONFIG_WAIT_MS, on_feed_rows,
				read_config, c);
	/* sent after it is known where the feed begins, so that the read shows what came before */
	sited_evacuation_lost(c->d);
}

static void read_config(void *data)
{
	struct sited_config *c = data;
	struct table_source source = config_source(c);

	c->table = table_read(&source, on_rows, follow_config, c);
}

void sited_config_start(struct sited *d)
{
	struct sited_config *c = talloc_zero(d, struct sited_config);

	c->d = d;
	c->history = qchange_history_new(c);
	c->waiters = g_ptr_array_new();
	d->config = c;
	read_config(c);
}
