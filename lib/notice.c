#include "notice.h"

#include <string.h>

/** Longest text that is read as a number. */
#define NUMBER_MAX_BYTES 32
/** Requests per second above which a limit makes no difference. */
#define LIMIT_MAX 1e6
/** Tokens that all senders together may save: those of so many seconds, and a
 * few at the lowest limit. */
#define SAVED_SECONDS 1.5
#define SAVED_MIN     3
/** Steps of the ramp after a pause; the last allows 65,536 requests. */
#define RAMP_STEPS 17

static guint apply_limit (QgNoticeState *state, double limit, QgTime at,
                          gboolean heard, QgTime now);
static guint end_limit (QgNoticeState *state, QgTime at, gboolean heard);
static guint ramp_limit (const QgNoticeState *state, QgTime now, QgTime *until);
static void collect_tokens (QgNoticeState *state, const QgNoticeQuota *quota,
                            QgTime now);

static guint
apply_limit (QgNoticeState *state, double limit, QgTime at, gboolean heard,
             QgTime now)
{
  double applied = MAX (limit, QG_NOTICE_LIMIT_MIN);
  gboolean changed = !state->limited || state->limit != applied;

  if (!state->limited)
    {
      state->tokens = 0;
      state->tokens_at = now;
    }
  state->limited = TRUE;
  state->limit = applied;
  state->limit_at = at;
  state->heard = heard;
  return changed ? QG_NOTICE_LIMIT_CHANGED : 0;
}

static guint
end_limit (QgNoticeState *state, QgTime at, gboolean heard)
{
  gboolean ended = state->limited;

  state->limited = FALSE;
  state->limit_at = at;
  state->heard = heard;
  return ended ? QG_NOTICE_LIMIT_ENDED : 0;
}

guint
qg_notice_hear (QgNoticeState *state, const QgNotice *notice, QgTime sent,
                QgTime now)
{
  guint changes = 0;
  QgTime until = now + MIN (notice->pause, QG_NOTICE_PAUSE_MAX);

  if (notice->has_limit)
    changes |= apply_limit (state, notice->limit, now, TRUE, now);
  else if (!notice->limit_unusable && state->limited && sent > state->limit_at)
    changes |= end_limit (state, sent, TRUE);
  if (notice->leaving && !state->leaving)
    {
      state->leaving = TRUE;
      state->leaving_at = now;
      changes |= QG_NOTICE_LEAVE_BEGAN;
    }
  if (notice->pause > 0 && until > state->paused_until)
    {
      state->paused_at = now;
      state->paused_until = until;
      changes |= QG_NOTICE_PAUSE_BEGAN;
    }
  return changes;
}

guint
qg_notice_learn (QgNoticeState *state, double limit, QgTime at, QgTime now)
{
  if (at <= state->limit_at)
    return 0;
  if (limit >= 0)
    return apply_limit (state, limit, at, FALSE, now);
  return state->limited ? end_limit (state, at, FALSE) : 0;
}

gboolean
qg_notice_announce (QgNoticeState *state, guint changes, QgTime now)
{
  gboolean changed
      = (changes & (QG_NOTICE_LIMIT_CHANGED | QG_NOTICE_LIMIT_ENDED)) != 0;
  gboolean current
      = state->limited || now - state->limit_at < QG_NOTICE_ANNOUNCE_END;

  if (!state->heard || !current
      || (!changed && now - state->announced_at < QG_NOTICE_ANNOUNCE_PERIOD))
    return FALSE;
  state->announced_at = now;
  return TRUE;
}

guint
qg_notice_senders (double limit)
{
  return (guint)(SAVED_SECONDS * MIN (limit, LIMIT_MAX)) + SAVED_MIN;
}

static void
collect_tokens (QgNoticeState *state, const QgNoticeQuota *quota, QgTime now)
{
  double elapsed = (double)MAX (now - state->tokens_at, 0) / (double)QG_SEC;

  state->tokens
      = MIN (state->tokens + elapsed * quota->part * state->limit, quota->save);
  state->tokens_at = now;
}

/* The most requests in flight at this point of the ramp after a pause. */
static guint
ramp_limit (const QgNoticeState *state, QgTime now, QgTime *until)
{
  QgTime step = (now - state->paused_until) / QG_NOTICE_RAMP_STEP;

  if (state->paused_until == 0 || step >= RAMP_STEPS)
    return G_MAXUINT;
  *until = state->paused_until + (step + 1) * QG_NOTICE_RAMP_STEP;
  return 1u << step;
}

QgNoticeBar
qg_notice_check (QgNoticeState *state, const QgNoticeQuota *quota,
                 guint inflight, QgTime now, QgTime *until)
{
  *until = G_MAXINT64;
  if (state->leaving)
    return QG_NOTICE_LEAVING;
  if (now < state->paused_until)
    {
      *until = state->paused_until;
      return QG_NOTICE_PAUSE;
    }
  if (inflight >= ramp_limit (state, now, until))
    return QG_NOTICE_PAUSE;
  if (state->limited && !state->heard
      && now - state->limit_at > QG_NOTICE_LEARNED_EXPIRY)
    state->limited = FALSE;
  if (!state->limited)
    return QG_NOTICE_CLEAR;
  collect_tokens (state, quota, now);
  if (state->tokens >= 1)
    return QG_NOTICE_CLEAR;
  *until = G_MAXINT64;
  if (quota->part > 0)
    *until = now
             + (QgTime)((1 - state->tokens) / (quota->part * state->limit)
                        * (double)QG_SEC)
             + 1;
  return QG_NOTICE_LIMIT;
}

guint
qg_notice_room (QgNoticeState *state, const QgNoticeQuota *quota,
                guint inflight, QgTime now, QgTime *until)
{
  guint room;

  if (qg_notice_check (state, quota, inflight, now, until) != QG_NOTICE_CLEAR)
    return 0;
  room = ramp_limit (state, now, until);
  if (room != G_MAXUINT)
    room -= inflight;
  return state->limited ? MIN (room, (guint)state->tokens) : room;
}

void
qg_notice_sent (QgNoticeState *state)
{
  if (state->limited)
    state->tokens = MAX (state->tokens - 1, 0);
}

QgTime
qg_notice_age (const QgNoticeState *state, QgNoticeBar bar, QgTime now)
{
  switch (bar)
    {
    case QG_NOTICE_LIMIT:
      return now - state->limit_at;
    case QG_NOTICE_PAUSE:
      return now - state->paused_at;
    case QG_NOTICE_LEAVING:
      return now - state->leaving_at;
    default:
      return 0;
    }
}

const char *
qg_notice_name (QgNoticeBar bar)
{
  static const char *const names[QG_N_NOTICE_BARS]
      = { [QG_NOTICE_CLEAR] = "clear",
          [QG_NOTICE_LIMIT] = "limit",
          [QG_NOTICE_PAUSE] = "pause",
          [QG_NOTICE_LEAVING] = "leaving" };

  return names[bar];
}

gboolean
qg_notice_read_number (const char *text, gsize len, double *number)
{
  char copy[NUMBER_MAX_BYTES];

  if (len == 0 || len >= sizeof copy || !g_ascii_isdigit (text[0])
      || !g_ascii_isdigit (text[len - 1]))
    return FALSE;
  memcpy (copy, text, len);
  copy[len] = '\0';
  if (strspn (copy, "0123456789.") != len
      || strchr (copy, '.') != strrchr (copy, '.'))
    return FALSE;
  *number = g_ascii_strtod (copy, NULL);
  return TRUE;
}
