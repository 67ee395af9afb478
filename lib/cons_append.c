#include "libcons.h"

#include "event.h"

#include <string.h>

static void send_append (QgCons *cons, ConsPeer *peer);
static guint add_entries (QgCons *cons, ConsPeer *peer, Qg__ConsMsg *msg);
static Qg__ConsEntry *pack_entry (const QgConsEntry *entry);
static void replicate_to (QgCons *cons, ConsPeer *peer);
static gboolean follow_sender (QgCons *cons, const char *from,
                               const Qg__ConsMsg *msg);
static guint64 conflict_hint (QgCons *cons, guint64 index);
static gboolean append_received (QgCons *cons, const Qg__ConsMsg *msg);
static void set_commit (QgCons *cons, guint64 index);
static guint64 match_value (const ConsPeer *peer);
static gboolean quorum_synced (QgCons *cons, const ConsConfig *config,
                               guint64 index);
static guint64 echo_value (const ConsPeer *peer);

void
cons_peer_reset (QgCons *cons, ConsPeer *peer)
{
  peer->mode = PEER_PROBE;
  peer->match = 0;
  peer->next = cons_last_index (cons) + 1;
  peer->probe_until = 0;
  peer->echoed_time = 0;
  peer->heartbeat_due = TRUE;
  cons_peer_snapshot_clear (peer);
}

/* Called with a quorum of synced votes. Appends an empty entry, because only an
 * entry of the new term may advance the commit index. */
void
cons_become_leader (QgCons *cons)
{
  GBytes *empty = g_bytes_new_static ("", 0);

  qg_event (QG_EV_CONS_LEADER, "%s, term %" G_GUINT64_FORMAT, cons->name,
            cons->hard.term);
  cons->role = QG_CONS_LEADER;
  g_clear_pointer (&cons->leader, g_ref_string_release);
  cons->lead_since = cons->now;
  cons->leased_at = cons->now;
  cons->heartbeat_at = cons->now + cons->opts.heartbeat;
  for (guint i = 0; i < cons->peers->len; i++)
    cons_peer_reset (cons, cons->peers->pdata[i]);
  cons_append_as_leader (cons, QG__CONS_KIND__CONS_NOOP, empty);
  cons->first_own_index = cons_last_index (cons);
  g_bytes_unref (empty);
}

gboolean
cons_append_as_leader (QgCons *cons, Qg__ConsKind kind, GBytes *data)
{
  QgConsEntry *entry = qg_cons_entry_new (cons_last_index (cons) + 1,
                                          cons->hard.term, kind, data);

  return cons_log_append (cons, entry);
}

QgStatus
qg_cons_propose (QgCons *cons, GBytes *command, guint64 *index, guint64 *term,
                 QgErr *err)
{
  guint64 backlog;

  if (cons->role != QG_CONS_LEADER)
    return qg_fail (err, QG_E_NOT_LEADER, "ask the leader%s%s",
                    cons->leader != NULL ? ": " : "",
                    cons->leader != NULL ? cons->leader : "");
  backlog = cons_log_position (cons, cons_last_index (cons))
            - cons_log_position (cons, cons->commit);
  if (backlog > cons->opts.backlog_bytes)
    return qg_fail (err, QG_E_OVERLOADED,
                    "%" G_GUINT64_FORMAT " bytes are not committed yet",
                    backlog);
  if (!cons_append_as_leader (cons, QG__CONS_KIND__CONS_COMMAND, command))
    return qg_fail (err, QG_E_INTERNAL, "the command was not appended");
  *index = cons_last_index (cons);
  *term = cons->hard.term;
  return QG_OK;
}

/* Sends each member the entries that it lacks, as long as fewer than
 * inflight_bytes are unacknowledged by this member. */
void
cons_replicate (QgCons *cons)
{
  const Qg__ConsMembers *members = cons_config (cons)->members;

  for (size_t i = 0; i < members->n_members; i++)
    if (strcmp (members->members[i]->name, cons->name) != 0)
      replicate_to (cons, cons_peer (cons, members->members[i]->name));
}

static void
replicate_to (QgCons *cons, ConsPeer *peer)
{
  guint64 last = cons_last_index (cons);

  if (peer->mode == PEER_STREAM && peer->next <= cons->base)
    peer->mode = PEER_PROBE;
  if (peer->mode == PEER_PROBE
      && (peer->heartbeat_due || cons->now >= peer->probe_until))
    {
      if (peer->next <= cons->base && cons_send_chunk (cons, peer))
        return;
      send_append (cons, peer);
      peer->probe_until = cons->now + 4 * cons->opts.heartbeat;
      return;
    }
  if (peer->mode == PEER_SNAPSHOT && peer->heartbeat_due)
    {
      cons_send_chunk (cons, peer);
      send_append (cons, peer);
      return;
    }
  while (peer->mode == PEER_STREAM && peer->next <= last
         && cons_log_position (cons, peer->next - 1)
                    - cons_log_position (cons, peer->match)
                < cons->opts.inflight_bytes)
    send_append (cons, peer);
  if (peer->mode == PEER_STREAM && peer->heartbeat_due)
    send_append (cons, peer);
}

