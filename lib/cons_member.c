#include "libcons.h"

#include "event.h"

#include <string.h>

static Qg__ConsMembers *copy_members (const ConsConfig *config);
static QgStatus append_members (QgCons *cons, Qg__ConsMembers *members,
                                QgErr *err);
static gboolean caught_up (QgCons *cons, const Qg__ConsMember *member);
static gboolean has_new_disk (QgCons *cons, const Qg__ConsMember *member);

void
cons_config_clear (gpointer data)
{
  ConsConfig *config = data;

  g_bytes_unref (config->packed);
  qg__cons_members__free_unpacked (config->members, NULL);
}

ConsConfig *
cons_config (const QgCons *cons)
{
  return &g_array_index (cons->configs, ConsConfig, cons->configs->len - 1);
}

Qg__ConsMember *
cons_members_find (const Qg__ConsMembers *members, const char *name)
{
  for (size_t i = 0; i < members->n_members; i++)
    if (strcmp (members->members[i]->name, name) == 0)
      return members->members[i];
  return NULL;
}

const Qg__ConsMember *
cons_config_find (const ConsConfig *config, const char *name)
{
  return cons_members_find (config->members, name);
}

gboolean
cons_config_add (QgCons *cons, guint64 index, GBytes *packed)
{
  gsize len;
  const guint8 *data = g_bytes_get_data (packed, &len);
  ConsConfig config;

  config.members = qg__cons_members__unpack (NULL, len, data);
  if (config.members == NULL)
    return FALSE;
  config.index = index;
  config.packed = g_bytes_ref (packed);
  g_array_append_val (cons->configs, config);
  return TRUE;
}

void
cons_config_truncate (QgCons *cons, guint64 from)
{
  while (cons->configs->len > 1 && cons_config (cons)->index >= from)
    g_array_set_size (cons->configs, cons->configs->len - 1);
}

gboolean
cons_is_voter (QgCons *cons)
{
  const Qg__ConsMember *m = cons_config_find (cons_config (cons), cons->name);

  return m != NULL && m->voter && m->disk == cons->hard.disk;
}

gboolean
cons_counts_in_quorum (const ConsConfig *config, const ConsPeer *peer)
{
  const Qg__ConsMember *m = cons_config_find (config, peer->name);

  return m != NULL && m->voter && m->disk != 0 && m->disk == peer->disk;
}

/* The value of a voter counts as 0 if its folder is not the recorded folder, or
 * if the voter has not sent a message yet. */
guint64
cons_quorum_value (QgCons *cons, const ConsConfig *config, guint64 self,
                   guint64 (*value) (const ConsPeer *))
{
  guint64 values[QG_CONS_MAX_MEMBERS];
  guint n = 0;

  for (size_t i = 0; i < config->members->n_members; i++)
    {
      const Qg__ConsMember *m = config->members->members[i];
      const ConsPeer *peer;
      guint64 v = 0;
      guint at;

      if (!m->voter || n == QG_CONS_MAX_MEMBERS)
        continue;
      if (strcmp (m->name, cons->name) == 0)
        v = m->disk == cons->hard.disk ? self : 0;
      else
        {
          peer = cons_peer (cons, m->name);
          v = cons_counts_in_quorum (config, peer) ? value (peer) : 0;
        }
      for (at = n; at > 0 && values[at - 1] < v; at--)
        values[at] = values[at - 1];
      values[at] = v;
      n++;
    }
  return n == 0 ? 0 : values[n / 2];
}

GBytes *
cons_members_pack (const Qg__ConsMembers *members)
{
  size_t len = qg__cons_members__get_packed_size (members);
  guint8 *data = g_malloc (len + 1);

  qg__cons_members__pack (members, data);
  return g_bytes_new_take (data, len);
}

static Qg__ConsMembers *
copy_members (const ConsConfig *config)
{
  gsize len;
  const guint8 *data = g_bytes_get_data (config->packed, &len);

  return qg__cons_members__unpack (NULL, len, data);
}

/* Allocates with malloc(), because protobuf-c frees the result. */
Qg__ConsMember *
cons_member_new (const char *name, const char *address)
{
  Qg__ConsMember *m = calloc (1, sizeof *m);

  if (m == NULL)
    g_error ("out of memory");
  qg__cons_member__init (m);
  m->name = strdup (name);
  m->address = strdup (address);
  return m;
}

void
cons_member_push (Qg__ConsMembers *members, Qg__ConsMember *member)
{
  size_t n = members->n_members;
  Qg__ConsMember **list = realloc (members->members, (n + 1) * sizeof *list);

  if (list == NULL)
    g_error ("out of memory");
  list[n] = member;
  members->members = list;
  members->n_members = n + 1;
}

