#include "sse.h"

#include <string.h>

static void end_line (QgSse *sse, gboolean *ends_event);
static gint64 read_id (const char *value);

void
qg_sse_init (QgSse *sse, gint64 last_id)
{
  memset (sse, 0, sizeof *sse);
  sse->last_id = last_id;
  sse->first_id = -1;
  sse->run_first_id = -1;
  sse->id = -1;
}

gsize
qg_sse_feed (QgSse *sse, const char *data, gsize len)
{
  gsize complete = 0;

  for (gsize i = 0; i < len; i++)
    {
      char c = data[i];
      gboolean ends_event = FALSE;

      /* The LF of a CR LF belongs to the line that CR ended. */
      if (c == '\n' && sse->after_cr)
        {
          sse->after_cr = FALSE;
          if (sse->pending == 0)
            complete = i + 1;
          else
            sse->pending++;
          continue;
        }
      sse->after_cr = c == '\r';
      sse->pending++;
      if (c == '\n' || c == '\r')
        end_line (sse, &ends_event);
      else if (sse->line_len++ < sizeof sse->line - 1)
        sse->line[sse->line_len - 1] = c;
      if (ends_event)
        complete = i + 1;
    }
  return complete;
}

void
qg_sse_next_run (QgSse *sse)
{
  sse->events = 0;
  sse->run_first_id = -1;
  sse->id = -1;
  sse->has_data = FALSE;
  sse->after_cr = FALSE;
  sse->line_len = 0;
  sse->pending = 0;
}

gboolean
qg_sse_may_end (const QgSse *sse, gboolean framed)
{
  return sse->pending == 0 && (framed || sse->events > 0);
}

static void
end_line (QgSse *sse, gboolean *ends_event)
{
  *ends_event = sse->line_len == 0;
  sse->line[MIN (sse->line_len, sizeof sse->line - 1)] = '\0';
  sse->line_len = 0;
  if (!*ends_event)
    {
      if (strncmp (sse->line, "id:", 3) == 0)
        sse->id = read_id (sse->line + 3);
      else if (strncmp (sse->line, "data", 4) == 0
               && (sse->line[4] == ':' || sse->line[4] == '\0'))
        sse->has_data = TRUE;
      return;
    }
  if (sse->id >= 0)
    {
      sse->repeats = sse->repeats || sse->id <= sse->last_id;
      sse->last_id = sse->id;
      if (sse->first_id < 0)
        sse->first_id = sse->id;
      if (sse->run_first_id < 0)
        sse->run_first_id = sse->id;
    }
  else if (sse->has_data)
    sse->unnumbered = TRUE;
  sse->events += sse->has_data ? 1 : 0;
  sse->id = -1;
  sse->has_data = FALSE;
  sse->pending = 0;
}

/* The number in the value of an id field, or -1. */
static gint64
read_id (const char *value)
{
  char *end;
  gint64 id;

  if (*value == ' ')
    value++;
  id = g_ascii_strtoll (value, &end, 10);
  return end == value || *end != '\0' ? -1 : id;
}
