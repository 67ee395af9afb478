#include "libdispatch.h"

#include <math.h>
#include <string.h>

/** An entry gets some answers a second of all targets of a service together,
 * and one in seconds of each target. */
static const QgSpeedOptions service_speed = { 20 * QG_SEC, 2 * QG_SEC };
static const QgSpeedOptions target_speed = { 3 * QG_SEC, 500 * QG_MSEC };

static void replace_str (QgStr **field, const char *text);
static QgDispatchTarget *target_new (const char *id);
static void back_off (QgDispatchTarget *target, QgTime now);
static void report_free (gpointer data);
static void add_report (QgDispatch *dispatch, const DispatchReport *report,
                        int sign);
static void keep_demand (DispatchReport *report);
static void index_target (QgDispatch *dispatch, QgDispatchTarget *target);
static void unindex_target (QgDispatch *dispatch, QgDispatchTarget *target);

static void
replace_str (QgStr **field, const char *text)
{
  QgStr *copy;

  if (*field != NULL && strcmp (*field, text) == 0)
    return;
  copy = qg_str_new (text);
  if (*field != NULL)
    qg_str_unref (*field);
  *field = copy;
}

static QgDispatchTarget *
target_new (const char *id)
{
  QgDispatchTarget *target = g_new0 (QgDispatchTarget, 1);

  target->refs = 1;
  target->id = qg_str_new (id);
  target->cached
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
  g_queue_clear (&target->cached_lru);
  g_hash_table_unref (target->cached);
  g_free (target->cold_sent);
  qg_str_unref (target->id);
  qg_str_unref (target->address);
  qg_str_unref (target->service);
  qg_str_unref (target->dc);
  qg_str_unref (target->region);
  g_free (target);
}

void
qg_dispatch_update_target (QgDispatch *dispatch,
                           const QgDispatchTargetInfo *info, QgTime now)
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
      /* A restarted target has an empty cache. */
      dispatch_cache_clear (dispatch, target);
      target->backoff_until = 0;
      target->n_backoffs = 0;
      target->failure_rate = 0;
      target->wait = 0;
      target->speed = (QgSpeed){ 0 };
      target->notices = (QgNoticeState){ 0 };
      target->has_answered = FALSE;
      target->known_since = now;
    }
  replace_str (&target->address, info->address);
  replace_str (&target->service, info->service);
  replace_str (&target->dc, info->dc);
  replace_str (&target->region, info->region);
  target->version = qg_dispatch_version_hash (info->service, info->version);
  target->remote = strcmp (info->region, dispatch->region) != 0;
  target->slots = MAX (info->slots, 1);
  target->draining = info->draining;
  target->dc_drained = g_hash_table_contains (dispatch->drained, info->dc);
  dispatch->epoch++;
  target->cold_until = info->cold_until;
  target->born_ms = info->born_ms;
  if (target->hash != 0)
    g_hash_table_remove (dispatch->by_hash, &target->hash);
  target->hash = dispatch_name_hash (info->id);
  index_target (dispatch, target);
  g_hash_table_replace (dispatch->by_hash, &target->hash, target);
}

static void
index_target (QgDispatch *dispatch, QgDispatchTarget *target)
{
  DispatchService *service = dispatch_service (dispatch, target->service);

  g_ptr_array_add (service->targets, target);
}

static void
unindex_target (QgDispatch *dispatch, QgDispatchTarget *target)
{
  DispatchService *service
      = g_hash_table_lookup (dispatch->services, target->service);

  g_ptr_array_remove (service->targets, target);
  dispatch_version_past (service, target->version);
}

void
qg_dispatch_remove_target (QgDispatch *dispatch, const char *id)
{
  QgDispatchTarget *target = g_hash_table_lookup (dispatch->targets, id);

  if (target == NULL)
    return;
  unindex_target (dispatch, target);
  dispatch_cache_clear (dispatch, target);
  dispatch->epoch++;
  target->gone = TRUE;
  if (target->inflight > 0)
    g_ptr_array_add (dispatch_service (dispatch, target->service)->gone,
                     target);
  g_hash_table_remove (dispatch->by_hash, &target->hash);
  g_hash_table_remove (dispatch->targets, id);
}

void
qg_dispatch_retain_targets (QgDispatch *dispatch, GHashTable *ids)
{
  GList *known = g_hash_table_get_keys (dispatch->targets);

  for (GList *at = known; at != NULL; at = at->next)
    if (!g_hash_table_contains (ids, at->data))
      qg_dispatch_remove_target (dispatch, at->data);
  g_list_free (known);
}

static void
report_free (gpointer data)
{
  DispatchReport *report = data;

  g_array_unref (report->loads);
  g_free (report);
}

GHashTable *
dispatch_reports_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, report_free);
}

