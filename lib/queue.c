#include "queue.h"

#include "heap.h"

enum
{
  DEFAULT_SPACE_CAP = 1000,
  DEFAULT_TOTAL_BYTES = 64 << 20
};

/* A workspace that has waiting requests. */
typedef struct
{
  QgStr *name;
  guint waiting;
  gsize bytes;
  QgHeapNode by_bytes; /* in QgQueue.spaces_by_bytes; key: -bytes */
  GQueue nodes;        /* Node.in_space, oldest first */
  guint flows;         /* number of flows that refer to this Space */
} Space;

/* A service that requests have asked for. */
typedef struct
{
  QgStr *name;
  GHashTable *flows[QG_N_CLASSES]; /* Space -> Flow */
  GQueue waiting_flows; /* Flow.in_waiting: flows with queued requests */
} Service;

/* Requests of one service, workspace and class: a kind in queue.h. */
typedef struct
{
  Service *service;
  Space *space;
  QgClass size_class;
  GQueue nodes;     /* Node.in_flow, oldest first */
  GList in_waiting; /* link in Service.waiting_flows */
  GList in_changed; /* link in QgQueue.changed */
  gboolean changed; /* in_changed is linked */
  gboolean forced;  /* offer it even if the number has not changed */
  guint offered;    /* number in the last offer */
} Flow;

/* A queued item. */
typedef struct
{
  gpointer item;
  Flow *flow;
  gsize bytes;
  QgHeapNode by_deadline;
  GList in_flow;
  GList in_space;
} Node;

struct _QgQueue
{
  guint refs;
  QgQueueOptions options;
  GHashTable *services; /* name -> Service */
  GHashTable *spaces;   /* name -> Space */
  GHashTable *caps;     /* name -> cap */
  GHashTable *items;    /* item -> Node */
  QgHeap deadlines;
  QgHeap spaces_by_bytes; /* Space.by_bytes, most memory on top */
  GQueue changed;         /* Flow.in_changed */
  GQueue evicted;         /* items */
  gsize bytes;
  QgStr *last_space; /* workspace of the last offer, kept for the caller */
};

static void service_free (gpointer data);
static Service *service_of (QgQueue *queue, const char *name);
static Space *space_of (QgQueue *queue, const char *name);
static Flow *flow_of (QgQueue *queue, const QgQueueSpec *spec);
static Flow *flow_find (QgQueue *queue, const char *service,
                        const char *workspace, QgClass size_class);
static void flow_change (QgQueue *queue, Flow *flow, gboolean forced);
static void flow_release (QgQueue *queue, Flow *flow);
static gboolean is_offer_due (const Flow *flow);
static void insert (QgQueue *queue, const QgQueueSpec *spec, gpointer item,
                    gboolean at_head);
static gpointer remove_node (QgQueue *queue, Node *node);
static gpointer take_oldest (QgQueue *queue, Flow *flow, QgTime now);
static gboolean make_room (QgQueue *queue, const QgQueueSpec *spec);
static guint cap_of (const QgQueue *queue, const char *workspace);
static void update_space_heap (QgQueue *queue, Space *space);

QgQueue *
qg_queue_new (const QgQueueOptions *options)
{
  QgQueue *queue = g_new0 (QgQueue, 1);

  queue->refs = 1;
  if (options != NULL)
    queue->options = *options;
  if (queue->options.space_cap == 0)
    queue->options.space_cap = DEFAULT_SPACE_CAP;
  if (queue->options.total_bytes == 0)
    queue->options.total_bytes = DEFAULT_TOTAL_BYTES;
  queue->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  queue->spaces = g_hash_table_new (g_str_hash, g_str_equal);
  queue->caps = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  queue->items = g_hash_table_new (NULL, NULL);
  g_queue_init (&queue->changed);
  g_queue_init (&queue->evicted);
  return queue;
}

QgQueue *
qg_queue_ref (QgQueue *queue)
{
  queue->refs++;
  return queue;
}

