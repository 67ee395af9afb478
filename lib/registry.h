/**
 * @file registry.h
 * Targets that announce themselves by heartbeats, as the control leader knows
 * them. Soft state: each leader builds it anew from the heartbeats that come.
 *
 * Heartbeats arrive late, twice, out of order, and after their sender has
 * ended. An incarnation is an id and the time of its start; within one, only a
 * higher sequence number counts, and of two incarnations the one that started
 * later holds the id and the address.
 */
#ifndef QG_REGISTRY_H
#define QG_REGISTRY_H

#include "qg.h"

G_BEGIN_DECLS

/** What a heartbeat says of its target; strings are borrowed. */
typedef struct
{
  const char *id;
  const char *service;
  const char *address; /**< "ip:port" */
  const char *dc;
  guint slots;
  gboolean draining;
  QgTime cold; /**< how much longer it stays cold */
  guint64 born_ms;
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
  gboolean gone; /**< left or silent: kept to refuse its late heartbeats */
  gboolean left; /**< it said that it leaves: later heartbeats of this
                      incarnation do not bring it back */
  QgTime cold_until;
  guint64 born_ms;
  guint64 sequence;
  QgTime heard;
  guint64 changed; /**< version at which it last changed */
} QgTarget;

typedef struct
{
  QgTime silence; /**< time without heartbeats after which a target is gone */
  QgTime keep;    /**< how long a target that is gone is remembered */
} QgRegistryOptions;

typedef struct _QgRegistry QgRegistry;

QgRegistry *qg_registry_new (const QgRegistryOptions *options);
void qg_registry_free (QgRegistry *registry);

/** Takes a heartbeat; TRUE when it changed what others must know. */
gboolean qg_registry_beat (QgRegistry *registry, const QgHeartbeat *beat,
                           QgTime now);

/** The target @a id leaves for good; TRUE when that is news. */
gboolean qg_registry_leave (QgRegistry *registry, const char *id,
                            guint64 born_ms, QgTime now);

/** Takes out targets that are silent; TRUE when there were some. */
gboolean qg_registry_expire (QgRegistry *registry, QgTime now);

/** Rises with each change. */
guint64 qg_registry_version (const QgRegistry *registry);

/** Calls @a visit for each target that changed after @a since. */
void qg_registry_each (const QgRegistry *registry, guint64 since,
                       void (*visit) (const QgTarget *target, gpointer user),
                       gpointer user);

/** Targets that are not gone. */
guint qg_registry_count (const QgRegistry *registry);

G_END_DECLS

#endif
