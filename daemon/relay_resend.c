#include "librelay.h"

/** Fraction of a request's aim that a resent request may wait for a target. */
#define RESEND_WAIT_FRACTION 0.4

static QgResend decide_resend (const RelayCall *call, gboolean reached,
                               QgTime now);

/* A resend counts against the budget only if the last target was reached, and
 * against the route's attempts only once the request may have run. */
static QgResend
decide_resend (const RelayCall *call, gboolean reached, QgTime now)
{
  QgRelay *relay = call->relay;
  const QgSettingsRelay *settings = &relay->settings->relay;
  const QgRoute *route = call->route;
  QgResendCase request
      = { .may_have_run = call->may_have_run,
          .repeatable = call->resumed || qg_route_may_repeat (route),
          .reached = reached,
          .sends = call->sends,
          .max_sends = route->max_targets,
          .tried = call->job.n_tried,
          .max_tried = QG_TRIED_TARGETS_MAX,
          .now = now,
          .deadline = call->job.deadline };
  /* The retry budget is for the whole fleet, so the extra sends are divided by
   * the number of relays. The ratio is not divided, because it applies to each
   * relay's own requests. */
  QgResendLimits limits = { settings->retry_ratio,
                            qg_sharers_is_settled (relay->sharers, now)
                                ? (double)settings->retry_extra
                                      / qg_sharers_count (relay->sharers, now)
                                : 0,
                            relay_retry_window (relay) };

  return qg_resend_decide (
      &request, relay_resend_budget (relay, call->job.service->name), &limits);
}

gboolean
relay_resend (RelayCall *call, gboolean reached, const char *why)
{
  QgRelay *relay = call->relay;
  QgTime now = qg_clock_now ();
  QgTime wait = (QgTime)((double)call->job.aim * RESEND_WAIT_FRACTION);
  QgResend verdict;

  if (relay_poison_is_quarantined (call))
    {
      call->no_resend_reason = "quarantined";
      return FALSE;
    }
  verdict = decide_resend (call, reached, now);
  if (verdict != QG_RESEND_ALLOWED)
    {
      call->no_resend_reason = qg_resend_name (verdict);
      return FALSE;
    }
  RELAY_COUNT (relay, AGAIN);
  qg_event (QG_EV_CALL_AGAIN,
            "id=%s sends=%u run=%s resumed=%d sharers=%u settled=%d why=%s",
            relay_call_log_id (call), call->sends,
            call->may_have_run ? "unknown" : "not-run", call->resumed,
            qg_sharers_count (relay->sharers, now),
            qg_sharers_is_settled (relay->sharers, now), why);
  if (call->state == RELAY_SENT)
    call->state = RELAY_WAITING;
  call->job.start_by
      = call->resumed
            ? call->job.deadline
            : MIN (MAX (call->job.start_by, now + wait), call->job.deadline);
  qg_dispatch_submit (relay->dispatch, &call->job);
  return TRUE;
}
