/**
 * @file libcontrol.h
 * Declarations shared by the files of the control role.
 */
#ifndef QG_LIBCONTROL_H
#define QG_LIBCONTROL_H

#include "clock.h"
#include "control.h"
#include "lib/pace.h"
#include "lib/hub.h"
#include "lib/join.h"
#include "lib/registry.h"
#include "lib/rollout.h"
#include "lib/share.h"
#include "lib/store.h"
#include "operator.h"
#include "peer.h"

/** File in the data folder by which an operator requests a restore of the fleet
 * from the log of this member. */
#define CONTROL_RESTORE_FILE "restore"

enum
{
  CONTROL_TICK_MS = 20,
  /** Time for daemons to connect before the directory counts as complete. */
  CONTROL_SETTLE_MS = 3000,
  /** Time without a connection after which a daemon is removed from the
   * directory. */
  CONTROL_DAEMON_TIMEOUT_MS = 2000,
  /** How long an agent is disconnected before its running claims get an unknown
   * outcome. */
  CONTROL_HOLDER_TIMEOUT_MS = 30000,
  /** Interval between attempts to write to a disk that is full or fails. */
  CONTROL_DISK_RETRY_MS = 100,
  /** Time without a result before a command gets an unknown outcome. */
  CONTROL_COMMAND_TIMEOUT_MS = 5000,
  /** Interval at which versions are looked for whose targets are gone. */
  CONTROL_VERSIONS_CHECK_MS = 1000,
  /** Entries applied between snapshots. */
  CONTROL_SNAPSHOT_ENTRIES = 4096,
  /** Bytes of the log between snapshots. With the segments that are kept
   * behind a snapshot, the folder stays below half of a 64 MB disk. */
  CONTROL_SNAPSHOT_BYTES = 16 * 1024 * 1024,
  /** Largest command, which has to fit in a frame between members. */
  CONTROL_MAX_COMMAND_BYTES = 6 * 1024 * 1024,
};

/** Called once; the result of the command is NULL unless the status is QG_OK.
 */
typedef QgOperatorDone ControlDone;

/** A daemon that has connected to this member. */
typedef struct
{
  char *name;
  Qg__Role role;
  char *dc;
  char *region;
  char *service;
  char *address;
  guint64 incarnation;
  QgPeer *peer;      /* NULL while it is not connected */
  gboolean watching; /* the daemon subscribed to updates */
  /* Last sent on this connection: */
  guint64 manifest_change_sent;  /* QgManifestLog.change */
  guint64 manifest_version_sent; /* QgManifestLog.version */
  guint64 targets_sent;          /* version of the registry; 0: none */
  gboolean knows_targets;        /* a target update was sent */
  guint64 revision_sent;         /* revision of the document */
  guint64 revision; /* revision of the document that the daemon reported */
  guint running;    /* running requests, as the daemon reported */
  QgTime last_seen; /* last report, or last change of the connection */
  gboolean listed;  /* in the directory */
  gboolean later_revision_logged; /* QG_EV_DAEMON_AHEAD was logged */
} ControlDaemon;

/** Another control member. */
typedef struct
{
  char *name;
  char *address;
  QgPeer *dialled;  /* connection opened by this member; owned by the hub */
  QgPeer *accepted; /* connection opened by the other member, or NULL */
  guint64 received; /* qg_peer_received() of its connections */
} ControlMember;

