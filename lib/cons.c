#include "libcons.h"

#include <string.h>

#include "event.h"

#define DEFAULT_HEARTBEAT      (50 * QG_MSEC)
#define DEFAULT_ELECTION_MIN   (500 * QG_MSEC)
#define DEFAULT_ELECTION_MAX   (1000 * QG_MSEC)
#define DEFAULT_DRIFT_PPM      10000
#define DEFAULT_BATCH_ENTRIES  1024
#define DEFAULT_BATCH_BYTES    (256 * 1024)
#define DEFAULT_INFLIGHT_BYTES (1024 * 1024)
#define DEFAULT_BACKLOG_BYTES  (8 * 1024 * 1024)
#define DEFAULT_CHUNK_BYTES    (256 * 1024)
#define DEFAULT_KEEP_ENTRIES   1024
#define DEFAULT_KEEP_BYTES     (4 * 1024 * 1024)
#define DEFAULT_DISK_TIMEOUT   (2 * QG_SEC)
#define PPM                    1000000

typedef void (*MessageHandler) (QgCons *cons, ConsPeer *peer,
                                const Qg__ConsMsg *msg);

static void fill_defaults (QgConsOptions *opts);
static void load_state (QgCons *cons, QgConsState *state);
static void peer_free (gpointer data);
static void queued_free (gpointer data);
static gboolean accept_disk (QgCons *cons, ConsPeer *peer,
                             const Qg__ConsMsg *msg);
static void record_disk (QgCons *cons, ConsPeer *peer, const Qg__ConsMsg *msg);
static void send_rolled_back (QgCons *cons, ConsPeer *peer,
                              const Qg__ConsMsg *msg);
static void on_rolled_back (QgCons *cons, ConsPeer *peer,
                            const Qg__ConsMsg *msg);
static void on_vote_ask (QgCons *cons, ConsPeer *peer, const Qg__ConsMsg *msg);
static void on_append (QgCons *cons, ConsPeer *peer, const Qg__ConsMsg *msg);
static void on_snap (QgCons *cons, ConsPeer *peer, const Qg__ConsMsg *msg);
static void update_term (QgCons *cons, const Qg__ConsMsg *msg);
static void leader_tick (QgCons *cons);

static const MessageHandler handlers[] = {
  [QG__CONS_TYPE__CONS_PREVOTE_ASK] = on_vote_ask,
  [QG__CONS_TYPE__CONS_PREVOTE] = cons_on_vote,
  [QG__CONS_TYPE__CONS_VOTE_ASK] = on_vote_ask,
  [QG__CONS_TYPE__CONS_VOTE] = cons_on_vote,
  [QG__CONS_TYPE__CONS_APPEND] = on_append,
  [QG__CONS_TYPE__CONS_APPENDED] = cons_on_appended,
  [QG__CONS_TYPE__CONS_SNAP] = on_snap,
  [QG__CONS_TYPE__CONS_SNAP_GOT] = cons_on_snap_got,
  [QG__CONS_TYPE__CONS_ROLLED_BACK] = on_rolled_back,
};

static const char *const role_names[QG_N_CONS_ROLES] = {
  [QG_CONS_FOLLOWER] = "follower",
  [QG_CONS_PRECANDIDATE] = "precandidate",
  [QG_CONS_CANDIDATE] = "candidate",
  [QG_CONS_LEADER] = "leader",
};

const char *
qg_cons_role_name (QgConsRole role)
{
  return (unsigned int)role < QG_N_CONS_ROLES ? role_names[role] : "unknown";
}

