/**
 * @file libclaim.h
 * What the files of the claim table share.
 */
#ifndef QG_LIBCLAIM_H
#define QG_LIBCLAIM_H

#include "claim.h"

G_BEGIN_DECLS

enum
{
  QG_CLAIM_ID_BYTES = 16,  /* of the SHA-256 over workspace, service and key */
  QG_CLAIM_BODY_BYTES = 16 /* of the body hash */
};

typedef enum
{
  QG_CLAIM_ROW_RUNNING,
  QG_CLAIM_ROW_DONE,
  QG_CLAIM_ROW_UNKNOWN,
  QG_CLAIM_ROW_RELEASED,
  QG_N_CLAIM_ROWS
} QgClaimRowState;

/* Rows of one queue stand in the order in which they entered it. */
typedef enum
{
  QG_CLAIM_RUNNING,
  QG_CLAIM_SETTLED,
  QG_CLAIM_RELEASED,
  QG_N_CLAIM_QUEUES
} QgClaimQueue;

typedef struct
{
  GList link; /* in QgClaims.holders or .idle */
  char *agent;
  guint64 incarnation;
  char *address;
  gboolean gone;
  guint rows;
  guint running;
  guint64 latest; /* highest seq of a claim that it asked for */
  gboolean idle;  /* holds nothing */
  QgTime idle_at; /* since when */
  guint32 place;  /* in a snapshot */
} QgClaimAgent;

typedef struct
{
  GList link; /* in QgClaims.workspaces */
  char *name;
  guint rows;
  guint kept; /* rows that are not released */
  guint32 place;
} QgClaimWorkspace;

typedef struct
{
  GList link; /* in one of QgClaims.queues */
  guint8 id[QG_CLAIM_ID_BYTES];
  guint8 body[QG_CLAIM_BODY_BYTES];
  QgClaimAgent *holder;
  QgClaimWorkspace *workspace;
  guint64 seq;
  QgTime at; /* when it came into its state */
  QgClaimRowState state;
} QgClaimRow;

struct _QgClaims
{
  int refs;
  QgClaimOptions options;
  QgTime now;         /* the latest time of a command; never goes back */
  GHashTable *rows;   /* id to QgClaimRow, owned */
  GHashTable *agents; /* QgClaimAgent as a set, by name and incarnation */
  GHashTable *spaces; /* name to QgClaimWorkspace */
  GQueue queues[QG_N_CLAIM_QUEUES];
  GQueue holders; /* with rows */
  GQueue idle;    /* without, in the order of idle_at */
  GQueue workspaces;
};

/* The queue that a row of @state stands in. */
QgClaimQueue qg_claim_queue_of (QgClaimRowState state);

/* Finds or makes the record. */
QgClaimAgent *qg_claim_get_agent (QgClaims *claims, const char *name,
                                  guint64 incarnation, const char *address);
QgClaimWorkspace *qg_claim_get_workspace (QgClaims *claims, const char *name);

/* Puts @row, filled but for its link, into the table. */
void qg_claim_add_row (QgClaims *claims, QgClaimRow *row);

/* Notes that @agent or @workspace lost a row. An agent without rows is kept as
 * idle, so that late duplicates of its claims are known. */
void qg_claim_leave_agent (QgClaims *claims, QgClaimAgent *agent);
void qg_claim_leave_workspace (QgClaims *claims, QgClaimWorkspace *workspace);

/* Drops agents that are idle since @before or longer. */
void qg_claim_expire_holders (QgClaims *claims, QgTime before);

/* QgClaimAgent by name and incarnation. */
guint qg_claim_agent_hash (gconstpointer agent);
gboolean qg_claim_agent_equal (gconstpointer a, gconstpointer b);

/* Takes the records without rows out of the queues of those with rows. */
void qg_claim_drop_unused (QgClaims *claims);

/* Empties the table. */
void qg_claim_clear (QgClaims *claims);

G_END_DECLS

#endif
