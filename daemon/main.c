/**
 * @file main.c
 * quetzalgated: the daemon of a quetzalgate fleet.
 */
#include "lib/event.h"
#include "lib/settings.h"
#include "log.h"
#include "node.h"

#include <getopt.h>
#include <glib-unix.h>
#include <stdio.h>
#include <stdlib.h>

#define QG_VERSION "0.2.0"

enum
{
  OPT_EVENTS = 256,
};

static const struct option options[] = {
  { "check", no_argument, NULL, 'c' },
  { "events", no_argument, NULL, OPT_EVENTS },
  { "help", no_argument, NULL, 'h' },
  { "standalone", no_argument, NULL, 's' },
  { "version", no_argument, NULL, 'V' },
  { NULL, 0, NULL, 0 },
};

/** Parsed command line. */
typedef struct
{
  gboolean check;
  gboolean standalone;
  const char *file;
} Arguments;

/** State shared with the signal handlers. */
typedef struct
{
  GMainLoop *loop;
  QgNode *node;
  const Arguments *arguments;
} Process;

static gboolean read_arguments (int argc, char **argv, Arguments *arguments,
                                int *exit_code);
static void usage (FILE *out);
static void print_events (void);
static QgSettings *read_settings (const Arguments *arguments, QgErr *err);
static void install_signal_handlers (Process *process);
static int run (QgSettings *settings, Process *process);
static gboolean on_terminate (gpointer user);
static gboolean on_hangup (gpointer user);
static void on_drained (gpointer user);

int
main (int argc, char **argv)
{
  Arguments arguments = { 0 };
  Process process = { .arguments = &arguments };
  QgSettings *settings;
  QgErr err;
  int exit_code;

  if (!read_arguments (argc, argv, &arguments, &exit_code))
    return exit_code;
  if (!arguments.check)
    install_signal_handlers (&process);
  settings = read_settings (&arguments, &err);
  if (settings == NULL)
    {
      fprintf (stderr, "quetzalgated: %s\n", err.message);
      return qg_status_exit (err.status);
    }
  if (arguments.check)
    puts ("the settings are valid");
  exit_code = arguments.check ? EXIT_SUCCESS : run (settings, &process);
  qg_settings_unref (settings);
  return exit_code;
}

static gboolean
read_arguments (int argc, char **argv, Arguments *arguments, int *exit_code)
{
  int opt;

  *exit_code = EXIT_SUCCESS;
  while ((opt = getopt_long (argc, argv, "chsV", options, NULL)) != -1)
    {
      switch (opt)
        {
        case 'c':
          arguments->check = TRUE;
          break;
        case 's':
          arguments->standalone = TRUE;
          break;
        case OPT_EVENTS:
          print_events ();
          return FALSE;
        case 'h':
          usage (stdout);
          return FALSE;
        case 'V':
          puts ("quetzalgated " QG_VERSION);
          return FALSE;
        default:
          usage (stderr);
          *exit_code = qg_status_exit (QG_E_INVALID);
          return FALSE;
        }
    }
  arguments->file
      = argv[optind] != NULL ? argv[optind] : g_getenv ("QUETZALGATE_SETTINGS");
  if (arguments->file == NULL && !arguments->standalone)
    {
      usage (stderr);
      *exit_code = qg_status_exit (QG_E_INVALID);
      return FALSE;
    }
  return TRUE;
}

static void
usage (FILE *out)
{
  fputs ("usage: quetzalgated [--check] SETTINGS\n"
         "       quetzalgated --standalone [SETTINGS]\n"
         "       quetzalgated --events | --help | --version\n",
         out);
}

static void
print_events (void)
{
  char *table = qg_event_catalogue ();

  fputs (table, stdout);
  g_free (table);
}

static QgSettings *
read_settings (const Arguments *arguments, QgErr *err)
{
  QgSettings *settings;
  QgProblems problems;
  GError *error = NULL;
  char *text;
  gsize len;

  if (arguments->file == NULL)
    return qg_settings_standalone ();
  if (!g_file_get_contents (arguments->file, &text, &len, &error))
    {
      qg_fail (err, QG_E_IO, "cannot read the settings: %s", error->message);
      g_error_free (error);
      return NULL;
    }
  qg_problems_init (&problems, arguments->file);
  settings = qg_settings_parse (text, len, &problems);
  g_free (text);
  if (settings == NULL)
    {
      char *all = qg_problems_text (&problems);

      fprintf (stderr, "%s", all);
      g_free (all);
      qg_fail (err, QG_E_INVALID, "%u problems in the settings",
               qg_problems_count (&problems));
    }
  qg_problems_clear (&problems);
  return settings;
}

/* Called before anything else, because SIGHUP ends the process until a handler
 * is installed. The handlers run once the main loop runs. */
static void
install_signal_handlers (Process *process)
{
  g_unix_signal_add (SIGTERM, on_terminate, process);
  g_unix_signal_add (SIGINT, on_terminate, process);
  g_unix_signal_add (SIGHUP, on_hangup, process);
}

static int
run (QgSettings *settings, Process *process)
{
  QgErr err;

  qg_log_start (settings->daemon.name, (QgLogFormat)settings->daemon.log_format,
                (QgSeverity)settings->daemon.log_level);
  process->node = qg_node_new (settings, &err);
  if (process->node == NULL)
    {
      qg_event (QG_EV_SETTINGS_BAD, "%s", err.message);
      return qg_status_exit (err.status);
    }
  process->loop = g_main_loop_new (NULL, FALSE);
  qg_event (QG_EV_STARTED, "%s in %s", settings->daemon.name,
            settings->daemon.dc);
  g_main_loop_run (process->loop);
  qg_node_free (process->node);
  g_main_loop_unref (process->loop);
  qg_event (QG_EV_STOPPED, "%s", settings->daemon.name);
  return EXIT_SUCCESS;
}

static gboolean
on_terminate (gpointer user)
{
  Process *process = user;

  qg_event (QG_EV_STOPPING, "waiting for running requests to finish");
  qg_node_drain (process->node, on_drained, process);
  return G_SOURCE_CONTINUE;
}

/* Reloads the settings; only log_level and operators change at run time. */
static gboolean
on_hangup (gpointer user)
{
  Process *process = user;
  QgSettings *settings;
  QgErr err;

  settings = read_settings (process->arguments, &err);
  if (settings == NULL)
    {
      qg_event (QG_EV_SETTINGS_BAD, "%s; keeping the current settings",
                err.message);
      return G_SOURCE_CONTINUE;
    }
  qg_event_set_level ((QgSeverity)settings->daemon.log_level);
  qg_node_reload (process->node, settings);
  qg_event (QG_EV_SETTINGS_RELOADED, "applied log_level and operators");
  qg_settings_unref (settings);
  return G_SOURCE_CONTINUE;
}

static void
on_drained (gpointer user)
{
  Process *process = user;

  g_main_loop_quit (process->loop);
}
