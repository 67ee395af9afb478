/* Preloaded into a process to simulate a disk that refuses writes: while the
 * file FAILING_DISK_FILE exists, each sync fails. */
#define _GNU_SOURCE

#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <unistd.h>

typedef int (*Fsync) (int fd);

int
fsync (int fd)
{
  static Fsync real;
  const char *name = getenv ("FAILING_DISK_FILE");

  if (real == NULL)
    real = (Fsync)dlsym (RTLD_NEXT, "fsync");
  if (name != NULL && access (name, F_OK) == 0)
    {
      errno = EIO;
      return -1;
    }
  return real (fd);
}
