#include "jsontext.h"

gboolean
qg_json_is_shallow (const char *text, gsize len)
{
  gboolean in_string = FALSE;
  guint depth = 0;

  for (gsize i = 0; i < len; i++)
    {
      char c = text[i];

      if (in_string && c == '\\')
        i++;
      else if (c == '"')
        in_string = !in_string;
      else if (!in_string && (c == '[' || c == '{'))
        {
          if (++depth > QG_JSON_MAX_DEPTH)
            return FALSE;
        }
      else if (!in_string && (c == ']' || c == '}') && depth > 0)
        depth--;
      else if (!in_string && (c == '\'' || c == '/' || c == '#' || c == '`'))
        return FALSE;
    }
  return TRUE;
}

JsonObject *
qg_json_parse_object (JsonParser *parser, const char *text, gsize len)
{
  JsonNode *root;

  if (len == 0 || !qg_json_is_shallow (text, len)
      || !json_parser_load_from_data (parser, text, (gssize)len, NULL))
    return NULL;
  root = json_parser_get_root (parser);
  return root != NULL && JSON_NODE_HOLDS_OBJECT (root)
             ? json_node_get_object (root)
             : NULL;
}
