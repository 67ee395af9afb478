#include "libentry.h"

#include "http.h"
#include "httpaccept.h"
#include "httpguard.h"
#include "lib/event.h"

#include <errno.h>
#include <sys/socket.h>

enum
{
  /* The connection is closed when a body exceeds its limit by this factor. */
  BODY_ABORT_FACTOR = 8,
};

#define BODY_BYTES_KEY "qg-body-bytes"

static void on_request_started (SoupServer *server, SoupServerMessage *msg,
                                gpointer user);
static void on_got_headers (SoupServerMessage *msg, gpointer user);
static void on_got_chunk (SoupServerMessage *msg, GBytes *chunk, gpointer user);
static void count_body_bytes (QgEntry *entry, SoupServerMessage *msg,
                              gsize bytes);
static void on_request (SoupServer *server, SoupServerMessage *msg,
                        const char *path, GHashTable *query, gpointer user);
static gboolean admit (QgEntry *entry, SoupServerMessage *msg);
static void watch_caller (QgCall *call);
static gboolean is_disconnected (QgCall *call);
static void on_wrote (SoupServerMessage *msg, guint bytes, gpointer user);
static void on_finished (SoupServerMessage *msg, gpointer user);
static void call_release (gpointer data);

QgStatus
qg_entry_http_start (QgEntry *entry, QgErr *err)
{
  entry->server = soup_server_new ("server-header", "quetzalgate", NULL);
  g_signal_connect (entry->server, "request-started",
                    G_CALLBACK (on_request_started), entry);
  soup_server_add_handler (entry->server, NULL, on_request, entry, NULL);
  return qg_http_listen (entry->server, entry->settings->entry.listen,
                         entry->settings->entry.max_body_bytes, err);
}

static void
on_request_started (SoupServer *server, SoupServerMessage *msg, gpointer user)
{
  g_signal_connect (msg, "got-headers", G_CALLBACK (on_got_headers), user);
  g_signal_connect (msg, "got-chunk", G_CALLBACK (on_got_chunk), user);
}

static void
on_got_headers (SoupServerMessage *msg, gpointer user)
{
  goffset length = soup_message_headers_get_content_length (
      soup_server_message_get_request_headers (msg));

  if (length > 0)
    count_body_bytes (user, msg, 0);
}

static void
on_got_chunk (SoupServerMessage *msg, GBytes *chunk, gpointer user)
{
  count_body_bytes (user, msg, g_bytes_get_size (chunk));
}

/* Stops storing a body that is over the limit; admit() refuses the request when
 * the body ends. */
static void
count_body_bytes (QgEntry *entry, SoupServerMessage *msg, gsize bytes)
{
  gsize limit = entry->settings->entry.max_body_bytes;
  gsize sum
      = GPOINTER_TO_SIZE (g_object_get_data (G_OBJECT (msg), BODY_BYTES_KEY))
        + bytes;

  g_object_set_data (G_OBJECT (msg), BODY_BYTES_KEY, GSIZE_TO_POINTER (sum));
  if (sum > limit)
    soup_message_body_set_accumulate (
        soup_server_message_get_request_body (msg), FALSE);
  if (sum > limit * BODY_ABORT_FACTOR)
    g_socket_shutdown (qg_httpaccept_socket (msg), TRUE, FALSE, NULL);
}

static void
on_request (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer user)
{
  QgEntry *entry = user;
  QgCall *call;

  if (!admit (entry, msg))
    return;
  call = qg_entry_request_read (entry, msg);
  if (call == NULL)
    return;
  soup_server_message_pause (msg);
  g_hash_table_insert (entry->calls, &call->id, call);
  watch_caller (call);
  qg_entry_submit (entry, call);
}

static gboolean
admit (QgEntry *entry, SoupServerMessage *msg)
{
  gsize bytes
      = GPOINTER_TO_SIZE (g_object_get_data (G_OBJECT (msg), BODY_BYTES_KEY));

  if (bytes > entry->settings->entry.max_body_bytes)
    {
      char *detail = g_strdup_printf (
          "the body has %" G_GSIZE_FORMAT " bytes, at most %" G_GUINT64_FORMAT
          " are allowed",
          bytes, entry->settings->entry.max_body_bytes);

      qg_http_refuse (msg, QG_E_TOO_LARGE, QG__RUN__RUN_NOT_RUN, detail);
      g_free (detail);
      return FALSE;
    }
  if (qg_httpguard_was_cut (msg))
    {
      qg_http_refuse (msg, QG_E_OVERLOADED, QG__RUN__RUN_NOT_RUN,
                      "the memory for the bodies of requests is used up");
      return FALSE;
    }
  if (qg_http_may_be_cut (msg))
    {
      qg_http_refuse (msg, QG_E_INVALID, QG__RUN__RUN_NOT_RUN,
                      "the connection ended, and the chunked body may lack its "
                      "last chunk; keep the connection open for the answer");
      return FALSE;
    }
  if (entry->draining)
    {
      qg_http_refuse (msg, QG_E_UNAVAILABLE, QG__RUN__RUN_NOT_RUN,
                      "this entry is shutting down");
      return FALSE;
    }
  if (g_hash_table_size (entry->calls)
      >= entry->settings->entry.max_connections)
    {
      qg_http_refuse (msg, QG_E_OVERLOADED, QG__RUN__RUN_NOT_RUN,
                      "this entry has reached its limit of open requests");
      return FALSE;
    }
  return TRUE;
}

static void
watch_caller (QgCall *call)
{
  g_signal_connect_data (call->msg, "finished", G_CALLBACK (on_finished),
                         qg_call_ref (call),
                         (GClosureNotify)(void (*) (void))call_release, 0);
  g_signal_connect_data (call->msg, "wrote-body-data", G_CALLBACK (on_wrote),
                         qg_call_ref (call),
                         (GClosureNotify)(void (*) (void))call_release, 0);
}

/* libsoup does not watch the connection of a paused message, so disconnected
 * callers are detected here. A GSource for each call would slow down each
 * iteration of the main loop. */
void
qg_entry_abandon_disconnected (QgEntry *entry)
{
  GPtrArray *disconnected = g_ptr_array_new_with_free_func (call_release);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, entry->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_disconnected (value))
      g_ptr_array_add (disconnected, qg_call_ref (value));
  for (guint i = 0; i < disconnected->len; i++)
    qg_entry_abandon (g_ptr_array_index (disconnected, i));
  g_ptr_array_unref (disconnected);
}

static gboolean
is_disconnected (QgCall *call)
{
  GSocket *socket;
  char byte;
  gssize n;

  if (call->msg == NULL || call->pipelined)
    return FALSE;
  socket = qg_httpaccept_socket (call->msg);
  if (socket == NULL)
    return TRUE;
  n = recv (g_socket_get_fd (socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  call->pipelined = n > 0;
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

static void
on_wrote (SoupServerMessage *msg, guint bytes, gpointer user)
{
  qg_entry_add_written (user, bytes);
}

static void
on_finished (SoupServerMessage *msg, gpointer user)
{
  QgCall *call = user;

  if (call->state != QG_CALL_DONE)
    qg_entry_abandon (call);
}

static void
call_release (gpointer data)
{
  qg_call_unref (data);
}
