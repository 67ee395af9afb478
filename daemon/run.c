#include "run.h"
#include "clock.h"
#include "endcheck.h"

#include <string.h>

/** Collected bytes of a response that are passed on at once. */
#define PIECE_BYTES (16 * 1024)

struct QgRunPool
{
  QgH1Loop *loop;
  GQueue with_data; /* of QgRun, with bytes to pass on in this iteration */
  QgStr *health_path;
  gboolean unsized; /* the last response ended with its connection */
};

struct QgRun
{
  QgRunPool *pool;
  const QgRunOps *ops;
  gpointer user;
  QgStr *target;         /* its address */
  QgH1Conn *conn;        /* NULL once closed */
  gboolean until_close;  /* the response ends with the connection */
  QgStr *boot_id;        /* of the target that answers, or "" */
  gboolean boot_checked; /* the answer to the check states it as well */
  QgEndCheck *endcheck;  /* if until_close or that is to be expected; or NULL */
  GByteArray *data;
  GList *link;     /* in pool->with_data, or NULL */
  guint idle;      /* nonzero while the end is scheduled */
  QgRunEnd result; /* to report then */
  const char *message;
};

static gboolean is_token (const char *text);
static gboolean is_line (const char *text);
static void write_header (GString *out, const char *name, const char *value);
static gboolean is_replaced (const char *name);
static GString *format_request (const char *target, const Qg__Assign *assign);
static void on_head (gpointer user, QgH1Conn *conn, const QgH1Head *head);
static void on_body (gpointer user, QgH1Conn *conn, const char *data,
                     gsize len);
static void on_complete (gpointer user, QgH1Conn *conn);
static void on_closed (gpointer user, QgH1Conn *conn, QgH1End why);
static void write_check (gpointer user, GString *out,
                         const QgEndCheckTarget *target);
static QgEndCheckAnswer read_check (gpointer user, const QgH1Head *head,
                                    const QgEndCheckTarget *target);
static gboolean is_checked (const QgRun *run);
static void watch (QgRun *run);
static void check_close (QgRun *run, QgH1Conn *conn);
static void on_decided (gpointer user, const QgAliveEnd *end);
static void pass_on_data (QgRun *run);
static void pass_on_all (gpointer user);
static void end_later (QgRun *run, QgRunEnd end, const char *message);
static gboolean on_idle (gpointer user);
static void finish (QgRun *run, QgRunEnd end, const char *message);

static const QgH1Ops h1_ops
    = { on_head, on_body, on_complete, on_closed, NULL };

QgRunPool *
qg_run_pool_new (void)
{
  QgRunPool *pool = g_new0 (QgRunPool, 1);

  pool->loop = qg_h1_loop_new ();
  pool->health_path = qg_str_new (QG_RUN_HEALTH_PATH);
  qg_h1_loop_set_after (pool->loop, pass_on_all, pool);
  return pool;
}

void
qg_run_pool_free (QgRunPool *pool)
{
  qg_str_unref (pool->health_path);
  qg_h1_loop_free (pool->loop);
  g_queue_clear (&pool->with_data);
  g_free (pool);
}

static gboolean
is_token (const char *text)
{
  for (const char *at = text; *at != '\0'; at++)
    if (!g_ascii_isalnum (*at) && strchr ("!#$%&'*+-.^_`|~", *at) == NULL)
      return FALSE;
  return text[0] != '\0';
}

/* Whether the text can stand in a line of a message head. */
static gboolean
is_line (const char *text)
{
  return strpbrk (text, "\r\n") == NULL;
}

static void
write_header (GString *out, const char *name, const char *value)
{
  if (is_token (name) && is_line (value))
    g_string_append_printf (out, "%s: %s\r\n", name, value);
}

/* Headers that this module sets. */
static gboolean
is_replaced (const char *name)
{
  static const char *const replaced[]
      = { "Host",        "Connection",      "Content-Length", "X-Request-Id",
          "X-Workspace", "Idempotency-Key", "traceparent" };

  for (gsize i = 0; i < G_N_ELEMENTS (replaced); i++)
    if (g_ascii_strcasecmp (name, replaced[i]) == 0)
      return TRUE;
  return FALSE;
}

