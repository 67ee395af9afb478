#include "registry.h"

#include "event.h"
#include "version_log.h"

#include <string.h>

/* Smaller changes of the end of the cold phase are ignored, because the delay
 * of heartbeats varies. The value is several network delays of 8 ms. */
#define COLD_TOLERANCE (100 * QG_MSEC)

/* Heartbeats of a target that contradict a claim to its address. One or two
 * may have been delayed until after the end of the target. */
#define BEATS_THAT_CONTRADICT 3

struct _QgRegistry
{
  QgRegistryOptions options;
  GHashTable *targets; /* id to QgTarget */
  /* Service and version that targets no longer have, as they have restarted
   * with another, to the QgTime when the last of them was heard of. */
  GHashTable *past_versions;
  guint64 version;
};

static void target_free (gpointer data);
static QgTarget *add_target (QgRegistry *registry, const char *id);
static void mark_changed (QgRegistry *registry, QgTarget *target);
static gboolean is_late (const QgTarget *target, const QgHeartbeat *heartbeat);
static gboolean differs (const QgTarget *target, const QgHeartbeat *heartbeat,
                         QgTime now);
static void apply_heartbeat (QgTarget *target, const QgHeartbeat *heartbeat,
                             QgTime now);
static gboolean claim_address (QgRegistry *registry,
                               const QgHeartbeat *heartbeat, QgTime now);
static gboolean has_version (const QgTarget *target, const char *service,
                             const char *version);
static void keep_version (QgRegistry *registry, const QgTarget *target);
static gboolean keeps_address (const QgRegistry *registry, QgTarget *target,
                               const QgHeartbeat *claim, QgTime now);

QgRegistry *
qg_registry_new (const QgRegistryOptions *options)
{
  QgRegistry *registry = g_new0 (QgRegistry, 1);

  registry->options = *options;
  registry->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, target_free);
  registry->past_versions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return registry;
}

void
qg_registry_free (QgRegistry *registry)
{
  g_hash_table_unref (registry->targets);
  g_hash_table_unref (registry->past_versions);
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
  g_free (target->version);
  g_free (target->claimant);
  g_free (target);
}

gboolean
qg_registry_heartbeat (QgRegistry *registry, const QgHeartbeat *heartbeat,
                       QgTime now)
{
  QgTarget *target = g_hash_table_lookup (registry->targets, heartbeat->id);
  gboolean changed;

  if (target != NULL && is_late (target, heartbeat))
    return FALSE;
  if (!claim_address (registry, heartbeat, now))
    return FALSE;
  if (target == NULL)
    {
      target = add_target (registry, heartbeat->id);
      changed = TRUE;
    }
  else
    changed = differs (target, heartbeat, now);
  if (!has_version (target, heartbeat->service, heartbeat->version))
    keep_version (registry, target);
  apply_heartbeat (target, heartbeat, now);
  if (changed)
    mark_changed (registry, target);
  return changed;
}

static QgTarget *
add_target (QgRegistry *registry, const char *id)
{
  QgTarget *target = g_new0 (QgTarget, 1);

  target->id = g_strdup (id);
  target->service = g_strdup ("");
  target->address = g_strdup ("");
  target->dc = g_strdup ("");
  target->version = g_strdup ("");
  g_hash_table_insert (registry->targets, target->id, target);
  return target;
}

static gboolean
is_late (const QgTarget *target, const QgHeartbeat *heartbeat)
{
  if (heartbeat->born_ms != target->born_ms)
    return heartbeat->born_ms < target->born_ms;
  return target->left || heartbeat->sequence <= target->sequence;
}

/* Marks other targets at the address of @a heartbeat as gone if they started
 * no later than its sender: of two targets with the same address, the target
 * started first has ended. Returns FALSE if a target at this address started
 * later than the sender, or if its own heartbeats go on. */
