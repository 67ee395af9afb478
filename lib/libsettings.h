/**
 * @file libsettings.h
 * The table of settings, shared by the reader and the manual page.
 */
#ifndef QG_LIBSETTINGS_H
#define QG_LIBSETTINGS_H

#include "settings.h"

/** Groups of the settings; NAMED ones are written [kind NAME]. */
typedef enum
{
  QG_GROUP_DAEMON,
  QG_GROUP_ENTRY,
  QG_GROUP_AGENT,
  QG_GROUP_CONTROL,
  QG_GROUP_PEERS,
  QG_GROUP_OPERATOR,
  QG_N_GROUPS
} QgGroup;

typedef struct
{
  const char *kind;
  gboolean named;
  const char *help;
} QgGroupRow;

/** How the text of a value is read. */
typedef enum
{
  QG_VALUE_NAME,
  QG_VALUE_TEXT,
  QG_VALUE_ADDRESS,
  QG_VALUE_UINT,
  QG_VALUE_BOOL,
  QG_VALUE_WORD,   /**< one of words; stored as its index */
  QG_VALUE_WORDS,  /**< list of words; stored as bits of their indexes */
  QG_VALUE_SHA256, /**< 64 hexadecimal digits */
  QG_VALUE_PEERS   /**< list of name@ip:port */
} QgValueType;

/** One key; @a fallback NULL: the key must be given, unless an optional role
 * leaves its group out. */
typedef struct
{
  QgGroup group;
  const char *key;
  QgValueType type;
  gsize offset; /* in the record of the group */
  guint64 min;
  guint64 max;
  const char *const *words;
  const char *fallback;
  const char *help;
} QgSettingRow;

extern const QgGroupRow qg_setting_groups[QG_N_GROUPS];
extern const QgSettingRow qg_setting_rows[];
extern const guint qg_n_setting_rows;

/** The range of @a row in words ("a number from 1 to 9"); freed by the
 * caller. */
char *qg_setting_range (const QgSettingRow *row);

#endif
