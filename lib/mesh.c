#include "mesh.h"

#include "event.h"

#include <string.h>

/** Another relay. */
typedef struct
{
  char *dc;
  gboolean connected;
  gboolean listed; /* is in the current list of relays */
} Relay;

/** The last report of a relay. */
typedef struct
{
  QgMeshScope scope;
  QgTime received_at;
  GArray *loads;    /* QgMeshLoad */
  GArray *prefixes; /* QgMeshPrefix, not forwarded yet */
  GArray *limits;   /* QgMeshLimit, not forwarded yet */
} Source;

struct _QgMesh
{
  QgMeshOps ops;
  char *name;
  char *dc;
  GTree *relays;         /* name to Relay, sorted by name */
  GHashTable *connected; /* names of connected relays, listed or not */
  GHashTable *sources;   /* name to Source */
  GArray *new_prefixes;  /* QgMeshPrefix of this relay, not reported yet */
  GArray *new_limits;    /* QgMeshLimit of this relay, not reported yet */
  char *head;            /* head of the group, as last determined */
  /* Names of the relays whose last report from this relay contained loads. */
  GHashTable *reported_to;
  GArray *loads;    /* of the message under construction */
  GArray *prefixes; /* likewise */
  GArray *limits;   /* likewise */
};

/** Loads summed over several relays. */
typedef struct
{
  GHashTable *index_of; /* target to index in loads */
  GArray *loads;        /* QgMeshLoad */
} Sum;

static int compare_names (gconstpointer a, gconstpointer b, gpointer user);
static Relay *relay_new (void);
static void relay_free (gpointer data);
static void source_free (gpointer data);
static gboolean is_direct (const QgMesh *mesh);
static gboolean in_group (const QgMesh *mesh, const Relay *relay);
static gboolean is_head (const QgMesh *mesh);
static guint rank_in_dc (const QgMesh *mesh, const char *name, const char *dc);
static void update_head (QgMesh *mesh);
static void drop_report (QgMesh *mesh, const char *source);
static void drop_all_reports (QgMesh *mesh);
static void expire_reports (QgMesh *mesh, QgTime now);
static gboolean accepts_report (const QgMesh *mesh, const char *from,
                                QgMeshScope scope);
static gboolean includes_source (QgMeshScope scope, const Source *source);
static Sum sum_new (const QgMesh *mesh, QgMeshScope scope,
                    const QgMeshLoad *loads, guint n);
static void sum_add (Sum *sum, const QgMeshLoad *loads, guint n);
static void sum_clear (Sum *sum);
static void copy_loads_except (QgMesh *mesh, const Sum *sum,
                               const char *except);
static void copy_news_except (QgMesh *mesh, QgMeshScope scope,
                              const char *except);
static void append_all (GArray *to, const GArray *from);
static void append_up_to (GArray *to, gconstpointer items, guint n, guint max);
static void send_report (QgMesh *mesh, const char *to, QgMeshScope scope,
                         const Sum *sum);
static QgMeshScope scope_for (const QgMesh *mesh, const char *name,
                              const Relay *relay, GHashTable *dcs);

static int
compare_names (gconstpointer a, gconstpointer b, gpointer user)
{
  return strcmp (a, b);
}

static Relay *
relay_new (void)
{
  return g_new0 (Relay, 1);
}

static void
relay_free (gpointer data)
{
  Relay *relay = data;

  g_free (relay->dc);
  g_free (relay);
}

static void
source_free (gpointer data)
{
  Source *source = data;

  g_array_unref (source->loads);
  g_array_unref (source->prefixes);
  g_array_unref (source->limits);
  g_free (source);
}

QgMesh *
qg_mesh_new (const char *name, const char *dc, const QgMeshOps *ops)
{
  QgMesh *mesh = g_new0 (QgMesh, 1);

  mesh->ops = *ops;
  mesh->name = g_strdup (name);
  mesh->dc = g_strdup (dc);
  mesh->head = g_strdup (name);
  mesh->relays = g_tree_new_full (compare_names, NULL, g_free, relay_free);
  mesh->connected
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  mesh->sources
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, source_free);
  mesh->new_prefixes = g_array_new (FALSE, FALSE, sizeof (QgMeshPrefix));
  mesh->reported_to
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  mesh->loads = g_array_new (FALSE, FALSE, sizeof (QgMeshLoad));
  mesh->prefixes = g_array_new (FALSE, FALSE, sizeof (QgMeshPrefix));
  mesh->new_limits = g_array_new (FALSE, FALSE, sizeof (QgMeshLimit));
  mesh->limits = g_array_new (FALSE, FALSE, sizeof (QgMeshLimit));
  return mesh;
}

