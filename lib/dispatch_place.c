#include "libdispatch.h"

/** The expected effect of sending a job to a target. */
typedef struct
{
  guint cached;        /* prompt tokens in the target's cache */
  gint64 tokens_ahead; /* tokens that the target reads before this prompt */
  gint64 unread;       /* prompt tokens that the target has to read */
  double expected;     /* estimated time to the first answer, in us */
  double cost;         /* expected, plus other costs of using the target */
} Estimate;

static gboolean was_tried (const QgDispatchJob *job,
                           const QgDispatchTarget *target);
static gboolean may_use (const QgDispatchJob *job,
                         const QgDispatchTarget *target);
static const QgDispatchTarget *home_target (const QgDispatch *dispatch,
                                            QgDispatchJob *job,
                                            const DispatchService *service);
static Estimate estimate (const QgDispatch *dispatch, const QgDispatchJob *job,
                          const QgDispatchTarget *target, gboolean home,
                          double usual, QgTime now);
static QgDispatchTarget *best_target (QgDispatch *dispatch, QgDispatchJob *job,
                                      gboolean include_backed_off,
                                      gboolean *all_backed_off,
                                      DispatchBars *bars, QgTime now);
static gboolean waits_for_better (const QgDispatchJob *job, double gain,
                                  QgTime now);
static gboolean has_room (const QgDispatchJob *job,
                          const QgDispatchTarget *target,
                          const Estimate *estimate, QgTime now);

guint64
dispatch_mix_hash (guint64 a, guint64 b)
{
  guint64 x = a * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15) ^ b;

  x ^= x >> 32;
  x *= G_GUINT64_CONSTANT (0xd6e8feb86659fd93);
  x ^= x >> 32;
  x *= G_GUINT64_CONSTANT (0xd6e8feb86659fd93);
  return x ^ (x >> 32);
}

/* The key of a part also covers all earlier parts. The last part is specific to
 * the request, so the subject is the key of the second to last part. If there
 * is only one part, the subject is the key of this part. */
void
dispatch_hash_prefixes (QgDispatchJob *job)
{
  guint64 key = 0;

  for (guint i = 0; i < job->n_parts; i++)
    {
      key = dispatch_mix_hash (key, job->parts[i].id);
      job->keys[i] = key;
    }
  job->subject = 0;
  if (job->n_parts > 0)
    job->subject = job->keys[job->n_parts >= 2 ? job->n_parts - 2 : 0];
}

static gboolean
was_tried (const QgDispatchJob *job, const QgDispatchTarget *target)
{
  for (guint i = 0; i < job->n_tried; i++)
    if (job->tried[i] == target)
      return TRUE;
  return FALSE;
}

static gboolean
may_use (const QgDispatchJob *job, const QgDispatchTarget *target)
{
  return dispatch_usable (target) && !was_tried (job, target)
         && qg_regions_allow (job->route_regions, job->workspace_regions,
                              target->region);
}

/* Uses rendezvous hashing over the targets of all regions, so that a shared
 * prefix is cached only once. */
static const QgDispatchTarget *
home_target (const QgDispatch *dispatch, QgDispatchJob *job,
             const DispatchService *service)
{
  const GPtrArray *list = service->targets;
  const QgDispatchTarget *best = NULL;
  guint64 best_rank = 0;

  if (job->home_epoch == dispatch->epoch)
    return job->home;
  for (guint i = 0; i < list->len; i++)
    {
      const QgDispatchTarget *target = g_ptr_array_index (list, i);
      guint64 rank;

      if (!may_use (job, target) || target->notices.leaving
          || !dispatch_rollout_allows (service, job, target))
        continue;
      rank = dispatch_mix_hash (job->subject, target->hash);
      if (best == NULL || rank > best_rank)
        {
          best = target;
          best_rank = rank;
        }
    }
  job->home = best;
  job->home_epoch = dispatch->epoch;
  return best;
}

static Estimate
estimate (const QgDispatch *dispatch, const QgDispatchJob *job,
          const QgDispatchTarget *target, gboolean home, double usual,
          QgTime now)
{
  Estimate result;
  guint cached = MIN (dispatch_matched_tokens (dispatch, target), job->prompt);
  double waiting
      = (double)(target->inflight + target->others_inflight) / target->slots;

  double rate = dispatch_read_rate (target, usual, now);

  result.cached = cached;
  result.tokens_ahead = target->unread + target->others_unread;
  result.unread = job->prompt - cached;
  result.expected
      = (double)(result.tokens_ahead + result.unread) / rate * QG_MSEC
        + dispatch_wait (target, now) + (double)DISPATCH_BASE_TIME;
  result.cost = result.expected + waiting * (double)DISPATCH_BASE_TIME
                + DISPATCH_READ_WEIGHT * (double)result.unread / rate * QG_MSEC;
  if (target->remote)
    result.cost += (double)DISPATCH_REMOTE_COST;
  if (home)
    result.cost -= 1; /* prefers the home among targets of equal cost */
  return result;
}