/* Returns the head of the request; NULL when method or path are invalid. */
static GString *
format_request (const char *target, const Qg__Assign *assign)
{
  GString *out;

  if (!is_token (assign->method) || assign->path[0] != '/')
    return NULL;
  for (const char *at = assign->path; *at != '\0'; at++)
    if (g_ascii_iscntrl (*at) || *at == ' ')
      return NULL;
  out = g_string_sized_new (512);
  g_string_append_printf (out, "%s %s HTTP/1.1\r\n", assign->method,
                          assign->path);
  write_header (out, "Host", target);
  write_header (out, "Connection", "close");
  for (size_t i = 0; i < assign->n_headers; i++)
    if (!is_replaced (assign->headers[i]->name))
      write_header (out, assign->headers[i]->name, assign->headers[i]->value);
  g_string_append_printf (out, "X-Request-Id: %016" G_GINT64_MODIFIER "x\r\n",
                          assign->request_id);
  write_header (out, "X-Workspace", assign->workspace);
  if (assign->key[0] != '\0')
    write_header (out, "Idempotency-Key", assign->key);
  if (assign->traceparent[0] != '\0')
    write_header (out, "traceparent", assign->traceparent);
  if (assign->body.len > 0 || strcmp (assign->method, "POST") == 0
      || strcmp (assign->method, "PUT") == 0)
    g_string_append_printf (out, "Content-Length: %" G_GSIZE_FORMAT "\r\n",
                            assign->body.len);
  g_string_append (out, "\r\n");
  return out;
}

QgRun *
qg_run_start (QgRunPool *pool, const char *target, const Qg__Assign *assign,
              const QgRunOps *ops, gpointer user)
{
  GString *head = format_request (target, assign);
  QgRun *run;

  if (head == NULL)
    return NULL;
  run = g_new0 (QgRun, 1);
  run->pool = pool;
  run->ops = ops;
  run->user = user;
  run->data = g_byte_array_new ();
  run->target = qg_str_new (target);
  run->boot_id = qg_str_new ("");
  run->conn = qg_h1_connect (pool->loop, target, &h1_ops, run);
  if (run->conn == NULL)
    end_later (run, QG_RUN_NOT_SENT, "cannot open a connection to the target");
  else
    {
      if (strcmp (assign->method, "HEAD") == 0)
        qg_h1_expect_no_body (run->conn);
      qg_h1_write (run->conn, head->str, head->len);
      qg_h1_write (run->conn, (const char *)assign->body.data,
                   assign->body.len);
      /* Only a connection from before the response shows who ended a response
       * that this process reads late. */
      if (pool->unsized)
        watch (run);
    }
  g_string_free (head, TRUE);
  return run;
}

void
qg_run_cancel (QgRun *run)
{
  gboolean sent
      = is_checked (run) || (run->conn != NULL && qg_h1_is_open (run->conn));

  if (run->idle != 0)
    return;
  end_later (run, sent ? QG_RUN_CANCELLED : QG_RUN_NOT_SENT, "cancelled");
}

gboolean
qg_run_answer_began (const QgRun *run)
{
  return is_checked (run)
         || (run->conn != NULL && qg_h1_is_open (run->conn)
             && (qg_h1_in_message (run->conn) || qg_h1_has_unread (run->conn)));
}

void
qg_run_set_paused (QgRun *run, gboolean paused)
{
  if (run->conn != NULL)
    qg_h1_set_paused (run->conn, paused);
}

static void
on_head (gpointer user, QgH1Conn *conn, const QgH1Head *head)
{
  QgRun *run = user;
  QgSlice boot_id = qg_h1_header (head, "X-Boot-Id");

  if (head->status < 200)
    return;
  run->until_close = head->until_close;
  qg_str_unref (run->boot_id);
  run->boot_id = g_ref_string_new_len (boot_id.data, (gssize)boot_id.len);
  run->pool->unsized = run->until_close;
  if (!run->until_close)
    g_clear_pointer (&run->endcheck, qg_endcheck_free);
  else if (run->endcheck == NULL)
    watch (run);
  else
    qg_endcheck_set_id (run->endcheck, run->boot_id);
  run->ops->head (run->user, head);
}

static void
on_body (gpointer user, QgH1Conn *conn, const char *data, gsize len)
{
  QgRun *run = user;

  if (len == 0)
    return;
  g_byte_array_append (run->data, (const guint8 *)data, (guint)len);
  if (run->data->len >= PIECE_BYTES)
    pass_on_data (run);
  else if (run->link == NULL)
    {
      g_queue_push_tail (&run->pool->with_data, run);
      run->link = run->pool->with_data.tail;
    }
}

/* Passes on all bytes of an iteration in one piece: each piece costs a peer
 * frame and an HTTP chunk. */
static void
pass_on_data (QgRun *run)
{
  GByteArray *data = run->data;

  if (run->link != NULL)
    g_queue_delete_link (&run->pool->with_data, run->link);
  run->link = NULL;
  if (data->len == 0)
    return;
  run->data = g_byte_array_new ();
  run->ops->data (run->user, data->data, data->len);
  g_byte_array_unref (data);
}

