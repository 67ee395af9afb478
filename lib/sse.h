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

/** How an event follows the one before it. */
typedef enum
{
  QG_SSE_IN_ORDER,
  QG_SSE_REPEATED,   /**< its id is not above the one before it */
  QG_SSE_SKIPPED,    /**< events are missing before the run's first one */
  QG_SSE_UNNUMBERED, /**< a run that goes on begins without a numeric id */
  QG_SSE_FOREIGN,    /**< the head of another answer instead of an event */
  QG_N_SSE_ORDERS
} QgSseOrder;

enum
{
  /** Size of an incomplete event above which its stream is broken off. */
  QG_SSE_EVENT_MAX_BYTES = 4 * 1024 * 1024,
  /** Size of the text of qg_sse_describe(). */
  QG_SSE_TEXT_BYTES = 160,
};

/** State of one stream. */
typedef struct
{
  /** Last numeric id in order of a complete event, or -1. */
  gint64 last_id;
  gint64 first_id;      /**< numeric id of the first event, or -1 */
  gint64 run_first_id;  /**< the same, of the current run, in order or not */
  guint64 events;       /**< complete events with data of the current run */
  gsize pending;        /**< bytes that may not be passed on yet */
  gboolean unnumbered;  /**< an event with data had no numeric id */
  gboolean ordered;     /**< stop at an event that is not in order */
  gboolean until_close; /**< the current run has no length or last chunk */
  const char *watched;  /**< name of a field with a number; static, or NULL */
  gint64 watched_value; /**< the last one in an event that was passed on, or as
                             set by the owner; -1: none */
  QgSseOrder order;     /**< of the event at which the run was stopped */
  gint64 stopped_id;    /**< its id, or -1 */
  /** Bytes at the start of the data fed last that belong to events which the
   * caller has; see qg_sse_rejoin(). */
  gsize had_bytes;
  gboolean rejoins;     /* only events that the caller has were read so far */
  gboolean after_had;   /* the last event is one of them */
  gint64 had_id;        /* the last id of them, or -1 */
  gboolean goes_on;     /* the current run goes on after last_id */
  gboolean judged;      /* an event of the current run was in order */
  gboolean one_by_one;  /* an id was one above the one before it */
  gboolean by_more;     /* an id was more than one above the one before it */
  gint64 held_id;       /* of the run's first event, if events may be missing
                           before it and the second one will tell; or -1 */
  gboolean unknown;     /* a block of unknown fields waits for an event */
  gint64 watched_next;  /* in events that were not passed on yet, or -1 */
  gint64 id;            /* of the incomplete event, or -1 */
  gboolean has_field;   /* the incomplete event has more than comments */
  gboolean has_data;    /* of the incomplete event */
  gboolean has_unknown; /* the incomplete event has an unknown field */
  gboolean after_cr;    /* the previous byte was CR */
  gboolean had_line;    /* the first line of the run has ended */
  gsize partial;        /* bytes of the incomplete event */
  gsize line_len;       /* bytes of the current line, without its end */
  char line[64];        /* its beginning: a field name and a number */
} QgSse;

/** Begins a stream that continues after the event @a last_id (-1: none). Sets
 * none of QgSse.ordered, QgSse.until_close and QgSse.watched. */
void qg_sse_init (QgSse *sse, gint64 last_id);

/**
 * Lets the run begin before the event that the stream continues after: it is
 * the run that the caller has events of. Called after qg_sse_init(), with
 * QgSse.ordered set. Events up to that one are counted in QgSse.had_bytes; an
 * event without a number is one of them if it lies between two of them. The
 * first event after them needs no check for a gap.
 */
void qg_sse_rejoin (QgSse *sse);

/**
 * Reads the next bytes of the stream.
 *
 * If QgSse.ordered is set, reads no further than an event that is not in order:
 * numeric ids rise, and a run that goes on after an event begins with the next
 * one. Which one is next is not always known, as ids may rise by more than one:
 * if the run's first id leaves a gap, that event is held back until the second
 * one, or the end, tells how ids rise. In a run that ends with its connection,
 * a block of unknown fields is held back until an event follows: it may be the
 * beginning of bytes that are no part of the stream.
 *
 * @return how many bytes of @a data precede the end of the last event or
 * comment that ends in @a data and may be passed on; 0 if there is none.
 */
gsize qg_sse_feed (QgSse *sse, const char *data, gsize len);

/** Forgets the incomplete event of a run that broke off or was stopped, before
 * another run continues the stream. */
void qg_sse_next_run (QgSse *sse);

/**
 * Whether the run can end here; one that ends elsewhere was broken off. An
 * event that was held back may be passed on then.
 *
 * @param framed the end is marked by a length or a last chunk. Without such a
 *               mark, a run without events counts as broken off too.
 */
gboolean qg_sse_may_end (const QgSse *sse, gboolean framed);

/** What is wrong with the run that was stopped, for logs. */
const char *qg_sse_order_text (QgSseOrder order);

/** Formats for logs the ids of events: after which the caller asked to go on,
 * which the target sent first, the first and last one that went to the caller,
 * and at which the run was stopped; -1: none. */
void qg_sse_describe (const QgSse *sse, gint64 asked_after,
                      char text[QG_SSE_TEXT_BYTES]);

/** The number that the value of an id is, after one space at most, or -1. */
gint64 qg_sse_read_id (const char *value);

G_END_DECLS

#endif
