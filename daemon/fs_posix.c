#include "fs_posix.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#define LOCK_NAME   "lock"
#define FILE_MODE   0640
#define FOLDER_MODE 0750

typedef struct
{
  QgStoreFs base;
  int folder_fd;
  int lock_fd;
  int file_fd;     /* open for appending, or -1 */
  char *file_name; /* name of the file of file_fd */
} PosixFs;

static int fs_list (QgStoreFs *fs, GPtrArray *names);
static int fs_read (QgStoreFs *fs, const char *name, GBytes **data);
static int fs_append (QgStoreFs *fs, const char *name, const void *data,
                      gsize len);
static int fs_truncate (QgStoreFs *fs, const char *name, gsize len);
static int fs_sync (QgStoreFs *fs, const char *name);
static int fs_sync_folder (QgStoreFs *fs);
static int fs_rename (QgStoreFs *fs, const char *from, const char *to);
static int fs_unlink (QgStoreFs *fs, const char *name);
static int open_for_append (PosixFs *posix, const char *name);
static void close_file (PosixFs *posix);
static QgStatus take_lock (PosixFs *posix, const char *folder, QgErr *err);

static const QgStoreFsOps posix_ops = {
  .list = fs_list,
  .read = fs_read,
  .append = fs_append,
  .truncate = fs_truncate,
  .sync = fs_sync,
  .sync_folder = fs_sync_folder,
  .rename = fs_rename,
  .unlink = fs_unlink,
};

QgStoreFs *
qg_fs_posix_new (const char *folder, QgErr *err)
{
  PosixFs *posix;
  int fd;

  if (g_mkdir_with_parents (folder, FOLDER_MODE) != 0)
    {
      qg_fail (err, QG_E_IO, "cannot create the data folder %s: %s", folder,
               g_strerror (errno));
      return NULL;
    }
  fd = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0)
    {
      qg_fail (err, QG_E_IO, "cannot open the data folder %s: %s", folder,
               g_strerror (errno));
      return NULL;
    }
  posix = g_new0 (PosixFs, 1);
  posix->base.ops = &posix_ops;
  posix->folder_fd = fd;
  posix->lock_fd = -1;
  posix->file_fd = -1;
  if (take_lock (posix, folder, err) == QG_OK)
    return &posix->base;
  qg_fs_posix_free (&posix->base);
  return NULL;
}

static QgStatus
take_lock (PosixFs *posix, const char *folder, QgErr *err)
{
  posix->lock_fd = openat (posix->folder_fd, LOCK_NAME,
                           O_RDWR | O_CREAT | O_CLOEXEC, FILE_MODE);
  if (posix->lock_fd < 0)
    return qg_fail (err, QG_E_IO, "cannot write in the data folder %s: %s",
                    folder, g_strerror (errno));
  if (flock (posix->lock_fd, LOCK_EX | LOCK_NB) != 0)
    return qg_fail (err, QG_E_CONFLICT,
                    "another process uses the data folder %s; stop it, or give "
                    "each member a folder of its own",
                    folder);
  return QG_OK;
}

void
qg_fs_posix_free (QgStoreFs *fs)
{
  PosixFs *posix = (PosixFs *)fs;

  if (posix == NULL)
    return;
  close_file (posix);
  if (posix->lock_fd >= 0)
    close (posix->lock_fd);
  close (posix->folder_fd);
  g_free (posix);
}

static void
close_file (PosixFs *posix)
{
  if (posix->file_fd >= 0)
    close (posix->file_fd);
  posix->file_fd = -1;
  g_clear_pointer (&posix->file_name, g_free);
}

/* Keeps one file open, the log segment that is being appended to. */
static int
open_for_append (PosixFs *posix, const char *name)
{
  if (posix->file_fd >= 0 && strcmp (posix->file_name, name) == 0)
    return 0;
  close_file (posix);
  posix->file_fd
      = openat (posix->folder_fd, name,
                O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FILE_MODE);
  if (posix->file_fd < 0)
    return errno;
  posix->file_name = g_strdup (name);
  return 0;
}

static int
fs_list (QgStoreFs *fs, GPtrArray *names)
{
  PosixFs *posix = (PosixFs *)fs;
  int fd = openat (posix->folder_fd, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  const struct dirent *entry;
  DIR *dir;

  if (fd < 0)
    return errno;
  dir = fdopendir (fd);
  if (dir == NULL)
    {
      int code = errno;

      close (fd);
      return code;
    }
  while ((entry = readdir (dir)) != NULL)
    g_ptr_array_add (names, g_strdup (entry->d_name));
  closedir (dir);
  return 0;
}

static int
fs_read (QgStoreFs *fs, const char *name, GBytes **data)
{
  PosixFs *posix = (PosixFs *)fs;
  int fd = openat (posix->folder_fd, name, O_RDONLY | O_CLOEXEC);
  struct stat st;
  guint8 *bytes;
  gsize done = 0;
  int code = 0;

  if (fd < 0)
    return errno;
  if (fstat (fd, &st) != 0)
    {
      code = errno;
      close (fd);
      return code;
    }
  bytes = g_malloc ((gsize)st.st_size + 1);
  while (code == 0 && done < (gsize)st.st_size)
    {
      ssize_t n
          = pread (fd, bytes + done, (gsize)st.st_size - done, (off_t)done);

      if (n > 0)
        done += (gsize)n;
      else if (n == 0 || errno != EINTR)
        code = n == 0 ? EIO : errno;
    }
  close (fd);
  if (code == 0)
    *data = g_bytes_new_take (bytes, done);
  else
    g_free (bytes);
  return code;
}

static int
fs_append (QgStoreFs *fs, const char *name, const void *data, gsize len)
{
  PosixFs *posix = (PosixFs *)fs;
  const guint8 *at = data;
  int code = open_for_append (posix, name);

  while (code == 0 && len > 0)
    {
      ssize_t n = write (posix->file_fd, at, len);

      if (n > 0)
        {
          at += n;
          len -= (gsize)n;
        }
      else if (n < 0 && errno != EINTR)
        code = errno;
    }
  return code;
}

static int
fs_truncate (QgStoreFs *fs, const char *name, gsize len)
{
  PosixFs *posix = (PosixFs *)fs;
  int code = open_for_append (posix, name);

  if (code != 0)
    return code;
  return ftruncate (posix->file_fd, (off_t)len) == 0 ? 0 : errno;
}

static int
fs_sync (QgStoreFs *fs, const char *name)
{
  PosixFs *posix = (PosixFs *)fs;
  int code = open_for_append (posix, name);

  if (code != 0)
    return code;
  return fsync (posix->file_fd) == 0 ? 0 : errno;
}

static int
fs_sync_folder (QgStoreFs *fs)
{
  PosixFs *posix = (PosixFs *)fs;

  return fsync (posix->folder_fd) == 0 ? 0 : errno;
}

static int
fs_rename (QgStoreFs *fs, const char *from, const char *to)
{
  PosixFs *posix = (PosixFs *)fs;

  close_file (posix);
  return renameat (posix->folder_fd, from, posix->folder_fd, to) == 0 ? 0
                                                                      : errno;
}

static int
fs_unlink (QgStoreFs *fs, const char *name)
{
  PosixFs *posix = (PosixFs *)fs;

  if (posix->file_name != NULL && strcmp (posix->file_name, name) == 0)
    close_file (posix);
  return unlinkat (posix->folder_fd, name, 0) == 0 ? 0 : errno;
}
