#include "rollout.h"

#include <math.h>

/** One step of the share, in parts of the rollout's duration. */
typedef struct
{
  double begins;
  double share; /* in parts of the canary share allowed; 0: all requests */
} Step;

/* Until MOVED these send 0.05, 0.1, 0.25 and 0.5 of the requests if 0.1 is
 * allowed: 0.053 of those of the whole duration together. */
static const Step steps[] = {
  { 0.00, 0.5 }, { 0.50, 1.0 }, { 0.533, 2.5 }, { 0.566, 5.0 }, { 0.60, 0 },
};

/** Last report of a relay. */
typedef struct
{
  QgRolloutPhase phase;
  guint at_old;
  QgTime seen_at;     /* connected to the leader */
  GHashTable *routes; /* name to QgRolloutCounts, as last reported */
} Relay;

/** Part of the duration after which the rate of requests is measured. */
#define MEASURED_PART 0.1

/** Part of the duration that a leader which began to lead during the rollout
 * has at least: its steps take 0.2, and the old targets' requests end after
 * them. */
#define LATE_LEADER_PART 0.3

/** Answers of one version: all, and the recent ones, which decay. */
typedef struct
{
  double all;
  double all_bad;
  double recent;
  double recent_bad;
} Tally;

typedef struct
{
  Tally fresh; /* of the new version */
  Tally old;
  QgTime at; /* when the recent answers last decayed */
} Route;

struct _QgRollout
{
  QgRolloutOptions options;
  double allowed; /* share that a bad version may get, with the tolerance */
  QgTime created;
  guint step;
  QgTime step_at; /* when the step began */
  QgRolloutDecision decision;
  gboolean lacks_targets; /* of the new version */
  GHashTable *relays;     /* name to Relay */
  GHashTable *routes;     /* name to Route */
  Route total;
};

static void relay_free (gpointer data);
static Relay *find_relay (QgRollout *rollout, const char *name, QgTime now);
static void decay (Route *route, QgTime now);
static void tally (Tally *tally, double answers, double bad);
static void add (Route *route, const QgRolloutCounts *counts,
                 const QgRolloutCounts *last, QgTime now);
static gboolean exceeds (double n, double bad, double old_n, double old_bad);
static gboolean is_bad (const Route *route);
static gboolean has_bad_route (QgRollout *rollout, QgTime now);
static gboolean old_targets_are_free (const QgRollout *rollout, QgTime now);
static void measure_allowed (QgRollout *rollout, QgTime now);
static QgTime step_begins (const QgRollout *rollout, guint step);
static void end (QgRollout *rollout, QgRolloutPhase phase, const char *reason);
static void begin_step (QgRollout *rollout, guint step, QgTime now);

const char *
qg_rollout_phase_name (QgRolloutPhase phase)
{
  static const char *const names[QG_N_ROLLOUT_PHASES]
      = { [QG_ROLLOUT_NONE] = "none",
          [QG_ROLLOUT_SHARED] = "shared",
          [QG_ROLLOUT_MOVED] = "moved",
          [QG_ROLLOUT_COMPLETED] = "completed",
          [QG_ROLLOUT_REVERTED] = "reverted" };

  return names[phase];
}

static void
relay_free (gpointer data)
{
  Relay *relay = data;

  g_hash_table_unref (relay->routes);
  g_free (relay);
}

QgRollout *
qg_rollout_new (const QgRolloutOptions *options, QgTime now)
{
  QgRollout *rollout = g_new0 (QgRollout, 1);

  rollout->options = *options;
  rollout->created = now;
  rollout->allowed = options->canary_share;
  rollout->relays
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, relay_free);
  rollout->routes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  begin_step (rollout, 0, now);
  return rollout;
}

void
qg_rollout_free (QgRollout *rollout)
{
  if (rollout == NULL)
    return;
  g_hash_table_unref (rollout->relays);
  g_hash_table_unref (rollout->routes);
  g_free (rollout);
}

static Relay *
find_relay (QgRollout *rollout, const char *name, QgTime now)
{
  Relay *relay = g_hash_table_lookup (rollout->relays, name);

  if (relay == NULL)
    {
      relay = g_new0 (Relay, 1);
      relay->routes
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      g_hash_table_insert (rollout->relays, g_strdup (name), relay);
    }
  relay->seen_at = MAX (relay->seen_at, now);
  return relay;
}

void
qg_rollout_relay_seen (QgRollout *rollout, const char *relay, QgTime now)
{
  find_relay (rollout, relay, now);
}

