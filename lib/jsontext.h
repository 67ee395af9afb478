/**
 * @file jsontext.h
 * Parses JSON text from outside. The parser is recursive, so the nesting is
 * checked first: deeply nested input would exhaust the stack.
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
};

/**
 * Whether @a text nests no deeper than QG_JSON_MAX_DEPTH and so can be passed
 * to a recursive parser. It need not be valid JSON, but FALSE for what the
 * parser accepts beyond JSON (comments, strings in single quotes).
 */
gboolean qg_json_is_shallow (const char *text, gsize len);

/** The object that @a text is, owned by @a parser; NULL if it is no complete
 * object or nests too deep. */
JsonObject *qg_json_parse_object (JsonParser *parser, const char *text,
                                  gsize len);

G_END_DECLS

#endif
