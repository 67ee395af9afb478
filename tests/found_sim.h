// Simulates the first start of a fleet in virtual time: six control members, of
// which three are the founders, with folders in memory. All that happens
// derives from one seed.
#ifndef QG_FOUND_SIM_H
#define QG_FOUND_SIM_H

#include "lib/cons.h"
#include "lib/event.h"
#include "tests/sim_packet.h"
#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

// Cuts and faults that a first start may meet.
struct FirstStartFaults
{
  unsigned loss = 0, repeat = 0; // % of messages lost, and % sent twice
  QgTime jitter = 2 * QG_MSEC;   // most delay of a message
  QgTime spread = 0;             // all start within this time
  QgTime write = 8 * QG_MSEC;    // most time of a write
  unsigned restarts = 0, wipes = 0;
  bool flag_kept = false; // a restarted member still bootstraps by its settings
  bool wrong_list = false; // a member lists itself instead of a founder
};

struct FirstStart
{
  static constexpr size_t MEMBERS = 6, FOUNDERS = 3;
  static constexpr QgTime STEP = 4 * QG_MSEC;

  struct Folder // what a crash keeps
  {
    guint64 term = 0, disk = 0, boot = 0, nonce = 0;
    gboolean bootstraps = FALSE;
    std::string vote;
    std::vector<QgConsEntry *> entries;
  };
  struct Node
  {
    std::string name;
    Folder folder;
    QgCons *cons = nullptr;
    QgTime start_at = 0, write_done_at = -1;
    QgConsWrite write;
    guint64 applied = 0;
    bool bootstraps = true; // by its settings
    std::vector<std::string> list;
  };

  std::mt19937_64 rng;
  FirstStartFaults faults;
  std::vector<Node> nodes;
  std::priority_queue<SimPacket> in_flight;
  QgTime time = 0, next_change_at = 0;
  uint64_t packets = 0, delivered = 0, acknowledged = 0;
  std::vector<size_t> founders;
  std::map<guint64, std::pair<guint64, std::string> > history;
  guint64 broken_at_start = qg_invariants_broken ();

  FirstStart (uint64_t seed, const FirstStartFaults &f) : rng (seed), faults (f)
  {
    std::vector<size_t> order = { 0, 1, 2, 3, 4, 5 };
    std::shuffle (order.begin (), order.end (), rng);
    founders.assign (order.begin (), order.begin () + FOUNDERS);
    for (size_t i = 0; i < MEMBERS; i++)
      {
        Node node;
        node.name = std::string (1, static_cast<char> ('a' + i));
        node.folder.disk = rng () | 1;
        node.start_at = pick (faults.spread);
        for (size_t k : founders)
          node.list.push_back (std::string (1, static_cast<char> ('a' + k))
                               + "@x");
        nodes.push_back (std::move (node));
      }
    if (faults.wrong_list)
      {
        size_t other = order[FOUNDERS];
        nodes[other].list[rng () % FOUNDERS] = nodes[other].name + "@x";
      }
  }
  FirstStart (const FirstStart &) = delete;

  ~FirstStart ()
  {
    for (auto &node : nodes)
      {
        stop (node);
        clear (node.folder);
      }
  }

  QgTime
  pick (QgTime most)
  {
    return static_cast<QgTime> (rng () % static_cast<uint64_t> (most + 1));
  }

  static void
  clear (Folder &folder)
  {
    for (auto *entry : folder.entries)
      qg_cons_entry_unref (entry);
    folder.entries.clear ();
  }

  void
  start (Node &node)
  {
    QgConsOptions options = {};
    QgConsState state = {};
    std::vector<const char *> list;
    for (auto &item : node.list)
      list.push_back (item.c_str ());
    list.push_back (nullptr);
    options.name = node.name.c_str ();
    options.address = "x";
    options.founders = list.data ();
    options.seed = rng ();
    options.heartbeat = 20 * QG_MSEC;
    options.election_min = 100 * QG_MSEC;
    options.election_max = 200 * QG_MSEC;
    state.hard.term = node.folder.term;
    state.hard.disk = node.folder.disk;
    state.hard.boot = node.folder.boot;
    state.hard.nonce = node.folder.nonce;
    state.hard.bootstraps = node.folder.bootstraps;
    if (!node.folder.vote.empty ())
      state.hard.vote = qg_str_new (node.folder.vote.c_str ());
    state.entries = g_ptr_array_new_with_free_func (
        reinterpret_cast<GDestroyNotify> (qg_cons_entry_unref));
    for (auto *entry : node.folder.entries)
      g_ptr_array_add (state.entries, qg_cons_entry_ref (entry));
    node.cons = qg_cons_new (&options, &state, time);
    node.applied = 0;
    if (node.bootstraps)
      qg_cons_bootstrap (node.cons);
  }

  void
  stop (Node &node)
  {
    if (node.write_done_at >= 0)
      qg_cons_write_clear (&node.write);
    node.write_done_at = -1;
    g_clear_pointer (&node.cons, qg_cons_unref);
  }

  // Ends a process; what it was writing is lost. The pages' processes start
  // again with bootstrap off.
  void
  restart (Node &node, bool wipe)
  {
    if (node.cons == nullptr)
      return;
    stop (node);
    if (wipe)
      {
        clear (node.folder);
        node.folder = Folder ();
        node.folder.disk = rng () | 1;
      }
    node.bootstraps = faults.flag_kept;
    node.start_at = time + pick (100 * QG_MSEC);
  }

  void
  send (size_t from, const char *to, const Qg__ConsMsg *msg)
  {
    size_t dest = static_cast<size_t> (to[0] - 'a');
    unsigned copies = rng () % 100 < faults.loss     ? 0
                      : rng () % 100 < faults.repeat ? 2
                                                     : 1;
    if (copies == 0)
      return;
    std::string bytes = pack_message (msg);
    while (copies-- > 0)
      in_flight.push (
          { time + pick (faults.jitter), packets++, from, dest, bytes });
  }

