#include "libh1.h"

#include <string.h>

static int on_begin (http_parser *parser);
static int on_url (http_parser *parser, const char *at, size_t len);
static int on_field (http_parser *parser, const char *at, size_t len);
static int on_value (http_parser *parser, const char *at, size_t len);
static int on_head (http_parser *parser);
static int on_body (http_parser *parser, const char *at, size_t len);
static int on_complete (http_parser *parser);
static gsize execute (QgH1Conn *conn, const char *data, gsize len);
static gsize parse (QgH1Conn *conn, const char *data, gsize len);
static gboolean read_status_line (QgH1Conn *conn, const char *data, gsize len);
static gboolean add_head_bytes (QgH1Conn *conn, gsize len);
static void fill_head (QgH1Conn *conn, QgH1Head *head, QgH1Header *headers);
static gboolean has_line_break_or_nul (const char *at, size_t len);

static const http_parser_settings settings = {
  .on_message_begin = on_begin,
  .on_url = on_url,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

void
h1_parse_init (QgH1Conn *conn)
{
  http_parser_init (&conn->parser, conn->server ? HTTP_REQUEST : HTTP_RESPONSE);
  conn->parser.data = conn;
  conn->head_limit = H1_DEFAULT_HEAD_LIMIT;
}

void
h1_parse_received (QgH1Conn *conn, const char *data, gsize len)
{
  gsize done;

  if (conn->fd < 0 || conn->detached)
    return;
  if (conn->parse_paused || conn->in->len > 0)
    {
      g_byte_array_append (conn->in, (const guint8 *)data, (guint)len);
      h1_count_bytes (conn);
      return;
    }
  done = execute (conn, data, len);
  if (conn->parse_paused && done < len)
    g_byte_array_append (conn->in, (const guint8 *)data + done,
                         (guint)(len - done));
  h1_count_bytes (conn);
  if (conn->parse_paused && !conn->detached)
    conn->ops->complete (conn->user, conn);
}

void
h1_parse (QgH1Conn *conn)
{
  gsize buffered = conn->in->len;
  gsize done;

  if (conn->parse_paused || buffered == 0 || conn->fd < 0)
    return;
  if (conn->detached)
    {
      g_byte_array_set_size (conn->in, 0);
      return;
    }
  done = execute (conn, (const char *)conn->in->data, buffered);
  if (done < buffered)
    g_byte_array_remove_range (conn->in, 0, (guint)done);
  else
    conn->in = h1_buffer_reset (conn->in, buffered);
  h1_count_bytes (conn);
  h1_update_events (conn);
  if (conn->parse_paused && !conn->detached)
    conn->ops->complete (conn->user, conn);
}

/* Checks the beginning of a response: RFC 9112, 4 has a version of HTTP/1, a
 * space, three digits and a space, which some servers leave out if there is no
 * reason; by RFC 9110, 15, the status is 100 to 599. http-parser also accepts
 * other numbers of digits, several spaces, and other versions. */
static gboolean
read_status_line (QgH1Conn *conn, const char *data, gsize len)
{
  static const char form[H1_STATUS_LINE_BYTES] = "HTTP/1.d Sdd ";

  for (gsize i = 0; i < len && conn->status_line < H1_STATUS_LINE_BYTES; i++)
    {
      char c = data[i];
      char expected = form[conn->status_line];
      gboolean fits;

      if (conn->status_line == 0 && (c == '\r' || c == '\n'))
        continue; /* before a response, as http-parser skips it */
      if (expected == 'd')
        fits = g_ascii_isdigit (c);
      else if (expected == 'S')
        fits = c >= '1' && c <= '5';
      else
        fits = c == expected;
      if (conn->status_line == H1_STATUS_LINE_BYTES - 1)
        fits = fits || c == '\r' || c == '\n';
      if (!fits)
        return FALSE;
      conn->status_line++;
    }
  return TRUE;
}

/* Runs the parser; returns how many bytes belong to the current message. */
static gsize
execute (QgH1Conn *conn, const char *data, gsize len)
{
  gsize done = 0;

  do
    {
      conn->after_interim = FALSE;
      done += parse (conn, data + done, len - done);
    }
  while (conn->after_interim && done < len);
  return done;
}

/* Runs the parser up to the end of a message or an interim response. A
 * malformed message ends the connection. */
static gsize
parse (QgH1Conn *conn, const char *data, gsize len)
{
  gsize done;

  if (!conn->server && !read_status_line (conn, data, len))
    {
      h1_end (conn, QG_H1_MALFORMED);
      return len;
    }
  conn->parse_input = data;
  done = http_parser_execute (&conn->parser, &settings, data, len);
  if (conn->fd < 0 || conn->detached)
    return len;
  if (conn->after_interim)
    {
      http_parser_pause (&conn->parser, 0);
      return done;
    }
  if (conn->parse_paused)
    {
      http_parser_pause (&conn->parser, 0);
      return done;
    }
  if (HTTP_PARSER_ERRNO (&conn->parser) != HPE_OK || conn->parser.upgrade)
    h1_end (conn, conn->head_bytes > conn->head_limit ? QG_H1_HEAD_TOO_LARGE
                                                      : QG_H1_MALFORMED);
  return len;
}

void
h1_parse_eof (QgH1Conn *conn)
{
  if (conn->parse_paused || conn->fd < 0)
    return;
  http_parser_execute (&conn->parser, &settings, NULL, 0);
  if (conn->parse_paused && !conn->detached)
    conn->ops->complete (conn->user, conn);
}

void
qg_h1_allow_next (QgH1Conn *conn)
{
  if (!conn->parse_paused)
    return;
  conn->parse_paused = FALSE;
  if (conn->in->len > 0)
    h1_loop_schedule_flush (conn);
}

gboolean
qg_h1_has_buffered (const QgH1Conn *conn)
{
  return conn->in->len > 0;
}

static int
on_begin (http_parser *parser)
{
  QgH1Conn *conn = parser->data;

  g_string_set_size (conn->arena, 0);
  g_array_set_size (conn->spans, 0);
  conn->url_len = 0;
  conn->head_bytes = 0;
  conn->in_message = TRUE;
  conn->in_value = TRUE;
  conn->folded = FALSE;
  return 0;
}

/* Counts bytes of the head; returns TRUE once they exceed the limit. */
static gboolean
add_head_bytes (QgH1Conn *conn, gsize len)
{
  conn->head_bytes += len;
  return conn->head_bytes > conn->head_limit;
}

static int
on_url (http_parser *parser, const char *at, size_t len)
{
  QgH1Conn *conn = parser->data;

  g_string_append_len (conn->arena, at, (gssize)len);
  conn->url_len += (guint)len;
  return add_head_bytes (conn, len);
}

static int
on_field (http_parser *parser, const char *at, size_t len)
{
  QgH1Conn *conn = parser->data;
  H1HeaderSpan *span;

  if (conn->in_value)
    {
      H1HeaderSpan fresh = { (guint)conn->arena->len, 0, 0, 0 };

      g_array_append_val (conn->spans, fresh);
      conn->in_value = FALSE;
    }
  /* Rejects white space in a header name. http-parser accepts spaces, but other
   * parsers treat them differently, which allows request smuggling. */
  if (memchr (at, ' ', len) != NULL || memchr (at, '\t', len) != NULL)
    return 1;
  span = &g_array_index (conn->spans, H1HeaderSpan, conn->spans->len - 1);
  g_string_append_len (conn->arena, at, (gssize)len);
  span->name_len += (guint)len;
  return add_head_bytes (conn, len);
}

/* The fragments of a value are contiguous unless the line was folded. Folded
 * lines are rejected, because folding is obsolete and may hide headers from
 * other parsers. */
static int
on_value (http_parser *parser, const char *at, size_t len)
{
  QgH1Conn *conn = parser->data;
  H1HeaderSpan *span
      = &g_array_index (conn->spans, H1HeaderSpan, conn->spans->len - 1);

  if (!conn->in_value)
    {
      span->value_offset = (guint)conn->arena->len;
      conn->in_value = TRUE;
    }
  else if (len > 0 && at != conn->value_end && at != conn->parse_input)
    conn->folded = TRUE;
  conn->value_end = at + len;
  g_string_append_len (conn->arena, at, (gssize)len);
  span->value_len += (guint)len;
  if (conn->folded || has_line_break_or_nul (at, len))
    return 1;
  return add_head_bytes (conn, len);
}

static gboolean
has_line_break_or_nul (const char *at, size_t len)
{
  return memchr (at, '\r', len) != NULL || memchr (at, '\n', len) != NULL
         || memchr (at, '\0', len) != NULL;
}

static void
fill_head (QgH1Conn *conn, QgH1Head *head, QgH1Header *headers)
{
  const char *base = conn->arena->str;
  const http_parser *parser = &conn->parser;

  memset (head, 0, sizeof *head);
  for (guint i = 0; i < conn->spans->len; i++)
    {
      const H1HeaderSpan *span = &g_array_index (conn->spans, H1HeaderSpan, i);

      headers[i].name.data = base + span->name_offset;
      headers[i].name.len = span->name_len;
      headers[i].value.data = base + span->value_offset;
      headers[i].value.len = span->value_len;
    }
  head->n_headers = conn->spans->len;
  head->headers = headers;
  head->keep_alive = http_should_keep_alive (parser) != 0;
  head->http_1_0 = parser->http_major == 1 && parser->http_minor == 0;
  head->chunked = (parser->flags & F_CHUNKED) != 0;
  head->length = (parser->flags & F_CONTENTLENGTH) != 0
                     ? (gint64)parser->content_length
                     : -1;
  if (conn->server)
    {
      head->method = http_method_str ((enum http_method)parser->method);
      head->url.data = base;
      head->url.len = conn->url_len;
      if (!head->chunked && head->length < 0)
        head->length = 0;
    }
  else
    {
      head->status = parser->status_code;
      head->until_close = !head->chunked && head->length < 0 && !conn->no_body
                          && qg_h1_has_body ("GET", head->status);
    }
}

static int
on_head (http_parser *parser)
{
  QgH1Conn *conn = parser->data;
  QgH1Head head;

  if (conn->detached)
    return -1;
  g_array_set_size (conn->headers, conn->spans->len);
  fill_head (conn, &head, (QgH1Header *)(void *)conn->headers->data);
  if (head.until_close && !conn->unframed)
    {
      conn->unframed = TRUE;
      conn->loop->unframed++;
    }
  conn->ops->head (conn->user, conn, &head);
  if (conn->fd < 0 || conn->detached)
    return -1;
  return conn->no_body
                 || (!conn->server && !qg_h1_has_body ("GET", head.status))
             ? 1
             : 0;
}

gboolean
qg_h1_has_body (const char *method, guint status)
{
  return strcmp (method, "HEAD") != 0 && status >= 200 && status != 204
         && status != 304;
}

static int
on_body (http_parser *parser, const char *at, size_t len)
{
  QgH1Conn *conn = parser->data;

  if (conn->detached)
    return -1;
  conn->ops->body (conn->user, conn, at, len);
  return conn->fd < 0 || conn->detached ? -1 : 0;
}

/* Ignores an interim response (1xx): the final one follows, whose status line
 * parse() checks. Too many end the connection as malformed. Only pauses the
 * parser; ops->complete is called once the message's bytes have been removed
 * from the input buffer. */
static int
on_complete (http_parser *parser)
{
  QgH1Conn *conn = parser->data;

  conn->status_line = 0;
  if (!conn->server && parser->status_code < 200)
    {
      if (++conn->n_interim > H1_INTERIM_MAX)
        return 1;
      conn->after_interim = TRUE;
      http_parser_pause (parser, 1);
      return 0;
    }
  conn->n_interim = 0;
  conn->in_message = FALSE;
  conn->parse_paused = TRUE;
  conn->no_body = FALSE;
  http_parser_pause (parser, 1);
  return 0;
}

gboolean
qg_slice_equals (QgSlice slice, const char *text)
{
  return slice.len == strlen (text)
         && memcmp (slice.data, text, slice.len) == 0;
}

gboolean
qg_slice_is (QgSlice slice, const char *text)
{
  return slice.len == strlen (text)
         && g_ascii_strncasecmp (slice.data, text, slice.len) == 0;
}

QgSlice
qg_h1_header (const QgH1Head *head, const char *name)
{
  QgSlice none = { "", 0 };

  for (guint i = 0; i < head->n_headers; i++)
    if (qg_slice_is (head->headers[i].name, name))
      return head->headers[i].value;
  return none;
}

gboolean
qg_h1_is_event_stream (const QgH1Head *head)
{
  static const char event_stream[] = "text/event-stream";
  QgSlice type = qg_h1_header (head, "Content-Type");

  type.len = MIN (type.len, sizeof event_stream - 1);
  return qg_slice_is (type, event_stream);
}
