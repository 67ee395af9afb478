#include "libconf.h"

#include <string.h>

enum
{
  MAX_OVERLAP = 20 /* sections listed in the answer to a conflict */
};

static Qg__ConfResult *result_new (const QgConf *conf, QgStatus status,
                                   const char *message);
static Qg__ConfResult *check_limits (const QgConf *conf,
                                     const Qg__ConfChange *change);
static Qg__ConfResult *check_base (const QgConf *conf,
                                   const Qg__ConfChange *change);
static Qg__ConfResult *conflict_result (const QgConf *conf,
                                        const Qg__ConfChange *change);
static void add_overlap (const QgConf *conf, const Qg__ConfChange *change,
                         Qg__ConfResult *result);
static GHashTable *section_ids (const Qg__ConfChange *change);
static QgDelta *build_delta (const QgConf *conf, const Qg__ConfChange *change,
                             QgProblems *problems);
static void add_edit (QgDelta *delta, const QgConf *conf,
                      const Qg__ConfEdit *edit, QgProblems *problems);
static const char *current_text (const QgDelta *delta, const QgDoc *doc,
                                 const char *id);
static Qg__ConfResult *check_teams (const QgConf *conf, const QgDelta *delta,
                                    guint teams);
static Qg__ConfResult *problems_result (const QgConf *conf, QgStatus status,
                                        const QgProblems *problems);
static void drop_unchanged (QgDelta *delta, const QgDoc *doc);

Qg__ConfResult *
qg_conf_evaluate (const QgConf *conf, const Qg__ConfChange *change,
                  QgDelta **delta)
{
  Qg__ConfResult *result = check_limits (conf, change);
  QgProblems problems;

  *delta = NULL;
  if (result == NULL && change->n_edits == 0)
    result = check_base (conf, change);
  if (result != NULL)
    return result;
  qg_problems_init (&problems, NULL);
  *delta = build_delta (conf, change, &problems);
  if (qg_problems_count (&problems) > 0)
    result = problems_result (conf, QG_E_NOT_FOUND, &problems);
  else
    result = check_teams (conf, *delta, change->teams);
  if (result == NULL && (*delta)->items->len == 0)
    result = result_new (conf, QG_OK, "nothing changes");
  if (result != NULL)
    g_clear_pointer (delta, qg_delta_unref);
  else
    {
      result = result_new (conf, QG_OK, "accepted");
      result->revision = (*delta)->to;
    }
  qg_problems_clear (&problems);
  return result;
}

Qg__ConfResult *
qg_conf_invalid_result (const QgConf *conf, const QgProblems *problems)
{
  return problems_result (conf, QG_E_INVALID, problems);
}

static Qg__ConfResult *
result_new (const QgConf *conf, QgStatus status, const char *message)
{
  Qg__ConfResult *result = g_new0 (Qg__ConfResult, 1);

  qg__conf_result__init (result);
  result->status = status;
  result->revision = qg_doc_revision (conf->doc);
  result->message = g_strdup (message);
  return result;
}

static Qg__ConfResult *
check_limits (const QgConf *conf, const Qg__ConfChange *change)
{
  gsize bytes = 0;

  if (!qg_ini_is_name (change->change_id) || !qg_ini_is_name (change->author))
    return result_new (conf, QG_E_INVALID,
                       "change id and operator must be names of letters, "
                       "digits, '.', '_', '-', at most 64");
  if (change->n_edits > 0 && change->n_sections > 0)
    return result_new (conf, QG_E_INVALID,
                       "a change has sections or edits; send two changes");
  for (size_t i = 0; i < change->n_sections; i++)
    bytes += change->sections[i]->text.len;
  if (change->n_edits > QG_CONF_MAX_EDITS)
    return result_new (conf, QG_E_TOO_LARGE,
                       "a change has at most 1,000 edits; send it in parts");
  if (bytes > QG_CONF_MAX_CHANGE_BYTES)
    return result_new (conf, QG_E_TOO_LARGE,
                       "a change has at most 16 MiB; send it in parts");
  return NULL;
}

static Qg__ConfResult *
check_base (const QgConf *conf, const Qg__ConfChange *change)
{
  guint64 revision = qg_doc_revision (conf->doc);
  g_autofree char *text = NULL;

  if (change->based_on == revision)
    return NULL;
  if (change->based_on < revision)
    return conflict_result (conf, change);
  text = g_strdup_printf ("revision %" G_GUINT64_FORMAT
                          " does not exist, the newest is %" G_GUINT64_FORMAT
                          "; check that this is the right fleet",
                          change->based_on, revision);
  return result_new (conf, QG_E_INVALID, text);
}

static Qg__ConfResult *
conflict_result (const QgConf *conf, const Qg__ConfChange *change)
{
  const QgConfRow *winner = qg_conf_find_row (conf, change->based_on + 1);
  Qg__ConfResult *result = result_new (conf, QG_E_CONFLICT, NULL);

  result->winner = g_strdup (winner != NULL ? winner->author : "");
  result->winner_change = g_strdup (winner != NULL ? winner->change_id : "");
  result->winner_revision = change->based_on + 1;
  add_overlap (conf, change, result);
  result->message = g_strdup_printf (
      "revision %" G_GUINT64_FORMAT " by %s (change %s) came first on base "
      "%" G_GUINT64_FORMAT "; the document is at %" G_GUINT64_FORMAT
      ", %zu of your sections changed since; get it and decide again",
      result->winner_revision,
      winner != NULL ? winner->author : "an operator no longer kept",
      winner != NULL ? winner->change_id : "unknown", change->based_on,
      result->revision, result->n_overlap);
  return result;
}