void
qg_mesh_free (QgMesh *mesh)
{
  g_tree_unref (mesh->relays);
  g_hash_table_unref (mesh->connected);
  g_hash_table_unref (mesh->sources);
  g_hash_table_unref (mesh->reported_to);
  g_array_unref (mesh->new_prefixes);
  g_array_unref (mesh->loads);
  g_array_unref (mesh->prefixes);
  g_array_unref (mesh->new_limits);
  g_array_unref (mesh->limits);
  g_free (mesh->name);
  g_free (mesh->dc);
  g_free (mesh->head);
  g_free (mesh);
}

static gboolean
is_direct (const QgMesh *mesh)
{
  return g_tree_nnodes (mesh->relays) + 1 <= QG_MESH_DIRECT_MAX;
}

/* Without groups, no other relay is in this relay's group. */
static gboolean
in_group (const QgMesh *mesh, const Relay *relay)
{
  return !is_direct (mesh) && strcmp (relay->dc, mesh->dc) == 0;
}

static gboolean
is_head (const QgMesh *mesh)
{
  return strcmp (mesh->head, mesh->name) == 0;
}

const char *
qg_mesh_head (const QgMesh *mesh)
{
  return mesh->head;
}

void
qg_mesh_relays_begin (QgMesh *mesh)
{
  for (GTreeNode *at = g_tree_node_first (mesh->relays); at != NULL;
       at = g_tree_node_next (at))
    ((Relay *)g_tree_node_value (at))->listed = FALSE;
}

void
qg_mesh_relay (QgMesh *mesh, const char *name, const char *dc)
{
  Relay *relay;

  if (strcmp (name, mesh->name) == 0)
    return;
  if (g_tree_lookup (mesh->relays, name) == NULL)
    g_tree_insert (mesh->relays, g_strdup (name), relay_new ());
  relay = g_tree_lookup (mesh->relays, name);
  g_free (relay->dc);
  relay->dc = g_strdup (dc);
  relay->connected = g_hash_table_contains (mesh->connected, name);
  relay->listed = TRUE;
}

void
qg_mesh_relays_end (QgMesh *mesh)
{
  GTreeNode *at = g_tree_node_first (mesh->relays);

  while (at != NULL)
    {
      GTreeNode *next = g_tree_node_next (at);
      const Relay *relay = g_tree_node_value (at);
      const char *name = g_tree_node_key (at);

      if (!relay->listed)
        {
          drop_report (mesh, name);
          g_tree_remove (mesh->relays, name);
          /* Removal may rebalance the tree, so restart from the first node. */
          next = g_tree_node_first (mesh->relays);
        }
      at = next;
    }
  update_head (mesh);
}

/* The number of other relays of @a dc whose names sort before @a name. */
static guint
rank_in_dc (const QgMesh *mesh, const char *name, const char *dc)
{
  guint rank = 0;

  for (GTreeNode *at = g_tree_node_first (mesh->relays);
       at != NULL && strcmp (g_tree_node_key (at), name) < 0;
       at = g_tree_node_next (at))
    if (strcmp (((Relay *)g_tree_node_value (at))->dc, dc) == 0)
      rank++;
  return rank;
}

/* Relays that may become heads connect to each other in advance. */
gboolean
qg_mesh_should_connect (const QgMesh *mesh, const char *name)
{
  const Relay *relay = g_tree_lookup (mesh->relays, name);

  if (relay == NULL || strcmp (name, mesh->name) < 0)
    return FALSE;
  if (is_direct (mesh) || in_group (mesh, relay))
    return TRUE;
  return rank_in_dc (mesh, mesh->name, mesh->dc) < QG_MESH_CANDIDATES
         && rank_in_dc (mesh, name, relay->dc) < QG_MESH_CANDIDATES;
}

void
qg_mesh_set_connected (QgMesh *mesh, const char *name, gboolean connected)
{
  Relay *relay = g_tree_lookup (mesh->relays, name);

  /* A relay that has an older list than its peer may be connected to relays
   * that it does not know yet. */
  if (connected)
    g_hash_table_add (mesh->connected, g_strdup (name));
  else
    g_hash_table_remove (mesh->connected, name);
  if (relay == NULL)
    return;
  relay->connected = connected;
  if (!connected)
    drop_report (mesh, name);
  update_head (mesh);
}

