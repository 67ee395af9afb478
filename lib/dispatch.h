/**
 * @file dispatch.h
 * Request scheduling of one entry that sends work to targets itself. Decides
 * when a waiting request is sent and to which target, and which requests are
 * refused. Does no I/O and uses no random numbers; the caller passes the time.
 *
 * A target "reads" a prompt when it processes the tokens of the prompt
 * (prefill). "Cached" means in the KV cache of a target.
 *
 * Load patterns, and how each is handled:
 *  - Sustained load of two to three times the targets' capacity: a request that
 *    cannot start by its start_by time is refused at that time. Requests of the
 *    workspaces with the least service are sent first.
 *  - Workspaces that demand more than their share: requests beyond the share
 *    are sent last, and only to targets without unread prompt tokens.
 *  - Thousands of prompts with long common prefixes, more than the KV cache of
 *    one target holds: a prompt is sent to a target that has its prefix cached.
 *    If the queue at this target costs more than reading the prefix again, the
 *    prompt is sent to a target that has to read the prefix.
 *    The cached prefixes are inferred from what this entry sent and what other
 *    entries report. A new prefix goes to a target chosen by rendezvous
 *    hashing, the same at all entries.
 *  - Several entries that send to the same targets: the entries report their
 *    load to each other, and each entry limits its unread prompt tokens at a
 *    target by a window. The window shrinks when first answers are late and
 *    grows when they are on time. Queues at the targets therefore stay short
 *    even if reports are missing, and requests wait at the entries, where they
 *    can be ordered.
 *  - Targets that are cold or may be cold: the entry sends at most its part of
 *    the rate that a cold target can take.
 *  - Targets that state a rate limit: each entry uses a part of the limit in
 *    proportion to its demand. With more entries than requests per second, only
 *    some entries use the target, selected by hashes.
 *  - All targets that a request may use have a rate limit, pause or are
 *    leaving: a request whose turn would come after its start_by time is
 *    refused at once.
 *  - Targets of different speeds, or that slow down for moments: the rate at
 *    which each reads prompts is learned from its answers, relative to that of
 *    the service, and estimates of what waits at a target use it.
 *  - Targets that fail some or all requests: a target whose own failure rate is
 *    high gets no requests during an exponential backoff. If all targets are
 *    in backoff, they are used in spite of it.
 */
#ifndef QG_DISPATCH_H
#define QG_DISPATCH_H

#include "manifest.h"
#include "mesh.h"
#include "notice.h"
#include "speed.h"
#include "rollout.h"

G_BEGIN_DECLS

enum
{
  QG_PARTS_MAX = 16,       /**< parts of a prompt */
  QG_TRIED_TARGETS_MAX = 8 /**< tried targets recorded per request */
};

/** How long targets of the old version get nothing after a completed rollout:
 * longer than targets without heartbeats are listed. */
#define QG_DISPATCH_COMPLETED_HOLD (10 * QG_SEC)

typedef struct _QgDispatch QgDispatch;
typedef struct _QgDispatchTarget QgDispatchTarget;

/** A part of a prompt; parts with equal content have equal ids. */
typedef struct
{
  guint64 id;
  guint tokens;
} QgPart;

/** A request, embedded in a structure of its owner. The owner zeroes the
 * request and fills it in before qg_dispatch_submit(). */
