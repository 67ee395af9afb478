/**
 * @file libpeer.h
 * What the files of the peer family share: peer.c (connections), peer_frame.c
 * (frames), peer_poll.c (waiting) and peer_hello.c (proof of the fleet key).
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
  gboolean wants_write; /* unsent bytes wait for the socket */
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
  int epoll; /* all connections; the main loop sees one descriptor */
  guint epoll_source;
  QgPeerTraffic traffic;
};

/** Ends the connection; the callback comes last, when the state is settled. */
void qg_peer_drop (QgPeer *peer);

/** The socket has bytes to read, or room for more. */
void qg_peer_readable (QgPeer *peer);
void qg_peer_writable (QgPeer *peer);

/**
 * Waiting for the sockets of a hub. The main loop looks at each of its sources
 * in every turn, so the connections share one.
 */
void qg_peer_poll_open (QgPeerHub *hub);
void qg_peer_poll_close (QgPeerHub *hub);
void qg_peer_poll_add (QgPeer *peer);
void qg_peer_poll_want_write (QgPeer *peer, gboolean want);
void qg_peer_poll_remove (QgPeer *peer);

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
