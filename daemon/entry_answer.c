#include "libentry.h"

#include "lib/event.h"

#include <string.h>

enum
{
  MAX_REDIRECTS = 3, /* redirects of one call to claim holders */
};

/* How long a call waits for the agent that has its answer to connect. */
#define LINK_TIMEOUT (5 * QG_SEC)
/* Delay before a key is claimed again after the holder did not know the key. */
#define CLAIM_RETRY_DELAY (100 * QG_MSEC)

static gboolean stop_if_wrong (QgEntry *entry, QgCall *call);
static void decide_retry (QgEntry *entry, QgCall *call, QgRetryStage stage,
                          gboolean reachable, QgStatus status,
                          const char *detail);
static void refuse (QgEntry *entry, QgCall *call, QgStatus status,
                    const char *detail);
static QgRetryStage retry_stage (const QgCall *call, const Qg__ReplyFail *fail);
static void record_crash (QgEntry *entry, QgCall *call);
static gboolean retry_claim (QgEntry *entry, QgCall *call,
                             const Qg__ReplyFail *fail);
static void attach_to_holder (QgEntry *entry, QgCall *call,
                              const Qg__ReplyFail *fail);
static void wait_for_link (QgEntry *entry, QgCall *call);
static gboolean on_link_timeout (gpointer user);
static void attach (QgEntry *entry, QgEntryAgent *agent, QgCall *call);
static void send_attach (QgCall *call);
static gboolean on_attach_deadline (gpointer user);
static gboolean on_backoff_end (gpointer user);
static void set_timer (QgCall *call, QgTime delay, GSourceFunc func);
static QgEntryAgent *find_agent (QgEntry *entry, const QgCall *call);
static void handle_lost_agent (QgEntry *entry, QgCall *call);
static void handle_lost_assign (QgEntry *entry, QgCall *call,
                                const Qg__ReplyFail *fail);
static void report_completion (QgEntry *entry, QgCall *call);
static QgRetryBudget *get_budget (QgEntry *entry, const char *service);

void
qg_entry_answer_head (QgEntry *entry, QgCall *call, const Qg__ReplyHead *head)
{
  QgErr err;

  if (qg_call_forward_head (call, head, qg_clock_now (), &err) == QG_OK)
    return;
  qg_entry_send_cancel (call);
  call->progress = QG_OUTCOME_RAN;
  refuse (entry, call, err.status, err.message);
}

void
qg_entry_answer_data (QgEntry *entry, QgCall *call, const Qg__ReplyData *data)
{
  switch (qg_call_forward_data (call, data))
    {
    case QG_STREAM_GAP:
      send_attach (call);
      break;
    case QG_STREAM_BAD:
      qg_entry_send_cancel (call);
      refuse (entry, call, QG_E_INTERNAL,
              "the agent sent inconsistent answer lengths");
      break;
    case QG_STREAM_PASS:
      if (!stop_if_wrong (entry, call))
        qg_entry_update_window (call);
      break;
    case QG_STREAM_DROP:
      break;
    }
}

void
qg_entry_answer_end (QgEntry *entry, QgCall *call, const Qg__ReplyEnd *end)
{
  switch (qg_call_forward_end (call, end))
    {
    case QG_STREAM_PASS:
      if (stop_if_wrong (entry, call))
        break;
      if (call->estimate > 0 && !call->attached)
        qg_sizer_learn (entry->sizer, call->service, call->workspace,
                        call->estimate, end->service_units);
      report_completion (entry, call);
      qg_entry_end_call (entry, call);
      break;
    case QG_STREAM_GAP:
      send_attach (call);
      break;
    case QG_STREAM_BAD:
      call->progress = QG_OUTCOME_RAN;
      refuse (entry, call, QG_E_INTERNAL,
              "the agent sent inconsistent answer lengths");
      break;
    case QG_STREAM_DROP:
      break;
    }
}

void
qg_entry_answer_fail (QgEntry *entry, QgCall *call, const Qg__ReplyFail *fail)
{
  if (fail->crashed)
    record_crash (entry, call);
  if (call->attached && fail->status == QG_E_NOT_FOUND)
    {
      if (fail->run == QG__RUN__RUN_NOT_RUN && !call->stream.head_passed)
        handle_lost_assign (entry, call, fail);
      else if (!retry_claim (entry, call, fail))
        handle_lost_agent (entry, call);
      return;
    }
  qg_entry_detach_agent (entry, call);
  if (fail->holder[0] != '\0' && !call->stream.head_passed)
    {
      attach_to_holder (entry, call, fail);
      return;
    }
  if (fail->retry)
    {
      decide_retry (entry, call, retry_stage (call, fail), FALSE,
                    (QgStatus)fail->status, fail->message);
      return;
    }
  call->progress = MAX (call->progress, (QgOutcome)fail->run);
  refuse (entry, call, (QgStatus)fail->status, fail->message);
}