typedef struct
{
  const QgService *service; /**< borrowed from the manifest, which the
                               owner must keep referenced */
  const GPtrArray *route_regions;
  const GPtrArray *workspace_regions; /**< or NULL */
  guint workspace; /**< index in the manifest plus 1; 0: none */
  guint priority;  /**< 0 is the highest */
  guint prompt;    /**< tokens; 0 if the service is not a model */
  guint output;    /**< expected tokens */
  guint n_parts;
  QgPart parts[QG_PARTS_MAX];
  QgTime arrived;
  QgTime aim;      /**< target time from arrival to the first answer */
  QgTime start_by; /**< refused if still waiting at this time */
  QgTime deadline;
  gboolean over_share; /**< exceeds the share of its workspace */
  double rollout_draw; /**< uniform from 0 to 1, the same each time it is sent:
                          decides on the version during a rollout */
  guint64 version;     /**< of the software that must run it; 0: any */
  guint n_tried;
  QgDispatchTarget *tried[QG_TRIED_TARGETS_MAX];
  /*< private >*/
  QgDispatchTarget *target;   /* NULL while the request waits */
  guint64 keys[QG_PARTS_MAX]; /* hash of the prefix that ends with each part */
  guint64 subject;            /* key of the longest shareable prefix */
  gint64 unread;       /* prompt tokens that the target probably has to read */
  gint64 tokens_ahead; /* tokens that the target reads before this prompt */
  guint cached;        /* prompt tokens in the target's cache */
  guint best_cached;   /* most prompt tokens that a usable target has cached */
  QgTime sent;
  QgTime expected; /* estimated time to the first answer, when sent */
  gboolean answered;
  const QgDispatchTarget *home; /* valid at home_epoch */
  guint64 home_epoch;           /* 0: none */
  guint64 unplaced_run;         /* run that found no target for the job */
  GList *link;
  QgNoticeBar bar;     /* what keeps it from all its targets, or CLEAR */
  QgTime barred_until; /* estimated time of its turn, if barred */
  QgTime bar_age;      /* time since the statement was made, if barred */
} QgDispatchJob;

/** A target as announced by the control leader. */
typedef struct
{
  const char *id;
  const char *address;
  const char *service;
  const char *dc;
  const char *region;
  const char *version; /**< of its software, or "" */
  guint slots;
  gboolean draining;
  QgTime cold_until;
  guint64 born_ms;
} QgDispatchTargetInfo;

struct _QgDispatchTarget
{
  int refs;
  QgStr *id;
  QgStr *address;
  QgStr *service;
  QgStr *dc;
  gboolean gone;
  /*< private >*/
  QgStr *region;
  guint64 version; /* hash of the version of its software; never 0 */
  gboolean remote; /* in another region than this entry */
  guint slots;
  gboolean draining;
  gboolean dc_drained; /* its data centre gets no new requests */
  QgTime cold_until;
  QgTime maybe_cold_until; /* treated as cold, as it may have restarted */
  QgTime backoff_until;
  guint n_backoffs;    /* backoffs in a row */
  double failure_rate; /* of requests to the target, exponentially averaged */
  guint64 born_ms;
  guint64 hash;
  guint inflight;       /* requests of this entry */
  gint64 unread;        /* prompt tokens of this entry */
  gint64 others_unread; /* prompt tokens of other entries, as reported */
  guint others_inflight;
  guint64 others_demand; /* likewise, in QG_MESH_DEMAND_UNITS */
  double assumed_demand; /* of other entries: assumed at first, then reported */
  QgTime assumed_at;     /* when assumed_demand was updated; 0: not known yet */
  guint64 selected_at;   /* entries_epoch at which is_selected was set */
  gboolean is_selected;  /* this entry may use the target within its limit */
  double window;         /* limit of unread tokens at this target */
  QgTime shrunk_at;      /* when the window last shrank */
  QgSpeed speed;         /* of its first answers */
  double wait;        /* unexplained delay of first answers in us, averaged */
  QgTime wait_at;     /* when wait was updated */
  GHashTable *cached; /* key of a cached prefix to DispatchPrefix */
  GQueue cached_lru;  /* DispatchPrefix, least recently used first */
  guint64 cached_tokens; /* sum over cached */
  guint64 cached_limit;  /* limit of cached_tokens; 0: none known */
  guint64 match;         /* match that set the next two fields */
  guint matched_parts;   /* parts of the matched prompt that are cached */
  guint matched_tokens;  /* tokens of these parts */
  QgNoticeState notices; /* what this incarnation says about itself */
  QgTime known_since;    /* when this incarnation became known */
  gboolean has_answered; /* this incarnation, to this entry */
  QgTime *cold_sent;     /* ring of the latest send times */
  guint cold_next;       /* next index in cold_sent */
};

typedef struct
{
  const char *name;   /**< of this entry, or NULL */
  const char *region; /**< of this entry */
  QgTime started;     /**< when this process began; 0: long ago */
} QgDispatchOptions;

