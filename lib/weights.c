#include "weights.h"

typedef struct
{
  gint64 last;
  QgTime last_at;
  QgTime several_until;
} Stated;

struct _QgWeights
{
  GHashTable *services; /* name to Stated */
};

QgWeights *
qg_weights_new (void)
{
  QgWeights *weights = g_new0 (QgWeights, 1);

  weights->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return weights;
}

void
qg_weights_free (QgWeights *weights)
{
  g_hash_table_unref (weights->services);
  g_free (weights);
}

gboolean
qg_weights_add (QgWeights *weights, const char *service, gint64 stated,
                QgTime now)
{
  Stated *known = g_hash_table_lookup (weights->services, service);
  gboolean had_several = qg_weights_has_several (weights, service, now);

  if (stated < 0)
    return FALSE;
  if (known == NULL)
    {
      known = g_new0 (Stated, 1);
      known->last = stated;
      g_hash_table_insert (weights->services, g_strdup (service), known);
    }
  else if (known->last != stated && now - known->last_at < QG_WEIGHTS_HOLD)
    known->several_until = now + QG_WEIGHTS_HOLD;
  known->last = stated;
  known->last_at = now;
  return !had_several && known->several_until > now;
}

gboolean
qg_weights_has_several (const QgWeights *weights, const char *service,
                        QgTime now)
{
  const Stated *known = g_hash_table_lookup (weights->services, service);

  return known != NULL && now < known->several_until;
}

gboolean
qg_weights_any_several (const QgWeights *weights, QgTime now)
{
  GHashTableIter iter;
  gpointer known;

  g_hash_table_iter_init (&iter, weights->services);
  while (g_hash_table_iter_next (&iter, NULL, &known))
    if (now < ((const Stated *)known)->several_until)
      return TRUE;
  return FALSE;
}
