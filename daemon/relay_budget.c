#include "librelay.h"

/* The budget is one for the fleet: each entry takes its part of the extra
 * retries, and the share of the requests that came to it. */

static RelayBudget *budget_of (QgRelay *relay, const char *service);
static void forget (GQueue *times, QgTime before);
static void note (GQueue *times, QgTime now);

static RelayBudget *
budget_of (QgRelay *relay, const char *service)
{
  RelayBudget *budget = g_hash_table_lookup (relay->budgets, service);

  if (budget == NULL)
    {
      budget = g_new0 (RelayBudget, 1);
      g_hash_table_insert (relay->budgets, g_strdup (service), budget);
    }
  return budget;
}

static void
forget (GQueue *times, QgTime before)
{
  QgTime *oldest;

  while ((oldest = g_queue_peek_head (times)) != NULL && *oldest < before)
    g_free (g_queue_pop_head (times));
}

static void
note (GQueue *times, QgTime now)
{
  QgTime *at = g_new (QgTime, 1);

  *at = now;
  g_queue_push_tail (times, at);
}

void
relay_budget_asked (QgRelay *relay, const char *service, QgTime now)
{
  RelayBudget *budget = budget_of (relay, service);
  QgTime span
      = (QgTime)(relay->settings->relay.retry_window_s * (double)QG_SEC);

  forget (&budget->asked, now - span);
  note (&budget->asked, now);
}

gboolean
relay_budget_take (QgRelay *relay, const char *service, QgTime now)
{
  const QgSettingsRelay *settings = &relay->settings->relay;
  RelayBudget *budget = budget_of (relay, service);
  QgTime span = (QgTime)(settings->retry_window_s * (double)QG_SEC);
  double most;

  forget (&budget->asked, now - span);
  forget (&budget->again, now - span);
  most = settings->retry_ratio * budget->asked.length
         + (double)settings->retry_extra / MAX (relay->entries, 1);
  if (budget->again.length + 1 > most)
    return FALSE;
  note (&budget->again, now);
  return TRUE;
}

void
relay_budget_free (gpointer data)
{
  RelayBudget *budget = data;

  g_queue_clear_full (&budget->asked, g_free);
  g_queue_clear_full (&budget->again, g_free);
  g_free (budget);
}
