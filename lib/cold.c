#include "cold.h"

#include "event.h"

enum
{
  DEFAULT_SLOTS = 16,
  DEFAULT_SLOW_FACTOR = 8,
  SLOW_STREAK = 3,   /* consecutive slow first tokens that indicate a restart */
  LATENCY_SHIFT = 4, /* weight 1/16 of a new sample in the average latency */
  MAX_BACKOFF_SHIFT = 5,
  MAX_DOUBLINGS = 20
};

struct _QgCold
{
  guint refs;
  QgColdOptions options;
  guint in_flight;
  guint evidence;
  guint start_limit;    /* limit at the start of the ramp */
  guint generation;     /* how often the limit was reset */
  guint refused_streak; /* consecutive refused connections */
  guint slow_streak;    /* consecutive slow first tokens */
  QgTime hold_us;     /* learned hold, never shorter than the configured hold */
  QgTime ramp_start;  /* start of the ramp */
  QgTime down_until;  /* no requests before this time */
  gboolean half_open; /* limit 1 after downtime, until a request is answered */
  QgTime latency_us;  /* moving average of the first-token latency */
};

typedef void (*SignalFunc) (QgCold *cold, QgTime now);

static void reset_limit (QgCold *cold, QgTime now, guint limit);
static void on_ok (QgCold *cold, QgTime now);
static void on_neutral (QgCold *cold, QgTime now);
static void on_refused (QgCold *cold, QgTime now);
static void on_restart (QgCold *cold, QgTime now);
static void on_busy (QgCold *cold, QgTime now);
static void learn_hold (QgCold *cold, QgTime now);
static guint doublings (const QgCold *cold, QgTime now);
static void count_evidence (QgCold *cold, QgColdRun *run);
static gboolean add_latency (QgCold *cold, QgTime latency);

static const SignalFunc signal_funcs[QG_N_COLD_SIGNALS] = {
  [QG_COLD_OK] = on_ok,           [QG_COLD_NEUTRAL] = on_neutral,
  [QG_COLD_REFUSED] = on_refused, [QG_COLD_RESET] = on_restart,
  [QG_COLD_BUSY] = on_busy,       [QG_COLD_BOOT] = on_restart,
};

QgCold *
qg_cold_new (const QgColdOptions *options, QgTime now)
{
  QgCold *cold = g_new0 (QgCold, 1);
  QgColdOptions *o = &cold->options;

  cold->refs = 1;
  if (options != NULL)
    *o = *options;
  if (o->double_us == 0)
    o->double_us = 2 * QG_SEC;
  if (o->sustain_us == 0)
    o->sustain_us = 2 * QG_SEC;
  if (o->backoff_us == 0)
    o->backoff_us = 100 * QG_MSEC;
  if (o->slow_factor == 0)
    o->slow_factor = DEFAULT_SLOW_FACTOR;
  if (o->slow_floor_us == 0)
    o->slow_floor_us = 500 * QG_MSEC;
  qg_cold_set_slots (cold, o->slots, o->cold_slots);
  cold->start_limit = o->cold_slots;
  cold->hold_us = o->hold_us;
  cold->ramp_start = now;
  return cold;
}

QgCold *
qg_cold_ref (QgCold *cold)
{
  cold->refs++;
  return cold;
}

void
qg_cold_unref (QgCold *cold)
{
  if (--cold->refs == 0)
    g_free (cold);
}

void
qg_cold_set_slots (QgCold *cold, guint slots, guint cold_slots)
{
  guint before = cold->options.cold_slots;

  cold->options.slots = slots > 0 ? slots : DEFAULT_SLOTS;
  cold->options.cold_slots = CLAMP (cold_slots, 1, cold->options.slots);
  /* If the ramp has not begun, it starts at the new limit. */
  if (cold->start_limit == before && cold->evidence == 0
      && cold->in_flight == 0)
    cold->start_limit = cold->options.cold_slots;
}

void
qg_cold_set_hold (QgCold *cold, QgTime hold_us)
{
  cold->options.hold_us = hold_us;
  cold->hold_us = MAX (cold->hold_us, hold_us);
}

guint
qg_cold_limit (QgCold *cold, QgTime now)
{
  guint64 by_time;
  guint64 limit;

  if (now < cold->down_until)
    return 0;
  if (cold->half_open)
    return 1;
  by_time = (guint64)cold->start_limit << doublings (cold, now);
  limit = MIN ((guint64)cold->start_limit + cold->evidence, by_time);
  return (guint)MIN (limit, cold->options.slots);
}

guint
qg_cold_in_flight (const QgCold *cold)
{
  return cold->in_flight;
}

guint
qg_cold_free_slots (QgCold *cold, QgTime now)
{
  guint limit = qg_cold_limit (cold, now);

  return limit > cold->in_flight ? limit - cold->in_flight : 0;
}

gboolean
qg_cold_is_warm (QgCold *cold, QgTime now)
{
  return qg_cold_limit (cold, now) == cold->options.slots;
}

