#include "jsontext.h"

#include <string.h>

/** Position in the text; the functions below advance it behind what they read,
 * and return FALSE if the text is not valid there. */
typedef struct
{
  const char *at;
  const char *end;
  guint members;
} Scan;

static void skip_space (Scan *scan);
static gboolean skip_char (Scan *scan, char c);
static gboolean skip_word (Scan *scan, const char *word);
static guint skip_digits (Scan *scan);
static gboolean scan_value (Scan *scan, guint depth);
static gboolean scan_members (Scan *scan, guint depth, char close);
static gboolean scan_string (Scan *scan);
static gboolean scan_escape (Scan *scan);
static gboolean scan_unit (Scan *scan, guint *unit);
static gboolean scan_number (Scan *scan);
static guint count_members (JsonNode *node);

static void
skip_space (Scan *scan)
{
  while (scan->at < scan->end
         && (*scan->at == ' ' || *scan->at == '\t' || *scan->at == '\n'
             || *scan->at == '\r'))
    scan->at++;
}

static gboolean
skip_char (Scan *scan, char c)
{
  if (scan->at == scan->end || *scan->at != c)
    return FALSE;
  scan->at++;
  return TRUE;
}

static gboolean
skip_word (Scan *scan, const char *word)
{
  gsize len = strlen (word);

  if ((gsize)(scan->end - scan->at) < len || memcmp (scan->at, word, len) != 0)
    return FALSE;
  scan->at += len;
  return TRUE;
}

static guint
skip_digits (Scan *scan)
{
  const char *start = scan->at;

  while (scan->at < scan->end && g_ascii_isdigit (*scan->at))
    scan->at++;
  return (guint)(scan->at - start);
}

static gboolean
scan_value (Scan *scan, guint depth)
{
  gboolean valid;

  skip_space (scan);
  if (scan->at == scan->end)
    return FALSE;
  switch (*scan->at)
    {
    case '{':
      valid = scan_members (scan, depth, '}');
      break;
    case '[':
      valid = scan_members (scan, depth, ']');
      break;
    case '"':
      valid = scan_string (scan);
      break;
    case 't':
      valid = skip_word (scan, "true");
      break;
    case 'f':
      valid = skip_word (scan, "false");
      break;
    case 'n':
      valid = skip_word (scan, "null");
      break;
    default:
      valid = scan_number (scan);
      break;
    }
  skip_space (scan);
  return valid;
}

/* An object if @close is '}', otherwise an array. */
static gboolean
scan_members (Scan *scan, guint depth, char close)
{
  if (depth >= QG_JSON_MAX_DEPTH)
    return FALSE;
  scan->at++;
  skip_space (scan);
  if (skip_char (scan, close))
    return TRUE;
  do
    {
      skip_space (scan);
      if (close == '}')
        {
          if (!scan_string (scan))
            return FALSE;
          skip_space (scan);
          if (!skip_char (scan, ':'))
            return FALSE;
          scan->members++;
        }
      if (!scan_value (scan, depth + 1))
        return FALSE;
    }
  while (skip_char (scan, ','));
  return skip_char (scan, close);
}

static gboolean
scan_string (Scan *scan)
{
  if (!skip_char (scan, '"'))
    return FALSE;
  while (scan->at < scan->end && *scan->at != '"')
    {
      if ((guchar)*scan->at < ' ')
        return FALSE;
      if (*scan->at++ == '\\' && !scan_escape (scan))
        return FALSE;
    }
  return skip_char (scan, '"');
}

static gboolean
scan_escape (Scan *scan)
{
  guint unit;

  if (scan->at == scan->end)
    return FALSE;
  if (*scan->at != 'u')
    return strchr ("\"\\/bfnrt", *scan->at++) != NULL;
  if (!scan_unit (scan, &unit) || unit == 0)
    return FALSE;
  if (unit < 0xd800 || unit > 0xdfff)
    return TRUE;
  return unit < 0xdc00 && skip_char (scan, '\\') && scan_unit (scan, &unit)
         && unit >= 0xdc00 && unit <= 0xdfff;
}

/* A UTF-16 code unit: "u" and four hexadecimal digits. */
static gboolean
scan_unit (Scan *scan, guint *unit)
{
  if (!skip_char (scan, 'u') || scan->end - scan->at < 4)
    return FALSE;
  *unit = 0;
  for (int i = 0; i < 4; i++)
    {
      int digit = g_ascii_xdigit_value (*scan->at++);

      if (digit < 0)
        return FALSE;
      *unit = *unit * 16 + (guint)digit;
    }
  return TRUE;
}

static gboolean
scan_number (Scan *scan)
{
  const char *digits;
  guint n;

  skip_char (scan, '-');
  digits = scan->at;
  n = skip_digits (scan);
  if (n == 0 || n > QG_JSON_MAX_DIGITS || (n > 1 && *digits == '0'))
    return FALSE;
  if (skip_char (scan, '.') && skip_digits (scan) == 0)
    return FALSE;
  if (!skip_char (scan, 'e') && !skip_char (scan, 'E'))
    return TRUE;
  if (!skip_char (scan, '+'))
    skip_char (scan, '-');
  return skip_digits (scan) > 0;
}

gboolean
qg_json_is_valid (const char *text, gsize len, guint *members)
{
  Scan scan = { text, text + len, 0 };
  gboolean valid = g_utf8_validate_len (text, len, NULL)
                   && scan_value (&scan, 0) && scan.at == scan.end;

  *members = scan.members;
  return valid;
}

static guint
count_members (JsonNode *node)
{
  guint n = 0;

  if (JSON_NODE_HOLDS_OBJECT (node))
    {
      JsonObjectIter iter;
      JsonNode *member;

      json_object_iter_init (&iter, json_node_get_object (node));
      while (json_object_iter_next (&iter, NULL, &member))
        n += 1 + count_members (member);
    }
  else if (JSON_NODE_HOLDS_ARRAY (node))
    {
      JsonArray *array = json_node_get_array (node);

      for (guint i = 0; i < json_array_get_length (array); i++)
        n += count_members (json_array_get_element (array, i));
    }
  return n;
}

JsonObject *
qg_json_parse_object (JsonParser *parser, const char *text, gsize len)
{
  JsonNode *root;
  guint members;

  if (len == 0 || !qg_json_is_valid (text, len, &members)
      || !json_parser_load_from_data (parser, text, (gssize)len, NULL))
    return NULL;
  root = json_parser_get_root (parser);
  return root != NULL && JSON_NODE_HOLDS_OBJECT (root)
                 && count_members (root) == members
             ? json_node_get_object (root)
             : NULL;
}
