#include "libentry.h"

#include "http.h"
#include "lib/event.h"
#include "lib/jsonform.h"
#include "lib/jsontext.h"
#include "lib/once.h"
#include "lib/poison.h"

#include <json-glib/json-glib.h>
#include <string.h>

enum
{
  /* Requests with at most this max_tokens are of the short size class. */
  SHORT_TOKENS = 256,
  BYTES_PER_TOKEN = 4,
  MAX_DEADLINE_MS = 24 * 3600 * 1000,
  MAX_KEY_BYTES = 255,
};

/* The members of a chat completion that the entry reads. */
static const QgJsonformField chat_fields[] = {
  { "model", QG_JSONFORM_TEXT, TRUE },
  { "max_tokens", QG_JSONFORM_WHOLE, .max = G_MAXINT32 },
};
static const QgJsonform chat_form = QG_JSONFORM (chat_fields);

static const char chat_path[] = "/v1/chat/completions";
static const char services_prefix[] = "/services/";

static gboolean read_route (QgCall *call, SoupServerMessage *msg);
static gboolean read_chat (QgCall *call, SoupServerMessage *msg);
static gboolean read_model (QgCall *call, gint64 *tokens, QgErr *err);
static gboolean read_service_path (QgCall *call, SoupServerMessage *msg,
                                   const char *rest);
static gboolean authorize (QgCall *call, SoupServerMessage *msg);
static gboolean check_key (QgCall *call, SoupServerMessage *msg);
static gboolean goes_on (SoupServerMessage *msg);
static gboolean read_deadline (QgCall *call, SoupServerMessage *msg,
                               const QgDocService *service);
static void read_headers (QgCall *call, SoupServerMessage *msg);
static gboolean is_forwarded (const char *name);
static gboolean refuse_by_document (const QgCall *call, SoupServerMessage *msg,
                                    QgStatus kind, const char *detail);
static gboolean refuse (SoupServerMessage *msg, QgStatus kind,
                        const char *detail);

QgCall *
qg_entry_request_read (QgEntry *entry, SoupServerMessage *msg)
{
  SoupMessageBody *body = soup_server_message_get_request_body (msg);
  QgCall *call = qg_call_new (entry, msg, ++entry->next_id);
  gconstpointer data;
  gsize size;

  call->arrived_at = qg_clock_now ();
  call->method = g_strdup (soup_server_message_get_method (msg));
  call->body = soup_message_body_flatten (body);
  if (!authorize (call, msg) || !read_route (call, msg)
      || !check_key (call, msg))
    {
      qg_call_unref (call);
      return NULL;
    }
  read_headers (call, msg);
  data = g_bytes_get_data (call->body, &size);
  qg_poison_body_hash (call->method, call->path, data, size, call->body_hash);
  return call;
}

static gboolean
authorize (QgCall *call, SoupServerMessage *msg)
{
  const QgBoard *board = call->entry->board;
  const QgDocWorkspace *workspace;

  if (board->revision == 0)
    return refuse (msg, QG_E_UNAVAILABLE,
                   "this entry has no configuration yet");
  if (!qg_http_hash_bearer_token (msg, call->caller_key))
    return refuse (msg, QG_E_UNAUTHORIZED, "the request has no bearer token");
  workspace = qg_doc_workspace_by_key (board->doc, call->caller_key);
  if (workspace == NULL)
    return refuse_by_document (call, msg, QG_E_UNAUTHORIZED,
                               "the bearer token is unknown");
  call->revision = board->revision;
  call->workspace = qg_str_ref (workspace->name);
  return TRUE;
}

