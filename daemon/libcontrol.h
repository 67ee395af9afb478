/**
 * @file libcontrol.h
 * What the files of the control role share.
 */
#ifndef QG_LIBCONTROL_H
#define QG_LIBCONTROL_H

#include "control.h"
#include "lib/pace.h"
#include "lib/hub.h"
#include "lib/registry.h"
#include "lib/share.h"
#include "lib/store.h"
#include "operator.h"
#include "peer.h"

/** File in the data folder that asks for a restore. */
#define CONTROL_RESTORE_MARK "restore"

enum
{
  CONTROL_TICK_MS = 20,
  /** Time in which daemons connect before a directory is taken as whole. */
  CONTROL_SETTLE_MS = 3000,
  /** Absence after which a daemon leaves the directory. */
  CONTROL_GONE_MS = 2000,
  /** Absence after which an agent's running claims get an unknown outcome. */
  CONTROL_HOLDER_GONE_MS = 30000,
  /** A command without a result for so long gets an unknown outcome. */
  CONTROL_PENDING_MS = 5000,
  /** Entries applied between snapshots. */
  CONTROL_SNAPSHOT_ENTRIES = 4096,
  /** Bytes of the log between snapshots: with the segments that are kept behind
   * one, a folder stays below half of a 64 MB disk. */
  CONTROL_SNAPSHOT_BYTES = 16 * 1024 * 1024,
  /** Largest command: it has to fit in a frame between members. */
  CONTROL_COMMAND_MAX = 6 * 1024 * 1024,
};

/** Called once with the result of a command; result only with QG_OK. */
typedef QgOperatorDone ControlDone;

/** A daemon that has reported here; kept by name. */
typedef struct
{
  char *name;
  Qg__Role role;
  char *dc;
  char *region;
  char *service;
  char *address;
  guint64 incarnation;
  QgPeer *peer; /* NULL while it is not connected */
  gboolean watching;
  guint64 change_sent;   /* change of the manifest sent on it */
  guint64 manifest_sent; /* version of the text sent on it */
  guint64 targets_sent;  /* version of the registry sent on it */
  guint64 sent;          /* revision sent on this connection */
  guint64 revision;      /* revision it reported */
  guint running;
  QgTime seen;
  gboolean listed; /* in the directory */
  gboolean told_ahead;
} ControlDaemon;

/** Another member, by name. */
typedef struct
{
  char *name;
  char *address;
  QgPeer *dialled;     /* owned by the hub */
  QgPeer *accepted;    /* its connection to here, or NULL */
  QgTime absent_since; /* as the leader sees it */
} ControlMember;

/** Counters for the metrics. */
typedef struct
{
  guint64 proposed;
  guint64 committed;
  guint64 refused;
  guint64 permits;
  guint64 updates;
  guint64 snapshots;
} ControlCounts;

struct QgControl
{
  QgSettings *settings;
  QgPeerHub *peers;
  QgStoreFs *fs;
  QgStore *store;
  QgCons *cons;
  QgRsm *rsm;
  QgOperator *operators;
  QgHub *fair;
  QgShareHub *shares;           /* while it leads */
  QgRegistry *registry;         /* while it leads */
  QgPace targets_pace;          /* of news of them */
  QgManifestRead read_manifest; /* NULL: no public interface */
  guint64 fair_epoch;
  guint timer;
  guint pump;
  gboolean disk_busy; /* a write or snapshot runs in a thread */
  gboolean failed;    /* the disk failed: this member takes part no more */
  gboolean closing;
  QgConsWrite write;
  QgConsSnapshot *saving;
  guint64 saved_index;
  guint64 applied_bytes; /* since the last snapshot */
  GHashTable *pending;   /* guint64 index to Pending */
  GHashTable *members;   /* name to ControlMember */
  GHashTable *daemons;   /* name to ControlDaemon */
  guint64 lead_term;     /* term in which it serves, 0 if it does not */
  QgTime lead_since;
  QgTime started;
  guint64 directory;     /* version: term and count */
  gboolean settled_told; /* the whole directory was sent */
  QgTime holders_at;
  QgTime joined_at; /* last look at the membership */
  ControlCounts counts;
};

