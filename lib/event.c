#include "event.h"

#include <stdarg.h>
#include <stdlib.h>

typedef struct
{
  const char *id;
  int number;
  QgSeverity severity;
  const char *text;
} EventRow;

static const EventRow rows[QG_N_EVENTS] = {
#define QG_EVENT(id, number, severity, text) { #id, number, severity, text },
#include "event.def"
#undef QG_EVENT
};

typedef struct
{
  const char *name;
  GLogLevelFlags level;
  const char *priority; /* syslog priority */
} SeverityRow;

static const SeverityRow severities[QG_N_SEVERITIES] = {
  [QG_SEV_DEBUG] = { "debug", G_LOG_LEVEL_DEBUG, "7" },
  [QG_SEV_INFO] = { "info", G_LOG_LEVEL_INFO, "6" },
  [QG_SEV_NOTICE] = { "notice", G_LOG_LEVEL_MESSAGE, "5" },
  [QG_SEV_WARNING] = { "warning", G_LOG_LEVEL_WARNING, "4" },
  [QG_SEV_ERROR] = { "error", G_LOG_LEVEL_CRITICAL, "3" },
  [QG_SEV_INVARIANT] = { "invariant", G_LOG_LEVEL_CRITICAL, "2" },
};

/* The only state of the library that is global to the process. */
static guint64 counts[QG_N_EVENTS];
static QgSeverity min_severity = QG_SEV_INFO;

static void log_event (QgEvent event, const char *message);
static int compare_numbers (const void *a, const void *b);

int
qg_event_number (QgEvent event)
{
  return rows[event].number;
}

QgSeverity
qg_event_severity (QgEvent event)
{
  return rows[event].severity;
}

const char *
qg_severity_name (QgSeverity severity)
{
  return severities[severity].name;
}

const char *
qg_event_text (QgEvent event)
{
  return rows[event].text;
}

guint64
qg_event_count (QgEvent event)
{
  return counts[event];
}

void
qg_event_set_level (QgSeverity severity)
{
  min_severity = severity;
}

void
qg_event (QgEvent event, const char *format, ...)
{
  va_list args;
  char *message;

  __atomic_fetch_add (&counts[event], 1, __ATOMIC_RELAXED);
  if (rows[event].severity < min_severity)
    return;
  va_start (args, format);
  message = g_strdup_vprintf (format, args);
  va_end (args);
  log_event (event, message);
  g_free (message);
}

gboolean
qg_check_invariant (gboolean holds, QgEvent event, const char *format, ...)
{
  va_list args;
  char *message;

  if (G_LIKELY (holds))
    return TRUE;
  __atomic_fetch_add (&counts[event], 1, __ATOMIC_RELAXED);
  va_start (args, format);
  message = g_strdup_vprintf (format, args);
  va_end (args);
  log_event (event, message);
  g_free (message);
  return FALSE;
}

guint64
qg_invariants_broken (void)
{
  guint64 sum = 0;

  for (int i = 0; i < QG_N_EVENTS; i++)
    if (rows[i].severity == QG_SEV_INVARIANT)
      sum += counts[i];
  return sum;
}

char *
qg_event_catalogue (void)
{
  const EventRow *sorted[QG_N_EVENTS];
  GString *out = g_string_new ("| number | severity | event | meaning |\n"
                               "|---|---|---|---|\n");

  for (int i = 0; i < QG_N_EVENTS; i++)
    sorted[i] = &rows[i];
  qsort (sorted, QG_N_EVENTS, sizeof *sorted, compare_numbers);
  for (int i = 0; i < QG_N_EVENTS; i++)
    g_string_append_printf (out, "| %d | %s | %s | %s |\n", sorted[i]->number,
                            severities[sorted[i]->severity].name, sorted[i]->id,
                            sorted[i]->text);
  return g_string_free (out, FALSE);
}

static void
log_event (QgEvent event, const char *message)
{
  const SeverityRow *severity = &severities[rows[event].severity];
  char number[16];
  GLogField fields[] = {
    { "MESSAGE", message, -1 },
    { "PRIORITY", severity->priority, -1 },
    { "GLIB_DOMAIN", "quetzalgate", -1 },
    { "QG_EVENT", number, -1 },
    { "QG_EVENT_NAME", rows[event].id, -1 },
    { "QG_SEVERITY", severity->name, -1 },
  };

  g_snprintf (number, sizeof number, "%d", rows[event].number);
  g_log_structured_array (severity->level, fields, G_N_ELEMENTS (fields));
}

static int
compare_numbers (const void *a, const void *b)
{
  const EventRow *const *left = a;
  const EventRow *const *right = b;

  return (*left)->number - (*right)->number;
}
