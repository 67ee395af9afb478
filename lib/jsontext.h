/**
 * @file jsontext.h
 * Checks JSON text before it is passed to a recursive parser, so that deeply
 * nested input cannot exhaust the stack.
 */
#ifndef QG_JSONTEXT_H
#define QG_JSONTEXT_H

#include "qg.h"

G_BEGIN_DECLS

enum
{
  /** Maximum nesting depth of arrays and objects. */
  QG_JSON_MAX_DEPTH = 64,
};

/**
 * Whether @a text nests no deeper than QG_JSON_MAX_DEPTH and so can be passed
 * to a recursive parser. It need not be valid JSON.
 */
gboolean qg_json_is_shallow (const char *text, gsize len);

G_END_DECLS

#endif
