/**
 * @file ini_table.h
 * Tables of INI groups and keys. A row holds the type, range, default and help
 * text of a key, and the offset of its value in a record. The settings, the
 * configuration document and their manual pages are built from such tables.
 */
#ifndef QG_INI_TABLE_H
#define QG_INI_TABLE_H

#include "ini.h"

G_BEGIN_DECLS

/** Syntax of a value and the C type it is parsed into. */
typedef enum
{
  QG_VALUE_NAME,        /**< QgStr *: letters, digits, '.', '_' and '-' */
  QG_VALUE_TEXT,        /**< QgStr * */
  QG_VALUE_ADDRESS,     /**< QgStr *: ip:port */
  QG_VALUE_UINT,        /**< guint64 */
  QG_VALUE_REAL,        /**< double, 0 or more */
  QG_VALUE_BOOL,        /**< gboolean */
  QG_VALUE_ENUM,        /**< guint64: index into words */
  QG_VALUE_FLAGS,       /**< guint64: one bit for each index into words */
  QG_VALUE_SHA256,      /**< guint8[32]: 64 hexadecimal digits */
  QG_VALUE_SHA256_LIST, /**< QgHashes */
  QG_VALUE_NAME_LIST,   /**< QgNames, sorted, without duplicates */
  QG_VALUE_MEMBER_LIST, /**< QgNames: items name@ip:port */
  QG_N_VALUES
} QgValueType;

/** A list of names. */
typedef struct
{
  guint n;
  QgStr **items;
} QgNames;

/** A list of SHA-256 hashes. */
typedef struct
{
  guint n;
  guint8 *bytes; /**< n * QG_SHA256_BYTES bytes */
} QgHashes;

/** A key of a group. */
typedef struct
{
  const char *key;
  QgValueType type;
  gsize offset; /**< offset of the value in the group's record */
  guint64 min;
  guint64 max;
  const char *const *words; /**< NULL-terminated list of allowed words */
  const char *fallback;     /**< default value; NULL: the key is required */
  const char *help;
} QgKeyRow;

/** A group, written [kind], or [kind NAME] if @a named. */
typedef struct
{
  const char *kind;
  gboolean named;
  const char *help;
  const QgKeyRow *keys;
  guint n_keys;
} QgGroupRow;

/** Input of qg_group_read() and the list that collects its problems. */
typedef struct
{
  GKeyFile *file;
  const char *section; /**< NULL: not in the file; use the defaults */
  const QgIniLines *lines;
  QgProblems *problems;
} QgGroupSource;

/**
 * Finds the row that matches the kind of @a section and the presence of a NAME.
 *
 * @param name is set to the NAME, or to NULL if @a section has none.
 * @return NULL when no row matches.
 */
const QgGroupRow *qg_group_find (const QgGroupRow *groups, guint n,
                                 const char *section, const char **name);

/** Reads all keys of @a group into @a record, which the caller has zeroed.
 * Reports unknown keys, missing keys and invalid values as problems. */
void qg_group_read (const QgGroupRow *group, const QgGroupSource *source,
                    gpointer record);

/** Releases the values that qg_group_read() stored in @a record. */
void qg_group_clear (const QgGroupRow *group, gpointer record);

/** Appends the documentation of the group and its keys as mdoc text. */
void qg_group_manual (const QgGroupRow *group, GString *out);

G_END_DECLS

#endif
