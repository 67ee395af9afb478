/**
 * @file dispatch.h
 * Which waiting request goes to which target, when, and which is turned away:
 * the decisions of one entry that sends work to targets itself. Pure: time
 * comes from the caller, nothing is random.
 *
 * Load patterns it answers:
 *  - Two to three times what the targets give, all day: a request that cannot
 *    begin within the part of its aim that is worth it is turned away when
 *    that is known, the workspace with the most service first.
 *  - Workspaces that ask for more than their shares: what is beyond a share
 *    goes last, and only to targets where nothing of ours waits.
 *  - Thousands of prompts that share long parts, more than the memory of one
 *    target holds: a prompt goes where its parts were read already, by what
 *    this entry sent and the others tell, unless that target is busier than
 *    reading them again is worth. Parts that are new go to a target picked by
 *    rendezvous hashing, alike at all entries.
 *  - Several entries that send to the same targets: they tell each other what
 *    they have there, and each keeps a window of prompt tokens that a target
 *    has not read yet. It closes while first answers come later than they
 *    should and opens while they come in time, so the queues at the targets
 *    stay short whatever the others send or fail to tell, and work waits at
 *    the entries, where it can be ordered.
 *  - Targets that start cold, or may have: no more than this entry's part of
 *    the rate that a cold target bears.
 *  - Targets that fail part of their requests, or all: by their own rate of
 *    failures they are left alone for growing spans, unless all of them are.
 */
#ifndef QG_DISPATCH_H
#define QG_DISPATCH_H

#include "manifest.h"
#include "mesh.h"

G_BEGIN_DECLS

enum
{
  QG_PARTS_MAX = 16,   /**< parts of a prompt that are told apart */
  QG_TARGETS_TRIED = 8 /**< targets that one request may be kept from */
};

typedef struct _QgDispatch QgDispatch;
typedef struct _QgDispatchTarget QgDispatchTarget;

/** A part of a prompt, in order; the same parts have the same id. */
typedef struct
{
  guint64 id;
  guint tokens;
} QgPart;

/** A request, embedded in its owner; zeroed, then filled before submission. */
typedef struct
{
  const QgService *service; /**< the owner keeps the manifest */
  const GPtrArray *route_regions;
  const GPtrArray *workspace_regions; /**< or NULL */
  guint workspace;
  guint priority;
  guint prompt; /**< tokens, 0 for plain services */
  guint output; /**< tokens expected */
  guint n_parts;
  QgPart parts[QG_PARTS_MAX];
  QgTime arrived;
  QgTime aim;      /**< from arrival to the first answer */
  QgTime start_by; /**< not worth starting later */
  QgTime deadline;
  gboolean spare; /**< beyond the share of its workspace */
  guint n_tried;
  QgDispatchTarget *tried[QG_TARGETS_TRIED];
  /*< private >*/
  QgDispatchTarget *target; /* NULL while it waits */
  guint64 keys[QG_PARTS_MAX];
  guint64 subject;
  gint64 unread;   /* of its prompt, as expected at the target */
  gint64 ahead;    /* unread there before it */
  guint kept;      /* tokens of its prompt that the target has read */
  guint kept_most; /* and those that some usable target has */
  QgTime sent;
  QgTime expected; /* to the first answer, when sent */
  gboolean answered;
  GList *link;
} QgDispatchJob;

/** What is known of a target. */
typedef struct
{
  const char *id;
  const char *address;
  const char *service;
  const char *dc;
  const char *region;
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
  guint slots;
  gboolean draining;
  QgTime cold_until;
  QgTime doubt_until; /* may have become cold */
  QgTime shun_until;
  guint shunned;
  double failing; /* share of its latest answers that failed, smoothed */
  guint64 born_ms;
  guint64 hash;
  guint inflight;
  gint64 unread;
  gint64 others_unread; /* of the other entries, as they told */
  guint others_inflight;
  double window;    /* tokens that may be unread there */
  QgTime closed_at; /* when the window was last closed */
  double wait;      /* us that first answers wait there, smoothed */
  QgTime wait_at;
  GHashTable *kept;  /* key of a prefix to DispatchKept */
  GQueue kept_order; /* DispatchKept, longest unused first */
  guint64 kept_tokens;
  guint64 kept_limit; /* tokens that fit, 0: unknown */
  QgTime *cold_sent;  /* ring of the latest sends while cold */
  guint cold_at;
};

