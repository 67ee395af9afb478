/**
 * @file http.h
 * Helpers of the daemon's HTTP servers: listening, bearer tokens, JSON
 * responses and errors as problem details (RFC 9457).
 */
#ifndef QG_HTTP_H
#define QG_HTTP_H

#include "lib/qg.h"
#include "proto/peer.pb-c.h"

#include <libsoup/soup.h>

G_BEGIN_DECLS

enum
{
  QG_HTTP_SHA256_BYTES = 32,
};

/** Parses "ip:port"; NULL when @a address is malformed. */
GSocketAddress *qg_http_parse_address (const char *address);

/** Makes @a server accept connections at "ip:port". Its requests count in the
 * budget of the process (httpguard.h); bodies above @a body_max bytes are not
 * stored. */
QgStatus qg_http_listen (SoupServer *server, const char *address,
                         gsize body_max, QgErr *err);

/**
 * Computes the SHA-256 of the request's bearer token.
 *
 * @return FALSE when there is no bearer token.
 */
gboolean qg_http_hash_bearer_token (SoupServerMessage *msg,
                                    guint8 sha256[QG_HTTP_SHA256_BYTES]);

/**
 * Whether the body of a request that libsoup has read may lack its end: libsoup
 * takes the end of the connection for the end of a chunked body. A whole body
 * whose sender has closed its side of the connection cannot be told from that.
 * Call it when the handler runs.
 */
gboolean qg_http_may_be_cut (SoupServerMessage *msg);

/** Sends a JSON response. */
void qg_http_send_json (SoupServerMessage *msg, guint status, const char *json);

/**
 * Sends an error response as problem details: kind, remedy and run (whether the
 * request was run: "not-run", "unknown" or "ran").
 */
void qg_http_refuse (SoupServerMessage *msg, QgStatus kind, Qg__Run run,
                     const char *detail);

/** The name of @a run in problem details. */
const char *qg_http_run_name (Qg__Run run);

G_END_DECLS

#endif
