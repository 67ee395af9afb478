#include "node.h"

#include "clock.h"
#include "agent.h"
#include "control.h"
#include "entry.h"
#include "http.h"
#include "httpguard.h"
#include "lib/event.h"
#include "metrics.h"
#include "platform/platform.h"
#include "relay.h"

#include <string.h>
#include <unistd.h>

enum
{
  ADMIN_BODY_MAX_BYTES = 1024, /* requests for metrics and health have none */
  RANDOM_KEY_BYTES = 32,
  FLEET_KEY_MIN_BYTES = 16,
  DRAIN_POLL_MS = 20,
  /* Time to close connections on a busy machine. */
  GRACE_MARGIN_MS = 300,
  /* Drain time of a process that has neither the entry role nor the relay
   * role. */
  AGENT_DRAIN_MS = 600000,
};

struct QgNode
{
  QgSettings *settings;
  QgControl *control;
  QgEntry *entry;
  QgRelay *relay;
  PlatformApi *api;
  GPtrArray *agents; /* of QgAgent */
  SoupServer *admin;
  guint drain_timer;
  gint64 drain_deadline;
  void (*drained) (gpointer user);
  gpointer drained_user;
};

static GBytes *read_fleet_key (const QgSettings *settings, QgErr *err);
static GBytes *random_key (QgErr *err);
static QgStatus start_roles (QgNode *node, GBytes *key, QgErr *err);
static QgStatus start_admin (QgNode *node, QgErr *err);
static void on_metrics (SoupServer *server, SoupServerMessage *msg,
                        const char *path, GHashTable *query, gpointer user);
static void on_health (SoupServer *server, SoupServerMessage *msg,
                       const char *path, GHashTable *query, gpointer user);
static guint count_open_work (const QgNode *node);
static gint64 relay_drain_ms (const QgSettings *settings);
static gboolean on_drain (gpointer user);
static void agent_free (gpointer data);

QgNode *
qg_node_new (QgSettings *settings, QgErr *err)
{
  QgNode *node = g_new0 (QgNode, 1);
  GBytes *key = read_fleet_key (settings, err);

  node->settings = qg_settings_ref (settings);
  qg_httpguard_init (qg_bytebudget_memory (settings->daemon.memory_mb,
                                           qg_bytebudget_machine_memory ()));
  node->agents = g_ptr_array_new_with_free_func (agent_free);
  if (key == NULL || start_roles (node, key, err) != QG_OK
      || start_admin (node, err) != QG_OK)
    {
      qg_node_free (node);
      node = NULL;
    }
  if (key != NULL)
    g_bytes_unref (key);
  return node;
}

void
qg_node_drain (QgNode *node, void (*done) (gpointer user), gpointer user)
{
  gint64 drain_ms;

  if (node->drain_timer != 0)
    return;
  if (node->entry != NULL)
    qg_entry_drain (node->entry);
  if (node->relay != NULL)
    qg_relay_drain (node->relay);
  for (guint i = 0; i < node->agents->len && node->entry == NULL; i++)
    qg_agent_drain (g_ptr_array_index (node->agents, i));
  node->drained = done;
  node->drained_user = user;
  drain_ms = node->entry != NULL   ? (gint64)node->settings->entry.drain_ms
             : node->relay != NULL ? relay_drain_ms (node->settings)
                                   : AGENT_DRAIN_MS;
  node->drain_deadline = qg_clock_now () + drain_ms * QG_MSEC;
  node->drain_timer = g_timeout_add (DRAIN_POLL_MS, on_drain, node);
}

/* The relay drains in less than its grace period (relay.grace_s), so that the
 * process can close its connections before it is killed. */
static gint64
relay_drain_ms (const QgSettings *settings)
{
  gint64 grace_ms = (gint64)(settings->relay.grace_s * 1000);

  return MAX (grace_ms - GRACE_MARGIN_MS, 0);
}

void
qg_node_reload (QgNode *node, QgSettings *settings)
{
  if (node->control != NULL)
    qg_control_reload (node->control, settings);
}

void
qg_node_free (QgNode *node)
{
  if (node->drain_timer != 0)
    g_source_remove (node->drain_timer);
  g_clear_object (&node->admin);
  g_clear_pointer (&node->entry, qg_entry_free);
  g_clear_pointer (&node->relay, qg_relay_free);
  g_ptr_array_unref (node->agents);
  /* Control answers the changes in progress through the interface, so that
   * closes after it. */
  if (node->api != NULL)
    platform_api_stop (node->api);
  if (node->control != NULL)
    qg_control_close (node->control);
  g_clear_pointer (&node->api, platform_api_free);
  g_clear_pointer (&node->control, qg_control_free);
  qg_settings_unref (node->settings);
  g_free (node);
}

