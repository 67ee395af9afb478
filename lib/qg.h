/**
 * @file qg.h
 * Types shared by all modules of libquetzalgate: time, length-counted strings
 * and error status.
 *
 * Modules of the library do no I/O, start no threads, read no clock and, except
 * for event.c, keep no globals. The caller passes the time, the input and,
 * where random numbers are needed, a seed.
 */
#ifndef QG_H
#define QG_H

#include <glib.h>

G_BEGIN_DECLS

/** Microseconds on a monotonic clock that the caller chooses; the daemon's
 * counts the time during which the VM is suspended (daemon/clock.h). */
typedef gint64 QgTime;

#define QG_MSEC ((QgTime)1000)
#define QG_SEC  ((QgTime)1000000)

/** An immutable string with a reference count and a length. */
typedef GRefString QgStr;

/** Copies @a len bytes to a new string; released with qg_str_unref(). */
#define qg_str_new_len(p, len) g_ref_string_new_len ((p), (gssize)(len))
/** Copies a C string to a new string; released with qg_str_unref(). */
#define qg_str_new(p) g_ref_string_new (p)
#define qg_str_len(s) g_ref_string_length (s)

static inline QgStr *
qg_str_ref (QgStr *s)
{
  return g_ref_string_acquire (s);
}

static inline void
qg_str_unref (QgStr *s)
{
  g_ref_string_release (s);
}

/** Kinds of error; the table in qg.c gives the name, codes and remedy of
 * each. */
typedef enum
{
  QG_OK,
  QG_E_INVALID,      /**< the input is malformed or has an invalid value */
  QG_E_TOO_LARGE,    /**< the input exceeds a limit */
  QG_E_UNAUTHORIZED, /**< credentials are missing or unknown */
  QG_E_FORBIDDEN,    /**< the credentials do not grant the permission */
  QG_E_NOT_FOUND,    /**< no object has the given name */
  QG_E_CONFLICT,     /**< conflict with an earlier change or request */
  QG_E_NOT_LEADER,   /**< this control member is not the leader */
  QG_E_UNAVAILABLE,  /**< a required process or state is not available now */
  QG_E_OVERLOADED,   /**< a queue or budget is full */
  QG_E_TIMEOUT,      /**< the deadline passed */
  QG_E_CORRUPT,      /**< stored or received data is damaged */
  QG_E_IO,           /**< a system call failed */
  QG_E_QUARANTINED,  /**< the request is refused, as it crashed targets */
  QG_E_UNKNOWN,      /**< the outcome cannot be determined */
  QG_E_INTERNAL,     /**< an invariant of the program was violated */
  QG_E_NO_STREAM,    /**< the stream to go on with is not known */
  QG_N_STATUS
} QgStatus;

enum
{
  QG_ERR_MESSAGE_BYTES = 384
};

/** Status and error message of a call; the caller provides the memory. */
typedef struct
{
  QgStatus status;
  char message[QG_ERR_MESSAGE_BYTES];
} QgErr;

/** Returns the stable name of @a status that problem details use, such as
 * "not-found". */
const char *qg_status_name (QgStatus status);

/** Returns what a user can do about an error of this kind. */
const char *qg_status_remedy (QgStatus status);

/** Returns the HTTP status code for @a status. */
int qg_status_http (QgStatus status);

/** Returns the exit code of the command-line tool for @a status. */
int qg_status_exit (QgStatus status);

/**
 * Sets @a err, which may be NULL, and returns @a status, so that a function can
 * end with `return qg_fail (err, QG_E_INVALID, "...")`.
 */
QgStatus qg_fail (QgErr *err, QgStatus status, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/** Resets @a err, which may be NULL. A call that succeeds does not set it. */
void qg_err_clear (QgErr *err);

G_END_DECLS

#endif
