/**
 * @file poison.h
 * Detection of poison requests, which crash each target that runs them: request
 * fingerprints and the replicated table of suspects.
 *
 * When a target crashes, all requests that were in flight there become
 * suspects. After one crash, a suspect runs with no other suspect on its
 * target. After two or more crashes, it runs with no other request on its
 * target. A suspect that completes is cleared. A suspect is quarantined for the
 * whole fleet when
 *
 *   crashes >= 3 and alone >= 1
 *   and (targets >= 2 or sound_alone >= 2 or sound >= 3)
 *
 * where `alone` is the number of crashes with nothing else in flight, `targets`
 * is the number of distinct targets, and `sound_alone` is the number of crashes
 * with nothing else in flight at a target that had completed other work since
 * its start, and `sound` the number of all crashes at such a target: one that
 * crashes by itself again and again completes little in between. Crashes with
 * other requests in flight are never enough, because a frequent request is in
 * flight at most crashes without being their cause.
 *
 * Bound: one fingerprint causes at most 3 crashes, plus one for each copy of
 * the request that was already assigned when the fingerprint caused its second
 * crash or was quarantined, plus one for each repeated crash of a target that
 * had completed nothing since its previous crash.
 *
 * Prompt parts. A target that runs requests in batches cannot isolate them, and
 * requests that share one part of their prompts may all crash their targets
 * although no two are alike. Relays therefore report the parts that were in
 * flight at a crash, and suspected parts under which a request completed, or
 * went on for a while, which clears them. A part is quarantined when it was in
 * flight at QG_POISON_PART_CRASHES different crashes without a completion since
 * its second one, at least QG_POISON_PART_SPAN ago. Its crashes then do not
 * count against other parts. Whole requests are reported likewise. They need
 * QG_POISON_WHOLE_CRASHES only: a sound request is rarely in flight at several
 * crashes, while a part is shared by many requests.
 *
 * Bound: targets crash under one part at most QG_POISON_PART_CRASHES times,
 * plus once for each such request that is sent within QG_POISON_PART_SPAN of
 * the second crash or before the relays know.
 *
 * The table is a deterministic state machine like the one in claim.h.
 */
#ifndef QG_POISON_H
#define QG_POISON_H

#include "qg.h"
#include "proto/poison.pb-c.h"

G_BEGIN_DECLS

enum
{
  QG_POISON_FINGERPRINT_BYTES = 32,  /**< SHA-256 */
  QG_POISON_MIN_CRASHES = 3,         /**< for a quarantine */
  QG_POISON_MIN_TARGETS = 2,         /**< distinct targets, for a quarantine */
  QG_POISON_MIN_SOUND_ALONE = 2,     /**< if fewer targets crashed */
  QG_POISON_MIN_SOUND = 3,           /**< if fewer crashed alone */
  QG_POISON_MAX_CRASH_RECORDS = 8,   /**< latest crashes kept per fingerprint */
  QG_POISON_MAX_FINGERPRINTS = 4096, /**< in the table */
  QG_POISON_MAX_CRASH_FINGERPRINTS = 1024, /**< in one crash command */
  QG_POISON_PART_CRASHES = 6,  /**< for the quarantine of a prompt part */
  QG_POISON_WHOLE_CRASHES = 4, /**< of a whole request that relays report */
  QG_POISON_MAX_PARTS = 2048,  /**< suspected prompt parts in the table */
  QG_POISON_MAX_DEPTH = 16,    /**< positions in a prompt told apart */
};

/** Time without a completion before a prompt part is quarantined: requests that
 * many send complete several times within it. */
#define QG_POISON_PART_SPAN QG_SEC
/** Duration of the quarantine of a prompt part: other requests share it, so
 * that a wrong decision must not last. */
#define QG_POISON_PART_QUARANTINE_RETENTION (3600 * QG_SEC)
/** Retention of a suspected prompt part after its last crash. */
#define QG_POISON_PART_RETENTION (600 * QG_SEC)

