/**
 * @file rsm.h
 * The replicated state of the control members: configuration, manifest, claims
 * of non-idempotent keys, suspected and quarantined requests, the epochs of
 * processes, the targets that leave, rollouts, and versions of targets. Each
 * command of the log goes
 * through qg_rsm_apply(); members that apply the same log hold the same state
 * and give the same results.
 *
 * Time comes only from the commands, which the leader stamps with
 * qg_rsm_stamp(). Time never goes back: a command with an earlier time is
 * applied at the latest time seen.
 */
#ifndef QG_RSM_H
#define QG_RSM_H

#include "claim.h"
#include "conf.h"
#include "leave.h"
#include "manifest_log.h"
#include "poison.h"
#include "proto/state.pb-c.h"
#include "rollout_log.h"
#include "version_log.h"

G_BEGIN_DECLS

enum
{
  QG_RSM_VERSION = 7, /**< newest supported version of commands and snapshots */
  QG_RSM_MAX_EPOCHS = 16384, /**< names; if there are more, the oldest epoch is
                                dropped */
  QG_RSM_MAX_REPLACED = 8    /**< replaced processes remembered per name */
};

typedef struct _QgRsm QgRsm;

QgRsm *qg_rsm_new (void);
QgRsm *qg_rsm_ref (QgRsm *rsm);
void qg_rsm_unref (QgRsm *rsm);

/**
 * Applies the command at @a index.
 *
 * @return the packed StateResult. Empty when the command is unreadable: such a
 *         command changes nothing on any member. NULL when the command has a
 *         newer version or @a index was applied before: this member must then
 *         stop.
 */
GBytes *qg_rsm_apply (QgRsm *rsm, guint64 index, gconstpointer command,
                      gsize len);

/** Index of the last command applied. */
guint64 qg_rsm_index (const QgRsm *rsm);
/** Latest leader time in the commands applied. */
QgTime qg_rsm_now (const QgRsm *rsm);
/**
 * The time for a new command. It approaches the leader's time of day, but runs
 * at least half as fast and at most a 24th faster than the clocks of the
 * members, so that a wrong time of day does not end retentions.
 *
 * @param time_of_day of the leader.
 * @param elapsed since the leader applied the last command.
 */
QgTime qg_rsm_stamp (const QgRsm *rsm, QgTime time_of_day, QgTime elapsed);

QgConf *qg_rsm_conf (const QgRsm *rsm);
QgClaims *qg_rsm_claims (const QgRsm *rsm);
QgPoison *qg_rsm_poison (const QgRsm *rsm);
const QgManifestLog *qg_rsm_manifest (const QgRsm *rsm);
const QgLeaves *qg_rsm_leaves (const QgRsm *rsm);
const QgRolloutLog *qg_rsm_rollouts (const QgRsm *rsm);
const QgVersionLog *qg_rsm_versions (const QgRsm *rsm);
/**
 * Returns the epoch of the process that holds @a name; 0 if no process holds
 * it. Stores the incarnation of that process in @a incarnation, which may be
 * NULL.
 */
guint64 qg_rsm_epoch (const QgRsm *rsm, const char *name, guint64 *incarnation);

/** Serializes the whole state with version and SHA-256; equal states give equal
 * bytes. */
GBytes *qg_rsm_snapshot (const QgRsm *rsm);

/**
 * Replaces the state by a snapshot; pointers to its parts become invalid.
 *
 * @return QG_OK, or QG_E_CORRUPT with the state unchanged.
 */
QgStatus qg_rsm_restore (QgRsm *rsm, gconstpointer data, gsize len, QgErr *err);

/** Commands for the log, stamped with the time @a now. */
GBytes *qg_rsm_command_conf (Qg__ConfChange *change, QgTime now);
GBytes *qg_rsm_command_claim (Qg__ClaimCommand *claim, QgTime now);
GBytes *qg_rsm_command_poison (Qg__PoisonCommand *poison, QgTime now);
GBytes *qg_rsm_command_epoch (const char *name, guint64 incarnation,
                              QgTime now);

GBytes *qg_rsm_command_manifest (guint64 version, GBytes *text, QgTime now);
GBytes *qg_rsm_command_drain (const char *dc, gboolean drained, QgTime now);
GBytes *qg_rsm_command_leave (Qg__TargetLeave *leave, QgTime now);
GBytes *qg_rsm_command_rollout_begin (const char *service, const char *version,
                                      QgTime duration, QgTime now);
GBytes *qg_rsm_command_rollout_end (Qg__RolloutEnd *end, QgTime now);
GBytes *qg_rsm_command_version (const char *service, const char *version,
                                gboolean ended, QgTime now);

/**
 * Unpacks a result; free it with qg__state_result__free_unpacked(). NULL if it
 * is empty or unreadable.
 */
Qg__StateResult *qg_rsm_result (GBytes *result);

G_END_DECLS

#endif
