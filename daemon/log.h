/**
 * @file log.h
 * Writes the structured log of the process to standard error: one line an
 * event, as text or as a JSON object.
 */
#ifndef QG_LOG_H
#define QG_LOG_H

#include "lib/event.h"
#include "lib/settings.h"

G_BEGIN_DECLS

/** Takes over GLib's log writing for this process. */
void qg_log_start (const char *process, QgLogFormat format, QgSeverity lowest);

G_END_DECLS

#endif
