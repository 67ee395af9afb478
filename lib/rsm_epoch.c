#include "librsm.h"

#include <string.h>

static void epoch_free (gpointer data);
static gboolean was_replaced (const QgEpoch *epoch, guint64 incarnation);
static QgEpoch *add_name (QgEpochs *epochs, const char *name);
static void assign_epoch (QgEpochs *epochs, QgEpoch *epoch, guint64 index,
                          guint64 incarnation);

void
qg_epochs_init (QgEpochs *epochs)
{
  epochs->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, epoch_free);
  g_queue_init (&epochs->order);
}

void
qg_epochs_clear (QgEpochs *epochs)
{
  g_queue_clear (&epochs->order);
  g_clear_pointer (&epochs->by_name, g_hash_table_unref);
}

void
qg_epochs_apply (QgEpochs *epochs, guint64 index, const Qg__EpochTake *take,
                 Qg__EpochResult *result)
{
  QgEpoch *epoch = g_hash_table_lookup (epochs->by_name, take->name);

  if (epoch != NULL && was_replaced (epoch, take->incarnation))
    result->stale = TRUE;
  else if (epoch == NULL || epoch->incarnation != take->incarnation)
    {
      if (epoch == NULL)
        epoch = add_name (epochs, take->name);
      else
        epoch->replaced[epoch->n_replaced++ % QG_RSM_MAX_REPLACED]
            = epoch->incarnation;
      assign_epoch (epochs, epoch, index, take->incarnation);
    }
  result->epoch = epoch->epoch;
  if (epochs->order.length > QG_RSM_MAX_EPOCHS)
    {
      QgEpoch *oldest = g_queue_pop_head (&epochs->order);

      g_hash_table_remove (epochs->by_name, oldest->name);
    }
}

Qg__EpochRow *
qg_epoch_pack (const QgEpoch *epoch)
{
  Qg__EpochRow *row = g_new0 (Qg__EpochRow, 1);
  guint stored = MIN (epoch->n_replaced, QG_RSM_MAX_REPLACED);

  qg__epoch_row__init (row);
  row->name = g_strdup (epoch->name);
  row->incarnation = epoch->incarnation;
  row->epoch = epoch->epoch;
  row->n_replaced = stored;
  row->replaced = g_new (uint64_t, stored);
  for (guint i = 0; i < stored; i++)
    row->replaced[i] = epoch->replaced[(epoch->n_replaced - stored + i)
                                       % QG_RSM_MAX_REPLACED];
  return row;
}

gboolean
qg_epochs_unpack (QgEpochs *epochs, const Qg__EpochRow *row)
{
  QgEpoch *epoch;

  if (row->n_replaced > QG_RSM_MAX_REPLACED
      || g_hash_table_contains (epochs->by_name, row->name))
    return FALSE;
  epoch = add_name (epochs, row->name);
  for (size_t i = 0; i < row->n_replaced; i++)
    epoch->replaced[epoch->n_replaced++] = row->replaced[i];
  assign_epoch (epochs, epoch, row->epoch, row->incarnation);
  return TRUE;
}

static void
epoch_free (gpointer data)
{
  QgEpoch *epoch = data;

  qg_str_unref (epoch->name);
  g_free (epoch);
}

static gboolean
was_replaced (const QgEpoch *epoch, guint64 incarnation)
{
  for (guint i = 0; i < MIN (epoch->n_replaced, QG_RSM_MAX_REPLACED); i++)
    if (epoch->replaced[i] == incarnation)
      return TRUE;
  return FALSE;
}

static QgEpoch *
add_name (QgEpochs *epochs, const char *name)
{
  QgEpoch *epoch = g_new0 (QgEpoch, 1);

  epoch->name = qg_str_new (name);
  g_hash_table_insert (epochs->by_name, epoch->name, epoch);
  return epoch;
}

static void
assign_epoch (QgEpochs *epochs, QgEpoch *epoch, guint64 index,
              guint64 incarnation)
{
  epoch->incarnation = incarnation;
  epoch->epoch = index;
  if (epoch->link != NULL)
    g_queue_delete_link (&epochs->order, epoch->link);
  g_queue_push_tail (&epochs->order, epoch);
  epoch->link = epochs->order.tail;
}