typedef struct
{
  const char *name;   /**< of this entry, or NULL */
  const char *region; /**< of this entry */
} QgDispatchOptions;

/** What run() decided for a job. */
typedef enum
{
  QG_DISPATCH_SEND,   /**< to target */
  QG_DISPATCH_REFUSE, /**< turned away; retry_after says when to come back */
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

/** Entries that share the targets' limits; at least 1. */
void qg_dispatch_set_entries (QgDispatch *dispatch, guint entries);

/** Takes or renews a target. */
void qg_dispatch_target (QgDispatch *dispatch, const QgDispatchTargetInfo *info,
                         QgTime now);
/** The target left; its running work goes on. */
void qg_dispatch_target_gone (QgDispatch *dispatch, const char *id);
/** Takes out all targets whose ids are not in @a ids (a set). */
void qg_dispatch_keep_only (QgDispatch *dispatch, GHashTable *ids);
/** What others have at targets, as @a source told; replaces what it told
 * before. With @a n 0 they have nothing, or the source is not heard any more.
 */
void qg_dispatch_others (QgDispatch *dispatch, const char *source,
                         const QgMeshLoad *loads, guint n);
/** Appends to @a loads (of QgMeshLoad) each target at which this entry has
 * something. */
void qg_dispatch_loads (const QgDispatch *dispatch, GArray *loads);

/** Another entry sent a prompt that begins with @a prefix. */
void qg_dispatch_others_sent (QgDispatch *dispatch, const QgMeshPrefix *prefix,
                              QgTime now);
/** Calls @a visit for each prefix of @a job that may be shared. */
void qg_dispatch_each_prefix (const QgDispatchJob *job,
                              void (*visit) (guint64 key, guint tokens,
                                             gpointer user),
                              gpointer user);
guint64 qg_dispatch_target_hash (const QgDispatchTarget *target);

/** Data centres that get no new work; a set of names that is copied. */
void qg_dispatch_set_drained (QgDispatch *dispatch, char **names, gsize n);
guint qg_dispatch_targets (const QgDispatch *dispatch);

/** Queues @a job; decisions come from qg_dispatch_run(). */
void qg_dispatch_submit (QgDispatch *dispatch, QgDispatchJob *job);
/** Takes a waiting job out. */
void qg_dispatch_withdraw (QgDispatch *dispatch, QgDispatchJob *job);

/** When a caller that is turned away should come back, from now. */
QgTime qg_dispatch_return_in (QgDispatch *dispatch, const QgDispatchJob *job,
                              QgTime now);

/** Decides what can be decided at @a now. */
void qg_dispatch_run (QgDispatch *dispatch, QgTime now);
/** When run() must be called again without another event; G_MAXINT64: never. */
QgTime qg_dispatch_wakeup (const QgDispatch *dispatch);

/** The first piece of the answer came. */
void qg_dispatch_answered (QgDispatch *dispatch, QgDispatchJob *job,
                           QgTime now);

/** How the work at a target ended. */
typedef enum
{
  QG_DISPATCH_OK,
  QG_DISPATCH_FULL,   /**< the target had no room and ran nothing */
  QG_DISPATCH_WRONG,  /**< another target is at the address */
  QG_DISPATCH_FAILED, /**< it answered with an error or broke off */
  QG_DISPATCH_LOST,   /**< it broke a connection: it may be a new start */
  QG_DISPATCH_DOWN,   /**< no connection could be made */
  QG_DISPATCH_LEFT,   /**< the caller left */
  QG_N_DISPATCH_ENDS
} QgDispatchEnd;

/** The job leaves its target; it may be submitted again. */
void qg_dispatch_end (QgDispatch *dispatch, QgDispatchJob *job,
                      QgDispatchEnd end, QgTime now);

guint qg_dispatch_waiting (const QgDispatch *dispatch);

QgDispatchTarget *qg_dispatch_target_ref (QgDispatchTarget *target);
void qg_dispatch_target_unref (QgDispatchTarget *target);

/** Whether a target of @a service exists that @a job may use at all. */
gboolean qg_dispatch_has_target (const QgDispatch *dispatch,
                                 const QgDispatchJob *job);

G_END_DECLS

#endif
