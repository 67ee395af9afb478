/*
 * A stand-in target: a model engine with continuous batching (--model) or a
 * plain bookings service (--plain). What it runs is written to a journal, one
 * line an event with a monotonic time in microseconds, which the checkers read.
 */
#include "bench/answer.h"
#include <errno.h>
#include <fcntl.h>
#include <getopt.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

enum
{
  REPORT_MS = 100, /* interval of the "served" and "busy" lines */
  PLAIN_STEP_US = 1000,
  EXIT_CRASH = 1,
  EXIT_POISON = 3,
  EXIT_OVERLOAD = 4
};

typedef struct
{
  /* options */
  char *listen, *name, *journal, *poison, *fence;
  gboolean model, cold_crash;
  int slots, cold_slots, queue, work_ms;
  double token_ms, cold_s, batch_slow, prefill_us;
  /* switches */
  double slow;
  gboolean stalled;
  /* state */
  int journal_fd;
  char *boot_id;
  gint64 cold_until, next_step, busy_since, busy_us;
  guint64 highest_order, cold_excess, served_count;
  GQueue waiting, running;
  GHashTable *served; /* workspace -> tokens since the last report */
  GSource *stepper;
} Standin;

typedef struct
{
  Standin *self;
  SoupServerMessage *msg; /* NULL once the caller left */
  char *workspace, *request_id, *key, *tag, *text;
  guint64 seed;
  guint prompt_tokens, made, wanted;
  gboolean stream, started;
  gint64 ready_at;
  GString *answer;
} Job;

static void engine_arm (Standin *self);
static void job_finish (Job *job);

static void G_GNUC_PRINTF (2, 3)
    journal (Standin *self, const char *format, ...)
{
  if (self->journal_fd < 0)
    return;
  g_autoptr (GString) line = g_string_new (NULL);
  g_string_printf (line, "%" G_GINT64_FORMAT " ", g_get_monotonic_time ());
  va_list args;
  va_start (args, format);
  g_string_append_vprintf (line, format, args);
  va_end (args);
  g_string_append_c (line, '\n');
  if (write (self->journal_fd, line->str, line->len) < 0)
    g_error ("journal: %s", g_strerror (errno));
}

static void
new_boot (Standin *self)
{
  g_free (self->boot_id);
  self->boot_id = g_strdup_printf ("%08x%04x", g_random_int (), getpid ());
  journal (self, "boot %s %s %d", self->boot_id, self->name, self->slots);
}

static void
go_cold (Standin *self)
{
  self->cold_until
      = g_get_monotonic_time () + (gint64)(self->cold_s * G_USEC_PER_SEC);
}

static gboolean
is_cold (Standin *self)
{
  return g_get_monotonic_time () < self->cold_until;
}

/* Adds the time for which slots were busy up to now. */
static void
busy_count (Standin *self)
{
  gint64 now = g_get_monotonic_time ();
  self->busy_us += (now - self->busy_since) * self->running.length;
  self->busy_since = now;
}

static void
charge (Job *job, guint units)
{
  Standin *self = job->self;
  gpointer old = g_hash_table_lookup (self->served, job->workspace);
  g_hash_table_insert (self->served, g_strdup (job->workspace),
                       GUINT_TO_POINTER (GPOINTER_TO_UINT (old) + units));
}

static void
job_free (Job *job)
{
  g_clear_object (&job->msg);
  g_free (job->workspace);
  g_free (job->request_id);
  g_free (job->key);
  g_free (job->tag);
  g_free (job->text);
  g_string_free (job->answer, TRUE);
  g_free (job);
}

static void
send_json (SoupServerMessage *msg, guint status, const char *body)
{
  soup_server_message_set_status (msg, status, NULL);
  soup_server_message_set_response (msg, "application/json", SOUP_MEMORY_COPY,
                                    body, strlen (body));
}

static void
send_error (SoupServerMessage *msg, guint status, const char *text)
{
  g_autofree char *body
      = g_strdup_printf ("{\"error\":{\"message\":\"%s\"}}\n", text);
  send_json (msg, status, body);
}

/* ---- answers ---- */

static void
append_usage (const Job *job, GString *out)
{
  g_string_append_printf (out,
                          "\"usage\":{\"prompt_tokens\":%u,"
                          "\"completion_tokens\":%u,\"total_tokens\":%u}",
                          job->prompt_tokens, job->made,
                          job->prompt_tokens + job->made);
}

