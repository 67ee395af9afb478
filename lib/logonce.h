/**
 * @file logonce.h
 * Limits log lines about bad messages to one a minute for each sender, and
 * counts those left out. The memory is bounded: senders beyond a maximum share
 * one line a minute. Does no I/O.
 */
#ifndef QG_LOGONCE_H
#define QG_LOGONCE_H

#include "qg.h"

G_BEGIN_DECLS

/** Senders that are known by name. */
#define QG_LOG_ONCE_MAX_SENDERS 256

/** Time between two lines about one sender. */
#define QG_LOG_ONCE_INTERVAL (60 * QG_SEC)

typedef struct QgLogOnce QgLogOnce;

/** Lines that were left out and not yet reported. */
typedef struct
{
  guint64 of_sender; /**< since the last line about the sender */
  guint64 of_others; /**< of senders that are no longer known */
} QgLogOnceLeftOut;

QgLogOnce *qg_log_once_new (void);
void qg_log_once_free (QgLogOnce *once);

/**
 * Whether a line about @a sender is to be logged now; otherwise it is counted
 * as left out.
 *
 * @param left_out set if the line is to be logged, which must state it
 */
gboolean qg_log_once_admit (QgLogOnce *once, const char *sender, QgTime now,
                            QgLogOnceLeftOut *left_out);

G_END_DECLS

#endif
