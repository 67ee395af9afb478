#include "daemon/httpaccept.h"
#include "daemon/liboperator.h"
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

/** Fake control member without peers: applies each proposed command at once. A
 * test can make the member a follower, or lose the answer to a command. */
struct Member
{
  QgRsm *rsm = qg_rsm_new ();
  guint64 index = 0;
  bool leads = true;
  bool loses_answer = false;
  std::vector<std::string> members = { "c1" };

  ~Member () { qg_rsm_unref (rsm); }
};

Member *
member_of (gpointer user)
{
  return static_cast<Member *> (user);
}

void
propose (gpointer user, GBytes *command, QgOperatorDone done,
         gpointer done_user)
{
  Member *m = member_of (user);
  gsize len;
  gconstpointer data = g_bytes_get_data (command, &len);
  GBytes *packed = qg_rsm_apply (m->rsm, ++m->index, data, len);
  if (m->loses_answer)
    done (done_user, QG_E_UNKNOWN, "the leader changed", NULL);
  else
    {
      Qg__StateResult *result = qg_rsm_result (packed);
      done (done_user, QG_OK, NULL, result);
      qg__state_result__free_unpacked (result, NULL);
    }
  g_bytes_unref (packed);
}

QgStatus
may_serve (gpointer user, QgErr *err)
{
  return member_of (user)->leads ? QG_OK
                                 : qg_fail (err, QG_E_NOT_LEADER, "c2 leads");
}

void
daemons (gpointer user, QgOperatorVisitDaemon visit, gpointer visit_user)
{
  QgOperatorDaemon rows[] = {
    { "e1", QG__ROLE__ROLE_ENTRY, "perth-a", "", "127.0.0.1:1", 1, 3, 0 },
    { "a1", QG__ROLE__ROLE_AGENT, "perth-a", "m", "127.0.0.1:2", 0, 3, 0 },
  };
  for (auto &row : rows)
    visit (visit_user, &row);
}

const QgOperatorOps ops = {
  may_serve,
  [] (gpointer) -> QgTime { return 1000; },
  [] (gpointer user) { return member_of (user)->rsm; },
  propose,
  [] (gpointer) -> guint64 { return 4; },
  [] (gpointer) -> gboolean { return FALSE; },
  [] (gpointer) -> const char * { return "c1"; },
  daemons,
  [] (gpointer user, QgOperatorVisitMember visit, gpointer visit_user) {
    for (auto &name : member_of (user)->members)
      {
        QgOperatorMember row = { name.c_str (), "127.0.0.1:9", TRUE, TRUE, 1 };
        visit (visit_user, &row);
      }
  },
  [] (gpointer user, const char *name, const char *, QgErr *) -> QgStatus {
    member_of (user)->members.push_back (name);
    return QG_OK;
  },
  [] (gpointer, const char *, QgErr *err) -> QgStatus {
    return qg_fail (err, QG_E_NOT_FOUND, "no such member");
  },
};

class Operator : public ::testing::Test
{
protected:
  Member member;
  QgSettings *settings = nullptr;
  QgOperatorServer *server = nullptr;
  SoupSession *session = nullptr;
  std::string base, text, revision;

  static std::string
  sha256_hex (const char *key)
  {
    char *hex = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
    std::string out = hex;
    g_free (hex);
    return out;
  }

  void
  SetUp () override
  {
    std::string ini = qg_settings_standalone_text ();
    ini.replace (ini.find ("127.0.0.1:8081"), 14, "127.0.0.1:0");
    ini += "[operator pat]\nteams=workspaces;dcs;services\nkey_sha256="
           + sha256_hex ("pat-key") + "\n[operator dee]\nteams=dcs\nkey_sha256="
           + sha256_hex ("dee-key") + "\n";
    QgProblems problems;
    QgErr err;
    qg_problems_init (&problems, NULL);
    settings = qg_settings_parse (ini.data (), ini.size (), &problems);
    ASSERT_NE (settings, nullptr);
    qg_problems_clear (&problems);
    server = qg_operator_server_new (settings, &ops, &member, &err);
    ASSERT_NE (server, nullptr) << err.message;
    base = "http://127.0.0.1:"
           + std::to_string (qg_httpaccept_port (server->http_server));
    session = soup_session_new ();
    soup_session_set_proxy_resolver (session, NULL);
  }

