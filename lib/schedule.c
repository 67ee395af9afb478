#include "schedule.h"

#define DEFAULT_PULL_TIMEOUT_US (2 * QG_SEC)

typedef struct
{
  QgCold *cold;
  gboolean up;
  gboolean draining;
  QgNoticeState notices;
} Target;

typedef struct
{
  guint number;
  gboolean local;
  guint credit; /* credit last sent, less the requests received on it */
} Entry;

/* A pull in flight. */
typedef struct
{
  guint64 id;
  guint entry;
  QgTime deadline;
  QgFairJob *job;
  GList in_order; /* link in QgSched.pull_order */
} Pull;

struct _QgSchedJob
{
  QgFairJob *fair;
  guint target;
  QgColdRun run;
};

struct _QgSched
{
  guint refs;
  QgFair *fair;
  Target targets[QG_SCHED_MAX_TARGETS];
  guint n_targets;
  GHashTable *entries;      /* number -> Entry */
  GPtrArray *local_entries; /* Entry of this region, in order of connection */
  GHashTable *pulls;        /* id -> Pull */
  GQueue pull_order;        /* Pull.in_order, by deadline */
  guint64 last_pull;
  QgTime pull_timeout;
  QgTime permit_until;
  gboolean dc_out;
};

static gboolean may_start (const QgSched *sched, QgTime now);
static guint notice_room (Target *target, QgTime now, QgTime *until);
static guint target_free_slots (QgSched *sched, guint target, QgTime now);
static gboolean pick_target (QgSched *sched, QgTime now, guint *target);
static gboolean next_pull (QgSched *sched, QgTime now, QgSchedAction *action);
static gboolean next_credit (QgSched *sched, QgTime now, QgSchedAction *action);
static guint creditable_slots (QgSched *sched, QgTime now);
static void use_credit (QgSched *sched, guint entry);
static void expire_pulls (QgSched *sched, QgTime now);
static QgFairJob *remove_pull (QgSched *sched, guint64 id);
static void abandon_pull (QgSched *sched, QgTime now, Pull *pull);

QgSched *
qg_sched_new (const QgSchedOptions *options)
{
  QgSched *sched = g_new0 (QgSched, 1);
  QgFairOptions fair = { .service = options->service,
                         .spill_slack = options->spill_slack,
                         .first_estimate = options->first_estimate,
                         .max_request = options->max_request };

  sched->refs = 1;
  sched->fair = qg_fair_new (&fair);
  sched->entries = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  sched->local_entries = g_ptr_array_new ();
  sched->pulls = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&sched->pull_order);
  sched->pull_timeout = options->pull_timeout_us > 0 ? options->pull_timeout_us
                                                     : DEFAULT_PULL_TIMEOUT_US;
  return sched;
}

QgSched *
qg_sched_ref (QgSched *sched)
{
  sched->refs++;
  return sched;
}

void
qg_sched_unref (QgSched *sched)
{
  if (--sched->refs > 0)
    return;
  while (sched->pull_order.head != NULL)
    abandon_pull (sched, 0, sched->pull_order.head->data);
  g_hash_table_unref (sched->pulls);
  g_ptr_array_unref (sched->local_entries);
  g_hash_table_unref (sched->entries);
  for (guint i = 0; i < sched->n_targets; i++)
    qg_cold_unref (sched->targets[i].cold);
  qg_fair_unref (sched->fair);
  g_free (sched);
}

QgFair *
qg_sched_fair (QgSched *sched)
{
  return sched->fair;
}

guint
qg_sched_add_target (QgSched *sched, QgTime now, const QgColdOptions *options)
{
  g_return_val_if_fail (sched->n_targets < QG_SCHED_MAX_TARGETS, 0);
  sched->targets[sched->n_targets].cold = qg_cold_new (options, now);
  return sched->n_targets++;
}

QgCold *
qg_sched_cold (QgSched *sched, guint target)
{
  g_return_val_if_fail (target < sched->n_targets, NULL);
  return sched->targets[target].cold;
}