/* Sends an append; an append without entries is a heartbeat. A probe carries no
 * entries, so that nothing large is sent before a common entry is found. */
static void
send_append (QgCons *cons, ConsPeer *peer)
{
  Qg__ConsMsg *msg = cons_msg_new (cons, QG__CONS_TYPE__CONS_APPEND);
  guint64 prev = MAX (peer->next - 1, cons->base);

  peer->heartbeat_due = FALSE;
  msg->index = prev;
  msg->index_term = cons_term_at (cons, prev);
  msg->commit = cons->commit;
  msg->sent_us = (guint64)cons->now;
  if (peer->mode == PEER_STREAM)
    peer->next += add_entries (cons, peer, msg);
  cons_send (cons, peer->name, msg, 0);
}

static guint
add_entries (QgCons *cons, ConsPeer *peer, Qg__ConsMsg *msg)
{
  guint64 last = cons_last_index (cons);
  guint64 from = cons_log_position (cons, peer->next - 1);
  guint n = 0;

  while (peer->next + n <= last && n < cons->opts.batch_entries
         && cons_log_position (cons, peer->next + n - 1) - from
                < cons->opts.batch_bytes)
    n++;
  if (n == 0)
    return 0;
  msg->entries = calloc (n, sizeof (Qg__ConsEntry *));
  if (msg->entries == NULL)
    g_error ("out of memory");
  msg->n_entries = n;
  for (guint i = 0; i < n; i++)
    msg->entries[i] = pack_entry (cons_entry (cons, peer->next + i));
  return n;
}

static Qg__ConsEntry *
pack_entry (const QgConsEntry *entry)
{
  Qg__ConsEntry *packed = malloc (sizeof *packed);
  gsize len;
  const void *data = g_bytes_get_data (entry->data, &len);

  if (packed == NULL)
    g_error ("out of memory");
  qg__cons_entry__init (packed);
  packed->index = entry->index;
  packed->term = entry->term;
  packed->kind = entry->kind;
  if (len == 0)
    return packed;
  packed->data.data = malloc (len);
  if (packed->data.data == NULL)
    g_error ("out of memory");
  memcpy (packed->data.data, data, len);
  packed->data.len = len;
  return packed;
}

/* Whether the sender leads the current term. If so, this member becomes its
 * follower and restarts the election timeout. */
static gboolean
follow_sender (QgCons *cons, const char *from, const Qg__ConsMsg *msg)
{
  if (msg->term < cons->hard.term)
    return FALSE;
  if (!qg_check_invariant (cons->role != QG_CONS_LEADER, QG_EV_INV_ONE_LEADER,
                           "%s leads term %" G_GUINT64_FORMAT " too", from,
                           msg->term))
    return FALSE;
  if (!qg_check_invariant (
          cons->leader == NULL || strcmp (cons->leader, from) == 0,
          QG_EV_INV_ONE_LEADER, "%s and %s lead term %" G_GUINT64_FORMAT,
          cons->leader, from, msg->term))
    return FALSE;
  if (cons->leader == NULL || cons->role != QG_CONS_FOLLOWER)
    cons_become_follower (cons, from);
  cons->last_leader_contact = cons->now;
  cons->known_commit = MAX (cons->known_commit, msg->commit);
  cons_reset_election_timer (cons);
  return TRUE;
}

/* Last index at which the logs may agree: the index before the entries of the
 * conflicting term. */
static guint64
conflict_hint (QgCons *cons, guint64 index)
{
  guint64 term;

  if (index > cons_last_index (cons))
    return cons_last_index (cons);
  if (index <= cons->base)
    return cons->base;
  term = cons_term_at (cons, index);
  while (index > cons->commit && index > cons->base
         && cons_term_at (cons, index) == term)
    index--;
  return index;
}

void
cons_on_append (QgCons *cons, const char *from, const Qg__ConsMsg *msg)
{
  Qg__ConsMsg *reply = cons_msg_new (cons, QG__CONS_TYPE__CONS_APPENDED);
  guint64 after_write;

  reply->sent_us = msg->sent_us;
  if (!follow_sender (cons, from, msg))
    {
      reply->reject = TRUE;
      reply->sent_us = 0;
      cons_send (cons, from, reply, cons_hard_state_write (cons));
      return;
    }
  if (msg->index > cons->base
      && (msg->index > cons_last_index (cons)
          || cons_term_at (cons, msg->index) != msg->index_term))
    {
      reply->reject = TRUE;
      reply->index = conflict_hint (cons, msg->index);
      cons_send (cons, from, reply, cons_hard_state_write (cons));
      return;
    }
  after_write = cons_hard_state_write (cons);
  if (msg->n_entries > 0)
    after_write
        = append_received (cons, msg) ? cons_pending_write (cons) : after_write;
  else
    cons->verified = MAX (cons->verified, msg->index);
  set_commit (cons, MIN (msg->commit, cons->verified));
  cons_send (cons, from, reply, after_write);
}

