/**
 * @file event.h
 * All diagnostics: every event has a number, a severity and a row in
 * docs/EVENTS.md, and goes out through qg_event().
 */
#ifndef QG_EVENT_H
#define QG_EVENT_H

#include "qg.h"

G_BEGIN_DECLS

/** Ordered by severity; a reader can filter from a level upwards. */
typedef enum
{
  QG_SEV_DEBUG,
  QG_SEV_INFO,
  QG_SEV_NOTICE,
  QG_SEV_WARNING,
  QG_SEV_ERROR,
  QG_SEV_INVARIANT, /**< a bug: the step was stopped before it did harm */
  QG_N_SEVERITIES
} QgSeverity;

/** The events; event.def holds their numbers, severities and texts. */
typedef enum
{
#define QG_EVENT(id, number, severity, text) QG_EV_##id,
#include "event.def"
#undef QG_EVENT
  QG_N_EVENTS
} QgEvent;

/** The number of @a event in the catalogue; numbers are never reused. */
int qg_event_number (QgEvent event);

/** The severity of @a event. */
QgSeverity qg_event_severity (QgEvent event);

/** Short name of @a severity ("notice"). */
const char *qg_severity_name (QgSeverity severity);

/** One line on what @a event means and what to do. */
const char *qg_event_text (QgEvent event);

/** How often @a event was reported in this process. */
guint64 qg_event_count (QgEvent event);

/** Lowest severity that is written; counters count all. */
void qg_event_set_level (QgSeverity severity);

/**
 * Reports @a event through GLib structured logging with the fields QG_EVENT
 * and MESSAGE, and counts it.
 */
void qg_event (QgEvent event, const char *format, ...) G_GNUC_PRINTF (2, 3);

/**
 * An invariant: when @a holds is false, reports @a event (severity invariant)
 * with the message, and returns FALSE; the caller must then stop its step.
 * Stays on in release builds.
 */
gboolean qg_holds (gboolean holds, QgEvent event, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/** Number of invariants broken in this process, over all events. */
guint64 qg_invariants_broken (void);

/**
 * Prints the catalogue as a Markdown table, sorted by number.
 *
 * @return a new string, freed by the caller.
 */
char *qg_event_catalogue (void);

G_END_DECLS

#endif
