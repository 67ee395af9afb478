/* Fuzzes the hub with arbitrary reports and an agent with arbitrary answers. */
#include "lib/hub.h"

static QgFair *make_fair (void);
static void feed_hub (QgHub *hub, const uint8_t *data, size_t size);
static void feed_agent (QgFair *fair, const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  QgHubOptions options = { .epoch = 1, .max_items = 8 };
  QgHub *hub = qg_hub_new (&options);
  QgFair *fair = make_fair ();

  /* The input is a sequence of messages, each preceded by its length in one
   * byte. */
  while (size > 1)
    {
      size_t message_len = MIN ((size_t)data[0], size - 1);

      feed_hub (hub, data + 1, message_len);
      feed_agent (fair, data + 1, message_len);
      data += message_len + 1;
      size -= message_len + 1;
    }
  qg_fair_unref (fair);
  qg_hub_unref (hub);
  return 0;
}

static QgFair *
make_fair (void)
{
  QgFairOptions options = { .service = "s" };
  QgFair *fair = qg_fair_new (&options);
  guint entry = qg_fair_entry_up (fair, TRUE);

  qg_fair_offer (fair, QG_SEC, entry, "a", QG_CLASS_SHORT, 3);
  qg_fair_offer (fair, QG_SEC, entry, "b", QG_CLASS_LONG, 1);
  return fair;
}

static void
feed_hub (QgHub *hub, const uint8_t *data, size_t size)
{
  Qg__FairReport *report = qg__fair_report__unpack (NULL, size, data);

  if (report == NULL)
    return;
  report->epoch = 1;
  qg_hub_report (hub, QG_SEC, "agent", 1 + size % 2, report);
  qg__fair_report__free_unpacked (report, NULL);
}

static void
feed_agent (QgFair *fair, const uint8_t *data, size_t size)
{
  Qg__FairTotals *totals = qg__fair_totals__unpack (NULL, size, data);
  Qg__FairReport report;
  QgFairPick pick;
  QgFairJob *job;

  if (totals == NULL)
    return;
  if (qg_fair_report (fair, QG_SEC, &report))
    {
      totals->seq = report.seq;
      totals->epoch = report.epoch;
      totals->have_from = report.have;
      totals->names_from = report.names;
      qg_fair_totals (fair, QG_SEC, totals);
    }
  job = qg_fair_pick (fair, QG_SEC, &pick);
  if (job != NULL)
    qg_fair_end (fair, QG_SEC, job, 10);
  qg__fair_totals__free_unpacked (totals, NULL);
}
