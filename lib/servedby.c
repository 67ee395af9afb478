#include "servedby.h"

#include <string.h>

enum
{
  /** Removed routes whose heirs are looked up; a look-up compares the paths of
   * a host one by one. */
  HEIRS_MAX = 64
};

typedef struct
{
  guint services; /* hash of their names */
  QgTime changed_at;
  gboolean has_changed;
} ServedBy;

struct _QgServedBy
{
  GHashTable *routes; /* host and prefix to ServedBy */
  guint64 version;    /* of the last manifest; 0: none */
};

static GHashTable *table_new (void);
static char *route_key (const QgRoute *route);
static guint hash_services (const QgRoute *route);
static gboolean mark_changed (ServedBy *served, QgTime at);
static gboolean mark_heirs (QgServedBy *servedby, GHashTable *before,
                            const QgManifest *manifest, QgTime now);
static ServedBy *find_heir (QgServedBy *servedby, const QgManifest *manifest,
                            const char *key);

QgServedBy *
qg_servedby_new (void)
{
  QgServedBy *servedby = g_new0 (QgServedBy, 1);

  servedby->routes = table_new ();
  return servedby;
}

void
qg_servedby_free (QgServedBy *servedby)
{
  g_hash_table_unref (servedby->routes);
  g_free (servedby);
}

static GHashTable *
table_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static char *
route_key (const QgRoute *route)
{
  return g_strconcat (route->host, " ", route->prefix, NULL);
}

/* The order of the services does not matter, nor do their weights. */
static guint
hash_services (const QgRoute *route)
{
  guint hash = 0;

  for (guint i = 0; i < route->splits->len; i++)
    hash += g_str_hash (g_array_index (route->splits, QgSplit, i).service);
  return hash;
}

gboolean
qg_servedby_update (QgServedBy *servedby, const QgManifest *manifest,
                    guint64 previous, QgTime accepted_at, QgTime now)
{
  GHashTable *before = servedby->routes;
  gboolean is_first = servedby->version == 0;
  gboolean has_missed
      = previous != servedby->version && now - accepted_at <= QG_SERVEDBY_HOLD;
  gboolean any = FALSE;

  if (manifest->version == servedby->version)
    return FALSE;
  servedby->version = manifest->version;
  servedby->routes = table_new ();
  for (guint i = 0; i < manifest->routes->len; i++)
    {
      const QgRoute *route = g_ptr_array_index (manifest->routes, i);
      ServedBy *now_served;
      const ServedBy *was_served;
      char *key;

      if (!route->resumable)
        continue;
      key = route_key (route);
      now_served = g_new0 (ServedBy, 1);
      was_served = g_hash_table_lookup (before, key);
      if (was_served != NULL)
        *now_served = *was_served;
      now_served->services = hash_services (route);
      if (!is_first
          && (was_served == NULL
              || was_served->services != now_served->services))
        any = mark_changed (now_served, now);
      else if (has_missed)
        any = mark_changed (now_served, accepted_at);
      g_hash_table_insert (servedby->routes, key, now_served);
    }
  any = mark_heirs (servedby, before, manifest, now) || any;
  g_hash_table_unref (before);
  return any;
}

/* The paths of a route that was removed belong to the one with the next shorter
 * prefix, if there is one. Where many were removed, each route may be one. */
static gboolean
mark_heirs (QgServedBy *servedby, GHashTable *before,
            const QgManifest *manifest, QgTime now)
{
  GHashTableIter iter;
  gpointer key;
  gpointer was_served;
  gpointer served;
  gboolean any = FALSE;
  guint n = 0;

  g_hash_table_iter_init (&iter, before);
  while (n < HEIRS_MAX && g_hash_table_iter_next (&iter, &key, &was_served))
    {
      ServedBy *heir;

      if (g_hash_table_contains (servedby->routes, key))
        continue;
      n++;
      heir = find_heir (servedby, manifest, key);
      if (heir != NULL
          && heir->services != ((const ServedBy *)was_served)->services)
        any = mark_changed (heir, now);
    }
  if (n < HEIRS_MAX)
    return any;
  g_hash_table_iter_init (&iter, servedby->routes);
  while (g_hash_table_iter_next (&iter, NULL, &served))
    any = mark_changed (served, now);
  return any;
}

/* @key: host and prefix of a removed route. */
static ServedBy *
find_heir (QgServedBy *servedby, const QgManifest *manifest, const char *key)
{
  gsize host_len = strcspn (key, " ");
  const char *prefix = key + host_len + 1;
  const QgRoute *route = qg_manifest_find_route (manifest, key, host_len,
                                                 prefix, strlen (prefix));
  g_autofree char *heir = route != NULL ? route_key (route) : NULL;

  return heir != NULL ? g_hash_table_lookup (servedby->routes, heir) : NULL;
}

static gboolean
mark_changed (ServedBy *served, QgTime at)
{
  served->has_changed = TRUE;
  served->changed_at = MAX (served->changed_at, at);
  return TRUE;
}

gboolean
qg_servedby_has_changed (const QgServedBy *servedby, const QgRoute *route,
                         QgTime now)
{
  g_autofree char *key = route_key (route);
  const ServedBy *served = g_hash_table_lookup (servedby->routes, key);

  return served != NULL && served->has_changed
         && now - served->changed_at <= QG_SERVEDBY_HOLD;
}
