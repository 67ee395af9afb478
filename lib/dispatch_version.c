#include "libdispatch.h"

enum
{
  PAST_VERSIONS_MAX = 64,
};

static gboolean add_version (guint64 *only, guint64 version);
static gboolean find_only (DispatchService *service, guint64 *only, QgTime now);
static guint count_old (const GPtrArray *targets, guint64 version);

DispatchService *
dispatch_service (QgDispatch *dispatch, const char *name)
{
  DispatchService *service = g_hash_table_lookup (dispatch->services, name);

  if (service != NULL)
    return service;
  service = g_new0 (DispatchService, 1);
  service->targets = g_ptr_array_new ();
  service->gone = g_ptr_array_new ();
  service->past = g_array_new (FALSE, FALSE, sizeof (DispatchPastVersion));
  service->stated = g_array_new (FALSE, FALSE, sizeof (guint64));
  g_hash_table_insert (dispatch->services, g_strdup (name), service);
  return service;
}

guint64
qg_dispatch_version_hash (const char *service, const char *version)
{
  return MAX (dispatch_mix_hash (dispatch_name_hash (service),
                                 dispatch_name_hash (version)),
              1);
}

void
dispatch_version_past (DispatchService *service, guint64 version)
{
  DispatchPastVersion past = { version, 0 };

  for (guint i = 0; i < service->past->len; i++)
    if (g_array_index (service->past, DispatchPastVersion, i).version
        == version)
      {
        g_array_remove_index (service->past, i);
        break;
      }
  if (service->past->len >= PAST_VERSIONS_MAX)
    g_array_remove_index (service->past, 0);
  g_array_append_val (service->past, past);
}

void
qg_dispatch_set_versions (QgDispatch *dispatch, const char *const *services,
                          const char *const *versions, guint n)
{
  GHashTableIter iter;
  gpointer service;

  g_hash_table_iter_init (&iter, dispatch->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    g_array_set_size (((DispatchService *)service)->stated, 0);
  for (guint i = 0; i < n; i++)
    {
      guint64 version = qg_dispatch_version_hash (services[i], versions[i]);

      g_array_append_val (dispatch_service (dispatch, services[i])->stated,
                          version);
    }
}

gboolean
dispatch_version_fits (const QgDispatchJob *job, const QgDispatchTarget *target)
{
  return job->version == 0 || job->version == target->version;
}

/* FALSE if @version differs from the one before. */
static gboolean
add_version (guint64 *only, guint64 version)
{
  if (*only == 0)
    *only = version;
  return *only == version;
}

/* Finds the only version of @service; FALSE if there are several. */
static gboolean
find_only (DispatchService *service, guint64 *only, QgTime now)
{
  *only = 0;
  for (guint i = 0; i < service->targets->len; i++)
    {
      const QgDispatchTarget *target = g_ptr_array_index (service->targets, i);

      if (!add_version (only, target->version))
        return FALSE;
    }
  for (guint i = 0; i < service->stated->len; i++)
    if (!add_version (only, g_array_index (service->stated, guint64, i)))
      return FALSE;
  for (guint i = 0; i < service->past->len; i++)
    {
      DispatchPastVersion *past
          = &g_array_index (service->past, DispatchPastVersion, i);

      if (past->noted_at == 0)
        past->noted_at = now;
      if (now - past->noted_at <= DISPATCH_VERSION_HOLD
          && !add_version (only, past->version))
        return FALSE;
    }
  return TRUE;
}

gboolean
qg_dispatch_has_versions (QgDispatch *dispatch, const char *service, QgTime now)
{
  DispatchService *known = g_hash_table_lookup (dispatch->services, service);
  guint64 only;

  return known != NULL && !find_only (known, &only, now);
}

guint64
qg_dispatch_only_version (QgDispatch *dispatch, const char *service, QgTime now)
{
  DispatchService *known = g_hash_table_lookup (dispatch->services, service);
  guint64 only;

  return known != NULL && find_only (known, &only, now) ? only : 0;
}

guint
qg_dispatch_count_mixed (QgDispatch *dispatch, QgTime now)
{
  GHashTableIter iter;
  gpointer service;
  guint64 only;
  guint n = 0;

  g_hash_table_iter_init (&iter, dispatch->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    n += find_only (service, &only, now) ? 0 : 1;
  return n;
}

void
qg_dispatch_set_rollout (QgDispatch *dispatch, const char *service,
                         const char *version, QgRolloutPhase phase,
                         double share, QgTime now)
{
  DispatchService *state = dispatch_service (dispatch, service);
  guint64 hash = qg_dispatch_version_hash (service, version);

  if (state->rollout == phase && state->rollout_version == hash
      && state->rollout_share == share)
    return;
  /* The phase of an earlier rollout lasts until a request is placed, and a
   * relay that was cut off may have missed the start of this one. */
  if (phase == QG_ROLLOUT_COMPLETED
      && (state->rollout != phase || state->rollout_version != hash))
    state->rollout_until = now + QG_DISPATCH_COMPLETED_HOLD;
  state->rollout = phase;
  state->rollout_version = hash;
  state->rollout_share = share;
  dispatch->epoch++;
  dispatch->next_run = 0;
}

static guint
count_old (const GPtrArray *targets, guint64 version)
{
  guint n = 0;

  for (guint i = 0; i < targets->len; i++)
    {
      const QgDispatchTarget *target = g_ptr_array_index (targets, i);

      n += target->version != version ? target->inflight : 0;
    }
  return n;
}

/* A target that is no longer listed may still answer: it may only have lost its
 * heartbeats. */
guint
qg_dispatch_count_at_old (const QgDispatch *dispatch, const char *service)
{
  const DispatchService *state
      = g_hash_table_lookup (dispatch->services, service);

  if (state == NULL)
    return 0;
  return count_old (state->targets, state->rollout_version)
         + count_old (state->gone, state->rollout_version);
}

void
dispatch_rollout_count (const QgDispatch *dispatch, DispatchService *service,
                        QgTime now)
{
  if (service->rollout == QG_ROLLOUT_COMPLETED && now >= service->rollout_until)
    service->rollout = QG_ROLLOUT_NONE;
  if (service->rollout == QG_ROLLOUT_NONE
      || service->counted_at == dispatch->epoch)
    return;
  service->counted_at = dispatch->epoch;
  service->n_new = 0;
  service->n_old = 0;
  for (guint i = 0; i < service->targets->len; i++)
    {
      const QgDispatchTarget *target = g_ptr_array_index (service->targets, i);

      if (!dispatch_usable (target))
        continue;
      if (target->version == service->rollout_version)
        service->n_new++;
      else
        service->n_old++;
    }
}

/* While a share goes to the new version, a version without targets leaves its
 * requests to the other. A reverted version is used only if there is no other.
 * A request that is bound to a version goes there during the share, whatever
 * its draw. */
gboolean
dispatch_rollout_allows (const DispatchService *service,
                         const QgDispatchJob *job,
                         const QgDispatchTarget *target)
{
  gboolean is_new = target->version == service->rollout_version;

  switch (service->rollout)
    {
    case QG_ROLLOUT_SHARED:
      if (job->version != 0)
        return TRUE;
      if (job->rollout_draw < service->rollout_share)
        return is_new || service->n_new == 0;
      return !is_new || service->n_old == 0;
    case QG_ROLLOUT_MOVED:
    case QG_ROLLOUT_COMPLETED:
      return is_new;
    case QG_ROLLOUT_REVERTED:
      return !is_new || service->n_old == 0;
    default:
      return TRUE;
    }
}
