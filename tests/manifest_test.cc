#include "lib/manifest.h"
#include "lib/manifest_log.h"
#include "lib/rsm.h"
#include "platform/platform.h"
#include <gtest/gtest.h>
#include <string>

namespace
{

const char *const valid_text
    = "{\"version\":7,\"routes\":["
      "{\"name\":\"r1\",\"hostname\":\"h.example\",\"path_prefix\":\"/a/\","
      "\"route_type\":\"streaming\",\"timeout_ms\":6000,"
      "\"target_latency_ms\":400,\"priority\":1,\"traffic_split\":"
      "[{\"backend\":\"m\",\"weight\":90},{\"backend\":\"p\",\"weight\":10}],"
      "\"max_attempts\":2,\"anonymous\":false,\"stream_resume\":true,"
      "\"target_itl_ms\":150,\"allowed_regions\":[\"east\"]},"
      "{\"name\":\"r2\",\"hostname\":\"h.example\",\"path_prefix\":\"/a/b/\","
      "\"route_type\":\"unsafe\",\"timeout_ms\":1000,\"backend\":\"p\","
      "\"max_attempts\":1}],"
      "\"backends\":[{\"name\":\"m\",\"health_check\":\"/healthz\","
      "\"max_connections\":320,\"cold_start_s\":3.0,\"cold_per_s\":20.0,"
      "\"runtime\":{\"slots\":48,\"kv_capacity\":553911}},"
      "{\"name\":\"p\",\"health_check\":\"/healthz\",\"max_connections\":120}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":100,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
      "\"throughput_per_s\":530000},"
      "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\",\"k2\"],"
      "\"priority\":1,\"allowed_regions\":[]},"
      "{\"name\":\"u\",\"api_keys\":[\"k3\"]}]}";

QgManifest *
read (const std::string &text, QgErr *err)
{
  g_autoptr (GBytes) bytes = g_bytes_new (text.data (), text.size ());
  return platform_read_manifest (bytes, err);
}

std::string
replaced (const char *from, const char *to)
{
  std::string text = valid_text;
  size_t at = text.find (from);
  EXPECT_NE (at, std::string::npos) << from;
  return text.replace (at, strlen (from), to);
}

const QgRoute *
route (const QgManifest *m, const char *host, const char *path)
{
  return qg_manifest_find_route (m, host, strlen (host), path, strlen (path));
}

} // namespace

TEST (Manifest, ReadsWhatTheOperatorSent)
{
  QgErr err;
  QgManifest *m = read (valid_text, &err);
  ASSERT_NE (m, nullptr) << err.message;
  EXPECT_EQ (m->version, 7u);
  const QgRoute *r = route (m, "H.Example:80", "/a/x?y=/a/b/");
  ASSERT_NE (r, nullptr);
  EXPECT_STREQ (r->name, "r1");
  EXPECT_TRUE (r->is_streaming && r->resumable);
  EXPECT_EQ (r->timeout, 6 * QG_SEC);
  EXPECT_EQ (r->max_targets, 2u);
  EXPECT_STREQ (route (m, "h.example", "/a/b/c")->name, "r2");
  EXPECT_EQ (route (m, "h.example", "/a"), nullptr);
  EXPECT_EQ (route (m, "other", "/a/"), nullptr);
  EXPECT_STREQ (qg_manifest_find_workspace (m, "k2", 2)->name, "t");
  EXPECT_EQ (qg_manifest_find_workspace (m, "k2x", 3), nullptr);
  EXPECT_EQ (qg_manifest_find_service (m, "m")->model.kv_tokens, 553911u);
  EXPECT_EQ (qg_manifest_find_service (m, "m")->cold_period, 3 * QG_SEC);
  EXPECT_EQ (m->limits.body_bytes, 100u);
  qg_manifest_unref (m);
}

TEST (Manifest, WeightsSplitARoute)
{
  QgErr err;
  QgManifest *m = read (valid_text, &err);
  const QgRoute *r = route (m, "h.example", "/a/x");
  int to_m = 0;
  for (guint64 i = 0; i < 1000; i++)
    to_m += strcmp (qg_manifest_choose_service (
                        m, r, (guint32)(((2 * i + 1) << 31) / 1000))
                        ->name,
                    "m")
            == 0;
  EXPECT_EQ (to_m, 900);
  qg_manifest_unref (m);
}

