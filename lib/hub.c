#include "hub.h"

#include "libfair.h"

enum
{
  DEFAULT_MAX_ITEMS = 4096
};

#define DEFAULT_AGENT_TIMEOUT_US (40 * QG_SEC)

/* One workspace of a service. */
typedef struct
{
  QgStr *name;
  guint32 index;
  gint64 base;             /* highest counter in a full report, plus lifts */
  gint64 virt;             /* base plus the charges since the hub started */
  guint64 version;         /* Service.version at the last change */
  guint backlogged;        /* agents that report it as backlogged */
  QgHeapNode backlog_node; /* in Service.backlogged while backlogged */
  GList recent;            /* link in Service.recent */
} Item;

/* Effect of one item of the last report, kept for undo_report(). */
typedef struct
{
  Item *item;
  gint64 charge;
  gboolean toggled;
} Change;

/* One agent process that reports for a service. */
typedef struct
{
  guint64 incarnation;
  guint64 confirmed_seq; /* last report that the agent knows to be merged */
  guint64 last_seq;      /* seq of the report that was merged last */
  GArray *changes;       /* Change, of the last report */
  GByteArray *backlog;   /* bit per Item.index: backlogged at this agent */
  gboolean expired;      /* set until the agent's next full report */
  QgTime reported_at;    /* time of the last merged report */
} Agent;

/* The counters of one service. */
typedef struct
{
  QgStr *name;
  GHashTable *items;   /* name -> Item */
  GPtrArray *by_index; /* Item by Item.index */
  GQueue recent;       /* Item.recent, by version */
  guint64 version;     /* number of changes so far */
  QgHeap backlogged;   /* backlogged items by counter */
  gint64 floor;        /* see qg_hub_floor() */
  GHashTable *agents;  /* name -> Agent */
} Service;

struct _QgHub
{
  guint refs;
  QgHubOptions options;
  GHashTable *services;  /* name -> Service */
  Qg__FairTotals answer; /* points into the arrays below */
  GArray *index;
  GArray *virt;
  GPtrArray *names;
};

static void service_free (gpointer data);
static void item_free (gpointer data);
static void agent_free (gpointer data);
static Service *service_of (QgHub *hub, const char *name);
static Item *item_of (Service *service, const char *name);
static Agent *agent_of (Service *service, const char *name,
                        guint64 incarnation);
static void merge (Service *service, Agent *agent,
                   const Qg__FairReport *report);
static void merge_fresh (Service *service, Agent *agent,
                         const Qg__FairReport *report);
static void merge_known (Service *service, Agent *agent,
                         const Qg__FairReport *report);
static void apply (Service *service, Agent *agent, Item *item, gint64 charge,
                   gboolean backlogged);
static void undo_report (Service *service, Agent *agent);
static void clear_backlog (Service *service, Agent *agent);
static gboolean is_backlogged (const Agent *agent, guint32 index);
static void toggle_backlog (Service *service, Agent *agent, Item *item);
static void add_charge (Item *item, gint64 charge);
static void raise_base (Item *item, gint64 base);
static void item_changed (Service *service, Item *item);
static void answer_init (QgHub *hub, const Service *service, guint64 seq);
static void answer_names (QgHub *hub, Service *service, guint32 known);
static void answer_changes (QgHub *hub, Service *service, guint64 have);
static GList *first_after (const Service *service, guint64 have);

QgHub *
qg_hub_new (const QgHubOptions *options)
{
  QgHub *hub = g_new0 (QgHub, 1);

  hub->refs = 1;
  hub->options = *options;
  if (hub->options.agent_timeout_us == 0)
    hub->options.agent_timeout_us = DEFAULT_AGENT_TIMEOUT_US;
  if (hub->options.max_items == 0)
    hub->options.max_items = DEFAULT_MAX_ITEMS;
  hub->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  hub->index = g_array_new (FALSE, FALSE, sizeof (guint32));
  hub->virt = g_array_new (FALSE, FALSE, sizeof (gint64));
  hub->names = g_ptr_array_new ();
  return hub;
}

QgHub *
qg_hub_ref (QgHub *hub)
{
  hub->refs++;
  return hub;
}