static gboolean
read_route (QgCall *call, SoupServerMessage *msg)
{
  const char *path = g_uri_get_path (soup_server_message_get_uri (msg));
  const QgDoc *doc = call->entry->board->doc;
  const QgDocService *service;

  if (g_str_equal (path, chat_path))
    {
      if (!read_chat (call, msg))
        return FALSE;
    }
  else if (g_str_has_prefix (path, services_prefix))
    {
      if (!read_service_path (call, msg, path + sizeof services_prefix - 1))
        return FALSE;
    }
  else
    return refuse (msg, QG_E_NOT_FOUND,
                   "unknown path; use /v1/chat/completions or /services/NAME/");
  service = qg_doc_service (doc, call->service);
  if (service == NULL || !qg_doc_granted (doc, call->workspace, call->service))
    return refuse_by_document (
        call, msg, QG_E_FORBIDDEN,
        "the service is unknown or not granted to this workspace");
  call->once = qg_doc_service_at_most_once (service, call->method);
  return read_deadline (call, msg, service);
}

static gboolean
read_chat (QgCall *call, SoupServerMessage *msg)
{
  gsize size = g_bytes_get_size (call->body);
  gint64 tokens = 0;
  QgErr err;

  if (!g_str_equal (call->method, "POST"))
    return refuse (msg, QG_E_INVALID, "chat completions require POST");
  if (!read_model (call, &tokens, &err))
    return refuse (msg, QG_E_INVALID, err.message);
  call->path = g_strdup (chat_path);
  call->size_class = tokens > 0 && tokens <= SHORT_TOKENS ? 0 : 1;
  call->estimate = (guint32)CLAMP (tokens, 0, G_MAXINT32)
                   + (guint32)(size / BYTES_PER_TOKEN);
  return TRUE;
}

static gboolean
read_model (QgCall *call, gint64 *tokens, QgErr *err)
{
  gsize size;
  const char *data = g_bytes_get_data (call->body, &size);
  JsonParser *parser = json_parser_new_immutable ();
  JsonObject *object = qg_json_parse_object (parser, data, size);
  const char *model = NULL;
  guint64 number = 0;

  if (object != NULL && qg_jsonform_check (object, &chat_form, err))
    {
      qg_jsonform_text (object, "model", &model);
      qg_jsonform_whole (object, "max_tokens", &number);
    }
  else if (object == NULL)
    qg_fail (err, QG_E_INVALID,
             "the body is not one complete JSON object, or nests too deep");
  *tokens = (gint64)number;
  if (model != NULL)
    call->service = qg_str_new (model);
  g_object_unref (parser);
  return model != NULL;
}

static gboolean
read_service_path (QgCall *call, SoupServerMessage *msg, const char *rest)
{
  const char *slash = strchr (rest, '/');
  const char *query = g_uri_get_query (soup_server_message_get_uri (msg));
  gsize len = slash != NULL ? (gsize)(slash - rest) : strlen (rest);

  if (len == 0)
    return refuse (msg, QG_E_NOT_FOUND, "the path names no service");
  call->service = qg_str_new_len (rest, len);
  call->path
      = g_strconcat (slash != NULL ? slash : "/", query != NULL ? "?" : "",
                     query != NULL ? query : "", NULL);
  return TRUE;
}

static gboolean
check_key (QgCall *call, SoupServerMessage *msg)
{
  const char *key = soup_message_headers_get_one (
      soup_server_message_get_request_headers (msg), "Idempotency-Key");

  if (key != NULL
      && (key[0] == '\0' || strlen (key) > MAX_KEY_BYTES
          || !g_utf8_validate (key, -1, NULL)))
    return refuse (msg, QG_E_INVALID,
                   "the Idempotency-Key must have 1 to 255 bytes of UTF-8");
  if (key != NULL && !g_str_equal (call->method, "GET")
      && !g_str_equal (call->method, "HEAD"))
    call->once = TRUE;
  if ((key == NULL || !call->once) && goes_on (msg))
    return refuse (msg, QG_E_NO_STREAM, QG_ONCE_NO_STREAM);
  if (!call->once)
    return TRUE;
  g_free (call->key);
  /* Each request without a key from the caller gets a unique key, because a
   * resend cannot be told from a new request. */
  call->key = key != NULL
                  ? g_strdup (key)
                  : g_strdup_printf ("auto.%s.%" G_GINT64_MODIFIER
                                     "x.%" G_GINT64_MODIFIER "x",
                                     call->entry->settings->daemon.name,
                                     call->entry->incarnation, call->id);
  return TRUE;
}