  void
  TearDown () override
  {
    g_object_unref (session);
    qg_operator_server_free (server);
    qg_settings_unref (settings);
  }

  guint
  call (const char *method, const std::string &path,
        const std::string &body = "", const char *key = "pat-key")
  {
    SoupMessage *msg = soup_message_new (method, (base + path).c_str ());
    std::string bearer = std::string ("Bearer ") + key;
    bool done = false;
    if (*key != '\0')
      soup_message_headers_replace (soup_message_get_request_headers (msg),
                                    "Authorization", bearer.c_str ());
    if (!body.empty ())
      {
        GBytes *bytes = g_bytes_new (body.data (), body.size ());
        soup_message_set_request_body_from_bytes (msg, "application/json",
                                                  bytes);
        g_bytes_unref (bytes);
      }
    struct Wait
    {
      bool *done;
      std::string *text;
    } wait = { &done, &text };
    soup_session_send_and_read_async (
        session, msg, G_PRIORITY_DEFAULT, NULL,
        [] (GObject *source, GAsyncResult *result, gpointer user) {
          Wait *w = static_cast<Wait *> (user);
          GBytes *bytes = soup_session_send_and_read_finish (
              SOUP_SESSION (source), result, NULL);
          w->text->clear ();
          if (bytes != NULL)
            w->text->assign (
                static_cast<const char *> (g_bytes_get_data (bytes, NULL)),
                g_bytes_get_size (bytes));
          if (bytes != NULL)
            g_bytes_unref (bytes);
          *w->done = true;
        },
        &wait);
    while (!done)
      g_main_context_iteration (NULL, TRUE);
    guint status = soup_message_get_status (msg);
    const char *r = soup_message_headers_get_one (
        soup_message_get_response_headers (msg), "QG-Revision");
    revision = r != NULL ? r : "";
    g_object_unref (msg);
    return status;
  }

  bool
  body_contains (const std::string &part) const
  {
    return text.find (part) != std::string::npos;
  }
};

const char first[] = "{\"change_id\":\"c1\",\"base\":0,\"sections\":{"
                     "\"dc perth-a\":\"[dc perth-a]\\nregion=perth\","
                     "\"service m\":\"[service m]\\nkind=model\"}}";

} // namespace

TEST_F (Operator, RefusesUnknownTokens)
{
  EXPECT_EQ (call ("GET", "/v1/status", "", ""), 401u);
  EXPECT_EQ (call ("POST", "/v1/changes", first, "other-key"), 401u);
  EXPECT_EQ (qg_conf_revision (qg_rsm_conf (member.rsm)), 0u);
}

TEST_F (Operator, FollowerRefusesRequests)
{
  member.leads = false;
  EXPECT_EQ (call ("GET", "/v1/document"), 503u);
  EXPECT_TRUE (body_contains ("\"kind\":\"not-leader\"")) << text;
  EXPECT_TRUE (body_contains ("c2 leads"));
}

TEST_F (Operator, AppliesARepeatedChangeOnce)
{
  EXPECT_EQ (call ("POST", "/v1/changes", first), 200u) << text;
  EXPECT_TRUE (body_contains ("\"revision\":1"));
  EXPECT_EQ (call ("POST", "/v1/changes", first), 200u);
  EXPECT_TRUE (body_contains ("\"revision\":1"))
      << "a repeated change must get the same answer";
  EXPECT_EQ (call ("GET", "/v1/document"), 200u);
  EXPECT_EQ (revision, "1");
  EXPECT_TRUE (body_contains ("[service m]\nkind=model"));
  EXPECT_EQ (call ("GET", "/v1/document?revision=0"), 200u);
  EXPECT_EQ (text, "");
  EXPECT_EQ (call ("GET", "/v1/document?revision=9"), 404u);
  EXPECT_EQ (call ("GET", "/v1/history"), 200u);
  EXPECT_TRUE (body_contains ("\"operator\":\"pat\"")) << text;
  EXPECT_EQ (call ("GET", "/v1/diff?from=0&to=1"), 200u);
  EXPECT_TRUE (body_contains ("@ [dc perth-a] added")) << text;
  EXPECT_EQ (call ("GET", "/v1/status"), 200u);
  EXPECT_TRUE (body_contains ("\"daemons\":2,\"in_force\":1")) << text;
}

