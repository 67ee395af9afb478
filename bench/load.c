/*
 * Load generator: sends the requests of a plan file to the entries of a fleet,
 * or directly to stand-in (simulated) targets. It compares each answer with the
 * expected one, resends a request whose connection is lost (a post with the
 * same Idempotency-Key) and prints a summary of all outcomes as JSON.
 *   load --entries IP:PORT,... --plan FILE --seconds S [--log FILE] [--seed N]
 *        [--direct] [--resends N] [--timeout S]
 * Each line of the plan describes one stream of requests:
 *   WORKSPACE KEY SERVICE KIND USERS RATE LOW HIGH FROM TO
 * KIND is chat (streamed), chat1 (not streamed), post (with Idempotency-Key) or
 * get. With USERS > 0, that many callers each send the next request when the
 * previous one ends; otherwise requests arrive at random (Poisson), RATE a
 * second. Sizes are log-uniform, LOW..HIGH tokens (milliseconds for post and
 * get). The stream runs from FROM to TO, in seconds from the start.
 */
#include "bench/answer.h"
#include <getopt.h>
#include <libsoup/soup.h>
#include <math.h>
#include <stdio.h>

enum
{
  TICK_MS = 2,
  READ_BYTES = 16384,
  RESEND_DELAY_MS = 50
};

typedef enum
{
  KIND_CHAT,
  KIND_CHAT1,
  KIND_POST,
  KIND_GET,
  N_KINDS
} Kind;

static const char *const kind_names[N_KINDS]
    = { "chat", "chat1", "post", "get" };

typedef enum
{
  OUT_ANSWERED,
  OUT_WRONG,   /* complete, but not the answer to this request */
  OUT_REFUSED, /* an error status, from an entry with a problem document */
  OUT_CUT,     /* the answer ended early */
  OUT_LOST,    /* connection lost before any of the answer */
  N_OUTCOMES
} Outcome;

static const char *const outcome_names[N_OUTCOMES]
    = { "answered", "wrong", "refused", "cut", "lost" };

typedef struct
{
  char *workspace, *key, *service;
  Kind kind;
  SoupSession *session;
  guint users, main_entry;
  double rate, low, high;
  gint64 from, to, next_at; /* microseconds after the start */
} Stream;

typedef struct
{
  const Stream *stream;
  guint id, tokens, entry, attempt, status;
  char *prompt;
  gint64 started_at, first_byte_at; /* monotonic, in microseconds */
  SoupMessage *msg;
  GInputStream *input;
  GString *body;
} Request;

static struct
{
  char **entries, *plan, *log, *prefix;
  double seconds, timeout;
  guint resends, seed;
  gboolean direct;
} opt = { .seconds = 10, .timeout = 30, .resends = 3, .seed = 1 };

static GMainLoop *loop;
static GPtrArray *streams;
static GRand *rng;
static GHashTable *refusals; /* "status/kind/run" -> count */
static GArray *latencies_us, *first_bytes_us;
static FILE *log_file;
static gint64 load_started_at;
static guint next_id, in_flight, outcomes[N_OUTCOMES], resent;

static void request_send (Request *request);
static void read_more (Request *request);
static void request_new (const Stream *stream);

static gint64
elapsed_us (void)
{
  return g_get_monotonic_time () - load_started_at;
}

/* ---- checking of answers ---- */

static char *
expected_answer (const Request *request)
{
  GString *out = g_string_new (NULL);
  g_autofree char *body
      = request->stream->kind == KIND_POST ? g_strdup_printf (
            "POST /bookings {\"job\":\"%s\"}", request->prompt)
        : request->stream->kind == KIND_GET ? g_strdup ("GET /stock ")
                                            : g_strdup (request->prompt);
  guint64 seed = answer_hash (0, body, strlen (body));
  if (request->stream->kind >= KIND_POST)
    g_string_printf (out, "{\"booking\":\"%016" G_GINT64_MODIFIER "x\"}\n",
                     seed);
  else
    for (guint i = 0; i < request->tokens; i++)
      answer_token (out, seed, i);
  return g_string_free (out, FALSE);
}

