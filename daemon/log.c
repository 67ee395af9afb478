#include "log.h"

#include "clock.h"
#include "lib/logbudget.h"

#include <errno.h>
#include <fcntl.h>
#include <json-glib/json-glib.h>
#include <string.h>
#include <unistd.h>

/* The GLib log fields of one log line. */
typedef struct
{
  const char *message;
  const char *event;
  const char *name;
  const char *severity;
} LogLine;

typedef struct
{
  char *process;
  QgLogFormat format;
  QgLogBudget budget;
  GByteArray *unsent; /* bytes that standard output has not accepted yet */
} LogOptions;

enum
{
  /** Bytes buffered for a slow log reader; lines beyond that are dropped. */
  MAX_UNSENT_BYTES = 64 * 1024,
};

static GLogWriterOutput write_log (GLogLevelFlags level,
                                   const GLogField *fields, gsize n,
                                   gpointer user);
static void read_fields (LogLine *line, const GLogField *fields, gsize n);
static gboolean check_budget (LogOptions *options, const LogLine *line);
static void write_line (LogOptions *options, const LogLine *line);
static char *format_text (const LogOptions *options, const char *when,
                          const LogLine *line);
static char *format_json (const LogOptions *options, const char *when,
                          const LogLine *line);
static void write_out (LogOptions *options, const char *text);

void
qg_log_start (const char *process, QgLogFormat format, QgSeverity min_severity)
{
  LogOptions *options = g_new0 (LogOptions, 1);

  options->process = g_strdup (process);
  options->format = format;
  qg_event_set_level (min_severity);
  options->unsent = g_byte_array_new ();
  /* A log reader that is slow or gone must not block the process. */
  fcntl (STDOUT_FILENO, F_SETFL, fcntl (STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  g_log_set_writer_func (write_log, options, NULL);
}

static GLogWriterOutput
write_log (GLogLevelFlags level, const GLogField *fields, gsize n,
           gpointer user)
{
  /* The disk thread of a control member logs too. */
  static GMutex lock;
  LogOptions *options = user;
  LogLine line = { "", "0", "GLIB", "warning" };

  read_fields (&line, fields, n);
  /* Messages of libraries are logged only from warning severity up. */
  if (g_str_equal (line.event, "0") && level > G_LOG_LEVEL_WARNING)
    return G_LOG_WRITER_HANDLED;
  g_mutex_lock (&lock);
  if (check_budget (options, &line))
    write_line (options, &line);
  g_mutex_unlock (&lock);
  return G_LOG_WRITER_HANDLED;
}

/* Applies the log budget, and reports dropped lines. Lines of a request start
 * with "id=", other lines do not. */
static gboolean
check_budget (LogOptions *options, const LogLine *line)
{
  QgTime now = qg_clock_now ();
  const char *id
      = g_str_has_prefix (line->message, "id=") ? line->message + 3 : NULL;
  gsize len = id != NULL ? strcspn (id, " ") : 0;
  guint64 n_dropped_lines;

  if (!qg_log_budget_admit (&options->budget, id, len, now))
    return FALSE;
  n_dropped_lines = qg_log_budget_report (&options->budget, now);
  if (n_dropped_lines > 0)
    {
      g_autofree char *text
          = g_strdup_printf ("lines=%" G_GUINT64_FORMAT " kept=1/%u",
                             n_dropped_lines, 1u << options->budget.shift);
      g_autofree char *number
          = g_strdup_printf ("%d", qg_event_number (QG_EV_LOG_DROPPED));
      LogLine report = { text, number, "LOG_DROPPED", "notice" };

      write_line (options, &report);
    }
  return TRUE;
}

static void
write_line (LogOptions *options, const LogLine *line)
{
  GDateTime *now = g_date_time_new_now_utc ();
  char *when = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S.%fZ");
  char *text = options->format == QG_LOG_JSON
                   ? format_json (options, when, line)
                   : format_text (options, when, line);

  write_out (options, text);
  g_free (text);
  g_free (when);
  g_date_time_unref (now);
}

/* Writes whole lines only: a line that does not fit the buffer is dropped. */
static void
write_out (LogOptions *options, const char *text)
{
  gsize len = strlen (text);
  ssize_t n;

  if (options->unsent->len + len > MAX_UNSENT_BYTES)
    {
      options->budget.n_dropped_lines++;
      return;
    }
  g_byte_array_append (options->unsent, (const guint8 *)text, (guint)len);
  n = write (STDOUT_FILENO, options->unsent->data, options->unsent->len);
  if (n > 0)
    g_byte_array_remove_range (options->unsent, 0, (guint)n);
  else if (n < 0 && errno != EAGAIN && errno != EINTR)
    g_byte_array_set_size (options->unsent, 0);
}

static void
read_fields (LogLine *line, const GLogField *fields, gsize n)
{
  for (gsize i = 0; i < n; i++)
    {
      const char *value = fields[i].value;

      if (fields[i].length >= 0)
        continue;
      if (g_str_equal (fields[i].key, "MESSAGE"))
        line->message = value;
      else if (g_str_equal (fields[i].key, "QG_EVENT"))
        line->event = value;
      else if (g_str_equal (fields[i].key, "QG_EVENT_NAME"))
        line->name = value;
      else if (g_str_equal (fields[i].key, "QG_SEVERITY"))
        line->severity = value;
    }
}

static char *
format_text (const LogOptions *options, const char *when, const LogLine *line)
{
  return g_strdup_printf ("%s %s %s %s %s: %s\n", when, options->process,
                          line->severity, line->event, line->name,
                          line->message);
}

static char *
format_json (const LogOptions *options, const char *when, const LogLine *line)
{
  const char *const members[][2] = {
    { "time", when },
    { "process", options->process },
    { "severity", line->severity },
    { "event", line->event },
    { "name", line->name },
    { "message", line->message },
  };
  JsonObject *object = json_object_new ();
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  char *text;
  char *whole;

  for (gsize i = 0; i < G_N_ELEMENTS (members); i++)
    {
      char *valid = g_utf8_make_valid (members[i][1], -1);

      json_object_set_string_member (object, members[i][0], valid);
      g_free (valid);
    }
  json_node_take_object (node, object);
  text = json_to_string (node, FALSE);
  json_node_unref (node);
  whole = g_strconcat (text, "\n", NULL);
  g_free (text);
  return whole;
}
