/**
 * @file sse.h
 * Finds the events of a stream (text/event-stream) in its bytes, which may be
 * split anywhere. Lines end with LF, CR LF or CR; an empty line ends an event.
 * Source: HTML Living Standard, 9.2.5 "Parsing an event stream".
 */
#ifndef QG_SSE_H
#define QG_SSE_H

#include "qg.h"

G_BEGIN_DECLS

/** State of one stream. */
typedef struct
{
  /** Id of the last complete event that had a numeric one, or -1. */
  gint64 last_id;
  gint64 first_id;     /**< numeric id of the first event, or -1 */
  gint64 run_first_id; /**< the same, of the current run */
  guint64 events;      /**< complete events with data of the current run */
  gsize pending;       /**< bytes of the incomplete event at the end */
  gboolean unnumbered; /**< an event with data had no numeric id */
  gboolean repeats;    /**< an id was not above the one before it */
  gint64 id;           /* of the incomplete event, or -1 */
  gboolean has_data;   /* of the incomplete event */
  gboolean after_cr;   /* the previous byte was CR */
  gsize line_len;      /* bytes of the current line, without its end */
  char line[32];       /* its beginning: a field name and a number */
} QgSse;

/** Begins a stream that continues after the event @a last_id (-1: none). */
void qg_sse_init (QgSse *sse, gint64 last_id);

/**
 * Reads the next bytes of the stream.
 *
 * @return how many bytes of @a data precede the end of the last event that ends
 *         in @a data; 0 if no event ends there.
 */
gsize qg_sse_feed (QgSse *sse, const char *data, gsize len);

/** Forgets the incomplete event of a run that broke off, before another run
 * continues the stream. */
void qg_sse_next_run (QgSse *sse);

/**
 * Whether the run can end here; one that ends elsewhere was broken off.
 *
 * @param framed the end is marked by a length or a last chunk. Without such a
 *               mark, a run without events counts as broken off too.
 */
gboolean qg_sse_may_end (const QgSse *sse, gboolean framed);

G_END_DECLS

#endif
