#include "run.h"

#include "lib/event.h"

enum
{
  READ_BYTES = 16 * 1024,
};

struct QgRun
{
  const QgRunOps *ops;
  gpointer user;
  SoupMessage *msg;
  GInputStream *stream;
  GCancellable *cancel;
  gboolean send_started;
  gboolean paused; /* reading is paused */
  GSource *source; /* reads the response; NULL while paused */
};

static void add_headers (SoupMessage *msg, const Qg__Assign *assign,
                         const char *traceparent);
static void on_starting (SoupMessage *msg, gpointer user);
static void on_response (GObject *source, GAsyncResult *result, gpointer user);
static void add_source (QgRun *run);
static void remove_source (QgRun *run);
static gboolean on_readable (GObject *stream, gpointer user);
static void finish (QgRun *run, QgRunEnd end, const char *message);
static void fail (QgRun *run, const GError *error);

QgRun *
qg_run_start (SoupSession *session, const char *target,
              const Qg__Assign *assign, const char *traceparent,
              const QgRunOps *ops, gpointer user)
{
  char *uri = g_strconcat ("http://", target, assign->path, NULL);
  SoupMessage *msg = soup_message_new (assign->method, uri);
  SoupMessageFlags flags = SOUP_MESSAGE_NO_REDIRECT;
  GBytes *body;
  QgRun *run;

  g_free (uri);
  if (msg == NULL)
    return NULL;
  /* libsoup may resend a request when a reused connection turns out to be
   * closed, so an at-most-once request gets a new connection. */
  if (assign->once)
    flags |= SOUP_MESSAGE_NEW_CONNECTION;
  soup_message_set_flags (msg, flags);
  add_headers (msg, assign, traceparent);
  body = g_bytes_new (assign->body.data, assign->body.len);
  if (assign->body.len > 0)
    soup_message_set_request_body_from_bytes (msg, NULL, body);
  g_bytes_unref (body);
  run = g_new0 (QgRun, 1);
  run->ops = ops;
  run->user = user;
  run->msg = msg;
  run->cancel = g_cancellable_new ();
  g_signal_connect (msg, "starting", G_CALLBACK (on_starting), run);
  soup_session_send_async (session, msg, G_PRIORITY_DEFAULT, run->cancel,
                           on_response, run);
  return run;
}

void
qg_run_cancel (QgRun *run)
{
  g_cancellable_cancel (run->cancel);
  qg_run_set_paused (run, FALSE);
}

void
qg_run_set_paused (QgRun *run, gboolean paused)
{
  run->paused = paused;
  if (paused)
    remove_source (run);
  else if (run->stream != NULL && run->source == NULL)
    add_source (run);
}

static void
add_headers (SoupMessage *msg, const Qg__Assign *assign,
             const char *traceparent)
{
  SoupMessageHeaders *headers = soup_message_get_request_headers (msg);
  char id[32];

  for (size_t i = 0; i < assign->n_headers; i++)
    soup_message_headers_append (headers, assign->headers[i]->name,
                                 assign->headers[i]->value);
  g_snprintf (id, sizeof id, "%016" G_GINT64_MODIFIER "x", assign->request_id);
  soup_message_headers_replace (headers, "X-Request-Id", id);
  soup_message_headers_replace (headers, "X-Workspace", assign->workspace);
  if (assign->key[0] != '\0')
    soup_message_headers_replace (headers, "Idempotency-Key", assign->key);
  if (assign->traceparent[0] != '\0')
    soup_message_headers_replace (headers, "traceparent", assign->traceparent);
}

static void
on_starting (SoupMessage *msg, gpointer user)
{
  QgRun *run = user;

  run->send_started = TRUE;
}

static void
on_response (GObject *source, GAsyncResult *result, gpointer user)
{
  QgRun *run = user;
  GError *error = NULL;

  run->stream
      = soup_session_send_finish (SOUP_SESSION (source), result, &error);
  if (run->stream == NULL)
    {
      fail (run, error);
      g_error_free (error);
      return;
    }
  run->ops->head (run->user, soup_message_get_status (run->msg),
                  soup_message_get_response_headers (run->msg));
  if (!run->paused)
    add_source (run);
}

/* One source serves the whole response. Reading stops only at "would block", so
 * that no data stays buffered in the layers above the socket. */
static void
add_source (QgRun *run)
{
  run->source = g_pollable_input_stream_create_source (
      G_POLLABLE_INPUT_STREAM (run->stream), run->cancel);
  g_source_set_callback (run->source, G_SOURCE_FUNC (on_readable), run, NULL);
  g_source_attach (run->source, NULL);
}

static void
remove_source (QgRun *run)
{
  if (run->source == NULL)
    return;
  g_source_destroy (run->source);
  g_clear_pointer (&run->source, g_source_unref);
}

/* Passes on all available data in one piece: the layers above the socket return
 * small pieces, and each one costs a peer frame and an HTTP chunk. */
static gboolean
on_readable (GObject *stream, gpointer user)
{
  QgRun *run = user;
  guint8 buffer[READ_BYTES];
  GError *error = NULL;
  gsize size = 0;
  gssize n;

  do
    {
      n = g_pollable_input_stream_read_nonblocking (
          G_POLLABLE_INPUT_STREAM (run->stream), buffer + size,
          sizeof buffer - size, run->cancel, &error);
      size += (gsize)MAX (n, 0);
    }
  while (n > 0 && size < sizeof buffer);
  if (size > 0)
    run->ops->data (run->user, buffer, size);
  if (n > 0)
    return G_SOURCE_CONTINUE;
  if (n == 0)
    finish (run, QG_RUN_COMPLETE, "");
  else if (!g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    fail (run, error);
  else if (size == 0)
    {
      /* A source created while a layer held buffered bytes stays ready, which
       * would make the main loop spin; create a new one. */
      remove_source (run);
      add_source (run);
    }
  g_clear_error (&error);
  return G_SOURCE_CONTINUE;
}

static void
fail (QgRun *run, const GError *error)
{
  if (g_cancellable_is_cancelled (run->cancel))
    finish (run, run->send_started ? QG_RUN_CANCELLED : QG_RUN_NOT_SENT,
            "cancelled by the entry");
  else
    finish (run, run->send_started ? QG_RUN_CONNECTION_LOST : QG_RUN_NOT_SENT,
            error->message);
}

static void
finish (QgRun *run, QgRunEnd end, const char *message)
{
  remove_source (run);
  run->ops->end (run->user, end, message);
  g_signal_handlers_disconnect_by_data (run->msg, run);
  g_clear_object (&run->stream);
  g_object_unref (run->msg);
  g_object_unref (run->cancel);
  g_free (run);
}
