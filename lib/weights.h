/**
 * @file weights.h
 * Which versions of the weights the answers of a service have stated lately, to
 * tell whether its streams may have several. Without I/O.
 */
#ifndef QG_WEIGHTS_H
#define QG_WEIGHTS_H

#include "qg.h"

G_BEGIN_DECLS

/** How long a statement counts: longer than a caller waits for a stream. */
#define QG_WEIGHTS_HOLD (60 * QG_SEC)

typedef struct _QgWeights QgWeights;

QgWeights *qg_weights_new (void);
void qg_weights_free (QgWeights *weights);

/** An answer of @a service, or an event in it, stated the version @a stated of
 * the weights (-1: none). TRUE if the service has several from now on. */
gboolean qg_weights_add (QgWeights *weights, const char *service, gint64 stated,
                         QgTime now);
/** Whether two versions were stated within QG_WEIGHTS_HOLD of each other, the
 * second one no longer ago than that. */
gboolean qg_weights_has_several (const QgWeights *weights, const char *service,
                                 QgTime now);
/** Whether that holds for any service. */
gboolean qg_weights_any_several (const QgWeights *weights, QgTime now);

G_END_DECLS

#endif
