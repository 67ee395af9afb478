/**
 * @file libclaim.h
 * Declarations shared by the source files of the claim table.
 */
#ifndef QG_LIBCLAIM_H
#define QG_LIBCLAIM_H

#include "claim.h"

G_BEGIN_DECLS

/* Lengths to which hashes are truncated. */
enum
{
  QG_CLAIM_ID_BYTES = 16,       /* SHA-256 of workspace, service, key */
  QG_CLAIM_BODY_HASH_BYTES = 16 /* SHA-256 of the request */
};

typedef enum
{
  QG_CLAIM_ROW_RUNNING,
  QG_CLAIM_ROW_DONE,
  QG_CLAIM_ROW_UNKNOWN,
  QG_CLAIM_ROW_RELEASED,
  QG_N_CLAIM_ROWS
} QgClaimRowState;

/* Each queue keeps its rows in the order in which they were added. */
typedef enum
{
  QG_CLAIM_QUEUE_RUNNING,
  QG_CLAIM_QUEUE_SETTLED,
  QG_CLAIM_QUEUE_RELEASED,
  QG_N_CLAIM_QUEUES
} QgClaimQueue;

typedef struct
{
  GList link; /* in QgClaims.holders or .idle */
  char *name;
  guint64 incarnation;
  char *address;
  /* The control leader has reported that the agent ended. */
  gboolean reported_gone;
  guint rows;
  guint running;       /* rows in state QG_CLAIM_ROW_RUNNING */
  guint64 highest_seq; /* of the claims that the agent has asked for */
  gboolean idle;       /* has no rows */
  QgTime idle_since;
  guint32 snapshot_index;
} QgClaimAgent;

typedef struct
{
  GList link; /* in QgClaims.workspaces */
  char *name;
  guint rows;
  guint unreleased_rows;
  guint32 snapshot_index;
} QgClaimWorkspace;

typedef struct
{
  GList link; /* in one of QgClaims.queues */
  guint8 id[QG_CLAIM_ID_BYTES];
  guint8 body_hash[QG_CLAIM_BODY_HASH_BYTES];
  QgClaimAgent *holder;
  QgClaimWorkspace *workspace;
  guint64 seq;
  QgTime state_since;
  QgClaimRowState state;
} QgClaimRow;

struct _QgClaims
{
  int refs;
  QgClaimOptions options;
  QgTime now;         /* latest command time; never decreases */
  GHashTable *rows;   /* id to QgClaimRow; owns the rows */
  GHashTable *agents; /* set of QgClaimAgent, by name and incarnation */
  GHashTable *workspaces_by_name; /* name to QgClaimWorkspace */
  GQueue queues[QG_N_CLAIM_QUEUES];
  GQueue holders; /* agents with rows */
  GQueue idle;    /* agents without rows, ordered by idle_since */
  GQueue workspaces;
};

/* The queue that holds rows of @state. */
QgClaimQueue qg_claim_queue_of (QgClaimRowState state);

/* Finds or creates the record of an agent. An idle agent becomes a holder
 * again. */
QgClaimAgent *qg_claim_get_agent (QgClaims *claims, const char *name,
                                  guint64 incarnation, const char *address);
QgClaimWorkspace *qg_claim_get_workspace (QgClaims *claims, const char *name);

/* Adds @row to the table. The caller has set all members of @row except
 * link. */
void qg_claim_add_row (QgClaims *claims, QgClaimRow *row);

/* Marks @agent as idle if it has no rows. An idle agent is kept for a while, so
 * that late duplicates of its claims are recognized. */
void qg_claim_update_idle (QgClaims *claims, QgClaimAgent *agent);

/* Frees @workspace if it has no rows. */
void qg_claim_free_empty_workspace (QgClaims *claims,
                                    QgClaimWorkspace *workspace);

/* Frees the agents that became idle at @before or earlier. */
void qg_claim_free_idle_agents (QgClaims *claims, QgTime before);

/* Hash and equality of QgClaimAgent, by name and incarnation. */
guint qg_claim_agent_hash (gconstpointer agent);
gboolean qg_claim_agent_equal (gconstpointer a, gconstpointer b);

/* Marks the agents without rows as idle and frees the workspaces without
 * rows. */
void qg_claim_drop_unused (QgClaims *claims);

/* Removes all rows and agents. */
void qg_claim_clear (QgClaims *claims);

G_END_DECLS

#endif
