#include "call_events.h"

#include <string.h>

static const char *find_header (Qg__Header *const *headers, size_t n,
                                const char *name);
static gboolean is_event_stream (const Qg__ReplyHead *head);

QgStatus
qg_call_events_begin (QgCall *call, const Qg__ReplyHead *reply, QgErr *err)
{
  QgSsePassHead head = { 0 };
  QgSsePassPlan plan;
  gint64 after;

  call->joined = reply->joined;
  head.status = reply->status;
  head.is_event_stream = is_event_stream (reply);
  head.packed
      = *find_header (reply->headers, reply->n_headers, "Content-Encoding")
        != '\0';
  head.joined = reply->joined;
  head.asked = qg_ssepass_asked ((Qg__Header *const *)call->headers->pdata,
                                 call->headers->len);
  head.run_asked = reply->after;
  plan = qg_ssepass_plan (&head, &after);
  if (plan == QG_SSEPASS_NO_STREAM)
    return qg_fail (err, QG_E_UNKNOWN,
                    "the answer does not continue the event stream");
  if (plan == QG_SSEPASS_NO_REST)
    return qg_fail (err, QG_E_CONFLICT,
                    "the stored answer of this key does not go on after the "
                    "last event of this request; send it without "
                    "Last-Event-Id");
  if (plan == QG_SSEPASS_FREE)
    return QG_OK;
  call->events = qg_ssepass_new (after, plan == QG_SSEPASS_SAME_RUN);
  call->events->sse.until_close = reply->until_close;
  return QG_OK;
}

/* The value of a header, or "". */
static const char *
find_header (Qg__Header *const *headers, size_t n, const char *name)
{
  for (size_t i = 0; i < n; i++)
    if (g_ascii_strcasecmp (headers[i]->name, name) == 0)
      return headers[i]->value;
  return "";
}

static gboolean
is_event_stream (const Qg__ReplyHead *head)
{
  return g_ascii_strncasecmp (
             find_header (head->headers, head->n_headers, "Content-Type"),
             "text/event-stream", strlen ("text/event-stream"))
         == 0;
}
