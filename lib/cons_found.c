#include "libcons.h"

#include "event.h"

#include <string.h>

/* How a new fleet begins. The founders, whom the settings of all processes
 * list, are its first voters. The first of those that bootstrap stands for
 * election as soon as the last answers of all founders suggest that it can win,
 * and begins the fleet if every one of them, by a vote that it has synced,
 * confirms that its log is empty. Such a voter takes nothing from a fleet of an
 * earlier term any more, so no two fleets begin. */

/* Time between two reports of what a founder waits for. */
#define REPORT_INTERVAL (5 * QG_SEC)

/** What another founder answered last. */
typedef struct
{
  QgTime heard; /**< when; 0: nothing yet */
  gboolean has_log;
  gboolean bootstraps;
  gboolean lists_others; /**< its settings list other founders */
} Founder;

static int compare_members (const void *a, const void *b);
static gboolean is_founder (const QgCons *cons, const char *name);
static gboolean lists_same (const QgCons *cons, const Qg__ConsMsg *msg);
static void ask_founders (QgCons *cons);
static const char *obstacle (QgCons *cons, const char **name);
static void report_obstacle (QgCons *cons, const char *reason,
                             const char *name);
static void stand_for_election (QgCons *cons);
static void ask_for_votes (QgCons *cons);
static void begin_fleet (QgCons *cons);
static Qg__ConsMembers *first_members (QgCons *cons);

void
cons_founders_init (QgCons *cons)
{
  const char *const *list = cons->opts.founders;
  Qg__ConsMembers *founders = calloc (1, sizeof *founders);

  if (founders == NULL)
    g_error ("out of memory");
  qg__cons_members__init (founders);
  for (guint i = 0; list != NULL && list[i] != NULL; i++)
    {
      g_auto (GStrv) parts = g_strsplit (list[i], "@", 2);

      if (parts[0] == NULL || parts[1] == NULL
          || cons_members_find (founders, parts[0]) != NULL
          || founders->n_members == QG_CONS_MAX_MEMBERS)
        continue;
      if (strcmp (parts[0], cons->name) == 0)
        cons_member_push (founders,
                          cons_member_new (cons->name, cons->address));
      else
        cons_member_push (founders, cons_member_new (parts[0], parts[1]));
    }
  if (founders->n_members == 0)
    cons_member_push (founders, cons_member_new (cons->name, cons->address));
  qsort (founders->members, founders->n_members, sizeof *founders->members,
         compare_members);
  cons->founders = founders;
  cons->founder_answers = g_new0 (Founder, founders->n_members);
  cons->opts.founders = NULL;
  cons->opts.address = cons->address;
}

void
cons_founders_clear (QgCons *cons)
{
  qg__cons_members__free_unpacked (cons->founders, NULL);
  g_free (cons->founder_answers);
}

static int
compare_members (const void *a, const void *b)
{
  const Qg__ConsMember *const *x = a;
  const Qg__ConsMember *const *y = b;

  return strcmp ((*x)->name, (*y)->name);
}

static gboolean
is_founder (const QgCons *cons, const char *name)
{
  return cons_members_find (cons->founders, name) != NULL;
}

void
qg_cons_bootstrap (QgCons *cons)
{
  if (cons_last_index (cons) > 0 || cons->hard.bootstraps)
    return;
  if (!is_founder (cons, cons->name))
    {
      qg_event (QG_EV_FLEET_AWAITED,
                "%s is not among the founders and waits for a leader",
                cons->name);
      return;
    }
  cons->hard.bootstraps = TRUE;
  cons->hard_dirty = TRUE;
  cons_found_start (cons);
  cons_found_tick (cons);
}

void
cons_found_start (QgCons *cons)
{
  if (cons_last_index (cons) > 0 || !is_founder (cons, cons->name))
    cons->hard.bootstraps = FALSE;
  cons->founders_ask_at = cons->now;
  cons->founders_report_at = cons->now + REPORT_INTERVAL;
}

