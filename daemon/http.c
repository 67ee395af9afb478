#include "http.h"
#include "httpaccept.h"
#include "httpguard.h"

#include <errno.h>
#include <json-glib/json-glib.h>
#include <string.h>
#include <sys/socket.h>

#define RETRY_AFTER_S "1"

enum
{
  LISTEN_BACKLOG = 1024 /* pending connections */
};

static const char *const run_names[] = {
  [QG__RUN__RUN_NOT_RUN] = "not-run",
  [QG__RUN__RUN_UNKNOWN] = "unknown",
  [QG__RUN__RUN_RAN] = "ran",
};

static gboolean listen_at (SoupServer *server, GSocketAddress *inet,
                           GError **error);
static void add_string (JsonBuilder *builder, const char *name,
                        const char *value);

GSocketAddress *
qg_http_parse_address (const char *address)
{
  GSocketConnectable *connectable = g_network_address_parse (address, 0, NULL);
  GSocketAddress *inet;

  if (connectable == NULL)
    return NULL;
  inet = g_inet_socket_address_new_from_string (
      g_network_address_get_hostname (G_NETWORK_ADDRESS (connectable)),
      g_network_address_get_port (G_NETWORK_ADDRESS (connectable)));
  g_object_unref (connectable);
  return inet;
}

QgStatus
qg_http_listen (SoupServer *server, const char *address, gsize body_max,
                QgErr *err)
{
  GSocketAddress *inet = qg_http_parse_address (address);
  GError *error = NULL;

  if (inet == NULL)
    return qg_fail (err, QG_E_INVALID, "listen address \"%s\" is not ip:port",
                    address);
  if (!listen_at (server, inet, &error))
    {
      qg_fail (err, QG_E_IO, "cannot listen at %s: %s", address,
               error->message);
      g_error_free (error);
      g_object_unref (inet);
      return QG_E_IO;
    }
  g_object_unref (inet);
  qg_httpguard_watch (server, body_max);
  return QG_OK;
}

static gboolean
listen_at (SoupServer *server, GSocketAddress *inet, GError **error)
{
  GSocket *socket
      = g_socket_new (g_socket_address_get_family (inet), G_SOCKET_TYPE_STREAM,
                      G_SOCKET_PROTOCOL_TCP, error);
  gboolean listening;

  if (socket == NULL)
    return FALSE;
  g_socket_set_listen_backlog (socket, LISTEN_BACKLOG);
  qg_httpguard_limit_socket (socket);
  listening = g_socket_bind (socket, inet, TRUE, error)
              && g_socket_listen (socket, error);
  if (listening)
    qg_httpaccept_start (server, socket);
  g_object_unref (socket);
  return listening;
}

gboolean
qg_http_hash_bearer_token (SoupServerMessage *msg,
                           guint8 sha256[QG_HTTP_SHA256_BYTES])
{
  static const char scheme[] = "Bearer ";
  const char *value = soup_message_headers_get_one (
      soup_server_message_get_request_headers (msg), "Authorization");
  gsize size = QG_HTTP_SHA256_BYTES;
  GChecksum *sum;

  if (value == NULL
      || g_ascii_strncasecmp (value, scheme, sizeof scheme - 1) != 0)
    return FALSE;
  value += sizeof scheme - 1;
  sum = g_checksum_new (G_CHECKSUM_SHA256);
  g_checksum_update (sum, (const guchar *)value, (gssize)strlen (value));
  g_checksum_get_digest (sum, sha256, &size);
  g_checksum_free (sum);
  return TRUE;
}

gboolean
qg_http_may_be_cut (SoupServerMessage *msg)
{
  SoupEncoding encoding = soup_message_headers_get_encoding (
      soup_server_message_get_request_headers (msg));
  GSocket *socket = qg_httpaccept_socket (msg);
  char byte;
  gssize n;

  /* libsoup itself fails a body that is shorter than its Content-Length. */
  if (encoding == SOUP_ENCODING_CONTENT_LENGTH
      || encoding == SOUP_ENCODING_NONE)
    return FALSE;
  if (socket == NULL)
    return TRUE;
  /* The end of the connection comes after all bytes, so libsoup has not read it
   * while there are bytes left; they belong to a later request. */
  n = recv (g_socket_get_fd (socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

void
qg_http_send_json (SoupServerMessage *msg, guint status, const char *json)
{
  soup_server_message_set_status (msg, status, NULL);
  soup_server_message_set_response (msg, "application/json", SOUP_MEMORY_COPY,
                                    json, strlen (json));
}

void
qg_http_refuse (SoupServerMessage *msg, QgStatus kind, Qg__Run run,
                const char *detail)
{
  guint status = (guint)qg_status_http (kind);
  JsonBuilder *builder = json_builder_new ();
  JsonNode *root;
  char *text;

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "type");
  json_builder_add_string_value (builder, "about:blank");
  add_string (builder, "title", soup_status_get_phrase (status));
  json_builder_set_member_name (builder, "status");
  json_builder_add_int_value (builder, status);
  add_string (builder, "detail", detail);
  add_string (builder, "kind", qg_status_name (kind));
  add_string (builder, "remedy", qg_status_remedy (kind));
  add_string (builder, "run", qg_http_run_name (run));
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  text = json_to_string (root, FALSE);
  qg_http_send_json (msg, status, text);
  soup_message_headers_set_content_type (
      soup_server_message_get_response_headers (msg),
      "application/problem+json", NULL);
  if (kind == QG_E_OVERLOADED || kind == QG_E_UNAVAILABLE)
    soup_message_headers_replace (
        soup_server_message_get_response_headers (msg), "Retry-After",
        RETRY_AFTER_S);
  g_free (text);
  json_node_unref (root);
  g_object_unref (builder);
}

const char *
qg_http_run_name (Qg__Run run)
{
  return run_names[(guint)run % G_N_ELEMENTS (run_names)];
}

static void
add_string (JsonBuilder *builder, const char *name, const char *value)
{
  char *valid = g_utf8_make_valid (value, -1);

  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, valid);
  g_free (valid);
}
