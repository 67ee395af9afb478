/**
 * @file mesh.h
 * Exchange of load reports between relays: decides which loads a relay reports
 * to which relays, and sums the reports. A report holds the requests and unread
 * prompt tokens that relays have at each target. No I/O; the owner sends and
 * receives messages.
 *
 * In a small fleet, every relay reports to every other relay. In a larger
 * fleet, the relays of a data centre form a group with a head. Members report
 * their load to the head. Each head reports the sum of its group to the other
 * heads, and reports to each of its members the sum of all relays except that
 * member. The number of messages of a relay then grows with the size of its
 * group, not with the size of the fleet.
 *
 * Load patterns:
 *  - 33 relays on VMs of 0.09 of a core: without groups, each relay receives
 *    500 messages a second and learns of an idle target up to 64 ms late.
 *  - A head is killed: the relay with the next name in its group takes over as
 *    soon as connections to the head are lost; the reports of the old head
 *    expire after QG_MESH_EXPIRY.
 */
#ifndef QG_MESH_H
#define QG_MESH_H

#include "qg.h"

G_BEGIN_DECLS

/** Interval between two reports to the same relay. It is one fifth of the
 * 100 ms that a target needs to read a long prompt. */
#define QG_MESH_PERIOD (20 * QG_MSEC)
/** Interval at which a relay reports that has nothing to report, so that others
 * know that they hear it: a request may wait for that. Relays do so for a time
 * after they have told each other of streams. */
#define QG_MESH_KEEPALIVE      (2 * QG_MESH_PERIOD)
#define QG_MESH_KEEPALIVE_TIME (60 * QG_SEC)
/** Time after which a report expires: long enough for several periods and a
 * stall of the sender. */
#define QG_MESH_EXPIRY (300 * QG_MSEC)

enum
{
  /** In a fleet of at most this many relays, every relay reports to every other
   * relay and receives at most 500 messages a second. */
  QG_MESH_DIRECT_MAX = 11,
  /** Connections that a head keeps to each other group: one to the head of that
   * group, one to the relay that takes over if that head fails. */
  QG_MESH_CANDIDATES = 2,
  /** Prefixes kept per source for the next report; as many as a source has
   * requests in a second. */
  QG_MESH_PREFIXES_MAX = 1024,
  /** Units of QgMeshLoad.demand per request. */
  QG_MESH_DEMAND_UNITS = 1000,
  /** Limits kept per source for the next report. */
  QG_MESH_LIMITS_MAX = 1024,
  /** Streams kept per source for the next report. */
  QG_MESH_STREAMS_MAX = 1024,
};

/** Load at a target: of one relay, or the sum for several relays. */
typedef struct
{
  guint64 target; /**< hash of its id */
  guint32 unread; /**< prompt tokens of requests without an answer yet */
  guint32 inflight;
  guint32 demand; /**< for a target with a rate limit, in parts of a request:
                     see QG_MESH_DEMAND_UNITS */
} QgMeshLoad;

/** Notice that a prompt with this prefix was sent to a target. */
typedef struct
{
  guint64 target; /**< hash of its id */
  guint64 key;    /**< hash of the prefix */
  guint32 tokens; /**< tokens of the last part of the prefix */
} QgMeshPrefix;

/** What a relay heard from a target about its rate limit. */
typedef struct
{
  guint64 target;  /**< hash of its id */
  guint64 born_ms; /**< incarnation of the target */
  double limit;    /**< requests per second; negative: the limit ended */
  QgTime at;       /**< time of the statement, on the clock of this process */
} QgMeshLimit;

/** Notice that a stream began, or that its weights have changed. */
typedef struct
{
  guint64 attempt;  /**< hash of the attempt or request that began it */
  guint64 version;  /**< of the targets' software; see QgDispatchJob */
  guint64 began_by; /**< hash of the attempt that began it; 0: not known */
  gint64 weights;   /**< version of the weights that the caller has last seen in
                         it, or -1 */
} QgMeshStream;

/** Whose loads a message contains. */
typedef enum
{
  QG_MESH_OWN,   /**< of the sender: member to head */
  QG_MESH_GROUP, /**< of the sender's group: head to head */
  QG_MESH_REST,  /**< of all relays but the receiver: head to member */
  QG_N_MESH_SCOPES
} QgMeshScope;

typedef struct
{
  QgMeshScope scope;
  guint n_loads;
  const QgMeshLoad *loads;
  guint n_prefixes;
  const QgMeshPrefix *prefixes;
  guint n_limits;
  const QgMeshLimit *limits;
  guint n_streams;
  const QgMeshStream *streams;
} QgMeshMsg;

typedef struct _QgMesh QgMesh;

typedef struct
{
  /** Sends @a msg to the connected relay @a to. */
  void (*send) (gpointer user, const char *to, const QgMeshMsg *msg);
  /** Replaces the loads last reported by @a source; if @a n is 0, there are
   * none. */
  void (*set_loads) (gpointer user, const char *source, const QgMeshLoad *loads,
                     guint n);
  gpointer user;
} QgMeshOps;

/** Creates the state of the relay @a name in the data centre @a dc. */
QgMesh *qg_mesh_new (const char *name, const char *dc, const QgMeshOps *ops);
void qg_mesh_free (QgMesh *mesh);

/** Replaces the list of relays: call begin, then qg_mesh_relay() for each, then
 * end. This relay itself may be left out. */
void qg_mesh_relays_begin (QgMesh *mesh);
void qg_mesh_relay (QgMesh *mesh, const char *name, const char *dc);
void qg_mesh_relays_end (QgMesh *mesh);

/** Whether this relay should open a connection to @a name and keep it. Of two
 * relays, the one whose name sorts first connects. */
gboolean qg_mesh_should_connect (const QgMesh *mesh, const char *name);
/** Records that the connection to @a name was established or lost. */
void qg_mesh_set_connected (QgMesh *mesh, const char *name, gboolean connected);

/** The name of the head of this relay's group, which may be this relay. */
const char *qg_mesh_head (const QgMesh *mesh);

/** Records for the next report that this relay sent a prompt with @a prefix. */
void qg_mesh_add_prefix (QgMesh *mesh, const QgMeshPrefix *prefix);
/** Records for the next report what this relay heard about a rate limit. */
void qg_mesh_add_limit (QgMesh *mesh, const QgMeshLimit *limit);
/** Records for the next report that a stream began at this relay. */
void qg_mesh_add_stream (QgMesh *mesh, const QgMeshStream *stream);
/** The number of relays, with this one, whose loads this relay learns. */
guint qg_mesh_reached (const QgMesh *mesh);
/**
 * Until when this relay has heard what the others know: at least half of those
 * that report to it. G_MAXINT64 if there are none, 0 if fewer were heard within
 * QG_MESH_EXPIRY. What a single relay does not tell, as it has ended, does not
 * count.
 */
QgTime qg_mesh_heard_at (const QgMesh *mesh);
/** Processes a report of @a from; a head forwards its prefixes. */
void qg_mesh_receive (QgMesh *mesh, const char *from, const QgMeshMsg *msg,
                      QgTime now);
/** Sends the due reports; @a loads are this relay's own loads. The caller
 * must call this function every QG_MESH_PERIOD. */
void qg_mesh_send_reports (QgMesh *mesh, const QgMeshLoad *loads, guint n,
                           QgTime now);

G_END_DECLS

#endif
