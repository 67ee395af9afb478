/**
 * @file fs_posix.h
 * The data folder of a control member on a real file system. The folder is
 * locked: a second process on it is refused.
 */
#ifndef QG_FS_POSIX_H
#define QG_FS_POSIX_H

#include "lib/store.h"

G_BEGIN_DECLS

/** Opens @a folder, which is made if missing; NULL with @a err on failure. */
QgStoreFs *qg_fs_posix_new (const char *folder, QgErr *err);

/** Closes the folder and gives up the lock. */
void qg_fs_posix_free (QgStoreFs *fs);

G_END_DECLS

#endif
