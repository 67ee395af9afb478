/**
 * @file libfair.h
 * Internals shared by fair.c, fair_offer.c, fair_merge.c and hub.c.
 */
#ifndef QG_LIBFAIR_H
#define QG_LIBFAIR_H

#include "fair.h"
#include "heap.h"

G_BEGIN_DECLS

/** Bound of received counters and charges, so that sums of a few of them
 * cannot overflow. */
#define QG_FAIR_LIMIT ((gint64)1 << 60)

/** Clamps @a counter to +-QG_FAIR_LIMIT. */
static inline gint64
qg_fair_clamp (gint64 counter)
{
  return CLAMP (counter, -QG_FAIR_LIMIT, QG_FAIR_LIMIT);
}

/** Location of an entry as seen from the agent. */
typedef enum
{
  QG_LOCAL,  /**< same region */
  QG_REMOTE, /**< another region */
  QG_N_LOCALITIES
} QgLocality;

typedef struct _QgFairWorkspace QgFairWorkspace;

/** An entry and its offers. */
typedef struct
{
  guint number;
  QgLocality locality;
  GHashTable *offers[QG_N_CLASSES]; /* QgFairWorkspace -> QgFairOffer */
} QgFairEntry;

/** Requests of one workspace and class that wait at one entry. */
typedef struct
{
  QgFairEntry *entry; /* NULL once the entry was removed */
  QgFairWorkspace *space;
  QgClass size_class;
  QgLocality locality;
  guint waiting;
  guint pulls;     /* pulls in flight */
  gboolean listed; /* in_list is linked */
  GList in_list;   /* link in QgFairWorkspace.lists */
} QgFairOffer;

/** One workspace. Counters and charges are in virtual units; its counter is
 * base + own + lift, see docs/design/fair-share.md. */
struct _QgFairWorkspace
{
  QgStr *name;
  guint weight;
  gint64 base; /* fleet-wide counter as last received from the hub */
  gint64 own;  /* charged here and not yet confirmed by the hub */
  gint64 sent; /* part of own in the report that awaits an answer */
  gint64 lift; /* raise to the floor that the hub has not made yet */
  gint64 mean[QG_N_CLASSES]; /* learned cost, service units; 0 = none yet */
  gint64 class_virt[QG_N_CLASSES]; /* counter of each class */
  gint64 class_floor; /* minimum counter of a class that starts to wait */
  /* offers with more waiting requests than pulls in flight */
  GQueue lists[QG_N_LOCALITIES][QG_N_CLASSES];
  QgHeapNode nodes[QG_N_LOCALITIES];
  guint waiting_offers; /* offers with waiting > 0 */
  guint jobs;
  guint32 index;                /* index at the hub, plus one; 0 = unknown */
  gboolean dirty;               /* in QgFair.dirty */
  gboolean known_backlogged;    /* backlog state that the hub has confirmed */
  gboolean reported_backlogged; /* backlog state in the latest report */
  gboolean in_report;           /* in QgFair.reported */
  QgTime idle_since;
  GList idle; /* link in QgFair.idle while nothing waits or runs */
  gboolean is_idle;
};

struct _QgFairJob
{
  QgFairWorkspace *space;
  QgFairOffer *offer; /* offer of the pull in flight, otherwise NULL */
  QgClass size_class;
  guint weight;
  gint64 estimate; /* service units */
  gint64 charged;  /* virtual units */
};

struct _QgFair
{
  guint refs;
  QgStr *service;
  QgFairOptions options;
  GHashTable *spaces;  /* name -> QgFairWorkspace */
  GHashTable *weights; /* name -> weight, when it is not 1 */
  GHashTable *entries; /* number -> QgFairEntry */
  guint last_entry;
  QgHeap heaps[QG_N_LOCALITIES];
  gint64 floor; /* lowest counter of backlogged workspaces; never decreases */
  gint64 mean[QG_N_CLASSES]; /* learned cost over all workspaces */
  GQueue idle;               /* idle workspaces, longest idle first */

  /* exchange with the hub */
  GPtrArray *dirty;         /* workspaces that changed since the last report */
  GPtrArray *reported;      /* workspaces in the last unconfirmed report */
  GPtrArray *indexed;       /* names by hub index */
  guint64 epoch;            /* epoch of the hub */
  guint64 seq;              /* number of the latest report */
  guint64 base_seq;         /* last report that the hub confirmed */
  guint64 have;             /* version of the totals that were merged */
  gboolean awaiting_answer; /* the hub has not answered the latest report */
  QgTime reported_at;
  guint answer_items; /* counters in the last answer */
  gboolean more;      /* the hub has more counters to send */
  gboolean full;      /* the next report must include the base counters */
  struct _QgFairWire *wire;
};

/** Returns the workspace @a name; creates it if it is new. */
QgFairWorkspace *qg_fair_workspace (QgFair *fair, const char *name);

/** Virtual counter of @a space. */
gint64 qg_fair_workspace_virt (const QgFairWorkspace *space);

/** Updates the heaps after the counter or the offers of @a space changed. */
void qg_fair_update_heaps (QgFair *fair, QgFairWorkspace *space);

/** Includes @a space in the next report. */
void qg_fair_mark_changed (QgFair *fair, QgFairWorkspace *space);

/** Sets the number of waiting requests of @a offer; frees the offer when none
 * wait and no pull is in flight. */
void qg_fair_offer_set (QgFair *fair, QgFairOffer *offer, guint waiting);

/** Adds or removes @a offer in the lists that qg_fair_pick() uses. */
void qg_fair_offer_update_list (QgFair *fair, QgFairOffer *offer);

/** The offer of @a space to pull from next, or NULL. */
QgFairOffer *qg_fair_choose_offer (QgFairWorkspace *space, QgLocality locality);

/** Raises the floor to the lowest counter of the backlogged workspaces. */
void qg_fair_raise_floor (QgFair *fair);

/** Removes @a space from the idle list. */
void qg_fair_mark_active (QgFair *fair, QgFairWorkspace *space);

/** Adds @a space to the idle list if none of its requests waits or runs. */
void qg_fair_check_idle (QgFair *fair, QgTime now, QgFairWorkspace *space);

/** Frees a QgFairEntry, but not its offers with pulls in flight. */
void qg_fair_entry_free (gpointer entry);

/** Frees the buffers of qg_fair_report(). */
void qg_fair_wire_free (QgFair *fair);

G_END_DECLS

#endif
