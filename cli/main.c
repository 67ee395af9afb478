/**
 * @file main.c
 * quetzalgate: the operators' command-line tool.
 */
#include "cli.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define QG_VERSION        "0.2.0"
#define DEFAULT_CONTROL   "127.0.0.1:8081"
#define DEFAULT_TIMEOUT_S 10

enum
{
  OPT_VERSION = QG_N_OPTS + 1,
  MAX_TIMEOUT_S = 3600,
  MAX_LOGS = 10000 /* files given to explain */
};

#define BIT(opt) (1U << (opt))
#define COMMON_OPTS                                                            \
  (BIT (QG_OPT_CONTROL) | BIT (QG_OPT_KEY_FILE) | BIT (QG_OPT_JSON)            \
   | BIT (QG_OPT_HELP) | BIT (QG_OPT_TIMEOUT))
#define CHANGE_OPTS (COMMON_OPTS | BIT (QG_OPT_CHANGE_ID) | BIT (QG_OPT_WAIT))

/** The type of an option's value. */
typedef enum
{
  VALUE_NONE,
  VALUE_TEXT,
  VALUE_NUMBER
} ValueType;

typedef struct
{
  const char *name;
  ValueType value_type;
  const char *help;
} OptRow;

typedef struct
{
  const char *name;
  const char *args;
  int min_args;
  int max_args;
  guint32 accepts;
  int (*run) (const QgCliOptions *options);
  const char *help;
} Command;

static const OptRow opts[QG_N_OPTS] = {
  [QG_OPT_CONTROL]
  = { "control", VALUE_TEXT, "IP:PORT[;IP:PORT]: the control members" },
  [QG_OPT_KEY_FILE] = { "key-file", VALUE_TEXT, "FILE with the bearer token" },
  [QG_OPT_JSON] = { "json", VALUE_NONE, "print JSON" },
  [QG_OPT_HELP] = { "help", VALUE_NONE, "print this text" },
  [QG_OPT_TIMEOUT] = { "timeout", VALUE_NUMBER,
                       "SECONDS for a call, over all members together" },
  [QG_OPT_BASE]
  = { "base", VALUE_NUMBER, "REVISION that the change is based on" },
  [QG_OPT_PARTIAL]
  = { "partial", VALUE_NONE, "FILE holds only sections to add or replace" },
  [QG_OPT_REMOVE]
  = { "remove", VALUE_TEXT, "SECTION to remove, with --partial; repeatable" },
  [QG_OPT_CHANGE_ID]
  = { "change-id", VALUE_TEXT, "ID of the change; repeat the ID to retry" },
  [QG_OPT_DRY_RUN]
  = { "dry-run", VALUE_NONE, "check the change, do not apply it" },
  [QG_OPT_WAIT]
  = { "wait", VALUE_NUMBER, "SECONDS to wait until in force on all daemons" },
  [QG_OPT_REVISION] = { "revision", VALUE_NUMBER, "REVISION to get" },
  [QG_OPT_OUTPUT] = { "output", VALUE_TEXT, "FILE to write" },
  [QG_OPT_FROM] = { "from", VALUE_NUMBER, "older REVISION" },
  [QG_OPT_TO] = { "to", VALUE_NUMBER, "newer REVISION" },
  [QG_OPT_COUNT] = { "count", VALUE_NUMBER, "number of revisions to list" },
  [QG_OPT_INTERVAL] = { "interval", VALUE_NUMBER, "SECONDS between updates" },
  [QG_OPT_AGAINST]
  = { "against", VALUE_TEXT, "FILE with the manifest in force" },
  [QG_OPT_ONCE] = { "once", VALUE_NONE, "print the status once and exit" },
};

