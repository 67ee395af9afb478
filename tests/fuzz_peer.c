/* Fuzzes the parsing of a peer frame: any bytes are either rejected or parsed,
 * and a parsed message is packed into exactly the size computed before. The
 * packed bytes are not parsed again: protobuf-c keeps an unknown field with
 * number 0, but rejects it when it parses it again. */
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
