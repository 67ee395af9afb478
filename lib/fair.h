/**
 * @file fair.h
 * Fair share of one service, as one agent process decides it: which workspace
 * is served next, from which entry.
 *
 * Every workspace has a virtual counter: service charged to it over the whole
 * fleet, divided by its weight. The backlogged workspace of the least counter
 * is served next. A request is charged an estimate when it is pulled, more
 * when it outgrows the estimate, and its true cost when it ends. A workspace
 * that becomes backlogged again is lifted to the least counter of the
 * backlogged ones, so that idle time earns no credit.
 *
 * docs/design/fair-share.md states the bound of the gap that follows.
 *
 * Usage, with one entry and one request:
 * @code
 * QgFair *fair = qg_fair_new (&(QgFairOptions){ .service = "drape-model" });
 * guint entry = qg_fair_entry_up (fair, TRUE);
 * qg_fair_offer (fair, now, entry, "hall-7", QG_CLASS_SHORT, 1);
 * QgFairJob *job = qg_fair_pick (fair, now, &pick);  // send Pull to pick.entry
 * qg_fair_start (fair, now, job);                    // Assign came
 * qg_fair_progress (fair, job, 120);                 // 120 tokens so far
 * qg_fair_end (fair, now, job, 360);
 * @endcode
 */
#ifndef QG_FAIR_H
#define QG_FAIR_H

#include "proto/peer.pb-c.h"
#include "qg.h"

G_BEGIN_DECLS

/** Size classes of a workspace's requests; they do not share one queue. */
typedef enum
{
  QG_CLASS_SHORT,
  QG_CLASS_LONG,
  QG_N_CLASSES
} QgClass;

/** One service unit at weight 1 in virtual units. */
#define QG_FAIR_SCALE ((gint64)1000)

enum
{
  QG_FAIR_MAX_WEIGHT = 1000,
  QG_FAIR_MAX_SPACES = 65536 /**< workspaces of one hub */
};

/** Options; zero members take the defaults. */
typedef struct
{
  const char *service;   /**< name in the messages to the hub */
  gint64 spill_slack;    /**< virtual units; see qg_fair_pick() */
  gint64 first_estimate; /**< service units of a request before any ended */
  gint64 max_request;    /**< service units that no request exceeds */
  guint64 incarnation;   /**< new at each start of the process */
} QgFairOptions;

/** Limits of qg_fair_interval(). */
#define QG_FAIR_MIN_INTERVAL_US (500 * QG_MSEC)
#define QG_FAIR_MAX_INTERVAL_US (16 * QG_SEC)

/** An agent with nothing to tell reports at least this often. */
#define QG_FAIR_KEEP_ALIVE_US (3 * QG_SEC)

typedef struct _QgFair QgFair;

/** A request from the pull to its end, owned by QgFair. */
typedef struct _QgFairJob QgFairJob;

/** What was picked; the strings live as long as the job. */
typedef struct
{
  guint entry;
  const char *workspace;
  QgClass size_class;
  gboolean remote; /**< the entry is in another region */
} QgFairPick;

QgFair *qg_fair_new (const QgFairOptions *options);
QgFair *qg_fair_ref (QgFair *fair);
void qg_fair_unref (QgFair *fair);

/** Weight (1 to QG_FAIR_MAX_WEIGHT) of @a workspace, for later charges. */
void qg_fair_set_weight (QgFair *fair, const char *workspace, guint weight);

/** An entry connected; returns its number, never 0. */
guint qg_fair_entry_up (QgFair *fair, gboolean local);

/** The entry left: its offers go as a whole; its running jobs stay. */
void qg_fair_entry_down (QgFair *fair, guint entry);

/** An offer snapshot begins: forgets the offers of @a entry. */
void qg_fair_offers_reset (QgFair *fair, guint entry);

/** @a waiting requests of this workspace and class wait at @a entry. */
void qg_fair_offer (QgFair *fair, QgTime now, guint entry,
                    const char *workspace, QgClass size_class, guint waiting);

/** Whether any entry has work that is not being pulled already. */
gboolean qg_fair_is_backlogged (const QgFair *fair);

/**
 * Picks the next request to pull and charges its estimate.
 *
 * An offer of another region is taken when nothing local waits, or when its
 * workspace is behind the least local one by more than spill_slack.
 *
 * @return the job, or NULL when nothing waits.
 */
QgFairJob *qg_fair_pick (QgFair *fair, QgTime now, QgFairPick *pick);

/** A job that came without a pull (on credit), charged its estimate. */
QgFairJob *qg_fair_unasked (QgFair *fair, QgTime now, const char *workspace,
                            QgClass size_class);

/** The pull of @a job was answered by a request. */
void qg_fair_start (QgFair *fair, QgTime now, QgFairJob *job);

/** The pull of @a job found nothing; takes the charge back, frees the job. */
void qg_fair_pull_empty (QgFair *fair, QgTime now, QgFairJob *job);

/** The pull of @a job was not answered; as above, but the offer stays. */
void qg_fair_pull_lost (QgFair *fair, QgTime now, QgFairJob *job);

/** @a job has received @a units of service so far. */
void qg_fair_progress (QgFair *fair, QgFairJob *job, gint64 units);

/** @a job ended after @a units of service; frees the job. */
void qg_fair_end (QgFair *fair, QgTime now, QgFairJob *job, gint64 units);

/** Workspace and class of @a job. */
const char *qg_fair_job_workspace (const QgFairJob *job);
QgClass qg_fair_job_class (const QgFairJob *job);

/** The virtual counter of @a workspace as known here; 0 when unknown. */
gint64 qg_fair_counter (const QgFair *fair, const char *workspace);

/** Learned cost in service units of a request of this kind. */
gint64 qg_fair_estimate (const QgFair *fair, const char *workspace,
                         QgClass size_class);

/** Workspaces that are remembered. */
guint qg_fair_n_spaces (const QgFair *fair);

/** Forgets idle workspaces whose counter is not above the floor. */
void qg_fair_collect (QgFair *fair, QgTime now);

/**
 * Fills @a report with what changed since the hub last answered. Its arrays
 * belong to @a fair and live until the next call. Each report supersedes the
 * one before; a report that got no answer is contained in the next.
 *
 * @return FALSE when there is nothing to tell and nothing to ask.
 */
gboolean qg_fair_report (QgFair *fair, QgTime now, Qg__FairReport *report);

/** Time from one report to the next, so that answers stay within 4 KB/s. */
QgTime qg_fair_interval (const QgFair *fair);

/**
 * Takes the hub's answer to the latest report; others are ignored.
 *
 * @return TRUE when the next report should be sent at once.
 */
gboolean qg_fair_totals (QgFair *fair, QgTime now,
                         const Qg__FairTotals *totals);

G_END_DECLS

#endif
