// Simulates control members with fake disks, clocks and links, in virtual time.
// All faults derive from one seed; the safety rules are checked at each step.
#ifndef QG_CONS_SIM_H
#define QG_CONS_SIM_H

#include "lib/cons.h"
#include "lib/event.h"
#include "tests/fake_fs.h"
#include "tests/sim_packet.h"
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

struct Sim
{
  struct Node
  {
    std::string name;
    std::unique_ptr<FakeFs> fs;
    QgStore *store = nullptr;
    QgCons *cons = nullptr;
    double rate = 1.0; // speed of the node's clock; 1 is exact
    QgTime offset = 0;
    QgTime write_done_at = -1; // -1: no write in progress
    QgConsWrite write;
    guint64 applied = 0, hash = 0;
    QgTime restart_at = 0;
    QgTime stopped_until = 0; // the process stands still
    QgTime disk_delay = 3 * QG_MSEC;
  };

  std::mt19937_64 rng;
  QgTime time = 0;
  std::vector<Node> nodes;
  size_t founders; // of the fleet; the other nodes may be added later
  std::priority_queue<SimPacket> in_flight;
  std::map<std::pair<size_t, size_t>, bool> blocked;  // links by (from, to)
  std::map<std::pair<size_t, size_t>, QgTime> delays; // of links, more
  uint64_t packets = 0;
  unsigned loss = 0, repeat = 0; // % of messages lost, and % sent twice
  QgTime jitter = 2 * QG_MSEC;
  guint drift_ppm = 10000;
  guint snapshot_every = 40;
  std::map<guint64, std::string> leaders;                      // name by term
  std::map<guint64, std::pair<guint64, std::string> > history; // entry by index
  std::map<guint64, guint64> hashes; // state hash by index
  guint64 broken_at_start = qg_invariants_broken ();

  // @param spares  nodes that are not members, and are not started
  Sim (uint64_t seed, size_t n, size_t spares = 0) : rng (seed), founders (n)
  {
    n += spares;
    for (size_t i = 0; i < n; i++)
      {
        Node node;
        node.name = std::string (1, static_cast<char> ('a' + i));
        node.fs = std::make_unique<FakeFs> (rng ());
        nodes.push_back (std::move (node));
      }
    for (size_t i = 0; i < n; i++)
      if (i >= founders)
        nodes[i].restart_at = G_MAXINT64;
      else
        start (i);
  }
  Sim (const Sim &) = delete;

  ~Sim ()
  {
    for (size_t i = 0; i < nodes.size (); i++)
      stop (i);
  }

  QgTime
  clock (const Node &node) const
  {
    return node.offset + static_cast<QgTime> (time * node.rate);
  }

  // Sets random clock rates within drift_ppm, the bound that leases rely on.
  void
  drift_clocks ()
  {
    for (auto &node : nodes)
      {
        double old = node.rate;
        node.rate = 1 + (double (rng () % 2001) - 1000) * drift_ppm / 1e9;
        node.offset += static_cast<QgTime> (time * (old - node.rate)) + 1;
      }
  }

  bool
  start (size_t i, bool may_fail = true)
  {
    Node &node = nodes[i];
    QgStoreOptions so = { &node.fs->base, 4096 };
    QgConsState state;
    gboolean fresh;
    QgErr err;
    node.store = qg_store_new (&so);
    QgStatus status
        = qg_store_open (node.store, rng () | 1, &state, &fresh, &err);
    if (status != QG_OK)
      {
        require (may_fail && status == QG_E_IO,
                 "start of " + node.name + ": " + err.message);
        qg_store_unref (node.store);
        node.store = nullptr;
        crash (i);
        return false;
      }
    QgConsOptions co = {};
    co.name = node.name.c_str ();
    co.seed = rng ();
    co.drift_ppm = drift_ppm;
    co.batch_entries = 8;
    co.inflight_bytes = 600;
    co.chunk_bytes = 16;
    co.keep_entries = 10;
    co.address = "127.0.0.1:1";
    std::vector<std::string> names;
    std::vector<const char *> list;
    for (size_t k = 0; k < founders; k++)
      names.push_back (nodes[k].name + "@127.0.0.1:1");
    for (auto &name : names)
      list.push_back (name.c_str ());
    list.push_back (nullptr);
    co.founders = list.data ();
    node.cons = qg_cons_new (&co, &state, clock (node));
    if (i == 0)
      bootstrap (node); // also after a wipe, which keeps the node's settings
    node.applied = node.hash = 0;
    node.write_done_at = -1;
    return true;
  }

  void
  bootstrap (Node &node)
  {
    qg_cons_bootstrap (node.cons);
  }