TEST_F (Operator, ConflictNamesTheWinningChange)
{
  call ("POST", "/v1/changes", first);
  EXPECT_EQ (call ("POST", "/v1/changes",
                   "{\"change_id\":\"c2\",\"base\":0,\"sections\":{"
                   "\"dc perth-a\":\"[dc perth-a]\\nregion=x\"}}",
                   "dee-key"),
             409u);
  EXPECT_TRUE (body_contains ("\"winner\":\"pat\",\"winner_change\":\"c1\""))
      << text;
  EXPECT_TRUE (body_contains ("\"overlap\":[\"dc perth-a\"]")) << text;
}

TEST_F (Operator, RetryAfterUnknownOutcomeGetsTheResult)
{
  member.loses_answer = true;
  EXPECT_EQ (call ("POST", "/v1/changes", first), 502u);
  EXPECT_TRUE (body_contains ("\"run\":\"unknown\"")) << text;
  member.loses_answer = false;
  EXPECT_EQ (call ("POST", "/v1/changes", first), 200u);
  EXPECT_TRUE (body_contains ("\"revision\":1")) << text;
}

TEST_F (Operator, RefusesChangesOfOtherTeams)
{
  call ("POST", "/v1/changes", first);
  EXPECT_EQ (call ("POST", "/v1/changes",
                   "{\"change_id\":\"out\",\"edits\":[{\"section\":"
                   "\"dc perth-a\",\"key\":\"state\",\"value\":\"out\"}]}",
                   "dee-key"),
             200u)
      << text;
  EXPECT_EQ (call ("POST", "/v1/changes",
                   "{\"change_id\":\"s\",\"edits\":[{\"section\":"
                   "\"service m\",\"key\":\"slots\",\"value\":\"9\"}]}",
                   "dee-key"),
             403u);
  EXPECT_EQ (call ("DELETE", "/v1/quarantine", "", "dee-key"), 403u);
  EXPECT_EQ (call ("DELETE", "/v1/quarantine"), 200u);
}

TEST_F (Operator, AddsAndRemovesMembers)
{
  EXPECT_EQ (call ("POST", "/v1/members",
                   "{\"name\":\"c2\",\"address\":\"127.0.0.1:7\"}"),
             202u);
  EXPECT_EQ (
      call ("POST", "/v1/members", "{\"name\":\"c2\",\"address\":\"here\"}"),
      400u);
  EXPECT_EQ (call ("DELETE", "/v1/members/c9"), 404u);
  EXPECT_EQ (member.members.size (), 2u);
}

TEST_F (Operator, RefusesInvalidInput)
{
  const char *bad[] = {
    "",
    "[]",
    "{",
    "{\"change_id\":1}",
    "{\"change_id\":\"x\",\"sections\":[]}",
    "{\"change_id\":\"x\",\"sections\":{\"dc a\":[1]}}",
    "{\"change_id\":\"x\",\"edits\":[1]}",
    "{\"change_id\":\"x\",\"edits\":[{\"section\":\"dc a\"}]}",
    "{\"change_id\":\"x\",\"edits\":[]}",
    "{\"change_id\":\"no name\",\"base\":0,\"sections\":{}}",
  };
  for (const char *body : bad)
    EXPECT_EQ (call ("POST", "/v1/changes", body), 400u) << body << text;
  EXPECT_EQ (call ("GET", "/v1/nothing"), 404u);
  EXPECT_EQ (call ("DELETE", "/v1/status"), 400u);
  EXPECT_EQ (call ("GET", "/v1/history?count=x"), 400u);
  EXPECT_EQ (call ("DELETE", "/v1/quarantine/zz"), 400u);
}