static void
stream_append (Job *job, const char *data, gsize len)
{
  if (job->msg == NULL)
    return;
  SoupMessageBody *body = soup_server_message_get_response_body (job->msg);
  soup_message_body_append (body, SOUP_MEMORY_COPY, data, len);
  soup_server_message_unpause (job->msg);
}

static void
stream_event (Job *job, const char *delta, gboolean last)
{
  g_autoptr (GString) out = g_string_new ("data: ");
  g_string_append_printf (out,
                          "{\"id\":\"chatcmpl-%016" G_GINT64_MODIFIER "x\","
                          "\"object\":\"chat.completion.chunk\",\"model\":"
                          "\"%s\",\"choices\":[{\"index\":0,\"delta\":{",
                          job->seed, job->self->name);
  if (last)
    {
      g_string_append (out, "},\"finish_reason\":\"stop\"}],");
      append_usage (job, out);
      g_string_append (out, "}\n\ndata: [DONE]\n\n");
    }
  else
    g_string_append_printf (
        out, "\"content\":\"%s\"},\"finish_reason\":null}]}\n\n", delta);
  stream_append (job, out->str, out->len);
}

static void
answer_model (Job *job)
{
  if (job->stream)
    {
      stream_event (job, "", TRUE);
      soup_message_body_complete (
          soup_server_message_get_response_body (job->msg));
      soup_server_message_unpause (job->msg);
      return;
    }
  g_autoptr (GString) out = g_string_new (NULL);
  g_string_printf (out,
                   "{\"id\":\"chatcmpl-%016" G_GINT64_MODIFIER "x\","
                   "\"object\":\"chat.completion\",\"model\":\"%s\","
                   "\"choices\":[{\"index\":0,\"message\":{\"role\":"
                   "\"assistant\",\"content\":\"%s\"},"
                   "\"finish_reason\":\"stop\"}],",
                   job->seed, job->self->name, job->answer->str);
  append_usage (job, out);
  g_string_append (out, "}\n");
  send_json (job->msg, SOUP_STATUS_OK, out->str);
  soup_server_message_unpause (job->msg);
}

static void
answer_plain (Job *job)
{
  g_autofree char *body = g_strdup_printf (
      "{\"booking\":\"%016" G_GINT64_MODIFIER "x\"}\n", job->seed);
  send_json (job->msg, SOUP_STATUS_OK, body);
  soup_server_message_unpause (job->msg);
}

/* ---- the engine ---- */

static void
job_start (Job *job)
{
  Standin *self = job->self;
  busy_count (self);
  g_queue_push_tail (&self->running, job);
  job->started = TRUE;
  self->served_count++;
  journal (self, "start %s %s %s %s %u %u %d", job->request_id, job->workspace,
           job->tag, job->key, job->prompt_tokens, self->running.length,
           is_cold (self));
  if (self->poison[0] != '\0' && strstr (job->text, self->poison) != NULL)
    {
      journal (self, "poison %s %s", job->request_id, job->tag);
      _exit (EXIT_POISON);
    }
  gint64 wait_us = self->model ? (gint64)(self->prefill_us * job->prompt_tokens)
                               : (gint64)(job->wanted * 1000 * self->slow);
  job->ready_at = g_get_monotonic_time () + wait_us;
  charge (job, self->model ? job->prompt_tokens : job->wanted);
}

static void
admit (Standin *self)
{
  while (!self->stalled && self->waiting.length > 0
         && self->running.length < (guint)self->slots)
    job_start (g_queue_pop_head (&self->waiting));
}

/* One token for a running sequence; TRUE when it has ended. */
static gboolean
job_step (Job *job, gint64 now)
{
  if (now < job->ready_at)
    return FALSE;
  if (!job->self->model)
    return TRUE;
  gsize before = job->answer->len;
  answer_token (job->answer, job->seed, job->made++);
  charge (job, 1);
  if (job->stream)
    stream_event (job, job->answer->str + before, FALSE);
  return job->made >= job->wanted;
}

static gint64
step_us (Standin *self)
{
  if (!self->model)
    return PLAIN_STEP_US;
  double crowd
      = 1.0 + self->batch_slow * MAX (0, (int)self->running.length - 1);
  return MAX (1, (gint64)(self->token_ms * 1000 * crowd * self->slow));
}

