/**
 * @file uplink.h
 * The connection of an entry, relay or agent to the control members: finds the
 * leader, renews the permit to start new work, passes configuration and
 * directory updates to the board, and requests replicated decisions.
 */
#ifndef QG_UPLINK_H
#define QG_UPLINK_H

#include "board.h"
#include "peer.h"

G_BEGIN_DECLS

typedef struct QgUplink QgUplink;

/**
 * Called with the answer to a request, or with NULL when no answer came before
 * the deadline of the request. @a answer is valid during the call only.
 */
typedef void (*QgUplinkAnswered) (gpointer user, const Qg__PeerMsg *answer);

/**
 * @param hub dials the members named in the settings; the owner of the hub
 *   must pass the events of these peers to qg_uplink_up(), qg_uplink_down() and
 *   qg_uplink_message().
 * @param count_running callback that returns the number of running requests,
 *   which the status shows to operators.
 */
QgUplink *qg_uplink_new (QgBoard *board, QgPeerHub *hub,
                         guint (*count_running) (gpointer user), gpointer user);
void qg_uplink_free (QgUplink *uplink);

/** Whether @a peer is a connection to a control member. */
gboolean qg_uplink_owns (const QgUplink *uplink, const QgPeer *peer);

/** Handle connection changes and messages of a control member. */
void qg_uplink_up (QgUplink *uplink, QgPeer *peer);
void qg_uplink_down (QgUplink *uplink, QgPeer *peer);
void qg_uplink_message (QgUplink *uplink, QgPeer *peer, const Qg__PeerMsg *msg);

/** The connected leader; NULL while no leader is connected. */
QgPeer *qg_uplink_leader (const QgUplink *uplink);

/**
 * Has the leader tell everything that it knows, so that QgBoard.synced_at
 * becomes @a since or later. Questions are limited in number, and one answers
 * all that began before it: returns when to call this again if the answer has
 * not come. Nothing is asked while no leader is connected.
 */
QgTime qg_uplink_sync (QgUplink *uplink, QgTime since, QgTime now);

/** Returns a new number for the seq field of a request. */
guint64 qg_uplink_next_seq (QgUplink *uplink);

/**
 * Sends the request @a msg (ClaimAsk, ClaimDone or CrashAsk) to the leader.
 * Resends it to a new leader, or after a timeout, until an answer with the same
 * @a seq arrives or @a deadline passes; the request must be idempotent.
 *
 * @param answered called with the answer or at the deadline; may be NULL.
 */
void qg_uplink_request (QgUplink *uplink, const Qg__PeerMsg *msg, guint64 seq,
                        QgTime deadline, QgUplinkAnswered answered,
                        gpointer user);

/** Number of requests without an answer. */
guint qg_uplink_pending (const QgUplink *uplink);

G_END_DECLS

#endif
