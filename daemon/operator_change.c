#include "lib/event.h"
#include "lib/jsonform.h"
#include "liboperator.h"

#include <string.h>

static const QgJsonformField edit_fields[] = {
  { "section", QG_JSONFORM_TEXT, TRUE },
  { "key", QG_JSONFORM_TEXT, TRUE },
  { "value", QG_JSONFORM_TEXT, TRUE },
  { "create", QG_JSONFORM_FLAG },
};
static const QgJsonform edit_form = QG_JSONFORM (edit_fields);

static const QgJsonformField change_fields[] = {
  { "change_id", QG_JSONFORM_TEXT },
  { "base", QG_JSONFORM_WHOLE, .max = QG_JSONFORM_WHOLE_MAX },
  { "sections", QG_JSONFORM_TEXT_MAP },
  { "edits", QG_JSONFORM_OBJECTS, .form = &edit_form },
};
static const QgJsonform change_form = QG_JSONFORM (change_fields);

static const QgJsonformField member_fields[] = {
  { "name", QG_JSONFORM_TEXT, TRUE },
  { "address", QG_JSONFORM_TEXT, TRUE },
};
static const QgJsonform member_form = QG_JSONFORM (member_fields);

static Qg__ConfChange *read_change (QgOperatorRequest *request);
static void read_sections (QgOperatorRequest *request, Qg__ConfChange *change);
static void read_edits (QgOperatorRequest *request, Qg__ConfChange *change);
static Qg__ConfEdit *read_edit (JsonObject *object);
static Qg__ConfSection *read_section (const char *id, JsonNode *value);
static void on_change_done (gpointer user, QgStatus status, const char *message,
                            const Qg__StateResult *result);
static void on_lift_done (gpointer user, QgStatus status, const char *message,
                          const Qg__StateResult *result);
static void answer_result (SoupServerMessage *msg,
                           const Qg__ConfResult *result);
static void log_result (const QgOperatorPending *pending,
                        const Qg__ConfResult *result);
static gboolean read_fingerprint (const char *text,
                                  guint8 bytes[QG_POISON_FINGERPRINT_BYTES]);

void
qg_operator_check (QgOperatorRequest *request)
{
  Qg__ConfChange *change = read_change (request);
  QgConf *conf
      = qg_rsm_conf (request->server->ops->rsm (request->server->user));
  Qg__ConfResult *result;

  if (change == NULL)
    return;
  result = qg_conf_check (conf, change);
  answer_result (request->msg, result);
  qg__conf_result__free_unpacked (result, NULL);
  qg__conf_change__free_unpacked (change, NULL);
}

void
qg_operator_change (QgOperatorRequest *request)
{
  QgOperatorServer *server = request->server;
  Qg__ConfChange *change = read_change (request);
  GBytes *command;

  if (change == NULL)
    return;
  command = qg_rsm_command_conf (change, server->ops->now (server->user));
  server->ops->propose (server->user, command, on_change_done,
                        qg_operator_pause (request, change->change_id));
  g_bytes_unref (command);
  qg__conf_change__free_unpacked (change, NULL);
}

void
qg_operator_member_add (QgOperatorRequest *request)
{
  QgOperatorServer *server = request->server;
  const char *name = "";
  const char *address = "";
  QgErr err;

  if (!qg_operator_require_team (request, QG_TEAM_DCS))
    return;
  if (!qg_jsonform_check (request->body, &member_form, &err))
    {
      qg_operator_refuse (request, QG_E_INVALID, err.message);
      return;
    }
  qg_jsonform_text (request->body, "name", &name);
  qg_jsonform_text (request->body, "address", &address);
  if (!qg_ini_is_name (name) || !qg_ini_is_address (address))
    qg_operator_refuse (request, QG_E_INVALID,
                        "\"name\" must be a name and \"address\" an ip:port");
  else if (server->ops->member_add (server->user, name, address, &err) != QG_OK)
    qg_operator_refuse (request, err.status, err.message);
  else
    qg_http_send_json (
        request->msg, SOUP_STATUS_ACCEPTED,
        "{\"status\":\"ok\",\"message\":\"added as a learner until it has "
        "caught up; see status\"}");
}

