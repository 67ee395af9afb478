#include "libdispatch.h"

/* Which prefixes the targets probably have in their KV caches, by target and by
 * prefix. */

/** The targets that have a prefix. */
typedef struct
{
  guint64 key;
  GPtrArray *targets; /* QgDispatchTarget, borrowed */
} Holders;

static void holders_free (gpointer data);
static void add_holder (QgDispatch *dispatch, guint64 key,
                        QgDispatchTarget *target);
static void remove_holder (QgDispatch *dispatch, guint64 key,
                           QgDispatchTarget *target);
static void cache_prefix (QgDispatch *dispatch, QgDispatchTarget *target,
                          guint64 key, guint tokens, QgTime now);
static void drop_oldest (QgDispatch *dispatch, QgDispatchTarget *target);

GHashTable *
dispatch_holders_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                holders_free);
}

static void
holders_free (gpointer data)
{
  Holders *holders = data;

  g_ptr_array_unref (holders->targets);
  g_free (holders);
}

static void
add_holder (QgDispatch *dispatch, guint64 key, QgDispatchTarget *target)
{
  Holders *holders = g_hash_table_lookup (dispatch->holders, &key);

  if (holders == NULL)
    {
      holders = g_new (Holders, 1);
      holders->key = key;
      holders->targets = g_ptr_array_sized_new (1);
      g_hash_table_insert (dispatch->holders, &holders->key, holders);
    }
  g_ptr_array_add (holders->targets, target);
}

static void
remove_holder (QgDispatch *dispatch, guint64 key, QgDispatchTarget *target)
{
  Holders *holders = g_hash_table_lookup (dispatch->holders, &key);

  if (holders == NULL)
    return;
  g_ptr_array_remove_fast (holders->targets, target);
  if (holders->targets->len == 0)
    g_hash_table_remove (dispatch->holders, &key);
}

void
dispatch_cache_clear (QgDispatch *dispatch, QgDispatchTarget *target)
{
  for (GList *at = target->cached_lru.head; at != NULL; at = at->next)
    remove_holder (dispatch, ((DispatchPrefix *)at->data)->key, target);
  g_queue_clear (&target->cached_lru);
  target->cached_tokens = 0;
  g_hash_table_remove_all (target->cached);
}

static void
drop_oldest (QgDispatch *dispatch, QgDispatchTarget *target)
{
  DispatchPrefix *oldest = g_queue_pop_head (&target->cached_lru);

  target->cached_tokens -= oldest->tokens;
  remove_holder (dispatch, oldest->key, target);
  g_hash_table_remove (target->cached, &oldest->key);
}

static void
cache_prefix (QgDispatch *dispatch, QgDispatchTarget *target, guint64 key,
              guint tokens, QgTime now)
{
  DispatchPrefix *cached = g_hash_table_lookup (target->cached, &key);

  if (cached != NULL)
    {
      cached->at = now;
      g_queue_unlink (&target->cached_lru, cached->link);
      g_queue_push_tail_link (&target->cached_lru, cached->link);
      return;
    }
  cached = g_new (DispatchPrefix, 1);
  cached->key = key;
  cached->at = now;
  cached->tokens = tokens;
  g_hash_table_insert (target->cached, &cached->key, cached);
  g_queue_push_tail (&target->cached_lru, cached);
  cached->link = target->cached_lru.tail;
  target->cached_tokens += tokens;
  add_holder (dispatch, key, target);
  while (target->cached_lru.length > DISPATCH_CACHED_PREFIXES_MAX
         || (target->cached_limit > 0
             && target->cached_tokens > target->cached_limit))
    drop_oldest (dispatch, target);
}

/* Records the last part of a prompt as cached, too. This part is specific to
 * the request or its session, so it is not reported to other entries. */
void
dispatch_cache_prefixes (QgDispatch *dispatch, QgDispatchTarget *target,
                         const QgDispatchJob *job, QgTime now)
{
  target->cached_limit
      = (guint64)((double)job->service->model.kv_tokens * DISPATCH_CACHE_PART);
  for (guint i = 0; i < job->n_parts; i++)
    cache_prefix (dispatch, target, job->keys[i], job->parts[i].tokens, now);
}

void
qg_dispatch_add_other_prefix (QgDispatch *dispatch, const QgMeshPrefix *prefix,
                              QgTime now)
{
  QgDispatchTarget *known
      = g_hash_table_lookup (dispatch->by_hash, &prefix->target);

  if (known != NULL)
    cache_prefix (dispatch, known, prefix->key, prefix->tokens, now);
}

/* Visits only the targets that have a prefix of the job: with hundreds of
 * targets, few have one. */
void
dispatch_match_prefixes (QgDispatch *dispatch, const QgDispatchJob *job)
{
  gboolean any = TRUE;

  dispatch->match++;
  for (guint i = 0; i < job->n_parts && any; i++)
    {
      const Holders *holders
          = g_hash_table_lookup (dispatch->holders, &job->keys[i]);

      any = FALSE;
      for (guint n = 0; holders != NULL && n < holders->targets->len; n++)
        {
          QgDispatchTarget *target = g_ptr_array_index (holders->targets, n);

          if (i == 0)
            target->matched_tokens = 0;
          else if (target->match != dispatch->match
                   || target->matched_parts != i)
            continue;
          target->match = dispatch->match;
          target->matched_parts = i + 1;
          target->matched_tokens += job->parts[i].tokens;
          any = TRUE;
        }
    }
}

guint
dispatch_matched_tokens (const QgDispatch *dispatch,
                         const QgDispatchTarget *target)
{
  return target->match == dispatch->match ? target->matched_tokens : 0;
}

void
qg_dispatch_each_prefix (const QgDispatchJob *job,
                         void (*visit) (guint64 key, guint tokens,
                                        gpointer user),
                         gpointer user)
{
  for (guint i = 0; i + 1 < job->n_parts; i++)
    visit (job->keys[i], job->parts[i].tokens, user);
}
