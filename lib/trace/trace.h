/**
 * DOC: trace - W3C trace context and spans, one JSON line a span
 */
#ifndef TRACE_H
#define TRACE_H

#include "base/base.h"

#define TRACE_PARENT_LEN 55 /* "00-" 32 hex "-" 16 hex "-01" */

/**
 * struct trace_span - one hop in progress
 * @trace: trace id in hex
 * @id: this span's id in hex
 * @parent: id of the span above, empty at the root
 * @started: start on this process's clock
 */
struct trace_span {
	char trace[33];
	char id[17];
	char parent[17];
	int64_t started;
};

/** trace_init() - append spans to @path; an empty path turns tracing off */
int trace_init(const char *vm, const char *path);
/** trace_span_start() - start a span below @traceparent, or a new trace when that is not valid */
struct trace_span trace_span_start(const char *traceparent);
/** trace_span_end() - write the span; @hop names the step, @note is free text */
void trace_span_end(const struct trace_span *span, const char *hop, const char *note);
/** trace_format_parent() - the traceparent that makes callees children of @span */
void trace_format_parent(const struct trace_span *span, char out[TRACE_PARENT_LEN + 1]);
/** trace_flush() - write out what this thread has buffered */
void trace_flush(void);

#endif
