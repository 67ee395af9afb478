/**
 * @file libcons.h
 * Internals shared by the cons*.c files.
 */
#ifndef QG_LIBCONS_H
#define QG_LIBCONS_H

#include "cons.h"

G_BEGIN_DECLS

/** How the leader replicates to a member. */
typedef enum
{
  PEER_PROBE,   /**< one append at a time until a common entry is found */
  PEER_STREAM,  /**< appends are pipelined */
  PEER_SNAPSHOT /**< chunks of a snapshot */
} ConsPeerMode;

/** What this member knows about another member, by name. */
typedef struct
{
  QgStr *name;
  guint64 disk; /**< as in the peer's last message; 0: none yet */
  guint64 boot;
  guint64 nonce;
  ConsPeerMode mode;
  /** Up to this index, the peer's synced log equals the leader's log. */
  guint64 match;
  guint64 next;        /**< first index not sent yet */
  QgTime probe_until;  /**< no further probe before this time */
  QgTime echoed_time;  /**< latest sent_us that the peer echoed; lease start */
  QgTime last_contact; /**< time of its last message */
  gboolean granted;    /**< gave its vote or pre-vote in the current election */
  gboolean heartbeat_due;
  QgConsSnapshot *snapshot; /**< being sent to the peer, or NULL */
  gsize acked;              /**< bytes of snapshot acknowledged by the peer */
} ConsPeer;

/** The membership in force from @a index on. */
typedef struct
{
  guint64 index;
  GBytes *packed;
  Qg__ConsMembers *members;
} ConsConfig;

/** A message to send once write number @a after_write is synced. */
typedef struct
{
  guint64 after_write;
  QgStr *to;
  Qg__ConsMsg *msg;
} ConsQueued;

struct QgCons
{
  gint refs;
  QgConsOptions opts;
  QgStr *name;
  guint64 rng;
  QgTime now;

  QgConsHardState hard;
  QgConsRole role;
  QgStr *leader;
  /** Time of the leader's last message; initially the start time, as a lease
   * granted before a restart may still run. */
  QgTime last_leader_contact;
  QgTime election_at;
  QgTime heartbeat_at;
  QgTime lead_since;
  QgTime leased_at; /**< when this leader last held a lease, or began to lead */
  guint64 known_commit;     /**< highest commit index that a leader sent */
  guint64 first_own_index;  /**< first index appended as leader, or 0 */
  guint64 heartbeat_commit; /**< commit index at the last heartbeat */
  GPtrArray *peers;         /**< ConsPeer */

  GPtrArray *log; /**< QgConsEntry; the first has index base + 1 */
  guint64 base;
  guint64 base_term;
  guint64 base_position;
  GArray *configs; /**< ConsConfig, oldest first, at least one */
  QgConsSnapshot *snapshot;
  guint64 commit;
  guint64 applied;
  /** Up to this index, the log equals the log of this term's leader. */
  guint64 verified;
  guint64 stable;    /**< last synced index */
  guint64 submitted; /**< last index passed to the caller for writing */

  guint64 write_seq;    /**< number of the last write passed to the caller */
  QgTime write_started; /**< when this write was passed on */
  guint64 done_seq;     /**< number of the last write completed */
  guint64 hard_seq;     /**< number of the last write with a new hard state */
  guint64 install_seq;  /**< number of the write with the installed snapshot */
  gboolean hard_dirty;
  gboolean install_write_pending; /**< installed snapshot not written yet */
  gboolean install_apply_pending; /**< installed snapshot not applied yet */
  guint64 write_last;             /**< last entry of the write in progress */
  guint64 synced_term;            /**< last term known to be synced */
  guint64 writing_term;           /**< term in the write in progress */

  GByteArray *incoming; /**< snapshot being received, or NULL */
  guint64 incoming_index;
  guint64 incoming_term;
  GQueue out; /**< ConsQueued */

  guint64 other_fleet; /**< the other fleet that was heard of last */
  QgTime other_until;  /**< when that no longer counts */
  QgTime other_met_at; /**< when this member itself met it; 0: never */

  QgStr *address;             /**< this member's own, for a restored fleet */
  Qg__ConsMembers *founders;  /**< as listed in the settings, sorted by name */
  gpointer founder_answers;   /**< for each founder; private to cons_found.c */
  QgTime founders_ask_at;     /**< when to ask the other founders again */
  QgTime founders_vote_until; /**< when a refused candidate gives up */
  gboolean founders_refused;  /**< a founder refused its vote in this term */
  QgTime founders_report_at;  /**< when to report what this member waits for */
};

/* cons.c */
guint64 cons_random (QgCons *cons);
/** Random identity of a folder or a fleet, never 0. */
guint64 cons_random_id (QgCons *cons);
void cons_send (QgCons *cons, const char *to, Qg__ConsMsg *msg,
                guint64 after_write);
Qg__ConsMsg *cons_msg_new (QgCons *cons, Qg__ConsType type);
/** Number of the write that must be synced before the hard state may be
 * sent. */
