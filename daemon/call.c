#include "call.h"

#include "call_events.h"
#include "http.h"
#include "httpaccept.h"

#include <string.h>
#include <sys/socket.h>

static void call_clear (gpointer data);
static void append (QgCall *call, const Qg__ReplyData *data, gsize skip);
static void append_passed (QgCall *call, char *passed, gsize n);
static void choose_framing (QgCall *call);
static void set_resets (SoupServerMessage *msg, gboolean resets);
static void on_wrote_whole (SoupServerMessage *msg, gpointer user);
static void finish (QgCall *call);
static void header_free (gpointer data);

QgCall *
qg_call_new (QgEntry *entry, SoupServerMessage *msg, guint64 id)
{
  QgCall *call = g_rc_box_new0 (QgCall);

  call->entry = entry;
  call->msg = g_object_ref (msg);
  call->id = id;
  call->key = g_strdup ("");
  call->outcome = "answered";
  call->headers = g_ptr_array_new_with_free_func (header_free);
  return call;
}

QgCall *
qg_call_ref (QgCall *call)
{
  return g_rc_box_acquire (call);
}

void
qg_call_unref (QgCall *call)
{
  g_rc_box_release_full (call, call_clear);
}

void
qg_call_fill_assign (QgCall *call, QgTime now, Qg__Assign *assign)
{
  gsize size = 0;

  assign->request_id = call->id;
  assign->workspace = call->workspace;
  assign->service = call->service;
  assign->method = call->method;
  assign->path = call->path;
  assign->headers = (Qg__Header **)call->headers->pdata;
  assign->n_headers = call->headers->len;
  assign->body.data = (guint8 *)g_bytes_get_data (call->body, &size);
  assign->body.len = size;
  assign->deadline_us = (guint64)MAX (call->deadline - now, 0);
  assign->once = call->once;
  assign->key = call->key;
  assign->body_hash.data = call->body_hash;
  assign->body_hash.len = sizeof call->body_hash;
  assign->traceparent = call->traceparent;
  assign->size_class = call->size_class;
  assign->estimate = call->estimate;
  assign->attempt = call->attempt;
  assign->isolate = call->level;
  assign->revision = call->revision;
  assign->caller_key.data = call->caller_key;
  assign->caller_key.len = sizeof call->caller_key;
  assign->waited_ms = (guint32)((now - call->arrived_at) / QG_MSEC);
}

QgStatus
qg_call_forward_head (QgCall *call, const Qg__ReplyHead *head, QgTime now,
                      QgErr *err)
{
  SoupMessageHeaders *headers;

  if (call->stream.head_passed)
    return QG_OK;
  if (qg_call_events_begin (call, head, err) != QG_OK)
    return err->status;
  if (qg_stream_handle_head (&call->stream, call->stream.source)
      != QG_STREAM_PASS)
    return QG_OK;
  call->head_at = now;
  if (call->msg == NULL)
    return QG_OK;
  headers = soup_server_message_get_response_headers (call->msg);
  soup_server_message_set_status (call->msg, head->status, NULL);
  for (size_t i = 0; i < head->n_headers; i++)
    soup_message_headers_append (headers, head->headers[i]->name,
                                 head->headers[i]->value);
  choose_framing (call);
  soup_message_body_set_accumulate (
      soup_server_message_get_response_body (call->msg), FALSE);
  soup_server_message_unpause (call->msg);
  return QG_OK;
}

/* HTTP/1.0 has no chunked encoding, so closing the connection ends the body.
 * Until the body is whole, the connection is reset however it ends, the end of
 * this process included. */
static void
choose_framing (QgCall *call)
{
  SoupMessageHeaders *headers
      = soup_server_message_get_response_headers (call->msg);

  call->until_close
      = soup_server_message_get_http_version (call->msg) == SOUP_HTTP_1_0;
  soup_message_headers_set_encoding (
      headers, call->until_close ? SOUP_ENCODING_EOF : SOUP_ENCODING_CHUNKED);
  if (call->until_close)
    set_resets (call->msg, TRUE);
}

static void
set_resets (SoupServerMessage *msg, gboolean resets)
{
  GSocket *socket = qg_httpaccept_socket (msg);
  struct linger option = { resets, 0 };

  if (socket != NULL)
    setsockopt (g_socket_get_fd (socket), SOL_SOCKET, SO_LINGER, &option,
                sizeof option);
}

