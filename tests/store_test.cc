#include "tests/cons_sim.h"
#include <gtest/gtest.h>

namespace
{
const int entry_count = 29;

QgStatus
open_store (FakeFs &fs, QgStore **store, QgConsState *state, QgErr *err)
{
  QgStoreOptions opts = { &fs.base, 300 };
  gboolean fresh;
  *store = qg_store_new (&opts);
  return qg_store_open (*store, 77, state, &fresh, err);
}

GBytes *
entry_data (guint64 index)
{
  std::string text = "entry " + std::to_string (index);
  return g_bytes_new (text.data (), text.size ());
}

// Writes the entries from index `from` to entry_count, and a snapshot after
// each entry whose index is a multiple of 10. Returns the last synced index.
guint64
write_entries (QgStore *store, guint64 from)
{
  for (guint64 i = from; i <= entry_count; i++)
    {
      GBytes *data = entry_data (i);
      QgConsWrite w = { i,
                        { 1, nullptr, 77, 1, 1 },
                        nullptr,
                        g_ptr_array_new_with_free_func (
                            (GDestroyNotify)qg_cons_entry_unref) };
      g_ptr_array_add (w.entries, qg_cons_entry_new (
                                      i, 1, QG__CONS_KIND__CONS_COMMAND, data));
      QgStatus status = qg_store_write (store, &w, nullptr);
      if (status == QG_OK && i % 10 == 0)
        {
          QgConsSnapshot *s = qg_cons_snapshot_new (i, 1, data, data);
          qg_store_save_snapshot (store, s, nullptr);
          qg_cons_snapshot_unref (s);
        }
      g_bytes_unref (data);
      qg_cons_write_clear (&w);
      if (status != QG_OK)
        return i - 1;
    }
  return entry_count;
}

void
write_entry (QgStore *store, guint64 index)
{
  GBytes *data = entry_data (index);
  QgErr err;
  QgConsWrite w = { index,
                    { 1, nullptr, 77, 1, 1 },
                    nullptr,
                    g_ptr_array_new_with_free_func (
                        (GDestroyNotify)qg_cons_entry_unref) };
  g_ptr_array_add (w.entries, qg_cons_entry_new (
                                  index, 1, QG__CONS_KIND__CONS_COMMAND, data));
  EXPECT_EQ (qg_store_write (store, &w, &err), QG_OK) << err.message;
  g_bytes_unref (data);
  qg_cons_write_clear (&w);
}

// Checks each entry of the state and returns the last index in the state.
guint64
check_entries (const QgConsState &state)
{
  guint64 last = state.snapshot != nullptr ? state.snapshot->index : 0;
  for (guint i = 0; i < state.entries->len; i++)
    {
      auto *e = static_cast<QgConsEntry *> (state.entries->pdata[i]);
      GBytes *want = entry_data (e->index);
      EXPECT_EQ (e->index, last + 1);
      EXPECT_TRUE (g_bytes_equal (e->data, want));
      g_bytes_unref (want);
      last = e->index;
    }
  return last;
}
} // namespace

// Fault: the disk is full for a while, once and again, at any write. The same
// write succeeds once there is room; power may be lost before that.
TEST (Store, AFullDiskIsWrittenAgainOnceThereIsRoom)
{
  for (uint64_t seed = 0; seed < 200; seed++)
    {
      FakeFs fs (seed);
      std::mt19937_64 rng (seed);
      QgStore *store;
      QgConsState state;
      QgErr err;
      guint64 synced = 0;
      ASSERT_EQ (open_store (fs, &store, &state, &err), QG_OK);
      qg_cons_state_clear (&state);
      for (int round = 0; round < 12 && synced < entry_count; round++)
        {
          fs.full = true;
          for (int tries = rng () % 3; tries >= 0; tries--)
            EXPECT_EQ (write_entries (store, synced + 1), synced);
          if (rng () % 4 == 0) // power loss while the disk is full
            {
              qg_store_unref (store);
              fs.crash ();
              ASSERT_EQ (open_store (fs, &store, &state, &err), QG_OK)
                  << err.message << " seed " << seed;
              EXPECT_GE (check_entries (state), synced) << "seed " << seed;
              synced = check_entries (state);
              qg_cons_state_clear (&state);
            }
          fs.full = false;
          guint64 until = synced + 1 + rng () % 5;
          while (synced < entry_count && synced < until)
            {
              synced++;
              write_entry (store, synced);
            }
        }
      qg_store_unref (store);
      fs.crash ();
      ASSERT_EQ (open_store (fs, &store, &state, &err), QG_OK) << err.message;
      EXPECT_EQ (check_entries (state), synced) << "seed " << seed;
      EXPECT_EQ (state.hard.term, 1u) << "seed " << seed;
      qg_cons_state_clear (&state);
      qg_store_unref (store);
    }
}

