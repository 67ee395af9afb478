/**
 * @file librelay.h
 * Internal interfaces of the relay. A request passes through the files in this
 * order: relay.c (process, board and dispatch), relay_caller.c (callers'
 * connections), relay_call.c (one request), relay_send.c (its attempts at
 * targets), relay_resend.c (whether it is sent again), relay_stream.c (events
 * of their answers), relay_end.c (ends of answers), relay_life.c (whether
 * a target lived on), relay_pool.c (connections to targets). relay_poison.c
 * reports prompt parts under which targets crash, relay_metrics.c exports the
 * counters.
 */
#ifndef QG_LIBRELAY_H
#define QG_LIBRELAY_H

#include "clock.h"
#include "board.h"
#include "endcheck.h"
#include "lib/belief.h"
#include "lib/bytebudget.h"
#include "lib/event.h"
#include "lib/intake.h"
#include "lib/origin.h"
#include "lib/mesh.h"
#include "lib/partwatch.h"
#include "lib/poison.h"
#include "lib/resend.h"
#include "lib/servedby.h"
#include "lib/share.h"
#include "lib/sharers.h"
#include "lib/sse.h"
#include "lib/weights.h"
#include "relay.h"
#include "uplink.h"

G_BEGIN_DECLS

enum
{
  /** Unsent bytes to a caller above which the target is not read. */
  RELAY_UNSENT_MAX_BYTES = 256 * 1024,
  /** The same while the memory for bytes is short. */
  RELAY_UNSENT_SHORT_BYTES = 16 * 1024,
  /** Size of a body that the receive window of a target holds at once. */
  RELAY_BODY_AT_ONCE_BYTES = 16 * 1024,
  /** Retry-After of a request whose body does not fit into the memory: about
   * the time of an upload. */
  RELAY_MEMORY_RETRY_MS = 500,
  /** Interval of the timeout checks of connections. */
  RELAY_SWEEP_MS = 250,
  /** Idle timeout of a target's connection when the target states none; below
   * the shortest idle timeout of common servers (2 s). */
  RELAY_POOL_IDLE_MS = 1500,
  /** Subtracted from the idle timeout that a target states, so that a request
   * does not arrive just as the target closes the connection. */
  RELAY_POOL_MARGIN_MS = 700,
  /** How long connections are accepted after SIGTERM: the load balancer probes
   * readiness once a second, and stops sending after two failed probes. */
  RELAY_DRAIN_ACCEPT_MS = 3500,
  /** How long requests are accepted after SIGTERM. Later requests are refused
   * as not run, because a long answer would outlast the grace period. */
  RELAY_DRAIN_SERVE_MS = 2500,
  /** Time per generated token, to estimate whether an answer ends within the
   * grace period. A busy target with a full batch and a chunk of a prompt takes
   * 17 ms for each token of an answer. */
  RELAY_MS_PER_TOKEN = 17,
  /** Subtracted from the key lease for timer delay and the transit of a
   * request. */
  RELAY_KEY_MARGIN_MS = 900,
  /** Maximum number of connections examined for eviction each time a caller
   * connects over the limit. */
  RELAY_EVICT_SCAN_MAX = 8,
  /** Minimum idle time before eviction: a caller that continues at once has
   * sent its next request by then. */
  RELAY_EVICT_IDLE_MS = 100,
  /** Retry-After of a request with a prompt part that crashes targets: the
   * duration of the quarantine. */
  RELAY_QUARANTINE_RETRY_S = QG_POISON_PART_QUARANTINE_RETENTION / QG_SEC,
  /** Bytes of answers to other requests that are dropped before the attempt
   * fails: several late copies of a long answer. */
  RELAY_DISCARD_MAX_BYTES = 256 * 1024,
  /** Maximum number of target incarnations whose state is kept: far more than
   * can start while a heartbeat may still be in transit. */
  RELAY_INCARNATIONS_MAX = 32768,
  /** Limits until the first manifest arrives. */
  RELAY_DEFAULT_HEADER_BYTES = 16 * 1024,
  RELAY_DEFAULT_BODY_BYTES = 4 * 1024 * 1024,
  RELAY_DEFAULT_HEADER_MS = 3000,
  RELAY_DEFAULT_IDLE_MS = 15000,
};

typedef struct RelayCaller RelayCaller;
typedef struct RelayCall RelayCall;
typedef struct RelayLink RelayLink;
typedef struct RelayLifeAsk RelayLifeAsk;

