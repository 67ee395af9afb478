/**
 * @file registry.h
 * The control leader's table of targets, which register by heartbeats. Soft
 * state: each new leader rebuilds it from the heartbeats that it receives and
 * from the leaves in the replicated log (leave.h).
 *
 * Heartbeats can be delayed, duplicated, reordered, or arrive after the target
 * has ended. An incarnation is identified by an id and a start time. Within an
 * incarnation, only heartbeats with a higher sequence number are accepted. If
 * two incarnations have the same id or address, the incarnation started later
 * owns it. As long as the earlier one's heartbeats go on, it keeps the address,
 * because a process that has ended sends none: the other one's are of another
 * writer, or come before those of the earlier one have been missed.
 *
 * A leave (a draining heartbeat, or a deregistration) may be acknowledged only
 * once the log holds it, so that it outlives the leader.
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
  const char *version; /**< of the target's software; "" if not stated */
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
  char *version;
  guint slots;
  gboolean draining;
  gboolean gone; /**< left or timed out; kept to reject late heartbeats */
  gboolean left; /**< deregistered: later heartbeats of this incarnation are
                      rejected */
  QgTime cold_until;
  guint64 born_ms;
  guint64 sequence;
  guint64 drains_since; /**< sequence of the heartbeat that began the leave */
  gboolean leave_saved; /**< the log holds the current leave */
  QgTime last_seen;     /**< time of the last heartbeat, or of leaving */
  guint64 changed_version; /**< registry version of the last change */
  char *claimant; /**< the other id that began to state its address; or NULL */
  QgTime claimed_at;         /**< when an other id last stated its address */
  guint n_beats_since_claim; /**< heartbeats since @a claimant first did */
} QgTarget;

typedef struct
{
  QgTime interval;  /**< usual time between two heartbeats of a target; 0: a
                       later incarnation gets its address at once */
  QgTime timeout;   /**< without heartbeats for this time, a target is gone */
  QgTime retention; /**< how long a target that is gone is kept */
} QgRegistryOptions;

typedef struct _QgRegistry QgRegistry;

QgRegistry *qg_registry_new (const QgRegistryOptions *options);
void qg_registry_free (QgRegistry *registry);

/** Processes a heartbeat; TRUE if there is a change to publish. */
gboolean qg_registry_heartbeat (QgRegistry *registry,
                                const QgHeartbeat *heartbeat, QgTime now);

/** The target @a id, present or gone; NULL if it is not known. */
const QgTarget *qg_registry_find (const QgRegistry *registry, const char *id);

/** Deregisters the target @a id, known or not; TRUE if there is a change to
 * publish. */
gboolean qg_registry_deregister (QgRegistry *registry, const char *id,
                                 guint64 born_ms, QgTime now);

/** The target @a id if it leaves and the log does not hold that yet; otherwise
 * NULL. */
const QgTarget *qg_registry_unsaved_leave (const QgRegistry *registry,
                                           const char *id);

/** The log holds the leave that the target stated with @a sequence, or by its
 * deregistration if @a gone. */
void qg_registry_leave_saved (QgRegistry *registry, const char *id,
                              guint64 born_ms, guint64 sequence, gboolean gone);

/** Adds a target that the log holds as leaving; @a last is what it said last.
 */
void qg_registry_restore_leave (QgRegistry *registry, const QgHeartbeat *last,
                                gboolean gone, QgTime now);

/** Marks targets without recent heartbeats as gone; TRUE if there were such
 * targets. */
gboolean qg_registry_expire (QgRegistry *registry, QgTime now);

/** Publishes the targets of @a service with @a version again, and increases
 * qg_registry_version() in any case. */
void qg_registry_touch_version (QgRegistry *registry, const char *service,
                                const char *version);

/** When a target of @a service with @a version, present, gone or restarted with
 * another, was last heard of; 0 if none is known. */
QgTime qg_registry_version_seen (const QgRegistry *registry,
                                 const char *service, const char *version);

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
