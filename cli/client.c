#include "cli.h"

#include <libsoup/soup.h>
#include <string.h>

#define TRY_TIMEOUT_S 5 /* of one member */
#define PAUSE         (200 * QG_MSEC)

struct QgClient
{
  SoupSession *session;
  char **addresses;
  guint next; /* whom to ask first */
  char *authorization;
  QgTime timeout;
};

/** What one try told. */
typedef enum
{
  TRY_ANSWERED,
  TRY_NEXT,   /* nothing was taken there */
  TRY_UNKNOWN /* it may have been taken */
} Try;

static Try try_one (QgClient *client, const char *method, const char *path,
                    const char *body, QgAnswer *answer, QgErr *err);
static SoupMessage *make_message (QgClient *client, const char *method,
                                  const char *path, const char *body);
static Try judge (QgAnswer *answer, QgErr *err);
static QgStatus kind_of (const QgAnswer *answer);
static void read_answer (QgAnswer *answer, SoupMessage *msg, GBytes *body);
static gboolean was_sent (const GError *error);

QgClient *
qg_client_new (const char *addresses, const char *key, QgTime timeout)
{
  QgClient *client = g_new0 (QgClient, 1);

  client->session = soup_session_new_with_options (
      "timeout", (guint)TRY_TIMEOUT_S, "user-agent", "quetzalgate", NULL);
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
                const char *body, QgAnswer *answer, QgErr *err)
{
  QgTime until = g_get_monotonic_time () + client->timeout;
  guint n = g_strv_length (client->addresses);
  gboolean unknown = FALSE;
  guint tries = 0;

  memset (answer, 0, sizeof *answer);
  qg_err_clear (err);
  do
    {
      Try result = try_one (client, method, path, body, answer, err);

      if (result == TRY_ANSWERED)
        return err->status;
      unknown = unknown || (result == TRY_UNKNOWN && body != NULL);
      qg_answer_clear (answer);
      client->next = (client->next + 1) % n;
      if (++tries % n == 0)
        g_usleep (PAUSE);
    }
  while (g_get_monotonic_time () < until);
  if (unknown)
    {
      char *last = g_strdup (err->message);

      qg_fail (err, QG_E_UNKNOWN, "no answer in time, it may be in force: %s",
               last);
      g_free (last);
    }
  return err->status;
}

void
qg_answer_clear (QgAnswer *answer)
{
  g_clear_pointer (&answer->text, g_free);
  g_clear_pointer (&answer->json, json_node_unref);
}

const char *
qg_member_string (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_string (node) == NULL)
    return "";
  return json_node_get_string (node);
}

guint64
qg_member_number (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node))
    return 0;
  return (guint64)json_node_get_int (node);
}

gboolean
qg_member_is_true (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);

  return node != NULL && JSON_NODE_HOLDS_VALUE (node)
         && json_node_get_boolean (node);
}

JsonArray *
qg_member_array (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    return NULL;
  return json_node_get_array (node);
}

static Try
try_one (QgClient *client, const char *method, const char *path,
         const char *body, QgAnswer *answer, QgErr *err)
{
  const char *address = client->addresses[client->next];
  SoupMessage *msg = make_message (client, method, path, body);
  GError *error = NULL;
  GBytes *bytes;
  Try result;

  if (msg == NULL)
    {
      qg_fail (err, QG_E_INVALID, "\"%s\" is no address ip:port", address);
      return TRY_ANSWERED;
    }
  bytes = soup_session_send_and_read (client->session, msg, NULL, &error);
  if (bytes == NULL)
    {
      qg_fail (err, QG_E_UNAVAILABLE, "%s: %s", address, error->message);
      result = was_sent (error) ? TRY_UNKNOWN : TRY_NEXT;
      g_error_free (error);
      g_object_unref (msg);
      return result;
    }
  read_answer (answer, msg, bytes);
  g_bytes_unref (bytes);
  g_object_unref (msg);
  return judge (answer, err);
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

static Try
judge (QgAnswer *answer, QgErr *err)
{
  QgStatus kind = kind_of (answer);
  JsonObject *object
      = answer->json != NULL && JSON_NODE_HOLDS_OBJECT (answer->json)
            ? json_node_get_object (answer->json)
            : NULL;
  const char *detail
      = object != NULL ? qg_member_string (object, "detail") : "";

  if (kind == QG_OK)
    {
      qg_err_clear (err);
      return TRY_ANSWERED;
    }
  qg_fail (err, kind, "%s", detail[0] != '\0' ? detail : answer->text);
  if (kind == QG_E_UNKNOWN || kind == QG_E_TIMEOUT)
    return TRY_UNKNOWN;
  if (kind == QG_E_NOT_LEADER || kind == QG_E_UNAVAILABLE
      || kind == QG_E_OVERLOADED)
    return TRY_NEXT;
  return TRY_ANSWERED;
}

static QgStatus
kind_of (const QgAnswer *answer)
{
  const char *kind;

  if (answer->http >= 200 && answer->http < 300)
    return QG_OK;
  if (answer->json == NULL || !JSON_NODE_HOLDS_OBJECT (answer->json))
    return QG_E_INTERNAL;
  kind = qg_member_string (json_node_get_object (answer->json), "kind");
  for (int i = 0; i < QG_N_STATUS; i++)
    if (g_str_equal (qg_status_name ((QgStatus)i), kind))
      return (QgStatus)i;
  return QG_E_INTERNAL;
}

static void
read_answer (QgAnswer *answer, SoupMessage *msg, GBytes *body)
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

/* Before there is a connection nothing can have been taken. */
static gboolean
was_sent (const GError *error)
{
  return !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED)
         && !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE)
         && !g_error_matches (error, G_IO_ERROR,
                              G_IO_ERROR_NETWORK_UNREACHABLE);
}
