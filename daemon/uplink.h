/**
 * @file uplink.h
 * The link of an entry or agent to the control members: finds the leader,
 * renews the permit to give new work, follows the configuration and the
 * directory on the board, and asks for replicated decisions.
 */
#ifndef QG_UPLINK_H
#define QG_UPLINK_H

#include "board.h"
#include "peer.h"

G_BEGIN_DECLS

typedef struct QgUplink QgUplink;

/**
 * The answer to an ask; NULL when none came before its deadline. @a answer is
 * valid during the call only.
 */
typedef void (*QgUplinkAnswer) (gpointer user, const Qg__PeerMsg *answer);

/**
 * @param hub used to dial the members named by the settings; its owner passes
 *   the messages of these peers to qg_uplink_message().
 * @param running returns the number of running requests, for the operators.
 */
QgUplink *qg_uplink_new (QgBoard *board, QgPeerHub *hub,
                         guint (*running) (gpointer user), gpointer user);
void qg_uplink_free (QgUplink *uplink);

/** TRUE when @a peer is one of the control members. */
gboolean qg_uplink_owns (const QgUplink *uplink, const QgPeer *peer);

/** Connection changes and messages of the control members. */
void qg_uplink_up (QgUplink *uplink, QgPeer *peer);
void qg_uplink_down (QgUplink *uplink, QgPeer *peer);
void qg_uplink_message (QgUplink *uplink, QgPeer *peer, const Qg__PeerMsg *msg);

/** The leader when it is connected, else NULL. */
QgPeer *qg_uplink_leader (const QgUplink *uplink);

/** A number for the seq member of an ask. */
guint64 qg_uplink_next_seq (QgUplink *uplink);

/**
 * Sends @a msg (ClaimAsk, ClaimDone, CrashAsk) to the leader, and again to its
 * successor or after a pause until an answer with the same seq comes or
 * @a deadline passes; the asked decision must be idempotent.
 */
void qg_uplink_ask (QgUplink *uplink, const Qg__PeerMsg *msg, guint64 seq,
                    QgTime deadline, QgUplinkAnswer answer, gpointer user);

/** Asks that are not answered yet. */
guint qg_uplink_pending (const QgUplink *uplink);

G_END_DECLS

#endif