/** Counters of relay_requests_total. */
typedef enum
{
  RELAY_N_ASKED,    /**< requests received */
  RELAY_N_ANSWERED, /**< answers forwarded to their end */
  RELAY_N_REFUSED,  /**< refused without having run */
  RELAY_N_FAILED,   /**< answered with 502 or 504 */
  RELAY_N_BROKEN,   /**< answers cut off after their head */
  RELAY_N_LEFT,     /**< the caller closed its connection */
  RELAY_N_BAD,      /**< requests that cannot be parsed */
  RELAY_N_SENT,     /**< attempts at targets */
  RELAY_N_AGAIN,    /**< resends */
  RELAY_N_NOT_RUN,  /**< attempts that the target did not run */
  RELAY_N_CONNECTS, /**< connections opened to targets */
  RELAY_N_LIMITED,  /**< refused unparsed, because the process is overloaded */
  RELAY_N_COUNTERS
} RelayCounter;

enum
{
  /** Buckets of the latency histogram; the upper bound of bucket n is 2^n ms.
   */
  RELAY_BUCKETS = 16,
};

typedef struct
{
  guint64 bucket[RELAY_BUCKETS + 1];
  guint64 sum_us;
} RelayHistogram;

/** Latest state of a target, as reported by any leader. */
typedef struct
{
  guint64 born_ms;
  guint64 sequence; /* sequence number of the heartbeat */
  gboolean left;    /* deregistered */
} RelayTargetState;

struct QgRelay
{
  QgSettings *settings;
  const QgDialect *dialect;
  QgH1Loop *loop;
  QgH1Listener *listener;
  QgH1Listener *ready_listener;
  GQueue probers; /* of QgH1Conn at ready_listener, longest idle first */
  QgPeerHub *peers;
  QgBoard *board;
  QgUplink *uplink;
  QgDispatch *dispatch;
  QgShareGate *shares;
  double logged_level;    /* owed level in the last SHARE_LEVEL event */
  QgH1Timer demand_timer; /* reports the demand to the leader */
  QgMesh *mesh;
  QgOrigins *origins;      /* versions that began the streams */
  GQueue unbound;          /* of RelayCall in RELAY_BINDING, oldest first */
  QgH1Timer bind_timer;    /* ends the wait of the oldest of them */
  QgServedBy *servedby;    /* routes whose services have changed */
  QgWeights *weights;      /* that answers have stated, by service */
  guint mixed_services;    /* see qg_dispatch_count_mixed() */
  GHashTable *rollouts;    /* service to the rollout that is known */
  QgH1Timer rollout_timer; /* reports its answers to the leader */
  /* Answers during rollouts, by version (0: new) and whether they are bad: */
  guint64 rollout_answers[2][2];
  GHashTable *dialed_peers;    /* name of a relay to its QgPeer */
  GHashTable *connected_peers; /* name of a relay to its QgPeer */
  QgH1Timer mesh_timer;        /* reports target loads to other relays */
  GHashTable *target_states;   /* target id to RelayTargetState */
  GHashTable *regions;         /* dc to region */
  guint64 end_checks;          /* requests sent */
  guint64 end_verdicts[QG_N_ALIVE_VERDICTS];
  GHashTable *unsized_routes; /* names of routes whose last answer ended with
                                 its connection */
  GHashTable *pools;   /* address to GQueue of RelayLink, latest used first */
  GHashTable *budgets; /* service to QgResendBudget */
  guint entries;       /* relays that the leader knows, at least 1 */
  QgSharers *sharers;  /* relays that share the fleet's limits */
  QgIntake intake;
  QgByteBudget bytes;
  QgPartWatch *parts;
  GHashTable *cleared_parts; /* fingerprints of suspects that completed */
  QgH1Timer poison_timer;    /* reports crashes and completions to control */
  gboolean poison_timer_set;
  GQueue callers; /* of RelayCaller, longest idle first */
  guint calls;    /* requests in progress */
  QgH1Timer sweep_timer;
  QgH1Timer dispatch_timer; /* next run of the dispatch queue */
  gboolean draining;
  QgTime drain_began;
  guint64 next_id;
  guint64 counts[RELAY_N_COUNTERS];
  RelayHistogram first_byte_times;
  RelayHistogram answer_times;
};

