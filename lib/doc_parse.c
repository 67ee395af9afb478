#include "libdoc.h"

#include <string.h>

/* Splits the text into one piece for each section and parses each piece on its
 * own. A piece starts at the first comment after the previous section, or at
 * the [section] line if no comment comes before this line. */
typedef struct
{
  const char *text;
  gsize len;
  gsize line_start;  /* start of the current line */
  guint line;        /* number of the current line */
  gsize piece_start; /* start of the current piece */
  guint piece_line;
  gboolean in_section;  /* whether the piece has a [section] line */
  guint header_line;    /* number of the [section] line */
  gsize comments_start; /* start of the comments above the current line */
  guint comments_line;  /* line number of these comments; 0: no comments */
  gsize content_end; /* end of the last line other than blanks and comments */
} Splitter;

static QgDoc *split_text (const char *text, gsize len, QgProblems *problems);
static void split_line (Splitter *splitter, QgDoc *doc, QgProblems *problems);
static void parse_piece (const Splitter *splitter, QgDoc *doc,
                         QgProblems *problems);
static char line_kind (const char *text, gsize len);

QgDoc *
qg_doc_parse (const char *text, gsize len, guint64 revision,
              QgProblems *problems)
{
  QgDoc *doc = split_text (text, len, problems);

  doc->revision = revision;
  if (qg_problems_count (problems) == 0)
    qg_doc_validate (doc, problems);
  if (qg_problems_count (problems) == 0)
    return doc;
  qg_doc_unref (doc);
  return NULL;
}

QgDelta *
qg_doc_parse_sections (const char *text, gsize len, QgProblems *problems)
{
  QgDoc *doc = split_text (text, len, problems);
  QgDelta *delta = NULL;

  if (qg_problems_count (problems) == 0)
    delta = qg_doc_diff (NULL, doc);
  qg_doc_unref (doc);
  return delta;
}

/* Parses the sections of the text without checking references between
 * sections. */
static QgDoc *
split_text (const char *text, gsize len, QgProblems *problems)
{
  QgDoc *doc = qg_doc_new ();
  Splitter splitter = { .text = text, .len = len, .line = 1, .piece_line = 1 };

  if (!g_utf8_validate_len (text, len, NULL))
    {
      qg_problems_add (problems, 0, NULL, NULL,
                       "the document is not UTF-8; save it as UTF-8");
      return doc;
    }
  while (splitter.line_start < len)
    split_line (&splitter, doc, problems);
  parse_piece (&splitter, doc, problems);
  return doc;
}

static void
split_line (Splitter *splitter, QgDoc *doc, QgProblems *problems)
{
  const char *start = splitter->text + splitter->line_start;
  const char *newline
      = memchr (start, '\n', splitter->len - splitter->line_start);
  gsize len = newline != NULL ? (gsize)(newline - start) + 1
                              : splitter->len - splitter->line_start;
  char kind = line_kind (start, len);

  if (kind == '[')
    {
      gsize from = splitter->comments_line != 0 ? splitter->comments_start
                                                : splitter->line_start;
      guint from_line = splitter->comments_line != 0 ? splitter->comments_line
                                                     : splitter->line;

      if (splitter->in_section)
        {
          parse_piece (splitter, doc, problems);
          splitter->piece_start = from;
          splitter->piece_line = from_line;
        }
      splitter->in_section = TRUE;
      splitter->header_line = splitter->line;
    }
  if (kind == '[' || kind == '=')
    {
      splitter->comments_line = 0;
      splitter->content_end = splitter->line_start + len;
    }
  else if (kind == '#' && splitter->comments_line == 0)
    {
      splitter->comments_start = splitter->line_start;
      splitter->comments_line = splitter->line;
    }
  splitter->line_start += len;
  splitter->line++;
}

/* Parses the current piece, which ends at content_end. */
static void
parse_piece (const Splitter *splitter, QgDoc *doc, QgProblems *problems)
{
  QgDocSection *section;
  gsize end = splitter->content_end;

  if (!splitter->in_section && end <= splitter->piece_start)
    return;
  while (end > splitter->piece_start
         && g_ascii_isspace (splitter->text[end - 1]))
    end--;
  section = qg_doc_section_parse (splitter->text + splitter->piece_start,
                                  end - splitter->piece_start,
                                  splitter->piece_line, problems);
  if (section == NULL)
    return;
  if (qg_doc_section (doc, section->id) != NULL)
    qg_problems_add (problems, splitter->header_line, section->id, NULL,
                     "the section stands twice; keep one");
  qg_doc_insert (doc, section);
}

/* '[' for a section header, '#' for a comment, ' ' for a blank line, '=' for
 * anything else. */
static char
line_kind (const char *text, gsize len)
{
  for (gsize i = 0; i < len; i++)
    if (!g_ascii_isspace (text[i]))
      return text[i] == '[' || text[i] == '#' ? text[i] : '=';
  return ' ';
}
