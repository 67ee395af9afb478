/*
 * Cost of the replicated log on the local disk, with real fsync. Three members
 * run in one process, each with its own folder and disk thread, and exchange
 * messages without delay. Prints commits per second and latency by number of
 * commands in flight (1: no batching), the time until a new leader serves, and
 * the restart time by number of changes in the log.
 *
 *     slope_cons FOLDER
 */
#include "daemon/fs_posix.c"
#include "lib/cons.h"
#include "lib/event.h"
#include "lib/rsm.h"
#include "lib/settings.h"

#include <gio/gio.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  MEMBERS = 3,
  COMMAND_BYTES = 200,
  RUN_MS = 3000,
  ELECTIONS = 20,
  MAX_SAMPLES = 1 << 20,
};

typedef struct
{
  char *name;
  char *folder;
  QgStoreFs *fs;
  QgStore *store;
  QgCons *cons;
  QgConsWrite write;
  gboolean busy; /* a write is on the disk thread */
  gboolean down; /* no message to or from this member is delivered */
  GThreadPool *disk;
} Member;

static Member members[MEMBERS];
static GAsyncQueue *written; /* members whose write has completed */
static QgTime *proposed_at;  /* by log index; 0: not waited for */
static QgTime *samples;
static guint n_samples;
static guint in_flight;

static void
write_to_disk (gpointer data, gpointer user)
{
  Member *m = data;
  QgErr err;

  if (qg_store_write (m->store, &m->write, &err) != QG_OK)
    g_error ("%s", err.message);
  g_async_queue_push (written, m);
}

static void
open_member (Member *m, int i)
{
  QgStoreOptions so = { 0 };
  static const char *const founders[] = { "m0@x", "m1@x", "m2@x", NULL };
  QgConsOptions co = { 0 };
  QgConsState state;
  gboolean fresh;
  QgErr err;

  m->fs = qg_fs_posix_new (m->folder, &err);
  so.fs = m->fs;
  m->store = qg_store_new (&so);
  if (m->fs == NULL
      || qg_store_open (m->store, (guint64)i + 1, &state, &fresh, &err)
             != QG_OK)
    g_error ("%s", err.message);
  co.name = m->name;
  co.seed = (guint64)g_get_real_time () + (guint64)i;
  co.address = "x";
  co.founders = founders;
  m->cons = qg_cons_new (&co, &state, g_get_monotonic_time ());
  m->disk = g_thread_pool_new (write_to_disk, NULL, 1, TRUE, NULL);
}

static void
deliver (Member *from, const char *to, Qg__ConsMsg *msg)
{
  for (int i = 0; i < MEMBERS; i++)
    if (strcmp (members[i].name, to) == 0 && !members[i].down && !from->down)
      qg_cons_receive (members[i].cons, from->name, msg,
                       g_get_monotonic_time ());
}

static gboolean
process_output (Member *m)
{
  gboolean progressed = FALSE;
  QgConsApply apply;
  Qg__ConsMsg *msg;
  QgStr *to;

  if (!m->busy && qg_cons_take_write (m->cons, &m->write))
    {
      m->busy = TRUE;
      g_thread_pool_push (m->disk, m, NULL);
    }
  while (qg_cons_take_message (m->cons, &to, &msg))
    {
      deliver (m, to, msg);
      qg_str_unref (to);
      qg__cons_msg__free_unpacked (msg, NULL);
      progressed = TRUE;
    }
  while (qg_cons_take_apply (m->cons, &apply))
    {
      guint64 index = apply.entry != NULL ? apply.entry->index : 0;

      if (index > 0 && index < MAX_SAMPLES && proposed_at[index] > 0
          && qg_cons_ready_to_serve (m->cons))
        {
          samples[n_samples++] = g_get_monotonic_time () - proposed_at[index];
          proposed_at[index] = 0;
          in_flight--;
        }
      qg_cons_apply_clear (&apply);
    }
  return progressed;
}

