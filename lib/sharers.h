/**
 * @file sharers.h
 * By how many processes a limit of the fleet is divided. Each of them uses an
 * equal part of a limit that applies to a window of time, without knowing what
 * the others use. No I/O.
 *
 * A leader keeps the list of these processes. What a process used stays used
 * until the window has passed, also when it has ended and its memory is gone,
 * or when it goes on without the leader:
 *  - A process that is no longer listed counts for a window and
 *    QG_SHARERS_CONTACT more.
 *  - A process that the leader has not answered for QG_SHARERS_CONTACT may no
 *    longer be listed, and uses nothing. When it returns, it waits for as long
 *    again, in which it and the others learn of each other.
 *  - A process that has started does not know what its predecessor has used.
 *    One that returns after a window finds that the others use its part. Both
 *    wait for a window more.
 *
 * So the parts of all processes in a window add up to the limit at most. Limits
 * per second that may be exceeded by half need less: qg_sharers_count_loose().
 */
#ifndef QG_SHARERS_H
#define QG_SHARERS_H

#include "belief.h"

G_BEGIN_DECLS

enum
{
  /** Assumed while the number is not known: more than a large fleet has, so
   * that this process uses little of each limit. */
  QG_SHARERS_UNKNOWN = 256,
};

/** A process goes on without an answer of the leader for this time: longer than
 * connections and leaders need to be replaced. */
#define QG_SHARERS_CONTACT qg_belief_max_age (QG_BELIEF_LISTED)

typedef struct _QgSharers QgSharers;

/** @param window the longest window of a limit, in microseconds. */
QgSharers *qg_sharers_new (QgTime window);
void qg_sharers_free (QgSharers *sharers);

/** Sets the list of the processes, without this one. */
void qg_sharers_set (QgSharers *sharers, const char *const *names, guint n,
                     QgTime now);

/** The leader, which lists this process, has answered a question that was sent
 * at @a asked. */
void qg_sharers_answered (QgSharers *sharers, QgTime asked);

/** The number of processes, with this one and those that were listed until
 * shortly before; QG_SHARERS_UNKNOWN before the first list. */
guint qg_sharers_count (QgSharers *sharers, QgTime now);

/** The same for limits per second that may be exceeded by half: a process that
 * the others may not count uses half a part. */
guint qg_sharers_count_loose (QgSharers *sharers, QgTime now);

/** Whether this process may use its part of the window. */
gboolean qg_sharers_is_settled (const QgSharers *sharers, QgTime now);

G_END_DECLS

#endif