/* All "content" members of the body, concatenated without unescaping. */
static char *
received_answer (const Request *request)
{
  static const char key_text[] = "\"content\":\"";
  if (request->stream->kind >= KIND_POST)
    return g_strdup (request->body->str);
  GString *out = g_string_new (NULL);
  const char *at = request->body->str;
  while ((at = strstr (at, key_text)) != NULL)
    {
      at += strlen (key_text);
      gsize len = strcspn (at, "\"");
      g_string_append_len (out, at, (gssize)len);
      at += len;
    }
  return g_string_free (out, FALSE);
}

static Outcome
check_answer (const Request *request)
{
  g_autofree char *wanted = expected_answer (request);
  g_autofree char *got = received_answer (request);
  if (request->status != SOUP_STATUS_OK)
    return OUT_REFUSED;
  if (request->stream->kind == KIND_CHAT
      && strstr (request->body->str, "data: [DONE]") == NULL)
    return OUT_CUT;
  return g_str_equal (wanted, got) ? OUT_ANSWERED : OUT_WRONG;
}

static char *
json_member (const char *json, const char *name)
{
  g_autofree char *key_text = g_strdup_printf ("\"%s\"", name);
  const char *at = strstr (json, key_text);
  at = at ? strchr (at + strlen (key_text), '"') : NULL;
  return at ? g_strndup (at + 1, strcspn (at + 1, "\"")) : g_strdup ("none");
}

/* ---- the end of a request ---- */

static void
request_free (Request *request)
{
  g_clear_object (&request->msg);
  g_clear_object (&request->input);
  g_string_free (request->body, TRUE);
  g_free (request->prompt);
  g_free (request);
}

static char *
refusal_text (const Request *request)
{
  g_autofree char *kind = json_member (request->body->str, "kind");
  g_autofree char *run = json_member (request->body->str, "run");
  return g_strdup_printf ("%u/%s/%s", request->status, kind, run);
}

static void
log_request (const Request *request, const char *outcome, const char *detail)
{
  if (log_file == NULL)
    return;
  gint64 now = g_get_monotonic_time ();
  fprintf (log_file,
           "%" G_GINT64_FORMAT " %s%u %s %s %s %u %s %s %" G_GINT64_FORMAT
           " %" G_GINT64_FORMAT " %u\n",
           request->started_at, opt.prefix, request->id,
           request->stream->workspace, request->stream->service,
           kind_names[request->stream->kind], request->tokens, outcome, detail,
           request->first_byte_at ? request->first_byte_at - request->started_at
                                  : -1,
           now - request->started_at, request->attempt);
}

static void
request_end (Request *request, Outcome outcome)
{
  g_autofree char *detail
      = outcome == OUT_REFUSED ? refusal_text (request) : g_strdup ("-");
  const Stream *stream = request->stream;
  outcomes[outcome]++;
  if (outcome == OUT_REFUSED)
    {
      gpointer n = g_hash_table_lookup (refusals, detail);
      g_hash_table_replace (refusals, g_strdup (detail),
                            GUINT_TO_POINTER (GPOINTER_TO_UINT (n) + 1));
    }
  if (outcome == OUT_ANSWERED)
    {
      gint64 took = g_get_monotonic_time () - request->started_at;
      gint64 first = request->first_byte_at - request->started_at;
      g_array_append_val (latencies_us, took);
      g_array_append_val (first_bytes_us, first);
    }
  log_request (request, outcome_names[outcome], detail);
  request_free (request);
  in_flight--;
  if (stream->users > 0 && elapsed_us () < stream->to)
    request_new (stream);
}

static gboolean
on_resend_timer (gpointer data)
{
  request_send (data);
  return G_SOURCE_REMOVE;
}

