#include "cli.h"

#include <stdio.h>

static int begin (const QgCliOptions *options);
static int report_bad_verb (void);
static void print_rollouts (JsonObject *answer);
static void print_message (JsonObject *answer);

int
qg_cmd_rollout (const QgCliOptions *options)
{
  const char *verb = options->args[0];
  g_autofree char *path = NULL;

  if (g_str_equal (verb, "status") && options->n_args == 1)
    return qg_cli_call_and_print (options, "GET", "/v1/rollouts", NULL,
                                  print_rollouts);
  if (g_str_equal (verb, "begin") && options->n_args == 4)
    return begin (options);
  if (!g_str_equal (verb, "abort") || options->n_args != 2)
    return report_bad_verb ();
  path = g_strconcat ("/v1/rollouts/", options->args[1], NULL);
  return qg_cli_call_and_print (options, "DELETE", path, NULL, print_message);
}

static int
report_bad_verb (void)
{
  QgErr err;

  qg_fail (&err, QG_E_INVALID, "see quetzalgate rollout --help");
  return qg_cli_print_error (&err);
}

static int
begin (const QgCliOptions *options)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;
  g_autofree char *body = NULL;
  guint64 seconds;

  if (!g_ascii_string_to_unsigned (options->args[3], 10, 1, G_MAXUINT32,
                                   &seconds, NULL))
    return report_bad_verb ();
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "service");
  json_builder_add_string_value (builder, options->args[1]);
  json_builder_set_member_name (builder, "version");
  json_builder_add_string_value (builder, options->args[2]);
  json_builder_set_member_name (builder, "duration_s");
  json_builder_add_int_value (builder, (gint64)seconds);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  body = json_to_string (root, FALSE);
  return qg_cli_call_and_print (options, "POST", "/v1/rollouts", body,
                                print_message);
}

static void
print_rollouts (JsonObject *answer)
{
  JsonArray *rows = qg_json_member_array (answer, "rollouts");

  for (guint i = 0; rows != NULL && i < json_array_get_length (rows); i++)
    {
      JsonObject *row = json_array_get_object_element (rows, i);

      printf ("%-20s %-16s %-12s %s\n", qg_json_member_string (row, "service"),
              qg_json_member_string (row, "version"),
              qg_json_member_string (row, "state"),
              qg_json_member_string (row, "reason"));
    }
}

static void
print_message (JsonObject *answer)
{
  puts (qg_json_member_string (answer, "message"));
}
