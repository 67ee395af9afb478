/**
 * @file libentry.h
 * What the files of the entry family share: entry.c (agents and queue),
 * entry_offer.c (what waits, to the agents), entry_http.c (callers) and
 * entry_request.c (from HTTP to a call).
 */
#ifndef QG_LIBENTRY_H
#define QG_LIBENTRY_H

#include "board.h"
#include "call.h"
#include "entry.h"
#include "lib/queue.h"
#include "lib/sizer.h"
#include "lib/suspect.h"
#include "peer.h"
#include "uplink.h"

/** A connected agent. */
typedef struct
{
  QgPeer *peer;
  char *name;
  char *service;
  guint64 incarnation;
  gboolean local; /* same region */
  guint credit;   /* requests that may be sent without a pull */
  guint running;  /* requests of this entry at the agent */
} QgEntryAgent;

struct QgEntry
{
  QgSettings *settings;
  guint64 incarnation;
  QgPeerHub *hub;
  QgBoard *board;
  QgUplink *uplink;
  SoupServer *server;
  GHashTable *reading; /* requests being read, with their start */
  QgTrace *trace;      /* NULL when off */
  QgQueue *queue;
  QgSizer *sizer;
  GHashTable *calls;   /* id to QgCall, a reference each */
  GHashTable *agents;  /* QgPeer to QgEntryAgent */
  GHashTable *offers;  /* service to changes that wait to be sent */
  GHashTable *budgets; /* service to QgRetryBudget */
  QgSuspects *suspects;
  guint64 next_id;
  gboolean draining;
  guint tick_timer;
  guint offer_timer;
  QgTime offered_at; /* latest round of offers */
};

/** Tells the agents soon what waits; the changes until then leave in one
 * message an agent. */
void qg_entry_offers_later (QgEntry *entry);

/** Tells one agent all that waits for its service. */
void qg_entry_send_snapshot (QgEntry *entry, QgEntryAgent *agent);

/** Starts serving callers. */
QgStatus qg_entry_http_start (QgEntry *entry, QgErr *err);

/** Ends connections whose request is not read within the limit, and the calls
 * of callers that are gone. */
void qg_entry_http_sweep (QgEntry *entry, QgTime now);

/**
 * Makes a call of a request whose body was read.
 *
 * @return NULL when it was refused.
 */
QgCall *qg_entry_request_read (QgEntry *entry, SoupServerMessage *msg);

/** Queues @a call, or sends it at once when an agent gave credit. */
void qg_entry_submit (QgEntry *entry, QgCall *call);

/** The caller's connection took @a bytes more of the answer. */
void qg_entry_taken (QgCall *call, gsize bytes);

/** The caller of @a call is gone. */
void qg_entry_abandon (QgCall *call);

/** Takes the call from its agent, if it is at one. */
void qg_entry_leave_agent (QgEntry *entry, QgCall *call);

/** Puts a call that is not at an agent back to the head of its queue. */
void qg_entry_requeue (QgEntry *entry, QgCall *call);

/** Forgets a call that was answered or refused. */
void qg_entry_end_call (QgEntry *entry, QgCall *call);

/** Tells the agent that the caller is gone. */
void qg_entry_send_cancel (QgCall *call);

/** Messages of the agent that runs the call or has its answer. */
void qg_entry_answer_data (QgEntry *entry, QgCall *call,
                           const Qg__ReplyData *data);
void qg_entry_answer_end (QgEntry *entry, QgCall *call,
                          const Qg__ReplyEnd *end);
void qg_entry_answer_fail (QgEntry *entry, QgCall *call,
                           const Qg__ReplyFail *fail);

/** The link to the agent of the call broke. */
void qg_entry_answer_lost (QgEntry *entry, QgCall *call);

/** An agent connected: calls that wait for it attach, or learn its end. */
void qg_entry_answer_agent (QgEntry *entry, QgEntryAgent *agent);

/** Queues the call again after @a pause. */
void qg_entry_pause (QgEntry *entry, QgCall *call, QgTime pause);

/** Binds the call to a new run; FALSE when it was refused instead. */
gboolean qg_entry_bind (QgEntry *entry, QgCall *call);

/** Notes a new call of its service for the retry budget. */
void qg_entry_note_call (QgEntry *entry, QgCall *call);

/** Sets the level of the call; TRUE when it is quarantined and refused. */
gboolean qg_entry_is_barred (QgEntry *entry, QgCall *call);

#endif