/* Resends a request whose connection was lost, through the next entry. */
static void
request_connection_lost (Request *request, const GError *error)
{
  Outcome outcome = request->body->len > 0 ? OUT_CUT : OUT_LOST;
  if (request->attempt >= opt.resends)
    {
      request_end (request, outcome);
      return;
    }
  g_autofree char *why
      = g_strdelimit (g_strdup (error ? error->message : "ended"), " ", '_');
  log_request (request, outcome == OUT_CUT ? "resend-cut" : "resend", why);
  resent++;
  request->attempt++;
  request->entry++;
  request->first_byte_at = 0;
  g_string_truncate (request->body, 0);
  g_clear_object (&request->msg);
  g_clear_object (&request->input);
  g_timeout_add (RESEND_DELAY_MS, on_resend_timer, request);
}

/* ---- sending and reading ---- */

static void
on_read (GObject *source, GAsyncResult *result, gpointer data)
{
  Request *request = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) bytes = g_input_stream_read_bytes_finish (
      G_INPUT_STREAM (source), result, &error);
  if (bytes == NULL)
    {
      request_connection_lost (request, error);
      return;
    }
  gsize len;
  const char *text = g_bytes_get_data (bytes, &len);
  if (len == 0)
    {
      Outcome outcome = check_answer (request);
      if (outcome == OUT_CUT)
        request_connection_lost (request, NULL);
      else
        request_end (request, outcome);
      return;
    }
  if (request->first_byte_at == 0)
    request->first_byte_at = g_get_monotonic_time ();
  g_string_append_len (request->body, text, (gssize)len);
  read_more (request);
}

static void
read_more (Request *request)
{
  g_input_stream_read_bytes_async (request->input, READ_BYTES,
                                   G_PRIORITY_DEFAULT, NULL, on_read, request);
}

static void
on_sent (GObject *source, GAsyncResult *result, gpointer data)
{
  Request *request = data;
  g_autoptr (GError) error = NULL;
  request->input
      = soup_session_send_finish (SOUP_SESSION (source), result, &error);
  if (request->input == NULL)
    {
      request_connection_lost (request, error);
      return;
    }
  request->status = soup_message_get_status (request->msg);
  read_more (request);
}

static char *
request_path (const Stream *stream)
{
  const char *rest = stream->kind == KIND_POST ? "bookings" : "stock";
  if (stream->kind < KIND_POST)
    return g_strdup ("/v1/chat/completions");
  return opt.direct
             ? g_strdup_printf ("/%s", rest)
             : g_strdup_printf ("/services/%s/%s", stream->service, rest);
}

static char *
request_body (const Request *request)
{
  if (request->stream->kind == KIND_POST)
    return g_strdup_printf ("{\"job\":\"%s\"}", request->prompt);
  guint max_tokens = 16;
  while (max_tokens < request->tokens)
    max_tokens *= 2;
  return g_strdup_printf (
      "{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%u,\"messages\":[{"
      "\"role\":\"user\",\"content\":\"%s\"}]}",
      request->stream->service,
      request->stream->kind == KIND_CHAT ? "true" : "false", max_tokens,
      request->prompt);
}

static void
request_send (Request *request)
{
  const Stream *stream = request->stream;
  guint n = g_strv_length (opt.entries);
  g_autofree char *path = request_path (stream);
  g_autofree char *uri
      = g_strdup_printf ("http://%s%s", opt.entries[request->entry % n], path);
  request->msg
      = soup_message_new (stream->kind == KIND_GET ? "GET" : "POST", uri);
  SoupMessageHeaders *headers = soup_message_get_request_headers (request->msg);
  g_autofree char *bearer = g_strdup_printf ("Bearer %s", stream->key);
  soup_message_headers_append (headers, "Authorization", bearer);
  g_autofree char *attempt = g_strdup_printf ("%u", request->attempt);
  soup_message_headers_append (headers, "X-Attempt", attempt);
  if (stream->kind == KIND_POST)
    {
      g_autofree char *key = g_strdup_printf ("%s%u", opt.prefix, request->id);
      soup_message_headers_append (headers, "Idempotency-Key", key);
    }
  if (stream->kind != KIND_GET)
    {
      char *body = request_body (request);
      g_autoptr (GBytes) bytes = g_bytes_new_take (body, strlen (body));
      soup_message_set_request_body_from_bytes (request->msg,
                                                "application/json", bytes);
    }
  soup_session_send_async (stream->session, request->msg, G_PRIORITY_DEFAULT,
                           NULL, on_sent, request);
}