void
qg_operator_member_remove (QgOperatorRequest *request)
{
  QgOperatorServer *server = request->server;
  QgErr err;

  if (!qg_operator_require_team (request, QG_TEAM_DCS))
    return;
  if (!qg_ini_is_name (request->subpath))
    qg_operator_refuse (
        request, QG_E_INVALID,
        "the member name is missing or invalid: DELETE /v1/members/NAME");
  else if (server->ops->member_remove (server->user, request->subpath, &err)
           != QG_OK)
    qg_operator_refuse (request, err.status, err.message);
  else
    qg_http_send_json (request->msg, SOUP_STATUS_ACCEPTED,
                       "{\"status\":\"ok\",\"message\":\"being removed; see "
                       "status\"}");
}

void
qg_operator_lift_quarantine (QgOperatorRequest *request)
{
  QgOperatorServer *server = request->server;
  Qg__PoisonCommand poison = QG__POISON_COMMAND__INIT;
  Qg__PoisonLift lift = QG__POISON_LIFT__INIT;
  guint8 fingerprint[QG_POISON_FINGERPRINT_BYTES];
  GBytes *command;

  if (!qg_operator_require_team (request, QG_TEAM_SERVICES))
    return;
  if (request->subpath[0] != '\0')
    {
      if (!read_fingerprint (request->subpath, fingerprint))
        {
          qg_operator_refuse (request, QG_E_INVALID,
                              "a fingerprint has 64 hexadecimal digits");
          return;
        }
      lift.fingerprint.data = fingerprint;
      lift.fingerprint.len = sizeof fingerprint;
    }
  poison.kind_case = QG__POISON_COMMAND__KIND_LIFT;
  poison.lift = &lift;
  command = qg_rsm_command_poison (&poison, server->ops->now (server->user));
  server->ops->propose (server->user, command, on_lift_done,
                        qg_operator_pause (request, "lift"));
  g_bytes_unref (command);
}

/* Reads the change from the body; refuses the request and returns NULL when the
 * body is invalid. */
static Qg__ConfChange *
read_change (QgOperatorRequest *request)
{
  Qg__ConfChange *change;
  const char *change_id = "";
  QgErr err;

  if (!qg_jsonform_check (request->body, &change_form, &err))
    {
      qg_operator_refuse (request, QG_E_INVALID, err.message);
      return NULL;
    }
  change = g_new0 (Qg__ConfChange, 1);
  qg__conf_change__init (change);
  qg_jsonform_text (request->body, "change_id", &change_id);
  change->change_id = g_strdup (change_id);
  change->author = g_strdup (request->requester->name);
  change->teams = (guint32)request->requester->teams;
  qg_jsonform_whole (request->body, "base", &change->based_on);
  read_sections (request, change);
  read_edits (request, change);
  if (change->n_edits > 0
      || (json_object_has_member (request->body, "sections")
          && !json_object_has_member (request->body, "edits")))
    return change;
  qg__conf_change__free_unpacked (change, NULL);
  qg_operator_refuse (request, QG_E_INVALID,
                      "give \"change_id\", \"base\" and \"sections\" as "
                      "{id: text or null}, or \"edits\" as [{section, key, "
                      "value, create}]");
  return NULL;
}

static void
read_sections (QgOperatorRequest *request, Qg__ConfChange *change)
{
  JsonObject *sections = qg_jsonform_object (request->body, "sections");
  JsonObjectIter iter;
  JsonNode *value;
  const char *id;

  if (sections == NULL)
    return;
  change->sections
      = g_new0 (Qg__ConfSection *, json_object_get_size (sections));
  json_object_iter_init (&iter, sections);
  while (json_object_iter_next (&iter, &id, &value))
    change->sections[change->n_sections++] = read_section (id, value);
}

static Qg__ConfSection *
read_section (const char *id, JsonNode *value)
{
  Qg__ConfSection *section;
  const char *text
      = JSON_NODE_HOLDS_NULL (value) ? NULL : json_node_get_string (value);

  section = g_new0 (Qg__ConfSection, 1);
  qg__conf_section__init (section);
  section->id = g_strdup (id);
  section->removed = text == NULL;
  if (text != NULL)
    {
      section->text.len = strlen (text);
      section->text.data = (guint8 *)g_strdup (text);
    }
  return section;
}

static void
read_edits (QgOperatorRequest *request, Qg__ConfChange *change)
{
  JsonArray *edits = qg_jsonform_list (request->body, "edits");

  if (edits == NULL)
    return;
  change->edits = g_new0 (Qg__ConfEdit *, json_array_get_length (edits));
  for (guint i = 0; i < json_array_get_length (edits); i++)
    change->edits[change->n_edits++]
        = read_edit (json_array_get_object_element (edits, i));
}

