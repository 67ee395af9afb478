#include "lib/mesh.h"
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace
{

/* Simulates relays in data centres. All relays have requests in flight at one
 * target. Messages are delivered at the end of each round of reports. */
class Fleet
{
public:
  struct Node
  {
    Fleet *fleet;
    std::string name;
    std::string dc;
    QgMesh *mesh;
    guint32 inflight = 1;
    bool alive = true;
    int sent = 0;
    int received = 0;
    std::map<std::string, guint32> from; /* requests in flight by source */
    std::multiset<guint64> prefixes;
    std::multiset<guint64> streams;   /* attempts */
    std::map<guint64, double> limits; /* by target, as last told */
    guint32 demand = 0;
    std::map<std::string, guint32> demand_from; /* by source */
  };
  std::map<std::string, std::unique_ptr<Node> > nodes;
  QgTime now = QG_SEC;

  Fleet (int n_dcs, int n_relays)
  {
    for (int d = 0; d < n_dcs; d++)
      for (int r = 0; r < n_relays; r++)
        add ("dc" + std::to_string (d),
             "r" + std::to_string (100 + r) + "-" + std::to_string (d));
    update_list ();
  }

  ~Fleet ()
  {
    for (auto &node : nodes)
      qg_mesh_free (node.second->mesh);
  }

  Node &
  operator[] (const std::string &name)
  {
    return *nodes.at (name);
  }

  void
  update_list ()
  {
    for (auto &a : nodes)
      {
        qg_mesh_relays_begin (a.second->mesh);
        for (auto &b : nodes)
          if (b.second->alive)
            qg_mesh_relay (a.second->mesh, b.first.c_str (),
                           b.second->dc.c_str ());
        qg_mesh_relays_end (a.second->mesh);
      }
    for (auto &a : nodes)
      for (auto &b : nodes)
        if (b.second->alive
            && qg_mesh_should_connect (a.second->mesh, b.first.c_str ()))
          link (a.first, b.first, TRUE);
  }

  void
  kill (const std::string &name)
  {
    nodes[name]->alive = false;
    for (auto &node : nodes)
      qg_mesh_set_connected (node.second->mesh, name.c_str (), FALSE);
  }

  void
  round ()
  {
    for (auto &node : nodes)
      {
        Node &n = *node.second;
        QgMeshLoad load = { 7, n.inflight * 1000, n.inflight, n.demand };
        n.sent = n.received = 0;
        if (n.alive)
          qg_mesh_send_reports (n.mesh, &load, n.inflight > 0 ? 1 : 0, now);
      }
    now += QG_MESH_PERIOD;
    for (auto &m : std::exchange (messages, {}))
      {
        Node &to = *nodes[m.to];
        QgMeshMsg msg = { m.scope,
                          (guint)m.loads.size (),
                          m.loads.data (),
                          (guint)m.prefixes.size (),
                          m.prefixes.data (),
                          (guint)m.limits.size (),
                          m.limits.data (),
                          (guint)m.streams.size (),
                          m.streams.data () };
        to.received++;
        if (!to.alive)
          continue;
        qg_mesh_receive (to.mesh, m.from.c_str (), &msg, now);
        for (auto &prefix : m.prefixes)
          to.prefixes.insert (prefix.key);
        for (auto &stream : m.streams)
          to.streams.insert (stream.attempt);
        for (auto &limit : m.limits)
          to.limits[limit.target] = limit.limit;
      }
  }

  /* Returns the requests in flight from all other relays, as known to relay
   * @a name. */
  guint32
  known (const std::string &name)
  {
    guint32 sum = 0;
    for (auto &source : nodes[name]->from)
      sum += source.second;
    return sum;
  }

  guint32
  expected (const std::string &name)
  {
    guint32 sum = 0;
    for (auto &node : nodes)
      if (node.first != name && node.second->alive)
        sum += node.second->inflight;
    return sum;
  }

  void
  expect_exact ()
  {
    for (auto &node : nodes)
      {
        if (!node.second->alive)
          continue;
        EXPECT_EQ (known (node.first), expected (node.first)) << node.first;
      }
  }

private:
  struct Message
  {
    std::string from;
    std::string to;
    QgMeshScope scope;
    std::vector<QgMeshLoad> loads;
    std::vector<QgMeshPrefix> prefixes;
    std::vector<QgMeshStream> streams;
    std::vector<QgMeshLimit> limits;
  };
  std::vector<Message> messages;

  void
  add (const std::string &dc, const std::string &name)
  {
    nodes[name] = std::make_unique<Node> ();
    Node *node = nodes[name].get ();
    QgMeshOps ops = { send, set_loads, node };
    node->fleet = this;
    node->name = name;
    node->dc = dc;
    node->mesh = qg_mesh_new (name.c_str (), dc.c_str (), &ops);
  }

  void
  link (const std::string &a, const std::string &b, gboolean connected)
  {
    qg_mesh_set_connected (nodes[a]->mesh, b.c_str (), connected);
    qg_mesh_set_connected (nodes[b]->mesh, a.c_str (), connected);
  }

  static void
  send (gpointer user, const char *to, const QgMeshMsg *msg)
  {
    Node *node = static_cast<Node *> (user);
    node->sent++;
    node->fleet->messages.push_back (
        { node->name,
          to,
          msg->scope,
          { msg->loads, msg->loads + msg->n_loads },
          { msg->prefixes, msg->prefixes + msg->n_prefixes },
          { msg->streams, msg->streams + msg->n_streams },
          { msg->limits, msg->limits + msg->n_limits } });
  }

  static void
  set_loads (gpointer user, const char *source, const QgMeshLoad *loads,
             guint n)
  {
    guint32 sum = 0;
    for (guint i = 0; i < n; i++)
      sum += loads[i].inflight;
    static_cast<Node *> (user)->from[source] = sum;
    sum = 0;
    for (guint i = 0; i < n; i++)
      sum += loads[i].demand;
    static_cast<Node *> (user)->demand_from[source] = sum;
  }
};

} // namespace

