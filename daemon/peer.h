/**
 * @file peer.h
 * Connections between the processes of the fleet: length-prefixed protobuf
 * messages over TCP. Both sides prove that they know the fleet key before any
 * other message, heartbeats detect dead connections, and the dialling side
 * reconnects with exponential backoff.
 *
 * Not thread-safe: call all functions from the thread of the default main
 * context.
 */
#ifndef QG_PEER_H
#define QG_PEER_H

#include "lib/qg.h"
#include "proto/peer.pb-c.h"

G_BEGIN_DECLS

enum
{
  /** Maximum frame payload in bytes; a longer frame closes its connection. */
  QG_PEER_MAX_FRAME_BYTES = 8 * 1024 * 1024,
  /** Maximum unsent bytes of one connection; a connection with more is
   * closed. */
  QG_PEER_MAX_UNSENT_BYTES = 64 * 1024 * 1024,
  QG_PEER_VERSION = 1, /**< version of the protocol */
  QG_PEER_KINDS = 64,  /**< rows of QgPeerTraffic */
};

typedef struct QgPeer QgPeer;
typedef struct QgPeerHub QgPeerHub;

/** Callbacks to the owner of a hub. @a msg is valid during the call only. */
typedef struct
{
  void (*up) (gpointer user, QgPeer *peer);
  void (*down) (gpointer user, QgPeer *peer);
  void (*message) (gpointer user, QgPeer *peer, const Qg__PeerMsg *msg);
} QgPeerOps;

/** Identity of this process, as announced to its peers. The hub copies the
 * strings and references the key; @a ops must outlive the hub. */
typedef struct
{
  Qg__Role role;
  const char *name;
  const char *dc;
  const char *region;
  const char *service; /**< NULL for all roles but the agent */
  const char *address; /**< "ip:port" for peers to connect to, or NULL */
  guint64 incarnation;
  GBytes *fleet_key;
  const QgPeerOps *ops;
  gpointer user;
} QgPeerOptions;

/** Frames and bytes by message kind (Qg__PeerMsg__KindCase) and direction. */
typedef struct
{
  guint64 frames_in[QG_PEER_KINDS];
  guint64 bytes_in[QG_PEER_KINDS];
  guint64 frames_out[QG_PEER_KINDS];
  guint64 bytes_out[QG_PEER_KINDS];
} QgPeerTraffic;

QgPeerHub *qg_peer_hub_new (const QgPeerOptions *options);

/** Closes all connections without calling the owner's callbacks. */
void qg_peer_hub_free (QgPeerHub *hub);

/** Disables all callbacks, for an owner that is being freed. */
void qg_peer_hub_disable_callbacks (QgPeerHub *hub);

/** Listens for peers at "ip:port"; QG_E_IO or QG_E_INVALID on failure. */
QgStatus qg_peer_hub_listen (QgPeerHub *hub, const char *address, QgErr *err);

/**
 * Connects to "ip:port", and reconnects after each failure or loss of the
 * connection, until qg_peer_hub_remove().
 *
 * @return a peer owned by the hub, or NULL when @a address is malformed.
 */
QgPeer *qg_peer_hub_dial (QgPeerHub *hub, const char *address);

/** Closes a dialled peer and stops reconnecting. Drops the hub's reference,
 * which may free @a peer. */
void qg_peer_hub_remove (QgPeerHub *hub, QgPeer *peer);

/** Traffic of this hub since it was created. */
const QgPeerTraffic *qg_peer_hub_traffic (const QgPeerHub *hub);

QgPeer *qg_peer_ref (QgPeer *peer);
void qg_peer_unref (QgPeer *peer);

/** Whether the handshake is complete: TRUE from up() to down(). */
gboolean qg_peer_is_up (const QgPeer *peer);

/** The identity that the peer announced; valid while the peer is up. */
const Qg__Hello *qg_peer_hello (const QgPeer *peer);

/**
 * Queues @a msg for sending.
 *
 * @return FALSE when the peer is not up; the message is dropped.
 */
gboolean qg_peer_send (QgPeer *peer, const Qg__PeerMsg *msg);

/** How often this process has read from the connections of @a peer: changes
 * whenever the peer is heard. */
guint64 qg_peer_received (const QgPeer *peer);

/** Bytes queued and not yet accepted by the kernel. */
gsize qg_peer_unsent (const QgPeer *peer);

/** Closes the connection; a dialled peer reconnects later. */
void qg_peer_close (QgPeer *peer);

/** A pointer for use by the hub's owner. */
void qg_peer_set_data (QgPeer *peer, gpointer data);
gpointer qg_peer_get_data (const QgPeer *peer);

G_END_DECLS

/** Sends one message: QG_SEND (peer, PULL_EMPTY, pull_empty, &m). */
#define QG_SEND(peer, CASE, field, pointer)                                    \
  (__extension__({                                                             \
    Qg__PeerMsg qg_msg = QG__PEER_MSG__INIT;                                   \
    qg_msg.kind_case = QG__PEER_MSG__KIND_##CASE;                              \
    qg_msg.field = (pointer);                                                  \
    qg_peer_send ((peer), &qg_msg);                                            \
  }))

#endif
