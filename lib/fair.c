#include "libfair.h"

#include "event.h"

enum
{
  MEAN_SHIFT = 2,     /* weight 1/4 of a new sample, one workspace */
  ALL_MEAN_SHIFT = 4, /* weight 1/16 of a new sample, all workspaces */
  SHORT_WEIGHT = 4,   /* weight of short against long work while both wait */
  DEFAULT_ESTIMATE = 256,
  DEFAULT_MAX_REQUEST = 1 << 20
};

#define DEFAULT_SPILL_SLACK (8192 * QG_FAIR_SCALE)

static void space_free (gpointer data);
static QgFairWorkspace *lowest_space (QgFair *fair, QgLocality locality);
static QgLocality choose_locality (QgFair *fair);
static QgFairJob *job_new (QgFair *fair, QgFairWorkspace *space,
                           QgClass size_class);
static void job_free (QgFair *fair, QgTime now, QgFairJob *job);
static void charge (QgFair *fair, QgFairJob *job, gint64 units);
static gint64 estimate (const QgFair *fair, const QgFairWorkspace *space,
                        QgClass size_class);
static void learn_cost (QgFair *fair, QgFairJob *job, gint64 units);
static void finish_pull (QgFair *fair, QgFairJob *job, gboolean empty);

QgFair *
qg_fair_new (const QgFairOptions *options)
{
  QgFair *fair = g_new0 (QgFair, 1);
  QgFairOptions *o = &fair->options;

  fair->refs = 1;
  if (options != NULL)
    *o = *options;
  if (o->spill_slack == 0)
    o->spill_slack = DEFAULT_SPILL_SLACK;
  if (o->first_estimate == 0)
    o->first_estimate = DEFAULT_ESTIMATE;
  if (o->max_request == 0)
    o->max_request = DEFAULT_MAX_REQUEST;
  fair->service = qg_str_new (o->service != NULL ? o->service : "");
  o->service = fair->service;
  fair->spaces
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, space_free);
  fair->weights = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fair->entries = g_hash_table_new_full (NULL, NULL, NULL, qg_fair_entry_free);
  g_queue_init (&fair->idle);
  fair->dirty = g_ptr_array_new ();
  fair->reported = g_ptr_array_new ();
  fair->indexed = g_ptr_array_new_with_free_func ((GDestroyNotify)qg_str_unref);
  return fair;
}

QgFair *
qg_fair_ref (QgFair *fair)
{
  fair->refs++;
  return fair;
}

void
qg_fair_unref (QgFair *fair)
{
  GList *entries;

  if (--fair->refs > 0)
    return;
  entries = g_hash_table_get_keys (fair->entries);
  for (GList *l = entries; l != NULL; l = l->next)
    qg_fair_entry_down (fair, GPOINTER_TO_UINT (l->data));
  g_list_free (entries);
  g_hash_table_unref (fair->entries);
  g_hash_table_unref (fair->spaces);
  g_hash_table_unref (fair->weights);
  for (int locality = 0; locality < QG_N_LOCALITIES; locality++)
    qg_heap_clear (&fair->heaps[locality]);
  g_ptr_array_unref (fair->dirty);
  g_ptr_array_unref (fair->reported);
  g_ptr_array_unref (fair->indexed);
  qg_fair_wire_free (fair);
  qg_str_unref (fair->service);
  g_free (fair);
}

void
qg_fair_set_weight (QgFair *fair, const char *workspace, guint weight)
{
  QgFairWorkspace *space = g_hash_table_lookup (fair->spaces, workspace);

  weight = CLAMP (weight, 1, QG_FAIR_MAX_WEIGHT);
  if (space != NULL)
    space->weight = weight;
  g_hash_table_replace (fair->weights, g_strdup (workspace),
                        GUINT_TO_POINTER (weight));
}

gboolean
qg_fair_is_backlogged (const QgFair *fair)
{
  return fair->heaps[QG_LOCAL].len + fair->heaps[QG_REMOTE].len > 0;
}

QgFairJob *
qg_fair_pick (QgFair *fair, QgTime now, QgFairPick *pick)
{
  QgFairWorkspace *space;
  QgFairOffer *offer;
  QgFairJob *job;

  if (!qg_fair_is_backlogged (fair))
    return NULL;
  qg_fair_raise_floor (fair);
  space = lowest_space (fair, choose_locality (fair));
  offer = qg_fair_choose_offer (space, choose_locality (fair));
  if (!qg_check_invariant (
          offer != NULL, QG_EV_INV_FAIR_STATE,
          "workspace %s is marked as backlogged but has no offer", space->name)
      || offer == NULL)
    return NULL;
  job = job_new (fair, space, offer->size_class);
  job->offer = offer;
  offer->pulls++;
  qg_fair_offer_update_list (fair, offer);
  *pick = (QgFairPick){ .entry = offer->entry->number,
                        .workspace = space->name,
                        .size_class = offer->size_class,
                        .remote = offer->entry->locality == QG_REMOTE };
  return job;
}

QgFairJob *
qg_fair_start_on_credit (QgFair *fair, QgTime now, const char *workspace,
                         QgClass size_class)
{
  QgFairWorkspace *space = qg_fair_workspace (fair, workspace);

  if ((guint)size_class >= QG_N_CLASSES)
    size_class = QG_CLASS_LONG;
  return job_new (fair, space, size_class);
}

void
qg_fair_start (QgFair *fair, QgTime now, QgFairJob *job)
{
  finish_pull (fair, job, FALSE);
}

void
qg_fair_pull_empty (QgFair *fair, QgTime now, QgFairJob *job)
{
  finish_pull (fair, job, TRUE);
  charge (fair, job, 0);
  job_free (fair, now, job);
}

