#include "cli.h"
#include "lib/doc.h"
#include "lib/manifest_check.h"
#include "platform/platform.h"

#include <stdio.h>
#include <stdlib.h>

/** Exit status if there are warnings but no errors; errors have the status of
 * invalid input. */
#define EXIT_WARNINGS 1

/** What was found; each text is one line. */
typedef struct
{
  GPtrArray *warnings;
  GPtrArray *changes; /* against another manifest */
} Findings;

static GBytes *read_file (const char *name, QgErr *err);
static gboolean is_manifest (GBytes *text);
static int check_manifest (const QgCliOptions *options, GBytes *text);
static QgManifest *read_manifest (const char *name, QgErr *err);
static void add_finding (gpointer user, const char *message);
static void print_list (const char *label, const GPtrArray *list);
static void json_list (JsonBuilder *builder, const char *name,
                       const GPtrArray *list);
static void print_json (const QgManifest *manifest, const Findings *findings);

/* Configuration documents are INI, manifests JSON objects. */
int
qg_cmd_check (const QgCliOptions *options)
{
  QgErr err;
  g_autoptr (GBytes) text = read_file (options->args[0], &err);

  if (text == NULL)
    return qg_cli_print_error (&err);
  return is_manifest (text) ? check_manifest (options, text)
                            : qg_cli_check_document (options);
}

static GBytes *
read_file (const char *name, QgErr *err)
{
  g_autoptr (GError) error = NULL;
  char *text;
  gsize len;

  if (g_file_get_contents (name, &text, &len, &error))
    return g_bytes_new_take (text, len);
  qg_fail (err, QG_E_IO, "%s", error->message);
  return NULL;
}

static gboolean
is_manifest (GBytes *text)
{
  gsize len;
  const char *at = g_bytes_get_data (text, &len);

  while (len > 0 && g_ascii_isspace (*at))
    {
      at++;
      len--;
    }
  return len > 0 && *at == '{';
}

static QgManifest *
read_manifest (const char *name, QgErr *err)
{
  g_autoptr (GBytes) text = read_file (name, err);

  return text != NULL ? platform_read_manifest (text, err) : NULL;
}

static void
add_finding (gpointer user, const char *message)
{
  g_ptr_array_add (user, g_strdup (message));
}

static int
check_manifest (const QgCliOptions *options, GBytes *text)
{
  g_autoptr (GPtrArray) warnings = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GPtrArray) changes = g_ptr_array_new_with_free_func (g_free);
  Findings findings = { warnings, changes };
  QgErr err;
  QgManifest *manifest = platform_read_manifest (text, &err);
  QgManifest *old = NULL;

  if (manifest == NULL)
    return qg_cli_print_error (&err);
  qg_manifest_check (manifest, add_finding, warnings);
  if (qg_opt_given (options, QG_OPT_AGAINST))
    {
      old = read_manifest (options->text[QG_OPT_AGAINST], &err);
      if (old == NULL)
        {
          qg_manifest_unref (manifest);
          return qg_cli_print_error (&err);
        }
      qg_manifest_compare (old, manifest, add_finding, changes);
      qg_manifest_unref (old);
    }
  if (qg_opt_given (options, QG_OPT_JSON))
    print_json (manifest, &findings);
  else
    {
      print_list ("warning", warnings);
      print_list ("change", changes);
      printf ("valid: version %" G_GUINT64_FORMAT
              ", %u routes, %u services, %u workspaces, %u warnings\n",
              manifest->version, manifest->routes->len,
              g_hash_table_size (manifest->services), manifest->workspaces->len,
              warnings->len);
    }
  qg_manifest_unref (manifest);
  return warnings->len > 0 ? EXIT_WARNINGS : EXIT_SUCCESS;
}

static void
print_list (const char *label, const GPtrArray *list)
{
  for (guint i = 0; i < list->len; i++)
    printf ("%s: %s\n", label, (const char *)g_ptr_array_index (list, i));
}

static void
json_list (JsonBuilder *builder, const char *name, const GPtrArray *list)
{
  json_builder_set_member_name (builder, name);
  json_builder_begin_array (builder);
  for (guint i = 0; i < list->len; i++)
    json_builder_add_string_value (builder, g_ptr_array_index (list, i));
  json_builder_end_array (builder);
}

static void
print_json (const QgManifest *manifest, const Findings *findings)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;
  g_autofree char *text = NULL;

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "version");
  json_builder_add_int_value (builder, (gint64)manifest->version);
  json_list (builder, "warnings", findings->warnings);
  json_list (builder, "changes", findings->changes);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  text = json_to_string (root, FALSE);
  puts (text);
}
