#include "libentry.h"

enum
{
  /* Minimum time between two sends of offers. A request after a quiet period is
   * offered at once. Under load, most changes within the interval cancel each
   * other out. */
  OFFER_INTERVAL_MS = 50,
};

static gboolean on_offers (gpointer user);
static void flush_offers (QgEntry *entry);
static void add_offer (gpointer user, const QgQueueOffer *offer);
static gboolean send_offers (gpointer service, gpointer items, gpointer user);
static void offer_item_free (gpointer data);

void
qg_entry_schedule_offers (QgEntry *entry)
{
  QgTime wait
      = entry->last_offer_at + OFFER_INTERVAL_MS * QG_MSEC - qg_clock_now ();

  if (entry->offer_timer == 0)
    entry->offer_timer = g_timeout_add (
        wait > 0 ? (guint)(wait / QG_MSEC) + 1 : 0, on_offers, entry);
}

void
qg_entry_send_snapshot (QgEntry *entry, QgEntryAgent *agent)
{
  Qg__Offer offer = QG__OFFER__INIT;
  GPtrArray *items;

  flush_offers (entry);
  qg_queue_each_offer (entry->queue, agent->service, add_offer, entry);
  items = g_hash_table_lookup (entry->offers, agent->service);
  offer.snapshot = TRUE;
  if (items != NULL)
    {
      offer.items = (Qg__OfferItem **)items->pdata;
      offer.n_items = items->len;
    }
  QG_SEND (agent->peer, OFFER, offer, &offer);
  g_hash_table_remove_all (entry->offers);
}

static gboolean
on_offers (gpointer user)
{
  QgEntry *entry = user;

  entry->offer_timer = 0;
  entry->last_offer_at = qg_clock_now ();
  flush_offers (entry);
  return G_SOURCE_REMOVE;
}

static void
flush_offers (QgEntry *entry)
{
  QgQueueOffer offer;

  while (qg_queue_next_offer (entry->queue, &offer))
    add_offer (entry, &offer);
  g_hash_table_foreach_remove (entry->offers, send_offers, entry);
}

/* Adds a change to the unsent offers of its service. */
static void
add_offer (gpointer user, const QgQueueOffer *offer)
{
  QgEntry *entry = user;
  GPtrArray *items = g_hash_table_lookup (entry->offers, offer->service);
  Qg__OfferItem *item = g_new (Qg__OfferItem, 1);

  if (items == NULL)
    {
      items = g_ptr_array_new_with_free_func (offer_item_free);
      g_hash_table_insert (entry->offers, g_strdup (offer->service), items);
    }
  qg__offer_item__init (item);
  item->workspace = g_strdup (offer->workspace);
  item->size_class = offer->size_class;
  item->waiting = offer->waiting;
  g_ptr_array_add (items, item);
}

static gboolean
send_offers (gpointer service, gpointer items, gpointer user)
{
  QgEntry *entry = user;
  Qg__Offer offer = QG__OFFER__INIT;
  GHashTableIter iter;
  gpointer value;

  offer.items = (Qg__OfferItem **)((GPtrArray *)items)->pdata;
  offer.n_items = ((GPtrArray *)items)->len;
  g_hash_table_iter_init (&iter, entry->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QgEntryAgent *agent = value;

      if (g_str_equal (agent->service, service))
        QG_SEND (agent->peer, OFFER, offer, &offer);
    }
  return TRUE;
}

static void
offer_item_free (gpointer data)
{
  qg__offer_item__free_unpacked (data, NULL);
}
