/**
 * @file librsm.h
 * What the files of the replicated state share.
 */
#ifndef QG_LIBRSM_H
#define QG_LIBRSM_H

#include "rsm.h"

/** The process that holds a name. */
typedef struct
{
  QgStr *name;
  guint64 incarnation;
  guint64 epoch; /* index of the command that gave it */
  guint64 replaced[QG_RSM_REPLACED];
  guint n_replaced; /* all ever; the ring holds the last */
  GList *link;      /* its place in order */
} QgEpoch;

/** Names and their epochs; order holds them, oldest epoch first. */
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
};

/* rsm_epoch.c */
void qg_epochs_init (QgEpochs *epochs);
void qg_epochs_clear (QgEpochs *epochs);
void qg_epochs_take (QgEpochs *epochs, guint64 index, const Qg__EpochTake *take,
                     Qg__EpochResult *result);
/** A row for the snapshot, freed with it. */
Qg__EpochRow *qg_epoch_pack (const QgEpoch *epoch);
gboolean qg_epochs_unpack (QgEpochs *epochs, const Qg__EpochRow *row);

#endif
