#include "join.h"

#include <string.h>

struct _QgJoin
{
  char *name;
  guint wanted;
  QgTime ticked_at;    /* 0: not yet */
  QgTime listen_until; /* no member is removed before */
  GHashTable *members; /* name to the QgTime when it was last heard */
};

static gboolean is_no_member (gpointer key, gpointer value, gpointer user);
static QgTime silence (QgJoin *join, const char *name, QgTime now);

QgJoin *
qg_join_new (const char *name, guint wanted)
{
  QgJoin *join = g_new0 (QgJoin, 1);

  join->name = g_strdup (name);
  join->wanted = wanted;
  join->members
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return join;
}

void
qg_join_free (QgJoin *join)
{
  g_hash_table_unref (join->members);
  g_free (join->name);
  g_free (join);
}

void
qg_join_heard (QgJoin *join, const char *name, QgTime now)
{
  QgTime *heard = g_hash_table_lookup (join->members, name);

  if (heard != NULL)
    *heard = now;
}

static gboolean
is_no_member (gpointer key, gpointer value, gpointer user)
{
  const QgConsStatus *status = user;

  for (guint i = 0; i < status->n_members; i++)
    if (strcmp (status->members[i].name, key) == 0)
      return FALSE;
  return TRUE;
}

/* Counts from the first call for a member that was not known. */
static QgTime
silence (QgJoin *join, const char *name, QgTime now)
{
  QgTime *heard = g_hash_table_lookup (join->members, name);

  if (heard == NULL)
    {
      heard = g_new (QgTime, 1);
      *heard = now;
      g_hash_table_insert (join->members, g_strdup (name), heard);
    }
  return now - *heard;
}

const char *
qg_join_tick (QgJoin *join, const QgConsStatus *status, QgTime now)
{
  const char *replaced = NULL;
  QgTime longest = QG_JOIN_SILENCE - 1;
  guint voters = 0;

  if (join->ticked_at > 0 && now - join->ticked_at > QG_JOIN_TICK_MAX)
    join->listen_until = now + MIN (now - join->ticked_at, QG_JOIN_LISTEN_MAX);
  join->ticked_at = now;
  g_hash_table_foreach_remove (join->members, is_no_member, (gpointer)status);
  for (guint i = 0; i < status->n_members; i++)
    voters += status->members[i].voter ? 1 : 0;
  for (guint i = 0; i < status->n_members; i++)
    {
      const QgConsMemberInfo *info = &status->members[i];
      QgTime silent = silence (join, info->name, now);

      /* A learner that never returns costs the leader its log. */
      if (silent <= longest || strcmp (info->name, join->name) == 0
          || (info->voter ? voters : status->n_members) <= join->wanted)
        continue;
      replaced = info->name;
      longest = silent;
    }
  return now < join->listen_until ? NULL : replaced;
}