void
qg_entry_link_lost (QgEntry *entry, QgCall *call)
{
  qg_entry_remember_lost (entry, call);
  qg_entry_detach_agent (entry, call);
  decide_retry (entry, call,
                call->stream.head_passed ? QG_RETRY_ANSWER_STARTED
                                         : QG_RETRY_DETACHED,
                TRUE, QG_E_UNKNOWN, "the connection to the agent was lost");
}

void
qg_entry_agent_connected (QgEntry *entry, QgEntryAgent *agent)
{
  GList *calls = g_hash_table_get_values (entry->calls);

  qg_entry_report_lost (entry, agent);
  for (GList *l = calls; l != NULL; l = l->next)
    qg_call_ref (l->data);
  for (GList *l = calls; l != NULL; l = l->next)
    {
      QgCall *call = l->data;

      if (call->state != QG_CALL_AWAITING_AGENT
          || !g_str_equal (call->agent_name, agent->name))
        continue;
      if (call->agent_incarnation == agent->incarnation)
        attach (entry, agent, call);
      else
        handle_lost_agent (entry, call);
    }
  g_list_free_full (calls, (GDestroyNotify)qg_call_unref);
}

void
qg_entry_requeue_after (QgEntry *entry, QgCall *call, QgTime delay)
{
  if (delay == 0)
    {
      g_clear_handle_id (&call->timer, g_source_remove);
      qg_entry_requeue (entry, call);
      return;
    }
  call->state = QG_CALL_BACKING_OFF;
  set_timer (call, delay, on_backoff_end);
}

gboolean
qg_entry_bind_stream (QgEntry *entry, QgCall *call)
{
  if (qg_stream_bind (&call->stream, call->stream.source + 1))
    return TRUE;
  refuse (entry, call, QG_E_INTERNAL,
          "part of the answer was sent, so the request cannot run again");
  return FALSE;
}

void
qg_entry_count_call (QgEntry *entry, QgCall *call)
{
  qg_poison_fingerprint (call->workspace, call->service, call->body_hash,
                         sizeof call->body_hash, call->fingerprint);
  qg_retry_budget_add_request (get_budget (entry, call->service));
}

gboolean
qg_entry_refuse_quarantined (QgEntry *entry, QgCall *call)
{
  QgPoisonLevel local = qg_suspect_level (entry->suspects, call->fingerprint);
  QgPoisonLevel fleet = qg_board_poison_level (entry->board, call->fingerprint);

  call->level = MAX (local, fleet);
  if (call->level != QG_POISON_QUARANTINED)
    return FALSE;
  refuse (entry, call, QG_E_QUARANTINED,
          "this request crashed the targets that ran it");
  return TRUE;
}

/* Cancels a run whose events are not in order, and breaks the answer off: the
 * caller sees no proper end. The request does not run again, as the caller has
 * the head of this run. */
static gboolean
stop_if_wrong (QgEntry *entry, QgCall *call)
{
  const char *why = qg_call_wrong (call);
  char ids[QG_SSE_TEXT_BYTES];
  g_autofree char *detail = NULL;

  if (why == NULL)
    return FALSE;
  qg_sse_describe (&call->events->sse, call->events->asked_after, ids);
  detail = g_strdup_printf ("%s; agent=%s joined=%d %s", why, call->agent_name,
                            call->joined, ids);
  qg_entry_send_cancel (call);
  call->progress = QG_OUTCOME_RAN;
  refuse (entry, call, QG_E_UNKNOWN, detail);
  return TRUE;
}

/* Retries, reattaches or refuses a call whose attempt ended without an answer.
 */
