#include "librelay.h"

#include <string.h>

/* Relays tell each other what they have at targets. Each dials those whose
 * names follow its own, so that two have one connection. */

/** A message under construction. */
typedef struct
{
  GArray *target;   /* guint64 */
  GArray *unread;   /* guint32 */
  GArray *inflight; /* guint32 */
} Loads;

static void add_load (guint64 target, guint32 unread, guint32 inflight,
                      gpointer user);
static void add_prefix (guint64 key, guint tokens, gpointer user);
static gboolean is_wanted (const QgRelay *relay, const Qg__DirEntry *entry);

void
relay_mesh_sync (QgRelay *relay)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, relay->mesh);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const Qg__DirEntry *entry
          = g_hash_table_lookup (relay->board->directory, key);

      if (entry != NULL && is_wanted (relay, entry))
        continue;
      qg_peer_hub_forget (relay->peers, value);
      g_hash_table_iter_remove (&iter);
    }
  g_hash_table_iter_init (&iter, relay->board->directory);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (is_wanted (relay, value) && !g_hash_table_contains (relay->mesh, key))
      {
        const Qg__DirEntry *entry = value;
        QgPeer *peer = qg_peer_hub_dial (relay->peers, entry->address);

        if (peer != NULL)
          g_hash_table_insert (relay->mesh, g_strdup (key), peer);
      }
}

static gboolean
is_wanted (const QgRelay *relay, const Qg__DirEntry *entry)
{
  return entry->role == QG__ROLE__ROLE_RELAY && entry->address[0] != '\0'
         && strcmp (entry->name, relay->settings->daemon.name) > 0;
}

void
relay_mesh_up (QgRelay *relay, QgPeer *peer)
{
  g_ptr_array_add (relay->neighbours, peer);
}

void
relay_mesh_down (QgRelay *relay, QgPeer *peer)
{
  if (g_ptr_array_remove_fast (relay->neighbours, peer))
    qg_dispatch_others (relay->dispatch, qg_peer_hello (peer)->name, 0, NULL,
                        NULL, NULL);
}

static void
add_prefix (guint64 key, guint tokens, gpointer user)
{
  RelayCall *call = user;
  RelayPrefix prefix = { qg_dispatch_target_hash (call->target), key, tokens };

  g_array_append_val (call->relay->prefixes, prefix);
}

void
relay_mesh_sent (RelayCall *call)
{
  if (call->relay->neighbours->len > 0
      && call->relay->prefixes->len < RELAY_PREFIXES_MAX)
    qg_dispatch_each_prefix (&call->job, add_prefix, call);
}

void
relay_mesh_take (QgRelay *relay, QgPeer *peer, const Qg__Load *load)
{
  QgTime now = g_get_monotonic_time ();

  if (load->n_prefix_key == load->n_prefix_target
      && load->n_prefix_tokens == load->n_prefix_target)
    for (size_t i = 0; i < load->n_prefix_target; i++)
      qg_dispatch_others_sent (relay->dispatch, load->prefix_target[i],
                               load->prefix_key[i], load->prefix_tokens[i],
                               now);
  if (load->n_unread == load->n_target && load->n_inflight == load->n_target)
    qg_dispatch_others (relay->dispatch, qg_peer_hello (peer)->name,
                        (guint)load->n_target, load->target, load->unread,
                        load->inflight);
}

static void
add_load (guint64 target, guint32 unread, guint32 inflight, gpointer user)
{
  Loads *loads = user;

  g_array_append_val (loads->target, target);
  g_array_append_val (loads->unread, unread);
  g_array_append_val (loads->inflight, inflight);
}

void
relay_mesh_tell (QgRelay *relay)
{
  Qg__Load load = QG__LOAD__INIT;
  guint n = relay->prefixes->len;
  Loads loads;

  if (relay->neighbours->len == 0)
    return;
  loads.target = g_array_new (FALSE, FALSE, sizeof (guint64));
  loads.unread = g_array_new (FALSE, FALSE, sizeof (guint32));
  loads.inflight = g_array_new (FALSE, FALSE, sizeof (guint32));
  qg_dispatch_each_load (relay->dispatch, add_load, &loads);
  load.n_target = loads.target->len;
  load.target = (guint64 *)(void *)loads.target->data;
  load.n_unread = loads.unread->len;
  load.unread = (guint32 *)(void *)loads.unread->data;
  load.n_inflight = loads.inflight->len;
  load.inflight = (guint32 *)(void *)loads.inflight->data;
  load.n_prefix_target = load.n_prefix_key = load.n_prefix_tokens = n;
  load.prefix_target = g_new (guint64, n);
  load.prefix_key = g_new (guint64, n);
  load.prefix_tokens = g_new (guint32, n);
  for (guint i = 0; i < n; i++)
    {
      const RelayPrefix *prefix
          = &g_array_index (relay->prefixes, RelayPrefix, i);

      load.prefix_target[i] = prefix->target;
      load.prefix_key[i] = prefix->key;
      load.prefix_tokens[i] = prefix->tokens;
    }
  if (loads.target->len > 0 || relay->told_load)
    for (guint i = 0; i < relay->neighbours->len; i++)
      QG_SEND (g_ptr_array_index (relay->neighbours, i), LOAD, load, &load);
  g_array_set_size (relay->prefixes, 0);
  g_free (load.prefix_target);
  g_free (load.prefix_key);
  g_free (load.prefix_tokens);
  relay->told_load = loads.target->len > 0;
  g_array_unref (loads.target);
  g_array_unref (loads.unread);
  g_array_unref (loads.inflight);
}