static void
engine_step (Standin *self, gint64 now)
{
  GList *next;
  for (GList *at = self->running.head; at != NULL; at = next)
    {
      next = at->next;
      if (job_step (at->data, now))
        job_finish (at->data);
    }
  admit (self);
}

static gboolean
on_step (gpointer data)
{
  Standin *self = data;
  gint64 now = g_get_monotonic_time ();
  while (!self->stalled && self->running.length > 0 && self->next_step <= now)
    {
      engine_step (self, now);
      self->next_step += step_us (self);
    }
  self->next_step = MAX (self->next_step, now - G_USEC_PER_SEC);
  gboolean idle = self->stalled || self->running.length == 0;
  g_source_set_ready_time (self->stepper, idle ? -1 : self->next_step);
  return G_SOURCE_CONTINUE;
}

static void
engine_arm (Standin *self)
{
  admit (self);
  if (self->stalled || g_source_get_ready_time (self->stepper) >= 0
      || self->running.length == 0)
    return;
  self->next_step = g_get_monotonic_time () + step_us (self);
  g_source_set_ready_time (self->stepper, self->next_step);
}

/* Takes the job out of the engine, whole or cut. */
static void
job_remove (Job *job, const char *how)
{
  Standin *self = job->self;
  busy_count (self);
  if (!g_queue_remove (&self->running, job))
    g_queue_remove (&self->waiting, job);
  if (job->started)
    journal (self, "end %s %s %s %s %u %s", job->request_id, job->workspace,
             job->tag, job->key, job->made, how);
}

static void
on_finished (SoupServerMessage *msg, gpointer data)
{
  Job *job = data;
  if (job->self->model || !job->started)
    {
      job_remove (job, "cancelled");
      engine_arm (job->self);
      job_free (job);
      return;
    }
  g_clear_object (&job->msg); /* a plain service runs on to its end */
}

static void
job_finish (Job *job)
{
  job_remove (job, "done");
  if (job->msg != NULL)
    {
      g_signal_handlers_disconnect_by_data (job->msg, job);
      (job->self->model ? answer_model : answer_plain) (job);
    }
  job_free (job);
}

/* ---- requests ---- */

static const char *
header (SoupServerMessage *msg, const char *name)
{
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (msg);
  const char *value = soup_message_headers_get_one (headers, name);
  return value != NULL && value[0] != '\0' ? value : "-";
}

static char *
field_or (const char *text, const char *name, const char *otherwise)
{
  g_autofree char *value = answer_field (text, name);
  return g_strdup (value[0] != '\0' ? value : otherwise);
}

static Job *
job_new (Standin *self, SoupServerMessage *msg, char *text)
{
  Job *job = g_new0 (Job, 1);
  job->self = self;
  job->msg = g_object_ref (msg);
  job->text = text;
  job->answer = g_string_new (NULL);
  job->workspace = field_or (text, "ws", header (msg, "X-Workspace"));
  job->tag = field_or (text, "id", "-");
  job->request_id = g_strdup (header (msg, "X-Request-Id"));
  job->key = g_strdup (header (msg, "Idempotency-Key"));
  job->seed = answer_hash (0, text, strlen (text));
  g_strdelimit (job->key, " ", '_');
  return job;
}

/* Refuses what the target cannot bear now; TRUE if it was refused. */
static gboolean
overloaded (Standin *self, SoupServerMessage *msg)
{
  int in_flight = (int)(self->running.length + self->waiting.length);
  if (is_cold (self) && in_flight >= self->cold_slots)
    {
      self->cold_excess++;
      journal (self, "excess %s %d", header (msg, "X-Request-Id"), in_flight);
      if (self->cold_crash)
        _exit (EXIT_OVERLOAD);
      send_error (msg, SOUP_STATUS_SERVICE_UNAVAILABLE, "cold");
      return TRUE;
    }
  if (in_flight < self->slots + self->queue)
    return FALSE;
  send_error (msg, SOUP_STATUS_SERVICE_UNAVAILABLE, "queue full");
  return TRUE;
}

