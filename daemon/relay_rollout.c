#include "lib/event.h"
#include "librelay.h"

/** Interval of the reports to the leader: a third of the shortest step of a
 * rollout of 10 s. */
#define REPORT_PERIOD (100 * QG_MSEC)
/** A target that has started is slow for some seconds, whatever its version. */
#define WARM_UP (4 * QG_SEC)
/** Times the usual time of the old version after which an answer is slow. */
#define SLOW_FACTOR 3.0
/** Excess of time below which no answer is slow: pauses of a busy relay. */
#define SLOW_EXCESS (50 * QG_MSEC)
/** Answers of the old version on a route that its usual time needs, and the
 * weight of the latest one. */
#define USUAL_SAMPLES_MIN 10
#define USUAL_GAIN        0.1

/** Answers on a route. */
typedef struct
{
  QgRolloutCounts counts;
  /* Times to the first byte of the old version, relative to
     qg_dispatch_usual_time(), averaged: */
  double usual;
  guint usual_samples;
} Route;

/** A rollout that this relay knows. */
typedef struct
{
  guint64 id;
  char *version;
  guint64 version_hash;
  QgRolloutPhase phase;
  double share;
  QgTime heard_at;
  GHashTable *routes; /* name to Route */
} Rollout;

static void rollout_free (gpointer data);
static Rollout *rollout_new (const Qg__Rollout *message);
static void apply (QgRelay *relay, const char *service, const Rollout *rollout,
                   QgTime age);
static Rollout *rollout_of (const RelayCall *call);
static Route *route_of (Rollout *rollout, const char *name);
static gboolean is_slow (const Route *route, const RelayCall *call, QgTime now,
                         double *ratio);
static void count (RelayCall *call, const Rollout *rollout, Route *route,
                   gboolean bad);
static void expire (QgRelay *relay, QgTime now);
static void report (QgRelay *relay, const char *service,
                    const Rollout *rollout);
static void on_timer (gpointer user);

void
relay_rollout_start (QgRelay *relay)
{
  relay->rollouts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, rollout_free);
  relay->rollout_timer.fire = on_timer;
  relay->rollout_timer.user = relay;
}

void
relay_rollout_stop (QgRelay *relay)
{
  g_clear_pointer (&relay->rollouts, g_hash_table_unref);
}

static void
rollout_free (gpointer data)
{
  Rollout *rollout = data;

  g_hash_table_unref (rollout->routes);
  g_free (rollout->version);
  g_free (rollout);
}

static Rollout *
rollout_new (const Qg__Rollout *message)
{
  Rollout *rollout = g_new0 (Rollout, 1);

  rollout->id = message->id;
  rollout->version = g_strdup (message->version);
  rollout->version_hash
      = qg_dispatch_version_hash (message->service, message->version);
  rollout->routes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return rollout;
}

static void
apply (QgRelay *relay, const char *service, const Rollout *rollout, QgTime age)
{
  QgTime now = qg_clock_now ();

  qg_event (QG_EV_ROLLOUT_SHARE, "service=%s version=%s phase=%s share=%.3f",
            service, rollout->version, qg_rollout_phase_name (rollout->phase),
            rollout->share);
  qg_dispatch_set_rollout (relay->dispatch, service, rollout->version,
                           rollout->phase, rollout->share, now - age);
}

void
relay_rollout_update (QgRelay *relay, const Qg__RolloutUpdate *update)
{
  QgTime now = qg_clock_now ();

  for (size_t i = 0; i < update->n_rollouts; i++)
    {
      const Qg__Rollout *message = update->rollouts[i];
      Rollout *rollout
          = g_hash_table_lookup (relay->rollouts, message->service);

      if (message->phase >= QG_N_ROLLOUT_PHASES
          || (rollout != NULL && message->id < rollout->id))
        continue;
      if (rollout == NULL || message->id > rollout->id)
        {
          rollout = rollout_new (message);
          g_hash_table_replace (relay->rollouts, g_strdup (message->service),
                                rollout);
        }
      rollout->heard_at = now;
      if (rollout->phase == (QgRolloutPhase)message->phase
          && rollout->share == message->share)
        continue;
      rollout->phase = message->phase;
      rollout->share = message->share;
      apply (relay, message->service, rollout, MAX (message->age_us, 0));
    }
  if (update->n_rollouts > 0)
    qg_h1_timer_set (relay->loop, &relay->rollout_timer, now + REPORT_PERIOD);
}

/* Without news of the leader nothing goes to a version that is still judged. */
static void
expire (QgRelay *relay, QgTime now)
{
  GHashTableIter iter;
  gpointer service;
  gpointer value;

  g_hash_table_iter_init (&iter, relay->rollouts);
  while (g_hash_table_iter_next (&iter, &service, &value))
    {
      Rollout *rollout = value;

      if (rollout->phase != QG_ROLLOUT_SHARED || rollout->share <= 0
          || now - rollout->heard_at <= QG_ROLLOUT_LEASE)
        continue;
      rollout->share = 0;
      apply (relay, service, rollout, 0);
    }
}

