#include "isolate.h"

#include "event.h"

#include <string.h>

typedef struct
{
  guint64 id;
  guint8 fingerprint[QG_POISON_FINGERPRINT_BYTES];
  QgPoisonLevel level;
  gboolean sent;     /* to the target */
  guint start;       /* of the target, when it was sent */
  gboolean answered; /* in part at least */
  gboolean exposed;  /* was at the target when the first connection broke */
  gboolean paused;   /* the agent does not read its answer */
  gboolean reported; /* was paused when a crash was reported with it */
} Request;

struct _QgIsolate
{
  int refs;
  GHashTable *running; /* id to Request */
  guint suspects;      /* number of suspects in flight */
  gboolean alone;      /* an ALONE request is in flight */
  Request *held;
  gboolean finished;  /* the target completed a request since it started */
  gboolean pending;   /* a connection broke, and the check is not due yet */
  QgTime broke_at;    /* when the first connection broke */
  GPtrArray *exposed; /* fingerprints of those that ended, as GBytes */
  gboolean alive;     /* the target was alive after the connection broke */
  guint start;        /* number of restarts of the target */
  guint broken_start; /* start to which the first connection belonged */
  /* Fingerprints of requests that were cancelled without an answer, and after
   * which the target has answered none, in two generations. */
  GPtrArray *unanswered[2];
  QgTime generation_began;
  gboolean crash_known; /* the crash of this start was reported */
};

static void start_request (QgIsolate *isolate, Request *request);
static void begin_check (QgIsolate *isolate, const Request *broken, QgTime now);
static void add_exposed (QgIsolate *isolate, const Request *request);
static gboolean any_connected (const QgIsolate *isolate);
static void add_paused (QgIsolate *isolate);
static void end_check (QgIsolate *isolate);
static void remove_running (QgIsolate *isolate, Request *request);
static gboolean start_held (QgIsolate *isolate, guint64 *next);
static GPtrArray *new_fingerprints (void);
static GBytes *print_of (const Request *request);
static void forget_unanswered (QgIsolate *isolate);

QgIsolate *
qg_isolate_new (void)
{
  QgIsolate *isolate = g_new0 (QgIsolate, 1);

  isolate->refs = 1;
  isolate->running
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  isolate->exposed = new_fingerprints ();
  for (guint i = 0; i < G_N_ELEMENTS (isolate->unanswered); i++)
    isolate->unanswered[i] = new_fingerprints ();
  return isolate;
}

QgIsolate *
qg_isolate_ref (QgIsolate *isolate)
{
  isolate->refs++;
  return isolate;
}

void
qg_isolate_unref (QgIsolate *isolate)
{
  if (isolate == NULL || --isolate->refs > 0)
    return;
  g_hash_table_unref (isolate->running);
  g_ptr_array_unref (isolate->exposed);
  for (guint i = 0; i < G_N_ELEMENTS (isolate->unanswered); i++)
    g_ptr_array_unref (isolate->unanswered[i]);
  g_free (isolate->held);
  g_free (isolate);
}

QgIsolateVerdict
qg_isolate_admit (QgIsolate *isolate, guint64 id, const guint8 *fingerprint,
                  QgPoisonLevel level)
{
  gboolean suspect = level != QG_POISON_CLEAR;
  Request *request;

  if (!qg_isolate_may_pull (isolate) || (suspect && isolate->suspects > 0)
      || g_hash_table_contains (isolate->running, &id))
    return QG_ISOLATE_BOUNCE;
  request = g_new0 (Request, 1);
  request->id = id;
  request->level = level;
  memcpy (request->fingerprint, fingerprint, QG_POISON_FINGERPRINT_BYTES);
  if (level >= QG_POISON_ALONE && qg_isolate_running (isolate) > 0)
    {
      isolate->held = request;
      return QG_ISOLATE_HOLD;
    }
  start_request (isolate, request);
  return QG_ISOLATE_RUN;
}

void
qg_isolate_sent (QgIsolate *isolate, guint64 id)
{
  Request *request = g_hash_table_lookup (isolate->running, &id);

  if (request == NULL)
    return;
  request->sent = TRUE;
  request->start = isolate->start;
}

