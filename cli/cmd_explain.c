/**
 * @file cmd_explain.c
 * The way of one request, from the JSON logs of the processes that it met.
 */
#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** A log line that names the request. */
typedef struct
{
  char *time;
  char *process;
  char *name;
  char *message;
} Step;

static gboolean read_file (const char *path, const char *id, GPtrArray *steps);
static void take_line (const char *line, const char *id, GPtrArray *steps);
static gboolean names (const char *message, const char *id);
static gint by_time (gconstpointer a, gconstpointer b);
static void step_free (gpointer data);

int
qg_cmd_explain (const QgCliOptions *options)
{
  GPtrArray *steps = g_ptr_array_new_with_free_func (step_free);
  const char *id = options->args[0];
  int code = EXIT_SUCCESS;

  for (int i = 1; i < options->n_args; i++)
    if (!read_file (options->args[i], id, steps))
      code = qg_status_exit (QG_E_IO);
  g_ptr_array_sort (steps, by_time);
  for (guint i = 0; i < steps->len; i++)
    {
      const Step *step = g_ptr_array_index (steps, i);

      printf ("%s %s %s %s\n", step->time, step->process, step->name,
              step->message);
    }
  if (steps->len == 0 && code == EXIT_SUCCESS)
    {
      fprintf (stderr,
               "quetzalgate: no line names the request %s; give the logs of "
               "all relays, and look for LOG_DROPPED: under load only a part "
               "of the requests is logged\n",
               id);
      code = qg_status_exit (QG_E_NOT_FOUND);
    }
  g_ptr_array_unref (steps);
  return code;
}

static gboolean
read_file (const char *path, const char *id, GPtrArray *steps)
{
  FILE *file = fopen (path, "r");
  char *line = NULL;
  size_t size = 0;

  if (file == NULL)
    {
      fprintf (stderr, "quetzalgate: %s cannot be read; check its path\n",
               path);
      return FALSE;
    }
  while (getline (&line, &size, file) >= 0)
    if (strstr (line, id) != NULL)
      take_line (line, id, steps);
  free (line);
  fclose (file);
  return TRUE;
}

/* What collects the logs may put something before each line. */
static void
take_line (const char *line, const char *id, GPtrArray *steps)
{
  const char *start = strchr (line, '{');
  g_autoptr (JsonParser) parser = json_parser_new ();
  JsonNode *node;
  JsonObject *object;
  Step *step;

  if (start == NULL || !json_parser_load_from_data (parser, start, -1, NULL))
    return;
  node = json_parser_get_root (parser);
  if (node == NULL || !JSON_NODE_HOLDS_OBJECT (node))
    return;
  object = json_node_get_object (node);
  if (!names (qg_member_string (object, "message"), id))
    return;
  step = g_new (Step, 1);
  step->time = g_strdup (qg_member_string (object, "time"));
  step->process = g_strdup (qg_member_string (object, "process"));
  step->name = g_strdup (qg_member_string (object, "name"));
  step->message = g_strdup (qg_member_string (object, "message"));
  g_ptr_array_add (steps, step);
}

static gboolean
names (const char *message, const char *id)
{
  gsize len = strlen (id);
  const char *at = strstr (message, "id=");

  return at != NULL && strncmp (at + 3, id, len) == 0
         && (at[3 + len] == ' ' || at[3 + len] == '\0');
}

static gint
by_time (gconstpointer a, gconstpointer b)
{
  const Step *const *left = a;
  const Step *const *right = b;

  return strcmp ((*left)->time, (*right)->time);
}

static void
step_free (gpointer data)
{
  Step *step = data;

  g_free (step->time);
  g_free (step->process);
  g_free (step->name);
  g_free (step->message);
  g_free (step);
}
