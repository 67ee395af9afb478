#include "libstore.h"

#include "event.h"

#include <stdlib.h>
#include <errno.h>
#include <string.h>

#define DEFAULT_SEGMENT_BYTES (8 * 1024 * 1024)
#define NAME_DIGITS           16

/** The files in the folder, by kind. */
typedef struct
{
  GArray *segments;  /**< guint64, ascending */
  GArray *snapshots; /**< guint64, ascending */
  GPtrArray *temps;
} Listing;

static QgStatus list_folder (QgStore *store, Listing *listing, QgErr *err);
static void listing_clear (Listing *listing);
static QgStatus load_snapshot (QgStore *store, const Listing *listing,
                               QgConsState *state, QgErr *err);
static QgStatus replay_segments (QgStore *store, const Listing *listing,
                                 StoreReplay *replay, QgErr *err);
static QgStatus replay_segment (QgStore *store, guint64 number, gboolean last,
                                StoreReplay *replay, QgErr *err);
static QgStatus join_snapshot_and_log (StoreReplay *replay, QgConsState *state,
                                       gboolean *reset, QgErr *err);
static QgStatus start_segment (QgStore *store, const QgConsHardState *hard,
                               const QgConsSnapshot *reset, GPtrArray *entries,
                               QgErr *err);
static QgStatus append_frame (QgStore *store, GByteArray *frame,
                              gboolean created, QgErr *err);
static QgStatus save_snapshot (QgStore *store, const QgConsSnapshot *snapshot,
                               QgErr *err);
static QgStatus check_usable (const QgStore *store, QgErr *err);

QgStore *
qg_store_new (const QgStoreOptions *opts)
{
  QgStore *store = g_new0 (QgStore, 1);

  store->refs = 1;
  store->fs = opts->fs;
  store->segment_bytes
      = opts->segment_bytes > 0 ? opts->segment_bytes : DEFAULT_SEGMENT_BYTES;
  store->segments = g_array_new (FALSE, TRUE, sizeof (StoreSegment));
  store->replaced = g_array_new (FALSE, FALSE, sizeof (guint64));
  return store;
}

QgStore *
qg_store_ref (QgStore *store)
{
  g_atomic_int_inc (&store->refs);
  return store;
}

void
qg_store_unref (QgStore *store)
{
  if (!g_atomic_int_dec_and_test (&store->refs))
    return;
  g_array_unref (store->segments);
  g_array_unref (store->replaced);
  g_free (store);
}

void
store_copy_hard_state (QgConsHardState *to, const QgConsHardState *from)
{
  QgStr *vote = from->vote != NULL ? qg_str_ref (from->vote) : NULL;

  if (to->vote != NULL)
    qg_str_unref (to->vote);
  *to = *from;
  to->vote = vote;
}

char *
store_file_name (const char *prefix, guint64 number)
{
  return g_strdup_printf ("%s%016" G_GINT64_MODIFIER "x", prefix, number);
}

gboolean
store_parse_file_name (const char *name, const char *prefix, guint64 *number)
{
  char *end;

  if (!g_str_has_prefix (name, prefix)
      || strlen (name) != strlen (prefix) + NAME_DIGITS)
    return FALSE;
  *number = g_ascii_strtoull (name + strlen (prefix), &end, 16);
  return *end == '\0';
}

QgStatus
store_fail (QgStore *store, const char *operation, const char *name, int code,
            QgErr *err)
{
  return qg_fail (err, QG_E_IO,
                  "%s of %s failed: %s; check the disk, or replace it and "
                  "start with an empty folder",
                  operation, name, g_strerror (code));
}

QgStatus
store_no_space (QgStore *store, const char *name, int code, QgErr *err)
{
  return qg_fail (err, QG_E_UNAVAILABLE,
                  "cannot write to %s: %s; free disk space", name,
                  g_strerror (code));
}

static gboolean
is_no_space (int code)
{
  return code == ENOSPC || code == EDQUOT;
}

