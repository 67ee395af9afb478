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
    }
  return TRUE;
}
