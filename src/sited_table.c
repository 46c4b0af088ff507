#include "sited_table.h"

#include <string.h>

#include "mtimer/mtimer.h"

/* after all keys, so that a range from here on is empty */
#define NO_KEY "~"
/*
 * Rows of a page of those with a prefix. Such rows are few, and a store that knows no end of a
 * range fills the page with others, which may be long.
 */
#define PREFIX_PAGE_ROWS 3
#define STALLED_RETRY_MS 1000 /* until a page that did not move on is asked for again */

enum table_mode { TABLE_READ, TABLE_FOLLOW };

/**
 * struct table - a read or a feed, owned by the source's owner
 * @call: call in flight, or NULL
 * @from: for a read, the key at which the next page starts, empty at first; owned
 * @version: for a read, the newest version known before it was sent, -1 while none is known;
 *           for a feed, the version up to which changes have been received
 * @wait_ms: for a feed, how long one call waits for a change, in ms
 * @page_rows: for a read, rows of a page, 0 for as many as the store gives
 * @is_failing: the last call failed
 */
struct table {
	struct tevent_context *ev;
	struct store *store;
	enum table_mode mode;
	char *name;
	char *part;
	char *key;
	char *prefix;
	struct table_call *call;
	struct str from;
	int64_t version;
	int64_t wait_ms;
	unsigned int page_rows;
	bool is_failing;
	table_rows_fn *on_rows;
	table_read_done_fn *on_end;
	table_history_gone_fn *on_gone;
	store_begin_fn *on_begin;
	void *data;
};

/**
 * struct table_call - a call in flight
 * @table: NULL once the table has been freed
 * @sent_at: in ns on base_now_ns()'s clock
 * @store_call: NULL once the answer has arrived
 */
struct table_call {
	struct table *table;
	int64_t sent_at;
	struct store_call *store_call;
};

static void send_call(struct table *t);

/* A call whose answer is being handled is freed by on_answer(). */
static int table_destructor(struct table *t)
{
	if (t->call)
		t->call->table = NULL;
	if (t->call && t->call->store_call) {
		store_cancel(t->call->store_call);
		talloc_free(t->call);
	}
	return 0;
}

static void on_retry(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	send_call(data);
}

enum advance { ADVANCE_END, ADVANCE_NEXT, ADVANCE_STALLED };

static bool is_before(struct str a, struct str b)
{
	int order = memcmp(a.ptr, b.ptr, MIN(a.len, b.len));

	return order < 0 || (!order && a.len < b.len);
}

/* number of the first rows of an answer that the prefix applies to */
static unsigned int count_with_prefix(const struct table *t, const struct store_result *r)
{
	size_t len = t->prefix ? strlen(t->prefix) : 0;
	unsigned int n = 0;

	while (n < r->count && r->rows[n].key.len >= len &&
	       !memcmp(r->rows[n].key.ptr, t->prefix ? t->prefix : "", len))
		n++;
	return n;
}

/* sets where the next page starts */
static enum advance advance_page(struct table *t, const struct store_result *r)
{
	bool begins_early; /* the range was not observed; rows with the prefix may follow */
	struct str last;
	char *from;

	begins_early = t->prefix && r->count && is_before(r->rows[0].key, str_from(t->prefix));
	if (!begins_early && (t->key || !r->has_more || count_with_prefix(t, r) < r->count))
		return ADVANCE_END;
	last = r->count ? r->rows[r->count - 1].key : t->from;
	if (begins_early || !is_before(t->from, last)) {
		log_warn("read_stalled",
			 "table %s, part %s: the page that starts at key %s ends at key %s, and "
			 "more are said to follow",
			 t->name, t->part, t->from.len ? t->from.ptr : "",
			 last.len ? last.ptr : "");
		store_note_stalled_read(t->store);
		return ADVANCE_STALLED;
	}
	/* the range includes its first key: the next page repeats this row */
	from = str_dup(t, last);
	talloc_free((char *)t->from.ptr);
	t->from = (struct str){from, last.len};
	return ADVANCE_NEXT;
}

static void end_read(struct table *t)
{
	table_read_done_fn *on_end = t->on_end;
	int64_t version = t->version;
	void *data = t->data;

	talloc_free(t);
	on_end(version, data);
}

static void end_follow(struct table *t)
{
	table_history_gone_fn *on_gone = t->on_gone;
	void *data = t->data;

	log_event("feed_history_gone", "{ss sI}", "table", t->name, "after",
		  (json_int_t)t->version);
	talloc_free(t);
	on_gone(data);
}

/* when the requested row does not exist, a range that starts at its key yields a later row */
static bool is_requested(const struct table *t, const struct store_result *r)
{
	return t->mode == TABLE_FOLLOW || !t->key ||
	       (r->count && !strcmp(store_key_text(&r->rows[0]), t->key));
}

