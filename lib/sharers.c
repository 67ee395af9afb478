#include "sharers.h"

struct _QgSharers
{
  QgTime window;
  QgTime answered;     /* when the last answered question was sent */
  QgTime counted_from; /* when the others count this process at the latest */
  QgTime settled_from;
  gboolean known;     /* a list has come */
  GHashTable *others; /* name to QgTime: when it was no longer listed;
                         G_MAXINT64 while it is */
};

static QgTime absence (const QgSharers *sharers);
static gboolean is_counted (const QgSharers *sharers, QgTime now);

QgSharers *
qg_sharers_new (QgTime window)
{
  QgSharers *sharers = g_new0 (QgSharers, 1);

  sharers->window = window;
  sharers->answered = G_MININT64 / 2;
  sharers->others
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return sharers;
}

void
qg_sharers_free (QgSharers *sharers)
{
  g_hash_table_unref (sharers->others);
  g_free (sharers);
}

/* An absence that is shorter changes no part of the others. Questions are sent
 * less often than once in a short window. */
static QgTime
absence (const QgSharers *sharers)
{
  return MAX (sharers->window, QG_SHARERS_CONTACT);
}

/* Whether the others count this process, and it counts them. */
static gboolean
is_counted (const QgSharers *sharers, QgTime now)
{
  return now >= sharers->counted_from
         && qg_belief_holds (QG_BELIEF_LISTED, sharers->answered, now);
}

void
qg_sharers_set (QgSharers *sharers, const char *const *names, guint n,
                QgTime now)
{
  GHashTableIter iter;
  gpointer until;

  sharers->known = TRUE;
  g_hash_table_iter_init (&iter, sharers->others);
  while (g_hash_table_iter_next (&iter, NULL, &until))
    *(QgTime *)until = MIN (*(QgTime *)until, now);
  for (guint i = 0; i < n; i++)
    {
      QgTime listed = G_MAXINT64;

      g_hash_table_replace (sharers->others, g_strdup (names[i]),
                            g_memdup2 (&listed, sizeof listed));
    }
}

void
qg_sharers_answered (QgSharers *sharers, QgTime asked)
{
  QgTime gap = asked - sharers->answered;

  if (gap >= QG_SHARERS_CONTACT)
    sharers->counted_from = asked + QG_SHARERS_CONTACT;
  if (gap >= absence (sharers))
    sharers->settled_from = sharers->counted_from + sharers->window;
  sharers->answered = MAX (sharers->answered, asked);
}

guint
qg_sharers_count (QgSharers *sharers, QgTime now)
{
  QgTime before = now - absence (sharers) - QG_SHARERS_CONTACT;
  GHashTableIter iter;
  gpointer until;

  if (!sharers->known)
    return QG_SHARERS_UNKNOWN;
  g_hash_table_iter_init (&iter, sharers->others);
  while (g_hash_table_iter_next (&iter, NULL, &until))
    if (*(QgTime *)until < before)
      g_hash_table_iter_remove (&iter);
  return g_hash_table_size (sharers->others) + 1;
}

guint
qg_sharers_count_loose (QgSharers *sharers, QgTime now)
{
  return qg_sharers_count (sharers, now) * (is_counted (sharers, now) ? 1 : 2);
}

gboolean
qg_sharers_is_settled (const QgSharers *sharers, QgTime now)
{
  return sharers->known && is_counted (sharers, now)
         && now >= sharers->settled_from;
}
