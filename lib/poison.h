/**
 * @file poison.h
 * Requests that crash each target that runs them: the replicated table of
 * suspects, and the fingerprints by which a request is known.
 *
 * A crash makes a suspect of everything that was in flight at the target.
 * Suspects are kept from each other, then from everything, and a suspect that
 * runs whole is cleared. One that is left is quarantined for the whole fleet:
 *
 *   quarantined = crashes >= 3 and alone >= 1
 *                 and (targets >= 2 or sound_alone >= 2)
 *
 * where `alone` counts crashes with nothing else in flight, `targets` distinct
 * targets, and `sound_alone` those crashes alone whose target had finished
 * other work since its start. Presence in several crashes without being alone
 * is never enough: a request that is everywhere stands beside every crash.
 *
 * Bound: one fingerprint causes at most 3 crashes, one more for each copy that
 * was under way at its second crash or at its quarantine, and one more for each
 * crash that came again to the same target before that had finished anything.
 *
 * The table is a deterministic state machine like that of claim.h.
 */
#ifndef QG_POISON_H
#define QG_POISON_H

#include "qg.h"
#include "proto/poison.pb-c.h"

G_BEGIN_DECLS

enum
{
  QG_POISON_BYTES = 32,         /**< of a fingerprint (SHA-256) */
  QG_POISON_CRASHES = 3,        /**< before a quarantine */
  QG_POISON_TARGETS = 2,        /**< distinct ones before a quarantine */
  QG_POISON_SOUND_ALONE = 2,    /**< in place of distinct targets */
  QG_POISON_KEPT_CRASHES = 8,   /**< remembered of one fingerprint */
  QG_POISON_TOTAL = 4096,       /**< fingerprints kept */
  QG_POISON_CRASH_ITEMS = 1024, /**< taken from one crash */
};

/** How long a quarantine holds unless an operator lifts it. */
#define QG_POISON_RETENTION (24 * 3600 * QG_SEC)
/** How long a suspect is kept after its last crash. */
#define QG_POISON_SUSPECT_RETENTION (3600 * QG_SEC)

/** How a request must be kept from others; ordered by strictness. */
typedef enum
{
  QG_POISON_CLEAR,       /**< runs as any other */
  QG_POISON_APART,       /**< one crash: beside no other suspect */
  QG_POISON_ALONE,       /**< more: with nothing else in flight */
  QG_POISON_QUARANTINED, /**< refused */
  QG_N_POISON_LEVELS
} QgPoisonLevel;

typedef struct _QgPoison QgPoison;

/** What is known of one fingerprint. */
typedef struct
{
  guint8 fingerprint[QG_POISON_BYTES];
  const char *service;
  QgPoisonLevel level;
  guint crashes;
  guint alone;
  guint targets;
  guint sound_alone;
  QgTime at; /**< of the last crash, or of the quarantine */
} QgPoisonInfo;

/** SHA-256 over method, path and body: what a key was used with. */
void qg_poison_body_hash (const char *method, const char *path,
                          gconstpointer body, gsize len,
                          guint8 out[QG_POISON_BYTES]);

/** The fingerprint of a request. */
void qg_poison_fingerprint (const char *workspace, const char *service,
                            gconstpointer body_hash, gsize len,
                            guint8 out[QG_POISON_BYTES]);

/** A new empty table with one reference. */
QgPoison *qg_poison_new (void);
QgPoison *qg_poison_ref (QgPoison *poison);
void qg_poison_unref (QgPoison *poison);

/**
 * Applies one command of the log.
 *
 * @return the levels that changed, freed by the caller with
 *         qg__poison_result__free_unpacked(); NULL when the command has no
 *         required shape, with the table unchanged.
 */
Qg__PoisonResult *qg_poison_apply (QgPoison *poison,
                                   const Qg__PoisonCommand *command);

/** qg_poison_apply() on packed messages; NULL when it cannot be decoded. */
GBytes *qg_poison_apply_packed (QgPoison *poison, gconstpointer data,
                                gsize len);

/** The level of a fingerprint of QG_POISON_BYTES. */
QgPoisonLevel qg_poison_level (const QgPoison *poison,
                               gconstpointer fingerprint);

/** Fingerprints kept now. */
guint qg_poison_count (const QgPoison *poison);

/**
 * All fingerprints, the suspects first, each kind oldest first.
 *
 * @param cursor NULL at the start; no command may come between two calls.
 * @return FALSE behind the last one.
 */
gboolean qg_poison_next (const QgPoison *poison, gconstpointer *cursor,
                         QgPoisonInfo *info);

/** The whole table, packed; equal tables give equal bytes. */
GBytes *qg_poison_snapshot (const QgPoison *poison);

/**
 * Replaces the table by a snapshot.
 *
 * @return QG_OK, or QG_E_CORRUPT with the table unchanged.
 */
QgStatus qg_poison_restore (QgPoison *poison, gconstpointer data, gsize len,
                            QgErr *err);

G_END_DECLS

#endif