static void on_answer(const struct store_result *r, void *data)
{
	struct table_call *call = data;
	struct table *t = call->table;
	struct table_page page = {r->rows, r->count, r->newest, call->sent_at};
	enum advance advance;

	call->store_call = NULL;
	t->call = NULL;
	if (r->status == STORE_HISTORY_GONE && t->mode == TABLE_FOLLOW) {
		end_follow(t);
		goto out;
	}
	t->is_failing = r->status != STORE_OK;
	if (t->is_failing) {
		mtimer_add(t, t->ev, base_deadline_in(SITED_STORE_RETRY_MS), on_retry, t);
		goto out;
	}
	page.count = count_with_prefix(t, r);
	if (!is_requested(t, r))
		page.count = 0;
	if (t->version < 0) {
		/* the answer to a call that only asks for the version */
		t->version = MAX(store_newest(t->store), 0);
		send_call(t);
		goto out;
	}
	advance = t->mode == TABLE_FOLLOW ? ADVANCE_NEXT : advance_page(t, r);
	if (t->mode == TABLE_FOLLOW)
		t->version = MAX(t->version, r->newest);
	/* on_rows() may free the owner; the table's destructor then clears call->table */
	t->call = call;
	t->on_rows(&page, t->data);
	t = call->table;
	if (!t)
		goto out;
	t->call = NULL;
	switch (advance) {
	case ADVANCE_END:
		end_read(t);
		break;
	case ADVANCE_NEXT:
		send_call(t);
		break;
	case ADVANCE_STALLED:
		/* keys that were repaired sort elsewhere; a larger page may get past them */
		t->page_rows = t->prefix && !t->page_rows ? PREFIX_PAGE_ROWS : 0;
		mtimer_add(t, t->ev, base_deadline_in(STALLED_RETRY_MS), on_retry, t);
		break;
	}
out:
	talloc_free(call);
}

static void send_call(struct table *t)
{
	struct table_call *call = talloc_zero(t->store, struct table_call);
	struct store_range range = {t->name, t->part, t->key ? str_from(t->key) : t->from,
				    t->key ? 1 : t->page_rows};
	/* without a wait, the first answer after an outage comes at once */
	int64_t wait_ms = t->is_failing ? 0 : t->wait_ms;

	call->table = t;
	call->sent_at = base_now_ns();
	t->call = call;
	if (t->version < 0)
		t->version = store_newest(t->store);
	if (t->version < 0)
		range.from = str_from(NO_KEY);
	if (t->mode == TABLE_READ) {
		call->store_call =
			store_read(t->store, &range, base_deadline_in(SITED_STORE_TIMEOUT_MS),
				   on_answer, call);
		return;
	}
	call->store_call =
		store_feed(t->store, t->name, t->version, wait_ms,
			   base_deadline_in(wait_ms + TABLE_FEED_MARGIN_MS), on_answer, call);
	if (t->on_begin)
		store_on_begin(call->store_call, t->on_begin, t->data);
}

void table_resume(struct table *t)
{
	if (t->call)
		store_resume(t->call->store_call);
}

void table_skip_to(struct table *t, int64_t version)
{
	if (t->mode != TABLE_FOLLOW || version <= t->version)
		return;
	t->version = version;
	if (!t->call)
		return; /* the call is sent again after a delay */
	store_cancel(t->call->store_call);
	TALLOC_FREE(t->call);
	send_call(t);
}

static struct table *table_new(const struct table_source *source, enum table_mode mode,
			       table_rows_fn *on_rows, void *data)
{
	struct table *t = talloc_zero(source->owner, struct table);

	t->ev = source->ev;
	t->store = source->store;
	t->mode = mode;
	t->name = talloc_strdup(t, source->table);
	t->part = talloc_strdup(t, source->part ? source->part : "");
	t->key = source->key ? talloc_strdup(t, source->key) : NULL;
	t->prefix = mode == TABLE_READ && source->prefix ? talloc_strdup(t, source->prefix) : NULL;
	t->page_rows = t->prefix ? PREFIX_PAGE_ROWS : 0;
	t->from = str_from(talloc_strdup(t, t->prefix ? t->prefix : ""));
	t->on_rows = on_rows;
	t->data = data;
	talloc_set_destructor(t, table_destructor);
	return t;
}

struct table *table_read(const struct table_source *source, table_rows_fn *on_rows,
			 table_read_done_fn *on_end, void *data)
{
	struct table *t = table_new(source, TABLE_READ, on_rows, data);

	t->on_end = on_end;
	t->version = -1;
	send_call(t);
	return t;
}

struct table *table_follow(const struct table_source *source, int64_t after, int64_t wait_ms,
			   table_rows_fn *on_rows, table_history_gone_fn *on_gone, void *data)
{
	struct table *t = table_new(source, TABLE_FOLLOW, on_rows, data);

	t->version = after;
	t->wait_ms = wait_ms;
	t->on_gone = on_gone;
	t->on_begin = source->on_begin;
	send_call(t);
	return t;
}
