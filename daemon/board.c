#include "board.h"

#include "clock.h"
#include "lib/event.h"

static QgDelta *update_to_delta (const Qg__DocUpdate *update);
static void report_invalid_update (const Qg__DocUpdate *update,
                                   const QgProblems *problems);
static void apply_entry (QgBoard *board, const Qg__DirEntry *entry);
static Qg__DirEntry *copy_entry (const Qg__DirEntry *entry);
static void entry_free (gpointer data);
static gboolean read_manifest_text (QgBoard *board,
                                    const Qg__ManifestUpdate *update);
static void notify (QgBoard *board, guint changes);

QgBoard *
qg_board_new (QgSettings *settings, QgBoardChanged changed, gpointer user)
{
  QgBoard *board = g_new0 (QgBoard, 1);

  board->settings = qg_settings_ref (settings);
  board->doc = qg_doc_new ();
  board->directory
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  board->suspects = g_hash_table_new_full (g_bytes_hash, g_bytes_equal,
                                           (GDestroyNotify)g_bytes_unref, NULL);
  board->changed = changed;
  board->changed_user = user;
  return board;
}

void
qg_board_free (QgBoard *board)
{
  qg_doc_unref (board->doc);
  qg_manifest_unref (board->manifest);
  g_strfreev (board->drained_dcs);
  qg_settings_unref (board->settings);
  g_hash_table_unref (board->directory);
  g_hash_table_unref (board->suspects);
  g_free (board);
}

gboolean
qg_board_apply_update (QgBoard *board, const Qg__DocUpdate *update)
{
  QgProblems problems;
  QgDelta *delta;
  QgDoc *doc;

  if (update->revision <= board->revision)
    return TRUE;
  if (update->from != 0 && update->from != board->revision)
    return FALSE;
  qg_problems_init (&problems, "update");
  delta = update_to_delta (update);
  doc = qg_doc_update (board->doc, delta, &problems);
  qg_delta_unref (delta);
  if (doc == NULL)
    report_invalid_update (update, &problems);
  qg_problems_clear (&problems);
  if (doc == NULL)
    return FALSE;
  board->doc = doc;
  board->revision = update->revision;
  notify (board, QG_BOARD_DOC);
  return TRUE;
}

void
qg_board_apply_directory (QgBoard *board, const Qg__Directory *directory)
{
  if (directory->snapshot)
    g_hash_table_remove_all (board->directory);
  for (size_t i = 0; i < directory->n_entries; i++)
    apply_entry (board, directory->entries[i]);
  board->directory_version = directory->version;
  board->directory_is_whole = board->directory_is_whole || directory->snapshot;
  notify (board, QG_BOARD_DIRECTORY);
}

gboolean
qg_board_apply_manifest (QgBoard *board, const Qg__ManifestUpdate *update)
{
  if (update->change <= board->manifest_change || board->read_manifest == NULL)
    return TRUE;
  if (update->version > 0
      && (board->manifest == NULL
          || update->version > board->manifest->version))
    {
      if (!update->has_text || !read_manifest_text (board, update))
        return FALSE;
    }
  board->manifest_change = update->change;
  board->manifest_previous = update->previous;
  board->manifest_accepted_at = qg_clock_now () - update->age_us;
  g_strfreev (board->drained_dcs);
  board->drained_dcs = g_new0 (char *, update->n_drained + 1);
  for (size_t i = 0; i < update->n_drained; i++)
    board->drained_dcs[i] = g_strdup (update->drained[i]);
  notify (board, QG_BOARD_MANIFEST);
  return TRUE;
}

static gboolean
read_manifest_text (QgBoard *board, const Qg__ManifestUpdate *update)
{
  g_autoptr (GBytes) text = g_bytes_new (update->text.data, update->text.len);
  QgErr err;
  QgManifest *manifest = board->read_manifest (text, &err);

  if (manifest == NULL)
    {
      qg_event (QG_EV_DOC_UNREADABLE, "manifest %" G_GUINT64_FORMAT ": %s",
                update->version, err.message);
      return FALSE;
    }
  qg_manifest_unref (board->manifest);
  board->manifest = manifest;
  qg_event (QG_EV_MANIFEST,
            "version=%" G_GUINT64_FORMAT " change=%" G_GUINT64_FORMAT
            " routes=%u workspaces=%u units_per_s=%.0f",
            update->version, update->change, manifest->routes->len,
            manifest->workspaces->len, manifest->limits.units_per_s);
  return TRUE;
}

