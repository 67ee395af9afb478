#include "httpguard.h"
#include "lib/event.h"
#include "lib/jsontext.h"
#include "liboperator.h"

#include <string.h>

typedef struct
{
  const char *method;
  const char *path;
  void (*handle) (QgOperatorRequest *request);
} Route;

static void on_headers (SoupServer *server, SoupServerMessage *msg,
                        const char *path, GHashTable *query, gpointer user);
static void on_request (SoupServer *server, SoupServerMessage *msg,
                        const char *path, GHashTable *query, gpointer user);
static const Route *find_route (const char *method, const char *path,
                                const char **subpath, gboolean *path_known);
static gboolean read_body (QgOperatorRequest *request, JsonParser *parser);
static const QgSettingsOperator *authenticate (QgOperatorServer *server,
                                               SoupServerMessage *msg);
static gboolean has_body (SoupServerMessage *msg);

static const Route routes[] = {
  { "GET", "/v1/status", qg_operator_status },
  { "GET", "/v1/document", qg_operator_document },
  { "GET", "/v1/history", qg_operator_history },
  { "GET", "/v1/diff", qg_operator_diff },
  { "POST", "/v1/check", qg_operator_check },
  { "POST", "/v1/changes", qg_operator_change },
  { "POST", "/v1/members", qg_operator_member_add },
  { "DELETE", "/v1/members", qg_operator_member_remove },
  { "GET", "/v1/quarantine", qg_operator_quarantine },
  { "DELETE", "/v1/quarantine", qg_operator_lift_quarantine },
  { "GET", "/v1/rollouts", qg_operator_rollouts },
  { "POST", "/v1/rollouts", qg_operator_rollout_begin },
  { "DELETE", "/v1/rollouts", qg_operator_rollout_abort },
};

QgOperatorServer *
qg_operator_server_new (QgSettings *settings, const QgOperatorOps *ops,
                        gpointer user, QgErr *err)
{
  QgOperatorServer *server = g_new0 (QgOperatorServer, 1);

  server->settings = qg_settings_ref (settings);
  server->ops = ops;
  server->user = user;
  server->http_server = soup_server_new ("server-header", "quetzalgate", NULL);
  soup_server_add_early_handler (server->http_server, NULL, on_headers, server,
                                 NULL);
  soup_server_add_handler (server->http_server, NULL, on_request, server, NULL);
  if (qg_http_listen (server->http_server, settings->control.operator_listen,
                      QG_OPERATOR_MAX_BODY_BYTES, err)
      == QG_OK)
    return server;
  qg_operator_server_free (server);
  return NULL;
}

void
qg_operator_server_reload (QgOperatorServer *server, QgSettings *settings)
{
  qg_settings_ref (settings);
  qg_settings_unref (server->settings);
  server->settings = settings;
}

void
qg_operator_server_free (QgOperatorServer *server)
{
  if (server == NULL)
    return;
  soup_server_disconnect (server->http_server);
  g_object_unref (server->http_server);
  qg_settings_unref (server->settings);
  g_free (server);
}

void
qg_operator_refuse (QgOperatorRequest *request, QgStatus kind,
                    const char *detail)
{
  qg_event (QG_EV_CONF_REFUSED, "%s %s for %s: %s",
            soup_server_message_get_method (request->msg),
            g_uri_get_path (soup_server_message_get_uri (request->msg)),
            request->requester != NULL ? request->requester->name : "nobody",
            detail);
  qg_http_refuse (request->msg, kind, QG__RUN__RUN_NOT_RUN, detail);
}

void
qg_operator_answer (SoupServerMessage *msg, guint status, JsonBuilder *builder)
{
  JsonNode *root = json_builder_get_root (builder);
  g_autofree char *text = json_to_string (root, FALSE);

  qg_http_send_json (msg, status, text);
  json_node_unref (root);
  g_object_unref (builder);
}

gboolean
qg_operator_query_number (QgOperatorRequest *request, const char *name,
                          guint64 fallback, guint64 *value)
{
  const char *text = request->query != NULL
                         ? g_hash_table_lookup (request->query, name)
                         : NULL;
  g_autofree char *detail = NULL;

  *value = fallback;
  if (text == NULL || qg_ini_read_uint (text, value))
    return TRUE;
  detail = g_strdup_printf ("%s=%s is not a number", name, text);
  qg_operator_refuse (request, QG_E_INVALID, detail);
  return FALSE;
}

