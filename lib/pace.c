#include "pace.h"

gboolean
qg_pace_update (QgPace *pace, QgTime gap, QgTime now)
{
  pace->waiting = TRUE;
  return qg_pace_due (pace, gap, now);
}

gboolean
qg_pace_due (QgPace *pace, QgTime gap, QgTime now)
{
  if (!pace->waiting || (pace->last != 0 && now - pace->last < gap))
    return FALSE;
  pace->waiting = FALSE;
  pace->last = now;
  return TRUE;
}
