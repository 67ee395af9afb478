/**
 * @file alive.h
 * Whether a target lived on after it had closed a connection. An answer that
 * has neither a length nor chunks ends with its connection; but the kernel
 * closes the connections of a process that crashed in the same way. A target
 * that answers a check which was sent some time after the close has closed the
 * connection itself: the answer is whole.
 *
 * A pure state machine for one incarnation of a target. Its owner does what
 * qg_alive_step() asks for and reports what comes of it. Not reentrant.
 *
 * Where possible, the connection is opened before the answer ends: if it is
 * still open after the end, its peer is the process that closed the answer's. A
 * check counts only if its connection was established before the close or so
 * soon after it that no new process can have taken the address. As the close
 * may be seen late, by a process that stood still or had paused reading, the
 * time from which this is counted is the last one at which the connection was
 * known to be open.
 *
 * A refused connection shows that the target has ended, unless one was refused
 * while the answer still went on: then the target had stopped listening while
 * it lived, and whoever accepts a connection later may be another process.
 *
 * Where a supervisor keeps the listening socket, the next process serves what
 * waits there. An answer that comes later than such a process can is no proof
 * by itself.
 *
 * A process that took control's answer to a call of its own after the close had
 * lived on. That shows whose late answer it is; and one that leaves ends right
 * behind its last answer, but deregisters before, though it may answer no
 * check.
 */
#ifndef QG_ALIVE_H
#define QG_ALIVE_H

#include "qg.h"

G_BEGIN_DECLS

/** How soon after its end a process can be replaced by another one at the same
 * address and under the same id: a supervisor's pause and a start. */
#define QG_ALIVE_RESTART_MIN (100 * QG_MSEC)
/** How long the end of an answer may wait for the evidence, not counting the
 * time in which this process did not run. A check may wait for a slot of the
 * target; callers give up a stream after 2 s without an event. */
#define QG_ALIVE_WAIT_MAX (1700 * QG_MSEC)
/** How long after the close a check is sent. A process that ends by itself
 * closes its connections one after the other, and may answer on the rest of
 * them until then. */
#define QG_ALIVE_SETTLE (50 * QG_MSEC)
/** Pause before another connection is opened after one that was closed without
 * an answer. */
#define QG_ALIVE_RETRY_PAUSE (20 * QG_MSEC)
/** The same while no end waits for a verdict, after the first such connection:
 * targets close idle connections. */
#define QG_ALIVE_WATCH_PAUSE QG_SEC

/** How long after the close control is asked again about a process that neither
 * answered its check nor said that it leaves: it deregisters soon after its
 * last answer if it does. */
#define QG_ALIVE_LEAVE_WAIT (500 * QG_MSEC)
/** Pause between two questions to control about a process. */
#define QG_ALIVE_CALL_PAUSE (100 * QG_MSEC)

/** What is known of a target at the end of a connection. */
typedef enum
{
  QG_ALIVE_PENDING,  /**< nothing yet */
  QG_ALIVE_LIVED,    /**< it lived on: it closed the connection itself */
  QG_ALIVE_ENDED,    /**< its process has ended */
  QG_ALIVE_UNPROVEN, /**< there was no evidence in time */
  QG_ALIVE_LATE,     /**< a process under its id answered so late that it may
                        be the next one */
  QG_ALIVE_CALLED,   /**< it lived on: it took an answer of control to a call
                        of its own after the close */
  QG_N_ALIVE_VERDICTS
} QgAliveVerdict;

/** What control knows of a process. */
typedef struct
{
  gboolean leaves;    /**< it has said that it leaves */
  gboolean left;      /**< it took the answer to its deregistration */
  QgTime answered_at; /**< when the last answer that it took was sent, or
                         earlier; 0: none is known */
} QgAliveCalls;

/** The end of one connection, embedded in its owner. */
typedef struct
{
  QgTime open_at;    /**< when the connection was last known to be open */
  QgTime arrived_at; /**< when the close had arrived at the latest */
  QgTime closed_at;  /**< when the close was seen */
  QgTime give_up_at; /**< when there is a verdict at the latest, as long as
                        this process runs */
  QgAliveVerdict verdict;
} QgAliveEnd;

/** What the owner of a QgAlive has to do. */
typedef enum
{
  QG_ALIVE_NOTHING, /**< until qg_alive_wakeup() */
  QG_ALIVE_CONNECT, /**< open a connection to the target */
  QG_ALIVE_ASK      /**< send a check on the open connection */
} QgAliveStep;

typedef struct _QgAlive QgAlive;

QgAlive *qg_alive_new (void);
void qg_alive_free (QgAlive *alive);

/** Adds an end whose verdict is wanted; borrowed until it has one or is
 * removed. */
void qg_alive_add (QgAlive *alive, QgAliveEnd *end);
void qg_alive_remove (QgAlive *alive, QgAliveEnd *end);

/** Keeps a connection open from now on, as an answer that ends with its own has
 * begun; undone by qg_alive_unwatch(). */
void qg_alive_watch (QgAlive *alive);
void qg_alive_unwatch (QgAlive *alive);

/** The next thing to do; to be called again until it is QG_ALIVE_NOTHING. */
QgAliveStep qg_alive_step (QgAlive *alive, QgTime now);
/** When qg_alive_step() must be called if nothing is reported before;
 * G_MAXINT64: not at all. */
QgTime qg_alive_wakeup (const QgAlive *alive);
/** Removes and returns an end that has a verdict; NULL if there is none. */
QgAliveEnd *qg_alive_take_decided (QgAlive *alive);
/** Whether no end waits for a verdict and nothing is watched. */
gboolean qg_alive_is_idle (const QgAlive *alive);

/** The connection was established, at @a at. */
void qg_alive_connected (QgAlive *alive, QgTime at);
/** Nothing accepts connections at the address of the target. */
void qg_alive_refused (QgAlive *alive, QgTime now);
/** No connection could be opened, for a reason that says nothing about the
 * target. */
void qg_alive_failed (QgAlive *alive, QgTime now);
/** The target closed the connection. */
void qg_alive_lost (QgAlive *alive, QgTime now);
/** The owner closed the connection, because it is of no more use. */
void qg_alive_hung_up (QgAlive *alive, QgTime now);
/** This process did not run for @a duration, which does not count in the time
 * limits of ends. */
void qg_alive_held_up (QgAlive *alive, QgTime duration);
/** The head of the answer to the check has come, at @a at. @a same: under the
 * id of the target, not of another process at its address. */
void qg_alive_answered (QgAlive *alive, gboolean same, QgTime at);
/** The rest of it has come: the connection can be used for another check. */
void qg_alive_ready (QgAlive *alive);

/** The verdict on an end on which the check gave another than QG_ALIVE_LIVED,
 * once control has said what it knows of the process. Heartbeats count only
 * beside an answer to the check, as another thread may send them while those
 * that serve callers hang. A process that announced its end has not crashed,
 * but may have ended before its answer was whole.
 * @return QG_ALIVE_PENDING: ask again after QG_ALIVE_CALL_PAUSE */
QgAliveVerdict qg_alive_judge_calls (const QgAliveEnd *end,
                                     const QgAliveCalls *calls, QgTime now);

/** A name for logs. */
const char *qg_alive_name (QgAliveVerdict verdict);

G_END_DECLS

#endif