static void
run_step (void)
{
  gboolean progressed = TRUE;
  Member *done;

  while (progressed)
    {
      progressed = FALSE;
      for (int i = 0; i < MEMBERS; i++)
        if (!members[i].down)
          progressed |= process_output (&members[i]);
    }
  done = g_async_queue_timeout_pop (written, 500);
  while (done != NULL)
    {
      guint64 seq = done->write.seq;

      qg_cons_write_clear (&done->write);
      done->busy = FALSE;
      qg_cons_persisted (done->cons, seq, g_get_monotonic_time ());
      done = g_async_queue_try_pop (written);
    }
  for (int i = 0; i < MEMBERS; i++)
    if (!members[i].down)
      qg_cons_tick (members[i].cons, g_get_monotonic_time ());
}

static int
serving_leader (void)
{
  QgTime now = g_get_monotonic_time ();

  for (int i = 0; i < MEMBERS; i++)
    if (!members[i].down && qg_cons_ready_to_serve (members[i].cons)
        && qg_cons_lease_until (members[i].cons, now) > now)
      return i;
  return -1;
}

static void
bootstrap_group (const char *folder)
{
  QgConsStatus status = { 0 };

  for (int i = 0; i < MEMBERS; i++)
    {
      members[i].name = g_strdup_printf ("m%d", i);
      members[i].folder = g_build_filename (folder, members[i].name, NULL);
      open_member (&members[i], i);
    }
  qg_cons_bootstrap (members[0].cons);
  do
    {
      guint voters = 0;

      run_step ();
      qg_cons_status (members[0].cons, g_get_monotonic_time (), &status);
      for (guint i = 0; i < status.n_members; i++)
        voters += status.members[i].voter ? 1 : 0;
      if (voters == MEMBERS && status.commit == status.last)
        return;
    }
  while (TRUE);
}

static int
compare_times (const void *a, const void *b)
{
  QgTime x = *(const QgTime *)a;
  QgTime y = *(const QgTime *)b;

  return x < y ? -1 : x > y;
}

static void
run_load (guint window)
{
  QgTime begin = g_get_monotonic_time ();
  QgTime end = begin + RUN_MS * QG_MSEC;
  guint8 zero[COMMAND_BYTES] = { 0 };
  GBytes *command = g_bytes_new_static (zero, sizeof zero);
  guint64 index;
  guint64 term;

  n_samples = 0;
  while (g_get_monotonic_time () < end)
    {
      int l = serving_leader ();

      while (l >= 0 && in_flight < window
             && qg_cons_propose (members[l].cons, command, &index, &term, NULL)
                    == QG_OK
             && index < MAX_SAMPLES)
        {
          proposed_at[index] = g_get_monotonic_time ();
          in_flight++;
        }
      run_step ();
    }
  g_bytes_unref (command);
  if (n_samples == 0)
    return;
  qsort (samples, n_samples, sizeof *samples, compare_times);
  printf ("in flight %4u: %8.0f commits/s, p50 %6.2f ms, p99 %6.2f ms\n",
          window, n_samples * 1e3 / RUN_MS, samples[n_samples / 2] / 1e3,
          samples[n_samples * 99 / 100] / 1e3);
  while (in_flight > 0)
    run_step ();
}

/* Cuts off the leader and measures the time until another member may serve. */
static void
run_elections (void)
{
  for (n_samples = 0; n_samples < ELECTIONS;)
    {
      QgTime begin = g_get_monotonic_time ();
      int old = serving_leader ();

      if (old < 0)
        {
          run_step ();
          continue;
        }
      members[old].down = TRUE;
      while (serving_leader () < 0)
        run_step ();
      samples[n_samples++] = g_get_monotonic_time () - begin;
      members[old].down = FALSE;
      while (g_get_monotonic_time () - begin < 3 * QG_SEC)
        run_step ();
    }
  qsort (samples, n_samples, sizeof *samples, compare_times);
  printf ("new leader serves after: min %.0f ms, p50 %.0f ms, max %.0f ms "
          "(%d elections)\n",
          samples[0] / 1e3, samples[n_samples / 2] / 1e3,
          samples[n_samples - 1] / 1e3, ELECTIONS);
}

