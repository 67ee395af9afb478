#include "lib/event.h"
#include "libcontrol.h"

/* The order and the verdict of a rollout are in the log. What lies between is
 * the leader's own: a new leader judges anew, from the answers that it hears
 * of.
 */

/** Interval of the updates to relays while a rollout is in progress: several
 * may be lost before relays count the leader as silent. */
#define UPDATE_PERIOD (200 * QG_MSEC)
/** How long a completion is in the updates to all relays. A relay that connects
 * later is told when it does. */
#define COMPLETED_SENT (60 * QG_SEC)

/** A rollout in progress at this leader. */
typedef struct
{
  guint64 id;
  QgRollout *decision;
  QgRolloutDecision sent; /* last decision that relays were told */
  gboolean ending;        /* the verdict waits for the log */
} Rollout;

/** A verdict that waits for the log. */
typedef struct
{
  QgControl *control;
  char *service;
  guint64 id;
} Verdict;

static void rollout_free (gpointer data);
static Rollout *follow (QgControl *control, const Qg__RolloutRow *row,
                        QgTime now);
static void step (QgControl *control, const Qg__RolloutRow *row, QgTime now);
static void note_relays (QgControl *control, Rollout *rollout, QgTime now);
static void count_target (const QgTarget *target, gpointer user);
static guint count_targets (const QgControl *control,
                            const Qg__RolloutRow *row);
static void log_decision (const Qg__RolloutRow *row, const Rollout *rollout,
                          const QgRolloutDecision *decision);
static void propose_end (QgControl *control, const Qg__RolloutRow *row,
                         Rollout *rollout, const QgRolloutDecision *decision);
static void on_end_saved (gpointer user, QgStatus status, const char *message,
                          const Qg__StateResult *result);
static gboolean fill (QgControl *control, const Qg__RolloutRow *row,
                      gboolean connects, Qg__Rollout *message);
static void send_rollouts (QgControl *control, ControlDaemon *daemon,
                           gboolean connects);

static void
rollout_free (gpointer data)
{
  Rollout *rollout = data;

  qg_rollout_free (rollout->decision);
  g_free (rollout);
}

void
control_rollouts_start (QgControl *control)
{
  control_rollouts_stop (control);
  control->rollouts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, rollout_free);
}

void
control_rollouts_stop (QgControl *control)
{
  g_clear_pointer (&control->rollouts, g_hash_table_unref);
}

/* The state of the rollout @row, which is in progress. */
static Rollout *
follow (QgControl *control, const Qg__RolloutRow *row, QgTime now)
{
  Rollout *rollout = g_hash_table_lookup (control->rollouts, row->service);
  QgRolloutOptions options = { 0 };

  if (rollout != NULL && rollout->id == row->id)
    return rollout;
  options.duration = row->duration_us;
  options.elapsed = MAX (control_log_now (control) - row->began_us, 0);
  options.canary_share = control->settings->control.canary_share;
  options.tolerance = (double)control->settings->control.canary_tolerance;
  rollout = g_new0 (Rollout, 1);
  rollout->id = row->id;
  rollout->decision = qg_rollout_new (&options, now);
  g_hash_table_replace (control->rollouts, g_strdup (row->service), rollout);
  return rollout;
}

static void
note_relays (QgControl *control, Rollout *rollout, QgTime now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, control->daemons);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const ControlDaemon *daemon = value;

      /* A relay that was cut off before the order may still have requests at
       * old targets. */
      if (daemon->role == QG__ROLE__ROLE_RELAY
          && (daemon->peer != NULL
              || now - daemon->last_seen <= QG_ROLLOUT_ABSENCE))
        qg_rollout_relay_seen (rollout->decision, daemon->name,
                               daemon->peer != NULL ? now : daemon->last_seen);
    }
}

/** Counts the targets of a rollout's version. */
typedef struct
{
  const Qg__RolloutRow *row;
  guint n;
} TargetCount;

static void
count_target (const QgTarget *target, gpointer user)
{
  TargetCount *count = user;

  if (!target->gone && !target->draining
      && g_str_equal (target->service, count->row->service)
      && g_str_equal (target->version, count->row->version))
    count->n++;
}

static guint
count_targets (const QgControl *control, const Qg__RolloutRow *row)
{
  TargetCount count = { row, 0 };

  qg_registry_each (control->registry, 0, count_target, &count);
  return count.n;
}