static void
report (QgRelay *relay, const char *service, const Rollout *rollout)
{
  QgPeer *leader = qg_uplink_leader (relay->uplink);
  Qg__RolloutReport message = QG__ROLLOUT_REPORT__INIT;
  guint n = g_hash_table_size (rollout->routes);
  Qg__RolloutRoute *rows;
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  guint i = 0;

  if (leader == NULL)
    return;
  rows = g_new (Qg__RolloutRoute, n);
  message.routes = g_new (Qg__RolloutRoute *, n);
  g_hash_table_iter_init (&iter, rollout->routes);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const QgRolloutCounts *counts = &((const Route *)value)->counts;

      qg__rollout_route__init (&rows[i]);
      rows[i].route = name;
      rows[i].new_answers = counts->new_answers;
      rows[i].new_bad = counts->new_bad;
      rows[i].old_answers = counts->old_answers;
      rows[i].old_bad = counts->old_bad;
      message.routes[i] = &rows[i];
      i++;
    }
  message.service = (char *)service;
  message.id = rollout->id;
  message.phase = rollout->phase;
  message.at_old = qg_dispatch_count_at_old (relay->dispatch, service);
  message.n_routes = n;
  QG_SEND (leader, ROLLOUT_REPORT, rollout_report, &message);
  g_free (message.routes);
  g_free (rows);
}

static void
on_timer (gpointer user)
{
  QgRelay *relay = user;
  QgTime now = qg_clock_now ();
  GHashTableIter iter;
  gpointer service;
  gpointer value;
  gboolean open = FALSE;

  expire (relay, now);
  g_hash_table_iter_init (&iter, relay->rollouts);
  while (g_hash_table_iter_next (&iter, &service, &value))
    {
      const Rollout *rollout = value;

      if (rollout->phase != QG_ROLLOUT_SHARED
          && rollout->phase != QG_ROLLOUT_MOVED)
        continue;
      open = TRUE;
      report (relay, service, rollout);
    }
  if (open)
    qg_h1_timer_set (relay->loop, &relay->rollout_timer, now + REPORT_PERIOD);
}

/* The rollout in progress of the call's service, or NULL. */
static Rollout *
rollout_of (const RelayCall *call)
{
  Rollout *rollout
      = g_hash_table_lookup (call->relay->rollouts, call->job.service->name);

  return rollout != NULL
                 && (rollout->phase == QG_ROLLOUT_SHARED
                     || rollout->phase == QG_ROLLOUT_MOVED)
             ? rollout
             : NULL;
}

static Route *
route_of (Rollout *rollout, const char *name)
{
  Route *route = g_hash_table_lookup (rollout->routes, name);

  if (route == NULL)
    {
      route = g_new0 (Route, 1);
      g_hash_table_insert (rollout->routes, g_strdup (name), route);
    }
  return route;
}

/* Compares with the time that the prompt tokens to be read let expect, because
 * new targets have nothing cached. */
static gboolean
is_slow (const Route *route, const RelayCall *call, QgTime now, double *ratio)
{
  QgTime taken = now - call->job.sent;
  QgTime usual = qg_dispatch_usual_time (&call->job);

  *ratio = (double)taken / (double)usual;
  return route->usual_samples >= USUAL_SAMPLES_MIN
         && now - call->target->known_since > WARM_UP
         && *ratio > SLOW_FACTOR * route->usual
         && (double)taken > route->usual * (double)usual + SLOW_EXCESS;
}

/* Counts the attempt of @call; again if it has turned out to be bad. */
static void
count (RelayCall *call, const Rollout *rollout, Route *route, gboolean bad)
{
  gboolean is_old = call->sent_version != rollout->version_hash;
  QgRolloutCounts *counts = &route->counts;
  guint32 *answers = is_old ? &counts->old_answers : &counts->new_answers;
  guint32 *bad_answers = is_old ? &counts->old_bad : &counts->new_bad;

  *answers += call->judged ? 0 : 1;
  *bad_answers += bad ? 1 : 0;
  call->relay->rollout_answers[is_old][FALSE] -= call->judged ? 1 : 0;
  call->relay->rollout_answers[is_old][bad]++;
  call->judged = TRUE;
  call->judged_bad = bad;
}

void
relay_rollout_answered (RelayCall *call, guint status, QgTime now)
{
  Rollout *rollout = rollout_of (call);
  Route *route;
  double ratio;
  gboolean slow;

  if (rollout == NULL || call->judged)
    return;
  route = route_of (rollout, call->route->name);
  slow = is_slow (route, call, now, &ratio);
  count (call, rollout, route, slow || status >= 500);
  if (status >= 500 || call->sent_version == rollout->version_hash)
    return;
  ratio = MIN (ratio, SLOW_FACTOR * MAX (route->usual, 1));
  route->usual += (ratio - route->usual)
                  * MAX (USUAL_GAIN, 1.0 / (route->usual_samples + 1));
  route->usual_samples = MIN (route->usual_samples + 1, USUAL_SAMPLES_MIN);
}

void
relay_rollout_failed (RelayCall *call)
{
  Rollout *rollout = rollout_of (call);

  if (rollout != NULL && !call->judged_bad)
    count (call, rollout, route_of (rollout, call->route->name), TRUE);
}