/** Duration of a quarantine that no operator lifts. */
#define QG_POISON_QUARANTINE_RETENTION (24 * 3600 * QG_SEC)
/** Retention of a suspect after its last crash. */
#define QG_POISON_SUSPECT_RETENTION (3600 * QG_SEC)

/** How a request must be isolated, in increasing strictness. */
typedef enum
{
  QG_POISON_CLEAR,       /**< not isolated */
  QG_POISON_APART,       /**< after one crash: no other suspect in flight */
  QG_POISON_ALONE,       /**< after more crashes: nothing else in flight */
  QG_POISON_QUARANTINED, /**< refused */
  QG_N_POISON_LEVELS
} QgPoisonLevel;

typedef struct _QgPoison QgPoison;

/** Record of one fingerprint; the top of this file explains the counts. */
typedef struct
{
  guint8 fingerprint[QG_POISON_FINGERPRINT_BYTES];
  const char *service;
  QgPoisonLevel level;
  guint crashes;
  guint alone;
  guint targets;
  guint sound_alone;
  guint sound;
  QgTime at; /**< time of the last crash, or of the quarantine */
} QgPoisonInfo;

/** Computes the SHA-256 of method, path and body. A request with the same key
 * must have the same hash. */
void qg_poison_body_hash (const char *method, const char *path,
                          gconstpointer body, gsize len,
                          guint8 out[QG_POISON_FINGERPRINT_BYTES]);

/** The fingerprint of a request. */
void qg_poison_fingerprint (const char *workspace, const char *service,
                            gconstpointer body_hash, gsize len,
                            guint8 out[QG_POISON_FINGERPRINT_BYTES]);

/** The fingerprint of a prompt part. */
void qg_poison_part_fingerprint (const char *service, guint64 part,
                                 guint8 out[QG_POISON_FINGERPRINT_BYTES]);

/** A number that identifies a whole request in place of a prompt part: the same
 * for each copy of the request. @a workspace may be "". */
guint64 qg_poison_request_key (const char *workspace, const char *method,
                               const char *url, gconstpointer body, gsize len);

/** Identifies the crash of an incarnation of a target in PoisonPart.crashes. */
guint64 qg_poison_crash_id (const char *target, guint64 born_ms);

/** Creates an empty table with one reference. */
QgPoison *qg_poison_new (void);
QgPoison *qg_poison_ref (QgPoison *poison);
void qg_poison_unref (QgPoison *poison);

/**
 * Applies one command of the log.
 *
 * @return the levels that changed, to be freed with
 *         qg__poison_result__free_unpacked(); NULL with the table unchanged
 *         when the command is malformed.
 */
Qg__PoisonResult *qg_poison_apply (QgPoison *poison,
                                   const Qg__PoisonCommand *command);

/** qg_poison_apply() on packed messages; NULL when the command is invalid. */
GBytes *qg_poison_apply_packed (QgPoison *poison, gconstpointer data,
                                gsize len);

/** The level of a fingerprint of QG_POISON_FINGERPRINT_BYTES. */
QgPoisonLevel qg_poison_level (const QgPoison *poison,
                               gconstpointer fingerprint);

/** Number of fingerprints in the table. */
guint qg_poison_count (const QgPoison *poison);

/**
 * Iterates over the suspects, then over the quarantined fingerprints, each
 * oldest first.
 *
 * @param cursor NULL at the start; invalidated by the next command.
 * @return FALSE after the last fingerprint.
 */
gboolean qg_poison_next (const QgPoison *poison, gconstpointer *cursor,
                         QgPoisonInfo *info);

/** Serializes the table; equal tables give equal bytes. */
GBytes *qg_poison_snapshot (const QgPoison *poison);

/**
 * Replaces the contents of the table with a snapshot.
 *
 * @return QG_OK, or QG_E_CORRUPT with the table unchanged.
 */
QgStatus qg_poison_restore (QgPoison *poison, gconstpointer data, gsize len,
                            QgErr *err);

G_END_DECLS

#endif
