/**
 * @file received.h
 * Which of the numbered messages of one sender have arrived. The messages of a
 * connection arrive in order; those that were sent last are lost when it ends,
 * and the sender goes on numbering on the next connection. A sender that starts
 * again is another life, which numbers from 1. Lives need not be in the order
 * of their numbers: the clock that a life is named by may have stepped back. No
 * I/O.
 */
#ifndef QG_RECEIVED_H
#define QG_RECEIVED_H

#include "qg.h"

G_BEGIN_DECLS

enum
{
  QG_RECEIVED_MAX_GAPS = 64,    /**< the newest that are remembered */
  QG_RECEIVED_MAX_REPLACED = 16 /**< lives that are remembered as ended */
};

/** A zeroed one has received nothing. */
typedef struct
{
  guint64 life; /**< of the sender; 0 if nothing has arrived */
  guint64 last; /**< number of the newest message */
  struct
  {
    guint64 first, last; /**< numbers that were lost */
  } gaps[QG_RECEIVED_MAX_GAPS];
  guint n_gaps; /**< that were ever found; the oldest are overwritten */
  guint64 replaced[QG_RECEIVED_MAX_REPLACED]; /**< ring buffer of lives */
  guint n_replaced; /**< so far; the ring holds the latest */
} QgReceived;

/** Records message @a number, from 1, each larger than the one before, of a
 * life of the sender, which is not 0. A new life replaces the one before. */
void qg_received_add (QgReceived *received, guint64 life, guint64 number);

/** TRUE if message @a number of @a life has certainly not arrived. It will not
 * arrive later, provided that the connection that it was sent on has ended. Of
 * a life that another one has replaced, nothing is certain. */
gboolean qg_received_is_lost (const QgReceived *received, guint64 life,
                              guint64 number);

G_END_DECLS

#endif
