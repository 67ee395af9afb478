#include "libclaim.h"

#include "event.h"

#include <string.h>

/* Verdict on a ClaimTake of an existing key whose body hash matches, by row
 * state. */
static const Qg__ClaimVerdict verdict_by_state[QG_N_CLAIM_ROWS] = {
  [QG_CLAIM_ROW_RUNNING] = QG__CLAIM_VERDICT__CLAIM_VERDICT_RUNNING,
  [QG_CLAIM_ROW_DONE] = QG__CLAIM_VERDICT__CLAIM_VERDICT_DONE,
  [QG_CLAIM_ROW_UNKNOWN] = QG__CLAIM_VERDICT__CLAIM_VERDICT_UNKNOWN,
  [QG_CLAIM_ROW_RELEASED] = QG__CLAIM_VERDICT__CLAIM_VERDICT_STALE,
};

static const QgClaimQueue queue_by_state[QG_N_CLAIM_ROWS] = {
  [QG_CLAIM_ROW_RUNNING] = QG_CLAIM_QUEUE_RUNNING,
  [QG_CLAIM_ROW_DONE] = QG_CLAIM_QUEUE_SETTLED,
  [QG_CLAIM_ROW_UNKNOWN] = QG_CLAIM_QUEUE_SETTLED,
  [QG_CLAIM_ROW_RELEASED] = QG_CLAIM_QUEUE_RELEASED,
};

static guint id_hash (gconstpointer id);
static gboolean id_equal (gconstpointer a, gconstpointer b);
static void make_id (guint8 *id, const char *workspace, const char *service,
                     const char *key);
static gboolean is_valid_name (const char *name);
static gboolean is_valid_take (const Qg__ClaimTake *take);
static void expire_records (QgClaims *claims);
static void drop_row (QgClaims *claims, QgClaimRow *row);
static void adjust_counts (QgClaimRow *row, int delta);
static void set_state (QgClaims *claims, QgClaimRow *row,
                       QgClaimRowState state);
static void apply_take (QgClaims *claims, const Qg__ClaimTake *take,
                        Qg__ClaimResult *result);
static gboolean is_same_claim (const QgClaimRow *row, const char *agent,
                               guint64 incarnation, guint64 seq);
static gboolean has_room (const QgClaims *claims, const char *workspace);
static void grant_claim (QgClaims *claims, const guint8 *id, QgClaimRow *row,
                         const Qg__ClaimTake *take, Qg__ClaimResult *result);
static void set_result_holder (Qg__ClaimResult *result,
                               const QgClaimAgent *agent);
static QgClaimRowState settled_state (const Qg__ClaimSettle *settle);
static void record_early_release (QgClaims *claims, const guint8 *id,
                                  const Qg__ClaimSettle *settle);
static void apply_settle (QgClaims *claims, const Qg__ClaimSettle *settle,
                          Qg__ClaimResult *result);
static void apply_holder_gone (QgClaims *claims,
                               const Qg__ClaimHolderGone *gone,
                               Qg__ClaimResult *result);

QgClaims *
qg_claim_new (const QgClaimOptions *options)
{
  QgClaims *claims = g_new0 (QgClaims, 1);

  claims->refs = 1;
  if (options != NULL)
    claims->options = *options;
  if (claims->options.retention == 0)
    claims->options.retention = QG_CLAIM_RETENTION;
  if (claims->options.released_retention == 0)
    claims->options.released_retention = QG_CLAIM_RELEASED_RETENTION;
  if (claims->options.per_workspace == 0)
    claims->options.per_workspace = QG_CLAIM_MAX_PER_WORKSPACE;
  if (claims->options.total == 0)
    claims->options.total = QG_CLAIM_MAX_KEYS;
  claims->rows = g_hash_table_new_full (id_hash, id_equal, NULL, g_free);
  claims->agents = g_hash_table_new (qg_claim_agent_hash, qg_claim_agent_equal);
  claims->workspaces_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  return claims;
}

QgClaims *
qg_claim_ref (QgClaims *claims)
{
  claims->refs++;
  return claims;
}

void
qg_claim_unref (QgClaims *claims)
{
  if (claims == NULL || --claims->refs > 0)
    return;
  qg_claim_clear (claims);
  g_hash_table_unref (claims->rows);
  g_hash_table_unref (claims->agents);
  g_hash_table_unref (claims->workspaces_by_name);
  g_free (claims);
}

void
qg_claim_clear (QgClaims *claims)
{
  for (int i = 0; i < QG_N_CLAIM_QUEUES; i++)
    while (claims->queues[i].head != NULL)
      drop_row (claims, claims->queues[i].head->data);
  qg_claim_free_idle_agents (claims, G_MAXINT64);
  claims->now = 0;
}