/** Decision of qg_dispatch_run() on a job. */
typedef enum
{
  QG_DISPATCH_SEND,   /**< send the job to the target */
  QG_DISPATCH_REFUSE, /**< refuse the job, with retry_after as Retry-After */
} QgDispatchVerdict;

typedef struct
{
  void (*decide) (gpointer user, QgDispatchJob *job, QgDispatchVerdict verdict,
                  QgDispatchTarget *target, QgTime retry_after);
  gpointer user;
} QgDispatchOps;

QgDispatch *qg_dispatch_new (const QgDispatchOptions *options,
                             const QgDispatchOps *ops);
void qg_dispatch_free (QgDispatch *dispatch);

/** Sets the number of entries that share the targets' limits; at least 1. */
void qg_dispatch_set_entries (QgDispatch *dispatch, guint entries);
/** Sets the names of these entries; this entry's own may be among them. The
 * names select the entries that use a target with a low rate limit. */
void qg_dispatch_set_entry_names (QgDispatch *dispatch, char **names, guint n);
/** Sets the number of entries, with this one, whose loads this entry knows. An
 * entry that does not know all uses the same fraction of its part of the rate
 * limits. */
void qg_dispatch_set_reached (QgDispatch *dispatch, guint entries);

/** Adds or updates a target. */
void qg_dispatch_update_target (QgDispatch *dispatch,
                                const QgDispatchTargetInfo *info, QgTime now);
/** Removes a target; requests in flight at the target continue. */
void qg_dispatch_remove_target (QgDispatch *dispatch, const char *id);
/** Removes all targets whose ids are not in the set @a ids. */
void qg_dispatch_retain_targets (QgDispatch *dispatch, GHashTable *ids);
/** Sets the load of other entries as reported by @a source, in place of the
 * previous report of @a source. @a n is 0 if there is no load or the connection
 * to the source was lost. */
void qg_dispatch_set_other_loads (QgDispatch *dispatch, const char *source,
                                  const QgMeshLoad *loads, guint n);
/** Appends a QgMeshLoad to @a loads for each target at which this entry has
 * requests in flight, or for which it has demand although the target has a rate
 * limit. */
void qg_dispatch_loads (QgDispatch *dispatch, GArray *loads, QgTime now);
/** Applies what another entry heard from a target about its rate limit; returns
 * the target if the limit changed, else NULL. */
const QgDispatchTarget *qg_dispatch_learn_limit (QgDispatch *dispatch,
                                                 const QgMeshLimit *limit,
                                                 QgTime now);

/** Notes that another entry sent a prompt that begins with @a prefix. */
void qg_dispatch_add_other_prefix (QgDispatch *dispatch,
                                   const QgMeshPrefix *prefix, QgTime now);
/** Calls @a visit for each prefix of @a job that other prompts may share. */
void qg_dispatch_each_prefix (const QgDispatchJob *job,
                              void (*visit) (guint64 key, guint tokens,
                                             gpointer user),
                              gpointer user);
guint64 qg_dispatch_target_hash (const QgDispatchTarget *target);

/** Sets the data centres that get no new requests; the names are copied. */
void qg_dispatch_set_drained (QgDispatch *dispatch, char **names, gsize n);
/** The number of targets. */
guint qg_dispatch_target_count (const QgDispatch *dispatch);

/** Queues @a job; decisions come from qg_dispatch_run(). */
void qg_dispatch_submit (QgDispatch *dispatch, QgDispatchJob *job);
/** Removes @a job from the queue; no-op if it is not waiting. */
void qg_dispatch_withdraw (QgDispatch *dispatch, QgDispatchJob *job);

/** The Retry-After for a refused job, counted from @a now. */
QgTime qg_dispatch_retry_after (QgDispatch *dispatch, const QgDispatchJob *job,
                                QgTime now);

/** Decides which waiting jobs are sent and which are refused at @a now; the
 * other jobs keep waiting. */
void qg_dispatch_run (QgDispatch *dispatch, QgTime now);
/** The time at which the caller must call qg_dispatch_run() if it calls no
 * other function of @a dispatch before; G_MAXINT64: no call is needed. */
QgTime qg_dispatch_wakeup (const QgDispatch *dispatch);

