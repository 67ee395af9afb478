/**
 * @file sharers.h
 * By how many processes a limit of the fleet is divided. Each of them uses an
 * equal part of a limit that applies to a window of time, without knowing what
 * the others use. No I/O.
 *
 * What a process used stays used until the window has passed, also when it has
 * ended and its memory is gone:
 *  - A process that has ended counts until the window has passed.
 *  - A process that has started does not know what its predecessor has used, so
 *    qg_sharers_is_settled() is FALSE until the window has passed.
 */
#ifndef QG_SHARERS_H
#define QG_SHARERS_H

#include "qg.h"

G_BEGIN_DECLS

enum
{
  /** Assumed while the number is not known: more than a large fleet has, so
   * that this process uses little of each limit. */
  QG_SHARERS_UNKNOWN = 256,
};

typedef struct _QgSharers QgSharers;

/** @param window the longest window of a limit, in microseconds. */
QgSharers *qg_sharers_new (QgTime window, QgTime now);
void qg_sharers_free (QgSharers *sharers);

/** Sets the number of processes, with this one; 0: not known. */
void qg_sharers_set (QgSharers *sharers, guint n, QgTime now);

/** The largest number within the window, or QG_SHARERS_UNKNOWN. */
guint qg_sharers_count (QgSharers *sharers, QgTime now);

/** Whether this process has run, and known the number, for a whole window. */
gboolean qg_sharers_is_settled (const QgSharers *sharers, QgTime now);

G_END_DECLS

#endif
