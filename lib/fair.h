/**
 * @file fair.h
 * Fair scheduling of one service in one agent process: decides which workspace
 * is served next and from which entry.
 *
 * Every workspace has a virtual counter: the service charged to the workspace
 * over the whole fleet, divided by the weight of the workspace. The backlogged
 * workspace with the lowest counter is served next. When a request is pulled,
 * its workspace is charged an estimate of the cost. While the request runs, the
 * charge is raised if the cost exceeds the estimate. When the request ends, the
 * charge is set to the actual cost. When a workspace becomes backlogged again,
 * its counter is raised to the floor, so that idle time earns no credit. The
 * floor is the lowest counter of the backlogged workspaces.
 *
 * docs/design/fair-share.md derives the bound on the difference in service
 * between two backlogged workspaces.
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

/** Size classes of requests; each class of a workspace has its own queue. */
typedef enum
{
  QG_CLASS_SHORT,
  QG_CLASS_LONG,
  QG_N_CLASSES
} QgClass;

/** Virtual units per service unit at weight 1. */
#define QG_FAIR_SCALE ((gint64)1000)

enum
{
  QG_FAIR_MAX_WEIGHT = 1000,
  QG_FAIR_MAX_WORKSPACES = 65536 /**< workspaces per service on one hub */
};

/** Options; zero members take the defaults. */
typedef struct
{
  const char *service;   /**< name in the messages to the hub */
  gint64 spill_slack;    /**< virtual units; see qg_fair_pick() */
  gint64 first_estimate; /**< service units charged per request while
                            costs are unknown */
  gint64 max_request;    /**< cost limit of one request, service units */
} QgFairOptions;

/** Bounds of qg_fair_interval(). */
#define QG_FAIR_MIN_INTERVAL_US (500 * QG_MSEC)
#define QG_FAIR_MAX_INTERVAL_US (16 * QG_SEC)

/** Longest time between two reports of an agent that has nothing to report. */
#define QG_FAIR_KEEP_ALIVE_US (3 * QG_SEC)

typedef struct _QgFair QgFair;

/** A request from its pull to its end, owned by QgFair. */
typedef struct _QgFairJob QgFairJob;

/** Result of qg_fair_pick(); the strings are valid as long as the job. */
typedef struct
{
  guint entry;
  const char *workspace;
  QgClass size_class;
  gboolean remote; /**< the entry is in another region */
} QgFairPick;

QgFair *qg_fair_new (const QgFairOptions *options);
QgFair *qg_fair_ref (QgFair *fair);

/** Drops a reference. All jobs must end before the caller drops the last
 * reference. */
void qg_fair_unref (QgFair *fair);

/** Sets the weight (1 to QG_FAIR_MAX_WEIGHT) of @a workspace for new jobs. */
void qg_fair_set_weight (QgFair *fair, const char *workspace, guint weight);

/** Adds an entry that has connected. Returns its number, never 0. */
guint qg_fair_entry_up (QgFair *fair, gboolean local);

/** Removes an entry with all its offers; its running jobs stay. */
void qg_fair_entry_down (QgFair *fair, guint entry);

/** Clears the offers of @a entry before a new snapshot of them. */
void qg_fair_offers_reset (QgFair *fair, guint entry);

/** Sets how many requests of this workspace and class wait at @a entry. */
void qg_fair_offer (QgFair *fair, QgTime now, guint entry,
                    const char *workspace, QgClass size_class, guint waiting);

/** Whether any entry has waiting requests for which no pull is in flight. */
gboolean qg_fair_is_backlogged (const QgFair *fair);

/**
 * Picks the next request to pull and charges its estimate.
 *
 * Work of another region is picked when no local work waits, or when the lowest
 * counter of the work in other regions is more than spill_slack below the
 * lowest counter of the local work.
 *
 * @return the job, or NULL when nothing waits.
 */
QgFairJob *qg_fair_pick (QgFair *fair, QgTime now, QgFairPick *pick);

/** Creates a job for a request that an entry sent on credit, without a pull,
 * and charges its estimate. */
QgFairJob *qg_fair_start_on_credit (QgFair *fair, QgTime now,
                                    const char *workspace, QgClass size_class);

/** Records that the pull of @a job was answered with a request. */
void qg_fair_start (QgFair *fair, QgTime now, QgFairJob *job);

/** Ends a pull that the entry answered with PullEmpty: clears the offer,
 * refunds the charge and frees the job. */
void qg_fair_pull_empty (QgFair *fair, QgTime now, QgFairJob *job);

/** Ends a pull after which no request was run: refunds the charge and frees the
 * job. The offer stays. */
void qg_fair_pull_lost (QgFair *fair, QgTime now, QgFairJob *job);

/** Records that @a job has received @a units of service so far. */
void qg_fair_progress (QgFair *fair, QgFairJob *job, gint64 units);

/** Ends @a job with a final cost of @a units of service and frees it. */
void qg_fair_end (QgFair *fair, QgTime now, QgFairJob *job, gint64 units);

/** Workspace and class of @a job. */
const char *qg_fair_job_workspace (const QgFairJob *job);
QgClass qg_fair_job_class (const QgFairJob *job);

/** Virtual counter of @a workspace as known to this agent; 0 if the workspace
 * is unknown. */
gint64 qg_fair_counter (const QgFair *fair, const char *workspace);

/** Expected cost in service units of a request of this workspace and class. */
gint64 qg_fair_estimate (const QgFair *fair, const char *workspace,
                         QgClass size_class);

/** Number of workspaces held in memory. */
guint qg_fair_n_workspaces (const QgFair *fair);

/** Removes workspaces that have been idle for 300 s and whose counter is not
 * above the floor. */
void qg_fair_remove_idle (QgFair *fair, QgTime now);

/**
 * Fills @a report with what changed since the last report that the hub
 * answered. The arrays belong to @a fair and are valid until the next call. A
 * report includes the contents of earlier reports that the hub has not
 * answered.
 *
 * @return FALSE when no report is due.
 */
gboolean qg_fair_report (QgFair *fair, QgTime now, Qg__FairReport *report);

/** Interval between reports, chosen so that the hub's answers to them stay
 * within 4 KB/s. */
QgTime qg_fair_interval (const QgFair *fair);

/**
 * Merges the hub's answer to the latest report; ignores other answers.
 *
 * @return TRUE when the next report should be sent at once.
 */
gboolean qg_fair_totals (QgFair *fair, QgTime now,
                         const Qg__FairTotals *totals);

G_END_DECLS

#endif
