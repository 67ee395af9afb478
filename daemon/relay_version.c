#include "lib/event.h"
#include "librelay.h"

#include <string.h>

/* A stream goes on only at the version of the targets' software that began it,
 * and with the weights that its caller has seen last, if targets state them.
 * Within an answer the call holds both; over the tries of a caller, the
 * table of origins does, by the attempt that the caller names, or else by the
 * request. Where there are several versions, relays tell each other what began
 * their streams; a caller may return before that has arrived, so a request to
 * take an unknown stream up waits for it. Nothing is assumed of a stream that
 * stays unknown: its relay may have ended before it told. Whether there are
 * several is for the leader to say, after the request has come. */

/** How the version that began a stream is known. */
typedef enum
{
  KNOWN_NOT,
  KNOWN_NOT_YET, /* a note of it may be on its way */
  KNOWN_NOTED,   /* by the relay that began it */
  KNOWN_ONLY,    /* all targets have this version */
  N_KNOWN
} Known;

static Known find_version (RelayCall *call, QgTime now);
static gboolean knows_others (const RelayCall *call);
static gboolean hears_others (const RelayCall *call);
static const QgRoute *newest_route (const RelayCall *call);
static gboolean has_several (const RelayCall *call, QgTime now);
static void set_timer (QgRelay *relay, QgTime now);
static gboolean find_service (RelayCall *call);
static gboolean finish_bind (RelayCall *call, Known known, QgTime now);
static void refuse (RelayCall *call, Known known);
static void step_unbound (QgRelay *relay, QgTime now);
static void on_bind_timer (gpointer user);
static guint64 first_attempt (const RelayCall *call);
static void tell_stream (gpointer user, const QgMeshStream *stream);

void
relay_version_start (QgRelay *relay)
{
  g_queue_init (&relay->unbound);
  relay->servedby = qg_servedby_new ();
  relay->weights = qg_weights_new ();
  relay->bind_timer.fire = on_bind_timer;
  relay->bind_timer.user = relay;
}

void
relay_version_stop (QgRelay *relay)
{
  g_clear_pointer (&relay->servedby, qg_servedby_free);
  g_clear_pointer (&relay->weights, qg_weights_free);
}

gboolean
relay_version_bind (RelayCall *call, QgTime now)
{
  QgRelay *relay = call->relay;
  Known known;

  if (call->info.resume_after < 0 || !call->route->resumable)
    return TRUE;
  call->bind_since = now;
  call->bind_until = now + QG_ORIGIN_WAIT;
  known = find_version (call, now);
  if (known != KNOWN_NOT_YET)
    return finish_bind (call, known, now);
  call->state = RELAY_BINDING;
  g_queue_push_tail (&relay->unbound, call);
  set_timer (relay, now);
  return FALSE;
}

/* Sets the version that the call needs, and its weights. */
static Known
find_version (RelayCall *call, QgTime now)
{
  QgRelay *relay = call->relay;
  QgDispatchJob *job = &call->job;
  gboolean may_wait = now < call->bind_until;
  QgMeshStream noted;

  relay_poison_keep_request_key (call);
  noted = qg_origins_find (
      relay->origins, call->resumes != 0 ? call->resumes : call->request_key,
      now);
  call->noted_by = noted.began_by;
  call->noted_weights = noted.weights;
  job->version = noted.version != QG_ORIGIN_SEVERAL ? noted.version : 0;
  if (noted.version == QG_ORIGIN_SEVERAL)
    return KNOWN_NOT;
  if (noted.version != 0 && (call->resumes != 0 || hears_others (call)))
    return KNOWN_NOTED;
  if (!knows_others (call) || has_several (call, now))
    return may_wait ? KNOWN_NOT_YET : KNOWN_NOT;
  job->version
      = qg_dispatch_only_version (relay->dispatch, job->service->name, now);
  return job->version != 0 ? KNOWN_ONLY : KNOWN_NOT;
}

/* Whether this relay has heard of all versions and services at which the stream
 * can have begun, so that the only one it knows is the only one. */
