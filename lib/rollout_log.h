/**
 * @file rollout_log.h
 * The replicated record of rollouts: the last one of each service, from its
 * order to its verdict. A deterministic state machine, part of QgRsm.
 *
 * Guarantees: a service has at most one rollout in progress; a verdict is
 * final; an order that is sent again is recognized and changes nothing;
 * applying a command twice has the same effect as applying it once.
 */
#ifndef QG_ROLLOUT_LOG_H
#define QG_ROLLOUT_LOG_H

#include "proto/state.pb-c.h"
#include "qg.h"

G_BEGIN_DECLS

enum
{
  QG_ROLLOUTS_MAX = 1024, /**< services; beyond, orders are refused */
  QG_ROLLOUT_NAME_BYTES = 256
};

/** How long after an order the same order counts as its repetition: longer than
 * operators repeat an order whose answer was lost. */
#define QG_ROLLOUT_REPEAT_TIME (10 * QG_SEC)

/** Longest duration that can be ordered. */
#define QG_ROLLOUT_DURATION_MAX (7 * 24 * 3600 * QG_SEC)

typedef struct
{
  GHashTable *by_service; /**< to Qg__RolloutRow */
} QgRolloutLog;

void qg_rollout_log_init (QgRolloutLog *log);
void qg_rollout_log_clear (QgRolloutLog *log);

/** Applies the command at @a index of the log; @a now is its time. @a result
 * has the status and, unless that is QG_OK, a message, which the caller frees.
 */
void qg_rollout_log_apply (QgRolloutLog *log, guint64 index, QgTime now,
                           const Qg__RolloutCommand *command,
                           Qg__RolloutResult *result);

/** The last rollout of @a service, or NULL. */
const Qg__RolloutRow *qg_rollout_log_find (const QgRolloutLog *log,
                                           const char *service);

/** Whether an order repeats the one that @a row holds, which may be NULL. */
gboolean qg_rollout_repeats (const Qg__RolloutRow *row, const char *version,
                             QgTime duration, QgTime now);

/** Returns all rows by name of the service, in a new array; the rows belong to
 * @a log. */
Qg__RolloutRow **qg_rollout_log_list (const QgRolloutLog *log, size_t *n);

/** Adds a row of a snapshot. */
void qg_rollout_log_restore (QgRolloutLog *log, const Qg__RolloutRow *row);

/** Checks an order; QG_E_INVALID names the field. */
QgStatus qg_rollout_check_order (const char *service, const char *version,
                                 QgTime duration, QgErr *err);

/** Name of a state for operators. */
const char *qg_rollout_state_name (Qg__RolloutState state);

G_END_DECLS

#endif