/** A caller's connection. */
struct RelayCaller
{
  QgRelay *relay;
  QgH1Conn *conn;
  RelayCall *call;    /* the request in progress, or NULL */
  QgTime phase_began; /* when the connection was accepted or last became idle */
  QgTime head_began;  /* when a sweep first saw a partial head, or 0 */
  gboolean close_after; /* close after the current request */
  GList *link;
};

typedef enum
{
  RELAY_READING,
  RELAY_WAITING,    /* waiting for a target */
  RELAY_SENT,       /* sent to a target, no answer yet */
  RELAY_FORWARDING, /* the head of the answer was sent to the caller */
  RELAY_BINDING,    /* waiting to hear which version began its stream */
  RELAY_ENDED,
} RelayState;

/** One request, from its head to the last byte of the answer. */
struct RelayCall
{
  QgDispatchJob job;
  QgRelay *relay;
  RelayCaller *caller;
  RelayState state;
  QgShare share;
  guint64 id; /* selects the split of the route */
  QgManifest *manifest;
  const QgRoute *route;
  const QgWorkspace *workspace;
  gboolean absolute_url;
  char *host; /* of the URL if that is absolute, else of the header */
  char *key;
  char *attempt;
  char *method;
  char *url;
  GString *headers; /* forwarded to the target */
  GByteArray *body;
  gsize body_held;  /* bytes of the body in QgRelay.bytes */
  gsize event_held; /* bytes of the incomplete event there */
  QgRequestInfo info;
  QgH1Timer timer;
  RelayLink *link;
  QgDispatchTarget *target;
  guint sends; /* attempts at targets */
  gboolean may_have_run;
  gboolean has_body;            /* the answer has one */
  gboolean http_1_0;            /* the caller knows no chunks */
  gboolean chunked;             /* encoding of the answer to the caller */
  gboolean until_close;         /* the answer ends with the connection */
  gboolean keep_alive;          /* keep the caller's connection open */
  gboolean is_event_stream;     /* the answer whose head was forwarded */
  const char *no_resend_reason; /* a static string, or NULL */
  gboolean resumed;
  guint64 stream;   /* hash of this attempt */
  guint64 resumes;  /* of the attempt that began the stream; 0: none named */
  char *began_by;   /* that attempt's id, for logs */
  guint64 noted_by; /* of the attempt that began it, as far as noted; or 0 */
  gint64 noted_weights;   /* that the caller has, as noted last */
  QgTime bind_since;      /* when the stream was taken up */
  QgTime bind_until;      /* end of the wait in RELAY_BINDING */
  gboolean judged;        /* this attempt counts in a rollout */
  gboolean judged_bad;    /* as a bad one */
  guint64 sent_version;   /* version of the target when it was sent there */
  guint64 sent_born_ms;   /* start time of the target then */
  GString *partial_event; /* part of an event, not forwarded yet; or NULL */
  QgSse sse;              /* events of the answer, if it is an event stream */
  guint64 answer_bytes;   /* of the answer's body, received so far */
  gboolean body_began;    /* a byte of the answer's body arrived */
  QgTime first_at;        /* when the first byte of the body arrived */
  guint64 request_key;    /* see qg_poison_request_key(); 0: not kept */
  guint early_status; /* status of a refusal before the body is read, or 0 */
};

/** A connection to a target. */
struct RelayLink
{
  QgRelay *relay;
  QgH1Conn *conn;
  QgStr *address;
  RelayCall *call;     /* NULL while idle */
  guint64 last_stream; /* RelayCall.stream of the latest request */
  QgTime idle_until;
  gboolean reused;
  gboolean keep_alive;    /* reusable after this answer */
  gboolean forwarding;    /* the answer goes to the caller */
  gboolean survived;      /* the answer went on for QG_PARTWATCH_SURVIVED */
  QgTime began;           /* when the answer began, if it goes to the caller */
  gboolean until_close;   /* the answer's body ends with the connection */
  QgEndCheck *endcheck;   /* if so, or if that is to be expected; else NULL */
  RelayLifeAsk *life_ask; /* while its end waits for the leader, or NULL */
  gboolean is_event_stream; /* the answer is an event stream */
  gboolean discard;         /* the answer is read and dropped */
  gsize discarded;          /* bytes of dropped answers */
  QgAnswerInfo answer_info;
  guint status;
};

