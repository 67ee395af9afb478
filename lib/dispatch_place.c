#include "libdispatch.h"

#include <string.h>

/** What sending a job to a target means. */
typedef struct
{
  guint kept;      /* tokens of its prompt that are read there */
  gint64 ahead;    /* tokens that are read there before it */
  gint64 unread;   /* tokens of its prompt that have to be read there */
  double expected; /* us to the first answer */
  double cost;     /* expected and what else speaks against the target */
} Estimate;

static guint64 mix (guint64 a, guint64 b);
static gboolean was_tried (const QgDispatchJob *job,
                           const QgDispatchTarget *target);
static gboolean may_use (const QgDispatch *dispatch, const QgDispatchJob *job,
                         const QgDispatchTarget *target, QgTime now);
static const QgDispatchTarget *home_of (const QgDispatch *dispatch,
                                        const QgDispatchJob *job,
                                        const GPtrArray *list, QgTime now);
static guint kept_tokens (const QgDispatchJob *job,
                          const QgDispatchTarget *target);
static Estimate estimate (const QgDispatch *dispatch, const QgDispatchJob *job,
                          const QgDispatchTarget *target, gboolean home,
                          QgTime now);
static QgDispatchTarget *best_of (QgDispatch *dispatch, QgDispatchJob *job,
                                  gboolean shunned_too, gboolean *all_shunned,
                                  QgTime now);
static gboolean waits_for_better (const QgDispatchJob *job, double gain,
                                  QgTime now);
static gboolean has_room (const QgDispatchJob *job,
                          const QgDispatchTarget *target,
                          const Estimate *estimate, QgTime now);

static guint64
mix (guint64 a, guint64 b)
{
  guint64 x = a * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15) ^ b;

  x ^= x >> 32;
  x *= G_GUINT64_CONSTANT (0xd6e8feb86659fd93);
  x ^= x >> 32;
  x *= G_GUINT64_CONSTANT (0xd6e8feb86659fd93);
  return x ^ (x >> 32);
}

/* The key of a part covers all parts before it. The last part is the
 * request's own, so the one before it names the subject. */