void
qg_hub_unref (QgHub *hub)
{
  if (--hub->refs > 0)
    return;
  g_hash_table_unref (hub->services);
  g_array_unref (hub->index);
  g_array_unref (hub->virt);
  g_ptr_array_unref (hub->names);
  g_free (hub);
}

const Qg__FairTotals *
qg_hub_report (QgHub *hub, QgTime now, const char *agent, guint64 incarnation,
               const Qg__FairReport *report)
{
  Service *service = service_of (hub, report->service);
  Agent *a = g_hash_table_lookup (service->agents, agent);
  gboolean same = a != NULL && a->incarnation == incarnation;

  if (same && report->seq <= a->last_seq)
    return NULL;
  answer_init (hub, service, report->seq);
  if (report->epoch != hub->options.epoch
      || (!report->full && (!same || a->expired))
      || (same && report->base_seq != a->confirmed_seq
          && report->base_seq != a->last_seq && !report->full))
    {
      hub->answer.resync = TRUE;
      return &hub->answer;
    }
  a = agent_of (service, agent, incarnation);
  a->reported_at = now;
  merge (service, a, report);
  answer_names (hub, service, report->names);
  answer_changes (hub, service, report->have);
  return &hub->answer;
}

void
qg_hub_expire (QgHub *hub, QgTime now)
{
  GHashTableIter services;
  gpointer service;

  g_hash_table_iter_init (&services, hub->services);
  while (g_hash_table_iter_next (&services, NULL, &service))
    {
      GHashTableIter agents;
      gpointer value;

      g_hash_table_iter_init (&agents, ((Service *)service)->agents);
      while (g_hash_table_iter_next (&agents, NULL, &value))
        {
          Agent *agent = value;

          if (agent->expired
              || now - agent->reported_at < hub->options.agent_timeout_us)
            continue;
          clear_backlog (service, agent);
          agent->expired = TRUE;
        }
    }
}

gint64
qg_hub_counter (const QgHub *hub, const char *service, const char *workspace)
{
  const Service *s = g_hash_table_lookup (hub->services, service);
  const Item *item
      = s != NULL ? g_hash_table_lookup (s->items, workspace) : NULL;

  return item != NULL ? item->virt : 0;
}

gint64
qg_hub_floor (const QgHub *hub, const char *service)
{
  const Service *s = g_hash_table_lookup (hub->services, service);

  return s != NULL ? s->floor : 0;
}

guint
qg_hub_backlogged (const QgHub *hub, const char *service)
{
  const Service *s = g_hash_table_lookup (hub->services, service);

  return s != NULL ? s->backlogged.len : 0;
}

guint
qg_hub_agents (const QgHub *hub, const char *service)
{
  const Service *s = g_hash_table_lookup (hub->services, service);
  GHashTableIter agents;
  gpointer value;
  guint n = 0;

  if (s == NULL)
    return 0;
  g_hash_table_iter_init (&agents, s->agents);
  while (g_hash_table_iter_next (&agents, NULL, &value))
    n += ((Agent *)value)->expired ? 0 : 1;
  return n;
}

static void
service_free (gpointer data)
{
  Service *service = data;

  g_hash_table_unref (service->agents);
  g_ptr_array_unref (service->by_index);
  g_hash_table_unref (service->items);
  qg_heap_clear (&service->backlogged);
  qg_str_unref (service->name);
  g_free (service);
}

static void
item_free (gpointer data)
{
  Item *item = data;

  qg_str_unref (item->name);
  g_free (item);
}

static void
agent_free (gpointer data)
{
  Agent *agent = data;

  g_array_unref (agent->changes);
  g_byte_array_unref (agent->backlog);
  g_free (agent);
}

static Service *
service_of (QgHub *hub, const char *name)
{
  Service *service = g_hash_table_lookup (hub->services, name);

  if (service != NULL)
    return service;
  service = g_new0 (Service, 1);
  service->name = qg_str_new (name);
  service->items
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, item_free);
  service->by_index = g_ptr_array_new ();
  g_queue_init (&service->recent);
  service->agents
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, agent_free);
  g_hash_table_insert (hub->services, service->name, service);
  return service;
}

