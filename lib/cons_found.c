#include "libcons.h"

#include <string.h>

static void ask_peers (QgCons *cons);
static void append_first_members (QgCons *cons);
static Qg__ConsMembers *first_members (QgCons *cons, const char *address,
                                       const char *const *peers);
static guint all_members_mask (const QgCons *cons);

void
qg_cons_bootstrap (QgCons *cons, const char *address, const char *const *peers)
{
  if (cons_last_index (cons) > 0 || cons->hard.term > 0
      || cons->bootstrap_members != NULL)
    return;
  cons->bootstrap_members = first_members (cons, address, peers);
  cons->bootstrap_empty_mask = 1;
  cons->bootstrap_ask_at = cons->now;
  cons_bootstrap_tick (cons);
}

void
qg_cons_restore (QgCons *cons, const char *address, const char *const *peers)
{
  do
    cons->hard.disk = cons_random (cons);
  while (cons->hard.disk == 0);
  cons_bootstrap_cancel (cons);
  cons->bootstrap_members = first_members (cons, address, peers);
  append_first_members (cons);
}

/* The first membership: this member as the voter, the others as learners. */
static Qg__ConsMembers *
first_members (QgCons *cons, const char *address, const char *const *peers)
{
  Qg__ConsMembers *members = calloc (1, sizeof *members);
  Qg__ConsMember *self;

  if (members == NULL)
    g_error ("out of memory");
  qg__cons_members__init (members);
  self = cons_member_new (cons->name, address);
  self->disk = cons->hard.disk;
  self->voter = TRUE;
  cons_member_push (members, self);
  for (guint i = 0; peers != NULL && peers[i] != NULL; i++)
    {
      g_auto (GStrv) parts = g_strsplit (peers[i], "@", 2);

      if (parts[0] != NULL && parts[1] != NULL
          && strcmp (parts[0], cons->name) != 0
          && members->n_members < QG_CONS_MAX_MEMBERS)
        cons_member_push (members, cons_member_new (parts[0], parts[1]));
    }
  return members;
}

void
cons_bootstrap_cancel (QgCons *cons)
{
  if (cons->bootstrap_members != NULL)
    qg__cons_members__free_unpacked (cons->bootstrap_members, NULL);
  cons->bootstrap_members = NULL;
}

static guint
all_members_mask (const QgCons *cons)
{
  return (guint)((G_GUINT64_CONSTANT (1) << cons->bootstrap_members->n_members)
                 - 1);
}

void
cons_bootstrap_tick (QgCons *cons)
{
  if (cons->bootstrap_members == NULL)
    return;
  if (cons_last_index (cons) > 0 || cons->hard.term > 0)
    cons_bootstrap_cancel (cons);
  else if (cons->bootstrap_empty_mask == all_members_mask (cons))
    append_first_members (cons);
  else if (cons->now >= cons->bootstrap_ask_at)
    ask_peers (cons);
}

/* Sends a pre-vote request that names no folder, so that no peer grants it; the
 * answer contains the peer's term and the peer's last synced index. */
static void
ask_peers (QgCons *cons)
{
  cons->bootstrap_ask_at = cons->now + cons->opts.heartbeat;
  for (size_t i = 1; i < cons->bootstrap_members->n_members; i++)
    {
      Qg__ConsMsg *msg;

      if ((cons->bootstrap_empty_mask & (1u << i)) != 0)
        continue;
      msg = cons_msg_new (cons, QG__CONS_TYPE__CONS_PREVOTE_ASK);
      cons_send (cons, cons->bootstrap_members->members[i]->name, msg,
                 cons_hard_state_write (cons));
    }
}

/* msg->commit is 1 if the peer is bootstrapping a fleet too. */
void
cons_bootstrap_on_answer (QgCons *cons, const ConsPeer *peer,
                          const Qg__ConsMsg *msg)
{
  const Qg__ConsMembers *members = cons->bootstrap_members;

  if (members == NULL)
    return;
  if (msg->term > 0 || msg->stable > 0
      || (msg->commit == 1 && strcmp (peer->name, cons->name) < 0))
    {
      cons_bootstrap_cancel (cons);
      return;
    }
  for (size_t i = 1; i < members->n_members; i++)
    if (strcmp (members->members[i]->name, peer->name) == 0)
      cons->bootstrap_empty_mask |= 1u << i;
  cons_bootstrap_tick (cons);
}

static void
append_first_members (QgCons *cons)
{
  GBytes *packed = cons_members_pack (cons->bootstrap_members);

  cons_bootstrap_cancel (cons);
  cons_set_term (cons, cons->hard.term + 1);
  cons_log_append (
      cons, qg_cons_entry_new (cons_last_index (cons) + 1, cons->hard.term,
                               QG__CONS_KIND__CONS_MEMBERS, packed));
  g_bytes_unref (packed);
  cons_reset_election_timer (cons);
}
