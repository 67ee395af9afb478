#include "lib/event.h"
#include "librelay.h"

/* A stream goes on only at the version of the targets' software that began it.
 * Within an answer the call holds that version; over the tries of a caller, the
 * table of origins does, here and at the relays that hear of it. While all
 * targets of a service have the same version, nothing is recorded. */

static guint64 find_version (RelayCall *call, const char **known, QgTime now);

gboolean
relay_version_bind (RelayCall *call, QgTime now)
{
  QgRelay *relay = call->relay;
  QgDispatchJob *job = &call->job;
  const char *known;

  if (call->info.resume_after < 0)
    return TRUE;
  job->version = find_version (call, &known, now);
  qg_event (QG_EV_STREAM_TAKEN_UP,
            "id=%s began_by=%s after=%" G_GINT64_FORMAT
            " version=%" G_GINT64_MODIFIER "x known=%s",
            relay_call_log_id (call),
            call->began_by[0] != '\0' ? call->began_by : "-",
            call->info.resume_after, job->version, known);
  if (job->version != 0 && qg_dispatch_has_target (relay->dispatch, job))
    return TRUE;
  relay_call_refuse (call, 503, -1,
                     job->version == 0
                         ? "the version of the software that began this stream "
                           "is not known; begin it anew"
                         : "no target has the version of the software that "
                           "began this stream; begin it anew");
  return FALSE;
}

/* The version that began the stream, and how it is known: by a note, or because
 * it is the only one. */
static guint64
find_version (RelayCall *call, const char **known, QgTime now)
{
  const QgRelay *relay = call->relay;
  guint64 version = 0;

  if (call->resumes != 0)
    version = qg_origins_find (relay->origins, call->resumes, now);
  *known = "noted";
  if (version != 0)
    return version;
  version = qg_dispatch_only_version (relay->dispatch, call->job.service->name,
                                      now);
  *known = version != 0 ? "only" : "no";
  return version;
}

void
relay_version_began (RelayCall *call, QgTime now)
{
  QgRelay *relay = call->relay;

  if (call->job.version != 0 || !call->route->resumable)
    return;
  call->job.version = call->sent_version;
  if (!qg_dispatch_has_versions (relay->dispatch, call->job.service->name, now))
    return;
  qg_origins_add (relay->origins, call->stream, call->job.version, now);
  relay_mesh_add_stream (relay, call->stream, call->job.version);
}
