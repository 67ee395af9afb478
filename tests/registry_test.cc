#include "lib/event.h"
#include "lib/registry.h"
#include <gtest/gtest.h>
#include <map>
#include <string>

namespace
{

const QgRegistryOptions options = { 0, 4 * QG_SEC, 60 * QG_SEC };

QgHeartbeat
heartbeat (const char *id, guint64 born, guint64 sequence,
           const char *address = "10.0.0.1:80", gboolean draining = FALSE)
{
  QgHeartbeat b = {};
  b.id = id;
  b.service = "m";
  b.address = address;
  b.dc = "a";
  b.version = "v1";
  b.slots = 4;
  b.draining = draining;
  b.born_ms = born;
  b.sequence = sequence;
  return b;
}

std::map<std::string, bool>
list (const QgRegistry *registry, guint64 since = 0)
{
  std::map<std::string, bool> out;
  qg_registry_each (
      registry, since,
      [] (const QgTarget *target, gpointer user) {
        (*static_cast<std::map<std::string, bool> *> (user))[target->id]
            = !target->gone;
      },
      &out);
  return out;
}

class Registry : public testing::Test
{
protected:
  QgRegistry *r = qg_registry_new (&options);
  ~Registry () override { qg_registry_free (r); }

  gboolean
  process (const QgHeartbeat &b, QgTime now)
  {
    return qg_registry_heartbeat (r, &b, now);
  }
};

} // namespace

TEST_F (Registry, OnlyChangesIncreaseTheVersion)
{
  EXPECT_TRUE (process (heartbeat ("x", 100, 1), 0));
  EXPECT_FALSE (process (heartbeat ("x", 100, 2), QG_SEC));
  EXPECT_EQ (qg_registry_version (r), 1u);
  EXPECT_TRUE (
      process (heartbeat ("x", 100, 3, "10.0.0.1:80", TRUE), 2 * QG_SEC));
  EXPECT_EQ (qg_registry_version (r), 2u);
}

TEST_F (Registry, IgnoresDelayedAndDuplicateHeartbeats)
{
  process (heartbeat ("x", 100, 5, "10.0.0.1:80", TRUE), 0);
  EXPECT_FALSE (process (heartbeat ("x", 100, 4), QG_SEC));
  EXPECT_FALSE (process (heartbeat ("x", 100, 5), QG_SEC));
  EXPECT_FALSE (process (heartbeat ("x", 99, 50), QG_SEC));
}

TEST_F (Registry, ANewIncarnationRestartsTheSequence)
{
  process (heartbeat ("x", 100, 50), 0);
  EXPECT_TRUE (process (heartbeat ("x", 200, 1), QG_SEC));
}

TEST_F (Registry, AnEarlierIncarnationDoesNotReclaimItsAddress)
{
  process (heartbeat ("old", 100, 5), 0);
  EXPECT_TRUE (process (heartbeat ("new", 200, 1), QG_SEC));
  EXPECT_FALSE (list (r)["old"]);
  /* The heartbeat of the earlier incarnation was delayed by a partition. */
  EXPECT_FALSE (process (heartbeat ("old", 100, 6), 2 * QG_SEC));
  EXPECT_FALSE (list (r)["old"]);
  EXPECT_TRUE (list (r)["new"]);
}

TEST_F (Registry, IgnoresHeartbeatsAfterDeregistration)
{
  process (heartbeat ("x", 100, 5), 0);
  EXPECT_TRUE (qg_registry_deregister (r, "x", 100, QG_SEC));
  EXPECT_FALSE (process (heartbeat ("x", 100, 6), 2 * QG_SEC));
  EXPECT_FALSE (list (r)["x"]);
  EXPECT_TRUE (process (heartbeat ("x", 300, 1), 3 * QG_SEC));
}

TEST_F (Registry, IgnoresADelayedDeregistrationOfAnEarlierIncarnation)
{
  process (heartbeat ("x", 200, 1), 0);
  EXPECT_FALSE (qg_registry_deregister (r, "x", 100, QG_SEC));
  EXPECT_TRUE (list (r)["x"]);
}

TEST_F (Registry, ATargetExpiresAndReturnsWithAHeartbeat)
{
  process (heartbeat ("x", 100, 1), 0);
  EXPECT_FALSE (qg_registry_expire (r, 4 * QG_SEC));
  EXPECT_TRUE (qg_registry_expire (r, 4 * QG_SEC + 1));
  EXPECT_EQ (qg_registry_count (r), 0u);
  EXPECT_TRUE (process (heartbeat ("x", 100, 2), 5 * QG_SEC));
  EXPECT_EQ (qg_registry_count (r), 1u);
}

