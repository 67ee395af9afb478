#include "libpeer.h"

#include "lib/event.h"

#include <string.h>

enum
{
  MAX_READS_PER_EVENT = 16,
  OUT_COMPACT_BYTES = 1024 * 1024,
};

static gboolean handle_frames (QgPeer *peer);
static void handle_message (QgPeer *peer, const guint8 *data, gsize size);
static gboolean flush_out (QgPeer *peer);

void
qg_peer_readable (QgPeer *peer)
{
  guint8 buffer[QG_PEER_READ_BYTES];
  gboolean open = TRUE;

  for (int i = 0; i < MAX_READS_PER_EVENT && open; i++)
    {
      GError *error = NULL;
      gssize n = g_socket_receive (peer->socket, (char *)buffer, sizeof buffer,
                                   NULL, &error);

      if (n < 0 && g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        {
          g_error_free (error);
          return;
        }
      g_clear_error (&error);
      if (n <= 0)
        {
          qg_peer_drop (peer, n == 0 ? "the peer closed it" : "it was reset");
          return;
        }
      peer->last_received_ms = qg_peer_now_ms ();
      peer->received++;
      g_byte_array_append (peer->in, buffer, (guint)n);
      open = handle_frames (peer);
      if ((gsize)n < sizeof buffer)
        return;
    }
}

void
qg_peer_writable (QgPeer *peer)
{
  qg_peer_poll_want_write (peer, FALSE);
  if (!flush_out (peer))
    qg_peer_drop (peer, "a write failed");
}

static gboolean
handle_frames (QgPeer *peer)
{
  gsize at = 0;

  while (peer->connection != NULL && peer->in->len - at >= QG_PEER_HEADER_BYTES)
    {
      guint32 size;

      memcpy (&size, peer->in->data + at, sizeof size);
      size = GUINT32_FROM_BE (size);
      if (size > QG_PEER_MAX_FRAME_BYTES
          || (peer->state != QG_PEER_UP && size > QG_PEER_HANDSHAKE_BYTES))
        {
          qg_event (QG_EV_PEER_BAD_FRAME, "frame of %u bytes exceeds the limit",
                    size);
          qg_peer_drop (peer, "a frame is too long");
          return FALSE;
        }
      if (peer->in->len - at - QG_PEER_HEADER_BYTES < size)
        break;
      handle_message (peer, peer->in->data + at + QG_PEER_HEADER_BYTES, size);
      at += QG_PEER_HEADER_BYTES + size;
    }
  if (peer->connection == NULL)
    return FALSE;
  if (at > 0)
    g_byte_array_remove_range (peer->in, 0, (guint)at);
  return TRUE;
}

static void
handle_message (QgPeer *peer, const guint8 *data, gsize size)
{
  Qg__PeerMsg *msg = qg__peer_msg__unpack (NULL, size, data);
  QgPeerTraffic *traffic = &peer->hub->traffic;
  Qg__Pong pong = QG__PONG__INIT;

  if (msg == NULL)
    {
      qg_event (QG_EV_PEER_BAD_FRAME, "frame is not a valid message");
      qg_peer_drop (peer, "a message cannot be read");
      return;
    }
  traffic->frames_in[(guint)msg->kind_case % QG_PEER_KINDS]++;
  traffic->bytes_in[(guint)msg->kind_case % QG_PEER_KINDS]
      += size + QG_PEER_HEADER_BYTES;
  if (peer->state == QG_PEER_HELLO)
    qg_peer_handle_hello (peer, msg, data, size);
  else if (peer->state == QG_PEER_PROOF)
    qg_peer_handle_proof (peer, msg);
  else if (msg->kind_case == QG__PEER_MSG__KIND_PING)
    QG_SEND (peer, PONG, pong, &pong);
  else if (msg->kind_case != QG__PEER_MSG__KIND_PONG
           && msg->kind_case != QG__PEER_MSG__KIND__NOT_SET
           && peer->hub->options.ops->message != NULL)
    peer->hub->options.ops->message (peer->hub->options.user, peer, msg);
  qg__peer_msg__free_unpacked (msg, NULL);
}

void
qg_peer_queue (QgPeer *peer, const Qg__PeerMsg *msg)
{
  gsize size = qg__peer_msg__get_packed_size (msg);
  guint32 header = GUINT32_TO_BE ((guint32)size);
  QgPeerTraffic *traffic = &peer->hub->traffic;
  guint at = peer->out->len;

  traffic->frames_out[(guint)msg->kind_case % QG_PEER_KINDS]++;
  traffic->bytes_out[(guint)msg->kind_case % QG_PEER_KINDS]
      += size + QG_PEER_HEADER_BYTES;
  g_byte_array_append (peer->out, (const guint8 *)&header, sizeof header);
  g_byte_array_set_size (peer->out, at + QG_PEER_HEADER_BYTES + (guint)size);
  qg__peer_msg__pack (msg, peer->out->data + at + QG_PEER_HEADER_BYTES);
  peer->last_sent_ms = qg_peer_now_ms ();
  if (peer->wants_write && qg_peer_unsent (peer) < QG_PEER_MAX_UNSENT_BYTES)
    return;
  /* Shuts the socket down, so that the next read fails and closes the
   * connection. This call does not close it, because the sender may still use
   * the peer. */
  if (qg_peer_unsent (peer) >= QG_PEER_MAX_UNSENT_BYTES || !flush_out (peer))
    g_socket_shutdown (peer->socket, TRUE, TRUE, NULL);
}

static gboolean
flush_out (QgPeer *peer)
{
  while (qg_peer_unsent (peer) > 0)
    {
      GError *error = NULL;
      gssize n = g_socket_send (peer->socket,
                                (const char *)peer->out->data + peer->out_sent,
                                qg_peer_unsent (peer), NULL, &error);

      if (n > 0)
        {
          peer->out_sent += (gsize)n;
          continue;
        }
      if (!g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        {
          g_clear_error (&error);
          return FALSE;
        }
      g_clear_error (&error);
      qg_peer_poll_want_write (peer, TRUE);
      break;
    }
  if (peer->out_sent == peer->out->len)
    {
      g_byte_array_set_size (peer->out, 0);
      peer->out_sent = 0;
    }
  else if (peer->out_sent > OUT_COMPACT_BYTES)
    {
      g_byte_array_remove_range (peer->out, 0, (guint)peer->out_sent);
      peer->out_sent = 0;
    }
  return TRUE;
}