void
qg_sched_set_target_up (QgSched *sched, QgTime now, guint target, gboolean up)
{
  g_return_if_fail (target < sched->n_targets);
  /* Reset to cold: the target may have restarted while it did not answer. */
  if (sched->targets[target].up != up)
    {
      qg_cold_signal (sched->targets[target].cold, now, QG_COLD_RESET);
      qg_sched_target_restarted (sched, target);
    }
  sched->targets[target].up = up;
}

void
qg_sched_set_draining (QgSched *sched, QgTime now, guint target,
                       gboolean draining)
{
  g_return_if_fail (target < sched->n_targets);
  if (sched->targets[target].draining && !draining)
    qg_cold_signal (sched->targets[target].cold, now, QG_COLD_RESET);
  sched->targets[target].draining = draining;
}

guint
qg_sched_hear (QgSched *sched, QgTime now, const QgSchedJob *job,
               const QgNotice *notice)
{
  return qg_notice_hear (&sched->targets[job->target].notices, notice,
                         job->run.started, now);
}

const QgNoticeState *
qg_sched_notices (const QgSched *sched, guint target)
{
  g_return_val_if_fail (target < sched->n_targets, NULL);
  return &sched->targets[target].notices;
}

void
qg_sched_target_restarted (QgSched *sched, guint target)
{
  g_return_if_fail (target < sched->n_targets);
  sched->targets[target].notices = (QgNoticeState){ 0 };
}

void
qg_sched_set_permit (QgSched *sched, QgTime until)
{
  sched->permit_until = until;
}

void
qg_sched_set_dc_out (QgSched *sched, QgTime now, gboolean out)
{
  /* Reset to cold: the targets may have restarted while they got no work. */
  if (sched->dc_out && !out)
    for (guint i = 0; i < sched->n_targets; i++)
      qg_cold_signal (sched->targets[i].cold, now, QG_COLD_RESET);
  sched->dc_out = out;
}

guint
qg_sched_entry_up (QgSched *sched, QgTime now, gboolean local)
{
  Entry *entry = g_new0 (Entry, 1);

  entry->number = qg_fair_entry_up (sched->fair, local);
  entry->local = local;
  g_hash_table_insert (sched->entries, GUINT_TO_POINTER (entry->number), entry);
  if (local)
    g_ptr_array_add (sched->local_entries, entry);
  return entry->number;
}

void
qg_sched_entry_down (QgSched *sched, QgTime now, guint entry)
{
  Entry *e = g_hash_table_lookup (sched->entries, GUINT_TO_POINTER (entry));
  GList *next;

  if (e == NULL)
    return;
  for (GList *l = sched->pull_order.head; l != NULL; l = next)
    {
      Pull *pull = l->data;

      next = l->next;
      if (pull->entry == entry)
        abandon_pull (sched, now, pull);
    }
  qg_fair_entry_down (sched->fair, entry);
  if (e->local)
    g_ptr_array_remove (sched->local_entries, e);
  g_hash_table_remove (sched->entries, GUINT_TO_POINTER (entry));
}

void
qg_sched_offers_reset (QgSched *sched, guint entry)
{
  qg_fair_offers_reset (sched->fair, entry);
}

void
qg_sched_offer (QgSched *sched, QgTime now, guint entry, const char *workspace,
                QgClass size_class, guint waiting)
{
  qg_fair_offer (sched->fair, now, entry, workspace, size_class, waiting);
}

gboolean
qg_sched_next (QgSched *sched, QgTime now, QgSchedAction *action)
{
  expire_pulls (sched, now);
  return next_credit (sched, now, action) || next_pull (sched, now, action);
}

QgTime
qg_sched_wakeup (QgSched *sched, QgTime now)
{
  QgTime at = G_MAXINT64;

  if (sched->pull_order.head != NULL)
    at = ((Pull *)sched->pull_order.head->data)->deadline;
  if (may_start (sched, now))
    at = MIN (at, sched->permit_until);
  for (guint i = 0; i < sched->n_targets; i++)
    if (sched->targets[i].up)
      {
        QgTime until = G_MAXINT64;

        at = MIN (at, qg_cold_wakeup (sched->targets[i].cold, now));
        notice_room (&sched->targets[i], now, &until);
        at = MIN (at, until);
      }
  return at;
}

