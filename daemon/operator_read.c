#include "liboperator.h"

#include <string.h>

enum
{
  HISTORY_DEFAULT = 20,
  HISTORY_MAX = 1000
};

/** JSON builder and totals while daemons are listed. */
typedef struct
{
  JsonBuilder *builder;
  guint64 revision;
  guint daemons;
  guint in_force; /* daemons with the newest revision */
  const QgDoc *doc;
} Listing;

static void add_document_summary (JsonBuilder *builder, const QgDoc *doc);
static void add_dc (const QgDocSection *section, gpointer user);
static void add_daemon (gpointer user, const QgOperatorDaemon *daemon);
static void add_member (gpointer user, const QgOperatorMember *member);
static void add_revision (JsonBuilder *builder, const QgConfRevision *row);
static QgRsm *get_rsm (QgOperatorRequest *request);
static void answer_text (QgOperatorRequest *request, char *text,
                         guint64 revision);

static const char *const role_names[] = {
  [QG__ROLE__ROLE_NONE] = "none",
  [QG__ROLE__ROLE_ENTRY] = "entry",
  [QG__ROLE__ROLE_AGENT] = "agent",
  [QG__ROLE__ROLE_CONTROL] = "control",
};

void
qg_operator_status (QgOperatorRequest *request)
{
  const QgOperatorOps *ops = request->server->ops;
  gpointer user = request->server->user;
  QgDoc *doc = qg_conf_doc (qg_rsm_conf (get_rsm (request)));
  JsonBuilder *builder = json_builder_new ();
  Listing listing = { builder, qg_doc_revision (doc), 0, 0, doc };

  json_builder_begin_object (builder);
  qg_json_string (builder, "leader", ops->leader (user));
  qg_json_number (builder, "term", ops->term (user));
  qg_json_number (builder, "revision", listing.revision);
  qg_json_number (builder, "other_fleet", ops->meets_other_fleet (user));
  add_document_summary (builder, doc);
  json_builder_set_member_name (builder, "members");
  json_builder_begin_array (builder);
  ops->members (user, add_member, builder);
  json_builder_end_array (builder);
  json_builder_set_member_name (builder, "daemon_list");
  json_builder_begin_array (builder);
  ops->daemons (user, add_daemon, &listing);
  json_builder_end_array (builder);
  qg_json_number (builder, "daemons", listing.daemons);
  qg_json_number (builder, "in_force", listing.in_force);
  qg_json_number (builder, "claims",
                  qg_claim_count (qg_rsm_claims (get_rsm (request))));
  qg_json_number (builder, "suspects",
                  qg_poison_count (qg_rsm_poison (get_rsm (request))));
  json_builder_end_object (builder);
  qg_operator_answer (request->msg, SOUP_STATUS_OK, builder);
}

void
qg_operator_document (QgOperatorRequest *request)
{
  QgConf *conf = qg_rsm_conf (get_rsm (request));
  guint64 revision;
  QgErr err;
  QgDoc *doc;

  if (!qg_operator_query_number (request, "revision", qg_conf_revision (conf),
                                 &revision))
    return;
  doc = qg_conf_doc_at (conf, revision, &err);
  if (doc == NULL)
    {
      qg_operator_refuse (request, err.status, err.message);
      return;
    }
  answer_text (request, qg_doc_format (doc, NULL), revision);
  qg_doc_unref (doc);
}

void
qg_operator_history (QgOperatorRequest *request)
{
  QgConf *conf = qg_rsm_conf (get_rsm (request));
  JsonBuilder *builder;
  QgConfRevision row;
  guint64 count;
  guint64 skip;

  if (!qg_operator_query_number (request, "count", HISTORY_DEFAULT, &count)
      || !qg_operator_query_number (request, "skip", 0, &skip))
    return;
  skip = MIN (skip, QG_CONF_MAX_REVISIONS);
  builder = json_builder_new ();
  json_builder_begin_object (builder);
  qg_json_number (builder, "revision", qg_conf_revision (conf));
  json_builder_set_member_name (builder, "history");
  json_builder_begin_array (builder);
  for (guint i = 0; i < MIN (count, HISTORY_MAX); i++)
    if (qg_conf_history (conf, i + (guint)skip, &row))
      add_revision (builder, &row);
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  qg_operator_answer (request->msg, SOUP_STATUS_OK, builder);
}

void
qg_operator_diff (QgOperatorRequest *request)
{
  QgConf *conf = qg_rsm_conf (get_rsm (request));
  guint64 newest = qg_conf_revision (conf);
  guint64 from;
  guint64 to;
  QgErr err;
  QgDoc *old;
  QgDoc *new;

  if (!qg_operator_query_number (request, "to", newest, &to)
      || !qg_operator_query_number (request, "from", to > 0 ? to - 1 : 0,
                                    &from))
    return;
  old = qg_conf_doc_at (conf, from, &err);
  new = old != NULL ? qg_conf_doc_at (conf, to, &err) : NULL;
  if (new == NULL)
    qg_operator_refuse (request, err.status, err.message);
  else
    {
      QgDelta *delta = qg_doc_diff (old, new);

      answer_text (request, qg_delta_format (old, delta), to);
      qg_delta_unref (delta);
    }
  qg_doc_unref (old);
  qg_doc_unref (new);
}