// Fault: only the snapshot finds no room.
TEST (Store, ASnapshotWithoutRoomChangesNothing)
{
  FakeFs fs (1);
  QgStore *store;
  QgConsState state;
  QgErr err;
  ASSERT_EQ (open_store (fs, &store, &state, &err), QG_OK);
  qg_cons_state_clear (&state);
  for (guint64 i = 1; i <= 5; i++)
    write_entry (store, i);
  GBytes *data = entry_data (5);
  QgConsSnapshot *s = qg_cons_snapshot_new (5, 1, data, data);
  fs.full = true;
  EXPECT_EQ (qg_store_save_snapshot (store, s, &err), QG_E_UNAVAILABLE);
  fs.full = false;
  write_entry (store, 6);
  EXPECT_EQ (qg_store_save_snapshot (store, s, &err), QG_OK);
  qg_store_unref (store);
  fs.crash ();
  ASSERT_EQ (open_store (fs, &store, &state, &err), QG_OK);
  EXPECT_EQ (check_entries (state), 6u);
  qg_cons_state_clear (&state);
  qg_store_unref (store);
  qg_cons_snapshot_unref (s);
  g_bytes_unref (data);
}

TEST (Store, EveryWritePointMayFailOrLosePower)
{
  for (int power = 0; power < 2; power++)
    for (int at = 0;; at++)
      for (uint64_t seed = 0; seed < 8; seed++)
        {
          FakeFs fs (seed);
          QgStore *store;
          QgConsState state;
          QgErr err;
          fs.power_loss = power;
          fs.ops_left = at;
          guint64 synced = 0;
          if (open_store (fs, &store, &state, &err) == QG_OK)
            {
              qg_cons_state_clear (&state);
              synced = write_entries (store, 1);
            }
          bool reached = fs.ops_left < 0;
          qg_store_unref (store);
          fs.crash ();
          ASSERT_EQ (open_store (fs, &store, &state, &err), QG_OK)
              << err.message << " after failing step " << at;
          EXPECT_GE (check_entries (state), synced) << "step " << at;
          EXPECT_LE (check_entries (state), synced + 1) << "step " << at;
          guint64 next = check_entries (state) + 1;
          qg_cons_state_clear (&state);
          EXPECT_EQ (write_entries (store, next), entry_count + 0u);
          qg_store_unref (store);
          if (!reached)
            goto finished;
        }
finished:;
}

// Fault: an operation of the disk fails, others succeed. After a failed sync,
// the next sync succeeds although the disk lacks what was written before.
TEST (Store, AFailedSyncIsNeverFollowedByAnAcknowledgement)
{
  for (int at = 0; at < 60; at++)
    for (uint64_t seed = 0; seed < 8; seed++)
      {
        FakeFs fs (seed);
        QgStore *store;
        QgConsState state;
        QgErr err;
        ASSERT_EQ (open_store (fs, &store, &state, &err), QG_OK);
        qg_cons_state_clear (&state);
        fs.ops_left = at; // 1: the append succeeds, its sync fails
        guint64 synced = write_entries (store, 1);
        EXPECT_TRUE (at > 1 || synced == 0);
        fs.ops_left = (int)(fs.rng () % 9); // while the write is repeated
        synced = write_entries (store, synced + 1);
        qg_store_unref (store);
        fs.crash ();
        ASSERT_EQ (open_store (fs, &store, &state, &err), QG_OK)
            << err.message << " step " << at;
        EXPECT_GE (check_entries (state), synced) << "step " << at;
        qg_cons_state_clear (&state);
        qg_store_unref (store);
      }
}

// Fault: the disk refuses operations at random for a while, once and again. The
// same write succeeds once the disk works; power may be lost before that.
TEST (Store, ADiskThatRefusedWritesIsUsedAgainOnceItWorks)
{
  for (uint64_t seed = 0; seed < 300; seed++)
    {
      FakeFs fs (seed);
      std::mt19937_64 rng (seed);
      QgStore *store;
      QgConsState state;
      QgErr err;
      guint64 synced = 0;
      ASSERT_EQ (open_store (fs, &store, &state, &err), QG_OK);
      qg_cons_state_clear (&state);
      for (int round = 0; round < 12 && synced < entry_count; round++)
        {
          fs.refuses = true;
          for (int tries = rng () % 4; tries >= 0; tries--)
            synced = write_entries (store, synced + 1);
          fs.refuses = false;
          if (rng () % 4 == 0) // power loss while the disk refuses
            {
              qg_store_unref (store);
              fs.crash ();
              ASSERT_EQ (open_store (fs, &store, &state, &err), QG_OK)
                  << err.message << " seed " << seed;
              EXPECT_GE (check_entries (state), synced) << "seed " << seed;
              synced = check_entries (state);
              qg_cons_state_clear (&state);
            }
          guint64 until = synced + 1 + rng () % 5;
          while (synced < entry_count && synced < until)
            {
              synced++;
              write_entry (store, synced);
            }
        }
      qg_store_unref (store);
      fs.crash ();
      ASSERT_EQ (open_store (fs, &store, &state, &err), QG_OK)
          << err.message << " seed " << seed;
      EXPECT_EQ (check_entries (state), synced) << "seed " << seed;
      qg_cons_state_clear (&state);
      qg_store_unref (store);
    }
}