static GBytes *
edit_command (guint i)
{
  Qg__ConfChange change = QG__CONF_CHANGE__INIT;
  Qg__ConfEdit edit = QG__CONF_EDIT__INIT;
  Qg__ConfEdit *list[1] = { &edit };
  char id[32];

  g_snprintf (id, sizeof id, "change-%u", i);
  change.change_id = id;
  change.author = (char *)"bench";
  change.teams = QG_TEAM_DCS | QG_TEAM_SERVICES | QG_TEAM_WORKSPACES;
  edit.section = (char *)"dc a";
  edit.key = (char *)(i == 0 ? "region" : "state");
  edit.value = (char *)(i == 0 ? "west" : (i % 2 ? "out" : "in"));
  edit.create = TRUE;
  change.n_edits = 1;
  change.edits = list;
  return qg_rsm_command_conf (&change, (QgTime)i + 1);
}

/* Measures the time to open the store and apply all of its changes. The first
 * pass fills the store, the second one is measured. */
static void
run_restart (const char *folder, guint changes)
{
  g_autofree char *name = g_strdup_printf ("%s/restart-%u", folder, changes);
  QgStoreOptions so = { 0 };
  QgConsState state;
  QgErr err;
  QgTime begin = 0;

  for (int pass = 0; pass < 2; pass++)
    {
      gboolean fresh;
      QgRsm *rsm = qg_rsm_new ();
      QgStore *store;

      begin = g_get_monotonic_time ();
      so.fs = qg_fs_posix_new (name, &err);
      store = qg_store_new (&so);
      if (qg_store_open (store, 1, &state, &fresh, &err) != QG_OK)
        g_error ("%s", err.message);
      for (guint i = 0; i < changes && pass == 0; i++)
        {
          QgConsWrite w = { i, state.hard, NULL, NULL };
          GBytes *command = edit_command (i);

          w.entries = g_ptr_array_new_with_free_func (
              (GDestroyNotify)qg_cons_entry_unref);
          g_ptr_array_add (w.entries,
                           qg_cons_entry_new (
                               i + 1, 1, QG__CONS_KIND__CONS_COMMAND, command));
          if (qg_store_write (store, &w, &err) != QG_OK)
            g_error ("%s", err.message);
          g_bytes_unref (command);
          g_ptr_array_unref (w.entries);
        }
      for (guint i = 0; i < state.entries->len; i++)
        {
          const QgConsEntry *e = state.entries->pdata[i];
          gsize len;
          gconstpointer data = g_bytes_get_data (e->data, &len);

          g_bytes_unref (qg_rsm_apply (rsm, e->index, data, len));
        }
      if (pass == 1)
        printf ("restart after %5u changes: %6.1f ms to revision "
                "%" G_GUINT64_FORMAT "\n",
                changes, (g_get_monotonic_time () - begin) / 1e3,
                qg_conf_revision (qg_rsm_conf (rsm)));
      qg_cons_state_clear (&state);
      qg_rsm_unref (rsm);
      qg_store_unref (store);
      qg_fs_posix_free (so.fs);
    }
}

int
main (int argc, char **argv)
{
  static const guint windows[] = { 1, 4, 16, 64, 256 };
  static const guint changes[] = { 10, 100, 1000 };

  if (argc != 2)
    {
      fprintf (stderr, "usage: slope_cons FOLDER\n");
      return 2;
    }
  qg_event_set_level (QG_SEV_ERROR);
  written = g_async_queue_new ();
  proposed_at = g_new0 (QgTime, MAX_SAMPLES);
  samples = g_new0 (QgTime, MAX_SAMPLES);
  bootstrap_group (argv[1]);
  for (guint i = 0; i < G_N_ELEMENTS (windows); i++)
    run_load (windows[i]);
  run_elections ();
  for (guint i = 0; i < G_N_ELEMENTS (changes); i++)
    run_restart (argv[1], changes[i]);
  return 0;
}
