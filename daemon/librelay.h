/**
 * @file librelay.h
 * What the files of the relay family share. Data flows one way: relay.c
 * (process, view of the fleet), relay_caller.c (callers' connections),
 * relay_call.c (one request), relay_send.c (its attempts at targets),
 * relay_pool.c (connections to targets).
 */
#ifndef QG_LIBRELAY_H
#define QG_LIBRELAY_H

#include "board.h"
#include "lib/event.h"
#include "lib/mesh.h"
#include "lib/resend.h"
#include "lib/share.h"
#include "relay.h"
#include "uplink.h"

G_BEGIN_DECLS

enum
{
  /** Queued bytes of an answer above which its source is held back. */
  RELAY_HOLD_BYTES = 256 * 1024,
  /** Sweep of idle connections. */
  RELAY_SWEEP_MS = 250,
  /** A target's connection idles so long at most when the target did not say:
   * below the shortest limits of common servers (2 s). */
  RELAY_POOL_IDLE_MS = 1500,
  /** Less than what the target said, for the way there. */
  RELAY_POOL_MARGIN_MS = 700,
  /** After SIGTERM callers still come until the balancer asked twice, once a
   * second. */
  RELAY_LAME_MS = 3500,
  /** Requests that come so long after SIGTERM are refused as not run: a long
   * answer could not end within the grace. */
  RELAY_REFUSE_MS = 2500,
  /** Time for a generated token at a busy target, by which it is told whether
   * an answer can end within the grace: a step with a full batch and a piece of
   * a prompt takes 17 ms. */
  RELAY_TOKEN_MS = 17,
  /** A key is served on an older permit for the lease of keys less this, for
   * timers and the way of a request. */
  RELAY_KEY_MARGIN_MS = 900,
  /** Idle connections looked at when a caller comes beyond the limit. */
  RELAY_MAKE_ROOM = 8,
  /** A connection may be closed for another once it idled so long: a caller
   * that goes on at once has sent its next request by then. */
  RELAY_MAKE_ROOM_IDLE_MS = 100,
  /** Incarnations of targets remembered: far more than announce themselves
   * while a heartbeat may be late. */
  RELAY_TOLD_MAX = 32768,
  /** Limits before a manifest states others. */
  RELAY_HEADER_BYTES = 16 * 1024,
  RELAY_BODY_BYTES = 4 * 1024 * 1024,
  RELAY_HEADER_MS = 3000,
  RELAY_IDLE_MS = 15000,
};

typedef struct RelayCaller RelayCaller;
typedef struct RelayCall RelayCall;
typedef struct RelayLink RelayLink;

typedef enum
{
  RELAY_N_ASKED,
  RELAY_N_ANSWERED,
  RELAY_N_REFUSED,
  RELAY_N_FAILED,
  RELAY_N_BROKEN,
  RELAY_N_LEFT,
  RELAY_N_BAD,
  RELAY_N_SENT,
  RELAY_N_AGAIN,
  RELAY_N_NOT_RUN,
  RELAY_N_CONNECTS,
  RELAY_N_COUNTERS
} RelayCounter;

enum
{
  /** Bounds of the latency histogram: 1 ms times 2 to the n. */
  RELAY_BUCKETS = 16,
};

typedef struct
{
  guint64 bucket[RELAY_BUCKETS + 1];
  guint64 sum_us;
} RelayHistogram;

/** What was told last of a target, by whichever leader. */
typedef struct
{
  guint64 born_ms;
  guint64 sequence;
  gboolean left;
} RelayTold;

struct QgRelay
{
  QgSettings *settings;
  const QgDialect *dialect;
  QgH1Loop *loop;
  QgH1Listener *listener;
  QgH1Listener *ready_listener;
  QgPeerHub *peers;
  QgBoard *board;
  QgUplink *uplink;
  QgDispatch *dispatch;
  QgShareGate *shares;
  double logged_level;
  QgH1Timer report; /* of the demand */
  QgMesh *mesh;
  GHashTable *dialled;      /* relay to the QgPeer that was dialled */
  GHashTable *neighbours;   /* relay to the QgPeer that is up */
  QgH1Timer tell;           /* others, what is at targets */
  GHashTable *told_targets; /* id to RelayTold */
  GHashTable *regions;      /* dc to region */
  GHashTable *pools;        /* address to GQueue of RelayLink, newest first */
  GHashTable *budgets;      /* service to QgResendBudget */
  guint entries;
  GQueue callers;
  guint calls;
  QgH1Timer sweep;
  QgH1Timer look; /* the dispatch queue */
  gboolean draining;
  QgTime drain_began;
  guint64 next_id;
  guint64 counts[RELAY_N_COUNTERS];
  RelayHistogram first;
  RelayHistogram whole;
};

/** A caller's connection. */
struct RelayCaller
{
  QgRelay *relay;
  QgH1Conn *conn;
  RelayCall *call;   /* the request in progress, or NULL */
  QgTime since;      /* of its present phase: idle, or reading a head */
  QgTime head_since; /* when a sweep first saw a part of a head, or 0 */
  gboolean last;     /* closes after the present request */
  GList *link;
};

typedef enum
{
  RELAY_READING,
  RELAY_WAITING, /* for a target */
  RELAY_SENT,
  RELAY_PASSING, /* the head of the answer went to the caller */
  RELAY_ENDED,
} RelayState;

