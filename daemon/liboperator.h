/**
 * @file liboperator.h
 * Declarations shared by the files of the operators' interface.
 */
#ifndef QG_LIBOPERATOR_H
#define QG_LIBOPERATOR_H

#include "http.h"
#include "operator.h"

#include <json-glib/json-glib.h>

struct QgOperatorServer
{
  QgSettings *settings;
  const QgOperatorOps *ops;
  gpointer user;
  SoupServer *http_server;
};

/** One request; valid until its handler returns. */
typedef struct
{
  QgOperatorServer *server;
  SoupServerMessage *msg;
  const QgSettingsOperator *requester; /**< NULL: not authenticated */
  const char *subpath; /**< part of the path after the route, or "" */
  GHashTable *query;
  JsonObject *body; /**< NULL for GET and DELETE */
} QgOperatorRequest;

/** A paused request whose command is not committed yet. */
typedef struct
{
  SoupServerMessage *msg;
  gboolean finished; /**< the client disconnected before the answer */
  char *operator_name;
  char *change_id;
} QgOperatorPending;

/* operator_pending.c */
/** Pauses a request until qg_operator_finish(). */
QgOperatorPending *qg_operator_pause (QgOperatorRequest *request,
                                      const char *change_id);
/** Answers with an error unless @a status is QG_OK, resumes the request and
 * frees @a pending. After an unknown outcome, the operator gets the result by
 * repeating the request. */
void qg_operator_finish (QgOperatorPending *pending, QgStatus status,
                         const char *message);

/* operator.c */
/** Answers with a problem document and logs the refusal. */
void qg_operator_refuse (QgOperatorRequest *request, QgStatus kind,
                         const char *detail);
/** Answers with the JSON of @a builder and frees @a builder. */
void qg_operator_answer (SoupServerMessage *msg, guint status,
                         JsonBuilder *builder);
/** Reads a number from the query string; refuses the request and returns FALSE
 * when the value is not a number. */
gboolean qg_operator_query_number (QgOperatorRequest *request, const char *name,
                                   guint64 fallback, guint64 *value);
/** Adds a member to the current JSON object. */
void qg_json_string (JsonBuilder *builder, const char *name, const char *value);
void qg_json_number (JsonBuilder *builder, const char *name, guint64 value);

/* operator_read.c */
void qg_operator_status (QgOperatorRequest *request);
void qg_operator_document (QgOperatorRequest *request);
void qg_operator_history (QgOperatorRequest *request);
void qg_operator_diff (QgOperatorRequest *request);
void qg_operator_quarantine (QgOperatorRequest *request);

/* operator_change.c */
void qg_operator_check (QgOperatorRequest *request);
void qg_operator_change (QgOperatorRequest *request);
void qg_operator_member_add (QgOperatorRequest *request);
void qg_operator_member_remove (QgOperatorRequest *request);
void qg_operator_lift_quarantine (QgOperatorRequest *request);
/** Refuses a request of an operator who is not of @a team. */
gboolean qg_operator_require_team (QgOperatorRequest *request, guint team);

/* operator_rollout.c */
void qg_operator_rollouts (QgOperatorRequest *request);
void qg_operator_rollout_begin (QgOperatorRequest *request);
void qg_operator_rollout_abort (QgOperatorRequest *request);

#endif
