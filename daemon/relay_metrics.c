#include "librelay.h"

static void add_notices (QgRelay *relay, QgMetrics *metrics);
static void add_end_checks (const QgRelay *relay, QgMetrics *metrics);
static void add_histogram (QgMetrics *metrics, const char *family,
                           const char *help, const RelayHistogram *histogram);

static void
add_histogram (QgMetrics *metrics, const char *family, const char *help,
               const RelayHistogram *histogram)
{
  guint64 sum = 0;

  for (guint n = 0; n <= RELAY_BUCKETS; n++)
    {
      char label[48];

      sum += histogram->bucket[n];
      if (n < RELAY_BUCKETS)
        g_snprintf (label, sizeof label, "le=\"%u\"", 1u << n);
      else
        g_snprintf (label, sizeof label, "le=\"+Inf\"");
      qg_metrics_add (metrics, family, help, label, sum);
    }
}

static void
add_notices (QgRelay *relay, QgMetrics *metrics)
{
  guint counts[QG_N_NOTICE_BARS];

  qg_dispatch_count_notices (relay->dispatch, counts, qg_clock_now ());
  for (guint i = 0; i < QG_N_NOTICE_BARS; i++)
    {
      char label[48];

      g_snprintf (label, sizeof label, "says=\"%s\"", qg_notice_name (i));
      qg_metrics_add (metrics, "relay_target_notices",
                      "Targets by what they say about themselves.", label,
                      counts[i]);
    }
  qg_metrics_add (metrics, "relay_sharers",
                  "Relays by whose number limits of the fleet are divided.",
                  NULL, qg_sharers_count (relay->sharers, qg_clock_now ()));
}

static void
add_end_checks (const QgRelay *relay, QgMetrics *metrics)
{
  static const char family[] = "relay_end_checks_total";
  static const char help[]
      = "Checks sent to targets whose answers ended with their connection, and "
        "what was found out about such answers.";

  qg_metrics_add (metrics, family, help, "outcome=\"sent\"", relay->end_checks);
  for (guint i = QG_ALIVE_PENDING + 1; i < QG_N_ALIVE_VERDICTS; i++)
    {
      char label[48];

      g_snprintf (label, sizeof label, "outcome=\"%s\"", qg_alive_name (i));
      qg_metrics_add (metrics, family, help, label, relay->end_verdicts[i]);
    }
}

static void
add_rollouts (const QgRelay *relay, QgMetrics *metrics)
{
  static const char *const labels[2][2] = {
    { "version=\"new\",outcome=\"good\"", "version=\"new\",outcome=\"bad\"" },
    { "version=\"old\",outcome=\"good\"", "version=\"old\",outcome=\"bad\"" }
  };

  for (guint version = 0; version < 2; version++)
    for (guint bad = 0; bad < 2; bad++)
      qg_metrics_add (metrics, "relay_rollout_answers_total",
                      "Answers during rollouts, by version.",
                      labels[version][bad],
                      relay->rollout_answers[version][bad]);
}

void
qg_relay_add_metrics (QgRelay *relay, QgMetrics *metrics)
{
  static const char *const names[RELAY_N_COUNTERS]
      = { "asked", "answered", "refused", "failed",  "broken",   "left",
          "bad",   "sent",     "again",   "not_run", "connects", "limited" };

  for (guint i = 0; i < RELAY_N_COUNTERS; i++)
    {
      char label[48];

      g_snprintf (label, sizeof label, "outcome=\"%s\"", names[i]);
      qg_metrics_add (metrics, "relay_requests_total",
                      "Requests of the relay by what became of them.", label,
                      relay->counts[i]);
    }
  qg_metrics_add (metrics, "relay_open", "Requests in progress.", NULL,
                  relay->calls);
  qg_metrics_add (metrics, "relay_waiting", "Requests that wait for a target.",
                  NULL, qg_dispatch_waiting_count (relay->dispatch));
  qg_metrics_add (metrics, "relay_targets", "Targets known.", NULL,
                  qg_dispatch_target_count (relay->dispatch));
  qg_metrics_add (metrics, "relay_bytes",
                  "Bytes of requests and answers that are held.", NULL,
                  relay->bytes.held + qg_h1_loop_buffered (relay->loop));
  add_end_checks (relay, metrics);
  add_rollouts (relay, metrics);
  add_notices (relay, metrics);
  add_histogram (metrics, "relay_first_ms_bucket",
                 "Time to the first piece of the answer, in ms.",
                 &relay->first_byte_times);
  add_histogram (metrics, "relay_whole_ms_bucket",
                 "Time to the whole answer, in ms.", &relay->answer_times);
}
