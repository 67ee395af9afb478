#include "libdispatch.h"

#include <math.h>
#include <string.h>

static void set_str (QgStr **field, const char *text);
static QgDispatchTarget *target_new (const char *id);
static void forget (QgDispatchTarget *target);
static void index_target (QgDispatch *dispatch, QgDispatchTarget *target);
static void unindex_target (QgDispatch *dispatch, QgDispatchTarget *target);

static void
set_str (QgStr **field, const char *text)
{
  QgStr *fresh;

  if (*field != NULL && strcmp (*field, text) == 0)
    return;
  fresh = qg_str_new (text);
  if (*field != NULL)
    qg_str_unref (*field);
  *field = fresh;
}

static QgDispatchTarget *
target_new (const char *id)
{
  QgDispatchTarget *target = g_new0 (QgDispatchTarget, 1);

  target->refs = 1;
  target->id = qg_str_new (id);
  target->kept
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  target->window = DISPATCH_WINDOW_START;
  target->cold_sent = g_new0 (QgTime, DISPATCH_COLD_RING);
  for (int i = 0; i < DISPATCH_COLD_RING; i++)
    target->cold_sent[i] = G_MININT64 / 2;
  return target;
}

QgDispatchTarget *
qg_dispatch_target_ref (QgDispatchTarget *target)
{
  target->refs++;
  return target;
}

void
qg_dispatch_target_unref (QgDispatchTarget *target)
{
  if (target == NULL || --target->refs > 0)
    return;
  forget (target);
  g_hash_table_unref (target->kept);
  g_free (target->cold_sent);
  qg_str_unref (target->id);
  qg_str_unref (target->address);
  qg_str_unref (target->service);
  qg_str_unref (target->dc);
  qg_str_unref (target->region);
  g_free (target);
}

/* A new start holds nothing of what the one before it had read. */
static void
forget (QgDispatchTarget *target)
{
  g_queue_clear (&target->kept_order);
  g_hash_table_remove_all (target->kept);
}

void
qg_dispatch_target (QgDispatch *dispatch, const QgDispatchTargetInfo *info,
                    QgTime now)
{
  QgDispatchTarget *target = g_hash_table_lookup (dispatch->targets, info->id);

  if (target == NULL)
    {
      target = target_new (info->id);
      g_hash_table_insert (dispatch->targets, target->id, target);
    }
  else
    unindex_target (dispatch, target);
  if (target->born_ms != info->born_ms)
    {
      forget (target);
      target->shun_until = 0;
      target->shunned = 0;
      target->wait = 0;
    }
  set_str (&target->address, info->address);
  set_str (&target->service, info->service);
  set_str (&target->dc, info->dc);
  set_str (&target->region, info->region);
  target->slots = MAX (info->slots, 1);
  target->draining = info->draining;
  target->cold_until = info->cold_until;
  target->born_ms = info->born_ms;
  target->hash = 0;
  for (const char *at = info->id; *at != '\0'; at++)
    target->hash = target->hash * G_GUINT64_CONSTANT (1099511628211)
                   + (guint8)*at;
  index_target (dispatch, target);
}

static void
index_target (QgDispatch *dispatch, QgDispatchTarget *target)
{
  GPtrArray *list = g_hash_table_lookup (dispatch->services, target->service);

  if (list == NULL)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (dispatch->services, g_strdup (target->service),
                           list);
    }
  g_ptr_array_add (list, target);
}

static void
unindex_target (QgDispatch *dispatch, QgDispatchTarget *target)
{
  g_ptr_array_remove (
      g_hash_table_lookup (dispatch->services, target->service), target);
}

void
qg_dispatch_target_gone (QgDispatch *dispatch, const char *id)
{
  QgDispatchTarget *target = g_hash_table_lookup (dispatch->targets, id);

  if (target == NULL)
    return;
  unindex_target (dispatch, target);
  target->gone = TRUE;
  g_hash_table_remove (dispatch->targets, id);
}

void
qg_dispatch_keep_only (QgDispatch *dispatch, GHashTable *ids)
{
  GList *known = g_hash_table_get_keys (dispatch->targets);

  for (GList *at = known; at != NULL; at = at->next)
    if (!g_hash_table_contains (ids, at->data))
      qg_dispatch_target_gone (dispatch, at->data);
  g_list_free (known);
}

gboolean
dispatch_usable (const QgDispatch *dispatch, const QgDispatchTarget *target,
                 QgTime now)
{
  return !target->gone && !target->draining && now >= target->shun_until
         && !g_hash_table_contains (dispatch->drained, target->dc);
}

/* The rate of a cold target is one for the fleet. Each entry takes its part,
 * rounded down: with more entries than that, those whose number comes up. */
gboolean
dispatch_cold_allows (const QgDispatch *dispatch,
                      const QgDispatchTarget *target, const QgService *service,
                      QgTime now)
{
  guint part;
  guint n = 0;

  if (service->cold_rate <= 0
      || now >= MAX (target->cold_until, target->doubt_until))
    return TRUE;
  part = (guint)(service->cold_rate / dispatch->entries);
  part = CLAMP (part, 1, DISPATCH_COLD_RING);
  for (int i = 0; i < DISPATCH_COLD_RING; i++)
    n += now - target->cold_sent[i] < DISPATCH_COLD_SPAN ? 1 : 0;
  return n < part;
}

void
dispatch_cold_sent (QgDispatchTarget *target, QgTime now)
{
  target->cold_sent[target->cold_at] = now;
  target->cold_at = (target->cold_at + 1) % DISPATCH_COLD_RING;
}

double
dispatch_wait (const QgDispatchTarget *target, QgTime now)
{
  double age = (double)MAX (now - target->wait_at, 0);

  return target->wait * exp2 (-age / (double)DISPATCH_WAIT_HALF);
}

/* The window closes once for what was sent before it last closed: those
 * answers tell of the same queue. */
void
dispatch_learn (QgDispatchTarget *target, gint64 unread, double wait,
                QgTime sent, QgTime now)
{
  target->wait = dispatch_wait (target, now) * (1 - DISPATCH_WAIT_GAIN)
                 + wait * DISPATCH_WAIT_GAIN;
  target->wait_at = now;
  if (wait <= (double)DISPATCH_WAIT_GOAL)
    target->window += (double)unread * DISPATCH_WINDOW_OPEN;
  else if (sent > target->closed_at)
    {
      target->window *= DISPATCH_WINDOW_CLOSE;
      target->closed_at = now;
    }
  target->window = CLAMP (target->window, DISPATCH_WINDOW_MIN,
                          DISPATCH_WINDOW_MAX);
}

void
dispatch_keep (QgDispatchTarget *target, const QgDispatchJob *job, QgTime now)
{
  for (guint i = 0; i < job->n_parts; i++)
    {
      QgTime *at = g_hash_table_lookup (target->kept, &job->keys[i]);
      guint64 *entry;

      if (at != NULL)
        {
          *at = now;
          continue;
        }
      /* Key and time share one block, which the table owns. */
      entry = g_new (guint64, 2);
      entry[0] = (guint64)now;
      entry[1] = job->keys[i];
      g_hash_table_insert (target->kept, &entry[1], entry);
      g_queue_push_tail (&target->kept_order, &entry[1]);
    }
  while (target->kept_order.length > DISPATCH_KEPT_MAX)
    g_hash_table_remove (target->kept,
                         g_queue_pop_head (&target->kept_order));
}
