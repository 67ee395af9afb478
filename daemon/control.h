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
#include "board.h"
#include "lib/registry.h"
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

/** The calls below serve operators of a manifest and targets that announce
 * themselves; all but the last need the leader. */

/** Outcome of a change; @a message says what went wrong. */
typedef void (*QgControlDone) (gpointer user, QgStatus status,
                               const char *message);

/** How the texts of manifests are read; needed by the calls below. */
void qg_control_set_reader (QgControl *control, QgManifestRead read);

/**
 * Accepts @a text when its version is the highest; a version that is held or
 * overtaken is acknowledged and changes nothing.
 *
 * @param done QG_OK, QG_E_INVALID, QG_E_NOT_LEADER, QG_E_UNAVAILABLE or
 *   QG_E_UNKNOWN; called once, perhaps before this call returns.
 */
void qg_control_put_manifest (QgControl *control, GBytes *text,
                              QgControlDone done, gpointer user);

/** The newest manifest as it was sent, or NULL with @a err. */
GBytes *qg_control_manifest (QgControl *control, QgErr *err);

/** Drains a data centre or takes it back; as qg_control_put_manifest(). */
void qg_control_drain_dc (QgControl *control, const char *dc, gboolean drained,
                          QgControlDone done, gpointer user);

/** Takes a heartbeat of a target. */
QgStatus qg_control_beat (QgControl *control, const QgHeartbeat *beat,
                          QgErr *err);

/** The target @a id leaves; @a born_ms 0 when it did not say. */
QgStatus qg_control_leave (QgControl *control, const char *id, guint64 born_ms,
                           QgErr *err);

/** The name of the leader when it is another member, else NULL. */
const char *qg_control_leader (QgControl *control);

void qg_control_add_metrics (QgControl *control, QgMetrics *metrics);

G_END_DECLS

#endif
