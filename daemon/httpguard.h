/**
 * @file httpguard.h
 * One budget of bytes for all HTTP requests of a process that libsoup or
 * platform/api.c reads. libsoup stores whatever a client sends, so clients that
 * send too much, or stop short of the end, would end the process for its
 * memory.
 *
 * Each connection takes a fixed part of the budget, and each piece of a body
 * what it takes in memory, until its request is finished. A request whose body
 * does not fit loses its connection; none of it has run. A connection that does
 * not fit takes the place of the one that has not completed a request for the
 * longest time.
 */
#ifndef QG_HTTPGUARD_H
#define QG_HTTPGUARD_H

#include "lib/bytebudget.h"

#include <libsoup/soup.h>

G_BEGIN_DECLS

enum
{
  /** Limits of the kernel's buffers of a connection, which count as memory of
   * the process: a body of the usual size fits. */
  QG_HTTPGUARD_RECEIVE_BYTES = 64 * 1024,
  QG_HTTPGUARD_SEND_BYTES = 256 * 1024,
};

/** How long a request may take to arrive, from its connection or the request
 * before it. */
#define QG_HTTPGUARD_READ_TIME (60 * QG_SEC)

/** Sets the memory of this process, in bytes. */
void qg_httpguard_init (gsize memory);
/** The budget of this process. */
QgByteBudget *qg_httpguard_budget (void);

/** Sets the options of a listening socket, which its connections inherit. */
void qg_httpguard_limit_socket (GSocket *socket);
/** Limits the requests of @a server; bodies above @a body_max bytes are not
 * stored. */
void qg_httpguard_watch (SoupServer *server, gsize body_max);
/** Whether the body of @a msg was not stored as a whole: refuse it. */
gboolean qg_httpguard_was_cut (SoupServerMessage *msg);

G_END_DECLS

#endif
