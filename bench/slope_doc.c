/**
 * @file slope_doc.c
 * Measures the configuration document at several numbers of workspaces: the
 * time and memory of parsing it, and the time and size of a delta that changes
 * one section.
 */
#include "lib/doc.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  N_SERVICES = 16,
  N_DELTAS = 200
};

static void measure (guint workspaces);
static GString *make_text (guint workspaces);
static QgDoc *parse (const GString *text);
static QgDoc *apply_deltas (QgDoc *doc, guint workspaces, gsize *delta_bytes);

int
main (void)
{
  static const guint sizes[] = { 16, 1000, 4000, 12000 };

  printf ("workspaces text_bytes parse_ms memory_bytes delta_us delta_bytes\n");
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    measure (sizes[i]);
  return EXIT_SUCCESS;
}

static void
measure (guint workspaces)
{
  GString *text = make_text (workspaces);
  size_t before = mallinfo2 ().uordblks;
  gint64 start = g_get_monotonic_time ();
  QgDoc *doc = parse (text);
  gint64 parse_us = g_get_monotonic_time () - start;
  size_t memory = mallinfo2 ().uordblks - before;
  gsize delta_bytes = 0;
  gint64 deltas_us;

  start = g_get_monotonic_time ();
  doc = apply_deltas (doc, workspaces, &delta_bytes);
  deltas_us = g_get_monotonic_time () - start;
  printf ("%10u %10zu %8.1f %12zu %8.0f %11zu\n", workspaces, text->len,
          (double)parse_us / 1000.0, memory, (double)deltas_us / N_DELTAS,
          delta_bytes / N_DELTAS);
  qg_doc_unref (doc);
  g_string_free (text, TRUE);
}

static GString *
make_text (guint workspaces)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < N_SERVICES; i++)
    g_string_append_printf (text, "[service model-%u]\nkind=model\n\n", i);
  for (guint i = 0; i < workspaces; i++)
    {
      g_autofree char *name = g_strdup_printf ("workspace-%05u", i);
      g_autofree char *key
          = g_compute_checksum_for_string (G_CHECKSUM_SHA256, name, -1);

      g_string_append_printf (
          text,
          "[workspace %s]\nweight=%u\nkey_sha256=%s\nqueue_limit=500\n\n"
          "[grant %s]\nservices=model-%u;model-%u\n\n",
          name, 1 + i % 300, key, name, i % N_SERVICES, (i + 5) % N_SERVICES);
    }
  return text;
}

static QgDoc *
parse (const GString *text)
{
  QgProblems problems;
  QgDoc *doc;

  qg_problems_init (&problems, NULL);
  doc = qg_doc_parse (text->str, text->len, 1, &problems);
  if (doc == NULL)
    {
      g_autofree char *problem_text = qg_problems_text (&problems);

      fputs (problem_text, stderr);
      exit (EXIT_FAILURE);
    }
  qg_problems_clear (&problems);
  return doc;
}

static QgDoc *
apply_deltas (QgDoc *doc, guint workspaces, gsize *delta_bytes)
{
  for (guint i = 0; i < N_DELTAS; i++)
    {
      QgDelta *delta = qg_delta_new (i + 1, i + 2);
      g_autofree char *id
          = g_strdup_printf ("workspace workspace-%05u", i % workspaces);
      g_autofree char *text = g_strdup_printf ("[%s]\nweight=%u", id, i + 1);
      QgProblems problems;
      QgDoc *next;

      *delta_bytes += strlen (id) + strlen (text);
      qg_delta_add (delta, id, text, strlen (text));
      qg_delta_finish (delta);
      qg_problems_init (&problems, NULL);
      next = qg_doc_update (doc, delta, &problems);
      qg_problems_clear (&problems);
      qg_delta_unref (delta);
      doc = next;
    }
  return doc;
}
