#include "logonce.h"

typedef struct
{
  QgTime logged_at;
  guint64 n_left_out;
} Sender;

struct QgLogOnce
{
  GHashTable *senders; /* name to Sender */
  Sender unnamed;      /* all that do not fit */
  gboolean unnamed_logged;
  guint64 n_forgotten; /* lines left out of senders that were dropped */
};

static Sender *find_sender (QgLogOnce *once, const char *name, QgTime now,
                            gboolean *is_new);
static void drop_old (QgLogOnce *once, QgTime now);

QgLogOnce *
qg_log_once_new (void)
{
  QgLogOnce *once = g_new0 (QgLogOnce, 1);

  once->senders
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return once;
}

void
qg_log_once_free (QgLogOnce *once)
{
  if (once == NULL)
    return;
  g_hash_table_unref (once->senders);
  g_free (once);
}

gboolean
qg_log_once_admit (QgLogOnce *once, const char *name, QgTime now,
                   QgLogOnceLeftOut *left_out)
{
  gboolean is_new;
  Sender *sender = find_sender (once, name, now, &is_new);

  if (!is_new && now - sender->logged_at < QG_LOG_ONCE_INTERVAL)
    {
      sender->n_left_out++;
      return FALSE;
    }
  left_out->of_sender = sender->n_left_out;
  left_out->of_others = once->n_forgotten;
  sender->n_left_out = 0;
  sender->logged_at = now;
  once->n_forgotten = 0;
  return TRUE;
}

static Sender *
find_sender (QgLogOnce *once, const char *name, QgTime now, gboolean *is_new)
{
  Sender *sender = g_hash_table_lookup (once->senders, name);

  *is_new = sender == NULL;
  if (sender != NULL)
    return sender;
  if (g_hash_table_size (once->senders) >= QG_LOG_ONCE_MAX_SENDERS)
    drop_old (once, now);
  if (g_hash_table_size (once->senders) >= QG_LOG_ONCE_MAX_SENDERS)
    {
      *is_new = !once->unnamed_logged;
      once->unnamed_logged = TRUE;
      return &once->unnamed;
    }
  sender = g_new0 (Sender, 1);
  g_hash_table_insert (once->senders, g_strdup (name), sender);
  return sender;
}

static void
drop_old (QgLogOnce *once, QgTime now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, once->senders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Sender *sender = value;

      if (now - sender->logged_at < QG_LOG_ONCE_INTERVAL)
        continue;
      once->n_forgotten += sender->n_left_out;
      g_hash_table_iter_remove (&iter);
    }
}