void
qg_queue_unref (QgQueue *queue)
{
  QgQueueOffer offer;

  if (--queue->refs > 0)
    return;
  while (queue->deadlines.len > 0)
    remove_node (queue, QG_HEAP_OWNER (qg_heap_top (&queue->deadlines), Node,
                                       by_deadline));
  while (qg_queue_next_offer (queue, &offer))
    ;
  g_clear_pointer (&queue->last_space, qg_str_unref);
  g_queue_clear (&queue->evicted);
  g_hash_table_unref (queue->services);
  g_hash_table_unref (queue->spaces);
  g_hash_table_unref (queue->caps);
  g_hash_table_unref (queue->items);
  qg_heap_clear (&queue->deadlines);
  qg_heap_clear (&queue->spaces_by_bytes);
  g_free (queue);
}

void
qg_queue_set_cap (QgQueue *queue, const char *workspace, guint cap)
{
  if (cap == 0)
    g_hash_table_remove (queue->caps, workspace);
  else
    g_hash_table_replace (queue->caps, g_strdup (workspace),
                          GUINT_TO_POINTER (cap));
}

QgStatus
qg_queue_push (QgQueue *queue, const QgQueueSpec *spec, gpointer item,
               QgErr *err)
{
  g_return_val_if_fail (!g_hash_table_contains (queue->items, item),
                        QG_E_INTERNAL);
  if (qg_queue_waiting (queue, spec->workspace)
      >= cap_of (queue, spec->workspace))
    return qg_fail (err, QG_E_OVERLOADED,
                    "workspace %s has reached its limit of %u waiting "
                    "requests here; send fewer at once or try again later",
                    spec->workspace, cap_of (queue, spec->workspace));
  if (!make_room (queue, spec))
    return qg_fail (
        err, QG_E_OVERLOADED,
        "the queue has no memory left for the request (%" G_GSIZE_FORMAT
        " bytes in use); try again later",
        queue->bytes);
  insert (queue, spec, item, FALSE);
  return QG_OK;
}

void
qg_queue_requeue (QgQueue *queue, const QgQueueSpec *spec, gpointer item)
{
  g_return_if_fail (!g_hash_table_contains (queue->items, item));
  insert (queue, spec, item, TRUE);
}

gpointer
qg_queue_take (QgQueue *queue, QgTime now, const char *service,
               const char *workspace, QgClass size_class)
{
  Flow *flow = flow_find (queue, service, workspace, size_class);
  gpointer item = flow != NULL ? take_oldest (queue, flow, now) : NULL;

  if (item == NULL && flow != NULL)
    flow_change (queue, flow, TRUE);
  return item;
}

gpointer
qg_queue_take_any (QgQueue *queue, QgTime now, const char *service)
{
  Service *s = g_hash_table_lookup (queue->services, service);

  for (guint n = s != NULL ? s->waiting_flows.length : 0; n > 0; n--)
    {
      Flow *flow = s->waiting_flows.head->data;
      gpointer item;

      g_queue_push_tail_link (&s->waiting_flows,
                              g_queue_pop_head_link (&s->waiting_flows));
      item = take_oldest (queue, flow, now);
      if (item != NULL)
        return item;
    }
  return NULL;
}

gboolean
qg_queue_cancel (QgQueue *queue, gpointer item)
{
  Node *node = g_hash_table_lookup (queue->items, item);

  if (node == NULL)
    return g_queue_remove (&queue->evicted, item);
  remove_node (queue, node);
  return TRUE;
}

gboolean
qg_queue_next_dropped (QgQueue *queue, QgTime now, QgQueueDropped *out)
{
  Node *node;

  out->item = g_queue_pop_head (&queue->evicted);
  out->status = QG_E_OVERLOADED;
  if (out->item != NULL)
    return TRUE;
  if (qg_queue_wakeup (queue) > now)
    return FALSE;
  node = QG_HEAP_OWNER (qg_heap_top (&queue->deadlines), Node, by_deadline);
  out->item = remove_node (queue, node);
  out->status = QG_E_TIMEOUT;
  return TRUE;
}

QgTime
qg_queue_wakeup (const QgQueue *queue)
{
  QgHeapNode *top = qg_heap_top (&queue->deadlines);

  return top != NULL ? top->key : G_MAXINT64;
}

