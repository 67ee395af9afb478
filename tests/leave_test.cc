#include "lib/leave.h"
#include "lib/rsm.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>

namespace
{

Qg__TargetLeave
leave (const char *id, guint64 born, guint64 sequence, gboolean gone = FALSE)
{
  Qg__TargetLeave l = QG__TARGET_LEAVE__INIT;
  l.id = const_cast<char *> (id);
  l.service = const_cast<char *> ("m");
  l.address = const_cast<char *> ("10.0.0.1:80");
  l.dc = const_cast<char *> ("a");
  l.born_ms = born;
  l.sequence = sequence;
  l.gone = gone;
  return l;
}

class Leaves : public testing::Test
{
protected:
  QgLeaves leaves;
  Leaves () { qg_leaves_init (&leaves); }
  ~Leaves () override { qg_leaves_clear (&leaves); }

  gboolean
  apply (const Qg__TargetLeave &l)
  {
    return qg_leaves_apply (&leaves, &l);
  }

  std::string
  list ()
  {
    size_t n;
    Qg__TargetLeave **rows = qg_leaves_list (&leaves, &n);
    std::string out;
    for (size_t i = 0; i < n; i++)
      out += std::string (rows[i]->id) + (rows[i]->gone ? "!" : "") + " ";
    g_free (rows);
    return out;
  }
};

} // namespace

TEST_F (Leaves, TheLaterIncarnationAndTheDeregistrationHold)
{
  EXPECT_TRUE (apply (leave ("x", 100, 5)));
  EXPECT_FALSE (apply (leave ("x", 100, 5)));
  EXPECT_FALSE (apply (leave ("x", 99, 9, TRUE)));
  EXPECT_TRUE (apply (leave ("x", 100, 0, TRUE)));
  EXPECT_FALSE (apply (leave ("x", 100, 9)));
  EXPECT_EQ (list (), "x! ");
  EXPECT_TRUE (apply (leave ("x", 200, 1)));
  EXPECT_EQ (list (), "x ");
}

TEST_F (Leaves, TheOldestAreDropped)
{
  apply (leave ("first", 1, 1));
  apply (leave ("second", 1, 1));
  apply (leave ("first", 1, 2));
  for (int i = 0; i < QG_LEAVES_MAX - 1; i++)
    apply (leave (("t" + std::to_string (i)).c_str (), 1, 1));
  EXPECT_EQ (leaves.order.length, (guint)QG_LEAVES_MAX);
  EXPECT_EQ (list ().substr (0, 6), "first ");
}

RC_GTEST_PROP (LeavesInTheLog, SurviveASnapshot, ())
{
  QgRsm *rsm = qg_rsm_new (), *copy = qg_rsm_new ();
  int n = *rc::gen::inRange (0, 40);
  gsize len;
  QgErr err;

  for (int i = 1; i <= n; i++)
    {
      std::string id = "t" + std::to_string (*rc::gen::inRange (0, 10));
      Qg__TargetLeave l = leave (id.c_str (), *rc::gen::inRange<guint64> (0, 3),
                                 *rc::gen::inRange<guint64> (0, 5),
                                 *rc::gen::arbitrary<bool> ());
      GBytes *command = qg_rsm_command_leave (&l, i);
      gconstpointer data = g_bytes_get_data (command, &len);
      GBytes *packed = qg_rsm_apply (rsm, i, data, len);
      Qg__StateResult *result = qg_rsm_result (packed);
      RC_ASSERT (result != nullptr);
      qg__state_result__free_unpacked (result, NULL);
      g_bytes_unref (packed);
      g_bytes_unref (command);
    }
  GBytes *before = qg_rsm_snapshot (rsm);
  gconstpointer data = g_bytes_get_data (before, &len);
  RC_ASSERT (qg_rsm_restore (copy, data, len, &err) == QG_OK);
  GBytes *after = qg_rsm_snapshot (copy);
  RC_ASSERT (g_bytes_equal (before, after));
  g_bytes_unref (before);
  g_bytes_unref (after);
  qg_rsm_unref (rsm);
  qg_rsm_unref (copy);
}
