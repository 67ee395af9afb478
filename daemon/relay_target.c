#include "lib/event.h"
#include "librelay.h"

/* What the leader says of the targets, as targets of the dispatcher. */

static void apply_entry (QgRelay *relay, const Qg__TargetEntry *entry,
                         QgTime now);
static void set_versions (QgRelay *relay, const Qg__TargetUpdate *update);
static gboolean record_report (QgRelay *relay, const Qg__TargetEntry *entry,
                               QgTime now);

void
relay_target_update (QgRelay *relay)
{
  const Qg__TargetUpdate *update = relay->board->targets;
  QgTime now = qg_clock_now ();
  GHashTable *ids = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < update->n_entries; i++)
    {
      apply_entry (relay, update->entries[i], now);
      if (!update->entries[i]->gone)
        g_hash_table_add (ids, update->entries[i]->id);
    }
  if (update->snapshot)
    qg_dispatch_retain_targets (relay->dispatch, ids);
  set_versions (relay, update);
  g_hash_table_unref (ids);
  relay->entries = MAX (update->entries_up, 1);
  relay_version_targets_changed (relay, now);
}

static void
set_versions (QgRelay *relay, const Qg__TargetUpdate *update)
{
  g_autofree const char **services = g_new (const char *, update->n_versions);
  g_autofree const char **versions = g_new (const char *, update->n_versions);

  for (size_t i = 0; i < update->n_versions; i++)
    {
      services[i] = update->versions[i]->service;
      versions[i] = update->versions[i]->version;
    }
  qg_dispatch_set_versions (relay->dispatch, services, versions,
                            (guint)update->n_versions);
}

/* Records a report, and that an earlier incarnation of its target has ended.
 * FALSE if it is older than the last report on the same target: a new leader
 * knows targets only from their heartbeats, and may receive a late heartbeat
 * from a target that has already left, so reports of an earlier leader still
 * count. */
static gboolean
record_report (QgRelay *relay, const Qg__TargetEntry *entry, QgTime now)
{
  RelayTargetState *state
      = g_hash_table_lookup (relay->target_states, entry->id);

  if (state != NULL && entry->born_ms == state->born_ms && !entry->left
      && (state->left || entry->sequence < state->sequence))
    return FALSE;
  if (state != NULL && entry->born_ms < state->born_ms)
    return FALSE;
  if (state != NULL && entry->born_ms > state->born_ms && !state->left)
    relay_poison_target_ended (relay, entry->id, state->born_ms, now);
  if (state == NULL)
    {
      if (g_hash_table_size (relay->target_states) >= RELAY_INCARNATIONS_MAX)
        g_hash_table_remove_all (relay->target_states);
      state = g_new0 (RelayTargetState, 1);
      g_hash_table_insert (relay->target_states, g_strdup (entry->id), state);
    }
  state->born_ms = entry->born_ms;
  state->sequence = entry->sequence;
  state->left = entry->left;
  return TRUE;
}

static void
apply_entry (QgRelay *relay, const Qg__TargetEntry *entry, QgTime now)
{
  QgDispatchTargetInfo info = { 0 };

  if (!record_report (relay, entry, now))
    return;
  if (entry->gone && !entry->left)
    relay_poison_target_ended (relay, entry->id, entry->born_ms, now);
  qg_event (entry->gone ? QG_EV_TARGET_GONE : QG_EV_TARGET_SEEN,
            "target=%s service=%s version=%s draining=%d"
            " cold_ms=%" G_GINT64_FORMAT,
            entry->id, entry->service, entry->version, entry->draining,
            entry->cold_us / QG_MSEC);
  if (entry->gone)
    {
      qg_dispatch_remove_target (relay->dispatch, entry->id);
      return;
    }
  info.id = entry->id;
  info.address = entry->address;
  info.service = entry->service;
  info.dc = entry->dc;
  info.region = relay_region (relay, entry->dc);
  info.version = entry->version;
  info.slots = entry->slots;
  info.draining = entry->draining;
  info.cold_until = now + entry->cold_us;
  info.born_ms = entry->born_ms;
  qg_dispatch_update_target (relay->dispatch, &info, now);
}
