#include "pace.h"

gboolean
qg_pace_update (QgPace *pace, QgTime gap, QgTime now)
{
  pace->pending = TRUE;
  return qg_pace_due (pace, gap, now);
}

gboolean
qg_pace_due (QgPace *pace, QgTime gap, QgTime now)
{
  if (!pace->pending || (pace->last_sent != 0 && now - pace->last_sent < gap))
    return FALSE;
  pace->pending = FALSE;
  pace->last_sent = now;
  return TRUE;
}