/** The response to a request that is not taken. The request has not run, and
 * another process of the data centre may take it at once. */
#define RELAY_LIMITED_RESPONSE                                                 \
  "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.02\r\n"                  \
  "Connection: close\r\nContent-Length: 0\r\n\r\n"

#define RELAY_COUNT(relay, counter) ((relay)->counts[RELAY_N_##counter]++)

/* relay.c */
/** Region of a data centre; @a dc itself when it is not configured. */
const char *relay_region (const QgRelay *relay, const char *dc);
const QgLimits *relay_limits (const QgRelay *relay);
/** Whether one more new request with this API key is taken in this pass of the
 * event loop. */
gboolean relay_takes_request (QgRelay *relay, QgSlice key);
/** Whether API keys may be accepted. They may if the manifest was confirmed as
 * the newest within the last key lease: all its keys were valid at that time.
 */
gboolean relay_may_serve_keys (const QgRelay *relay, QgTime now);
void relay_histogram_add (RelayHistogram *histogram, QgTime value);

/* relay_caller.c */
void relay_caller_accept (gpointer user, QgH1Conn *conn);
void relay_caller_close (RelayCaller *caller);
/** Reads the next request after a request has ended, or closes the connection.
 */
void relay_caller_next (RelayCaller *caller);
/** Closes connections that exceeded a timeout. */
void relay_callers_sweep (QgRelay *relay, QgTime now);
/** Accepts pending connections, then closes the listener. */
void relay_stop_accepting (QgRelay *relay);
/** Whether more than half of the allowed connections are open; if so, a caller
 * whose request is refused is asked to close its connection. */
gboolean relay_callers_near_limit (const QgRelay *relay);

/* relay_memory.c */
void relay_memory_start (QgRelay *relay);
/** Takes memory for @a bytes of the body of a request; FALSE, with the request
 * refused, if there is none. */
gboolean relay_memory_take_body (RelayCall *call, gsize bytes);
/** Takes memory for an incomplete event of @a bytes, in place of the one
 * before; FALSE if there is none. */
gboolean relay_memory_take_event (RelayCall *call, gsize bytes);
/** Drops the body of a request that is not sent again, if it is large. */
void relay_memory_drop_body (RelayCall *call);
/** Returns the memory of a call that ends. */
void relay_memory_return (RelayCall *call);
/** Unsent bytes to a caller above which the target is not read. */
gsize relay_memory_unsent_max (QgRelay *relay);

/* relay_refuse.c */
/** Has the connection closed behind the answer if the relay shuts down. */
void relay_call_limit_keep_alive (RelayCall *call);
/** Ends the call with an error response of the relay. @a retry_after < 0:
 * no Retry-After header. */
void relay_call_refuse (RelayCall *call, guint status, QgTime retry_after,
                        const char *why);
/** The same before the body was read. The rest of it is read and dropped before
 * the connection is closed: closing it with unread bytes would reset it, and
 * the caller might lose the response. */
void relay_call_refuse_unread (RelayCall *call, guint status,
                               QgTime retry_after, const char *why);

/* relay_call.c */
RelayCall *relay_call_new (RelayCaller *caller, const QgH1Head *head);
void relay_call_add_body (RelayCall *call, const char *data, gsize len);
/** Admits, refuses or queues a request that was received whole. */
void relay_call_admit (RelayCall *call);
/** Goes on with the admission of a call once it is known which version its
 * target needs. */
void relay_call_submit (RelayCall *call, QgTime now);
/** The caller closed its connection. */
void relay_call_caller_left (RelayCall *call);
/** Frees the call. If the caller is still connected, the answer must already be
 * queued for sending. */
void relay_call_end (RelayCall *call);
/** Size of the request in the units in which shares are counted. */
double relay_call_units (const RelayCall *call);
/** The caller's attempt id for logs, "-" when there is none. */
const char *relay_call_log_id (const RelayCall *call);
/** Name of the caller's workspace, "-" when none is known. */
const char *relay_call_workspace (const RelayCall *call);

/* relay_send.c */
void relay_send (RelayCall *call, QgDispatchTarget *target);
/** Ends the call and closes the caller's connection in the middle of an
 * answer that cannot be completed. */
void relay_send_abort (RelayCall *call, const char *why);
/** Ends the attempt without an answer. */
void relay_send_cancel (RelayCall *call, QgDispatchEnd end);
/** Reads from the target again, after the bytes queued for the caller were
 * sent. */