static void
fill_defaults (QgConsOptions *opts)
{
#define FILL(field, value)                                                     \
  do                                                                           \
    {                                                                          \
      if (opts->field == 0)                                                    \
        opts->field = (value);                                                 \
    }                                                                          \
  while (0)
  FILL (heartbeat, DEFAULT_HEARTBEAT);
  FILL (election_min, DEFAULT_ELECTION_MIN);
  FILL (election_max, MAX (DEFAULT_ELECTION_MAX, 2 * opts->election_min));
  FILL (drift_ppm, DEFAULT_DRIFT_PPM);
  FILL (batch_entries, DEFAULT_BATCH_ENTRIES);
  FILL (batch_bytes, DEFAULT_BATCH_BYTES);
  FILL (inflight_bytes, DEFAULT_INFLIGHT_BYTES);
  FILL (backlog_bytes, DEFAULT_BACKLOG_BYTES);
  FILL (chunk_bytes, DEFAULT_CHUNK_BYTES);
  FILL (keep_entries, DEFAULT_KEEP_ENTRIES);
  FILL (keep_bytes, DEFAULT_KEEP_BYTES);
  FILL (disk_timeout, DEFAULT_DISK_TIMEOUT);
#undef FILL
}

QgCons *
qg_cons_new (const QgConsOptions *opts, QgConsState *state, QgTime now)
{
  QgCons *cons = g_new0 (QgCons, 1);

  cons->refs = 1;
  cons->opts = *opts;
  fill_defaults (&cons->opts);
  cons->name = qg_str_new (opts->name);
  cons->opts.name = cons->name;
  cons->address = qg_str_new (opts->address != NULL ? opts->address : "");
  cons->rng = opts->seed;
  cons->now = now;
  cons->peers = g_ptr_array_new_with_free_func (peer_free);
  cons->log
      = g_ptr_array_new_with_free_func ((GDestroyNotify)qg_cons_entry_unref);
  cons->configs = g_array_new (FALSE, TRUE, sizeof (ConsConfig));
  g_array_set_clear_func (cons->configs, cons_config_clear);
  g_queue_init (&cons->out);
  cons_founders_init (cons);
  load_state (cons, state);
  cons_found_start (cons);
  cons->hard.boot++;
  cons->hard.nonce = cons_random (cons);
  cons->hard_dirty = TRUE;
  cons->last_leader_contact = now;
  cons_reset_election_timer (cons);
  return cons;
}

static void
load_state (QgCons *cons, QgConsState *state)
{
  QgConsSnapshot *snapshot = g_steal_pointer (&state->snapshot);
  GPtrArray *entries = g_steal_pointer (&state->entries);

  cons->hard = state->hard;
  cons->synced_term = state->hard.term;
  memset (&state->hard, 0, sizeof state->hard);
  cons_log_reset (cons, snapshot);
  for (guint i = 0; entries != NULL && i < entries->len; i++)
    cons_log_append (cons, qg_cons_entry_ref (entries->pdata[i]));
  cons->stable = cons->submitted = cons_last_index (cons);
  cons->applied = 0;
  cons->install_apply_pending = snapshot != NULL;
  if (entries != NULL)
    g_ptr_array_unref (entries);
  if (snapshot != NULL)
    qg_cons_snapshot_unref (snapshot);
}

QgCons *
qg_cons_ref (QgCons *cons)
{
  cons->refs++;
  return cons;
}

void
qg_cons_unref (QgCons *cons)
{
  if (--cons->refs > 0)
    return;
  g_ptr_array_unref (cons->peers);
  g_ptr_array_unref (cons->log);
  g_array_unref (cons->configs);
  g_queue_clear_full (&cons->out, queued_free);
  if (cons->snapshot != NULL)
    qg_cons_snapshot_unref (cons->snapshot);
  cons_founders_clear (cons);
  qg_str_unref (cons->address);
  if (cons->incoming != NULL)
    g_byte_array_unref (cons->incoming);
  if (cons->hard.vote != NULL)
    qg_str_unref (cons->hard.vote);
  if (cons->leader != NULL)
    qg_str_unref (cons->leader);
  qg_str_unref (cons->name);
  g_free (cons);
}

static void
peer_free (gpointer data)
{
  ConsPeer *peer = data;

  cons_peer_snapshot_clear (peer);
  qg_str_unref (peer->name);
  g_free (peer);
}

static void
queued_free (gpointer data)
{
  ConsQueued *out = data;

  qg_str_unref (out->to);
  qg__cons_msg__free_unpacked (out->msg, NULL);
  g_free (out);
}

