#include "lib/jsonform.h"
#include "liboperator.h"

static const QgJsonformField begin_fields[] = {
  { "service", QG_JSONFORM_TEXT, TRUE },
  { "version", QG_JSONFORM_TEXT, TRUE },
  { "duration_s", QG_JSONFORM_WHOLE, TRUE, .max = QG_JSONFORM_WHOLE_MAX },
};
static const QgJsonform begin_form = QG_JSONFORM (begin_fields);

static void on_begun (gpointer user, QgStatus status, const char *message);
static void on_aborted (gpointer user, QgStatus status, const char *message,
                        const Qg__StateResult *result);

void
qg_operator_rollouts (QgOperatorRequest *request)
{
  const QgOperatorServer *server = request->server;
  JsonBuilder *builder = json_builder_new ();
  size_t n;
  g_autofree Qg__RolloutRow **rows = qg_rollout_log_list (
      qg_rsm_rollouts (server->ops->rsm (server->user)), &n);

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "rollouts");
  json_builder_begin_array (builder);
  for (size_t i = 0; i < n; i++)
    {
      json_builder_begin_object (builder);
      qg_json_string (builder, "service", rows[i]->service);
      qg_json_string (builder, "version", rows[i]->version);
      qg_json_string (builder, "state", qg_rollout_state_name (rows[i]->state));
      qg_json_string (builder, "reason", rows[i]->reason);
      qg_json_number (builder, "began_us", (guint64)rows[i]->began_us);
      qg_json_number (builder, "duration_us", (guint64)rows[i]->duration_us);
      qg_json_number (builder, "ended_us", (guint64)rows[i]->ended_us);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  qg_operator_answer (request->msg, SOUP_STATUS_OK, builder);
}

void
qg_operator_rollout_begin (QgOperatorRequest *request)
{
  QgOperatorServer *server = request->server;
  const char *service = "";
  const char *version = "";
  guint64 seconds = 0;
  QgErr err;

  if (!qg_operator_require_team (request, QG_TEAM_SERVICES))
    return;
  if (!qg_jsonform_check (request->body, &begin_form, &err))
    {
      qg_operator_refuse (request, QG_E_INVALID, err.message);
      return;
    }
  qg_jsonform_text (request->body, "service", &service);
  qg_jsonform_text (request->body, "version", &version);
  qg_jsonform_whole (request->body, "duration_s", &seconds);
  seconds = MIN (seconds, G_MAXUINT32); /* refused as too long */
  server->ops->begin_rollout (server->user, service, version,
                              (QgTime)seconds * QG_SEC, on_begun,
                              qg_operator_pause (request, service));
}

static void
on_begun (gpointer user, QgStatus status, const char *message)
{
  QgOperatorPending *pending = user;

  if (status == QG_OK && !pending->finished)
    qg_http_send_json (pending->msg, SOUP_STATUS_OK,
                       "{\"status\":\"ok\",\"message\":\"the rollout is in "
                       "progress; see rollout status\"}");
  qg_operator_finish (pending, status, message);
}

void
qg_operator_rollout_abort (QgOperatorRequest *request)
{
  QgOperatorServer *server = request->server;
  const Qg__RolloutRow *row = qg_rollout_log_find (
      qg_rsm_rollouts (server->ops->rsm (server->user)), request->subpath);
  Qg__RolloutEnd end = QG__ROLLOUT_END__INIT;
  GBytes *command;

  if (!qg_operator_require_team (request, QG_TEAM_SERVICES))
    return;
  if (row == NULL || row->state != QG__ROLLOUT_STATE__ROLLOUT_IN_PROGRESS)
    {
      qg_operator_refuse (request, QG_E_NOT_FOUND,
                          "the service has no rollout in progress");
      return;
    }
  end.service = row->service;
  end.id = row->id;
  end.state = QG__ROLLOUT_STATE__ROLLOUT_REVERTED;
  end.reason = (char *)"aborted by an operator";
  command = qg_rsm_command_rollout_end (&end, server->ops->now (server->user));
  server->ops->propose (server->user, command, on_aborted,
                        qg_operator_pause (request, row->service));
  g_bytes_unref (command);
}

static void
on_aborted (gpointer user, QgStatus status, const char *message,
            const Qg__StateResult *result)
{
  QgOperatorPending *pending = user;

  if (status == QG_OK && result->kind_case == QG__STATE_RESULT__KIND_ROLLOUT)
    {
      status = (QgStatus)result->rollout->status;
      message = result->rollout->message;
    }
  if (status == QG_OK && !pending->finished)
    qg_http_send_json (pending->msg, SOUP_STATUS_OK,
                       "{\"status\":\"ok\",\"message\":\"reverted\"}");
  qg_operator_finish (pending, status, message);
}
