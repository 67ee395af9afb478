#include "logbudget.h"

enum
{
  MAX_SHIFT = 16,
  /* The sampled fraction is doubled only after a second in which fewer lines
   * than 1/RECOVERY_DIVISOR of the budget were written, so that the fraction
   * does not oscillate. */
  RECOVERY_DIVISOR = 4,
  /* Lines per second reserved for lines that belong to no request. */
  RESERVED_LINES = QG_LOG_LINES_PER_S / 4,
  /* Lines between two halvings of the sampled fraction once the budget is used
   * up. The fraction falls to 1/1000 before twice the budget is written. */
  HALVING_INTERVAL_LINES = QG_LOG_LINES_PER_S / 16,
};

static void update_second (QgLogBudget *budget, QgTime now);
static guint32 hash (const char *id, gsize len);

/* The FNV-1a hash. All processes must use the same hash, so that they log the
 * same ids. */
static guint32
hash (const char *id, gsize len)
{
  guint32 value = 2166136261u;

  for (gsize i = 0; i < len; i++)
    value = (value ^ (guint8)id[i]) * 16777619u;
  return value ^ (value >> 15);
}

static void
update_second (QgLogBudget *budget, QgTime now)
{
  if (budget->next_halving == 0)
    budget->next_halving = QG_LOG_LINES_PER_S;
  if (now - budget->second_start < QG_SEC)
    return;
  budget->next_halving = QG_LOG_LINES_PER_S;
  if (budget->lines < QG_LOG_LINES_PER_S / RECOVERY_DIVISOR
      && budget->shift > 0)
    budget->shift--;
  budget->lines = 0;
  budget->second_start = now;
}

gboolean
qg_log_budget_admit (QgLogBudget *budget, const char *id, gsize id_len,
                     QgTime now)
{
  guint max_lines = 2 * QG_LOG_LINES_PER_S;
  gboolean keep;

  update_second (budget, now);
  if (id != NULL)
    {
      max_lines -= RESERVED_LINES;
      if (budget->lines >= budget->next_halving && budget->shift < MAX_SHIFT)
        {
          budget->shift++;
          budget->next_halving += HALVING_INTERVAL_LINES;
        }
    }
  keep = budget->lines < max_lines
         && (id == NULL
             || (hash (id, id_len) & ((1u << budget->shift) - 1)) == 0);
  budget->lines += keep ? 1 : 0;
  budget->n_dropped_lines += keep ? 0 : 1;
  return keep;
}

guint64
qg_log_budget_report (QgLogBudget *budget, QgTime now)
{
  guint64 n = budget->n_dropped_lines - budget->reported;

  if (n == 0 || now - budget->reported_at < QG_SEC)
    return 0;
  budget->reported = budget->n_dropped_lines;
  budget->reported_at = now;
  return n;
}