/* Appends a new membership; takes over members. */
static QgStatus
append_members (QgCons *cons, Qg__ConsMembers *members, QgErr *err)
{
  GBytes *packed = cons_members_pack (members);
  gboolean ok;

  qg__cons_members__free_unpacked (members, NULL);
  ok = cons_append_as_leader (cons, QG__CONS_KIND__CONS_MEMBERS, packed);
  g_bytes_unref (packed);
  if (!ok)
    return qg_fail (err, QG_E_INTERNAL, "the membership was not appended");
  qg_event (QG_EV_CONS_MEMBERS, "membership at index %" G_GUINT64_FORMAT,
            cons_last_index (cons));
  return QG_OK;
}

/* Allows one change at a time: the previous change and an entry of this term
 * must be committed, so that the quorums of successive memberships always
 * overlap. */
static QgStatus
check_may_change (QgCons *cons, QgErr *err)
{
  if (cons->role != QG_CONS_LEADER)
    return qg_fail (err, QG_E_NOT_LEADER, "ask the leader%s%s",
                    cons->leader != NULL ? ": " : "",
                    cons->leader != NULL ? cons->leader : "");
  if (cons->commit < cons->first_own_index
      || cons_config (cons)->index > cons->commit)
    return qg_fail (err, QG_E_CONFLICT,
                    "another membership change is in progress; try again");
  return QG_OK;
}

QgStatus
qg_cons_member_add (QgCons *cons, const char *name, const char *address,
                    QgErr *err)
{
  QgStatus status = check_may_change (cons, err);
  Qg__ConsMembers *members;

  if (status != QG_OK)
    return status;
  if (cons_config_find (cons_config (cons), name) != NULL)
    return qg_fail (err, QG_E_CONFLICT, "%s is already a member", name);
  if (cons_config (cons)->members->n_members >= QG_CONS_MAX_MEMBERS)
    return qg_fail (err, QG_E_TOO_LARGE, "too many members; remove one first");
  members = copy_members (cons_config (cons));
  cons_member_push (members, cons_member_new (name, address));
  return append_members (cons, members, err);
}

QgStatus
qg_cons_member_remove (QgCons *cons, const char *name, QgErr *err)
{
  QgStatus status = check_may_change (cons, err);
  Qg__ConsMembers *members;
  guint voters = 0;
  size_t at = 0;

  if (status != QG_OK)
    return status;
  if (cons_config_find (cons_config (cons), name) == NULL)
    return qg_fail (err, QG_E_NOT_FOUND, "%s is not a member", name);
  members = copy_members (cons_config (cons));
  for (size_t i = 0; i < members->n_members; i++)
    if (strcmp (members->members[i]->name, name) == 0)
      at = i;
    else
      voters += members->members[i]->voter ? 1 : 0;
  if (voters == 0)
    {
      qg__cons_members__free_unpacked (members, NULL);
      return qg_fail (err, QG_E_INVALID, "%s is the last voter; add one first",
                      name);
    }
  qg__cons_member__free_unpacked (members->members[at], NULL);
  members->members[at] = members->members[--members->n_members];
  return append_members (cons, members, err);
}

/* Whether a learner has synced all entries that were committed at the last
 * heartbeat. The match index of a peer covers synced entries only. */
static gboolean
caught_up (QgCons *cons, const Qg__ConsMember *member)
{
  const ConsPeer *peer = cons_peer (cons, member->name);

  return !member->voter && member->disk != 0 && member->disk == peer->disk
         && peer->match >= cons->heartbeat_commit && peer->match > 0
         && cons->now - peer->last_contact < cons->opts.election_min;
}

/* Whether the last message under this name is recent and came from a folder
 * other than the recorded one. Does not check that the recorded folder is
 * silent, so if two processes use one name, the folder of each in turn replaces
 * the folder of the other process. */
static gboolean
has_new_disk (QgCons *cons, const Qg__ConsMember *member)
{
  const ConsPeer *peer = cons_peer (cons, member->name);

  return peer->disk != 0 && peer->disk != member->disk
         && cons->now - peer->last_contact < cons->opts.election_min;
}

/* Leader only: records a new folder as a learner, or promotes a learner that
 * has caught up. */
void
cons_members_update (QgCons *cons)
{
  const Qg__ConsMembers *current = cons_config (cons)->members;
  Qg__ConsMembers *next;

  if (check_may_change (cons, NULL) != QG_OK)
    return;
  for (size_t i = 0; i < current->n_members; i++)
    {
      const Qg__ConsMember *m = current->members[i];
      gboolean new_disk;

      if (strcmp (m->name, cons->name) == 0)
        continue;
      new_disk = has_new_disk (cons, m);
      if (!new_disk && !caught_up (cons, m))
        continue;
      next = copy_members (cons_config (cons));
      next->members[i]->voter = !new_disk;
      next->members[i]->disk = cons_peer (cons, m->name)->disk;
      append_members (cons, next, NULL);
      return;
    }
}
