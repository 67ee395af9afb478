#include "libfair.h"

enum
{
  ANSWER_ITEM_BYTES = 6, /* index and counter of a workspace, encoded */
  ANSWER_BYTES_PER_SEC = 4096
};

/* Arrays that the last report points to. */
struct _QgFairWire
{
  GArray *index;
  GArray *charge;
  GArray *on;
  GArray *off;
  GArray *fresh;          /* Qg__FairFresh */
  GPtrArray *fresh_parts; /* pointers to the elements of fresh */
};

static struct _QgFairWire *wire_reset (QgFair *fair);
static gboolean is_report_due (const QgFair *fair, QgTime now);
static void mark_all_changed (QgFair *fair);
static void add_space (QgFair *fair, QgFairWorkspace *space);
static void add_fresh (QgFair *fair, QgFairWorkspace *space, gint64 charge,
                       gboolean backlogged);
static void add_known (QgFair *fair, QgFairWorkspace *space, gint64 charge,
                       gboolean backlogged);
static void fill_report (QgFair *fair, Qg__FairReport *report);
static void resync (QgFair *fair, guint64 epoch);
static void read_names (QgFair *fair, const Qg__FairTotals *totals);
static void read_totals (QgFair *fair, QgTime now,
                         const Qg__FairTotals *totals);
static void reduce_lift (const QgFair *fair, QgFairWorkspace *space);
static void confirm_report (QgFair *fair);
static gboolean is_reportable (const QgFair *fair,
                               const QgFairWorkspace *space);

gboolean
qg_fair_report (QgFair *fair, QgTime now, Qg__FairReport *report)
{
  if (!is_report_due (fair, now))
    return FALSE;
  qg_fair_remove_idle (fair, now);
  if (fair->full)
    mark_all_changed (fair);
  /* Repeat what the hub has not confirmed, together with newer changes. */
  for (guint i = 0; i < fair->reported->len; i++)
    {
      QgFairWorkspace *space = g_ptr_array_index (fair->reported, i);

      space->in_report = FALSE;
      qg_fair_mark_changed (fair, space);
    }
  g_ptr_array_set_size (fair->reported, 0);
  wire_reset (fair);
  for (guint i = 0; i < fair->dirty->len; i++)
    add_space (fair, g_ptr_array_index (fair->dirty, i));
  g_ptr_array_set_size (fair->dirty, 0);
  fair->seq++;
  fair->awaiting_answer = TRUE;
  fair->reported_at = now;
  fair->more = FALSE;
  fill_report (fair, report);
  return TRUE;
}

gboolean
qg_fair_totals (QgFair *fair, QgTime now, const Qg__FairTotals *totals)
{
  if (!fair->awaiting_answer || totals->seq != fair->seq)
    return FALSE;
  fair->awaiting_answer = FALSE;
  if (totals->resync)
    {
      resync (fair, totals->epoch);
      return TRUE;
    }
  if (totals->epoch != fair->epoch || totals->have_from > fair->have
      || totals->n_index != totals->n_virt)
    return FALSE;
  confirm_report (fair);
  read_names (fair, totals);
  read_totals (fair, now, totals);
  fair->have = MAX (fair->have, totals->have_to);
  fair->answer_items = (guint)totals->n_index;
  fair->floor = MAX (fair->floor, qg_fair_clamp (totals->floor));
  fair->more = totals->more;
  return fair->more;
}

QgTime
qg_fair_interval (const QgFair *fair)
{
  QgTime by_size
      = fair->answer_items * ANSWER_ITEM_BYTES * QG_SEC / ANSWER_BYTES_PER_SEC;

  return CLAMP (by_size, QG_FAIR_MIN_INTERVAL_US, QG_FAIR_MAX_INTERVAL_US);
}

void
qg_fair_wire_free (QgFair *fair)
{
  struct _QgFairWire *wire = fair->wire;

  if (wire == NULL)
    return;
  g_array_unref (wire->index);
  g_array_unref (wire->charge);
  g_array_unref (wire->on);
  g_array_unref (wire->off);
  g_array_unref (wire->fresh);
  g_ptr_array_unref (wire->fresh_parts);
  g_free (wire);
}

