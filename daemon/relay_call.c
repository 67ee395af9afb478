#include "librelay.h"

#include <math.h>
#include <string.h>

/** Multiples of it modulo 1 are spread evenly. */
#define GOLDEN_RATIO 0.6180339887

/** Fraction of a request's aim (intended time to the first answer) that the
 * request may wait for a target; the rest of the aim is for reading the prompt.
 */
#define OWED_WAIT_FRACTION 0.5
/** The same fraction for a request beyond its workspace's share. This request
 * is refused sooner, because requests within their share go first. */
#define SPARE_WAIT_FRACTION 0.3

static gboolean is_forwarded (const QgH1Head *head, const QgH1Header *header,
                              const QgDialect *dialect);
static gboolean is_connection_option (const QgH1Head *head, QgSlice name);
static void copy_headers (RelayCall *call, const QgH1Head *head);
static guint check_head (RelayCall *call, const QgH1Head *head);
static void read_url (RelayCall *call, const QgH1Head *head);
static void find_route (RelayCall *call);
static void on_timeout (gpointer user);
static gboolean ends_within_grace (const RelayCall *call, QgTime now);
static gboolean check_workspace (RelayCall *call, QgTime now);
static double demand_factor (const RelayCall *call, QgTime now);
static void fill_job (RelayCall *call, QgTime now);
static guint32 split_hash (const RelayCall *call);

RelayCall *
relay_call_new (RelayCaller *caller, const QgH1Head *head)
{
  RelayCall *call = g_new0 (RelayCall, 1);
  QgRelay *relay = caller->relay;

  call->relay = relay;
  call->caller = caller;
  call->id = ++relay->next_id;
  call->job.arrived = qg_clock_now ();
  call->timer.fire = on_timeout;
  call->timer.user = call;
  call->headers = g_string_sized_new (512);
  call->keep_alive = head->keep_alive;
  call->http_1_0 = head->http_1_0;
  relay->calls++;
  RELAY_COUNT (relay, ASKED);
  relay->dialect->read_request (head, &call->info);
  if (call->info.resumes.len > 0)
    call->resumes
        = qg_origin_attempt (call->info.resumes.data, call->info.resumes.len);
  call->began_by = g_strndup (call->info.resumes.data, call->info.resumes.len);
  call->stream
      = qg_origin_attempt (call->info.attempt.data, call->info.attempt.len);
  call->attempt = g_strndup (call->info.attempt.data, call->info.attempt.len);
  call->method = g_strdup (head->method);
  read_url (call, head);
  call->key = g_strndup (call->info.key.data, call->info.key.len);
  call->early_status = check_head (call, head);
  call->body = g_byte_array_new ();
  relay_stream_begin (call);
  copy_headers (call, head);
  return call;
}

/* Splits an absolute URL, whose host replaces the Host header (RFC
 * 9112, 3.2.2), into host and path. */
static void
read_url (RelayCall *call, const QgH1Head *head)
{
  static const char scheme[] = "http://";
  gsize skip = sizeof scheme - 1;
  QgSlice host = qg_h1_header (head, "Host");
  QgSlice url = head->url;

  call->absolute_url
      = url.len > skip && g_ascii_strncasecmp (url.data, scheme, skip) == 0;
  if (call->absolute_url)
    {
      const char *path = memchr (url.data + skip, '/', url.len - skip);
      gsize len = path != NULL ? (gsize)(path - url.data) : url.len;

      host = (QgSlice){ url.data + skip, len - skip };
      url = (QgSlice){ url.data + len, url.len - len };
    }
  call->host = g_strndup (host.data, host.len);
  call->url = url.len > 0 ? g_strndup (url.data, url.len) : g_strdup ("/");
}

const char *
relay_call_log_id (const RelayCall *call)
{
  return call->attempt[0] != '\0' ? call->attempt : "-";
}

const char *
relay_call_workspace (const RelayCall *call)
{
  return call->workspace != NULL ? call->workspace->name : "-";
}

/* Checks what can be refused before the body is read, such as its length, and
 * answers "Expect: 100-continue". Returns the status of the refusal, or 0. */
