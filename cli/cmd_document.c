#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REVISION_LINE "# quetzalgate-revision: "

/** A document read from a file. The get command writes the revision into the
 * first line. */
typedef struct
{
  char *text;        /* owned */
  const char *start; /* the document, after the revision line */
  gsize len;         /* length of the document */
  gboolean has_base; /* the file has a revision line */
  guint64 base;      /* revision in the revision line */
} DocFile;

static int apply_document (const QgCliOptions *options, const DocFile *file);
static int apply_partial (const QgCliOptions *options, const DocFile *file);
static gboolean read_file (const char *name, DocFile *file, QgErr *err);
static QgDoc *parse_file (const char *name, const DocFile *file,
                          guint64 revision, QgErr *err);
static QgStatus print_problems (const QgProblems *problems, QgErr *err);
static gboolean get_base (const QgCliOptions *options, const DocFile *file,
                          guint64 *base, QgErr *err);
static QgDoc *fetch_document (const QgCliOptions *options, gboolean newest,
                              guint64 revision, QgErr *err);
static JsonBuilder *build_change (const QgDelta *delta, guint64 base);
static int diff_file (const QgCliOptions *options);
static int diff_revisions (const QgCliOptions *options);
static void print_history (JsonObject *answer);
static int write_document (const QgCliOptions *options,
                           const QgCliAnswer *answer);

int
qg_cli_check_document (const QgCliOptions *options)
{
  const char *name = options->args[0];
  DocFile file;
  QgDoc *doc = NULL;
  QgErr err;

  if (read_file (name, &file, &err))
    {
      doc = parse_file (name, &file, 1, &err);
      g_free (file.text);
    }
  if (doc == NULL)
    return qg_cli_print_error (&err);
  printf (qg_opt_given (options, QG_OPT_JSON)
              ? "{\"status\":\"ok\",\"workspaces\":%u,\"services\":%u,"
                "\"dcs\":%u}\n"
              : "valid: %u workspaces, %u services, %u data centres\n",
          qg_doc_count (doc, QG_DOC_WORKSPACE),
          qg_doc_count (doc, QG_DOC_SERVICE), qg_doc_count (doc, QG_DOC_DC));
  qg_doc_unref (doc);
  return EXIT_SUCCESS;
}

int
qg_cmd_apply (const QgCliOptions *options)
{
  DocFile file;
  QgErr err;
  int code;

  if (!read_file (options->args[0], &file, &err))
    return qg_cli_print_error (&err);
  code = qg_opt_given (options, QG_OPT_PARTIAL)
             ? apply_partial (options, &file)
             : apply_document (options, &file);
  g_free (file.text);
  return code;
}

int
qg_cmd_get (const QgCliOptions *options)
{
  g_autofree char *path = NULL;
  QgCliAnswer answer = { 0 };
  QgErr err;
  QgClient *client = qg_cli_client_new (options, &err);
  int code;

  if (client == NULL)
    return qg_cli_print_error (&err);
  path = qg_opt_given (options, QG_OPT_REVISION)
             ? g_strdup_printf ("/v1/document?revision=%" G_GUINT64_FORMAT,
                                options->number[QG_OPT_REVISION])
             : g_strdup ("/v1/document");
  code = qg_client_call (client, "GET", path, NULL, &answer, &err) == QG_OK
             ? write_document (options, &answer)
             : qg_cli_print_error (&err);
  qg_cli_answer_clear (&answer);
  qg_client_free (client);
  return code;
}

int
qg_cmd_diff (const QgCliOptions *options)
{
  return options->n_args > 0 ? diff_file (options) : diff_revisions (options);
}

int
qg_cmd_history (const QgCliOptions *options)
{
  g_autofree char *path
      = qg_opt_given (options, QG_OPT_COUNT)
            ? g_strdup_printf ("/v1/history?count=%" G_GUINT64_FORMAT,
                               options->number[QG_OPT_COUNT])
            : g_strdup ("/v1/history");

  return qg_cli_call_and_print (options, "GET", path, NULL, print_history);
}

