#include "lib/event.h"
#include "lib/rsm.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

namespace
{

GBytes *
conf_command (const std::string &id, guint64 based_on, int weight, QgTime now)
{
  std::string text = "[workspace w]\nweight=" + std::to_string (weight);
  Qg__ConfSection section = QG__CONF_SECTION__INIT;
  Qg__ConfSection *sections = &section;
  Qg__ConfChange change = QG__CONF_CHANGE__INIT;
  section.id = const_cast<char *> ("workspace w");
  section.text.data = reinterpret_cast<uint8_t *> (&text[0]);
  section.text.len = text.size ();
  change.change_id = const_cast<char *> (id.c_str ());
  change.author = const_cast<char *> ("ann");
  change.teams = 7;
  change.based_on = based_on;
  change.n_sections = 1;
  change.sections = &sections;
  return qg_rsm_command_conf (&change, now);
}

GBytes *
claim_command (const std::string &key, QgTime now)
{
  Qg__ClaimTake take = QG__CLAIM_TAKE__INIT;
  Qg__ClaimCommand claim = QG__CLAIM_COMMAND__INIT;
  static uint8_t hash[32];
  take.workspace = const_cast<char *> ("w");
  take.service = const_cast<char *> ("bookings-app");
  take.key = const_cast<char *> (key.c_str ());
  take.body_hash = { sizeof hash, hash };
  take.agent = const_cast<char *> ("a1");
  take.incarnation = 1;
  take.address = const_cast<char *> ("127.0.0.1:1");
  take.seq = 1;
  claim.kind_case = QG__CLAIM_COMMAND__KIND_TAKE;
  claim.take = &take;
  return qg_rsm_command_claim (&claim, now);
}

GBytes *
crash_command (int seq, QgTime now)
{
  Qg__PoisonCrash crash = QG__POISON_CRASH__INIT;
  Qg__PoisonCommand poison = QG__POISON_COMMAND__INIT;
  uint8_t print[32] = { static_cast<uint8_t> (seq) };
  ProtobufCBinaryData prints = { sizeof print, print };
  crash.service = const_cast<char *> ("m");
  crash.agent = const_cast<char *> ("a1");
  crash.incarnation = 1;
  crash.seq = static_cast<uint64_t> (seq);
  crash.n_fingerprints = 1;
  crash.fingerprints = &prints;
  poison.kind_case = QG__POISON_COMMAND__KIND_CRASH;
  poison.crash = &crash;
  return qg_rsm_command_poison (&poison, now);
}

std::string
apply (QgRsm *rsm, guint64 index, GBytes *command)
{
  gsize len;
  gconstpointer data = g_bytes_get_data (command, &len);
  GBytes *result = qg_rsm_apply (rsm, index, data, len);
  std::string out = "stopped";
  if (result != NULL)
    {
      data = g_bytes_get_data (result, &len);
      out.assign (static_cast<const char *> (data), len);
      g_bytes_unref (result);
    }
  return out;
}

std::string
snapshot (const QgRsm *rsm)
{
  GBytes *bytes = qg_rsm_snapshot (rsm);
  gsize len;
  gconstpointer data = g_bytes_get_data (bytes, &len);
  std::string out (static_cast<const char *> (data), len);
  g_bytes_unref (bytes);
  return out;
}

} // namespace

TEST (Rsm, ASecondApplyIsStopped)
{
  QgRsm *rsm = qg_rsm_new ();
  GBytes *command = conf_command ("c1", 0, 1, 10);
  guint64 before = qg_event_count (QG_EV_INV_APPLIED);
  apply (rsm, 5, command);
  EXPECT_EQ (apply (rsm, 5, command), "stopped");
  EXPECT_EQ (qg_event_count (QG_EV_INV_APPLIED), before + 1);
  g_bytes_unref (command);
  qg_rsm_unref (rsm);
}

TEST (Rsm, ANewerVersionStopsTheMember)
{
  QgRsm *rsm = qg_rsm_new ();
  Qg__StateCommand command = QG__STATE_COMMAND__INIT;
  uint8_t packed[16];
  command.version = QG_RSM_VERSION + 1;
  size_t len = qg__state_command__pack (&command, packed);
  EXPECT_EQ (qg_rsm_apply (rsm, 1, packed, len), nullptr);
  EXPECT_EQ (qg_rsm_index (rsm), 0u);
  qg_rsm_unref (rsm);
}

