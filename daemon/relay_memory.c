#include "librelay.h"

/* The bytes of requests and answers that the relay holds, within the memory
 * that its settings name. */

static QgByteBudget *current_budget (QgRelay *relay);

void
relay_memory_start (QgRelay *relay)
{
  qg_bytebudget_init (&relay->bytes,
                      qg_bytebudget_memory (relay->settings->relay.memory_mb,
                                            qg_bytebudget_machine_memory ()));
  qg_h1_loop_share_receive (relay->loop, relay->bytes.kernel);
}

static QgByteBudget *
current_budget (QgRelay *relay)
{
  relay->bytes.buffered = qg_h1_loop_buffered (relay->loop);
  return &relay->bytes;
}

gboolean
relay_memory_take_body (RelayCall *call, gsize bytes)
{
  if (bytes <= call->body_held)
    return TRUE;
  if (qg_bytebudget_resize (current_budget (call->relay), call->body_held,
                            bytes))
    {
      call->body_held = bytes;
      return TRUE;
    }
  relay_call_refuse_unread (call, 503, RELAY_MEMORY_RETRY_MS * QG_MSEC,
                            "the memory for the bodies of requests is used up");
  return FALSE;
}

gboolean
relay_memory_take_event (RelayCall *call, gsize bytes)
{
  if (!qg_bytebudget_resize (current_budget (call->relay), call->event_held,
                             bytes))
    return FALSE;
  call->event_held = bytes;
  return TRUE;
}

void
relay_memory_drop_body (RelayCall *call)
{
  if (call->body->len < QG_BYTEBUDGET_LARGE_BYTES)
    return;
  relay_poison_keep_request_key (call);
  g_byte_array_unref (call->body);
  call->body = g_byte_array_new ();
  qg_bytebudget_resize (&call->relay->bytes, call->body_held, 0);
  call->body_held = 0;
}

void
relay_memory_return (RelayCall *call)
{
  qg_bytebudget_resize (&call->relay->bytes, call->body_held + call->event_held,
                        0);
  call->body_held = 0;
  call->event_held = 0;
}

gsize
relay_memory_unsent_max (QgRelay *relay)
{
  return qg_bytebudget_is_short (current_budget (relay))
             ? RELAY_UNSENT_SHORT_BYTES
             : RELAY_UNSENT_MAX_BYTES;
}
