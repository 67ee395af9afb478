/**
 * @file log.h
 * Writes the structured log of the process to standard output: one line per
 * event, as text or as a JSON object.
 */
#ifndef QG_LOG_H
#define QG_LOG_H

#include "lib/event.h"
#include "lib/settings.h"

G_BEGIN_DECLS

/** Installs the log writer of this process in GLib. Must be called once. */
void qg_log_start (const char *process, QgLogFormat format,
                   QgSeverity min_severity);

G_END_DECLS

#endif
