/**
 * @file peer.h
 * Connections between the processes of the fleet: length-framed protobuf over
 * TCP, both sides prove the fleet key before any other message, heartbeats
 * find dead connections, dialled peers reconnect with a growing pause.
 *
 * All calls belong to the thread of the default main context.
 */
#ifndef QG_PEER_H
#define QG_PEER_H

#include "lib/qg.h"
#include "proto/peer.pb-c.h"

G_BEGIN_DECLS

enum
{
  /** Largest frame in bytes; a longer one closes its connection. */
  QG_PEER_FRAME_MAX = 8 * 1024 * 1024,
  /** Most unsent bytes of one connection; more closes it. */
  QG_PEER_OUT_MAX = 64 * 1024 * 1024,
  QG_PEER_VERSION = 1,
  QG_PEER_KINDS = 64,
};

typedef struct QgPeer QgPeer;
typedef struct QgPeerHub QgPeerHub;

/** Callbacks of the owner of a hub. @a msg is valid during the call only. */
typedef struct
{
  void (*up) (gpointer user, QgPeer *peer);
  void (*down) (gpointer user, QgPeer *peer);
  void (*message) (gpointer user, QgPeer *peer, const Qg__PeerMsg *msg);
} QgPeerOps;

/** Who this process is to its peers; the hub copies all of it. */
typedef struct
{
  Qg__Role role;
  const char *name;
  const char *dc;
  const char *region;
  const char *service; /**< agents only, else NULL */
  const char *address; /**< where others reach this process, or NULL */
  guint64 incarnation;
  GBytes *fleet_key;
  const QgPeerOps *ops;
  gpointer user;
} QgPeerOptions;

/** Frames and bytes by message kind (Qg__PeerMsg__KindCase), both ways. */
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

/** No callback is called from now on: for an owner that takes itself apart. */
void qg_peer_hub_quiet (QgPeerHub *hub);

/** Accepts peers at "ip:port"; QG_E_IO or QG_E_INVALID on failure. */
QgStatus qg_peer_hub_listen (QgPeerHub *hub, const char *address, QgErr *err);

/**
 * Keeps a connection to "ip:port" until qg_peer_hub_forget().
 *
 * @return a peer that the hub owns, or NULL when @a address is malformed.
 */
QgPeer *qg_peer_hub_dial (QgPeerHub *hub, const char *address);

/** Ends a dialled peer; @a peer may be freed by this call. */
void qg_peer_hub_forget (QgPeerHub *hub, QgPeer *peer);

/** Traffic of this hub since it was made. */
const QgPeerTraffic *qg_peer_hub_traffic (const QgPeerHub *hub);

QgPeer *qg_peer_ref (QgPeer *peer);
void qg_peer_unref (QgPeer *peer);

/** TRUE between the up and the down callback. */
gboolean qg_peer_is_up (const QgPeer *peer);

/** What the other side said of itself; valid while the peer is up. */
const Qg__Hello *qg_peer_hello (const QgPeer *peer);

/**
 * Queues @a msg for sending.
 *
 * @return FALSE when the peer is not up; the message is then dropped.
 */
gboolean qg_peer_send (QgPeer *peer, const Qg__PeerMsg *msg);

/** Bytes queued and not yet taken by the operating system. */
gsize qg_peer_unsent (const QgPeer *peer);

/** Closes the connection; a dialled peer connects again later. */
void qg_peer_close (QgPeer *peer);

/** One pointer for the owner of the hub. */
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
