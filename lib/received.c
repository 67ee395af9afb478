#include "received.h"

static gboolean was_replaced (const QgReceived *received, guint64 life);
static void begin_life (QgReceived *received, guint64 life);

void
qg_received_add (QgReceived *received, guint64 life, guint64 number)
{
  guint at;

  if (was_replaced (received, life))
    return;
  if (life != received->life)
    begin_life (received, life);
  if (number <= received->last)
    return;
  at = received->n_gaps % QG_RECEIVED_MAX_GAPS;
  if (number > received->last + 1)
    {
      received->gaps[at].first = received->last + 1;
      received->gaps[at].last = number - 1;
      received->n_gaps++;
    }
  received->last = number;
}

gboolean
qg_received_is_lost (const QgReceived *received, guint64 life, guint64 number)
{
  guint n = MIN (received->n_gaps, (guint)QG_RECEIVED_MAX_GAPS);

  if (was_replaced (received, life))
    return FALSE;
  if (life != received->life || number > received->last)
    return TRUE;
  for (guint i = 0; i < n; i++)
    if (number >= received->gaps[i].first && number <= received->gaps[i].last)
      return TRUE;
  return FALSE;
}

static gboolean
was_replaced (const QgReceived *received, guint64 life)
{
  guint n = MIN (received->n_replaced, (guint)QG_RECEIVED_MAX_REPLACED);

  for (guint i = 0; i < n; i++)
    if (received->replaced[i] == life)
      return TRUE;
  return FALSE;
}

static void
begin_life (QgReceived *received, guint64 life)
{
  if (received->life != 0)
    received->replaced[received->n_replaced++ % QG_RECEIVED_MAX_REPLACED]
        = received->life;
  received->life = life;
  received->last = 0;
  received->n_gaps = 0;
}
