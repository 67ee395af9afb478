#include "log.h"

#include <json-glib/json-glib.h>
#include <stdio.h>

/* Where each GLib log field goes. */
typedef struct
{
  const char *message;
  const char *event;
  const char *name;
  const char *severity;
} Line;

typedef struct
{
  char *process;
  QgLogFormat format;
} LogOptions;

static GLogWriterOutput write_log (GLogLevelFlags level,
                                   const GLogField *fields, gsize n,
                                   gpointer user);
static void read_fields (Line *line, const GLogField *fields, gsize n);
static void write_text (const LogOptions *options, const char *when,
                        const Line *line);
static void write_json (const LogOptions *options, const char *when,
                        const Line *line);

void
qg_log_start (const char *process, QgLogFormat format, QgSeverity lowest)
{
  LogOptions *options = g_new0 (LogOptions, 1);

  options->process = g_strdup (process);
  options->format = format;
  qg_event_set_level (lowest);
  g_log_set_writer_func (write_log, options, NULL);
}

static GLogWriterOutput
write_log (GLogLevelFlags level, const GLogField *fields, gsize n,
           gpointer user)
{
  const LogOptions *options = user;
  Line line = { "", "0", "GLIB", "warning" };
  GDateTime *now;
  char *when;

  read_fields (&line, fields, n);
  /* Libraries are heard only when something is wrong. */
  if (g_str_equal (line.event, "0") && level > G_LOG_LEVEL_WARNING)
    return G_LOG_WRITER_HANDLED;
  now = g_date_time_new_now_utc ();
  when = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S.%fZ");
  if (options->format == QG_LOG_JSON)
    write_json (options, when, &line);
  else
    write_text (options, when, &line);
  g_free (when);
  g_date_time_unref (now);
  return G_LOG_WRITER_HANDLED;
}

static void
read_fields (Line *line, const GLogField *fields, gsize n)
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

static void
write_text (const LogOptions *options, const char *when, const Line *line)
{
  fprintf (stderr, "%s %s %s %s %s: %s\n", when, options->process,
           line->severity, line->event, line->name, line->message);
}

static void
write_json (const LogOptions *options, const char *when, const Line *line)
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

  for (gsize i = 0; i < G_N_ELEMENTS (members); i++)
    {
      char *valid = g_utf8_make_valid (members[i][1], -1);

      json_object_set_string_member (object, members[i][0], valid);
      g_free (valid);
    }
  json_node_take_object (node, object);
  text = json_to_string (node, FALSE);
  fprintf (stderr, "%s\n", text);
  g_free (text);
  json_node_unref (node);
}