QgStatus
qg_claim_apply (QgClaims *claims, const Qg__ClaimCommand *command,
                Qg__ClaimResult *result)
{
  qg__claim_result__init (result);
  switch (command->kind_case)
    {
    case QG__CLAIM_COMMAND__KIND_TAKE:
      if (!is_valid_take (command->take))
        return QG_E_INVALID;
      break;
    case QG__CLAIM_COMMAND__KIND_SETTLE:
    case QG__CLAIM_COMMAND__KIND_HOLDER_GONE:
      break;
    default:
      return QG_E_INVALID;
    }
  claims->now = MAX (claims->now, command->now_us);
  expire_records (claims);
  if (command->kind_case == QG__CLAIM_COMMAND__KIND_TAKE)
    apply_take (claims, command->take, result);
  else if (command->kind_case == QG__CLAIM_COMMAND__KIND_SETTLE)
    apply_settle (claims, command->settle, result);
  else
    apply_holder_gone (claims, command->holder_gone, result);
  return QG_OK;
}

GBytes *
qg_claim_apply_packed (QgClaims *claims, gconstpointer data, gsize len)
{
  Qg__ClaimCommand *command = qg__claim_command__unpack (NULL, len, data);
  Qg__ClaimResult result;
  guint8 *out = NULL;
  gsize size = 0;

  if (command == NULL)
    return NULL;
  if (qg_claim_apply (claims, command, &result) == QG_OK)
    {
      size = qg__claim_result__get_packed_size (&result);
      out = g_malloc (size + 1); /* + 1: a default message packs to 0 bytes */
      qg__claim_result__pack (&result, out);
    }
  qg__claim_command__free_unpacked (command, NULL);
  return out == NULL ? NULL : g_bytes_new_take (out, size);
}

guint
qg_claim_count (const QgClaims *claims)
{
  return claims->queues[QG_CLAIM_QUEUE_RUNNING].length
         + claims->queues[QG_CLAIM_QUEUE_SETTLED].length;
}

QgClaimQueue
qg_claim_queue_of (QgClaimRowState state)
{
  return queue_by_state[state];
}

void
qg_claim_add_row (QgClaims *claims, QgClaimRow *row)
{
  row->link.data = row;
  row->holder->rows++;
  row->workspace->rows++;
  adjust_counts (row, 1);
  g_hash_table_insert (claims->rows, row->id, row);
  g_queue_push_tail_link (&claims->queues[queue_by_state[row->state]],
                          &row->link);
}

static guint
id_hash (gconstpointer id)
{
  guint hash;

  memcpy (&hash, id, sizeof hash);
  return hash;
}

static gboolean
id_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, QG_CLAIM_ID_BYTES) == 0;
}

/* Hashes the terminating zero of each part as well, so that ("a", "bc") and
 * ("ab", "c") give different ids. */
static void
make_id (guint8 *id, const char *workspace, const char *service,
         const char *key)
{
  const char *parts[] = { workspace, service, key };
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  guint8 digest[32];
  gsize len = sizeof digest;

  for (gsize i = 0; i < G_N_ELEMENTS (parts); i++)
    g_checksum_update (sum, (const guchar *)parts[i],
                       (gssize)strlen (parts[i]) + 1);
  g_checksum_get_digest (sum, digest, &len);
  memcpy (id, digest, QG_CLAIM_ID_BYTES);
  g_checksum_free (sum);
}

static gboolean
is_valid_name (const char *name)
{
  return name[0] != '\0'
         && strnlen (name, QG_CLAIM_MAX_NAME_BYTES + 1)
                <= QG_CLAIM_MAX_NAME_BYTES;
}

static gboolean
is_valid_take (const Qg__ClaimTake *take)
{
  return is_valid_name (take->workspace) && is_valid_name (take->service)
         && is_valid_name (take->key) && is_valid_name (take->agent)
         && take->body_hash.len >= QG_CLAIM_BODY_HASH_BYTES;
}

static void
expire_records (QgClaims *claims)
{
  const QgTime retention[QG_N_CLAIM_QUEUES] = {
    [QG_CLAIM_QUEUE_SETTLED] = claims->options.retention,
    [QG_CLAIM_QUEUE_RELEASED] = claims->options.released_retention,
  };
  GQueue *released;

  for (int i = QG_CLAIM_QUEUE_SETTLED; i < QG_N_CLAIM_QUEUES; i++)
    while (claims->queues[i].head != NULL)
      {
        QgClaimRow *row = claims->queues[i].head->data;

        if (claims->now - row->state_since < retention[i])
          break;
        drop_row (claims, row);
      }
  qg_claim_free_idle_agents (claims,
                             claims->now - claims->options.released_retention);
  /* Rows in state RELEASED only serve to recognize late duplicates, so they may
   * be dropped early. */
  released = &claims->queues[QG_CLAIM_QUEUE_RELEASED];
  while (released->length > claims->options.total / 4 && released->head != NULL)
    drop_row (claims, released->head->data);
}