static void
job_submit (Job *job)
{
  Standin *self = job->self;
  g_signal_connect (job->msg, "finished", G_CALLBACK (on_finished), job);
  soup_server_message_pause (job->msg);
  g_queue_push_tail (&self->waiting, job);
  engine_arm (self);
}

/* The content of the last message, or NULL if the body is no chat request. */
static char *
prompt_of (JsonNode *root)
{
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    return NULL;
  JsonObject *object = json_node_get_object (root);
  JsonNode *messages = json_object_get_member (object, "messages");
  if (messages == NULL || !JSON_NODE_HOLDS_ARRAY (messages))
    return NULL;
  JsonArray *list = json_node_get_array (messages);
  guint n = json_array_get_length (list);
  JsonNode *last = n > 0 ? json_array_get_element (list, n - 1) : NULL;
  if (last == NULL || !JSON_NODE_HOLDS_OBJECT (last))
    return NULL;
  const char *text = json_object_get_string_member_with_default (
      json_node_get_object (last), "content", NULL);
  return g_strdup (text);
}

static void
start_stream (SoupServerMessage *msg)
{
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (msg);
  soup_server_message_set_status (msg, SOUP_STATUS_OK, NULL);
  soup_message_headers_replace (headers, "Content-Type", "text/event-stream");
  soup_message_headers_set_encoding (headers, SOUP_ENCODING_CHUNKED);
  soup_message_body_set_accumulate (soup_server_message_get_response_body (msg),
                                    FALSE);
}

static void
chat (Standin *self, SoupServerMessage *msg)
{
  SoupMessageBody *body = soup_server_message_get_request_body (msg);
  g_autoptr (JsonParser) parser = json_parser_new ();
  json_parser_load_from_data (parser, body->data, body->length, NULL);
  JsonNode *root = json_parser_get_root (parser);
  char *text = prompt_of (root);
  if (text == NULL)
    {
      send_error (msg, SOUP_STATUS_BAD_REQUEST, "messages[].content missing");
      return;
    }
  if (overloaded (self, msg))
    {
      g_free (text);
      return;
    }
  JsonObject *object = json_node_get_object (root);
  Job *job = job_new (self, msg, text);
  gint64 most
      = json_object_get_int_member_with_default (object, "max_tokens", 64);
  g_autofree char *wanted = field_or (text, "tokens", "1000000");
  job->wanted = (guint)CLAMP (MIN (most, atoll (wanted)), 1, 1000000);
  job->stream
      = json_object_get_boolean_member_with_default (object, "stream", FALSE);
  job->prompt_tokens = answer_prompt_tokens (text);
  if (job->stream)
    start_stream (msg);
  job_submit (job);
}

static void
plain (Standin *self, SoupServerMessage *msg, const char *path)
{
  if (overloaded (self, msg))
    return;
  SoupMessageBody *body = soup_server_message_get_request_body (msg);
  const char *query = g_uri_get_query (soup_server_message_get_uri (msg));
  g_autofree char *sent
      = g_strndup (body->data ? body->data : "", body->length);
  char *text
      = g_strdup_printf ("%s %s?%s %s", soup_server_message_get_method (msg),
                         path, query ? query : "", sent);
  Job *job = job_new (self, msg, text);
  g_autofree char *work = field_or (text, "tokens", "");
  job->wanted
      = (guint)(work[0] ? CLAMP (atoi (work), 0, 60000) : self->work_ms);
  job_submit (job);
}

/* An order with a fencing number: refused when older than the newest seen. */
static void
order (Standin *self, SoupServerMessage *msg, GHashTable *query)
{
  const char *given = query ? g_hash_table_lookup (query, "number") : NULL;
  guint64 number
      = g_ascii_strtoull (given ? given : header (msg, "X-Fence"), NULL, 10);
  gboolean checks = g_str_equal (self->fence, "check");
  gboolean refused = checks && number < self->highest_order;
  journal (self, "order %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %s", number,
           self->highest_order, refused ? "refused" : "accepted");
  self->highest_order = MAX (self->highest_order, number);
  if (refused)
    send_error (msg, SOUP_STATUS_CONFLICT, "old order number");
  else
    send_json (msg, SOUP_STATUS_OK, "{\"accepted\":true}\n");
}

