/* Cost of the fair share by number of workspaces: nanoseconds per pick with its
 * charges, per progress update, and per merge at the hub and at the agent;
 * bytes of memory per workspace and bytes per exchange on the wire. */
#include "lib/hub.h"
#include "lib/queue.h"
#include "lib/schedule.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>

enum
{
  ENTRIES = 30,
  AGENTS = 300,
  ROUNDS = 200000,
  EXCHANGES = 20
};

static char names[12000][8];

static double
now_ns (void)
{
  return (double)g_get_monotonic_time () * 1000;
}

static size_t
heap_bytes (void)
{
  return mallinfo2 ().uordblks;
}

static QgFair *
fair_new (void)
{
  QgFairOptions options = { .service = "drape-model" };

  return qg_fair_new (&options);
}

/* Each of @n workspaces has requests waiting at three of the entries. */
static void
offer_work (QgFair *fair, const guint *entries, int n)
{
  for (int i = 0; i < n; i++)
    for (int k = 0; k < 3; k++)
      qg_fair_offer (fair, QG_SEC, entries[(i * 7 + k * 11) % ENTRIES],
                     names[i], (QgClass)(k % 2), 100);
}

static void
measure_pick (int n)
{
  size_t before = heap_bytes ();
  QgFair *fair = fair_new ();
  guint entries[ENTRIES];
  QgFairJob *jobs[16];
  QgFairPick pick;
  size_t bytes;
  double start;
  double picks;
  double progress;

  for (int e = 0; e < ENTRIES; e++)
    entries[e] = qg_fair_entry_up (fair, e % 6 == 0);
  offer_work (fair, entries, n);
  bytes = heap_bytes () - before;
  start = now_ns ();
  for (int i = 0; i < ROUNDS; i++)
    {
      QgFairJob *job = qg_fair_pick (fair, QG_SEC, &pick);

      qg_fair_start (fair, QG_SEC, job);
      qg_fair_end (fair, QG_SEC, job, 100 + i % 700);
    }
  picks = (now_ns () - start) / ROUNDS;
  for (int i = 0; i < 16; i++)
    jobs[i] = qg_fair_pick (fair, QG_SEC, &pick);
  start = now_ns ();
  for (int i = 0; i < ROUNDS; i++)
    qg_fair_progress (fair, jobs[i % 16], 1000 + i);
  progress = (now_ns () - start) / ROUNDS;
  for (int i = 0; i < 16; i++)
    qg_fair_end (fair, QG_SEC, jobs[i], 10);
  printf ("agent, %5d backlogged workspaces: pick, start and end together "
          "%4.0f ns, progress %3.0f ns, %4.0f bytes per workspace\n",
          n, picks, progress, (double)bytes / n);
  qg_fair_unref (fair);
}

static void
measure_idle (int n)
{
  size_t before = heap_bytes ();
  QgFair *fair = fair_new ();
  guint entry = qg_fair_entry_up (fair, TRUE);
  double start;
  QgFairPick pick;

  for (int i = 0; i < n; i++)
    {
      qg_fair_offer (fair, QG_SEC, entry, names[i], QG_CLASS_SHORT, 1);
      qg_fair_offer (fair, QG_SEC, entry, names[i], QG_CLASS_SHORT, 0);
    }
  printf ("agent: %5d idle: %4.0f bytes per workspace", n,
          (double)(heap_bytes () - before) / n);
  for (int i = 0; i < 75; i++)
    qg_fair_offer (fair, QG_SEC, entry, names[i], QG_CLASS_SHORT, 100);
  start = now_ns ();
  for (int i = 0; i < ROUNDS; i++)
    {
      QgFairJob *job = qg_fair_pick (fair, QG_SEC, &pick);

      qg_fair_start (fair, QG_SEC, job);
      qg_fair_end (fair, QG_SEC, job, 100 + i % 700);
    }
  printf (", pick with 75 of them backlogged %4.0f ns\n",
          (now_ns () - start) / ROUNDS);
  qg_fair_unref (fair);
}

/* Sums over all exchanges. */
typedef struct
{
  double up, down; /* bytes */
  double hub_ns, agent_ns;
} Exchange;

/* Sends a report of @fair to @hub, merges the answer and adds the cost to @sum.
 * If the answer asks for a full report, repeats the exchange with that. */
static void
exchange (QgHub *hub, QgFair *fair, const char *agent, QgTime now,
          Exchange *sum)
{
  Qg__FairReport report;
  const Qg__FairTotals *totals;
  double start;

  qg_fair_report (fair, now, &report);
  sum->up += (double)qg__fair_report__get_packed_size (&report);
  start = now_ns ();
  totals = qg_hub_report (hub, now, agent, 1, &report);
  sum->hub_ns += now_ns () - start;
  sum->down += (double)qg__fair_totals__get_packed_size (totals);
  start = now_ns ();
  if (qg_fair_totals (fair, now, totals))
    exchange (hub, fair, agent, now, sum);
  sum->agent_ns += now_ns () - start;
}