static GBytes *
read_fleet_key (const QgSettings *settings, QgErr *err)
{
  const char *file = settings->daemon.fleet_key_file;
  GError *error = NULL;
  char *text;
  gsize len;

  /* A process that holds all roles connects only to itself, so a random key
   * will do. */
  if (file[0] == '\0')
    return random_key (err);
  if (!g_file_get_contents (file, &text, &len, &error))
    {
      qg_fail (err, QG_E_IO, "cannot read the fleet key: %s", error->message);
      g_error_free (error);
      return NULL;
    }
  g_strchomp (text);
  len = strlen (text);
  if (len < FLEET_KEY_MIN_BYTES)
    {
      qg_fail (err, QG_E_INVALID,
               "%s: the fleet key has %" G_GSIZE_FORMAT
               " bytes, at least %d are needed",
               file, len, FLEET_KEY_MIN_BYTES);
      g_free (text);
      return NULL;
    }
  return g_bytes_new_take (text, len);
}

static GBytes *
random_key (QgErr *err)
{
  guint8 key[RANDOM_KEY_BYTES];

  if (getentropy (key, sizeof key) != 0)
    {
      qg_fail (err, QG_E_IO, "cannot get random bytes from the system");
      return NULL;
    }
  return g_bytes_new (key, sizeof key);
}

static QgStatus
start_roles (QgNode *node, GBytes *key, QgErr *err)
{
  QgSettings *settings = node->settings;

  if ((settings->daemon.roles & QG_ROLE_CONTROL) != 0)
    {
      node->control = qg_control_new (settings, key, err);
      if (node->control == NULL)
        return err->status;
      if (settings->control.public_listen[0] != '\0')
        {
          node->api = platform_api_new (node->control,
                                        settings->control.public_listen, err);
          if (node->api == NULL)
            return err->status;
        }
    }
  if ((settings->daemon.roles & QG_ROLE_ENTRY) != 0)
    {
      node->entry = qg_entry_new (settings, key, err);
      if (node->entry == NULL)
        return err->status;
    }
  if ((settings->daemon.roles & QG_ROLE_RELAY) != 0)
    {
      node->relay = qg_relay_new (settings, key, err);
      if (node->relay == NULL)
        return err->status;
    }
  if ((settings->daemon.roles & QG_ROLE_AGENT) != 0)
    for (guint i = 0; i < settings->n_agents; i++)
      g_ptr_array_add (node->agents, qg_agent_new (settings, i, key));
  return QG_OK;
}

static QgStatus
start_admin (QgNode *node, QgErr *err)
{
  if (node->settings->daemon.admin_listen[0] == '\0')
    return QG_OK;
  node->admin = soup_server_new ("server-header", "quetzalgate", NULL);
  soup_server_add_handler (node->admin, "/metrics", on_metrics, node, NULL);
  soup_server_add_handler (node->admin, "/healthz", on_health, node, NULL);
  return qg_http_listen (node->admin, node->settings->daemon.admin_listen,
                         ADMIN_BODY_MAX_BYTES, err);
}

static void
on_metrics (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer user)
{
  QgNode *node = user;
  QgMetrics metrics;
  char *text;

  qg_metrics_init (&metrics);
  qg_metrics_add_process (&metrics);
  qg_metrics_add_events (&metrics);
  if (node->control != NULL)
    qg_control_add_metrics (node->control, &metrics);
  if (node->entry != NULL)
    qg_entry_add_metrics (node->entry, &metrics);
  if (node->relay != NULL)
    qg_relay_add_metrics (node->relay, &metrics);
  for (guint i = 0; i < node->agents->len; i++)
    qg_agent_add_metrics (g_ptr_array_index (node->agents, i), &metrics);
  text = qg_metrics_finish (&metrics);
  soup_server_message_set_status (msg, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (msg, "text/plain; version=0.0.4",
                                    SOUP_MEMORY_TAKE, text, strlen (text));
}

static void
on_health (SoupServer *server, SoupServerMessage *msg, const char *path,
           GHashTable *query, gpointer user)
{
  QgNode *node = user;
  gboolean ready
      = node->drain_timer == 0
        && (node->control == NULL || qg_control_is_ready (node->control))
        && (node->entry == NULL || qg_entry_is_ready (node->entry))
        && (node->relay == NULL || qg_relay_is_ready (node->relay));

  qg_http_send_json (msg,
                     ready ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE,
                     ready ? "{\"ready\":true}" : "{\"ready\":false}");
}

static guint
count_open_work (const QgNode *node)
{
  guint sum = 0;

  if (node->entry != NULL)
    sum += qg_entry_open_calls (node->entry);
  if (node->relay != NULL)
    sum += qg_relay_open_work (node->relay);
  for (guint i = 0; i < node->agents->len; i++)
    sum += qg_agent_pending_work (g_ptr_array_index (node->agents, i));
  return sum;
}

static gboolean
on_drain (gpointer user)
{
  QgNode *node = user;

  if (count_open_work (node) > 0 && qg_clock_now () < node->drain_deadline)
    return G_SOURCE_CONTINUE;
  node->drain_timer = 0;
  node->drained (node->drained_user);
  return G_SOURCE_REMOVE;
}

static void
agent_free (gpointer data)
{
  qg_agent_free (data);
}
