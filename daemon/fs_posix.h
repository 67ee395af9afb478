/**
 * @file fs_posix.h
 * POSIX implementation of the store's file system: the data folder of a control
 * member. A lock file keeps a second process from opening the folder.
 */
#ifndef QG_FS_POSIX_H
#define QG_FS_POSIX_H

#include "lib/store.h"

G_BEGIN_DECLS

/** Opens @a folder, creating it if missing; NULL with @a err on failure. */
QgStoreFs *qg_fs_posix_new (const char *folder, QgErr *err);

/** Closes the folder and releases the lock. */
void qg_fs_posix_free (QgStoreFs *fs);

G_END_DECLS

#endif
