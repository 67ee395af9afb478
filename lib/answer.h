/**
 * @file answer.h
 * Buffers the answers that an agent produces. A caller that reconnects, or an
 * entry that lost its link, can still read the complete answer.
 *
 * An answer is identified by its origin (entry, incarnation of the entry,
 * request) and, for claimed work, by (workspace, service, key). An answer can
 * have any number of readers. Each reader receives the pieces in order of
 * offset, without gaps or duplicates, and has at most `window` unconfirmed
 * bytes. A reader of another workspace or with another request body is refused.
 *
 * Memory: an answer with a key is kept complete up to a length of
 * `answer_bytes`. Of a longer answer, or an answer without a key, only the
 * bytes that at least one reader has not confirmed are kept. An agent buffers
 * no more than
 *
 *   hold_bytes + running * (answer_bytes + window + one piece)
 *
 * bytes, where `running` is the number of unfinished answers. The agent stops
 * reading from a target while qg_answer_has_room() returns FALSE. Finished
 * answers are dropped after `hold_time`, or earlier, oldest first, if their
 * total size exceeds `hold_bytes`.
 */
#ifndef QG_ANSWER_H
#define QG_ANSWER_H

#include "qg.h"

G_BEGIN_DECLS

/** Defaults of QgAnswerOptions. */
#define QG_ANSWER_HOLD_TIME   (120 * QG_SEC)
#define QG_ANSWER_ORPHAN_TIME (5 * QG_SEC)
enum
{
  QG_ANSWER_HOLD_BYTES = 16 << 20,
  QG_ANSWER_BYTES = 4 << 20,
  QG_ANSWER_WINDOW = 256 << 10
};

typedef struct _QgAnswers QgAnswers;
typedef struct _QgAnswer QgAnswer;
typedef struct _QgAnswerReader QgAnswerReader;

/** Limits; 0 selects the default. */
typedef struct
{
  QgTime hold_time;   /**< how long a finished answer is kept */
  QgTime orphan_time; /**< maximum time without a reader for a run without
                          a key; then the run can be cancelled */
  gsize hold_bytes;   /**< total size of the finished answers */
  gsize answer_bytes; /**< longest answer that is kept complete */
  gsize window;       /**< most unconfirmed bytes of one reader */
} QgAnswerOptions;

/** Identifies a request by the entry that received it. */
typedef struct
{
  const char *entry;
  guint64 incarnation;
  guint64 id;
} QgAnswerOrigin;

/** Parameters of a new answer. */
typedef struct
{
  QgAnswerOrigin origin;
  const char *workspace;
  const char *service;
  const char *key; /**< "" if the request was not claimed */
  gconstpointer body_hash;
  gsize body_hash_len;
  gpointer user; /**< data of the daemon: the run */
} QgAnswerStart;

/** Selects an answer by key, or by the origin of its first request. */
typedef struct
{
  QgAnswerOrigin reader; /**< the request that reads the answer */
  const char *workspace;
  const char *service;
  const char *key;         /**< "" to select by `original` */
  QgAnswerOrigin original; /**< used if there is no key */
  gconstpointer body_hash; /**< must match the body hash of the answer */
  gsize body_hash_len;
  guint64 offset; /**< body bytes that the reader already has */
  gpointer user;  /**< data of the daemon: the peer */
} QgAnswerAttach;

/** Kinds of piece, in the order in which a reader gets them. */
typedef enum
{
  QG_ANSWER_HEAD, /**< bytes: as passed to qg_answer_set_head() */
  QG_ANSWER_DATA, /**< bytes: part of the body, starting at offset */
  QG_ANSWER_END,  /**< offset: body length; bytes: from qg_answer_end() */
  QG_ANSWER_FAIL  /**< bytes: as passed to qg_answer_fail() */
} QgAnswerKind;

/** One piece for a reader. */
typedef struct
{
  QgAnswerKind kind;
  guint64 offset;
  GBytes *bytes; /**< may be NULL; the caller must unref it */
} QgAnswerPiece;

/** Returns an empty table with one reference; @a options may be NULL. */
QgAnswers *qg_answers_new (const QgAnswerOptions *options);
QgAnswers *qg_answers_ref (QgAnswers *answers);
void qg_answers_unref (QgAnswers *answers);

/**
 * Adds an answer, with its origin as the first reader.
 *
 * @param user data of the first reader.
 * @return the answer, owned by the table, or NULL if the origin or the key
 *         already has an answer.
 */
QgAnswer *qg_answer_begin (QgAnswers *answers, const QgAnswerStart *start,
                           gpointer user);

