#include "manifest.h"

#include <string.h>

static void route_free (gpointer data);
static void service_free (gpointer data);
static void workspace_free (gpointer data);
static void str_free (gpointer data);
static QgStatus check_route (const QgManifest *manifest, const QgRoute *route,
                             QgErr *err);
static gint compare_by_prefix_length (gconstpointer a, gconstpointer b);
static guint hash_place (gconstpointer route);
static gboolean places_are_equal (gconstpointer a, gconstpointer b);
static void index_host (QgManifest *manifest, QgRoute *route);
static gboolean list_allows (const GPtrArray *regions, const char *region);

QgManifest *
qg_manifest_new (guint64 version, GBytes *text)
{
  QgManifest *manifest = g_new0 (QgManifest, 1);

  manifest->refs = 1;
  manifest->version = version;
  manifest->text = g_bytes_ref (text);
  manifest->routes = g_ptr_array_new_with_free_func (route_free);
  manifest->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                           (GDestroyNotify)g_ptr_array_unref);
  manifest->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  manifest->workspaces = g_ptr_array_new_with_free_func (workspace_free);
  manifest->keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return manifest;
}

QgManifest *
qg_manifest_ref (QgManifest *manifest)
{
  manifest->refs++;
  return manifest;
}

void
qg_manifest_unref (QgManifest *manifest)
{
  if (manifest == NULL || --manifest->refs > 0)
    return;
  g_hash_table_unref (manifest->keys);
  g_hash_table_unref (manifest->hosts);
  g_ptr_array_unref (manifest->routes);
  g_hash_table_unref (manifest->services);
  g_ptr_array_unref (manifest->workspaces);
  g_bytes_unref (manifest->text);
  g_free (manifest);
}

static void
str_free (gpointer data)
{
  qg_str_unref (data);
}

static void
route_free (gpointer data)
{
  QgRoute *route = data;

  for (guint i = 0; i < route->splits->len; i++)
    qg_str_unref (g_array_index (route->splits, QgSplit, i).service);
  g_array_unref (route->splits);
  g_ptr_array_unref (route->regions);
  g_clear_pointer (&route->name, qg_str_unref);
  g_clear_pointer (&route->host, qg_str_unref);
  g_clear_pointer (&route->prefix, qg_str_unref);
  g_free (route);
}

static void
service_free (gpointer data)
{
  QgService *service = data;

  qg_str_unref (service->check_path);
  qg_str_unref (service->name);
  g_free (service);
}

static void
workspace_free (gpointer data)
{
  QgWorkspace *workspace = data;

  qg_str_unref (workspace->name);
  g_ptr_array_unref (workspace->regions);
  g_free (workspace);
}

QgRoute *
qg_manifest_add_route (QgManifest *manifest)
{
  QgRoute *route = g_new0 (QgRoute, 1);

  route->splits = g_array_new (FALSE, TRUE, sizeof (QgSplit));
  route->regions = g_ptr_array_new_with_free_func (str_free);
  g_ptr_array_add (manifest->routes, route);
  return route;
}

QgService *
qg_manifest_add_service (QgManifest *manifest, const char *name)
{
  QgService *service = g_new0 (QgService, 1);

  service->name = qg_str_new (name);
  service->check_path = qg_str_new ("");
  g_hash_table_replace (manifest->services, service->name, service);
  return service;
}

QgWorkspace *
qg_manifest_add_workspace (QgManifest *manifest, const char *name)
{
  QgWorkspace *workspace = g_new0 (QgWorkspace, 1);

  workspace->name = qg_str_new (name);
  workspace->index = manifest->workspaces->len;
  workspace->regions = g_ptr_array_new_with_free_func (str_free);
  g_ptr_array_add (manifest->workspaces, workspace);
  return workspace;
}

void
qg_route_add_split (QgRoute *route, const char *service, guint weight)
{
  QgSplit split = { qg_str_new (service), weight };

  g_array_append_val (route->splits, split);
}

gboolean
qg_route_may_repeat (const QgRoute *route)
{
  return route->repeat == QG_REPEAT_SAFE
         || (route->is_streaming && route->resumable);
}

gboolean
qg_manifest_add_key (QgManifest *manifest, QgWorkspace *workspace,
                     const char *key)
{
  const QgWorkspace *owner = g_hash_table_lookup (manifest->keys, key);

  if (owner != NULL && owner != workspace)
    return FALSE;
  g_hash_table_replace (manifest->keys, g_strdup (key), workspace);
  return TRUE;
}

QgStatus
qg_manifest_finish (QgManifest *manifest, QgErr *err)
{
  g_autoptr (GHashTable) places
      = g_hash_table_new (hash_place, places_are_equal);
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < manifest->routes->len; i++)
    {
      QgRoute *route = g_ptr_array_index (manifest->routes, i);

      if (check_route (manifest, route, err) != QG_OK)
        return QG_E_INVALID;
      if (!g_hash_table_add (places, route))
        return qg_fail (err, QG_E_INVALID,
                        "route %.64s has the same host and prefix as another "
                        "route; change one of them",
                        route->name);
      index_host (manifest, route);
    }
  g_hash_table_iter_init (&iter, manifest->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_sort (value, compare_by_prefix_length);
  return QG_OK;
}

