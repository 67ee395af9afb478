#include "bytebudget.h"

#include <unistd.h>

static gsize percent_of (gsize bytes, guint percent);
static gboolean resize_within (QgByteBudget *budget, gsize limit, gsize before,
                               gsize after);

static gsize
percent_of (gsize bytes, guint percent)
{
  return bytes / 100 * percent;
}

gsize
qg_bytebudget_memory (guint64 setting_mb, gsize machine)
{
  gsize memory = (gsize)setting_mb << 20;

  return machine > 0 ? MIN (memory, machine) : memory;
}

gsize
qg_bytebudget_machine_memory (void)
{
  long pages = sysconf (_SC_PHYS_PAGES);
  long page = sysconf (_SC_PAGESIZE);

  return pages > 0 && page > 0 ? (gsize)pages * (gsize)page : 0;
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

  return resize_within (budget, limit, before, after);
}

gboolean
qg_bytebudget_resize_small (QgByteBudget *budget, gsize before, gsize after)
{
  return resize_within (budget, budget->limit, before, after);
}

static gboolean
resize_within (QgByteBudget *budget, gsize limit, gsize before, gsize after)
{
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
