/**
 * @file operator.h
 * The operators' HTTP interface of a control member: shows the configuration,
 * members, daemons and quarantine, and accepts changes. Requests and answers
 * are JSON; errors are problem details.
 *
 *     GET    /v1/status
 *     GET    /v1/document[?revision=N]      text; QG-Revision in the header
 *     GET    /v1/history[?count=N&skip=M]   newest first, at most 1,000
 *     GET    /v1/diff?from=A&to=B           text
 *     POST   /v1/check                      a dry run of /v1/changes
 *     POST   /v1/changes                    change_id and sections or edits
 *     POST   /v1/members                    name and address
 *     DELETE /v1/members/NAME
 *     GET    /v1/quarantine
 *     DELETE /v1/quarantine[/FINGERPRINT]
 *
 * Only a leader that is confirmed by a quorum answers; other members refuse
 * with "not-leader" or "unavailable", so that no answer is stale.
 */
#ifndef QG_OPERATOR_H
#define QG_OPERATOR_H

#include "lib/rsm.h"
#include "lib/settings.h"
#include "proto/peer.pb-c.h"

G_BEGIN_DECLS

enum
{
  QG_OPERATOR_MAX_BODY_BYTES = 24 << 20 /**< largest body of a request */
};

/** A daemon that reports to this control member. */
typedef struct
{
  const char *name;
  Qg__Role role;
  const char *dc;
  const char *service;
  const char *address;
  guint64 revision; /**< revision that the daemon last reported in force */
  guint running;    /**< running requests that it last reported */
  QgTime age;       /**< time since its last report */
} QgOperatorDaemon;

typedef struct
{
  const char *name;
  const char *address;
  gboolean voter;
  gboolean reachable;
  guint64 match; /**< highest log index known to be on the member's disk */
} QgOperatorMember;

/** Outcome of a proposed command; @a result is NULL unless @a status is QG_OK.
 * After QG_E_UNKNOWN, the command may still be applied. */
typedef void (*QgOperatorDone) (gpointer user, QgStatus status,
                                const char *message,
                                const Qg__StateResult *result);

typedef void (*QgOperatorVisitDaemon) (gpointer user,
                                       const QgOperatorDaemon *daemon);
typedef void (*QgOperatorVisitMember) (gpointer user,
                                       const QgOperatorMember *member);

/** Outcome of the order of a rollout. */
typedef void (*QgOperatorRolloutDone) (gpointer user, QgStatus status,
                                       const char *message);

/** Callbacks into the control member; the first argument is the user of
 * qg_operator_server_new(). */
typedef struct
{
  /** QG_OK while a quorum confirms that this member leads. */
  QgStatus (*may_serve) (gpointer user, QgErr *err);
  /** Real time to stamp commands with, in microseconds. */
  QgTime (*now) (gpointer user);
  QgRsm *(*rsm) (gpointer user);
  /** Commits @a command; @a done is called once, possibly before the return. */
  void (*propose) (gpointer user, GBytes *command, QgOperatorDone done,
                   gpointer done_user);
  guint64 (*term) (gpointer user);
  /** Whether members of another fleet are connected. */
  gboolean (*meets_other_fleet) (gpointer user);
  /** Name of the leader, NULL when unknown. */
  const char *(*leader) (gpointer user);
  void (*daemons) (gpointer user, QgOperatorVisitDaemon visit,
                   gpointer visit_user);
  void (*members) (gpointer user, QgOperatorVisitMember visit,
                   gpointer visit_user);
  QgStatus (*member_add) (gpointer user, const char *name, const char *address,
                          QgErr *err);
  QgStatus (*member_remove) (gpointer user, const char *name, QgErr *err);
  /** Begins a rollout; @a done as for propose, without a result. */
  void (*begin_rollout) (gpointer user, const char *service,
                         const char *version, QgTime duration,
                         QgOperatorRolloutDone done, gpointer done_user);
} QgOperatorOps;

typedef struct QgOperatorServer QgOperatorServer;

/** Listens on settings->control.operator_listen; NULL with @a err on failure.
 * @a ops must outlive the server. */
QgOperatorServer *qg_operator_server_new (QgSettings *settings,
                                          const QgOperatorOps *ops,
                                          gpointer user, QgErr *err);

/** Uses the operators of @a settings for requests from now on; other settings
 * are not reloaded. */
void qg_operator_server_reload (QgOperatorServer *server, QgSettings *settings);

void qg_operator_server_free (QgOperatorServer *server);

G_END_DECLS

#endif
