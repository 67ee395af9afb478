/**
 * @file libpeer.h
 * What the files of the peer family share: peer.c (connections), peer_frame.c
 * (frames) and peer_hello.c (proof of the fleet key).
 */
#ifndef QG_LIBPEER_H
#define QG_LIBPEER_H

#include "peer.h"

#include <gio/gio.h>

enum
{
  QG_PEER_NONCE_BYTES = 32,
  QG_PEER_HEADER_BYTES = 4,
  QG_PEER_READ_BYTES = 64 * 1024,
  QG_PEER_REDIAL_MIN_MS = 50,
};

typedef enum
{
  QG_PEER_IDLE,  /* a dialled peer between two connections */
  QG_PEER_HELLO, /* waits for the other side's hello */
  QG_PEER_PROOF, /* waits for the other side's proof */
  QG_PEER_UP,
} PeerState;

struct QgPeer
{
  QgPeerHub *hub; /* NULL once forgotten */
  PeerState state;
  gboolean dialled;
  GSocketAddress *address;
  GCancellable *dialling;
  guint redial_timer;
  guint redial_ms;
  GSocketConnection *connection;
  GSocket *socket;
  GSource *in_source;
  GSource *out_source;
  GByteArray *in;
  GByteArray *out;
  gsize out_start;
  Qg__Hello *hello;
  GBytes *hello_sent;
  GBytes *hello_received;
  gint64 heard_at;
  gpointer data;
};

struct QgPeerHub
{
  QgPeerOptions options;
  GSocketService *service;
  GPtrArray *peers;
  guint heartbeat_timer;
  QgPeerTraffic traffic;
};

/** Ends the connection; the callback comes last, when the state is settled. */
void qg_peer_drop (QgPeer *peer);

/** GSocket callbacks; the user data is the peer. */
gboolean qg_peer_on_readable (GSocket *socket, GIOCondition condition,
                              gpointer user);
gboolean qg_peer_on_writable (GSocket *socket, GIOCondition condition,
                              gpointer user);

/** Queues @a msg whatever the state of the peer. */
void qg_peer_queue (QgPeer *peer, const Qg__PeerMsg *msg);

/** The handshake, a step each. */
void qg_peer_send_hello (QgPeer *peer);
void qg_peer_take_hello (QgPeer *peer, Qg__PeerMsg *msg, const guint8 *data,
                         gsize size);
void qg_peer_take_proof (QgPeer *peer, const Qg__PeerMsg *msg);

/** Milliseconds on the monotonic clock. */
gint64 qg_peer_now_ms (void);

#endif
