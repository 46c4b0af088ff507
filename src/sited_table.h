/**
 * DOC: sited_table - read a table whole, or follow its changes, until the owner is freed
 *
 * What the store turns away or does not answer is asked again after a while.
 * No callback comes once the owner is gone, however late an answer is.
 */
#ifndef SITED_TABLE_H
#define SITED_TABLE_H

#include <tevent.h>

#include "platform/store.h"

#define SITED_CALL_MS 1500  /* a store that is 60 times slower than usual still answers in it */
#define SITED_RETRY_MS 150  /* before a call that the store turned away is made again */
#define TABLE_ANSWER_MS 600 /* to a feed, on top of its wait */

/**
 * struct table_source - where rows come from
 * @owner: calls end with it
 * @part: only for a read
 * @key: only for a read: this row alone, NULL for all
 */
struct table_source {
	TALLOC_CTX *owner;
	struct tevent_context *ev;
	struct store *store;
	const char *table;
	const char *part;
	const char *key;
};

/**
 * struct table_page - rows of one answer
 * @version: of the store, when it answered
 * @sent_at: when it was asked, on base_now_ns()'s clock
 */
struct table_page {
	const struct store_row *rows;
	unsigned int count;
	int64_t version;
	int64_t sent_at;
};

typedef void table_rows(const struct table_page *page, void *data);
/** table_end() - all was read; @version is that of the store at the first page */
typedef void table_end(int64_t version, void *data);

/** table_read() - all rows, page by page; a row may come twice, as last and first of two pages */
void table_read(const struct table_source *source, table_rows *on_rows, table_end *on_end,
		void *data);

typedef void table_gone(void *data);

/**
 * table_follow() - changes after version @after, as they come
 * @wait_ms: one call waits so long for a change; it bounds how long a connection
 *           that went silent is believed
 * @on_rows: also called when a wait ended without a change
 * @on_gone: the history is gone and following has ended; read the table again
 */
void table_follow(const struct table_source *source, int64_t after, int64_t wait_ms,
		  table_rows *on_rows, table_gone *on_gone, void *data);

#endif
