/**
 * @file jsontext.h
 * Parses JSON text from outside. json-glib accepts more than JSON, such as
 * comments, several values in a row and numbers out of range, and it cuts
 * strings off at a NUL. Such text would be read differently by others, so the
 * text is checked against the grammar of RFC 8259 first. The check also bounds
 * the nesting: the parser is recursive, and deeply nested input would exhaust
 * the stack.
 */
#ifndef QG_JSONTEXT_H
#define QG_JSONTEXT_H

#include "qg.h"

#include <json-glib/json-glib.h>

G_BEGIN_DECLS

enum
{
  /** Maximum nesting depth of arrays and objects. */
  QG_JSON_MAX_DEPTH = 64,
  /** Maximum number of digits of an integer: more do not fit into 64 bits. */
  QG_JSON_MAX_DIGITS = 18,
};

/**
 * Whether @a text is one JSON value, and reads the same everywhere: valid
 * UTF-8, nested no deeper than QG_JSON_MAX_DEPTH, integers of at most
 * QG_JSON_MAX_DIGITS digits, no NUL and no half of a surrogate pair in strings.
 *
 * @param members the number of members of all objects.
 */
gboolean qg_json_is_valid (const char *text, gsize len, guint *members);

/** The object that @a text is, owned by @a parser; NULL if the text is not
 * valid, is no object, or has two members of one name in an object. */
JsonObject *qg_json_parse_object (JsonParser *parser, const char *text,
                                  gsize len);

G_END_DECLS

#endif
