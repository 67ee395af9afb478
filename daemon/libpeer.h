/**
 * @file libpeer.h
 * Internal declarations of the peer module: peer.c (connections), peer_frame.c
 * (framing), peer_poll.c (event loop) and peer_hello.c (handshake and proof of
 * the fleet key).
 */
#ifndef QG_LIBPEER_H
#define QG_LIBPEER_H

#include "clock.h"
#include "peer.h"

#include <gio/gio.h>

enum
{
  QG_PEER_NONCE_BYTES = 32,
  QG_PEER_HEADER_BYTES = 4,
  QG_PEER_READ_BYTES = 64 * 1024,
  /* Limit of a frame before the peer has proved that it has the fleet's key. */
  QG_PEER_HANDSHAKE_BYTES = 4 * 1024,
  QG_PEER_RECONNECT_MIN_MS = 50,
  /* Connections that are silent for longer are replaced. Changes and leaves
   * have to be in force within 2.5 s; a new connection then needs some round
   * trips. */
  QG_PEER_SILENCE_LIMIT_MS = 1400,
};

typedef enum
{
  QG_PEER_IDLE,  /* not connected */
  QG_PEER_HELLO, /* waiting for the peer's Hello */
  QG_PEER_PROOF, /* waiting for the peer's Proof */
  QG_PEER_UP,    /* handshake complete */
} PeerState;

struct QgPeer
{
  QgPeerHub *hub; /* NULL once removed from its hub */
  PeerState state;
  gboolean dialled;
  GSocketAddress *address;
  GCancellable *dialling;
  guint reconnect_timer;
  guint reconnect_ms;       /* delay before the next attempt */
  guint handshake_limit_ms; /* of silence during the next handshake */
  GSocketConnection *connection;
  GSocket *socket;
  gboolean wants_write; /* registered for EPOLLOUT */
  GByteArray *in;
  GByteArray *out;
  gsize out_sent;         /* bytes of out already sent */
  Qg__Hello *hello;       /* Hello of the peer; NULL until it arrives */
  GBytes *hello_sent;     /* packed message, covered by the proofs */
  GBytes *hello_received; /* packed message, covered by the proofs */
  gint64 last_received_ms;
  guint64 received;    /* number of reads */
  gint64 last_sent_ms; /* time of the last message to the peer */
  gpointer data;
};

struct QgPeerHub
{
  QgPeerOptions options;
  GSocketService *service;
  GPtrArray *peers;
  guint check_timer;
  gint64 checked_ms; /* time of the last check for silence */
  int epoll;         /* watches all connections; polled by the main loop */
  guint epoll_source;
  QgPeerTraffic traffic;
};

/** Closes the connection, and calls the owner's down callback once the
 * connection state has been reset. @a why is for the log. */
void qg_peer_drop (QgPeer *peer, const char *why);

/** Handle a socket that has become readable or writable. */
void qg_peer_readable (QgPeer *peer);
void qg_peer_writable (QgPeer *peer);

/**
 * Polling of a hub's sockets. All connections share one main loop source,
 * because the main loop checks each of its sources in every iteration.
 */
void qg_peer_poll_open (QgPeerHub *hub);
void qg_peer_poll_close (QgPeerHub *hub);
void qg_peer_poll_add (QgPeer *peer);
void qg_peer_poll_want_write (QgPeer *peer, gboolean want);
void qg_peer_poll_remove (QgPeer *peer);

/** Queues @a msg in any state of a connected peer. */
void qg_peer_queue (QgPeer *peer, const Qg__PeerMsg *msg);

/** The steps of the handshake. */
void qg_peer_send_hello (QgPeer *peer);
void qg_peer_handle_hello (QgPeer *peer, Qg__PeerMsg *msg, const guint8 *data,
                           gsize size);
void qg_peer_handle_proof (QgPeer *peer, const Qg__PeerMsg *msg);

/** Milliseconds on the monotonic clock. */
gint64 qg_peer_now_ms (void);

#endif
