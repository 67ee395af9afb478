#include "trace.h"

#include "lib/event.h"

#include <errno.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

enum
{
  OTLP_KIND_INTERNAL = 1,
  OTLP_KIND_SERVER = 2,
  OTLP_KIND_CLIENT = 3,
  TRACE_ID_OFFSET = 3,
  PARENT_ID_OFFSET = 36,
  FLAGS_OFFSET = 53,
};

struct QgTrace
{
  FILE *file;
  char *process;
};

typedef struct
{
  const char *name;
  int otlp_kind;
} SpanKindInfo;

static const SpanKindInfo kinds[QG_N_SPAN_KINDS] = {
  [QG_SPAN_ENTRY] = { "entry", OTLP_KIND_SERVER },
  [QG_SPAN_QUEUE] = { "queue", OTLP_KIND_INTERNAL },
  [QG_SPAN_AGENT] = { "agent", OTLP_KIND_CLIENT },
};

static gboolean is_traceparent (const char *text);
static void random_hex (char *out, int chars);
static void add_member (JsonBuilder *builder, const char *name,
                        const char *value);
static void add_attribute (JsonBuilder *builder, const char *name,
                           const char *value);
static void build_span (JsonBuilder *builder, const QgSpan *span,
                        const char *workspace, const char *service,
                        const char *outcome);

QgTrace *
qg_trace_open (const char *file, const char *process)
{
  QgTrace *trace;
  FILE *out;

  if (file == NULL || file[0] == '\0')
    return NULL;
  out = fopen (file, "ae");
  if (out == NULL)
    {
      qg_event (QG_EV_TRACE_FILE, "%s: %s", file, g_strerror (errno));
      return NULL;
    }
  setvbuf (out, NULL, _IOLBF, 0);
  trace = g_new0 (QgTrace, 1);
  trace->file = out;
  trace->process = g_strdup (process);
  return trace;
}

void
qg_trace_close (QgTrace *trace)
{
  if (trace == NULL)
    return;
  fclose (trace->file);
  g_free (trace->process);
  g_free (trace);
}

void
qg_span_start (QgSpan *span, QgSpanKind kind, const char *traceparent)
{
  memset (span, 0, sizeof *span);
  span->kind = kind;
  span->started_at = g_get_real_time ();
  random_hex (span->span_id, QG_SPAN_ID_CHARS);
  if (is_traceparent (traceparent))
    {
      memcpy (span->trace_id, traceparent + TRACE_ID_OFFSET, QG_TRACE_ID_CHARS);
      memcpy (span->parent_id, traceparent + PARENT_ID_OFFSET,
              QG_SPAN_ID_CHARS);
    }
  else
    random_hex (span->trace_id, QG_TRACE_ID_CHARS);
}

void
qg_span_format_traceparent (const QgSpan *span,
                            char traceparent[QG_TRACEPARENT_BYTES])
{
  g_snprintf (traceparent, QG_TRACEPARENT_BYTES, "00-%s-%s-01", span->trace_id,
              span->span_id);
}

void
qg_span_end (QgTrace *trace, const QgSpan *span, const char *workspace,
             const char *service, const char *outcome)
{
  JsonBuilder *builder;
  JsonNode *root;
  char *text;

  if (trace == NULL)
    return;
  builder = json_builder_new ();
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "resourceSpans");
  json_builder_begin_array (builder);
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "resource");
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "attributes");
  json_builder_begin_array (builder);
  add_attribute (builder, "service.name", trace->process);
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  json_builder_set_member_name (builder, "scopeSpans");
  json_builder_begin_array (builder);
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "spans");
  json_builder_begin_array (builder);
  build_span (builder, span, workspace, service, outcome);
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  text = json_to_string (root, FALSE);
  fprintf (trace->file, "%s\n", text);
  g_free (text);
  json_node_unref (root);
  g_object_unref (builder);
}

static void
build_span (JsonBuilder *builder, const QgSpan *span, const char *workspace,
            const char *service, const char *outcome)
{
  char started[32];
  char ended[32];

  g_snprintf (started, sizeof started, "%" G_GINT64_FORMAT "000",
              span->started_at);
  g_snprintf (ended, sizeof ended, "%" G_GINT64_FORMAT "000",
              g_get_real_time ());
  json_builder_begin_object (builder);
  add_member (builder, "traceId", span->trace_id);
  add_member (builder, "spanId", span->span_id);
  if (span->parent_id[0] != '\0')
    add_member (builder, "parentSpanId", span->parent_id);
  add_member (builder, "name", kinds[span->kind].name);
  json_builder_set_member_name (builder, "kind");
  json_builder_add_int_value (builder, kinds[span->kind].otlp_kind);
  add_member (builder, "startTimeUnixNano", started);
  add_member (builder, "endTimeUnixNano", ended);
  json_builder_set_member_name (builder, "attributes");
  json_builder_begin_array (builder);
  add_attribute (builder, "quetzalgate.workspace", workspace);
  add_attribute (builder, "quetzalgate.service", service);
  add_attribute (builder, "quetzalgate.outcome", outcome);
  json_builder_end_array (builder);
  json_builder_end_object (builder);
}

static gboolean
is_traceparent (const char *text)
{
  if (text == NULL || strlen (text) != QG_TRACEPARENT_BYTES - 1
      || !g_str_has_prefix (text, "00-") || text[PARENT_ID_OFFSET - 1] != '-'
      || text[FLAGS_OFFSET - 1] != '-')
    return FALSE;
  for (int i = TRACE_ID_OFFSET; i < QG_TRACEPARENT_BYTES - 1; i++)
    if (i != PARENT_ID_OFFSET - 1 && i != FLAGS_OFFSET - 1
        && !g_ascii_isxdigit (text[i]))
      return FALSE;
  return TRUE;
}

static void
random_hex (char *out, int chars)
{
  for (int i = 0; i < chars; i += 8)
    g_snprintf (out + i, 9, "%08x", g_random_int ());
}

static void
add_member (JsonBuilder *builder, const char *name, const char *value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value);
}

static void
add_attribute (JsonBuilder *builder, const char *name, const char *value)
{
  json_builder_begin_object (builder);
  add_member (builder, "key", name);
  json_builder_set_member_name (builder, "value");
  json_builder_begin_object (builder);
  add_member (builder, "stringValue", value);
  json_builder_end_object (builder);
  json_builder_end_object (builder);
}