/* Adds (@sign 1) or subtracts (-1) what a report contains. */
static void
add_report (QgDispatch *dispatch, const DispatchReport *report, int sign)
{
  for (guint i = 0; i < report->loads->len; i++)
    {
      const QgMeshLoad *load = &g_array_index (report->loads, QgMeshLoad, i);
      QgDispatchTarget *target
          = g_hash_table_lookup (dispatch->by_hash, &load->target);

      if (target == NULL)
        continue;
      target->others_unread
          = MAX (target->others_unread + sign * (gint64)load->unread, 0);
      target->others_inflight = (guint)MAX (
          (gint64)target->others_inflight + sign * (gint64)load->inflight, 0);
      target->others_demand = (guint64)MAX (
          (gint64)target->others_demand + sign * (gint64)load->demand, 0);
    }
}

/* The source reports no more: only its demand is kept, for some time. */
static void
keep_demand (DispatchReport *report)
{
  report->lost = TRUE;
  for (guint i = 0; i < report->loads->len; i++)
    {
      QgMeshLoad *load = &g_array_index (report->loads, QgMeshLoad, i);

      load->unread = 0;
      load->inflight = 0;
    }
}

void
qg_dispatch_set_other_loads (QgDispatch *dispatch, const char *source,
                             const QgMeshLoad *loads, guint n)
{
  DispatchReport *report = g_hash_table_lookup (dispatch->others, source);

  if (report != NULL)
    add_report (dispatch, report, -1);
  if (n > 0)
    {
      report = g_new0 (DispatchReport, 1);
      report->loads = g_array_sized_new (FALSE, FALSE, sizeof (QgMeshLoad), n);
      g_array_append_vals (report->loads, loads, n);
      g_hash_table_replace (dispatch->others, g_strdup (source), report);
    }
  else if (report != NULL)
    keep_demand (report);
  if (report != NULL)
    add_report (dispatch, report, 1);
}

void
dispatch_expire_demand (QgDispatch *dispatch, QgTime now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, dispatch->others);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DispatchReport *report = value;

      if (!report->lost)
        continue;
      if (report->lost_at == 0)
        report->lost_at = now;
      if (now - report->lost_at <= DISPATCH_DEMAND_HOLD)
        continue;
      add_report (dispatch, report, -1);
      g_hash_table_iter_remove (&iter);
    }
}

void
qg_dispatch_loads (QgDispatch *dispatch, GArray *loads, QgTime now)
{
  GHashTableIter iter;
  gpointer value;

  dispatch_decay (dispatch, now);
  g_hash_table_iter_init (&iter, dispatch->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QgDispatchTarget *target = value;
      QgMeshLoad load
          = { target->hash, (guint32)target->unread, target->inflight,
              dispatch_limit_demand (dispatch, target) };

      if (target->inflight > 0 || load.demand > 0)
        g_array_append_val (loads, load);
    }
}

gboolean
dispatch_usable (const QgDispatchTarget *target)
{
  return !target->gone && !target->draining && !target->dc_drained;
}

void
qg_dispatch_set_drained (QgDispatch *dispatch, char **names, gsize n)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_remove_all (dispatch->drained);
  for (gsize i = 0; i < n; i++)
    g_hash_table_add (dispatch->drained, g_strdup (names[i]));
  g_hash_table_iter_init (&iter, dispatch->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QgDispatchTarget *target = value;

      target->dc_drained
          = g_hash_table_contains (dispatch->drained, target->dc);
    }
  dispatch->epoch++;
}

static void
back_off (QgDispatchTarget *target, QgTime now)
{
  target->backoff_until
      = now
        + MIN (DISPATCH_BACKOFF_MIN << MIN (target->n_backoffs, 8),
               DISPATCH_BACKOFF_MAX);
  target->n_backoffs++;
}

void
dispatch_record_outcome (QgDispatchTarget *target, QgDispatchEnd end,
                         QgTime now)
{
  gboolean failed
      = end == QG_DISPATCH_FAILED || end == QG_DISPATCH_CONNECTION_LOST;

  if (end == QG_DISPATCH_CONNECTION_LOST || end == QG_DISPATCH_CONNECT_FAILED)
    target->maybe_cold_until = now + DISPATCH_MAYBE_COLD;
  if (end == QG_DISPATCH_FULL)
    target->backoff_until
        = MAX (target->backoff_until, now + DISPATCH_FULL_PAUSE);
  if (end == QG_DISPATCH_WRONG_TARGET || end == QG_DISPATCH_CONNECT_FAILED)
    back_off (target, now);
  if (end != QG_DISPATCH_OK && !failed)
    return;
  target->failure_rate = target->failure_rate * (1 - DISPATCH_FAILURE_GAIN)
                         + (failed ? DISPATCH_FAILURE_GAIN : 0);
  if (failed && target->failure_rate > DISPATCH_FAILURE_RATE_MAX)
    back_off (target, now);
  else if (!failed && target->failure_rate < DISPATCH_FAILURE_RATE_MAX)
    target->n_backoffs = 0;
}

