#include "stream.h"

#include "event.h"

static gboolean accepts_source (const QgStream *stream, guint64 source);

gboolean
qg_stream_bind (QgStream *stream, guint64 source)
{
  if (stream->source == source)
    return TRUE;
  if (!qg_check_invariant (
          !stream->head_passed, QG_EV_INV_STREAM,
          "an answer would continue with that of another run at byte "
          "%" G_GUINT64_FORMAT,
          stream->next))
    return FALSE;
  stream->source = source;
  return TRUE;
}

QgStreamVerdict
qg_stream_handle_head (QgStream *stream, guint64 source)
{
  if (!accepts_source (stream, source) || stream->head_passed)
    return QG_STREAM_DROP;
  stream->head_passed = TRUE;
  return QG_STREAM_PASS;
}

QgStreamVerdict
qg_stream_handle_data (QgStream *stream, guint64 source, guint64 offset,
                       guint64 len, guint64 *skip)
{
  *skip = 0;
  if (!accepts_source (stream, source))
    return QG_STREAM_DROP;
  if (len > G_MAXUINT64 - offset)
    return QG_STREAM_BAD;
  if (!stream->head_passed || offset > stream->next)
    return QG_STREAM_GAP;
  if (offset + len <= stream->next)
    return QG_STREAM_DROP;
  *skip = stream->next - offset;
  stream->next = offset + len;
  return QG_STREAM_PASS;
}

QgStreamVerdict
qg_stream_handle_end (QgStream *stream, guint64 source, guint64 length)
{
  if (!accepts_source (stream, source))
    return QG_STREAM_DROP;
  if (!stream->head_passed || length > stream->next)
    return QG_STREAM_GAP;
  stream->done = TRUE;
  return length == stream->next ? QG_STREAM_PASS : QG_STREAM_BAD;
}

void
qg_stream_close (QgStream *stream)
{
  stream->done = TRUE;
}

static gboolean
accepts_source (const QgStream *stream, guint64 source)
{
  return !stream->done && stream->source == source && source != 0;
}
