/**
 * @file cons.h
 * Replicated log among the control members, as a pure state machine: the
 * caller passes time, messages and the completion of writes, and takes out
 * messages, writes and committed entries. See docs/design/consensus.md.
 *
 * A member is counted in a quorum only as the pair (name, disk): the identity
 * of its data folder, as recorded in the replicated membership. A new, wiped
 * or rolled-back folder gets another identity, is a learner and becomes a voter
 * again by a committed entry after it has caught up and synced.
 */
#ifndef QG_CONS_H
#define QG_CONS_H

#include "proto/cons.pb-c.h"
#include "qg.h"

G_BEGIN_DECLS

/** Most members, voters and learners together. */
#define QG_CONS_MAX_MEMBERS 32

/** One entry of the log; immutable and reference counted. */
typedef struct
{
  gint refs;
  guint64 index;
  guint64 term;
  Qg__ConsKind kind;
  GBytes *data;
  guint64 position; /**< bytes of the log up to and with it; kept by QgCons */
} QgConsEntry;

/** A new entry that holds a reference on @a data. */
QgConsEntry *qg_cons_entry_new (guint64 index, guint64 term, Qg__ConsKind kind,
                                GBytes *data);
QgConsEntry *qg_cons_entry_ref (QgConsEntry *entry);
void qg_cons_entry_unref (QgConsEntry *entry);

/** What a member must not forget over a restart, beside its entries. */
typedef struct
{
  guint64 term;
  QgStr *vote;   /**< whom it voted for in this term, or NULL */
  guint64 disk;  /**< identity of the data folder, random, never 0 */
  guint64 boot;  /**< number of starts on this folder */
  guint64 nonce; /**< random at each start */
} QgConsHard;

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

/** What the data folder held at start. */
typedef struct
{
  QgConsHard hard;
  QgConsSnapshot *snapshot; /**< NULL if none was ever taken */
  GPtrArray *entries;       /**< QgConsEntry, after the snapshot, in order */
} QgConsState;

/** Releases what @a state holds, and empties it. */
void qg_cons_state_clear (QgConsState *state);