static const Command commands[] = {
  { "check", "FILE", 1, 1,
    BIT (QG_OPT_JSON) | BIT (QG_OPT_HELP) | BIT (QG_OPT_AGAINST), qg_cmd_check,
    "check a document or a manifest without contacting a server" },
  { "apply", "FILE", 1, 1,
    CHANGE_OPTS | BIT (QG_OPT_BASE) | BIT (QG_OPT_PARTIAL) | BIT (QG_OPT_REMOVE)
        | BIT (QG_OPT_DRY_RUN),
    qg_cmd_apply, "make FILE the document in force" },
  { "get", "", 0, 0, COMMON_OPTS | BIT (QG_OPT_REVISION) | BIT (QG_OPT_OUTPUT),
    qg_cmd_get, "print the document" },
  { "diff", "[FILE]", 0, 1,
    COMMON_OPTS | BIT (QG_OPT_BASE) | BIT (QG_OPT_FROM) | BIT (QG_OPT_TO),
    qg_cmd_diff,
    "show what FILE would change, or what changed between revisions" },
  { "history", "", 0, 0, COMMON_OPTS | BIT (QG_OPT_COUNT), qg_cmd_history,
    "list revisions with their authors" },
  { "dc", "list | out NAME | in NAME", 1, 2, CHANGE_OPTS, qg_cmd_dc,
    "take a data centre out of service or bring it back" },
  { "target", "list | drain NAME | undrain NAME | version NAME VERSION", 1, 3,
    CHANGE_OPTS, qg_cmd_target, "list targets, drain one, or set its version" },
  { "member", "list | add NAME IP:PORT | remove NAME", 1, 3, COMMON_OPTS,
    qg_cmd_member, "list, add or remove control members" },
  { "quarantine", "list | lift FINGERPRINT | lift all", 1, 2, COMMON_OPTS,
    qg_cmd_quarantine,
    "list requests and prompt parts that crash targets, or lift their "
    "quarantine" },
  { "rollout", "status | begin SERVICE VERSION SECONDS | abort SERVICE", 1, 4,
    COMMON_OPTS, qg_cmd_rollout,
    "move a service to targets of another version, or end that early" },
  { "status", "", 0, 0, COMMON_OPTS, qg_cmd_status,
    "print the status of the fleet" },
  { "top", "", 0, 0, COMMON_OPTS | BIT (QG_OPT_INTERVAL) | BIT (QG_OPT_ONCE),
    qg_cmd_top, "print the status of the fleet repeatedly" },
  { "explain", "ID LOG...", 2, MAX_LOGS, BIT (QG_OPT_HELP), qg_cmd_explain,
    "trace one request through JSON logs" },
};

static gboolean read_options (int argc, char **argv, QgCliOptions *options,
                              QgErr *err);
static gboolean parse_option (QgCliOptions *options, int opt, QgErr *err);
static const Command *find_command (const char *name);
static int run_command (const Command *command, const QgCliOptions *options);
static void print_usage (FILE *out);
static void print_command_usage (FILE *out, const Command *command);
static gboolean read_key (const QgCliOptions *options, char **key, QgErr *err);

int
main (int argc, char **argv)
{
  QgCliOptions options = { 0 };
  const Command *command = NULL;
  QgErr err;
  int code;

  qg_err_clear (&err);
  options.removed = g_ptr_array_new ();
  if (!read_options (argc, argv, &options, &err))
    code = err.status == QG_OK ? EXIT_SUCCESS : qg_cli_print_error (&err);
  else if (options.n_args == 0)
    {
      gboolean help = qg_opt_given (&options, QG_OPT_HELP);

      print_usage (help ? stdout : stderr);
      code = help ? EXIT_SUCCESS : qg_status_exit (QG_E_INVALID);
    }
  else
    {
      command = find_command (options.args[0]);
      options.args++;
      options.n_args--;
      code = run_command (command, &options);
    }
  g_ptr_array_unref (options.removed);
  return code;
}

QgClient *
qg_cli_client_new (const QgCliOptions *options, QgErr *err)
{
  const char *addresses = options->text[QG_OPT_CONTROL];
  g_autofree char *key = NULL;
  QgTime timeout = DEFAULT_TIMEOUT_S * QG_SEC;
  g_auto (GStrv) items = NULL;

  qg_err_clear (err);
  if (!read_key (options, &key, err))
    return NULL;
  if (addresses == NULL)
    addresses = g_getenv ("QUETZALGATE_CONTROL");
  if (addresses == NULL)
    addresses = DEFAULT_CONTROL;
  items = qg_ini_split (addresses);
  if (items[0] == NULL)
    {
      qg_fail (err, QG_E_INVALID,
               "no address of a control member; give --control");
      return NULL;
    }
  if (qg_opt_given (options, QG_OPT_TIMEOUT))
    timeout
        = (QgTime)MIN (options->number[QG_OPT_TIMEOUT], MAX_TIMEOUT_S) * QG_SEC;
  return qg_client_new (addresses, key, timeout);
}

int
qg_cli_print_error (const QgErr *err)
{
  fprintf (stderr, "quetzalgate: %s: %s; %s\n", qg_status_name (err->status),
           err->message, qg_status_remedy (err->status));
  return qg_status_exit (err->status);
}

int
qg_cli_call_and_print (const QgCliOptions *options, const char *method,
                       const char *path, const char *body,
                       void (*print) (JsonObject *answer))
{
  QgCliAnswer answer = { 0 };
  QgErr err;
  QgClient *client = qg_cli_client_new (options, &err);
  int code;

  if (client == NULL)
    return qg_cli_print_error (&err);
  if (qg_client_call (client, method, path, body, &answer, &err) != QG_OK)
    code = qg_cli_print_error (&err);
  else
    {
      code = EXIT_SUCCESS;
      if (qg_opt_given (options, QG_OPT_JSON))
        puts (answer.text);
      else if (answer.json != NULL && JSON_NODE_HOLDS_OBJECT (answer.json))
        print (json_node_get_object (answer.json));
    }
  qg_cli_answer_clear (&answer);
  qg_client_free (client);
  return code;
}

