/* Preloaded into a process to step its time of day by the seconds in the file
 * STEP_CLOCK_FILE. Its other clocks go on. */
#define _GNU_SOURCE

#include <dlfcn.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/time.h>
#include <time.h>

typedef int (*ClockGettime) (clockid_t clock, struct timespec *out);
typedef int (*GetTimeOfDay) (struct timeval *out, void *zone);

static long
read_step_s (void)
{
  const char *name = getenv ("STEP_CLOCK_FILE");
  FILE *file = name != NULL ? fopen (name, "r") : NULL;
  long seconds = 0;

  if (file == NULL)
    return 0;
  if (fscanf (file, "%ld", &seconds) != 1)
    seconds = 0;
  fclose (file);
  return seconds;
}

int
clock_gettime (clockid_t clock, struct timespec *out)
{
  static ClockGettime real;
  int result;

  if (real == NULL)
    real = (ClockGettime)dlsym (RTLD_NEXT, "clock_gettime");
  result = real (clock, out);
  if (result == 0 && clock == CLOCK_REALTIME)
    out->tv_sec += read_step_s ();
  return result;
}

/* GLib reads the time of day with it. */
int
gettimeofday (struct timeval *out, void *zone)
{
  static GetTimeOfDay real;
  int result;

  if (real == NULL)
    real = (GetTimeOfDay)dlsym (RTLD_NEXT, "gettimeofday");
  result = real (out, zone);
  if (result == 0)
    out->tv_sec += read_step_s ();
  return result;
}
