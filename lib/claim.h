/**
 * @file claim.h
 * The replicated table of claims, which makes requests run at most once.
 *
 * An agent claims the idempotency key of a non-idempotent request here before
 * it sends the first byte to a target. The agent that is granted the claim is
 * its holder. Later the holder settles the claim: it reports the outcome, or
 * releases the key if nothing was sent.
 *
 * The table is a deterministic state machine: the leader puts a timestamp into
 * each command, and members that apply the same commands have equal tables and
 * return equal results.
 *
 * Guarantees:
 *  - each (workspace, service, key) has at most one grant that is not released;
 *  - a running claim does not expire, and a key that became done or unknown is
 *    not granted again until QgClaimOptions.retention has passed since the key
 *    became done or unknown;
 *  - a full table refuses new keys and evicts no key before its retention
 *    ends. A request whose key is refused does not run.
 *
 * After QgClaimOptions.retention, a key counts as new, so a caller must not
 * resend a request after this time.
 */
#ifndef QG_CLAIM_H
#define QG_CLAIM_H

#include "qg.h"
#include "proto/claim.pb-c.h"

G_BEGIN_DECLS

/** Default retention of a settled key. */
#define QG_CLAIM_RETENTION (24 * 3600 * QG_SEC)
/** Default retention of a released claim, which is kept to recognize late
 * duplicates. */
#define QG_CLAIM_RELEASED_RETENTION (600 * QG_SEC)

enum
{
  QG_CLAIM_MAX_PER_WORKSPACE = 20000, /**< keys stored for a workspace */
  QG_CLAIM_MAX_KEYS = 300000,         /**< keys stored in total */
  QG_CLAIM_MAX_NAME_BYTES = 256       /**< maximum length of a name or key */
};

typedef struct _QgClaims QgClaims;

/** Limits of the table; they must be equal on all members of a fleet. */
typedef struct
{
  QgTime retention;          /**< 0: QG_CLAIM_RETENTION */
  QgTime released_retention; /**< 0: QG_CLAIM_RELEASED_RETENTION */
  guint per_workspace;       /**< 0: QG_CLAIM_MAX_PER_WORKSPACE */
  guint total;               /**< 0: QG_CLAIM_MAX_KEYS */
} QgClaimOptions;

/** An agent process that holds claims. */
typedef struct
{
  const char *agent;
  guint64 incarnation;
  const char *address;
  guint running; /**< claims that the agent has not settled */
} QgClaimHolder;

/** Creates an empty table with one reference; @a options may be NULL. */
QgClaims *qg_claim_new (const QgClaimOptions *options);
QgClaims *qg_claim_ref (QgClaims *claims);
void qg_claim_unref (QgClaims *claims);

/**
 * Applies one command of the log.
 *
 * @param result receives the result; its strings belong to the table and are
 * valid until the next command.
 * @return QG_OK, or QG_E_INVALID with the table unchanged when the command is
 *         malformed.
 */
QgStatus qg_claim_apply (QgClaims *claims, const Qg__ClaimCommand *command,
                         Qg__ClaimResult *result);

/** Like qg_claim_apply(), but with a packed command and a packed result.
 * Returns NULL when the command is invalid. */
GBytes *qg_claim_apply_packed (QgClaims *claims, gconstpointer data, gsize len);

/** Number of stored keys, running or settled; released keys do not count. */
guint qg_claim_count (const QgClaims *claims);

/** Number of keys stored for @a workspace; released keys do not count. */
guint qg_claim_workspace_count (const QgClaims *claims, const char *workspace);

/**
 * Iterates over the holders with running claims, in a fixed order. The leader
 * compares them with the live agents every few seconds and commits
 * ClaimHolderGone for each holder that has ended. The comparison finds even
 * claims that were committed after their holder had ended.
 *
 * @param cursor must be NULL in the first call; the next command invalidates
 *        the cursor.
 * @return FALSE after the last holder.
 */
gboolean qg_claim_next_holder (const QgClaims *claims, gconstpointer *cursor,
                               QgClaimHolder *holder);

/** Serializes the table; equal tables give equal bytes. */
GBytes *qg_claim_snapshot (const QgClaims *claims);

/**
 * Replaces the contents of the table with a snapshot.
 *
 * @return QG_OK, or QG_E_CORRUPT with the table unchanged.
 */
QgStatus qg_claim_restore (QgClaims *claims, gconstpointer data, gsize len,
                           QgErr *err);

G_END_DECLS

#endif
