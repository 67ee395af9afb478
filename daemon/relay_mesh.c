#include "librelay.h"

#include <string.h>

/* Transport of lib/mesh: sends its messages to peers as Qg__Load. */

static gboolean has_valid_lists (const Qg__Load *load);
static void fill_load (Qg__Load *load, const QgMeshMsg *msg);
static QgMeshLoad load_at (const Qg__Load *load, guint i);
static QgMeshLimit *read_limits (QgRelay *relay, const char *from,
                                 const Qg__Load *load, QgTime now);
static void pack_limits (Qg__Load *load, const QgMeshMsg *msg, QgTime now);
static void free_limits (Qg__Load *load);
static QgMeshStream *read_streams (QgRelay *relay, const Qg__Load *load,
                                   QgTime now);
static QgMeshStream stream_at (const Qg__Load *load, guint i);
static void pack_streams (Qg__Load *load, const QgMeshMsg *msg);
static void free_streams (Qg__Load *load);
static void send_msg (gpointer user, const char *to, const QgMeshMsg *msg);
static void set_loads (gpointer user, const char *source,
                       const QgMeshLoad *loads, guint n);
static void add_prefix (guint64 key, guint tokens, gpointer user);
static void drop_unneeded_peers (QgRelay *relay);
static void update_reached (QgRelay *relay);
static gboolean has_demand (const QgMeshMsg *msg);

void
relay_mesh_start (QgRelay *relay)
{
  QgMeshOps ops = { send_msg, set_loads, relay };

  relay->origins = qg_origins_new ();
  relay->mesh = qg_mesh_new (relay->settings->daemon.name,
                             relay->settings->daemon.dc, &ops);
  relay->dialed_peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  relay->connected_peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
relay_mesh_stop (QgRelay *relay)
{
  qg_mesh_free (relay->mesh);
  qg_origins_free (relay->origins);
  g_hash_table_unref (relay->dialed_peers);
  g_hash_table_unref (relay->connected_peers);
}

static void
drop_unneeded_peers (QgRelay *relay)
{
  GHashTableIter iter;
  gpointer name;
  gpointer peer;

  g_hash_table_iter_init (&iter, relay->dialed_peers);
  while (g_hash_table_iter_next (&iter, &name, &peer))
    if (!qg_mesh_should_connect (relay->mesh, name))
      {
        qg_peer_hub_remove (relay->peers, peer);
        g_hash_table_iter_remove (&iter);
      }
}

void
relay_mesh_update_relays (QgRelay *relay)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_autoptr (GPtrArray) names = g_ptr_array_new ();

  qg_mesh_relays_begin (relay->mesh);
  g_hash_table_iter_init (&iter, relay->board->directory);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const Qg__DirEntry *entry = value;

      if (entry->role == QG__ROLE__ROLE_RELAY && entry->address[0] != '\0')
        {
          qg_mesh_relay (relay->mesh, name, entry->dc);
          g_ptr_array_add (names, name);
        }
    }
  qg_mesh_relays_end (relay->mesh);
  qg_dispatch_set_entry_names (relay->dispatch, (char **)names->pdata,
                               names->len);
  drop_unneeded_peers (relay);
  g_hash_table_iter_init (&iter, relay->board->directory);
  while (g_hash_table_iter_next (&iter, &name, &value))
    if (qg_mesh_should_connect (relay->mesh, name)
        && !g_hash_table_contains (relay->dialed_peers, name))
      {
        const Qg__DirEntry *entry = value;
        QgPeer *peer = qg_peer_hub_dial (relay->peers, entry->address);

        if (peer != NULL)
          g_hash_table_insert (relay->dialed_peers, g_strdup (name), peer);
      }
  update_reached (relay);
}

static void
update_reached (QgRelay *relay)
{
  qg_dispatch_set_reached (relay->dispatch, qg_mesh_reached (relay->mesh));
}

