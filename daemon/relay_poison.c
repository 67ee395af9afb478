#include "librelay.h"

#include <string.h>

/* Prompt parts and whole requests that crash targets: reports crashes and
 * completions to control, and looks up what control decided. The last part of a
 * prompt belongs to one request or session and is left out. */

/** Time during which a report is sent again until it is answered. */
#define REPORT_TIME (10 * QG_SEC)

static guint shared_parts (const RelayCall *call);
static QgPartWatchPart get_part (const RelayCall *call, guint i);
static QgPoisonLevel part_level (const RelayCall *call,
                                 const QgPartWatchPart *part,
                                 guint8 out[QG_POISON_FINGERPRINT_BYTES]);
static void clear_if_suspect (const RelayCall *call,
                              const QgPartWatchPart *part, QgTime now);
static guint first_suspect (const RelayCall *call);
static guint64 crash_id (const RelayCall *call);
static guint64 request_key (const RelayCall *call);
static void schedule (QgRelay *relay, QgTime at);
static void on_report_timer (gpointer user);
static void send (QgRelay *relay, Qg__CrashAsk *ask);
static void send_cleared (QgRelay *relay);

void
relay_poison_start (QgRelay *relay)
{
  relay->parts = qg_partwatch_new ();
  relay->cleared_parts = g_hash_table_new_full (
      g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref, NULL);
  relay->poison_timer.fire = on_report_timer;
  relay->poison_timer.user = relay;
}

void
relay_poison_stop (QgRelay *relay)
{
  qg_partwatch_free (relay->parts);
  g_hash_table_unref (relay->cleared_parts);
}

gboolean
relay_poison_is_quarantined (const RelayCall *call)
{
  guint8 print[QG_POISON_FINGERPRINT_BYTES];

  if (!qg_board_has_suspects (call->relay->board))
    return FALSE;
  for (guint i = 0; i <= shared_parts (call); i++)
    {
      QgPartWatchPart part = get_part (call, i);

      if (part_level (call, &part, print) == QG_POISON_QUARANTINED)
        return TRUE;
    }
  return FALSE;
}

/* Before the answer begins, only the request itself is suspected: a crash under
 * a part follows the beginning of an answer. */
void
relay_poison_crashed (const RelayCall *call, QgTime now)
{
  gboolean has_begun = call->link->forwarding;

  for (guint i = first_suspect (call); i <= shared_parts (call); i++)
    {
      QgPartWatchPart part = get_part (call, i);

      qg_partwatch_crashed (call->relay->parts, &part, crash_id (call),
                            has_begun ? call->link->began : now, now);
    }
  schedule (call->relay, qg_partwatch_due (call->relay->parts));
}

/* The first part that is suspected if the call's target ends now. */
static guint
first_suspect (const RelayCall *call)
{
  return call->link->forwarding ? 0 : shared_parts (call);
}

static guint64
crash_id (const RelayCall *call)
{
  return qg_poison_crash_id (call->target->id, call->sent_born_ms);
}

/* When a target fell silent is not known: an answer that went on for
 * QG_PARTWATCH_SURVIVED did not end it. */
void
relay_poison_unanswered (const RelayCall *call, QgTime now)
{
  if (call->link == NULL || call->link->survived
      || (call->link->conn != NULL && !qg_h1_is_open (call->link->conn)))
    return;
  for (guint i = first_suspect (call); i <= shared_parts (call); i++)
    {
      QgPartWatchPart part = get_part (call, i);

      qg_partwatch_unanswered (call->relay->parts, &part, crash_id (call), now);
    }
}

void
relay_poison_target_ended (QgRelay *relay, const char *target, guint64 born_ms,
                           QgTime now)
{
  for (GList *at = relay->callers.head; at != NULL; at = at->next)
    {
      const RelayCall *call = ((RelayCaller *)at->data)->call;

      if (call != NULL && call->link != NULL && call->sent_born_ms == born_ms
          && strcmp (call->target->id, target) == 0)
        relay_poison_unanswered (call, now);
    }
  qg_partwatch_target_ended (relay->parts, qg_poison_crash_id (target, born_ms),
                             now);
  schedule (relay, qg_partwatch_due (relay->parts));
}

void
relay_poison_target_answers (const RelayCall *call)
{
  if (qg_partwatch_has_unanswered (call->relay->parts))
    qg_partwatch_target_answers (call->relay->parts, crash_id (call));
}

