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
  guint64 version = 0;

  ~ServedBy () override
  {
    qg_servedby_free (servedby);
    if (manifest != nullptr)
      qg_manifest_unref (manifest);
  }

  bool
  update (const std::vector<Route> &routes, QgTime now)
  {
    return update (routes, version, now, now);
  }

  bool
  update (const std::vector<Route> &routes, guint64 previous,
          QgTime accepted_at, QgTime now)
  {
    GBytes *text = g_bytes_new_static ("", 0);
    QgErr err;

    if (manifest != nullptr)
      qg_manifest_unref (manifest);
    manifest = qg_manifest_new (version = MAX (version, previous) + 3, text);
    g_bytes_unref (text);
    for (const Route &from : routes)
      {
        QgRoute *route = qg_manifest_add_route (manifest);
        route->name = qg_str_new ("r");
        route->host = qg_str_new ("h");
        route->prefix = qg_str_new (from.prefix.c_str ());
        route->resumable = from.resumable;
        route->timeout = QG_SEC;
        for (const std::string &service : from.services)
          qg_route_add_split (route, service.c_str (), 1);
      }
    for (const char *service : { "x", "y" })
      qg_manifest_add_service (manifest, service);
    EXPECT_EQ (qg_manifest_finish (manifest, &err), QG_OK) << err.message;
    return qg_servedby_update (servedby, manifest, previous, accepted_at, now);
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

TEST_F (ServedBy, RoutesOfAMissedManifestMayHaveHadOtherServices)
{
  EXPECT_FALSE (update ({ { "/a/", { "x" } } }, QG_SEC));
  EXPECT_TRUE (
      update ({ { "/a/", { "x" } } }, version + 1, 3 * QG_SEC, 9 * QG_SEC));
  EXPECT_TRUE (has_changed (0, 9 * QG_SEC));
  EXPECT_TRUE (has_changed (0, 3 * QG_SEC + QG_SERVEDBY_HOLD));
  EXPECT_FALSE (has_changed (0, 3 * QG_SEC + QG_SERVEDBY_HOLD + 1));
  EXPECT_FALSE (update ({ { "/a/", { "x" } } }, version + 1, 100 * QG_SEC,
                        100 * QG_SEC + QG_SERVEDBY_HOLD + 1));
}

TEST_F (ServedBy, TheFirstManifestOfAProcessMayHaveChangedItsRoutes)
{
  EXPECT_TRUE (update ({ { "/a/", { "x" } } }, 4, QG_SEC, 2 * QG_SEC));
  EXPECT_TRUE (has_changed (0, 2 * QG_SEC));
}

TEST_F (ServedBy, AnOldManifestIsNoChange)
{
  EXPECT_FALSE (update ({ { "/a/", { "x" } } }, 4, QG_SEC,
                        QG_SEC + QG_SERVEDBY_HOLD + 1));
}

TEST_F (ServedBy, TheSameManifestAgainIsNoChange)
{
  EXPECT_FALSE (update ({ { "/a/", { "x" } } }, QG_SEC));
  EXPECT_FALSE (qg_servedby_update (servedby, manifest, 0, QG_SEC, 2 * QG_SEC));
  EXPECT_FALSE (has_changed (0, 2 * QG_SEC));
}

TEST_F (ServedBy, ARouteThatInheritsPathsOfAnotherServiceHasChanged)
{
  EXPECT_FALSE (update (
      { { "/a/", { "x" } }, { "/a/b/", { "y" } }, { "/a/c/", { "x" } } },
      QG_SEC));
  EXPECT_FALSE (
      update ({ { "/a/", { "x" } }, { "/a/b/", { "y" } } }, 2 * QG_SEC));
  EXPECT_FALSE (has_changed (0, 2 * QG_SEC));
  EXPECT_TRUE (update ({ { "/a/", { "x" } } }, 3 * QG_SEC));
  EXPECT_TRUE (has_changed (0, 3 * QG_SEC));
  EXPECT_FALSE (update ({}, 4 * QG_SEC));
}

TEST_F (ServedBy, EachRouteMayInheritPathsOfManyThatWereRemoved)
{
  std::vector<Route> routes = { { "/a/", { "x" } } };
  for (int i = 0; i < 100; i++)
    routes.push_back ({ "/b/" + std::to_string (i) + "/", { "x" } });
  EXPECT_FALSE (update (routes, QG_SEC));
  EXPECT_TRUE (update ({ { "/a/", { "x" } } }, 2 * QG_SEC));
  EXPECT_TRUE (has_changed (0, 2 * QG_SEC));
}