void
cons_found_tick (QgCons *cons)
{
  const char *reason;
  const char *name = "";

  if (!cons->hard.bootstraps)
    return;
  if (cons_last_index (cons) > 0)
    {
      cons->hard.bootstraps = FALSE;
      return;
    }
  reason = obstacle (cons, &name);
  if (cons_found_is_candidate (cons)
      && (reason != NULL
          || (cons->founders_refused
              && cons->now >= cons->founders_vote_until)))
    cons_become_follower (cons, NULL);
  if (cons_found_is_candidate (cons))
    {
      if (cons->now >= cons->founders_ask_at)
        ask_for_votes (cons);
      return;
    }
  if (cons->now >= cons->founders_ask_at)
    ask_founders (cons);
  if (reason == NULL)
    stand_for_election (cons);
  else if (cons->now >= cons->founders_report_at)
    report_obstacle (cons, reason, name);
}

/* Sends a pre-vote request that names no folder, so that no peer grants it. */
static void
ask_founders (QgCons *cons)
{
  cons->founders_ask_at = cons->now + cons->opts.heartbeat;
  for (size_t i = 0; i < cons->founders->n_members; i++)
    {
      const char *name = cons->founders->members[i]->name;

      if (strcmp (name, cons->name) != 0)
        cons_send (cons, name,
                   cons_msg_new (cons, QG__CONS_TYPE__CONS_PREVOTE_ASK),
                   cons_hard_state_write (cons));
    }
}

/* Why this founder does not stand for election, and because of whom; NULL: it
 * does. A candidate waits for answers. */
static const char *
obstacle (QgCons *cons, const char **name)
{
  if (cons_hears_leader (cons))
    {
      *name = cons->leader;
      return "leads a fleet";
    }
  for (size_t i = 0; i < cons->founders->n_members; i++)
    {
      const Founder *founder = (const Founder *)cons->founder_answers + i;

      *name = cons->founders->members[i]->name;
      if (strcmp (*name, cons->name) == 0)
        continue;
      if (founder->heard == 0
          || (!cons_found_is_candidate (cons)
              && cons->now - founder->heard > cons->opts.election_min))
        return "does not answer";
      if (founder->has_log)
        return "has a log";
      if (founder->lists_others)
        return "lists other founders in its settings";
      if (founder->bootstraps && strcmp (*name, cons->name) < 0)
        return "bootstraps and sorts before this member";
    }
  return NULL;
}

static void
report_obstacle (QgCons *cons, const char *reason, const char *name)
{
  cons->founders_report_at = cons->now + REPORT_INTERVAL;
  qg_event (QG_EV_FLEET_AWAITED, "%s begins no fleet: %s %s", cons->name, name,
            reason);
}

static void
stand_for_election (QgCons *cons)
{
  cons_become_follower (cons, NULL);
  cons->role = QG_CONS_CANDIDATE;
  cons->founders_refused = FALSE;
  cons->founders_vote_until = cons->now + cons->opts.election_min;
  cons_set_term (cons, cons->hard.term + 1);
  cons->hard.vote = qg_str_ref (cons->name);
  for (guint i = 0; i < cons->peers->len; i++)
    ((ConsPeer *)cons->peers->pdata[i])->granted = FALSE;
  ask_for_votes (cons);
  cons_found_count_votes (cons);
}

/* Asks again in the same term until there is an answer: a new term would make
 * voters whose disks are slow begin anew. */
static void
ask_for_votes (QgCons *cons)
{
  cons->founders_ask_at = cons->now + cons->opts.election_min;
  for (size_t i = 0; i < cons->founders->n_members; i++)
    {
      const char *name = cons->founders->members[i]->name;
      Qg__ConsMsg *msg;
      ConsPeer *peer;

      if (strcmp (name, cons->name) == 0)
        continue;
      peer = cons_peer (cons, name);
      if (peer->granted)
        continue;
      msg = cons_msg_new (cons, QG__CONS_TYPE__CONS_VOTE_ASK);
      msg->to_disk = peer->disk;
      cons_founders_write (cons, msg);
      cons_send (cons, name, msg, cons_hard_state_write (cons));
    }
}

void
cons_founders_write (const QgCons *cons, Qg__ConsMsg *msg)
{
  size_t n = cons->founders->n_members;

  msg->founders = calloc (n, sizeof *msg->founders);
  if (msg->founders == NULL)
    g_error ("out of memory");
  msg->n_founders = n;
  for (size_t i = 0; i < n; i++)
    msg->founders[i] = strdup (cons->founders->members[i]->name);
}

/* Both lists are sorted by name. */
static gboolean
lists_same (const QgCons *cons, const Qg__ConsMsg *msg)
{
  if (msg->n_founders != cons->founders->n_members)
    return FALSE;
  for (size_t i = 0; i < msg->n_founders; i++)
    if (strcmp (msg->founders[i], cons->founders->members[i]->name) != 0)
      return FALSE;
  return TRUE;
}