/* If there is nothing to send or receive, only the keep-alive is due. */
static gboolean
is_report_due (const QgFair *fair, QgTime now)
{
  return fair->seq == 0 || fair->full || fair->more || fair->dirty->len > 0
         || fair->reported->len > 0 || qg_fair_is_backlogged (fair)
         || now - fair->reported_at >= QG_FAIR_KEEP_ALIVE_US;
}

static void
mark_all_changed (QgFair *fair)
{
  GHashTableIter iter;
  gpointer space;

  g_hash_table_iter_init (&iter, fair->spaces);
  while (g_hash_table_iter_next (&iter, NULL, &space))
    if (is_reportable (fair, space))
      qg_fair_mark_changed (fair, space);
}

static struct _QgFairWire *
wire_reset (QgFair *fair)
{
  struct _QgFairWire *wire = fair->wire;

  if (wire == NULL)
    {
      wire = fair->wire = g_new0 (struct _QgFairWire, 1);
      wire->index = g_array_new (FALSE, FALSE, sizeof (guint32));
      wire->charge = g_array_new (FALSE, FALSE, sizeof (gint64));
      wire->on = g_array_new (FALSE, FALSE, sizeof (guint32));
      wire->off = g_array_new (FALSE, FALSE, sizeof (guint32));
      wire->fresh = g_array_new (FALSE, FALSE, sizeof (Qg__FairFresh));
      wire->fresh_parts = g_ptr_array_new ();
    }
  g_array_set_size (wire->index, 0);
  g_array_set_size (wire->charge, 0);
  g_array_set_size (wire->on, 0);
  g_array_set_size (wire->off, 0);
  g_array_set_size (wire->fresh, 0);
  g_ptr_array_set_size (wire->fresh_parts, 0);
  return wire;
}

static void
add_space (QgFair *fair, QgFairWorkspace *space)
{
  gboolean backlogged = space->waiting_offers > 0;

  space->dirty = FALSE;
  space->in_report = TRUE;
  space->sent = space->own;
  space->reported_backlogged = backlogged;
  g_ptr_array_add (fair->reported, space);
  if (space->index == 0)
    add_fresh (fair, space, space->own, backlogged);
  else
    add_known (fair, space, space->own, backlogged);
}

static void
add_fresh (QgFair *fair, QgFairWorkspace *space, gint64 charge,
           gboolean backlogged)
{
  Qg__FairFresh fresh = QG__FAIR_FRESH__INIT;

  fresh.workspace = space->name;
  fresh.counter = fair->full ? space->base + space->lift : 0;
  fresh.charge = charge;
  fresh.backlogged = backlogged;
  g_array_append_val (fair->wire->fresh, fresh);
}

static void
add_known (QgFair *fair, QgFairWorkspace *space, gint64 charge,
           gboolean backlogged)
{
  struct _QgFairWire *wire = fair->wire;
  guint32 index = space->index - 1;

  if (charge != 0)
    {
      g_array_append_val (wire->index, index);
      g_array_append_val (wire->charge, charge);
    }
  if (backlogged != space->known_backlogged)
    g_array_append_val (backlogged ? wire->on : wire->off, index);
}

static void
fill_report (QgFair *fair, Qg__FairReport *report)
{
  struct _QgFairWire *wire = fair->wire;

  for (guint i = 0; i < wire->fresh->len; i++)
    g_ptr_array_add (wire->fresh_parts,
                     &g_array_index (wire->fresh, Qg__FairFresh, i));
  qg__fair_report__init (report);
  report->seq = fair->seq;
  report->service = fair->service;
  report->epoch = fair->epoch;
  report->base_seq = fair->base_seq;
  report->have = fair->have;
  report->names = fair->indexed->len;
  report->full = fair->full;
  report->floor = fair->full ? fair->floor : 0;
  report->n_fresh = wire->fresh->len;
  report->fresh = (Qg__FairFresh **)wire->fresh_parts->pdata;
  report->n_index = wire->index->len;
  report->index = (guint32 *)(void *)wire->index->data;
  report->n_charge = wire->charge->len;
  report->charge = (gint64 *)(void *)wire->charge->data;
  report->n_on = wire->on->len;
  report->on = (guint32 *)(void *)wire->on->data;
  report->n_off = wire->off->len;
  report->off = (guint32 *)(void *)wire->off->data;
}

