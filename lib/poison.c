#include "libpoison.h"

#include "event.h"

#include <string.h>

static const QgTime retention[N_QUEUES] = {
  [QUEUE_SUSPECTS] = QG_POISON_SUSPECT_RETENTION,
  [QUEUE_PARTS] = QG_POISON_PART_RETENTION,
  [QUEUE_QUARANTINED] = QG_POISON_QUARANTINE_RETENTION,
  [QUEUE_QUARANTINED_PARTS] = QG_POISON_PART_QUARANTINE_RETENTION,
};

static guint fingerprint_hash (gconstpointer fingerprint);
static gboolean fingerprint_equal (gconstpointer a, gconstpointer b);
static void free_row (gpointer data);
static void insert_row (QgPoison *poison, PoisonRow *row);
static void remove_all (QgPoison *poison);
static void expire (QgPoison *poison, GPtrArray *changed);
static void make_room (QgPoison *poison, GPtrArray *changed);
static void row_info (const PoisonRow *row, QgPoisonInfo *info);
static gboolean are_valid_fingerprints (const ProtobufCBinaryData *fingerprints,
                                        gsize n);
static gboolean is_valid_command (const Qg__PoisonCommand *command);
static void apply_crash (QgPoison *poison, const Qg__PoisonCrash *crash,
                         GPtrArray *changed);
static void record_crash (QgPoison *poison, const char *service,
                          const guint8 *fingerprint, const Crash *crash,
                          GPtrArray *changed);
static void quarantine_if_due (QgPoison *poison, PoisonRow *row);
static void apply_clear (QgPoison *poison, const Qg__PoisonClear *clear,
                         GPtrArray *changed);
static void apply_lift (QgPoison *poison, const Qg__PoisonLift *lift,
                        GPtrArray *changed);
static void fill_row (PoisonRow *row, Qg__PoisonRow *out);
static gboolean load_row (QgPoison *poison, const Qg__PoisonRow *in);

QgPoison *
qg_poison_new (void)
{
  QgPoison *poison = g_new0 (QgPoison, 1);

  poison->refs = 1;
  poison->rows = g_hash_table_new_full (fingerprint_hash, fingerprint_equal,
                                        NULL, free_row);
  return poison;
}

QgPoison *
qg_poison_ref (QgPoison *poison)
{
  poison->refs++;
  return poison;
}

void
qg_poison_unref (QgPoison *poison)
{
  if (poison == NULL || --poison->refs > 0)
    return;
  g_hash_table_unref (poison->rows);
  g_free (poison);
}

Qg__PoisonResult *
qg_poison_apply (QgPoison *poison, const Qg__PoisonCommand *command)
{
  Qg__PoisonResult *result;
  GPtrArray *changed;

  if (!is_valid_command (command))
    return NULL;
  changed = g_ptr_array_new ();
  poison->now = MAX (poison->now, command->now_us);
  expire (poison, changed);
  if (command->kind_case == QG__POISON_COMMAND__KIND_CRASH)
    apply_crash (poison, command->crash, changed);
  else if (command->kind_case == QG__POISON_COMMAND__KIND_CLEAR)
    apply_clear (poison, command->clear, changed);
  else if (command->kind_case == QG__POISON_COMMAND__KIND_PARTS)
    poison_parts_apply (poison, command->parts, changed);
  else
    apply_lift (poison, command->lift, changed);
  result = g_new (Qg__PoisonResult, 1);
  qg__poison_result__init (result);
  result->n_changed = changed->len;
  result->changed = (Qg__PoisonLevel **)g_ptr_array_free (changed, FALSE);
  return result;
}

GBytes *
qg_poison_apply_packed (QgPoison *poison, gconstpointer data, gsize len)
{
  Qg__PoisonCommand *command = qg__poison_command__unpack (NULL, len, data);
  Qg__PoisonResult *result;
  guint8 *out = NULL;
  gsize size = 0;

  if (command == NULL)
    return NULL;
  result = qg_poison_apply (poison, command);
  if (result != NULL)
    {
      size = qg__poison_result__get_packed_size (result);
      out = g_malloc (size + 1);
      qg__poison_result__pack (result, out);
      qg__poison_result__free_unpacked (result, NULL);
    }
  qg__poison_command__free_unpacked (command, NULL);
  return out == NULL ? NULL : g_bytes_new_take (out, size);
}