static void
drop_row (QgClaims *claims, QgClaimRow *row)
{
  QgClaimAgent *holder = row->holder;
  QgClaimWorkspace *workspace = row->workspace;

  adjust_counts (row, -1);
  g_queue_unlink (&claims->queues[queue_by_state[row->state]], &row->link);
  g_hash_table_remove (claims->rows, row->id);
  holder->rows--;
  workspace->rows--;
  qg_claim_update_idle (claims, holder);
  qg_claim_free_empty_workspace (claims, workspace);
}

static void
adjust_counts (QgClaimRow *row, int delta)
{
  if (row->state == QG_CLAIM_ROW_RUNNING)
    row->holder->running += (guint)delta;
  if (row->state != QG_CLAIM_ROW_RELEASED)
    row->workspace->unreleased_rows += (guint)delta;
}

static void
set_state (QgClaims *claims, QgClaimRow *row, QgClaimRowState state)
{
  g_queue_unlink (&claims->queues[queue_by_state[row->state]], &row->link);
  adjust_counts (row, -1);
  row->state = state;
  row->state_since = claims->now;
  adjust_counts (row, 1);
  g_queue_push_tail_link (&claims->queues[queue_by_state[state]], &row->link);
}

static void
apply_take (QgClaims *claims, const Qg__ClaimTake *take,
            Qg__ClaimResult *result)
{
  guint8 id[QG_CLAIM_ID_BYTES];
  QgClaimAgent *agent = qg_claim_get_agent (claims, take->agent,
                                            take->incarnation, take->address);
  gboolean late = take->seq <= agent->highest_seq;
  QgClaimRow *row;
  gboolean same;

  agent->highest_seq = MAX (agent->highest_seq, take->seq);
  qg_claim_update_idle (claims, agent);
  make_id (id, take->workspace, take->service, take->key);
  row = g_hash_table_lookup (claims->rows, id);
  same = row != NULL
         && is_same_claim (row, take->agent, take->incarnation, take->seq);
  if (late && !same)
    {
      /* Either this claim was answered before, or a later claim of the key was
       * applied first. In both cases no request waits for the answer. */
      result->verdict = QG__CLAIM_VERDICT__CLAIM_VERDICT_STALE;
      return;
    }
  if (row == NULL)
    {
      grant_claim (claims, id, NULL, take, result);
      return;
    }
  if (row->state == QG_CLAIM_ROW_RELEASED && !same)
    {
      grant_claim (claims, id, row, take, result);
      return;
    }
  set_result_holder (result, row->holder);
  if (row->state != QG_CLAIM_ROW_RELEASED
      && memcmp (row->body_hash, take->body_hash.data, QG_CLAIM_BODY_HASH_BYTES)
             != 0)
    result->verdict = QG__CLAIM_VERDICT__CLAIM_VERDICT_MISMATCH;
  else if (same && row->state == QG_CLAIM_ROW_RUNNING)
    result->verdict = QG__CLAIM_VERDICT__CLAIM_VERDICT_GRANTED;
  else if (same && row->state == QG_CLAIM_ROW_UNKNOWN)
    /* The holder was reported as ended but sends its claim again. It has
     * therefore sent nothing to the target. */
    result->verdict = QG__CLAIM_VERDICT__CLAIM_VERDICT_STALE;
  else
    result->verdict = verdict_by_state[row->state];
}

/* Whether @row was created by the claim with this agent, incarnation and seq.
 * If so, a take is a duplicate of this claim, and a settle command settles the
 * claim. */
static gboolean
is_same_claim (const QgClaimRow *row, const char *agent, guint64 incarnation,
               guint64 seq)
{
  return row->seq == seq && row->holder->incarnation == incarnation
         && strcmp (row->holder->name, agent) == 0;
}

static gboolean
has_room (const QgClaims *claims, const char *workspace)
{
  return qg_claim_count (claims) < claims->options.total
         && qg_claim_workspace_count (claims, workspace)
                < claims->options.per_workspace;
}

/* Grants the claim on a key to the agent that asks for it. @row is the row of
 * the key in state QG_CLAIM_ROW_RELEASED, which is replaced, or NULL if the key
 * has no row. */