void
qg_operator_quarantine (QgOperatorRequest *request)
{
  static const char *const levels[QG_N_POISON_LEVELS]
      = { "clear", "apart", "alone", "quarantined" };
  const QgPoison *poison = qg_rsm_poison (get_rsm (request));
  JsonBuilder *builder = json_builder_new ();
  gconstpointer cursor = NULL;
  QgPoisonInfo info;

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "suspects");
  json_builder_begin_array (builder);
  while (qg_poison_next (poison, &cursor, &info))
    {
      char hex[2 * QG_POISON_FINGERPRINT_BYTES + 1];

      for (int i = 0; i < QG_POISON_FINGERPRINT_BYTES; i++)
        g_snprintf (hex + (gsize)2 * i, 3, "%02x", info.fingerprint[i]);
      json_builder_begin_object (builder);
      qg_json_string (builder, "fingerprint", hex);
      qg_json_string (builder, "service", info.service);
      qg_json_string (builder, "level", levels[info.level]);
      qg_json_number (builder, "crashes", info.crashes);
      qg_json_number (builder, "targets", info.targets);
      qg_json_number (builder, "at_us", (guint64)info.at);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  qg_operator_answer (request->msg, SOUP_STATUS_OK, builder);
}

static QgRsm *
get_rsm (QgOperatorRequest *request)
{
  return request->server->ops->rsm (request->server->user);
}

static void
add_document_summary (JsonBuilder *builder, const QgDoc *doc)
{
  qg_json_number (builder, "workspaces", qg_doc_count (doc, QG_DOC_WORKSPACE));
  qg_json_number (builder, "services", qg_doc_count (doc, QG_DOC_SERVICE));
  json_builder_set_member_name (builder, "dcs");
  json_builder_begin_array (builder);
  qg_doc_foreach (doc, QG_DOC_DC, add_dc, builder);
  json_builder_end_array (builder);
}

static void
add_dc (const QgDocSection *section, gpointer user)
{
  JsonBuilder *builder = user;

  json_builder_begin_object (builder);
  qg_json_string (builder, "name", section->dc.name);
  qg_json_string (builder, "region", section->dc.region);
  qg_json_string (builder, "state",
                  section->dc.state == QG_DC_OUT ? "out" : "in");
  json_builder_end_object (builder);
}

static void
add_daemon (gpointer user, const QgOperatorDaemon *daemon)
{
  Listing *listing = user;
  JsonBuilder *builder = listing->builder;
  const QgDocTarget *target = qg_doc_target (listing->doc, daemon->name);
  const QgDocDc *dc = qg_doc_dc (listing->doc, daemon->dc);

  listing->daemons++;
  if (daemon->revision >= listing->revision)
    listing->in_force++;
  json_builder_begin_object (builder);
  qg_json_string (builder, "name", daemon->name);
  qg_json_string (builder, "role",
                  role_names[(guint)daemon->role % G_N_ELEMENTS (role_names)]);
  qg_json_string (builder, "dc", daemon->dc);
  qg_json_string (builder, "service", daemon->service);
  qg_json_string (builder, "address", daemon->address);
  qg_json_number (builder, "revision", daemon->revision);
  qg_json_number (builder, "running", daemon->running);
  qg_json_number (builder, "age_ms", (guint64)(daemon->age / QG_MSEC));
  json_builder_set_member_name (builder, "drains");
  json_builder_add_boolean_value (builder, (target != NULL && target->drain)
                                               || dc == NULL
                                               || dc->state == QG_DC_OUT);
  json_builder_end_object (builder);
}

static void
add_member (gpointer user, const QgOperatorMember *member)
{
  JsonBuilder *builder = user;

  json_builder_begin_object (builder);
  qg_json_string (builder, "name", member->name);
  qg_json_string (builder, "address", member->address);
  json_builder_set_member_name (builder, "voter");
  json_builder_add_boolean_value (builder, member->voter);
  json_builder_set_member_name (builder, "reachable");
  json_builder_add_boolean_value (builder, member->reachable);
  qg_json_number (builder, "match", member->match);
  json_builder_end_object (builder);
}

static void
add_revision (JsonBuilder *builder, const QgConfRevision *row)
{
  json_builder_begin_object (builder);
  qg_json_number (builder, "revision", row->revision);
  qg_json_string (builder, "operator", row->author);
  qg_json_string (builder, "change_id", row->change_id);
  qg_json_number (builder, "at_us", (guint64)row->at);
  json_builder_set_member_name (builder, "sections");
  json_builder_begin_array (builder);
  for (guint i = 0; i < row->undo->items->len; i++)
    json_builder_add_string_value (
        builder, g_array_index (row->undo->items, QgDeltaItem, i).id);
  json_builder_end_array (builder);
  json_builder_end_object (builder);
}

/* Takes ownership of text. */
static void
answer_text (QgOperatorRequest *request, char *text, guint64 revision)
{
  g_autofree char *number = g_strdup_printf ("%" G_GUINT64_FORMAT, revision);

  soup_message_headers_replace (
      soup_server_message_get_response_headers (request->msg), "QG-Revision",
      number);
  soup_server_message_set_status (request->msg, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (request->msg, "text/plain; charset=utf-8",
                                    SOUP_MEMORY_TAKE, text, strlen (text));
}
