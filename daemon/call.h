/**
 * @file call.h
 * One caller's request at an entry, from its arrival to its last byte. Holds
 * what is sent to an agent and what was passed on of the answer.
 */
#ifndef QG_CALL_H
#define QG_CALL_H

#include "lib/poison.h"
#include "lib/retry.h"
#include "lib/stream.h"
#include "peer.h"
#include "trace.h"

#include <libsoup/soup.h>

G_BEGIN_DECLS

/** Where a call is; DONE is the last. */
typedef enum
{
  QG_CALL_QUEUED,  /**< in the entry's queue */
  QG_CALL_RUNNING, /**< sent to an agent, or attached to an answer there */
  QG_CALL_WAITING, /**< for the link to the agent that has the answer */
  QG_CALL_PAUSED,  /**< before it is queued again */
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
  gboolean pipelined;     /**< the next request of its connection is there */
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
  QgPeer *agent;    /**< runs it; a reference */
  char *agent_name; /**< of the agent that runs it or has its answer */
  guint64 agent_incarnation;
  gboolean attached; /**< the answer is that of an earlier request */
  guint hops;        /**< agents it was sent on to */
  guint timer;       /**< of WAITING, PAUSED and attached calls */
  QgOutcome past;    /**< how far the work got, as is known */
  QgOutcome own;     /**< the same of the own attempts of the call */
  guint8 fingerprint[QG_POISON_FINGERPRINT_BYTES];
  QgPoisonLevel level; /**< how the present attempt is kept from others */
  QgStream stream;     /**< the answer as far as it was passed on */
  guint64 taken;       /**< body bytes that the connection took */
  guint64 announced;   /**< last offset sent as Window */
} QgCall;

QgCall *qg_call_new (QgEntry *entry, SoupServerMessage *msg, guint64 id);
QgCall *qg_call_ref (QgCall *call);
void qg_call_unref (QgCall *call);

/** Fills @a assign with what the agent needs; the strings stay the call's. */
void qg_call_fill (QgCall *call, QgTime now, Qg__Assign *assign);

/** Passes the head of the answer on; a repeated one is dropped. */
void qg_call_pass_head (QgCall *call, const Qg__ReplyHead *head, QgTime now);

/** Passes a piece of the answer on, without what was passed before. */
QgStreamVerdict qg_call_pass_data (QgCall *call, const Qg__ReplyData *data);

/** Ends the answer, if it is whole. */
QgStreamVerdict qg_call_pass_end (QgCall *call, const Qg__ReplyEnd *end);

/** Refuses the call, or cuts its answer when the head is already out. */
void qg_call_refuse (QgCall *call, QgStatus kind, Qg__Run run,
                     const char *detail);

G_END_DECLS

#endif