  void
  stop (size_t i)
  {
    Node &node = nodes[i];
    if (node.write_done_at >= 0)
      qg_cons_write_clear (&node.write);
    node.write_done_at = -1;
    g_clear_pointer (&node.cons, qg_cons_unref);
    g_clear_pointer (&node.store, qg_store_unref);
  }

  void
  crash (size_t i)
  {
    stop (i);
    nodes[i].fs->crash ();
    nodes[i].restart_at = time + static_cast<QgTime> (rng () % 3000) * QG_MSEC;
  }

  // Crashes a node and empties its folder.
  void
  wipe (size_t i)
  {
    crash (i);
    nodes[i].fs = std::make_unique<FakeFs> (rng ());
  }

  void
  send (size_t from, const char *to, const Qg__ConsMsg *msg)
  {
    std::string bytes = pack_message (msg);
    size_t dest = static_cast<size_t> (to[0] - 'a');
    unsigned copies = rng () % 100 < loss ? 0 : rng () % 100 < repeat ? 2 : 1;
    while (copies-- > 0)
      in_flight.push ({ time + QG_MSEC / 2 + delays[{ from, dest }]
                            + static_cast<QgTime> (rng () % (jitter + 1)),
                        packets++, from, dest, bytes });
  }

  void
  take_outputs (size_t i)
  {
    Node &node = nodes[i];
    QgStr *to;
    Qg__ConsMsg *msg;
    QgConsApply apply;
    if (node.cons == nullptr)
      return;
    if (node.write_done_at < 0 && qg_cons_take_write (node.cons, &node.write))
      node.write_done_at
          = time + static_cast<QgTime> (rng () % (node.disk_delay + 1));
    while (qg_cons_take_message (node.cons, &to, &msg))
      {
        send (i, to, msg);
        qg_str_unref (to);
        qg__cons_msg__free_unpacked (msg, nullptr);
      }
    while (node.cons != nullptr && qg_cons_take_apply (node.cons, &apply))
      {
        on_apply (i, apply);
        qg_cons_apply_clear (&apply);
      }
  }

  void
  on_apply (size_t i, const QgConsApply &apply)
  {
    Node &node = nodes[i];
    gsize len;
    if (apply.snapshot != nullptr)
      {
        auto *data = static_cast<const char *> (
            g_bytes_get_data (apply.snapshot->data, &len));
        node.hash = std::stoull (std::string (data, len));
        node.applied = apply.snapshot->index;
        require (hashes.at (node.applied) == node.hash, "snapshot differs");
        return;
      }
    auto *e = apply.entry;
    require (e->index == node.applied + 1, "apply out of order");
    auto *data = static_cast<const char *> (g_bytes_get_data (e->data, &len));
    std::string text (data != nullptr ? data : "", len);
    auto here = std::make_pair (e->term, text);
    auto known = history.emplace (e->index, here);
    require (known.first->second == here,
             "committed entry changed at " + std::to_string (e->index));
    node.applied = e->index;
    node.hash = std::hash<std::string>{}(text) + 31 * node.hash + e->term;
    require (hashes.emplace (e->index, node.hash).first->second == node.hash,
             "states differ");
    if (e->index % snapshot_every == 0)
      save_snapshot (i, e->index);
  }

  void
  save_snapshot (size_t i, guint64 index)
  {
    Node &node = nodes[i];
    std::string text = std::to_string (node.hash);
    GBytes *data = g_bytes_new (text.data (), text.size ());
    GBytes *members = qg_cons_members_at (node.cons, index);
    QgConsSnapshot *snapshot = qg_cons_snapshot_new (
        index, qg_cons_term_at (node.cons, index), members, data);
    if (qg_store_save_snapshot (node.store, snapshot, nullptr) == QG_OK)
      qg_cons_compact (node.cons, snapshot);
    qg_cons_snapshot_unref (snapshot);
    g_bytes_unref (members);
    g_bytes_unref (data);
  }

  void
  deliver (const SimPacket &p)
  {
    Node &node = nodes[p.to];
    if (node.cons == nullptr || blocked[{ p.from, p.to }])
      return;
    deliver_message (node.cons, nodes[p.from].name.c_str (), p.bytes,
                     clock (node));
    take_outputs (p.to);
  }