// Fault: a write with a snapshot fails at any file operation, and is repeated.
// Only the file of the last snapshot is left.
TEST (Store, ARepeatedWriteWithASnapshotLeavesNoOlderOne)
{
  for (int op = 0; op < 14; op++)
    {
      FakeFs fs (1);
      QgStore *store;
      QgConsState state;
      QgErr err;
      ASSERT_EQ (open_store (fs, &store, &state, &err), QG_OK);
      qg_cons_state_clear (&state);
      write_entry (store, 1);
      GBytes *data = entry_data (1);
      for (guint64 index : { 5, 9 })
        {
          QgConsWrite w = { index,
                            { 1, nullptr, 77, 1, 1 },
                            qg_cons_snapshot_new (index, 1, data, data),
                            nullptr };
          fs.ops_left = index == 9 ? op : -1;
          QgStatus status = qg_store_write (store, &w, nullptr);
          fs.ops_left = -1;
          if (status != QG_OK)
            status = qg_store_write (store, &w, &err);
          EXPECT_EQ (status, QG_OK) << err.message;
          qg_cons_write_clear (&w);
        }
      write_entry (store, 10);
      QgConsSnapshot *s = qg_cons_snapshot_new (10, 1, data, data);
      EXPECT_EQ (qg_store_save_snapshot (store, s, &err), QG_OK);
      qg_cons_snapshot_unref (s);
      int snapshots = 0;
      for (auto &name : fs.current)
        snapshots += name.first.rfind ("snap-", 0) == 0 ? 1 : 0;
      EXPECT_EQ (snapshots, 1) << "operation " << op;
      g_bytes_unref (data);
      qg_store_unref (store);
    }
}

// Flips one bit in each byte of the stored files in turn, and opens the store
// after each flip.
TEST (Store, DamageIsReportedAndNeverSkipped)
{
  FakeFs fs (2);
  QgStore *store;
  QgConsState state;
  QgErr err;
  ASSERT_EQ (open_store (fs, &store, &state, &err), QG_OK);
  qg_cons_state_clear (&state);
  write_entries (store, 1);
  qg_store_unref (store);
  auto image = fs.image ();
  std::string last_segment;
  for (auto &name : image)
    if (name.first.compare (0, 4, "log-") == 0)
      last_segment = name.first;
  int reported = 0;
  for (auto &name : image)
    for (size_t at = 0; at < name.second->current.size (); at++)
      {
        FakeFs copy (3);
        copy.current = copy.durable = fs.image ();
        copy.current[name.first]->current[at] ^= 0x10;
        QgStatus status = open_store (copy, &store, &state, &err);
        qg_store_unref (store);
        if (status == QG_OK)
          {
            // Damage is accepted in the last frame only, where it cannot be
            // told from an unfinished write.
            EXPECT_EQ (name.first, last_segment);
            EXPECT_GE (check_entries (state), entry_count - 1u);
            qg_cons_state_clear (&state);
            continue;
          }
        EXPECT_EQ (status, QG_E_CORRUPT);
        EXPECT_NE (strstr (err.message, "move the data folder away"), nullptr);
        reported++;
      }
  EXPECT_GT (reported, 100);
}

TEST (Store, AMissingSegmentIsReported)
{
  FakeFs fs (4);
  QgStore *store;
  QgConsState state;
  QgErr err;
  ASSERT_EQ (open_store (fs, &store, &state, &err), QG_OK);
  qg_cons_state_clear (&state);
  write_entries (store, 1);
  qg_store_unref (store);
  ASSERT_EQ (open_store (fs, &store, &state, &err), QG_OK);
  qg_cons_state_clear (&state);
  qg_store_unref (store);
  std::vector<std::string> logs;
  for (auto &name : fs.current)
    if (name.first.compare (0, 4, "log-") == 0)
      logs.push_back (name.first);
  ASSERT_GE (logs.size (), 3u);
  fs.current.erase (logs[logs.size () - 2]);
  EXPECT_EQ (open_store (fs, &store, &state, &err), QG_E_CORRUPT);
  qg_store_unref (store);
}

TEST (Store, CrcIsCastagnoli)
{
  EXPECT_EQ (qg_store_crc32c (0, (const guint8 *)"123456789", 9), 0xe3069283u);
}
