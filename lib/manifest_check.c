#include "manifest_check.h"

#include <string.h>

enum
{
  MESSAGE_BYTES = 512
};

/** Where findings go. */
typedef struct
{
  QgManifestFinding found;
  gpointer user;
} Report;

static void add (const Report *report, const char *format, ...)
    G_GNUC_PRINTF (2, 3);
static void check_route (const QgManifest *manifest, const QgRoute *route,
                         GHashTable *used, const Report *report);
static void check_place (const QgRoute *route, const Report *report);
static void check_services (const QgManifest *manifest, GHashTable *used,
                            const Report *report);
static void check_workspaces (const QgManifest *manifest, const Report *report);
static void check_regions (const QgManifest *manifest, const Report *report);
static void check_limits (const QgLimits *limits, const Report *report);
static gboolean lists_meet (const GPtrArray *a, const GPtrArray *b);
static char *region_text (const GPtrArray *regions);
static char *route_text (const QgRoute *route);
static char *service_text (const QgService *service);
static GHashTable *route_table (const QgManifest *manifest);
static GHashTable *workspace_table (const QgManifest *manifest);
static void compare_tables (GHashTable *old, GHashTable *new_table,
                            const char *kind, const Report *report);
static void compare_limits (const QgLimits *old, const QgLimits *limits,
                            const Report *report);

static void
add (const Report *report, const char *format, ...)
{
  char message[MESSAGE_BYTES];
  va_list args;

  va_start (args, format);
  g_vsnprintf (message, sizeof message, format, args);
  va_end (args);
  report->found (report->user, message);
}

void
qg_manifest_check (const QgManifest *manifest, QgManifestFinding found,
                   gpointer user)
{
  Report report = { found, user };
  g_autoptr (GHashTable) used = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < manifest->routes->len; i++)
    check_route (manifest, g_ptr_array_index (manifest->routes, i), used,
                 &report);
  check_services (manifest, used, &report);
  check_workspaces (manifest, &report);
  check_regions (manifest, &report);
  check_limits (&manifest->limits, &report);
}

/* @used: names of the services that get requests. */
static void
check_route (const QgManifest *manifest, const QgRoute *route, GHashTable *used,
             const Report *report)
{
  check_place (route, report);
  for (guint i = 0; i < route->splits->len; i++)
    {
      const QgSplit *split = &g_array_index (route->splits, QgSplit, i);

      if (split->weight > 0)
        g_hash_table_add (used, split->service);
      else
        add (report,
             "route %.64s: service %.64s has the weight 0 and gets "
             "nothing",
             route->name, split->service);
    }
  if (route->aim > route->timeout)
    add (report,
         "route %.64s: its target time of %" G_GINT64_FORMAT
         " ms is longer than its timeout of %" G_GINT64_FORMAT " ms",
         route->name, route->aim / QG_MSEC, route->timeout / QG_MSEC);
  if (route->resumable && !qg_route_may_repeat (route))
    add (report,
         "route %.64s: only streams can be resumed; its type lets a request "
         "run at most once all the same",
         route->name);
  else if (route->resumable && !route->is_streaming)
    add (report, "route %.64s: only streams can be resumed", route->name);
  if (route->max_targets > 1 && route->repeat == QG_REPEAT_NEVER
      && !route->is_streaming)
    add (report,
         "route %.64s: its requests run at most once, so that they reach a "
         "second of their %u targets only if the first refuses them",
         route->name, route->max_targets);
  if (route->anonymous && !manifest->requires_key)
    add (report, "route %.64s: it is anonymous, but no route needs a key",
         route->name);
}

static void
check_place (const QgRoute *route, const Report *report)
{
  gsize len = qg_str_len (route->prefix);

  if (route->host[0] == '\0')
    add (report, "route %.64s: without a host, no request matches",
         route->name);
  if (strchr (route->host, ':') != NULL)
    add (report,
         "route %.64s: a host with a port matches no request, as ports "
         "are ignored",
         route->name);
  if (len == 0 || route->prefix[0] != '/')
    add (report,
         "route %.64s: no path begins with its prefix \"%.64s\"; begin "
         "it with a slash",
         route->name, route->prefix);
  else if (route->prefix[len - 1] != '/')
    add (report,
         "route %.64s: its prefix \"%.64s\" also matches longer names; "
         "end it with a slash",
         route->name, route->prefix);
  if (memchr (route->prefix, '?', len) != NULL)
    add (report, "route %.64s: a prefix with a query matches no request",
         route->name);
}

