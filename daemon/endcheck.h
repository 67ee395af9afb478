/**
 * @file endcheck.h
 * Finds out whether targets lived on after they had closed connections, by
 * requests that they answer at any time (see lib/alive.h). At each target one
 * check is in progress at most; it serves all ends that were seen before it was
 * sent.
 */
#ifndef QG_ENDCHECK_H
#define QG_ENDCHECK_H

#include "h1.h"
#include "lib/alive.h"

G_BEGIN_DECLS

typedef struct QgEndChecks QgEndChecks;

/** An incarnation of a target. */
typedef struct
{
  QgStr *id;
  QgStr *address; /**< "ip:port" */
  QgStr *path;    /**< of the check */
} QgEndCheckTarget;

/** What the answer to a check says. */
typedef struct
{
  gboolean counts; /**< it is of the process at the target's address */
  gboolean same;   /**< it is the target's, not another process's */
  QgTime idle_for; /**< how long the connection may stay idle; 0: not at all */
} QgEndCheckAnswer;

typedef struct
{
  QgH1Loop *loop;
  /** Writes the head of a check of a target. */
  void (*write_check) (gpointer user, GString *out,
                       const QgEndCheckTarget *target);
  /** Reads the head of the answer. */
  QgEndCheckAnswer (*read_answer) (gpointer user, const QgH1Head *head,
                                   const QgEndCheckTarget *target);
  /** An end has its verdict; never called from within a function of this file
   * that takes an end. */
  void (*decided) (gpointer user, QgAliveEnd *end);
  gpointer user;
} QgEndCheckOptions;

QgEndChecks *qg_endchecks_new (const QgEndCheckOptions *options);
void qg_endchecks_free (QgEndChecks *checks);

/** An answer has begun that ends with its connection; to be undone by
 * qg_endchecks_unwatch() after the end of the answer was added. */
void qg_endchecks_watch (QgEndChecks *checks, const QgEndCheckTarget *target);
/** @a id: of the target. */
void qg_endchecks_unwatch (QgEndChecks *checks, QgStr *id);

/**
 * Begins to find out about the end of a connection.
 *
 * @param end borrowed until it is decided or removed; open_at and closed_at are
 *            set by the caller, the rest here.
 */
void qg_endchecks_add (QgEndChecks *checks, const QgEndCheckTarget *target,
                       QgAliveEnd *end);
/** Removes an end that is not decided yet. @a id: of its target. */
void qg_endchecks_remove (QgEndChecks *checks, QgStr *id, QgAliveEnd *end);

G_END_DECLS

#endif
