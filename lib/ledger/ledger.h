/**
 * DOC: ledger - append-only record of what a stand-in did, as JSON lines
 */
#ifndef LEDGER_H
#define LEDGER_H

#include "base/base.h"

struct ledger;

/** ledger_new() - append to @path; NULL when it cannot be opened */
struct ledger *ledger_new(TALLOC_CTX *ctx, const char *path);
/** ledger_write() - add one act; takes the reference to @entry and adds the time */
void ledger_write(struct ledger *ledger, json_t *entry);

#endif
