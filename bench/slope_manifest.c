/*
 * Prints how long the check of a desired state with N routes of one host takes,
 * in milliseconds of this thread.
 *
 *     slope_manifest N...
 */
#include "platform/platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

static GBytes *build_text (guint n_routes);
static double thread_ms (void);

static GBytes *
build_text (guint n_routes)
{
  GString *text = g_string_new ("{\"version\":1,\"routes\":[");

  for (guint i = 0; i < n_routes; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"r-%u\",\"hostname\":\"h.example\",\"path_prefix\":"
        "\"/prefix%u/\",\"route_type\":\"streaming\",\"timeout_ms\":5000,"
        "\"target_latency_ms\":400,\"priority\":1,\"backend\":\"m\","
        "\"max_attempts\":1,\"anonymous\":false,\"session_affinity\":true,"
        "\"stream_resume\":false,\"target_itl_ms\":150,"
        "\"allowed_regions\":[]}",
        i > 0 ? "," : "", i, i);
  g_string_append (text, "],\"backends\":[{\"name\":\"m\"}]}");
  return g_string_free_to_bytes (text);
}

static double
thread_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

int
main (int argc, char **argv)
{
  for (int i = 1; i < argc; i++)
    {
      guint n = (guint)strtoul (argv[i], NULL, 10);
      GBytes *text = build_text (n);
      double began = thread_ms ();
      QgErr err;
      QgManifest *manifest = platform_read_manifest (text, &err);

      if (manifest == NULL)
        {
          fprintf (stderr, "%u routes: %s\n", n, err.message);
          return EXIT_FAILURE;
        }
      printf ("%u routes, %" G_GSIZE_FORMAT " bytes: %.1f ms\n", n,
              g_bytes_get_size (text), thread_ms () - began);
      qg_manifest_unref (manifest);
      g_bytes_unref (text);
    }
  return EXIT_SUCCESS;
}
