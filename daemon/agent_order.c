#include "libagent.h"

#include "lib/event.h"
#include "lib/order.h"

#include <json-glib/json-glib.h>
#include <string.h>

enum
{
  ORDER_RETRY_MS = 1000,
  ORDER_TIMEOUT_S = 10
};

struct QgAgentOrders
{
  QgAgent *agent;
  QgOrderGate *gate;
  SoupSession *session;
  GCancellable *cancel;
  guint retry_timer;
  gboolean sending; /* an order is being sent; the next one waits */
};

typedef struct
{
  QgAgentOrders *orders;
  SoupMessage *msg;
  GCancellable *cancel;
  guint64 number;
} SentOrder;

static void send_order (QgAgentOrders *orders, const QgOrder *order);
static SoupMessage *make_message (const QgAgent *agent, const QgOrder *order);
static void on_answer (GObject *source, GAsyncResult *result, gpointer user);
static QgOrderAnswer classify_answer (SoupMessage *msg, guint64 number,
                                      guint64 *known);
static gboolean on_retry (gpointer user);

QgAgentOrders *
qg_agent_orders_new (QgAgent *agent)
{
  QgAgentOrders *orders = g_new0 (QgAgentOrders, 1);

  orders->agent = agent;
  orders->gate = qg_order_gate_new (agent->config->fenced);
  orders->session = soup_session_new_with_options (
      "proxy-resolver", NULL, "timeout", (guint)ORDER_TIMEOUT_S, NULL);
  orders->cancel = g_cancellable_new ();
  return orders;
}

void
qg_agent_orders_free (QgAgentOrders *orders)
{
  g_cancellable_cancel (orders->cancel);
  g_object_unref (orders->cancel);
  if (orders->retry_timer != 0)
    g_source_remove (orders->retry_timer);
  g_object_unref (orders->session);
  qg_order_gate_free (orders->gate);
  g_free (orders);
}

void
qg_agent_orders_sync (QgAgentOrders *orders)
{
  QgAgent *agent = orders->agent;
  const QgBoard *board = agent->board;
  QgOrderVerdict verdict;
  QgOrder order;

  if (agent->config->order_path[0] == '\0' || board->revision == 0
      || orders->sending || orders->retry_timer != 0)
    return;
  order = qg_order_from_doc (board->doc, agent->settings->daemon.dc,
                             agent->config->name);
  verdict = qg_order_check (orders->gate, &order,
                            qg_clock_now () < board->permit_until);
  if (verdict == QG_ORDER_SEND)
    send_order (orders, &order);
  else if (verdict == QG_ORDER_STALE)
    qg_event (QG_EV_ORDER_OLD,
              "order %" G_GUINT64_FORMAT
              " to %s was not sent: the target has a newer order",
              order.number, agent->config->target);
  qg_order_clear (&order);
}

void
qg_agent_orders_target_restarted (QgAgentOrders *orders)
{
  qg_order_target_restarted (orders->gate);
  qg_agent_orders_sync (orders);
}

gboolean
qg_agent_orders_superseded (const QgAgentOrders *orders)
{
  return qg_order_superseded (orders->gate, orders->agent->board->revision);
}

static void
send_order (QgAgentOrders *orders, const QgOrder *order)
{
  SentOrder *sent = g_new0 (SentOrder, 1);

  sent->orders = orders;
  sent->number = order->number;
  sent->msg = make_message (orders->agent, order);
  sent->cancel = g_object_ref (orders->cancel);
  orders->sending = TRUE;
  soup_session_send_and_read_async (orders->session, sent->msg,
                                    G_PRIORITY_DEFAULT, sent->cancel, on_answer,
                                    sent);
}

static SoupMessage *
make_message (const QgAgent *agent, const QgOrder *order)
{
  g_autofree char *uri = g_strdup_printf ("http://%s%s", agent->config->target,
                                          agent->config->order_path);
  g_autofree char *number
      = g_strdup_printf ("%" G_GUINT64_FORMAT, order->number);
  SoupMessage *msg = soup_message_new ("POST", uri);
  JsonBuilder *builder = json_builder_new ();
  JsonNode *root;
  char *text;
  GBytes *body;

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "drain");
  json_builder_add_boolean_value (builder, order->drain);
  json_builder_set_member_name (builder, "version");
  json_builder_add_string_value (builder, order->version);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  text = json_to_string (root, FALSE);
  body = g_bytes_new_take (text, strlen (text));
  soup_message_headers_replace (soup_message_get_request_headers (msg),
                                "X-Fence", number);
  soup_message_set_request_body_from_bytes (msg, "application/json", body);
  g_bytes_unref (body);
  json_node_unref (root);
  g_object_unref (builder);
  return msg;
}

static void
on_answer (GObject *source, GAsyncResult *result, gpointer user)
{
  SentOrder *sent = user;
  QgAgentOrders *orders = sent->orders;
  GBytes *body
      = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);

  if (!g_cancellable_is_cancelled (sent->cancel))
    {
      QgOrderAnswer answer = QG_ORDER_UNANSWERED;
      guint64 known = 0;

      if (body != NULL)
        answer = classify_answer (sent->msg, sent->number, &known);
      if (answer == QG_ORDER_REFUSED)
        qg_event (QG_EV_ORDER_OLD,
                  "%s refused order %" G_GUINT64_FORMAT
                  ": another agent sent a newer order",
                  orders->agent->config->target, sent->number);
      qg_order_handle_answer (orders->gate, sent->number, answer, known);
      orders->sending = FALSE;
      if (answer != QG_ORDER_ACCEPTED)
        orders->retry_timer = g_timeout_add (ORDER_RETRY_MS, on_retry, orders);
      else
        qg_agent_orders_sync (orders);
      qg_agent_update_admission (orders->agent);
    }
  g_clear_pointer (&body, g_bytes_unref);
  g_object_unref (sent->msg);
  g_object_unref (sent->cancel);
  g_free (sent);
}

/* A target that refuses an order may return the highest order number that it
 * knows in the header X-Fence; without that header, @a number + 1 is assumed.
 */
static QgOrderAnswer
classify_answer (SoupMessage *msg, guint64 number, guint64 *known)
{
  const char *highest = soup_message_headers_get_one (
      soup_message_get_response_headers (msg), "X-Fence");
  guint status = soup_message_get_status (msg);

  if (SOUP_STATUS_IS_SUCCESSFUL (status))
    return QG_ORDER_ACCEPTED;
  if (status != SOUP_STATUS_CONFLICT)
    return QG_ORDER_UNANSWERED;
  if (highest == NULL || !qg_ini_read_uint (highest, known) || *known <= number)
    *known = number + 1;
  return QG_ORDER_REFUSED;
}

static gboolean
on_retry (gpointer user)
{
  QgAgentOrders *orders = user;

  orders->retry_timer = 0;
  qg_agent_orders_sync (orders);
  return G_SOURCE_REMOVE;
}
