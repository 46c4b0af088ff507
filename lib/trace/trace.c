#include "trace.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#define TRACE_BUFFER (32 * 1024) /* bytes per thread */
#define TRACE_LINE_MAX 512	 /* bytes; a longer line is dropped */

static struct {
	int fd;
	char vm[64];
} trace_state = {.fd = -1};

static _Thread_local char buffer[TRACE_BUFFER];
static _Thread_local size_t buffer_len;

int trace_init(const char *vm, const char *path)
{
	g_strlcpy(trace_state.vm, vm, sizeof(trace_state.vm));
	if (!path || !*path)
		return 0;
	trace_state.fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	return trace_state.fd < 0 ? -errno : 0;
}

static bool is_hex(const char *s, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (!g_ascii_isxdigit(s[i]))
			return false;
	return true;
}

struct trace_span trace_span_start(const char *traceparent)
{
	struct trace_span span = {.started = base_now_ns()};

	g_snprintf(span.id, sizeof(span.id), "%016" PRIx64, base_random64());
	if (traceparent && strlen(traceparent) >= TRACE_PARENT_LEN && traceparent[2] == '-' &&
	    traceparent[35] == '-' && is_hex(traceparent + 3, 32) && is_hex(traceparent + 36, 16)) {
		memcpy(span.trace, traceparent + 3, 32);
		memcpy(span.parent, traceparent + 36, 16);
	} else {
		g_snprintf(span.trace, sizeof(span.trace), "%016" PRIx64 "%016" PRIx64,
			   base_random64(), base_random64());
	}
	return span;
}

void trace_flush(void)
{
	if (trace_state.fd >= 0 && buffer_len && write(trace_state.fd, buffer, buffer_len) < 0)
		errno = 0; /* the spans are lost; that must not fail a request */
	buffer_len = 0;
}

void trace_span_end(const struct trace_span *span, const char *hop, const char *note)
{
	int n;

	if (trace_state.fd < 0)
		return;
	if (buffer_len + TRACE_LINE_MAX > sizeof(buffer))
		trace_flush();
	n = g_snprintf(buffer + buffer_len, TRACE_LINE_MAX,
		       "{\"trace\":\"%s\",\"span\":\"%s\",\"parent\":\"%s\",\"hop\":\"%s\","
		       "\"vm\":\"%s\",\"end_us\":%" PRId64 ",\"duration_us\":%" PRId64
		       ",\"note\":\"%.160s\"}\n",
		       span->trace, span->id, span->parent, hop, trace_state.vm, base_wall_us(),
		       (int64_t)((base_now_ns() - span->started) / BASE_NS_PER_US), note);
	if (n > 0 && n < TRACE_LINE_MAX)
		buffer_len += (size_t)n;
}

void trace_format_parent(const struct trace_span *span, char out[TRACE_PARENT_LEN + 1])
{
	g_snprintf(out, TRACE_PARENT_LEN + 1, "00-%s-%s-01", span->trace, span->id);
}
