/**
 * @file cold.h
 * In-flight limit of one target. The limit starts at cold_slots, grows with
 * evidence (requests that completed or have streamed for sustain_us) and with
 * time, and returns to cold_slots when the target restarts, refuses a
 * connection or is overloaded.
 *
 * Ramp: limit = min (slots, cold_slots + evidence,
 *                    cold_slots * 2^((now - ramp_start - hold) / double_us)).
 *
 * The hold is the time that a cold target stays at cold_slots. If the target
 * restarts or is overloaded while its limit grows, the hold was too short and
 * is doubled, up to QG_COLD_MAX_HOLD_US. A target is warm when its limit is
 * slots; if a warm target restarts or is overloaded, the configured hold is
 * restored.
 */
#ifndef QG_COLD_H
#define QG_COLD_H

#include "qg.h"

G_BEGIN_DECLS

/** Upper bound of the hold that is learned from restarts. */
#define QG_COLD_MAX_HOLD_US (60 * QG_SEC)

/** How a request on the target ended, or what a probe of it showed. */
typedef enum
{
  QG_COLD_OK,      /**< complete answer */
  QG_COLD_NEUTRAL, /**< cancelled: says nothing about the target */
  QG_COLD_REFUSED, /**< connection refused: the target is down */
  QG_COLD_RESET,   /**< connection reset: the target ended or restarted */
  QG_COLD_BUSY,    /**< 503: the target is overloaded */
  QG_COLD_BOOT,    /**< the target reported a new boot id */
  QG_N_COLD_SIGNALS
} QgColdSignal;

/** Options of one target; zero members take the defaults, which are given in
 * parentheses. */
typedef struct
{
  guint slots;       /**< limit of the warm target (16) */
  guint cold_slots;  /**< limit of the cold target (1) */
  QgTime hold_us;    /**< how long a cold target stays at cold_slots (0) */
  QgTime double_us;  /**< shortest time in which the limit doubles (2 s) */
  QgTime sustain_us; /**< age at which a stream counts as evidence (2 s) */
  QgTime backoff_us; /**< first pause after a refused connection (100 ms) */
  /** A first token is slow when its latency exceeds both slow_factor (8) times
   * the average latency and slow_floor_us (500 ms). */
  guint slow_factor;
  QgTime slow_floor_us;
} QgColdOptions;

typedef struct _QgCold QgCold;

/** A running request on the target; initialized by qg_cold_start(). */
typedef struct
{
  QgTime started;
  guint generation;    /**< how often the limit had been reset when the
                            request started */
  gboolean counted;    /**< already counted as evidence */
  gboolean first_seen; /**< its first token has arrived */
} QgColdRun;

QgCold *qg_cold_new (const QgColdOptions *options, QgTime now);
QgCold *qg_cold_ref (QgCold *cold);
void qg_cold_unref (QgCold *cold);

/** Changes the configured limits; running requests are not affected. */
void qg_cold_set_slots (QgCold *cold, guint slots, guint cold_slots);

/** Changes the configured hold; a longer learned hold stays in force. */
void qg_cold_set_hold (QgCold *cold, QgTime hold_us);

/** Current limit; 0 while the target is considered down. */
guint qg_cold_limit (QgCold *cold, QgTime now);

/** Number of requests that run on the target. */
guint qg_cold_in_flight (const QgCold *cold);

/** Number of requests that may be started: the limit minus the number of
 * requests in flight. */
guint qg_cold_free_slots (QgCold *cold, QgTime now);

/** Whether the limit has reached slots. */
gboolean qg_cold_is_warm (QgCold *cold, QgTime now);

/** Time at which the limit next rises without new evidence; G_MAXINT64 if it
 * does not. */
QgTime qg_cold_wakeup (QgCold *cold, QgTime now);

/**
 * Starts a request. Invariant: in flight <= limit.
 *
 * @return FALSE when the limit is reached. In this case QG_EV_INV_OVER_LIMIT is
 *         reported, and the request must not be sent.
 */
gboolean qg_cold_start (QgCold *cold, QgTime now, QgColdRun *run);

/** Records that the first byte of the answer of @a run has arrived. */
void qg_cold_first_token (QgCold *cold, QgTime now, QgColdRun *run);

/** Records that @a run received more of its answer. */
void qg_cold_progress (QgCold *cold, QgTime now, QgColdRun *run);

/** Ends @a run with outcome @a signal. */
void qg_cold_end (QgCold *cold, QgTime now, QgColdRun *run,
                  QgColdSignal signal);

/** Applies a signal from outside a request, such as a refused probe or a new
 * boot id. */
void qg_cold_signal (QgCold *cold, QgTime now, QgColdSignal signal);

G_END_DECLS

#endif
