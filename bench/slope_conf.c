/**
 * @file slope_conf.c
 * Measures the replicated configuration at several numbers of workspaces: the
 * time of the first document and of one change, the memory of the history per
 * change, the time and size of a snapshot, and the time and memory of a
 * restore.
 */
#include "lib/rsm.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  N_CHANGES = 1000
};

static void measure (guint workspaces);
static void apply_initial_document (QgRsm *rsm, guint workspaces);
static void apply_change (QgRsm *rsm, guint nth, guint workspaces);
static void apply (QgRsm *rsm, Qg__ConfChange *change, guint64 index);
static double ms_since (gint64 start);

int
main (void)
{
  static const guint sizes[] = { 16, 1000, 4000, 12000 };

  printf ("workspaces first_ms change_us history_bytes snapshot_ms "
          "snapshot_bytes restore_ms memory_bytes\n");
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    measure (sizes[i]);
  return EXIT_SUCCESS;
}

static void
measure (guint workspaces)
{
  QgRsm *rsm = qg_rsm_new ();
  QgRsm *fresh = qg_rsm_new ();
  gint64 start = g_get_monotonic_time ();
  double first_ms;
  double change_us;
  double snapshot_ms;
  double restore_ms;
  size_t before;
  size_t history_bytes;
  GBytes *snapshot;
  gsize len;
  gconstpointer data;

  apply_initial_document (rsm, workspaces);
  first_ms = ms_since (start);
  before = mallinfo2 ().uordblks;
  start = g_get_monotonic_time ();
  for (guint i = 0; i < N_CHANGES; i++)
    apply_change (rsm, i, workspaces);
  change_us = ms_since (start) * 1000.0 / N_CHANGES;
  history_bytes = mallinfo2 ().uordblks - before;
  start = g_get_monotonic_time ();
  snapshot = qg_rsm_snapshot (rsm);
  snapshot_ms = ms_since (start);
  data = g_bytes_get_data (snapshot, &len);
  before = mallinfo2 ().uordblks;
  start = g_get_monotonic_time ();
  if (qg_rsm_restore (fresh, data, len, NULL) != QG_OK)
    exit (EXIT_FAILURE);
  restore_ms = ms_since (start);
  printf ("%10u %8.1f %9.0f %13zu %11.1f %14zu %10.1f %12zu\n", workspaces,
          first_ms, change_us, history_bytes / N_CHANGES, snapshot_ms, len,
          restore_ms, mallinfo2 ().uordblks - before);
  g_bytes_unref (snapshot);
  qg_rsm_unref (rsm);
  qg_rsm_unref (fresh);
}

static void
apply_initial_document (QgRsm *rsm, guint workspaces)
{
  guint n = 2 * workspaces + 1;
  Qg__ConfSection *rows = g_new0 (Qg__ConfSection, n);
  Qg__ConfSection **list = g_new0 (Qg__ConfSection *, n);
  Qg__ConfChange change = QG__CONF_CHANGE__INIT;

  for (guint i = 0; i < n; i++)
    {
      char *text;

      qg__conf_section__init (&rows[i]);
      list[i] = &rows[i];
      if (i == 0)
        {
          rows[i].id = g_strdup ("service m");
          text = g_strdup ("[service m]\nkind=model");
        }
      else if (i % 2 == 1)
        {
          g_autofree char *key = NULL;

          rows[i].id = g_strdup_printf ("workspace w%05u", i / 2);
          key = g_compute_checksum_for_string (G_CHECKSUM_SHA256, rows[i].id,
                                               -1);
          text = g_strdup_printf ("[%s]\nweight=100\nkey_sha256=%s", rows[i].id,
                                  key);
        }
      else
        {
          rows[i].id = g_strdup_printf ("grant w%05u", i / 2 - 1);
          text = g_strdup_printf ("[%s]\nservices=m", rows[i].id);
        }
      rows[i].text.data = (guint8 *)text;
      rows[i].text.len = strlen (text);
    }
  change.n_sections = n;
  change.sections = list;
  change.change_id = (char *)"first";
  apply (rsm, &change, 1);
  for (guint i = 0; i < n; i++)
    {
      g_free (rows[i].id);
      g_free (rows[i].text.data);
    }
  g_free (rows);
  g_free (list);
}

static void
apply_change (QgRsm *rsm, guint nth, guint workspaces)
{
  g_autofree char *id = g_strdup_printf ("workspace w%05u", nth % workspaces);
  g_autofree char *text = g_strdup_printf ("[%s]\nweight=%u", id, nth + 1);
  g_autofree char *change_id = g_uuid_string_random ();
  Qg__ConfSection row = QG__CONF_SECTION__INIT;
  Qg__ConfSection *list = &row;
  Qg__ConfChange change = QG__CONF_CHANGE__INIT;

  row.id = id;
  row.text.data = (guint8 *)text;
  row.text.len = strlen (text);
  change.n_sections = 1;
  change.sections = &list;
  change.change_id = change_id;
  change.based_on = nth + 1;
  apply (rsm, &change, nth + 2);
}

static void
apply (QgRsm *rsm, Qg__ConfChange *change, guint64 index)
{
  GBytes *command;
  GBytes *result;
  gsize len;
  gconstpointer data;

  change->author = (char *)"ann";
  change->teams = 7;
  command = qg_rsm_command_conf (change, (QgTime)index);
  data = g_bytes_get_data (command, &len);
  result = qg_rsm_apply (rsm, index, data, len);
  if (qg_conf_revision (qg_rsm_conf (rsm)) != index)
    {
      fputs ("slope_conf: a change was rejected\n", stderr);
      exit (EXIT_FAILURE);
    }
  g_bytes_unref (result);
  g_bytes_unref (command);
}

static double
ms_since (gint64 start)
{
  return (double)(g_get_monotonic_time () - start) / 1000.0;
}
