#include "belief.h"

static const QgTime max_ages[QG_N_BELIEFS] = {
  /* A stream can have begun, and be taken up, within a millisecond. */
  [QG_BELIEF_ONLY_VERSION] = 0,
  [QG_BELIEF_ONLY_SERVICE] = 0,
  [QG_BELIEF_ONLY_STREAM] = 0,
  /* Connections and leaders are replaced within that time. */
  [QG_BELIEF_LISTED] = 3 * QG_SEC,
};

QgTime
qg_belief_max_age (QgBelief belief)
{
  return max_ages[belief];
}

gboolean
qg_belief_holds (QgBelief belief, QgTime as_of, QgTime at)
{
  return as_of >= at || at - as_of < max_ages[belief];
}
