#include "logbudget.h"

enum
{
  SHIFT_MAX = 16,
  /* A fraction is doubled only when it then stays below this part of the
   * budget, so that it does not swing from second to second. */
  QUIET_PART = 4,
  /* Lines kept for the process while requests fill the rest. */
  PROCESS_LINES = QG_LOG_LINES_PER_S / 4,
  /* Lines between two halvings once the budget is full: the fraction falls to
   * one in a thousand before twice the budget is written. */
  STEP_LINES = QG_LOG_LINES_PER_S / 16,
};

static void turn_second (QgLogBudget *budget, QgTime now);
static guint32 hash (const char *id, gsize len);

/* FNV-1a: all processes must agree on the same ids. */
static guint32
hash (const char *id, gsize len)
{
  guint32 sum = 2166136261u;

  for (gsize i = 0; i < len; i++)
    sum = (sum ^ (guint8)id[i]) * 16777619u;
  return sum ^ (sum >> 15);
}

static void
turn_second (QgLogBudget *budget, QgTime now)
{
  if (budget->step == 0)
    budget->step = QG_LOG_LINES_PER_S;
  if (now - budget->since < QG_SEC)
    return;
  budget->step = QG_LOG_LINES_PER_S;
  if (budget->lines < QG_LOG_LINES_PER_S / QUIET_PART && budget->shift > 0)
    budget->shift--;
  budget->lines = 0;
  budget->since = now;
}

gboolean
qg_log_budget_take (QgLogBudget *budget, const char *id, gsize id_len,
                    QgTime now)
{
  guint most = 2 * QG_LOG_LINES_PER_S;
  gboolean keep;

  turn_second (budget, now);
  if (id != NULL)
    {
      most -= PROCESS_LINES;
      if (budget->lines >= budget->step && budget->shift < SHIFT_MAX)
        {
          budget->shift++;
          budget->step += STEP_LINES;
        }
    }
  keep = budget->lines < most
         && (id == NULL
             || (hash (id, id_len) & ((1u << budget->shift) - 1)) == 0);
  budget->lines += keep ? 1 : 0;
  budget->left_out += keep ? 0 : 1;
  return keep;
}

guint64
qg_log_budget_report (QgLogBudget *budget, QgTime now)
{
  guint64 n = budget->left_out - budget->reported;

  if (n == 0 || now - budget->reported_at < QG_SEC)
    return 0;
  budget->reported = budget->left_out;
  budget->reported_at = now;
  return n;
}