TEST (Mesh, EachRelayKnowsTheSumOfAllOthersWithinThreeReports)
{
  for (int relays : { 1, 2, 5, 25 })
    {
      Fleet fleet (6, relays);
      for (int i = 0; i < 3; i++)
        fleet.round ();
      fleet.expect_exact ();
      for (auto &node : fleet.nodes)
        node.second->inflight = 3;
      fleet["r100-2"].inflight = 0;
      for (int i = 0; i < 3; i++)
        fleet.round ();
      fleet.expect_exact ();
    }
}

/* Load: 150 relays. Guards against message counts that grow with the fleet. */
TEST (Mesh, MessagesGrowWithTheGroupNotTheFleet)
{
  Fleet fleet (6, 25);
  for (int i = 0; i < 5; i++)
    fleet.round ();
  for (auto &node : fleet.nodes)
    {
      bool head = node.first == qg_mesh_head (node.second->mesh);
      EXPECT_LE (node.second->sent, head ? 24 + 5 : 1) << node.first;
      EXPECT_LE (node.second->received, head ? 24 + 5 : 1) << node.first;
    }
}

/* Fault: the head of a group is killed, and control removes it from the list of
 * relays. Then the next head is killed. */
TEST (Mesh, TheNextRelayByNameTakesOverFromAHead)
{
  Fleet fleet (3, 8);
  for (int i = 0; i < 3; i++)
    fleet.round ();
  for (const char *head : { "r100-1", "r101-1" })
    {
      EXPECT_STREQ (qg_mesh_head (fleet["r107-1"].mesh), head);
      fleet.kill (head);
      for (int i = 0; i < 4; i++)
        fleet.round ();
      fleet.expect_exact ();
      fleet.update_list ();
    }
  EXPECT_STREQ (qg_mesh_head (fleet["r107-1"].mesh), "r102-1");
}

/* Fault: a relay hangs with its connections open, so only the expiry removes
 * its reports. */
TEST (Mesh, ReportsExpire)
{
  Fleet fleet (3, 8);
  for (int i = 0; i < 3; i++)
    fleet.round ();
  fleet["r103-1"].alive = false;
  for (int i = 0; i < QG_MESH_EXPIRY / QG_MESH_PERIOD + 4; i++)
    fleet.round ();
  fleet.expect_exact ();
}

TEST (Mesh, RelaysWithoutLoadAreHeardOnceThereAreStreams)
{
  for (int n_dcs : { 1, 3 })
    {
      Fleet fleet (n_dcs, n_dcs == 1 ? 5 : 6);
      int sent = 0;
      for (auto &node : fleet.nodes)
        node.second->inflight = 0;
      for (int i = 0; i < 50; i++)
        {
          fleet.round ();
          sent += fleet["r103-0"].sent;
        }
      EXPECT_EQ (sent, 0);
      QgMeshStream stream = { 1, 2, 0, -1 };
      qg_mesh_add_stream (fleet["r103-0"].mesh, &stream);
      for (int i = 0; i < 100; i++)
        {
          fleet.round ();
          sent += fleet["r103-0"].sent;
          for (auto &node : fleet.nodes)
            EXPECT_TRUE (i < 20
                         || qg_mesh_heard_at (node.second->mesh)
                                > fleet.now - QG_MESH_EXPIRY);
        }
      EXPECT_GT (sent, 0);
      EXPECT_LE (sent,
                 2 * QG_SEC / QG_MESH_KEEPALIVE * (n_dcs == 1 ? 4 : 1) + 4);
    }
}