/* Appends the new entries. A local entry that differs from the received entry
 * is removed, together with all entries after it. */
static gboolean
append_received (QgCons *cons, const Qg__ConsMsg *msg)
{
  for (size_t i = 0; i < msg->n_entries; i++)
    {
      const Qg__ConsEntry *e = msg->entries[i];
      GBytes *data;
      gboolean ok;

      if (e->index != msg->index + 1 + i)
        return FALSE;
      if (e->index <= cons->base || cons_term_at (cons, e->index) == e->term)
        {
          cons->verified = MAX (cons->verified, e->index);
          continue;
        }
      if (e->index <= cons_last_index (cons)
          && !cons_log_truncate (cons, e->index))
        return FALSE;
      data = g_bytes_new (e->data.data, e->data.len);
      ok = cons_log_append (
          cons, qg_cons_entry_new (e->index, e->term, e->kind, data));
      g_bytes_unref (data);
      if (!ok)
        return FALSE;
      cons->verified = MAX (cons->verified, e->index);
    }
  return TRUE;
}

static void
set_commit (QgCons *cons, guint64 index)
{
  cons->commit = MAX (cons->commit, MIN (index, cons_last_index (cons)));
}

void
cons_on_appended (QgCons *cons, ConsPeer *peer, const Qg__ConsMsg *msg)
{
  if (cons->role != QG_CONS_LEADER || msg->term != cons->hard.term)
    return;
  peer->echoed_time = MAX (peer->echoed_time, (QgTime)msg->sent_us);
  if (msg->reject)
    {
      if (peer->mode == PEER_SNAPSHOT && msg->index < peer->snapshot->index)
        return;
      cons_peer_snapshot_clear (peer);
      peer->next
          = MAX (MIN (msg->index, cons_last_index (cons)), peer->match) + 1;
      peer->mode = PEER_PROBE;
      peer->probe_until = 0;
      return;
    }
  peer->match = MAX (peer->match, MIN (msg->index, cons_last_index (cons)));
  if (peer->mode == PEER_SNAPSHOT && peer->match < peer->snapshot->index)
    return;
  if (peer->mode == PEER_SNAPSHOT)
    cons_peer_snapshot_clear (peer);
  if (peer->mode != PEER_STREAM)
    peer->next = peer->match + 1;
  if (peer->next > cons->base)
    peer->mode = PEER_STREAM;
  peer->next = MAX (peer->next, peer->match + 1);
  cons_advance_commit (cons);
}

static guint64
match_value (const ConsPeer *peer)
{
  return peer->match;
}

static guint64
echo_value (const ConsPeer *peer)
{
  return (guint64)peer->echoed_time;
}

/* Whether a quorum of @config has synced @index. Counts without
 * cons_quorum_value(), so that an error in that function is noticed. */
static gboolean
quorum_synced (QgCons *cons, const ConsConfig *config, guint64 index)
{
  guint voters = 0;
  guint have = 0;

  for (size_t i = 0; i < config->members->n_members; i++)
    {
      const Qg__ConsMember *m = config->members->members[i];
      gboolean self = strcmp (m->name, cons->name) == 0;
      const ConsPeer *peer = self ? NULL : cons_peer (cons, m->name);

      if (!m->voter)
        continue;
      voters++;
      if (self)
        have += m->disk == cons->hard.disk && cons->stable >= index;
      else
        have += m->disk == peer->disk && peer->match >= index;
    }
  return 2 * have > voters;
}

/* Commits the entries that a quorum has synced. Only an entry of the current
 * term advances the commit index; its commit includes all earlier entries. */
void
cons_advance_commit (QgCons *cons)
{
  const ConsConfig *config = cons_config (cons);
  guint64 reached = cons_quorum_value (cons, config, cons->stable, match_value);

  if (reached <= cons->commit
      || cons_term_at (cons, reached) != cons->hard.term)
    return;
  if (!qg_check_invariant (
          quorum_synced (cons, config, reached), QG_EV_INV_QUORUM,
          "index %" G_GUINT64_FORMAT " is not synced on a quorum", reached))
    return;
  cons->commit = reached;
  if (config->index <= cons->commit
      && cons_config_find (config, cons->name) == NULL)
    cons_become_follower (cons, NULL);
}

/* Latest time, on the leader's clock, such that a quorum has answered messages
 * sent at this time or later; 0 if a quorum has not answered yet. */
QgTime
cons_quorum_answered_time (QgCons *cons, const ConsConfig *config)
{
  return (QgTime)cons_quorum_value (cons, config, (guint64)cons->now,
                                    echo_value);
}
