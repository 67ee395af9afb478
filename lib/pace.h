/**
 * @file pace.h
 * When news that many have to hear may go out: the first at once, those that
 * follow together. Pure.
 *
 * Load patterns it answers:
 *  - 3,000 targets announce themselves to a new leader within 1.2 s, and 290
 *    relays want to hear of each: 14 messages a relay instead of 3,000.
 *  - One target leaves: its news does not wait.
 */
#ifndef QG_PACE_H
#define QG_PACE_H

#include "qg.h"

G_BEGIN_DECLS

/** Zeroed: nothing waits, and nothing went out. */
typedef struct
{
  QgTime last;      /**< when news went out */
  gboolean waiting; /**< news came since then */
} QgPace;

/** News came. Returns whether it goes out now; when not, qg_pace_due() tells
 * when it does. @param gap between two sends. */
gboolean qg_pace_news (QgPace *pace, QgTime gap, QgTime now);
/** Whether news that waited goes out now. */
gboolean qg_pace_due (QgPace *pace, QgTime gap, QgTime now);

G_END_DECLS

#endif
