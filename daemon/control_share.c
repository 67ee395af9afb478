#include "libcontrol.h"

/* Answers the demand report of one relay with the share levels and with the
 * fleet-wide demand of its workspaces. */
void
control_on_demand (QgControl *control, QgPeer *peer, const Qg__PeerMsg *msg)
{
  const Qg__Demand *demand = msg->demand;
  const char *entry = qg_peer_hello (peer)->name;
  QgTime now = qg_clock_now ();
  Qg__ShareLevel reply = QG__SHARE_LEVEL__INIT;
  QgShareLevels levels;
  Qg__DemandItem *totals;
  Qg__DemandItem **list;

  if (control->share_hub == NULL || control_may_serve (control, NULL) != QG_OK)
    return;
  qg_share_hub_begin (control->share_hub, entry, now);
  for (size_t i = 0; i < demand->n_items; i++)
    {
      QgShareRates rates = { demand->items[i]->rate, demand->items[i]->begun };

      qg_share_hub_add (control->share_hub, entry, demand->items[i]->workspace,
                        &rates);
    }
  levels = qg_share_hub_compute_levels (control->share_hub, demand->fleet_rate,
                                        now);
  reply.level = levels.owed;
  reply.spare_level = levels.spare;
  totals = g_new (Qg__DemandItem, demand->n_items);
  list = g_new (Qg__DemandItem *, demand->n_items);
  for (size_t i = 0; i < demand->n_items; i++)
    {
      qg__demand_item__init (&totals[i]);
      totals[i].workspace = demand->items[i]->workspace;
      totals[i].rate
          = qg_share_hub_total (control->share_hub, totals[i].workspace);
      list[i] = &totals[i];
    }
  reply.n_totals = demand->n_items;
  reply.totals = list;
  QG_SEND (peer, SHARE_LEVEL, share_level, &reply);
  g_free (list);
  g_free (totals);
}
