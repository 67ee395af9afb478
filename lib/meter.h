/**
 * @file meter.h
 * Counts the units of service that one request uses, from its answer: tokens
 * for model services, milliseconds of slot time for plain services.
 *
 * A model answers with an event stream (one event per token, and a usage event
 * that can correct the count) or with one JSON object that has a usage member.
 */
#ifndef QG_METER_H
#define QG_METER_H

#include "qg.h"

G_BEGIN_DECLS

typedef enum
{
  QG_METER_PLAIN,  /**< milliseconds of slot time */
  QG_METER_JSON,   /**< tokens, from the usage of one JSON object */
  QG_METER_STREAM, /**< tokens, from server-sent events */
  QG_N_METER_KINDS
} QgMeterKind;

typedef struct QgMeter QgMeter;

/**
 * @param kind how the units are counted.
 * @param prompt_bytes length of the request's body. The number of prompt tokens
 *   is estimated from this length until the target reports that number.
 * @param started_at when the request was sent to the target.
 */
QgMeter *qg_meter_new (QgMeterKind kind, gsize prompt_bytes, QgTime started_at);
void qg_meter_free (QgMeter *meter);

/** Processes the next @a len bytes of the answer's body. */
void qg_meter_feed (QgMeter *meter, const guint8 *data, gsize len);

/** Returns the units used so far; the value never decreases. */
guint64 qg_meter_units (const QgMeter *meter, QgTime now);

/** Returns the units of the complete answer: the units that the target reported
 * or, if it reported none, the units that were counted. */
guint64 qg_meter_final_units (const QgMeter *meter, QgTime now);

G_END_DECLS

#endif