guint64 cons_hard_state_write (QgCons *cons);
/** Number of the write that must be synced before all entries may be
 * acknowledged. */
guint64 cons_pending_write (QgCons *cons);
void cons_set_term (QgCons *cons, guint64 term);
ConsPeer *cons_peer (QgCons *cons, const char *name);
QgTime cons_lease_duration (QgCons *cons);

/* cons_log.c */
guint64 cons_last_index (const QgCons *cons);
guint64 cons_term_at (const QgCons *cons, guint64 index);
QgConsEntry *cons_entry (const QgCons *cons, guint64 index);
guint64 cons_log_position (const QgCons *cons, guint64 index);
gboolean cons_log_append (QgCons *cons, QgConsEntry *entry);
gboolean cons_log_truncate (QgCons *cons, guint64 from);
void cons_log_reset (QgCons *cons, QgConsSnapshot *snapshot);
gboolean cons_log_up_to_date (const QgCons *cons, guint64 index, guint64 term);

/* cons_member.c */
Qg__ConsMember *cons_members_find (const Qg__ConsMembers *members,
                                   const char *name);
void cons_config_clear (gpointer data);
ConsConfig *cons_config (const QgCons *cons);
const Qg__ConsMember *cons_config_find (const ConsConfig *config,
                                        const char *name);
gboolean cons_config_add (QgCons *cons, guint64 index, GBytes *packed);
void cons_config_truncate (QgCons *cons, guint64 from);
gboolean cons_is_voter (QgCons *cons);
/** Whether @a peer counts in a quorum of @a config: the peer is a voter, and
 * its disk is the recorded one. */
gboolean cons_counts_in_quorum (const ConsConfig *config, const ConsPeer *peer);
/**
 * The largest value that a quorum of @a config has reached; @a self is the
 * value of this member.
 */
guint64 cons_quorum_value (QgCons *cons, const ConsConfig *config, guint64 self,
                           guint64 (*value) (const ConsPeer *));
void cons_members_update (QgCons *cons);
Qg__ConsMember *cons_member_new (const char *name, const char *address);
void cons_member_push (Qg__ConsMembers *members, Qg__ConsMember *member);
GBytes *cons_members_pack (const Qg__ConsMembers *members);

/* cons_found.c */
void cons_founders_init (QgCons *cons);
void cons_founders_clear (QgCons *cons);
void cons_founders_write (const QgCons *cons, Qg__ConsMsg *msg);
/** To be called once the state was loaded. */
void cons_found_start (QgCons *cons);
void cons_found_tick (QgCons *cons);
void cons_found_on_answer (QgCons *cons, const ConsPeer *peer,
                           const Qg__ConsMsg *msg);
/** Whether this member may vote for @a from as the founder of a fleet. */
gboolean cons_found_can_grant (const QgCons *cons, const char *from,
                               const Qg__ConsMsg *msg);
/** Whether this member stands for election as the founder of a fleet. */
gboolean cons_found_is_candidate (const QgCons *cons);
void cons_found_count_votes (QgCons *cons);

/* cons_other.c */
/** Whether @a msg comes from another fleet; it then goes no further. */
gboolean cons_other_fleet_receive (QgCons *cons, const char *from,
                                   const Qg__ConsMsg *msg);
void cons_other_fleet_write (QgCons *cons, Qg__ConsMsg *msg);

/* cons_vote.c */
void cons_become_follower (QgCons *cons, const char *leader);
/** Whether this member follows a leader that it heard of lately. */
gboolean cons_hears_leader (const QgCons *cons);
void cons_reset_election_timer (QgCons *cons);
void cons_campaign (QgCons *cons, gboolean pre);
void cons_count_votes (QgCons *cons);
void cons_on_vote_ask (QgCons *cons, const char *from, const Qg__ConsMsg *msg);
void cons_on_vote (QgCons *cons, ConsPeer *peer, const Qg__ConsMsg *msg);

/* cons_append.c */
void cons_become_leader (QgCons *cons);
gboolean cons_append_as_leader (QgCons *cons, Qg__ConsKind kind, GBytes *data);
void cons_replicate (QgCons *cons);
void cons_on_append (QgCons *cons, const char *from, const Qg__ConsMsg *msg);
void cons_on_appended (QgCons *cons, ConsPeer *peer, const Qg__ConsMsg *msg);
void cons_advance_commit (QgCons *cons);
void cons_peer_reset (QgCons *cons, ConsPeer *peer);
QgTime cons_quorum_answered_time (QgCons *cons, const ConsConfig *config);

/* cons_snap.c */
gboolean cons_send_chunk (QgCons *cons, ConsPeer *peer);
void cons_on_snap (QgCons *cons, const char *from, const Qg__ConsMsg *msg);
void cons_on_snap_got (QgCons *cons, ConsPeer *peer, const Qg__ConsMsg *msg);
void cons_peer_snapshot_clear (ConsPeer *peer);

G_END_DECLS

#endif