/* Prepares the full report that the hub asked for. If the epoch of the hub is
 * new, also clears the indexes of the workspaces, because a new hub assigns new
 * indexes. */
static void
resync (QgFair *fair, guint64 epoch)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fair->spaces);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QgFairWorkspace *space = value;

      space->known_backlogged = FALSE;
      if (epoch != fair->epoch)
        space->index = 0;
    }
  fair->full = TRUE;
  if (epoch == fair->epoch)
    return;
  g_ptr_array_set_size (fair->indexed, 0);
  fair->epoch = epoch;
  fair->base_seq = 0;
  fair->have = 0;
}

static void
read_names (QgFair *fair, const Qg__FairTotals *totals)
{
  if (totals->names_from != fair->indexed->len)
    return;
  for (size_t i = 0; i < totals->n_name; i++)
    {
      QgFairWorkspace *space
          = g_hash_table_lookup (fair->spaces, totals->name[i]);

      g_ptr_array_add (fair->indexed, space != NULL
                                          ? qg_str_ref (space->name)
                                          : qg_str_new (totals->name[i]));
      if (space != NULL)
        space->index = fair->indexed->len;
    }
}

/* Stores the hub's counters. Skips a workspace that is unknown to this agent if
 * its counter is not above the floor: the counter is raised to the floor anyway
 * when the workspace becomes backlogged. */
static void
read_totals (QgFair *fair, QgTime now, const Qg__FairTotals *totals)
{
  for (size_t i = 0; i < totals->n_index; i++)
    {
      guint32 index = totals->index[i];
      QgStr *name;
      QgFairWorkspace *space;

      if (index >= fair->indexed->len)
        continue;
      name = fair->indexed->pdata[index];
      if (totals->virt[i] <= 0 && !g_hash_table_contains (fair->spaces, name))
        continue;
      space = qg_fair_workspace (fair, name);
      space->index = index + 1;
      space->base = qg_fair_clamp (qg_fair_clamp (totals->floor)
                                   + qg_fair_clamp (totals->virt[i]));
      reduce_lift (fair, space);
      qg_fair_update_heaps (fair, space);
      qg_fair_check_idle (fair, now, space);
    }
}

/* Reduces the local lift by what the hub has added to the counter. The hub may
 * have raised the counter because of another agent's report. */
static void
reduce_lift (const QgFair *fair, QgFairWorkspace *space)
{
  gint64 behind = fair->floor - space->base - space->own;

  space->lift = CLAMP (behind, 0, space->lift);
}

/* Called when the hub has merged the report: moves the reported charges from
 * own to base. The hub's counters in this answer or in a later answer include
 * these charges. */
static void
confirm_report (QgFair *fair)
{
  for (guint i = 0; i < fair->reported->len; i++)
    {
      QgFairWorkspace *space = g_ptr_array_index (fair->reported, i);

      space->in_report = FALSE;
      space->known_backlogged = space->reported_backlogged;
      space->own -= space->sent;
      space->base
          += space->sent + (space->reported_backlogged ? space->lift : 0);
      space->sent = 0;
      if (space->reported_backlogged || space->waiting_offers == 0)
        space->lift = 0;
      if ((space->waiting_offers > 0) != space->known_backlogged)
        qg_fair_mark_changed (fair, space);
      qg_fair_update_heaps (fair, space);
    }
  g_ptr_array_set_size (fair->reported, 0);
  fair->base_seq = fair->seq;
  fair->full = FALSE;
}

/* Whether a full report must include @space. The counter of a workspace that is
 * left out is raised to the floor once the workspace is backlogged again. */
static gboolean
is_reportable (const QgFair *fair, const QgFairWorkspace *space)
{
  return space->waiting_offers > 0 || space->own != 0
         || qg_fair_workspace_virt (space) > fair->floor;
}
