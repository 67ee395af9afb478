/**
 * @file metrics.h
 * The counters of one process, as Prometheus text.
 */
#ifndef QG_METRICS_H
#define QG_METRICS_H

#include "peer.h"

G_BEGIN_DECLS

/** Text under construction: qg_metrics_add() per sample, in family order. */
typedef struct
{
  GString *text;
  const char *family;
} QgMetrics;

void qg_metrics_init (QgMetrics *metrics);

/**
 * Adds a sample.
 *
 * @param family without the prefix "quetzalgate_"; static.
 * @param help one line for people.
 * @param labels "name=\"value\"" or NULL.
 */
void qg_metrics_add (QgMetrics *metrics, const char *family, const char *help,
                     const char *labels, guint64 value);

/** Adds the events and their counts. */
void qg_metrics_add_events (QgMetrics *metrics);

/** Adds processor time and memory of this process. */
void qg_metrics_add_process (QgMetrics *metrics);

/** Adds frames and bytes to and from peers, by message kind; the answers'
 * own bytes (Assign, ReplyHead, ReplyData) are kind="data", all else is
 * kind="control". */
void qg_metrics_add_traffic (QgMetrics *metrics, const char *role,
                             const QgPeerTraffic *traffic);

/** The text; freed by the caller. */
char *qg_metrics_done (QgMetrics *metrics);

G_END_DECLS

#endif