/* Sends only the sections that differ from the base revision. */
static int
apply_document (const QgCliOptions *options, const DocFile *file)
{
  QgDoc *old = NULL;
  QgDoc *new = NULL;
  QgDelta *delta;
  guint64 base;
  QgErr err;
  int code;

  if (!get_base (options, file, &base, &err)
      || (new = parse_file (options->args[0], file, base + 1, &err)) == NULL
      || (old = fetch_document (options, FALSE, base, &err)) == NULL)
    {
      qg_doc_unref (new);
      return qg_cli_print_error (&err);
    }
  delta = qg_doc_diff (old, new);
  code = qg_cli_send_change (options, build_change (delta, base));
  qg_delta_unref (delta);
  qg_doc_unref (old);
  qg_doc_unref (new);
  return code;
}

static int
apply_partial (const QgCliOptions *options, const DocFile *file)
{
  QgProblems problems;
  QgDelta *delta;
  guint64 base;
  QgErr err;
  int code;

  if (!get_base (options, file, &base, &err))
    return qg_cli_print_error (&err);
  qg_problems_init (&problems, options->args[0]);
  delta = qg_doc_parse_sections (file->start, file->len, &problems);
  if (delta == NULL)
    {
      print_problems (&problems, &err);
      qg_problems_clear (&problems);
      return qg_cli_print_error (&err);
    }
  for (guint i = 0; i < options->removed->len; i++)
    qg_delta_add (delta, g_ptr_array_index (options->removed, i), NULL, 0);
  code = qg_cli_send_change (options, build_change (delta, base));
  qg_delta_unref (delta);
  qg_problems_clear (&problems);
  return code;
}

static gboolean
read_file (const char *name, DocFile *file, QgErr *err)
{
  GError *error = NULL;
  const char *end;

  memset (file, 0, sizeof *file);
  if (!g_file_get_contents (name, &file->text, &file->len, &error))
    {
      qg_fail (err, QG_E_IO, "%s", error->message);
      g_error_free (error);
      return FALSE;
    }
  file->start = file->text;
  end = strchr (file->text, '\n');
  if (end != NULL && g_str_has_prefix (file->text, REVISION_LINE))
    {
      g_autofree char *number
          = g_strndup (file->text + strlen (REVISION_LINE),
                       (gsize)(end - file->text) - strlen (REVISION_LINE));

      file->has_base = qg_ini_read_uint (g_strstrip (number), &file->base);
      file->start = end + 1;
      file->len -= (gsize)(file->start - file->text);
    }
  return TRUE;
}

static QgDoc *
parse_file (const char *name, const DocFile *file, guint64 revision, QgErr *err)
{
  QgProblems problems;
  QgDoc *doc;

  qg_problems_init (&problems, name);
  doc = qg_doc_parse (file->start, file->len, revision, &problems);
  if (doc == NULL)
    print_problems (&problems, err);
  qg_problems_clear (&problems);
  return doc;
}

static QgStatus
print_problems (const QgProblems *problems, QgErr *err)
{
  g_autofree char *text = qg_problems_text (problems);

  fputs (text, stderr);
  return qg_fail (err, QG_E_INVALID, "%u problems in %s",
                  qg_problems_count (problems), problems->file);
}

static gboolean
get_base (const QgCliOptions *options, const DocFile *file, guint64 *base,
          QgErr *err)
{
  *base = qg_opt_given (options, QG_OPT_BASE) ? options->number[QG_OPT_BASE]
                                              : file->base;
  if (qg_opt_given (options, QG_OPT_BASE) || file->has_base)
    return TRUE;
  qg_fail (err, QG_E_INVALID,
           "%s has no base revision; start from the output of get, or give "
           "--base",
           options->args[0]);
  return FALSE;
}

static QgDoc *
fetch_document (const QgCliOptions *options, gboolean newest, guint64 revision,
                QgErr *err)
{
  QgClient *client = qg_cli_client_new (options, err);
  g_autofree char *path = NULL;
  QgCliAnswer answer = { 0 };
  QgProblems problems;
  QgDoc *doc = NULL;

  if (client == NULL)
    return NULL;
  path = newest ? g_strdup ("/v1/document")
                : g_strdup_printf ("/v1/document?revision=%" G_GUINT64_FORMAT,
                                   revision);
  qg_problems_init (&problems, "the document in force");
  if (qg_client_call (client, "GET", path, NULL, &answer, err) == QG_OK)
    {
      doc = qg_doc_parse (answer.text, answer.len, answer.revision, &problems);
      if (doc == NULL)
        print_problems (&problems, err);
    }
  qg_problems_clear (&problems);
  qg_cli_answer_clear (&answer);
  qg_client_free (client);
  return doc;
}