  void
  finish_write (size_t i)
  {
    Node &node = nodes[i];
    if (node.cons == nullptr || node.write_done_at < 0
        || node.write_done_at > time)
      return;
    QgStatus status = qg_store_write (node.store, &node.write, nullptr);
    guint64 seq = node.write.seq;
    if (status == QG_E_IO && !node.fs->powered_off && rng () % 2 == 0)
      {
        node.write_done_at = time + 100 * QG_MSEC; // repeated, as in the daemon
        qg_cons_write_refused (node.cons, clock (node));
        return;
      }
    qg_cons_write_clear (&node.write);
    node.write_done_at = -1;
    if (status == QG_OK)
      qg_cons_persisted (node.cons, seq, clock (node));
    else
      crash (i);
  }

  void
  step (QgTime by = 2 * QG_MSEC)
  {
    time += by;
    while (!in_flight.empty () && in_flight.top ().at <= time)
      {
        SimPacket p = in_flight.top ();
        in_flight.pop ();
        if (nodes[p.to].stopped_until <= time)
          deliver (p);
        else
          in_flight.push (
              { nodes[p.to].stopped_until, p.id, p.from, p.to, p.bytes });
      }
    for (size_t i = 0; i < nodes.size (); i++)
      {
        if (nodes[i].stopped_until > time)
          continue;
        if (nodes[i].cons == nullptr && nodes[i].restart_at <= time)
          start (i);
        finish_write (i);
        if (nodes[i].cons != nullptr)
          qg_cons_tick (nodes[i].cons, clock (nodes[i]));
        take_outputs (i);
      }
    check ();
  }

  void
  check ()
  {
    int leases = 0;
    for (auto &node : nodes)
      {
        QgConsStatus st;
        if (node.cons == nullptr)
          continue;
        qg_cons_status (node.cons, clock (node), &st);
        if (st.role == QG_CONS_LEADER)
          require (leaders.emplace (st.term, node.name).first->second
                       == node.name,
                   "two leaders in term " + std::to_string (st.term));
        if (qg_cons_lease_until (node.cons, clock (node)) > clock (node))
          leases++;
      }
    require (leases <= 1, "two leases at once");
    require (qg_invariants_broken () == broken_at_start,
             "an invariant was violated");
  }

  void
  run (QgTime span)
  {
    for (QgTime end = time + span; time < end;)
      step ();
  }

  // Returns the index of the leader that may serve, or -1.
  int
  leader ()
  {
    for (size_t i = 0; i < nodes.size (); i++)
      if (nodes[i].cons != nullptr && qg_cons_ready_to_serve (nodes[i].cons)
          && qg_cons_lease_until (nodes[i].cons, clock (nodes[i]))
                 > clock (nodes[i]))
        return static_cast<int> (i);
    return -1;
  }

  QgStatus
  propose (size_t i, const std::string &text, guint64 *index = nullptr)
  {
    GBytes *data = g_bytes_new (text.data (), text.size ());
    guint64 at = 0, term;
    QgStatus status
        = nodes[i].cons == nullptr
              ? QG_E_UNAVAILABLE
              : qg_cons_propose (nodes[i].cons, data, &at, &term, nullptr);
    g_bytes_unref (data);
    if (index != nullptr)
      *index = at;
    return status;
  }

  // Returns whether the last membership is committed and lists all nodes as
  // voters, each with its current disk.
  bool
  all_voting ()
  {
    int l = leader ();
    if (l < 0)
      return false;
    QgConsStatus st, peer;
    qg_cons_status (nodes[l].cons, clock (nodes[l]), &st);
    if (st.n_members != nodes.size ())
      return false;
    for (guint i = 0; i < st.n_members; i++)
      {
        Node &node = nodes[static_cast<size_t> (st.members[i].name[0] - 'a')];
        if (node.cons == nullptr || !st.members[i].voter)
          return false;
        qg_cons_status (node.cons, clock (node), &peer);
        if (peer.disk != st.members[i].disk)
          return false;
      }
    GBytes *now = qg_cons_members_at (nodes[l].cons, st.last);
    GBytes *done = qg_cons_members_at (nodes[l].cons, st.commit);
    bool same = g_bytes_equal (now, done);
    g_bytes_unref (now);
    g_bytes_unref (done);
    return same;
  }

  // Clears link faults and pending disk faults, and restarts stopped nodes at
  // the next step.
  void
  heal ()
  {
    blocked.clear ();
    loss = repeat = 0;
    for (auto &node : nodes)
      {
        node.fs->ops_left = -1;
        node.restart_at = std::min (node.restart_at, time);
      }
  }

  // Calls heal() and runs until all_voting(). Fails if this takes longer than
  // span of virtual time.
  void
  settle (QgTime span = 60 * QG_SEC)
  {
    heal ();
    QgTime end = time + span;
    while (!all_voting () && time < end)
      step ();
    require (all_voting (), "the members did not recover in time");
  }
};

#endif
