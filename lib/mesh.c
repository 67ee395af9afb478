#include "libmesh.h"

#include "event.h"

#include <string.h>

static int compare_names (gconstpointer a, gconstpointer b, gpointer user);
static MeshRelay *relay_new (void);
static void relay_free (gpointer data);
static void source_free (gpointer data);
static guint rank_in_dc (const QgMesh *mesh, const char *name, const char *dc);
static void update_head (QgMesh *mesh);
static void drop_report (QgMesh *mesh, const char *source);
static void drop_all_reports (QgMesh *mesh);
static gboolean accepts_report (const QgMesh *mesh, const char *from,
                                QgMeshScope scope);
static guint count_reporters (const QgMesh *mesh);
static gint compare_times (gconstpointer a, gconstpointer b);
static void append_up_to (GArray *to, gconstpointer items, guint n, guint max);

static int
compare_names (gconstpointer a, gconstpointer b, gpointer user)
{
  return strcmp (a, b);
}

static MeshRelay *
relay_new (void)
{
  return g_new0 (MeshRelay, 1);
}

static void
relay_free (gpointer data)
{
  MeshRelay *relay = data;

  g_free (relay->dc);
  g_free (relay);
}

static void
source_free (gpointer data)
{
  MeshSource *source = data;

  g_array_unref (source->loads);
  g_array_unref (source->prefixes);
  g_array_unref (source->limits);
  g_array_unref (source->streams);
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
  mesh->new_streams = g_array_new (FALSE, FALSE, sizeof (QgMeshStream));
  mesh->streams = g_array_new (FALSE, FALSE, sizeof (QgMeshStream));
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
  g_array_unref (mesh->new_streams);
  g_array_unref (mesh->streams);
  g_free (mesh->name);
  g_free (mesh->dc);
  g_free (mesh->head);
  g_free (mesh);
}

gboolean
mesh_is_direct (const QgMesh *mesh)
{
  return g_tree_nnodes (mesh->relays) + 1 <= QG_MESH_DIRECT_MAX;
}

/* Without groups, no other relay is in this relay's group. */
gboolean
mesh_in_group (const QgMesh *mesh, const MeshRelay *relay)
{
  return !mesh_is_direct (mesh) && strcmp (relay->dc, mesh->dc) == 0;
}

gboolean
mesh_is_head (const QgMesh *mesh)
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
    ((MeshRelay *)g_tree_node_value (at))->listed = FALSE;
}

void
qg_mesh_relay (QgMesh *mesh, const char *name, const char *dc)
{
  MeshRelay *relay;

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
      const MeshRelay *relay = g_tree_node_value (at);
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
    if (strcmp (((MeshRelay *)g_tree_node_value (at))->dc, dc) == 0)
      rank++;
  return rank;
}

/* Relays that may become heads connect to each other in advance. */
gboolean
qg_mesh_should_connect (const QgMesh *mesh, const char *name)
{
  const MeshRelay *relay = g_tree_lookup (mesh->relays, name);

  if (relay == NULL || strcmp (name, mesh->name) < 0)
    return FALSE;
  if (mesh_is_direct (mesh) || mesh_in_group (mesh, relay))
    return TRUE;
  return rank_in_dc (mesh, mesh->name, mesh->dc) < QG_MESH_CANDIDATES
         && rank_in_dc (mesh, name, relay->dc) < QG_MESH_CANDIDATES;
}

