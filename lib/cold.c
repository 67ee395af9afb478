#include "cold.h"

#include "event.h"

enum
{
  DEFAULT_SLOTS = 16,
  DEFAULT_SLOW_FACTOR = 8,
  SLOW_RUN = 3,     /* slow first tokens in a row that mean a restart */
  NORMAL_SHIFT = 4, /* gain 1/16 of the normal first-token latency */
  MAX_BACKOFF_SHIFT = 5,
  MAX_DOUBLINGS = 20
};

struct _QgCold
{
  guint refs;
  QgColdOptions options;
  guint in_flight;
  guint evidence;
  guint start_limit; /* limit at the last fall */
  guint generation;
  guint refused; /* refused connections in a row */
  guint slow;
  QgTime hold_us;    /* learned, at least that of the options */
  QgTime since;      /* last fall */
  QgTime down_until; /* no work before */
  gboolean proving;  /* the target was down and has answered nothing since */
  QgTime normal_us;  /* smoothed first-token latency */
};

typedef void (*SignFunc) (QgCold *cold, QgTime now);

static void fall (QgCold *cold, QgTime now, guint limit);
static void on_ok (QgCold *cold, QgTime now);
static void on_neutral (QgCold *cold, QgTime now);
static void on_refused (QgCold *cold, QgTime now);
static void on_restart (QgCold *cold, QgTime now);
static void on_busy (QgCold *cold, QgTime now);
static void learn_hold (QgCold *cold, QgTime now);
static guint doublings (const QgCold *cold, QgTime now);
static void take_evidence (QgCold *cold, QgColdRun *run);
static gboolean judge_latency (QgCold *cold, QgTime latency);

static const SignFunc signs[QG_N_COLD_SIGNS] = {
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
  cold->since = now;
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
  /* A ramp that has not begun begins at the new limit. */
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
  if (cold->proving)
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
qg_cold_room (QgCold *cold, QgTime now)
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
  if (cold->proving || limit >= cold->options.slots
      || limit >= (guint64)cold->start_limit + cold->evidence)
    return G_MAXINT64;
  return cold->since + cold->hold_us
         + (doublings (cold, now) + 1) * cold->options.double_us;
}

gboolean
qg_cold_start (QgCold *cold, QgTime now, QgColdRun *run)
{
  guint limit = qg_cold_limit (cold, now);

  if (!qg_holds (cold->in_flight < limit, QG_EV_INV_OVER_LIMIT,
                 "%u requests run on a target of limit %u", cold->in_flight,
                 limit))
    return FALSE;
  cold->in_flight++;
  *run = (QgColdRun){ .started = now, .generation = cold->generation };
  return TRUE;
}

void
qg_cold_first_token (QgCold *cold, QgTime now, QgColdRun *run)
{
  if (run->first)
    return;
  run->first = TRUE;
  if (run->generation != cold->generation)
    return;
  on_ok (cold, now);
  if (judge_latency (cold, now - run->started))
    on_restart (cold, now);
}

void
qg_cold_progress (QgCold *cold, QgTime now, QgColdRun *run)
{
  if (run->first && now - run->started >= cold->options.sustain_us)
    take_evidence (cold, run);
}

void
qg_cold_end (QgCold *cold, QgTime now, QgColdRun *run, QgColdSign sign)
{
  if (qg_holds (cold->in_flight > 0, QG_EV_INV_OVER_LIMIT,
                "a request ended on a target where none ran"))
    cold->in_flight--;
  if (sign == QG_COLD_OK)
    take_evidence (cold, run);
  /* Requests that were in flight at a fall tell of the time before it. */
  if (run->generation == cold->generation)
    qg_cold_sign (cold, now, sign);
}

void
qg_cold_sign (QgCold *cold, QgTime now, QgColdSign sign)
{
  signs[sign](cold, now);
}

static void
on_ok (QgCold *cold, QgTime now)
{
  cold->refused = 0;
  if (!cold->proving)
    return;
  cold->proving = FALSE;
  cold->since = now;
}

static void
on_neutral (QgCold *cold, QgTime now)
{
}

static void
on_refused (QgCold *cold, QgTime now)
{
  guint shift = MIN (cold->refused, MAX_BACKOFF_SHIFT);

  cold->refused++;
  fall (cold, now, cold->options.cold_slots);
  cold->proving = TRUE;
  cold->down_until = now + (cold->options.backoff_us << shift);
}

static void
on_restart (QgCold *cold, QgTime now)
{
  learn_hold (cold, now);
  fall (cold, now, cold->options.cold_slots);
}

/* A target that refuses work within its limit bears less than was thought. */
static void
on_busy (QgCold *cold, QgTime now)
{
  on_restart (cold, now);
}

/* Learns from a fall while the limit grows. */
static void
learn_hold (QgCold *cold, QgTime now)
{
  guint limit = qg_cold_limit (cold, now);

  if (limit >= cold->options.slots)
    cold->hold_us = cold->options.hold_us;
  else if (limit > cold->options.cold_slots)
    cold->hold_us = MIN (2 * cold->hold_us, QG_COLD_MAX_HOLD);
}

/* The limit is cut to @limit and grows from there again. */
static void
fall (QgCold *cold, QgTime now, guint limit)
{
  if (limit == cold->options.cold_slots
      && qg_cold_limit (cold, now) > cold->options.cold_slots)
    qg_event (QG_EV_TARGET_COLD, "the limit falls from %u to %u",
              qg_cold_limit (cold, now), limit);
  cold->start_limit = limit;
  cold->evidence = 0;
  cold->since = now;
  cold->generation++;
  cold->slow = 0;
}

static guint
doublings (const QgCold *cold, QgTime now)
{
  QgTime ramped = now - cold->since - cold->hold_us;

  return (guint)CLAMP (ramped / cold->options.double_us, 0, MAX_DOUBLINGS);
}

static void
take_evidence (QgCold *cold, QgColdRun *run)
{
  if (run->counted || run->generation != cold->generation)
    return;
  run->counted = TRUE;
  if (cold->evidence < cold->options.slots)
    cold->evidence++;
}

/* Returns whether the latencies say that the target is cold again. */
static gboolean
judge_latency (QgCold *cold, QgTime latency)
{
  const QgColdOptions *o = &cold->options;

  if (cold->normal_us == 0)
    cold->normal_us = MAX (latency, 1);
  if (latency > o->slow_floor_us && latency / o->slow_factor > cold->normal_us)
    return ++cold->slow >= SLOW_RUN;
  cold->slow = 0;
  cold->normal_us += (latency - cold->normal_us) / (1 << NORMAL_SHIFT);
  cold->normal_us = MAX (cold->normal_us, 1);
  return FALSE;
}