void
qg_json_string (JsonBuilder *builder, const char *name, const char *value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value != NULL ? value : "");
}

void
qg_json_number (JsonBuilder *builder, const char *name, guint64 value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, (gint64)value);
}

/* Refuses before the body is read, so that only the bodies of authenticated
 * operators are buffered. */
static void
on_headers (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer user)
{
  QgOperatorRequest request
      = { user, msg, authenticate (user, msg), "", query, NULL };
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (msg);
  goffset length = soup_message_headers_get_content_length (headers);
  SoupEncoding encoding = soup_message_headers_get_encoding (headers);

  if (request.requester == NULL)
    qg_operator_refuse (&request, QG_E_UNAUTHORIZED,
                        "the bearer token is missing or unknown");
  else if (length > QG_OPERATOR_MAX_BODY_BYTES)
    qg_operator_refuse (&request, QG_E_TOO_LARGE,
                        "the body is larger than 24 MiB; split the change");
  else if (encoding == SOUP_ENCODING_CHUNKED)
    qg_operator_refuse (&request, QG_E_INVALID,
                        "the body needs a Content-Length");
}

static void
on_request (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer user)
{
  QgOperatorServer *operator= user;
  QgOperatorRequest request
      = { operator, msg, authenticate (operator, msg), "", query, NULL };
  JsonParser *parser;
  gboolean path_known;
  const Route *route;
  QgErr err;

  route = find_route (soup_server_message_get_method (msg), path,
                      &request.subpath, &path_known);
  if (request.requester == NULL)
    {
      qg_operator_refuse (&request, QG_E_UNAUTHORIZED,
                          "the bearer token is missing or unknown");
      return;
    }
  if (route == NULL)
    {
      qg_operator_refuse (&request, path_known ? QG_E_INVALID : QG_E_NOT_FOUND,
                          path_known ? "the path does not support this method"
                                     : "no such path");
      return;
    }
  if (operator->ops->may_serve (operator->user, &err) != QG_OK)
    {
      qg_operator_refuse (&request, err.status, err.message);
      return;
    }
  if (qg_httpguard_was_cut (msg))
    {
      qg_operator_refuse (&request, QG_E_TOO_LARGE,
                          "the body is too large for the memory of this "
                          "process; split the change");
      return;
    }
  parser = json_parser_new ();
  if (!has_body (msg) || read_body (&request, parser))
    route->handle (&request);
  g_object_unref (parser);
}

static const Route *
find_route (const char *method, const char *path, const char **subpath,
            gboolean *path_known)
{
  *path_known = FALSE;
  for (guint i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      gsize len = strlen (routes[i].path);

      if (strncmp (path, routes[i].path, len) != 0
          || (path[len] != '\0' && path[len] != '/'))
        continue;
      *path_known = TRUE;
      if (!g_str_equal (method, routes[i].method))
        continue;
      *subpath = path[len] == '/' ? path + len + 1 : "";
      return &routes[i];
    }
  return NULL;
}

static gboolean
read_body (QgOperatorRequest *request, JsonParser *parser)
{
  SoupMessageBody *body = soup_server_message_get_request_body (request->msg);
  g_autoptr (GBytes) bytes = soup_message_body_flatten (body);
  gsize len;
  const char *data = g_bytes_get_data (bytes, &len);

  request->body = qg_json_parse_object (parser, data, len);
  if (request->body == NULL)
    qg_operator_refuse (request, QG_E_INVALID, "the body is not a JSON object");
  return request->body != NULL;
}

static const QgSettingsOperator *
authenticate (QgOperatorServer *server, SoupServerMessage *msg)
{
  guint8 sha256[QG_HTTP_SHA256_BYTES];

  if (!qg_http_hash_bearer_token (msg, sha256))
    return NULL;
  return qg_settings_operator (server->settings, sha256);
}

static gboolean
has_body (SoupServerMessage *msg)
{
  return g_str_equal (soup_server_message_get_method (msg), "POST");
}
