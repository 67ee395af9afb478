#include "received.h"

void
qg_received_add (QgReceived *received, guint64 number)
{
  guint at = received->n_gaps % QG_RECEIVED_MAX_GAPS;

  if (number <= received->last)
    return;
  if (number > received->last + 1)
    {
      received->gaps[at].first = received->last + 1;
      received->gaps[at].last = number - 1;
      received->n_gaps++;
    }
  received->last = number;
}

gboolean
qg_received_is_lost (const QgReceived *received, guint64 number)
{
  guint n = MIN (received->n_gaps, (guint)QG_RECEIVED_MAX_GAPS);

  if (number > received->last)
    return TRUE;
  for (guint i = 0; i < n; i++)
    if (number >= received->gaps[i].first && number <= received->gaps[i].last)
      return TRUE;
  return FALSE;
}
