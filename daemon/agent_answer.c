#include "libagent.h"

#include "lib/event.h"

static void pump_reader (QgAnswerReader *reader);
static void send_piece (QgAnswerReader *reader, const QgAnswerPiece *piece);
static void send_head (const QgAnswerReader *reader, const guint8 *data,
                       gsize size);
static void send_end (QgPeer *peer, guint64 id, guint64 length,
                      const guint8 *data, gsize size);
static void send_fail (QgPeer *peer, guint64 id, const guint8 *data,
                       gsize size);
static void refuse_attach (QgAgentLink *link, const Qg__Attach *attach,
                           const QgErr *err);
static gboolean is_lost (const QgAgentLink *link, guint64 assign_number);
static gboolean on_crash_timer (gpointer user);
static void refuse_expired (QgAgent *agent, QgTime now);
static void report_crash (QgAgent *agent);
static void send_crash (QgAgent *agent, const QgIsolateCrash *crash);

QgAnswerOrigin
qg_agent_origin (const QgAgentLink *link, guint64 request_id)
{
  return (QgAnswerOrigin){ link->name, link->incarnation, request_id };
}

void
qg_agent_answer_pump (QgAnswer *answer)
{
  QgAnswerReader *reader;

  for (guint i = 0; (reader = qg_answer_nth_reader (answer, i)) != NULL; i++)
    pump_reader (reader);
}

void
qg_agent_answer_fail (QgAnswer *answer, const Qg__ReplyFail *fail)
{
  gsize size = qg__reply_fail__get_packed_size (fail);
  guint8 *packed = g_malloc (size + 1);
  GBytes *bytes;

  qg__reply_fail__pack (fail, packed);
  bytes = g_bytes_new_take (packed, size);
  qg_answer_fail (answer, bytes, qg_clock_now ());
  g_bytes_unref (bytes);
  qg_agent_answer_pump (answer);
}

void
qg_agent_attach (QgAgentLink *link, const Qg__Attach *attach)
{
  QgAnswerAttach want = { 0 };
  QgAnswerReader *reader;
  QgErr err;

  want.reader = qg_agent_origin (link, attach->request_id);
  want.workspace = attach->workspace;
  want.service = attach->service;
  want.key = attach->key;
  want.original = qg_agent_origin (link, attach->original_id);
  want.body_hash = attach->body_hash.data;
  want.body_hash_len = attach->body_hash.len;
  want.offset = attach->offset;
  want.user = link;
  reader = qg_answer_attach (link->agent->answers, &want, &err);
  if (reader != NULL)
    pump_reader (reader);
  else
    refuse_attach (link, attach, &err);
}

void
qg_agent_cancel (QgAgentLink *link, guint64 request_id)
{
  QgAnswerOrigin origin = qg_agent_origin (link, request_id);
  QgAnswerReader *reader
      = qg_answer_find_reader (link->agent->answers, &origin);
  QgAnswer *answer;

  if (reader == NULL)
    return;
  answer = qg_answer_reader_answer (reader);
  qg_answer_detach (reader, qg_clock_now ());
  if (!qg_answer_has_readers (answer) && qg_answer_user (answer) != NULL)
    qg_agent_job_abandon (qg_answer_user (answer));
}

void
qg_agent_window (QgAgentLink *link, const Qg__Window *window)
{
  QgAnswerOrigin origin = qg_agent_origin (link, window->request_id);
  QgAnswerReader *reader
      = qg_answer_find_reader (link->agent->answers, &origin);
  QgAgentJob *job;

  if (reader == NULL)
    return;
  qg_answer_confirm (reader, window->offset);
  pump_reader (reader);
  job = qg_answer_user (qg_answer_reader_answer (reader));
  if (job != NULL && job->run != NULL && qg_answer_has_room (job->answer))
    qg_agent_job_set_paused (job, FALSE);
}

void
qg_agent_schedule_crash_check (QgAgent *agent)
{
  if (agent->crash_timer == 0)
    agent->crash_timer = g_timeout_add (QG_ISOLATE_CRASH_WINDOW / QG_MSEC + 1,
                                        on_crash_timer, agent);
}

void
qg_agent_maintain (QgAgent *agent)
{
  QgTime now = qg_clock_now ();
  QgAnswer *orphan;

  qg_answers_expire (agent->answers, now);
  while ((orphan = qg_answers_find_orphan (agent->answers, now)) != NULL)
    qg_agent_job_abandon (qg_answer_user (orphan));
  refuse_expired (agent, now);
  qg_isolate_expire (agent->isolate, now);
  report_crash (agent);
}

/* Refuses the held job if its deadline has passed; at most one job is held. */
static void
refuse_expired (QgAgent *agent, QgTime now)
{
  Qg__ReplyFail fail = QG__REPLY_FAIL__INIT;
  GHashTableIter iter;
  gpointer key;

  fail.status = QG_E_TIMEOUT;
  fail.message = "the request must run alone, and other requests kept the "
                 "target busy until the deadline";
  g_hash_table_iter_init (&iter, agent->jobs);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      QgAgentJob *job = key;

      if (job->stage != QG_AGENT_HELD || now < job->deadline)
        continue;
      qg_agent_job_refuse (job, &fail);
      return;
    }
}

static gboolean
on_crash_timer (gpointer user)
{
  QgAgent *agent = user;

  agent->crash_timer = 0;
  report_crash (agent);
  return G_SOURCE_REMOVE;
}

static void
pump_reader (QgAnswerReader *reader)
{
  QgAnswerPiece piece;

  while (qg_answer_next (reader, &piece))
    {
      send_piece (reader, &piece);
      g_clear_pointer (&piece.bytes, g_bytes_unref);
    }
}

