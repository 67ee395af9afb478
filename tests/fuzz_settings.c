/* Feeds arbitrary text to the settings parser, which must not crash and must
 * return either settings or problems, never both or neither. */
#include "lib/settings.h"

#include <stdint.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  QgProblems problems;
  QgSettings *settings;

  qg_problems_init (&problems, "fuzz");
  settings = qg_settings_parse ((const char *)data, size, &problems);
  if ((settings == NULL) != (qg_problems_count (&problems) > 0))
    abort ();
  qg_settings_unref (settings);
  qg_problems_clear (&problems);
  return 0;
}
