#include "registry.h"

#include <string.h>

/* Smaller changes of the end of the cold phase are ignored, as the delay of
 * heartbeats varies. Several network delays of 8 ms. */
#define COLD_TOLERANCE (100 * QG_MSEC)

struct _QgRegistry
{
  QgRegistryOptions options;
  GHashTable *targets; /* id to QgTarget */
  guint64 version;
};

static void target_free (gpointer data);
static void mark_changed (QgRegistry *registry, QgTarget *target);
static gboolean is_late (const QgTarget *target, const QgHeartbeat *beat);
static gboolean differs (const QgTarget *target, const QgHeartbeat *beat,
                         QgTime now);
static void apply_heartbeat (QgTarget *target, const QgHeartbeat *beat,
                             QgTime now);
static gboolean claim_address (QgRegistry *registry, const QgHeartbeat *beat);

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
qg_registry_heartbeat (QgRegistry *registry, const QgHeartbeat *beat,
                       QgTime now)
{
  QgTarget *target = g_hash_table_lookup (registry->targets, beat->id);
  gboolean changed;

  if (target != NULL && is_late (target, beat))
    return FALSE;
  if (!claim_address (registry, beat))
    return FALSE;
  if (target == NULL)
    {
      target = g_new0 (QgTarget, 1);
      target->id = g_strdup (beat->id);
      g_hash_table_insert (registry->targets, target->id, target);
      changed = TRUE;
    }
  else
    changed = differs (target, beat, now);
  apply_heartbeat (target, beat, now);
  if (changed)
    mark_changed (registry, target);
  return changed;
}

static gboolean
is_late (const QgTarget *target, const QgHeartbeat *beat)
{
  if (beat->born_ms != target->born_ms)
    return beat->born_ms < target->born_ms;
  return target->left || beat->sequence <= target->sequence;
}

/* Of two targets with the same address, the one started first has ended. FALSE
 * if that is the sender of @a beat. */
static gboolean
claim_address (QgRegistry *registry, const QgHeartbeat *beat)
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
      mark_changed (registry, other);
    }
  return TRUE;
}

static gboolean
differs (const QgTarget *target, const QgHeartbeat *beat, QgTime now)
{
  QgTime remaining = MAX (target->cold_until - now, 0);

  return target->gone || target->born_ms != beat->born_ms
         || target->draining != beat->draining || target->slots != beat->slots
         || strcmp (target->service, beat->service) != 0
         || strcmp (target->address, beat->address) != 0
         || strcmp (target->dc, beat->dc) != 0
         || ABS (remaining - beat->cold) > COLD_TOLERANCE;
}

static void
apply_heartbeat (QgTarget *target, const QgHeartbeat *beat, QgTime now)
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
mark_changed (QgRegistry *registry, QgTarget *target)
{
  target->changed = ++registry->version;
}

gboolean
qg_registry_deregister (QgRegistry *registry, const char *id, guint64 born_ms,
                        QgTime now)
{
  QgTarget *target = g_hash_table_lookup (registry->targets, id);

  if (target == NULL || target->gone
      || (born_ms != 0 && born_ms < target->born_ms))
    return FALSE;
  target->gone = TRUE;
  target->left = TRUE;
  target->heard = now;
  mark_changed (registry, target);
  return TRUE;
}

gboolean
qg_registry_expire (QgRegistry *registry, QgTime now)
{
  GHashTableIter iter;
  gpointer value;
  gboolean changed = FALSE;

  g_hash_table_iter_init (&iter, registry->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QgTarget *target = value;
      QgTime silence = now - target->heard;

      if (target->gone && silence > registry->options.keep)
        g_hash_table_iter_remove (&iter);
      else if (!target->gone && silence > registry->options.silence)
        {
          target->gone = TRUE;
          mark_changed (registry, target);
          changed = TRUE;
        }
    }
  return changed;
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
