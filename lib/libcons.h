/**
 * @file libcons.h
 * Internals shared by the cons*.c files.
 */
#ifndef QG_LIBCONS_H
#define QG_LIBCONS_H

#include "cons.h"

G_BEGIN_DECLS

/** How the leader feeds a member. */
typedef enum
{
  PEER_PROBE,   /**< one append at a time until the logs meet */
  PEER_STREAM,  /**< appends are pipelined */
  PEER_SNAPSHOT /**< chunks of a snapshot */
} ConsPeerMode;

/** What this member knows of another one, by name. */
typedef struct
{
  QgStr *name;
  guint64 disk; /**< of the last message; 0: nothing was heard */
  guint64 boot;
  guint64 nonce;
  ConsPeerMode mode;
  guint64 match;      /**< synced there and equal to the log of this leader */
  guint64 next;       /**< first index not sent yet */
  QgTime probe_until; /**< no second probe before */
  QgTime sent_echo;   /**< latest leader time that it echoed; lease basis */
  QgTime heard;       /**< when its last message came */
  gboolean granted;   /**< vote or pre-vote in the present election */
  gboolean beat;      /**< a heartbeat is due */
  QgConsSnapshot *snapshot;
  gsize acked; /**< bytes of the snapshot that it has */
} ConsPeer;

/** The membership from @a index on. */
typedef struct
{
  guint64 index;
  GBytes *packed;
  Qg__ConsMembers *members;
} ConsConfig;

/** A message that waits for the write number @a need. */
typedef struct
{
  guint64 need;
  QgStr *to;
  Qg__ConsMsg *msg;
} ConsOut;

struct QgCons
{
  gint refs;
  QgConsOptions opts;
  QgStr *name;
  guint64 rng;
  QgTime now;

  QgConsHard hard;
  QgConsRole role;
  QgStr *leader;
  QgTime leader_heard; /**< or the start: promises of an earlier run */
  QgTime election_at;
  QgTime beat_at;
  QgTime lead_since;
  guint64 heard_commit; /**< commit that any leader told */
  guint64 first_own;    /**< index of this leader's first entry */
  guint64 beat_commit;  /**< commit at the last heartbeat */
  GPtrArray *peers;     /**< ConsPeer */

  GPtrArray *log; /**< QgConsEntry, first is base + 1 */
  guint64 base;
  guint64 base_term;
  guint64 base_position;
  GArray *configs; /**< ConsConfig, oldest first, at least one */
  QgConsSnapshot *snapshot;
  guint64 commit;
  guint64 applied;
  guint64 verified; /**< equal to the log of this term's leader up to here */
  guint64 stable;   /**< synced up to here */
  guint64 handed;   /**< handed to the caller's write up to here */

  guint64 write_seq;   /**< of the last write handed out */
  QgTime write_at;     /**< when it was handed out */
  guint64 done_seq;    /**< of the last write completed */
  guint64 hard_seq;    /**< of the last write with a new hard state */
  guint64 install_seq; /**< of the write that holds the installed snapshot */
  gboolean hard_dirty;
  gboolean install; /**< the snapshot is still to be written */
  gboolean install_apply;
  guint64 write_last;    /**< last entry of the write in progress */
  guint64 hard_term;     /**< term that is known to be synced */
  guint64 inflight_term; /**< term in the write in progress */

  GByteArray *incoming; /**< snapshot that is being received */
  guint64 incoming_index;
  guint64 incoming_term;
  GQueue out; /**< ConsOut */

  Qg__ConsMembers *founding; /**< of the fleet to found, or NULL */
  guint founding_blank;      /**< bit by place: answered that it is empty */
  QgTime founding_at;        /**< when to ask again */
};

/* cons.c */
guint64 cons_random (QgCons *cons);
void cons_send (QgCons *cons, const char *to, Qg__ConsMsg *msg, guint64 need);
Qg__ConsMsg *cons_msg_new (QgCons *cons, Qg__ConsType type);
/** The write that a message must wait for if it tells of the hard state. */
guint64 cons_hard_need (QgCons *cons);
guint64 cons_all_need (QgCons *cons);
void cons_set_term (QgCons *cons, guint64 term);
ConsPeer *cons_peer (QgCons *cons, const char *name);
QgTime cons_lease_span (QgCons *cons);

/* cons_log.c */
guint64 cons_last (const QgCons *cons);
guint64 cons_term_at (const QgCons *cons, guint64 index);
QgConsEntry *cons_entry (const QgCons *cons, guint64 index);
guint64 cons_position (const QgCons *cons, guint64 index);
gboolean cons_log_append (QgCons *cons, QgConsEntry *entry);
gboolean cons_log_cut (QgCons *cons, guint64 from);
void cons_log_restart (QgCons *cons, QgConsSnapshot *snapshot);
gboolean cons_log_newer (const QgCons *cons, guint64 index, guint64 term);

/* cons_member.c */
void cons_config_clear (gpointer data);
ConsConfig *cons_config (const QgCons *cons);
const Qg__ConsMember *cons_find (const ConsConfig *config, const char *name);
gboolean cons_config_add (QgCons *cons, guint64 index, GBytes *packed);
void cons_config_cut (QgCons *cons, guint64 from);
gboolean cons_is_voter (QgCons *cons);
/** Whether what @a peer says counts in a quorum of @a config. */
gboolean cons_counts (const ConsConfig *config, const ConsPeer *peer);
/** The largest value that a quorum of @a config has reached. */
guint64 cons_quorum_value (QgCons *cons, const ConsConfig *config, guint64 self,
                           guint64 (*value) (const ConsPeer *));
void cons_members_step (QgCons *cons);
Qg__ConsMember *cons_member_new (const char *name, const char *address);
void cons_member_push (Qg__ConsMembers *members, Qg__ConsMember *member);
GBytes *cons_members_pack (const Qg__ConsMembers *members);

/* cons_found.c */
void cons_found_tick (QgCons *cons);
void cons_found_answer (QgCons *cons, const ConsPeer *peer,
                        const Qg__ConsMsg *msg);
void cons_found_stop (QgCons *cons);

/* cons_vote.c */
void cons_follow (QgCons *cons, const char *leader);
void cons_reset_election (QgCons *cons);
void cons_campaign (QgCons *cons, gboolean pre);
void cons_tally (QgCons *cons);
void cons_on_vote_ask (QgCons *cons, const char *from, const Qg__ConsMsg *msg);
void cons_on_vote (QgCons *cons, ConsPeer *peer, const Qg__ConsMsg *msg);

/* cons_append.c */
void cons_lead (QgCons *cons);
gboolean cons_append_own (QgCons *cons, Qg__ConsKind kind, GBytes *data);
void cons_replicate (QgCons *cons);
void cons_on_append (QgCons *cons, const char *from, const Qg__ConsMsg *msg);
void cons_on_appended (QgCons *cons, ConsPeer *peer, const Qg__ConsMsg *msg);
void cons_advance (QgCons *cons);
void cons_peer_reset (QgCons *cons, ConsPeer *peer);
QgTime cons_confirmed (QgCons *cons, const ConsConfig *config);

/* cons_snap.c */
gboolean cons_send_chunk (QgCons *cons, ConsPeer *peer);
void cons_on_snap (QgCons *cons, const char *from, const Qg__ConsMsg *msg);
void cons_on_snap_got (QgCons *cons, ConsPeer *peer, const Qg__ConsMsg *msg);
void cons_peer_snapshot_clear (ConsPeer *peer);

G_END_DECLS

#endif