void
qg_rollout_begin_report (QgRollout *rollout, const char *relay,
                         QgRolloutPhase phase, guint at_old, QgTime now)
{
  Relay *state = find_relay (rollout, relay, now);

  /* A relay may still apply what an earlier leader decided. It confirms the
   * move of this state only after this state has moved. */
  state->phase
      = rollout->decision.phase == QG_ROLLOUT_MOVED ? phase : QG_ROLLOUT_SHARED;
  state->at_old = at_old;
}

void
qg_rollout_add_counts (QgRollout *rollout, const char *relay, const char *route,
                       const QgRolloutCounts *counts, QgTime now)
{
  Relay *state = find_relay (rollout, relay, now);
  QgRolloutCounts *last = g_hash_table_lookup (state->routes, route);
  Route *sum = g_hash_table_lookup (rollout->routes, route);

  if (last == NULL)
    {
      last = g_new0 (QgRolloutCounts, 1);
      g_hash_table_insert (state->routes, g_strdup (route), last);
    }
  if (sum == NULL)
    {
      sum = g_new0 (Route, 1);
      sum->at = now;
      g_hash_table_insert (rollout->routes, g_strdup (route), sum);
    }
  /* A relay that started again under its name counts from 0. Its answers may be
   * more than before and its bad ones fewer. */
  if (counts->new_answers < last->new_answers || counts->new_bad < last->new_bad
      || counts->old_answers < last->old_answers
      || counts->old_bad < last->old_bad)
    *last = (QgRolloutCounts){ 0 };
  add (sum, counts, last, now);
  add (&rollout->total, counts, last, now);
  *last = *counts;
}

static void
decay (Route *route, QgTime now)
{
  double keep
      = exp2 (-(double)MAX (now - route->at, 0) / (double)QG_ROLLOUT_RECENT);

  route->fresh.recent *= keep;
  route->fresh.recent_bad *= keep;
  route->old.recent *= keep;
  route->old.recent_bad *= keep;
  route->at = now;
}

static void
tally (Tally *tally, double answers, double bad)
{
  tally->all += answers;
  tally->all_bad += bad;
  tally->recent += answers;
  tally->recent_bad += bad;
}

static void
add (Route *route, const QgRolloutCounts *counts, const QgRolloutCounts *last,
     QgTime now)
{
  decay (route, now);
  tally (&route->fresh, counts->new_answers - last->new_answers,
         counts->new_bad - last->new_bad);
  tally (&route->old, counts->old_answers - last->old_answers,
         counts->old_bad - last->old_bad);
}

/* Whether @bad of @n answers are more than can be explained by the old version,
 * which had @old_bad of @old_n. One bad answer in two more of the old version
 * is assumed, so that a version without answers proves nothing. */
static gboolean
exceeds (double n, double bad, double old_n, double old_bad)
{
  double share;
  double old_share;
  double both;
  double deviation;

  if (n < QG_ROLLOUT_ANSWERS_MIN)
    return FALSE;
  /* An attempt that was counted for an earlier rollout may fail in this one. */
  bad = MIN (bad, n);
  old_bad = MIN (old_bad, old_n);
  share = bad / n;
  old_share = (old_bad + 1) / (old_n + 2);
  both = (bad + old_bad + 1) / (n + old_n + 2);
  deviation = sqrt (both * (1 - both) * (1 / n + 1 / (old_n + 2)));
  return share - old_share
         > MAX (QG_ROLLOUT_EXCESS_MIN, QG_ROLLOUT_SIGMA * deviation);
}

static gboolean
is_bad (const Route *route)
{
  const Tally *fresh = &route->fresh;
  const Tally *old = &route->old;

  return exceeds (fresh->all, fresh->all_bad, old->all, old->all_bad)
         || exceeds (fresh->recent, fresh->recent_bad, old->recent,
                     old->recent_bad);
}

static gboolean
has_bad_route (QgRollout *rollout, QgTime now)
{
  GHashTableIter iter;
  gpointer value;

  decay (&rollout->total, now);
  if (is_bad (&rollout->total))
    return TRUE;
  g_hash_table_iter_init (&iter, rollout->routes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      decay (value, now);
      if (is_bad (value))
        return TRUE;
    }
  return FALSE;
}

/* Whether each relay has confirmed, since all requests were moved, that it has
 * no request at an old target. */
static gboolean
old_targets_are_free (const QgRollout *rollout, QgTime now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, rollout->relays);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Relay *relay = value;

      if (now - relay->seen_at <= QG_ROLLOUT_ABSENCE
          && (relay->phase != QG_ROLLOUT_MOVED || relay->at_old > 0))
        return FALSE;
    }
  return TRUE;
}

