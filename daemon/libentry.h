/**
 * @file libentry.h
 * Internal header of the entry: entry.c (agents and queue), entry_offer.c
 * (offers of queued requests to agents), entry_answer.c (answers and retries),
 * entry_lost.c (requests whose agent ended),
 * entry_http.c (HTTP server) and entry_request.c (parsing of a request).
 */
#ifndef QG_LIBENTRY_H
#define QG_LIBENTRY_H

#include "clock.h"
#include "board.h"
#include "call.h"
#include "entry.h"
#include "lib/lostwork.h"
#include "lib/queue.h"
#include "lib/sharers.h"
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
  gboolean local; /* in the entry's region */
  guint credit;   /* requests the agent accepts without a pull */
  guint running;  /* requests of this entry at the agent */
} QgEntryAgent;

/** How many requests this entry has sent to an agent process. */
typedef struct
{
  guint64 incarnation;
  guint64 n;
  gboolean answered; /* the agent process has completed a request */
} QgEntryAssigned;

struct QgEntry
{
  QgSettings *settings;
  guint64 incarnation;
  QgPeerHub *hub;
  QgBoard *board;
  QgUplink *uplink;
  SoupServer *server;
  QgTrace *trace; /* NULL when off */
  QgQueue *queue;
  QgSizer *sizer;
  GHashTable *calls;    /* id to QgCall, owned */
  GHashTable *agents;   /* QgPeer to QgEntryAgent */
  GHashTable *assigned; /* agent name to QgEntryAssigned */
  GHashTable *offers;   /* service to GPtrArray of unsent Qg__OfferItem */
  GHashTable *budgets;  /* service to QgRetryBudget */
  QgSharers *sharers;   /* entries that share the burst of the budgets */
  QgSuspects *suspects;
  QgLostWork *lost_work;
  guint64 next_id;
  gboolean draining;
  guint tick_timer;
  guint offer_timer;
  QgTime last_offer_at; /* when offers were last sent */
};

/** Schedules offers to the agents; each agent gets all changes of the queue up
 * to that time in one message. */
void qg_entry_schedule_offers (QgEntry *entry);

/** Sends an agent the numbers of queued requests for its service, by workspace
 * and size class. */
void qg_entry_send_snapshot (QgEntry *entry, QgEntryAgent *agent);

/** Starts the HTTP server for callers. */
QgStatus qg_entry_http_start (QgEntry *entry, QgErr *err);

/** Ends the calls of callers that disconnected. */
void qg_entry_abandon_disconnected (QgEntry *entry);

/**
 * Creates a call from a request whose body was read.
 *
 * @return the call, or NULL when the request was refused.
 */
QgCall *qg_entry_request_read (QgEntry *entry, SoupServerMessage *msg);

/** Sends @a call to an agent that gave credit, or queues it. Under the baseline
 * policy, sends @a call to the agent with the fewest requests. */
void qg_entry_submit (QgEntry *entry, QgCall *call);

/** Counts @a bytes of the answer as written to the caller, and updates the
 * agent's window. */
void qg_entry_add_written (QgCall *call, gsize bytes);

/** Tells the agent how many bytes of the answer do not wait for the caller, if
 * they are many more than it was told last. */
void qg_entry_update_window (QgCall *call);

/** Cancels and ends a call whose caller disconnected. */
void qg_entry_abandon (QgCall *call);

/** Unlinks the call from its agent, if it has one; sends no message. */
void qg_entry_detach_agent (QgEntry *entry, QgCall *call);

/** Puts a call without an agent back at the head of its queue. */
void qg_entry_requeue (QgEntry *entry, QgCall *call);

/** Ends the span of a call that was answered or refused, and drops the call. */
void qg_entry_end_call (QgEntry *entry, QgCall *call);

/** Sends Cancel to the call's agent, if it has one. */
void qg_entry_send_cancel (QgCall *call);

/** Handlers of messages from the agent of the call. */
void qg_entry_answer_head (QgEntry *entry, QgCall *call,
                           const Qg__ReplyHead *head);
void qg_entry_answer_data (QgEntry *entry, QgCall *call,
                           const Qg__ReplyData *data);
void qg_entry_answer_end (QgEntry *entry, QgCall *call,
                          const Qg__ReplyEnd *end);
void qg_entry_answer_fail (QgEntry *entry, QgCall *call,
                           const Qg__ReplyFail *fail);

/** Handles a lost connection to the agent of the call. */
void qg_entry_link_lost (QgEntry *entry, QgCall *call);

/** Remembers a call that the entry sent to an agent whose connection is lost.
 */
void qg_entry_remember_lost (QgEntry *entry, const QgCall *call);

/** Reports the crash of the agent's earlier process if calls were lost with it.
 */
void qg_entry_report_lost (QgEntry *entry, const QgEntryAgent *agent);

/** Handles a connection from an agent: calls that wait for the agent attach to
 * their answers, or are retried or refused when the agent was restarted. */
void qg_entry_agent_connected (QgEntry *entry, QgEntryAgent *agent);

/** Queues the call again after @a delay, or at once if @a delay is 0. */
void qg_entry_requeue_after (QgEntry *entry, QgCall *call, QgTime delay);

/** Binds the call's stream to a new run; FALSE when the call was refused
 * because part of the answer was already forwarded. */
gboolean qg_entry_bind_stream (QgEntry *entry, QgCall *call);

/** Sets the fingerprint of a new call, and counts the call in the retry budget
 * of its service. */
void qg_entry_count_call (QgEntry *entry, QgCall *call);

/** Sets the isolation level of the call; TRUE when the call is quarantined and
 * was refused. */
gboolean qg_entry_refuse_quarantined (QgEntry *entry, QgCall *call);

#endif
