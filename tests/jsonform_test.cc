#include "lib/jsonform.h"
#include "lib/jsontext.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

const QgJsonformField kItemFields[] = {
  { "weight", QG_JSONFORM_WHOLE, TRUE, 10, nullptr },
};
const QgJsonform kItem = QG_JSONFORM (kItemFields);

const QgJsonformField kFields[] = {
  { "name", QG_JSONFORM_TEXT, TRUE, 0, nullptr },
  { "rate", QG_JSONFORM_NUMBER, FALSE, 100, nullptr },
  { "free", QG_JSONFORM_NUMBER, FALSE, 0, nullptr },
  { "open", QG_JSONFORM_FLAG, FALSE, 0, nullptr },
  { "keys", QG_JSONFORM_TEXTS, FALSE, 0, nullptr },
  { "item", QG_JSONFORM_OBJECT, FALSE, 0, &kItem },
  { "items", QG_JSONFORM_OBJECTS, FALSE, 0, &kItem },
  { "texts", QG_JSONFORM_TEXT_MAP, FALSE, 0, nullptr },
};
const QgJsonform kForm = QG_JSONFORM (kFields);

/* The message of the refusal, or "" if the text is accepted. */
std::string
refusal (const std::string &text)
{
  g_autoptr (JsonParser) parser = json_parser_new_immutable ();
  JsonObject *object
      = qg_json_parse_object (parser, text.data (), text.size ());
  QgErr err = {};

  EXPECT_NE (object, nullptr) << text;
  return object == nullptr || qg_jsonform_check (object, &kForm, &err)
             ? ""
             : err.message;
}

}

TEST (Jsonform, MissingMembersAndUnknownOnesAreAccepted)
{
  EXPECT_EQ (refusal ("{\"name\":\"a\"}"), "");
  EXPECT_EQ (refusal ("{\"name\":\"\",\"rate\":0.5,\"free\":-3,\"open\":false,"
                      "\"keys\":[\"x\"],\"item\":{\"weight\":10},\"items\":[{"
                      "\"weight\":0}],\"texts\":{\"a\":null,\"b\":\"c\"},"
                      "\"other\":[7]}"),
             "");
}

/* Fault: a field of another type was taken for a missing one. */
TEST (Jsonform, WhatIsThereAndCannotBeReadIsNamed)
{
  struct
  {
    const char *member;
    const char *path;
  } cases[] = {
    { "\"rate\":\"5\"", "rate " },
    { "\"rate\":null", "rate " },
    { "\"rate\":-1", "rate " },
    { "\"rate\":101", "rate " },
    { "\"rate\":1e999", "rate " },
    { "\"open\":1", "open " },
    { "\"open\":[]", "open " },
    { "\"keys\":{\"a\":\"b\"}", "keys " },
    { "\"keys\":\"a\"", "keys " },
    { "\"keys\":[\"a\",1]", "keys " },
    { "\"item\":[]", "item " },
    { "\"item\":{\"weight\":1.5}", "item.weight " },
    { "\"item\":{}", "item.weight " },
    { "\"items\":{}", "items " },
    { "\"items\":[{\"weight\":1},{\"weight\":\"1\"}]", "items[1].weight " },
    { "\"items\":[{\"weight\":1},7]", "items[1] " },
    { "\"texts\":{\"a\":1}", "texts " },
    { "\"texts\":[]", "texts " },
  };

  for (const auto &item : cases)
    {
      std::string why
          = refusal ("{\"name\":\"a\"," + std::string (item.member) + "}");

      EXPECT_EQ (why.rfind (item.path, 0), 0u) << item.member << ": " << why;
    }
  EXPECT_EQ (refusal ("{}").rfind ("name ", 0), 0u);
  EXPECT_EQ (refusal ("{\"name\":7}").rfind ("name ", 0), 0u);
}