static void
health (Standin *self, SoupServerMessage *msg)
{
  g_autofree char *body = g_strdup_printf (
      "{\"status\":\"%s\",\"boot_id\":\"%s\",\"running\":%u,\"waiting\":%u,"
      "\"served\":%" G_GUINT64_FORMAT ",\"cold_excess\":%" G_GUINT64_FORMAT
      "}\n",
      is_cold (self) ? "cold" : "ok", self->boot_id, self->running.length,
      self->waiting.length, self->served_count, self->cold_excess);
  send_json (msg, SOUP_STATUS_OK, body);
}

/* ---- switches ---- */

static void
switch_crash (Standin *self, const char *value)
{
  _exit (EXIT_CRASH);
}

static void
switch_stall (Standin *self, const char *value)
{
  self->stalled = atoi (value) != 0;
  engine_arm (self);
}

static void
switch_slow (Standin *self, const char *value)
{
  self->slow = MAX (0.01, g_ascii_strtod (value, NULL));
}

/* Without a value the target turns cold silently; "restart" shows a new boot.
 */
static void
switch_cold (Standin *self, const char *value)
{
  go_cold (self);
  if (g_str_equal (value, "restart"))
    new_boot (self);
}

static void
switch_cold_crash (Standin *self, const char *value)
{
  self->cold_crash = atoi (value) != 0;
}

static void
switch_poison (Standin *self, const char *value)
{
  g_free (self->poison);
  self->poison = g_strdup (value);
}

static void
switch_fence (Standin *self, const char *value)
{
  g_free (self->fence);
  self->fence = g_strdup (value);
}

static const struct
{
  const char *name;
  void (*turn) (Standin *self, const char *value);
} switches[] = {
  { "crash", switch_crash },   { "stall", switch_stall },
  { "slow", switch_slow },     { "cold", switch_cold },
  { "poison", switch_poison }, { "cold-crash", switch_cold_crash },
  { "fence", switch_fence },
};

static void
turn_switch (Standin *self, SoupServerMessage *msg, const char *name,
             GHashTable *query)
{
  const char *value = query ? g_hash_table_lookup (query, "value") : NULL;
  for (gsize i = 0; i < G_N_ELEMENTS (switches); i++)
    if (g_str_equal (switches[i].name, name))
      {
        journal (self, "switch %s %s", name, value ? value : "-");
        switches[i].turn (self, value ? value : "");
        send_json (msg, SOUP_STATUS_OK, "{\"ok\":true}\n");
        return;
      }
  send_error (msg, SOUP_STATUS_NOT_FOUND, "no such switch");
}

static void
on_request (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer data)
{
  Standin *self = data;
  gboolean post = g_str_equal (soup_server_message_get_method (msg), "POST");
  soup_message_headers_replace (soup_server_message_get_response_headers (msg),
                                "X-Boot-Id", self->boot_id);
  if (g_str_equal (path, "/health"))
    health (self, msg);
  else if (post && g_str_has_prefix (path, "/switch/"))
    turn_switch (self, msg, path + strlen ("/switch/"), query);
  else if (g_str_equal (path, "/order"))
    order (self, msg, query);
  else if (!self->model)
    plain (self, msg, path);
  else if (post && g_str_equal (path, "/v1/chat/completions"))
    chat (self, msg);
  else
    send_error (msg, SOUP_STATUS_NOT_FOUND, "no such path");
}

static gboolean
on_report (gpointer data)
{
  Standin *self = data;
  GHashTableIter iter;
  gpointer workspace, units;
  g_hash_table_iter_init (&iter, self->served);
  while (g_hash_table_iter_next (&iter, &workspace, &units))
    journal (self, "served %s %u", (char *)workspace, GPOINTER_TO_UINT (units));
  g_hash_table_remove_all (self->served);
  busy_count (self);
  if (self->busy_us > 0)
    journal (self, "busy %" G_GINT64_FORMAT, self->busy_us);
  self->busy_us = 0;
  return G_SOURCE_CONTINUE;
}

/* ---- start ---- */

static gboolean
stepper_dispatch (GSource *source, GSourceFunc callback, gpointer data)
{
  return callback (data);
}

static GSourceFuncs stepper_funcs = { NULL, NULL, stepper_dispatch, NULL };