/** Records that the first byte of the answer to @a job arrived. */
void qg_dispatch_answered (QgDispatch *dispatch, QgDispatchJob *job,
                           QgTime now);

/** Applies what the target of @a job says about itself in its answer to @a job;
 * returns a set of QgNoticeChange. Ignores the answer of an earlier incarnation
 * of the target. */
guint qg_dispatch_hear (QgDispatch *dispatch, const QgDispatchJob *job,
                        const QgNotice *notice, QgTime now);
/** What keeps @a job from all targets that it may use; QG_NOTICE_CLEAR unless
 * the statements of these targets do. */
QgNoticeBar qg_dispatch_bar (const QgDispatchJob *job);
/** Time since the statement that keeps @a job from its targets was made. */
QgTime qg_dispatch_bar_age (const QgDispatchJob *job);
/** Counts the targets by what they say about themselves; those that say nothing
 * count as QG_NOTICE_CLEAR. */
void qg_dispatch_count_notices (const QgDispatch *dispatch,
                                guint counts[QG_N_NOTICE_BARS], QgTime now);

/** How a request ended at a target. */
typedef enum
{
  QG_DISPATCH_OK,
  QG_DISPATCH_FULL, /**< the target had no free slot and did not run it */
  QG_DISPATCH_WRONG_TARGET,  /**< another target has this address now */
  QG_DISPATCH_WRONG_WEIGHTS, /**< the target has other weights than the request
                                needs */
  QG_DISPATCH_FAILED,        /**< an error answer or an incomplete answer */
  QG_DISPATCH_CONNECTION_LOST, /**< connection lost: the target may have
                                  restarted */
  QG_DISPATCH_CONNECT_FAILED,  /**< connecting failed */
  QG_DISPATCH_CALLER_LEFT,     /**< the caller disconnected */
  QG_N_DISPATCH_ENDS
} QgDispatchEnd;

/** Detaches @a job from its target; the job may be submitted again. */
void qg_dispatch_end (QgDispatch *dispatch, QgDispatchJob *job,
                      QgDispatchEnd end, QgTime now);

/** The number of waiting jobs. */
guint qg_dispatch_waiting_count (const QgDispatch *dispatch);

QgDispatchTarget *qg_dispatch_target_ref (QgDispatchTarget *target);
void qg_dispatch_target_unref (QgDispatchTarget *target);

/** Divides the requests to @a service between the targets of @a version and the
 * others. QG_ROLLOUT_COMPLETED lasts QG_DISPATCH_COMPLETED_HOLD from @a now, as
 * targets that have stopped are still listed. */
void qg_dispatch_set_rollout (QgDispatch *dispatch, const char *service,
                              const char *version, QgRolloutPhase phase,
                              double share, QgTime now);
/** Identifies @a version of the software that serves @a service; never 0. */
guint64 qg_dispatch_version_hash (const char *service, const char *version);
/** Requests of this entry at targets of @a service of other versions than the
 * one that is rolled out. */
guint qg_dispatch_count_at_old (const QgDispatch *dispatch,
                                const char *service);
/** Time to the first answer of @a job, which was sent, at a target that reads
 * prompts at the default rate. */
QgTime qg_dispatch_usual_time (const QgDispatchJob *job);

/** The version of all targets that serve @a service or recently did; 0: none or
 * several. */
guint64 qg_dispatch_only_version (QgDispatch *dispatch, const char *service,
                                  QgTime now);
/** Whether targets of several versions serve @a service, or recently did. */
gboolean qg_dispatch_has_versions (QgDispatch *dispatch, const char *service,
                                   QgTime now);
/** The number of services of which that is so. */
guint qg_dispatch_count_mixed (QgDispatch *dispatch, QgTime now);
/** Sets all versions at which streams of services may have begun, in parallel
 * lists, beside those of targets. */
void qg_dispatch_set_versions (QgDispatch *dispatch,
                               const char *const *services,
                               const char *const *versions, guint n);

/** Whether the service of @a job has a target in an allowed region, of the
 * version that the job needs. */
gboolean qg_dispatch_has_target (const QgDispatch *dispatch,
                                 const QgDispatchJob *job);

G_END_DECLS

#endif
