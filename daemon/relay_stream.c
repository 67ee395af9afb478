#include "librelay.h"

/* The events of a stream reach the caller once and in order, whoever asked the
 * target to go on: the caller or this relay. A run in which they are not in
 * order is stopped, and the stream goes on at another target if it may. */

static gboolean has_streams (const RelayCall *call);
static gboolean stop_run (RelayCall *call, const char *why);
static void ensure_event (RelayCall *call);
static void drop_event (RelayCall *call);
static gboolean may_expect (const RelayCall *call, gint64 weights);

void
relay_stream_begin (RelayCall *call)
{
  qg_sse_init (&call->sse, MAX (call->info.resume_after, -1));
  call->sse.ordered = has_streams (call);
  call->sse.watched = call->relay->dialect->weights_field;
}

static gboolean
has_streams (const RelayCall *call)
{
  return call->route != NULL
         && (call->route->is_streaming || call->route->resumable);
}

gboolean
relay_stream_admit (RelayCall *call)
{
  if (!has_streams (call))
    return TRUE;
  if (call->info.resume_after == QG_RESUME_UNREADABLE)
    relay_call_refuse (call, 400, -1,
                       "the id of the last event is not a number");
  else if (call->info.resume_after > 0 && !call->route->resumable)
    relay_call_refuse (call, 503, -1,
                       "streams of this route cannot go on after an event; "
                       "begin it anew");
  else
    return TRUE;
  return FALSE;
}

gboolean
relay_stream_forward (RelayCall *call, const char *data, gsize len)
{
  gsize complete = qg_sse_feed (&call->sse, data, len);

  if (complete > 0)
    relay_version_began (call, qg_clock_now ());
  if (!call->sse.ordered)
    {
      relay_send_data (call, data, len);
      return TRUE;
    }
  if (complete > 0)
    {
      ensure_event (call);
      g_string_append_len (call->partial_event, data, (gssize)complete);
      relay_send_data (call, call->partial_event->str,
                       call->partial_event->len);
      drop_event (call);
    }
  if (call->sse.order != QG_SSE_IN_ORDER)
    return stop_run (call, qg_sse_order_text (call->sse.order));
  ensure_event (call);
  g_string_append_len (call->partial_event, data + complete,
                       (gssize)(len - complete));
  if (call->partial_event->len > QG_SSE_EVENT_MAX_BYTES)
    return stop_run (call, "the target sent an event that is too large");
  if (!relay_memory_take_event (call, call->partial_event->len))
    return stop_run (call, "the memory for events is used up");
  return TRUE;
}

static void
ensure_event (RelayCall *call)
{
  if (call->partial_event == NULL)
    call->partial_event = g_string_new (NULL);
}

/* A large buffer is not kept for the next event. */
static void
drop_event (RelayCall *call)
{
  if (call->partial_event != NULL
      && call->partial_event->allocated_len >= QG_BYTEBUDGET_LARGE_BYTES)
    {
      g_string_free (call->partial_event, TRUE);
      call->partial_event = NULL;
    }
  else if (call->partial_event != NULL)
    g_string_truncate (call->partial_event, 0);
  relay_memory_take_event (call, 0);
}

/* Returns FALSE, as the call may have ended. */
static gboolean
stop_run (RelayCall *call, const char *why)
{
  relay_send_reject (call, why);
  return FALSE;
}

gboolean
relay_stream_may_resume (const RelayCall *call)
{
  return call->route->resumable && call->is_event_stream
         && may_expect (call, call->sse.watched_value)
         && (call->chunked || call->until_close) && !call->sse.unnumbered
         && call->sends < call->route->max_targets
         && qg_dispatch_has_target (call->relay->dispatch, &call->job);
}

/* No target can have these weights and those that the caller expects. */
static gboolean
may_expect (const RelayCall *call, gint64 weights)
{
  return weights < 0 || call->info.weights == QG_WEIGHTS_NONE
         || call->info.weights == weights;
}

gboolean
relay_stream_expect (RelayCall *call, gint64 weights)
{
  call->sse.watched_value = weights;
  return may_expect (call, weights);
}

gboolean
relay_stream_has_expectation (const RelayCall *call)
{
  return call->sse.watched_value >= 0 || call->info.weights != QG_WEIGHTS_NONE;
}

/* The head of the first run is what the caller knows of the weights, so a run
 * with others would be joined to it unnoticed. */
gboolean
relay_stream_fits (const RelayCall *call, const RelayLink *link)
{
  return call->sse.watched_value < 0 || link->answer_info.weights < 0
         || link->answer_info.weights == call->sse.watched_value;
}

void
relay_stream_begin_run (RelayCall *call, const RelayLink *link)
{
  drop_event (call);
  qg_sse_next_run (&call->sse);
  call->sse.until_close = link->until_close;
  if (call->sse.watched_value < 0)
    call->sse.watched_value = link->answer_info.weights;
}

gboolean
relay_stream_may_end (const RelayCall *call, const RelayLink *link)
{
  return qg_sse_may_end (&call->sse, !link->until_close);
}

void
relay_stream_end (RelayCall *call)
{
  if (call->partial_event != NULL)
    relay_send_data (call, call->partial_event->str, call->partial_event->len);
}

const char *
relay_stream_format (const RelayCall *call, char text[QG_SSE_TEXT_BYTES])
{
  qg_sse_describe (&call->sse, call->info.resume_after, text);
  return text;
}