gboolean
cons_found_can_grant (const QgCons *cons, const char *from,
                      const Qg__ConsMsg *msg)
{
  return msg->to_disk == cons->hard.disk && cons_last_index (cons) == 0
         && !cons_hears_leader (cons) && cons->role != QG_CONS_LEADER
         && is_founder (cons, from) && is_founder (cons, cons->name)
         && lists_same (cons, msg);
}

/* msg->index is the sender's last index, msg->commit is 1 if it bootstraps. */
void
cons_found_on_answer (QgCons *cons, const ConsPeer *peer,
                      const Qg__ConsMsg *msg)
{
  Founder *answers = cons->founder_answers;

  if (!cons->hard.bootstraps)
    return;
  for (size_t i = 0; i < cons->founders->n_members; i++)
    if (strcmp (cons->founders->members[i]->name, peer->name) == 0)
      {
        answers[i].heard = cons->now;
        answers[i].has_log = msg->stable > 0 || msg->index > 0;
        answers[i].bootstraps = msg->commit == 1;
        answers[i].lists_others = !lists_same (cons, msg);
        if (msg->type == QG__CONS_TYPE__CONS_VOTE && msg->reject
            && msg->term == cons->hard.term)
          cons->founders_refused = TRUE;
      }
  cons_found_tick (cons);
}

gboolean
cons_found_is_candidate (const QgCons *cons)
{
  return cons->hard.bootstraps && cons->role == QG_CONS_CANDIDATE;
}

/* The candidate's own vote counts once it is synced. */
void
cons_found_count_votes (QgCons *cons)
{
  if (cons->synced_term != cons->hard.term)
    return;
  for (size_t i = 0; i < cons->founders->n_members; i++)
    {
      const char *name = cons->founders->members[i]->name;

      if (strcmp (name, cons->name) != 0 && !cons_peer (cons, name)->granted)
        return;
    }
  begin_fleet (cons);
}

static void
begin_fleet (QgCons *cons)
{
  Qg__ConsMembers *members = first_members (cons);
  GBytes *packed;

  for (size_t i = 0; i < members->n_members; i++)
    members->members[i]->voter = TRUE;
  packed = cons_members_pack (members);
  cons->hard.bootstraps = FALSE;
  qg_event (QG_EV_FLEET_BEGUN, "%s, term %" G_GUINT64_FORMAT ", %u founders",
            cons->name, cons->hard.term, (guint)members->n_members);
  cons_append_as_leader (cons, QG__CONS_KIND__CONS_MEMBERS, packed);
  cons_become_leader (cons);
  g_bytes_unref (packed);
  qg__cons_members__free_unpacked (members, NULL);
}

/* The founders with the folders in which they voted, and this member as the
 * only voter. */
static Qg__ConsMembers *
first_members (QgCons *cons)
{
  GBytes *packed = cons_members_pack (cons->founders);
  Qg__ConsMembers *members;
  gsize len;
  const guint8 *data = g_bytes_get_data (packed, &len);

  members = qg__cons_members__unpack (NULL, len, data);
  g_bytes_unref (packed);
  members->fleet = cons_random_id (cons);
  for (size_t i = 0; i < members->n_members; i++)
    {
      Qg__ConsMember *member = members->members[i];

      member->voter = strcmp (member->name, cons->name) == 0;
      member->disk = member->voter ? cons->hard.disk
                                   : cons_peer (cons, member->name)->disk;
    }
  return members;
}

void
qg_cons_restore (QgCons *cons)
{
  Qg__ConsMembers *members;
  GBytes *packed;

  cons->hard.disk = cons_random_id (cons);
  cons->hard.bootstraps = FALSE;
  cons_set_term (cons, cons->hard.term + 1);
  members = first_members (cons);
  if (!is_founder (cons, cons->name))
    {
      cons_member_push (members, cons_member_new (cons->name, cons->address));
      members->members[members->n_members - 1]->disk = cons->hard.disk;
      members->members[members->n_members - 1]->voter = TRUE;
    }
  packed = cons_members_pack (members);
  cons_append_as_leader (cons, QG__CONS_KIND__CONS_MEMBERS, packed);
  g_bytes_unref (packed);
  qg__cons_members__free_unpacked (members, NULL);
  cons_reset_election_timer (cons);
}