void
relay_poison_survived (const RelayCall *call, QgTime now)
{
  gboolean has_suspects = qg_board_has_suspects (call->relay->board);

  for (guint i = 0; i <= shared_parts (call); i++)
    {
      QgPartWatchPart part;

      if (i == shared_parts (call) && !has_suspects)
        return;
      part = get_part (call, i);
      if (i < shared_parts (call))
        qg_partwatch_completed (call->relay->parts, &part, now);
      if (has_suspects)
        clear_if_suspect (call, &part, now);
    }
}

static void
clear_if_suspect (const RelayCall *call, const QgPartWatchPart *part,
                  QgTime now)
{
  QgRelay *relay = call->relay;
  guint8 print[QG_POISON_FINGERPRINT_BYTES];

  if (part_level (call, part, print) != QG_POISON_APART)
    return;
  g_hash_table_add (relay->cleared_parts, g_bytes_new (print, sizeof print));
  schedule (relay, now + QG_PARTWATCH_DELAY);
}

static guint
shared_parts (const RelayCall *call)
{
  return call->job.n_parts > 0 ? call->job.n_parts - 1 : 0;
}

/* The part at @i; after the shared parts comes the whole request. */
static QgPartWatchPart
get_part (const RelayCall *call, guint i)
{
  QgPartWatchPart part = { call->job.service->name, 0, i, FALSE };

  if (i < shared_parts (call))
    {
      part.part = call->job.parts[i].id;
      return part;
    }
  part.whole = TRUE;
  part.part = request_key (call);
  return part;
}

static guint64
request_key (const RelayCall *call)
{
  if (call->request_key != 0)
    return call->request_key;
  return qg_poison_request_key (
      call->workspace != NULL ? call->workspace->name : "", call->method,
      call->url, call->body->data, call->body->len);
}

void
relay_poison_keep_request_key (RelayCall *call)
{
  call->request_key = request_key (call);
}

static QgPoisonLevel
part_level (const RelayCall *call, const QgPartWatchPart *part,
            guint8 out[QG_POISON_FINGERPRINT_BYTES])
{
  qg_poison_part_fingerprint (part->service, part->part, out);
  return qg_board_poison_level (call->relay->board, out);
}

static void
schedule (QgRelay *relay, QgTime at)
{
  if (at == G_MAXINT64 || relay->poison_timer_set)
    return;
  relay->poison_timer_set = TRUE;
  qg_h1_timer_set (relay->loop, &relay->poison_timer, at);
}

static void
on_report_timer (gpointer user)
{
  QgRelay *relay = user;
  GBytes *parts;

  relay->poison_timer_set = FALSE;
  while ((parts = qg_partwatch_take (relay->parts)) != NULL)
    {
      Qg__CrashAsk ask = QG__CRASH_ASK__INIT;
      gsize size;

      ask.parts.data = (guint8 *)g_bytes_get_data (parts, &size);
      ask.parts.len = size;
      send (relay, &ask);
      g_bytes_unref (parts);
    }
  send_cleared (relay);
}

static void
send_cleared (QgRelay *relay)
{
  Qg__CrashAsk ask = QG__CRASH_ASK__INIT;
  guint n = MIN (g_hash_table_size (relay->cleared_parts),
                 (guint)QG_POISON_MAX_CRASH_FINGERPRINTS);
  GHashTableIter iter;
  gpointer print;

  if (n == 0)
    return;
  ask.cleared = g_new (ProtobufCBinaryData, n);
  g_hash_table_iter_init (&iter, relay->cleared_parts);
  while (ask.n_cleared < n && g_hash_table_iter_next (&iter, &print, NULL))
    {
      ProtobufCBinaryData *item = &ask.cleared[ask.n_cleared++];
      gsize size;

      item->data = (guint8 *)g_bytes_get_data (print, &size);
      item->len = size;
    }
  send (relay, &ask);
  g_free (ask.cleared);
  g_hash_table_remove_all (relay->cleared_parts);
}

static void
send (QgRelay *relay, Qg__CrashAsk *ask)
{
  Qg__PeerMsg msg = QG__PEER_MSG__INIT;

  ask->seq = qg_uplink_next_seq (relay->uplink);
  msg.kind_case = QG__PEER_MSG__KIND_CRASH_ASK;
  msg.crash_ask = ask;
  qg_uplink_request (relay->uplink, &msg, ask->seq,
                     qg_clock_now () + REPORT_TIME, NULL, NULL);
}
