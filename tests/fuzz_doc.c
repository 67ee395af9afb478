/* Feeds arbitrary text to the document parser, which must not crash and must
 * return either a document or problems. A valid document must stay unchanged
 * when it is formatted and parsed again. */
#include "lib/doc.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static QgDoc *
parse (const char *text, gsize len, QgProblems *problems)
{
  qg_problems_init (problems, "fuzz");
  return qg_doc_parse (text, len, 1, problems);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  QgProblems problems;
  QgDoc *doc = parse ((const char *)data, size, &problems);

  if ((doc == NULL) != (qg_problems_count (&problems) > 0))
    abort ();
  qg_problems_clear (&problems);
  if (doc != NULL)
    {
      gsize len;
      char *text = qg_doc_format (doc, &len);
      QgDoc *reparsed = parse (text, len, &problems);
      QgDelta *changes;

      if (reparsed == NULL)
        abort ();
      changes = qg_doc_diff (doc, reparsed);
      if (changes->items->len > 0)
        abort ();
      qg_delta_unref (changes);
      qg_doc_unref (reparsed);
      qg_problems_clear (&problems);
      g_free (text);
    }
  qg_doc_unref (doc);
  return 0;
}
