// What the simulations of control members (cons_sim.h, found_sim.h) share.
#ifndef QG_SIM_PACKET_H
#define QG_SIM_PACKET_H

#include "lib/cons.h"
#include <stdexcept>
#include <string>

inline void
require (bool ok, const std::string &what)
{
  if (!ok)
    throw std::runtime_error (what);
}

// A message on its way; the next to arrive is the greatest.
struct SimPacket
{
  QgTime at;
  uint64_t id;
  size_t from, to;
  std::string bytes;
  bool
  operator<(const SimPacket &o) const
  {
    return at != o.at ? at > o.at : id > o.id;
  }
};

inline std::string
pack_message (const Qg__ConsMsg *msg)
{
  std::string bytes (qg__cons_msg__get_packed_size (msg), '\0');
  qg__cons_msg__pack (msg, reinterpret_cast<guint8 *> (&bytes[0]));
  return bytes;
}

inline void
deliver_message (QgCons *cons, const char *from, const std::string &bytes,
                 QgTime now)
{
  Qg__ConsMsg *msg = qg__cons_msg__unpack (
      nullptr, bytes.size (), reinterpret_cast<const guint8 *> (bytes.data ()));
  qg_cons_receive (cons, from, msg, now);
  qg__cons_msg__free_unpacked (msg, nullptr);
}

#endif