static Item *
item_of (Service *service, const char *name)
{
  Item *item = g_hash_table_lookup (service->items, name);

  if (item != NULL || service->by_index->len >= QG_FAIR_MAX_WORKSPACES)
    return item;
  item = g_new0 (Item, 1);
  item->name = qg_str_new (name);
  item->index = service->by_index->len;
  item->version = ++service->version;
  item->recent.data = item;
  g_queue_push_tail_link (&service->recent, &item->recent);
  g_ptr_array_add (service->by_index, item);
  g_hash_table_insert (service->items, item->name, item);
  return item;
}

/* Returns the record of the agent @name. Creates the record if there is none.
 * If the agent process has restarted, clears the backlog, the changes and the
 * sequence numbers in the record. */
static Agent *
agent_of (Service *service, const char *name, guint64 incarnation)
{
  Agent *agent = g_hash_table_lookup (service->agents, name);

  if (agent == NULL)
    {
      agent = g_new0 (Agent, 1);
      agent->incarnation = incarnation;
      agent->changes = g_array_new (FALSE, FALSE, sizeof (Change));
      agent->backlog = g_byte_array_new ();
      g_hash_table_insert (service->agents, g_strdup (name), agent);
    }
  if (agent->incarnation != incarnation)
    {
      clear_backlog (service, agent);
      g_array_set_size (agent->changes, 0);
      agent->incarnation = incarnation;
      agent->confirmed_seq = agent->last_seq = 0;
    }
  return agent;
}

static void
merge (Service *service, Agent *agent, const Qg__FairReport *report)
{
  if (report->base_seq == agent->last_seq)
    agent->confirmed_seq = agent->last_seq;
  else if (report->base_seq == agent->confirmed_seq)
    undo_report (service, agent);
  g_array_set_size (agent->changes, 0);
  agent->last_seq = report->seq;
  if (report->full)
    {
      clear_backlog (service, agent);
      agent->expired = FALSE;
      service->floor = MAX (service->floor, qg_fair_clamp (report->floor));
    }
  merge_fresh (service, agent, report);
  merge_known (service, agent, report);
}

static void
merge_fresh (Service *service, Agent *agent, const Qg__FairReport *report)
{
  for (size_t i = 0; i < report->n_fresh; i++)
    {
      const Qg__FairFresh *fresh = report->fresh[i];
      Item *item = item_of (service, fresh->workspace);

      if (item == NULL)
        continue;
      if (report->full)
        raise_base (item, qg_fair_clamp (fresh->counter));
      apply (service, agent, item, fresh->charge, fresh->backlogged);
    }
}

static void
merge_known (Service *service, Agent *agent, const Qg__FairReport *report)
{
  guint n = service->by_index->len;

  for (size_t i = 0; i < MIN (report->n_index, report->n_charge); i++)
    if (report->index[i] < n)
      apply (service, agent, service->by_index->pdata[report->index[i]],
             report->charge[i], is_backlogged (agent, report->index[i]));
  for (size_t i = 0; i < report->n_on; i++)
    if (report->on[i] < n)
      apply (service, agent, service->by_index->pdata[report->on[i]], 0, TRUE);
  for (size_t i = 0; i < report->n_off; i++)
    if (report->off[i] < n)
      apply (service, agent, service->by_index->pdata[report->off[i]], 0,
             FALSE);
}

static void
apply (Service *service, Agent *agent, Item *item, gint64 charge,
       gboolean backlogged)
{
  Change change = { .item = item, .charge = qg_fair_clamp (charge) };

  change.toggled = is_backlogged (agent, item->index) != backlogged;
  add_charge (item, change.charge);
  if (change.toggled)
    toggle_backlog (service, agent, item);
  item_changed (service, item);
  g_array_append_val (agent->changes, change);
}

/* Undoes the last report of @agent. The agent got no answer to that report and
 * repeats its charges in its next report. */
static void
undo_report (Service *service, Agent *agent)
{
  for (guint i = 0; i < agent->changes->len; i++)
    {
      Change *change = &g_array_index (agent->changes, Change, i);

      add_charge (change->item, -change->charge);
      if (change->toggled)
        toggle_backlog (service, agent, change->item);
      item_changed (service, change->item);
    }
}

static void
clear_backlog (Service *service, Agent *agent)
{
  for (guint32 i = 0; i < 8 * agent->backlog->len; i++)
    if (is_backlogged (agent, i))
      {
        toggle_backlog (service, agent, service->by_index->pdata[i]);
        item_changed (service, service->by_index->pdata[i]);
      }
  for (guint i = 0; i < agent->changes->len; i++)
    g_array_index (agent->changes, Change, i).toggled = FALSE;
}

