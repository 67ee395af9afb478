#include "sharers.h"

/** A number that was in force until a time. */
typedef struct
{
  guint n;
  QgTime until;
} Past;

struct _QgSharers
{
  QgTime window;
  QgTime started;
  guint n; /* in force; 0: not known */
  GArray
      *past; /* of Past, oldest first, each larger than the next and than n */
};

static void drop_older (QgSharers *sharers, QgTime now);

QgSharers *
qg_sharers_new (QgTime window, QgTime now)
{
  QgSharers *sharers = g_new0 (QgSharers, 1);

  sharers->window = window;
  sharers->started = now;
  sharers->past = g_array_new (FALSE, FALSE, sizeof (Past));
  return sharers;
}

void
qg_sharers_free (QgSharers *sharers)
{
  g_array_unref (sharers->past);
  g_free (sharers);
}

static void
drop_older (QgSharers *sharers, QgTime now)
{
  while (sharers->past->len > 0
         && g_array_index (sharers->past, Past, 0).until + sharers->window
                < now)
    g_array_remove_index (sharers->past, 0);
}

void
qg_sharers_set (QgSharers *sharers, guint n, QgTime now)
{
  Past before = { sharers->n, now };

  if (n == sharers->n)
    return;
  sharers->n = n;
  if (before.n > n)
    g_array_append_val (sharers->past, before);
  while (sharers->past->len > 0
         && g_array_index (sharers->past, Past, sharers->past->len - 1).n <= n)
    g_array_set_size (sharers->past, sharers->past->len - 1);
  drop_older (sharers, now);
}

guint
qg_sharers_count (QgSharers *sharers, QgTime now)
{
  if (sharers->n == 0)
    return QG_SHARERS_UNKNOWN;
  drop_older (sharers, now);
  return sharers->past->len > 0 ? g_array_index (sharers->past, Past, 0).n
                                : sharers->n;
}

gboolean
qg_sharers_is_settled (const QgSharers *sharers, QgTime now)
{
  return sharers->n > 0 && now - sharers->started >= sharers->window;
}