QgSchedJob *
qg_sched_assign (QgSched *sched, QgTime now, guint entry, guint64 pull_id,
                 const char *workspace, QgClass size_class, guint *target)
{
  QgFairJob *pulled = remove_pull (sched, pull_id);
  guint reserved = g_hash_table_size (sched->pulls);
  QgSchedJob *job;
  QgColdRun run;

  if (pull_id == 0)
    use_credit (sched, entry);
  if (!pick_target (sched, now, target)
      || (pulled == NULL && qg_sched_free_slots (sched, now) <= reserved)
      || !qg_cold_start (sched->targets[*target].cold, now, &run))
    {
      if (pulled != NULL)
        qg_fair_pull_lost (sched->fair, now, pulled);
      return NULL;
    }
  if (pulled != NULL)
    qg_fair_start (sched->fair, now, pulled);
  else
    pulled = qg_fair_start_on_credit (sched->fair, now, workspace, size_class);
  qg_notice_sent (&sched->targets[*target].notices);
  job = g_new0 (QgSchedJob, 1);
  job->fair = pulled;
  job->target = *target;
  job->run = run;
  return job;
}

void
qg_sched_pull_empty (QgSched *sched, QgTime now, guint64 pull_id)
{
  QgFairJob *job = remove_pull (sched, pull_id);

  if (job != NULL)
    qg_fair_pull_empty (sched->fair, now, job);
}

void
qg_sched_first_token (QgSched *sched, QgTime now, QgSchedJob *job)
{
  qg_cold_first_token (sched->targets[job->target].cold, now, &job->run);
}

gboolean
qg_sched_progress (QgSched *sched, QgTime now, QgSchedJob *job, gint64 units)
{
  QgCold *cold = sched->targets[job->target].cold;
  guint limit = qg_cold_limit (cold, now);

  qg_cold_progress (cold, now, &job->run);
  qg_fair_progress (sched->fair, job->fair, units);
  return qg_cold_limit (cold, now) > limit;
}

void
qg_sched_done (QgSched *sched, QgTime now, QgSchedJob *job, gint64 units,
               QgColdSignal signal)
{
  qg_cold_end (sched->targets[job->target].cold, now, &job->run, signal);
  qg_fair_end (sched->fair, now, job->fair, units);
  g_free (job);
}

guint
qg_sched_free_slots (QgSched *sched, QgTime now)
{
  guint free_slots = 0;

  if (!may_start (sched, now))
    return 0;
  for (guint i = 0; i < sched->n_targets; i++)
    free_slots += target_free_slots (sched, i, now);
  return free_slots;
}

guint
qg_sched_pulls (const QgSched *sched)
{
  return g_hash_table_size (sched->pulls);
}

guint
qg_sched_running (const QgSched *sched, guint target)
{
  guint running = 0;

  for (guint i = 0; i < sched->n_targets; i++)
    if (target == i || target == G_MAXUINT)
      running += qg_cold_in_flight (sched->targets[i].cold);
  return running;
}

static gboolean
may_start (const QgSched *sched, QgTime now)
{
  return !sched->dc_out && now < sched->permit_until;
}

/* How many requests the target takes by its own statements. */
static guint
notice_room (Target *target, QgTime now, QgTime *until)
{
  QgNoticeQuota quota
      = { 1, (double)qg_notice_senders (target->notices.limit) };

  return qg_notice_room (&target->notices, &quota,
                         qg_cold_in_flight (target->cold), now, until);
}

static guint
target_free_slots (QgSched *sched, guint target, QgTime now)
{
  Target *t = &sched->targets[target];
  QgTime until;

  if (!t->up || t->draining)
    return 0;
  return MIN (qg_cold_free_slots (t->cold, now), notice_room (t, now, &until));
}

