#include "librelay.h"

/** Relative change of the share level above which it is logged. */
#define LOGGED_CHANGE_FRACTION 0.25

typedef struct
{
  GArray *items; /* Qg__DemandItem */
} DemandReport;

static void log_level (QgRelay *relay, const Qg__ShareLevel *level);
static void add_item (const char *workspace, const QgShareRates *rates,
                      gpointer user);

static void
add_item (const char *workspace, const QgShareRates *rates, gpointer user)
{
  DemandReport *report = user;
  Qg__DemandItem item = QG__DEMAND_ITEM__INIT;

  item.workspace = (char *)workspace;
  item.rate = rates->demand;
  item.begun = rates->started;
  g_array_append_val (report->items, item);
}

void
relay_share_send_demand (QgRelay *relay, QgTime now)
{
  QgPeer *leader = qg_uplink_leader (relay->uplink);
  Qg__Demand demand = QG__DEMAND__INIT;
  DemandReport report;
  Qg__DemandItem **list;

  qg_share_gate_set_rate (relay->shares, relay_limits (relay)->units_per_s,
                          relay->entries);
  if (leader == NULL || relay_limits (relay)->units_per_s <= 0)
    return;
  report.items = g_array_new (FALSE, FALSE, sizeof (Qg__DemandItem));
  qg_share_gate_each (relay->shares, now, add_item, &report);
  list = g_new (Qg__DemandItem *, report.items->len);
  for (guint i = 0; i < report.items->len; i++)
    list[i] = &g_array_index (report.items, Qg__DemandItem, i);
  demand.n_items = report.items->len;
  demand.items = list;
  demand.fleet_rate = relay_limits (relay)->units_per_s;
  QG_SEND (leader, DEMAND, demand, &demand);
  g_free (list);
  g_array_unref (report.items);
}

/* Logs only a large change: levels arrive five times a second. The event names
 * the owed level "owed" and the spare level "spare". */
static void
log_level (QgRelay *relay, const Qg__ShareLevel *level)
{
  double ratio = relay->logged_level / MAX (level->level, 1);

  if (ratio > 1 - LOGGED_CHANGE_FRACTION && ratio < 1 + LOGGED_CHANGE_FRACTION)
    return;
  relay->logged_level = level->level;
  if (level->level >= G_MAXDOUBLE)
    qg_event (QG_EV_SHARE_LEVEL, "owed=all waiting=%u",
              qg_dispatch_waiting_count (relay->dispatch));
  else
    qg_event (QG_EV_SHARE_LEVEL, "owed=%.4g spare=%.4g waiting=%u",
              level->level, level->spare_level,
              qg_dispatch_waiting_count (relay->dispatch));
}

void
relay_share_set_level (QgRelay *relay, const Qg__ShareLevel *level)
{
  log_level (relay, level);
  qg_share_gate_set_levels (relay->shares, level->level, level->spare_level,
                            qg_clock_now ());
  for (size_t i = 0; i < level->n_totals; i++)
    qg_share_gate_set_total (relay->shares, level->totals[i]->workspace,
                             level->totals[i]->rate);
}