static void
request_new (const Stream *stream)
{
  Request *request = g_new0 (Request, 1);
  double spread = log (stream->high / stream->low);
  request->stream = stream;
  request->id = ++next_id;
  request->tokens = (guint)(stream->low * exp (g_rand_double (rng) * spread));
  /* 70 % of a stream's requests use one entry: the entries' load is uneven. */
  request->entry
      = g_rand_double (rng) < 0.7 ? stream->main_entry : g_rand_int (rng);
  request->prompt
      = g_strdup_printf ("id=%s%u ws=%s tokens=%u", opt.prefix, request->id,
                         stream->workspace, request->tokens);
  request->body = g_string_new (NULL);
  request->started_at = g_get_monotonic_time ();
  in_flight++;
  request_send (request);
}

/* ---- streams of requests ---- */

static void
stream_send_due (Stream *stream, gint64 now)
{
  if (now < stream->from || now >= stream->to)
    return;
  if (stream->users > 0 && stream->next_at <= stream->from)
    {
      for (guint i = 0; i < stream->users; i++)
        request_new (stream);
      stream->next_at = stream->to;
    }
  while (stream->users == 0 && stream->next_at <= now)
    {
      request_new (stream);
      double gap_s = -log (1.0 - g_rand_double (rng)) / stream->rate;
      stream->next_at += (gint64)(gap_s * G_USEC_PER_SEC);
    }
}

static gboolean
on_tick (gpointer data)
{
  gint64 now = elapsed_us (), end = (gint64)(opt.seconds * G_USEC_PER_SEC);
  for (guint i = 0; i < streams->len && now < end; i++)
    stream_send_due (streams->pdata[i], now);
  gint64 timeout_us = (gint64)(opt.timeout * G_USEC_PER_SEC);
  if (now >= end && (in_flight == 0 || now >= end + timeout_us))
    g_main_loop_quit (loop);
  return G_SOURCE_CONTINUE;
}

static Kind
parse_kind (const char *name)
{
  for (Kind kind = 0; kind < N_KINDS; kind++)
    if (g_str_equal (kind_names[kind], name))
      return kind;
  g_printerr ("load: unknown request kind %s\n", name);
  exit (2);
}

static void
read_stream (char **word, guint number)
{
  Stream *stream = g_new0 (Stream, 1);
  gint64 end = (gint64)(opt.seconds * G_USEC_PER_SEC);
  stream->workspace = g_strdup (word[0]);
  stream->key = g_strdup (word[1]);
  stream->service = g_strdup (word[2]);
  stream->kind = parse_kind (word[3]);
  stream->users = (guint)atoi (word[4]);
  stream->rate = g_ascii_strtod (word[5], NULL);
  stream->low = g_ascii_strtod (word[6], NULL);
  stream->high = g_ascii_strtod (word[7], NULL);
  stream->from = (gint64)(g_ascii_strtod (word[8], NULL) * G_USEC_PER_SEC);
  stream->to
      = MIN (end, (gint64)(g_ascii_strtod (word[9], NULL) * G_USEC_PER_SEC));
  stream->next_at = stream->from;
  stream->main_entry = number;
  /* A session scans all of its idle connections; one session per stream keeps
   * the scan short. */
  stream->session = soup_session_new_with_options (
      "max-conns", 4096, "max-conns-per-host", 2048, "timeout",
      (guint)opt.timeout, "proxy-resolver", NULL, NULL);
  g_ptr_array_add (streams, stream);
}

static void
read_plan (void)
{
  g_autofree char *text = NULL;
  streams = g_ptr_array_new ();
  if (!g_file_get_contents (opt.plan, &text, NULL, NULL))
    {
      g_printerr ("load: cannot read %s\n", opt.plan);
      exit (2);
    }
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      g_auto (GStrv) word = g_strsplit (g_strstrip (lines[i]), " ", -1);
      if (g_strv_length (word) == 10)
        read_stream (word, i);
      else if (lines[i][0] != '\0')
        g_printerr ("load: plan line %u: expected 10 words\n", i + 1);
    }
}

