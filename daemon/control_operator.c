#include "lib/event.h"
#include "libcontrol.h"

#include <string.h>

static QgStatus op_may_serve (gpointer user, QgErr *err);
static QgTime op_now (gpointer user);
static QgRsm *op_rsm (gpointer user);
static void op_propose (gpointer user, GBytes *command, QgOperatorDone done,
                        gpointer done_user);
static guint64 op_term (gpointer user);
static gboolean op_meets_other_fleet (gpointer user);
static const char *op_leader (gpointer user);
static void op_daemons (gpointer user, QgOperatorVisitDaemon visit,
                        gpointer visit_user);
static void op_members (gpointer user, QgOperatorVisitMember visit,
                        gpointer visit_user);
static QgStatus op_member_add (gpointer user, const char *name,
                               const char *address, QgErr *err);
static QgStatus op_member_remove (gpointer user, const char *name, QgErr *err);
static void op_begin_rollout (gpointer user, const char *service,
                              const char *version, QgTime duration,
                              QgOperatorRolloutDone done, gpointer done_user);
static GBytes *first_document (const QgControl *control, const char *file,
                               QgErr *err);
static void on_first_document (gpointer user, QgStatus status,
                               const char *message,
                               const Qg__StateResult *result);

const QgOperatorOps control_operator_ops = {
  .may_serve = op_may_serve,
  .now = op_now,
  .rsm = op_rsm,
  .propose = op_propose,
  .term = op_term,
  .meets_other_fleet = op_meets_other_fleet,
  .leader = op_leader,
  .daemons = op_daemons,
  .members = op_members,
  .member_add = op_member_add,
  .member_remove = op_member_remove,
  .begin_rollout = op_begin_rollout,
};

static QgStatus
op_may_serve (gpointer user, QgErr *err)
{
  return control_may_serve (user, err);
}

static QgTime
op_now (gpointer user)
{
  return control_log_now (user);
}

static QgRsm *
op_rsm (gpointer user)
{
  return ((QgControl *)user)->rsm;
}

static void
op_propose (gpointer user, GBytes *command, QgOperatorDone done,
            gpointer done_user)
{
  control_propose_change (user, command, done, done_user);
}

static guint64
op_term (gpointer user)
{
  const QgControl *control = user;
  QgConsStatus status;

  qg_cons_status (control->cons, qg_clock_now (), &status);
  return status.term;
}

static gboolean
op_meets_other_fleet (gpointer user)
{
  const QgControl *control = user;

  return qg_cons_other_fleet (control->cons, qg_clock_now ()) != 0;
}

static const char *
op_leader (gpointer user)
{
  const QgControl *control = user;
  QgConsStatus status;

  qg_cons_status (control->cons, qg_clock_now (), &status);
  return status.leader;
}

static void
op_daemons (gpointer user, QgOperatorVisitDaemon visit, gpointer visit_user)
{
  const QgControl *control = user;
  QgTime now = qg_clock_now ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, control->daemons);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const ControlDaemon *daemon = value;
      QgOperatorDaemon row = { 0 };

      row.name = daemon->name;
      row.role = daemon->role;
      row.dc = daemon->dc;
      row.service = daemon->service;
      row.address = daemon->address;
      row.revision = daemon->revision;
      row.running = daemon->running;
      row.age = now - daemon->last_seen;
      visit (visit_user, &row);
    }
}

static void
op_members (gpointer user, QgOperatorVisitMember visit, gpointer visit_user)
{
  const QgControl *control = user;
  QgConsStatus status;

  qg_cons_status (control->cons, qg_clock_now (), &status);
  for (guint i = 0; i < status.n_members; i++)
    {
      QgOperatorMember row
          = { status.members[i].name, status.members[i].address,
              status.members[i].voter, status.members[i].reachable,
              status.members[i].match };

      visit (visit_user, &row);
    }
}

