#include "mesh.h"

#include "event.h"

#include <string.h>

/** Another relay. */
typedef struct
{
  char *dc;
  gboolean up;
  gboolean listed; /* in the present list */
} Relay;

/** What one relay told last. */
typedef struct
{
  QgMeshScope scope;
  QgTime at;
  GArray *loads;    /* QgMeshLoad */
  GArray *prefixes; /* QgMeshPrefix, not told on yet */
} Source;

struct _QgMesh
{
  QgMeshOps ops;
  char *name;
  char *dc;
  GTree *relays;       /* name to Relay; in the order of names */
  GHashTable *sources; /* name to Source */
  GArray *sent;        /* QgMeshPrefix, of this relay */
  char *head;          /* of the group, as last looked up */
  GHashTable *told;    /* names that have loads from this relay */
};

/** A message under construction. */
typedef struct
{
  GHashTable *sums; /* target to index in loads */
  GArray *loads;
  GArray *prefixes;
} Draft;

static int compare (gconstpointer a, gconstpointer b, gpointer user);
static Relay *relay_new (void);
static void relay_free (gpointer data);
static void source_free (gpointer data);
static gboolean is_direct (const QgMesh *mesh);
static gboolean in_group (const QgMesh *mesh, const Relay *relay);
static gboolean is_head (const QgMesh *mesh);
static guint rank_in (const QgMesh *mesh, const char *name, const char *dc);
static void look_up_head (QgMesh *mesh);
static void drop (QgMesh *mesh, const char *source);
static void drop_all (QgMesh *mesh);
static void expire (QgMesh *mesh, QgTime now);
static gboolean believes (const QgMesh *mesh, const char *from,
                          QgMeshScope scope);
static void add_loads (Draft *draft, const QgMeshLoad *loads, guint n);
static void add_source (Draft *draft, const Source *source);
static void add_sources (const QgMesh *mesh, Draft *draft, const char *except,
                         gboolean members_only);
static void tell_one (QgMesh *mesh, const char *to, QgMeshScope scope,
                      const QgMeshLoad *loads, guint n);

static int
compare (gconstpointer a, gconstpointer b, gpointer user)
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
  mesh->relays = g_tree_new_full (compare, NULL, g_free, relay_free);
  mesh->sources
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, source_free);
  mesh->sent = g_array_new (FALSE, FALSE, sizeof (QgMeshPrefix));
  mesh->told = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return mesh;
}

void
qg_mesh_free (QgMesh *mesh)
{
  g_tree_unref (mesh->relays);
  g_hash_table_unref (mesh->sources);
  g_hash_table_unref (mesh->told);
  g_array_unref (mesh->sent);
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

/* Told directly, each relay is a group. */
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
          drop (mesh, name);
          g_tree_remove (mesh->relays, name);
          /* The tree may have turned: begin again. */
          next = g_tree_node_first (mesh->relays);
        }
      at = next;
    }
  look_up_head (mesh);
}

/* How many of the other relays of @a dc have lesser names than @a name. */
static guint
rank_in (const QgMesh *mesh, const char *name, const char *dc)
{
  guint rank = 0;

  for (GTreeNode *at = g_tree_node_first (mesh->relays);
       at != NULL && strcmp (g_tree_node_key (at), name) < 0;
       at = g_tree_node_next (at))
    if (strcmp (((Relay *)g_tree_node_value (at))->dc, dc) == 0)
      rank++;
  return rank;
}

/* Those that may become heads connect to each other before they are. */
gboolean
qg_mesh_dials (const QgMesh *mesh, const char *name)
{
  const Relay *relay = g_tree_lookup (mesh->relays, name);

  if (relay == NULL || strcmp (name, mesh->name) < 0)
    return FALSE;
  if (is_direct (mesh) || in_group (mesh, relay))
    return TRUE;
  return rank_in (mesh, mesh->name, mesh->dc) < QG_MESH_CANDIDATES
         && rank_in (mesh, name, relay->dc) < QG_MESH_CANDIDATES;
}

void
qg_mesh_link (QgMesh *mesh, const char *name, gboolean up)
{
  Relay *relay = g_tree_lookup (mesh->relays, name);

  if (relay == NULL)
    return;
  relay->up = up;
  if (!up)
    drop (mesh, name);
  look_up_head (mesh);
}

/* The least name of the group that can be reached. Another head has other
 * sources: what the old one told would count twice. */
