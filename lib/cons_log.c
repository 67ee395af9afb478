#include "libcons.h"

#include "event.h"

#include <string.h>

/* Bytes counted for an entry in addition to its data. */
#define ENTRY_OVERHEAD 16

QgConsEntry *
qg_cons_entry_new (guint64 index, guint64 term, Qg__ConsKind kind, GBytes *data)
{
  QgConsEntry *entry = g_new0 (QgConsEntry, 1);

  entry->refs = 1;
  entry->index = index;
  entry->term = term;
  entry->kind = kind;
  entry->data = g_bytes_ref (data);
  return entry;
}

QgConsEntry *
qg_cons_entry_ref (QgConsEntry *entry)
{
  g_atomic_int_inc (&entry->refs);
  return entry;
}

void
qg_cons_entry_unref (QgConsEntry *entry)
{
  if (!g_atomic_int_dec_and_test (&entry->refs))
    return;
  g_bytes_unref (entry->data);
  g_free (entry);
}

QgConsSnapshot *
qg_cons_snapshot_new (guint64 index, guint64 term, GBytes *members,
                      GBytes *data)
{
  QgConsSnapshot *snapshot = g_new0 (QgConsSnapshot, 1);

  snapshot->refs = 1;
  snapshot->index = index;
  snapshot->term = term;
  snapshot->members = g_bytes_ref (members);
  snapshot->data = g_bytes_ref (data);
  return snapshot;
}

QgConsSnapshot *
qg_cons_snapshot_ref (QgConsSnapshot *snapshot)
{
  g_atomic_int_inc (&snapshot->refs);
  return snapshot;
}

void
qg_cons_snapshot_unref (QgConsSnapshot *snapshot)
{
  if (!g_atomic_int_dec_and_test (&snapshot->refs))
    return;
  g_bytes_unref (snapshot->members);
  g_bytes_unref (snapshot->data);
  g_free (snapshot);
}

void
qg_cons_state_clear (QgConsState *state)
{
  if (state->hard.vote != NULL)
    qg_str_unref (state->hard.vote);
  if (state->snapshot != NULL)
    qg_cons_snapshot_unref (state->snapshot);
  if (state->entries != NULL)
    g_ptr_array_unref (state->entries);
  memset (state, 0, sizeof *state);
}

guint64
cons_last_index (const QgCons *cons)
{
  return cons->base + cons->log->len;
}

QgConsEntry *
cons_entry (const QgCons *cons, guint64 index)
{
  if (index <= cons->base || index > cons_last_index (cons))
    return NULL;
  return cons->log->pdata[index - cons->base - 1];
}

guint64
cons_term_at (const QgCons *cons, guint64 index)
{
  const QgConsEntry *entry = cons_entry (cons, index);

  if (entry != NULL)
    return entry->term;
  return index == cons->base ? cons->base_term : 0;
}

guint64
cons_log_position (const QgCons *cons, guint64 index)
{
  const QgConsEntry *entry = cons_entry (cons, index);

  return entry != NULL ? entry->position : cons->base_position;
}

/* Takes over the caller's reference to @entry, even on failure. */
gboolean
cons_log_append (QgCons *cons, QgConsEntry *entry)
{
  guint64 last = cons_last_index (cons);

  if (!qg_check_invariant (
          entry->index == last + 1 && entry->term >= cons_term_at (cons, last),
          QG_EV_INV_LOG_ORDER,
          "entry %" G_GUINT64_FORMAT " after %" G_GUINT64_FORMAT, entry->index,
          last))
    {
      qg_cons_entry_unref (entry);
      return FALSE;
    }
  if (entry->kind == QG__CONS_KIND__CONS_MEMBERS
      && !cons_config_add (cons, entry->index, entry->data))
    {
      qg_cons_entry_unref (entry);
      return FALSE;
    }
  entry->position = cons_log_position (cons, last)
                    + g_bytes_get_size (entry->data) + ENTRY_OVERHEAD;
  g_ptr_array_add (cons->log, entry);
  return TRUE;
}