static guint
check_head (RelayCall *call, const QgH1Head *head)
{
  const QgLimits *limits = relay_limits (call->relay);
  QgSlice expects = qg_h1_header (head, "Expect");
  guint hosts = 0;

  for (guint i = 0; i < head->n_headers; i++)
    hosts += qg_slice_is (head->headers[i].name, "Host") ? 1 : 0;
  if (hosts != 1 || call->url[0] != '/' || strchr (call->host, '@') != NULL
      || call->info.unreadable != NULL)
    return 400;
  if (head->length > (gint64)limits->body_bytes)
    return 413;
  if (qg_slice_is (expects, "100-continue"))
    qg_h1_printf (call->caller->conn, "HTTP/1.1 100 Continue\r\n\r\n");
  return 0;
}

/* The manifest that is in force when the last byte of the request has come
 * decides: the body may take seconds, and meanwhile a key may be withdrawn or a
 * route changed. */
static void
find_route (RelayCall *call)
{
  const QgManifest *manifest = call->relay->board->manifest;

  if (manifest == NULL)
    return;
  call->manifest = qg_manifest_ref (call->relay->board->manifest);
  call->route = qg_manifest_find_route (
      manifest, call->host, strlen (call->host), call->url, strlen (call->url));
  if (call->key[0] != '\0')
    call->workspace
        = qg_manifest_find_workspace (manifest, call->key, strlen (call->key));
  relay_stream_begin (call);
}

static gboolean
is_connection_option (const QgH1Head *head, QgSlice name)
{
  for (guint i = 0; i < head->n_headers; i++)
    {
      const QgH1Header *header = &head->headers[i];
      g_autofree char *text = NULL;
      g_auto (GStrv) items = NULL;

      if (!qg_slice_is (header->name, "Connection"))
        continue;
      text = g_strndup (header->value.data, header->value.len);
      items = g_strsplit (text, ",", -1);
      for (guint n = 0; items[n] != NULL; n++)
        if (qg_slice_is (name, g_strstrip (items[n])))
          return TRUE;
    }
  return FALSE;
}

/* FALSE for headers that are dropped: hop-by-hop headers and headers that the
 * relay sets itself. */
static gboolean
is_forwarded (const QgH1Head *head, const QgH1Header *header,
              const QgDialect *dialect)
{
  static const char *const hop[] = { "Connection",
                                     "Keep-Alive",
                                     "Proxy-Connection",
                                     "Proxy-Authenticate",
                                     "TE",
                                     "Trailer",
                                     "Proxy-Authorization",
                                     "Transfer-Encoding",
                                     "Upgrade",
                                     "Content-Length",
                                     "Expect" };

  for (gsize i = 0; i < G_N_ELEMENTS (hop); i++)
    if (qg_slice_is (header->name, hop[i]))
      return FALSE;
  return !dialect->is_reserved_header (header->name)
         && !is_connection_option (head, header->name);
}

static void
copy_headers (RelayCall *call, const QgH1Head *head)
{
  for (guint i = 0; i < head->n_headers; i++)
    {
      const QgH1Header *header = &head->headers[i];

      if (!is_forwarded (head, header, call->relay->dialect)
          || (call->absolute_url && qg_slice_is (header->name, "Host")))
        continue;
      g_string_append_len (call->headers, header->name.data,
                           (gssize)header->name.len);
      g_string_append (call->headers, ": ");
      g_string_append_len (call->headers, header->value.data,
                           (gssize)header->value.len);
      g_string_append (call->headers, "\r\n");
    }
  if (call->absolute_url)
    g_string_append_printf (call->headers, "Host: %s\r\n", call->host);
}

void
relay_call_add_body (RelayCall *call, const char *data, gsize len)
{
  if (call->state != RELAY_READING)
    return;
  if (call->body->len + len > relay_limits (call->relay)->body_bytes)
    {
      call->keep_alive = FALSE;
      relay_call_refuse (call, 413, -1, "the request body exceeds the limit");
      return;
    }
  if (!relay_memory_take_body (call, call->body->len + len))
    return;
  g_byte_array_append (call->body, (const guint8 *)data, (guint)len);
}