QgPoisonLevel
qg_poison_level (const QgPoison *poison, gconstpointer fingerprint)
{
  const PoisonRow *row = g_hash_table_lookup (poison->rows, fingerprint);

  return row == NULL ? QG_POISON_CLEAR : poison_row_level (row);
}

guint
qg_poison_count (const QgPoison *poison)
{
  return g_hash_table_size (poison->rows);
}

gboolean
qg_poison_next (const QgPoison *poison, gconstpointer *cursor,
                QgPoisonInfo *info)
{
  const GList *link = *cursor;
  Queue queue = QUEUE_SUSPECTS;

  if (link != NULL)
    {
      queue = ((const PoisonRow *)link->data)->queue;
      link = link->next;
    }
  else
    link = poison->queues[QUEUE_SUSPECTS].head;
  while (link == NULL && ++queue < N_QUEUES)
    link = poison->queues[queue].head;
  if (link == NULL)
    return FALSE;
  *cursor = link;
  row_info (link->data, info);
  return TRUE;
}

GBytes *
qg_poison_snapshot (const QgPoison *poison)
{
  Qg__PoisonSnapshot out = QG__POISON_SNAPSHOT__INIT;
  GPtrArray *rows = g_ptr_array_new ();
  guint8 *bytes;
  gsize size;

  out.now_us = poison->now;
  for (int i = 0; i < N_QUEUES; i++)
    for (GList *l = poison->queues[i].head; l != NULL; l = l->next)
      {
        Qg__PoisonRow *row = g_new (Qg__PoisonRow, 1);

        qg__poison_row__init (row);
        fill_row (l->data, row);
        g_ptr_array_add (rows, row);
      }
  out.n_rows = rows->len;
  out.rows = (Qg__PoisonRow **)rows->pdata;
  size = qg__poison_snapshot__get_packed_size (&out);
  bytes = g_malloc (size + 1);
  qg__poison_snapshot__pack (&out, bytes);
  for (guint i = 0; i < rows->len; i++)
    {
      Qg__PoisonRow *row = g_ptr_array_index (rows, i);

      g_free (row->crash);
      g_free (row->target);
      g_free (row->flags);
      g_free (row);
    }
  g_ptr_array_unref (rows);
  return g_bytes_new_take (bytes, size);
}

QgStatus
qg_poison_restore (QgPoison *poison, gconstpointer data, gsize len, QgErr *err)
{
  Qg__PoisonSnapshot *in = qg__poison_snapshot__unpack (NULL, len, data);
  QgPoison *trial = qg_poison_new ();
  gboolean ok = in != NULL;

  for (gsize i = 0; ok && i < in->n_rows; i++)
    ok = load_row (trial, in->rows[i]);
  if (ok)
    {
      remove_all (poison);
      poison->now = in->now_us;
      for (gsize i = 0; i < in->n_rows; i++)
        load_row (poison, in->rows[i]);
    }
  if (in != NULL)
    qg__poison_snapshot__free_unpacked (in, NULL);
  qg_poison_unref (trial);
  if (ok)
    return QG_OK;
  return qg_fail (err, QG_E_CORRUPT,
                  "the snapshot of the poison table is corrupt; fetch one from "
                  "another member");
}

static guint
fingerprint_hash (gconstpointer fingerprint)
{
  guint hash;

  memcpy (&hash, fingerprint, sizeof hash);
  return hash;
}

static gboolean
fingerprint_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, QG_POISON_FINGERPRINT_BYTES) == 0;
}

static void
free_row (gpointer data)
{
  PoisonRow *row = data;

  g_free (row->service);
  g_free (row);
}

guint64
poison_hash_name (const char *name, guint64 a, guint64 b)
{
  guint64 numbers[] = { GUINT64_TO_LE (a), GUINT64_TO_LE (b) };

  return poison_fnv1a (poison_fnv1a (POISON_FNV1A_BEGIN, name, strlen (name)),
                       numbers, sizeof numbers);
}

