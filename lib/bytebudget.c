#include "bytebudget.h"

static gsize percent_of (gsize bytes, guint percent);

static gsize
percent_of (gsize bytes, guint percent)
{
  return bytes / 100 * percent;
}

void
qg_bytebudget_init (QgByteBudget *budget, gsize memory)
{
  *budget = (QgByteBudget){ 0 };
  budget->limit = percent_of (memory, QG_BYTEBUDGET_MEMORY_PERCENT);
  budget->kernel = percent_of (memory, QG_BYTEBUDGET_KERNEL_PERCENT);
}

gboolean
qg_bytebudget_resize (QgByteBudget *budget, gsize before, gsize after)
{
  gsize limit = after < QG_BYTEBUDGET_LARGE_BYTES
                    ? budget->limit
                    : percent_of (budget->limit, QG_BYTEBUDGET_LARGE_PERCENT);
  gsize others = budget->held - before + budget->buffered;

  if (after > before && budget->limit > 0 && others + after > limit)
    return FALSE;
  budget->held = budget->held - before + after;
  return TRUE;
}

gboolean
qg_bytebudget_is_short (const QgByteBudget *budget)
{
  return budget->limit > 0
         && budget->held + budget->buffered
                > percent_of (budget->limit, QG_BYTEBUDGET_LARGE_PERCENT);
}
