#include "libdoc.h"

#include <string.h>

/* The text is cut before each [section] line, comments and empty lines
 * directly above it included, and each piece is read on its own. */
typedef struct
{
  const char *text;
  gsize len;
  gsize at; /* start of the present line */
  guint line;
  gsize piece; /* start of the piece */
  guint piece_line;
  gboolean in_section; /* the piece has its [section] line */
  guint header_line;   /* that line's number */
  gsize above;         /* start of the comments above the present line */
  guint above_line;
  gsize content_end; /* end of the last line with content */
} Cut;

static QgDoc *cut_text (const char *text, gsize len, QgProblems *problems);
static void cut_line (Cut *cut, QgDoc *doc, QgProblems *problems);
static void cut_piece (const Cut *cut, QgDoc *doc, QgProblems *problems);
static char line_kind (const char *text, gsize len);

QgDoc *
qg_doc_parse (const char *text, gsize len, guint64 revision,
              QgProblems *problems)
{
  QgDoc *doc = cut_text (text, len, problems);

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
  QgDoc *doc = cut_text (text, len, problems);
  QgDelta *delta = NULL;

  if (qg_problems_count (problems) == 0)
    delta = qg_doc_diff (NULL, doc);
  qg_doc_unref (doc);
  return delta;
}

/* The sections of the text, each checked on its own only. */
static QgDoc *
cut_text (const char *text, gsize len, QgProblems *problems)
{
  QgDoc *doc = qg_doc_new ();
  Cut cut = { .text = text, .len = len, .line = 1, .piece_line = 1 };

  if (!g_utf8_validate_len (text, len, NULL))
    {
      qg_problems_add (problems, 0, NULL, NULL,
                       "the document is not UTF-8; save it as UTF-8");
      return doc;
    }
  while (cut.at < len)
    cut_line (&cut, doc, problems);
  cut_piece (&cut, doc, problems);
  return doc;
}

static void
cut_line (Cut *cut, QgDoc *doc, QgProblems *problems)
{
  const char *start = cut->text + cut->at;
  const char *newline = memchr (start, '\n', cut->len - cut->at);
  gsize len
      = newline != NULL ? (gsize)(newline - start) + 1 : cut->len - cut->at;
  char kind = line_kind (start, len);

  if (kind == '[')
    {
      gsize from = cut->above_line != 0 ? cut->above : cut->at;
      guint from_line = cut->above_line != 0 ? cut->above_line : cut->line;

      if (cut->in_section)
        {
          cut_piece (cut, doc, problems);
          cut->piece = from;
          cut->piece_line = from_line;
        }
      cut->in_section = TRUE;
      cut->header_line = cut->line;
    }
  if (kind == '[' || kind == '=')
    {
      cut->above_line = 0;
      cut->content_end = cut->at + len;
    }
  else if (kind == '#' && cut->above_line == 0)
    {
      cut->above = cut->at;
      cut->above_line = cut->line;
    }
  cut->at += len;
  cut->line++;
}

/* Reads the piece that ends at the last line with content. */
static void
cut_piece (const Cut *cut, QgDoc *doc, QgProblems *problems)
{
  QgDocSection *section;
  gsize end = cut->content_end;

  if (!cut->in_section && end <= cut->piece)
    return;
  while (end > cut->piece && g_ascii_isspace (cut->text[end - 1]))
    end--;
  section = qg_doc_section_parse (cut->text + cut->piece, end - cut->piece,
                                  cut->piece_line, problems);
  if (section == NULL)
    return;
  if (qg_doc_section (doc, section->id) != NULL)
    qg_problems_add (problems, cut->header_line, section->id, NULL,
                     "the section stands twice; keep one");
  qg_doc_insert (doc, section);
}

/* '[' a section, '#' a comment, ' ' an empty line, '=' anything else. */
static char
line_kind (const char *text, gsize len)
{
  for (gsize i = 0; i < len; i++)
    if (!g_ascii_isspace (text[i]))
      return text[i] == '[' || text[i] == '#' ? text[i] : '=';
  return ' ';
}