void
relay_mesh_peer_up (QgRelay *relay, QgPeer *peer)
{
  const char *name = qg_peer_hello (peer)->name;

  g_hash_table_replace (relay->connected_peers, g_strdup (name), peer);
  qg_mesh_set_connected (relay->mesh, name, TRUE);
  update_reached (relay);
  relay_version_mesh_changed (relay, qg_clock_now ());
}

/* Ignores the loss of an old connection if a new connection to the same relay
 * is already up. */
void
relay_mesh_peer_down (QgRelay *relay, QgPeer *peer)
{
  const char *name = qg_peer_hello (peer)->name;

  if (g_hash_table_lookup (relay->connected_peers, name) != peer)
    return;
  qg_mesh_set_connected (relay->mesh, name, FALSE);
  update_reached (relay);
  g_hash_table_remove (relay->connected_peers, name);
  relay_version_mesh_changed (relay, qg_clock_now ());
}

static void
add_prefix (guint64 key, guint tokens, gpointer user)
{
  RelayCall *call = user;
  QgMeshPrefix prefix = { qg_dispatch_target_hash (call->target), key, tokens };

  qg_mesh_add_prefix (call->relay->mesh, &prefix);
}

void
relay_mesh_add_prefixes (RelayCall *call)
{
  qg_dispatch_each_prefix (&call->job, add_prefix, call);
}

void
relay_mesh_add_limit (const RelayCall *call)
{
  const QgDispatchTarget *target = call->target;
  const QgNoticeState *notices = &target->notices;
  QgMeshLimit limit
      = { qg_dispatch_target_hash (target), target->born_ms,
          notices->limited ? notices->limit : -1, notices->limit_at };

  qg_mesh_add_limit (call->relay->mesh, &limit);
}

void
relay_mesh_add_stream (QgRelay *relay, const QgMeshStream *stream)
{
  qg_mesh_add_stream (relay->mesh, stream);
}

/* Older relays state neither weights nor the attempt that began the stream. */
static QgMeshStream
stream_at (const Qg__Load *load, guint i)
{
  QgMeshStream stream = { .attempt = load->stream_attempt[i],
                          .version = load->stream_version[i],
                          .weights = -1 };

  if (load->n_stream_weights > 0)
    {
      stream.began_by = load->stream_began_by[i];
      stream.weights = load->stream_weights[i];
    }
  return stream;
}

/* Returns the streams of a message, and notes them. */
static QgMeshStream *
read_streams (QgRelay *relay, const Qg__Load *load, QgTime now)
{
  QgMeshStream *streams = g_new (QgMeshStream, load->n_stream_attempt);

  for (guint i = 0; i < load->n_stream_attempt; i++)
    {
      streams[i] = stream_at (load, i);
      if (streams[i].version != 0)
        qg_origins_add (relay->origins, &streams[i], now);
    }
  return streams;
}

static void
set_loads (gpointer user, const char *source, const QgMeshLoad *loads, guint n)
{
  QgRelay *relay = user;

  qg_dispatch_set_other_loads (relay->dispatch, source, loads, n);
}

/* Whether the parallel lists have equal lengths and the scope is known. */
static gboolean
has_valid_lists (const Qg__Load *load)
{
  return load->n_unread == load->n_target && load->n_inflight == load->n_target
         && load->n_prefix_key == load->n_prefix_target
         && load->n_prefix_tokens == load->n_prefix_target
         && (load->n_demand == 0 || load->n_demand == load->n_target)
         && load->n_limit_born_ms == load->n_limit_target
         && load->n_limit == load->n_limit_target
         && load->n_limit_age_us == load->n_limit_target
         && load->n_stream_version == load->n_stream_attempt
         && (load->n_stream_weights == 0
             || load->n_stream_weights == load->n_stream_attempt)
         && load->n_stream_began_by == load->n_stream_weights
         && (guint)load->scope < QG_N_MESH_SCOPES;
}

