#include "lib/doc.h"
#include "lib/settings.h"
#include <gtest/gtest.h>
#include <string>

namespace
{

void
expect_in (const char *page, char *table)
{
  char *text = NULL;
  ASSERT_TRUE (g_file_get_contents (page, &text, NULL, NULL)) << page;
  EXPECT_NE (std::string (text).find (table), std::string::npos)
      << page << " must contain this text verbatim:\n"
      << table;
  g_free (text);
  g_free (table);
}

} // namespace

TEST (Man, SettingsPageHoldsTheTableOfKeys)
{
  expect_in ("man/quetzalgate.conf.5", qg_settings_manual ());
}

TEST (Man, DocumentPageHoldsTheTableOfKeys)
{
  expect_in ("man/quetzalgate-document.5", qg_doc_manual ());
}