  void
  save (Node &node)
  {
    Folder &folder = node.folder;
    const QgConsHardState &hard = node.write.hard;
    folder.term = hard.term;
    folder.disk = hard.disk;
    folder.boot = hard.boot;
    folder.nonce = hard.nonce;
    folder.bootstraps = hard.bootstraps;
    folder.vote = hard.vote != nullptr ? hard.vote : "";
    for (guint i = 0; i < node.write.entries->len; i++)
      {
        auto *entry = static_cast<QgConsEntry *> (node.write.entries->pdata[i]);
        while (folder.entries.size () >= entry->index)
          {
            qg_cons_entry_unref (folder.entries.back ());
            folder.entries.pop_back ();
          }
        folder.entries.push_back (qg_cons_entry_ref (entry));
      }
  }

  void
  take_outputs (size_t i)
  {
    Node &node = nodes[i];
    QgStr *to;
    Qg__ConsMsg *msg;
    QgConsApply apply;
    if (node.write_done_at < 0 && qg_cons_take_write (node.cons, &node.write))
      node.write_done_at = time + pick (faults.write);
    while (qg_cons_take_message (node.cons, &to, &msg))
      {
        send (i, to, msg);
        qg_str_unref (to);
        qg__cons_msg__free_unpacked (msg, nullptr);
      }
    while (qg_cons_take_apply (node.cons, &apply))
      {
        on_apply (node, apply.entry);
        qg_cons_apply_clear (&apply);
      }
  }

  void
  on_apply (Node &node, const QgConsEntry *e)
  {
    gsize len;
    auto *data = static_cast<const char *> (g_bytes_get_data (e->data, &len));
    auto here = std::make_pair (e->term, std::string (data ? data : "", len));
    require (e->index == ++node.applied, "apply out of order");
    require (history.emplace (e->index, here).first->second == here,
             "two fleets: committed entries differ at "
                 + std::to_string (e->index));
    if (e->kind == QG__CONS_KIND__CONS_COMMAND)
      acknowledged++;
  }

  bool
  leads (const Node &node) const
  {
    return node.cons != nullptr && qg_cons_ready_to_serve (node.cons)
           && qg_cons_lease_until (node.cons, time) > time;
  }

  // What a leader does: takes a change, and adds a process that is no member.
  void
  lead (Node &node)
  {
    if (time < next_change_at)
      return;
    next_change_at = time + 20 * QG_MSEC;
    std::string text = node.name + std::to_string (time);
    GBytes *command = g_bytes_new (text.data (), text.size ());
    guint64 index, term;
    qg_cons_propose (node.cons, command, &index, &term, nullptr);
    g_bytes_unref (command);
    for (auto &other : nodes)
      if (other.cons != nullptr
          && qg_cons_member_add (node.cons, other.name.c_str (), "x", nullptr)
                 == QG_OK)
        return;
  }

  void
  step ()
  {
    unsigned leaders = 0;
    time += STEP;
    while (!in_flight.empty () && in_flight.top ().at <= time)
      {
        SimPacket p = in_flight.top ();
        in_flight.pop ();
        if (nodes[p.to].cons == nullptr)
          continue;
        deliver_message (nodes[p.to].cons, nodes[p.from].name.c_str (), p.bytes,
                         time);
        delivered++;
        take_outputs (p.to);
      }
    for (size_t i = 0; i < nodes.size (); i++)
      {
        Node &node = nodes[i];
        if (node.cons == nullptr && node.start_at <= time)
          start (node);
        if (node.cons == nullptr)
          continue;
        if (node.write_done_at >= 0 && node.write_done_at <= time)
          {
            guint64 seq = node.write.seq;
            save (node);
            qg_cons_write_clear (&node.write);
            node.write_done_at = -1;
            qg_cons_persisted (node.cons, seq, time);
          }
        qg_cons_tick (node.cons, time);
        if (leads (node))
          {
            leaders++;
            lead (node);
          }
        take_outputs (i);
      }
    require (leaders <= 1, "two leaders serve at once");
    require (qg_invariants_broken () == broken_at_start,
             "an invariant was violated");
  }

  // Plays the start with its faults, then without until a leader serves.
  void
  play (QgTime span, QgTime until_served)
  {
    std::vector<QgTime> ends;
    unsigned wipes = faults.wipes;
    for (unsigned i = 0; i < faults.restarts; i++)
      ends.push_back (pick (span));
    std::sort (ends.begin (), ends.end (), std::greater<QgTime> ());
    while (time < span)
      {
        step ();
        if (ends.empty () || ends.back () > time)
          continue;
        ends.pop_back ();
        restart (nodes[rng () % nodes.size ()], wipes > 0);
        wipes -= wipes > 0 ? 1 : 0;
      }
    faults.loss = faults.repeat = 0;
    faults.write = MIN (faults.write, 8 * QG_MSEC);
    auto serves = [&] {
      return std::any_of (nodes.begin (), nodes.end (),
                          [&] (const Node &n) { return leads (n); });
    };
    for (QgTime end = time + until_served; !serves () && time < end;)
      step ();
    require (serves () || nobody_may_begin (), "no fleet began");
  }

  // Whether all founders ended before they had stored that they bootstrap, and
  // returned with settings that do not say so.
  bool
  nobody_may_begin () const
  {
    return history.empty ()
           && std::none_of (founders.begin (), founders.end (), [&] (size_t i) {
                return nodes[i].bootstraps || nodes[i].folder.bootstraps;
              });
  }
};

#endif
