/* The engine of a stand-in target, see engine.h. */
#include "bench/engine.h"
#include "bench/answer.h"
#include <fcntl.h>
#include <stdarg.h>
#include <unistd.h>

enum
{
  REPORT_INTERVAL_MS = 100, /* of the "served" and "busy" journal lines */
  PLAIN_STEP_US = 1000,
  EXIT_POISON = 3,
  EXIT_OVERLOAD = 4
};

Options opt = { .name = "model",
                .poison = "",
                .fence = "check",
                .model = 1,
                .slots = 8,
                .cold_slots = 2,
                .queue = 1024,
                .work_ms = 50,
                .token_ms = 20,
                .batch_slow = 0.01,
                .prefill_us = 50,
                .slow = 1 };

static struct
{
  int journal_fd;
  char boot_id[24];
  /* Monotonic times in microseconds. busy_us is the busy time of all slots
   * since the last report. */
  gint64 cold_until, next_step, busy_since, busy_us;
  guint64 cold_excess, started;
  GQueue waiting, running;
  GHashTable *served; /* workspace -> tokens since the last report */
  guint step_timer;
  const EngineOps *ops;
} engine = { .journal_fd = -1 };

static void job_finish (Job *job);

void
journal (const char *format, ...)
{
  if (engine.journal_fd < 0)
    return;
  g_autoptr (GString) line = g_string_new (NULL);
  g_string_printf (line, "%" G_GINT64_FORMAT " ", g_get_monotonic_time ());
  va_list args;
  va_start (args, format);
  g_string_append_vprintf (line, format, args);
  va_end (args);
  g_string_append_c (line, '\n');
  if (write (engine.journal_fd, line->str, line->len) < 0)
    g_error ("cannot write to the journal %s", opt.journal);
}

void
engine_new_boot (void)
{
  g_snprintf (engine.boot_id, sizeof engine.boot_id, "%08x-%d", g_random_int (),
              getpid ());
  journal ("boot %s %s %g", engine.boot_id, opt.name, opt.slots);
}

void
engine_go_cold (void)
{
  engine.cold_until = g_get_monotonic_time () + (gint64)(opt.cold_s * 1e6);
}

static gboolean
is_cold (void)
{
  return g_get_monotonic_time () < engine.cold_until;
}

/* Adds the busy time of all slots since the last call. */
static void
update_busy_time (void)
{
  gint64 now = g_get_monotonic_time ();
  engine.busy_us += (now - engine.busy_since) * engine.running.length;
  engine.busy_since = now;
}

static void
add_served (const Job *job, guint units)
{
  gpointer old = g_hash_table_lookup (engine.served, job->workspace);
  g_hash_table_insert (engine.served, g_strdup (job->workspace),
                       GUINT_TO_POINTER (GPOINTER_TO_UINT (old) + units));
}

static void
job_free (Job *job)
{
  g_object_unref (job->msg);
  g_free (job->workspace);
  g_free (job->prompt_id);
  g_free (job->text);
  g_string_free (job->answer, TRUE);
  g_free (job);
}

static void
job_start (Job *job)
{
  update_busy_time ();
  g_queue_push_tail (&engine.running, job);
  job->started = TRUE;
  engine.started++;
  journal ("start %s %s %s %s %u %u %d %s", job->request_id, job->workspace,
           job->prompt_id, job->key, job->prompt_tokens, engine.running.length,
           is_cold (), job->attempt);
  if (opt.poison[0] != '\0' && strstr (job->text, opt.poison) != NULL)
    {
      journal ("poison %s %s", job->request_id, job->prompt_id);
      _exit (EXIT_POISON);
    }
  double wait_us = opt.model ? opt.prefill_us * job->prompt_tokens
                             : job->wanted * 1000 * opt.slow;
  job->ready_at = g_get_monotonic_time () + (gint64)wait_us;
  add_served (job, opt.model ? job->prompt_tokens : job->wanted);
}

static void
start_waiting_jobs (void)
{
  while (!opt.stall && engine.waiting.length > 0
         && engine.running.length < opt.slots)
    job_start (g_queue_pop_head (&engine.waiting));
}

/* Generates the next token of a running job; TRUE when the job is complete. */
static gboolean
job_step (Job *job, gint64 now)
{
  if (now < job->ready_at)
    return FALSE;
  if (!opt.model)
    return TRUE;
  gsize before = job->answer->len;
  answer_token (job->answer, job->seed, job->n_generated++);
  add_served (job, 1);
  if (job->stream)
    engine.ops->token (job, job->answer->str + before);
  return job->n_generated >= job->wanted;
}

