#include "lib/jsontext.h"
#include "lib/meter.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

bool
is_valid (const std::string &text)
{
  guint members;

  return qg_json_is_valid (text.data (), text.size (), &members);
}

bool
is_object (const std::string &text)
{
  g_autoptr (JsonParser) parser = json_parser_new_immutable ();

  return qg_json_parse_object (parser, text.data (), text.size ()) != nullptr;
}

guint64
metered_tokens (QgMeterKind kind, const std::string &answer, gsize chunk,
                gsize prompt_bytes = 0)
{
  QgMeter *meter = qg_meter_new (kind, prompt_bytes, 0);
  for (gsize at = 0; at < answer.size (); at += chunk)
    {
      guint64 before = qg_meter_units (meter, 0);
      std::string part = answer.substr (at, chunk);
      qg_meter_feed (meter, reinterpret_cast<const guint8 *> (part.data ()),
                     part.size ());
      EXPECT_GE (qg_meter_units (meter, 0), before);
    }
  guint64 units = qg_meter_final_units (meter, 0);
  qg_meter_free (meter);
  return units;
}

}

// The JSON parser is recursive, so nesting is limited before parsing: a body of
// 100,000 opening brackets would overflow the parser's stack.
TEST (JsonText, DeepNestingIsRefusedBeforeParsing)
{
  EXPECT_FALSE (is_valid (std::string (100000, '[')));
  EXPECT_FALSE (is_valid (std::string (QG_JSON_MAX_DEPTH + 1, '{')));
  EXPECT_TRUE (is_valid (std::string (QG_JSON_MAX_DEPTH, '[')
                         + std::string (QG_JSON_MAX_DEPTH, ']')));
}

// json-glib reads more than JSON, and reads some texts differently from others.
TEST (JsonText, WhatOthersReadDifferentlyIsRefused)
{
  for (const char *good :
       { "{}", " {\"a\":[1,-2.5e+3,0,true,null,\"\\u00e4\\ud83d\\ude00\"]}\n",
         "{\"a\":{\"b\":1},\"c\":{\"b\":1}}", "{\"a\":0.5}" })
    EXPECT_TRUE (is_object (good)) << good;
  for (const char *bad : { "",
                           "{",
                           "[]",
                           "7",
                           "{} {}",
                           "{}x",
                           "{\"a\":1,}",
                           "{\"a\":[1,]}",
                           "{a:1}",
                           "{'a':1}",
                           "{\"a\":01}",
                           "{\"a\":.5}",
                           "{\"a\":5.}",
                           "{\"a\":0x10}",
                           "{\"a\":+1}",
                           "{\"a\":1e}",
                           "{\"a\":NaN}",
                           "{\"a\":1234567890123456789}",
                           "{\"a\":\"\\u0000\"}",
                           "{\"a\":\"\\ud800\"}",
                           "{\"a\":\"\\udc00\"}",
                           "{\"a\":\"\\x\"}",
                           "{\"a\":\"\n\"}",
                           "{\"a\":\"\xff\"}",
                           "{\"a\":1 \"b\":2}",
                           "{\"a\":True}",
                           "/* */{}",
                           "var a = {};",
                           "{\"a\":1,\"a\":2}",
                           "{\"a\":\"b",
                           "{\"a\":\"\\" })
    EXPECT_FALSE (is_object (bad)) << bad;
  EXPECT_FALSE (is_object (std::string ("{\"a\":\"\0\"}", 9)));
}

TEST (JsonText, BracketsInStringsDoNotNest)
{
  EXPECT_TRUE (is_valid ("{\"a\":\"" + std::string (1000, '[') + "\"}"));
  EXPECT_FALSE (is_valid ("{\"a\":\"\\\"\"," + std::string (1000, '[') + "}"));
}

TEST (Meter, ReportedUsageOverridesTheEventCount)
{
  std::string stream;
  for (int i = 0; i < 10; i++)
    stream += "data: {\"choices\":[]}\n\n";
  for (gsize chunk : { 1u, 7u, 4096u })
    {
      EXPECT_EQ (
          metered_tokens (QG_METER_STREAM, stream + "data: [DONE]\n\n", chunk),
          10u);
      EXPECT_EQ (metered_tokens (QG_METER_STREAM,
                                 stream
                                     + "data: {\"usage\":{\"prompt_tokens\":7,"
                                       "\"completion_tokens\":30}}\n\n",
                                 chunk),
                 37u);
    }
}

TEST (Meter, UsageIsFoundAtTheEndOfALongObject)
{
  std::string answer = "{\"content\":\"" + std::string (9000, 'x')
                       + "\",\"usage\":{\"prompt_tokens\":3,"
                         "\"completion_tokens\":40,\"total_tokens\":43}}";
  EXPECT_EQ (metered_tokens (QG_METER_JSON, answer, 1000), 43u);
}

TEST (Meter, AnswerWithoutUsageIsChargedForThePrompt)
{
  EXPECT_EQ (metered_tokens (QG_METER_JSON, "{}", 1, 400), 100u);
}