/* @n workspaces are active in the fleet; each agent serves 45 requests
 * between two exchanges. */
static void
measure_exchange (int n)
{
  QgHubOptions options = { .epoch = 1 };
  size_t before = heap_bytes ();
  QgHub *hub = qg_hub_new (&options);
  QgFair *fairs[AGENTS];
  char agent[16];
  Exchange first = { 0 };
  Exchange sum = { 0 };
  guint entry;
  size_t hub_bytes;

  for (int a = 0; a < AGENTS; a++)
    {
      fairs[a] = fair_new ();
      entry = qg_fair_entry_up (fairs[a], TRUE);
      if (a == 0)
        for (int i = 0; i < n; i++)
          qg_fair_offer (fairs[a], QG_SEC, entry, names[i], QG_CLASS_SHORT,
                         100);
    }
  exchange (hub, fairs[0], "agent-0", QG_SEC, &first);
  hub_bytes = heap_bytes () - before;
  for (int round = 0; round < EXCHANGES; round++)
    for (int a = 0; a < AGENTS; a++)
      {
        for (int i = 0; i < 45; i++)
          qg_fair_end (
              fairs[a], QG_SEC,
              qg_fair_start_on_credit (fairs[a], QG_SEC,
                                       names[(a * 45 + i * 31 + round) % n],
                                       QG_CLASS_SHORT),
              300 + i);
        g_snprintf (agent, sizeof agent, "agent-%d", a);
        if (round == EXCHANGES / 2 && a == 0)
          sum = (Exchange){ 0 };
        exchange (hub, fairs[a], agent, QG_SEC + round * 5 * QG_SEC, &sum);
      }
  n = MAX (n, 1);
  printf ("hub: %5d active, %d agents: report %4.0f bytes, answer %6.0f "
          "bytes, hub %6.0f ns, agent %6.0f ns per exchange; first full report "
          "%6.0f and answer %6.0f bytes; hub and agents %4.0f bytes per "
          "workspace\n",
          n, AGENTS, sum.up / AGENTS / (EXCHANGES / 2),
          sum.down / AGENTS / (EXCHANGES / 2),
          sum.hub_ns / AGENTS / (EXCHANGES / 2),
          sum.agent_ns / AGENTS / (EXCHANGES / 2), first.up, first.down,
          (double)hub_bytes / n);
  for (int a = 0; a < AGENTS; a++)
    qg_fair_unref (fairs[a]);
  qg_hub_unref (hub);
}

static void
measure_queue (int n)
{
  QgQueueOptions options = { .space_cap = 1u << 30 };
  size_t before = heap_bytes ();
  QgQueue *queue = qg_queue_new (&options);
  QgQueueOffer offer;
  size_t bytes;
  int offers = 0;
  double start;

  for (int i = 0; i < n; i++)
    {
      QgQueueSpec spec = { "drape-model", names[i % 1200], QG_CLASS_SHORT,
                           QG_SEC * (1 + i % 97), 1 };

      qg_queue_push (queue, &spec, GINT_TO_POINTER (i + 1), NULL);
    }
  bytes = heap_bytes () - before;
  while (qg_queue_next_offer (queue, &offer))
    ;
  start = now_ns ();
  for (int i = 0; i < ROUNDS; i++)
    {
      QgQueueSpec spec = { "drape-model", names[i % 1200], QG_CLASS_SHORT,
                           QG_SEC * (1 + i % 97), 1 };
      gpointer item = qg_queue_take_any (queue, 0, "drape-model");

      qg_queue_push (queue, &spec, item, NULL);
      while (qg_queue_next_offer (queue, &offer))
        offers++;
    }
  printf ("entry: %6d waiting of %d workspaces: take, push and offers %4.0f "
          "ns, %.3f offers, %3.0f bytes per request\n",
          n, MIN (n, 1200), (now_ns () - start) / ROUNDS,
          (double)offers / ROUNDS, (double)bytes / n);
  qg_queue_unref (queue);
}

int
main (void)
{
  static const int sizes[] = { 75, 300, 1200, 4800, 12000 };

  for (int i = 0; i < 12000; i++)
    g_snprintf (names[i], sizeof names[i], "w%d", i);
  for (gsize i = 0; i < G_N_ELEMENTS (sizes); i++)
    measure_pick (sizes[i]);
  for (gsize i = 0; i < G_N_ELEMENTS (sizes); i++)
    measure_idle (sizes[i]);
  for (gsize i = 0; i < G_N_ELEMENTS (sizes); i++)
    measure_exchange (sizes[i]);
  for (gsize i = 0; i < G_N_ELEMENTS (sizes); i++)
    measure_queue (sizes[i] * 4);
  return 0;
}