/* Sets the head: the relay of the group whose name sorts first among this relay
 * and those connected to it. A new head reports on a different set of relays
 * than the old head, so all reports are dropped; otherwise, some relays would
 * be counted twice. */
static void
update_head (QgMesh *mesh)
{
  const char *head = mesh->name;

  for (GTreeNode *at = g_tree_node_first (mesh->relays);
       at != NULL && strcmp (g_tree_node_key (at), mesh->name) < 0;
       at = g_tree_node_next (at))
    {
      const Relay *relay = g_tree_node_value (at);

      if (relay->connected && in_group (mesh, relay))
        {
          head = g_tree_node_key (at);
          break;
        }
    }
  if (strcmp (head, mesh->head) == 0)
    return;
  qg_event (QG_EV_MESH_HEAD, "dc=%s head=%s before=%s relays=%d", mesh->dc,
            head, mesh->head, g_tree_nnodes (mesh->relays) + 1);
  g_free (mesh->head);
  mesh->head = g_strdup (head);
  drop_all_reports (mesh);
}

static void
drop_report (QgMesh *mesh, const char *source)
{
  if (!g_hash_table_contains (mesh->sources, source))
    return;
  mesh->ops.set_loads (mesh->ops.user, source, NULL, 0);
  g_hash_table_remove (mesh->sources, source);
}

static void
drop_all_reports (QgMesh *mesh)
{
  GList *names = g_hash_table_get_keys (mesh->sources);

  for (GList *at = names; at != NULL; at = at->next)
    drop_report (mesh, at->data);
  g_list_free (names);
}

static void
expire_reports (QgMesh *mesh, QgTime now)
{
  GList *names = g_hash_table_get_keys (mesh->sources);

  for (GList *at = names; at != NULL; at = at->next)
    {
      const Source *source = g_hash_table_lookup (mesh->sources, at->data);

      if (now - source->received_at > QG_MESH_EXPIRY)
        drop_report (mesh, at->data);
    }
  g_list_free (names);
}

static void
append_all (GArray *to, const GArray *from)
{
  if (from->len > 0)
    g_array_append_vals (to, from->data, from->len);
}

/* Appends items while @to has fewer than @max. */
static void
append_up_to (GArray *to, gconstpointer items, guint n, guint max)
{
  guint space_left = max - MIN (to->len, max);

  if (MIN (n, space_left) > 0)
    g_array_append_vals (to, items, MIN (n, space_left));
}

void
qg_mesh_add_prefix (QgMesh *mesh, const QgMeshPrefix *prefix)
{
  append_up_to (mesh->new_prefixes, prefix, 1, QG_MESH_PREFIXES_MAX);
}

void
qg_mesh_add_limit (QgMesh *mesh, const QgMeshLimit *limit)
{
  append_up_to (mesh->new_limits, limit, 1, QG_MESH_LIMITS_MAX);
}

/* A head learns the loads of a data centre from any relay of it that is
 * connected, a member learns those of the fleet from its head. */
guint
qg_mesh_reached (const QgMesh *mesh)
{
  g_autoptr (GHashTable) dcs = g_hash_table_new (g_str_hash, g_str_equal);
  guint reached = 1;

  if (!is_head (mesh))
    return (guint)g_tree_nnodes (mesh->relays) + 1;
  for (GTreeNode *at = g_tree_node_first (mesh->relays); at != NULL;
       at = g_tree_node_next (at))
    {
      const Relay *relay = g_tree_node_value (at);

      if (relay->connected)
        g_hash_table_add (dcs, relay->dc);
    }
  for (GTreeNode *at = g_tree_node_first (mesh->relays); at != NULL;
       at = g_tree_node_next (at))
    {
      const Relay *relay = g_tree_node_value (at);

      if (is_direct (mesh) || in_group (mesh, relay)
              ? relay->connected
              : g_hash_table_contains (dcs, relay->dc))
        reached++;
    }
  return reached;
}

/* A head accepts reports of its members and of other heads; a member accepts
 * only reports of its head. Any other report would count a relay twice. */
static gboolean
accepts_report (const QgMesh *mesh, const char *from, QgMeshScope scope)
{
  const Relay *relay = g_tree_lookup (mesh->relays, from);

  if (relay == NULL)
    return FALSE;
  if (scope == QG_MESH_REST)
    return strcmp (from, mesh->head) == 0;
  return is_head (mesh)
         && (scope == QG_MESH_OWN) == (in_group (mesh, relay) != FALSE);
}

