/**
 * @file manifest.h
 * The manifest: routes, services, tenants and limits that an operator sends
 * whole under a version of its own, as the relay uses them. Immutable once
 * built; its text stays with it, because operators read it back as sent.
 */
#ifndef QG_MANIFEST_H
#define QG_MANIFEST_H

#include "qg.h"

G_BEGIN_DECLS

/** Whether a request may reach more than one target. */
typedef enum
{
  QG_REPEAT_NEVER, /**< runs at most once */
  QG_REPEAT_SAFE,  /**< may run again from the start */
  QG_N_REPEATS
} QgRepeat;

/** One service that a route sends work to, with its share. */
typedef struct
{
  QgStr *service;
  guint weight;
} QgSplit;

/** One route: requests of a host whose path begins with a prefix. */
typedef struct
{
  QgStr *name;
  QgStr *host;
  QgStr *prefix;
  GArray *splits; /**< QgSplit; their weights do not add up to 0 */
  QgRepeat repeat;
  gboolean streams;
  gboolean resumable; /**< a broken stream may go on at another target */
  gboolean anonymous; /**< needs no key */
  guint priority;     /**< 0 is the highest */
  guint max_targets;  /**< targets that one request may reach */
  QgTime timeout;     /**< longest time a caller is kept waiting */
  QgTime aim;         /**< time to the answer or its first event */
  GPtrArray *regions; /**< QgStr; empty: every region */
} QgRoute;

/** Runtime of a model service; zeroed for plain services. */
typedef struct
{
  guint slots;
  guint64 kv_tokens; /**< tokens that fit into the memory of a target */
} QgModelRuntime;

/** One service. */
typedef struct
{
  QgStr *name;
  QgTime cold_for;
  double cold_rate; /**< requests a second that a cold target bears */
  gboolean is_model;
  QgModelRuntime model;
} QgService;

/** A workspace as the manifest lists it. */
typedef struct
{
  QgStr *name;
  guint index; /**< dense, in the order of the manifest */
  gboolean ranked;
  guint priority; /**< goes before the route's if ranked */
  GPtrArray *regions;
} QgWorkspace;

/** What a caller may send, and how much all model targets give together. */
typedef struct
{
  gsize header_bytes;
  gsize body_bytes;
  QgTime header_time;
  QgTime idle_time;
  double units_per_s; /**< prompt tokens once, generated tokens twice */
} QgLimits;

typedef struct
{
  int refs;
  guint64 version;
  GBytes *text;
  GPtrArray *routes;     /**< QgRoute */
  GHashTable *hosts;     /**< host to GPtrArray of QgRoute, longest first */
  GHashTable *services;  /**< name to QgService */
  GPtrArray *workspaces; /**< QgWorkspace */
  GHashTable *keys;      /**< key to QgWorkspace */
  gboolean keyed;        /**< requests need keys */
  QgLimits limits;
} QgManifest;

/** Reads the text of a manifest; NULL with @a err when it is invalid. */
typedef QgManifest *(*QgManifestRead) (GBytes *text, QgErr *err);

/** An empty manifest that is filled with the calls below. */
QgManifest *qg_manifest_new (guint64 version, GBytes *text);
QgManifest *qg_manifest_ref (QgManifest *manifest);
void qg_manifest_unref (QgManifest *manifest);

/** An empty route, service or workspace, owned by the manifest from now on. */
QgRoute *qg_manifest_add_route (QgManifest *manifest);
QgService *qg_manifest_add_service (QgManifest *manifest, const char *name);
QgWorkspace *qg_manifest_add_workspace (QgManifest *manifest, const char *name);
void qg_route_add_split (QgRoute *route, const char *service, guint weight);

/** Gives @a key to @a workspace; FALSE when another workspace holds it. */
gboolean qg_manifest_add_key (QgManifest *manifest, QgWorkspace *workspace,
                              const char *key);

/**
 * Checks what was added and makes it ready for look-ups.
 *
 * @return QG_E_INVALID with the reason: an unknown service, two routes of one
 *   host and prefix, weights that add up to 0, a timeout of 0.
 */
QgStatus qg_manifest_finish (QgManifest *manifest, QgErr *err);

/** The route of the longest prefix; NULL when none fits. @a path may hold a
 * query. */
const QgRoute *qg_manifest_route (const QgManifest *manifest, const char *host,
                                  gsize host_len, const char *path,
                                  gsize path_len);

/** The service for @a draw, which is spread evenly over 32 bits. */
const QgService *qg_manifest_pick (const QgManifest *manifest,
                                   const QgRoute *route, guint32 draw);

const QgService *qg_manifest_service (const QgManifest *manifest,
                                      const char *name);

/** The workspace that holds @a key, or NULL. */
const QgWorkspace *qg_manifest_key (const QgManifest *manifest, const char *key,
                                    gsize len);

/** Whether work bound by the two lists (either may be empty) may be in
 * @a region. */
gboolean qg_regions_allow (const GPtrArray *route, const GPtrArray *workspace,
                           const char *region);

G_END_DECLS

#endif
