/**
 * DOC: platform - client of the platform's table service and VM list
 *
 * When the answer to a transaction is lost, the client sends the same
 * conditional writes again with the same token. If that attempt ends in a
 * conflict, the client reads the first row back: when the row holds the token,
 * the conflict was with its own earlier attempt, and the transaction was
 * applied. A caller therefore gets PLATFORM_NO_ANSWER for a transaction only
 * when no attempt settled its outcome by the deadline.
 */
#ifndef PLATFORM_H
#define PLATFORM_H

#include "httpc/httpc.h"

enum platform_result {
	PLATFORM_OK,
	PLATFORM_CONFLICT,    /* a row was not at the expected version; nothing was written */
	PLATFORM_NOT_APPLIED, /* nothing was written: the service is down or rejects calls */
	PLATFORM_NO_ANSWER,   /* no usable answer by the deadline; a write may have been applied */
};

#define PLATFORM_EXPECT_ANY (-1)
#define PLATFORM_EXPECT_ABSENT 0
#define PLATFORM_WRITES_MAX 8 /* rows of one transaction */

/**
 * struct platform_write - one row of a transaction
 * @table: table name
 * @key: row key
 * @expect: version that the row must have, or one of PLATFORM_EXPECT_*
 * @value: new value, borrowed and copied; a JSON object, to which the member
 *         "token" is added; NULL deletes the row
 * @check_only: compare the version of this row without writing it
 */
struct platform_write {
	const char *table;
	const char *key;
	int64_t expect;
	json_t *value;
	bool check_only;
};

struct platform;

/* @value is borrowed for the call */
typedef void platform_read_done(enum platform_result result, int64_t version, json_t *value,
				void *data);
/* @versions: new version of each row in the order of the writes; NULL unless PLATFORM_OK */
typedef void platform_tx_done(enum platform_result result, const int64_t *versions, void *data);

/** platform_new() - a client of the service at @ip and @port that calls as VM @vm */
struct platform *platform_new(TALLOC_CTX *ctx, struct tevent_context *ev, struct httpc *http,
			      const char *ip, uint16_t port, const char *vm);
/** platform_read() - read one row; version 0 and a NULL value when the row is absent */
void platform_read(struct platform *p, const char *table, const char *key, int64_t deadline,
		   platform_read_done *done, void *data);
/**
 * platform_scan() - read up to @limit rows whose key starts with @prefix and follows @after
 *
 * The value is an array of objects with "key", "value" and "version". @prefix and @after must be
 * valid in a URL as they are.
 */
void platform_scan(struct platform *p, const char *table, const char *prefix, const char *after,
		   unsigned int limit, int64_t deadline, platform_read_done *done, void *data);
/** platform_vms() - read the VM list; a NULL value when it is still at version @since */
void platform_vms(struct platform *p, int64_t since, int64_t deadline, platform_read_done *done,
		  void *data);
/** platform_tx() - write 1 to PLATFORM_WRITES_MAX rows, all or none */
void platform_tx(struct platform *p, const struct platform_write *writes, unsigned int count,
		 int64_t deadline, platform_tx_done *done, void *data);

#endif
