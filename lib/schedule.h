/**
 * @file schedule.h
 * What an agent process does next for one service: fair share over its
 * entries, in-flight limits of its targets, pulls and credit.
 *
 * Feed every input (progress is one: it may raise a limit), then call
 * qg_sched_next() until it returns FALSE, and again at qg_sched_wakeup():
 * @code
 * QgSched *sched = qg_sched_new (&(QgSchedOptions){ .service = "wordsmith" });
 * guint target = qg_sched_add_target (sched, now, &cold_options);
 * qg_sched_set_target_up (sched, now, target, TRUE);   // its probe answers
 * qg_sched_set_permit (sched, now + lease);            // Permit came
 * guint entry = qg_sched_entry_up (sched, now, TRUE);  // peer up, same region
 * qg_sched_offer (sched, now, entry, "hall-7", QG_CLASS_SHORT, 3);
 * while (qg_sched_next (sched, now, &action))
 *   send_to (action.entry, action);                    // Pull or Credit
 * // Assign came:
 * job = qg_sched_assign (sched, now, entry, msg->pull_id, msg->workspace,
 *                        msg->size_class, &target);
 * if (job == NULL) send_bounce (msg->request_id);
 * else run_on (target);
 * // while it runs, and once at its end:
 * qg_sched_first_token (sched, now, job);
 * qg_sched_progress (sched, now, job, tokens);
 * qg_sched_done (sched, now, job, tokens, QG_COLD_OK);
 * @endcode
 */
#ifndef QG_SCHEDULE_H
#define QG_SCHEDULE_H

#include "cold.h"
#include "fair.h"

G_BEGIN_DECLS

enum
{
  QG_SCHED_MAX_TARGETS = 64
};

/** Options; zero members take the defaults. */
typedef struct
{
  const char *service;
  guint64 incarnation;    /**< of this process, for the hub */
  gint64 spill_slack;     /**< virtual units, see fair.h */
  gint64 first_estimate;  /**< service units */
  gint64 max_request;     /**< service units */
  QgTime pull_timeout_us; /**< an unanswered pull is given up (2 s) */
} QgSchedOptions;

typedef enum
{
  QG_SCHED_PULL,  /**< send Pull: pull_id, workspace, size_class */
  QG_SCHED_CREDIT /**< send Credit: free (0 withdraws) */
} QgSchedVerb;

/** One message to send; the strings live until the next call. */
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

/** The fair share inside: weights, reports to the hub. */
QgFair *qg_sched_fair (QgSched *sched);

/** Adds a target, taken for cold and down; returns its number from 0. */
guint qg_sched_add_target (QgSched *sched, QgTime now,
                           const QgColdOptions *options);

/** The in-flight limit of @a target. */
QgCold *qg_sched_cold (QgSched *sched, guint target);

/** Whether @a target answers its probe. */
void qg_sched_set_target_up (QgSched *sched, QgTime now, guint target,
                             gboolean up);

/** Whether @a target is leaving: it gets no new work. */
void qg_sched_set_draining (QgSched *sched, guint target, gboolean draining);

/** New work may be started before @a until; 0 forbids it at once. */
void qg_sched_set_permit (QgSched *sched, QgTime until);

/** Whether the data centre of this process is taken out. */
void qg_sched_set_dc_out (QgSched *sched, gboolean out);

/** An entry connected, @a local when in this region; its number, never 0. */
guint qg_sched_entry_up (QgSched *sched, QgTime now, gboolean local);

/** The entry is gone, with its offers, credit and pulls; jobs run on. */
void qg_sched_entry_down (QgSched *sched, QgTime now, guint entry);

/** A snapshot of offers begins (Offer.snapshot). */
void qg_sched_offers_reset (QgSched *sched, guint entry);

/** One item of an Offer. */
void qg_sched_offer (QgSched *sched, QgTime now, guint entry,
                     const char *workspace, QgClass size_class, guint waiting);

/** The next message to send; FALSE when there is none now. */
gboolean qg_sched_next (QgSched *sched, QgTime now, QgSchedAction *action);

/** When qg_sched_next() should be called again without input. */
QgTime qg_sched_wakeup (QgSched *sched, QgTime now);

/**
 * An Assign came; @a pull_id is 0 for one on credit.
 *
 * @param target set to the number of the target to run it on.
 * @return the job, or NULL: no room or no permission, send Bounce.
 */
QgSchedJob *qg_sched_assign (QgSched *sched, QgTime now, guint entry,
                             guint64 pull_id, const char *workspace,
                             QgClass size_class, guint *target);

/** A PullEmpty came. */
void qg_sched_pull_empty (QgSched *sched, QgTime now, guint64 pull_id);

/** The first byte of the answer came from the target. */
void qg_sched_first_token (QgSched *sched, QgTime now, QgSchedJob *job);

/**
 * @a units of service were given so far, prompt included.
 *
 * @return TRUE when the limit of its target rose: call qg_sched_next().
 */
gboolean qg_sched_progress (QgSched *sched, QgTime now, QgSchedJob *job,
                            gint64 units);

/** @a job ended, also when cancelled (QG_COLD_NEUTRAL); frees it. */
void qg_sched_done (QgSched *sched, QgTime now, QgSchedJob *job, gint64 units,
                    QgColdSign sign);

/** Places that may be filled now, pulls on their way not counted off. */
guint qg_sched_room (QgSched *sched, QgTime now);

/** Pulls on their way. */
guint qg_sched_pulls (const QgSched *sched);

/** Requests that run now on @a target, or on all targets for G_MAXUINT. */
guint qg_sched_running (const QgSched *sched, guint target);

G_END_DECLS

#endif
