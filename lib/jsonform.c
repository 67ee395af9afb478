#include "jsonform.h"

/** An object that is checked, and where it stands in the text. */
typedef struct Place
{
  const struct Place *parent; /* NULL: the text itself */
  const char *name;
  gint index; /* in a list; -1: not in a list */
} Place;

static const char *const kind_names[QG_N_JSONFORM_KINDS] = {
  [QG_JSONFORM_TEXT] = "a text",
  [QG_JSONFORM_WHOLE] = "a whole number",
  [QG_JSONFORM_NUMBER] = "a number",
  [QG_JSONFORM_FLAG] = "true or false",
  [QG_JSONFORM_LIST] = "a list",
  [QG_JSONFORM_TEXTS] = "a list of texts",
  [QG_JSONFORM_OBJECT] = "an object",
  [QG_JSONFORM_OBJECTS] = "a list of objects",
  [QG_JSONFORM_TEXT_MAP] = "an object of texts",
};

static gboolean check_object (JsonObject *object, const QgJsonform *form,
                              const Place *place, QgErr *err);
static gboolean check_field (JsonNode *node, const QgJsonformField *field,
                             const Place *place, QgErr *err);
static gboolean check_objects (JsonNode *node, const QgJsonformField *field,
                               const Place *place, QgErr *err);
static gboolean is_text (JsonNode *node);
static gboolean is_number (JsonNode *node, const QgJsonformField *field);
static gboolean is_list_of_texts (JsonNode *node);
static gboolean is_map_of_texts (JsonNode *node);
static gboolean refuse (const Place *place, const QgJsonformField *field,
                        QgErr *err);
static void append_path (const Place *place, GString *out);

gboolean
qg_jsonform_check (JsonObject *object, const QgJsonform *form, QgErr *err)
{
  return check_object (object, form, NULL, err);
}

static gboolean
check_object (JsonObject *object, const QgJsonform *form, const Place *place,
              QgErr *err)
{
  for (guint i = 0; i < form->n_fields; i++)
    {
      const QgJsonformField *field = &form->fields[i];
      Place inner = { place, field->name, -1 };
      JsonNode *node = json_object_get_member (object, field->name);

      if (node == NULL ? field->required
                       : !check_field (node, field, &inner, err))
        return node == NULL ? refuse (&inner, field, err) : FALSE;
    }
  return TRUE;
}

static gboolean
check_field (JsonNode *node, const QgJsonformField *field, const Place *place,
             QgErr *err)
{
  gboolean valid = FALSE;

  switch (field->kind)
    {
    case QG_JSONFORM_TEXT:
      valid = is_text (node);
      break;
    case QG_JSONFORM_WHOLE:
    case QG_JSONFORM_NUMBER:
      valid = is_number (node, field);
      break;
    case QG_JSONFORM_FLAG:
      valid = json_node_get_value_type (node) == G_TYPE_BOOLEAN;
      break;
    case QG_JSONFORM_LIST:
      valid = JSON_NODE_HOLDS_ARRAY (node);
      break;
    case QG_JSONFORM_TEXTS:
      valid = is_list_of_texts (node);
      break;
    case QG_JSONFORM_TEXT_MAP:
      valid = is_map_of_texts (node);
      break;
    case QG_JSONFORM_OBJECT:
      if (JSON_NODE_HOLDS_OBJECT (node))
        return check_object (json_node_get_object (node), field->form, place,
                             err);
      break;
    case QG_JSONFORM_OBJECTS:
      if (JSON_NODE_HOLDS_ARRAY (node))
        return check_objects (node, field, place, err);
      break;
    case QG_N_JSONFORM_KINDS:
      break;
    }
  return valid || refuse (place, field, err);
}

static gboolean
check_objects (JsonNode *node, const QgJsonformField *field, const Place *place,
               QgErr *err)
{
  JsonArray *array = json_node_get_array (node);

  for (guint i = 0; i < json_array_get_length (array); i++)
    {
      JsonNode *element = json_array_get_element (array, i);
      Place inner = { place->parent, place->name, (gint)i };

      if (!JSON_NODE_HOLDS_OBJECT (element))
        return refuse (&inner, field, err);
      if (!check_object (json_node_get_object (element), field->form, &inner,
                         err))
        return FALSE;
    }
  return TRUE;
}

static gboolean
is_text (JsonNode *node)
{
  return json_node_get_value_type (node) == G_TYPE_STRING;
}

static gboolean
is_number (JsonNode *node, const QgJsonformField *field)
{
  GType type = json_node_get_value_type (node);
  double value;

  if (type != G_TYPE_INT64
      && (type != G_TYPE_DOUBLE || field->kind == QG_JSONFORM_WHOLE))
    return FALSE;
  value = json_node_get_double (node);
  return field->max == 0 || (value >= 0 && value <= field->max);
}

static gboolean
is_list_of_texts (JsonNode *node)
{
  JsonArray *array;

  if (!JSON_NODE_HOLDS_ARRAY (node))
    return FALSE;
  array = json_node_get_array (node);
  for (guint i = 0; i < json_array_get_length (array); i++)
    if (!is_text (json_array_get_element (array, i)))
      return FALSE;
  return TRUE;
}

static gboolean
is_map_of_texts (JsonNode *node)
{
  JsonObjectIter iter;
  JsonNode *member;

  if (!JSON_NODE_HOLDS_OBJECT (node))
    return FALSE;
  json_object_iter_init (&iter, json_node_get_object (node));
  while (json_object_iter_next (&iter, NULL, &member))
    if (!is_text (member) && !JSON_NODE_HOLDS_NULL (member))
      return FALSE;
  return TRUE;
}

static gboolean
refuse (const Place *place, const QgJsonformField *field, QgErr *err)
{
  gboolean has_range = field->max > 0;
  QgJsonformKind kind = place->index < 0 ? field->kind : QG_JSONFORM_OBJECT;
  g_autoptr (GString) path = g_string_new (NULL);
  char range[64] = "";

  append_path (place, path);
  if (has_range)
    g_snprintf (range, sizeof range, " from 0 to %.0f", field->max);
  qg_fail (err, QG_E_INVALID,
           "%.200s is missing or cannot be read; it must be %s%s", path->str,
           kind_names[MIN (kind, QG_N_JSONFORM_KINDS - 1)], range);
  return FALSE;
}

static void
append_path (const Place *place, GString *out)
{
  if (place->parent != NULL)
    {
      append_path (place->parent, out);
      g_string_append_c (out, '.');
    }
  g_string_append (out, place->name);
  if (place->index >= 0)
    g_string_append_printf (out, "[%d]", place->index);
}

gboolean
qg_jsonform_text (JsonObject *object, const char *name, const char **out)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node != NULL)
    *out = json_node_get_string (node);
  return node != NULL;
}

gboolean
qg_jsonform_number (JsonObject *object, const char *name, double *out)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node != NULL)
    *out = json_node_get_double (node);
  return node != NULL;
}

gboolean
qg_jsonform_whole (JsonObject *object, const char *name, guint64 *out)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node != NULL)
    *out = (guint64)json_node_get_int (node);
  return node != NULL;
}

gboolean
qg_jsonform_flag (JsonObject *object, const char *name, gboolean *out)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node != NULL)
    *out = json_node_get_boolean (node);
  return node != NULL;
}

JsonArray *
qg_jsonform_list (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);

  return node != NULL ? json_node_get_array (node) : NULL;
}

JsonObject *
qg_jsonform_object (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);

  return node != NULL ? json_node_get_object (node) : NULL;
}
