/**
 * @file libdispatch.h
 * Internals shared by dispatch.c (the queue and its order), dispatch_target.c
 * (the state of targets), dispatch_cache.c (their cached prefixes),
 * dispatch_notice.c (what they say about themselves) and dispatch_place.c (the
 * choice of a target).
 */
#ifndef QG_LIBDISPATCH_H
#define QG_LIBDISPATCH_H

#include "dispatch.h"

G_BEGIN_DECLS

/** Prompt tokens that a busy target reads per millisecond. The engines of the
 * first users read 110 tokens per millisecond when otherwise idle, and 1,024
 * tokens in a step of 17 ms that also generates tokens for 48 requests. */
#define DISPATCH_READ_RATE 60.0
/** Time to the first answer, not counting the time to read the prompt: two
 * transfers between regions (8 ms each) and a few engine steps. */
#define DISPATCH_BASE_TIME (20 * QG_MSEC)
/** Cost added for a target in another region: the time of the round trip,
 * doubled because traffic between regions is billed. */
#define DISPATCH_REMOTE_COST (30 * QG_MSEC)
/** How long versions of targets that are gone count: no stream lasts longer. */
#define DISPATCH_VERSION_HOLD (60 * QG_SEC)
/** How long a request waits for its cheapest target while other targets have
 * room, as a fraction of its aim (target time to the first answer). Another
 * target would need about this long to read the shared prefix again. */
#define DISPATCH_PATIENCE_PART 0.35
/** Weight of the delay that reading a prompt causes to later requests, relative
 * to the delay of the request itself. Under load, a later request always waits
 * behind the request whose prompt is read. */
#define DISPATCH_READ_WEIGHT 2.0
/** Fraction of the aim that the estimated time to the first answer may take;
 * the rest is for the network to the caller and for errors of the estimate. */
#define DISPATCH_AIM_PART 0.7
/** Half-life of the measured wait at a target without new samples. */
#define DISPATCH_WAIT_HALF_LIFE (400 * QG_MSEC)
/** Speeds of a target, relative to its service, that are taken for 1: answers
 * of targets that are alike differ as much by what else runs there. */
#define DISPATCH_SPEED_ALIKE_MIN 0.75
#define DISPATCH_SPEED_ALIKE_MAX 1.33
/** Speed of a service below which its targets read less than
 * DISPATCH_READ_RATE. Of the users' services, those whose targets read 56
 * tokens and more per millisecond when idle have speeds from 0.67 to 1.08, the
 * one that reads 31 has 0.41. */
#define DISPATCH_SPEED_SLOW 0.5
/** Weight of a new sample of the wait. */
#define DISPATCH_WAIT_GAIN 0.3
/** Longest wait at a target for which its window grows: the time to read one
 * long prompt, so that the engine always has another prompt queued. */
#define DISPATCH_WAIT_GOAL (100 * QG_MSEC)
/** Window in prompt tokens: initial, minimum and maximum. The minimum admits
 * one medium prompt, the maximum is the number of tokens that an engine reads
 * in a second. */
#define DISPATCH_WINDOW_START 6000.0
#define DISPATCH_WINDOW_MIN   1500.0
#define DISPATCH_WINDOW_MAX   60000.0
/** Wait at a target below which the target gets requests beyond the shares, if
 * the target has no unread tokens. */
#define DISPATCH_SPARE_WAIT_MAX (30 * QG_MSEC)
/** Factor by which a window shrinks, and the fraction of the tokens read on
 * time by which it grows. */
#define DISPATCH_WINDOW_SHRINK 0.7
#define DISPATCH_WINDOW_GROW   0.15
/** How long a target is treated as cold after a connection to it was lost: a
 * restarted target sends a heartbeat within one period (1.2 s) and some
 * delay. */
#define DISPATCH_MAYBE_COLD (3 * QG_SEC)
/** Time span in which sends to a cold target are counted; the configured rate
 * is per second. */
