/**
 * @file lostwork.h
 * Requests that were at agents when an entry lost the connection to them. An
 * agent that ends together with its target, as with their VM, reports no crash.
 * When another process of the agent connects, the requests that were at the one
 * before count as in flight at a crash (poison.h). A process that connects
 * again itself reports crashes itself. No I/O.
 *
 * Limits: an agent that does not return within QG_LOST_WORK_RETENTION shows no
 * crash, nor do requests whose agent was killed show that their target ended
 * too. The latter are suspects until they complete.
 */
#ifndef QG_LOSTWORK_H
#define QG_LOSTWORK_H

#include "poison.h"

G_BEGIN_DECLS

enum
{
  QG_LOST_WORK_MAX_AGENTS = 1024, /**< agents with lost requests */
};

/** Time within which an agent has to return; VMs start in less. */
#define QG_LOST_WORK_RETENTION (600 * QG_SEC)

typedef struct _QgLostWork QgLostWork;

/** A request that was sent to an agent, and not answered as a whole. */
typedef struct
{
  const char *agent;
  guint64 incarnation; /**< of the agent */
  const char *service;
  const guint8 *fingerprint;
  gboolean alone; /**< the agent was told to run it alone */
  gboolean sound; /**< this process had completed another request */
} QgLostRequest;

/** The requests that were at a process that has ended. */
typedef struct
{
  char *service;
  guint64 incarnation;
  /** Of guint8[QG_POISON_FINGERPRINT_BYTES]. A single request is listed twice
   * if others may have been in flight with it. */
  GPtrArray *fingerprints;
  gboolean sound;
} QgLostCrash;

QgLostWork *qg_lost_work_new (void);
void qg_lost_work_free (QgLostWork *work);

/** Adds a request whose connection to its agent is lost. */
void qg_lost_work_add (QgLostWork *work, const QgLostRequest *request,
                       QgTime now);

/**
 * Records that a process of an agent has connected, and forgets the requests
 * that were lost with connections to this agent.
 *
 * @return the requests, released with qg_lost_crash_free(), if they were at
 *         another process; NULL if there are none.
 */
QgLostCrash *qg_lost_work_connected (QgLostWork *work, const char *agent,
                                     guint64 incarnation, QgTime now);
void qg_lost_crash_free (QgLostCrash *crash);

G_END_DECLS

#endif
