/**
 * @file cold.h
 * In-flight limit of one target. The limit starts at cold_slots, grows with
 * evidence (requests that completed or stream steadily) and with time, and
 * falls back when the target shows that it restarted.
 *
 * Ramp: limit = min (slots, cold_slots + evidence,
 *                    cold_slots * 2^((now - cold_since - hold) / double_us)).
 *
 * A target that falls over while its limit grows was held too short: its hold
 * is doubled, up to QG_COLD_MAX_HOLD, until it has been warm once.
 */
#ifndef QG_COLD_H
#define QG_COLD_H

#include "qg.h"

G_BEGIN_DECLS

/** Longest learned hold. */
#define QG_COLD_MAX_HOLD (60 * QG_SEC)

/** How a request on the target ended, or a sign seen while it ran. */
typedef enum
{
  QG_COLD_OK,      /**< complete answer */
  QG_COLD_NEUTRAL, /**< ended without telling anything (cancelled) */
  QG_COLD_REFUSED, /**< connection refused: the target is down */
  QG_COLD_RESET,   /**< connection reset: the target died or restarted */
  QG_COLD_BUSY,    /**< 503: the target is overloaded */
  QG_COLD_BOOT,    /**< the boot id of the target changed */
  QG_N_COLD_SIGNS
} QgColdSign;

/** Options of one target; zero members take the defaults. */
typedef struct
{
  guint slots;       /**< limit of the warm target (16) */
  guint cold_slots;  /**< limit of the cold target (1) */
  QgTime hold_us;    /**< how long a cold target stays at cold_slots (0) */
  QgTime double_us;  /**< the limit doubles at most once in this time (2 s) */
  QgTime sustain_us; /**< a stream of this age counts as evidence (2 s) */
  QgTime backoff_us; /**< first pause after a refused connection (100 ms) */
  guint slow_factor; /**< first token this many times the normal: slow (8) */
  QgTime slow_floor_us; /**< and at least this late (500 ms) */
} QgColdOptions;

typedef struct _QgCold QgCold;

/** One request that runs on the target; filled by qg_cold_start(). */
typedef struct
{
  QgTime started;
  guint generation; /**< fall of the limit under which it was started */
  gboolean counted; /**< already taken as evidence */
  gboolean first;   /**< its first token was seen */
} QgColdRun;

QgCold *qg_cold_new (const QgColdOptions *options, QgTime now);
QgCold *qg_cold_ref (QgCold *cold);
void qg_cold_unref (QgCold *cold);

/** Changes the limits of the configuration; running work is not touched. */
void qg_cold_set_slots (QgCold *cold, guint slots, guint cold_slots);

/** Changes how long a cold target stays at cold_slots. */
void qg_cold_set_hold (QgCold *cold, QgTime hold_us);

/** The present limit; 0 while the target is taken for down. */
guint qg_cold_limit (QgCold *cold, QgTime now);

/** Requests that run on the target now. */
guint qg_cold_in_flight (const QgCold *cold);

/** Free places: limit less in flight, never negative. */
guint qg_cold_room (QgCold *cold, QgTime now);

/** Whether the limit has reached slots. */
gboolean qg_cold_is_warm (QgCold *cold, QgTime now);

/** When the limit may next rise by time alone; G_MAXINT64 = not by time. */
QgTime qg_cold_wakeup (QgCold *cold, QgTime now);

/**
 * Starts a request. Invariant: in flight <= limit.
 *
 * @return FALSE when there is no room; the request must not be sent then, and
 * QG_EV_INV_OVER_LIMIT was reported.
 */
gboolean qg_cold_start (QgCold *cold, QgTime now, QgColdRun *run);

/** The first byte of the answer of @a run came. */
void qg_cold_first_token (QgCold *cold, QgTime now, QgColdRun *run);

/** @a run still makes progress. */
void qg_cold_progress (QgCold *cold, QgTime now, QgColdRun *run);

/** @a run ended with @a sign. */
void qg_cold_end (QgCold *cold, QgTime now, QgColdRun *run, QgColdSign sign);

/** A sign outside of a request: a probe was refused, the boot id changed. */
void qg_cold_sign (QgCold *cold, QgTime now, QgColdSign sign);

G_END_DECLS

#endif