TEST_F (Registry, ListsChangesSinceAVersion)
{
  process (heartbeat ("x", 100, 1), 0);
  guint64 seen = qg_registry_version (r);
  process (heartbeat ("y", 100, 1, "10.0.0.2:80"), 0);
  EXPECT_EQ (list (r, seen).size (), 1u);
  EXPECT_EQ (list (r, 0).size (), 2u);
}

TEST_F (Registry, ADeregistrationOfATargetThatExpiredHolds)
{
  process (heartbeat ("x", 100, 5), 0);
  qg_registry_expire (r, 5 * QG_SEC);
  EXPECT_TRUE (qg_registry_deregister (r, "x", 100, 6 * QG_SEC));
  EXPECT_FALSE (process (heartbeat ("x", 100, 6), 7 * QG_SEC));
}

TEST_F (Registry, ADeregistrationOfAnUnknownIncarnationHolds)
{
  EXPECT_TRUE (qg_registry_deregister (r, "unknown", 100, 0));
  EXPECT_FALSE (process (heartbeat ("unknown", 100, 6), QG_SEC));
  process (heartbeat ("x", 100, 5, "10.0.0.2:80"), 0);
  EXPECT_TRUE (qg_registry_deregister (r, "x", 200, QG_SEC));
  EXPECT_FALSE (process (heartbeat ("x", 200, 1, "10.0.0.2:80"), 2 * QG_SEC));
  EXPECT_TRUE (process (heartbeat ("x", 300, 1, "10.0.0.2:80"), 2 * QG_SEC));
}

TEST_F (Registry, ALeaveIsSavedOnce)
{
  process (heartbeat ("x", 100, 1), 0);
  EXPECT_EQ (qg_registry_unsaved_leave (r, "x"), nullptr);
  process (heartbeat ("x", 100, 2, "10.0.0.1:80", TRUE), 0);
  EXPECT_NE (qg_registry_unsaved_leave (r, "x"), nullptr);
  qg_registry_leave_saved (r, "x", 99, 2, FALSE);
  EXPECT_NE (qg_registry_unsaved_leave (r, "x"), nullptr);
  qg_registry_leave_saved (r, "x", 100, 2, FALSE);
  process (heartbeat ("x", 100, 3, "10.0.0.1:80", TRUE), 0);
  EXPECT_EQ (qg_registry_unsaved_leave (r, "x"), nullptr);
  qg_registry_deregister (r, "x", 100, 0);
  qg_registry_leave_saved (r, "x", 100, 3, FALSE);
  EXPECT_NE (qg_registry_unsaved_leave (r, "x"), nullptr);
  qg_registry_leave_saved (r, "x", 100, 3, TRUE);
  EXPECT_EQ (qg_registry_unsaved_leave (r, "x"), nullptr);
}

TEST_F (Registry, ALeaveThatWasWithdrawnIsSavedAgain)
{
  process (heartbeat ("x", 100, 2, "10.0.0.1:80", TRUE), 0);
  process (heartbeat ("x", 100, 3), 0);
  qg_registry_leave_saved (r, "x", 100, 2, FALSE);
  EXPECT_EQ (qg_registry_unsaved_leave (r, "x"), nullptr);
  process (heartbeat ("x", 100, 4, "10.0.0.1:80", TRUE), 0);
  qg_registry_leave_saved (r, "x", 100, 2, FALSE);
  EXPECT_NE (qg_registry_unsaved_leave (r, "x"), nullptr);
  qg_registry_leave_saved (r, "x", 100, 4, FALSE);
  EXPECT_EQ (qg_registry_unsaved_leave (r, "x"), nullptr);
}

TEST_F (Registry, RestoredLeavesRejectEarlierHeartbeats)
{
  QgHeartbeat left = heartbeat ("left", 100, 7);
  QgHeartbeat drains = heartbeat ("drains", 100, 7, "10.0.0.2:80", TRUE);
  qg_registry_restore_leave (r, &left, TRUE, 0);
  qg_registry_restore_leave (r, &drains, FALSE, 0);
  EXPECT_FALSE (process (heartbeat ("left", 100, 6), QG_SEC));
  EXPECT_FALSE (process (heartbeat ("drains", 100, 6, "10.0.0.2:80"), QG_SEC));
  EXPECT_FALSE (list (r)["left"]);
  EXPECT_TRUE (list (r)["drains"]);
  EXPECT_EQ (qg_registry_unsaved_leave (r, "left"), nullptr);
  EXPECT_EQ (qg_registry_unsaved_leave (r, "drains"), nullptr);
  EXPECT_TRUE (process (heartbeat ("left", 200, 1), QG_SEC));
  EXPECT_TRUE (process (heartbeat ("drains", 100, 8, "10.0.0.2:80"), QG_SEC));
}

