#include "qg.h"

#include <stdarg.h>

typedef struct
{
  const char *name;
  int http;
  int exit_code;
  const char *remedy;
} StatusRow;

static const StatusRow rows[QG_N_STATUS] = {
  [QG_OK] = { "ok", 200, 0, "nothing to do" },
  [QG_E_INVALID] = { "invalid", 400, 2, "correct the input and send it again" },
  [QG_E_TOO_LARGE] = { "too-large", 413, 2, "send less, or raise the limit" },
  [QG_E_UNAUTHORIZED]
  = { "unauthorized", 401, 3, "send a valid key as a bearer token" },
  [QG_E_FORBIDDEN]
  = { "forbidden", 403, 3, "ask an operator for the permission" },
  [QG_E_NOT_FOUND] = { "not-found", 404, 4, "check the name" },
  [QG_E_CONFLICT]
  = { "conflict", 409, 5, "read the present state and decide again" },
  [QG_E_NOT_LEADER]
  = { "not-leader", 503, 6, "send it to the leader, or try again" },
  [QG_E_UNAVAILABLE] = { "unavailable", 503, 6, "try again after a pause" },
  [QG_E_OVERLOADED] = { "overloaded", 429, 6, "try again after a pause" },
  [QG_E_TIMEOUT]
  = { "timeout", 504, 7, "try again with more time, if it may be repeated" },
  [QG_E_CORRUPT]
  = { "corrupt", 500, 8, "restore the data from another member or a backup" },
  [QG_E_IO] = { "io", 500, 8, "check the disk, the address and permissions" },
  [QG_E_QUARANTINED]
  = { "quarantined", 422, 9, "change the request, or ask an operator" },
  [QG_E_UNKNOWN]
  = { "unknown-outcome", 502, 10, "check whether the work was done" },
  [QG_E_INTERNAL]
  = { "internal", 500, 11, "report the event number and its message" },
  [QG_E_NO_STREAM] = { "no-stream", 503, 6, "begin the stream anew" },
};

static const StatusRow *
row_of (QgStatus status)
{
  if ((unsigned int)status >= QG_N_STATUS)
    return &rows[QG_E_INTERNAL];
  return &rows[status];
}

const char *
qg_status_name (QgStatus status)
{
  return row_of (status)->name;
}

const char *
qg_status_remedy (QgStatus status)
{
  return row_of (status)->remedy;
}

int
qg_status_http (QgStatus status)
{
  return row_of (status)->http;
}

int
qg_status_exit (QgStatus status)
{
  return row_of (status)->exit_code;
}

QgStatus
qg_fail (QgErr *err, QgStatus status, const char *format, ...)
{
  va_list args;

  if (err == NULL)
    return status;
  err->status = status;
  va_start (args, format);
  g_vsnprintf (err->message, sizeof err->message, format, args);
  va_end (args);
  return status;
}

void
qg_err_clear (QgErr *err)
{
  if (err == NULL)
    return;
  err->status = QG_OK;
  err->message[0] = '\0';
}
