/**
 * @file speed.h
 * How fast answers come compared with what was expected, learned from the times
 * to the first answers. Does no I/O; the caller passes the time.
 */
#ifndef QG_SPEED_H
#define QG_SPEED_H

#include "qg.h"

G_BEGIN_DECLS

/** Limits of a speed relative to the one that is assumed without samples. */
#define QG_SPEED_RANGE 8.0

/** How a speed is learned. */
typedef struct
{
  QgTime half_life; /**< of samples */
  QgTime prior;     /**< time for which the assumed speed counts */
} QgSpeedOptions;

/** Samples of a speed; a new one is all zeros. */
typedef struct
{
  double expected; /* us; decaying */
  double taken;    /* us; decaying */
  QgTime at;       /* when both last decayed */
} QgSpeed;

/** Adds a sample: an answer that was expected after @a expected us took @a
 * taken us. Samples that are not above 0 are ignored. */
void qg_speed_add (QgSpeed *speed, const QgSpeedOptions *options,
                   QgTime expected, QgTime taken, QgTime now);

/** Expected time relative to the time taken; near @a assumed until there are
 * enough samples. */
double qg_speed_get (const QgSpeed *speed, const QgSpeedOptions *options,
                     double assumed, QgTime now);

G_END_DECLS

#endif
