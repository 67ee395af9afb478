/**
 * @file belief.h
 * How old the knowledge may be from which a process concludes that something
 * does not exist because it has not heard of it. A process that stands still,
 * is cut off, has just started or follows a new leader does not hear of it
 * either, so each of these conclusions has a limit here.
 *
 * The age of what a process knows is that of the last question that the leader
 * answered: the leader had told it everything by then (see daemon/uplink.h). An
 * open connection and a permit say nothing about that. What relays tell each
 * other is as old as their reports (see qg_mesh_heard_at()). The lease of API
 * keys is a limit of this kind that operators set.
 */
#ifndef QG_BELIEF_H
#define QG_BELIEF_H

#include "qg.h"

G_BEGIN_DECLS

typedef enum
{
  QG_BELIEF_ONLY_VERSION, /**< the targets of a service have no other version */
  QG_BELIEF_ONLY_SERVICE, /**< a route has been served by no other service */
  QG_BELIEF_ONLY_STREAM,  /**< no other stream began with the same request */
  QG_BELIEF_LISTED,       /**< the other processes count this one */
  QG_N_BELIEFS
} QgBelief;

/** The age below which knowledge allows the conclusion, in microseconds; 0: it
 * has to be as late as what it is about. */
QgTime qg_belief_max_age (QgBelief belief);

/**
 * Whether a process that knows everything until @a as_of may draw the
 * conclusion for all that happened until @a at.
 */
gboolean qg_belief_holds (QgBelief belief, QgTime as_of, QgTime at);

G_END_DECLS

#endif