void
qg_isolate_answer_began (QgIsolate *isolate, guint64 id, gboolean same_start)
{
  Request *request = g_hash_table_lookup (isolate->running, &id);

  if (request == NULL || request->answered)
    return;
  request->answered = TRUE;
  if (request->start == isolate->start)
    forget_unanswered (isolate);
  if (request->exposed
      || (same_start && isolate->start == isolate->broken_start))
    isolate->alive = TRUE;
}

void
qg_isolate_set_paused (QgIsolate *isolate, guint64 id, gboolean paused)
{
  Request *request = g_hash_table_lookup (isolate->running, &id);

  if (request != NULL)
    request->paused = paused;
}

gboolean
qg_isolate_target_restarted (QgIsolate *isolate, QgIsolateCrash *crash)
{
  GPtrArray *silent = new_fingerprints ();
  gboolean is_news = !isolate->pending && !isolate->crash_known;
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < G_N_ELEMENTS (isolate->unanswered); i++)
    for (guint n = 0; n < isolate->unanswered[i]->len; n++)
      g_ptr_array_add (
          silent, g_bytes_ref (g_ptr_array_index (isolate->unanswered[i], n)));
  g_hash_table_iter_init (&iter, isolate->running);
  /* Without a cancelled request, the connections of the others tell. */
  is_news = is_news && silent->len > 0;
  while (is_news && g_hash_table_iter_next (&iter, NULL, &value))
    {
      Request *request = value;

      if (!request->sent || request->answered || request->reported
          || request->start != isolate->start)
        continue;
      g_ptr_array_add (silent, print_of (request));
      request->reported = TRUE;
    }
  forget_unanswered (isolate);
  isolate->start++;
  isolate->crash_known = FALSE;
  if (is_news)
    {
      crash->fingerprints = g_ptr_array_ref (silent);
      crash->sound = isolate->finished;
      isolate->finished = FALSE;
    }
  g_ptr_array_unref (silent);
  return is_news;
}

gboolean
qg_isolate_was_lost (const QgIsolate *isolate, guint64 id)
{
  const Request *request = g_hash_table_lookup (isolate->running, &id);

  return request != NULL && request->sent && !request->answered
         && !request->reported && request->start != isolate->start;
}

static void
forget_unanswered (QgIsolate *isolate)
{
  for (guint i = 0; i < G_N_ELEMENTS (isolate->unanswered); i++)
    g_ptr_array_set_size (isolate->unanswered[i], 0);
}

void
qg_isolate_expire (QgIsolate *isolate, QgTime now)
{
  GPtrArray *old = isolate->unanswered[1];

  if (now - isolate->generation_began < QG_ISOLATE_UNANSWERED_TIME)
    return;
  isolate->generation_began = now;
  g_ptr_array_set_size (old, 0);
  isolate->unanswered[1] = isolate->unanswered[0];
  isolate->unanswered[0] = old;
}

gboolean
qg_isolate_end (QgIsolate *isolate, guint64 id, QgIsolateEnd end, guint64 *next)
{
  Request *request = g_hash_table_lookup (isolate->running, &id);

  if (request == NULL)
    {
      if (isolate->held != NULL && isolate->held->id == id)
        g_clear_pointer (&isolate->held, g_free);
      return FALSE;
    }
  if (end == QG_ISOLATE_COMPLETE)
    {
      isolate->finished = TRUE;
      qg_isolate_answer_began (isolate, id, FALSE);
    }
  if (end != QG_ISOLATE_NOT_SENT)
    add_exposed (isolate, request);
  if (end == QG_ISOLATE_CANCELLED && request->sent && !request->answered
      && !request->reported && request->start == isolate->start
      && isolate->unanswered[0]->len < QG_POISON_MAX_CRASH_FINGERPRINTS)
    g_ptr_array_add (isolate->unanswered[0], print_of (request));
  remove_running (isolate, request);
  return start_held (isolate, next);
}

