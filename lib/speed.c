#include "speed.h"

#include <math.h>

static double kept_part (const QgSpeed *speed, const QgSpeedOptions *options,
                         QgTime now);

static double
kept_part (const QgSpeed *speed, const QgSpeedOptions *options, QgTime now)
{
  return exp2 (-(double)MAX (now - speed->at, 0) / (double)options->half_life);
}

void
qg_speed_add (QgSpeed *speed, const QgSpeedOptions *options, QgTime expected,
              QgTime taken, QgTime now)
{
  double kept = kept_part (speed, options, now);

  if (expected <= 0 || taken <= 0)
    return;
  speed->expected = speed->expected * kept + (double)expected;
  speed->taken = speed->taken * kept + (double)taken;
  speed->at = now;
}

double
qg_speed_get (const QgSpeed *speed, const QgSpeedOptions *options,
              double assumed, QgTime now)
{
  double kept = kept_part (speed, options, now);
  double prior = (double)options->prior;

  return CLAMP ((speed->expected * kept + assumed * prior)
                    / (speed->taken * kept + prior),
                assumed / QG_SPEED_RANGE, assumed * QG_SPEED_RANGE);
}