static JsonBuilder *
build_change (const QgDelta *delta, guint64 base)
{
  JsonBuilder *builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "base");
  json_builder_add_int_value (builder, (gint64)base);
  json_builder_set_member_name (builder, "sections");
  json_builder_begin_object (builder);
  for (guint i = 0; i < delta->items->len; i++)
    {
      const QgDeltaItem *item = &g_array_index (delta->items, QgDeltaItem, i);

      json_builder_set_member_name (builder, item->id);
      if (item->text != NULL)
        json_builder_add_string_value (builder, item->text);
      else
        json_builder_add_null_value (builder);
    }
  json_builder_end_object (builder);
  return builder;
}

static int
diff_file (const QgCliOptions *options)
{
  DocFile file;
  QgDoc *old = NULL;
  QgDoc *new = NULL;
  gboolean newest;
  guint64 base = 0;
  QgErr err;

  if (!read_file (options->args[0], &file, &err))
    return qg_cli_print_error (&err);
  newest = !get_base (options, &file, &base, &err);
  new = parse_file (options->args[0], &file, base + 1, &err);
  if (new != NULL)
    old = fetch_document (options, newest, base, &err);
  if (old != NULL)
    {
      QgDelta *delta = qg_doc_diff (old, new);
      g_autofree char *text = qg_delta_format (old, delta);

      fputs (text, stdout);
      qg_delta_unref (delta);
    }
  g_free (file.text);
  qg_doc_unref (new);
  if (old == NULL)
    return qg_cli_print_error (&err);
  qg_doc_unref (old);
  return EXIT_SUCCESS;
}

static int
diff_revisions (const QgCliOptions *options)
{
  GString *path = g_string_new ("/v1/diff?");
  QgCliAnswer answer = { 0 };
  QgErr err;
  QgClient *client = qg_cli_client_new (options, &err);
  int code;

  if (qg_opt_given (options, QG_OPT_FROM))
    g_string_append_printf (path, "from=%" G_GUINT64_FORMAT "&",
                            options->number[QG_OPT_FROM]);
  if (qg_opt_given (options, QG_OPT_TO))
    g_string_append_printf (path, "to=%" G_GUINT64_FORMAT,
                            options->number[QG_OPT_TO]);
  if (client == NULL
      || qg_client_call (client, "GET", path->str, NULL, &answer, &err)
             != QG_OK)
    code = qg_cli_print_error (&err);
  else
    {
      fputs (answer.text, stdout);
      code = EXIT_SUCCESS;
    }
  g_string_free (path, TRUE);
  qg_cli_answer_clear (&answer);
  qg_client_free (client);
  return code;
}

static void
print_history (JsonObject *answer)
{
  JsonArray *rows = qg_json_member_array (answer, "history");

  for (guint i = 0; rows != NULL && i < json_array_get_length (rows); i++)
    {
      JsonObject *row = json_array_get_object_element (rows, i);
      JsonArray *sections = qg_json_member_array (row, "sections");
      guint n = sections != NULL ? json_array_get_length (sections) : 0;
      g_autoptr (GDateTime) at = g_date_time_new_from_unix_utc (
          (gint64)qg_json_member_number (row, "at_us") / QG_SEC);
      g_autofree char *when
          = at != NULL ? g_date_time_format (at, "%F %T") : NULL;

      printf ("%6" G_GUINT64_FORMAT "  %s  %-16s  %s%s (%u)\n",
              qg_json_member_number (row, "revision"),
              when != NULL ? when : "?",
              qg_json_member_string (row, "operator"),
              n > 0 ? json_array_get_string_element (sections, 0) : "",
              n > 1 ? ", ..." : "", n);
    }
}

static int
write_document (const QgCliOptions *options, const QgCliAnswer *answer)
{
  const char *name = options->text[QG_OPT_OUTPUT];
  g_autofree char *text
      = g_strdup_printf (REVISION_LINE "%" G_GUINT64_FORMAT "\n%s",
                         answer->revision, answer->text);
  GError *error = NULL;
  QgErr err;

  if (name == NULL)
    {
      fputs (text, stdout);
      return EXIT_SUCCESS;
    }
  if (g_file_set_contents (name, text, -1, &error))
    return EXIT_SUCCESS;
  qg_fail (&err, QG_E_IO, "%s", error->message);
  g_error_free (error);
  return qg_cli_print_error (&err);
}
