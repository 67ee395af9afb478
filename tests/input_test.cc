#include "lib/jsontext.h"
#include "lib/meter.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

bool
is_shallow (const std::string &text)
{
  return qg_json_is_shallow (text.data (), text.size ());
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
  EXPECT_FALSE (is_shallow (std::string (100000, '[')));
  EXPECT_FALSE (is_shallow (std::string (QG_JSON_MAX_DEPTH + 1, '{')));
  EXPECT_TRUE (is_shallow (std::string (QG_JSON_MAX_DEPTH, '[')
                           + std::string (QG_JSON_MAX_DEPTH, ']')));
}

TEST (JsonText, BracketsInStringsDoNotNest)
{
  EXPECT_TRUE (is_shallow ("{\"a\":\"" + std::string (1000, '[') + "\"}"));
  EXPECT_FALSE (
      is_shallow ("{\"a\":\"\\\"\"," + std::string (1000, '[') + "}"));
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
