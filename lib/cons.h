/**
 * @file cons.h
 * Raft-style replicated log of the control members, as a pure state machine:
 * the caller passes in time, messages and completed writes, and takes out
 * messages, writes and committed entries. See docs/design/consensus.md.
 *
 * The replicated membership records for each member its name and its disk id,
 * a random identity of its data folder. A member counts in a quorum only if
 * both match the record. A new, wiped or rolled-back folder gets a new disk id,
 * so its member starts as a learner. When the learner has caught up and synced,
 * a committed entry makes it a voter.
 */
#ifndef QG_CONS_H
#define QG_CONS_H

#include "proto/cons.pb-c.h"
#include "qg.h"

G_BEGIN_DECLS

/** Maximum number of members, voters and learners together. */
#define QG_CONS_MAX_MEMBERS 32

/** One entry of the log; immutable and reference counted. */
typedef struct
{
  gint refs;
  guint64 index;
  guint64 term;
  Qg__ConsKind kind;
  GBytes *data;
  guint64 position; /**< log bytes up to the entry's end; set by QgCons */
} QgConsEntry;

/** Creates an entry, which holds a reference on @a data. */
QgConsEntry *qg_cons_entry_new (guint64 index, guint64 term, Qg__ConsKind kind,
                                GBytes *data);
QgConsEntry *qg_cons_entry_ref (QgConsEntry *entry);
void qg_cons_entry_unref (QgConsEntry *entry);

/** State that a member must keep across a restart, in addition to its log
 * entries. */
typedef struct
{
  guint64 term;
  QgStr *vote;         /**< candidate that got the vote of this member in this
                            term; NULL if the member has not voted */
  guint64 disk;        /**< identity of the data folder, random, never 0 */
  guint64 boot;        /**< number of starts on this folder */
  guint64 nonce;       /**< random at each start */
  gboolean bootstraps; /**< may begin a fleet while the log is empty; kept, as
                            a restart may come before there is a fleet */
} QgConsHardState;

/** The applied state up to @a index; immutable and reference counted. */
typedef struct
{
  gint refs;
  guint64 index;
  guint64 term;
  GBytes *members; /**< packed Qg__ConsMembers in force at @a index */
  GBytes *data;
} QgConsSnapshot;

QgConsSnapshot *qg_cons_snapshot_new (guint64 index, guint64 term,
                                      GBytes *members, GBytes *data);
QgConsSnapshot *qg_cons_snapshot_ref (QgConsSnapshot *snapshot);
void qg_cons_snapshot_unref (QgConsSnapshot *snapshot);

/** Contents of the data folder at start. */
typedef struct
{
  QgConsHardState hard;
  QgConsSnapshot *snapshot; /**< NULL if no snapshot was taken yet */
  GPtrArray *entries;       /**< QgConsEntry after the snapshot, by index */
} QgConsState;

/** Releases what @a state holds, and empties @a state. */
void qg_cons_state_clear (QgConsState *state);

/** Options of a member; zero fields take the defaults. */
typedef struct
{
  const char *name;
  const char *address; /**< of this member, for the others */
  /** "name@address" of the members that begin a new fleet, NULL terminated and
   * the same for all processes; NULL or empty: this member alone. Read by
   * qg_cons_new() only. */
  const char *const *founders;
  guint64 seed;         /**< seed of all random numbers of the member */
  QgTime heartbeat;     /**< default 50 ms */
  QgTime election_min;  /**< shortest time without a leader's message after
                              which a member may request votes; default
                              500 ms */
  QgTime election_max;  /**< longest time without a leader's message before a
                           voter requests votes; default 1 s or twice
                           election_min, whichever is longer */
  guint drift_ppm;      /**< maximum rate error of any member's clock */
  guint batch_entries;  /**< most entries in one message */
  gsize batch_bytes;    /**< most bytes of entries in one message */
  gsize inflight_bytes; /**< most unacknowledged bytes to one member */
  gsize backlog_bytes;  /**< uncommitted bytes before proposals are refused */
  gsize chunk_bytes;    /**< bytes of a snapshot in one message */
  guint keep_entries;   /**< entries kept before a snapshot for slow members */
  gsize keep_bytes;     /**< most bytes of the entries that are kept */
  QgTime disk_timeout; /**< longest write; a leader with a longer one resigns */
} QgConsOptions;

typedef enum
{
  QG_CONS_FOLLOWER,
  QG_CONS_PRECANDIDATE,
  QG_CONS_CANDIDATE,
  QG_CONS_LEADER,
  QG_N_CONS_ROLES
} QgConsRole;

typedef struct QgCons QgCons;

/**
 * Creates a member that continues from @a state. The member takes over and
 * empties @a state, increments the number of starts (boot) and sends nothing
 * until the new number is persisted.
 */
QgCons *qg_cons_new (const QgConsOptions *opts, QgConsState *state, QgTime now);
QgCons *qg_cons_ref (QgCons *cons);
void qg_cons_unref (QgCons *cons);

/**
 * Lets this member begin a new fleet while its log is empty. Has no effect
 * unless it is one of the founders. It begins the fleet, with all founders as
 * voters, once each of them has voted for that with an empty log, so that a
 * wiped member rejoins its fleet instead of beginning a second one. Of several
 * founders that bootstrap, the one whose name sorts first stands for election.
 */
void qg_cons_bootstrap (QgCons *cons);

