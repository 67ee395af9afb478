/**
 * @file mesh.h
 * How relays tell each other what they have at targets: who tells whom what,
 * and how what was told adds up. Pure; the owner sends and receives.
 *
 * A few relays tell each other directly. Of more, those of a data centre form
 * a group with a head: members tell the head what they have, heads tell each
 * other the sum of their group, and each head tells its members the sum of all
 * the others. What a relay sends and hears then grows with its group, not with
 * the fleet.
 *
 * Load patterns it answers:
 *  - 33 relays on VMs of 0.09 of a core: told directly, each hears 500 messages
 *    a second and learns of an idle target up to 64 ms late.
 *  - A head is killed: the next name of its group takes over as soon as its
 *    connections are seen to be lost; what it told counts for QG_MESH_VALID.
 */
#ifndef QG_MESH_H
#define QG_MESH_H

#include "qg.h"

G_BEGIN_DECLS

/** Time between two tells: a fraction of the time for which a long prompt is
 * read (100 ms). */
#define QG_MESH_PERIOD (20 * QG_MSEC)
/** What was told counts so long: some periods, and a stall of the teller. */
#define QG_MESH_VALID (300 * QG_MSEC)

enum
{
  /** Up to so many relays, each tells each: 500 messages a second. */
  QG_MESH_DIRECT_MAX = 11,
  /** Relays of another group to which a head keeps connections: the head, and
   * the one that takes over. */
  QG_MESH_CANDIDATES = 2,
  /** Prefixes held of one source for the next tell: a second's requests. */
  QG_MESH_PREFIXES_MAX = 1024,
};

/** What a relay has at a target. */
typedef struct
{
  guint64 target; /**< hash of its id */
  guint32 unread; /**< prompt tokens sent and not answered */
  guint32 inflight;
} QgMeshLoad;

/** A prompt that begins with a prefix was sent to a target. */
typedef struct
{
  guint64 target;
  guint64 key;
  guint32 tokens; /**< of the last part of the prefix */
} QgMeshPrefix;

/** Whose loads a message holds. */
typedef enum
{
  QG_MESH_OWN,   /**< of the teller: member to head */
  QG_MESH_GROUP, /**< of the teller's group: head to head */
  QG_MESH_REST,  /**< of all but the hearer: head to member */
  QG_N_MESH_SCOPES
} QgMeshScope;

typedef struct
{
  QgMeshScope scope;
  guint n_loads;
  const QgMeshLoad *loads;
  guint n_prefixes;
  const QgMeshPrefix *prefixes;
} QgMeshMsg;

typedef struct _QgMesh QgMesh;

typedef struct
{
  /** Sends @a msg to the relay @a to, whose connection is up. */
  void (*send) (gpointer user, const char *to, const QgMeshMsg *msg);
  /** What @a source stands for has @a n loads now; replaces what it had. */
  void (*take) (gpointer user, const char *source, const QgMeshLoad *loads,
                guint n);
  gpointer user;
} QgMeshOps;

/** @param name of this relay; @param dc where it runs. */
QgMesh *qg_mesh_new (const char *name, const char *dc, const QgMeshOps *ops);
void qg_mesh_free (QgMesh *mesh);

/** Replaces the list of relays: between begin and end, each is added; this
 * relay itself need not be. */
void qg_mesh_relays_begin (QgMesh *mesh);
void qg_mesh_relay (QgMesh *mesh, const char *name, const char *dc);
void qg_mesh_relays_end (QgMesh *mesh);

/** Whether this relay should keep a connection to @a name that it dials; of two
 * relays the one with the lesser name dials. */
gboolean qg_mesh_dials (const QgMesh *mesh, const char *name);
/** The connection to @a name came up or was lost. */
void qg_mesh_link (QgMesh *mesh, const char *name, gboolean up);

/** The head of this relay's group: its own name when it is the head. */
const char *qg_mesh_head (const QgMesh *mesh);

/** This relay sent a prompt with this prefix; told with the next tell. */
void qg_mesh_sent (QgMesh *mesh, const QgMeshPrefix *prefix);
/** Takes what @a from told; prefixes are kept to be told on. */
void qg_mesh_hear (QgMesh *mesh, const char *from, const QgMeshMsg *msg,
                   QgTime now);
/** Tells those that have to know; @a loads are this relay's own. */
void qg_mesh_tell (QgMesh *mesh, const QgMeshLoad *loads, guint n, QgTime now);

G_END_DECLS

#endif
