/**
 * @file libstore.h
 * Internals shared by the store*.c files.
 */
#ifndef QG_LIBSTORE_H
#define QG_LIBSTORE_H

#include "store.h"

G_BEGIN_DECLS

#define STORE_FORMAT          1
#define STORE_SEGMENT_PREFIX  "log-"
#define STORE_SNAPSHOT_PREFIX "snap-"
#define STORE_TEMP_SUFFIX     ".tmp"
#define STORE_REMEDY                                                           \
  "move the data folder away and start with an empty one, so that the member " \
  "rejoins as a learner; or restore a backup"

typedef struct
{
  guint64 number;
  guint64 max_index; /**< largest entry index in the segment */
  guint64 bytes;
} StoreSegment;

struct QgStore
{
  gint refs;
  QgStoreFs *fs;
  gsize segment_bytes;
  GArray *segments; /**< StoreSegment, oldest first; appends go to the last */
  guint64 snapshot; /**< index of the snapshot file, 0 if none */
  GArray *replaced; /**< guint64, indices of older snapshot files */
  gboolean open;
  gboolean torn; /**< the last segment may go on after its bytes */
  guint64 syncs;
};

/** State rebuilt by replaying the segments. */
typedef struct
{
  QgConsHardState hard;
  gboolean base_known; /**< an entry or a reset was read */
  guint64 base;        /**< index before the first entry */
  GPtrArray *entries;
  guint64 max_index; /**< largest entry index in the segment being read */
  guint64 segment;   /**< number of that segment */
  gboolean first;    /**< the next frame is the first frame of that segment */
} StoreReplay;

QgStatus store_replay_frame (const Qg__LogFrame *frame, gpointer user,
                             QgErr *err);
char *store_file_name (const char *prefix, guint64 number);
gboolean store_parse_file_name (const char *name, const char *prefix,
                                guint64 *number);
/** QG_E_IO with a message. */
QgStatus store_fail (QgStore *store, const char *operation, const char *name,
                     int code, QgErr *err);
/** Reports that the disk is full; the store stays usable. */
QgStatus store_no_space (QgStore *store, const char *name, int code,
                         QgErr *err);
void store_copy_hard_state (QgConsHardState *to, const QgConsHardState *from);
QgConsSnapshot *store_snapshot_parse (GBytes *file, guint64 index);
GByteArray *store_snapshot_pack (const QgConsSnapshot *snapshot);
/** Packs a write as one frame; @a first is set for the first frame of a
 * segment. */
GByteArray *store_pack_frame (guint64 segment, guint64 offset, gboolean first,
                              const QgConsHardState *hard,
                              const QgConsSnapshot *reset, GPtrArray *entries);

/* store_old.c */
/** Removes the files that the snapshot replaces. If a removal fails, the next
 * call removes the remaining files. Segments are removed oldest first and each
 * removal is synced, so that no gap can appear between segments. */
void store_remove_replaced (QgStore *store);

G_END_DECLS

#endif
