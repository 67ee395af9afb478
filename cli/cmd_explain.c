/**
 * @file cmd_explain.c
 * Traces one request through the JSON logs of the processes that handled it.
 */
#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** A log line about the request. */
typedef struct
{
  char *time;
  char *process;
  char *name;
  char *message;
} LogLine;

static gboolean read_file (const char *path, const char *id, GPtrArray *lines);
static void parse_line (const char *line, const char *id, GPtrArray *lines);
static gboolean is_about (const char *message, const char *id);
static gint compare_times (gconstpointer a, gconstpointer b);
static void log_line_free (gpointer data);

int
qg_cmd_explain (const QgCliOptions *options)
{
  GPtrArray *lines = g_ptr_array_new_with_free_func (log_line_free);
  const char *id = options->args[0];
  int code = EXIT_SUCCESS;

  for (int i = 1; i < options->n_args; i++)
    if (!read_file (options->args[i], id, lines))
      code = qg_status_exit (QG_E_IO);
  g_ptr_array_sort (lines, compare_times);
  for (guint i = 0; i < lines->len; i++)
    {
      const LogLine *entry = g_ptr_array_index (lines, i);

      printf ("%s %s %s %s\n", entry->time, entry->process, entry->name,
              entry->message);
    }
  if (lines->len == 0 && code == EXIT_SUCCESS)
    {
      fprintf (stderr,
               "quetzalgate: no log line mentions request %s; give the logs of "
               "all relays, and look for LOG_DROPPED: under load only some "
               "requests are logged\n",
               id);
      code = qg_status_exit (QG_E_NOT_FOUND);
    }
  g_ptr_array_unref (lines);
  return code;
}

static gboolean
read_file (const char *path, const char *id, GPtrArray *lines)
{
  FILE *file = fopen (path, "r");
  char *line = NULL;
  size_t size = 0;

  if (file == NULL)
    {
      fprintf (stderr, "quetzalgate: cannot read %s; check its path\n", path);
      return FALSE;
    }
  while (getline (&line, &size, file) >= 0)
    if (strstr (line, id) != NULL)
      parse_line (line, id, lines);
  free (line);
  fclose (file);
  return TRUE;
}

/* Text before the JSON is skipped: log collectors may add a prefix. */
static void
parse_line (const char *line, const char *id, GPtrArray *lines)
{
  const char *start = strchr (line, '{');
  g_autoptr (JsonParser) parser = json_parser_new ();
  JsonNode *node;
  JsonObject *object;
  LogLine *entry;

  if (start == NULL || !json_parser_load_from_data (parser, start, -1, NULL))
    return;
  node = json_parser_get_root (parser);
  if (node == NULL || !JSON_NODE_HOLDS_OBJECT (node))
    return;
  object = json_node_get_object (node);
  if (!is_about (qg_json_member_string (object, "message"), id))
    return;
  entry = g_new (LogLine, 1);
  entry->time = g_strdup (qg_json_member_string (object, "time"));
  entry->process = g_strdup (qg_json_member_string (object, "process"));
  entry->name = g_strdup (qg_json_member_string (object, "name"));
  entry->message = g_strdup (qg_json_member_string (object, "message"));
  g_ptr_array_add (lines, entry);
}

static gboolean
is_about (const char *message, const char *id)
{
  gsize len = strlen (id);
  const char *at = strstr (message, "id=");

  return at != NULL && strncmp (at + 3, id, len) == 0
         && (at[3 + len] == ' ' || at[3 + len] == '\0');
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  const LogLine *const *left = a;
  const LogLine *const *right = b;

  return strcmp ((*left)->time, (*right)->time);
}

static void
log_line_free (gpointer data)
{
  LogLine *entry = data;

  g_free (entry->time);
  g_free (entry->process);
  g_free (entry->name);
  g_free (entry->message);
  g_free (entry);
}