gboolean
qg_queue_next_offer (QgQueue *queue, QgQueueOffer *offer)
{
  while (queue->changed.head != NULL)
    {
      Flow *flow = queue->changed.head->data;
      gboolean due = is_offer_due (flow);

      g_queue_unlink (&queue->changed, &flow->in_changed);
      flow->changed = FALSE;
      flow->forced = FALSE;
      if (due)
        {
          flow->offered = flow->nodes.length;
          g_clear_pointer (&queue->last_space, qg_str_unref);
          queue->last_space = qg_str_ref (flow->space->name);
          *offer = (QgQueueOffer){ .service = flow->service->name,
                                   .workspace = queue->last_space,
                                   .size_class = flow->size_class,
                                   .waiting = flow->offered };
        }
      flow_release (queue, flow);
      if (due)
        return TRUE;
    }
  return FALSE;
}

void
qg_queue_each_offer (QgQueue *queue, const char *service, QgQueueOfferFunc func,
                     gpointer user)
{
  Service *s = g_hash_table_lookup (queue->services, service);

  for (GList *l = s != NULL ? s->waiting_flows.head : NULL; l != NULL;
       l = l->next)
    {
      Flow *flow = l->data;
      QgQueueOffer offer = { .service = s->name,
                             .workspace = flow->space->name,
                             .size_class = flow->size_class,
                             .waiting = flow->nodes.length };

      func (user, &offer);
    }
}

guint
qg_queue_waiting (const QgQueue *queue, const char *workspace)
{
  const Space *space;

  if (workspace == NULL)
    return g_hash_table_size (queue->items);
  space = g_hash_table_lookup (queue->spaces, workspace);
  return space != NULL ? space->waiting : 0;
}

gsize
qg_queue_bytes (const QgQueue *queue)
{
  return queue->bytes;
}

static void
service_free (gpointer data)
{
  Service *service = data;

  for (int c = 0; c < QG_N_CLASSES; c++)
    g_hash_table_unref (service->flows[c]);
  qg_str_unref (service->name);
  g_free (service);
}

static Service *
service_of (QgQueue *queue, const char *name)
{
  Service *service = g_hash_table_lookup (queue->services, name);

  if (service != NULL)
    return service;
  service = g_new0 (Service, 1);
  service->name = qg_str_new (name);
  for (int c = 0; c < QG_N_CLASSES; c++)
    service->flows[c] = g_hash_table_new (NULL, NULL);
  g_queue_init (&service->waiting_flows);
  g_hash_table_insert (queue->services, service->name, service);
  return service;
}

static Space *
space_of (QgQueue *queue, const char *name)
{
  Space *space = g_hash_table_lookup (queue->spaces, name);

  if (space != NULL)
    return space;
  space = g_new0 (Space, 1);
  space->name = qg_str_new (name);
  g_queue_init (&space->nodes);
  g_hash_table_insert (queue->spaces, space->name, space);
  return space;
}

static Flow *
flow_of (QgQueue *queue, const QgQueueSpec *spec)
{
  Service *service = service_of (queue, spec->service);
  Space *space = space_of (queue, spec->workspace);
  QgClass c = MIN (spec->size_class, QG_CLASS_LONG);
  Flow *flow = g_hash_table_lookup (service->flows[c], space);

  if (flow != NULL)
    return flow;
  flow = g_new0 (Flow, 1);
  flow->service = service;
  flow->space = space;
  flow->size_class = c;
  g_queue_init (&flow->nodes);
  flow->in_waiting.data = flow;
  flow->in_changed.data = flow;
  space->flows++;
  g_hash_table_insert (service->flows[c], space, flow);
  return flow;
}

static Flow *
flow_find (QgQueue *queue, const char *service, const char *workspace,
           QgClass size_class)
{
  Service *s = g_hash_table_lookup (queue->services, service);
  Space *space = g_hash_table_lookup (queue->spaces, workspace);

  if (s == NULL || space == NULL || (guint)size_class >= QG_N_CLASSES)
    return NULL;
  return g_hash_table_lookup (s->flows[size_class], space);
}

static void
flow_change (QgQueue *queue, Flow *flow, gboolean forced)
{
  flow->forced = flow->forced || forced;
  if (flow->changed || !is_offer_due (flow))
    return;
  flow->changed = TRUE;
  g_queue_push_tail_link (&queue->changed, &flow->in_changed);
}

/* Frees @flow if no requests wait and no offer is still to be sent; otherwise,
 * does nothing. If @flow was the last flow of its workspace, frees the
 * workspace, too. */
