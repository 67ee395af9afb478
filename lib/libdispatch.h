/**
 * @file libdispatch.h
 * What the files of the dispatch family share: dispatch.c (the queue and its
 * order), dispatch_target.c (what is known of targets) and dispatch_place.c
 * (which target a request goes to).
 */
#ifndef QG_LIBDISPATCH_H
#define QG_LIBDISPATCH_H

#include "dispatch.h"

/** Tokens of a prompt that a busy target reads in a millisecond. The engines of
 * the first users read 110 when they do nothing else; a step that also makes
 * tokens for 48 requests reads 1,024 in 17 ms. */
#define DISPATCH_READ_RATE 60.0
/** Expected time of an answer apart from reading the prompt: two turns of the
 * network between regions (8 ms one way) and some steps of the engine. */
#define DISPATCH_BASE (20 * QG_MSEC)
/** Disadvantage of a target in another region: its round trip, and as much for
 * the bytes between regions, which are paid for. */
#define DISPATCH_REMOTE (30 * QG_MSEC)
/** Part of its aim for which a request waits for the target that suits it best
 * while others have room: as long as reading a shared part again would take. */
#define DISPATCH_PATIENT_PART 0.35
/** What reading a token costs those who come later, against what it costs the
 * request itself: under load there is always one behind it. */
#define DISPATCH_READ_PRICE 2.0
/** Part of the aim that the expected first answer may take: the rest is for
 * the way to the caller and for what was not foreseen. */
#define DISPATCH_AIM_PART 0.7
/** Half-life of what is known of the wait at a target that sends no news. */
#define DISPATCH_WAIT_HALF (400 * QG_MSEC)
/** Weight of a new sample of the wait. */
#define DISPATCH_WAIT_GAIN 0.3
/** Wait in front of a target's engine up to which the window opens: about the
 * time of one long prompt, so that the engine always has the next one. */
#define DISPATCH_WAIT_GOAL (100 * QG_MSEC)
/** Window of prompt tokens: its start, least and most. The least admits one
 * middle prompt, the most is what an engine reads in a second. */
#define DISPATCH_WINDOW_START 6000.0
#define DISPATCH_WINDOW_MIN   1500.0
#define DISPATCH_WINDOW_MAX   60000.0
/** Wait above which a target gets no work beyond the shares; it gets none while
 * anything is unread there, either. */
#define DISPATCH_SPARE_WAIT (30 * QG_MSEC)
/** Part of a window that is closed at once, and the part of the tokens read in
 * time by which it opens. */
#define DISPATCH_WINDOW_CLOSE 0.7
#define DISPATCH_WINDOW_OPEN  0.15
/** How long a target that lost a connection is taken for cold: a heartbeat of
 * its new start comes within one period (1.2 s) and some delay. */
#define DISPATCH_DOUBT (3 * QG_SEC)
/** Span in which the sends to a cold target are counted; the rate is stated
 * for one second. */
#define DISPATCH_COLD_SPAN QG_SEC
/** Weight of the latest outcome in the share of failures of a target, and the
 * share above which it is left alone: two failures in a row, or two in five. */
#define DISPATCH_FAILING_GAIN 0.2
#define DISPATCH_FAILING_MAX  0.3
/** Pause after a target had no room: some requests end in that time. */
#define DISPATCH_FULL_PAUSE (50 * QG_MSEC)
/** Part of a cold target's rate that entries plan for when they are more than
 * that rate: who may send in a second is then drawn, and draws scatter. */
#define DISPATCH_COLD_PART 0.6
/** First and longest time for which a failing target is left alone. */
#define DISPATCH_SHUN_MIN (200 * QG_MSEC)
#define DISPATCH_SHUN_MAX (3 * QG_SEC)
/** Prefixes remembered of one target. */
#define DISPATCH_KEPT_MAX 4096
/** Part of a target's memory that shared prefixes are taken to fill: the rest
 * holds what runs, and parts of single requests. */
#define DISPATCH_KEPT_PART 0.6
/** Waiting jobs that one run looks at, per service, before it takes the rest
 * for stuck. */
#define DISPATCH_LOOK 24
/** Time over which the service of a workspace is remembered (half-life): the
 * order of the window over which shares are owed (4 s). */
#define DISPATCH_SHARE_HALF (2 * QG_SEC)
/** Rest after a look for each target that was weighed for a request: on the
 * thinnest VM (0.09 of a core) that costs some 3 us, so looks take half of its
 * processor at most, however much waits for however many targets. */
#define DISPATCH_REST_US 6
/** Pause between two looks at a queue that nothing moves. */
#define DISPATCH_TICK (10 * QG_MSEC)
/** Retry-After is never shorter: a caller's round trip and a new connection. */
#define DISPATCH_RETRY_MIN (100 * QG_MSEC)

enum
{
  DISPATCH_COLD_RING = 64,
};

/** A prefix that a target has read. */
typedef struct
{
  guint64 key;
  QgTime at; /* last use */
  guint tokens;
  GList *link;
} DispatchKept;

struct _QgDispatch
{
  QgDispatchOps ops;
  QgStr *region;
  guint entries;
  guint64 hash;         /* of the name */
  GHashTable *targets;  /* id to QgDispatchTarget */
  GHashTable *by_hash;  /* hash of the id to QgDispatchTarget */
  GHashTable *services; /* name to GPtrArray of QgDispatchTarget */
  GHashTable *drained;
  GHashTable *others; /* source to GArray of QgMeshLoad */
  GQueue waiting;     /* QgDispatchJob by arrival */
  GArray *served;     /* double, by workspace; decays */
  QgTime served_at;
  guint turn;        /* spreads Retry-After */
  QgTime looked;     /* no look before, unless something changes */
  QgTime rest_until; /* no look before, whatever changes */
  guint estimates;   /* in the present look */
};

/* dispatch_target.c */
gboolean dispatch_usable (const QgDispatch *dispatch,
                          const QgDispatchTarget *target);
/** Learns from how work at @a target ended. */
void dispatch_ended (QgDispatchTarget *target, QgDispatchEnd end, QgTime now);
/** A number that a name stands for, alike in all processes. */
guint64 dispatch_name_hash (const char *name);
/** Whether a cold target may get one more now; TRUE when it is not cold. */
gboolean dispatch_cold_allows (const QgDispatch *dispatch,
                               const QgDispatchTarget *target,
                               const QgService *service, QgTime now);
void dispatch_cold_sent (QgDispatchTarget *target, QgTime now);
/** What a request waits at the target beyond what is known to be read before
 * it, in us. */
double dispatch_wait (const QgDispatchTarget *target, QgTime now);
/** A first answer came after a wait of @a wait us. */
void dispatch_learn (QgDispatchTarget *target, const QgDispatchJob *job,
                     double wait, QgTime now);
void dispatch_keep (QgDispatchTarget *target, const QgDispatchJob *job,
                    QgTime now);

/** Adds @a sign times what @a loads hold to the targets. */
void dispatch_add_loads (QgDispatch *dispatch, const GArray *loads, int sign);

/* dispatch_place.c */
void dispatch_hash (QgDispatchJob *job);
/** The best target for @a job now, or NULL; sets what is expected there. */
QgDispatchTarget *dispatch_place (QgDispatch *dispatch, QgDispatchJob *job,
                                  QgTime now);

#endif
