/**
 * @file libmesh.h
 * Internals shared by mesh.c (the relays, their heads and their reports) and
 * mesh_report.c (the messages that a relay sends).
 */
#ifndef QG_LIBMESH_H
#define QG_LIBMESH_H

#include "mesh.h"

G_BEGIN_DECLS

/** Another relay. */
typedef struct
{
  char *dc;
  gboolean connected;
  gboolean listed; /* is in the current list of relays */
  QgTime sent_at;  /* when the last report was sent to it */
} MeshRelay;

/** The last report of a relay. */
typedef struct
{
  QgMeshScope scope;
  QgTime received_at;
  GArray *loads;    /* QgMeshLoad */
  GArray *prefixes; /* QgMeshPrefix, not forwarded yet */
  GArray *limits;   /* QgMeshLimit, not forwarded yet */
  GArray *streams;  /* QgMeshStream, not forwarded yet */
} MeshSource;

struct _QgMesh
{
  QgMeshOps ops;
  char *name;
  char *dc;
  GTree *relays;         /* name to MeshRelay, sorted by name */
  GHashTable *connected; /* names of connected relays, listed or not */
  GHashTable *sources;   /* name to MeshSource */
  GArray *new_prefixes;  /* QgMeshPrefix of this relay, not reported yet */
  GArray *new_limits;    /* QgMeshLimit of this relay, not reported yet */
  GArray *new_streams;   /* QgMeshStream of this relay, not reported yet */
  QgTime keepalive_until;
  char *head; /* head of the group, as last determined */
  /* Names of the relays whose last report from this relay contained loads. */
  GHashTable *reported_to;
  GArray *loads;    /* of the message under construction */
  GArray *prefixes; /* likewise */
  GArray *limits;   /* likewise */
  GArray *streams;  /* likewise */
};

/* mesh.c */
/** Whether the fleet has no groups. */
gboolean mesh_is_direct (const QgMesh *mesh);
/** Whether @a relay is in this relay's group; never without groups. */
gboolean mesh_in_group (const QgMesh *mesh, const MeshRelay *relay);
/** Whether this relay is the head of its group. */
gboolean mesh_is_head (const QgMesh *mesh);
/** Drops the reports that are older than QG_MESH_EXPIRY. */
void mesh_expire_reports (QgMesh *mesh, QgTime now);

G_END_DECLS

#endif
