#include "libcontrol.h"

/* The last answer that the process of each target took. Relays ask for it: the
 * process lived when it did. */

/** Targets whose last answers are kept. */
#define TAKEN_ANSWERS_MAX 16384

/** The last answer that the process of a target has taken. */
typedef struct
{
  guint64 born_ms;
  QgTime answered_at;
  gboolean left; /* to its deregistration */
} TakenAnswer;

void
qg_control_target_answered (QgControl *control, const char *id, guint64 born_ms,
                            gboolean left, QgTime at)
{
  TakenAnswer *taken;

  if (control->closing || born_ms == 0)
    return;
  taken = g_hash_table_lookup (control->taken_answers, id);
  if (taken != NULL && taken->born_ms > born_ms)
    return;
  if (taken == NULL)
    {
      if (g_hash_table_size (control->taken_answers) >= TAKEN_ANSWERS_MAX)
        g_hash_table_remove_all (control->taken_answers);
      taken = g_new0 (TakenAnswer, 1);
      g_hash_table_insert (control->taken_answers, g_strdup (id), taken);
    }
  taken->left = left || (taken->left && taken->born_ms == born_ms);
  taken->born_ms = born_ms;
  taken->answered_at = at;
}

/* What another leader answered is not known here: a target that leaves may send
 * its deregistration again. */
void
control_on_life_ask (QgControl *control, QgPeer *peer, const Qg__PeerMsg *msg)
{
  const Qg__LifeAsk *ask = msg->life_ask;
  Qg__LifeAnswer reply = QG__LIFE_ANSWER__INIT;
  const TakenAnswer *taken;
  const QgTarget *target;

  if (control->registry == NULL || control_may_serve (control, NULL) != QG_OK)
    {
      control_send_not_leader (control, peer);
      return;
    }
  reply.seq = ask->seq;
  target = qg_registry_find (control->registry, ask->target);
  if (target != NULL && target->born_ms == ask->born_ms)
    reply.leaves = target->draining || target->left;
  taken = g_hash_table_lookup (control->taken_answers, ask->target);
  if (taken != NULL && taken->born_ms == ask->born_ms)
    {
      reply.left = taken->left;
      reply.called = TRUE;
      reply.answered_ago_us = (guint64)(qg_clock_now () - taken->answered_at);
    }
  QG_SEND (peer, LIFE_ANSWER, life_answer, &reply);
}
