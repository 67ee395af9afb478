#include "cli.h"

#include <libsoup/soup.h>
#include <string.h>

#define ATTEMPT_TIMEOUT_S 5 /* timeout of a call to one member */
#define RETRY_PAUSE       (200 * QG_MSEC)

struct QgClient
{
  SoupSession *session;
  char **addresses;
  guint next; /* index of the address to call next */
  char *authorization;
  QgTime timeout;
};

/** Result of a call to one member. */
typedef enum
{
  CALL_RESULT_FINAL,
  CALL_RESULT_NO_EFFECT, /* the call had no effect */
  CALL_RESULT_UNKNOWN    /* the call may have taken effect */
} CallResult;

static CallResult call_member (QgClient *client, const char *method,
                               const char *path, const char *body,
                               QgCliAnswer *answer, QgErr *err);
static SoupMessage *make_message (QgClient *client, const char *method,
                                  const char *path, const char *body);
static CallResult classify_answer (QgCliAnswer *answer, QgErr *err);
static QgStatus answer_status (const QgCliAnswer *answer);
static void read_answer (QgCliAnswer *answer, SoupMessage *msg, GBytes *body);
static gboolean may_have_been_sent (const GError *error);

QgClient *
qg_client_new (const char *addresses, const char *key, QgTime timeout)
{
  QgClient *client = g_new0 (QgClient, 1);

  client->session = soup_session_new_with_options (
      "timeout", (guint)ATTEMPT_TIMEOUT_S, "user-agent", "quetzalgate", NULL);
  soup_session_set_proxy_resolver (client->session, NULL);
  client->addresses = qg_ini_split (addresses);
  client->authorization = g_strconcat ("Bearer ", key, NULL);
  client->timeout = timeout;
  return client;
}

void
qg_client_free (QgClient *client)
{
  if (client == NULL)
    return;
  g_object_unref (client->session);
  g_strfreev (client->addresses);
  g_free (client->authorization);
  g_free (client);
}

QgStatus
qg_client_call (QgClient *client, const char *method, const char *path,
                const char *body, QgCliAnswer *answer, QgErr *err)
{
  QgTime deadline = g_get_monotonic_time () + client->timeout;
  guint n = g_strv_length (client->addresses);
  gboolean unknown = FALSE;
  guint n_calls = 0;

  memset (answer, 0, sizeof *answer);
  qg_err_clear (err);
  do
    {
      CallResult result = call_member (client, method, path, body, answer, err);

      if (result == CALL_RESULT_FINAL)
        return err->status;
      unknown = unknown || (result == CALL_RESULT_UNKNOWN && body != NULL);
      qg_cli_answer_clear (answer);
      client->next = (client->next + 1) % n;
      if (++n_calls % n == 0)
        g_usleep (RETRY_PAUSE);
    }
  while (g_get_monotonic_time () < deadline);
  if (unknown)
    {
      char *last = g_strdup (err->message);

      qg_fail (err, QG_E_UNKNOWN,
               "no answer in time; the change may be in force: %s", last);
      g_free (last);
    }
  return err->status;
}

void
qg_cli_answer_clear (QgCliAnswer *answer)
{
  g_clear_pointer (&answer->text, g_free);
  g_clear_pointer (&answer->json, json_node_unref);
}

const char *
qg_json_member_string (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_string (node) == NULL)
    return "";
  return json_node_get_string (node);
}

guint64
qg_json_member_number (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node))
    return 0;
  return (guint64)json_node_get_int (node);
}

gboolean
qg_json_member_is_true (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);

  return node != NULL && JSON_NODE_HOLDS_VALUE (node)
         && json_node_get_boolean (node);
}

JsonArray *
qg_json_member_array (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    return NULL;
  return json_node_get_array (node);
}