/* Whether the caller has events of a stream. Without a key of the caller
 * nothing tells which run began it. */
static gboolean
goes_on (SoupServerMessage *msg)
{
  const char *last = soup_message_headers_get_list (
      soup_server_message_get_request_headers (msg), "Last-Event-Id");

  return last != NULL && *last != '\0';
}

static gboolean
read_deadline (QgCall *call, SoupServerMessage *msg,
               const QgDocService *service)
{
  const char *value = soup_message_headers_get_one (
      soup_server_message_get_request_headers (msg), "X-Request-Timeout-Ms");
  guint64 ms = service->deadline_ms;

  if (ms == 0)
    ms = call->entry->settings->entry.default_deadline_ms;
  if (value != NULL
      && !g_ascii_string_to_unsigned (value, 10, 1, MAX_DEADLINE_MS, &ms, NULL))
    return refuse (msg, QG_E_INVALID,
                   "X-Request-Timeout-Ms cannot be read, or is out of range; "
                   "give a whole number of milliseconds");
  call->deadline = call->arrived_at + (QgTime)ms * QG_MSEC;
  return TRUE;
}

static void
read_headers (QgCall *call, SoupServerMessage *msg)
{
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (msg);
  const char *parent = soup_message_headers_get_one (headers, "traceparent");
  SoupMessageHeadersIter iter;
  const char *name;
  const char *value;

  qg_span_start (&call->span, QG_SPAN_ENTRY, parent);
  qg_span_format_traceparent (&call->span, call->traceparent);
  soup_message_headers_iter_init (&iter, headers);
  while (soup_message_headers_iter_next (&iter, &name, &value))
    {
      Qg__Header *header;

      if (!is_forwarded (name))
        continue;
      header = g_new (Qg__Header, 1);
      qg__header__init (header);
      header->name = g_strdup (name);
      header->value = g_strdup (value);
      g_ptr_array_add (call->headers, header);
    }
}

/* Hop-by-hop headers, the caller's API key and headers that the entry or agent
 * sets are not forwarded. */
static gboolean
is_forwarded (const char *name)
{
  static const char *const not_forwarded[] = {
    "Connection",
    "Keep-Alive",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Proxy-Connection",
    "Authorization",
    "Host",
    "Expect",
    "X-Workspace",
    "X-Request-Id",
    "Idempotency-Key",
    "traceparent",
    "Accept-Encoding",
    "X-Request-Timeout-Ms",
  };

  for (gsize i = 0; i < G_N_ELEMENTS (not_forwarded); i++)
    if (g_ascii_strcasecmp (name, not_forwarded[i]) == 0)
      return FALSE;
  return TRUE;
}

/* Refuses what the document does not allow. Without a permit, the document may
 * be out of date, and another entry may know a newer one. */
static gboolean
refuse_by_document (const QgCall *call, SoupServerMessage *msg, QgStatus kind,
                    const char *detail)
{
  if (!qg_board_has_permit (call->entry->board, qg_clock_now ()))
    return refuse (msg, QG_E_UNAVAILABLE,
                   "this entry has no contact with the control members, and "
                   "its configuration may be out of date; use another entry");
  return refuse (msg, kind, detail);
}

static gboolean
refuse (SoupServerMessage *msg, QgStatus kind, const char *detail)
{
  qg_event (QG_EV_CALL_REFUSED, "%s: %s", qg_status_name (kind), detail);
  qg_http_refuse (msg, kind, QG__RUN__RUN_NOT_RUN, detail);
  return FALSE;
}
