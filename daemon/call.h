/**
 * @file call.h
 * One caller's request at an entry, from its arrival to the last byte of its
 * answer. Holds the request for the agent, and how much of the answer was
 * forwarded to the caller.
 */
#ifndef QG_CALL_H
#define QG_CALL_H

#include "lib/ini.h"
#include "lib/poison.h"
#include "lib/retry.h"
#include "lib/ssepass.h"
#include "lib/stream.h"
#include "peer.h"
#include "trace.h"

#include <libsoup/soup.h>

G_BEGIN_DECLS

/** State of a call; QG_CALL_DONE is final. */
typedef enum
{
  QG_CALL_QUEUED,         /**< in the entry's queue */
  QG_CALL_RUNNING,        /**< sent to an agent, or attached to its answer */
  QG_CALL_AWAITING_AGENT, /**< the agent with its answer isn't connected */
  QG_CALL_BACKING_OFF,    /**< waits before it is queued again */
  QG_CALL_DONE,           /**< answered or refused */
} QgCallState;

typedef struct QgEntry QgEntry;

/** A call; reference counted by g_rc_box. */
typedef struct
{
  guint64 id; /**< unique within the entry's incarnation */
  QgEntry *entry;
  QgCallState state;
  SoupServerMessage *msg; /**< NULL once the caller is gone */
  gboolean pipelined;     /**< the connection has a further request to read */
  QgStr *workspace;
  QgStr *service;
  guint64 revision; /**< of the document that allowed the request */
  guint8 caller_key[QG_SHA256_BYTES]; /**< SHA-256 of the API key */
  guint size_class;
  gboolean once; /**< at most once: runs only under a claim of key */
  char *key;     /**< idempotency key, "" if none */
  char *method;
  char *path;
  GPtrArray *headers; /**< of Qg__Header; headers sent to the target */
  GBytes *body;
  guint8 body_hash[32];
  QgSpan span;
  char traceparent[QG_TRACEPARENT_BYTES]; /**< sent to the agent */
  const char *outcome; /**< static; how the call ended, for its span */
  guint32 estimate;    /**< tokens or slot milliseconds */
  QgTime arrived_at;
  QgTime deadline;
  QgTime sent_at;
  QgTime head_at;
  guint attempt;    /**< number of the attempt to run the request, from 1 */
  QgPeer *agent;    /**< owned connection to the agent; NULL if none */
  char *agent_name; /**< name of the agent that runs it or has its answer */
  guint64 agent_incarnation;
  guint64
      assign_number;    /**< of the Assign to it; 0: another request's answer */
  gboolean attached;    /**< the agent was sent Attach, not Assign */
  gboolean until_close; /**< the answer ends with the connection: HTTP/1.0 */
  guint redirects;      /**< times the call was redirected to a holder */
  guint timer;        /**< set while AWAITING_AGENT, BACKING_OFF or attached */
  QgOutcome progress; /**< whether the request ran, as far as known */
  QgOutcome own_progress; /**< whether this call's attempts ran it */
  guint8 fingerprint[QG_POISON_FINGERPRINT_BYTES];
  QgPoisonLevel level;   /**< isolation of the current attempt */
  QgStream stream;       /**< position in the answer */
  gboolean joined;       /**< another request began the run of the answer */
  QgSsePass *events;     /**< if the answer's events are checked; else NULL */
  guint64 bytes_queued;  /**< answer bytes to be written to the caller */
  guint64 bytes_written; /**< answer bytes written to the caller's socket */
  guint64 window_offset; /**< last offset sent as Window */
} QgCall;

QgCall *qg_call_new (QgEntry *entry, SoupServerMessage *msg, guint64 id);
QgCall *qg_call_ref (QgCall *call);
void qg_call_unref (QgCall *call);

/** Fills in @a assign; the pointers in @a assign belong to the call. */
void qg_call_fill_assign (QgCall *call, QgTime now, Qg__Assign *assign);

/**
 * Forwards the head of the answer; drops a repeated head.
 *
 * @return an error if the answer can't be what the caller asked for; nothing
 * was forwarded.
 */
QgStatus qg_call_forward_head (QgCall *call, const Qg__ReplyHead *head,
                               QgTime now, QgErr *err);

/** Forwards body data, without the bytes that were forwarded before, and of an
 * event stream only complete events. See qg_call_wrong(). */
QgStreamVerdict qg_call_forward_data (QgCall *call, const Qg__ReplyData *data);

/** Ends the answer and the call if all bytes of the answer were forwarded.
 * After any verdict but QG_STREAM_PASS, and if qg_call_wrong() states an error,
 * the call has not ended. */
QgStreamVerdict qg_call_forward_end (QgCall *call, const Qg__ReplyEnd *end);

/** Why the event stream must be broken off, or NULL; a static text. */
const char *qg_call_wrong (const QgCall *call);

/** How many bytes of the answer do not wait for the caller's socket. */
guint64 qg_call_bytes_done (const QgCall *call);

/** Answers the call with an error, or closes the caller's connection when the
 * head of the answer was already forwarded. Ends the call. */
void qg_call_refuse (QgCall *call, QgStatus kind, Qg__Run run,
                     const char *detail);

G_END_DECLS

#endif
