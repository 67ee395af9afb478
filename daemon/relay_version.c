#include "lib/event.h"
#include "librelay.h"

/* A stream goes on only at the version of the targets' software that began it.
 * Within an answer the call holds that version; over the tries of a caller, the
 * table of origins does, here and at the relays that hear of it. While all
 * targets of a service have the same version, nothing is recorded. */

gboolean
relay_version_bind (RelayCall *call, QgTime now)
{
  QgRelay *relay = call->relay;
  QgDispatchJob *job = &call->job;

  if (call->info.resume_after < 0)
    return TRUE;
  if (call->resumes != 0)
    job->version = qg_origins_find (relay->origins, call->resumes, now);
  if (job->version == 0)
    job->version
        = qg_dispatch_only_version (relay->dispatch, job->service->name, now);
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
