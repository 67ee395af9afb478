#include "leave.h"

static Qg__TargetLeave *copy_record (const Qg__TargetLeave *leave);
static gboolean supersedes (const Qg__TargetLeave *held,
                            const Qg__TargetLeave *leave);
static void drop (QgLeaves *leaves, GList *link);

void
qg_leaves_init (QgLeaves *leaves)
{
  leaves->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&leaves->order);
}

void
qg_leaves_clear (QgLeaves *leaves)
{
  while (leaves->order.head != NULL)
    drop (leaves, leaves->order.head);
  g_clear_pointer (&leaves->by_id, g_hash_table_unref);
}

gboolean
qg_leaves_apply (QgLeaves *leaves, const Qg__TargetLeave *leave)
{
  GList *link = g_hash_table_lookup (leaves->by_id, leave->id);
  Qg__TargetLeave *record;

  if (link != NULL)
    {
      if (!supersedes (link->data, leave))
        return FALSE;
      drop (leaves, link);
    }
  record = copy_record (leave);
  g_queue_push_tail (&leaves->order, record);
  g_hash_table_insert (leaves->by_id, record->id, leaves->order.tail);
  if (leaves->order.length > QG_LEAVES_MAX)
    drop (leaves, leaves->order.head);
  return TRUE;
}

static gboolean
supersedes (const Qg__TargetLeave *held, const Qg__TargetLeave *leave)
{
  if (leave->born_ms != held->born_ms)
    return leave->born_ms > held->born_ms;
  if (leave->gone != held->gone)
    return leave->gone;
  return leave->sequence > held->sequence;
}

static Qg__TargetLeave *
copy_record (const Qg__TargetLeave *leave)
{
  gsize len = qg__target_leave__get_packed_size (leave);
  guint8 *data = g_malloc (len + 1);
  Qg__TargetLeave *copy;

  qg__target_leave__pack (leave, data);
  copy = qg__target_leave__unpack (NULL, len, data);
  g_free (data);
  return copy;
}

static void
drop (QgLeaves *leaves, GList *link)
{
  Qg__TargetLeave *record = link->data;

  g_hash_table_remove (leaves->by_id, record->id);
  g_queue_delete_link (&leaves->order, link);
  qg__target_leave__free_unpacked (record, NULL);
}

Qg__TargetLeave **
qg_leaves_list (const QgLeaves *leaves, size_t *n)
{
  Qg__TargetLeave **list = g_new (Qg__TargetLeave *, leaves->order.length);
  size_t i = 0;

  for (GList *at = leaves->order.head; at != NULL; at = at->next)
    list[i++] = at->data;
  *n = i;
  return list;
}
