/**
 * DOC: base - strings, deadlines, random numbers, logging and counters
 *
 * Everything here is safe to call from any thread unless a function says
 * otherwise. Nothing here depends on another library in lib/.
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

/* every outcome of a request or a job: identifier, name in JSON, HTTP status */
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

/** base_outcome_name() - name of @o in JSON, statically allocated */
const char *base_outcome_name(enum outcome o);
/** base_outcome_http_status() - HTTP status that reports @o */
unsigned int base_outcome_http_status(enum outcome o);
/** base_outcome_parse() - outcome of a name; OUTCOME_NONE when the name is unknown */
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

/** base_class_name() - name of @c in JSON, statically allocated; not for CLASS_COUNT */
const char *base_class_name(enum service_class c);
/** base_class_parse() - class of a name; CLASS_COUNT when the name is unknown */
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

/** str_from() - borrow a NUL-terminated string; NULL gives an empty string */
struct str str_from(const char *cstr);
/** str_eq() - whether both have the same length and bytes */
bool str_eq(struct str a, struct str b);
/** str_dup() - NUL-terminated talloc copy owned by @ctx; it has all bytes, also NULs among them */
char *str_dup(TALLOC_CTX *ctx, struct str s);
/**
 * base_url_add() - append a query parameter to a talloc'ed URL, whatever bytes @text holds
 *
 * Return: the longer URL, which replaces @url.
 */
char *base_url_add(char *url, const char *name, struct str text);

/* ---- time: a deadline is a time in ns on the clock of base_now_ns() ---- */

/** base_boottime_ns() - clock in ns that, unlike base_now_ns(), also counts while suspended */
int64_t base_boottime_ns(void);

/** base_now_ns() - monotonic clock of this machine in ns */
int64_t base_now_ns(void);
/** base_deadline_in() - the deadline in ns that is @ms milliseconds from now */
int64_t base_deadline_in(int64_t ms);
/** base_remaining_ms() - time until @deadline in ms, rounded up, never negative */
int64_t base_remaining_ms(int64_t deadline);
/** base_wall_us() - wall clock in us since the Unix epoch, for logs and traces only */
int64_t base_wall_us(void);
/** base_timeval_in_ms() - wall clock time @ms milliseconds from now, for tevent_add_timer() */
struct timeval base_timeval_in_ms(int64_t ms);

/* ---- random numbers and hashes ---- */

/** base_random64() - 64 random bits from a per-thread generator; not for cryptography */
uint64_t base_random64(void);
/** base_hash() - XXH3 hash; equal on all machines, not for cryptography */
uint64_t base_hash(const void *data, size_t len, uint64_t seed);
/** base_rendezvous_weight() - rendezvous hashing: the node of highest weight owns @key */
uint64_t base_rendezvous_weight(const char *node, const char *key);

/*
 * ---- JSON members ----
 *
 * Each returns @fallback when @obj is NULL or has no member @key of that type.
 */

/** base_json_str() - a string member, valid as long as @obj */
const char *base_json_str(const json_t *obj, const char *key, const char *fallback);
/** base_json_int() - an integer member */
int64_t base_json_int(const json_t *obj, const char *key, int64_t fallback);
/** base_json_number() - an integer or real member */
double base_json_number(const json_t *obj, const char *key, double fallback);
/**
 * base_json_within() - an integer or real member between @min and @max, rounded towards 0
 *
 * Unlike a cast of base_json_number(), this is defined for numbers of any size.
 */
int64_t base_json_within(const json_t *obj, const char *key, int64_t min, int64_t max,
			 int64_t fallback);
/** base_json_bool() - a boolean member */
bool base_json_bool(const json_t *obj, const char *key, bool fallback);
/** base_json_text() - compact JSON text of @v owned by @ctx; "null" when it cannot be encoded */
char *base_json_text(TALLOC_CTX *ctx, const json_t *v);

/* ---- logging: one JSON object per line ---- */

#define BASE_LOG_LINE_MAX 4000	/* bytes; a write to a pipe is atomic up to PIPE_BUF, 4096 */
#define BASE_LOG_PER_SECOND 200 /* lines per event name and second; further ones are dropped */

/**
 * base_log_init() - write GLib's log and base_log_event() as JSON lines
 * @program: name of the program in every line
 * @vm: id of this VM in every line
 * @path: a file to append to, "-" for stderr, or "stdout", which becomes non-blocking:
 *        lines are dropped when its reader does not keep up
 * Return: 0, or -errno when the file cannot be opened.
 */
int base_log_init(const char *program, const char *vm, const char *path);
/**
 * base_log_event() - write one line with fields
 * @event: name of the event; BASE_LOG_PER_SECOND holds for each name
 * @fields: object whose members are added to the line; its reference is taken
 *
 * The field "dropped_before" tells how many lines of the same event were
 * dropped since the last one that was written.
 */
void base_log_event(GLogLevelFlags level, const char *event, json_t *fields);
/** base_log_dropped() - lines dropped so far by the rate limit or because their reader is slow */
uint64_t base_log_dropped(void);
/** base_log() - write one line with a formatted message, cut off at 511 bytes */
void base_log(GLogLevelFlags level, const char *event, const char *fmt, ...) G_GNUC_PRINTF(3, 4);
#define log_info(event, ...) base_log(G_LOG_LEVEL_MESSAGE, event, __VA_ARGS__)
#define log_warn(event, ...) base_log(G_LOG_LEVEL_WARNING, event, __VA_ARGS__)
/* takes json_pack()'s format: log_event("job_accepted", "{ss sI}", "id", id, "version", version) */
#define log_event(event, ...) base_log_event(G_LOG_LEVEL_MESSAGE, event, json_pack(__VA_ARGS__))

/* ---- counters: one value per thread, summed when read ---- */

#define COUNTER_THREADS_MAX 32
#define COUNTER_IDS_MAX 64

/**
 * struct counter_set - counters of one process
 * @names: metric names without the prefix "currantlane_", @count entries
 * @count: number of counters in use
 * @value: value per thread and counter; each thread adds to its own row only
 */
struct counter_set {
	const char *const *names;
	unsigned int count;
	_Atomic uint64_t value[COUNTER_THREADS_MAX][COUNTER_IDS_MAX];
};

/** counter_add() - add @n to counter @id; @thread is the index of the calling thread */
void counter_add(struct counter_set *set, unsigned int thread, unsigned int id, uint64_t n);
/** counter_sum() - value of counter @id over all threads */
uint64_t counter_sum(struct counter_set *set, unsigned int id);
/** counter_text() - all counters in use as "currantlane_NAME VALUE" lines, owned by @ctx */
char *counter_text(TALLOC_CTX *ctx, struct counter_set *set);

#endif