static gboolean
claim_address (QgRegistry *registry, const QgHeartbeat *heartbeat, QgTime now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, registry->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QgTarget *other = value;

      if (other->gone || strcmp (other->id, heartbeat->id) == 0
          || strcmp (other->address, heartbeat->address) != 0)
        continue;
      if (other->born_ms > heartbeat->born_ms
          || keeps_address (registry, other, heartbeat, now))
        return FALSE;
      other->gone = TRUE;
      mark_changed (registry, other);
    }
  return TRUE;
}

/* Whether @a target keeps its address although another id claims it: until its
 * next heartbeat is half an interval late, or, if it sent several since the
 * claim was first made, until it times out. Claims of several ids that follow
 * each other are one claim, because a writer may use a new id each time. */
static gboolean
keeps_address (const QgRegistry *registry, QgTarget *target,
               const QgHeartbeat *claim, QgTime now)
{
  QgTime overdue = registry->options.interval * 3 / 2;

  if (target->claimant == NULL
      || (strcmp (target->claimant, claim->id) != 0
          && now - target->claimed_at >= registry->options.timeout))
    {
      if (now - target->last_seen < overdue)
        qg_event (QG_EV_TARGET_CLAIMED,
                  "target=%s address=%s claimed_by=%s: the heartbeats of the "
                  "target go on",
                  target->id, target->address, claim->id);
      g_free (target->claimant);
      target->claimant = g_strdup (claim->id);
      target->n_beats_since_claim = 0;
    }
  target->claimed_at = now;
  if (target->n_beats_since_claim >= BEATS_THAT_CONTRADICT)
    overdue = MAX (overdue, registry->options.timeout);
  return now - target->last_seen < overdue;
}

static gboolean
differs (const QgTarget *target, const QgHeartbeat *heartbeat, QgTime now)
{
  QgTime remaining = MAX (target->cold_until - now, 0);

  return target->gone || target->born_ms != heartbeat->born_ms
         || target->draining != heartbeat->draining
         || target->slots != heartbeat->slots
         || strcmp (target->service, heartbeat->service) != 0
         || strcmp (target->address, heartbeat->address) != 0
         || strcmp (target->dc, heartbeat->dc) != 0
         || strcmp (target->version, heartbeat->version) != 0
         || ABS (remaining - heartbeat->cold_remaining) > COLD_TOLERANCE;
}

static void
apply_heartbeat (QgTarget *target, const QgHeartbeat *heartbeat, QgTime now)
{
  if (target->born_ms != heartbeat->born_ms
      || strcmp (target->address, heartbeat->address) != 0)
    g_clear_pointer (&target->claimant, g_free);
  target->n_beats_since_claim++;
  if (heartbeat->draining
      && (!target->draining || target->born_ms != heartbeat->born_ms))
    target->drains_since = heartbeat->sequence;
  target->leave_saved = target->leave_saved && heartbeat->draining
                        && target->born_ms == heartbeat->born_ms;
  g_free (target->service);
  g_free (target->address);
  g_free (target->dc);
  g_free (target->version);
  target->service = g_strdup (heartbeat->service);
  target->address = g_strdup (heartbeat->address);
  target->dc = g_strdup (heartbeat->dc);
  target->version = g_strdup (heartbeat->version);
  target->slots = heartbeat->slots;
  target->draining = heartbeat->draining;
  target->cold_until = now + heartbeat->cold_remaining;
  target->born_ms = heartbeat->born_ms;
  target->sequence = heartbeat->sequence;
  target->last_seen = now;
  target->gone = FALSE;
  target->left = FALSE;
}

static void
mark_changed (QgRegistry *registry, QgTarget *target)
{
  target->changed_version = ++registry->version;
}

const QgTarget *
qg_registry_find (const QgRegistry *registry, const char *id)
{
  return g_hash_table_lookup (registry->targets, id);
}

