/**
 * DOC: ledger - append-only log of a stand-in's actions as JSON lines
 */
#ifndef LEDGER_H
#define LEDGER_H

#include "base/base.h"

struct ledger;

/** ledger_new() - a ledger that appends to @path; NULL when the file cannot be opened */
struct ledger *ledger_new(TALLOC_CTX *ctx, const char *path);
/**
 * ledger_write() - append one action
 * @ledger: where to; NULL writes nothing
 * @entry: JSON object, to which "time_us" is added; its reference is taken
 */
void ledger_write(struct ledger *ledger, json_t *entry);

#endif