static gboolean
read_options (int argc, char **argv, QgCliOptions *options, QgErr *err)
{
  struct option table[QG_N_OPTS + 2] = { { NULL, 0, NULL, 0 } };
  int opt;

  for (int i = 0; i < QG_N_OPTS; i++)
    {
      table[i].name = opts[i].name;
      table[i].has_arg
          = opts[i].value_type == VALUE_NONE ? no_argument : required_argument;
      table[i].val = i + 1;
    }
  table[QG_N_OPTS].name = "version";
  table[QG_N_OPTS].val = OPT_VERSION;
  while ((opt = getopt_long (argc, argv, "", table, NULL)) != -1)
    {
      if (opt == OPT_VERSION)
        {
          puts ("quetzalgate " QG_VERSION);
          return FALSE;
        }
      if (opt == '?')
        {
          qg_fail (err, QG_E_INVALID, "see quetzalgate --help");
          return FALSE;
        }
      if (!parse_option (options, opt - 1, err))
        return FALSE;
    }
  options->args = argv + optind;
  options->n_args = argc - optind;
  return TRUE;
}

static gboolean
parse_option (QgCliOptions *options, int opt, QgErr *err)
{
  options->given |= BIT (opt);
  options->text[opt] = optarg;
  if (opt == QG_OPT_REMOVE)
    g_ptr_array_add (options->removed, optarg);
  if (opts[opt].value_type != VALUE_NUMBER
      || qg_ini_read_uint (optarg, &options->number[opt]))
    return TRUE;
  qg_fail (err, QG_E_INVALID, "--%s takes a number, not \"%s\"", opts[opt].name,
           optarg);
  return FALSE;
}

static const Command *
find_command (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (commands); i++)
    if (g_str_equal (commands[i].name, name))
      return &commands[i];
  return NULL;
}

static int
run_command (const Command *command, const QgCliOptions *options)
{
  QgErr err;

  if (command == NULL)
    {
      print_usage (stderr);
      return qg_status_exit (QG_E_INVALID);
    }
  if (qg_opt_given (options, QG_OPT_HELP))
    {
      print_command_usage (stdout, command);
      return EXIT_SUCCESS;
    }
  for (int i = 0; i < QG_N_OPTS; i++)
    if (qg_opt_given (options, i) && (command->accepts & BIT (i)) == 0)
      {
        qg_fail (&err, QG_E_INVALID, "%s takes no --%s", command->name,
                 opts[i].name);
        return qg_cli_print_error (&err);
      }
  if (options->n_args < command->min_args
      || options->n_args > command->max_args)
    {
      print_command_usage (stderr, command);
      return qg_status_exit (QG_E_INVALID);
    }
  return command->run (options);
}

static void
print_usage (FILE *out)
{
  fputs ("usage: quetzalgate COMMAND [OPTION...] [ARGUMENT...]\n"
         "       quetzalgate COMMAND --help\n",
         out);
  for (guint i = 0; i < G_N_ELEMENTS (commands); i++)
    fprintf (out, "  %-11s %s\n", commands[i].name, commands[i].help);
}

static void
print_command_usage (FILE *out, const Command *command)
{
  fprintf (out, "usage: quetzalgate %s [OPTION...] %s\n%s\n", command->name,
           command->args, command->help);
  for (int i = 0; i < QG_N_OPTS; i++)
    if ((command->accepts & BIT (i)) != 0)
      fprintf (out, "  --%-10s %s\n", opts[i].name, opts[i].help);
}

static gboolean
read_key (const QgCliOptions *options, char **key, QgErr *err)
{
  const char *file = options->text[QG_OPT_KEY_FILE];
  const char *env_key = g_getenv ("QUETZALGATE_KEY");
  GError *error = NULL;

  if (file == NULL && env_key != NULL)
    {
      *key = g_strdup (env_key);
      return TRUE;
    }
  if (file == NULL)
    {
      qg_fail (err, QG_E_UNAUTHORIZED,
               "no key; give --key-file or set QUETZALGATE_KEY");
      return FALSE;
    }
  if (!g_file_get_contents (file, key, NULL, &error))
    {
      qg_fail (err, QG_E_IO, "%s", error->message);
      g_error_free (error);
      return FALSE;
    }
  g_strchomp (*key);
  return TRUE;
}