static QgStatus
check_usable (const QgStore *store, QgErr *err)
{
  if (!store->open)
    return qg_fail (err, QG_E_INTERNAL, "the store is not open");
  return QG_OK;
}

static gint
compare_numbers (gconstpointer a, gconstpointer b)
{
  guint64 x = *(const guint64 *)a;
  guint64 y = *(const guint64 *)b;

  return x < y ? -1 : x > y;
}

static QgStatus
list_folder (QgStore *store, Listing *listing, QgErr *err)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  int code = store->fs->ops->list (store->fs, names);

  listing->segments = g_array_new (FALSE, FALSE, sizeof (guint64));
  listing->snapshots = g_array_new (FALSE, FALSE, sizeof (guint64));
  listing->temps = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; code == 0 && i < names->len; i++)
    {
      guint64 number;

      if (store_parse_file_name (names->pdata[i], STORE_SEGMENT_PREFIX,
                                 &number))
        g_array_append_val (listing->segments, number);
      else if (store_parse_file_name (names->pdata[i], STORE_SNAPSHOT_PREFIX,
                                      &number))
        g_array_append_val (listing->snapshots, number);
      else if (g_str_has_suffix (names->pdata[i], STORE_TEMP_SUFFIX))
        g_ptr_array_add (listing->temps, g_strdup (names->pdata[i]));
    }
  g_array_sort (listing->segments, compare_numbers);
  g_array_sort (listing->snapshots, compare_numbers);
  g_ptr_array_unref (names);
  return code == 0 ? QG_OK : store_fail (store, "listing", "folder", code, err);
}

static void
listing_clear (Listing *listing)
{
  g_array_unref (listing->segments);
  g_array_unref (listing->snapshots);
  g_ptr_array_unref (listing->temps);
}

static QgStatus
open_files (QgStore *store, const Listing *listing, StoreReplay *replay,
            QgConsState *state, QgErr *err)
{
  gboolean reset = FALSE;
  QgStatus status = load_snapshot (store, listing, state, err);

  if (status == QG_OK)
    status = replay_segments (store, listing, replay, err);
  if (status == QG_OK)
    status = join_snapshot_and_log (replay, state, &reset, err);
  if (status != QG_OK)
    return status;
  store_copy_hard_state (&state->hard, &replay->hard);
  status = start_segment (store, &state->hard, reset ? state->snapshot : NULL,
                          NULL, err);
  if (status == QG_OK)
    store_remove_replaced (store);
  /* The first write creates the segment. */
  return status == QG_E_UNAVAILABLE ? QG_OK : status;
}

QgStatus
qg_store_open (QgStore *store, guint64 disk, QgConsState *state,
               gboolean *fresh, QgErr *err)
{
  StoreReplay replay = { 0 };
  Listing listing = { 0 };
  QgStatus status = list_folder (store, &listing, err);

  memset (state, 0, sizeof *state);
  *fresh = listing.segments->len == 0 && listing.snapshots->len == 0;
  for (guint i = 0; i < listing.temps->len; i++)
    store->fs->ops->unlink (store->fs, listing.temps->pdata[i]);
  replay.entries
      = g_ptr_array_new_with_free_func ((GDestroyNotify)qg_cons_entry_unref);
  replay.hard.disk = disk;
  if (status == QG_OK)
    status = open_files (store, &listing, &replay, state, err);
  if (status == QG_OK)
    {
      store->open = TRUE;
      state->entries = g_ptr_array_ref (replay.entries);
      qg_event (QG_EV_STORE_OPENED, "%u entries after index %" G_GUINT64_FORMAT,
                replay.entries->len, store->snapshot);
    }
  else
    {
      if (status == QG_E_CORRUPT || status == QG_E_IO)
        qg_event (status == QG_E_CORRUPT ? QG_EV_STORE_CORRUPT
                                         : QG_EV_STORE_FAILED,
                  "%s", err != NULL ? err->message : "cannot be read");
      qg_cons_state_clear (state);
    }
  if (replay.hard.vote != NULL)
    qg_str_unref (replay.hard.vote);
  g_ptr_array_unref (replay.entries);
  listing_clear (&listing);
  return status;
}