PoisonRow *
poison_find_row (const QgPoison *poison, const guint8 *fingerprint)
{
  return g_hash_table_lookup (poison->rows, fingerprint);
}

PoisonRow *
poison_add_row (QgPoison *poison, const char *service,
                const guint8 *fingerprint, Queue queue)
{
  PoisonRow *row = g_new0 (PoisonRow, 1);

  memcpy (row->fingerprint, fingerprint, QG_POISON_FINGERPRINT_BYTES);
  row->service = g_strdup (service);
  row->queue = queue;
  row->is_part = queue == QUEUE_PARTS;
  insert_row (poison, row);
  return row;
}

void
poison_move_row (QgPoison *poison, PoisonRow *row, Queue queue)
{
  g_queue_unlink (&poison->queues[row->queue], &row->link);
  row->queue = queue;
  g_queue_push_tail_link (&poison->queues[queue], &row->link);
}

gboolean
poison_row_add_crash (PoisonRow *row, const Crash *crash)
{
  for (guint i = 0; i < row->n_crashes; i++)
    if (row->crashes[i].id == crash->id)
      return FALSE;
  if (row->n_crashes == QG_POISON_MAX_CRASH_RECORDS)
    {
      memmove (row->crashes, row->crashes + 1,
               (QG_POISON_MAX_CRASH_RECORDS - 1) * sizeof *row->crashes);
      row->n_crashes--;
    }
  row->crashes[row->n_crashes++] = *crash;
  return TRUE;
}

static void
insert_row (QgPoison *poison, PoisonRow *row)
{
  row->link.data = row;
  g_hash_table_insert (poison->rows, row->fingerprint, row);
  g_queue_push_tail_link (&poison->queues[row->queue], &row->link);
}

void
poison_drop_row (QgPoison *poison, PoisonRow *row)
{
  g_queue_unlink (&poison->queues[row->queue], &row->link);
  g_hash_table_remove (poison->rows, row->fingerprint);
}

static void
remove_all (QgPoison *poison)
{
  for (int i = 0; i < N_QUEUES; i++)
    while (poison->queues[i].head != NULL)
      poison_drop_row (poison, poison->queues[i].head->data);
}

static void
expire (QgPoison *poison, GPtrArray *changed)
{
  for (int i = 0; i < N_QUEUES; i++)
    while (poison->queues[i].head != NULL)
      {
        PoisonRow *row = poison->queues[i].head->data;

        if (poison->now - row->at < retention[i])
          break;
        poison_add_changed (changed, row->fingerprint, QG_POISON_CLEAR);
        poison_drop_row (poison, row);
      }
}

static void
make_room (QgPoison *poison, GPtrArray *changed)
{
  Queue from = QUEUE_SUSPECTS;
  PoisonRow *row;

  if (qg_poison_count (poison) - poison->queues[QUEUE_PARTS].length
      < QG_POISON_MAX_FINGERPRINTS)
    return;
  if (poison->queues[from].head == NULL)
    from = QUEUE_QUARANTINED;
  row = g_queue_peek_head (&poison->queues[from]);
  if (row == NULL)
    return;
  qg_event (QG_EV_POISON_FULL,
            "the table is full with %u fingerprints; dropped one of service "
            "%s",
            qg_poison_count (poison), row->service);
  poison_add_changed (changed, row->fingerprint, QG_POISON_CLEAR);
  poison_drop_row (poison, row);
}

void
poison_add_changed (GPtrArray *changed, const guint8 *fingerprint,
                    QgPoisonLevel level)
{
  Qg__PoisonLevel *item = g_new (Qg__PoisonLevel, 1);

  qg__poison_level__init (item);
  item->fingerprint.data = g_memdup2 (fingerprint, QG_POISON_FINGERPRINT_BYTES);
  item->fingerprint.len = QG_POISON_FINGERPRINT_BYTES;
  item->level = level;
  g_ptr_array_add (changed, item);
}

gboolean
poison_row_is_quarantined (const PoisonRow *row)
{
  return row->queue == QUEUE_QUARANTINED
         || row->queue == QUEUE_QUARANTINED_PARTS;
}