/* SplitMix64: small, and one word of state is enough here. */
guint64
cons_random (QgCons *cons)
{
  guint64 z = (cons->rng += G_GUINT64_CONSTANT (0x9e3779b97f4a7c15));

  z = (z ^ (z >> 30)) * G_GUINT64_CONSTANT (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * G_GUINT64_CONSTANT (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

guint64
cons_random_id (QgCons *cons)
{
  guint64 id;

  do
    id = cons_random (cons);
  while (id == 0);
  return id;
}

ConsPeer *
cons_peer (QgCons *cons, const char *name)
{
  ConsPeer *peer;

  for (guint i = 0; i < cons->peers->len; i++)
    {
      peer = cons->peers->pdata[i];
      if (strcmp (peer->name, name) == 0)
        return peer;
    }
  peer = g_new0 (ConsPeer, 1);
  peer->name = qg_str_new (name);
  peer->next = cons_last_index (cons) + 1;
  g_ptr_array_add (cons->peers, peer);
  return peer;
}

Qg__ConsMsg *
cons_msg_new (QgCons *cons, Qg__ConsType type)
{
  Qg__ConsMsg *msg = g_new (Qg__ConsMsg, 1);

  qg__cons_msg__init (msg);
  msg->type = type;
  msg->term = cons->hard.term;
  return msg;
}

void
cons_send (QgCons *cons, const char *to, Qg__ConsMsg *msg, guint64 after_write)
{
  ConsQueued *out = g_new0 (ConsQueued, 1);

  out->after_write = after_write;
  out->to = qg_str_new (to);
  out->msg = msg;
  g_queue_push_tail (&cons->out, out);
}

guint64
cons_hard_state_write (QgCons *cons)
{
  return cons->hard_dirty ? cons->write_seq + 1 : cons->hard_seq;
}

guint64
cons_pending_write (QgCons *cons)
{
  gboolean dirty = cons->hard_dirty || cons->install_write_pending
                   || cons->submitted < cons_last_index (cons);

  return dirty ? cons->write_seq + 1 : cons->write_seq;
}

void
cons_set_term (QgCons *cons, guint64 term)
{
  cons->hard.term = term;
  g_clear_pointer (&cons->hard.vote, g_ref_string_release);
  cons->hard_dirty = TRUE;
  cons->verified = 0;
}

QgTime
cons_lease_duration (QgCons *cons)
{
  QgTime drift = cons->opts.drift_ppm;

  return cons->opts.election_min * (PPM - drift) / (PPM + drift);
}

void
qg_cons_receive (QgCons *cons, const char *from, const Qg__ConsMsg *msg,
                 QgTime now)
{
  ConsPeer *peer;

  cons->now = MAX (cons->now, now);
  if (msg->disk == 0 || strcmp (from, cons->name) == 0)
    return;
  if (cons_other_fleet_receive (cons, from, msg))
    return;
  if ((guint)msg->type >= G_N_ELEMENTS (handlers)
      || handlers[msg->type] == NULL)
    return;
  peer = cons_peer (cons, from);
  if (!accept_disk (cons, peer, msg))
    return;
  peer->last_contact = cons->now;
  if (msg->type != QG__CONS_TYPE__CONS_ROLLED_BACK)
    update_term (cons, msg);
  handlers[msg->type](cons, peer, msg);
}

/* Rejects a message from an earlier start of the sender, or from a folder that
 * lacks entries that it acknowledged. In both cases the sender is notified. The
 * sender ignores a notice that does not name its current start. */
static gboolean
accept_disk (QgCons *cons, ConsPeer *peer, const Qg__ConsMsg *msg)
{
  if (peer->disk != msg->disk)
    {
      record_disk (cons, peer, msg);
      return TRUE;
    }
  if (msg->boot < peer->boot
      || (msg->boot == peer->boot && msg->nonce != peer->nonce))
    {
      send_rolled_back (cons, peer, msg);
      return FALSE;
    }
  if (msg->boot > peer->boot && cons->role == QG_CONS_LEADER
      && msg->stable < peer->match)
    {
      send_rolled_back (cons, peer, msg);
      return FALSE;
    }
  if (msg->boot > peer->boot)
    record_disk (cons, peer, msg);
  return TRUE;
}

static void
record_disk (QgCons *cons, ConsPeer *peer, const Qg__ConsMsg *msg)
{
  gboolean same = peer->disk == msg->disk;

  peer->disk = msg->disk;
  peer->boot = msg->boot;
  peer->nonce = msg->nonce;
  peer->granted = FALSE;
  peer->echoed_time = 0;
  if (!same)
    peer->match = 0;
  peer->mode = PEER_PROBE;
  peer->next = MAX (cons_last_index (cons), peer->match) + 1;
  peer->probe_until = 0;
  cons_peer_snapshot_clear (peer);
}

static void
send_rolled_back (QgCons *cons, ConsPeer *peer, const Qg__ConsMsg *msg)
{
  Qg__ConsMsg *reply = cons_msg_new (cons, QG__CONS_TYPE__CONS_ROLLED_BACK);

  reply->to_disk = msg->disk;
  reply->index = msg->boot;
  reply->index_term = msg->nonce;
  cons_send (cons, peer->name, reply, cons_hard_state_write (cons));
}

/* The folder of this member lacks entries that it acknowledged. Gives the
 * folder a new identity, so that no quorum counts this member before the member
 * has caught up. */
static void
on_rolled_back (QgCons *cons, ConsPeer *peer, const Qg__ConsMsg *msg)
{
  if (msg->to_disk != cons->hard.disk || msg->index != cons->hard.boot
      || msg->index_term != cons->hard.nonce)
    return;
  qg_event (QG_EV_CONS_ROLLED_BACK,
            "%s reports that data folder %016" G_GINT64_MODIFIER
            "x is older than what it acknowledged",
            peer->name, cons->hard.disk);
  cons->hard.disk = cons_random_id (cons);
  cons->hard_dirty = TRUE;
  cons_become_follower (cons, NULL);
}

static void
on_vote_ask (QgCons *cons, ConsPeer *peer, const Qg__ConsMsg *msg)
{
  cons_on_vote_ask (cons, peer->name, msg);
}

static void
on_append (QgCons *cons, ConsPeer *peer, const Qg__ConsMsg *msg)
{
  cons_on_append (cons, peer->name, msg);
}

static void
on_snap (QgCons *cons, ConsPeer *peer, const Qg__ConsMsg *msg)
{
  cons_on_snap (cons, peer->name, msg);
}

/* Adopts a newer term. The term of a vote request is adopted only by
 * cons_on_vote_ask(), and only if it grants the vote. The term in a granted
 * pre-vote has not begun, so it is not adopted. */
static void
update_term (QgCons *cons, const Qg__ConsMsg *msg)
{
  if (msg->term <= cons->hard.term
      || msg->type == QG__CONS_TYPE__CONS_PREVOTE_ASK
      || msg->type == QG__CONS_TYPE__CONS_VOTE_ASK
      || (msg->type == QG__CONS_TYPE__CONS_PREVOTE && !msg->reject))
    return;
  cons_set_term (cons, msg->term);
  cons_become_follower (cons, NULL);
}

void
qg_cons_tick (QgCons *cons, QgTime now)
{
  cons->now = MAX (cons->now, now);
  if (cons->role == QG_CONS_LEADER)
    leader_tick (cons);
  else if (cons->now >= cons->election_at)
    cons_campaign (cons, TRUE);
  cons_found_tick (cons);
}

void
qg_cons_write_refused (QgCons *cons, QgTime now)
{
  cons->now = MAX (cons->now, now);
  if (cons->role != QG_CONS_LEADER)
    return;
  qg_event (QG_EV_CONS_RESIGNED,
            "term %" G_GUINT64_FORMAT ": the disk refuses writes",
            cons->hard.term);
  cons_become_follower (cons, NULL);
}

static void
leader_tick (QgCons *cons)
{
  QgTime confirmed = cons_quorum_answered_time (cons, cons_config (cons));
  gboolean stuck = cons->done_seq < cons->write_seq
                   && cons->now - cons->write_started > cons->opts.disk_timeout;

  if (stuck)
    {
      qg_event (QG_EV_CONS_RESIGNED,
                "term %" G_GUINT64_FORMAT
                ": the write in progress takes too long",
                cons->hard.term);
      cons_become_follower (cons, NULL);
      return;
    }
  if (MAX (confirmed, cons->lead_since) + cons->opts.election_max < cons->now)
    {
      qg_event (QG_EV_CONS_RESIGNED,
                "term %" G_GUINT64_FORMAT ": no response from a quorum",
                cons->hard.term);
      cons_become_follower (cons, NULL);
      return;
    }
  /* Answers over slow links renew no lease, but followers hear this leader and
   * elect no other. */
  if (qg_cons_lease_until (cons, cons->now) > cons->now)
    cons->leased_at = cons->now;
  else if (cons->leased_at + cons->opts.election_max < cons->now)
    {
      qg_event (QG_EV_CONS_RESIGNED,
                "term %" G_GUINT64_FORMAT ": the answers come too late",
                cons->hard.term);
      cons_become_follower (cons, NULL);
      return;
    }
  if (cons->now >= cons->heartbeat_at)
    {
      cons->heartbeat_at = cons->now + cons->opts.heartbeat;
      cons->heartbeat_commit = cons->commit;
      for (guint i = 0; i < cons->peers->len; i++)
        ((ConsPeer *)cons->peers->pdata[i])->heartbeat_due = TRUE;
    }
  cons_members_update (cons);
}

QgTime
qg_cons_lease_until (QgCons *cons, QgTime now)
{
  const ConsConfig *former;
  QgTime answered;
  QgTime previous;

  cons->now = MAX (cons->now, now);
  if (cons->role != QG_CONS_LEADER)
    return 0;
  answered = cons_quorum_answered_time (cons, cons_config (cons));
  previous = answered;
  if (cons->configs->len > 1 && cons_config (cons)->index > cons->commit)
    {
      /* Until the new membership is committed, a quorum of the previous
       * membership can still elect a leader. Before the first one there is
       * none, and another founder would need the vote of this leader. */
      former
          = &g_array_index (cons->configs, ConsConfig, cons->configs->len - 2);
      if (former->members->n_members > 0)
        previous = cons_quorum_answered_time (cons, former);
    }
  if (MIN (answered, previous) <= 0)
    return 0;
  return MIN (answered, previous) + cons_lease_duration (cons);
}

gboolean
qg_cons_ready_to_serve (QgCons *cons)
{
  return cons->role == QG_CONS_LEADER && cons->applied >= cons->first_own_index
         && cons->first_own_index > 0;
}

void
qg_cons_status (QgCons *cons, QgTime now, QgConsStatus *status)
{
  const Qg__ConsMembers *members = cons_config (cons)->members;

  memset (status, 0, sizeof *status);
  status->role = cons->role;
  status->leader = cons->role == QG_CONS_LEADER ? cons->name : cons->leader;
  status->term = cons->hard.term;
  status->disk = cons->hard.disk;
  status->boot = cons->hard.boot;
  status->commit = cons->commit;
  status->applied = cons->applied;
  status->last = cons_last_index (cons);
  status->stable = cons->stable;
  status->snapshot = cons->snapshot != NULL ? cons->snapshot->index : 0;
  status->voter = cons_is_voter (cons);
  for (size_t i = 0; i < members->n_members && i < QG_CONS_MAX_MEMBERS; i++)
    {
      const Qg__ConsMember *m = members->members[i];
      QgConsMemberInfo *info = &status->members[status->n_members++];
      gboolean self = strcmp (m->name, cons->name) == 0;
      const ConsPeer *peer = self ? NULL : cons_peer (cons, m->name);

      info->name = m->name;
      info->address = m->address;
      info->disk = m->disk;
      info->voter = m->voter;
      info->reachable
          = self || now - peer->last_contact < cons->opts.election_max;
      info->match = self ? cons->stable : peer->match;
    }
}
