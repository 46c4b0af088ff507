#include "base.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>
#include <xxhash.h>

/* ---- outcomes and classes ---- */

const char *base_outcome_name(enum outcome o)
{
	static const char *const names[] = {
#define X(id, name, status) name,
		BASE_OUTCOMES(X)
#undef X
	};
	return names[o];
}

unsigned int base_outcome_http_status(enum outcome o)
{
	static const unsigned int status[] = {
#define X(id, name, code) code,
		BASE_OUTCOMES(X)
#undef X
	};
	return status[o];
}

enum outcome base_outcome_parse(const char *name)
{
#define X(id, text, status)      \
	if (!strcmp(name, text)) \
		return id;
	BASE_OUTCOMES(X)
#undef X
	return OUTCOME_NONE;
}

const char *base_class_name(enum service_class c)
{
	static const char *const names[] = {
#define X(id, name) name,
		BASE_CLASSES(X)
#undef X
	};
	return names[c];
}

enum service_class base_class_parse(const char *name)
{
#define X(id, text)              \
	if (!strcmp(name, text)) \
		return id;
	BASE_CLASSES(X)
#undef X
	return CLASS_COUNT;
}

/* ---- strings ---- */

struct str str_from(const char *cstr)
{
	struct str s = {cstr ? cstr : "", cstr ? strlen(cstr) : 0};

	return s;
}

bool str_eq(struct str a, struct str b)
{
	return a.len == b.len && (a.len == 0 || !memcmp(a.ptr, b.ptr, a.len));
}

char *str_dup(TALLOC_CTX *ctx, struct str s)
{
	char *copy = talloc_array(ctx, char, s.len + 1);

	if (s.len)
		memcpy(copy, s.ptr, s.len);
	copy[s.len] = 0;
	return copy;
}

char *base_url_add(char *url, const char *name, struct str text)
{
	gchar *escaped =
		g_uri_escape_bytes((const guint8 *)(text.ptr ? text.ptr : ""), text.len, NULL);
	char *longer = talloc_asprintf_append_buffer(url, "%c%s=%s", strchr(url, '?') ? '&' : '?',
						     name, escaped);

	g_free(escaped);
	return longer;
}

/* ---- time ---- */

int64_t base_now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000000LL + ts.tv_nsec;
}

int64_t base_boottime_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000000000LL + ts.tv_nsec;
}

int64_t base_deadline_in(int64_t ms)
{
	return base_now_ns() + ms * BASE_NS_PER_MS;
}

int64_t base_remaining_ms(int64_t deadline)
{
	int64_t remaining = deadline - base_now_ns();

	return remaining <= 0 ? 0 : (remaining + BASE_NS_PER_MS - 1) / BASE_NS_PER_MS;
}

int64_t base_wall_us(void)
{
	struct timeval tv;

	gettimeofday(&tv, NULL);
	return (int64_t)tv.tv_sec * 1000000LL + tv.tv_usec;
}

struct timeval base_timeval_in_ms(int64_t ms)
{
	struct timeval tv;

	gettimeofday(&tv, NULL);
	tv.tv_sec += ms / BASE_MS_PER_S;
	tv.tv_usec += (ms % BASE_MS_PER_S) * 1000;
	if (tv.tv_usec >= 1000000) {
		tv.tv_sec++;
		tv.tv_usec -= 1000000;
	}
	return tv;
}

/* ---- random numbers and hashes ---- */

uint64_t base_random64(void)
{
	static _Thread_local GRand *rng;
	uint32_t seed[4];

	if (!rng) {
		if (getrandom(seed, sizeof(seed), 0) != (ssize_t)sizeof(seed))
			g_error("cannot seed the random generator: getrandom: %s", strerror(errno));
		rng = g_rand_new_with_seed_array(seed, 4);
	}
	return (uint64_t)g_rand_int(rng) << 32 | g_rand_int(rng);
}

uint64_t base_hash(const void *data, size_t len, uint64_t seed)
{
	return XXH3_64bits_withSeed(data, len, seed);
}

