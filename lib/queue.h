/**
 * @file queue.h
 * Queue of waiting requests at an entry, by service, workspace and size class,
 * with caps, deadlines and the offers to send to agents. Below, a kind is a
 * combination of service, workspace and size class.
 *
 * An item is any pointer of the caller and may be queued only once at a time.
 * The queue never frees items: each is returned or removed by exactly one of
 * qg_queue_take(), qg_queue_take_any(), qg_queue_cancel() and
 * qg_queue_next_dropped().
 */
#ifndef QG_QUEUE_H
#define QG_QUEUE_H

#include "fair.h"
#include "qg.h"

G_BEGIN_DECLS

/** Options; zero members take the defaults. */
typedef struct
{
  guint space_cap;   /**< cap on waiting requests of one workspace (1000) */
  gsize total_bytes; /**< cap on memory of all waiting requests (64 MiB) */
} QgQueueOptions;

/** Attributes of a queued request. */
typedef struct
{
  const char *service;
  const char *workspace;
  QgClass size_class;
  QgTime deadline;
  gsize bytes; /**< memory held while it waits */
} QgQueueSpec;

/** Number of waiting requests of one kind, to be sent to agents. */
typedef struct
{
  const char *service;
  const char *workspace;
  QgClass size_class;
  guint waiting;
} QgQueueOffer;

/** An item dropped from the queue; it was not run. */
typedef struct
{
  gpointer item;
  QgStatus status; /**< QG_E_TIMEOUT, or QG_E_OVERLOADED if evicted */
} QgQueueDropped;

typedef struct _QgQueue QgQueue;

typedef void (*QgQueueOfferFunc) (gpointer user, const QgQueueOffer *offer);

QgQueue *qg_queue_new (const QgQueueOptions *options);
QgQueue *qg_queue_ref (QgQueue *queue);
void qg_queue_unref (QgQueue *queue);

/** Sets the cap on waiting requests of @a workspace; 0 restores the default. */
void qg_queue_set_cap (QgQueue *queue, const char *workspace, guint cap);

/**
 * Queues @a item at the tail. When total_bytes is reached, evicts the newest
 * items of the workspace that holds the most memory, provided that the
 * workspace of @a item holds less. qg_queue_next_dropped() returns evicted
 * items.
 *
 * @return QG_OK, or QG_E_OVERLOADED (nothing was queued).
 */
QgStatus qg_queue_push (QgQueue *queue, const QgQueueSpec *spec, gpointer item,
                        QgErr *err);

/** Queues a bounced @a item again, at the head; caps do not apply. */
void qg_queue_requeue (QgQueue *queue, const QgQueueSpec *spec, gpointer item);

/**
 * Removes the oldest item of a kind, for a Pull. Skips expired items, which
 * qg_queue_next_dropped() returns.
 *
 * @return the item. NULL if there is none: the caller must answer PullEmpty,
 * which clears the number that the agent knows. qg_queue_next_offer() therefore
 * returns the kind again even if its number of waiting requests has not
 * changed.
 */
gpointer qg_queue_take (QgQueue *queue, QgTime now, const char *service,
                        const char *workspace, QgClass size_class);

/** Removes an item of @a service, for a Credit; workspaces take turns. */
gpointer qg_queue_take_any (QgQueue *queue, QgTime now, const char *service);

/** Removes @a item; FALSE when it is not in the queue. */
gboolean qg_queue_cancel (QgQueue *queue, gpointer item);

/** Removes the next evicted or expired item; call until it returns FALSE. */
gboolean qg_queue_next_dropped (QgQueue *queue, QgTime now,
                                QgQueueDropped *out);

/** Earliest deadline, or G_MAXINT64 if nothing waits. */
QgTime qg_queue_wakeup (const QgQueue *queue);

/**
 * The next offer to send to all agents of its service. A kind is offered when
 * its first request starts to wait, when none of its requests waits any more,
 * and when its number of waiting requests has doubled or halved since its last
 * offer. The strings
 * are valid until the next call. Call until it returns FALSE, in every
 * iteration of the event loop.
 */
gboolean qg_queue_next_offer (QgQueue *queue, QgQueueOffer *offer);

/** Calls @a func for every kind of @a service that has waiting requests. The
 * calls are a snapshot of the offers. */
void qg_queue_each_offer (QgQueue *queue, const char *service,
                          QgQueueOfferFunc func, gpointer user);

/** Number of waiting requests of @a workspace, or of all workspaces if it
 * is NULL. */
guint qg_queue_waiting (const QgQueue *queue, const char *workspace);

/** Memory of all waiting requests. */
gsize qg_queue_bytes (const QgQueue *queue);

G_END_DECLS

#endif
