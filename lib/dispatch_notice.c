#include "libdispatch.h"

#include <math.h>

/* What targets say about themselves: which requests they keep away. */

static gboolean is_selected (const QgDispatch *dispatch,
                             QgDispatchTarget *target);
static double others_demand (const QgDispatch *dispatch,
                             QgDispatchTarget *target, double demand,
                             QgTime now);
static QgNoticeQuota limit_quota (const QgDispatch *dispatch,
                                  QgDispatchTarget *target, double demand,
                                  QgTime now);
static void begin_limit (QgDispatchTarget *target, gboolean was_limited);

/* Uses rendezvous hashing, so that all entries select the same ones. */
static gboolean
is_selected (const QgDispatch *dispatch, QgDispatchTarget *target)
{
  guint n = qg_notice_senders (target->notices.limit);
  guint64 own = dispatch_mix_hash (dispatch->hash, target->hash);
  guint before = 0;

  if (target->selected_at == dispatch->entries_epoch)
    return target->is_selected;
  for (guint i = 0; i < dispatch->entry_hashes->len && before < n; i++)
    {
      guint64 other = g_array_index (dispatch->entry_hashes, guint64, i);

      before += dispatch_mix_hash (other, target->hash) > own ? 1 : 0;
    }
  target->selected_at = dispatch->entries_epoch;
  target->is_selected = before < n;
  return target->is_selected;
}

/* The demand of the other entries that use the target. They are assumed to have
 * the same demand as this entry until they report. */
static double
others_demand (const QgDispatch *dispatch, QgDispatchTarget *target,
               double demand, QgTime now)
{
  guint others
      = MIN (qg_notice_senders (target->notices.limit), dispatch->entries) - 1;
  double age = (double)(now - target->assumed_at);

  if (target->assumed_at == 0)
    target->assumed_demand = demand * others;
  else
    target->assumed_demand *= exp2 (-age / (double)DISPATCH_ASSUMED_HALF_LIFE);
  target->assumed_demand
      = MAX (target->assumed_demand,
             (double)target->others_demand / QG_MESH_DEMAND_UNITS);
  target->assumed_at = MAX (now, 1);
  return target->assumed_demand;
}

/* This entry's part of the limit is the part that its demand is of the demand
 * of all entries, reduced if the demand of some entries is not known. */
static QgNoticeQuota
limit_quota (const QgDispatch *dispatch, QgDispatchTarget *target,
             double demand, QgTime now)
{
  double known = (double)MIN (dispatch->reached, dispatch->entries)
                 / (double)dispatch->entries;
  QgNoticeQuota quota
      = { 0, MAX ((double)qg_notice_senders (target->notices.limit)
                      / (double)dispatch->entries,
                  1) };

  if (demand > 0 && is_selected (dispatch, target))
    quota.part = known * demand
                 / (demand + others_demand (dispatch, target, demand, now));
  return quota;
}

guint32
dispatch_limit_demand (const QgDispatch *dispatch, QgDispatchTarget *target)
{
  const DispatchService *service;

  if (!target->notices.limited || !is_selected (dispatch, target))
    return 0;
  service = g_hash_table_lookup (dispatch->services, target->service);
  return (guint32)MIN (service->demand * QG_MESH_DEMAND_UNITS,
                       (double)G_MAXINT32);
}

gboolean
dispatch_is_barred (const QgDispatch *dispatch, QgDispatchTarget *target,
                    double demand, DispatchBars *bars, QgTime now)
{
  QgNoticeQuota quota = { 0, 1 };
  QgTime until;
  QgNoticeBar bar;

  if (target->notices.limited)
    {
      quota = limit_quota (dispatch, target, demand, now);
      bars->rate += quota.part * target->notices.limit;
    }
  bar = qg_notice_check (&target->notices, &quota, target->inflight, now,
                         &until);
  bars->n_targets++;
  if (bar == QG_NOTICE_CLEAR)
    return FALSE;
  if (bars->n_barred++ == 0 || until < bars->until)
    {
      bars->bar = bar;
      bars->until = until;
      bars->age = qg_notice_age (&target->notices, bar, now);
    }
  return TRUE;
}

gboolean
dispatch_first_allows (const QgDispatch *dispatch,
                       const QgDispatchTarget *target, QgTime now)
{
  return target->has_answered || target->inflight == 0
         || now - dispatch->started >= DISPATCH_FIRST_SPAN;
}

void
dispatch_set_bar (QgDispatchJob *job, const DispatchBars *bars, guint ahead)
{
  job->bar = QG_NOTICE_CLEAR;
  if (bars->n_targets == 0 || bars->n_barred < bars->n_targets)
    return;
  job->bar = bars->bar;
  job->barred_until = bars->until;
  job->bar_age = bars->age;
  if (bars->bar == QG_NOTICE_LIMIT && bars->until != G_MAXINT64
      && bars->rate > 0)
    job->barred_until += (QgTime)(ahead / bars->rate * (double)QG_SEC);
}

guint
qg_dispatch_hear (QgDispatch *dispatch, const QgDispatchJob *job,
                  const QgNotice *notice, QgTime now)
{
  QgDispatchTarget *target = job->target;
  gboolean was_limited;
  guint changes;

  if (target == NULL || job->sent < target->known_since)
    return 0;
  was_limited = target->notices.limited;
  if (!target->has_answered)
    dispatch->next_run = 0;
  target->has_answered = TRUE;
  changes = qg_notice_hear (&target->notices, notice, job->sent, now);
  if (changes != 0)
    {
      begin_limit (target, was_limited);
      dispatch->epoch++;
      dispatch->next_run = 0;
    }
  return changes;
}

/* Called when the limit may have changed. */
static void
begin_limit (QgDispatchTarget *target, gboolean was_limited)
{
  target->selected_at = 0;
  if (!was_limited)
    target->assumed_at = 0;
}

const QgDispatchTarget *
qg_dispatch_learn_limit (QgDispatch *dispatch, const QgMeshLimit *limit,
                         QgTime now)
{
  QgDispatchTarget *target
      = g_hash_table_lookup (dispatch->by_hash, &limit->target);
  gboolean was_limited;

  if (target == NULL || target->born_ms != limit->born_ms)
    return NULL;
  was_limited = target->notices.limited;
  if (qg_notice_learn (&target->notices, limit->limit, limit->at, now) == 0)
    return NULL;
  begin_limit (target, was_limited);
  dispatch->next_run = 0;
  return target;
}

QgNoticeBar
qg_dispatch_bar (const QgDispatchJob *job)
{
  return job->bar;
}

QgTime
qg_dispatch_bar_age (const QgDispatchJob *job)
{
  return job->bar_age;
}

void
qg_dispatch_count_notices (const QgDispatch *dispatch,
                           guint counts[QG_N_NOTICE_BARS], QgTime now)
{
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < QG_N_NOTICE_BARS; i++)
    counts[i] = 0;
  g_hash_table_iter_init (&iter, dispatch->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const QgNoticeState *notices = &((QgDispatchTarget *)value)->notices;

      if (notices->leaving)
        counts[QG_NOTICE_LEAVING]++;
      else if (now < notices->paused_until)
        counts[QG_NOTICE_PAUSE]++;
      else if (notices->limited)
        counts[QG_NOTICE_LIMIT]++;
      else
        counts[QG_NOTICE_CLEAR]++;
    }
}