static void
log_decision (const Qg__RolloutRow *row, const Rollout *rollout,
              const QgRolloutDecision *decision)
{
  QgRolloutCounts total = qg_rollout_total (rollout->decision);

  qg_event (QG_EV_ROLLOUT,
            "service=%s version=%s id=%" G_GUINT64_FORMAT
            " phase=%s share=%.3f new_answers=%u new_bad=%u old_answers=%u "
            "old_bad=%u why=%s",
            row->service, row->version, row->id,
            qg_rollout_phase_name (decision->phase), decision->share,
            total.new_answers, total.new_bad, total.old_answers, total.old_bad,
            decision->reason);
}

static void
step (QgControl *control, const Qg__RolloutRow *row, QgTime now)
{
  Rollout *rollout = follow (control, row, now);
  QgRolloutDecision decision;

  note_relays (control, rollout, now);
  if (control->registry != NULL && control_settle_time_passed (control))
    qg_rollout_set_targets (rollout->decision, count_targets (control, row));
  decision = qg_rollout_step (rollout->decision, now);
  if (decision.phase != rollout->sent.phase
      || decision.share != rollout->sent.share)
    {
      log_decision (row, rollout, &decision);
      rollout->sent = decision;
      /* Relays are told of a bad version before the log is. */
      control->rollouts_sent_at = 0;
    }
  if (!rollout->ending
      && (decision.phase == QG_ROLLOUT_COMPLETED
          || decision.phase == QG_ROLLOUT_REVERTED))
    propose_end (control, row, rollout, &decision);
}

static void
propose_end (QgControl *control, const Qg__RolloutRow *row, Rollout *rollout,
             const QgRolloutDecision *decision)
{
  Qg__RolloutEnd end = QG__ROLLOUT_END__INIT;
  Verdict *verdict = g_new0 (Verdict, 1);
  GBytes *command;

  rollout->ending = TRUE;
  verdict->control = control;
  verdict->service = g_strdup (row->service);
  verdict->id = row->id;
  end.service = row->service;
  end.id = row->id;
  end.state = decision->phase == QG_ROLLOUT_COMPLETED
                  ? QG__ROLLOUT_STATE__ROLLOUT_COMPLETED
                  : QG__ROLLOUT_STATE__ROLLOUT_REVERTED;
  end.reason = (char *)decision->reason;
  command = qg_rsm_command_rollout_end (&end, control_log_now (control));
  control_propose (control, command, on_end_saved, verdict);
  g_bytes_unref (command);
}

static void
on_end_saved (gpointer user, QgStatus status, const char *message,
              const Qg__StateResult *result)
{
  Verdict *verdict = user;
  QgControl *control = verdict->control;
  Rollout *rollout
      = control->rollouts != NULL
            ? g_hash_table_lookup (control->rollouts, verdict->service)
            : NULL;

  /* Proposed again at the next step, unless the log has it by then. */
  if (status != QG_OK && rollout != NULL && rollout->id == verdict->id)
    rollout->ending = FALSE;
  if (status == QG_OK)
    control->rollouts_sent_at = 0;
  g_free (verdict->service);
  g_free (verdict);
}

/* FALSE if relays need not be told. A relay that @connects is told of each end:
 * it may have been cut off since before it, and would apply the share or the
 * move for ever. While a verdict waits for the log, relays keep to what it
 * takes: nothing to a version that is reverted, and nothing to the old targets
 * before the service is completed. */
static gboolean
fill (QgControl *control, const Qg__RolloutRow *row, gboolean connects,
      Qg__Rollout *message)
{
  const Rollout *rollout
      = g_hash_table_lookup (control->rollouts, row->service);
  QgTime age = control_log_now (control) - row->ended_us;

  message->service = row->service;
  message->version = row->version;
  message->id = row->id;
  if (row->state == QG__ROLLOUT_STATE__ROLLOUT_COMPLETED)
    {
      message->phase = QG_ROLLOUT_COMPLETED;
      message->share = 1;
      message->age_us = MAX (age, 1);
      return connects || age < COMPLETED_SENT;
    }
  if (row->state == QG__ROLLOUT_STATE__ROLLOUT_REVERTED)
    {
      message->phase = QG_ROLLOUT_REVERTED;
      message->age_us = MAX (age, 1);
      return TRUE;
    }
  if (rollout == NULL || rollout->id != row->id)
    return FALSE;
  message->phase = rollout->sent.phase == QG_ROLLOUT_COMPLETED
                       ? QG_ROLLOUT_MOVED
                       : rollout->sent.phase;
  message->share = rollout->sent.share;
  return TRUE;
}

