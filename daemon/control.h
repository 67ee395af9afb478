/**
 * @file control.h
 * The control role: one member of the replicated log, with its data folder and
 * the connections to other members and to the daemons that this member serves.
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
/** Uses the operators of @a settings from now on; other settings are not
 * reloaded. */
void qg_control_reload (QgControl *control, QgSettings *settings);

/** Ends the log; changes in progress are answered with QG_E_UNKNOWN. Called by
 * qg_control_free(), and before it by whoever passed callbacks that need what
 * is freed first. */
void qg_control_close (QgControl *control);
void qg_control_free (QgControl *control);

/** Whether this member knows a leader and has not failed. */
gboolean qg_control_is_ready (QgControl *control);

/* Calls for the public HTTP interface: manifests and target registration. All
 * but qg_control_set_manifest_reader() and qg_control_other_leader() fail on a
 * member that is not the leader. */

/** Outcome of a change; @a message describes an error, or why the change had no
 * effect. */
typedef void (*QgControlDone) (gpointer user, QgStatus status,
                               const char *message);

/** Sets the manifest parser; required before the calls below. */
void qg_control_set_manifest_reader (QgControl *control,
                                     QgManifestReadFunc read);

/**
 * Accepts @a text when its version is the highest so far; any other version is
 * acknowledged and changes nothing.
 *
 * @param done QG_OK, QG_E_INVALID, QG_E_NOT_LEADER, QG_E_UNAVAILABLE or
 *   QG_E_UNKNOWN; called once, possibly before this call returns.
 */
void qg_control_put_manifest (QgControl *control, GBytes *text,
                              QgControlDone done, gpointer user);

/** The newest manifest as it was received, or NULL with @a err. */
GBytes *qg_control_manifest (QgControl *control, QgErr *err);

/** Drains a data centre or ends its drain; @a done as for
 * qg_control_put_manifest(). */
void qg_control_drain_dc (QgControl *control, const char *dc, gboolean drained,
                          QgControlDone done, gpointer user);

/** Records a heartbeat of a target; @a done as for qg_control_put_manifest(),
 * after a quorum has stored that the target leaves if it does. */
void qg_control_heartbeat (QgControl *control, const QgHeartbeat *heartbeat,
                           QgControlDone done, gpointer user);

/** Deregisters the target @a id; @a born_ms is 0 when the request states no
 * start time. @a done as for qg_control_heartbeat(). */
void qg_control_deregister (QgControl *control, const char *id, guint64 born_ms,
                            QgControlDone done, gpointer user);

/** The process of the target @a id that started at @a born_ms (0: not stated)
 * has taken the answer to a call of its own, a deregistration if @a left; the
 * answer was sent at @a at or later. */
void qg_control_target_answered (QgControl *control, const char *id,
                                 guint64 born_ms, gboolean left, QgTime at);

/** Begins to move @a service to targets of @a version, within @a duration.
 * @a done as for qg_control_put_manifest(); QG_OK also for an order that is
 * repeated, QG_E_INVALID while another rollout of the service is in progress.
 */
void qg_control_begin_rollout (QgControl *control, const char *service,
                               const char *version, QgTime duration,
                               QgControlDone done, gpointer user);

/** The last rollout of @a service, or NULL with @a err: QG_E_NOT_FOUND,
 * QG_E_NOT_LEADER or QG_E_UNAVAILABLE. */
const Qg__RolloutRow *qg_control_rollout (QgControl *control,
                                          const char *service, QgErr *err);

/** Name of the leader if another member leads; NULL if this member leads or no
 * leader is known. */
const char *qg_control_other_leader (QgControl *control);

void qg_control_add_metrics (QgControl *control, QgMetrics *metrics);

G_END_DECLS

#endif
