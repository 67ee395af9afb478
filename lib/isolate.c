#include "isolate.h"

#include "event.h"

#include <string.h>

typedef struct
{
  guint64 id;
  guint8 fingerprint[QG_POISON_BYTES];
  QgPoisonLevel level;
  gboolean exposed; /* was in flight when the first connection broke */
} Item;

struct _QgIsolate
{
  int refs;
  GHashTable *running; /* id to Item */
  guint suspects;      /* in flight */
  gboolean alone;      /* an ALONE one is in flight */
  Item *held;
  gboolean finished; /* the target finished work since its start */
  GPtrArray *broken; /* fingerprints of broken connections, as GBytes */
  QgTime broke_at;   /* when the first of them broke */
  guint left;        /* exposed ones that are still in flight */
  gboolean survived; /* an exposed one ended in another way */
};

static void start (QgIsolate *isolate, Item *item);
static void expose (QgIsolate *isolate, QgTime now);
static void take_out (QgIsolate *isolate, Item *item);
static gboolean start_held (QgIsolate *isolate, guint64 *next);
static GPtrArray *new_prints (void);

QgIsolate *
qg_isolate_new (void)
{
  QgIsolate *isolate = g_new0 (QgIsolate, 1);

  isolate->refs = 1;
  isolate->running
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  isolate->broken = new_prints ();
  return isolate;
}

QgIsolate *
qg_isolate_ref (QgIsolate *isolate)
{
  isolate->refs++;
  return isolate;
}

void
qg_isolate_unref (QgIsolate *isolate)
{
  if (isolate == NULL || --isolate->refs > 0)
    return;
  g_hash_table_unref (isolate->running);
  g_ptr_array_unref (isolate->broken);
  g_free (isolate->held);
  g_free (isolate);
}

QgIsolateVerdict
qg_isolate_offer (QgIsolate *isolate, guint64 id, const guint8 *fingerprint,
                  QgPoisonLevel level)
{
  gboolean suspect = level != QG_POISON_CLEAR;
  Item *item;

  if (!qg_isolate_may_pull (isolate) || (suspect && isolate->suspects > 0)
      || g_hash_table_contains (isolate->running, &id))
    return QG_ISOLATE_BOUNCE;
  item = g_new0 (Item, 1);
  item->id = id;
  item->level = level;
  memcpy (item->fingerprint, fingerprint, QG_POISON_BYTES);
  if (level >= QG_POISON_ALONE && qg_isolate_running (isolate) > 0)
    {
      isolate->held = item;
      return QG_ISOLATE_HOLD;
    }
  start (isolate, item);
  return QG_ISOLATE_RUN;
}

gboolean
qg_isolate_end (QgIsolate *isolate, guint64 id, gboolean whole, guint64 *next)
{
  Item *item = g_hash_table_lookup (isolate->running, &id);

  if (item == NULL)
    {
      if (isolate->held != NULL && isolate->held->id == id)
        g_clear_pointer (&isolate->held, g_free);
      return FALSE;
    }
  isolate->finished = isolate->finished || whole;
  isolate->survived = isolate->survived || item->exposed;
  take_out (isolate, item);
  return start_held (isolate, next);
}

gboolean
qg_isolate_broke (QgIsolate *isolate, guint64 id, QgTime now, guint64 *next)
{
  Item *item = g_hash_table_lookup (isolate->running, &id);

  if (item == NULL)
    return FALSE;
  if (isolate->broken->len == 0)
    expose (isolate, now);
  if (item->exposed)
    g_ptr_array_add (isolate->broken,
                     g_bytes_new (item->fingerprint, QG_POISON_BYTES));
  take_out (isolate, item);
  return start_held (isolate, next);
}

gboolean
qg_isolate_may_pull (const QgIsolate *isolate)
{
  return !isolate->alone && isolate->held == NULL;
}

guint
qg_isolate_running (const QgIsolate *isolate)
{
  return g_hash_table_size (isolate->running);
}

gboolean
qg_isolate_crashed (QgIsolate *isolate, QgTime now, QgIsolateCrash *crash)
{
  GPtrArray *broken = isolate->broken;

  if (broken->len == 0 || now - isolate->broke_at < QG_ISOLATE_GATHER)
    return FALSE;
  isolate->broken = new_prints ();
  if (isolate->survived || isolate->left > 0)
    {
      g_ptr_array_unref (broken);
      return FALSE;
    }
  crash->fingerprints = broken;
  crash->sound = isolate->finished;
  isolate->finished = FALSE;
  return TRUE;
}

/* The first connection broke: what is in flight may share its fate. */
static void
expose (QgIsolate *isolate, QgTime now)
{
  GHashTableIter iter;
  gpointer value;

  isolate->broke_at = now;
  isolate->survived = FALSE;
  isolate->left = qg_isolate_running (isolate);
  g_hash_table_iter_init (&iter, isolate->running);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Item *)value)->exposed = TRUE;
}

static void
take_out (QgIsolate *isolate, Item *item)
{
  isolate->left -= item->exposed && isolate->left > 0 ? 1 : 0;
  isolate->suspects -= item->level != QG_POISON_CLEAR ? 1 : 0;
  isolate->alone = isolate->alone && item->level < QG_POISON_ALONE;
  g_hash_table_remove (isolate->running, &item->id);
}

static gboolean
start_held (QgIsolate *isolate, guint64 *next)
{
  Item *item = isolate->held;

  if (item == NULL || qg_isolate_running (isolate) > 0)
    return FALSE;
  isolate->held = NULL;
  *next = item->id;
  start (isolate, item);
  return TRUE;
}

static GPtrArray *
new_prints (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
}

static void
start (QgIsolate *isolate, Item *item)
{
  if (!qg_holds (item->level < QG_POISON_ALONE
                     || qg_isolate_running (isolate) == 0,
                 QG_EV_INV_ISOLATE, "a suspect would run beside %u requests",
                 qg_isolate_running (isolate)))
    {
      g_free (item);
      return;
    }
  isolate->suspects += item->level != QG_POISON_CLEAR ? 1 : 0;
  isolate->alone = item->level >= QG_POISON_ALONE;
  g_hash_table_insert (isolate->running, &item->id, item);
}
