#include "libcons.h"

#include "event.h"

#include <string.h>

static guint8 *copy_bytes (const guint8 *data, gsize len);
static void install_received (QgCons *cons, const Qg__ConsMsg *msg);
static void reply_progress (QgCons *cons, const char *from,
                            const Qg__ConsMsg *msg, guint64 got);
static void skip_snapshot (QgCons *cons, const char *from,
                           const Qg__ConsMsg *msg);

void
cons_peer_snapshot_clear (ConsPeer *peer)
{
  if (peer->snapshot != NULL)
    qg_cons_snapshot_unref (peer->snapshot);
  peer->snapshot = NULL;
  if (peer->mode == PEER_SNAPSHOT)
    peer->mode = PEER_PROBE;
  peer->acked = 0;
}

static guint8 *
copy_bytes (const guint8 *data, gsize len)
{
  guint8 *out = malloc (len + 1);

  if (out == NULL)
    g_error ("out of memory");
  if (len > 0)
    memcpy (out, data, len);
  return out;
}

/* Sends the next chunk of the snapshot to a member that lacks entries that are
 * no longer in this log. */
gboolean
cons_send_chunk (QgCons *cons, ConsPeer *peer)
{
  Qg__ConsMsg *msg;
  const guint8 *data;
  gsize total;
  gsize len;

  if (cons->snapshot == NULL)
    return FALSE;
  if (peer->snapshot == NULL)
    {
      peer->snapshot = qg_cons_snapshot_ref (cons->snapshot);
      peer->mode = PEER_SNAPSHOT;
    }
  data = g_bytes_get_data (peer->snapshot->data, &total);
  len = MIN (total - peer->acked, cons->opts.chunk_bytes);
  msg = cons_msg_new (cons, QG__CONS_TYPE__CONS_SNAP);
  msg->index = peer->snapshot->index;
  msg->index_term = peer->snapshot->term;
  msg->offset = peer->acked;
  msg->total = total;
  msg->sent_us = (guint64)cons->now;
  msg->data.data = copy_bytes (data + peer->acked, len);
  msg->data.len = len;
  data = g_bytes_get_data (peer->snapshot->members, &len);
  msg->members.data = copy_bytes (data, len);
  msg->members.len = len;
  cons_send (cons, peer->name, msg, 0);
  return TRUE;
}

static void
reply_progress (QgCons *cons, const char *from, const Qg__ConsMsg *msg,
                guint64 got)
{
  Qg__ConsMsg *reply = cons_msg_new (cons, QG__CONS_TYPE__CONS_SNAP_GOT);

  reply->index = msg->index;
  reply->offset = got;
  cons_send (cons, from, reply, cons_hard_state_write (cons));
}

void
cons_on_snap (QgCons *cons, const char *from, const Qg__ConsMsg *msg)
{
  if (msg->term < cons->hard.term || msg->index <= cons->commit)
    {
      Qg__ConsMsg *reply = cons_msg_new (cons, QG__CONS_TYPE__CONS_APPENDED);

      reply->reject = TRUE;
      reply->index = cons->commit;
      cons_send (cons, from, reply, cons_hard_state_write (cons));
      return;
    }
  if (msg->index <= cons_last_index (cons)
      && cons_term_at (cons, msg->index) == msg->index_term)
    {
      skip_snapshot (cons, from, msg);
      return;
    }
  if (cons->incoming == NULL || cons->incoming_index != msg->index
      || cons->incoming_term != msg->index_term)
    {
      if (cons->incoming != NULL)
        g_byte_array_unref (cons->incoming);
      cons->incoming = g_byte_array_new ();
      cons->incoming_index = msg->index;
      cons->incoming_term = msg->index_term;
    }
  if (msg->offset == cons->incoming->len)
    g_byte_array_append (cons->incoming, msg->data.data, (guint)msg->data.len);
  if (cons->incoming->len >= msg->total)
    install_received (cons, msg);
  else
    reply_progress (cons, from, msg, cons->incoming->len);
}

/* The log already holds the last entry of the snapshot, so all entries up to
 * it equal the leader's. The log is kept: entries after the snapshot may have
 * been acknowledged, and the leader may count them as committed. The reply
 * acknowledges the log instead. */
static void
skip_snapshot (QgCons *cons, const char *from, const Qg__ConsMsg *msg)
{
  Qg__ConsMsg *reply = cons_msg_new (cons, QG__CONS_TYPE__CONS_APPENDED);

  cons->verified = MAX (cons->verified, msg->index);
  cons->commit = MAX (cons->commit, msg->index);
  cons_send (cons, from, reply, cons_pending_write (cons));
}

/* Replaces the log by the received snapshot. The reply to the first heartbeat
 * after the snapshot is synced acknowledges the snapshot. */
static void
install_received (QgCons *cons, const Qg__ConsMsg *msg)
{
  GBytes *data = g_byte_array_free_to_bytes (g_steal_pointer (&cons->incoming));
  GBytes *members = g_bytes_new (msg->members.data, msg->members.len);
  QgConsSnapshot *snapshot
      = qg_cons_snapshot_new (msg->index, msg->index_term, members, data);

  qg_event (QG_EV_CONS_SNAPSHOT,
            "%s installs the snapshot at %" G_GUINT64_FORMAT, cons->name,
            msg->index);
  cons_log_reset (cons, snapshot);
  cons->verified = msg->index;
  cons->install_write_pending = TRUE;
  cons->install_apply_pending = TRUE;
  qg_cons_snapshot_unref (snapshot);
  g_bytes_unref (members);
  g_bytes_unref (data);
}

void
cons_on_snap_got (QgCons *cons, ConsPeer *peer, const Qg__ConsMsg *msg)
{
  gsize had = peer->acked;

  if (cons->role != QG_CONS_LEADER || peer->mode != PEER_SNAPSHOT
      || msg->term != cons->hard.term || peer->snapshot == NULL
      || msg->index != peer->snapshot->index)
    return;
  /* A late chunk of another snapshot makes the member drop what it had. The
   * next heartbeat then sends the chunk that it lacks; only progress sends at
   * once, so that repeated replies do not multiply the chunks. */
  peer->acked = MIN (msg->offset, g_bytes_get_size (peer->snapshot->data));
  if (peer->acked > had)
    cons_send_chunk (cons, peer);
}
