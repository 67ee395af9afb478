#include "origin.h"

typedef struct
{
  QgMeshStream stream;
  QgTime at;
  QgTime own_until; /* of a stream of this relay; otherwise 0 */
} Origin;

struct _QgOrigins
{
  GHashTable *by_stream; /* to the link of its Origin in order */
  GQueue order;          /* of Origin, those noted longest ago first */
};

static void drop_oldest (QgOrigins *origins);
static void merge (QgMeshStream *held, const QgMeshStream *stream);
static void expire (QgOrigins *origins, QgTime now);

QgOrigins *
qg_origins_new (void)
{
  QgOrigins *origins = g_new0 (QgOrigins, 1);

  origins->by_stream = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&origins->order);
  return origins;
}

void
qg_origins_free (QgOrigins *origins)
{
  g_hash_table_unref (origins->by_stream);
  g_queue_clear_full (&origins->order, g_free);
  g_free (origins);
}

guint64
qg_origin_attempt (const char *id, gsize len)
{
  guint64 hash = G_GUINT64_CONSTANT (14695981039346656037);

  for (gsize i = 0; i < len; i++)
    hash = (hash ^ (guint8)id[i]) * G_GUINT64_CONSTANT (1099511628211);
  return hash;
}

static void
drop_oldest (QgOrigins *origins)
{
  Origin *origin = g_queue_pop_head (&origins->order);

  g_hash_table_remove (origins->by_stream, &origin->stream.attempt);
  g_free (origin);
}

static void
expire (QgOrigins *origins, QgTime now)
{
  while (origins->order.head != NULL
         && now - ((Origin *)origins->order.head->data)->at > QG_ORIGIN_HOLD)
    drop_oldest (origins);
}

/* Weights that are not stated fit any. Once several attempts have the same
 * ones, a change says of one of them only. */
static void
merge (QgMeshStream *held, const QgMeshStream *stream)
{
  gboolean is_same
      = stream->began_by != 0 && stream->began_by == held->began_by;

  if (held->version != stream->version)
    held->version = QG_ORIGIN_SEVERAL;
  if (stream->weights < 0)
    return;
  if (held->weights < 0)
    held->began_by = stream->began_by;
  else if (!is_same && held->weights != stream->weights)
    held->version = QG_ORIGIN_SEVERAL;
  else if (!is_same)
    held->began_by = 0;
  held->weights = stream->weights;
}

void
qg_origins_add (QgOrigins *origins, const QgMeshStream *stream, QgTime now)
{
  qg_origins_began (origins, stream, 0, now);
}

void
qg_origins_began (QgOrigins *origins, const QgMeshStream *stream, QgTime until,
                  QgTime now)
{
  Origin *origin;
  GList *link;

  expire (origins, now);
  link = g_hash_table_lookup (origins->by_stream, &stream->attempt);
  if (link != NULL)
    {
      origin = link->data;
      merge (&origin->stream, stream);
      origin->at = now;
      origin->own_until = MAX (origin->own_until, until);
      g_queue_unlink (&origins->order, link);
      g_queue_push_tail_link (&origins->order, link);
      return;
    }
  if (origins->order.length >= QG_ORIGINS_MAX)
    drop_oldest (origins);
  origin = g_new (Origin, 1);
  origin->stream = *stream;
  origin->at = now;
  origin->own_until = until;
  g_queue_push_tail (&origins->order, origin);
  g_hash_table_insert (origins->by_stream, &origin->stream.attempt,
                       origins->order.tail);
}

QgMeshStream
qg_origins_find (QgOrigins *origins, guint64 attempt, QgTime now)
{
  const GList *link;

  expire (origins, now);
  link = g_hash_table_lookup (origins->by_stream, &attempt);
  return link != NULL ? ((const Origin *)link->data)->stream
                      : (QgMeshStream){ .attempt = attempt, .weights = -1 };
}

void
qg_origins_each_own (QgOrigins *origins, QgTime now,
                     void (*visit) (gpointer user, const QgMeshStream *stream),
                     gpointer user)
{
  for (GList *at = origins->order.tail; at != NULL; at = at->prev)
    {
      const Origin *origin = at->data;

      if (origin->own_until > now)
        visit (user, &origin->stream);
    }
}

guint
qg_origins_count (const QgOrigins *origins)
{
  return origins->order.length;
}
