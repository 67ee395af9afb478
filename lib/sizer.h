/**
 * @file sizer.h
 * Size class of a request from its hint, which may be wrong by a factor of
 * its workspace's own: the factor is learned from the requests that ended.
 * Without a hint, the workspace's usual size counts.
 */
#ifndef QG_SIZER_H
#define QG_SIZER_H

#include "fair.h"

G_BEGIN_DECLS

typedef struct _QgSizer QgSizer;

/** Requests of more than @a short_units are long (0: 256). */
QgSizer *qg_sizer_new (guint64 short_units);
void qg_sizer_free (QgSizer *sizer);

/** Class of a request; @a hint in service units, 0 = none. */
QgClass qg_sizer_class (const QgSizer *sizer, const char *service,
                        const char *workspace, guint64 hint);

/** A request that came with @a hint ended after @a units of service. */
void qg_sizer_learn (QgSizer *sizer, const char *service, const char *workspace,
                     guint64 hint, guint64 units);

G_END_DECLS

#endif