/* ---- the summary ---- */

static int
compare_times (const void *a, const void *b)
{
  gint64 x = *(const gint64 *)a, y = *(const gint64 *)b;
  return (x > y) - (x < y);
}

static void
print_quantiles (const char *name, GArray *values)
{
  static const int per_mille[] = { 500, 950, 990 };
  g_array_sort (values, compare_times);
  for (guint i = 0; i < G_N_ELEMENTS (per_mille); i++)
    {
      gint64 value = 0;
      guint at = values->len * (guint)per_mille[i] / 1000;
      if (values->len > 0)
        value = g_array_index (values, gint64, MIN (at, values->len - 1));
      printf ("\"%s_p%d_ms\":%.3f,", name, per_mille[i] / 10,
              (double)value / 1000);
    }
}

static void
print_summary (void)
{
  GHashTableIter iter;
  gpointer key, value;
  const char *separator = "";
  printf ("{\"requests\":%u,\"resent\":%u,", next_id, resent);
  for (int i = 0; i < N_OUTCOMES; i++)
    printf ("\"%s\":%u,", outcome_names[i], outcomes[i]);
  print_quantiles ("latency", latencies_us);
  print_quantiles ("first", first_bytes_us);
  printf ("\"refusals\":{");
  g_hash_table_iter_init (&iter, refusals);
  for (; g_hash_table_iter_next (&iter, &key, &value); separator = ",")
    printf ("%s\"%s\":%u", separator, (char *)key, GPOINTER_TO_UINT (value));
  printf ("},\"unfinished\":%u}\n", in_flight);
}

static gboolean
read_options (int argc, char **argv)
{
  static const struct option options[] = { { "entries", 1, 0, 'e' },
                                           { "plan", 1, 0, 'p' },
                                           { "seconds", 1, 0, 's' },
                                           { "log", 1, 0, 'l' },
                                           { "seed", 1, 0, 'S' },
                                           { "direct", 0, 0, 'd' },
                                           { "resends", 1, 0, 'r' },
                                           { "timeout", 1, 0, 't' },
                                           { 0 } };
  int c;
  while ((c = getopt_long (argc, argv, "", options, NULL)) >= 0)
    switch (c)
      {
      case 'e':
        opt.entries = g_strsplit (optarg, ",", -1);
        break;
      case 'p':
        opt.plan = optarg;
        break;
      case 's':
        opt.seconds = g_ascii_strtod (optarg, NULL);
        break;
      case 'l':
        opt.log = optarg;
        break;
      case 'S':
        opt.seed = (guint)atoi (optarg);
        break;
      case 'd':
        opt.direct = TRUE;
        break;
      case 'r':
        opt.resends = (guint)atoi (optarg);
        break;
      case 't':
        opt.timeout = g_ascii_strtod (optarg, NULL);
        break;
      default:
        return FALSE;
      }
  return opt.entries != NULL && opt.plan != NULL;
}

int
main (int argc, char **argv)
{
  if (!read_options (argc, argv))
    {
      g_printerr ("usage: load --entries IP:PORT,... --plan FILE --seconds S "
                  "[--log FILE] [--seed N] [--direct] [--resends N] "
                  "[--timeout S]\n");
      return 2;
    }
  opt.prefix = g_strdup_printf ("%u-%x-", opt.seed, g_random_int () & 0xffff);
  rng = g_rand_new_with_seed (opt.seed);
  refusals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  latencies_us = g_array_new (FALSE, FALSE, sizeof (gint64));
  first_bytes_us = g_array_new (FALSE, FALSE, sizeof (gint64));
  log_file = opt.log ? fopen (opt.log, "a") : NULL;
  read_plan ();
  load_started_at = g_get_monotonic_time ();
  loop = g_main_loop_new (NULL, FALSE);
  g_timeout_add (TICK_MS, on_tick, NULL);
  g_main_loop_run (loop);
  print_summary ();
  if (log_file != NULL)
    fclose (log_file);
  return 0;
}
