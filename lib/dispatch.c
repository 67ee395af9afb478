#include "libdispatch.h"

#include "event.h"

#include <math.h>

static void service_free (gpointer data);
static void target_free (gpointer data);
static double *workspace_service (QgDispatch *dispatch, guint workspace);
static gboolean job_precedes (QgDispatch *dispatch, const QgDispatchJob *a,
                              const QgDispatchJob *b);
static QgDispatchJob *next_job (QgDispatch *dispatch);
static void refuse_overdue (QgDispatch *dispatch, QgTime now);
static void refuse_job (QgDispatch *dispatch, QgDispatchJob *job, QgTime now);
static void send_job (QgDispatch *dispatch, QgDispatchJob *job,
                      QgDispatchTarget *target, QgTime now);
static gint64 job_units (const QgDispatchJob *job);

QgDispatch *
qg_dispatch_new (const QgDispatchOptions *options, const QgDispatchOps *ops)
{
  QgDispatch *dispatch = g_new0 (QgDispatch, 1);

  dispatch->ops = *ops;
  dispatch->region = qg_str_new (options->region);
  dispatch->started = options->started != 0 ? options->started : G_MININT64 / 2;
  dispatch->entries = 1;
  dispatch->reached = 1;
  dispatch->entries_epoch = 1;
  dispatch->entry_hashes = g_array_new (FALSE, FALSE, sizeof (guint64));
  dispatch->epoch = 1;
  dispatch->hash
      = options->name != NULL ? dispatch_name_hash (options->name) : 0;
  dispatch->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, target_free);
  dispatch->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, service_free);
  dispatch->by_hash = g_hash_table_new (g_int64_hash, g_int64_equal);
  dispatch->others = dispatch_reports_new ();
  dispatch->drained
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  dispatch->holders = dispatch_holders_new ();
  dispatch->served = g_array_new (FALSE, TRUE, sizeof (double));
  return dispatch;
}

static void
service_free (gpointer data)
{
  DispatchService *service = data;

  g_ptr_array_unref (service->targets);
  g_array_unref (service->past);
  g_array_unref (service->stated);
  g_ptr_array_unref (service->gone);
  g_free (service);
}

static void
target_free (gpointer data)
{
  qg_dispatch_target_unref (data);
}

void
qg_dispatch_free (QgDispatch *dispatch)
{
  g_hash_table_unref (dispatch->services);
  g_hash_table_unref (dispatch->by_hash);
  g_hash_table_unref (dispatch->others);
  g_hash_table_unref (dispatch->targets);
  g_hash_table_unref (dispatch->drained);
  g_hash_table_unref (dispatch->holders);
  g_array_unref (dispatch->served);
  g_array_unref (dispatch->entry_hashes);
  qg_str_unref (dispatch->region);
  g_queue_clear (&dispatch->waiting);
  g_free (dispatch);
}

void
qg_dispatch_set_entries (QgDispatch *dispatch, guint entries)
{
  dispatch->entries = MAX (entries, 1);
}

void
qg_dispatch_set_reached (QgDispatch *dispatch, guint entries)
{
  dispatch->reached = MAX (entries, 1);
}

void
qg_dispatch_set_entry_names (QgDispatch *dispatch, char **names, guint n)
{
  g_array_set_size (dispatch->entry_hashes, 0);
  for (guint i = 0; i < n; i++)
    {
      guint64 hash = dispatch_name_hash (names[i]);

      if (hash != dispatch->hash)
        g_array_append_val (dispatch->entry_hashes, hash);
    }
  dispatch->entries_epoch++;
}

guint
qg_dispatch_target_count (const QgDispatch *dispatch)
{
  return g_hash_table_size (dispatch->targets);
}

guint
qg_dispatch_waiting_count (const QgDispatch *dispatch)
{
  return dispatch->waiting.length;
}

gboolean
qg_dispatch_has_target (const QgDispatch *dispatch, const QgDispatchJob *job)
{
  const DispatchService *service
      = g_hash_table_lookup (dispatch->services, job->service->name);

  for (guint i = 0; service != NULL && i < service->targets->len; i++)
    {
      const QgDispatchTarget *target = g_ptr_array_index (service->targets, i);

      if ((job->version == 0
           || (dispatch_version_fits (job, target) && dispatch_usable (target)))
          && qg_regions_allow (job->route_regions, job->workspace_regions,
                               target->region))
        return TRUE;
    }
  return FALSE;
}