#define DISPATCH_COLD_SPAN QG_SEC
/** Weight of the latest outcome in a target's failure rate, and the failure
 * rate above which the target is avoided. Two failures in a row, or two in
 * every five outcomes, exceed this rate. */
#define DISPATCH_FAILURE_GAIN     0.2
#define DISPATCH_FAILURE_RATE_MAX 0.3
/** Pause of sends to a target that had no free slot; some requests on the
 * target end in this time. */
#define DISPATCH_FULL_PAUSE (50 * QG_MSEC)
/** How long an entry that has started sends one request at a time to a target
 * that has not answered it: other entries repeat what they heard within 500 ms,
 * and a long prompt is read within 2 s. */
#define DISPATCH_FIRST_SPAN (2 * QG_SEC)
/** Fraction of a cold target's rate that all entries together use on average if
 * there are more entries than requests per second in the rate. In this case,
 * hashes select the entries that may send in a given second, and the number of
 * selected entries varies. */
#define DISPATCH_COLD_PART 0.6
/** First and longest backoff of a failing target. */
#define DISPATCH_BACKOFF_MIN (200 * QG_MSEC)
#define DISPATCH_BACKOFF_MAX (3 * QG_SEC)
/** Cached prefixes remembered per target. */
#define DISPATCH_CACHED_PREFIXES_MAX 4096
/** Fraction of a target's KV cache assumed to hold shared prefixes; the rest of
 * the cache holds running requests and unshared parts of prompts. */
#define DISPATCH_CACHE_PART 0.6
/** A run stops when it has found no target for this many jobs, as the remaining
 * jobs probably cannot be sent either. */
#define DISPATCH_UNPLACED_MAX 24
/** Half-life of the service counted for a workspace: of the same order as the
 * time over which shares are guaranteed (4 s). */
#define DISPATCH_SERVICE_HALF_LIFE (2 * QG_SEC)
/** Half-life of the demand for a service at this entry, by which the entries
 * divide rate limits: short compared to the 4 s over which limits hold. */
#define DISPATCH_DEMAND_HALF_LIFE QG_SEC
/** Half-life of the demand that an entry assumes of the others when a target
 * states a rate limit: their reports take less. */
#define DISPATCH_ASSUMED_HALF_LIFE QG_SEC
/** How long the last known demand of an entry counts whose reports are missing.
 * Overloaded entries report late; nobody may take their part meanwhile. */
#define DISPATCH_DEMAND_HOLD (2 * QG_SEC)
/** Pause after a run, in microseconds per estimate made in the run. Each
 * estimate is for one job at one target. An estimate takes about 3 us on the
 * smallest VM (0.09 of a core), so runs use at most half of the CPU of this VM,
 * whatever the number of jobs and targets. */
#define DISPATCH_PAUSE_PER_ESTIMATE_US 6
/** Interval between two runs if nothing changed. */
#define DISPATCH_RUN_INTERVAL (10 * QG_MSEC)
/** Shortest Retry-After: enough for the caller's round trip and a new
 * connection. */
#define DISPATCH_RETRY_MIN (100 * QG_MSEC)

enum
{
  /** Send times remembered per target. A cold target gets at most this many
   * requests of an entry in a DISPATCH_COLD_SPAN. */
  DISPATCH_COLD_RING = 64,
};

/** A prefix that a target probably has in its KV cache. */
typedef struct
{
  guint64 key;
  QgTime at;    /* last use */
  guint tokens; /* tokens of the last part of the prefix */
  GList *link;
} DispatchPrefix;

/** A version of targets that are gone. */
typedef struct
{
  guint64 version;
  QgTime noted_at; /* 0: since the last query */
} DispatchPastVersion;