static gboolean
knows_others (const RelayCall *call)
{
  QgTime synced_at = call->relay->board->synced_at;

  return qg_belief_holds (QG_BELIEF_ONLY_VERSION, synced_at, call->bind_since)
         && qg_belief_holds (QG_BELIEF_ONLY_SERVICE, synced_at,
                             call->bind_since);
}

/* Whether this relay has heard what other relays run, so that the only stream
 * of the same request that it knows is the one that its caller takes up. */
static gboolean
hears_others (const RelayCall *call)
{
  return qg_belief_holds (QG_BELIEF_ONLY_STREAM,
                          qg_mesh_heard_at (call->relay->mesh),
                          call->bind_since);
}

/* A newer manifest may have another route for the call, or none, by which
 * streams have begun. */
static const QgRoute *
newest_route (const RelayCall *call)
{
  const QgManifest *newest = call->relay->board->manifest;

  if (newest == call->manifest)
    return call->route;
  return qg_manifest_find_route (newest, call->host, strlen (call->host),
                                 call->url, strlen (call->url));
}

/* Whether the streams of the route may have begun at several versions or
 * weights. */
static gboolean
has_several (const RelayCall *call, QgTime now)
{
  const QgRoute *route = newest_route (call);

  return route == NULL || route->splits->len > 1
         || qg_servedby_has_changed (call->relay->servedby, route, now)
         || qg_weights_has_several (call->relay->weights,
                                    call->job.service->name, now)
         || qg_dispatch_has_versions (call->relay->dispatch,
                                      call->job.service->name, now);
}

/* A split route may have chosen another service than the one that began the
 * stream. */
static gboolean
find_service (RelayCall *call)
{
  const GArray *splits = call->route->splits;
  const QgService *chosen = call->job.service;

  if (qg_dispatch_has_target (call->relay->dispatch, &call->job))
    return TRUE;
  for (guint i = 0; i < splits->len; i++)
    {
      call->job.service = qg_manifest_find_service (
          call->manifest, g_array_index (splits, QgSplit, i).service);
      if (call->job.service != NULL
          && qg_dispatch_has_target (call->relay->dispatch, &call->job))
        return TRUE;
    }
  call->job.service = chosen;
  return FALSE;
}

/* Returns FALSE if the request was refused. */
static gboolean
finish_bind (RelayCall *call, Known known, QgTime now)
{
  static const char *const names[N_KNOWN]
      = { [KNOWN_NOT] = "no", [KNOWN_NOTED] = "noted", [KNOWN_ONLY] = "only" };
  QgTime waited = now - call->bind_since;

  qg_event (
      QG_EV_STREAM_TAKEN_UP,
      "id=%s began_by=%s after=%" G_GINT64_FORMAT " version=%" G_GINT64_MODIFIER
      "x weights=%" G_GINT64_FORMAT " known=%s"
      " waited_ms=%" G_GINT64_FORMAT " as_of_ms=%" G_GINT64_FORMAT " leader=%d",
      relay_call_log_id (call),
      call->began_by[0] != '\0' ? call->began_by : "-", call->info.resume_after,
      call->job.version, call->noted_weights, names[known], waited / QG_MSEC,
      (now - call->relay->board->synced_at) / QG_MSEC,
      qg_uplink_leader (call->relay->uplink) != NULL);
  call->job.start_by = MIN (call->job.start_by + waited, call->job.deadline);
  if (known == KNOWN_NOT || !find_service (call))
    refuse (call, known);
  else if (!relay_stream_expect (call, call->noted_weights))
    relay_call_refuse (call, 503, -1,
                       "the request expects other weights than this stream "
                       "has; begin it anew");
  else
    return TRUE;
  return FALSE;
}

/* Another relay may be in step where this one is not: it has not heard from the
 * leader, or it has a note and has not heard from other relays. */
static void
refuse (RelayCall *call, Known known)
{
  if (known != KNOWN_NOT)
    relay_call_refuse (call, 503, -1,
                       "no target has the version of the software that began "
                       "this stream; begin it anew");
  else if (!knows_others (call) || call->job.version != 0)
    relay_call_refuse (call, 503, 0,
                       "cut off from control or from other relays; the version "
                       "of the software that began this stream is not known "
                       "here; retry elsewhere");
  else
    relay_call_refuse (call, 503, -1,
                       "the version of the software that began this stream is "
                       "not known; begin it anew");
}