/* Lists in @result the ids of the sections that both this change and a revision
 * after its base modify; at most MAX_OVERLAP ids. */
static void
add_overlap (const QgConf *conf, const Qg__ConfChange *change,
             Qg__ConfResult *result)
{
  GHashTable *ids = section_ids (change);
  GPtrArray *overlap = g_ptr_array_new ();

  for (GList *node = conf->history.head; node != NULL; node = node->next)
    {
      const QgConfRow *row = node->data;

      if (row->revision <= change->based_on || overlap->len >= MAX_OVERLAP)
        break;
      for (guint i = 0; i < row->undo->items->len; i++)
        {
          const char *id = g_array_index (row->undo->items, QgDeltaItem, i).id;

          if (overlap->len < MAX_OVERLAP && g_hash_table_remove (ids, id))
            g_ptr_array_add (overlap, g_strdup (id));
        }
    }
  result->n_overlap = overlap->len;
  result->overlap = (char **)g_ptr_array_free (overlap, FALSE);
  g_hash_table_unref (ids);
}

static GHashTable *
section_ids (const Qg__ConfChange *change)
{
  GHashTable *ids = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < change->n_sections; i++)
    g_hash_table_add (ids, change->sections[i]->id);
  return ids;
}

static QgDelta *
build_delta (const QgConf *conf, const Qg__ConfChange *change,
             QgProblems *problems)
{
  guint64 revision = qg_doc_revision (conf->doc);
  QgDelta *delta = qg_delta_new (revision, revision + 1);

  for (size_t i = 0; i < change->n_sections; i++)
    {
      const Qg__ConfSection *section = change->sections[i];

      if (section->removed && qg_doc_section (conf->doc, section->id) == NULL)
        qg_problems_add (problems, 0, section->id, NULL,
                         "is not there and cannot be removed; leave it out");
      else
        qg_delta_add (delta, section->id,
                      section->removed ? NULL : (char *)section->text.data,
                      section->text.len);
    }
  for (size_t i = 0; i < change->n_edits; i++)
    add_edit (delta, conf, change->edits[i], problems);
  qg_delta_finish (delta);
  drop_unchanged (delta, conf->doc);
  return delta;
}

static void
add_edit (QgDelta *delta, const QgConf *conf, const Qg__ConfEdit *edit,
          QgProblems *problems)
{
  const char *before = current_text (delta, conf->doc, edit->section);
  g_autofree char *header = g_strdup_printf ("[%s]", edit->section);
  QgStr *after;

  if (strpbrk (edit->key, "=\n[#") != NULL
      || strchr (edit->value, '\n') != NULL)
    {
      qg_problems_add (problems, 0, edit->section, edit->key,
                       "key and value must be one line; send them so");
      return;
    }
  if (before == NULL && !edit->create)
    {
      qg_problems_add (problems, 0, edit->section, NULL,
                       "is not in the document; check the name");
      return;
    }
  after = qg_doc_text_set (before != NULL ? before : header, edit->key,
                           edit->value);
  qg_delta_add (delta, edit->section, after, qg_str_len (after));
  qg_str_unref (after);
}

/* The text that an edit applies to: the result of an earlier edit of the same
 * change, or the text in the document. */
static const char *
current_text (const QgDelta *delta, const QgDoc *doc, const char *id)
{
  const QgDocSection *section = qg_doc_section (doc, id);

  for (guint i = delta->items->len; i > 0; i--)
    {
      const QgDeltaItem *item
          = &g_array_index (delta->items, QgDeltaItem, i - 1);

      if (g_str_equal (item->id, id))
        return item->text;
    }
  return section != NULL ? section->text : NULL;
}

static Qg__ConfResult *
check_teams (const QgConf *conf, const QgDelta *delta, guint teams)
{
  for (guint i = 0; i < delta->items->len; i++)
    {
      const char *id = g_array_index (delta->items, QgDeltaItem, i).id;
      QgDocKind kind = qg_doc_kind_of (id);
      g_autofree char *text = NULL;

      if (kind == QG_N_DOC_KINDS || (qg_doc_team (kind) & teams) != 0)
        continue;
      text = g_strdup_printf ("[%s] belongs to the team %s; ask one of its "
                              "operators",
                              id, qg_doc_team_name (qg_doc_team (kind)));
      return result_new (conf, QG_E_FORBIDDEN, text);
    }
  return NULL;
}

static Qg__ConfResult *
problems_result (const QgConf *conf, QgStatus status,
                 const QgProblems *problems)
{
  g_autofree char *text = qg_problems_text (problems);
  gsize len = strlen (text);

  if (len > QG_CONF_MAX_MESSAGE_BYTES)
    len = (gsize)(g_utf8_find_prev_char (text, text + QG_CONF_MAX_MESSAGE_BYTES)
                  - text);
  text[len] = '\0';
  return result_new (conf, status, g_strchomp (text));
}

static void
drop_unchanged (QgDelta *delta, const QgDoc *doc)
{
  GArray *all = delta->items;

  delta->items = qg_delta_items_new ();
  for (guint i = 0; i < all->len; i++)
    {
      const QgDeltaItem *item = &g_array_index (all, QgDeltaItem, i);
      const QgDocSection *section = qg_doc_section (doc, item->id);

      if (section == NULL || item->text == NULL
          || !g_str_equal (section->text, item->text))
        qg_delta_add_item (delta, item);
    }
  g_array_unref (all);
}
