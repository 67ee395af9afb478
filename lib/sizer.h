/**
 * @file sizer.h
 * Predicts the size class of a request from the size hint of its caller. The
 * hints of a workspace may be wrong by a constant factor; this factor is
 * learned from the completed requests of the workspace. Without a hint, the
 * average size of the workspace's requests is used.
 */
#ifndef QG_SIZER_H
#define QG_SIZER_H

#include "fair.h"

G_BEGIN_DECLS

typedef struct _QgSizer QgSizer;

/** Creates a sizer; requests above @a short_units (0: 256) are long. */
QgSizer *qg_sizer_new (guint64 short_units);
void qg_sizer_free (QgSizer *sizer);

/** Predicts the class of a request; @a hint is in service units; 0: no
 * hint. */
QgClass qg_sizer_class (const QgSizer *sizer, const char *service,
                        const char *workspace, guint64 hint);

/** Records that a request with @a hint took @a units of service. */
void qg_sizer_learn (QgSizer *sizer, const char *service, const char *workspace,
                     guint64 hint, guint64 units);

G_END_DECLS

#endif
