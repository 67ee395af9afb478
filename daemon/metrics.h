/**
 * @file metrics.h
 * Formats the metrics of one process in the Prometheus text format.
 */
#ifndef QG_METRICS_H
#define QG_METRICS_H

#include "peer.h"

G_BEGIN_DECLS

/** Builds the text. Samples of the same family must be added in sequence. */
typedef struct
{
  GString *text;
  const char *family;
} QgMetrics;

void qg_metrics_init (QgMetrics *metrics);

/**
 * Adds a sample.
 *
 * @param family name without the prefix "quetzalgate_"; a static string. A name
 *   that ends in "_total" is a counter, any other a gauge.
 * @param help one line of description.
 * @param labels "name=\"value\"", or NULL for none.
 */
void qg_metrics_add (QgMetrics *metrics, const char *family, const char *help,
                     const char *labels, guint64 value);

/** Adds the counts of the events and of broken invariants. */
void qg_metrics_add_events (QgMetrics *metrics);

/** Adds processor time and memory of this process. */
void qg_metrics_add_process (QgMetrics *metrics);

/** Adds the bytes exchanged with peers. Messages that carry requests and
 * responses (Assign, ReplyHead, ReplyData) count as kind="data", all other
 * messages as kind="control". */
void qg_metrics_add_traffic (QgMetrics *metrics, const char *role,
                             const QgPeerTraffic *traffic);

/** Returns the text; free with g_free(). */
char *qg_metrics_finish (QgMetrics *metrics);

G_END_DECLS

#endif