/* A leader that began to lead during the rollout first sends the canary share
 * for as long as a step lasts at least, since it knows no answers. */
static QgTime
step_begins (const QgRollout *rollout, guint step)
{
  const QgRolloutOptions *options = &rollout->options;
  double duration = (double)options->duration;
  QgTime planned = rollout->created - options->elapsed
                   + (QgTime)(steps[step].begins * duration);
  double length = step > 0 ? steps[step].begins - steps[step - 1].begins : 0;

  if (step == 1)
    length = MEASURED_PART;
  return MAX (planned, rollout->step_at + (QgTime)(length * duration));
}

static void
begin_step (QgRollout *rollout, guint step, QgTime now)
{
  const Step *row = &steps[step];
  gboolean moves = row->share <= 0;

  rollout->step = step;
  rollout->step_at = now;
  rollout->decision.phase = moves ? QG_ROLLOUT_MOVED : QG_ROLLOUT_SHARED;
  rollout->decision.share = moves ? 1 : MIN (row->share * rollout->allowed, 1);
  rollout->decision.reason = step == 0 ? "canary" : "the new version is sound";
}

/* Where few requests come, the tolerance is a large share of them. The rate of
 * requests is known once the canary has been sent for a while. */
static void
measure_allowed (QgRollout *rollout, QgTime now)
{
  const QgRolloutOptions *options = &rollout->options;
  double elapsed = (double)(now - rollout->created);
  double duration = (double)options->duration;
  double answers = rollout->total.fresh.all + rollout->total.old.all;
  const Step *row = &steps[rollout->step];

  if (rollout->allowed > options->canary_share || answers <= 0
      || elapsed < MEASURED_PART * duration)
    return;
  rollout->allowed
      = MIN (options->canary_share
                 + options->tolerance * elapsed / (answers * duration),
             1);
  if (rollout->decision.phase == QG_ROLLOUT_SHARED)
    rollout->decision.share = MIN (row->share * rollout->allowed, 1);
}

static void
end (QgRollout *rollout, QgRolloutPhase phase, const char *reason)
{
  rollout->decision.phase = phase;
  rollout->decision.share = phase == QG_ROLLOUT_COMPLETED ? 1 : 0;
  rollout->decision.reason = reason;
}

void
qg_rollout_set_targets (QgRollout *rollout, guint n_new)
{
  rollout->lacks_targets = n_new == 0;
}

QgRolloutDecision
qg_rollout_step (QgRollout *rollout, QgTime now)
{
  const QgRolloutOptions *options = &rollout->options;
  QgTime limit = rollout->created
                 + MAX (options->duration - options->elapsed,
                        (QgTime)(LATE_LEADER_PART * (double)options->duration));
  QgRolloutPhase phase = rollout->decision.phase;

  if (phase == QG_ROLLOUT_COMPLETED || phase == QG_ROLLOUT_REVERTED)
    return rollout->decision;
  measure_allowed (rollout, now);
  if (has_bad_route (rollout, now))
    end (rollout, QG_ROLLOUT_REVERTED,
         "the new version fails or is slow more often than the old one");
  else if (phase == QG_ROLLOUT_MOVED && rollout->lacks_targets)
    end (rollout, QG_ROLLOUT_REVERTED, "all new targets have ended");
  else if (phase == QG_ROLLOUT_MOVED && old_targets_are_free (rollout, now))
    end (rollout, QG_ROLLOUT_COMPLETED,
         "no request is left at the old targets");
  else if (phase == QG_ROLLOUT_SHARED && now >= limit)
    end (rollout, QG_ROLLOUT_REVERTED, "the time limit has passed");
  else if (phase == QG_ROLLOUT_SHARED
           && now >= step_begins (rollout, rollout->step + 1))
    {
      if (rollout->lacks_targets
          || (rollout->total.fresh.all <= 0 && rollout->total.old.all > 0))
        return rollout->decision; /* nobody has tried the new version */
      begin_step (rollout, rollout->step + 1, now);
    }
  return rollout->decision;
}

QgRolloutCounts
qg_rollout_total (const QgRollout *rollout)
{
  const Route *total = &rollout->total;

  return (QgRolloutCounts){ (guint32)total->fresh.all,
                            (guint32)total->fresh.all_bad,
                            (guint32)total->old.all,
                            (guint32)total->old.all_bad };
}