static void
grant_claim (QgClaims *claims, const guint8 *id, QgClaimRow *row,
             const Qg__ClaimTake *take, Qg__ClaimResult *result)
{
  if (!has_room (claims, take->workspace))
    {
      qg_event (QG_EV_CLAIM_FULL,
                "refused a new key of workspace %s, which has %u keys stored",
                take->workspace,
                qg_claim_workspace_count (claims, take->workspace));
      result->verdict = QG__CLAIM_VERDICT__CLAIM_VERDICT_FULL;
      return;
    }
  if (!qg_check_invariant (
          row == NULL || row->state == QG_CLAIM_ROW_RELEASED, QG_EV_INV_CLAIM,
          "a key of workspace %s would be granted twice", take->workspace))
    {
      result->verdict = QG__CLAIM_VERDICT__CLAIM_VERDICT_UNKNOWN;
      return;
    }
  if (row != NULL)
    drop_row (claims, row);
  row = g_new0 (QgClaimRow, 1);
  memcpy (row->id, id, sizeof row->id);
  memcpy (row->body_hash, take->body_hash.data, sizeof row->body_hash);
  row->holder = qg_claim_get_agent (claims, take->agent, take->incarnation,
                                    take->address);
  row->holder->reported_gone = FALSE;
  row->workspace = qg_claim_get_workspace (claims, take->workspace);
  row->seq = take->seq;
  row->state_since = claims->now;
  row->state = QG_CLAIM_ROW_RUNNING;
  qg_claim_add_row (claims, row);
  result->verdict = QG__CLAIM_VERDICT__CLAIM_VERDICT_GRANTED;
  set_result_holder (result, row->holder);
}

static void
set_result_holder (Qg__ClaimResult *result, const QgClaimAgent *agent)
{
  if (agent->reported_gone)
    return;
  result->agent = agent->name;
  result->incarnation = agent->incarnation;
  result->address = agent->address;
}

/* A holder that was reported as ended may still settle its claim. */
static void
apply_settle (QgClaims *claims, const Qg__ClaimSettle *settle,
              Qg__ClaimResult *result)
{
  guint8 id[QG_CLAIM_ID_BYTES];
  QgClaimRow *row;

  make_id (id, settle->workspace, settle->service, settle->key);
  row = g_hash_table_lookup (claims->rows, id);
  if (row == NULL && settle->released)
    record_early_release (claims, id, settle);
  if (row == NULL
      || !is_same_claim (row, settle->agent, settle->incarnation, settle->seq))
    return;
  if (row->state != QG_CLAIM_ROW_RUNNING && row->state != QG_CLAIM_ROW_UNKNOWN)
    return;
  row->holder->reported_gone = FALSE;
  set_state (claims, row, settled_state (settle));
  result->changed = TRUE;
}

static QgClaimRowState
settled_state (const Qg__ClaimSettle *settle)
{
  if (settle->released)
    return QG_CLAIM_ROW_RELEASED;
  return settle->unknown ? QG_CLAIM_ROW_UNKNOWN : QG_CLAIM_ROW_DONE;
}

/* Records the release of a claim that has not arrived yet, so that the claim is
 * stale when it arrives. */
static void
record_early_release (QgClaims *claims, const guint8 *id,
                      const Qg__ClaimSettle *settle)
{
  QgClaimRow *row;

  if (!is_valid_name (settle->workspace) || !is_valid_name (settle->agent))
    return;
  row = g_new0 (QgClaimRow, 1);
  memcpy (row->id, id, sizeof row->id);
  row->holder
      = qg_claim_get_agent (claims, settle->agent, settle->incarnation, "");
  row->workspace = qg_claim_get_workspace (claims, settle->workspace);
  row->seq = settle->seq;
  row->holder->highest_seq = MAX (row->holder->highest_seq, settle->seq);
  row->state_since = claims->now;
  row->state = QG_CLAIM_ROW_RELEASED;
  qg_claim_add_row (claims, row);
}

static void
apply_holder_gone (QgClaims *claims, const Qg__ClaimHolderGone *gone,
                   Qg__ClaimResult *result)
{
  QgClaimAgent key = { .name = gone->agent, .incarnation = gone->incarnation };
  QgClaimAgent *agent = g_hash_table_lookup (claims->agents, &key);
  GList *next;

  if (agent == NULL)
    return;
  if (agent->running > 0)
    qg_event (QG_EV_CLAIM_UNKNOWN, "agent %s ended with %u running claims",
              agent->name, agent->running);
  result->changed = !agent->reported_gone || agent->running > 0;
  agent->reported_gone = TRUE;
  for (GList *l = claims->queues[QG_CLAIM_QUEUE_RUNNING].head; l != NULL;
       l = next)
    {
      QgClaimRow *row = l->data;

      next = l->next;
      if (row->holder == agent)
        set_state (claims, row, QG_CLAIM_ROW_UNKNOWN);
    }
}