/** Construction of a member; zero fields take the defaults. */
typedef struct
{
  const char *name;
  guint64 seed;        /**< source of all its randomness */
  QgTime heartbeat;    /**< default 50 ms */
  QgTime election_min; /**< silence after which a member may ask for
                             votes; default 500 ms */
  QgTime election_max;
  guint drift_ppm;      /**< bound on the rate error of any member's clock */
  guint batch_entries;  /**< entries in one message at most */
  gsize batch_bytes;    /**< bytes of entries in one message at most */
  gsize inflight_bytes; /**< unacknowledged bytes to one member at most */
  gsize backlog_bytes;  /**< uncommitted bytes before proposals are refused */
  gsize chunk_bytes;    /**< bytes of a snapshot in one message */
  guint keep_entries;   /**< entries kept behind a snapshot for laggards */
  gsize keep_bytes;     /**< and their bytes at most */
  QgTime disk_limit;    /**< a leader whose write takes longer resigns */
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
 * A member that continues from @a state, which it takes over and empties. It
 * counts a start (boot) and takes part only once that is persisted.
 */
QgCons *qg_cons_new (const QgConsOptions *opts, QgConsState *state, QgTime now);
QgCons *qg_cons_ref (QgCons *cons);
void qg_cons_unref (QgCons *cons);

/**
 * Founds a new fleet if the log is empty: entry 1 names this member as the only
 * voter and @a peers ("name@address", NULL terminated) as learners that are
 * promoted once they have caught up. It waits until each peer has answered that
 * its log is empty too, so that a wiped member joins its fleet in place of
 * founding a second one; of two founders the first by name goes on.
 */
void qg_cons_found (QgCons *cons, const char *address,
                    const char *const *peers);

/* inputs */

/** Lets time pass; call every 10 to 50 ms. */
void qg_cons_tick (QgCons *cons, QgTime now);

/** A message of the member @a from; others than members may send too. */
void qg_cons_receive (QgCons *cons, const char *from, const Qg__ConsMsg *msg,
                      QgTime now);

/**
 * Appends @a command to the log of the leader.
 *
 * @return QG_OK, QG_E_NOT_LEADER, or QG_E_OVERLOADED when too many bytes wait
 * for their commit. The command is accepted only when the entry with this index
 * and term is taken out by qg_cons_take_apply().
 */
QgStatus qg_cons_propose (QgCons *cons, GBytes *command, guint64 *index,
                          guint64 *term, QgErr *err);

/** Adds a learner, which is promoted once it has caught up. */
QgStatus qg_cons_member_add (QgCons *cons, const char *name,
                             const char *address, QgErr *err);

/** Removes a member; a leader that removes itself resigns after the commit. */
QgStatus qg_cons_member_remove (QgCons *cons, const char *name, QgErr *err);

/** The write number @a seq and all before it are synced. */
void qg_cons_persisted (QgCons *cons, guint64 seq, QgTime now);

/** The caller saved a snapshot of its state; the log before it may go. */
void qg_cons_compact (QgCons *cons, QgConsSnapshot *snapshot);

/* outputs: after each input, call each of these until it returns FALSE */

/** What to make durable, in one step and in this order. */
typedef struct
{
  guint64 seq;
  QgConsHard hard;          /**< always whole */
  QgConsSnapshot *snapshot; /**< replaces snapshot and log, or NULL */
  GPtrArray *entries;       /**< overwrite the log from the first one's index */
} QgConsWrite;

/**
 * The next write, or FALSE. There is at most one in progress: the next comes
 * after qg_cons_persisted(). Cleared with qg_cons_write_clear().
 */
gboolean qg_cons_take_write (QgCons *cons, QgConsWrite *write);
void qg_cons_write_clear (QgConsWrite *write);

/** The next message to send; both are the caller's to release. */
gboolean qg_cons_take_message (QgCons *cons, QgStr **to, Qg__ConsMsg **msg);

/** One step of the state machine: a snapshot to restore, or an entry. */
typedef struct
{
  QgConsSnapshot *snapshot; /**< NULL for an entry */
  QgConsEntry *entry;
} QgConsApply;

/** The next committed step, or FALSE; cleared with qg_cons_apply_clear(). */
gboolean qg_cons_take_apply (QgCons *cons, QgConsApply *apply);
void qg_cons_apply_clear (QgConsApply *apply);

/* state */

/**
 * Until when this member is certain that no other can be leader, on its own
 * clock, or 0. Reads and permits may be served while now is before it and
 * qg_cons_ready_to_serve() holds.
 */
QgTime qg_cons_lease_until (QgCons *cons, QgTime now);

/** Whether it leads and has applied all that earlier leaders committed. */
gboolean qg_cons_ready_to_serve (QgCons *cons);

/** One member as the operator sees it. */
typedef struct
{
  QgStr *name;
  QgStr *address;
  guint64 disk;
  gboolean voter;
  gboolean reachable; /**< heard within the election timeout; leader only */
  guint64 match;      /**< last index known to be synced there; leader only */
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
  gboolean voter; /**< counted in quorums by its own membership */
  guint n_members;
  QgConsMemberInfo members[QG_CONS_MAX_MEMBERS]; /**< borrowed strings */
} QgConsStatus;

/** Fills @a status; its strings are valid until the next input. */
void qg_cons_status (QgCons *cons, QgTime now, QgConsStatus *status);

/** Name of @a role ("leader"). */
const char *qg_cons_role_name (QgConsRole role);

/** The entry at @a index, or NULL; borrowed. */
const QgConsEntry *qg_cons_entry_at (QgCons *cons, guint64 index);

/** Packed members as of @a index, for a snapshot; the caller's to release. */
GBytes *qg_cons_members_at (QgCons *cons, guint64 index);

/** Term of the entry at @a index, 0 if it is not held. */
guint64 qg_cons_term_at (QgCons *cons, guint64 index);

G_END_DECLS

#endif
