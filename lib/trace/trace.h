/**
 * DOC: trace - W3C trace context and spans, written as one JSON line per span
 *
 * Each thread buffers its spans until the buffer is full or trace_flush() is called.
 */
#ifndef TRACE_H
#define TRACE_H

#include "base/base.h"

#define TRACE_PARENT_LEN 55 /* "00-" 32 hex "-" 16 hex "-01" */

/**
 * struct trace_span - a span in progress
 * @trace: trace id in hex
 * @id: this span's id in hex
 * @parent: id of the parent span in hex, empty for a root span
 * @started: start in ns on the clock of base_now_ns()
 */
struct trace_span {
	char trace[33];
	char id[17];
	char parent[17];
	int64_t started;
};

/** trace_init() - append spans to @path, or none when it is NULL or ""; 0 or -errno */
int trace_init(const char *vm, const char *path);
/** trace_span_start() - start a child of @traceparent, or a new trace if it is NULL or invalid */
struct trace_span trace_span_start(const char *traceparent);
/**
 * trace_span_end() - end a span and buffer its line
 * @hop: name of the step that the span measured
 * @note: free text, cut off at 160 bytes; like @hop written into JSON without escaping
 */
void trace_span_end(const struct trace_span *span, const char *hop, const char *note);
/** trace_format_parent() - format the traceparent that makes a callee's spans children of @span */
void trace_format_parent(const struct trace_span *span, char out[TRACE_PARENT_LEN + 1]);
/** trace_flush() - write the spans that the calling thread has buffered */
void trace_flush(void);

#endif
