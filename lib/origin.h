/**
 * @file origin.h
 * Which version of the targets' software began the streams of the fleet. A
 * stream may go on only at that version, also if its caller takes it up at
 * another relay. Holds what this relay began and what others report; a bounded
 * table without I/O.
 */
#ifndef QG_ORIGIN_H
#define QG_ORIGIN_H

#include "qg.h"

G_BEGIN_DECLS

/** How long a stream is held: longer than a caller waits for it. */
#define QG_ORIGIN_HOLD (60 * QG_SEC)
/** How long a request that takes a stream up waits until this relay hears which
 * version began the stream: two reports on their way (from a relay to the head
 * of its group, and on to this one), passes of busy relays, and links between
 * regions. */
#define QG_ORIGIN_WAIT (100 * QG_MSEC)

enum
{
  /** Streams held; if there are more, the oldest is dropped. A fleet of 105
   * relays begins 1,500 streams a second. */
  QG_ORIGINS_MAX = 65536
};

typedef struct _QgOrigins QgOrigins;

QgOrigins *qg_origins_new (void);
void qg_origins_free (QgOrigins *origins);

/** Hash of a caller's attempt id. */
guint64 qg_origin_attempt (const char *id, gsize len);

/** Notes that @a attempt began its stream at @a version (nonzero). A stream
 * that is known keeps its version. */
void qg_origins_add (QgOrigins *origins, guint64 attempt, guint64 version,
                     QgTime now);
/** The same for a stream that began at this relay. Its caller may take it up
 * until @a until, when its time limit ends. */
void qg_origins_began (QgOrigins *origins, guint64 attempt, guint64 version,
                       QgTime until, QgTime now);
/** The version that began the stream of @a attempt; 0 if it is not known. */
guint64 qg_origins_find (QgOrigins *origins, guint64 attempt, QgTime now);

/** Calls @a visit for each stream that began at this relay and may still be
 * taken up, the newest one first. */
void qg_origins_each_own (QgOrigins *origins, QgTime now,
                          void (*visit) (gpointer user, guint64 attempt,
                                         guint64 version),
                          gpointer user);

/** The number of streams held. */
guint qg_origins_count (const QgOrigins *origins);

G_END_DECLS

#endif
