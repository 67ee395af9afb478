/**
 * @file version_log.h
 * The replicated record of the versions of the targets' software: those that
 * targets of a service have, or had until recently. A deterministic state
 * machine, part of QgRsm.
 *
 * A leader knows targets only from their heartbeats since its election. It lets
 * no relay use a target before the log holds its version, so that every later
 * leader can say at which versions streams may have begun, whatever became of
 * the targets.
 *
 * Guarantee: applying a command twice has the same effect as applying it once.
 */
#ifndef QG_VERSION_LOG_H
#define QG_VERSION_LOG_H

#include "proto/state.pb-c.h"
#include "qg.h"

G_BEGIN_DECLS

enum
{
  /** Versions held. Targets of more have to wait until others have ended. */
  QG_VERSIONS_MAX = 1024
};

typedef struct
{
  GPtrArray *rows; /**< Qg__ServiceVersion, in the order of their commands */
} QgVersionLog;

void qg_version_log_init (QgVersionLog *log);
void qg_version_log_clear (QgVersionLog *log);

/** Applies one command; TRUE if that changed the state. */
gboolean qg_version_log_apply (QgVersionLog *log,
                               const Qg__VersionCommand *command);

/** Adds a row of a snapshot. */
void qg_version_log_restore (QgVersionLog *log, const Qg__ServiceVersion *row);

/** Whether targets of @a service have @a version, or had until recently. */
gboolean qg_version_log_has (const QgVersionLog *log, const char *service,
                             const char *version);

/** A key for tables of the versions of services. Transfer full. */
char *qg_version_key (const char *service, const char *version);

G_END_DECLS

#endif