static CallResult
call_member (QgClient *client, const char *method, const char *path,
             const char *body, QgCliAnswer *answer, QgErr *err)
{
  const char *address = client->addresses[client->next];
  SoupMessage *msg = make_message (client, method, path, body);
  GError *error = NULL;
  GBytes *bytes;
  CallResult result;

  if (msg == NULL)
    {
      qg_fail (err, QG_E_INVALID, "\"%s\" is not an address; expected ip:port",
               address);
      return CALL_RESULT_FINAL;
    }
  bytes = soup_session_send_and_read (client->session, msg, NULL, &error);
  if (bytes == NULL)
    {
      qg_fail (err, QG_E_UNAVAILABLE, "%s: %s", address, error->message);
      result = may_have_been_sent (error) ? CALL_RESULT_UNKNOWN
                                          : CALL_RESULT_NO_EFFECT;
      g_error_free (error);
      g_object_unref (msg);
      return result;
    }
  read_answer (answer, msg, bytes);
  g_bytes_unref (bytes);
  g_object_unref (msg);
  return classify_answer (answer, err);
}

static SoupMessage *
make_message (QgClient *client, const char *method, const char *path,
              const char *body)
{
  g_autofree char *uri
      = g_strdup_printf ("http://%s%s", client->addresses[client->next], path);
  SoupMessage *msg = soup_message_new (method, uri);

  if (msg == NULL)
    return NULL;
  soup_message_headers_replace (soup_message_get_request_headers (msg),
                                "Authorization", client->authorization);
  if (body != NULL)
    {
      GBytes *bytes = g_bytes_new (body, strlen (body));

      soup_message_set_request_body_from_bytes (msg, "application/json", bytes);
      g_bytes_unref (bytes);
    }
  return msg;
}

static CallResult
classify_answer (QgCliAnswer *answer, QgErr *err)
{
  QgStatus kind = answer_status (answer);
  JsonObject *object
      = answer->json != NULL && JSON_NODE_HOLDS_OBJECT (answer->json)
            ? json_node_get_object (answer->json)
            : NULL;
  const char *detail
      = object != NULL ? qg_json_member_string (object, "detail") : "";

  if (kind == QG_OK)
    {
      qg_err_clear (err);
      return CALL_RESULT_FINAL;
    }
  qg_fail (err, kind, "%s", detail[0] != '\0' ? detail : answer->text);
  if (kind == QG_E_UNKNOWN || kind == QG_E_TIMEOUT)
    return CALL_RESULT_UNKNOWN;
  if (kind == QG_E_NOT_LEADER || kind == QG_E_UNAVAILABLE
      || kind == QG_E_OVERLOADED)
    return CALL_RESULT_NO_EFFECT;
  return CALL_RESULT_FINAL;
}

static QgStatus
answer_status (const QgCliAnswer *answer)
{
  const char *kind;

  if (answer->http >= 200 && answer->http < 300)
    return QG_OK;
  if (answer->json == NULL || !JSON_NODE_HOLDS_OBJECT (answer->json))
    return QG_E_INTERNAL;
  kind = qg_json_member_string (json_node_get_object (answer->json), "kind");
  for (int i = 0; i < QG_N_STATUS; i++)
    if (g_str_equal (qg_status_name ((QgStatus)i), kind))
      return (QgStatus)i;
  return QG_E_INTERNAL;
}

static void
read_answer (QgCliAnswer *answer, SoupMessage *msg, GBytes *body)
{
  SoupMessageHeaders *headers = soup_message_get_response_headers (msg);
  const char *type = soup_message_headers_get_content_type (headers, NULL);
  const char *revision = soup_message_headers_get_one (headers, "QG-Revision");
  gsize len;
  const char *data = g_bytes_get_data (body, &len);

  answer->http = (int)soup_message_get_status (msg);
  answer->text = g_strndup (data != NULL ? data : "", len);
  answer->len = len;
  if (revision != NULL)
    qg_ini_read_uint (revision, &answer->revision);
  if (type != NULL && strstr (type, "json") != NULL)
    answer->json = json_from_string (answer->text, NULL);
}

/* A request that failed before a connection was made had no effect. */
static gboolean
may_have_been_sent (const GError *error)
{
  return !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED)
         && !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE)
         && !g_error_matches (error, G_IO_ERROR,
                              G_IO_ERROR_NETWORK_UNREACHABLE);
}
