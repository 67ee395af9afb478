/**
 * @file dialect.h
 * Interface between the relay and the platform adapter: the platform's request
 * and response headers and its manifest format, as this project's own types.
 * Only the adapter knows the platform's names.
 */
#ifndef QG_DIALECT_H
#define QG_DIALECT_H

#include "h1.h"
#include "lib/dispatch.h"

G_BEGIN_DECLS

enum
{
  QG_RESUME_NONE = -1,       /**< the caller does not resume a stream */
  QG_RESUME_UNREADABLE = -2, /**< it does, after an event without a number */
};

enum
{
  QG_WEIGHTS_NONE = -1,       /**< no version of the weights is stated */
  QG_WEIGHTS_UNREADABLE = -2, /**< one that is not a number */
};

/** Request metadata from its headers; slices are valid as long as the head. */
typedef struct
{
  QgSlice attempt; /**< caller's id of this attempt, or empty */
  QgSlice key;     /**< API key of the caller's workspace, or empty */
  QgTime timeout;  /**< how long the caller waits, or -1 if not stated */
  guint prompt;    /**< prompt tokens */
  guint output;    /**< maximum number of generated tokens */
  guint n_parts;
  QgPart parts[QG_PARTS_MAX];
  gint64 resume_after; /**< id of the last event the caller received, or
                          QG_RESUME_ */
  QgSlice resumes;     /**< attempt that brought the caller its first event, or
                          empty */
  gint64 weights;      /**< version of the weights that the caller expects, by
                          a header that is forwarded; or QG_WEIGHTS_ */
  const char *unreadable; /**< name of a header that cannot be read, or NULL */
} QgRequestInfo;

/** Values for the headers that the relay adds to a request to a target. */
typedef struct
{
  const char *target_id;
  const char *workspace; /**< NULL: none */
  QgTime timeout;        /**< remaining time, or -1 */
  gint64 resume_after;   /**< id of the last event that the caller has, or -1 */
  gint64 weights;        /**< version without which the target must not run the
                            request, or QG_WEIGHTS_NONE */
} QgAddedHeaders;

/** Response metadata from a target's headers. */
typedef struct
{
  QgSlice attempt;   /**< echoed attempt id, or empty */
  QgSlice target;    /**< id of the target that answered, or empty */
  gboolean not_run;  /**< the target did not run the request */
  gboolean sealed;   /**< has the seal by which callers verify the response */
  gint64 weights;    /**< version of the weights that it runs with, or
                        QG_WEIGHTS_NONE */
  QgTime idle_limit; /**< idle timeout of the connection, or -1 */
} QgAnswerInfo;

typedef struct
{
  void (*read_request) (const QgH1Head *head, QgRequestInfo *info);
  /** The API key of a request, or empty. */
  QgSlice (*read_key) (const QgH1Head *head);
  /** The API key in the received beginning of a request; empty if there is
   * none. */
  QgSlice (*find_key) (const char *received, gsize len);
  /** Whether the relay drops this header of a caller's request. */
  gboolean (*is_reserved_header) (QgSlice name);
  void (*write_added_headers) (GString *out, const QgAddedHeaders *extra);
  /** Writes the head of a request that @a target_id answers at any time, and
   * that no other target runs. @a path: QgService.check_path. */
  void (*write_check) (GString *out, const char *address, const char *path,
                       const char *target_id);
  void (*read_answer) (const QgH1Head *head, QgAnswerInfo *answer_info);
  /** The field of an event that states the version of the weights from there
   * on. */
  const char *weights_field;
  /** Reads what a target says about itself from the headers of an answer. */
  void (*read_notice) (const QgH1Head *head, QgNotice *notice);
  /** Parses a manifest. */
  QgManifestReadFunc read_manifest;
} QgDialect;

/** The adapter of the platform that this program was built for. */
const QgDialect *qg_platform_dialect (void);

G_END_DECLS

#endif