static void
decide_retry (QgEntry *entry, QgCall *call, QgRetryStage stage,
              gboolean reachable, QgStatus status, const char *detail)
{
  QgRetryAttempt attempt = {
    .once = call->once,
    .stage = stage,
    .earlier_outcome = call->own_progress,
    .number = call->attempt,
    .reachable = reachable,
    .now = qg_clock_now (),
    .deadline = call->deadline,
    .seed = call->id,
  };
  QgRetryVerdict verdict
      = qg_retry_decide (&attempt, get_budget (entry, call->service));

  if (verdict.action == QG_RETRY_ATTACH)
    {
      wait_for_link (entry, call);
      return;
    }
  call->own_progress = verdict.outcome;
  call->progress = MAX (call->progress, verdict.outcome);
  if (verdict.action == QG_RETRY_FAIL)
    refuse (entry, call, status, detail);
  else if (!qg_entry_refuse_quarantined (entry, call))
    qg_entry_requeue_after (entry, call, verdict.pause);
}

static void
refuse (QgEntry *entry, QgCall *call, QgStatus status, const char *detail)
{
  qg_event (QG_EV_CALL_REFUSED, "%s, %s: %s", qg_status_name (status),
            qg_outcome_name (call->progress), detail);
  qg_call_refuse (call, status, (Qg__Run)call->progress, detail);
  qg_entry_end_call (entry, call);
}

static QgRetryStage
retry_stage (const QgCall *call, const Qg__ReplyFail *fail)
{
  if (call->stream.head_passed)
    return QG_RETRY_ANSWER_STARTED;
  if (fail->run == QG__RUN__RUN_NOT_RUN)
    return QG_RETRY_REFUSED;
  return fail->crashed ? QG_RETRY_CRASHED : QG_RETRY_SENT;
}

static void
record_crash (QgEntry *entry, QgCall *call)
{
  QgSuspectCrash crash
      = { call->service, call->agent_name, call->agent_incarnation,
          call->fingerprint, call->level };

  if (!call->attached)
    qg_suspect_record_crash (entry->suspects, &crash, qg_clock_now ());
}

/* Handles the failure of a holder that does not know the key: the holder may
 * have released the claim since, or run the request and dropped the answer.
 * Queues the call again, because the claim keeps the request from running
 * twice; refuses the call if the request ran or was redirected too often.
 * Returns FALSE for a call that runs without a claim, or whose answer has
 * begun. */
static gboolean
retry_claim (QgEntry *entry, QgCall *call, const Qg__ReplyFail *fail)
{
  if (!call->once || call->stream.head_passed)
    return FALSE;
  qg_entry_detach_agent (entry, call);
  call->progress = MAX (call->progress, QG_OUTCOME_UNKNOWN);
  if (call->progress == QG_OUTCOME_RAN || call->redirects >= MAX_REDIRECTS)
    refuse (entry, call, QG_E_UNKNOWN, fail->message);
  else
    qg_entry_requeue_after (entry, call, CLAIM_RETRY_DELAY);
  return TRUE;
}

static void
attach_to_holder (QgEntry *entry, QgCall *call, const Qg__ReplyFail *fail)
{
  call->progress = MAX (call->progress, (QgOutcome)fail->run);
  if (++call->redirects > MAX_REDIRECTS)
    {
      refuse (entry, call, (QgStatus)fail->status, fail->message);
      return;
    }
  g_free (call->agent_name);
  call->agent_name = g_strdup (fail->holder);
  call->agent_incarnation = fail->holder_incarnation;
  call->assign_number = 0;
  if (qg_entry_bind_stream (entry, call))
    wait_for_link (entry, call);
}

/* Attaches to the answer at the call's agent, once the agent is connected. */
static void
wait_for_link (QgEntry *entry, QgCall *call)
{
  QgTime left = call->deadline - qg_clock_now ();
  QgEntryAgent *agent = find_agent (entry, call);

  if (agent != NULL)
    {
      attach (entry, agent, call);
      return;
    }
  call->state = QG_CALL_AWAITING_AGENT;
  set_timer (call, CLAMP (left, 0, LINK_TIMEOUT), on_link_timeout);
}

static gboolean
on_link_timeout (gpointer user)
{
  QgCall *call = user;

  call->timer = 0;
  handle_lost_agent (call->entry, call);
  return G_SOURCE_REMOVE;
}

static void
attach (QgEntry *entry, QgEntryAgent *agent, QgCall *call)
{
  QgTime left = call->deadline - qg_clock_now ();

  call->state = QG_CALL_RUNNING;
  call->attached = TRUE;
  call->agent = qg_peer_ref (agent->peer);
  agent->running++;
  set_timer (call, MAX (left, 0), on_attach_deadline);
  send_attach (call);
}