TEST (Manifest, RegionsOfRouteAndWorkspaceBothApply)
{
  GPtrArray *none = g_ptr_array_new ();
  GPtrArray *east = g_ptr_array_new ();
  GPtrArray *west = g_ptr_array_new ();
  g_ptr_array_add (east, (gpointer) "east");
  g_ptr_array_add (west, (gpointer) "west");
  EXPECT_TRUE (qg_regions_allow (none, nullptr, "x"));
  EXPECT_TRUE (qg_regions_allow (east, none, "east"));
  EXPECT_FALSE (qg_regions_allow (east, none, "west"));
  EXPECT_FALSE (qg_regions_allow (east, west, "east"));
  EXPECT_FALSE (qg_regions_allow (east, west, "west"));
  g_ptr_array_unref (none);
  g_ptr_array_unref (east);
  g_ptr_array_unref (west);
}

class BadManifest
    : public testing::TestWithParam<std::pair<const char *, const char *> >
{
};

TEST_P (BadManifest, IsRefused)
{
  QgErr err = {};
  QgManifest *m = read (replaced (GetParam ().first, GetParam ().second), &err);
  EXPECT_EQ (m, nullptr);
  EXPECT_EQ (err.status, QG_E_INVALID);
  EXPECT_NE (err.message[0], '\0');
  qg_manifest_unref (m);
}

INSTANTIATE_TEST_SUITE_P (
    Each, BadManifest,
    testing::Values (
        std::make_pair ("\"k3\"]}]}", "\"k3\"]}"),
        std::make_pair ("\"backend\":\"p\",\"max", "\"backend\":\"q\",\"max"),
        std::make_pair ("\"/a/b/\"", "\"/a/\""),
        std::make_pair ("\"weight\":90},{\"backend\":\"p\",\"weight\":10",
                        "\"weight\":0},{\"backend\":\"p\",\"weight\":0"),
        std::make_pair ("\"timeout_ms\":1000", "\"timeout_ms\":0"),
        std::make_pair ("\"k3\"", "\"k1\""),
        std::make_pair ("\"version\":7", "\"version\":\"7\""),
        std::make_pair ("\"unsafe\"", "\"sometimes\"")));

TEST (Manifest, TruncatedTextIsRefused)
{
  std::string text = valid_text;
  for (size_t n = 0; n < text.size (); n += 7)
    {
      QgErr err = {};
      EXPECT_EQ (read (text.substr (0, n), &err), nullptr) << n;
    }
}

namespace
{

guint64
apply (QgRsm *rsm, guint64 index, GBytes *command, gboolean *changed)
{
  gsize len;
  gconstpointer data = g_bytes_get_data (command, &len);
  GBytes *packed = qg_rsm_apply (rsm, index, data, len);
  Qg__StateResult *result = qg_rsm_result (packed);
  *changed = result->manifest->changed;
  guint64 change = result->manifest->change;
  qg__state_result__free_unpacked (result, nullptr);
  g_bytes_unref (packed);
  g_bytes_unref (command);
  return change;
}

GBytes *
put (guint64 version, const char *text)
{
  g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));
  return qg_rsm_command_manifest (version, bytes, 1);
}

} // namespace

TEST (ManifestLog, KeepsTheHighestVersion)
{
  QgRsm *rsm = qg_rsm_new ();
  gboolean changed;
  EXPECT_EQ (apply (rsm, 1, put (5, "five"), &changed), 1u);
  EXPECT_TRUE (changed);
  EXPECT_EQ (apply (rsm, 2, put (5, "other"), &changed), 1u);
  EXPECT_FALSE (changed);
  EXPECT_EQ (apply (rsm, 3, put (4, "four"), &changed), 1u);
  EXPECT_FALSE (changed);
  EXPECT_EQ (apply (rsm, 4, put (9, "nine"), &changed), 2u);
  const QgManifestLog *log = qg_rsm_manifest (rsm);
  EXPECT_EQ (log->version, 9u);
  EXPECT_EQ (log->previous, 5u);
  EXPECT_EQ (memcmp (g_bytes_get_data (log->text, NULL), "nine", 4), 0);
  qg_rsm_unref (rsm);
}