static void
check_services (const QgManifest *manifest, GHashTable *used,
                const Report *report)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, manifest->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const QgService *service = value;

      if (!g_hash_table_contains (used, service->name))
        add (report, "service %.64s: no route sends to it", service->name);
      if (service->cold_period > 0 && service->cold_rate <= 0)
        add (report,
             "service %.64s: its targets start cold, but no rate limits "
             "them",
             service->name);
      if (service->cold_rate > 0 && service->cold_period <= 0)
        add (report,
             "service %.64s: it has a rate for cold targets, but they "
             "are never cold",
             service->name);
      if (service->is_model
          && (service->model.slots == 0 || service->model.kv_tokens == 0))
        add (report, "service %.64s: a model without slots or memory",
             service->name);
    }
}

static void
check_workspaces (const QgManifest *manifest, const Report *report)
{
  g_autoptr (GHashTable) with_key = g_hash_table_new (NULL, NULL);
  g_autoptr (GHashTable) names = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer workspace;

  g_hash_table_iter_init (&iter, manifest->keys);
  while (g_hash_table_iter_next (&iter, NULL, &workspace))
    g_hash_table_add (with_key, workspace);
  for (guint i = 0; i < manifest->workspaces->len; i++)
    {
      const QgWorkspace *row = g_ptr_array_index (manifest->workspaces, i);

      if (!g_hash_table_contains (with_key, row))
        add (report, "workspace %.64s: without a key, nobody can use it",
             row->name);
      if (!g_hash_table_add (names, row->name))
        add (report, "workspace %.64s: another one has the same name",
             row->name);
    }
  if (manifest->requires_key && manifest->workspaces->len == 0)
    add (report, "no workspace has a key, so that only anonymous routes serve");
}

static gboolean
lists_meet (const GPtrArray *a, const GPtrArray *b)
{
  if (a->len == 0 || b->len == 0)
    return TRUE;
  for (guint i = 0; i < a->len; i++)
    for (guint n = 0; n < b->len; n++)
      if (strcmp (g_ptr_array_index (a, i), g_ptr_array_index (b, n)) == 0)
        return TRUE;
  return FALSE;
}

static char *
region_text (const GPtrArray *regions)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < regions->len; i++)
    g_string_append_printf (text, "%s%s", i > 0 ? "," : "",
                            (const char *)g_ptr_array_index (regions, i));
  return g_string_free (text, FALSE);
}

/* Each list of regions that routes have is compared once. */
static void
check_regions (const QgManifest *manifest, const Report *report)
{
  g_autoptr (GHashTable) lists
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < manifest->routes->len; i++)
    {
      const QgRoute *route = g_ptr_array_index (manifest->routes, i);
      char *text = region_text (route->regions);

      if (g_hash_table_contains (lists, text))
        g_free (text);
      else
        g_hash_table_insert (lists, text, (gpointer)route);
    }
  for (guint i = 0; i < manifest->workspaces->len; i++)
    {
      const QgWorkspace *row = g_ptr_array_index (manifest->workspaces, i);

      g_hash_table_iter_init (&iter, lists);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        if (!lists_meet (row->regions, ((const QgRoute *)value)->regions))
          add (report,
               "workspace %.64s: no target may serve it on route %.64s, "
               "or others with its regions",
               row->name, ((const QgRoute *)value)->name);
    }
}

static void
check_limits (const QgLimits *limits, const Report *report)
{
  if (limits->header_bytes == 0)
    add (report, "limits: no request has a head of 0 bytes");
  if (limits->header_time <= 0)
    add (report, "limits: no head arrives within 0 ms");
  if (limits->idle_time <= 0)
    add (report, "limits: connections that are never idle are not reused");
}

/* All that is compared of a route. */
static char *
route_text (const QgRoute *route)
{
  g_autofree char *regions = region_text (route->regions);
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < route->splits->len; i++)
    {
      const QgSplit *split = &g_array_index (route->splits, QgSplit, i);

      g_string_append_printf (text, "%s=%u ", split->service, split->weight);
    }
  g_string_append_printf (
      text,
      "repeat=%d streaming=%d resumable=%d anonymous=%d priority=%u "
      "max_targets=%u timeout_ms=%" G_GINT64_FORMAT
      " target_ms=%" G_GINT64_FORMAT " regions=%s",
      route->repeat, route->is_streaming, route->resumable, route->anonymous,
      route->priority, route->max_targets, route->timeout / QG_MSEC,
      route->aim / QG_MSEC, regions);
  return g_string_free (text, FALSE);
}

static char *
service_text (const QgService *service)
{
  return g_strdup_printf (
      "check_path=%s cold_ms=%" G_GINT64_FORMAT
      " cold_rate=%g model=%d slots=%u kv_tokens=%" G_GUINT64_FORMAT,
      service->check_path, service->cold_period / QG_MSEC, service->cold_rate,
      service->is_model, service->model.slots, service->model.kv_tokens);
}

