#include "libclaim.h"

#include <string.h>

/* Storage for the messages that a snapshot refers to. */
typedef struct
{
  Qg__ClaimHolderRow *holders;
  Qg__ClaimRow *rows;
} SnapshotRecords;

static void assign_indexes (const QgClaims *claims);
static void fill_holders (const QgClaims *claims, Qg__ClaimSnapshot *out,
                          Qg__ClaimHolderRow *rows);
static void fill_holder (const QgClaimAgent *agent, Qg__ClaimSnapshot *out,
                         Qg__ClaimHolderRow *rows);
static void fill_rows (const QgClaims *claims, Qg__ClaimSnapshot *out,
                       Qg__ClaimRow *rows);
static gboolean are_valid_rows (const Qg__ClaimSnapshot *in);
static gboolean is_valid_row (const Qg__ClaimSnapshot *in,
                              const Qg__ClaimRow *row);
static void load_rows (QgClaims *claims, const Qg__ClaimSnapshot *in);

GBytes *
qg_claim_snapshot (const QgClaims *claims)
{
  Qg__ClaimSnapshot out = QG__CLAIM_SNAPSHOT__INIT;
  guint n_holders = claims->holders.length + claims->idle.length;
  SnapshotRecords records;
  guint8 *bytes;
  gsize size;

  assign_indexes (claims);
  out.now_us = claims->now;
  records.holders = g_new (Qg__ClaimHolderRow, n_holders);
  records.rows = g_new (Qg__ClaimRow, g_hash_table_size (claims->rows));
  out.holders = g_new (Qg__ClaimHolderRow *, n_holders);
  out.workspaces = g_new (char *, claims->workspaces.length);
  out.rows = g_new (Qg__ClaimRow *, g_hash_table_size (claims->rows));
  fill_holders (claims, &out, records.holders);
  fill_rows (claims, &out, records.rows);
  size = qg__claim_snapshot__get_packed_size (&out);
  bytes = g_malloc (size + 1);
  qg__claim_snapshot__pack (&out, bytes);
  g_free (records.holders);
  g_free (records.rows);
  g_free ((gpointer)out.holders);
  g_free ((gpointer)out.workspaces);
  g_free ((gpointer)out.rows);
  return g_bytes_new_take (bytes, size);
}

QgStatus
qg_claim_restore (QgClaims *claims, gconstpointer data, gsize len, QgErr *err)
{
  Qg__ClaimSnapshot *in = qg__claim_snapshot__unpack (NULL, len, data);

  if (in == NULL || !are_valid_rows (in))
    {
      if (in != NULL)
        qg__claim_snapshot__free_unpacked (in, NULL);
      return qg_fail (err, QG_E_CORRUPT,
                      "the snapshot of the claim table is corrupt; fetch a "
                      "snapshot from another member");
    }
  qg_claim_clear (claims);
  load_rows (claims, in);
  claims->now = in->now_us;
  qg__claim_snapshot__free_unpacked (in, NULL);
  return QG_OK;
}

static void
assign_indexes (const QgClaims *claims)
{
  guint32 index = 0;

  for (GList *l = claims->holders.head; l != NULL; l = l->next)
    ((QgClaimAgent *)l->data)->snapshot_index = index++;
  for (GList *l = claims->idle.head; l != NULL; l = l->next)
    ((QgClaimAgent *)l->data)->snapshot_index = index++;
  index = 0;
  for (GList *l = claims->workspaces.head; l != NULL; l = l->next)
    ((QgClaimWorkspace *)l->data)->snapshot_index = index++;
}

static void
fill_holders (const QgClaims *claims, Qg__ClaimSnapshot *out,
              Qg__ClaimHolderRow *rows)
{
  for (GList *l = claims->holders.head; l != NULL; l = l->next)
    fill_holder (l->data, out, rows);
  for (GList *l = claims->idle.head; l != NULL; l = l->next)
    fill_holder (l->data, out, rows);
  for (GList *l = claims->workspaces.head; l != NULL; l = l->next)
    out->workspaces[out->n_workspaces++] = ((QgClaimWorkspace *)l->data)->name;
}

