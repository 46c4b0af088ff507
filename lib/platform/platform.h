/**
 * DOC: platform - client of the platform's table service and VM list
 *
 * A write whose answer was lost is settled here: the same conditional write is
 * sent again with the same token, and a conflict is resolved by reading the
 * row back and comparing the token. A caller therefore sees PLATFORM_NO_ANSWER only
 * when the deadline passed without an answer.
 */
#ifndef PLATFORM_H
#define PLATFORM_H

#include "httpc/httpc.h"

enum platform_result {
	PLATFORM_OK,
	PLATFORM_CONFLICT,    /* a row was not at the expected version */
	PLATFORM_NOT_APPLIED, /* definitely not applied: down, or over its limit */
	PLATFORM_NO_ANSWER,   /* no answer by the deadline; a write may have taken effect */
};

#define PLATFORM_EXPECT_ANY (-1)
#define PLATFORM_EXPECT_ABSENT 0
#define PLATFORM_WRITES_MAX 8

/**
 * struct platform_write - one row of a transaction
 * @table: table name
 * @key: row key
 * @expect: version that the row must have, or one of PLATFORM_EXPECT_*
 * @value: new value, borrowed; NULL deletes the row
 * @check_only: compare the version, write nothing
 */
struct platform_write {
	const char *table;
	const char *key;
	int64_t expect;
	json_t *value;
	bool check_only;
};

struct platform;

typedef void platform_read_done(enum platform_result result, int64_t version, json_t *value,
				void *data);
typedef void platform_tx_done(enum platform_result result, const int64_t *versions, void *data);

struct platform *platform_new(TALLOC_CTX *ctx, struct tevent_context *ev, struct httpc *http,
			      const char *ip, uint16_t port, const char *vm);
/** platform_read() - one row; version 0 and a NULL value when it is absent */
void platform_read(struct platform *p, const char *table, const char *key, int64_t deadline,
		   platform_read_done *done, void *data);
/** platform_scan() - rows whose key starts with @prefix and follows @after, as an array */
void platform_scan(struct platform *p, const char *table, const char *prefix, const char *after,
		   unsigned int limit, int64_t deadline, platform_read_done *done, void *data);
/** platform_vms() - the VM list, NULL value when it is still at version @since */
void platform_vms(struct platform *p, int64_t since, int64_t deadline, platform_read_done *done,
		  void *data);
/** platform_tx() - all rows or none; at most PLATFORM_WRITES_MAX */
void platform_tx(struct platform *p, const struct platform_write *writes, unsigned int count,
		 int64_t deadline, platform_tx_done *done, void *data);

#endif
