#include "sse.h"

#include <errno.h>
#include <string.h>

static gboolean end_line (QgSse *sse);
static gboolean read_field (QgSse *sse, const char *line);
static gint64 read_number (const QgSse *sse, const char *line,
                           const char *name);
static gboolean is_field (const char *line, const char *name);
static gboolean end_event (QgSse *sse);
static gboolean end_block (QgSse *sse, gboolean unknown);
static QgSseOrder judge (const QgSse *sse, gint64 id, gboolean has_data);
static gboolean leaves_gap (const QgSse *sse, gint64 id);
static void accept_id (QgSse *sse, gint64 id);
static gboolean caller_has (QgSse *sse, gint64 id);

void
qg_sse_init (QgSse *sse, gint64 last_id)
{
  memset (sse, 0, sizeof *sse);
  sse->last_id = last_id;
  sse->first_id = -1;
  sse->watched_value = -1;
  qg_sse_next_run (sse);
}

void
qg_sse_rejoin (QgSse *sse)
{
  sse->rejoins = TRUE;
}

gsize
qg_sse_feed (QgSse *sse, const char *data, gsize len)
{
  gsize complete = 0;

  sse->had_bytes = 0;
  for (gsize i = 0; i < len && sse->order == QG_SSE_IN_ORDER; i++)
    {
      char c = data[i];

      /* The LF of a CR LF belongs to the line that CR ended. */
      if (c == '\n' && sse->after_cr)
        {
          sse->after_cr = FALSE;
          if (sse->pending == 0)
            complete = i + 1;
          else
            sse->pending++;
          if (sse->after_had)
            sse->had_bytes = complete;
          continue;
        }
      sse->after_cr = c == '\r';
      sse->pending++;
      sse->partial++;
      if (c != '\n' && c != '\r')
        {
          if (sse->line_len++ < sizeof sse->line - 1)
            sse->line[sse->line_len - 1] = c;
        }
      else if (end_line (sse))
        {
          sse->pending = 0;
          complete = i + 1;
          if (sse->after_had)
            sse->had_bytes = complete;
        }
      else
        sse->after_had = FALSE;
    }
  return complete;
}

void
qg_sse_next_run (QgSse *sse)
{
  sse->events = 0;
  sse->run_first_id = -1;
  sse->goes_on = sse->last_id >= 0;
  sse->judged = FALSE;
  sse->order = QG_SSE_IN_ORDER;
  sse->stopped_id = -1;
  sse->held_id = -1;
  sse->had_id = -1;
  sse->unknown = FALSE;
  sse->watched_next = -1;
  sse->id = -1;
  sse->has_field = FALSE;
  sse->has_data = FALSE;
  sse->has_unknown = FALSE;
  sse->after_cr = FALSE;
  sse->had_line = FALSE;
  sse->line_len = 0;
  sse->partial = 0;
  sse->pending = 0;
}

gboolean
qg_sse_may_end (const QgSse *sse, gboolean framed)
{
  return sse->partial == 0 && !sse->unknown && sse->order == QG_SSE_IN_ORDER
         && (framed || sse->events > 0);
}

const char *
qg_sse_order_text (QgSseOrder order)
{
  static const char *const texts[QG_N_SSE_ORDERS] = {
    [QG_SSE_IN_ORDER] = "the events of the stream are in order",
    [QG_SSE_REPEATED] = "the target sent an event again that the caller has",
    [QG_SSE_SKIPPED] = "the target left out events after the last one that the "
                       "caller has",
    [QG_SSE_UNNUMBERED] = "the target went on with events that have no number",
    [QG_SSE_FOREIGN] = "the target sent the head of another answer within the "
                       "stream",
  };

  return texts[order];
}

void
qg_sse_describe (const QgSse *sse, gint64 asked_after,
                 char text[QG_SSE_TEXT_BYTES])
{
  g_snprintf (text, QG_SSE_TEXT_BYTES,
              "asked_after=%" G_GINT64_FORMAT " run_began=%" G_GINT64_FORMAT
              " first=%" G_GINT64_FORMAT " last=%" G_GINT64_FORMAT
              " stopped_at=%" G_GINT64_FORMAT,
              asked_after, sse->run_first_id, sse->first_id,
              sse->first_id >= 0 ? sse->last_id : -1, sse->stopped_id);
}

gint64
qg_sse_read_id (const char *value)
{
  char *end;
  gint64 id;

  if (*value == ' ')
    value++;
  errno = 0;
  id = g_ascii_strtoll (value, &end, 10);
  return end == value || *end != '\0' || errno != 0 ? -1 : MAX (id, -1);
}

/* Returns TRUE if the bytes so far may be passed on. */
static gboolean
end_line (QgSse *sse)
{
  static const char byte_order_mark[] = "\xef\xbb\xbf";
  const char *line = sse->line;
  gsize len = sse->line_len;

  sse->line[MIN (len, sizeof sse->line - 1)] = '\0';
  if (!sse->had_line && g_str_has_prefix (line, byte_order_mark))
    {
      line += strlen (byte_order_mark);
      len -= strlen (byte_order_mark);
    }
  sse->had_line = TRUE;
  if (len > 0)
    {
      gboolean done = read_field (sse, line);

      sse->line_len = 0;
      return done;
    }
  sse->line_len = 0;
  return end_event (sse);
}

