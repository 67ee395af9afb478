// Simulates callers, entries, agents and control, and runs the real
// at-most-once modules under random faults.
#ifndef ONCE_SIM_H
#define ONCE_SIM_H

#include "lib/answer.h"
#include "lib/claim.h"
#include "lib/once.h"
#include "lib/retry.h"
#include "lib/stream.h"
#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace once_sim
{

enum class Kind
{
  ASSIGN,
  ATTACH,
  WINDOW,
  HEAD,
  DATA,
  END,
  FAIL
};

struct Message
{
  Kind kind;
  guint64 id = 0; /* id of the entry's call */
  std::string key, body, text;
  guint64 offset = 0;
  int outcome = 0, status = 0, holder = -1;
  guint64 holder_incarnation = 0;
  bool retry = false;
};

/* The result that a caller received for one request. */
struct CallerResult
{
  std::string key, body;
  bool answered = false;
  int outcome = -1; /* QgOutcome of a refusal; -1: the connection broke */
  std::string answer;
};

struct Call
{
  std::string key, body, answer;
  QgStream stream = {};
  enum
  {
    QUEUED,
    RUNNING,
    WAITING
  } state
      = QUEUED;
  int agent = -1;
  guint64 incarnation = 0;
  bool attached = false;
  guint redirects = 0, attempt = 0;
  /* own_outcome covers this entry's attempts; outcome also covers what agents
   * reported. */
  int outcome = QG_OUTCOME_NOT_RUN, own_outcome = QG_OUTCOME_NOT_RUN;
  size_t result; /* index in World::results */
};

struct Link
{
  bool up = true;
  std::deque<Message> to_agent, to_entry;
};

struct Job
{
  std::string key, body;
  guint64 seq = 0;
  bool running = false;
  int chunks = 0;
};

struct Command
{
  int agent;
  guint64 incarnation, seq;
  std::string key, body;
  bool settle = false, released = false, unknown = false;
  guint64 claim_seq = 0;
};

/* Orders answers by creation, so that a run does not depend on the addresses of
 * the answers. */
struct ByCreation
{
  bool
  operator() (const QgAnswer *a, const QgAnswer *b) const
  {
    return GPOINTER_TO_SIZE (qg_answer_user (a))
           < GPOINTER_TO_SIZE (qg_answer_user (b));
  }
};

struct Agent
{
  guint64 incarnation = 1, seq = 0;
  QgAnswers *answers = nullptr;
  std::map<QgAnswer *, Job, ByCreation> jobs;
  std::map<guint64, Command> pending; /* commands not answered yet */
};

struct Entry
{
  guint64 incarnation = 1, last_id = 0;
  std::map<guint64, Call> calls;
};

struct Execution
{
  int agent;
  guint64 incarnation;
  std::string body;
  bool complete = false;
};

class World
{
public:
  static const int n_agents = 3, n_entries = 2;
  std::mt19937 random;
  QgTime now = QG_SEC;
  QgClaims *claims = qg_claim_new (nullptr);
  std::deque<Command> log; /* proposed, not yet applied */
  Agent agents[n_agents];
  Entry entries[n_entries];
  Link links[n_entries][n_agents];
  std::vector<CallerResult> results;
  std::map<std::string, std::vector<Execution> > executions;
  std::map<std::string, Execution> granted; /* latest grant by key */
  bool faults = true;
  gsize n_answers = 0;

  explicit World (std::uint32_t seed) : random (seed)
  {
    for (Agent &a : agents)
      a.answers = qg_answers_new (nullptr);
  }
  ~World ()
  {
    for (Agent &a : agents)
      qg_answers_unref (a.answers);
    qg_claim_unref (claims);
  }
  World (const World &) = delete;

  unsigned
  below (unsigned n)
  {
    return random () % n;
  }

  /* ---- callers ---- */
  size_t
  submit (int e, const std::string &key, const std::string &body)
  {
    Call call;
    call.key = key;
    call.body = body;
    call.result = results.size ();
    results.push_back ({ key, body, false, -1, "" });
    entries[e].calls[++entries[e].last_id] = call;
    return results.size () - 1;
  }

  /* ---- entries ---- */
  void
  finish (int e, guint64 id, bool answered)
  {
    Call &c = entries[e].calls[id];
    CallerResult &result = results[c.result];
    result.answered = answered;
    result.outcome = answered ? -1 : c.outcome;
    result.answer = c.answer;
    entries[e].calls.erase (id);
  }

  void
  dispatch (int e, guint64 id, int a)
  {
    Call &c = entries[e].calls[id];
    if (!links[e][a].up || !qg_stream_bind (&c.stream, c.stream.source + 1))
      return;
    c.state = Call::RUNNING;
    c.agent = a;
    c.incarnation = agents[a].incarnation;
    c.attached = false;
    c.attempt++;
    send (e, a, { Kind::ASSIGN, id, c.key, c.body });
  }

  void
  attach (int e, guint64 id)
  {
    Call &c = entries[e].calls[id];
    c.state = Call::RUNNING;
    c.attached = true;
    Message m{ Kind::ATTACH, id, c.key, c.body };
    m.offset = c.stream.next;
    send (e, c.agent, m);
  }

  /* Called when the link to the agent is up again, or the entry stops waiting
   * for the link. */
  void
  resume_waiting (int e, guint64 id)
  {
    Call &c = entries[e].calls[id];
    if (links[e][c.agent].up && agents[c.agent].incarnation == c.incarnation)
      attach (e, id);
    else
      decide (e, id,
              c.stream.head_passed ? QG_RETRY_ANSWER_STARTED
                                   : QG_RETRY_DETACHED,
              false);
  }

  void
  decide (int e, guint64 id, QgRetryStage stage, bool reachable)
  {
    Call &c = entries[e].calls[id];
    QgRetryBudget budget = {};
    qg_retry_budget_set (&budget, 100, 1);
    qg_retry_budget_add_request (&budget);
    QgRetryAttempt attempt
        = { TRUE,       stage,     static_cast<QgOutcome> (c.own_outcome),
            c.attempt,  reachable, now,
            G_MAXINT64, 1 };
    QgRetryVerdict v = qg_retry_decide (&attempt, &budget);
    if (v.action == QG_RETRY_ATTACH)
      {
        c.state = Call::WAITING;
        return;
      }
    c.own_outcome = v.outcome;
    c.outcome = std::max (c.outcome, c.own_outcome);
    if (v.action == QG_RETRY_FAIL)
      finish (e, id, false);
    else
      c.state = Call::QUEUED;
  }

  void
  entry_fail (int e, guint64 id, const Message &m)
  {
    Call &c = entries[e].calls[id];
    if (c.attached && m.status == QG_E_NOT_FOUND)
      {
        if (c.stream.head_passed)
          decide (e, id, QG_RETRY_ANSWER_STARTED, false);
        else if (c.outcome == QG_OUTCOME_RAN || c.redirects >= 3)
          finish (e, id, false);
        else
          c.state = Call::QUEUED;
        return;
      }
    if (m.holder >= 0 && !c.stream.head_passed)
      {
        c.outcome = std::max (c.outcome, m.outcome);
        if (++c.redirects > 3)
          {
            finish (e, id, false);
            return;
          }
        c.agent = m.holder;
        c.incarnation = m.holder_incarnation;
        qg_stream_bind (&c.stream, c.stream.source + 1);
        c.state = Call::WAITING;
        return;
      }
    if (m.retry)
      {
        decide (e, id, QG_RETRY_REFUSED, false);
        return;
      }
    c.outcome = std::max (c.outcome, m.outcome);
    finish (e, id, false);
  }

  void
  entry_receive (int e, int a, const Message &m)
  {
    auto it = entries[e].calls.find (m.id);
    if (it == entries[e].calls.end () || it->second.agent != a
        || it->second.state != Call::RUNNING)
      return;
    Call &c = it->second;
    guint64 skip = 0;
    QgStreamVerdict v = QG_STREAM_DROP;
    if (m.kind == Kind::HEAD)
      v = qg_stream_handle_head (&c.stream, c.stream.source);
    else if (m.kind == Kind::DATA)
      v = qg_stream_handle_data (&c.stream, c.stream.source, m.offset,
                                 m.text.size (), &skip);
    else if (m.kind == Kind::END)
      v = qg_stream_handle_end (&c.stream, c.stream.source, m.offset);
    else if (m.kind == Kind::FAIL)
      entry_fail (e, m.id, m);
    if (m.kind == Kind::DATA && v == QG_STREAM_PASS)
      c.answer += m.text.substr (skip);
    if (v == QG_STREAM_GAP)
      attach (e, m.id);
    else if (m.kind == Kind::END && v == QG_STREAM_PASS)
      finish (e, m.id, true);
  }

  /* ---- agents ---- */
  QgAnswerOrigin
  origin (int e, guint64 id)
  {
    static const char *names[] = { "e0", "e1" };
    return { names[e], entries[e].incarnation, id };
  }

  static std::string
  hash_of (const std::string &body)
  {
    std::string hash = body;
    hash.resize (32, '.');
    return hash;
  }

  void
  agent_attach (int e, int a, const Message &m)
  {
    std::string hash = hash_of (m.body);
    QgErr err;
    QgAnswerAttach request
        = { origin (e, m.id), "w",      "s",
            m.key.c_str (),   {},       hash.data (),
            hash.size (),     m.offset, GINT_TO_POINTER (e + 1) };
    QgAnswerReader *r = qg_answer_attach (agents[a].answers, &request, &err);
    if (r != nullptr)
      {
        pump (a, qg_answer_reader_answer (r));
        return;
      }
    Message fail{ Kind::FAIL, m.id };
    fail.status = err.status;
    fail.outcome
        = err.status == QG_E_CONFLICT ? QG_OUTCOME_NOT_RUN : QG_OUTCOME_UNKNOWN;
    reply (e, a, fail);
  }

  void
  agent_assign (int e, int a, const Message &m)
  {
    Agent &agent = agents[a];
    std::string hash = hash_of (m.body);
    QgAnswerOrigin from = origin (e, m.id);
    if (qg_answer_find_key (agent.answers, "w", "s", m.key.c_str ()))
      {
        agent_attach (e, a, m);
        return;
      }
    if (QgAnswerReader *old = qg_answer_find_reader (agent.answers, &from))
      qg_answer_detach (old, now);
    QgAnswerStart start = { from,         "w",          "s",    m.key.c_str (),
                            hash.data (), hash.size (), nullptr };
    QgAnswer *answer
        = qg_answer_begin (agent.answers, &start, GINT_TO_POINTER (e + 1));
    if (answer == nullptr)
      return;
    qg_answer_set_user (answer, GSIZE_TO_POINTER (++n_answers));
    agent.jobs[answer] = { m.key, m.body };
    claim (a, answer);
  }

  void
  claim (int a, QgAnswer *answer)
  {
    Agent &agent = agents[a];
    Job &job = agent.jobs[answer];
    Command c{ a, agent.incarnation, ++agent.seq, job.key, job.body };
    job.seq = c.seq;
    agent.pending[c.seq] = c;
    log.push_back (c);
  }

  void
  settle (int a, const Job &job, bool released, bool unknown)
  {
    Agent &agent = agents[a];
    Command c{ a, agent.incarnation, ++agent.seq, job.key, job.body };
    c.settle = true;
    c.released = released;
    c.unknown = unknown;
    c.claim_seq = job.seq;
    agent.pending[c.seq] = c;
    log.push_back (c);
  }

  void
  refuse_job (int a, QgAnswer *answer, Message fail)
  {
    for (guint i = 0; qg_answer_nth_reader (answer, i) != nullptr; i++)
      {
        QgAnswerReader *r = qg_answer_nth_reader (answer, i);
        fail.id = qg_answer_reader_origin (r)->id;
        reply (GPOINTER_TO_INT (qg_answer_reader_user (r)) - 1, a, fail);
      }
    agents[a].jobs.erase (answer);
    qg_answer_drop (answer);
  }

  void
  claim_answered (int a, guint64 seq, const Qg__ClaimAnswer *claim_answer)
  {
    Agent &agent = agents[a];
    for (auto &[answer, job] : agent.jobs)
      if (job.seq == seq && !job.running)
        {
          handle_decision (a, answer, claim_answer);
          return;
        }
  }

  void
  handle_decision (int a, QgAnswer *answer, const Qg__ClaimAnswer *claim_answer)
  {
    static const char *names[] = { "a0", "a1", "a2" };
    Job &job = agents[a].jobs[answer];
    QgOnceVerdict v
        = qg_once_decide (claim_answer, names[a], agents[a].incarnation, FALSE);
    Message fail{ Kind::FAIL };
    fail.outcome = v.outcome;
    fail.status = v.status;
    fail.retry = v.retry;
    if (v.action == QG_ONCE_WAIT)
      {
        if (v.release)
          settle (a, job, true, false);
        claim (a, answer);
        return;
      }
    if (v.action == QG_ONCE_RUN
        && (!qg_answer_has_readers (answer) || (faults && below (8) == 0)))
      {
        /* no reader is left, or the target refuses the connection */
        fail.status = QG_E_UNAVAILABLE;
        fail.retry = true;
        settle (a, job, true, false);
        refuse_job (a, answer, fail);
        return;
      }
    if (v.action == QG_ONCE_RUN)
      {
        job.running = true;
        executions[job.key].push_back ({ a, agents[a].incarnation, job.body });
        return;
      }
    if (v.release)
      settle (a, job, true, false);
    if (v.action == QG_ONCE_ATTACH)
      {
        fail.holder = claim_answer->agent[1] - '0';
        fail.holder_incarnation = claim_answer->agent_incarnation;
      }
    refuse_job (a, answer, fail);
  }

  /* The target sends the next part of the answer. */
  void
  send_next_part (int a, QgAnswer *answer)
  {
    Job &job = agents[a].jobs[answer];
    std::string text = text_of (job.key, job.chunks);
    GBytes *b = g_bytes_new (text.data (), text.size ());
    if (job.chunks == 0)
      qg_answer_set_head (answer, b);
    if (job.chunks++ < 3)
      qg_answer_append (answer, b);
    else if (faults && below (10) == 0)
      finish_job (a, answer, false);
    else
      finish_job (a, answer, true);
    g_bytes_unref (b);
    pump (a, answer);
  }

  void
  finish_job (int a, QgAnswer *answer, bool complete)
  {
    Job job = agents[a].jobs[answer];
    agents[a].jobs.erase (answer);
    settle (a, job, false, !complete);
    if (complete)
      qg_answer_end (answer, nullptr, now);
    else
      qg_answer_fail (answer, nullptr, now);
    executions[job.key].back ().complete = complete;
  }

  static std::string
  text_of (const std::string &key, int chunk)
  {
    return std::string (static_cast<size_t> (chunk) + 1, key.back ())
           + std::to_string (chunk);
  }

  static std::string
  full_text (const std::string &key)
  {
    return text_of (key, 0) + text_of (key, 1) + text_of (key, 2);
  }

  void
  pump (int a, QgAnswer *answer)
  {
    for (guint i = 0; qg_answer_nth_reader (answer, i) != nullptr; i++)
      {
        QgAnswerReader *r = qg_answer_nth_reader (answer, i);
        QgAnswerPiece p;
        while (qg_answer_next (r, &p))
          {
            static const Kind kinds[]
                = { Kind::HEAD, Kind::DATA, Kind::END, Kind::FAIL };
            Message m{ kinds[p.kind], qg_answer_reader_origin (r)->id };
            m.offset = p.offset;
            m.outcome = QG_OUTCOME_UNKNOWN; /* used by Kind::FAIL only */
            m.status = QG_E_UNKNOWN;
            if (p.bytes != nullptr)
              m.text.assign (static_cast<const char *> (
                                 g_bytes_get_data (p.bytes, nullptr)),
                             g_bytes_get_size (p.bytes));
            g_clear_pointer (&p.bytes, g_bytes_unref);
            reply (GPOINTER_TO_INT (qg_answer_reader_user (r)) - 1, a, m);
          }
      }
  }

  /* ---- links ---- */
  void
  send (int e, int a, const Message &m)
  {
    if (links[e][a].up)
      links[e][a].to_agent.push_back (m);
  }
  void
  reply (int e, int a, const Message &m)
  {
    if (links[e][a].up)
      links[e][a].to_entry.push_back (m);
  }

  void
  break_link (int e, int a)
  {
    Link &l = links[e][a];
    l = {};
    l.up = false;
    qg_answers_detach_user (agents[a].answers, GINT_TO_POINTER (e + 1), now);
    std::vector<guint64> lost;
    for (auto &[id, c] : entries[e].calls)
      if (c.state == Call::RUNNING && c.agent == a)
        lost.push_back (id);
    for (guint64 id : lost)
      decide (e, id,
              entries[e].calls[id].stream.head_passed ? QG_RETRY_ANSWER_STARTED
                                                      : QG_RETRY_DETACHED,
              true);
  }

  void
  restart_agent (int a)
  {
    for (int e = 0; e < n_entries; e++)
      break_link (e, a);
    Agent &agent = agents[a];
    qg_answers_unref (agent.answers);
    agent.answers = qg_answers_new (nullptr);
    agent.jobs.clear ();
    agent.pending.clear ();
    agent.incarnation++;
    agent.seq = 0;
  }

  void
  restart_entry (int e)
  {
    for (int a = 0; a < n_agents; a++)
      break_link (e, a);
    entries[e].calls.clear (); /* the connections to the callers break */
    entries[e].incarnation++;
    entries[e].last_id = 0;
  }

  /* ---- control ---- */
  void
  apply (Command c)
  {
    static const char *names[] = { "a0", "a1", "a2" };
    std::string hash = hash_of (c.body);
    Qg__ClaimAsk ask = QG__CLAIM_ASK__INIT;
    Qg__ClaimDone done = QG__CLAIM_DONE__INIT;
    Qg__ClaimTake take;
    Qg__ClaimSettle settle;
    Qg__ClaimCommand command = QG__CLAIM_COMMAND__INIT;
    Qg__ClaimResult result;
    Qg__ClaimAnswer answer;
    ask.workspace = done.workspace = const_cast<char *> ("w");
    ask.service = done.service = const_cast<char *> ("s");
    ask.key = done.key = const_cast<char *> (c.key.c_str ());
    ask.agent = done.agent = const_cast<char *> (names[c.agent]);
    ask.agent_incarnation = done.agent_incarnation = c.incarnation;
    ask.seq = c.seq;
    ask.body_hash = { hash.size (), reinterpret_cast<guint8 *> (&hash[0]) };
    done.claim_seq = c.claim_seq;
    done.released = c.released;
    done.unknown = c.unknown;
    qg_once_take_from_ask (&ask, &take);
    qg_once_settle_from_done (&done, &settle);
    command.now_us = now;
    command.kind_case = c.settle ? QG__CLAIM_COMMAND__KIND_SETTLE
                                 : QG__CLAIM_COMMAND__KIND_TAKE;
    if (c.settle)
      command.settle = &settle;
    else
      command.take = &take;
    qg_claim_apply (claims, &command, &result);
    qg_once_answer_from_result (&result, c.seq, &answer);
    if (!c.settle && answer.state == QG__CLAIM_STATE__CLAIM_GRANTED)
      granted[c.key] = { c.agent, c.incarnation, c.body };
    if (faults && below (6) == 0)
      return; /* the leader fails before it sends the answer */
    Agent &agent = agents[c.agent];
    if (agent.incarnation != c.incarnation || agent.pending.erase (c.seq) == 0
        || c.settle)
      return;
    claim_answered (c.agent, c.seq, &answer);
  }

  void
  report_holder_gone (int a, guint64 incarnation)
  {
    static const char *names[] = { "a0", "a1", "a2" };
    Qg__ClaimHolderGone g = QG__CLAIM_HOLDER_GONE__INIT;
    Qg__ClaimCommand command = QG__CLAIM_COMMAND__INIT;
    Qg__ClaimResult result;
    g.agent = const_cast<char *> (names[a]);
    g.incarnation = incarnation;
    command.now_us = now;
    command.kind_case = QG__CLAIM_COMMAND__KIND_HOLDER_GONE;
    command.holder_gone = &g;
    qg_claim_apply (claims, &command, &result);
  }

  void
  sweep_holders ()
  {
    gconstpointer cursor = nullptr;
    QgClaimHolder h;
    std::vector<std::pair<int, guint64> > dead;
    while (qg_claim_next_holder (claims, &cursor, &h))
      if (agents[h.agent[1] - '0'].incarnation != h.incarnation
          || (faults && below (20) == 0)) /* running, but reported gone */
        dead.push_back ({ h.agent[1] - '0', h.incarnation });
    for (auto &[a, incarnation] : dead)
      report_holder_gone (a, incarnation);
  }

  /* The new leader has all applied commands. Commands that were proposed but
   * not applied may be lost. */
  void
  change_leader ()
  {
    gsize size;
    GBytes *b = qg_claim_snapshot (claims);
    const void *data = g_bytes_get_data (b, &size);
    QgClaims *next = qg_claim_new (nullptr);
    qg_claim_restore (next, data, size, nullptr);
    g_bytes_unref (b);
    qg_claim_unref (claims);
    claims = next;
    if (below (2) == 0)
      log.clear ();
  }

  void
  resend_pending (int a)
  {
    for (auto &[seq, c] : agents[a].pending)
      log.push_back (c);
  }

  void step ();
  void random_fault ();
};

} // namespace once_sim

#endif