void
qg_fair_pull_lost (QgFair *fair, QgTime now, QgFairJob *job)
{
  finish_pull (fair, job, FALSE);
  charge (fair, job, 0);
  job_free (fair, now, job);
}

void
qg_fair_progress (QgFair *fair, QgFairJob *job, gint64 units)
{
  units = MIN (units, fair->options.max_request);
  if (units > job->estimate)
    charge (fair, job, units);
}

void
qg_fair_end (QgFair *fair, QgTime now, QgFairJob *job, gint64 units)
{
  finish_pull (fair, job, FALSE);
  units = CLAMP (units, 1, fair->options.max_request);
  charge (fair, job, units);
  learn_cost (fair, job, units);
  job_free (fair, now, job);
}

const char *
qg_fair_job_workspace (const QgFairJob *job)
{
  return job->space->name;
}

QgClass
qg_fair_job_class (const QgFairJob *job)
{
  return job->size_class;
}

gint64
qg_fair_counter (const QgFair *fair, const char *workspace)
{
  const QgFairWorkspace *space = g_hash_table_lookup (fair->spaces, workspace);

  return space != NULL ? qg_fair_workspace_virt (space) : 0;
}

gint64
qg_fair_estimate (const QgFair *fair, const char *workspace, QgClass size_class)
{
  return estimate (fair, g_hash_table_lookup (fair->spaces, workspace),
                   size_class);
}

guint
qg_fair_n_workspaces (const QgFair *fair)
{
  return g_hash_table_size (fair->spaces);
}

QgFairWorkspace *
qg_fair_workspace (QgFair *fair, const char *name)
{
  QgFairWorkspace *space = g_hash_table_lookup (fair->spaces, name);

  if (space != NULL)
    return space;
  space = g_new0 (QgFairWorkspace, 1);
  space->name = qg_str_new (name);
  space->weight = GPOINTER_TO_UINT (g_hash_table_lookup (fair->weights, name));
  space->weight = MAX (space->weight, 1);
  space->idle.data = space;
  g_hash_table_insert (fair->spaces, space->name, space);
  return space;
}

gint64
qg_fair_workspace_virt (const QgFairWorkspace *space)
{
  return space->base + space->own + space->lift;
}

void
qg_fair_mark_changed (QgFair *fair, QgFairWorkspace *space)
{
  if (space->dirty)
    return;
  space->dirty = TRUE;
  g_ptr_array_add (fair->dirty, space);
}

static void
space_free (gpointer data)
{
  QgFairWorkspace *space = data;

  qg_str_unref (space->name);
  g_free (space);
}

static QgFairWorkspace *
lowest_space (QgFair *fair, QgLocality locality)
{
  QgHeapNode *node = qg_heap_top (&fair->heaps[locality]);

  return QG_HEAP_OWNER (node - locality, QgFairWorkspace, nodes);
}

static QgLocality
choose_locality (QgFair *fair)
{
  QgHeapNode *local_top = qg_heap_top (&fair->heaps[QG_LOCAL]);
  QgHeapNode *remote_top = qg_heap_top (&fair->heaps[QG_REMOTE]);

  if (local_top == NULL)
    return QG_REMOTE;
  if (remote_top == NULL)
    return QG_LOCAL;
  return remote_top->key + fair->options.spill_slack < local_top->key
             ? QG_REMOTE
             : QG_LOCAL;
}

static QgFairJob *
job_new (QgFair *fair, QgFairWorkspace *space, QgClass size_class)
{
  QgFairJob *job = g_new0 (QgFairJob, 1);

  qg_fair_mark_active (fair, space);
  space->jobs++;
  job->space = space;
  job->size_class = size_class;
  job->weight = space->weight;
  job->estimate = estimate (fair, space, size_class);
  charge (fair, job, job->estimate);
  return job;
}

static void
job_free (QgFair *fair, QgTime now, QgFairJob *job)
{
  job->space->jobs--;
  qg_fair_check_idle (fair, now, job->space);
  g_free (job);
}

/* Sets the total charge of @job to @units. */
static void
charge (QgFair *fair, QgFairJob *job, gint64 units)
{
  gint64 virt = units * QG_FAIR_SCALE / job->weight;
  gint64 delta = virt - job->charged;

  if (delta == 0)
    return;
  job->charged = virt;
  job->space->own += delta;
  job->space->class_virt[job->size_class]
      += job->size_class == QG_CLASS_SHORT ? delta / SHORT_WEIGHT : delta;
  qg_fair_mark_changed (fair, job->space);
  qg_fair_update_heaps (fair, job->space);
}

static gint64
estimate (const QgFair *fair, const QgFairWorkspace *space, QgClass size_class)
{
  gint64 units = fair->options.first_estimate;

  if (space != NULL && space->mean[size_class] > 0)
    units = space->mean[size_class];
  else if (fair->mean[size_class] > 0)
    units = fair->mean[size_class];
  return CLAMP (units, 1, fair->options.max_request);
}

static void
learn_cost (QgFair *fair, QgFairJob *job, gint64 units)
{
  gint64 *mean = &job->space->mean[job->size_class];
  gint64 *all_mean = &fair->mean[job->size_class];

  *mean = *mean == 0 ? units : *mean + (units - *mean) / (1 << MEAN_SHIFT);
  *all_mean = *all_mean == 0
                  ? units
                  : *all_mean + (units - *all_mean) / (1 << ALL_MEAN_SHIFT);
  *mean = MAX (*mean, 1);
  *all_mean = MAX (*all_mean, 1);
}

static void
finish_pull (QgFair *fair, QgFairJob *job, gboolean empty)
{
  QgFairOffer *offer = job->offer;

  if (offer == NULL)
    return;
  job->offer = NULL;
  offer->pulls--;
  qg_fair_offer_set (fair, offer, empty ? 0 : offer->waiting);
}
