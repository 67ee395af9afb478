/**
 * @file ini_table.h
 * Tables of INI groups and keys: one row holds the type, range, default and
 * help of a key and where its value goes in a record. The settings, the
 * configuration document and their manual pages are made from such tables.
 */
#ifndef QG_INI_TABLE_H
#define QG_INI_TABLE_H

#include "ini.h"

G_BEGIN_DECLS

/** How the text of a value is read, and into which C type. */
typedef enum
{
  QG_VALUE_NAME,    /**< QgStr *: letters, digits, '.', '_' and '-' */
  QG_VALUE_TEXT,    /**< QgStr * */
  QG_VALUE_ADDRESS, /**< QgStr *: ip:port */
  QG_VALUE_UINT,    /**< guint64 */
  QG_VALUE_REAL,    /**< double, 0 or more */
  QG_VALUE_BOOL,    /**< gboolean */
  QG_VALUE_WORD,    /**< guint64: the index of one of words */
  QG_VALUE_WORDS,   /**< guint64: bits of the indexes of words */
  QG_VALUE_SHA256,  /**< guint8[32]: 64 hexadecimal digits */
  QG_VALUE_SHA256S, /**< QgHashes */
  QG_VALUE_NAMES,   /**< QgNames, sorted, without repeats */
  QG_VALUE_MEMBERS, /**< QgNames of name@ip:port */
  QG_N_VALUES
} QgValueType;

/** A list of names. */
typedef struct
{
  guint n;
  QgStr **items;
} QgNames;

/** A list of SHA-256 sums. */
typedef struct
{
  guint n;
  guint8 *bytes; /**< n times QG_SHA256_BYTES */
} QgHashes;

/** One key; with @a fallback NULL the key must be given. */
typedef struct
{
  const char *key;
  QgValueType type;
  gsize offset; /**< in the record of the group */
  guint64 min;
  guint64 max;
  const char *const *words;
  const char *fallback;
  const char *help;
} QgKeyRow;

/** One group; a named one is written [kind NAME]. */
typedef struct
{
  const char *kind;
  gboolean named;
  const char *help;
  const QgKeyRow *keys;
  guint n_keys;
} QgGroupRow;

/** Where a group is read from and where its problems go. */
typedef struct
{
  GKeyFile *file;
  const char *section; /**< NULL: not in the file, all defaults */
  const QgIniLines *lines;
  QgProblems *problems;
} QgGroupSource;

/** The row whose kind and form (named or not) @a section has; @a name gets the
 * NAME or NULL. */
const QgGroupRow *qg_group_find (const QgGroupRow *groups, guint n,
                                 const char *section, const char **name);

/** Reads all keys of @a group into @a record, which is zeroed before;
 * unknown keys are refused. */
void qg_group_read (const QgGroupRow *group, const QgGroupSource *source,
                    gpointer record);

/** Releases what qg_group_read() put into @a record. */
void qg_group_clear (const QgGroupRow *group, gpointer record);

/** Appends the group and its keys as mdoc text. */
void qg_group_manual (const QgGroupRow *group, GString *out);

G_END_DECLS

#endif
