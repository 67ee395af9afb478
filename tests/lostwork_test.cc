#include "lib/lostwork.h"
#include <cstring>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <vector>

namespace
{

using Print = std::vector<guint8>;

Print
print_of (int n)
{
  Print print (QG_POISON_FINGERPRINT_BYTES);
  memcpy (print.data (), &n, sizeof n);
  return print;
}

struct Work
{
  QgLostWork *of = qg_lost_work_new ();
  ~Work () { qg_lost_work_free (of); }

  void
  add (int print, const char *agent, guint64 incarnation, QgTime now = 0,
       bool alone = false)
  {
    Print bytes = print_of (print);
    QgLostRequest request
        = { agent, incarnation, "halls", bytes.data (), alone, TRUE };
    qg_lost_work_add (of, &request, now);
  }

  /** The requests that are in flight at the crash that the connection of a
   * process shows. */
  std::vector<Print>
  connected (const char *agent, guint64 incarnation, QgTime now = 0)
  {
    std::vector<Print> prints;
    QgLostCrash *crash = qg_lost_work_connected (of, agent, incarnation, now);
    if (crash == nullptr)
      return prints;
    EXPECT_STREQ (crash->service, "halls");
    EXPECT_NE (crash->incarnation, incarnation);
    EXPECT_TRUE (crash->sound);
    for (guint i = 0; i < crash->fingerprints->len; i++)
      {
        auto *print = static_cast<guint8 *> (
            g_ptr_array_index (crash->fingerprints, i));
        prints.emplace_back (print, print + QG_POISON_FINGERPRINT_BYTES);
      }
    qg_lost_crash_free (crash);
    return prints;
  }
};

/** Applies the crash that an entry reports; see control_on_crash_ask(). */
void
report (QgPoison *poison, const char *agent, guint64 incarnation,
        std::vector<Print> prints)
{
  std::vector<ProtobufCBinaryData> data;
  for (Print &print : prints)
    data.push_back ({ print.size (), print.data () });
  Qg__PoisonCrash crash = QG__POISON_CRASH__INIT;
  Qg__PoisonCommand command = QG__POISON_COMMAND__INIT;
  crash.service = const_cast<char *> ("halls");
  crash.agent = const_cast<char *> (agent);
  crash.incarnation = incarnation;
  crash.seq = G_MAXUINT64;
  crash.n_fingerprints = data.size ();
  crash.fingerprints = data.data ();
  command.kind_case = QG__POISON_COMMAND__KIND_CRASH;
  command.crash = &crash;
  qg__poison_result__free_unpacked (qg_poison_apply (poison, &command),
                                    nullptr);
}

} // namespace

/* Fault: a request ends its target together with the agent, which reports no
 * crash. */
TEST (LostWork, AnotherProcessOfTheAgentShowsACrash)
{
  Work work;
  work.add (1, "d1", 10);
  work.add (2, "d1", 10);
  work.add (3, "d2", 10);
  EXPECT_EQ (work.connected ("d1", 11),
             (std::vector<Print>{ print_of (1), print_of (2) }));
  EXPECT_TRUE (work.connected ("d1", 12).empty ());
  EXPECT_EQ (work.connected ("d2", 11).size (), 2u);
}

/* Fault: requests count as in flight at a crash because a connection broke. */
TEST (LostWork, AProcessThatConnectsAgainShowsNoCrash)
{
  Work work;
  work.add (1, "d1", 10);
  EXPECT_TRUE (work.connected ("d1", 10).empty ());
  EXPECT_TRUE (work.connected ("d1", 11).empty ());
}

/* Fault: a request counts as alone, which is proof, though requests of other
 * entries may have been there. */
TEST (LostWork, OnlyARequestThatRanAloneIsReportedAsAlone)
{
  Work work;
  work.add (1, "d1", 10);
  EXPECT_EQ (work.connected ("d1", 11).size (), 2u);
  work.add (1, "d1", 11, 0, true);
  EXPECT_EQ (work.connected ("d1", 12).size (), 1u);
  work.add (1, "d1", 12, 0, true);
  work.add (2, "d1", 12, 0, true);
  EXPECT_EQ (work.connected ("d1", 13).size (), 2u);
}

/* Fault: memory grows with agents that never return and with requests. */
TEST (LostWork, IsBounded)
{
  Work work;
  for (int n = 0; n < 2 * QG_POISON_MAX_CRASH_FINGERPRINTS; n++)
    work.add (n, "busy", 1);
  EXPECT_EQ (work.connected ("busy", 2).size (),
             size_t (QG_POISON_MAX_CRASH_FINGERPRINTS));
  for (int n = 0; n < QG_LOST_WORK_MAX_AGENTS; n++)
    work.add (1, ("d" + std::to_string (n)).c_str (), 1);
  work.add (1, "late", 1, QG_SEC);
  EXPECT_TRUE (work.connected ("late", 2, QG_SEC).empty ());
  work.add (1, "late", 1, QG_LOST_WORK_RETENTION + QG_SEC);
  EXPECT_FALSE (
      work.connected ("late", 2, QG_LOST_WORK_RETENTION + QG_SEC).empty ());
}

/* Fault: an agent returns after so long that its end says nothing. */
TEST (LostWork, ForgetsAfterTheRetention)
{
  Work work;
  work.add (1, "d1", 10);
  EXPECT_TRUE (work.connected ("d1", 11, QG_LOST_WORK_RETENTION + 1).empty ());
}

/* Random connections that break and processes that end: what is reported is
 * what was lost with the last process before, since that process connected
 * last. */
TEST (LostWork, ReportsWhatWasLostWithTheProcessThatEnded)
{
  std::mt19937 rng (45);
  Work work;
  std::map<std::string, std::vector<Print> > lost;
  std::map<std::string, guint64> incarnations;
  for (int i = 0; i < 20000; i++)
    {
      std::string agent = "d" + std::to_string (rng () % 5);
      guint64 &incarnation = incarnations[agent];
      std::vector<Print> &prints = lost[agent];
      if (rng () % 3 != 0)
        {
          work.add (i, agent.c_str (), incarnation);
          prints.push_back (print_of (i));
          continue;
        }
      bool ended = rng () % 2 == 0;
      incarnation += ended ? 1 : 0;
      if (!ended)
        prints.clear ();
      if (prints.size () == 1)
        prints.push_back (prints[0]);
      EXPECT_EQ (work.connected (agent.c_str (), incarnation), prints);
      prints.clear ();
    }
}

/* Faults: such a request isn't found; or the same end, which two entries
 * report, counts twice. */
TEST (LostWork, ThreeEndsOfAgentsQuarantineTheRequest)
{
  QgPoison *poison = qg_poison_new ();
  Print bad = print_of (1);
  for (guint64 end = 0; end < 3; end++)
    {
      const char *agent = end == 0 ? "d1" : "d2";
      QgPoisonLevel level = qg_poison_level (poison, bad.data ());
      Work work;
      work.add (1, agent, end, 0, level >= QG_POISON_ALONE);
      EXPECT_EQ (level, QgPoisonLevel (end));
      std::vector<Print> prints = work.connected (agent, end + 1);
      report (poison, agent, end, { print_of (2), print_of (3) });
      report (poison, agent, end, prints);
      report (poison, agent, end, prints);
    }
  EXPECT_EQ (qg_poison_level (poison, bad.data ()), QG_POISON_QUARANTINED);
  EXPECT_NE (qg_poison_level (poison, print_of (2).data ()),
             QG_POISON_QUARANTINED);
  qg_poison_unref (poison);
}
