#include "cli.h"

#include <stdio.h>
#include <stdlib.h>

#define CLEAR_SCREEN "\033[H\033[2J"

enum
{
  DEFAULT_INTERVAL_S = 2,
  MAX_LAGGING_SHOWN = 10 /* lagging daemons that are listed by name */
};

static void print_lagging (JsonObject *status);
static void print_services (JsonObject *status);
static void add_target (GHashTable *services, JsonObject *row);
static int compare_names (gconstpointer a, gconstpointer b);
static int print_current_status (const QgCliOptions *options, QgClient *client);

/** Totals over the targets of one service. */
typedef struct
{
  guint targets;
  guint draining;  /* targets that drain */
  guint64 running; /* requests */
} ServiceTotals;

int
qg_cmd_status (const QgCliOptions *options)
{
  return qg_cli_call_and_print (options, "GET", "/v1/status", NULL,
                                qg_print_status);
}

int
qg_cmd_top (const QgCliOptions *options)
{
  guint64 interval = qg_opt_given (options, QG_OPT_INTERVAL)
                         ? MAX (options->number[QG_OPT_INTERVAL], 1)
                         : DEFAULT_INTERVAL_S;
  QgErr err;
  QgClient *client = qg_cli_client_new (options, &err);
  int code;

  if (client == NULL)
    return qg_cli_print_error (&err);
  for (;;)
    {
      code = print_current_status (options, client);
      if (qg_opt_given (options, QG_OPT_ONCE))
        break;
      g_usleep (interval * (guint64)QG_SEC);
    }
  qg_client_free (client);
  return code;
}

void
qg_print_status (JsonObject *status)
{
  JsonArray *dcs = qg_json_member_array (status, "dcs");

  printf ("leader %s, term %" G_GUINT64_FORMAT ", revision %" G_GUINT64_FORMAT
          ", in force on %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
          " daemons\n",
          qg_json_member_string (status, "leader"),
          qg_json_member_number (status, "term"),
          qg_json_member_number (status, "revision"),
          qg_json_member_number (status, "in_force"),
          qg_json_member_number (status, "daemons"));
  printf ("%" G_GUINT64_FORMAT " workspaces, %" G_GUINT64_FORMAT
          " services, %" G_GUINT64_FORMAT " claims, %" G_GUINT64_FORMAT
          " suspects\ndata centres:",
          qg_json_member_number (status, "workspaces"),
          qg_json_member_number (status, "services"),
          qg_json_member_number (status, "claims"),
          qg_json_member_number (status, "suspects"));
  for (guint i = 0; dcs != NULL && i < json_array_get_length (dcs); i++)
    {
      JsonObject *row = json_array_get_object_element (dcs, i);

      printf (" %s %s%s", qg_json_member_string (row, "name"),
              qg_json_member_string (row, "state"),
              i + 1 < json_array_get_length (dcs) ? "," : "");
    }
  putchar ('\n');
  if (qg_json_member_number (status, "other_fleet") != 0)
    puts ("ANOTHER FLEET is connected: changes are refused (event 697)");
  print_services (status);
  print_lagging (status);
}

static void
print_lagging (JsonObject *status)
{
  JsonArray *rows = qg_json_member_array (status, "daemon_list");
  guint64 revision = qg_json_member_number (status, "revision");
  guint lagging = 0;

  for (guint i = 0; rows != NULL && i < json_array_get_length (rows); i++)
    {
      JsonObject *row = json_array_get_object_element (rows, i);

      if (qg_json_member_number (row, "revision") >= revision)
        continue;
      if (++lagging <= MAX_LAGGING_SHOWN)
        printf ("lagging: %s at revision %" G_GUINT64_FORMAT
                ", last contact %" G_GUINT64_FORMAT " ms ago\n",
                qg_json_member_string (row, "name"),
                qg_json_member_number (row, "revision"),
                qg_json_member_number (row, "age_ms"));
    }
  if (lagging > MAX_LAGGING_SHOWN)
    printf ("and %u more\n", lagging - MAX_LAGGING_SHOWN);
}

static void
print_services (JsonObject *status)
{
  JsonArray *rows = qg_json_member_array (status, "daemon_list");
  GHashTable *services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  GList *names;

  for (guint i = 0; rows != NULL && i < json_array_get_length (rows); i++)
    add_target (services, json_array_get_object_element (rows, i));
  names = g_list_sort (g_hash_table_get_keys (services), compare_names);
  for (GList *at = names; at != NULL; at = at->next)
    {
      const ServiceTotals *totals = g_hash_table_lookup (services, at->data);

      printf ("%-20s %5u targets, %5u draining, %7" G_GUINT64_FORMAT
              " running\n",
              (const char *)at->data, totals->targets, totals->draining,
              totals->running);
    }
  g_list_free (names);
  g_hash_table_unref (services);
}

static void
add_target (GHashTable *services, JsonObject *row)
{
  const char *name = qg_json_member_string (row, "service");
  ServiceTotals *totals;

  if (!g_str_equal (qg_json_member_string (row, "role"), "agent"))
    return;
  totals = g_hash_table_lookup (services, name);
  if (totals == NULL)
    {
      totals = g_new0 (ServiceTotals, 1);
      g_hash_table_insert (services, (gpointer)name, totals);
    }
  totals->targets++;
  totals->draining += qg_json_member_is_true (row, "drains") ? 1 : 0;
  totals->running += qg_json_member_number (row, "running");
}

static int
compare_names (gconstpointer a, gconstpointer b)
{
  return g_strcmp0 (a, b);
}

static int
print_current_status (const QgCliOptions *options, QgClient *client)
{
  QgCliAnswer answer = { 0 };
  QgErr err;

  if (qg_client_call (client, "GET", "/v1/status", NULL, &answer, &err)
      != QG_OK)
    return qg_cli_print_error (&err);
  if (qg_opt_given (options, QG_OPT_JSON))
    puts (answer.text);
  else if (answer.json != NULL && JSON_NODE_HOLDS_OBJECT (answer.json))
    {
      if (!qg_opt_given (options, QG_OPT_ONCE))
        fputs (CLEAR_SCREEN, stdout);
      qg_print_status (json_node_get_object (answer.json));
    }
  fflush (stdout);
  qg_cli_answer_clear (&answer);
  return EXIT_SUCCESS;
}
