#include "ssepass.h"

#include <string.h>

/* What a request states about the last event that its caller has. */
typedef enum
{
  ASKED_NOTHING,
  ASKED_NUMBER,
  ASKED_OTHER, /* an id that is no number */
} Asked;

static Asked read_asked (const char *value, gint64 *after);
static gboolean may_have_events (const QgSsePassHead *head);
static gboolean has_rest (const QgSsePassHead *head);
static char *take (QgSsePass *pass, const char *data, gsize len, gsize *n);

const char *
qg_ssepass_asked (Qg__Header *const *headers, gsize n)
{
  for (gsize i = 0; i < n; i++)
    if (g_ascii_strcasecmp (headers[i]->name, "Last-Event-Id") == 0
        && *headers[i]->value != '\0')
      return headers[i]->value;
  return "";
}

QgSsePassPlan
qg_ssepass_plan (const QgSsePassHead *head, gint64 *after)
{
  Asked asked = read_asked (head->asked, after);
  gboolean rejoins
      = head->joined && !g_str_equal (head->asked, head->run_asked);

  if (!may_have_events (head))
    return QG_SSEPASS_FREE;
  if (!head->is_event_stream)
    return asked == ASKED_NUMBER ? QG_SSEPASS_NO_STREAM : QG_SSEPASS_FREE;
  if (rejoins)
    return has_rest (head) ? QG_SSEPASS_SAME_RUN : QG_SSEPASS_NO_REST;
  return asked == ASKED_OTHER || head->packed ? QG_SSEPASS_FREE
                                              : QG_SSEPASS_NEW_RUN;
}

QgSsePass *
qg_ssepass_new (gint64 asked_after, gboolean rejoins)
{
  QgSsePass *pass = g_new0 (QgSsePass, 1);

  qg_sse_init (&pass->sse, asked_after);
  pass->sse.ordered = TRUE;
  if (rejoins && asked_after >= 0)
    qg_sse_rejoin (&pass->sse);
  pass->asked_after = asked_after;
  pass->held = g_string_new (NULL);
  return pass;
}

void
qg_ssepass_free (QgSsePass *pass)
{
  g_string_free (pass->held, TRUE);
  g_free (pass);
}

char *
qg_ssepass_feed (QgSsePass *pass, const char *data, gsize len, gsize *n)
{
  gsize complete;
  char *passed = NULL;

  *n = 0;
  if (pass->wrong != NULL)
    return NULL;
  complete = qg_sse_feed (&pass->sse, data, len);
  if (complete > 0)
    passed = take (pass, data, complete, n);
  if (pass->sse.order != QG_SSE_IN_ORDER)
    {
      pass->wrong = qg_sse_order_text (pass->sse.order);
      return passed;
    }
  g_string_append_len (pass->held, data + complete, (gssize)(len - complete));
  if (pass->held->len > QG_SSE_EVENT_MAX_BYTES)
    pass->wrong = "the target sent an event that is too large";
  return passed;
}

char *
qg_ssepass_end (QgSsePass *pass, gsize *n)
{
  *n = 0;
  if (pass->wrong == NULL
      && !qg_sse_may_end (&pass->sse, !pass->sse.until_close))
    pass->wrong = "the target ended the event stream early";
  return pass->wrong == NULL ? take (pass, "", 0, n) : NULL;
}

static Asked
read_asked (const char *value, gint64 *after)
{
  *after = -1;
  if (*value == '\0')
    return ASKED_NOTHING;
  *after = qg_sse_read_id (value);
  return *after >= 0 ? ASKED_NUMBER : ASKED_OTHER;
}

/* FALSE for errors, redirects, and answers that state that there is no more. */
static gboolean
may_have_events (const QgSsePassHead *head)
{
  return head->status < 300 && head->status != 204 && head->status != 205;
}

/* Whether the run of another request, which asked to go on after another event,
 * has all events after the caller's last one, and they can be found. */
static gboolean
has_rest (const QgSsePassHead *head)
{
  gint64 first;
  gint64 after;
  Asked run = read_asked (head->run_asked, &first);

  return read_asked (head->asked, &after) == ASKED_NUMBER && run != ASKED_OTHER
         && first <= after && !head->packed;
}

/* Returns what was held back and the first @len bytes of @data, without the
 * events that the caller has. */
static char *
take (QgSsePass *pass, const char *data, gsize len, gsize *n)
{
  gsize had = len > 0 ? pass->sse.had_bytes : 0;
  gsize held = had > 0 ? 0 : pass->held->len;
  char *passed;

  *n = held + len - had;
  passed = *n > 0 ? g_malloc (*n) : NULL;
  if (passed != NULL)
    {
      memcpy (passed, pass->held->str, held);
      memcpy (passed + held, data + had, len - had);
    }
  g_string_truncate (pass->held, 0);
  return passed;
}
