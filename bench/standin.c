/*
 * A stand-in (simulated) target: a model server with continuous batching
 * (--model) or a plain bookings service (--plain). It logs what it runs to a
 * journal for the checkers, one line per event with the monotonic time in
 * microseconds. docs/BENCH.md lists the options, the switches (options that
 * POST /switch/NAME sets at run time) and the lines of the journal.
 */
#include "bench/answer.h"
#include "bench/engine.h"
#include <getopt.h>
#include <json-glib/json-glib.h>
#include <unistd.h>

enum
{
  MAX_TOKENS = 1000000,
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
                          job->prompt_tokens, job->n_generated,
                          job->prompt_tokens + job->n_generated);
}

/* Sends one event of the stream; the last one has the token usage. */
static void
stream_event (Job *job, const char *delta, gboolean last)
{
  g_autofree char *usage = usage_json (job);
  g_autofree char *event = g_strdup_printf (
      "data: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\","
      "\"model\":\"%s\",\"choices\":[{\"index\":0,\"delta\":{%s%s%s},"
      "\"finish_reason\":%s}]%s%s}\n\n%s",
      job->prompt_id, opt.name, last ? "" : "\"content\":\"", delta,
      last ? "" : "\"", last ? "\"stop\"" : "null", last ? "," : "",
      last ? usage : "", last ? "data: [DONE]\n\n" : "");
  SoupMessageBody *body = soup_server_message_get_response_body (job->msg);
  soup_message_body_append (body, SOUP_MEMORY_COPY, event, strlen (event));
  if (last)
    soup_message_body_complete (body);
  soup_server_message_unpause (job->msg);
}

static void
respond_model (Job *job)
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
      job->prompt_id, opt.name, job->answer->str, usage);
  send_json (job->msg, SOUP_STATUS_OK, body);
  soup_server_message_unpause (job->msg);
}

static void
respond_plain (Job *job)
{
  g_autofree char *body = g_strdup_printf (
      "{\"booking\":\"%016" G_GINT64_MODIFIER "x\"}\n", job->seed);
  send_json (job->msg, SOUP_STATUS_OK, body);
  soup_server_message_unpause (job->msg);
}

/* ---- requests ---- */

static const char *
header_or_dash (SoupServerMessage *msg, const char *name)
{
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (msg);
  const char *value = soup_message_headers_get_one (headers, name);
  return value != NULL && value[0] != '\0' ? value : "-";
}

static char *
field_or_default (const char *text, const char *name, const char *otherwise)
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
  job->workspace
      = field_or_default (text, "ws", header_or_dash (msg, "X-Workspace"));
  job->prompt_id = field_or_default (text, "id", "-");
  job->request_id = header_or_dash (msg, "X-Request-Id");
  job->key = header_or_dash (msg, "Idempotency-Key");
  job->attempt = header_or_dash (msg, "X-Attempt");
  job->seed = answer_hash (0, text, strlen (text));
  return job;
}

static gboolean
reject_if_overloaded (SoupServerMessage *msg)
{
  if (!engine_overloaded (header_or_dash (msg, "X-Request-Id")))
    return FALSE;
  send_error (msg, SOUP_STATUS_SERVICE_UNAVAILABLE, "no room");
  return TRUE;
}

/* The content of the last message; NULL if the body isn't a chat request. */
static char *
last_message_content (JsonNode *root)
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
handle_chat (SoupServerMessage *msg)
{
  SoupMessageBody *body = soup_server_message_get_request_body (msg);
  g_autoptr (JsonParser) parser = json_parser_new ();
  json_parser_load_from_data (parser, body->data, body->length, NULL);
  JsonNode *root = json_parser_get_root (parser);
  g_autofree char *text = last_message_content (root);
  if (text == NULL)
    {
      send_error (msg, SOUP_STATUS_BAD_REQUEST, "messages[].content missing");
      return;
    }
  if (reject_if_overloaded (msg))
    return;
  JsonObject *chat_request = json_node_get_object (root);
  gint64 max_tokens = json_object_get_int_member_with_default (
      chat_request, "max_tokens", 64);
  g_autofree char *wanted = field_or_default (text, "tokens", "64");
  Job *job = job_new (msg, g_steal_pointer (&text));
  job->wanted = (guint)CLAMP (MIN (max_tokens, atoll (wanted)), 1, MAX_TOKENS);
  job->stream = json_object_get_boolean_member_with_default (chat_request,
                                                             "stream", FALSE);
  job->prompt_tokens = answer_prompt_tokens (job->text);
  if (job->stream)
    start_stream (msg);
  engine_submit (job);
}

