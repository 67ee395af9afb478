#include "libcontrol.h"

/* A version has the term above this bit and a count below it, so that two
 * leaders never use the same version. */
#define TERM_SHIFT 32

static void fill_entry (const ControlDaemon *daemon, Qg__DirEntry *entry);
static void push_entry (QgControl *control, const ControlDaemon *daemon,
                        gboolean gone);

static void
fill_entry (const ControlDaemon *daemon, Qg__DirEntry *entry)
{
  qg__dir_entry__init (entry);
  entry->name = daemon->name;
  entry->role = daemon->role;
  entry->dc = daemon->dc;
  entry->region = daemon->region;
  entry->address = daemon->address;
  entry->incarnation = daemon->incarnation;
  entry->service = daemon->service;
}

gboolean
control_settle_time_passed (const QgControl *control)
{
  QgTime since = MAX (control->started, control->lead_since);

  return control->lead_term != 0
         && qg_clock_now () - since > CONTROL_SETTLE_MS * QG_MSEC;
}

/* Sends all entries. The message is not a snapshot until the daemons had time
 * to connect; before that, the receiver keeps the entries that the previous
 * leader sent. */
void
control_send_directory (QgControl *control, ControlDaemon *to)
{
  Qg__Directory directory = QG__DIRECTORY__INIT;
  guint room = g_hash_table_size (control->daemons);
  Qg__DirEntry *entries = g_new (Qg__DirEntry, room);
  Qg__DirEntry **list = g_new (Qg__DirEntry *, room);
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  g_hash_table_iter_init (&iter, control->daemons);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((ControlDaemon *)value)->listed)
      {
        fill_entry (value, &entries[n]);
        list[n] = &entries[n];
        n++;
      }
  directory.version = control->directory_version;
  directory.snapshot = control_settle_time_passed (control);
  directory.n_entries = n;
  directory.entries = list;
  QG_SEND (to->peer, DIRECTORY, directory, &directory);
  g_free (list);
  g_free (entries);
}

static void
push_entry (QgControl *control, const ControlDaemon *daemon, gboolean gone)
{
  Qg__Directory directory = QG__DIRECTORY__INIT;
  Qg__DirEntry entry;
  Qg__DirEntry *list[1] = { &entry };
  GHashTableIter iter;
  gpointer value;

  if (control->lead_term == 0)
    return;
  fill_entry (daemon, &entry);
  entry.gone = gone;
  directory.version = ++control->directory_version;
  directory.n_entries = 1;
  directory.entries = list;
  g_hash_table_iter_init (&iter, control->daemons);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((ControlDaemon *)value)->watching)
      QG_SEND (((ControlDaemon *)value)->peer, DIRECTORY, directory,
               &directory);
}

void
control_directory_add (QgControl *control, ControlDaemon *daemon)
{
  daemon->listed = TRUE;
  push_entry (control, daemon, FALSE);
  if (daemon->role == QG__ROLE__ROLE_RELAY)
    control_push_targets (control);
}

void
control_directory_remove (QgControl *control, ControlDaemon *daemon)
{
  daemon->listed = FALSE;
  push_entry (control, daemon, TRUE);
  if (daemon->role == QG__ROLE__ROLE_RELAY)
    control_push_targets (control);
}

void
control_directory_restart (QgControl *control)
{
  control->directory_version = control->lead_term << TERM_SHIFT;
}