static QgStatus
op_member_add (gpointer user, const char *name, const char *address, QgErr *err)
{
  QgControl *control = user;
  QgStatus status = control_may_serve (control, err);

  if (status == QG_OK)
    status = qg_cons_member_add (control->cons, name, address, err);
  control_dial_members (control);
  control_schedule_pump (control);
  return status;
}

static QgStatus
op_member_remove (gpointer user, const char *name, QgErr *err)
{
  QgControl *control = user;
  QgStatus status = control_may_serve (control, err);

  if (status == QG_OK)
    status = qg_cons_member_remove (control->cons, name, err);
  control_schedule_pump (control);
  return status;
}

static void
op_begin_rollout (gpointer user, const char *service, const char *version,
                  QgTime duration, QgOperatorRolloutDone done,
                  gpointer done_user)
{
  qg_control_begin_rollout (user, service, version, duration, done, done_user);
}

/* Builds the command that adds all sections of the document in @a file. */
static GBytes *
first_document (const QgControl *control, const char *file, QgErr *err)
{
  Qg__ConfChange change = QG__CONF_CHANGE__INIT;
  g_autofree char *text = NULL;
  g_autofree Qg__ConfSection *sections = NULL;
  g_autofree Qg__ConfSection **list = NULL;
  QgProblems problems;
  QgDelta *delta;
  GBytes *command;
  QgDoc *doc;
  gsize len;

  if (!g_file_get_contents (file, &text, &len, NULL))
    {
      qg_fail (err, QG_E_IO, "cannot read the first document %s", file);
      return NULL;
    }
  qg_problems_init (&problems, file);
  doc = qg_doc_parse (text, len, 1, &problems);
  if (doc == NULL)
    {
      g_autofree char *all = qg_problems_text (&problems);

      qg_fail (err, QG_E_INVALID, "%s", all);
      qg_problems_clear (&problems);
      return NULL;
    }
  qg_problems_clear (&problems);
  delta = qg_doc_diff (NULL, doc);
  sections = g_new (Qg__ConfSection, delta->items->len);
  list = g_new (Qg__ConfSection *, delta->items->len);
  for (guint i = 0; i < delta->items->len; i++)
    {
      const QgDeltaItem *item = &g_array_index (delta->items, QgDeltaItem, i);

      qg__conf_section__init (&sections[i]);
      sections[i].id = item->id;
      sections[i].text.data = (guint8 *)item->text;
      sections[i].text.len = qg_str_len (item->text);
      list[i] = &sections[i];
    }
  change.change_id = (char *)"first-document";
  change.author = (char *)"bootstrap";
  change.teams = QG_TEAM_WORKSPACES | QG_TEAM_DCS | QG_TEAM_SERVICES;
  change.n_sections = delta->items->len;
  change.sections = list;
  command = qg_rsm_command_conf (&change, control_log_now (control));
  qg_delta_unref (delta);
  qg_doc_unref (doc);
  return command;
}

static void
on_first_document (gpointer user, QgStatus status, const char *message,
                   const Qg__StateResult *result)
{
  if (status == QG_OK && result->conf != NULL && result->conf->status != QG_OK)
    message = result->conf->message;
  else if (status == QG_OK)
    return;
  qg_event (QG_EV_FIRST_DOCUMENT, "%s", message);
}

/* A second proposal has no effect, because both proposals have the same change
 * id. */
void
control_propose_first_document (QgControl *control)
{
  const char *file = control->settings->control.document;
  GBytes *command;
  QgErr err;

  if (!control->settings->control.bootstrap || file[0] == '\0'
      || qg_conf_revision (qg_rsm_conf (control->rsm)) > 0)
    return;
  command = first_document (control, file, &err);
  if (command == NULL)
    {
      qg_event (QG_EV_FIRST_DOCUMENT, "%s", err.message);
      return;
    }
  control_propose (control, command, on_first_document, control);
  g_bytes_unref (command);
}