void
qg_mesh_receive (QgMesh *mesh, const char *from, const QgMeshMsg *msg,
                 QgTime now)
{
  Source *source = g_hash_table_lookup (mesh->sources, from);

  if (!accepts_report (mesh, from, msg->scope))
    return;
  if (source == NULL)
    {
      source = g_new0 (Source, 1);
      source->loads = g_array_new (FALSE, FALSE, sizeof (QgMeshLoad));
      source->prefixes = g_array_new (FALSE, FALSE, sizeof (QgMeshPrefix));
      source->limits = g_array_new (FALSE, FALSE, sizeof (QgMeshLimit));
      g_hash_table_insert (mesh->sources, g_strdup (from), source);
    }
  source->scope = msg->scope;
  source->received_at = now;
  g_array_set_size (source->loads, 0);
  if (msg->n_loads > 0)
    g_array_append_vals (source->loads, msg->loads, msg->n_loads);
  if (is_head (mesh))
    {
      append_up_to (source->prefixes, msg->prefixes, msg->n_prefixes,
                    QG_MESH_PREFIXES_MAX);
      append_up_to (source->limits, msg->limits, msg->n_limits,
                    QG_MESH_LIMITS_MAX);
    }
  mesh->ops.set_loads (mesh->ops.user, from, msg->loads, msg->n_loads);
}

static void
sum_add (Sum *sum, const QgMeshLoad *loads, guint n)
{
  for (guint i = 0; i < n; i++)
    {
      gpointer at;

      if (g_hash_table_lookup_extended (sum->index_of, &loads[i].target, NULL,
                                        &at))
        {
          QgMeshLoad *load
              = &g_array_index (sum->loads, QgMeshLoad, GPOINTER_TO_UINT (at));

          load->unread += loads[i].unread;
          load->inflight += loads[i].inflight;
          load->demand += loads[i].demand;
          continue;
        }
      g_hash_table_insert (sum->index_of, (gpointer)&loads[i].target,
                           GUINT_TO_POINTER (sum->loads->len));
      g_array_append_val (sum->loads, loads[i]);
    }
}

/* Whether a report of @scope includes the loads and prefixes of @source. */
static gboolean
includes_source (QgMeshScope scope, const Source *source)
{
  return scope == QG_MESH_REST
         || (scope == QG_MESH_GROUP && source->scope == QG_MESH_OWN);
}

/* Sums what all reports of one scope have in common. A head with N members
 * sends N reports that differ only by the loads of the receiver, so these are
 * subtracted for each report instead of N sums being built. */
static Sum
sum_new (const QgMesh *mesh, QgMeshScope scope, const QgMeshLoad *loads,
         guint n)
{
  Sum sum = { g_hash_table_new (g_int64_hash, g_int64_equal),
              g_array_sized_new (FALSE, FALSE, sizeof (QgMeshLoad), n) };
  GHashTableIter iter;
  gpointer value;

  sum_add (&sum, loads, n);
  g_hash_table_iter_init (&iter, mesh->sources);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Source *source = value;

      if (includes_source (scope, source))
        sum_add (&sum, (const QgMeshLoad *)(void *)source->loads->data,
                 source->loads->len);
    }
  return sum;
}

static void
sum_clear (Sum *sum)
{
  if (sum->index_of == NULL)
    return;
  g_hash_table_unref (sum->index_of);
  g_array_unref (sum->loads);
}

static void
copy_loads_except (QgMesh *mesh, const Sum *sum, const char *except)
{
  const Source *source = g_hash_table_lookup (mesh->sources, except);
  guint kept = 0;

  g_array_set_size (mesh->loads, 0);
  if (sum->loads->len > 0)
    g_array_append_vals (mesh->loads, sum->loads->data, sum->loads->len);
  for (guint i = 0; source != NULL && i < source->loads->len; i++)
    {
      const QgMeshLoad *own = &g_array_index (source->loads, QgMeshLoad, i);
      gpointer at = g_hash_table_lookup (sum->index_of, &own->target);
      QgMeshLoad *load
          = &g_array_index (mesh->loads, QgMeshLoad, GPOINTER_TO_UINT (at));

      load->unread -= own->unread;
      load->inflight -= own->inflight;
      load->demand -= own->demand;
    }
  for (guint i = 0; i < mesh->loads->len; i++)
    {
      const QgMeshLoad *load = &g_array_index (mesh->loads, QgMeshLoad, i);

      if (load->unread > 0 || load->inflight > 0 || load->demand > 0)
        g_array_index (mesh->loads, QgMeshLoad, kept++) = *load;
    }
  g_array_set_size (mesh->loads, kept);
}

