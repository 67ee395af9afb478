#include "partwatch.h"

#include "poison.h"

#include <string.h>

/** A part that was in flight at crashes and is not reported yet. */
typedef struct
{
  guint64 key;
  char *service;
  guint64 part;
  guint depth;
  gboolean whole;
  GArray *crashes; /* guint64 */
} Suspect;

/** Part of a request that ended while its target was silent. */
typedef struct
{
  QgStr *service;
  guint64 part;
  guint depth;
  gboolean whole;
  QgTime at;
} Unanswered;

struct _QgPartWatch
{
  /* Keys of completed parts, in two generations: the older one is dropped when
   * the newer one is QG_PARTWATCH_EXCUSE old. */
  GHashTable *completed[2];
  QgTime generation_began;
  GPtrArray *suspects;
  GHashTable *unanswered; /* crash to GPtrArray of Unanswered, oldest first */
  guint n_unanswered;
  QgTime swept; /* when old ones were dropped */
  QgTime due;
};

static guint64 part_key (const QgPartWatchPart *part);
static void rotate (QgPartWatch *watch, QgTime now);
static Suspect *find_or_add (QgPartWatch *watch, const QgPartWatchPart *part);
static void suspect_free (gpointer data);
static void unanswered_free (gpointer data);
static void sweep_unanswered (QgPartWatch *watch, QgTime now);
static GHashTable *key_set_new (void);
static GBytes *pack (const char *service, GPtrArray *suspects);

QgPartWatch *
qg_partwatch_new (void)
{
  QgPartWatch *watch = g_new0 (QgPartWatch, 1);

  for (guint i = 0; i < G_N_ELEMENTS (watch->completed); i++)
    watch->completed[i] = key_set_new ();
  watch->suspects = g_ptr_array_new_with_free_func (suspect_free);
  watch->unanswered = g_hash_table_new_full (
      g_int64_hash, g_int64_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  watch->due = G_MAXINT64;
  return watch;
}

void
qg_partwatch_free (QgPartWatch *watch)
{
  if (watch == NULL)
    return;
  for (guint i = 0; i < G_N_ELEMENTS (watch->completed); i++)
    g_hash_table_unref (watch->completed[i]);
  g_ptr_array_unref (watch->suspects);
  g_hash_table_unref (watch->unanswered);
  g_free (watch);
}

void
qg_partwatch_completed (QgPartWatch *watch, const QgPartWatchPart *part,
                        QgTime now)
{
  guint64 key = part_key (part);

  rotate (watch, now);
  if (g_hash_table_size (watch->completed[0]) < QG_PARTWATCH_MAX_COMPLETED)
    g_hash_table_add (watch->completed[0], g_memdup2 (&key, sizeof key));
  for (guint i = 0; i < watch->suspects->len; i++)
    if (((Suspect *)g_ptr_array_index (watch->suspects, i))->key == key)
      {
        g_ptr_array_remove_index_fast (watch->suspects, i);
        return;
      }
}

void
qg_partwatch_crashed (QgPartWatch *watch, const QgPartWatchPart *part,
                      guint64 crash, QgTime began, QgTime now)
{
  guint64 key = part_key (part);
  Suspect *suspect;

  if (now - began >= QG_PARTWATCH_SURVIVED)
    return;
  rotate (watch, now);
  for (guint i = 0; i < G_N_ELEMENTS (watch->completed); i++)
    if (g_hash_table_contains (watch->completed[i], &key))
      return;
  suspect = find_or_add (watch, part);
  if (suspect == NULL)
    return;
  for (guint i = 0; i < suspect->crashes->len; i++)
    if (g_array_index (suspect->crashes, guint64, i) == crash)
      return;
  g_array_append_val (suspect->crashes, crash);
  watch->due = MIN (watch->due, now + QG_PARTWATCH_DELAY);
}

void
qg_partwatch_unanswered (QgPartWatch *watch, const QgPartWatchPart *part,
                         guint64 crash, QgTime now)
{
  GPtrArray *list;
  Unanswered *entry;

  sweep_unanswered (watch, now);
  if (watch->n_unanswered >= QG_PARTWATCH_MAX_UNANSWERED)
    return;
  list = g_hash_table_lookup (watch->unanswered, &crash);
  if (list == NULL)
    {
      list = g_ptr_array_new_with_free_func (unanswered_free);
      g_hash_table_insert (watch->unanswered, g_memdup2 (&crash, sizeof crash),
                           list);
    }
  entry = g_new0 (Unanswered, 1);
  entry->service = qg_str_new (part->service);
  entry->part = part->part;
  entry->depth = part->depth;
  entry->whole = part->whole;
  entry->at = now;
  g_ptr_array_add (list, entry);
  watch->n_unanswered++;
}

static void
unanswered_free (gpointer data)
{
  Unanswered *entry = data;

  qg_str_unref (entry->service);
  g_free (entry);
}

static void
sweep_unanswered (QgPartWatch *watch, QgTime now)
{
  GHashTableIter iter;
  gpointer value;

  if (now - watch->swept < QG_SEC)
    return;
  watch->swept = now;
  g_hash_table_iter_init (&iter, watch->unanswered);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      GPtrArray *list = value;
      guint old = 0;

      while (old < list->len
             && now - ((Unanswered *)g_ptr_array_index (list, old))->at
                    > QG_PARTWATCH_UNANSWERED_TIME)
        old++;
      watch->n_unanswered -= old;
      if (old == list->len)
        g_hash_table_iter_remove (&iter);
      else if (old > 0)
        g_ptr_array_remove_range (list, 0, old);
    }
}