uint64_t base_rendezvous_weight(const char *node, const char *key)
{
	return base_hash(key, strlen(key), base_hash(node, strlen(node), 0));
}

/* ---- JSON ---- */

const char *base_json_str(const json_t *obj, const char *key, const char *fallback)
{
	const char *s = json_string_value(json_object_get(obj, key));

	return s ? s : fallback;
}

int64_t base_json_int(const json_t *obj, const char *key, int64_t fallback)
{
	const json_t *v = json_object_get(obj, key);

	return json_is_integer(v) ? json_integer_value(v) : fallback;
}

double base_json_number(const json_t *obj, const char *key, double fallback)
{
	const json_t *v = json_object_get(obj, key);

	return json_is_number(v) ? json_number_value(v) : fallback;
}

int64_t base_json_within(const json_t *obj, const char *key, int64_t min, int64_t max,
			 int64_t fallback)
{
	const json_t *v = json_object_get(obj, key);
	double real = json_number_value(v);

	if (json_is_integer(v))
		return json_integer_value(v) >= min && json_integer_value(v) <= max
			       ? json_integer_value(v)
			       : fallback;
	return json_is_real(v) && real >= (double)min && real <= (double)max ? (int64_t)real
									     : fallback;
}

bool base_json_bool(const json_t *obj, const char *key, bool fallback)
{
	const json_t *v = json_object_get(obj, key);

	return json_is_boolean(v) ? json_is_true(v) : fallback;
}

char *base_json_text(TALLOC_CTX *ctx, const json_t *v)
{
	char *raw = json_dumps(v, JSON_COMPACT | JSON_ENCODE_ANY);
	char *text = talloc_strdup(ctx, raw ? raw : "null");

	free(raw);
	return text;
}

/* ---- logging ---- */

static struct {
	char program[48];
	char vm[64];
	int fd;
} log_state = {.fd = STDERR_FILENO};

/* lines of one event name in the current second */
struct log_rate {
	int64_t second;	      /* of base_now_ns()'s clock */
	unsigned int written; /* in that second */
	uint64_t dropped;     /* since the last line that was written */
};

static GMutex log_mutex;
static GHashTable *log_rate_of_event;
static uint64_t log_dropped;

/*
 * Applies the rate limit to one line of @event.
 * Return: the number of lines dropped since the last one written, or -1 when
 * this line is to be dropped as well.
 */
static int64_t log_admit(const char *event)
{
	int64_t second = base_now_ns() / (BASE_MS_PER_S * BASE_NS_PER_MS);
	struct log_rate *rate;
	int64_t dropped = -1;

	g_mutex_lock(&log_mutex);
	if (!log_rate_of_event)
		log_rate_of_event = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rate = g_hash_table_lookup(log_rate_of_event, event);
	if (!rate) {
		rate = g_new0(struct log_rate, 1);
		g_hash_table_insert(log_rate_of_event, g_strdup(event), rate);
	}
	if (rate->second != second) {
		rate->second = second;
		rate->written = 0;
	}
	if (rate->written < BASE_LOG_PER_SECOND) {
		rate->written++;
		dropped = (int64_t)rate->dropped;
		rate->dropped = 0;
	} else {
		rate->dropped++;
		log_dropped++;
	}
	g_mutex_unlock(&log_mutex);
	return dropped;
}

/* One write() per line keeps lines of several threads from mixing. A full pipe drops the line. */
static void log_write_line(json_t *line)
{
	char *raw = json_dumps(line, JSON_COMPACT);
	size_t len = raw ? strlen(raw) : 0;

	if (len > BASE_LOG_LINE_MAX) {
		free(raw);
		json_object_clear(line);
		json_object_set_new(line, "event", json_string("log_line_too_long"));
		json_object_set_new(line, "bytes", json_integer((json_int_t)len));
		raw = json_dumps(line, JSON_COMPACT);
		len = raw ? strlen(raw) : 0;
	}
	if (raw) {
		raw[len] = '\n';
		if (write(log_state.fd, raw, len + 1) < 0) {
			g_mutex_lock(&log_mutex);
			log_dropped++;
			g_mutex_unlock(&log_mutex);
		}
	}
	free(raw);
	json_decref(line);
}