TEST (ManifestLog, DrainsSurviveASnapshot)
{
  QgRsm *rsm = qg_rsm_new ();
  QgRsm *copy = qg_rsm_new ();
  gboolean changed;
  QgErr err;
  apply (rsm, 1, put (5, "five"), &changed);
  apply (rsm, 2, qg_rsm_command_drain ("east", TRUE, 1), &changed);
  apply (rsm, 3, qg_rsm_command_drain ("west", TRUE, 1), &changed);
  apply (rsm, 4, qg_rsm_command_drain ("east", FALSE, 1), &changed);
  EXPECT_EQ (apply (rsm, 5, qg_rsm_command_drain ("west", TRUE, 1), &changed),
             4u);
  EXPECT_FALSE (changed);
  g_autoptr (GBytes) snapshot = qg_rsm_snapshot (rsm);
  gsize len;
  gconstpointer data = g_bytes_get_data (snapshot, &len);
  ASSERT_EQ (qg_rsm_restore (copy, data, len, &err), QG_OK);
  const QgManifestLog *log = qg_rsm_manifest (copy);
  EXPECT_EQ (log->version, 5u);
  EXPECT_EQ (log->previous, 0u);
  EXPECT_EQ (log->changed_at, qg_rsm_manifest (rsm)->changed_at);
  EXPECT_GT (log->changed_at, 0);
  EXPECT_EQ (log->change, 4u);
  GPtrArray *drained = qg_manifest_log_drained (log);
  ASSERT_EQ (drained->len, 1u);
  EXPECT_STREQ ((const char *)g_ptr_array_index (drained, 0), "west");
  g_ptr_array_unref (drained);
  qg_rsm_unref (rsm);
  qg_rsm_unref (copy);
}

TEST (Beat, ReadsAHeartbeatAndRefusesOthers)
{
  const char *good
      = "{\"backend\":\"m\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
        "\"slots\":48,\"state\":\"draining\",\"cold_remaining_ms\":1500.5,"
        "\"sequence\":4,\"version\":\"v1\",\"born\":1700000000000}";
  const char *bad[]
      = { "",
          "[]",
          "{\"backend\":\"m\"}",
          "{\"backend\":\"m\",\"address\":\"1.1.1.1:8\",\"zone\":\"a\","
          "\"slots\":48,\"state\":\"asleep\",\"sequence\":4}",
          "{\"backend\":\"m\",\"address\":\"1.1.1.1:70000\",\"zone\":\"a\","
          "\"slots\":48,\"state\":\"ready\",\"sequence\":4}",
          "{\"backend\":\"m\",\"address\":\"1.1.1.1:0\",\"zone\":\"a\","
          "\"slots\":48,\"state\":\"ready\",\"sequence\":4}",
          "{\"backend\":\"m\",\"address\":\"nowhere:80\",\"zone\":\"a\","
          "\"slots\":48,\"state\":\"ready\",\"sequence\":4}",
          "{\"backend\":\"m\",\"address\":7,\"zone\":\"a\",\"slots\":48,"
          "\"state\":\"ready\",\"sequence\":4}" };
  PlatformHeartbeat beat;
  QgErr err;
  ASSERT_TRUE (
      platform_read_heartbeat ("i-1", good, strlen (good), &beat, &err));
  EXPECT_STREQ (beat.heartbeat.id, "i-1");
  EXPECT_TRUE (beat.heartbeat.draining);
  EXPECT_EQ (beat.heartbeat.cold_remaining, 1500500);
  EXPECT_EQ (beat.heartbeat.born_ms, 1700000000000u);
  platform_heartbeat_clear (&beat);
  for (const char *text : bad)
    {
      EXPECT_FALSE (
          platform_read_heartbeat ("i-1", text, strlen (text), &beat, &err))
          << text;
      platform_heartbeat_clear (&beat);
    }
}

