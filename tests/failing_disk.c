/* Preloaded into a process to simulate a disk that refuses writes, or stalls:
 * while the file FAILING_DISK_FILE exists, each sync fails; while there is one
 * with ".stall" behind that name, none ends. */
#define _GNU_SOURCE

#include <dlfcn.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

enum
{
  CHECK_US = 5000
};

typedef int (*Fsync) (int fd);

static void
wait_while_stalled (const char *name)
{
  char stalled[4096];

  snprintf (stalled, sizeof stalled, "%s.stall", name);
  while (access (stalled, F_OK) == 0)
    usleep (CHECK_US);
}

int
fsync (int fd)
{
  static Fsync real;
  const char *name = getenv ("FAILING_DISK_FILE");

  if (real == NULL)
    real = (Fsync)dlsym (RTLD_NEXT, "fsync");
  if (name != NULL)
    wait_while_stalled (name);
  if (name != NULL && access (name, F_OK) == 0)
    {
      errno = EIO;
      return -1;
    }
  return real (fd);
}
