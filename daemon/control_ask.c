#include "lib/once.h"
#include "libcontrol.h"

#include <string.h>

#define HOLDERS_INTERVAL  (2 * QG_SEC)
#define HOLDERS_PER_CHECK 64

/** A request of a daemon whose command is not committed yet. */
typedef struct
{
  QgControl *control;
  QgPeer *peer;
  guint64 seq;
} Request;

static Request *request_new (QgControl *control, QgPeer *peer, guint64 seq);
static void on_result (gpointer user, QgStatus status, const char *message,
                       const Qg__StateResult *result);
static void answer_claim (QgPeer *peer, guint64 seq,
                          const Qg__ClaimResult *claim);
static void answer_status (QgPeer *peer, guint64 seq, QgStatus status,
                           const char *message);
static void propose_claim (QgControl *control, Qg__ClaimCommand *command,
                           Request *request);
static void propose_poison (QgControl *control, Qg__PoisonCommand *command,
                            Request *request);
static void propose_parts (QgControl *control, QgPeer *peer,
                           const Qg__CrashAsk *in);
static gboolean holder_is_gone (QgControl *control,
                                const QgClaimHolder *holder);

static Request *
request_new (QgControl *control, QgPeer *peer, guint64 seq)
{
  Request *request = g_new0 (Request, 1);

  request->control = control;
  request->peer = qg_peer_ref (peer);
  request->seq = seq;
  return request;
}

/* An unknown outcome is not answered. The daemon repeats its request; the
 * repeat changes nothing if the first command was committed. */
static void
on_result (gpointer user, QgStatus status, const char *message,
           const Qg__StateResult *result)
{
  Request *request = user;

  if (!qg_peer_is_up (request->peer) || status == QG_E_UNKNOWN)
    ;
  else if (status == QG_E_NOT_LEADER || status == QG_E_UNAVAILABLE)
    control_send_not_leader (request->control, request->peer);
  else if (status != QG_OK)
    answer_status (request->peer, request->seq, status, message);
  else if (result->kind_case == QG__STATE_RESULT__KIND_CLAIM)
    answer_claim (request->peer, request->seq, result->claim);
  else
    answer_status (request->peer, request->seq, QG_OK, "");
  qg_peer_unref (request->peer);
  g_free (request);
}

static void
answer_claim (QgPeer *peer, guint64 seq, const Qg__ClaimResult *claim)
{
  Qg__ClaimAnswer answer;

  qg_once_answer_from_result (claim, seq, &answer);
  QG_SEND (peer, CLAIM_ANSWER, claim_answer, &answer);
}

static void
answer_status (QgPeer *peer, guint64 seq, QgStatus status, const char *message)
{
  Qg__ClaimAnswer answer = QG__CLAIM_ANSWER__INIT;

  answer.seq = seq;
  answer.state = QG__CLAIM_STATE__CLAIM_DONE;
  answer.status = status;
  answer.message = (char *)message;
  QG_SEND (peer, CLAIM_ANSWER, claim_answer, &answer);
}

static void
propose_claim (QgControl *control, Qg__ClaimCommand *command, Request *request)
{
  GBytes *packed = qg_rsm_command_claim (command, control_log_now (control));

  control_propose (control, packed, request != NULL ? on_result : NULL,
                   request);
  g_bytes_unref (packed);
}

static void
propose_poison (QgControl *control, Qg__PoisonCommand *command,
                Request *request)
{
  GBytes *packed = qg_rsm_command_poison (command, control_log_now (control));

  control_propose (control, packed, on_result, request);
  g_bytes_unref (packed);
}

void
control_on_claim_ask (QgControl *control, QgPeer *peer, const Qg__PeerMsg *msg)
{
  const Qg__ClaimAsk *in = msg->claim_ask;
  Qg__ClaimCommand command = QG__CLAIM_COMMAND__INIT;
  Qg__ClaimTake take;

  qg_once_take_from_ask (in, &take);
  command.kind_case = QG__CLAIM_COMMAND__KIND_TAKE;
  command.take = &take;
  propose_claim (control, &command, request_new (control, peer, in->seq));
}

void
control_on_claim_done (QgControl *control, QgPeer *peer, const Qg__PeerMsg *msg)
{
  const Qg__ClaimDone *in = msg->claim_done;
  Qg__ClaimCommand command = QG__CLAIM_COMMAND__INIT;
  Qg__ClaimSettle settle;

  qg_once_settle_from_done (in, &settle);
  command.kind_case = QG__CLAIM_COMMAND__KIND_SETTLE;
  command.settle = &settle;
  propose_claim (control, &command, request_new (control, peer, in->seq));
}

