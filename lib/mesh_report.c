#include "libmesh.h"

#include <string.h>

/** Loads summed over several relays. */
typedef struct
{
  GHashTable *index_of; /* target to index in loads */
  GArray *loads;        /* QgMeshLoad */
} Sum;

static gboolean includes_source (QgMeshScope scope, const MeshSource *source);
static Sum sum_new (const QgMesh *mesh, QgMeshScope scope,
                    const QgMeshLoad *loads, guint n);
static void sum_add (Sum *sum, const QgMeshLoad *loads, guint n);
static void sum_clear (Sum *sum);
static void copy_loads_except (QgMesh *mesh, const Sum *sum,
                               const char *except);
static void copy_news_except (QgMesh *mesh, QgMeshScope scope,
                              const char *except);
static void append_all (GArray *to, const GArray *from);
static void send_report (QgMesh *mesh, const char *to, MeshRelay *relay,
                         QgMeshScope scope, const Sum *sum, QgTime now);
static QgMeshScope scope_for (const QgMesh *mesh, const char *name,
                              const MeshRelay *relay, GHashTable *dcs);

static void
append_all (GArray *to, const GArray *from)
{
  if (from->len > 0)
    g_array_append_vals (to, from->data, from->len);
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
includes_source (QgMeshScope scope, const MeshSource *source)
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
      const MeshSource *source = value;

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
  const MeshSource *source = g_hash_table_lookup (mesh->sources, except);
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
  g_array_set_size (mesh->streams, 0);
  append_all (mesh->prefixes, mesh->new_prefixes);
  append_all (mesh->limits, mesh->new_limits);
  append_all (mesh->streams, mesh->new_streams);
  g_hash_table_iter_init (&iter, mesh->sources);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const MeshSource *source = value;

      if (!includes_source (scope, source) || strcmp (name, except) == 0)
        continue;
      append_all (mesh->prefixes, source->prefixes);
      append_all (mesh->limits, source->limits);
      append_all (mesh->streams, source->streams);
    }
}

/* Sends a report to @to. An empty report is sent only if the last report to @to
 * had loads, or while relays hear of each other's streams. */
static void
send_report (QgMesh *mesh, const char *to, MeshRelay *relay, QgMeshScope scope,
             const Sum *sum, QgTime now)
{
  /* Only a report on the rest of the fleet contains loads of its receiver. */
  copy_loads_except (mesh, sum, scope == QG_MESH_REST ? to : "");
  copy_news_except (mesh, scope, to);
  if (mesh->loads->len > 0 || mesh->prefixes->len > 0 || mesh->limits->len > 0
      || mesh->streams->len > 0
      || (now < mesh->keepalive_until
          && now - relay->sent_at >= QG_MESH_KEEPALIVE)
      || g_hash_table_contains (mesh->reported_to, to))
    {
      QgMeshMsg msg = { scope,
                        mesh->loads->len,
                        (const QgMeshLoad *)(void *)mesh->loads->data,
                        mesh->prefixes->len,
                        (const QgMeshPrefix *)(void *)mesh->prefixes->data,
                        mesh->limits->len,
                        (const QgMeshLimit *)(void *)mesh->limits->data,
                        mesh->streams->len,
                        (const QgMeshStream *)(void *)mesh->streams->data };

      mesh->ops.send (mesh->ops.user, to, &msg);
      relay->sent_at = now;
    }
  if (mesh->loads->len == 0)
    g_hash_table_remove (mesh->reported_to, to);
  else if (!g_hash_table_contains (mesh->reported_to, to))
    g_hash_table_add (mesh->reported_to, g_strdup (to));
}

/* The scope of this relay's reports to @name; QG_N_MESH_SCOPES if it reports
 * nothing to @name. @dcs: the groups that have had their report. */
static QgMeshScope
scope_for (const QgMesh *mesh, const char *name, const MeshRelay *relay,
           GHashTable *dcs)
{
  if (!mesh_is_head (mesh))
    return strcmp (name, mesh->head) == 0 ? QG_MESH_OWN : QG_N_MESH_SCOPES;
  if (!relay->connected)
    return QG_N_MESH_SCOPES;
  if (mesh_in_group (mesh, relay))
    return QG_MESH_REST;
  return mesh_is_direct (mesh) || g_hash_table_add (dcs, relay->dc)
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

  mesh_expire_reports (mesh, now);
  if (mesh->new_streams->len > 0)
    mesh->keepalive_until = now + QG_MESH_KEEPALIVE_TIME;
  for (GTreeNode *at = g_tree_node_first (mesh->relays); at != NULL;
       at = g_tree_node_next (at))
    {
      const char *name = g_tree_node_key (at);
      MeshRelay *relay = g_tree_node_value (at);
      QgMeshScope scope = scope_for (mesh, name, relay, dcs);

      if (scope == QG_N_MESH_SCOPES)
        continue;
      if (sums[scope].index_of == NULL)
        sums[scope] = sum_new (mesh, scope, loads, n);
      send_report (mesh, name, relay, scope, &sums[scope], now);
    }
  for (guint i = 0; i < QG_N_MESH_SCOPES; i++)
    sum_clear (&sums[i]);
  g_array_set_size (mesh->new_prefixes, 0);
  g_array_set_size (mesh->new_limits, 0);
  g_array_set_size (mesh->new_streams, 0);
  g_hash_table_iter_init (&iter, mesh->sources);
  while (g_hash_table_iter_next (&iter, NULL, &source))
    {
      g_array_set_size (((MeshSource *)source)->prefixes, 0);
      g_array_set_size (((MeshSource *)source)->limits, 0);
      g_array_set_size (((MeshSource *)source)->streams, 0);
    }
}
