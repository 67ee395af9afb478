/**
 * @file librsm.h
 * Internals shared by the rsm*.c files.
 */
#ifndef QG_LIBRSM_H
#define QG_LIBRSM_H

#include "rsm.h"

/** The process that holds a name. */
typedef struct
{
  QgStr *name;
  guint64 incarnation;
  guint64 epoch; /* index of the command that assigned it */
  guint64 replaced[QG_RSM_MAX_REPLACED]; /* ring buffer of incarnations */
  guint n_replaced; /* replaced so far; the ring holds the latest */
  GList *link;      /* in QgEpochs.order */
} QgEpoch;

/** The epochs by name. The member order lists the epochs, oldest first. */
typedef struct
{
  GHashTable *by_name; /* owns */
  GQueue order;
} QgEpochs;

struct _QgRsm
{
  int refs;
  guint64 index;
  QgTime now;
  QgConf *conf;
  QgClaims *claims;
  QgPoison *poison;
  QgEpochs epochs;
  QgManifestLog manifest;
  QgLeaves leaves;
  QgRolloutLog rollouts;
  QgVersionLog versions;
};

/* rsm_epoch.c */
void qg_epochs_init (QgEpochs *epochs);
void qg_epochs_clear (QgEpochs *epochs);
/** Assigns a name to a process, with @a index as its epoch. A process is stale
 * if it is one of the last QG_RSM_MAX_REPLACED processes that were replaced
 * under this name. */
void qg_epochs_apply (QgEpochs *epochs, guint64 index,
                      const Qg__EpochTake *take, Qg__EpochResult *result);
/** Returns a new row, to be owned by the snapshot. */
Qg__EpochRow *qg_epoch_pack (const QgEpoch *epoch);
gboolean qg_epochs_unpack (QgEpochs *epochs, const Qg__EpochRow *row);

#endif