/* Fault: another writer sends deeply nested values, or numbers out of range. */
TEST (Beat, OddValuesAreRefusedOrClamped)
{
  const std::string start
      = "{\"backend\":\"m\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
        "\"slots\":48,\"state\":\"ready\",\"sequence\":4,\"version\":\"v\",";
  PlatformHeartbeat beat;
  guint64 born;
  QgErr err;
  for (const char *open : { "[", "{\"x\":", "/*\"*/[", "'\"',[" })
    {
      std::string text = start + "\"x\":";
      for (int i = 0; i < 100000; i++)
        text += i == 0 || open[0] == '[' || open[0] == '{' ? open : "[";
      EXPECT_FALSE (platform_read_heartbeat ("i-1", text.data (), text.size (),
                                             &beat, &err));
      platform_heartbeat_clear (&beat);
      EXPECT_FALSE (
          platform_read_leave ("i-1", text.data (), text.size (), &born, &err));
      EXPECT_EQ (born, 0u);
      g_autoptr (GBytes) bytes = g_bytes_new (text.data (), text.size ());
      EXPECT_EQ (platform_read_manifest (bytes, &err), nullptr);
    }
  for (const char *cold : { "1e300", "-1e300", "-5" })
    {
      std::string text = start + "\"cold_remaining_ms\":" + cold + "}";
      ASSERT_TRUE (platform_read_heartbeat ("i-1", text.data (), text.size (),
                                            &beat, &err));
      EXPECT_GE (beat.heartbeat.cold_remaining, 0);
      EXPECT_LE (beat.heartbeat.cold_remaining, 86400 * QG_SEC);
      platform_heartbeat_clear (&beat);
    }
  std::string name (300, 'x');
  std::string text = start + "\"version\":\"" + name + "\"}";
  EXPECT_FALSE (platform_read_heartbeat (name.c_str (), text.data (),
                                         text.size (), &beat, &err));
  platform_heartbeat_clear (&beat);
}

/* Fault: the check compared all routes of a host with each other, which took
 * longer than the leader's lease. */
TEST (Manifest, ManyRoutesOfOneHostAreReadAndCompared)
{
  std::string text = "{\"version\":1,\"routes\":[";
  for (int i = 0; i < 3000; i++)
    text += (i > 0 ? "," : "") + std::string ("{\"hostname\":\"H.example\",")
            + "\"path_prefix\":\"/" + std::to_string (i)
            + "/\",\"route_type\":\"safe\",\"timeout_ms\":1,\"backend\":\"m\"}";
  const std::string end = "],\"backends\":[{\"name\":\"m\"}]}";
  QgErr err;
  QgManifest *m = read (text + end, &err);
  ASSERT_NE (m, nullptr) << err.message;
  EXPECT_STREQ (route (m, "h.example", "/2999/x")->prefix, "/2999/");
  qg_manifest_unref (m);
  EXPECT_EQ (read (text
                       + ",{\"hostname\":\"h.EXAMPLE\",\"path_prefix\":\"/7/\","
                         "\"route_type\":\"safe\",\"timeout_ms\":1,"
                         "\"backend\":\"m\"}"
                       + end,
                   &err),
             nullptr);
}

TEST (Dialect, AnIdleTimeoutOutOfRangeIsLong)
{
  const struct
  {
    const char *text;
    QgTime expected;
  } cases[] = {
    { "timeout=5, max=100", 5 * QG_SEC },
    { "timeout=0", 0 },
    { "timeout=9223372036855", 86400 * QG_SEC },
    { "timeout=9999999999999999999999", 86400 * QG_SEC },
    { "max=100", -1 },
  };

  for (const auto &it : cases)
    {
      QgH1Header header
          = { { "Keep-Alive", 10 }, { it.text, strlen (it.text) } };
      QgH1Head head = {};
      QgAnswerInfo info;
      head.status = 200;
      head.n_headers = 1;
      head.headers = &header;
      qg_platform_dialect ()->read_answer (&head, &info);
      EXPECT_EQ (info.idle_limit, it.expected) << it.text;
    }
}