void
qg_partwatch_target_ended (QgPartWatch *watch, guint64 crash, QgTime now)
{
  const GPtrArray *list;

  sweep_unanswered (watch, now);
  list = g_hash_table_lookup (watch->unanswered, &crash);
  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      const Unanswered *entry = g_ptr_array_index (list, i);
      QgPartWatchPart part
          = { entry->service, entry->part, entry->depth, entry->whole };

      qg_partwatch_crashed (watch, &part, crash, now, now);
    }
  qg_partwatch_target_answers (watch, crash);
}

gboolean
qg_partwatch_has_unanswered (const QgPartWatch *watch)
{
  return watch->n_unanswered > 0;
}

void
qg_partwatch_target_answers (QgPartWatch *watch, guint64 crash)
{
  GPtrArray *list = g_hash_table_lookup (watch->unanswered, &crash);

  if (list == NULL)
    return;
  watch->n_unanswered -= list->len;
  g_hash_table_remove (watch->unanswered, &crash);
}

QgTime
qg_partwatch_due (const QgPartWatch *watch)
{
  return watch->due;
}

GBytes *
qg_partwatch_take (QgPartWatch *watch)
{
  GPtrArray *taken;
  GPtrArray *rest;
  const char *service;
  GBytes *packed;

  if (watch->suspects->len == 0)
    {
      watch->due = G_MAXINT64;
      return NULL;
    }
  service = ((Suspect *)g_ptr_array_index (watch->suspects, 0))->service;
  taken = g_ptr_array_new_with_free_func (suspect_free);
  rest = g_ptr_array_new_with_free_func (suspect_free);
  g_ptr_array_set_free_func (watch->suspects, NULL);
  for (guint i = 0; i < watch->suspects->len; i++)
    {
      Suspect *suspect = g_ptr_array_index (watch->suspects, i);

      g_ptr_array_add (strcmp (suspect->service, service) == 0 ? taken : rest,
                       suspect);
    }
  g_ptr_array_unref (watch->suspects);
  watch->suspects = rest;
  if (rest->len == 0)
    watch->due = G_MAXINT64;
  packed = pack (service, taken);
  g_ptr_array_unref (taken);
  return packed;
}

static guint64
part_key (const QgPartWatchPart *part)
{
  return part->part ^ ((guint64)g_str_hash (part->service) << 32);
}

static void
rotate (QgPartWatch *watch, QgTime now)
{
  if (now - watch->generation_began < QG_PARTWATCH_EXCUSE)
    return;
  g_hash_table_unref (watch->completed[1]);
  watch->completed[1] = watch->completed[0];
  watch->completed[0] = key_set_new ();
  if (now - watch->generation_began >= 2 * QG_PARTWATCH_EXCUSE)
    g_hash_table_remove_all (watch->completed[1]);
  watch->generation_began = now;
}

/* NULL if the report is full. */
static Suspect *
find_or_add (QgPartWatch *watch, const QgPartWatchPart *part)
{
  guint64 key = part_key (part);
  Suspect *suspect;

  for (guint i = 0; i < watch->suspects->len; i++)
    {
      suspect = g_ptr_array_index (watch->suspects, i);
      if (suspect->key == key)
        return suspect;
    }
  if (watch->suspects->len >= QG_PARTWATCH_MAX_PARTS)
    return NULL;
  suspect = g_new0 (Suspect, 1);
  suspect->key = key;
  suspect->service = g_strdup (part->service);
  suspect->part = part->part;
  suspect->depth = part->depth;
  suspect->whole = part->whole;
  suspect->crashes = g_array_new (FALSE, FALSE, sizeof (guint64));
  g_ptr_array_add (watch->suspects, suspect);
  return suspect;
}

static void
suspect_free (gpointer data)
{
  Suspect *suspect = data;

  g_free (suspect->service);
  g_array_unref (suspect->crashes);
  g_free (suspect);
}

static GHashTable *
key_set_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

static GBytes *
pack (const char *service, GPtrArray *suspects)
{
  Qg__PoisonParts parts = QG__POISON_PARTS__INIT;
  Qg__PoisonPart *items = g_new (Qg__PoisonPart, suspects->len);
  Qg__PoisonPart **list = g_new (Qg__PoisonPart *, suspects->len);
  guint8 (*prints)[QG_POISON_FINGERPRINT_BYTES]
      = g_malloc (suspects->len * sizeof *prints);
  guint8 *packed;
  gsize size;

  for (guint i = 0; i < suspects->len; i++)
    {
      const Suspect *suspect = g_ptr_array_index (suspects, i);

      qg_poison_part_fingerprint (service, suspect->part, prints[i]);
      qg__poison_part__init (&items[i]);
      items[i].fingerprint.data = prints[i];
      items[i].fingerprint.len = QG_POISON_FINGERPRINT_BYTES;
      items[i].depth = suspect->depth;
      items[i].whole = suspect->whole;
      items[i].n_crashes = suspect->crashes->len;
      items[i].crashes = (guint64 *)(gpointer)suspect->crashes->data;
      list[i] = &items[i];
    }
  parts.service = (char *)service;
  parts.n_parts = suspects->len;
  parts.parts = list;
  size = qg__poison_parts__get_packed_size (&parts);
  packed = g_malloc (size + 1);
  qg__poison_parts__pack (&parts, packed);
  g_free (prints);
  g_free (list);
  g_free (items);
  return g_bytes_new_take (packed, size);
}