/**
 * Begins a fleet that continues the log of this member, without asking anybody:
 * this member is the only voter and the other founders are learners, which are
 * promoted once they have caught up. Serves to restore a backup when all other
 * members are lost. The folder gets a new identity.
 */
void qg_cons_restore (QgCons *cons);

/* inputs */

/** Handles timeouts; call every 10 to 50 ms. */
void qg_cons_tick (QgCons *cons, QgTime now);

/** Handles @a msg. The sender, @a from, need not be a member. */
void qg_cons_receive (QgCons *cons, const char *from, const Qg__ConsMsg *msg,
                      QgTime now);

/**
 * Appends @a command to the log of the leader.
 *
 * @return QG_OK, QG_E_NOT_LEADER, or QG_E_OVERLOADED when too many bytes are
 * uncommitted. The command is committed only when qg_cons_take_apply() returns
 * the entry with index @a index and term @a term.
 */
QgStatus qg_cons_propose (QgCons *cons, GBytes *command, guint64 *index,
                          guint64 *term, QgErr *err);

/** Adds a learner, which is promoted once it has caught up. */
QgStatus qg_cons_member_add (QgCons *cons, const char *name,
                             const char *address, QgErr *err);

/** Removes a member; a leader that removes itself resigns after the commit. */
QgStatus qg_cons_member_remove (QgCons *cons, const char *name, QgErr *err);

/** Reports that the disk refuses the write in progress, which is repeated until
 * it succeeds. A leader resigns, so that a member whose disk works can lead. */
void qg_cons_write_refused (QgCons *cons, QgTime now);

/** Reports that write number @a seq and all earlier writes are synced. */
void qg_cons_persisted (QgCons *cons, guint64 seq, QgTime now);

/**
 * Reports that the caller saved a snapshot of its state, so that the log before
 * the snapshot may be dropped.
 */
void qg_cons_compact (QgCons *cons, QgConsSnapshot *snapshot);

/* outputs: after each input, call each of the following functions until it
 * returns FALSE */

/** A write: what the caller must make durable, in one step and in the order of
 * these fields. */
typedef struct
{
  guint64 seq;
  QgConsHardState hard;     /**< always complete */
  QgConsSnapshot *snapshot; /**< replaces stored snapshot and log, or NULL */
  GPtrArray *entries;       /**< replace the log from their first index on */
} QgConsWrite;

/**
 * Takes the next write; FALSE if there is none. At most one write is in
 * progress: the next write is available after qg_cons_persisted(). The caller
 * must clear @a write with qg_cons_write_clear().
 */
gboolean qg_cons_take_write (QgCons *cons, QgConsWrite *write);
void qg_cons_write_clear (QgConsWrite *write);

/** Takes the next message to send; FALSE if there is none. The caller must
 * release @a to and @a msg. */
gboolean qg_cons_take_message (QgCons *cons, QgStr **to, Qg__ConsMsg **msg);

/** What to apply next: a snapshot to restore, or an entry. */
typedef struct
{
  QgConsSnapshot *snapshot; /**< NULL for an entry */
  QgConsEntry *entry;
} QgConsApply;

/** Takes the next item to apply; FALSE if there is none. The caller must
 * clear @a apply with qg_cons_apply_clear(). */
gboolean qg_cons_take_apply (QgCons *cons, QgConsApply *apply);
void qg_cons_apply_clear (QgConsApply *apply);

/* state */

/**
 * End of the leader's lease, on the leader's own clock; 0 if there is no lease.
 * No other member can be leader before the lease ends. Until then, reads and
 * permits may be served if qg_cons_ready_to_serve() returns TRUE.
 */
QgTime qg_cons_lease_until (QgCons *cons, QgTime now);

/** Whether this member is leader and has applied all entries that earlier
 * leaders committed. */
gboolean qg_cons_ready_to_serve (QgCons *cons);

/**
 * Identity of another fleet, whose leader this member or one of its fleet has
 * met within the last 10 s; 0 if there is none.
 */
guint64 qg_cons_other_fleet (QgCons *cons, QgTime now);

/** One member, as shown to the operator. */
typedef struct
{
  QgStr *name;
  QgStr *address;
  guint64 disk;
  gboolean voter;
  gboolean reachable; /**< sent a message within election_max; leader only */
  guint64 match;      /**< last synced index that is known; leader only */
} QgConsMemberInfo;

typedef struct
{
  QgConsRole role;
  const char *leader; /**< borrowed; NULL if unknown */
  guint64 term;
  guint64 disk;
  guint64 boot;
  guint64 commit;
  guint64 applied;
  guint64 last;
  guint64 stable;
  guint64 snapshot;
  gboolean voter; /**< this member is a voter by its copy of the membership */
  guint n_members;
  QgConsMemberInfo members[QG_CONS_MAX_MEMBERS]; /**< borrowed strings */
} QgConsStatus;

/** Fills @a status; its strings are valid until the next input. */
void qg_cons_status (QgCons *cons, QgTime now, QgConsStatus *status);

/** Name of @a role, such as "leader". */
const char *qg_cons_role_name (QgConsRole role);

/** The entry at @a index, or NULL; borrowed. */
const QgConsEntry *qg_cons_entry_at (QgCons *cons, guint64 index);

/** Packed membership as of @a index, for a snapshot; the caller must release
 * it. */
GBytes *qg_cons_members_at (QgCons *cons, guint64 index);

/** Term of the entry at @a index; 0 if the log does not hold the entry. */
guint64 qg_cons_term_at (QgCons *cons, guint64 index);

G_END_DECLS

#endif