/* Returns TRUE after a comment that may be passed on. */
static gboolean
read_field (QgSse *sse, const char *line)
{
  if (line[0] == ':')
    {
      if (sse->has_field)
        return FALSE;
      sse->partial = 0;
      sse->after_had = sse->rejoins;
      return sse->held_id < 0 && !sse->unknown;
    }
  if (sse->ordered && sse->until_close && !sse->has_field
      && g_str_has_prefix (line, "HTTP/1."))
    sse->order = QG_SSE_FOREIGN;
  sse->has_field = TRUE;
  if (is_field (line, "id"))
    sse->id = read_number (sse, line, "id");
  else if (is_field (line, "data"))
    sse->has_data = TRUE;
  else if (sse->watched != NULL && is_field (line, sse->watched))
    sse->watched_next = read_number (sse, line, sse->watched);
  else if (!is_field (line, "event") && !is_field (line, "retry"))
    sse->has_unknown = TRUE;
  return FALSE;
}

/* The number in a line of the field @name, or -1. */
static gint64
read_number (const QgSse *sse, const char *line, const char *name)
{
  gsize len = strlen (name);

  return line[len] == ':' && sse->line_len < sizeof sse->line
             ? qg_sse_read_id (line + len + 1)
             : -1;
}

static gboolean
is_field (const char *line, const char *name)
{
  gsize len = strlen (name);

  return strncmp (line, name, len) == 0
         && (line[len] == ':' || line[len] == '\0');
}

/* Returns TRUE if the event is in order and may be passed on. */
static gboolean
end_event (QgSse *sse)
{
  gboolean has_data = sse->has_data;
  gboolean has_unknown = sse->has_unknown;
  gint64 id = sse->id;

  sse->id = -1;
  sse->has_field = FALSE;
  sse->has_data = FALSE;
  sse->has_unknown = FALSE;
  sse->partial = 0;
  sse->after_had = sse->rejoins;
  /* Without data or a new id it is no event for its receiver. */
  if (!has_data && (id < 0 || id == sse->last_id))
    return end_block (sse, has_unknown && id < 0);
  if (sse->run_first_id < 0)
    sse->run_first_id = id;
  sse->after_had = caller_has (sse, id);
  if (sse->after_had)
    return TRUE;
  sse->order = sse->ordered ? judge (sse, id, has_data) : QG_SSE_IN_ORDER;
  if (sse->order != QG_SSE_IN_ORDER)
    {
      sse->stopped_id = id;
      return FALSE;
    }
  sse->events += has_data ? 1 : 0;
  if (sse->ordered && leaves_gap (sse, id))
    {
      sse->judged = TRUE;
      sse->held_id = id;
      return FALSE;
    }
  if (sse->held_id >= 0)
    accept_id (sse, sse->held_id);
  if (id >= 0)
    accept_id (sse, id);
  else
    sse->unnumbered = TRUE;
  if (sse->watched_next >= 0)
    sse->watched_value = sse->watched_next;
  sse->watched_next = -1;
  sse->judged = TRUE;
  sse->held_id = -1;
  sse->unknown = FALSE;
  return TRUE;
}

static gboolean
end_block (QgSse *sse, gboolean unknown)
{
  if (unknown && sse->ordered && sse->until_close)
    sse->unknown = TRUE;
  return sse->held_id < 0 && !sse->unknown;
}

/* Whether a run that may begin before the event that the stream continues after
 * has not gone past it. */
static gboolean
caller_has (QgSse *sse, gint64 id)
{
  if (!sse->rejoins)
    return FALSE;
  if (id < 0 && sse->had_id >= 0)
    return TRUE;
  if (id > sse->had_id && id <= sse->last_id)
    {
      sse->had_id = id;
      sse->goes_on = FALSE;
      sse->rejoins = id < sse->last_id;
      return TRUE;
    }
  sse->rejoins = FALSE;
  return FALSE;
}

static QgSseOrder
judge (const QgSse *sse, gint64 id, gboolean has_data)
{
  gint64 before = MAX (sse->last_id, sse->held_id);

  if (id < 0)
    return sse->goes_on && !sse->judged ? QG_SSE_UNNUMBERED : QG_SSE_IN_ORDER;
  if (id < before || (id == before && has_data))
    return QG_SSE_REPEATED;
  if (sse->held_id >= 0 && id == sse->held_id + 1)
    return QG_SSE_SKIPPED;
  if (leaves_gap (sse, id) && sse->one_by_one)
    return QG_SSE_SKIPPED;
  return QG_SSE_IN_ORDER;
}

/* Whether events may be missing between the last one and the first one of the
 * run that goes on. */
static gboolean
leaves_gap (const QgSse *sse, gint64 id)
{
  return sse->goes_on && !sse->judged && !sse->by_more && id > sse->last_id + 1;
}

static void
accept_id (QgSse *sse, gint64 id)
{
  if (sse->last_id >= 0 && id == sse->last_id + 1)
    sse->one_by_one = TRUE;
  else if (sse->last_id >= 0 && id > sse->last_id)
    sse->by_more = TRUE;
  if (sse->first_id < 0)
    sse->first_id = sse->had_id >= 0 ? id : sse->run_first_id;
  sse->last_id = id;
}