/* Loads the newest snapshot and removes the older snapshots. The newest
 * snapshot replaces the log up to the index of the snapshot. */
static QgStatus
load_snapshot (QgStore *store, const Listing *listing, QgConsState *state,
               QgErr *err)
{
  g_autofree char *name = NULL;
  GBytes *file = NULL;
  guint64 index;
  int code;

  if (listing->snapshots->len == 0)
    return QG_OK;
  index = g_array_index (listing->snapshots, guint64,
                         listing->snapshots->len - 1);
  name = store_file_name (STORE_SNAPSHOT_PREFIX, index);
  code = store->fs->ops->read (store->fs, name, &file);
  if (code != 0)
    return store_fail (store, "reading", name, code, err);
  state->snapshot = store_snapshot_parse (file, index);
  g_bytes_unref (file);
  if (state->snapshot == NULL)
    return qg_fail (err, QG_E_CORRUPT, "%s is damaged; " STORE_REMEDY, name);
  store->snapshot = index;
  for (guint i = 0; i + 1 < listing->snapshots->len; i++)
    {
      g_autofree char *old
          = store_file_name (STORE_SNAPSHOT_PREFIX,
                             g_array_index (listing->snapshots, guint64, i));

      store->fs->ops->unlink (store->fs, old);
    }
  return QG_OK;
}

static QgStatus
replay_segments (QgStore *store, const Listing *listing, StoreReplay *replay,
                 QgErr *err)
{
  guint n = listing->segments->len;

  if (n == 0 && listing->snapshots->len > 0)
    return qg_fail (err, QG_E_CORRUPT,
                    "there is a snapshot but no log; " STORE_REMEDY);
  for (guint i = 0; i < n; i++)
    {
      guint64 number = g_array_index (listing->segments, guint64, i);
      QgStatus status;

      if (i > 0
          && number != g_array_index (listing->segments, guint64, i - 1) + 1)
        return qg_fail (err, QG_E_CORRUPT,
                        "segment %" G_GUINT64_FORMAT
                        " is missing; " STORE_REMEDY,
                        number - 1);
      status = replay_segment (store, number, i + 1 == n, replay, err);
      if (status != QG_OK)
        return status;
    }
  return QG_OK;
}

/* Truncates an unfinished write and syncs the rest. The sync is needed because
 * data that a killed process wrote can be read before it is on the disk. */
static QgStatus
finish_last_segment (QgStore *store, const char *name, gsize len, gsize valid,
                     QgErr *err)
{
  const QgStoreFsOps *ops = store->fs->ops;
  int code = 0;

  if (valid < len)
    {
      qg_event (QG_EV_STORE_TORN,
                "%s: truncated %" G_GSIZE_FORMAT
                " bytes after offset %" G_GSIZE_FORMAT,
                name, len - valid, valid);
      code = ops->truncate (store->fs, name, valid);
    }
  if (code == 0)
    code = ops->sync (store->fs, name);
  if (code == 0)
    code = ops->sync_folder (store->fs);
  return code == 0 ? QG_OK : store_fail (store, "sync", name, code, err);
}

static QgStatus
replay_segment (QgStore *store, guint64 number, gboolean last,
                StoreReplay *replay, QgErr *err)
{
  g_autofree char *name = store_file_name (STORE_SEGMENT_PREFIX, number);
  StoreSegment segment = { number, 0, 0 };
  GBytes *file = NULL;
  const guint8 *data;
  QgStatus status;
  gsize valid;
  gsize len;
  int code = store->fs->ops->read (store->fs, name, &file);

  if (code != 0)
    return store_fail (store, "reading", name, code, err);
  data = g_bytes_get_data (file, &len);
  replay->segment = number;
  replay->first = TRUE;
  replay->max_index = 0;
  status = qg_store_read_segment (number, data, len, last, store_replay_frame,
                                  replay, &valid, err);
  g_bytes_unref (file);
  if (status != QG_OK)
    return status;
  if (valid == 0 && !last)
    return qg_fail (err, QG_E_CORRUPT, "%s is empty; " STORE_REMEDY, name);
  if (last)
    status = finish_last_segment (store, name, len, valid, err);
  if (status != QG_OK)
    return status;
  segment.max_index = replay->max_index;
  segment.bytes = valid;
  g_array_append_val (store->segments, segment);
  return QG_OK;
}