void
qg_mesh_set_connected (QgMesh *mesh, const char *name, gboolean connected)
{
  MeshRelay *relay = g_tree_lookup (mesh->relays, name);

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
      const MeshRelay *relay = g_tree_node_value (at);

      if (relay->connected && mesh_in_group (mesh, relay))
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

void
mesh_expire_reports (QgMesh *mesh, QgTime now)
{
  GList *names = g_hash_table_get_keys (mesh->sources);

  for (GList *at = names; at != NULL; at = at->next)
    {
      const MeshSource *source = g_hash_table_lookup (mesh->sources, at->data);

      if (now - source->received_at > QG_MESH_EXPIRY)
        drop_report (mesh, at->data);
    }
  g_list_free (names);
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

void
qg_mesh_add_stream (QgMesh *mesh, const QgMeshStream *stream)
{
  append_up_to (mesh->new_streams, stream, 1, QG_MESH_STREAMS_MAX);
}

/* A head learns the loads of a data centre from any relay of it that is
 * connected, a member learns those of the fleet from its head. */
guint
qg_mesh_reached (const QgMesh *mesh)
{
  g_autoptr (GHashTable) dcs = g_hash_table_new (g_str_hash, g_str_equal);
  guint reached = 1;

  if (!mesh_is_head (mesh))
    return (guint)g_tree_nnodes (mesh->relays) + 1;
  for (GTreeNode *at = g_tree_node_first (mesh->relays); at != NULL;
       at = g_tree_node_next (at))
    {
      const MeshRelay *relay = g_tree_node_value (at);

      if (relay->connected)
        g_hash_table_add (dcs, relay->dc);
    }
  for (GTreeNode *at = g_tree_node_first (mesh->relays); at != NULL;
       at = g_tree_node_next (at))
    {
      const MeshRelay *relay = g_tree_node_value (at);

      if (mesh_is_direct (mesh) || mesh_in_group (mesh, relay)
              ? relay->connected
              : g_hash_table_contains (dcs, relay->dc))
        reached++;
    }
  return reached;
}

/* The relays that report to this one: to a member its head, to a head its
 * members and one relay of each other data centre. */
static guint
count_reporters (const QgMesh *mesh)
{
  g_autoptr (GHashTable) dcs = g_hash_table_new (g_str_hash, g_str_equal);
  guint n = 0;

  if (!mesh_is_head (mesh))
    return 1;
  for (GTreeNode *at = g_tree_node_first (mesh->relays); at != NULL;
       at = g_tree_node_next (at))
    {
      const MeshRelay *relay = g_tree_node_value (at);

      if (mesh_is_direct (mesh) || mesh_in_group (mesh, relay)
          || g_hash_table_add (dcs, relay->dc))
        n++;
    }
  return n;
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  QgTime first = *(const QgTime *)a;
  QgTime second = *(const QgTime *)b;

  return first < second ? 1 : first > second ? -1 : 0;
}

QgTime
qg_mesh_heard_at (const QgMesh *mesh)
{
  guint needed = (count_reporters (mesh) + 1) / 2;
  g_autoptr (GArray) times = g_array_new (FALSE, FALSE, sizeof (QgTime));
  GHashTableIter iter;
  gpointer source;

  if (needed == 0)
    return G_MAXINT64;
  g_hash_table_iter_init (&iter, mesh->sources);
  while (g_hash_table_iter_next (&iter, NULL, &source))
    g_array_append_val (times, ((const MeshSource *)source)->received_at);
  if (times->len < needed)
    return 0;
  g_array_sort (times, compare_times);
  return g_array_index (times, QgTime, needed - 1);
}

/* A head accepts reports of its members and of other heads; a member accepts
 * only reports of its head. Any other report would count a relay twice. */
static gboolean
accepts_report (const QgMesh *mesh, const char *from, QgMeshScope scope)
{
  const MeshRelay *relay = g_tree_lookup (mesh->relays, from);

  if (relay == NULL)
    return FALSE;
  if (scope == QG_MESH_REST)
    return strcmp (from, mesh->head) == 0;
  return mesh_is_head (mesh)
         && (scope == QG_MESH_OWN) == (mesh_in_group (mesh, relay) != FALSE);
}

void
qg_mesh_receive (QgMesh *mesh, const char *from, const QgMeshMsg *msg,
                 QgTime now)
{
  MeshSource *source = g_hash_table_lookup (mesh->sources, from);

  if (!accepts_report (mesh, from, msg->scope))
    return;
  if (source == NULL)
    {
      source = g_new0 (MeshSource, 1);
      source->loads = g_array_new (FALSE, FALSE, sizeof (QgMeshLoad));
      source->prefixes = g_array_new (FALSE, FALSE, sizeof (QgMeshPrefix));
      source->limits = g_array_new (FALSE, FALSE, sizeof (QgMeshLimit));
      source->streams = g_array_new (FALSE, FALSE, sizeof (QgMeshStream));
      g_hash_table_insert (mesh->sources, g_strdup (from), source);
    }
  if (msg->n_streams > 0)
    mesh->keepalive_until = now + QG_MESH_KEEPALIVE_TIME;
  source->scope = msg->scope;
  source->received_at = now;
  g_array_set_size (source->loads, 0);
  if (msg->n_loads > 0)
    g_array_append_vals (source->loads, msg->loads, msg->n_loads);
  if (mesh_is_head (mesh))
    {
      append_up_to (source->prefixes, msg->prefixes, msg->n_prefixes,
                    QG_MESH_PREFIXES_MAX);
      append_up_to (source->limits, msg->limits, msg->n_limits,
                    QG_MESH_LIMITS_MAX);
      append_up_to (source->streams, msg->streams, msg->n_streams,
                    QG_MESH_STREAMS_MAX);
    }
  mesh->ops.set_loads (mesh->ops.user, from, msg->loads, msg->n_loads);
}
