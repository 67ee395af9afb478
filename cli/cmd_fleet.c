#include "cli.h"

#include <stdio.h>
#include <stdlib.h>

static int report_bad_verb (const char *command);
static gboolean has_verb (const QgCliOptions *options, const char *verb,
                          int n_args);
static void print_dcs (JsonObject *status);
static void print_targets (JsonObject *status);
static void print_members (JsonObject *status);
static void print_suspects (JsonObject *answer);
static void print_message (JsonObject *answer);
static int add_member (const QgCliOptions *options);

int
qg_cmd_dc (const QgCliOptions *options)
{
  g_autofree char *section = NULL;

  if (has_verb (options, "list", 1))
    return qg_cli_call_and_print (options, "GET", "/v1/status", NULL,
                                  print_dcs);
  if (!has_verb (options, "out", 2) && !has_verb (options, "in", 2))
    return report_bad_verb ("dc");
  section = g_strconcat ("dc ", options->args[1], NULL);
  return qg_cli_send_edit (options, section, "state", options->args[0], FALSE);
}

int
qg_cmd_target (const QgCliOptions *options)
{
  g_autofree char *section = NULL;

  if (has_verb (options, "list", 1))
    return qg_cli_call_and_print (options, "GET", "/v1/status", NULL,
                                  print_targets);
  if (options->n_args > 1)
    section = g_strconcat ("target ", options->args[1], NULL);
  if (has_verb (options, "drain", 2))
    return qg_cli_send_edit (options, section, "drain", "yes", TRUE);
  if (has_verb (options, "undrain", 2))
    return qg_cli_send_edit (options, section, "drain", "no", TRUE);
  if (has_verb (options, "version", 3))
    return qg_cli_send_edit (options, section, "version", options->args[2],
                             TRUE);
  return report_bad_verb ("target");
}

int
qg_cmd_member (const QgCliOptions *options)
{
  g_autofree char *path = NULL;

  if (has_verb (options, "list", 1))
    return qg_cli_call_and_print (options, "GET", "/v1/status", NULL,
                                  print_members);
  if (has_verb (options, "add", 3))
    return add_member (options);
  if (!has_verb (options, "remove", 2))
    return report_bad_verb ("member");
  path = g_strconcat ("/v1/members/", options->args[1], NULL);
  return qg_cli_call_and_print (options, "DELETE", path, NULL, print_message);
}

int
qg_cmd_quarantine (const QgCliOptions *options)
{
  g_autofree char *path = NULL;

  if (has_verb (options, "list", 1))
    return qg_cli_call_and_print (options, "GET", "/v1/quarantine", NULL,
                                  print_suspects);
  if (!has_verb (options, "lift", 2))
    return report_bad_verb ("quarantine");
  path = g_str_equal (options->args[1], "all")
             ? g_strdup ("/v1/quarantine")
             : g_strconcat ("/v1/quarantine/", options->args[1], NULL);
  return qg_cli_call_and_print (options, "DELETE", path, NULL, print_message);
}

static gboolean
has_verb (const QgCliOptions *options, const char *verb, int n_args)
{
  return options->n_args == n_args && g_str_equal (options->args[0], verb);
}

static int
report_bad_verb (const char *command)
{
  QgErr err;

  qg_fail (&err, QG_E_INVALID, "see quetzalgate %s --help", command);
  return qg_cli_print_error (&err);
}

static int
add_member (const QgCliOptions *options)
{
  JsonBuilder *builder = json_builder_new ();
  g_autofree char *body = NULL;
  JsonNode *root;

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "name");
  json_builder_add_string_value (builder, options->args[1]);
  json_builder_set_member_name (builder, "address");
  json_builder_add_string_value (builder, options->args[2]);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  body = json_to_string (root, FALSE);
  json_node_unref (root);
  g_object_unref (builder);
  return qg_cli_call_and_print (options, "POST", "/v1/members", body,
                                print_message);
}

static void
print_dcs (JsonObject *status)
{
  JsonArray *rows = qg_json_member_array (status, "dcs");

  for (guint i = 0; rows != NULL && i < json_array_get_length (rows); i++)
    {
      JsonObject *row = json_array_get_object_element (rows, i);

      printf ("%-20s %-20s %s\n", qg_json_member_string (row, "name"),
              qg_json_member_string (row, "region"),
              qg_json_member_string (row, "state"));
    }
}

static void
print_targets (JsonObject *status)
{
  JsonArray *rows = qg_json_member_array (status, "daemon_list");

  printf ("%-20s %-16s %-16s %7s %s\n", "target", "service", "dc", "running",
          "state");
  for (guint i = 0; rows != NULL && i < json_array_get_length (rows); i++)
    {
      JsonObject *row = json_array_get_object_element (rows, i);

      if (g_str_equal (qg_json_member_string (row, "role"), "agent"))
        printf ("%-20s %-16s %-16s %7" G_GUINT64_FORMAT " %s\n",
                qg_json_member_string (row, "name"),
                qg_json_member_string (row, "service"),
                qg_json_member_string (row, "dc"),
                qg_json_member_number (row, "running"),
                qg_json_member_is_true (row, "drains") ? "drains" : "in");
    }
}

static void
print_members (JsonObject *status)
{
  JsonArray *rows = qg_json_member_array (status, "members");
  const char *leader = qg_json_member_string (status, "leader");

  for (guint i = 0; rows != NULL && i < json_array_get_length (rows); i++)
    {
      JsonObject *row = json_array_get_object_element (rows, i);
      const char *name = qg_json_member_string (row, "name");

      printf ("%-20s %-24s %-8s %-12s %" G_GUINT64_FORMAT "\n", name,
              qg_json_member_string (row, "address"),
              g_str_equal (name, leader)              ? "leader"
              : qg_json_member_is_true (row, "voter") ? "voter"
                                                      : "learner",
              qg_json_member_is_true (row, "reachable") ? "reachable"
                                                        : "unreachable",
              qg_json_member_number (row, "match"));
    }
}

static void
print_suspects (JsonObject *answer)
{
  JsonArray *rows = qg_json_member_array (answer, "suspects");

  for (guint i = 0; rows != NULL && i < json_array_get_length (rows); i++)
    {
      JsonObject *row = json_array_get_object_element (rows, i);

      printf ("%s %-16s %-12s %" G_GUINT64_FORMAT " crashes\n",
              qg_json_member_string (row, "fingerprint"),
              qg_json_member_string (row, "service"),
              qg_json_member_string (row, "level"),
              qg_json_member_number (row, "crashes"));
    }
}

static void
print_message (JsonObject *answer)
{
  puts (qg_json_member_string (answer, "message"));
}
