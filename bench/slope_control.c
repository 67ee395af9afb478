/*
 * Simulates N daemons that follow a control quorum. Each has the uplink and the
 * board (QgBoard, the fleet's state as a daemon knows it) of a real daemon and
 * renews its permit. Prints a line for each revision that all boards have
 * reached, with the monotonic time in microseconds, and at the end the share of
 * time without a permit.
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
  CHECK_INTERVAL_MS = 5,
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
static guint64 printed_revision;
/* Numbers of checks of a board: one check per board and interval, counted from
 * the time when all_had_permit is set. */
static guint64 checks_without_permit;
static guint64 checks;
static QgTime longest_gap;       /* longest time of a board without a permit */
static QgTime *permit_last_seen; /* by daemon */
static gboolean all_had_permit;  /* all boards, at one of the checks */

static guint
running_requests (gpointer user)
{
  return 0;
}

static void
on_up (gpointer user, QgPeer *peer)
{
  Daemon *daemon = user;

  if (daemon->uplink != NULL)
    qg_uplink_up (daemon->uplink, peer);
}

static void
on_down (gpointer user, QgPeer *peer)
{
  Daemon *daemon = user;

  if (daemon->uplink != NULL)
    qg_uplink_down (daemon->uplink, peer);
}

static void
on_message (gpointer user, QgPeer *peer, const Qg__PeerMsg *msg)
{
  qg_uplink_message (((Daemon *)user)->uplink, peer, msg);
}

static const QgPeerOps ops = { on_up, on_down, on_message };

static void
daemon_start (Daemon *daemon, guint i, QgSettings *settings, GBytes *key)
{
  QgPeerOptions options = { 0 };

  daemon->name = g_strdup_printf ("d%u", i);
  options.role = QG__ROLE__ROLE_ENTRY;
  options.name = daemon->name;
  options.dc = settings->daemon.dc;
  options.region = settings->daemon.region;
  options.address = "127.0.0.1:1";
  options.incarnation = (guint64)g_get_real_time ();
  options.fleet_key = key;
  options.ops = &ops;
  options.user = daemon;
  daemon->hub = qg_peer_hub_new (&options);
  daemon->board = qg_board_new (settings, NULL, NULL);
  daemon->uplink
      = qg_uplink_new (daemon->board, daemon->hub, running_requests, daemon);
}

static gboolean
on_check_timer (gpointer user)
{
  QgTime now = g_get_monotonic_time ();
  guint64 min_revision = G_MAXUINT64;
  gboolean all_have_permit = TRUE;

  for (guint i = 0; i < n_daemons; i++)
    {
      const QgBoard *board = daemons[i].board;
      gboolean has_permit = board->permit_until > now;

      min_revision = MIN (min_revision, board->revision);
      all_have_permit = all_have_permit && has_permit;
      if (has_permit)
        permit_last_seen[i] = now;
      if (!all_had_permit)
        continue;
      checks++;
      checks_without_permit += !has_permit;
      longest_gap = MAX (longest_gap, now - permit_last_seen[i]);
    }
  all_had_permit = all_had_permit || all_have_permit;
  if (min_revision > printed_revision)
    {
      printf ("revision %" G_GUINT64_FORMAT " at %" G_GINT64_FORMAT "\n",
              min_revision, now);
      fflush (stdout);
      printed_revision = min_revision;
    }
  return G_SOURCE_CONTINUE;
}

static gboolean
on_end_timer (gpointer user)
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
  permit_last_seen = g_new0 (QgTime, n_daemons);
  for (guint i = 0; i < n_daemons; i++)
    daemon_start (&daemons[i], i, settings, key);
  g_timeout_add (CHECK_INTERVAL_MS, on_check_timer, NULL);
  g_timeout_add_seconds ((guint)atoi (argv[3]), on_end_timer, loop);
  g_main_loop_run (loop);
  printf ("without permit %.3f %% of the time, longest %.0f ms\n",
          checks > 0 ? 100.0 * (double)checks_without_permit / (double)checks
                     : 0.0,
          (double)longest_gap / 1e3);
  return 0;
}