QgPoisonLevel
poison_row_level (const PoisonRow *row)
{
  if (poison_row_is_quarantined (row))
    return QG_POISON_QUARANTINED;
  if (row->is_part)
    return row->n_crashes > 1 ? QG_POISON_APART : QG_POISON_CLEAR;
  return row->n_crashes > 1 ? QG_POISON_ALONE : QG_POISON_APART;
}

static void
row_info (const PoisonRow *row, QgPoisonInfo *info)
{
  memset (info, 0, sizeof *info);
  memcpy (info->fingerprint, row->fingerprint, QG_POISON_FINGERPRINT_BYTES);
  info->service = row->service;
  info->level = poison_row_level (row);
  info->crashes = row->n_crashes;
  info->at = row->at;
  for (guint i = 0; i < row->n_crashes; i++)
    {
      const Crash *c = &row->crashes[i];
      gboolean new_target = TRUE;

      for (guint j = 0; j < i; j++)
        new_target = new_target && row->crashes[j].target != c->target;
      info->targets += new_target ? 1 : 0;
      info->alone += (c->flags & CRASH_ALONE) != 0 ? 1 : 0;
      info->sound += (c->flags & CRASH_SOUND) != 0 ? 1 : 0;
      info->sound_alone += c->flags == (CRASH_ALONE | CRASH_SOUND) ? 1 : 0;
    }
}

static gboolean
are_valid_fingerprints (const ProtobufCBinaryData *fingerprints, gsize n)
{
  for (gsize i = 0; i < n; i++)
    if (fingerprints[i].len != QG_POISON_FINGERPRINT_BYTES)
      return FALSE;
  return n <= QG_POISON_MAX_CRASH_FINGERPRINTS;
}

static gboolean
is_valid_command (const Qg__PoisonCommand *command)
{
  switch (command->kind_case)
    {
    case QG__POISON_COMMAND__KIND_CRASH:
      return are_valid_fingerprints (command->crash->fingerprints,
                                     command->crash->n_fingerprints);
    case QG__POISON_COMMAND__KIND_CLEAR:
      return are_valid_fingerprints (command->clear->fingerprints,
                                     command->clear->n_fingerprints);
    case QG__POISON_COMMAND__KIND_PARTS:
      return poison_parts_valid (command->parts);
    case QG__POISON_COMMAND__KIND_LIFT:
      return command->lift->fingerprint.len == 0
             || command->lift->fingerprint.len == QG_POISON_FINGERPRINT_BYTES;
    default:
      return FALSE;
    }
}

static void
apply_crash (QgPoison *poison, const Qg__PoisonCrash *crash, GPtrArray *changed)
{
  Crash seen = {
    .id = poison_hash_name (crash->agent, crash->incarnation, crash->seq),
    .target = poison_hash_name (crash->agent, 0, 0),
    .flags = (crash->n_fingerprints == 1 ? CRASH_ALONE : 0u)
             | (crash->sound ? CRASH_SOUND : 0u),
  };

  if (crash->n_fingerprints > 0)
    qg_event (QG_EV_POISON_SUSPECT,
              "the target of %s crashed with %u requests in flight",
              crash->agent, (guint)crash->n_fingerprints);
  for (gsize i = 0; i < crash->n_fingerprints; i++)
    record_crash (poison, crash->service, crash->fingerprints[i].data, &seen,
                  changed);
}

static void
record_crash (QgPoison *poison, const char *service, const guint8 *fingerprint,
              const Crash *crash, GPtrArray *changed)
{
  PoisonRow *row = g_hash_table_lookup (poison->rows, fingerprint);

  if (row == NULL)
    {
      make_room (poison, changed);
      row = poison_add_row (poison, service, fingerprint, QUEUE_SUSPECTS);
    }
  if (poison_row_is_quarantined (row) || !poison_row_add_crash (row, crash))
    return;
  row->at = poison->now;
  poison_move_row (poison, row, row->queue);
  quarantine_if_due (poison, row);
  poison_add_changed (changed, fingerprint, poison_row_level (row));
}