/** Sets the head; readers get @a head unchanged. */
void qg_answer_set_head (QgAnswer *answer, GBytes *head);

/** Appends @a data to the body. */
void qg_answer_append (QgAnswer *answer, GBytes *data);

/** Ends a complete answer; readers get @a tail in the QG_ANSWER_END
 * piece. */
void qg_answer_end (QgAnswer *answer, GBytes *tail, QgTime now);

/** Ends an answer that failed; readers get @a fail in the QG_ANSWER_FAIL
 * piece. */
void qg_answer_fail (QgAnswer *answer, GBytes *fail, QgTime now);

/** Removes and frees an answer and its readers. */
void qg_answer_drop (QgAnswer *answer);

/** Whether the buffer has room for more of the body from the target. */
gboolean qg_answer_has_room (const QgAnswer *answer);

gboolean qg_answer_has_readers (const QgAnswer *answer);

/** Whether the answer ended or failed. */
gboolean qg_answer_finished (const QgAnswer *answer);

gpointer qg_answer_user (const QgAnswer *answer);
void qg_answer_set_user (QgAnswer *answer, gpointer user);

/** Returns the answer that a request started; NULL if there is none. */
QgAnswer *qg_answer_find (const QgAnswers *answers,
                          const QgAnswerOrigin *origin);

/** Returns the answer of a key; NULL if there is none. */
QgAnswer *qg_answer_find_key (const QgAnswers *answers, const char *workspace,
                              const char *service, const char *key);

/**
 * Adds a request as a reader of an answer. If the request already reads an
 * answer, the new reader replaces the old one.
 *
 * @return the reader, or NULL with QG_E_NOT_FOUND (no such answer in this
 *         table), QG_E_CONFLICT (another body), QG_E_FORBIDDEN (another
 *         workspace or service) or QG_E_UNKNOWN (the offset is not in the
 *         buffered range).
 */
QgAnswerReader *qg_answer_attach (QgAnswers *answers,
                                  const QgAnswerAttach *attach, QgErr *err);

/** Returns the reader of a request; NULL if the request reads no answer. */
QgAnswerReader *qg_answer_find_reader (const QgAnswers *answers,
                                       const QgAnswerOrigin *origin);

/** Removes a reader whose caller disconnected or whose link broke. */
void qg_answer_detach (QgAnswerReader *reader, QgTime now);

/** Removes all readers whose user is @a user. Used when their link broke. */
void qg_answers_detach_user (QgAnswers *answers, gconstpointer user,
                             QgTime now);

/** Returns the answer that @a reader reads. */
QgAnswer *qg_answer_reader_answer (const QgAnswerReader *reader);
gpointer qg_answer_reader_user (const QgAnswerReader *reader);
const QgAnswerOrigin *qg_answer_reader_origin (const QgAnswerReader *reader);

/** Whether another request than the reader's began the answer. */
gboolean qg_answer_reader_joined (const QgAnswerReader *reader);

/** Returns the reader at @a index, from 0; NULL after the last one. */
QgAnswerReader *qg_answer_nth_reader (const QgAnswer *answer, guint index);

/** Records that the reader has received all bytes before @a offset. */
void qg_answer_confirm (QgAnswerReader *reader, guint64 offset);

/**
 * Returns the next piece for a reader in @a piece. The last piece is
 * QG_ANSWER_END or QG_ANSWER_FAIL.
 *
 * @return FALSE if no piece is available at present, or the window is full.
 */
gboolean qg_answer_next (QgAnswerReader *reader, QgAnswerPiece *piece);

/**
 * Drops finished answers that are past `hold_time`, and the oldest finished
 * answers while their total size exceeds `hold_bytes`. An answer whose end has
 * not been sent to all of its readers is kept. The caller must call this
 * function after an answer ends, and about once a second.
 */
void qg_answers_expire (QgAnswers *answers, QgTime now);

/**
 * Returns an unfinished answer that has no key and has had no reader for
 * `orphan_time`, so that its run can be cancelled; NULL if there is none.
 */
QgAnswer *qg_answers_find_orphan (const QgAnswers *answers, QgTime now);

/** Number of finished answers that at least one reader has not read to the end.
 */
guint qg_answers_unsent_count (const QgAnswers *answers);

/** Body bytes that are buffered now. */
gsize qg_answers_bytes (const QgAnswers *answers);

/** Number of answers in the table, unfinished and finished. */
guint qg_answers_count (const QgAnswers *answers);

G_END_DECLS

#endif