namespace
{

const QgTime beat = 1200 * QG_MSEC;

class RegistryClaims : public testing::Test
{
protected:
  const QgRegistryOptions claim_options = { beat, 4 * beat, 60 * QG_SEC };
  QgRegistry *r = qg_registry_new (&claim_options);
  RegistryClaims () { qg_event_set_level (QG_SEV_ERROR); }
  ~RegistryClaims () override
  {
    qg_registry_free (r);
    qg_event_set_level (QG_SEV_INFO);
  }

  gboolean
  process (const QgHeartbeat &b, QgTime now)
  {
    qg_registry_expire (r, now);
    return qg_registry_heartbeat (r, &b, now);
  }
};

} // namespace

TEST_F (RegistryClaims, OneHeartbeatUnderANewIdDoesNotDisplaceALivingTarget)
{
  process (heartbeat ("x", 100, 1), 0);
  EXPECT_FALSE (process (heartbeat ("y", 200, 1), beat));
  EXPECT_TRUE (list (r)["x"]);
  EXPECT_FALSE (list (r)["y"]);
  EXPECT_FALSE (process (heartbeat ("x", 100, 2), beat + 300 * QG_MSEC));
  EXPECT_TRUE (list (r)["x"]);
}

TEST_F (RegistryClaims, HeartbeatsUnderANewIdDoNotDisplaceALivingTarget)
{
  guint64 sequence = 0;
  for (QgTime now = 0; now < 120 * QG_SEC; now += 100 * QG_MSEC)
    {
      /* Every tenth heartbeat comes 2 s late. */
      QgTime late = (now / beat) % 10 == 9 ? 2 * QG_SEC : 0;
      if (now % beat == 0 && late == 0)
        process (heartbeat ("x", 100, ++sequence), now);
      if (now > 5 * beat && now % (700 * QG_MSEC) == 0)
        process (heartbeat ("y", 200, (guint64)now), now);
      ASSERT_TRUE (list (r)["x"]) << now;
      ASSERT_FALSE (list (r)["y"]) << now;
    }
}

TEST_F (RegistryClaims, ANewLifeGetsItsAddressSoon)
{
  for (QgTime start = 0; start < 4 * QG_SEC; start += 100 * QG_MSEC)
    for (int n_late = 0; n_late <= 2; n_late++)
      {
        QgRegistry *registry = qg_registry_new (&claim_options);
        QgTime in_use = -1;
        QgTime last = 0;
        for (QgTime now = 0; now < 12 * QG_SEC && in_use < 0;
             now += 100 * QG_MSEC)
          {
            qg_registry_expire (registry, now);
            /* Delayed heartbeats of the earlier life. */
            if (now <= n_late * QG_SEC && now % QG_SEC == 0)
              {
                QgHeartbeat x = heartbeat ("x", 100, (guint64)now + 1);
                qg_registry_heartbeat (registry, &x, now);
                last = now;
              }
            if (now >= start && (now - start) % beat == 0)
              {
                QgHeartbeat y = heartbeat ("y", 200, (guint64)now + 1);
                qg_registry_heartbeat (registry, &y, now);
              }
            if (list (registry)["y"])
              in_use = now;
          }
        ASSERT_GE (in_use, 0) << start;
        EXPECT_LE (in_use, MAX (start, last + beat * 3 / 2 + beat))
            << start << " " << n_late;
        if (start >= last + beat * 3 / 2)
          {
            EXPECT_EQ (in_use, start) << n_late;
          }
        qg_registry_free (registry);
      }
}

TEST_F (RegistryClaims, ATargetThatFellSilentLosesItsAddress)
{
  guint64 sequence = 0;
  process (heartbeat ("x", 100, ++sequence), 0);
  for (QgTime now = beat; now <= 10 * beat; now += beat)
    {
      process (heartbeat ("y", 200, (guint64)now), now - 1);
      process (heartbeat ("x", 100, ++sequence), now);
    }
  EXPECT_FALSE (process (heartbeat ("y", 200, 1), 13 * beat));
  EXPECT_TRUE (process (heartbeat ("y", 200, 2), 14 * beat + 1));
  EXPECT_TRUE (list (r)["y"]);
  EXPECT_FALSE (list (r)["x"]);
}

TEST_F (RegistryClaims, WritersWithManyIdsDisplaceNoLivingTarget)
{
  guint64 before = qg_event_count (QG_EV_TARGET_CLAIMED);
  guint64 sequence = 0;
  for (QgTime now = 0; now < 120 * QG_SEC; now += 100 * QG_MSEC)
    {
      /* Every tenth heartbeat is missing. */
      if (now % beat == 0 && (now / beat) % 10 != 9)
        process (heartbeat ("x", 100, ++sequence), now);
      if (now > 5 * beat)
        process (heartbeat (std::to_string (now).c_str (), 200, 1), now);
      ASSERT_TRUE (list (r)["x"]) << now;
    }
  EXPECT_EQ (qg_event_count (QG_EV_TARGET_CLAIMED) - before, 1U);
}
