/**
 * @file operator.h
 * The operators' HTTP interface of a control member: reads the configuration,
 * takes changes, and shows members, daemons and quarantine. JSON in and out,
 * refusals as problem details.
 *
 *     GET    /v1/status
 *     GET    /v1/document[?revision=N]      text; QG-Revision in the header
 *     GET    /v1/history[?count=N&skip=M]   newest first, at most 1,000
 *     GET    /v1/diff?from=A&to=B           text
 *     POST   /v1/check                      as /v1/changes, changes nothing
 *     POST   /v1/changes                    change_id and sections or edits
 *     POST   /v1/members                    name and address
 *     DELETE /v1/members/NAME
 *     GET    /v1/quarantine
 *     DELETE /v1/quarantine[/FINGERPRINT]
 *
 * Only a member that is sure to lead answers; the others refuse with
 * "not-leader", so that nothing old is ever shown as current.
 */
#ifndef QG_OPERATOR_H
#define QG_OPERATOR_H

#include "lib/rsm.h"
#include "lib/settings.h"
#include "proto/peer.pb-c.h"

G_BEGIN_DECLS

enum
{
  QG_OPERATOR_BODY_BYTES = 24 << 20 /**< largest body of a request */
};

/** A daemon as the control member knows it. */
typedef struct
{
  const char *name;
  Qg__Role role;
  const char *dc;
  const char *service;
  const char *address;
  guint64 revision; /**< the newest it has reported to be in force */
  guint running;    /**< requests it reported to run */
  QgTime age;       /**< since its last report */
} QgOperatorDaemon;

/** A control member. */
typedef struct
{
  const char *name;
  const char *address;
  gboolean voter;
  gboolean reachable;
  guint64 match; /**< last index of the log known to be synced there */
} QgOperatorMember;

/** What became of a proposed command: @a result is NULL unless QG_OK. With
 * QG_E_UNKNOWN it may still be applied. */
typedef void (*QgOperatorDone) (gpointer user, QgStatus status,
                                const char *message,
                                const Qg__StateResult *result);

typedef void (*QgOperatorVisitDaemon) (gpointer user,
                                       const QgOperatorDaemon *daemon);
typedef void (*QgOperatorVisitMember) (gpointer user,
                                       const QgOperatorMember *member);

/** What the interface needs of the control member; user is its first
 * argument throughout. */
typedef struct
{
  /** QG_OK when this member leads and may answer from its state. */
  QgStatus (*may_serve) (gpointer user, QgErr *err);
  /** The leader's time for commands. */
  QgTime (*now) (gpointer user);
  QgRsm *(*rsm) (gpointer user);
  /** Commits @a command; @a done is called once, later or at once. */
  void (*propose) (gpointer user, GBytes *command, QgOperatorDone done,
                   gpointer done_user);
  guint64 (*term) (gpointer user);
  /** Name of the leader, NULL when unknown. */
  const char *(*leader) (gpointer user);
  void (*daemons) (gpointer user, QgOperatorVisitDaemon visit,
                   gpointer visit_user);
  void (*members) (gpointer user, QgOperatorVisitMember visit,
                   gpointer visit_user);
  QgStatus (*member_add) (gpointer user, const char *name, const char *address,
                          QgErr *err);
  QgStatus (*member_remove) (gpointer user, const char *name, QgErr *err);
} QgOperatorOps;

typedef struct QgOperator QgOperator;

/** Listens at settings->control.operator_listen; NULL with @a err when it
 * cannot. @a ops must outlive it. */
QgOperator *qg_operator_new (QgSettings *settings, const QgOperatorOps *ops,
                             gpointer user, QgErr *err);

void qg_operator_free (QgOperator *server);

G_END_DECLS

#endif
