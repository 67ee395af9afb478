/**
 * @file leave.h
 * The replicated record of the targets that leave: those whose leave control
 * acknowledged. A deterministic state machine, part of QgRsm. A new leader
 * fills its table of targets (registry.h) from it, so that heartbeats from
 * before a leave are recognized as late.
 *
 * Guarantees: of two incarnations with the same id, the one started later is
 * held; a target that deregistered stays so; applying a record twice has the
 * same effect as applying it once.
 */
#ifndef QG_LEAVE_H
#define QG_LEAVE_H

#include "proto/state.pb-c.h"
#include "qg.h"

G_BEGIN_DECLS

enum
{
  /** Targets held; if there are more, the one that left first is dropped. A
   * release replaces all targets of a fleet of hundreds within minutes. */
  QG_LEAVES_MAX = 1024
};

typedef struct
{
  GHashTable *by_id; /**< id to link in order */
  GQueue order;      /**< Qg__TargetLeave, oldest first */
} QgLeaves;

void qg_leaves_init (QgLeaves *leaves);
void qg_leaves_clear (QgLeaves *leaves);

/** Records a leave; TRUE if that changed the state. */
gboolean qg_leaves_apply (QgLeaves *leaves, const Qg__TargetLeave *leave);

/** Returns all records, oldest first, in a new array; the records belong to
 * @a leaves. */
Qg__TargetLeave **qg_leaves_list (const QgLeaves *leaves, size_t *n);

G_END_DECLS

#endif
