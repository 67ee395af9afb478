/**
 * @file dialect.h
 * What the relay and the public interface of control need to know of the
 * platform that they run on, as types of the product. An adapter implements
 * it; nothing else knows the platform's names.
 */
#ifndef QG_DIALECT_H
#define QG_DIALECT_H

#include "h1.h"
#include "lib/dispatch.h"

G_BEGIN_DECLS

/** What a request says of itself; slices are valid as long as its head. */
typedef struct
{
  QgSlice attempt; /**< id of this attempt of the caller, or empty */
  QgSlice key;     /**< of the caller's workspace, or empty */
  QgTime patience; /**< how long the caller waits, or -1 */
  guint prompt;    /**< tokens */
  guint output;    /**< tokens at most */
  guint n_parts;
  QgPart parts[QG_PARTS_MAX];
  gint64 resume_after; /**< the last event that the caller has, or -1 */
} QgAsk;

/** What the relay adds to a request for a target. */
typedef struct
{
  const char *target_id;
  const char *workspace; /**< NULL: none */
  QgTime patience;       /**< what is left, or -1 */
  gint64 resume_after;   /**< or -1 */
} QgAskExtra;

/** What an answer of a target says. */
typedef struct
{
  QgSlice attempt;   /**< echoed id, or empty */
  gboolean not_run;  /**< the target states that it ran nothing */
  gboolean sealed;   /**< it carries the proof that callers check */
  QgTime idle_limit; /**< the connection may be idle so long, or -1 */
} QgAnswerFacts;

typedef struct
{
  void (*read_ask) (const QgH1Head *head, QgAsk *ask);
  /** Whether a request's header is not passed on as it came. */
  gboolean (*is_own) (QgSlice name);
  void (*write_extra) (GString *out, const QgAskExtra *extra);
  void (*read_answer) (const QgH1Head *head, QgAnswerFacts *facts);
  /** Reads the text of a manifest. */
  QgManifestRead read_manifest;
} QgDialect;

G_END_DECLS

#endif