static GHashTable *
route_table (const QgManifest *manifest)
{
  GHashTable *table
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);

  for (guint i = 0; i < manifest->routes->len; i++)
    {
      const QgRoute *route = g_ptr_array_index (manifest->routes, i);

      g_hash_table_insert (table,
                           g_strconcat (route->host, route->prefix, NULL),
                           route_text (route));
    }
  return table;
}

/* Keys are secrets, so only their number is reported. */
static GHashTable *
workspace_table (const QgManifest *manifest)
{
  GHashTable *table
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_autoptr (GHashTable) keys
      = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  GHashTableIter iter;
  gpointer key;
  gpointer workspace;

  g_hash_table_iter_init (&iter, manifest->keys);
  while (g_hash_table_iter_next (&iter, &key, &workspace))
    {
      guint64 *sum = g_hash_table_lookup (keys, workspace);

      if (sum == NULL)
        g_hash_table_insert (keys, workspace, sum = g_new0 (guint64, 1));
      *sum += g_str_hash (key) + (G_GUINT64_CONSTANT (1) << 40);
    }
  for (guint i = 0; i < manifest->workspaces->len; i++)
    {
      const QgWorkspace *row = g_ptr_array_index (manifest->workspaces, i);
      const guint64 *sum = g_hash_table_lookup (keys, row);
      g_autofree char *regions = region_text (row->regions);

      g_hash_table_insert (
          table, g_strdup (row->name),
          g_strdup_printf ("keys=%u/%08x priority=%d/%u regions=%s",
                           sum != NULL ? (guint)(*sum >> 40) : 0,
                           sum != NULL ? (guint)(*sum & G_MAXUINT32) : 0,
                           row->has_priority, row->priority, regions));
    }
  return table;
}

static void
compare_tables (GHashTable *old, GHashTable *new_table, const char *kind,
                const Report *report)
{
  GHashTableIter iter;
  gpointer name;
  gpointer text;

  g_hash_table_iter_init (&iter, old);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!g_hash_table_contains (new_table, name))
      add (report, "%s %.128s: removed", kind, (const char *)name);
  g_hash_table_iter_init (&iter, new_table);
  while (g_hash_table_iter_next (&iter, &name, &text))
    {
      const char *before = g_hash_table_lookup (old, name);

      if (before == NULL)
        add (report, "%s %.128s: added", kind, (const char *)name);
      else if (strcmp (before, text) != 0)
        add (report, "%s %.128s: changed from %.128s to %.128s", kind,
             (const char *)name, before, (const char *)text);
    }
}

static void
compare_limits (const QgLimits *old, const QgLimits *limits,
                const Report *report)
{
  if (old->header_bytes != limits->header_bytes
      || old->body_bytes != limits->body_bytes
      || old->header_time != limits->header_time
      || old->idle_time != limits->idle_time
      || old->units_per_s != limits->units_per_s)
    add (report,
         "limits: changed from %" G_GSIZE_FORMAT "/%" G_GSIZE_FORMAT
         " bytes, %" G_GINT64_FORMAT "/%" G_GINT64_FORMAT
         " ms, %g units/s to %" G_GSIZE_FORMAT "/%" G_GSIZE_FORMAT
         " bytes, %" G_GINT64_FORMAT "/%" G_GINT64_FORMAT " ms, %g units/s",
         old->header_bytes, old->body_bytes, old->header_time / QG_MSEC,
         old->idle_time / QG_MSEC, old->units_per_s, limits->header_bytes,
         limits->body_bytes, limits->header_time / QG_MSEC,
         limits->idle_time / QG_MSEC, limits->units_per_s);
}

static GHashTable *
service_table (const QgManifest *manifest)
{
  GHashTable *table
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTableIter iter;
  gpointer service;

  g_hash_table_iter_init (&iter, manifest->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    g_hash_table_insert (table, g_strdup (((QgService *)service)->name),
                         service_text (service));
  return table;
}

void
qg_manifest_compare (const QgManifest *old, const QgManifest *manifest,
                     QgManifestFinding found, gpointer user)
{
  static const struct
  {
    const char *kind;
    GHashTable *(*table) (const QgManifest *manifest);
  } parts[] = { { "route", route_table },
                { "service", service_table },
                { "workspace", workspace_table } };
  Report report = { found, user };

  if (manifest->version <= old->version)
    add (&report,
         "version %" G_GUINT64_FORMAT " is not above %" G_GUINT64_FORMAT
         ", so that it would be acknowledged without effect",
         manifest->version, old->version);
  for (guint i = 0; i < G_N_ELEMENTS (parts); i++)
    {
      g_autoptr (GHashTable) before = parts[i].table (old);
      g_autoptr (GHashTable) after = parts[i].table (manifest);

      compare_tables (before, after, parts[i].kind, &report);
    }
  compare_limits (&old->limits, &manifest->limits, &report);
}
