/**
 * @file libfair.h
 * Internals of the fair share that fair.c and fair_merge.c have in common.
 */
#ifndef QG_LIBFAIR_H
#define QG_LIBFAIR_H

#include "fair.h"
#include "heap.h"

G_BEGIN_DECLS

/** Where an offer waits, seen from the agent. */
typedef enum
{
  QG_NEAR, /**< same region */
  QG_FAR,  /**< another region */
  QG_N_REACH
} QgReach;

typedef struct _QgFairSpace QgFairSpace;

/** An entry with all that it offers. */
typedef struct
{
  guint number;
  QgReach reach;
  GHashTable *offers[QG_N_CLASSES]; /* QgFairSpace -> QgFairOffer */
} QgFairEntry;

/** Requests of one workspace and class that wait at one entry. */
typedef struct
{
  QgFairEntry *entry; /* NULL once the entry has left */
  QgFairSpace *space;
  QgClass size_class;
  QgReach reach;
  guint waiting;
  guint pulls; /* in flight */
  gboolean listed;
  GList in_list; /* of the space, by reach and class */
} QgFairOffer;

/** One workspace. */
struct _QgFairSpace
{
  QgStr *name;
  guint weight;
  gint64 base; /* the fleet's counter as the hub last told it */
  gint64 own;  /* charged here and not yet confirmed by the hub */
  gint64 sent; /* part of own that is in the report on its way */
  gint64 lift; /* raised here until the hub knows of the backlog */
  gint64 mean[QG_N_CLASSES]; /* learned cost, service units; 0 = none yet */
  gint64 class_virt[QG_N_CLASSES];
  gint64 class_floor;
  GQueue lists[QG_N_REACH][QG_N_CLASSES]; /* offers with more than pulls */
  QgHeapNode nodes[QG_N_REACH];
  guint offering; /* offers with waiting > 0 */
  guint jobs;
  guint32 index;  /* at the hub, plus one; 0 = unknown */
  gboolean dirty; /* in the list of changed spaces */
  gboolean known; /* the backlog state as the hub confirmed it */
  gboolean told;  /* the backlog state in the report on its way */
  gboolean in_report;
  QgTime idle_since;
  GList idle; /* in QgFair.idle while nothing waits or runs */
  gboolean is_idle;
};

struct _QgFairJob
{
  QgFairSpace *space;
  QgFairOffer *offer; /* while a pull is on its way */
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
  GHashTable *spaces;  /* name -> QgFairSpace */
  GHashTable *weights; /* name -> weight, when it is not 1 */
  GHashTable *entries; /* number -> QgFairEntry */
  guint last_entry;
  QgHeap heaps[QG_N_REACH];
  gint64 floor; /* highest least counter of the backlogged so far */
  gint64 mean[QG_N_CLASSES];
  GQueue idle;

  /* exchange with the hub */
  GPtrArray *dirty;    /* spaces that changed since the last report */
  GPtrArray *reported; /* spaces in the report on its way */
  GPtrArray *indexed;  /* names by hub index */
  guint64 epoch;
  guint64 seq;      /* of the report on its way */
  guint64 base_seq; /* last report that the hub confirmed */
  guint64 have;     /* version of the totals that were merged */
  gboolean waiting; /* a report is on its way */
  QgTime reported_at;
  guint answer_items; /* counters in the last answer */
  gboolean more;      /* the hub has more to tell */
  gboolean full;      /* the next report must carry the bases */
  struct _QgFairWire *wire;
};

/** The space of @a name, made when it is new. */
QgFairSpace *qg_fair_space (QgFair *fair, const char *name);

/** Counter of @a space. */
gint64 qg_fair_space_virt (const QgFairSpace *space);

/** Moves @a space to its place after its counter changed. */
void qg_fair_replace (QgFair *fair, QgFairSpace *space);

/** Notes that @a space must be in the next report. */
void qg_fair_touch (QgFair *fair, QgFairSpace *space);

/** Sets how many wait at @a offer; frees the offer when nothing refers to it.
 */
void qg_fair_offer_set (QgFair *fair, QgFairOffer *offer, guint waiting);

/** Puts @a offer in or out of the lists that a pick looks at. */
void qg_fair_offer_list (QgFair *fair, QgFairOffer *offer);

/** The offer of @a space to pull from next, or NULL. */
QgFairOffer *qg_fair_choose_offer (QgFairSpace *space, QgReach reach);

/** Raises the floor to the least counter of the backlogged. */
void qg_fair_raise_floor (QgFair *fair);

/** @a space has work: it is not idle. */
void qg_fair_space_busy (QgFair *fair, QgFairSpace *space);

/** @a space may have become idle. */
void qg_fair_space_rest (QgFair *fair, QgTime now, QgFairSpace *space);

/** Frees a QgFairEntry; offers with pulls on their way stay. */
void qg_fair_entry_free (gpointer entry);

/** Frees what the exchange holds. */
void qg_fair_wire_free (QgFair *fair);

G_END_DECLS

#endif
