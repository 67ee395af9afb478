#include "servedby.h"

#include <string.h>

typedef struct
{
  guint services; /* hash of their names */
  QgTime changed_at;
  gboolean has_changed;
} ServedBy;

struct _QgServedBy
{
  GHashTable *routes; /* host and prefix to ServedBy; NULL before the first
                         manifest */
};

static GHashTable *table_new (void);
static char *route_key (const QgRoute *route);
static guint hash_services (const QgRoute *route);

QgServedBy *
qg_servedby_new (void)
{
  return g_new0 (QgServedBy, 1);
}

void
qg_servedby_free (QgServedBy *servedby)
{
  g_clear_pointer (&servedby->routes, g_hash_table_unref);
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
                    QgTime now)
{
  GHashTable *before = servedby->routes;
  gboolean any = FALSE;

  servedby->routes = table_new ();
  for (guint i = 0; i < manifest->routes->len; i++)
    {
      const QgRoute *route = g_ptr_array_index (manifest->routes, i);
      ServedBy *now_served;
      const ServedBy *was_served = NULL;
      char *key;

      if (!route->resumable)
        continue;
      key = route_key (route);
      now_served = g_new0 (ServedBy, 1);
      if (before != NULL)
        was_served = g_hash_table_lookup (before, key);
      if (was_served != NULL)
        *now_served = *was_served;
      now_served->services = hash_services (route);
      if (before != NULL
          && (was_served == NULL
              || was_served->services != now_served->services))
        {
          now_served->has_changed = any = TRUE;
          now_served->changed_at = now;
        }
      g_hash_table_insert (servedby->routes, key, now_served);
    }
  if (before != NULL)
    g_hash_table_unref (before);
  return any;
}

gboolean
qg_servedby_has_changed (const QgServedBy *servedby, const QgRoute *route,
                         QgTime now)
{
  g_autofree char *key = route_key (route);
  const ServedBy *served = servedby->routes != NULL
                               ? g_hash_table_lookup (servedby->routes, key)
                               : NULL;

  return served != NULL && served->has_changed
         && now - served->changed_at <= QG_SERVEDBY_HOLD;
}
