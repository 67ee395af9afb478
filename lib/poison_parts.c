#include "libpoison.h"

#include "event.h"

#include <string.h>

static PoisonRow *find_or_add (QgPoison *poison, const char *service,
                               const guint8 *fingerprint, GPtrArray *changed);
static gboolean is_explained (const QgPoison *poison, guint64 crash);
static gboolean has_crash (const PoisonRow *row, guint64 crash);
static void add_crashes (QgPoison *poison, PoisonRow *row,
                         const Qg__PoisonPart *part, GPtrArray *changed);
static gboolean is_due (const QgPoison *poison, const PoisonRow *row,
                        gboolean whole);
static void quarantine (QgPoison *poison, PoisonRow *row, GPtrArray *changed);
static gboolean remove_explained (PoisonRow *row, const PoisonRow *cause);

guint64
qg_poison_crash_id (const char *target, guint64 born_ms)
{
  return poison_hash_name (target, born_ms, 0);
}

gboolean
poison_parts_valid (const Qg__PoisonParts *parts)
{
  for (gsize i = 0; i < parts->n_parts; i++)
    if (parts->parts[i]->fingerprint.len != QG_POISON_FINGERPRINT_BYTES)
      return FALSE;
  return parts->n_parts <= QG_POISON_MAX_CRASH_FINGERPRINTS;
}

/* Crashes of quarantined parts are recorded first, so that they do not count
 * against the other parts that were in flight. Among parts in the same crashes
 * the deepest is quarantined: the others are shared with more requests. */
void
poison_parts_apply (QgPoison *poison, const Qg__PoisonParts *parts,
                    GPtrArray *changed)
{
  for (gsize i = 0; i < parts->n_parts; i++)
    {
      PoisonRow *row
          = poison_find_row (poison, parts->parts[i]->fingerprint.data);

      if (row != NULL && poison_row_is_quarantined (row))
        add_crashes (poison, row, parts->parts[i], changed);
    }
  for (gsize i = 0; i < parts->n_parts; i++)
    {
      PoisonRow *row = find_or_add (poison, parts->service,
                                    parts->parts[i]->fingerprint.data, changed);

      if (!poison_row_is_quarantined (row))
        add_crashes (poison, row, parts->parts[i], changed);
      if (row->n_crashes == 0)
        poison_drop_row (poison, row);
    }
  for (guint depth = QG_POISON_MAX_DEPTH; depth-- > 0;)
    for (gsize i = 0; i < parts->n_parts; i++)
      {
        PoisonRow *row
            = poison_find_row (poison, parts->parts[i]->fingerprint.data);

        if (MIN (parts->parts[i]->depth, QG_POISON_MAX_DEPTH - 1) == depth
            && row != NULL && is_due (poison, row, parts->parts[i]->whole))
          quarantine (poison, row, changed);
      }
}

static PoisonRow *
find_or_add (QgPoison *poison, const char *service, const guint8 *fingerprint,
             GPtrArray *changed)
{
  PoisonRow *row = poison_find_row (poison, fingerprint);
  const GQueue *queue = &poison->queues[QUEUE_PARTS];

  if (row != NULL)
    return row;
  if (queue->length >= QG_POISON_MAX_PARTS)
    {
      PoisonRow *oldest = queue->head->data;

      poison_add_changed (changed, oldest->fingerprint, QG_POISON_CLEAR);
      poison_drop_row (poison, oldest);
    }
  return poison_add_row (poison, service, fingerprint, QUEUE_PARTS);
}

/* Whether a quarantined part was in flight at the crash. */
static gboolean
is_explained (const QgPoison *poison, guint64 crash)
{
  for (GList *l = poison->queues[QUEUE_QUARANTINED_PARTS].head; l != NULL;
       l = l->next)
    if (has_crash (l->data, crash))
      return TRUE;
  return FALSE;
}

static gboolean
has_crash (const PoisonRow *row, guint64 crash)
{
  for (guint i = 0; i < row->n_crashes; i++)
    if (row->crashes[i].id == crash)
      return TRUE;
  return FALSE;
}

static void
add_crashes (QgPoison *poison, PoisonRow *row, const Qg__PoisonPart *part,
             GPtrArray *changed)
{
  gboolean quarantined = poison_row_is_quarantined (row);
  QgPoisonLevel before = poison_row_level (row);

  for (gsize i = 0; i < part->n_crashes; i++)
    {
      Crash crash = { part->crashes[i], part->crashes[i], 0 };

      if (quarantined || !is_explained (poison, crash.id))
        poison_row_add_crash (row, &crash);
    }
  if (quarantined || row->n_crashes == 0)
    return;
  row->at = poison->now;
  poison_move_row (poison, row, QUEUE_PARTS);
  if (poison_row_level (row) == before)
    return;
  row->since = poison->now;
  poison_add_changed (changed, row->fingerprint, poison_row_level (row));
}

static gboolean
is_due (const QgPoison *poison, const PoisonRow *row, gboolean whole)
{
  guint needed = whole ? QG_POISON_WHOLE_CRASHES : QG_POISON_PART_CRASHES;

  return row->queue == QUEUE_PARTS && row->n_crashes >= needed
         && poison->now - row->since >= QG_POISON_PART_SPAN;
}

static void
quarantine (QgPoison *poison, PoisonRow *row, GPtrArray *changed)
{
  GList *next;

  row->at = poison->now;
  poison_move_row (poison, row, QUEUE_QUARANTINED_PARTS);
  poison_add_changed (changed, row->fingerprint, QG_POISON_QUARANTINED);
  qg_event (
      QG_EV_POISON_QUARANTINED,
      "a request of service %s, or requests with one prompt part, crashed "
      "%u targets, and none completed",
      row->service, row->n_crashes);
  for (GList *l = poison->queues[QUEUE_PARTS].head; l != NULL; l = next)
    {
      PoisonRow *other = l->data;
      QgPoisonLevel before = poison_row_level (other);

      next = l->next;
      if (!remove_explained (other, row))
        continue;
      if (poison_row_level (other) != before)
        poison_add_changed (changed, other->fingerprint,
                            poison_row_level (other));
      if (other->n_crashes == 0)
        poison_drop_row (poison, other);
    }
}

/* Removes the crashes of @cause from @row; FALSE if there were none. */
static gboolean
remove_explained (PoisonRow *row, const PoisonRow *cause)
{
  guint kept = 0;
  guint n = row->n_crashes;

  for (guint i = 0; i < n; i++)
    if (!has_crash (cause, row->crashes[i].id))
      row->crashes[kept++] = row->crashes[i];
  row->n_crashes = kept;
  return kept != n;
}