/* control_log.c */
QgStatus control_log_open (QgControl *control, QgErr *err);
void control_log_close (QgControl *control);
/** A restored fleet has its first leader: the mark goes. */
void control_restored (QgControl *control);
/** Lets the log make progress once the present events are handled. */
void control_wake (QgControl *control);
/** QG_OK when a quorum confirmed that this member leads, now. */
QgStatus control_may_serve (QgControl *control, QgErr *err);
void control_propose (QgControl *control, GBytes *command, ControlDone done,
                      gpointer user);
/** Ends what waits too long, with an unknown outcome. */
void control_expire_pending (QgControl *control);
void control_log_tick (QgControl *control);

/* control_member.c */
void control_members_sync (QgControl *control);
void control_member_up (QgControl *control, QgPeer *peer);
void control_member_down (QgControl *control, QgPeer *peer);
void control_member_send (QgControl *control, const char *to,
                          const Qg__ConsMsg *msg);
void control_member_message (QgControl *control, QgPeer *peer,
                             const Qg__Consensus *consensus);
void control_member_free (gpointer data);

/** Keeps a connection to the member @a name. */
void control_member_dial (QgControl *control, const char *name,
                          const char *address);

/* control_join.c */
void control_join_tick (QgControl *control);
/** Another member told who leads. */
void control_join_told (QgControl *control, const Qg__NotLeader *told);

/* control_watch.c */
void control_daemon_up (QgControl *control, QgPeer *peer);
void control_daemon_down (QgControl *control, QgPeer *peer);
ControlDaemon *control_daemon_of (QgControl *control, QgPeer *peer);
void control_daemon_free (gpointer data);
void control_on_watch (QgControl *control, QgPeer *peer,
                       const Qg__PeerMsg *msg);
void control_on_permit_ask (QgControl *control, QgPeer *peer,
                            const Qg__PeerMsg *msg);
/** Sends the newest document to all that watch. */
void control_push_document (QgControl *control);
void control_push_levels (QgControl *control, const Qg__PoisonResult *result);
void control_not_leader (QgControl *control, QgPeer *peer);
void control_watch_tick (QgControl *control);

/* control_manifest.c */
void control_push_manifest (QgControl *control);
void control_send_manifest (QgControl *control, ControlDaemon *daemon);

/* control_target.c */
void control_targets_lead (QgControl *control);
void control_targets_end (QgControl *control);
void control_targets_tick (QgControl *control);
/** Sends what @a daemon does not know of the targets. */
void control_send_targets (QgControl *control, ControlDaemon *daemon);
/** Something of the targets changed: those that watch will hear of it. */
void control_push_targets (QgControl *control);

/* control_share.c */
void control_on_demand (QgControl *control, QgPeer *peer,
                        const Qg__PeerMsg *msg);

/* control_directory.c */
void control_send_directory (QgControl *control, ControlDaemon *to);
void control_directory_add (QgControl *control, ControlDaemon *daemon);
void control_directory_remove (QgControl *control, ControlDaemon *daemon);
/** A new term has a directory of its own. */
void control_directory_restart (QgControl *control);
gboolean control_settled (const QgControl *control);

/* control_ask.c */
void control_on_claim_ask (QgControl *control, QgPeer *peer,
                           const Qg__PeerMsg *msg);
void control_on_claim_done (QgControl *control, QgPeer *peer,
                            const Qg__PeerMsg *msg);
void control_on_crash_ask (QgControl *control, QgPeer *peer,
                           const Qg__PeerMsg *msg);
void control_on_fair_report (QgControl *control, QgPeer *peer,
                             const Qg__PeerMsg *msg);
void control_holders_tick (QgControl *control);

/* control_operator.c */
extern const QgOperatorOps control_operator_ops;
void control_propose_first_document (QgControl *control);

#endif