/** One request, from its head to its last byte. */
struct RelayCall
{
  QgDispatchJob job;
  QgRelay *relay;
  RelayCaller *caller;
  RelayState state;
  QgShare share;
  guint64 id; /* for the log when the caller sent none */
  QgManifest *manifest;
  const QgRoute *route;
  const QgWorkspace *workspace;
  char *attempt;
  char *method;
  char *url;
  GString *headers; /* those that are passed on */
  GByteArray *body;
  QgAsk ask;
  QgH1Timer timer;
  RelayLink *link;
  QgDispatchTarget *target;
  guint sends;      /* targets that it reached */
  gboolean ran;     /* some target may have run it */
  gboolean chunked; /* towards the caller */
  gboolean keep;
  gint64 last_event;     /* id of the last whole event that was passed on */
  const char *not_again; /* why it was not sent again, static */
  gboolean resumed;
  GString *event; /* an event that is not whole yet */
  gboolean first_seen;
  QgTime first_at;
  guint early; /* status with which it is refused before its body, or 0 */
};

/** A connection to a target. */
struct RelayLink
{
  QgRelay *relay;
  QgH1Conn *conn;
  QgStr *address;
  RelayCall *call; /* NULL while idle */
  QgTime idle_until;
  gboolean reused;
  gboolean keep;    /* may be used again after this answer */
  gboolean passing; /* the answer goes to the caller */
  gboolean discard; /* the answer is read and thrown away */
  QgAnswerFacts facts;
  guint status;
};

#define RELAY_COUNT(relay, counter) ((relay)->counts[RELAY_N_##counter]++)

/* relay.c */
const char *relay_region (const QgRelay *relay, const char *dc);
const QgLimits *relay_limits (const QgRelay *relay);
/** Whether requests with keys may be served: no key was withdrawn unseen. */
gboolean relay_may_serve_keys (const QgRelay *relay, QgTime now);
void relay_observe (RelayHistogram *histogram, QgTime value);

/* relay_caller.c */
void relay_caller_accept (gpointer user, QgH1Conn *conn);
void relay_caller_close (RelayCaller *caller);
/** The present request is answered; reads the next one or closes. */
void relay_caller_next (RelayCaller *caller);
void relay_callers_sweep (QgRelay *relay, QgTime now);
/** Takes those that are connected, and lets nobody else connect. */
void relay_stop_accepting (QgRelay *relay);
/** Whether callers are asked to close after their answers. */
gboolean relay_callers_press (const QgRelay *relay);

/* relay_call.c */
RelayCall *relay_call_new (RelayCaller *caller, const QgH1Head *head);
void relay_call_body (RelayCall *call, const char *data, gsize len);
/** The request is whole: it is admitted, refused or queued. */
void relay_call_begin (RelayCall *call);
/** The caller left. */
void relay_call_left (RelayCall *call);
/** Answers without a target. @a retry_after < 0: none. */
void relay_call_refuse (RelayCall *call, guint status, QgTime retry_after,
                        const char *why);
/** Ends the call; the answer, if any, was written. */
void relay_call_end (RelayCall *call);
double relay_call_units (const RelayCall *call);
const char *relay_call_name (const RelayCall *call);
/** Name of the workspace that asks, "-" when none is known. */
const char *relay_call_workspace (const RelayCall *call);

/* relay_send.c */
void relay_send (RelayCall *call, QgDispatchTarget *target);
/** The answer cannot be completed. */
void relay_send_break (RelayCall *call, const char *why);
/** Lets go of the target without an answer. */
void relay_send_cancel (RelayCall *call, QgDispatchEnd end);
void relay_send_drained (RelayCall *call);

/* relay_stream.c */
/** Passes pieces of an event stream on; whole events only where the stream
 * may be resumed. */
void relay_stream_pass (RelayCall *call, const char *data, gsize len);

/* relay_share.c */
void relay_share_report (QgRelay *relay, QgTime now);
void relay_share_take (QgRelay *relay, const Qg__ShareLevel *level);

/* relay_mesh.c */
void relay_mesh_start (QgRelay *relay);
void relay_mesh_stop (QgRelay *relay);
void relay_mesh_sync (QgRelay *relay);
void relay_mesh_up (QgRelay *relay, QgPeer *peer);
void relay_mesh_down (QgRelay *relay, QgPeer *peer);
void relay_mesh_take (QgRelay *relay, QgPeer *peer, const Qg__Load *load);
/** Notes what was sent, for the next tell. */
void relay_mesh_sent (RelayCall *call);
void relay_mesh_tell (QgRelay *relay);

/** The budget of sends again of a service. */
QgResendBudget *relay_budget (QgRelay *relay, const char *service);

/* relay_pool.c */
/** A connection to the target at @a address, idle or new; or NULL. */
RelayLink *relay_pool_take (QgRelay *relay, QgStr *address, RelayCall *call,
                            const QgH1Ops *ops);
void relay_pool_give (RelayLink *link);
void relay_link_close (RelayLink *link);
void relay_pools_sweep (QgRelay *relay, QgTime now);
void relay_pool_free (gpointer queue);

G_END_DECLS

#endif