void
relay_call_admit (RelayCall *call)
{
  QgRelay *relay = call->relay;
  QgTime now = qg_clock_now ();

  if (relay->draining && !ends_within_grace (call, now))
    {
      relay_call_refuse (call, 503, 0,
                         "the relay is shutting down; retry elsewhere");
      return;
    }
  find_route (call);
  if (call->manifest == NULL)
    {
      relay_call_refuse (call, 503, QG_SEC, "no manifest received yet");
      return;
    }
  if (call->route == NULL)
    {
      relay_call_refuse (call, 404, -1, "no route matches the host and path");
      return;
    }
  if (!check_workspace (call, now) || !relay_stream_admit (call))
    return;
  fill_job (call, now);
  if (call->job.service == NULL || call->job.deadline <= now)
    {
      relay_call_refuse (call, 503, -1,
                         "no service to send to, or the deadline has passed");
      return;
    }
  qg_h1_timer_set (relay->loop, &call->timer, call->job.deadline);
  if (relay_version_bind (call, now))
    relay_call_submit (call, now);
}

void
relay_call_submit (RelayCall *call, QgTime now)
{
  QgRelay *relay = call->relay;

  if (relay_poison_is_quarantined (call))
    {
      relay_call_refuse (call, 503, RELAY_QUARANTINE_RETRY_S * QG_SEC,
                         "this request, or requests with a part of its prompt, "
                         "crash targets; an operator can lift the quarantine");
      return;
    }
  qg_resend_budget_add_request (
      relay_resend_budget (relay, call->job.service->name),
      relay_retry_window (relay), now);
  call->state = RELAY_WAITING;
  if (!qg_dispatch_has_target (relay->dispatch, &call->job))
    {
      relay_call_refuse (call, 503, QG_SEC / 2, "no eligible target is known");
      return;
    }
  if (call->share == QG_SHARE_BEYOND)
    {
      relay_call_refuse (
          call, 503, qg_dispatch_retry_after (relay->dispatch, &call->job, now),
          "the workspace exceeds its share");
      return;
    }
  qg_dispatch_submit (relay->dispatch, &call->job);
}

double
relay_call_units (const RelayCall *call)
{
  return (double)call->job.prompt + 2.0 * call->job.output;
}

/* An answer that would outlast the grace period is left to another process,
 * because this process would cut the answer off. */
static gboolean
ends_within_grace (const RelayCall *call, QgTime now)
{
  const QgRelay *relay = call->relay;
  QgTime grace = (QgTime)(relay->settings->relay.grace_s * (double)QG_SEC);
  QgTime elapsed = now - relay->drain_began;
  QgTime run_time = (QgTime)call->info.output * RELAY_MS_PER_TOKEN * QG_MSEC;

  return elapsed <= RELAY_DRAIN_SERVE_MS * QG_MSEC
         && run_time < grace - elapsed - QG_SEC;
}

static gboolean
check_workspace (RelayCall *call, QgTime now)
{
  if (!call->manifest->requires_key || call->route->anonymous)
    {
      call->workspace = NULL;
      return TRUE;
    }
  if (!relay_may_serve_keys (call->relay, now))
    {
      relay_call_refuse (call, 503, QG_SEC,
                         "cut off from control; keys may have been revoked");
      return FALSE;
    }
  if (call->workspace == NULL)
    {
      relay_call_refuse (call, 401, -1, "unknown key");
      return FALSE;
    }
  return TRUE;
}

/* A number that selects one of the route's splits: evenly distributed over 32
 * bits, and the same for each attempt of a request. */
static guint32
split_hash (const RelayCall *call)
{
  guint64 x = call->id * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15);

  return (guint32)(x >> 32);
}

/* Few requests within the share of their workspace are refused unparsed, so
 * those that are taken show its demand. */
static double
demand_factor (const RelayCall *call, QgTime now)
{
  if (qg_share_gate_is_within (call->relay->shares, call->workspace->name, now))
    return 1;
  return qg_intake_demand_factor (&call->relay->intake);
}

