/**
 * @file httpaccept.h
 * Accepts the connections of libsoup's servers. libsoup 3.2 never frees the
 * socket of a connection that its own listener accepts, and forgets a
 * connection that its client closes between two requests. So a server gets a
 * connection anew for each request, and none while there is no request.
 */
#ifndef QG_HTTPACCEPT_H
#define QG_HTTPACCEPT_H

#include <libsoup/soup.h>

G_BEGIN_DECLS

/** Accepts connections at @a socket, which listens, until @a server is freed.
 */
void qg_httpaccept_start (SoupServer *server, GSocket *socket);

/** The TCP port at which @a server accepts connections;
 * soup_server_get_uris() does not know it. */
guint qg_httpaccept_port (SoupServer *server);

/** The socket of the connection of @a msg; NULL when the connection has ended
 * or has passed to the next request. soup_server_message_get_socket() does not
 * know it. */
GSocket *qg_httpaccept_socket (SoupServerMessage *msg);

G_END_DECLS

#endif
