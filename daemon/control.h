/**
 * @file control.h
 * The control role: one member of the replicated log, with its data folder,
 * its links to the other members and to the daemons that it serves.
 */
#ifndef QG_CONTROL_H
#define QG_CONTROL_H

#include "lib/cons.h"
#include "lib/rsm.h"
#include "lib/settings.h"
#include "metrics.h"

G_BEGIN_DECLS

typedef struct QgControl QgControl;

/** Reads the data folder and starts the member; NULL with @a err. */
QgControl *qg_control_new (QgSettings *settings, GBytes *fleet_key, QgErr *err);
/** Takes the operators of @a settings; the rest stays as it was. */
void qg_control_reload (QgControl *control, QgSettings *settings);

void qg_control_free (QgControl *control);

/** Whether this member knows a leader and its disk works. */
gboolean qg_control_is_ready (QgControl *control);

void qg_control_add_metrics (QgControl *control, QgMetrics *metrics);

G_END_DECLS

#endif