static QgMeshLoad
load_at (const Qg__Load *load, guint i)
{
  return (QgMeshLoad){ load->target[i], load->unread[i], load->inflight[i],
                       load->n_demand > 0 ? load->demand[i] : 0 };
}

/* Returns the limits of a message, and applies them. */
static QgMeshLimit *
read_limits (QgRelay *relay, const char *from, const Qg__Load *load, QgTime now)
{
  QgMeshLimit *limits = g_new (QgMeshLimit, load->n_limit_target);

  for (guint i = 0; i < load->n_limit_target; i++)
    {
      QgTime age = (QgTime)MIN (load->limit_age_us[i], (guint64)now);
      const QgDispatchTarget *target;

      limits[i] = (QgMeshLimit){ load->limit_target[i], load->limit_born_ms[i],
                                 load->limit[i], now - age };
      target = qg_dispatch_learn_limit (relay->dispatch, &limits[i], now);
      if (target != NULL)
        qg_event (QG_EV_TARGET_NOTICE,
                  "target=%s limit=%.2f from=%s age_ms=%" G_GINT64_FORMAT,
                  target->id, limits[i].limit, from, age / QG_MSEC);
    }
  return limits;
}

void
relay_mesh_receive (QgRelay *relay, QgPeer *peer, const Qg__Load *load)
{
  QgTime now = qg_clock_now ();
  guint n = (guint)load->n_target;
  guint n_prefixes = (guint)load->n_prefix_target;
  QgMeshLoad *loads;
  QgMeshPrefix *prefixes;
  QgMeshLimit *limits;
  QgMeshStream *streams;
  QgMeshMsg msg = { .scope = (QgMeshScope)load->scope,
                    .n_loads = n,
                    .n_prefixes = n_prefixes,
                    .n_limits = (guint)load->n_limit_target,
                    .n_streams = (guint)load->n_stream_attempt };

  if (!has_valid_lists (load))
    return;
  loads = g_new (QgMeshLoad, n);
  prefixes = g_new (QgMeshPrefix, n_prefixes);
  for (guint i = 0; i < n; i++)
    loads[i] = load_at (load, i);
  for (guint i = 0; i < n_prefixes; i++)
    {
      prefixes[i] = (QgMeshPrefix){ load->prefix_target[i], load->prefix_key[i],
                                    load->prefix_tokens[i] };
      qg_dispatch_add_other_prefix (relay->dispatch, &prefixes[i], now);
    }
  limits = read_limits (relay, qg_peer_hello (peer)->name, load, now);
  streams = read_streams (relay, load, now);
  msg.streams = streams;
  msg.loads = loads;
  msg.prefixes = prefixes;
  msg.limits = limits;
  qg_mesh_receive (relay->mesh, qg_peer_hello (peer)->name, &msg, now);
  relay_version_heard (relay, now);
  g_free (loads);
  g_free (prefixes);
  g_free (limits);
  g_free (streams);
}

static void
fill_load (Qg__Load *load, const QgMeshMsg *msg)
{
  for (guint i = 0; i < msg->n_loads; i++)
    {
      load->target[i] = msg->loads[i].target;
      load->unread[i] = msg->loads[i].unread;
      load->inflight[i] = msg->loads[i].inflight;
      load->demand[i] = msg->loads[i].demand;
    }
  for (guint i = 0; i < msg->n_prefixes; i++)
    {
      load->prefix_target[i] = msg->prefixes[i].target;
      load->prefix_key[i] = msg->prefixes[i].key;
      load->prefix_tokens[i] = msg->prefixes[i].tokens;
    }
}

