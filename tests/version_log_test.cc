#include "lib/registry.h"
#include "lib/rsm.h"
#include <gtest/gtest.h>

namespace
{

class VersionLog : public testing::Test
{
protected:
  QgRsm *rsm = qg_rsm_new ();
  guint64 index = 0;

  ~VersionLog () override { qg_rsm_unref (rsm); }

  bool
  apply (const char *service, const char *version, gboolean ended)
  {
    gsize len;
    GBytes *command = qg_rsm_command_version (service, version, ended, 1);
    gconstpointer data = g_bytes_get_data (command, &len);
    GBytes *packed = qg_rsm_apply (rsm, ++index, data, len);
    Qg__StateResult *result = qg_rsm_result (packed);
    bool changed = result->target_version->changed;

    qg__state_result__free_unpacked (result, NULL);
    g_bytes_unref (packed);
    g_bytes_unref (command);
    return changed;
  }

  bool
  has (const char *service, const char *version)
  {
    return qg_version_log_has (qg_rsm_versions (rsm), service, version);
  }
};

}

TEST_F (VersionLog, HoldsAVersionOfAServiceUntilItEnds)
{
  EXPECT_FALSE (has ("m", "v1"));
  EXPECT_TRUE (apply ("m", "v1", FALSE));
  EXPECT_FALSE (apply ("m", "v1", FALSE));
  EXPECT_TRUE (apply ("m", "v2", FALSE));
  EXPECT_TRUE (apply ("n", "", FALSE));
  EXPECT_TRUE (has ("m", "v1") && has ("m", "v2") && has ("n", ""));
  EXPECT_FALSE (has ("n", "v1"));
  EXPECT_TRUE (apply ("m", "v1", TRUE));
  EXPECT_FALSE (apply ("m", "v1", TRUE));
  EXPECT_FALSE (has ("m", "v1"));
  EXPECT_TRUE (has ("m", "v2"));
}

TEST_F (VersionLog, IsPartOfASnapshot)
{
  QgRsm *other = qg_rsm_new ();
  gsize len;

  apply ("m", "v1", FALSE);
  apply ("m", "v2", FALSE);
  GBytes *snapshot = qg_rsm_snapshot (rsm);
  gconstpointer data = g_bytes_get_data (snapshot, &len);
  EXPECT_EQ (qg_rsm_restore (other, data, len, NULL), QG_OK);
  EXPECT_TRUE (qg_version_log_has (qg_rsm_versions (other), "m", "v2"));
  GBytes *again = qg_rsm_snapshot (other);
  EXPECT_TRUE (g_bytes_equal (snapshot, again));
  g_bytes_unref (again);
  g_bytes_unref (snapshot);
  qg_rsm_unref (other);
}

TEST_F (VersionLog, TakesNoMoreThanItsLimit)
{
  for (guint i = 0; i < QG_VERSIONS_MAX; i++)
    EXPECT_TRUE (apply ("m", std::to_string (i).c_str (), FALSE));
  EXPECT_FALSE (apply ("m", "more", FALSE));
  EXPECT_TRUE (apply ("m", "7", TRUE));
  EXPECT_TRUE (apply ("m", "more", FALSE));
}

TEST (RegistryVersions, KnowsWhenAVersionWasLastHeardOf)
{
  QgRegistryOptions options = { 0, 4 * QG_SEC, 120 * QG_SEC };
  QgRegistry *registry = qg_registry_new (&options);
  QgHeartbeat beat = {};

  beat.id = "a";
  beat.service = "m";
  beat.address = "10.0.0.1:1";
  beat.dc = "d";
  beat.version = "v1";
  beat.slots = 1;
  beat.sequence = 1;
  qg_registry_heartbeat (registry, &beat, QG_SEC);
  EXPECT_EQ (qg_registry_version_seen (registry, "m", "v1"), QG_SEC);
  EXPECT_EQ (qg_registry_version_seen (registry, "m", "v2"), 0);
  EXPECT_EQ (qg_registry_version_seen (registry, "n", "v1"), 0);
  qg_registry_expire (registry, 9 * QG_SEC);
  EXPECT_EQ (qg_registry_count (registry), 0u);
  EXPECT_EQ (qg_registry_version_seen (registry, "m", "v1"), QG_SEC);
  qg_registry_free (registry);
}

TEST (RegistryVersions, KnowsAVersionWhoseTargetRestartedWithAnother)
{
  QgRegistryOptions options = { 0, 4 * QG_SEC, 120 * QG_SEC };
  QgRegistry *registry = qg_registry_new (&options);
  QgHeartbeat beat = {};

  beat.id = "a";
  beat.service = "m";
  beat.address = "10.0.0.1:1";
  beat.dc = "d";
  beat.version = "v1";
  beat.slots = 1;
  beat.sequence = 1;
  qg_registry_heartbeat (registry, &beat, 5 * QG_SEC);
  beat.version = "v2";
  beat.born_ms = 1;
  qg_registry_heartbeat (registry, &beat, 6 * QG_SEC);
  EXPECT_EQ (qg_registry_version_seen (registry, "m", "v1"), 5 * QG_SEC);
  EXPECT_EQ (qg_registry_version_seen (registry, "m", "v2"), 6 * QG_SEC);
  qg_registry_free (registry);
}

TEST (RegistryVersions, PublishesTheTargetsOfAVersionAgain)
{
  QgRegistryOptions options = { 0, 4 * QG_SEC, 120 * QG_SEC };
  QgRegistry *registry = qg_registry_new (&options);
  QgHeartbeat beat = {};
  guint n = 0;

  beat.service = "m";
  beat.dc = "d";
  beat.slots = 1;
  beat.sequence = 1;
  for (const char *id : { "a", "b", "c" })
    {
      beat.id = id;
      beat.address = id;
      beat.version = *id == 'c' ? "v2" : "v1";
      qg_registry_heartbeat (registry, &beat, QG_SEC);
    }
  guint64 before = qg_registry_version (registry);
  qg_registry_touch_version (registry, "m", "v1");
  qg_registry_each (
      registry, before,
      [] (const QgTarget *, gpointer user) { ++*static_cast<guint *> (user); },
      &n);
  EXPECT_EQ (n, 2u);
  before = qg_registry_version (registry);
  qg_registry_touch_version (registry, "m", "none");
  EXPECT_GT (qg_registry_version (registry), before);
  qg_registry_free (registry);
}
