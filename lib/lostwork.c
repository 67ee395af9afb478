#include "lostwork.h"

struct _QgLostWork
{
  GHashTable *agents; /* name to Lost */
};

typedef struct
{
  QgLostCrash *crash;
  gboolean alone; /* of the last request */
  QgTime at;      /* when the last request was lost */
} Lost;

static void free_lost (gpointer data);
static gboolean is_old (const Lost *lost, QgTime now);
static gboolean make_room (QgLostWork *work, QgTime now);
static Lost *find_or_add (QgLostWork *work, const QgLostRequest *request,
                          QgTime now);

QgLostWork *
qg_lost_work_new (void)
{
  QgLostWork *work = g_new0 (QgLostWork, 1);

  work->agents
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_lost);
  return work;
}

void
qg_lost_work_free (QgLostWork *work)
{
  g_hash_table_unref (work->agents);
  g_free (work);
}

void
qg_lost_work_add (QgLostWork *work, const QgLostRequest *request, QgTime now)
{
  Lost *lost = find_or_add (work, request, now);

  if (lost == NULL
      || lost->crash->fingerprints->len == QG_POISON_MAX_CRASH_FINGERPRINTS)
    return;
  g_ptr_array_add (
      lost->crash->fingerprints,
      g_memdup2 (request->fingerprint, QG_POISON_FINGERPRINT_BYTES));
  lost->crash->sound = request->sound;
  lost->alone = request->alone;
  lost->at = now;
}

QgLostCrash *
qg_lost_work_connected (QgLostWork *work, const char *agent,
                        guint64 incarnation, QgTime now)
{
  const Lost *lost = g_hash_table_lookup (work->agents, agent);
  QgLostCrash *crash = NULL;

  if (lost == NULL)
    return NULL;
  if (lost->crash->incarnation != incarnation && !is_old (lost, now))
    {
      GPtrArray *prints = lost->crash->fingerprints;

      if (prints->len == 1 && !lost->alone)
        g_ptr_array_add (
            prints, g_memdup2 (prints->pdata[0], QG_POISON_FINGERPRINT_BYTES));
      crash = g_new0 (QgLostCrash, 1);
      crash->service = g_strdup (lost->crash->service);
      crash->incarnation = lost->crash->incarnation;
      crash->fingerprints = g_ptr_array_ref (prints);
      crash->sound = lost->crash->sound;
    }
  g_hash_table_remove (work->agents, agent);
  return crash;
}

void
qg_lost_crash_free (QgLostCrash *crash)
{
  g_free (crash->service);
  g_ptr_array_unref (crash->fingerprints);
  g_free (crash);
}

static void
free_lost (gpointer data)
{
  Lost *lost = data;

  qg_lost_crash_free (lost->crash);
  g_free (lost);
}

static gboolean
is_old (const Lost *lost, QgTime now)
{
  return now - lost->at > QG_LOST_WORK_RETENTION;
}

static gboolean
make_room (QgLostWork *work, QgTime now)
{
  GHashTableIter iter;
  gpointer value;

  if (g_hash_table_size (work->agents) < QG_LOST_WORK_MAX_AGENTS)
    return TRUE;
  g_hash_table_iter_init (&iter, work->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_old (value, now))
      g_hash_table_iter_remove (&iter);
  return g_hash_table_size (work->agents) < QG_LOST_WORK_MAX_AGENTS;
}

/* The requests that were lost with the same process, or NULL if there is no
 * room. Those of another process are forgotten. */
static Lost *
find_or_add (QgLostWork *work, const QgLostRequest *request, QgTime now)
{
  Lost *lost = g_hash_table_lookup (work->agents, request->agent);

  if (lost != NULL && lost->crash->incarnation == request->incarnation
      && !is_old (lost, now))
    return lost;
  if (lost == NULL && !make_room (work, now))
    return NULL;
  lost = g_new0 (Lost, 1);
  lost->crash = g_new0 (QgLostCrash, 1);
  lost->crash->service = g_strdup (request->service);
  lost->crash->incarnation = request->incarnation;
  lost->crash->fingerprints = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_replace (work->agents, g_strdup (request->agent), lost);
  return lost;
}