void
qg_dispatch_submit (QgDispatch *dispatch, QgDispatchJob *job)
{
  DispatchService *service
      = g_hash_table_lookup (dispatch->services, job->service->name);

  if (service != NULL)
    service->demand++;
  dispatch_hash_prefixes (job);
  job->target = NULL;
  job->answered = FALSE;
  job->best_cached = 0;
  job->home_epoch = 0;
  job->unplaced_run = 0;
  job->bar = QG_NOTICE_CLEAR;
  g_queue_push_tail (&dispatch->waiting, job);
  job->link = dispatch->waiting.tail;
  dispatch->next_run = 0;
}

void
qg_dispatch_withdraw (QgDispatch *dispatch, QgDispatchJob *job)
{
  if (job->link == NULL)
    return;
  g_queue_delete_link (&dispatch->waiting, job->link);
  job->link = NULL;
}

void
dispatch_decay (QgDispatch *dispatch, QgTime now)
{
  double age = (double)(now - dispatch->decayed_at);
  double keep = exp2 (-age / (double)DISPATCH_SERVICE_HALF_LIFE);
  double keep_demand = exp2 (-age / (double)DISPATCH_DEMAND_HALF_LIFE);
  GHashTableIter iter;
  gpointer service;

  if (age < (double)DISPATCH_RUN_INTERVAL)
    return;
  g_hash_table_iter_init (&iter, dispatch->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    ((DispatchService *)service)->demand *= keep_demand;
  dispatch_expire_demand (dispatch, now);
  for (guint i = 0; i < dispatch->served->len; i++)
    g_array_index (dispatch->served, double, i) *= keep;
  dispatch->decayed_at = now;
}

static double *
workspace_service (QgDispatch *dispatch, guint workspace)
{
  if (workspace >= dispatch->served->len)
    g_array_set_size (dispatch->served, workspace + 1);
  return &g_array_index (dispatch->served, double, workspace);
}

static gint64
job_units (const QgDispatchJob *job)
{
  return MAX ((gint64)job->prompt + 2 * (gint64)job->output, 1);
}

/* Orders requests within their share first, then by priority, then by least
 * service of the workspace, then by earliest start_by. */
static gboolean
job_precedes (QgDispatch *dispatch, const QgDispatchJob *a,
              const QgDispatchJob *b)
{
  double served_a = *workspace_service (dispatch, a->workspace);
  double served_b = *workspace_service (dispatch, b->workspace);

  if (a->over_share != b->over_share)
    return b->over_share;
  if (a->priority != b->priority)
    return a->priority < b->priority;
  if (a->workspace != b->workspace && served_a != served_b)
    return served_a < served_b;
  return a->start_by < b->start_by;
}

static QgDispatchJob *
next_job (QgDispatch *dispatch)
{
  QgDispatchJob *best = NULL;

  for (GList *at = dispatch->waiting.head; at != NULL; at = at->next)
    {
      QgDispatchJob *job = at->data;

      if (job->unplaced_run != dispatch->n_runs
          && (best == NULL || job_precedes (dispatch, job, best)))
        best = job;
    }
  return best;
}

void
qg_dispatch_run (QgDispatch *dispatch, QgTime now)
{
  QgDispatchJob *job;
  guint unplaced = 0;
  guint barred = 0;

  if (dispatch->waiting.length == 0
      || now < MAX (dispatch->next_run, dispatch->no_run_before))
    return;
  dispatch_decay (dispatch, now);
  dispatch->n_runs++;
  while (unplaced < DISPATCH_UNPLACED_MAX
         && (job = next_job (dispatch)) != NULL)
    {
      DispatchBars bars;
      QgDispatchTarget *target = dispatch_place (dispatch, job, &bars, now);

      dispatch_set_bar (job, &bars, barred);
      if (target != NULL)
        {
          send_job (dispatch, job, target, now);
          continue;
        }
      job->unplaced_run = dispatch->n_runs;
      unplaced++;
      if (job->bar != QG_NOTICE_CLEAR && job->barred_until > job->start_by)
        refuse_job (dispatch, job, now);
      else if (job->bar != QG_NOTICE_CLEAR)
        barred++;
    }
  refuse_overdue (dispatch, now);
  dispatch->next_run = now + DISPATCH_RUN_INTERVAL;
  dispatch->no_run_before
      = now + (QgTime)dispatch->estimates * DISPATCH_PAUSE_PER_ESTIMATE_US;
  dispatch->no_run_before = MIN (dispatch->no_run_before, dispatch->next_run);
  dispatch->estimates = 0;
}

static void
send_job (QgDispatch *dispatch, QgDispatchJob *job, QgDispatchTarget *target,
          QgTime now)
{
  qg_dispatch_withdraw (dispatch, job);
  job->target = qg_dispatch_target_ref (target);
  job->sent = now;
  target->inflight++;
  target->unread += job->unread;
  *workspace_service (dispatch, job->workspace) += (double)job_units (job);
  dispatch_cache_prefixes (dispatch, target, job, now);
  dispatch_cold_sent (target, now);
  qg_notice_sent (&target->notices);
  if (job->n_tried < QG_TRIED_TARGETS_MAX)
    job->tried[job->n_tried++] = target;
  dispatch->ops.decide (dispatch->ops.user, job, QG_DISPATCH_SEND, target, 0);
}

static void
refuse_overdue (QgDispatch *dispatch, QgTime now)
{
  GList *at = dispatch->waiting.head;

  while (at != NULL)
    {
      QgDispatchJob *job = at->data;

      at = at->next;
      if (job != NULL && now >= job->start_by)
        refuse_job (dispatch, job, now);
    }
}

static void
refuse_job (QgDispatch *dispatch, QgDispatchJob *job, QgTime now)
{
  qg_dispatch_withdraw (dispatch, job);
  dispatch->ops.decide (dispatch->ops.user, job, QG_DISPATCH_REFUSE, NULL,
                        qg_dispatch_retry_after (dispatch, job, now));
}

/* Returns at most a third of the caller's remaining time, or the time until the
 * targets' statements let the job pass, if that is longer. Successive results
 * differ, so that requests refused together are not retried together. */
QgTime
qg_dispatch_retry_after (QgDispatch *dispatch, const QgDispatchJob *job,
                         QgTime now)
{
  QgTime longest = MAX ((job->deadline - now) / 3, 0);
  QgTime span = MAX (longest - DISPATCH_RETRY_MIN, 0);
  QgTime barred = job->bar != QG_NOTICE_CLEAR && job->barred_until != G_MAXINT64
                      ? job->barred_until - now
                      : 0;
  QgTime spread;

  dispatch->retry_counter++;
  /* Multiples of the golden ratio modulo 1 are spread evenly. */
  spread = DISPATCH_RETRY_MIN
           + (QgTime)((double)span
                      * fmod (dispatch->retry_counter * 0.6180339887, 1));
  return MAX (MIN (longest, spread), barred);
}

QgTime
qg_dispatch_wakeup (const QgDispatch *dispatch)
{
  return dispatch->waiting.length > 0
             ? MAX (dispatch->next_run, dispatch->no_run_before)
             : G_MAXINT64;
}

QgTime
qg_dispatch_usual_time (const QgDispatchJob *job)
{
  return DISPATCH_BASE_TIME
         + (QgTime)((double)(job->tokens_ahead + job->unread)
                    / DISPATCH_READ_RATE * QG_MSEC);
}

void
qg_dispatch_answered (QgDispatch *dispatch, QgDispatchJob *job, QgTime now)
{
  QgDispatchTarget *target = job->target;
  DispatchService *service;
  double rate;
  double wait;

  if (job->answered || target == NULL)
    return;
  job->answered = TRUE;
  target->unread -= job->unread;
  service = dispatch_service (dispatch, job->service->name);
  rate = dispatch_read_rate (target, dispatch_usual_speed (service, now), now);
  dispatch_learn_speed (service, target, job, now);
  wait = (double)(now - job->sent - DISPATCH_BASE_TIME)
         - (double)job->unread / rate * QG_MSEC;
  dispatch_update_window (target, job, rate, MAX (wait, 0), now);
  dispatch->next_run = 0;
}

void
qg_dispatch_end (QgDispatch *dispatch, QgDispatchJob *job, QgDispatchEnd end,
                 QgTime now)
{
  QgDispatchTarget *target = job->target;

  if (target == NULL)
    return;
  if (!job->answered)
    target->unread -= job->unread;
  job->target = NULL;
  target->inflight--;
  if (target->gone && target->inflight == 0)
    g_ptr_array_remove_fast (dispatch_service (dispatch, target->service)->gone,
                             target);
  qg_check_invariant (target->unread >= 0, QG_EV_INV_DISPATCH,
                      "target %s has %" G_GINT64_FORMAT " unread tokens",
                      target->id, target->unread);
  dispatch->next_run = 0;
  dispatch_record_outcome (target, end, now);
  qg_dispatch_target_unref (target);
}
