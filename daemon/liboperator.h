/**
 * @file liboperator.h
 * What the files of the operators' interface share.
 */
#ifndef QG_LIBOPERATOR_H
#define QG_LIBOPERATOR_H

#include "http.h"
#include "operator.h"

#include <json-glib/json-glib.h>

struct QgOperator
{
  QgSettings *settings;
  const QgOperatorOps *ops;
  gpointer user;
  SoupServer *server;
};

/** One request; borrowed by a handler until it returns. */
typedef struct
{
  QgOperator *server;
  SoupServerMessage *msg;
  const QgSettingsOperator *who;
  const char *rest; /**< what follows the route in the path, or "" */
  GHashTable *query;
  JsonObject *body; /**< NULL for GET and DELETE */
} QgOperatorRequest;

/* operator.c */
void qg_operator_refuse (QgOperatorRequest *request, QgStatus kind,
                         const char *detail);
/** Answers with the JSON of @a builder, which is released. */
void qg_operator_answer (SoupServerMessage *msg, guint status,
                         JsonBuilder *builder);
/** A number of the query; FALSE after a refusal when it is none. */
gboolean qg_operator_query (QgOperatorRequest *request, const char *name,
                            guint64 fallback, guint64 *value);
/** Adds a member to the object under construction. */
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
void qg_operator_lift (QgOperatorRequest *request);

#endif