QgTime
qg_cold_wakeup (QgCold *cold, QgTime now)
{
  guint64 limit = qg_cold_limit (cold, now);

  if (now < cold->down_until)
    return cold->down_until;
  if (cold->half_open || limit >= cold->options.slots
      || limit >= (guint64)cold->start_limit + cold->evidence)
    return G_MAXINT64;
  return cold->ramp_start + cold->hold_us
         + (doublings (cold, now) + 1) * cold->options.double_us;
}

gboolean
qg_cold_start (QgCold *cold, QgTime now, QgColdRun *run)
{
  guint limit = qg_cold_limit (cold, now);

  if (!qg_check_invariant (cold->in_flight < limit, QG_EV_INV_OVER_LIMIT,
                           "%u requests already run on a target with limit %u",
                           cold->in_flight, limit))
    return FALSE;
  cold->in_flight++;
  *run = (QgColdRun){ .started = now, .generation = cold->generation };
  return TRUE;
}

void
qg_cold_first_token (QgCold *cold, QgTime now, QgColdRun *run)
{
  if (run->first_seen)
    return;
  run->first_seen = TRUE;
  if (run->generation != cold->generation)
    return;
  on_ok (cold, now);
  if (add_latency (cold, now - run->started))
    on_restart (cold, now);
}

void
qg_cold_progress (QgCold *cold, QgTime now, QgColdRun *run)
{
  if (run->first_seen && now - run->started >= cold->options.sustain_us)
    count_evidence (cold, run);
}

void
qg_cold_end (QgCold *cold, QgTime now, QgColdRun *run, QgColdSignal signal)
{
  if (qg_check_invariant (
          cold->in_flight > 0, QG_EV_INV_OVER_LIMIT,
          "a request ended on a target that has none in flight"))
    cold->in_flight--;
  if (signal == QG_COLD_OK)
    count_evidence (cold, run);
  /* A request that started before the last reset of the limit says nothing
   * about the target after the reset. */
  if (run->generation == cold->generation)
    qg_cold_signal (cold, now, signal);
}

void
qg_cold_signal (QgCold *cold, QgTime now, QgColdSignal signal)
{
  signal_funcs[signal](cold, now);
}

static void
on_ok (QgCold *cold, QgTime now)
{
  cold->refused_streak = 0;
  if (!cold->half_open)
    return;
  cold->half_open = FALSE;
  cold->ramp_start = now;
}

static void
on_neutral (QgCold *cold, QgTime now)
{
}

static void
on_refused (QgCold *cold, QgTime now)
{
  guint shift = MIN (cold->refused_streak, MAX_BACKOFF_SHIFT);

  cold->refused_streak++;
  reset_limit (cold, now, cold->options.cold_slots);
  cold->half_open = TRUE;
  cold->down_until = now + (cold->options.backoff_us << shift);
}

static void
on_restart (QgCold *cold, QgTime now)
{
  learn_hold (cold, now);
  reset_limit (cold, now, cold->options.cold_slots);
}

/* A 503 within the limit means that the limit was too high. */
static void
on_busy (QgCold *cold, QgTime now)
{
  on_restart (cold, now);
}

/* Doubles the hold when the target failed during the ramp; restores the
 * configured hold when the target was warm. */
static void
learn_hold (QgCold *cold, QgTime now)
{
  guint limit = qg_cold_limit (cold, now);

  if (limit >= cold->options.slots)
    cold->hold_us = cold->options.hold_us;
  else if (limit > cold->options.cold_slots)
    cold->hold_us = MIN (2 * cold->hold_us, QG_COLD_MAX_HOLD_US);
}

/* Restarts the ramp from @limit. */
static void
reset_limit (QgCold *cold, QgTime now, guint limit)
{
  if (limit == cold->options.cold_slots
      && qg_cold_limit (cold, now) > cold->options.cold_slots)
    qg_event (QG_EV_TARGET_COLD, "in-flight limit reset from %u to %u",
              qg_cold_limit (cold, now), limit);
  cold->start_limit = limit;
  cold->evidence = 0;
  cold->ramp_start = now;
  cold->generation++;
  cold->slow_streak = 0;
}

static guint
doublings (const QgCold *cold, QgTime now)
{
  QgTime ramped = now - cold->ramp_start - cold->hold_us;

  return (guint)CLAMP (ramped / cold->options.double_us, 0, MAX_DOUBLINGS);
}

static void
count_evidence (QgCold *cold, QgColdRun *run)
{
  if (run->counted || run->generation != cold->generation)
    return;
  run->counted = TRUE;
  if (cold->evidence < cold->options.slots)
    cold->evidence++;
}

/* Adds @latency to the average unless @latency is slow. Returns TRUE after
 * SLOW_STREAK slow latencies in a row, which indicate a restart. */
static gboolean
add_latency (QgCold *cold, QgTime latency)
{
  const QgColdOptions *o = &cold->options;

  if (cold->latency_us == 0)
    cold->latency_us = MAX (latency, 1);
  if (latency > o->slow_floor_us && latency / o->slow_factor > cold->latency_us)
    return ++cold->slow_streak >= SLOW_STREAK;
  cold->slow_streak = 0;
  cold->latency_us += (latency - cold->latency_us) / (1 << LATENCY_SHIFT);
  cold->latency_us = MAX (cold->latency_us, 1);
  return FALSE;
}
