/**
 * @file origin.h
 * Which version of the targets' software began the streams of the fleet, and
 * which weights their callers have last seen. A stream may go on only with
 * both, also if its caller takes it up at another relay. Holds what this relay
 * began and what others report; a bounded table without I/O.
 *
 * A caller that takes a stream up names the attempt that began it, or nothing.
 * Then the request itself tells which stream it is, because the caller sends
 * the same one again; so streams are held by both. If a request is held with
 * two versions, or with several weights of streams that different attempts
 * began, several callers have sent it or one has begun it anew, and it says
 * nothing. The weights of one stream may change.
 */
#ifndef QG_ORIGIN_H
#define QG_ORIGIN_H

#include "mesh.h"

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

/** The version of a stream that is held with several versions or weights. */
#define QG_ORIGIN_SEVERAL G_MAXUINT64

/** Hash of a caller's attempt id. */
guint64 qg_origin_attempt (const char *id, gsize len);

/** Notes which version (nonzero) and weights a stream has, by the attempt or
 * the request that began it. */
void qg_origins_add (QgOrigins *origins, const QgMeshStream *stream,
                     QgTime now);
/** The same for a stream of this relay. Its caller may take it up until
 * @a until, when its time limit ends. */
void qg_origins_began (QgOrigins *origins, const QgMeshStream *stream,
                       QgTime until, QgTime now);
/** What is held of the stream with the key @a attempt, the hash of the attempt
 * or of the request that began it. Its version is 0 if it is not known, and
 * QG_ORIGIN_SEVERAL if it is held with several versions or weights. */
QgMeshStream qg_origins_find (QgOrigins *origins, guint64 attempt, QgTime now);

/** Calls @a visit for each stream that began at this relay and may still be
 * taken up, the newest one first. */
void qg_origins_each_own (QgOrigins *origins, QgTime now,
                          void (*visit) (gpointer user,
                                         const QgMeshStream *stream),
                          gpointer user);

/** The number of streams held. */
guint qg_origins_count (const QgOrigins *origins);

G_END_DECLS

#endif