static gboolean
start (Standin *self, GError **error)
{
  self->journal_fd = -1;
  if (self->journal != NULL)
    self->journal_fd
        = open (self->journal, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
  self->served = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  self->slow = 1.0;
  self->stepper = g_source_new (&stepper_funcs, sizeof (GSource));
  g_source_set_callback (self->stepper, on_step, self, NULL);
  g_source_set_ready_time (self->stepper, -1);
  g_source_attach (self->stepper, NULL);
  g_timeout_add (REPORT_MS, on_report, self);
  new_boot (self);
  go_cold (self);
  g_autoptr (GSocketConnectable) address
      = g_network_address_parse (self->listen, 0, error);
  if (address == NULL)
    return FALSE;
  g_autoptr (GSocketAddress) socket_address
      = g_inet_socket_address_new_from_string (
          g_network_address_get_hostname (G_NETWORK_ADDRESS (address)),
          g_network_address_get_port (G_NETWORK_ADDRESS (address)));
  SoupServer *server = soup_server_new ("server-header", "standin ", NULL);
  soup_server_add_handler (server, NULL, on_request, self, NULL);
  return soup_server_listen (server, socket_address, 0, error);
}

static int
usage (const struct option *options)
{
  fputs ("usage: standin --listen IP:PORT [--model | --plain] [OPTION VALUE]\n",
         stderr);
  for (; options->name != NULL; options++)
    fprintf (stderr, "  --%s\n", options->name);
  return 2;
}

static gboolean
read_options (Standin *self, int argc, char **argv)
{
  static const struct option options[] = { { "listen", 1, 0, 'l' },
                                           { "model", 0, 0, 'm' },
                                           { "plain", 0, 0, 'p' },
                                           { "name", 1, 0, 'n' },
                                           { "journal", 1, 0, 'j' },
                                           { "slots", 1, 0, 's' },
                                           { "cold-slots", 1, 0, 'c' },
                                           { "cold-s", 1, 0, 'C' },
                                           { "cold-crash", 0, 0, 'x' },
                                           { "queue", 1, 0, 'q' },
                                           { "token-ms", 1, 0, 't' },
                                           { "batch-slow", 1, 0, 'b' },
                                           { "prefill-us", 1, 0, 'f' },
                                           { "work-ms", 1, 0, 'w' },
                                           { "poison", 1, 0, 'P' },
                                           { "fence", 1, 0, 'F' },
                                           { 0 } };
  char **texts[128] = { ['l'] = &self->listen,
                        ['n'] = &self->name,
                        ['j'] = &self->journal,
                        ['P'] = &self->poison,
                        ['F'] = &self->fence };
  int *counts[128] = { ['s'] = &self->slots,
                       ['c'] = &self->cold_slots,
                       ['q'] = &self->queue,
                       ['w'] = &self->work_ms };
  double *reals[128] = { ['C'] = &self->cold_s,
                         ['t'] = &self->token_ms,
                         ['b'] = &self->batch_slow,
                         ['f'] = &self->prefill_us };
  int c;
  while ((c = getopt_long (argc, argv, "", options, NULL)) >= 0)
    if (texts[c] != NULL)
      *texts[c] = optarg;
    else if (counts[c] != NULL)
      *counts[c] = atoi (optarg);
    else if (reals[c] != NULL)
      *reals[c] = g_ascii_strtod (optarg, NULL);
    else if (c == 'm' || c == 'p')
      self->model = c == 'm';
    else if (c == 'x')
      self->cold_crash = TRUE;
    else
      return usage (options) == 0;
  return self->listen != NULL || usage (options) == 0;
}

int
main (int argc, char **argv)
{
  static Standin self = { .name = "model",
                          .model = TRUE,
                          .slots = 8,
                          .cold_slots = 2,
                          .queue = 1024,
                          .work_ms = 50,
                          .token_ms = 20,
                          .batch_slow = 0.01,
                          .prefill_us = 50 };
  self.poison = g_strdup ("");
  self.fence = g_strdup ("check");
  if (!read_options (&self, argc, argv))
    return 2;
  self.poison = g_strdup (self.poison);
  self.fence = g_strdup (self.fence);
  g_autoptr (GError) error = NULL;
  if (!start (&self, &error))
    {
      fprintf (stderr, "standin: %s: %s\n", self.listen, error->message);
      return 1;
    }
  g_main_loop_run (g_main_loop_new (NULL, FALSE));
  return 0;
}