/** Counters for the metrics. */
typedef struct
{
  guint64 proposed;
  guint64 applied;
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
  QgOperatorServer *operator_server; /* NULL: not configured */
  QgHub *fair_hub;                   /* while this member leads, else NULL */
  QgShareHub *share_hub;             /* while this member leads, else NULL */
  QgRegistry *registry;              /* while this member leads, else NULL */
  GHashTable *rollouts;              /* service to its rollout in progress;
                                        NULL unless this member leads */
  QgTime rollouts_sent_at;           /* last update to all relays; 0: due */
  /* Services and versions of which a command is in progress or has failed; NULL
   * unless this member leads. */
  GHashTable *version_commands;
  QgTime next_versions_check;
  GQueue held_leaves;        /* leaves whose answers are held back */
  GHashTable *taken_answers; /* target id to the last answer that its process
                                took */
  QgPace targets_pace;       /* limits the rate of target updates */
  QgManifestReadFunc read_manifest; /* NULL: no public interface */
  guint64 fair_epoch;
  guint timer;          /* source of the tick */
  guint pump;           /* idle source of the next log step, or 0 */
  gboolean disk_busy;   /* a write or snapshot runs in a thread */
  QgStatus disk_status; /* of the last write */
  gboolean failed;      /* disk or state error: this member takes no part */
  gboolean closing;
  QgConsWrite write;
  QgConsSnapshot *saving;
  guint64 snapshot_index; /* log index of the last snapshot */
  QgTime applied_at;      /* time at which the last command was applied */
  guint64 applied_bytes;  /* bytes of the log applied since the last snapshot */
  GQueue checks;          /* manifests; a thread checks the first */
  GHashTable *pending;    /* guint64 index to Pending */
  GHashTable *members;    /* name to ControlMember */
  GHashTable *daemons;    /* name to ControlDaemon */
  guint64 lead_term; /* term in which this member leads and serves; 0: none */
  QgTime lead_since;
  QgTime started;
  guint64 directory_version; /* term in the upper 32 bits, count in the lower */
  gboolean full_directory_sent;  /* the complete directory was sent */
  QgTime next_holders_check;     /* next check of claim holders */
  QgJoin *join;                  /* which member a new one has replaced */
  QgTime last_membership_change; /* by this member */
  char *named_leader; /* to processes that may want to join; or NULL */
  ControlCounts counts;
};

/* control.c */
/** Where other processes reach this member. */
const char *control_peer_address (const QgSettings *settings);

/* control_log.c */
QgStatus control_log_open (QgControl *control, QgErr *err);
void control_log_close (QgControl *control);
/** Removes the restore file once the restored fleet has a leader. */
void control_remove_restore_file (QgControl *control);
/** Schedules the next step of the log, after the events that are pending. */
void control_schedule_pump (QgControl *control);
/** QG_OK while a quorum confirms that this member leads. */
QgStatus control_may_serve (QgControl *control, QgErr *err);
/** The same for changes and reads of the configuration, which are refused while
 * another fleet is met. */
QgStatus control_may_change (QgControl *control, QgErr *err);
/** The time for a new command of the log. */
QgTime control_log_now (const QgControl *control);
/** Proposes @a command; @a done may be NULL, or be called before the return. */
void control_propose (QgControl *control, GBytes *command, ControlDone done,
                      gpointer user);
/** The same for a change of the configuration, see control_may_change(); @a
 * done must be given. */
void control_propose_change (QgControl *control, GBytes *command,
                             ControlDone done, gpointer user);
/** Completes commands that time out, with an unknown outcome. */
void control_expire_pending (QgControl *control);
void control_log_tick (QgControl *control);

/* control_member.c */
/** Dials the members that the log names, or those in the settings if the log
 * names none. */
void control_dial_members (QgControl *control);
void control_member_up (QgControl *control, QgPeer *peer);
void control_member_down (QgControl *control, QgPeer *peer);
void control_member_send (QgControl *control, const char *to,
                          const Qg__ConsMsg *msg);
void control_member_message (QgControl *control, QgPeer *peer,
                             const Qg__Consensus *consensus);
void control_member_free (gpointer data);

/** Keeps a connection to the member @a name at @a address. */
void control_member_dial (QgControl *control, const char *name,
                          const char *address);

/* control_join.c */
void control_join_tick (QgControl *control);
/** Dials the leader that another member named. */
void control_join_on_not_leader (QgControl *control,
                                 const Qg__NotLeader *reply);

/* control_watch.c */
void control_daemon_up (QgControl *control, QgPeer *peer);
void control_daemon_down (QgControl *control, QgPeer *peer);
/** The daemon of @a peer; NULL when a newer connection replaced @a peer. */
ControlDaemon *control_daemon_find (QgControl *control, QgPeer *peer);
void control_daemon_free (gpointer data);
void control_on_watch (QgControl *control, QgPeer *peer,
                       const Qg__PeerMsg *msg);
void control_on_permit_ask (QgControl *control, QgPeer *peer,
                            const Qg__PeerMsg *msg);
void control_on_sync_ask (QgControl *control, QgPeer *peer,
                          const Qg__PeerMsg *msg);
/** Sends the newest document to all subscribed daemons. */
void control_push_document (QgControl *control);
/** Sends changed isolation levels to all subscribed daemons. */
void control_push_quarantine (QgControl *control,
                              const Qg__PoisonResult *result);
