#include "clock.h"

#include "lib/event.h"

#include <time.h>

/** Shortest suspension that is logged: the two clocks are not read at once. */
#define SUSPENSION_MIN (100 * QG_MSEC)

static QgTime read_clock (clockid_t clock);

static QgTime
read_clock (clockid_t clock)
{
  struct timespec now;

  /* Fails for an unknown clock only; Linux has both since 2.6.39. */
  if (clock_gettime (clock, &now) != 0)
    g_error ("cannot read the clock %d of the system", (int)clock);
  return (QgTime)now.tv_sec * QG_SEC + now.tv_nsec / 1000;
}

QgTime
qg_clock_now (void)
{
  return read_clock (CLOCK_BOOTTIME);
}

void
qg_clock_check (void)
{
  static QgTime suspended = -1;
  QgTime total = read_clock (CLOCK_BOOTTIME) - read_clock (CLOCK_MONOTONIC);

  if (suspended >= 0 && total - suspended >= SUSPENSION_MIN)
    qg_event (QG_EV_SUSPENDED,
              "the VM was suspended for %" G_GINT64_FORMAT " ms",
              (total - suspended) / QG_MSEC);
  if (suspended < 0 || total - suspended >= SUSPENSION_MIN)
    suspended = total;
}
