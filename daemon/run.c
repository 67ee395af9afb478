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
  gboolean sent;
  gboolean held;
  gboolean reading;
  guint8 buffer[READ_BYTES];
};

static void add_headers (SoupMessage *msg, const Qg__Assign *assign,
                         const char *traceparent);
static void on_starting (SoupMessage *msg, gpointer user);
static void on_head (GObject *source, GAsyncResult *result, gpointer user);
static void read_more (QgRun *run);
static void on_read (GObject *source, GAsyncResult *result, gpointer user);
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
  /* A request on a reused connection may be sent again by the library when the
   * connection turns out to be closed. */
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
                           on_head, run);
  return run;
}

void
qg_run_cancel (QgRun *run)
{
  g_cancellable_cancel (run->cancel);
  qg_run_hold (run, FALSE);
}

void
qg_run_hold (QgRun *run, gboolean hold)
{
  run->held = hold;
  if (!hold && run->stream != NULL && !run->reading)
    read_more (run);
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

  run->sent = TRUE;
}

static void
on_head (GObject *source, GAsyncResult *result, gpointer user)
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
  if (!run->held)
    read_more (run);
}

static void
read_more (QgRun *run)
{
  run->reading = TRUE;
  g_input_stream_read_async (run->stream, run->buffer, sizeof run->buffer,
                             G_PRIORITY_DEFAULT, run->cancel, on_read, run);
}

static void
on_read (GObject *source, GAsyncResult *result, gpointer user)
{
  QgRun *run = user;
  GError *error = NULL;
  gssize n
      = g_input_stream_read_finish (G_INPUT_STREAM (source), result, &error);

  run->reading = FALSE;
  if (n > 0)
    {
      run->ops->data (run->user, run->buffer, (gsize)n);
      if (!run->held)
        read_more (run);
      return;
    }
  if (n == 0)
    finish (run, QG_RUN_WHOLE, "");
  else
    fail (run, error);
  g_clear_error (&error);
}

static void
fail (QgRun *run, const GError *error)
{
  if (g_cancellable_is_cancelled (run->cancel))
    finish (run, run->sent ? QG_RUN_CANCELLED : QG_RUN_NOT_SENT,
            "cancelled by the entry");
  else
    finish (run, run->sent ? QG_RUN_BROKEN : QG_RUN_NOT_SENT, error->message);
}

static void
finish (QgRun *run, QgRunEnd end, const char *message)
{
  run->ops->end (run->user, end, message);
  g_signal_handlers_disconnect_by_data (run->msg, run);
  g_clear_object (&run->stream);
  g_object_unref (run->msg);
  g_object_unref (run->cancel);
  g_free (run);
}