static gboolean
is_backlogged (const Agent *agent, guint32 index)
{
  return index / 8 < agent->backlog->len
         && (agent->backlog->data[index / 8] & (1 << index % 8)) != 0;
}

/* Toggles whether @item is backlogged at @agent. When @item becomes backlogged
 * at its first agent, the counter of @item is raised to the floor. */
static void
toggle_backlog (Service *service, Agent *agent, Item *item)
{
  guint bytes = agent->backlog->len;

  if (item->index / 8 >= bytes)
    {
      g_byte_array_set_size (agent->backlog, item->index / 8 + 1);
      memset (agent->backlog->data + bytes, 0, agent->backlog->len - bytes);
    }
  agent->backlog->data[item->index / 8] ^= (guint8)(1 << item->index % 8);
  if (!is_backlogged (agent, item->index))
    item->backlogged--;
  else if (item->backlogged++ == 0)
    raise_base (item, qg_fair_clamp (item->base + service->floor - item->virt));
}

static void
add_charge (Item *item, gint64 charge)
{
  item->virt = qg_fair_clamp (item->virt + charge);
}

/* Raises the base of @item to at least @base. Bases are not added up, because
 * the bases that several agents report include the same charges. */
static void
raise_base (Item *item, gint64 base)
{
  if (base <= item->base)
    return;
  add_charge (item, base - item->base);
  item->base = base;
}

/* Updates the version of @item and its place in the list and the heap after a
 * change, and raises the floor of @service. */
static void
item_changed (Service *service, Item *item)
{
  item->version = ++service->version;
  g_queue_unlink (&service->recent, &item->recent);
  g_queue_push_tail_link (&service->recent, &item->recent);
  if (item->backlogged > 0)
    qg_heap_put (&service->backlogged, &item->backlog_node, item->virt);
  else
    qg_heap_remove (&service->backlogged, &item->backlog_node);
  if (service->backlogged.len > 0)
    service->floor
        = MAX (service->floor, qg_heap_top (&service->backlogged)->key);
}

static void
answer_init (QgHub *hub, const Service *service, guint64 seq)
{
  qg__fair_totals__init (&hub->answer);
  hub->answer.seq = seq;
  hub->answer.service = service->name;
  hub->answer.epoch = hub->options.epoch;
}

/* Adds the names that the agent lacks: those after the first @known names. */
static void
answer_names (QgHub *hub, Service *service, guint32 known)
{
  guint end = MIN (service->by_index->len, known + hub->options.max_items);

  g_ptr_array_set_size (hub->names, 0);
  for (guint i = known; i < end; i++)
    g_ptr_array_add (hub->names, ((Item *)service->by_index->pdata[i])->name);
  hub->answer.names_from = known;
  hub->answer.n_name = hub->names->len;
  hub->answer.name = (char **)hub->names->pdata;
}

/* Adds the counters that changed after version @have, oldest change first.
 * Stops at the first counter whose name the agent does not have yet. */
static void
answer_changes (QgHub *hub, Service *service, guint64 have)
{
  Qg__FairTotals *answer = &hub->answer;
  guint named = answer->names_from + (guint)answer->n_name;
  GList *l = first_after (service, have);

  g_array_set_size (hub->index, 0);
  g_array_set_size (hub->virt, 0);
  answer->have_from = answer->have_to = have;
  answer->floor = service->floor;
  for (; l != NULL && hub->index->len < hub->options.max_items; l = l->next)
    {
      Item *item = l->data;
      gint64 virt = item->virt - service->floor;

      if (item->index >= named)
        break;
      g_array_append_val (hub->index, item->index);
      g_array_append_val (hub->virt, virt);
      answer->have_to = item->version;
    }
  answer->more = l != NULL;
  answer->n_index = answer->n_virt = hub->index->len;
  answer->index = (guint32 *)(void *)hub->index->data;
  answer->virt = (gint64 *)(void *)hub->virt->data;
}

static GList *
first_after (const Service *service, guint64 have)
{
  GList *l = service->recent.tail;

  while (l != NULL && ((Item *)l->data)->version > have)
    l = l->prev;
  return l != NULL ? l->next : service->recent.head;
}
