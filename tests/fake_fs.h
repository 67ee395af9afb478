// A data folder in memory, whose operations fail as a test asks for it.
#ifndef QG_FAKE_FS_H
#define QG_FAKE_FS_H

#include "lib/event.h"
#include "lib/store.h"
#include <errno.h>
#include <map>
#include <memory>
#include <random>
#include <string>

// A folder in memory. A crash keeps, truncates or corrupts unsynced data at
// random.
struct FakeFs
{
  struct File
  {
    std::string current, durable;
    size_t clean = 0; // up to here a failed sync left pages that the disk lacks
  };
  using Names = std::map<std::string, std::shared_ptr<File> >;

  QgStoreFs base;
  Names current, durable;
  std::mt19937_64 rng;
  int ops_left = -1;       // operations before one fails; -1: none fails
  bool power_loss = false; // the failure is a power loss, not an error
  bool powered_off = false;
  bool full = false;    // appends write a part, and fail
  bool refuses = false; // every other operation fails
  int ops = 0;

  explicit FakeFs (uint64_t seed) : rng (seed)
  {
    base.ops = ops_table ();
    qg_event_set_level (QG_SEV_INVARIANT); // log no line per fault
  }

  static FakeFs *
  cast (QgStoreFs *fs)
  {
    return reinterpret_cast<FakeFs *> (fs);
  }

  // Counts an operation. Returns 0, or an error if this operation must fail.
  int
  inject_fault (int error)
  {
    ops++;
    if (powered_off || (refuses && rng () % 2 == 0))
      return EIO;
    if (ops_left < 0 || ops_left-- > 0)
      return 0;
    ops_left = -1;
    powered_off = power_loss;
    return power_loss ? EIO : error;
  }

  void
  crash ()
  {
    for (auto &name : current)
      durable.emplace (name.first, nullptr);
    Names after;
    for (auto &name : durable)
      {
        auto live = current.count (name.first) ? current[name.first] : nullptr;
        auto file = rng () % 2 ? live : name.second;
        if (live == name.second)
          file = live;
        if (file)
          after[name.first] = file;
      }
    for (auto &name : after)
      {
        std::string &text = name.second->current;
        size_t kept = name.second->durable.size ();
        text.replace (0, std::min (kept, text.size ()), name.second->durable);
        name.second->clean = 0;
        if (text.size () > kept)
          text.resize (kept + rng () % (text.size () - kept + 1));
        if (text.size () > kept && rng () % 3 == 0)
          text[kept + rng () % (text.size () - kept)] ^= 0x55;
        name.second->durable = text;
      }
    current = durable = after;
    powered_off = false;
    ops_left = -1;
  }

  // Returns a copy of the durable contents.
  Names
  image () const
  {
    Names copy;
    for (auto &name : durable)
      copy[name.first] = std::make_shared<File> (*name.second);
    return copy;
  }

  static const QgStoreFsOps *ops_table ();
};

inline const QgStoreFsOps *
FakeFs::ops_table ()
{
  static QgStoreFsOps ops;
  ops.list = [] (QgStoreFs *fs, GPtrArray *names) {
    for (auto &name : cast (fs)->current)
      g_ptr_array_add (names, g_strdup (name.first.c_str ()));
    return cast (fs)->powered_off ? EIO : 0;
  };
  ops.read = [] (QgStoreFs *fs, const char *name, GBytes **data) {
    auto &text = cast (fs)->current.at (name)->current;
    *data = g_bytes_new (text.data (), text.size ());
    return 0;
  };
  ops.append
      = [] (QgStoreFs *fs, const char *name, const void *data, gsize len) {
          FakeFs *self = cast (fs);
          if (self->powered_off)
            return EIO;
          auto &file = self->current[name];
          if (!file)
            file = std::make_shared<File> ();
          int error = self->inject_fault (ENOSPC);
          error = self->full ? ENOSPC : error;
          file->current.append (static_cast<const char *> (data),
                                error ? self->rng () % (len + 1) : len);
          return error;
        };
  ops.truncate = [] (QgStoreFs *fs, const char *name, gsize len) {
    int error = cast (fs)->inject_fault (EIO);
    if (!error)
      {
        auto &file = cast (fs)->current.at (name);
        file->current.resize (len);
        file->durable.resize (std::min<size_t> (len, file->durable.size ()));
        file->clean = std::min<size_t> (len, file->clean);
      }
    return error;
  };
  ops.sync = [] (QgStoreFs *fs, const char *name) {
    int error = cast (fs)->inject_fault (EIO);
    auto &file = cast (fs)->current.at (name);
    if (error)
      {
        file->clean = file->current.size ();
        return error;
      }
    for (size_t at = file->durable.size (); at < file->current.size (); at++)
      file->durable += at < file->clean ? '\0' : file->current[at];
    return 0;
  };
  ops.sync_folder = [] (QgStoreFs *fs) {
    int error = cast (fs)->inject_fault (EIO);
    if (!error)
      cast (fs)->durable = cast (fs)->current;
    return error;
  };
  ops.rename = [] (QgStoreFs *fs, const char *from, const char *to) {
    int error = cast (fs)->inject_fault (EIO);
    if (!error)
      {
        cast (fs)->current[to] = cast (fs)->current.at (from);
        cast (fs)->current.erase (from);
      }
    return error;
  };
  ops.unlink = [] (QgStoreFs *fs, const char *name) {
    int error = cast (fs)->inject_fault (EIO);
    if (!error)
      error = cast (fs)->current.erase (name) ? 0 : ENOENT;
    return error;
  };
  return &ops;
}

#endif
