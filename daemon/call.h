/**
 * @file call.h
 * One caller's request at an entry, from its arrival to its last byte. Holds
 * what is sent to an agent and what was passed on of the answer.
 */
#ifndef QG_CALL_H
#define QG_CALL_H

#include "peer.h"
#include "trace.h"

#include <libsoup/soup.h>

G_BEGIN_DECLS

/** Where a call is; a call only moves forward but for QUEUED and RUNNING. */
typedef enum
{
  QG_CALL_QUEUED,  /**< in the entry's queue: nothing was sent */
  QG_CALL_RUNNING, /**< sent to an agent */
  QG_CALL_DONE,    /**< answered or refused */
} QgCallState;

typedef struct QgEntry QgEntry;

/** Reference counted by g_rc_box. */
typedef struct
{
  guint64 id; /**< unique among the entry's incarnation */
  QgEntry *entry;
  QgCallState state;
  SoupServerMessage *msg; /**< NULL once the caller is gone */
  GSource *gone_watch;
  QgStr *workspace;
  QgStr *service;
  guint size_class;
  gboolean once;
  char *key; /**< idempotency key, "" if none */
  char *method;
  char *path;
  GPtrArray *headers; /**< of Qg__Header, end-to-end only */
  GBytes *body;
  guint8 body_hash[32];
  QgSpan span;
  char traceparent[QG_TRACEPARENT_BYTES]; /**< for the next hop */
  const char *outcome; /**< static; names how the call ended */
  guint32 estimate;    /**< tokens or slot milliseconds */
  QgTime arrived_at;
  QgTime deadline;
  QgTime sent_at;
  QgTime head_at;
  guint attempt;
  QgPeer *agent; /**< runs it; a reference */
  char *agent_name;
  gboolean head_passed;
  guint64 passed;    /**< body bytes given to the caller's connection */
  guint64 taken;     /**< body bytes that the connection took */
  guint64 announced; /**< last offset sent as Window */
} QgCall;

QgCall *qg_call_new (QgEntry *entry, SoupServerMessage *msg, guint64 id);
QgCall *qg_call_ref (QgCall *call);
void qg_call_unref (QgCall *call);

/** Fills @a assign with what the agent needs; the strings stay the call's. */
void qg_call_fill (QgCall *call, QgTime now, Qg__Assign *assign);

/** Passes the head of the answer on; later pieces wait for their turn. */
void qg_call_pass_head (QgCall *call, const Qg__ReplyHead *head, QgTime now);

/**
 * Passes a piece of the answer on.
 *
 * @return FALSE when the piece leaves a gap; a repeated part is dropped.
 */
gboolean qg_call_pass_data (QgCall *call, const Qg__ReplyData *data);

/** Ends the answer; FALSE when bytes are missing. */
gboolean qg_call_pass_end (QgCall *call, const Qg__ReplyEnd *end);

/** Refuses the call, or cuts its answer when the head is already out. */
void qg_call_refuse (QgCall *call, QgStatus kind, Qg__Run run,
                     const char *detail);

G_END_DECLS

#endif