void relay_send_resume_reading (RelayCall *call);

/** Ends the attempt because of what its answer contains. The request is resent,
 * the stream goes on at another target, or the call ends. */
void relay_send_reject (RelayCall *call, const char *why);
/** Ends an attempt whose target broke off. @a reached: the request may have
 * run. The request is resent, its stream goes on, or the call ends. */
void relay_send_lose (RelayCall *call, gboolean reached, const char *why);
/** Sends bytes of the body of the answer to the caller. */
void relay_send_data (RelayCall *call, const char *data, gsize len);

/* relay_end.c */
/** The request was sent to the target. */
void relay_end_expect (RelayCall *call);
/** The answer of the target has begun. */
void relay_end_watch (RelayCall *call);
/** The target's answer seems to be complete: ends the call, once it is known
 * that the answer is. */
void relay_end_answer (RelayCall *call);
/** Ends the call, or its attempt, by what is known of the target. */
void relay_end_decide (RelayCall *call, const QgAliveEnd *end,
                       QgAliveVerdict verdict);

/* relay_life.c */
/** Calls relay_end_decide() once the leader has said whether the process that
 * ended its answer has called control since. @a end is borrowed until then. */
void relay_life_ask (RelayCall *call, const QgAliveEnd *end);
void relay_life_cancel (RelayLifeAsk *life);

/* relay_resend.c */
/** Queues the request for another target; FALSE if it may not be resent.
 * @a reached: the last target may have run it. */
gboolean relay_resend (RelayCall *call, gboolean reached, const char *why);

/* relay_stream.c */
/** Prepares the call for the events of its answer; its route is known. */
void relay_stream_begin (RelayCall *call);
/** Refuses a request to go on after an event that cannot be met; FALSE if it
 * did. */
gboolean relay_stream_admit (RelayCall *call);
/** Forwards the next bytes of an event stream. Returns FALSE if its run was
 * stopped; the call may have ended. */
gboolean relay_stream_forward (RelayCall *call, const char *data, gsize len);
/** Whether the event stream may go on at another target. */
gboolean relay_stream_may_resume (const RelayCall *call);
/** Binds the events of the call, before its first run, to these weights (-1:
 * any); FALSE if the caller expects others. */
gboolean relay_stream_expect (RelayCall *call, gint64 weights);
/** Whether targets with some weights are to refuse the request. */
gboolean relay_stream_has_expectation (const RelayCall *call);
/** Whether a run that goes on has the weights that the stream has so far, as
 * far as targets state them. */
gboolean relay_stream_fits (const RelayCall *call, const RelayLink *link);
/** Begins the events of an answer; forgets the rest of the run before it. */
void relay_stream_begin_run (RelayCall *call, const RelayLink *link);
/** Whether the run can end here; one that ends elsewhere was broken off. */
gboolean relay_stream_may_end (const RelayCall *call, const RelayLink *link);
/** Forwards the rest of a run that has ended. */
void relay_stream_end (RelayCall *call);
/** Formats for the log the ids of events: after which the caller asked to go
 * on, which the target sent first, and the first and last one that went to the
 * caller, and at which the run was stopped; -1: none. */
const char *relay_stream_format (const RelayCall *call,
                                 char text[QG_SSE_TEXT_BYTES]);

/* relay_share.c */
/** Sends the demand of each workspace to the leader. */
void relay_share_send_demand (QgRelay *relay, QgTime now);
void relay_share_set_level (QgRelay *relay, const Qg__ShareLevel *level);

/* relay_mesh.c */
void relay_mesh_start (QgRelay *relay);
void relay_mesh_stop (QgRelay *relay);
/** Follows a change of the directory: connects to new relays, and disconnects
 * relays that are no longer needed. */
void relay_mesh_update_relays (QgRelay *relay);
void relay_mesh_peer_up (QgRelay *relay, QgPeer *peer);
void relay_mesh_peer_down (QgRelay *relay, QgPeer *peer);
void relay_mesh_receive (QgRelay *relay, QgPeer *peer, const Qg__Load *load);
/** Adds the call's prefixes to the next report. */
void relay_mesh_add_prefixes (RelayCall *call);
/** Adds what the call's target says about its rate limit to the next report. */
void relay_mesh_add_limit (const RelayCall *call);
/** Tells other relays which version and weights a stream has; see origin.h. */
void relay_mesh_add_stream (QgRelay *relay, const QgMeshStream *stream);

