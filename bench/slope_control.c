/*
 * Stand-ins for N daemons that watch a control quorum: each has the links and
 * the board of a real one and renews its permit. Prints a line for each
 * revision once every board has it, with the monotonic time in microseconds,
 * and counts the time that boards were without a permit.
 *
 *     slope_control SETTINGS N SECONDS
 */
#include "daemon/uplink.h"
#include "lib/event.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CHECK_MS = 5,
};

typedef struct
{
  char *name;
  QgPeerHub *hub;
  QgBoard *board;
  QgUplink *uplink;
} Daemon;

static Daemon *daemons;
static guint n_daemons;
static guint64 told;
static guint64 without; /* checks of a board without a permit */
static guint64 checks;
static QgTime longest_gap;
static QgTime *gap_from;
static gboolean all_had;

static guint
running (gpointer user)
{
  return 0;
}

static void
on_up (gpointer user, QgPeer *peer)
{
  Daemon *d = user;

  if (d->uplink != NULL)
    qg_uplink_up (d->uplink, peer);
}

static void
on_down (gpointer user, QgPeer *peer)
{
  Daemon *d = user;

  if (d->uplink != NULL)
    qg_uplink_down (d->uplink, peer);
}

static void
on_message (gpointer user, QgPeer *peer, const Qg__PeerMsg *msg)
{
  qg_uplink_message (((Daemon *)user)->uplink, peer, msg);
}

static const QgPeerOps ops = { on_up, on_down, on_message };

static void
start (Daemon *d, guint i, QgSettings *settings, GBytes *key)
{
  QgPeerOptions options = { 0 };

  d->name = g_strdup_printf ("d%u", i);
  options.role = QG__ROLE__ROLE_ENTRY;
  options.name = d->name;
  options.dc = settings->daemon.dc;
  options.region = settings->daemon.region;
  options.address = "127.0.0.1:1";
  options.incarnation = (guint64)g_get_real_time ();
  options.fleet_key = key;
  options.ops = &ops;
  options.user = d;
  d->hub = qg_peer_hub_new (&options);
  d->board = qg_board_new (settings, NULL, NULL);
  d->uplink = qg_uplink_new (d->board, d->hub, running, d);
}

static gboolean
on_check (gpointer user)
{
  QgTime now = g_get_monotonic_time ();
  guint64 least = G_MAXUINT64;
  gboolean all = TRUE;

  for (guint i = 0; i < n_daemons; i++)
    {
      const QgBoard *board = daemons[i].board;
      gboolean has = board->permit_until > now;

      least = MIN (least, board->revision);
      all = all && has;
      if (has)
        gap_from[i] = now;
      if (!all_had)
        continue;
      checks++;
      without += !has;
      longest_gap = MAX (longest_gap, now - gap_from[i]);
    }
  all_had = all_had || all;
  if (least > told)
    {
      printf ("revision %" G_GUINT64_FORMAT " at %" G_GINT64_FORMAT "\n", least,
              now);
      fflush (stdout);
      told = least;
    }
  return G_SOURCE_CONTINUE;
}

static gboolean
on_end (gpointer user)
{
  g_main_loop_quit (user);
  return G_SOURCE_REMOVE;
}

int
main (int argc, char **argv)
{
  GMainLoop *loop = g_main_loop_new (NULL, FALSE);
  QgSettings *settings;
  QgProblems problems;
  GBytes *key;
  char *text;
  gsize len;

  if (argc != 4 || !g_file_get_contents (argv[1], &text, &len, NULL))
    {
      fprintf (stderr, "usage: slope_control SETTINGS N SECONDS\n");
      return 2;
    }
  qg_event_set_level (QG_SEV_ERROR);
  qg_problems_init (&problems, argv[1]);
  settings = qg_settings_parse (text, len, &problems);
  if (settings == NULL
      || !g_file_get_contents (settings->daemon.fleet_key_file, &text, &len,
                               NULL))
    return 2;
  g_strchomp (text);
  key = g_bytes_new (text, strlen (text));
  n_daemons = (guint)atoi (argv[2]);
  daemons = g_new0 (Daemon, n_daemons);
  gap_from = g_new0 (QgTime, n_daemons);
  for (guint i = 0; i < n_daemons; i++)
    start (&daemons[i], i, settings, key);
  g_timeout_add (CHECK_MS, on_check, NULL);
  g_timeout_add_seconds ((guint)atoi (argv[3]), on_end, loop);
  g_main_loop_run (loop);
  printf ("without permit %.3f %% of the time, longest %.0f ms\n",
          checks > 0 ? 100.0 * (double)without / (double)checks : 0.0,
          (double)longest_gap / 1e3);
  return 0;
}