/** The targets of a service, and the demand for it. */
typedef struct
{
  GPtrArray *targets; /* QgDispatchTarget, borrowed */
  GPtrArray *gone; /* targets no longer listed that have requests, borrowed */
  double demand;   /* requests submitted at this entry; decays */
  QgSpeed speed;   /* of the first answers of all targets */
  GArray *past;    /* DispatchPastVersion of targets that are gone */
  GArray *stated;  /* guint64: versions of qg_dispatch_set_versions() */
  QgRolloutPhase rollout;
  guint64 rollout_version; /* the new version; valid unless QG_ROLLOUT_NONE */
  double rollout_share;
  QgTime rollout_until; /* when QG_ROLLOUT_COMPLETED ends */
  guint n_new;          /* usable targets of the new version */
  guint n_old;          /* usable targets of other versions */
  guint64 counted_at;   /* epoch of n_new and n_old */
} DispatchService;

/** The last report of a source on the loads of other entries. */
typedef struct
{
  GArray *loads;  /* QgMeshLoad */
  gboolean lost;  /* the source reports no more; only its demand counts */
  QgTime lost_at; /* 0: not noticed yet */
} DispatchReport;

struct _QgDispatch
{
  QgDispatchOps ops;
  QgStr *region;
  QgTime started; /* when this process began */
  guint entries;
  guint64 hash;          /* hash of this entry's name */
  GArray *entry_hashes;  /* guint64, hashes of the names of the other entries */
  guint64 entries_epoch; /* changes with entry_hashes */
  guint reached;         /* entries whose loads are known, with this one */
  GHashTable *targets;   /* id to QgDispatchTarget */
  GHashTable *by_hash;   /* hash of the id to QgDispatchTarget */
  GHashTable *services;  /* name to DispatchService */
  GHashTable *drained;
  GHashTable *holders;  /* key of a prefix to the targets that have it cached */
  guint64 match;        /* number of the last dispatch_match_prefixes() */
  guint64 epoch;        /* changes with the set of usable targets */
  guint64 n_runs;       /* number of the current run */
  GHashTable *others;   /* source to DispatchReport */
  GQueue waiting;       /* QgDispatchJob by arrival */
  GArray *served;       /* service counted for each workspace: double, decays */
  QgTime decayed_at;    /* when served and the demands last decayed */
  guint retry_counter;  /* counter that spreads Retry-After */
  QgTime next_run;      /* next run, if nothing changes before; 0: at once */
  QgTime no_run_before; /* no run before this time */
  guint estimates;      /* made in the current run */
};

/* dispatch_target.c */
/** Whether @a target accepts new requests: it is not gone, and neither the
 * target nor its data centre is draining. */
gboolean dispatch_usable (const QgDispatchTarget *target);
/** Updates the failure rate and backoff of @a target. */
void dispatch_record_outcome (QgDispatchTarget *target, QgDispatchEnd end,
                              QgTime now);
/** A hash of @a name that is the same in all processes. */
guint64 dispatch_name_hash (const char *name);
/** Whether this entry, if it has just started, may send one more request to
 * @a target: one at a time until the target has answered, because only an
 * answer tells what it said to the entry's predecessor. */
gboolean dispatch_first_allows (const QgDispatch *dispatch,
                                const QgDispatchTarget *target, QgTime now);
/** Whether the cold start limit allows one more request to @a target; TRUE if
 * the target is not cold. */
gboolean dispatch_cold_allows (const QgDispatch *dispatch,
                               const QgDispatchTarget *target,
                               const QgService *service, QgTime now);
/** Counts a send towards the cold start limit. */
void dispatch_cold_sent (QgDispatchTarget *target, QgTime now);
/** Speed of the first answers of all targets of @a service. */
double dispatch_usual_speed (const DispatchService *service, QgTime now);
/** Prompt tokens that @a target is taken to read per millisecond:
 * DISPATCH_READ_RATE, scaled by how its speed compares with @a usual, which is
 * dispatch_usual_speed() of its service, and by that if the service is slow. */
double dispatch_read_rate (const QgDispatchTarget *target, double usual,
                           QgTime now);
/** Learns from the first answer of @a target to @a job. */
void dispatch_learn_speed (DispatchService *service, QgDispatchTarget *target,
                           const QgDispatchJob *job, QgTime now);
/** Expected wait at @a target in us, without the time to read known unread
 * tokens. */
