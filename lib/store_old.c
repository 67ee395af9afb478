#include "libstore.h"

#include <errno.h>

static void remove_old_snapshots (QgStore *store);

void
store_remove_replaced (QgStore *store)
{
  const QgStoreFsOps *ops = store->fs->ops;

  /* Until a full disk has room for the first write of the last segment, the
   * segments before it hold the newest vote. */
  if (g_array_index (store->segments, StoreSegment, store->segments->len - 1)
          .bytes
      == 0)
    return;
  remove_old_snapshots (store);
  while (store->segments->len > 1)
    {
      const StoreSegment *s = &g_array_index (store->segments, StoreSegment, 0);
      g_autofree char *name = store_file_name (STORE_SEGMENT_PREFIX, s->number);

      if (s->max_index > store->snapshot || ops->unlink (store->fs, name) != 0
          || ops->sync_folder (store->fs) != 0)
        return;
      g_array_remove_index (store->segments, 0);
    }
}

/* Keeps those that cannot be removed for the next time. */
static void
remove_old_snapshots (QgStore *store)
{
  guint kept = 0;

  for (guint i = 0; i < store->replaced->len; i++)
    {
      guint64 index = g_array_index (store->replaced, guint64, i);
      g_autofree char *name = store_file_name (STORE_SNAPSHOT_PREFIX, index);
      int code = 0;

      if (index != store->snapshot)
        code = store->fs->ops->unlink (store->fs, name);
      if (code != 0 && code != ENOENT)
        g_array_index (store->replaced, guint64, kept++) = index;
    }
  g_array_set_size (store->replaced, kept);
}