void
control_on_crash_ask (QgControl *control, QgPeer *peer, const Qg__PeerMsg *msg)
{
  const Qg__CrashAsk *in = msg->crash_ask;
  Qg__PoisonCommand command = QG__POISON_COMMAND__INIT;
  Qg__PoisonCrash crash = QG__POISON_CRASH__INIT;
  Qg__PoisonClear clear = QG__POISON_CLEAR__INIT;

  if (in->parts.len > 0)
    {
      propose_parts (control, peer, in);
      return;
    }
  if (in->n_cleared > 0)
    {
      clear.n_fingerprints = in->n_cleared;
      clear.fingerprints = in->cleared;
      command.kind_case = QG__POISON_COMMAND__KIND_CLEAR;
      command.clear = &clear;
    }
  else
    {
      crash.service = in->service;
      crash.agent = in->agent;
      crash.incarnation = in->incarnation;
      crash.seq = in->agent_ended ? G_MAXUINT64 : in->seq;
      crash.sound = in->sound;
      crash.n_fingerprints = in->n_fingerprints;
      crash.fingerprints = in->fingerprints;
      command.kind_case = QG__POISON_COMMAND__KIND_CRASH;
      command.crash = &crash;
    }
  propose_poison (control, &command, request_new (control, peer, in->seq));
}

static void
propose_parts (QgControl *control, QgPeer *peer, const Qg__CrashAsk *in)
{
  Qg__PoisonParts *parts
      = qg__poison_parts__unpack (NULL, in->parts.len, in->parts.data);
  Qg__PoisonCommand command = QG__POISON_COMMAND__INIT;

  if (parts == NULL)
    {
      answer_status (peer, in->seq, QG_E_INVALID,
                     "the report of prompt parts cannot be read");
      return;
    }
  command.kind_case = QG__POISON_COMMAND__KIND_PARTS;
  command.parts = parts;
  propose_poison (control, &command, request_new (control, peer, in->seq));
  qg__poison_parts__free_unpacked (parts, NULL);
}

void
control_on_fair_report (QgControl *control, QgPeer *peer,
                        const Qg__PeerMsg *msg)
{
  const Qg__Hello *hello = qg_peer_hello (peer);
  const Qg__FairTotals *totals;

  if (control_may_serve (control, NULL) != QG_OK || control->fair_hub == NULL)
    return;
  totals = qg_hub_report (control->fair_hub, qg_clock_now (), hello->name,
                          hello->incarnation, msg->fair_report);
  if (totals != NULL)
    QG_SEND (peer, FAIR_TOTALS, fair_totals, (Qg__FairTotals *)totals);
}

static gboolean
holder_is_gone (QgControl *control, const QgClaimHolder *holder)
{
  const ControlDaemon *daemon
      = g_hash_table_lookup (control->daemons, holder->agent);
  QgTime last_seen = control->lead_since;

  if (daemon != NULL && daemon->peer != NULL)
    return daemon->incarnation != holder->incarnation;
  if (daemon != NULL)
    last_seen = MAX (last_seen, daemon->last_seen);
  return qg_clock_now () - last_seen > CONTROL_HOLDER_TIMEOUT_MS * QG_MSEC;
}

void
control_claim_holders_tick (QgControl *control)
{
  const QgClaims *claims = qg_rsm_claims (control->rsm);
  QgTime now = qg_clock_now ();
  gconstpointer cursor = NULL;
  QgClaimHolder holder;
  guint n = 0;

  if (now < control->next_holders_check
      || !control_settle_time_passed (control))
    return;
  control->next_holders_check = now + HOLDERS_INTERVAL;
  while (n < HOLDERS_PER_CHECK
         && qg_claim_next_holder (claims, &cursor, &holder))
    {
      Qg__ClaimCommand command = QG__CLAIM_COMMAND__INIT;
      Qg__ClaimHolderGone gone = QG__CLAIM_HOLDER_GONE__INIT;

      if (!holder_is_gone (control, &holder))
        continue;
      gone.agent = (char *)holder.agent;
      gone.incarnation = holder.incarnation;
      command.kind_case = QG__CLAIM_COMMAND__KIND_HOLDER_GONE;
      command.holder_gone = &gone;
      propose_claim (control, &command, NULL);
      n++;
    }
}
