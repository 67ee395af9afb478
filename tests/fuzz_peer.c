/* A frame of a peer: any bytes are read or refused, and what was read is
 * written in the length that was foretold. Reading that again is not asked:
 * the library keeps an unknown field of number 0, which it then refuses. */
#include "proto/peer.pb-c.h"

#include <glib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  Qg__PeerMsg *msg = qg__peer_msg__unpack (NULL, size, data);
  guint8 *packed;
  gsize len;

  if (msg == NULL)
    return 0;
  len = qg__peer_msg__get_packed_size (msg);
  packed = g_malloc (len);
  g_assert (qg__peer_msg__pack (msg, packed) == len);
  g_free (packed);
  qg__peer_msg__free_unpacked (msg, NULL);
  return 0;
}
