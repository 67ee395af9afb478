#include "libcons.h"

#include <string.h>

gboolean
qg_cons_take_write (QgCons *cons, QgConsWrite *write)
{
  guint64 last = cons_last_index (cons);

  memset (write, 0, sizeof *write);
  if (cons->done_seq < cons->write_seq)
    return FALSE;
  if (!cons->hard_dirty && !cons->install_write_pending
      && cons->submitted >= last)
    return FALSE;
  write->seq = ++cons->write_seq;
  cons->write_started = cons->now;
  write->hard = cons->hard;
  if (write->hard.vote != NULL)
    qg_str_ref (write->hard.vote);
  if (cons->install_write_pending)
    write->snapshot = qg_cons_snapshot_ref (cons->snapshot);
  write->entries
      = g_ptr_array_new_with_free_func ((GDestroyNotify)qg_cons_entry_unref);
  for (guint64 i = cons->submitted + 1; i <= last; i++)
    g_ptr_array_add (write->entries, qg_cons_entry_ref (cons_entry (cons, i)));
  if (cons->hard_dirty)
    cons->hard_seq = write->seq;
  if (cons->install_write_pending)
    cons->install_seq = write->seq;
  cons->hard_dirty = FALSE;
  cons->install_write_pending = FALSE;
  cons->submitted = last;
  cons->write_last = last;
  cons->writing_term = cons->hard.term;
  return TRUE;
}

void
qg_cons_write_clear (QgConsWrite *write)
{
  if (write->snapshot != NULL)
    qg_cons_snapshot_unref (write->snapshot);
  if (write->entries != NULL)
    g_ptr_array_unref (write->entries);
  if (write->hard.vote != NULL)
    qg_str_unref (write->hard.vote);
  memset (write, 0, sizeof *write);
}

void
qg_cons_persisted (QgCons *cons, guint64 seq, QgTime now)
{
  cons->now = MAX (cons->now, now);
  if (seq != cons->write_seq || cons->done_seq == seq)
    return;
  cons->done_seq = seq;
  cons->synced_term = cons->writing_term;
  cons->stable = MAX (cons->stable, cons->write_last);
  if (cons->role == QG_CONS_CANDIDATE)
    cons_count_votes (cons);
  if (cons->role == QG_CONS_LEADER)
    cons_advance_commit (cons);
}

gboolean
qg_cons_take_message (QgCons *cons, QgStr **to, Qg__ConsMsg **msg)
{
  ConsQueued *out = NULL;

  if (cons->role == QG_CONS_LEADER)
    cons_replicate (cons);
  for (GList *l = cons->out.head; l != NULL; l = l->next)
    {
      out = l->data;
      if (out->after_write > cons->done_seq)
        continue;
      g_queue_delete_link (&cons->out, l);
      *to = out->to;
      *msg = out->msg;
      g_free (out);
      (*msg)->disk = cons->hard.disk;
      (*msg)->boot = cons->hard.boot;
      (*msg)->nonce = cons->hard.nonce;
      (*msg)->stable = cons->stable;
      cons_other_fleet_write (cons, *msg);
      if ((*msg)->type == QG__CONS_TYPE__CONS_APPENDED && !(*msg)->reject
          && (*msg)->term == cons->hard.term)
        (*msg)->index = MIN (cons->verified, cons->stable);
      return TRUE;
    }
  return FALSE;
}

gboolean
qg_cons_take_apply (QgCons *cons, QgConsApply *apply)
{
  memset (apply, 0, sizeof *apply);
  if (cons->install_apply_pending)
    {
      if (cons->install_write_pending || cons->done_seq < cons->install_seq)
        return FALSE;
      cons->install_apply_pending = FALSE;
      cons->applied = cons->snapshot->index;
      apply->snapshot = qg_cons_snapshot_ref (cons->snapshot);
      return TRUE;
    }
  if (cons->applied >= MIN (cons->commit, cons->stable))
    return FALSE;
  cons->applied++;
  apply->entry = qg_cons_entry_ref (cons_entry (cons, cons->applied));
  return TRUE;
}

void
qg_cons_apply_clear (QgConsApply *apply)
{
  if (apply->snapshot != NULL)
    qg_cons_snapshot_unref (apply->snapshot);
  if (apply->entry != NULL)
    qg_cons_entry_unref (apply->entry);
  memset (apply, 0, sizeof *apply);
}
