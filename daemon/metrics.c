#include "metrics.h"

#include "lib/event.h"

#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

void
qg_metrics_init (QgMetrics *metrics)
{
  metrics->text = g_string_new (NULL);
  metrics->family = NULL;
}

void
qg_metrics_add (QgMetrics *metrics, const char *family, const char *help,
                const char *labels, guint64 value)
{
  if (g_strcmp0 (metrics->family, family) != 0)
    g_string_append_printf (metrics->text,
                            "# HELP quetzalgate_%s %s\n"
                            "# TYPE quetzalgate_%s %s\n",
                            family, help, family,
                            g_str_has_suffix (family, "_total") ? "counter"
                                                                : "gauge");
  metrics->family = family;
  if (labels != NULL)
    g_string_append_printf (metrics->text,
                            "quetzalgate_%s{%s} %" G_GUINT64_FORMAT "\n",
                            family, labels, value);
  else
    g_string_append_printf (
        metrics->text, "quetzalgate_%s %" G_GUINT64_FORMAT "\n", family, value);
}

void
qg_metrics_add_events (QgMetrics *metrics)
{
  for (int i = 0; i < QG_N_EVENTS; i++)
    {
      char labels[64];

      if (qg_event_count ((QgEvent)i) == 0)
        continue;
      g_snprintf (labels, sizeof labels, "number=\"%d\",severity=\"%s\"",
                  qg_event_number ((QgEvent)i),
                  qg_severity_name (qg_event_severity ((QgEvent)i)));
      qg_metrics_add (metrics, "events_total",
                      "Events by number, see the catalogue.", labels,
                      qg_event_count ((QgEvent)i));
    }
  qg_metrics_add (metrics, "invariants_broken_total",
                  "Steps that were stopped since they would break a promise.",
                  NULL, qg_invariants_broken ());
}

void
qg_metrics_add_process (QgMetrics *metrics)
{
  struct rusage usage;
  unsigned long pages = 0;
  FILE *statm = fopen ("/proc/self/statm", "r");

  if (getrusage (RUSAGE_SELF, &usage) == 0)
    qg_metrics_add (
        metrics, "cpu_microseconds_total", "Processor time of this process.",
        NULL,
        (guint64)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1000000
            + (guint64)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec));
  if (statm == NULL)
    return;
  if (fscanf (statm, "%*u %lu", &pages) == 1)
    qg_metrics_add (metrics, "resident_bytes", "Resident memory.", NULL,
                    (guint64)pages * (guint64)sysconf (_SC_PAGESIZE));
  fclose (statm);
}

void
qg_metrics_add_traffic (QgMetrics *metrics, const char *role,
                        const QgPeerTraffic *traffic)
{
  guint64 data = 0;
  guint64 control = 0;
  char labels[128];

  for (guint i = 0; i < QG_PEER_KINDS; i++)
    if (i == QG__PEER_MSG__KIND_ASSIGN || i == QG__PEER_MSG__KIND_REPLY_HEAD
        || i == QG__PEER_MSG__KIND_REPLY_DATA)
      data += traffic->bytes_in[i] + traffic->bytes_out[i];
    else
      control += traffic->bytes_in[i] + traffic->bytes_out[i];
  g_snprintf (labels, sizeof labels, "role=\"%s\",kind=\"control\"", role);
  qg_metrics_add (metrics, "peer_bytes_total", "Bytes to and from peers.",
                  labels, control);
  g_snprintf (labels, sizeof labels, "role=\"%s\",kind=\"data\"", role);
  qg_metrics_add (metrics, "peer_bytes_total", "Bytes to and from peers.",
                  labels, data);
}

char *
qg_metrics_finish (QgMetrics *metrics)
{
  return g_string_free (metrics->text, FALSE);
}
