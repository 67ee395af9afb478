// Guards against a check that misses a suspect entry of a manifest, or that
// repeats a finding for each of thousands of routes.
#include "lib/manifest_check.h"
#include "platform/platform.h"
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

using Lines = std::vector<std::string>;

void
add (gpointer user, const char *message)
{
  static_cast<Lines *> (user)->push_back (message);
}

QgManifest *
read (const std::string &text)
{
  GBytes *bytes = g_bytes_new (text.data (), text.size ());
  QgErr err = {};
  QgManifest *manifest = platform_read_manifest (bytes, &err);
  EXPECT_NE (manifest, nullptr) << err.message;
  g_bytes_unref (bytes);
  return manifest;
}

Lines
check (const std::string &text)
{
  Lines lines;
  QgManifest *manifest = read (text);
  qg_manifest_check (manifest, add, &lines);
  qg_manifest_unref (manifest);
  return lines;
}

std::string
route (const std::string &change = "")
{
  return "{\"name\":\"r\",\"hostname\":\"h\",\"path_prefix\":\"/a/\","
         "\"route_type\":\"safe\",\"timeout_ms\":1000,"
         "\"target_latency_ms\":100,\"backend\":\"s\""
         + change + "}";
}

std::string
state (const std::string &routes, const std::string &service = "",
       const std::string &rest
       = ",\"tenants\":[{\"name\":\"w\",\"api_keys\":[\"k\"]}]",
       int version = 2)
{
  return "{\"version\":" + std::to_string (version) + ",\"routes\":[" + routes
         + "],\"backends\":[{\"name\":\"s\"" + service + "}]" + rest + "}";
}

bool
has (const Lines &lines, const std::string &part)
{
  for (const std::string &line : lines)
    if (line.find (part) != std::string::npos)
      return true;
  return false;
}

} // namespace

TEST (ManifestCheck, AProperManifestHasNoFindings)
{
  EXPECT_EQ (check (state (route ())), Lines ());
}

TEST (ManifestCheck, FindsEntriesThatCanNeverMatch)
{
  const struct
  {
    std::string text;
    const char *finding;
  } cases[] = {
    { state ("{\"name\":\"r\",\"hostname\":\"\",\"path_prefix\":\"/\","
             "\"route_type\":\"safe\",\"timeout_ms\":1,\"backend\":\"s\"}"),
      "without a host" },
    { state ("{\"name\":\"r\",\"hostname\":\"h\",\"path_prefix\":\"a/\","
             "\"route_type\":\"safe\",\"timeout_ms\":1,\"backend\":\"s\"}"),
      "no path begins" },
    { state ("{\"name\":\"r\",\"hostname\":\"h:80\",\"path_prefix\":\"/\","
             "\"route_type\":\"safe\",\"timeout_ms\":1,\"backend\":\"s\"}"),
      "host with a port" },
    { state ("{\"name\":\"r\",\"hostname\":\"h\",\"path_prefix\":\"/\","
             "\"route_type\":\"safe\",\"timeout_ms\":1,\"traffic_split\":[{"
             "\"backend\":\"s\",\"weight\":0},{\"backend\":\"s\",\"weight\":1}]"
             "}"),
      "weight 0" },
    { state ("", ""), "no route sends" },
    { state (route (), "", ",\"tenants\":[{\"name\":\"w\"}]"),
      "without a key" },
    { state (route (",\"allowed_regions\":[\"x\"]"), "",
             ",\"tenants\":[{\"name\":\"w\",\"api_keys\":[\"k\"],"
             "\"allowed_regions\":[\"y\"]}]"),
      "no target may serve" },
  };

  for (const auto &c : cases)
    EXPECT_TRUE (has (check (c.text), c.finding)) << c.finding;
}

TEST (ManifestCheck, FindsLimitsThatContradictEachOther)
{
  EXPECT_TRUE (has (
      check (state ("{\"name\":\"r\",\"hostname\":\"h\",\"path_prefix\":\"/\","
                    "\"route_type\":\"safe\",\"timeout_ms\":100,"
                    "\"target_latency_ms\":200,\"backend\":\"s\"}")),
      "longer than its timeout"));
  EXPECT_TRUE (
      has (check (state (route (",\"stream_resume\":true"))), "only streams"));
  EXPECT_TRUE (
      has (check (state ("{\"name\":\"r\",\"hostname\":\"h\","
                         "\"path_prefix\":\"/\",\"route_type\":\"unsafe\","
                         "\"timeout_ms\":900,\"target_latency_ms\":200,"
                         "\"backend\":\"s\",\"stream_resume\":true}")),
           "run at most once all the same"));
  EXPECT_TRUE (
      has (check (state (route (), ",\"cold_start_s\":3")), "no rate limits"));
  EXPECT_TRUE (
      has (check (state (route (), ",\"cold_per_s\":3")), "never cold"));
  EXPECT_TRUE (has (check (state (route (), ",\"runtime\":{\"slots\":0}")),
                    "without slots"));
}

TEST (ManifestCheck, ComparesTwoManifests)
{
  QgManifest *old = read (state (route (), "", ""));
  QgManifest *later = read (state (
      "{\"name\":\"r\",\"hostname\":\"h\",\"path_prefix\":\"/a/\","
      "\"route_type\":\"safe\",\"timeout_ms\":2000,"
      "\"target_latency_ms\":100,\"backend\":\"s\"},"
      "{\"name\":\"n\",\"hostname\":\"h\",\"path_prefix\":\"/b/\","
      "\"route_type\":\"safe\",\"timeout_ms\":1,\"backend\":\"s\"}",
      "", ",\"tenants\":[{\"name\":\"w\",\"api_keys\":[\"secret\"]}]", 3));
  Lines lines;
  qg_manifest_compare (old, later, add, &lines);
  EXPECT_EQ (lines.size (), 3u);
  EXPECT_TRUE (has (lines, "route h/a/: changed"));
  EXPECT_TRUE (has (lines, "route h/b/: added"));
  EXPECT_TRUE (has (lines, "workspace w: added"));
  EXPECT_FALSE (has (lines, "secret"));
  lines.clear ();
  qg_manifest_compare (later, old, add, &lines);
  EXPECT_TRUE (has (lines, "not above"));
  EXPECT_TRUE (has (lines, "route h/b/: removed"));
  lines.clear ();
  qg_manifest_compare (old, old, add, &lines);
  EXPECT_EQ (lines.size (), 1u); /* the version */
  qg_manifest_unref (old);
  qg_manifest_unref (later);
}

TEST (ManifestCheck, AFindingOfManyRoutesIsReportedOnceForEachListOfRegions)
{
  std::string routes;
  for (int i = 0; i < 10000; i++)
    routes += (i > 0 ? "," : "")
              + std::string ("{\"name\":\"r\",\"hostname\":\"h\","
                             "\"path_prefix\":\"/")
              + std::to_string (i)
              + "/\",\"route_type\":\"safe\",\"timeout_ms\":1,\"backend\":"
                "\"s\",\"allowed_regions\":[\"x\"]}";
  Lines lines
      = check (state (routes, "",
                      ",\"tenants\":[{\"name\":\"w\",\"api_keys\":[\"k\"],"
                      "\"allowed_regions\":[\"y\"]}]"));
  EXPECT_EQ (lines.size (), 1u);
}