void
relay_version_withdraw (RelayCall *call)
{
  if (call->state == RELAY_BINDING)
    g_queue_remove (&call->relay->unbound, call);
}

/* Goes on with the requests whose streams are known by now, or have been waited
 * for. */
static void
step_unbound (QgRelay *relay, QgTime now)
{
  GList *at = relay->unbound.head;

  while (at != NULL)
    {
      RelayCall *call = at->data;
      GList *next = at->next;
      Known known = find_version (call, now);

      if (known != KNOWN_NOT_YET)
        {
          g_queue_delete_link (&relay->unbound, at);
          call->state = RELAY_WAITING;
          if (finish_bind (call, known, now))
            relay_call_submit (call, now);
        }
      at = next;
    }
  set_timer (relay, now);
}

/* Until the end of the oldest wait, or the next question to the leader that one
 * of the requests needs. */
static void
set_timer (QgRelay *relay, QgTime now)
{
  const RelayCall *oldest = g_queue_peek_head (&relay->unbound);
  const RelayCall *newest = g_queue_peek_tail (&relay->unbound);
  QgTime next;

  if (oldest == NULL)
    return;
  next = oldest->bind_until;
  if (!knows_others (newest))
    next = MIN (next, qg_uplink_sync (relay->uplink, newest->bind_since, now));
  qg_h1_timer_set (relay->loop, &relay->bind_timer, next);
}

static void
on_bind_timer (gpointer user)
{
  step_unbound (user, qg_clock_now ());
}

void
relay_version_heard (QgRelay *relay, QgTime now)
{
  step_unbound (relay, now);
}

/* The attempt that began the stream, as far as the caller says; or 0. */
static guint64
first_attempt (const RelayCall *call)
{
  if (call->info.resume_after >= 0 && call->resumes != 0)
    return call->resumes;
  return call->attempt[0] != '\0' ? call->stream : 0;
}

void
relay_version_began (RelayCall *call, QgTime now)
{
  QgRelay *relay = call->relay;
  gint64 weights = call->sse.watched_value;
  guint64 keys[2];

  if (!call->route->resumable
      || (call->job.version != 0 && weights == call->noted_weights))
    return;
  if (call->job.version == 0)
    call->job.version = call->sent_version;
  if (call->noted_by == 0)
    call->noted_by = first_attempt (call);
  call->noted_weights = weights;
  relay_version_stated (call, weights, now);
  relay_poison_keep_request_key (call);
  keys[0] = call->noted_by;
  keys[1] = call->request_key;
  for (guint i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      QgMeshStream stream
          = { keys[i], call->job.version, call->noted_by, weights };

      qg_origins_began (relay->origins, &stream, call->job.deadline, now);
      if (has_several (call, now))
        relay_mesh_add_stream (relay, &stream);
    }
}

static void
tell_stream (gpointer user, const QgMeshStream *stream)
{
  relay_mesh_add_stream (user, stream);
}

void
relay_version_stated (RelayCall *call, gint64 weights, QgTime now)
{
  QgRelay *relay = call->relay;

  if (qg_weights_add (relay->weights, call->job.service->name, weights, now))
    qg_origins_each_own (relay->origins, now, tell_stream, relay);
}

void
relay_version_targets_changed (QgRelay *relay, QgTime now)
{
  guint mixed = qg_dispatch_count_mixed (relay->dispatch, now);

  if (mixed > relay->mixed_services)
    qg_origins_each_own (relay->origins, now, tell_stream, relay);
  relay->mixed_services = mixed;
}

void
relay_version_manifest_changed (QgRelay *relay, QgTime now)
{
  const QgBoard *board = relay->board;

  if (board->manifest != NULL
      && qg_servedby_update (relay->servedby, board->manifest,
                             board->manifest_previous,
                             board->manifest_accepted_at, now))
    qg_origins_each_own (relay->origins, now, tell_stream, relay);
}

void
relay_version_mesh_changed (QgRelay *relay, QgTime now)
{
  if (qg_dispatch_count_mixed (relay->dispatch, now) > 0
      || qg_weights_any_several (relay->weights, now))
    qg_origins_each_own (relay->origins, now, tell_stream, relay);
}