static void
look_up_head (QgMesh *mesh)
{
  const char *head = mesh->name;

  for (GTreeNode *at = g_tree_node_first (mesh->relays);
       at != NULL && strcmp (g_tree_node_key (at), mesh->name) < 0;
       at = g_tree_node_next (at))
    {
      const Relay *relay = g_tree_node_value (at);

      if (relay->up && in_group (mesh, relay))
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
  drop_all (mesh);
}

static void
drop (QgMesh *mesh, const char *source)
{
  if (!g_hash_table_contains (mesh->sources, source))
    return;
  mesh->ops.take (mesh->ops.user, source, NULL, 0);
  g_hash_table_remove (mesh->sources, source);
}

static void
drop_all (QgMesh *mesh)
{
  GList *names = g_hash_table_get_keys (mesh->sources);

  for (GList *at = names; at != NULL; at = at->next)
    drop (mesh, at->data);
  g_list_free (names);
}

static void
expire (QgMesh *mesh, QgTime now)
{
  GList *names = g_hash_table_get_keys (mesh->sources);

  for (GList *at = names; at != NULL; at = at->next)
    {
      const Source *source = g_hash_table_lookup (mesh->sources, at->data);

      if (now - source->at > QG_MESH_VALID)
        drop (mesh, at->data);
    }
  g_list_free (names);
}

void
qg_mesh_sent (QgMesh *mesh, const QgMeshPrefix *prefix)
{
  if (mesh->sent->len < QG_MESH_PREFIXES_MAX)
    g_array_append_val (mesh->sent, *prefix);
}

/* A head hears members and heads, a member its head: anything else counts
 * somebody twice. */
static gboolean
believes (const QgMesh *mesh, const char *from, QgMeshScope scope)
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
qg_mesh_hear (QgMesh *mesh, const char *from, const QgMeshMsg *msg, QgTime now)
{
  Source *source = g_hash_table_lookup (mesh->sources, from);
  guint room;

  if (!believes (mesh, from, msg->scope))
    return;
  if (source == NULL)
    {
      source = g_new0 (Source, 1);
      source->loads = g_array_new (FALSE, FALSE, sizeof (QgMeshLoad));
      source->prefixes = g_array_new (FALSE, FALSE, sizeof (QgMeshPrefix));
      g_hash_table_insert (mesh->sources, g_strdup (from), source);
    }
  source->scope = msg->scope;
  source->at = now;
  g_array_set_size (source->loads, 0);
  if (msg->n_loads > 0)
    g_array_append_vals (source->loads, msg->loads, msg->n_loads);
  room = QG_MESH_PREFIXES_MAX
         - MIN (source->prefixes->len, QG_MESH_PREFIXES_MAX);
  if (msg->n_prefixes > 0 && is_head (mesh))
    g_array_append_vals (source->prefixes, msg->prefixes,
                         MIN (msg->n_prefixes, room));
  mesh->ops.take (mesh->ops.user, from, msg->loads, msg->n_loads);
}

static void
add_loads (Draft *draft, const QgMeshLoad *loads, guint n)
{
  for (guint i = 0; i < n; i++)
    {
      gpointer at;

      if (g_hash_table_lookup_extended (draft->sums, &loads[i].target, NULL,
                                        &at))
        {
          QgMeshLoad *sum = &g_array_index (draft->loads, QgMeshLoad,
                                            GPOINTER_TO_UINT (at));

          sum->unread += loads[i].unread;
          sum->inflight += loads[i].inflight;
          continue;
        }
      g_hash_table_insert (draft->sums, (gpointer)&loads[i].target,
                           GUINT_TO_POINTER (draft->loads->len));
      g_array_append_val (draft->loads, loads[i]);
    }
}

static void
add_source (Draft *draft, const Source *source)
{
  add_loads (draft, (const QgMeshLoad *)(void *)source->loads->data,
             source->loads->len);
  if (source->prefixes->len > 0)
    g_array_append_vals (draft->prefixes, source->prefixes->data,
                         source->prefixes->len);
}

static void
add_sources (const QgMesh *mesh, Draft *draft, const char *except,
             gboolean members_only)
{
  GHashTableIter iter;
  gpointer name;
  gpointer source;

  g_hash_table_iter_init (&iter, mesh->sources);
  while (g_hash_table_iter_next (&iter, &name, &source))
    if (strcmp (name, except) != 0
        && (!members_only || ((Source *)source)->scope == QG_MESH_OWN))
      add_source (draft, source);
}

/* One that has nothing of this relay needs no word that there is nothing. */
static void
tell_one (QgMesh *mesh, const char *to, QgMeshScope scope,
          const QgMeshLoad *loads, guint n)
{
  Draft draft = { g_hash_table_new (g_int64_hash, g_int64_equal),
                  g_array_new (FALSE, FALSE, sizeof (QgMeshLoad)),
                  g_array_new (FALSE, FALSE, sizeof (QgMeshPrefix)) };

  add_loads (&draft, loads, n);
  if (mesh->sent->len > 0)
    g_array_append_vals (draft.prefixes, mesh->sent->data, mesh->sent->len);
  if (scope != QG_MESH_OWN)
    add_sources (mesh, &draft, to, scope == QG_MESH_GROUP);
  if (draft.loads->len > 0 || draft.prefixes->len > 0
      || g_hash_table_contains (mesh->told, to))
    {
      QgMeshMsg msg = { scope, draft.loads->len,
                        (const QgMeshLoad *)(void *)draft.loads->data,
                        draft.prefixes->len,
                        (const QgMeshPrefix *)(void *)draft.prefixes->data };

      mesh->ops.send (mesh->ops.user, to, &msg);
    }
  if (draft.loads->len > 0)
    g_hash_table_add (mesh->told, g_strdup (to));
  else
    g_hash_table_remove (mesh->told, to);
  g_hash_table_unref (draft.sums);
  g_array_unref (draft.loads);
  g_array_unref (draft.prefixes);
}

void
qg_mesh_tell (QgMesh *mesh, const QgMeshLoad *loads, guint n, QgTime now)
{
  g_autoptr (GHashTable) dcs = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer source;

  expire (mesh, now);
  if (!is_head (mesh))
    tell_one (mesh, mesh->head, QG_MESH_OWN, loads, n);
  for (GTreeNode *at = g_tree_node_first (mesh->relays);
       is_head (mesh) && at != NULL; at = g_tree_node_next (at))
    {
      const Relay *relay = g_tree_node_value (at);

      if (!relay->up)
        continue;
      if (in_group (mesh, relay))
        tell_one (mesh, g_tree_node_key (at), QG_MESH_REST, loads, n);
      else if (is_direct (mesh) || g_hash_table_add (dcs, relay->dc))
        tell_one (mesh, g_tree_node_key (at), QG_MESH_GROUP, loads, n);
    }
  g_array_set_size (mesh->sent, 0);
  g_hash_table_iter_init (&iter, mesh->sources);
  while (g_hash_table_iter_next (&iter, NULL, &source))
    g_array_set_size (((Source *)source)->prefixes, 0);
}
