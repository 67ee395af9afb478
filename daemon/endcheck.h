/**
 * @file endcheck.h
 * Finds out whether a target lived on after it had closed the connection of an
 * answer, by a request that it answers at any time (see lib/alive.h). The
 * connection for it is opened when the answer begins or, where an answer that
 * ends with its connection is to be expected, with the request.
 */
#ifndef QG_ENDCHECK_H
#define QG_ENDCHECK_H

#include "h1.h"
#include "lib/alive.h"

G_BEGIN_DECLS

typedef struct QgEndCheck QgEndCheck;

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
} QgEndCheckAnswer;

typedef struct
{
  QgH1Loop *loop;
  QgEndCheckTarget target; /**< referenced */
  /** Writes the head of the check. */
  void (*write_check) (gpointer user, GString *out,
                       const QgEndCheckTarget *target);
  /** Reads the head of its answer. */
  QgEndCheckAnswer (*read_answer) (gpointer user, const QgH1Head *head,
                                   const QgEndCheckTarget *target);
  /** The end has its verdict; may free the check. Never called from within a
   * function of this file. May be called again if qg_endcheck_is_cut() becomes
   * known later. */
  void (*decided) (gpointer user, const QgAliveEnd *end);
  gpointer user;
} QgEndCheckOptions;

/** An answer has begun that ends with its connection, or such an answer is to
 * be expected. */
QgEndCheck *qg_endcheck_new (const QgEndCheckOptions *options);
/** Sets the id of the target, which its answer states. */
void qg_endcheck_set_id (QgEndCheck *check, QgStr *id);
/** NULL is ignored. */
void qg_endcheck_free (QgEndCheck *check);

/** The connection of the answer, whose peer has closed it, has ended: finds out
 * about that. */
void qg_endcheck_ended (QgEndCheck *check, const QgH1Conn *conn);
/** Whether the target had not received or read the whole request when it closed
 * the connection, as far as is known. */
gboolean qg_endcheck_is_cut (const QgEndCheck *check);
/** Whether qg_endcheck_ended() was called. */
gboolean qg_endcheck_is_pending (const QgEndCheck *check);
/** How long this process did not run while an end waited for its verdict. */
QgTime qg_endcheck_held_up (const QgEndCheck *check);

G_END_DECLS

#endif
