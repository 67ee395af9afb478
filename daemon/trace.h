/**
 * @file trace.h
 * A span for each hop of a request, with W3C trace contexts, written as
 * OTLP/JSON lines to a file.
 */
#ifndef QG_TRACE_H
#define QG_TRACE_H

#include "lib/qg.h"

G_BEGIN_DECLS

enum
{
  QG_TRACE_ID_CHARS = 32,
  QG_SPAN_ID_CHARS = 16,
  /** "00-" trace id "-" span id "-01" and the end. */
  QG_TRACEPARENT_BYTES = 56,
};

/** What a span of a request stands for. */
typedef enum
{
  QG_SPAN_ENTRY, /**< from the caller's request to its last byte */
  QG_SPAN_QUEUE, /**< waiting at the entry */
  QG_SPAN_AGENT, /**< at the agent, the target's work included */
  QG_N_SPAN_KINDS
} QgSpanKind;

typedef struct QgTrace QgTrace;

/** One hop; a plain record of its owner. */
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
 * @param process named in the spans as service.name.
 * @return NULL when @a file is empty or cannot be opened; all functions take
 *   NULL and do nothing.
 */
QgTrace *qg_trace_open (const char *file, const char *process);
void qg_trace_close (QgTrace *trace);

/** Begins a span under @a traceparent; a malformed one begins a new trace. */
void qg_span_start (QgSpan *span, QgSpanKind kind, const char *traceparent);

/** The traceparent for the next hop. */
void qg_span_parent (const QgSpan *span,
                     char traceparent[QG_TRACEPARENT_BYTES]);

/**
 * Ends a span and writes it.
 *
 * @param workspace and @a service become attributes; so does @a outcome.
 */
void qg_span_end (QgTrace *trace, const QgSpan *span, const char *workspace,
                  const char *service, const char *outcome);

G_END_DECLS

#endif
