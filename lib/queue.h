/**
 * @file queue.h
 * Requests that wait at an entry, by service, workspace and size class, with
 * caps, deadlines and the offers that agents are told.
 *
 * An item is any pointer of the caller; it is in the queue at most once. The
 * queue never frees items: each comes back by exactly one of qg_queue_take(),
 * qg_queue_take_any(), qg_queue_cancel() and qg_queue_next_out().
 */
#ifndef QG_QUEUE_H
#define QG_QUEUE_H

#include "fair.h"
#include "qg.h"

G_BEGIN_DECLS

/** Options; zero members take the defaults. */
typedef struct
{
  guint space_cap;   /**< waiting requests of one workspace (1000) */
  gsize total_bytes; /**< memory of all waiting requests (64 MiB) */
} QgQueueOptions;

/** What a request is queued by. */
typedef struct
{
  const char *service;
  const char *workspace;
  QgClass size_class;
  QgTime deadline;
  gsize bytes; /**< memory that it holds while it waits */
} QgQueueSpec;

/** A change of what waits, for the agents of the service. */
typedef struct
{
  const char *service;
  const char *workspace;
  QgClass size_class;
  guint waiting;
} QgQueueOffer;

/** An item that leaves unserved; nothing of it was run. */
typedef struct
{
  gpointer item;
  QgStatus status; /**< QG_E_TIMEOUT, or QG_E_OVERLOADED when it made room */
} QgQueueOut;

typedef struct _QgQueue QgQueue;

typedef void (*QgQueueOfferFunc) (gpointer user, const QgQueueOffer *offer);

QgQueue *qg_queue_new (const QgQueueOptions *options);
QgQueue *qg_queue_ref (QgQueue *queue);
void qg_queue_unref (QgQueue *queue);

/** Cap of waiting requests of @a workspace; 0 restores the default. */
void qg_queue_set_cap (QgQueue *queue, const char *workspace, guint cap);

/**
 * Queues @a item at the tail. When the memory is full, the newest items of
 * the workspace that holds the most make room for one that holds less; those
 * come out by qg_queue_next_out().
 *
 * @return QG_OK, or QG_E_OVERLOADED (nothing was queued).
 */
QgStatus qg_queue_push (QgQueue *queue, const QgQueueSpec *spec, gpointer item,
                        QgErr *err);

/** Puts a bounced @a item back at the head; caps do not apply. */
void qg_queue_push_back (QgQueue *queue, const QgQueueSpec *spec,
                         gpointer item);

/**
 * Takes the oldest item of a kind, for a Pull; expired ones are left to
 * qg_queue_next_out().
 *
 * @return the item, or NULL: answer PullEmpty. What waits then is offered
 * anew by qg_queue_next_offer(), since the agents believed otherwise.
 */
gpointer qg_queue_take (QgQueue *queue, QgTime now, const char *service,
                        const char *workspace, QgClass size_class);

/** Takes an item of @a service for a Credit; workspaces take turns. */
gpointer qg_queue_take_any (QgQueue *queue, QgTime now, const char *service);

/** Takes @a item out; FALSE when it does not wait here. */
gboolean qg_queue_cancel (QgQueue *queue, gpointer item);

/** The next item that leaves unserved; call until FALSE. */
gboolean qg_queue_next_out (QgQueue *queue, QgTime now, QgQueueOut *out);

/** Earliest deadline, or G_MAXINT64. */
QgTime qg_queue_wakeup (const QgQueue *queue);

/**
 * The next change to tell all agents of its service: a kind that starts or
 * ceases to wait, or has doubled or halved since it was told last. The strings
 * live until the next call. Call until FALSE, once a loop iteration.
 */
gboolean qg_queue_next_offer (QgQueue *queue, QgQueueOffer *offer);

/** Calls @a func for all that waits for @a service: a snapshot. */
void qg_queue_each_offer (QgQueue *queue, const char *service,
                          QgQueueOfferFunc func, gpointer user);

/** Requests of @a workspace that wait; of all for NULL. */
guint qg_queue_waiting (const QgQueue *queue, const char *workspace);

/** Memory of the waiting requests. */
gsize qg_queue_bytes (const QgQueue *queue);

G_END_DECLS

#endif
