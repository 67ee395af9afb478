/*
 * A stand-in target: a model engine with continuous batching (--model) or a
 * plain bookings service (--plain). What it runs is written to a journal, one
 * line an event with a monotonic time in microseconds, which the checkers read.
 * docs/BENCH.md lists options, switches and lines of the journal.
 */
#include "bench/answer.h"
#include "bench/engine.h"
#include <getopt.h>
#include <json-glib/json-glib.h>
#include <unistd.h>

enum
{
  MOST_TOKENS = 1000000,
  EXIT_CRASH = 1
};

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

static char *
usage_json (const Job *job)
{
  return g_strdup_printf ("\"usage\":{\"prompt_tokens\":%u,"
                          "\"completion_tokens\":%u,\"total_tokens\":%u}",
                          job->prompt_tokens, job->made,
                          job->prompt_tokens + job->made);
}

/* Sends one event of the stream; the last one carries the usage. */
static void
stream_event (Job *job, const char *delta, gboolean last)
{
  g_autofree char *usage = usage_json (job);
  g_autofree char *event = g_strdup_printf (
      "data: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\","
      "\"model\":\"%s\",\"choices\":[{\"index\":0,\"delta\":{%s%s%s},"
      "\"finish_reason\":%s}]%s%s}\n\n%s",
      job->tag, opt.name, last ? "" : "\"content\":\"", delta, last ? "" : "\"",
      last ? "\"stop\"" : "null", last ? "," : "", last ? usage : "",
      last ? "data: [DONE]\n\n" : "");
  SoupMessageBody *body = soup_server_message_get_response_body (job->msg);
  soup_message_body_append (body, SOUP_MEMORY_COPY, event, strlen (event));
  if (last)
    soup_message_body_complete (body);
  soup_server_message_unpause (job->msg);
}

