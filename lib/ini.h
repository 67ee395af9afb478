/**
 * @file ini.h
 * INI parsing shared by the settings and the configuration document: a list of
 * problems with their line numbers, a scan that records the line numbers that
 * GKeyFile does not keep, and parsers of single values.
 */
#ifndef QG_INI_H
#define QG_INI_H

#include "qg.h"

G_BEGIN_DECLS

enum
{
  QG_INI_MAX_NAME_BYTES
  = 64, /**< longest name of a workspace, dc, service... */
  QG_INI_MAX_PROBLEMS = 50,
  QG_SHA256_BYTES = 32
};

/** The problems of one text, in the order they were found. */
typedef struct
{
  const char *file; /**< file name in messages; not owned */
  GPtrArray *lines; /**< of char *, one message per problem; owned */
  guint omitted;    /**< problems beyond QG_INI_MAX_PROBLEMS, only counted */
} QgProblems;

void qg_problems_init (QgProblems *problems, const char *file);
void qg_problems_clear (QgProblems *problems);
guint qg_problems_count (const QgProblems *problems);

/** Adds the message "file:line: [section] key: text". Leaves out a line number
 * of 0 and parts that are NULL. */
void qg_problems_add (QgProblems *problems, guint line, const char *section,
                      const char *key, const char *format, ...)
    G_GNUC_PRINTF (5, 6);

/** All messages, one per line; a new string, freed by the caller. */
char *qg_problems_text (const QgProblems *problems);

/** Line numbers of the sections and keys of an INI text. */
typedef struct _QgIniLines QgIniLines;

/**
 * Records the line numbers of @a text, whose first line has number @a first.
 * Reports duplicate sections and keys, keys before the first section, lines
 * that are neither section nor key, and bytes that are not UTF-8.
 */
QgIniLines *qg_ini_scan (const char *text, gsize len, guint first,
                         QgProblems *problems);
void qg_ini_lines_free (QgIniLines *lines);

/** The line number of @a key in @a section, or of the section itself when
 * @a key is NULL; 0 if not found. */
guint qg_ini_line (const QgIniLines *lines, const char *section,
                   const char *key);

/** TRUE when @a text is a valid name: letters, digits, '.', '_' and '-', at
 * most QG_INI_MAX_NAME_BYTES, starting with a letter or digit. */
gboolean qg_ini_is_name (const char *text);

/** TRUE when @a text is "ip:port", with [] around an IPv6 address. */
gboolean qg_ini_is_address (const char *text);

/** Parses an unsigned decimal number; FALSE when @a text is not one. */
gboolean qg_ini_read_uint (const char *text, guint64 *value);

/** Parses yes, no, true or false; FALSE for any other text. */
gboolean qg_ini_read_bool (const char *text, gboolean *value);

/** Parses 64 hexadecimal digits into @a bytes; FALSE for any other text. */
gboolean qg_ini_read_sha256 (const char *text, guint8 bytes[QG_SHA256_BYTES]);

/** Splits "a;b;c" into trimmed items and drops empty ones. A new vector, freed
 * by the caller with g_strfreev(). */
char **qg_ini_split (const char *text);

G_END_DECLS

#endif
