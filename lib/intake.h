/**
 * @file intake.h
 * Limit of the new requests that an event loop takes in one pass over its
 * events. Does no I/O; the caller passes the time.
 *
 * Load patterns:
 *  - The load balancer sends all callers of a large workspace to one entry on a
 *    VM with 0.09 of a core: 2,000 requests a second, twice as many as its
 *    processor can handle. Without a limit, each pass handles whatever has
 *    arrived, so a pass takes 60 ms and more, and requests, answers of targets
 *    and events of streams wait for several passes: most answers are late. With
 *    the limit, the entry refuses the requests that it cannot take in time,
 *    before it spends work on them.
 *  - The same, while callers of small workspaces reach that entry too: what
 * they send is taken, because refusing it saves little, and their workspaces
 * would get less than their share.
 *  - The same, within the share of that workspace, and with two times as many
 *    requests: refusing 3,400 a second takes two fifths of the processor, and
 *    reports of other entries a third. Requests within a share may therefore
 *    take as much of a pass as the refusals in it, however long that is.
 *  - A clump of requests reaches an entry that has been idle: all are taken,
 *    although the pass is long.
 *  - A process continues after a pause: the pass in which it notices that is
 *    long; what has arrived meanwhile is refused, because its callers have
 *    waited for the whole pause.
 */
#ifndef QG_INTAKE_H
#define QG_INTAKE_H

#include "qg.h"

G_BEGIN_DECLS

/** How long an overloaded loop takes new requests in one pass. Targets answer
 * through the same loop, several passes a request. */
#define QG_INTAKE_PASS (3 * QG_MSEC)
/** The same for requests within the share of their workspace, or as long as
 * refusals took in the pass: a tenth of the shortest usual target time. */
#define QG_INTAKE_SHARE_PASS (10 * QG_MSEC)
/** Time that passes longer than QG_INTAKE_PASS may take in a row before the
 * loop counts as overloaded: a tenth of the shortest usual target time. A loop
 * with spare time has short passes in between, for its timers. */
#define QG_INTAKE_CLUMP (30 * QG_MSEC)

/** How long a loop refuses new connections in one pass; what arrives beyond
 * stays in the backlog, so that the work of the requests that were taken, and
 * requests within shares, are not delayed by refusals. */
#define QG_INTAKE_REFUSE_PASS (4 * QG_MSEC)

/** Half-life of the counts behind qg_intake_demand_factor(). */
#define QG_INTAKE_HALF_LIFE (500 * QG_MSEC)

/** Part of the refused requests that counts as demand: most callers return once
 * after a refusal, so half of the refused requests are repetitions. */
#define QG_INTAKE_FIRST_PART 0.5

/** State of the limit; a new one is all zeros. */
typedef struct
{
  QgTime began;     /**< start of the current pass */
  QgTime long_time; /**< time in passes since the last short one */
  QgTime looked;    /**< when the last new connection was looked at */
  QgTime refusing;  /**< time spent on refusing in the current pass */
  /* For the owner's log, which resets them: */
  QgTime refusing_total; /**< time spent on refusing */
  guint passes;
  guint taken;           /**< requests taken in the current pass */
  guint64 n_refused;     /**< requests refused, in all */
  double recent_taken;   /**< taken, not within a share; decaying */
  double recent_refused; /**< requests refused, decaying */
} QgIntake;

/** Call at the start of each pass. */
void qg_intake_begin (QgIntake *intake, QgTime now);
/** Whether the loop has time for one more new request; counts nothing. */
gboolean qg_intake_has_time (const QgIntake *intake, gboolean within_share,
                             QgTime now);
/** Whether the loop takes one more new request; if not, the request is refused
 * and counted. The first request of a pass is always taken. */
gboolean qg_intake_take (QgIntake *intake, gboolean within_share, QgTime now);
/** Call before anything of a new connection is read; whether the loop accepts
 * it whoever sent it. If not, qg_intake_accept() decides. */
gboolean qg_intake_look (QgIntake *intake, QgTime now);
/** Whether the current pass has time to refuse one more connection. */
gboolean qg_intake_may_refuse (const QgIntake *intake);
/** Call once a refused connection is closed. */
void qg_intake_refused (QgIntake *intake, QgTime now);
/** Whether the loop accepts one more connection, whose request is then subject
 * to qg_intake_take(); if not, the connection counts as a refused request. */
gboolean qg_intake_accept (QgIntake *intake, gboolean within_share, QgTime now);
/** Recent requests that were refused or not within the share of their
 * workspace, without repetitions, divided by those of them that were taken.
 * Refused requests are not parsed, so the demand of their workspaces is
 * estimated from the requests taken. */
double qg_intake_demand_factor (const QgIntake *intake);
/** Call at the end of each pass. */
void qg_intake_end (QgIntake *intake, QgTime now);

G_END_DECLS

#endif
