/**
 * @file pace.h
 * Rate limit of updates with many receivers: an update after a quiet period is
 * sent at once, and the updates that follow within a given gap are sent
 * together. No I/O.
 *
 * Load patterns:
 *  - 3,000 targets register with a new leader within 1.2 s, and 290 relays must
 *    learn of each target: each relay gets 14 messages instead of 3,000.
 *  - A single target leaves: the update is sent without delay.
 */
#ifndef QG_PACE_H
#define QG_PACE_H

#include "qg.h"

G_BEGIN_DECLS

/** State of the rate limit; a new one is all zeros. */
typedef struct
{
  QgTime last_sent; /**< time of the last send */
  gboolean pending; /**< updates were recorded since the last send */
} QgPace;

/** Records an update. Returns TRUE if the update must be sent now; otherwise,
 * qg_pace_due() returns TRUE when the update must be sent.
 *
 * @param gap least time between two sends. */
gboolean qg_pace_update (QgPace *pace, QgTime gap, QgTime now);
/** Returns TRUE if pending updates must be sent now, and then counts them as
 * sent; FALSE if nothing is pending or the gap has not passed. */
gboolean qg_pace_due (QgPace *pace, QgTime gap, QgTime now);

G_END_DECLS

#endif
