/**
 * @file join.h
 * Which control member a new one has replaced. Keeps the number of voters
 * constant: once there are more voters than wanted, the one that has been
 * silent for longest is removed, after QG_JOIN_SILENCE. A new VM therefore
 * replaces a lost VM without an operator, and a member that only lost its
 * connections stays until a replacement votes.
 *
 * A pure state machine. Every member counts how long the others are silent,
 * whether or not it leads: until the replaced member is removed, the loss of
 * one more disk can cost the quorum, and a leader that began to count with its
 * leadership would never be done where leaderships are short. What a member
 * counts is no vote. A removal is an entry of the log that a quorum of the
 * members without the removed one has to commit.
 */
#ifndef QG_JOIN_H
#define QG_JOIN_H

#include "cons.h"

G_BEGIN_DECLS

/** Silence after which a member may be removed: longer than a process may stand
 * still, shorter than the 4 s after which the fleet has to survive the next
 * loss. */
#define QG_JOIN_SILENCE (3 * QG_SEC)
/** After a longer time between two calls of qg_join_tick() this process stood
 * still. It then listens for as long as that, at most QG_JOIN_LISTEN_MAX,
 * before it removes a member: the others may have closed their connections to
 * it. */
#define QG_JOIN_TICK_MAX (250 * QG_MSEC)
/** Members connect again within 1 s. */
#define QG_JOIN_LISTEN_MAX QG_SEC

typedef struct _QgJoin QgJoin;

/** @param name   this member, which never replaces itself
 *  @param wanted number of voters to keep */
QgJoin *qg_join_new (const char *name, guint wanted);
void qg_join_free (QgJoin *join);

/** Something came from the member @a name. */
void qg_join_heard (QgJoin *join, const char *name, QgTime now);

/**
 * To be called every 10 to 50 ms by leaders and followers, after
 * qg_join_heard().
 *
 * @return the member that the leader may remove, borrowed from @a status; NULL:
 * none
 */
const char *qg_join_tick (QgJoin *join, const QgConsStatus *status, QgTime now);

G_END_DECLS

#endif