void
control_send_rollouts (QgControl *control, ControlDaemon *daemon)
{
  send_rollouts (control, daemon, TRUE);
}

static void
send_rollouts (QgControl *control, ControlDaemon *daemon, gboolean connects)
{
  Qg__RolloutUpdate update = QG__ROLLOUT_UPDATE__INIT;
  Qg__RolloutRow **rows;
  Qg__Rollout *messages;
  size_t n;

  if (!daemon->watching || daemon->role != QG__ROLE__ROLE_RELAY
      || control->rollouts == NULL)
    return;
  rows = qg_rollout_log_list (qg_rsm_rollouts (control->rsm), &n);
  messages = g_new (Qg__Rollout, n);
  update.rollouts = g_new (Qg__Rollout *, n);
  for (size_t i = 0; i < n; i++)
    {
      Qg__Rollout *message = &messages[update.n_rollouts];

      qg__rollout__init (message);
      if (fill (control, rows[i], connects, message))
        update.rollouts[update.n_rollouts++] = message;
    }
  if (update.n_rollouts > 0)
    QG_SEND (daemon->peer, ROLLOUT_UPDATE, rollout_update, &update);
  g_free (update.rollouts);
  g_free (messages);
  g_free (rows);
}

void
control_rollouts_tick (QgControl *control)
{
  QgTime now = qg_clock_now ();
  GHashTableIter iter;
  gpointer value;
  size_t n;
  gboolean open = FALSE;
  g_autofree Qg__RolloutRow **rows = NULL;

  if (control->rollouts == NULL || control_may_serve (control, NULL) != QG_OK)
    return;
  rows = qg_rollout_log_list (qg_rsm_rollouts (control->rsm), &n);
  for (size_t i = 0; i < n; i++)
    if (rows[i]->state == QG__ROLLOUT_STATE__ROLLOUT_IN_PROGRESS)
      {
        open = TRUE;
        step (control, rows[i], now);
      }
  if (control->rollouts_sent_at != 0
      && (!open || now - control->rollouts_sent_at < UPDATE_PERIOD))
    return;
  control->rollouts_sent_at = now;
  g_hash_table_iter_init (&iter, control->daemons);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    send_rollouts (control, value, FALSE);
}

void
control_rollout_add_metrics (const QgControl *control, QgMetrics *metrics)
{
  static const Qg__RolloutState states[]
      = { QG__ROLLOUT_STATE__ROLLOUT_IN_PROGRESS,
          QG__ROLLOUT_STATE__ROLLOUT_COMPLETED,
          QG__ROLLOUT_STATE__ROLLOUT_REVERTED };
  size_t n;
  g_autofree Qg__RolloutRow **rows
      = qg_rollout_log_list (qg_rsm_rollouts (control->rsm), &n);

  for (guint i = 0; i < G_N_ELEMENTS (states); i++)
    {
      char label[48];
      guint count = 0;

      for (size_t row = 0; row < n; row++)
        count += rows[row]->state == states[i] ? 1 : 0;
      g_snprintf (label, sizeof label, "state=\"%s\"",
                  qg_rollout_state_name (states[i]));
      qg_metrics_add (metrics, "control_rollouts",
                      "Last rollouts of the services, by state.", label, count);
    }
}

void
control_on_rollout_report (QgControl *control, QgPeer *peer,
                           const Qg__PeerMsg *msg)
{
  const Qg__RolloutReport *report = msg->rollout_report;
  const ControlDaemon *daemon = control_daemon_find (control, peer);
  QgTime now = qg_clock_now ();
  Rollout *rollout;

  if (daemon == NULL || control->rollouts == NULL)
    return;
  rollout = g_hash_table_lookup (control->rollouts, report->service);
  if (rollout == NULL || rollout->id != report->id)
    return;
  qg_rollout_begin_report (rollout->decision, daemon->name, report->phase,
                           report->at_old, now);
  for (size_t i = 0; i < report->n_routes; i++)
    {
      const Qg__RolloutRoute *route = report->routes[i];
      QgRolloutCounts counts = { route->new_answers, route->new_bad,
                                 route->old_answers, route->old_bad };

      qg_rollout_add_counts (rollout->decision, daemon->name, route->route,
                             &counts, now);
    }
}

