#include "libcons.h"

#include "event.h"

#include <string.h>

static gboolean can_grant_vote (QgCons *cons, const Qg__ConsMsg *msg);
static guint64 vote_count (const ConsPeer *peer);
static gboolean is_sole_voter (QgCons *cons);

/* Becomes a follower of leader, which may be unknown (NULL). */
void
cons_become_follower (QgCons *cons, const char *leader)
{
  gboolean changed = g_strcmp0 (cons->leader, leader) != 0;

  if (cons->role == QG_CONS_LEADER)
    {
      qg_event (QG_EV_CONS_RESIGNED, "%s, term %" G_GUINT64_FORMAT, cons->name,
                cons->hard.term);
      for (guint i = 0; i < cons->peers->len; i++)
        cons_peer_reset (cons, cons->peers->pdata[i]);
    }
  cons->role = QG_CONS_FOLLOWER;
  cons->first_own_index = 0;
  if (changed)
    {
      g_clear_pointer (&cons->leader, g_ref_string_release);
      cons->leader = leader != NULL ? qg_str_new (leader) : NULL;
    }
  cons_reset_election_timer (cons);
}

/* A follower that is no voter holds no elections, so that it goes on naming a
 * leader that has ended. */
gboolean
cons_hears_leader (const QgCons *cons)
{
  return cons->leader != NULL
         && cons->now < cons->last_leader_contact + cons->opts.election_max;
}

void
cons_reset_election_timer (QgCons *cons)
{
  QgTime spread = cons->opts.election_max - cons->opts.election_min;

  cons->election_at = cons->now + cons->opts.election_min
                      + (QgTime)(cons_random (cons) % (guint64)(spread + 1));
  if (is_sole_voter (cons))
    cons->election_at = cons->now;
}

/* Whether this member is the only voter. The only voter has granted no lease to
 * another leader, so it need not wait for the election timeout. */
static gboolean
is_sole_voter (QgCons *cons)
{
  const Qg__ConsMembers *members = cons_config (cons)->members;
  guint voters = 0;

  for (size_t i = 0; i < members->n_members; i++)
    voters += members->members[i]->voter ? 1 : 0;
  return voters == 1 && cons_is_voter (cons);
}

/* Requests pre-votes, which do not change the term, or, if @pre is FALSE, votes
 * in a new term. */
void
cons_campaign (QgCons *cons, gboolean pre)
{
  const Qg__ConsMembers *members = cons_config (cons)->members;
  guint64 last = cons_last_index (cons);

  cons_reset_election_timer (cons);
  if (!cons_is_voter (cons))
    return;
  cons_become_follower (cons, NULL);
  cons->role = pre ? QG_CONS_PRECANDIDATE : QG_CONS_CANDIDATE;
  if (!pre)
    {
      cons_set_term (cons, cons->hard.term + 1);
      cons->hard.vote = qg_str_ref (cons->name);
    }
  for (size_t i = 0; i < members->n_members; i++)
    {
      const Qg__ConsMember *m = members->members[i];
      Qg__ConsMsg *msg;

      if (!m->voter || strcmp (m->name, cons->name) == 0)
        continue;
      cons_peer (cons, m->name)->granted = FALSE;
      msg = cons_msg_new (cons, pre ? QG__CONS_TYPE__CONS_PREVOTE_ASK
                                    : QG__CONS_TYPE__CONS_VOTE_ASK);
      msg->term = cons->hard.term + (pre ? 1 : 0);
      msg->to_disk = m->disk;
      msg->index = last;
      msg->index_term = cons_term_at (cons, last);
      cons_send (cons, m->name, msg, cons_hard_state_write (cons));
    }
  cons_count_votes (cons);
}

static guint64
vote_count (const ConsPeer *peer)
{
  return peer->granted ? 1 : 0;
}

/* This member's own vote counts once it is synced. */
void
cons_count_votes (QgCons *cons)
{
  gboolean pre = cons->role == QG_CONS_PRECANDIDATE;
  gboolean self = pre || cons->synced_term == cons->hard.term;

  if (cons_found_is_candidate (cons))
    {
      cons_found_count_votes (cons);
      return;
    }
  if (cons_quorum_value (cons, cons_config (cons), self ? 1 : 0, vote_count)
      == 0)
    return;
  if (pre)
    cons_campaign (cons, FALSE);
  else if (cons->role == QG_CONS_CANDIDATE)
    cons_become_leader (cons);
}

/* Refuses a vote that is addressed to another folder, a vote within the lease
 * of the last leader, and a vote for a log that lacks entries known to be
 * committed. The last leader may have received its lease before this member
 * restarted. */
static gboolean
can_grant_vote (QgCons *cons, const Qg__ConsMsg *msg)
{
  if (msg->to_disk != cons->hard.disk)
    return FALSE;
  if (cons->role == QG_CONS_LEADER
      || cons->now < cons->last_leader_contact + cons->opts.election_min)
    return FALSE;
  return cons_log_up_to_date (cons, msg->index, msg->index_term)
         && msg->index >= cons->known_commit;
}

void
cons_on_vote_ask (QgCons *cons, const char *from, const Qg__ConsMsg *msg)
{
  gboolean pre = msg->type == QG__CONS_TYPE__CONS_PREVOTE_ASK;
  gboolean founds = !pre && msg->n_founders > 0;
  gboolean grant = founds ? cons_found_can_grant (cons, from, msg)
                          : can_grant_vote (cons, msg);
  Qg__ConsMsg *reply;

  /* A refused request does not change the term, so that the request cannot
   * depose a leader that has a lease. */
  if (grant && !pre && msg->term > cons->hard.term)
    {
      cons_set_term (cons, msg->term);
      cons_become_follower (cons, NULL);
    }
  if (pre)
    grant = grant && msg->term > cons->hard.term;
  else
    grant = grant && msg->term == cons->hard.term
            && (cons->hard.vote == NULL || strcmp (cons->hard.vote, from) == 0);
  if (grant && !pre && cons->hard.vote == NULL)
    {
      cons->hard.vote = qg_str_new (from);
      cons->hard_dirty = TRUE;
      cons_reset_election_timer (cons);
    }
  reply = cons_msg_new (cons, pre ? QG__CONS_TYPE__CONS_PREVOTE
                                  : QG__CONS_TYPE__CONS_VOTE);
  reply->reject = !grant;
  reply->index = cons_last_index (cons);
  reply->commit = cons->hard.bootstraps ? 1 : 0;
  if (cons_last_index (cons) == 0)
    cons_founders_write (cons, reply);
  if (grant)
    reply->term = msg->term;
  cons_send (cons, from, reply, cons_hard_state_write (cons));
}

void
cons_on_vote (QgCons *cons, ConsPeer *peer, const Qg__ConsMsg *msg)
{
  gboolean pre = msg->type == QG__CONS_TYPE__CONS_PREVOTE;
  QgConsRole role = pre ? QG_CONS_PRECANDIDATE : QG_CONS_CANDIDATE;

  cons_found_on_answer (cons, peer, msg);
  if (cons->role != role || msg->reject
      || msg->term != cons->hard.term + (pre ? 1 : 0))
    return;
  peer->granted = TRUE;
  cons_count_votes (cons);
}
