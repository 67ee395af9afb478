/**
 * @file schedule.h
 * Scheduler of an agent process for one service: combines fair scheduling over
 * its entries with the in-flight limits of its targets, and decides which Pull
 * and Credit messages to send.
 *
 * After every input (including progress, which may raise a limit) and at
 * qg_sched_wakeup(), call qg_sched_next() until it returns FALSE:
 * @code
 * QgSched *sched = qg_sched_new (&(QgSchedOptions){ .service = "wordsmith" });
 * guint target = qg_sched_add_target (sched, now, &cold_options);
 * qg_sched_set_target_up (sched, now, target, TRUE);   // probe succeeded
 * qg_sched_set_permit (sched, now + lease);            // Permit received
 * guint entry = qg_sched_entry_up (sched, now, TRUE);  // peer in this region
 * qg_sched_offer (sched, now, entry, "hall-7", QG_CLASS_SHORT, 3);
 * while (qg_sched_next (sched, now, &action))
 *   send_to (action.entry, action);                    // Pull or Credit
 * // on Assign:
 * job = qg_sched_assign (sched, now, entry, msg->pull_id, msg->workspace,
 *                        msg->size_class, &target);
 * if (job == NULL) send_bounce (msg->request_id);
 * else run_on (target);
 * // while it runs, then once at its end:
 * qg_sched_first_token (sched, now, job);
 * qg_sched_progress (sched, now, job, tokens);
 * qg_sched_done (sched, now, job, tokens, QG_COLD_OK);
 * @endcode
 */
#ifndef QG_SCHEDULE_H
#define QG_SCHEDULE_H

#include "cold.h"
#include "fair.h"
#include "notice.h"

G_BEGIN_DECLS

enum
{
  QG_SCHED_MAX_TARGETS = 64
};

/** Options; zero members take the defaults. */
typedef struct
{
  const char *service;
  gint64 spill_slack;     /**< virtual units, see fair.h */
  gint64 first_estimate;  /**< service units */
  gint64 max_request;     /**< service units */
  QgTime pull_timeout_us; /**< time to wait for the answer to a pull (2 s) */
} QgSchedOptions;

typedef enum
{
  QG_SCHED_PULL,  /**< send Pull: pull_id, workspace, size_class */
  QG_SCHED_CREDIT /**< send Credit: free (0 revokes the credit) */
} QgSchedVerb;

/** A message to send; the strings are valid until the next call. */
typedef struct
{
  QgSchedVerb verb;
  guint entry;
  guint64 pull_id;
  const char *workspace;
  QgClass size_class;
  guint free;
} QgSchedAction;

typedef struct _QgSched QgSched;

/** A request that runs on a target. */
typedef struct _QgSchedJob QgSchedJob;

QgSched *qg_sched_new (const QgSchedOptions *options);
QgSched *qg_sched_ref (QgSched *sched);
void qg_sched_unref (QgSched *sched);

/** The fair scheduler of @a sched, for weights and reports to the hub. */
QgFair *qg_sched_fair (QgSched *sched);

/** Adds a target, initially cold and down; returns its number, from 0. */
guint qg_sched_add_target (QgSched *sched, QgTime now,
                           const QgColdOptions *options);

/** The in-flight limit of @a target. */
QgCold *qg_sched_cold (QgSched *sched, guint target);

/** Sets whether @a target answers its probe. A change resets the limit of the
 * target to cold. */
void qg_sched_set_target_up (QgSched *sched, QgTime now, guint target,
                             gboolean up);

/** Sets whether @a target is draining and thus gets no new work. The end of
 * draining resets the limit of @a target to cold. */
void qg_sched_set_draining (QgSched *sched, QgTime now, guint target,
                            gboolean draining);

/** Applies what the target of @a job says about itself in its answer; returns a
 * set of QgNoticeChange. This process is the only one that sends to its
 * targets, so it uses their rate limits in full. */
guint qg_sched_hear (QgSched *sched, QgTime now, const QgSchedJob *job,
                     const QgNotice *notice);

/** What @a target said about itself. */
const QgNoticeState *qg_sched_notices (const QgSched *sched, guint target);

/** Forgets what @a target said about itself, because it restarted. */
void qg_sched_target_restarted (QgSched *sched, guint target);

/** Permits new work to start before time @a until; 0 forbids all new work. */
void qg_sched_set_permit (QgSched *sched, QgTime until);

/** Sets whether the data centre of this process is out (`state=out`). When the
 * data centre returns, the limits of all targets are reset to cold. */
void qg_sched_set_dc_out (QgSched *sched, QgTime now, gboolean out);

/** Adds an entry that has connected; @a local tells whether the entry is in
 * this region. Returns the number of the entry, which is never 0. */
guint qg_sched_entry_up (QgSched *sched, QgTime now, gboolean local);

/** Removes an entry with its offers, credit and pulls; its jobs continue. */
void qg_sched_entry_down (QgSched *sched, QgTime now, guint entry);

/** Clears the offers of @a entry before a snapshot (Offer.snapshot). */
void qg_sched_offers_reset (QgSched *sched, guint entry);

/** Applies one item of an Offer. */
void qg_sched_offer (QgSched *sched, QgTime now, guint entry,
                     const char *workspace, QgClass size_class, guint waiting);

/** Stores the next message to send in @a action; FALSE when there is none. */
gboolean qg_sched_next (QgSched *sched, QgTime now, QgSchedAction *action);

/** Time at which to call qg_sched_next() again if no input arrives earlier. */
QgTime qg_sched_wakeup (QgSched *sched, QgTime now);

/**
 * Handles an Assign; @a pull_id is 0 for an Assign on credit.
 *
 * @param target set to the number of the target to run the request on.
 * @return the job. NULL if no slot is free or no permit is valid: the caller
 * must send Bounce.
 */
QgSchedJob *qg_sched_assign (QgSched *sched, QgTime now, guint entry,
                             guint64 pull_id, const char *workspace,
                             QgClass size_class, guint *target);

/** Handles a PullEmpty. */
void qg_sched_pull_empty (QgSched *sched, QgTime now, guint64 pull_id);

/** Records that the first byte of the target's answer has arrived. */
void qg_sched_first_token (QgSched *sched, QgTime now, QgSchedJob *job);

/**
 * Records that @a job received @a units of service so far, including the
 * prompt.
 *
 * @return TRUE when the limit of its target rose: call qg_sched_next().
 */
gboolean qg_sched_progress (QgSched *sched, QgTime now, QgSchedJob *job,
                            gint64 units);

/** Ends @a job, with QG_COLD_NEUTRAL if it was cancelled, and frees it. */
void qg_sched_done (QgSched *sched, QgTime now, QgSchedJob *job, gint64 units,
                    QgColdSignal signal);

/** Free slots of all targets, including slots reserved for pulls in flight. */
guint qg_sched_free_slots (QgSched *sched, QgTime now);

/** Number of pulls in flight. */
guint qg_sched_pulls (const QgSched *sched);

/** Number of requests that run on @a target, or on all targets if @a target
 * is G_MAXUINT. */
guint qg_sched_running (const QgSched *sched, guint target);

G_END_DECLS

#endif