static void
answer_model (Job *job)
{
  if (job->stream)
    {
      stream_event (job, "", TRUE);
      return;
    }
  g_autofree char *usage = usage_json (job);
  g_autofree char *body = g_strdup_printf (
      "{\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion\",\"model\":\"%s\","
      "\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\","
      "\"content\":\"%s\"},\"finish_reason\":\"stop\"}],%s}\n",
      job->tag, opt.name, job->answer->str, usage);
  send_json (job->msg, SOUP_STATUS_OK, body);
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
job_new (SoupServerMessage *msg, char *text)
{
  Job *job = g_new0 (Job, 1);
  job->msg = g_object_ref (msg);
  job->text = text;
  job->answer = g_string_new (NULL);
  job->workspace = field_or (text, "ws", header (msg, "X-Workspace"));
  job->tag = field_or (text, "id", "-");
  job->request_id = header (msg, "X-Request-Id");
  job->key = header (msg, "Idempotency-Key");
  job->seed = answer_hash (0, text, strlen (text));
  return job;
}

static gboolean
refused (SoupServerMessage *msg)
{
  if (!engine_overloaded (header (msg, "X-Request-Id")))
    return FALSE;
  send_error (msg, SOUP_STATUS_SERVICE_UNAVAILABLE, "no room");
  return TRUE;
}

/* The content of the last message, or NULL if the body is no chat request. */
static char *
prompt_of (JsonNode *root)
{
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    return NULL;
  g_autoptr (JsonNode) found
      = json_path_query ("$.messages[*].content", root, NULL);
  JsonArray *contents = found ? json_node_get_array (found) : NULL;
  guint n = contents ? json_array_get_length (contents) : 0;
  JsonNode *last = n > 0 ? json_array_get_element (contents, n - 1) : NULL;
  return last && JSON_NODE_HOLDS_VALUE (last) ? json_node_dup_string (last)
                                              : NULL;
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
chat (SoupServerMessage *msg)
{
  SoupMessageBody *body = soup_server_message_get_request_body (msg);
  g_autoptr (JsonParser) parser = json_parser_new ();
  json_parser_load_from_data (parser, body->data, body->length, NULL);
  JsonNode *root = json_parser_get_root (parser);
  g_autofree char *text = prompt_of (root);
  if (text == NULL)
    {
      send_error (msg, SOUP_STATUS_BAD_REQUEST, "messages[].content missing");
      return;
    }
  if (refused (msg))
    return;
  JsonObject *chat_request = json_node_get_object (root);
  gint64 most = json_object_get_int_member_with_default (chat_request,
                                                         "max_tokens", 64);
  g_autofree char *wanted = field_or (text, "tokens", "64");
  Job *job = job_new (msg, g_steal_pointer (&text));
  job->wanted = (guint)CLAMP (MIN (most, atoll (wanted)), 1, MOST_TOKENS);
  job->stream = json_object_get_boolean_member_with_default (chat_request,
                                                             "stream", FALSE);
  job->prompt_tokens = answer_prompt_tokens (job->text);
  if (job->stream)
    start_stream (msg);
  engine_submit (job);
}

static void
plain (SoupServerMessage *msg, const char *path)
{
  if (refused (msg))
    return;
  SoupMessageBody *body = soup_server_message_get_request_body (msg);
  g_autofree char *sent
      = g_strndup (body->data ? body->data : "", body->length);
  const char *method = soup_server_message_get_method (msg);
  Job *job = job_new (msg, g_strdup_printf ("%s %s %s", method, path, sent));
  g_autofree char *work = answer_field (sent, "tokens");
  job->wanted = (guint)(work[0] != '\0' ? atoi (work) : opt.work_ms);
  engine_submit (job);
}

/* An order with a fencing number: refused when older than the newest seen. */
static void
order (SoupServerMessage *msg)
{
  static guint64 highest_order;
  guint64 number = g_ascii_strtoull (header (msg, "X-Fence"), NULL, 10);
  gboolean refused = g_str_equal (opt.fence, "check") && number < highest_order;
  journal ("order %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %s", number,
           highest_order, refused ? "refused" : "accepted");
  highest_order = MAX (highest_order, number);
  if (refused)
    send_error (msg, SOUP_STATUS_CONFLICT, "old order number");
  else
    send_json (msg, SOUP_STATUS_OK, "{\"accepted\":true}\n");
}

/* ---- options and switches ---- */

static void
crash (void)
{
  _exit (EXIT_CRASH);
}

static void
restart (void)
{
  engine_go_cold ();
  engine_new_boot ();
}

/* Every row is an option and a switch; a switch then calls "turn". */
static const struct
{
  const char *name;
  char **text;
  double *number;
  void (*turn) (void);
} rows[] = {
  { "port", NULL, &opt.port },
  { "name", &opt.name },
  { "journal", &opt.journal },
  { "poison", &opt.poison },
  { "fence", &opt.fence },
  { "slots", NULL, &opt.slots, engine_kick },
  { "cold-slots", NULL, &opt.cold_slots },
  { "queue", NULL, &opt.queue },
  { "cold-s", NULL, &opt.cold_s },
  { "cold-crash", NULL, &opt.cold_crash },
  { "token-ms", NULL, &opt.token_ms },
  { "batch-slow", NULL, &opt.batch_slow },
  { "prefill-us", NULL, &opt.prefill_us },
  { "work-ms", NULL, &opt.work_ms },
  { "slow", NULL, &opt.slow },
  { "stall", NULL, &opt.stall, engine_kick },
  { "cold", NULL, NULL, engine_go_cold },
  { "restart", NULL, NULL, restart },
  { "crash", NULL, NULL, crash },
};

static void
set_row (gsize i, const char *value)
{
  if (rows[i].text != NULL)
    *rows[i].text = g_strdup (value);
  else if (rows[i].number != NULL)
    *rows[i].number = g_ascii_strtod (value, NULL);
}

static void
turn_switch (SoupServerMessage *msg, const char *name, GHashTable *query)
{
  const char *value = query ? g_hash_table_lookup (query, "value") : NULL;
  for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
    if (g_str_equal (rows[i].name, name))
      {
        journal ("switch %s %s", name, value ? value : "-");
        set_row (i, value ? value : "");
        if (rows[i].turn != NULL)
          rows[i].turn ();
        send_json (msg, SOUP_STATUS_OK, "{\"ok\":true}\n");
        return;
      }
  send_error (msg, SOUP_STATUS_NOT_FOUND, "no such switch");
}

static void
on_request (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer data)
{
  gboolean post = g_str_equal (soup_server_message_get_method (msg), "POST");
  soup_message_headers_replace (soup_server_message_get_response_headers (msg),
                                "X-Boot-Id", engine_boot_id ());
  if (g_str_equal (path, "/health"))
    {
      g_autofree char *body = engine_health ();
      send_json (msg, SOUP_STATUS_OK, body);
    }
  else if (post && g_str_has_prefix (path, "/switch/"))
    turn_switch (msg, path + strlen ("/switch/"), query);
  else if (post && g_str_equal (path, "/order"))
    order (msg);
  else if (!opt.model)
    plain (msg, path);
  else if (post && g_str_equal (path, "/v1/chat/completions"))
    chat (msg);
  else
    send_error (msg, SOUP_STATUS_NOT_FOUND, "no such path");
}

static void
on_token (Job *job, const char *text)
{
  if (job->stream)
    stream_event (job, text, FALSE);
}

static void
on_done (Job *job)
{
  (opt.model ? answer_model : answer_plain) (job);
}

static gboolean
read_options (int argc, char **argv)
{
  struct option options[G_N_ELEMENTS (rows) + 3]
      = { { "plain", 0, 0, 'p' }, { "model", 0, 0, 'm' } };
  for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
    options[i + 2] = (struct option){ rows[i].name, 1, 0, 256 + (int)i };
  int c;
  while ((c = getopt_long (argc, argv, "", options, NULL)) >= 0)
    if (c >= 256)
      set_row ((gsize)c - 256, optarg);
    else if (c != '?')
      opt.model = c == 'm';
    else
      return FALSE;
  return opt.port > 0 && optind == argc;
}

int
main (int argc, char **argv)
{
  static const EngineOps ops = { on_token, on_done };
  if (!read_options (argc, argv))
    {
      g_printerr ("usage: standin --port N [--model|--plain] [--OPTION VALUE "
                  "...]; docs/BENCH.md lists the options\n");
      return 2;
    }
  g_autoptr (GError) error = NULL;
  engine_start (&ops);
  SoupServer *server = soup_server_new ("server-header", "standin ", NULL);
  soup_server_add_handler (server, NULL, on_request, NULL, NULL);
  if (!soup_server_listen_local (server, (guint)opt.port,
                                 SOUP_SERVER_LISTEN_IPV4_ONLY, &error))
    {
      g_printerr ("standin: port %g: %s\n", opt.port, error->message);
      return 1;
    }
  g_main_loop_run (g_main_loop_new (NULL, FALSE));
  return 0;
}