/* relay_target.c */
/** Applies the target update that the board holds. */
void relay_target_update (QgRelay *relay);

/* relay_ready.c */
QgH1Listener *relay_ready_listen (QgRelay *relay, QgErr *err);
/** Closes the listener and its connections. */
void relay_ready_close (QgRelay *relay);

/* relay_rollout.c */
void relay_rollout_start (QgRelay *relay);
void relay_rollout_stop (QgRelay *relay);
/** Applies what the leader decided on rollouts. */
void relay_rollout_update (QgRelay *relay, const Qg__RolloutUpdate *update);
/** Counts an answer of the target: its first byte arrived at @a now. */
void relay_rollout_answered (RelayCall *call, guint status, QgTime now);
/** Counts a failed attempt, also if its answer had begun. */
void relay_rollout_failed (RelayCall *call);

/* relay_version.c */
void relay_version_start (QgRelay *relay);
void relay_version_stop (QgRelay *relay);
/** Finds which version began the stream that @a call takes up, if it does, so
 * that no other runs it; FALSE if the request was refused, or waits in
 * RELAY_BINDING until relay_call_submit() or the refusal. */
gboolean relay_version_bind (RelayCall *call, QgTime now);
/** The call waits no longer for what began its stream. */
void relay_version_withdraw (RelayCall *call);
/** Other relays have told which versions began streams, or the leader all that
 * it knows. */
void relay_version_heard (QgRelay *relay, QgTime now);
/** The targets have changed: other relays need to hear of the streams so far
 * once a service has several versions. */
void relay_version_targets_changed (QgRelay *relay, QgTime now);
/** The manifest has changed: the same for routes with other services. */
void relay_version_manifest_changed (QgRelay *relay, QgTime now);
/** Another relay has connected, or one is gone that may not have passed on what
 * it heard: the others may not know of the streams so far. */
void relay_version_mesh_changed (QgRelay *relay, QgTime now);
/** An event of the stream was forwarded: it is bound to its version and to the
 * weights that the caller has seen last. */
void relay_version_began (RelayCall *call, QgTime now);
/** A target, or an event, stated its weights (-1: none). */
void relay_version_stated (RelayCall *call, gint64 weights, QgTime now);
/** Sends the load of the targets to other relays. */
void relay_mesh_send_reports (QgRelay *relay);

/** The service's resend budget; created on first use. */
QgResendBudget *relay_resend_budget (QgRelay *relay, const char *service);
/** The window of the retry budgets. */
QgTime relay_retry_window (const QgRelay *relay);

/* relay_poison.c */
void relay_poison_start (QgRelay *relay);
void relay_poison_stop (QgRelay *relay);
/** Whether this request, or each with a part of its prompt, is refused, because
 * it crashes targets. */
gboolean relay_poison_is_quarantined (const RelayCall *call);
/** Keeps what identifies the whole request, in RelayCall.request_key. */
void relay_poison_keep_request_key (RelayCall *call);
/** The call's target crashed, or broke the answer off. */
void relay_poison_crashed (const RelayCall *call, QgTime now);
/** The attempt ends without an answer; the target may have ended. */
void relay_poison_unanswered (const RelayCall *call, QgTime now);
/** An incarnation of a target has ended: it fell silent, or another one took
 * its place. */
void relay_poison_target_ended (QgRelay *relay, const char *target,
                                guint64 born_ms, QgTime now);
/** The call's target answers. */
void relay_poison_target_answers (const RelayCall *call);
/** The target answered the call completely, or went on answering for
 * QG_PARTWATCH_SURVIVED. */
void relay_poison_survived (const RelayCall *call, QgTime now);

/* relay_pool.c */
/** Returns an idle or new connection to the target at @a address; NULL if a new
 * connection fails at once. */
RelayLink *relay_pool_acquire (QgRelay *relay, QgStr *address, RelayCall *call,
                               const QgH1Ops *ops);
/** Returns the connection to the pool, or closes it if it cannot be reused. */
void relay_pool_release (RelayLink *link);
void relay_link_close (RelayLink *link);
/** Closes connections that were idle too long. */
void relay_pools_sweep (QgRelay *relay, QgTime now);
void relay_pool_free (gpointer queue);

G_END_DECLS

#endif