double dispatch_wait (const QgDispatchTarget *target, QgTime now);
/** Updates the wait and the window of @a target after a first answer that was
 * delayed by @a wait us. */
void dispatch_update_window (QgDispatchTarget *target, const QgDispatchJob *job,
                             double rate, double wait, QgTime now);
/** The table for QgDispatch.others. */
GHashTable *dispatch_reports_new (void);
/** Drops the demand of sources whose reports have been missing for long. */
void dispatch_expire_demand (QgDispatch *dispatch, QgTime now);

/** Lets the counted service and demand decay. */
void dispatch_decay (QgDispatch *dispatch, QgTime now);

/* dispatch_notice.c */
/** Why the notices of targets keep a job from its targets. */
typedef struct
{
  guint n_targets; /* that the job may use */
  guint n_barred;  /* of these, barred by their notices */
  QgNoticeBar bar; /* of the barred target that is available first */
  QgTime until;    /* when this target is available */
  QgTime age;      /* of its statement */
  double rate;     /* requests per second of this entry at all of them */
} DispatchBars;

/** Whether the statements of @a target keep a job from it; adds to @a bars. */
gboolean dispatch_is_barred (const QgDispatch *dispatch,
                             QgDispatchTarget *target, double demand,
                             DispatchBars *bars, QgTime now);
/** Sets what keeps @a job from all its targets, after a search for one; @a
 * ahead: requests that get their turn before it. */
void dispatch_set_bar (QgDispatchJob *job, const DispatchBars *bars,
                       guint ahead);
/** Demand of this entry for @a target that it reports, in
 * QG_MESH_DEMAND_UNITS; 0 if the target has no rate limit or this entry does
 * not use it. */
guint32 dispatch_limit_demand (const QgDispatch *dispatch,
                               QgDispatchTarget *target);

/* dispatch_cache.c */
/** The table for QgDispatch.holders. */
GHashTable *dispatch_holders_new (void);
/** Records the prefixes of @a job as cached at @a target. */
void dispatch_cache_prefixes (QgDispatch *dispatch, QgDispatchTarget *target,
                              const QgDispatchJob *job, QgTime now);
/** Forgets the cached prefixes of @a target. */
void dispatch_cache_clear (QgDispatch *dispatch, QgDispatchTarget *target);
/** Finds for dispatch_matched_tokens() which targets have the first parts of
 * the prompt of @a job cached. */
void dispatch_match_prefixes (QgDispatch *dispatch, const QgDispatchJob *job);
/** Prompt tokens of the last matched job that @a target has cached. */
guint dispatch_matched_tokens (const QgDispatch *dispatch,
                               const QgDispatchTarget *target);

/* dispatch_version.c */
/** The service @a name, which is added if it is not known. */
DispatchService *dispatch_service (QgDispatch *dispatch, const char *name);
/** Notes that a target of @a version no longer serves @a service. */
void dispatch_version_past (DispatchService *service, guint64 version);
/** Whether @a target can run @a job with regard to versions. */
gboolean dispatch_version_fits (const QgDispatchJob *job,
                                const QgDispatchTarget *target);
/** Counts the targets of @a service by version, for dispatch_rollout_allows().
 */
void dispatch_rollout_count (const QgDispatch *dispatch,
                             DispatchService *service, QgTime now);
/** Whether the rollout of @a service lets @a job go to @a target. */
gboolean dispatch_rollout_allows (const DispatchService *service,
                                  const QgDispatchJob *job,
                                  const QgDispatchTarget *target);

/* dispatch_place.c */
/** Sets keys and subject of @a job. */
void dispatch_hash_prefixes (QgDispatchJob *job);
/** The best target for @a job now, or NULL if the job has to wait. Sets the
 * estimates in @a job. */
QgDispatchTarget *dispatch_place (QgDispatch *dispatch, QgDispatchJob *job,
                                  DispatchBars *bars, QgTime now);
/** A hash of @a a and @a b. */
guint64 dispatch_mix_hash (guint64 a, guint64 b);

G_END_DECLS

#endif