static void
fill_holder (const QgClaimAgent *agent, Qg__ClaimSnapshot *out,
             Qg__ClaimHolderRow *rows)
{
  Qg__ClaimHolderRow *row = &rows[agent->snapshot_index];

  qg__claim_holder_row__init (row);
  row->agent = agent->name;
  row->incarnation = agent->incarnation;
  row->address = agent->address;
  row->gone = agent->reported_gone;
  row->latest = agent->highest_seq;
  row->idle_at_us = agent->idle ? agent->idle_since : 0;
  out->holders[out->n_holders++] = row;
}

static void
fill_rows (const QgClaims *claims, Qg__ClaimSnapshot *out, Qg__ClaimRow *rows)
{
  for (int i = 0; i < QG_N_CLAIM_QUEUES; i++)
    for (GList *l = claims->queues[i].head; l != NULL; l = l->next)
      {
        QgClaimRow *from = l->data;
        Qg__ClaimRow *row = &rows[out->n_rows];

        qg__claim_row__init (row);
        row->id.data = from->id;
        row->id.len = sizeof from->id;
        row->body.data = from->body_hash;
        row->body.len = sizeof from->body_hash;
        row->holder = from->holder->snapshot_index;
        row->workspace = from->workspace->snapshot_index;
        row->state = from->state;
        row->seq = from->seq;
        row->at_us = from->state_since;
        out->rows[out->n_rows++] = row;
      }
}

static gboolean
are_valid_rows (const Qg__ClaimSnapshot *in)
{
  GHashTable *ids = g_hash_table_new_full (g_bytes_hash, g_bytes_equal,
                                           (GDestroyNotify)g_bytes_unref, NULL);
  gboolean ok = TRUE;

  for (gsize i = 0; ok && i < in->n_rows; i++)
    {
      const ProtobufCBinaryData *id = &in->rows[i]->id;

      ok = is_valid_row (in, in->rows[i])
           && g_hash_table_add (ids, g_bytes_new_static (id->data, id->len));
    }
  g_hash_table_unref (ids);
  return ok;
}

static gboolean
is_valid_row (const Qg__ClaimSnapshot *in, const Qg__ClaimRow *row)
{
  return row->id.len == QG_CLAIM_ID_BYTES
         && row->body.len == QG_CLAIM_BODY_HASH_BYTES
         && row->holder < in->n_holders && row->workspace < in->n_workspaces
         && row->state < QG_N_CLAIM_ROWS;
}

/* Keeps the order of holders and workspaces, so that a snapshot of the restored
 * table has the same bytes. */
static void
load_rows (QgClaims *claims, const Qg__ClaimSnapshot *in)
{
  for (gsize i = 0; i < in->n_holders; i++)
    {
      const Qg__ClaimHolderRow *from = in->holders[i];
      QgClaimAgent *agent = qg_claim_get_agent (
          claims, from->agent, from->incarnation, from->address);

      agent->reported_gone = from->gone;
      agent->highest_seq = from->latest;
      claims->now = from->idle_at_us; /* read by qg_claim_update_idle() */
      if (from->idle_at_us != 0)
        qg_claim_update_idle (claims, agent);
    }
  for (gsize i = 0; i < in->n_workspaces; i++)
    qg_claim_get_workspace (claims, in->workspaces[i]);
  for (gsize i = 0; i < in->n_rows; i++)
    {
      const Qg__ClaimRow *from = in->rows[i];
      const Qg__ClaimHolderRow *holder = in->holders[from->holder];
      QgClaimRow *row = g_new0 (QgClaimRow, 1);

      memcpy (row->id, from->id.data, sizeof row->id);
      memcpy (row->body_hash, from->body.data, sizeof row->body_hash);
      row->holder = qg_claim_get_agent (claims, holder->agent,
                                        holder->incarnation, holder->address);
      row->workspace
          = qg_claim_get_workspace (claims, in->workspaces[from->workspace]);
      row->state = (QgClaimRowState)from->state;
      row->seq = from->seq;
      row->state_since = from->at_us;
      qg_claim_add_row (claims, row);
    }
  qg_claim_drop_unused (claims);
}
