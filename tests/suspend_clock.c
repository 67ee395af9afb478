/* Preloaded into a process to simulate that its VM was suspended:
 * CLOCK_MONOTONIC lags behind CLOCK_BOOTTIME by the milliseconds in the file
 * SUSPEND_CLOCK_FILE. The test stops the process for as long. */
#define _GNU_SOURCE

#include <dlfcn.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

typedef int (*ClockGettime) (clockid_t clock, struct timespec *out);

static long
read_lag_ms (void)
{
  const char *name = getenv ("SUSPEND_CLOCK_FILE");
  FILE *file = name != NULL ? fopen (name, "r") : NULL;
  long ms = 0;

  if (file == NULL)
    return 0;
  if (fscanf (file, "%ld", &ms) != 1)
    ms = 0;
  fclose (file);
  return ms;
}

int
clock_gettime (clockid_t clock, struct timespec *out)
{
  static ClockGettime real;
  long ms;
  int result;

  if (real == NULL)
    real = (ClockGettime)dlsym (RTLD_NEXT, "clock_gettime");
  result = real (clock, out);
  if (result != 0 || clock != CLOCK_MONOTONIC)
    return result;
  ms = read_lag_ms ();
  out->tv_sec -= ms / 1000;
  out->tv_nsec -= ms % 1000 * 1000000;
  if (out->tv_nsec < 0)
    {
      out->tv_nsec += 1000000000;
      out->tv_sec--;
    }
  return result;
}