static void
flow_release (QgQueue *queue, Flow *flow)
{
  Space *space = flow->space;

  if (flow->nodes.length > 0 || flow->changed || flow->offered > 0)
    return;
  g_hash_table_remove (flow->service->flows[flow->size_class], space);
  g_free (flow);
  if (--space->flows > 0)
    return;
  g_hash_table_remove (queue->spaces, space->name);
  qg_str_unref (space->name);
  g_free (space);
}

static gboolean
is_offer_due (const Flow *flow)
{
  guint waiting = flow->nodes.length;

  if (flow->forced || waiting == flow->offered)
    return flow->forced;
  return waiting == 0 || waiting >= 2 * flow->offered
         || 2 * waiting <= flow->offered;
}

static void
insert (QgQueue *queue, const QgQueueSpec *spec, gpointer item,
        gboolean at_head)
{
  Flow *flow = flow_of (queue, spec);
  Node *node = g_new0 (Node, 1);

  node->item = item;
  node->flow = flow;
  node->bytes = spec->bytes;
  node->in_flow.data = node;
  node->in_space.data = node;
  if (at_head)
    {
      g_queue_push_head_link (&flow->nodes, &node->in_flow);
      g_queue_push_head_link (&flow->space->nodes, &node->in_space);
    }
  else
    {
      g_queue_push_tail_link (&flow->nodes, &node->in_flow);
      g_queue_push_tail_link (&flow->space->nodes, &node->in_space);
    }
  if (flow->nodes.length == 1)
    g_queue_push_tail_link (&flow->service->waiting_flows, &flow->in_waiting);
  qg_heap_put (&queue->deadlines, &node->by_deadline, spec->deadline);
  g_hash_table_insert (queue->items, item, node);
  queue->bytes += node->bytes;
  flow->space->bytes += node->bytes;
  flow->space->waiting++;
  update_space_heap (queue, flow->space);
  flow_change (queue, flow, FALSE);
}

static gpointer
remove_node (QgQueue *queue, Node *node)
{
  Flow *flow = node->flow;
  Space *space = flow->space;
  gpointer item = node->item;

  g_queue_unlink (&flow->nodes, &node->in_flow);
  g_queue_unlink (&space->nodes, &node->in_space);
  if (flow->nodes.length == 0)
    g_queue_unlink (&flow->service->waiting_flows, &flow->in_waiting);
  qg_heap_remove (&queue->deadlines, &node->by_deadline);
  g_hash_table_remove (queue->items, item);
  queue->bytes -= node->bytes;
  space->bytes -= node->bytes;
  space->waiting--;
  update_space_heap (queue, space);
  g_free (node);
  flow_change (queue, flow, FALSE);
  flow_release (queue, flow);
  return item;
}

/* Removes the oldest item that has not expired. Expired items stay until
 * qg_queue_next_dropped() returns them. */
static gpointer
take_oldest (QgQueue *queue, Flow *flow, QgTime now)
{
  for (GList *l = flow->nodes.head; l != NULL; l = l->next)
    {
      Node *node = l->data;

      if (node->by_deadline.key > now)
        return remove_node (queue, node);
    }
  return NULL;
}

static gboolean
make_room (QgQueue *queue, const QgQueueSpec *spec)
{
  gsize limit = queue->options.total_bytes;

  if (spec->bytes > limit)
    return FALSE;
  while (queue->bytes + spec->bytes > limit)
    {
      Space *space = g_hash_table_lookup (queue->spaces, spec->workspace);
      gsize bytes_after = spec->bytes + (space != NULL ? space->bytes : 0);
      QgHeapNode *top = qg_heap_top (&queue->spaces_by_bytes);
      Space *largest = QG_HEAP_OWNER (top, Space, by_bytes);

      if (top == NULL || largest == space || largest->bytes <= bytes_after)
        return FALSE;
      g_queue_push_tail (&queue->evicted,
                         remove_node (queue, largest->nodes.tail->data));
    }
  return TRUE;
}

static guint
cap_of (const QgQueue *queue, const char *workspace)
{
  guint cap = GPOINTER_TO_UINT (g_hash_table_lookup (queue->caps, workspace));

  return cap > 0 ? cap : queue->options.space_cap;
}

static void
update_space_heap (QgQueue *queue, Space *space)
{
  if (space->waiting > 0)
    qg_heap_put (&queue->spaces_by_bytes, &space->by_bytes,
                 -(gint64)space->bytes);
  else
    qg_heap_remove (&queue->spaces_by_bytes, &space->by_bytes);
}
