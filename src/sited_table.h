/**
 * DOC: sited_table - reads a whole table of the store, or follows its changes
 *
 * A call that the store rejects or does not answer is repeated after
 * SITED_STORE_RETRY_MS. Freeing the owner, or the read or feed itself, ends it: no callback
 * runs afterwards, and an answer that is being received is abandoned.
 */
#ifndef SITED_TABLE_H
#define SITED_TABLE_H

#include <tevent.h>

#include "platform/store.h"

/* a store that is 60 times slower than usual still answers a call within this time */
#define SITED_STORE_TIMEOUT_MS 1500
#define SITED_STORE_RETRY_MS 150 /* delay before a rejected store call is repeated */
#define TABLE_FEED_MARGIN_MS 600 /* the timeout of a feed call is its wait plus this margin */

struct table;

/**
 * struct table_source - which rows to read or follow
 * @owner: parent of the read or the feed, which ends when the owner is freed
 * @part: partition to read, NULL or "" for the unnamed one; table_follow() ignores it
 * @key: key of the only row to read, NULL for all rows; table_follow() ignores it
 * @prefix: start of the keys of the rows to read, NULL for all rows; not with @key;
 *	table_follow() ignores it
 * @on_begin: called when an answer of a feed begins to arrive, with the length and the data of
 *	the feed; NULL for no call. When it returns true, the answer is held until table_resume()
 */
struct table_source {
	TALLOC_CTX *owner;
	struct tevent_context *ev;
	struct store *store;
	const char *table;
	const char *part;
	const char *key;
	const char *prefix;
	store_begin_fn *on_begin;
};

/**
 * struct table_page - rows of one answer
 * @rows: valid only during the callback
 * @version: newest version of the store when it answered
 * @sent_at: when the call was sent, in ns on base_now_ns()'s clock
 */
struct table_page {
	const struct store_row *rows;
	unsigned int count;
	int64_t version;
	int64_t sent_at;
};

/** table_rows_fn() - receives one page; it may free the owner */
typedef void table_rows_fn(const struct table_page *page, void *data);
/**
 * table_read_done_fn() - the read is complete and has been freed
 * @version: a feed after this version reports all changes that the read does not show: the newest
 *	version known when the read began. That in its answer may be newer than its rows
 */
typedef void table_read_done_fn(int64_t version, void *data);

/**
 * table_read() - read all rows of a partition, or the one row with the given key
 * @on_rows: called for each page; the last row of a page may come again as the first
 *           row of the next page
 * @on_end: called once after the last page
 */
struct table *table_read(const struct table_source *source, table_rows_fn *on_rows,
			 table_read_done_fn *on_end, void *data);

/** table_history_gone_fn() - the feed has ended and has been freed */
typedef void table_history_gone_fn(void *data);

/**
 * table_follow() - receive the changes of a table, in all its partitions, as they happen
 * @after: version of the store after which changes are reported
 * @wait_ms: how long one call waits for a change, in ms; it limits how long a
 *           connection that went silent goes unnoticed
 * @on_rows: also called, without rows, when a wait ended without a change
 * @on_gone: called when the store no longer keeps the changes since the last
 *           version reported; the table must be read again
 */
struct table *table_follow(const struct table_source *source, int64_t after, int64_t wait_ms,
			   table_rows_fn *on_rows, table_history_gone_fn *on_gone, void *data);

/** table_resume() - continue to receive an answer that was held */
void table_resume(struct table *t);
/**
 * table_skip_to() - do not report the changes of a feed up to @version
 *
 * An answer that is being received is abandoned. Not to be called from the feed's callbacks.
 */
void table_skip_to(struct table *t, int64_t version);

#endif