guint64
dispatch_name_hash (const char *name)
{
  guint64 hash = 0;

  for (const char *at = name; *at != '\0'; at++)
    hash = hash * G_GUINT64_CONSTANT (1099511628211) + (guint8)*at;
  return hash;
}

/* The rate limit of a cold target applies to all entries together. An entry
 * that has started does not know what its predecessor has just sent. Each entry
 * uses an equal part of the rate, rounded down. If this part is 0, the entry
 * may send one request in every n-th DISPATCH_COLD_SPAN, where n grows with the
 * number of entries. Hashes of the entry's name and of the target's id select
 * these spans. */
gboolean
dispatch_cold_allows (const QgDispatch *dispatch,
                      const QgDispatchTarget *target, const QgService *service,
                      QgTime now)
{
  double rate = service->cold_rate;
  guint part = (guint)(rate / dispatch->entries);
  guint n = 0;

  if (rate <= 0 || now >= MAX (target->cold_until, target->maybe_cold_until))
    return TRUE;
  if (now - dispatch->started < DISPATCH_COLD_SPAN)
    return FALSE;
  if (part == 0)
    {
      guint64 n_spans
          = (guint64)(dispatch->entries / MAX (rate * DISPATCH_COLD_PART, 1))
            + 1;
      guint64 span
          = (guint64)(now / DISPATCH_COLD_SPAN) + dispatch->hash + target->hash;

      if (span % n_spans != 0)
        return FALSE;
      part = 1;
    }
  for (int i = 0; i < DISPATCH_COLD_RING; i++)
    n += now - target->cold_sent[i] < DISPATCH_COLD_SPAN ? 1 : 0;
  return n < MIN (part, DISPATCH_COLD_RING);
}

void
dispatch_cold_sent (QgDispatchTarget *target, QgTime now)
{
  target->cold_sent[target->cold_next] = now;
  target->cold_next = (target->cold_next + 1) % DISPATCH_COLD_RING;
}

double
dispatch_usual_speed (const DispatchService *service, QgTime now)
{
  return qg_speed_get (&service->speed, &service_speed, 1, now);
}

/* The time to a first answer also has waits that are no reading, so the rate of
 * a busy service, learned from it, is too low: with it, requests that would
 * have been in time were refused. The speed of the service therefore counts
 * only where DISPATCH_READ_RATE is far from what its targets can read. */
double
dispatch_read_rate (const QgDispatchTarget *target, double usual, QgTime now)
{
  double relative
      = qg_speed_get (&target->speed, &target_speed, usual, now) / usual;
  double rate = usual < DISPATCH_SPEED_SLOW ? DISPATCH_READ_RATE * usual
                                            : DISPATCH_READ_RATE;

  if (relative >= DISPATCH_SPEED_ALIKE_MIN
      && relative <= DISPATCH_SPEED_ALIKE_MAX)
    return rate;
  return rate * relative;
}

void
dispatch_learn_speed (DispatchService *service, QgDispatchTarget *target,
                      const QgDispatchJob *job, QgTime now)
{
  QgTime expected = qg_dispatch_usual_time (job);
  QgTime taken = now - job->sent;

  qg_speed_add (&service->speed, &service_speed, expected, taken, now);
  qg_speed_add (&target->speed, &target_speed, expected, taken, now);
}

double
dispatch_wait (const QgDispatchTarget *target, QgTime now)
{
  double age = (double)MAX (now - target->wait_at, 0);

  return target->wait * exp2 (-age / (double)DISPATCH_WAIT_HALF_LIFE);
}

/* A late answer shrinks the window only if its request was sent after the
 * window last shrank. Requests that were sent earlier waited in the queue that
 * already caused that reduction. */
void
dispatch_update_window (QgDispatchTarget *target, const QgDispatchJob *job,
                        double rate, double wait, QgTime now)
{
  double known = (double)job->tokens_ahead / rate * QG_MSEC;

  target->wait = dispatch_wait (target, now) * (1 - DISPATCH_WAIT_GAIN)
                 + MAX (wait - known, 0) * DISPATCH_WAIT_GAIN;
  target->wait_at = now;
  if (wait <= (double)DISPATCH_WAIT_GOAL)
    target->window += (double)job->unread * DISPATCH_WINDOW_GROW;
  else if (job->sent > target->shrunk_at)
    {
      target->window *= DISPATCH_WINDOW_SHRINK;
      target->shrunk_at = now;
    }
  target->window
      = CLAMP (target->window, DISPATCH_WINDOW_MIN, DISPATCH_WINDOW_MAX);
}

guint64
qg_dispatch_target_hash (const QgDispatchTarget *target)
{
  return target->hash;
}
