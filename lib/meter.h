/**
 * @file meter.h
 * Counts the service that one request receives while its answer passes by:
 * tokens for model services, milliseconds of a slot for plain ones.
 *
 * A model's answer is either an event stream (one event a token, with a usage
 * event that may correct the count) or one JSON object with a usage member.
 */
#ifndef QG_METER_H
#define QG_METER_H

#include "qg.h"

G_BEGIN_DECLS

typedef enum
{
  QG_METER_PLAIN,  /**< milliseconds of a slot */
  QG_METER_JSON,   /**< tokens, from the usage of one JSON object */
  QG_METER_STREAM, /**< tokens, from server-sent events */
  QG_N_METER_KINDS
} QgMeterKind;

typedef struct QgMeter QgMeter;

/**
 * @param kind how the answer is read.
 * @param prompt_bytes length of the request's body, from which the prompt's
 *   tokens are estimated until the target states them.
 * @param started_at when the target got the request.
 */
QgMeter *qg_meter_new (QgMeterKind kind, gsize prompt_bytes, QgTime started_at);
void qg_meter_free (QgMeter *meter);

/** Reads the next @a len bytes of the answer's body. */
void qg_meter_feed (QgMeter *meter, const guint8 *data, gsize len);

/** Units so far; never falls while the answer streams. */
guint64 qg_meter_units (const QgMeter *meter, QgTime now);

/** Units in the end: what the target stated, if it did. */
guint64 qg_meter_final (const QgMeter *meter, QgTime now);

G_END_DECLS

#endif
