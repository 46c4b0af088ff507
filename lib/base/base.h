/**
 * DOC: base - strings, deadlines, random numbers, logging and counters
 *
 * Everything here is safe to call from any thread unless a function says
 * otherwise. Nothing here depends on another library of this workspace.
 */
#ifndef BASE_H
#define BASE_H

#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <inttypes.h>
#include <stdint.h>
#include <glib.h>
#include <jansson.h>
#include <talloc.h>

#define BASE_NS_PER_MS 1000000LL
#define BASE_NS_PER_US 1000LL
#define BASE_MS_PER_S 1000LL

/* ---- outcomes ---- */

/* the closed set of outcomes of a request or a job */
#define BASE_OUTCOMES(X)                   \
	X(OUTCOME_NONE, "pending", 202)    \
	X(OUTCOME_DONE, "done", 200)       \
	X(OUTCOME_FAILED, "failed", 500)   \
	X(OUTCOME_NOT_RUN, "not_run", 503) \
	X(OUTCOME_UNKNOWN, "unknown", 504)

enum outcome {
#define X(id, name, status) id,
	BASE_OUTCOMES(X)
#undef X
};

const char *base_outcome_name(enum outcome o);
unsigned int base_outcome_http_status(enum outcome o);
enum outcome base_outcome_parse(const char *name);

/* service classes, most urgent first */
#define BASE_CLASSES(X)           \
	X(CLASS_URGENT, "urgent") \
	X(CLASS_NORMAL, "normal") \
	X(CLASS_BATCH, "batch")

enum service_class {
#define X(id, name) id,
	BASE_CLASSES(X)
#undef X
		CLASS_COUNT
};

const char *base_class_name(enum service_class c);
/** base_class_parse() - class of a name, or CLASS_COUNT when there is none */
enum service_class base_class_parse(const char *name);

/* ---- length-counted strings ---- */

/**
 * struct str - a borrowed, length-counted string
 * @ptr: first byte; need not be NUL-terminated
 * @len: length in bytes
 */
struct str {
	const char *ptr;
	size_t len;
};

struct str str_from(const char *cstr);
bool str_eq(struct str a, struct str b);
/** str_dup() - NUL-terminated talloc copy owned by @ctx */
char *str_dup(TALLOC_CTX *ctx, struct str s);

/* ---- time: a deadline is a point on this process's monotonic clock ---- */

/** base_boottime_ns() - like base_now_ns(), but goes on while the VM is suspended; ns */
int64_t base_boottime_ns(void);

/** base_now_ns() - monotonic clock in ns */
int64_t base_now_ns(void);
/** base_deadline_in() - the deadline @ms milliseconds from now */
int64_t base_deadline_in(int64_t ms);
/** base_remaining_ms() - time left until @deadline, rounded up, never negative */
int64_t base_remaining_ms(int64_t deadline);
/** base_wall_us() - wall clock in us, for logs and traces only */
int64_t base_wall_us(void);
struct timeval base_timeval_in_ms(int64_t ms);

/* ---- random numbers and hashes ---- */

/** base_random64() - 64 random bits from a per-thread generator */
uint64_t base_random64(void);
uint64_t base_hash(const void *data, size_t len, uint64_t seed);
/** base_rendezvous_weight() - rendezvous weight of @node for @key; the highest weight owns the key
 */
uint64_t base_rendezvous_weight(const char *node, const char *key);

/* ---- JSON helpers; all borrow, none returns NULL for strings ---- */

const char *base_json_str(const json_t *obj, const char *key, const char *fallback);
int64_t base_json_int(const json_t *obj, const char *key, int64_t fallback);
/** base_json_number() - an integer or real member */
double base_json_number(const json_t *obj, const char *key, double fallback);
bool base_json_bool(const json_t *obj, const char *key, bool fallback);
/** base_json_text() - compact text of @v owned by @ctx */
char *base_json_text(TALLOC_CTX *ctx, const json_t *v);

/* ---- logging: one JSON object a line ---- */

#define BASE_LOG_LINE_MAX 4000	/* bytes; a pipe takes so much in one piece or not at all */
#define BASE_LOG_PER_SECOND 200 /* lines of one event and second; more are counted, not written */

/**
 * base_log_init() - send GLib's log to @path as JSON lines
 * @path: a file, "-" for stderr, or "stdout", which is then never waited for
 */
int base_log_init(const char *program, const char *vm, const char *path);
/**
 * base_log_event() - one line with fields
 * @event: what happened; lines are counted and bounded by this name
 * @fields: object whose members are added to the line; its reference is taken
 */
void base_log_event(GLogLevelFlags level, const char *event, json_t *fields);
/** base_log_dropped() - lines not written because of the bound or a slow reader */
uint64_t base_log_dropped(void);
void base_log(GLogLevelFlags level, const char *event, const char *fmt, ...) G_GNUC_PRINTF(3, 4);
#define log_info(event, ...) base_log(G_LOG_LEVEL_MESSAGE, event, __VA_ARGS__)
#define log_warn(event, ...) base_log(G_LOG_LEVEL_WARNING, event, __VA_ARGS__)
/* log_event("job_accepted", "{ss sI}", "id", id, "version", version): format of json_pack() */
#define log_event(event, ...) base_log_event(G_LOG_LEVEL_MESSAGE, event, json_pack(__VA_ARGS__))

/* ---- counters: one slot a thread, summed when read ---- */

#define COUNTER_THREADS_MAX 32
#define COUNTER_IDS_MAX 64

/**
 * struct counter_set - counters of one process
 * @names: metric names, @count entries
 * @count: number of counters in use
 * @value: per thread and counter; only the owning thread adds
 */
struct counter_set {
	const char *const *names;
	unsigned int count;
	_Atomic uint64_t value[COUNTER_THREADS_MAX][COUNTER_IDS_MAX];
};

void counter_add(struct counter_set *set, unsigned int thread, unsigned int id, uint64_t n);
uint64_t counter_sum(struct counter_set *set, unsigned int id);
/** counter_text() - all counters as "name value" lines, owned by @ctx */
char *counter_text(TALLOC_CTX *ctx, struct counter_set *set);

#endif
