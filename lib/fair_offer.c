#include "libfair.h"

/* Time after which an idle workspace may be removed. */
#define IDLE_KEEP_US (300 * QG_SEC)

static QgFairOffer *offer_of (QgFair *fair, QgFairEntry *entry,
                              QgFairWorkspace *space, QgClass size_class);
static void offer_free (QgFairOffer *offer);
static void raise_class_to_floor (QgFairWorkspace *space, QgClass size_class);
static void raise_to_floor (QgFair *fair, QgFairWorkspace *space);

guint
qg_fair_entry_up (QgFair *fair, gboolean local)
{
  QgFairEntry *entry = g_new0 (QgFairEntry, 1);

  entry->number = ++fair->last_entry;
  entry->locality = local ? QG_LOCAL : QG_REMOTE;
  for (int c = 0; c < QG_N_CLASSES; c++)
    entry->offers[c] = g_hash_table_new (NULL, NULL);
  g_hash_table_insert (fair->entries, GUINT_TO_POINTER (entry->number), entry);
  return entry->number;
}

void
qg_fair_entry_down (QgFair *fair, guint entry)
{
  QgFairEntry *e
      = g_hash_table_lookup (fair->entries, GUINT_TO_POINTER (entry));

  if (e == NULL)
    return;
  qg_fair_offers_reset (fair, entry);
  for (int c = 0; c < QG_N_CLASSES; c++)
    {
      GHashTableIter iter;
      gpointer offer;

      g_hash_table_iter_init (&iter, e->offers[c]);
      while (g_hash_table_iter_next (&iter, NULL, &offer))
        ((QgFairOffer *)offer)->entry = NULL;
    }
  g_hash_table_remove (fair->entries, GUINT_TO_POINTER (entry));
}

void
qg_fair_offers_reset (QgFair *fair, guint entry)
{
  QgFairEntry *e
      = g_hash_table_lookup (fair->entries, GUINT_TO_POINTER (entry));

  if (e == NULL)
    return;
  for (int c = 0; c < QG_N_CLASSES; c++)
    {
      GList *offers = g_hash_table_get_values (e->offers[c]);

      for (GList *l = offers; l != NULL; l = l->next)
        qg_fair_offer_set (fair, l->data, 0);
      g_list_free (offers);
    }
}

void
qg_fair_offer (QgFair *fair, QgTime now, guint entry, const char *workspace,
               QgClass size_class, guint waiting)
{
  QgFairEntry *e
      = g_hash_table_lookup (fair->entries, GUINT_TO_POINTER (entry));
  QgFairWorkspace *space;

  if (e == NULL || (guint)size_class >= QG_N_CLASSES)
    return;
  if (waiting == 0 && !g_hash_table_contains (fair->spaces, workspace))
    return;
  space = qg_fair_workspace (fair, workspace);
  qg_fair_offer_set (fair, offer_of (fair, e, space, size_class), waiting);
  qg_fair_check_idle (fair, now, space);
}

void
qg_fair_remove_idle (QgFair *fair, QgTime now)
{
  guint n = fair->idle.length;

  for (; n > 0; n--)
    {
      QgFairWorkspace *space = fair->idle.head->data;

      if (now - space->idle_since < IDLE_KEEP_US)
        break;
      g_queue_unlink (&fair->idle, &space->idle);
      if (space->own == 0 && !space->dirty && !space->in_report
          && space->known_backlogged == FALSE
          && qg_fair_workspace_virt (space) <= fair->floor)
        {
          g_hash_table_remove (fair->spaces, space->name);
          continue;
        }
      space->idle_since = now;
      g_queue_push_tail_link (&fair->idle, &space->idle);
    }
}

void
qg_fair_update_heaps (QgFair *fair, QgFairWorkspace *space)
{
  gint64 virt = qg_fair_workspace_virt (space);

  for (int locality = 0; locality < QG_N_LOCALITIES; locality++)
    if (space->lists[locality][QG_CLASS_SHORT].length
            + space->lists[locality][QG_CLASS_LONG].length
        > 0)
      qg_heap_put (&fair->heaps[locality], &space->nodes[locality], virt);
    else
      qg_heap_remove (&fair->heaps[locality], &space->nodes[locality]);
}

/* Does not free an offer with pulls in flight; the end of its last pull frees
 * it. */
void
qg_fair_entry_free (gpointer data)
{
  QgFairEntry *entry = data;

  for (int c = 0; c < QG_N_CLASSES; c++)
    g_hash_table_unref (entry->offers[c]);
  g_free (entry);
}