void
dispatch_hash (QgDispatchJob *job)
{
  guint64 key = 0;

  for (guint i = 0; i < job->n_parts; i++)
    {
      key = mix (key, job->parts[i].id);
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
may_use (const QgDispatch *dispatch, const QgDispatchJob *job,
         const QgDispatchTarget *target, QgTime now)
{
  return dispatch_usable (dispatch, target) && !was_tried (job, target)
         && qg_regions_allow (job->route_regions, job->workspace_regions,
                              target->region);
}

/* Rendezvous hashing over all regions: a shared part is kept once. */
static const QgDispatchTarget *
home_of (const QgDispatch *dispatch, const QgDispatchJob *job,
         const GPtrArray *list, QgTime now)
{
  const QgDispatchTarget *best = NULL;
  guint64 best_rank = 0;

  for (guint i = 0; i < list->len; i++)
    {
      const QgDispatchTarget *target = g_ptr_array_index (list, i);
      guint64 rank;

      if (!may_use (dispatch, job, target, now))
        continue;
      rank = mix (job->subject, target->hash);
      if (best == NULL || rank > best_rank)
        {
          best = target;
          best_rank = rank;
        }
    }
  return best;
}

static guint
kept_tokens (const QgDispatchJob *job, const QgDispatchTarget *target)
{
  guint tokens = 0;

  for (guint i = 0;
       i < job->n_parts && g_hash_table_contains (target->kept, &job->keys[i]);
       i++)
    tokens += job->parts[i].tokens;
  return tokens;
}

static Estimate
estimate (const QgDispatch *dispatch, const QgDispatchJob *job,
          const QgDispatchTarget *target, gboolean home, QgTime now)
{
  Estimate result;
  guint kept = MIN (kept_tokens (job, target), job->prompt);
  double waiting
      = (double)(target->inflight + target->others_inflight) / target->slots;

  result.kept = kept;
  result.ahead = target->unread + target->others_unread;
  result.unread = job->prompt - kept;
  result.expected
      = (double)(result.ahead + result.unread) / DISPATCH_READ_RATE * QG_MSEC
        + dispatch_wait (target, now) + (double)DISPATCH_BASE;
  result.cost = result.expected + waiting * (double)DISPATCH_BASE
                + DISPATCH_READ_PRICE * (double)result.unread
                      / DISPATCH_READ_RATE * QG_MSEC;
  if (strcmp (target->region, dispatch->region) != 0)
    result.cost += (double)DISPATCH_REMOTE;
  if (home)
    result.cost -= 1; /* of equal ones the home is taken */
  return result;
}

/* A target that runs nothing of ours has room for what can be in time there,
 * and for what is late anyway, by its length or as it is sent again: whatever
 * is expected, only trying shows whether it is still so. */
static gboolean
has_room (const QgDispatchJob *job, const QgDispatchTarget *target,
          const Estimate *estimate, QgTime now)
{
  QgTime left = job->arrived + job->aim - now;

  if (target->inflight + target->others_inflight >= target->slots)
    return FALSE;
  if (job->spare)
    return estimate->ahead == 0
           && dispatch_wait (target, now) < (double)DISPATCH_SPARE_WAIT;
  if (target->inflight == 0 || estimate->ahead == 0)
    return left <= 0 || estimate->expected <= (double)left
           || estimate->expected > DISPATCH_AIM_PART * (double)job->aim;
  if ((double)(estimate->ahead + estimate->unread) > target->window)
    return FALSE;
  return estimate->expected <= DISPATCH_AIM_PART * (double)left
         || (left <= 0
             && estimate->expected <= DISPATCH_AIM_PART * (double)job->aim);
}

/* When all targets are shunned, one of them is still better than none. */
QgDispatchTarget *
dispatch_place (QgDispatch *dispatch, QgDispatchJob *job, QgTime now)
{
  gboolean all_shunned;
  QgDispatchTarget *best = best_of (dispatch, job, FALSE, &all_shunned, now);

  return best == NULL && all_shunned
             ? best_of (dispatch, job, TRUE, &all_shunned, now)
             : best;
}

/* The target that suits best, whether it has room or not, is waited for while
 * there is time: to read a shared part again costs those behind, too. */
static QgDispatchTarget *
best_of (QgDispatch *dispatch, QgDispatchJob *job, gboolean shunned_too,
         gboolean *all_shunned, QgTime now)
{
  const GPtrArray *list
      = g_hash_table_lookup (dispatch->services, job->service->name);
  const QgDispatchTarget *home;
  QgDispatchTarget *best = NULL;
  Estimate best_estimate = { 0 };
  double least = G_MAXDOUBLE;

  *all_shunned = TRUE;
  if (list == NULL)
    return NULL;
  home = home_of (dispatch, job, list, now);
  for (guint i = 0; i < list->len; i++)
    {
      QgDispatchTarget *target = g_ptr_array_index (list, i);
      Estimate one;

      if (!may_use (dispatch, job, target, now))
        continue;
      *all_shunned = *all_shunned && now < target->shun_until;
      if ((!shunned_too && now < target->shun_until)
          || !dispatch_cold_allows (dispatch, target, job->service, now))
        continue;
      dispatch->estimates++;
      one = estimate (dispatch, job, target, target == home, now);
      job->kept_most = MAX (job->kept_most, one.kept);
      least = MIN (least, one.cost);
      if (has_room (job, target, &one, now)
          && (best == NULL || one.cost < best_estimate.cost))
        {
          best = target;
          best_estimate = one;
        }
    }
  if (best == NULL || waits_for_better (job, best_estimate.cost - least, now))
    return NULL;
  job->unread = best_estimate.unread;
  job->ahead = best_estimate.ahead;
  job->kept = best_estimate.kept;
  job->expected = (QgTime)best_estimate.expected;
  return best;
}

/* @a gain: by how much another target without room suits better, in us. */
static gboolean
waits_for_better (const QgDispatchJob *job, double gain, QgTime now)
{
  return gain > (double)DISPATCH_BASE
         && now < job->arrived
                      + (QgTime)((double)job->aim * DISPATCH_PATIENT_PART);
}