static void
handle_plain (SoupServerMessage *msg, const char *path)
{
  if (reject_if_overloaded (msg))
    return;
  SoupMessageBody *body = soup_server_message_get_request_body (msg);
  g_autofree char *request_body
      = g_strndup (body->data ? body->data : "", body->length);
  const char *method = soup_server_message_get_method (msg);
  Job *job
      = job_new (msg, g_strdup_printf ("%s %s %s", method, path, request_body));
  g_autofree char *work_ms = answer_field (request_body, "tokens");
  job->wanted = (guint)(work_ms[0] != '\0' ? atoi (work_ms) : opt.work_ms);
  engine_submit (job);
}

/* With --fence check, rejects an order whose fencing number is below the
 * highest seen. */
static void
handle_order (SoupServerMessage *msg)
{
  static guint64 highest_order;
  guint64 number = g_ascii_strtoull (header_or_dash (msg, "X-Fence"), NULL, 10);
  gboolean stale = g_str_equal (opt.fence, "check") && number < highest_order;
  journal ("order %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %s", number,
           highest_order, stale ? "refused" : "accepted");
  highest_order = MAX (highest_order, number);
  if (stale)
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

/* The command-line options and the switches of /switch/NAME. A switch calls
 * on_switch after it has set the value. */
static const struct
{
  const char *name;
  char **text;
  double *number;
  void (*on_switch) (void);
} option_table[] = {
  { "port", NULL, &opt.port },
  { "name", &opt.name },
  { "journal", &opt.journal },
  { "poison", &opt.poison },
  { "fence", &opt.fence },
  { "slots", NULL, &opt.slots, engine_resume },
  { "cold-slots", NULL, &opt.cold_slots },
  { "queue", NULL, &opt.queue },
  { "cold-s", NULL, &opt.cold_s },
  { "cold-crash", NULL, &opt.cold_crash },
  { "token-ms", NULL, &opt.token_ms },
  { "batch-slow", NULL, &opt.batch_slow },
  { "prefill-us", NULL, &opt.prefill_us },
  { "work-ms", NULL, &opt.work_ms },
  { "slow", NULL, &opt.slow },
  { "stall", NULL, &opt.stall, engine_resume },
  { "cold", NULL, NULL, engine_go_cold },
  { "restart", NULL, NULL, restart },
  { "crash", NULL, NULL, crash },
};

static void
set_option (gsize i, const char *value)
{
  if (option_table[i].text != NULL)
    *option_table[i].text = g_strdup (value);
  else if (option_table[i].number != NULL)
    *option_table[i].number = g_ascii_strtod (value, NULL);
}

static void
handle_switch (SoupServerMessage *msg, const char *name, GHashTable *query)
{
  const char *value = query ? g_hash_table_lookup (query, "value") : NULL;
  for (gsize i = 0; i < G_N_ELEMENTS (option_table); i++)
    if (g_str_equal (option_table[i].name, name))
      {
        journal ("switch %s %s", name, value ? value : "-");
        set_option (i, value ? value : "");
        if (option_table[i].on_switch != NULL)
          option_table[i].on_switch ();
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
    handle_switch (msg, path + strlen ("/switch/"), query);
  else if (post && g_str_equal (path, "/order"))
    handle_order (msg);
  else if (!opt.model)
    handle_plain (msg, path);
  else if (post && g_str_equal (path, "/v1/chat/completions"))
    handle_chat (msg);
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
  (opt.model ? respond_model : respond_plain) (job);
}

static gboolean
read_options (int argc, char **argv)
{
  struct option long_options[G_N_ELEMENTS (option_table) + 3]
      = { { "plain", 0, 0, 'p' }, { "model", 0, 0, 'm' } };
  for (gsize i = 0; i < G_N_ELEMENTS (option_table); i++)
    long_options[i + 2]
        = (struct option){ option_table[i].name, 1, 0, 256 + (int)i };
  int c;
  while ((c = getopt_long (argc, argv, "", long_options, NULL)) >= 0)
    if (c >= 256)
      set_option ((gsize)c - 256, optarg);
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
      g_printerr ("standin: cannot listen on port %g: %s\n", opt.port,
                  error->message);
      return 1;
    }
  g_main_loop_run (g_main_loop_new (NULL, FALSE));
  return 0;
}
