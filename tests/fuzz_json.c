/* Feeds arbitrary text to the JSON parser behind its check of the nesting,
 * which must not exhaust the stack. Runs of brackets are repeated, because the
 * fuzzer would have to find long inputs otherwise. */
#include "lib/jsontext.h"

#include <stdint.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  JsonParser *parser = json_parser_new_immutable ();
  GString *text = g_string_new (NULL);

  for (size_t i = 0; i < size; i++)
    for (int n = data[i] == '[' || data[i] == '{' ? 200 : 1; n > 0; n--)
      g_string_append_c (text, (char)data[i]);
  qg_json_parse_object (parser, (const char *)data, size);
  qg_json_parse_object (parser, text->str, text->len);
  g_string_free (text, TRUE);
  g_object_unref (parser);
  return 0;
}