uint64_t base_log_dropped(void)
{
	uint64_t n;

	g_mutex_lock(&log_mutex);
	n = log_dropped;
	g_mutex_unlock(&log_mutex);
	return n;
}

static const char *log_field(const GLogField *fields, gsize n, const char *key)
{
	for (gsize i = 0; i < n; i++)
		if (!strcmp(fields[i].key, key))
			return fields[i].value;
	return "";
}

static const char *log_level_name(GLogLevelFlags level)
{
	switch (level & G_LOG_LEVEL_MASK) {
	case G_LOG_LEVEL_ERROR:
		return "fatal";
	case G_LOG_LEVEL_CRITICAL:
		return "error";
	case G_LOG_LEVEL_WARNING:
		return "warning";
	default:
		return "info";
	}
}

static json_t *log_line(GLogLevelFlags level, const char *event)
{
	return json_pack("{sI ss ss ss ss}", "time_us", (json_int_t)base_wall_us(), "level",
			 log_level_name(level), "program", log_state.program, "vm", log_state.vm,
			 "event", event);
}

static GLogWriterOutput log_writer(GLogLevelFlags level, const GLogField *fields, gsize n,
				   gpointer data G_GNUC_UNUSED)
{
	json_t *line = log_line(level, log_field(fields, n, "EVENT"));

	json_object_set_new(line, "message", json_string(log_field(fields, n, "MESSAGE")));
	log_write_line(line);
	return G_LOG_WRITER_HANDLED;
}

void base_log_event(GLogLevelFlags level, const char *event, json_t *fields)
{
	int64_t dropped = log_admit(event);
	json_t *line;

	if (dropped >= 0) {
		line = log_line(level, event);
		json_object_update(line, fields);
		if (dropped)
			json_object_set_new(line, "dropped_before", json_integer(dropped));
		log_write_line(line);
	}
	json_decref(fields);
}

int base_log_init(const char *program, const char *vm, const char *path)
{
	g_strlcpy(log_state.program, program, sizeof(log_state.program));
	g_strlcpy(log_state.vm, vm, sizeof(log_state.vm));
	if (path && !strcmp(path, "stdout")) {
		int flags = fcntl(STDOUT_FILENO, F_GETFL);

		log_state.fd = STDOUT_FILENO;
		if (flags >= 0)
			fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	} else if (path && *path && strcmp(path, "-")) {
		int fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);

		if (fd < 0)
			return -errno;
		log_state.fd = fd;
	}
	g_log_set_writer_func(log_writer, NULL, NULL);
	return 0;
}

void base_log(GLogLevelFlags level, const char *event, const char *fmt, ...)
{
	char text[512];
	va_list ap;
	GLogField fields[2] = {{"EVENT", event, -1}, {"MESSAGE", text, -1}};

	if (log_admit(event) < 0)
		return;
	va_start(ap, fmt);
	g_vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	g_log_structured_array(level, fields, 2);
}

/* ---- counters ---- */

void counter_add(struct counter_set *set, unsigned int thread, unsigned int id, uint64_t n)
{
	atomic_fetch_add_explicit(&set->value[thread][id], n, memory_order_relaxed);
}

uint64_t counter_sum(struct counter_set *set, unsigned int id)
{
	uint64_t sum = 0;

	for (unsigned int t = 0; t < COUNTER_THREADS_MAX; t++)
		sum += atomic_load_explicit(&set->value[t][id], memory_order_relaxed);
	return sum;
}

char *counter_text(TALLOC_CTX *ctx, struct counter_set *set)
{
	char *text = talloc_strdup(ctx, "");

	for (unsigned int i = 0; i < set->count; i++)
		text = talloc_asprintf_append_buffer(text, "currantlane_%s %" PRIu64 "\n",
						     set->names[i], counter_sum(set, i));
	return text;
}