static void
pack_streams (Qg__Load *load, const QgMeshMsg *msg)
{
  load->n_stream_attempt = load->n_stream_version = msg->n_streams;
  load->n_stream_began_by = load->n_stream_weights = msg->n_streams;
  load->stream_attempt = g_new (guint64, msg->n_streams);
  load->stream_version = g_new (guint64, msg->n_streams);
  load->stream_began_by = g_new (guint64, msg->n_streams);
  load->stream_weights = g_new (gint64, msg->n_streams);
  for (guint i = 0; i < msg->n_streams; i++)
    {
      load->stream_attempt[i] = msg->streams[i].attempt;
      load->stream_version[i] = msg->streams[i].version;
      load->stream_began_by[i] = msg->streams[i].began_by;
      load->stream_weights[i] = msg->streams[i].weights;
    }
}

static void
free_streams (Qg__Load *load)
{
  g_free (load->stream_attempt);
  g_free (load->stream_version);
  g_free (load->stream_began_by);
  g_free (load->stream_weights);
}

/* Without rate limits there is no demand, and the list is left out. */
static gboolean
has_demand (const QgMeshMsg *msg)
{
  for (guint i = 0; i < msg->n_loads; i++)
    if (msg->loads[i].demand > 0)
      return TRUE;
  return FALSE;
}

static void
pack_limits (Qg__Load *load, const QgMeshMsg *msg, QgTime now)
{
  guint n = msg->n_limits;

  load->n_limit_target = load->n_limit_born_ms = n;
  load->n_limit = load->n_limit_age_us = n;
  load->limit_target = g_new (guint64, n);
  load->limit_born_ms = g_new (guint64, n);
  load->limit = g_new (double, n);
  load->limit_age_us = g_new (guint64, n);
  for (guint i = 0; i < n; i++)
    {
      load->limit_target[i] = msg->limits[i].target;
      load->limit_born_ms[i] = msg->limits[i].born_ms;
      load->limit[i] = msg->limits[i].limit;
      load->limit_age_us[i] = (guint64)MAX (now - msg->limits[i].at, 0);
    }
}

static void
free_limits (Qg__Load *load)
{
  g_free (load->limit_target);
  g_free (load->limit_born_ms);
  g_free (load->limit);
  g_free (load->limit_age_us);
}

static void
send_msg (gpointer user, const char *to, const QgMeshMsg *msg)
{
  QgRelay *relay = user;
  QgPeer *peer = g_hash_table_lookup (relay->connected_peers, to);
  Qg__Load load = QG__LOAD__INIT;
  guint n = msg->n_loads;
  guint n_prefixes = msg->n_prefixes;
  guint64 *keys;
  guint32 *counts;

  if (peer == NULL)
    return;
  keys = g_new (guint64, n + 2 * n_prefixes);
  counts = g_new (guint32, 3 * n + n_prefixes);
  load.scope = (Qg__Load__Scope)msg->scope;
  load.n_target = load.n_unread = load.n_inflight = n;
  load.n_demand = has_demand (msg) ? n : 0;
  load.target = keys;
  load.unread = counts;
  load.inflight = counts + n;
  load.n_prefix_target = load.n_prefix_key = load.n_prefix_tokens = n_prefixes;
  load.prefix_target = keys + n;
  load.prefix_key = keys + n + n_prefixes;
  load.demand = counts + 2 * n;
  load.prefix_tokens = counts + 3 * n;
  fill_load (&load, msg);
  pack_limits (&load, msg, qg_clock_now ());
  pack_streams (&load, msg);
  QG_SEND (peer, LOAD, load, &load);
  free_limits (&load);
  free_streams (&load);
  g_free (keys);
  g_free (counts);
}

void
relay_mesh_send_reports (QgRelay *relay)
{
  GArray *loads = g_array_new (FALSE, FALSE, sizeof (QgMeshLoad));
  QgTime now = qg_clock_now ();

  qg_dispatch_loads (relay->dispatch, loads, now);
  qg_mesh_send_reports (relay->mesh, (const QgMeshLoad *)(void *)loads->data,
                        loads->len, now);
  g_array_unref (loads);
}
