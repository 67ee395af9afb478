/**
 * @file qg.h
 * Types that every module of libquetzalgate shares: time, length-counted
 * strings and the status of a call with its last message.
 *
 * Modules of the library do no I/O, start no threads, keep no globals and read
 * no clock: the caller passes the time, the input and, where chance is needed,
 * a seed.
 */
#ifndef QG_H
#define QG_H

#include <glib.h>

G_BEGIN_DECLS

/** Microseconds on a monotonic clock that the caller chose. */
typedef gint64 QgTime;

#define QG_MSEC ((QgTime)1000)
#define QG_SEC  ((QgTime)1000000)

/** A name: immutable, reference counted and length counted. */
typedef GRefString QgStr;

/** A new name of @a len bytes; released with qg_str_unref(). */
#define qg_str_new_len(p, len) g_ref_string_new_len ((p), (gssize)(len))
/** A new name from a C string; released with qg_str_unref(). */
#define qg_str_new(p) g_ref_string_new (p)
#define qg_str_len(s) g_ref_string_length (s)

/** One more owner of @a s. */
static inline QgStr *
qg_str_ref (QgStr *s)
{
  return g_ref_string_acquire (s);
}

/** One owner less; the last one frees @a s. */
static inline void
qg_str_unref (QgStr *s)
{
  g_ref_string_release (s);
}

/** Kinds of failure; each row of the table in qg.c names the remedy. */
typedef enum
{
  QG_OK,
  QG_E_INVALID,      /**< the input does not have the required shape */
  QG_E_TOO_LARGE,    /**< the input is over a stated limit */
  QG_E_UNAUTHORIZED, /**< credentials are missing or unknown */
  QG_E_FORBIDDEN,    /**< known credentials without the permission */
  QG_E_NOT_FOUND,    /**< the named thing does not exist */
  QG_E_CONFLICT,     /**< another change or request came first */
  QG_E_NOT_LEADER,   /**< this member may not decide */
  QG_E_UNAVAILABLE,  /**< no one who may decide can be reached now */
  QG_E_OVERLOADED,   /**< a queue or budget is full */
  QG_E_TIMEOUT,      /**< the deadline passed */
  QG_E_CORRUPT,      /**< stored or received data fails its check */
  QG_E_IO,           /**< the operating system refused an operation */
  QG_E_QUARANTINED,  /**< the request crashed targets before */
  QG_E_UNKNOWN,      /**< the outcome cannot be known */
  QG_E_INTERNAL,     /**< an invariant of the program broke */
  QG_N_STATUS
} QgStatus;

enum
{
  QG_ERR_MESSAGE_BYTES = 384
};

/** The status of a call with its last message; the caller owns it. */
typedef struct
{
  QgStatus status;
  char message[QG_ERR_MESSAGE_BYTES];
} QgErr;

/** Short stable name of @a status, as in problem details ("not-found"). */
const char *qg_status_name (QgStatus status);

/** What the reader of an error of this kind can do about it. */
const char *qg_status_remedy (QgStatus status);

/** HTTP status code that callers and operators get for @a status. */
int qg_status_http (QgStatus status);

/** Process exit code of the command-line tool for @a status. */
int qg_status_exit (QgStatus status);

/**
 * Fills @a err (may be NULL) and returns @a status, so that a function can end
 * with `return qg_fail (err, QG_E_INVALID, "...")`.
 */
QgStatus qg_fail (QgErr *err, QgStatus status, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/** Empties @a err; a call that succeeded leaves it so. */
void qg_err_clear (QgErr *err);

G_END_DECLS

#endif