static QgFairOffer *
offer_of (QgFair *fair, QgFairEntry *entry, QgFairWorkspace *space,
          QgClass size_class)
{
  QgFairOffer *offer = g_hash_table_lookup (entry->offers[size_class], space);

  if (offer != NULL)
    return offer;
  offer = g_new0 (QgFairOffer, 1);
  offer->entry = entry;
  offer->space = space;
  offer->size_class = size_class;
  offer->locality = entry->locality;
  offer->in_list.data = offer;
  g_hash_table_insert (entry->offers[size_class], space, offer);
  return offer;
}

void
qg_fair_offer_set (QgFair *fair, QgFairOffer *offer, guint waiting)
{
  QgFairWorkspace *space = offer->space;
  gboolean had_waiting = offer->waiting > 0;

  offer->waiting = waiting;
  if (waiting > 0 && !had_waiting && space->waiting_offers++ == 0)
    raise_to_floor (fair, space);
  if (waiting == 0 && had_waiting && --space->waiting_offers == 0)
    qg_fair_mark_changed (fair, space);
  qg_fair_offer_update_list (fair, offer);
  if (waiting == 0 && offer->pulls == 0)
    offer_free (offer);
}

/* Adds @offer to its list if it has more waiting requests than pulls in flight;
 * otherwise removes it from the list. */
void
qg_fair_offer_update_list (QgFair *fair, QgFairOffer *offer)
{
  QgFairWorkspace *space = offer->space;
  GQueue *list = &space->lists[offer->locality][offer->size_class];
  gboolean wanted = offer->waiting > offer->pulls;

  if (wanted && !offer->listed)
    {
      raise_class_to_floor (space, offer->size_class);
      g_queue_push_tail_link (list, &offer->in_list);
    }
  if (!wanted && offer->listed)
    g_queue_unlink (list, &offer->in_list);
  offer->listed = wanted;
  qg_fair_update_heaps (fair, space);
}

static void
offer_free (QgFairOffer *offer)
{
  if (offer->entry != NULL)
    g_hash_table_remove (offer->entry->offers[offer->size_class], offer->space);
  g_free (offer);
}

static void
raise_class_to_floor (QgFairWorkspace *space, QgClass size_class)
{
  if (space->lists[QG_LOCAL][size_class].length
          + space->lists[QG_REMOTE][size_class].length
      > 0)
    return;
  space->class_virt[size_class]
      = MAX (space->class_virt[size_class], space->class_floor);
}

static void
raise_to_floor (QgFair *fair, QgFairWorkspace *space)
{
  gint64 behind;

  qg_fair_mark_active (fair, space);
  qg_fair_raise_floor (fair);
  behind = fair->floor - qg_fair_workspace_virt (space);
  if (behind > 0)
    space->lift += behind;
  qg_fair_mark_changed (fair, space);
}

void
qg_fair_mark_active (QgFair *fair, QgFairWorkspace *space)
{
  if (!space->is_idle)
    return;
  space->is_idle = FALSE;
  g_queue_unlink (&fair->idle, &space->idle);
}

void
qg_fair_check_idle (QgFair *fair, QgTime now, QgFairWorkspace *space)
{
  if (space->is_idle || space->waiting_offers > 0 || space->jobs > 0)
    return;
  space->is_idle = TRUE;
  space->idle_since = now;
  g_queue_push_tail_link (&fair->idle, &space->idle);
}

void
qg_fair_raise_floor (QgFair *fair)
{
  gint64 low = G_MAXINT64;

  for (int locality = 0; locality < QG_N_LOCALITIES; locality++)
    if (fair->heaps[locality].len > 0)
      low = MIN (low, qg_heap_top (&fair->heaps[locality])->key);
  if (low != G_MAXINT64)
    fair->floor = MAX (fair->floor, low);
}

/* Picks the class (short or long) whose counter is lower and returns the first
 * offer in its list. Moves that offer to the end of the list, so that the entry
 * processes with offers for this workspace take turns. */
QgFairOffer *
qg_fair_choose_offer (QgFairWorkspace *space, QgLocality locality)
{
  GQueue *lists = space->lists[locality];
  QgClass c = QG_CLASS_SHORT;
  GList *link;

  if (lists[QG_CLASS_SHORT].length == 0
      || (lists[QG_CLASS_LONG].length > 0
          && space->class_virt[QG_CLASS_LONG]
                 < space->class_virt[QG_CLASS_SHORT]))
    c = QG_CLASS_LONG;
  if (lists[c].length == 0)
    return NULL;
  space->class_floor = MAX (space->class_floor, space->class_virt[c]);
  link = g_queue_pop_head_link (&lists[c]);
  g_queue_push_tail_link (&lists[c], link);
  return link->data;
}
