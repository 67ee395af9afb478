/**
 * @file slope_claim.c
 * Measures the claim table at several numbers of keys: the time of a claim with
 * its settlement and of a rejected resend, the memory per key, and the time and
 * size of a snapshot.
 */
#include "lib/claim.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  N_AGENTS = 5700,
  N_WORKSPACES = 12000,
};

static void measure (guint keys);
static Qg__ClaimVerdict claim_key (QgClaims *claims, guint key, guint64 seq);
static void settle_key (QgClaims *claims, guint key, guint64 seq);
static void format_name (char *out, gsize size, const char *kind, guint number);

int
main (void)
{
  static const guint sizes[] = { 1000, 10000, 100000, 300000 };

  printf ("  keys  claim_and_settle_us  resend_us  bytes_a_key  snapshot_ms"
          "  snapshot_bytes_a_key\n");
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    measure (sizes[i]);
  return EXIT_SUCCESS;
}

static void
measure (guint keys)
{
  size_t before = mallinfo2 ().uordblks;
  QgClaims *claims = qg_claim_new (NULL);
  gint64 start = g_get_monotonic_time ();
  gint64 claim_us;
  gint64 resend_us;
  gint64 snapshot_us;
  size_t memory;
  GBytes *snapshot;

  for (guint i = 0; i < keys; i++)
    {
      if (claim_key (claims, i, i + 1)
          != QG__CLAIM_VERDICT__CLAIM_VERDICT_GRANTED)
        abort ();
      settle_key (claims, i, i + 1);
    }
  claim_us = g_get_monotonic_time () - start;
  memory = mallinfo2 ().uordblks - before;
  start = g_get_monotonic_time ();
  for (guint i = 0; i < keys; i++)
    if (claim_key (claims, i, (guint64)keys + i + 1)
        != QG__CLAIM_VERDICT__CLAIM_VERDICT_DONE)
      abort ();
  resend_us = g_get_monotonic_time () - start;
  start = g_get_monotonic_time ();
  snapshot = qg_claim_snapshot (claims);
  snapshot_us = g_get_monotonic_time () - start;
  printf ("%6u %20.2f %10.2f %12.0f %12.1f %21.0f\n", keys,
          (double)claim_us / keys, (double)resend_us / keys,
          (double)memory / keys, (double)snapshot_us / 1000.0,
          (double)g_bytes_get_size (snapshot) / keys);
  g_bytes_unref (snapshot);
  qg_claim_unref (claims);
}

static Qg__ClaimVerdict
claim_key (QgClaims *claims, guint key, guint64 seq)
{
  guint8 hash[32] = { 0 };
  char workspace[32];
  char agent[32];
  char text[48];
  Qg__ClaimTake message = QG__CLAIM_TAKE__INIT;
  Qg__ClaimCommand command = QG__CLAIM_COMMAND__INIT;
  Qg__ClaimResult result;

  format_name (workspace, sizeof workspace, "workspace", key % N_WORKSPACES);
  format_name (agent, sizeof agent, "agent", key % N_AGENTS);
  format_name (text, sizeof text, "order", key);
  message.workspace = workspace;
  message.service = (char *)"bookings-app";
  message.key = text;
  message.agent = agent;
  message.incarnation = 1;
  message.address = (char *)"";
  message.seq = seq;
  message.body_hash.data = hash;
  message.body_hash.len = sizeof hash;
  command.now_us = key;
  command.kind_case = QG__CLAIM_COMMAND__KIND_TAKE;
  command.take = &message;
  if (qg_claim_apply (claims, &command, &result) != QG_OK)
    abort ();
  return result.verdict;
}

static void
settle_key (QgClaims *claims, guint key, guint64 seq)
{
  char workspace[32];
  char agent[32];
  char text[48];
  Qg__ClaimSettle message = QG__CLAIM_SETTLE__INIT;
  Qg__ClaimCommand command = QG__CLAIM_COMMAND__INIT;
  Qg__ClaimResult result;

  format_name (workspace, sizeof workspace, "workspace", key % N_WORKSPACES);
  format_name (agent, sizeof agent, "agent", key % N_AGENTS);
  format_name (text, sizeof text, "order", key);
  message.workspace = workspace;
  message.service = (char *)"bookings-app";
  message.key = text;
  message.agent = agent;
  message.incarnation = 1;
  message.seq = seq;
  command.now_us = key;
  command.kind_case = QG__CLAIM_COMMAND__KIND_SETTLE;
  command.settle = &message;
  if (qg_claim_apply (claims, &command, &result) != QG_OK || !result.changed)
    abort ();
}

static void
format_name (char *out, gsize size, const char *kind, guint number)
{
  g_snprintf (out, size, "%s-%06u", kind, number);
}
