/**
 * @file store.h
 * The data folder of a control member: log segments and a snapshot. Files are
 * accessed through a small interface, so that tests can make any operation
 * fail.
 *
 * A segment ("log-NNNNNNNNNNNNNNNN") is a sequence of frames: magic, length,
 * CRC-32C over segment, offset, length and payload, then a packed Qg__LogFrame.
 * Each write is one frame and is synced before the next begins. Therefore, an
 * invalid frame in the last segment is an unfinished write if no valid frame
 * follows; it is truncated. Any other invalid frame is damage, which is
 * reported and never skipped.
 *
 * Not thread-safe; calls block on the disk and may run in another thread, one
 * at a time.
 */
#ifndef QG_STORE_H
#define QG_STORE_H

#include "cons.h"

G_BEGIN_DECLS

typedef struct QgStoreFs QgStoreFs;

/** File operations in one folder; each returns 0 or an errno value. */
typedef struct
{
  /** Adds the names in the folder (g_strdup) to @a names. */
  int (*list) (QgStoreFs *fs, GPtrArray *names);
  int (*read) (QgStoreFs *fs, const char *name, GBytes **data);
  /** Appends to a file, which is created when missing. */
  int (*append) (QgStoreFs *fs, const char *name, const void *data, gsize len);
  int (*truncate) (QgStoreFs *fs, const char *name, gsize len);
  int (*sync) (QgStoreFs *fs, const char *name);
  /** Makes creations, renames and removals in the folder durable. */
  int (*sync_folder) (QgStoreFs *fs);
  int (*rename) (QgStoreFs *fs, const char *from, const char *to);
  int (*unlink) (QgStoreFs *fs, const char *name);
} QgStoreFsOps;

struct QgStoreFs
{
  const QgStoreFsOps *ops;
};

/** Options of a store; zero fields take the defaults. */
typedef struct
{
  QgStoreFs *fs;       /**< borrowed for the life of the store */
  gsize segment_bytes; /**< size at which a new segment is started; default
                          8 MiB */
} QgStoreOptions;

typedef struct QgStore QgStore;

QgStore *qg_store_new (const QgStoreOptions *opts);
QgStore *qg_store_ref (QgStore *store);
void qg_store_unref (QgStore *store);

/**
 * Reads the folder and syncs its files, so that the caller may rely on what was
 * read. If the folder is empty, @a disk becomes its identity.
 *
 * @param fresh set when the folder was empty
 * @return QG_OK, QG_E_IO, or QG_E_CORRUPT with file, offset and remedy
 */
QgStatus qg_store_open (QgStore *store, guint64 disk, QgConsState *state,
                        gboolean *fresh, QgErr *err);

/**
 * Makes @a write durable. QG_E_UNAVAILABLE while the disk is full, QG_E_IO if
 * it failed in another way: nothing may be taken for durable then, and the
 * caller must call again with the same @a write before any other. Each attempt
 * writes everything anew.
 */
QgStatus qg_store_write (QgStore *store, const QgConsWrite *write, QgErr *err);

/** Saves a snapshot and removes the files that it replaces. QG_E_UNAVAILABLE or
 * QG_E_IO as for qg_store_write(): the earlier snapshot still holds. */
QgStatus qg_store_save_snapshot (QgStore *store, QgConsSnapshot *snapshot,
                                 QgErr *err);

/** Bytes in all log segments. */
guint64 qg_store_log_bytes (QgStore *store);

/** Number of syncs done, for the metrics. */
guint64 qg_store_syncs (QgStore *store);

/** Called for each frame of a segment; @a frame is valid only during the call.
 */
typedef QgStatus (*QgStoreFrameFunc) (const Qg__LogFrame *frame, gpointer user,
                                      QgErr *err);

/**
 * Reads a segment from memory.
 *
 * @param last whether this is the last segment, which may end in an unfinished
 *             write
 * @param valid set to the length of the valid part
 */
QgStatus qg_store_read_segment (guint64 segment, const guint8 *data, gsize len,
                                gboolean last, QgStoreFrameFunc func,
                                gpointer user, gsize *valid, QgErr *err);

/** Appends to @a out the frame of @a payload at @a offset of @a segment. */
void qg_store_append_frame (GByteArray *out, guint64 segment, guint64 offset,
                            const guint8 *payload, gsize len);

/** CRC-32C (Castagnoli), continued from @a crc; start with 0. */
guint32 qg_store_crc32c (guint32 crc, const guint8 *data, gsize len);

G_END_DECLS

#endif
