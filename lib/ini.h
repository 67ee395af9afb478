/**
 * @file ini.h
 * What the settings and the configuration document share: a list of problems
 * with their places, a scan of INI text for the line numbers that GKeyFile
 * does not keep, and the readers of single values.
 */
#ifndef QG_INI_H
#define QG_INI_H

#include "qg.h"

G_BEGIN_DECLS

enum
{
  QG_INI_NAME_BYTES = 64, /**< longest name of a workspace, dc, service... */
  QG_INI_MAX_PROBLEMS = 50,
  QG_SHA256_BYTES = 32
};

/** All problems of one text, in the order they were found. */
typedef struct
{
  const char *file; /**< as messages name it; not owned */
  GPtrArray *lines; /**< of char *, one message a problem, owned */
  guint more;       /**< problems over QG_INI_MAX_PROBLEMS, counted only */
} QgProblems;

void qg_problems_init (QgProblems *problems, const char *file);
void qg_problems_clear (QgProblems *problems);
guint qg_problems_count (const QgProblems *problems);

/** Adds "file:line: [section] key: text"; line 0 and NULLs are left out. */
void qg_problems_add (QgProblems *problems, guint line, const char *section,
                      const char *key, const char *format, ...)
    G_GNUC_PRINTF (5, 6);

/** All messages, one a line; a new string, freed by the caller. */
char *qg_problems_text (const QgProblems *problems);

/** Line numbers of the sections and keys of one INI text. */
typedef struct _QgIniLines QgIniLines;

/**
 * Scans @a text, whose first line has the number @a first; reports sections and
 * keys that stand twice, keys before the first section, lines that are neither,
 * and bytes that are not UTF-8.
 */
QgIniLines *qg_ini_scan (const char *text, gsize len, guint first,
                         QgProblems *problems);
void qg_ini_lines_free (QgIniLines *lines);

/** The line of @a key of @a section, or of the section when key is NULL; 0 if
 * there is none. */
guint qg_ini_line (const QgIniLines *lines, const char *section,
                   const char *key);

/** TRUE when @a text is a name: letters, digits, '.', '_' and '-', at most
 * QG_INI_NAME_BYTES, with a letter or digit first. */
gboolean qg_ini_is_name (const char *text);

/** TRUE when @a text is "ip:port", with [] around an IPv6 number. */
gboolean qg_ini_is_address (const char *text);

/** Reads a decimal number without sign, FALSE when it is not one. */
gboolean qg_ini_read_uint (const char *text, guint64 *value);

/** Reads yes/no, true/false; FALSE when it is neither. */
gboolean qg_ini_read_bool (const char *text, gboolean *value);

/** Reads 64 hexadecimal digits into @a bytes. */
gboolean qg_ini_read_sha256 (const char *text, guint8 bytes[QG_SHA256_BYTES]);

/** Splits "a;b;c"; empty items are left out. A new vector, freed by the
 * caller with g_strfreev(). */
char **qg_ini_split (const char *text);

G_END_DECLS

#endif