/* Joins snapshot and log. After a crash that followed the installation of a
 * snapshot from the leader, the log may end before the index of the snapshot,
 * or its entry at that index may have a different term. In both cases, drops
 * the entries of the log and sets @reset. */
static QgStatus
join_snapshot_and_log (StoreReplay *replay, QgConsState *state, gboolean *reset,
                       QgErr *err)
{
  guint64 snap = state->snapshot != NULL ? state->snapshot->index : 0;
  guint64 last = replay->base + replay->entries->len;
  const QgConsEntry *at;

  if (replay->base > snap)
    return qg_fail (err, QG_E_CORRUPT,
                    "the log starts after %" G_GUINT64_FORMAT " but the "
                    "snapshot ends at %" G_GUINT64_FORMAT "; " STORE_REMEDY,
                    replay->base, snap);
  if (replay->base == snap)
    return QG_OK;
  at = snap <= last ? replay->entries->pdata[snap - replay->base - 1] : NULL;
  if (at == NULL || at->term != state->snapshot->term)
    {
      g_ptr_array_set_size (replay->entries, 0);
      *reset = TRUE;
      return QG_OK;
    }
  g_ptr_array_remove_range (replay->entries, 0, (guint)(snap - replay->base));
  return QG_OK;
}

static QgStatus
start_segment (QgStore *store, const QgConsHardState *hard,
               const QgConsSnapshot *reset, GPtrArray *entries, QgErr *err)
{
  StoreSegment segment = { 1, 0, 0 };
  GByteArray *frame;

  if (store->segments->len > 0)
    {
      StoreSegment *last = &g_array_index (store->segments, StoreSegment,
                                           store->segments->len - 1);

      /* A segment whose first write is unfinished is reused. */
      if (last->bytes == 0)
        {
          segment.number = last->number;
          g_array_set_size (store->segments, store->segments->len - 1);
        }
      else
        segment.number = last->number + 1;
    }
  g_array_append_val (store->segments, segment);
  frame = store_pack_frame (segment.number, 0, TRUE, hard, reset, entries);
  return append_frame (store, frame, TRUE, err);
}

/* Writes and syncs one frame; for a new file it syncs the folder too. */
static QgStatus
append_frame (QgStore *store, GByteArray *frame, gboolean created, QgErr *err)
{
  const QgStoreFsOps *ops = store->fs->ops;
  StoreSegment *segment = &g_array_index (store->segments, StoreSegment,
                                          store->segments->len - 1);
  g_autofree char *name
      = store_file_name (STORE_SEGMENT_PREFIX, segment->number);
  guint len = frame->len;
  int code = ops->append (store->fs, name, frame->data, len);

  g_byte_array_unref (frame);
  store->torn = TRUE;
  if (is_no_space (code))
    return store_no_space (store, name, code, err);
  if (code != 0)
    return store_fail (store, "append", name, code, err);
  code = ops->sync (store->fs, name);
  if (code == 0 && created)
    code = ops->sync_folder (store->fs);
  store->syncs++;
  if (is_no_space (code))
    return store_no_space (store, name, code, err);
  if (code != 0)
    return store_fail (store, "sync", name, code, err);
  segment->bytes += len;
  store->torn = FALSE;
  return QG_OK;
}

/* Removes what a failed write has left behind the last segment, whose file may
 * be missing. The write is then repeated as a whole, because after a failed
 * sync the kernel takes pages for clean that the disk does not have. */