gboolean
qg_isolate_connection_lost (QgIsolate *isolate, guint64 id, QgTime now,
                            guint64 *next)
{
  Request *request = g_hash_table_lookup (isolate->running, &id);

  if (request == NULL)
    return FALSE;
  request->sent = TRUE;
  if (!isolate->pending && !request->reported)
    begin_check (isolate, request, now);
  add_exposed (isolate, request);
  remove_running (isolate, request);
  return start_held (isolate, next);
}

gboolean
qg_isolate_may_pull (const QgIsolate *isolate)
{
  return !isolate->alone && isolate->held == NULL;
}

guint
qg_isolate_running (const QgIsolate *isolate)
{
  return g_hash_table_size (isolate->running);
}

gboolean
qg_isolate_crashed (QgIsolate *isolate, QgTime now, QgIsolateCrash *crash)
{
  if (!isolate->pending || now - isolate->broke_at < QG_ISOLATE_CRASH_WINDOW)
    return FALSE;
  if (isolate->alive || any_connected (isolate))
    {
      end_check (isolate);
      return FALSE;
    }
  add_paused (isolate);
  crash->fingerprints = g_ptr_array_ref (isolate->exposed);
  crash->sound = isolate->finished;
  isolate->finished = FALSE;
  isolate->crash_known = isolate->broken_start == isolate->start;
  forget_unanswered (isolate);
  end_check (isolate);
  return TRUE;
}

/* Called when the first connection breaks. Marks all requests at the target: if
 * it crashed, all their connections end. */
static void
begin_check (QgIsolate *isolate, const Request *broken, QgTime now)
{
  GHashTableIter iter;
  gpointer value;

  isolate->pending = TRUE;
  isolate->broke_at = now;
  isolate->alive = FALSE;
  isolate->broken_start = broken->start;
  g_hash_table_iter_init (&iter, isolate->running);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Request *request = value;

      request->exposed = request->sent && !request->reported;
    }
}

static void
add_exposed (QgIsolate *isolate, const Request *request)
{
  if (request->exposed)
    g_ptr_array_add (isolate->exposed, print_of (request));
}

static GBytes *
print_of (const Request *request)
{
  return g_bytes_new (request->fingerprint, QG_POISON_FINGERPRINT_BYTES);
}

static gboolean
any_connected (const QgIsolate *isolate)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, isolate->running);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Request *)value)->exposed && !((Request *)value)->paused)
      return TRUE;
  return FALSE;
}

static void
add_paused (QgIsolate *isolate)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, isolate->running);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Request *request = value;

      add_exposed (isolate, request);
      request->reported = request->reported || request->exposed;
    }
}

static void
end_check (QgIsolate *isolate)
{
  GHashTableIter iter;
  gpointer value;

  isolate->pending = FALSE;
  g_ptr_array_unref (isolate->exposed);
  isolate->exposed = new_fingerprints ();
  g_hash_table_iter_init (&iter, isolate->running);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Request *)value)->exposed = FALSE;
}

static void
remove_running (QgIsolate *isolate, Request *request)
{
  isolate->suspects -= request->level != QG_POISON_CLEAR ? 1 : 0;
  isolate->alone = isolate->alone && request->level < QG_POISON_ALONE;
  g_hash_table_remove (isolate->running, &request->id);
}

static gboolean
start_held (QgIsolate *isolate, guint64 *next)
{
  Request *request = isolate->held;

  if (request == NULL || qg_isolate_running (isolate) > 0)
    return FALSE;
  isolate->held = NULL;
  *next = request->id;
  start_request (isolate, request);
  return TRUE;
}

static GPtrArray *
new_fingerprints (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
}

static void
start_request (QgIsolate *isolate, Request *request)
{
  if (!qg_check_invariant (request->level < QG_POISON_ALONE
                               || qg_isolate_running (isolate) == 0,
                           QG_EV_INV_ISOLATE,
                           "suspect not isolated: %u other requests in flight",
                           qg_isolate_running (isolate)))
    {
      g_free (request);
      return;
    }
  isolate->suspects += request->level != QG_POISON_CLEAR ? 1 : 0;
  isolate->alone = request->level >= QG_POISON_ALONE;
  g_hash_table_insert (isolate->running, &request->id, request);
}