static void
send_piece (QgAnswerReader *reader, const QgAnswerPiece *piece)
{
  QgAgentLink *link = qg_answer_reader_user (reader);
  guint64 id = qg_answer_reader_origin (reader)->id;
  gsize size = 0;
  const guint8 *data
      = piece->bytes == NULL ? NULL : g_bytes_get_data (piece->bytes, &size);
  Qg__ReplyData message = QG__REPLY_DATA__INIT;

  switch (piece->kind)
    {
    case QG_ANSWER_HEAD:
      send_head (reader, data, size);
      break;
    case QG_ANSWER_DATA:
      message.request_id = id;
      message.offset = piece->offset;
      message.data.data = (guint8 *)data;
      message.data.len = size;
      QG_SEND (link->peer, REPLY_DATA, reply_data, &message);
      break;
    case QG_ANSWER_END:
      send_end (link->peer, id, piece->offset, data, size);
      break;
    case QG_ANSWER_FAIL:
      send_fail (link->peer, id, data, size);
      break;
    }
}

static void
send_head (const QgAnswerReader *reader, const guint8 *data, gsize size)
{
  const QgAgentLink *link = qg_answer_reader_user (reader);
  Qg__ReplyHead *head = qg__reply_head__unpack (NULL, size, data);

  head->request_id = qg_answer_reader_origin (reader)->id;
  head->joined = qg_answer_reader_joined (reader);
  QG_SEND (link->peer, REPLY_HEAD, reply_head, head);
  qg__reply_head__free_unpacked (head, NULL);
}

static void
send_end (QgPeer *peer, guint64 id, guint64 length, const guint8 *data,
          gsize size)
{
  Qg__ReplyEnd *end = qg__reply_end__unpack (NULL, size, data);

  end->request_id = id;
  end->length = length;
  QG_SEND (peer, REPLY_END, reply_end, end);
  qg__reply_end__free_unpacked (end, NULL);
}

static void
send_fail (QgPeer *peer, guint64 id, const guint8 *data, gsize size)
{
  Qg__ReplyFail *fail = qg__reply_fail__unpack (NULL, size, data);

  fail->request_id = id;
  QG_SEND (peer, REPLY_FAIL, reply_fail, fail);
  qg__reply_fail__free_unpacked (fail, NULL);
}

void
qg_agent_record_assign (QgAgentLink *link, guint64 number)
{
  GHashTable *table = link->agent->received;
  QgReceived *received = g_hash_table_lookup (table, link->name);

  if (number == 0)
    return;
  if (received == NULL)
    {
      received = g_new0 (QgReceived, 1);
      g_hash_table_insert (table, g_strdup (link->name), received);
    }
  qg_received_add (received, link->incarnation, number);
}

/* Whether an Assign of the link's entry was lost with an earlier connection. */
static gboolean
is_lost (const QgAgentLink *link, guint64 assign_number)
{
  const QgReceived *received
      = g_hash_table_lookup (link->agent->received, link->name);

  return assign_number != 0
         && (received == NULL
             || qg_received_is_lost (received, link->incarnation,
                                     assign_number));
}

/* On QG_E_CONFLICT, the key is in use with another body, so this request did
 * not run, nor did one that was lost. Otherwise this agent doesn't know whether
 * the request ran. */
static void
refuse_attach (QgAgentLink *link, const Qg__Attach *attach, const QgErr *err)
{
  Qg__ReplyFail fail = QG__REPLY_FAIL__INIT;

  fail.request_id = attach->request_id;
  fail.run
      = err->status == QG_E_CONFLICT || is_lost (link, attach->assign_number)
            ? QG__RUN__RUN_NOT_RUN
            : QG__RUN__RUN_UNKNOWN;
  fail.status = err->status;
  fail.message = (char *)err->message;
  QG_SEND (link->peer, REPLY_FAIL, reply_fail, &fail);
}

static void
report_crash (QgAgent *agent)
{
  QgIsolateCrash crash;

  if (qg_isolate_crashed (agent->isolate, qg_clock_now (), &crash))
    qg_agent_report_crash (agent, &crash);
}

void
qg_agent_report_crash (QgAgent *agent, QgIsolateCrash *crash)
{
  qg_event (QG_EV_TARGET_CRASHED,
            "target %s of service %s crashed with %u requests in flight",
            agent->config->target, agent->config->service,
            crash->fingerprints->len);
  send_crash (agent, crash);
  g_ptr_array_unref (crash->fingerprints);
}

static void
send_crash (QgAgent *agent, const QgIsolateCrash *crash)
{
  Qg__PeerMsg msg = QG__PEER_MSG__INIT;
  Qg__CrashAsk ask = QG__CRASH_ASK__INIT;
  guint n
      = MIN (crash->fingerprints->len, (guint)QG_POISON_MAX_CRASH_FINGERPRINTS);

  ask.seq = qg_uplink_next_seq (agent->uplink);
  ask.service = agent->config->service;
  ask.agent = agent->config->name;
  ask.incarnation = agent->incarnation;
  ask.sound = crash->sound;
  ask.n_fingerprints = n;
  ask.fingerprints = g_new (ProtobufCBinaryData, n);
  for (guint i = 0; i < n; i++)
    {
      gsize size;
      GBytes *print = g_ptr_array_index (crash->fingerprints, i);

      ask.fingerprints[i].data = (guint8 *)g_bytes_get_data (print, &size);
      ask.fingerprints[i].len = size;
    }
  msg.kind_case = QG__PEER_MSG__KIND_CRASH_ASK;
  msg.crash_ask = &ask;
  qg_uplink_request (agent->uplink, &msg, ask.seq,
                     qg_clock_now () + 60 * QG_SEC, NULL, NULL);
  g_free (ask.fingerprints);
}
