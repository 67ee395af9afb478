#include "meter.h"

#include <string.h>

enum
{
  BYTES_PER_TOKEN = 4,
  LINE_MAX_BYTES = 4096,
  TAIL_BYTES = 512, /* the usage member is at the end of a JSON answer */
};

struct QgMeter
{
  QgMeterKind kind;
  QgTime started_at;
  guint64 prompt_tokens;
  guint64 events;
  guint64 reported;
  gboolean has_reported;
  GString *line; /* current line of the stream, or tail of the JSON answer */
};

typedef void (*FeedFunc) (QgMeter *meter, const char *data, gsize len);

static void ignore_data (QgMeter *meter, const char *data, gsize len);
static void feed_json (QgMeter *meter, const char *data, gsize len);
static void feed_stream (QgMeter *meter, const char *data, gsize len);
static void process_line (QgMeter *meter);
static void find_usage (QgMeter *meter, const char *text);
static gboolean find_number (const char *text, const char *name,
                             guint64 *value);

static const FeedFunc feeds[QG_N_METER_KINDS] = {
  [QG_METER_PLAIN] = ignore_data,
  [QG_METER_JSON] = feed_json,
  [QG_METER_STREAM] = feed_stream,
};

QgMeter *
qg_meter_new (QgMeterKind kind, gsize prompt_bytes, QgTime started_at)
{
  QgMeter *meter = g_new0 (QgMeter, 1);

  meter->kind = kind;
  meter->started_at = started_at;
  meter->prompt_tokens = prompt_bytes / BYTES_PER_TOKEN;
  meter->line = g_string_new (NULL);
  return meter;
}

void
qg_meter_free (QgMeter *meter)
{
  g_string_free (meter->line, TRUE);
  g_free (meter);
}

void
qg_meter_feed (QgMeter *meter, const guint8 *data, gsize len)
{
  feeds[meter->kind](meter, (const char *)data, len);
}

guint64
qg_meter_units (const QgMeter *meter, QgTime now)
{
  if (meter->kind == QG_METER_PLAIN)
    return (guint64)(MAX (now - meter->started_at, 0) / QG_MSEC);
  return MAX (meter->reported, meter->prompt_tokens + meter->events);
}

guint64
qg_meter_final_units (const QgMeter *meter, QgTime now)
{
  if (meter->has_reported)
    return meter->reported;
  return qg_meter_units (meter, now);
}

static void
ignore_data (QgMeter *meter, const char *data, gsize len)
{
}

static void
feed_json (QgMeter *meter, const char *data, gsize len)
{
  if (len >= TAIL_BYTES)
    {
      g_string_assign (meter->line, "");
      data += len - TAIL_BYTES;
      len = TAIL_BYTES;
    }
  g_string_append_len (meter->line, data, (gssize)len);
  if (meter->line->len > TAIL_BYTES)
    g_string_erase (meter->line, 0, (gssize)(meter->line->len - TAIL_BYTES));
  find_usage (meter, meter->line->str);
}

static void
feed_stream (QgMeter *meter, const char *data, gsize len)
{
  while (len > 0)
    {
      const char *end = memchr (data, '\n', len);
      gsize part = end != NULL ? (gsize)(end - data) : len;
      gsize room = LINE_MAX_BYTES - meter->line->len;

      g_string_append_len (meter->line, data, (gssize)MIN (part, room));
      if (end == NULL)
        return;
      process_line (meter);
      data += part + 1;
      len -= part + 1;
    }
}

static void
process_line (QgMeter *meter)
{
  static const char prefix[] = "data:";
  const char *line = meter->line->str;

  if (strncmp (line, prefix, sizeof prefix - 1) == 0)
    {
      if (strstr (line, "[DONE]") == NULL)
        meter->events++;
      find_usage (meter, line);
    }
  g_string_truncate (meter->line, 0);
}

static void
find_usage (QgMeter *meter, const char *text)
{
  const char *usage = strstr (text, "\"usage\"");
  guint64 prompt = 0;
  guint64 completion = 0;

  if (usage == NULL
      || !find_number (usage, "\"completion_tokens\"", &completion))
    return;
  if (!find_number (usage, "\"prompt_tokens\"", &prompt))
    prompt = meter->prompt_tokens;
  meter->reported = MAX (meter->reported, prompt + completion);
  meter->has_reported = TRUE;
}

static gboolean
find_number (const char *text, const char *name, guint64 *value)
{
  const char *at = strstr (text, name);

  if (at == NULL)
    return FALSE;
  at += strlen (name);
  at += strspn (at, " \t:");
  if (!g_ascii_isdigit (*at))
    return FALSE;
  *value = MIN (g_ascii_strtoull (at, NULL, 10), G_MAXUINT32);
  return TRUE;
}
