#include "librelay.h"

/** A report under construction. */
typedef struct
{
  GArray *items; /* Qg__DemandItem */
} Report;

static void add_item (const char *workspace, double rate, gpointer user);

static void
add_item (const char *workspace, double rate, gpointer user)
{
  Report *report = user;
  Qg__DemandItem item = QG__DEMAND_ITEM__INIT;

  item.workspace = (char *)workspace;
  item.rate = rate;
  g_array_append_val (report->items, item);
}

void
relay_share_report (QgRelay *relay, QgTime now)
{
  QgPeer *leader = qg_uplink_leader (relay->uplink);
  Qg__Demand demand = QG__DEMAND__INIT;
  Report report;
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
  demand.begun = qg_share_gate_begun_rate (relay->shares, now);
  demand.fleet_rate = relay_limits (relay)->units_per_s;
  QG_SEND (leader, DEMAND, demand, &demand);
  g_free (list);
  g_array_unref (report.items);
}

void
relay_share_take (QgRelay *relay, const Qg__ShareLevel *level)
{
  qg_event (QG_EV_SHARE_LEVEL,
            "owed=%.4g spare=%.4g begun_here=%.4g waiting=%u", level->level,
            level->spare_level,
            qg_share_gate_begun_rate (relay->shares, g_get_monotonic_time ()),
            qg_dispatch_waiting (relay->dispatch));
  qg_share_gate_level (relay->shares, level->level, level->spare_level,
                       g_get_monotonic_time ());
  for (size_t i = 0; i < level->n_totals; i++)
    qg_share_gate_total (relay->shares, level->totals[i]->workspace,
                         level->totals[i]->rate);
}