static void
fill_job (RelayCall *call, QgTime now)
{
  QgDispatchJob *job = &call->job;
  const QgRoute *route = call->route;
  QgTime wait;

  job->service
      = qg_manifest_choose_service (call->manifest, route, split_hash (call));
  job->route_regions = route->regions;
  job->priority = route->priority;
  job->rollout_draw = fmod ((double)call->id * GOLDEN_RATIO, 1);
  if (call->workspace != NULL)
    {
      job->workspace_regions = call->workspace->regions;
      job->workspace = call->workspace->index + 1;
      if (call->workspace->has_priority)
        job->priority = call->workspace->priority;
    }
  job->prompt = call->info.prompt;
  job->output = call->info.output;
  job->n_parts = call->info.n_parts;
  memcpy (job->parts, call->info.parts, sizeof job->parts);
  job->aim = route->aim > 0 ? route->aim : route->timeout;
  job->deadline = job->arrived + route->timeout;
  if (call->info.timeout >= 0)
    job->deadline = MIN (job->deadline, job->arrived + call->info.timeout);
  if (call->workspace != NULL && job->service != NULL && job->service->is_model)
    call->share = qg_share_gate_admit (
        call->relay->shares, call->workspace->name, relay_call_units (call),
        demand_factor (call, now), now);
  job->over_share = call->share != QG_SHARE_OWED;
  wait = (QgTime)((double)job->aim
                  * (job->over_share ? SPARE_WAIT_FRACTION
                                     : OWED_WAIT_FRACTION));
  job->start_by = MIN (now + wait, job->deadline);
}

static void
on_timeout (gpointer user)
{
  RelayCall *call = user;

  if (call->state == RELAY_WAITING)
    {
      qg_dispatch_withdraw (call->relay->dispatch, &call->job);
      relay_call_refuse (call, call->may_have_run ? 504 : 503, -1,
                         "the deadline has passed");
    }
  else if (call->state == RELAY_SENT)
    {
      relay_send_cancel (call, QG_DISPATCH_CALLER_LEFT);
      relay_call_refuse (call, 504, -1,
                         "the target did not answer before the deadline");
    }
  else if (call->state == RELAY_FORWARDING)
    relay_send_abort (call, "the deadline has passed");
  else if (call->state == RELAY_BINDING)
    relay_call_refuse (call, 503, -1, "the deadline has passed");
}

void
relay_call_caller_left (RelayCall *call)
{
  char events[QG_SSE_TEXT_BYTES];

  RELAY_COUNT (call->relay, LEFT);
  qg_event (QG_EV_CALL_LEFT, "id=%s state=%d after_ms=%" G_GINT64_FORMAT " %s",
            relay_call_log_id (call), call->state,
            (qg_clock_now () - call->job.arrived) / QG_MSEC,
            relay_stream_format (call, events));
  qg_dispatch_withdraw (call->relay->dispatch, &call->job);
  relay_send_cancel (call, QG_DISPATCH_CALLER_LEFT);
  call->caller->call = NULL;
  call->caller = NULL;
  relay_call_end (call);
}

void
relay_call_end (RelayCall *call)
{
  RelayCaller *caller = call->caller;
  QgRelay *relay = call->relay;

  qg_dispatch_withdraw (relay->dispatch, &call->job);
  relay_version_withdraw (call);
  qg_h1_timer_clear (relay->loop, &call->timer);
  if (call->target != NULL)
    qg_dispatch_target_unref (call->target);
  call->state = RELAY_ENDED;
  relay->calls--;
  if (caller != NULL)
    {
      caller->close_after = caller->close_after || !call->keep_alive;
      relay_caller_next (caller);
    }
  relay_memory_return (call);
  qg_manifest_unref (call->manifest);
  g_string_free (call->headers, TRUE);
  g_byte_array_unref (call->body);
  if (call->partial_event != NULL)
    g_string_free (call->partial_event, TRUE);
  g_free (call->host);
  g_free (call->key);
  g_free (call->attempt);
  g_free (call->began_by);
  g_free (call->method);
  g_free (call->url);
  g_free (call);
}
