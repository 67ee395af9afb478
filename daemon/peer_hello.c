#include "libpeer.h"

#include "lib/event.h"

#include <unistd.h>

static GBytes *make_proof (const QgPeer *peer, gboolean by_us);

void
qg_peer_handle_hello (QgPeer *peer, Qg__PeerMsg *msg, const guint8 *data,
                      gsize size)
{
  Qg__Proof proof = QG__PROOF__INIT;
  Qg__PeerMsg out = QG__PEER_MSG__INIT;
  GBytes *mac;

  if (msg->kind_case != QG__PEER_MSG__KIND_HELLO
      || msg->hello->version != QG_PEER_VERSION
      || msg->hello->nonce.len != QG_PEER_NONCE_BYTES
      || msg->hello->name[0] == '\0')
    {
      qg_event (QG_EV_PEER_REFUSED, "no valid hello of version %d",
                QG_PEER_VERSION);
      qg_peer_drop (peer, "its hello is not valid");
      return;
    }
  peer->hello_received = g_bytes_new (data, size);
  /* Takes ownership of the Hello. */
  peer->hello = msg->hello;
  msg->hello = NULL;
  msg->kind_case = QG__PEER_MSG__KIND__NOT_SET;
  mac = make_proof (peer, TRUE);
  proof.mac.data = (guint8 *)g_bytes_get_data (mac, &proof.mac.len);
  out.kind_case = QG__PEER_MSG__KIND_PROOF;
  out.proof = &proof;
  peer->state = QG_PEER_PROOF;
  qg_peer_queue (peer, &out);
  g_bytes_unref (mac);
}

void
qg_peer_handle_proof (QgPeer *peer, const Qg__PeerMsg *msg)
{
  GBytes *expected = make_proof (peer, FALSE);
  gsize size;
  const guint8 *data = g_bytes_get_data (expected, &size);
  gboolean valid = msg->kind_case == QG__PEER_MSG__KIND_PROOF
                   && msg->proof->mac.len == size;
  guint8 difference = 0;

  for (gsize i = 0; valid && i < size; i++)
    difference |= data[i] ^ msg->proof->mac.data[i];
  g_bytes_unref (expected);
  if (!valid || difference != 0)
    {
      qg_event (QG_EV_PEER_REFUSED, "%s does not know the fleet key",
                peer->hello->name);
      qg_peer_drop (peer, "it does not know the fleet key");
      return;
    }
  peer->state = QG_PEER_UP;
  peer->reconnect_ms = QG_PEER_RECONNECT_MIN_MS;
  peer->handshake_limit_ms = QG_PEER_SILENCE_LIMIT_MS;
  qg_event (QG_EV_PEER_UP, "peer %s", peer->hello->name);
  if (peer->hub->options.ops->up != NULL)
    peer->hub->options.ops->up (peer->hub->options.user, peer);
}

/* HMAC-SHA256 with the fleet key over the prover's side of the connection
 * ("dial" or "take") and both Hello messages, the prover's first. */
static GBytes *
make_proof (const QgPeer *peer, gboolean by_us)
{
  const QgPeerHub *hub = peer->hub;
  gsize key_size;
  const guchar *key = g_bytes_get_data (hub->options.fleet_key, &key_size);
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, key, key_size);
  GBytes *first = by_us ? peer->hello_sent : peer->hello_received;
  GBytes *second = by_us ? peer->hello_received : peer->hello_sent;
  gboolean by_dialler = by_us == peer->dialled;
  guint8 digest[QG_PEER_NONCE_BYTES];
  gsize digest_size = sizeof digest;
  gsize size;
  const guchar *data;

  g_hmac_update (hmac, (const guchar *)(by_dialler ? "dial" : "take"), 4);
  data = g_bytes_get_data (first, &size);
  g_hmac_update (hmac, data, (gssize)size);
  data = g_bytes_get_data (second, &size);
  g_hmac_update (hmac, data, (gssize)size);
  g_hmac_get_digest (hmac, digest, &digest_size);
  g_hmac_unref (hmac);
  return g_bytes_new (digest, digest_size);
}

void
qg_peer_send_hello (QgPeer *peer)
{
  const QgPeerOptions *options = &peer->hub->options;
  Qg__Hello hello = QG__HELLO__INIT;
  Qg__PeerMsg msg = QG__PEER_MSG__INIT;
  guint8 nonce[QG_PEER_NONCE_BYTES];
  guint8 *packed;
  gsize size;

  if (getentropy (nonce, sizeof nonce) != 0)
    {
      qg_peer_drop (peer, "no random bytes for the handshake");
      return;
    }
  hello.version = QG_PEER_VERSION;
  hello.role = options->role;
  hello.name = (char *)options->name;
  hello.dc = (char *)options->dc;
  hello.region = (char *)options->region;
  hello.incarnation = options->incarnation;
  hello.nonce.data = nonce;
  hello.nonce.len = sizeof nonce;
  hello.service = (char *)(options->service != NULL ? options->service : "");
  hello.address = (char *)(options->address != NULL ? options->address : "");
  msg.kind_case = QG__PEER_MSG__KIND_HELLO;
  msg.hello = &hello;
  size = qg__peer_msg__get_packed_size (&msg);
  packed = g_malloc (size);
  qg__peer_msg__pack (&msg, packed);
  peer->hello_sent = g_bytes_new_take (packed, size);
  qg_peer_queue (peer, &msg);
}
