/**
 * @file manifest.h
 * The manifest: the routes, services, tenants and limits of the fleet, in the
 * form that the relay uses. An operator replaces it as a whole, each time under
 * a new version. A manifest is immutable once built. It keeps the text from
 * which it was read, because operators can fetch that text unchanged.
 */
#ifndef QG_MANIFEST_H
#define QG_MANIFEST_H

#include "qg.h"

G_BEGIN_DECLS

/** Whether a request may be retried on another target. */
typedef enum
{
  QG_REPEAT_NEVER, /**< runs at most once */
  QG_REPEAT_SAFE,  /**< may be run again from the start */
  QG_N_REPEATS
} QgRepeat;

/** One of the services of a route, with its weight. */
typedef struct
{
  QgStr *service;
  guint weight;
} QgSplit;

/** Matches the requests to a host whose path begins with a prefix. */
typedef struct
{
  QgStr *name;
  QgStr *host;
  QgStr *prefix;
  GArray *splits; /**< of QgSplit; the sum of the weights is not 0 */
  QgRepeat repeat;
  gboolean is_streaming; /**< the response is an event stream */
  gboolean resumable;    /**< a broken stream may resume at another target */
  gboolean anonymous;    /**< needs no API key */
  guint priority;        /**< 0 is the highest */
  guint max_targets;     /**< most targets that one request is sent to */
  QgTime timeout;        /**< longest time that a caller waits */
  QgTime aim;            /**< intended time to the answer or its first event */
  GPtrArray *regions;    /**< of QgStr; empty: all regions */
} QgRoute;

/** Whether a request of @a route that may have run may be sent again from its
 * start: what the type of a route forbids, no option of it allows. */
gboolean qg_route_may_repeat (const QgRoute *route);

/** Runtime of a model service; all 0 for other services. */
typedef struct
{
  guint slots;
  guint64 kv_tokens; /**< tokens that fit into a target's KV cache */
} QgModelRuntime;

typedef struct
{
  QgStr *name;
  QgStr *check_path;  /**< of a GET request that targets answer at any time;
                           "": none is known */
  QgTime cold_period; /**< how long a target is cold after it starts */
  double cold_rate;   /**< requests per second that a cold target can take */
  gboolean is_model;
  QgModelRuntime model;
} QgService;

/** A workspace of the manifest. */
typedef struct
{
  QgStr *name;
  guint index; /**< position in the manifest, from 0 */
  gboolean has_priority;
  guint priority;     /**< if given, overrides the priority of the route */
  GPtrArray *regions; /**< of QgStr; empty: all regions */
} QgWorkspace;

/** Limits on callers, and the throughput of all model targets together. */
typedef struct
{
  gsize header_bytes;
  gsize body_bytes;
  QgTime header_time; /**< longest time to receive the header of a request */
  QgTime idle_time;   /**< how long an idle connection is kept open */
  double units_per_s; /**< 1 unit per prompt token, 2 per generated token */
} QgLimits;

typedef struct
{
  int refs;
  guint64 version;
  GBytes *text;
  GPtrArray *routes;     /**< of QgRoute */
  GHashTable *hosts;     /**< host to QgRoute array, longest prefix first */
  GHashTable *services;  /**< name to QgService */
  GPtrArray *workspaces; /**< of QgWorkspace */
  GHashTable *keys;      /**< API key to QgWorkspace */
  gboolean requires_key; /**< except on anonymous routes */
  QgLimits limits;
} QgManifest;

/** Parses the text of a manifest; NULL and @a err if it is invalid. */
typedef QgManifest *(*QgManifestReadFunc) (GBytes *text, QgErr *err);

/** Returns an empty manifest, to be filled with the functions below. */
QgManifest *qg_manifest_new (guint64 version, GBytes *text);
QgManifest *qg_manifest_ref (QgManifest *manifest);
void qg_manifest_unref (QgManifest *manifest);

/** Adds an empty route, service or workspace, which the manifest owns. */
QgRoute *qg_manifest_add_route (QgManifest *manifest);
QgService *qg_manifest_add_service (QgManifest *manifest, const char *name);
QgWorkspace *qg_manifest_add_workspace (QgManifest *manifest, const char *name);
void qg_route_add_split (QgRoute *route, const char *service, guint weight);

/** Adds an API key of @a workspace; FALSE if another workspace has that key. */
gboolean qg_manifest_add_key (QgManifest *manifest, QgWorkspace *workspace,
                              const char *key);

/**
 * Checks the manifest and builds its indexes. The caller must call this
 * function before any look-up.
 *
 * @return QG_E_INVALID with the reason in @a err: an unknown service, two
 *   routes with the same host and prefix, weights with the sum 0, or a timeout
 *   of 0.
 */
QgStatus qg_manifest_finish (QgManifest *manifest, QgErr *err);

/** Returns the route with the longest matching prefix; NULL if none matches.
 * The port in @a host and the query in @a path are ignored. */
const QgRoute *qg_manifest_find_route (const QgManifest *manifest,
                                       const char *host, gsize host_len,
                                       const char *path, gsize path_len);

/** Chooses a service by weight; @a draw is a uniform 32-bit random number. */
const QgService *qg_manifest_choose_service (const QgManifest *manifest,
                                             const QgRoute *route,
                                             guint32 draw);

const QgService *qg_manifest_find_service (const QgManifest *manifest,
                                           const char *name);

/** Returns the workspace of an API key, or NULL. */
const QgWorkspace *qg_manifest_find_workspace (const QgManifest *manifest,
                                               const char *key, gsize len);

/** Whether both lists allow @a region. An empty list allows every region, and
 * so does NULL for @a workspace. */
gboolean qg_regions_allow (const GPtrArray *route, const GPtrArray *workspace,
                           const char *region);

G_END_DECLS

#endif
