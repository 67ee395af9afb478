/**
 * @file claim.h
 * The replicated table of claims of non-idempotent keys.
 *
 * A request that must run at most once is claimed here before its first byte
 * reaches a target. The table is a deterministic state machine: the leader
 * stamps the time into each command, and members that apply the same commands
 * hold the same table and give the same results.
 *
 * Promises:
 *  - of each (workspace, service, key), at most one grant is not released;
 *  - a key that is running, done or unknown is not granted again before its
 *    retention has passed, counted from when it was settled. A running claim
 *    does not expire;
 *  - a full table refuses new keys (nothing ran) and evicts none early.
 *
 * After the retention a key counts as new: a caller may resend one for
 * QgClaimOptions.retention and no longer.
 */
#ifndef QG_CLAIM_H
#define QG_CLAIM_H

#include "qg.h"
#include "proto/claim.pb-c.h"

G_BEGIN_DECLS

/** How long a settled key is kept by default. */
#define QG_CLAIM_RETENTION (24 * 3600 * QG_SEC)
/** How long a released claim is remembered, to know its late duplicates. */
#define QG_CLAIM_RELEASED_RETENTION (600 * QG_SEC)

enum
{
  QG_CLAIM_PER_WORKSPACE = 20000, /**< keys kept for one workspace */
  QG_CLAIM_TOTAL = 300000,        /**< keys kept in all */
  QG_CLAIM_NAME_BYTES = 256       /**< longest name or key in a command */
};

typedef struct _QgClaims QgClaims;

/** Bounds of the table; all members of a fleet use the same. */
typedef struct
{
  QgTime retention;          /**< 0: QG_CLAIM_RETENTION */
  QgTime released_retention; /**< 0: QG_CLAIM_RELEASED_RETENTION */
  guint per_workspace;       /**< 0: QG_CLAIM_PER_WORKSPACE */
  guint total;               /**< 0: QG_CLAIM_TOTAL */
} QgClaimOptions;

/** A process that holds claims. */
typedef struct
{
  const char *agent;
  guint64 incarnation;
  const char *address;
  guint running; /**< claims whose outcome it still owes */
} QgClaimHolder;

/** A new empty table with one reference; @a options may be NULL. */
QgClaims *qg_claim_new (const QgClaimOptions *options);
QgClaims *qg_claim_ref (QgClaims *claims);
void qg_claim_unref (QgClaims *claims);

/**
 * Applies one command of the log.
 *
 * @param result filled in; its strings belong to the table and hold until the
 *        next command.
 * @return QG_OK, or QG_E_INVALID when the command has no required shape; the
 *         table is unchanged then.
 */
QgStatus qg_claim_apply (QgClaims *claims, const Qg__ClaimCommand *command,
                         Qg__ClaimResult *result);

/** qg_claim_apply() on packed messages; NULL when it cannot be decoded. */
GBytes *qg_claim_apply_packed (QgClaims *claims, gconstpointer data, gsize len);

/** Keys kept now, running and settled, without the released ones. */
guint qg_claim_count (const QgClaims *claims);

/** Keys kept now for @a workspace. */
guint qg_claim_workspace_count (const QgClaims *claims, const char *workspace);

/**
 * The holders that owe an outcome, in a fixed order. The leader compares them
 * with the live agents every few seconds and commits ClaimHolderGone for those
 * that have ended: so a claim that was committed after its holder's end is
 * found as well.
 *
 * @param cursor NULL at the start; no command may come between two calls.
 * @return FALSE behind the last one.
 */
gboolean qg_claim_next_holder (const QgClaims *claims, gconstpointer *cursor,
                               QgClaimHolder *holder);

/** The whole table, packed; equal tables give equal bytes. */
GBytes *qg_claim_snapshot (const QgClaims *claims);

/**
 * Replaces the table by a snapshot.
 *
 * @return QG_OK, or QG_E_CORRUPT with the table unchanged.
 */
QgStatus qg_claim_restore (QgClaims *claims, gconstpointer data, gsize len,
                           QgErr *err);

G_END_DECLS

#endif
