#include "librelay.h"

/* Holds back the incomplete event at the end of a resumable stream: another run
 * may have to send it again. Returns FALSE if the call has ended. */
gboolean
relay_stream_forward (RelayCall *call, const char *data, gsize len)
{
  gsize complete = qg_sse_feed (&call->sse, data, len);

  if (complete > 0)
    relay_version_began (call, g_get_monotonic_time ());
  if (call->resumed && call->sse.repeats)
    {
      relay_send_abort (call, "the target did not continue the stream after "
                              "its last event");
      return FALSE;
    }
  if (!call->route->resumable)
    {
      relay_send_data (call, data, len);
      return TRUE;
    }
  if (call->partial_event == NULL)
    call->partial_event = g_string_new (NULL);
  if (complete > 0)
    {
      g_string_append_len (call->partial_event, data, (gssize)complete);
      relay_send_data (call, call->partial_event->str,
                       call->partial_event->len);
      g_string_truncate (call->partial_event, 0);
    }
  g_string_append_len (call->partial_event, data + complete,
                       (gssize)(len - complete));
  return TRUE;
}

gboolean
relay_stream_can_resume (const RelayCall *call)
{
  return call->route->resumable && call->is_event_stream && call->chunked
         && !call->sse.unnumbered && call->sends < call->route->max_targets
         && qg_dispatch_has_target (call->relay->dispatch, &call->job);
}

const char *
relay_stream_format (const RelayCall *call, char text[RELAY_STREAM_TEXT_BYTES])
{
  const QgSse *sse = &call->sse;

  g_snprintf (text, RELAY_STREAM_TEXT_BYTES,
              "asked_after=%" G_GINT64_FORMAT " run_began=%" G_GINT64_FORMAT
              " first=%" G_GINT64_FORMAT " last=%" G_GINT64_FORMAT,
              call->info.resume_after, sse->run_first_id, sse->first_id,
              sse->first_id >= 0 ? sse->last_id : -1);
  return text;
}
