/**
 * @file trace.h
 * Request tracing: one span per hop with W3C trace context, written to a file
 * as OTLP/JSON, one span a line.
 */
#ifndef QG_TRACE_H
#define QG_TRACE_H

#include "lib/qg.h"

G_BEGIN_DECLS

enum
{
  QG_TRACE_ID_CHARS = 32,
  QG_SPAN_ID_CHARS = 16,
  /** "00-" trace id "-" span id "-01" and the terminating NUL. */
  QG_TRACEPARENT_BYTES = 56,
};

/** What a span measures. */
typedef enum
{
  QG_SPAN_ENTRY, /**< from the caller's request to the last response byte */
  QG_SPAN_QUEUE, /**< time in the entry's queue */
  QG_SPAN_AGENT, /**< at the agent, including the target's work */
  QG_N_SPAN_KINDS
} QgSpanKind;

typedef struct QgTrace QgTrace;

/** One span, embedded in its owner. */
typedef struct
{
  char trace_id[QG_TRACE_ID_CHARS + 1];
  char span_id[QG_SPAN_ID_CHARS + 1];
  char parent_id[QG_SPAN_ID_CHARS + 1]; /**< empty for a root */
  QgSpanKind kind;
  gint64 started_at; /**< microseconds since the epoch */
} QgSpan;

/**
 * Opens @a file for appending.
 *
 * @param process value of the service.name attribute.
 * @return NULL when @a file is empty or cannot be opened; qg_span_end() and
 *   qg_trace_close() accept NULL and do nothing.
 */
QgTrace *qg_trace_open (const char *file, const char *process);
void qg_trace_close (QgTrace *trace);

/** Begins a span as child of @a traceparent; if @a traceparent is NULL or
 * malformed, begins a new trace. */
void qg_span_start (QgSpan *span, QgSpanKind kind, const char *traceparent);

/** Formats the traceparent to send to the next hop. */
void qg_span_format_traceparent (const QgSpan *span,
                                 char traceparent[QG_TRACEPARENT_BYTES]);

/**
 * Ends a span and writes it.
 *
 * @a workspace, @a service and @a outcome become attributes.
 */
void qg_span_end (QgTrace *trace, const QgSpan *span, const char *workspace,
                  const char *service, const char *outcome);

G_END_DECLS

#endif
