/**
 * @file jsonform.h
 * Checks the members of a JSON object against a table before they are read, so
 * that what is there and cannot be read is refused, and is never taken for
 * missing. Members that are not in the table are ignored.
 */
#ifndef QG_JSONFORM_H
#define QG_JSONFORM_H

#include "qg.h"

#include <json-glib/json-glib.h>

G_BEGIN_DECLS

typedef enum
{
  QG_JSONFORM_TEXT,
  QG_JSONFORM_WHOLE, /**< a number without a fraction */
  QG_JSONFORM_NUMBER,
  QG_JSONFORM_FLAG,     /**< true or false */
  QG_JSONFORM_LIST,     /**< a list of anything */
  QG_JSONFORM_TEXTS,    /**< a list of texts */
  QG_JSONFORM_OBJECT,   /**< an object of the field's form */
  QG_JSONFORM_OBJECTS,  /**< a list of objects of the field's form */
  QG_JSONFORM_TEXT_MAP, /**< an object whose members are texts or null */
  QG_N_JSONFORM_KINDS
} QgJsonformKind;

/** Largest whole number that may be the max of a field: 18 digits, which fit
 * into a gint64. */
#define QG_JSONFORM_WHOLE_MAX 999999999999999999.0

typedef struct _QgJsonform QgJsonform;

/** A member of an object. */
typedef struct
{
  const char *name;
  QgJsonformKind kind;
  gboolean required;
  double max;             /**< of numbers; 0: their range is not checked */
  const QgJsonform *form; /**< of objects */
} QgJsonformField;

struct _QgJsonform
{
  const QgJsonformField *fields;
  guint n_fields;
};

/** A form of the fields in the array @a table. */
#define QG_JSONFORM(table)                                                     \
  {                                                                            \
    (table), G_N_ELEMENTS (table)                                              \
  }

/**
 * Whether all members of @a object that @a form names can be read, and none
 * that it requires is missing.
 *
 * @param err on failure, QG_E_INVALID and a message that names the member by
 *            its path, such as "routes[3].timeout_ms".
 */
gboolean qg_jsonform_check (JsonObject *object, const QgJsonform *form,
                            QgErr *err);

/* Members of an object that was checked; unset if the member is missing. */

gboolean qg_jsonform_text (JsonObject *object, const char *name,
                           const char **out);
gboolean qg_jsonform_number (JsonObject *object, const char *name, double *out);
gboolean qg_jsonform_whole (JsonObject *object, const char *name, guint64 *out);
gboolean qg_jsonform_flag (JsonObject *object, const char *name, gboolean *out);
/** The list @a name; NULL if it is missing. */
JsonArray *qg_jsonform_list (JsonObject *object, const char *name);
/** The object @a name; NULL if it is missing. */
JsonObject *qg_jsonform_object (JsonObject *object, const char *name);

G_END_DECLS

#endif