TEST (Rsm, AWrongTimeOfDayDoesNotMoveTimeFarFromTheTimeElapsed)
{
  QgRsm *rsm = qg_rsm_new ();
  GBytes *first = claim_command ("k1", 1000 * QG_SEC);
  EXPECT_EQ (qg_rsm_stamp (rsm, 1000 * QG_SEC, 5), 1000 * QG_SEC);
  apply (rsm, 1, first);
  EXPECT_EQ (qg_rsm_stamp (rsm, 1024 * QG_SEC, 24 * QG_SEC), 1024 * QG_SEC);
  EXPECT_EQ (qg_rsm_stamp (rsm, 999999 * QG_SEC, 24 * QG_SEC), 1025 * QG_SEC);
  EXPECT_EQ (qg_rsm_stamp (rsm, 0, 24 * QG_SEC), 1012 * QG_SEC);
  g_bytes_unref (first);
  qg_rsm_unref (rsm);
}

TEST (Rsm, AnEarlierLeaderTimeDoesNotSetTimeBack)
{
  QgRsm *rsm = qg_rsm_new ();
  GBytes *a = claim_command ("k1", 1000), *b = claim_command ("k2", 10);
  apply (rsm, 1, a);
  apply (rsm, 2, b);
  EXPECT_EQ (qg_rsm_now (rsm), 1000);
  g_bytes_unref (a);
  g_bytes_unref (b);
  qg_rsm_unref (rsm);
}

TEST (Rsm, AReplacedProcessIsStale)
{
  QgRsm *rsm = qg_rsm_new ();
  guint64 incarnations[] = { 1, 1, 2, 1, 3, 2, 3 };
  bool stale[] = { false, false, false, true, false, true, false };
  for (guint i = 0; i < 7; i++)
    {
      GBytes *c = qg_rsm_command_epoch ("a1", incarnations[i], 1);
      gsize len;
      gconstpointer data = g_bytes_get_data (c, &len);
      GBytes *packed = qg_rsm_apply (rsm, i + 1, data, len);
      Qg__StateResult *r = qg_rsm_result (packed);
      EXPECT_EQ (r->epoch->stale, stale[i]) << i;
      qg__state_result__free_unpacked (r, NULL);
      g_bytes_unref (packed);
      g_bytes_unref (c);
    }
  EXPECT_EQ (qg_rsm_epoch (rsm, "a1", NULL), 5u);
  qg_rsm_unref (rsm);
}

TEST (Rsm, AnyFlippedByteOfASnapshotIsFound)
{
  QgRsm *rsm = qg_rsm_new ();
  GBytes *command = conf_command ("c1", 0, 1, 10);
  apply (rsm, 1, command);
  std::string good = snapshot (rsm);
  for (size_t i = 0; i < good.size (); i++)
    {
      std::string bad = good;
      bad[i] = static_cast<char> (bad[i] ^ 1);
      EXPECT_EQ (qg_rsm_restore (rsm, bad.data (), bad.size (), NULL),
                 QG_E_CORRUPT);
    }
  EXPECT_EQ (snapshot (rsm), good);
  g_bytes_unref (command);
  qg_rsm_unref (rsm);
}

/* Applies the same log to two members. One member is restored from its snapshot
 * at random steps. Results and states of the two must stay byte-identical. */
RC_GTEST_PROP (Rsm, ARestoredMemberStaysEqual, ())
{
  QgRsm *a = qg_rsm_new (), *b = qg_rsm_new ();
  int steps = *rc::gen::inRange (1, 60);
  for (int i = 1; i <= steps; i++)
    {
      QgTime now = *rc::gen::inRange (0, 4) * 3600 * 12 * QG_SEC;
      GBytes *command;
      switch (*rc::gen::inRange (0, 5))
        {
        case 0:
          command
              = conf_command ("c" + std::to_string (*rc::gen::inRange (0, 20)),
                              qg_conf_revision (qg_rsm_conf (a))
                                  - (*rc::gen::inRange (0, 4) == 0),
                              *rc::gen::inRange (1, 5), now);
          break;
        case 1:
          command = claim_command (
              "k" + std::to_string (*rc::gen::inRange (0, 6)), now);
          break;
        case 2:
          command = crash_command (*rc::gen::inRange (0, 6), now);
          break;
        case 3:
          command = qg_rsm_command_epoch (
              "a1", static_cast<guint64> (*rc::gen::inRange (1, 15)), now);
          break;
        default:
          command = g_bytes_new ("\xff\xff", 2);
        }
      RC_ASSERT (apply (a, static_cast<guint64> (i), command)
                 == apply (b, static_cast<guint64> (i), command));
      g_bytes_unref (command);
      if (*rc::gen::inRange (0, 6) == 0)
        {
          std::string s = snapshot (b);
          QgRsm *fresh = qg_rsm_new ();
          RC_ASSERT (qg_rsm_restore (fresh, s.data (), s.size (), NULL)
                     == QG_OK);
          qg_rsm_unref (b);
          b = fresh;
        }
      RC_ASSERT (snapshot (a) == snapshot (b));
    }
  qg_rsm_unref (a);
  qg_rsm_unref (b);
}