static void
copy_news_except (QgMesh *mesh, QgMeshScope scope, const char *except)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_array_set_size (mesh->prefixes, 0);
  g_array_set_size (mesh->limits, 0);
  append_all (mesh->prefixes, mesh->new_prefixes);
  append_all (mesh->limits, mesh->new_limits);
  g_hash_table_iter_init (&iter, mesh->sources);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const Source *source = value;

      if (!includes_source (scope, source) || strcmp (name, except) == 0)
        continue;
      append_all (mesh->prefixes, source->prefixes);
      append_all (mesh->limits, source->limits);
    }
}

/* Sends a report to @to. An empty report is sent only if the last report to @to
 * had loads. */
static void
send_report (QgMesh *mesh, const char *to, QgMeshScope scope, const Sum *sum)
{
  /* Only a report on the rest of the fleet contains loads of its receiver. */
  copy_loads_except (mesh, sum, scope == QG_MESH_REST ? to : "");
  copy_news_except (mesh, scope, to);
  if (mesh->loads->len > 0 || mesh->prefixes->len > 0 || mesh->limits->len > 0
      || g_hash_table_contains (mesh->reported_to, to))
    {
      QgMeshMsg msg = { scope,
                        mesh->loads->len,
                        (const QgMeshLoad *)(void *)mesh->loads->data,
                        mesh->prefixes->len,
                        (const QgMeshPrefix *)(void *)mesh->prefixes->data,
                        mesh->limits->len,
                        (const QgMeshLimit *)(void *)mesh->limits->data };

      mesh->ops.send (mesh->ops.user, to, &msg);
    }
  if (mesh->loads->len == 0)
    g_hash_table_remove (mesh->reported_to, to);
  else if (!g_hash_table_contains (mesh->reported_to, to))
    g_hash_table_add (mesh->reported_to, g_strdup (to));
}

/* The scope of this relay's reports to @name; QG_N_MESH_SCOPES if it reports
 * nothing to @name. @dcs: the groups that have had their report. */
static QgMeshScope
scope_for (const QgMesh *mesh, const char *name, const Relay *relay,
           GHashTable *dcs)
{
  if (!is_head (mesh))
    return strcmp (name, mesh->head) == 0 ? QG_MESH_OWN : QG_N_MESH_SCOPES;
  if (!relay->connected)
    return QG_N_MESH_SCOPES;
  if (in_group (mesh, relay))
    return QG_MESH_REST;
  return is_direct (mesh) || g_hash_table_add (dcs, relay->dc)
             ? QG_MESH_GROUP
             : QG_N_MESH_SCOPES;
}

void
qg_mesh_send_reports (QgMesh *mesh, const QgMeshLoad *loads, guint n,
                      QgTime now)
{
  g_autoptr (GHashTable) dcs = g_hash_table_new (g_str_hash, g_str_equal);
  Sum sums[QG_N_MESH_SCOPES] = { { NULL, NULL } };
  GHashTableIter iter;
  gpointer source;

  expire_reports (mesh, now);
  for (GTreeNode *at = g_tree_node_first (mesh->relays); at != NULL;
       at = g_tree_node_next (at))
    {
      const char *name = g_tree_node_key (at);
      QgMeshScope scope = scope_for (mesh, name, g_tree_node_value (at), dcs);

      if (scope == QG_N_MESH_SCOPES)
        continue;
      if (sums[scope].index_of == NULL)
        sums[scope] = sum_new (mesh, scope, loads, n);
      send_report (mesh, name, scope, &sums[scope]);
    }
  for (guint i = 0; i < QG_N_MESH_SCOPES; i++)
    sum_clear (&sums[i]);
  g_array_set_size (mesh->new_prefixes, 0);
  g_array_set_size (mesh->new_limits, 0);
  g_hash_table_iter_init (&iter, mesh->sources);
  while (g_hash_table_iter_next (&iter, NULL, &source))
    {
      g_array_set_size (((Source *)source)->prefixes, 0);
      g_array_set_size (((Source *)source)->limits, 0);
    }
}