/* Picks the target with the most free slots, so that cold targets fill last. */
static gboolean
pick_target (QgSched *sched, QgTime now, guint *target)
{
  guint best = 0;

  if (!may_start (sched, now))
    return FALSE;
  for (guint i = 0; i < sched->n_targets; i++)
    if (target_free_slots (sched, i, now) > best)
      {
        best = target_free_slots (sched, i, now);
        *target = i;
      }
  return best > 0;
}

static gboolean
next_pull (QgSched *sched, QgTime now, QgSchedAction *action)
{
  QgFairPick pick;
  Pull *pull;

  if (qg_sched_free_slots (sched, now) <= g_hash_table_size (sched->pulls))
    return FALSE;
  pull = g_new0 (Pull, 1);
  pull->job = qg_fair_pick (sched->fair, now, &pick);
  if (pull->job == NULL)
    {
      g_free (pull);
      return FALSE;
    }
  pull->id = ++sched->last_pull;
  pull->entry = pick.entry;
  pull->deadline = now + sched->pull_timeout;
  pull->in_order.data = pull;
  g_queue_push_tail_link (&sched->pull_order, &pull->in_order);
  g_hash_table_insert (sched->pulls, &pull->id, pull);
  *action = (QgSchedAction){ .verb = QG_SCHED_PULL,
                             .entry = pick.entry,
                             .pull_id = pull->id,
                             .workspace = pick.workspace,
                             .size_class = pick.size_class };
  return TRUE;
}

/* Divides the free slots equally among the local entries as credit. No credit
 * is given while anything is backlogged, so that fair scheduling decides about
 * all work. The share of an entry is sent again only when it becomes 0 or has
 * halved or doubled. If a request arrives on outdated credit and no slot is
 * free, the request is bounced. */
static gboolean
next_credit (QgSched *sched, QgTime now, QgSchedAction *action)
{
  guint free_slots = creditable_slots (sched, now);
  guint n = sched->local_entries->len;

  for (guint i = 0; i < n; i++)
    {
      Entry *entry = g_ptr_array_index (sched->local_entries, i);
      guint share = free_slots / n + (i < free_slots % n ? 1 : 0);

      if (share == entry->credit
          || (share > 0 && share < 2 * entry->credit
              && 2 * share > entry->credit))
        continue;
      entry->credit = share;
      *action = (QgSchedAction){ .verb = QG_SCHED_CREDIT,
                                 .entry = entry->number,
                                 .free = share };
      return TRUE;
    }
  return FALSE;
}

static guint
creditable_slots (QgSched *sched, QgTime now)
{
  guint reserved = g_hash_table_size (sched->pulls);
  guint free_slots = qg_sched_free_slots (sched, now);

  if (qg_fair_is_backlogged (sched->fair) || free_slots <= reserved)
    return 0;
  return free_slots - reserved;
}

static void
expire_pulls (QgSched *sched, QgTime now)
{
  while (sched->pull_order.head != NULL
         && ((Pull *)sched->pull_order.head->data)->deadline <= now)
    abandon_pull (sched, now, sched->pull_order.head->data);
}

/* Removes pull @id and returns its job; NULL if the pull is unknown. */
static QgFairJob *
remove_pull (QgSched *sched, guint64 id)
{
  Pull *pull = g_hash_table_lookup (sched->pulls, &id);
  QgFairJob *job;

  if (pull == NULL)
    return NULL;
  job = pull->job;
  g_hash_table_remove (sched->pulls, &id);
  g_queue_unlink (&sched->pull_order, &pull->in_order);
  g_free (pull);
  return job;
}

static void
abandon_pull (QgSched *sched, QgTime now, Pull *pull)
{
  qg_fair_pull_lost (sched->fair, now, remove_pull (sched, pull->id));
}

static void
use_credit (QgSched *sched, guint entry)
{
  Entry *e = g_hash_table_lookup (sched->entries, GUINT_TO_POINTER (entry));

  if (e != NULL && e->credit > 0)
    e->credit--;
}
