#include "lib/servedby.h"
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

struct Route
{
  std::string prefix;
  std::vector<std::string> services;
  bool resumable = true;
};

class ServedBy : public testing::Test
{
protected:
  QgServedBy *servedby = qg_servedby_new ();
  QgManifest *manifest = nullptr;

  ~ServedBy () override
  {
    qg_servedby_free (servedby);
    if (manifest != nullptr)
      qg_manifest_unref (manifest);
  }

  bool
  update (const std::vector<Route> &routes, QgTime now)
  {
    GBytes *text = g_bytes_new_static ("", 0);

    if (manifest != nullptr)
      qg_manifest_unref (manifest);
    manifest = qg_manifest_new (1, text);
    g_bytes_unref (text);
    for (const Route &from : routes)
      {
        QgRoute *route = qg_manifest_add_route (manifest);
        route->name = qg_str_new ("r");
        route->host = qg_str_new ("h");
        route->prefix = qg_str_new (from.prefix.c_str ());
        route->resumable = from.resumable;
        for (const std::string &service : from.services)
          qg_route_add_split (route, service.c_str (), 1);
      }
    return qg_servedby_update (servedby, manifest, now);
  }

  bool
  has_changed (guint n, QgTime now)
  {
    return qg_servedby_has_changed (
        servedby,
        static_cast<const QgRoute *> (g_ptr_array_index (manifest->routes, n)),
        now);
  }
};

} // namespace

TEST_F (ServedBy, ARouteThatMovesToAnotherServiceHasChangedForAWhile)
{
  EXPECT_FALSE (update ({ { "/a/", { "x" } }, { "/b/", { "x" } } }, QG_SEC));
  EXPECT_FALSE (has_changed (0, QG_SEC));
  EXPECT_TRUE (update ({ { "/a/", { "y" } }, { "/b/", { "x" } } }, 2 * QG_SEC));
  EXPECT_TRUE (has_changed (0, 2 * QG_SEC));
  EXPECT_FALSE (has_changed (1, 2 * QG_SEC));
  EXPECT_FALSE (
      update ({ { "/b/", { "x" } }, { "/a/", { "y" } } }, 3 * QG_SEC));
  EXPECT_TRUE (has_changed (1, 2 * QG_SEC + QG_SERVEDBY_HOLD));
  EXPECT_FALSE (has_changed (1, 2 * QG_SEC + QG_SERVEDBY_HOLD + 1));
}

TEST_F (ServedBy, NewRoutesAndOtherSplitsAreChangesButWeightsAndOrderAreNot)
{
  EXPECT_FALSE (update ({ { "/a/", { "x", "y" } } }, QG_SEC));
  EXPECT_FALSE (update ({ { "/a/", { "y", "x" } } }, 2 * QG_SEC));
  EXPECT_TRUE (update ({ { "/a/", { "x" } } }, 3 * QG_SEC));
  EXPECT_TRUE (has_changed (0, 3 * QG_SEC));
  EXPECT_TRUE (
      update ({ { "/a/", { "x" } }, { "/a/b/", { "x" } } }, 60 * QG_SEC));
  EXPECT_TRUE (has_changed (1, 60 * QG_SEC));
}

TEST_F (ServedBy, RoutesThatCannotBeResumedDoNotMatter)
{
  EXPECT_FALSE (update ({}, QG_SEC));
  EXPECT_FALSE (update ({ { "/a/", { "x" }, false } }, 2 * QG_SEC));
  EXPECT_FALSE (update ({ { "/a/", { "y" }, false } }, 3 * QG_SEC));
  EXPECT_FALSE (has_changed (0, 3 * QG_SEC));
}
