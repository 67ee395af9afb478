#include "libagent.h"

#include "lib/event.h"

#include <libsoup/soup.h>

enum
{
  PROBE_INTERVAL_UP_MS = 1000,
  PROBE_INTERVAL_DOWN_MS = 100,
  PROBE_TIMEOUT_MS = 2000,
};

struct QgAgentProbe
{
  QgAgent *agent;
  SoupSession *session;
  GCancellable *cancel;
  guint timer;
  gboolean up;
  gboolean known; /* TRUE after the first result */
};

typedef struct
{
  QgAgentProbe *probe;
  SoupMessage *msg;
  GCancellable *cancel;
} ProbeRequest;

static gboolean on_timer (gpointer user);
static void on_answer (GObject *source, GAsyncResult *result, gpointer user);
static void update_target_state (QgAgentProbe *probe, gboolean up);

QgAgentProbe *
qg_agent_probe_new (QgAgent *agent)
{
  QgAgentProbe *probe = g_new0 (QgAgentProbe, 1);

  probe->agent = agent;
  probe->session
      = soup_session_new_with_options ("proxy-resolver", NULL, "timeout",
                                       (guint)(PROBE_TIMEOUT_MS / 1000), NULL);
  probe->cancel = g_cancellable_new ();
  probe->timer = g_timeout_add (0, on_timer, probe);
  return probe;
}

void
qg_agent_probe_free (QgAgentProbe *probe)
{
  g_cancellable_cancel (probe->cancel);
  g_object_unref (probe->cancel);
  if (probe->timer != 0)
    g_source_remove (probe->timer);
  g_object_unref (probe->session);
  g_free (probe);
}

/* Uses a new connection, so that a probe detects a target that stopped
 * accepting connections. */
static gboolean
on_timer (gpointer user)
{
  QgAgentProbe *probe = user;
  char *uri = g_strdup_printf ("http://%s" QG_RUN_HEALTH_PATH,
                               probe->agent->config->target);
  ProbeRequest *request = g_new0 (ProbeRequest, 1);

  probe->timer = 0;
  request->probe = probe;
  request->msg = soup_message_new ("GET", uri);
  request->cancel = g_object_ref (probe->cancel);
  g_free (uri);
  soup_message_set_flags (request->msg, SOUP_MESSAGE_NEW_CONNECTION
                                            | SOUP_MESSAGE_NO_REDIRECT);
  soup_session_send_and_read_async (probe->session, request->msg,
                                    G_PRIORITY_DEFAULT, request->cancel,
                                    on_answer, request);
  return G_SOURCE_REMOVE;
}

static void
on_answer (GObject *source, GAsyncResult *result, gpointer user)
{
  ProbeRequest *request = user;
  GBytes *body
      = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);

  if (!g_cancellable_is_cancelled (request->cancel))
    {
      if (body != NULL)
        qg_agent_check_boot_id (
            request->probe->agent,
            soup_message_headers_get_one (
                soup_message_get_response_headers (request->msg), "X-Boot-Id"));
      update_target_state (request->probe, body != NULL);
    }
  g_clear_pointer (&body, g_bytes_unref);
  g_object_unref (request->msg);
  g_object_unref (request->cancel);
  g_free (request);
}

static void
update_target_state (QgAgentProbe *probe, gboolean up)
{
  QgAgent *agent = probe->agent;

  probe->timer = g_timeout_add (
      up ? PROBE_INTERVAL_UP_MS : PROBE_INTERVAL_DOWN_MS, on_timer, probe);
  if (probe->known && probe->up == up)
    return;
  probe->known = TRUE;
  probe->up = up;
  qg_event (up ? QG_EV_TARGET_UP : QG_EV_TARGET_DOWN, "target %s of service %s",
            agent->config->target, agent->config->service);
  qg_sched_set_target_up (agent->sched, qg_clock_now (), 0, up);
  qg_agent_pump (agent);
}
