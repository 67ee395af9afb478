#include "intake.h"

#include <math.h>

static void count_refused (QgIntake *intake);

void
qg_intake_begin (QgIntake *intake, QgTime now)
{
  double keep = exp2 (-(double)MAX (now - intake->began, 0)
                      / (double)QG_INTAKE_HALF_LIFE);

  intake->recent_taken *= keep;
  intake->recent_refused *= keep;
  intake->began = now;
  intake->taken = 0;
  intake->passes++;
  intake->refusing = 0;
}

gboolean
qg_intake_has_time (const QgIntake *intake, gboolean within_share, QgTime now)
{
  QgTime pass = within_share ? MAX (QG_INTAKE_SHARE_PASS, intake->refusing)
                             : QG_INTAKE_PASS;
  QgTime allowed = MAX (QG_INTAKE_CLUMP - intake->long_time, pass);
  QgTime used = now - intake->began - (within_share ? intake->refusing : 0);

  return intake->taken == 0 || used < allowed;
}

static void
count_refused (QgIntake *intake)
{
  intake->n_refused++;
  intake->recent_refused++;
}

gboolean
qg_intake_take (QgIntake *intake, gboolean within_share, QgTime now)
{
  if (!qg_intake_has_time (intake, within_share, now))
    {
      count_refused (intake);
      return FALSE;
    }
  intake->taken++;
  intake->recent_taken += within_share ? 0 : 1;
  return TRUE;
}

gboolean
qg_intake_look (QgIntake *intake, QgTime now)
{
  intake->looked = now;
  return qg_intake_has_time (intake, FALSE, now);
}

gboolean
qg_intake_may_refuse (const QgIntake *intake)
{
  return intake->refusing < QG_INTAKE_REFUSE_PASS;
}

void
qg_intake_refused (QgIntake *intake, QgTime now)
{
  intake->refusing += now - intake->looked;
  intake->refusing_total += now - intake->looked;
}

gboolean
qg_intake_accept (QgIntake *intake, gboolean within_share, QgTime now)
{
  if (qg_intake_has_time (intake, within_share, now))
    return TRUE;
  count_refused (intake);
  return FALSE;
}

double
qg_intake_demand_factor (const QgIntake *intake)
{
  return 1
         + QG_INTAKE_FIRST_PART * intake->recent_refused
               / MAX (intake->recent_taken, 1);
}

void
qg_intake_end (QgIntake *intake, QgTime now)
{
  QgTime duration = now - intake->began;

  intake->long_time
      = duration < QG_INTAKE_PASS ? 0 : intake->long_time + duration;
}