static void
on_wrote_whole (SoupServerMessage *msg, gpointer user)
{
  set_resets (msg, FALSE);
}

QgStreamVerdict
qg_call_forward_data (QgCall *call, const Qg__ReplyData *data)
{
  guint64 skip;
  QgStreamVerdict verdict = qg_stream_handle_data (
      &call->stream, call->stream.source, data->offset, data->data.len, &skip);

  if (verdict != QG_STREAM_PASS || call->msg == NULL)
    return verdict;
  append (call, data, skip);
  return verdict;
}

QgStreamVerdict
qg_call_forward_end (QgCall *call, const Qg__ReplyEnd *end)
{
  gsize n = 0;
  QgStreamVerdict verdict
      = qg_stream_handle_end (&call->stream, call->stream.source, end->length);

  if (verdict != QG_STREAM_PASS)
    return verdict;
  if (call->events != NULL)
    append_passed (call, qg_ssepass_end (call->events, &n), n);
  if (qg_call_wrong (call) != NULL)
    return verdict;
  if (call->msg != NULL)
    {
      if (call->until_close)
        g_signal_connect (call->msg, "wrote-body", G_CALLBACK (on_wrote_whole),
                          NULL);
      soup_message_body_complete (
          soup_server_message_get_response_body (call->msg));
      soup_server_message_unpause (call->msg);
    }
  finish (call);
  return verdict;
}

const char *
qg_call_wrong (const QgCall *call)
{
  return call->events != NULL ? call->events->wrong : NULL;
}

guint64
qg_call_bytes_done (const QgCall *call)
{
  return call->stream.next - (call->bytes_queued - call->bytes_written);
}

void
qg_call_refuse (QgCall *call, QgStatus kind, Qg__Run run, const char *detail)
{
  call->outcome = qg_status_name (kind);
  if (call->msg != NULL && !call->stream.head_passed)
    {
      qg_http_refuse (call->msg, kind, run, detail);
      soup_server_message_unpause (call->msg);
    }
  else if (call->msg != NULL)
    {
      /* The missing last chunk, or the reset, tells the caller that the answer
       * is truncated. */
      g_socket_close (qg_httpaccept_socket (call->msg), NULL);
      soup_server_message_unpause (call->msg);
    }
  finish (call);
}

static void
append (QgCall *call, const Qg__ReplyData *data, gsize skip)
{
  const char *bytes = (const char *)data->data.data + skip;
  gsize n = data->data.len - skip;
  char *passed = call->events != NULL
                     ? qg_ssepass_feed (call->events, bytes, n, &n)
                     : g_memdup2 (bytes, n);

  append_passed (call, passed, n);
}

/* Takes @passed, which may be NULL. */
static void
append_passed (QgCall *call, char *passed, gsize n)
{
  if (passed == NULL || call->msg == NULL)
    {
      g_free (passed);
      return;
    }
  call->bytes_queued += n;
  soup_message_body_append (soup_server_message_get_response_body (call->msg),
                            SOUP_MEMORY_TAKE, passed, n);
  soup_server_message_unpause (call->msg);
}

static void
finish (QgCall *call)
{
  call->state = QG_CALL_DONE;
  qg_stream_close (&call->stream);
  if (call->timer != 0)
    g_source_remove (call->timer);
  call->timer = 0;
  g_clear_object (&call->msg);
}

static void
header_free (gpointer data)
{
  qg__header__free_unpacked (data, NULL);
}

static void
call_clear (gpointer data)
{
  QgCall *call = data;

  if (call->timer != 0)
    g_source_remove (call->timer);
  g_clear_object (&call->msg);
  g_clear_pointer (&call->events, qg_ssepass_free);
  g_clear_pointer (&call->workspace, qg_str_unref);
  g_clear_pointer (&call->service, qg_str_unref);
  g_free (call->key);
  g_free (call->method);
  g_free (call->path);
  g_free (call->agent_name);
  g_ptr_array_unref (call->headers);
  g_clear_pointer (&call->body, g_bytes_unref);
  g_clear_pointer (&call->agent, qg_peer_unref);
}
