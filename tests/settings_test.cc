#include "lib/settings.h"
#include <gtest/gtest.h>
#include <string>

namespace
{

const char good[] = "[daemon]\nname=a1\nroles=agent\ndc=perth-a\n"
                    "region=perth\nfleet_key_file=key\n"
                    "[agent t1]\nservice=drape-model\ntarget=127.0.0.1:9001\n"
                    "[peers]\ncontrol=c1@10.0.0.1:70;c2@10.0.0.2:70\n";

std::string
problems_of (const std::string &text)
{
  QgProblems problems;
  qg_problems_init (&problems, "f.ini");
  QgSettings *settings
      = qg_settings_parse (text.data (), text.size (), &problems);
  char *all = qg_problems_text (&problems);
  std::string out = all;
  EXPECT_EQ (settings == NULL, !out.empty ());
  g_free (all);
  qg_settings_unref (settings);
  qg_problems_clear (&problems);
  return out;
}

} // namespace

TEST (Settings, ValidSettingsAreParsedWithDefaults)
{
  QgProblems problems;
  qg_problems_init (&problems, "f.ini");
  QgSettings *s = qg_settings_parse (good, sizeof good - 1, &problems);
  ASSERT_NE (s, nullptr);
  EXPECT_STREQ (s->daemon.name, "a1");
  EXPECT_EQ (s->daemon.roles, static_cast<guint64> (QG_ROLE_AGENT));
  EXPECT_EQ (s->daemon.cut_off, static_cast<guint64> (QG_CUT_OFF_REFUSE));
  ASSERT_EQ (s->n_agents, 1u);
  EXPECT_STREQ (s->agents[0].service, "drape-model");
  EXPECT_EQ (s->agents[0].hold_ms, 600000u);
  ASSERT_EQ (s->n_peers, 2u);
  EXPECT_STREQ (s->peers[1].address, "10.0.0.2:70");
  qg_settings_unref (s);
  qg_problems_clear (&problems);
}

// Processes that wrote one seed in two forms took it for two members.
TEST (Settings, ASeedHasOneNameWhateverItsForm)
{
  std::string text (good);
  text.replace (text.find ("control="), std::string::npos,
                "seeds=10.0.0.1:70, 10.0.0.2:70 ,[2001:db8:0::1]:70,"
                "2001:DB8::1,c1:70\nseed_port=9\n");
  QgProblems problems;
  qg_problems_init (&problems, "f.ini");
  QgSettings *s = qg_settings_parse (text.data (), text.size (), &problems);
  ASSERT_NE (s, nullptr);
  ASSERT_EQ (s->n_peers, 3u);
  EXPECT_STREQ (s->peers[0].name, "10.0.0.1");
  EXPECT_STREQ (s->peers[1].name, "10.0.0.2");
  EXPECT_STREQ (s->peers[1].address, "10.0.0.2:9");
  EXPECT_STREQ (s->peers[2].name, "2001:db8::1");
  EXPECT_STREQ (s->peers[2].address, "[2001:db8::1]:9");
  qg_settings_unref (s);
  qg_problems_clear (&problems);
}

TEST (Settings, StandaloneDefaultIsValid)
{
  QgSettings *s = qg_settings_standalone ();
  ASSERT_NE (s, nullptr);
  EXPECT_EQ (s->daemon.roles, 7u);
  EXPECT_EQ (s->n_agents, 2u);
  qg_settings_unref (s);
}

TEST (Settings, AllProblemsAreReportedWithLineKeyAndRange)
{
  std::string out = problems_of ("[daemon]\nname=a b\nroles=entry;cook\n"
                                 "dc=perth-a\nregion=perth\nfoo=1\n"
                                 "[entry]\nlisten=here\nqueue_limit=0\n"
                                 "[kitchen]\nx=1\n");
  EXPECT_NE (out.find ("f.ini:2: [daemon] name: \"a b\""), std::string::npos);
  EXPECT_NE (out.find ("f.ini:3: [daemon] roles:"), std::string::npos);
  EXPECT_NE (out.find ("f.ini:6: [daemon] foo: unknown key"),
             std::string::npos);
  EXPECT_NE (out.find ("f.ini:8: [entry] listen:"), std::string::npos);
  EXPECT_NE (out.find ("f.ini:9: [entry] queue_limit: \"0\" is not allowed; "
                       "give a number from 1 to 1000000"),
             std::string::npos);
  EXPECT_NE (out.find ("f.ini:10: [kitchen] unknown group"), std::string::npos);
}

TEST (Settings, PeersNeedTheFleetKey)
{
  std::string text = good;
  text.replace (text.find ("fleet_key_file=key\n"), 19, "");
  EXPECT_NE (problems_of (text).find ("[daemon] fleet_key_file: is required"),
             std::string::npos);
}

TEST (Settings, DuplicateSectionIsRefused)
{
  EXPECT_NE (problems_of (std::string (good) + "[daemon]\nname=b\n")
                 .find ("the section stands twice"),
             std::string::npos);
}

// A region that was dropped silently opened routes of one region to others.
TEST (Settings, AMalformedRegionOfADataCentreIsRefused)
{
  const std::string relay
      = "[daemon]\nname=a1\nroles=relay\ndc=perth-a\nregion=perth\n"
        "fleet_key_file=key\n[relay]\nlisten=127.0.0.1:80\n"
        "[peers]\ncontrol=c1@10.0.0.1:70\n";
  auto with = [&relay] (const std::string &value) {
    std::string text = relay;
    text.insert (text.find ("[peers]"), "dc_regions=" + value + "\n");
    return problems_of (text);
  };

  for (const char *value :
       { "", "perth-a:perth", "perth-a:perth, hobart-a:hobart",
         "perth-a:perth,perth-b:perth,perth-a:perth" })
    EXPECT_EQ (with (value), "") << value;
  for (const char *value :
       { "perth-a", "perth-a:", ":perth", ",", "perth-a:perth,",
         "perth-a:perth,hobart-a hobart", "perth-a:perth;hobart-a:hobart",
         "perth-a:per th", "a:b:c", "perth-a:perth,perth-a:hobart" })
    EXPECT_NE (with (value).find ("[relay] dc_regions: "), std::string::npos)
        << value;
}