/* Quarantines @row if the condition at the top of poison.h holds. */
static void
quarantine_if_due (QgPoison *poison, PoisonRow *row)
{
  QgPoisonInfo info;

  row_info (row, &info);
  if (info.crashes < QG_POISON_MIN_CRASHES || info.alone == 0)
    return;
  if (info.targets < QG_POISON_MIN_TARGETS
      && info.sound_alone < QG_POISON_MIN_SOUND_ALONE
      && info.sound < QG_POISON_MIN_SOUND)
    return;
  poison_move_row (poison, row, QUEUE_QUARANTINED);
  qg_event (QG_EV_POISON_QUARANTINED,
            "a request of service %s crashed %u different targets; %u crashes "
            "are on record",
            row->service, info.targets, info.crashes);
}

static void
apply_clear (QgPoison *poison, const Qg__PoisonClear *clear, GPtrArray *changed)
{
  for (gsize i = 0; i < clear->n_fingerprints; i++)
    {
      const guint8 *fingerprint = clear->fingerprints[i].data;
      PoisonRow *row = g_hash_table_lookup (poison->rows, fingerprint);

      if (row == NULL || poison_row_is_quarantined (row))
        continue;
      poison_add_changed (changed, fingerprint, QG_POISON_CLEAR);
      poison_drop_row (poison, row);
    }
}

static void
apply_lift (QgPoison *poison, const Qg__PoisonLift *lift, GPtrArray *changed)
{
  for (Queue queue = QUEUE_QUARANTINED; queue < N_QUEUES; queue++)
    {
      GList *next;

      for (GList *l = poison->queues[queue].head; l != NULL; l = next)
        {
          PoisonRow *row = l->data;

          next = l->next;
          if (lift->fingerprint.len != 0
              && !fingerprint_equal (row->fingerprint, lift->fingerprint.data))
            continue;
          poison_add_changed (changed, row->fingerprint, QG_POISON_CLEAR);
          poison_drop_row (poison, row);
        }
    }
}

static void
fill_row (PoisonRow *row, Qg__PoisonRow *out)
{
  out->fingerprint.data = row->fingerprint;
  out->fingerprint.len = QG_POISON_FINGERPRINT_BYTES;
  out->service = row->service;
  out->quarantined = poison_row_is_quarantined (row);
  out->at_us = row->at;
  out->part = row->is_part;
  out->since_us = row->since;
  out->n_crash = out->n_target = out->n_flags = row->n_crashes;
  out->crash = g_new (guint64, row->n_crashes);
  out->target = g_new (guint64, row->n_crashes);
  out->flags = g_new (guint32, row->n_crashes);
  for (guint i = 0; i < row->n_crashes; i++)
    {
      out->crash[i] = row->crashes[i].id;
      out->target[i] = row->crashes[i].target;
      out->flags[i] = row->crashes[i].flags;
    }
}

static gboolean
load_row (QgPoison *poison, const Qg__PoisonRow *in)
{
  PoisonRow *row;

  if (in->fingerprint.len != QG_POISON_FINGERPRINT_BYTES || in->n_crash == 0
      || in->n_crash > QG_POISON_MAX_CRASH_RECORDS
      || in->n_target != in->n_crash || in->n_flags != in->n_crash
      || g_hash_table_contains (poison->rows, in->fingerprint.data))
    return FALSE;
  row = g_new0 (PoisonRow, 1);
  memcpy (row->fingerprint, in->fingerprint.data, QG_POISON_FINGERPRINT_BYTES);
  row->service = g_strdup (in->service);
  row->is_part = in->part != 0;
  if (in->quarantined)
    row->queue = in->part ? QUEUE_QUARANTINED_PARTS : QUEUE_QUARANTINED;
  else
    row->queue = in->part ? QUEUE_PARTS : QUEUE_SUSPECTS;
  row->at = in->at_us;
  row->since = in->since_us;
  row->n_crashes = (guint)in->n_crash;
  for (guint i = 0; i < row->n_crashes; i++)
    row->crashes[i] = (Crash){ in->crash[i], in->target[i], in->flags[i] };
  insert_row (poison, row);
  return TRUE;
}
