/**
 * @file registry.h
 * The control leader's table of targets, which register by heartbeats. Soft
 * state: each new leader rebuilds it from the heartbeats that it receives.
 *
 * Heartbeats can be delayed, duplicated, reordered, or arrive after the target
 * has ended. An incarnation is identified by an id and a start time. Within an
 * incarnation, only heartbeats with a higher sequence number are accepted. If
 * two incarnations have the same id or address, the incarnation started later
 * owns it.
 */
#ifndef QG_REGISTRY_H
#define QG_REGISTRY_H

#include "qg.h"

G_BEGIN_DECLS

/** Contents of a heartbeat; strings are borrowed. */
typedef struct
{
  const char *id;
  const char *service;
  const char *address; /**< "ip:port" */
  const char *dc;
  guint slots;
  gboolean draining;
  QgTime cold_remaining; /**< how much longer the target stays cold */
  guint64 born_ms;       /**< start time of the incarnation */
  guint64 sequence;
} QgHeartbeat;

/** One target. */
typedef struct
{
  char *id;
  char *service;
  char *address;
  char *dc;
  guint slots;
  gboolean draining;
  gboolean gone; /**< left or timed out; kept to reject late heartbeats */
  gboolean left; /**< deregistered: later heartbeats of this incarnation are
                      rejected */
  QgTime cold_until;
  guint64 born_ms;
  guint64 sequence;
  QgTime last_seen;        /**< time of the last heartbeat, or of leaving */
  guint64 changed_version; /**< registry version of the last change */
} QgTarget;

typedef struct
{
  QgTime timeout;   /**< without heartbeats for this time, a target is gone */
  QgTime retention; /**< how long a target that is gone is kept */
} QgRegistryOptions;

typedef struct _QgRegistry QgRegistry;

QgRegistry *qg_registry_new (const QgRegistryOptions *options);
void qg_registry_free (QgRegistry *registry);

/** Processes a heartbeat; TRUE if there is a change to publish. */
gboolean qg_registry_heartbeat (QgRegistry *registry,
                                const QgHeartbeat *heartbeat, QgTime now);

/** Deregisters the target @a id; TRUE if there is a change to publish. */
gboolean qg_registry_deregister (QgRegistry *registry, const char *id,
                                 guint64 born_ms, QgTime now);

/** Marks targets without recent heartbeats as gone; TRUE if there were such
 * targets. */
gboolean qg_registry_expire (QgRegistry *registry, QgTime now);

/** A number that increases with each change. */
guint64 qg_registry_version (const QgRegistry *registry);

/** Calls @a visit for each target that changed after version @a since,
 * including targets that are gone. */
void qg_registry_each (const QgRegistry *registry, guint64 since,
                       void (*visit) (const QgTarget *target, gpointer user),
                       gpointer user);

/** The number of targets that are not gone. */
guint qg_registry_count (const QgRegistry *registry);

G_END_DECLS

#endif
