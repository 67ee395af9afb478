/**
 * @file jsontext.h
 * A look at JSON text before a parser that recurses gets it.
 */
#ifndef QG_JSONTEXT_H
#define QG_JSONTEXT_H

#include "qg.h"

G_BEGIN_DECLS

enum
{
  /** Deepest nesting of arrays and objects that is read. */
  QG_JSON_MAX_DEPTH = 64,
};

/**
 * Whether @a text may be given to a recursive parser: it nests no deeper than
 * QG_JSON_MAX_DEPTH. Says nothing of its validity.
 */
gboolean qg_json_is_shallow (const char *text, gsize len);

G_END_DECLS

#endif