static gint64
step_us (void)
{
  if (!opt.model)
    return PLAIN_STEP_US;
  double others = engine.running.length > 0 ? engine.running.length - 1.0 : 0.0;
  double us = opt.token_ms * 1000 * (1.0 + opt.batch_slow * others) * opt.slow;
  return MAX (1, (gint64)us);
}

static void
engine_step (gint64 now)
{
  GList *next;
  for (GList *at = engine.running.head; at != NULL; at = next)
    {
      next = at->next;
      if (job_step (at->data, now))
        job_finish (at->data);
    }
  start_waiting_jobs ();
}

/* Runs all steps that are due and sets the timer for the next one. */
static gboolean
on_step (gpointer data)
{
  engine.step_timer = 0;
  while (!opt.stall && engine.running.length > 0
         && engine.next_step <= g_get_monotonic_time ())
    {
      engine_step (g_get_monotonic_time ());
      engine.next_step += step_us ();
    }
  if (!opt.stall && engine.running.length > 0)
    {
      gint64 left_us = engine.next_step - g_get_monotonic_time ();
      engine.step_timer
          = g_timeout_add ((guint)(MAX (left_us, 0) / 1000 + 1), on_step, NULL);
    }
  return G_SOURCE_REMOVE;
}

void
engine_resume (void)
{
  start_waiting_jobs ();
  if (engine.step_timer != 0)
    return;
  engine.next_step = g_get_monotonic_time () + step_us ();
  on_step (NULL);
}

/* Removes a completed or cancelled job from its queue. */
static void
job_remove (Job *job, const char *outcome)
{
  update_busy_time ();
  if (!g_queue_remove (&engine.running, job))
    g_queue_remove (&engine.waiting, job);
  if (job->started)
    journal ("end %s %s %s %s %u %s", job->request_id, job->workspace,
             job->prompt_id, job->key, job->n_generated, outcome);
}

/* The caller disconnected: the job is cancelled, except that a plain service
 * completes a job that has started. */
static void
on_finished (SoupServerMessage *msg, gpointer data)
{
  Job *job = data;
  if (job->started && !opt.model)
    {
      job->disconnected = TRUE;
      return;
    }
  job_remove (job, "cancelled");
  job_free (job);
  engine_resume ();
}

static void
job_finish (Job *job)
{
  job_remove (job, "done");
  if (!job->disconnected)
    {
      g_signal_handlers_disconnect_by_data (job->msg, job);
      engine.ops->done (job);
    }
  job_free (job);
}

void
engine_submit (Job *job)
{
  g_signal_connect (job->msg, "finished", G_CALLBACK (on_finished), job);
  soup_server_message_pause (job->msg);
  g_queue_push_tail (&engine.waiting, job);
  engine_resume ();
}

gboolean
engine_overloaded (const char *request_id)
{
  guint in_flight = engine.running.length + engine.waiting.length;
  if (!is_cold () || in_flight < opt.cold_slots)
    return in_flight >= opt.slots + opt.queue;
  engine.cold_excess++;
  journal ("excess %s %u", request_id, in_flight);
  if (opt.cold_crash)
    _exit (EXIT_OVERLOAD);
  return TRUE;
}

const char *
engine_boot_id (void)
{
  return engine.boot_id;
}

char *
engine_health (void)
{
  return g_strdup_printf (
      "{\"status\":\"%s\",\"boot_id\":\"%s\",\"running\":%u,\"waiting\":%u,"
      "\"started\":%" G_GUINT64_FORMAT ",\"cold_excess\":%" G_GUINT64_FORMAT
      "}\n",
      is_cold () ? "cold" : "ok", engine.boot_id, engine.running.length,
      engine.waiting.length, engine.started, engine.cold_excess);
}

static gboolean
on_report (gpointer data)
{
  GHashTableIter iter;
  gpointer workspace, units;
  g_hash_table_iter_init (&iter, engine.served);
  while (g_hash_table_iter_next (&iter, &workspace, &units))
    journal ("served %s %u", (char *)workspace, GPOINTER_TO_UINT (units));
  g_hash_table_remove_all (engine.served);
  update_busy_time ();
  if (engine.busy_us > 0)
    journal ("busy %" G_GINT64_FORMAT, engine.busy_us);
  engine.busy_us = 0;
  return G_SOURCE_CONTINUE;
}

void
engine_start (const EngineOps *ops)
{
  engine.ops = ops;
  if (opt.journal != NULL)
    engine.journal_fd
        = open (opt.journal, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
  engine.served = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_timeout_add (REPORT_INTERVAL_MS, on_report, NULL);
  engine_new_boot ();
  engine_go_cold ();
}
