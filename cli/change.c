#include "cli.h"

#include <stdio.h>
#include <stdlib.h>

#define POLL_INTERVAL (100 * QG_MSEC)

static char *finish_body (const QgCliOptions *options, JsonBuilder *members,
                          const char *change_id);
static void print_result (const QgCliOptions *options,
                          const QgCliAnswer *answer);
static void print_conflict (const QgCliAnswer *answer);
static int wait_until_in_force (const QgCliOptions *options, QgClient *client,
                                guint64 revision);

int
qg_cli_send_change (const QgCliOptions *options, JsonBuilder *members)
{
  const char *path
      = qg_opt_given (options, QG_OPT_DRY_RUN) ? "/v1/check" : "/v1/changes";
  g_autofree char *change_id = qg_opt_given (options, QG_OPT_CHANGE_ID)
                                   ? g_strdup (options->text[QG_OPT_CHANGE_ID])
                                   : g_uuid_string_random ();
  g_autofree char *body = finish_body (options, members, change_id);
  QgCliAnswer answer = { 0 };
  QgErr err;
  QgClient *client = qg_cli_client_new (options, &err);
  QgStatus status;
  int code;

  if (client == NULL)
    return qg_cli_print_error (&err);
  status = qg_client_call (client, "POST", path, body, &answer, &err);
  if (status == QG_OK)
    {
      print_result (options, &answer);
      code = EXIT_SUCCESS;
      if (qg_opt_given (options, QG_OPT_WAIT) && answer.json != NULL)
        code = wait_until_in_force (
            options, client,
            qg_json_member_number (json_node_get_object (answer.json),
                                   "revision"));
    }
  else
    {
      code = qg_cli_print_error (&err);
      if (status == QG_E_CONFLICT)
        print_conflict (&answer);
      if (status == QG_E_UNKNOWN)
        fprintf (stderr,
                 "quetzalgate: to learn the outcome, send the change again "
                 "with --change-id %s\n",
                 change_id);
    }
  qg_cli_answer_clear (&answer);
  qg_client_free (client);
  return code;
}

int
qg_cli_send_edit (const QgCliOptions *options, const char *section,
                  const char *key, const char *value, gboolean create)
{
  JsonBuilder *builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "edits");
  json_builder_begin_array (builder);
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "section");
  json_builder_add_string_value (builder, section);
  json_builder_set_member_name (builder, "key");
  json_builder_add_string_value (builder, key);
  json_builder_set_member_name (builder, "value");
  json_builder_add_string_value (builder, value);
  json_builder_set_member_name (builder, "create");
  json_builder_add_boolean_value (builder, create);
  json_builder_end_object (builder);
  json_builder_end_array (builder);
  return qg_cli_send_change (options, builder);
}

/* Adds the change id, closes the object and frees the builder. The caller
 * frees the JSON text. */
static char *
finish_body (const QgCliOptions *options, JsonBuilder *members,
             const char *change_id)
{
  JsonNode *root;
  char *body;

  json_builder_set_member_name (members, "change_id");
  json_builder_add_string_value (members, change_id);
  json_builder_end_object (members);
  root = json_builder_get_root (members);
  body = json_to_string (root, FALSE);
  json_node_unref (root);
  g_object_unref (members);
  return body;
}

static void
print_result (const QgCliOptions *options, const QgCliAnswer *answer)
{
  JsonObject *object;

  if (qg_opt_given (options, QG_OPT_JSON) || answer->json == NULL
      || !JSON_NODE_HOLDS_OBJECT (answer->json))
    {
      puts (answer->text);
      return;
    }
  object = json_node_get_object (answer->json);
  printf ("%s: revision %" G_GUINT64_FORMAT "\n",
          qg_json_member_string (object, "message"),
          qg_json_member_number (object, "revision"));
}

static void
print_conflict (const QgCliAnswer *answer)
{
  JsonArray *overlap;

  if (answer->json == NULL || !JSON_NODE_HOLDS_OBJECT (answer->json))
    return;
  overlap
      = qg_json_member_array (json_node_get_object (answer->json), "overlap");
  for (guint i = 0; overlap != NULL && i < json_array_get_length (overlap); i++)
    fprintf (stderr, "  [%s] was changed by others too\n",
             json_array_get_string_element (overlap, i));
}

static int
wait_until_in_force (const QgCliOptions *options, QgClient *client,
                     guint64 revision)
{
  QgTime deadline
      = g_get_monotonic_time () + (QgTime)options->number[QG_OPT_WAIT] * QG_SEC;
  QgCliAnswer answer = { 0 };
  QgErr err;

  for (;;)
    {
      JsonObject *status;
      guint64 in_force;
      guint64 daemons;

      if (qg_client_call (client, "GET", "/v1/status", NULL, &answer, &err)
              != QG_OK
          || answer.json == NULL || !JSON_NODE_HOLDS_OBJECT (answer.json))
        return qg_cli_print_error (&err);
      status = json_node_get_object (answer.json);
      in_force = qg_json_member_number (status, "in_force");
      daemons = qg_json_member_number (status, "daemons");
      qg_cli_answer_clear (&answer);
      if (in_force == daemons)
        {
          printf ("revision %" G_GUINT64_FORMAT " is in force on all "
                  "%" G_GUINT64_FORMAT " daemons\n",
                  revision, daemons);
          return EXIT_SUCCESS;
        }
      if (g_get_monotonic_time () >= deadline)
        {
          qg_fail (&err, QG_E_TIMEOUT,
                   "in force on %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
                   " daemons; the status command lists those that lag",
                   in_force, daemons);
          return qg_cli_print_error (&err);
        }
      g_usleep (POLL_INTERVAL);
    }
}
