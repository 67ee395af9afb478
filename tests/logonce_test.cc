#include "lib/logonce.h"
#include <gtest/gtest.h>
#include <string>

namespace
{

class LogOnce : public testing::Test
{
protected:
  QgLogOnce *once = qg_log_once_new ();
  QgLogOnceLeftOut left_out = {};
  ~LogOnce () override { qg_log_once_free (once); }

  bool
  admit (const std::string &sender, QgTime now)
  {
    return qg_log_once_admit (once, sender.c_str (), now, &left_out);
  }
};

} // namespace

TEST_F (LogOnce, ASenderIsLoggedOnceAMinute)
{
  EXPECT_TRUE (admit ("x", 0));
  EXPECT_EQ (left_out.of_sender, 0u);
  for (QgTime now = QG_SEC; now < 60 * QG_SEC; now += QG_SEC)
    EXPECT_FALSE (admit ("x", now));
  EXPECT_TRUE (admit ("y", 30 * QG_SEC));
  EXPECT_EQ (left_out.of_sender, 0u);
  EXPECT_TRUE (admit ("x", 60 * QG_SEC));
  EXPECT_EQ (left_out.of_sender, 59u);
  EXPECT_FALSE (admit ("x", 61 * QG_SEC));
  EXPECT_TRUE (admit ("x", 120 * QG_SEC));
  EXPECT_EQ (left_out.of_sender, 1u);
}

TEST_F (LogOnce, SendersWithoutNumberShareALineAMinute)
{
  const guint n_senders = 100000;
  guint64 n_logged = 0;
  guint64 n_left_out = 0;
  for (guint i = 0; i < n_senders; i++)
    {
      /* Over three and a half minutes. */
      if (admit (std::to_string (i), (QgTime)i * 2100))
        {
          n_logged++;
          n_left_out += left_out.of_sender + left_out.of_others;
        }
    }
  EXPECT_LE (n_logged, 4u * (QG_LOG_ONCE_MAX_SENDERS + 1u));
  EXPECT_LE (n_logged + n_left_out, n_senders);
  EXPECT_TRUE (admit ("last", 600 * QG_SEC));
  EXPECT_TRUE (admit ("0", 600 * QG_SEC));
}

TEST_F (LogOnce, WhatWasLeftOutOfForgottenSendersIsReported)
{
  EXPECT_TRUE (admit ("x", 0));
  EXPECT_FALSE (admit ("x", 1));
  EXPECT_FALSE (admit ("x", 2));
  for (guint i = 1; i < QG_LOG_ONCE_MAX_SENDERS; i++)
    EXPECT_TRUE (admit (std::to_string (i), 3));
  EXPECT_TRUE (admit ("y", 2 * QG_LOG_ONCE_INTERVAL));
  EXPECT_EQ (left_out.of_others, 2u);
  EXPECT_TRUE (admit ("z", 2 * QG_LOG_ONCE_INTERVAL));
  EXPECT_EQ (left_out.of_others, 0u);
}