static Qg__ConfEdit *
read_edit (JsonObject *object)
{
  const char *section = "";
  const char *key = "";
  const char *value = "";
  gboolean create = FALSE;
  Qg__ConfEdit *edit = g_new0 (Qg__ConfEdit, 1);

  qg_jsonform_text (object, "section", &section);
  qg_jsonform_text (object, "key", &key);
  qg_jsonform_text (object, "value", &value);
  qg_jsonform_flag (object, "create", &create);
  qg__conf_edit__init (edit);
  edit->section = g_strdup (section);
  edit->key = g_strdup (key);
  edit->value = g_strdup (value);
  edit->create = create;
  return edit;
}

gboolean
qg_operator_require_team (QgOperatorRequest *request, guint team)
{
  g_autofree char *detail = NULL;

  if ((request->requester->teams & team) != 0)
    return TRUE;
  detail
      = g_strdup_printf ("this request belongs to the team %s; ask one of its "
                         "operators",
                         qg_doc_team_name (team));
  qg_operator_refuse (request, QG_E_FORBIDDEN, detail);
  return FALSE;
}

static void
on_change_done (gpointer user, QgStatus status, const char *message,
                const Qg__StateResult *result)
{
  QgOperatorPending *pending = user;

  if (status != QG_OK || result == NULL
      || result->kind_case != QG__STATE_RESULT__KIND_CONF)
    {
      qg_operator_finish (pending, status != QG_OK ? status : QG_E_INTERNAL,
                          message);
      return;
    }
  log_result (pending, result->conf);
  if (!pending->finished)
    answer_result (pending->msg, result->conf);
  qg_operator_finish (pending, QG_OK, NULL);
}

static void
on_lift_done (gpointer user, QgStatus status, const char *message,
              const Qg__StateResult *result)
{
  QgOperatorPending *pending = user;

  if (status == QG_OK && !pending->finished)
    qg_http_send_json (pending->msg, SOUP_STATUS_OK,
                       "{\"status\":\"ok\",\"message\":\"lifted\"}");
  qg_operator_finish (pending, status, message);
}

static void
answer_result (SoupServerMessage *msg, const Qg__ConfResult *result)
{
  QgStatus status = (QgStatus)result->status;
  JsonBuilder *builder = json_builder_new ();

  json_builder_begin_object (builder);
  qg_json_string (builder, "status", qg_status_name (status));
  qg_json_number (builder, "revision", result->revision);
  qg_json_string (builder, status == QG_OK ? "message" : "detail",
                  result->message);
  if (status != QG_OK)
    {
      qg_json_string (builder, "kind", qg_status_name (status));
      qg_json_string (builder, "remedy", qg_status_remedy (status));
      qg_json_string (builder, "run", qg_http_run_name (QG__RUN__RUN_NOT_RUN));
    }
  if (status == QG_E_CONFLICT)
    {
      qg_json_string (builder, "winner", result->winner);
      qg_json_string (builder, "winner_change", result->winner_change);
      qg_json_number (builder, "winner_revision", result->winner_revision);
      json_builder_set_member_name (builder, "overlap");
      json_builder_begin_array (builder);
      for (size_t i = 0; i < result->n_overlap; i++)
        json_builder_add_string_value (builder, result->overlap[i]);
      json_builder_end_array (builder);
    }
  json_builder_end_object (builder);
  qg_operator_answer (msg, (guint)qg_status_http (status), builder);
}

static void
log_result (const QgOperatorPending *pending, const Qg__ConfResult *result)
{
  if (result->status == QG_OK)
    qg_event (QG_EV_CONF_CHANGED, "revision %" G_GUINT64_FORMAT " by %s (%s)",
              result->revision, pending->operator_name, pending->change_id);
  else
    qg_event (QG_EV_CONF_REFUSED, "change %s of %s: %s", pending->change_id,
              pending->operator_name, result->message);
}

static gboolean
read_fingerprint (const char *text, guint8 bytes[QG_POISON_FINGERPRINT_BYTES])
{
  G_STATIC_ASSERT ((int)QG_POISON_FINGERPRINT_BYTES == (int)QG_SHA256_BYTES);
  return qg_ini_read_sha256 (text, bytes);
}