static QgStatus
repair_tail (QgStore *store, QgErr *err)
{
  const StoreSegment *segment = &g_array_index (store->segments, StoreSegment,
                                                store->segments->len - 1);
  g_autofree char *name
      = store_file_name (STORE_SEGMENT_PREFIX, segment->number);
  int code;

  if (!store->torn)
    return QG_OK;
  code = store->fs->ops->truncate (store->fs, name, segment->bytes);
  if (is_no_space (code))
    return store_no_space (store, name, code, err);
  if (code != 0 && (code != ENOENT || segment->bytes > 0))
    return store_fail (store, "truncate", name, code, err);
  store->torn = FALSE;
  return QG_OK;
}

QgStatus
qg_store_write (QgStore *store, const QgConsWrite *write, QgErr *err)
{
  QgStatus status = check_usable (store, err);
  StoreSegment *segment;

  if (status == QG_OK)
    status = repair_tail (store, err);
  if (status == QG_OK && write->snapshot != NULL)
    status = save_snapshot (store, write->snapshot, err);
  if (status != QG_OK)
    return status;
  segment = &g_array_index (store->segments, StoreSegment,
                            store->segments->len - 1);
  if (segment->bytes >= store->segment_bytes || segment->bytes == 0)
    status = start_segment (store, &write->hard, write->snapshot,
                            write->entries, err);
  else
    status = append_frame (store,
                           store_pack_frame (segment->number, segment->bytes,
                                             FALSE, &write->hard,
                                             write->snapshot, write->entries),
                           FALSE, err);
  if (status != QG_OK)
    return status;
  segment = &g_array_index (store->segments, StoreSegment,
                            store->segments->len - 1);
  if (write->entries != NULL && write->entries->len > 0)
    {
      const QgConsEntry *last = write->entries->pdata[write->entries->len - 1];

      segment->max_index = MAX (segment->max_index, last->index);
    }
  if (write->snapshot != NULL)
    store_remove_replaced (store);
  return QG_OK;
}

static QgStatus
save_snapshot (QgStore *store, const QgConsSnapshot *snapshot, QgErr *err)
{
  const QgStoreFsOps *ops = store->fs->ops;
  g_autofree char *name
      = store_file_name (STORE_SNAPSHOT_PREFIX, snapshot->index);
  g_autofree char *temp = g_strconcat (name, STORE_TEMP_SUFFIX, NULL);
  GByteArray *packed = store_snapshot_pack (snapshot);
  int code = ops->unlink (store->fs, temp);

  if (code == 0 || code == ENOENT)
    code = ops->append (store->fs, temp, packed->data, packed->len);
  g_byte_array_unref (packed);
  if (code == 0)
    code = ops->sync (store->fs, temp);
  if (code == 0)
    code = ops->rename (store->fs, temp, name);
  if (code == 0)
    code = ops->sync_folder (store->fs);
  if (is_no_space (code))
    {
      ops->unlink (store->fs, temp);
      return store_no_space (store, temp, code, err);
    }
  if (code != 0)
    return store_fail (store, "snapshot", name, code, err);
  if (store->snapshot > 0 && store->snapshot != snapshot->index)
    g_array_append_val (store->replaced, store->snapshot);
  store->snapshot = snapshot->index;
  return QG_OK;
}

QgStatus
qg_store_save_snapshot (QgStore *store, QgConsSnapshot *snapshot, QgErr *err)
{
  QgStatus status = check_usable (store, err);

  if (status == QG_OK && snapshot->index <= store->snapshot)
    return QG_OK;
  if (status == QG_OK)
    status = save_snapshot (store, snapshot, err);
  if (status != QG_OK)
    return status;
  qg_event (QG_EV_CONS_SNAPSHOT, "snapshot at %" G_GUINT64_FORMAT,
            snapshot->index);
  store_remove_replaced (store);
  return QG_OK;
}

guint64
qg_store_log_bytes (QgStore *store)
{
  guint64 sum = 0;

  for (guint i = 0; i < store->segments->len; i++)
    sum += g_array_index (store->segments, StoreSegment, i).bytes;
  return sum;
}

guint64
qg_store_syncs (QgStore *store)
{
  return store->syncs;
}