/** Sends the addresses of all members to all subscribed daemons, so that they
 * find a leader after all members that they started with were replaced. */
void control_push_members (QgControl *control);
/** Tells @a peer which member leads, if that is known. */
void control_send_not_leader (QgControl *control, QgPeer *peer);
void control_watch_tick (QgControl *control);

/* control_manifest.c */
/** Reads a manifest in a thread; called there. May set @a err. */
typedef void (*ControlInspect) (const QgManifest *manifest, gpointer user,
                                QgErr *err);
/** Called once in the main thread; err->status is QG_OK, what @a inspect or the
 * reader of manifests set, or QG_E_UNKNOWN when control is closing. */
typedef void (*ControlInspected) (gpointer user, const QgErr *err);
void control_inspect_manifest (QgControl *control, GBytes *text,
                               ControlInspect inspect,
                               ControlInspected inspected, gpointer user);
/** Answers the manifests that are being checked. */
void control_manifest_close (QgControl *control);
void control_push_manifest (QgControl *control);
void control_send_manifest (QgControl *control, ControlDaemon *daemon);

/* control_target.c */
void control_targets_start (QgControl *control);
void control_targets_stop (QgControl *control);
void control_targets_tick (QgControl *control);
/** Sends the target changes that @a daemon has not received. */
void control_send_targets (QgControl *control, ControlDaemon *daemon);
/** The same if there are any; FALSE if this leader can't say so yet. */
gboolean control_complete_targets (QgControl *control, ControlDaemon *daemon);
/** Sends target changes to all relays, now or at the next interval. */
void control_push_targets (QgControl *control);

/* control_leave.c */
/** Calls @a done once the log holds what the target @a id last stated, if that
 * is that it leaves, and otherwise at once. The answer to a deregistration is
 * held back for a while. */
void control_leave_save (QgControl *control, const char *id, QgControlDone done,
                         gpointer user);
/** Gives the answers that are held back. */
void control_leaves_close (QgControl *control);

/* control_life.c */
void control_on_life_ask (QgControl *control, QgPeer *peer,
                          const Qg__PeerMsg *msg);

/* control_version.c */
void control_versions_start (QgControl *control);
void control_versions_stop (QgControl *control);
void control_versions_tick (QgControl *control);
/** Whether relays may use targets of @a service with @a version. */
gboolean control_version_is_saved (const QgControl *control,
                                   const char *service, const char *version);
/** Adds the version of a target that sends heartbeats to the log. */
void control_version_note (QgControl *control, const char *service,
                           const char *version);

/* control_rollout.c */
void control_rollouts_start (QgControl *control);
void control_rollouts_stop (QgControl *control);
void control_rollouts_tick (QgControl *control);
/** Sends the state of all rollouts that relays have to apply. */
void control_send_rollouts (QgControl *control, ControlDaemon *daemon);
void control_rollout_add_metrics (const QgControl *control, QgMetrics *metrics);
void control_on_rollout_report (QgControl *control, QgPeer *peer,
                                const Qg__PeerMsg *msg);

/* control_share.c */
void control_on_demand (QgControl *control, QgPeer *peer,
                        const Qg__PeerMsg *msg);

/* control_directory.c */
void control_send_directory (QgControl *control, ControlDaemon *to);
void control_directory_add (QgControl *control, ControlDaemon *daemon);
void control_directory_remove (QgControl *control, ControlDaemon *daemon);
/** Starts a new directory version for a new term. */
void control_directory_restart (QgControl *control);
/** Whether this leader has given daemons time to connect. */
gboolean control_settle_time_passed (const QgControl *control);

/* control_ask.c */
void control_on_claim_ask (QgControl *control, QgPeer *peer,
                           const Qg__PeerMsg *msg);
void control_on_claim_done (QgControl *control, QgPeer *peer,
                            const Qg__PeerMsg *msg);
void control_on_crash_ask (QgControl *control, QgPeer *peer,
                           const Qg__PeerMsg *msg);
void control_on_fair_report (QgControl *control, QgPeer *peer,
                             const Qg__PeerMsg *msg);
/** Gives an unknown outcome to the running claims of agents that are gone. */
void control_claim_holders_tick (QgControl *control);

/* control_operator.c */
extern const QgOperatorOps control_operator_ops;
/** Proposes the document of the settings as the first one of a new fleet. */
void control_propose_first_document (QgControl *control);

#endif
