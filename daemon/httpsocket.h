/**
 * @file httpsocket.h
 * Sockets of the connections that libsoup's servers accept. libsoup 3.2 keeps a
 * reference to each of them for ever, so that neither its memory nor, where the
 * client closes an idle connection, its descriptor is freed.
 */
#ifndef QG_HTTPSOCKET_H
#define QG_HTTPSOCKET_H

#include <libsoup/soup.h>

G_BEGIN_DECLS

/** Drops the reference that this version of libsoup keeps, if it keeps one, to
 * the socket of @a msg. Call it when a request starts; only the first call for
 * a connection counts. */
void qg_httpsocket_drop_kept (SoupServerMessage *msg);

/**
 * Whether this version of libsoup keeps such a reference: tried once, with a
 * connection of this process to itself.
 *
 * @return FALSE also when that could not be tried.
 */
gboolean qg_httpsocket_is_kept (void);

G_END_DECLS

#endif