/* A target without requests of this entry, or without unread tokens, has room
 * for a request that can be on time at this target, and for a late request. The
 * target also has room for a request whose estimate exceeds DISPATCH_AIM_PART
 * of its aim: the estimate may be outdated, and only a new request to the
 * target updates the estimate. */
static gboolean
has_room (const QgDispatchJob *job, const QgDispatchTarget *target,
          const Estimate *estimate, QgTime now)
{
  QgTime remaining = job->arrived + job->aim - now;

  if (target->inflight + target->others_inflight >= target->slots)
    return FALSE;
  if (job->over_share)
    return estimate->tokens_ahead == 0
           && dispatch_wait (target, now) < (double)DISPATCH_SPARE_WAIT_MAX;
  if (target->inflight == 0 || estimate->tokens_ahead == 0)
    return remaining <= 0 || estimate->expected <= (double)remaining
           || estimate->expected > DISPATCH_AIM_PART * (double)job->aim;
  if ((double)(estimate->tokens_ahead + estimate->unread) > target->window)
    return FALSE;
  return estimate->expected <= DISPATCH_AIM_PART * (double)remaining
         || (remaining <= 0
             && estimate->expected <= DISPATCH_AIM_PART * (double)job->aim);
}

/* If all targets are in backoff, chooses among the targets in backoff. */
QgDispatchTarget *
dispatch_place (QgDispatch *dispatch, QgDispatchJob *job, DispatchBars *bars,
                QgTime now)
{
  gboolean all_backed_off;
  QgDispatchTarget *best;

  dispatch_match_prefixes (dispatch, job);
  best = best_target (dispatch, job, FALSE, &all_backed_off, bars, now);
  return best == NULL && all_backed_off
             ? best_target (dispatch, job, TRUE, &all_backed_off, bars, now)
             : best;
}

/* If the cheapest target has no room, the job waits for this target during the
 * first DISPATCH_PATIENCE_PART of its aim. Another target would have to read a
 * shared prefix again, which also delays later requests. */
static QgDispatchTarget *
best_target (QgDispatch *dispatch, QgDispatchJob *job,
             gboolean include_backed_off, gboolean *all_backed_off,
             DispatchBars *bars, QgTime now)
{
  DispatchService *service
      = g_hash_table_lookup (dispatch->services, job->service->name);
  const QgDispatchTarget *home;
  QgDispatchTarget *best = NULL;
  Estimate best_estimate = { 0 };
  double least_cost = G_MAXDOUBLE;
  double usual;

  *all_backed_off = TRUE;
  *bars = (DispatchBars){ 0 };
  if (service == NULL)
    return NULL;
  usual = dispatch_usual_speed (service, now);
  dispatch_rollout_count (dispatch, service, now);
  home = home_target (dispatch, job, service);
  for (guint i = 0; i < service->targets->len; i++)
    {
      QgDispatchTarget *target = g_ptr_array_index (service->targets, i);
      Estimate candidate;

      if (!may_use (job, target) || !dispatch_version_fits (job, target)
          || !dispatch_rollout_allows (service, job, target)
          || dispatch_is_barred (dispatch, target, service->demand, bars, now))
        continue;
      *all_backed_off = *all_backed_off && now < target->backoff_until;
      if ((!include_backed_off && now < target->backoff_until)
          || !dispatch_first_allows (dispatch, target, now)
          || !dispatch_cold_allows (dispatch, target, job->service, now))
        continue;
      dispatch->estimates++;
      candidate = estimate (dispatch, job, target, target == home, usual, now);
      job->best_cached = MAX (job->best_cached, candidate.cached);
      least_cost = MIN (least_cost, candidate.cost);
      if (has_room (job, target, &candidate, now)
          && (best == NULL || candidate.cost < best_estimate.cost))
        {
          best = target;
          best_estimate = candidate;
        }
    }
  if (best == NULL
      || waits_for_better (job, best_estimate.cost - least_cost, now))
    return NULL;
  job->unread = best_estimate.unread;
  job->tokens_ahead = best_estimate.tokens_ahead;
  job->cached = best_estimate.cached;
  job->expected = (QgTime)best_estimate.expected;
  return best;
}

/* @a gain: cost in us that the cheapest target would save, compared with the
 * best target that has room. */
static gboolean
waits_for_better (const QgDispatchJob *job, double gain, QgTime now)
{
  return gain > (double)DISPATCH_BASE_TIME
         && now < job->arrived
                      + (QgTime)((double)job->aim * DISPATCH_PATIENCE_PART);
}