static void
send_attach (QgCall *call)
{
  Qg__Attach message = QG__ATTACH__INIT;

  message.request_id = call->id;
  message.workspace = call->workspace;
  message.service = call->service;
  message.key = call->once ? call->key : (char *)"";
  message.original_id = call->id;
  message.assign_number = call->assign_number;
  message.offset = call->stream.next;
  message.body_hash.data = call->body_hash;
  message.body_hash.len = sizeof call->body_hash;
  QG_SEND (call->agent, ATTACH, attach, &message);
}

static gboolean
on_attach_deadline (gpointer user)
{
  QgCall *call = user;
  QgEntry *entry = call->entry;

  call->timer = 0;
  qg_entry_send_cancel (call);
  call->progress = MAX (call->progress, QG_OUTCOME_UNKNOWN);
  refuse (entry, call, QG_E_TIMEOUT,
          "the request did not finish before its deadline");
  return G_SOURCE_REMOVE;
}

static gboolean
on_backoff_end (gpointer user)
{
  QgCall *call = user;

  call->timer = 0;
  qg_entry_requeue (call->entry, call);
  return G_SOURCE_REMOVE;
}

static void
set_timer (QgCall *call, QgTime delay, GSourceFunc func)
{
  if (call->timer != 0)
    g_source_remove (call->timer);
  call->timer
      = g_timeout_add ((guint)CLAMP (delay / QG_MSEC, 1, G_MAXINT), func, call);
}

/* The connected process that has the call's answer, or NULL. */
static QgEntryAgent *
find_agent (QgEntry *entry, const QgCall *call)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, entry->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QgEntryAgent *agent = value;

      if (agent->incarnation == call->agent_incarnation
          && g_str_equal (agent->name, call->agent_name))
        return agent;
    }
  return NULL;
}

/* The call's agent is unreachable, was restarted or no longer has the answer.
 */
static void
handle_lost_agent (QgEntry *entry, QgCall *call)
{
  qg_entry_detach_agent (entry, call);
  decide_retry (entry, call,
                call->stream.head_passed ? QG_RETRY_ANSWER_STARTED
                                         : QG_RETRY_DETACHED,
                FALSE, QG_E_UNKNOWN,
                "the agent that ran the request is unreachable or no longer "
                "has the answer");
}

/* The request was lost with the connection that it was sent on. */
static void
handle_lost_assign (QgEntry *entry, QgCall *call, const Qg__ReplyFail *fail)
{
  call->attempt--;
  qg_entry_detach_agent (entry, call);
  decide_retry (entry, call, QG_RETRY_UNSENT, FALSE, QG_E_UNAVAILABLE,
                fail->message);
}

static void
report_completion (QgEntry *entry, QgCall *call)
{
  Qg__PeerMsg msg = QG__PEER_MSG__INIT;
  Qg__CrashAsk ask = QG__CRASH_ASK__INIT;
  ProtobufCBinaryData print
      = { QG_POISON_FINGERPRINT_BYTES, call->fingerprint };
  QgTime now = qg_clock_now ();
  QgPoisonLevel fleet = qg_board_poison_level (entry->board, call->fingerprint);
  QgEntryAssigned *assigned
      = g_hash_table_lookup (entry->assigned, call->agent_name);

  if (assigned != NULL && assigned->incarnation == call->agent_incarnation)
    assigned->answered = TRUE;
  qg_suspect_record_completion (entry->suspects, call->fingerprint, now);
  if (fleet == QG_POISON_CLEAR || fleet == QG_POISON_QUARANTINED)
    return;
  ask.seq = qg_uplink_next_seq (entry->uplink);
  ask.service = call->service;
  ask.n_cleared = 1;
  ask.cleared = &print;
  msg.kind_case = QG__PEER_MSG__KIND_CRASH_ASK;
  msg.crash_ask = &ask;
  qg_uplink_request (entry->uplink, &msg, ask.seq, now + LINK_TIMEOUT, NULL,
                     NULL);
}

static QgRetryBudget *
get_budget (QgEntry *entry, const char *service)
{
  QgRetryBudget *budget = g_hash_table_lookup (entry->budgets, service);
  const QgDocService *record = qg_doc_service (entry->board->doc, service);

  if (budget == NULL)
    {
      budget = g_new0 (QgRetryBudget, 1);
      g_hash_table_insert (entry->budgets, g_strdup (service), budget);
    }
  qg_retry_budget_set (budget,
                       record != NULL ? (guint)record->retry_percent : 0,
                       qg_sharers_count (entry->sharers, qg_clock_now ()));
  return budget;
}