static void
pass_on_all (gpointer user)
{
  QgRunPool *pool = user;

  while (pool->with_data.head != NULL)
    pass_on_data (pool->with_data.head->data);
}

static void
on_complete (gpointer user, QgH1Conn *conn)
{
  QgRun *run = user;

  pass_on_data (run);
  if (run->idle != 0)
    return;
  if (run->until_close)
    check_close (run, conn);
  else
    finish (run, QG_RUN_COMPLETE, "");
}

static void
write_check (gpointer user, GString *out, const QgEndCheckTarget *target)
{
  g_string_append_printf (out,
                          "GET %s HTTP/1.1\r\nHost: %s\r\n"
                          "Connection: close\r\n\r\n",
                          target->path, target->address);
}

static QgEndCheckAnswer
read_check (gpointer user, const QgH1Head *head, const QgEndCheckTarget *target)
{
  QgRun *run = user;
  QgSlice boot_id = qg_h1_header (head, "X-Boot-Id");
  QgEndCheckAnswer answer = { TRUE, FALSE };

  run->boot_checked = boot_id.len > 0 && qg_slice_equals (boot_id, target->id);
  answer.same = boot_id.len == 0 || target->id[0] == '\0'
                || qg_slice_equals (boot_id, target->id);
  return answer;
}

static gboolean
is_checked (const QgRun *run)
{
  return run->endcheck != NULL && qg_endcheck_is_pending (run->endcheck);
}

static void
watch (QgRun *run)
{
  QgEndCheckOptions options
      = { .loop = run->pool->loop,
          .target = { run->boot_id, run->target, run->pool->health_path },
          .write_check = write_check,
          .read_answer = read_check,
          .decided = on_decided,
          .user = run };

  run->endcheck = qg_endcheck_new (&options);
}

/* The kernel closes the connections of a target that crashed in the same way:
 * the response is whole if the target lived on. */
static void
check_close (QgRun *run, QgH1Conn *conn)
{
  qg_endcheck_ended (run->endcheck, conn);
  g_clear_pointer (&run->conn, qg_h1_close);
}

static void
on_decided (gpointer user, const QgAliveEnd *end)
{
  QgRun *run = user;

  /* A boot id is of one life, however late the answer that states it. */
  if (end->verdict == QG_ALIVE_LIVED
      || (end->verdict == QG_ALIVE_LATE && run->boot_checked))
    finish (run, QG_RUN_COMPLETE, "");
  else
    finish (run, QG_RUN_CONNECTION_LOST,
            end->verdict == QG_ALIVE_ENDED
                ? "the target ended before it ended its response"
                : "whether the response is whole is not known");
}

static void
on_closed (gpointer user, QgH1Conn *conn, QgH1End why)
{
  static const char *const messages[QG_N_H1_ENDS]
      = { [QG_H1_CLOSED] = "the target closed the connection early",
          [QG_H1_RESET] = "the target reset the connection",
          [QG_H1_CONNECT_FAILED] = "cannot connect to the target",
          [QG_H1_MALFORMED] = "the target sent a malformed response",
          [QG_H1_HEAD_TOO_LARGE] = "the head of the response is too large" };
  QgRun *run = user;

  pass_on_data (run);
  if (run->idle == 0)
    finish (run,
            why == QG_H1_CONNECT_FAILED ? QG_RUN_NOT_SENT
                                        : QG_RUN_CONNECTION_LOST,
            messages[why]);
}

/* Closes the connection, so that only on_idle() ends the run. */
static void
end_later (QgRun *run, QgRunEnd end, const char *message)
{
  g_clear_pointer (&run->endcheck, qg_endcheck_free);
  g_clear_pointer (&run->conn, qg_h1_close);
  run->result = end;
  run->message = message;
  run->idle = g_idle_add_full (G_PRIORITY_DEFAULT, on_idle, run, NULL);
}

static gboolean
on_idle (gpointer user)
{
  QgRun *run = user;

  finish (run, run->result, run->message);
  return G_SOURCE_REMOVE;
}

static void
finish (QgRun *run, QgRunEnd end, const char *message)
{
  if (run->link != NULL)
    g_queue_delete_link (&run->pool->with_data, run->link);
  g_clear_pointer (&run->endcheck, qg_endcheck_free);
  g_clear_pointer (&run->conn, qg_h1_close);
  run->ops->end (run->user, end, message);
  qg_str_unref (run->target);
  qg_str_unref (run->boot_id);
  g_byte_array_unref (run->data);
  g_free (run);
}