static QgStatus
check_route (const QgManifest *manifest, const QgRoute *route, QgErr *err)
{
  guint64 sum = 0;

  for (guint i = 0; i < route->splits->len; i++)
    {
      const QgSplit *split = &g_array_index (route->splits, QgSplit, i);

      sum += split->weight;
      if (!g_hash_table_contains (manifest->services, split->service))
        return qg_fail (err, QG_E_INVALID,
                        "route %s refers to service %s, which is not in the "
                        "manifest; add the service or correct the name",
                        route->name, split->service);
    }
  if (sum == 0)
    return qg_fail (err, QG_E_INVALID,
                    "the weights of route %s add up to 0; set at least one "
                    "above 0",
                    route->name);
  if (route->timeout <= 0)
    return qg_fail (err, QG_E_INVALID,
                    "route %s has no timeout; set one above 0", route->name);
  return QG_OK;
}

/* The host and prefix of a route; hosts are compared regardless of case. */
static guint
hash_place (gconstpointer route)
{
  const QgRoute *place = route;
  guint hash = g_str_hash (place->prefix);

  for (const char *at = place->host; *at != '\0'; at++)
    hash = hash * 33 + (guint)g_ascii_tolower (*at);
  return hash;
}

static gboolean
places_are_equal (gconstpointer a, gconstpointer b)
{
  const QgRoute *left = a;
  const QgRoute *right = b;

  return strcmp (left->prefix, right->prefix) == 0
         && g_ascii_strcasecmp (left->host, right->host) == 0;
}

static void
index_host (QgManifest *manifest, QgRoute *route)
{
  char *host = g_ascii_strdown (route->host, -1);
  GPtrArray *routes = g_hash_table_lookup (manifest->hosts, host);

  if (routes == NULL)
    {
      routes = g_ptr_array_new ();
      g_hash_table_insert (manifest->hosts, g_strdup (host), routes);
    }
  g_free (host);
  g_ptr_array_add (routes, route);
}

static gint
compare_by_prefix_length (gconstpointer a, gconstpointer b)
{
  const QgRoute *const *left = a;
  const QgRoute *const *right = b;
  gsize left_len = qg_str_len ((*left)->prefix);
  gsize right_len = qg_str_len ((*right)->prefix);

  return left_len > right_len ? -1 : left_len < right_len;
}

const QgRoute *
qg_manifest_find_route (const QgManifest *manifest, const char *host,
                        gsize host_len, const char *path, gsize path_len)
{
  const char *colon = memchr (host, ':', host_len);
  const char *query = memchr (path, '?', path_len);
  gsize name_len = colon != NULL ? (gsize)(colon - host) : host_len;
  char *name = g_ascii_strdown (host, (gssize)name_len);
  const GPtrArray *routes = g_hash_table_lookup (manifest->hosts, name);

  g_free (name);
  if (query != NULL)
    path_len = (gsize)(query - path);
  for (guint i = 0; routes != NULL && i < routes->len; i++)
    {
      const QgRoute *route = g_ptr_array_index (routes, i);
      gsize len = qg_str_len (route->prefix);

      if (len <= path_len && memcmp (route->prefix, path, len) == 0)
        return route;
    }
  return NULL;
}

const QgService *
qg_manifest_choose_service (const QgManifest *manifest, const QgRoute *route,
                            guint32 draw)
{
  guint64 sum = 0;
  guint64 position;

  for (guint i = 0; i < route->splits->len; i++)
    sum += g_array_index (route->splits, QgSplit, i).weight;
  position = (sum * draw) >> 32;
  for (guint i = 0; i < route->splits->len; i++)
    {
      const QgSplit *split = &g_array_index (route->splits, QgSplit, i);

      if (position < split->weight)
        return qg_manifest_find_service (manifest, split->service);
      position -= split->weight;
    }
  return NULL;
}

const QgService *
qg_manifest_find_service (const QgManifest *manifest, const char *name)
{
  return g_hash_table_lookup (manifest->services, name);
}

const QgWorkspace *
qg_manifest_find_workspace (const QgManifest *manifest, const char *key,
                            gsize len)
{
  char *text = g_strndup (key, len);
  const QgWorkspace *workspace = g_hash_table_lookup (manifest->keys, text);

  g_free (text);
  return workspace;
}

static gboolean
list_allows (const GPtrArray *regions, const char *region)
{
  for (guint i = 0; i < regions->len; i++)
    if (strcmp (g_ptr_array_index (regions, i), region) == 0)
      return TRUE;
  return regions->len == 0;
}

gboolean
qg_regions_allow (const GPtrArray *route, const GPtrArray *workspace,
                  const char *region)
{
  return list_allows (route, region)
         && (workspace == NULL || list_allows (workspace, region));
}
