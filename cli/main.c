/**
 * @file main.c
 * quetzalgate: the operators' command-line tool.
 */
#include "qg.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>

static const struct option options[] = {
  { "help", no_argument, NULL, 'h' },
  { NULL, 0, NULL, 0 },
};

static void usage (FILE *out);

int
main (int argc, char **argv)
{
  int opt;

  while ((opt = getopt_long (argc, argv, "+h", options, NULL)) != -1)
    {
      if (opt == 'h')
        {
          usage (stdout);
          return EXIT_SUCCESS;
        }
      usage (stderr);
      return qg_status_exit (QG_E_INVALID);
    }
  usage (stderr);
  return qg_status_exit (QG_E_INVALID);
}

static void
usage (FILE *out)
{
  fputs ("usage: quetzalgate [--help] COMMAND\n", out);
}
