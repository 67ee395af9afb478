/**
 * @file notice.h
 * What a target says about itself in its answers: how many requests per second
 * it takes, that it is leaving, and that it wants no requests for a while.
 * Keeps these statements for one incarnation of a target and decides whether a
 * request may be sent to it. Does no I/O; the caller passes the time.
 *
 * A rate limit is for all senders together, a pause for the one that was told.
 * A sender may use a part of the rate limit. It collects this part as tokens
 * and saves few of them, so that senders that were idle send no burst.
 *
 * An answer without a limit ends the limit only if its request was sent after
 * the limit was last stated: answers on different connections overtake each
 * other. A header with an unusable value changes nothing.
 *
 * Load patterns:
 *  - All targets of a service state a limit far below the demand, while
 *    hundreds of requests wait at each sender: the senders' parts add up to
 *    the limit.
 *  - A target asks for a pause of a second: the requests that waited for it
 *    come back in growing numbers, not all at once.
 */
#ifndef QG_NOTICE_H
#define QG_NOTICE_H

#include "qg.h"

G_BEGIN_DECLS

/** Lowest limit in requests per second that is applied. A target that takes
 * less still gets a request now and then, whose answer may end the limit. */
#define QG_NOTICE_LIMIT_MIN 0.25
/** Longest pause that is applied. */
#define QG_NOTICE_PAUSE_MAX (60 * QG_SEC)
/** Interval at which a sender tells the others what it heard, while the target
 * answers it. */
#define QG_NOTICE_ANNOUNCE_PERIOD (500 * QG_MSEC)
/** How long the end of a limit is told. */
#define QG_NOTICE_ANNOUNCE_END (3 * QG_SEC)
/** A limit that only others heard ends after this time without news: longer
 * than a target at QG_NOTICE_LIMIT_MIN needs for two answers. */
#define QG_NOTICE_LEARNED_EXPIRY (15 * QG_SEC)
/** After a pause, a sender has at most one request in flight at the target, and
 * twice as many after each such time. */
#define QG_NOTICE_RAMP_STEP (250 * QG_MSEC)

/** Statements of one answer. */
typedef struct
{
  gboolean has_limit;      /**< states a limit that can be read */
  gboolean limit_unusable; /**< states a limit that cannot be read */
  double limit;            /**< requests per second, from all senders */
  gboolean leaving;        /**< the target is shutting down */
  QgTime pause;            /**< wants nothing for this time; 0: none stated */
} QgNotice;

/** What keeps a request from a target. */
typedef enum
{
  QG_NOTICE_CLEAR,   /**< nothing */
  QG_NOTICE_LIMIT,   /**< the rate limit */
  QG_NOTICE_PAUSE,   /**< a pause, or the ramp after it */
  QG_NOTICE_LEAVING, /**< the target is shutting down */
  QG_N_NOTICE_BARS
} QgNoticeBar;

/** Which statement changed; a set of bits. */
typedef enum
{
  QG_NOTICE_LIMIT_CHANGED = 1 << 0, /**< stated first, or with a new value */
  QG_NOTICE_LIMIT_ENDED = 1 << 1,
  QG_NOTICE_LEAVE_BEGAN = 1 << 2,
  QG_NOTICE_PAUSE_BEGAN = 1 << 3
} QgNoticeChange;

/** Statements of an incarnation of a target; a new one is all zeros. */
typedef struct
{
  gboolean limited;
  double limit;    /**< requests per second; valid if limited */
  QgTime limit_at; /**< when the limit was last stated, or when the request was
                      sent whose answer ended it */
  gboolean heard;  /**< limit and limit_at come from an answer to this sender */
  gboolean leaving;
  QgTime leaving_at;   /**< when it first said so */
  QgTime paused_at;    /**< when it asked for the pause */
  QgTime paused_until; /**< end of the last pause */
  /*< private >*/
  QgTime announced_at;
  double tokens;
  QgTime tokens_at;
} QgNoticeState;

/** Applies an answer that arrived at @a now to a request sent at @a sent;
 * returns a set of QgNoticeChange. */
guint qg_notice_hear (QgNoticeState *state, const QgNotice *notice, QgTime sent,
                      QgTime now);
/** Applies what another sender heard at @a at: @a limit, or a negative number
 * if the limit ended. Returns a set of QgNoticeChange. */
guint qg_notice_learn (QgNoticeState *state, double limit, QgTime at,
                       QgTime now);

/** Whether the caller must now tell the other senders about the limit, after an
 * answer that caused @a changes. */
gboolean qg_notice_announce (QgNoticeState *state, guint changes, QgTime now);
/** Number of tokens that all senders together may save at a target with this
 * limit; with what is collected, they stay within one and a half times of what
 * the target takes in 4 s. It is also the number of senders that may use the
 * target at the same time. */
guint qg_notice_senders (double limit);

/** What a sender may use of the limit of a target. */
typedef struct
{
  double part; /**< of the limit, 0 to 1 */
  double save; /**< most tokens to save, at least 1 */
} QgNoticeQuota;

/** What keeps the next request from the target, and until when (@a until;
 * G_MAXINT64: as long as the statement stands).
 *
 * @param inflight requests of this sender at the target. */
QgNoticeBar qg_notice_check (QgNoticeState *state, const QgNoticeQuota *quota,
                             guint inflight, QgTime now, QgTime *until);
/** The number of requests that may be sent to the target at @a now; G_MAXUINT
 * if nothing limits it. The parameters are those of qg_notice_check(). */
guint qg_notice_room (QgNoticeState *state, const QgNoticeQuota *quota,
                      guint inflight, QgTime now, QgTime *until);
/** Counts a request that is sent. */
void qg_notice_sent (QgNoticeState *state);

/** Time since the statement behind @a bar was made. */
QgTime qg_notice_age (const QgNoticeState *state, QgNoticeBar bar, QgTime now);

/** Short name for logs, such as "limit". */
const char *qg_notice_name (QgNoticeBar bar);

/** Reads a non-negative decimal number without sign or exponent that fills the
 * text; FALSE if the text is anything else. */
gboolean qg_notice_read_number (const char *text, gsize len, double *number);

G_END_DECLS

#endif
