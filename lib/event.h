/**
 * @file event.h
 * Diagnostic events. Each has a number, a severity and a row in
 * docs/EVENTS.md, and is reported with qg_event().
 */
#ifndef QG_EVENT_H
#define QG_EVENT_H

#include "qg.h"

G_BEGIN_DECLS

/** In increasing order, so that events below a severity can be left out. */
typedef enum
{
  QG_SEV_DEBUG,
  QG_SEV_INFO,
  QG_SEV_NOTICE,
  QG_SEV_WARNING,
  QG_SEV_ERROR,
  QG_SEV_INVARIANT, /**< a bug; the operation was stopped before it did harm */
  QG_N_SEVERITIES
} QgSeverity;

/** The events; event.def defines their numbers, severities and texts. */
typedef enum
{
#define QG_EVENT(id, number, severity, text) QG_EV_##id,
#include "event.def"
#undef QG_EVENT
  QG_N_EVENTS
} QgEvent;

/** Returns the number of @a event in the catalogue. */
int qg_event_number (QgEvent event);

QgSeverity qg_event_severity (QgEvent event);

/** Returns the name of @a severity, such as "notice". */
const char *qg_severity_name (QgSeverity severity);

/** Returns one line that says what @a event means and what to do about it. */
const char *qg_event_text (QgEvent event);

/** Returns how often @a event occurred in this process, logged or not. */
guint64 qg_event_count (QgEvent event);

/** Sets the lowest severity that is logged; all events are counted. */
void qg_event_set_level (QgSeverity severity);

/**
 * Counts @a event and reports it through GLib structured logging, with the
 * fields MESSAGE, QG_EVENT (the number), QG_EVENT_NAME and QG_SEVERITY.
 */
void qg_event (QgEvent event, const char *format, ...) G_GNUC_PRINTF (2, 3);

/**
 * Checks an invariant. If @a holds is false, counts and reports @a event
 * (severity invariant) with the message and returns FALSE; the caller must then
 * abandon the operation. Release builds check too.
 */
gboolean qg_check_invariant (gboolean holds, QgEvent event, const char *format,
                             ...) G_GNUC_PRINTF (3, 4);

/** Returns the number of broken invariants in this process, of all kinds. */
guint64 qg_invariants_broken (void);

/**
 * Formats the catalogue as a Markdown table, sorted by number.
 *
 * @return a new string, freed by the caller.
 */
char *qg_event_catalogue (void);

G_END_DECLS

#endif