/** An order of an operator, until the log has it. */
typedef struct
{
  QgControl *control;
  char *service;
  char *version;
  QgTime duration;
  QgControlDone done;
  gpointer user;
} Order;

static void check_service (const QgManifest *manifest, gpointer user,
                           QgErr *err);
static void on_order_checked (gpointer user, const QgErr *err);
static void on_order_saved (gpointer user, QgStatus status, const char *message,
                            const Qg__StateResult *result);
static void order_finish (Order *order, QgStatus status, const char *message);

void
qg_control_begin_rollout (QgControl *control, const char *service,
                          const char *version, QgTime duration,
                          QgControlDone done, gpointer user)
{
  const QgManifestLog *log = qg_rsm_manifest (control->rsm);
  Order *order;
  QgErr err;

  if (control->settings->control.canary_share <= 0)
    {
      done (user, QG_E_INVALID,
            "rollouts are off; set canary_share in [control]");
      return;
    }
  if (qg_rollout_check_order (service, version, duration, &err) != QG_OK
      || control_may_change (control, &err) != QG_OK)
    {
      done (user, err.status, err.message);
      return;
    }
  /* Its service may have left the manifest since. */
  if (qg_rollout_repeats (
          qg_rollout_log_find (qg_rsm_rollouts (control->rsm), service),
          version, duration, control_log_now (control)))
    {
      done (user, QG_OK, "this order is already stored");
      return;
    }
  if (log->text == NULL)
    {
      done (user, QG_E_UNAVAILABLE, "no manifest was accepted yet; send one");
      return;
    }
  order = g_new0 (Order, 1);
  order->control = control;
  order->service = g_strdup (service);
  order->version = g_strdup (version);
  order->duration = duration;
  order->done = done;
  order->user = user;
  control_inspect_manifest (control, log->text, check_service, on_order_checked,
                            order);
}

static void
check_service (const QgManifest *manifest, gpointer user, QgErr *err)
{
  const Order *order = user;

  if (qg_manifest_find_service (manifest, order->service) == NULL)
    qg_fail (err, QG_E_INVALID,
             "the manifest has no service %.64s for this backend; name one of "
             "its services",
             order->service);
}

static void
on_order_checked (gpointer user, const QgErr *err)
{
  Order *order = user;
  GBytes *command;

  if (err->status != QG_OK)
    {
      order_finish (order, err->status, err->message);
      return;
    }
  command = qg_rsm_command_rollout_begin (order->service, order->version,
                                          order->duration,
                                          control_log_now (order->control));
  control_propose (order->control, command, on_order_saved, order);
  g_bytes_unref (command);
}

static void
on_order_saved (gpointer user, QgStatus status, const char *message,
                const Qg__StateResult *result)
{
  if (status == QG_OK && result != NULL
      && result->kind_case == QG__STATE_RESULT__KIND_ROLLOUT)
    {
      status = (QgStatus)result->rollout->status;
      message = result->rollout->message;
    }
  order_finish (user, status, message);
}

static void
order_finish (Order *order, QgStatus status, const char *message)
{
  qg_event (QG_EV_ROLLOUT_ORDER,
            "service=%.64s version=%.64s duration_ms=%" G_GINT64_FORMAT
            ": %s %s",
            order->service, order->version, order->duration / QG_MSEC,
            qg_status_name (status), message);
  order->done (order->user, status, message);
  g_free (order->service);
  g_free (order->version);
  g_free (order);
}

const Qg__RolloutRow *
qg_control_rollout (QgControl *control, const char *service, QgErr *err)
{
  const Qg__RolloutRow *row;

  if (control_may_serve (control, err) != QG_OK)
    return NULL;
  row = qg_rollout_log_find (qg_rsm_rollouts (control->rsm), service);
  if (row == NULL)
    qg_fail (err, QG_E_NOT_FOUND,
             "the service has had no rollout; begin one first");
  return row;
}
