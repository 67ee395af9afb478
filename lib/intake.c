#include "intake.h"

#include <math.h>

static void count_refused (QgIntake *intake, QgTime now);

void
qg_intake_begin (QgIntake *intake, QgTime now)
{
  double keep = exp2 (-(double)MAX (now - intake->began, 0)
                      / (double)QG_INTAKE_HALF_LIFE);

  intake->recent_owed *= keep;
  intake->recent_spent *= keep;
  intake->recent_refused *= keep;
  intake->recent_unseen *= keep;
  intake->began = now;
  intake->taken = 0;
  intake->passes++;
  intake->refusing = 0;
}

gboolean
qg_intake_has_time (const QgIntake *intake, QgIntakeShare share, QgTime now)
{
  const QgTime passes[]
      = { [QG_INTAKE_SPENT] = 0,
          [QG_INTAKE_OWED] = MAX (QG_INTAKE_OWED_PASS, intake->refusing),
          [QG_INTAKE_WITHIN] = MAX (QG_INTAKE_SHARE_PASS, intake->refusing) };
  QgTime allowed = MAX (QG_INTAKE_CLUMP - intake->long_time, passes[share]);
  QgTime used
      = now - intake->began - (share == QG_INTAKE_SPENT ? 0 : intake->refusing);

  return intake->taken == 0 || used < allowed;
}

/* While requests that are owed have time, only those of workspaces that have
 * used up their share are refused. */
static void
count_refused (QgIntake *intake, QgTime now)
{
  intake->n_refused++;
  if (qg_intake_has_time (intake, QG_INTAKE_OWED, now))
    intake->recent_refused++;
  else
    intake->recent_unseen++;
}

gboolean
qg_intake_take (QgIntake *intake, QgIntakeShare share, QgTime now)
{
  if (!qg_intake_has_time (intake, share, now))
    {
      count_refused (intake, now);
      return FALSE;
    }
  intake->taken++;
  if (share == QG_INTAKE_SPENT)
    intake->recent_spent++;
  else if (share == QG_INTAKE_OWED)
    intake->recent_owed++;
  return TRUE;
}

gboolean
qg_intake_look (QgIntake *intake, QgTime now)
{
  intake->looked = now;
  return qg_intake_has_time (intake, QG_INTAKE_SPENT, now);
}

gboolean
qg_intake_may_refuse (const QgIntake *intake)
{
  return intake->refusing < MAX (intake->refuse_pass, QG_INTAKE_REFUSE_PASS);
}

void
qg_intake_refused (QgIntake *intake, QgTime now)
{
  intake->refusing += now - intake->looked;
  intake->refusing_total += now - intake->looked;
}

gboolean
qg_intake_accept (QgIntake *intake, QgIntakeShare share, QgTime now)
{
  if (qg_intake_has_time (intake, share, now))
    return TRUE;
  count_refused (intake, now);
  return FALSE;
}

/* The unseen requests are divided as those that were seen. */
double
qg_intake_demand_factor (const QgIntake *intake, QgIntakeShare share)
{
  double spent = intake->recent_spent + intake->recent_refused;
  double unseen = intake->recent_unseen / MAX (intake->recent_owed + spent, 1);

  if (share == QG_INTAKE_WITHIN)
    return 1;
  if (share == QG_INTAKE_OWED)
    return 1 + QG_INTAKE_FIRST_PART * unseen;
  return 1
         + QG_INTAKE_FIRST_PART * (intake->recent_refused + unseen * spent)
               / MAX (intake->recent_spent, 1);
}

void
qg_intake_end (QgIntake *intake, QgTime now)
{
  QgTime duration = now - intake->began;

  intake->refuse_pass
      = MIN (duration / QG_INTAKE_REFUSE_PART, QG_INTAKE_SHARE_PASS);

  intake->long_time
      = duration < QG_INTAKE_PASS ? 0 : intake->long_time + duration;
}
