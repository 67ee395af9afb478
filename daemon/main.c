/**
 * @file main.c
 * quetzalgated: the daemon of a quetzalgate fleet.
 */
#include "event.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>

#define QG_VERSION "0.1.0"

static const struct option options[] = {
  { "events", no_argument, NULL, 'e' },
  { "help", no_argument, NULL, 'h' },
  { "version", no_argument, NULL, 'V' },
  { NULL, 0, NULL, 0 },
};

static void usage (FILE *out);
static void print_events (void);

int
main (int argc, char **argv)
{
  int opt;

  while ((opt = getopt_long (argc, argv, "hV", options, NULL)) != -1)
    {
      switch (opt)
        {
        case 'e':
          print_events ();
          return EXIT_SUCCESS;
        case 'h':
          usage (stdout);
          return EXIT_SUCCESS;
        case 'V':
          puts ("quetzalgated " QG_VERSION);
          return EXIT_SUCCESS;
        default:
          usage (stderr);
          return qg_status_exit (QG_E_INVALID);
        }
    }
  usage (stderr);
  return qg_status_exit (QG_E_INVALID);
}

static void
usage (FILE *out)
{
  fputs ("usage: quetzalgated [--events] [--help] [--version]\n", out);
}

static void
print_events (void)
{
  char *table = qg_event_catalogue ();

  fputs (table, stdout);
  g_free (table);
}