void
qg_board_apply_targets (QgBoard *board, const Qg__TargetUpdate *update)
{
  board->targets = update;
  board->targets_version = update->version;
  notify (board, QG_BOARD_TARGETS);
  board->targets = NULL;
}

void
qg_board_apply_quarantine (QgBoard *board, const Qg__Quarantine *quarantine)
{
  if (quarantine->snapshot)
    g_hash_table_remove_all (board->suspects);
  for (size_t i = 0; i < quarantine->n_items; i++)
    {
      const Qg__QuarantineItem *item = quarantine->items[i];
      GBytes *key = g_bytes_new (item->fingerprint.data, item->fingerprint.len);

      if (item->level == QG_POISON_CLEAR)
        g_hash_table_remove (board->suspects, key);
      else
        g_hash_table_replace (board->suspects, g_bytes_ref (key),
                              GUINT_TO_POINTER (item->level));
      g_bytes_unref (key);
    }
  notify (board, QG_BOARD_QUARANTINE);
}

void
qg_board_apply_permit (QgBoard *board, const Qg__Permit *permit,
                       QgTime asked_at)
{
  QgTime lease = permit->lease_us != 0 ? (QgTime)permit->lease_us
                                       : QG_BOARD_DEFAULT_PERMIT_US;
  QgTime until = asked_at + lease;

  board->permit_until = MAX (board->permit_until, until);
  board->permit_asked_at = MAX (board->permit_asked_at, asked_at);
  board->target_drains = permit->drain;
  notify (board, QG_BOARD_PERMIT);
}

void
qg_board_apply_sync (QgBoard *board, QgTime asked_at)
{
  board->synced_at = MAX (board->synced_at, asked_at);
  notify (board, QG_BOARD_SYNC);
}

gboolean
qg_board_dc_in_service (const QgBoard *board, const char *dc)
{
  const QgDocDc *record = qg_doc_dc (board->doc, dc);

  return record != NULL && record->state == QG_DC_IN;
}

gboolean
qg_board_has_permit (const QgBoard *board, QgTime now)
{
  return now < board->permit_until;
}

gboolean
qg_board_may_start_work (const QgBoard *board, QgTime now)
{
  return qg_board_has_permit (board, now)
         && qg_board_dc_in_service (board, board->settings->daemon.dc);
}

gboolean
qg_board_has_suspects (const QgBoard *board)
{
  return g_hash_table_size (board->suspects) > 0;
}

QgPoisonLevel
qg_board_poison_level (const QgBoard *board,
                       const guint8 fingerprint[QG_POISON_FINGERPRINT_BYTES])
{
  GBytes *key = g_bytes_new_static (fingerprint, QG_POISON_FINGERPRINT_BYTES);
  gpointer level = g_hash_table_lookup (board->suspects, key);

  g_bytes_unref (key);
  return (QgPoisonLevel)GPOINTER_TO_UINT (level);
}

static QgDelta *
update_to_delta (const Qg__DocUpdate *update)
{
  QgDelta *delta = qg_delta_new (update->from, update->revision);

  for (size_t i = 0; i < update->n_sections; i++)
    {
      const Qg__Section *section = update->sections[i];
      const char *text
          = section->removed ? NULL : (const char *)section->text.data;

      if (!section->removed && text == NULL)
        text = "";
      qg_delta_add (delta, section->name, text, section->text.len);
    }
  qg_delta_finish (delta);
  return delta;
}

static void
report_invalid_update (const Qg__DocUpdate *update, const QgProblems *problems)
{
  char *text = qg_problems_text (problems);

  qg_event (QG_EV_DOC_UNREADABLE, "revision %" G_GUINT64_FORMAT ": %s",
            update->revision, text);
  g_free (text);
}

static void
apply_entry (QgBoard *board, const Qg__DirEntry *entry)
{
  Qg__DirEntry *copy;

  if (entry->gone)
    {
      g_hash_table_remove (board->directory, entry->name);
      return;
    }
  copy = copy_entry (entry);
  g_hash_table_replace (board->directory, copy->name, copy);
}

static Qg__DirEntry *
copy_entry (const Qg__DirEntry *entry)
{
  gsize size = qg__dir_entry__get_packed_size (entry);
  guint8 *packed = g_malloc (size);
  Qg__DirEntry *copy;

  qg__dir_entry__pack (entry, packed);
  copy = qg__dir_entry__unpack (NULL, size, packed);
  g_free (packed);
  return copy;
}

static void
entry_free (gpointer data)
{
  qg__dir_entry__free_unpacked (data, NULL);
}

static void
notify (QgBoard *board, guint changes)
{
  if (board->changed != NULL)
    board->changed (board->changed_user, changes);
}
