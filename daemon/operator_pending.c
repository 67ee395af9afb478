#include "liboperator.h"

static void pending_free (QgOperatorPending *pending);
static void on_finished (SoupServerMessage *msg, gpointer user);

QgOperatorPending *
qg_operator_pause (QgOperatorRequest *request, const char *change_id)
{
  QgOperatorPending *pending = g_new0 (QgOperatorPending, 1);

  pending->msg = g_object_ref (request->msg);
  pending->operator_name = g_strdup (request->requester->name);
  pending->change_id = g_strdup (change_id);
  g_signal_connect (pending->msg, "finished", G_CALLBACK (on_finished),
                    pending);
  soup_server_message_pause (pending->msg);
  return pending;
}

static void
pending_free (QgOperatorPending *pending)
{
  g_signal_handlers_disconnect_by_data (pending->msg, pending);
  g_object_unref (pending->msg);
  g_free (pending->operator_name);
  g_free (pending->change_id);
  g_free (pending);
}

static void
on_finished (SoupServerMessage *msg, gpointer user)
{
  QgOperatorPending *pending = user;

  pending->finished = TRUE;
}

/* Answers with an error unless @a status is QG_OK, and resumes the request.
 * After an unknown outcome, the operator gets the result by repeating the
 * request with the same change id. */
void
qg_operator_finish (QgOperatorPending *pending, QgStatus status,
                    const char *message)
{
  if (!pending->finished && status != QG_OK)
    qg_http_refuse (pending->msg, status,
                    status == QG_E_UNKNOWN ? QG__RUN__RUN_UNKNOWN
                                           : QG__RUN__RUN_NOT_RUN,
                    message != NULL ? message : "the command has no result");
  if (!pending->finished)
    soup_server_message_unpause (pending->msg);
  pending_free (pending);
}
