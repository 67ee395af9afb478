/**
 * @file rollout.h
 * Decisions on one rollout: which share of a service's requests goes to the
 * targets of the new version, and whether that version replaces the old one.
 * Kept by the leader while the rollout is in progress. Does no I/O; the caller
 * passes the time.
 *
 * Until the rollout's time limit, a bad version may get only a small share of
 * the requests of its service. A canary share is sent until half of the time
 * has passed; then the share rises in steps as long as the new version is as
 * good as the old one, and the rest of the time is left to the requests that
 * still run at the old targets. The share of a step and its length are chosen
 * so that a version that turns bad in the last step has got less than the share
 * allowed.
 *
 * Load patterns:
 *  - The new version fails, or is slow, from the start: the canary shows it.
 *  - It turns bad later: recent answers count apart from all answers.
 *  - It is bad under load only: each step is followed by a look at the answers.
 *  - It is bad on one route only: each route is compared by itself.
 *  - The targets of both versions fail, as in an outage: only what the new
 *    version fails more often than the old one counts.
 *  - The service has few requests: the share is larger, so that some reach the
 *    new version; without evidence against it the rollout goes on.
 */
#ifndef QG_ROLLOUT_H
#define QG_ROLLOUT_H

#include "qg.h"

G_BEGIN_DECLS

/** What relays do with new requests. */
typedef enum
{
  QG_ROLLOUT_NONE,      /**< no rollout: any target */
  QG_ROLLOUT_SHARED,    /**< a share goes to the new version */
  QG_ROLLOUT_MOVED,     /**< all go to the new version, none to old targets */
  QG_ROLLOUT_COMPLETED, /**< likewise; the old targets have stopped */
  QG_ROLLOUT_REVERTED,  /**< none goes to the new version */
  QG_N_ROLLOUT_PHASES
} QgRolloutPhase;

/** Half-life of recent answers. */
#define QG_ROLLOUT_RECENT (1500 * QG_MSEC)
/** Answers of the new version on a route, or on all routes together, without
 * which they are not judged. */
#define QG_ROLLOUT_ANSWERS_MIN 8
/** Excess of the share of bad answers over that of the old version which is not
 * held against the new one: targets of one version differ by as much. */
#define QG_ROLLOUT_EXCESS_MIN 0.1
/** Standard deviations of that excess beyond which it is no accident: with
 * hundreds of routes judged ten times a second, three would be exceeded often.
 */
#define QG_ROLLOUT_SIGMA 4.0
/** How long relays without news of the leader send to the new version; also the
 * time after which a report of a relay counts as missing. */
#define QG_ROLLOUT_LEASE (1 * QG_SEC)
/** How long a relay that is not connected may still have requests at targets: a
 * relay without a permit takes none, and those that it has have ended. */
#define QG_ROLLOUT_ABSENCE (15 * QG_SEC)

typedef struct
{
  QgTime duration;     /**< from the order to its time limit */
  QgTime elapsed;      /**< time since the order when this state was created */
  double canary_share; /**< share that a bad version may get until then */
  double tolerance;    /**< requests that it may get besides */
} QgRolloutOptions;

/** Answers on one route, since the relay learned of the rollout. */
typedef struct
{
  guint32 new_answers;
  guint32 new_bad;
  guint32 old_answers;
  guint32 old_bad;
} QgRolloutCounts;

/** State that relays have to apply. */
typedef struct
{
  QgRolloutPhase phase;
  double share;
  const char *reason; /**< of the last change, for the log */
} QgRolloutDecision;

typedef struct _QgRollout QgRollout;

QgRollout *qg_rollout_new (const QgRolloutOptions *options, QgTime now);
void qg_rollout_free (QgRollout *rollout);

/** Begins a report of @a relay: it applies @a phase and has @a at_old requests
 * at targets of other versions. */
void qg_rollout_begin_report (QgRollout *rollout, const char *relay,
                              QgRolloutPhase phase, guint at_old, QgTime now);
/** Adds the counts of a route to the report that was begun last. */
void qg_rollout_add_counts (QgRollout *rollout, const char *relay,
                            const char *route, const QgRolloutCounts *counts,
                            QgTime now);
/** The relay @a relay is connected to the leader. Relays that have not been for
 * QG_ROLLOUT_ABSENCE do not hold up the end of the rollout. */
void qg_rollout_relay_seen (QgRollout *rollout, const char *relay, QgTime now);

/** Sets how many targets of the new version there are; unknown until then,
 * which keeps nothing back. Without one, the canary goes on until the time
 * limit, and a service whose requests were all moved is reverted. */
void qg_rollout_set_targets (QgRollout *rollout, guint n_new);

/** Takes the next step that is due. QG_ROLLOUT_COMPLETED and
 * QG_ROLLOUT_REVERTED are final. */
QgRolloutDecision qg_rollout_step (QgRollout *rollout, QgTime now);

/** Name of a phase for logs. */
const char *qg_rollout_phase_name (QgRolloutPhase phase);

/** Sums over all relays and routes, for logs. */
QgRolloutCounts qg_rollout_total (const QgRollout *rollout);

G_END_DECLS

#endif