/* Removes the entries from index @from on. None of them may be committed. */
gboolean
cons_log_truncate (QgCons *cons, guint64 from)
{
  if (!qg_check_invariant (
          from > cons->commit && from > cons->base, QG_EV_INV_COMMITTED,
          "truncation at %" G_GUINT64_FORMAT " below commit %" G_GUINT64_FORMAT,
          from, cons->commit))
    return FALSE;
  g_ptr_array_set_size (cons->log, (gint)(from - cons->base - 1));
  cons_config_truncate (cons, from);
  cons->stable = MIN (cons->stable, from - 1);
  cons->submitted = MIN (cons->submitted, from - 1);
  cons->write_last = MIN (cons->write_last, from - 1);
  cons->verified = MIN (cons->verified, from - 1);
  return TRUE;
}

/* Empties the log. The new log starts after the last entry in @snapshot, or at
 * the beginning if @snapshot is NULL. */
void
cons_log_reset (QgCons *cons, QgConsSnapshot *snapshot)
{
  GBytes *empty = g_bytes_new_static ("", 0);

  g_ptr_array_set_size (cons->log, 0);
  g_array_set_size (cons->configs, 0);
  if (cons->snapshot != NULL)
    qg_cons_snapshot_unref (cons->snapshot);
  cons->snapshot = snapshot != NULL ? qg_cons_snapshot_ref (snapshot) : NULL;
  cons->base = snapshot != NULL ? snapshot->index : 0;
  cons->base_term = snapshot != NULL ? snapshot->term : 0;
  cons->base_position = 0;
  cons_config_add (cons, cons->base,
                   snapshot != NULL ? snapshot->members : empty);
  cons->commit = MAX (cons->commit, cons->base);
  cons->submitted = cons->base;
  cons->stable = 0; /* 0 until the snapshot is synced */
  cons->write_last = 0;
  g_bytes_unref (empty);
}

/* Whether a log that ends at index and term is at least as up to date as the
 * log of this member. */
gboolean
cons_log_up_to_date (const QgCons *cons, guint64 index, guint64 term)
{
  guint64 last = cons_last_index (cons);
  guint64 last_term = cons_term_at (cons, last);

  return term > last_term || (term == last_term && index >= last);
}

void
qg_cons_compact (QgCons *cons, QgConsSnapshot *snapshot)
{
  guint64 keep = cons->opts.keep_entries;
  guint64 base;

  if (snapshot->index > cons->applied
      || (cons->snapshot != NULL && snapshot->index <= cons->snapshot->index))
    return;
  if (cons->snapshot != NULL)
    qg_cons_snapshot_unref (cons->snapshot);
  cons->snapshot = qg_cons_snapshot_ref (snapshot);
  base = snapshot->index > keep ? snapshot->index - keep : 0;
  base = MIN (base, cons->stable);
  while (base < snapshot->index
         && cons_log_position (cons, snapshot->index)
                    - cons_log_position (cons, base)
                > cons->opts.keep_bytes)
    base++;
  if (base <= cons->base)
    return;
  while (cons->configs->len > 1
         && g_array_index (cons->configs, ConsConfig, 1).index <= base)
    g_array_remove_index (cons->configs, 0);
  cons->base_term = cons_term_at (cons, base);
  cons->base_position = cons_log_position (cons, base);
  g_ptr_array_remove_range (cons->log, 0, (guint)(base - cons->base));
  cons->base = base;
}

const QgConsEntry *
qg_cons_entry_at (QgCons *cons, guint64 index)
{
  return cons_entry (cons, index);
}

guint64
qg_cons_term_at (QgCons *cons, guint64 index)
{
  return cons_term_at (cons, index);
}

GBytes *
qg_cons_members_at (QgCons *cons, guint64 index)
{
  guint i = cons->configs->len - 1;

  while (i > 0 && g_array_index (cons->configs, ConsConfig, i).index > index)
    i--;
  return g_bytes_ref (g_array_index (cons->configs, ConsConfig, i).packed);
}