gboolean
qg_registry_deregister (QgRegistry *registry, const char *id, guint64 born_ms,
                        QgTime now)
{
  QgTarget *target = g_hash_table_lookup (registry->targets, id);

  if (target == NULL)
    target = add_target (registry, id);
  else if ((born_ms != 0 && born_ms < target->born_ms)
           || (target->left && born_ms <= target->born_ms))
    return FALSE;
  if (born_ms > target->born_ms)
    {
      target->born_ms = born_ms;
      target->sequence = 0;
    }
  target->gone = TRUE;
  target->left = TRUE;
  target->leave_saved = FALSE;
  target->last_seen = now;
  mark_changed (registry, target);
  return TRUE;
}

const QgTarget *
qg_registry_unsaved_leave (const QgRegistry *registry, const char *id)
{
  const QgTarget *target = g_hash_table_lookup (registry->targets, id);

  return target != NULL && !target->leave_saved
                 && (target->left || (target->draining && !target->gone))
             ? target
             : NULL;
}

void
qg_registry_leave_saved (QgRegistry *registry, const char *id, guint64 born_ms,
                         guint64 sequence, gboolean gone)
{
  QgTarget *target = g_hash_table_lookup (registry->targets, id);

  if (target == NULL || target->born_ms != born_ms)
    return;
  if (target->left ? gone
                   : target->draining && sequence >= target->drains_since)
    target->leave_saved = TRUE;
}

void
qg_registry_restore_leave (QgRegistry *registry, const QgHeartbeat *last,
                           gboolean gone, QgTime now)
{
  QgTarget *target = add_target (registry, last->id);

  apply_heartbeat (target, last, now);
  target->gone = gone;
  target->left = gone;
  target->leave_saved = TRUE;
  mark_changed (registry, target);
}

gboolean
qg_registry_expire (QgRegistry *registry, QgTime now)
{
  GHashTableIter iter;
  gpointer value;
  gboolean changed = FALSE;

  g_hash_table_iter_init (&iter, registry->past_versions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now - *(const QgTime *)value > registry->options.retention)
      g_hash_table_iter_remove (&iter);
  g_hash_table_iter_init (&iter, registry->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QgTarget *target = value;
      QgTime silence = now - target->last_seen;

      if (target->gone && silence > registry->options.retention)
        g_hash_table_iter_remove (&iter);
      else if (!target->gone && silence > registry->options.timeout)
        {
          target->gone = TRUE;
          mark_changed (registry, target);
          changed = TRUE;
        }
    }
  return changed;
}

static gboolean
has_version (const QgTarget *target, const char *service, const char *version)
{
  return strcmp (target->service, service) == 0
         && strcmp (target->version, version) == 0;
}

static void
keep_version (QgRegistry *registry, const QgTarget *target)
{
  char *key = qg_version_key (target->service, target->version);
  const QgTime *seen = g_hash_table_lookup (registry->past_versions, key);
  QgTime last_seen = MAX (target->last_seen, seen != NULL ? *seen : 0);

  g_hash_table_replace (registry->past_versions, key,
                        g_memdup2 (&last_seen, sizeof last_seen));
}

void
qg_registry_touch_version (QgRegistry *registry, const char *service,
                           const char *version)
{
  GHashTableIter iter;
  gpointer target;

  registry->version++;
  g_hash_table_iter_init (&iter, registry->targets);
  while (g_hash_table_iter_next (&iter, NULL, &target))
    if (has_version (target, service, version))
      mark_changed (registry, target);
}

QgTime
qg_registry_version_seen (const QgRegistry *registry, const char *service,
                          const char *version)
{
  g_autofree char *key = qg_version_key (service, version);
  const QgTime *past = g_hash_table_lookup (registry->past_versions, key);
  GHashTableIter iter;
  gpointer target;
  QgTime seen = past != NULL ? *past : 0;

  g_hash_table_iter_init (&iter, registry->targets);
  while (g_hash_table_iter_next (&iter, NULL, &target))
    if (has_version (target, service, version))
      seen = MAX (seen, ((const QgTarget *)target)->last_seen);
  return seen;
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
    if (((QgTarget *)value)->changed_version > since)
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