TEST (Mesh, ARelayThatHearsLessThanHalfOfTheOthersHasNotHeard)
{
  Fleet fleet (1, 5);
  for (int i = 0; i < 10; i++)
    fleet.round ();
  fleet["r100-0"].alive = fleet["r101-0"].alive = false;
  for (int i = 0; i < 40; i++)
    fleet.round ();
  EXPECT_GT (qg_mesh_heard_at (fleet["r104-0"].mesh),
             fleet.now - QG_MESH_EXPIRY);
  fleet["r102-0"].alive = false;
  for (int i = 0; i < 40; i++)
    fleet.round ();
  EXPECT_EQ (qg_mesh_heard_at (fleet["r104-0"].mesh), 0);
}

TEST (Mesh, ARelayAloneHasNothingToHear)
{
  Fleet fleet (1, 1);
  EXPECT_EQ (qg_mesh_heard_at (fleet["r100-0"].mesh), G_MAXINT64);
}

TEST (Mesh, APrefixAndAStreamReachEachOtherRelayOnce)
{
  for (int relays : { 2, 8 })
    {
      Fleet fleet (3, relays);
      int n = 0;
      for (const char *from : { "r100-0", "r101-2" })
        {
          QgMeshPrefix prefix = { 7, (guint64)++n, 100 };
          QgMeshStream stream = { (guint64)n, 9, 0, -1 };
          qg_mesh_add_prefix (fleet[from].mesh, &prefix);
          qg_mesh_add_stream (fleet[from].mesh, &stream);
          for (int i = 0; i < 4; i++)
            fleet.round ();
          for (auto &node : fleet.nodes)
            {
              EXPECT_EQ (node.second->prefixes.count (n),
                         node.first == from ? 0u : 1u)
                  << node.first << " of " << relays;
              EXPECT_EQ (node.second->streams.count (n),
                         node.first == from ? 0u : 1u)
                  << node.first << " of " << relays;
            }
        }
    }
}

/* Load: the fleet grows beyond QG_MESH_DIRECT_MAX, so groups are formed. */
TEST (Mesh, FormingGroupsCountsNoRelayTwice)
{
  Fleet fleet (3, 6);
  for (auto &node : fleet.nodes)
    node.second->alive = node.first < "r103";
  fleet.update_list ();
  for (int i = 0; i < 3; i++)
    fleet.round ();
  fleet.expect_exact ();
  for (auto &node : fleet.nodes)
    node.second->alive = true;
  fleet.update_list ();
  for (int i = 0; i < QG_MESH_EXPIRY / QG_MESH_PERIOD + 4; i++)
    fleet.round ();
  fleet.expect_exact ();
}

/* Fault: relays get the list of relays at different times; the first to get it
 * connects to relays that do not know it yet. All must agree on the head. */
TEST (Mesh, AConnectionBeforeTheRelayIsListedCounts)
{
  QgMeshOps ops = {};
  QgMesh *mesh = qg_mesh_new ("r3", "dc", &ops);
  qg_mesh_set_connected (mesh, "r1", TRUE);
  qg_mesh_relays_begin (mesh);
  for (int i = 0; i < 20; i++)
    qg_mesh_relay (mesh, ("r" + std::to_string (i)).c_str (), "dc");
  qg_mesh_relays_end (mesh);
  EXPECT_STREQ (qg_mesh_head (mesh), "r1");
  qg_mesh_set_connected (mesh, "r1", FALSE);
  EXPECT_STREQ (qg_mesh_head (mesh), "r3");
  qg_mesh_free (mesh);
}

/* What one relay hears about a rate limit, and the demand of each, reach all
 * relays; a relay knows whether it learns the loads of all others. */
TEST (Mesh, LimitsAndDemandReachAllRelays)
{
  for (int relays : { 2, 8 })
    {
      Fleet fleet (3, relays);
      for (int i = 0; i < 3; i++)
        fleet.round ();
      for (double stated : { 5.0, -1.0 })
        {
          QgMeshLimit limit = { 7, 1, stated, fleet.now };
          qg_mesh_add_limit (fleet["r101-1"].mesh, &limit);
          fleet["r100-2"].demand = 1500;
          for (int i = 0; i < 4; i++)
            fleet.round ();
          for (auto &node : fleet.nodes)
            {
              guint32 demand = 0;
              for (auto &source : node.second->demand_from)
                demand += source.second;
              EXPECT_EQ (demand, node.first == "r100-2" ? 0u : 1500u);
              EXPECT_EQ (qg_mesh_reached (node.second->mesh), 3u * relays);
              if (node.first != "r101-1")
                {
                  EXPECT_EQ (node.second->limits[7], stated) << node.first;
                }
            }
        }
      for (auto &node : fleet.nodes)
        qg_mesh_set_connected (fleet["r100-1"].mesh, node.first.c_str (),
                               FALSE);
      EXPECT_EQ (qg_mesh_reached (fleet["r100-1"].mesh), 1u);
    }
}
