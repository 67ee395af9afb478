#include "lib/event.h"
#include "lib/qg.h"
#include <gtest/gtest.h>
#include <set>
#include <string>

TEST (Status, EveryKindHasANameAndARemedy)
{
  std::set<std::string> names;
  for (int i = 0; i < QG_N_STATUS; i++)
    {
      QgStatus status = static_cast<QgStatus> (i);
      names.insert (qg_status_name (status));
      EXPECT_GT (strlen (qg_status_remedy (status)), 5u);
      EXPECT_GE (qg_status_http (status), 200);
    }
  EXPECT_EQ (names.size (), static_cast<size_t> (QG_N_STATUS));
}

TEST (Status, FailTruncatesALongMessage)
{
  QgErr err;
  std::string text (2 * QG_ERR_MESSAGE_BYTES, 'x');
  EXPECT_EQ (qg_fail (&err, QG_E_IO, "%s", text.c_str ()), QG_E_IO);
  EXPECT_EQ (strlen (err.message), QG_ERR_MESSAGE_BYTES - 1u);
}

TEST (Event, NumbersAreUnique)
{
  std::set<int> numbers;
  for (int i = 0; i < QG_N_EVENTS; i++)
    numbers.insert (qg_event_number (static_cast<QgEvent> (i)));
  EXPECT_EQ (numbers.size (), static_cast<size_t> (QG_N_EVENTS));
}

TEST (Event, BrokenInvariantIsCounted)
{
  guint64 before = qg_event_count (QG_EV_INV_TEST);
  EXPECT_FALSE (qg_check_invariant (FALSE, QG_EV_INV_TEST, "on purpose"));
  EXPECT_TRUE (qg_check_invariant (TRUE, QG_EV_INV_TEST, "not reported"));
  EXPECT_EQ (qg_event_count (QG_EV_INV_TEST), before + 1);
}
