#include "registry.h"

#include <string.h>

/* A heartbeat that moves the end of the cold phase by less than this changes
 * nothing: it travelled for some time. Several link delays of 8 ms. */
#define COLD_SLACK (100 * QG_MSEC)

struct _QgRegistry
{
  QgRegistryOptions options;
  GHashTable *targets; /* id to QgTarget */
  guint64 version;
};

static void target_free (gpointer data);
static void mark (QgRegistry *registry, QgTarget *target);
static gboolean is_late (const QgTarget *target, const QgHeartbeat *beat);
static gboolean differs (const QgTarget *target, const QgHeartbeat *beat,
                         QgTime now);
static void take (QgTarget *target, const QgHeartbeat *beat, QgTime now);
static gboolean yields_address (QgRegistry *registry, const QgHeartbeat *beat);

QgRegistry *
qg_registry_new (const QgRegistryOptions *options)
{
  QgRegistry *registry = g_new0 (QgRegistry, 1);

  registry->options = *options;
  registry->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, target_free);
  return registry;
}

void
qg_registry_free (QgRegistry *registry)
{
  g_hash_table_unref (registry->targets);
  g_free (registry);
}

static void
target_free (gpointer data)
{
  QgTarget *target = data;

  g_free (target->id);
  g_free (target->service);
  g_free (target->address);
  g_free (target->dc);
  g_free (target);
}

gboolean
qg_registry_beat (QgRegistry *registry, const QgHeartbeat *beat, QgTime now)
{
  QgTarget *target = g_hash_table_lookup (registry->targets, beat->id);
  gboolean news;

  if (target != NULL && is_late (target, beat))
    return FALSE;
  if (!yields_address (registry, beat))
    return FALSE;
  if (target == NULL)
    {
      target = g_new0 (QgTarget, 1);
      target->id = g_strdup (beat->id);
      g_hash_table_insert (registry->targets, target->id, target);
      news = TRUE;
    }
  else
    news = differs (target, beat, now);
  take (target, beat, now);
  if (news)
    mark (registry, target);
  return news;
}

static gboolean
is_late (const QgTarget *target, const QgHeartbeat *beat)
{
  if (beat->born_ms != target->born_ms)
    return beat->born_ms < target->born_ms;
  return target->left || beat->sequence <= target->sequence;
}

/* Of two targets at one address the younger is there; the other has ended. */
static gboolean
yields_address (QgRegistry *registry, const QgHeartbeat *beat)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, registry->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QgTarget *other = value;

      if (other->gone || strcmp (other->id, beat->id) == 0
          || strcmp (other->address, beat->address) != 0)
        continue;
      if (other->born_ms > beat->born_ms)
        return FALSE;
      other->gone = TRUE;
      mark (registry, other);
    }
  return TRUE;
}

static gboolean
differs (const QgTarget *target, const QgHeartbeat *beat, QgTime now)
{
  QgTime before = MAX (target->cold_until - now, 0);

  return target->gone || target->born_ms != beat->born_ms
         || target->draining != beat->draining || target->slots != beat->slots
         || strcmp (target->service, beat->service) != 0
         || strcmp (target->address, beat->address) != 0
         || strcmp (target->dc, beat->dc) != 0
         || ABS (before - beat->cold) > COLD_SLACK;
}

static void
take (QgTarget *target, const QgHeartbeat *beat, QgTime now)
{
  g_free (target->service);
  g_free (target->address);
  g_free (target->dc);
  target->service = g_strdup (beat->service);
  target->address = g_strdup (beat->address);
  target->dc = g_strdup (beat->dc);
  target->slots = beat->slots;
  target->draining = beat->draining;
  target->cold_until = now + beat->cold;
  target->born_ms = beat->born_ms;
  target->sequence = beat->sequence;
  target->heard = now;
  target->gone = FALSE;
  target->left = FALSE;
}

static void
mark (QgRegistry *registry, QgTarget *target)
{
  target->changed = ++registry->version;
}

gboolean
qg_registry_leave (QgRegistry *registry, const char *id, guint64 born_ms,
                   QgTime now)
{
  QgTarget *target = g_hash_table_lookup (registry->targets, id);

  if (target == NULL || target->gone
      || (born_ms != 0 && born_ms < target->born_ms))
    return FALSE;
  target->gone = TRUE;
  target->left = TRUE;
  target->heard = now;
  mark (registry, target);
  return TRUE;
}

gboolean
qg_registry_expire (QgRegistry *registry, QgTime now)
{
  GHashTableIter iter;
  gpointer value;
  gboolean news = FALSE;

  g_hash_table_iter_init (&iter, registry->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QgTarget *target = value;
      QgTime silent = now - target->heard;

      if (target->gone && silent > registry->options.keep)
        g_hash_table_iter_remove (&iter);
      else if (!target->gone && silent > registry->options.silence)
        {
          target->gone = TRUE;
          mark (registry, target);
          news = TRUE;
        }
    }
  return news;
}

guint64
qg_registry_version (const QgRegistry *registry)
{
  return registry->version;
}

void
qg_registry_each (const QgRegistry *registry, guint64 since,
                  void (*visit) (const QgTarget *target, gpointer user),
                  gpointer user)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, registry->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((QgTarget *)value)->changed > since)
      visit (value, user);
}

guint
qg_registry_count (const QgRegistry *registry)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  g_hash_table_iter_init (&iter, registry->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += ((QgTarget *)value)->gone ? 0 : 1;
  return n;
}
